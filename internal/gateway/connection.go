package gateway

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// backendConn is a connection to a backend. It carries one request at a time.
type backendConn struct {
	net.Conn
	raw       syscall.RawConn    // to peek at the socket; nil if unavailable
	peekFD    func(uintptr) bool // peeks at the socket and sets peekErr
	peekErr   error              // result of the last peek
	remaining *io.LimitedReader  // bytes of the response that may still be read, headers included
	reader    *bufio.Reader      // reads from remaining, which reads from the connection; nil while idle
	writer    *bufio.Writer      // nil unless a request is being written
	framing   framingScanner     // checks that the framing of the response is unambiguous
	pool      *backendPool       // the pool that the connection belongs to
	idleSince time.Time          // zero: in use
	requests  int                // requests so far, including the current one
	idleFor   time.Duration      // idle time before the current request
}

// newBackendConn wraps a connection that belongs to the pool.
func newBackendConn(conn net.Conn, pool *backendPool) *backendConn {
	c := &backendConn{Conn: conn, pool: pool}
	c.remaining = &io.LimitedReader{R: c}
	c.raw = rawConn(conn)
	c.peekFD = func(fd uintptr) bool {
		c.peekErr = peek(fd)
		return !errors.Is(c.peekErr, syscall.EAGAIN)
	}
	return c
}

// Buffers of connections that are in use. An idle connection has none.
var (
	readerPool = sync.Pool{New: func() any { return bufio.NewReader(nil) }}
	writerPool = sync.Pool{New: func() any { return bufio.NewWriter(nil) }}
)

// beginRequest prepares the connection for the next request.
func (c *backendConn) beginRequest() {
	c.requests++
	c.framing.beginResponse()
	c.reader = readerPool.Get().(*bufio.Reader)
	c.reader.Reset(c.remaining)
	c.writer = writerPool.Get().(*bufio.Writer)
	c.writer.Reset(c.Conn)
}

// releaseWriter returns the write buffer, once the request has been written.
func (c *backendConn) releaseWriter() {
	if c.writer != nil {
		c.writer.Reset(nil)
		writerPool.Put(c.writer)
		c.writer = nil
	}
}

// releaseBuffers returns the buffers of a connection that becomes idle. The buffers of one that is
// discarded may still be in use by another goroutine.
func (c *backendConn) releaseBuffers() {
	c.releaseWriter()
	if c.reader != nil {
		c.reader.Reset(nil)
		readerPool.Put(c.reader)
		c.reader = nil
	}
}

// rawConn returns access to a connection's socket, or nil if there is none.
func rawConn(conn net.Conn) syscall.RawConn {
	sysConn, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// errTooManyFields reports a response whose header has more than maxHeaderFields.
var errTooManyFields = errors.New("too many header fields in a response")

// Read implements io.Reader. It also checks the header of the response.
func (c *backendConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.framing.scan(p[:n])
	if c.framing.tooManyFields {
		return 0, errTooManyFields
	}
	return n, err
}

// awaitReadable waits until the socket is readable and consumes nothing, so that waiting
// needs no buffer. A socket reports a reset only once: a later read sees the end of the stream
// instead, so the caller must act on the error that awaitReadable returns.
func (c *backendConn) awaitReadable() error {
	if c.raw == nil {
		return nil
	}
	if err := c.raw.Read(c.peekFD); err != nil {
		return err
	}
	return c.peekErr
}

// peek returns nil if the socket has data or has reached its end, and EAGAIN
// otherwise.
func peek(fd uintptr) error {
	_, err := peekByte(fd)
	return err
}

// peekByte returns 1 if the socket has data, and 0 at its end. It consumes nothing and does
// not wait.
func peekByte(fd uintptr) (n int, err error) {
	var buf [1]byte
	for {
		n, _, err = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if err != syscall.EINTR { // says nothing about the connection
			return n, err
		}
	}
}

// alive reports, without blocking, whether an idle connection is still open and has no
// data to read. It has to be checked before use: a request written to a connection that
// the backend has closed ends in a reset, which does not prove that the request had no
// effect.
func alive(conn net.Conn) bool {
	sysConn, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return false
	}
	// The read deadline of the last use may have expired since. Without this, peeking
	// at a healthy connection would fail with a timeout.
	conn.SetReadDeadline(time.Time{})
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		quiet = errors.Is(peek(fd), syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// hasUnreadBytes reports whether the socket holds bytes that have not been read yet. It may
// be called during a read.
func hasUnreadBytes(conn net.Conn) bool {
	raw := rawConn(conn)
	if raw == nil {
		return false
	}
	unread := 0
	raw.Control(func(fd uintptr) { unread, _ = peekByte(fd) })
	return unread > 0
}
