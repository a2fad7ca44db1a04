package rules

// Leases: blocks of a customer's units, taken from the shared counter ahead of the requests.

import "math"

// Parameters of leases. Durations are in seconds. Each value holds for any deployment.
const (
	lowBucketFraction     = 0.5  // fraction of the allowance in use above which idle units are returned at once
	minCorrection         = 0.25 // smallest correction of a total worth a call, units
	counterTTL            = 60.0 // must exceed the longest window
	initialCounterBackoff = 0.25 // doubles with each failed call
	maxCounterBackoff     = 2.0

	// Load shedding towards a failing counter.
	minCounterFailureGain      = 0.05 // smallest weight of one call in the failure rate
	counterFailureTimeConstant = 1.0
	skipFactor                 = 4.0 // probability of skipping a call, as a multiple of the failure rate
	maxSkipProbability         = 0.9
	maxQueueingSkipProbability = 0.5 // below it, requests wait for the next call instead of being rejected
)

// spendLocal spends from the local allowance and reports whether it sufficed. Divided among many gateways,
// an allowance may never reach the units of one request; there a full one may be overdrawn.
func (q *customerQuota) spendLocal(now, units float64) bool {
	q.localUnits = min(q.localUnits+q.terms.localRate*(now-q.localUnitsAt), q.terms.localBurst)
	if q.localUnitsAt = now; q.localUnits < units &&
		(!q.terms.mayOverdraw || q.localUnits < q.terms.localBurst) {
		return false
	}
	q.localUnits -= units
	return true
}

// expireLease ends an idle lease. Idle units count as spent on the counter, so no other gateway can use
// them in this window. They are returned with the next lease, or at once where the bucket is low and other
// gateways may need them.
func (g *Gateway) expireLease(quota *customerQuota) {
	if g.now < quota.leaseExpires || quota.leasedUnits <= 0 {
		return
	}
	fullTotal := g.advanceWindow(quota)
	if quota.terms.tokenBucket && quota.leaseWindow == quota.window {
		quota.idleUnits += quota.leasedUnits
	}
	quota.leasedUnits = 0
	if quota.idleUnits >= 1 && quota.knownTotal-fullTotal > lowBucketFraction*quota.terms.allowance &&
		g.now >= quota.backoffUntil && !g.skipCall(quota) {
		returned := g.takeIdleUnits(quota)
		g.callCounter(counterCall{customer: quota, name: quota.counterName, window: quota.window,
			adjustment: -returned}, counterTTL)
	}
}

// takeIdleUnits removes the idle units from the quota and returns their number.
func (g *Gateway) takeIdleUnits(quota *customerQuota) (units float64) {
	units, quota.idleUnits = quota.idleUnits, 0
	if quota.knownTotal > 0 {
		quota.knownTotal = max(quota.knownTotal-units, 1e-3) // 0 means unknown
	}
	return units
}

// leaseSize returns the units of the next lease: the demand of one second, or the maximum if nothing is
// known yet. With many gateways each sees little of the demand and their leases together can take the whole
// burst; there a lease covers only what is likely to be used before it expires.
func (q *customerQuota) leaseSize() float64 {
	switch {
	case !q.terms.fewGateways:
		return min(q.demand*q.terms.leaseLifetime, q.terms.maxLease)
	case !q.totalReceived:
		return q.terms.maxLease
	}
	return min(q.demand, q.terms.maxLease)
}

// advanceWindow moves the quota to the current window of the counter and returns the total at which the
// bucket is full. Windows of different customers end at different times, so that the calls for them are
// spread.
func (g *Gateway) advanceWindow(quota *customerQuota) (fullTotal float64) {
	current := math.Floor(g.now/quota.terms.window + quota.windowPhase())
	if current != quota.window {
		quota.window, quota.knownTotal, quota.unreportedUnits, quota.idleUnits, quota.exhaustedUntil = current, 0,
			0, 0, 0
		quota.counterName = windowName(quota.id, current)
	}
	if quota.terms.tokenBucket {
		fullTotal = quota.terms.rate * (g.now - (current-quota.windowPhase())*quota.terms.window)
	}
	return fullTotal
}

// windowName returns the counter's name for a customer's window.
func windowName(id CustomerID, window float64) uint64 {
	return hash(hash(uint64(id)) + uint64(int64(window)))
}

// skipCall decides at random whether to skip a call, to reduce the load on a failing counter.
func (g *Gateway) skipCall(quota *customerQuota) bool {
	if g.rng.Float64() >= g.skipProbability() {
		return false
	}
	quota.backoffUntil = g.now + initialCounterBackoff
	return true
}

// skipProbability returns the probability of skipping a call.
func (g *Gateway) skipProbability() float64 {
	return min(skipFactor*g.counterFailureRate, maxSkipProbability)
}

// requestLease calls the counter for units and reports what has been spent from the local allowance.
func (g *Gateway) requestLease(quota *customerQuota) {
	if g.skipCall(quota) {
		return
	}
	needed := -quota.leasedUnits // negative leased units are a debt that this lease has to cover
	for _, request := range quota.queued {
		needed += request.units
	}
	// The size is rounded down, since other gateways lack a unit that nobody uses here.
	needed = math.Ceil(max(needed, 0)) + math.Floor(quota.leaseSize())
	fullTotal := g.advanceWindow(quota)
	call := counterCall{customer: quota, name: quota.counterName, window: quota.window, fullTotal: fullTotal,
		spentUnits: quota.unreportedUnits, returned: g.takeIdleUnits(quota)}
	if quota.terms.tokenBucket && quota.knownTotal > 0 {
		// Units beyond the allowance would need a correcting call, or be lost if the reply to this one is.
		available := quota.terms.allowance - max(quota.knownTotal-fullTotal, 0)
		needed = min(needed, max(math.Floor(available), quota.queued[0].units))
	}
	call.requested = max(min(needed, quota.terms.allowance), 1)
	if call.adjustment = max(fullTotal-quota.knownTotal, 0); !quota.terms.fewGateways {
		call.adjustment = 0 // other gateways have reported most of it
	} else if quota.knownTotal == 0 {
		// A window that is new to this gateway may be new to all. The call that creates it must also reduce
		// the bucket to its initial units; a gateway that was not the first corrects that afterwards.
		call.adjustment = fullTotal + quota.terms.allowance - quota.terms.initialUnits
	}
	quota.unreportedUnits = 0
	g.callCounter(call, counterTTL)
}

// handleCounterReply processes the reply to a call. A call without an answer grants nothing: its amount may
// have been added, and the next total will show that.
func (g *Gateway) handleCounterReply(reply CounterReply) {
	call, ok := g.takePendingCall(reply)
	if !ok {
		return
	}
	quota := call.customer
	connectionLost := reply.Outcome == Errored || reply.Outcome == Broken || reply.Outcome == ConnectFailed
	// While calls are skipped, each call made represents several. With the weight of one, the remaining
	// calls would take seconds to show that the counter has recovered.
	gain := min(minCounterFailureGain/(1-g.skipProbability()), 1)
	switch {
	case reply.Outcome == Served:
		// For the same reason an answer weighs more the longer ago the last call was. A failure does not:
		// a short overload of the counter would stop the calls for a second.
		g.counterFailureRate -= min(max(gain, (g.now-g.counterReplyAt)/counterFailureTimeConstant),
			1) * g.counterFailureRate
	case !connectionLost:
		g.counterFailureRate -= gain * g.counterFailureRate
	}
	g.counterReplyAt = g.now
	switch {
	case call.forSlots && reply.Outcome == Served && call.requested > 0:
		g.applySlotGrant(quota, call, reply.Total)
	case reply.Outcome == Errored && !call.alreadyAdded && call.requested > 0,
		reply.Outcome == Broken && !call.alreadyAdded && call.corrects:
		// An amount that was added but not granted is lost to all gateways: ask for the total again.
		call.alreadyAdded = true
		g.callCounter(call, counterTTL)
		return
	case reply.Outcome == Served && call.alreadyAdded && call.corrects:
		if call.alreadyAdded = false; math.Abs(reply.Total-call.baseTotal) <
			math.Abs(reply.Total-call.baseTotal-call.adjustment) {
			call.baseTotal = reply.Total // the correction was not added
			g.callCounter(call, counterTTL)
		}
	case reply.Outcome != Served:
		// A slot that is not returned is lost to all gateways. A rejected call has changed nothing, so the
		// return is repeated; an unanswered call may have been added and is not repeated.
		if (reply.Outcome == Full || reply.Outcome == ConnectFailed) && call.forSlots &&
			call.name == quota.slotCounterName {
			quota.slots += int(max(-call.adjustment, 0))
		}
		if (reply.Outcome == Full || reply.Outcome == ConnectFailed) && !call.forSlots && !call.alreadyAdded &&
			call.window == quota.window {
			quota.unreportedUnits += call.spentUnits // reported with the next lease
			returned := call.returned
			if call.requested == 0 {
				returned = max(-call.adjustment, 0)
			}
			quota.idleUnits, quota.knownTotal = quota.idleUnits+returned, quota.knownTotal+returned
		}
		if connectionLost && quota.backoff == 0 {
			// A lost connection does not indicate overload: the next call may follow at once. The backoff
			// starts with the second loss in a row.
			quota.backoff = initialCounterBackoff / 2
			break
		}
		if !connectionLost {
			g.counterFailureRate += gain
		}
		quota.backoff = min(max(2*quota.backoff, initialCounterBackoff), maxCounterBackoff)
		quota.backoffUntil = g.now + quota.backoff
	case call.requested > 0 && !call.forSlots:
		quota.backoff = 0
		g.applyGrant(quota, call, reply.Total)
	case call.corrects && quota.terms.refillLag > 0 &&
		reply.Total-call.baseTotal-call.adjustment > call.adjustment/2 && call.adjustment > minCorrection:
		// Another gateway has written off the same refill since the last total.
		call.adjustment, call.baseTotal = -call.adjustment, reply.Total
		g.callCounter(call, counterTTL)
	}
	g.admit(quota)
}

// applyGrant keeps the part of a lease that fits the allowance and returns the rest to a token bucket. In a
// short window the rest is not returned: nothing is left until the next window, and the calls would double
// the load.
func (g *Gateway) applyGrant(quota *customerQuota, call counterCall, total float64) {
	before := total - call.adjustment - call.requested
	target := max(before, call.fullTotal)
	if before-call.spentUnits+call.returned < minCorrection {
		// The window is new, or the counter has lost its data.
		target = max(target, quota.knownTotal, call.fullTotal+quota.terms.allowance-quota.terms.initialUnits)
	} else if target-before <= quota.terms.refillLag {
		target = before // not worth a call yet
	}
	unit := 1.0
	if len(quota.queued) > 0 {
		unit = max(quota.queued[0].units, 1e-3)
	}
	available := quota.terms.allowance - (target - call.fullTotal)
	grant := max(min(call.requested, math.Floor(available/unit+1e-3)*unit), 0)
	if grant < call.requested {
		if quota.terms.refillLag > 0 {
			available = max(available, -quota.terms.refillLag) // refill written off twice is corrected soon
		}
		quota.exhaustedUntil = g.now + max((2*unit-available+grant)/max(quota.terms.rate, 1e-3), g.settings.Tick)
		if !quota.terms.tokenBucket {
			quota.exhaustedUntil = (call.window + 1 - quota.windowPhase()) * quota.terms.window
		}
	}
	quota.leasedUnits += grant
	quota.leaseWindow = call.window
	if grant > 0 {
		quota.leaseExpires = g.now + quota.terms.leaseLifetime
	}
	if quota.window == call.window {
		quota.knownTotal = target + grant
	}
	quota.totalReceived = true
	// More was added than granted, or the counter has lost its data.
	if correction := target + grant - total; quota.terms.tokenBucket &&
		math.Abs(correction) > minCorrection*unit {
		g.callCounter(counterCall{customer: quota, name: call.name, window: call.window, adjustment: correction,
			corrects: true, baseTotal: total}, counterTTL)
	}
}
