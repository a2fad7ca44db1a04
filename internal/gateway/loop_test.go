package gateway

import (
	"testing"

	"dunlintray/internal/wire"
	"dunlintray/rules"
)

// Timers of what is over wake nobody, but none that is waited for may be lost.
func TestVoidTimers(t *testing.T) {
	l := &Loop{live: map[rules.RequestID]*exchange{7: {}}}
	for _, c := range []struct {
		name string
		t    timerEntry
		want bool
	}{
		{"the module's own", timerEntry{}, false},
		{"of a live request", timerEntry{request: 7}, false},
		{"of a request that is over", timerEntry{request: 8}, true},
		{"of an attempt that is out", timerEntry{attempt: &attempt{}}, false},
		{"of an attempt that has ended", timerEntry{attempt: &attempt{ended: true}}, true},
		{"of a call that is out", timerEntry{call: &call{}}, false},
		{"of an answered call", timerEntry{call: &call{ended: true}}, true},
	} {
		if got := l.void(c.t); got != c.want {
			t.Errorf("%s: void %t", c.name, got)
		}
	}
}

// A request that was read under earlier settings and reaches the loop under new
// ones has numbers that mean another class and plan by now.
func TestCarryOver(t *testing.T) {
	old := &service{Deployment: wire.Deployment{ClassNames: []string{"a", "b"}, PlanNames: []string{"p", "q"}}}
	old.Classes = []rules.Class{{Worth: 1}, {Worth: 2}}
	l := &Loop{service: &service{Deployment: wire.Deployment{ClassNames: []string{"a"}, PlanNames: []string{"q"}}}}
	x := &exchange{service: old, class: &old.Classes[1], plan: "q", ask: rules.Request{Class: 1, Plan: 1}}
	if !l.carryOver(x) || x.ask.Own != &old.Classes[1] || x.ask.Plan != 0 {
		t.Errorf("carried over as %+v", x.ask)
	}
	if x.plan = "p"; l.carryOver(x) {
		t.Error("a request of a plan that is no more was carried over")
	}
}
