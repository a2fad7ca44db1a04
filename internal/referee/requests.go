package referee

import (
	"slices"
	"time"

	"dunlintray/internal/scenario"
)

// record is a request and what was observed of it.
type record struct {
	Request
	class      *scenario.Class
	acceptedAt time.Duration // when its last byte was written; 0: not yet
	excused    bool          // a fault frees the gateway from answering it
	answered   bool
	closed     bool // no response is owed any more, and none can arrive
	attempts   []attempt
	history    []event
}

// event is an entry of a request's history. argument replaces a verb in text, if there is one.
type event struct {
	at       time.Duration
	text     string
	argument int
}

// note adds to the history of a request, up to maxHistoryEvents entries.
func (rec *record) note(now time.Duration, text string, argument int) {
	if len(rec.history) < maxHistoryEvents {
		rec.history = append(rec.history, event{now, text, argument})
	}
}

// RequestStarted reports that a client begins to send a request.
func (r *Referee) RequestStarted(now time.Duration, request Request) {
	rec := &record{Request: request, class: &r.scenario.Classes[request.Class], excused: r.gateways[request.Gateway].excused}
	rec.note(now, "sent to n%d", request.Gateway)
	r.requests[request.ID] = rec
	if now < r.gateways[request.Gateway].saturatedUntil {
		r.tried[Door]++
	}
	r.countCeilingTrial(now, request)
}

// stopAnswerPeriod is how long a gateway that was told to stop has to answer new requests.
const stopAnswerPeriod = 700 * time.Millisecond

// RequestAccepted reports that the last byte of a request has been written.
func (r *Referee) RequestAccepted(now time.Duration, id uint64) {
	rec := r.requests[id]
	if rec == nil || rec.acceptedAt != 0 {
		return
	}
	rec.acceptedAt = now
	r.acceptedRequests++
	if stoppingAt := r.gateways[rec.Gateway].stoppingAt; stoppingAt >= 0 && now > stoppingAt+stopAnswerPeriod {
		rec.excused = true // a stopping gateway need not answer it
	}
	if !rec.excused {
		r.tried[Answer]++
	}
}

// ReachedBackend reports whether any attempt of the request has arrived at a backend.
func (r *Referee) ReachedBackend(id uint64) bool {
	return r.requests[id] != nil && len(r.requests[id].attempts) > 0
}

// Forget drops a request whose deadline has long passed. Attempts that still arrive count as
// unknown.
func (r *Referee) Forget(id uint64) { delete(r.requests, id) }

// Answered judges the response that a client received. One that is not complete was
// truncated.
func (r *Referee) Answered(now time.Duration, id uint64, status int, complete bool, responseID uint64, body string) {
	rec := r.requests[id]
	if rec == nil || rec.closed {
		return
	}
	if rec.answered {
		r.violate(now, Twice, rec.Gateway, rec, "answered again, with %d", status)
		return
	}
	rec.answered = true
	rec.note(now, "answered with %d", status)
	if late := now - rec.Deadline - r.scenario.Rules.LostAfter.Std() - r.scenario.Rules.ObservationSlack.Std(); late > 0 && !rec.excused {
		r.violate(now, Answer, rec.Gateway, rec, "answered with %d, %v too late", status, late.Round(time.Millisecond))
	}
	r.tried[Twice]++
	_, mayRun := rec.mayHaveRun()
	restricted := rec.class.Effect == "once" || rec.class.Effect == "by_key" && rec.class.Scope != "all"
	if status != 200 && mayRun && restricted {
		r.tried[Refusal]++
	}
	switch {
	case !complete:
		if !rec.excused && !slices.ContainsFunc(rec.attempts, func(a attempt) bool { return a.interrupted || a.inFlight }) {
			r.violate(now, Answer, rec.Gateway, rec, "the response was truncated though no backend truncated it")
		}
	case status == 200:
		if !slices.ContainsFunc(rec.attempts, func(a attempt) bool { return a.complete && a.ResponseID == responseID }) || body != "" {
			r.violate(now, Answer, rec.Gateway, rec, "served with a response that no backend gave to it %s", body)
		}
	case (status == 429 || status == 503) && mayRun && restricted:
		r.violate(now, Refusal, rec.Gateway, rec, "refused with %d though an attempt may have run", status)
	}
}

// Closed judges a connection that ended with an unanswered request. newConnection says that
// no request was ever answered on it.
func (r *Referee) Closed(now time.Duration, id uint64, newConnection bool) {
	rec := r.requests[id]
	if rec == nil || rec.answered || rec.closed {
		return
	}
	rec.closed = true
	rec.note(now, "its connection ended without an answer", 0)
	switch {
	case rec.excused || rec.acceptedAt == 0:
	case newConnection && len(rec.attempts) == 0:
		r.unansweredCloses++
	default:
		r.violate(now, Answer, rec.Gateway, rec, "its connection ended without an answer")
	}
}

// Abandoned reports that a client has closed its connection before the response, which is no longer
// required.
func (r *Referee) Abandoned(now time.Duration, id uint64) {
	if rec := r.requests[id]; rec != nil && !rec.answered {
		rec.note(now, "its client closed the connection", 0)
		rec.closed = true
	}
}

// Overdue judges a request whose deadline has passed.
func (r *Referee) Overdue(now time.Duration, id uint64) {
	rec := r.requests[id]
	if rec == nil || rec.answered || rec.closed {
		return
	}
	rec.closed = true
	if rec.acceptedAt != 0 && !rec.excused {
		r.violate(now, Answer, rec.Gateway, rec, "not answered in time")
	}
}

// SurplusBytes reports surplus bytes on a connection, after the response to its last request.
func (r *Referee) SurplusBytes(now time.Duration, gateway int, id uint64) {
	r.violate(now, Twice, gateway, r.requests[id], "more came behind its answer")
}
