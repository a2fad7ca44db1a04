package rules

// State transfer: what one process of a gateway leaves to the next that runs beside it, and how they share what
// one gateway may do.

import "math"

// exportState writes the state for a process that has come up beside this one and splits what may be spent
// unasked. Danger: what stays in both states would be spent twice.
func (g *Gateway) exportState() {
	b := Snapshot{Bound: g.bound, Latency: g.latency, Spread: g.spread, Pressure: g.pressure, Crowd: g.crowd,
		WarmRate: g.warmRate}
	for _, s := range g.list {
		s.budget /= 2
		b.Backends = append(b.Backends, BackendRecord{Backend: s.Backend, Banned: s.banned, Fail: s.fail,
			Latency: s.latency, LastOK: s.lastOK, TrialAt: s.trialAt, TrialGap: s.trialGap,
			Budget: s.budget, BudgetedAt: s.budgetedAt, WarmsFrom: s.warmsFrom})
	}
	for _, c := range g.roster {
		c.takeLocal(g.now, 0)
		c.local /= 2
		give := math.Floor(max(c.units, 0) / 2)
		c.units -= give
		b.Customers = append(b.Customers, CustomerRecord{ID: c.id, Plan: c.plan, Gateways: c.gateways,
			Index: c.index, Demand: c.demand / 2, Seen: c.seen, Units: give, Expires: c.expires, Leased: c.leased,
			Window: c.window, Known: c.known, Met: c.met, DryUntil: c.dryUntil, Rest: c.rest,
			RestTill: c.restTill, Local: c.local, LocalAt: c.localAt})
	}
	g.shareOut(pairShare)
	g.do(Exported{Snapshot: b})
}

// importState takes over such a state. What is owed or on its way stays with the other process.
func (g *Gateway) importState(b Snapshot) {
	g.bound, g.latency, g.spread, g.warmRate = b.Bound, b.Latency, b.Spread, b.WarmRate
	g.pressure, g.crowd = b.Pressure, b.Crowd
	for _, k := range b.Backends {
		s := g.serverOf(k.Backend)
		s.Born = max(s.Born, k.Born) // it may have come back by hand later than discovery says
		if s.warmsFrom = k.WarmsFrom; s.warmsFrom == 0 && s.Born > 0 {
			s.warmsFrom = min(s.Born, g.now) // the writer did not tell it
		}
		s.banned, s.fail, s.latency, s.lastOK = k.Banned, k.Fail, k.Latency, k.LastOK
		s.trialAt, s.trialGap, s.budget, s.budgetedAt = k.TrialAt, k.TrialGap, k.Budget, k.BudgetedAt
	}
	for _, k := range b.Customers {
		if k.Plan >= len(g.set.Plans) || g.customers[k.ID] != nil {
			continue
		}
		c := &customer{id: k.ID, plan: k.Plan, gateways: k.Gateways, index: k.Index, demand: k.Demand, seen: k.Seen,
			units: k.Units, expires: k.Expires, leased: k.Leased, window: k.Window, known: k.Known, met: k.Met,
			name: windowName(k.ID, k.Window), dryUntil: k.DryUntil, rest: k.Rest, restTill: k.RestTill,
			local: k.Local, localAt: k.LocalAt}
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
func (b *Snapshot) Shift(by float64) {
	for i := range b.Backends {
		k := &b.Backends[i]
		shift(by, &k.LastOK, &k.TrialAt, &k.BudgetedAt, &k.WarmsFrom)
	}
	for i := range b.Customers {
		k := &b.Customers[i]
		shift(by, &k.Seen, &k.Expires, &k.DryUntil, &k.RestTill, &k.LocalAt)
	}
}

func shift(by float64, times ...*float64) {
	for _, t := range times {
		if *t != 0 {
			*t += by
		}
	}
}
