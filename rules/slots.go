package rules

// Slots: leases on the shared counter for a plan's limit on concurrent attempts.

import "math"

// Parameters of slots. Durations are in seconds. Each value holds for any deployment.
const (
	slotSalt       = 1 << 40
	slotWindow     = 10.0 // slots of a gateway that crashed become free after at most this time
	slotRetryDelay = 0.03 // delay of the next call when all slots are taken
)

// slotAvailable reports whether the plan's limit on concurrent attempts allows one more request. Slots are
// leased from the counter with one call at a time, and returned when they are idle.
func (g *Gateway) slotAvailable(quota *customerQuota) bool {
	switch {
	case quota.active < quota.slots:
		return true
	case !g.settings.Counter || g.now < quota.backoffUntil:
		return quota.active < quota.terms.localConcurrent
	case quota.active >= quota.terms.maxConcurrent: // no call needed: this gateway uses them all
	case quota.slotCalls == 0 && g.now >= quota.slotCallAfter &&
		math.Mod(g.now, slotWindow) > 2*housekeepingInterval &&
		!g.skipCall(quota):
		g.advanceSlotWindow(quota)
		requested := float64(min(len(quota.queued), quota.terms.maxConcurrent))
		g.callCounter(counterCall{customer: quota, name: quota.slotCounterName, requested: requested,
			forSlots: true}, counterTTL)
	}
	return false
}

// advanceSlotWindow moves the leased slots to the counter name of the current window. Slots of a crashed
// gateway or of a lost reply expire with the old name.
func (g *Gateway) advanceSlotWindow(quota *customerQuota) {
	counterName := hash(hash(uint64(quota.id)^slotSalt) + uint64(g.now/slotWindow))
	if counterName == quota.slotCounterName {
		return
	}
	quota.slotCounterName = counterName
	if quota.slots > 0 {
		g.callCounter(counterCall{customer: quota, name: counterName, adjustment: float64(quota.slots),
			forSlots: true}, counterTTL)
	}
}

// applySlotGrant processes the reply to a call for slots and returns those that exceed the limit.
func (g *Gateway) applySlotGrant(quota *customerQuota, call counterCall, total float64) {
	excess := min(max(math.Ceil(total)-float64(quota.terms.maxConcurrent), 0), call.requested)
	quota.slots += int(call.requested - excess)
	if excess > 0 {
		quota.slotCallAfter = g.now + slotRetryDelay
		g.callCounter(counterCall{customer: quota, name: call.name, adjustment: -excess, forSlots: true},
			counterTTL)
	}
}

// returnIdleSlots returns slots that have been idle for a moment.
func (g *Gateway) returnIdleSlots(quota *customerQuota) {
	if quota.slots > 0 {
		g.advanceSlotWindow(quota) // report the slots before other gateways call in the new window
	}
	if spare := quota.slots - quota.active; spare > 0 &&
		g.now >= max(quota.backoffUntil, quota.lastSeen+housekeepingInterval) {
		quota.slots -= spare
		g.callCounter(counterCall{customer: quota, name: quota.slotCounterName, adjustment: -float64(spare),
			forSlots: true}, counterTTL)
	}
}
