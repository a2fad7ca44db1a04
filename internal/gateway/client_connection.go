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
	owner *clients
	place *connlimit.Conn
	ahead *aheadReader // of Conn

	// Of the owner's mu:
	givenUp bool
	lingers bool // its end is on the way to the client
	busy    bool // it was given up in the middle of a request
	cause   int

	resting  atomic.Bool // New or Idle: the next byte begins a request
	answered atomic.Bool // something was written since the last request began
	ended    atomic.Bool // there is nobody, or nothing more, to wait for
	untold   atomic.Bool // its answer ends with the connection, so a client can't tell a part from the whole
	over     sync.Once
	probe    unreadProbe

	mu       sync.Mutex
	read     framing
	heads    int  // of requests that the server has taken
	rejected bool // it has had its last answer; the server writes nothing more
}

// Read reads along, for heads that could be read in two ways, and tells that a
// request has begun. One that begins on a connection that was given up goes no
// further. Its bytes have been read, so its client is told: from a close alone it
// could not know that the request never ran.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.ahead.Read(p)
	if n > 0 && c.resting.Load() && !c.begin() {
		c.reject(turnedAwayText)
		return 0, io.EOF
	}
	if n == 1 && len(p) == 1 {
		c.ahead.begin() // net/http listens for the client's end byte by byte, and has found another
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.ended.Store(true)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.read.read(p[:n])
	return n, err
}

func (c *clientConn) Write(p []byte) (int, error) {
	if !c.answers() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(p)
	if err != nil {
		c.ended.Store(true) // the client takes nothing more
	}
	return n, err
}

// answers notes that the server writes, and reports whether it may.
func (c *clientConn) answers() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.rejected {
		c.answered.Store(true)
	}
	return !c.rejected
}

// reject gives the request on the connection its answer, unless the server has begun to,
// and nothing behind it.
func (c *clientConn) reject(text string) {
	c.mu.Lock()
	if c.rejected || c.answered.Load() {
		c.mu.Unlock()
		return
	}
	c.rejected = true
	c.answered.Store(true)
	c.mu.Unlock()
	c.owner.rejected.Add(1)
	c.SetWriteDeadline(time.Now().Add(rejectWait))
	io.WriteString(c.Conn, text)
}

// endGivenUp ends a connection that was given up. One that rests is closed by whoever reads
// it, since only the reader knows whether a byte of a request has come.
func (c *clientConn) endGivenUp() {
	switch {
	case c.resting.Load():
		c.ahead.interrupt()
		return
	case c.busy:
		c.reject(cutOffText)
	default:
		c.reject(turnedAwayText)
	}
	if c.cutShort() {
		c.reset()
	}
	c.Close()
}

// cutShort reports whether the connection ends in the middle of an answer whose client
// could take the part for the whole.
func (c *clientConn) cutShort() bool { return c.untold.Load() && c.answered.Load() }

// SetReadDeadline is for reads of the server's.
func (c *clientConn) SetReadDeadline(t time.Time) error { return c.ahead.SetReadDeadline(t) }

func (c *clientConn) begin() bool {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if c.givenUp {
		return false
	}
	c.resting.Store(false)
	c.answered.Store(false)
	c.owner.table.Set(c.owner.now(), c.place, connlimit.Head)
	return true
}

func (c *clientConn) set(s connlimit.State) {
	if s == connlimit.Busy {
		c.mu.Lock()
		c.heads++
		c.mu.Unlock()
	}
	if c.enter(s) {
		c.Close()
	}
}

// enter takes note of the state, and tells whether the connection goes for it.
func (c *clientConn) enter(s connlimit.State) (goes bool) {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if c.givenUp {
		return false
	}
	c.resting.Store(s == connlimit.Idle)
	c.owner.table.Set(c.owner.now(), c.place, s)
	if s != connlimit.Busy {
		c.answered.Store(false)
	}
	if s == connlimit.Idle {
		c.owner.room.Broadcast()
	}
	// What waits to be read came before the end, and is answered.
	if goes = c.owner.goes(c.place) && !hasUnreadBytes(c.Conn); goes {
		c.owner.giveUp(c.place, closedStop)
	}
	return goes
}

// dropped tells whether the connection was given up. Danger: a head may have been
// read whole in the moment in which it was given up for taking too long. Sent on,
// its request would run for nobody.
func (c *clientConn) dropped() bool {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	return c.givenUp
}

// gone tells whether the client has ended the connection, behind a request that has
// been read before.
func (c *clientConn) gone() bool {
	select {
	case <-c.ahead.left:
		return true
	default:
		return false
	}
}

// between tells whether no byte of a next request has come.
func (c *clientConn) between() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.read.heads == c.heads && c.read.between()
}

// pipelined reports whether bytes of a next request have been read, beside the one that is
// under way.
func (c *clientConn) pipelined() bool { return c.ahead.waiting.Load() > 0 || !c.between() }

func (c *clientConn) doubt() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.read.doubt
}

// bodies is how many bytes of bodies have come.
func (c *clientConn) bodies() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.read.data
}

// before is how many had come before the last head.
func (c *clientConn) before() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.read.passed
}

// reset makes the connection's end one that the peer can tell from a proper one.
func (c *clientConn) reset() {
	c.ended.Store(true)
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
}

// turnAway ends a connection for which there is no place. At a stop it waits for the client
// to hear so, which in a crowd would cost too much.
func (c *clientConn) turnAway(stops bool) {
	c.SetWriteDeadline(time.Now().Add(refusalWait))
	io.WriteString(c.Conn, turnedAwayText)
	if tcp, ok := c.Conn.(*net.TCPConn); ok && stops {
		go c.linger(tcp, rejectedLingerTime)
		return
	}
	c.end()
}

// Close ends the connection and frees its place, once. Behind an answer it ends
// the gateway's side first and waits for the client's: a close over bytes that nobody
// has read resets the connection, and the answer that is on its way goes with it.
func (c *clientConn) Close() error {
	tcp, ok := c.Conn.(*net.TCPConn)
	switch {
	case !ok || !c.answered.Load() || c.ended.Load():
		return c.end()
	case c.wasRejected():
		return c.closeRejected(tcp)
	case !c.beginLinger():
		return c.end()
	}
	go c.linger(tcp, lingerTime)
	return nil
}

// beginLinger reports whether to wait for the client's end: not where its place is wanted,
// and not twice.
func (c *clientConn) beginLinger() bool {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if c.lingers || c.place == nil || c.givenUp && !c.busy {
		return false
	}
	c.lingers = true
	c.owner.table.Set(c.owner.now(), c.place, connlimit.Idle) // it may go for another
	c.owner.room.Broadcast()
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
	c.owner.mu.Lock()
	first := !c.lingers
	wait := first && c.owner.lingering < rejectedLingerMost
	if wait {
		c.lingers = true
		c.owner.lingering++
	}
	c.owner.mu.Unlock()
	switch {
	case !first:
		return nil
	case !wait:
		return c.end()
	}
	go func() {
		c.linger(tcp, rejectedLingerTime)
		c.owner.mu.Lock()
		c.owner.lingering--
		c.owner.mu.Unlock()
	}()
	return nil
}

// linger waits for the client's end. Whoever wants the place closes the connection
// under it.
func (c *clientConn) linger(tcp *net.TCPConn, wait time.Duration) {
	defer c.end()
	if tcp.CloseWrite() == nil && tcp.SetReadDeadline(time.Now().Add(wait)) == nil {
		io.Copy(io.Discard, io.LimitReader(tcp, lingerMost))
	}
}

func (c *clientConn) end() error {
	err := c.Conn.Close()
	c.over.Do(func() {
		l := c.owner
		l.mu.Lock()
		defer l.mu.Unlock()
		if c.place != nil {
			l.table.Close(c.place)
			delete(l.conns, c.place)
		}
		l.ended[c.cause].Add(1)
		l.room.Broadcast()
	})
	return err
}
