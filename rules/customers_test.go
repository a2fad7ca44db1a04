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
