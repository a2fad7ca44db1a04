package ledger

import (
	"cmp"
	"slices"
	"time"
)

// MaxClockDrift is the maximum relative difference between the rates of two clocks: one may count
// 1.01 s while the other counts 1 s. Clocks need not agree on the time.
const MaxClockDrift = 0.01

// Leases holds the leader's deadlines of sessions. They are not replicated: a new leader restarts
// all of them, so that no lease ends early. Reset must be called first. Leases is not safe for
// concurrent use.
type Leases struct {
	deadlines map[uint64]time.Duration
}

// Reset restarts the leases of all sessions. A member calls it when it becomes the leader, with
// the time of its own clock.
func (l *Leases) Reset(now time.Duration, sessions []Session) {
	l.deadlines = map[uint64]time.Duration{}
	for _, s := range sessions {
		l.Renew(now, s)
	}
}

// Renew restarts the lease of a session. The caller must have confirmed that it is still the
// leader after the renewal arrived; a later leader's lease then starts even later.
func (l *Leases) Renew(now time.Duration, s Session) {
	// The holder counts from before it sent the renewal, by a clock that may be slow.
	l.deadlines[s.ID] = max(l.deadlines[s.ID], now+time.Duration(float64(s.TTL())*(1+MaxClockDrift)/(1-MaxClockDrift)))
}

// Expired returns the sorted numbers of the sessions whose lease has run out. It starts the leases
// of sessions that have none, and drops those of sessions that have ended.
func (l *Leases) Expired(now time.Duration, sessions []Session) (expired []uint64) {
	isOpen := make(map[uint64]bool, len(sessions))
	for _, s := range sessions {
		isOpen[s.ID] = true
		switch deadline, started := l.deadlines[s.ID]; {
		case !started:
			l.Renew(now, s)
		case now >= deadline:
			expired = append(expired, s.ID)
		}
	}
	for id := range l.deadlines {
		if !isOpen[id] {
			delete(l.deadlines, id)
		}
	}
	slices.SortFunc(expired, func(a, b uint64) int { return cmp.Compare(a, b) })
	return expired
}

// HeldLease is the holder's view of its session, by its own clock. It is not safe for concurrent
// use.
type HeldLease struct {
	Session
	validUntil time.Duration
}

// Renewed extends the lease after a successful call that opened or renewed the session and was
// sent at sentAt.
func (h *HeldLease) Renewed(sentAt time.Duration, s Session) {
	h.Session = s
	h.validUntil = max(h.validUntil, sentAt+s.TTL())
}

// Valid reports whether the holder may act on the session. The lease ends by the holder's clock
// before any leader ends the session.
func (h *HeldLease) Valid(now time.Duration) bool { return h.ID != 0 && now < h.validUntil }
