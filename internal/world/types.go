// Package world emulates the environment of a fleet of gateways: clients, backends, the counter,
// discovery, the network and their faults. It does no I/O: a driver passes in events and the time
// and carries out the actions that it gets back. All random draws follow from the scenario's seed.
package world

import (
	"time"

	"dunlintray/internal/link"
)

// Conn identifies a connection that a gateway has opened. The driver assigns the numbers.
type Conn uint64

// Counter is the peer number of the counter. All other peer numbers are those of backends.
const Counter = -1

// Event is an observation of the driver, or a Tick.
type Event any

// The types of Event. Times are those of the driver's clock.
type (
	// Tick only advances the time.
	Tick struct{}
	// Opened reports that a gateway has connected to a backend or to the Counter.
	Opened struct {
		Conn    Conn
		Gateway int
		Peer    int
	}
	// Closed reports that the gateway has closed a connection, or its sending side.
	Closed struct{ Conn Conn }
	// Arrived reports that a backend has received a complete request.
	Arrived struct {
		Conn      Conn
		ID        uint64
		FirstByte time.Duration // when its first byte arrived
		Class     string        // as the request's path names it
		Key       string
		Body      Body
		Unchanged bool // the parts that this event does not hold are as the client sent them
	}
	// Probed reports that a backend has received a health probe.
	Probed struct{ Conn Conn }
	// Called reports that the counter has received a call that adds Add to the count Name.
	// Lifetime applies if the call creates the count.
	Called struct {
		Conn     Conn
		Name     string
		Add      float64
		Lifetime time.Duration
	}
	// ConnectionsChecked answers CheckConnections with the connections that the gateway has closed.
	ConnectionsChecked struct {
		ID     uint64
		Closed []Conn
	}
	// RequestWritten reports that the last byte of a request has been written to a gateway.
	RequestWritten struct{ ID uint64 }
	// Answered reports that a client has received a response, or the beginning of one.
	Answered struct {
		ID         uint64
		Status     int
		Complete   bool
		Body       Body
		BodyErr    error
		RetryAfter time.Duration
	}
	// Unanswered reports that the connection of a request failed or ended before any byte of a
	// response.
	Unanswered struct {
		ID     uint64
		Reused bool // the connection has carried earlier responses
		Sent   bool // the request had been written completely
	}
	// UnexpectedData reports that a client's connection has received more than the responses to
	// its requests.
	UnexpectedData struct {
		Gateway int
		ID      uint64 // the last request on the connection
	}
	// ListDelivered reports that discovery has sent a gateway a list of backends, or changes to it.
	ListDelivered struct {
		Gateway int
		Version int64
		Full    bool // the list is complete; otherwise Entries holds changes
		Entries []Entry
	}
	// Registered reports that the service registry has accepted an entry, in the version given.
	Registered struct {
		Entry
		Version int64
	}
	// Datagram reports that a gateway has sent a datagram to another gateway, or to Broadcast. The
	// driver keeps its content under Number.
	Datagram struct {
		Number   uint64
		From, To int
		Bytes    int
	}
	// Connectivity reports a gateway's view of its connectivity and of the members present.
	Connectivity struct {
		Gateway       int
		State, Reason string
		Present       []bool
	}
	// Ready reports that a gateway accepts clients.
	Ready struct{ Gateway int }
	// Exited reports that a gateway's process has ended.
	Exited struct {
		Gateway int
		Cause   string
	}
)

// Entry is a backend in a list.
type Entry struct {
	Backend   int
	Zone      int
	Cell      int
	Lifecycle Lifecycle
	Started   time.Duration // negative if it started before the run and is warm
}

// Lifecycle is the state of a backend in a list.
type Lifecycle int

// The lifecycles.
const (
	Serving Lifecycle = iota
	Draining
	Gone
)

// Action is an operation for the driver to carry out.
type Action struct {
	Due       time.Duration // the emulated time of the operation
	Operation any           // one of the types below
}

// The types of an Action's Operation.
type (
	// Send sends a request as a client.
	Send struct {
		Request
		NewConnection bool // no open connection may be reused
	}
	// Abandon closes the connection of a request.
	Abandon struct{ ID uint64 }
	// Reply answers a request or a probe on a gateway's connection.
	Reply struct {
		Conn       Conn
		Status     int
		NotStarted bool // the backend rejects the request without having started it
		Body       Body
		Truncated  bool        // the body ends early, and the connection with it
		Load       *LoadReport // nil if the backend reports no load
		Close      bool
	}
	// CounterReply answers a call of the counter. Status 503 rejects the call.
	CounterReply struct {
		Conn   Conn
		Status int
		Total  float64
	}
	// Reset resets a gateway's connection.
	Reset struct{ Conn Conn }
	// CheckConnections asks which of the connections the gateway has closed. The driver answers
	// with ConnectionsChecked for the same request ID.
	CheckConnections struct {
		ID          uint64
		Connections []Conn
	}
	// SetLinkState changes the link between a gateway and a backend or the Counter.
	SetLinkState struct {
		Gateway, Peer int
		State         LinkState
	}
	// SetRelayCondition changes one direction of a link between processes.
	SetRelayCondition struct {
		ProcessLink
		Direction link.Direction
		Condition link.Condition
	}
	// Register sends a backend's entry to discovery. Lost means that the backend stops renewing it.
	Register struct {
		Entry
		Lost bool
	}
	// SendList sends a gateway the full list, in a scenario without a service registry.
	SendList struct {
		Gateway int
		Entries []Entry
	}
	// SetListDelivery changes which lists reach a gateway.
	SetListDelivery struct {
		Gateway int
		Paused  bool // no list reaches the gateway
		Stale   bool // a full list is the one from when this began
	}
	// Start starts a gateway's process.
	Start struct{ Gateway int }
	// Kill kills a gateway's process.
	Kill struct{ Gateway int }
	// Stop asks a gateway's process to shut down.
	Stop struct{ Gateway int }
	// Freeze suspends a gateway's process.
	Freeze struct{ Gateway int }
	// Thaw resumes a gateway's process.
	Thaw struct{ Gateway int }
	// KillRegistry kills a service registry's process.
	KillRegistry struct{ Registry int }
	// StopRegistry asks a service registry's process to shut down.
	StopRegistry struct{ Registry int }
	// StartRegistry starts a service registry's process.
	StartRegistry struct{ Registry int }
	// FreezeRegistry suspends a service registry's process.
	FreezeRegistry struct{ Registry int }
	// ThawRegistry resumes a service registry's process.
	ThawRegistry struct{ Registry int }
	// HoldConnections keeps connections to a gateway open that send nothing or a request head that
	// never ends, and closes them after Duration.
	HoldConnections struct {
		Gateway, Connections int
		Duration             time.Duration
	}
	// Deliver passes on the content of an earlier Datagram.
	Deliver struct {
		Number   uint64
		From, To int
	}
	// Mark adds a line to the log of the run.
	Mark struct{ Text string }
)

// LinkState is how a link treats connections.
type LinkState int

// The states of a link. A change from Silent to Up resets the established connections.
const (
	Up       LinkState = iota
	Refusing           // new connections are refused
	Silent             // nothing passes; new connections are neither accepted nor refused
)

// Request is one request of a client. A client retry is a further request.
type Request struct {
	ID           uint64
	Gateway      int
	Class        int
	Plan         int
	Customer     uint64
	FirstGateway int           // the first gateway of the customer's set
	Remaining    time.Duration // until its deadline
	Key          string        // empty unless the effect of its class is by key
	Body         Body
	Retry        bool
}

// LoadReport is the load that a backend reports.
type LoadReport struct {
	Outstanding, Queued int     // requests being served or queued; those that are queued
	Utilization         float64 // of its cores, from 0 to 1
}
