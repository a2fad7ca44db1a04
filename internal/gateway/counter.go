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
	laneCount                = 8                // connections to the counter, which accepts 32 from a gateway
	maxQueuedCalls           = 512              // on one lane
	counterIdleLimit         = 5 * time.Second  // the counter closes connections that are idle for 10 s
	counterStallTimeout      = 1 * time.Second  // for a write, and for a reply to begin
	counterIdleCheckInterval = 1 * time.Second  // between checks for idle connections
	maxTotalLength           = 64               // bytes
	maxTTL                   = 60 * time.Second // the counter caps longer ones at this
	minTTL                   = time.Millisecond
	countPath                = "/v1/count/"
	maxCounterResponse       = 16 << 10 // bytes, headers included
)

// counterCall adds an amount to a total on the counter. The loop owns sent and ended.
type counterCall struct {
	number uint64 // given by the decision module
	name   uint64 // of the total
	amount float64
	ttl    time.Duration // of the total
	sent   float64       // seconds on the loop's clock
	timer  *timer        // of its timeout
	ended  bool

	abandoned atomic.Bool // set by the loop: the call must not be written any more
	report    func(*counterCall, rules.Outcome, float64)
}

// counter makes calls over a few pipelined connections, its lanes. All calls for one name use
// the same lane, so their replies arrive in the order of the calls.
type counter struct {
	endpoint atomic.Pointer[counterEndpoint]
	lanes    [laneCount]chan *counterCall
	readers  sync.WaitGroup // one for each connection
}

// counterEndpoint is the counter's address and the timeout of a call to it.
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

// setEndpoint sets the address and the timeout of later calls.
func (c *counter) setEndpoint(address string, timeout time.Duration) {
	c.endpoint.Store(&counterEndpoint{address, timeout})
}

// add queues a call without blocking. It returns false if the lane's queue is full.
func (c *counter) add(call *counterCall) bool {
	select {
	case c.lanes[call.name%laneCount] <- call:
		return true
	default:
		return false
	}
}

// run runs the lanes until ctx ends.
func (c *counter) run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, calls := range c.lanes {
		wg.Go(func() { c.runLane(ctx, calls) })
	}
	wg.Wait()
	c.readers.Wait()
}

// runLane writes the calls of one lane until ctx ends.
func (c *counter) runLane(ctx context.Context, calls <-chan *counterCall) {
	var conn *counterConn
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	idleCheck := time.NewTicker(counterIdleCheckInterval)
	defer idleCheck.Stop()
	lastUsed := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-idleCheck.C:
			if conn != nil && time.Since(lastUsed) > counterIdleLimit {
				conn.Close()
				conn = nil
			}
		case call := <-calls:
			if call.abandoned.Load() {
				call.report(call, rules.TimedOut, 0) // never written, so never added
				continue
			}
			switch {
			case conn == nil:
			case conn.address != c.endpoint.Load().address:
				conn.drain(c.endpoint.Load().timeout)
				conn = nil
			case !conn.usable(lastUsed):
				conn.Close()
				conn = nil
			}
			if conn == nil {
				var err error
				if conn, err = c.dial(ctx); err != nil {
					conn = nil
					call.report(call, rules.ConnectFailed, 0)
					continue
				}
			}
			lastUsed = time.Now()
			conn.send(call)
		}
	}
}

// counterConn is a pipelined connection to the counter: replies arrive in the order of the
// calls. An abandoned call keeps its place, so that its late reply is not taken for that of
// the next call.
type counterConn struct {
	net.Conn
	timeout     time.Duration // for the rest of a reply that has begun
	address     string
	failed      atomic.Bool
	outstanding atomic.Int64      // calls without a reply
	unanswered  chan *counterCall // calls that were written, in order
	closeOnce   sync.Once
	readerDone  chan struct{} // closed when readReplies returns
}

// dial opens a connection and starts its reader.
func (c *counter) dial(ctx context.Context) (*counterConn, error) {
	endpoint := c.endpoint.Load()
	dialer := net.Dialer{Timeout: endpoint.timeout, KeepAlive: -1}
	netConn, err := dialer.DialContext(ctx, "tcp", endpoint.address)
	if err != nil {
		return nil, err
	}
	conn := &counterConn{Conn: netConn, timeout: endpoint.timeout, address: endpoint.address, unanswered: make(chan *counterCall, maxQueuedCalls), readerDone: make(chan struct{})}
	c.readers.Go(conn.readReplies)
	return conn, nil
}

// Close closes the connection and waits until its reader has reported all outstanding calls,
// so that they end before any call on the next connection. Only the lane's writer calls it,
// so no further call is written.
func (c *counterConn) Close() error {
	c.closeOnce.Do(func() { close(c.unanswered) })
	err := c.Conn.Close()
	<-c.readerDone
	return err
}

// drain waits up to the timeout for the replies to outstanding calls, and closes the
// connection. It is used when the counter's address changes.
func (c *counterConn) drain(timeout time.Duration) {
	c.closeOnce.Do(func() { close(c.unanswered) })
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-c.readerDone:
	case <-timer.C:
	}
	c.Close()
}

// usable reports whether another call may be written. The counter may close an idle
// connection early, and the result of a call that is written then is unknown.
func (c *counterConn) usable(lastUsed time.Time) bool {
	return !c.failed.Load() && time.Since(lastUsed) <= counterIdleLimit && (c.outstanding.Load() > 0 || alive(c.Conn))
}

// send writes a call and queues it for the reader. The call fails if the queue is full, since
// the connection has then stalled.
func (c *counterConn) send(call *counterCall) {
	if len(c.unanswered) == cap(c.unanswered) {
		call.report(call, rules.ConnectFailed, 0)
		return
	}
	request := fmt.Appendf(nil, "POST %s%016x?add=%s&ttl_ms=%d HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\n\r\n",
		countPath, call.name, strconv.FormatFloat(call.amount, 'f', -1, 64), call.ttl.Milliseconds(), c.address)
	c.outstanding.Add(1)
	c.SetWriteDeadline(time.Now().Add(counterStallTimeout))
	if _, err := c.Write(request); err != nil {
		// The last byte was not written, so nothing was added.
		c.failed.Store(true)
		call.report(call, rules.ConnectFailed, 0)
		return
	}
	c.unanswered <- call
}

// readReplies reads the replies until the connection ends. Calls without a reply by then may
// have been added.
func (c *counterConn) readReplies() {
	defer close(c.readerDone)
	limited := &io.LimitedReader{R: c.Conn}
	reader := bufio.NewReader(limited)
	request := &http.Request{Method: http.MethodPost}
	failed := false
	for call := range c.unanswered {
		if failed {
			call.report(call, rules.Broken, 0)
			continue
		}
		limited.N = maxCounterResponse
		c.SetReadDeadline(time.Now().Add(counterStallTimeout))
		outcome, total, err := rules.TimedOut, 0.0, error(nil)
		switch _, err = reader.Peek(1); {
		case err == nil:
			// Later calls wait for this reply, so the time for the rest of it is limited.
			c.SetReadDeadline(time.Now().Add(c.timeout))
			outcome, total, err = readTotal(reader, request)
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
		call.report(call, outcome, total)
	}
}

// readTotal reads the rest of a reply. The outcome rules.Errored means that the amount was
// added but the total is unknown. After an error the connection can't be used any more.
func readTotal(reader *bufio.Reader, request *http.Request) (rules.Outcome, float64, error) {
	resp, err := http.ReadResponse(reader, request)
	if err != nil {
		return rules.Errored, 0, fmt.Errorf("reading the reply: %w", err)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxTotalLength+1))
	resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable:
		return rules.Full, 0, err
	case resp.StatusCode != http.StatusOK:
		return rules.ConnectFailed, 0, err
	case err != nil:
		return rules.Errored, 0, fmt.Errorf("reading the total: %w", err)
	}
	total, err := strconv.ParseFloat(strings.TrimSpace(string(body)), 64)
	if err != nil || math.IsNaN(total) || math.IsInf(total, 0) || len(body) > maxTotalLength {
		return rules.Errored, 0, fmt.Errorf("total %.20q is not a finite number of at most %d bytes", body, maxTotalLength)
	}
	return rules.Served, total, nil
}
