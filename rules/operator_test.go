package rules

import (
	"encoding/json"
	"testing"
)

// New settings do not change the class of pending requests; the counts by level follow the new levels.
func TestApplySettingsKeepsTheClassOfPendingRequests(t *testing.T) {
	settings := testSettings()
	settings.Plans[0].Rate, settings.Plans[1].Rate = 0, 0
	harness := newHarness(t, settings, readyBackends(2)...)
	id := harness.request(1, 1, 1)
	sent := onlyAction[Send](t, harness.last)
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
		t.Fatalf("%d attempts counted, want 1; %d queues for %d levels", total, len(harness.gateway.queues), len(harness.gateway.worths))
	}
	// The new settings allow one attempt. By the old class a duplicate is dropped in its cell only, so a
	// request that may have run cannot be refused.
	actions := harness.handle(AttemptEnd{Request: id, Backend: sent.Backend, Outcome: Broken})
	if n := len(actionsOf[Send](actions)); n != 0 {
		t.Errorf("%d attempts more than the new settings allow", n)
	}
	onlyAction[Fail](t, actions)
	// A request of a class that is no longer configured carries it as ClassOverride.
	oldClass := settings.Classes[1]
	harness.nextID++
	lateActions := harness.handle(Request{ID: harness.nextID, Class: 1, ClassOverride: &oldClass, Plan: 1, Customer: 1, Units: 1, GatewayCount: 2, Deadline: harness.now + 3})
	send := onlyAction[Send](t, lateActions)
	if request := harness.gateway.requests[send.Request]; request.class.Effect != ByKey || request.level != harness.gateway.levelOf(oldClass.Worth*next.Plans[1].Price) {
		t.Errorf("the request has class %+v and level %d", request.class, request.level)
	}
	harness.handle(AttemptEnd{Request: harness.nextID, Backend: send.Backend, Outcome: Served})
	if harness.gateway.inFlight != 0 {
		t.Errorf("%d in flight at the end", harness.gateway.inFlight)
	}
}

// Pending requests do not get more attempts than the settings allowed when they were received.
func TestApplySettingsDoesNotRaiseMaxAttemptsOfPendingRequests(t *testing.T) {
	settings := testSettings()
	settings.Plans[1].Rate, settings.MaxAttempts = 0, 1
	harness := newHarness(t, settings, readyBackends(2)...)
	id := harness.request(0, 1, 1)
	send := onlyAction[Send](t, harness.last)
	next := settings
	next.MaxAttempts = 4
	harness.handle(ApplySettings{Settings: next})
	actions := harness.handle(AttemptEnd{Request: id, Backend: send.Backend, Outcome: Full})
	if n := len(actionsOf[Send](actions)); n != 0 {
		t.Errorf("sent %d more times", n)
	}
}

// An operator override and the state in discovery do not undo each other, and a backend that is put back is
// cold.
func TestOperatorOverrideIsIndependentOfDiscovery(t *testing.T) {
	settings := testSettings()
	settings.Plans[1].Rate = 0
	harness := newHarness(t, settings, readyBackends(2)...)
	harness.handle(OperatorOverride{Backend: 1, Offline: true})
	sends := func() (n int) {
		for range 20 {
			harness.request(0, 1, 1)
			for _, send := range actionsOf[Send](harness.last) {
				if send.Backend == 1 {
					n++
				}
				harness.handle(AttemptEnd{Request: send.Request, Backend: send.Backend, Outcome: Served})
			}
		}
		return n
	}
	for _, event := range []Event{OperatorOverride{Backend: 1, Offline: true}, Backends{Kind: FullList, Entries: readyBackends(2)},
		Backends{Kind: Delta, Entries: []Backend{{ID: 1, State: Gone}}}, Timer{Token: timerHousekeeping << 56},
		Backends{Kind: Delta, Entries: []Backend{readyBackend(1)}}} {
		if harness.handle(event); sends() != 0 {
			t.Fatalf("sent to a backend that is out of use after %+v", event)
		}
	}
	if known, skipped := harness.gateway.BackendCounts(); known != 2 || skipped != 1 {
		t.Errorf("%d known and %d unavailable backends, want 2 and 1", known, skipped)
	}
	if harness.gateway.Knows(3) || !harness.gateway.Knows(1) {
		t.Error("Knows(3) or not Knows(1)")
	}
	harness.handle(OperatorOverride{Backend: 1})
	if fraction := harness.gateway.capacityFraction(harness.gateway.backendByID[1]); fraction != settings.InitialColdFraction {
		t.Errorf("capacity fraction %f when put back, want the initial one", fraction)
	}
	if n := sends(); n > 1 {
		t.Errorf("%d attempts at once at a cold backend, want at most 1", n)
	}
	harness.now += 2 * settings.ColdDuration
	if sends() == 0 {
		t.Error("nothing sent to a warm backend that was put back")
	}
	// A drain announced by discovery remains effective.
	harness.handle(OperatorOverride{Backend: 1, Offline: true})
	harness.handle(Backends{Kind: Delta, Entries: []Backend{{ID: 1, State: Draining}}})
	harness.handle(OperatorOverride{Backend: 1})
	if sends() != 0 {
		t.Error("putting the backend back undid its drain")
	}
}

// Two processes of a gateway must not spend anything twice: leases are divided, and each has a fraction of
// the local allowances.
func TestHandOverDividesLeasesAndAllowances(t *testing.T) {
	settings := testSettings()
	settings.Plans[1].CeilingRate, settings.Plans[1].CeilingBurst = 40, 80
	old := newHarness(t, settings, readyBackends(3)...)
	old.request(0, 1, 1)
	old.request(0, 0, 2)
	old.handle(OperatorOverride{Backend: 2, Offline: true})
	old.handle(OperatorOverride{Backend: 3, Offline: true})
	old.now++
	old.handle(OperatorOverride{Backend: 3}) // put back, so it is cold
	units := map[CustomerID]float64{}
	locals := map[CustomerID]float64{}
	for _, quota := range old.gateway.customerList {
		quota.spendLocal(old.now, 0)
		units[quota.id], locals[quota.id] = quota.leasedUnits, quota.localUnits
	}
	if units[1] < 2 {
		t.Fatalf("%f units leased, want at least 2 to divide", units[1])
	}
	before := old.gateway.customers[1].terms
	snapshot := onlyAction[Exported](t, old.handle(Export{})).Snapshot

	next := &gatewayHarness{t: t, now: old.now, nextID: 100}
	next.gateway, _ = New(settings, 8, next.now, nil)
	next.handle(Backends{Kind: CachedList, Entries: readyBackends(3)})
	next.handle(Import{Snapshot: snapshot})
	for id, total := range units {
		oldQuota, nextQuota := old.gateway.customers[id], next.gateway.customers[id]
		if sum := oldQuota.leasedUnits + nextQuota.leasedUnits; sum > total || nextQuota.leasedUnits == 0 && total >= 2 {
			t.Errorf("customer %d: %f and %f units after the export of %f", id, oldQuota.leasedUnits, nextQuota.leasedUnits, total)
		}
		if oldQuota.spendLocal(old.now, 0); oldQuota.localUnits+nextQuota.localUnits > locals[id]+1e-9 {
			t.Errorf("customer %d: local allowances %f and %f after the export of %f", id, oldQuota.localUnits, nextQuota.localUnits, locals[id])
		}
	}
	for _, harness := range []*gatewayHarness{old, next} {
		if terms := harness.gateway.customers[1].terms; terms.localRate > before.localRate/2 || terms.maxLease > before.maxLease/2 {
			t.Errorf("terms of one process %+v, want half of %+v", terms, before)
		}
		if backend := harness.gateway.backendByID[2]; backend.usable() || !harness.gateway.backendByID[1].usable() {
			t.Error("the operator override is not in both states")
		}
		if fraction := harness.gateway.capacityFraction(harness.gateway.backendByID[3]); fraction != settings.InitialColdFraction {
			t.Errorf("a backend that was just put back has capacity fraction %f", fraction)
		}
		harness.gateway.concurrencyLimit, harness.gateway.inFlight = 20, 10
		if !harness.gateway.limitReached(len(harness.gateway.worths) - 1) {
			t.Error("half of the concurrency limit is not enforced")
		}
		harness.gateway.inFlight = 0
	}
	next.request(0, 1, 1)
	if n := len(actionsOf[Count](next.last)); n != 0 {
		t.Errorf("%d counter calls for a customer whose lease was handed over, want none", n)
	}
	old.handle(Shutdown{Deadline: old.now + 1})
	next.handle(SiblingDraining)
	if sum := old.gateway.processFraction + next.gateway.processFraction; sum > 1 {
		t.Errorf("the process fractions add up to %f, want at most 1", sum)
	}
	next.handle(SiblingAbsent)
	if terms := next.gateway.customers[1].terms; terms.localRate != before.localRate {
		t.Errorf("without a sibling process, the local rate is %f, want %f", terms.localRate, before.localRate)
	}
}

// A request that arrives after the shutdown was announced is answered before the process ends.
func TestRequestAfterShutdownIsAnsweredInTime(t *testing.T) {
	harness := newHarness(t, testSettings())
	harness.handle(Shutdown{Deadline: harness.now + 0.5})
	harness.request(1, 1, 1)
	for _, timer := range actionsOf[SetTimer](harness.last) {
		if timer.Token>>56 == timerAnswerBy && timer.Delay > 0.5 {
			t.Errorf("answer timer after %f s, want at most 0.5 s", timer.Delay)
		}
	}
	if len(actionsOf[SetTimer](harness.last)) == 0 {
		t.Error("no timer for a request after the shutdown was announced")
	}
}

// A request with a pending body is no work for a backend, and its time starts with the end of the body.
func TestPendingBodyIsNotCountedInFlight(t *testing.T) {
	settings := testSettings()
	settings.Plans[1].Rate = 0
	harness := newHarness(t, settings, readyBackends(2)...)
	open := func() (RequestID, Send) {
		harness.nextID++
		actions := harness.handle(Request{ID: harness.nextID, Class: 1, Plan: 1, Customer: 1, Units: 1, GatewayCount: 2, Deadline: harness.now + 2,
			BodyPending: true})
		send := onlyAction[Send](t, actions)
		if send.Timeout != 0 || harness.gateway.inFlight != 0 {
			t.Fatalf("timeout %f and %d in flight while the body is pending, want 0", send.Timeout, harness.gateway.inFlight)
		}
		return harness.nextID, send
	}
	id, send := open()
	harness.now += 60 // a slow client
	for _, kind := range []uint64{timerSendBy, timerAnswerBy, timerOverdue} {
		if actions := harness.handle(Timer{Token: kind<<56 | uint64(id)}); len(actionsOf[Refuse](actions))+len(actionsOf[Fail](actions)) != 0 {
			t.Fatalf("rejected while its body is pending: %v", actions)
		}
	}
	actions := harness.handle(BodyComplete{Request: id, Deadline: harness.now + 2})
	if harness.gateway.inFlight != 1 {
		t.Errorf("%d in flight once the body is complete, want 1", harness.gateway.inFlight)
	}
	answerTimerSet := false
	for _, timer := range actionsOf[SetTimer](actions) {
		answerTimerSet = answerTimerSet || timer.Token>>56 == timerAnswerBy && timer.Delay > 0.9 && timer.Delay < 2
	}
	if !answerTimerSet {
		t.Errorf("no answer timer in %v", actions)
	}
	harness.now += 0.1
	harness.handle(AttemptEnd{Request: id, Backend: send.Backend, Outcome: Served})
	if harness.gateway.inFlight != 0 || harness.gateway.latency > 0.2 {
		t.Errorf("%d in flight at the end, want 0; latency %f, want at most 0.2", harness.gateway.inFlight, harness.gateway.latency)
	}
	// An incomplete request has not run, and it cannot be resent once its body is consumed.
	id, send = open()
	harness.handle(BodyConsumed{Request: id})
	actions = harness.handle(AttemptEnd{Request: id, Backend: send.Backend, Outcome: ConnectFailed})
	if n := len(actionsOf[Send](actions)); n != 0 {
		t.Errorf("sent %d more times", n)
	}
	onlyAction[Refuse](t, actions)
}

// A streamed answer is neither cut off nor retried, and its transfer time says nothing about the backend.
func TestStreamedAnswerIsNotCountedInFlight(t *testing.T) {
	settings := testSettings()
	settings.Plans[1].Rate = 0
	harness := newHarness(t, settings, readyBackends(1)...)
	id := harness.request(0, 1, 1)
	send := onlyAction[Send](t, harness.last)
	harness.now += 0.1
	harness.gateway.settings.UnitsEstimated = true
	leased := harness.gateway.customers[1].leasedUnits
	harness.handle(Established{Request: id, Backend: send.Backend, Took: 0.1, Units: 3})
	if quota := harness.gateway.customers[1]; quota.leasedUnits != leased-2 { // the estimate was 1
		t.Errorf("%f units left of %f after settling 3", quota.leasedUnits, leased)
	}
	if harness.gateway.inFlight != 0 {
		t.Errorf("%d in flight while the answer is streamed, want 0", harness.gateway.inFlight)
	}
	harness.now += 30
	for _, kind := range []uint64{timerAnswerBy, timerOverdue} {
		if actions := harness.handle(Timer{Token: kind<<56 | uint64(id)}); len(actionsOf[Cancel](actions))+len(actionsOf[Refuse](actions)) != 0 {
			t.Errorf("a streamed answer was cut off: %v", actions)
		}
	}
	harness.handle(AttemptEnd{Request: id, Backend: send.Backend, Outcome: Served})
	if harness.gateway.inFlight != 0 || harness.gateway.latency > 0.2 || harness.gateway.backendByID[send.Backend].failureRate != 0 {
		t.Errorf("%d in flight, latency %f, failure rate %f; want 0, at most 0.2, 0", harness.gateway.inFlight, harness.gateway.latency, harness.gateway.backendByID[send.Backend].failureRate)
	}
}

// Processes of two versions exchange snapshots during a hand-over, so the encoded names must not change.
func TestSnapshotKeepsItsEncodedNames(t *testing.T) {
	snapshot := Snapshot{ConcurrencyLimit: 1, Latency: 2, Spread: 3, Pressure: 4, CounterFailureRate: 5, WarmSendRate: 6, RetryBudget: 7,
		Backends: []BackendRecord{{Backend: Backend{ID: 1, Zone: 2, Kind: 3, Cell: 4, State: Ready, Weight: 6, StartedAt: 7},
			Offline: true, FailureRate: 8, Latency: 9, LastServed: 10, TrialAt: 11, TrialInterval: 12, ColdBudget: 13,
			ColdBudgetAt: 14, ColdSince: 15}},
		Customers: []CustomerRecord{{ID: 1, Plan: 2, Gateways: 3, Index: 4, Demand: 5, LastSeen: 6, Units: 7, Expires: 8,
			LeaseWindow: 9, Window: 10, KnownTotal: 11, TotalReceived: true, ExhaustedUntil: 12, Backoff: 13,
			BackoffUntil: 14, LocalUnits: 15, LocalUnitsAt: 16}}}
	const want = `{"Bound":1,"Latency":2,"Spread":3,"Pressure":4,"Crowd":5,"WarmRate":6,"RetryBudget":7` +
		`,"Backends":[{"ID":1,"Zone":2,"Kind":3,"Cell":4,"State":1,"Weight":6,"Born":7` +
		`,"Banned":true,"Fail":8,"Latency":9,"LastOK":10,"TrialAt":11,"TrialGap":12,"Budget":13,"BudgetedAt":14,"WarmsFrom":15}]` +
		`,"Customers":[{"ID":1,"Plan":2,"Gateways":3,"Index":4,"Demand":5,"Seen":6,"Units":7,"Expires":8` +
		`,"Leased":9,"Window":10,"Known":11,"Met":true,"DryUntil":12,"Rest":13,"RestTill":14,"Local":15,"LocalAt":16}]}`
	if got, err := json.Marshal(snapshot); err != nil || string(got) != want {
		t.Errorf("encoded as %s (error %v), want %s", got, err, want)
	}
}
