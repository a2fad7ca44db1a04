package rules

import "testing"

func TestPlacesForAttemptsOutAtOnceAreLeased(t *testing.T) {
	settings := testSettings()
	settings.Plans[0] = Plan{Price: 1, MaxConcurrent: 2}
	harness := start(t, settings, some(4)...)
	harness.now += 1 // at its start a window hears of the places that are held
	actions := harness.handle(Request{ID: 1, Units: 1, GatewayCount: 2, Customer: 5, Deadline: harness.now + 2})
	call := one[Count](t, actions)
	if len(find[Send](actions)) != 0 || call.Amount != 1 {
		t.Fatalf("want one call for one place first: %v", actions)
	}
	actions = harness.handle(CounterReply{Name: call.Name, Total: 3})
	if back := one[Count](t, actions); back.Amount != -1 || len(find[Send](actions)) != 0 {
		t.Errorf("a third place of two was kept: %v", actions)
	}
	harness.handle(CounterReply{Name: call.Name, Total: 2})
	harness.now += 0.05
	actions = harness.handle(Timer{Token: timerHousekeeping << 56})
	call = one[Count](t, actions)
	actions = harness.handle(CounterReply{Name: call.Name, Total: 2})
	one[Send](t, actions)
}

func TestPlacesWithoutTheCounterSumToTheLimit(t *testing.T) {
	settings := testSettings()
	settings.Counter, settings.Fleet = false, 5
	settings.Plans[0] = Plan{Price: 1, MaxConcurrent: 2}
	sent := 0
	for rank := range 3 {
		settings.Rank = (4 + rank) % 5 // the customer's set is 4, 0, 1
		harness := start(t, settings, some(8)...)
		for i := range 3 {
			actions := harness.handle(Request{ID: RequestID(i + 1), Units: 1, FirstGateway: 4, GatewayCount: 3, Customer: 5, Deadline: harness.now + 2})
			sent += len(find[Send](actions))
		}
	}
	if sent != 2 {
		t.Errorf("%d attempts out of the customer at three gateways, want its limit of 2", sent)
	}
}

func TestPlacesOfManyGatewaysAreKeptAsARate(t *testing.T) {
	settings := testSettings()
	settings.Fleet = 100
	settings.Plans[0] = Plan{Price: 1, MaxConcurrent: 2}
	harness := start(t, settings, some(40)...)
	harness.gateway.latency, harness.gateway.concurrencyLimit = 0.1, 100
	total, sent := 0.0, 0
	names := map[uint64]bool{}
	for i := range 60 { // 60 requests within one window
		harness.now += 0.001
		actions := harness.handle(Request{ID: RequestID(i + 1), Units: 1, GatewayCount: 50, Customer: 5, Deadline: harness.now + 2})
		for _, c := range find[Count](actions) {
			names[c.Name] = true
			total += c.Amount
			actions = append(actions, harness.handle(CounterReply{Name: c.Name, Total: total})...)
		}
		sent += len(find[Send](actions))
	}
	// Two places, a tenth of a second each: 20 a second at most, in two windows at most.
	if sent < 10 || sent > 20*len(names) {
		t.Errorf("%d requests let in, want about 13", sent)
	}
}
