package gateway

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"dunlintray/internal/connlimit"
	"dunlintray/rules"
)

// The tests in this file force races between two events.

// splitHead splits a request in the middle of its head.
func splitHead(text string) (first, rest string) {
	index := strings.Index(text, "Host:")
	return text[:index], text[index:]
}

// A request whose head is half read at a stop is answered, also on a reused connection, which
// net/http still considers idle.
func TestStopDuringRequestHead(t *testing.T) {
	t.Parallel()
	for name, served := range map[string]bool{"on a new connection": false, "on a reused connection": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			backend := newTestServer(t)
			gateway := newTestGateway(t, backend)
			first, rest := splitHead(requestText("POST", "booking", "pickup"))
			conn := gateway.send(t, "")
			reader := bufio.NewReader(conn)
			if served {
				io.WriteString(conn, requestText("GET", "lookup", "", idHeader, ""))
				if resp, err := http.ReadResponse(reader, nil); err != nil {
					t.Fatal(err)
				} else {
					io.Copy(io.Discard, resp.Body)
				}
				gateway.awaitMetrics(t, "app.clients.idle:1|g")
			}
			io.WriteString(conn, first)
			gateway.awaitMetrics(t, "app.clients.head:1|g")
			gateway.stop()
			// The rest of the head arrives after the listener has closed.
			for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
				dialed, err := net.Dial("tcp", gateway.address)
				if err != nil {
					break
				}
				if dialed.Close(); time.Now().After(end) {
					t.Fatal("the listener never closed")
				}
			}
			io.WriteString(conn, rest)
			serveOne(t, backend, "booked\n")
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			if body, err := io.ReadAll(resp.Body); resp.StatusCode != 200 || string(body) != "booked\n" || err != nil {
				t.Errorf("%d %q %v", resp.StatusCode, body, err)
			}
			if err := wait(t, gateway.ended, "end"); err != nil {
				t.Error(err)
			}
		})
	}
}

// A request that arrives on an idle connection during a stop is either answered or not read at
// all.
func TestStopOnIdleConnection(t *testing.T) {
	listener := newClientListener(newPipeListener(), 8)
	usedServer, usedClient := net.Pipe()
	defer usedClient.Close()
	used := listener.admit(usedServer)
	go io.WriteString(usedClient, requestText("GET", "lookup", ""))
	used.Read(make([]byte, 4096))
	listener.connState(used, http.StateActive)
	listener.connState(used, http.StateIdle)
	unusedServer, unusedClient := net.Pipe()
	defer unusedClient.Close()
	unused := listener.admit(unusedServer)
	listener.setPhase(phaseClosingIdle)
	if n, err := used.Read(make([]byte, 1)); n != 0 || err == nil {
		t.Error("a byte was read on a connection that was idle at the stop")
	}
	used.Close() // as the server does
	go io.WriteString(unusedClient, requestText("GET", "lookup", ""))
	if n, err := unused.Read(make([]byte, 4096)); n == 0 || err != nil {
		t.Fatalf("a new connection at the stop: %d, %v", n, err)
	}
	listener.setPhase(phaseClosingNew)
	if n := listener.counts(); n.Open != 1 || n.ByState[connlimit.Head] != 1 {
		t.Errorf("the connection whose request has begun: %+v", n)
	}
	listener.connState(unused, http.StateActive)
	listener.connState(unused, http.StateIdle) // its response did not announce the close
	if n, err := unused.Read(make([]byte, 1)); n != 0 || err == nil {
		t.Error("a byte was read on a connection that became idle after the stop")
	}
	unused.Close()
	if n := listener.counts(); n.Open != 0 || len(listener.conns) != 0 || listener.closeCounts[closedShutdown].Load() != 2 {
		t.Errorf("after its response: %+v, %d closed for the stop", n, listener.closeCounts[closedShutdown].Load())
	}
	listener.Close()
	lateServer, lateClient := net.Pipe()
	defer lateClient.Close()
	go io.Copy(io.Discard, lateClient)
	if listener.admit(lateServer) != nil {
		t.Error("a connection that was accepted just before the listener closed was kept")
	}
}

// hookedConn calls afterRead once, after a read has received bytes and before it returns them.
type hookedConn struct {
	net.Conn
	afterRead func()
}

func (c *hookedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.afterRead != nil {
		c.afterRead()
		c.afterRead = nil
	}
	return n, err
}

// A request whose first bytes are read while its connection is evicted gets a 503, since a bare
// close would not tell its client that it did not run.
func TestEvictionDuringRead(t *testing.T) {
	t.Parallel()
	for name, evict := range map[string]func(listener *clientListener){
		"at the stop":      func(listener *clientListener) { listener.setPhase(phaseClosingNew) },
		"for a new limit":  func(listener *clientListener) { listener.setLimit(0) },
		"for a new client": func(listener *clientListener) { listener.admit(new(net.TCPConn)) },
	} {
		for _, served := range []bool{false, true} {
			listener := newClientListener(newPipeListener(), 1)
			server, client := net.Pipe()
			conn := &hookedConn{Conn: server}
			tracked := listener.admit(conn)
			response := make(chan string, 1)
			go func() {
				if served {
					io.WriteString(client, requestText("GET", "lookup", ""))
				}
				io.WriteString(client, requestText("GET", "lookup", ""))
				client.SetDeadline(time.Now().Add(testTimeout))
				got, _ := io.ReadAll(client)
				response <- string(got)
			}()
			if served {
				tracked.Read(make([]byte, 4096))
				listener.connState(tracked, http.StateActive)
				listener.connState(tracked, http.StateIdle)
			} else {
				listener.startedAt = listener.startedAt.Add(-connlimit.NewGrace) // it may be evicted for another
			}
			conn.afterRead = func() { evict(listener) }
			if n, err := tracked.Read(make([]byte, 4096)); n != 0 || err == nil {
				t.Errorf("%s, served %t: %d bytes were passed on, %v", name, served, n, err)
			}
			tracked.Close()
			if got := wait(t, response, "end"); got != unavailableResponse {
				t.Errorf("%s, served %t: a request that was read got %q", name, served, got)
			}
			client.Close()
		}
	}
}

// Requests that were pipelined before a stop are all answered, and the last response announces
// the close.
func TestStopAnswersPipelinedRequests(t *testing.T) {
	t.Parallel()
	backend := newTestServer(t)
	gateway := newTestGateway(t, backend)
	conn := gateway.send(t, requestText("POST", "booking", "first")+requestText("POST", "booking", "second", idempotencyHeader, "k2")+requestText("GET", "lookup", ""))
	upstream, reader := backend.accept(t)
	readRequest(t, reader)
	gateway.awaitMetrics(t, "app.clients.busy:1|g")
	gateway.stop()
	gateway.awaitReadiness(t, http.StatusServiceUnavailable)
	clientReader := bufio.NewReader(conn)
	for i := range 3 {
		if i > 0 {
			upstream, reader = backend.accept(t)
			readRequest(t, reader)
		}
		io.WriteString(upstream, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		resp, err := http.ReadResponse(clientReader, nil)
		if err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		if resp.StatusCode != http.StatusOK || resp.Close != (i == 2) {
			t.Errorf("request %d: status %d, closes %t", i, resp.StatusCode, resp.Close)
		}
	}
}

// A request whose head becomes complete while its connection is evicted does not reach the loop,
// and its client gets a 503.
func TestEvictionDuringRequestHead(t *testing.T) {
	frontend, pipes := newPipedFrontend(t)
	client, server := net.Pipe()
	defer client.Close()
	frontend.clients.onState = func(conn *clientConn, state http.ConnState) {
		if state == http.StateActive {
			frontend.clients.mu.Lock()
			defer frontend.clients.mu.Unlock()
			frontend.clients.evict(conn.entry, closedNew)
		}
	}
	pipes.conns <- server
	io.WriteString(client, requestText("GET", "lookup", ""))
	client.SetReadDeadline(time.Now().Add(testTimeout))
	if got, err := io.ReadAll(client); string(got) != unavailableResponse || err != nil {
		t.Errorf("%q, %v", got, err)
	}
	select {
	case message := <-frontend.loop.inbox:
		t.Errorf("the loop received %T", message)
	default:
	}
}

// Bytes that a client sends after its request must not cause a reset before it has received the
// response.
func TestCloseWithUnreadBytesKeepsResponse(t *testing.T) {
	t.Parallel()
	backend := newTestServer(t)
	gateway := newTestGateway(t, backend)
	dialer := net.Dialer{}
	conn, err := dialer.Dial("tcp", gateway.address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTimeout))
	conn.(*net.TCPConn).SetReadBuffer(4 << 10) // most of the response stays in the gateway's send buffer
	io.WriteString(conn, requestText("POST", "booking", "pickup", "Connection", "close")+strings.Repeat("x", 32<<10))
	want := bytes.Repeat([]byte("answer"), 10<<10)
	serveOne(t, backend, string(want))
	gateway.awaitMetrics(t, "app.handled.booking.passed:1|c", "app.clients.busy:0|g")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(resp.Body); err != nil || !bytes.Equal(got, want) {
		t.Errorf("%d of %d bytes: %v", len(got), len(want), err)
	}
	conn.Close()
	gateway.awaitMetrics(t, "app.clients.idle:0|g")
}

// A retry whose connection is established after its key window has ended is not written, since
// the backend might run it twice.
func TestRetryIsNotSentAfterKeyWindow(t *testing.T) {
	for name, length := range map[string]int{"a short request": 6, "a long request": 1 << 20} {
		backend := newTestServer(t)
		pools := newTestPools(t, backend.address())
		attempt := newAttempt(testTimeout)
		attempt.exchange.body = make([]byte, length)
		dial, dialed := pools.dial, make(chan struct{})
		pools.dial = func(ctx context.Context, pool *backendPool, within time.Duration) (*backendConn, error) {
			conn, err := dial(ctx, pool, within)
			<-dialed
			return conn, err
		}
		done := startAttempt(pools, attempt)
		conn, reader := backend.accept(t)
		attempt.writeBefore = time.Now() // the window ends during the dial
		close(dialed)
		if got := wait(t, done, "result"); got.outcome != rules.ConnectFailed {
			t.Errorf("%s: outcome %d, want rules.ConnectFailed", name, got.outcome)
		}
		if n, err := reader.Read(make([]byte, 1)); n != 0 || err != io.EOF {
			t.Errorf("%s: written after the window: %d, %v", name, n, err)
		}
		conn.Close()
	}
}

// If a client leaves during a dial, nothing is written once the connection is established, even
// if the settings allow no cancellation.
func TestClientLeavesDuringDial(t *testing.T) {
	for _, cancel := range []string{"true", "false"} {
		backend := newTestServer(t)
		settings := strings.Replace(testSettings, `"cancel": true`, `"cancel": `+cancel, 1)
		config, err := parseConfig([]byte(configText("127.0.0.1:1", settings)))
		if err != nil {
			t.Fatal(err)
		}
		metrics := newMetrics(&config)
		service := metrics.newService(config.Deployment, 0)
		pools := newPools(testTimeout, time.Minute, 8, metrics)
		dials, dialed := make(chan struct{}, 1), make(chan struct{})
		dial := pools.dial
		pools.dial = func(_ context.Context, pool *backendPool, within time.Duration) (*backendConn, error) {
			dials <- struct{}{}
			<-dialed
			return dial(context.Background(), pool, within) // succeeds although the attempt was cancelled
		}
		loop := newLoop(&config, service, metrics, pools, nil, func() {})
		loop.applyList(newListing(true, "Ready", backend), rules.FullList)
		exchange := &exchange{service: service, class: &service.Classes[0], counts: service.counts[0], plan: service.PlanNames[0], method: "GET", uri: "/lookup",
			host: "origin.svc", header: http.Header{idHeader: {"id-1"}}, responses: make(chan response, 2),
			request: rules.Request{Customer: 7, Units: 1, GatewayCount: 2, FirstGateway: 1, Sent: loop.clock.now(), Deadline: loop.clock.now() + 15}}
		loop.dispatch(requestArrived{exchange})
		wait(t, dials, "dial")
		loop.dispatch(clientGone{exchange})
		close(dialed)
		loop.attempts.Wait()
		for len(loop.inbox) > 0 {
			loop.dispatch(<-loop.inbox)
		}
		conn, reader := backend.accept(t)
		if n, err := reader.Read(make([]byte, 1)); n != 0 || err != io.EOF {
			t.Errorf("cancel %s: written for a client that has left: %d, %v", cancel, n, err)
		}
		conn.Close()
		if len(loop.live) > 0 || exchange.inFlight > 0 {
			t.Errorf("cancel %s: %d requests remain", cancel, len(loop.live))
		}
		pools.remove(backendID(backend.address()))
	}
}

// Surplus bytes that a backend sends shortly after a response are not taken for the response to
// the next request.
func TestSurplusResponseIsDiscarded(t *testing.T) {
	backend := newTestServer(t)
	pools := newTestPools(t, backend.address())
	pools.settle = testTimeout // shortened below
	done := startAttempt(pools, newAttempt(testTimeout))
	conn, reader := backend.accept(t)
	readRequest(t, reader)
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst")
	wait(t, done, "result")
	done = startAttempt(pools, newAttempt(testTimeout)) // at once after the first
	next, nextReader := backend.accept(t)
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")
	readRequest(t, nextReader)
	io.WriteString(next, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnext")
	if got := wait(t, done, "result"); got.outcome != rules.Served || string(got.response.body) != "next" {
		t.Errorf("outcome %d, %q", got.outcome, got.response.body)
	}
	// Once the surplus has arrived, the connection is not used any more.
	idle := pools.byBackend[1].idle[0]
	for end := time.Now().Add(testTimeout); alive(idle.Conn) && time.Now().Before(end); {
		time.Sleep(time.Millisecond) // until the kernel has delivered it
	}
	pools.settle = 0
	done = startAttempt(pools, newAttempt(testTimeout))
	readRequest(t, nextReader)
	io.WriteString(next, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlast")
	if got := wait(t, done, "result"); got.outcome != rules.Served || string(got.response.body) != "last" {
		t.Errorf("outcome %d, %q", got.outcome, got.response.body)
	}
}

// Nothing is written to a connection whose pool was retired during the dial.
func TestPoolRetiredDuringDial(t *testing.T) {
	for name, change := range map[string]func(pools *pools, address string){
		"drains":        func(pools *pools, _ string) { pools.remove(1) },
		"is overridden": func(pools *pools, _ string) { pools.renew(1) },
		"restarts":      func(pools *pools, address string) { pools.update(1, address, 5) },
		"moves":         func(pools *pools, _ string) { pools.update(1, "127.0.0.1:1", 0) },
		"is removed by sweep": func(pools *pools, _ string) {
			ctx, end := context.WithCancel(context.Background())
			end()
			pools.sweep(ctx)
		},
	} {
		backend := newTestServer(t)
		pools := newTestPools(t, backend.address())
		dial, dialed := pools.dial, make(chan struct{})
		pools.dial = func(ctx context.Context, pool *backendPool, within time.Duration) (*backendConn, error) {
			conn, err := dial(ctx, pool, within)
			<-dialed
			return conn, err
		}
		done := startAttempt(pools, newAttempt(testTimeout))
		conn, reader := backend.accept(t)
		change(pools, backend.address())
		close(dialed)
		if got := wait(t, done, "result"); got.outcome != rules.ConnectFailed {
			t.Errorf("%s: outcome %d", name, got.outcome)
		}
		if n, err := reader.Read(make([]byte, 1)); n != 0 || err != io.EOF {
			t.Errorf("%s: written: %d, %v", name, n, err)
		}
		conn.Close()
	}
}

// If a client leaves after it has pipelined further requests, the attempt in flight ends and no
// further one starts.
func TestClientLeavesAfterNextRequest(t *testing.T) {
	t.Parallel()
	for name, text := range map[string]string{"a part": "G", "one request": requestText("GET", "lookup", ""),
		"many requests": strings.Repeat(requestText("GET", "lookup", ""), 30), "a flood": strings.Repeat(requestText("GET", "lookup", ""), 40000)} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			backend := newTestServer(t)
			gateway := newTestGateway(t, backend)
			conn, _ := gateway.request(t, requestText("POST", "booking", "x"))
			upstream, reader := backend.accept(t)
			readRequest(t, reader)
			gateway.awaitMetrics(t, "app.clients.busy:1|g")
			io.WriteString(conn, text[:1]) // net/http takes this byte as the start of the next request
			gateway.awaitMetrics(t, "app.in_progress:1|g")
			conn.SetWriteDeadline(time.Now().Add(500 * time.Millisecond)) // the gateway stops reading a flood
			io.WriteString(conn, text[1:])
			if name == "a flood" {
				io.WriteString(upstream, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				conn.Close()
			} else {
				conn.Close()
				if _, err := reader.ReadByte(); err != io.EOF {
					t.Errorf("the attempt's connection: %v", err)
				}
			}
			gateway.awaitMetrics(t, "app.clients.busy:0|g", "app.in_progress:0|g", "app.upstream_tries:1|c")
		})
	}
}

// A response without a length that ends in a reset is incomplete. If it is still held, the
// request is retried where its class permits; if it is being streamed, the client sees an error.
func TestResponseWithoutLengthIsReset(t *testing.T) {
	t.Parallel()
	for name, text := range map[string]string{"held": "abc", "streamed": strings.Repeat("x", 2*maxHeldBody)} {
		for _, class := range []string{"lookup", "payment"} {
			backend := newTestServer(t)
			gateway := newTestGateway(t, backend)
			method := map[string]string{"lookup": "GET", "payment": "POST"}[class]
			_, answer := gateway.sendAndRead(t, requestText(method, class, "", idempotencyHeader, ""))
			upstream, reader := backend.accept(t)
			readRequest(t, reader)
			io.WriteString(upstream, "HTTP/1.1 200 OK\r\n\r\n"+text)
			var resp *http.Response
			if name == "streamed" {
				resp = answer()
				if _, err := io.ReadFull(resp.Body, make([]byte, maxHeldBody)); err != nil {
					t.Fatal(err)
				}
			}
			upstream.(*net.TCPConn).SetLinger(0)
			upstream.Close()
			switch {
			case name == "streamed":
				if rest, err := io.ReadAll(resp.Body); err == nil {
					t.Errorf("%s: the response ended without an error after %d more bytes", class, len(rest))
				}
			case class == "lookup":
				serveOne(t, backend, "whole")
				if body, err := io.ReadAll(answer().Body); string(body) != "whole" || err != nil {
					t.Errorf("retried: %q, %v", body, err)
				}
			default:
				if resp := answer(); resp.StatusCode != 502 {
					t.Errorf("an unsafe request: status %d", resp.StatusCode)
				}
				gateway.awaitMetrics(t, "app.upstream_tries:1|c")
			}
		}
	}
}

// Guards against pipelined requests that are read and get no answer, however many bytes they have.
func TestAllPipelinedRequestsAreAnswered(t *testing.T) {
	t.Parallel()
	for _, count := range []int{1, 40, 80, 100, 1000} {
		backend := newTestServer(t)
		gateway := newTestGateway(t, backend)
		text := requestText("GET", "lookup", "")
		conn := gateway.send(t, text)
		upstream, reader := backend.accept(t)
		readRequest(t, reader)
		go io.WriteString(conn, strings.Repeat(text, count))
		if count*len(text) > maxReadAhead {
			time.Sleep(200 * time.Millisecond) // the read-ahead has all of them
		}
		io.WriteString(upstream, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		go func() {
			for {
				if _, err := http.ReadRequest(reader); err != nil {
					return
				}
				io.WriteString(upstream, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			}
		}()
		go func() {
			for other := range backend.conns {
				go func() {
					for reader := bufio.NewReader(other); ; {
						if _, err := http.ReadRequest(reader); err != nil {
							return
						}
						io.WriteString(other, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
					}
				}()
			}
		}()
		answered, responses := 0, bufio.NewReader(conn)
		for answered <= count {
			resp, err := http.ReadResponse(responses, nil)
			if err != nil {
				break
			}
			io.Copy(io.Discard, resp.Body)
			if answered++; resp.StatusCode != 200 && resp.StatusCode != 503 {
				t.Errorf("status %d", resp.StatusCode)
			}
		}
		if answered != count+1 {
			t.Errorf("%d of %d requests were answered", answered, count+1)
		}
	}
}
