package gateway

import (
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"
)

// The time that an attempt forwards to its backend counts from the arrival of the body's last
// byte, also if the gateway reads the byte later or retries.
func TestUploadForwardsRemainingTime(t *testing.T) {
	t.Parallel()
	const elapsed, clientTimeout = 400 * time.Millisecond, 15 * time.Second
	// timeLeftOfNext reads the next request at the backend and returns its remaining time.
	timeLeftOfNext := func(t *testing.T, backend *testServer) (time.Duration, net.Conn) {
		t.Helper()
		conn, reader := backend.accept(t)
		req, _ := readRequest(t, reader)
		timeLeft, err := strconv.Atoi(req.Header.Get(timeLeftHeader))
		if err != nil {
			t.Fatal(err)
		}
		return time.Duration(timeLeft) * time.Millisecond, conn
	}
	t.Run("retry after a failed attempt", func(t *testing.T) {
		t.Parallel()
		backend := newTestServer(t)
		gateway := newTestGateway(t, backend)
		conn := gateway.send(t, requestText("POST", "booking", "", "Transfer-Encoding", "chunked")+"4\r\npick\r\n")
		time.Sleep(2 * maxHoldTime) // the body is released for streaming
		io.WriteString(conn, "2\r\nup\r\n0\r\n\r\n")
		_, first := timeLeftOfNext(t, backend)
		time.Sleep(elapsed)
		first.Close()
		if timeLeft, _ := timeLeftOfNext(t, backend); timeLeft > clientTimeout-elapsed+50*time.Millisecond {
			t.Errorf("second attempt forwards %v of %v, %v after the last byte", timeLeft, clientTimeout, elapsed)
		}
	})
	for name, chunked := range map[string]bool{"queued with a length": false, "queued in chunks": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			backend := newTestServer(t)
			gateway := newTestGateway(t, backend)
			var busy []net.Conn
			for range 3 { // as many as may be in flight at once
				gateway.send(t, requestText("GET", "lookup", ""))
				_, conn := timeLeftOfNext(t, backend)
				busy = append(busy, conn)
			}
			body := strings.Repeat("x", 2*maxHeldBody)
			if chunked {
				gateway.send(t, requestText("POST", "booking", "", "Transfer-Encoding", "chunked")+
					strconv.FormatInt(int64(len(body)), 16)+"\r\n"+body+"\r\n0\r\n\r\n")
			} else {
				gateway.send(t, requestText("POST", "booking", body))
			}
			gateway.awaitMetrics(t, "app.clients.busy:4|g")
			time.Sleep(elapsed)
			io.WriteString(busy[0], "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
			if timeLeft, _ := timeLeftOfNext(t, backend); timeLeft > clientTimeout-elapsed+50*time.Millisecond {
				t.Errorf("attempt forwards %v of %v, %v after the last byte", timeLeft, clientTimeout, elapsed)
			}
		})
	}
}

// While a body is still arriving, the whole client timeout remains, however long the gateway
// has held its prefix.
func TestIncompleteUploadForwardsWholeTimeout(t *testing.T) {
	t.Parallel()
	backend := newTestServer(t)
	gateway := newTestGateway(t, backend)
	body := strings.Repeat("x", 2*maxHeldBody)
	conn := gateway.send(t, strings.TrimSuffix(requestText("POST", "booking", body), "x"))
	_, reader := backend.accept(t)
	time.Sleep(300 * time.Millisecond)
	io.WriteString(conn, "x")
	req, _ := readRequest(t, reader)
	if timeLeft, err := strconv.Atoi(req.Header.Get(timeLeftHeader)); timeLeft < 14900 || timeLeft > 15000 || err != nil {
		t.Errorf("attempt forwards %d ms, %v; want 14900 to 15000", timeLeft, err)
	}
}

// Guards against backends that are told of time that a pipelined request has spent behind another.
func TestPipelinedRequestForwardsRemainingTime(t *testing.T) {
	t.Parallel()
	const elapsed, clientTimeout = 400 * time.Millisecond, 8 * time.Second
	for name, text := range map[string]string{
		"without a body": strings.Repeat(requestText("GET", "lookup", "", timeLeftHeader, "8000"), 2),
		"with a body":    requestText("POST", "booking", "x", timeLeftHeader, "8000") + requestText("POST", "booking", "x", timeLeftHeader, "8000"),
		"beyond net/http's buffer": requestText("GET", "lookup", "") +
			requestText("GET", "lookup", "", timeLeftHeader, "8000", "X", strings.Repeat("x", 6<<10)),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			backend := newTestServer(t)
			gateway := newTestGateway(t, backend)
			gateway.send(t, text)
			conn, reader := backend.accept(t)
			readRequest(t, reader)
			time.Sleep(elapsed)
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
			_, reader = backend.accept(t)
			second, _ := readRequest(t, reader)
			timeLeft, err := strconv.Atoi(second.Header.Get(timeLeftHeader))
			if limit := clientTimeout - elapsed + 50*time.Millisecond; err != nil || time.Duration(timeLeft)*time.Millisecond > limit {
				t.Errorf("forwarded %d ms, %v; at most %v are left", timeLeft, err, limit)
			}
		})
	}
}

// Guards against backends that are told of time that a request has waited for memory for its body.
func TestRequestThatWaitedForMemoryForwardsRemainingTime(t *testing.T) {
	t.Parallel()
	const elapsed, clientTimeout = 400 * time.Millisecond, 8 * time.Second
	for name, length := range map[string]int{"held": 32 << 10, "streamed": 2 * maxHeldBody} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			backend := newTestServer(t)
			gateway := newTestGateway(t, backend)
			gateway.metrics.bodies.SetTotal(0)
			gateway.send(t, requestText("POST", "booking", strings.Repeat("x", length), timeLeftHeader, "8000"))
			time.Sleep(elapsed)
			gateway.metrics.bodies.SetTotal(16 << 20)
			_, reader := backend.accept(t)
			request, _ := readRequest(t, reader)
			timeLeft, err := strconv.Atoi(request.Header.Get(timeLeftHeader))
			if limit := clientTimeout - elapsed + 50*time.Millisecond; err != nil || time.Duration(timeLeft)*time.Millisecond > limit {
				t.Errorf("forwarded %d ms, %v; at most %v are left", timeLeft, err, limit)
			}
		})
	}
}
