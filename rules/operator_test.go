package rules

import (
	"encoding/json"
	"testing"
)

// Open requests keep the class, the attempts and the rules they came with; the
// counts by level follow the new levels.
func TestRetuneLeavesOpenRequestsTheirClass(t *testing.T) {
	set := testSettings()
	set.Plans[0].Rate, set.Plans[1].Rate = 0, 0
	d := start(t, set, some(2)...)
	open := d.ask(1, 1, 1) // keyed
	sent := one[Send](t, d.last)
	next := testSettings()
	next.Plans[0].Rate, next.Plans[1].Rate = 0, 0
	next.MaxAttempts = 1
	next.Classes = []Class{{Aim: 0.8, Deadline: 2, Worth: 2, Effect: Once}, {Aim: 1, Deadline: 3, Worth: 7, Effect: Once},
		{Aim: 1, Deadline: 3, Worth: 1, Effect: Repeatable}}
	d.handle(ApplySettings{Settings: next})
	total := 0
	for _, s := range d.g.list {
		for _, n := range s.levels {
			total += n
		}
	}
	if total != 1 || len(d.g.queues) != len(d.g.worths) {
		t.Fatalf("%d attempts in the counts, %d queues for %d levels", total, len(d.g.queues), len(d.g.worths))
	}
	// One attempt is all that may be made now, and the old class promises that a repeat is dropped in its cell
	// alone, so what may have run can't be refused.
	out := d.handle(AttemptEnd{Request: open, Backend: sent.Backend, Outcome: Broken})
	if n := len(find[Send](out)); n != 0 {
		t.Errorf("sent %d more times than the new settings allow", n)
	}
	one[Fail](t, out)
	// A request of a class that is no more brings it along.
	was := set.Classes[1]
	d.nextID++
	late := d.handle(Request{ID: d.nextID, Class: 1, ClassOverride: &was, Plan: 1, Customer: 1, Units: 1, GatewayCount: 2, Deadline: d.now + 3})
	s := one[Send](t, late)
	if j := d.g.requests[s.Request]; j.class.Effect != ByKey || j.level != d.g.levelOf(was.Worth*next.Plans[1].Price) {
		t.Errorf("a late request has class %+v and level %d", j.class, j.level)
	}
	d.handle(AttemptEnd{Request: d.nextID, Backend: s.Backend, Outcome: Served})
	if d.g.inFlight != 0 {
		t.Errorf("%d in flight at the end", d.g.inFlight)
	}
}

// More attempts than a request came with are not made for it either.
func TestRetuneGivesOpenRequestsNoMoreAttempts(t *testing.T) {
	set := testSettings()
	set.Plans[1].Rate, set.MaxAttempts = 0, 1
	d := start(t, set, some(2)...)
	id := d.ask(0, 1, 1)
	s := one[Send](t, d.last)
	next := set
	next.MaxAttempts = 4
	d.handle(ApplySettings{Settings: next})
	out := d.handle(AttemptEnd{Request: id, Backend: s.Backend, Outcome: Full})
	if n := len(find[Send](out)); n != 0 {
		t.Errorf("sent %d more times", n)
	}
}

// A ban and what discovery says are kept apart, and who comes back is cold.
func TestBanByHand(t *testing.T) {
	set := testSettings()
	set.Plans[1].Rate = 0
	d := start(t, set, some(2)...)
	d.handle(OperatorOverride{Backend: 1, Offline: true})
	sends := func() (n int) {
		for range 20 {
			d.ask(0, 1, 1)
			for _, s := range find[Send](d.last) {
				if s.Backend == 1 {
					n++
				}
				d.handle(AttemptEnd{Request: s.Request, Backend: s.Backend, Outcome: Served})
			}
		}
		return n
	}
	for _, e := range []Event{OperatorOverride{Backend: 1, Offline: true}, Backends{Kind: FullList, Entries: some(2)},
		Backends{Kind: Delta, Entries: []Backend{{ID: 1, State: Gone}}}, Timer{Token: timerHousekeeping << 56},
		Backends{Kind: Delta, Entries: []Backend{ready(1)}}} {
		if d.handle(e); sends() != 0 {
			t.Fatalf("sent to a banned backend after %+v", e)
		}
	}
	if known, skipped := d.g.BackendCounts(); known != 2 || skipped != 1 {
		t.Errorf("%d known, %d skipped", known, skipped)
	}
	if d.g.Knows(3) || !d.g.Knows(1) {
		t.Error("who is known is wrong")
	}
	d.handle(OperatorOverride{Backend: 1})
	if w := d.g.warmth(d.g.servers[1]); w != set.InitialColdFraction {
		t.Errorf("warmth %f on return", w)
	}
	if n := sends(); n > 1 {
		t.Errorf("%d sends at once to a cold backend", n)
	}
	d.now += 2 * set.ColdDuration
	if sends() == 0 {
		t.Error("nothing sent to a backend that is back and warm")
	}
	// What discovery says holds as well.
	d.handle(OperatorOverride{Backend: 1, Offline: true})
	d.handle(Backends{Kind: Delta, Entries: []Backend{{ID: 1, State: Draining}}})
	d.handle(OperatorOverride{Backend: 1})
	if sends() != 0 {
		t.Error("the call back undid a drain")
	}
}

// Two processes of a gateway must spend nothing twice: what one has in its state
// the other has not, and what each may do unasked is a part of the whole.
func TestHandOver(t *testing.T) {
	set := testSettings()
	set.Plans[1].CeilingRate, set.Plans[1].CeilingBurst = 40, 80
	old := start(t, set, some(3)...)
	old.ask(0, 1, 1) // takes a lease
	old.ask(0, 0, 2)
	old.handle(OperatorOverride{Backend: 2, Offline: true})
	old.handle(OperatorOverride{Backend: 3, Offline: true})
	old.now++
	old.handle(OperatorOverride{Backend: 3}) // back, and so cold
	units := map[CustomerID]float64{}
	locals := map[CustomerID]float64{}
	for _, c := range old.g.roster {
		c.takeLocal(old.now, 0)
		units[c.id], locals[c.id] = c.units, c.local
	}
	if units[1] < 2 {
		t.Fatalf("%f units leased, too few to share", units[1])
	}
	whole := old.g.customers[1].terms
	state := one[Exported](t, old.handle(Export{})).Snapshot

	next := &drive{t: t, now: old.now, nextID: 100}
	next.g, _ = New(set, 8, next.now, nil)
	next.handle(Backends{Kind: CachedList, Entries: some(3)})
	next.handle(Import{Snapshot: state})
	for id, had := range units {
		a, b := old.g.customers[id], next.g.customers[id]
		if sum := a.units + b.units; sum > had || b.units == 0 && had >= 2 {
			t.Errorf("customer %d: %f and %f of %f units", id, a.units, b.units, had)
		}
		if a.takeLocal(old.now, 0); a.local+b.local > locals[id]+1e-9 {
			t.Errorf("customer %d: local shares %f and %f of %f", id, a.local, b.local, locals[id])
		}
	}
	for _, d := range []*drive{old, next} {
		if c := d.g.customers[1].terms; c.localRate > whole.localRate/2 || c.first > whole.first/2 {
			t.Errorf("terms of a process %+v, of the gateway %+v", c, whole)
		}
		if s := d.g.servers[2]; s.usable() || !d.g.servers[1].usable() {
			t.Error("the ban is not in both states")
		}
		if w := d.g.warmth(d.g.servers[3]); w != set.InitialColdFraction {
			t.Errorf("a backend that has just come back has warmth %f", w)
		}
		d.g.bound, d.g.inFlight = 20, 10
		if !d.g.full(len(d.g.worths) - 1) {
			t.Error("half of the bound does not bind")
		}
		d.g.inFlight = 0
	}
	next.ask(0, 1, 1)
	if n := len(find[Count](next.last)); n != 0 {
		t.Errorf("%d calls to the counter for a customer whose lease was handed over", n)
	}
	old.handle(Shutdown{Deadline: old.now + 1})
	next.handle(SiblingDraining)
	if sum := old.g.share + next.g.share; sum > 1 {
		t.Errorf("the shares are %f together", sum)
	}
	next.handle(SiblingAbsent)
	if c := next.g.customers[1].terms; c.localRate != whole.localRate {
		t.Errorf("alone, the local rate is %f of %f", c.localRate, whole.localRate)
	}
}

// A process that ends answers whom it holds before it does.
func TestLeaveEndsRequestsInTime(t *testing.T) {
	d := start(t, testSettings())
	d.handle(Shutdown{Deadline: d.now + 0.5})
	d.ask(1, 1, 1)
	for _, timer := range find[SetTimer](d.last) {
		if timer.Token>>56 == timerEnd && timer.Delay > 0.5 {
			t.Errorf("answered after %f s, when the process is gone", timer.Delay)
		}
	}
	if len(find[SetTimer](d.last)) == 0 {
		t.Error("no timer")
	}
}

// A body on its way is no work for a backend; its request's time counts from its end.
func TestOpenRequest(t *testing.T) {
	set := testSettings()
	set.Plans[1].Rate = 0
	d := start(t, set, some(2)...)
	open := func() (RequestID, Send) {
		d.nextID++
		out := d.handle(Request{ID: d.nextID, Class: 1, Plan: 1, Customer: 1, Units: 1, GatewayCount: 2, Deadline: d.now + 2,
			BodyPending: true})
		s := one[Send](t, out)
		if s.Timeout != 0 || d.g.inFlight != 0 {
			t.Fatalf("time-out %f, %d in flight while the body comes", s.Timeout, d.g.inFlight)
		}
		return d.nextID, s
	}
	id, s := open()
	d.now += 60 // a slow client
	for _, kind := range []uint64{timerStart, timerEnd, timerLate} {
		if out := d.handle(Timer{Token: kind<<56 | uint64(id)}); len(find[Refuse](out))+len(find[Fail](out)) != 0 {
			t.Fatalf("given up while its body comes: %v", out)
		}
	}
	out := d.handle(BodyComplete{Request: id, Deadline: d.now + 2})
	if d.g.inFlight != 1 {
		t.Errorf("%d in flight once it is whole", d.g.inFlight)
	}
	ends := false
	for _, timer := range find[SetTimer](out) {
		ends = ends || timer.Token>>56 == timerEnd && timer.Delay > 0.9 && timer.Delay < 2
	}
	if !ends {
		t.Errorf("no end for it in %v", out)
	}
	d.now += 0.1
	d.handle(AttemptEnd{Request: id, Backend: s.Backend, Outcome: Served})
	if d.g.inFlight != 0 || d.g.latency > 0.2 {
		t.Errorf("%d in flight at the end, latency %f", d.g.inFlight, d.g.latency)
	}
	// What broke off before its end never ran, and is not sent again once its body is used up.
	id, s = open()
	out = d.handle(AttemptEnd{Request: id, Backend: s.Backend, Outcome: ConnectFailed, BodyConsumed: true})
	if n := len(find[Send](out)); n != 0 {
		t.Errorf("sent %d more times", n)
	}
	one[Refuse](t, out)
}

// An answer that has begun is neither cut off nor made again, and its transfer says nothing of the backend.
func TestEstablished(t *testing.T) {
	set := testSettings()
	set.Plans[1].Rate = 0
	d := start(t, set, some(1)...)
	id := d.ask(0, 1, 1)
	s := one[Send](t, d.last)
	d.now += 0.1
	d.g.set.UnitsEstimated = true
	had := d.g.customers[1].units
	d.handle(Established{Request: id, Backend: s.Backend, Took: 0.1, Units: 3})
	if c := d.g.customers[1]; c.units != had-2 { // of which the request named one
		t.Errorf("%f units were %f before three were told", c.units, had)
	}
	if d.g.inFlight != 0 {
		t.Errorf("%d in flight while the answer is on its way", d.g.inFlight)
	}
	d.now += 30
	for _, kind := range []uint64{timerEnd, timerLate} {
		if out := d.handle(Timer{Token: kind<<56 | uint64(id)}); len(find[Cancel](out))+len(find[Refuse](out)) != 0 {
			t.Errorf("cut off: %v", out)
		}
	}
	d.handle(AttemptEnd{Request: id, Backend: s.Backend, Outcome: Served})
	if d.g.inFlight != 0 || d.g.latency > 0.2 || d.g.servers[s.Backend].fail != 0 {
		t.Errorf("%d in flight, latency %f, failures %f", d.g.inFlight, d.g.latency, d.g.servers[s.Backend].fail)
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
