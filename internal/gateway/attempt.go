package gateway

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"dunlintray/rules"
)

// Headers that gateways and backends exchange.
const (
	unprocessedHeader = "X-Unprocessed"
	timeLeftHeader    = "X-Time-Left-Ms"
	loadHeader        = "X-Backend-Load"
	costHeader        = "X-Cost-Units"
)

// result is how an attempt ended.
type result struct {
	outcome      rules.Outcome
	err          error    // why no whole response came
	answer       response // if the outcome is rules.Served
	units        float64  // of the quota that the request really took; 0: the backend did not say
	bodyErr      error    // why the client's body was incomplete; the backend has run nothing then
	bodyConsumed bool     // the client's body can't be sent to another backend
}

// attempt is one try of a request at one backend. The loop owns all fields but those that
// mu guards.
type attempt struct {
	exchange     *exchange
	number       int
	backend      rules.BackendID
	sent         float64
	deadline     float64
	wallDeadline time.Time // the deadline as a time of the wall clock
	writeBefore  time.Time // the request's last byte must be written before; zero: no such bound
	ended        bool
	outcome      rules.Outcome // valid once ended
	took         float64
	err          error
	download     *download // a response that is being passed on to the client

	// begun tells the loop that the head of a response may go to the client. It returns
	// false if the client no longer waits.
	onStart func(response) bool
	// interim tells the loop of a 1xx response.
	onInterim func(response)

	lastPiece atomic.Bool // the end of a streamed body is about to be written, or has been

	ctx    context.Context // cancelled when the attempt is called off; bounds the dial
	cancel context.CancelFunc

	mu      sync.Mutex
	conn    *backendConn
	aborted bool // callOff or callOffDial has been called
}

// callOff cancels the attempt. Once it has returned, no further byte of the request leaves
// the gateway: a dial that succeeds later is not used, and a connection in use is closed.
func (a *attempt) abort() {
	a.cancel()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.aborted = true
	if a.conn != nil {
		a.conn.Close()
	}
}

// callOffDial cancels the attempt if it has no connection yet.
func (a *attempt) abortDial() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn == nil && a.cancel != nil {
		a.aborted = true
		a.cancel()
	}
}

// writeBy returns the earlier of end and the time by which the request must be written.
func (a *attempt) writeDeadline(end time.Time) time.Time {
	if !a.writeBefore.IsZero() && (end.IsZero() || a.writeBefore.Before(end)) {
		return a.writeBefore
	}
	return end
}

// hold gives the attempt a connection. It returns false if the attempt has been called off.
func (a *attempt) attach(c *backendConn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.aborted {
		a.conn = c
	}
	return !a.aborted
}

// release takes the connection from the attempt. It returns false if the attempt has been
// called off, which has closed the connection.
func (a *attempt) detach() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = nil
	return !a.aborted
}

// attempt sends a request and waits for the response. An error before the last byte is
// written proves that the backend has run nothing; a later one proves nothing.
func (p *pools) runAttempt(a *attempt) result {
	c, err := p.acquire(a.ctx, a.backend)
	switch {
	case localFailure(err), errors.Is(err, errConnLimit):
		return result{outcome: rules.Moot, err: err} // the backend had no part in it
	case err != nil:
		return result{outcome: rules.ConnectFailed, err: err}
	}
	if !a.attach(c) {
		p.discard(c)
		return result{outcome: rules.ConnectFailed}
	}
	var res result
	var reuse bool
	c.requests++
	c.framing.beginResponse()
	if a.exchange.upload != nil {
		res, reuse = p.streamBody(a, c)
	} else {
		c.SetReadDeadline(a.wallDeadline)
		c.SetWriteDeadline(a.writeDeadline(a.wallDeadline))
		if err := a.writeRequest(c); err != nil {
			a.detach()
			p.discard(c)
			return result{outcome: rules.ConnectFailed, err: err}
		}
		p.metrics.attempts.Add(1)
		res, reuse = p.readResponse(a, c)
	}
	if res.err != nil {
		res.err = fmt.Errorf("request %d after %v idle: %w", c.requests, c.idleFor, res.err)
	}
	if a.detach() && reuse {
		p.put(c)
	} else {
		p.discard(c)
	}
	return res
}
