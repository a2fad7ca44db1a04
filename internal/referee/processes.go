package referee

import "time"

// Excuse reports that a fault begins at a gateway. It need not answer the requests that it
// has accepted, nor those that arrive until Back.
func (r *Referee) Excuse(now time.Duration, g int) {
	r.gateways[g].excused = true
	for _, rec := range r.open {
		if rec.Gateway == g && !rec.answered && !rec.closed {
			rec.excused = true
			rec.note(now, "its gateway is struck", 0)
		}
	}
}

// FaultEnded reports the end of a gateway's fault. fresh says that the gateway is a new process,
// which has received no list yet.
func (r *Referee) FaultEnded(now time.Duration, g int, fresh bool) {
	r.gateways[g].excused, r.gateways[g].stopping = false, -1
	r.gateways[g].stand.changed = -1
	if fresh {
		r.tried[Crash]++
		r.gateways[g].stand.fresh()
		r.gateways[g].told, r.gateways[g].checked, r.gateways[g].version = map[int]told{}, map[int]int64{}, 0
	}
}

// Stopping reports that a gateway was told to stop.
func (r *Referee) Stopping(now time.Duration, g int) {
	r.tried[Stop]++
	r.gateways[g].stopping = now
}

// StopTimedOut reports that a gateway did not stop in time.
func (r *Referee) StopTimedOut(now time.Duration, g int) {
	r.violate(now, Stop, g, nil, "it had not ended when it was killed, %v after it was told to", now-r.gateways[g].stopping)
}

// Crashed reports that a gateway exited by itself.
func (r *Referee) Crashed(now time.Duration, g int, how string) {
	r.violate(now, Crash, g, nil, "it ended: %s", how)
	r.Excuse(now, g)
}

// mostDatagram is the permitted size of a datagram between gateways in bytes.
const mostDatagram = 256

// Datagram judges a datagram that a gateway has sent, and reports whether to deliver it.
func (r *Referee) Datagram(now time.Duration, g, bytes int) bool {
	r.tried[Peer]++
	if bytes <= mostDatagram {
		return true
	}
	r.violate(now, Peer, g, nil, "it sent a datagram of %d bytes", bytes)
	return false
}
