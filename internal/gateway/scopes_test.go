package gateway

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dunlintray/internal/registry"
	"dunlintray/internal/subset"
	"dunlintray/rules"
)

// scopedRegistry is a list service with backends in several scopes.
type scopedRegistry struct {
	address  string
	backends map[string]*scopedBackend
}

// scopedBackend answers requests, or breaks their connections.
type scopedBackend struct {
	placement registry.Placement
	server    *httptest.Server
	failing   atomic.Bool
	served    atomic.Int64
}

func (b *scopedBackend) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if b.failing.Load() {
		panic(http.ErrAbortHandler)
	}
	b.served.Add(1)
	io.WriteString(w, "ok")
}

// newScopedRegistry starts a list service that is ready at once, with so many backends in each
// place. They need no renewals for as long as a test lasts.
func newScopedRegistry(t *testing.T, places map[registry.Placement]int) *scopedRegistry {
	t.Helper()
	limits := storeLimits
	limits.Lease = time.Minute
	began := time.Now().Add(-time.Hour)
	writer := registry.NewWriter("self", registry.NewStore(limits, "first", time.Now().UnixMilli(), 0), serveLimits, began, rand.New(rand.NewPCG(1, 1)))
	s := &scopedRegistry{address: startRegistry(t, "127.0.0.1:0", writer.Serve).address, backends: map[string]*scopedBackend{}}
	for place, count := range places {
		for n := range count {
			id := fmt.Sprintf("%s-%s-%d", place.Service, place.Region, n)
			b := &scopedBackend{placement: place}
			b.server = httptest.NewServer(b)
			t.Cleanup(b.server.Close)
			s.backends[id] = b
			s.register(t, id)
		}
	}
	return s
}

// call makes a write that has to succeed.
func (s *scopedRegistry) call(t *testing.T, method, path string, body any) {
	t.Helper()
	text, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequest(method, "http://"+s.address+registry.Path+"/"+path, strings.NewReader(string(text)))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := (&http.Client{Timeout: testTimeout}).Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if answer, _ := io.ReadAll(resp.Body); resp.StatusCode != http.StatusOK {
		t.Fatalf("%s %s: %s %s", method, path, resp.Status, answer)
	}
}

func (s *scopedRegistry) register(t *testing.T, id string) {
	t.Helper()
	b := s.backends[id]
	s.call(t, "PUT", id, map[string]any{"hostPort": b.server.Listener.Addr().String(), "zone": b.placement.Zone, "machineType": "m",
		"lifecycle": "Ready", "startedAtMs": 5, "service": b.placement.Service, "region": b.placement.Region})
}

func (s *scopedRegistry) drain(t *testing.T, id string) {
	t.Helper()
	s.call(t, "POST", id+"/lifecycle", map[string]any{"startedAtMs": 5, "lifecycle": "Terminating"})
}

// version is that of the list.
func (s *scopedRegistry) version(t *testing.T) int64 {
	t.Helper()
	resp, err := http.Get("http://" + s.address + registry.Path)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var l Listing
	if err := json.NewDecoder(resp.Body).Decode(&l); err != nil {
		t.Fatal(err)
	}
	return l.Generation
}

// config is the text of a gateway's configuration with keys beside its registries.
func (s *scopedRegistry) config(name, keys string) string {
	text := strings.Replace(configText("", testSettings), `"counter"`, fmt.Sprintf(`"registries": [%q], %s, "counter"`, s.address, keys), 1)
	return strings.Replace(text, `"name": "n3"`, fmt.Sprintf(`"name": %q`, name), 1)
}

// startGateway starts one and waits until it is ready.
func (s *scopedRegistry) startGateway(t *testing.T, name, keys string) *testGateway {
	t.Helper()
	c, err := parseConfig([]byte(s.config(name, keys)))
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		t.Fatal(err)
	}
	r := &testGateway{ended: make(chan error, 1)}
	r.serve(t, &c, l)
	r.awaitReadiness(t, http.StatusOK)
	return r
}

// backendsView is what a gateway tells of its backends.
func (g *testGateway) backendsView(t *testing.T) (v BackendsView) {
	t.Helper()
	_, text := g.callControl(t, "GET", "/control/backends")
	if err := json.Unmarshal([]byte(text), &v); err != nil {
		t.Fatal(err)
	}
	return v
}

// readyBackends returns the backends that a gateway has as Ready.
func (g *testGateway) readyBackends(t *testing.T) (ids []string) {
	t.Helper()
	for _, b := range g.backendsView(t).Backends {
		if b.Lifecycle == registry.Ready {
			ids = append(ids, b.ID)
		}
	}
	return ids
}

// sendRequests sends so many, one after the other, and returns how many were served, and
// which backends served them.
func (s *scopedRegistry) sendRequests(t *testing.T, r *testGateway, count int) (ok int, by []string) {
	t.Helper()
	before := map[string]int64{}
	for id, b := range s.backends {
		before[id] = b.served.Load()
	}
	for range count {
		_, answers := r.request(t, requestText("GET", "lookup", ""))
		if wait(t, answers, "answer").StatusCode == http.StatusOK {
			ok++
		}
	}
	for id, b := range s.backends {
		if b.served.Load() > before[id] {
			by = append(by, id)
		}
	}
	slices.Sort(by)
	return ok, by
}

// expectServedBy sends requests that have to be served, by the given backends alone.
func (s *scopedRegistry) expectServedBy(t *testing.T, r *testGateway, by []string) {
	t.Helper()
	const count = 40
	ok, served := s.sendRequests(t, r, count)
	if ok != count {
		t.Errorf("%d of %d requests were served", ok, count)
	}
	for _, id := range served {
		if !slices.Contains(by, id) {
			t.Errorf("%s has served, and is not among %v", id, by)
		}
	}
}

// eventually waits for a condition.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

var (
	checkoutEU = registry.Placement{Service: "checkout", Region: "eu", Zone: "a"}
	checkoutUS = registry.Placement{Service: "checkout", Region: "us", Zone: "b"}
	searchEU   = registry.Placement{Service: "search", Region: "eu", Zone: "a"}
)

const scopesEU = `"scopes": ["checkout@region=eu"], "subset": {"size": 3}`

// expectedSubset returns the backends that a gateway should use by its name alone.
func (s *scopedRegistry) expectedSubset(name string, place registry.Placement) (ids []string) {
	whole := Listing{Reset: true}
	for id, b := range s.backends {
		if b.placement == place {
			whole.Instances = append(whole.Instances, Instance{ID: id, Lifecycle: registry.Ready, Service: place.Service})
		}
	}
	for _, i := range subset.New(name, subset.Settings{Size: 3, Fleet: 2}).Apply(0, whole).Instances {
		ids = append(ids, i.ID)
	}
	slices.Sort(ids)
	return ids
}

// A gateway uses its subset of its scopes alone. What of it drains is replaced at once and
// gets nothing new; what drains outside is acknowledged by the version.
func TestGatewayUsesSubsetOfItsScopes(t *testing.T) {
	t.Parallel()
	s := newScopedRegistry(t, map[registry.Placement]int{checkoutEU: 8, checkoutUS: 2, searchEU: 2})
	r := s.startGateway(t, "gw-1", scopesEU)
	r.awaitMetrics(t, "app.known_backends:3|g", "app.subset.candidates:8|g", "app.subset.size:3|g", "app.subset.chosen:3|g", "app.subset.widened:0|g")
	first := r.readyBackends(t)
	if want := s.expectedSubset("gw-1", checkoutEU); !slices.Equal(first, want) {
		t.Errorf("%v are in use, want %v", first, want)
	}
	s.expectServedBy(t, r, first)

	// Another process of this gateway uses the same, and another gateway others.
	if again := s.startGateway(t, "gw-1", scopesEU).readyBackends(t); !slices.Equal(again, first) {
		t.Errorf("a second process uses %v, not %v", again, first)
	}
	if others := s.startGateway(t, "gw-2", scopesEU).readyBackends(t); slices.Equal(others, first) {
		t.Errorf("another gateway uses %v too", others)
	}

	outside := ""
	for id, b := range s.backends {
		if b.placement == checkoutEU && !slices.Contains(first, id) {
			outside = id
		}
	}
	for _, id := range []string{outside, "checkout-us-0"} { // of the subset, and of the scopes
		s.drain(t, id)
		version := s.version(t)
		eventually(t, "the version of a drain outside is told", func() bool { return r.backendsView(t).Version >= version })
		if now := r.readyBackends(t); !slices.Equal(now, first) {
			t.Errorf("after a drain of %s %v are in use, not %v", id, now, first)
		}
	}

	s.drain(t, first[0])
	eventually(t, "the drain is told", func() bool { return !slices.Contains(r.readyBackends(t), first[0]) })
	now := r.readyBackends(t)
	if len(now) != 3 || !slices.Contains(now, first[1]) || !slices.Contains(now, first[2]) || slices.Contains(now, outside) {
		t.Errorf("%v are in use after %v, of which the first drains", now, first)
	}
	r.awaitMetrics(t, "app.known_backends:4|g", "app.skipped_backends:1|g", "app.subset.chosen:3|g")
	s.expectServedBy(t, r, now)

	s.call(t, "DELETE", now[0]+"?startedAtMs=5", nil)
	eventually(t, "one that has gone is replaced", func() bool { return len(r.readyBackends(t)) == 3 && !slices.Contains(r.readyBackends(t), now[0]) })
	s.expectServedBy(t, r, r.readyBackends(t))
}

// All of the subset fail together, though the list has them for ready: it is widened, and
// requests are served.
func TestFailingSubsetIsWidened(t *testing.T) {
	t.Parallel()
	s := newScopedRegistry(t, map[registry.Placement]int{checkoutEU: 8})
	r := s.startGateway(t, "gw-1", scopesEU)
	first := r.readyBackends(t)
	s.expectServedBy(t, r, first)
	for _, id := range first {
		s.backends[id].failing.Store(true)
	}
	began := time.Now()
	eventually(t, "requests are served by others", func() bool {
		ok, _ := s.sendRequests(t, r, 1)
		return ok == 1
	})
	t.Logf("served again after %v", time.Since(began))
	r.awaitMetrics(t, "app.subset.widened:1|g", "app.subset.size:6|g", "app.known_backends:6|g")
	now := r.readyBackends(t)
	for _, id := range first {
		if !slices.Contains(now, id) {
			t.Errorf("%s has left the subset as that was widened", id)
		}
	}
}

// An operator's word holds for a backend outside the subset too, from the moment that it
// enters, and in the process that comes next.
func TestOverrideOutsideSubset(t *testing.T) {
	t.Parallel()
	s := newScopedRegistry(t, map[registry.Placement]int{checkoutEU: 4})
	l, dir := newSharedListener(t)
	start := func() *testGateway {
		c, err := parseConfig([]byte(s.config("gw-1", scopesEU)))
		if err != nil {
			t.Fatal(err)
		}
		c.HandoverDir = dir
		r := &testGateway{ended: make(chan error, 1)}
		r.serve(t, &c, duplicate(t, l))
		r.awaitReadiness(t, http.StatusOK)
		return r
	}
	old := start()
	first := old.readyBackends(t)
	last := ""
	for id := range s.backends {
		if !slices.Contains(first, id) {
			last = id
		}
	}
	for _, call := range []struct {
		path   string
		status int
	}{{"none/offline", 404}, {"none/online", 404}, {last + "/offline", 200}, {last + "/online", 200}, {last + "/offline", 200}} {
		if status, text := old.callControl(t, "POST", "/control/backends/"+call.path); status != call.status {
			t.Errorf("%s: %d %s", call.path, status, text)
		}
	}
	eventually(t, "the next process can take over", func() bool { _, err := os.Stat(filepath.Join(dir, handoverSocketName)); return err == nil })
	next := start()
	next.awaitMetrics(t, "app.subset.chosen:3|g", "app.skipped_backends:0|g")
	s.drain(t, first[0]) // now the last one enters
	for _, r := range []*testGateway{old, next} {
		r.awaitMetrics(t, "app.known_backends:4|g", "app.skipped_backends:2|g")
	}
	s.expectServedBy(t, next, first[1:]) // by either process, as they have one socket
	if status, _ := next.callControl(t, "POST", "/control/backends/"+last+"/online"); status != 200 {
		t.Errorf("back: %d", status)
	}
	for _, r := range []*testGateway{old, next} {
		r.awaitMetrics(t, "app.known_backends:4|g", "app.skipped_backends:1|g")
	}
}

// duplicate returns another listener of the same socket.
func duplicate(t *testing.T, shared net.Listener) net.Listener {
	t.Helper()
	f, err := shared.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	l, err := net.FileListener(f)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// A reload changes the scopes and the subset of a gateway that has them, and no others.
func TestReloadChangesScopesAndSubset(t *testing.T) {
	t.Parallel()
	s := newScopedRegistry(t, map[registry.Placement]int{checkoutEU: 8, checkoutUS: 5, searchEU: 2})
	r := s.startGateway(t, "gw-1", scopesEU)
	reload := func(keys string) {
		t.Helper()
		c, err := parseConfig([]byte(s.config("gw-1", keys)))
		r.reloads <- Reload{Config: c, Err: err}
	}
	reload(`"scopes": ["checkout@region=us"], "subset": {"size": 3}`)
	there := s.expectedSubset("gw-1", checkoutUS)
	eventually(t, "the other scope is in use", func() bool { return slices.Equal(r.readyBackends(t), there) })
	s.expectServedBy(t, r, there)
	r.awaitMetrics(t, "app.loads:1|c", "app.subset.candidates:5|g", "app.known_backends:3|g")

	reload(`"scopes": ["checkout@region=us"], "subset": {"size": 4}`)
	eventually(t, "the subset is larger", func() bool { return len(r.readyBackends(t)) == 4 })
	s.expectServedBy(t, r, r.readyBackends(t))

	for n, bad := range []string{`"subset": {"size": 4}`, `"scopes": ["checkout"]`, `"scopes": ["checkout"], "subset": {"size": 0}`,
		`"scopes": ["checkout", "search"], "subset": {"size": 4}`} {
		reload(bad)
		r.awaitMetrics(t, fmt.Sprintf("app.load_errors:%d|c", n+1), "app.loads:2|c")
	}
	s.expectServedBy(t, r, r.readyBackends(t))
}

// Scopes alone, without a subset, give the gateway all that is in them.
func TestScopesWithoutSubset(t *testing.T) {
	t.Parallel()
	s := newScopedRegistry(t, map[registry.Placement]int{checkoutEU: 4, checkoutUS: 2, searchEU: 2})
	r := s.startGateway(t, "gw-1", `"scopes": ["checkout@region=eu", "checkout@zone=b", "checkout@region=none"]`)
	r.awaitMetrics(t, "app.known_backends:6|g")
	if _, text := r.callControl(t, "GET", "/control/counters"); strings.Contains(text, "subset") {
		t.Errorf("figures of a subset that is off:\n%s", text)
	}
	s.expectServedBy(t, r, r.readyBackends(t))
}

func TestScopesConfigIsValidated(t *testing.T) {
	t.Parallel()
	text := func(keys string) []byte {
		return []byte(strings.Replace(configText("127.0.0.1:1", testSettings), `"counter"`, keys+`, "counter"`, 1))
	}
	const services = `"registries": ["127.0.0.1:1"]`
	for _, good := range []struct {
		keys string
		want scopesConfig
	}{
		{services, scopesConfig{}},
		{services + `, "scopes": null, "subset": null`, scopesConfig{}},
		{services + `, "subset": {}`, scopesConfig{}},
		{services + `, "scopes": ["checkout@zone=a", "checkout@region=eu"], "subset": {"size": 100, "coverage": 20}`,
			scopesConfig{[]registry.Scope{{Service: "checkout", Zone: "a"}, {Service: "checkout", Region: "eu"}},
				subset.Settings{Size: 100, Coverage: 20, Fleet: 2}}},
	} {
		c, err := parseConfig(text(good.keys))
		if err != nil || !reflect.DeepEqual(c.Scopes, good.want) {
			t.Errorf("%s: %+v, %v", good.keys, c.Scopes, err)
		}
	}
	for _, bad := range []struct{ keys, says string }{
		{`"scopes": ["checkout"]`, "registries is missing"},
		{`"subset": {"size": 5}`, "registries is missing"},
		{services + `, "scopes": []`, "the list is empty"},
		{services + `, "scopes": [""]`, "scope"},
		{services + `, "scopes": ["checkout@rack=7"]`, "rack=7"},
		{services + `, "scopes": ["checkout", "search"]`, "no routes by service"},
		{services + `, "scopes": "checkout"`, ".Scopes"},
		{services + `, "subset": {"size": -1}`, "size of -1"},
		{services + `, "subset": {"size": 1000000}`, "size of 1000000"},
		{services + `, "subset": {"coverage": -3}`, "coverage of -3"},
	} {
		_, err := parseConfig(text(bad.keys))
		if err == nil || !strings.Contains(err.Error(), bad.says) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one of %q", bad.keys, err, bad.says)
		}
	}
}

// Of a list known from before, what is in the scopes counts.
func TestCachedListIsFilteredByScopes(t *testing.T) {
	known := Listing{Instances: []Instance{{ID: "b-1", Service: "checkout"}, {ID: "b-2", Service: "search"}, {ID: "b-3"}}}
	c := scopesConfig{scopes: []registry.Scope{{Service: "checkout"}}}
	if got := c.filterListing(known); len(got.Instances) != 1 || got.Instances[0].ID != "b-1" || len(known.Instances) != 3 {
		t.Errorf("%+v of %+v", got, known)
	}
	if got := (&scopesConfig{}).filterListing(known); len(got.Instances) != 3 {
		t.Errorf("%+v without scopes", got)
	}
}

// The module is told how many gateways share a backend, and again only when that has
// changed by a tenth.
func TestGatewaysPerBackendUpdatesInSteps(t *testing.T) {
	t.Parallel()
	of := func(first, last int) Listing {
		l := Listing{Reset: first == 0}
		for n := first; n < last; n++ {
			l.Instances = append(l.Instances, Instance{ID: fmt.Sprint("b-", n), Lifecycle: registry.Ready})
		}
		return l
	}
	s := newBackendSubset("gw-1", subset.Settings{Size: 10, Fleet: 500}, &subsetMetrics{})
	for _, step := range []struct {
		first, last, sharing int
		told                 bool
	}{{0, 100, 50, true}, {100, 105, 50, false}, {105, 200, 25, true}, {200, 250, 20, true}} {
		s.apply(0, of(step.first, step.last), rules.Delta)
		if told := s.updateMetrics(); told != step.told || s.gatewaysPerBackend != step.sharing {
			t.Errorf("of %d: shared by %d, told %t", step.last, s.gatewaysPerBackend, told)
		}
	}
	if got := s.metrics.candidates.Load(); got != 250 {
		t.Errorf("%d candidates", got)
	}
}

// A gateway whose new scopes no list service knows goes on with those that it had, and
// takes the new ones once there is such a service.
func TestUnknownScopesKeepActiveOnes(t *testing.T) {
	t.Parallel()
	s := newScopedRegistry(t, map[registry.Placement]int{checkoutEU: 4})
	r := s.startGateway(t, "gw-1", scopesEU)
	had := s.expectedSubset("gw-1", checkoutEU)
	eventually(t, "the scope is in use", func() bool { return slices.Equal(r.readyBackends(t), had) })

	c, err := parseConfig([]byte(s.config("gw-1", `"scopes": ["chekcout"], "subset": {"size": 3}`)))
	r.reloads <- Reload{Config: c, Err: err}
	r.awaitMetrics(t, "app.loads:1|c")
	before := s.version(t)
	s.drain(t, had[0]) // which is heard in the union of both, and so behind its first answer
	eventually(t, "the drain was heard", func() bool { return r.backendsView(t).Version > before })
	if got := r.readyBackends(t); len(got) != len(had) || slices.Contains(got, had[0]) {
		t.Errorf("in use after a reload with an unknown scope: %v, before %v", got, had)
	}
	s.expectServedBy(t, r, r.readyBackends(t))

	place := registry.Placement{Service: "chekcout", Region: "us", Zone: checkoutEU.Zone}
	b := &scopedBackend{placement: place}
	b.server = httptest.NewServer(b)
	t.Cleanup(b.server.Close)
	s.backends["late"] = b
	s.register(t, "late")
	eventually(t, "the new scope is in use", func() bool { return slices.Equal(r.readyBackends(t), []string{"late"}) })
}

// The scopes in force stay until an answer to both says that one of the next is known.
func TestScopeChangeNeedsKnownScope(t *testing.T) {
	scopesOf := func(texts ...string) []registry.Scope {
		scopes, err := registry.ParseScopes(texts)
		if err != nil {
			t.Fatal(err)
		}
		return scopes
	}
	set := func(texts ...string) *registry.ScopeSet {
		s, err := registry.NewScopeSet(scopesOf(texts...))
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	c := scopeChange{active: scopesOf("a")}
	if _, changed := c.handleAnswer(set("a"), nil); changed {
		t.Error("an answer changes the scopes of a reader that keeps them")
	}
	if read := c.begin(scopesOf("b", "c")); !slices.Equal(read, scopesOf("a", "b", "c")) {
		t.Errorf("reads %v while the scopes change", read)
	}
	for name, answer := range map[string]struct {
		of      *registry.ScopeSet
		unknown []registry.Scope
	}{
		"an answer to the call before":     {set("a"), nil},
		"an answer that knows none":        {set("a", "b", "c"), scopesOf("b", "c")},
		"an answer to scopes of long ago":  {set("a", "d"), scopesOf("b")},
		"an answer with the old one alone": {nil, nil},
	} {
		if _, changed := c.handleAnswer(answer.of, answer.unknown); changed {
			t.Errorf("%s ends the scopes in force", name)
		}
	}
	if read, changed := c.handleAnswer(set("a", "b", "c"), scopesOf("c")); !changed || !slices.Equal(read, scopesOf("b", "c")) {
		t.Errorf("reads %v, changed %v, once a scope is known", read, changed)
	}
}
