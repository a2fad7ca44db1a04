package rules

// Calls of the shared counter that wait for their replies.

import "slices"

// counterCall is one Count that awaits its reply.
type counterCall struct {
	number       uint64 // Count.Call
	customer     *customerQuota
	name         uint64
	window       float64
	fullTotal    float64 // total at which the bucket is full
	spentUnits   float64 // units spent from the local allowance
	adjustment   float64 // unused refill to write off, or slots to report (positive) or return (negative)
	requested    float64 // units or slots requested
	returned     float64 // idle units returned
	forSlots     bool    // the call concerns slots, not units
	alreadyAdded bool    // an earlier call has added the amount, or may have, without a known total
	corrects     bool    // the call corrects the total
	baseTotal    float64 // total before the correction
}

// trackCall adds change to the numbers of calls in flight.
func (q *customerQuota) trackCall(call counterCall, change int) {
	q.callsInFlight += change
	switch {
	case call.requested > 0 && call.forSlots:
		q.slotCalls += change
	case call.requested > 0:
		q.unitCalls += change
	}
}

// callCounter makes a call.
func (g *Gateway) callCounter(call counterCall, ttl float64) {
	g.lastCall++
	call.number = g.lastCall
	g.pendingCalls[call.name] = append(g.pendingCalls[call.name], call)
	call.customer.trackCall(call, 1)
	amount := call.spentUnits + call.adjustment + call.requested - call.returned
	if call.alreadyAdded {
		amount = 0
	}
	g.emit(Count{Call: call.number, Name: call.name, Amount: amount, TTL: ttl})
}

// takePendingCall removes and returns the call that a reply answers, if it is pending.
func (g *Gateway) takePendingCall(reply CounterReply) (call counterCall, ok bool) {
	pending := g.pendingCalls[reply.Name]
	index := slices.IndexFunc(pending, func(call counterCall) bool { return reply.Call == 0 || call.number == reply.Call })
	if index < 0 {
		return call, false
	}
	call = pending[index]
	if pending = slices.Delete(pending, index, index+1); len(pending) == 0 {
		delete(g.pendingCalls, reply.Name)
	} else {
		g.pendingCalls[reply.Name] = pending
	}
	call.customer.trackCall(call, -1)
	return call, true
}
