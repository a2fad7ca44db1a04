package rules

import "testing"

// Guards against answers that clients read slowly and take more memory than there is: they no longer count
// as work of the backends, but as outstanding attempts.
func TestOutstandingAttemptsAreLimited(t *testing.T) {
	const limit = 4
	settings := testSettings()
	settings.MaxOutstanding, settings.CanHedge = limit, false
	harness := newHarness(t, settings, readyBackends(40)...)
	sent := 0
	var first Send
	for customer := range CustomerID(3 * limit) {
		harness.request(1, 1, customer+1)
		for _, send := range actionsOf[Send](harness.last) {
			if sent++; sent == 1 {
				first = send
			}
			harness.handle(Established{Request: send.Request, Backend: send.Backend, Took: 0.01})
		}
	}
	if sent != limit {
		t.Errorf("%d attempts are outstanding, limit %d", sent, limit)
	}
	if harness.handle(AttemptEnd{Request: first.Request, Backend: first.Backend, Outcome: Served, Took: 0.5}); len(actionsOf[Send](harness.last)) != 1 {
		t.Errorf("after the end of an attempt: %v", harness.last)
	}
}
