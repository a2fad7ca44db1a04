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

func (s *service) putPlaced(t *testing.T, i Instance) {
	t.Helper()
	body := fmt.Sprintf(`{"hostPort":"127.0.0.1:80","zone":%q,"machineType":"m","startedAtMs":%d,"service":%q,"region":%q}`, i.Zone, i.StartedAtMs, i.Service, i.Region)
	if code, text, _ := call(t, "PUT", s.url("/"+i.ID), body); code != 200 {
		t.Fatalf("status %d: %s", code, text)
	}
}

func (s *service) subscriptionsURL() string { return "http://" + s.address + SubscriptionsPath }

// named names scopes at a service and returns the part of a call that has their id.
func (s *service) named(t *testing.T, scopes ...string) string {
	t.Helper()
	body, _ := json.Marshal(subscriptionRequest{scopes})
	code, text, _ := call(t, "POST", s.subscriptionsURL(), string(body))
	if want := mustSet(t, scopes...).ID(); code != 200 || text != `{"subscription":"`+want+`"}`+"\n" {
		t.Fatalf("status %d: %s", code, text)
	}
	return "?subscription=" + mustSet(t, scopes...).ID()
}

// scopedWatching is a client and what whoever uses its news has.
type scopedWatching struct {
	client *Client
	mu     sync.Mutex
	has    map[string]Instance
	last   Update
	told   int
	resets int
}

func watchScopes(t *testing.T, addresses []string, scopes ...string) *scopedWatching {
	t.Helper()
	w := &scopedWatching{has: map[string]Instance{}}
	w.client = NewClient(addresses, rand.New(rand.NewPCG(1, 3)), w.heard)
	w.client.SetScopes(mustScopes(t, scopes...))
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); w.client.Run(ctx, nil) }()
	t.Cleanup(func() { stop(); <-ended })
	return w
}

func (w *scopedWatching) heard(told Update) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last, w.told = told, w.told+1
	if told.Changes.Reset {
		w.resets++
		clear(w.has)
	}
	for _, i := range told.Changes.Instances {
		if w.has[i.ID] = i; i.Lifecycle == Gone {
			delete(w.has, i.ID)
		}
	}
}

func (w *scopedWatching) ids() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var ids []string
	for id, i := range w.has {
		ids = append(ids, id+":"+string(i.Lifecycle[0]))
	}
	slices.Sort(ids)
	return strings.Join(ids, " ")
}

func (w *scopedWatching) state() (told Update, tolds, resets int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.last, w.told, w.resets
}

// A client has the part of the list that its scopes select, through changes of these and
// of the list, hears which scopes are not known, and uses one connection.
func TestClientOfScopes(t *testing.T) {
	t.Parallel()
	s := newWriterService(t, testServes)
	s.putPlaced(t, of("x1", "a", "r1", "z1"))
	s.putPlaced(t, of("x2", "a", "r2", "z2"))
	s.putPlaced(t, of("y", "b", "r1", "z1"))
	s.putPlaced(t, of("n", "", "", "z1"))
	w := watchScopes(t, []string{s.address}, "a@region=r1", "later")
	until(t, "the scope is there", func() bool { return w.ids() == "x1:R" })
	if told, _, _ := w.state(); !slices.Equal(told.Unknown, mustScopes(t, "later")) || len(told.Instances) != 1 {
		t.Errorf("%+v", told)
	}
	w.client.SetScopes(mustScopes(t, "a@region=r1", "b", "later"))
	until(t, "the new scope is there", func() bool { return w.ids() == "x1:R y:R" })
	w.client.SetScopes(mustScopes(t, "a", "later"))
	until(t, "one is dropped and one is wider", func() bool { return w.ids() == "x1:R x2:R" })
	s.putPlaced(t, of("l", "later", "r1", "z1"))
	until(t, "a service comes to be", func() bool { return w.ids() == "l:R x1:R x2:R" })
	if told, _, _ := w.state(); len(told.Unknown) > 0 {
		t.Errorf("unknown %v", told.Unknown)
	}
	moved := of("x1", "b", "r1", "z1")
	moved.StartedAtMs = 2
	s.putPlaced(t, moved)
	until(t, "one moves away", func() bool { return w.ids() == "l:R x2:R" })
	call(t, "POST", s.url("/x2/lifecycle"), `{"lifecycle":"Terminating","startedAtMs":1}`)
	until(t, "the last of a service drains", func() bool { return w.ids() == "l:R x2:T" })
	call(t, "DELETE", s.url("/x2?startedAtMs=1"), "")
	until(t, "and leaves", func() bool { return w.ids() == "l:R" })
	if told, _, resets := w.state(); len(told.Unknown) > 0 || resets != 1 {
		t.Errorf("unknown %v, %d lists anew", told.Unknown, resets)
	}
	w.client.SetScopes(nil)
	until(t, "the whole list", func() bool { return w.ids() == "l:R n:R x1:R y:R" })
}

// Scopes that change all the time don't keep the reader from those that it gets.
func TestScopesThatKeepChanging(t *testing.T) {
	t.Parallel()
	s := newWriterService(t, testServes)
	for n := range 20 {
		s.putPlaced(t, of(fmt.Sprintf("x%02d", n), fmt.Sprintf("s%d", n), "r1", "z1"))
	}
	w := watchScopes(t, []string{s.address}, "s0")
	ctx, stop := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	wg.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			w.client.SetScopes(mustScopes(t, "s0", fmt.Sprintf("s%d", 1+n%19)))
			time.Sleep(100 * time.Microsecond)
		}
	})
	until(t, "it hears while its scopes change", func() bool { _, told, _ := w.state(); return told > 10 })
	stop()
	wg.Wait()
	w.client.SetScopes(mustScopes(t, "s1", "s2"))
	until(t, "the last scopes", func() bool { return w.ids() == "x01:R x02:R" })
}

func FuzzSubscription(f *testing.F) {
	for _, text := range []string{`{"scopes":["a","b@region=r"]}`, `{"scopes":[]}`, `{"scopes":null}`, `{`, `{"scopes":["a@zone=z","a@zone=z"]}`} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		set, err := readSubscription(strings.NewReader(text), 1<<12, 10)
		if err != nil {
			if code := status(err); code != 400 && code != 413 {
				t.Errorf("%v", err)
			}
			return
		}
		again, err := NewScopeSet(mustScopes(t, set.Strings()...))
		if err != nil || set.Len() < 1 || set.Len() > 10 || again.ID() != set.ID() {
			t.Errorf("%v, %v", set.Strings(), err)
		}
	})
}

// Scopes that make no sense, or are too many, are refused with one clear line.
func TestBadSubscriptions(t *testing.T) {
	t.Parallel()
	limits := testServes
	limits.SubscriptionBytes = 1 << 20
	s := newWriterService(t, limits)
	many := func(n int) string {
		var scopes []string
		for i := range n {
			scopes = append(scopes, fmt.Sprintf("service-%d@region=eu-%d", i, i%9))
		}
		body, _ := json.Marshal(subscriptionRequest{scopes})
		return string(body)
	}
	for _, c := range []struct {
		body   string
		status int
		says   string
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
		code, text, _ := call(t, "POST", s.subscriptionsURL(), c.body)
		if code != c.status || !strings.Contains(text, c.says) || len(text) > 600 || strings.Count(strings.TrimSpace(text), "\n") > 0 {
			t.Errorf("%.60s: status %d, %q; want %d, %q", c.body, code, text, c.status, c.says)
		}
	}
	known := s.named(t, "a")
	for query, status := range map[string]int{"?subscription=": 404, "?subscription=abc": 404, known: 200, known + "&held=abc": 404, known + "&since=9999": 400, known + "&since=x": 400} {
		if code, text, _ := call(t, "GET", s.url(query), ""); code != status || text == "" {
			t.Errorf("%s: status %d, %q", query, code, text)
		}
	}
	// A client that is refused says so, and has nothing.
	w := watchScopes(t, []string{s.address}, "a")
	until(t, "a good set", func() bool { told, _, _ := w.state(); return told.Generation > 0 })
	var scopes []Scope
	for n := range 10_000 {
		scopes = append(scopes, Scope{Service: fmt.Sprint("s", n)})
	}
	before := s.metrics.refused.Load()
	w.client.SetScopes(append(scopes, mustScopes(t, "a")...))
	until(t, "it is refused", func() bool { return s.metrics.refused.Load() > before })
	w.client.SetScopes(mustScopes(t, "a"))
	s.putPlaced(t, of("x", "a", "r", "z"))
	until(t, "it goes on with fewer", func() bool { return w.ids() == "x:R" })
}

// A reader of scopes that waits is not answered for changes elsewhere, and comes on to the
// last version all the same.
func TestScopedWatchWaits(t *testing.T) {
	t.Parallel()
	s := newWriterService(t, testServes)
	s.putPlaced(t, of("x", "a", "r1", "z1"))
	query := s.named(t, "a@region=r1", "c")
	told := make(chan Listing, 1)
	go func() { told <- s.list(t, query+"&since=1001&timeout_ms=60000&history=h1") }()
	until(t, "a watcher", func() bool { return s.metrics.watchers.Load() == 1 })
	for n := range int64(30) {
		i := of("y", []string{"a", "b"}[n%2], "r2", "z1")
		i.StartedAtMs = n
		s.putPlaced(t, i)
	}
	select {
	case l := <-told:
		t.Errorf("answered %+v", l)
	case <-time.After(3 * wakeInterval):
	}
	s.putPlaced(t, of("z", "a", "r1", "z1"))
	if l := <-told; l.Generation != 1032 || l.Reset || ids(l.Instances) != "z" {
		t.Errorf("%+v", l)
	}
	i := of("y", "b", "r2", "z1")
	i.StartedAtMs = 100
	s.putPlaced(t, i)
	if l := s.list(t, query+"&since=1032&timeout_ms=20&history=h1"); l.Generation != 1033 || l.Reset || len(l.Instances) > 0 || !slices.Equal(l.Unknown, []string{"c"}) {
		t.Errorf("at the end of a wait: %+v", l)
	}
	// New scopes beside those that are held are answered at once, with all of them.
	s.named(t, "a@region=r1")
	wider := s.named(t, "a", "b")
	held := strings.Replace(s.named(t, "a@region=r1"), "?subscription", "&held", 1)
	if l := s.list(t, wider+held+"&since=1033&timeout_ms=60000&history=h1"); l.Generation != 1033 || l.Reset || ids(l.Instances) != "y" {
		t.Errorf("%+v", l)
	}
	if _, _, header := call(t, "GET", s.url(wider), ""); header.Get(SubscriptionHeader) != mustSet(t, "a", "b").ID() {
		t.Errorf("header %q", header.Get(SubscriptionHeader))
	}
}

// A follower knows scopes of its own; one that has forgotten them, by a restart or for
// others, is named them again, and the reader goes on from where it was.
func TestSubscriptionsAreNamedAgain(t *testing.T) {
	t.Parallel()
	writer := newWriterService(t, testServes)
	writer.putPlaced(t, of("x", "a", "r1", "z1"))
	writer.putPlaced(t, of("y", "b", "r1", "z1"))
	limits := testServes
	limits.Subscriptions = 2
	store := newStore(testLimits, 0)
	f := NewFollower("self", writer.address, store, testLimits, limits, time.Now(), rand.New(rand.NewPCG(2, 2)))
	s := &service{Server: f.Server}
	s.run(t, f.Serve, "127.0.0.1:0")
	w := watchScopes(t, []string{s.address}, "a")
	until(t, "the scope is there", func() bool { return w.ids() == "x:R" })
	for n := range 5 {
		s.named(t, fmt.Sprint("other", n))
	}
	if code, _, _ := call(t, "GET", s.url("?subscription="+mustSet(t, "a").ID()), ""); code != 404 {
		t.Errorf("status %d of a subscription that was to be forgotten", code)
	}
	s.stop()
	<-s.ended
	f = NewFollower("self", writer.address, nil, testLimits, limits, time.Now(), rand.New(rand.NewPCG(2, 4)))
	again := &service{Server: f.Server}
	again.run(t, f.Serve, s.address)
	writer.putPlaced(t, of("x2", "a", "r1", "z1"))
	until(t, "it goes on", func() bool { return w.ids() == "x2:R x:R" })
	if _, _, resets := w.state(); resets != 1 {
		t.Errorf("%d lists anew", resets)
	}
	again.mu.Lock()
	defer again.mu.Unlock()
	if n := len(again.subscriptions.byID); n != 1 {
		t.Errorf("%d subscriptions", n)
	}
}

// A list service of a build before scopes answers with everything. The reader does not
// take that for its part, says so, keeps what it has, and goes on to the next address.
func TestServiceThatKnowsNoScopes(t *testing.T) {
	t.Parallel()
	s := newWriterService(t, testServes)
	s.putPlaced(t, of("x", "a", "r1", "z1"))
	s.putPlaced(t, of("y", "b", "r1", "z1"))
	var asked atomic.Int64
	old := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked.Add(1)
		if r.Method != http.MethodGet || r.URL.Path != Path {
			http.NotFound(w, r)
			return
		}
		w.Header().Set(HistoryHeader, "h1")
		_, text, _ := call(t, "GET", s.url(""), "")
		io.WriteString(w, text)
	}))
	defer old.Close()
	oldAddress := strings.TrimPrefix(old.URL, "http://")
	alone := NewClient([]string{oldAddress}, rand.New(rand.NewPCG(1, 1)), nil)
	if got := alone.read(t.Context(), ReadRequest{Address: oldAddress, Full: true, Scopes: mustSet(t, "a")}); got.err != errScopesUnsupported {
		t.Errorf("%v", got.err)
	}
	if got := alone.read(t.Context(), ReadRequest{Address: oldAddress, Full: true}); got.err != nil || len(got.listing.Instances) != 2 {
		t.Errorf("a reader of everything: %+v", got)
	}
	for n := range uint64(4) { // in whichever order the addresses come
		w := watchScopes(t, []string{oldAddress, s.address}, "a", fmt.Sprint("never", n))
		until(t, "the next address is asked", func() bool { return w.ids() == "x:R" })
	}
	if asked.Load() == 0 {
		t.Error("the old service was never asked")
	}
}

// A thousand readers that lose their follower all at once go on from where they are at another, and
// hear of what has changed meanwhile, without their lists anew.
func TestScopedReadersLoseTheirFollower(t *testing.T) {
	t.Parallel()
	const readers = 1000
	limits := testServes
	limits.Connections, limits.Watchers = 2*readers, readers+1
	writer := newWriterService(t, testServes)
	for n := range 20 {
		writer.putPlaced(t, of(fmt.Sprint("x", n), fmt.Sprint("s", n), "r1", "z1"))
	}
	var followers []*service
	for range 2 {
		s, _ := newFollowerServiceWith(t, writer.address, limits)
		until(t, "the follower has the list", func() bool {
			code, text, _ := call(t, "GET", s.url(""), "")
			return code == 200 && strings.Count(text, "instanceId") == 20
		})
		followers = append(followers, s)
	}
	var all []*scopedWatching
	for n := range readers {
		all = append(all, watchScopes(t, []string{followers[0].address, followers[1].address}, fmt.Sprint("s", n%20), fmt.Sprint("own", n)))
	}
	for n, w := range all {
		until(t, "a reader has its scopes", func() bool { return w.ids() == fmt.Sprintf("x%d:R", n%20) })
	}
	followers[0].stop()
	for n := range 20 {
		if code, text, _ := call(t, "POST", writer.url(fmt.Sprintf("/x%d/lifecycle", n)), `{"lifecycle":"Terminating","startedAtMs":1}`); code != 200 {
			t.Fatalf("status %d: %s", code, text)
		}
	}
	resets := 0
	for n, w := range all {
		until(t, "a reader hears of the drain", func() bool { return w.ids() == fmt.Sprintf("x%d:T", n%20) })
		_, _, r := w.state()
		resets += r
	}
	if resets != readers {
		t.Errorf("%d lists anew for %d readers", resets-readers, readers)
	}
	if watching := followers[1].metrics.watchers.Load(); watching > readers {
		t.Errorf("%d watch at the other follower", watching)
	}
}

// All that a reader of scopes asks goes over one connection.
func TestScopesUseOneConnection(t *testing.T) {
	t.Parallel()
	store := newTestStore(testLimits, 0)
	s := NewWriter("self", store, testServes, time.Now(), rand.New(rand.NewPCG(1, 1)))
	for n := range 10 {
		store.Register(0, of(fmt.Sprint("x", n), fmt.Sprint("s", n), "r", "z"), nil)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var opened atomic.Int64
	server := &http.Server{Handler: s.Handler(), ConnState: func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}}
	go server.Serve(l)
	defer server.Close()
	c := NewClient([]string{l.Addr().String()}, rand.New(rand.NewPCG(1, 1)), nil)
	defer c.http.CloseIdleConnections()
	var scopes []string
	for n := range 10 {
		scopes = append(scopes, fmt.Sprint("s", n))
		c.feed.SetScopes(mustScopes(t, scopes...))
		ask := c.feed.Next()
		got := c.read(t.Context(), ask)
		if got.err != nil {
			t.Fatal(got.err)
		}
		if _, err := c.feed.AnsweredTo(ask, got.listing, got.history, 0); err != nil || len(c.feed.instances) != n+1 || len(got.listing.Instances) != 1 {
			t.Fatalf("%d known, %d told, %v", len(c.feed.instances), len(got.listing.Instances), err)
		}
	}
	if opened.Load() != 1 {
		t.Errorf("%d connections", opened.Load())
	}
}

// Subscriptions are kept within their bounds, those used last.
func TestSubscriptionBounds(t *testing.T) {
	s := newSubscriptions()
	var sets []*ScopeSet
	for n := range 6 {
		sets = append(sets, mustSet(t, fmt.Sprint("a", n), "b"))
	}
	for _, set := range sets[:3] {
		s.add(set, 3, 100)
	}
	s.add(sets[1], 3, 100)
	s.get(sets[0].ID())
	s.add(sets[3], 3, 100) // for the third
	for n, kept := range []bool{true, true, false, true} {
		if (s.get(sets[n].ID()) != nil) != kept {
			t.Errorf("set %d is kept: %t", n, !kept)
		}
	}
	s.add(sets[4], 3, 4) // for one more
	if len(s.byID) != 2 || s.recent.Len() != 2 || s.scopes != 4 {
		t.Errorf("%d sets of %d scopes", len(s.byID), s.scopes)
	}
	if s.add(mustSet(t, "c", "d", "e", "f", "g"), 3, 4); len(s.byID) != 1 || s.scopes != 5 {
		t.Errorf("%d sets of %d scopes", len(s.byID), s.scopes) // the one in use is kept
	}
}

// Whole lists of scopes count by their share of the list.
func TestScopedListsAreBounded(t *testing.T) {
	store := newTestStore(testLimits, 0)
	for n := range 40 {
		store.Register(0, of(fmt.Sprint("x", n), fmt.Sprint("s", n%20), "r", "z"), nil)
	}
	for n := range 2 {
		store.Register(0, of(fmt.Sprint("other", n), "other", "r", "z"), nil)
		store.Leave(0, fmt.Sprint("other", n), 1, nil)
	}
	part := ScopedRead{Since: -1, Scopes: mustSet(t, "s1", "s1@region=r"), Held: mustSet(t, "s1", "s1@region=r")}
	for _, c := range []struct {
		question    ScopedRead
		least, most int
	}{
		{ScopedRead{Since: -1}, 2, 2},
		{part, 39, 40}, // 2 of 40 instances each
		{ScopedRead{Scopes: mustSet(t, "s1", "s2"), Held: mustSet(t, "s2")}, 39, 40},
		{ScopedRead{Since: -1, Scopes: mustSet(t, "other", "never")}, 127, 128}, // of none, but not for nothing
	} {
		s := NewWriter("self", store, ServerLimits{Connections: 100, Watchers: 1, ListingsPerSecond: 2}, time.Now(), rand.New(rand.NewPCG(1, 1)))
		s.limits.ListingsPerSecond = 2
		s.listingTokens, s.listingTokensAt = 2, time.Now()
		answered := 0
		for s.takeListingTokens(store.listCost(c.question)) {
			answered++
		}
		if answered < c.least || answered > c.most {
			t.Errorf("%v: %d lists", c.question.Scopes.Strings(), answered)
		}
	}
}

// BenchmarkScopedWake counts what one change costs with so many watchers, each with scopes
// of its own of which one in a hundred has it.
func BenchmarkScopedWake(b *testing.B) {
	for _, watchers := range []int{100, 1000} {
		b.Run(fmt.Sprint(watchers, "watchers"), func(b *testing.B) {
			s, questions := scopedWatchers(b, watchers)
			b.ReportAllocs()
			b.ResetTimer()
			for n := range b.N {
				wakeScoped(b, s, questions, n)
			}
		})
	}
}

// BenchmarkScopedWatch counts the processor time of one change with so many watchers that
// wait, each with scopes of its own: all wake, and one in a hundred is answered.
func BenchmarkScopedWatch(b *testing.B) {
	for _, watchers := range []int{100, 1000, 3000} {
		b.Run(fmt.Sprint(watchers, "watchers"), func(b *testing.B) {
			s, questions := scopedWatchers(b, watchers)
			ctx, stop := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			defer wg.Wait()
			defer stop()
			answered := make(chan int64, watchers)
			for _, q := range questions {
				wg.Go(func() {
					for q := *q; ; {
						found, err := s.awaitAnswer(ctx, q, time.Hour)
						if err != nil {
							return
						}
						var l Listing
						json.Unmarshal(found.body, &l)
						q.Since = l.Generation
						answered <- l.Generation
					}
				})
			}
			for s.metrics.watchers.Load() < int64(watchers) {
				runtime.Gosched()
			}
			before := processorTime(b)
			b.ResetTimer()
			for n := range b.N {
				_, err := s.change(func(now time.Duration) (WriteResult, error) {
					s.lastWake = time.Time{} // no waiting for further changes
					i := of(fmt.Sprint("x", n%100), fmt.Sprint("common", n%100), "r", "z")
					i.StartedAtMs = int64(n + 2)
					return s.store.Register(now, i, nil)
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

// BenchmarkPassOver counts what it takes to look for so many watches whether a burst of a
// thousand changes, none of which does, concerns them.
func BenchmarkPassOver(b *testing.B) {
	for _, watchers := range []int{100, 1000} {
		b.Run(fmt.Sprint(watchers, "watchers"), func(b *testing.B) {
			s, questions := scopedWatchers(b, watchers)
			since := s.store.version
			for n := range 1000 {
				s.store.Register(0, of(fmt.Sprint("burst", n), fmt.Sprint("elsewhere", n%200), "r", "z"), nil)
			}
			for _, q := range questions {
				s.watches[newScopedWatch(*q)] = struct{}{}
			}
			b.ResetTimer()
			for range b.N {
				for watch := range s.watches {
					watch.read.Since = since
				}
				s.watchesVersion = since
				s.advanceWatches()
			}
			for watch := range s.watches {
				if watch.read.Since != s.store.version || len(watch.wake) > 0 {
					b.Fatal("a watch was woken")
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(watchers)/1000, "ns/watch/change")
		})
	}
}

// processorTime is what this process has used of it.
func processorTime(t testing.TB) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		t.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkScopeSet counts the memory of a set of so many scopes.
func BenchmarkScopeSet(b *testing.B) {
	for _, n := range []int{1, 50, 500, 4096} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var scopes []Scope
			for m := range n {
				scopes = append(scopes, Scope{Service: fmt.Sprint("service-", m), Region: fmt.Sprint("eu-", m%9)})
			}
			sets := make([]*ScopeSet, 64)
			before := heap()
			for m := range sets {
				sets[m], _ = NewScopeSet(scopes)
			}
			perSet := float64(heap()-before) / float64(len(sets))
			for b.Loop() {
				NewScopeSet(scopes)
			}
			runtime.KeepAlive(sets)
			b.ReportMetric(perSet, "B/set")
		})
	}
}

// scopedWatchers are questions of so many watchers that are at the last version, each of
// ten services of its own and one that it has in common with one in a hundred.
func scopedWatchers(t testing.TB, watchers int) (*Server, []*ScopedRead) {
	limits := Limits{Lease: time.Hour, Instances: 100_000, History: 1000, HistoryBytes: 1 << 20}
	store := NewStore(limits, "h1", 1000, -limits.Lease)
	for n := range 2000 {
		store.Register(0, of(fmt.Sprint("x", n), fmt.Sprint("common", n%100), "r", "z"), nil)
	}
	s := NewWriter("self", store, ServerLimits{Connections: watchers, Watchers: watchers, ListingsPerSecond: 1e9}, time.Now(), rand.New(rand.NewPCG(1, 1)))
	var questions []*ScopedRead
	for n := range watchers {
		scopes := []string{fmt.Sprintf("common%d@region=r", n%100)}
		for m := range 10 {
			scopes = append(scopes, fmt.Sprintf("own%d-%d", n, m))
		}
		set := mustSet(t, scopes...)
		questions = append(questions, &ScopedRead{Since: store.version, History: "h1", Scopes: set, Held: set})
	}
	return s, questions
}

// wakeScoped changes an instance and has each watcher look once; those whose it is are
// answered.
func wakeScoped(t testing.TB, s *Server, questions []*ScopedRead, n int) {
	i := of(fmt.Sprint("x", n%100), fmt.Sprint("common", n%100), "r", "z")
	i.StartedAtMs = int64(n + 2)
	if _, err := s.store.Register(0, i, nil); err != nil {
		t.Fatal(err)
	}
	answered := 0
	for _, q := range questions {
		found, err := s.poll(q, false)
		if err != nil {
			t.Fatal(err)
		}
		if found.body != nil {
			answered++
			q.Since = s.store.version
		}
		if q.Since != s.store.version {
			t.Fatalf("a watcher looks again at what it has looked at, from %d on", q.Since)
		}
	}
	if answered != len(questions)/100 {
		t.Fatalf("%d of %d were answered", answered, len(questions))
	}
}

// A watcher that a change does not concern costs no memory, and looks at each change once.
func TestScopedWakeAllocates(t *testing.T) {
	s, questions := scopedWatchers(t, 1000)
	n := 0
	for range 5 {
		wakeScoped(t, s, questions, n)
		n++
	}
	allocations := testing.AllocsPerRun(50, func() {
		wakeScoped(t, s, questions, n)
		n++
	})
	t.Logf("%.0f allocations for a change, 1000 watchers looking and 10 answered", allocations)
	if allocations > 500 {
		t.Errorf("%.0f allocations", allocations)
	}
}

// The part of a list costs what it has: its bytes are those of its instances.
func TestBytesOfScopedAnswer(t *testing.T) {
	limits := Limits{Lease: time.Hour, Instances: 100_000, History: 1000, HistoryBytes: 1 << 20}
	store := NewStore(limits, "h1", 1000, -limits.Lease)
	for n := range 4000 {
		store.Register(0, of(fmt.Sprintf("x%05d", n), fmt.Sprint("service", n%200), fmt.Sprint("region", n%3), "zone-a"), nil)
	}
	length := func(q ScopedRead) int {
		a, err := store.ReadScoped(0, q)
		if err != nil {
			t.Fatal(err)
		}
		return len(a.Body)
	}
	everything, err := store.Read(0, -1, "")
	if err != nil {
		t.Fatal(err)
	}
	perInstance := float64(len(everything.Body)) / 4000
	part := length(ScopedRead{Since: -1, Scopes: mustSet(t, "service7")})
	t.Logf("%d bytes whole, %.0f an instance; %d bytes for a service of 20", len(everything.Body), perInstance, part)
	if float64(part) > 20*perInstance*1.05+100 {
		t.Errorf("%d bytes for 20 instances of %.0f", part, perInstance)
	}
	store.Leave(0, "x00007", 1, nil)
	if change := length(ScopedRead{Since: store.version - 1, History: "h1", Scopes: mustSet(t, "service7")}); float64(change) > perInstance+100 {
		t.Errorf("%d bytes for a change", change)
	}
	if nothing := length(ScopedRead{Since: store.version - 1, History: "h1", Scopes: mustSet(t, "service8")}); nothing > 64 {
		t.Errorf("%d bytes for no change", nothing)
	}
}

// A reader takes no answer that is longer than its limit, and keeps the list that it has.
func TestAnswerLimit(t *testing.T) {
	big := false
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HistoryHeader, "h")
		list := Listing{Generation: 1, Reset: true, Instances: []Instance{inst("a", 1)}}
		if big {
			for n := range 100 {
				list.Instances = append(list.Instances, inst(fmt.Sprint("b-", n), 1))
			}
		}
		json.NewEncoder(w).Encode(list)
	}))
	defer server.Close()
	c := NewClient([]string{server.Listener.Addr().String()}, rand.New(rand.NewPCG(1, 1)), func(Update) {})
	const limit = 1000
	c.SetAnswerLimit(limit)
	ask := c.feed.Next()
	if got := c.read(t.Context(), ask); got.err != nil || len(got.listing.Instances) != 1 {
		t.Fatalf("a short list: %+v", got)
	}
	big = true
	if got := c.read(t.Context(), ask); got.err == nil || !strings.Contains(got.err.Error(), "more than 1000 bytes") {
		t.Errorf("a list beyond the limit: %+v", got)
	}
}
