package rules

// What the gateway knows of its backends: the list from discovery, operator overrides, and their health.

import (
	"cmp"
	"math"
)

// Parameters of the health of backends. Durations are in seconds. Each value holds for any deployment.
const (
	failureGain          = 0.25 // weight of the newest outcome in the failure rate
	meanLatencyGain      = 0.02 // weight of the newest latency in the mean over all backends
	ejectFailureRate     = 0.4  // a backend with this failure rate gets trial attempts only
	latencyGain          = 0.15 // weight of the newest latency in the mean of one backend
	maxLatencyRatio      = 8.0  // limit of a backend's latency relative to the mean
	initialTrialInterval = 0.5  // doubles with each trial
	maxTrialInterval     = 4.0
)

// Backoff after a failure of discovery, in seconds.
const (
	initialDiscoveryBackoff = 1.0 // doubles; the delay is randomized between half and twice this value
	maxDiscoveryBackoff     = 1.8 // a longer one would delay the list once discovery is back
)

// updateBackends applies an update from discovery. Backends that are not ready get no more attempts.
func (g *Gateway) updateBackends(update Backends) {
	if update.Kind == ListFailed {
		// All gateways fail together: without a randomized backoff their requests would keep discovery down.
		g.discoveryBackoff = min(max(2*g.discoveryBackoff, initialDiscoveryBackoff), maxDiscoveryBackoff)
		g.setTimer(g.discoveryBackoff*(0.5+1.5*g.rng.Float64()), timerDiscoveryRetry, 0, 0)
		g.discoveryFailedAt = cmp.Or(g.discoveryFailedAt, g.now)
		return
	}
	g.discoveryBackoff = 0
	g.listUpdates++
	for _, entry := range update.Entries {
		known := g.backendByID[entry.ID] != nil
		backend := g.ensureBackend(entry)
		restarted := backend.hasRestarted(entry)
		backend.recordReportedStart(entry)
		switch {
		case !known:
			g.resetColdStart(backend, g.localStartTime(entry))
		case restarted:
			g.resetColdStart(backend, g.localRestartTime(backend, entry))
		default:
			entry.StartedAt = backend.StartedAt
		}
		backend.Backend, backend.listUpdate = entry, g.listUpdates
	}
	if update.Kind != Delta {
		g.markUnlisted()
	}
	g.discoveryFailedAt = 0
	g.listReceived = g.listReceived || update.Kind != CachedList
	if g.concurrencyLimit == 0 && len(g.backendList) > 0 {
		g.concurrencyLimit = initialLimit * g.backendsPerGateway()
	}
}

// markUnlisted marks the backends that a full list does not have as gone.
func (g *Gateway) markUnlisted() {
	for _, backend := range g.backendList {
		if backend.listUpdate != g.listUpdates {
			backend.State = Gone
		}
	}
}

// usable reports whether the backend may get attempts at all.
func (s *backendStatus) usable() bool { return s.State == Ready && !s.offline }

// overrideBackend takes a backend out of use, or puts it back. Operators restart backends while these are
// out of use, and discovery may report the new start late. So a backend counts as started when it is put
// back, unless a later start is known.
func (g *Gateway) overrideBackend(override OperatorOverride) {
	backend := g.backendByID[override.Backend]
	if backend == nil || backend.offline == override.Offline {
		return
	}
	if backend.offline = override.Offline; !backend.offline {
		backend.StartedAt = max(backend.StartedAt, g.now)
		g.resetColdStart(backend, g.now)
	}
}

// recordOutcome updates the backend's health and latency and the concurrency limit.
func (g *Gateway) recordOutcome(request *pendingRequest, attempt *attempt, end AttemptEnd) {
	backend := attempt.target
	took := g.now - attempt.sent
	if attempt.answeredAt > 0 {
		took = attempt.answeredAt - attempt.sent
	}
	switch end.Outcome {
	case Served:
		backend.lastServed, backend.unansweredCount = g.now, 0
		g.dropAbandoned(backend, attempt.sent)
		backend.failureRate -= failureGain * backend.failureRate
		if !backend.ejected() {
			backend.trialInterval = 0
		}
		backend.updateLatency(took)
		if g.latency == 0 {
			g.latency, g.spread = took, took/2
		}
		g.spread += meanLatencyGain * (math.Abs(took-g.latency) - g.spread)
		g.latency += meanLatencyGain * (took - g.latency)
		g.adjustLimit(took / request.class.Aim)
	case Errored, Broken, ConnectFailed:
		g.recordFailure(backend)
	case Full:
		g.recordFailure(backend)
		g.adjustLimit(1)
	case TimedOut, Cancelled:
		if took > g.overdueAfter() {
			if backend.updateLatency(max(took, backend.latency)); end.Outcome == TimedOut {
				g.adjustLimit(1)
			}
		}
	}
}

// updateLatency includes one latency in the backend's moving average.
func (s *backendStatus) updateLatency(took float64) {
	if s.latency == 0 {
		s.latency = took
	}
	s.latency += latencyGain * (took - s.latency)
}

// ejected reports whether the backend gets trial attempts only.
func (s *backendStatus) ejected() bool { return s.failureRate >= ejectFailureRate }

// recordFailure includes a failure or an overdue attempt in the backend's failure rate.
func (g *Gateway) recordFailure(backend *backendStatus) {
	wasEjected := backend.ejected()
	backend.failureRate += failureGain * (1 - backend.failureRate)
	if backend.ejected() && !wasEjected {
		backend.trialInterval = initialTrialInterval
		backend.trialAt = g.now + backend.trialInterval
	}
}
