// Package scenario defines the file format in which operators describe a fleet, its load and
// its faults. It also generates the configuration of every process of the fleet.
package scenario

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Scenario describes a fleet, its load and its faults over a period of time.
type Scenario struct {
	Name          string   `toml:"name"`
	Seed          uint64   `toml:"seed"`     // of all random draws
	Duration      Duration `toml:"duration"` // the period in which clients send new requests
	RequiredRules []string `toml:"tried"`    // rules that the run has to exercise; it fails if one is not

	Fleet   Fleet   `toml:"fleet"`
	Backend Backend `toml:"backend"`
	Counter Counter `toml:"counter"`
	Network Network `toml:"network"`
	Rules   Rules   `toml:"rules"`
	Load    Load    `toml:"load"`
	Classes []Class `toml:"class"`
	Plans   []Plan  `toml:"plan"`
	Faults  []Fault `toml:"fault"`
}

// Fleet describes the processes of a fleet.
type Fleet struct {
	Gateways     int      `toml:"gateways"`
	Backends     int      `toml:"backends"`
	Zones        []string `toml:"zones"`
	ListServices int      `toml:"list_services"` // service registries: a writer and its followers; 0: the emulator serves the lists
	KeepLists    bool     `toml:"keep_lists"`    // registries store their list on disk
	Group        bool     `toml:"group"`         // registries replicate the list and elect the writer
	Membership   bool     `toml:"membership"`    // gateways exchange who is present
	Cores        float64  `toml:"cores"`         // per gateway
	MemoryMB     int      `toml:"memory_mb"`     // per gateway
	Sockets      int      `toml:"sockets"`       // file descriptors per gateway
}

// Backend describes the capacity and behaviour of each backend.
type Backend struct {
	Cores        float64  `toml:"cores"`
	Slots        int      `toml:"slots"`         // requests served concurrently
	Queue        int      `toml:"queue"`         // requests that may wait for a slot
	Connections  int      `toml:"connections"`   // limit, over all gateways
	OverloadLoss float64  `toml:"overfull"`      // fraction of the capacity lost when all slots are in use
	Handshake    Duration `toml:"handshake"`     // CPU time of a new connection
	KeepAlive    Duration `toml:"keep_alive"`    // idle timeout of connections
	Cells        int      `toml:"cells"`         // groups of backends that share their record of keys
	ColdFrom     float64  `toml:"cold_from"`     // fraction of the capacity at a start
	ColdDuration Duration `toml:"cold"`          // from a start to full capacity
	ColdMultiple float64  `toml:"cold_multiple"` // a cold backend fails when it receives so many times its capacity
	OverloadFor  Duration `toml:"overload_for"`  // the period over which that is measured
	LoadReports  bool     `toml:"load_reports"`  // responses carry the backend's load
}

// Counter describes the counter, the service in which gateways share their counts.
type Counter struct {
	CallsPerS float64  `toml:"calls_per_s"` // capacity
	Queue     int      `toml:"queue"`       // calls that may wait; the counter rejects further ones
	Delay     Duration `toml:"delay"`
	Timeout   Duration `toml:"timeout"` // of the gateways' calls
	Price     float64  `toml:"price"`   // per call
}

// Network describes the delays and losses between processes.
type Network struct {
	ConnectTimeout   Duration `toml:"connect_timeout"`
	Delay            Duration `toml:"delay"`         // one way
	CrossZone        Duration `toml:"cross_zone"`    // one way, added between zones
	ListDelay        Duration `toml:"list_delay"`    // limit of the time until a gateway receives a change of the list
	FailureDetection Duration `toml:"notice"`        // until the load balancer notices that a gateway has failed
	PeerDelay        Duration `toml:"peer_delay"`    // limit of what is added to Delay for a datagram between gateways
	PeerLoss         float64  `toml:"peer_loss"`     // fraction of those datagrams that is lost
	PeerInPerS       float64  `toml:"peer_in_per_s"` // datagrams that a gateway receives per second, at most
}

// Rules holds the limits by which the referee judges gateways.
type Rules struct {
	AnswerSlack      Duration `toml:"answer_slack"` // after a deadline, as configured at the gateways
	LostAfter        Duration `toml:"lost_after"`   // after a deadline; a later response counts as none
	DrainGrace       Duration `toml:"drain_grace"`  // until a gateway stops using a backend that drains
	MaxAttempts      int      `toml:"attempts"`     // per request
	ObservationSlack Duration `toml:"observe"`      // by which the emulator may observe events late
	ViewTimeout      Duration `toml:"views"`        // until gateways hold the right members present, after each change
}

// Load describes the requests of the clients.
type Load struct {
	RequestsPerS      float64  `toml:"requests_per_s"` // without client retries
	Shape             []Step   `toml:"shape"`          // factors on that rate over time; 1 if there are none
	ShiftEvery        Duration `toml:"shift_every"`    // interval at which customers change their rates; 0: never
	Skew              float64  `toml:"skew"`           // unevenness of the customers' rates; 0: even
	Retries           int      `toml:"retries"`        // limit of client retries per request
	RetryAfter        Duration `toml:"retry_after"`    // pause before a client retry, doubled each time
	AbandonedFraction float64  `toml:"impatient"`      // fraction of the requests that clients abandon early
}

// Step sets the factor on the load at a time. The factor changes linearly up to the next step.
type Step struct {
	At     Duration `toml:"at"`
	Factor float64  `toml:"times"`
}

// Class describes a class of requests.
type Class struct {
	Name            string   `toml:"name"`
	RequestFraction float64  `toml:"share"`
	Worth           float64  `toml:"worth"`
	LateWorth       float64  `toml:"late_worth"` // fraction of Worth for a response between aim and deadline
	Aim             Duration `toml:"aim"`
	Deadline        Duration `toml:"deadline"`
	Effect          string   `toml:"effect"` // repeatable, by_key or once
	Scope           string   `toml:"scope"`  // of a key: all, zone or cell
	Window          Duration `toml:"window"` // for which backends remember a key
	Work            Duration `toml:"work"`   // mean CPU time at a backend
	Units           int      `toml:"units"`  // of the customer's quota
	BodyBytes       int64    `toml:"body_bytes"`
	AnswerBytes     int64    `toml:"answer_bytes"`
}

// Plan describes the terms under which customers use the service.
type Plan struct {
	Name            string  `toml:"name"`
	RequestFraction float64 `toml:"share"`
	Customers       int     `toml:"customers"`
	Price           float64 `toml:"price"`
	Rate            float64 `toml:"rate"`       // units per second
	Burst           float64 `toml:"burst"`      // units
	OverWorth       float64 `toml:"over_worth"` // factor on the worth of an over-quota request
	OverCost        float64 `toml:"over_cost"`  // cost of serving one, as a fraction of its worth
	CeilingRate     float64 `toml:"ceiling_rate"`
	CeilingBurst    float64 `toml:"ceiling_burst"`
	CeilingSlack    float64 `toml:"ceiling_slack"`
	Spread          int     `toml:"spread"` // gateways in a customer's set
}

// Fault describes one fault.
type Fault struct {
	Kind     string   `toml:"kind"` // a key of FaultKinds
	At       Duration `toml:"at"`
	For      Duration `toml:"for"`
	Fraction float64  `toml:"part,omitempty"` // fraction of the gateways or backends that it affects
	Zone     string   `toml:"zone,omitempty"` // zone that it affects
	Size     float64  `toml:"size,omitempty"` // see FaultKind.SizeMeaning

	Target string `toml:"who,omitempty"` // affected processes, see ParseActor; replaces Fraction and Zone

	// For faults of links:
	From      string   `toml:"from,omitempty"` // the actor that connects, see ParseActor
	To        string   `toml:"to,omitempty"`
	Direction string   `toml:"way,omitempty"` // there, back or both; both if empty
	Effect    string   `toml:"how,omitempty"` // see package link
	Delay     Duration `toml:"delay,omitempty"`
	Jitter    Duration `toml:"jitter,omitempty"`
	Flap      Duration `toml:"flap,omitempty"` // half of the period in which it comes and goes, 0: it stays; of a crash loop: the lifetime of each process
}

// FaultKind describes the parameters of a kind of fault.
type FaultKind struct {
	ByPart         bool   // it affects gateways or backends, chosen by fraction or zone
	NeedsZone      bool   // it affects a zone
	SizeMeaning    string // what the size stands for; empty if it takes none
	SizeIsFraction bool   // the size is from 0 to 1
	IsLink         bool   // it affects links: it takes from, to, way and how
	AllowsTarget   bool   // it takes who, and can affect service registries
	NeedsFlap      bool
	Description    string
}

// FaultKinds holds the kinds of faults by name.
var FaultKinds = map[string]FaultKind{
	"kill":           {ByPart: true, AllowsTarget: true, Description: "gateways, or list services, are killed, and started again after for"},
	"gone":           {ByPart: true, AllowsTarget: true, Description: "machines of gateways, or of list services, fall silent with all their connections, and are started again after for"},
	"restart":        {ByPart: true, AllowsTarget: true, Description: "gateways are told to end and started again, a tenth at a time over for; a list service is told to end, and started again after for"},
	"slow_start":     {ByPart: true, AllowsTarget: true, Description: "gateways, or list services, are killed, and their next processes stand still for so long at their start"},
	"crash_loop":     {ByPart: true, AllowsTarget: true, NeedsFlap: true, Description: "gateways, or list services, are killed each flap, and started again each time"},
	"freeze":         {ByPart: true, AllowsTarget: true, Description: "gateways, or list services, stand still (SIGSTOP)"},
	"crash":          {ByPart: true, Description: "processes of backends end; they come back cold after for"},
	"vanish":         {ByPart: true, Description: "machines of backends fall silent; they come back cold"},
	"replace":        {ByPart: true, Description: "backends drain and leave in steps over for, others come cold in their place"},
	"slow":           {ByPart: true, SizeMeaning: "times the work of a request", Description: "backends are slow"},
	"errors":         {ByPart: true, SizeMeaning: "share of the requests", SizeIsFraction: true, Description: "backends fail fast (500)"},
	"spoilt":         {ByPart: true, SizeMeaning: "share of the answers", SizeIsFraction: true, Description: "answers of backends end before they are whole"},
	"resets":         {ByPart: true, SizeMeaning: "share of the requests", SizeIsFraction: true, Description: "backends reset connections under requests"},
	"apart":          {Description: "all zones are cut off from each other"},
	"cut":            {NeedsZone: true, Description: "a zone is cut off from the others, and the counter from all other zones if it stands there"},
	"counter_silent": {Description: "the counter falls silent and comes back empty"},
	"counter_empty":  {Description: "the counter has lost everything at once; for is not used"},
	"counter_slow":   {SizeMeaning: "times its usual time for a call", Description: "the counter serves calls slowly, and turns more away"},
	"link":           {IsLink: true, SizeMeaning: "bytes that a cut lets pass, or that pass in a second where it is slow", Description: "links from one actor to another, or one way of them, do what how says"},
	"list_late":      {Description: "no list is told"},
	"list_stale":     {Description: "who asks for a whole list gets the one from before"},
	"writer_killed":  {Description: "the list service that writes is killed, and started again after for"},
	"burst":          {SizeMeaning: "times the load", Description: "more requests come"},
	"rude":           {SizeMeaning: "connections to each gateway", Description: "clients connect and send nothing, or a head byte by byte"},
}

// Duration is a time.Duration that is encoded in Go's notation, such as "250ms".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Seconds returns the duration in seconds.
func (d Duration) Seconds() float64 { return time.Duration(d).Seconds() }

// String formats the duration as time.Duration does.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"250ms\"", text)
	}
	*d = Duration(v)
	return nil
}

// Default returns a small fleet under a load within its capacity. Scenario files override parts
// of it.
func Default() Scenario {
	const ms = Duration(time.Millisecond)
	return Scenario{
		Name: "default", Seed: 1, Duration: 15000 * ms,
		Fleet: Fleet{Gateways: 3, Backends: 6, Zones: []string{"a", "b"}, ListServices: 2, KeepLists: true, Cores: 1, MemoryMB: 64, Sockets: 512},
		Backend: Backend{Cores: 2, Slots: 16, Queue: 32, Connections: 256, OverloadLoss: 0.3, Handshake: 2 * ms, KeepAlive: 15000 * ms, Cells: 2,
			ColdFrom: 0.2, ColdDuration: 8000 * ms, ColdMultiple: 4, OverloadFor: 1500 * ms, LoadReports: true},
		Counter: Counter{CallsPerS: 2000, Queue: 100, Delay: 1 * ms, Timeout: 80 * ms, Price: 0.02},
		Network: Network{ConnectTimeout: 250 * ms, Delay: ms / 2, CrossZone: ms, ListDelay: 200 * ms, FailureDetection: 1000 * ms, PeerDelay: 5 * ms, PeerLoss: 0.01, PeerInPerS: 100},
		Rules:   Rules{AnswerSlack: 20 * ms, LostAfter: 500 * ms, DrainGrace: 1000 * ms, MaxAttempts: 3, ObservationSlack: 50 * ms, ViewTimeout: 12000 * ms},
		Load:    Load{RequestsPerS: 300, ShiftEvery: 5000 * ms, Skew: 0.7, Retries: 2, RetryAfter: 100 * ms, AbandonedFraction: 0.01},
		Classes: []Class{
			{Name: "browse", RequestFraction: 0.6, Worth: 1, Aim: 250 * ms, Deadline: 1500 * ms, Effect: "repeatable", Work: 10 * ms, Units: 1, AnswerBytes: 4000},
			{Name: "reserve", RequestFraction: 0.3, Worth: 3, LateWorth: 0.2, Aim: 400 * ms, Deadline: 2000 * ms, Effect: "by_key", Scope: "all", Window: 10000 * ms,
				Work: 20 * ms, Units: 2, BodyBytes: 400, AnswerBytes: 1000},
			{Name: "pay", RequestFraction: 0.1, Worth: 8, Aim: 500 * ms, Deadline: 2500 * ms, Effect: "once", Work: 25 * ms, Units: 2, BodyBytes: 300, AnswerBytes: 300},
		},
		Plans: []Plan{
			{Name: "basic", RequestFraction: 0.5, Customers: 60, Price: 1, Rate: 6, Burst: 18, OverCost: 0.5, Spread: 3},
			{Name: "team", RequestFraction: 0.3, Customers: 20, Price: 1.5, Rate: 14, Burst: 30, OverWorth: 0.3, OverCost: 0.2, Spread: 3},
			{Name: "enterprise", RequestFraction: 0.2, Customers: 6, Price: 3, Rate: 30, Burst: 60, OverCost: 1, CeilingRate: 40, CeilingBurst: 90, CeilingSlack: 8, Spread: 3},
		},
	}
}

// Limits of the time between SIGTERM and SIGKILL.
const (
	maxCountedDeadline = 3 * time.Second // limit on the longest deadline in the calculation
	killGrace          = 700 * time.Millisecond
)

// KillAfter returns the time from SIGTERM to the earliest SIGKILL.
func (s *Scenario) KillAfter() time.Duration {
	longest := time.Duration(0)
	for _, c := range s.Classes {
		longest = max(longest, c.Deadline.Std())
	}
	return min(longest, maxCountedDeadline) + killGrace
}

// FaultKindNames returns the names of the kinds of faults, sorted.
func FaultKindNames() []string { return slices.Sorted(maps.Keys(FaultKinds)) }
