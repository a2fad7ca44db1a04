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

	"dunlintray/rules"
)

// A long answer reaches the client while the backend still gives it, in any
// framing, and unchanged.
func TestLongAnswerGoesOnAsItComes(t *testing.T) {
	t.Parallel()
	whole := bytes.Repeat([]byte("0123456789abcdef"), 20*maxHeldBody/16)
	for name, c := range map[string]struct {
		head, tail string
		piece      func([]byte) string
	}{
		"of known length": {"Content-Length: " + strconv.Itoa(len(whole)) + "\r\n\r\n", "",
			func(b []byte) string { return string(b) }},
		"in chunks, with a trailer": {"Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n", "0\r\nX-Sum: 1\r\n\r\n",
			func(b []byte) string { return fmt.Sprintf("%x;a=b\r\n%s\r\n", len(b), b) }},
		"to the end of the connection": {"Connection: close\r\n\r\n", "", func(b []byte) string { return string(b) }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			backend := newPeer(t)
			r := newTestGateway(t, backend)
			_, head := r.get(t, requestText("GET", "lookup", ""))
			to, br := backend.accept(t)
			readRequest(t, br)
			io.WriteString(to, "HTTP/1.1 200 OK\r\n"+c.head+c.piece(whole[:2*maxHeldBody]))
			resp := head()
			start := make([]byte, 2*maxHeldBody)
			if _, err := io.ReadFull(resp.Body, start); err != nil { // before the backend has given more
				t.Fatal(err)
			}
			r.awaitMetrics(t, "app.in_progress:1|g", "app.handled.lookup.passed:0|c")
			go func() {
				for rest := whole[2*maxHeldBody:]; len(rest) > 0; rest = rest[maxHeldBody:] {
					io.WriteString(to, c.piece(rest[:maxHeldBody]))
				}
				io.WriteString(to, c.tail)
				if strings.Contains(c.head, "close") {
					to.Close()
				}
			}()
			rest, err := io.ReadAll(resp.Body)
			if err != nil || !bytes.Equal(append(start, rest...), whole) {
				t.Errorf("%d bytes of %d, %v", len(start)+len(rest), len(whole), err)
			}
			r.awaitMetrics(t, "app.in_progress:0|g", "app.handled.lookup.passed:1|c", "app.upstream_tries:1|c")
		})
	}
}

// Once an answer has begun it is not made again, and its client can tell that it
// is not whole.
func TestLongAnswerThatBreaks(t *testing.T) {
	t.Parallel()
	for _, head := range []string{"Content-Length: 1000000", "Transfer-Encoding: chunked"} {
		backend := newPeer(t)
		r := newTestGateway(t, backend)
		_, answer := r.get(t, requestText("GET", "lookup", ""))
		to, br := backend.accept(t)
		readRequest(t, br)
		fmt.Fprintf(to, "HTTP/1.1 200 OK\r\n%s\r\n\r\n20000\r\n%s", head, strings.Repeat("x", 2*maxHeldBody))
		resp := answer()
		if _, err := io.ReadFull(resp.Body, make([]byte, maxHeldBody)); err != nil {
			t.Fatal(err)
		}
		to.Close()
		if rest, err := io.ReadAll(resp.Body); err == nil {
			t.Errorf("%s: %d more bytes passed for the whole", head, len(rest))
		}
		r.awaitMetrics(t, "app.handled.lookup.bad_gateway:1|c", "app.in_progress:0|g", "app.upstream_tries:1|c")
		if len(backend.conns) != 0 {
			t.Errorf("%s: sent again", head)
		}
	}
}

// A client that leaves in the middle of its answer frees the backend's connection.
func TestClientLeavesDuringLongAnswer(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	r := newTestGateway(t, backend)
	conn, head := r.get(t, requestText("GET", "lookup", ""))
	to, br := backend.accept(t)
	readRequest(t, br)
	fmt.Fprintf(to, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 32<<20, strings.Repeat("x", maxHeldBody))
	head()
	conn.Close()
	for {
		if _, err := io.WriteString(to, strings.Repeat("x", maxHeldBody)); err != nil {
			break // the gateway has closed
		}
	}
	r.awaitMetrics(t, "app.in_progress:0|g")
}

// An answer that drips reaches its client as it comes: each event before the next
// is made, and the head before the first.
func TestDrippingAnswer(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	r := newTestGateway(t, backend)
	_, head := r.get(t, requestText("GET", "lookup", ""))
	to, br := backend.accept(t)
	readRequest(t, br)
	io.WriteString(to, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n\r\n")
	resp := head()
	for _, event := range []string{"data: 1\n\n", "data: two\n\n", "data: 3\n\n"} {
		half := len(event) / 2
		fmt.Fprintf(to, "%x\r\n%s", len(event), event[:half])
		for _, want := range []string{event[:half], event[half:]} {
			got := make([]byte, len(want))
			if _, err := io.ReadFull(resp.Body, got); err != nil || string(got) != want {
				t.Fatalf("%q, %v; want %q", got, err, want)
			}
			if want == event[:half] {
				io.WriteString(to, event[half:]+"\r\n")
			}
		}
	}
	r.awaitMetrics(t, "app.transfers.down.open:1|g", "app.transfers.memory:0|g")
	io.WriteString(to, "0\r\n\r\n")
	if rest, err := io.ReadAll(resp.Body); err != nil || len(rest) > 0 {
		t.Errorf("%q, %v", rest, err)
	}
	r.awaitMetrics(t, "app.transfers.down.open:0|g", "app.transfers.down.ended.whole:1|c", "app.handled.lookup.passed:1|c")
}

// Until it is let go, an answer that breaks is made again.
func TestHeldAnswerIsMadeAgain(t *testing.T) {
	t.Parallel()
	for _, framing := range []string{"Content-Length: 20", "Transfer-Encoding: chunked"} {
		backend := newPeer(t)
		r := newTestGateway(t, backend)
		_, answers := r.request(t, requestText("GET", "lookup", ""))
		to, br := backend.accept(t)
		readRequest(t, br)
		io.WriteString(to, "HTTP/1.1 200 OK\r\n"+framing+"\r\n\r\n14\r\nabc")
		to.Close()
		serveOne(t, backend, "whole")
		if resp := wait(t, answers, "answer"); resp.StatusCode != 200 {
			t.Errorf("%s: status %d", framing, resp.StatusCode)
		}
	}
}

// What HTTP/1.1 has besides a 200 with a body passes as it is.
func TestFormsOfAnswers(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		request, answer string
		check           func(*http.Response, string) bool
	}{
		"HEAD": {requestText("HEAD", "lookup", ""), "200 OK\r\nContent-Length: 1234567\r\n\r\n",
			func(r *http.Response, body string) bool { return r.StatusCode == 200 && r.ContentLength == 1234567 }},
		"no content": {requestText("GET", "lookup", ""), "204 No Content\r\nX-A: b\r\n\r\n",
			func(r *http.Response, body string) bool { return r.StatusCode == 204 && r.Header.Get("X-A") == "b" }},
		"not modified": {requestText("GET", "lookup", "", "If-None-Match", `"1"`), "304 Not Modified\r\nETag: \"1\"\r\n\r\n",
			func(r *http.Response, body string) bool { return r.StatusCode == 304 && r.Header.Get("ETag") == `"1"` }},
		"a trailer": {requestText("GET", "lookup", ""), "200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX-Sum: 3\r\n\r\n",
			func(r *http.Response, body string) bool { return body == "abc" && r.Trailer.Get("X-Sum") == "3" }},
		"a trailer far behind": {requestText("GET", "lookup", ""), "200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n20000\r\n" +
			strings.Repeat("x", 2*maxHeldBody) + "\r\n0\r\nX-Sum: 3\r\n\r\n",
			func(r *http.Response, body string) bool {
				return len(body) == 2*maxHeldBody && r.Trailer.Get("X-Sum") == "3"
			}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			backend := newPeer(t)
			r := newTestGateway(t, backend)
			conn := r.send(t, c.request)
			for range 2 { // the connections of both sides serve again
				to, br := backend.accept(t)
				req, _ := readRequest(t, br)
				io.WriteString(to, "HTTP/1.1 "+c.answer)
				resp, err := http.ReadResponse(bufio.NewReader(conn), req)
				if err != nil {
					t.Fatal(err)
				}
				body, err := io.ReadAll(resp.Body)
				if err != nil || !c.check(resp, string(body)) {
					t.Errorf("%v %d bytes, %v", resp, len(body), err)
				}
				r.awaitMetrics(t, "app.in_progress:0|g")
				backend.conns <- to
				io.WriteString(conn, c.request)
			}
		})
	}
}

// An answer before the answer goes on as it comes, and is not the answer.
func TestInterimAnswers(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	r := newTestGateway(t, backend)
	conn := r.send(t, requestText("GET", "lookup", ""))
	to, br := backend.accept(t)
	readRequest(t, br)
	io.WriteString(to, "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")
	in := bufio.NewReader(conn)
	if resp, err := http.ReadResponse(in, nil); err != nil || resp.StatusCode != 103 || resp.Header.Get("Link") != "</a>" {
		t.Fatalf("%v %v", resp, err)
	}
	io.WriteString(to, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	if resp, err := http.ReadResponse(in, nil); err != nil || resp.StatusCode != 200 || resp.Header.Get("Link") != "" {
		t.Fatalf("%v %v", resp, err)
	}
}

// A request whose length could be read in two ways is turned down and its
// connection closed; an answer of the kind may have run.
func TestTwoWays(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	r := newTestGateway(t, backend)
	for name, text := range map[string]string{
		"a length and chunks": requestText("POST", "booking", "", "Content-Length", "5", "Transfer-Encoding", "chunked") + "0\r\n\r\n",
		"the length twice":    strings.Replace(requestText("POST", "booking", "hello"), "Content-Length", "Content-Length: 5\r\nContent-Length", 1),
		"a bad chunk size":    requestText("POST", "booking", "", "Transfer-Encoding", "chunked") + "-1\r\n\r\n",
		"endless extensions":  requestText("POST", "booking", "", "Transfer-Encoding", "chunked") + "1;" + strings.Repeat("x", 8<<10) + "\r\na\r\n0\r\n\r\n",
		"endless trailers": requestText("POST", "booking", "", "Transfer-Encoding", "chunked") + "0\r\n" +
			strings.Repeat("X: "+strings.Repeat("x", 1000)+"\r\n", 10) + "\r\n",
	} {
		_, answers := r.request(t, text)
		if resp := wait(t, answers, "answer to "+name); resp.StatusCode != 400 || !resp.Close {
			t.Errorf("%s: status %d, closed %t", name, resp.StatusCode, resp.Close)
		}
	}
	if len(backend.conns) != 0 {
		t.Error("sent on")
	}
	for _, answer := range []string{"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"Content-Length: 2\r\nContent-Length: 2\r\n\r\nok"} {
		_, answers := r.request(t, requestText("POST", "payment", "x"))
		to, br := backend.accept(t)
		readRequest(t, br)
		io.WriteString(to, "HTTP/1.1 200 OK\r\n"+answer)
		if resp := wait(t, answers, "answer"); resp.StatusCode != 502 || len(backend.conns) != 0 {
			t.Errorf("status %d for %q", resp.StatusCode, answer)
		}
	}
}

// A client of HTTP/1.0 knows a whole answer by the connection's end, so a cut one
// must not end like that.
func TestCutAnswerInHTTP10(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	r := newTestGateway(t, backend)
	_, head := r.get(t, strings.Replace(requestText("GET", "lookup", ""), "HTTP/1.1", "HTTP/1.0", 1))
	to, br := backend.accept(t)
	readRequest(t, br)
	io.WriteString(to, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
	resp := head()
	if _, err := io.ReadFull(resp.Body, make([]byte, 3)); err != nil {
		t.Fatal(err)
	}
	to.Close()
	if _, err := io.ReadAll(resp.Body); err == nil {
		t.Error("a part passed for the whole")
	}
}

// A reader that stands still keeps nobody else waiting, and is given up in time;
// one that is slow is not.
func TestSlowReader(t *testing.T) {
	for name, c := range map[string]struct {
		every time.Duration // for 1 kB
		lost  bool
	}{"slow": {200 * time.Millisecond, false}, "a byte now and then": {8 * time.Second, true}, "still": {time.Hour, true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, p := newPipedFrontend(t)
				client, server := net.Pipe()
				defer client.Close()
				p.conns <- server
				io.WriteString(client, requestText("GET", "lookup", ""))
				x := (<-f.loop.inbox).(requestArrived).exchange
				near, far := net.Pipe()
				conn := newBackendConn(near, nil)
				conn.remaining.N = noReadLimit
				go func() {
					io.WriteString(far, "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n")
					far.Write(make([]byte, 100000))
				}()
				resp, err := http.ReadResponse(conn.reader, nil)
				if err != nil {
					t.Fatal(err)
				}
				d := &download{body: resp.Body, length: 100000, conn: conn, prefix: newBodyPrefix(resp.Body, 100000, 0), window: window{budget: &f.metrics.bodyBudget},
					metrics: f.metrics, done: make(chan rules.Outcome, 1)}
				x.reply <- response{status: 200, fromBackend: true, header: resp.Header, length: 100000, download: d}
				began, gone := time.Now(), make(chan struct{})
				go func() {
					defer close(gone)
					for buf := make([]byte, 1000); ; {
						time.Sleep(c.every) // of the bubble's time
						if _, err := io.ReadFull(client, buf); err != nil {
							return
						}
					}
				}()
				outcome := <-d.done
				if lost := outcome != rules.Served; lost != c.lost {
					t.Errorf("outcome %d after %v", outcome, time.Since(began))
				}
				if took := time.Since(began); c.lost && took > 30*time.Second {
					t.Errorf("given up after %v", took)
				}
				near.Close()
				far.Close()
				client.Close()
				<-gone
			})
		})
	}
}
