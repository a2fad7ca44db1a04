package gateway

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dunlintray/internal/connlimit"
	"dunlintray/internal/gateway/body"
)

// longHeaderBytes is the memory that a header of more than body.UncountedBytes takes at most.
const longHeaderBytes = 48 << 10

// pipelinedBatch is the number of pipelined requests that are rejected with one write.
const pipelinedBatch = 100

// clientConn is one connection of a client.
type clientConn struct {
	net.Conn
	listener  *clientListener
	entry     *connlimit.Conn
	readAhead *readAheadConn // of Conn

	// Guarded by listener.mu:
	evicted     bool
	lingering   bool // the gateway's side is closed, or is about to be
	evictedBusy bool // evicted in the middle of a request
	closeCause  int

	idle            atomic.Bool // in state New or Idle: the next byte begins a request
	responseStarted atomic.Bool // something was written since the last request began
	skipLinger      atomic.Bool // Close need not wait for the client to close its side
	closeDelimited  atomic.Bool // the end of the connection ends the response (HTTP/1.0)
	closeOnce       sync.Once
	unread          unreadProbe
	longHeader      *body.Slot   // of longHeaderBytes
	localAnswers    localAnswers // owned by the handler of the current request

	mu          sync.Mutex
	framing     framingScanner
	arrivedAt   time.Time       // when the last bytes that were read had arrived
	overflow    *framingScanner // scans the bytes that the read-ahead discards, after those that it has buffered
	headsServed int             // request headers that the server has received
	rejected    bool            // the final response was a rejection; the server may write nothing more
}

// Read implements net.Conn. It checks request headers for ambiguous framing and records the
// beginning of a request. A request that begins on an evicted connection is rejected: its
// bytes have been read, and from a close alone the client could not know that it never ran.
func (c *clientConn) Read(p []byte) (int, error) {
	n, arrivedAt, err := c.readAhead.read(p)
	if errors.Is(err, errOverflowed) {
		c.rejectPipelined()
		return 0, io.EOF
	}
	if n > 0 && c.idle.Load() && !c.beginRequest() {
		c.rejectRequest(unavailableResponse)
		return 0, io.EOF
	}
	if n == 1 && len(p) == 1 {
		c.readAhead.start() // a read of one byte is net/http's wait for the client to disconnect
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.skipLinger.Store(true)
	}
	if !c.scan(p[:n], arrivedAt) {
		c.rejectHeader()
		return 0, io.EOF
	}
	if !c.reserveHeader() {
		c.giveUp(closedNoMemory)
		c.rejectRequest(unavailableResponse)
		return 0, io.EOF
	}
	return n, err
}

// reserveHeader reserves memory for a header that has become long, until the connection is idle. It
// returns false if there is none.
func (c *clientConn) reserveHeader() bool {
	c.mu.Lock()
	long := c.framing.headerBytes > body.UncountedBytes
	c.mu.Unlock()
	return !long || c.longHeader.Acquire()
}

// scan scans bytes that were read and had arrived by the given time. It returns false if a header
// has too many fields.
func (c *clientConn) scan(data []byte, arrivedAt time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(data) > 0 {
		c.arrivedAt = arrivedAt
	}
	c.framing.scan(data)
	return !c.framing.tooManyFields
}

// giveUp records why the gateway closes the connection, and logs it, at most once a second.
func (c *clientConn) giveUp(cause int) {
	c.listener.mu.Lock()
	c.closeCause = cause
	c.listener.mu.Unlock()
	if c.listener.logLimit.allow() {
		slog.Warn("connection of a client given up", "cause", closeCauseNames[cause], "client", c.RemoteAddr())
	}
}

// scanDiscarded scans pipelined bytes that the read-ahead discards.
func (c *clientConn) scanDiscarded(data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.overflow == nil {
		overflow := c.framing
		overflow.scan(c.readAhead.buffered)
		c.overflow = &overflow
	}
	c.overflow.scan(data)
}

// rejectPipelined rejects all pipelined requests whose header has arrived, after the response to
// the request before them. The client cannot know which of them were read.
func (c *clientConn) rejectPipelined() {
	c.giveUp(closedPipelined)
	c.mu.Lock()
	pending := c.overflow.heads - c.headsServed
	c.mu.Unlock()
	c.SetWriteDeadline(time.Now().Add(rejectRequestTimeout))
	for ; pending > 1; pending -= pipelinedBatch {
		batch := min(pending-1, pipelinedBatch)
		if _, err := io.WriteString(c.Conn, strings.Repeat(pipelinedResponse, batch)); err != nil {
			return
		}
	}
	c.responseStarted.Store(false)
	c.rejectRequest(unavailableResponse)
}

// rejectHeader rejects a request whose header or trailer has too many fields.
func (c *clientConn) rejectHeader() {
	c.giveUp(closedHeaderFields)
	c.rejectRequest(headerFieldsResponse)
}

// Write implements net.Conn. It fails once the connection has been rejected.
func (c *clientConn) Write(p []byte) (int, error) {
	if !c.startWrite() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(p)
	if err != nil {
		c.skipLinger.Store(true) // the client reads nothing more
	}
	return n, err
}

// startWrite reports whether the server may write, and records that it does.
func (c *clientConn) startWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.rejected {
		c.responseStarted.Store(true)
	}
	return !c.rejected
}

// rejectRequest writes text as the last response on the connection, unless the server has
// started to write one.
func (c *clientConn) rejectRequest(text string) {
	c.mu.Lock()
	if c.rejected || c.responseStarted.Load() {
		c.mu.Unlock()
		return
	}
	c.rejected = true
	c.responseStarted.Store(true)
	c.mu.Unlock()
	c.listener.rejectedRequests.Add(1)
	c.SetWriteDeadline(time.Now().Add(rejectRequestTimeout))
	io.WriteString(c.Conn, text)
}

// closeEvicted closes an evicted connection. If it is idle, it interrupts the reader, which
// closes the connection, since only the reader knows whether a request has begun.
func (c *clientConn) closeEvicted() {
	switch {
	case c.idle.Load():
		c.readAhead.interrupt()
		return
	case c.evictedBusy:
		c.rejectRequest(badGatewayResponse)
	default:
		c.rejectRequest(unavailableResponse)
	}
	if c.truncatesResponse() {
		c.reset()
	}
	c.Close()
}

// truncatesResponse reports whether closing the connection now may truncate a response in a
// way that the client cannot notice.
func (c *clientConn) truncatesResponse() bool {
	return c.closeDelimited.Load() && c.responseStarted.Load()
}

// SetReadDeadline implements net.Conn.
func (c *clientConn) SetReadDeadline(t time.Time) error { return c.readAhead.SetReadDeadline(t) }

// beginRequest records that the first byte of a request has been read. It returns false if
// the connection has been evicted.
func (c *clientConn) beginRequest() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.evicted {
		return false
	}
	c.idle.Store(false)
	c.responseStarted.Store(false)
	c.listener.table.Set(c.listener.now(), c.entry, connlimit.Head)
	return true
}

// setState records the state of the connection and closes it if the shutdown calls for that.
func (c *clientConn) setState(state connlimit.State) {
	if state == connlimit.Busy {
		c.mu.Lock()
		c.headsServed++
		c.mu.Unlock()
	}
	if state == connlimit.Idle {
		c.longHeader.Release()
	}
	if c.enterState(state) {
		c.Close()
	}
}

// enterState records the state and reports whether the shutdown closes the connection.
func (c *clientConn) enterState(state connlimit.State) (closing bool) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.evicted {
		return false
	}
	c.idle.Store(state == connlimit.Idle)
	c.listener.table.Set(c.listener.now(), c.entry, state)
	if state != connlimit.Busy {
		c.responseStarted.Store(false)
	}
	if state == connlimit.Idle {
		c.listener.placeFreed.Broadcast()
	}
	// Bytes that have arrived before the close get a response.
	if closing = c.listener.closesInPhase(c.entry) && !hasUnreadBytes(c.Conn); closing {
		c.listener.evict(c.entry, closedShutdown)
	}
	return closing
}

// wasEvicted reports whether the connection was evicted. A header may be complete at the
// moment in which its connection is evicted for being slow; forwarding the request would
// run it for no client.
func (c *clientConn) wasEvicted() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.evicted
}

// peerClosed reports whether the client has closed the connection after a request that has
// been read.
func (c *clientConn) peerClosed() bool {
	select {
	case <-c.readAhead.peerClosed:
		return true
	default:
		return false
	}
}

// betweenRequests reports whether no byte of a next request has been read.
func (c *clientConn) betweenRequests() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.framing.heads == c.headsServed && c.framing.betweenMessages()
}

// pipelined reports whether bytes of a next request have been read while one is in progress.
func (c *clientConn) pipelined() bool {
	return c.readAhead.bufferedBytes.Load() > 0 || !c.betweenRequests()
}

// ambiguousFraming reports whether a request header gave the length of its body in more than
// one way.
func (c *clientConn) ambiguousFraming() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.framing.ambiguous
}

// bodyBytes returns the number of body bytes read on the connection, without their framing.
func (c *clientConn) bodyBytes() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.framing.bodyBytes
}

// earlierBodyBytes returns the number of body bytes read before the last request header.
func (c *clientConn) earlierBodyBytes() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.framing.earlierBodyBytes
}

// sinceArrival returns how long ago the last bytes that were read had arrived. A pipelined request
// may have waited for that long.
func (c *clientConn) sinceArrival() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.arrivedAt.IsZero() {
		return 0
	}
	return time.Since(c.arrivedAt)
}

// reset makes the next close reset the connection, so that the client notices a truncation.
func (c *clientConn) reset() {
	c.skipLinger.Store(true)
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
}

// rejectConnection rejects a connection for which there is no place. During a shutdown it
// lingers, so that the client receives the response; under overload that would cost too much.
func (c *clientConn) rejectConnection(stopping bool) {
	c.SetWriteDeadline(time.Now().Add(rejectConnTimeout))
	io.WriteString(c.Conn, unavailableResponse)
	if tcp, ok := c.Conn.(*net.TCPConn); ok && stopping {
		go c.linger(tcp, rejectedLingerTime)
		return
	}
	c.closeNow()
}

// Close implements net.Conn. It frees the connection's place, once. After a response it
// closes the gateway's side first and waits for the client to close the other: closing a
// socket with unread bytes resets the connection, and the response in transit would be lost.
func (c *clientConn) Close() error {
	tcp, ok := c.Conn.(*net.TCPConn)
	switch {
	case !ok || !c.responseStarted.Load() || c.skipLinger.Load():
		return c.closeNow()
	case c.wasRejected():
		return c.closeRejected(tcp)
	case !c.beginLinger():
		return c.closeNow()
	}
	go c.linger(tcp, lingerTime)
	return nil
}

// beginLinger reports whether to linger: not if the connection was evicted to free its
// place, and not twice.
func (c *clientConn) beginLinger() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.lingering || c.entry == nil || c.evicted && !c.evictedBusy {
		return false
	}
	c.lingering = true
	c.listener.table.Set(c.listener.now(), c.entry, connlimit.Idle) // may be evicted
	c.listener.placeFreed.Broadcast()
	return true
}

// wasRejected reports whether the final response was a rejection.
func (c *clientConn) wasRejected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rejected
}

// closeRejected lingers for a short time after a rejection, once. A second close, by the
// server, must not cut that short.
func (c *clientConn) closeRejected(tcp *net.TCPConn) error {
	c.listener.mu.Lock()
	first := !c.lingering
	mayLinger := first && c.listener.rejectedLingering < maxRejectedLingering
	if mayLinger {
		c.lingering = true
		c.listener.rejectedLingering++
	}
	c.listener.mu.Unlock()
	switch {
	case !first:
		return nil
	case !mayLinger:
		return c.closeNow()
	}
	go func() {
		c.linger(tcp, rejectedLingerTime)
		c.listener.mu.Lock()
		c.listener.rejectedLingering--
		c.listener.mu.Unlock()
	}()
	return nil
}

// linger closes the gateway's side of the connection, waits for the client to close the
// other, and closes the connection. An eviction closes it sooner.
func (c *clientConn) linger(tcp *net.TCPConn, timeout time.Duration) {
	defer c.closeNow()
	if tcp.CloseWrite() == nil && tcp.SetReadDeadline(time.Now().Add(timeout)) == nil {
		io.Copy(io.Discard, io.LimitReader(tcp, maxLingerBytes))
	}
}

// closeNow closes the connection without lingering and frees its place.
func (c *clientConn) closeNow() error {
	err := c.Conn.Close()
	c.closeOnce.Do(func() {
		c.readAhead.memory.Close()
		c.longHeader.Close()
		listener := c.listener
		listener.mu.Lock()
		defer listener.mu.Unlock()
		if c.entry != nil {
			listener.table.Close(c.entry)
			delete(listener.conns, c.entry)
		}
		listener.closeCounts[c.closeCause].Add(1)
		listener.placeFreed.Broadcast()
	})
	return err
}
