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
	cause   int

	resting  atomic.Bool // New or Idle: the next byte begins a request
	answered atomic.Bool // something was written since the last request began
	ended    atomic.Bool // there is nobody, or nothing more, to wait for
	over     sync.Once

	mu    sync.Mutex
	read  framing
	heads int // of requests that the server has taken
}

// Read reads along, for heads that could be read in two ways, and tells that a
// request has begun. One that begins on a connection that was given up is not
// read: its client sends it again.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.ahead.Read(p)
	if n > 0 && c.resting.Load() && !c.begin() {
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
	c.answered.Store(true)
	n, err := c.Conn.Write(p)
	if err != nil {
		c.ended.Store(true) // the client takes nothing more
	}
	return n, err
}

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
	if s == connlimit.Idle {
		c.answered.Store(false)
		c.owner.room.Broadcast()
	}
	if goes = c.owner.goes(c.place); goes {
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

func (c *clientConn) turnAway() {
	c.SetWriteDeadline(time.Now().Add(refusalWait))
	io.WriteString(c.Conn, turnedAwayText)
	c.Close()
}

// Close ends the connection and frees its place, once. Behind an answer it ends
// the gateway's side first and waits for the client's. Danger: a close over bytes
// that nobody has read resets the connection, and the answer that is on its way
// goes with it.
func (c *clientConn) Close() error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || !c.answered.Load() || c.ended.Load() || !c.beginLinger() {
		return c.end()
	}
	go c.linger(tcp)
	return nil
}

// beginLinger tells whether to wait for the client's end: not where its place is
// wanted, and not twice.
func (c *clientConn) beginLinger() bool {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if c.lingers || c.place == nil || c.givenUp {
		return false
	}
	c.lingers = true
	c.owner.table.Set(c.owner.now(), c.place, connlimit.Idle) // it may go for another
	c.owner.room.Broadcast()
	return true
}

// linger waits for the client's end. Whoever wants the place closes the connection
// under it.
func (c *clientConn) linger(tcp *net.TCPConn) {
	defer c.end()
	if tcp.CloseWrite() == nil && tcp.SetReadDeadline(time.Now().Add(lingerTime)) == nil {
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
