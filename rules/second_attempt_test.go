package rules

import "testing"

// Guards against a second copy of a request whose body can't be sent again, while the first one is in flight.
func TestNoSecondCopyOfConsumedBody(t *testing.T) {
	for name, consumed := range map[string]bool{"consumed": true, "kept": false} {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			settings.Plans[1].Rate = 0
			harness := newHarness(t, settings, readyBackends(2)...)
			for range 8 { // overdue is what takes longer than these
				harness.request(0, 1, 1)
				harness.now += 0.01
				harness.handle(AttemptEnd{Request: harness.nextID, Outcome: Served, Took: 0.01})
			}
			harness.nextID++
			harness.handle(Request{ID: harness.nextID, Class: 0, Plan: 1, Customer: 1, Units: 1, GatewayCount: 2, Deadline: harness.now + 2, BodyPending: true})
			if consumed {
				harness.handle(BodyConsumed{Request: harness.nextID})
			}
			harness.handle(BodyComplete{Request: harness.nextID, Deadline: harness.now + 2})
			harness.now += harness.gateway.overdueAfter()
			actions := harness.handle(Timer{Token: timerOverdue<<56 | uint64(harness.nextID)})
			if copies := len(actionsOf[Send](actions)); (copies > 0) == consumed {
				t.Errorf("%d second copies of a body that is %s", copies, name)
			}
		})
	}
}
