package rules

import (
	"math/rand/v2"
	"testing"
)

func TestCallsThinOutWhenTheCounterFails(t *testing.T) {
	calls := func(how Outcome) int {
		harness := start(t, testSettings(), some(8)...)
		n := 0
		for i := range 400 {
			harness.now += 0.01
			actions := harness.handle(Request{ID: RequestID(i + 1), Units: 1, GatewayCount: 2, Customer: CustomerID(i), Deadline: harness.now + 2})
			for _, c := range find[Count](actions) {
				n++
				harness.handle(CounterReply{Name: c.Name, Outcome: how, Total: c.Amount})
			}
		}
		return n
	}
	well, down := calls(Served), calls(TimedOut)
	if well < 400 || down > well/2 || down == 0 {
		t.Errorf("%d calls to a counter that answers, %d to one that does not", well, down)
	}
}

// A connection that breaks tells of no crowd: calls go on, and the request that waits is asked for again.
// The few calls that are made in an outage of the counter must be enough to show its end.
func TestCallsAreMadeAgainSoonAfterAnOutageOfTheCounter(t *testing.T) {
	harness := start(t, testSettings(), some(8)...)
	calls := func(how Outcome, requests int) (n int) {
		for range requests {
			harness.now += 0.01
			harness.nextID++
			actions := harness.handle(Request{ID: harness.nextID, Units: 1, GatewayCount: 2, Customer: CustomerID(harness.nextID), Deadline: harness.now + 2})
			for _, c := range find[Count](actions) {
				n++
				harness.handle(CounterReply{Name: c.Name, Outcome: how, Total: c.Amount})
			}
		}
		return n
	}
	calls(TimedOut, 400)
	if n := calls(Served, 400); n < 280 {
		t.Errorf("%d calls for 400 customers after the counter was back", n)
	}
}

// At one of many gateways calls are rare, and each must tell more.
func TestOneOfManyGatewaysSeesSoonThatTheCounterIsBack(t *testing.T) {
	harness := start(t, testSettings(), some(8)...)
	calls := func(how Outcome, seconds float64) (n int) {
		for until := harness.now + seconds; harness.now < until; harness.now += 0.1 {
			harness.nextID++
			actions := harness.handle(Request{ID: harness.nextID, Units: 1, GatewayCount: 60, Customer: CustomerID(harness.nextID), Deadline: harness.now + 2})
			for _, c := range find[Count](actions) {
				n++
				harness.handle(CounterReply{Name: c.Name, Outcome: how, Total: c.Amount})
			}
		}
		return n
	}
	if n := calls(TimedOut, 6); n > 30 {
		t.Errorf("%d calls in 60 to a silent counter", n)
	}
	calls(Served, 2)
	if n := calls(Served, 2); n < 18 {
		t.Errorf("%d of 20 calls two seconds after the counter was back", n)
	}
	made := 0
	for range 10 { // now and then a line is too long for a moment
		made += calls(TimedOut, 0.2) + calls(Served, 1)
	}
	if made < 75 {
		t.Errorf("%d of 120 calls while every sixth fails", made)
	}
}

// While the counter is silent a customer's requests are still let in at gateways that each have a small part of
// its quota, and under a ceiling no more than that bears.
func TestManyGatewaysServeWhileTheCounterIsSilent(t *testing.T) {
	const silence = 5.0
	for _, c := range []struct {
		plan             Plan
		gateways         int
		perSecond        float64 // requests of one unit to the most
		least, most      float64 // units let in; least as a share of what was asked
		mostUnits, ahead float64
	}{
		{Plan{Price: 1, Rate: 3, Burst: 15}, 60, 1, 0.9, 1e9, 4, 0},
		{Plan{Price: 1, Rate: 20, Burst: 40, CeilingRate: 40, CeilingBurst: 80, CeilingSlack: 8}, 10, 2, 0.7, 1e9, 4, 2},
		{Plan{Price: 1, Rate: 20, Burst: 40, CeilingRate: 40, CeilingBurst: 80, CeilingSlack: 8}, 10, 40, 0,
			10*4 + (40-20)*silence, 4, 2},
	} {
		settings := testSettings()
		settings.Fleet, settings.MaxUnits, settings.Plans[0] = 80, c.mostUnits, c.plan
		rng := rand.New(rand.NewPCG(1, 1))
		var ds []*harness
		for rank := range c.gateways {
			settings.Rank = rank
			ds = append(ds, start(t, settings, some(60)...))
		}
		id, asked, got := RequestID(0), 0.0, 0.0
		ask := func(now float64) {
			harness := ds[rng.IntN(c.gateways)]
			id++
			units := float64(1 + rng.IntN(int(c.mostUnits)))
			asked += units
			harness.now = now
			todo := harness.handle(Request{ID: id, Units: units, GatewayCount: c.gateways, Customer: 5, Deadline: now + 2})
			for ; len(todo) > 0; todo = todo[1:] {
				switch a := todo[0].(type) {
				case Count:
					todo = append(todo, harness.handle(CounterReply{Name: a.Name, Outcome: TimedOut})...)
				case Send:
					got += units
					harness.handle(AttemptEnd{Request: a.Request, Backend: a.Backend, Took: 0.01, Done: true})
				}
			}
		}
		for range 200 { // each gateway has met the customer, whose shares fill from nothing under a ceiling
			ask(100)
		}
		asked, got = 0, 0
		start := 100 + c.ahead
		if c.ahead == 0 {
			start = 200 // the shares of a customer that has been quiet are full
		}
		for now := start; now < start+silence; now += 1 / c.perSecond {
			ask(now)
		}
		if got < c.least*asked || got > c.most {
			t.Errorf("%+v at %d gateways: %v of %v units in %v s", c.plan, c.gateways, got, asked, silence)
		}
	}
}

func TestBrokenCallIsMadeAgainAtOnce(t *testing.T) {
	harness := start(t, testSettings(), some(4)...)
	for i := range 20 {
		harness.now += 0.1
		id := RequestID(i + 1)
		actions := harness.handle(Request{ID: id, Plan: 1, Units: 1, GatewayCount: 2, Customer: CustomerID(i), Deadline: harness.now + 2})
		call := one[Count](t, actions)
		again := one[Count](t, harness.handle(CounterReply{Name: call.Name, Outcome: Broken}))
		send := one[Send](t, harness.handle(CounterReply{Name: again.Name, Total: call.Amount + again.Amount}))
		if send.Request != id {
			t.Errorf("sent request %d, want %d", send.Request, id)
		}
		harness.handle(AttemptEnd{Request: send.Request, Backend: send.Backend, Took: 0.1, Done: true})
	}
	// Twice in a row is another matter.
	actions := harness.handle(Request{ID: 30, Plan: 1, Units: 1, GatewayCount: 2, Customer: 30, Deadline: harness.now + 2})
	name := one[Count](t, actions).Name
	one[Count](t, harness.handle(CounterReply{Name: name, Outcome: ConnectFailed}))
	if n := len(find[Count](harness.handle(CounterReply{Name: name, Outcome: ConnectFailed}))); n > 0 {
		t.Errorf("%d calls right after a second loss", n)
	}
}

// Units that were added without a total are ours: only the total is asked again.
func TestUnitsOfAnUnreadableTotalAreNotTakenTwice(t *testing.T) {
	harness := start(t, testSettings(), some(4)...)
	actions := harness.handle(Request{ID: 1, Plan: 1, Units: 1, GatewayCount: 2, Customer: 5, Deadline: harness.now + 2})
	call := one[Count](t, actions)
	again := one[Count](t, harness.handle(CounterReply{Name: call.Name, Outcome: Errored}))
	if again.Name != call.Name || again.Amount != 0 {
		t.Errorf("asked %+v again as %+v", call, again)
	}
	one[Send](t, harness.handle(CounterReply{Name: call.Name, Total: call.Amount}))
}
