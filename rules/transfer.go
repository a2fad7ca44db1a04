package rules

// State transfer: what one process of a gateway leaves to the next that runs beside it, and how they share what
// one gateway may do.

import "math"

// exportState writes the state for a process that has come up beside this one and splits what may be spent
// unasked. Danger: what stays in both states would be spent twice.
func (g *Gateway) exportState() {
	b := Snapshot{ConcurrencyLimit: g.bound, Latency: g.latency, Spread: g.spread, Pressure: g.pressure, CounterFailureRate: g.crowd,
		WarmSendRate: g.warmRate}
	for _, s := range g.list {
		s.budget /= 2
		b.Backends = append(b.Backends, BackendRecord{Backend: s.Backend, Banned: s.banned, FailureRate: s.fail,
			Latency: s.latency, LastServed: s.lastOK, TrialAt: s.trialAt, TrialInterval: s.trialGap,
			ColdBudget: s.budget, ColdBudgetAt: s.budgetedAt, ColdSince: s.warmsFrom})
	}
	for _, c := range g.roster {
		c.takeLocal(g.now, 0)
		c.local /= 2
		give := math.Floor(max(c.units, 0) / 2)
		c.units -= give
		b.Customers = append(b.Customers, CustomerRecord{ID: c.id, Plan: c.plan, Gateways: c.gateways,
			Index: c.index, Demand: c.demand / 2, LastSeen: c.seen, Units: give, Expires: c.expires, LeaseWindow: c.leased,
			Window: c.window, KnownTotal: c.known, TotalReceived: c.met, ExhaustedUntil: c.dryUntil, Backoff: c.rest,
			BackoffUntil: c.restTill, LocalUnits: c.local, LocalUnitsAt: c.localAt})
	}
	g.shareOut(pairShare)
	g.do(Exported{Snapshot: b})
}

// importState takes over such a state. What is owed or on its way stays with the other process.
func (g *Gateway) importState(b Snapshot) {
	g.bound, g.latency, g.spread, g.warmRate = b.ConcurrencyLimit, b.Latency, b.Spread, b.WarmSendRate
	g.pressure, g.crowd = b.Pressure, b.CounterFailureRate
	for _, k := range b.Backends {
		s := g.serverOf(k.Backend)
		s.StartedAt = max(s.StartedAt, k.StartedAt) // it may have come back by hand later than discovery says
		if s.warmsFrom = k.ColdSince; s.warmsFrom == 0 && s.StartedAt > 0 {
			s.warmsFrom = min(s.StartedAt, g.now) // the writer did not tell it
		}
		s.banned, s.fail, s.latency, s.lastOK = k.Banned, k.FailureRate, k.Latency, k.LastServed
		s.trialAt, s.trialGap, s.budget, s.budgetedAt = k.TrialAt, k.TrialInterval, k.ColdBudget, k.ColdBudgetAt
	}
	for _, k := range b.Customers {
		if k.Plan >= len(g.set.Plans) || g.customers[k.ID] != nil {
			continue
		}
		c := &customer{id: k.ID, plan: k.Plan, gateways: k.Gateways, index: k.Index, demand: k.Demand, seen: k.LastSeen,
			units: k.Units, expires: k.Expires, leased: k.LeaseWindow, window: k.Window, known: k.KnownTotal, met: k.TotalReceived,
			name: windowName(k.ID, k.Window), dryUntil: k.ExhaustedUntil, rest: k.Backoff, restTill: k.BackoffUntil,
			local: k.LocalUnits, localAt: k.LocalUnitsAt}
		g.customers[k.ID] = c
		g.roster = append(g.roster, c)
	}
	g.shareOut(pairShare)
}

// shareOut takes a part of what the gateway may do unasked for this process.
func (g *Gateway) shareOut(part float64) {
	g.share = part
	for _, c := range g.roster {
		if c.plan < len(g.set.Plans) {
			c.terms = g.terms(&g.set.Plans[c.plan], c.gateways, c.index)
		}
	}
}

// Shift moves all times that were read on the writer's clock by so many seconds, for a reader
// whose clock is ahead by that. 0 stands for no time. Starts of backends are left, as
// discovery tells them, and so are windows, which are cut anew.
func (b *Snapshot) ShiftTimes(by float64) {
	for i := range b.Backends {
		k := &b.Backends[i]
		shift(by, &k.LastServed, &k.TrialAt, &k.ColdBudgetAt, &k.ColdSince)
	}
	for i := range b.Customers {
		k := &b.Customers[i]
		shift(by, &k.LastSeen, &k.Expires, &k.ExhaustedUntil, &k.BackoffUntil, &k.LocalUnitsAt)
	}
}

func shift(by float64, times ...*float64) {
	for _, t := range times {
		if *t != 0 {
			*t += by
		}
	}
}
