package gateway

import (
	"net"
	"sync"
	"syscall"
	"time"
	"unsafe"
)

// bodyArrival estimates when the last byte of a request body was sent. The client timeout
// counts from then. The gateway may read the byte much later, since a body waits in the
// socket buffers while its request is queued or the backend reads slowly.
//
// When the socket is empty and the body incomplete, the last byte has not arrived. If more of the
// body is missing than the client's system can hold, the last byte has not been sent. The latest
// such time is the lower bound that counts as the time of the last byte.
//
// It is safe for concurrent use.
type bodyArrival struct {
	conn   *clientConn // nil if the socket cannot be inspected
	length int64       // bytes; -1 if unknown
	before uint64      // bytes of earlier bodies on the connection

	mu             sync.Mutex
	lastIncomplete time.Time // latest time at which the body was known to be incomplete
	complete       bool      // the last byte has been read
}

// maxSendBuffer is the number of bytes that the client's system may hold for sending.
const maxSendBuffer = 4 << 20

// start begins the observation of a body whose header was read at the given time. The body may have
// arrived since.
func (a *bodyArrival) start(conn *clientConn, length int64, headerReadAt time.Time) {
	a.conn, a.length, a.lastIncomplete = conn, length, headerReadAt
	if conn != nil {
		a.before = conn.earlierBodyBytes()
	}
}

// checkMissing reports whether a part of the body has still to be sent, or may have. If so, it
// records that the body is incomplete now.
func (a *bodyArrival) checkMissing() (missing bool) {
	if a.conn != nil && (a.conn.betweenRequests() || a.mayHaveBeenSent(a.conn.unread.unread(a.conn.Conn))) {
		return false
	}
	a.markIncomplete()
	return true
}

// mayHaveBeenSent reports whether the whole body may have been sent, if the given number of bytes
// is unread in the socket.
func (a *bodyArrival) mayHaveBeenSent(unread int) bool {
	received := int64(a.conn.bodyBytes()-a.before) + int64(unread)
	return unread > 0 && (a.length < 0 || a.length-received <= maxSendBuffer)
}

// markIncomplete records that the body is incomplete now.
func (a *bodyArrival) markIncomplete() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.complete {
		a.lastIncomplete = time.Now()
	}
}

// markComplete records that the last byte has been read.
func (a *bodyArrival) markComplete() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.complete = true
}

// lastByteTime returns the earliest time at which the last byte can have been sent. It may
// also be called after markComplete.
func (a *bodyArrival) lastByteTime() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastIncomplete
}

// remaining returns a lower bound of what remains of a timeout that counts from the last byte.
func (a *bodyArrival) remaining(timeout time.Duration) time.Duration {
	a.mu.Lock()
	ended := a.complete
	a.mu.Unlock()
	if !ended && a.checkMissing() {
		return timeout
	}
	return time.Until(a.lastByteTime().Add(timeout))
}

// unreadProbe counts the unread bytes in a socket. It keeps the callback for the system call,
// so that a count allocates nothing. It is safe for concurrent use.
type unreadProbe struct {
	mu        sync.Mutex
	raw       syscall.RawConn // nil before the first count, or if the connection has no socket
	readCount func(fd uintptr)
	count     int32
}

// unread returns the number of unread bytes in the connection's socket, or 0 if it is unknown.
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

// readUnread sets count to the number of unread bytes in a socket.
func (p *unreadProbe) readUnread(fd uintptr) {
	if _, _, errno := syscall.Syscall(syscall.SYS_IOCTL, fd, syscall.TIOCINQ, uintptr(unsafe.Pointer(&p.count))); errno != 0 {
		p.count = 0
	}
}
