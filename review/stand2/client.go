package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// request is a request of a client.
type request struct {
	id       string
	class    string
	method   string
	plan     string
	customer uint64
	left     time.Duration // the client waits this long
	units    float64
	spread   int
	first    int
	repeat   bool
	key      string // for keyed classes
	body     []byte
	rate     float64 // bytes of the body per second; 0: at once
	chunked  bool    // the body is sent in chunks, without its length
}

// answer is what a client got.
type answer struct {
	status     int
	header     http.Header
	body       []byte
	err        error
	sentAt     time.Time // the last byte was written
	answeredAt time.Time // the last byte was read, or the connection ended
	unsent     bool      // the request was not written to the end
	closed     bool      // the connection takes no further request
	first      bool      // the request was the first on its connection
}

var idCount atomic.Uint64

// newID returns a new correlation id.
func newID() string { return fmt.Sprintf("%016x", 0x9b1f000000000000+idCount.Add(1)) }

// head returns the head of a request as the protocol page has it.
func (r *request) head() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s /%s HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: %s\r\nX-Service-Class: %s\r\nX-Tier: %s\r\nX-Api-Key: %016x\r\nX-Time-Left-Ms: %d\r\n",
		r.method, r.class, r.id, r.class, r.plan, r.customer, r.left.Milliseconds())
	if r.key != "" {
		fmt.Fprintf(&text, "Idempotency-Key: %s\r\n", r.key)
	}
	if r.chunked {
		text.WriteString("Transfer-Encoding: chunked\r\n")
	} else if r.method == "POST" {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(r.body))
	}
	if r.repeat {
		text.WriteString("X-Repeat: 1\r\n")
	}
	fmt.Fprintf(&text, "X-Call-Terms: units=%g,spread=%d,first=%d\r\n\r\n", r.units, max(r.spread, 1), r.first)
	return text.String()
}

// client is a connection of a client.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
	calls  int
}

// connect opens a connection to a gateway.
func connect(address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, 5*time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (c *client) close() { c.conn.Close() }

// call sends a request and waits for its answer, at most for the given time.
func (c *client) call(r *request, limit time.Duration) (a answer) {
	c.calls++
	a.first = c.calls == 1
	defer func() {
		if a.closed = a.closed || a.err != nil; a.closed {
			c.conn.Close()
		}
	}()
	c.conn.SetDeadline(time.Now().Add(limit))
	text := []byte(r.head())
	if r.rate == 0 {
		text = append(text, r.body...)
	}
	if _, a.err = c.conn.Write(text); a.err != nil {
		a.unsent = true
		a.answeredAt = time.Now()
		return a
	}
	if r.rate > 0 {
		const step = 50 * time.Millisecond
		piece := max(int(r.rate*step.Seconds()), 1)
		next := time.Now()
		for rest := r.body; len(rest) > 0; {
			n := min(piece, len(rest))
			bytes := rest[:n]
			if rest = rest[n:]; r.chunked {
				bytes = chunk(bytes, len(rest) == 0)
			}
			if _, a.err = c.conn.Write(bytes); a.err != nil {
				a.unsent = true
				break
			}
			if len(rest) > 0 {
				next = next.Add(step)
				time.Sleep(time.Until(next))
			}
		}
	}
	a.sentAt = time.Now()
	response, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err == nil {
		a.status, a.header = response.StatusCode, response.Header
		a.body, err = io.ReadAll(response.Body)
		a.closed = response.Close
	}
	a.err, a.answeredAt = err, time.Now()
	return a
}

// chunk returns a chunk of a body, with the end of the body behind the last one.
func chunk(data []byte, last bool) []byte {
	text := fmt.Appendf(nil, "%x\r\n%s\r\n", len(data), data)
	if last {
		text = append(text, "0\r\n\r\n"...)
	}
	return text
}

// get sends a plain GET on a connection of its own.
func get(address, path string, limit time.Duration) (a answer) {
	return plain(address, "GET", path, limit)
}

// plain sends a request with no headers of the protocol on a connection of its own.
func plain(address, method, path string, limit time.Duration) (a answer) {
	conn, err := net.DialTimeout("tcp", address, limit)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(limit))
	fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", method, path)
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, body: bytes.TrimSpace(body), err: err}
}
