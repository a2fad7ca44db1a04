package play

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"dunlintray/internal/link"
	"dunlintray/internal/world"
)

// peer is one end of the emulated network: what one gateway reaches as one
// backend, or as the counter. Each has an address of its own, so that it is known
// who connects, and so that one link can fail without the others.
type peer struct {
	e        *engine
	gateway  int
	number   int // of the backend, or world.Counter
	listener *link.Listener

	mu    sync.Mutex
	state world.LinkState
	conns map[*served]bool
}

// served is a connection from a gateway.
type served struct {
	net.Conn
	id   world.Conn
	peer *peer
}

const (
	writeWait = 50 * time.Millisecond // for a short answer; the loop writes it
	shortBody = 16 << 10
	longWait  = 30 * time.Second // for a long one
)

func newPeer(e *engine, gateway, number int, address string) (*peer, error) {
	p := &peer{e: e, gateway: gateway, number: number, conns: map[*served]bool{}}
	var err error
	p.listener, err = link.NewListener(address, p.take)
	return p, err
}

func (p *peer) take(c net.Conn) {
	s := &served{Conn: c, id: world.Conn(p.e.conns.Add(1)), peer: p}
	p.mu.Lock()
	if p.state != world.Up { // it came in the moment of the change
		p.mu.Unlock()
		link.Abort(c)
		return
	}
	p.conns[s] = true
	p.mu.Unlock()
	p.e.post(opened{world.Opened{Conn: s.id, Gateway: p.gateway, Peer: p.number}, s})
	p.e.wg.Go(s.run)
}

var listenerStates = map[world.LinkState]link.ListenerState{world.Up: link.Open, world.Refusing: link.Refusing, world.Silent: link.Silent}

// set carries out a change of the link. On a silent one, connections stand and
// say nothing, and new ones never come up.
func (p *peer) set(state world.LinkState) error {
	p.mu.Lock()
	p.state = state
	if state != world.Silent {
		for s := range p.conns {
			link.Abort(s.Conn)
		}
		clear(p.conns)
	}
	p.mu.Unlock()
	return p.listener.Set(listenerStates[state])
}

func (p *peer) close() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.conns {
		s.Close()
	}
}

// run reads what a gateway sends until the connection ends. It reads on while an
// answer is made, so that it sees the gateway's giving up.
func (s *served) run() {
	defer func() {
		s.peer.mu.Lock()
		delete(s.peer.conns, s)
		s.peer.mu.Unlock()
		s.Close()
		s.peer.e.post(closed{s})
	}()
	in := bufio.NewReaderSize(s, 4096)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		first := s.peer.e.now()
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, bodyErr := world.ReadBody(req.Body)
		if _, err := io.Copy(io.Discard, req.Body); err != nil || isCut(bodyErr) {
			return // it did not come whole
		}
		switch {
		case s.peer.number == world.Counter:
			call, ok := parseCall(req)
			if !ok {
				io.WriteString(s, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
				continue
			}
			call.Conn = s.id
			s.peer.e.post(call)
		case strings.HasPrefix(req.URL.Path, "/health/") || req.URL.Path == "/stats":
			s.peer.e.post(world.Probed{Conn: s.id})
		default:
			s.peer.e.post(s.peer.e.arrival(s.id, req, body, bodyErr, first))
		}
	}
}

// ended looks whether the gateway has ended the connection, whatever has been read of
// that by now. Danger: a socket tells of a reset once; the reader then meets the end.
func (s *served) ended() bool {
	raw, err := s.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	var n int
	var seen error
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, seen = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err != nil || seen == nil && n == 0 || seen != nil && !errors.Is(seen, syscall.EAGAIN)
}

// arrival is a request as a backend sees it.
func (e *engine) arrival(id world.Conn, req *http.Request, body world.Body, bodyErr error, first time.Duration) world.Arrived {
	correlation, err := strconv.ParseUint(req.Header.Get("X-Correlation-Id"), 16, 64)
	class, query, _ := strings.Cut(strings.TrimPrefix(req.URL.RequestURI(), "/"), "?")
	a := world.Arrived{Conn: id, ID: correlation, FirstByte: first, Class: class, Key: req.Header.Get("Idempotency-Key"), Body: body}
	a.Unchanged = err == nil && bodyErr == nil && query == queryOf(correlation) && req.Method == e.methods[class]
	return a
}

// queryOf is what a request's query says, so that it is seen to pass on.
func queryOf(id uint64) string { return fmt.Sprintf("q=%x%%20", id&0xffff) }

func parseCall(req *http.Request) (world.Called, bool) {
	name, ok := strings.CutPrefix(req.URL.EscapedPath(), "/v1/count/")
	query := req.URL.Query()
	add, err := strconv.ParseFloat(query.Get("add"), 64)
	life, err2 := strconv.ParseInt(query.Get("ttl_ms"), 10, 64)
	if !ok || err != nil || err2 != nil || req.Method != http.MethodPost || name == "" || len(name) > 64 || life < 1 || add > 1e9 || add < -1e9 {
		return world.Called{}, false
	}
	return world.Called{Name: name, Add: add, Lifetime: time.Duration(min(life, 60_000)) * time.Millisecond}, true
}

// total writes the counter's answer.
func (s *served) total(t world.CounterReply) {
	text := ""
	if t.Status == http.StatusOK {
		text = strconv.FormatFloat(t.Total, 'f', -1, 64)
	}
	s.SetWriteDeadline(time.Now().Add(writeWait))
	fmt.Fprintf(s, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n%s", t.Status, http.StatusText(t.Status), len(text), text)
}

// reply writes a backend's answer; a long one while the loop goes on.
func (s *served) reply(r world.Reply) {
	var head strings.Builder
	fmt.Fprintf(&head, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", r.Status, http.StatusText(r.Status), r.Body.Size)
	if r.NotStarted {
		head.WriteString("X-Unprocessed: 1\r\n")
	}
	if r.Load != nil {
		fmt.Fprintf(&head, "X-Backend-Load: {\"busy_reqs\":%d,\"pending\":%d,\"cpu_share\":%.2f}\r\n", r.Load.Outstanding, r.Load.Queued, r.Load.Utilization)
	}
	if r.Close {
		head.WriteString("Connection: close\r\n")
	}
	head.WriteString("\r\n")
	body := io.Reader(r.Body.Reader())
	if r.Truncated {
		body = io.LimitReader(body, r.Body.Size/2)
	}
	if r.Body.Size <= shortBody {
		s.SetWriteDeadline(time.Now().Add(writeWait))
		s.write(head.String(), body, r)
		return
	}
	s.SetWriteDeadline(time.Now().Add(longWait))
	s.peer.e.wg.Go(func() { s.write(head.String(), body, r) })
}

func (s *served) write(head string, body io.Reader, r world.Reply) {
	out := bufio.NewWriterSize(s.Conn, shortBody)
	out.WriteString(head)
	if _, err := io.Copy(out, body); err != nil {
		return
	}
	out.Flush()
	if r.Truncated || r.Close {
		s.Conn.(*net.TCPConn).CloseWrite() // its reader sees the gateway's end
	}
}
