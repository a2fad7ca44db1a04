package standins

import (
	"io"
	"net"
	"sync"
	"time"
)

// Proxy stands for the way from one process to another. While it is cut nothing is said: bytes stay where
// they are, and new connections stay silent. When it heals, the connections of the cut are reset.
type Proxy struct {
	Address string
	target  string

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
}

// Proxy starts a proxy for a target.
func (r *Run) Proxy(target string) *Proxy {
	listener := r.Listen()
	p := &Proxy{Address: listener.Addr().String(), target: target, conns: map[net.Conn]bool{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p
}

// SetCut cuts the way or heals it.
func (p *Proxy) SetCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut && !cut {
		for conn := range p.conns {
			conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}
		clear(p.conns)
	}
	p.cut = cut
}

func (p *Proxy) isCut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut
}

func (p *Proxy) serve(conn net.Conn) {
	p.add(conn)
	if p.isCut() {
		return // silent until the way heals
	}
	target, err := Dial(p.target)
	if err != nil {
		p.close(conn)
		return
	}
	p.add(target)
	go p.copy(target, conn)
	p.copy(conn, target)
}

func (p *Proxy) add(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[conn] = true
}

// close closes a connection unless the way is cut.
func (p *Proxy) close(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.cut {
		conn.Close()
		delete(p.conns, conn)
	}
}

// copy passes on what comes until the connection ends.
func (p *Proxy) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		for p.isCut() {
			time.Sleep(5 * time.Millisecond) // reset when the way heals
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			if err != io.EOF {
				break
			}
			break
		}
	}
	p.close(from)
	p.close(to)
}
