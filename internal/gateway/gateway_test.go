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
	"testing"
	"time"

	"dunlintray/internal/registry"
)

// rig is a whole gateway between loopback sockets.
type testGateway struct {
	address  string
	control  string
	registry *agent
	stop     context.CancelFunc
	reloads  chan Reload
	ended    chan error
	figures  *metrics
}

// newRig starts a gateway that knows the given backends and waits until it is
// ready.
func newTestGateway(t testing.TB, backends ...*peer) *testGateway {
	t.Helper()
	return newTestGatewayWith(t, func(text string) string { return text }, backends...)
}

// newRigWith does so with another configuration.
func newTestGatewayWith(t testing.TB, change func(config string) string, backends ...*peer) *testGateway {
	t.Helper()
	r := &testGateway{registry: newAgent(t), ended: make(chan error, 1)}
	c, err := parseConfig([]byte(change(configText(r.registry.address(), testSettings))))
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		t.Fatal(err)
	}
	r.serve(t, &c, l)
	if got := r.ready(t); got != http.StatusServiceUnavailable {
		t.Errorf("ready before the list is had: %d", got)
	}
	r.registry.answers <- newListing(true, "Ready", backends...)
	r.awaitReadiness(t, http.StatusOK)
	return r
}

// serve runs the gateway on a socket until the test ends.
func (r *testGateway) serve(t testing.TB, c *Config, l net.Listener) {
	t.Helper()
	r.address = l.Addr().String()
	operators, err := listenControl("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r.control = operators.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	done := make(chan struct{})
	r.reloads, r.figures = make(chan Reload), newMetrics(c)
	go func() { defer close(done); r.ended <- serve(ctx, c, r.reloads, l, operators, r.figures) }()
	t.Cleanup(func() {
		stop()
		<-done
		// Nothing is left of any transfer, however it ended.
		for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
			used, _ := r.figures.bodyBudget.usage()
			up, down := r.figures.uploads.streaming.Load(), r.figures.downloads.streaming.Load()
			open := r.figures.clients.counts().Open
			if used == 0 && up == 0 && down == 0 && open == 0 {
				break
			}
			if time.Now().After(end) {
				t.Errorf("%d bytes of the budget are left, %d transfers up, %d down, %d connections", used, up, down, open)
				break
			}
		}
	})
}

func newListing(reset bool, lifecycle string, backends ...*peer) Listing {
	l := Listing{Generation: 1, Reset: reset}
	for _, b := range backends {
		l.Instances = append(l.Instances, Instance{ID: b.address(), HostPort: b.address(), Zone: "a", MachineType: "m",
			Lifecycle: registry.Lifecycle(lifecycle), Weight: 1})
	}
	return l
}

func (r *testGateway) ready(t testing.TB) int {
	t.Helper()
	resp, err := http.Get("http://" + r.address + readyPath)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

func (r *testGateway) awaitReadiness(t testing.TB, status int) {
	t.Helper()
	for end := time.Now().Add(testTimeout); r.ready(t) != status; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("readiness never became %d", status)
		}
	}
}

func requestText(method, class, body string, change ...string) string {
	headers := map[string]string{idHeader: "9b1f03aa5c7e2d41", classHeader: class, planHeader: "basic",
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
	for k, v := range headers {
		text += k + ": " + v + "\r\n"
	}
	if body != "" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return text + "\r\n" + body
}

// send writes a request, or the start of one, on a connection of its own.
func (r *testGateway) send(t testing.TB, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", r.address)
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

// client sends one request and returns the channel of its answer.
func (r *testGateway) request(t testing.TB, text string) (net.Conn, <-chan *http.Response) {
	t.Helper()
	conn := r.send(t, text)
	answers := make(chan *http.Response, 1)
	go func() {
		if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			answers <- resp
		}
	}()
	return conn, answers
}

func serveOne(t testing.TB, backend *peer, body string) {
	t.Helper()
	conn, r := backend.accept(t)
	readRequest(t, r)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/x\r\nX-Backend-Load: {}\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func TestServed(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	r := newTestGateway(t, backend)
	_, answers := r.request(t, requestText("POST", "booking", "pickup"))
	serveOne(t, backend, "booked\n")
	resp := wait(t, answers, "answer")
	body, err := io.ReadAll(resp.Body)
	if resp.StatusCode != 200 || string(body) != "booked\n" || err != nil || resp.Header.Get("Content-Type") != "text/x" || resp.Header.Get(loadHeader) != "" {
		t.Errorf("%d %q %v %v", resp.StatusCode, body, resp.Header, err)
	}
}

// What is not understood is turned down: a default could charge the wrong
// customer, or repeat what must not run twice.
func TestMalformed(t *testing.T) {
	t.Parallel()
	r := newTestGatewayWith(t, func(text string) string { return strings.Replace(text, `"cores"`, `"body_mb": 5, "cores"`, 1) }, newPeer(t))
	for _, c := range []struct {
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
		{"time without end", requestText("GET", "lookup", "", timeLeftHeader, "99999999999999999999"), 400},
		{"no terms", requestText("GET", "lookup", "", termsHeader, ""), 400},
		{"no number", requestText("GET", "lookup", "", termsHeader, "units=NaN,spread=2,first=0"), 400},
		{"too many units", requestText("GET", "lookup", "", termsHeader, "units=5,spread=2,first=0"), 400},
		{"a set beyond the fleet", requestText("GET", "lookup", "", termsHeader, "units=1,spread=3,first=0"), 400},
		{"a gateway beyond the fleet", requestText("GET", "lookup", "", termsHeader, "units=1,spread=2,first=2"), 400},
		{"no key", requestText("POST", "booking", "x", idempotencyHeader, ""), 400},
		{"the wrong method", requestText("POST", "lookup", "x"), 405},
		{"a keyed GET", requestText("GET", "booking", ""), 405},
		{"a body too long", requestText("POST", "booking", "", "Content-Length", strconv.Itoa(5<<20+1)), 413},
		{"a body in bad chunks", requestText("POST", "booking", "", "Transfer-Encoding", "chunked") + "x\r\n", 400},
		{"endless headers", requestText("GET", "lookup", "", "X", strings.Repeat("x", 4*maxHeaderBytes)), 431},
	} {
		_, answers := r.request(t, c.text)
		if resp := wait(t, answers, "answer to "+c.name); resp.StatusCode != c.status {
			t.Errorf("%s: status %d, want %d", c.name, resp.StatusCode, c.status)
		}
	}
}

// A refusal promises that nothing ran. An unsafe or keyed request that may have
// run fails instead, and is not sent again by anything below the module either.
func TestBreakAfterLastByte(t *testing.T) {
	t.Parallel()
	for class, status := range map[string]int{"payment": 502, "booking": 200} {
		backend := newPeer(t)
		r := newTestGateway(t, backend)
		_, answers := r.request(t, requestText("POST", class, "x"))
		conn, br := backend.accept(t)
		readRequest(t, br)
		conn.Close()
		if status == 200 {
			serveOne(t, backend, "ok") // in its group and within its window a keyed request may go out again
		}
		if resp := wait(t, answers, "answer"); resp.StatusCode != status {
			t.Errorf("%s: status %d, want %d", class, resp.StatusCode, status)
		}
		if n := len(backend.conns); n > 0 {
			t.Errorf("%s: %d more connections", class, n)
		}
	}
}

// A backend that says nothing must not hold a request beyond its aim, and its
// late answer must reach nobody.
func TestSilence(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	r := newTestGateway(t, backend)
	conn, answers := r.request(t, requestText("GET", "glance", ""))
	_, br := backend.accept(t)
	readRequest(t, br)
	resp := wait(t, answers, "answer")
	if resp.StatusCode != 429 || resp.Header.Get("Retry-After") != "0.5" {
		t.Errorf("status %d, Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
	if _, err := br.ReadByte(); err != io.EOF {
		t.Errorf("the given-up attempt's connection: %v", err)
	}
	// The client's connection carries the next request, and that one's answer only.
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

// A counter that says nothing must not stop customers inside their quotas: the
// call is given up and the gateway's own share pays.
func TestSilentCounter(t *testing.T) {
	t.Parallel()
	backend, counter := newPeer(t), newPeer(t)
	r := newTestGatewayWith(t, strings.NewReplacer(`"127.0.0.1:1"`, `"`+counter.address()+`"`,
		`"pays": 1}`, `"pays": 1, "unitsPerS": 5, "depth": 20}`,
		`"mostUnits": 4`, `"mostUnits": 4, "hasCounter": true, "counterTimeoutS": 1`).Replace, backend)
	_, answers := r.request(t, requestText("GET", "lookup", ""))
	_, calls := counter.accept(t)
	readRequest(t, calls)
	serveOne(t, backend, "ok")
	if resp := wait(t, answers, "answer"); resp.StatusCode != 200 {
		t.Errorf("status %d", resp.StatusCode)
	}
}

// Work for a client that has left is wasted: its attempt is called off.
// What a request really took is settled by the module, which must be told of it.
func TestTrueUnitsAreSettled(t *testing.T) {
	t.Parallel()
	backend, count := newPeer(t), newPeer(t)
	r := newTestGatewayWith(t, func(text string) string {
		text = strings.Replace(text, "127.0.0.1:1\"", count.address()+"\"", 1)
		text = strings.Replace(text, `"pays": 1}`, `"pays": 1, "unitsPerS": 0.001, "depth": 4}`, 1)
		return strings.Replace(text, `"mostUnits": 4`, `"mostUnits": 4, "hasCounter": true, "counterTimeoutS": 20, "truedUp": true`, 1)
	}, backend)
	_, first := r.request(t, requestText("GET", "lookup", ""))
	conn, calls := count.accept(t)
	readRequest(t, calls)
	writeTotal(conn, 200, "4") // of which two are spent now, and two are left
	to, requests := backend.accept(t)
	readRequest(t, requests)
	io.WriteString(to, "HTTP/1.1 200 OK\r\nX-Cost-Units: 4\r\nContent-Length: 0\r\n\r\n")
	wait(t, first, "answer")
	r.request(t, requestText("GET", "lookup", ""))
	readRequest(t, calls) // the two that were left have gone to the first
}

func TestClientLeaves(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	r := newTestGateway(t, backend)
	conn, _ := r.request(t, requestText("POST", "booking", "x"))
	_, br := backend.accept(t)
	readRequest(t, br)
	conn.Close()
	if _, err := br.ReadByte(); err != io.EOF {
		t.Errorf("the attempt's connection: %v", err)
	}
}

func TestRefusedBackendAndDrain(t *testing.T) {
	t.Parallel()
	dead, backend := newPeer(t), newPeer(t)
	r := newTestGateway(t, dead, backend)
	dead.listener.Close()
	for range 4 { // none is lost, whichever is picked first
		_, answers := r.request(t, requestText("POST", "payment", "x"))
		conn, br := backend.accept(t)
		readRequest(t, br)
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		if resp := wait(t, answers, "answer"); resp.StatusCode != 200 {
			t.Fatalf("status %d", resp.StatusCode)
		}
	}
	// The call after the one that told of the drain shows that it was heard.
	wait(t, r.registry.calls, "first list")
	wait(t, r.registry.calls, "watch")
	r.registry.answers <- newListing(false, "Terminating", backend)
	wait(t, r.registry.calls, "next watch")
	_, answers := r.request(t, requestText("GET", "glance", ""))
	if resp := wait(t, answers, "answer"); resp.StatusCode != 429 || len(backend.conns) != 0 {
		t.Errorf("status %d, %d connections to the draining backend", resp.StatusCode, len(backend.conns))
	}
}

// After SIGTERM nothing that was taken may be lost: what is held is answered,
// and what still comes is taken for a while.
func TestStop(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	r := newTestGateway(t, backend)
	_, held := r.request(t, requestText("POST", "booking", "held"))
	conn, br := backend.accept(t)
	readRequest(t, br)
	unused, err := net.Dial("tcp", r.address) // must not hold up the end
	if err != nil {
		t.Fatal(err)
	}
	defer unused.Close()
	idle, first := r.request(t, requestText("GET", "lookup", "", idHeader, ""))
	wait(t, first, "answer") // leaves an idle connection behind
	idle.SetReadDeadline(time.Now().Add(testTimeout))
	r.stop()
	if _, err := io.ReadAll(idle); err != nil {
		t.Errorf("the idle connection after the stop: %v", err)
	}
	r.awaitReadiness(t, http.StatusServiceUnavailable)
	_, late := r.request(t, requestText("POST", "booking", "late"))
	serveOne(t, backend, "late")
	if resp := wait(t, late, "answer"); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("a late request: status %d, connection closed %t", resp.StatusCode, resp.Close)
	}
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		c, err := net.Dial("tcp", r.address)
		if err != nil {
			break // clients are taken no longer
		}
		c.Close()
		if time.Now().After(end) {
			t.Fatal("the listener never closed")
		}
	}
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	if resp := wait(t, held, "answer"); resp.StatusCode != 200 {
		t.Errorf("the held request: status %d", resp.StatusCode)
	}
	if err := wait(t, r.ended, "end"); err != nil {
		t.Errorf("ended with %v", err)
	}
}

// reload gives the gateway another configuration, as a hangup does.
func (r *testGateway) reload(t testing.TB, settings string) {
	t.Helper()
	c, err := parseConfig([]byte(configText(r.registry.address(), settings)))
	select {
	case r.reloads <- Reload{Config: c, Err: err}:
	case <-time.After(testTimeout):
		t.Fatal("nobody took the configuration")
	}
}

// New settings bind the requests that come under them. One that is open keeps
// its class to its end, also where that class is no more.
func TestRetune(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	r := newTestGateway(t, backend)
	_, open := r.request(t, requestText("POST", "payment", "open"))
	conn, br := backend.accept(t)
	readRequest(t, br)
	retuned := strings.Replace(testSettings, `{"name": "payment", "objectiveS": 10, "deadlineS": 20, "points": 3, "effect": "once"},`,
		`{"name": "audit", "objectiveS": 5, "deadlineS": 9, "points": 9, "effect": "once"},`, 1)
	r.reload(t, retuned)
	r.tells(t, "app.loads:1|c", "app.load_errors:0|c", "app.handled.audit.passed:0|c")
	r.reload(t, strings.Replace(retuned, `"mostTries": 4`, `"mostTries": 0`, 1))
	r.tells(t, "app.loads:1|c", "app.load_errors:1|c")
	_, dropped := r.request(t, requestText("POST", "payment", "x"))
	if resp := wait(t, dropped, "answer"); resp.StatusCode != http.StatusBadRequest {
		t.Errorf("a class that is no more: status %d", resp.StatusCode)
	}
	conn.Close() // the open one may have run, and must not run twice
	if resp := wait(t, open, "answer"); resp.StatusCode != http.StatusBadGateway || len(backend.conns) != 0 {
		t.Errorf("the open request: status %d, %d more connections", resp.StatusCode, len(backend.conns))
	}
	_, added := r.request(t, requestText("POST", "audit", "x"))
	serveOne(t, backend, "ok")
	if resp := wait(t, added, "answer"); resp.StatusCode != 200 {
		t.Errorf("a class that is new: status %d", resp.StatusCode)
	}
	r.tells(t, "app.handled.audit.passed:1|c", "app.handled.payment.bad_gateway:1|c")
}
