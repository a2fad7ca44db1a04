package scale

import (
	"math/rand/v2"
	"testing"
	"time"

	"dunlintray/internal/registry"
)

// answerAll answers each call that is due up to an end as a list service would, with
// versions that go on, and returns the calls by kind.
func answerDueCalls(t *testing.T, c *churn, until time.Duration, version *int64) map[callKind]int {
	t.Helper()
	made := map[callKind]int{}
	for {
		at, ok := c.nextDue()
		if !ok || at > until {
			return made
		}
		for _, k := range c.dueCalls(at) {
			made[k.kind]++
			v := k.backend.version
			if k.kind != callRenew {
				*version++
				v = *version
			}
			if changed := c.handleResult(at, int64(at/time.Millisecond), k, 200, v); changed != (k.kind != callRenew) {
				t.Fatalf("call %d at %v: changed is %v", k.kind, at, changed)
			}
		}
	}
}

func testChurn(n int) *churn {
	s := Default()
	s.Fleet.Backends = n
	settings := churnSettings{RenewInterval: 3 * time.Second, DrainTime: time.Second, DownTime: time.Second, RegistrationsPerS: 100}
	return newChurn(NewPlan(&s, 20).Backends, settings, rand.New(rand.NewPCG(1, 1)))
}

func TestChurnRestarts(t *testing.T) {
	c := testChurn(100)
	version := int64(0)
	c.start(0, 1)
	if made := answerDueCalls(t, c, time.Second, &version); made[callRegister] != 100 || !c.settled() {
		t.Fatalf("%v", made)
	}
	c.setRestarts(time.Second, 10)
	made := answerDueCalls(t, c, 11*time.Second, &version)
	c.setRestarts(11*time.Second, 0)
	for kind, n := range answerDueCalls(t, c, 15*time.Second, &version) {
		made[kind] += n
	}
	restarts := made[callDrain] // at drawn moments
	if restarts < 90 || restarts > 110 || made[callLeave] != restarts || made[callRegister] != restarts || !c.settled() {
		t.Errorf("%v, settled %v", made, c.settled())
	}
	if made[callRenew] < 300 || made[callRenew] > 500 {
		t.Errorf("%d renewals of 100 backends in 14 s, one each 3 s", made[callRenew])
	}
	if len(c.queue) != 100 {
		t.Errorf("%d of 100 backends have something to do", len(c.queue))
	}
}

func TestChurnGoesOnAfterFailures(t *testing.T) {
	c := testChurn(1)
	b := c.backends[0]
	c.start(0, 1000)
	one := func(status int, version int64) (call, bool) {
		t.Helper()
		at, ok := c.nextDue()
		if !ok {
			t.Fatal("nothing is due")
		}
		calls := c.dueCalls(at)
		if len(calls) != 1 {
			t.Fatalf("%d calls", len(calls))
		}
		return calls[0], c.handleResult(at, 2000, calls[0], status, version)
	}
	if k, _ := one(503, 0); k.kind != callRegister {
		t.Fatal(k)
	}
	if k, changed := one(200, 5); k.kind != callRegister || k.startedAtMs != 1000 || !changed {
		t.Fatalf("%+v: a registration that failed is made again", k)
	}
	if k, changed := one(200, 5); k.kind != callRenew || changed {
		t.Fatal("a renewal changes nothing")
	}
	one(404, 0)
	if k, changed := one(200, 9); k.kind != callRegister || k.startedAtMs != 1000 || !changed {
		t.Fatalf("%+v: after its lease it registers anew, as the same process", k)
	}
	one(409, 0)
	if k, _ := one(200, 10); k.kind != callRegister || k.startedAtMs != 2000 {
		t.Fatalf("%+v: after a conflict it is another process", k)
	}
	if !c.settled() || c.serving != 1 {
		t.Errorf("%d serve", c.serving)
	}
	at, _ := c.nextDue()
	k := c.dueCalls(at)[0]
	if c.stop(func(Backend) bool { return true }) != 1 || c.serving != 0 || !c.settled() {
		t.Error("it is not stopped")
	}
	if c.handleResult(at, 3000, k, 200, 11) || b.phase != phaseStopped {
		t.Error("an answer to a process that was stopped is void")
	}
	if _, ok := c.nextDue(); ok {
		t.Error("a stopped one has something to do")
	}
	c.resume(at, 4000, func(Backend) bool { return true })
	if k, _ := one(200, 12); k.kind != callRegister || k.startedAtMs != 4000 || !c.settled() {
		t.Errorf("%+v", k)
	}
}

func TestLatency(t *testing.T) {
	g := Gateway{Scopes: []registry.Scope{{Service: "s1"}}}
	of := func(version, at int64, service string) Change {
		return Change{Version: version, AnsweredAt: at * 1e6, Service: service}
	}
	changes := []Change{of(3, 1, "s1"), of(5, 10, "s1"), of(6, 11, "s2"), of(8, 20, "s1"), of(9, 30, "s1")}
	l := &gatewayLife{updates: []receivedUpdate{{4, 5e6}, {6, 14e6}, {8, 20.5e6}}}
	var got Latency
	l.addLatencies(g, changes, &got)
	// 3 was on its first list, 6 is of another service, and 9 never came.
	if got.Count() != 2 || got.Missing != 1 || got.Max != 4*time.Millisecond || got.Counts[4] != 1 || got.Counts[0] != 1 {
		t.Errorf("%+v", got)
	}
	if p50 := got.Quantile(0.5); p50 != time.Millisecond {
		t.Errorf("p50 %v", p50)
	}
	l.endedAt = 25e6
	got = Latency{}
	if l.addLatencies(g, changes, &got); got.Missing != 0 {
		t.Errorf("%+v: a gateway that has ended misses nothing", got)
	}
	var all Latency
	all.merge(&got)
	all.merge(&got)
	if all.Count() != 4 || all.Quantile(1) != got.Max {
		t.Errorf("%+v", all)
	}
}

func TestShares(t *testing.T) {
	list := registry.Listing{Generation: 7, Instances: []registry.Instance{
		{ID: "a", Service: "s0", Region: "r0", Zone: "r0z0", Lifecycle: registry.Ready},
		{ID: "b", Service: "s1", Region: "r0", Zone: "r0z0", Lifecycle: registry.Ready},
		{ID: "c", Service: "s1", Region: "r1", Zone: "r1z0", Lifecycle: registry.Ready}}}
	of := func(scopes ...registry.Scope) View { return newListParts(list).expectedView(Gateway{Scopes: scopes}) }
	whole := of()
	for want, scopes := range map[int][]registry.Scope{
		1: {{Service: "s0"}},
		2: {{Service: "s0"}, {Service: "s1", Region: "r1"}},
		0: {{Service: "s0", Zone: "r1z0"}, {Service: "s9"}},
	} {
		if got := of(scopes...); got.Count != want || got.Version != 7 || got.Digest == whole.Digest {
			t.Errorf("%v: %+v, want %d", scopes, got, want)
		}
	}
	if all := of(registry.Scope{Service: "s0"}, registry.Scope{Service: "s1"}); all != whole || whole.Count != 3 {
		t.Errorf("all services are %+v, the whole list is %+v", all, whole)
	}
	list.Instances[0], list.Instances[1] = list.Instances[1], list.Instances[0]
	if again := of(); again != whole {
		t.Errorf("the order of a list tells: %+v and %+v", whole, again)
	}
	list.Instances[0].Lifecycle = registry.Terminating
	if other := of(); other.Digest == whole.Digest {
		t.Error("a drain does not tell")
	}
}
