package rules

// Queues of admitted requests: one for each level, dispatched highest level first.

// enqueue puts an admitted request into the queue of its level, unless its expected wait exceeds the
// remaining time. The expected wait in a queue with priorities is X*N / (1 - X*A), where X is the interval
// at which the concurrency limit releases requests, N the requests ahead and A the arrival rate at higher
// levels.
func (g *Gateway) enqueue(request *pendingRequest) {
	releaseInterval := g.latency / max(g.concurrencyLimit*g.processFraction, 1e-3)
	ahead, higherArrivals := 1+float64(len(g.queues[request.level])), 0.0
	for level := request.level + 1; level < len(g.queues); level++ {
		ahead += float64(len(g.queues[level]))
		higherArrivals += g.arrivalRates[level]
	}
	if g.limitReached(request.level) &&
		ahead*releaseInterval >= (request.answerBy-g.now-g.latency)*max(1-releaseInterval*higherArrivals, 0) {
		g.reject(request, RejectedNoRoom)
		return
	}
	g.queues[request.level] = append(g.queues[request.level], request)
}

// dispatch sends queued requests, highest level first.
func (g *Gateway) dispatch() {
	for level := len(g.queues) - 1; level >= 0; level-- {
		for len(g.queues[level]) > 0 {
			request := g.queues[level][0]
			if !request.finished {
				if g.limitReached(level) {
					return
				}
				backend := g.pickBackend(request)
				if backend == nil {
					break
				}
				g.send(request, backend)
			}
			g.queues[level] = g.queues[level][1:]
		}
	}
}
