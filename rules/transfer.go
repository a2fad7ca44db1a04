package rules

// State transfer between the two processes of a gateway during a hand-over, and the division of local
// allowances between them.

import "math"

// Division of the local allowances between the two processes of a gateway.
const (
	handOverFraction = 0.5 // fraction of the gateway's local allowances for each of two sibling processes
	drainingFraction = 0.2 // the same for a process that accepts no more clients
)

// exportState writes the state for a sibling process and divides leases and local allowances between the
// two. Anything that stayed in both states would be spent twice.
func (g *Gateway) exportState() {
	snapshot := Snapshot{ConcurrencyLimit: g.concurrencyLimit, Latency: g.latency, Spread: g.spread,
		Pressure: g.pressure, CounterFailureRate: g.counterFailureRate,
		WarmSendRate: g.warmSendRate, AllowancesEmptyAt: g.allowancesEmptyAt}
	for _, backend := range g.backendList {
		backend.coldBudget /= 2
		snapshot.Backends = append(snapshot.Backends,
			BackendRecord{Backend: backend.Backend, Offline: backend.offline, FailureRate: backend.failureRate,
				Latency: backend.latency, LastServed: backend.lastServed, TrialAt: backend.trialAt,
				TrialInterval: backend.trialInterval,
				ColdBudget:    backend.coldBudget, ColdBudgetAt: backend.coldBudgetAt, ColdSince: backend.coldSince})
	}
	for _, quota := range g.customerList {
		planIndex := g.settings.planIndex(quota.plan.Name)
		if planIndex < 0 {
			continue // no longer configured: the sibling process takes no requests of the customer
		}
		quota.spendLocal(g.now, 0)
		quota.localUnits /= 2
		handedOver := math.Floor(max(quota.leasedUnits, 0) / 2)
		quota.leasedUnits -= handedOver
		snapshot.Customers = append(snapshot.Customers,
			CustomerRecord{ID: quota.id, Plan: planIndex, Gateways: quota.gateways,
				Index: quota.index, Demand: quota.demand / 2, LastSeen: quota.lastSeen, Units: handedOver,
				Expires: quota.leaseExpires, LeaseWindow: quota.leaseWindow,
				Window: quota.window, KnownTotal: quota.knownTotal, TotalReceived: quota.totalReceived,
				ExhaustedUntil: quota.exhaustedUntil, Backoff: quota.backoff,
				BackoffUntil: quota.backoffUntil, LocalUnits: quota.localUnits, LocalUnitsAt: quota.localUnitsAt})
	}
	snapshot.Identities = g.identities.records()
	g.retryBudget /= 2
	snapshot.RetryBudget = g.retryBudget
	g.setProcessFraction(handOverFraction)
	g.emit(Exported{Snapshot: snapshot})
}

// importState loads the state of the sibling process. Unreported units and calls in flight stay with that
// process.
func (g *Gateway) importState(snapshot Snapshot) {
	g.concurrencyLimit, g.latency, g.spread, g.warmSendRate =
		snapshot.ConcurrencyLimit, snapshot.Latency, snapshot.Spread, snapshot.WarmSendRate
	g.pressure, g.counterFailureRate = snapshot.Pressure, snapshot.CounterFailureRate
	g.allowancesEmptyAt = max(g.allowancesEmptyAt, snapshot.AllowancesEmptyAt)
	for _, record := range snapshot.Backends {
		backend := g.ensureBackend(record.Backend)
		// An operator may have put it back later than the start that discovery reports.
		backend.StartedAt = max(backend.StartedAt, record.StartedAt)
		if backend.coldSince = record.ColdSince; backend.coldSince == 0 && backend.StartedAt > 0 {
			backend.coldSince = min(backend.StartedAt, g.now) // a writer of an older version does not set it
		}
		backend.offline, backend.failureRate, backend.latency, backend.lastServed =
			record.Offline, record.FailureRate, record.Latency, record.LastServed
		backend.trialAt, backend.trialInterval, backend.coldBudget, backend.coldBudgetAt =
			record.TrialAt, record.TrialInterval, record.ColdBudget, record.ColdBudgetAt
	}
	for _, record := range snapshot.Customers {
		if record.Plan >= len(g.settings.Plans) || g.customers[record.ID] != nil {
			continue
		}
		quota := &customerQuota{
			id:             record.ID,
			plan:           &g.settings.Plans[record.Plan],
			gateways:       record.Gateways,
			index:          record.Index,
			demand:         record.Demand,
			lastSeen:       record.LastSeen,
			leasedUnits:    record.Units,
			leaseExpires:   record.Expires,
			leaseWindow:    record.LeaseWindow,
			window:         record.Window,
			knownTotal:     record.KnownTotal,
			totalReceived:  record.TotalReceived,
			counterName:    windowName(record.ID, record.Window),
			exhaustedUntil: record.ExhaustedUntil,
			backoff:        record.Backoff,
			backoffUntil:   record.BackoffUntil,
			localUnits:     record.LocalUnits,
			localUnitsAt:   record.LocalUnitsAt,
		}
		g.customers[record.ID] = quota
		g.customerList = append(g.customerList, quota)
	}
	for _, record := range snapshot.Identities {
		g.identities.add(record.Identity, record.AcceptedAt, g.settings.MaxIdentities)
	}
	g.retryBudget = snapshot.RetryBudget
	g.setProcessFraction(handOverFraction)
}

// setProcessFraction sets the fraction of the local allowances that this process may use.
func (g *Gateway) setProcessFraction(fraction float64) {
	g.processFraction = fraction
	for _, quota := range g.customerList {
		quota.terms = g.computeTerms(quota.plan, quota.gateways, quota.index)
	}
}

// ShiftTimes adds an offset in seconds to all times in the snapshot that were read from the writer's clock,
// for a reader whose clock is ahead by the offset. A time of 0 means none and stays. Start times of
// backends stay, since they come from discovery, and so do window numbers, which the reader computes
// itself.
func (s *Snapshot) ShiftTimes(offset float64) {
	for i := range s.Backends {
		record := &s.Backends[i]
		shiftAll(offset, &record.LastServed, &record.TrialAt, &record.ColdBudgetAt, &record.ColdSince)
	}
	shiftAll(offset, &s.AllowancesEmptyAt)
	for i := range s.Customers {
		record := &s.Customers[i]
		shiftAll(offset, &record.LastSeen, &record.Expires, &record.ExhaustedUntil, &record.BackoffUntil,
			&record.LocalUnitsAt)
	}
	for i := range s.Identities {
		shiftAll(offset, &s.Identities[i].AcceptedAt)
	}
}

// shiftAll adds the offset to each time that is not 0.
func shiftAll(offset float64, times ...*float64) {
	for _, value := range times {
		if *value != 0 {
			*value += offset
		}
	}
}
