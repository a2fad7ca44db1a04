package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dunlintray/rules"
)

const (
	laneCount                = 8                // connections to the counter; it holds 32 of a gateway
	maxQueuedCalls           = 512              // calls that wait on one lane
	counterIdleLimit         = 5 * time.Second  // well below the 10 s after which the counter closes
	counterStallTimeout      = 1 * time.Second  // an answer so late is given up with its connection
	counterIdleCheckInterval = 1 * time.Second  // between looks for idle lanes
	maxTotalLength           = 64               // bytes of a total
	maxTTL                   = 60 * time.Second // the counter takes longer ones for this
	minTTL                   = time.Millisecond
	countPath                = "/v1/count/"
	maxCounterResponse       = 16 << 10 // bytes of an answer with its headers
)

// call is one addition on the counter. The loop owns ended.
type counterCall struct {
	name   uint64
	amount float64
	ttl    time.Duration
	sent   float64
	ended  bool

	abandoned atomic.Bool // by the loop: not to be written any more
	report    func(*counterCall, rules.Outcome, float64)
}

// counter makes calls over a few pipelined connections. The calls for one name
// keep to one connection, so their answers come in the order of the calls.
type counter struct {
	endpoint atomic.Pointer[counterEndpoint]
	lanes    [laneCount]chan *counterCall
	readers  sync.WaitGroup // one for each connection
}

// counterPlace is where the counter is and how long a call to it may take.
type counterEndpoint struct {
	address string
	timeout time.Duration
}

func newCounter(address string, timeout time.Duration) *counter {
	c := &counter{}
	c.setEndpoint(address, timeout)
	for i := range c.lanes {
		c.lanes[i] = make(chan *counterCall, maxQueuedCalls)
	}
	return c
}

// move sends later calls to another address.
func (c *counter) setEndpoint(address string, timeout time.Duration) {
	c.endpoint.Store(&counterEndpoint{address, timeout})
}

// add hands a call over without waiting. It returns false where too many wait.
func (c *counter) add(k *counterCall) bool {
	select {
	case c.lanes[k.name%laneCount] <- k:
		return true
	default:
		return false
	}
}

// run keeps the lanes until ctx ends.
func (c *counter) run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, calls := range c.lanes {
		wg.Go(func() { c.runLane(ctx, calls) })
	}
	wg.Wait()
	c.readers.Wait()
}

// lane writes the calls of one channel.
func (c *counter) runLane(ctx context.Context, calls <-chan *counterCall) {
	var conn *counterConn
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	look := time.NewTicker(counterIdleCheckInterval)
	defer look.Stop()
	used := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-look.C:
			if conn != nil && time.Since(used) > counterIdleLimit {
				conn.Close()
				conn = nil
			}
		case k := <-calls:
			if k.abandoned.Load() {
				k.report(k, rules.TimedOut, 0) // nobody waits; never written, so never added
				continue
			}
			switch {
			case conn == nil:
			case conn.address != c.endpoint.Load().address:
				conn.drain(c.endpoint.Load().timeout)
				conn = nil
			case !conn.usable(used):
				conn.Close()
				conn = nil
			}
			if conn == nil {
				var err error
				if conn, err = c.dial(ctx); err != nil {
					conn = nil
					k.report(k, rules.ConnectFailed, 0)
					continue
				}
			}
			used = time.Now()
			conn.send(k)
		}
	}
}

// counterConn is one connection: calls go out in order and so do the answers
// come. A call that was given up keeps its place, so that its late answer is
// not taken for the next call's.
type counterConn struct {
	net.Conn
	timeout     time.Duration // for the rest of an answer that has begun
	address     string
	failed      atomic.Bool
	outstanding atomic.Int64      // calls without an answer
	unanswered  chan *counterCall // written, in order
	closeOnce   sync.Once
	readerDone  chan struct{} // closed when the last answer has come
}

func (c *counter) dial(ctx context.Context) (*counterConn, error) {
	at := c.endpoint.Load()
	d := net.Dialer{Timeout: at.timeout, KeepAlive: -1}
	nc, err := d.DialContext(ctx, "tcp", at.address)
	if err != nil {
		return nil, err
	}
	conn := &counterConn{Conn: nc, timeout: at.timeout, address: at.address, unanswered: make(chan *counterCall, maxQueuedCalls), readerDone: make(chan struct{})}
	c.readers.Go(conn.readReplies)
	return conn, nil
}

// Close ends the connection, once its reader has reported what is still out:
// what the next connection answers must come after. Only the lane's writer calls
// it, so nothing joins waiting afterwards.
func (c *counterConn) Close() error {
	c.closeOnce.Do(func() { close(c.unanswered) })
	err := c.Conn.Close()
	<-c.readerDone
	return err
}

// finish ends a connection to an address that is left, once the calls that are
// out have had their time: the next connection must not be answered before.
func (c *counterConn) drain(within time.Duration) {
	c.closeOnce.Do(func() { close(c.unanswered) })
	patience := time.NewTimer(within)
	defer patience.Stop()
	select {
	case <-c.readerDone:
	case <-patience.C:
	}
	c.Close()
}

// usable tells whether another call may be written. The counter may close an
// idle connection sooner than agreed, and a call written then is in doubt.
func (c *counterConn) usable(used time.Time) bool {
	return !c.failed.Load() && time.Since(used) <= counterIdleLimit && (c.outstanding.Load() > 0 || alive(c.Conn))
}

// call writes one call. Its answer is read only once it stands in the line;
// where the line is full the connection is stuck.
func (c *counterConn) send(k *counterCall) {
	if len(c.unanswered) == cap(c.unanswered) {
		k.report(k, rules.ConnectFailed, 0)
		return
	}
	text := fmt.Appendf(nil, "POST %s%016x?add=%s&ttl_ms=%d HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\n\r\n",
		countPath, k.name, strconv.FormatFloat(k.amount, 'f', -1, 64), k.ttl.Milliseconds(), c.address)
	c.outstanding.Add(1)
	c.SetWriteDeadline(time.Now().Add(counterStallTimeout))
	if _, err := c.Write(text); err != nil {
		// The last byte was not written, so nothing was added.
		c.failed.Store(true)
		k.report(k, rules.ConnectFailed, 0)
		return
	}
	c.unanswered <- k
}

// readAll takes the answers in. What is out when the connection ends may have
// been added.
func (c *counterConn) readReplies() {
	defer close(c.readerDone)
	left := &io.LimitedReader{R: c.Conn}
	r := bufio.NewReader(left)
	asked := &http.Request{Method: http.MethodPost}
	failed := false
	for k := range c.unanswered {
		if failed {
			k.report(k, rules.Broken, 0)
			continue
		}
		left.N = maxCounterResponse
		c.SetReadDeadline(time.Now().Add(counterStallTimeout))
		outcome, total, err := rules.TimedOut, 0.0, error(nil)
		switch _, err = r.Peek(1); {
		case err == nil:
			// Danger: an answer that has begun comes whole or never, and all calls behind it wait.
			c.SetReadDeadline(time.Now().Add(c.timeout))
			outcome, total, err = readTotal(r, asked)
		case !errors.Is(err, os.ErrDeadlineExceeded):
			outcome = rules.Broken
		}
		if err != nil {
			failed = true
			slog.Warn("counter: connection lost", "error", err, "calls_out", c.outstanding.Load())
			c.failed.Store(true)
			c.Conn.Close()
		}
		c.outstanding.Add(-1)
		k.report(k, outcome, total)
	}
}

// readTotal reads an answer that has begun, so the call has had its turn: where
// no number can be read, and no other status, the amount was added all the same.
// After an error the connection is of no further use.
func readTotal(r *bufio.Reader, asked *http.Request) (rules.Outcome, float64, error) {
	resp, err := http.ReadResponse(r, asked)
	if err != nil {
		return rules.Errored, 0, fmt.Errorf("answer: %w", err)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxTotalLength+1))
	resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable:
		return rules.Full, 0, err
	case resp.StatusCode != http.StatusOK:
		return rules.ConnectFailed, 0, err
	case err != nil:
		return rules.Errored, 0, fmt.Errorf("total: %w", err)
	}
	total, err := strconv.ParseFloat(strings.TrimSpace(string(body)), 64)
	if err != nil || math.IsNaN(total) || math.IsInf(total, 0) || len(body) > maxTotalLength {
		return rules.Errored, 0, fmt.Errorf("total: %.20q is no number", body)
	}
	return rules.Served, total, nil
}
