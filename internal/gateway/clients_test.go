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

// scarce is a listener that has no descriptor for a while.
type scarce struct {
	*pipes
	failures, accepts int
}

func (s *scarce) Accept() (net.Conn, error) {
	if s.accepts++; s.accepts <= s.failures {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return s.pipes.Accept()
}

// Without descriptors accepting waits, says so once, and goes on by itself.
func TestNoDescriptors(t *testing.T) {
	var text bytes.Buffer
	was := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&text, nil)))
	t.Cleanup(func() { slog.SetDefault(was) })
	synctest.Test(t, func(t *testing.T) {
		s := &scarce{pipes: newPipes(), failures: 10}
		l := newClientListener(s, 4)
		began := time.Now()
		near, far := net.Pipe()
		defer far.Close()
		go func() { s.conns <- near }()
		c, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		// 5, 10, 20 ... 1000, 1000, 1000 ms: ten tries in some four seconds.
		if took := time.Since(began); s.accepts != 11 || took < 2*time.Second || took > 10*time.Second {
			t.Errorf("%d tries in %v", s.accepts, took)
		}
		if n := strings.Count(text.String(), "no descriptor"); n < 1 || n > 4 || l.descriptorErrors.Load() != 10 {
			t.Errorf("%d lines, %d counted", n, l.descriptorErrors.Load())
		}
		c.Close()
		l.Close()
	})
}

// A connection that is given up reads no byte of a request any more, and one on
// which a request has begun is not given up.
func TestGivenUp(t *testing.T) {
	l := newClientListener(newPipes(), 1)
	near, far := net.Pipe()
	defer far.Close()
	first := l.admit(near)
	go io.WriteString(far, requestText("GET", "lookup", ""))
	first.Read(make([]byte, 4096))
	l.connState(first, http.StateActive)
	l.connState(first, http.StateIdle)
	next, other := net.Pipe()
	defer other.Close()
	second := l.admit(next)
	if second == nil {
		t.Fatal("turned away")
	}
	if _, err := first.Read(make([]byte, 1)); err == nil {
		t.Error("a byte was read on a connection that was given up")
	}
	first.Close() // by its reader, who alone knows whether a byte has come
	first.Close()
	if n := l.closeCounts[closedIdle].Load(); n != 1 {
		t.Errorf("%d given up", n)
	}
	l.connState(first, http.StateIdle)
	go io.WriteString(other, "G")
	if _, err := second.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	if n := l.counts(); n.Open != 1 || n.ByState[connlimit.Head] != 1 {
		t.Errorf("%+v", n)
	}
	l.setLimit(0)
	if n := l.counts(); n.Open != 1 {
		t.Errorf("one that has begun a request was given up: %+v", n)
	}
	second.Close()
	if n := l.counts(); n.Open != 0 || len(l.conns) != 0 {
		t.Errorf("%+v, %d known", n, len(l.conns))
	}
}

// Between the byte of a next request and its handler a connection does not rest.
func TestPipelinedRequestIsNotIdle(t *testing.T) {
	l := newClientListener(newPipes(), 1)
	near, far := net.Pipe()
	defer far.Close()
	c := l.admit(near)
	go io.WriteString(far, requestText("GET", "lookup", "")+"GET /")
	c.Read(make([]byte, 4096))
	l.connState(c, http.StateActive)
	l.connState(c, http.StateIdle)
	if n := l.counts(); n.ByState[connlimit.Idle] != 0 || n.ByState[connlimit.Head] != 1 {
		t.Errorf("%+v", n)
	}
	c.Close()
}

// In the real program: at the limit the connection that is idle longest goes for a
// new one, one with a request stays, and a crossing request is safe to send again.
func TestIdleGoesForNew(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	r := newTestGateway(t, backend)
	busy, held := r.request(t, requestText("POST", "booking", "held"))
	to, br := backend.accept(t)
	readRequest(t, br)
	var idle []net.Conn
	for n := range 3 {
		conn, answers := r.request(t, requestText("GET", "lookup", "", idHeader, ""))
		wait(t, answers, "answer")
		idle = append(idle, conn)
		// The next comes once this one rests, which may be later than its answer.
		r.awaitMetrics(t, fmt.Sprintf("app.clients.idle:%d|g", n+1), "app.clients.busy:1|g")
	}
	r.figures.clients.setLimit(4)
	_, answers := r.request(t, requestText("GET", "lookup", "", idHeader, ""))
	wait(t, answers, "answer")
	if _, err := idle[0].Read(make([]byte, 1)); err == nil {
		t.Error("the one that was idle longest is still there")
	}
	io.WriteString(idle[1], requestText("GET", "lookup", "", idHeader, ""))
	if resp, err := http.ReadResponse(bufio.NewReader(idle[1]), nil); err != nil || resp.StatusCode != 400 {
		t.Errorf("one that was kept: %v %v", resp, err)
	}
	r.awaitMetrics(t, "app.clients.closed.idle_given_up:1|c")
	io.WriteString(to, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	if resp := wait(t, held, "answer"); resp.StatusCode != 200 {
		t.Errorf("the held request: status %d", resp.StatusCode)
	}
	busy.Close()
}

// A limit that shrinks, as beside a second process or at a reload, takes what rests
// and leaves what is in a request; one that fits drops nobody.
func TestReloadTakesNewLimits(t *testing.T) {
	t.Parallel()
	r := newTestGateway(t, newPeer(t))
	for range 80 {
		_, answers := r.request(t, requestText("GET", "lookup", "", idHeader, ""))
		wait(t, answers, "answer")
	}
	r.awaitMetrics(t, "app.clients.idle:80|g")
	for _, step := range []struct {
		sockets string
		idle    string
	}{{"512", "app.clients.idle:80|g"}, {"128", "app.clients.idle:35|g"}, {"1024", "app.clients.idle:35|g"}} {
		c, err := parseConfig([]byte(strings.Replace(configText(r.registry.address(), testSettings), `"sockets": 1024`, `"sockets": `+step.sockets, 1)))
		r.reloads <- Reload{Config: c, Err: err}
		r.awaitMetrics(t, step.idle)
	}
	c, err := parseConfig([]byte(strings.Replace(configText(r.registry.address(), testSettings), `"sockets": 1024`, `"sockets": 3`, 1)))
	if err == nil {
		t.Error("3 sockets were taken")
	}
	r.reloads <- Reload{Config: c, Err: err}
	r.awaitMetrics(t, "app.loads:3|c", "app.load_errors:1|c")
}

// A stop in the middle of a rush answers what was taken, and leaves nothing.
func TestStopInRush(t *testing.T) {
	t.Parallel()
	b := &registeredBackend{id: "b", backend: newPeer(t)}
	go b.serveRequests()
	r := newTestGatewayWith(t, func(text string) string { return strings.Replace(text, `"sockets": 1024`, `"sockets": 128`, 1) }, b.backend)
	var wg sync.WaitGroup
	begun := make(chan struct{}, 1000)
	for range 200 {
		wg.Go(func() {
			defer func() { begun <- struct{}{} }()
			for range 3 {
				conn, err := net.DialTimeout("tcp", r.address, testTimeout)
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
						t.Error("never answered nor ended")
					}
				case resp.StatusCode != 200 && resp.StatusCode != 429 && resp.StatusCode != 503:
					t.Errorf("status %d", resp.StatusCode)
				}
				conn.Close()
				begun <- struct{}{}
			}
		})
	}
	for range 50 {
		wait(t, begun, "request")
	}
	r.stop()
	wg.Wait()
	if err := wait(t, r.ended, "end"); err != nil {
		t.Error(err)
	}
}

// The limit on silence holds on real sockets.
func TestSilenceIsLimited(t *testing.T) {
	peer := newPeer(t)
	c, err := net.Dial("tcp", peer.address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := setSilenceTimeout(c); err != nil {
		t.Error(err)
	}
	if waited, ok := sinceLastSegment(c); !ok || waited > testTimeout {
		t.Errorf("%v, %t", waited, ok)
	}
}

// A client that sends whole requests and never reads is ended in time.
func TestClientThatNeverReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, p := newPipedFrontend(t)
		client, server := net.Pipe()
		defer client.Close()
		p.conns <- server
		io.WriteString(client, requestText("GET", "lookup", ""))
		x := (<-f.loop.inbox).(requestArrived).exchange
		began := time.Now()
		x.reply <- response{status: http.StatusOK, fromBackend: true, header: http.Header{}, body: make([]byte, 5000)}
		for f.clients.counts().Open > 0 {
			time.Sleep(100 * time.Millisecond) // of the bubble's time
			if time.Since(began) > 6*time.Second {
				t.Fatal("it is still there")
			}
		}
	})
}
