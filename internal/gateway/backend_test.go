package gateway

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"dunlintray/internal/gateway/body"
	"dunlintray/rules"
)

// TestMain lets tests reuse a connection at once.
func TestMain(m *testing.M) {
	settleTime = 0
	os.Exit(m.Run())
}

// testTimeout bounds every wait of a test. No test is expected to reach it.
const testTimeout = 20 * time.Second

// testServer accepts connections and passes them to the test. It closes them when the test ends.
type testServer struct {
	listener net.Listener
	conns    chan net.Conn
}

func newTestServer(t testing.TB) *testServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &testServer{listener: listener, conns: make(chan net.Conn, 64)}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			server.conns <- conn
		}
	}()
	return server
}

func (s *testServer) address() string { return s.listener.Addr().String() }

// accept waits for the next connection.
func (s *testServer) accept(t testing.TB) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn := wait(t, s.conns, "a connection")
	conn.SetDeadline(time.Now().Add(testTimeout))
	return conn, bufio.NewReader(conn)
}

// wait receives a value, or fails the test after testTimeout.
func wait[T any](t testing.TB, ch <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-ch:
		return v
	case <-time.After(testTimeout):
		t.Fatalf("no %s came", what)
		panic("unreachable")
	}
}

func readRequest(t testing.TB, reader *bufio.Reader) (*http.Request, []byte) {
	t.Helper()
	request, err := http.ReadRequest(reader)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		t.Fatal(err)
	}
	return request, body
}

// newAttempt returns an attempt at backend 1 whose response is not streamed.
func newAttempt(timeout time.Duration) *attempt {
	attempt := &attempt{backend: 1, wallDeadline: time.Now().Add(timeout), exchange: &exchange{method: "POST", uri: "/booking/7?a=%2F",
		host: "origin.svc", header: http.Header{idHeader: {"id-1"}}, body: []byte("pickup")}}
	attempt.onStart, attempt.onInterim = func(response) bool { return false }, func(response) {}
	attempt.ctx, attempt.cancel = context.WithCancel(context.Background())
	return attempt
}

// newTestPools returns pools with backend 1 at the address.
func newTestPools(t testing.TB, address string) *pools {
	pools := newPools(testTimeout, time.Minute, 8, &metrics{bodies: body.NewAccount(4 << 20)})
	pools.update(1, address, 0)
	t.Cleanup(func() { pools.remove(1) })
	return pools
}

func startAttempt(pools *pools, attempt *attempt) <-chan result {
	done := make(chan result, 1)
	go func() { done <- pools.runAttempt(attempt) }()
	return done
}

// The outcome of an attempt decides whether the request may be retried, and whether the
// connection may be reused.
func TestResponseOutcomes(t *testing.T) {
	long := strings.Repeat("x", maxDiscard+1)
	for _, test := range []struct {
		name, reply string
		want        rules.Outcome
		body        string
		kept        bool // the connection
	}{
		{"served", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", rules.Served, "ok", true},
		{"served in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", rules.Served, "ok", true},
		{"served, then closed", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok", rules.Served, "ok", false},
		{"an interim response first", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", rules.Served, "ok", true},
		{"error", "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", rules.Errored, "", true},
		{"refused", "HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", rules.Full, "", true},
		{"deadline exceeded", "HTTP/1.1 504 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", rules.Full, "", true},
		{"503 without proof", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", rules.Errored, "", true},
		{"504 without proof", "HTTP/1.1 504 No\r\nX-Unprocessed: 0\r\nContent-Length: 0\r\n\r\n", rules.Errored, "", true},
		{"500 with proof", "HTTP/1.1 500 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", rules.Errored, "", true},
		{"closed without a response", "", rules.Broken, "", false},
		{"body cut short", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", rules.Broken, "", false},
		{"a long error", "HTTP/1.1 500 No\r\nContent-Length: 65537\r\n\r\n" + long, rules.Errored, "", false},
		{"refused with a long body", "HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 65537\r\n\r\n" + long, rules.Full, "", false},
		{"endless headers", "HTTP/1.1 200 OK\r\nX: " + long + long, rules.Broken, "", false},
		{"not HTTP", "SSH-2.0\r\n\r\n", rules.Broken, "", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			backend := newTestServer(t)
			pools := newTestPools(t, backend.address())
			done := startAttempt(pools, newAttempt(testTimeout))
			conn, reader := backend.accept(t)
			readRequest(t, reader)
			go func() {
				io.WriteString(conn, test.reply)
				if !test.kept {
					conn.(*net.TCPConn).CloseWrite()
				}
			}()
			got := wait(t, done, "result")
			if got.outcome != test.want || string(got.response.body) != test.body {
				t.Errorf("outcome %d, body of %d bytes; want %d and %q", got.outcome, len(got.response.body), test.want, test.body)
			}
			pools.mu.Lock()
			defer pools.mu.Unlock()
			if kept := len(pools.byBackend[1].idle) == 1 && pools.openCount == 1; kept != test.kept {
				t.Errorf("connection kept: %t, %d open", kept, pools.openCount)
			}
		})
	}
}

// The units that a backend reports are part of the result; an invalid header counts as none.
func TestReportedUnits(t *testing.T) {
	for text, want := range map[string]float64{"3": 3, "2.5": 2.5, "": 0, "x": 0, "NaN": 0, "inf": 0, "-1": 0} {
		backend := newTestServer(t)
		done := startAttempt(newTestPools(t, backend.address()), newAttempt(testTimeout))
		conn, reader := backend.accept(t)
		readRequest(t, reader)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Cost-Units: %s\r\nContent-Length: 0\r\n\r\n", text)
		if got := wait(t, done, "result"); got.outcome != rules.Served || got.units != want {
			t.Errorf("%q: outcome %d, %v units; want %v", text, got.outcome, got.units, want)
		}
	}
}

// A request reaches the backend with its method, target, headers and body unchanged.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	backend := newTestServer(t)
	pools := newTestPools(t, backend.address())
	attempt := newAttempt(testTimeout)
	attempt.exchange.header[idempotencyHeader] = []string{"key-1"}
	attempt.exchange.body = bytes.Repeat([]byte{0, 255, '\r', '\n'}, maxDiscard/4)
	done := startAttempt(pools, attempt)
	conn, reader := backend.accept(t)
	request, body := readRequest(t, reader)
	if request.Method != "POST" || request.RequestURI != attempt.exchange.uri || request.Host != "origin.svc" || !bytes.Equal(body, attempt.exchange.body) ||
		request.Header.Get(idHeader) != "id-1" || request.Header.Get(idempotencyHeader) != "key-1" || request.Header.Get(timeLeftHeader) == "" {
		t.Errorf("got %s %s with %d bytes and %v", request.Method, request.RequestURI, len(body), request.Header)
	}
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	wait(t, done, "result")
}

// A refused connection and an unknown backend prove that nothing has run.
func TestConnectFailed(t *testing.T) {
	backend := newTestServer(t)
	pools := newTestPools(t, backend.address())
	backend.listener.Close()
	if got := pools.runAttempt(newAttempt(testTimeout)); got.outcome != rules.ConnectFailed {
		t.Errorf("refused: outcome %d", got.outcome)
	}
	pools.remove(1)
	if got := pools.runAttempt(newAttempt(testTimeout)); got.outcome != rules.ConnectFailed || pools.openCount != 0 {
		t.Errorf("not listed: outcome %d, %d open", got.outcome, pools.openCount)
	}
}

// The deadline ends an attempt at a backend that keeps its connection open and never responds,
// and closes the connection.
func TestSilentBackendTimesOut(t *testing.T) {
	backend := newTestServer(t)
	pools := newTestPools(t, backend.address())
	got := pools.runAttempt(newAttempt(50 * time.Millisecond))
	if got.outcome != rules.TimedOut || pools.openCount != 0 {
		t.Errorf("outcome %d, %d open", got.outcome, pools.openCount)
	}
	conn, reader := backend.accept(t)
	readRequest(t, reader)
	if _, err := conn.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the connection of the attempt that timed out: %v", err)
	}
}

// Once abort has returned, no byte of the request leaves the gateway, neither on a connection
// that is established later nor on the current one.
func TestAbortedAttemptSendsNothing(t *testing.T) {
	backend := newTestServer(t)
	pools := newTestPools(t, backend.address())
	attempt := newAttempt(testTimeout)
	attempt.abort()
	attempt.ctx = context.Background() // as if the dial had succeeded
	pools.runAttempt(attempt)
	conn, reader := backend.accept(t)
	if _, err := reader.ReadByte(); err != io.EOF {
		t.Errorf("sent after the abort: %v", err)
	}
	conn.Close()

	attempt = newAttempt(testTimeout)
	done := startAttempt(pools, attempt)
	_, reader = backend.accept(t)
	readRequest(t, reader)
	attempt.abort()
	if _, err := reader.ReadByte(); err != io.EOF {
		t.Errorf("the connection after the abort: %v", err)
	}
	wait(t, done, "result")
	if pools.openCount != 0 {
		t.Errorf("%d connections open", pools.openCount)
	}
}

// A request must not be written to an idle connection that the backend has closed: it would end
// in a reset, after which it could not be retried.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	backend := newTestServer(t)
	pools := newTestPools(t, backend.address())
	done := startAttempt(pools, newAttempt(testTimeout))
	conn, reader := backend.accept(t)
	readRequest(t, reader)
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	wait(t, done, "result")
	conn.Close()
	until := time.Now().Add(testTimeout)
	for idle := pools.byBackend[1].idle[0]; alive(idle.Conn) && time.Now().Before(until); {
		time.Sleep(time.Millisecond) // until the kernel has delivered the end of the connection
	}
	done = startAttempt(pools, newAttempt(testTimeout))
	conn, reader = backend.accept(t)
	readRequest(t, reader)
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	if got := wait(t, done, "result"); got.outcome != rules.Served {
		t.Errorf("outcome %d", got.outcome)
	}
}

// After a restart or a move of a backend, requests use new connections, and those in flight at
// the former process end.
func TestRestartedBackendGetsNewConnections(t *testing.T) {
	backend, moved := newTestServer(t), newTestServer(t)
	pools := newTestPools(t, backend.address())
	inFlight := startAttempt(pools, newAttempt(testTimeout))
	_, reader := backend.accept(t)
	readRequest(t, reader)
	pools.update(1, backend.address(), 5)
	if got := wait(t, inFlight, "result"); got.outcome != rules.Broken {
		t.Errorf("in flight at the former process: outcome %d", got.outcome)
	}
	for i, address := range []string{backend.address(), moved.address()} {
		pools.update(1, address, 5)
		done := startAttempt(pools, newAttempt(testTimeout))
		conn, reader := []*testServer{backend, moved}[i].accept(t)
		readRequest(t, reader)
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		if got := wait(t, done, "result"); got.outcome != rules.Served || pools.openCount != 1 {
			t.Errorf("change %d: outcome %d, %d open", i, got.outcome, pools.openCount)
		}
	}
}

// A draining backend gets no new request, and may finish those in flight.
func TestDrainingBackendFinishesRequestsInFlight(t *testing.T) {
	backend := newTestServer(t)
	pools := newTestPools(t, backend.address())
	inFlight := startAttempt(pools, newAttempt(testTimeout))
	conn, reader := backend.accept(t)
	readRequest(t, reader)
	pools.remove(1)
	if got := pools.runAttempt(newAttempt(testTimeout)); got.outcome != rules.ConnectFailed {
		t.Errorf("new request: outcome %d", got.outcome)
	}
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	if got := wait(t, inFlight, "result"); got.outcome != rules.Served || pools.openCount != 0 {
		t.Errorf("request in flight: outcome %d, %d open", got.outcome, pools.openCount)
	}
}

// An idle connection can be reused after the deadlines of its earlier attempts have passed.
func TestIdleConnectionOutlivesDeadlines(t *testing.T) {
	backend := newTestServer(t)
	pools := newTestPools(t, backend.address())
	done := startAttempt(pools, newAttempt(testTimeout))
	conn, reader := backend.accept(t)
	for i := range 2 {
		readRequest(t, reader)
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		if got := wait(t, done, "result"); got.outcome != rules.Served {
			t.Errorf("attempt %d: outcome %d", i, got.outcome)
		}
		pools.byBackend[1].idle[0].SetDeadline(time.Now().Add(-time.Second)) // as if the deadline had passed
		if i == 0 {
			done = startAttempt(pools, newAttempt(testTimeout))
		}
	}
	if len(backend.conns) != 0 || pools.openCount != 1 {
		t.Errorf("%d more connections, %d open", len(backend.conns), pools.openCount)
	}
}

// An attempt beyond the limit of connections is not started, and only connections beyond the
// idle limit are closed.
func TestIdleLimitAndMaxOpen(t *testing.T) {
	backend := newTestServer(t)
	pools := newTestPools(t, backend.address())
	pools.maxOpen = 1
	first := startAttempt(pools, newAttempt(testTimeout))
	conn, reader := backend.accept(t)
	readRequest(t, reader)
	// The limit is local: nothing was sent, and the outcome says nothing about the backend.
	if got := pools.runAttempt(newAttempt(testTimeout)); got.outcome != rules.NotStarted {
		t.Errorf("beyond the limit of connections: outcome %d", got.outcome)
	}
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	wait(t, first, "result")
	pools.mu.Lock()
	defer pools.mu.Unlock()
	if pools.closeIdleSince(pools.byBackend[1], time.Now().Add(-time.Hour)); pools.openCount != 1 {
		t.Errorf("a fresh connection was closed")
	}
	if pools.closeIdleSince(pools.byBackend[1], time.Now().Add(time.Hour)); pools.openCount != 0 || len(pools.byBackend[1].idle) != 0 {
		t.Errorf("%d open after the idle limit", pools.openCount)
	}
}

// A dial that fails for want of a descriptor closes the longest idle connection and is retried.
func TestDialWithoutDescriptorIsRetried(t *testing.T) {
	for name, failures := range map[string]int{"once": 1, "on": 1000} {
		idleBackend, backend := newTestServer(t), newTestServer(t)
		pools := newTestPools(t, backend.address())
		pools.update(2, idleBackend.address(), 0)
		t.Cleanup(func() { pools.remove(2) })
		attempt := newAttempt(testTimeout)
		attempt.backend = 2
		done := startAttempt(pools, attempt)
		conn, reader := idleBackend.accept(t)
		readRequest(t, reader)
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		wait(t, done, "result")
		dials, dial := 0, pools.dial
		pools.dial = func(ctx context.Context, pool *backendPool, within time.Duration) (*backendConn, error) {
			if dials++; dials <= failures {
				return nil, &net.OpError{Op: "dial", Err: syscall.EMFILE}
			}
			return dial(ctx, pool, within)
		}
		done = startAttempt(pools, newAttempt(testTimeout))
		if _, err := reader.ReadByte(); err != io.EOF {
			t.Errorf("%s: the idle connection: %v", name, err)
		}
		wantOutcome, minDials := rules.NotStarted, 3
		if failures == 1 {
			wantOutcome, minDials = rules.Served, 2
			conn, reader := backend.accept(t)
			readRequest(t, reader)
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
		if got := wait(t, done, "result"); got.outcome != wantOutcome || dials < minDials || dials > 11 || failures == 1 && dials != 2 {
			t.Errorf("%s: outcome %d after %d dials", name, got.outcome, dials)
		}
	}
}
