package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// A long body reaches the backend while it still comes. Its time counts from its
// last byte, and only then is it taken.
func TestLongBodyGoesOnAsItComes(t *testing.T) {
	t.Parallel()
	whole := strings.Repeat("0123456789abcdef", 4*maxHeldBody/16)
	for name, chunked := range map[string]bool{"of known length": false, "in chunks": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			backend := newPeer(t)
			r := newTestGateway(t, backend)
			framing, value, piece, tail := "Content-Length", strconv.Itoa(len(whole)), func(s string) string { return s }, ""
			if chunked {
				framing, value = "Transfer-Encoding", "chunked"
				piece = func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
				tail = "0\r\nX-Sum: 1\r\n\r\n"
			}
			conn, head := r.get(t, requestText("POST", "booking", "", framing, value, "Expect", "100-continue"))
			if resp := head(); resp.StatusCode != http.StatusContinue {
				t.Errorf("status %d before the body", resp.StatusCode)
			}
			io.WriteString(conn, piece(whole[:2*maxHeldBody]))
			_, br := backend.accept(t)
			req, err := http.ReadRequest(br)
			if err != nil {
				t.Fatal(err)
			}
			start := make([]byte, maxHeldBody) // before the client has sent more
			if _, err := io.ReadFull(req.Body, start); err != nil {
				t.Fatal(err)
			}
			r.awaitMetrics(t, "app.in_progress:0|g", "app.upstream_tries:0|c")
			io.WriteString(conn, piece(whole[2*maxHeldBody:])+tail)
			rest, err := io.ReadAll(req.Body)
			if err != nil || string(start)+string(rest) != whole {
				t.Errorf("%d bytes of %d, %v", len(start)+len(rest), len(whole), err)
			}
			r.awaitMetrics(t, "app.in_progress:1|g", "app.upstream_tries:1|c")
		})
	}
}

// A body that breaks off was never a request: no backend gets it whole, and
// nobody is blamed or asked again.
func TestLongBodyThatBreaks(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	r := newTestGateway(t, backend)
	conn, _ := r.get(t, requestText("POST", "booking", "", "Content-Length", "1000000")+strings.Repeat("x", 2*maxHeldBody))
	_, br := backend.accept(t)
	req, err := http.ReadRequest(br)
	if err != nil {
		t.Fatal(err)
	}
	io.ReadFull(req.Body, make([]byte, maxHeldBody))
	conn.Close()
	if _, err := io.ReadAll(req.Body); err == nil {
		t.Error("the backend has a whole request")
	}
	r.awaitMetrics(t, "app.in_progress:0|g", "app.upstream_tries:0|c", "app.skipped_backends:0|g")
	if len(backend.conns) != 0 {
		t.Error("sent again")
	}
}

// A request that is given up before the end of its body has its answer at once,
// on a connection that is then closed.
func TestAnswerBeforeTheEndOfLongBody(t *testing.T) {
	t.Parallel()
	r := newTestGatewayWith(t, func(text string) string {
		return strings.Replace(text, `"name": "booking", "objectiveS": 10`, `"name": "booking", "objectiveS": 0.2`, 1)
	}) // no backend
	for status, text := range map[int]string{
		http.StatusTooManyRequests: requestText("POST", "booking", "", "Content-Length", "1000000"),
		http.StatusBadRequest:      requestText("POST", "booking", "", "Content-Length", "1000000", termsHeader, ""),
	} {
		_, head := r.get(t, text+strings.Repeat("x", maxHeldBody)) // and no more: a wait for it would end in 408
		if resp := head(); resp.StatusCode != status || !resp.Close {
			t.Errorf("status %d, closed %t; want %d", resp.StatusCode, resp.Close, status)
		}
	}
	r.awaitMetrics(t, "app.handled.booking.dropped:1|c", "app.in_progress:0|g")
}

// Slow clients are told from silent ones by whether their body goes on.
func TestSlowBody(t *testing.T) {
	for name, c := range map[string]struct {
		piece int
		every time.Duration
		lost  bool
	}{
		"slow but steady": {64 << 10, time.Second, false},
		"in small pieces": {640, 10 * time.Millisecond, false},
		"in large pieces": {160 << 10, 2500 * time.Millisecond, false},
		"a byte a second": {1, time.Second, true},
		"silent":          {1 << 10, time.Minute, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, p := newPipedFrontend(t)
				client, server := net.Pipe()
				defer client.Close()
				p.conns <- server
				const length = 480 << 10
				io.WriteString(client, requestText("POST", "booking", "", "Content-Length", strconv.Itoa(length)))
				x := (<-f.loop.inbox).(requestArrived).exchange
				begun, broke := time.Now(), make(chan time.Time, 1)
				go func() {
					var a attempt
					x.upload.assign(&a)
					var err error
					for at := 0; err == nil; {
						var piece []byte
						piece, err = x.upload.next(&a, at)
						at += len(piece)
					}
					if (err != io.EOF) != c.lost {
						t.Errorf("the body ended with %v", err)
					}
					broke <- time.Now()
					x.reply <- response{status: http.StatusTooManyRequests}
				}()
				go io.Copy(io.Discard, client)
				for sent := 0; sent < length; sent += c.piece {
					if _, err := client.Write(make([]byte, min(c.piece, length-sent))); err != nil {
						break // given up
					}
					time.Sleep(c.every) // of the bubble's time
				}
				if took := (<-broke).Sub(begun); c.lost && took > 3*time.Second {
					t.Errorf("given up after %v", took)
				}
				client.Close()
				if !c.lost {
					if _, whole := (<-f.loop.inbox).(bodyComplete); !whole {
						t.Error("the loop was not told of the end")
					}
				}
			})
		})
	}
}

// A head may take 2 s.
func TestSlowHead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, p := newPipedFrontend(t)
		client, server := net.Pipe()
		defer client.Close()
		p.conns <- server
		text := requestText("GET", "lookup", "")
		for _, piece := range []string{text[:1], text[1:10], text[10 : len(text)-1]} {
			io.WriteString(client, piece)
			time.Sleep(700 * time.Millisecond) // of the bubble's time
		}
		io.WriteString(client, text[len(text)-1:])
		if _, ok := (<-f.loop.inbox).(requestArrived); !ok {
			t.Error("the request did not arrive")
		}
	})
}

// A target with an address in it goes on without.
func TestOriginForm(t *testing.T) {
	for target, want := range map[string]string{"/a/b?c=%2F": "/a/b?c=%2F", "http://x.svc/a?b": "/a?b",
		"http://x.svc": "/", "http://x.svc?b=/c": "/?b=/c", "/a?u=http://y/z": "/a?u=http://y/z"} {
		if got := originForm(target); got != want {
			t.Errorf("%s: %s, want %s", target, got, want)
		}
	}
}

// Long bodies beyond the memory for them are refused, and counted so.
func TestNoMemoryForLongBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, p := newPipedFrontend(t)
		f.metrics.bodyBudget.tryReserve(f.metrics.bodyBudget.total)
		client, server := net.Pipe()
		defer client.Close()
		p.conns <- server
		io.WriteString(client, requestText("POST", "booking", "", "Content-Length", "1000000"))
		resp, err := http.ReadResponse(bufio.NewReader(client), nil)
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
			t.Fatalf("%v %v", resp, err)
		}
		if n := f.service.Load().counts[1].dropped.Load(); n != 1 {
			t.Errorf("%d counted as dropped", n)
		}
		io.Copy(io.Discard, client) // the server closes it
	})
}

// An upload without a length goes on while it drips, and its trailer behind it.
func TestDrippingUpload(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	r := newTestGateway(t, backend)
	conn, answers := r.request(t, requestText("POST", "booking", "", "Transfer-Encoding", "chunked", "Trailer", "X-Sum")+"3\r\nabc\r\n")
	to, br := backend.accept(t)
	req, err := http.ReadRequest(br)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"abc", "de", "fg", "h"} {
		switch want {
		case "de":
			io.WriteString(conn, "4\r\nde") // the rest of the chunk comes later
		case "fg":
			io.WriteString(conn, "fg\r\n")
		case "h":
			io.WriteString(conn, "1\r\nh\r\n")
		}
		got := make([]byte, len(want))
		if _, err := io.ReadFull(req.Body, got); err != nil || string(got) != want {
			t.Fatalf("%q, %v; want %q", got, err, want)
		}
	}
	r.awaitMetrics(t, "app.transfers.up.open:1|g")
	io.WriteString(conn, "0\r\nX-Sum: 8\r\n\r\n")
	if rest, err := io.ReadAll(req.Body); err != nil || len(rest) > 0 || req.Trailer.Get("X-Sum") != "8" {
		t.Errorf("%q, %v, trailer %v", rest, err, req.Trailer)
	}
	io.WriteString(to, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	if resp := wait(t, answers, "answer"); resp.StatusCode != 200 {
		t.Errorf("status %d", resp.StatusCode)
	}
	r.awaitMetrics(t, "app.transfers.up.open:0|g", "app.transfers.up.ended.whole:1|c", "app.upstream_tries:1|c")
}

// A second request goes out on a connection whose upload has flowed to its end.
func TestStreamedUploadLeavesItsConnection(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	r := newTestGateway(t, backend)
	body := strings.Repeat("x", 2*maxHeldBody)
	conn := r.send(t, requestText("POST", "booking", body))
	to, br := backend.accept(t)
	for range 3 {
		if _, got := readRequest(t, br); string(got) != body {
			t.Fatalf("%d bytes", len(got))
		}
		io.WriteString(to, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || resp.StatusCode != 200 || resp.Close {
			t.Fatalf("%v %v", resp, err)
		}
		r.awaitMetrics(t, "app.in_progress:0|g", "app.transfers.up.open:0|g")
		io.WriteString(conn, requestText("POST", "booking", body))
	}
}
