package link

import (
	"slices"
	"time"
)

// reorderMost is how much behind its time a datagram comes that is overtaken.
const maxReorderDelay = 250 * time.Millisecond

// Datagram tells what becomes of one datagram: by how much later than without a
// fault it comes, for each time that it does. What is drawn is from 0 to 1.
func (c Condition) DatagramDelays(draw func() float64) []time.Duration {
	switch hit := c.Fraction > 0 && draw() < c.Fraction; {
	case c.Kind == Dropped || c.Kind == Lost && hit:
		return nil
	case c.Kind == Delayed:
		return []time.Duration{c.Delay + time.Duration(draw()*float64(c.Jitter))}
	case c.Kind == Repeated && hit:
		return []time.Duration{0, time.Duration(draw() * float64(maxReorderDelay))}
	case c.Kind == Reordered && hit:
		return []time.Duration{time.Duration(draw() * float64(maxReorderDelay))}
	}
	return []time.Duration{0}
}

// Stream says whether a stream can be carried so.
func (c Condition) AppliesToStreams() bool { return c.Kind == Up || slices.Contains(Kinds, c.Kind) }
