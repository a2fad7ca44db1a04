package rules

// The slow start of backends: a backend that has just started bears a part of its capacity, which grows over
// Settings.ColdFor. No gateway knows what the others send, so each bounds its own part.

import "cmp"

const (
	coldSpan = 2.0 // seconds over which sends to warm backends are averaged
	coldMin  = 0.5 // sends a second, of the whole fleet, that a cold backend always gets
	coldSave = 1.5 // sends a cold backend's budget holds at most

	// promptLag is the most, in seconds, that a start which is told at once may lie back. What the promptest
	// of all starts lies back beyond it is a step of this machine's clock.
	promptLag = 1.0
)

// startOf returns the start of a backend on this gateway's clock, or 0 if it lies long back.
//
// Discovery tells starts by the wall clock. This gateway's clock began there too, and may have
// begun behind a step: then it is ahead of, or behind, the clock of all others, for as long as
// the process lives. Starts that are told while it runs show by how much. Those of the first
// list are of any age and show nothing.
func (g *Gateway) startOf(b Backend) float64 {
	if b.StartedAt == 0 {
		return 0
	}
	if !g.listed {
		return min(b.StartedAt, g.now)
	}
	g.startLag = min(g.startLag, g.now-b.StartedAt)
	step := 0.0
	switch {
	case g.startLag < 0:
		step = g.startLag
	case g.startLag > promptLag:
		step = g.startLag - promptLag
	}
	return min(b.StartedAt+step, g.now)
}

// warmth is the least share of its capacity that a backend can be trusted with.
func (g *Gateway) warmth(s *server) float64 {
	if s.warmsFrom == 0 || g.set.ColdDuration <= 0 || g.now-s.warmsFrom >= g.set.ColdDuration {
		return 1
	}
	age := max(g.now-s.warmsFrom, 0) / g.set.ColdDuration
	return g.set.InitialColdFraction + (1-g.set.InitialColdFraction)*age
}

// coldRoom keeps a cold backend from being pushed over with no agreement among gateways: each sends it at
// most its warmth times what it sends a warm one, in any short window, so the sum stays within what warm
// ones bear.
func (g *Gateway) coldRoom(s *server) bool {
	w := g.warmth(s)
	if w >= 1 {
		return true
	}
	rate := max(w*g.warmRate, coldMin/float64(cmp.Or(g.set.GatewaysPerBackend, g.here, g.set.Fleet, 1))) * g.share
	s.budget = min(s.budget+rate*(g.now-s.budgetedAt), max(coldSave*g.share, 1))
	s.budgetedAt = g.now
	return s.budget >= 1
}

// resetColdStart forgets what was learnt of an earlier process; the next warms from the given time on. Each gateway has saved another part of a send
// for the new one, in an order that differs from backend to backend: with nothing saved, all would wait long for
// their first and then come at once.
func (g *Gateway) resetColdStart(s *server, warmsFrom float64) {
	fleet := uint64(max(g.set.Fleet, 1))
	turn := (float64((hash(uint64(s.ID))+uint64(g.set.Rank))%fleet) + 0.5) / float64(fleet)
	s.latency, s.fail, s.missed, s.trialGap = 0, 0, 0, 0
	s.budget, s.budgetedAt, s.warmsFrom = turn*g.share, g.now, warmsFrom
}
