package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"
)

// client sends requests one after the other, and keeps its connection while the gateway leaves it
// open.
type client struct {
	name    string
	address string
	checker *requestChecker
	random  *rand.Rand
	timeout func() time.Duration
	pause   func() time.Duration // between two requests
	classes []string             // one is drawn for each request

	sendsAtIdleClose bool // waits until the gateway closes the connection, and sends at that moment
	writesInPieces   bool
	oftenDisconnects bool // before the answer
	largeBodies      bool

	conn   net.Conn
	reader *bufio.Reader
	served int // answers on this connection
	count  int
}

// connect opens a connection, with retries. It returns false if ctx ends first.
func (c *client) connect(ctx context.Context) bool {
	for ctx.Err() == nil {
		conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", c.address)
		if err == nil {
			c.conn, c.reader, c.served = conn, bufio.NewReader(conn), 0
			return true
		}
		sleep(ctx, 10*time.Millisecond)
	}
	return false
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// run sends requests until ctx ends, and then waits for the last answer.
func (c *client) run(ctx context.Context) {
	defer c.close()
	for ctx.Err() == nil {
		if c.conn == nil && !c.connect(ctx) {
			return
		}
		if c.sendsAtIdleClose && c.served > 0 {
			c.conn.SetReadDeadline(time.Now().Add(3 * time.Second))
			c.reader.Peek(1) // returns at the end of the connection, or at the deadline
		} else {
			sleep(ctx, c.pause())
		}
		if ctx.Err() == nil {
			c.request(ctx)
		}
	}
}

// request sends a new request, and repeats it if its connection had been idle and was reset.
func (c *client) request(ctx context.Context) {
	c.count++
	id := fmt.Sprintf("%s-%d", c.name, c.count)
	class, timeout := c.classes[c.random.IntN(len(c.classes))], c.timeout()
	c.checker.requestSent(id, class, timeout)
	due := time.Now().Add(timeout)
	rested := c.served > 0
	if c.send(ctx, id, class, timeout) != endUnread {
		return
	}
	c.checker.requestUnread(id)
	if !rested || !c.connect(ctx) {
		return
	}
	if remaining := time.Until(due).Truncate(time.Millisecond); remaining > 0 && c.send(ctx, id, class, remaining) == endUnread {
		c.checker.requestUnread(id)
	}
}

// requestEnd is how a request ended for its client.
type requestEnd int

const (
	endAnswered requestEnd = iota
	endDisconnected
	endUnread // the connection was reset before the gateway read the request
	endLost
	endUnwritten // the request was not completely written
)

func (c *client) send(ctx context.Context, id, class string, timeout time.Duration) requestEnd {
	method, body := "GET", ""
	if class == "keyed" || class == "unsafe" {
		content := "body"
		if c.largeBodies {
			content = strings.Repeat(content, 25<<10)
		}
		method, body = "POST", fmt.Sprintf("Idempotency-Key: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(content), content)
	} else {
		body = "\r\n"
	}
	text := fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: %s\r\nX-Service-Class: %s\r\nX-Tier: p\r\n"+
		"X-Api-Key: 0000000000000007\r\nX-Time-Left-Ms: %d\r\nX-Call-Terms: units=1,spread=1,first=0\r\n%s",
		method, class, id, class, timeout.Milliseconds(), body)
	c.conn.SetDeadline(time.Now().Add(10 * time.Second))
	if c.writesInPieces {
		for n := 2 + c.random.IntN(3); n > 0; n-- {
			split := 1 + c.random.IntN(len(text)-1)
			if _, err := io.WriteString(c.conn, text[:split]); err != nil {
				c.close()
				return endUnwritten
			}
			text = text[split:]
			sleep(ctx, time.Duration(c.random.IntN(500))*time.Millisecond)
			if len(text) < 2 {
				break
			}
		}
	}
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.close()
		return endUnread
	}
	c.checker.requestWritten(id, timeout)
	if c.oftenDisconnects && c.random.IntN(2) == 0 {
		return c.disconnect(id)
	}
	return c.receive(id, timeout)
}

// disconnect waits for the answer for a short time, and then closes the connection.
func (c *client) disconnect(id string) requestEnd {
	c.conn.SetReadDeadline(time.Now().Add(time.Duration(c.random.IntN(300)) * time.Millisecond))
	if _, err := c.reader.Peek(1); errors.Is(err, os.ErrDeadlineExceeded) {
		c.close()
		c.checker.clientDisconnected(id)
		return endDisconnected
	}
	return c.receive(id, time.Minute)
}

// receive reads the answer, or classifies why there is none.
func (c *client) receive(id string, timeout time.Duration) requestEnd {
	c.conn.SetReadDeadline(time.Now().Add(timeout + 2*time.Second))
	if _, err := c.reader.Peek(1); err != nil {
		defer c.close()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.checker.answerLost(id, "no answer in time")
			return endLost
		case c.wasReset(err):
			return endUnread
		}
		c.checker.answerLost(id, "connection closed after the request was read")
		return endLost
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.checker.answerLost(id, err.Error())
		c.close()
		return endLost
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.checker.answerLost(id, "incomplete answer: "+err.Error())
		c.close()
		return endLost
	}
	c.checker.answerReceived(id, resp.StatusCode, string(body), lastDataReceived(c.conn))
	if c.served++; resp.Close {
		c.close()
	}
	return endAnswered
}

// wasReset reports whether the gateway closed the connection without reading the request. The kernel
// answers data on a closed socket, or unread data in a socket that closes, with a reset. The end of
// the stream may hide the reset; then another write fails.
func (c *client) wasReset(err error) bool {
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		return true
	}
	time.Sleep(5 * time.Millisecond) // for a reset that follows the end of the stream
	_, err = io.WriteString(c.conn, "\r\n")
	return err != nil && (errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET) || strings.Contains(err.Error(), "reset"))
}
