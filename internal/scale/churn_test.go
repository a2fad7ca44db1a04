package scale

import (
	"math/rand/v2"
	"testing"
	"time"

	"dunlintray/internal/registry"
)

// answerAll answers each call that is due up to an end as a list service would, with
// versions that go on, and returns the calls by kind.
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
				t.Fatalf("call %d at %v: changed is %v", outgoing.kind, at, changed)
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

func TestChurnRestartsBackendsAtConfiguredRate(t *testing.T) {
	churning := testChurn(100)
	version := int64(0)
	churning.start(0, 1)
	if counts := answerDueCalls(t, churning, time.Second, &version); counts[callRegister] != 100 || !churning.settled() {
		t.Fatalf("%v", counts)
	}
	churning.setRestarts(time.Second, 10)
	counts := answerDueCalls(t, churning, 11*time.Second, &version)
	churning.setRestarts(11*time.Second, 0)
	for kind, n := range answerDueCalls(t, churning, 15*time.Second, &version) {
		counts[kind] += n
	}
	restarts := counts[callDrain] // at drawn moments
	if restarts < 90 || restarts > 110 || counts[callLeave] != restarts || counts[callRegister] != restarts || !churning.settled() {
		t.Errorf("%v, settled %v", counts, churning.settled())
	}
	if counts[callRenew] < 300 || counts[callRenew] > 500 {
		t.Errorf("%d renewals of 100 backends in 14 s, one each 3 s", counts[callRenew])
	}
	if len(churning.queue) != 100 {
		t.Errorf("%d of 100 backends have something to do", len(churning.queue))
	}
}

func TestChurnRecoversFromFailedCalls(t *testing.T) {
	churning := testChurn(1)
	backend := churning.backends[0]
	churning.start(0, 1000)
	complete := func(status int, version int64) (call, bool) {
		t.Helper()
		at, ok := churning.nextDue()
		if !ok {
			t.Fatal("nothing is due")
		}
		calls := churning.dueCalls(at)
		if len(calls) != 1 {
			t.Fatalf("%d calls", len(calls))
		}
		return calls[0], churning.handleResult(at, 2000, calls[0], status, version)
	}
	if outgoing, _ := complete(503, 0); outgoing.kind != callRegister {
		t.Fatal(outgoing)
	}
	if outgoing, changed := complete(200, 5); outgoing.kind != callRegister || outgoing.startedAtMs != 1000 || !changed {
		t.Fatalf("%+v: a registration that failed is made again", outgoing)
	}
	if outgoing, changed := complete(200, 5); outgoing.kind != callRenew || changed {
		t.Fatal("a renewal changes nothing")
	}
	complete(404, 0)
	if outgoing, changed := complete(200, 9); outgoing.kind != callRegister || outgoing.startedAtMs != 1000 || !changed {
		t.Fatalf("%+v: after its lease it registers anew, as the same process", outgoing)
	}
	complete(409, 0)
	if outgoing, _ := complete(200, 10); outgoing.kind != callRegister || outgoing.startedAtMs != 2000 {
		t.Fatalf("%+v: after a conflict it is another process", outgoing)
	}
	if !churning.settled() || churning.serving != 1 {
		t.Errorf("%d serve", churning.serving)
	}
	at, _ := churning.nextDue()
	outgoing := churning.dueCalls(at)[0]
	if churning.stop(func(Backend) bool { return true }) != 1 || churning.serving != 0 || !churning.settled() {
		t.Error("it is not stopped")
	}
	if churning.handleResult(at, 3000, outgoing, 200, 11) || backend.phase != phaseStopped {
		t.Error("an answer to a process that was stopped is void")
	}
	if _, ok := churning.nextDue(); ok {
		t.Error("a stopped one has something to do")
	}
	churning.resume(at, 4000, func(Backend) bool { return true })
	if outgoing, _ := complete(200, 12); outgoing.kind != callRegister || outgoing.startedAtMs != 4000 || !churning.settled() {
		t.Errorf("%+v", outgoing)
	}
}

func TestLatencyCountsChangesThatGatewayReads(t *testing.T) {
	gateway := Gateway{Scopes: []registry.Scope{{Service: "s1"}}}
	newChange := func(version, at int64, service string) Change {
		return Change{Version: version, AnsweredAt: at * 1e6, Service: service}
	}
	changes := []Change{newChange(3, 1, "s1"), newChange(5, 10, "s1"), newChange(6, 11, "s2"), newChange(8, 20, "s1"), newChange(9, 30, "s1")}
	life := &gatewayLife{updates: []receivedUpdate{{4, 5e6}, {6, 14e6}, {8, 20.5e6}}}
	var got Latency
	life.addLatencies(gateway, changes, &got)
	// 3 was on its first list, 6 is of another service, and 9 never came.
	if got.Count() != 2 || got.Missing != 1 || got.Max != 4*time.Millisecond || got.Counts[4] != 1 || got.Counts[0] != 1 {
		t.Errorf("%+v", got)
	}
	if p50 := got.Quantile(0.5); p50 != time.Millisecond {
		t.Errorf("p50 %v", p50)
	}
	life.endedAt = 25e6
	got = Latency{}
	if life.addLatencies(gateway, changes, &got); got.Missing != 0 {
		t.Errorf("%+v: a gateway that has ended misses nothing", got)
	}
	var merged Latency
	merged.merge(&got)
	merged.merge(&got)
	if merged.Count() != 4 || merged.Quantile(1) != got.Max {
		t.Errorf("%+v", merged)
	}
}

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
		t.Errorf("all services are %+v, the whole list is %+v", all, whole)
	}
	list.Instances[0], list.Instances[1] = list.Instances[1], list.Instances[0]
	if again := viewOf(); again != whole {
		t.Errorf("the order of a list tells: %+v and %+v", whole, again)
	}
	list.Instances[0].Lifecycle = registry.Terminating
	if other := viewOf(); other.Digest == whole.Digest {
		t.Error("a drain does not tell")
	}
}
