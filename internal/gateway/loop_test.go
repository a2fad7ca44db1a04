package gateway

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

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
		{"of a call that is out", timerEntry{call: &counterCall{}}, false},
		{"of an answered call", timerEntry{call: &counterCall{ended: true}}, true},
	} {
		if got := l.obsolete(c.t); got != c.want {
			t.Errorf("%s: void %t", c.name, got)
		}
	}
}

// A request that was read under earlier settings and reaches the loop under new
// ones has numbers that mean another class and plan by now.
func TestCarryOver(t *testing.T) {
	old := &serviceConfig{Deployment: wire.Deployment{ClassNames: []string{"a", "b"}, PlanNames: []string{"p", "q"}}}
	old.Classes = []rules.Class{{Worth: 1}, {Worth: 2}}
	l := &Loop{service: &serviceConfig{Deployment: wire.Deployment{ClassNames: []string{"a"}, PlanNames: []string{"q"}}}}
	x := &exchange{service: old, class: &old.Classes[1], plan: "q", request: rules.Request{Class: 1, Plan: 1}}
	if !l.carryOver(x) || x.request.ClassOverride != &old.Classes[1] || x.request.Plan != 0 {
		t.Errorf("carried over as %+v", x.request)
	}
	if x.plan = "p"; l.carryOver(x) {
		t.Error("a request of a plan that is no more was carried over")
	}
}

// A crowded counter answers late. The answer is waited for beyond the stated time-out,
// as what the call has added is lost to all gateways without it, but not for ever.
func TestCounterIsWaitedFor(t *testing.T) {
	settings := strings.Replace(testSettings, `"mostUnits": 4`, `"mostUnits": 4, "hasCounter": true, "counterTimeoutS": 0.05`, 1)
	c, err := parseConfig([]byte(configText("127.0.0.1:1", strings.Replace(settings, `"pays": 1`, `"pays": 1, "unitsPerS": 2, "depth": 4`, 1))))
	if err != nil {
		t.Fatal(err)
	}
	synctest.Test(t, func(t *testing.T) {
		f, calls := newMetrics(&c), newCounter(c.Counter, time.Second)
		s := f.newService(c.Deployment, 0)
		l := newLoop(&c, s, f, newPools(time.Second, time.Minute, 8, f), calls, func() {})
		ctx, cancel := context.WithCancel(context.Background())
		go l.run(ctx)
		defer func() { cancel(); <-l.stopped }()
		x := &exchange{service: s, class: &s.Classes[0], counts: s.counts[0], plan: "basic", reply: make(chan response, 2),
			request: rules.Request{Customer: 7, Units: 2, GatewayCount: 2, FirstGateway: 1, Sent: l.clock.now(), Deadline: l.clock.now() + 15}}
		l.post(requestArrived{x})
		synctest.Wait()
		var k *counterCall
		for _, lane := range calls.lanes {
			if len(lane) > 0 {
				k = <-lane
			}
		}
		if k == nil {
			t.Fatal("no call was made")
		}
		time.Sleep(190 * time.Millisecond)
		synctest.Wait()
		if k.abandoned.Load() {
			t.Error("given up though its answer may come")
		}
		time.Sleep(20 * time.Millisecond)
		synctest.Wait()
		if !k.abandoned.Load() {
			t.Error("waited for without end")
		}
	})
}
