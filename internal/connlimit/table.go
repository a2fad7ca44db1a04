// Package connlimit limits the client connections of a gateway and shares them fairly among
// source addresses. It is a state machine without I/O: the caller reports the state of each
// connection, and a Table says which connections to admit and which to evict for them.
package connlimit

import (
	"cmp"
	"container/heap"
	"net/netip"
	"time"
)

// Limits are the limits of a Table.
type Limits struct {
	Total int // open connections
}

// State is the state of a connection.
type State int

// The states of a connection. A Busy connection is never evicted.
const (
	New  State = iota // no byte has been received
	Head              // receiving the header of a request
	Busy              // in a request
	Idle              // between requests
	stateCount
)

const (
	// NewGrace is how long a connection may stay in state New before it may be evicted.
	NewGrace = 250 * time.Millisecond
	// HeadGrace is how long a connection may stay in state Head before it may be evicted.
	HeadGrace = time.Second

	// openingDivisor limits the New and Head connections of one source to 1/2 of the places:
	// a client that has a request sends it.
	openingDivisor = 2
	// reserveDivisor keeps 1/8 of the places free or idle for sources below their share,
	// since the Busy connections of the others cannot be evicted.
	reserveDivisor = 8
)

// Conn is the entry of one connection in a Table. The caller keeps it and passes it back to
// the methods of its Table.
type Conn struct {
	source *source // nil once closed
	state  State
	since  time.Duration // time of the last change of state
	older  *Conn         // neighbours in the list of the source and state
	newer  *Conn
}

// State returns the state of the connection.
func (c *Conn) State() State { return c.state }

// connList is a linked list of the connections of one source in one state, ordered by the
// time at which they entered it.
type connList struct{ oldest, newest *Conn }

// push appends a connection as the newest.
func (l *connList) push(c *Conn) {
	if c.older = l.newest; l.newest != nil {
		l.newest.newer = c
	} else {
		l.oldest = c
	}
	l.newest = c
}

func (l *connList) remove(c *Conn) {
	if c.older != nil {
		c.older.newer = c.newer
	} else {
		l.oldest = c.newer
	}
	if c.newer != nil {
		c.newer.older = c.older
	} else {
		l.newest = c.older
	}
	c.older, c.newer = nil, nil
}

// source is an address that connections come from. It is removed with its last connection.
type source struct {
	address     netip.Addr
	connections int
	opening     int                  // connections in state New or Head
	byState     [stateCount]connList // Busy connections are in no list
	heapIndex   int                  // position in Table.evictable; -1 if it has no connection that may be evicted
}

// nextVictim returns the connection of the source that is evicted first, and the time from
// which on it may be. It returns nil if all are Busy.
func (s *source) nextVictim() (conn *Conn, evictableAt time.Duration) {
	switch {
	case s.byState[Idle].oldest != nil:
		conn = s.byState[Idle].oldest
		return conn, conn.since
	case s.byState[New].oldest != nil:
		conn = s.byState[New].oldest
		return conn, conn.since + NewGrace
	case s.byState[Head].oldest != nil:
		conn = s.byState[Head].oldest
		return conn, conn.since + HeadGrace
	}
	return nil, 0
}

// Table holds all open connections. Each call takes time logarithmic in the number of sources,
// except SetLimits and Counts, which may visit all sources. All times are durations since a
// fixed point that the caller chooses. A Table is not safe for concurrent use.
type Table struct {
	limits      Limits
	connections int
	byState     [stateCount]int
	sources     map[netip.Addr]*source
	evictable   victimHeap
}

// NewTable returns an empty table.
func NewTable(limits Limits) *Table {
	return &Table{limits: limits, sources: map[netip.Addr]*source{}}
}

// SourceAddress returns the form of an address by which connections are counted: without a
// zone, and IPv4-mapped IPv6 addresses as IPv4.
func SourceAddress(a netip.Addr) netip.Addr { return a.Unmap().WithZone("") }

// Open admits a new connection from an address, in state New. If another connection had to be
// evicted for it, Open removes that one from the table and returns it as victim, for the
// caller to close. If there is no place, conn is nil, and atShare reports whether the source
// has its share of the places, or of those for New and Head connections, already.
//
// The source with the most connections loses one first. If all sources want more than there
// are places, their numbers of connections differ by at most one.
func (t *Table) Open(now time.Duration, address netip.Addr) (conn *Conn, atShare bool, victim *Conn) {
	address = SourceAddress(address)
	src := t.sources[address]
	open := 0
	if src != nil {
		open = src.connections
	}
	atShare = t.atShare(src, open)
	switch {
	case src != nil && src.opening >= max(t.limits.Total/openingDivisor, 1):
		if victim = src.nextOpeningVictim(now); victim == nil {
			return nil, true, nil
		}
	case t.connections >= t.limits.Total || atShare && t.limits.Total-t.connections+t.byState[Idle] <= t.limits.Total/reserveDivisor:
		if victim = t.victim(now, src, open); victim == nil {
			return nil, atShare, nil
		}
	}
	if src == nil {
		src = &source{address: address, heapIndex: -1}
		t.sources[address] = src
	}
	conn = &Conn{source: src, state: New, since: now}
	src.connections++
	t.connections++
	t.link(conn)
	t.updateHeap(src)
	if victim != nil {
		t.Close(victim)
	}
	return conn, atShare, victim
}

// atShare reports whether a source with the given number of open connections has its share
// already, and so may not open one more. A single source may have all places. A nil source
// is one that has no connection yet.
func (t *Table) atShare(src *source, open int) bool {
	sources := len(t.sources)
	if src == nil {
		sources++
	}
	return open >= (t.limits.Total+sources-1)/sources
}

// victim returns the connection to evict for a new one of a source with the given number of
// open connections, or nil. It belongs to the source with the most connections, which may be
// the same source.
func (t *Table) victim(now time.Duration, src *source, open int) *Conn {
	if t.evictable.Len() == 0 {
		return nil
	}
	candidate := t.evictable.sources[0]
	if candidate.connections <= open && candidate != src {
		// The candidate has no more connections than the source, which has to evict its own.
		if candidate = src; src == nil || src.heapIndex < 0 {
			return nil
		}
	}
	if conn, evictableAt := candidate.nextVictim(); evictableAt <= now {
		return conn
	}
	return nil
}

// nextOpeningVictim returns the connection to evict from a source with too many New and Head
// connections, or nil.
func (s *source) nextOpeningVictim(now time.Duration) *Conn {
	if conn := s.byState[New].oldest; conn != nil && conn.since+NewGrace <= now {
		return conn
	}
	if conn := s.byState[Head].oldest; conn != nil && conn.since+HeadGrace <= now {
		return conn
	}
	return nil
}

// Room reports whether another connection may be accepted. If not, recheckAfter is the time
// after which that may change without a call of Set, Close or SetLimits; 0 means never. While
// all places are taken by requests, connections should stay in the listener's accept queue.
func (t *Table) Room(now time.Duration) (ok bool, recheckAfter time.Duration) {
	if t.connections < t.limits.Total {
		return true, 0
	}
	if t.evictable.Len() == 0 {
		return false, 0
	}
	if _, evictableAt := t.evictable.sources[0].nextVictim(); evictableAt > now {
		return false, evictableAt - now
	}
	return true, 0
}

// Set records the state of a connection. It ignores a connection that has been closed.
func (t *Table) Set(now time.Duration, conn *Conn, state State) {
	if conn.source == nil || conn.state == state {
		return
	}
	t.unlink(conn)
	conn.state, conn.since = state, now
	t.link(conn)
	t.updateHeap(conn.source)
}

// link counts a connection in its state and adds it to the list of that state.
func (t *Table) link(conn *Conn) {
	t.byState[conn.state]++
	if conn.state != Busy {
		conn.source.byState[conn.state].push(conn)
	}
	if conn.state == New || conn.state == Head {
		conn.source.opening++
	}
}

// unlink undoes link.
func (t *Table) unlink(conn *Conn) {
	t.byState[conn.state]--
	if conn.state != Busy {
		conn.source.byState[conn.state].remove(conn)
	}
	if conn.state == New || conn.state == Head {
		conn.source.opening--
	}
}

// Close removes a connection. Closing it again has no effect.
func (t *Table) Close(conn *Conn) {
	src := conn.source
	if src == nil {
		return
	}
	t.unlink(conn)
	conn.source = nil
	t.connections--
	if src.connections--; src.connections == 0 {
		delete(t.sources, src.address)
	}
	t.updateHeap(src)
}

// SetLimits changes the limits. It removes the connections above the new limits from the table
// and returns them, for the caller to close. Connections in state Head or Busy stay, so the
// table may remain above its limits until they end.
func (t *Table) SetLimits(limits Limits) (victims []*Conn) {
	t.limits = limits
	for t.connections > limits.Total {
		var largest *source
		for _, src := range t.sources {
			if (src.byState[Idle].oldest != nil || src.byState[New].oldest != nil) && (largest == nil || src.connections > largest.connections) {
				largest = src
			}
		}
		if largest == nil {
			break
		}
		conn := cmp.Or(largest.byState[Idle].oldest, largest.byState[New].oldest)
		t.Close(conn)
		victims = append(victims, conn)
	}
	return victims
}

// Counts are the statistics of a Table.
type Counts struct {
	Open      int             // connections
	ByState   [stateCount]int // connections, indexed by State
	Sources   int             // source addresses with connections
	OverShare int             // sources above their share; 0 unless 7/8 of the places are taken
}

// Counts returns the current statistics.
func (t *Table) Counts() Counts {
	counts := Counts{Open: t.connections, ByState: t.byState, Sources: len(t.sources)}
	if t.connections >= t.limits.Total-t.limits.Total/reserveDivisor {
		for _, src := range t.sources {
			if t.atShare(src, src.connections-1) {
				counts.OverShare++
			}
		}
	}
	return counts
}

// updateHeap moves a source to its position in the heap, or removes it if none of its
// connections may be evicted.
func (t *Table) updateHeap(src *source) {
	conn, _ := src.nextVictim()
	evictable := conn != nil
	switch {
	case evictable && src.heapIndex < 0:
		heap.Push(&t.evictable, src)
	case evictable:
		heap.Fix(&t.evictable, src.heapIndex)
	case src.heapIndex >= 0:
		heap.Remove(&t.evictable, src.heapIndex)
	}
}

// victimHeap is a heap.Interface of the sources that have connections to evict. The source with
// the most connections comes first; among equals, the one whose victim may be evicted earliest.
type victimHeap struct {
	sources     []*source
	comparisons int // calls of Less, for benchmarks
}

func (h *victimHeap) Len() int { return len(h.sources) }
func (h *victimHeap) Less(i, j int) bool {
	h.comparisons++
	a, b := h.sources[i], h.sources[j]
	if a.connections != b.connections {
		return a.connections > b.connections
	}
	_, evictableAt := a.nextVictim()
	_, otherEvictableAt := b.nextVictim()
	return evictableAt < otherEvictableAt
}
func (h *victimHeap) Swap(i, j int) {
	h.sources[i], h.sources[j] = h.sources[j], h.sources[i]
	h.sources[i].heapIndex, h.sources[j].heapIndex = i, j
}
func (h *victimHeap) Push(src any) {
	src.(*source).heapIndex = len(h.sources)
	h.sources = append(h.sources, src.(*source))
}
func (h *victimHeap) Pop() any {
	last := len(h.sources) - 1
	src := h.sources[last]
	h.sources[last] = nil
	h.sources = h.sources[:last]
	src.heapIndex = -1
	return src
}
