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
var permanentAcceptErrors = []error{net.ErrClosed, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EOPNOTSUPP, syscall.EFAULT}

// acceptPasses reports whether accepting may succeed again after an error. accept returns
// errors of the connection that was to be accepted, of the network and of filters as well:
// none of them says anything about the listener.
func isTemporaryAcceptError(err error) bool {
	for _, lasting := range permanentAcceptErrors {
		if errors.Is(err, lasting) {
			return false
		}
	}
	return true
}

// retryPause is the pause before a call is made again that failed. It doubles from error to error,
// from leastPause to mostPause.
type backoff struct{ delay time.Duration }

func (p *backoff) reset() { p.delay = 0 }

func (p *backoff) nextDelay() time.Duration {
	p.delay = min(max(2*p.delay, minRetryDelay), maxRetryDelay)
	return p.delay
}

// steadyListener tries again when accepting fails with an error that passes, so that it does
// not end a server. One goroutine accepts.
type retryingListener struct {
	net.Listener
	name      string // for the log
	backoff   backoff
	logLimit  logLimiter
	closed    chan struct{}
	closeOnce sync.Once
}

func newRetryingListener(l net.Listener, name string) *retryingListener {
	return &retryingListener{Listener: l, name: name, logLimit: logLimiter{max: 1}, closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *retryingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil {
			l.backoff.reset()
			return conn, nil
		}
		if !isTemporaryAcceptError(err) {
			return nil, err
		}
		if l.logLimit.allow() {
			slog.Error("accepting failed", "listener", l.name, "error", err)
		}
		select {
		case <-time.After(l.backoff.nextDelay()):
		case <-l.closed:
			return nil, net.ErrClosed
		}
	}
}

// Close implements net.Listener.
func (l *retryingListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
