package gateway

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// aheadMost is how many bytes of later requests are held while one is under way.
const maxReadAhead = 16 << 10

// aheadReader reads on behind a request that is under way, if its client has sent
// more. Danger: net/http stops listening at the first byte of a next request, and
// would not notice then that the client has left: an attempt would begin for nobody.
//
// net/http's side reads one call at a time. Between a begin and the next Read a
// goroutine of its own has the socket.
type readAheadConn struct {
	net.Conn
	peerClosed chan struct{} // closed once the client has ended, or its connection has

	mu       sync.Mutex
	deadline time.Time     // that net/http has set
	running  chan struct{} // closed when the goroutine has ended; nil: there is none
	stopped  bool          // nothing more is read from the connection

	buffered      []byte       // not yet read by net/http
	err           error        // behind what is held
	bufferedBytes atomic.Int64 // bytes that are held, for whoever asks beside the goroutine
}

func newReadAheadConn(c net.Conn) *readAheadConn {
	return &readAheadConn{Conn: c, peerClosed: make(chan struct{})}
}

func (a *readAheadConn) Read(p []byte) (int, error) {
	a.stop()
	if len(a.buffered) > 0 {
		n := copy(p, a.buffered)
		if a.buffered = a.buffered[n:]; len(a.buffered) == 0 {
			a.buffered = nil
		}
		a.bufferedBytes.Store(int64(len(a.buffered)))
		return n, nil
	}
	if a.err != nil {
		return 0, a.err
	}
	n, err := a.Conn.Read(p)
	a.recordEnd(err)
	return n, err
}

// ended takes note of the connection's end.
func (a *readAheadConn) recordEnd(err error) {
	if err != nil && a.err == nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		a.err = err
		close(a.peerClosed)
	}
}

// begin reads on until the next Read, the client's end, or until enough is held.
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

func (a *readAheadConn) run(done chan struct{}) {
	defer close(done)
	var piece [1 << 10]byte
	for len(a.buffered) < maxReadAhead {
		n, err := a.Conn.Read(piece[:min(len(piece), maxReadAhead-len(a.buffered))])
		a.buffered = append(a.buffered, piece[:n]...)
		a.bufferedBytes.Store(int64(len(a.buffered)))
		if err != nil {
			a.recordEnd(err)
			return
		}
	}
}

// end has the goroutine end and puts the deadline in force that was set meanwhile.
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

// interrupt ends the read that is under way, if nothing has come, and every later one. What
// has been read before is still returned.
func (a *readAheadConn) interrupt() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopped = true
	a.Conn.SetReadDeadline(time.Now().Add(-time.Second))
}

// SetReadDeadline is for net/http's own reads.
func (a *readAheadConn) SetReadDeadline(t time.Time) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deadline = t
	if a.running != nil || a.stopped {
		return nil
	}
	return a.Conn.SetReadDeadline(t)
}

// full tells whether the client has sent more ahead than is held. It may be asked by
// the handler of the request that is under way.
func (a *readAheadConn) full() bool {
	a.mu.Lock()
	running := a.running
	a.mu.Unlock()
	if running == nil {
		return false
	}
	select {
	case <-running:
		return len(a.buffered) >= maxReadAhead
	default:
		return false
	}
}
