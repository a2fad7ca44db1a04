package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dunlintray/internal/gateway/body"
	"dunlintray/internal/registry"
)

// testGateway is a complete gateway that serves on loopback sockets.
type testGateway struct {
	address   string
	control   string
	discovery *fakeDiscovery
	stop      context.CancelFunc
	reloads   chan Reload
	ended     chan error
	metrics   *metrics
}

// newTestGateway starts a gateway with the given backends and waits until it is ready.
func newTestGateway(t testing.TB, backends ...*testServer) *testGateway {
	t.Helper()
	return newTestGatewayWith(t, func(text string) string { return text }, backends...)
}

// newTestGatewayWith does so with a changed configuration.
func newTestGatewayWith(t testing.TB, change func(config string) string, backends ...*testServer) *testGateway {
	t.Helper()
	gateway := &testGateway{discovery: newFakeDiscovery(t), ended: make(chan error, 1)}
	config, err := parseConfig([]byte(change(configText(gateway.discovery.address(), testSettings))))
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		t.Fatal(err)
	}
	gateway.serve(t, &config, listener)
	if got := gateway.readinessStatus(t); got != http.StatusServiceUnavailable {
		t.Errorf("ready before the list has arrived: status %d", got)
	}
	gateway.discovery.answers <- newListing(true, "Ready", backends...)
	gateway.awaitReadiness(t, http.StatusOK)
	return gateway
}

// serve runs the gateway on a listener until the test ends.
func (g *testGateway) serve(t testing.TB, config *Config, listener net.Listener) {
	t.Helper()
	g.address = listener.Addr().String()
	operators, err := listenControl("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g.control = operators.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	g.stop = stop
	done := make(chan struct{})
	g.reloads, g.metrics = make(chan Reload), newMetrics(config)
	go func() {
		defer close(done)
		g.ended <- serve(ctx, config, g.reloads, listener, operators, g.metrics)
	}()
	t.Cleanup(func() {
		stop()
		<-done
		checkNothingHeld(t, g.metrics)
	})
}

// checkNothingHeld checks that no request has left memory of any kind, a transfer, a place or a connection
// behind.
func checkNothingHeld(t testing.TB, metrics *metrics) {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		memory := metrics.bodies.Held()
		up, down := metrics.uploads.streaming.Load(), metrics.downloads.streaming.Load()
		requests, attempts, open := metrics.inProgress.Load(), metrics.openAttempts.Load(), metrics.clients.counts().Open
		if memory == [body.KindCount]int{} && up == 0 && down == 0 && requests == 0 && attempts == 0 && open == 0 {
			return
		}
		if time.Now().After(end) {
			t.Errorf("left behind: bytes by kind %v, %d transfers up, %d down, %d requests, %d attempts, %d connections", memory, up, down, requests, attempts, open)
			return
		}
	}
}

// newListing returns a list or a change with the given backends.
func newListing(reset bool, lifecycle string, backends ...*testServer) Listing {
	listing := Listing{Generation: 1, Reset: reset}
	for _, backend := range backends {
		listing.Instances = append(listing.Instances, Instance{ID: backend.address(), HostPort: backend.address(), Zone: "a", MachineType: "m",
			Lifecycle: registry.Lifecycle(lifecycle), Weight: 1})
	}
	return listing
}

// readinessStatus returns the status of the readiness check.
func (g *testGateway) readinessStatus(t testing.TB) int {
	t.Helper()
	resp, err := http.Get("http://" + g.address + readyPath)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

// awaitReadiness waits until the readiness check has the status.
func (g *testGateway) awaitReadiness(t testing.TB, status int) {
	t.Helper()
	for end := time.Now().Add(testTimeout); g.readinessStatus(t) != status; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("readiness never became %d", status)
		}
	}
}

var lastRequestID atomic.Uint64

// requestText returns the text of a request with a new id. The changes are pairs of a header, or "path", and
// its value; an empty value removes the header.
func requestText(method, class, body string, change ...string) string {
	headers := map[string]string{idHeader: fmt.Sprintf("%016x", lastRequestID.Add(1)), classHeader: class, planHeader: "basic",
		customerHeader: "00000000b4d65521", timeLeftHeader: "15000", termsHeader: "units=2,spread=2,first=1", idempotencyHeader: "k1"}
	path := "/" + class
	for i := 0; i < len(change); i += 2 {
		if change[i] == "path" {
			path = change[i+1]
		} else if headers[change[i]] = change[i+1]; change[i+1] == "" {
			delete(headers, change[i])
		}
	}
	text := method + " " + path + " HTTP/1.1\r\nHost: origin.svc\r\n"
	for name, value := range headers {
		text += name + ": " + value + "\r\n"
	}
	if body != "" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return text + "\r\n" + body
}

// send writes a request, or the start of one, on a new connection.
func (g *testGateway) send(t testing.TB, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", g.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testTimeout))
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return conn
}

// request sends one request and returns a channel with its response.
func (g *testGateway) request(t testing.TB, text string) (net.Conn, <-chan *http.Response) {
	t.Helper()
	conn := g.send(t, text)
	responses := make(chan *http.Response, 1)
	go func() {
		if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			responses <- resp
		}
	}()
	return conn, responses
}

// serveOne answers the backend's next request on a new connection.
func serveOne(t testing.TB, backend *testServer, body string) {
	t.Helper()
	conn, reader := backend.accept(t)
	readRequest(t, reader)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/x\r\nX-Backend-Load: {}\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// A backend's response reaches the client without the headers meant for gateways.
func TestResponseReachesClient(t *testing.T) {
	t.Parallel()
	backend := newTestServer(t)
	gateway := newTestGateway(t, backend)
	_, responses := gateway.request(t, requestText("POST", "booking", "pickup"))
	serveOne(t, backend, "booked\n")
	resp := wait(t, responses, "response")
	body, err := io.ReadAll(resp.Body)
	if resp.StatusCode != 200 || string(body) != "booked\n" || err != nil || resp.Header.Get("Content-Type") != "text/x" || resp.Header.Get(loadHeader) != "" {
		t.Errorf("%d %q %v %v", resp.StatusCode, body, resp.Header, err)
	}
}

// A malformed request is rejected: a default value could charge the wrong customer, or repeat a
// request that must not run twice.
func TestMalformedRequestsAreRejected(t *testing.T) {
	t.Parallel()
	gateway := newTestGatewayWith(t, func(text string) string { return strings.Replace(text, `"cores"`, `"body_mb": 5, "cores"`, 1) }, newTestServer(t))
	for _, test := range []struct {
		name, text string
		status     int
	}{
		{"no id", requestText("GET", "lookup", "", idHeader, ""), 400},
		{"unknown class", requestText("GET", "lookups", ""), 400},
		{"another path", requestText("GET", "lookup", "", "path", "/booking"), 400},
		{"a path with no first part", requestText("GET", "lookup", "", "path", "//lookup"), 400},
		{"unknown plan", requestText("GET", "lookup", "", planHeader, "gold"), 400},
		{"a short customer", requestText("GET", "lookup", "", customerHeader, "b4d65521"), 400},
		{"a customer too high", requestText("GET", "lookup", "", customerHeader, "0000000200000000"), 400},
		{"no time", requestText("GET", "lookup", "", timeLeftHeader, ""), 400},
		{"no time left", requestText("GET", "lookup", "", timeLeftHeader, "0"), 400},
		{"too much time", requestText("GET", "lookup", "", timeLeftHeader, "99999999999999999999"), 400},
		{"no terms", requestText("GET", "lookup", "", termsHeader, ""), 400},
		{"units that are no number", requestText("GET", "lookup", "", termsHeader, "units=NaN,spread=2,first=0"), 400},
		{"too many units", requestText("GET", "lookup", "", termsHeader, "units=5,spread=2,first=0"), 400},
		{"a spread beyond the fleet", requestText("GET", "lookup", "", termsHeader, "units=1,spread=3,first=0"), 400},
		{"a gateway beyond the fleet", requestText("GET", "lookup", "", termsHeader, "units=1,spread=2,first=2"), 400},
		{"no key", requestText("POST", "booking", "x", idempotencyHeader, ""), 400},
		{"the wrong method", requestText("POST", "lookup", "x"), 405},
		{"a keyed GET", requestText("GET", "booking", ""), 405},
		{"a body too long", requestText("POST", "booking", "", "Content-Length", strconv.Itoa(5<<20+1)), 413},
		{"a body in bad chunks", requestText("POST", "booking", "", "Transfer-Encoding", "chunked") + "x\r\n", 400},
		{"endless headers", requestText("GET", "lookup", "", "X", strings.Repeat("x", 4*maxHeaderBytes)), 431},
		{"too many fields", strings.TrimSuffix(requestText("GET", "lookup", ""), "\r\n") + strings.Repeat("a:\r\n", maxHeaderFields) + "\r\n", 431},
	} {
		_, responses := gateway.request(t, test.text)
		if resp := wait(t, responses, "response to "+test.name); resp.StatusCode != test.status {
			t.Errorf("%s: status %d, want %d", test.name, resp.StatusCode, test.status)
		}
	}
}

// An unsafe request that may have run fails with 502 and is not retried; a keyed one is retried
// within its window.
func TestConnectionBrokenAfterLastByte(t *testing.T) {
	t.Parallel()
	for class, status := range map[string]int{"payment": 502, "booking": 200} {
		backend := newTestServer(t)
		gateway := newTestGateway(t, backend)
		_, responses := gateway.request(t, requestText("POST", class, "x"))
		conn, reader := backend.accept(t)
		readRequest(t, reader)
		conn.Close()
		if status == 200 {
			serveOne(t, backend, "ok") // within its key scope and window a keyed request may be retried
		}
		if resp := wait(t, responses, "response"); resp.StatusCode != status {
			t.Errorf("%s: status %d, want %d", class, resp.StatusCode, status)
		}
		if n := len(backend.conns); n > 0 {
			t.Errorf("%s: %d more connections", class, n)
		}
	}
}

// A silent backend does not hold a request beyond its latency objective, and its late response
// reaches no client.
func TestSilentBackendDoesNotHoldRequests(t *testing.T) {
	t.Parallel()
	backend := newTestServer(t)
	gateway := newTestGateway(t, backend)
	conn, responses := gateway.request(t, requestText("GET", "glance", ""))
	_, reader := backend.accept(t)
	readRequest(t, reader)
	resp := wait(t, responses, "response")
	if resp.StatusCode != 429 || resp.Header.Get("Retry-After") != "0.5" {
		t.Errorf("status %d, Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
	if _, err := reader.ReadByte(); err != io.EOF {
		t.Errorf("the aborted attempt's connection: %v", err)
	}
	// The client's connection carries the next request and only the response to that one.
	io.WriteString(conn, requestText("GET", "lookup", ""))
	serveOne(t, backend, "second")
	next, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || next.StatusCode != 200 {
		t.Fatalf("%v, %v", next, err)
	}
	if body, _ := io.ReadAll(next.Body); string(body) != "second" {
		t.Errorf("body %q", body)
	}
}

// A silent counter does not block customers within their quotas: the call times out and the
// gateway's local allowance is used.
func TestSilentCounterDoesNotBlockRequests(t *testing.T) {
	t.Parallel()
	backend, counter := newTestServer(t), newTestServer(t)
	gateway := newTestGatewayWith(t, strings.NewReplacer(`"127.0.0.1:1"`, `"`+counter.address()+`"`,
		`"pays": 1}`, `"pays": 1, "unitsPerS": 5, "depth": 20}`,
		`"mostUnits": 4`, `"mostUnits": 4, "hasCounter": true, "counterTimeoutS": 1`).Replace, backend)
	_, responses := gateway.request(t, requestText("GET", "lookup", ""))
	_, calls := counter.accept(t)
	readRequest(t, calls)
	serveOne(t, backend, "ok")
	if resp := wait(t, responses, "response"); resp.StatusCode != 200 {
		t.Errorf("status %d", resp.StatusCode)
	}
}

// The units that a backend reports reach the decision module, which settles the quota.
func TestReportedUnitsAreSettled(t *testing.T) {
	t.Parallel()
	backend, counter := newTestServer(t), newTestServer(t)
	gateway := newTestGatewayWith(t, func(text string) string {
		text = strings.Replace(text, "127.0.0.1:1\"", counter.address()+"\"", 1)
		text = strings.Replace(text, `"pays": 1}`, `"pays": 1, "unitsPerS": 0.001, "depth": 4}`, 1)
		return strings.Replace(text, `"mostUnits": 4`, `"mostUnits": 4, "hasCounter": true, "counterTimeoutS": 20, "truedUp": true`, 1)
	}, backend)
	_, first := gateway.request(t, requestText("GET", "lookup", ""))
	conn, calls := counter.accept(t)
	readRequest(t, calls)
	writeTotal(conn, 200, "4") // two of them are spent now, and two remain
	upstream, requests := backend.accept(t)
	readRequest(t, requests)
	io.WriteString(upstream, "HTTP/1.1 200 OK\r\nX-Cost-Units: 4\r\nContent-Length: 0\r\n\r\n")
	wait(t, first, "response")
	gateway.request(t, requestText("GET", "lookup", ""))
	readRequest(t, calls) // the remaining two were settled on the first request
}

// A client that leaves aborts its attempt.
func TestLeavingClientAbortsAttempt(t *testing.T) {
	t.Parallel()
	backend := newTestServer(t)
	gateway := newTestGateway(t, backend)
	conn, _ := gateway.request(t, requestText("POST", "booking", "x"))
	_, reader := backend.accept(t)
	readRequest(t, reader)
	conn.Close()
	if _, err := reader.ReadByte(); err != io.EOF {
		t.Errorf("the attempt's connection: %v", err)
	}
}

// Requests are retried when a backend refuses connections, and none goes to a draining backend.
func TestRefusedConnectionAndDrain(t *testing.T) {
	t.Parallel()
	dead, backend := newTestServer(t), newTestServer(t)
	gateway := newTestGateway(t, dead, backend)
	dead.listener.Close()
	for range 4 { // whichever backend is chosen first
		_, responses := gateway.request(t, requestText("POST", "payment", "x"))
		conn, reader := backend.accept(t)
		readRequest(t, reader)
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		if resp := wait(t, responses, "response"); resp.StatusCode != 200 {
			t.Fatalf("status %d", resp.StatusCode)
		}
	}
	// The next call to discovery shows that the gateway has received the drain.
	wait(t, gateway.discovery.calls, "first list")
	wait(t, gateway.discovery.calls, "watch")
	gateway.discovery.answers <- newListing(false, "Terminating", backend)
	wait(t, gateway.discovery.calls, "next watch")
	_, responses := gateway.request(t, requestText("GET", "glance", ""))
	if resp := wait(t, responses, "response"); resp.StatusCode != 429 || len(backend.conns) != 0 {
		t.Errorf("status %d, %d connections to the draining backend", resp.StatusCode, len(backend.conns))
	}
}

// After a stop, requests in progress are answered, and new ones are accepted for a while.
func TestStopAnswersRequestsInProgress(t *testing.T) {
	t.Parallel()
	backend := newTestServer(t)
	gateway := newTestGateway(t, backend)
	_, held := gateway.request(t, requestText("POST", "booking", "held"))
	upstream, reader := backend.accept(t)
	readRequest(t, reader)
	unused, err := net.Dial("tcp", gateway.address) // must not delay the stop
	if err != nil {
		t.Fatal(err)
	}
	defer unused.Close()
	idle, first := gateway.request(t, requestText("GET", "lookup", "", idHeader, ""))
	wait(t, first, "response") // leaves an idle connection behind
	idle.SetReadDeadline(time.Now().Add(testTimeout))
	gateway.stop()
	if _, err := io.ReadAll(idle); err != nil {
		t.Errorf("the idle connection after the stop: %v", err)
	}
	gateway.awaitReadiness(t, http.StatusServiceUnavailable)
	_, late := gateway.request(t, requestText("POST", "booking", "late"))
	serveOne(t, backend, "late")
	if resp := wait(t, late, "response"); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("a late request: status %d, connection closed %t", resp.StatusCode, resp.Close)
	}
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		conn, err := net.Dial("tcp", gateway.address)
		if err != nil {
			break // the listener is closed
		}
		conn.Close()
		if time.Now().After(end) {
			t.Fatal("the listener never closed")
		}
	}
	io.WriteString(upstream, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	if resp := wait(t, held, "response"); resp.StatusCode != 200 {
		t.Errorf("the held request: status %d", resp.StatusCode)
	}
	if err := wait(t, gateway.ended, "end"); err != nil {
		t.Errorf("ended with %v", err)
	}
}

// reload passes the gateway another configuration, as SIGHUP does.
func (g *testGateway) reload(t testing.TB, settings string) {
	t.Helper()
	config, err := parseConfig([]byte(configText(g.discovery.address(), settings)))
	select {
	case g.reloads <- Reload{Config: config, Err: err}:
	case <-time.After(testTimeout):
		t.Fatal("the gateway did not accept the configuration")
	}
}

// New settings apply to new requests. A request in progress keeps its class, even if that class
// is removed.
func TestReloadedSettings(t *testing.T) {
	t.Parallel()
	backend := newTestServer(t)
	gateway := newTestGateway(t, backend)
	_, inProgress := gateway.request(t, requestText("POST", "payment", "open"))
	conn, reader := backend.accept(t)
	readRequest(t, reader)
	changed := strings.Replace(testSettings, `{"name": "payment", "objectiveS": 10, "deadlineS": 20, "points": 3, "effect": "once"},`,
		`{"name": "audit", "objectiveS": 5, "deadlineS": 9, "points": 9, "effect": "once"},`, 1)
	gateway.reload(t, changed)
	gateway.awaitMetrics(t, "app.loads:1|c", "app.load_errors:0|c", "app.handled.audit.passed:0|c")
	gateway.reload(t, strings.Replace(changed, `"mostTries": 4`, `"mostTries": 0`, 1))
	gateway.awaitMetrics(t, "app.loads:1|c", "app.load_errors:1|c")
	_, dropped := gateway.request(t, requestText("POST", "payment", "x"))
	if resp := wait(t, dropped, "response"); resp.StatusCode != http.StatusBadRequest {
		t.Errorf("a removed class: status %d", resp.StatusCode)
	}
	conn.Close() // the request in progress may have run, and must not run twice
	if resp := wait(t, inProgress, "response"); resp.StatusCode != http.StatusBadGateway || len(backend.conns) != 0 {
		t.Errorf("the request in progress: status %d, %d more connections", resp.StatusCode, len(backend.conns))
	}
	_, added := gateway.request(t, requestText("POST", "audit", "x"))
	serveOne(t, backend, "ok")
	if resp := wait(t, added, "response"); resp.StatusCode != 200 {
		t.Errorf("an added class: status %d", resp.StatusCode)
	}
	gateway.awaitMetrics(t, "app.handled.audit.passed:1|c", "app.handled.payment.bad_gateway:1|c")
}
