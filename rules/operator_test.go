package rules

import (
	"encoding/json"
	"testing"
)

// Open requests keep the class, the attempts and the rules they came with; the
// counts by level follow the new levels.
func TestRetuneLeavesOpenRequestsTheirClass(t *testing.T) {
	settings := testSettings()
	settings.Plans[0].Rate, settings.Plans[1].Rate = 0, 0
	harness := start(t, settings, some(2)...)
	open := harness.ask(1, 1, 1) // keyed
	sent := one[Send](t, harness.last)
	next := testSettings()
	next.Plans[0].Rate, next.Plans[1].Rate = 0, 0
	next.MaxAttempts = 1
	next.Classes = []Class{{Aim: 0.8, Deadline: 2, Worth: 2, Effect: Once}, {Aim: 1, Deadline: 3, Worth: 7, Effect: Once},
		{Aim: 1, Deadline: 3, Worth: 1, Effect: Repeatable}}
	harness.handle(ApplySettings{Settings: next})
	total := 0
	for _, backend := range harness.gateway.backendList {
		for _, n := range backend.inFlightByLevel {
			total += n
		}
	}
	if total != 1 || len(harness.gateway.queues) != len(harness.gateway.worths) {
		t.Fatalf("%d attempts in the counts, %d queues for %d levels", total, len(harness.gateway.queues), len(harness.gateway.worths))
	}
	// One attempt is all that may be made now, and the old class promises that a repeat is dropped in its cell
	// alone, so what may have run can't be refused.
	actions := harness.handle(AttemptEnd{Request: open, Backend: sent.Backend, Outcome: Broken})
	if n := len(find[Send](actions)); n != 0 {
		t.Errorf("sent %d more times than the new settings allow", n)
	}
	one[Fail](t, actions)
	// A request of a class that is no more brings it along.
	was := settings.Classes[1]
	harness.nextID++
	late := harness.handle(Request{ID: harness.nextID, Class: 1, ClassOverride: &was, Plan: 1, Customer: 1, Units: 1, GatewayCount: 2, Deadline: harness.now + 3})
	send := one[Send](t, late)
	if request := harness.gateway.requests[send.Request]; request.class.Effect != ByKey || request.level != harness.gateway.levelOf(was.Worth*next.Plans[1].Price) {
		t.Errorf("a late request has class %+v and level %d", request.class, request.level)
	}
	harness.handle(AttemptEnd{Request: harness.nextID, Backend: send.Backend, Outcome: Served})
	if harness.gateway.inFlight != 0 {
		t.Errorf("%d in flight at the end", harness.gateway.inFlight)
	}
}

// More attempts than a request came with are not made for it either.
func TestRetuneGivesOpenRequestsNoMoreAttempts(t *testing.T) {
	settings := testSettings()
	settings.Plans[1].Rate, settings.MaxAttempts = 0, 1
	harness := start(t, settings, some(2)...)
	id := harness.ask(0, 1, 1)
	send := one[Send](t, harness.last)
	next := settings
	next.MaxAttempts = 4
	harness.handle(ApplySettings{Settings: next})
	actions := harness.handle(AttemptEnd{Request: id, Backend: send.Backend, Outcome: Full})
	if n := len(find[Send](actions)); n != 0 {
		t.Errorf("sent %d more times", n)
	}
}

// A ban and what discovery says are kept apart, and who comes back is cold.
func TestBanByHand(t *testing.T) {
	settings := testSettings()
	settings.Plans[1].Rate = 0
	harness := start(t, settings, some(2)...)
	harness.handle(OperatorOverride{Backend: 1, Offline: true})
	sends := func() (n int) {
		for range 20 {
			harness.ask(0, 1, 1)
			for _, send := range find[Send](harness.last) {
				if send.Backend == 1 {
					n++
				}
				harness.handle(AttemptEnd{Request: send.Request, Backend: send.Backend, Outcome: Served})
			}
		}
		return n
	}
	for _, e := range []Event{OperatorOverride{Backend: 1, Offline: true}, Backends{Kind: FullList, Entries: some(2)},
		Backends{Kind: Delta, Entries: []Backend{{ID: 1, State: Gone}}}, Timer{Token: timerHousekeeping << 56},
		Backends{Kind: Delta, Entries: []Backend{ready(1)}}} {
		if harness.handle(e); sends() != 0 {
			t.Fatalf("sent to a banned backend after %+v", e)
		}
	}
	if known, skipped := harness.gateway.BackendCounts(); known != 2 || skipped != 1 {
		t.Errorf("%d known, %d skipped", known, skipped)
	}
	if harness.gateway.Knows(3) || !harness.gateway.Knows(1) {
		t.Error("who is known is wrong")
	}
	harness.handle(OperatorOverride{Backend: 1})
	if w := harness.gateway.capacityFraction(harness.gateway.backendByID[1]); w != settings.InitialColdFraction {
		t.Errorf("warmth %f on return", w)
	}
	if n := sends(); n > 1 {
		t.Errorf("%d sends at once to a cold backend", n)
	}
	harness.now += 2 * settings.ColdDuration
	if sends() == 0 {
		t.Error("nothing sent to a backend that is back and warm")
	}
	// What discovery says holds as well.
	harness.handle(OperatorOverride{Backend: 1, Offline: true})
	harness.handle(Backends{Kind: Delta, Entries: []Backend{{ID: 1, State: Draining}}})
	harness.handle(OperatorOverride{Backend: 1})
	if sends() != 0 {
		t.Error("the call back undid a drain")
	}
}

// Two processes of a gateway must spend nothing twice: what one has in its state
// the other has not, and what each may do unasked is a part of the whole.
func TestHandOver(t *testing.T) {
	settings := testSettings()
	settings.Plans[1].CeilingRate, settings.Plans[1].CeilingBurst = 40, 80
	old := start(t, settings, some(3)...)
	old.ask(0, 1, 1) // takes a lease
	old.ask(0, 0, 2)
	old.handle(OperatorOverride{Backend: 2, Offline: true})
	old.handle(OperatorOverride{Backend: 3, Offline: true})
	old.now++
	old.handle(OperatorOverride{Backend: 3}) // back, and so cold
	units := map[CustomerID]float64{}
	locals := map[CustomerID]float64{}
	for _, quota := range old.gateway.customerList {
		quota.spendLocal(old.now, 0)
		units[quota.id], locals[quota.id] = quota.leasedUnits, quota.localUnits
	}
	if units[1] < 2 {
		t.Fatalf("%f units leased, too few to share", units[1])
	}
	whole := old.gateway.customers[1].terms
	state := one[Exported](t, old.handle(Export{})).Snapshot

	next := &harness{t: t, now: old.now, nextID: 100}
	next.gateway, _ = New(settings, 8, next.now, nil)
	next.handle(Backends{Kind: CachedList, Entries: some(3)})
	next.handle(Import{Snapshot: state})
	for id, had := range units {
		a, b := old.gateway.customers[id], next.gateway.customers[id]
		if sum := a.leasedUnits + b.leasedUnits; sum > had || b.leasedUnits == 0 && had >= 2 {
			t.Errorf("customer %d: %f and %f of %f units", id, a.leasedUnits, b.leasedUnits, had)
		}
		if a.spendLocal(old.now, 0); a.localUnits+b.localUnits > locals[id]+1e-9 {
			t.Errorf("customer %d: local shares %f and %f of %f", id, a.localUnits, b.localUnits, locals[id])
		}
	}
	for _, harness := range []*harness{old, next} {
		if c := harness.gateway.customers[1].terms; c.localRate > whole.localRate/2 || c.maxLease > whole.maxLease/2 {
			t.Errorf("terms of a process %+v, of the gateway %+v", c, whole)
		}
		if backend := harness.gateway.backendByID[2]; backend.usable() || !harness.gateway.backendByID[1].usable() {
			t.Error("the ban is not in both states")
		}
		if w := harness.gateway.capacityFraction(harness.gateway.backendByID[3]); w != settings.InitialColdFraction {
			t.Errorf("a backend that has just come back has warmth %f", w)
		}
		harness.gateway.concurrencyLimit, harness.gateway.inFlight = 20, 10
		if !harness.gateway.limitReached(len(harness.gateway.worths) - 1) {
			t.Error("half of the bound does not bind")
		}
		harness.gateway.inFlight = 0
	}
	next.ask(0, 1, 1)
	if n := len(find[Count](next.last)); n != 0 {
		t.Errorf("%d calls to the counter for a customer whose lease was handed over", n)
	}
	old.handle(Shutdown{Deadline: old.now + 1})
	next.handle(SiblingDraining)
	if sum := old.gateway.processFraction + next.gateway.processFraction; sum > 1 {
		t.Errorf("the shares are %f together", sum)
	}
	next.handle(SiblingAbsent)
	if c := next.gateway.customers[1].terms; c.localRate != whole.localRate {
		t.Errorf("alone, the local rate is %f of %f", c.localRate, whole.localRate)
	}
}

// A process that ends answers whom it holds before it does.
func TestLeaveEndsRequestsInTime(t *testing.T) {
	harness := start(t, testSettings())
	harness.handle(Shutdown{Deadline: harness.now + 0.5})
	harness.ask(1, 1, 1)
	for _, timer := range find[SetTimer](harness.last) {
		if timer.Token>>56 == timerAnswerBy && timer.Delay > 0.5 {
			t.Errorf("answered after %f s, when the process is gone", timer.Delay)
		}
	}
	if len(find[SetTimer](harness.last)) == 0 {
		t.Error("no timer")
	}
}

// A body on its way is no work for a backend; its request's time counts from its end.
func TestOpenRequest(t *testing.T) {
	settings := testSettings()
	settings.Plans[1].Rate = 0
	harness := start(t, settings, some(2)...)
	open := func() (RequestID, Send) {
		harness.nextID++
		actions := harness.handle(Request{ID: harness.nextID, Class: 1, Plan: 1, Customer: 1, Units: 1, GatewayCount: 2, Deadline: harness.now + 2,
			BodyPending: true})
		send := one[Send](t, actions)
		if send.Timeout != 0 || harness.gateway.inFlight != 0 {
			t.Fatalf("time-out %f, %d in flight while the body comes", send.Timeout, harness.gateway.inFlight)
		}
		return harness.nextID, send
	}
	id, send := open()
	harness.now += 60 // a slow client
	for _, kind := range []uint64{timerSendBy, timerAnswerBy, timerOverdue} {
		if actions := harness.handle(Timer{Token: kind<<56 | uint64(id)}); len(find[Refuse](actions))+len(find[Fail](actions)) != 0 {
			t.Fatalf("given up while its body comes: %v", actions)
		}
	}
	actions := harness.handle(BodyComplete{Request: id, Deadline: harness.now + 2})
	if harness.gateway.inFlight != 1 {
		t.Errorf("%d in flight once it is whole", harness.gateway.inFlight)
	}
	ends := false
	for _, timer := range find[SetTimer](actions) {
		ends = ends || timer.Token>>56 == timerAnswerBy && timer.Delay > 0.9 && timer.Delay < 2
	}
	if !ends {
		t.Errorf("no end for it in %v", actions)
	}
	harness.now += 0.1
	harness.handle(AttemptEnd{Request: id, Backend: send.Backend, Outcome: Served})
	if harness.gateway.inFlight != 0 || harness.gateway.latency > 0.2 {
		t.Errorf("%d in flight at the end, latency %f", harness.gateway.inFlight, harness.gateway.latency)
	}
	// What broke off before its end never ran, and is not sent again once its body is used up.
	id, send = open()
	actions = harness.handle(AttemptEnd{Request: id, Backend: send.Backend, Outcome: ConnectFailed, BodyConsumed: true})
	if n := len(find[Send](actions)); n != 0 {
		t.Errorf("sent %d more times", n)
	}
	one[Refuse](t, actions)
}

// An answer that has begun is neither cut off nor made again, and its transfer says nothing of the backend.
func TestEstablished(t *testing.T) {
	settings := testSettings()
	settings.Plans[1].Rate = 0
	harness := start(t, settings, some(1)...)
	id := harness.ask(0, 1, 1)
	send := one[Send](t, harness.last)
	harness.now += 0.1
	harness.gateway.settings.UnitsEstimated = true
	had := harness.gateway.customers[1].leasedUnits
	harness.handle(Established{Request: id, Backend: send.Backend, Took: 0.1, Units: 3})
	if quota := harness.gateway.customers[1]; quota.leasedUnits != had-2 { // of which the request named one
		t.Errorf("%f units were %f before three were told", quota.leasedUnits, had)
	}
	if harness.gateway.inFlight != 0 {
		t.Errorf("%d in flight while the answer is on its way", harness.gateway.inFlight)
	}
	harness.now += 30
	for _, kind := range []uint64{timerAnswerBy, timerOverdue} {
		if actions := harness.handle(Timer{Token: kind<<56 | uint64(id)}); len(find[Cancel](actions))+len(find[Refuse](actions)) != 0 {
			t.Errorf("cut off: %v", actions)
		}
	}
	harness.handle(AttemptEnd{Request: id, Backend: send.Backend, Outcome: Served})
	if harness.gateway.inFlight != 0 || harness.gateway.latency > 0.2 || harness.gateway.backendByID[send.Backend].failureRate != 0 {
		t.Errorf("%d in flight, latency %f, failures %f", harness.gateway.inFlight, harness.gateway.latency, harness.gateway.backendByID[send.Backend].failureRate)
	}
}

// Processes of two versions exchange snapshots during a hand-over, so the encoded names must not change.
func TestSnapshotKeepsItsEncodedNames(t *testing.T) {
	snapshot := Snapshot{ConcurrencyLimit: 1, Latency: 2, Spread: 3, Pressure: 4, CounterFailureRate: 5, WarmSendRate: 6,
		Backends: []BackendRecord{{Backend: Backend{ID: 1, Zone: 2, Kind: 3, Cell: 4, State: Ready, Weight: 6, StartedAt: 7},
			Banned: true, FailureRate: 8, Latency: 9, LastServed: 10, TrialAt: 11, TrialInterval: 12, ColdBudget: 13,
			ColdBudgetAt: 14, ColdSince: 15}},
		Customers: []CustomerRecord{{ID: 1, Plan: 2, Gateways: 3, Index: 4, Demand: 5, LastSeen: 6, Units: 7, Expires: 8,
			LeaseWindow: 9, Window: 10, KnownTotal: 11, TotalReceived: true, ExhaustedUntil: 12, Backoff: 13,
			BackoffUntil: 14, LocalUnits: 15, LocalUnitsAt: 16}}}
	const want = `{"Bound":1,"Latency":2,"Spread":3,"Pressure":4,"Crowd":5,"WarmRate":6` +
		`,"Backends":[{"ID":1,"Zone":2,"Kind":3,"Cell":4,"State":1,"Weight":6,"Born":7` +
		`,"Banned":true,"Fail":8,"Latency":9,"LastOK":10,"TrialAt":11,"TrialGap":12,"Budget":13,"BudgetedAt":14,"WarmsFrom":15}]` +
		`,"Customers":[{"ID":1,"Plan":2,"Gateways":3,"Index":4,"Demand":5,"Seen":6,"Units":7,"Expires":8` +
		`,"Leased":9,"Window":10,"Known":11,"Met":true,"DryUntil":12,"Rest":13,"RestTill":14,"Local":15,"LocalAt":16}]}`
	if got, err := json.Marshal(snapshot); err != nil || string(got) != want {
		t.Errorf("encoded as %s (error %v), want %s", got, err, want)
	}
}
