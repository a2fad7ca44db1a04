package referee

import (
	"slices"
	"strings"
	"time"
)

// Trial is how often a rule was put to the test, in its own terms: how often a
// gateway that does not keep it could have been seen to break it.
type Trial struct {
	Name        string // the rule's, or RULE/PART
	Description string // is counted
	Tried       int
}

// Rule is the rule that is tried.
func (t Trial) Rule() string { rule, _, _ := strings.Cut(t.Name, "/"); return rule }

// What the counter does while a customer asks for more than its ceiling bears.
const (
	CounterAvailable = "up"
	CounterSilent    = "silent"
	CounterEmpty     = "empty" // it has lost everything a moment ago
	CounterSlow      = "slow"
)

const (
	tryOnce   = Resend + "/once"
	tryZone   = Resend + "/zone"
	tryCell   = Resend + "/cell"
	tryWindow = Resend + "/window"
	trySwing  = Standing + "/swing"
)

// trials are all that is counted, in the order in which it is told.
var trials = []Trial{
	{Name: Answer, Description: "requests taken that are owed an answer"},
	{Name: Twice, Description: "answers, behind which nothing more may come"},
	{Name: Copy, Description: "attempts that were out for half of the aim"},
	{Name: tryOnce, Description: "failures with time left of what may run once"},
	{Name: tryZone, Description: "and of what must stay in its zone"},
	{Name: tryCell, Description: "and of what must stay in its cell"},
	{Name: tryWindow, Description: "and of what had its key forgotten by then"},
	{Name: Refusal, Description: "requests that were not served though they may have run"},
	{Name: Most, Description: "last permitted attempts that failed with time left for another"},
	{Name: Drain, Description: "attempts of gateways that had been told of a drain"},
	{Name: List, Description: "drains and leaves that a list service took, in the lists of each gateway"},
	{Name: Cold, Description: "cold backends that an even part of the load would have pushed over"},
	{Name: Ceiling + "/" + CounterAvailable, Description: "customers that asked for more than their ceiling bears"},
	{Name: Ceiling + "/" + CounterSilent, Description: "and while the counter was silent"},
	{Name: Ceiling + "/" + CounterEmpty, Description: "and just after it had lost everything"},
	{Name: Ceiling + "/" + CounterSlow, Description: "and while it was slow"},
	{Name: Unknown, Description: "attempts"},
	{Name: Changed, Description: "attempts"},
	{Name: Crash, Description: "processes of gateways"},
	{Name: Stop, Description: "gateways told to end"},
	{Name: Peer, Description: "datagrams between gateways"},
	{Name: Door, Description: "requests to gateways with more idle peers than places"},
	{Name: View, Description: "gateways that had the time to hear who is present, after each change"},
	{Name: Standing, Description: "and to say how they stand"},
	{Name: trySwing, Description: "times that links came and went as fast"},
}

// IsRule says whether there is such a rule, or such a part of one.
func IsRule(name string) bool {
	return slices.ContainsFunc(trials, func(t Trial) bool { return t.Name == name || t.Rule() == name })
}

// Trials tells how often each rule was tried.
func (r *Referee) Trials() []Trial {
	all := slices.Clone(trials)
	for i := range all {
		all[i].Tried = r.tried[all[i].Name]
	}
	return all
}

// Untried picks, of rules and parts of rules, those that were not tried.
func Untried(all []Trial, names []string) (untried []string) {
	for _, name := range names {
		if !slices.ContainsFunc(all, func(t Trial) bool { return (t.Name == name || t.Rule() == name) && t.Tried > 0 }) {
			untried = append(untried, name)
		}
	}
	return untried
}

// Rules are the names of all rules.
func Rules() (names []string) {
	for _, t := range trials {
		if !slices.Contains(names, t.Rule()) {
			names = append(names, t.Rule())
		}
	}
	return names
}

// leastTime is what a gateway needs to have left, to be tempted to a further
// attempt.
const leastTime = 100 * time.Millisecond

// tempted counts what an attempt's end could have led to.
func (r *Referee) tempted(now time.Duration, rec *record, a *attempt, how Outcome) {
	if now-a.FirstByteAt >= rec.class.Aim.Std()/2 {
		r.tried[Copy]++
	}
	if how == OutcomeCompleted || rec.answered || rec.closed || rec.excused || rec.Deadline-now < leastTime {
		return
	}
	first, ran := rec.mayHaveRun()
	c := rec.class
	if len(rec.attempts) >= r.s.Rules.MaxAttempts {
		if !ran || c.Effect == "repeatable" || c.Effect == "by_key" && c.Scope == "all" {
			r.tried[Most]++
		}
		return
	}
	switch {
	case !ran || c.Effect == "repeatable":
	case c.Effect == "once":
		r.tried[tryOnce]++
	default:
		if name := Resend + "/" + c.Scope; c.Scope != "all" {
			r.tried[name]++
		}
		if now-first.FirstByteAt > c.Window.Std()+r.s.Rules.ObservationSlack.Std() {
			r.tried[tryWindow]++
		}
	}
}

// emptyFor is how long after the counter's loss its customers count as such.
const emptyFor = 5 * time.Second

// CounterChanged tells what the counter does from now on.
func (r *Referee) CounterChanged(now time.Duration, state string) {
	r.counter, r.counterAt = state, now
}

// asked counts customers that ask for more than their ceiling bears: it follows
// what would be left of their store if all that they ask were sent on. That begins
// anew, with what the store really has, each time the counter does another thing.
func (r *Referee) asked(now time.Duration, q Request) {
	p := &r.s.Plans[q.Plan]
	if p.CeilingRate == 0 {
		return
	}
	if r.counter == CounterEmpty && now > r.counterAt+emptyFor {
		r.CounterChanged(now, CounterAvailable)
	}
	c := r.store(now, q)
	if c.counterAt != r.counterAt || c.asked == nil {
		left := c.units
		c.counterAt, c.asked, c.askedAt, c.over = r.counterAt, &left, c.at, false
	}
	*c.asked = min(p.CeilingBurst, *c.asked+p.CeilingRate*(now-c.askedAt).Seconds()) - q.Units
	c.askedAt = now
	if *c.asked < r.least(p) && !c.over {
		c.over = true
		r.tried[Ceiling+"/"+r.counter]++
	}
}

// ListenerSaturated tells that until a moment more idle peers stand at a gateway than it has
// places.
func (r *Referee) ListenerSaturated(g int, until time.Duration) {
	r.gateways[g].crowded = max(r.gateways[g].crowded, until)
}

// Registered tells that a list service has answered a backend's word as done, at a
// version of its list. From that version on no list may say less.
func (r *Referee) Registered(now time.Duration, b int, state State, started time.Duration, version int64) {
	r.enlisted[b] = enlisted{state, started, version}
	for g := range r.gateways {
		r.listed(now, g, b)
	}
}

// ListReceived tells of which version the list is that a gateway was told last, once
// all that it says was.
func (r *Referee) ListReceived(now time.Duration, g int, version int64) {
	r.gateways[g].version = version
	for b := range r.enlisted {
		r.listed(now, g, b)
	}
}

// listed judges what the lists say to a gateway of a backend that drains or has
// left.
func (r *Referee) listed(now time.Duration, g, b int) {
	e := r.enlisted[b]
	t, named := r.gateways[g].told[b]
	if !named {
		t.state = Gone
	}
	if e.state == Ready || r.gateways[g].version < e.version || r.gateways[g].checked[b] >= e.version ||
		t.state != Gone && t.started > e.started+time.Millisecond {
		return
	}
	r.gateways[g].checked[b] = e.version
	r.tried[List]++
	if t.state < e.state {
		r.violate(now, List, g, nil, "backend b-%d is %v in its list of version %d, though a list service took it to be %v at version %d",
			b, t.state, r.gateways[g].version, e.state, e.version)
	}
}

// load follows the work of the whole fleet.
type load struct {
	window []pressure
	sum    float64
}

// add takes in work, and tells what has come within the length.
func (l *load) add(now time.Duration, work float64, length time.Duration) float64 {
	l.window = append(l.window, pressure{at: now, work: work})
	l.sum += work
	for l.window[0].at < now-length {
		l.sum -= l.window[0].work
		l.window = l.window[1:]
	}
	return l.sum
}
