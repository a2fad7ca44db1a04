package gateway

import (
	"errors"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"
)

// permanentAcceptErrors mean that a listener will never accept a connection again.
var permanentAcceptErrors = []error{net.ErrClosed, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EOPNOTSUPP, syscall.EFAULT}

// isTemporaryAcceptError reports whether accepting may succeed again after an error. accept
// also returns errors of the pending connection, the network and packet filters, which say
// nothing about the listener.
func isTemporaryAcceptError(err error) bool {
	for _, permanent := range permanentAcceptErrors {
		if errors.Is(err, permanent) {
			return false
		}
	}
	return true
}

// backoff is the delay before a failed call is retried. It doubles with each error, from
// minRetryDelay to maxRetryDelay. The zero value is ready to use.
type backoff struct{ delay time.Duration }

// reset starts again from minRetryDelay, after a success.
func (b *backoff) reset() { b.delay = 0 }

// nextDelay returns the delay before the next retry.
func (b *backoff) nextDelay() time.Duration {
	b.delay = min(max(2*b.delay, minRetryDelay), maxRetryDelay)
	return b.delay
}

// retryingListener retries after temporary accept errors, which would otherwise end an
// http.Server. Only one goroutine may call Accept.
type retryingListener struct {
	net.Listener
	name      string // for the log
	backoff   backoff
	logLimit  logLimiter
	closed    chan struct{}
	closeOnce sync.Once
}

// newRetryingListener wraps a listener. The name appears in the log.
func newRetryingListener(listener net.Listener, name string) *retryingListener {
	return &retryingListener{Listener: listener, name: name, logLimit: logLimiter{max: 1}, closed: make(chan struct{})}
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
