package referee

import "time"

// Excuse reports that a fault begins at a gateway. It need not answer the requests that it
// has accepted, nor those that arrive until FaultEnded.
func (r *Referee) Excuse(now time.Duration, gateway int) {
	r.gateways[gateway].excused = true
	for _, rec := range r.requests {
		if rec.Gateway == gateway && !rec.answered && !rec.closed {
			rec.excused = true
			rec.note(now, "a fault begins at its gateway", 0)
		}
	}
}

// FaultEnded reports the end of a gateway's fault. newProcess says that the gateway is a new
// process, which has received no list yet.
func (r *Referee) FaultEnded(now time.Duration, gateway int, newProcess bool) {
	r.gateways[gateway].excused, r.gateways[gateway].stoppingAt = false, -1
	r.gateways[gateway].reported.changed = -1
	if newProcess {
		r.tried[Crash]++
		r.gateways[gateway].reported.reset()
		r.gateways[gateway].backends, r.gateways[gateway].checkedVersions, r.gateways[gateway].listVersion = map[int]backendNotice{}, map[int]int64{}, 0
	}
}

// Stopping reports that a gateway was told to stop.
func (r *Referee) Stopping(now time.Duration, gateway int) {
	r.tried[Stop]++
	r.gateways[gateway].stoppingAt = now
}

// StopTimedOut reports that a gateway did not stop in time.
func (r *Referee) StopTimedOut(now time.Duration, gateway int) {
	r.violate(now, Stop, gateway, nil, "it was killed since it had not exited %v after it was told to stop", now-r.gateways[gateway].stoppingAt)
}

// Crashed reports that a gateway exited by itself.
func (r *Referee) Crashed(now time.Duration, gateway int, status string) {
	r.violate(now, Crash, gateway, nil, "it ended: %s", status)
	r.Excuse(now, gateway)
}

// maxDatagramBytes is the permitted size of a datagram between gateways in bytes.
const maxDatagramBytes = 256

// Datagram judges a datagram that a gateway has sent, and reports whether to deliver it.
func (r *Referee) Datagram(now time.Duration, gateway, bytes int) bool {
	r.tried[Peer]++
	if bytes <= maxDatagramBytes {
		return true
	}
	r.violate(now, Peer, gateway, nil, "it sent a datagram of %d bytes", bytes)
	return false
}
