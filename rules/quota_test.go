package rules

import (
	"math"
	"math/rand/v2"
	"testing"
)

// An over-quota customer is refused without counter calls until the bucket has refilled.
func TestOverQuotaIsRefusedUntilTheBucketHasRefilled(t *testing.T) {
	harness := newHarness(t, testSettings(), readyBackends(2)...)
	actions := harness.handle(Request{ID: 1, Units: 1, GatewayCount: 20, Customer: 5, Deadline: harness.now + 2})
	call := onlyAction[Count](t, actions)
	// Other gateways have emptied the bucket.
	actions = harness.handle(CounterReply{Name: call.Name, Total: 1000})
	if r := onlyAction[Refuse](t, actions); r.RetryAfter < 0 || r.RetryAfter > 0.5 {
		t.Errorf("RetryAfter %v, want 0 to 0.5", r.RetryAfter)
	}
	if returned := onlyAction[Count](t, actions); returned.Amount != -call.Amount {
		t.Errorf("returned %v units of %v", -returned.Amount, call.Amount)
	}
	harness.handle(CounterReply{Name: call.Name, Total: 999})
	calledAfter := 0.0
	for elapsed := 0.1; elapsed < 4 && calledAfter == 0; elapsed += 0.1 {
		harness.now += 0.1
		harness.nextID += 10
		actions = harness.handle(Request{ID: harness.nextID, Units: 1, GatewayCount: 20, Customer: 5, Deadline: harness.now + 2})
		if len(actionsOf[Count](actions)) > 0 {
			calledAfter = elapsed
		}
	}
	if calledAfter < 1.9 || calledAfter > 2.2 { // two units and a possible overdraft, at two units per second
		t.Errorf("next call after %v s, want 1.9 to 2.2", calledAfter)
	}
}

// Many gateways with little demand each must together grant a customer its burst and its rate, and little
// more, although their calls overlap.
func TestManyGatewaysShareOneBucket(t *testing.T) {
	const rate, burst = 3.0, 15.0
	for seed := range uint64(10) {
		gateways, delay := 60, 0.004
		if seed%2 > 0 {
			gateways, delay = 5, 0.03 // a slow counter
		}
		rng := rand.New(rand.NewPCG(seed, 1))
		settings := testSettings()
		settings.Fleet, settings.Plans[0].Rate, settings.Plans[0].Burst = gateways, rate, burst
		var harnesses []*gatewayHarness
		for rank := range gateways {
			settings.Rank = rank
			harnesses = append(harnesses, newHarness(t, settings, readyBackends(60)...))
		}
		type message struct {
			at    float64
			by    *gatewayHarness
			call  Count
			reply bool
		}
		var messages []message // in order, since all have the same delay
		totals, id := map[uint64]float64{}, RequestID(0)
		sent, calls := 0, 0
		follow := func(harness *gatewayHarness, actions []Action) {
			for _, action := range actions {
				switch action := action.(type) {
				case Count:
					calls++
					messages = append(messages, message{at: harness.now + delay, by: harness, call: action})
				case Send:
					sent++
					harness.handle(AttemptEnd{Request: action.Request, Backend: action.Backend, Took: 0.01, Done: true})
				}
			}
		}
		now := 100.0
		simulate := func(span, perSecond float64) (requested, admitted, callsMade int) {
			sent, calls = 0, 0
			for until := now + span; now < until; now += 0.002 {
				for len(messages) > 0 && messages[0].at <= now {
					first := messages[0]
					messages = messages[1:]
					if first.by.now = now; first.reply {
						follow(first.by, first.by.handle(CounterReply{Name: first.call.Name, Total: first.call.Amount}))
						continue
					}
					totals[first.call.Name] += first.call.Amount
					first.call.Amount = totals[first.call.Name]
					messages = append(messages, message{at: now + delay, by: first.by, call: first.call, reply: true})
				}
				if rng.Float64() < perSecond*0.002 {
					harness := harnesses[rng.IntN(gateways)]
					harness.now = now
					id, requested = id+1, requested+1
					follow(harness, harness.handle(Request{ID: id, Units: 1, GatewayCount: gateways, Customer: 5, Deadline: now + 2}))
				}
			}
			return requested, sent, calls
		}
		for range 3 {
			requested, admitted, callsMade := simulate(20, rate/3)
			if admitted < requested-2 {
				t.Errorf("seed %d: %d of %d admitted at a third of the quota", seed, admitted, requested)
			}
			if callsMade > 2*requested {
				t.Errorf("seed %d: %d calls for %d requests", seed, callsMade, requested)
			}
			_, admitted, _ = simulate(1, 40) // the bucket is full
			if n := float64(admitted); n < burst || n > burst*(1+refillLagFraction)+rate+1 {
				t.Errorf("seed %d: %v of a burst admitted, want about %v", seed, n, burst+rate)
			}
			windows := len(totals)
			_, admitted, _ = simulate(15, 10)
			limit := 1.1*rate*15 + float64(len(totals)-windows)*burst // a new window starts full
			if n := float64(admitted); n < 0.8*rate*15 || n > limit {
				t.Errorf("seed %d: %v admitted while the bucket is empty, want about %v", seed, n, rate*15)
			}
		}
	}
}

// A call without an answer grants nothing beyond the local allowance.
func TestUnansweredCallGrantsOnlyTheLocalAllowance(t *testing.T) {
	harness := newHarness(t, testSettings(), readyBackends(2)...)
	sent, refused := 0, 0
	for i := range 10 {
		actions := harness.handle(Request{ID: RequestID(i + 1), Units: 1, GatewayCount: 2, Customer: 5, Deadline: harness.now + 2})
		for _, call := range actionsOf[Count](actions) {
			actions = append(actions, harness.handle(CounterReply{Name: call.Name, Outcome: TimedOut})...)
		}
		for _, send := range actionsOf[Send](actions) {
			sent++
			harness.handle(AttemptEnd{Request: send.Request, Backend: send.Backend, Took: 0.01, Done: true})
		}
		refused += len(actionsOf[Refuse](actions))
	}
	if sent != 2 || refused != 0 {
		t.Errorf("sent %d and refused %d at once, want burst/gateways = 2 and none: the rest stays queued", sent, refused)
	}
	harness.now += 0.79
	for i := range 10 {
		refused += len(actionsOf[Refuse](harness.handle(Timer{Token: timerAnswerBy<<56 | uint64(i+1)})))
	}
	if refused != 8 {
		t.Errorf("sent %d and refused %d, want burst/gateways = 2 and 8", sent, refused)
	}
}

// The ceiling holds for any order of calls, with crashes of gateways and outages of the counter.
func TestCeilingHoldsForAnyOrderOfCalls(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		plan := Plan{Price: 1, Rate: 10, Burst: 10, OverQuotaCost: 1, CeilingRate: 17, CeilingBurst: 17, CeilingSlack: 1.7}
		settings := testSettings()
		settings.Plans[0], settings.MaxUnits = plan, 1
		gateways := []int{3, 8, 40}[seed%3]
		var harnesses []*gatewayHarness
		for range gateways {
			harnesses = append(harnesses, newHarness(t, settings, readyBackends(30)...))
		}
		totals, bucket, id := map[uint64]float64{}, plan.CeilingBurst, RequestID(0)
		for step := range 40000 {
			now := 100 + float64(step)*0.002
			bucket = min(bucket+plan.CeilingRate*0.002, plan.CeilingBurst)
			index := rng.IntN(gateways)
			harness := harnesses[index]
			harness.now = now
			id++
			var pending []Action
			if now < 102 || rng.Float64() < 0.2+0.2*math.Sin(now) || math.Mod(now, 19) < 7 {
				pending = harness.handle(Request{ID: id, Units: 1, GatewayCount: gateways, Customer: 5, Deadline: now + 2})
			} else if step%9 == 0 {
				pending = harness.handle(Timer{Token: timerHousekeeping << 56})
			}
			if rng.IntN(8000) == 0 { // the gateway crashes and loses its state
				harnesses[index] = newHarness(t, settings, readyBackends(30)...)
				continue
			}
			for len(pending) > 0 {
				action := pending[0]
				pending = pending[1:]
				switch action := action.(type) {
				case Send:
					bucket--
					pending = append(pending, harness.handle(AttemptEnd{Request: action.Request, Backend: action.Backend, Took: 0.01, Done: true})...)
				case Count:
					outcome := Served
					if phase := math.Mod(now, 19); phase < 4 { // no answers, then a counter without data
						totals, outcome = map[uint64]float64{}, TimedOut
					}
					totals[action.Name] += action.Amount
					if rng.IntN(50) == 0 {
						outcome = []Outcome{TimedOut, Broken, Errored}[rng.IntN(3)] // added, but the total is lost
					}
					pending = append(pending, harness.handle(CounterReply{Name: action.Name, Outcome: outcome, Total: totals[action.Name]})...)
				}
			}
			if bucket < -plan.CeilingSlack {
				t.Fatalf("seed %d: the bucket of the ceiling is at %.2f after %.1f s", seed, bucket, now-100)
			}
		}
	}
}

// Settled units are part of the next lease: a debt is covered by the same call, and a surplus is used
// first.
func TestLeaseIncludesSettledUnits(t *testing.T) {
	settings := testSettings()
	settings.UnitsEstimated, settings.MaxUnits = true, 4
	harness := newHarness(t, settings, readyBackends(4)...)
	total := 0.0
	request := func(units, wantRequested, actual float64) {
		t.Helper()
		harness.nextID++
		pending := harness.handle(Request{ID: harness.nextID, Plan: 1, Units: units, GatewayCount: 5000, Customer: 5, Deadline: harness.now + 2})
		first, sent := 0.0, false
		for ; len(pending) > 0; pending = pending[1:] {
			switch action := pending[0].(type) {
			case Count:
				if first == 0 {
					first = action.Amount
				} else if !sent && harness.nextID > 1 { // the very first call creates the window
					t.Errorf("a second call, for %v units, before the request was sent", action.Amount)
				}
				total += action.Amount
				pending = append(pending, harness.handle(CounterReply{Name: action.Name, Total: total})...)
			case Send:
				sent = true
				pending = append(pending, harness.handle(AttemptEnd{Request: action.Request, Backend: action.Backend, Outcome: Served, Took: 0.1,
					Done: true, Units: actual})...)
			}
		}
		if first != wantRequested || !sent {
			t.Errorf("requested %v units, want %v; sent: %v, want true", first, wantRequested, sent)
		}
	}
	request(1, 1, 3) // two more than estimated
	request(1, 3, 1)
	request(3, 3, 1) // two less than estimated
	request(2, 0, 2)
	request(1, 1, 1)
}

// Many gateways must not lease the whole burst of a customer; one with much of the demand may lease more.
func TestLeasesOfManyGatewaysFollowTheirDemand(t *testing.T) {
	harness := newHarness(t, testSettings(), readyBackends(4)...)
	totals, lastLease := map[uint64]float64{}, 0.0
	request := func() {
		harness.nextID++
		pending := harness.handle(Request{ID: harness.nextID, Plan: 1, Units: 1, GatewayCount: 9, Customer: 5, Deadline: harness.now + 2})
		for ; len(pending) > 0; pending = pending[1:] {
			switch action := pending[0].(type) {
			case Count:
				if totals[action.Name] += action.Amount; action.Amount > 0 && action.Amount < 40 {
					lastLease = action.Amount
				}
				pending = append(pending, harness.handle(CounterReply{Name: action.Name, Total: totals[action.Name]})...)
			case Send:
				pending = append(pending, harness.handle(AttemptEnd{Request: action.Request, Backend: action.Backend, Outcome: Served, Done: true})...)
			}
		}
	}
	for range 3 {
		if request(); lastLease != 1 {
			t.Errorf("leased %v units for one request of a customer with low demand, want 1", lastLease)
		}
		harness.now += 3
	}
	for range 40 {
		harness.now += 0.1
		request()
	}
	if lastLease < 3 {
		t.Errorf("leased %v units for a customer with ten requests per second, want at least 3", lastLease)
	}
}

// A gateway with very little demand leases only the units of the request.
func TestLeaseForASingleRequestLeavesNoIdleUnits(t *testing.T) {
	harness := newHarness(t, testSettings(), readyBackends(4)...)
	for i := range 20 { // one request in ten seconds at this gateway
		harness.now += 10
		actions := harness.handle(Request{ID: RequestID(i + 1), Plan: 1, Units: 1, GatewayCount: 100, Customer: 5, Deadline: harness.now + 2})
		if call := onlyAction[Count](t, actions); call.Amount != 1 {
			t.Fatalf("leased %v units for one request, want 1", call.Amount)
		}
		for len(actions) > 0 {
			switch action := actions[0].(type) {
			case Count:
				actions = append(actions, harness.handle(CounterReply{Name: action.Name, Total: action.Amount})...)
			case Send:
				harness.handle(AttemptEnd{Request: action.Request, Backend: action.Backend, Took: 0.1, Done: true})
			}
			actions = actions[1:]
		}
	}
}

// Units of an expired lease must not stay spent on the counter.
func TestIdleUnitsAreReturnedToTheCounter(t *testing.T) {
	totals, id, customer := map[uint64]float64{}, RequestID(0), CustomerID(5)
	var run func(harness *gatewayHarness, actions []Action) int
	run = func(harness *gatewayHarness, actions []Action) (sent int) { // counts the attempts
		for _, action := range actions {
			switch action := action.(type) {
			case Send:
				sent++
				harness.handle(AttemptEnd{Request: action.Request, Backend: action.Backend, Took: 0.1, Done: true})
			case Count:
				totals[action.Name] += action.Amount
				sent += run(harness, harness.handle(CounterReply{Name: action.Name, Total: totals[action.Name]}))
			}
		}
		return sent
	}
	request := func(harness *gatewayHarness, n int) (sent int) {
		for range n {
			id++
			sent += run(harness, harness.handle(Request{ID: id, Plan: 1, Units: 1, GatewayCount: 2, Customer: customer, Deadline: harness.now + 2}))
		}
		return sent
	}
	busy, idle := newHarness(t, testSettings(), readyBackends(4)...), newHarness(t, testSettings(), readyBackends(4)...)
	if n := request(busy, 20) + request(idle, 1); n != 21 { // of a burst of 40; the idle gateway has leased the rest
		t.Fatalf("sent %d of 21", n)
	}
	busy.now, idle.now = 100.51, 100.51 // the lease has expired, and the bucket has gained 10 units
	run(idle, idle.handle(Timer{Token: timerHousekeeping << 56}))
	if n := request(busy, 25); n != 25 {
		t.Errorf("sent %d of 25 requests that the bucket allows", n)
	}
	// While the bucket is not low, idle units are returned with the next lease.
	customer = 6
	request(idle, 1)
	idle.now += 0.51
	run(idle, idle.handle(Timer{Token: timerHousekeeping << 56}))
	request(idle, 1)
	quota := idle.gateway.customers[6]
	fullTotal := idle.gateway.advanceWindow(quota)
	if outstanding := totals[quota.counterName] - fullTotal; outstanding > 4 {
		t.Errorf("%.1f units are missing from the bucket, want at most 4", outstanding)
	}
}

// A correction lost with its connection is repeated if the total shows that it was not added.
func TestLostCorrectionIsRepeated(t *testing.T) {
	for _, added := range []bool{false, true} {
		harness := newHarness(t, testSettings(), readyBackends(4)...)
		first := onlyAction[Count](t, harness.handle(Request{ID: 1, Plan: 1, Units: 1, GatewayCount: 2, Customer: 5, Deadline: harness.now + 2}))
		// Another gateway has written off the same refill and taken 30 of the burst of 40, so 11 of the
		// 21 requested units are too many.
		refill := first.Amount - 21
		total := refill + 30 + first.Amount
		excess := onlyAction[Count](t, harness.handle(CounterReply{Name: first.Name, Total: total}))
		if math.Abs(excess.Amount+refill+11) > 1e-6 {
			t.Fatalf("returned %v units, want %v", -excess.Amount, refill+11)
		}
		if added {
			total += excess.Amount
		}
		query := onlyAction[Count](t, harness.handle(CounterReply{Name: excess.Name, Outcome: Broken}))
		if query.Amount != 0 {
			t.Fatalf("added %v although the total is unknown", query.Amount)
		}
		repeated := actionsOf[Count](harness.handle(CounterReply{Name: query.Name, Total: total}))
		switch {
		case added && len(repeated) > 0:
			t.Errorf("returned twice: %v", repeated)
		case !added && (len(repeated) != 1 || repeated[0].Amount != excess.Amount):
			t.Errorf("not returned: %v", repeated)
		}
	}
	// A rejected call has added nothing: its amount goes with the next call.
	harness := newHarness(t, testSettings(), readyBackends(4)...)
	first := onlyAction[Count](t, harness.handle(Request{ID: 1, Plan: 1, Units: 1, GatewayCount: 2, Customer: 5, Deadline: harness.now + 2}))
	excess := onlyAction[Count](t, harness.handle(CounterReply{Name: first.Name, Total: 2*first.Amount + 9}))
	harness.handle(CounterReply{Name: excess.Name, Outcome: ConnectFailed})
	if quota := harness.gateway.customers[5]; quota.idleUnits != -excess.Amount {
		t.Errorf("%v units to be returned, want %v", quota.idleUnits, -excess.Amount)
	}
}

// A lease beyond the content of the bucket would need a correction.
func TestLeaseRequestsNoMoreThanTheBucketHolds(t *testing.T) {
	harness := newHarness(t, testSettings(), readyBackends(4)...)
	request := func(id RequestID) []Action {
		return harness.handle(Request{ID: id, Plan: 1, Units: 1, GatewayCount: 2, Customer: 5, Deadline: harness.now + 2})
	}
	first := onlyAction[Count](t, request(1))
	refill := first.Amount - 21
	actions := harness.handle(CounterReply{Name: first.Name, Total: refill + 15 + first.Amount}) // another gateway has taken 15 of 40
	for _, call := range actionsOf[Count](actions) {
		harness.handle(CounterReply{Name: call.Name, Total: refill + 36})
	}
	for id := RequestID(2); id <= 21; id++ { // the rest of the lease
		if n := len(actionsOf[Count](request(id))); n > 0 {
			t.Fatalf("request %d: %d calls", id, n)
		}
	}
	if call := onlyAction[Count](t, request(22)); call.Amount != 4 {
		t.Errorf("requested %v units of a bucket that holds 4", call.Amount)
	}
}

// A request that is already late must not take scarce units from one that can still be in time; once
// admitted, a late answer still earns something.
func TestRequestWithoutUnitsIsRejectedAtItsAim(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].LateWorth, settings.Classes[0].Deadline = 0.2, 10
	harness := newHarness(t, settings) // without backends, admitted requests stay queued
	request := func(id RequestID) (actions []Action, sendByTimer SetTimer) {
		actions = harness.handle(Request{ID: id, Units: 1, GatewayCount: 2, Customer: 5, Deadline: harness.now + 10})
		for _, timer := range actionsOf[SetTimer](actions) {
			if timer.Token>>56 == timerSendBy {
				sendByTimer = timer
			}
		}
		return actions, sendByTimer
	}
	actions, admitted := request(1)
	harness.handle(CounterReply{Name: onlyAction[Count](t, actions).Name, Total: 1})
	harness.gateway.customers[5].leasedUnits = 0 // spent by other requests
	actions, notAdmitted := request(2)
	call := onlyAction[Count](t, actions)
	if math.Abs(admitted.Delay-0.8) > 1e-6 || math.Abs(notAdmitted.Delay-0.8) > 1e-6 {
		t.Fatalf("timers after %v and %v, want the aim", admitted.Delay, notAdmitted.Delay)
	}
	harness.now += 0.8
	if next := onlyAction[SetTimer](t, harness.handle(Timer{Token: admitted.Token})); next.Delay < 9 {
		t.Errorf("the next timer of the admitted request is after %v, want its deadline", next.Delay)
	}
	if r := onlyAction[Refuse](t, harness.handle(Timer{Token: notAdmitted.Token})); r.Request != 2 {
		t.Errorf("refused request %d, want 2", r.Request)
	}
	harness.handle(CounterReply{Name: call.Name, Outcome: TimedOut})
}

// A single rejected call does not reject the request: it waits for the next call.
func TestRequestStaysQueuedForTheNextCall(t *testing.T) {
	harness := newHarness(t, testSettings(), readyBackends(4)...)
	actions := harness.handle(Request{ID: 1, Units: 1, GatewayCount: 100, Customer: 5, Deadline: harness.now + 2})
	harness.gateway.customers[5].localUnits = 0
	actions = harness.handle(CounterReply{Name: onlyAction[Count](t, actions).Name, Outcome: Full})
	if len(actionsOf[Refuse](actions)) > 0 {
		t.Fatal("refused although most calls are answered")
	}
	harness.now += initialCounterBackoff + housekeepingInterval
	actions = harness.handle(Timer{Token: timerHousekeeping << 56})
	onlyAction[Send](t, harness.handle(CounterReply{Name: onlyAction[Count](t, actions).Name, Total: 1}))
}

// With a high failure rate of the counter, requests beyond the local allowance are refused at once.
func TestRequestIsNotQueuedForAFailingCounter(t *testing.T) {
	harness := newHarness(t, testSettings(), readyBackends(4)...)
	harness.gateway.counterFailureRate = 0.2
	for i := range 3 {
		actions := harness.handle(Request{ID: RequestID(i + 1), Units: 1, GatewayCount: 100, Customer: 5, Deadline: harness.now + 2})
		for _, call := range actionsOf[Count](actions) {
			actions = append(actions, harness.handle(CounterReply{Name: call.Name, Outcome: TimedOut})...)
		}
		if i == 0 {
			onlyAction[Send](t, actions) // from the local allowance
		} else {
			onlyAction[Refuse](t, actions)
		}
	}
}

// A customer served by leases has its local allowance from the first second of an outage.
func TestLeasesDoNotOverdrawTheLocalAllowance(t *testing.T) {
	settings := testSettings()
	settings.CanHedge = false
	harness := newHarness(t, settings, readyBackends(4)...)
	totals, down := map[uint64]float64{}, false
	sent := 0
	// follow answers counter calls and attempts until there are no more.
	follow := func(actions []Action) {
		for len(actions) > 0 {
			var next []Action
			for _, call := range actionsOf[Count](actions) {
				totals[call.Name] += call.Amount
				reply := CounterReply{Name: call.Name, Total: totals[call.Name]}
				if down {
					reply = CounterReply{Name: call.Name, Outcome: TimedOut}
				}
				next = append(next, harness.handle(reply)...)
			}
			for _, send := range actionsOf[Send](actions) {
				sent++
				next = append(next, harness.handle(AttemptEnd{Request: send.Request, Backend: send.Backend, Outcome: Served})...)
			}
			actions = next
		}
	}
	request := func() {
		harness.now += 0.25
		follow(harness.handle(Timer{Token: timerHousekeeping << 56}))
		harness.nextID++
		follow(harness.handle(Request{ID: harness.nextID, Customer: 1, Units: 1, GatewayCount: 2, Deadline: harness.now + 2}))
	}
	for range 40 {
		request() // four units per second; the quota is two, the local allowance one
	}
	if quota := harness.gateway.customers[1]; sent < 20 || quota.leasedUnits >= 1 {
		t.Fatalf("sent %d, %f leased units left, want at least 20 and less than 1", sent, quota.leasedUnits)
	}
	sent, down = 0, true
	for range 12 { // 3 s
		request()
	}
	if sent < 2 || sent > 4 { // one unit per second at this gateway
		t.Errorf("sent %d in 3 s of an outage, want 2 to 4", sent)
	}
}
