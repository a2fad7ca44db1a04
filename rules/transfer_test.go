package rules

import "testing"

// Guards against two processes of a hand-over that each make the retries of a whole gateway.
func TestRetryBudgetIsSharedByProcesses(t *testing.T) {
	old := newHarness(t, testSettings(), readyBackends(2)...)
	snapshot := onlyAction[Exported](t, old.handle(Export{})).Snapshot
	next := newHarness(t, testSettings(), readyBackends(2)...)
	next.handle(Import{Snapshot: snapshot})
	if sum := old.gateway.retryBudget + next.gateway.retryBudget; sum > maxRetryBudget {
		t.Errorf("the processes may make %.2f retries, want at most %.2f", sum, maxRetryBudget)
	}
	for range 200 { // each earns a fraction of a retry
		for _, harness := range []*gatewayHarness{old, next} {
			harness.now += 1
			harness.request(0, 1, 1)
			harness.handle(AttemptEnd{Request: harness.nextID, Outcome: Served})
		}
	}
	if sum := old.gateway.retryBudget + next.gateway.retryBudget; sum > maxRetryBudget {
		t.Errorf("after more requests the processes may make %.2f retries, want at most %.2f", sum, maxRetryBudget)
	}
}
