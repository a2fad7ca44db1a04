package gateway

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// dial opens a connection to a backend within the timeout, unless ctx ends or its pool is
// retired first.
func dial(ctx context.Context, pool *backendPool, timeout time.Duration) (*backendConn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	defer context.AfterFunc(pool.ctx, cancel)()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", pool.address)
	if err != nil {
		return nil, err
	}
	setSilenceTimeout(conn) // a peer may vanish without closing
	return newBackendConn(conn, pool), nil
}

// outOfResources reports whether the system has run out of descriptors or buffers.
func outOfResources(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOBUFS) ||
		errors.Is(err, syscall.ENOMEM)
}

// localFailure reports whether a dial failed because of this machine or this gateway. Such a
// failure says nothing about the peer, and nothing was sent.
func localFailure(err error) bool {
	return outOfResources(err) || errors.Is(err, syscall.EADDRNOTAVAIL) || errors.Is(err, syscall.ENETUNREACH) ||
		errors.Is(err, syscall.ENETDOWN) || errors.Is(err, syscall.EAGAIN)
}

// sleepFor sleeps for d. It returns false if ctx ends first.
func sleepFor(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
