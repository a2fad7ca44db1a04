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

	"dunlintray/internal/gateway/body"
)

// A long body is streamed to the backend while it arrives. Its request is accepted only with
// the last byte.
func TestLongUploadIsStreamed(t *testing.T) {
	t.Parallel()
	body := strings.Repeat("0123456789abcdef", 4*maxHeldBody/16)
	for name, chunked := range map[string]bool{"of known length": false, "in chunks": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			backend := newTestServer(t)
			gateway := newTestGateway(t, backend)
			name, value, piece, tail := "Content-Length", strconv.Itoa(len(body)), func(s string) string { return s }, ""
			if chunked {
				name, value = "Transfer-Encoding", "chunked"
				piece = func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
				tail = "0\r\nX-Sum: 1\r\n\r\n"
			}
			conn, readHead := gateway.sendAndRead(t, requestText("POST", "booking", "", name, value, "Expect", "100-continue"))
			if resp := readHead(); resp.StatusCode != http.StatusContinue {
				t.Errorf("status %d before the body, want 100", resp.StatusCode)
			}
			io.WriteString(conn, piece(body[:2*maxHeldBody]))
			_, reader := backend.accept(t)
			req, err := http.ReadRequest(reader)
			if err != nil {
				t.Fatal(err)
			}
			start := make([]byte, maxHeldBody) // before the client has sent more
			if _, err := io.ReadFull(req.Body, start); err != nil {
				t.Fatal(err)
			}
			gateway.awaitMetrics(t, "app.in_progress:0|g", "app.upstream_tries:0|c")
			io.WriteString(conn, piece(body[2*maxHeldBody:])+tail)
			rest, err := io.ReadAll(req.Body)
			if err != nil || string(start)+string(rest) != body {
				t.Errorf("backend received %d bytes of %d, %v", len(start)+len(rest), len(body), err)
			}
			gateway.awaitMetrics(t, "app.in_progress:1|g", "app.upstream_tries:1|c")
		})
	}
}

// A truncated upload is no request: no backend receives it complete, it is not retried, and
// the backend is not blamed.
func TestTruncatedUploadIsNotRetried(t *testing.T) {
	t.Parallel()
	backend := newTestServer(t)
	gateway := newTestGateway(t, backend)
	conn, _ := gateway.sendAndRead(t, requestText("POST", "booking", "", "Content-Length", "1000000")+strings.Repeat("x", 2*maxHeldBody))
	_, reader := backend.accept(t)
	req, err := http.ReadRequest(reader)
	if err != nil {
		t.Fatal(err)
	}
	io.ReadFull(req.Body, make([]byte, maxHeldBody))
	conn.Close()
	if _, err := io.ReadAll(req.Body); err == nil {
		t.Error("the backend received a complete request")
	}
	gateway.awaitMetrics(t, "app.in_progress:0|g", "app.upstream_tries:0|c", "app.skipped_backends:0|g")
	if len(backend.conns) != 0 {
		t.Error("the request was retried")
	}
}

// A request that is rejected before the end of its body gets its response at once, and its
// connection is closed.
func TestRejectionBeforeEndOfUpload(t *testing.T) {
	t.Parallel()
	gateway := newTestGatewayWith(t, func(text string) string {
		return strings.Replace(text, `"name": "booking", "objectiveS": 10`, `"name": "booking", "objectiveS": 0.2`, 1)
	}) // no backend
	for status, text := range map[int]string{
		http.StatusTooManyRequests: requestText("POST", "booking", "", "Content-Length", "1000000"),
		http.StatusBadRequest:      requestText("POST", "booking", "", "Content-Length", "1000000", termsHeader, ""),
	} {
		_, readHead := gateway.sendAndRead(t, text+strings.Repeat("x", maxHeldBody)) // a wait for the remainder would end in 408
		if resp := readHead(); resp.StatusCode != status || !resp.Close {
			t.Errorf("status %d, close %t; want %d, true", resp.StatusCode, resp.Close, status)
		}
	}
	gateway.awaitMetrics(t, "app.handled.booking.dropped:1|c", "app.in_progress:0|g")
}

// An upload that stalls or falls below the minimum rate is aborted; a slow one is not.
func TestStalledUploadIsAborted(t *testing.T) {
	for name, test := range map[string]struct {
		piece    int
		interval time.Duration
		aborted  bool
	}{
		"slow but steady": {64 << 10, time.Second, false},
		"in small pieces": {640, 10 * time.Millisecond, false},
		"in large pieces": {160 << 10, 2500 * time.Millisecond, false},
		"a byte a second": {1, time.Second, true},
		"stalled":         {1 << 10, time.Minute, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				front, listener := newPipedFrontend(t)
				client, server := net.Pipe()
				defer client.Close()
				listener.conns <- server
				const length = 480 << 10
				io.WriteString(client, requestText("POST", "booking", "", "Content-Length", strconv.Itoa(length)))
				exchange := (<-front.loop.inbox).(requestArrived).exchange
				start, ended := time.Now(), make(chan time.Time, 1)
				go func() {
					var attempt attempt
					err := exchange.upload.assign(&attempt)
					for offset := 0; err == nil; {
						var piece []byte
						piece, err = exchange.upload.next(&attempt, offset)
						offset += len(piece)
					}
					if (err != io.EOF) != test.aborted {
						t.Errorf("the body ended with %v, want an abort: %t", err, test.aborted)
					}
					ended <- time.Now()
					exchange.responses <- response{status: http.StatusTooManyRequests}
				}()
				go io.Copy(io.Discard, client)
				for sent := 0; sent < length; sent += test.piece {
					if _, err := client.Write(make([]byte, min(test.piece, length-sent))); err != nil {
						break // aborted
					}
					time.Sleep(test.interval) // synctest time
				}
				if took := (<-ended).Sub(start); test.aborted && took > 3*time.Second {
					t.Errorf("aborted after %v, want at most 3s", took)
				}
				client.Close()
				if !test.aborted {
					if _, consumed := (<-front.loop.inbox).(bodyConsumed); !consumed {
						t.Error("the loop did not receive bodyConsumed")
					}
					if _, complete := (<-front.loop.inbox).(bodyComplete); !complete {
						t.Error("the loop did not receive bodyComplete")
					}
				}
			})
		})
	}
}

// A request whose header takes 2 s to arrive is accepted.
func TestSlowHeaderIsAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		front, listener := newPipedFrontend(t)
		client, server := net.Pipe()
		defer client.Close()
		listener.conns <- server
		text := requestText("GET", "lookup", "")
		for _, piece := range []string{text[:1], text[1:10], text[10 : len(text)-1]} {
			io.WriteString(client, piece)
			time.Sleep(700 * time.Millisecond) // synctest time
		}
		io.WriteString(client, text[len(text)-1:])
		if _, ok := (<-front.loop.inbox).(requestArrived); !ok {
			t.Error("the request did not arrive")
		}
	})
}

// A request target in absolute form is forwarded in origin form.
func TestOriginForm(t *testing.T) {
	for target, want := range map[string]string{"/a/b?c=%2F": "/a/b?c=%2F", "http://x.svc/a?b": "/a?b",
		"http://x.svc": "/", "http://x.svc?b=/c": "/?b=/c", "/a?u=http://y/z": "/a?u=http://y/z"} {
		if got := originForm(target); got != want {
			t.Errorf("originForm(%q) = %q, want %q", target, got, want)
		}
	}
}

// A long body for which there is no memory is rejected with 503 and counted as dropped.
func TestUploadWithoutMemoryIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		front, listener := newPipedFrontend(t)
		defer front.metrics.bodies.TryReserve(body.RequestStart, front.metrics.bodies.Total()).Release()
		client, server := net.Pipe()
		defer client.Close()
		listener.conns <- server
		io.WriteString(client, requestText("POST", "booking", "", "Content-Length", "1000000"))
		resp, err := http.ReadResponse(bufio.NewReader(client), nil)
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
			t.Fatalf("response %v, %v; want 503 and a close", resp, err)
		}
		if dropped := front.service.Load().counts[1].dropped.Load(); dropped != 1 {
			t.Errorf("%d requests counted as dropped, want 1", dropped)
		}
		io.Copy(io.Discard, client) // until the server closes the connection
	})
}

// Guards against a request that waits for memory of others beyond the time that its client has left.
func TestBodyWaitsForMemoryNoLongerThanItsClient(t *testing.T) {
	for name, framing := range map[string][2]string{"of known length": {"Content-Length", "8000"}, "in chunks": {"Transfer-Encoding", "chunked"}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const timeLeft = 480 * time.Millisecond
				front, listener := newPipedFrontend(t)
				defer front.metrics.bodies.TryReserve(body.RequestStart, front.metrics.bodies.Total()).Release()
				client, server := net.Pipe()
				defer client.Close()
				listener.conns <- server
				start := time.Now()
				io.WriteString(client, requestText("POST", "booking", "", framing[0], framing[1], timeLeftHeader, strconv.FormatInt(timeLeft.Milliseconds(), 10)))
				resp, err := http.ReadResponse(bufio.NewReader(client), nil)
				if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
					t.Fatalf("response %v, %v; want 503 with Retry-After", resp, err)
				}
				if took := time.Since(start); took > timeLeft {
					t.Errorf("rejected after %v, want at most %v", took, timeLeft)
				}
				io.Copy(io.Discard, client) // until the server closes the connection
			})
		})
	}
}

// A slow upload of unknown length is streamed piece by piece, and its trailer after it.
func TestSlowChunkedUploadIsStreamed(t *testing.T) {
	t.Parallel()
	backend := newTestServer(t)
	gateway := newTestGateway(t, backend)
	conn, responses := gateway.request(t, requestText("POST", "booking", "", "Transfer-Encoding", "chunked", "Trailer", "X-Sum")+"3\r\nabc\r\n")
	upstream, reader := backend.accept(t)
	req, err := http.ReadRequest(reader)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"abc", "de", "fg", "h"} {
		switch want {
		case "de":
			io.WriteString(conn, "4\r\nde") // the rest of the chunk follows later
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
	gateway.awaitMetrics(t, "app.transfers.up.open:1|g")
	io.WriteString(conn, "0\r\nX-Sum: 8\r\n\r\n")
	if rest, err := io.ReadAll(req.Body); err != nil || len(rest) > 0 || req.Trailer.Get("X-Sum") != "8" {
		t.Errorf("end of the body: %q, %v, trailer %v", rest, err, req.Trailer)
	}
	io.WriteString(upstream, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	if resp := wait(t, responses, "response"); resp.StatusCode != 200 {
		t.Errorf("status %d, want 200", resp.StatusCode)
	}
	gateway.awaitMetrics(t, "app.transfers.up.open:0|g", "app.transfers.up.ended.whole:1|c", "app.upstream_tries:1|c")
}

// Both connections are reused after a streamed upload has completed.
func TestConnectionIsReusedAfterStreamedUpload(t *testing.T) {
	t.Parallel()
	backend := newTestServer(t)
	gateway := newTestGateway(t, backend)
	body := strings.Repeat("x", 2*maxHeldBody)
	conn := gateway.send(t, requestText("POST", "booking", body))
	upstream, reader := backend.accept(t)
	for range 3 {
		if _, got := readRequest(t, reader); string(got) != body {
			t.Fatalf("backend received %d bytes, want %d", len(got), len(body))
		}
		io.WriteString(upstream, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || resp.StatusCode != 200 || resp.Close {
			t.Fatalf("response %v, %v; want 200 without a close", resp, err)
		}
		gateway.awaitMetrics(t, "app.in_progress:0|g", "app.transfers.up.open:0|g")
		io.WriteString(conn, requestText("POST", "booking", body))
	}
}
