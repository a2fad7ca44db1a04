// Package link is a fault injection proxy: its relays carry TCP connections and datagrams between
// processes and drop, stall, cut, slow or delay them, in each direction independently.
package link

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is the kind of a fault on a link or on one direction of it, or Up.
type Kind string

// The kinds of faults.
const (
	Up      Kind = "up"
	Dropped Kind = "dropped" // nothing passes, and connection attempts get no response, as with a lost machine
	Refused Kind = "refused" // new connections are refused, and established ones are reset
	Reset   Kind = "reset"   // connections are established and reset at once
	Stalled Kind = "stalled" // connections are established, and nothing passes: buffers fill up
	Cut     Kind = "cut"     // each connection is reset after Bytes
	Slow    Kind = "slow"    // at most Bytes per second pass
	Delayed Kind = "delayed" // everything arrives later by Delay and up to Jitter

	// For datagrams only:
	Lost      Kind = "lost"      // a Fraction of them is lost
	Repeated  Kind = "repeated"  // a Fraction of them arrives twice
	Reordered Kind = "reordered" // a Fraction of them arrives after later ones
)

// Kinds are the kinds of faults for TCP connections, and DatagramKinds those for datagrams.
var (
	Kinds         = []Kind{Dropped, Refused, Reset, Stalled, Cut, Slow, Delayed}
	DatagramKinds = []Kind{Dropped, Delayed, Lost, Repeated, Reordered}
)

// Condition is how a link, or one direction of it, treats traffic.
type Condition struct {
	Kind     Kind
	Bytes    int64         // for Cut, bytes; for Slow, bytes per second
	Fraction float64       // for Lost, Repeated and Reordered, of the datagrams
	Delay    time.Duration // for Delayed
	Jitter   time.Duration // for Delayed
}

// Check returns an error if the kind is unknown or a value does not fit it.
func (c Condition) Check() error {
	switch {
	case c.Kind != Up && !slices.Contains(Kinds, c.Kind) && !slices.Contains(DatagramKinds, c.Kind):
		return fmt.Errorf("%q is not one of %v or %v", c.Kind, Kinds, DatagramKinds)
	case slices.Contains([]Kind{Lost, Repeated, Reordered}, c.Kind) != (c.Fraction > 0) || c.Fraction < 0 || c.Fraction > 1:
		return fmt.Errorf("%s with a fraction of %g: lost, repeated and reordered take more than 0 and up to 1, others take 0", c.Kind, c.Fraction)
	case c.Kind == Slow && c.Bytes < 1:
		return fmt.Errorf("slow with %d bytes per second: it takes at least 1", c.Bytes)
	case c.Kind == Cut && c.Bytes < 0:
		return fmt.Errorf("cut after %d bytes: it takes at least 0", c.Bytes)
	case c.Kind != Slow && c.Kind != Cut && c.Bytes != 0:
		return fmt.Errorf("%s takes no number of bytes", c.Kind)
	case c.Kind == Delayed && (c.Delay < 0 || c.Jitter < 0 || c.Delay+c.Jitter == 0):
		return fmt.Errorf("delayed by %v with a jitter of %v: neither may be negative, and one must be more than 0", c.Delay, c.Jitter)
	case c.Kind != Delayed && (c.Delay != 0 || c.Jitter != 0):
		return fmt.Errorf("%s takes no delay and no jitter", c.Kind)
	}
	return nil
}

// Flow schedules one direction of one connection under a Condition. It does no I/O; callers pass
// in the time. It is not safe for concurrent use.
type Flow struct {
	condition   Condition
	random      *rand.Rand
	passedBytes int64         // since the condition was set
	freeAt      time.Duration // when the last piece has passed
	reset       bool          // by Cut; nothing more passes
}

// NewFlow returns a Flow under a condition. random draws the jitter.
func NewFlow(condition Condition, random *rand.Rand) *Flow {
	return &Flow{condition: condition, random: random}
}

// Set changes the condition from now on. Pieces that are scheduled keep their due times.
func (f *Flow) Set(now time.Duration, condition Condition) {
	f.condition, f.passedBytes, f.freeAt = condition, 0, now
}

// Blocked reports whether nothing passes now, not even pieces that are already scheduled.
func (f *Flow) Blocked() bool {
	return f.condition.Kind == Dropped || f.condition.Kind == Stalled
}

const (
	maxReadBytes       = 16 << 10
	slowReadsPerSecond = 20 // spreads the bytes of a slow link over the second
)

// ReadSize returns how many bytes may be read at once.
func (f *Flow) ReadSize() int {
	if f.condition.Kind == Slow {
		return int(min(max(f.condition.Bytes/slowReadsPerSecond, 1), maxReadBytes))
	}
	return maxReadBytes
}

// Schedule accepts a piece of size bytes that was read at now. It returns how many of them pass,
// when they are due, and whether the connection is reset after them.
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
