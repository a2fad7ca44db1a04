package rules

import "testing"

// fire lets the timers of the actions that are due by then come, and returns what they brought.
func (harness *harness) fire(pending []Action, until float64) (actions []Action) {
	for _, timer := range find[SetTimer](pending) {
		if at := harness.now + timer.Delay; timer.Request != 0 && at <= until {
			actions = append(actions, harness.gateway.Handle(at, Timer{Token: timer.Token}, nil)...)
		}
	}
	return actions
}

// What waits already when the process is told to end is bounded by that end like what comes
// later: an attempt that is out, a request held by the bound, and one whose body still comes.
func TestStopBoundsWhatWaits(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].LateWorth, settings.Classes[1].LateWorth = 0.5, 0.5
	settings.Classes[1].Effect = Once
	harness := start(t, settings, some(1)...)
	harness.gateway.concurrencyLimit = smallLimit
	for n := range CustomerID(smallLimit) {
		harness.ask(1, 1, 1+n)
		one[Send](t, harness.last)
	}
	held := harness.ask(0, 1, 9)
	if n := len(find[Send](harness.last)); n != 0 {
		t.Fatal("the bound does not hold")
	}
	harness.now += 0.1
	actions := harness.handle(Shutdown{Deadline: harness.now + 0.5})
	if early := harness.fire(actions, harness.now+0.4); len(find[Refuse](early))+len(find[Fail](early)) > 0 {
		t.Errorf("ended before its time: %v", early)
	}
	ended := harness.fire(actions, harness.now+0.5)
	failed := find[Fail](ended)
	for _, f := range failed {
		if f.Request == held || f.Reason != RejectedStopping {
			t.Errorf("an attempt that may have run: %+v", f)
		}
	}
	if r := one[Refuse](t, ended); r.Request != held || r.Reason != RejectedStopping {
		t.Errorf("a request that was held: %+v", r)
	}
	if called := find[Cancel](ended); len(failed) != smallLimit || len(called) != smallLimit {
		t.Errorf("%d failed, %d called off of %v that were out", len(failed), len(called), smallLimit)
	}
	harness.now += 0.6
	harness.ask(0, 1, 3)
	if r := one[Refuse](t, harness.last); r.Reason != RejectedStopping {
		t.Errorf("one that comes behind the end: %+v", r)
	}
}

// A body that still comes when the process ends is given up with it.
func TestStopEndsOpenBodies(t *testing.T) {
	harness := start(t, testSettings(), some(1)...)
	harness.nextID++
	actions := harness.handle(Request{ID: harness.nextID, Class: 1, Plan: 1, Customer: 1, Units: 1, GatewayCount: 2, Deadline: harness.now + 3, BodyPending: true})
	actions = append(actions, harness.grantAll(actions)...)
	one[Send](t, actions)
	actions = harness.handle(Shutdown{Deadline: harness.now + 0.5})
	ended := harness.fire(actions, harness.now+0.5)
	if n := len(find[Refuse](ended)) + len(find[Fail](ended)); n != 1 {
		t.Errorf("%d answers at the end: %v", n, ended)
	}
}

// Each gateway has its own end: an end that is told anew, sooner, holds.
func TestStopIsToldAnew(t *testing.T) {
	harness := start(t, testSettings(), some(1)...)
	harness.ask(1, 1, 1)
	harness.handle(Shutdown{Deadline: harness.now + 2})
	ended := harness.fire(harness.handle(Shutdown{Deadline: harness.now + 1}), harness.now+1)
	if n := len(find[Refuse](ended)) + len(find[Fail](ended)); n != 1 {
		t.Errorf("%d answers at the sooner end", n)
	}
}
