package gateway

import (
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// silenceTimeout is how long sent data, or a keep-alive probe of package net, may stay
	// unacknowledged before the system closes the connection.
	silenceTimeout = 30 * time.Second
	tcpUserTimeout = 18 // TCP_USER_TIMEOUT, which package syscall does not define
)

var errTimeoutNotSet = errors.New("the system ignored TCP_USER_TIMEOUT")

// setSilenceTimeout sets silenceTimeout on a TCP connection. It returns an error if the
// system does not support or does not apply the option.
func setSilenceTimeout(conn net.Conn) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var sockoptErr error
	err = raw.Control(func(fd uintptr) {
		timeoutMs := int(silenceTimeout.Milliseconds())
		if sockoptErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, timeoutMs); sockoptErr != nil {
			return
		}
		var actual int
		if actual, sockoptErr = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout); sockoptErr == nil && actual != timeoutMs {
			sockoptErr = errTimeoutNotSet
		}
	})
	return errors.Join(err, sockoptErr)
}

// tcpInfo returns the system's information about a connection, if it is known.
func tcpInfo(conn net.Conn) (info syscall.TCPInfo, ok bool) {
	raw := rawConn(conn)
	if raw == nil {
		return info, false
	}
	err := raw.Control(func(fd uintptr) { ok = readTCPInfo(fd, &info) })
	return info, ok && err == nil
}

// sinceLastSegment returns the time since the peer's last segment arrived, if known. For a
// connection that was just accepted, this is its time in the accept queue.
func sinceLastSegment(conn net.Conn) (time.Duration, bool) {
	info, ok := tcpInfo(conn)
	return time.Duration(info.Last_ack_recv) * time.Millisecond, ok
}

// States of a TCP connection whose peer has closed it or its sending side, as TCP_INFO numbers
// them.
const (
	tcpStateClose     = 7
	tcpStateCloseWait = 8
	tcpStateLastAck   = 9
	tcpStateClosing   = 11
)

// closedByPeerState reports whether the peer has closed the connection, also if bytes before the
// end have not been read. It returns false if that is unknown.
func closedByPeerState(conn net.Conn) bool {
	info, ok := tcpInfo(conn)
	if !ok {
		return false
	}
	switch info.State {
	case tcpStateClose, tcpStateCloseWait, tcpStateLastAck, tcpStateClosing:
		return true
	}
	return false
}
