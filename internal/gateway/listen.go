package gateway

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
)

// listenClients opens the clients' address or, where the platform holds its
// socket, takes the descriptor that it is inherited as. All processes of a
// gateway then accept from one queue, and it outlives each of them.
func listenClients(address, inherited string) (net.Listener, error) {
	if inherited == "" {
		return net.Listen("tcp", address)
	}
	fd, err := strconv.Atoi(inherited)
	if err != nil {
		return nil, fmt.Errorf("inherited socket: %w", err)
	}
	f := os.NewFile(uintptr(fd), "clients")
	if f == nil {
		return nil, fmt.Errorf("inherited socket: %d is no descriptor", fd)
	}
	defer f.Close() // the listener has its own
	l, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("inherited socket: %w", err)
	}
	return l, nil
}

// limitListener takes no more connections than it may. Unlike that of netutil,
// the limit moves: two processes of a gateway share the descriptors of one.
type limitListener struct {
	net.Listener

	mu     sync.Mutex
	room   sync.Cond // on mu
	open   int
	most   int
	closed bool
}

func newLimitListener(l net.Listener, most int) *limitListener {
	limited := &limitListener{Listener: l, most: most}
	limited.room.L = &limited.mu
	return limited
}

func (l *limitListener) limit(most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.most = most
	l.room.Broadcast()
}

// Accept waits for room, then for a connection. So at the limit connections
// wait in the queue, where another process may take them.
func (l *limitListener) Accept() (net.Conn, error) {
	l.mu.Lock()
	for l.open >= l.most && !l.closed {
		l.room.Wait()
	}
	l.open++
	l.mu.Unlock()
	c, err := l.Listener.Accept()
	if err != nil {
		l.leave()
		return nil, err
	}
	return &limitedConn{Conn: c, left: sync.OnceFunc(l.leave)}, nil
}

func (l *limitListener) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
	l.room.Signal()
}

func (l *limitListener) Close() error {
	l.mu.Lock()
	l.closed = true
	l.room.Broadcast()
	l.mu.Unlock()
	return l.Listener.Close()
}

type limitedConn struct {
	net.Conn
	left func()

	mu   sync.Mutex
	read framing
}

// Read reads along, for heads that could be read in two ways.
func (c *limitedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.read.read(p[:n])
	return n, err
}

func (c *limitedConn) doubt() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.read.doubt
}

// bodies is how many bytes of bodies have come.
func (c *limitedConn) bodies() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.read.data
}

// before is how many had come before the last head.
func (c *limitedConn) before() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.read.passed
}

// reset makes the connection's end one that the peer can tell from a proper one.
func (c *limitedConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
}

func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.left()
	return err
}
