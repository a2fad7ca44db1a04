package rules

// Shutdown: requests are answered before the process ends.

import (
	"maps"
	"slices"
)

// limitToShutdown records the time at which this process ends, and limits the answer time of pending
// requests to it: their own deadlines may be later.
func (g *Gateway) limitToShutdown(until float64) {
	g.shutdownAt = until
	if g.processFraction < 1 {
		g.setProcessFraction(drainingFraction)
	}
	for _, id := range slices.Sorted(maps.Keys(g.requests)) {
		request := g.requests[id]
		if request.finished || request.answerBy <= g.lastAnswerTime() {
			continue
		}
		request.answerBy = g.lastAnswerTime()
		g.setTimer(request.answerBy-g.now, timerAnswerBy, 0, id)
	}
}

// lastAnswerTime returns the latest time for an answer before the process ends; infinity if no shutdown is
// announced.
func (g *Gateway) lastAnswerTime() float64 { return g.shutdownAt - 2*g.settings.Tick }

// rejectionReason returns RejectedStopping if the shutdown has shortened the time of the request, and
// otherwise the given reason.
func (g *Gateway) rejectionReason(request *pendingRequest, reason Reason) Reason {
	if request.answerBy >= g.lastAnswerTime() {
		return RejectedStopping
	}
	return reason
}
