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

// Direction is a direction of a link.
type Direction int

// The directions: Forward is from the process that connects to its target.
const (
	Forward Direction = iota
	Reverse
)

// Limits are the limits of a Relay.
type Limits struct {
	MaxConnections int // concurrent connections; further ones are reset
	BufferBytes    int // bytes read ahead, in each direction of each connection
}

// Stats are the statistics of a Relay.
type Stats struct {
	Connections     int           // open now
	PeakConnections int           // the most that were open at once
	Rejected        int64         // connections beyond the limit
	Bytes           [2]int64      // sent, by Direction
	MaxLateness     time.Duration // the longest time by which a piece was sent after it was due
}

// Relay is a TCP proxy on one link that injects faults. It is safe for concurrent use.
type Relay struct {
	listener  *Listener
	target    string
	limits    Limits
	startedAt time.Time
	wg        sync.WaitGroup

	mu           sync.Mutex
	stateChanged sync.Cond // signals a change of a condition, a queue or a connection's state; uses mu
	conditions   [2]Condition
	connections  map[*relayedConnection]bool
	closed       bool
	random       *rand.Rand
	stats        Stats
}

// relayedConnection is a client's connection and the one to the target. The relay's mu guards all
// fields but ends.
type relayedConnection struct {
	ends        [2]*net.TCPConn // of the client and of the target
	flows       [2]*Flow        // this and the next two by Direction
	queue       [2][]piece
	queuedBytes [2]int // in the queue
	closed      bool
}

// piece is the result of one read, or the end of a stream.
type piece struct {
	data        []byte
	due         time.Duration
	endOfStream bool // the sender has closed its direction
	reset       bool // the connection is reset after the piece
}

// dialTimeout bounds the connection attempt to the target.
const dialTimeout = 2 * time.Second

// NewRelay returns a Relay that accepts connections at address and forwards them to target. seed
// determines the jitter. It returns an error if it cannot listen at address.
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

// Address returns the address at which the relay accepts connections.
func (r *Relay) Address() string { return r.listener.Address() }

func (r *Relay) now() time.Duration { return time.Since(r.startedAt) }

// Set changes the condition of one direction from now on. Refused and Reset reset the established
// connections. Dropped, Refused and Reset affect new connections whichever direction they are set
// for. It returns an error if the condition is invalid or does not apply to TCP connections.
func (r *Relay) Set(direction Direction, condition Condition) error {
	if err := condition.Check(); err != nil {
		return err
	}
	if !condition.AppliesToStreams() {
		return fmt.Errorf("%s applies to datagrams alone, and this relay carries TCP connections", condition.Kind)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conditions[direction] = condition
	state := Open
	for _, current := range r.conditions {
		switch current.Kind {
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

// Stats returns the current statistics.
func (r *Relay) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	stats := r.stats
	stats.Connections = len(r.connections)
	return stats
}

// Close stops listening, resets all connections and waits for the relay's goroutines.
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

// connect dials the target for a client's connection and relays between both until they end.
func (r *Relay) connect(client *net.TCPConn) {
	connection := &relayedConnection{ends: [2]*net.TCPConn{client, nil}}
	r.mu.Lock()
	full := len(r.connections) >= r.limits.MaxConnections
	if full {
		r.stats.Rejected++
	}
	endsConnections := func(condition Condition) bool { return condition.Kind == Reset || condition.Kind == Refused } // the client may have connected just before the condition changed
	if full || r.closed || endsConnections(r.conditions[Forward]) || endsConnections(r.conditions[Reverse]) {
		r.mu.Unlock()
		Abort(client)
		return
	}
	for direction := range connection.flows {
		connection.flows[direction] = NewFlow(r.conditions[direction], rand.New(rand.NewPCG(r.random.Uint64(), 2)))
	}
	r.connections[connection] = true // counts while it dials, too
	r.stats.PeakConnections = max(r.stats.PeakConnections, len(r.connections))
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
	if !connection.closed { // both directions have ended in order; the last bytes may still be in flight
		connection.closed = true
		connection.ends[0].Close()
		connection.ends[1].Close()
	}
}

// abort resets both sides. The caller holds the relay's mu.
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

// read queues what one side sends, as long as the buffer has room and the flow is not blocked.
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

// write sends the queued pieces to the other side, each when it is due.
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

// next waits until a piece is due and not blocked, and removes it from the queue. It returns false
// if the connection is closed.
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
