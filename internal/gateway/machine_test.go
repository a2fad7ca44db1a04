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

// failingListener returns each failure once before it accepts connections.
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

// A transient error of accept, on the clients' or the operators' listener, must not end the
// gateway.
func TestAcceptSurvivesTransientErrors(t *testing.T) {
	t.Parallel()
	gateway := &testGateway{discovery: newFakeDiscovery(t), ended: make(chan error, 1)}
	config, err := parseConfig([]byte(configText(gateway.discovery.address(), testSettings)))
	if err != nil {
		t.Fatal(err)
	}
	listen := func() (net.Listener, string) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		return &failingListener{Listener: listener, failures: append([]error(nil), acceptFailures...)}, listener.Addr().String()
	}
	clients, address := listen()
	operators, control := listen()
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- serve(ctx, &config, nil, clients, operators, newMetrics(&config)) }()
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

// A dial that fails for a local reason is retried for a short time, and its outcome says nothing
// about the backend.
func TestLocalFailureSaysNothingAboutBackend(t *testing.T) {
	t.Parallel()
	for _, failure := range []error{syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENOBUFS, syscall.EMFILE, syscall.ENFILE, syscall.ENOMEM} {
		for name, failures := range map[string]int{"briefly": 3, "permanently": 1000} {
			backend := newTestServer(t)
			pools := newTestPools(t, backend.address())
			dials, dial := 0, pools.dial
			pools.dial = func(ctx context.Context, pool *backendPool, within time.Duration) (*backendConn, error) {
				if dials++; dials <= failures {
					return nil, &net.OpError{Op: "dial", Err: failure}
				}
				return dial(ctx, pool, within)
			}
			done := startAttempt(pools, newAttempt(testTimeout))
			want := rules.NotStarted
			if failures == 3 {
				want = rules.Served
				conn, reader := backend.accept(t)
				readRequest(t, reader)
				io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			}
			if got := wait(t, done, "result"); got.outcome != want || dials > 100 {
				t.Errorf("%v %s: outcome %d after %d dials", failure, name, got.outcome, dials)
			}
		}
	}
}

// The times of imported state are shifted if the wall clock was stepped between the starts of
// the two processes, in either direction, and stay as they are otherwise.
func TestImportedStateIsShiftedByClockStep(t *testing.T) {
	previous := slog.Default()
	slog.SetDefault(slog.New(slog.DiscardHandler))
	t.Cleanup(func() { slog.SetDefault(previous) })
	for _, step := range []time.Duration{0, time.Hour, -time.Hour, 5 * time.Second, -5 * time.Second} {
		backend := newTestServer(t)
		listener, dir := newSharedListener(t)
		old := newTestGatewayOn(t, listener, dir, backend)
		_, responses := old.request(t, requestText("GET", "lookup", ""))
		serveOne(t, backend, "ok")
		wait(t, responses, "response")
		awaitHandoverSocket(t, dir)
		config, err := parseConfig([]byte(configText("127.0.0.1:1", testSettings)))
		if err != nil {
			t.Fatal(err)
		}
		metrics := newMetrics(&config)
		next := newLoop(&config, metrics.newService(config.Deployment, 0), metrics, newPools(time.Second, time.Minute, 8, metrics), nil, func() {})
		next.clock.startUnix += step.Seconds()
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		handover := &handover{loop: next, noPredecessor: make(chan struct{}), setSiblingRunning: func(bool) {}}
		state, err := handover.join(ctx, dir)
		cancel()
		if err != nil || state == nil {
			t.Fatalf("%v, %v", state, err)
		}
		handover.close()
		now := next.clock.now()
		if len(state.Rules.Backends) != 1 || len(state.Rules.Customers) != 1 {
			t.Fatalf("%d backends, %d customers", len(state.Rules.Backends), len(state.Rules.Customers))
		}
		for what, at := range map[string]float64{"last answer": state.Rules.Backends[0].LastServed, "last request": state.Rules.Customers[0].LastSeen,
			"local allowance": state.Rules.Customers[0].LocalUnitsAt} {
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
