package rules

// Slow start: a backend that has just started gets a fraction of its capacity, which grows over
// Settings.ColdDuration. Gateways do not know each other's attempts, so each limits its own part.

import "cmp"

const (
	rateTimeConstant = 2.0 // seconds over which rates are averaged
	minColdRate      = 0.5 // attempts per second, over the whole fleet, that a cold backend always gets
	maxColdBudget    = 1.5 // upper limit of a cold backend's budget, attempts

	// maxPromptLag is the longest regular delay, in seconds, between a start and its report. If even the
	// shortest delay seen exceeds it, the excess is an offset of the local clock.
	maxPromptLag = 1.0

	// maxReportDelay is the longest time, in seconds, that discovery takes to report a change while it
	// answers.
	maxReportDelay = 6.0
)

// localStartTime returns the start of a backend on this gateway's clock, or 0 if it was long ago.
//
// Discovery reports starts in wall-clock time. This gateway's clock started from the wall clock and keeps
// any offset the wall clock had at that moment. The delay between a start and its report, for backends that
// start while the process runs, shows the offset. The entries of the first list can have started at any
// time and show nothing.
func (g *Gateway) localStartTime(entry Backend) float64 {
	if entry.StartedAt == 0 {
		return 0
	}
	if !g.listReceived {
		return min(entry.StartedAt, g.now)
	}
	g.minStartLag = min(g.minStartLag, g.now-entry.StartedAt)
	step := 0.0
	switch {
	case g.minStartLag < 0:
		step = g.minStartLag
	case g.minStartLag > maxPromptLag:
		step = g.minStartLag - maxPromptLag
	}
	return min(entry.StartedAt+step, g.now)
}

// localRestartTime returns the start of a known backend that has restarted, on this gateway's clock. The
// wall clock may have been stepped back since other starts, which makes a new start look old. But while the
// backend was listed and discovery answered, the start can only be as old as the report may be late.
func (g *Gateway) localRestartTime(backend *backendStatus, entry Backend) float64 {
	started := g.localStartTime(entry)
	if backend.State == Gone {
		return started
	}
	return max(started, cmp.Or(g.discoveryFailedAt, g.now)-maxReportDelay)
}

// hasRestarted reports whether an entry tells of a start that is not known yet. It is later than the last
// one, or earlier if the wall clock was stepped back. A start that was reported before the last one comes
// from an older list.
func (s *backendStatus) hasRestarted(entry Backend) bool {
	if entry.StartedAt == 0 || entry.StartedAt == s.previousStart {
		return false
	}
	return entry.StartedAt > s.StartedAt || entry.StartedAt < s.reportedStart
}

// recordReportedStart remembers the start that an entry reports.
func (s *backendStatus) recordReportedStart(entry Backend) {
	if reported := entry.StartedAt; reported > 0 && reported != s.reportedStart {
		s.previousStart, s.reportedStart = s.reportedStart, reported
	}
}

// capacityFraction returns the fraction of its capacity that a backend has reached in its slow start; 1
// once it is warm.
func (g *Gateway) capacityFraction(backend *backendStatus) float64 {
	if backend.coldSince == 0 || g.settings.ColdDuration <= 0 ||
		g.now-backend.coldSince >= g.settings.ColdDuration {
		return 1
	}
	progress := max(g.now-backend.coldSince, 0) / g.settings.ColdDuration
	return g.settings.InitialColdFraction + (1-g.settings.InitialColdFraction)*progress
}

// coldBudgetAvailable reports whether a backend may get an attempt during its slow start. Each gateway
// sends it at most its capacity fraction times what it sends to a warm backend, so the total stays within
// its capacity without coordination between gateways.
func (g *Gateway) coldBudgetAvailable(backend *backendStatus) bool {
	fraction := g.capacityFraction(backend)
	if fraction >= 1 {
		return true
	}
	rate := max(fraction*g.warmSendRate,
		minColdRate/float64(cmp.Or(g.settings.GatewaysPerBackend, g.presentCount, g.settings.Fleet,
			1))) * g.processFraction
	backend.coldBudget = min(backend.coldBudget+rate*(g.now-backend.coldBudgetAt),
		max(maxColdBudget*g.processFraction, 1))
	backend.coldBudgetAt = g.now
	return backend.coldBudget >= 1
}

// resetColdStart discards the statistics of a backend that has restarted and begins its slow start at
// coldSince. The initial budget is a different fraction of an attempt at each gateway, in an order that
// depends on the backend: with equal budgets all gateways would send their first attempts at the same time.
func (g *Gateway) resetColdStart(backend *backendStatus, coldSince float64) {
	fleet := uint64(max(g.settings.Fleet, 1))
	fraction := (float64((hash(uint64(backend.ID))+uint64(g.settings.Rank))%fleet) + 0.5) / float64(fleet)
	backend.latency, backend.failureRate, backend.unansweredCount, backend.trialInterval = 0, 0, 0, 0
	backend.coldBudget, backend.coldBudgetAt, backend.coldSince = fraction*g.processFraction, g.now, coldSince
}
