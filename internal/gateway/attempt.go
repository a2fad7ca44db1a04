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
	notRunHeader = "X-Unprocessed"
	leftHeader   = "X-Time-Left-Ms"
	loadHeader   = "X-Backend-Load"
	costHeader   = "X-Cost-Units"
)

// result is how an attempt ended.
type result struct {
	outcome rules.Outcome
	err     error    // why no whole response came
	answer  response // if the outcome is rules.Served
	units   float64  // of the quota that the request really took; 0: the backend did not say
	cut     error    // why the client's body was incomplete; the backend has run nothing then
	spent   bool     // the client's body can't be sent to another backend
}

// attempt is one try of a request at one backend. The loop owns all fields but those that
// mu guards.
type attempt struct {
	x        *exchange
	number   int
	backend  rules.BackendID
	sent     float64
	deadline float64
	until    time.Time // the deadline as a time of the wall clock
	before   time.Time // the request's last byte must be written before; zero: no such bound
	ended    bool
	outcome  rules.Outcome // valid once ended
	took     float64
	err      error
	rest     *download // a response that is being passed on to the client

	// begun tells the loop that the head of a response may go to the client. It returns
	// false if the client no longer waits.
	begun func(response) bool
	// interim tells the loop of a 1xx response.
	interim func(response)

	last atomic.Bool // the end of a streamed body is about to be written, or has been

	ctx    context.Context // cancelled when the attempt is called off; bounds the dial
	cancel context.CancelFunc

	mu     sync.Mutex
	conn   *backendConn
	called bool // callOff or callOffDial has been called
}

// callOff cancels the attempt. Once it has returned, no further byte of the request leaves
// the gateway: a dial that succeeds later is not used, and a connection in use is closed.
func (a *attempt) callOff() {
	a.cancel()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.called = true
	if a.conn != nil {
		a.conn.Close()
	}
}

// callOffDial cancels the attempt if it has no connection yet.
func (a *attempt) callOffDial() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn == nil && a.cancel != nil {
		a.called = true
		a.cancel()
	}
}

// writeBy returns the earlier of end and the time by which the request must be written.
func (a *attempt) writeBy(end time.Time) time.Time {
	if !a.before.IsZero() && (end.IsZero() || a.before.Before(end)) {
		return a.before
	}
	return end
}

// hold gives the attempt a connection. It returns false if the attempt has been called off.
func (a *attempt) hold(c *backendConn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.called {
		a.conn = c
	}
	return !a.called
}

// release takes the connection from the attempt. It returns false if the attempt has been
// called off, which has closed the connection.
func (a *attempt) release() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = nil
	return !a.called
}

// attempt sends a request and waits for the response. An error before the last byte is
// written proves that the backend has run nothing; a later one proves nothing.
func (p *pools) attempt(a *attempt) result {
	c, err := p.conn(a.ctx, a.backend)
	switch {
	case localFailure(err), errors.Is(err, errConnLimit):
		return result{outcome: rules.Moot, err: err} // the backend had no part in it
	case err != nil:
		return result{outcome: rules.ConnectFailed, err: err}
	}
	if !a.hold(c) {
		p.discard(c)
		return result{outcome: rules.ConnectFailed}
	}
	var res result
	var reuse bool
	c.uses++
	c.read.beginResponse()
	if a.x.upload != nil {
		res, reuse = p.stream(a, c)
	} else {
		c.SetReadDeadline(a.until)
		c.SetWriteDeadline(a.writeBy(a.until))
		if err := a.write(c); err != nil {
			a.release()
			p.discard(c)
			return result{outcome: rules.ConnectFailed, err: err}
		}
		p.figures.tries.Add(1)
		res, reuse = p.answer(a, c)
	}
	if res.err != nil {
		res.err = fmt.Errorf("request %d after %v idle: %w", c.uses, c.rest, res.err)
	}
	if a.release() && reuse {
		p.put(c)
	} else {
		p.discard(c)
	}
	return res
}
