// Package scenario is the operators' format for a fleet and a day on it: how
// large it is, who calls, what goes wrong and when. From it come the world that
// is emulated and the configuration of every process.
package scenario

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Scenario is one fleet and one day on it.
type Scenario struct {
	Name          string   `toml:"name"`
	Seed          uint64   `toml:"seed"`     // of all that is drawn
	Duration      Duration `toml:"duration"` // for which first tries arrive
	RequiredRules []string `toml:"tried"`    // rules that the day is there to try: a play in which one was not fails

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

// Fleet is what there is.
type Fleet struct {
	Gateways     int      `toml:"gateways"`
	Backends     int      `toml:"backends"`
	Zones        []string `toml:"zones"`
	ListServices int      `toml:"list_services"` // a writer and its followers; 0: the world tells the lists itself
	KeepLists    bool     `toml:"keep_lists"`    // list services keep what they have on disk
	Group        bool     `toml:"group"`         // list services agree on the list, and choose who writes
	Membership   bool     `toml:"membership"`    // gateways tell each other who is present
	Cores        float64  `toml:"cores"`         // of a gateway
	MemoryMB     int      `toml:"memory_mb"`     // of a gateway
	Sockets      int      `toml:"sockets"`       // descriptors of a gateway
}

// Backend is what one backend is and what it bears.
type Backend struct {
	Cores        float64  `toml:"cores"`
	Slots        int      `toml:"slots"`       // requests in work at once
	Queue        int      `toml:"queue"`       // requests that wait for a slot
	Connections  int      `toml:"connections"` // from all gateways together
	OverloadLoss float64  `toml:"overfull"`    // share of the capacity lost when all slots are in use
	Handshake    Duration `toml:"handshake"`   // work of a new connection
	KeepAlive    Duration `toml:"keep_alive"`  // an idle connection is closed after it
	Cells        int      `toml:"cells"`       // groups that share which keys they have seen
	ColdFrom     float64  `toml:"cold_from"`   // share of the capacity just after a start
	ColdDuration Duration `toml:"cold"`        // until it is warm
	ColdMultiple float64  `toml:"cold_multiple"`
	OverloadFor  Duration `toml:"overload_for"`
	LoadReports  bool     `toml:"load_reports"`
}

// Counter is the service that keeps numbers for all gateways.
type Counter struct {
	CallsPerS float64  `toml:"calls_per_s"`
	Queue     int      `toml:"queue"` // calls that wait; more are turned away
	Delay     Duration `toml:"delay"`
	Timeout   Duration `toml:"timeout"` // of the gateways
	Price     float64  `toml:"price"`
}

// Network is what lies between.
type Network struct {
	ConnectTimeout   Duration `toml:"connect_timeout"`
	Delay            Duration `toml:"delay"`      // one way
	CrossZone        Duration `toml:"cross_zone"` // one way, more between zones
	ListDelay        Duration `toml:"list_delay"` // at most, until a gateway is told of a change
	FailureDetection Duration `toml:"notice"`     // until the front sees that a gateway has died
	PeerDelay        Duration `toml:"peer_delay"` // at most, of a datagram between gateways beyond the delay
	PeerLoss         float64  `toml:"peer_loss"`  // share of them that never comes
	PeerInPerS       float64  `toml:"peer_in_per_s"`
}

// Rules are the figures of what a gateway must not do.
type Rules struct {
	AnswerSlack      Duration `toml:"answer_slack"` // behind a deadline, as the gateways are told
	LostAfter        Duration `toml:"lost_after"`   // behind a deadline, an answer counts as none
	DrainGrace       Duration `toml:"drain_grace"`
	MaxAttempts      int      `toml:"attempts"` // of one request, at most
	ObservationSlack Duration `toml:"observe"`  // by which the emulation may see things late
	ViewTimeout      Duration `toml:"views"`    // until gateways hold present who is, after each change
}

// Load is who calls, and how often.
type Load struct {
	RequestsPerS      float64  `toml:"requests_per_s"` // first tries
	Shape             []Step   `toml:"shape"`          // factors on that rate over time; without any, 1
	ShiftEvery        Duration `toml:"shift_every"`    // customers change how much they ask; 0: never
	Skew              float64  `toml:"skew"`           // how uneven customers are; 0: not
	Retries           int      `toml:"retries"`        // of a client, at most
	RetryAfter        Duration `toml:"retry_after"`    // a client's pause, doubled each time
	AbandonedFraction float64  `toml:"impatient"`      // share of the tries that are given up early
}

// Step is the load's factor from a moment on, up to the next step's in a line.
type Step struct {
	At     Duration `toml:"at"`
	Factor float64  `toml:"times"`
}

// Class is one class of requests.
type Class struct {
	Name            string   `toml:"name"`
	RequestFraction float64  `toml:"share"` // of the requests
	Worth           float64  `toml:"worth"`
	LateWorth       float64  `toml:"late_worth"` // share of it between aim and deadline
	Aim             Duration `toml:"aim"`
	Deadline        Duration `toml:"deadline"`
	Effect          string   `toml:"effect"` // repeatable, by_key or once
	Scope           string   `toml:"scope"`  // of by_key: all, zone or cell
	Window          Duration `toml:"window"` // of by_key
	Work            Duration `toml:"work"`   // of one core, in the mean
	Units           int      `toml:"units"`  // of the quota
	BodyBytes       int64    `toml:"body_bytes"`
	AnswerBytes     int64    `toml:"answer_bytes"`
}

// Plan is what customers have bought.
type Plan struct {
	Name            string  `toml:"name"`
	RequestFraction float64 `toml:"share"` // of the requests
	Customers       int     `toml:"customers"`
	Price           float64 `toml:"price"`
	Rate            float64 `toml:"rate"`  // units a second
	Burst           float64 `toml:"burst"` // units
	OverWorth       float64 `toml:"over_worth"`
	OverCost        float64 `toml:"over_cost"`
	CeilingRate     float64 `toml:"ceiling_rate"`
	CeilingBurst    float64 `toml:"ceiling_burst"`
	CeilingSlack    float64 `toml:"ceiling_slack"`
	Spread          int     `toml:"spread"` // gateways in a customer's set
}

// Fault is one thing that goes wrong.
type Fault struct {
	Kind     string   `toml:"kind"`
	At       Duration `toml:"at"`
	For      Duration `toml:"for"`
	Fraction float64  `toml:"part,omitempty"` // share of those that it can befall
	Zone     string   `toml:"zone,omitempty"` // befalls this zone alone
	Size     float64  `toml:"size,omitempty"` // see Kinds

	Target string `toml:"who,omitempty"` // a process or several, see ParseActor, in place of part and zone

	// Of a link:
	From      string   `toml:"from,omitempty"` // the actor that connects, see ParseActor
	To        string   `toml:"to,omitempty"`
	Direction string   `toml:"way,omitempty"` // there, back or both; both, if empty
	Effect    string   `toml:"how,omitempty"` // see link.Kinds
	Delay     Duration `toml:"delay,omitempty"`
	Jitter    Duration `toml:"jitter,omitempty"`
	Flap      Duration `toml:"flap,omitempty"` // it comes and goes, each for so long; 0: it stays. Of a crash loop: how long each life lasts
}

// FaultKind tells what a kind of fault takes.
type FaultKind struct {
	ByPart         bool   // of gateways or backends: by part or by zone
	NeedsZone      bool   // needs a zone
	SizeMeaning    string // what the size is; empty where it takes none
	SizeIsFraction bool   // the size is a share
	IsLink         bool   // it takes from, to, way and how
	AllowsTarget   bool   // it can be told who, and befalls list services too
	NeedsFlap      bool   // it needs a flap
	Description    string
}

// FaultKinds are the faults that there are.
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

// Duration is a time.Duration written as Go writes it: "250ms".
type Duration time.Duration

// Std is the duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Seconds is the duration in seconds.
func (d Duration) Seconds() float64 { return time.Duration(d).Seconds() }

func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText writes a duration.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText reads a duration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"250ms\"", text)
	}
	*d = Duration(v)
	return nil
}

// Default is a small fleet under a load that it bears, which scenarios change.
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

// How long a platform leaves a process after SIGTERM.
const (
	countedDeadline = 3 * time.Second // a longest deadline of a class above it counts as this
	killGrace       = 700 * time.Millisecond
)

// KillAfter returns the time from SIGTERM to the earliest SIGKILL.
func (s *Scenario) KillAfter() time.Duration {
	longest := time.Duration(0)
	for _, c := range s.Classes {
		longest = max(longest, c.Deadline.Std())
	}
	return min(longest, countedDeadline) + killGrace
}

// FaultKindNames are the names of the kinds of faults, in order.
func FaultKindNames() []string { return slices.Sorted(maps.Keys(FaultKinds)) }
