package rules

import "testing"

// Guards against a table of customers that grows with every name that clients make up, and against the
// loss of a customer whose requests are in progress.
func TestCustomersAreLimited(t *testing.T) {
	const limit = 64
	settings := testSettings()
	settings.MaxCustomers = limit
	harness := newHarness(t, settings, readyBackends(4)...)
	pending := harness.request(0, 0, 1)
	onlyAction[Send](t, harness.last)
	const regular = CustomerID(2)
	for name := range CustomerID(20 * limit) {
		harness.now += 0.01
		for _, customer := range []CustomerID{regular, 1000 + name} {
			id := harness.request(0, 0, customer)
			harness.handle(ClientGone{Request: id})
			for _, attempt := range actionsOf[Cancel](harness.last) {
				harness.handle(AttemptEnd{Request: id, Attempt: attempt.Attempt, Outcome: Cancelled})
			}
		}
		quota := harness.gateway.customers[regular]
		if harness.now += 0.01; name%5 == 0 {
			harness.handle(Timer{Token: timerHousekeeping << 56})
		}
		if quota != harness.gateway.customers[regular] {
			t.Fatal("a customer with recent requests was dropped")
		}
		if known := len(harness.gateway.customers); known > limit+10 || known != len(harness.gateway.customerList) {
			t.Fatalf("%d customers and %d in the list, limit %d", known, len(harness.gateway.customerList), limit)
		}
	}
	if harness.gateway.customers[1] == nil || harness.gateway.activeRequest(pending) == nil {
		t.Error("the customer of a request in progress was dropped")
	}
}

// Guards against a customer that gets a new local allowance each time it was dropped from the table, while
// the counter does not answer.
func TestDroppedCustomerReturnsWithTheAllowanceItHad(t *testing.T) {
	const (
		limit   = 32
		rounds  = 20
		burst   = 40.0
		perUnit = 0.01 // seconds between requests
	)
	for name, plan := range map[string]Plan{
		"quota":   {Price: 1, Rate: 4, Burst: burst, OverQuotaCost: 1},
		"ceiling": {Price: 1, Rate: 4, Burst: burst / 4, OverQuotaCost: 1, CeilingRate: 8, CeilingBurst: burst, CeilingSlack: 8},
	} {
		settings := testSettings()
		settings.MaxCustomers, settings.Plans[0] = limit, plan
		harness := newHarness(t, settings, readyBackends(8)...)
		started, admitted := harness.now, 0
		request := func(customer CustomerID) (sent int) {
			harness.now += perUnit
			harness.nextID++
			pending := harness.handle(Request{ID: harness.nextID, Units: 1, GatewayCount: 2, Customer: customer, Deadline: harness.now + 2})
			for ; len(pending) > 0; pending = pending[1:] {
				switch action := pending[0].(type) {
				case Count:
					pending = append(pending, harness.handle(CounterReply{Call: action.Call, Name: action.Name, Outcome: TimedOut})...)
				case Send:
					sent++
					harness.handle(AttemptEnd{Request: action.Request, Backend: action.Backend, Took: 0.01, Done: true})
				}
			}
			if sent == 0 {
				harness.handle(ClientGone{Request: harness.nextID})
			}
			return sent
		}
		for round := range rounds {
			for range 2 * int(burst) {
				admitted += request(1)
			}
			for other := range CustomerID(2 * limit) {
				request(1000*CustomerID(round+1) + other)
			}
			harness.handle(Timer{Token: timerHousekeeping << 56})
			if harness.gateway.customers[1] != nil {
				t.Fatalf("%s: the customer was not dropped", name)
			}
		}
		terms := harness.gateway.computeTerms(&settings.Plans[0], 2, 0)
		if limit := terms.localBurst + terms.localRate*(harness.now-started); float64(admitted) > limit+1 {
			t.Errorf("%s: %d units admitted without the counter, want at most %.0f", name, admitted, limit)
		}
	}
}
