package gateway

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"dunlintray/rules"
)

type reply struct {
	amount  float64
	outcome rules.Outcome
	total   float64
}

// startCounter runs a counter until the test ends. It returns a function that queues a call and
// the channel of the results.
func startCounter(t *testing.T, address string, timeout time.Duration) (counter *counter, add func(amount float64) *counterCall, replies chan reply) {
	counter = newCounter(address, timeout)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { counter.run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	replies = make(chan reply, 64)
	return counter, func(amount float64) *counterCall {
		call := &counterCall{name: 7, amount: amount, ttl: time.Minute}
		call.report = func(call *counterCall, outcome rules.Outcome, total float64) {
			replies <- reply{call.amount, outcome, total}
		}
		if !counter.add(call) {
			t.Fatal("the lane is full")
		}
		return call
	}, replies
}

// writeTotal writes a reply of the counter.
func writeTotal(conn net.Conn, status int, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// Calls are pipelined, and each gets the reply to itself or, after the connection has ended, an
// outcome that tells whether it may have been added.
func TestCounterPipeline(t *testing.T) {
	server := newTestServer(t)
	_, add, replies := startCounter(t, server.address(), testTimeout)
	abandoned := add(1)
	add(-2.5)
	add(3)
	add(4)
	conn, reader := server.accept(t)
	for i, want := range []string{"1", "-2.5", "3", "4"} {
		req, _ := readRequest(t, reader) // all before the first reply
		if uri := "/v1/count/0000000000000007?add=" + want + "&ttl_ms=60000"; req.RequestURI != uri {
			t.Errorf("call %d: %s, want %s", i, req.RequestURI, uri)
		}
	}
	// The loop has abandoned the first call. It keeps its place, so that each later call still
	// gets its own total.
	abandoned.abandoned.Store(true)
	writeTotal(conn, 200, "1")
	writeTotal(conn, 200, "-1.5\n")
	writeTotal(conn, 503, "")
	writeTotal(conn, 404, "")
	for _, want := range []reply{{1, rules.Served, 1}, {-2.5, rules.Served, -1.5}, {3, rules.Full, 0}, {4, rules.ConnectFailed, 0}} {
		if got := wait(t, replies, "reply"); got != want {
			t.Errorf("reply %v, want %v", got, want)
		}
	}
	// A call whose reply is cut off may have been added.
	add(5)
	readRequest(t, reader)
	conn.Close()
	if got := wait(t, replies, "reply"); got.outcome != rules.Broken {
		t.Errorf("reply after a break: %v", got)
	}
	// The next call uses a new connection.
	add(6)
	conn, reader = server.accept(t)
	readRequest(t, reader)
	// A call whose reply has no number was added; later calls may have been added.
	add(7)
	readRequest(t, reader)
	writeTotal(conn, 200, "1e")
	for _, want := range []reply{{6, rules.Errored, 0}, {7, rules.Broken, 0}} {
		if got := wait(t, replies, "reply"); got != want {
			t.Errorf("reply %v, want %v", got, want)
		}
	}
	for _, text := range []string{"NaN", "inf"} {
		add(8)
		conn, reader = server.accept(t)
		readRequest(t, reader)
		writeTotal(conn, 200, text)
		if got := wait(t, replies, "reply"); got.outcome != rules.Errored {
			t.Errorf("reply to total %q: %v", text, got)
		}
	}
}

// A call with an incomplete reply was added, and does not delay later calls for longer than the
// timeout of a call.
func TestCounterReplyCutShort(t *testing.T) {
	for _, text := range []string{"HTTP/1.1 2", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n1", "\x00\x01garbage"} {
		server := newTestServer(t)
		_, add, replies := startCounter(t, server.address(), 250*time.Millisecond)
		add(1)
		conn, reader := server.accept(t)
		readRequest(t, reader)
		conn.Write([]byte(text))
		if got := wait(t, replies, "reply"); got.outcome != rules.Errored {
			t.Errorf("%q: %v", text, got)
		}
		add(2)
		conn, reader = server.accept(t)
		readRequest(t, reader)
		writeTotal(conn, 200, "3")
		if got := wait(t, replies, "reply"); got != (reply{2, rules.Served, 3}) {
			t.Errorf("the next call after %q: %v", text, got)
		}
	}
}

// If the counter can't be reached, the outcome proves that nothing was added.
func TestCounterUnreachable(t *testing.T) {
	server := newTestServer(t)
	server.listener.Close()
	_, add, replies := startCounter(t, server.address(), testTimeout)
	add(1)
	if got := wait(t, replies, "reply"); got.outcome != rules.ConnectFailed {
		t.Errorf("reply %v", got)
	}
}

// A call that was abandoned before it was written is not written later.
func TestAbandonedCallIsNotWritten(t *testing.T) {
	server := newTestServer(t)
	counter := newCounter(server.address(), testTimeout)
	reported := make(chan rules.Outcome, 2)
	report := func(_ *counterCall, outcome rules.Outcome, _ float64) { reported <- outcome }
	abandoned := &counterCall{name: 1, amount: 1, ttl: time.Minute, report: report}
	abandoned.abandoned.Store(true)
	next := &counterCall{name: 1, amount: 2, ttl: time.Minute, report: report}
	counter.add(abandoned)
	counter.add(next)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go counter.run(ctx)
	_, reader := server.accept(t)
	if req, _ := readRequest(t, reader); req.URL.Query().Get("add") != "2" {
		t.Errorf("written: %s", req.RequestURI)
	}
	if got := wait(t, reported, "report"); got != rules.TimedOut {
		t.Errorf("outcome %d", got)
	}
}

// A connection that the counter may have closed is not used, since the result of a call on it
// would be unknown.
func TestClosedIdleCounterConnectionIsNotUsed(t *testing.T) {
	server := newTestServer(t)
	counter := newCounter(server.address(), testTimeout)
	conn, err := counter.dial(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	serverConn, _ := server.accept(t)
	conn.SetDeadline(time.Now().Add(-time.Second)) // left from an earlier call
	if !conn.usable(time.Now()) {
		t.Error("an open connection is not usable")
	}
	if conn.usable(time.Now().Add(-counterIdleLimit - time.Second)) {
		t.Error("usable after the idle limit")
	}
	serverConn.Close()
	until := time.Now().Add(testTimeout)
	for alive(conn.Conn) && time.Now().Before(until) {
		time.Sleep(time.Millisecond) // until the kernel has delivered the end of the connection
	}
	if conn.usable(time.Now()) {
		t.Error("usable after the counter closed it")
	}
}

// After a change of address, later calls go to the new one, and outstanding calls still get their
// replies first, so that the replies for one name arrive in the order of the calls.
func TestCounterAddressChange(t *testing.T) {
	old, next := newTestServer(t), newTestServer(t)
	counter, add, replies := startCounter(t, old.address(), testTimeout)
	add(1)
	conn, reader := old.accept(t)
	readRequest(t, reader)
	counter.setEndpoint(next.address(), time.Second)
	add(2)
	writeTotal(conn, 200, "1")
	conn, reader = next.accept(t)
	readRequest(t, reader)
	writeTotal(conn, 200, "3")
	for _, want := range []reply{{1, rules.Served, 1}, {2, rules.Served, 3}} {
		if got := wait(t, replies, "reply"); got != want {
			t.Errorf("reply %v, want %v", got, want)
		}
	}
}
