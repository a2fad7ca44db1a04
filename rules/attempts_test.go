package rules

import "testing"

// A keyed request that may have run is resent only within the cell that drops duplicates, only while its
// key is remembered, and never refused.
func TestKeyedRetryStaysInItsCellAndEndsInFailure(t *testing.T) {
	harness := newHarness(t, testSettings(), readyBackends(6)...)
	id := harness.request(1, 1, 1)
	first := onlyAction[Send](t, harness.last)
	harness.now += 0.05
	actions := harness.handle(AttemptEnd{Request: id, Backend: first.Backend, Outcome: Errored, Took: 0.05})
	second := onlyAction[Send](t, actions)
	if first.Backend/2 != second.Backend/2 {
		t.Errorf("retry went from backend %d to %d, in another cell", first.Backend, second.Backend)
	}
	if window := harness.gateway.settings.Classes[1].DedupeWindow; first.WriteDeadline != 0 || second.WriteDeadline >= 100+window || second.WriteDeadline < 100+window-0.01 {
		t.Errorf("write deadlines %v and %v, want none and one shortly before %v, when the key expires", first.WriteDeadline, second.WriteDeadline, 100+window)
	}
	harness.now += 0.9
	actions = harness.handle(Timer{Token: timerAnswerBy<<56 | uint64(id)})
	if len(actionsOf[Refuse](actions)) > 0 {
		t.Error("refused a keyed request that may have run, want Fail")
	}
	onlyAction[Fail](t, actions)
}

// A request that may run only once is resent only after an outcome that proves it did not run.
func TestOnceIsResentOnlyIfItDidNotRun(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].Effect = Once
	for _, test := range []struct {
		outcome Outcome
		more    bool
	}{{Full, true}, {ConnectFailed, true}, {Errored, false}, {Broken, false}, {TimedOut, false}} {
		harness := newHarness(t, settings, readyBackends(4)...)
		id := harness.request(0, 1, 1)
		first := onlyAction[Send](t, harness.last)
		actions := harness.handle(AttemptEnd{Request: id, Backend: first.Backend, Outcome: test.outcome, Took: 0.01})
		if got := len(actionsOf[Send](actions)) == 1; got != test.more {
			t.Errorf("outcome %v: resent %v, want %v", test.outcome, got, test.more)
		}
		if !test.more && len(actionsOf[Fail](actions)) != 1 {
			t.Errorf("outcome %v: want one Fail, got %v", test.outcome, actions)
		}
	}
}

// Draining and delisted backends get no attempts.
func TestNothingGoesToADrainingBackend(t *testing.T) {
	harness := newHarness(t, testSettings(), readyBackends(2)...)
	harness.handle(Backends{Kind: Delta, Entries: []Backend{{ID: 1, State: Draining}}})
	for range 8 {
		harness.request(0, 1, 1)
		for _, send := range actionsOf[Send](harness.last) {
			if send.Backend == 1 {
				t.Fatal("sent to a draining backend")
			}
		}
	}
	harness.handle(Backends{Kind: FullList})
	harness.request(0, 1, 1)
	if n := len(actionsOf[Send](harness.last)); n > 0 {
		t.Error("sent to a backend that is missing from the full list")
	}
}

// A backend that fails at once looks fast and idle, and must not attract requests by that.
func TestFastFailuresDoNotAttractTraffic(t *testing.T) {
	harness := newHarness(t, testSettings(), readyBackends(6)...)
	sentToFailing := 0
	for i := range 300 {
		harness.now += 0.01
		harness.request(0, 1, CustomerID(i%5))
		pending := harness.last
		for len(pending) > 0 {
			for _, send := range actionsOf[Send](pending[:1]) {
				outcome := Served
				if send.Backend == 3 {
					outcome = Errored
					sentToFailing++
				}
				n := len(harness.gateway.requests[send.Request].attempts) - 1
				pending = append(pending, harness.handle(AttemptEnd{Request: send.Request, Attempt: n, Backend: send.Backend, Outcome: outcome,
					Took: 0.002, Done: outcome == Served})...)
			}
			pending = pending[1:]
		}
	}
	if sentToFailing > 20 {
		t.Errorf("%d of 300 requests went to the backend that fails at once, want at most 20", sentToFailing)
	}
}

// A timed-out attempt stays counted in flight, since its backend may still process it.
func TestAbandonedAttemptsStayCounted(t *testing.T) {
	settings := testSettings()
	settings.MaxAttempts = 1
	harness := newHarness(t, settings, readyBackends(1)...)
	harness.gateway.concurrencyLimit, harness.gateway.latency = 3.4, 0.5
	for i := range 3 {
		harness.request(0, 1, CustomerID(i))
		send := onlyAction[Send](t, harness.last)
		harness.now += 0.1
		harness.handle(AttemptEnd{Request: send.Request, Backend: 1, Outcome: TimedOut, Took: 0.1})
	}
	harness.request(0, 1, 9)
	if n := len(actionsOf[Send](harness.last)); n > 0 {
		t.Error("a timed-out attempt is not counted in flight, although its backend may still process it")
	}
}

// Attempts at an unreachable zone must not use up the small concurrency limit of one gateway in a large
// fleet.
func TestOverdueAttemptsDoNotUseUpASmallLimit(t *testing.T) {
	for _, test := range []struct {
		fleet int
		limit float64
		sends int // attempts started when the first ones become overdue
	}{{80, 3, 3}, {3, 20, 0}} {
		settings := testSettings()
		settings.Fleet, settings.CanHedge, settings.Plans[1].Rate = test.fleet, false, 0
		harness := newHarness(t, settings, readyBackends(60)...)
		harness.gateway.concurrencyLimit, harness.gateway.latency, harness.gateway.spread = test.limit, 0.1, 0.02
		var late []SetTimer
		for range int(test.limit) + 3 {
			harness.request(1, 1, 5)
			for _, timer := range actionsOf[SetTimer](harness.last) {
				if timer.Token>>56 == timerOverdue {
					late = append(late, timer)
				}
			}
		}
		if len(late) != int(test.limit) {
			t.Fatalf("%d attempts in flight with a limit of %v", len(late), test.limit)
		}
		harness.now += late[0].Delay
		sends := 0
		for _, timer := range late {
			sends += len(actionsOf[Send](harness.handle(Timer{Token: timer.Token})))
		}
		if sends != test.sends {
			t.Errorf("limit %v: %d more attempts when all were overdue, want %d", test.limit, sends, test.sends)
		}
		for _, timer := range late { // ends of overdue attempts do not reduce the count again
			harness.handle(AttemptEnd{Request: RequestID(uint32(timer.Token)), Backend: harness.gateway.requests[RequestID(uint32(timer.Token))].attempts[0].target.ID,
				Outcome: Served, Done: true})
		}
		if harness.gateway.inFlight < 0 || harness.gateway.inFlight > int(test.limit) {
			t.Errorf("%d attempts in flight at the end, want 0 to the limit", harness.gateway.inFlight)
		}
	}
}

// The retry budget limits the attempts when every attempt fails.
func TestRetriesCannotAmplifyAnOutage(t *testing.T) {
	harness := newHarness(t, testSettings(), readyBackends(8)...)
	harness.gateway.concurrencyLimit = 1000
	sends := 0
	for i := range 400 {
		harness.now += 0.05
		harness.request(0, 1, CustomerID(i))
		pending := harness.last
		for len(pending) > 0 {
			for _, send := range actionsOf[Send](pending[:1]) {
				sends++
				n := len(harness.gateway.requests[send.Request].attempts) - 1
				pending = append(pending, harness.handle(AttemptEnd{Request: send.Request, Attempt: n, Backend: send.Backend, Outcome: Errored,
					Took: 0.001})...)
			}
			pending = pending[1:]
		}
	}
	if limit := 400*(1+retryFraction) + maxRetryBudget + 1; float64(sends) > limit {
		t.Errorf("%d attempts for 400 requests that all fail, want at most %v", sends, limit)
	}
}

// A client retry whose aim has passed is refused once the usual client timeout is known.
func TestClientRetryAfterItsAimIsRefused(t *testing.T) {
	settings := testSettings()
	harness := newHarness(t, settings, readyBackends(4)...)
	send := func(id RequestID, remaining float64) int {
		actions := harness.handle(Request{ID: id, Plan: 1, Units: 1, GatewayCount: 2, Customer: 5, Deadline: harness.now + remaining})
		actions = append(actions, harness.answerCalls(actions)...)
		for _, send := range actionsOf[Send](actions) {
			harness.now += 0.1
			harness.handle(AttemptEnd{Request: id, Backend: send.Backend, Took: 0.1, Done: true})
		}
		return len(actionsOf[Send](actions))
	}
	if send(1, 0.9) != 1 {
		t.Error("refused a request although the usual client timeout is unknown")
	}
	for id := range RequestID(4) {
		if send(10+id, 1.4) != 1 {
			t.Error("refused a first request")
		}
	}
	// The client has spent 1.1 s of its 2 s, and the aim is 0.8 s.
	if send(20, 0.9) != 0 {
		t.Error("sent a client retry whose aim has passed")
	}
	if send(21, 1.8) != 1 {
		t.Error("refused a client retry that has most of its aim left")
	}
}
