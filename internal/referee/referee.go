// Package referee checks from outside whether gateways keep the rules. It judges what clients send
// and receive, what arrives at backends and what gateways receive, in the order in which its caller
// reports that, and does no I/O.
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
	Twice    = "twice"    // no request gets a further response
	Copy     = "copy"     // one attempt of a request is in progress at a time
	Resend   = "resend"   // retries only as the class permits
	Refusal  = "refusal"  // a gateway refuses a request only if no attempt may have run, unless a repeat is harmless
	Most     = "most"     // no more attempts than the settings permit
	Drain    = "drain"    // no new requests to a backend that drains
	List     = "list"     // lists have the drains and departures that a registry has confirmed
	Cold     = "cold"     // no cold backend fails from overload
	Ceiling  = "ceiling"  // no customer exceeds its plan's ceiling
	Unknown  = "unknown"  // no request that no client sent, and none to a backend that no list named
	Changed  = "changed"  // requests are passed on unchanged
	Crash    = "crash"    // a gateway exits only when told to
	Stop     = "stop"     // a gateway that is told to stop exits in time
	Peer     = "peer"     // datagrams between gateways are short
	Door     = "door"     // at most one new connection in 200 is closed without a response
	View     = "view"     // gateways hold the right members present, some time after each change
	Standing = "standing" // gateways report their connectivity correctly, without flapping
)

const (
	maxKeptViolations          = 100                    // violations that are kept; further ones are only counted
	maxHistoryEvents           = 64                     // entries of a request's history
	ceilingSlackTime           = 150 * time.Millisecond // slack of a ceiling, as time at its rate
	requestsPerUnansweredClose = 200                    // one new connection in this many may be closed
	coldSlackRequests          = 6                      // slack of a cold backend's budget, in mean requests
)

// Referee judges one run. It is not safe for concurrent use.
type Referee struct {
	scenario   *scenario.Scenario
	violations []Violation
	counts     map[string]int // violations by rule
	tried      map[string]int // situations in which a rule could have been broken; see Trials

	requests            map[uint64]*record // requests by ID
	gateways            []gateway
	backends            map[int]*backend
	customers           map[uint64]*bucket
	registrations       map[int]registration
	load                fleetLoad
	partitions          *partitions // of the current topology; nil: not reported yet
	flaps               int         // consecutive changes of the topology, each within flapInterval of the last
	counterState        string      // one of CounterAvailable and the others
	counterChangedAt    time.Duration
	acceptedRequests    int
	unansweredCloses    int // new connections that were closed without a response
	minCeilingRemaining float64
	lowCustomers        int     // customers that came to under a third of their bucket
	maxColdBudgetUsed   float64 // largest used fraction of a cold backend's budget
}

// gateway is the state of a gateway.
type gateway struct {
	excused         bool                  // a fault has stopped, frozen or isolated it
	stoppingAt      time.Duration         // when it was told to stop; below 0: it was not
	backends        map[int]backendNotice // by backend
	listVersion     int64                 // of the last list that it received
	checkedVersions map[int]int64         // by backend: the version of the last registration that was checked
	saturatedUntil  time.Duration         // until then it has more idle connections than its limit
	reported        reportedState
}

// New returns a referee for a fleet without backends yet.
func New(s *scenario.Scenario) *Referee {
	r := &Referee{scenario: s, counts: map[string]int{}, tried: map[string]int{Crash: s.Fleet.Gateways}, requests: map[uint64]*record{}, gateways: make([]gateway, s.Fleet.Gateways),
		backends: map[int]*backend{}, customers: map[uint64]*bucket{}, registrations: map[int]registration{}, counterState: CounterAvailable, minCeilingRemaining: 1}
	for g := range r.gateways {
		r.gateways[g] = gateway{backends: map[int]backendNotice{}, checkedVersions: map[int]int64{}, stoppingAt: -1}
		r.gateways[g].reported.reset()
	}
	return r
}

// Violations returns the first violations, and the number for each rule.
func (r *Referee) Violations() ([]Violation, map[string]int) { return r.violations, r.counts }

// violate records a violation. rec is the request concerned, or nil.
func (r *Referee) violate(now time.Duration, rule string, gateway int, rec *record, format string, args ...any) {
	r.counts[rule]++
	if len(r.violations) >= maxKeptViolations {
		return
	}
	violation := Violation{At: now, Rule: rule, Gateway: gateway, Text: fmt.Sprintf(format, args...)}
	if rec != nil {
		violation.Request = rec.ID
		violation.Text = fmt.Sprintf("class %s, due at %v: %s", rec.class.Name, rec.Deadline.Round(time.Millisecond), violation.Text)
		for _, entry := range rec.history {
			text := entry.text
			if strings.Contains(text, "%") {
				text = fmt.Sprintf(text, entry.argument)
			}
			violation.History = append(violation.History, fmt.Sprintf("%v %s", entry.at.Round(100*time.Microsecond), text))
		}
	}
	r.violations = append(r.violations, violation)
}

// MinCeilingRemaining returns the smallest fraction that any customer had left of its ceiling's bucket,
// slack included: 1 all, 0 nothing.
func (r *Referee) MinCeilingRemaining() float64 { return r.minCeilingRemaining }

// LowCustomers returns the number of customers that came to under a third of their bucket.
func (r *Referee) LowCustomers() int { return r.lowCustomers }

// MaxColdBudgetUsed returns the largest used fraction of a cold backend's budget.
func (r *Referee) MaxColdBudgetUsed() float64 { return r.maxColdBudgetUsed }

// End judges the rules that apply to the whole run.
func (r *Referee) End(now time.Duration) {
	if r.unansweredCloses*requestsPerUnansweredClose > r.acceptedRequests+requestsPerUnansweredClose {
		r.violate(now, Door, -1, nil, "%d of %d requests met a new connection that was closed without a word", r.unansweredCloses, r.acceptedRequests)
	}
}
