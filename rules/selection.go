package rules

// Selection of the backend for an attempt.

import (
	"math"
	"slices"
)

// Parameters of the selection. Each holds for any deployment.
const (
	// Cost of a backend for the next attempt.
	coldCostFactor    = 0.9  // factor on the cost of a cold backend that may get an attempt
	lowerLevelLoad    = 0.1  // load of an attempt below the level of the request
	lastBackendCost   = 1e3  // added to the cost of the backend of the last attempt
	costRandomization = 0.05 // largest random increase, as a fraction of the cost

	preferredRangeGateways    = 8.0 // gateways that have the same backend in their preferred range of the list
	newConnectionCost         = 0.3 // relative cost of a new connection outside that range
	newConnectionDistanceCost = 0.2 // additional relative cost at the far end of the list
	idleConnectionMargin      = 1.0 // time before the backend's idle timeout in which a connection is not used
)

// pickBackend selects the backend with the lowest cost for the next attempt of a request, or an ejected
// backend whose trial is due. It returns nil if no backend may get the attempt now.
func (g *Gateway) pickBackend(request *pendingRequest) *backendStatus {
	var best, healthy, trial *backendStatus
	usableCount, ejectedCount := 0, 0
	for index, backend := range g.backendList {
		inFlightHere := func(attempt attempt) bool { return attempt.target == backend && !attempt.ended }
		if !backend.usable() || !request.resendAllowed(backend) || !g.coldBudgetAvailable(backend) ||
			slices.ContainsFunc(request.attempts, inFlightHere) {
			continue
		}
		backend.cost = g.backendCost(backend, request, index)
		if usableCount++; best == nil || backend.cost < best.cost {
			best = backend
		}
		if !backend.ejected() {
			if healthy == nil || backend.cost < healthy.cost {
				healthy = backend
			}
			continue
		}
		ejectedCount++
		trialAllowedAt := backend.trialAt
		if request.class.Effect != Repeatable {
			trialAllowedAt += maxTrialInterval
		}
		if trial == nil && g.now >= trialAllowedAt && len(request.attempts) == 0 {
			trial = backend
		}
	}
	switch {
	case 2*ejectedCount > usableCount:
		// Most backends are ejected, so the cause is common to all: avoiding them would overload the rest.
		return best
	case trial != nil:
		trial.trialInterval = min(2*trial.trialInterval, maxTrialInterval)
		trial.trialAt = g.now + trial.trialInterval
		return trial
	}
	return healthy
}

// backendCost estimates the wait of an attempt at the backend with this index in the list. Among equally
// loaded backends a gateway prefers those to which it has a connection: it needs fewer connections and has
// better statistics of each backend. It opens new ones starting from its own position in the list, so that
// all backends are used by equally many gateways; a short range at that position counts as connected, so
// that no backend is used by too few.
func (g *Gateway) backendCost(backend *backendStatus, request *pendingRequest, index int) float64 {
	atLeastLevel := 0 // attempts in flight of at least the request's level
	for _, count := range backend.inFlightByLevel[request.level:] {
		atLeastLevel += count
	}
	latencyRatio := 1.0
	if backend.latency > 0 && g.latency > 0 {
		latencyRatio = min(max(backend.latency/g.latency, 1/maxLatencyRatio), maxLatencyRatio)
	}
	successRate := 1 - min(backend.failureRate, 0.9)
	load := float64(atLeastLevel) + lowerLevelLoad*float64(backend.inFlight)
	if fraction := g.capacityFraction(backend); fraction < 1 {
		// Its budget allows an attempt (coldBudgetAvailable), so prefer it to idle warm backends. In a large
		// fleet each gateway has fewer requests than backends: some warm one is always idle.
		load, latencyRatio = load/fraction, coldCostFactor
	}
	cost := (1 + load) * latencyRatio / (successRate * successRate)
	if !backend.hasIdleConnection(g.now, g.settings.KeepAlive) && g.capacityFraction(backend) >= 1 {
		fleet := float64(g.settings.gatewaysPerBackend())
		distance := float64(index)/float64(len(g.backendList)) - float64(g.settings.Rank)/fleet
		if distance -= math.Floor(distance); distance >= preferredRangeGateways/fleet {
			cost *= 1 + newConnectionCost + newConnectionDistanceCost*distance
		}
	}
	if backend.Zone != g.settings.Zone {
		cost *= 1 + g.settings.CrossZonePrice
	}
	if count := len(request.attempts); count > 0 && request.attempts[count-1].target == backend {
		cost += lastBackendCost // avoid the backend of the last attempt if there is another
	}
	return cost * (1 + costRandomization*g.rng.Float64())
}

// hasIdleConnection reports whether an idle connection to the backend is likely to exist.
func (s *backendStatus) hasIdleConnection(now, keepAlive float64) bool {
	return s.inFlight == 0 && s.lastServed > 0 && now-s.lastServed < keepAlive-idleConnectionMargin
}
