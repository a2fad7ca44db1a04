package gateway

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"dunlintray/rules"
)

// Failures of the machine that pass: calls of the system that fail for a moment, and clocks
// that were stepped.

// failingListener fails a number of times before it accepts.
type failingListener struct {
	net.Listener
	failures []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.failures) > 0 {
		err := l.failures[0]
		l.failures = l.failures[1:]
		return nil, &net.OpError{Op: "accept", Err: err}
	}
	return l.Listener.Accept()
}

var acceptFailures = []error{syscall.ECONNABORTED, syscall.ENETUNREACH, syscall.EPROTO, syscall.EHOSTUNREACH, syscall.ETIMEDOUT,
	syscall.ENOBUFS, syscall.ENETDOWN, syscall.EPERM, syscall.EINTR, syscall.EAGAIN}

// What users saw: a gateway ended with all requests that it held.
//
// Order of events: accept fails once with an error of the connection that was to be accepted,
// of the network or of a filter, on the clients' socket or on the operators'.
//
// Cause: any error but a lack of descriptors ended accepting, and the process with it.
// Evidence: forced here, each error on each socket.
func TestAcceptGoesOn(t *testing.T) {
	t.Parallel()
	r := &testGateway{registry: newAgent(t), ended: make(chan error, 1)}
	c, err := parseConfig([]byte(configText(r.registry.address(), testSettings)))
	if err != nil {
		t.Fatal(err)
	}
	listen := func() (net.Listener, string) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		return &failingListener{Listener: l, failures: append([]error(nil), acceptFailures...)}, l.Addr().String()
	}
	clients, address := listen()
	operators, control := listen()
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- serve(ctx, &c, nil, clients, operators, newMetrics(&c)) }()
	for name, url := range map[string]string{"clients": "http://" + address + readyPath, "operators": "http://" + control + "/control/counters"} {
		resp, err := (&http.Client{Timeout: testTimeout}).Get(url)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		resp.Body.Close()
	}
	stop()
	if err := wait(t, ended, "end"); err != nil {
		t.Error(err)
	}
}

// What users saw: servers that were well got no requests.
//
// Order of events: connect fails for want of ports, buffers or a route of this machine; the
// attempt counts as a connection that its server refused, and the server is avoided.
//
// Cause: every error of a dial was put down to the peer. Evidence: forced here.
func TestLocalFailureIsNotThePeers(t *testing.T) {
	t.Parallel()
	for _, failure := range []error{syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENOBUFS, syscall.EMFILE, syscall.ENFILE, syscall.ENOMEM} {
		for name, failures := range map[string]int{"for a moment": 3, "on": 1000} {
			backend := newPeer(t)
			p := newTestPools(t, backend.address())
			dials, real := 0, p.dial
			p.dial = func(ctx context.Context, to *target, within time.Duration) (*backendConn, error) {
				if dials++; dials <= failures {
					return nil, &net.OpError{Op: "dial", Err: failure}
				}
				return real(ctx, to, within)
			}
			done := startAttempt(p, newAttempt(testTimeout))
			want := rules.NotStarted
			if failures == 3 {
				want = rules.Served
				conn, r := backend.accept(t)
				readRequest(t, r)
				io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			}
			if got := wait(t, done, "result"); got.outcome != want || dials > 100 {
				t.Errorf("%v %s: outcome %d after %d dials", failure, name, got.outcome, dials)
			}
		}
	}
}

// What users saw: behind an upgrade servers and customers were left alone for an hour.
//
// Order of events: the old process exports its state; the wall clock is stepped back before
// the new process starts, whose clock begins there; times of the old clock lie ahead.
//
// Cause: the state's times were taken as they were. Evidence: forced here for a step of an
// hour and of seconds, either way; without a step nothing moves.
func TestStateOfAnotherClock(t *testing.T) {
	was := slog.Default()
	slog.SetDefault(slog.New(slog.DiscardHandler))
	t.Cleanup(func() { slog.SetDefault(was) })
	for _, step := range []time.Duration{0, time.Hour, -time.Hour, 5 * time.Second, -5 * time.Second} {
		backend := newPeer(t)
		l, dir := newPlatform(t)
		old := newRigOn(t, l, dir, backend)
		_, answers := old.request(t, requestText("GET", "lookup", ""))
		serveOne(t, backend, "ok")
		wait(t, answers, "answer")
		c, err := parseConfig([]byte(configText("127.0.0.1:1", testSettings)))
		if err != nil {
			t.Fatal(err)
		}
		f := newMetrics(&c)
		next := newLoop(&c, f.newService(c.Deployment, 0), f, newPools(time.Second, time.Minute, 8, f), nil, func() {})
		next.clock.startUnix += step.Seconds()
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		h := &handover{loop: next, noPredecessor: make(chan struct{}), setPaired: func(bool) {}}
		state, err := h.join(ctx, dir)
		cancel()
		if err != nil || state == nil {
			t.Fatalf("%v, %v", state, err)
		}
		h.close()
		now := next.clock.now()
		if len(state.Rules.Backends) != 1 || len(state.Rules.Customers) != 1 {
			t.Fatalf("%d backends, %d customers", len(state.Rules.Backends), len(state.Rules.Customers))
		}
		for what, at := range map[string]float64{"last answer": state.Rules.Backends[0].LastServed, "last request": state.Rules.Customers[0].LastSeen,
			"local share": state.Rules.Customers[0].LocalUnitsAt} {
			if age := now - at; age < -0.1 || age > 5 {
				t.Errorf("step %v: the %s was %.1f s ago", step, what, age)
			}
		}
		old.stop()
		if err := wait(t, old.ended, "end"); err != nil && !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	}
}
