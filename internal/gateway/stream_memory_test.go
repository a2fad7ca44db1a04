package gateway

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dunlintray/internal/gateway/body"
)

// The memory that transfers take does not grow with the length of their bodies.
func TestMemoryIsIndependentOfBodyLength(t *testing.T) {
	t.Parallel()
	const transfers = 4
	for _, size := range []int{1 << 20, 256 << 20} {
		backend := newTestServer(t)
		gateway := newTestGateway(t, backend)
		piece := make([]byte, 1<<20)
		var wg sync.WaitGroup
		for range transfers {
			_, readHead := gateway.sendAndRead(t, requestText("GET", "lookup", ""))
			upstream, reader := backend.accept(t)
			readRequest(t, reader)
			wg.Go(func() {
				fmt.Fprintf(upstream, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n", size)
				for range size / len(piece) {
					upstream.Write(piece)
				}
			})
			wg.Go(func() {
				if n, err := io.Copy(io.Discard, readHead().Body); err != nil || n != int64(size) {
					t.Errorf("received %d bytes of %d, %v", n, size, err)
				}
			})
		}
		wg.Wait()
		if _, peak := gateway.metrics.bodies.Usage(); peak > transfers*body.MaxWindow {
			t.Errorf("%d transfers of %d bytes took %d bytes of memory, limit %d", transfers, size, peak, transfers*body.MaxWindow)
		}
	}
}

// With ten times as many uploads as fit into the budget, those that get memory complete, and
// the others are rejected with a Retry-After header.
func TestUploadsBeyondMemoryAreRejected(t *testing.T) {
	t.Parallel()
	const fit = 8
	backend := newTestServer(t)
	gateway := newTestGateway(t, backend)
	gateway.metrics.bodies.SetTotal(fit * body.MinWindow)
	size := 64 * maxHeldBody
	type firstResponse struct {
		conn   net.Conn
		reader *bufio.Reader
		resp   *http.Response
	}
	responses := make(chan firstResponse, 10*fit)
	for range 10 * fit {
		conn := gateway.send(t, requestText("POST", "booking", "", "Content-Length", strconv.Itoa(size), "Expect", "100-continue"))
		go func() {
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err == nil {
				responses <- firstResponse{conn, nil, resp}
			}
		}()
	}
	allAnswered := make(chan struct{}) // closed when every client has a response
	var wg sync.WaitGroup
	admitted := 0
	// send sends a body, slowly until every client has a response: the upload must neither
	// end nor stall before, also on a slow machine.
	send := func(conn net.Conn) {
		const dripBytes = 2 * minClientRate / 10
		remaining, drips := size, time.NewTicker(100*time.Millisecond)
		defer drips.Stop()
		for slow := true; slow && remaining > size/2; {
			select {
			case <-allAnswered:
				slow = false
			case <-drips.C:
				io.WriteString(conn, strings.Repeat("x", dripBytes))
				remaining -= dripBytes
			}
		}
		<-allAnswered
		io.WriteString(conn, strings.Repeat("x", remaining))
		if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || resp.StatusCode != 200 {
			t.Errorf("admitted upload: response %v, %v; want status 200", resp, err)
		}
	}
	for range 10 * fit {
		switch first := wait(t, responses, "response"); {
		case first.resp.StatusCode == http.StatusContinue:
			admitted++
			wg.Go(func() { send(first.conn) })
		case first.resp.StatusCode != http.StatusServiceUnavailable || first.resp.Header.Get("Retry-After") != "1":
			t.Errorf("status %d, Retry-After %q; want 503 and 1", first.resp.StatusCode, first.resp.Header.Get("Retry-After"))
		}
		if used, peak := gateway.metrics.bodies.Usage(); peak > fit*body.MinWindow {
			t.Errorf("%d bytes reserved, peak %d, limit %d", used, peak, fit*body.MinWindow)
		}
	}
	if admitted != fit {
		t.Errorf("%d uploads admitted, want %d", admitted, fit)
	}
	for range admitted {
		upstream, reader := backend.accept(t)
		go func() {
			if req, err := http.ReadRequest(reader); err == nil {
				io.Copy(io.Discard, req.Body)
				io.WriteString(upstream, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			}
		}()
	}
	close(allAnswered)
	wg.Wait()
	gateway.awaitMetrics(t, fmt.Sprintf("app.transfers.up.ended.no_memory:%d|c", 9*fit), fmt.Sprintf("app.transfers.up.ended.whole:%d|c", fit))
}

// Ten times as many downloads as fit into the budget all complete within the budget, at the
// pace of their clients: rejecting a response would waste the work of its backend.
func TestDownloadsBeyondMemoryComplete(t *testing.T) {
	t.Parallel()
	const fit = 4
	backend := newTestServer(t)
	gateway := newTestGateway(t, backend)
	gateway.metrics.bodies.SetTotal(fit * maxHeldBody)
	body := randomBody(1, 8<<20)
	var readHeads []func() *http.Response
	for range 10 * fit {
		conn, readHead := gateway.sendAndRead(t, requestText("GET", "lookup", ""))
		conn.(*net.TCPConn).SetReadBuffer(256 << 10) // so that the socket cannot hold the whole body
		readHeads = append(readHeads, readHead)
		upstream, reader := backend.accept(t)
		readRequest(t, reader)
		go func() {
			fmt.Fprintf(upstream, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body))
			upstream.Write(body)
		}()
	}
	gateway.awaitMetrics(t, fmt.Sprintf("app.transfers.down.open:%d|g", 10*fit)) // all have begun, and no client reads
	var wg sync.WaitGroup
	for _, readHead := range readHeads {
		wg.Go(func() {
			sum := sha256.New()
			if n, err := io.Copy(sum, readHead().Body); err != nil || [32]byte(sum.Sum(nil)) != sha256.Sum256(body) {
				t.Errorf("received %d bytes of %d, %v", n, len(body), err)
			}
		})
	}
	wg.Wait()
	if _, peak := gateway.metrics.bodies.Usage(); peak > fit*maxHeldBody {
		t.Errorf("peak of %d bytes, limit %d", peak, fit*maxHeldBody)
	}
}

// Uploads and downloads that wait for each other's memory do not deadlock: each request gets
// a complete response or a rejection with a Retry-After header.
func TestTransfersInBothDirectionsDoNotDeadlock(t *testing.T) {
	t.Parallel()
	backend := newTestServer(t)
	gateway := newTestGateway(t, backend)
	gateway.metrics.bodies.SetTotal(4 * body.MinWindow)
	done := make(chan struct{})
	defer close(done)
	go func() {
		for {
			select {
			case upstream := <-backend.conns:
				go func() {
					for reader := bufio.NewReader(upstream); ; {
						req, err := http.ReadRequest(reader)
						if err != nil {
							return
						}
						// The backend echoes the body while it receives it.
						fmt.Fprintf(upstream, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", req.ContentLength)
						if n, err := io.Copy(upstream, req.Body); err != nil || n != req.ContentLength {
							return
						}
					}
				}()
			case <-done:
				return
			}
		}
	}()
	var wg sync.WaitGroup
	var served, rejected atomic.Int64
	for i := range 100 {
		wg.Go(func() {
			body := randomBody(uint64(i), 20<<10+i*4096)
			conn, readHead := gateway.sendAndRead(t, requestText("POST", "booking", "", "Content-Length", strconv.Itoa(len(body))))
			go conn.Write(body)
			resp := readHead()
			got, err := io.ReadAll(resp.Body)
			switch {
			case resp.StatusCode == 200 && err == nil && bytes.Equal(got, body):
				served.Add(1)
			case (resp.StatusCode == 503 || resp.StatusCode == 429) && resp.Header.Get("Retry-After") != "":
				rejected.Add(1)
			default:
				t.Errorf("received %d of %d bytes, status %d, %v", len(got), len(body), resp.StatusCode, err)
			}
		})
	}
	wg.Wait()
	if served.Load() == 0 {
		t.Errorf("no request served, %d rejected", rejected.Load())
	}
	if _, peak := gateway.metrics.bodies.Usage(); peak > 4*body.MinWindow {
		t.Errorf("peak of %d bytes, limit %d", peak, 4*body.MinWindow)
	}
}
