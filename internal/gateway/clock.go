package gateway

import "time"

// clock is the decision module's time: Unix time in seconds, read once at the start and
// advanced by the monotonic clock, so that a step of the system clock moves no deadline. All
// gateways must use the same origin, since it determines the windows of their leases.
type clock struct {
	start     time.Time
	startUnix float64
}

func newClock() clock {
	base := time.Now()
	return clock{start: base, startUnix: float64(base.UnixNano()) / 1e9}
}

// now returns the current time in seconds.
func (c clock) now() float64 { return c.startUnix + time.Since(c.start).Seconds() }

// at converts a time in seconds to a time.Time for socket deadlines.
func (c clock) at(t float64) time.Time {
	return c.start.Add(time.Duration((t - c.startUnix) * float64(time.Second)))
}
