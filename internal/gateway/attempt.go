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
	outcome    rules.Outcome
	err        error    // why there is no complete response
	response   response // if the outcome is rules.Served
	units      float64  // of the quota, as the backend reports them; 0: not reported
	bodyErr    error    // why the client's body is incomplete; the backend has run nothing then
	clientGone bool     // the client has disconnected, and nothing was sent
}

// attempt sends a request to one backend, once. The loop owns all fields but those that mu
// guards.
type attempt struct {
	exchange     *exchange
	number       int
	backend      rules.BackendID
	sent         float64   // seconds on the loop's clock
	deadline     float64   // seconds on the loop's clock
	wallDeadline time.Time // deadline as a wall-clock time; zero: no deadline yet
	writeBefore  time.Time // limit for writing the request's last byte; zero: no limit
	timer        *timer    // for deadline; nil if there is none
	ended        bool
	outcome      rules.Outcome // valid once ended
	took         float64       // seconds
	err          error
	download     *download // a response that is being passed on to the client

	// onStart notifies the loop that the head of a response may go to the client. It returns
	// false if the client no longer waits.
	onStart func(response) bool
	// onInterim notifies the loop of a 1xx response.
	onInterim func(response)

	lastPiece atomic.Bool // the end of a streamed body is about to be written, or has been

	ctx    context.Context // cancelled when the attempt is aborted; bounds the dial
	cancel context.CancelFunc

	mu      sync.Mutex
	conn    *backendConn
	aborted bool // abort has been called, or abortDial before there was a connection
}

// abort cancels the attempt. Once it has returned, no further byte of the request leaves
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

// abortDial cancels the attempt if it has no connection yet.
func (a *attempt) abortDial() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn == nil && a.cancel != nil {
		a.aborted = true
		a.cancel()
	}
}

// writeDeadline returns the earlier of end and the time by which the request must be written.
func (a *attempt) writeDeadline(end time.Time) time.Time {
	if !a.writeBefore.IsZero() && (end.IsZero() || a.writeBefore.Before(end)) {
		return a.writeBefore
	}
	return end
}

// attach gives the attempt a connection. It returns false if the attempt has been aborted.
func (a *attempt) attach(conn *backendConn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.aborted {
		a.conn = conn
	}
	return !a.aborted
}

// detach takes the connection from the attempt. It returns false if the attempt has been
// aborted, which has closed the connection.
func (a *attempt) detach() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = nil
	return !a.aborted
}

// errClientGone reports that a client had disconnected when an attempt was about to begin.
var errClientGone = errors.New("the client has disconnected")

// claimRequest makes the attempt the sender of its request. It returns an error if the client has
// disconnected, or if a body that is streamed can't be sent from its start.
func (a *attempt) claimRequest() error {
	if a.exchange.clientGone() {
		return errClientGone
	}
	if a.exchange.upload != nil {
		return a.exchange.upload.assign(a)
	}
	return nil
}

// runAttempt sends a request and waits for the response. An error before the last byte is
// written proves that the backend has run nothing; a later one proves nothing.
func (p *pools) runAttempt(attempt *attempt) result {
	conn, err := p.acquire(attempt.ctx, attempt.backend)
	switch {
	case localFailure(err), errors.Is(err, errConnLimit):
		return result{outcome: rules.NotStarted, err: err} // says nothing about the backend
	case err != nil:
		return result{outcome: rules.ConnectFailed, err: err}
	}
	if !attempt.attach(conn) {
		p.discard(conn)
		return result{outcome: rules.ConnectFailed}
	}
	if err := attempt.claimRequest(); err != nil {
		if attempt.detach() {
			p.put(conn)
		} else {
			p.discard(conn)
		}
		return result{outcome: rules.NotStarted, err: err, clientGone: err == errClientGone}
	}
	var res result
	var reuse bool
	conn.beginRequest()
	if attempt.exchange.upload != nil {
		res, reuse = p.streamBody(attempt, conn)
	} else {
		conn.SetReadDeadline(attempt.wallDeadline)
		conn.SetWriteDeadline(attempt.writeDeadline(attempt.wallDeadline))
		if err := attempt.writeRequest(conn); err != nil {
			attempt.detach()
			p.discard(conn)
			return result{outcome: rules.ConnectFailed, err: err}
		}
		conn.releaseWriter()
		p.metrics.attempts.Add(1)
		res, reuse = p.readResponse(attempt, conn)
	}
	if res.err != nil {
		res.err = fmt.Errorf("request %d on its connection, after %v idle: %w", conn.requests, conn.idleFor, res.err)
	}
	if attempt.detach() && reuse {
		p.put(conn)
	} else {
		p.discard(conn)
	}
	return res
}
