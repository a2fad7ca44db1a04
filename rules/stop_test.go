package rules

import "testing"

// expireTimers lets the request timers among the actions that are due by then expire, and returns the
// resulting actions.
func (harness *gatewayHarness) expireTimers(pending []Action, until float64) (actions []Action) {
	for _, timer := range actionsOf[SetTimer](pending) {
		if at := harness.now + timer.Delay; timer.Request != 0 && at <= until {
			actions = append(actions, harness.gateway.Handle(at, Timer{Token: timer.Token}, nil)...)
		}
	}
	return actions
}

// A shutdown limits the time of requests in flight, queued or received later.
func TestShutdownLimitsPendingRequests(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].LateWorth, settings.Classes[1].LateWorth = 0.5, 0.5
	settings.Classes[1].Effect = Once
	harness := newHarness(t, settings, readyBackends(1)...)
	harness.gateway.concurrencyLimit = smallLimit
	for n := range CustomerID(smallLimit) {
		harness.request(1, 1, 1+n)
		onlyAction[Send](t, harness.last)
	}
	queued := harness.request(0, 1, 9)
	if n := len(actionsOf[Send](harness.last)); n != 0 {
		t.Fatal("the concurrency limit is not enforced")
	}
	harness.now += 0.1
	actions := harness.handle(Shutdown{Deadline: harness.now + 0.5})
	if early := harness.expireTimers(actions, harness.now+0.4); len(actionsOf[Refuse](early))+len(actionsOf[Fail](early)) > 0 {
		t.Errorf("answered before the shutdown: %v", early)
	}
	ended := harness.expireTimers(actions, harness.now+0.5)
	failed := actionsOf[Fail](ended)
	for _, f := range failed {
		if f.Request == queued || f.Reason != RejectedStopping {
			t.Errorf("a request in flight: %+v", f)
		}
	}
	if r := onlyAction[Refuse](t, ended); r.Request != queued || r.Reason != RejectedStopping {
		t.Errorf("a queued request: %+v", r)
	}
	if cancelled := actionsOf[Cancel](ended); len(failed) != smallLimit || len(cancelled) != smallLimit {
		t.Errorf("%d failed and %d cancelled of %v in flight", len(failed), len(cancelled), smallLimit)
	}
	harness.now += 0.6
	harness.request(0, 1, 3)
	if r := onlyAction[Refuse](t, harness.last); r.Reason != RejectedStopping {
		t.Errorf("a request after the shutdown: %+v", r)
	}
}

// A request whose body is pending when the process ends gets an answer.
func TestShutdownEndsPendingBodies(t *testing.T) {
	harness := newHarness(t, testSettings(), readyBackends(1)...)
	harness.nextID++
	actions := harness.handle(Request{ID: harness.nextID, Class: 1, Plan: 1, Customer: 1, Units: 1, GatewayCount: 2, Deadline: harness.now + 3, BodyPending: true})
	actions = append(actions, harness.answerCalls(actions)...)
	onlyAction[Send](t, actions)
	actions = harness.handle(Shutdown{Deadline: harness.now + 0.5})
	ended := harness.expireTimers(actions, harness.now+0.5)
	if n := len(actionsOf[Refuse](ended)) + len(actionsOf[Fail](ended)); n != 1 {
		t.Errorf("%d answers at the shutdown, want 1: %v", n, ended)
	}
}

// A second, earlier announcement of the shutdown replaces the first.
func TestEarlierShutdownReplacesLaterOne(t *testing.T) {
	harness := newHarness(t, testSettings(), readyBackends(1)...)
	harness.request(1, 1, 1)
	harness.handle(Shutdown{Deadline: harness.now + 2})
	ended := harness.expireTimers(harness.handle(Shutdown{Deadline: harness.now + 1}), harness.now+1)
	if n := len(actionsOf[Refuse](ended)) + len(actionsOf[Fail](ended)); n != 1 {
		t.Errorf("%d answers at the earlier shutdown, want 1", n)
	}
}
