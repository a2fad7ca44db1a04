// Package link is the network between processes, made to fail: a relay stands on a
// link and carries, in each direction by itself, what a fault lets through.
package link

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is what a link, or one direction of it, does with what is sent along it.
type Kind string

// The kinds.
const (
	Up      Kind = "up"
	Dropped Kind = "dropped" // silence, as of a lost machine: nothing passes, and new connections never come up
	Refused Kind = "refused" // new connections are refused, and those that stood are reset
	Reset   Kind = "reset"   // connections come up and are reset
	Stalled Kind = "stalled" // connections come up, and nothing passes: buffers fill
	Cut     Kind = "cut"     // each connection is reset once Bytes have passed
	Slow    Kind = "slow"    // Bytes a second pass
	Delayed Kind = "delayed" // everything comes Delay later, and up to Jitter more

	// Of datagrams alone:
	Lost      Kind = "lost"      // a Share of them never comes
	Repeated  Kind = "repeated"  // a Share of them comes twice
	Reordered Kind = "reordered" // a Share of them comes behind later ones
)

// Kinds are all kinds of streams but Up, and DatagramKinds those of datagrams.
var (
	Kinds         = []Kind{Dropped, Refused, Reset, Stalled, Cut, Slow, Delayed}
	DatagramKinds = []Kind{Dropped, Delayed, Lost, Repeated, Reordered}
)

// How a link carries what is sent.
type Condition struct {
	Kind     Kind
	Bytes    int64
	Fraction float64
	Delay    time.Duration
	Jitter   time.Duration
}

// Check finds what can't be.
func (c Condition) Check() error {
	switch {
	case c.Kind != Up && !slices.Contains(Kinds, c.Kind) && !slices.Contains(DatagramKinds, c.Kind):
		return fmt.Errorf("%q is not one of %v or %v", c.Kind, Kinds, DatagramKinds)
	case slices.Contains([]Kind{Lost, Repeated, Reordered}, c.Kind) != (c.Fraction > 0) || c.Fraction < 0 || c.Fraction > 1:
		return fmt.Errorf("%s of a share of %g can't be", c.Kind, c.Fraction)
	case c.Kind == Slow && c.Bytes < 1:
		return fmt.Errorf("%d bytes a second is no speed", c.Bytes)
	case c.Kind == Cut && c.Bytes < 0:
		return fmt.Errorf("a cut after %d bytes can't be", c.Bytes)
	case c.Kind != Slow && c.Kind != Cut && c.Bytes != 0:
		return fmt.Errorf("%s takes no bytes", c.Kind)
	case c.Kind == Delayed && (c.Delay < 0 || c.Jitter < 0 || c.Delay+c.Jitter == 0):
		return fmt.Errorf("a delay of %v and up to %v more is none", c.Delay, c.Jitter)
	case c.Kind != Delayed && (c.Delay != 0 || c.Jitter != 0):
		return fmt.Errorf("%s takes no delay", c.Kind)
	}
	return nil
}

// Flow is one direction of one connection: it says what becomes of the pieces that
// are read, in their order. It is pure; the time comes in.
type Flow struct {
	condition   Condition
	random      *rand.Rand
	passedBytes int64         // bytes, since the present fault began
	freeAt      time.Duration // when the last piece has passed
	reset       bool
}

// NewFlow returns a flow that begins as the link is.
func NewFlow(condition Condition, random *rand.Rand) *Flow {
	return &Flow{condition: condition, random: random}
}

// Set changes how it flows from now on. Pieces taken before keep their time.
func (f *Flow) Set(now time.Duration, condition Condition) {
	f.condition, f.passedBytes, f.freeAt = condition, 0, now
}

// Holds says whether nothing passes now, also not what was taken before.
func (f *Flow) Blocked() bool {
	return f.condition.Kind == Dropped || f.condition.Kind == Stalled
}

const (
	maxReadBytes       = 16 << 10
	slowReadsPerSecond = 20 // in a second, so that a slow link drips
)

// Piece is how many bytes may be read at once.
func (f *Flow) ReadSize() int {
	if f.condition.Kind == Slow {
		return int(min(max(f.condition.Bytes/slowReadsPerSecond, 1), maxReadBytes))
	}
	return maxReadBytes
}

// Take takes in a piece of n bytes, and says how many of them pass, when, and
// whether the connection is reset behind them.
func (f *Flow) Schedule(now time.Duration, size int) (pass int, due time.Duration, reset bool) {
	if f.reset {
		return 0, now, true
	}
	pass, due = size, now
	switch f.condition.Kind {
	case Cut:
		if remaining := f.condition.Bytes - f.passedBytes; int64(size) >= remaining {
			pass, reset = int(remaining), true
			f.reset = true
		}
	case Slow:
		due = max(now, f.freeAt) + time.Duration(float64(size)/float64(f.condition.Bytes)*float64(time.Second))
	case Delayed:
		due = now + f.condition.Delay
		if f.condition.Jitter > 0 {
			due += time.Duration(f.random.Int64N(int64(f.condition.Jitter) + 1))
		}
	}
	due = max(due, f.freeAt)
	f.passedBytes, f.freeAt = f.passedBytes+int64(pass), due
	return pass, due, reset
}
