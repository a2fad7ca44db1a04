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

// Two events that cross, with the moment forced. The table of them is in
// docs/design.md.

// half splits a request in the middle of its head.
func splitHead(text string) (first, rest string) {
	at := strings.Index(text, "Host:")
	return text[:at], text[at:]
}

// A head that is half read when the stop comes is a request that was taken: on a
// connection that has served before, net/http takes it for idle still.
func TestStopCrossesHead(t *testing.T) {
	t.Parallel()
	for name, served := range map[string]bool{"on a new connection": false, "on one that has served": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			backend := newPeer(t)
			r := newTestGateway(t, backend)
			first, rest := splitHead(requestText("POST", "booking", "pickup"))
			conn := r.send(t, "")
			from := bufio.NewReader(conn)
			if served {
				io.WriteString(conn, requestText("GET", "lookup", "", idHeader, ""))
				if resp, err := http.ReadResponse(from, nil); err != nil {
					t.Fatal(err)
				} else {
					io.Copy(io.Discard, resp.Body)
				}
				r.tells(t, "app.clients.idle:1|g")
			}
			io.WriteString(conn, first)
			r.tells(t, "app.clients.head:1|g")
			r.stop()
			// Until the listener has closed, as the rest of a slow head may.
			for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
				c, err := net.Dial("tcp", r.address)
				if err != nil {
					break
				}
				if c.Close(); time.Now().After(end) {
					t.Fatal("the listener never closed")
				}
			}
			io.WriteString(conn, rest)
			serveOne(t, backend, "booked\n")
			resp, err := http.ReadResponse(from, nil)
			if err != nil {
				t.Fatal(err)
			}
			if body, err := io.ReadAll(resp.Body); resp.StatusCode != 200 || string(body) != "booked\n" || err != nil {
				t.Errorf("%d %q %v", resp.StatusCode, body, err)
			}
			if err := wait(t, r.ended, "end"); err != nil {
				t.Error(err)
			}
		})
	}
}

// A request on a resting connection in the moment of the stop is either answered or
// not taken at all: then nothing of it goes on.
func TestStopCrossesRestingConnection(t *testing.T) {
	l := newClientListener(newPipes(), 8)
	near, far := net.Pipe()
	defer far.Close()
	c := l.admit(near)
	go io.WriteString(far, requestText("GET", "lookup", ""))
	c.Read(make([]byte, 4096))
	l.connState(c, http.StateActive)
	l.connState(c, http.StateIdle)
	fresh, other := net.Pipe()
	defer other.Close()
	f := l.admit(fresh)
	l.setPhase(phaseClosingIdle)
	if n, err := c.Read(make([]byte, 1)); n != 0 || err == nil {
		t.Error("a byte was read on a connection that rested at the stop")
	}
	c.Close() // as the server does then
	go io.WriteString(other, requestText("GET", "lookup", ""))
	if n, err := f.Read(make([]byte, 4096)); n == 0 || err != nil {
		t.Fatalf("a new connection at the stop: %d, %v", n, err)
	}
	l.setPhase(phaseClosingNew)
	if n := l.counts(); n.Open != 1 || n.ByState[connlimit.Head] != 1 {
		t.Errorf("the one whose request has begun: %+v", n)
	}
	l.connState(f, http.StateActive)
	l.connState(f, http.StateIdle) // its answer named no end, as it began before the stop
	if n, err := f.Read(make([]byte, 1)); n != 0 || err == nil {
		t.Error("a byte was read on a connection that came to rest behind the stop")
	}
	f.Close()
	if n := l.counts(); n.Open != 0 || len(l.conns) != 0 || l.closeCounts[closedShutdown].Load() != 2 {
		t.Errorf("behind its answer: %+v, %d at the stop", n, l.closeCounts[closedShutdown].Load())
	}
	l.Close()
	late, end := net.Pipe()
	defer end.Close()
	go io.Copy(io.Discard, end)
	if l.admit(late) != nil {
		t.Error("one that was accepted before the listener closed was kept")
	}
}

// crossingConn calls a function between a read from its peer and the return of what was read.
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

// What users saw: a request on a connection that the gateway closed in that moment got
// neither an answer nor the reset by which clients know that it was not read.
//
// Order of events: the server's read returns the first bytes of a request; the connection is
// given up, for the stop or for another; the bytes are dropped and the socket is closed.
//
// Cause: the look at whether a connection rests and its close were one step, but not with the
// read before it. Evidence: forced here for each way to give up a connection.
func TestReadCrossesGivingUp(t *testing.T) {
	t.Parallel()
	for name, giveUp := range map[string]func(l *clientListener){
		"at the stop":      func(l *clientListener) { l.setPhase(phaseClosingNew) },
		"for a new limit":  func(l *clientListener) { l.setLimit(0) },
		"for a new client": func(l *clientListener) { l.admit(new(net.TCPConn)) },
	} {
		for _, served := range []bool{false, true} {
			l := newClientListener(newPipes(), 1)
			near, far := net.Pipe()
			conn := &hookedConn{Conn: near}
			c := l.admit(conn)
			answer := make(chan string, 1)
			go func() {
				if served {
					io.WriteString(far, requestText("GET", "lookup", ""))
				}
				io.WriteString(far, requestText("GET", "lookup", ""))
				far.SetDeadline(time.Now().Add(testTimeout))
				got, _ := io.ReadAll(far)
				answer <- string(got)
			}()
			if served {
				c.Read(make([]byte, 4096))
				l.connState(c, http.StateActive)
				l.connState(c, http.StateIdle)
			} else {
				l.startedAt = l.startedAt.Add(-connlimit.NewGrace) // it may be given up for another
			}
			conn.afterRead = func() { giveUp(l) }
			if n, err := c.Read(make([]byte, 4096)); n != 0 || err == nil {
				t.Errorf("%s, served %t: %d bytes go on, %v", name, served, n, err)
			}
			c.Close()
			if got := wait(t, answer, "end"); got != unavailableResponse {
				t.Errorf("%s, served %t: a request that was read got %q", name, served, got)
			}
			far.Close()
		}
	}
}

// What was read behind the request under way when the stop came is answered too: the close
// comes behind the last.
func TestStopAnswersPipelinedRequests(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	r := newTestGateway(t, backend)
	conn := r.send(t, requestText("POST", "booking", "first")+requestText("POST", "booking", "second", idempotencyHeader, "k2")+requestText("GET", "lookup", ""))
	to, br := backend.accept(t)
	readRequest(t, br)
	r.tells(t, "app.clients.busy:1|g")
	r.stop()
	r.awaitReadiness(t, http.StatusServiceUnavailable)
	from := bufio.NewReader(conn)
	for n := range 3 {
		if n > 0 {
			to, br = backend.accept(t)
			readRequest(t, br)
		}
		io.WriteString(to, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		resp, err := http.ReadResponse(from, nil)
		if err != nil {
			t.Fatalf("request %d: %v", n, err)
		}
		if resp.StatusCode != http.StatusOK || resp.Close != (n == 2) {
			t.Errorf("request %d: status %d, closes %t", n, resp.StatusCode, resp.Close)
		}
	}
}

// A head that took too long may be whole in the moment in which its connection is
// given up for another. Its request must not run for nobody, and as it has been read, its
// client is told so.
func TestGivenUpCrossesHead(t *testing.T) {
	f, p := newPipedFrontend(t)
	client, server := net.Pipe()
	defer client.Close()
	f.clients.onState = func(c *clientConn, s http.ConnState) {
		if s == http.StateActive {
			f.clients.mu.Lock()
			defer f.clients.mu.Unlock()
			f.clients.evict(c.entry, closedNew)
		}
	}
	p.conns <- server
	io.WriteString(client, requestText("GET", "lookup", ""))
	client.SetReadDeadline(time.Now().Add(testTimeout))
	if got, err := io.ReadAll(client); string(got) != unavailableResponse || err != nil {
		t.Errorf("%q, %v", got, err)
	}
	select {
	case m := <-f.loop.inbox:
		t.Errorf("the loop was given %T", m)
	default:
	}
}

// What a client sends behind its request must not reset the connection under the
// answer to it, which may still be on its way.
func TestCloseOverUnreadBytes(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	r := newTestGateway(t, backend)
	dialer := net.Dialer{}
	conn, err := dialer.Dial("tcp", r.address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTimeout))
	conn.(*net.TCPConn).SetReadBuffer(4 << 10) // most of the answer waits at the gateway
	io.WriteString(conn, requestText("POST", "booking", "pickup", "Connection", "close")+strings.Repeat("x", 32<<10))
	want := bytes.Repeat([]byte("answer"), 10<<10)
	serveOne(t, backend, string(want))
	r.tells(t, "app.handled.booking.passed:1|c", "app.clients.busy:0|g")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(resp.Body); err != nil || !bytes.Equal(got, want) {
		t.Errorf("%d of %d bytes: %v", len(got), len(want), err)
	}
	conn.Close()
	r.tells(t, "app.clients.idle:0|g")
}

// A repeat whose connection comes up late, when the backends have forgotten its key,
// must not be written any more: it would run twice.
func TestRepeatCrossesItsWindow(t *testing.T) {
	for name, length := range map[string]int{"a short request": 6, "a long one": 1 << 20} {
		backend := newPeer(t)
		p := newTestPools(t, backend.address())
		a := newAttempt(testTimeout)
		a.exchange.body = make([]byte, length)
		real, up := p.dial, make(chan struct{})
		p.dial = func(ctx context.Context, to *target, within time.Duration) (*backendConn, error) {
			c, err := real(ctx, to, within)
			<-up
			return c, err
		}
		done := startAttempt(p, a)
		conn, r := backend.accept(t)
		a.writeBefore = time.Now() // the window ends while the connection comes up
		close(up)
		if got := wait(t, done, "result"); got.outcome != rules.ConnectFailed {
			t.Errorf("%s: outcome %d, which says that it may have run", name, got.outcome)
		}
		if n, err := r.Read(make([]byte, 1)); n != 0 || err != io.EOF {
			t.Errorf("%s: written after its window: %d, %v", name, n, err)
		}
		conn.Close()
	}
}

// A client that goes while a connection comes up has gone, also where the settings
// allow no cancel: nothing is written once it is up.
func TestClientLeavesDuringDial(t *testing.T) {
	for _, cancel := range []string{"true", "false"} {
		backend := newPeer(t)
		settings := strings.Replace(testSettings, `"cancel": true`, `"cancel": `+cancel, 1)
		c, err := parseConfig([]byte(configText("127.0.0.1:1", settings)))
		if err != nil {
			t.Fatal(err)
		}
		f := newMetrics(&c)
		s := f.newService(c.Deployment, 0)
		p := newPools(testTimeout, time.Minute, 8, f)
		dials, up := make(chan struct{}, 1), make(chan struct{})
		real := p.dial
		p.dial = func(_ context.Context, to *target, within time.Duration) (*backendConn, error) {
			dials <- struct{}{}
			<-up
			return real(context.Background(), to, within) // it comes up in the moment of the end
		}
		l := newLoop(&c, s, f, p, nil, func() {})
		l.applyList(newListing(true, "Ready", backend), rules.FullList)
		x := &exchange{service: s, class: &s.Classes[0], counts: s.counts[0], plan: s.PlanNames[0], method: "GET", uri: "/lookup",
			host: "origin.svc", header: http.Header{idHeader: {"id-1"}}, reply: make(chan response, 2),
			request: rules.Request{Customer: 7, Units: 1, GatewayCount: 2, FirstGateway: 1, Sent: l.clock.now(), Deadline: l.clock.now() + 15}}
		l.dispatch(requestArrived{x})
		wait(t, dials, "dial")
		l.dispatch(clientGone{x})
		close(up)
		l.attempts.Wait()
		for len(l.inbox) > 0 {
			l.dispatch(<-l.inbox)
		}
		conn, r := backend.accept(t)
		if n, err := r.Read(make([]byte, 1)); n != 0 || err != io.EOF {
			t.Errorf("cancel %s: written for a client that has gone: %d, %v", cancel, n, err)
		}
		conn.Close()
		if len(l.live) > 0 || x.inFlight > 0 {
			t.Errorf("cancel %s: %d requests are left", cancel, len(l.live))
		}
		p.remove(backendID(backend.address()))
	}
}

// What a backend sends behind its answer, some milliseconds late, is no answer to the
// next request on that connection.
func TestLateSecondAnswer(t *testing.T) {
	backend := newPeer(t)
	p := newTestPools(t, backend.address())
	p.settle = testTimeout // until the test says otherwise
	done := startAttempt(p, newAttempt(testTimeout))
	conn, r := backend.accept(t)
	readRequest(t, r)
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst")
	wait(t, done, "result")
	done = startAttempt(p, newAttempt(testTimeout)) // in the moment in which the other has ended
	next, nr := backend.accept(t)
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")
	readRequest(t, nr)
	io.WriteString(next, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnext")
	if got := wait(t, done, "result"); got.outcome != rules.Served || string(got.answer.body) != "next" {
		t.Errorf("outcome %d, %q", got.outcome, got.answer.body)
	}
	// Once it has come, the connection is not used any more.
	idle := p.targets[1].idle[0]
	for end := time.Now().Add(testTimeout); alive(idle.Conn) && time.Now().Before(end); {
		time.Sleep(time.Millisecond) // on its way through the kernel
	}
	p.settle = 0
	done = startAttempt(p, newAttempt(testTimeout))
	readRequest(t, nr)
	io.WriteString(next, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlast")
	if got := wait(t, done, "result"); got.outcome != rules.Served || string(got.answer.body) != "last" {
		t.Errorf("outcome %d, %q", got.outcome, got.answer.body)
	}
}

// A connection that comes up in the moment in which its backend is told to drain, or
// has begun another life, gets nothing.
func TestDrainCrossesDial(t *testing.T) {
	for name, change := range map[string]func(p *pools, address string){
		"drains":         func(p *pools, _ string) { p.remove(1) },
		"is taken out":   func(p *pools, _ string) { p.renew(1) },
		"begins anew":    func(p *pools, address string) { p.update(1, address, 5) },
		"is moved":       func(p *pools, _ string) { p.update(1, "127.0.0.1:1", 0) },
		"goes at an end": func(p *pools, _ string) { ctx, end := context.WithCancel(context.Background()); end(); p.sweep(ctx) },
	} {
		backend := newPeer(t)
		p := newTestPools(t, backend.address())
		real, up := p.dial, make(chan struct{})
		p.dial = func(ctx context.Context, to *target, within time.Duration) (*backendConn, error) {
			c, err := real(ctx, to, within)
			<-up
			return c, err
		}
		done := startAttempt(p, newAttempt(testTimeout))
		conn, r := backend.accept(t)
		change(p, backend.address())
		close(up)
		if got := wait(t, done, "result"); got.outcome != rules.ConnectFailed {
			t.Errorf("%s: outcome %d", name, got.outcome)
		}
		if n, err := r.Read(make([]byte, 1)); n != 0 || err != io.EOF {
			t.Errorf("%s: written: %d, %v", name, n, err)
		}
		conn.Close()
	}
}

// A client that goes behind a next request has gone, and so has that request: the
// attempt that is out ends, and none begins.
func TestClientLeavesBehindNextRequest(t *testing.T) {
	t.Parallel()
	for name, text := range map[string]string{"a part": "G", "a whole one": requestText("GET", "lookup", ""),
		"a crowd": strings.Repeat(requestText("GET", "lookup", ""), 30), "a flood": strings.Repeat(requestText("GET", "lookup", ""), 40000)} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			backend := newPeer(t)
			r := newTestGateway(t, backend)
			conn, _ := r.request(t, requestText("POST", "booking", "x"))
			to, br := backend.accept(t)
			readRequest(t, br)
			r.tells(t, "app.clients.busy:1|g")
			io.WriteString(conn, text[:1]) // which net/http takes for the sign of a next request
			r.tells(t, "app.in_progress:1|g")
			conn.SetWriteDeadline(time.Now().Add(500 * time.Millisecond)) // no more is taken of a flood
			io.WriteString(conn, text[1:])
			if name == "a flood" {
				io.WriteString(to, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				conn.Close()
			} else {
				conn.Close()
				if _, err := br.ReadByte(); err != io.EOF {
					t.Errorf("the attempt's connection: %v", err)
				}
			}
			r.tells(t, "app.clients.busy:0|g", "app.in_progress:0|g", "app.upstream_tries:1|c")
		})
	}
}

// An answer without a length ends with its connection, and a reset is no end: held, it
// is made again where its class permits; let go, its client can tell.
func TestAnswerWithoutLengthIsReset(t *testing.T) {
	t.Parallel()
	for name, text := range map[string]string{"held": "abc", "let go": strings.Repeat("x", 2*maxHeldBody)} {
		for _, class := range []string{"lookup", "payment"} {
			backend := newPeer(t)
			r := newTestGateway(t, backend)
			method := map[string]string{"lookup": "GET", "payment": "POST"}[class]
			_, answer := r.get(t, requestText(method, class, "", idempotencyHeader, ""))
			to, br := backend.accept(t)
			readRequest(t, br)
			io.WriteString(to, "HTTP/1.1 200 OK\r\n\r\n"+text)
			var resp *http.Response
			if name == "let go" {
				resp = answer()
				if _, err := io.ReadFull(resp.Body, make([]byte, maxHeldBody)); err != nil {
					t.Fatal(err)
				}
			}
			to.(*net.TCPConn).SetLinger(0)
			to.Close()
			switch {
			case name == "let go":
				if rest, err := io.ReadAll(resp.Body); err == nil {
					t.Errorf("%s: %d more bytes passed for the whole", class, len(rest))
				}
			case class == "lookup":
				serveOne(t, backend, "whole")
				if body, err := io.ReadAll(answer().Body); string(body) != "whole" || err != nil {
					t.Errorf("made again: %q, %v", body, err)
				}
			default:
				if resp := answer(); resp.StatusCode != 502 {
					t.Errorf("one that may run once: status %d", resp.StatusCode)
				}
				r.tells(t, "app.upstream_tries:1|c")
			}
		}
	}
}
