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

// testTimeout bounds every wait of a test.
const testTimeout = 20 * time.Second

var testServerLimits = ServerLimits{Connections: 700, Watchers: 600, ListingsPerSecond: 1000}

// testServer is a registry server on loopback sockets.
type testServer struct {
	*Server
	address, control string
	stop             context.CancelFunc
	ended            chan error
}

func (s *testServer) run(t *testing.T, serve func(context.Context, net.Listener, net.Listener) error, address string) {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	operators, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address, s.control, s.ended = listener.Addr().String(), operators.Addr().String(), make(chan error, 1)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	s.stop = stop
	go func() { defer close(done); s.ended <- serve(ctx, listener, operators) }()
	t.Cleanup(func() { stop(); <-done })
}

func newTestWriter(t *testing.T, limits ServerLimits) *testServer {
	t.Helper()
	store := newTestStore(testLimits, 0)
	s := &testServer{Server: NewWriter("self", store, limits, time.Now(), rand.New(rand.NewPCG(1, 1)))}
	s.run(t, s.Server.Serve, "127.0.0.1:0")
	return s
}

func newTestFollower(t *testing.T, writer string) (*testServer, *Follower) {
	t.Helper()
	return newTestFollowerWith(t, writer, testServerLimits)
}

func newTestFollowerWith(t *testing.T, writer string, limits ServerLimits) (*testServer, *Follower) {
	t.Helper()
	f := NewFollower("self", writer, nil, testLimits, limits, time.Now(), rand.New(rand.NewPCG(2, 2)))
	s := &testServer{Server: f.Server}
	s.run(t, f.Serve, "127.0.0.1:0")
	return s, f
}

// call makes one HTTP request and does not follow redirects.
func call(t *testing.T, method, url, body string) (int, string, http.Header) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	client := &http.Client{Timeout: testTimeout, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
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

func (s *testServer) url(path string) string { return "http://" + s.address + Path + path }

func (s *testServer) list(t *testing.T, query string) Listing {
	t.Helper()
	code, text, _ := call(t, "GET", s.url(query), "")
	if code != 200 {
		t.Fatalf("read: status %d: %s", code, text)
	}
	l, err := ParseListing([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func (s *testServer) register(t *testing.T, id string, started int64) {
	t.Helper()
	if code, text, _ := call(t, "PUT", s.url("/"+id), registration(started)); code != 200 {
		t.Fatalf("registration: status %d: %s", code, text)
	}
}

func registration(started int64) string {
	return fmt.Sprintf(`{"hostPort":"127.0.0.1:80","zone":"a","machineType":"m","startedAtMs":%d}`, started)
}

func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// The list has the JSON form of the protocol, and a watch waits for changes.
func TestReadAndWatch(t *testing.T) {
	t.Parallel()
	server := newTestWriter(t, testServerLimits)
	server.register(t, "s-1", 7)
	var raw map[string]any
	_, text, header := call(t, "GET", server.url(""), "")
	if err := json.Unmarshal([]byte(text), &raw); err != nil {
		t.Fatal(err)
	}
	want := `map[generation:1001 instances:[map[cell:0 hostPort:127.0.0.1:80 instanceId:s-1 lifecycle:Ready machineType:m startedAtMs:7 weight:1 zone:a]] reset:true]`
	if fmt.Sprint(raw) != want || header.Get(HistoryHeader) != "h1" {
		t.Errorf("%v, history %q", raw, header.Get(HistoryHeader))
	}
	if listing := server.list(t, "?since=1001&timeout_ms=20"); listing.Generation != 1001 || listing.Reset || len(listing.Instances) > 0 {
		t.Errorf("at the end of a watch: %+v", listing)
	}
	answered := make(chan Listing, 1)
	go func() { answered <- server.list(t, "?since=1001&timeout_ms=60000&history=h1") }()
	waitUntil(t, "one watcher", func() bool { return server.metrics.watchers.Load() == 1 })
	if code, text, _ := call(t, "POST", server.url("/s-1/lifecycle"), `{"lifecycle":"Terminating","startedAtMs":7,"ifVersion":1001}`); code != 200 || text != `{"version":1002,"lifecycle":"Terminating","leaseMs":10000}`+"\n" {
		t.Errorf("change of lifecycle: status %d: %s", code, text)
	}
	if listing := <-answered; listing.Generation != 1002 || listing.Reset || len(listing.Instances) != 1 || listing.Instances[0].Lifecycle != Terminating {
		t.Errorf("answer to the watch: %+v", listing)
	}
	if code, _, _ := call(t, "POST", server.url("/s-1/renew"), `{"startedAtMs":7}`); code != 200 {
		t.Errorf("renewal: status %d", code)
	}
	if code, _, _ := call(t, "DELETE", server.url("/s-1?startedAtMs=7"), ""); code != 200 {
		t.Errorf("removal: status %d", code)
	}
	if listing := server.list(t, "?since=1002"); len(listing.Instances) != 1 || listing.Instances[0].Lifecycle != Gone {
		t.Errorf("changes after the removal: %+v", listing)
	}
}

// Invalid requests change nothing and get an error of one line.
func TestInvalidRequestsChangeNothing(t *testing.T) {
	t.Parallel()
	server := newTestWriter(t, testServerLimits)
	server.register(t, "s-1", 7)
	modified := func(old, new string) string { return strings.Replace(registration(8), old, new, 1) }
	for _, test := range []struct {
		method, path, body string
		status             int
	}{
		{"PUT", "/s-2", modified(`"zone"`, `"lifecycle":"Asleep","zone"`), 400},
		{"PUT", "/s-2", modified(`"zone"`, `"lifecycle":"Gone","zone"`), 400},
		{"PUT", "/s-2", modified("127.0.0.1:80", "localhost:80"), 400},
		{"PUT", "/s-2", modified("127.0.0.1:80", "127.0.0.1"), 400},
		{"PUT", "/s-2", modified("127.0.0.1:80", "127.0.0.1:99999"), 400},
		{"PUT", "/s-2", modified("127.0.0.1:80", "127.0.0.1:0"), 400},
		{"PUT", "/s-2", modified(`"a"`, `""`), 400},
		{"PUT", "/s-2", modified(`"a"`, `"`+strings.Repeat("a", 65)+`"`), 400},
		{"PUT", "/s-2", modified(`"a"`, `"a\n"`), 400},
		{"PUT", "/s-2", modified(`"zone"`, `"weight":-1,"zone"`), 400},
		{"PUT", "/s-2", modified(`"zone"`, `"weight":1e999,"zone"`), 400},
		{"PUT", "/s-2", modified(`"zone"`, `"weight":NaN,"zone"`), 400},
		{"PUT", "/s-2", modified(`"zone"`, `"cell":-1,"zone"`), 400},
		{"PUT", "/s-2", modified(`"zone"`, `"cell":1.5,"zone"`), 400},
		{"PUT", "/s-2", modified(`"zone"`, `"colour":"red","zone"`), 400},
		{"PUT", "/s-2", modified(`:8}`, `:-8}`), 400},
		{"PUT", "/s-2", modified(`,"startedAtMs":8`, ``), 400},
		{"PUT", "/s-2", registration(8) + "{}", 400},
		{"PUT", "/s-2", registration(8)[:20], 400},
		{"PUT", "/s-2", "", 400},
		{"PUT", "/s-2", registration(8) + strings.Repeat(" ", maxRequestBytes), 413},
		{"PUT", "/" + strings.Repeat("s", 65), registration(8), 400},
		{"PUT", "/s%0a2", registration(8), 400},
		{"PUT", "/s-1", registration(6), 409},
		{"PUT", "/s-1", modified(`"zone"`, `"ifVersion":5,"zone"`), 412},
		{"PUT", "/s-2", modified(`"zone"`, `"drained":true,"zone"`), 400},
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
		code, text, _ := call(t, test.method, server.url(test.path), test.body)
		if code != test.status || strings.Count(strings.TrimSpace(text), "\n") > 0 || text == "" {
			t.Errorf("%s %s %.60s: status %d, %q; want %d", test.method, test.path, test.body, code, text, test.status)
		}
	}
	if listing := server.list(t, ""); listing.Generation != 1001 || len(listing.Instances) != 1 || listing.Instances[0] != testInstance("s-1", 7) {
		t.Errorf("list after the invalid requests: %+v", listing)
	}
}

// watcher is a client that counts its updates.
type watcher struct {
	client  *Client
	updates atomic.Int64
	version atomic.Int64
}

func newWatcher(addresses []string, seed uint64) *watcher {
	w := &watcher{}
	w.client = NewClient(addresses, rand.New(rand.NewPCG(seed, 3)), func(update Update) {
		w.updates.Add(1)
		w.version.Store(update.Generation)
	})
	return w
}

// storeStats returns the store's statistics under the server's lock.
func (s *Server) storeStats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.store.Stats()
}

// A change is encoded once for all watchers, and a burst of changes is one answer.
func TestWatchersShareEncodedChanges(t *testing.T) {
	t.Parallel()
	const watchers, changes = 300, 200
	server := newTestWriter(t, testServerLimits)
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	var all []*watcher
	for n := range uint64(watchers) {
		w := newWatcher([]string{server.address}, n)
		all = append(all, w)
		wg.Go(func() { w.client.Run(ctx, nil) })
	}
	waitUntil(t, "all watchers", func() bool { return server.metrics.watchers.Load() == watchers })
	before := server.storeStats()
	server.change(func(now time.Duration) (WriteResult, error) {
		for n := range int64(changes) {
			if _, err := server.store.Register(now, testInstance(fmt.Sprint(n%40), n), nil); err != nil {
				return WriteResult{}, err
			}
		}
		return WriteResult{}, nil
	})
	for n, w := range all {
		waitUntil(t, "the last version at a watcher", func() bool { return w.version.Load() == 1000+changes })
		if answers := w.updates.Load(); answers != 2 {
			t.Errorf("watcher %d received %d answers for one burst", n, answers-1)
		}
	}
	after := server.storeStats()
	if after.ChangesEncoded-before.ChangesEncoded != changes || after.AnswersEncoded-before.AnswersEncoded > 2 {
		t.Errorf("%d changes and %d answers encoded for %d changes and %d watchers", after.ChangesEncoded-before.ChangesEncoded,
			after.AnswersEncoded-before.AnswersEncoded, changes, watchers)
	}
}

// An overloaded server rejects requests with differing Retry-After delays.
func TestOverloadedServerRejects(t *testing.T) {
	t.Parallel()
	server := newTestWriter(t, ServerLimits{Connections: 100, Watchers: 1, ListingsPerSecond: 3})
	for range 3 {
		server.list(t, "")
	}
	retryAfter := map[string]bool{}
	for n := 0; n < 300 && len(retryAfter) < 2; n++ { // on a slow machine the rate limit admits some meanwhile
		code, _, header := call(t, "GET", server.url(""), "")
		if code == 503 {
			retryAfter[header.Get("Retry-After")] = true
		}
	}
	if len(retryAfter) < 2 || retryAfter[""] {
		t.Errorf("Retry-After values %v", retryAfter)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	req, _ := http.NewRequestWithContext(ctx, "GET", server.url("?since=1000&timeout_ms=60000"), nil)
	go http.DefaultClient.Do(req)
	waitUntil(t, "one watcher", func() bool { return server.metrics.watchers.Load() == 1 })
	if code, _, _ := call(t, "GET", server.url("?since=1000&timeout_ms=60000"), ""); code != 503 {
		t.Errorf("watcher above the limit: status %d", code)
	}
	if code, _, _ := call(t, "GET", server.url("?since=1000"), ""); code != 200 {
		t.Errorf("read without waiting: status %d", code)
	}
	stop()
	waitUntil(t, "no watchers", func() bool { return server.metrics.watchers.Load() == 0 })
}

// The server disconnects a client that does not read its answers, without delaying others.
func TestStalledWatcherIsDisconnected(t *testing.T) {
	t.Parallel()
	server := newTestWriter(t, testServerLimits)
	for n := range int64(40) {
		server.register(t, fmt.Sprint("s-", n), 1)
	}
	conn, err := net.Dial("tcp", server.address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	go func() { // sends requests and never reads
		for {
			if _, err := io.WriteString(conn, "GET "+Path+"?since=1000 HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
				return
			}
		}
	}()
	waitUntil(t, "the client is disconnected", func() bool { return server.metrics.aborted.Load() > 0 })
	server.list(t, "")
}

// Shutdown ends watches spread over time.
func TestShutdownSpreadsWatchers(t *testing.T) {
	t.Parallel()
	const watchers = 40
	server := newTestWriter(t, testServerLimits)
	ends := make(chan time.Time, watchers)
	for range watchers {
		go func() {
			resp, err := http.Get(server.url("?since=1000&timeout_ms=60000"))
			if err != nil || resp.StatusCode != 200 || !resp.Close {
				t.Errorf("%v %v", resp, err)
			} else {
				resp.Body.Close()
			}
			ends <- time.Now()
		}()
	}
	waitUntil(t, "all watchers", func() bool { return server.metrics.watchers.Load() == watchers })
	server.stop()
	var moments []time.Time
	for range watchers {
		moments = append(moments, <-ends)
	}
	if spread := moments[watchers-1].Sub(moments[0]); spread < watchDrainPeriod/4 {
		t.Errorf("all watches ended within %v", spread)
	}
	if err := <-server.ended; err != nil {
		t.Error(err)
	}
}

// A follower serves the writer's versions, redirects writes to it, and without it serves its copy
// with the age.
func TestFollowerServesWritersVersions(t *testing.T) {
	t.Parallel()
	writer := newTestWriter(t, testServerLimits)
	follower, _ := newTestFollower(t, writer.address)
	waitUntil(t, "ready", func() bool {
		code, _, _ := call(t, "GET", "http://"+follower.control+"/control/ready", "")
		return code == 200
	})
	code, _, header := call(t, "PUT", follower.url("/s-1"), registration(7))
	if code != http.StatusTemporaryRedirect || header.Get("Location") != writer.url("/s-1") {
		t.Errorf("status %d to %q", code, header.Get("Location"))
	}
	// A reader ahead of the follower waits for it.
	answered := make(chan Listing, 1)
	go func() { answered <- follower.list(t, "?since=1001&timeout_ms=60000&history=h1") }()
	writer.register(t, "s-1", 7)
	writer.register(t, "s-2", 7)
	// If the follower received both at once, a reader at the intermediate version gets both.
	if listing := <-answered; listing.Generation != 1002 || listing.Reset || len(listing.Instances) == 0 || listing.Instances[len(listing.Instances)-1].ID != "s-2" {
		t.Errorf("answer to the watch: %+v", listing)
	}
	waitUntil(t, "the same list", func() bool { return follower.list(t, "").Generation == 1002 })
	if code, _, _ := call(t, "GET", follower.url("?since=5000"), ""); code != 400 {
		t.Errorf("read at a future version: status %d", code)
	}
	writer.stop()
	<-writer.ended
	waitUntil(t, "a list age of at least a second", func() bool {
		_, _, header := call(t, "GET", follower.url(""), "")
		return len(header.Get(AgeHeader)) > 3
	})
	if listing := follower.list(t, ""); len(listing.Instances) != 2 {
		t.Errorf("list without the writer: %+v", listing)
	}
	_, metrics, _ := call(t, "GET", "http://"+follower.control+"/control/counters", "")
	for _, line := range []string{"registry.version:1002|g", "registry.instances:2|g", "registry.lapsed:0|c", "registry.age_ms:"} {
		if !strings.Contains(metrics, line) {
			t.Errorf("metric %s is missing in\n%s", line, metrics)
		}
	}
}

// A follower without an update from its writer rejects reads and reports age -1.
func TestFollowerWithoutWriterRejectsReads(t *testing.T) {
	t.Parallel()
	writer := newTestWriter(t, testServerLimits)
	writer.stop()
	<-writer.ended
	follower, _ := newTestFollower(t, writer.address)
	if code, _, header := call(t, "GET", follower.url(""), ""); code != 503 || header.Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q", code, header.Get("Retry-After"))
	}
	if _, position, _ := call(t, "GET", "http://"+follower.control+"/control/where", ""); !strings.Contains(position, `"ageMs":-1`) {
		t.Errorf("position: %s", position)
	}
}

// A follower that is pointed at a new writer takes its readers along.
func TestFollowerSwitchesWriter(t *testing.T) {
	t.Parallel()
	oldWriter, newWriter := newTestWriter(t, testServerLimits), &testServer{}
	store := newTestStore(testLimits, 0)
	store.history, store.version = "h2", 5000
	store.clearHistory()
	newWriter.Server = NewWriter("self", store, testServerLimits, time.Now(), rand.New(rand.NewPCG(5, 5)))
	newWriter.run(t, newWriter.Server.Serve, "127.0.0.1:0")
	oldWriter.register(t, "s-1", 7)
	newWriter.register(t, "s-2", 9)
	server, follower := newTestFollower(t, oldWriter.address)
	reader := newWatcher([]string{server.address}, 4)
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	wg.Go(func() { reader.client.Run(ctx, nil) })
	waitUntil(t, "the reader has the old list", func() bool { return reader.version.Load() == 1001 })
	follower.SetSource(ctx, newWriter.address)
	waitUntil(t, "the reader has the new list", func() bool { return reader.version.Load() == 5001 })
	if listing := server.list(t, ""); len(listing.Instances) != 1 || listing.Instances[0].ID != "s-2" {
		t.Errorf("list after the switch: %+v", listing)
	}
}

// Requests with an incomplete header or body time out.
func TestStalledRequestsTimeOut(t *testing.T) {
	t.Parallel()
	s := newTestWriter(t, testServerLimits)
	for _, text := range []string{"GET /", "PUT " + Path + "/s HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n{"} {
		conn, err := net.Dial("tcp", s.address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		io.WriteString(conn, text)
		conn.SetReadDeadline(time.Now().Add(testTimeout))
		if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil && resp.StatusCode/100 != 4 {
			t.Errorf("%q: status %d", text, resp.StatusCode)
		} else if err, ok := err.(net.Error); ok && err.Timeout() {
			t.Errorf("%q: not ended within the timeout", text)
		}
	}
}
