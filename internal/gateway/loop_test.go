package gateway

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"dunlintray/internal/wire"
	"dunlintray/rules"
)

// Timers are due in the order of their times, whichever others are removed.
func TestTimerQueueKeepsItsOrder(t *testing.T) {
	var queue timerQueue
	timers := map[float64]*timer{}
	for _, at := range []float64{5, 3, 8, 1, 9, 2, 7, 4, 6} {
		timers[at] = &timer{at: at}
		queue.add(timers[at])
	}
	queue.remove(timers[5], timers[1], timers[9], nil, timers[5])
	var due []float64
	for timer := queue.popDue(7); timer != nil; timer = queue.popDue(7) {
		due = append(due, timer.at)
	}
	queue.remove(timers[3]) // has been due
	if next, ok := queue.next(); !slices.Equal(due, []float64{2, 3, 4, 6, 7}) || next != 8 || !ok {
		t.Errorf("due %v, next %g %t", due, next, ok)
	}
}

// Guards against ended requests, attempts and counter calls that stay in memory until their timers
// are due.
func TestEndedRequestsLeaveNoTimers(t *testing.T) {
	config, err := parseConfig([]byte(configText("127.0.0.1:1", testSettings)))
	if err != nil {
		t.Fatal(err)
	}
	backend := newTestServer(t)
	metrics := newMetrics(&config)
	service := metrics.newService(config.Deployment, 0)
	loop := newLoop(&config, service, metrics, newPools(time.Second, time.Minute, 8, metrics), nil, func() {})
	loop.receiveListing(listUpdate{listing: newListing(true, "Ready", backend), kind: rules.FullList})
	idle := len(loop.timers.heap)
	for _, test := range []struct {
		name string
		end  func(*exchange)
	}{
		{"answered", func(*exchange) { serveOne(t, backend, "ok") }},
		{"client left", func(exchange *exchange) { loop.dispatch(clientGone{exchange}) }},
	} {
		exchange := &exchange{service: service, class: &service.Classes[0], counts: service.counts[0], plan: "basic", method: "GET", uri: "/lookup", host: "a", header: http.Header{},
			responses: make(chan response, 2),
			request:   rules.Request{Customer: 7, Units: 2, GatewayCount: 2, FirstGateway: 1, Sent: loop.clock.now(), Deadline: loop.clock.now() + 3600}}
		loop.dispatch(requestArrived{exchange})
		if exchange.inFlight != 1 || len(loop.timers.heap) < idle+2 {
			t.Fatalf("%s: %d attempts, %d timers", test.name, exchange.inFlight, len(loop.timers.heap)-idle)
		}
		test.end(exchange)
		for exchange.inFlight > 0 {
			loop.dispatch(<-loop.inbox)
		}
		if left := len(loop.timers.heap) - idle; left != 0 {
			t.Errorf("%s: %d timers are left", test.name, left)
		}
	}
	call := &counterCall{timer: &timer{at: loop.clock.now() + 1}}
	loop.timers.add(call.timer)
	loop.endCounterCall(call, rules.Served, 0)
	if left := len(loop.timers.heap) - idle; left != 0 {
		t.Errorf("counter call: %d timers are left", left)
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
