package subset

import "time"

// Times and shares by which a subset is widened and narrowed.
const (
	// sickFor is how long fewer than half have to be usable. One round of failures, as
	// when a switch restarts, is over sooner; clients wait longer than that.
	sickFor = 3 * time.Second
	// lostFor is the same where none is usable, when nothing can be served meanwhile.
	lostFor = time.Second
	// healthyFor is how long a widened subset has to be well before one step is taken
	// back. A zone that comes back does so within minutes, and each step moves connections.
	healthyFor = 5 * time.Minute
)

// health decides how often the size of the subset is doubled.
//
// A subset is sick when under half of it is usable, and well when three quarters are.
// Of a subset of 2M that is well at least half of the first M are usable, so a step back
// never makes a subset sick, and the two rules can't alternate.
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

// see takes in how many of a subset of a size are usable, and whether there are more to
// choose from. It returns whether the width has changed.
func (h *health) see(now time.Duration, usable, size int, more bool) bool {
	sick := h.sick.lasts(2*usable < size && more, now, sickFor)
	lost := h.lost.lasts(usable <= 0 && size > 0 && more, now, lostFor)
	well := h.well.lasts(4*usable >= 3*size && h.width > 0, now, healthyFor)
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
