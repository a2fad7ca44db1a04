package referee

import "time"

// attempt is an attempt with what has become of it.
type attempt struct {
	Attempt
	out    bool // in progress
	mayRun bool // it has arrived and was not rejected
	whole  bool // its response was written completely
	broke  bool // it was cut short through no fault of the gateway
}

// AttemptArrived judges an attempt that has arrived completely. If it returns true, the caller has
// to call Settle once all events that were in flight then have been reported.
func (r *Referee) AttemptArrived(now time.Duration, a Attempt) (settle bool) {
	rec := r.open[a.ID]
	if rec == nil {
		r.violate(now, Unknown, a.Gateway, nil, "backend b-%d got a request %016x that no client sent, or long ago", a.Backend, a.ID)
		return false
	}
	rec.note(now, "attempt whole at b-%d", a.Backend)
	if !a.Unchanged {
		r.violate(now, Changed, a.Gateway, rec, "at backend b-%d it is not what the client sent", a.Backend)
	}
	if len(rec.attempts) >= r.s.Rules.MaxAttempts {
		r.violate(now, Most, a.Gateway, rec, "attempt %d of %d", len(rec.attempts)+1, r.s.Rules.MaxAttempts)
	}
	r.tried[Unknown]++
	r.tried[Changed]++
	r.drained(a, rec)
	r.again(a, rec)
	if len(rec.attempts) == 0 {
		r.spend(now, rec)
	}
	for _, before := range rec.attempts {
		settle = settle || before.out
	}
	rec.attempts = append(rec.attempts, attempt{Attempt: a, out: true, mayRun: true})
	return settle
}

// drained judges whether the gateway knew that the backend drains, or did not know the
// backend at all.
func (r *Referee) drained(a Attempt, rec *record) {
	t, known := r.gateways[a.Gateway].told[a.Backend]
	switch late := a.FirstByteAt - t.at - r.s.Rules.DrainGrace.Std() - r.s.Rules.ObservationSlack.Std(); {
	case !known:
		r.violate(a.FirstByteAt, Unknown, a.Gateway, rec, "no list has named backend b-%d to this gateway", a.Backend)
	case t.state != Ready && late > 0:
		r.violate(a.FirstByteAt, Drain, a.Gateway, rec, "sent to backend b-%d %v after its drain was told, %v too late",
			a.Backend, (a.FirstByteAt - t.at).Round(time.Millisecond), late.Round(time.Millisecond))
	}
	for _, t := range r.gateways[a.Gateway].told {
		if t.state == Draining && a.FirstByteAt-t.at > r.s.Rules.DrainGrace.Std()+r.s.Rules.ObservationSlack.Std() {
			r.tried[Drain]++
			break
		}
	}
}

// mayHaveRun returns the first attempt that the backend may have run.
func (rec *record) mayHaveRun() (first *attempt, ran bool) {
	for i := range rec.attempts {
		if rec.attempts[i].mayRun {
			return &rec.attempts[i], true
		}
	}
	return nil, false
}

// again judges whether a retry is permitted.
func (r *Referee) again(a Attempt, rec *record) {
	first, ran := rec.mayHaveRun()
	if !ran {
		return
	}
	here, there := r.backends[a.Backend], r.backends[first.Backend]
	switch {
	case rec.class.Effect == "once":
		r.violate(a.FirstByteAt, Resend, a.Gateway, rec, "sent to b-%d again though the attempt at b-%d may have run", a.Backend, first.Backend)
	case rec.class.Effect == "by_key" && (rec.class.Scope == "zone" && here.zone != there.zone || rec.class.Scope == "cell" && here.cell != there.cell):
		r.violate(a.FirstByteAt, Resend, a.Gateway, rec, "b-%d does not share its %s with b-%d, where it may have run", a.Backend, rec.class.Scope, first.Backend)
	case rec.class.Effect == "by_key" && a.FirstByteAt-first.FirstByteAt > rec.class.Window.Std()+r.s.Rules.ObservationSlack.Std():
		r.violate(a.FirstByteAt, Resend, a.Gateway, rec, "the key has been forgotten for %v", a.FirstByteAt-first.FirstByteAt-rec.class.Window.Std())
	}
}

// CheckOverlap judges whether two attempts of a request were in progress at the same time.
func (r *Referee) CheckOverlap(now time.Duration, id uint64) {
	rec := r.open[id]
	if rec == nil {
		return
	}
	for i, a := range rec.attempts {
		for _, b := range rec.attempts[i+1:] {
			if a.out && now-b.FirstByteAt >= r.s.Rules.ObservationSlack.Std() {
				r.violate(now, Copy, a.Gateway, rec, "the attempt at b-%d was out when the next came to b-%d, and still is", a.Backend, b.Backend)
				return
			}
		}
	}
}

// Outcome is the way in which an attempt ends.
type Outcome int

// The ways in which an attempt ends.
const (
	OutcomeCompleted Outcome = iota // its response was written completely
	OutcomeFailed                   // a response of failure was written
	OutcomeRejected                 // the backend rejected it without running it
	OutcomeBroken                   // the backend or the network broke it
	OutcomeAbandoned                // the gateway abandoned it
)

// hows are the names of the ways in histories.
var hows = [...]string{"answered", "failed", "turned away", "broken", "given up by the gateway"}

// AttemptEnded reports the end of an attempt.
func (r *Referee) AttemptEnded(now time.Duration, id, number uint64, how Outcome) {
	rec := r.open[id]
	if rec == nil {
		return
	}
	for i := range rec.attempts {
		if a := &rec.attempts[i]; a.Number == number && a.out {
			a.out = false
			a.mayRun = how != OutcomeRejected
			a.whole = how == OutcomeCompleted
			a.broke = how == OutcomeBroken
			rec.note(now, "at b-%d: "+hows[how], a.Backend)
			r.tempted(now, rec, a, how)
		}
	}
}
