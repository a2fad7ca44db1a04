package gateway

import (
	"errors"
	"net"
	"syscall"
	"time"
	"unsafe"
)

// A peer that has vanished is ended after so long, if something goes
// unacknowledged, be it one of the probes that package net sends after 15 s.
const (
	silenceTimeout = 30 * time.Second
	tcpUserTimeout = 18 // TCP_USER_TIMEOUT, which package syscall does not name
)

var errTimeoutNotSet = errors.New("the system did not keep the limit")

// limitSilence sets the limit on a connection and looks whether it holds. Where
// there is no such thing, as on a platform's emulated sockets, it says so.
func setSilenceTimeout(c net.Conn) error {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		most := int(silenceTimeout.Milliseconds())
		if failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, most); failed != nil {
			return
		}
		var kept int
		if kept, failed = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout); failed == nil && kept != most {
			failed = errTimeoutNotSet
		}
	})
	return errors.Join(err, failed)
}

// sinceLastWord is how long ago the last segment of a peer came. For one that was
// just accepted, this is how long it stood in the queue.
func sinceLastSegment(c net.Conn) (time.Duration, bool) {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return 0, false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0, false
	}
	var info syscall.TCPInfo
	size := uint32(unsafe.Sizeof(info))
	var errno syscall.Errno
	err = raw.Control(func(fd uintptr) {
		_, _, errno = syscall.Syscall6(syscall.SYS_GETSOCKOPT, fd, syscall.IPPROTO_TCP, syscall.TCP_INFO,
			uintptr(unsafe.Pointer(&info)), uintptr(unsafe.Pointer(&size)), 0)
	})
	if err != nil || errno != 0 {
		return 0, false
	}
	return time.Duration(info.Last_ack_recv) * time.Millisecond, true
}
