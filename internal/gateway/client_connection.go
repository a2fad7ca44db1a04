package gateway

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"dunlintray/internal/connlimit"
)

// clientConn is one connection of a client.
type clientConn struct {
	net.Conn
	listener  *clientListener
	entry     *connlimit.Conn
	readAhead *readAheadConn // of Conn

	// Of the owner's mu:
	evicted     bool
	lingering   bool // its end is on the way to the client
	evictedBusy bool // it was given up in the middle of a request
	closeCause  int

	idle            atomic.Bool // New or Idle: the next byte begins a request
	responseStarted atomic.Bool // something was written since the last request began
	skipLinger      atomic.Bool // there is nobody, or nothing more, to wait for
	closeDelimited  atomic.Bool // its answer ends with the connection, so a client can't tell a part from the whole
	closeOnce       sync.Once
	unread          unreadProbe

	mu          sync.Mutex
	framing     framingScanner
	headsServed int  // of requests that the server has taken
	rejected    bool // it has had its last answer; the server writes nothing more
}

// Read reads along, for heads that could be read in two ways, and tells that a
// request has begun. One that begins on a connection that was given up goes no
// further. Its bytes have been read, so its client is told: from a close alone it
// could not know that the request never ran.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.readAhead.Read(p)
	if n > 0 && c.idle.Load() && !c.beginRequest() {
		c.rejectRequest(unavailableResponse)
		return 0, io.EOF
	}
	if n == 1 && len(p) == 1 {
		c.readAhead.start() // net/http listens for the client's end byte by byte, and has found another
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.skipLinger.Store(true)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.framing.scan(p[:n])
	return n, err
}

func (c *clientConn) Write(p []byte) (int, error) {
	if !c.startWrite() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(p)
	if err != nil {
		c.skipLinger.Store(true) // the client takes nothing more
	}
	return n, err
}

// answers notes that the server writes, and reports whether it may.
func (c *clientConn) startWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.rejected {
		c.responseStarted.Store(true)
	}
	return !c.rejected
}

// reject gives the request on the connection its answer, unless the server has begun to,
// and nothing behind it.
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

// endGivenUp ends a connection that was given up. One that rests is closed by whoever reads
// it, since only the reader knows whether a byte of a request has come.
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

// cutShort reports whether the connection ends in the middle of an answer whose client
// could take the part for the whole.
func (c *clientConn) truncatesResponse() bool {
	return c.closeDelimited.Load() && c.responseStarted.Load()
}

// SetReadDeadline is for reads of the server's.
func (c *clientConn) SetReadDeadline(t time.Time) error { return c.readAhead.SetReadDeadline(t) }

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

func (c *clientConn) setState(s connlimit.State) {
	if s == connlimit.Busy {
		c.mu.Lock()
		c.headsServed++
		c.mu.Unlock()
	}
	if c.enterState(s) {
		c.Close()
	}
}

// enter takes note of the state, and tells whether the connection goes for it.
func (c *clientConn) enterState(s connlimit.State) (goes bool) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.evicted {
		return false
	}
	c.idle.Store(s == connlimit.Idle)
	c.listener.table.Set(c.listener.now(), c.entry, s)
	if s != connlimit.Busy {
		c.responseStarted.Store(false)
	}
	if s == connlimit.Idle {
		c.listener.placeFreed.Broadcast()
	}
	// What waits to be read came before the end, and is answered.
	if goes = c.listener.closesInPhase(c.entry) && !hasUnreadBytes(c.Conn); goes {
		c.listener.evict(c.entry, closedShutdown)
	}
	return goes
}

// dropped tells whether the connection was given up. Danger: a head may have been
// read whole in the moment in which it was given up for taking too long. Sent on,
// its request would run for nobody.
func (c *clientConn) wasEvicted() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.evicted
}

// gone tells whether the client has ended the connection, behind a request that has
// been read before.
func (c *clientConn) peerClosed() bool {
	select {
	case <-c.readAhead.peerClosed:
		return true
	default:
		return false
	}
}

// between tells whether no byte of a next request has come.
func (c *clientConn) betweenRequests() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.framing.heads == c.headsServed && c.framing.betweenMessages()
}

// pipelined reports whether bytes of a next request have been read, beside the one that is
// under way.
func (c *clientConn) pipelined() bool {
	return c.readAhead.bufferedBytes.Load() > 0 || !c.betweenRequests()
}

func (c *clientConn) ambiguousFraming() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.framing.ambiguous
}

// bodies is how many bytes of bodies have come.
func (c *clientConn) bodyBytes() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.framing.bodyBytes
}

// before is how many had come before the last head.
func (c *clientConn) earlierBodyBytes() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.framing.earlierBodyBytes
}

// reset makes the connection's end one that the peer can tell from a proper one.
func (c *clientConn) reset() {
	c.skipLinger.Store(true)
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
}

// turnAway ends a connection for which there is no place. At a stop it waits for the client
// to hear so, which in a crowd would cost too much.
func (c *clientConn) rejectConnection(stops bool) {
	c.SetWriteDeadline(time.Now().Add(rejectConnTimeout))
	io.WriteString(c.Conn, unavailableResponse)
	if tcp, ok := c.Conn.(*net.TCPConn); ok && stops {
		go c.linger(tcp, rejectedLingerTime)
		return
	}
	c.closeNow()
}

// Close ends the connection and frees its place, once. Behind an answer it ends
// the gateway's side first and waits for the client's: a close over bytes that nobody
// has read resets the connection, and the answer that is on its way goes with it.
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

// beginLinger reports whether to wait for the client's end: not where its place is wanted,
// and not twice.
func (c *clientConn) beginLinger() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.lingering || c.entry == nil || c.evicted && !c.evictedBusy {
		return false
	}
	c.lingering = true
	c.listener.table.Set(c.listener.now(), c.entry, connlimit.Idle) // it may go for another
	c.listener.placeFreed.Broadcast()
	return true
}

func (c *clientConn) wasRejected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rejected
}

// closeRejected waits for the client's end behind a rejection, once, for a short time. The
// server closes the connection too, which must not end it sooner.
func (c *clientConn) closeRejected(tcp *net.TCPConn) error {
	c.listener.mu.Lock()
	first := !c.lingering
	wait := first && c.listener.rejectedLingering < maxRejectedLingering
	if wait {
		c.lingering = true
		c.listener.rejectedLingering++
	}
	c.listener.mu.Unlock()
	switch {
	case !first:
		return nil
	case !wait:
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

// linger waits for the client's end. Whoever wants the place closes the connection
// under it.
func (c *clientConn) linger(tcp *net.TCPConn, wait time.Duration) {
	defer c.closeNow()
	if tcp.CloseWrite() == nil && tcp.SetReadDeadline(time.Now().Add(wait)) == nil {
		io.Copy(io.Discard, io.LimitReader(tcp, maxLingerBytes))
	}
}

func (c *clientConn) closeNow() error {
	err := c.Conn.Close()
	c.closeOnce.Do(func() {
		l := c.listener
		l.mu.Lock()
		defer l.mu.Unlock()
		if c.entry != nil {
			l.table.Close(c.entry)
			delete(l.conns, c.entry)
		}
		l.closeCounts[c.closeCause].Add(1)
		l.placeFreed.Broadcast()
	})
	return err
}
