package subset

import "time"

// Times by which a subset is widened and narrowed.
const (
	// sickFor is how long fewer than half have to be usable before the first step. One
	// round of failures, as when a switch restarts, is over sooner; clients wait longer
	// than that.
	sickFor = 3 * time.Second
	// lostFor is the same where none is usable, when nothing can be served meanwhile.
	lostFor = time.Second
	// healthyFor is how long a widened subset has to be well before one step is taken
	// back. A zone that comes back does so within minutes, and each step moves connections.
	healthyFor = 5 * time.Minute
	// mostSlower bounds the doublings of sickFor and lostFor, one for each step: where all
	// are sick, as under overload, more of them help little, and all gateways widen alike.
	mostSlower = 6
)

// health decides how often the size of the subset is doubled.
//
// A subset is sick when fewer are usable than half of the size that it has while all is
// well. It is well when that size would have three quarters usable even if each instance
// of the last step is: a step back never makes a subset sick, so the two rules can't
// alternate.
type health struct {
	width int // doublings in force

	sick, lost, well since
}

// since is the time from which on a condition has held.
type since struct {
	holds bool
	from  time.Duration
}

// lasts notes whether the condition holds now, and tells whether it has for so long.
func (c *since) lasts(holds bool, now, long time.Duration) bool {
	if !holds || !c.holds {
		c.holds, c.from = holds, now
	}
	return holds && now-c.from >= long
}

// extent is how large subsets are.
type extent struct {
	base     int  // while all is well
	size     int  // now
	narrower int  // one step back
	more     bool // there are Ready instances beyond them
}

// see takes in how many instances of subsets are usable. It returns whether the width has
// changed.
func (h *health) see(now time.Duration, usable int, e extent) bool {
	slower := min(h.width, mostSlower)
	sick := h.sick.lasts(2*usable < e.base && e.more, now, sickFor<<slower)
	lost := h.lost.lasts(usable <= 0 && e.base > 0 && e.more, now, lostFor<<slower)
	first := usable - (e.size - e.narrower) // usable at least one step back
	well := h.well.lasts(4*first >= 3*e.base && h.width > 0, now, healthyFor)
	switch {
	case sick || lost:
		h.width++
	case well:
		h.width--
	default:
		return false
	}
	h.sick, h.lost, h.well = since{}, since{}, since{} // the next step takes its own time
	return true
}
