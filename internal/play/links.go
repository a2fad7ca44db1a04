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

// endpoint is the address at which one gateway reaches one backend, or the counter. Each pair has
// its own address, which identifies the gateway and lets one link fail without the others.
type endpoint struct {
	engine   *engine
	gateway  int
	peer     int // number of the backend, or world.Counter
	listener *link.Listener

	mu    sync.Mutex
	state world.LinkState
	conns map[*endpointConn]bool
}

// endpointConn is a connection from a gateway.
type endpointConn struct {
	net.Conn
	id       world.Conn
	endpoint *endpoint
}

const (
	shortWriteTimeout = 50 * time.Millisecond // the loop writes short responses and must not block
	maxShortBody      = 16 << 10              // limit of a short body in bytes
	longWriteTimeout  = 30 * time.Second
)

func newEndpoint(e *engine, gateway, number int, address string) (*endpoint, error) {
	p := &endpoint{engine: e, gateway: gateway, peer: number, conns: map[*endpointConn]bool{}}
	var err error
	p.listener, err = link.NewListener(address, p.accept)
	return p, err
}

// accept registers a new connection with the emulator and starts to read from it.
func (p *endpoint) accept(accepted net.Conn) {
	connection := &endpointConn{Conn: accepted, id: world.Conn(p.engine.lastConn.Add(1)), endpoint: p}
	p.mu.Lock()
	if p.state != world.Up { // it was accepted while the state changed
		p.mu.Unlock()
		link.Abort(accepted)
		return
	}
	p.conns[connection] = true
	p.mu.Unlock()
	p.engine.post(opened{world.Opened{Conn: connection.id, Gateway: p.gateway, Peer: p.peer}, connection})
	p.engine.wg.Go(connection.run)
}

var listenerStates = map[world.LinkState]link.ListenerState{world.Up: link.Open, world.Refusing: link.Refusing, world.Silent: link.Silent}

// set changes the state of the link. On a silent link, connections stay open without data, and
// new ones are never established.
func (p *endpoint) set(state world.LinkState) error {
	p.mu.Lock()
	p.state = state
	if state != world.Silent {
		for connection := range p.conns {
			link.Abort(connection.Conn)
		}
		clear(p.conns)
	}
	p.mu.Unlock()
	return p.listener.Set(listenerStates[state])
}

// close closes the listener and all connections.
func (p *endpoint) close() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for connection := range p.conns {
		connection.Close()
	}
}

// run reads requests until the connection ends. It reads on while a response is pending, so that
// it notices if the gateway closes the connection.
func (s *endpointConn) run() {
	defer func() {
		s.endpoint.mu.Lock()
		delete(s.endpoint.conns, s)
		s.endpoint.mu.Unlock()
		s.Close()
		s.endpoint.engine.post(closed{s})
	}()
	reader := bufio.NewReaderSize(s, 4096)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		first := s.endpoint.engine.now()
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, bodyErr := world.ReadBody(req.Body)
		if _, err := io.Copy(io.Discard, req.Body); err != nil || isConnectionError(bodyErr) {
			return // the request is incomplete
		}
		switch {
		case s.endpoint.peer == world.Counter:
			call, ok := parseCall(req)
			if !ok {
				io.WriteString(s, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
				continue
			}
			call.Conn = s.id
			s.endpoint.engine.post(call)
		case strings.HasPrefix(req.URL.Path, "/health/") || req.URL.Path == "/stats":
			s.endpoint.engine.post(world.Probed{Conn: s.id})
		default:
			s.endpoint.engine.post(s.endpoint.engine.arrival(s.id, req, body, bodyErr, first))
		}
	}
}

// ended reports whether the gateway has closed the connection, even if run has not read that yet.
// The socket reports a reset only once: run then reads an end of file instead.
func (s *endpointConn) ended() bool {
	raw, err := s.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	var n int
	var readErr error
	err = raw.Control(func(fd uintptr) {
		var next [1]byte
		n, _, readErr = syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err != nil || readErr == nil && n == 0 || readErr != nil && !errors.Is(readErr, syscall.EAGAIN)
}

// arrival returns the emulator's event for a request that a backend has received.
func (e *engine) arrival(id world.Conn, req *http.Request, body world.Body, bodyErr error, first time.Duration) world.Arrived {
	correlation, err := strconv.ParseUint(req.Header.Get("X-Correlation-Id"), 16, 64)
	class, query, _ := strings.Cut(strings.TrimPrefix(req.URL.RequestURI(), "/"), "?")
	event := world.Arrived{Conn: id, ID: correlation, FirstByte: first, Class: class, Key: req.Header.Get("Idempotency-Key"), Body: body}
	event.Unchanged = err == nil && bodyErr == nil && query == queryOf(correlation) && req.Method == e.methods[class]
	return event
}

// queryOf returns the query of a request, by which endpoints check that gateways forward it.
func queryOf(id uint64) string { return fmt.Sprintf("q=%x%%20", id&0xffff) }

// parseCall parses a call of the counter, and reports whether it is valid.
func parseCall(req *http.Request) (world.Called, bool) {
	name, ok := strings.CutPrefix(req.URL.EscapedPath(), "/v1/count/")
	query := req.URL.Query()
	add, err := strconv.ParseFloat(query.Get("add"), 64)
	ttl, ttlErr := strconv.ParseInt(query.Get("ttl_ms"), 10, 64)
	if !ok || err != nil || ttlErr != nil || req.Method != http.MethodPost || name == "" || len(name) > 64 || ttl < 1 || add > 1e9 || add < -1e9 {
		return world.Called{}, false
	}
	return world.Called{Name: name, Add: add, Lifetime: time.Duration(min(ttl, 60_000)) * time.Millisecond}, true
}

// replyTotal writes the counter's response.
func (s *endpointConn) replyTotal(reply world.CounterReply) {
	text := ""
	if reply.Status == http.StatusOK {
		text = strconv.FormatFloat(reply.Total, 'f', -1, 64)
	}
	s.SetWriteDeadline(time.Now().Add(shortWriteTimeout))
	fmt.Fprintf(s, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n%s", reply.Status, http.StatusText(reply.Status), len(text), text)
}

// reply writes a backend's response. It does not wait for a long one to be written.
func (s *endpointConn) reply(r world.Reply) {
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
	if r.Body.Size <= maxShortBody {
		s.SetWriteDeadline(time.Now().Add(shortWriteTimeout))
		s.write(head.String(), body, r)
		return
	}
	s.SetWriteDeadline(time.Now().Add(longWriteTimeout))
	s.endpoint.engine.wg.Go(func() { s.write(head.String(), body, r) })
}

// write writes a response, and closes the connection's sending side after one that ends it.
func (s *endpointConn) write(head string, body io.Reader, r world.Reply) {
	out := bufio.NewWriterSize(s.Conn, maxShortBody)
	out.WriteString(head)
	if _, err := io.Copy(out, body); err != nil {
		return
	}
	out.Flush()
	if r.Truncated || r.Close {
		s.Conn.(*net.TCPConn).CloseWrite() // run still reads until the gateway closes
	}
}
