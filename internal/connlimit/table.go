// Package connlimit decides which clients' connections a gateway takes and which
// it gives up for them. It is a state machine: it is told what happens on
// connections, and says what to close.
package connlimit

import (
	"cmp"
	"container/heap"
	"net/netip"
	"time"
)

// Limits bound a Table.
type Limits struct {
	Total int // connections
}

// State is what a connection is doing.
type State int

// The states. One that is Busy is never given up for another.
const (
	New  State = iota // no byte has come
	Head              // the head of a request is coming
	Busy              // in a request
	Idle              // between requests
	stateCount
)

const (
	// NewGrace is how long a new connection may say nothing before it can be given up
	// for another, and HeadGrace how long a head may take.
	NewGrace  = 250 * time.Millisecond
	HeadGrace = time.Second
	// A part of the places is what the New and Head ones of one source may take
	// together: a client that has a request sends it.
	openingDivisor = 2
	// An eighth of the places is free or idle, or goes to sources below their share
	// alone: those in a request can't be given up, however many one source has.
	reserveDivisor = 8
)

// Conn is one connection. Its owner keeps it and hands it back.
type Conn struct {
	source *source
	state  State
	since  time.Duration // in this state
	older  *Conn         // in its source's list of those in its state
	newer  *Conn
}

// State returns what the connection is doing.
func (c *Conn) State() State { return c.state }

// list has the connections of one source in one state, those longest in it first.
type connList struct{ oldest, newest *Conn }

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

// source is where connections come from. It is forgotten with the last of them.
type source struct {
	address     netip.Addr
	connections int
	opening     int                  // New and Head
	byState     [stateCount]connList // but Busy, which are in none
	heapIndex   int                  // in the heap; -1: it has none to give up
}

// first returns the connection that the source would give up first, and from when
// on it may.
func (s *source) nextVictim() (c *Conn, from time.Duration) {
	switch {
	case s.byState[Idle].oldest != nil:
		c = s.byState[Idle].oldest
		return c, c.since
	case s.byState[New].oldest != nil:
		c = s.byState[New].oldest
		return c, c.since + NewGrace
	case s.byState[Head].oldest != nil:
		c = s.byState[Head].oldest
		return c, c.since + HeadGrace
	}
	return nil, 0
}

// Table has all connections. Its cost for an event grows with the logarithm of the
// number of sources, of which there are no more than connections.
type Table struct {
	limits      Limits
	connections int
	byState     [stateCount]int
	sources     map[netip.Addr]*source
	evictable   victimHeap
}

// New returns a table with nothing in it.
func NewTable(limits Limits) *Table {
	return &Table{limits: limits, sources: map[netip.Addr]*source{}}
}

// SourceAddress is the address that connections are counted by: an IPv4 address is the
// same however it is written.
func SourceAddress(a netip.Addr) netip.Addr { return a.Unmap().WithZone("") }

// Open takes a new connection from an address, and names one that gives its place
// up, or none. If there is no place it returns nil, and whether the source has its
// share already. Whoever has most gives up first, so that all have as many, but for
// one, when all want more.
func (t *Table) Open(now time.Duration, address netip.Addr) (c *Conn, over bool, victim *Conn) {
	address = SourceAddress(address)
	s := t.sources[address]
	has := 0
	if s != nil {
		has = s.connections
	}
	over = t.atShare(s, has)
	switch {
	case s != nil && s.opening >= max(t.limits.Total/openingDivisor, 1):
		if victim = s.nextOpeningVictim(now); victim == nil {
			return nil, true, nil
		}
	case t.connections >= t.limits.Total || over && t.limits.Total-t.connections+t.byState[Idle] <= t.limits.Total/reserveDivisor:
		if victim = t.victim(now, s, has); victim == nil {
			return nil, over, nil
		}
	}
	if s == nil {
		s = &source{address: address, heapIndex: -1}
		t.sources[address] = s
	}
	c = &Conn{source: s, state: New, since: now}
	s.connections++
	t.connections++
	t.link(c)
	t.updateHeap(s)
	if victim != nil {
		t.Close(victim)
	}
	return c, over, victim
}

// over tells whether a source that has so many, and wants one more, has its share
// already. A source that is alone may have all.
func (t *Table) atShare(s *source, has int) bool {
	sources := len(t.sources)
	if s == nil {
		sources++
	}
	return has >= (t.limits.Total+sources-1)/sources
}

// victim returns the connection that makes room for one of a source that has so
// many: that of the source that has most, which may be its own.
func (t *Table) victim(now time.Duration, s *source, has int) *Conn {
	if t.evictable.Len() == 0 {
		return nil
	}
	v := t.evictable.sources[0]
	if v.connections <= has && v != s {
		// It has no more than the one that wants a place, which makes do with its own.
		if v = s; s == nil || s.heapIndex < 0 {
			return nil
		}
	}
	if c, from := v.nextVictim(); from <= now {
		return c
	}
	return nil
}

// unread returns the connection of a source with too many New and Head ones that
// makes room for another.
func (s *source) nextOpeningVictim(now time.Duration) *Conn {
	if c := s.byState[New].oldest; c != nil && c.since+NewGrace <= now {
		return c
	}
	if c := s.byState[Head].oldest; c != nil && c.since+HeadGrace <= now {
		return c
	}
	return nil
}

// Room tells whether to accept another connection, and if not, after how long to
// look again, if nothing happens before; 0: only then. While all places are in use
// by requests, connections wait in the listener's queue.
func (t *Table) Room(now time.Duration) (ok bool, look time.Duration) {
	if t.connections < t.limits.Total {
		return true, 0
	}
	if t.evictable.Len() == 0 {
		return false, 0
	}
	if _, from := t.evictable.sources[0].nextVictim(); from > now {
		return false, from - now
	}
	return true, 0
}

// Set tells what a connection is doing now. One that was closed does nothing any
// more.
func (t *Table) Set(now time.Duration, c *Conn, state State) {
	if c.source == nil || c.state == state {
		return
	}
	t.unlink(c)
	c.state, c.since = state, now
	t.link(c)
	t.updateHeap(c.source)
}

func (t *Table) link(c *Conn) {
	t.byState[c.state]++
	if c.state != Busy {
		c.source.byState[c.state].push(c)
	}
	if c.state == New || c.state == Head {
		c.source.opening++
	}
}

func (t *Table) unlink(c *Conn) {
	t.byState[c.state]--
	if c.state != Busy {
		c.source.byState[c.state].remove(c)
	}
	if c.state == New || c.state == Head {
		c.source.opening--
	}
}

// Close tells that a connection has ended. It may be told more than once.
func (t *Table) Close(c *Conn) {
	s := c.source
	if s == nil {
		return
	}
	t.unlink(c)
	c.source = nil
	t.connections--
	if s.connections--; s.connections == 0 {
		delete(t.sources, s.address)
	}
	t.updateHeap(s)
}

// SetLimits puts other limits in force, and returns those that have to go for them. No
// head is cut off, and no request.
func (t *Table) SetLimits(limits Limits) (victims []*Conn) {
	t.limits = limits
	for t.connections > limits.Total {
		var most *source
		for _, s := range t.sources {
			if (s.byState[Idle].oldest != nil || s.byState[New].oldest != nil) && (most == nil || s.connections > most.connections) {
				most = s
			}
		}
		if most == nil {
			break
		}
		c := cmp.Or(most.byState[Idle].oldest, most.byState[New].oldest)
		t.Close(c)
		victims = append(victims, c)
	}
	return victims
}

// Counts are a Table's figures.
type Counts struct {
	Open      int
	ByState   [stateCount]int
	Sources   int
	OverShare int // sources with more than their share, while places run short
}

// Counts returns them.
func (t *Table) Counts() Counts {
	n := Counts{Open: t.connections, ByState: t.byState, Sources: len(t.sources)}
	if t.connections >= t.limits.Total-t.limits.Total/reserveDivisor {
		for _, s := range t.sources {
			if t.atShare(s, s.connections-1) {
				n.OverShare++
			}
		}
	}
	return n
}

// fix puts a source where it belongs among those that can give up connections.
func (t *Table) updateHeap(s *source) {
	c, _ := s.nextVictim()
	gives := c != nil
	switch {
	case gives && s.heapIndex < 0:
		heap.Push(&t.evictable, s)
	case gives:
		heap.Fix(&t.evictable, s.heapIndex)
	case s.heapIndex >= 0:
		heap.Remove(&t.evictable, s.heapIndex)
	}
}

// givers has the source first that has most; of equals, that with the connection
// that stands longest.
type victimHeap struct {
	sources     []*source
	comparisons int // so often, for measurements
}

func (g *victimHeap) Len() int { return len(g.sources) }
func (g *victimHeap) Less(i, j int) bool {
	g.comparisons++
	a, b := g.sources[i], g.sources[j]
	if a.connections != b.connections {
		return a.connections > b.connections
	}
	_, from := a.nextVictim()
	_, other := b.nextVictim()
	return from < other
}
func (g *victimHeap) Swap(i, j int) {
	g.sources[i], g.sources[j] = g.sources[j], g.sources[i]
	g.sources[i].heapIndex, g.sources[j].heapIndex = i, j
}
func (g *victimHeap) Push(s any) {
	s.(*source).heapIndex = len(g.sources)
	g.sources = append(g.sources, s.(*source))
}
func (g *victimHeap) Pop() any {
	last := len(g.sources) - 1
	s := g.sources[last]
	g.sources[last] = nil
	g.sources = g.sources[:last]
	s.heapIndex = -1
	return s
}
