package rules

import (
	"maps"
	"slices"
)

// endBy takes note of when this process ends.
//
// Requests that wait already are bounded by it like those that come later: their own
// deadlines may lie behind the moment at which the process is killed, whatever it holds.
func (g *Gateway) endBy(until float64) {
	g.endsAt = until
	if g.share < 1 {
		g.shareOut(leaverShare)
	}
	for _, id := range slices.Sorted(maps.Keys(g.requests)) {
		j := g.requests[id]
		if j.done || j.giveUp <= g.lastAnswer() {
			continue
		}
		j.giveUp = g.lastAnswer()
		g.timer(j.giveUp-g.now, timerEnd, 0, id)
	}
}

// lastAnswer is when the last request must have its answer if this process ends.
func (g *Gateway) lastAnswer() float64 { return g.endsAt - 2*g.set.Tick }

// orStopping returns the reason for a request whose time is over, unless it is the end of
// the process that has cut it short.
func (g *Gateway) orStopping(j *pendingRequest, why Reason) Reason {
	if j.giveUp >= g.lastAnswer() {
		return RejectedStopping
	}
	return why
}
