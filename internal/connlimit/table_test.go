package connlimit

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"
)

// address returns the address of the nth source.
func address(n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(n >> 16), byte(n >> 8), byte(n)})
}

// checkInvariants checks what must hold after every call: no limit is exceeded, the counts
// match the open connections, and the heap has every source with evictable connections.
func checkInvariants(t *testing.T, table *Table, conns map[*Conn]bool) {
	t.Helper()
	counts := table.Counts()
	if counts.Open > table.limits.Total || counts.Open != len(conns) {
		t.Fatalf("table counts %d open connections, test %d, limit %d", counts.Open, len(conns), table.limits.Total)
	}
	total := 0
	for _, count := range counts.ByState {
		total += count
	}
	bySource := map[*source]int{}
	for conn := range conns {
		bySource[conn.source]++
	}
	if total != counts.Open || counts.Sources != len(bySource) {
		t.Fatalf("%d connections by state, %d open; table counts %d sources, test %d", total, counts.Open, counts.Sources, len(bySource))
	}
	evictable := 0
	for src, open := range bySource {
		if src.connections != open || table.sources[src.address] != src {
			t.Fatalf("source %s has %d connections, table counts %d", src.address, open, src.connections)
		}
		if conn, _ := src.nextVictim(); conn != nil {
			evictable++
			if src.heapIndex < 0 || table.evictable.sources[src.heapIndex] != src {
				t.Fatalf("source %s is missing from the heap", src.address)
			}
		}
	}
	if evictable != table.evictable.Len() {
		t.Fatalf("%d sources have evictable connections, heap has %d", evictable, table.evictable.Len())
	}
	for i := range table.evictable.sources {
		if i > 0 && table.evictable.Less(i, (i-1)/2) {
			t.Fatalf("heap out of order at index %d", i)
		}
	}
}

// Over random schedules the invariants hold, no place is lost, and no connection in a request
// is evicted.
func TestInvariantsHoldOverRandomSchedules(t *testing.T) {
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 1))
		table := NewTable(Limits{Total: 1 + random.IntN(40)})
		conns := map[*Conn]bool{}
		now := time.Duration(0)
		randomConn := func() *Conn {
			skip := random.IntN(max(len(conns), 1))
			for conn := range conns {
				if skip--; skip < 0 {
					return conn
				}
			}
			return nil
		}
		checkEvicted := func(conn *Conn, why string) {
			if conn.state == Busy || conn.state == Head && (why != "to make room" || now-conn.since < HeadGrace) {
				t.Fatalf("seed %d: connection in state %d was evicted %s", seed, conn.state, why)
			}
			if conn.source != nil || !conns[conn] {
				t.Fatalf("seed %d: evicted connection still has a place", seed)
			}
			delete(conns, conn)
		}
		for range 2000 {
			now += time.Duration(random.IntN(100)) * time.Millisecond
			switch random.IntN(8) {
			case 0, 1, 2:
				source := address(random.IntN(1 + random.IntN(30)))
				open := 0
				if src := table.sources[source]; src != nil {
					open = src.connections
				}
				largest := 0
				for _, src := range table.sources {
					if src.heapIndex >= 0 {
						largest = max(largest, src.connections)
					}
				}
				ok, _ := table.Room(now)
				conn, atShare, victim := table.Open(now, source)
				if conn == nil && victim != nil || conn == nil && table.connections < table.limits.Total && !atShare && open < table.limits.Total/openingDivisor {
					t.Fatalf("seed %d: connection rejected with %d of %d open", seed, table.connections, table.limits.Total)
				}
				if conn != nil && !ok && victim == nil {
					t.Fatalf("seed %d: connection admitted without room or victim", seed)
				}
				if conn != nil {
					conns[conn] = true
				}
				if victim != nil {
					checkEvicted(victim, "to make room")
					if open+1 > largest && largest > 0 && victim.older != nil {
						t.Fatalf("seed %d: victim is still in a list", seed)
					}
				}
			case 3:
				if conn := randomConn(); conn != nil {
					table.Close(conn)
					table.Close(conn) // a connection may be closed twice
					delete(conns, conn)
				}
			case 4:
				if random.IntN(20) == 0 {
					for _, conn := range table.SetLimits(Limits{Total: 1 + random.IntN(40)}) {
						checkEvicted(conn, "for a lower limit")
					}
					for table.connections > table.limits.Total { // Head and Busy connections end by themselves
						conn := randomConn()
						if conn.state == New || conn.state == Idle {
							t.Fatalf("seed %d: %d connections open, limit %d, and one of them is in state %d", seed, table.connections, table.limits.Total, conn.state)
						}
						table.Close(conn)
						delete(conns, conn)
					}
				}
			default:
				if conn := randomConn(); conn != nil {
					table.Set(now, conn, State(random.IntN(int(stateCount))))
				}
			}
			checkInvariants(t, table, conns)
		}
		for conn := range conns {
			table.Close(conn)
		}
		if table.connections != 0 || len(table.sources) != 0 || table.evictable.Len() != 0 {
			t.Fatalf("seed %d: %d connections and %d sources left after all were closed", seed, table.connections, len(table.sources))
		}
	}
}

// Without Busy connections, the places are shared max-min fairly, up to one connection.
func TestConnectionsAreSharedMaxMinFair(t *testing.T) {
	for seed := range uint64(100) {
		random := rand.New(rand.NewPCG(seed, 2))
		total := 20 + random.IntN(100)
		table := NewTable(Limits{Total: total})
		wants := make([]int, 2+random.IntN(12)) // connections wanted, by source
		opened := make([]map[*Conn]bool, len(wants))
		for source := range wants {
			wants[source], opened[source] = 1+random.IntN(2*total/len(wants)), map[*Conn]bool{}
			if random.IntN(3) == 0 {
				wants[source] = 10 * total
			}
		}
		now := time.Duration(0)
		for range 200 * total {
			now += time.Millisecond
			source := random.IntN(len(wants))
			if len(opened[source]) >= wants[source] {
				continue
			}
			conn, _, victim := table.Open(now, address(source))
			if victim != nil {
				for _, conns := range opened {
					delete(conns, victim)
				}
			}
			if conn != nil {
				opened[source][conn] = true
				table.Set(now, conn, Idle)
			}
		}
		// Serve the sources in the order of what they want: what remains is split evenly.
		order := make([]int, len(wants))
		for source := range order {
			order[source] = source
		}
		slices.SortFunc(order, func(a, b int) int { return wants[a] - wants[b] })
		remaining := total
		for i, source := range order {
			fair := remaining / (len(order) - i)
			if got := len(opened[source]); got < min(fair, wants[source])-1 {
				t.Fatalf("seed %d: a source has %d connections, wants %d, fair share %d; all want %v and have %v", seed, got, wants[source], fair, wants,
					func() (counts []int) {
						for _, conns := range opened {
							counts = append(counts, len(conns))
						}
						return counts
					}())
			}
			remaining -= min(fair, wants[source])
		}
	}
}

// Each rule of admission and eviction, one by one, and the counting of addresses.
func TestEvictionRules(t *testing.T) {
	table := NewTable(Limits{Total: 4})
	open := func(now time.Duration, source int) *Conn {
		t.Helper()
		conn, _, victim := table.Open(now, address(source))
		if conn == nil || victim != nil {
			t.Fatalf("connection %v, victim %v; want a connection and no victim", conn, victim)
		}
		return conn
	}
	a1, a2 := open(0, 1), open(1, 1)
	if conn, atShare, _ := table.Open(2, address(1)); conn != nil || !atShare {
		t.Errorf("third New connection of a source: connection %v, at share %t", conn, atShare)
	}
	table.Set(2, a1, Busy)
	a3, b1 := open(2, 1), open(3, 2)
	table.Set(3, a1, Idle)
	table.Set(3, a1, New)
	if ok, recheckAfter := table.Room(4); ok || recheckAfter != NewGrace-3 {
		t.Errorf("all connections New: room %t, recheck after %v", ok, recheckAfter)
	}
	if conn, atShare, _ := table.Open(4, address(1)); conn != nil || !atShare {
		t.Errorf("source at its share: connection %v, at share %t", conn, atShare)
	}
	if conn, atShare, _ := table.Open(4, address(3)); conn != nil || atShare {
		t.Errorf("all connections within their grace: connection %v, at share %t", conn, atShare)
	}
	for _, conn := range []*Conn{a1, a2, a3, b1} {
		table.Set(10, conn, Busy)
	}
	if ok, recheckAfter := table.Room(time.Hour); ok || recheckAfter != 0 {
		t.Errorf("all connections Busy: room %t, recheck after %v", ok, recheckAfter)
	}
	table.Set(20, b1, Idle)
	if conn, _, _ := table.Open(30, address(1)); conn != nil {
		t.Error("a source with one connection lost it to a source with three")
	}
	table.Set(40, a3, Idle)
	table.Set(50, a1, Idle)
	if _, _, victim := table.Open(60, address(3)); victim != a3 {
		t.Errorf("victim %v; want the longest idle connection of the largest source", victim)
	}
	// An IPv4 address and its IPv4-mapped IPv6 form are one source.
	single := NewTable(Limits{Total: 2})
	single.Open(0, netip.MustParseAddr("127.0.0.1"))
	single.Open(0, netip.MustParseAddr("::ffff:127.0.0.1"))
	if counts := single.Counts(); counts.Sources != 1 {
		t.Errorf("%d sources, want 1", counts.Sources)
	}
	if ok, _ := single.Room(NewGrace); !ok {
		t.Error("a New connection was not evictable after NewGrace")
	}
}

// BenchmarkEvent measures the cost of a call: a connection is evicted, another is opened, has
// a request and becomes idle.
func BenchmarkEvent(b *testing.B) {
	for _, conns := range []int{10, 1000, 10000} {
		for _, sources := range []int{1, conns} {
			b.Run(fmt.Sprintf("conns=%d/sources=%d", conns, sources), func(b *testing.B) {
				table := NewTable(Limits{Total: conns})
				for i := range conns {
					conn, _, _ := table.Open(0, address(i%sources))
					table.Set(0, conn, Idle)
				}
				b.ReportAllocs()
				b.ResetTimer()
				table.evictable.comparisons = 0
				for i := range b.N {
					now := time.Duration(i)
					conn, _, _ := table.Open(now, address(conns+i%conns))
					table.Set(now, conn, Head)
					table.Set(now, conn, Busy)
					table.Set(now, conn, Idle)
				}
				b.ReportMetric(float64(table.evictable.comparisons)/float64(b.N)/5, "comparisons/event")
			})
		}
	}
}
