package gateway

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"dunlintray/internal/gateway/body"
	"dunlintray/rules"
)

// hangingBackends are backends that answer a request with the length of its body. Requests of the class
// booking have no answer before release.
type hangingBackends struct {
	servers []*testServer
	bodies  chan string // of requests of the class booking
	release chan struct{}
}

func newHangingBackends(t *testing.T, count int) *hangingBackends {
	t.Helper()
	backends := &hangingBackends{bodies: make(chan string, 16), release: make(chan struct{})}
	for range count {
		server := newTestServer(t)
		backends.servers = append(backends.servers, server)
		go func() {
			for {
				select {
				case conn := <-server.conns:
					go backends.serve(conn)
				case <-t.Context().Done():
					return
				}
			}
		}()
	}
	return backends
}

func (b *hangingBackends) serve(conn net.Conn) {
	for reader := bufio.NewReader(conn); ; {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if strings.HasPrefix(request.URL.Path, "/booking") {
			b.bodies <- string(body)
			<-b.release
		}
		answer := fmt.Sprintf("%d bytes", len(body))
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer)
	}
}

// Guards against a second copy of a streamed request that its backend gets, and runs, without the body: the
// first copy has read it, and is still in flight. A body that is kept is sent again as a whole.
func TestSecondCopyHasTheWholeBody(t *testing.T) {
	const (
		kept        = "the start of a body, which is kept, "
		rest        = "and the rest of it, which is not"
		body        = kept + rest
		overdueWait = 300 * time.Millisecond // a second copy is due after a few milliseconds
	)
	for name, streamed := range map[string]bool{"streamed": true, "kept": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			backends := newHangingBackends(t, 2)
			gateway := newTestGatewayWith(t, allowSecondCopies, backends.servers...)
			for range 8 { // the gateway learns how long an answer takes
				_, responses := gateway.request(t, requestText("GET", "lookup", ""))
				wait(t, responses, "response")
			}
			var responses <-chan *http.Response
			if streamed {
				var conn net.Conn
				conn, responses = gateway.request(t, requestText("POST", "booking", "", "Transfer-Encoding", "chunked")+chunk(kept[:1]))
				gateway.awaitMetrics(t, "app.transfers.up.open:1|g")
				io.WriteString(conn, chunk(kept[1:])) // a read for the kept part was in progress
				gateway.awaitMetrics(t, fmt.Sprintf("app.transfers.up.bytes:%d|c", len(kept)))
				io.WriteString(conn, chunk(rest)+"0\r\n\r\n")
			} else {
				_, responses = gateway.request(t, requestText("POST", "booking", body))
			}
			if got := wait(t, backends.bodies, "first copy"); got != body {
				t.Errorf("the first copy has the body %q", got)
			}
			if !streamed {
				if got := wait(t, backends.bodies, "second copy"); got != body {
					t.Errorf("the second copy has the body %q", got)
				}
			} else {
				select {
				case got := <-backends.bodies:
					t.Errorf("a second copy has the body %q", got)
				case <-time.After(overdueWait):
				}
			}
			close(backends.release)
			response := wait(t, responses, "response")
			want := fmt.Sprintf("%d bytes", len(body))
			if text, err := io.ReadAll(response.Body); err != nil || string(text) != want {
				t.Errorf("answered %q, %v; want %q", text, err, want)
			}
		})
	}
}

// chunk returns the text as a chunk of a body.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// newTestUpload returns an upload whose first bytes are kept and whose remainder is still to be read.
func newTestUpload(kept, remainder string) *upload {
	prefix := body.NewPrefix(strings.NewReader(kept), -1, len(kept))
	if kept != "" {
		prefix.Fill()
	}
	request, _ := http.NewRequest("POST", "/booking", strings.NewReader(remainder))
	request.ContentLength = -1
	upload := &upload{request: request, length: -1, prefix: prefix,
		remainder:  &clientBody{body: request.Body, length: -1, control: http.NewResponseController(noDeadlines{}), total: &new(metrics).uploads.bytes, pace: body.Pace{MaxPause: testTimeout}},
		onConsumed: func() {}, onComplete: func(time.Time) {}}
	upload.window.Init(body.NewAccount(1<<20), 0)
	return upload
}

// noDeadlines is a response writer whose connection has no deadlines.
type noDeadlines struct{ http.ResponseWriter }

func (noDeadlines) SetReadDeadline(time.Time) error { return nil }

// Guards against an attempt that sends a part of a body as if it were the whole, and against one that takes
// the body away from its successor when it ends late.
func TestUploadIsReadByOneAttempt(t *testing.T) {
	upload, ended, current, late := newTestUpload("ab", "cd"), &attempt{}, &attempt{}, &attempt{}
	for _, sender := range []*attempt{ended, current} { // the loop has ended the first one, which still runs
		if err := upload.assign(sender); err != nil {
			t.Fatal(err)
		}
	}
	if err := upload.unassign(ended); err != nil {
		t.Fatal(err)
	}
	if _, err := upload.next(ended, len("ab")); !errors.Is(err, errTransferAborted) {
		t.Errorf("an attempt that has ended read the remainder: %v", err)
	}
	body := ""
	for err := error(nil); err == nil; {
		var piece []byte
		piece, err = upload.next(current, len(body))
		if body += string(piece); err != nil && err != io.EOF {
			t.Fatal(err)
		}
	}
	if body != "abcd" {
		t.Errorf("the attempt read %q, want the whole body", body)
	}
	if err := upload.assign(late); !errors.Is(err, errBodyConsumed) {
		t.Errorf("a body without its start was given to an attempt: %v", err)
	}
	if piece, err := upload.next(late, 0); !errors.Is(err, errBodyConsumed) {
		t.Errorf("a later attempt read %q, %v", piece, err)
	}
}

// Guards against an attempt that writes anything for a request whose body has been read. Its connection can
// be used again.
func TestAttemptWithoutItsBodyWritesNothing(t *testing.T) {
	backend := newTestServer(t)
	pools := newTestPools(t, backend.address())
	attempt := newAttempt(testTimeout)
	attempt.exchange.upload = newTestUpload("", "cd")
	reader := newAttempt(testTimeout)
	if err := attempt.exchange.upload.assign(reader); err != nil {
		t.Fatal(err)
	}
	if _, err := attempt.exchange.upload.next(reader, 0); err != nil && err != io.EOF {
		t.Fatal(err)
	}
	if got := wait(t, startAttempt(pools, attempt), "result"); got.outcome != rules.NotStarted || !errors.Is(got.err, errBodyConsumed) {
		t.Errorf("outcome %d, %v; want %d", got.outcome, got.err, rules.NotStarted)
	}
	done := startAttempt(pools, newAttempt(testTimeout))
	conn, connReader := backend.accept(t)
	if _, body := readRequest(t, connReader); string(body) != "pickup" {
		t.Errorf("the next request on the connection has the body %q", body)
	}
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	if got := wait(t, done, "result"); got.outcome != rules.Served {
		t.Errorf("the next request on the connection: outcome %d, %v", got.outcome, got.err)
	}
}

// Guards against memory that is never returned, and a request that counts as failed, when another attempt
// ends while the answer of the first is streamed.
func TestAttemptEndsBesideStreamedAnswer(t *testing.T) {
	const streamedBytes = 4 * maxHeldBody
	answers := map[string]string{
		"served": "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 20000\r\n\r\n" + strings.Repeat("y", 20000),
		"failed": "HTTP/1.1 500 Internal Server Error\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		"broken": "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 20000\r\n\r\n" + strings.Repeat("y", 10000),
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			backends := []*testServer{newTestServer(t), newTestServer(t)}
			gateway := newTestGatewayWith(t, allowSecondCopies, backends...)
			conns := make(chan net.Conn, 16)
			for _, backend := range backends {
				go answerLookups(t, backend, conns)
			}
			for range 8 { // the gateway learns how long an answer takes
				_, responses := gateway.request(t, requestText("GET", "lookup", ""))
				wait(t, responses, "response")
			}
			_, responses := gateway.request(t, requestText("POST", "booking", "body"))
			first, second := wait(t, conns, "first copy"), wait(t, conns, "second copy")
			fmt.Fprintf(second, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", streamedBytes, strings.Repeat("x", maxHeldBody))
			response := wait(t, responses, "start of the response")
			io.WriteString(first, answer)
			first.(*net.TCPConn).CloseWrite()
			awaitEnd(t, first)
			gateway.awaitMetrics(t, "app.in_progress:1|g")
			io.WriteString(second, strings.Repeat("x", streamedBytes-maxHeldBody))
			if body, err := io.ReadAll(response.Body); err != nil || len(body) != streamedBytes {
				t.Errorf("the client got %d bytes of %d, %v", len(body), streamedBytes, err)
			}
			gateway.awaitMetrics(t, "app.in_progress:0|g", "app.transfers.memory:0|g", "app.handled.booking.passed:1|c", "app.handled.booking.bad_gateway:0|c")
		})
	}
}

// allowSecondCopies changes a configuration so that a request may have two attempts in flight.
func allowSecondCopies(text string) string {
	text = strings.Replace(text, `"cancel": true`, `"cancel": true, "mayDuplicate": true`, 1)
	return strings.Replace(text, `"keyScope": "cell"`, `"keyScope": "all"`, 1)
}

// answerLookups answers requests of the class lookup. It passes the connections of others on, whose request
// has been read.
func answerLookups(t *testing.T, server *testServer, others chan<- net.Conn) {
	for {
		select {
		case conn := <-server.conns:
			go func() {
				for reader := bufio.NewReader(conn); ; {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					io.Copy(io.Discard, request.Body)
					if !strings.HasPrefix(request.URL.Path, "/lookup") {
						others <- conn
						return
					}
					io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
			}()
		case <-t.Context().Done():
			return
		}
	}
}

// awaitEnd waits until the gateway has closed its side of a connection.
func awaitEnd(t *testing.T, conn net.Conn) {
	t.Helper()
	conn.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := io.Copy(io.Discard, conn); errors.Is(err, os.ErrDeadlineExceeded) {
		t.Error("the gateway did not close the connection")
	}
}
