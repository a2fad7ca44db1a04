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

// client is one client that keeps its connection as long as the gateway leaves it open.
type client struct {
	name     string
	address  string
	judge    *judge
	random   *rand.Rand
	patience func() time.Duration
	pause    func() time.Duration // between two requests
	classes  []string

	rests  bool // until the gateway ends the connection; it sends in that moment
	pieces bool // it writes its requests in pieces
	leaves bool // it often goes before its answer
	long   bool // its bodies are long

	conn   net.Conn
	reader *bufio.Reader
	served int // answers on this connection
	count  int
}

// connect opens a connection. It returns false if ctx ends first.
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
		if c.rests && c.served > 0 {
			c.conn.SetReadDeadline(time.Now().Add(3 * time.Second))
			c.reader.Peek(1) // its end, or the deadline
		} else {
			sleep(ctx, c.pause())
		}
		if ctx.Err() == nil {
			c.request(ctx)
		}
	}
}

// request sends a new request, once more where its connection had rested and was reset.
func (c *client) request(ctx context.Context) {
	c.count++
	id := fmt.Sprintf("%s-%d", c.name, c.count)
	class, patience := c.classes[c.random.IntN(len(c.classes))], c.patience()
	c.judge.sent(id, class, patience)
	due := time.Now().Add(patience)
	rested := c.served > 0
	if c.try(ctx, id, class, patience) != endUnread {
		return
	}
	c.judge.unread(id)
	if !rested || !c.connect(ctx) {
		return
	}
	if left := time.Until(due).Truncate(time.Millisecond); left > 0 && c.try(ctx, id, class, left) == endUnread {
		c.judge.unread(id)
	}
}

// end is how a request ended for its client.
type end int

const (
	endAnswered end = iota
	endLeft
	endUnread // the gateway has not read it
	endLost
	endUntaken // it was never written whole
)

func (c *client) try(ctx context.Context, id, class string, patience time.Duration) end {
	method, body := "GET", ""
	if class == "keyed" || class == "unsafe" {
		content := "body"
		if c.long {
			content = strings.Repeat(content, 25<<10)
		}
		method, body = "POST", fmt.Sprintf("Idempotency-Key: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(content), content)
	} else {
		body = "\r\n"
	}
	text := fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: %s\r\nX-Service-Class: %s\r\nX-Tier: p\r\n"+
		"X-Api-Key: 0000000000000007\r\nX-Time-Left-Ms: %d\r\nX-Call-Terms: units=1,spread=1,first=0\r\n%s",
		method, class, id, class, patience.Milliseconds(), body)
	c.conn.SetDeadline(time.Now().Add(10 * time.Second))
	if c.pieces {
		for n := 2 + c.random.IntN(3); n > 0; n-- {
			at := 1 + c.random.IntN(len(text)-1)
			if _, err := io.WriteString(c.conn, text[:at]); err != nil {
				c.close()
				return endUntaken
			}
			text = text[at:]
			sleep(ctx, time.Duration(c.random.IntN(500))*time.Millisecond)
			if len(text) < 2 {
				break
			}
		}
	}
	if c.pieces {
		c.judge.whole(id, patience) // before a server can have it
	}
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.close()
		return endUnread
	}
	if c.leaves && c.random.IntN(2) == 0 {
		return c.leave(id)
	}
	return c.receive(id, patience)
}

// leave waits for an answer for a moment, and goes.
func (c *client) leave(id string) end {
	c.conn.SetReadDeadline(time.Now().Add(time.Duration(c.random.IntN(300)) * time.Millisecond))
	if _, err := c.reader.Peek(1); errors.Is(err, os.ErrDeadlineExceeded) {
		c.judge.left(id)
		c.close()
		return endLeft
	}
	return c.receive(id, time.Minute)
}

// receive reads the answer, or finds out why there is none.
func (c *client) receive(id string, patience time.Duration) end {
	c.conn.SetReadDeadline(time.Now().Add(patience + 2*time.Second))
	if _, err := c.reader.Peek(1); err != nil {
		defer c.close()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.judge.lost(id, "silence")
			return endLost
		case c.reset(err):
			return endUnread
		}
		c.judge.lost(id, "it was read, and its connection closed")
		return endLost
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.judge.lost(id, err.Error())
		c.close()
		return endLost
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.judge.lost(id, "its answer is not whole: "+err.Error())
		c.close()
		return endLost
	}
	c.judge.answered(id, resp.StatusCode, string(body))
	if c.served++; resp.Close {
		c.close()
	}
	return endAnswered
}

// reset tells a request that was never read from one that was. What meets a closed socket,
// or is still unread when its socket is closed, is answered with a reset, which the end of
// the stream may hide: then a write fails at once.
func (c *client) reset(err error) bool {
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		return true
	}
	time.Sleep(5 * time.Millisecond) // for the reset behind the end
	_, err = io.WriteString(c.conn, "\r\n")
	return err != nil && (errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET) || strings.Contains(err.Error(), "reset"))
}
