package rules

import "testing"

// A request under a limit on concurrent attempts waits for a leased slot, and excess slots are returned.
func TestSlotsAreLeased(t *testing.T) {
	settings := testSettings()
	settings.Plans[0] = Plan{Price: 1, MaxConcurrent: 2}
	harness := newHarness(t, settings, readyBackends(4)...)
	harness.now += 1 // at the start of a window no new slots are leased
	actions := harness.handle(Request{ID: 1, Units: 1, GatewayCount: 2, Customer: 5, Deadline: harness.now + 2})
	call := onlyAction[Count](t, actions)
	if len(actionsOf[Send](actions)) != 0 || call.Amount != 1 {
		t.Fatalf("want one call for one slot and no attempt, got %v", actions)
	}
	actions = harness.handle(CounterReply{Name: call.Name, Total: 3})
	if returned := onlyAction[Count](t, actions); returned.Amount != -1 || len(actionsOf[Send](actions)) != 0 {
		t.Errorf("a third slot of two was not returned: %v", actions)
	}
	harness.handle(CounterReply{Name: call.Name, Total: 2})
	harness.now += 0.05
	actions = harness.handle(Timer{Token: timerHousekeeping << 56})
	call = onlyAction[Count](t, actions)
	actions = harness.handle(CounterReply{Name: call.Name, Total: 2})
	onlyAction[Send](t, actions)
}

// Without a counter, the slots of all gateways add up to the limit.
func TestLocalSlotsSumToTheLimit(t *testing.T) {
	settings := testSettings()
	settings.Counter, settings.Fleet = false, 5
	settings.Plans[0] = Plan{Price: 1, MaxConcurrent: 2}
	sent := 0
	for rank := range 3 {
		settings.Rank = (4 + rank) % 5 // gateways 4, 0 and 1 serve the customer
		harness := newHarness(t, settings, readyBackends(8)...)
		for i := range 3 {
			actions := harness.handle(Request{ID: RequestID(i + 1), Units: 1, FirstGateway: 4, GatewayCount: 3, Customer: 5, Deadline: harness.now + 2})
			sent += len(actionsOf[Send](actions))
		}
	}
	if sent != 2 {
		t.Errorf("%d attempts in flight at three gateways, want the limit of 2", sent)
	}
}

// In a large fleet the limit on concurrent attempts is enforced as a rate.
func TestSlotsOfALargeFleetBecomeARate(t *testing.T) {
	settings := testSettings()
	settings.Fleet = 100
	settings.Plans[0] = Plan{Price: 1, MaxConcurrent: 2}
	harness := newHarness(t, settings, readyBackends(40)...)
	harness.gateway.latency, harness.gateway.concurrencyLimit = 0.1, 100
	total, sent := 0.0, 0
	names := map[uint64]bool{}
	for i := range 60 { // 60 requests within one window
		harness.now += 0.001
		actions := harness.handle(Request{ID: RequestID(i + 1), Units: 1, GatewayCount: 50, Customer: 5, Deadline: harness.now + 2})
		for _, call := range actionsOf[Count](actions) {
			names[call.Name] = true
			total += call.Amount
			actions = append(actions, harness.handle(CounterReply{Name: call.Name, Total: total})...)
		}
		sent += len(actionsOf[Send](actions))
	}
	// Two slots of 0.1 s each allow 20 requests per second, in at most two windows.
	if sent < 10 || sent > 20*len(names) {
		t.Errorf("%d requests admitted, want about 13", sent)
	}
}
