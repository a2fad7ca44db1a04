package scale

import (
	"math/rand/v2"
	"testing"
	"time"

	"dunlintray/internal/registry"
)

// answerDueCalls answers all calls that are due until the given time, as a registry does, with
// increasing versions. It returns the number of calls by kind.
func answerDueCalls(t *testing.T, churning *churn, until time.Duration, version *int64) map[callKind]int {
	t.Helper()
	counts := map[callKind]int{}
	for {
		at, ok := churning.nextDue()
		if !ok || at > until {
			return counts
		}
		for _, outgoing := range churning.dueCalls(at) {
			counts[outgoing.kind]++
			answered := outgoing.backend.version
			if outgoing.kind != callRenew {
				*version++
				answered = *version
			}
			if changed := churning.handleResult(at, int64(at/time.Millisecond), outgoing, 200, answered); changed != (outgoing.kind != callRenew) {
				t.Fatalf("call kind %d at %v: changed is %v", outgoing.kind, at, changed)
			}
		}
	}
}

func testChurn(backends int) *churn {
	scenario := Default()
	scenario.Fleet.Backends = backends
	settings := churnSettings{RenewInterval: 3 * time.Second, DrainTime: time.Second, DownTime: time.Second, RegistrationsPerS: 100}
	return newChurn(NewPlan(&scenario, 20).Backends, settings, rand.New(rand.NewPCG(1, 1)))
}

// TestChurnRestartsBackendsAtConfiguredRate checks that restarts occur at the configured rate
// and that each drains, leaves and registers once, while all other backends renew.
func TestChurnRestartsBackendsAtConfiguredRate(t *testing.T) {
	churning := testChurn(100)
	version := int64(0)
	churning.start(0, 1)
	if counts := answerDueCalls(t, churning, time.Second, &version); counts[callRegister] != 100 || !churning.settled() {
		t.Fatalf("calls by kind %v, want 100 registrations and all backends serving", counts)
	}
	churning.setRestarts(time.Second, 10)
	counts := answerDueCalls(t, churning, 11*time.Second, &version)
	churning.setRestarts(11*time.Second, 0)
	for kind, n := range answerDueCalls(t, churning, 15*time.Second, &version) {
		counts[kind] += n
	}
	restarts := counts[callDrain] // at random times
	if restarts < 90 || restarts > 110 || counts[callLeave] != restarts || counts[callRegister] != restarts || !churning.settled() {
		t.Errorf("calls by kind %v, settled %v", counts, churning.settled())
	}
	if counts[callRenew] < 300 || counts[callRenew] > 500 {
		t.Errorf("%d renewals by 100 backends in 14 s, one every 3 s each", counts[callRenew])
	}
	if len(churning.queue) != 100 {
		t.Errorf("%d of 100 backends are scheduled", len(churning.queue))
	}
}

// TestChurnRecoversFromFailedCalls checks which call follows a failed one, and that results
// for a stopped process are ignored.
func TestChurnRecoversFromFailedCalls(t *testing.T) {
	churning := testChurn(1)
	backend := churning.backends[0]
	churning.start(0, 1000)
	complete := func(status int, version int64) (call, bool) {
		t.Helper()
		at, ok := churning.nextDue()
		if !ok {
			t.Fatal("no call is scheduled")
		}
		calls := churning.dueCalls(at)
		if len(calls) != 1 {
			t.Fatalf("%d calls are due, want 1", len(calls))
		}
		return calls[0], churning.handleResult(at, 2000, calls[0], status, version)
	}
	if outgoing, _ := complete(503, 0); outgoing.kind != callRegister {
		t.Fatalf("first call: %+v, want a registration", outgoing)
	}
	if outgoing, changed := complete(200, 5); outgoing.kind != callRegister || outgoing.startedAtMs != 1000 || !changed {
		t.Fatalf("%+v: a failed registration was not retried", outgoing)
	}
	if outgoing, changed := complete(200, 5); outgoing.kind != callRenew || changed {
		t.Fatalf("%+v, changed %v: want a renewal that changes nothing", outgoing, changed)
	}
	complete(404, 0)
	if outgoing, changed := complete(200, 9); outgoing.kind != callRegister || outgoing.startedAtMs != 1000 || !changed {
		t.Fatalf("%+v: after its lease expired, want a registration of the same process", outgoing)
	}
	complete(409, 0)
	if outgoing, _ := complete(200, 10); outgoing.kind != callRegister || outgoing.startedAtMs != 2000 {
		t.Fatalf("%+v: after a conflict, want a registration of a new process", outgoing)
	}
	if !churning.settled() || churning.serving != 1 {
		t.Errorf("%d backends serve, want 1", churning.serving)
	}
	at, _ := churning.nextDue()
	outgoing := churning.dueCalls(at)[0]
	if churning.stop(func(Backend) bool { return true }) != 1 || churning.serving != 0 || !churning.settled() {
		t.Error("the backend was not stopped")
	}
	if churning.handleResult(at, 3000, outgoing, 200, 11) || backend.phase != phaseStopped {
		t.Error("the answer to a call of a stopped process was not ignored")
	}
	if _, ok := churning.nextDue(); ok {
		t.Error("a stopped backend is scheduled")
	}
	churning.resume(at, 4000, func(Backend) bool { return true })
	if outgoing, _ := complete(200, 12); outgoing.kind != callRegister || outgoing.startedAtMs != 4000 || !churning.settled() {
		t.Errorf("%+v: after resume, want a registration of a new process", outgoing)
	}
}

// TestLatencyCountsChangesThatGatewayReads checks that only changes in a gateway's scopes
// after its first list count, and that missing ones are reported.
func TestLatencyCountsChangesThatGatewayReads(t *testing.T) {
	gateway := Gateway{Scopes: []registry.Scope{{Service: "s1"}}}
	newChange := func(version, at int64, service string) Change {
		return Change{Version: version, AnsweredAt: at * 1e6, Service: service}
	}
	changes := []Change{newChange(3, 1, "s1"), newChange(5, 10, "s1"), newChange(6, 11, "s2"), newChange(8, 20, "s1"), newChange(9, 30, "s1")}
	life := &gatewayLife{updates: []receivedUpdate{{4, 5e6}, {6, 14e6}, {8, 20.5e6}}}
	var got Latency
	life.addLatencies(gateway, changes, &got)
	// Version 3 is in the first list, 6 is of another service, and 9 never arrived.
	if got.Count() != 2 || got.Missing != 1 || got.Max != 4*time.Millisecond || got.Counts[4] != 1 || got.Counts[0] != 1 {
		t.Errorf("%+v", got)
	}
	if p50 := got.Quantile(0.5); p50 != time.Millisecond {
		t.Errorf("p50 %v", p50)
	}
	life.endedAt = 25e6
	got = Latency{}
	if life.addLatencies(gateway, changes, &got); got.Missing != 0 {
		t.Errorf("%+v: want no missing changes after the gateway stopped", got)
	}
	var merged Latency
	merged.merge(&got)
	merged.merge(&got)
	if merged.Count() != 4 || merged.Quantile(1) != got.Max {
		t.Errorf("%+v", merged)
	}
}

// TestExpectedViewMatchesGatewayScopes checks that an expected view covers exactly the
// gateway's scopes and that its digest detects lifecycle changes in any order of instances.
func TestExpectedViewMatchesGatewayScopes(t *testing.T) {
	list := registry.Listing{Generation: 7, Instances: []registry.Instance{
		{ID: "a", Service: "s0", Region: "r0", Zone: "r0z0", Lifecycle: registry.Ready},
		{ID: "b", Service: "s1", Region: "r0", Zone: "r0z0", Lifecycle: registry.Ready},
		{ID: "c", Service: "s1", Region: "r1", Zone: "r1z0", Lifecycle: registry.Ready}}}
	viewOf := func(scopes ...registry.Scope) View { return newListParts(list).expectedView(Gateway{Scopes: scopes}) }
	whole := viewOf()
	for want, scopes := range map[int][]registry.Scope{
		1: {{Service: "s0"}},
		2: {{Service: "s0"}, {Service: "s1", Region: "r1"}},
		0: {{Service: "s0", Zone: "r1z0"}, {Service: "s9"}},
	} {
		if got := viewOf(scopes...); got.Count != want || got.Version != 7 || got.Digest == whole.Digest {
			t.Errorf("%v: %+v, want %d", scopes, got, want)
		}
	}
	if all := viewOf(registry.Scope{Service: "s0"}, registry.Scope{Service: "s1"}); all != whole || whole.Count != 3 {
		t.Errorf("the view of all services is %+v, of the whole list %+v", all, whole)
	}
	list.Instances[0], list.Instances[1] = list.Instances[1], list.Instances[0]
	if again := viewOf(); again != whole {
		t.Errorf("the view depends on the order of the list: %+v and %+v", whole, again)
	}
	list.Instances[0].Lifecycle = registry.Terminating
	if other := viewOf(); other.Digest == whole.Digest {
		t.Error("a change of lifecycle did not change the digest")
	}
}
