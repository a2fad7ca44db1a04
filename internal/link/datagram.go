package link

import (
	"slices"
	"time"
)

// reorderMost is how much behind its time a datagram comes that is overtaken.
const maxReorderDelay = 250 * time.Millisecond

// Datagram tells what becomes of one datagram: by how much later than without a
// fault it comes, for each time that it does. What is drawn is from 0 to 1.
func (h Condition) DatagramDelays(draw func() float64) []time.Duration {
	switch hit := h.Fraction > 0 && draw() < h.Fraction; {
	case h.Kind == Dropped || h.Kind == Lost && hit:
		return nil
	case h.Kind == Delayed:
		return []time.Duration{h.Delay + time.Duration(draw()*float64(h.Jitter))}
	case h.Kind == Repeated && hit:
		return []time.Duration{0, time.Duration(draw() * float64(maxReorderDelay))}
	case h.Kind == Reordered && hit:
		return []time.Duration{time.Duration(draw() * float64(maxReorderDelay))}
	}
	return []time.Duration{0}
}

// Stream says whether a stream can be carried so.
func (h Condition) AppliesToStreams() bool { return h.Kind == Up || slices.Contains(Kinds, h.Kind) }
