package link

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// ListenerState is how a Listener treats clients that connect.
type ListenerState int

// The states of a Listener.
const (
	Open     ListenerState = iota // connections are accepted
	Refusing                      // connections are refused
	Silent                        // connections are neither accepted nor refused: the backlog is full
)

// Listener is a TCP listener that can refuse connections, or leave them unanswered as a lost
// machine does. It is safe for concurrent use.
type Listener struct {
	address string
	handle  func(net.Conn)

	mu            sync.Mutex
	state         ListenerState
	listener      *net.TCPListener
	backlogFiller net.Conn // fills the backlog of a silent listener
	wg            sync.WaitGroup
}

// fillerDialTimeout bounds the dial of the connection that fills a backlog.
const fillerDialTimeout = 50 * time.Millisecond

// NewListener listens at an address and calls handle with each connection, from one goroutine.
func NewListener(address string, handle func(net.Conn)) (*Listener, error) {
	l := &Listener{address: address, handle: handle}
	return l, l.open()
}

// open starts to listen. The caller holds mu, or nobody else has the listener yet.
func (l *Listener) open() error {
	listener, err := net.Listen("tcp", l.address)
	if err != nil {
		return err
	}
	tcp := listener.(*net.TCPListener)
	l.listener = tcp
	l.address = listener.Addr().String() // with the port that the system chose
	l.wg.Go(func() { l.accept(tcp) })
	return nil
}

// Address returns the address at which the listener accepts connections, with the actual port.
func (l *Listener) Address() string { return l.address }

// accept hands on connections until tcp is closed or its deadline is set.
func (l *Listener) accept(tcp *net.TCPListener) {
	for {
		connection, err := tcp.Accept()
		if err != nil {
			return // closed or silent; Set and Close do the rest
		}
		l.mu.Lock()
		rejected := l.state != Open || l.listener != tcp
		l.mu.Unlock()
		if rejected {
			Abort(connection)
			continue
		}
		l.handle(connection)
	}
}

// Abort closes a connection with a reset.
func Abort(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		tcp.SetLinger(0) // a reset in place of an orderly end
	}
	connection.Close()
}

// Set changes how the listener treats clients that connect from now on. Connections that were
// handed on are not affected.
func (l *Listener) Set(state ListenerState) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if state == l.state {
		return nil
	}
	l.state = state
	if l.backlogFiller != nil {
		l.backlogFiller.Close()
		l.backlogFiller = nil
	}
	if state == Silent {
		if l.listener == nil {
			if err := l.open(); err != nil {
				return err
			}
		}
		l.listener.SetDeadline(time.Unix(1, 0)) // ends accept
		if err := l.queue(0); err != nil {
			return err
		}
		// A dial that fails has found the backlog full. It may have been full of a connection
		// that is being accepted at this moment, which leaves it empty; so a second dial
		// follows. A connection that is accepted later still leaves room for one, which is
		// established and never answered.
		for range 2 {
			if l.backlogFiller, _ = net.DialTimeout("tcp", l.address, fillerDialTimeout); l.backlogFiller != nil {
				break
			}
		}
		return nil
	}
	if l.listener != nil {
		l.listener.Close()
		l.listener = nil
	}
	if state == Open {
		return l.open()
	}
	return nil
}

// queue sets the length of the backlog.
func (l *Listener) queue(n int) error {
	raw, err := l.listener.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = syscall.Listen(int(fd), n) }); err != nil {
		return err
	}
	return failed
}

// Close closes the listener. After it has returned, the handler is not called.
func (l *Listener) Close() {
	l.mu.Lock()
	if l.listener != nil {
		l.listener.Close()
		l.listener = nil
	}
	if l.backlogFiller != nil {
		l.backlogFiller.Close()
	}
	l.mu.Unlock()
	l.wg.Wait()
}
