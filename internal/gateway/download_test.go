package gateway

import (
	"bufio"
	"bytes"
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
	"dunlintray/rules"
)

// A long response is streamed to the client while the backend sends it, unchanged and in any
// framing.
func TestLongDownloadIsStreamed(t *testing.T) {
	t.Parallel()
	body := bytes.Repeat([]byte("0123456789abcdef"), 20*maxHeldBody/16)
	for name, test := range map[string]struct {
		head, tail string
		piece      func([]byte) string
	}{
		"of known length": {"Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n", "",
			func(b []byte) string { return string(b) }},
		"in chunks, with a trailer": {"Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n", "0\r\nX-Sum: 1\r\n\r\n",
			func(b []byte) string { return fmt.Sprintf("%x;a=b\r\n%s\r\n", len(b), b) }},
		"to the end of the connection": {"Connection: close\r\n\r\n", "", func(b []byte) string { return string(b) }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			backend := newTestServer(t)
			gateway := newTestGateway(t, backend)
			_, readHead := gateway.sendAndRead(t, requestText("GET", "lookup", ""))
			upstream, reader := backend.accept(t)
			readRequest(t, reader)
			io.WriteString(upstream, "HTTP/1.1 200 OK\r\n"+test.head+test.piece(body[:2*maxHeldBody]))
			resp := readHead()
			start := make([]byte, 2*maxHeldBody)
			if _, err := io.ReadFull(resp.Body, start); err != nil { // before the backend sends more
				t.Fatal(err)
			}
			gateway.awaitMetrics(t, "app.in_progress:1|g", "app.handled.lookup.passed:0|c")
			go func() {
				for rest := body[2*maxHeldBody:]; len(rest) > 0; rest = rest[maxHeldBody:] {
					io.WriteString(upstream, test.piece(rest[:maxHeldBody]))
				}
				io.WriteString(upstream, test.tail)
				if strings.Contains(test.head, "close") {
					upstream.Close()
				}
			}()
			rest, err := io.ReadAll(resp.Body)
			if err != nil || !bytes.Equal(append(start, rest...), body) {
				t.Errorf("client received %d bytes of %d, %v", len(start)+len(rest), len(body), err)
			}
			gateway.awaitMetrics(t, "app.in_progress:0|g", "app.handled.lookup.passed:1|c", "app.upstream_tries:1|c")
		})
	}
}

// A response that breaks off after its start was sent is not retried, and the client can tell
// that it is truncated.
func TestTruncatedDownloadIsNotRetried(t *testing.T) {
	t.Parallel()
	for _, head := range []string{"Content-Length: 1000000", "Transfer-Encoding: chunked"} {
		backend := newTestServer(t)
		gateway := newTestGateway(t, backend)
		_, readHead := gateway.sendAndRead(t, requestText("GET", "lookup", ""))
		upstream, reader := backend.accept(t)
		readRequest(t, reader)
		fmt.Fprintf(upstream, "HTTP/1.1 200 OK\r\n%s\r\n\r\n20000\r\n%s", head, strings.Repeat("x", 2*maxHeldBody))
		resp := readHead()
		if _, err := io.ReadFull(resp.Body, make([]byte, maxHeldBody)); err != nil {
			t.Fatal(err)
		}
		upstream.Close()
		if rest, err := io.ReadAll(resp.Body); err == nil {
			t.Errorf("%s: a truncated body was taken for complete after %d more bytes", head, len(rest))
		}
		gateway.awaitMetrics(t, "app.handled.lookup.bad_gateway:1|c", "app.in_progress:0|g", "app.upstream_tries:1|c")
		if len(backend.conns) != 0 {
			t.Errorf("%s: the request was retried", head)
		}
	}
}

// A client that disconnects during its response frees the backend connection.
func TestDisconnectDuringDownloadFreesBackend(t *testing.T) {
	t.Parallel()
	backend := newTestServer(t)
	gateway := newTestGateway(t, backend)
	conn, readHead := gateway.sendAndRead(t, requestText("GET", "lookup", ""))
	upstream, reader := backend.accept(t)
	readRequest(t, reader)
	fmt.Fprintf(upstream, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 32<<20, strings.Repeat("x", maxHeldBody))
	readHead()
	conn.Close()
	for {
		if _, err := io.WriteString(upstream, strings.Repeat("x", maxHeldBody)); err != nil {
			break // the gateway has closed
		}
	}
	gateway.awaitMetrics(t, "app.in_progress:0|g")
}

// A slow response is streamed piece by piece: the header before the first event, and each
// event before the next is sent.
func TestSlowChunkedDownloadIsStreamed(t *testing.T) {
	t.Parallel()
	backend := newTestServer(t)
	gateway := newTestGateway(t, backend)
	_, readHead := gateway.sendAndRead(t, requestText("GET", "lookup", ""))
	upstream, reader := backend.accept(t)
	readRequest(t, reader)
	io.WriteString(upstream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n\r\n")
	resp := readHead()
	for _, event := range []string{"data: 1\n\n", "data: two\n\n", "data: 3\n\n"} {
		half := len(event) / 2
		fmt.Fprintf(upstream, "%x\r\n%s", len(event), event[:half])
		for _, want := range []string{event[:half], event[half:]} {
			got := make([]byte, len(want))
			if _, err := io.ReadFull(resp.Body, got); err != nil || string(got) != want {
				t.Fatalf("%q, %v; want %q", got, err, want)
			}
			if want == event[:half] {
				io.WriteString(upstream, event[half:]+"\r\n")
			}
		}
	}
	gateway.awaitMetrics(t, "app.transfers.down.open:1|g", "app.transfers.memory:0|g")
	io.WriteString(upstream, "0\r\n\r\n")
	if rest, err := io.ReadAll(resp.Body); err != nil || len(rest) > 0 {
		t.Errorf("end of the body: %q, %v", rest, err)
	}
	gateway.awaitMetrics(t, "app.transfers.down.open:0|g", "app.transfers.down.ended.whole:1|c", "app.handled.lookup.passed:1|c")
}

// A response that breaks off while it is still held is retried.
func TestTruncatedHeldResponseIsRetried(t *testing.T) {
	t.Parallel()
	for _, framing := range []string{"Content-Length: 20", "Transfer-Encoding: chunked"} {
		backend := newTestServer(t)
		gateway := newTestGateway(t, backend)
		_, responses := gateway.request(t, requestText("GET", "lookup", ""))
		upstream, reader := backend.accept(t)
		readRequest(t, reader)
		io.WriteString(upstream, "HTTP/1.1 200 OK\r\n"+framing+"\r\n\r\n14\r\nabc")
		upstream.Close()
		serveOne(t, backend, "whole")
		if resp := wait(t, responses, "response"); resp.StatusCode != 200 {
			t.Errorf("%s: status %d, want 200", framing, resp.StatusCode)
		}
	}
}

// Responses without a body, and trailers, pass unchanged, and both connections are reused.
func TestResponseFormsPassUnchanged(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		request, response string
		check             func(*http.Response, string) bool
	}{
		"HEAD": {requestText("HEAD", "lookup", ""), "200 OK\r\nContent-Length: 1234567\r\n\r\n",
			func(resp *http.Response, body string) bool {
				return resp.StatusCode == 200 && resp.ContentLength == 1234567
			}},
		"no content": {requestText("GET", "lookup", ""), "204 No Content\r\nX-A: b\r\n\r\n",
			func(resp *http.Response, body string) bool {
				return resp.StatusCode == 204 && resp.Header.Get("X-A") == "b"
			}},
		"not modified": {requestText("GET", "lookup", "", "If-None-Match", `"1"`), "304 Not Modified\r\nETag: \"1\"\r\n\r\n",
			func(resp *http.Response, body string) bool {
				return resp.StatusCode == 304 && resp.Header.Get("ETag") == `"1"`
			}},
		"a trailer": {requestText("GET", "lookup", ""), "200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX-Sum: 3\r\n\r\n",
			func(resp *http.Response, body string) bool { return body == "abc" && resp.Trailer.Get("X-Sum") == "3" }},
		"a trailer after a long body": {requestText("GET", "lookup", ""), "200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n20000\r\n" +
			strings.Repeat("x", 2*maxHeldBody) + "\r\n0\r\nX-Sum: 3\r\n\r\n",
			func(resp *http.Response, body string) bool {
				return len(body) == 2*maxHeldBody && resp.Trailer.Get("X-Sum") == "3"
			}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			backend := newTestServer(t)
			gateway := newTestGateway(t, backend)
			conn := gateway.send(t, test.request)
			for range 2 { // twice on the same connections
				upstream, reader := backend.accept(t)
				req, _ := readRequest(t, reader)
				io.WriteString(upstream, "HTTP/1.1 "+test.response)
				resp, err := http.ReadResponse(bufio.NewReader(conn), req)
				if err != nil {
					t.Fatal(err)
				}
				body, err := io.ReadAll(resp.Body)
				if err != nil || !test.check(resp, string(body)) {
					t.Errorf("unexpected response %v with a body of %d bytes, %v", resp, len(body), err)
				}
				gateway.awaitMetrics(t, "app.in_progress:0|g")
				backend.conns <- upstream
				io.WriteString(conn, test.request)
			}
		})
	}
}

// An interim response is forwarded at once and does not replace the final one.
func TestInterimResponses(t *testing.T) {
	t.Parallel()
	backend := newTestServer(t)
	gateway := newTestGateway(t, backend)
	conn := gateway.send(t, requestText("GET", "lookup", ""))
	upstream, reader := backend.accept(t)
	readRequest(t, reader)
	io.WriteString(upstream, "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")
	clientReader := bufio.NewReader(conn)
	if resp, err := http.ReadResponse(clientReader, nil); err != nil || resp.StatusCode != 103 || resp.Header.Get("Link") != "</a>" {
		t.Fatalf("interim response %v, %v; want 103 with a Link", resp, err)
	}
	io.WriteString(upstream, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	if resp, err := http.ReadResponse(clientReader, nil); err != nil || resp.StatusCode != 200 || resp.Header.Get("Link") != "" {
		t.Fatalf("final response %v, %v; want 200 without a Link", resp, err)
	}
}

// A request with an ambiguous or invalid length is rejected and its connection closed. A response
// with an ambiguous length or too many fields fails and is not retried, since the request may have run.
func TestAmbiguousLengthIsRejected(t *testing.T) {
	t.Parallel()
	backend := newTestServer(t)
	gateway := newTestGateway(t, backend)
	for name, text := range map[string]string{
		"a length and chunks": requestText("POST", "booking", "", "Content-Length", "5", "Transfer-Encoding", "chunked") + "0\r\n\r\n",
		"the length twice":    strings.Replace(requestText("POST", "booking", "hello"), "Content-Length", "Content-Length: 5\r\nContent-Length", 1),
		"a bad chunk size":    requestText("POST", "booking", "", "Transfer-Encoding", "chunked") + "-1\r\n\r\n",
		"endless extensions":  requestText("POST", "booking", "", "Transfer-Encoding", "chunked") + "1;" + strings.Repeat("x", 8<<10) + "\r\na\r\n0\r\n\r\n",
		"endless trailers": requestText("POST", "booking", "", "Transfer-Encoding", "chunked") + "0\r\n" +
			strings.Repeat("X: "+strings.Repeat("x", 1000)+"\r\n", 10) + "\r\n",
	} {
		_, responses := gateway.request(t, text)
		if resp := wait(t, responses, "response to "+name); resp.StatusCode != 400 || !resp.Close {
			t.Errorf("%s: status %d, close %t; want 400, true", name, resp.StatusCode, resp.Close)
		}
	}
	if len(backend.conns) != 0 {
		t.Error("a rejected request reached the backend")
	}
	for _, response := range []string{"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"Content-Length: 2\r\nContent-Length: 2\r\n\r\nok", "Content-Length: 2\r\n" + strings.Repeat("X:\r\n", maxHeaderFields) + "\r\nok"} {
		_, responses := gateway.request(t, requestText("POST", "payment", "x"))
		upstream, reader := backend.accept(t)
		readRequest(t, reader)
		io.WriteString(upstream, "HTTP/1.1 200 OK\r\n"+response)
		if resp := wait(t, responses, "response"); resp.StatusCode != 502 || len(backend.conns) != 0 {
			t.Errorf("status %d for %q, want 502; retried %t", resp.StatusCode, response, len(backend.conns) != 0)
		}
	}
}

// An HTTP/1.0 client takes the close of the connection for the end of the response, so a
// truncated response must end with a reset.
func TestTruncatedDownloadResetsHTTP10(t *testing.T) {
	t.Parallel()
	backend := newTestServer(t)
	gateway := newTestGateway(t, backend)
	_, readHead := gateway.sendAndRead(t, strings.Replace(requestText("GET", "lookup", ""), "HTTP/1.1", "HTTP/1.0", 1))
	upstream, reader := backend.accept(t)
	readRequest(t, reader)
	io.WriteString(upstream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
	resp := readHead()
	if _, err := io.ReadFull(resp.Body, make([]byte, 3)); err != nil {
		t.Fatal(err)
	}
	upstream.Close()
	if _, err := io.ReadAll(resp.Body); err == nil {
		t.Error("a truncated response was taken for complete")
	}
}

// A client that stops reading its response, or reads too slowly, is disconnected within 30 s;
// a slow one is not.
func TestStalledReaderIsDisconnected(t *testing.T) {
	for name, test := range map[string]struct {
		interval     time.Duration // for 1 kB
		disconnected bool
	}{"slow": {200 * time.Millisecond, false}, "below the minimum rate": {8 * time.Second, true}, "stalled": {time.Hour, true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				front, listener := newPipedFrontend(t)
				client, server := net.Pipe()
				defer client.Close()
				listener.conns <- server
				io.WriteString(client, requestText("GET", "lookup", ""))
				exchange := (<-front.loop.inbox).(requestArrived).exchange
				near, far := net.Pipe()
				conn := newBackendConn(near, nil)
				conn.beginRequest()
				conn.remaining.N = noReadLimit
				go func() {
					io.WriteString(far, "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n")
					far.Write(make([]byte, 100000))
				}()
				resp, err := http.ReadResponse(conn.reader, nil)
				if err != nil {
					t.Fatal(err)
				}
				download := &download{body: resp.Body, length: 100000, conn: conn, prefix: body.NewPrefix(resp.Body, 100000, 0),
					metrics: front.metrics, done: make(chan rules.Outcome, 1)}
				download.window.Init(front.metrics.bodies, 0)
				exchange.responses <- response{status: 200, fromBackend: true, header: resp.Header, length: 100000, download: download}
				start, readerDone := time.Now(), make(chan struct{})
				go func() {
					defer close(readerDone)
					for buffer := make([]byte, 1000); ; {
						time.Sleep(test.interval) // synctest time
						if _, err := io.ReadFull(client, buffer); err != nil {
							return
						}
					}
				}()
				outcome := <-download.done
				if disconnected := outcome != rules.Served; disconnected != test.disconnected {
					t.Errorf("outcome %d after %v, want a disconnect: %t", outcome, time.Since(start), test.disconnected)
				}
				if took := time.Since(start); test.disconnected && took > 30*time.Second {
					t.Errorf("disconnected after %v, want at most 30s", took)
				}
				near.Close()
				far.Close()
				client.Close()
				<-readerDone
			})
		})
	}
}

// Guards against long answers that are cut off while their backend still writes them, however slowly.
func TestSlowlyWrittenResponseIsComplete(t *testing.T) {
	const pieces = 60
	for name, test := range map[string]struct {
		head, end string
		interval  time.Duration
	}{
		"with a length": {"Content-Length: 60\r\n\r\n", "", 5 * time.Second},
		"in chunks":     {"Transfer-Encoding: chunked\r\n\r\n3c\r\n", "\r\n0\r\n\r\n", 9 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				front, listener := newPipedFrontend(t)
				client, server := net.Pipe()
				defer client.Close()
				listener.conns <- server
				io.WriteString(client, requestText("GET", "lookup", ""))
				exchange := (<-front.loop.inbox).(requestArrived).exchange
				near, far := net.Pipe()
				conn := newBackendConn(near, nil)
				conn.beginRequest()
				conn.remaining.N = noReadLimit
				written := make(chan struct{})
				go func() {
					defer close(written)
					io.WriteString(far, "HTTP/1.1 200 OK\r\n"+test.head)
					for range pieces {
						time.Sleep(test.interval) // synctest time
						io.WriteString(far, "x")
					}
					time.Sleep(test.interval)
					io.WriteString(far, test.end)
				}()
				resp, err := http.ReadResponse(conn.reader, nil)
				if err != nil {
					t.Fatal(err)
				}
				download := &download{body: resp.Body, length: resp.ContentLength, conn: conn, prefix: body.NewPrefix(resp.Body, resp.ContentLength, 0),
					metrics: front.metrics, done: make(chan rules.Outcome, 1)}
				download.window.Init(front.metrics.bodies, 0)
				if resp.ContentLength < 0 {
					download.chunked = &chunkedReader{reader: conn.reader}
					download.body = download.chunked
					download.prefix = body.NewPrefix(download.body, -1, 0)
				}
				exchange.responses <- response{status: 200, fromBackend: true, header: resp.Header, length: resp.ContentLength, download: download}
				received, err := http.ReadResponse(bufio.NewReader(client), nil)
				if err != nil {
					t.Fatal(err)
				}
				if body, err := io.ReadAll(received.Body); len(body) != pieces || err != nil {
					t.Errorf("%d bytes of %d, %v", len(body), pieces, err)
				}
				if outcome := <-download.done; outcome != rules.Served {
					t.Errorf("outcome %d", outcome)
				}
				near.Close()
				far.Close()
				<-written
			})
		})
	}
}
