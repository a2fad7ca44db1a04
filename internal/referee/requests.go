package referee

import (
	"slices"
	"time"

	"dunlintray/internal/scenario"
)

// record is a request with all that was observed of it.
type record struct {
	Request
	class    *scenario.Class
	taken    time.Duration // when its last byte was written; 0: not yet
	excused  bool          // a fault frees the gateway from answering it
	answered bool
	closed   bool // no response is owed any more, and none can come
	attempts []attempt
	history  []event
}

// event is an entry of a request's history. n fills a % in text.
type event struct {
	at   time.Duration
	text string
	n    int
}

// note adds to the history of a request, up to mostEvents entries.
func (rec *record) note(now time.Duration, text string, n int) {
	if len(rec.history) < mostEvents {
		rec.history = append(rec.history, event{now, text, n})
	}
}

// RequestStarted reports that a client begins to send a request.
func (r *Referee) RequestStarted(now time.Duration, q Request) {
	rec := &record{Request: q, class: &r.s.Classes[q.Class], excused: r.gateways[q.Gateway].excused}
	rec.note(now, "sent to n%d", q.Gateway)
	r.open[q.ID] = rec
	if now < r.gateways[q.Gateway].crowded {
		r.tried[Door]++
	}
	r.asked(now, q)
}

// RequestAccepted reports that the last byte of a request has been written.
func (r *Referee) RequestAccepted(now time.Duration, id uint64) {
	rec := r.open[id]
	if rec == nil || rec.taken != 0 {
		return
	}
	rec.taken = now
	r.taken++
	if stop := r.gateways[rec.Gateway].stopping; stop >= 0 && now > stop+700*time.Millisecond {
		rec.excused = true // it came too late for the gateway to have to answer
	}
	if !rec.excused {
		r.tried[Answer]++
	}
}

// ReachedBackend reports whether any attempt of the request has arrived at a backend.
func (r *Referee) ReachedBackend(id uint64) bool {
	return r.open[id] != nil && len(r.open[id].attempts) > 0
}

// Forget drops a request whose deadline has long passed. Attempts that still arrive count as
// unknown.
func (r *Referee) Forget(id uint64) { delete(r.open, id) }

// Answered judges the response that a client received. One that is not whole began and was
// cut short.
func (r *Referee) Answered(now time.Duration, id uint64, status int, whole bool, answer uint64, body string) {
	rec := r.open[id]
	if rec == nil || rec.closed {
		return
	}
	if rec.answered {
		r.violate(now, Twice, rec.Gateway, rec, "answered again, with %d", status)
		return
	}
	rec.answered = true
	rec.note(now, "answered with %d", status)
	if late := now - rec.Deadline - r.s.Rules.LostAfter.Std() - r.s.Rules.ObservationSlack.Std(); late > 0 && !rec.excused {
		r.violate(now, Answer, rec.Gateway, rec, "answered with %d %v too late", status, late.Round(time.Millisecond))
	}
	r.tried[Twice]++
	_, mayRun := rec.mayHaveRun()
	bound := rec.class.Effect == "once" || rec.class.Effect == "by_key" && rec.class.Scope != "all"
	if status != 200 && mayRun && bound {
		r.tried[Refusal]++
	}
	switch {
	case !whole:
		if !rec.excused && !slices.ContainsFunc(rec.attempts, func(a attempt) bool { return a.broke || a.out }) {
			r.violate(now, Answer, rec.Gateway, rec, "the answer was cut short though no backend cut it")
		}
	case status == 200:
		if !slices.ContainsFunc(rec.attempts, func(a attempt) bool { return a.whole && a.ResponseID == answer }) || body != "" {
			r.violate(now, Answer, rec.Gateway, rec, "served with something that no backend made for it %s", body)
		}
	case (status == 429 || status == 503) && mayRun && bound:
		r.violate(now, Refusal, rec.Gateway, rec, "refused with %d though an attempt may have run", status)
	}
}

// Closed judges a connection that ended with an unanswered request. fresh says that no
// request was ever answered on it.
func (r *Referee) Closed(now time.Duration, id uint64, fresh bool) {
	rec := r.open[id]
	if rec == nil || rec.answered || rec.closed {
		return
	}
	rec.closed = true
	rec.note(now, "its connection ended without an answer", 0)
	switch {
	case rec.excused || rec.taken == 0:
	case fresh && len(rec.attempts) == 0:
		r.door++
	default:
		r.violate(now, Answer, rec.Gateway, rec, "its connection ended without an answer")
	}
}

// Abandoned reports that a client has left before its response, which it is owed no more.
func (r *Referee) Abandoned(now time.Duration, id uint64) {
	if rec := r.open[id]; rec != nil && !rec.answered {
		rec.note(now, "its client went away", 0)
		rec.closed = true
	}
}

// Overdue judges a request whose deadline has passed.
func (r *Referee) Overdue(now time.Duration, id uint64) {
	rec := r.open[id]
	if rec == nil || rec.answered || rec.closed {
		return
	}
	rec.closed = true
	if rec.taken != 0 && !rec.excused {
		r.violate(now, Answer, rec.Gateway, rec, "not answered in time")
	}
}

// SurplusBytes reports surplus bytes on a connection, after the response to its last request.
func (r *Referee) SurplusBytes(now time.Duration, g int, id uint64) {
	r.violate(now, Twice, g, r.open[id], "more came behind its answer")
}
