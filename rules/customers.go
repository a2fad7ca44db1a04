package rules

// The table of customers, and which of them are dropped from it.

import (
	"cmp"
	"slices"
)

const (
	customerIdleTimeout = 60.0 // seconds; state of a customer without requests is dropped after it

	// keptCustomersDivisor makes an eviction leave 1/8 of a full table free, so that the next customers
	// do not cause another one.
	keptCustomersDivisor = 8
)

// reviewCustomers updates the leases of all customers and drops those that have been idle for long. Clients
// choose the numbers of customers, so the table is also limited to MaxCustomers.
func (g *Gateway) reviewCustomers() {
	kept := g.customerList[:0]
	for _, quota := range g.customerList {
		g.expireLease(quota)
		g.returnIdleSlots(quota)
		if g.now-quota.lastSeen > customerIdleTimeout && quota.evictable() {
			g.forgetCustomer(quota)
			continue
		}
		kept = append(kept, quota)
		if len(quota.queued) > 0 {
			g.admit(quota)
		}
	}
	clear(g.customerList[len(kept):])
	g.customerList = kept
	if limit := g.settings.MaxCustomers; limit > 0 && len(g.customerList) > limit {
		g.evictCustomers(len(g.customerList) - limit + limit/keptCustomersDivisor)
	}
}

// evictable reports whether nothing is in progress for the customer.
func (q *customerQuota) evictable() bool {
	return q.active == 0 && q.callsInFlight == 0 && len(q.queued) == 0
}

// evictCustomers drops up to count customers, those without requests for longest first. Their leased units
// count as spent until the end of the window.
func (g *Gateway) evictCustomers(count int) {
	var candidates []*customerQuota
	for _, quota := range g.customerList {
		if quota.evictable() && quota.slots == 0 {
			candidates = append(candidates, quota)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *customerQuota) int { return cmp.Compare(a.lastSeen, b.lastSeen) })
	for _, quota := range candidates[:min(count, len(candidates))] {
		g.forgetCustomer(quota)
	}
	g.customerList = slices.DeleteFunc(g.customerList, func(quota *customerQuota) bool { return g.customers[quota.id] != quota })
}

// forgetCustomer drops the state of a customer. It may come back, and must not have more of its local
// allowance then than it has now. Which customers were dropped is not known any more, so the limit holds for
// every one that is new from now on.
func (g *Gateway) forgetCustomer(quota *customerQuota) {
	delete(g.customers, quota.id)
	if emptyAt, full := quota.allowanceEmptyAt(g.now); !full {
		g.allowancesEmptyAt = max(g.allowancesEmptyAt, emptyAt)
	}
}

// allowanceEmptyAt returns the time at which the local allowance would have been empty if nothing had been
// spent since, and whether it is full now.
func (q *customerQuota) allowanceEmptyAt(now float64) (emptyAt float64, full bool) {
	if q.terms.localRate <= 0 {
		return 0, true // there is none, or it does not grow back
	}
	emptyAt = q.localUnitsAt - q.localUnits/q.terms.localRate
	return emptyAt, now-emptyAt >= q.terms.localBurst/q.terms.localRate
}
