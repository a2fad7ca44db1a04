package rules

import (
	"math"
	"math/rand/v2"
	"testing"
)

func TestBeyondQuotaIsRefusedUntilTheStoreHasRefilled(t *testing.T) {
	harness := start(t, testSettings(), some(2)...)
	actions := harness.handle(Request{ID: 1, Units: 1, GatewayCount: 20, Customer: 5, Deadline: harness.now + 2})
	call := one[Count](t, actions)
	// Others have used the store up.
	actions = harness.handle(CounterReply{Name: call.Name, Total: 1000})
	if r := one[Refuse](t, actions); r.RetryAfter < 0 || r.RetryAfter > 0.5 {
		t.Errorf("advice %v, want up to the longest that is heeded", r.RetryAfter)
	}
	if back := one[Count](t, actions); back.Amount != -call.Amount {
		t.Errorf("gave %v back of %v", -back.Amount, call.Amount)
	}
	harness.handle(CounterReply{Name: call.Name, Total: 999})
	asked := 0.0
	for since := 0.1; since < 4 && asked == 0; since += 0.1 {
		harness.now += 0.1
		harness.nextID += 10
		actions = harness.handle(Request{ID: harness.nextID, Units: 1, GatewayCount: 20, Customer: 5, Deadline: harness.now + 2})
		if len(find[Count](actions)) > 0 {
			asked = since
		}
	}
	if asked < 1.9 || asked > 2.2 { // two units and the overdraft that may be real, at two a second
		t.Errorf("asked again after %v s", asked)
	}
}

// Many gateways, each of which sees a customer seldom, must together let it have its quota: the burst that it
// has saved as well as its rate, and little more. Their calls cross on the way.
func TestManyGatewaysKeepOneStore(t *testing.T) {
	const rate, burst = 3.0, 15.0
	for seed := range uint64(10) {
		gateways, way := 60, 0.004
		if seed%2 > 0 {
			gateways, way = 5, 0.03 // a counter with a line
		}
		rng := rand.New(rand.NewPCG(seed, 1))
		settings := testSettings()
		settings.Fleet, settings.Plans[0].Rate, settings.Plans[0].Burst = gateways, rate, burst
		var ds []*harness
		for rank := range gateways {
			settings.Rank = rank
			ds = append(ds, start(t, settings, some(60)...))
		}
		type message struct {
			at    float64
			by    *harness
			call  Count
			reply bool
		}
		var line []message // all take as long, so it is in order
		totals, id := map[uint64]float64{}, RequestID(0)
		sent, calls := 0, 0
		follow := func(harness *harness, actions []Action) {
			for _, a := range actions {
				switch a := a.(type) {
				case Count:
					calls++
					line = append(line, message{at: harness.now + way, by: harness, call: a})
				case Send:
					sent++
					harness.handle(AttemptEnd{Request: a.Request, Backend: a.Backend, Took: 0.01, Done: true})
				}
			}
		}
		now := 100.0
		play := func(span, perSecond float64) (asked, admitted, called int) {
			sent, calls = 0, 0
			for until := now + span; now < until; now += 0.002 {
				for len(line) > 0 && line[0].at <= now {
					m := line[0]
					line = line[1:]
					if m.by.now = now; m.reply {
						follow(m.by, m.by.handle(CounterReply{Name: m.call.Name, Total: m.call.Amount}))
						continue
					}
					totals[m.call.Name] += m.call.Amount
					m.call.Amount = totals[m.call.Name]
					line = append(line, message{at: now + way, by: m.by, call: m.call, reply: true})
				}
				if rng.Float64() < perSecond*0.002 {
					harness := ds[rng.IntN(gateways)]
					harness.now = now
					id, asked = id+1, asked+1
					follow(harness, harness.handle(Request{ID: id, Units: 1, GatewayCount: gateways, Customer: 5, Deadline: now + 2}))
				}
			}
			return asked, sent, calls
		}
		for range 3 {
			asked, admitted, called := play(20, rate/3)
			if admitted < asked-2 {
				t.Errorf("seed %d: %d of %d let in of a third of the quota", seed, admitted, asked)
			}
			if called > 2*asked {
				t.Errorf("seed %d: %d calls for %d requests", seed, called, asked)
			}
			_, admitted, _ = play(1, 40) // it has saved up its burst
			if n := float64(admitted); n < burst || n > burst*(1+refillLagFraction)+rate+1 {
				t.Errorf("seed %d: %v let in of a burst, want about %v", seed, n, burst+rate)
			}
			windows := len(totals)
			_, admitted, _ = play(15, 10)
			most := 1.1*rate*15 + float64(len(totals)-windows)*burst // a new window starts full
			if n := float64(admitted); n < 0.8*rate*15 || n > most {
				t.Errorf("seed %d: %v let in while the store is empty, want about %v", seed, n, rate*15)
			}
		}
	}
}

func TestUnansweredCallGrantsNothingAndTheLocalShareHolds(t *testing.T) {
	harness := start(t, testSettings(), some(2)...)
	sent, refused := 0, 0
	for i := range 10 {
		actions := harness.handle(Request{ID: RequestID(i + 1), Units: 1, GatewayCount: 2, Customer: 5, Deadline: harness.now + 2})
		for _, c := range find[Count](actions) {
			actions = append(actions, harness.handle(CounterReply{Name: c.Name, Outcome: TimedOut})...)
		}
		for _, a := range find[Send](actions) {
			sent++
			harness.handle(AttemptEnd{Request: a.Request, Backend: a.Backend, Took: 0.01, Done: true})
		}
		refused += len(find[Refuse](actions))
	}
	if sent != 2 || refused != 0 {
		t.Errorf("sent %d and refused %d at once, want burst/gateways = 2, the rest held for the counter", sent, refused)
	}
	harness.now += 0.79
	for i := range 10 {
		refused += len(find[Refuse](harness.handle(Timer{Token: timerAnswerBy<<56 | uint64(i+1)})))
	}
	if refused != 8 {
		t.Errorf("sent %d and refused %d, want burst/gateways = 2 and 8", sent, refused)
	}
}

func TestCeilingHoldsWhateverOrderGatewaysAskIn(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		plan := Plan{Price: 1, Rate: 10, Burst: 10, OverQuotaCost: 1, CeilingRate: 17, CeilingBurst: 17, CeilingSlack: 1.7}
		settings := testSettings()
		settings.Plans[0], settings.MaxUnits = plan, 1
		gateways := []int{3, 8, 40}[seed%3] // few and many
		var ds []*harness
		for range gateways {
			ds = append(ds, start(t, settings, some(30)...))
		}
		totals, store, id := map[uint64]float64{}, plan.CeilingBurst, RequestID(0)
		for step := range 40000 {
			now := 100 + float64(step)*0.002
			store = min(store+plan.CeilingRate*0.002, plan.CeilingBurst)
			n := rng.IntN(gateways)
			harness := ds[n]
			harness.now = now
			id++
			var todo []Action
			if now < 102 || rng.Float64() < 0.2+0.2*math.Sin(now) || math.Mod(now, 19) < 7 {
				todo = harness.handle(Request{ID: id, Units: 1, GatewayCount: gateways, Customer: 5, Deadline: now + 2})
			} else if step%9 == 0 {
				todo = harness.handle(Timer{Token: timerHousekeeping << 56})
			}
			if rng.IntN(8000) == 0 { // killed, with all it knew
				ds[n] = start(t, settings, some(30)...)
				continue
			}
			for len(todo) > 0 {
				a := todo[0]
				todo = todo[1:]
				switch a := a.(type) {
				case Send:
					store--
					todo = append(todo, harness.handle(AttemptEnd{Request: a.Request, Backend: a.Backend, Took: 0.01, Done: true})...)
				case Count:
					how := Served
					if phase := math.Mod(now, 19); phase < 4 { // silent, then back empty
						totals, how = map[uint64]float64{}, TimedOut
					}
					totals[a.Name] += a.Amount
					if rng.IntN(50) == 0 {
						how = []Outcome{TimedOut, Broken, Errored}[rng.IntN(3)] // added, but the total is not heard
					}
					todo = append(todo, harness.handle(CounterReply{Name: a.Name, Outcome: how, Total: totals[a.Name]})...)
				}
			}
			if store < -plan.CeilingSlack {
				t.Fatalf("seed %d: the ceiling's store is at %.2f after %.1f s", seed, store, now-100)
			}
		}
	}
}

// What settling leaves in debt is paid by the next lease, in one call, and what it leaves over is used first.
func TestLeaseCountsWhatSettlingLeft(t *testing.T) {
	settings := testSettings()
	settings.UnitsEstimated, settings.MaxUnits = true, 4
	harness := start(t, settings, some(4)...)
	total := 0.0
	ask := func(units, asked, settled float64) {
		t.Helper()
		harness.nextID++
		todo := harness.handle(Request{ID: harness.nextID, Plan: 1, Units: units, GatewayCount: 5000, Customer: 5, Deadline: harness.now + 2})
		first, sent := 0.0, false
		for ; len(todo) > 0; todo = todo[1:] {
			switch a := todo[0].(type) {
			case Count:
				if first == 0 {
					first = a.Amount
				} else if !sent && harness.nextID > 1 { // the very first call starts a window
					t.Errorf("a second call, for %v units, before the request was sent", a.Amount)
				}
				total += a.Amount
				todo = append(todo, harness.handle(CounterReply{Name: a.Name, Total: total})...)
			case Send:
				sent = true
				todo = append(todo, harness.handle(AttemptEnd{Request: a.Request, Backend: a.Backend, Outcome: Served, Took: 0.1,
					Done: true, Units: settled})...)
			}
		}
		if first != asked || !sent {
			t.Errorf("asked for %v units, want %v; sent: %v", first, asked, sent)
		}
	}
	ask(1, 1, 3) // two more than guessed
	ask(1, 3, 1)
	ask(3, 3, 1) // two fewer
	ask(2, 0, 2)
	ask(1, 1, 1)
}

// Nine gateways that meet a customer must not take its whole burst ahead; one that serves much of it may.
func TestBlocksOfManyGatewaysAreWhatTheyUse(t *testing.T) {
	harness := start(t, testSettings(), some(4)...)
	totals, last := map[uint64]float64{}, 0.0
	ask := func() {
		harness.nextID++
		todo := harness.handle(Request{ID: harness.nextID, Plan: 1, Units: 1, GatewayCount: 9, Customer: 5, Deadline: harness.now + 2})
		for ; len(todo) > 0; todo = todo[1:] {
			switch a := todo[0].(type) {
			case Count:
				if totals[a.Name] += a.Amount; a.Amount > 0 && a.Amount < 40 {
					last = a.Amount
				}
				todo = append(todo, harness.handle(CounterReply{Name: a.Name, Total: totals[a.Name]})...)
			case Send:
				todo = append(todo, harness.handle(AttemptEnd{Request: a.Request, Backend: a.Backend, Outcome: Served, Done: true})...)
			}
		}
	}
	for range 3 {
		if ask(); last != 1 {
			t.Errorf("took %v units for one request of a customer seen seldom", last)
		}
		harness.now += 3
	}
	for range 40 {
		harness.now += 0.1
		ask()
	}
	if last < 3 {
		t.Errorf("took %v units at a time of a customer with ten requests a second", last)
	}
}

func TestBlocksLeaveNoUnitThatNobodyComesFor(t *testing.T) {
	harness := start(t, testSettings(), some(4)...)
	for i := range 20 { // a customer seen once in ten seconds at this gateway
		harness.now += 10
		actions := harness.handle(Request{ID: RequestID(i + 1), Plan: 1, Units: 1, GatewayCount: 100, Customer: 5, Deadline: harness.now + 2})
		if call := one[Count](t, actions); call.Amount != 1 {
			t.Fatalf("took %v units for one request", call.Amount)
		}
		for len(actions) > 0 {
			switch a := actions[0].(type) {
			case Count:
				actions = append(actions, harness.handle(CounterReply{Name: a.Name, Total: a.Amount})...)
			case Send:
				harness.handle(AttemptEnd{Request: a.Request, Backend: a.Backend, Took: 0.1, Done: true})
			}
			actions = actions[1:]
		}
	}
}

// Units of a lease that ran out unused are in no gateway's hands: they must not stay spent on the counter.
func TestIdleUnitsGoBackToTheCounter(t *testing.T) {
	totals, id, customer := map[uint64]float64{}, RequestID(0), CustomerID(5)
	var run func(harness *harness, todo []Action) int
	run = func(harness *harness, todo []Action) (sent int) { // counts what is sent on
		for _, a := range todo {
			switch a := a.(type) {
			case Send:
				sent++
				harness.handle(AttemptEnd{Request: a.Request, Backend: a.Backend, Took: 0.1, Done: true})
			case Count:
				totals[a.Name] += a.Amount
				sent += run(harness, harness.handle(CounterReply{Name: a.Name, Total: totals[a.Name]}))
			}
		}
		return sent
	}
	ask := func(harness *harness, n int) (sent int) {
		for range n {
			id++
			sent += run(harness, harness.handle(Request{ID: id, Plan: 1, Units: 1, GatewayCount: 2, Customer: customer, Deadline: harness.now + 2}))
		}
		return sent
	}
	busy, idle := start(t, testSettings(), some(4)...), start(t, testSettings(), some(4)...)
	if n := ask(busy, 20) + ask(idle, 1); n != 21 { // of a burst of 40; the second holds the rest now
		t.Fatalf("sent %d of 21", n)
	}
	busy.now, idle.now = 100.51, 100.51 // a lease lives a quarter of burst over rate, in which the store gains 10
	run(idle, idle.handle(Timer{Token: timerHousekeeping << 56}))
	if n := ask(busy, 25); n != 25 {
		t.Errorf("sent %d of 25 requests that the store has room for", n)
	}
	// While the store is not low they go back with the next lease.
	customer = 6
	ask(idle, 1)
	idle.now += 0.51
	run(idle, idle.handle(Timer{Token: timerHousekeeping << 56}))
	ask(idle, 1)
	quota := idle.gateway.customers[6]
	floor := idle.gateway.advanceWindow(quota)
	if held := totals[quota.counterName] - floor; held > 4 {
		t.Errorf("%.1f units stand on the counter for one request and what came before", held)
	}
}

// A correction that was lost with its connection is made again, if the total shows that it was not added.
func TestLostCorrectionIsMadeAgain(t *testing.T) {
	for _, added := range []bool{false, true} {
		harness := start(t, testSettings(), some(4)...)
		first := one[Count](t, harness.handle(Request{ID: 1, Plan: 1, Units: 1, GatewayCount: 2, Customer: 5, Deadline: harness.now + 2}))
		// Another gateway has written off the same refill and taken 30 of the burst of 40, so 11 of the 21
		// that were asked for are too many.
		refill := first.Amount - 21
		total := refill + 30 + first.Amount
		excess := one[Count](t, harness.handle(CounterReply{Name: first.Name, Total: total}))
		if math.Abs(excess.Amount+refill+11) > 1e-6 {
			t.Fatalf("gave %v back, want %v", -excess.Amount, refill+11)
		}
		if added {
			total += excess.Amount
		}
		look := one[Count](t, harness.handle(CounterReply{Name: excess.Name, Outcome: Broken}))
		if look.Amount != 0 {
			t.Fatalf("added %v without knowing the total", look.Amount)
		}
		again := find[Count](harness.handle(CounterReply{Name: look.Name, Total: total}))
		switch {
		case added && len(again) > 0:
			t.Errorf("given back twice: %v", again)
		case !added && (len(again) != 1 || again[0].Amount != excess.Amount):
			t.Errorf("not given back: %v", again)
		}
	}
	// A call that was turned away has added nothing: what it should tell goes with the next.
	harness := start(t, testSettings(), some(4)...)
	first := one[Count](t, harness.handle(Request{ID: 1, Plan: 1, Units: 1, GatewayCount: 2, Customer: 5, Deadline: harness.now + 2}))
	excess := one[Count](t, harness.handle(CounterReply{Name: first.Name, Total: 2*first.Amount + 9}))
	harness.handle(CounterReply{Name: excess.Name, Outcome: ConnectFailed})
	if quota := harness.gateway.customers[5]; quota.idleUnits != -excess.Amount {
		t.Errorf("%v units wait to go back, want %v", quota.idleUnits, -excess.Amount)
	}
}

// A block that the store cannot hold would cost a correction, and is lost whole with a broken call.
func TestLeaseAsksForNoMoreThanTheStoreHolds(t *testing.T) {
	harness := start(t, testSettings(), some(4)...)
	ask := func(id RequestID) []Action {
		return harness.handle(Request{ID: id, Plan: 1, Units: 1, GatewayCount: 2, Customer: 5, Deadline: harness.now + 2})
	}
	first := one[Count](t, ask(1))
	refill := first.Amount - 21
	actions := harness.handle(CounterReply{Name: first.Name, Total: refill + 15 + first.Amount}) // of 40, another has taken 15
	for _, c := range find[Count](actions) {
		harness.handle(CounterReply{Name: c.Name, Total: refill + 36})
	}
	for id := RequestID(2); id <= 21; id++ { // the rest of the block
		if n := len(find[Count](ask(id))); n > 0 {
			t.Fatalf("request %d: %d calls", id, n)
		}
	}
	if call := one[Count](t, ask(22)); call.Amount != 4 {
		t.Errorf("asked for %v units of a store that holds 4", call.Amount)
	}
}

// A request that is late already must take no scarce units from one that can still be in time; once paid for,
// a late answer is worth having.
func TestUnpaidRequestIsGivenBackAtItsAim(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].LateWorth, settings.Classes[0].Deadline = 0.2, 10
	harness := start(t, settings) // no backend: what is paid for is held
	ask := func(id RequestID) (actions []Action, startTimer SetTimer) {
		actions = harness.handle(Request{ID: id, Units: 1, GatewayCount: 2, Customer: 5, Deadline: harness.now + 10})
		for _, timer := range find[SetTimer](actions) {
			if timer.Token>>56 == timerSendBy {
				startTimer = timer
			}
		}
		return actions, startTimer
	}
	actions, paid := ask(1)
	harness.handle(CounterReply{Name: one[Count](t, actions).Name, Total: 1})
	harness.gateway.customers[5].leasedUnits = 0 // spent by others
	actions, unpaid := ask(2)
	call := one[Count](t, actions)
	if math.Abs(paid.Delay-0.8) > 1e-6 || math.Abs(unpaid.Delay-0.8) > 1e-6 {
		t.Fatalf("timers after %v and %v, want the aim", paid.Delay, unpaid.Delay)
	}
	harness.now += 0.8
	if again := one[SetTimer](t, harness.handle(Timer{Token: paid.Token})); again.Delay < 9 {
		t.Errorf("the paid request is looked at again after %v, want its deadline", again.Delay)
	}
	if r := one[Refuse](t, harness.handle(Timer{Token: unpaid.Token})); r.Request != 2 {
		t.Errorf("refused %d", r.Request)
	}
	harness.handle(CounterReply{Name: call.Name, Outcome: TimedOut})
}

// A counter whose line is long for a moment turns calls away, and at one of many gateways too the next may do.
func TestRequestWaitsForTheNextCall(t *testing.T) {
	harness := start(t, testSettings(), some(4)...)
	actions := harness.handle(Request{ID: 1, Units: 1, GatewayCount: 100, Customer: 5, Deadline: harness.now + 2})
	harness.gateway.customers[5].localUnits = 0
	actions = harness.handle(CounterReply{Name: one[Count](t, actions).Name, Outcome: Full})
	if len(find[Refuse](actions)) > 0 {
		t.Fatal("refused though most calls are answered")
	}
	harness.now += initialCounterBackoff + housekeepingInterval
	actions = harness.handle(Timer{Token: timerHousekeeping << 56})
	one[Send](t, harness.handle(CounterReply{Name: one[Count](t, actions).Name, Total: 1}))
}

func TestRequestIsNotHeldForACrowdedCounter(t *testing.T) {
	harness := start(t, testSettings(), some(4)...)
	harness.gateway.counterFailureRate = 0.2
	for i := range 3 {
		actions := harness.handle(Request{ID: RequestID(i + 1), Units: 1, GatewayCount: 100, Customer: 5, Deadline: harness.now + 2})
		for _, c := range find[Count](actions) {
			actions = append(actions, harness.handle(CounterReply{Name: c.Name, Outcome: TimedOut})...)
		}
		if i == 0 {
			one[Send](t, actions) // the share of this gateway
		} else {
			one[Refuse](t, actions)
		}
	}
}

// A customer that has lived on leases has its local share from the first second of an outage on: what it spent
// was the counter's to grant, and is no debt.
func TestLeasesLeaveNoDebtOnTheLocalShare(t *testing.T) {
	settings := testSettings()
	settings.CanHedge = false
	harness := start(t, settings, some(4)...)
	totals, down := map[uint64]float64{}, false
	sent := 0
	// follow answers the calls and sends that actions bring about, until there are none.
	follow := func(actions []Action) {
		for len(actions) > 0 {
			var next []Action
			for _, call := range find[Count](actions) {
				totals[call.Name] += call.Amount
				reply := CounterReply{Name: call.Name, Total: totals[call.Name]}
				if down {
					reply = CounterReply{Name: call.Name, Outcome: TimedOut}
				}
				next = append(next, harness.handle(reply)...)
			}
			for _, send := range find[Send](actions) {
				sent++
				next = append(next, harness.handle(AttemptEnd{Request: send.Request, Backend: send.Backend, Outcome: Served})...)
			}
			actions = next
		}
	}
	ask := func() {
		harness.now += 0.25
		follow(harness.handle(Timer{Token: timerHousekeeping << 56}))
		harness.nextID++
		follow(harness.handle(Request{ID: harness.nextID, Customer: 1, Units: 1, GatewayCount: 2, Deadline: harness.now + 2}))
	}
	for range 40 {
		ask() // four units a second: more than the quota, of which the local share is one
	}
	if quota := harness.gateway.customers[1]; sent < 20 || quota.leasedUnits >= 1 {
		t.Fatalf("sent %d, %f units left: not a customer that lives on leases", sent, quota.leasedUnits)
	}
	sent, down = 0, true
	for range 12 { // 3 s
		ask()
	}
	if sent < 2 || sent > 4 { // one unit a second is this gateway's part
		t.Errorf("sent %d in 3 s of an outage", sent)
	}
}
