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
)

// The memory of so many transfers does not grow with the length of the bodies.
func TestMemoryDoesNotGrowWithLength(t *testing.T) {
	t.Parallel()
	const transfers = 4
	for _, size := range []int{1 << 20, 256 << 20} {
		backend := newPeer(t)
		r := newTestGateway(t, backend)
		piece := make([]byte, 1<<20)
		var wg sync.WaitGroup
		for range transfers {
			_, head := r.get(t, requestText("GET", "lookup", ""))
			to, br := backend.accept(t)
			readRequest(t, br)
			wg.Go(func() {
				fmt.Fprintf(to, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n", size)
				for range size / len(piece) {
					to.Write(piece)
				}
			})
			wg.Go(func() {
				if n, err := io.Copy(io.Discard, head().Body); err != nil || n != int64(size) {
					t.Errorf("%d bytes of %d, %v", n, size, err)
				}
			})
		}
		wg.Wait()
		if _, most := r.figures.bodyBudget.usage(); most > transfers*maxWindow {
			t.Errorf("%d transfers of %d bytes took %d", transfers, size, most)
		}
	}
}

// With ten times as many uploads as the budget holds, those that have a part of it
// end, and the others are told when to come again.
func TestMoreUploadsThanMemory(t *testing.T) {
	t.Parallel()
	const fit = 8
	backend := newPeer(t)
	r := newTestGateway(t, backend)
	r.figures.bodyBudget.setTotal(fit * minWindow)
	size := 64 * maxHeldBody
	type outcome struct {
		conn net.Conn
		in   *bufio.Reader
		resp *http.Response
	}
	refused := make(chan outcome, 10*fit)
	for range 10 * fit {
		conn := r.send(t, requestText("POST", "booking", "", "Content-Length", strconv.Itoa(size), "Expect", "100-continue"))
		go func() {
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err == nil {
				refused <- outcome{conn, nil, resp}
			}
		}()
	}
	told := make(chan struct{}) // all have been
	var wg sync.WaitGroup
	going := 0
	// send sends a body, slowly until all have been told: one that is not slow has no end,
	// also on a machine on which that takes long.
	send := func(conn net.Conn) {
		const drip = 2 * minClientRate / 10
		left, drips := size, time.NewTicker(100*time.Millisecond)
		defer drips.Stop()
		for slowly := true; slowly && left > size/2; {
			select {
			case <-told:
				slowly = false
			case <-drips.C:
				io.WriteString(conn, strings.Repeat("x", drip))
				left -= drip
			}
		}
		<-told
		io.WriteString(conn, strings.Repeat("x", left))
		if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || resp.StatusCode != 200 {
			t.Errorf("%v %v", resp, err)
		}
	}
	for range 10 * fit {
		switch o := wait(t, refused, "word"); {
		case o.resp.StatusCode == http.StatusContinue:
			going++
			wg.Go(func() { send(o.conn) })
		case o.resp.StatusCode != http.StatusServiceUnavailable || o.resp.Header.Get("Retry-After") != "1":
			t.Errorf("status %d, advice %q", o.resp.StatusCode, o.resp.Header.Get("Retry-After"))
		}
		if used, most := r.figures.bodyBudget.usage(); most > fit*minWindow {
			t.Errorf("%d taken, at most %d", used, most)
		}
	}
	if going != fit {
		t.Errorf("%d go on", going)
	}
	for range going {
		to, br := backend.accept(t)
		go func() {
			if req, err := http.ReadRequest(br); err == nil {
				io.Copy(io.Discard, req.Body)
				io.WriteString(to, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			}
		}()
	}
	close(told)
	wg.Wait()
	r.awaitMetrics(t, fmt.Sprintf("app.transfers.up.ended.no_memory:%d|c", 9*fit), fmt.Sprintf("app.transfers.up.ended.whole:%d|c", fit))
}

// Answers have run. Ten times as many as the budget holds all come whole, at the
// pace of their readers, within the budget.
func TestMoreAnswersThanMemory(t *testing.T) {
	t.Parallel()
	const fit = 4
	backend := newPeer(t)
	r := newTestGateway(t, backend)
	r.figures.bodyBudget.setTotal(fit * maxHeldBody)
	whole := noise(1, 8<<20)
	var heads []func() *http.Response
	for range 10 * fit {
		conn, head := r.get(t, requestText("GET", "lookup", ""))
		conn.(*net.TCPConn).SetReadBuffer(256 << 10) // so that not all of it is under way
		heads = append(heads, head)
		to, br := backend.accept(t)
		readRequest(t, br)
		go func() {
			fmt.Fprintf(to, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(whole))
			to.Write(whole)
		}()
	}
	r.awaitMetrics(t, fmt.Sprintf("app.transfers.down.open:%d|g", 10*fit)) // all flow, and nobody reads
	var wg sync.WaitGroup
	for _, head := range heads {
		wg.Go(func() {
			sum := sha256.New()
			if n, err := io.Copy(sum, head().Body); err != nil || [32]byte(sum.Sum(nil)) != sha256.Sum256(whole) {
				t.Errorf("%d bytes, %v", n, err)
			}
		})
	}
	wg.Wait()
	if _, most := r.figures.bodyBudget.usage(); most > fit*maxHeldBody {
		t.Errorf("%d taken", most)
	}
}

// Uploads that wait for memory which answers hold, and the other way round, all
// come to an end, and each has a whole answer or is told to come again.
func TestBothWaysInLittleMemory(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	r := newTestGateway(t, backend)
	r.figures.bodyBudget.setTotal(4 * minWindow)
	done := make(chan struct{})
	defer close(done)
	go func() {
		for {
			select {
			case to := <-backend.conns:
				go func() {
					for br := bufio.NewReader(to); ; {
						req, err := http.ReadRequest(br)
						if err != nil {
							return
						}
						// The whole of what it gets, as it gets it.
						fmt.Fprintf(to, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", req.ContentLength)
						if n, err := io.Copy(to, req.Body); err != nil || n != req.ContentLength {
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
	var served, refused atomic.Int64
	for i := range 100 {
		wg.Go(func() {
			body := noise(uint64(i), 20<<10+i*4096)
			conn, head := r.get(t, requestText("POST", "booking", "", "Content-Length", strconv.Itoa(len(body))))
			go conn.Write(body)
			resp := head()
			got, err := io.ReadAll(resp.Body)
			switch {
			case resp.StatusCode == 200 && err == nil && bytes.Equal(got, body):
				served.Add(1)
			case (resp.StatusCode == 503 || resp.StatusCode == 429) && resp.Header.Get("Retry-After") != "":
				refused.Add(1)
			default:
				t.Errorf("%d of %d bytes, status %d, %v", len(got), len(body), resp.StatusCode, err)
			}
		})
	}
	wg.Wait()
	if served.Load() == 0 {
		t.Errorf("none served, %d refused", refused.Load())
	}
	if _, most := r.figures.bodyBudget.usage(); most > 4*minWindow {
		t.Errorf("%d taken", most)
	}
}
