package rules

import (
	"math"
	"math/rand/v2"
	"testing"
)

// A cold backend gets some attempts, but not many although it is idle.
func TestColdBackendGetsNoBurst(t *testing.T) {
	cold := Backend{ID: 9, State: Ready, StartedAt: 99.9}
	harness := newHarness(t, testSettings(), append(readyBackends(1), cold)...)
	sentToCold := 0
	var inFlight []Send
	for i := range 200 {
		harness.now = 100 + float64(i)*0.01
		harness.request(0, 1, CustomerID(i))
		for _, send := range actionsOf[Send](harness.last) {
			if send.Backend == 9 {
				sentToCold++
			}
			inFlight = append(inFlight, send)
		}
		if len(inFlight) > 3 { // each attempt takes four steps
			harness.handle(AttemptEnd{Request: inFlight[0].Request, Backend: inFlight[0].Backend, Took: 0.04, Done: true})
			inFlight = inFlight[1:]
		}
		harness.handle(Timer{Token: timerHousekeeping << 56})
	}
	// A warm backend gets 100 requests per second for 2 s; the cold one has 20 % to 36 % of that capacity.
	if sentToCold > 2*2*36 {
		t.Errorf("%d attempts at a cold backend in 2 s, want at most 144", sentToCold)
	}
	if sentToCold == 0 {
		t.Error("a cold backend gets no attempts")
	}
}

// A large fleet, with less than one request per gateway and backend, must use cold backends too, and in
// total no more than their capacity.
func TestLargeFleetRespectsTheCapacityOfAColdBackend(t *testing.T) {
	const fleet, warm, cold, perSecond, serviceTime, span = 80, 20, 30, 400, 0.2, 6.0
	settings := testSettings()
	settings.Fleet, settings.Tick = fleet, 0.001
	settings.Plans[1].Rate = 0
	var backends []Backend
	for i := range warm {
		backends = append(backends, readyBackend(BackendID(i+1)))
	}
	var harnesses []*gatewayHarness
	for rank := range fleet {
		settings.Rank = rank
		harness := &gatewayHarness{t: t, now: 100, nextID: RequestID(rank << 16)}
		harness.gateway, _ = New(settings, uint64(rank), harness.now, nil)
		harness.handle(Backends{Kind: FullList, Entries: backends})
		harnesses = append(harnesses, harness)
	}
	type sent struct {
		by   *gatewayHarness
		send Send
		at   float64
	}
	var inFlight []sent
	rng := rand.New(rand.NewPCG(1, 2))
	sentToCold, sentToWarm := map[BackendID][]float64{}, 0
	step := func(now float64) {
		for len(inFlight) > 0 && inFlight[0].at+serviceTime <= now {
			first := inFlight[0]
			first.by.now, inFlight = now, inFlight[1:]
			for _, send := range actionsOf[Send](first.by.handle(AttemptEnd{Request: first.send.Request, Backend: first.send.Backend, Outcome: Served})) {
				inFlight = append(inFlight, sent{first.by, send, now})
			}
		}
		harness := harnesses[rng.IntN(fleet)]
		harness.now = now
		harness.request(0, 1, CustomerID(rng.IntN(1000)))
		for _, send := range actionsOf[Send](harness.last) {
			inFlight = append(inFlight, sent{harness, send, now})
			if send.Backend <= warm {
				sentToWarm++
			} else {
				sentToCold[send.Backend] = append(sentToCold[send.Backend], now)
			}
		}
	}
	housekeeping := func(now float64) {
		for _, harness := range harnesses {
			harness.now = now
			harness.handle(Timer{Token: timerHousekeeping << 56})
		}
	}
	now := 100.0
	runUntil := func(until float64) {
		for n := 0; now < until; n++ {
			if now += 1.0 / perSecond; n%20 == 0 {
				housekeeping(now)
			}
			step(now)
		}
	}
	runUntil(104)
	var started []Backend
	for i := range cold {
		started = append(started, Backend{ID: BackendID(warm + i + 1), State: Ready, StartedAt: now})
	}
	for _, harness := range harnesses {
		harness.now = now
		harness.handle(Backends{Kind: Delta, Entries: started})
	}
	sentToWarm = 0
	runUntil(now + span)
	warmRate := float64(sentToWarm) / warm / span // per second, for each warm backend
	for _, backend := range started {
		times := sentToCold[backend.ID]
		// During the span its capacity fraction grows from 0.2 to 0.68.
		if n := float64(len(times)); n < 0.2*warmRate*span || n > 0.68*warmRate*span {
			t.Errorf("backend %d got %v attempts in %v s, a warm one %v", backend.ID, n, span, warmRate*span)
		}
		for i := range times {
			n := 0
			for n+i < len(times) && times[n+i] < times[i]+1 {
				n++
			}
			if fraction := 0.2 + 0.08*(times[i]+1-started[0].StartedAt); float64(n) > 2*fraction*warmRate+4 {
				t.Fatalf("backend %d got %d attempts in a second, a warm one %v", backend.ID, n, warmRate)
			}
		}
	}
}

// In a large fleet each gateway keeps to few connections, and all backends still get about the same number
// of attempts.
func TestLargeFleetReusesConnections(t *testing.T) {
	const fleet, backends, perSecond, serviceTime, span = 80, 60, 400, 0.2, 60.0
	settings := testSettings()
	settings.Fleet, settings.Tick, settings.KeepAlive = fleet, 0.001, 15
	settings.Plans[1].Rate = 0
	var harnesses []*gatewayHarness
	for rank := range fleet {
		settings.Rank = rank
		harness := &gatewayHarness{t: t, now: 100, nextID: RequestID(rank << 16)}
		harness.gateway, _ = New(settings, uint64(rank), harness.now, nil)
		harness.handle(Backends{Kind: FullList, Entries: readyBackends(backends)})
		harnesses = append(harnesses, harness)
	}
	type sent struct {
		rank int
		send Send
		at   float64
	}
	var inFlight []sent
	rng := rand.New(rand.NewPCG(1, 2))
	connections, sentTo, total := map[[2]int]bool{}, map[BackendID]float64{}, 0.0
	record := func(rank int, actions []Action, now float64) {
		for _, send := range actionsOf[Send](actions) {
			inFlight = append(inFlight, sent{rank, send, now})
			connections[[2]int{rank, int(send.Backend)}] = true
			sentTo[send.Backend]++
			total++
		}
	}
	for now := 100.0; now < 100+span; now += 1.0 / perSecond {
		for len(inFlight) > 0 && inFlight[0].at+serviceTime <= now {
			first, harness := inFlight[0], harnesses[inFlight[0].rank]
			harness.now, inFlight = now, inFlight[1:]
			record(first.rank, harness.handle(AttemptEnd{Request: first.send.Request, Backend: first.send.Backend, Outcome: Served}), now)
		}
		rank := rng.IntN(fleet)
		harness := harnesses[rank]
		harness.now = now
		harness.request(0, 1, CustomerID(rng.IntN(1000)))
		record(rank, harness.last, now)
	}
	if n := len(connections); n > fleet*backends/2 {
		t.Errorf("%d of %d possible connections used, want at most half", n, fleet*backends)
	}
	for id := range BackendID(backends) {
		if n, mean := sentTo[id+1], total/backends; n < 0.6*mean || n > 1.5*mean {
			t.Errorf("backend %d got %v attempts, want 0.6 to 1.5 times the mean of %v", id+1, n, mean)
		}
	}
}

// While the counter does not answer, present gateways divide the allowances of absent ones, except under a
// ceiling or if most gateways seem absent: two partitions may each consider the other dead.
func TestPresentGatewaysDivideLocalAllowances(t *testing.T) {
	for _, test := range []struct {
		present []bool
		ceiling float64
		want    float64 // units per second at this gateway
	}{
		{nil, 0, 2},
		{[]bool{true, true, true, true, true, true}, 0, 2},
		{[]bool{true, true, false, true, true, true}, 0, 2.5}, // one of the five gateways, 1 to 5, is absent
		{[]bool{false, true, true, true, true, true}, 0, 2},   // the absent one is not among the five
		{[]bool{true, true, false, false, true, true}, 0, 10. / 3},
		{[]bool{true, true, false, false, false, true}, 0, 2},  // most of the five are absent
		{[]bool{true, false, false, true, true, true}, 0, 2.5}, // this gateway, 1, always counts as present
		{[]bool{true, true, false, true, true, true}, 30, 4},   // under a ceiling, absent gateways keep their part
	} {
		settings := testSettings()
		settings.Fleet, settings.Rank = 6, 1
		plan := Plan{Price: 1, Rate: 10, Burst: 40, CeilingRate: test.ceiling, CeilingBurst: 4 * test.ceiling}
		settings.Plans = []Plan{plan}
		harness := newHarness(t, settings, readyBackends(2)...)
		harness.handle(Members{Present: test.present})
		if got := harness.gateway.computeTerms(&plan, 5, 0).localRate; math.Abs(got-test.want) > 1e-9 {
			t.Errorf("%v, ceiling %g: %g units per second, want %g", test.present, test.ceiling, got, test.want)
		}
	}
}

// A failed discovery is retried after a backoff.
func TestFailedDiscoveryIsRetriedAfterABackoff(t *testing.T) {
	settings := testSettings()
	settings.SubscribeToDiscovery = true
	harness := &gatewayHarness{t: t, now: 100}
	harness.gateway, harness.last = New(settings, 7, harness.now, nil)
	onlyAction[Subscribe](t, harness.last)
	actions := harness.handle(Backends{Kind: ListFailed})
	if len(actionsOf[Subscribe](actions)) > 0 {
		t.Error("subscribed again without a backoff")
	}
	timer := onlyAction[SetTimer](t, actions)
	harness.now += timer.Delay
	onlyAction[Subscribe](t, harness.handle(Timer{Token: timer.Token}))
}

// Gateways that fail together must not retry discovery in step.
func TestDiscoveryRetriesOfAFleetAreSpread(t *testing.T) {
	const fleet = 80
	settings := testSettings()
	settings.SubscribeToDiscovery, settings.Fleet = true, fleet
	perSecond := map[int]int{}
	for rank := range fleet {
		settings.Rank = rank
		harness := &gatewayHarness{t: t, now: 100}
		harness.gateway, _ = New(settings, uint64(rank+1), harness.now, nil)
		for harness.now < 160 {
			timer := onlyAction[SetTimer](t, harness.handle(Backends{Kind: ListFailed}))
			if timer.Delay > 3.6 {
				t.Fatalf("backoff of %v s, want at most 3.6 s", timer.Delay)
			}
			harness.now += timer.Delay
			onlyAction[Subscribe](t, harness.handle(Timer{Token: timer.Token}))
			perSecond[int(harness.now-100)]++
		}
		harness.handle(Backends{Kind: Delta})
		if timer := onlyAction[SetTimer](t, harness.handle(Backends{Kind: ListFailed})); timer.Delay > 2*initialDiscoveryBackoff {
			t.Errorf("backoff of %v s after an update, want at most twice the initial one", timer.Delay)
		}
	}
	for second, n := range perSecond {
		if n > 3*fleet/4 || second > 5 && n > 3*fleet/5 {
			t.Errorf("%d subscriptions in second %d", n, second)
		}
	}
}

// A concurrency limit below one attempt applies to the mean number in flight.
func TestLimitBelowOneAttemptAppliesToTheMean(t *testing.T) {
	settings := testSettings()
	settings.Fleet, settings.Counter = 300, false
	harness := newHarness(t, settings, readyBackends(60)...)
	harness.gateway.concurrencyLimit = 0.5 // half an attempt
	var inFlight []Send
	sent, maxInFlight := 0, 0
	for i := range 4000 { // 10 per second; each takes 0.5 s
		harness.now += 0.1
		for len(inFlight) > 0 && harness.now > harness.gateway.requests[inFlight[0].Request].attempts[0].sent+0.5 {
			harness.handle(AttemptEnd{Request: inFlight[0].Request, Backend: inFlight[0].Backend, Took: 0.5, Outcome: Full})
			inFlight = inFlight[1:]
		}
		harness.gateway.concurrencyLimit = 0.5
		harness.gateway.retryBudget = 0
		harness.nextID++
		sends := actionsOf[Send](harness.handle(Request{ID: harness.nextID, Plan: 1, Units: 1, GatewayCount: 300, Customer: CustomerID(i),
			Deadline: harness.now + 2}))
		for _, id := range []RequestID{harness.nextID, harness.nextID - 8} {
			harness.handle(Timer{Token: timerAnswerBy<<56 | uint64(id)})
		}
		sent += len(sends)
		inFlight = append(inFlight, sends...)
		maxInFlight = max(maxInFlight, harness.gateway.inFlight)
	}
	mean := float64(sent) * 0.5 / 400
	if mean > 0.75 || mean < 0.2 {
		t.Errorf("%.2f attempts in flight on average with a limit of 0.5, want 0.2 to 0.75", mean)
	}
	if maxInFlight < 1 || maxInFlight > 3 {
		t.Errorf("at most %d attempts in flight at once, want 1 to 3", maxInFlight)
	}
}

// State of backends that are gone does not accumulate.
func TestGoneBackendsAreRemoved(t *testing.T) {
	harness := newHarness(t, testSettings(), readyBackends(3)...)
	for i := range 50 {
		id := BackendID(10 + i)
		harness.handle(Backends{Kind: Delta, Entries: []Backend{readyBackend(id)}})
		harness.handle(Backends{Kind: Delta, Entries: []Backend{{ID: id, State: Gone}}})
		harness.now += 0.05
		harness.handle(Timer{Token: timerHousekeeping << 56})
	}
	if len(harness.gateway.backendList) != 3 || len(harness.gateway.backendByID) != 3 {
		t.Errorf("%d listed and %d known backends, want 3", len(harness.gateway.backendList), len(harness.gateway.backendByID))
	}
}
