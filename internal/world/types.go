// Package world emulates all that gateways meet: clients, backends, the counter,
// discovery, the network, and what goes wrong. It is a pure model: events and the
// time go in, actions come out, and what is drawn comes from the scenario's seed.
// A driver carries the actions out, on sockets or in simulated time.
package world

import (
	"time"

	"dunlintray/internal/link"
)

// Conn is a connection that a gateway has opened, numbered by the driver.
type Conn uint64

// Counter stands for the counter where a backend's number is asked for.
const Counter = -1

// Event is something that happened. All but Tick come from the driver's watching.
type Event any

// The events.
type (
	// Tick: time has passed.
	Tick struct{}
	// Opened: a gateway has connected to a backend or the counter.
	Opened struct {
		Conn    Conn
		Gateway int
		Peer    int
	}
	// Closed: the gateway has ended a connection, or its sending on it.
	Closed struct{ Conn Conn }
	// Arrived: a request has come whole at a backend.
	Arrived struct {
		Conn      Conn
		ID        uint64
		FirstByte time.Duration // when its first byte came
		Class     string        // of its path
		Key       string
		Body      Body
		Unchanged bool // what the model does not know is as the client sent it
	}
	// Probed: a backend was asked for its health.
	Probed struct{ Conn Conn }
	// Called: the counter was called.
	Called struct {
		Conn     Conn
		Name     string
		Add      float64
		Lifetime time.Duration
	}
	// Looked: these of the connections that were to be looked at have been ended by
	// the gateway.
	ConnectionsChecked struct {
		ID     uint64
		Closed []Conn
	}
	// Taken: a request's last byte has been written to a gateway.
	RequestWritten struct{ ID uint64 }
	// Answered: a client got an answer, or the beginning of one.
	Answered struct {
		ID         uint64
		Status     int
		Complete   bool
		Body       Body
		BodyErr    error
		RetryAfter time.Duration // Retry-After
	}
	// Unanswered: the connection ended, or never came up, before any of an answer.
	Unanswered struct {
		ID     uint64
		Reused bool // others had been answered on it
		Sent   bool // the request had gone out whole
	}
	// Extra: more came on a client's connection than was asked for.
	UnexpectedData struct {
		Gateway int
		ID      uint64 // the last request on it
	}
	// Told: a list has been written to a gateway.
	ListDelivered struct {
		Gateway int
		Version int64
		Full    bool
		Entries []Entry
	}
	// Enlisted: a list service has taken a backend's word, at a version.
	Registered struct {
		Entry
		Version int64
	}
	// Datagram: a gateway has sent one to another, or to Everyone. The driver
	// has its bytes.
	Datagram struct {
		Number   uint64
		From, To int
		Bytes    int
	}
	// Connectivity: a gateway reported its connectivity and the members that it holds present.
	Connectivity struct {
		Gateway       int
		State, Reason string
		Present       []bool
	}
	// Ready: a gateway takes clients.
	Ready struct{ Gateway int }
	// Exited: a gateway's process has ended.
	Exited struct {
		Gateway int
		Cause   string
	}
)

// Entry is a backend as lists tell it.
type Entry struct {
	Backend   int
	Zone      int
	Cell      int
	Lifecycle Lifecycle
	Started   time.Duration // below 0: long ago
}

// Lifecycle is what lists tell of a backend.
type Lifecycle int

// The lifecycles.
const (
	Serving Lifecycle = iota
	Draining
	Gone
)

// Action is something for the driver to do.
type Action struct {
	Due       time.Duration // when the model meant it to be done
	Operation any
}

// The actions.
type (
	// Send a request as a client, on a new connection if it says so.
	Send struct {
		Request
		NewConnection bool
	}
	// Abandon a request: its connection is closed.
	Abandon struct{ ID uint64 }
	// Reply on a connection from a gateway.
	Reply struct {
		Conn       Conn
		Status     int
		NotStarted bool // the request was turned away unseen
		Body       Body
		Truncated  bool        // the body ends early, and the connection with it
		Load       *LoadReport // if told
		Close      bool
	}
	// Total is an answer of the counter; a status of 503 turns the call away.
	CounterReply struct {
		Conn   Conn
		Status int
		Total  float64
	}
	// Reset a connection from a gateway.
	Reset struct{ Conn Conn }
	// Look whether connections have been ended by the gateway, and say so by Looked
	// for the request.
	CheckConnections struct {
		ID          uint64
		Connections []Conn
	}
	// Link changes what lies between a gateway and a backend or the counter.
	SetLinkState struct {
		Gateway, Peer int
		State         LinkState
	}
	// Rewire changes how one way of a link between processes carries.
	SetRelayCondition struct {
		ProcessLink
		Direction link.Direction
		Condition link.Condition
	}
	// Enlist tells discovery of a backend. Lost means that it says nothing more.
	Register struct {
		Entry
		Lost bool
	}
	// Tell a gateway the whole list, where the world is the discovery.
	SendList struct {
		Gateway int
		Entries []Entry
	}
	// Lists changes what a gateway can hear of lists.
	SetListDelivery struct {
		Gateway int
		Paused  bool // nothing is told
		Stale   bool // a whole list is the one from when this began
	}
	// Start, Kill, Stop, Freeze and Thaw a gateway's process.
	Start  struct{ Gateway int }
	Kill   struct{ Gateway int }
	Stop   struct{ Gateway int }
	Freeze struct{ Gateway int }
	Thaw   struct{ Gateway int }
	// These are of a list service's process.
	KillService   struct{ Service int }
	StopService   struct{ Service int }
	StartService  struct{ Service int }
	FreezeService struct{ Service int }
	ThawService   struct{ Service int }
	// Rude connections are opened to a gateway and end after a while.
	HoldConnections struct {
		Gateway, Connections int
		Duration             time.Duration
	}
	// Deliver a datagram that came before.
	Deliver struct {
		Number   uint64
		From, To int
	}
	// Mark notes what befalls the fleet.
	Mark struct{ Text string }
)

// LinkState is what connections along a link meet.
type LinkState int

// The states. Going up from Silent resets the connections that stood.
const (
	Up LinkState = iota
	Refusing
	Silent
)

// Request is one try of a client.
type Request struct {
	ID           uint64
	Gateway      int
	Class        int
	Plan         int
	Customer     uint64
	FirstGateway int // number of the first gateway of the customer's set
	Remaining    time.Duration
	Key          string // where its class is keyed
	Body         Body
	Retry        bool
}

// Report is what a backend tells of its load.
type LoadReport struct {
	Outstanding, Queued int
	Utilization         float64
}
