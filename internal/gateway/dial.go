package gateway

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// dial opens a connection to a target within the given time, unless ctx ends or the
// target is retired first.
func dial(ctx context.Context, t *target, within time.Duration) (*backendConn, error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	defer context.AfterFunc(t.ctx, cancel)()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", t.address)
	if err != nil {
		return nil, err
	}
	limitSilence(conn) // for peers that vanish without a word
	return newBackendConn(conn, t), nil
}

// noDescriptor reports whether the system has run out of descriptors or buffers.
func outOfResources(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOBUFS) ||
		errors.Is(err, syscall.ENOMEM)
}

// localFailure reports whether a dial failed for a reason that lies in this machine or this
// gateway: it says nothing of the peer, and nothing was sent.
func localFailure(err error) bool {
	return outOfResources(err) || errors.Is(err, syscall.EADDRNOTAVAIL) || errors.Is(err, syscall.ENETUNREACH) ||
		errors.Is(err, syscall.ENETDOWN) || errors.Is(err, syscall.EAGAIN)
}

// waited sleeps for d. It returns false if ctx ends first.
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
