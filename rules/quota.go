package rules

// Quotas of customers: the terms of their plans, and the admission of their requests.

import "math"

// Parameters of quotas. Durations are in seconds. Each value holds for any deployment.
const (
	maxFewGateways        = 4.0  // up to this many gateways per customer, each reports refill with its calls
	refillLagFraction     = 0.5  // fraction of the allowance up to which refill may stay unreported
	bucketWindow          = 50.0 // the counter keeps a name for 60 s at most
	leaseLifetimeFraction = 0.25 // lifetime of a lease as a fraction of the time to refill the allowance
	demandTimeConstant    = 2.0

	slotUtilization = 0.65 // mean utilization of the slots, where a rate replaces them
	slotRateWindow  = 1.0  // window of that rate
)

// computeTerms derives the terms of a plan for a customer that is served by this many gateways.
//
// The counter holds a token bucket for each customer: a long window whose allowance grows with time. Refill
// of a full bucket is lost and has to be written off on the counter. With few gateways, each sees the
// totals often enough to do so with its other calls. With many, each would have to guess, so a separate
// call writes it off once it exceeds refillLag.
//
// Under a ceiling, leases and local allowances together never exceed it. Within any time L a bucket spends
// at most allowance*(1+leaseLifetimeFraction) + rate*L, and twice the initial units if the counter loses
// its data. The local allowances get the remaining burst and rate; where they may be overdrawn, the largest
// request of every gateway fits in as well.
func (g *Gateway) computeTerms(plan *Plan, gateways, index int) (terms quotaTerms) {
	serving := float64(max(gateways, 1))
	presentCount := serving
	if plan.CeilingRate <= 0 {
		presentCount = float64(g.presentAmong(g.settings.Rank-index, int(serving)))
	}
	terms = quotaTerms{rate: plan.Rate, allowance: plan.Burst, maxLease: plan.Burst / serving,
		tokenBucket: true, fewGateways: serving <= maxFewGateways,
		window: bucketWindow, localRate: plan.Rate / presentCount, localBurst: max(plan.Burst/presentCount, 1),
		maxConcurrent:   plan.MaxConcurrent,
		localConcurrent: (plan.MaxConcurrent + gateways - 1 - index) / max(gateways, 1)} // sums up to the limit
	defer func() { // the part of this process
		terms.maxLease, terms.localRate, terms.localBurst =
			terms.maxLease*g.processFraction, terms.localRate*g.processFraction, terms.localBurst*g.processFraction
		terms.localConcurrent = int(float64(terms.localConcurrent) * g.processFraction)
		terms.leaseLifetime = leaseLifetimeFraction * terms.allowance / max(terms.rate, 1e-3)
	}()
	lagFraction := refillLagFraction
	terms.initialUnits, terms.mayOverdraw = terms.allowance, !terms.fewGateways
	if plan.CeilingRate > 0 {
		terms.rate = min(plan.Rate, plan.CeilingRate)
		burst := plan.CeilingBurst
		if terms.mayOverdraw = !terms.fewGateways &&
			serving*g.settings.MaxUnits <= plan.CeilingBurst/2; terms.mayOverdraw {
			burst += plan.CeilingSlack - serving*g.settings.MaxUnits
		}
		terms.allowance = min(plan.Burst, burst/(1+leaseLifetimeFraction))
		terms.initialUnits = (plan.CeilingBurst - (1+leaseLifetimeFraction)*terms.allowance) / 2
		terms.maxLease, terms.localBurst, terms.localRate =
			terms.allowance/serving, terms.initialUnits/serving, (plan.CeilingRate-terms.rate)/serving
		lagFraction = leaseLifetimeFraction
	}
	if !terms.fewGateways {
		terms.refillLag = lagFraction * terms.allowance
	}
	if !terms.fewGateways && terms.maxConcurrent > 0 {
		// With many gateways, leases of slots need two calls per request, and slots strand. The rate that
		// the slots allow on average is limited instead.
		if terms.maxConcurrent = 0; terms.rate == 0 && g.latency > 0 {
			terms.rate = slotUtilization * float64(plan.MaxConcurrent) / g.latency
			terms.tokenBucket, terms.window = false, slotRateWindow // the rate changes with latency
			terms.allowance, terms.initialUnits = terms.rate*slotRateWindow, terms.rate*slotRateWindow
			terms.maxLease, terms.localRate = 1, terms.rate/serving
		}
	}
	return terms
}

// presentAmong counts the gateways present among a number of consecutive ones. It returns the total where
// membership is unknown, or where most seem absent. Two partitions may each consider the other dead: a
// count above half of the total limits the sum of what both spend to twice the quota, and ceilings do not
// use the count.
func (g *Gateway) presentAmong(first, total int) (count int) {
	for i := 0; i < total && len(g.presentGateways) == max(g.settings.Fleet, 1); i++ {
		if rank := (first + i + g.settings.Fleet) % g.settings.Fleet; g.presentGateways[rank] ||
			rank == g.settings.Rank {
			count++
		}
	}
	if 2*count > total {
		return count
	}
	return total
}

// customerFor returns the quota of the customer of a request, with terms and demand updated.
func (g *Gateway) customerFor(received Request) *customerQuota {
	quota := g.customers[received.Customer]
	if quota == nil {
		quota = &customerQuota{id: received.Customer, window: -1, lastSeen: g.now,
			localUnitsAt: max(g.startedAt, g.allowancesEmptyAt)}
		g.customers[received.Customer] = quota
		g.customerList = append(g.customerList, quota)
		// A restarted gateway may have spent its local allowance before. Under a ceiling the allowance
		// starts empty; elsewhere a full one costs little, unless the customer may have been dropped.
		if plan := g.settings.Plans[received.Plan]; plan.CeilingRate <= 0 && g.allowancesEmptyAt == 0 {
			quota.localUnits = g.computeTerms(&plan, received.GatewayCount, 0).localBurst
		}
	}
	fleet := max(g.settings.Fleet, 1)
	index := (g.settings.Rank - received.FirstGateway + fleet) % fleet // position among the customer's gateways
	quota.plan, quota.gateways = &g.settings.Plans[received.Plan], received.GatewayCount
	quota.index = max(min(index, received.GatewayCount-1), 0)
	quota.terms = g.computeTerms(quota.plan, quota.gateways, quota.index)
	quota.demand = quota.demand*math.Exp(-(g.now-quota.lastSeen)/demandTimeConstant) +
		received.Units/demandTimeConstant
	quota.lastSeen = g.now
	return quota
}

// admit releases the queued requests of a customer as far as its leases cover them.
func (g *Gateway) admit(quota *customerQuota) {
	limited := quota.terms.rate > 0
	for len(quota.queued) > 0 {
		request := quota.queued[0]
		if quota.terms.maxConcurrent > 0 && !g.slotAvailable(quota) {
			return // wait: a slot may become free in time
		}
		if limited {
			g.advanceWindow(quota)
			switch {
			case quota.leasedUnits >= request.units:
				quota.leasedUnits -= request.units
				// With a counter that answers intermittently, leases and the local allowance would add
				// up to more than the quota, so leased units count against the allowance too. It must
				// not become negative: the customer will need it in the next outage of the counter.
				quota.spendLocal(g.now, 0)
				quota.localUnits = min(quota.localUnits, max(quota.localUnits-request.units, 0))
			case quota.unitCalls > 0:
				return
			case g.now < quota.exhaustedUntil:
				g.reject(request, RejectedOverQuota)
				continue
			case !g.settings.Counter || g.now < quota.backoffUntil:
				if !quota.spendLocal(g.now, request.units) {
					if g.settings.Counter &&
						(quota.terms.fewGateways || g.skipProbability() < maxQueueingSkipProbability) &&
						quota.backoffUntil+g.latency < request.answerBy {
						return // stay queued: the counter may answer in time
					}
					g.reject(request, RejectedNoCounter)
					continue
				}
				quota.unreportedUnits += request.units
			default:
				g.requestLease(quota)
				continue
			}
		}
		quota.queued = quota.queued[1:]
		quota.active++
		request.admitted = true
		g.enqueue(request)
		g.dispatch()
	}
}

// settleUnderCeiling returns the excess of actual over estimated units, negative if a request took fewer, by
// which a lease under a ceiling changes. The ceiling counts estimates, so units are returned only as far as
// others were deducted that it did not count. The units kept for that stay within the tolerated excess over
// the ceiling, for all gateways and processes together.
func (q *customerQuota) settleUnderCeiling(excess, processFraction float64) float64 {
	limit := 0.0
	if !q.terms.mayOverdraw { // else the tolerated excess is used already
		limit = q.plan.CeilingSlack / float64(max(q.gateways, 1)) * processFraction
	}
	excess = max(excess, -q.uncountedByCeiling)
	q.uncountedByCeiling = min(q.uncountedByCeiling+excess, limit)
	return excess
}
