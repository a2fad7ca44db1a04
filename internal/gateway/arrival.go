package gateway

import (
	"net"
	"sync"
	"syscall"
	"time"
	"unsafe"
)

// bodyArrival tells when the last byte of a client's body was sent. A client's patience
// counts from then; the gateway may read the byte much later, as a body waits in its socket,
// or in that of its client, while its request waits for room or a backend takes it slowly.
//
// What can be seen is a moment at which everything that had been sent was read and more was
// missing: the socket is empty, and the body is not whole. The last byte was sent behind the
// latest such moment, which therefore counts as the time of the last byte.
//
// It is safe for concurrent use.
type bodyArrival struct {
	conn *clientConn // nil: it is not known what waits in the socket

	mu             sync.Mutex
	lastIncomplete time.Time // the latest moment at which the body was known not to be whole
	complete       bool      // the last byte has been read
}

// begin begins with a body of which nothing has been read.
func (a *bodyArrival) start(conn *clientConn) {
	a.conn, a.lastIncomplete = conn, time.Now()
}

// look reports whether the rest of the body has still to be sent.
func (a *bodyArrival) checkMissing() (missing bool) {
	if a.conn != nil && (a.conn.betweenRequests() || a.conn.unread.unread(a.conn.Conn) > 0) {
		return false
	}
	a.markIncomplete()
	return true
}

// still notes that the body is not whole yet.
func (a *bodyArrival) markIncomplete() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.complete {
		a.lastIncomplete = time.Now()
	}
}

// end notes that the last byte has been read.
func (a *bodyArrival) markComplete() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.complete = true
}

// at returns when the last byte was sent at the earliest. It may be called behind end.
func (a *bodyArrival) lastByteTime() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastIncomplete
}

// left returns how much of a patience from the last byte on remains at least.
func (a *bodyArrival) remaining(patience time.Duration) time.Duration {
	a.mu.Lock()
	ended := a.complete
	a.mu.Unlock()
	if !ended && a.checkMissing() {
		return patience
	}
	return time.Until(a.lastByteTime().Add(patience))
}

// unreadProbe counts the bytes that wait in a socket. It keeps what a look needs, so that a
// look allocates nothing, and is safe for concurrent use.
type unreadProbe struct {
	mu        sync.Mutex
	raw       syscall.RawConn // nil: there has been no look, or the connection has none
	readCount func(fd uintptr)
	count     int32
}

// unread returns how many bytes wait in the connection's socket, or 0 where the system does
// not tell.
func (p *unreadProbe) unread(conn net.Conn) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.raw == nil {
		if p.raw = rawConn(conn); p.raw == nil {
			return 0
		}
		p.readCount = p.readUnread
	}
	p.count = 0
	p.raw.Control(p.readCount)
	return int(p.count)
}

func (p *unreadProbe) readUnread(fd uintptr) {
	if _, _, errno := syscall.Syscall(syscall.SYS_IOCTL, fd, syscall.TIOCINQ, uintptr(unsafe.Pointer(&p.count))); errno != 0 {
		p.count = 0
	}
}
