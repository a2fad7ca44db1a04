package gateway

import (
	"errors"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"
)

// lastingAcceptErrors say that a listener will never accept anything.
var lastingAcceptErrors = []error{net.ErrClosed, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EOPNOTSUPP, syscall.EFAULT}

// acceptPasses reports whether accepting may succeed again after an error. accept returns
// errors of the connection that was to be accepted, of the network and of filters as well:
// none of them says anything about the listener.
func acceptPasses(err error) bool {
	for _, lasting := range lastingAcceptErrors {
		if errors.Is(err, lasting) {
			return false
		}
	}
	return true
}

// retryPause is the pause before a call is made again that failed. It doubles from error to error,
// from leastPause to mostPause.
type retryPause struct{ next time.Duration }

func (p *retryPause) reset() { p.next = 0 }

func (p *retryPause) after() time.Duration {
	p.next = min(max(2*p.next, leastPause), mostPause)
	return p.next
}

// steadyListener tries again when accepting fails with an error that passes, so that it does
// not end a server. One goroutine accepts.
type steadyListener struct {
	net.Listener
	name   string // for the log
	pause  retryPause
	lines  logLimiter
	closed chan struct{}
	close  sync.Once
}

func newSteadyListener(l net.Listener, name string) *steadyListener {
	return &steadyListener{Listener: l, name: name, lines: logLimiter{max: 1}, closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *steadyListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil {
			l.pause.reset()
			return conn, nil
		}
		if !acceptPasses(err) {
			return nil, err
		}
		if l.lines.allow() {
			slog.Error("accepting failed", "listener", l.name, "error", err)
		}
		select {
		case <-time.After(l.pause.after()):
		case <-l.closed:
			return nil, net.ErrClosed
		}
	}
}

// Close implements net.Listener.
func (l *steadyListener) Close() error {
	l.close.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
