package subset

import "time"

// Delays before a subset is widened or narrowed.
const (
	// sickDelay is how long fewer than half must be usable before the first widening. It exceeds a short
	// series of failures, as when a switch restarts; clients wait longer than that.
	sickDelay = 3 * time.Second
	// lostDelay replaces sickDelay while no instance is usable.
	lostDelay = time.Second
	// healthyDelay is how long a widened subset must be healthy before it is narrowed by one step, which
	// moves connections. A zone that comes back does so within minutes.
	healthyDelay = 5 * time.Minute
	// maxDelayDoublings limits the doublings of sickDelay and lostDelay, one for each widening. All members
	// widen together under a common overload, where more instances help little.
	maxDelayDoublings = 6
)

// health decides how often the size of the subset is doubled.
//
// A subset is sick when fewer instances are usable than half of its size when healthy. It is healthy when
// three quarters of that size would be usable even if every instance of the last step is. Narrowing
// therefore never makes a subset sick, so widening and narrowing cannot alternate.
type health struct {
	width int // current doublings

	sick, lost, healthy condition
}

// condition records since when a condition has held.
type condition struct {
	holds bool
	since time.Duration
}

// heldFor records whether the condition holds now, and reports whether it has held for the duration.
func (c *condition) heldFor(holds bool, now, duration time.Duration) bool {
	if !holds || !c.holds {
		c.holds, c.since = holds, now
	}
	return holds && now-c.since >= duration
}

// sizeInfo describes the sizes of the subsets of all services together, in instances.
type sizeInfo struct {
	base      int // when healthy
	current   int
	narrowed  int  // after one step of narrowing
	moreReady bool // Ready instances exist outside the subsets
}

// update records the number of usable instances and reports whether the width has changed.
func (h *health) update(now time.Duration, usable int, sizes sizeInfo) bool {
	doublings := min(h.width, maxDelayDoublings)
	sick := h.sick.heldFor(2*usable < sizes.base && sizes.moreReady, now, sickDelay<<doublings)
	lost := h.lost.heldFor(usable <= 0 && sizes.base > 0 && sizes.moreReady, now, lostDelay<<doublings)
	remaining := usable - (sizes.current - sizes.narrowed) // usable instances after narrowing, at least
	healthy := h.healthy.heldFor(4*remaining >= 3*sizes.base && h.width > 0, now, healthyDelay)
	switch {
	case sick || lost:
		h.width++
	case healthy:
		h.width--
	default:
		return false
	}
	h.sick, h.lost, h.healthy = condition{}, condition{}, condition{} // the next step has its own delay
	return true
}
