package gateway

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"dunlintray/internal/gateway/body"
	"dunlintray/rules"
)

// answerAttempt starts an attempt and answers it on the backend's connection.
func answerAttempt(t *testing.T, pools *pools, conn net.Conn, reader *bufio.Reader, body string) {
	t.Helper()
	done := startAttempt(pools, newAttempt(testTimeout))
	readRequest(t, reader)
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"+body)
	if got := wait(t, done, "result"); string(got.response.body) != body {
		t.Fatalf("outcome %d, %q", got.outcome, got.response.body)
	}
}

// atConnectionLimit returns pools whose only connection has just been used, and the backend's side of it.
func atConnectionLimit(t *testing.T, backend *testServer, settle time.Duration) (*pools, net.Conn, *bufio.Reader) {
	t.Helper()
	pools := newTestPools(t, backend.address())
	pools.settle = settle
	pools.setMaxOpen(1)
	done := startAttempt(pools, newAttempt(testTimeout))
	conn, reader := backend.accept(t)
	readRequest(t, reader)
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst")
	wait(t, done, "result")
	return pools, conn, reader
}

// Guards against a client that gets the answer to another request: at the limit of connections a
// connection was used again before a late second answer on it could be seen.
func TestSurplusResponseAtConnectionLimit(t *testing.T) {
	backend := newTestServer(t)
	pools, conn, _ := atConnectionLimit(t, backend, 200*time.Millisecond)
	done := startAttempt(pools, newAttempt(testTimeout))
	time.Sleep(20 * time.Millisecond) // a backend may send an answer again some milliseconds later
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst")
	select {
	case got := <-done:
		t.Fatalf("outcome %d with %q, the answer to another request", got.outcome, got.response.body)
	case next := <-backend.conns:
		readRequest(t, bufio.NewReader(next))
		io.WriteString(next, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnext")
	case <-time.After(testTimeout):
		t.Fatal("no new connection in place of the one with a second answer")
	}
	if got := wait(t, done, "result"); got.outcome != rules.Served || string(got.response.body) != "next" {
		t.Errorf("outcome %d, %q; want the request's own answer", got.outcome, got.response.body)
	}
	if pools.openCount != 1 {
		t.Errorf("%d connections, want 1", pools.openCount)
	}
}

// At the limit an attempt waits for a connection to settle, and then uses it.
func TestAttemptWaitsForConnectionAtLimit(t *testing.T) {
	const settle = 200 * time.Millisecond
	backend := newTestServer(t)
	pools, conn, reader := atConnectionLimit(t, backend, settle)
	usedAt := pools.byBackend[1].idle[0].idleSince
	answerAttempt(t, pools, conn, reader, "again")
	if idle := time.Since(usedAt); idle < settle {
		t.Errorf("used again after %v, want at least %v", idle, settle)
	}
	// Half of the limit is left during an upgrade, which may be less than what is open.
	pools.setMaxOpen(0)
	usedAt = pools.byBackend[1].idle[0].idleSince
	answerAttempt(t, pools, conn, reader, "third")
	if idle := time.Since(usedAt); idle < settle || len(backend.conns) != 0 {
		t.Errorf("beyond the limit: used again after %v, %d more connections", idle, len(backend.conns))
	}
}

// An attempt that is aborted while it waits leaves the connection to others, and one whose backend is
// retired writes nothing.
func TestWaitForConnectionAtLimitEnds(t *testing.T) {
	backend := newTestServer(t)
	pools, conn, reader := atConnectionLimit(t, backend, 300*time.Millisecond)
	aborted := newAttempt(testTimeout)
	done := startAttempt(pools, aborted)
	awaitWaiting := func() {
		t.Helper()
		for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
			pools.mu.Lock()
			waiting := len(pools.byBackend[1].idle) == 0
			pools.mu.Unlock()
			if waiting {
				return
			}
			if time.Now().After(end) {
				t.Fatal("no attempt waits for the connection")
			}
		}
	}
	awaitWaiting()
	aborted.abort()
	if got := wait(t, done, "result"); got.outcome == rules.Served {
		t.Errorf("an aborted attempt: outcome %d", got.outcome)
	}
	answerAttempt(t, pools, conn, reader, "again")
	done = startAttempt(pools, newAttempt(testTimeout))
	awaitWaiting()
	pools.remove(1)
	if got := wait(t, done, "result"); got.outcome != rules.ConnectFailed {
		t.Errorf("a retired backend: outcome %d, want %d", got.outcome, rules.ConnectFailed)
	}
	conn.SetReadDeadline(time.Now().Add(testTimeout))
	if n, _ := reader.Read(make([]byte, 1)); n != 0 || pools.openCount != 0 {
		t.Errorf("%d bytes written to a retired backend, %d connections", n, pools.openCount)
	}
}

// BenchmarkPoolAtLimit measures requests per second and the 99th percentile of their time where all
// connections are always in demand: as many clients as connections, and 170 to 300 ms of work.
func BenchmarkPoolAtLimit(b *testing.B) {
	const clients = 85
	pools := newPools(testTimeout, time.Minute, clients, &metrics{bodies: body.NewAccount(16 << 20)})
	pools.settle = 50 * time.Millisecond
	pools.update(1, slowBackend(b), 0)
	var mu sync.Mutex
	var times []time.Duration
	work := make(chan struct{})
	var group sync.WaitGroup
	for range clients {
		group.Go(func() {
			for range work {
				start := time.Now()
				if got := pools.runAttempt(newAttempt(testTimeout)); got.outcome != rules.Served {
					b.Errorf("outcome %d, %v", got.outcome, got.err)
				}
				mu.Lock()
				times = append(times, time.Since(start))
				mu.Unlock()
			}
		})
	}
	b.ResetTimer()
	for range b.N {
		work <- struct{}{}
	}
	close(work)
	group.Wait()
	slices.Sort(times)
	b.ReportMetric(float64(len(times))/b.Elapsed().Seconds(), "requests/s")
	b.ReportMetric(float64(times[len(times)*99/100].Milliseconds()), "p99-ms")
}

// slowBackend starts a backend that answers each request after 170 to 300 ms, and returns its address.
func slowBackend(b *testing.B) string {
	b.Helper()
	return serveConnections(b, func(conn net.Conn) {
		for reader := bufio.NewReader(conn); ; {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			io.Copy(io.Discard, request.Body)
			time.Sleep(170*time.Millisecond + rand.N(130*time.Millisecond))
			if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
				return
			}
		}
	}).Addr().String()
}
