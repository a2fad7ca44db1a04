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
	"dunlintray/internal/gateway/body"
)

const (
	minRetryDelay        = 5 * time.Millisecond  // before a failed call is retried
	maxRetryDelay        = time.Second           // the delay doubles up to this
	rejectConnTimeout    = 20 * time.Millisecond // for writing the rejection of a new connection
	rejectRequestTimeout = 200 * time.Millisecond

	// After a response the gateway closes its side of the connection and waits for the
	// client to close the other. It discards what the client sends meanwhile.
	lingerTime     = 500 * time.Millisecond
	maxLingerBytes = 256 << 10

	// Connections rejected in the middle of a request linger for a shorter time, and only
	// so many at once, since the table no longer counts them.
	rejectedLingerTime   = 100 * time.Millisecond
	maxRejectedLingering = 32

	queueAcceptTimeout = 10 * time.Millisecond  // for the next connection while the accept queue is drained
	queueDrainTimeout  = 100 * time.Millisecond // for draining the whole queue
)

// unavailableResponse rejects a connection or a request of which no backend has received
// anything.
const unavailableResponse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// badGatewayResponse ends a request that may have reached a backend.
const badGatewayResponse = "HTTP/1.1 502 Bad Gateway\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// pipelinedResponse rejects a pipelined request that is not the last one.
const pipelinedResponse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"

// headerFieldsResponse rejects a request whose header has too many fields.
const headerFieldsResponse = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// Causes of the end of a client connection.
const (
	closedByPeer       = iota // also after a response or a timeout of the server
	closedIdle                // evicted between requests to make room
	closedNew                 // evicted before its first byte to make room
	closedShutdown            // closed by the shutdown
	closedRejected            // not admitted
	closedHeaderFields        // a header has too many fields
	closedPipelined           // too many bytes of pipelined requests
	closedNoMemory            // no memory for a long header
	closeCauseCount
)

var closeCauseNames = [closeCauseCount]string{"peer", "idle_given_up", "new_given_up", "stop", "turned_away", "header_fields", "pipelined", "no_memory"}

// clientListener accepts client connections and owns them until they are closed. Its table
// decides which connection is evicted to make room for another.
type clientListener struct {
	net.Listener

	mu            sync.Mutex
	placeFreed    sync.Cond // on mu; signals that a place may be free, or a change of state
	startedAt     time.Time
	table         *connlimit.Table
	conns         map[*connlimit.Conn]*clientConn
	closed        bool
	drainingQueue bool // connections in the accept queue are still accepted, later ones are not
	phase         shutdownPhase
	bodies        *body.Account // for pipelined requests and long headers; nil: no limit
	sharedQueue   bool          // other processes accept from the same queue

	rejectedLingering int // rejected connections that wait for the client to close
	logLimit          logLimiter

	onState func(*clientConn, http.ConnState) // test hook, called before a state is recorded

	accepted         atomic.Int64
	closeCounts      [closeCauseCount]atomic.Int64
	silenceUnlimited atomic.Int64 // connections whose silence timeout could not be set
	queueWaitMs      atomic.Int64 // time that the last connection spent in the accept queue, if known
	descriptorErrors atomic.Int64 // accept calls that failed for lack of descriptors or buffers
	acceptErrors     atomic.Int64 // accept calls that failed otherwise
	rejectedRequests atomic.Int64 // requests that were rejected on an evicted connection
}

// shutdownPhase says which connections the shutdown closes.
type shutdownPhase int

const (
	phaseServing     shutdownPhase = iota // none
	phaseClosingIdle                      // those between requests
	phaseClosingNew                       // also those without a first byte
)

// newClientListener wraps a listener and admits at most maxConns connections at once.
func newClientListener(listener net.Listener, maxConns int) *clientListener {
	clients := &clientListener{Listener: listener, startedAt: time.Now(), table: connlimit.NewTable(connlimit.Limits{Total: maxConns}),
		conns: map[*connlimit.Conn]*clientConn{}, logLimit: logLimiter{max: 1}}
	clients.placeFreed.L = &clients.mu
	return clients
}

// now returns the time since the listener was created, as the table counts it.
func (l *clientListener) now() time.Duration { return time.Since(l.startedAt) }

// setLimit changes the limit of connections and evicts those above it that are between
// requests or have sent nothing.
func (l *clientListener) setLimit(maxConns int) {
	l.mu.Lock()
	var evicted []*clientConn
	for _, entry := range l.table.SetLimits(connlimit.Limits{Total: maxConns}) {
		evicted = append(evicted, l.evict(entry, evictionCause(entry)))
	}
	l.placeFreed.Broadcast()
	l.mu.Unlock()
	closeEvicted(evicted)
}

// evict marks a connection as evicted and frees its place. The caller holds mu, and closes
// the connection after releasing it.
func (l *clientListener) evict(entry *connlimit.Conn, cause int) *clientConn {
	conn := l.conns[entry]
	l.table.Close(entry)
	conn.evicted, conn.closeCause = true, cause
	return conn
}

// closeEvicted closes connections that were evicted. The caller must not hold mu.
func closeEvicted(conns []*clientConn) {
	for _, conn := range conns {
		conn.closeEvicted()
	}
}

// evictionCause returns the close cause of a connection that is evicted to make room.
func evictionCause(entry *connlimit.Conn) int {
	if entry.State() == connlimit.New {
		return closedNew
	}
	return closedIdle
}

// setPhase enters a phase of the shutdown and closes the connections that the phase calls
// for, now and from now on. A connection in a request, in its header or with unread bytes
// stays open until its response is sent.
//
// http.Server.Shutdown would close a connection that it considers idle although the header
// of a request has been read in part, and the response would be lost. Here the state is
// checked and the connection evicted under one lock, and its reader rejects a request whose
// bytes arrive at the same time.
func (l *clientListener) setPhase(phase shutdownPhase) {
	l.mu.Lock()
	l.phase = phase
	var evicted []*clientConn
	for entry, conn := range l.conns {
		if !conn.evicted && !conn.lingering && l.closesInPhase(entry) && !hasUnreadBytes(conn.Conn) {
			evicted = append(evicted, l.evict(entry, closedShutdown))
		}
	}
	l.mu.Unlock()
	closeEvicted(evicted)
}

// failUnanswered ends every request without a response with an error, since the process is
// about to be killed. Responses in progress continue. It returns the number of connections
// that it evicted.
func (l *clientListener) failUnanswered() int {
	return l.evictWhere(func(conn *clientConn) bool { return !conn.responseStarted.Load() })
}

// closeAll evicts all remaining connections and returns their number. A connection is reset
// if its client could take the truncated response for a complete one.
func (l *clientListener) closeAll() int { return l.evictWhere(func(*clientConn) bool { return true }) }

// evictWhere evicts and closes the connections that match, in any state, and returns their
// number.
func (l *clientListener) evictWhere(match func(*clientConn) bool) int {
	l.mu.Lock()
	var evicted []*clientConn
	for entry, conn := range l.conns {
		if !conn.evicted && !conn.lingering && match(conn) {
			conn.evictedBusy = entry.State() == connlimit.Busy
			evicted = append(evicted, l.evict(entry, closedShutdown))
		}
	}
	l.mu.Unlock()
	closeEvicted(evicted)
	return len(evicted)
}

// closesInPhase reports whether the present phase of the shutdown closes a connection. The
// caller holds mu.
func (l *clientListener) closesInPhase(entry *connlimit.Conn) bool {
	switch entry.State() {
	case connlimit.Idle:
		return l.phase >= phaseClosingIdle
	case connlimit.New:
		return l.phase >= phaseClosingNew
	}
	return false
}

// waitDrained waits until all connections are closed. It returns an error if ctx ends first.
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

// Accept implements net.Listener. It waits for a free place before it accepts: while all
// places are taken by requests, connections stay in the accept queue, where another process
// may accept them. A connection from an address that already has its share of the places is
// rejected at once, so that it does not hold up the queue behind it.
func (l *clientListener) Accept() (net.Conn, error) {
	var acceptBackoff backoff
	for {
		if !l.awaitRoom() {
			return nil, net.ErrClosed
		}
		accepted, err := l.Listener.Accept()
		switch {
		case err != nil && l.queueEnded(err):
			return nil, net.ErrClosed
		case err != nil && !isTemporaryAcceptError(err):
			return nil, err
		case err != nil:
			l.recordAcceptError(err)
			l.sleep(acceptBackoff.nextDelay())
			continue
		}
		acceptBackoff.reset()
		l.accepted.Add(1)
		if conn := l.admit(accepted); conn != nil {
			runtime.Gosched() // lets open connections run before the next accept
			return conn, nil
		}
	}
}

// recordAcceptError counts a temporary error and logs it, at most once a second.
func (l *clientListener) recordAcceptError(err error) {
	message := "accepting a client failed"
	if outOfResources(err) {
		l.descriptorErrors.Add(1)
		message = "no descriptor for a client"
	} else {
		l.acceptErrors.Add(1)
	}
	if l.logLimit.allow() {
		slog.Error(message, "error", err)
	}
}

// drainQueue accepts the connections that wait in the accept queue and then closes the
// listener. Closing it with connections in the queue would reset them, though this machine
// may already have received their requests. A queue shared with other processes is left to
// them.
func (l *clientListener) drainQueue() {
	l.mu.Lock()
	l.drainingQueue = !l.sharedQueue && l.extendQueueDeadline()
	l.placeFreed.Broadcast()
	for start := l.now(); l.drainingQueue && !l.closed && l.now()-start < queueDrainTimeout; {
		l.wait(queueDrainTimeout)
	}
	l.mu.Unlock()
	l.Close()
}

// extendQueueDeadline allows queueAcceptTimeout for the next connection in the accept queue.
// It returns false if the listener supports no deadline. The caller holds mu.
func (l *clientListener) extendQueueDeadline() bool {
	listener, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	return ok && listener.SetDeadline(time.Now().Add(queueAcceptTimeout)) == nil
}

// queueEnded reports whether an error of Accept means that the accept queue has been
// drained, and closes the listener if so.
func (l *clientListener) queueEnded(err error) bool {
	l.mu.Lock()
	ended := l.drainingQueue && errors.Is(err, os.ErrDeadlineExceeded)
	l.mu.Unlock()
	if ended {
		l.Close()
	}
	return ended
}

// sleep waits for the duration or until the listener is closed.
func (l *clientListener) sleep(duration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	elapsed := false
	defer time.AfterFunc(duration, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		elapsed = true
		l.placeFreed.Broadcast()
	}).Stop()
	for !elapsed && !l.closed {
		l.placeFreed.Wait()
	}
}

// awaitRoom waits until another connection may be accepted. It returns false once the
// listener is closed.
func (l *clientListener) awaitRoom() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for !l.closed {
		if l.drainingQueue {
			return l.extendQueueDeadline()
		}
		ok, recheckAfter := l.table.Room(l.now())
		if ok {
			return true
		}
		l.logOverload()
		l.wait(recheckAfter)
	}
	return false
}

// wait waits for placeFreed, for at most the timeout; 0 means no timeout. The caller holds
// mu.
func (l *clientListener) wait(timeout time.Duration) {
	if timeout > 0 {
		defer time.AfterFunc(timeout, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.placeFreed.Broadcast()
		}).Stop()
	}
	l.placeFreed.Wait()
}

// logOverload logs the connections by state, at most once a second. The caller holds mu.
func (l *clientListener) logOverload() {
	if counts := l.table.Counts(); l.logLimit.allow() {
		slog.Warn("many connections of clients", "open", counts.Open, "new", counts.ByState[connlimit.New], "head", counts.ByState[connlimit.Head],
			"busy", counts.ByState[connlimit.Busy], "idle", counts.ByState[connlimit.Idle], "sources", counts.Sources, "over_share", counts.OverShare)
	}
}

// admit enters an accepted connection into the table. If there is no place, it rejects the
// connection and returns nil.
func (l *clientListener) admit(accepted net.Conn) *clientConn {
	address := netip.Addr{}
	if tcp, ok := accepted.RemoteAddr().(*net.TCPAddr); ok {
		address = tcp.AddrPort().Addr()
	}
	conn := &clientConn{Conn: accepted, listener: l, longHeader: body.NewSlot(l.bodies, body.LongHeader, longHeaderBytes)}
	conn.readAhead = newReadAheadConn(accepted, l.bodies, conn.responseStarted.Load, conn.scanDiscarded)
	conn.idle.Store(true)
	l.mu.Lock()
	var victim *clientConn
	for {
		entry, atShare, evicted := l.table.Open(l.now(), address)
		if evicted != nil {
			victim = l.evict(evicted, evictionCause(evicted))
		}
		if entry != nil && l.phase < phaseClosingNew {
			conn.entry = entry
			l.conns[entry] = conn
			break
		}
		if entry != nil {
			l.table.Close(entry)
		}
		if atShare || l.closed || l.drainingQueue {
			conn.closeCause = closedRejected
			stopping := l.closed || l.drainingQueue
			l.mu.Unlock()
			conn.rejectConnection(stopping)
			return nil
		}
		// The connection that could have been evicted is in a request by now.
		l.logOverload()
		l.wait(connlimit.NewGrace)
	}
	l.mu.Unlock()
	if victim != nil {
		victim.closeEvicted()
	}
	l.setSilenceTimeout(accepted) // only now, since a rejection has to be cheap
	return conn
}

// setSilenceTimeout sets the silence timeout of a new connection and records how long the
// connection waited in the accept queue.
func (l *clientListener) setSilenceTimeout(conn net.Conn) {
	if err := setSilenceTimeout(conn); err != nil {
		l.silenceUnlimited.Add(1)
	}
	if waited, ok := sinceLastSegment(conn); ok {
		l.queueWaitMs.Store(waited.Milliseconds())
	}
}

// Close implements net.Listener. Open connections stay open.
func (l *clientListener) Close() error {
	l.mu.Lock()
	l.closed = true
	l.placeFreed.Broadcast()
	l.mu.Unlock()
	return l.Listener.Close()
}

// connState is the ConnState hook of the server. It records the state of a connection.
func (l *clientListener) connState(netConn net.Conn, state http.ConnState) {
	conn, ok := netConn.(*clientConn)
	if !ok {
		return
	}
	if l.onState != nil {
		l.onState(conn, state)
	}
	switch state {
	case http.StateActive:
		conn.setState(connlimit.Busy)
	case http.StateIdle:
		if conn.pipelined() {
			conn.setState(connlimit.Head) // bytes of the next request have been read
		} else {
			conn.setState(connlimit.Idle)
		}
	}
}

// counts returns the statistics of the table.
func (l *clientListener) counts() connlimit.Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Counts()
}

// writeMetrics writes the metrics of client connections, one per line.
func (l *clientListener) writeMetrics(w io.Writer) {
	counts := l.counts()
	for state, name := range map[connlimit.State]string{connlimit.New: "new", connlimit.Head: "head", connlimit.Busy: "busy",
		connlimit.Idle: "idle"} {
		fmt.Fprintf(w, "app.clients.%s:%d|g\n", name, counts.ByState[state])
	}
	fmt.Fprintf(w, "app.clients.sources:%d|g\napp.clients.sources_over:%d|g\napp.clients.accepted:%d|c\n", counts.Sources, counts.OverShare, l.accepted.Load())
	for cause, name := range closeCauseNames {
		fmt.Fprintf(w, "app.clients.closed.%s:%d|c\n", name, l.closeCounts[cause].Load())
	}
	fmt.Fprintf(w, "app.clients.wait_ms:%d|g\napp.clients.no_descriptor:%d|c\napp.clients.silence_unlimited:%d|c\napp.clients.rejected:%d|c\napp.clients.accept_failed:%d|c\n",
		l.queueWaitMs.Load(), l.descriptorErrors.Load(), l.silenceUnlimited.Load(), l.rejectedRequests.Load(), l.acceptErrors.Load())
}
