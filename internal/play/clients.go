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

// callers are the emulated clients' connections to one gateway.
type callers struct {
	e       *engine
	gateway int
	address string

	mu   sync.Mutex
	idle []*caller // last used last
	open map[uint64]*exchange
	all  map[*caller]bool
	shut bool
}

// caller is one connection. Its reader is the only one to read from it.
type caller struct {
	net.Conn
	of      *callers
	pending *exchange // under the callers' lock
	last    uint64    // the request answered last; 0: none yet
}

// exchange is a request on its way; all but its name is under the callers' lock.
type exchange struct {
	id        uint64
	conn      *caller // nil while it is being made
	method    string
	sent      bool
	abandoned bool
}

const mostIdle = 128 // connections to a gateway that are kept for later requests

func newCallers(e *engine, gateway int, address string) *callers {
	return &callers{e: e, gateway: gateway, address: address, open: map[uint64]*exchange{}, all: map[*caller]bool{}}
}

// send sends a request on the connection used last, or on a new one.
func (p *callers) send(r world.Send) {
	class := &p.e.s.Classes[r.Class]
	x := &exchange{id: r.ID, method: http.MethodPost}
	if class.Effect == "repeatable" {
		x.method = http.MethodGet
	}
	p.mu.Lock()
	p.open[x.id] = x
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
		x.method, class.Name, queryOf(r.ID), r.ID, class.Name, p.e.s.Plans[r.Plan].Name, r.Customer, r.Remaining.Milliseconds(), class.Units, p.e.s.Plans[r.Plan].Spread, r.FirstGateway)
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
	if r.Body.Size <= shortBody {
		io.Copy(&head, r.Body.Reader())
	}
	_, err := c.Write(head.Bytes())
	if err == nil && r.Body.Size > shortBody {
		_, err = io.Copy(c, r.Body.Reader())
	}
	if err != nil {
		return // its reader finds out, and what was answered before
	}
	p.mu.Lock()
	x.sent = true
	p.mu.Unlock()
	p.e.post(world.RequestWritten{ID: x.id})
}

// connect makes a connection for a request, and tells of its failure.
func (p *callers) connect(x *exchange, patience time.Duration) *caller {
	conn, err := net.DialTimeout("tcp", p.address, max(patience, time.Millisecond))
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil || x.abandoned || p.shut {
		delete(p.open, x.id)
		if err == nil {
			conn.Close()
		} else if !x.abandoned {
			p.e.post(world.Unanswered{ID: x.id})
		}
		return nil
	}
	c := &caller{Conn: conn, of: p, pending: x}
	x.conn = c
	p.all[c] = true
	p.e.wg.Go(c.read)
	return c
}

// take takes the exchange from a connection; only who gets it tells of it.
func (c *caller) take() *exchange {
	c.of.mu.Lock()
	defer c.of.mu.Unlock()
	x := c.pending
	c.pending = nil
	if x != nil {
		delete(c.of.open, x.id)
	}
	return x
}

// abandon ends a request's connection.
func (p *callers) abandon(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	x := p.open[id]
	if x == nil {
		return // its answer has come meanwhile
	}
	x.abandoned = true
	if x.conn != nil {
		x.conn.Close()
	}
}

// read reads answers until the connection ends.
func (c *caller) read() {
	p := c.of
	defer func() {
		c.Close()
		x := c.take()
		p.mu.Lock()
		delete(p.all, c)
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
			p.e.post(world.Unanswered{ID: x.id, Reused: c.last != 0, Sent: sent})
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
			p.e.post(world.UnexpectedData{Gateway: p.gateway, ID: c.last})
			return
		}
		answer, keep := readAnswer(in, x)
		c.last = x.id
		if in.Buffered() > 0 {
			keep = false
			p.e.post(world.UnexpectedData{Gateway: p.gateway, ID: x.id})
		}
		if c.take() == nil {
			return
		}
		if !x.abandoned {
			p.e.post(answer)
		}
		p.mu.Lock()
		keep = keep && len(p.idle) < mostIdle && !p.shut
		if keep {
			p.idle = append(p.idle, c)
		}
		p.mu.Unlock()
		if !keep {
			return
		}
	}
}

// readAnswer reads one final answer, and says whether the connection may go on.
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
		if isCut(errors.Join(a.BodyErr, err)) {
			a.BodyErr = nil
			return a, false
		}
		a.Complete = true
		return a, !resp.Close
	}
}

// isCut says whether an error is of a connection that ended early, not of what
// came on it.
func isCut(err error) bool {
	var network net.Error
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) || errors.As(err, &network)
}

// close ends all connections; nothing more is told.
func (p *callers) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shut = true
	for c := range p.all {
		if c.pending != nil {
			c.pending.abandoned = true
		}
		c.Close()
	}
}

// rudePace is between two bytes of a rude client's, and before it comes again.
const rudePace = 100 * time.Millisecond

// rude opens connections that send nothing, or a head byte by byte, and opens them
// again when they are closed.
func (p *callers) rude(r world.HoldConnections) {
	ctx, cancel := context.WithTimeout(p.e.ctx, r.Duration)
	var wg sync.WaitGroup
	for n := range r.Connections {
		wg.Go(func() {
			for ctx.Err() == nil {
				p.rudeOnce(ctx, n%2 == 1)
				select {
				case <-time.After(rudePace):
				case <-ctx.Done():
				}
			}
		})
	}
	p.e.wg.Go(func() { wg.Wait(); cancel() })
}

// rudeOnce is one such connection, until it or the time ends.
func (p *callers) rudeOnce(ctx context.Context, drips bool) {
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
		c.SetReadDeadline(time.Now().Add(rudePace))
		var buf [512]byte
		if _, err := c.Read(buf[:]); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
	}
}
