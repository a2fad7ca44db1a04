package registry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

func (s *testServer) registerInstance(t *testing.T, i Instance) {
	t.Helper()
	body := fmt.Sprintf(`{"hostPort":"127.0.0.1:80","zone":%q,"machineType":"m","startedAtMs":%d,"service":%q,"region":%q}`, i.Zone, i.StartedAtMs, i.Service, i.Region)
	if code, text, _ := call(t, "PUT", s.url("/"+i.ID), body); code != 200 {
		t.Fatalf("registration: status %d: %s", code, text)
	}
}

func (s *testServer) subscriptionsURL() string { return "http://" + s.address + SubscriptionsPath }

// registerScopes registers scopes with the server and returns the query with their id.
func (s *testServer) registerScopes(t *testing.T, scopes ...string) string {
	t.Helper()
	body, _ := json.Marshal(subscriptionRequest{scopes})
	code, text, _ := call(t, "POST", s.subscriptionsURL(), string(body))
	if want := mustSet(t, scopes...).ID(); code != 200 || text != `{"subscription":"`+want+`"}`+"\n" {
		t.Fatalf("subscription: status %d: %s", code, text)
	}
	return "?subscription=" + mustSet(t, scopes...).ID()
}

// scopedWatcher is a client and the list that its updates build up.
type scopedWatcher struct {
	client     *Client
	mu         sync.Mutex
	instances  map[string]Instance
	lastUpdate Update
	updates    int
	resets     int
}

func watchScopes(t *testing.T, addresses []string, scopes ...string) *scopedWatcher {
	t.Helper()
	w := &scopedWatcher{instances: map[string]Instance{}}
	w.client = NewClient(addresses, rand.New(rand.NewPCG(1, 3)), w.onUpdate)
	w.client.SetScopes(mustScopes(t, scopes...))
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); w.client.Run(ctx, nil) }()
	t.Cleanup(func() { stop(); <-ended })
	return w
}

func (w *scopedWatcher) onUpdate(update Update) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastUpdate, w.updates = update, w.updates+1
	if update.Changes.Reset {
		w.resets++
		clear(w.instances)
	}
	for _, i := range update.Changes.Instances {
		if w.instances[i.ID] = i; i.Lifecycle == Gone {
			delete(w.instances, i.ID)
		}
	}
}

func (w *scopedWatcher) ids() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var ids []string
	for id, i := range w.instances {
		ids = append(ids, id+":"+string(i.Lifecycle[0]))
	}
	slices.Sort(ids)
	return strings.Join(ids, " ")
}

func (w *scopedWatcher) state() (lastUpdate Update, updates, resets int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastUpdate, w.updates, w.resets
}

// A client has the part of the list that its scopes select while scopes and list change, and is
// notified of unknown scopes.
func TestClientFollowsScopeChanges(t *testing.T) {
	t.Parallel()
	server := newTestWriter(t, testServerLimits)
	server.registerInstance(t, instanceOf("x1", "a", "r1", "z1"))
	server.registerInstance(t, instanceOf("x2", "a", "r2", "z2"))
	server.registerInstance(t, instanceOf("y", "b", "r1", "z1"))
	server.registerInstance(t, instanceOf("n", "", "", "z1"))
	watcher := watchScopes(t, []string{server.address}, "a@region=r1", "later")
	waitUntil(t, "the list of the scope", func() bool { return watcher.ids() == "x1:R" })
	if update, _, _ := watcher.state(); !slices.Equal(update.Unknown, mustScopes(t, "later")) || len(update.Instances) != 1 {
		t.Errorf("first update: %+v", update)
	}
	watcher.client.SetScopes(mustScopes(t, "a@region=r1", "b", "later"))
	waitUntil(t, "the list of the new scope", func() bool { return watcher.ids() == "x1:R y:R" })
	watcher.client.SetScopes(mustScopes(t, "a", "later"))
	waitUntil(t, "one scope dropped and one widened", func() bool { return watcher.ids() == "x1:R x2:R" })
	server.registerInstance(t, instanceOf("l", "later", "r1", "z1"))
	waitUntil(t, "the first instance of a service", func() bool { return watcher.ids() == "l:R x1:R x2:R" })
	if update, _, _ := watcher.state(); len(update.Unknown) > 0 {
		t.Errorf("unknown %v", update.Unknown)
	}
	moved := instanceOf("x1", "b", "r1", "z1")
	moved.StartedAtMs = 2
	server.registerInstance(t, moved)
	waitUntil(t, "an instance moved out of scope", func() bool { return watcher.ids() == "l:R x2:R" })
	call(t, "POST", server.url("/x2/lifecycle"), `{"lifecycle":"Terminating","startedAtMs":1}`)
	waitUntil(t, "the last instance of a service drains", func() bool { return watcher.ids() == "l:R x2:T" })
	call(t, "DELETE", server.url("/x2?startedAtMs=1"), "")
	waitUntil(t, "the last instance of a service left", func() bool { return watcher.ids() == "l:R" })
	if update, _, resets := watcher.state(); len(update.Unknown) > 0 || resets != 1 {
		t.Errorf("unknown %v, %d resets", update.Unknown, resets)
	}
	watcher.client.SetScopes(nil)
	waitUntil(t, "the full list", func() bool { return watcher.ids() == "l:R n:R x1:R y:R" })
}

// A client with constantly changing scopes still receives updates.
func TestFrequentScopeChangesDoNotStarveReads(t *testing.T) {
	t.Parallel()
	server := newTestWriter(t, testServerLimits)
	for n := range 20 {
		server.registerInstance(t, instanceOf(fmt.Sprintf("x%02d", n), fmt.Sprintf("s%d", n), "r1", "z1"))
	}
	watcher := watchScopes(t, []string{server.address}, "s0")
	ctx, stop := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	wg.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			watcher.client.SetScopes(mustScopes(t, "s0", fmt.Sprintf("s%d", 1+n%19)))
			time.Sleep(100 * time.Microsecond)
		}
	})
	waitUntil(t, "updates while scopes change", func() bool { _, updates, _ := watcher.state(); return updates > 10 })
	stop()
	wg.Wait()
	watcher.client.SetScopes(mustScopes(t, "s1", "s2"))
	waitUntil(t, "the list of the last scopes", func() bool { return watcher.ids() == "x01:R x02:R" })
}

// A subscription is rejected with status 400 or 413, or is a set within the limits.
func FuzzSubscription(f *testing.F) {
	for _, text := range []string{`{"scopes":["a","b@region=r"]}`, `{"scopes":[]}`, `{"scopes":null}`, `{`, `{"scopes":["a@zone=z","a@zone=z"]}`} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		set, err := readSubscription(strings.NewReader(text), 1<<12, 10)
		if err != nil {
			if code := statusOf(err); code != 400 && code != 413 {
				t.Errorf("rejected with %v", err)
			}
			return
		}
		again, err := NewScopeSet(mustScopes(t, set.Strings()...))
		if err != nil || set.Len() < 1 || set.Len() > 10 || again.ID() != set.ID() {
			t.Errorf("parsed again: %v, %v", set.Strings(), err)
		}
	})
}

// The server rejects invalid and too many scopes with one line that names the problem.
func TestInvalidSubscriptionsAreRejected(t *testing.T) {
	t.Parallel()
	limits := testServerLimits
	limits.SubscriptionBytes = 1 << 20
	server := newTestWriter(t, limits)
	many := func(n int) string {
		var scopes []string
		for i := range n {
			scopes = append(scopes, fmt.Sprintf("service-%d@region=eu-%d", i, i%9))
		}
		body, _ := json.Marshal(subscriptionRequest{scopes})
		return string(body)
	}
	for _, test := range []struct {
		body    string
		status  int
		message string
	}{
		{many(4096), 200, "subscription"},
		{many(10_000), 413, "10000 scopes exceed the maximum of 4096"},
		{`{"scopes":["` + strings.Repeat("a", 1<<20) + `"]}`, 413, "exceeds the maximum of 1048576 bytes"},
		{`{"scopes":[]}`, 400, "scopes: the set is empty"},
		{`{}`, 400, "scopes: the set is empty"},
		{`{"scopes":["a@cell=1"]}`, 400, "neither region=NAME nor zone=NAME"},
		{`{"scopes":["a","a b"]}`, 400, "service"},
		{`{"scopes":["a"],"region":"r"}`, 400, "unknown field"},
		{`{"scopes":["a"]}{}`, 400, "trailing data"},
		{`{"scopes":["a"`, 400, "invalid JSON"},
		{``, 400, "invalid JSON"},
	} {
		code, text, _ := call(t, "POST", server.subscriptionsURL(), test.body)
		if code != test.status || !strings.Contains(text, test.message) || len(text) > 600 || strings.Count(strings.TrimSpace(text), "\n") > 0 {
			t.Errorf("%.60s: status %d, %q; want %d, %q", test.body, code, text, test.status, test.message)
		}
	}
	known := server.registerScopes(t, "a")
	for query, status := range map[string]int{"?subscription=": 404, "?subscription=abc": 404, known: 200, known + "&held=abc": 404, known + "&since=9999": 400, known + "&since=x": 400} {
		if code, text, _ := call(t, "GET", server.url(query), ""); code != status || text == "" {
			t.Errorf("%s: status %d, %q", query, code, text)
		}
	}
	// A client recovers from rejected scopes when it gets valid ones.
	watcher := watchScopes(t, []string{server.address}, "a")
	waitUntil(t, "the first update", func() bool { update, _, _ := watcher.state(); return update.Generation > 0 })
	var scopes []Scope
	for n := range 10_000 {
		scopes = append(scopes, Scope{Service: fmt.Sprint("s", n)})
	}
	before := server.metrics.refused.Load()
	watcher.client.SetScopes(append(scopes, mustScopes(t, "a")...))
	waitUntil(t, "the scopes are rejected", func() bool { return server.metrics.refused.Load() > before })
	watcher.client.SetScopes(mustScopes(t, "a"))
	server.registerInstance(t, instanceOf("x", "a", "r", "z"))
	waitUntil(t, "the list of the valid scopes", func() bool { return watcher.ids() == "x:R" })
}

// A scoped watch is not answered for changes outside its scopes, but advances to the last version.
func TestScopedWatchIgnoresOtherScopes(t *testing.T) {
	t.Parallel()
	server := newTestWriter(t, testServerLimits)
	server.registerInstance(t, instanceOf("x", "a", "r1", "z1"))
	query := server.registerScopes(t, "a@region=r1", "c")
	answered := make(chan Listing, 1)
	go func() { answered <- server.list(t, query+"&since=1001&timeout_ms=60000&history=h1") }()
	waitUntil(t, "one watcher", func() bool { return server.metrics.watchers.Load() == 1 })
	for n := range int64(30) {
		i := instanceOf("y", []string{"a", "b"}[n%2], "r2", "z1")
		i.StartedAtMs = n
		server.registerInstance(t, i)
	}
	select {
	case l := <-answered:
		t.Errorf("answered %+v", l)
	case <-time.After(3 * wakeInterval):
	}
	server.registerInstance(t, instanceOf("z", "a", "r1", "z1"))
	if l := <-answered; l.Generation != 1032 || l.Reset || idList(l.Instances) != "z" {
		t.Errorf("answer for the scope: %+v", l)
	}
	i := instanceOf("y", "b", "r2", "z1")
	i.StartedAtMs = 100
	server.registerInstance(t, i)
	if l := server.list(t, query+"&since=1032&timeout_ms=20&history=h1"); l.Generation != 1033 || l.Reset || len(l.Instances) > 0 || !slices.Equal(l.Unknown, []string{"c"}) {
		t.Errorf("at the end of a watch: %+v", l)
	}
	// A read with new scopes is answered immediately, with all their instances.
	server.registerScopes(t, "a@region=r1")
	wider := server.registerScopes(t, "a", "b")
	held := strings.Replace(server.registerScopes(t, "a@region=r1"), "?subscription", "&held", 1)
	if l := server.list(t, wider+held+"&since=1033&timeout_ms=60000&history=h1"); l.Generation != 1033 || l.Reset || idList(l.Instances) != "y" {
		t.Errorf("answer for new scopes: %+v", l)
	}
	if _, _, header := call(t, "GET", server.url(wider), ""); header.Get(SubscriptionHeader) != mustSet(t, "a", "b").ID() {
		t.Errorf("header %q", header.Get(SubscriptionHeader))
	}
}

// A client registers its scopes again after a server has evicted or lost them, and continues from
// its version.
func TestClientRegistersEvictedSubscriptionsAgain(t *testing.T) {
	t.Parallel()
	writer := newTestWriter(t, testServerLimits)
	writer.registerInstance(t, instanceOf("x", "a", "r1", "z1"))
	writer.registerInstance(t, instanceOf("y", "b", "r1", "z1"))
	limits := testServerLimits
	limits.Subscriptions = 2
	store := newStore(testLimits, 0)
	follower := NewFollower("self", writer.address, store, testLimits, limits, time.Now(), rand.New(rand.NewPCG(2, 2)))
	server := &testServer{Server: follower.Server}
	server.run(t, follower.Serve, "127.0.0.1:0")
	watcher := watchScopes(t, []string{server.address}, "a")
	waitUntil(t, "the list of the scope", func() bool { return watcher.ids() == "x:R" })
	for n := range 5 {
		server.registerScopes(t, fmt.Sprint("other", n))
	}
	if code, _, _ := call(t, "GET", server.url("?subscription="+mustSet(t, "a").ID()), ""); code != 404 {
		t.Errorf("status %d for an evicted subscription", code)
	}
	server.stop()
	<-server.ended
	follower = NewFollower("self", writer.address, nil, testLimits, limits, time.Now(), rand.New(rand.NewPCG(2, 4)))
	restarted := &testServer{Server: follower.Server}
	restarted.run(t, follower.Serve, server.address)
	writer.registerInstance(t, instanceOf("x2", "a", "r1", "z1"))
	waitUntil(t, "the update after the restart", func() bool { return watcher.ids() == "x2:R x:R" })
	if _, _, resets := watcher.state(); resets != 1 {
		t.Errorf("%d resets, expected 1", resets)
	}
	restarted.mu.Lock()
	defer restarted.mu.Unlock()
	if n := len(restarted.subscriptions.byID); n != 1 {
		t.Errorf("%d subscriptions", n)
	}
}

// A client rejects the full list of a server of a build without scopes and tries the next address.
func TestClientSkipsServersWithoutScopes(t *testing.T) {
	t.Parallel()
	server := newTestWriter(t, testServerLimits)
	server.registerInstance(t, instanceOf("x", "a", "r1", "z1"))
	server.registerInstance(t, instanceOf("y", "b", "r1", "z1"))
	var requests atomic.Int64
	oldServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		if r.Method != http.MethodGet || r.URL.Path != Path {
			http.NotFound(w, r)
			return
		}
		w.Header().Set(HistoryHeader, "h1")
		_, text, _ := call(t, "GET", server.url(""), "")
		io.WriteString(w, text)
	}))
	defer oldServer.Close()
	oldAddress := strings.TrimPrefix(oldServer.URL, "http://")
	client := NewClient([]string{oldAddress}, rand.New(rand.NewPCG(1, 1)), nil)
	if result := client.read(t.Context(), ReadRequest{Address: oldAddress, Full: true, Scopes: mustSet(t, "a")}); result.err != errScopesUnsupported {
		t.Errorf("scoped read at a server without scopes: %v", result.err)
	}
	if result := client.read(t.Context(), ReadRequest{Address: oldAddress, Full: true}); result.err != nil || len(result.listing.Instances) != 2 {
		t.Errorf("read of the full list: %+v", result)
	}
	for n := range uint64(4) { // for different orders of the addresses
		w := watchScopes(t, []string{oldAddress, server.address}, "a", fmt.Sprint("never", n))
		waitUntil(t, "the list from the next address", func() bool { return w.ids() == "x:R" })
	}
	if requests.Load() == 0 {
		t.Error("the old server received no request")
	}
}

// A thousand scoped readers that lose their follower continue at another one from their version,
// without full lists.
func TestScopedReadersFailOverWithoutFullLists(t *testing.T) {
	t.Parallel()
	const readers = 1000
	limits := testServerLimits
	limits.Connections, limits.Watchers = 2*readers, readers+1
	writer := newTestWriter(t, testServerLimits)
	for n := range 20 {
		writer.registerInstance(t, instanceOf(fmt.Sprint("x", n), fmt.Sprint("s", n), "r1", "z1"))
	}
	var followers []*testServer
	for range 2 {
		s, _ := newTestFollowerWith(t, writer.address, limits)
		waitUntil(t, "the follower has the list", func() bool {
			code, text, _ := call(t, "GET", s.url(""), "")
			return code == 200 && strings.Count(text, "instanceId") == 20
		})
		followers = append(followers, s)
	}
	var all []*scopedWatcher
	for n := range readers {
		all = append(all, watchScopes(t, []string{followers[0].address, followers[1].address}, fmt.Sprint("s", n%20), fmt.Sprint("own", n)))
	}
	for n, w := range all {
		waitUntil(t, "the list of a reader", func() bool { return w.ids() == fmt.Sprintf("x%d:R", n%20) })
	}
	followers[0].stop()
	for n := range 20 {
		if code, text, _ := call(t, "POST", writer.url(fmt.Sprintf("/x%d/lifecycle", n)), `{"lifecycle":"Terminating","startedAtMs":1}`); code != 200 {
			t.Fatalf("drain: status %d: %s", code, text)
		}
	}
	resets := 0
	for n, w := range all {
		waitUntil(t, "the drain reaches a reader", func() bool { return w.ids() == fmt.Sprintf("x%d:T", n%20) })
		_, _, r := w.state()
		resets += r
	}
	if resets != readers {
		t.Errorf("%d additional full lists for %d readers", resets-readers, readers)
	}
	if watching := followers[1].metrics.watchers.Load(); watching > readers {
		t.Errorf("%d watchers at the other follower", watching)
	}
}

// A client makes all scoped requests over one connection.
func TestScopesUseOneConnection(t *testing.T) {
	t.Parallel()
	store := newTestStore(testLimits, 0)
	server := NewWriter("self", store, testServerLimits, time.Now(), rand.New(rand.NewPCG(1, 1)))
	for n := range 10 {
		store.Register(0, instanceOf(fmt.Sprint("x", n), fmt.Sprint("s", n), "r", "z"), nil)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var opened atomic.Int64
	httpServer := &http.Server{Handler: server.Handler(), ConnState: func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}}
	go httpServer.Serve(listener)
	defer httpServer.Close()
	client := NewClient([]string{listener.Addr().String()}, rand.New(rand.NewPCG(1, 1)), nil)
	defer client.http.CloseIdleConnections()
	var scopes []string
	for n := range 10 {
		scopes = append(scopes, fmt.Sprint("s", n))
		client.feed.SetScopes(mustScopes(t, scopes...))
		request := client.feed.Next()
		result := client.read(t.Context(), request)
		if result.err != nil {
			t.Fatal(result.err)
		}
		if _, err := client.feed.AnsweredTo(request, result.listing, result.history, 0); err != nil || len(client.feed.instances) != n+1 || len(result.listing.Instances) != 1 {
			t.Fatalf("%d instances, %d in the answer, %v", len(client.feed.instances), len(result.listing.Instances), err)
		}
	}
	if opened.Load() != 1 {
		t.Errorf("%d connections", opened.Load())
	}
}

// Subscriptions stay within their limits by evicting the least recently used.
func TestSubscriptionBounds(t *testing.T) {
	cache := newSubscriptions()
	var sets []*ScopeSet
	for n := range 6 {
		sets = append(sets, mustSet(t, fmt.Sprint("a", n), "b"))
	}
	for _, set := range sets[:3] {
		cache.add(set, 3, 100)
	}
	cache.add(sets[1], 3, 100)
	cache.get(sets[0].ID())
	cache.add(sets[3], 3, 100) // evicts the third
	for n, retained := range []bool{true, true, false, true} {
		if (cache.get(sets[n].ID()) != nil) != retained {
			t.Errorf("set %d is present: %t", n, !retained)
		}
	}
	cache.add(sets[4], 3, 4) // evicts two by the limit on scopes
	if len(cache.byID) != 2 || cache.recent.Len() != 2 || cache.scopes != 4 {
		t.Errorf("%d sets of %d scopes", len(cache.byID), cache.scopes)
	}
	if cache.add(mustSet(t, "c", "d", "e", "f", "g"), 3, 4); len(cache.byID) != 1 || cache.scopes != 5 {
		t.Errorf("%d sets of %d scopes", len(cache.byID), cache.scopes) // the added set is never evicted
	}
}

// A scoped listing counts toward the rate limit by the fraction of the list that it examines.
func TestScopedListingsAreRateLimited(t *testing.T) {
	store := newTestStore(testLimits, 0)
	for n := range 40 {
		store.Register(0, instanceOf(fmt.Sprint("x", n), fmt.Sprint("s", n%20), "r", "z"), nil)
	}
	for n := range 2 {
		store.Register(0, instanceOf(fmt.Sprint("other", n), "other", "r", "z"), nil)
		store.Leave(0, fmt.Sprint("other", n), 1, nil)
	}
	part := ScopedRead{Since: -1, Scopes: mustSet(t, "s1", "s1@region=r"), Held: mustSet(t, "s1", "s1@region=r")}
	for _, test := range []struct {
		read             ScopedRead
		minimum, maximum int
	}{
		{ScopedRead{Since: -1}, 2, 2},
		{part, 39, 40}, // 2 of 40 instances each
		{ScopedRead{Scopes: mustSet(t, "s1", "s2"), Held: mustSet(t, "s2")}, 39, 40},
		{ScopedRead{Since: -1, Scopes: mustSet(t, "other", "never")}, 127, 128}, // no instances, but the minimum cost
	} {
		server := NewWriter("self", store, ServerLimits{Connections: 100, Watchers: 1, ListingsPerSecond: 2}, time.Now(), rand.New(rand.NewPCG(1, 1)))
		server.limits.ListingsPerSecond = 2
		server.listingTokens, server.listingTokensAt = 2, time.Now()
		answered := 0
		for server.takeListingTokens(store.listCost(test.read)) {
			answered++
		}
		if answered < test.minimum || answered > test.maximum {
			t.Errorf("%v: %d listings admitted", test.read.Scopes.Strings(), answered)
		}
	}
}

// BenchmarkScopedWake measures polling all watches after a change that affects one in a hundred.
func BenchmarkScopedWake(b *testing.B) {
	for _, watchers := range []int{100, 1000} {
		b.Run(fmt.Sprint(watchers, "watchers"), func(b *testing.B) {
			s, reads := scopedWatchers(b, watchers)
			b.ReportAllocs()
			b.ResetTimer()
			for n := range b.N {
				wakeScoped(b, s, reads, n)
			}
		})
	}
}

// BenchmarkScopedWatch measures the CPU time of a change with waiting watchers, one in a hundred
// of which it affects.
func BenchmarkScopedWatch(b *testing.B) {
	for _, watchers := range []int{100, 1000, 3000} {
		b.Run(fmt.Sprint(watchers, "watchers"), func(b *testing.B) {
			server, reads := scopedWatchers(b, watchers)
			ctx, stop := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			defer wg.Wait()
			defer stop()
			answered := make(chan int64, watchers)
			for _, read := range reads {
				wg.Go(func() {
					for read := *read; ; {
						result, err := server.awaitAnswer(ctx, read, time.Hour)
						if err != nil {
							return
						}
						var l Listing
						json.Unmarshal(result.body, &l)
						read.Since = l.Generation
						answered <- l.Generation
					}
				})
			}
			for server.metrics.watchers.Load() < int64(watchers) {
				runtime.Gosched()
			}
			before := processorTime(b)
			b.ResetTimer()
			for n := range b.N {
				_, err := server.change(func(now time.Duration) (WriteResult, error) {
					server.lastWake = time.Time{} // do not wait for further changes
					i := instanceOf(fmt.Sprint("x", n%100), fmt.Sprint("common", n%100), "r", "z")
					i.StartedAtMs = int64(n + 2)
					return server.store.Register(now, i, nil)
				})
				if err != nil {
					b.Fatal(err)
				}
				for range watchers / 100 {
					<-answered
				}
			}
			b.StopTimer()
			b.ReportMetric(float64((processorTime(b)-before).Microseconds())/float64(b.N), "cpu_us/op")
		})
	}
}

// BenchmarkAdvanceWatches measures advancing watches over a burst of a thousand changes that affect
// none of them.
func BenchmarkAdvanceWatches(b *testing.B) {
	for _, watchers := range []int{100, 1000} {
		b.Run(fmt.Sprint(watchers, "watchers"), func(b *testing.B) {
			server, reads := scopedWatchers(b, watchers)
			since := server.store.version
			for n := range 1000 {
				server.store.Register(0, instanceOf(fmt.Sprint("burst", n), fmt.Sprint("elsewhere", n%200), "r", "z"), nil)
			}
			for _, read := range reads {
				server.watches[newScopedWatch(*read)] = struct{}{}
			}
			b.ResetTimer()
			for range b.N {
				for watch := range server.watches {
					watch.read.Since = since
				}
				server.watchesVersion = since
				server.advanceWatches()
			}
			for watch := range server.watches {
				if watch.read.Since != server.store.version || len(watch.wake) > 0 {
					b.Fatal("a watch was woken")
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(watchers)/1000, "ns/watch/change")
		})
	}
}

// processorTime returns the CPU time that this process has used.
func processorTime(t testing.TB) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		t.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkScopeSet measures the time and memory to build a set of scopes.
func BenchmarkScopeSet(b *testing.B) {
	for _, n := range []int{1, 50, 500, 4096} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var scopes []Scope
			for m := range n {
				scopes = append(scopes, Scope{Service: fmt.Sprint("service-", m), Region: fmt.Sprint("eu-", m%9)})
			}
			sets := make([]*ScopeSet, 64)
			before := heapBytes()
			for m := range sets {
				sets[m], _ = NewScopeSet(scopes)
			}
			perSet := float64(heapBytes()-before) / float64(len(sets))
			for b.Loop() {
				NewScopeSet(scopes)
			}
			runtime.KeepAlive(sets)
			b.ReportMetric(perSet, "B/set")
		})
	}
}

// scopedWatchers returns a server and reads at its last version. Each has ten services of its own
// and one that it shares with one in a hundred.
func scopedWatchers(t testing.TB, watchers int) (*Server, []*ScopedRead) {
	limits := Limits{Lease: time.Hour, Instances: 100_000, History: 1000, HistoryBytes: 1 << 20}
	store := NewStore(limits, "h1", 1000, -limits.Lease)
	for n := range 2000 {
		store.Register(0, instanceOf(fmt.Sprint("x", n), fmt.Sprint("common", n%100), "r", "z"), nil)
	}
	server := NewWriter("self", store, ServerLimits{Connections: watchers, Watchers: watchers, ListingsPerSecond: 1e9}, time.Now(), rand.New(rand.NewPCG(1, 1)))
	var reads []*ScopedRead
	for n := range watchers {
		scopes := []string{fmt.Sprintf("common%d@region=r", n%100)}
		for m := range 10 {
			scopes = append(scopes, fmt.Sprintf("own%d-%d", n, m))
		}
		set := mustSet(t, scopes...)
		reads = append(reads, &ScopedRead{Since: store.version, History: "h1", Scopes: set, Held: set})
	}
	return server, reads
}

// wakeScoped changes an instance and polls each read once; the change affects one in a hundred.
func wakeScoped(t testing.TB, server *Server, reads []*ScopedRead, change int) {
	instance := instanceOf(fmt.Sprint("x", change%100), fmt.Sprint("common", change%100), "r", "z")
	instance.StartedAtMs = int64(change + 2)
	if _, err := server.store.Register(0, instance, nil); err != nil {
		t.Fatal(err)
	}
	answered := 0
	for _, read := range reads {
		result, err := server.poll(read, false)
		if err != nil {
			t.Fatal(err)
		}
		if result.body != nil {
			answered++
			read.Since = server.store.version
		}
		if read.Since != server.store.version {
			t.Fatalf("a read was not advanced from version %d", read.Since)
		}
	}
	if answered != len(reads)/100 {
		t.Fatalf("%d of %d reads were answered, expected one in a hundred", answered, len(reads))
	}
}

// A change allocates no memory for the watchers that it does not affect.
func TestScopedWakeAllocations(t *testing.T) {
	s, reads := scopedWatchers(t, 1000)
	n := 0
	for range 5 {
		wakeScoped(t, s, reads, n)
		n++
	}
	allocations := testing.AllocsPerRun(50, func() {
		wakeScoped(t, s, reads, n)
		n++
	})
	t.Logf("%.0f allocations for a change with 1000 watchers, 10 of them answered", allocations)
	if allocations > 500 {
		t.Errorf("%.0f allocations, expected at most 500", allocations)
	}
}

// The size of a scoped answer is proportional to its instances.
func TestScopedAnswerSizeIsProportional(t *testing.T) {
	limits := Limits{Lease: time.Hour, Instances: 100_000, History: 1000, HistoryBytes: 1 << 20}
	store := NewStore(limits, "h1", 1000, -limits.Lease)
	for n := range 4000 {
		store.Register(0, instanceOf(fmt.Sprintf("x%05d", n), fmt.Sprint("service", n%200), fmt.Sprint("region", n%3), "zone-a"), nil)
	}
	length := func(read ScopedRead) int {
		a, err := store.ReadScoped(0, read)
		if err != nil {
			t.Fatal(err)
		}
		return len(a.Body)
	}
	full, err := store.Read(0, -1, "")
	if err != nil {
		t.Fatal(err)
	}
	perInstance := float64(len(full.Body)) / 4000
	part := length(ScopedRead{Since: -1, Scopes: mustSet(t, "service7")})
	t.Logf("%d bytes for the full list, %.0f per instance; %d bytes for a service of 20", len(full.Body), perInstance, part)
	if float64(part) > 20*perInstance*1.05+100 {
		t.Errorf("%d bytes for 20 instances of %.0f bytes", part, perInstance)
	}
	store.Leave(0, "x00007", 1, nil)
	if change := length(ScopedRead{Since: store.version - 1, History: "h1", Scopes: mustSet(t, "service7")}); float64(change) > perInstance+100 {
		t.Errorf("%d bytes for one change", change)
	}
	if unchanged := length(ScopedRead{Since: store.version - 1, History: "h1", Scopes: mustSet(t, "service8")}); unchanged > 64 {
		t.Errorf("%d bytes without changes", unchanged)
	}
}

// A client rejects answers above its limit.
func TestClientRejectsAnswersAboveLimit(t *testing.T) {
	aboveLimit := false
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HistoryHeader, "h")
		list := Listing{Generation: 1, Reset: true, Instances: []Instance{testInstance("a", 1)}}
		if aboveLimit {
			for n := range 100 {
				list.Instances = append(list.Instances, testInstance(fmt.Sprint("b-", n), 1))
			}
		}
		json.NewEncoder(w).Encode(list)
	}))
	defer server.Close()
	c := NewClient([]string{server.Listener.Addr().String()}, rand.New(rand.NewPCG(1, 1)), func(Update) {})
	const limit = 1000
	c.SetAnswerLimit(limit)
	request := c.feed.Next()
	if result := c.read(t.Context(), request); result.err != nil || len(result.listing.Instances) != 1 {
		t.Fatalf("an answer within the limit: %+v", result)
	}
	aboveLimit = true
	if result := c.read(t.Context(), request); result.err == nil || !strings.Contains(result.err.Error(), "more than 1000 bytes") {
		t.Errorf("an answer above the limit: %+v", result)
	}
}
