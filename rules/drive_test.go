package rules

import "testing"

// drive drives one gateway by hand and keeps the actions of the last event.
type harness struct {
	t       *testing.T
	gateway *Gateway
	now     float64
	last    []Action
	nextID  RequestID
}

func testSettings() Settings {
	return Settings{
		Classes: []Class{{Aim: 0.8, Deadline: 2, Worth: 1},
			{Aim: 1, Deadline: 3, Worth: 3, Effect: ByKey, Scope: ScopeCell, DedupeWindow: 2}},
		Plans: []Plan{{Price: 0.5, Rate: 2, Burst: 4, OverQuotaCost: 1}, {Price: 1.5, Rate: 20, Burst: 40, OverQuotaCost: 1}},
		Fleet: 2, Tick: 0.002, Counter: true, CounterTimeout: 0.05,
		CanCancel: true, CanHedge: true, MaxRetryAfter: 0.5, MaxAttempts: 4, AnswerSlack: 0.008,
		DrainGrace: 1, InitialColdFraction: 0.2, ColdDuration: 10, OverloadMultiple: 2, OverloadDuration: 2,
	}
}

func start(t *testing.T, settings Settings, backends ...Backend) *harness {
	t.Helper()
	harness := &harness{t: t, now: 100}
	harness.gateway, harness.last = New(settings, 7, harness.now, nil)
	harness.handle(Backends{Kind: CachedList, Entries: backends})
	return harness
}

func ready(id BackendID) Backend { return Backend{ID: id, State: Ready, Cell: int(id) / 2, Weight: 1} }

func some(n int) (out []Backend) {
	for i := range n {
		out = append(out, ready(BackendID(i+1)))
	}
	return out
}

func (harness *harness) handle(ev Event) []Action {
	harness.last = harness.gateway.Handle(harness.now, ev, nil)
	return harness.last
}

// ask sends a request of the class and plan and answers its counter calls in full.
func (harness *harness) ask(class, plan int, who CustomerID) RequestID {
	harness.nextID++
	settings := harness.gateway.settings
	actions := harness.handle(Request{ID: harness.nextID, Class: class, Plan: plan, Customer: who, Units: 1, GatewayCount: 2,
		Deadline: harness.now + settings.Classes[class].Deadline})
	harness.last = append(actions, harness.grantAll(actions)...)
	return harness.nextID
}

func (harness *harness) grantAll(actions []Action) (all []Action) {
	for _, c := range find[Count](actions) {
		all = append(all, harness.gateway.Handle(harness.now, CounterReply{Name: c.Name, Total: c.Amount}, nil)...)
	}
	return all
}

func find[A Action](actions []Action) (out []A) {
	for _, a := range actions {
		if x, ok := a.(A); ok {
			out = append(out, x)
		}
	}
	return out
}

func one[A Action](t *testing.T, actions []Action) A {
	t.Helper()
	all := find[A](actions)
	if len(all) != 1 {
		var none A
		t.Fatalf("want one %T, got %v", none, actions)
	}
	return all[0]
}
