package gateway

import (
	"errors"
	"net"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"dunlintray/internal/gateway/body"
)

const (
	// maxReadAhead is the number of bytes of later requests that are buffered while a request is
	// in progress.
	maxReadAhead = 16 << 10

	// Bytes beyond maxReadAhead are discarded, the first maxUnpacedDiscard at once and the others
	// in pieces with pauses, so that a client cannot take the processor with them.
	maxUnpacedDiscard = 2 << 20
	discardPause      = 2 * time.Millisecond
)

// readAheadConn reads ahead while a request is in progress and its client has pipelined more.
// net/http stops watching for a disconnect at the first byte of a next request; without the
// read-ahead, an attempt could begin for a client that has disconnected. An end of the connection
// may stand behind any number of bytes, so those that are too many to be kept are discarded. Their
// requests, and those that are buffered, are rejected.
//
// net/http calls Read from one goroutine at a time. Between start and the next Read, a
// goroutine of the readAheadConn reads from the socket.
type readAheadConn struct {
	net.Conn
	peerClosed chan struct{} // closed once a read has failed or reached the end of the stream

	mu       sync.Mutex
	deadline time.Time     // set by net/http
	running  chan struct{} // closed when the read-ahead goroutine has ended; nil if there is none
	stopped  bool          // nothing more is read from the connection

	arrival arrivalProbe

	memory     *body.Slot   // of maxReadAhead bytes, for more than body.UncountedBytes
	discarded  func([]byte) // called with the bytes that are discarded, in order
	answered   func() bool  // reports whether the response to the request in progress has begun
	overflowed bool         // bytes have been discarded; nothing buffered may be read

	bufferedAt    time.Time    // when the last byte of buffered arrived
	buffered      []byte       // not yet read by net/http
	err           error        // returned after buffered
	bufferedBytes atomic.Int64 // length of buffered, for concurrent readers
}

// errOverflowed reports that pipelined requests were discarded, since they were too long.
var errOverflowed = errors.New("too many bytes of pipelined requests")

// newReadAheadConn wraps a connection. Once the response to the request in progress has begun, as answered
// reports, the client need not be watched, and may send its next request: no byte is discarded then. Before,
// discarded is called with the bytes that are; the connection cannot be read any more then. A nil account sets
// no limit.
func newReadAheadConn(conn net.Conn, account *body.Account, answered func() bool, discarded func([]byte)) *readAheadConn {
	return &readAheadConn{Conn: conn, peerClosed: make(chan struct{}), answered: answered, discarded: discarded,
		memory: body.NewSlot(account, body.ReadAhead, maxReadAhead)}
}

// Read implements net.Conn.
func (a *readAheadConn) Read(p []byte) (int, error) {
	n, _, err := a.read(p)
	return n, err
}

// read does so, and returns the time by which the bytes had arrived.
func (a *readAheadConn) read(p []byte) (n int, arrivedAt time.Time, err error) {
	a.stop()
	if a.overflowed {
		a.dropBuffer()
		return 0, time.Time{}, errOverflowed
	}
	if len(a.buffered) > 0 {
		n := copy(p, a.buffered)
		if a.buffered = a.buffered[n:]; len(a.buffered) == 0 {
			a.dropBuffer()
		}
		a.bufferedBytes.Store(int64(len(a.buffered)))
		return n, a.bufferedAt, nil
	}
	if a.err != nil {
		return 0, time.Time{}, a.err
	}
	n, err = a.Conn.Read(p)
	a.recordEnd(err)
	if n > 0 {
		arrivedAt = a.arrival.lastArrival(a.Conn)
	}
	return n, arrivedAt, err
}

// recordEnd records an error that ends the connection. A timeout does not.
func (a *readAheadConn) recordEnd(err error) {
	if err != nil && a.err == nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		a.err = err
		close(a.peerClosed)
	}
}

// start reads ahead until the next Read or the end of the connection.
func (a *readAheadConn) start() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.running != nil || a.err != nil || a.stopped {
		return
	}
	a.running = make(chan struct{})
	a.Conn.SetReadDeadline(time.Time{})
	go a.run(a.running)
}

// run is the read-ahead goroutine. It closes done when it returns.
func (a *readAheadConn) run(done chan struct{}) {
	defer close(done)
	var buffer [1 << 10]byte
	for limit := body.UncountedBytes; ; {
		if len(a.buffered) >= limit {
			if a.answered() {
				return
			}
			if limit == maxReadAhead || !a.memory.Acquire() {
				break
			}
			limit = maxReadAhead
			a.buffered = append(make([]byte, 0, maxReadAhead), a.buffered...)
		}
		n, err := a.Conn.Read(buffer[:min(len(buffer), limit-len(a.buffered))])
		a.buffered = append(a.buffered, buffer[:n]...)
		if n > 0 {
			a.bufferedAt = a.arrival.lastArrival(a.Conn)
		}
		a.bufferedBytes.Store(int64(len(a.buffered)))
		if err != nil {
			a.recordEnd(err)
			return
		}
	}
	a.discard(buffer[:])
}

// dropBuffer frees the buffer, whose bytes nobody needs any more.
func (a *readAheadConn) dropBuffer() {
	a.buffered = nil
	a.memory.Release()
}

// discard reads and discards until the end of the connection or stop.
func (a *readAheadConn) discard(buffer []byte) {
	for total := 0; ; {
		n, err := a.Conn.Read(buffer)
		if n > 0 {
			a.overflowed = true
			a.discarded(buffer[:n])
		}
		if err != nil {
			a.recordEnd(err)
			return
		}
		if total += n; total > maxUnpacedDiscard {
			time.Sleep(discardPause)
		}
		runtime.Gosched()
	}
}

// stop ends the read-ahead goroutine and restores the deadline of net/http.
func (a *readAheadConn) stop() {
	a.mu.Lock()
	running := a.running
	if running == nil {
		a.mu.Unlock()
		return
	}
	a.Conn.SetReadDeadline(time.Now().Add(-time.Second))
	a.mu.Unlock()
	<-running
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running = nil
	if !a.stopped {
		a.Conn.SetReadDeadline(a.deadline)
	}
}

// interrupt makes the current and every later read from the socket time out. Buffered bytes
// are still returned.
func (a *readAheadConn) interrupt() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopped = true
	a.Conn.SetReadDeadline(time.Now().Add(-time.Second))
}

// SetReadDeadline implements net.Conn. During read-ahead the deadline is only recorded.
func (a *readAheadConn) SetReadDeadline(t time.Time) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deadline = t
	if a.running != nil || a.stopped {
		return nil
	}
	return a.Conn.SetReadDeadline(t)
}
