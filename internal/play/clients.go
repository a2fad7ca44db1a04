package play

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"dunlintray/internal/world"
)

// clientPool holds the emulated clients' connections to one gateway.
type clientPool struct {
	engine  *engine
	gateway int
	address string

	mu       sync.Mutex
	idle     []*clientConn // the most recently used one is last
	inFlight map[uint64]*exchange
	conns    map[*clientConn]bool
	closed   bool
}

// clientConn is one connection. Only the goroutine of read reads from it.
type clientConn struct {
	net.Conn
	pool         *clientPool
	pending      *exchange // guarded by the mutex of the pool
	lastAnswered uint64    // ID of the request that was answered last; 0: none yet
}

// exchange is a request in progress. The mutex of the pool guards all fields but id and method.
type exchange struct {
	id        uint64
	conn      *clientConn // nil until the connection is established
	method    string
	sent      bool
	abandoned bool
}

// maxIdleConns limits the idle connections to a gateway.
const maxIdleConns = 128

func newClientPool(e *engine, gateway int, address string) *clientPool {
	return &clientPool{engine: e, gateway: gateway, address: address, inFlight: map[uint64]*exchange{}, conns: map[*clientConn]bool{}}
}

// send sends a request on the most recently used idle connection, or on a new one.
func (p *clientPool) send(r world.Send) {
	class := &p.engine.scenario.Classes[r.Class]
	x := &exchange{id: r.ID, method: http.MethodPost}
	if class.Effect == "repeatable" {
		x.method = http.MethodGet
	}
	p.mu.Lock()
	p.inFlight[x.id] = x
	if n := len(p.idle); n > 0 && !r.NewConnection {
		x.conn = p.idle[n-1]
		x.conn.pending = x
		p.idle = p.idle[:n-1]
	}
	c := x.conn
	p.mu.Unlock()
	if c == nil {
		if c = p.connect(x, r.Remaining); c == nil {
			return
		}
	}
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s /%s?%s HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: %016x\r\nX-Service-Class: %s\r\nX-Tier: %s\r\nX-Api-Key: %016x\r\nX-Time-Left-Ms: %d\r\nX-Call-Terms: units=%d,spread=%d,first=%d\r\n",
		x.method, class.Name, queryOf(r.ID), r.ID, class.Name, p.engine.scenario.Plans[r.Plan].Name, r.Customer, r.Remaining.Milliseconds(), class.Units, p.engine.scenario.Plans[r.Plan].Spread, r.FirstGateway)
	if r.Key != "" {
		fmt.Fprintf(&head, "Idempotency-Key: %s\r\n", r.Key)
	}
	if r.Retry {
		head.WriteString("X-Repeat: 1\r\n")
	}
	if x.method == http.MethodPost {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", r.Body.Size)
	}
	head.WriteString("\r\n")
	if r.Body.Size <= maxShortBody {
		io.Copy(&head, r.Body.Reader())
	}
	_, err := c.Write(head.Bytes())
	if err == nil && r.Body.Size > maxShortBody {
		_, err = io.Copy(c, r.Body.Reader())
	}
	if err != nil {
		return // read reports the failure, after any response that arrived before
	}
	p.mu.Lock()
	x.sent = true
	p.mu.Unlock()
	p.engine.post(world.RequestWritten{ID: x.id})
}

// connect opens a connection for a request, and reports a failure to the emulator.
func (p *clientPool) connect(x *exchange, patience time.Duration) *clientConn {
	conn, err := net.DialTimeout("tcp", p.address, max(patience, time.Millisecond))
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil || x.abandoned || p.closed {
		delete(p.inFlight, x.id)
		if err == nil {
			conn.Close()
		} else if !x.abandoned {
			p.engine.post(world.Unanswered{ID: x.id})
		}
		return nil
	}
	c := &clientConn{Conn: conn, pool: p, pending: x}
	x.conn = c
	p.conns[c] = true
	p.engine.wg.Go(c.read)
	return c
}

// takePending removes the pending exchange from the connection. Its caller has to report how the
// exchange ended.
func (c *clientConn) takePending() *exchange {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	x := c.pending
	c.pending = nil
	if x != nil {
		delete(c.pool.inFlight, x.id)
	}
	return x
}

// abandon closes the connection of a request.
func (p *clientPool) abandon(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	x := p.inFlight[id]
	if x == nil {
		return // the response has arrived meanwhile
	}
	x.abandoned = true
	if x.conn != nil {
		x.conn.Close()
	}
}

// read reads responses until the connection ends.
func (c *clientConn) read() {
	p := c.pool
	defer func() {
		c.Close()
		x := c.takePending()
		p.mu.Lock()
		delete(p.conns, c)
		for i, other := range p.idle {
			if other == c {
				p.idle = append(p.idle[:i], p.idle[i+1:]...)
				break
			}
		}
		var sent bool
		if x != nil {
			sent = x.sent && !x.abandoned
		}
		p.mu.Unlock()
		if x != nil && !x.abandoned {
			p.engine.post(world.Unanswered{ID: x.id, Reused: c.lastAnswered != 0, Sent: sent})
		}
	}()
	in := bufio.NewReaderSize(c, 4096)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		p.mu.Lock()
		x := c.pending
		p.mu.Unlock()
		if x == nil {
			p.engine.post(world.UnexpectedData{Gateway: p.gateway, ID: c.lastAnswered})
			return
		}
		answer, keep := readAnswer(in, x)
		c.lastAnswered = x.id
		if in.Buffered() > 0 {
			keep = false
			p.engine.post(world.UnexpectedData{Gateway: p.gateway, ID: x.id})
		}
		if c.takePending() == nil {
			return
		}
		if !x.abandoned {
			p.engine.post(answer)
		}
		p.mu.Lock()
		keep = keep && len(p.idle) < maxIdleConns && !p.closed
		if keep {
			p.idle = append(p.idle, c)
		}
		p.mu.Unlock()
		if !keep {
			return
		}
	}
}

// readAnswer reads one final response, and reports whether the connection can be reused.
func readAnswer(in *bufio.Reader, x *exchange) (world.Answered, bool) {
	a := world.Answered{ID: x.id}
	for {
		resp, err := http.ReadResponse(in, &http.Request{Method: x.method})
		if err != nil {
			return a, false
		}
		if resp.StatusCode < 200 {
			continue
		}
		a.Status = resp.StatusCode
		if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && s > 0 && s < 3600 {
			a.RetryAfter = time.Duration(s * float64(time.Second))
		}
		if a.Status == http.StatusOK {
			a.Body, a.BodyErr = world.ReadBody(resp.Body)
		}
		_, err = io.Copy(io.Discard, resp.Body)
		if isConnectionError(errors.Join(a.BodyErr, err)) {
			a.BodyErr = nil
			return a, false
		}
		a.Complete = true
		return a, !resp.Close
	}
}

// isConnectionError reports whether an error means that the connection ended early, as opposed to
// invalid data on it.
func isConnectionError(err error) bool {
	var network net.Error
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) || errors.As(err, &network)
}

// close closes all connections. Requests in progress are not reported.
func (p *clientPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for c := range p.conns {
		if c.pending != nil {
			c.pending.abandoned = true
		}
		c.Close()
	}
}

// rudeInterval is the time between two bytes of a rude client, and between its connections.
const rudeInterval = 100 * time.Millisecond

// rude opens connections that send nothing, or a head byte by byte, and opens them
// again when they are closed.
func (p *clientPool) rude(r world.HoldConnections) {
	ctx, cancel := context.WithTimeout(p.engine.ctx, r.Duration)
	var wg sync.WaitGroup
	for n := range r.Connections {
		wg.Go(func() {
			for ctx.Err() == nil {
				p.rudeOnce(ctx, n%2 == 1)
				select {
				case <-time.After(rudeInterval):
				case <-ctx.Done():
				}
			}
		})
	}
	p.engine.wg.Go(func() { wg.Wait(); cancel() })
}

// rudeOnce opens one connection and keeps it until the gateway closes it or ctx ends. With drips
// it sends an endless request head byte by byte.
func (p *clientPool) rudeOnce(ctx context.Context, drips bool) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return
	}
	defer c.Close()
	head := []byte("GET /rude HTTP/1.1\r\nHost: origin.svc\r\nX-Nothing: ")
	for i := 0; ctx.Err() == nil; i++ {
		if drips {
			b := byte('x')
			if i < len(head) {
				b = head[i]
			}
			if _, err := c.Write([]byte{b}); err != nil {
				return
			}
		}
		c.SetReadDeadline(time.Now().Add(rudeInterval))
		var buf [512]byte
		if _, err := c.Read(buf[:]); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
	}
}
