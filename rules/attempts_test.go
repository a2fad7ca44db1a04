package rules

import "testing"

func TestKeyedRepeatStaysInItsCellAndEndsInFailure(t *testing.T) {
	harness := start(t, testSettings(), some(6)...)
	id := harness.ask(1, 1, 1)
	first := one[Send](t, harness.last)
	harness.now += 0.05
	actions := harness.handle(AttemptEnd{Request: id, Backend: first.Backend, Outcome: Errored, Took: 0.05})
	second := one[Send](t, actions)
	if first.Backend/2 != second.Backend/2 {
		t.Errorf("repeat went from backend %d to %d, another cell", first.Backend, second.Backend)
	}
	if window := harness.gateway.settings.Classes[1].DedupeWindow; first.WriteDeadline != 0 || second.WriteDeadline >= 100+window || second.WriteDeadline < 100+window-0.01 {
		t.Errorf("to be written before %v and %v, its key is kept until %v", first.WriteDeadline, second.WriteDeadline, 100+window)
	}
	harness.now += 0.9
	actions = harness.handle(Timer{Token: timerAnswerBy<<56 | uint64(id)})
	if len(find[Refuse](actions)) > 0 {
		t.Error("refused a keyed request that may have run")
	}
	one[Fail](t, actions)
}

func TestOnceIsRepeatedOnlyAfterProof(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].Effect = Once
	for _, c := range []struct {
		how  Outcome
		more bool
	}{{Full, true}, {ConnectFailed, true}, {Errored, false}, {Broken, false}, {TimedOut, false}} {
		harness := start(t, settings, some(4)...)
		id := harness.ask(0, 1, 1)
		first := one[Send](t, harness.last)
		actions := harness.handle(AttemptEnd{Request: id, Backend: first.Backend, Outcome: c.how, Took: 0.01})
		if got := len(find[Send](actions)) == 1; got != c.more {
			t.Errorf("outcome %v: another attempt %v, want %v", c.how, got, c.more)
		}
		if !c.more && len(find[Fail](actions)) != 1 {
			t.Errorf("outcome %v: not failed: %v", c.how, actions)
		}
	}
}

func TestNothingGoesToADrainingBackend(t *testing.T) {
	harness := start(t, testSettings(), some(2)...)
	harness.handle(Backends{Kind: Delta, Entries: []Backend{{ID: 1, State: Draining}}})
	for range 8 {
		harness.ask(0, 1, 1)
		for _, send := range find[Send](harness.last) {
			if send.Backend == 1 {
				t.Fatal("sent to a draining backend")
			}
		}
	}
	harness.handle(Backends{Kind: FullList})
	harness.ask(0, 1, 1)
	if n := len(find[Send](harness.last)); n > 0 {
		t.Error("sent to a backend that a full list no longer names")
	}
}

func TestFastFailuresDoNotAttractTraffic(t *testing.T) {
	harness := start(t, testSettings(), some(6)...)
	toBad := 0
	for i := range 300 {
		harness.now += 0.01
		harness.ask(0, 1, CustomerID(i%5))
		todo := harness.last
		for len(todo) > 0 {
			for _, send := range find[Send](todo[:1]) {
				how := Served
				if send.Backend == 3 {
					how = Errored
					toBad++
				}
				n := len(harness.gateway.requests[send.Request].attempts) - 1
				todo = append(todo, harness.handle(AttemptEnd{Request: send.Request, Attempt: n, Backend: send.Backend, Outcome: how,
					Took: 0.002, Done: how == Served})...)
			}
			todo = todo[1:]
		}
	}
	if toBad > 20 {
		t.Errorf("%d of 300 went to the backend that fails at once", toBad)
	}
}

func TestGivenUpAttemptsStayCounted(t *testing.T) {
	settings := testSettings()
	settings.MaxAttempts = 1
	harness := start(t, settings, some(1)...)
	harness.gateway.concurrencyLimit, harness.gateway.latency = 3.4, 0.5
	for i := range 3 {
		harness.ask(0, 1, CustomerID(i))
		send := one[Send](t, harness.last)
		harness.now += 0.1
		harness.handle(AttemptEnd{Request: send.Request, Backend: 1, Outcome: TimedOut, Took: 0.1})
	}
	harness.ask(0, 1, 9)
	if n := len(find[Send](harness.last)); n > 0 {
		t.Error("a timed-out attempt made room although its backend may still work on it")
	}
}

// Attempts at a lost zone must not hold all that one of many gateways may have in flight.
func TestSilentBackendsLeaveASmallBound(t *testing.T) {
	for _, c := range []struct {
		fleet int
		bound float64
		sends int // once the first attempts are late
	}{{80, 3, 3}, {3, 20, 0}} {
		settings := testSettings()
		settings.Fleet, settings.CanHedge, settings.Plans[1].Rate = c.fleet, false, 0
		harness := start(t, settings, some(60)...)
		harness.gateway.concurrencyLimit, harness.gateway.latency, harness.gateway.spread = c.bound, 0.1, 0.02
		var late []SetTimer
		for range int(c.bound) + 3 {
			harness.ask(1, 1, 5)
			for _, timer := range find[SetTimer](harness.last) {
				if timer.Token>>56 == timerOverdue {
					late = append(late, timer)
				}
			}
		}
		if len(late) != int(c.bound) {
			t.Fatalf("%d attempts in flight with a bound of %v", len(late), c.bound)
		}
		harness.now += late[0].Delay
		sends := 0
		for _, timer := range late {
			sends += len(find[Send](harness.handle(Timer{Token: timer.Token})))
		}
		if sends != c.sends {
			t.Errorf("bound %v: %d more sent when all attempts were late, want %d", c.bound, sends, c.sends)
		}
		for _, timer := range late { // their late ends free nothing twice
			harness.handle(AttemptEnd{Request: RequestID(uint32(timer.Token)), Backend: harness.gateway.requests[RequestID(uint32(timer.Token))].attempts[0].target.ID,
				Outcome: Served, Done: true})
		}
		if harness.gateway.inFlight < 0 || harness.gateway.inFlight > int(c.bound) {
			t.Errorf("%d in flight at the end", harness.gateway.inFlight)
		}
	}
}

func TestRetriesCannotAmplifyAnOutage(t *testing.T) {
	harness := start(t, testSettings(), some(8)...)
	harness.gateway.concurrencyLimit = 1000
	sends := 0
	for i := range 400 {
		harness.now += 0.05
		harness.ask(0, 1, CustomerID(i))
		todo := harness.last
		for len(todo) > 0 {
			for _, send := range find[Send](todo[:1]) {
				sends++
				n := len(harness.gateway.requests[send.Request].attempts) - 1
				todo = append(todo, harness.handle(AttemptEnd{Request: send.Request, Attempt: n, Backend: send.Backend, Outcome: Errored,
					Took: 0.001})...)
			}
			todo = todo[1:]
		}
	}
	if limit := 400*(1+retryFraction) + maxRetryBudget + 1; float64(sends) > limit {
		t.Errorf("%d sends for 400 requests that all fail, want %v at most", sends, limit)
	}
}

func TestRepeatWhoseAimHasPassedIsRefused(t *testing.T) {
	settings := testSettings()
	harness := start(t, settings, some(4)...)
	send := func(id RequestID, left float64) int {
		actions := harness.handle(Request{ID: id, Plan: 1, Units: 1, GatewayCount: 2, Customer: 5, Deadline: harness.now + left})
		actions = append(actions, harness.grantAll(actions)...)
		for _, send := range find[Send](actions) {
			harness.now += 0.1
			harness.handle(AttemptEnd{Request: id, Backend: send.Backend, Took: 0.1, Done: true})
		}
		return len(find[Send](actions))
	}
	if send(1, 0.9) != 1 {
		t.Error("refused with nothing known of how long clients wait")
	}
	for id := range RequestID(4) {
		if send(10+id, 1.4) != 1 {
			t.Error("a first try was refused")
		}
	}
	// Of its two seconds the client has spent 1.1, and the aim is 0.8.
	if send(20, 0.9) != 0 {
		t.Error("sent a repeat that can earn nothing")
	}
	if send(21, 1.8) != 1 {
		t.Error("refused a repeat that has most of its aim left")
	}
}
