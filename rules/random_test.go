package rules

import (
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
)

// TestInvalidInputIsHandled sends settings and events that no valid deployment has.
func TestInvalidInputIsHandled(t *testing.T) {
	for name, settings := range map[string]Settings{
		"nothing set": {Classes: []Class{{}}, Plans: []Plan{{}}},
		"no fleet":    {Classes: []Class{{Aim: 1, Deadline: 2, Worth: 1}}, Plans: []Plan{{Price: 1, Rate: 1, Burst: 1}}, Counter: true},
		"no burst": {Classes: []Class{{Aim: 1, Deadline: 2, Worth: 1}}, Plans: []Plan{{Price: 1, Rate: 5, CeilingRate: 1}},
			Fleet: 1, Counter: true, Tick: 0.002},
		"slots only": {Classes: []Class{{Aim: 1, Deadline: 2, Worth: 1}}, Plans: []Plan{{Price: 1, MaxConcurrent: 1}},
			Fleet: 3, Counter: true, Tick: 0.002},
	} {
		harness := newHarness(t, settings, readyBackends(2)...)
		answered := 0
		for i, gateways := range []int{0, 1, 3, 1000} {
			id := RequestID(i + 1)
			actions := harness.handle(Request{ID: id, Units: 1, GatewayCount: gateways, FirstGateway: 7, Customer: 5, Deadline: harness.now + 2})
			for _, call := range actionsOf[Count](actions) {
				actions = append(actions, harness.handle(CounterReply{Name: call.Name, Total: math.Inf(1)})...)
				actions = append(actions, harness.handle(CounterReply{Name: call.Name, Outcome: Full})...) // a second reply
			}
			harness.handle(CounterReply{Name: 99})
			harness.handle(AttemptEnd{Request: id, Attempt: 9, Backend: 77, Outcome: Served})
			harness.handle(AttemptEnd{Request: 12345, Backend: 1, Outcome: NotStarted})
			harness.handle(Backends{Kind: FullList})
			harness.handle(Backends{Kind: Delta, Entries: readyBackends(1)})
			actions = append(actions, harness.handle(Timer{Token: timerHousekeeping << 56})...)
			for _, send := range actionsOf[Send](actions) {
				end := AttemptEnd{Request: send.Request, Backend: send.Backend, Took: 0.1, Done: true}
				harness.handle(end)
				harness.handle(end) // repeated
				answered++
			}
			answered += len(actionsOf[Refuse](actions)) + len(actionsOf[Fail](actions))
			harness.now += 2
			answered += len(actionsOf[Refuse](harness.handle(Timer{Token: timerAnswerBy<<56 | uint64(id)})))
		}
		if answered != 4 {
			t.Errorf("%s: %d of 4 requests answered", name, answered)
		}
	}
}

// TestRandomEventsKeepTheInvariants checks the rules on attempts and answers for random orders of events,
// and that equal events lead to equal actions.
func TestRandomEventsKeepTheInvariants(t *testing.T) {
	for seed := range uint64(60) {
		firstRun := randomRun(t, seed)
		if secondRun := randomRun(t, seed); !reflect.DeepEqual(firstRun, secondRun) {
			t.Fatalf("seed %d: the same events led to different actions", seed)
		}
	}
}

type trackedRequest struct {
	Request
	attempts    []Send
	outstanding []int
	answered    bool
}

func randomRun(t *testing.T, seed uint64) (log []Action) {
	rng := rand.New(rand.NewPCG(seed, 2))
	settings := testSettings()
	settings.CanHedge = seed%2 == 0
	settings.Counter = seed%3 != 0
	settings.Classes = append(settings.Classes, Class{Aim: 0.5, Deadline: 1, Worth: 2, Effect: Once})
	harness := newHarness(t, settings, readyBackends(5)...)
	trackedByID := map[RequestID]*trackedRequest{}
	var order []RequestID
	type timer struct {
		at    float64
		token uint64
	}
	timers := []timer{{100.05, timerHousekeeping << 56}}
	var calls []Count
	notReady := map[BackendID]bool{}
	record := func(actions []Action) {
		log = append(log, actions...)
		for _, action := range actions {
			switch action := action.(type) {
			case Send:
				tracked := trackedByID[action.Request]
				if tracked.answered {
					t.Fatalf("seed %d: request %d sent after its final answer", seed, action.Request)
				}
				if notReady[action.Backend] {
					t.Fatalf("seed %d: sent to backend %d, which is not ready", seed, action.Backend)
				}
				if len(tracked.outstanding) > 0 && !settings.CanHedge {
					t.Fatalf("seed %d: two attempts in flight without hedging", seed)
				}
				tracked.outstanding = append(tracked.outstanding, len(tracked.attempts))
				tracked.attempts = append(tracked.attempts, action)
				if len(tracked.attempts) > settings.MaxAttempts {
					t.Fatalf("seed %d: %d attempts of one request", seed, len(tracked.attempts))
				}
			case Refuse:
				tracked := trackedByID[action.Request]
				if tracked.answered {
					t.Fatalf("seed %d: two answers", seed)
				}
				tracked.answered = true
			case Fail:
				if trackedByID[action.Request].answered {
					t.Fatalf("seed %d: two answers", seed)
				}
				trackedByID[action.Request].answered = true
			case SetTimer:
				timers = append(timers, timer{harness.now + action.Delay, action.Token})
			case Count:
				calls = append(calls, action)
			}
		}
	}
	for range 3000 {
		harness.now += 0.002
		for i := 0; i < len(timers); i++ {
			if timers[i].at <= harness.now {
				due := timers[i]
				timers = slices.Delete(timers, i, i+1)
				i--
				record(harness.handle(Timer{Token: due.token}))
			}
		}
		for _, id := range order {
			if tracked := trackedByID[id]; !tracked.answered && harness.now > tracked.Deadline+settings.AnswerSlack {
				t.Fatalf("seed %d: request %d was not answered in time", seed, id)
			}
		}
		switch rng.IntN(6) {
		case 0, 1:
			harness.nextID++
			received := Request{ID: harness.nextID, Class: rng.IntN(3), Plan: rng.IntN(2), Customer: CustomerID(rng.IntN(4)), Units: 1,
				GatewayCount: 2}
			received.Deadline = harness.now + settings.Classes[received.Class].Deadline*(0.5+rng.Float64()/2)
			trackedByID[received.ID] = &trackedRequest{Request: received}
			order = append(order, received.ID)
			record(harness.handle(received))
		case 2, 3:
			if len(order) == 0 {
				continue
			}
			tracked := trackedByID[order[max(0, len(order)-1-rng.IntN(20))]]
			if len(tracked.outstanding) == 0 {
				continue
			}
			number := tracked.outstanding[0]
			tracked.outstanding = tracked.outstanding[1:]
			outcome := []Outcome{Served, Served, Errored, Full, TimedOut, Broken, ConnectFailed}[rng.IntN(7)]
			done := tracked.answered || outcome == Served
			tracked.answered = done
			record(harness.handle(AttemptEnd{Request: tracked.ID, Attempt: number, Backend: tracked.attempts[number].Backend, Outcome: outcome, Took: 0.1,
				Done: done}))
		case 4:
			if len(calls) > 0 {
				call := calls[0]
				calls = calls[1:]
				record(harness.handle(CounterReply{Name: call.Name, Outcome: []Outcome{Served, Served, Errored, TimedOut, Full, Broken}[rng.IntN(6)],
					Total: max(call.Amount+float64(rng.IntN(3)), 0)}))
			}
		case 5:
			backend := readyBackend(BackendID(1 + rng.IntN(5)))
			backend.State = BackendState(rng.IntN(3))
			notReady[backend.ID] = backend.State != Ready
			record(harness.handle(Backends{Kind: Delta, Entries: []Backend{backend}}))
		}
	}
	return log
}
