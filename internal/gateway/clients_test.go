package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"dunlintray/internal/connlimit"
)

// scarceListener fails the first accept calls for lack of descriptors.
type scarceListener struct {
	*pipeListener
	failures, accepts int
}

func (s *scarceListener) Accept() (net.Conn, error) {
	if s.accepts++; s.accepts <= s.failures {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return s.pipeListener.Accept()
}

// Accepting waits while there are no descriptors, logs at most once a second, and resumes.
func TestAcceptWaitsForDescriptors(t *testing.T) {
	var log bytes.Buffer
	previous := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
	t.Cleanup(func() { slog.SetDefault(previous) })
	synctest.Test(t, func(t *testing.T) {
		scarce := &scarceListener{pipeListener: newPipeListener(), failures: 10}
		listener := newClientListener(scarce, 4)
		start := time.Now()
		near, far := net.Pipe()
		defer far.Close()
		go func() { scarce.conns <- near }()
		conn, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		// The delays are 5, 10, 20 ... 1000, 1000, 1000 ms: ten failures in about 4 s.
		if took := time.Since(start); scarce.accepts != 11 || took < 2*time.Second || took > 10*time.Second {
			t.Errorf("%d accept calls in %v, want 11 in 2 s to 10 s", scarce.accepts, took)
		}
		if lines := strings.Count(log.String(), "no descriptor"); lines < 1 || lines > 4 || listener.descriptorErrors.Load() != 10 {
			t.Errorf("%d log lines, want 1 to 4; %d errors counted, want 10", lines, listener.descriptorErrors.Load())
		}
		conn.Close()
		listener.Close()
	})
}

// An evicted connection reads no byte of a request, and a connection on which a request has
// begun is not evicted.
func TestEvictedConnectionReadsNoRequest(t *testing.T) {
	listener := newClientListener(newPipeListener(), 1)
	near, far := net.Pipe()
	defer far.Close()
	first := listener.admit(near)
	go io.WriteString(far, requestText("GET", "lookup", ""))
	first.Read(make([]byte, 4096))
	listener.connState(first, http.StateActive)
	listener.connState(first, http.StateIdle)
	next, other := net.Pipe()
	defer other.Close()
	second := listener.admit(next)
	if second == nil {
		t.Fatal("the second connection was rejected")
	}
	if _, err := first.Read(make([]byte, 1)); err == nil {
		t.Error("a byte was read on an evicted connection")
	}
	first.Close() // as its reader does
	first.Close()
	if closed := listener.closeCounts[closedIdle].Load(); closed != 1 {
		t.Errorf("%d idle connections evicted, want 1", closed)
	}
	listener.connState(first, http.StateIdle)
	go io.WriteString(other, "G")
	if _, err := second.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	if counts := listener.counts(); counts.Open != 1 || counts.ByState[connlimit.Head] != 1 {
		t.Errorf("counts %+v, want one connection in state Head", counts)
	}
	listener.setLimit(0)
	if counts := listener.counts(); counts.Open != 1 {
		t.Errorf("a connection with a request was evicted: %+v", counts)
	}
	second.Close()
	if counts := listener.counts(); counts.Open != 0 || len(listener.conns) != 0 {
		t.Errorf("after all were closed: counts %+v, %d connections", counts, len(listener.conns))
	}
}

// A connection is not idle between the first byte of a pipelined request and its handler.
func TestPipelinedRequestIsNotIdle(t *testing.T) {
	listener := newClientListener(newPipeListener(), 1)
	near, far := net.Pipe()
	defer far.Close()
	conn := listener.admit(near)
	go io.WriteString(far, requestText("GET", "lookup", "")+"GET /")
	conn.Read(make([]byte, 4096))
	listener.connState(conn, http.StateActive)
	listener.connState(conn, http.StateIdle)
	if counts := listener.counts(); counts.ByState[connlimit.Idle] != 0 || counts.ByState[connlimit.Head] != 1 {
		t.Errorf("counts %+v, want one connection in state Head", counts)
	}
	conn.Close()
}

// At the limit, in a whole gateway, the connection that has been idle longest is evicted for
// a new one, and the others, idle or in a request, still work.
func TestIdleConnectionIsEvictedForNew(t *testing.T) {
	t.Parallel()
	backend := newTestServer(t)
	gateway := newTestGateway(t, backend)
	busy, heldResponses := gateway.request(t, requestText("POST", "booking", "held"))
	upstream, reader := backend.accept(t)
	readRequest(t, reader)
	var idle []net.Conn
	for n := range 3 {
		conn, responses := gateway.request(t, requestText("GET", "lookup", "", idHeader, ""))
		wait(t, responses, "response")
		idle = append(idle, conn)
		// The connection may become idle later than its response arrives.
		gateway.awaitMetrics(t, fmt.Sprintf("app.clients.idle:%d|g", n+1), "app.clients.busy:1|g")
	}
	gateway.metrics.clients.setLimit(4)
	_, responses := gateway.request(t, requestText("GET", "lookup", "", idHeader, ""))
	wait(t, responses, "response")
	if _, err := idle[0].Read(make([]byte, 1)); err == nil {
		t.Error("the connection that was idle longest is still open")
	}
	io.WriteString(idle[1], requestText("GET", "lookup", "", idHeader, ""))
	if resp, err := http.ReadResponse(bufio.NewReader(idle[1]), nil); err != nil || resp.StatusCode != 400 {
		t.Errorf("request on a remaining idle connection: %v %v, want status 400", resp, err)
	}
	gateway.awaitMetrics(t, "app.clients.closed.idle_given_up:1|c")
	io.WriteString(upstream, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	if resp := wait(t, heldResponses, "response"); resp.StatusCode != 200 {
		t.Errorf("request in progress: status %d, want 200", resp.StatusCode)
	}
	busy.Close()
}

// A reload with a lower limit evicts idle connections down to the limit; one with a limit that
// suffices evicts none.
func TestReloadAppliesConnectionLimits(t *testing.T) {
	t.Parallel()
	gateway := newTestGateway(t, newTestServer(t))
	for range 80 {
		_, responses := gateway.request(t, requestText("GET", "lookup", "", idHeader, ""))
		wait(t, responses, "response")
	}
	gateway.awaitMetrics(t, "app.clients.idle:80|g")
	for _, step := range []struct {
		sockets string
		idle    string
	}{{"512", "app.clients.idle:80|g"}, {"128", "app.clients.idle:35|g"}, {"1024", "app.clients.idle:35|g"}} {
		config, err := parseConfig([]byte(strings.Replace(configText(gateway.discovery.address(), testSettings), `"sockets": 1024`, `"sockets": `+step.sockets, 1)))
		gateway.reloads <- Reload{Config: config, Err: err}
		gateway.awaitMetrics(t, step.idle)
	}
	config, err := parseConfig([]byte(strings.Replace(configText(gateway.discovery.address(), testSettings), `"sockets": 1024`, `"sockets": 3`, 1)))
	if err == nil {
		t.Error("a configuration with 3 sockets was accepted")
	}
	gateway.reloads <- Reload{Config: config, Err: err}
	gateway.awaitMetrics(t, "app.loads:3|c", "app.load_errors:1|c")
}

// A stop under load answers the accepted requests and leaves no client without a response or
// a close.
func TestStopUnderLoadEndsEveryRequest(t *testing.T) {
	t.Parallel()
	backend := &registeredBackend{id: "b", backend: newTestServer(t)}
	go backend.serveRequests()
	gateway := newTestGatewayWith(t, func(text string) string { return strings.Replace(text, `"sockets": 1024`, `"sockets": 128`, 1) }, backend.backend)
	var wg sync.WaitGroup
	finished := make(chan struct{}, 1000)
	for range 200 {
		wg.Go(func() {
			defer func() { finished <- struct{}{} }()
			for range 3 {
				conn, err := net.DialTimeout("tcp", gateway.address, testTimeout)
				if err != nil {
					return // the listener has closed
				}
				conn.SetDeadline(time.Now().Add(testTimeout))
				_, err = io.WriteString(conn, requestText("GET", "lookup", ""))
				resp, readErr := http.ReadResponse(bufio.NewReader(conn), nil)
				switch {
				case err != nil || readErr != nil:
					var timeout net.Error
					if errors.As(readErr, &timeout) && timeout.Timeout() {
						t.Errorf("neither a response nor a close within %v", testTimeout)
					}
				case resp.StatusCode != 200 && resp.StatusCode != 429 && resp.StatusCode != 503:
					t.Errorf("status %d, want 200, 429 or 503", resp.StatusCode)
				}
				conn.Close()
				finished <- struct{}{}
			}
		})
	}
	for range 50 {
		wait(t, finished, "request")
	}
	gateway.stop()
	wg.Wait()
	if err := wait(t, gateway.ended, "end"); err != nil {
		t.Error(err)
	}
}

// The silence timeout can be set on a real socket.
func TestSilenceTimeoutIsSet(t *testing.T) {
	server := newTestServer(t)
	conn, err := net.Dial("tcp", server.address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := setSilenceTimeout(conn); err != nil {
		t.Error(err)
	}
	if waited, ok := sinceLastSegment(conn); !ok || waited > testTimeout {
		t.Errorf("last segment %v ago, known %t", waited, ok)
	}
}

// A client that sends a complete request and never reads is disconnected within 6 s.
func TestClientThatNeverReadsIsDisconnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		front, listener := newPipedFrontend(t)
		client, server := net.Pipe()
		defer client.Close()
		listener.conns <- server
		io.WriteString(client, requestText("GET", "lookup", ""))
		exchange := (<-front.loop.inbox).(requestArrived).exchange
		start := time.Now()
		exchange.responses <- response{status: http.StatusOK, fromBackend: true, header: http.Header{}, body: make([]byte, 5000)}
		for front.clients.counts().Open > 0 {
			time.Sleep(100 * time.Millisecond) // synctest time
			if time.Since(start) > 6*time.Second {
				t.Fatalf("still connected after %v", time.Since(start))
			}
		}
	})
}
