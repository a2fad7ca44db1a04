package rules

import "testing"

// Guards against requests that run twice when they arrive again under the same id.
func TestReplaysOfRequestsThatMayHaveRunFail(t *testing.T) {
	settings := testSettings()
	settings.MaxIdentities = 8
	send := func(harness *gatewayHarness, class int, identity uint64) []Action {
		harness.nextID++
		actions := harness.handle(Request{ID: harness.nextID, Class: class, Plan: 1, Customer: 1, Units: 1, GatewayCount: 2, Identity: identity,
			Deadline: harness.now + 2})
		return append(actions, harness.answerCalls(actions)...)
	}
	isReplay := func(actions []Action) bool {
		failed := actionsOf[Fail](actions)
		return len(failed) == 1 && failed[0].Reason == RejectedReplay && len(actionsOf[Send](actions)) == 0
	}
	t.Run("in progress, after the client has left, and after the answer", func(t *testing.T) {
		harness := newHarness(t, settings, readyBackends(4)...)
		first := onlyAction[Send](t, send(harness, 1, 7))
		if !isReplay(send(harness, 1, 7)) {
			t.Error("ran again while the first was in progress")
		}
		harness.handle(ClientGone{Request: first.Request})
		harness.handle(AttemptEnd{Request: first.Request, Backend: first.Backend, Outcome: Cancelled})
		if !isReplay(send(harness, 1, 7)) {
			t.Error("ran again after its client had left")
		}
		if harness.now += identityLifetime + 1; isReplay(send(harness, 1, 8)) || isReplay(send(harness, 1, 7)) {
			t.Error("an id is kept for too long")
		}
	})
	t.Run("not run, or repeatable", func(t *testing.T) {
		harness := newHarness(t, settings, readyBackends(4)...)
		first := onlyAction[Send](t, send(harness, 1, 7))
		harness.handle(ClientGone{Request: first.Request})
		harness.handle(AttemptEnd{Request: first.Request, Backend: first.Backend, Outcome: ConnectFailed})
		if isReplay(send(harness, 1, 7)) {
			t.Error("a request that has not run may be sent again")
		}
		send(harness, 0, 9)
		if isReplay(send(harness, 0, 9)) {
			t.Error("a repeatable request may be sent again")
		}
	})
	t.Run("at the sibling process", func(t *testing.T) {
		old, next := newHarness(t, settings, readyBackends(4)...), newHarness(t, settings, readyBackends(4)...)
		send(old, 1, 7)
		exported := onlyAction[Exported](t, old.handle(Export{}))
		next.handle(Import(exported))
		if !isReplay(send(next, 1, 7)) {
			t.Error("ran again at the successor")
		}
		if old.gateway.ClaimIdentity(old.now, 7) || !old.gateway.ClaimIdentity(old.now, 10) || !isReplay(send(old, 1, 10)) {
			t.Error("a claim must be granted once, and to one process")
		}
	})
	t.Run("limited", func(t *testing.T) {
		harness := newHarness(t, settings, readyBackends(4)...)
		for identity := range uint64(1000) {
			harness.gateway.ClaimIdentity(harness.now, identity+1)
		}
		if kept := len(harness.gateway.identities.order); kept != settings.MaxIdentities || len(harness.gateway.identities.acceptedAt) != kept {
			t.Errorf("%d ids are kept, limit %d", kept, settings.MaxIdentities)
		}
	})
}
