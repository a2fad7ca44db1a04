package rules

import "testing"

// fire lets the timers of the actions that are due by then come, and returns what they brought.
func (d *drive) fire(actions []Action, until float64) (out []Action) {
	for _, timer := range find[SetTimer](actions) {
		if at := d.now + timer.Delay; timer.Request != 0 && at <= until {
			out = append(out, d.g.Handle(at, Timer{Token: timer.Token}, nil)...)
		}
	}
	return out
}

// What waits already when the process is told to end is bounded by that end like what comes
// later: an attempt that is out, a request held by the bound, and one whose body still comes.
func TestStopBoundsWhatWaits(t *testing.T) {
	set := testSettings()
	set.Classes[0].LateWorth, set.Classes[1].LateWorth = 0.5, 0.5
	set.Classes[1].Effect = Once
	d := start(t, set, some(1)...)
	d.g.bound = boundBurst
	for n := range CustomerID(boundBurst) {
		d.ask(1, 1, 1+n)
		one[Send](t, d.last)
	}
	held := d.ask(0, 1, 9)
	if n := len(find[Send](d.last)); n != 0 {
		t.Fatal("the bound does not hold")
	}
	d.now += 0.1
	actions := d.handle(Shutdown{Deadline: d.now + 0.5})
	if early := d.fire(actions, d.now+0.4); len(find[Refuse](early))+len(find[Fail](early)) > 0 {
		t.Errorf("ended before its time: %v", early)
	}
	ended := d.fire(actions, d.now+0.5)
	failed := find[Fail](ended)
	for _, f := range failed {
		if f.Request == held || f.Reason != RejectedStopping {
			t.Errorf("an attempt that may have run: %+v", f)
		}
	}
	if r := one[Refuse](t, ended); r.Request != held || r.Reason != RejectedStopping {
		t.Errorf("a request that was held: %+v", r)
	}
	if called := find[Cancel](ended); len(failed) != boundBurst || len(called) != boundBurst {
		t.Errorf("%d failed, %d called off of %v that were out", len(failed), len(called), boundBurst)
	}
	d.now += 0.6
	d.ask(0, 1, 3)
	if r := one[Refuse](t, d.last); r.Reason != RejectedStopping {
		t.Errorf("one that comes behind the end: %+v", r)
	}
}

// A body that still comes when the process ends is given up with it.
func TestStopEndsOpenBodies(t *testing.T) {
	d := start(t, testSettings(), some(1)...)
	d.nextID++
	actions := d.handle(Request{ID: d.nextID, Class: 1, Plan: 1, Customer: 1, Units: 1, GatewayCount: 2, Deadline: d.now + 3, BodyPending: true})
	actions = append(actions, d.grantAll(actions)...)
	one[Send](t, actions)
	actions = d.handle(Shutdown{Deadline: d.now + 0.5})
	ended := d.fire(actions, d.now+0.5)
	if n := len(find[Refuse](ended)) + len(find[Fail](ended)); n != 1 {
		t.Errorf("%d answers at the end: %v", n, ended)
	}
}

// Each gateway has its own end: an end that is told anew, sooner, holds.
func TestStopIsToldAnew(t *testing.T) {
	d := start(t, testSettings(), some(1)...)
	d.ask(1, 1, 1)
	d.handle(Shutdown{Deadline: d.now + 2})
	ended := d.fire(d.handle(Shutdown{Deadline: d.now + 1}), d.now+1)
	if n := len(find[Refuse](ended)) + len(find[Fail](ended)); n != 1 {
		t.Errorf("%d answers at the sooner end", n)
	}
}
