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

// sendAndRead sends a request. The returned function reads the header of the response.
func (g *testGateway) sendAndRead(t *testing.T, text string) (net.Conn, func() *http.Response) {
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

// A backend may respond before the upload has ended. The upload then ends, the backend never
// sees a complete body, and neither connection is reused.
func TestResponseBeforeEndOfUpload(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		response string
		status   int
	}{
		"good":        {"200 OK\r\nContent-Length: 3\r\n\r\nyes", 200},
		"error":       {"500 No\r\nContent-Length: 0\r\n\r\n", 502},
		"unprocessed": {"503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", 429},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			backend := newTestServer(t)
			gateway := newTestGateway(t, backend)
			// A class without retries: a second attempt would hide the outcome of the first.
			conn, readHead := gateway.sendAndRead(t, requestText("POST", "payment", "", "Content-Length", "1000000")+strings.Repeat("x", 2*maxHeldBody))
			upstream, reader := backend.accept(t)
			req, err := http.ReadRequest(reader)
			if err != nil {
				t.Fatal(err)
			}
			io.ReadFull(req.Body, make([]byte, maxHeldBody))
			io.WriteString(upstream, "HTTP/1.1 "+test.response)
			if resp := readHead(); resp.StatusCode != test.status || !resp.Close {
				t.Errorf("status %d, want %d; close %t, want true", resp.StatusCode, test.status, resp.Close)
			}
			if _, err := io.Copy(io.Discard, req.Body); err == nil {
				t.Error("the backend took the truncated body for complete")
			}
			conn.Close()
			gateway.awaitMetrics(t, "app.transfers.up.ended.called_off:1|c", "app.transfers.up.open:0|g", "app.upstream_tries:0|c")
			if len(backend.conns) != 0 {
				t.Error("the request was retried")
			}
		})
	}
}

// A response is streamed while the upload of its request continues.
func TestResponseStreamsDuringUpload(t *testing.T) {
	t.Parallel()
	backend := newTestServer(t)
	gateway := newTestGateway(t, backend)
	conn, readHead := gateway.sendAndRead(t, requestText("POST", "booking", "", "Transfer-Encoding", "chunked")+"1\r\na\r\n")
	upstream, reader := backend.accept(t)
	req, err := http.ReadRequest(reader)
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(upstream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	resp := readHead()
	for i := range 5 {
		if i > 0 {
			io.WriteString(conn, "1\r\na\r\n")
		}
		got := make([]byte, 1)
		if _, err := io.ReadFull(req.Body, got); err != nil {
			t.Fatal(err)
		}
		io.WriteString(upstream, "1\r\nb\r\n")
		if _, err := io.ReadFull(resp.Body, got); err != nil || got[0] != 'b' {
			t.Fatalf("piece %d of the response: %q, %v; want %q", i, got, err, "b")
		}
	}
	io.WriteString(conn, "0\r\n\r\n")
	if rest, err := io.ReadAll(req.Body); err != nil || len(rest) > 0 {
		t.Errorf("end of the upload: %q, %v", rest, err)
	}
	gateway.awaitMetrics(t, "app.in_progress:1|g")
	io.WriteString(upstream, "0\r\n\r\n")
	if rest, err := io.ReadAll(resp.Body); err != nil || len(rest) > 0 {
		t.Errorf("end of the response: %q, %v", rest, err)
	}
	gateway.awaitMetrics(t, "app.handled.booking.passed:1|c", "app.in_progress:0|g", "app.upstream_tries:1|c")
}

// randomBody returns a body that depends on the seed.
func randomBody(seed uint64, size int) []byte {
	body := make([]byte, size)
	rand.NewChaCha8([32]byte{byte(seed), byte(seed >> 8)}).Read(body)
	return body
}

// writeInPieces writes the body up to end in pieces of random size, which are chunks if
// chunked is set.
func writeInPieces(w io.Writer, random *rand.Rand, body []byte, chunked bool, end int) {
	for written := 0; written < end; {
		n := min(1+random.IntN(1<<random.IntN(18)), end-written)
		if chunked {
			fmt.Fprintf(w, "%x\r\n%s\r\n", n, body[written:written+n])
		} else if _, err := w.Write(body[written : written+n]); err != nil {
			return
		}
		written += n
	}
	if chunked && end == len(body) {
		io.WriteString(w, "0\r\n\r\n")
	}
}

// Bodies of any size, framing and piece sizes pass unchanged in both directions, and a
// truncated body is never taken for a complete one.
func TestRandomBodiesPassUnchanged(t *testing.T) {
	t.Parallel()
	backend := newTestServer(t)
	gateway := newTestGateway(t, backend)
	size := func(random *rand.Rand) int { return random.IntN(1 << (1 + random.IntN(20))) }
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 2))
		upBody, downBody := randomBody(seed, size(random)), randomBody(seed+1000, size(random))
		upChunked, downChunked := random.IntN(2) == 0, random.IntN(2) == 0
		upEnd, downEnd := len(upBody), len(downBody)
		switch random.IntN(4) {
		case 0:
			upEnd = random.IntN(len(upBody) + 1)
		case 1:
			downEnd = random.IntN(len(downBody) + 1)
		}
		framing := func(chunked bool, body []byte) (string, string) {
			if chunked {
				return "Transfer-Encoding", "chunked"
			}
			return "Content-Length", strconv.Itoa(len(body))
		}
		name, value := framing(upChunked, upBody)
		conn := gateway.send(t, requestText("POST", "payment", "", name, value))
		sent := make(chan struct{})
		go func() {
			defer close(sent)
			writeInPieces(conn, rand.New(rand.NewPCG(seed, 3)), upBody, upChunked, upEnd)
			if upEnd < len(upBody) {
				conn.Close()
			}
		}()
		served := make(chan struct{})
		go func() {
			defer close(served)
			var upstream net.Conn
			select {
			case upstream = <-backend.conns:
			case <-sent: // a short truncated body reaches no backend
				if upEnd < len(upBody) && (len(upBody) <= maxHeldBody || upEnd <= maxHeldBody) {
					select {
					case upstream = <-backend.conns:
					case <-time.After(3 * maxHoldTime):
						return
					}
				} else {
					upstream = <-backend.conns
				}
			}
			defer upstream.Close()
			upstream.SetDeadline(time.Now().Add(testTimeout))
			req, err := http.ReadRequest(bufio.NewReader(upstream))
			if err != nil {
				if upEnd == len(upBody) {
					t.Errorf("seed %d: backend reads request: %v", seed, err)
				}
				return
			}
			got, err := io.ReadAll(req.Body)
			if complete := err == nil; complete != (upEnd == len(upBody)) || complete && !bytes.Equal(got, upBody) || !bytes.HasPrefix(upBody, got) {
				t.Errorf("seed %d: backend received %d bytes; client sent %d of %d; %v", seed, len(got), upEnd, len(upBody), err)
			}
			if err != nil {
				return
			}
			name, value := framing(downChunked, downBody)
			fmt.Fprintf(upstream, "HTTP/1.1 200 OK\r\nConnection: close\r\n%s: %s\r\n\r\n", name, value)
			writeInPieces(upstream, rand.New(rand.NewPCG(seed, 4)), downBody, downChunked, downEnd)
		}()
		if <-sent; upEnd == len(upBody) {
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatalf("seed %d: client reads response: %v", seed, err)
			}
			got, err := io.ReadAll(resp.Body)
			if complete := err == nil && resp.StatusCode == 200; complete != (downEnd == len(downBody)) || complete && !bytes.Equal(got, downBody) {
				t.Errorf("seed %d: status %d; client received %d bytes; backend sent %d of %d; %v", seed, resp.StatusCode, len(got), downEnd, len(downBody), err)
			}
		}
		<-served
		conn.Close()
	}
	gateway.awaitMetrics(t, "app.in_progress:0|g")
}

// A download that ends within the time of a stop completes.
func TestStopLetsStreamsEnd(t *testing.T) {
	t.Parallel()
	backend := newTestServer(t)
	gateway := newTestGateway(t, backend)
	_, readHead := gateway.sendAndRead(t, requestText("GET", "lookup", ""))
	upstream, reader := backend.accept(t)
	readRequest(t, reader)
	io.WriteString(upstream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n")
	resp := readHead()
	gateway.stop()
	gateway.awaitReadiness(t, http.StatusServiceUnavailable)
	io.WriteString(upstream, "1\r\nb\r\n0\r\n\r\n")
	if got, err := io.ReadAll(resp.Body); err != nil || string(got) != "ab" {
		t.Errorf("body %q, %v; want %q", got, err, "ab")
	}
	if err := wait(t, gateway.ended, "end"); err != nil {
		t.Errorf("gateway ended with %v", err)
	}
}

// A download that lasts longer than a stop is aborted in a way that the client notices.
func TestStopCutsStreams(t *testing.T) {
	t.Parallel()
	backend := newTestServer(t)
	gateway := newTestGatewayWith(t, func(text string) string { return strings.ReplaceAll(text, `"deadlineS": 20`, `"deadlineS": 1`) }, backend)
	_, readHead := gateway.sendAndRead(t, requestText("GET", "lookup", ""))
	upstream, reader := backend.accept(t)
	readRequest(t, reader)
	io.WriteString(upstream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n")
	resp := readHead()
	gateway.stop()
	io.WriteString(upstream, "1\r\nb\r\n")
	if got, err := io.ReadAll(resp.Body); err == nil || string(got) != "ab" {
		t.Errorf("body %q, %v; want %q and an error", got, err, "ab")
	}
	wait(t, gateway.ended, "end")
}
