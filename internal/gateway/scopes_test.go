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

// scopedRegistry is a service registry with backends in several scopes.
type scopedRegistry struct {
	address  string
	backends map[string]*scopedBackend
}

// scopedBackend answers requests, or aborts their connections while failing is set.
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

// newScopedRegistry starts a service registry that is ready at once, with the given number of
// backends per placement. Their leases outlast a test.
func newScopedRegistry(t *testing.T, places map[registry.Placement]int) *scopedRegistry {
	t.Helper()
	limits := storeLimits
	limits.Lease = time.Minute
	startedAt := time.Now().Add(-time.Hour)
	writer := registry.NewWriter("self", registry.NewStore(limits, "first", time.Now().UnixMilli(), 0), serveLimits, startedAt, rand.New(rand.NewPCG(1, 1)))
	scoped := &scopedRegistry{address: startRegistry(t, "127.0.0.1:0", writer.Serve).address, backends: map[string]*scopedBackend{}}
	for place, count := range places {
		for index := range count {
			id := fmt.Sprintf("%s-%s-%d", place.Service, place.Region, index)
			backend := &scopedBackend{placement: place}
			backend.server = httptest.NewServer(backend)
			t.Cleanup(backend.server.Close)
			scoped.backends[id] = backend
			scoped.register(t, id)
		}
	}
	return scoped
}

// call sends a write to the registry, which must succeed.
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

// version returns the version of the registry's list.
func (s *scopedRegistry) version(t *testing.T) int64 {
	t.Helper()
	resp, err := http.Get("http://" + s.address + registry.Path)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var listing Listing
	if err := json.NewDecoder(resp.Body).Decode(&listing); err != nil {
		t.Fatal(err)
	}
	return listing.Generation
}

// config returns the text of a gateway's configuration that reads this registry, with further keys.
func (s *scopedRegistry) config(name, keys string) string {
	text := strings.Replace(configText("", testSettings), `"counter"`, fmt.Sprintf(`"registries": [%q], %s, "counter"`, s.address, keys), 1)
	return strings.Replace(text, `"name": "n3"`, fmt.Sprintf(`"name": %q`, name), 1)
}

// startGateway starts a gateway and waits until it is ready.
func (s *scopedRegistry) startGateway(t *testing.T, name, keys string) *testGateway {
	t.Helper()
	config, err := parseConfig([]byte(s.config(name, keys)))
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		t.Fatal(err)
	}
	gateway := &testGateway{ended: make(chan error, 1)}
	gateway.serve(t, &config, listener)
	gateway.awaitReadiness(t, http.StatusOK)
	return gateway
}

// backendsView returns the answer to GET /control/backends.
func (g *testGateway) backendsView(t *testing.T) (v BackendsView) {
	t.Helper()
	_, text := g.callControl(t, "GET", "/control/backends")
	if err := json.Unmarshal([]byte(text), &v); err != nil {
		t.Fatal(err)
	}
	return v
}

// readyBackends returns the ids of the backends that the gateway lists as Ready.
func (g *testGateway) readyBackends(t *testing.T) (ids []string) {
	t.Helper()
	for _, b := range g.backendsView(t).Backends {
		if b.Lifecycle == registry.Ready {
			ids = append(ids, b.ID)
		}
	}
	return ids
}

// sendRequests sends count requests in sequence. It returns how many were served, and the sorted
// ids of the backends that served them.
func (s *scopedRegistry) sendRequests(t *testing.T, gateway *testGateway, count int) (served int, servers []string) {
	t.Helper()
	before := map[string]int64{}
	for id, backend := range s.backends {
		before[id] = backend.served.Load()
	}
	for range count {
		_, responses := gateway.request(t, requestText("GET", "lookup", ""))
		if wait(t, responses, "response").StatusCode == http.StatusOK {
			served++
		}
	}
	for id, backend := range s.backends {
		if backend.served.Load() > before[id] {
			servers = append(servers, id)
		}
	}
	slices.Sort(servers)
	return served, servers
}

// expectServedBy sends requests, which must all be served, and by the given backends alone.
func (s *scopedRegistry) expectServedBy(t *testing.T, gateway *testGateway, allowed []string) {
	t.Helper()
	const count = 40
	served, servers := s.sendRequests(t, gateway, count)
	if served != count {
		t.Errorf("%d of %d requests were served", served, count)
	}
	for _, id := range servers {
		if !slices.Contains(allowed, id) {
			t.Errorf("%s served requests and is not among %v", id, allowed)
		}
	}
}

// eventually waits until a condition holds, at most testTimeout.
func eventually(t *testing.T, event string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("did not happen in time: %s", event)
		}
	}
}

var (
	checkoutEU = registry.Placement{Service: "checkout", Region: "eu", Zone: "a"}
	checkoutUS = registry.Placement{Service: "checkout", Region: "us", Zone: "b"}
	searchEU   = registry.Placement{Service: "search", Region: "eu", Zone: "a"}
)

const scopesEU = `"scopes": ["checkout@region=eu"], "subset": {"size": 3}`

// expectedSubset returns the sorted ids of the subset that follows from a gateway's name alone.
func (s *scopedRegistry) expectedSubset(name string, place registry.Placement) (ids []string) {
	listing := Listing{Reset: true}
	for id, backend := range s.backends {
		if backend.placement == place {
			listing.Instances = append(listing.Instances, Instance{ID: id, Lifecycle: registry.Ready, Service: place.Service})
		}
	}
	for _, instance := range subset.New(name, subset.Settings{Size: 3, Fleet: 2}).Apply(0, listing).Instances {
		ids = append(ids, instance.ID)
	}
	slices.Sort(ids)
	return ids
}

// A gateway must use only the subset of its scopes. A draining backend of the subset must be replaced
// at once; the drain of another one must be acknowledged by the version.
func TestGatewayUsesSubsetOfItsScopes(t *testing.T) {
	t.Parallel()
	scoped := newScopedRegistry(t, map[registry.Placement]int{checkoutEU: 8, checkoutUS: 2, searchEU: 2})
	gateway := scoped.startGateway(t, "gw-1", scopesEU)
	gateway.awaitMetrics(t, "app.known_backends:3|g", "app.subset.candidates:8|g", "app.subset.size:3|g", "app.subset.chosen:3|g", "app.subset.widened:0|g")
	first := gateway.readyBackends(t)
	if want := scoped.expectedSubset("gw-1", checkoutEU); !slices.Equal(first, want) {
		t.Errorf("%v are used, want %v", first, want)
	}
	scoped.expectServedBy(t, gateway, first)

	// A sibling process uses the same subset, another gateway a different one.
	if again := scoped.startGateway(t, "gw-1", scopesEU).readyBackends(t); !slices.Equal(again, first) {
		t.Errorf("a second process uses %v, not %v", again, first)
	}
	if others := scoped.startGateway(t, "gw-2", scopesEU).readyBackends(t); slices.Equal(others, first) {
		t.Errorf("another gateway uses the same subset %v", others)
	}

	outside := ""
	for id, backend := range scoped.backends {
		if backend.placement == checkoutEU && !slices.Contains(first, id) {
			outside = id
		}
	}
	for _, id := range []string{outside, "checkout-us-0"} { // outside the subset, and outside the scopes
		scoped.drain(t, id)
		version := scoped.version(t)
		eventually(t, "the version of a drain outside the subset is shown", func() bool { return gateway.backendsView(t).Version >= version })
		if now := gateway.readyBackends(t); !slices.Equal(now, first) {
			t.Errorf("after a drain of %s %v are used, want %v", id, now, first)
		}
	}

	scoped.drain(t, first[0])
	eventually(t, "the draining backend is no longer used", func() bool { return !slices.Contains(gateway.readyBackends(t), first[0]) })
	now := gateway.readyBackends(t)
	if len(now) != 3 || !slices.Contains(now, first[1]) || !slices.Contains(now, first[2]) || slices.Contains(now, outside) {
		t.Errorf("%v are used after %v, of which the first drains", now, first)
	}
	gateway.awaitMetrics(t, "app.known_backends:4|g", "app.skipped_backends:1|g", "app.subset.chosen:3|g")
	scoped.expectServedBy(t, gateway, now)

	scoped.call(t, "DELETE", now[0]+"?startedAtMs=5", nil)
	eventually(t, "a removed backend is replaced", func() bool {
		return len(gateway.readyBackends(t)) == 3 && !slices.Contains(gateway.readyBackends(t), now[0])
	})
	scoped.expectServedBy(t, gateway, gateway.readyBackends(t))
}

// If all backends of the subset fail while the list has them as ready, the subset must be widened so
// that requests are served.
func TestFailingSubsetIsWidened(t *testing.T) {
	t.Parallel()
	scoped := newScopedRegistry(t, map[registry.Placement]int{checkoutEU: 8})
	gateway := scoped.startGateway(t, "gw-1", scopesEU)
	first := gateway.readyBackends(t)
	scoped.expectServedBy(t, gateway, first)
	for _, id := range first {
		scoped.backends[id].failing.Store(true)
	}
	start := time.Now()
	eventually(t, "requests are served by other backends", func() bool {
		ok, _ := scoped.sendRequests(t, gateway, 1)
		return ok == 1
	})
	t.Logf("served again after %v", time.Since(start))
	gateway.awaitMetrics(t, "app.subset.widened:1|g", "app.subset.size:6|g", "app.known_backends:6|g")
	now := gateway.readyBackends(t)
	for _, id := range first {
		if !slices.Contains(now, id) {
			t.Errorf("%s left the subset when it was widened", id)
		}
	}
}

// An operator override for a backend outside the subset must apply once the backend enters it, also
// in a successor process.
func TestOverrideOutsideSubset(t *testing.T) {
	t.Parallel()
	scoped := newScopedRegistry(t, map[registry.Placement]int{checkoutEU: 4})
	listener, dir := newSharedListener(t)
	start := func() *testGateway {
		config, err := parseConfig([]byte(scoped.config("gw-1", scopesEU)))
		if err != nil {
			t.Fatal(err)
		}
		config.HandoverDir = dir
		gateway := &testGateway{ended: make(chan error, 1)}
		gateway.serve(t, &config, duplicate(t, listener))
		gateway.awaitReadiness(t, http.StatusOK)
		return gateway
	}
	old := start()
	first := old.readyBackends(t)
	outside := ""
	for id := range scoped.backends {
		if !slices.Contains(first, id) {
			outside = id
		}
	}
	for _, call := range []struct {
		path   string
		status int
	}{{"none/offline", 404}, {"none/online", 404}, {outside + "/offline", 200}, {outside + "/online", 200}, {outside + "/offline", 200}} {
		if status, text := old.callControl(t, "POST", "/control/backends/"+call.path); status != call.status {
			t.Errorf("%s: %d %s", call.path, status, text)
		}
	}
	eventually(t, "a successor process can connect", func() bool { _, err := os.Stat(filepath.Join(dir, handoverSocketName)); return err == nil })
	next := start()
	next.awaitMetrics(t, "app.subset.chosen:3|g", "app.skipped_backends:0|g")
	scoped.drain(t, first[0]) // now the backend outside enters
	for _, gateway := range []*testGateway{old, next} {
		gateway.awaitMetrics(t, "app.known_backends:4|g", "app.skipped_backends:2|g")
	}
	scoped.expectServedBy(t, next, first[1:]) // by either process, as they share the socket
	if status, _ := next.callControl(t, "POST", "/control/backends/"+outside+"/online"); status != 200 {
		t.Errorf("online: %d", status)
	}
	for _, gateway := range []*testGateway{old, next} {
		gateway.awaitMetrics(t, "app.known_backends:4|g", "app.skipped_backends:1|g")
	}
}

// duplicate returns another listener on the same socket.
func duplicate(t *testing.T, shared net.Listener) net.Listener {
	t.Helper()
	file, err := shared.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	listener, err := net.FileListener(file)
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// A reload must change the values of scopes and subset, and be rejected if it adds or removes them.
func TestReloadChangesScopesAndSubset(t *testing.T) {
	t.Parallel()
	scoped := newScopedRegistry(t, map[registry.Placement]int{checkoutEU: 8, checkoutUS: 5, searchEU: 2})
	gateway := scoped.startGateway(t, "gw-1", scopesEU)
	reload := func(keys string) {
		t.Helper()
		config, err := parseConfig([]byte(scoped.config("gw-1", keys)))
		gateway.reloads <- Reload{Config: config, Err: err}
	}
	reload(`"scopes": ["checkout@region=us"], "subset": {"size": 3}`)
	expected := scoped.expectedSubset("gw-1", checkoutUS)
	eventually(t, "the other scope is used", func() bool { return slices.Equal(gateway.readyBackends(t), expected) })
	scoped.expectServedBy(t, gateway, expected)
	gateway.awaitMetrics(t, "app.loads:1|c", "app.subset.candidates:5|g", "app.known_backends:3|g")

	reload(`"scopes": ["checkout@region=us"], "subset": {"size": 4}`)
	eventually(t, "the subset grows", func() bool { return len(gateway.readyBackends(t)) == 4 })
	scoped.expectServedBy(t, gateway, gateway.readyBackends(t))

	for index, rejected := range []string{`"subset": {"size": 4}`, `"scopes": ["checkout"]`, `"scopes": ["checkout"], "subset": {"size": 0}`,
		`"scopes": ["checkout", "search"], "subset": {"size": 4}`} {
		reload(rejected)
		gateway.awaitMetrics(t, fmt.Sprintf("app.load_errors:%d|c", index+1), "app.loads:2|c")
	}
	scoped.expectServedBy(t, gateway, gateway.readyBackends(t))
}

// With scopes but no subset, a gateway must use all backends in the scopes.
func TestScopesWithoutSubset(t *testing.T) {
	t.Parallel()
	scoped := newScopedRegistry(t, map[registry.Placement]int{checkoutEU: 4, checkoutUS: 2, searchEU: 2})
	gateway := scoped.startGateway(t, "gw-1", `"scopes": ["checkout@region=eu", "checkout@zone=b", "checkout@region=none"]`)
	gateway.awaitMetrics(t, "app.known_backends:6|g")
	if _, text := gateway.callControl(t, "GET", "/control/counters"); strings.Contains(text, "subset") {
		t.Errorf("metrics of a subset that is off:\n%s", text)
	}
	scoped.expectServedBy(t, gateway, gateway.readyBackends(t))
}

// The keys scopes and subset must be read, and a bad value must be rejected with an error that names
// the reason.
func TestScopesConfigIsValidated(t *testing.T) {
	t.Parallel()
	text := func(keys string) []byte {
		return []byte(strings.Replace(configText("127.0.0.1:1", testSettings), `"counter"`, keys+`, "counter"`, 1))
	}
	const services = `"registries": ["127.0.0.1:1"]`
	for _, valid := range []struct {
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
		config, err := parseConfig(text(valid.keys))
		if err != nil || !reflect.DeepEqual(config.Scopes, valid.want) {
			t.Errorf("%s: %+v, %v", valid.keys, config.Scopes, err)
		}
	}
	for _, invalid := range []struct{ keys, message string }{
		{`"scopes": ["checkout"]`, "registries is missing"},
		{`"subset": {"size": 5}`, "registries is missing"},
		{services + `, "scopes": []`, "the list is empty"},
		{services + `, "scopes": [""]`, "scope"},
		{services + `, "scopes": ["checkout@rack=7"]`, "rack=7"},
		{services + `, "scopes": ["checkout", "search"]`, "no routes by service"},
		{services + `, "scopes": "checkout"`, ".Scopes"},
		{services + `, "subset": {"size": -1}`, "size -1 is not"},
		{services + `, "subset": {"size": 1000000}`, "size 1000000 is not"},
		{services + `, "subset": {"coverage": -3}`, "coverage -3 is not"},
	} {
		_, err := parseConfig(text(invalid.keys))
		if err == nil || !strings.Contains(err.Error(), invalid.message) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one with %q", invalid.keys, err, invalid.message)
		}
	}
}

// A cached list must be reduced to the scopes, and must not be changed itself.
func TestCachedListIsFilteredByScopes(t *testing.T) {
	cached := Listing{Instances: []Instance{{ID: "b-1", Service: "checkout"}, {ID: "b-2", Service: "search"}, {ID: "b-3"}}}
	config := scopesConfig{scopes: []registry.Scope{{Service: "checkout"}}}
	if got := config.filterListing(cached); len(got.Instances) != 1 || got.Instances[0].ID != "b-1" || len(cached.Instances) != 3 {
		t.Errorf("%+v of %+v", got, cached)
	}
	if got := (&scopesConfig{}).filterListing(cached); len(got.Instances) != 3 {
		t.Errorf("%+v without scopes", got)
	}
}

// The module must get the number of gateways per backend only when it changes by more than a tenth.
func TestGatewaysPerBackendUpdatesInSteps(t *testing.T) {
	t.Parallel()
	listingOf := func(first, last int) Listing {
		listing := Listing{Reset: first == 0}
		for index := first; index < last; index++ {
			listing.Instances = append(listing.Instances, Instance{ID: fmt.Sprint("b-", index), Lifecycle: registry.Ready})
		}
		return listing
	}
	backends := newBackendSubset("gw-1", subset.Settings{Size: 10, Fleet: 500}, &subsetMetrics{})
	for _, step := range []struct {
		first, last, gatewaysPerBackend int
		changed                         bool
	}{{0, 100, 50, true}, {100, 105, 50, false}, {105, 200, 25, true}, {200, 250, 20, true}} {
		backends.apply(0, listingOf(step.first, step.last), rules.Delta)
		if changed := backends.updateMetrics(); changed != step.changed || backends.gatewaysPerBackend != step.gatewaysPerBackend {
			t.Errorf("%d backends: %d gateways per backend, changed %t", step.last, backends.gatewaysPerBackend, changed)
		}
	}
	if got := backends.metrics.candidates.Load(); got != 250 {
		t.Errorf("%d candidates", got)
	}
}

// If no service registry knows the new scopes of a reload, the gateway must keep the active ones, and
// apply the new ones once a backend registers for them.
func TestUnknownScopesKeepActiveOnes(t *testing.T) {
	t.Parallel()
	scoped := newScopedRegistry(t, map[registry.Placement]int{checkoutEU: 4})
	gateway := scoped.startGateway(t, "gw-1", scopesEU)
	initial := scoped.expectedSubset("gw-1", checkoutEU)
	eventually(t, "the scope is used", func() bool { return slices.Equal(gateway.readyBackends(t), initial) })

	config, err := parseConfig([]byte(scoped.config("gw-1", `"scopes": ["chekcout"], "subset": {"size": 3}`)))
	gateway.reloads <- Reload{Config: config, Err: err}
	gateway.awaitMetrics(t, "app.loads:1|c")
	before := scoped.version(t)
	scoped.drain(t, initial[0]) // shows that the gateway has an answer for the old and new scopes together
	eventually(t, "the drain was received", func() bool { return gateway.backendsView(t).Version > before })
	if got := gateway.readyBackends(t); len(got) != len(initial) || slices.Contains(got, initial[0]) {
		t.Errorf("used after a reload with an unknown scope: %v, before: %v", got, initial)
	}
	scoped.expectServedBy(t, gateway, gateway.readyBackends(t))

	place := registry.Placement{Service: "chekcout", Region: "us", Zone: checkoutEU.Zone}
	backend := &scopedBackend{placement: place}
	backend.server = httptest.NewServer(backend)
	t.Cleanup(backend.server.Close)
	scoped.backends["late"] = backend
	scoped.register(t, "late")
	eventually(t, "the new scope is used", func() bool { return slices.Equal(gateway.readyBackends(t), []string{"late"}) })
}

// The active scopes must stay until an answer for the active and next scopes knows one of the next.
func TestScopeChangeNeedsKnownScope(t *testing.T) {
	scopesOf := func(texts ...string) []registry.Scope {
		scopes, err := registry.ParseScopes(texts)
		if err != nil {
			t.Fatal(err)
		}
		return scopes
	}
	setOf := func(texts ...string) *registry.ScopeSet {
		scopes, err := registry.NewScopeSet(scopesOf(texts...))
		if err != nil {
			t.Fatal(err)
		}
		return scopes
	}
	change := scopeChange{active: scopesOf("a")}
	if _, changed := change.handleAnswer(setOf("a"), nil); changed {
		t.Error("an answer changes the scopes of a reader that keeps them")
	}
	if read := change.begin(scopesOf("b", "c")); !slices.Equal(read, scopesOf("a", "b", "c")) {
		t.Errorf("reads %v while the scopes change", read)
	}
	for name, answer := range map[string]struct {
		of      *registry.ScopeSet
		unknown []registry.Scope
	}{
		"an answer for the active scopes":              {setOf("a"), nil},
		"an answer that knows none of the next scopes": {setOf("a", "b", "c"), scopesOf("b", "c")},
		"an answer for other scopes":                   {setOf("a", "d"), scopesOf("b")},
		"an answer without scopes":                     {nil, nil},
	} {
		if _, changed := change.handleAnswer(answer.of, answer.unknown); changed {
			t.Errorf("%s replaces the active scopes", name)
		}
	}
	if read, changed := change.handleAnswer(setOf("a", "b", "c"), scopesOf("c")); !changed || !slices.Equal(read, scopesOf("b", "c")) {
		t.Errorf("reads %v, changed %v, after an answer that knows a scope", read, changed)
	}
}
