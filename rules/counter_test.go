package rules

import (
	"math/rand/v2"
	"testing"
)

// A failing counter gets fewer calls.
func TestCallsAreSkippedWhileTheCounterFails(t *testing.T) {
	calls := func(outcome Outcome) int {
		harness := newHarness(t, testSettings(), readyBackends(8)...)
		count := 0
		for i := range 400 {
			harness.now += 0.01
			actions := harness.handle(Request{ID: RequestID(i + 1), Units: 1, GatewayCount: 2, Customer: CustomerID(i), Deadline: harness.now + 2})
			for _, call := range actionsOf[Count](actions) {
				count++
				harness.handle(CounterReply{Name: call.Name, Outcome: outcome, Total: call.Amount})
			}
		}
		return count
	}
	well, down := calls(Served), calls(TimedOut)
	if well < 400 || down > well/2 || down == 0 {
		t.Errorf("%d calls to a counter that answers, want at least 400; %d to one that does not, want 1 to half of that", well, down)
	}
}

// The few calls made during an outage of the counter must be enough to detect its end.
func TestCallsResumeAfterACounterOutage(t *testing.T) {
	harness := newHarness(t, testSettings(), readyBackends(8)...)
	calls := func(outcome Outcome, requests int) (count int) {
		for range requests {
			harness.now += 0.01
			harness.nextID++
			actions := harness.handle(Request{ID: harness.nextID, Units: 1, GatewayCount: 2, Customer: CustomerID(harness.nextID), Deadline: harness.now + 2})
			for _, call := range actionsOf[Count](actions) {
				count++
				harness.handle(CounterReply{Name: call.Name, Outcome: outcome, Total: call.Amount})
			}
		}
		return count
	}
	calls(TimedOut, 400)
	if count := calls(Served, 400); count < 280 {
		t.Errorf("%d calls for 400 customers after the counter recovered, want at least 280", count)
	}
}

// One gateway of a large fleet makes few calls, so each must weigh more in the failure rate.
func TestCallsOfALargeFleetResumeAfterACounterOutage(t *testing.T) {
	harness := newHarness(t, testSettings(), readyBackends(8)...)
	calls := func(outcome Outcome, seconds float64) (count int) {
		for until := harness.now + seconds; harness.now < until; harness.now += 0.1 {
			harness.nextID++
			actions := harness.handle(Request{ID: harness.nextID, Units: 1, GatewayCount: 60, Customer: CustomerID(harness.nextID), Deadline: harness.now + 2})
			for _, call := range actionsOf[Count](actions) {
				count++
				harness.handle(CounterReply{Name: call.Name, Outcome: outcome, Total: call.Amount})
			}
		}
		return count
	}
	if count := calls(TimedOut, 6); count > 30 {
		t.Errorf("%d calls for 60 requests to a counter that does not answer, want at most 30", count)
	}
	calls(Served, 2)
	if count := calls(Served, 2); count < 18 {
		t.Errorf("%d calls for 20 requests two seconds after the counter recovered, want at least 18", count)
	}
	made := 0
	for range 10 { // short overloads of the counter
		made += calls(TimedOut, 0.2) + calls(Served, 1)
	}
	if made < 75 {
		t.Errorf("%d calls for 120 requests while every sixth fails, want at least 75", made)
	}
}

// While the counter does not answer, gateways with a small fraction of the quota each still admit requests,
// and under a ceiling no more than it allows.
func TestLocalAllowancesServeDuringACounterOutage(t *testing.T) {
	const silence = 5.0
	for _, test := range []struct {
		plan                 Plan
		gateways             int
		perSecond            float64 // requests of 1 to maxUnits units
		minAdmitted          float64 // fraction of the requested units
		maxAdmitted          float64 // units
		maxUnits, startAfter float64
	}{
		{Plan{Price: 1, Rate: 3, Burst: 15}, 60, 1, 0.9, 1e9, 4, 0},
		{Plan{Price: 1, Rate: 20, Burst: 40, CeilingRate: 40, CeilingBurst: 80, CeilingSlack: 8}, 10, 2, 0.7, 1e9, 4, 2},
		{Plan{Price: 1, Rate: 20, Burst: 40, CeilingRate: 40, CeilingBurst: 80, CeilingSlack: 8}, 10, 40, 0,
			10*4 + (40-20)*silence, 4, 2},
	} {
		settings := testSettings()
		settings.Fleet, settings.MaxUnits, settings.Plans[0] = 80, test.maxUnits, test.plan
		rng := rand.New(rand.NewPCG(1, 1))
		var harnesses []*gatewayHarness
		for rank := range test.gateways {
			settings.Rank = rank
			harnesses = append(harnesses, newHarness(t, settings, readyBackends(60)...))
		}
		id, requested, admitted := RequestID(0), 0.0, 0.0
		request := func(now float64) {
			harness := harnesses[rng.IntN(test.gateways)]
			id++
			units := float64(1 + rng.IntN(int(test.maxUnits)))
			requested += units
			harness.now = now
			pending := harness.handle(Request{ID: id, Units: units, GatewayCount: test.gateways, Customer: 5, Deadline: now + 2})
			for ; len(pending) > 0; pending = pending[1:] {
				switch action := pending[0].(type) {
				case Count:
					pending = append(pending, harness.handle(CounterReply{Name: action.Name, Outcome: TimedOut})...)
				case Send:
					admitted += units
					harness.handle(AttemptEnd{Request: action.Request, Backend: action.Backend, Took: 0.01, Done: true})
				}
			}
		}
		for range 200 { // each gateway knows the customer; its local allowances start empty under a ceiling
			request(100)
		}
		requested, admitted = 0, 0
		start := 100 + test.startAfter
		if test.startAfter == 0 {
			start = 200 // the local allowances of an inactive customer are full
		}
		for now := start; now < start+silence; now += 1 / test.perSecond {
			request(now)
		}
		if admitted < test.minAdmitted*requested || admitted > test.maxAdmitted {
			t.Errorf("%+v at %d gateways: admitted %v of %v units in %v s", test.plan, test.gateways, admitted, requested, silence)
		}
	}
}

// A lost connection does not indicate overload: the call is repeated at once for the queued request.
func TestBrokenCallIsRepeatedAtOnce(t *testing.T) {
	harness := newHarness(t, testSettings(), readyBackends(4)...)
	for i := range 20 {
		harness.now += 0.1
		id := RequestID(i + 1)
		actions := harness.handle(Request{ID: id, Plan: 1, Units: 1, GatewayCount: 2, Customer: CustomerID(i), Deadline: harness.now + 2})
		call := onlyAction[Count](t, actions)
		again := onlyAction[Count](t, harness.handle(CounterReply{Name: call.Name, Outcome: Broken}))
		send := onlyAction[Send](t, harness.handle(CounterReply{Name: again.Name, Total: call.Amount + again.Amount}))
		if send.Request != id {
			t.Errorf("sent request %d, want %d", send.Request, id)
		}
		harness.handle(AttemptEnd{Request: send.Request, Backend: send.Backend, Took: 0.1, Done: true})
	}
	// A second loss in a row starts the backoff.
	actions := harness.handle(Request{ID: 30, Plan: 1, Units: 1, GatewayCount: 2, Customer: 30, Deadline: harness.now + 2})
	name := onlyAction[Count](t, actions).Name
	onlyAction[Count](t, harness.handle(CounterReply{Name: name, Outcome: ConnectFailed}))
	if n := len(actionsOf[Count](harness.handle(CounterReply{Name: name, Outcome: ConnectFailed}))); n > 0 {
		t.Errorf("%d calls right after a second loss, want none", n)
	}
}

// Units that were added without a known total are not added again: the repeated call only asks for the
// total.
func TestUnitsAddedWithoutATotalAreNotAddedTwice(t *testing.T) {
	harness := newHarness(t, testSettings(), readyBackends(4)...)
	actions := harness.handle(Request{ID: 1, Plan: 1, Units: 1, GatewayCount: 2, Customer: 5, Deadline: harness.now + 2})
	call := onlyAction[Count](t, actions)
	again := onlyAction[Count](t, harness.handle(CounterReply{Name: call.Name, Outcome: Errored}))
	if again.Name != call.Name || again.Amount != 0 {
		t.Errorf("call %+v was repeated as %+v, want an amount of 0", call, again)
	}
	onlyAction[Send](t, harness.handle(CounterReply{Name: call.Name, Total: call.Amount}))
}

// A reply that names its call must not be taken for that of an older call for the same name: a call that
// fails at once, before the older one has its answer, changes nothing of that.
func TestReplyIsThatOfItsCall(t *testing.T) {
	harness := newHarness(t, testSettings(), readyBackends(4)...)
	first := onlyAction[Count](t, harness.handle(Request{ID: 1, Units: 1, GatewayCount: 2, Customer: 5, Deadline: harness.now + 2}))
	quota := harness.gateway.customers[5]
	harness.gateway.callCounter(counterCall{customer: quota, name: first.Name, window: quota.window, spentUnits: 3}, counterTTL)
	second := harness.gateway.lastCall
	actions := harness.handle(CounterReply{Call: second, Name: first.Name, Outcome: Full})
	if len(actionsOf[Refuse](actions)) != 0 || quota.unitCalls != 1 || quota.unreportedUnits != 3 {
		t.Errorf("a call that failed at once: %v, %d lease calls out, %v units to report, want 1 and 3", actions, quota.unitCalls, quota.unreportedUnits)
	}
	onlyAction[Send](t, harness.handle(CounterReply{Call: first.Call, Name: first.Name, Total: first.Amount}))
}
