package referee

import (
	"slices"
	"strings"
	"time"
)

// Trial counts the situations in which a rule, or a part of one, was put to the test: those in
// which a gateway that does not keep it could have been observed to break it.
type Trial struct {
	Name        string // of the rule, or RULE/PART
	Description string // what is counted
	Tried       int    // number of those situations
}

// Rule returns the rule that is tested.
func (t Trial) Rule() string { rule, _, _ := strings.Cut(t.Name, "/"); return rule }

// The states of the counter, which are parts of the rule Ceiling.
const (
	CounterAvailable = "up"
	CounterSilent    = "silent"
	CounterEmpty     = "empty" // it has just lost all its counts
	CounterSlow      = "slow"
)

// The parts of rules that are counted apart.
const (
	trialOnce   = Resend + "/once"
	trialZone   = Resend + "/zone"
	trialCell   = Resend + "/cell"
	trialWindow = Resend + "/window"
	trialFlap   = Standing + "/swing"
)

// trials lists what is counted, in the order of reports.
var trials = []Trial{
	{Name: Answer, Description: "requests taken that are owed an answer"},
	{Name: Twice, Description: "answers, behind which nothing more may come"},
	{Name: Copy, Description: "attempts that were out for half of the aim"},
	{Name: trialOnce, Description: "failures with time left of what may run once"},
	{Name: trialZone, Description: "and of what must stay in its zone"},
	{Name: trialCell, Description: "and of what must stay in its cell"},
	{Name: trialWindow, Description: "and of what had its key forgotten by then"},
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
	{Name: trialFlap, Description: "times that links came and went as fast"},
}

// IsRule reports whether name is that of a rule or of a part of one.
func IsRule(name string) bool {
	return slices.ContainsFunc(trials, func(t Trial) bool { return t.Name == name || t.Rule() == name })
}

// Trials returns how often each rule was tested.
func (r *Referee) Trials() []Trial {
	all := slices.Clone(trials)
	for i := range all {
		all[i].Tried = r.tried[all[i].Name]
	}
	return all
}

// Untried returns those of the named rules and parts of rules that were not tested.
func Untried(all []Trial, names []string) (untried []string) {
	for _, name := range names {
		if !slices.ContainsFunc(all, func(t Trial) bool { return (t.Name == name || t.Rule() == name) && t.Tried > 0 }) {
			untried = append(untried, name)
		}
	}
	return untried
}

// Rules returns the names of all rules.
func Rules() (names []string) {
	for _, t := range trials {
		if !slices.Contains(names, t.Rule()) {
			names = append(names, t.Rule())
		}
	}
	return names
}

// minRetryTime is the time before a request's deadline that makes a retry likely.
const minRetryTime = 100 * time.Millisecond

// countRetryTrials counts the rules that a retry after the end of an attempt could have broken.
func (r *Referee) countRetryTrials(now time.Duration, rec *record, ended *attempt, outcome Outcome) {
	if now-ended.FirstByteAt >= rec.class.Aim.Std()/2 {
		r.tried[Copy]++
	}
	if outcome == OutcomeCompleted || rec.answered || rec.closed || rec.excused || rec.Deadline-now < minRetryTime {
		return
	}
	first, mayHaveRun := rec.mayHaveRun()
	class := rec.class
	if len(rec.attempts) >= r.scenario.Rules.MaxAttempts {
		if !mayHaveRun || class.Effect == "repeatable" || class.Effect == "by_key" && class.Scope == "all" {
			r.tried[Most]++
		}
		return
	}
	switch {
	case !mayHaveRun || class.Effect == "repeatable":
	case class.Effect == "once":
		r.tried[trialOnce]++
	default:
		if name := Resend + "/" + class.Scope; class.Scope != "all" {
			r.tried[name]++
		}
		if now-first.FirstByteAt > class.Window.Std()+r.scenario.Rules.ObservationSlack.Std() {
			r.tried[trialWindow]++
		}
	}
}

// counterEmptyPeriod is how long the counter counts as empty after it has lost its counts.
const counterEmptyPeriod = 5 * time.Second

// CounterChanged reports the state of the counter from now on.
func (r *Referee) CounterChanged(now time.Duration, state string) {
	r.counterState, r.counterChangedAt = state, now
}

// countCeilingTrial counts customers whose requests exceed their ceiling. It computes what would
// remain in their bucket if all requests were forwarded, starting from the real content each time
// that the counter's state changes.
func (r *Referee) countCeilingTrial(now time.Duration, request Request) {
	plan := &r.scenario.Plans[request.Plan]
	if plan.CeilingRate == 0 {
		return
	}
	if r.counterState == CounterEmpty && now > r.counterChangedAt+counterEmptyPeriod {
		r.CounterChanged(now, CounterAvailable)
	}
	customer := r.customerBucket(now, request)
	if customer.counterChangedAt != r.counterChangedAt || customer.requestedRemaining == nil {
		remaining := customer.units
		customer.counterChangedAt, customer.requestedRemaining, customer.requestedAt, customer.overRequested = r.counterChangedAt, &remaining, customer.at, false
	}
	*customer.requestedRemaining = min(plan.CeilingBurst, *customer.requestedRemaining+plan.CeilingRate*(now-customer.requestedAt).Seconds()) - request.Units
	customer.requestedAt = now
	if *customer.requestedRemaining < r.minUnits(plan) && !customer.overRequested {
		customer.overRequested = true
		r.tried[Ceiling+"/"+r.counterState]++
	}
}

// ListenerSaturated reports that until the given time a gateway has more idle connections than
// its limit.
func (r *Referee) ListenerSaturated(gateway int, until time.Duration) {
	r.gateways[gateway].saturatedUntil = max(r.gateways[gateway].saturatedUntil, until)
}

// Registered reports that a service registry has confirmed a backend's state at a version of its
// list. Lists of that version or newer must not have an earlier state.
func (r *Referee) Registered(now time.Duration, backend int, state State, started time.Duration, version int64) {
	r.registrations[backend] = registration{state, started, version}
	for gateway := range r.gateways {
		r.checkList(now, gateway, backend)
	}
}

// ListReceived reports the version of the list that a gateway received last. The caller has
// reported the states in the list before.
func (r *Referee) ListReceived(now time.Duration, gateway int, version int64) {
	r.gateways[gateway].listVersion = version
	for backend := range r.registrations {
		r.checkList(now, gateway, backend)
	}
}

// checkList judges whether a gateway's list has the state of a backend that drains or has left.
func (r *Referee) checkList(now time.Duration, gateway, backend int) {
	registered := r.registrations[backend]
	notice, named := r.gateways[gateway].backends[backend]
	if !named {
		notice.state = Gone
	}
	if registered.state == Ready || r.gateways[gateway].listVersion < registered.version || r.gateways[gateway].checkedVersions[backend] >= registered.version ||
		notice.state != Gone && notice.started > registered.started+time.Millisecond {
		return
	}
	r.gateways[gateway].checkedVersions[backend] = registered.version
	r.tried[List]++
	if notice.state < registered.state {
		r.violate(now, List, gateway, nil, "backend b-%d is %v in its list of version %d, though a list service took it to be %v at version %d",
			backend, notice.state, r.gateways[gateway].listVersion, registered.state, registered.version)
	}
}

// fleetLoad sums the work of the whole fleet over a sliding window.
type fleetLoad struct {
	window []workSample
	sum    float64
}

// add adds work, and returns the sum of the work within the last length.
func (l *fleetLoad) add(now time.Duration, work float64, length time.Duration) float64 {
	l.window = append(l.window, workSample{at: now, work: work})
	l.sum += work
	for l.window[0].at < now-length {
		l.sum -= l.window[0].work
		l.window = l.window[1:]
	}
	return l.sum
}
