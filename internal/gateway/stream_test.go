package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// get sends a request and reads the head of the answer when it is asked to.
func (g *testGateway) get(t *testing.T, text string) (net.Conn, func() *http.Response) {
	t.Helper()
	conn := g.send(t, text)
	return conn, func() *http.Response {
		t.Helper()
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		return resp
	}
}

// An answer may come before the upload has ended. A good one flows beside it;
// another ends it, and its connection is not used again.
func TestEarlyAnswer(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		answer string
		status int
	}{
		"good":        {"200 OK\r\nContent-Length: 3\r\n\r\nyes", 200},
		"error":       {"500 No\r\nContent-Length: 0\r\n\r\n", 502},
		"turned away": {"503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", 429},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			backend := newPeer(t)
			r := newTestGateway(t, backend)
			// A class that runs once: a second attempt would hide what became of the first.
			conn, head := r.get(t, requestText("POST", "payment", "", "Content-Length", "1000000")+strings.Repeat("x", 2*maxHeldBody))
			to, br := backend.accept(t)
			req, err := http.ReadRequest(br)
			if err != nil {
				t.Fatal(err)
			}
			io.ReadFull(req.Body, make([]byte, maxHeldBody))
			io.WriteString(to, "HTTP/1.1 "+c.answer)
			if resp := head(); resp.StatusCode != c.status || !resp.Close {
				t.Errorf("status %d, closed %t", resp.StatusCode, resp.Close)
			}
			if _, err := io.Copy(io.Discard, req.Body); err == nil {
				t.Error("the backend took the body for whole")
			}
			conn.Close()
			r.awaitMetrics(t, "app.transfers.up.ended.called_off:1|c", "app.transfers.up.open:0|g", "app.upstream_tries:0|c")
			if len(backend.conns) != 0 {
				t.Error("sent again")
			}
		})
	}
}

// Both ways may flow at once.
func TestAnswerFlowsBesideUpload(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	r := newTestGateway(t, backend)
	conn, head := r.get(t, requestText("POST", "booking", "", "Transfer-Encoding", "chunked")+"1\r\na\r\n")
	to, br := backend.accept(t)
	req, err := http.ReadRequest(br)
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(to, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	resp := head()
	for i := range 5 {
		if i > 0 {
			io.WriteString(conn, "1\r\na\r\n")
		}
		got := make([]byte, 1)
		if _, err := io.ReadFull(req.Body, got); err != nil {
			t.Fatal(err)
		}
		io.WriteString(to, "1\r\nb\r\n")
		if _, err := io.ReadFull(resp.Body, got); err != nil || got[0] != 'b' {
			t.Fatalf("%q %v", got, err)
		}
	}
	io.WriteString(conn, "0\r\n\r\n")
	if rest, err := io.ReadAll(req.Body); err != nil || len(rest) > 0 {
		t.Errorf("%q, %v", rest, err)
	}
	r.awaitMetrics(t, "app.in_progress:1|g")
	io.WriteString(to, "0\r\n\r\n")
	if rest, err := io.ReadAll(resp.Body); err != nil || len(rest) > 0 {
		t.Errorf("%q, %v", rest, err)
	}
	r.awaitMetrics(t, "app.handled.booking.passed:1|c", "app.in_progress:0|g", "app.upstream_tries:1|c")
}

// noise gives a body of its own for each seed.
func noise(seed uint64, size int) []byte {
	body := make([]byte, size)
	rand.NewChaCha8([32]byte{byte(seed), byte(seed >> 8)}).Read(body)
	return body
}

// inPieces writes a body in random pieces, in chunks or not, and stops where it is
// told to.
func inPieces(w io.Writer, random *rand.Rand, body []byte, chunked bool, until int) {
	for at := 0; at < until; {
		n := min(1+random.IntN(1<<random.IntN(18)), until-at)
		if chunked {
			fmt.Fprintf(w, "%x\r\n%s\r\n", n, body[at:at+n])
		} else if _, err := w.Write(body[at : at+n]); err != nil {
			return
		}
		at += n
	}
	if chunked && until == len(body) {
		io.WriteString(w, "0\r\n\r\n")
	}
}

// Whatever its size, its framing and the pieces in which it comes, a body passes
// to the byte, and one that breaks never passes for whole.
func TestRandomBodies(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	r := newTestGateway(t, backend)
	size := func(random *rand.Rand) int { return random.IntN(1 << (1 + random.IntN(20))) }
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 2))
		up, down := noise(seed, size(random)), noise(seed+1000, size(random))
		upChunked, downChunked := random.IntN(2) == 0, random.IntN(2) == 0
		upTo, downTo := len(up), len(down)
		switch random.IntN(4) {
		case 0:
			upTo = random.IntN(len(up) + 1)
		case 1:
			downTo = random.IntN(len(down) + 1)
		}
		head := func(chunked bool, body []byte) (string, string) {
			if chunked {
				return "Transfer-Encoding", "chunked"
			}
			return "Content-Length", strconv.Itoa(len(body))
		}
		name, value := head(upChunked, up)
		conn := r.send(t, requestText("POST", "payment", "", name, value))
		sent := make(chan struct{})
		go func() {
			defer close(sent)
			inPieces(conn, rand.New(rand.NewPCG(seed, 3)), up, upChunked, upTo)
			if upTo < len(up) {
				conn.Close()
			}
		}()
		served := make(chan struct{})
		go func() {
			defer close(served)
			var to net.Conn
			select {
			case to = <-backend.conns:
			case <-sent: // a short one that breaks reaches nobody
				if upTo < len(up) && (len(up) <= maxHeldBody || upTo <= maxHeldBody) {
					select {
					case to = <-backend.conns:
					case <-time.After(3 * maxHoldTime):
						return
					}
				} else {
					to = <-backend.conns
				}
			}
			defer to.Close()
			to.SetDeadline(time.Now().Add(testTimeout))
			req, err := http.ReadRequest(bufio.NewReader(to))
			if err != nil {
				if upTo == len(up) {
					t.Errorf("seed %d: %v", seed, err)
				}
				return
			}
			got, err := io.ReadAll(req.Body)
			if whole := err == nil; whole != (upTo == len(up)) || whole && !bytes.Equal(got, up) || !bytes.HasPrefix(up, got) {
				t.Errorf("seed %d: %d bytes of %d of %d came up, %v", seed, len(got), upTo, len(up), err)
			}
			if err != nil {
				return
			}
			name, value := head(downChunked, down)
			fmt.Fprintf(to, "HTTP/1.1 200 OK\r\nConnection: close\r\n%s: %s\r\n\r\n", name, value)
			inPieces(to, rand.New(rand.NewPCG(seed, 4)), down, downChunked, downTo)
		}()
		if <-sent; upTo == len(up) {
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			got, err := io.ReadAll(resp.Body)
			if whole := err == nil && resp.StatusCode == 200; whole != (downTo == len(down)) || whole && !bytes.Equal(got, down) {
				t.Errorf("seed %d: status %d, %d bytes of %d of %d came down, %v", seed, resp.StatusCode, len(got), downTo, len(down), err)
			}
		}
		<-served
		conn.Close()
	}
	r.awaitMetrics(t, "app.in_progress:0|g")
}

// A transfer that ends in the time that a stop leaves ends whole.
func TestStopLetsStreamsEnd(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	r := newTestGateway(t, backend)
	_, head := r.get(t, requestText("GET", "lookup", ""))
	to, br := backend.accept(t)
	readRequest(t, br)
	io.WriteString(to, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n")
	resp := head()
	r.stop()
	r.awaitReadiness(t, http.StatusServiceUnavailable)
	io.WriteString(to, "1\r\nb\r\n0\r\n\r\n")
	if got, err := io.ReadAll(resp.Body); err != nil || string(got) != "ab" {
		t.Errorf("%q, %v", got, err)
	}
	if err := wait(t, r.ended, "end"); err != nil {
		t.Errorf("ended with %v", err)
	}
}

// A stop cuts what is still flowing at its end, so that the client can tell.
func TestStopCutsStreams(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	r := newTestGatewayWith(t, func(text string) string { return strings.ReplaceAll(text, `"deadlineS": 20`, `"deadlineS": 1`) }, backend)
	_, head := r.get(t, requestText("GET", "lookup", ""))
	to, br := backend.accept(t)
	readRequest(t, br)
	io.WriteString(to, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n")
	resp := head()
	r.stop()
	io.WriteString(to, "1\r\nb\r\n")
	if got, err := io.ReadAll(resp.Body); err == nil || string(got) != "ab" {
		t.Errorf("%q, %v", got, err)
	}
	wait(t, r.ended, "end")
}
