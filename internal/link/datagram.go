package link

import (
	"slices"
	"time"
)

// maxReorderDelay is the maximum extra delay of a reordered or repeated datagram.
const maxReorderDelay = 250 * time.Millisecond

// DatagramDelays returns the extra delay of each copy of a datagram that arrives: none if it is
// lost, two if it is repeated. draw must return random numbers in [0, 1).
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

// AppliesToStreams reports whether the condition is one for TCP connections.
func (c Condition) AppliesToStreams() bool { return c.Kind == Up || slices.Contains(Kinds, c.Kind) }
