package link

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Way is a direction of a link.
type Direction int

// The ways, as seen by who connects.
const (
	Forward Direction = iota
	Reverse
)

// Limits bound a Relay.
type Limits struct {
	MaxConnections int // at once; more are reset
	BufferBytes    int // bytes read ahead, in each direction of each connection
}

// Stats are a Relay's figures.
type Stats struct {
	Connections    int           // that stand
	MaxConnections int           // that stood at once
	Rejected       int64         // connections beyond the limit
	Bytes          [2]int64      // passed, by way
	MaxLateness    time.Duration // the longest by which a piece was passed on behind its time
}

// Relay carries the connections of one link.
type Relay struct {
	listener  *Listener
	target    string
	limits    Limits
	startedAt time.Time
	wg        sync.WaitGroup

	mu           sync.Mutex
	stateChanged sync.Cond // a fault, a queue, or an end; on mu
	conditions   [2]Condition
	connections  map[*connection]bool
	closed       bool
	random       *rand.Rand
	stats        Stats
}

// conn is a connection with both its sides. All but the ends is under the relay's
// lock.
type connection struct {
	ends        [2]*net.TCPConn // who connected, and whom it is for
	flows       [2]*Flow
	queue       [2][]piece
	queuedBytes [2]int // in the queue
	closed      bool
}

// piece is what was read at once, or an end.
type piece struct {
	data        []byte
	due         time.Duration
	endOfStream bool // its sender says no more
	reset       bool // the connection is reset behind it
}

// dialWait is for a connection to whom the link leads.
const dialTimeout = 2 * time.Second

// NewRelay carries what comes to an address to another.
func NewRelay(address, target string, limits Limits, seed uint64) (*Relay, error) {
	r := &Relay{target: target, limits: limits, startedAt: time.Now(), conditions: [2]Condition{{Kind: Up}, {Kind: Up}}, connections: map[*connection]bool{},
		random: rand.New(rand.NewPCG(seed, 1))}
	r.stateChanged.L = &r.mu
	listener, err := NewListener(address, func(c net.Conn) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if !r.closed {
			r.wg.Go(func() { r.connect(c.(*net.TCPConn)) })
		}
	})
	if err != nil {
		return nil, fmt.Errorf("relay to %s: %w", target, err)
	}
	r.listener = listener
	return r, nil
}

// Address is where it listens.
func (r *Relay) Address() string { return r.listener.Address() }

func (r *Relay) now() time.Duration { return time.Since(r.startedAt) }

// Set changes how one way of the link carries what is sent from now on. Refused and
// Reset end the connections that stand; whichever way has them, the link has.
func (r *Relay) Set(way Direction, how Condition) error {
	if err := how.Check(); err != nil {
		return err
	}
	if !how.AppliesToStreams() {
		return fmt.Errorf("%s is of datagrams, and this relay carries streams", how.Kind)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conditions[way] = how
	step := Open
	for _, h := range r.conditions {
		switch h.Kind {
		case Dropped:
			step = max(step, Silent)
		case Refused:
			step = max(step, Refusing)
		}
	}
	for c := range r.connections {
		c.flows[way].Set(r.now(), how)
		if how.Kind == Refused || how.Kind == Reset {
			c.abort()
		}
	}
	r.stateChanged.Broadcast()
	return r.listener.Set(step)
}

// Stats returns the figures.
func (r *Relay) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.stats
	s.Connections = len(r.connections)
	return s
}

// Close ends the relay and all its connections. Nothing of it is left.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	for c := range r.connections {
		c.abort()
	}
	r.stateChanged.Broadcast()
	r.mu.Unlock()
	r.listener.Close()
	r.wg.Wait()
}

// connect finds the other side for a connection, and carries it until it ends.
func (r *Relay) connect(from *net.TCPConn) {
	c := &connection{ends: [2]*net.TCPConn{from, nil}}
	r.mu.Lock()
	full := len(r.connections) >= r.limits.MaxConnections
	if full {
		r.stats.Rejected++
	}
	ends := func(h Condition) bool { return h.Kind == Reset || h.Kind == Refused } // it may have come in the moment of the change
	if full || r.closed || ends(r.conditions[Forward]) || ends(r.conditions[Reverse]) {
		r.mu.Unlock()
		Abort(from)
		return
	}
	for way := range c.flows {
		c.flows[way] = NewFlow(r.conditions[way], rand.New(rand.NewPCG(r.random.Uint64(), 2)))
	}
	r.connections[c] = true // also while its other side is sought
	r.stats.MaxConnections = max(r.stats.MaxConnections, len(r.connections))
	r.mu.Unlock()
	to, err := net.DialTimeout("tcp", r.target, dialTimeout)
	r.mu.Lock()
	if err != nil || c.closed {
		delete(r.connections, c)
		c.abort()
		r.mu.Unlock()
		if err == nil {
			Abort(to)
		}
		return
	}
	c.ends[1] = to.(*net.TCPConn)
	r.mu.Unlock()
	var wg sync.WaitGroup
	for _, way := range []Direction{Forward, Reverse} {
		wg.Go(func() { r.read(c, way) })
		wg.Go(func() { r.write(c, way) })
	}
	wg.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.connections, c)
	if !c.closed { // both sides have said their last, which may still be on its way
		c.closed = true
		c.ends[0].Close()
		c.ends[1].Close()
	}
}

// abort resets both sides. The caller has the lock.
func (c *connection) abort() {
	if c.closed {
		return
	}
	c.closed = true
	for _, end := range c.ends {
		if end != nil {
			Abort(end)
		}
	}
}

// read takes in what one side sends, as far as there is room for it and the link
// does not hold it.
func (r *Relay) read(c *connection, way Direction) {
	from := c.ends[way]
	for {
		r.mu.Lock()
		for !c.closed && (c.flows[way].Blocked() || c.queuedBytes[way] >= r.limits.BufferBytes) {
			r.stateChanged.Wait()
		}
		text := make([]byte, min(c.flows[way].ReadSize(), max(r.limits.BufferBytes-c.queuedBytes[way], 1)))
		over := c.closed
		r.mu.Unlock()
		if over {
			return
		}
		n, err := from.Read(text)
		r.mu.Lock()
		if n > 0 {
			pass, due, reset := c.flows[way].Schedule(r.now(), n)
			c.queue[way] = append(c.queue[way], piece{data: text[:pass], due: due, reset: reset})
			c.queuedBytes[way] += pass
		}
		if err != nil {
			_, due, _ := c.flows[way].Schedule(r.now(), 0)
			c.queue[way] = append(c.queue[way], piece{due: due, endOfStream: errors.Is(err, io.EOF), reset: !errors.Is(err, io.EOF)})
		}
		r.stateChanged.Broadcast()
		r.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// write passes on what was read, each piece at its time, unless the link holds it.
func (r *Relay) write(c *connection, way Direction) {
	to := c.ends[1-way]
	for {
		p, ok := r.next(c, way)
		if !ok {
			return
		}
		_, err := to.Write(p.data)
		switch {
		case err != nil || p.reset:
			r.mu.Lock()
			c.abort()
			r.stateChanged.Broadcast()
			r.mu.Unlock()
			return
		case p.endOfStream:
			to.CloseWrite()
			return
		}
		r.mu.Lock()
		c.queuedBytes[way] -= len(p.data)
		r.stats.Bytes[way] += int64(len(p.data))
		r.stateChanged.Broadcast()
		r.mu.Unlock()
	}
}

// next waits for the next piece to be passed on.
func (r *Relay) next(c *connection, way Direction) (piece, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	waited := false
	for !c.closed {
		if len(c.queue[way]) == 0 || c.flows[way].Blocked() {
			waited = false
			r.stateChanged.Wait()
			continue
		}
		p := c.queue[way][0]
		if in := p.due - r.now(); in > 0 {
			waited = true
			alarm := time.AfterFunc(in, func() {
				r.mu.Lock()
				defer r.mu.Unlock()
				r.stateChanged.Broadcast()
			})
			r.stateChanged.Wait()
			alarm.Stop()
			continue
		} else if waited {
			r.stats.MaxLateness = max(r.stats.MaxLateness, -in)
		}
		c.queue[way][0] = piece{}
		c.queue[way] = c.queue[way][1:]
		return p, true
	}
	return piece{}, false
}
