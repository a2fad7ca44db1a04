// Package referee checks from outside whether gateways keep the rules. It observes what
// clients send and receive, what arrives at backends, and what gateways are told, all in the
// order of the emulator's events. It is pure: callers pass the time.
package referee

import (
	"fmt"
	"strings"
	"time"

	"dunlintray/internal/scenario"
)

// The names of the rules, as violations have them.
const (
	Answer   = "answer"   // each accepted request gets one complete, correct, final response in time
	Twice    = "twice"    // and no further one
	Copy     = "copy"     // one attempt of a request is in progress at a time
	Resend   = "resend"   // retries only as the class permits
	Refusal  = "refusal"  // a response that permits a retry only if no attempt may have run
	Most     = "most"     // no more attempts than the settings permit
	Drain    = "drain"    // no new requests to a backend that drains
	List     = "list"     // what a registry has confirmed is in its lists
	Cold     = "cold"     // no cold backend fails from overload
	Ceiling  = "ceiling"  // no customer exceeds its plan's ceiling
	Unknown  = "unknown"  // no request that no client sent, and none to a backend that no list named
	Changed  = "changed"  // requests are passed on unchanged
	Crash    = "crash"    // a gateway exits only when told to
	Stop     = "stop"     // a gateway that is told to stop exits in time
	Peer     = "peer"     // datagrams between gateways are short
	Door     = "door"     // at most one new connection in 200 is closed without a response
	View     = "view"     // gateways hold the right members present, some time after each change
	Standing = "standing" // and report their connectivity correctly, without flapping
)

const (
	mostKept   = 100                    // violations that are kept; further ones are only counted
	mostEvents = 64                     // entries of a request's history
	ceilingFor = 150 * time.Millisecond // slack of a ceiling in time, for chance
	doorShare  = 200                    // one new connection in so many may be closed
	coldSlack  = 6                      // slack of a cold backend's budget in mean requests, for chance
)

// Referee judges one run. It is not safe for concurrent use.
type Referee struct {
	s          *scenario.Scenario
	violations []Violation
	counts     map[string]int // violations by rule
	tried      map[string]int // situations in which a rule could have been broken; see Trials

	open      map[uint64]*record // requests by ID
	gateways  []gateway
	backends  map[int]*backend
	customers map[uint64]*store
	enlisted  map[int]enlisted
	load      load
	ground    *ground // true connectivity of the gateways; nil: not reported
	swings    int     // consecutive changes of ground in short succession
	counter   string  // what the counter does
	counterAt time.Duration
	taken     int // accepted requests
	door      int // new connections that were closed without a response
	nearest   float64
	low       int     // customers that came to under a third of their bucket
	coldMost  float64 // largest used fraction of a cold backend's budget
}

// gateway is the state of a gateway.
type gateway struct {
	excused  bool          // it is down, frozen or cut off by a fault
	stopping time.Duration // when it was told to stop; below 0: it was not
	told     map[int]told  // by backend
	version  int64         // of the last list that it received
	checked  map[int]int64 // by backend: the version of the last enlisted state that was checked
	crowded  time.Duration // until then it has more idle peers than places
	stand    stand
}

// New returns a referee for a fleet without backends yet.
func New(s *scenario.Scenario) *Referee {
	r := &Referee{s: s, counts: map[string]int{}, tried: map[string]int{Crash: s.Fleet.Gateways}, open: map[uint64]*record{}, gateways: make([]gateway, s.Fleet.Gateways),
		backends: map[int]*backend{}, customers: map[uint64]*store{}, enlisted: map[int]enlisted{}, counter: CounterAvailable, nearest: 1}
	for g := range r.gateways {
		r.gateways[g] = gateway{told: map[int]told{}, checked: map[int]int64{}, stopping: -1}
		r.gateways[g].stand.fresh()
	}
	return r
}

// Violations returns the first violations, and the number for each rule.
func (r *Referee) Violations() ([]Violation, map[string]int) { return r.violations, r.counts }

// violate records a violation. rec is the request concerned, or nil.
func (r *Referee) violate(now time.Duration, rule string, gateway int, rec *record, format string, args ...any) {
	r.counts[rule]++
	if len(r.violations) >= mostKept {
		return
	}
	v := Violation{At: now, Rule: rule, Gateway: gateway, Text: fmt.Sprintf(format, args...)}
	if rec != nil {
		v.Request = rec.ID
		v.Text = fmt.Sprintf("class %s, due at %v: %s", rec.class.Name, rec.Deadline.Round(time.Millisecond), v.Text)
		for _, e := range rec.history {
			text := e.text
			if strings.Contains(text, "%") {
				text = fmt.Sprintf(text, e.n)
			}
			v.History = append(v.History, fmt.Sprintf("%v %s", e.at.Round(100*time.Microsecond), text))
		}
	}
	r.violations = append(r.violations, v)
}

// MinCeilingRemaining returns the smallest fraction that any customer had left of its ceiling's bucket,
// slack included: 1 all, 0 nothing.
func (r *Referee) MinCeilingRemaining() float64 { return r.nearest }

// LowCustomers returns the number of customers that came to under a third of their bucket.
func (r *Referee) LowCustomers() int { return r.low }

// MaxColdBudgetUsed returns the largest used fraction of a cold backend's budget.
func (r *Referee) MaxColdBudgetUsed() float64 { return r.coldMost }

// End judges the rules that apply to the whole run.
func (r *Referee) End(now time.Duration) {
	if r.door*doorShare > r.taken+doorShare {
		r.violate(now, Door, -1, nil, "%d of %d requests met a new connection that was closed without a word", r.door, r.taken)
	}
}
