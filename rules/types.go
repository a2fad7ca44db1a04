// Package rules decides, for one gateway, what happens to each request and to each attempt at a backend.
// It does no input or output: the caller passes events to a Gateway and carries out the actions it returns.
//
// All times and durations are in seconds, and times are on the caller's clock. A unit is the measure of quotas:
// each request takes a number of units from its customer's quota. A request's worth, the worth of its class
// times the price of its plan, is its priority.
package rules

// The interface of the package: settings, events and actions.

// RequestID identifies one client request at one gateway.
type RequestID uint32

// BackendID identifies a backend. All gateways use the same ID for it.
type BackendID uint32

// CustomerID identifies a customer. All gateways use the same ID for it.
type CustomerID uint64

// Effect states how often a request of a class may take effect.
type Effect int

// The values of Effect.
const (
	Repeatable Effect = iota // any number of times
	ByKey                    // once per key: a group of backends drops duplicates within a time window
	Once                     // at most once: never resent unless the earlier attempt provably did not run
)

// DedupeScope is the group of backends that drops duplicates of a keyed request.
type DedupeScope int

// The values of DedupeScope, widest first.
const (
	ScopeAll  DedupeScope = iota // all backends
	ScopeZone                    // backends of one zone
	ScopeCell                    // backends of one cell
)

// Class describes one class of requests.
type Class struct {
	Aim          float64 // latency objective: an answer within it earns the full worth
	AimStretch   float64 // the aim is extended by this multiple of the request's own service time
	Deadline     float64 // total client timeout, over the first request and all client retries
	Worth        float64 // of an answer within the aim; requests of higher worth are served first
	LateWorth    float64 // fraction of the worth earned by an answer between aim and deadline
	Effect       Effect
	Scope        DedupeScope
	DedupeWindow float64 // how long the scope remembers a key
	Streamed     bool    // answers are streamed; see Established
}

// Plan describes the quota that a customer has bought. A rate or limit of 0 means unlimited.
type Plan struct {
	Name           string  // unique among the plans; a reload may change a plan's index, but not its name
	Price          float64 // factor on the worth of a request
	Rate           float64 // units per second
	Burst          float64 // capacity of the quota's token bucket, units
	MaxConcurrent  int     // attempts in flight, over all gateways
	OverQuotaWorth float64 // fraction of the worth earned by an over-quota request
	OverQuotaCost  float64 // fraction of the worth charged for sending an over-quota request
	CeilingRate    float64 // hard limit, units per second
	CeilingBurst   float64 // burst of the hard limit, units
	CeilingSlack   float64 // tolerated excess over the ceiling, units
}

// LoadField identifies one value of a backend's load report.
type LoadField int

// The values of LoadField.
const (
	LoadOther      LoadField = iota // any other value
	LoadInProgress                  // requests in progress
	LoadQueued                      // requests queued
	LoadCPU
	LoadServiceMillis
	LoadServedPerSecond
	LoadErrorsPerSecond
)

// Settings describes a deployment. The operator provides it; a Gateway does not modify it.
type Settings struct {
	Classes []Class
	Plans   []Plan

	Rank  int // number of this gateway, from 0 to Fleet-1
	Fleet int // number of gateways

	// GatewaysPerBackend is the number of gateways that use the same backend, where each gateway is given
	// a subset of the backends; 0 means all gateways.
	GatewaysPerBackend int

	Zone int     // number of this gateway's zone
	Tick float64 // shortest interval between two events

	SubscribeToDiscovery bool // discovery sends updates only after a Subscribe action
	ApproximateWeights   bool // Backend.Weight is a rough indication of capacity
	LoadFields           []LoadField
	LoadInline           bool // load reports come with attempt outcomes, not only with probes

	Counter        bool    // a shared counter is available
	CounterTimeout float64 // of one call
	CounterPrice   float64 // of one call
	MaxUnits       float64 // units of the largest request
	UnitsEstimated bool    // a request's units are an estimate until it is answered

	CanCancel      bool
	CanProbe       bool
	CanHedge       bool    // a request may have two attempts in flight
	MaxRetryAfter  float64 // upper limit of Refuse.RetryAfter
	MaxAttempts    int     // per request
	MaxInProgress  int     // requests accepted and not yet answered
	MaxCustomers   int     // customers whose state is kept; 0: no limit
	MaxIdentities  int     // ids of requests that are kept; 0: no limit
	MaxOutstanding int     // attempts that have not ended, also those whose answer has begun; 0: no limit
	ConnectTimeout float64
	KeepAlive      float64 // backends close connections that are idle for this long

	AnswerSlack         float64 // tolerated delay of an answer after its deadline
	DrainGrace          float64 // time after the start of a drain in which attempts are still tolerated
	InitialColdFraction float64 // fraction of its capacity that a backend has when it starts
	ColdDuration        float64 // time from start to full capacity
	OverloadMultiple    float64 // load, as a multiple of its capacity, that makes a backend fail
	OverloadDuration    float64 // how long that load must last

	CrossZonePrice float64 // fraction added to the cost of a backend in another zone
	WastePrice     float64
	LateFailPrice  float64
	ProbePrice     float64
}

// BackendState is the state of a backend according to discovery.
type BackendState int

// The values of BackendState.
const (
	Gone BackendState = iota
	Ready
	Draining
)

// Backend is one entry of the list of backends.
type Backend struct {
	ID        BackendID
	Zone      int // number of its zone
	Kind      int // number of its machine type
	Cell      int // number of its cell, a group of backends that share the keys they have seen
	State     BackendState
	Weight    float64 // relative capacity, as configured in discovery
	StartedAt float64 `json:"Born"` // time of its last start; 0 if that is unknown or long ago
}

// ListKind says how the entries of a Backends event relate to the current list.
type ListKind int

// The values of ListKind.
const (
	FullList   ListKind = iota // replaces the list
	Delta                      // changed entries only
	CachedList                 // replaces the list with the last known one, when a gateway starts
	ListFailed                 // discovery failed; the current list remains valid
)

// Outcome is the way in which an attempt, a probe or a counter call ended.
type Outcome int

// The values of Outcome. Full, ConnectFailed and NotStarted prove that an attempt had no effect.
const (
	Served        Outcome = iota
	Errored               // answered with an error
	Full                  // rejected before any work was done
	TimedOut              // no answer in time
	ConnectFailed         // no connection
	Broken                // the connection broke
	Cancelled
	NotStarted // the attempt was abandoned before its backend received it
)

// Event is an input of Gateway.Handle.
type Event interface{ event() }

// Backends is an update from discovery.
type Backends struct {
	Kind    ListKind
	Entries []Backend
}

// Request is a request received from a client. Unless the client leaves, it gets exactly one final answer: that
// of a backend, a Refuse or a Fail.
type Request struct {
	ID            RequestID
	Customer      CustomerID
	Plan          int    // index into Settings.Plans
	Class         int    // index into Settings.Classes
	ClassOverride *Class // overrides Class, when that class has changed since the request was received
	Units         float64
	FirstGateway  int     // rank of the first of the GatewayCount consecutive gateways that serve this customer
	GatewayCount  int     // number of gateways that serve this customer
	Sent          float64 // time at which the client sent it; 0 means now
	Deadline      float64 // time at which the client stops waiting
	ClientRetry   bool    // marked by the client as a retry
	Identity      uint64  // hash of the id that the client gave it; 0: unknown
	BodyPending   bool    // the body is incomplete; Sent and Deadline take effect with BodyComplete
}

// BodyComplete reports that the body of a request with BodyPending has been received completely. It can
// only come while an attempt is forwarding the body; the attempt counts as sent at that moment.
type BodyComplete struct {
	Request  RequestID
	Deadline float64 // replaces Request.Deadline
}

// BodyConsumed reports that an attempt has begun to read the part of a pending body that is not kept. The
// request can't be sent again. It precedes BodyComplete, and comes while the attempt is in flight.
type BodyConsumed struct{ Request RequestID }

// Established reports that a streamed answer has begun.
type Established struct {
	Request RequestID
	Attempt int // number of the attempt, from 0
	Backend BackendID
	Took    float64 // time since the attempt was sent
	Units   float64 // actual units; 0 if unknown
}

// AttemptEnd reports the end of an attempt. Each attempt ends exactly once.
type AttemptEnd struct {
	Request       RequestID
	Attempt       int // number of the attempt, from 0
	Backend       BackendID
	Outcome       Outcome
	Took          float64 // time since the attempt was sent
	Done          bool    // the client has its final answer
	CustomerUsage int     // 1 + the customer's quota usage in percent; 0 if unknown
	Units         float64 // actual units; 0 if unknown
	LoadData      []float64
}

// Probed reports the result of a probe.
type Probed struct {
	Backend  BackendID
	Outcome  Outcome
	Took     float64
	LoadData []float64
}

// ClientGone reports that a client no longer waits for its answer.
type ClientGone struct{ Request RequestID }

// Timer reports that the timer with this token has expired.
type Timer struct{ Token uint64 }

// CounterReply answers one Count. With Served, Total is the new total. With Errored the amount was added and
// the total is unknown. With Full and ConnectFailed nothing was added; with TimedOut and Broken the amount
// may have been added.
type CounterReply struct {
	Call    uint64 // of the Count; 0: the oldest one for the name that has no reply
	Name    uint64
	Outcome Outcome
	Total   float64
	Took    float64
}

// PeerMessage carries data from another gateway.
type PeerMessage struct {
	From int
	Data []byte
}

// ApplySettings replaces the settings. Requests in progress keep the class they were received with.
type ApplySettings struct{ Settings Settings }

// OperatorOverride takes a backend out of use, or puts it back. It is independent of the backend's state in
// discovery: a backend gets requests only if both allow it.
type OperatorOverride struct {
	Backend BackendID
	Offline bool
}

// Export requests the state for a sibling process that has just started. The answer is an Exported action.
type Export struct{}

// Import loads the state exported by the sibling process. It precedes the first request.
type Import struct{ Snapshot Snapshot }

// SiblingProcess reports the state of the sibling process: the other process of this gateway during a
// hand-over, with which this process exchanged a Snapshot.
type SiblingProcess int

// The values of SiblingProcess.
const (
	SiblingAbsent   SiblingProcess = iota // it has ended
	SiblingServing                        // it accepts clients as well
	SiblingDraining                       // it accepts no more clients
)

// Members reports which gateways are present, by rank. Other gateways may have a different view.
type Members struct{ Present []bool }

// Shutdown announces that the process ends at Deadline and can send no answer after it.
type Shutdown struct{ Deadline float64 }

// Snapshot is the state that one process of a gateway hands over to the next: operator overrides, statistics of
// backends, and a part of its leases, which the exporting process gives up.
type Snapshot struct {
	ConcurrencyLimit   float64 `json:"Bound"` // attempts in flight
	Latency            float64 // mean
	Spread             float64 // mean deviation of the latency
	Pressure           float64 // mean of latency divided by aim
	CounterFailureRate float64 `json:"Crowd"`
	WarmSendRate       float64 `json:"WarmRate"` // attempts per second to each warm backend
	RetryBudget        float64 // retries that the reader may make
	Backends           []BackendRecord
	Customers          []CustomerRecord
	AllowancesEmptyAt  float64          `json:",omitempty"` // of customers that were dropped; 0: all were full
	Identities         []IdentityRecord `json:",omitempty"` // oldest first
}

// IdentityRecord is the id of a request that may have run, as a hash, in a Snapshot.
type IdentityRecord struct {
	Identity   uint64
	AcceptedAt float64 // time at which the request was accepted
}

// BackendRecord is the state of one backend in a Snapshot.
type BackendRecord struct {
	Backend
	Offline       bool    `json:"Banned"` // by operator override
	FailureRate   float64 `json:"Fail"`
	Latency       float64 // mean; 0 if there has been no answer
	LastServed    float64 `json:"LastOK"` // time of the last successful answer
	TrialAt       float64 // time of the next trial of an ejected backend
	TrialInterval float64 `json:"TrialGap"`
	ColdBudget    float64 `json:"Budget"`     // attempts that it may get during slow start
	ColdBudgetAt  float64 `json:"BudgetedAt"` // time at which ColdBudget was computed
	ColdSince     float64 `json:"WarmsFrom"`  // time of its last start on the exporting process's clock; 0 if long ago
}

// CustomerRecord is the quota state of one customer in a Snapshot.
type CustomerRecord struct {
	ID             CustomerID
	Plan           int     // index into Settings.Plans
	Gateways       int     // number of gateways that serve the customer
	Index          int     // position of this gateway among them
	Demand         float64 // units per second at this gateway
	LastSeen       float64 `json:"Seen"` // time of its last request
	Units          float64 // leased and not spent
	Expires        float64 // time at which the lease expires
	LeaseWindow    float64 `json:"Leased"` // number of the window in which the units were leased
	Window         float64 // number of the current window of the counter
	KnownTotal     float64 `json:"Known"` // last known total of the window; 0 if unknown
	TotalReceived  bool    `json:"Met"`   // the counter has answered for this customer
	ExhaustedUntil float64 `json:"DryUntil"`
	Backoff        float64 `json:"Rest"`     // delay after a failed call
	BackoffUntil   float64 `json:"RestTill"` // time of the next call after a failed one
	LocalUnits     float64 `json:"Local"`    // local allowance for when the counter does not answer
	LocalUnitsAt   float64 `json:"LocalAt"`  // time at which LocalUnits was computed
}

func (Backends) event()         {}
func (BodyComplete) event()     {}
func (BodyConsumed) event()     {}
func (Export) event()           {}
func (Import) event()           {}
func (SiblingProcess) event()   {}
func (Shutdown) event()         {}
func (Members) event()          {}
func (OperatorOverride) event() {}
func (ApplySettings) event()    {}
func (Request) event()          {}
func (Established) event()      {}
func (AttemptEnd) event()       {}
func (Probed) event()           {}
func (ClientGone) event()       {}
func (Timer) event()            {}
func (CounterReply) event()     {}
func (PeerMessage) event()      {}

// Action is an output of Gateway.Handle that the caller carries out.
type Action interface{ action() }

// Send starts the next attempt of a request.
type Send struct {
	Request       RequestID
	Backend       BackendID
	Timeout       float64 // 0 means until the request's deadline
	WriteDeadline float64 // time from which the attempt must not be written to the backend; 0 means none
}

// Cancel abandons an attempt, which still ends with an AttemptEnd.
type Cancel struct {
	Request RequestID
	Attempt int // number of the attempt, from 0
}

// Refuse is a final answer after which a client retry is safe: the request had no effect, or repeating it
// does no harm.
type Refuse struct {
	Request    RequestID
	RetryAfter float64 // how long the client should wait before a client retry
	Reason     Reason
}

// Fail is a final answer with no promise about the effect of the request.
type Fail struct {
	Request RequestID
	Reason  Reason
}

// SetTimer asks for a Timer event. If Request is set, the caller may drop the timer once that request is
// answered and has no attempt in flight.
type SetTimer struct {
	Delay   float64
	Token   uint64
	Request RequestID // 0 means none
}

// Count adds Amount to a total on the shared counter and asks for the new total in a CounterReply. A total
// starts at 0 with its first Count; the counter deletes it after TTL.
type Count struct {
	Call   uint64  // number of the call, from 1
	Name   uint64  // of the total
	Amount float64 // units or slots; may be negative
	TTL    float64
}

// Probe asks a backend for its load. The answer is a Probed event.
type Probe struct{ Backend BackendID }

// Subscribe asks discovery for updates, which come as Backends events.
type Subscribe struct{}

// Exported answers an Export.
type Exported struct{ Snapshot Snapshot }

// Log writes one line to the operators' log.
type Log struct{ Text string }

func (Send) action()      {}
func (Cancel) action()    {}
func (Refuse) action()    {}
func (Fail) action()      {}
func (SetTimer) action()  {}
func (Count) action()     {}
func (Probe) action()     {}
func (Subscribe) action() {}
func (Exported) action()  {}
func (Log) action()       {}
