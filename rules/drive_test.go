package rules

import "testing"

// gatewayHarness passes events to one gateway and keeps the actions of the last one.
type gatewayHarness struct {
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
		Plans: []Plan{{Name: "basic", Price: 0.5, Rate: 2, Burst: 4, OverQuotaCost: 1}, {Name: "plus", Price: 1.5, Rate: 20, Burst: 40, OverQuotaCost: 1}},
		Fleet: 2, Tick: 0.002, Counter: true, CounterTimeout: 0.05,
		CanCancel: true, CanHedge: true, MaxRetryAfter: 0.5, MaxAttempts: 4, AnswerSlack: 0.008,
		DrainGrace: 1, InitialColdFraction: 0.2, ColdDuration: 10, OverloadMultiple: 2, OverloadDuration: 2,
	}
}

// newHarness returns a gateway at time 100 that knows the backends.
func newHarness(t *testing.T, settings Settings, backends ...Backend) *gatewayHarness {
	t.Helper()
	harness := &gatewayHarness{t: t, now: 100}
	harness.gateway, harness.last = New(settings, 7, harness.now, nil)
	harness.handle(Backends{Kind: CachedList, Entries: backends})
	return harness
}

func readyBackend(id BackendID) Backend {
	return Backend{ID: id, State: Ready, Cell: int(id) / 2, Weight: 1}
}

func readyBackends(n int) (backends []Backend) {
	for i := range n {
		backends = append(backends, readyBackend(BackendID(i+1)))
	}
	return backends
}

func (harness *gatewayHarness) handle(event Event) []Action {
	harness.last = harness.gateway.Handle(harness.now, event, nil)
	return harness.last
}

// request sends a request of the class and plan and answers its counter calls in full.
func (harness *gatewayHarness) request(class, plan int, customer CustomerID) RequestID {
	harness.nextID++
	settings := harness.gateway.settings
	actions := harness.handle(Request{ID: harness.nextID, Class: class, Plan: plan, Customer: customer, Units: 1, GatewayCount: 2,
		Deadline: harness.now + settings.Classes[class].Deadline})
	harness.last = append(actions, harness.answerCalls(actions)...)
	return harness.nextID
}

// answerCalls grants the full amount of each counter call and returns the resulting actions.
func (harness *gatewayHarness) answerCalls(actions []Action) (replies []Action) {
	for _, call := range actionsOf[Count](actions) {
		replies = append(replies, harness.gateway.Handle(harness.now, CounterReply{Name: call.Name, Total: call.Amount}, nil)...)
	}
	return replies
}

// actionsOf returns the actions of one type.
func actionsOf[A Action](actions []Action) (found []A) {
	for _, a := range actions {
		if action, ok := a.(A); ok {
			found = append(found, action)
		}
	}
	return found
}

// onlyAction returns the action of one type and fails the test unless there is exactly one.
func onlyAction[A Action](t *testing.T, actions []Action) A {
	t.Helper()
	all := actionsOf[A](actions)
	if len(all) != 1 {
		var zero A
		t.Fatalf("want one %T, got %v", zero, actions)
	}
	return all[0]
}
