package ledger

import (
	"cmp"
	"slices"
	"time"
)

// Drift is by how much two clocks are assumed to differ in their pace at most: one may
// count 1.01 s where the other counts 1 s. Clocks need not agree on the time.
const MaxClockDrift = 0.01

// Leases are the writer's clocks of sessions. They are not agreed on: a member that
// becomes the writer begins all of them anew, so none ends early for it.
type Leases struct {
	deadlines map[uint64]time.Duration
}

// Begin begins the leases of all sessions, as of a member that becomes the writer at a
// time by its own clock.
func (l *Leases) Reset(now time.Duration, sessions []Session) {
	l.deadlines = map[uint64]time.Duration{}
	for _, s := range sessions {
		l.Renew(now, s)
	}
}

// Renew begins one anew. Danger: a renewal may be answered only by who was certain to
// be the writer after it had come; a later writer's lease then begins later still.
func (l *Leases) Renew(now time.Duration, s Session) {
	// Its holder counts from before it asked, by a clock that may be slow.
	l.deadlines[s.ID] = max(l.deadlines[s.ID], now+time.Duration(float64(s.TTL())*(1+MaxClockDrift)/(1-MaxClockDrift)))
}

// Over returns the sessions whose time is over, and begins those that have none.
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

// Holding is a session as its holder knows it, by its own clock.
type HeldLease struct {
	Session
	validUntil time.Duration
}

// Opened takes note of a session whose opening, or whose renewal, was asked for at a
// time and has been answered.
func (h *HeldLease) Renewed(sentAt time.Duration, s Session) {
	h.Session = s
	h.validUntil = max(h.validUntil, sentAt+s.TTL())
}

// Holds says whether the holder may act on it. It ends by this clock before any writer
// ends it.
func (h *HeldLease) Valid(now time.Duration) bool { return h.ID != 0 && now < h.validUntil }
