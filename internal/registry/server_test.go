package registry

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// patience bounds every wait of a test; none is expected to last so long.
const patience = 20 * time.Second

var testServes = ServerLimits{Connections: 700, Watchers: 600, ListingsPerSecond: 1000}

// service is one list service on loopback sockets.
type service struct {
	*Server
	address, control string
	stop             context.CancelFunc
	ended            chan error
}

func (s *service) run(t *testing.T, serve func(context.Context, net.Listener, net.Listener) error, address string) {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	operators, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address, s.control, s.ended = l.Addr().String(), operators.Addr().String(), make(chan error, 1)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	s.stop = stop
	go func() { defer close(done); s.ended <- serve(ctx, l, operators) }()
	t.Cleanup(func() { stop(); <-done })
}

func newWriterService(t *testing.T, limits ServerLimits) *service {
	t.Helper()
	store := newTestStore(testLimits, 0)
	s := &service{Server: NewWriter("self", store, limits, time.Now(), rand.New(rand.NewPCG(1, 1)))}
	s.run(t, s.Server.Serve, "127.0.0.1:0")
	return s
}

func newFollowerService(t *testing.T, writer string) (*service, *Follower) {
	t.Helper()
	return newFollowerServiceWith(t, writer, testServes)
}

func newFollowerServiceWith(t *testing.T, writer string, limits ServerLimits) (*service, *Follower) {
	t.Helper()
	f := NewFollower("self", writer, nil, testLimits, limits, time.Now(), rand.New(rand.NewPCG(2, 2)))
	s := &service{Server: f.Server}
	s.run(t, f.Serve, "127.0.0.1:0")
	return s, f
}

// call makes one call, without following where it is sent on to.
func call(t *testing.T, method, url, body string) (int, string, http.Header) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	client := &http.Client{Timeout: patience, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	defer client.CloseIdleConnections()
	resp, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(text), resp.Header
}

func (s *service) url(path string) string { return "http://" + s.address + Path + path }

func (s *service) list(t *testing.T, query string) Listing {
	t.Helper()
	code, text, _ := call(t, "GET", s.url(query), "")
	if code != 200 {
		t.Fatalf("status %d: %s", code, text)
	}
	l, err := ParseListing([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func (s *service) put(t *testing.T, id string, started int64) {
	t.Helper()
	if code, text, _ := call(t, "PUT", s.url("/"+id), registration(started)); code != 200 {
		t.Fatalf("status %d: %s", code, text)
	}
}

func registration(started int64) string {
	return fmt.Sprintf(`{"hostPort":"127.0.0.1:80","zone":"a","machineType":"m","startedAtMs":%d}`, started)
}

func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

// The list has the form of the protocol, and a watch waits for what is new.
func TestReadAndWatch(t *testing.T) {
	t.Parallel()
	s := newWriterService(t, testServes)
	s.put(t, "s-1", 7)
	var raw map[string]any
	_, text, header := call(t, "GET", s.url(""), "")
	if err := json.Unmarshal([]byte(text), &raw); err != nil {
		t.Fatal(err)
	}
	want := `map[generation:1001 instances:[map[cell:0 hostPort:127.0.0.1:80 instanceId:s-1 lifecycle:Ready machineType:m startedAtMs:7 weight:1 zone:a]] reset:true]`
	if fmt.Sprint(raw) != want || header.Get(HistoryHeader) != "h1" {
		t.Errorf("%v, history %q", raw, header.Get(HistoryHeader))
	}
	if l := s.list(t, "?since=1001&timeout_ms=20"); l.Generation != 1001 || l.Reset || len(l.Instances) > 0 {
		t.Errorf("at the end of a wait: %+v", l)
	}
	told := make(chan Listing, 1)
	go func() { told <- s.list(t, "?since=1001&timeout_ms=60000&history=h1") }()
	until(t, "a watcher", func() bool { return s.metrics.watchers.Load() == 1 })
	if code, text, _ := call(t, "POST", s.url("/s-1/lifecycle"), `{"lifecycle":"Terminating","startedAtMs":7,"ifVersion":1001}`); code != 200 || text != `{"version":1002,"lifecycle":"Terminating","leaseMs":10000}`+"\n" {
		t.Errorf("status %d: %s", code, text)
	}
	if l := <-told; l.Generation != 1002 || l.Reset || len(l.Instances) != 1 || l.Instances[0].Lifecycle != Terminating {
		t.Errorf("%+v", l)
	}
	if code, _, _ := call(t, "POST", s.url("/s-1/renew"), `{"startedAtMs":7}`); code != 200 {
		t.Errorf("renewal: status %d", code)
	}
	if code, _, _ := call(t, "DELETE", s.url("/s-1?startedAtMs=7"), ""); code != 200 {
		t.Errorf("leaving: status %d", code)
	}
	if l := s.list(t, "?since=1002"); len(l.Instances) != 1 || l.Instances[0].Lifecycle != Gone {
		t.Errorf("%+v", l)
	}
}

// What is not understood changes nothing, and is answered with one line.
func TestBadCalls(t *testing.T) {
	t.Parallel()
	s := newWriterService(t, testServes)
	s.put(t, "s-1", 7)
	reg := func(old, new string) string { return strings.Replace(registration(8), old, new, 1) }
	for _, c := range []struct {
		method, path, body string
		status             int
	}{
		{"PUT", "/s-2", reg(`"zone"`, `"lifecycle":"Asleep","zone"`), 400},
		{"PUT", "/s-2", reg(`"zone"`, `"lifecycle":"Gone","zone"`), 400},
		{"PUT", "/s-2", reg("127.0.0.1:80", "localhost:80"), 400},
		{"PUT", "/s-2", reg("127.0.0.1:80", "127.0.0.1"), 400},
		{"PUT", "/s-2", reg("127.0.0.1:80", "127.0.0.1:99999"), 400},
		{"PUT", "/s-2", reg("127.0.0.1:80", "127.0.0.1:0"), 400},
		{"PUT", "/s-2", reg(`"a"`, `""`), 400},
		{"PUT", "/s-2", reg(`"a"`, `"`+strings.Repeat("a", 65)+`"`), 400},
		{"PUT", "/s-2", reg(`"a"`, `"a\n"`), 400},
		{"PUT", "/s-2", reg(`"zone"`, `"weight":-1,"zone"`), 400},
		{"PUT", "/s-2", reg(`"zone"`, `"weight":1e999,"zone"`), 400},
		{"PUT", "/s-2", reg(`"zone"`, `"weight":NaN,"zone"`), 400},
		{"PUT", "/s-2", reg(`"zone"`, `"cell":-1,"zone"`), 400},
		{"PUT", "/s-2", reg(`"zone"`, `"cell":1.5,"zone"`), 400},
		{"PUT", "/s-2", reg(`"zone"`, `"colour":"red","zone"`), 400},
		{"PUT", "/s-2", reg(`:8}`, `:-8}`), 400},
		{"PUT", "/s-2", reg(`,"startedAtMs":8`, ``), 400},
		{"PUT", "/s-2", registration(8) + "{}", 400},
		{"PUT", "/s-2", registration(8)[:20], 400},
		{"PUT", "/s-2", "", 400},
		{"PUT", "/s-2", registration(8) + strings.Repeat(" ", maxRequestBytes), 413},
		{"PUT", "/" + strings.Repeat("s", 65), registration(8), 400},
		{"PUT", "/s%0a2", registration(8), 400},
		{"PUT", "/s-1", registration(6), 409},
		{"PUT", "/s-1", reg(`"zone"`, `"ifVersion":5,"zone"`), 412},
		{"PUT", "/s-2", reg(`"zone"`, `"drained":true,"zone"`), 400},
		{"POST", "/s-1/renew", `{"startedAtMs":6}`, 409},
		{"POST", "/s-1/renew", `{"startedAtMs":7,"zone":"b"}`, 400},
		{"POST", "/s-2/renew", `{"startedAtMs":7}`, 404},
		{"POST", "/s-1/lifecycle", `{"startedAtMs":7}`, 400},
		{"POST", "/s-1/lifecycle", `{"startedAtMs":7,"lifecycle":"Terminating","weight":1}`, 400},
		{"POST", "/s-1", `{"startedAtMs":7}`, 405},
		{"DELETE", "/s-1", "", 400},
		{"DELETE", "/s-1?startedAtMs=6", "", 409},
		{"DELETE", "/s-1?startedAtMs=7&ifVersion=x", "", 400},
		{"GET", "?since=1002", "", 400},
		{"GET", "?since=-1", "", 400},
		{"GET", "?since=1001&since=1", "", 400},
		{"GET", "?since=1001&timeout_ms=60001", "", 400},
		{"GET", "?since=x", "", 400},
		{"GET", "/s-1", "", 405},
	} {
		code, text, _ := call(t, c.method, s.url(c.path), c.body)
		if code != c.status || strings.Count(strings.TrimSpace(text), "\n") > 0 || text == "" {
			t.Errorf("%s %s %.60s: status %d, %q; want %d", c.method, c.path, c.body, code, text, c.status)
		}
	}
	if l := s.list(t, ""); l.Generation != 1001 || len(l.Instances) != 1 || l.Instances[0] != inst("s-1", 7) {
		t.Errorf("%+v", l)
	}
}

// watch follows a service until it is told to stop, and counts.
type watching struct {
	client  *Client
	answers atomic.Int64
	version atomic.Int64
}

func newWatching(addresses []string, seed uint64) *watching {
	w := &watching{}
	w.client = NewClient(addresses, rand.New(rand.NewPCG(seed, 3)), func(told Update) {
		w.answers.Add(1)
		w.version.Store(told.Generation)
	})
	return w
}

// storeStats are the store's, which the service's tick changes too.
func (s *Server) storeStats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.store.Stats()
}

// A change is encoded once for all watchers, and changes that come in a burst are
// joined for each.
func TestManyWatchers(t *testing.T) {
	t.Parallel()
	const watchers, changes = 300, 200
	s := newWriterService(t, testServes)
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	var all []*watching
	for n := range uint64(watchers) {
		w := newWatching([]string{s.address}, n)
		all = append(all, w)
		wg.Go(func() { w.client.Run(ctx, nil) })
	}
	until(t, "all watch", func() bool { return s.metrics.watchers.Load() == watchers })
	before := s.storeStats()
	s.change(func(now time.Duration) (WriteResult, error) {
		for n := range int64(changes) {
			if _, err := s.store.Register(now, inst(fmt.Sprint(n%40), n), nil); err != nil {
				return WriteResult{}, err
			}
		}
		return WriteResult{}, nil
	})
	for n, w := range all {
		until(t, "a watcher is at the last version", func() bool { return w.version.Load() == 1000+changes })
		if answers := w.answers.Load(); answers != 2 {
			t.Errorf("watcher %d had %d answers for one burst", n, answers-1)
		}
	}
	after := s.storeStats()
	if after.ChangesEncoded-before.ChangesEncoded != changes || after.AnswersEncoded-before.AnswersEncoded > 2 {
		t.Errorf("%d encoded and %d joined for %d changes and %d watchers", after.ChangesEncoded-before.ChangesEncoded,
			after.AnswersEncoded-before.AnswersEncoded, changes, watchers)
	}
}

// Beyond its limits a service turns calls away, each for a time of its own.
func TestTurnedAway(t *testing.T) {
	t.Parallel()
	s := newWriterService(t, ServerLimits{Connections: 100, Watchers: 1, ListingsPerSecond: 3})
	for range 3 {
		s.list(t, "")
	}
	advice := map[string]bool{}
	for n := 0; n < 300 && len(advice) < 2; n++ { // on a slow machine some are let through meanwhile
		code, _, header := call(t, "GET", s.url(""), "")
		if code == 503 {
			advice[header.Get("Retry-After")] = true
		}
	}
	if len(advice) < 2 || advice[""] {
		t.Errorf("advice %v", advice)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	req, _ := http.NewRequestWithContext(ctx, "GET", s.url("?since=1000&timeout_ms=60000"), nil)
	go http.DefaultClient.Do(req)
	until(t, "a watcher", func() bool { return s.metrics.watchers.Load() == 1 })
	if code, _, _ := call(t, "GET", s.url("?since=1000&timeout_ms=60000"), ""); code != 503 {
		t.Errorf("one watcher too many: status %d", code)
	}
	if code, _, _ := call(t, "GET", s.url("?since=1000"), ""); code != 200 {
		t.Errorf("a call that does not wait: status %d", code)
	}
	stop()
	until(t, "no watcher", func() bool { return s.metrics.watchers.Load() == 0 })
}

// A watcher that takes no answer is cut, and holds up nobody.
func TestDeadWatcher(t *testing.T) {
	t.Parallel()
	s := newWriterService(t, testServes)
	for n := range int64(40) {
		s.put(t, fmt.Sprint("s-", n), 1)
	}
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	go func() { // asks, and never reads
		for {
			if _, err := io.WriteString(conn, "GET "+Path+"?since=1000 HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
				return
			}
		}
	}()
	until(t, "it is cut", func() bool { return s.metrics.aborted.Load() > 0 })
	s.list(t, "")
}

// At a stop watchers move on at differing moments.
func TestStop(t *testing.T) {
	t.Parallel()
	const watchers = 40
	s := newWriterService(t, testServes)
	ends := make(chan time.Time, watchers)
	for range watchers {
		go func() {
			resp, err := http.Get(s.url("?since=1000&timeout_ms=60000"))
			if err != nil || resp.StatusCode != 200 || !resp.Close {
				t.Errorf("%v %v", resp, err)
			} else {
				resp.Body.Close()
			}
			ends <- time.Now()
		}()
	}
	until(t, "all watch", func() bool { return s.metrics.watchers.Load() == watchers })
	s.stop()
	var moments []time.Time
	for range watchers {
		moments = append(moments, <-ends)
	}
	if spread := moments[watchers-1].Sub(moments[0]); spread < watchDrainPeriod/4 {
		t.Errorf("all left within %v", spread)
	}
	if err := <-s.ended; err != nil {
		t.Error(err)
	}
}

// A follower has the writer's versions, sends writes there, and without it serves
// what it has and says how old that is.
func TestFollower(t *testing.T) {
	t.Parallel()
	w := newWriterService(t, testServes)
	f, _ := newFollowerService(t, w.address)
	until(t, "ready", func() bool {
		code, _, _ := call(t, "GET", "http://"+f.control+"/control/ready", "")
		return code == 200
	})
	code, _, header := call(t, "PUT", f.url("/s-1"), registration(7))
	if code != http.StatusTemporaryRedirect || header.Get("Location") != w.url("/s-1") {
		t.Errorf("status %d to %q", code, header.Get("Location"))
	}
	// One that is ahead of the follower waits for it.
	told := make(chan Listing, 1)
	go func() { told <- f.list(t, "?since=1001&timeout_ms=60000&history=h1") }()
	w.put(t, "s-1", 7)
	w.put(t, "s-2", 7)
	// If the follower has heard of both at once, both are new to one who comes from a
	// version in between.
	if l := <-told; l.Generation != 1002 || l.Reset || len(l.Instances) == 0 || l.Instances[len(l.Instances)-1].ID != "s-2" {
		t.Errorf("%+v", l)
	}
	until(t, "the same list", func() bool { return f.list(t, "").Generation == 1002 })
	if code, _, _ := call(t, "GET", f.url("?since=5000"), ""); code != 400 {
		t.Errorf("a version to come: status %d", code)
	}
	w.stop()
	<-w.ended
	until(t, "it says how old its list is", func() bool {
		_, _, header := call(t, "GET", f.url(""), "")
		return len(header.Get(AgeHeader)) > 3
	})
	if l := f.list(t, ""); len(l.Instances) != 2 {
		t.Errorf("%+v", l)
	}
	_, figures, _ := call(t, "GET", "http://"+f.control+"/control/counters", "")
	for _, line := range []string{"registry.version:1002|g", "registry.instances:2|g", "registry.lapsed:0|c", "registry.age_ms:"} {
		if !strings.Contains(figures, line) {
			t.Errorf("no %s in\n%s", line, figures)
		}
	}
}

// A follower that has never heard from its writer tells no list, and says so.
func TestFollowerWithoutWriter(t *testing.T) {
	t.Parallel()
	w := newWriterService(t, testServes)
	w.stop()
	<-w.ended
	f, _ := newFollowerService(t, w.address)
	if code, _, header := call(t, "GET", f.url(""), ""); code != 503 || header.Get("Retry-After") == "" {
		t.Errorf("status %d, advice %q", code, header.Get("Retry-After"))
	}
	if _, where, _ := call(t, "GET", "http://"+f.control+"/control/where", ""); !strings.Contains(where, `"ageMs":-1`) {
		t.Errorf("%s", where)
	}
}

// An operator points a follower at a new writer, and its readers go along.
func TestFollowerMoves(t *testing.T) {
	t.Parallel()
	old, next := newWriterService(t, testServes), &service{}
	store := newTestStore(testLimits, 0)
	store.history, store.version = "h2", 5000
	store.clearHistory()
	next.Server = NewWriter("self", store, testServes, time.Now(), rand.New(rand.NewPCG(5, 5)))
	next.run(t, next.Server.Serve, "127.0.0.1:0")
	old.put(t, "s-1", 7)
	next.put(t, "s-2", 9)
	s, f := newFollowerService(t, old.address)
	reader := newWatching([]string{s.address}, 4)
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	wg.Go(func() { reader.client.Run(ctx, nil) })
	until(t, "the reader has the old list", func() bool { return reader.version.Load() == 1001 })
	f.SetSource(ctx, next.address)
	until(t, "the reader has the new list", func() bool { return reader.version.Load() == 5001 })
	if l := s.list(t, ""); len(l.Instances) != 1 || l.Instances[0].ID != "s-2" {
		t.Errorf("%+v", l)
	}
}

// A head that does not come, and a body that does not, end in time.
func TestSilentCallers(t *testing.T) {
	t.Parallel()
	s := newWriterService(t, testServes)
	for _, text := range []string{"GET /", "PUT " + Path + "/s HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n{"} {
		conn, err := net.Dial("tcp", s.address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		io.WriteString(conn, text)
		conn.SetReadDeadline(time.Now().Add(patience))
		if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil && resp.StatusCode/100 != 4 {
			t.Errorf("%q: status %d", text, resp.StatusCode)
		} else if err, ok := err.(net.Error); ok && err.Timeout() {
			t.Errorf("%q: never ended", text)
		}
	}
}
