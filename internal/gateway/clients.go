package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"dunlintray/internal/connlimit"
)

const (
	idleConnBytes        = 20 << 10              // bytes that an idle connection of a client takes
	clientMemoryDivisor  = 4                     // a part of the memory, for them
	minRetryDelay        = 5 * time.Millisecond  // of accepting, while descriptors have run out
	maxRetryDelay        = time.Second           // it doubles to this
	overloadLogInterval  = time.Second           // between lines about a crowd, or about descriptors
	rejectConnTimeout    = 20 * time.Millisecond // for the word to one that is turned away
	rejectRequestTimeout = 200 * time.Millisecond

	// A client whose connection ends behind its answer has so long to end its side,
	// and may send so many bytes more, which nobody reads.
	lingerTime     = 500 * time.Millisecond
	maxLingerBytes = 256 << 10

	// One that was rejected in the middle of a request lingers for a shorter time, and so
	// many at once: the table does not count them any more.
	rejectedLingerTime   = 100 * time.Millisecond
	maxRejectedLingering = 32

	queueAcceptTimeout = 10 * time.Millisecond  // for the next connection of a queue that is emptied
	queueDrainTimeout  = 100 * time.Millisecond // for all of them
)

// A connection that is turned away is told so, as far as it listens: nothing of
// it has been read.
const unavailableResponse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// What a client is told whose request may have gone on to a backend.
const badGatewayResponse = "HTTP/1.1 502 Bad Gateway\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// closeCauses are why the gateway's side closed a connection, or that it did not.
const (
	closedByPeer   = iota // or after an answer, or a time-out of the server's
	closedIdle            // given up between requests, for another
	closedNew             // given up before its first byte, for another
	closedShutdown        // at the stop, between requests or before the first byte
	closedRejected        // there was no place for it
	closeCauseCount
)

var closeCauseNames = [closeCauseCount]string{"peer", "idle_given_up", "new_given_up", "stop", "turned_away"}

// clients owns the connections of clients, from the listener to their end. What
// is given up for what is decided by its table.
type clientListener struct {
	net.Listener

	mu            sync.Mutex
	placeFreed    sync.Cond // on mu: a place may have come free
	startedAt     time.Time
	table         *connlimit.Table
	conns         map[*connlimit.Conn]*clientConn
	closed        bool
	drainingQueue bool // what is in the queue is accepted, and nothing behind it
	phase         shutdownPhase
	sharedQueue   bool // other processes accept from the same queue

	rejectedLingering int // connections that wait for their end behind a rejection
	logLimit          logLimiter

	onState func(*clientConn, http.ConnState) // for tests, before a state is taken note of

	accepted         atomic.Int64
	closeCounts      [closeCauseCount]atomic.Int64
	silenceUnlimited atomic.Int64 // connections on which no limit on silence could be set
	queueWaitMs      atomic.Int64 // milliseconds that the last connection stood in the queue, where the system tells
	descriptorErrors atomic.Int64 // times that no descriptor was to be had
	acceptErrors     atomic.Int64 // times that accepting failed otherwise
	rejectedRequests atomic.Int64 // connections that were given up and had to be answered
}

// ending is how far a stop has come.
type shutdownPhase int

const (
	phaseServing     shutdownPhase = iota
	phaseClosingIdle               // what is between requests is given up, now and from now on
	phaseClosingNew                // and so is what no byte has come on
)

func newClientListener(l net.Listener, most int) *clientListener {
	c := &clientListener{Listener: l, startedAt: time.Now(), table: connlimit.NewTable(connlimit.Limits{Total: most}),
		conns: map[*connlimit.Conn]*clientConn{}, logLimit: logLimiter{max: 1}}
	c.placeFreed.L = &c.mu
	return c
}

func (l *clientListener) now() time.Duration { return time.Since(l.startedAt) }

// limit changes how many connections there may be. Those that may go for it, go.
func (l *clientListener) setLimit(most int) {
	l.mu.Lock()
	var gone []*clientConn
	for _, c := range l.table.SetLimits(connlimit.Limits{Total: most}) {
		gone = append(gone, l.evict(c, evictionCause(c)))
	}
	l.placeFreed.Broadcast()
	l.mu.Unlock()
	closeEvicted(gone)
}

// giveUp marks a connection that is given up and frees its place. Its end has to follow,
// outside the lock.
func (l *clientListener) evict(c *connlimit.Conn, cause int) *clientConn {
	conn := l.conns[c]
	l.table.Close(c)
	conn.evicted, conn.closeCause = true, cause
	return conn
}

// endAll ends connections that were given up.
func closeEvicted(gone []*clientConn) {
	for _, c := range gone {
		c.closeEvicted()
	}
}

// causeOf is why a connection is given up for another.
func evictionCause(c *connlimit.Conn) int {
	if c.State() == connlimit.New {
		return closedNew
	}
	return closedIdle
}

// leave gives up what has no request, now and from now on. What is in a request,
// or in the head of one, goes on to its answer, and so does one whose first bytes wait
// to be read.
//
// net/http would close what it takes for idle though the head of a request has been
// read in part or whole, and its answer would be lost. Here a connection is given up in
// one step with the look at its state, and whoever reads beside it owes an answer for
// the bytes.
func (l *clientListener) setPhase(how shutdownPhase) {
	l.mu.Lock()
	l.phase = how
	var gone []*clientConn
	for place, c := range l.conns {
		if !c.evicted && !c.lingering && l.closesInPhase(place) && !hasUnreadBytes(c.Conn) {
			gone = append(gone, l.evict(place, closedShutdown))
		}
	}
	l.mu.Unlock()
	closeEvicted(gone)
}

// finish ends every request that has no answer with an error, since the process is about to
// be killed. Answers that are under way go on. It returns how many it ended.
func (l *clientListener) failUnanswered() int {
	return l.evictWhere(func(c *clientConn) bool { return !c.responseStarted.Load() })
}

// cut ends all that is left: an answer whose client could take a part for the whole with a
// reset. It returns how many it ended.
func (l *clientListener) closeAll() int { return l.evictWhere(func(*clientConn) bool { return true }) }

// endWhere gives up the connections that are chosen, whatever they are doing.
func (l *clientListener) evictWhere(chosen func(*clientConn) bool) int {
	l.mu.Lock()
	var gone []*clientConn
	for place, c := range l.conns {
		if !c.evicted && !c.lingering && chosen(c) {
			c.evictedBusy = place.State() == connlimit.Busy
			gone = append(gone, l.evict(place, closedShutdown))
		}
	}
	l.mu.Unlock()
	closeEvicted(gone)
	return len(gone)
}

// goes tells whether a connection goes at this point of a stop.
func (l *clientListener) closesInPhase(place *connlimit.Conn) bool {
	switch place.State() {
	case connlimit.Idle:
		return l.phase >= phaseClosingIdle
	case connlimit.New:
		return l.phase >= phaseClosingNew
	}
	return false
}

// drained waits until no connection is left.
func (l *clientListener) waitDrained(ctx context.Context) error {
	defer context.AfterFunc(ctx, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.placeFreed.Broadcast()
	})()
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.conns) > 0 {
		if ctx.Err() != nil {
			return fmt.Errorf("%d connections of clients: %w", len(l.conns), ctx.Err())
		}
		l.placeFreed.Wait()
	}
	return nil
}

// Accept waits for room, then for a connection. While all places are taken by
// requests, connections wait in the queue, where another process may take them.
// One whose source has more than its share is told at once, as the queue behind it
// would wait for it.
func (l *clientListener) Accept() (net.Conn, error) {
	var pause backoff
	for {
		if !l.awaitRoom() {
			return nil, net.ErrClosed
		}
		c, err := l.Listener.Accept()
		switch {
		case err != nil && l.queueEnded(err):
			return nil, net.ErrClosed
		case err != nil && !isTemporaryAcceptError(err):
			return nil, err
		case err != nil:
			l.recordAcceptError(err)
			l.sleep(pause.nextDelay())
			continue
		}
		pause.reset()
		l.accepted.Add(1)
		if conn := l.admit(c); conn != nil {
			// Who has a connection goes before who wants one.
			runtime.Gosched()
			return conn, nil
		}
	}
}

// acceptFailed counts an error that passes and, once a second at most, logs it.
func (l *clientListener) recordAcceptError(err error) {
	text := "accepting a client failed"
	if outOfResources(err) {
		l.descriptorErrors.Add(1)
		text = "no descriptor for a client"
	} else {
		l.acceptErrors.Add(1)
	}
	if l.logLimit.allow() {
		slog.Error(text, "error", err)
	}
}

// endQueue takes the connections that already wait in the listener's queue, and ends
// accepting. Their requests may have been taken by this machine; closing the listener over
// them would reset them. A queue that other processes have too is left to those.
func (l *clientListener) drainQueue() {
	l.mu.Lock()
	l.drainingQueue = !l.sharedQueue && l.extendQueueDeadline()
	l.placeFreed.Broadcast()
	for began := l.now(); l.drainingQueue && !l.closed && l.now()-began < queueDrainTimeout; {
		l.wait(queueDrainTimeout)
	}
	l.mu.Unlock()
	l.Close()
}

// awaitNext leaves time for the next connection of a queue that is emptied, and reports
// whether the listener can. The caller holds mu.
func (l *clientListener) extendQueueDeadline() bool {
	listener, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	return ok && listener.SetDeadline(time.Now().Add(queueAcceptTimeout)) == nil
}

// queueEnded reports whether an error of Accept says that the last connection of the queue
// has been taken. It closes the listener then.
func (l *clientListener) queueEnded(err error) bool {
	l.mu.Lock()
	ended := l.drainingQueue && errors.Is(err, os.ErrDeadlineExceeded)
	l.mu.Unlock()
	if ended {
		l.Close()
	}
	return ended
}

// sleep waits, or until the listener is closed.
func (l *clientListener) sleep(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	over := false
	defer time.AfterFunc(d, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		over = true
		l.placeFreed.Broadcast()
	}).Stop()
	for !over && !l.closed {
		l.placeFreed.Wait()
	}
}

// awaitRoom returns false once the listener is closed.
func (l *clientListener) awaitRoom() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for !l.closed {
		if l.drainingQueue {
			return l.extendQueueDeadline()
		}
		ok, look := l.table.Room(l.now())
		if ok {
			return true
		}
		l.logOverload()
		l.wait(look)
	}
	return false
}

// wait waits until a place may have come free, or for so long, if that is not 0.
func (l *clientListener) wait(most time.Duration) {
	if most > 0 {
		defer time.AfterFunc(most, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.placeFreed.Broadcast()
		}).Stop()
	}
	l.placeFreed.Wait()
}

func (l *clientListener) logOverload() {
	if n := l.table.Counts(); l.logLimit.allow() {
		slog.Warn("many connections of clients", "open", n.Open, "new", n.ByState[connlimit.New], "head", n.ByState[connlimit.Head],
			"busy", n.ByState[connlimit.Busy], "idle", n.ByState[connlimit.Idle], "sources", n.Sources, "over_share", n.OverShare)
	}
}

// take finds a place for a connection, or turns it away and returns nil.
func (l *clientListener) admit(c net.Conn) *clientConn {
	address := netip.Addr{}
	if tcp, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		address = tcp.AddrPort().Addr()
	}
	conn := &clientConn{Conn: c, listener: l, readAhead: newReadAheadConn(c)}
	conn.idle.Store(true)
	l.mu.Lock()
	var victim *clientConn
	for {
		place, over, out := l.table.Open(l.now(), address)
		if out != nil {
			victim = l.evict(out, evictionCause(out))
		}
		if place != nil && l.phase < phaseClosingNew {
			conn.entry = place
			l.conns[place] = conn
			break
		}
		if place != nil {
			l.table.Close(place)
		}
		if over || l.closed || l.drainingQueue {
			conn.closeCause = closedRejected
			stops := l.closed || l.drainingQueue
			l.mu.Unlock()
			conn.rejectConnection(stops)
			return nil
		}
		// What had room for it is in a request by now.
		l.logOverload()
		l.wait(connlimit.NewGrace)
	}
	l.mu.Unlock()
	if victim != nil {
		victim.closeEvicted()
	}
	l.setSilenceTimeout(c) // not before: one that is turned away has to be cheap
	return conn
}

// limitSilence makes the system end a connection whose peer has vanished, without a
// byte that a client could see, and reads how long it has waited.
func (l *clientListener) setSilenceTimeout(c net.Conn) {
	if err := setSilenceTimeout(c); err != nil {
		l.silenceUnlimited.Add(1)
	}
	if waited, ok := sinceLastSegment(c); ok {
		l.queueWaitMs.Store(waited.Milliseconds())
	}
}

// Close ends accepting.
func (l *clientListener) Close() error {
	l.mu.Lock()
	l.closed = true
	l.placeFreed.Broadcast()
	l.mu.Unlock()
	return l.Listener.Close()
}

// connState follows what the server does with its connections.
func (l *clientListener) connState(c net.Conn, s http.ConnState) {
	conn, ok := c.(*clientConn)
	if !ok {
		return
	}
	if l.onState != nil {
		l.onState(conn, s)
	}
	switch s {
	case http.StateActive:
		conn.setState(connlimit.Busy)
	case http.StateIdle:
		if conn.betweenRequests() {
			conn.setState(connlimit.Idle)
		} else {
			conn.setState(connlimit.Head) // the next request has come behind the last
		}
	}
}

func (l *clientListener) counts() connlimit.Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Counts()
}

// write puts the figures out, a line each.
func (l *clientListener) writeMetrics(w io.Writer) {
	n := l.counts()
	for state, name := range map[connlimit.State]string{connlimit.New: "new", connlimit.Head: "head", connlimit.Busy: "busy",
		connlimit.Idle: "idle"} {
		fmt.Fprintf(w, "app.clients.%s:%d|g\n", name, n.ByState[state])
	}
	fmt.Fprintf(w, "app.clients.sources:%d|g\napp.clients.sources_over:%d|g\napp.clients.accepted:%d|c\n", n.Sources, n.OverShare, l.accepted.Load())
	for cause, name := range closeCauseNames {
		fmt.Fprintf(w, "app.clients.closed.%s:%d|c\n", name, l.closeCounts[cause].Load())
	}
	fmt.Fprintf(w, "app.clients.wait_ms:%d|g\napp.clients.no_descriptor:%d|c\napp.clients.silence_unlimited:%d|c\napp.clients.rejected:%d|c\napp.clients.accept_failed:%d|c\n",
		l.queueWaitMs.Load(), l.descriptorErrors.Load(), l.silenceUnlimited.Load(), l.rejectedRequests.Load(), l.acceptErrors.Load())
}
