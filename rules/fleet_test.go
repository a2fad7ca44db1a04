package rules

import (
	"math"
	"math/rand/v2"
	"testing"
)

func TestColdBackendGetsNoBurst(t *testing.T) {
	cold := Backend{ID: 9, State: Ready, StartedAt: 99.9}
	harness := start(t, testSettings(), append(some(1), cold)...)
	toCold := 0
	var out []Send
	for i := range 200 {
		harness.now = 100 + float64(i)*0.01
		harness.ask(0, 1, CustomerID(i))
		for _, send := range find[Send](harness.last) {
			if send.Backend == 9 {
				toCold++
			}
			out = append(out, send)
		}
		if len(out) > 3 { // each takes four steps
			harness.handle(AttemptEnd{Request: out[0].Request, Backend: out[0].Backend, Took: 0.04, Done: true})
			out = out[1:]
		}
		harness.handle(Timer{Token: timerHousekeeping << 56})
	}
	// A warm backend had 100 a second for two seconds; the cold one may do 20 to 36 of these.
	if toCold > 2*2*36 {
		t.Errorf("%d sends to a cold backend in 2 s", toCold)
	}
	if toCold == 0 {
		t.Error("a cold backend never gets anything and cannot take over")
	}
}

// Many gateways with less than a request for each backend must use cold ones too, and in sum no more than a
// cold one bears.
func TestManyGatewaysShareAColdBackend(t *testing.T) {
	const fleet, warm, cold, perSecond, work, span = 80, 20, 30, 400, 0.2, 6.0
	settings := testSettings()
	settings.Fleet, settings.Tick = fleet, 0.001
	settings.Plans[1].Rate = 0
	var backends []Backend
	for i := range warm {
		backends = append(backends, ready(BackendID(i+1)))
	}
	var gates []*harness
	for rank := range fleet {
		settings.Rank = rank
		harness := &harness{t: t, now: 100, nextID: RequestID(rank << 16)}
		harness.gateway, _ = New(settings, uint64(rank), harness.now, nil)
		harness.handle(Backends{Kind: FullList, Entries: backends})
		gates = append(gates, harness)
	}
	type sent struct {
		by *harness
		s  Send
		at float64
	}
	var out []sent
	rng := rand.New(rand.NewPCG(1, 2))
	perCold, perWarm := map[BackendID][]float64{}, 0
	step := func(now float64) {
		for len(out) > 0 && out[0].at+work <= now {
			o := out[0]
			o.by.now, out = now, out[1:]
			for _, send := range find[Send](o.by.handle(AttemptEnd{Request: o.s.Request, Backend: o.s.Backend, Outcome: Served})) {
				out = append(out, sent{o.by, send, now})
			}
		}
		harness := gates[rng.IntN(fleet)]
		harness.now = now
		harness.ask(0, 1, CustomerID(rng.IntN(1000)))
		for _, send := range find[Send](harness.last) {
			out = append(out, sent{harness, send, now})
			if send.Backend <= warm {
				perWarm++
			} else {
				perCold[send.Backend] = append(perCold[send.Backend], now)
			}
		}
	}
	housekeeping := func(now float64) {
		for _, harness := range gates {
			harness.now = now
			harness.handle(Timer{Token: timerHousekeeping << 56})
		}
	}
	now := 100.0
	play := func(until float64) {
		for n := 0; now < until; n++ {
			if now += 1.0 / perSecond; n%20 == 0 {
				housekeeping(now)
			}
			step(now)
		}
	}
	play(104)
	var fresh []Backend
	for i := range cold {
		fresh = append(fresh, Backend{ID: BackendID(warm + i + 1), State: Ready, StartedAt: now})
	}
	for _, harness := range gates {
		harness.now = now
		harness.handle(Backends{Kind: Delta, Entries: fresh})
	}
	perWarm = 0
	play(now + span)
	bears := float64(perWarm) / warm / span // a second, as a warm one gets
	for _, b := range fresh {
		times := perCold[b.ID]
		// Its warmth goes from 0.2 to 0.68 of ColdFor's 10 s; its share is a third of what a warm one gets.
		if n := float64(len(times)); n < 0.2*bears*span || n > 0.68*bears*span {
			t.Errorf("backend %d got %v requests in %v s, a warm one %v", b.ID, n, span, bears*span)
		}
		for i := range times {
			n := 0
			for n+i < len(times) && times[n+i] < times[i]+1 {
				n++
			}
			if w := 0.2 + 0.08*(times[i]+1-fresh[0].StartedAt); float64(n) > 2*w*bears+4 {
				t.Fatalf("backend %d got %d requests in a second, a warm one %v", b.ID, n, bears)
			}
		}
	}
}

// Many gateways that each have a connection to each backend open as many of them as there are requests for
// minutes. They keep to a few, and the backends all the same get as much each.
func TestManyGatewaysKeepToTheirConnections(t *testing.T) {
	const fleet, backends, perSecond, work, span = 80, 60, 400, 0.2, 60.0
	settings := testSettings()
	settings.Fleet, settings.Tick, settings.KeepAlive = fleet, 0.001, 15
	settings.Plans[1].Rate = 0
	var gates []*harness
	for rank := range fleet {
		settings.Rank = rank
		harness := &harness{t: t, now: 100, nextID: RequestID(rank << 16)}
		harness.gateway, _ = New(settings, uint64(rank), harness.now, nil)
		harness.handle(Backends{Kind: FullList, Entries: some(backends)})
		gates = append(gates, harness)
	}
	type sent struct {
		rank int
		s    Send
		at   float64
	}
	var out []sent
	rng := rand.New(rand.NewPCG(1, 2))
	pairs, got, all := map[[2]int]bool{}, map[BackendID]float64{}, 0.0
	take := func(rank int, actions []Action, now float64) {
		for _, send := range find[Send](actions) {
			out = append(out, sent{rank, send, now})
			pairs[[2]int{rank, int(send.Backend)}] = true
			got[send.Backend]++
			all++
		}
	}
	for now := 100.0; now < 100+span; now += 1.0 / perSecond {
		for len(out) > 0 && out[0].at+work <= now {
			o, harness := out[0], gates[out[0].rank]
			harness.now, out = now, out[1:]
			take(o.rank, harness.handle(AttemptEnd{Request: o.s.Request, Backend: o.s.Backend, Outcome: Served}), now)
		}
		rank := rng.IntN(fleet)
		harness := gates[rank]
		harness.now = now
		harness.ask(0, 1, CustomerID(rng.IntN(1000)))
		take(rank, harness.last, now)
	}
	if n := len(pairs); n > fleet*backends/2 {
		t.Errorf("connections between %d pairs of %d", n, fleet*backends)
	}
	for id := range BackendID(backends) {
		if n, mean := got[id+1], all/backends; n < 0.6*mean || n > 1.5*mean {
			t.Errorf("backend %d got %v requests, of %v on average", id+1, n, mean)
		}
	}
}

// While the counter is silent the present share out what the absent of a customer's set leave, but under a
// ceiling, and only where most are present: two halves may each take the other for dead.
func TestThePresentShareOutWhatTheAbsentLeave(t *testing.T) {
	for _, c := range []struct {
		present []bool
		ceiling float64
		want    float64 // units a second here
	}{
		{nil, 0, 2},
		{[]bool{true, true, true, true, true, true}, 0, 2},
		{[]bool{true, true, false, true, true, true}, 0, 2.5}, // one of the set of five, 1 to 5
		{[]bool{false, true, true, true, true, true}, 0, 2},   // none of it
		{[]bool{true, true, false, false, true, true}, 0, 10. / 3},
		{[]bool{true, true, false, false, false, true}, 0, 2},  // most of it
		{[]bool{true, false, false, true, true, true}, 0, 2.5}, // this one, 1, is there whatever is told
		{[]bool{true, true, false, true, true, true}, 30, 4},   // a ceiling's part is everybody's own
	} {
		settings := testSettings()
		settings.Fleet, settings.Rank = 6, 1
		plan := Plan{Price: 1, Rate: 10, Burst: 40, CeilingRate: c.ceiling, CeilingBurst: 4 * c.ceiling}
		settings.Plans = []Plan{plan}
		harness := start(t, settings, some(2)...)
		harness.handle(Members{Present: c.present})
		if got := harness.gateway.computeTerms(&plan, 5, 0).localRate; math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%v, ceiling %g: %g units a second, not %g", c.present, c.ceiling, got, c.want)
		}
	}
}

func TestFailedDiscoveryIsAskedAgainAfterAPause(t *testing.T) {
	settings := testSettings()
	settings.SubscribeToDiscovery = true
	harness := &harness{t: t, now: 100}
	harness.gateway, harness.last = New(settings, 7, harness.now, nil)
	one[Subscribe](t, harness.last)
	actions := harness.handle(Backends{Kind: ListFailed})
	if len(find[Subscribe](actions)) > 0 {
		t.Error("asked again at once")
	}
	pause := one[SetTimer](t, actions)
	harness.now += pause.Delay
	one[Subscribe](t, harness.handle(Timer{Token: pause.Token}))
}

// What turns all gateways away at once must not have them back in step, nor more and more.
func TestManyGatewaysAskDiscoveryApart(t *testing.T) {
	const fleet = 80
	settings := testSettings()
	settings.SubscribeToDiscovery, settings.Fleet = true, fleet
	perSecond := map[int]int{}
	for rank := range fleet {
		settings.Rank = rank
		harness := &harness{t: t, now: 100}
		harness.gateway, _ = New(settings, uint64(rank+1), harness.now, nil)
		for harness.now < 160 {
			pause := one[SetTimer](t, harness.handle(Backends{Kind: ListFailed}))
			if pause.Delay > 3.6 {
				t.Fatalf("asks after %v s: what is told within 6 s would be missed", pause.Delay)
			}
			harness.now += pause.Delay
			one[Subscribe](t, harness.handle(Timer{Token: pause.Token}))
			perSecond[int(harness.now-100)]++
		}
		harness.handle(Backends{Kind: Delta})
		if pause := one[SetTimer](t, harness.handle(Backends{Kind: ListFailed})); pause.Delay > 2*initialDiscoveryBackoff {
			t.Errorf("asks after %v s, though the last call went well", pause.Delay)
		}
	}
	for second, n := range perSecond {
		if n > 3*fleet/4 || second > 5 && n > 3*fleet/5 {
			t.Errorf("%d calls in second %d", n, second)
		}
	}
}

func TestBoundOfManyGatewaysIsKeptInTheMean(t *testing.T) {
	settings := testSettings()
	settings.Fleet, settings.Counter = 300, false
	harness := start(t, settings, some(60)...)
	harness.gateway.concurrencyLimit = 0.5 // half an attempt each
	var out []Send
	sent, together := 0, 0
	for i := range 4000 { // ten a second; each takes half a second
		harness.now += 0.1
		for len(out) > 0 && harness.now > harness.gateway.requests[out[0].Request].attempts[0].sent+0.5 {
			harness.handle(AttemptEnd{Request: out[0].Request, Backend: out[0].Backend, Took: 0.5, Outcome: Full})
			out = out[1:]
		}
		harness.gateway.concurrencyLimit = 0.5
		harness.gateway.retryBudget = 0
		harness.nextID++
		sends := find[Send](harness.handle(Request{ID: harness.nextID, Plan: 1, Units: 1, GatewayCount: 300, Customer: CustomerID(i),
			Deadline: harness.now + 2}))
		for _, id := range []RequestID{harness.nextID, harness.nextID - 8} {
			harness.handle(Timer{Token: timerAnswerBy<<56 | uint64(id)})
		}
		sent += len(sends)
		out = append(out, sends...)
		together = max(together, harness.gateway.inFlight)
	}
	mean := float64(sent) * 0.5 / 400
	if mean > 0.75 || mean < 0.2 {
		t.Errorf("%.2f attempts in flight on average with a bound of a half", mean)
	}
	if together < 1 || together > 3 {
		t.Errorf("%d attempts at once", together)
	}
}

func TestGoneBackendsAreForgotten(t *testing.T) {
	harness := start(t, testSettings(), some(3)...)
	for i := range 50 {
		id := BackendID(10 + i)
		harness.handle(Backends{Kind: Delta, Entries: []Backend{ready(id)}})
		harness.handle(Backends{Kind: Delta, Entries: []Backend{{ID: id, State: Gone}}})
		harness.now += 0.05
		harness.handle(Timer{Token: timerHousekeeping << 56})
	}
	if len(harness.gateway.backendList) != 3 || len(harness.gateway.backendByID) != 3 {
		t.Errorf("%d listed and %d known, want 3", len(harness.gateway.backendList), len(harness.gateway.backendByID))
	}
}
