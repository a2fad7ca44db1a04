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
	connections  map[*relayedConnection]bool
	closed       bool
	random       *rand.Rand
	stats        Stats
}

// conn is a connection with both its sides. All but the ends is under the relay's
// lock.
type relayedConnection struct {
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
	r := &Relay{target: target, limits: limits, startedAt: time.Now(), conditions: [2]Condition{{Kind: Up}, {Kind: Up}}, connections: map[*relayedConnection]bool{},
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
func (r *Relay) Set(direction Direction, condition Condition) error {
	if err := condition.Check(); err != nil {
		return err
	}
	if !condition.AppliesToStreams() {
		return fmt.Errorf("%s is of datagrams, and this relay carries streams", condition.Kind)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conditions[direction] = condition
	state := Open
	for _, h := range r.conditions {
		switch h.Kind {
		case Dropped:
			state = max(state, Silent)
		case Refused:
			state = max(state, Refusing)
		}
	}
	for connection := range r.connections {
		connection.flows[direction].Set(r.now(), condition)
		if condition.Kind == Refused || condition.Kind == Reset {
			connection.abort()
		}
	}
	r.stateChanged.Broadcast()
	return r.listener.Set(state)
}

// Stats returns the figures.
func (r *Relay) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	stats := r.stats
	stats.Connections = len(r.connections)
	return stats
}

// Close ends the relay and all its connections. Nothing of it is left.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	for connection := range r.connections {
		connection.abort()
	}
	r.stateChanged.Broadcast()
	r.mu.Unlock()
	r.listener.Close()
	r.wg.Wait()
}

// connect finds the other side for a connection, and carries it until it ends.
func (r *Relay) connect(client *net.TCPConn) {
	connection := &relayedConnection{ends: [2]*net.TCPConn{client, nil}}
	r.mu.Lock()
	full := len(r.connections) >= r.limits.MaxConnections
	if full {
		r.stats.Rejected++
	}
	endsConnections := func(h Condition) bool { return h.Kind == Reset || h.Kind == Refused } // it may have come in the moment of the change
	if full || r.closed || endsConnections(r.conditions[Forward]) || endsConnections(r.conditions[Reverse]) {
		r.mu.Unlock()
		Abort(client)
		return
	}
	for direction := range connection.flows {
		connection.flows[direction] = NewFlow(r.conditions[direction], rand.New(rand.NewPCG(r.random.Uint64(), 2)))
	}
	r.connections[connection] = true // also while its other side is sought
	r.stats.MaxConnections = max(r.stats.MaxConnections, len(r.connections))
	r.mu.Unlock()
	server, err := net.DialTimeout("tcp", r.target, dialTimeout)
	r.mu.Lock()
	if err != nil || connection.closed {
		delete(r.connections, connection)
		connection.abort()
		r.mu.Unlock()
		if err == nil {
			Abort(server)
		}
		return
	}
	connection.ends[1] = server.(*net.TCPConn)
	r.mu.Unlock()
	var wg sync.WaitGroup
	for _, direction := range []Direction{Forward, Reverse} {
		wg.Go(func() { r.read(connection, direction) })
		wg.Go(func() { r.write(connection, direction) })
	}
	wg.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.connections, connection)
	if !connection.closed { // both sides have said their last, which may still be on its way
		connection.closed = true
		connection.ends[0].Close()
		connection.ends[1].Close()
	}
}

// abort resets both sides. The caller has the lock.
func (connection *relayedConnection) abort() {
	if connection.closed {
		return
	}
	connection.closed = true
	for _, end := range connection.ends {
		if end != nil {
			Abort(end)
		}
	}
}

// read takes in what one side sends, as far as there is room for it and the link
// does not hold it.
func (r *Relay) read(connection *relayedConnection, direction Direction) {
	source := connection.ends[direction]
	for {
		r.mu.Lock()
		for !connection.closed && (connection.flows[direction].Blocked() || connection.queuedBytes[direction] >= r.limits.BufferBytes) {
			r.stateChanged.Wait()
		}
		buffer := make([]byte, min(connection.flows[direction].ReadSize(), max(r.limits.BufferBytes-connection.queuedBytes[direction], 1)))
		over := connection.closed
		r.mu.Unlock()
		if over {
			return
		}
		n, err := source.Read(buffer)
		r.mu.Lock()
		if n > 0 {
			pass, due, reset := connection.flows[direction].Schedule(r.now(), n)
			connection.queue[direction] = append(connection.queue[direction], piece{data: buffer[:pass], due: due, reset: reset})
			connection.queuedBytes[direction] += pass
		}
		if err != nil {
			_, due, _ := connection.flows[direction].Schedule(r.now(), 0)
			connection.queue[direction] = append(connection.queue[direction], piece{due: due, endOfStream: errors.Is(err, io.EOF), reset: !errors.Is(err, io.EOF)})
		}
		r.stateChanged.Broadcast()
		r.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// write passes on what was read, each piece at its time, unless the link holds it.
func (r *Relay) write(connection *relayedConnection, direction Direction) {
	destination := connection.ends[1-direction]
	for {
		p, ok := r.next(connection, direction)
		if !ok {
			return
		}
		_, err := destination.Write(p.data)
		switch {
		case err != nil || p.reset:
			r.mu.Lock()
			connection.abort()
			r.stateChanged.Broadcast()
			r.mu.Unlock()
			return
		case p.endOfStream:
			destination.CloseWrite()
			return
		}
		r.mu.Lock()
		connection.queuedBytes[direction] -= len(p.data)
		r.stats.Bytes[direction] += int64(len(p.data))
		r.stateChanged.Broadcast()
		r.mu.Unlock()
	}
}

// next waits for the next piece to be passed on.
func (r *Relay) next(connection *relayedConnection, direction Direction) (piece, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	waited := false
	for !connection.closed {
		if len(connection.queue[direction]) == 0 || connection.flows[direction].Blocked() {
			waited = false
			r.stateChanged.Wait()
			continue
		}
		p := connection.queue[direction][0]
		if wait := p.due - r.now(); wait > 0 {
			waited = true
			timer := time.AfterFunc(wait, func() {
				r.mu.Lock()
				defer r.mu.Unlock()
				r.stateChanged.Broadcast()
			})
			r.stateChanged.Wait()
			timer.Stop()
			continue
		} else if waited {
			r.stats.MaxLateness = max(r.stats.MaxLateness, -wait)
		}
		connection.queue[direction][0] = piece{}
		connection.queue[direction] = connection.queue[direction][1:]
		return p, true
	}
	return piece{}, false
}
