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

// A timer of an ended request, attempt or call is obsolete; no other timer is.
func TestObsoleteTimers(t *testing.T) {
	loop := &Loop{live: map[rules.RequestID]*exchange{7: {}}}
	for _, test := range []struct {
		name string
		t    timerEntry
		want bool
	}{
		{"of the decision module", timerEntry{}, false},
		{"of a live request", timerEntry{request: 7}, false},
		{"of a request that has ended", timerEntry{request: 8}, true},
		{"of an attempt in flight", timerEntry{attempt: &attempt{}}, false},
		{"of an attempt that has ended", timerEntry{attempt: &attempt{ended: true}}, true},
		{"of an outstanding call", timerEntry{call: &counterCall{}}, false},
		{"of an answered call", timerEntry{call: &counterCall{ended: true}}, true},
	} {
		if got := loop.obsolete(test.t); got != test.want {
			t.Errorf("%s: obsolete %t", test.name, got)
		}
	}
}

// A request read under earlier settings keeps its class and gets the new index of its plan. It
// is rejected if the plan no longer exists.
func TestRequestOfEarlierSettings(t *testing.T) {
	oldService := &serviceConfig{Deployment: wire.Deployment{ClassNames: []string{"a", "b"}, PlanNames: []string{"p", "q"}}}
	oldService.Classes = []rules.Class{{Worth: 1}, {Worth: 2}}
	loop := &Loop{service: &serviceConfig{Deployment: wire.Deployment{ClassNames: []string{"a"}, PlanNames: []string{"q"}}}}
	exchange := &exchange{service: oldService, class: &oldService.Classes[1], plan: "q", request: rules.Request{Class: 1, Plan: 1}}
	if !loop.carryOver(exchange) || exchange.request.ClassOverride != &oldService.Classes[1] || exchange.request.Plan != 0 {
		t.Errorf("carried over as %+v", exchange.request)
	}
	if exchange.plan = "p"; loop.carryOver(exchange) {
		t.Error("a request of a removed plan was carried over")
	}
}

// The loop waits for a counter reply beyond the counter timeout, since the units that the call
// added would be lost to all gateways, but not for longer than counterTimeoutFactor times that.
func TestLateCounterReplyIsAwaited(t *testing.T) {
	settings := strings.Replace(testSettings, `"mostUnits": 4`, `"mostUnits": 4, "hasCounter": true, "counterTimeoutS": 0.05`, 1)
	config, err := parseConfig([]byte(configText("127.0.0.1:1", strings.Replace(settings, `"pays": 1`, `"pays": 1, "unitsPerS": 2, "depth": 4`, 1))))
	if err != nil {
		t.Fatal(err)
	}
	synctest.Test(t, func(t *testing.T) {
		metrics, calls := newMetrics(&config), newCounter(config.Counter, time.Second)
		service := metrics.newService(config.Deployment, 0)
		loop := newLoop(&config, service, metrics, newPools(time.Second, time.Minute, 8, metrics), calls, func() {})
		ctx, cancel := context.WithCancel(context.Background())
		go loop.run(ctx)
		defer func() { cancel(); <-loop.stopped }()
		exchange := &exchange{service: service, class: &service.Classes[0], counts: service.counts[0], plan: "basic", responses: make(chan response, 2),
			request: rules.Request{Customer: 7, Units: 2, GatewayCount: 2, FirstGateway: 1, Sent: loop.clock.now(), Deadline: loop.clock.now() + 15}}
		loop.post(requestArrived{exchange})
		synctest.Wait()
		var call *counterCall
		for _, lane := range calls.lanes {
			if len(lane) > 0 {
				call = <-lane
			}
		}
		if call == nil {
			t.Fatal("no call was made")
		}
		time.Sleep(190 * time.Millisecond)
		synctest.Wait()
		if call.abandoned.Load() {
			t.Error("call abandoned before counterTimeoutFactor timeouts")
		}
		time.Sleep(20 * time.Millisecond)
		synctest.Wait()
		if !call.abandoned.Load() {
			t.Error("call not abandoned after counterTimeoutFactor timeouts")
		}
	})
}
