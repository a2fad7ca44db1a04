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
func (p *clientPool) send(request world.Send) {
	class := &p.engine.scenario.Classes[request.Class]
	pending := &exchange{id: request.ID, method: http.MethodPost}
	if class.Effect == "repeatable" {
		pending.method = http.MethodGet
	}
	p.mu.Lock()
	p.inFlight[pending.id] = pending
	if n := len(p.idle); n > 0 && !request.NewConnection {
		pending.conn = p.idle[n-1]
		pending.conn.pending = pending
		p.idle = p.idle[:n-1]
	}
	connection := pending.conn
	p.mu.Unlock()
	if connection == nil {
		if connection = p.connect(pending, request.Remaining); connection == nil {
			return
		}
	}
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s /%s?%s HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: %016x\r\nX-Service-Class: %s\r\nX-Tier: %s\r\nX-Api-Key: %016x\r\nX-Time-Left-Ms: %d\r\nX-Call-Terms: units=%d,spread=%d,first=%d\r\n",
		pending.method, class.Name, queryOf(request.ID), request.ID, class.Name, p.engine.scenario.Plans[request.Plan].Name, request.Customer, request.Remaining.Milliseconds(), class.Units, p.engine.scenario.Plans[request.Plan].Spread, request.FirstGateway)
	if request.Key != "" {
		fmt.Fprintf(&head, "Idempotency-Key: %s\r\n", request.Key)
	}
	if request.Retry {
		head.WriteString("X-Repeat: 1\r\n")
	}
	if pending.method == http.MethodPost {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", request.Body.Size)
	}
	head.WriteString("\r\n")
	if request.Body.Size <= maxShortBody {
		io.Copy(&head, request.Body.Reader())
	}
	_, err := connection.Write(head.Bytes())
	if err == nil && request.Body.Size > maxShortBody {
		_, err = io.Copy(connection, request.Body.Reader())
	}
	if err != nil {
		return // read reports the failure, after any response that arrived before
	}
	p.mu.Lock()
	pending.sent = true
	p.mu.Unlock()
	p.engine.post(world.RequestWritten{ID: pending.id})
}

// connect opens a connection for a request, and reports a failure to the emulator.
func (p *clientPool) connect(pending *exchange, timeout time.Duration) *clientConn {
	conn, err := net.DialTimeout("tcp", p.address, max(timeout, time.Millisecond))
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil || pending.abandoned || p.closed {
		delete(p.inFlight, pending.id)
		if err == nil {
			conn.Close()
		} else if !pending.abandoned {
			p.engine.post(world.Unanswered{ID: pending.id})
		}
		return nil
	}
	connection := &clientConn{Conn: conn, pool: p, pending: pending}
	pending.conn = connection
	p.conns[connection] = true
	p.engine.wg.Go(connection.read)
	return connection
}

// takePending removes the pending exchange from the connection. Its caller has to report how the
// exchange ended.
func (c *clientConn) takePending() *exchange {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	taken := c.pending
	c.pending = nil
	if taken != nil {
		delete(c.pool.inFlight, taken.id)
	}
	return taken
}

// abandon closes the connection of a request.
func (p *clientPool) abandon(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pending := p.inFlight[id]
	if pending == nil {
		return // the response has arrived meanwhile
	}
	pending.abandoned = true
	if pending.conn != nil {
		pending.conn.Close()
	}
}

// read reads responses until the connection ends.
func (c *clientConn) read() {
	pool := c.pool
	defer func() {
		c.Close()
		pending := c.takePending()
		pool.mu.Lock()
		delete(pool.conns, c)
		for i, other := range pool.idle {
			if other == c {
				pool.idle = append(pool.idle[:i], pool.idle[i+1:]...)
				break
			}
		}
		var sent bool
		if pending != nil {
			sent = pending.sent && !pending.abandoned
		}
		pool.mu.Unlock()
		if pending != nil && !pending.abandoned {
			pool.engine.post(world.Unanswered{ID: pending.id, Reused: c.lastAnswered != 0, Sent: sent})
		}
	}()
	reader := bufio.NewReaderSize(c, 4096)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		pool.mu.Lock()
		pending := c.pending
		pool.mu.Unlock()
		if pending == nil {
			pool.engine.post(world.UnexpectedData{Gateway: pool.gateway, ID: c.lastAnswered})
			return
		}
		answer, keep := readAnswer(reader, pending)
		c.lastAnswered = pending.id
		if reader.Buffered() > 0 {
			keep = false
			pool.engine.post(world.UnexpectedData{Gateway: pool.gateway, ID: pending.id})
		}
		if c.takePending() == nil {
			return
		}
		if !pending.abandoned {
			pool.engine.post(answer)
		}
		pool.mu.Lock()
		keep = keep && len(pool.idle) < maxIdleConns && !pool.closed
		if keep {
			pool.idle = append(pool.idle, c)
		}
		pool.mu.Unlock()
		if !keep {
			return
		}
	}
}

// readAnswer reads one final response, and reports whether the connection can be reused.
func readAnswer(reader *bufio.Reader, pending *exchange) (world.Answered, bool) {
	answered := world.Answered{ID: pending.id}
	for {
		resp, err := http.ReadResponse(reader, &http.Request{Method: pending.method})
		if err != nil {
			return answered, false
		}
		if resp.StatusCode < 200 {
			continue
		}
		answered.Status = resp.StatusCode
		if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && s > 0 && s < 3600 {
			answered.RetryAfter = time.Duration(s * float64(time.Second))
		}
		if answered.Status == http.StatusOK {
			answered.Body, answered.BodyErr = world.ReadBody(resp.Body)
		}
		_, err = io.Copy(io.Discard, resp.Body)
		if isConnectionError(errors.Join(answered.BodyErr, err)) {
			answered.BodyErr = nil
			return answered, false
		}
		answered.Complete = true
		return answered, !resp.Close
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

// rude emulates clients that hold connections: half of them send nothing, the others a request head
// byte by byte. Each reconnects when its connection is closed.
func (p *clientPool) rude(behaviour world.HoldConnections) {
	ctx, cancel := context.WithTimeout(p.engine.ctx, behaviour.Duration)
	var wg sync.WaitGroup
	for n := range behaviour.Connections {
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
	connection, err := d.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return
	}
	defer connection.Close()
	head := []byte("GET /rude HTTP/1.1\r\nHost: origin.svc\r\nX-Nothing: ")
	for i := 0; ctx.Err() == nil; i++ {
		if drips {
			b := byte('x')
			if i < len(head) {
				b = head[i]
			}
			if _, err := connection.Write([]byte{b}); err != nil {
				return
			}
		}
		connection.SetReadDeadline(time.Now().Add(rudeInterval))
		var buf [512]byte
		if _, err := connection.Read(buf[:]); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
	}
}
