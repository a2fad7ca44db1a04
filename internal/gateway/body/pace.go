package body

import "time"

// Pace limits how long the transfer waits for one of its sides: at most MaxPause at a time,
// and in total at most Grace plus the time that the transferred bytes take at MinRate. Only
// the time spent waiting for that side counts. The total limit ends transfers to a peer that
// moves a byte now and then, but not to one that is merely slow.
type Pace struct {
	MaxPause, Grace time.Duration
	MinRate         float64       // bytes per second; 0: no total limit
	Waited          time.Duration // for the side so far

	bytes int64
}

// AllowedWait returns how long the transfer may wait for the side now.
func (p *Pace) AllowedWait() time.Duration {
	if p.MinRate == 0 {
		return p.MaxPause
	}
	earned := time.Duration(float64(p.bytes) / p.MinRate * float64(time.Second))
	return min(p.MaxPause, p.Grace+earned-p.Waited)
}

// Record adds the bytes moved by one read or write and the time spent waiting for them.
func (p *Pace) Record(bytes int, waited time.Duration) {
	p.bytes += int64(bytes)
	p.Waited += waited
}

// Bytes returns the number of bytes that have been moved.
func (p *Pace) Bytes() int64 { return p.bytes }
