package gateway

import (
	"net"
	"sync"
	"syscall"
	"time"
	"unsafe"
)

// arrivalProbe asks the system when the last data on a connection arrived, which may be long before it is
// read: a connection waits in the accept queue, and a process may not run. It keeps the callback for the
// system call, so that a call allocates nothing. It is safe for concurrent use.
type arrivalProbe struct {
	mu       sync.Mutex
	raw      syscall.RawConn // nil before the first call, or if the connection has no socket
	readInfo func(fd uintptr)
	info     syscall.TCPInfo
	known    bool // info is valid
}

// lastArrival returns the time at which the last data on the connection arrived, or now if that is unknown.
func (p *arrivalProbe) lastArrival(conn net.Conn) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.raw == nil {
		if p.raw = rawConn(conn); p.raw == nil {
			return now
		}
		p.readInfo = p.read
	}
	p.known = false
	if p.raw.Control(p.readInfo); !p.known {
		return now
	}
	return now.Add(-time.Duration(p.info.Last_data_recv) * time.Millisecond)
}

// read sets info to the system's information about a socket.
func (p *arrivalProbe) read(fd uintptr) { p.known = readTCPInfo(fd, &p.info) }

// readTCPInfo reads the system's information about a socket, and reports whether there is any.
func readTCPInfo(fd uintptr, info *syscall.TCPInfo) (known bool) {
	size := uint32(unsafe.Sizeof(*info))
	_, _, errno := syscall.Syscall6(syscall.SYS_GETSOCKOPT, fd, syscall.IPPROTO_TCP, syscall.TCP_INFO,
		uintptr(unsafe.Pointer(info)), uintptr(unsafe.Pointer(&size)), 0)
	return errno == 0
}
