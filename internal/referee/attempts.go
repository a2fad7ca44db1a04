package referee

import "time"

// attempt is an attempt and its state.
type attempt struct {
	Attempt
	inFlight    bool // it has not ended
	mayRun      bool // it has arrived and was not rejected
	complete    bool // its response was written completely
	interrupted bool // the backend or the network broke it
}

// AttemptArrived judges an attempt that has arrived completely. If it returns true, the caller has
// to call CheckOverlap once all events that were queued then have been reported.
func (r *Referee) AttemptArrived(now time.Duration, arrived Attempt) (overlaps bool) {
	rec := r.requests[arrived.ID]
	if rec == nil {
		r.violate(now, Unknown, arrived.Gateway, nil, "backend b-%d got a request %016x that no client sent, or long ago", arrived.Backend, arrived.ID)
		return false
	}
	rec.note(now, "attempt received by b-%d", arrived.Backend)
	if !arrived.Unchanged {
		r.violate(now, Changed, arrived.Gateway, rec, "at backend b-%d the request differs from the one that the client sent", arrived.Backend)
	}
	if len(rec.attempts) >= r.scenario.Rules.MaxAttempts {
		r.violate(now, Most, arrived.Gateway, rec, "attempt %d of %d", len(rec.attempts)+1, r.scenario.Rules.MaxAttempts)
	}
	r.tried[Unknown]++
	r.tried[Changed]++
	r.checkDrain(arrived, rec)
	r.checkRetry(arrived, rec)
	if len(rec.attempts) == 0 {
		r.spendCeiling(now, rec)
	}
	for _, earlier := range rec.attempts {
		overlaps = overlaps || earlier.inFlight
	}
	rec.attempts = append(rec.attempts, attempt{Attempt: arrived, inFlight: true, mayRun: true})
	return overlaps
}

// checkDrain judges whether the gateway knew that the backend drains, or did not know the
// backend at all.
func (r *Referee) checkDrain(arrived Attempt, rec *record) {
	notice, known := r.gateways[arrived.Gateway].backends[arrived.Backend]
	switch late := arrived.FirstByteAt - notice.at - r.scenario.Rules.DrainGrace.Std() - r.scenario.Rules.ObservationSlack.Std(); {
	case !known:
		r.violate(arrived.FirstByteAt, Unknown, arrived.Gateway, rec, "no list has named backend b-%d to this gateway", arrived.Backend)
	case notice.state != Ready && late > 0:
		r.violate(arrived.FirstByteAt, Drain, arrived.Gateway, rec, "sent to backend b-%d %v after the gateway received its drain, %v too late",
			arrived.Backend, (arrived.FirstByteAt - notice.at).Round(time.Millisecond), late.Round(time.Millisecond))
	}
	for _, notice := range r.gateways[arrived.Gateway].backends {
		if notice.state == Draining && arrived.FirstByteAt-notice.at > r.scenario.Rules.DrainGrace.Std()+r.scenario.Rules.ObservationSlack.Std() {
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

// checkRetry judges whether a retry is permitted.
func (r *Referee) checkRetry(arrived Attempt, rec *record) {
	first, mayHaveRun := rec.mayHaveRun()
	if !mayHaveRun {
		return
	}
	current, earlier := r.backends[arrived.Backend], r.backends[first.Backend]
	switch {
	case rec.class.Effect == "once":
		r.violate(arrived.FirstByteAt, Resend, arrived.Gateway, rec, "sent to b-%d again though the attempt at b-%d may have run", arrived.Backend, first.Backend)
	case rec.class.Effect == "by_key" && (rec.class.Scope == "zone" && current.zone != earlier.zone || rec.class.Scope == "cell" && current.cell != earlier.cell):
		r.violate(arrived.FirstByteAt, Resend, arrived.Gateway, rec, "b-%d does not share its %s with b-%d, where it may have run", arrived.Backend, rec.class.Scope, first.Backend)
	case rec.class.Effect == "by_key" && arrived.FirstByteAt-first.FirstByteAt > rec.class.Window.Std()+r.scenario.Rules.ObservationSlack.Std():
		r.violate(arrived.FirstByteAt, Resend, arrived.Gateway, rec, "sent again %v after the key's window had ended", arrived.FirstByteAt-first.FirstByteAt-rec.class.Window.Std())
	}
}

// CheckOverlap judges whether two attempts of a request were in progress at the same time.
func (r *Referee) CheckOverlap(now time.Duration, id uint64) {
	rec := r.requests[id]
	if rec == nil {
		return
	}
	for i, earlier := range rec.attempts {
		for _, later := range rec.attempts[i+1:] {
			if earlier.inFlight && now-later.FirstByteAt >= r.scenario.Rules.ObservationSlack.Std() {
				r.violate(now, Copy, earlier.Gateway, rec, "the attempt at b-%d was in flight when the next arrived at b-%d, and still is", earlier.Backend, later.Backend)
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

// outcomeNames are the descriptions of the outcomes in histories.
var outcomeNames = [...]string{"answered", "failed", "turned away", "broken", "abandoned by the gateway"}

// AttemptEnded reports the end of an attempt.
func (r *Referee) AttemptEnded(now time.Duration, id, number uint64, outcome Outcome) {
	rec := r.requests[id]
	if rec == nil {
		return
	}
	for i := range rec.attempts {
		if ended := &rec.attempts[i]; ended.Number == number && ended.inFlight {
			ended.inFlight = false
			ended.mayRun = outcome != OutcomeRejected
			ended.complete = outcome == OutcomeCompleted
			ended.interrupted = outcome == OutcomeBroken
			rec.note(now, "at b-%d: "+outcomeNames[outcome], ended.Backend)
			r.countRetryTrials(now, rec, ended, outcome)
		}
	}
}
