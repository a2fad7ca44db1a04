package connlimit

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"
)

func address(n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(n >> 16), byte(n >> 8), byte(n)})
}

// sound checks what must hold after every event.
func sound(t *testing.T, tab *Table, conns map[*Conn]bool) {
	t.Helper()
	n := tab.Counts()
	if n.Open > tab.limits.Total || n.Open != len(conns) {
		t.Fatalf("%d open, %d known, %d allowed", n.Open, len(conns), tab.limits.Total)
	}
	sum := 0
	for _, in := range n.ByState {
		sum += in
	}
	bySource := map[*source]int{}
	for c := range conns {
		bySource[c.source]++
	}
	if sum != n.Open || n.Sources != len(bySource) {
		t.Fatalf("%d by state, %d open; %d sources, %d known", sum, n.Open, n.Sources, len(bySource))
	}
	giving := 0
	for s, has := range bySource {
		if s.connections != has || tab.sources[s.address] != s {
			t.Fatalf("%s has %d, the table says %d", s.address, has, s.connections)
		}
		if c, _ := s.nextVictim(); c != nil {
			giving++
			if s.heapIndex < 0 || tab.evictable.sources[s.heapIndex] != s {
				t.Fatalf("%s is not among those that can give", s.address)
			}
		}
	}
	if giving != tab.evictable.Len() {
		t.Fatalf("%d can give, %d are known", giving, tab.evictable.Len())
	}
	for i := range tab.evictable.sources {
		if i > 0 && tab.evictable.Less(i, (i-1)/2) {
			t.Fatal("those that can give are out of order")
		}
	}
}

// Over any schedule: never over a limit, no place lost, none in a request given up,
// and none for a source that has more.
func TestRandomSchedules(t *testing.T) {
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 1))
		tab := NewTable(Limits{Total: 1 + random.IntN(40)})
		conns := map[*Conn]bool{}
		now := time.Duration(0)
		pick := func() *Conn {
			n := random.IntN(max(len(conns), 1))
			for c := range conns {
				if n--; n < 0 {
					return c
				}
			}
			return nil
		}
		drop := func(c *Conn, why string) {
			if c.state == Busy || c.state == Head && (why != "for another" || now-c.since < HeadGrace) {
				t.Fatalf("seed %d: one in state %d was given up %s", seed, c.state, why)
			}
			if c.source != nil || !conns[c] {
				t.Fatalf("seed %d: one that was given up has a place", seed)
			}
			delete(conns, c)
		}
		for range 2000 {
			now += time.Duration(random.IntN(100)) * time.Millisecond
			switch random.IntN(8) {
			case 0, 1, 2:
				from := address(random.IntN(1 + random.IntN(30)))
				has := 0
				if s := tab.sources[from]; s != nil {
					has = s.connections
				}
				most := 0
				for _, s := range tab.sources {
					if s.heapIndex >= 0 {
						most = max(most, s.connections)
					}
				}
				ok, _ := tab.Room(now)
				c, over, victim := tab.Open(now, from)
				if c == nil && victim != nil || c == nil && tab.connections < tab.limits.Total && !over && has < tab.limits.Total/openingDivisor {
					t.Fatalf("seed %d: no place, with %d of %d open", seed, tab.connections, tab.limits.Total)
				}
				if c != nil && !ok && victim == nil {
					t.Fatalf("seed %d: a place where there is no room", seed)
				}
				if c != nil {
					conns[c] = true
				}
				if victim != nil {
					drop(victim, "for another")
					if has+1 > most && most > 0 && victim.older != nil {
						t.Fatalf("seed %d: a victim is still in a list", seed)
					}
				}
			case 3:
				if c := pick(); c != nil {
					tab.Close(c)
					tab.Close(c) // as a connection may be closed twice
					delete(conns, c)
				}
			case 4:
				if random.IntN(20) == 0 {
					for _, c := range tab.SetLimits(Limits{Total: 1 + random.IntN(40)}) {
						drop(c, "for a limit")
					}
					for tab.connections > tab.limits.Total { // those in requests end by themselves
						c := pick()
						if c.state == New || c.state == Idle {
							t.Fatalf("seed %d: %d open of %d, and one rests", seed, tab.connections, tab.limits.Total)
						}
						tab.Close(c)
						delete(conns, c)
					}
				}
			default:
				if c := pick(); c != nil {
					tab.Set(now, c, State(random.IntN(int(stateCount))))
				}
			}
			sound(t, tab, conns)
		}
		for c := range conns {
			tab.Close(c)
		}
		if tab.connections != 0 || len(tab.sources) != 0 || tab.evictable.Len() != 0 {
			t.Fatalf("seed %d: something is left", seed)
		}
	}
}

// Where all want more than there is, and nobody is in a request, all have as many,
// but for one.
func TestSharesAreMaxMinFair(t *testing.T) {
	for seed := range uint64(100) {
		random := rand.New(rand.NewPCG(seed, 2))
		total := 20 + random.IntN(100)
		tab := NewTable(Limits{Total: total})
		wants := make([]int, 2+random.IntN(12)) // of each source
		has := make([]map[*Conn]bool, len(wants))
		for n := range wants {
			wants[n], has[n] = 1+random.IntN(2*total/len(wants)), map[*Conn]bool{}
			if random.IntN(3) == 0 {
				wants[n] = 10 * total
			}
		}
		now := time.Duration(0)
		for range 200 * total {
			now += time.Millisecond
			n := random.IntN(len(wants))
			if len(has[n]) >= wants[n] {
				continue
			}
			c, _, victim := tab.Open(now, address(n))
			if victim != nil {
				for _, conns := range has {
					delete(conns, victim)
				}
			}
			if c != nil {
				has[n][c] = true
				tab.Set(now, c, Idle)
			}
		}
		// What is left when those that want little have it is the same for all others.
		order := make([]int, len(wants))
		for n := range order {
			order[n] = n
		}
		slices.SortFunc(order, func(a, b int) int { return wants[a] - wants[b] })
		left := total
		for i, n := range order {
			fair := left / (len(order) - i)
			if got := len(has[n]); got < min(fair, wants[n])-1 {
				t.Fatalf("seed %d: %d of %d wanted, %d are fair; %v have %v", seed, got, wants[n], fair, wants,
					func() (n []int) {
						for _, conns := range has {
							n = append(n, len(conns))
						}
						return n
					}())
			}
			left -= min(fair, wants[n])
		}
	}
}

// The rules one by one.
func TestWhoGivesUp(t *testing.T) {
	tab := NewTable(Limits{Total: 4})
	open := func(now time.Duration, from int) *Conn {
		t.Helper()
		c, _, victim := tab.Open(now, address(from))
		if c == nil || victim != nil {
			t.Fatalf("%v, %v given up", c, victim)
		}
		return c
	}
	a1, a2 := open(0, 1), open(1, 1)
	if c, over, _ := tab.Open(2, address(1)); c != nil || !over {
		t.Errorf("%v, over its share %t, of New ones", c, over)
	}
	tab.Set(2, a1, Busy)
	a3, b1 := open(2, 1), open(3, 2)
	tab.Set(3, a1, Idle)
	tab.Set(3, a1, New)
	if ok, look := tab.Room(4); ok || look != NewGrace-3 {
		t.Errorf("room %t, look after %v, while all are new", ok, look)
	}
	if c, over, _ := tab.Open(4, address(1)); c != nil || !over {
		t.Errorf("%v, over its share %t", c, over)
	}
	if c, over, _ := tab.Open(4, address(3)); c != nil || over {
		t.Errorf("%v, over its share %t: in its grace nobody gives up", c, over)
	}
	for _, c := range []*Conn{a1, a2, a3, b1} {
		tab.Set(10, c, Busy)
	}
	if ok, look := tab.Room(time.Hour); ok || look != 0 {
		t.Errorf("room %t, look after %v, while all are in requests", ok, look)
	}
	tab.Set(20, b1, Idle)
	if c, _, _ := tab.Open(30, address(1)); c != nil {
		t.Error("one with one gave up for one with three")
	}
	tab.Set(40, a3, Idle)
	tab.Set(50, a1, Idle)
	if _, _, victim := tab.Open(60, address(3)); victim != a3 {
		t.Error("the one that was idle longest, of who has most, did not give up")
	}
	// One source is the same in both families.
	lone := NewTable(Limits{Total: 2})
	lone.Open(0, netip.MustParseAddr("127.0.0.1"))
	lone.Open(0, netip.MustParseAddr("::ffff:127.0.0.1"))
	if n := lone.Counts(); n.Sources != 1 {
		t.Errorf("%d sources", n.Sources)
	}
	if ok, _ := lone.Room(NewGrace); !ok {
		t.Error("one that says nothing keeps its place past its grace")
	}
}

// BenchmarkEvent counts what an event costs: one connection goes, another comes
// for it, has a request and rests again.
func BenchmarkEvent(b *testing.B) {
	for _, n := range []int{10, 1000, 10000} {
		for _, sources := range []int{1, n} {
			b.Run(fmt.Sprintf("conns=%d/sources=%d", n, sources), func(b *testing.B) {
				tab := NewTable(Limits{Total: n})
				for i := range n {
					c, _, _ := tab.Open(0, address(i%sources))
					tab.Set(0, c, Idle)
				}
				b.ReportAllocs()
				b.ResetTimer()
				tab.evictable.comparisons = 0
				for i := range b.N {
					now := time.Duration(i)
					c, _, _ := tab.Open(now, address(n+i%n))
					tab.Set(now, c, Head)
					tab.Set(now, c, Busy)
					tab.Set(now, c, Idle)
				}
				b.ReportMetric(float64(tab.evictable.comparisons)/float64(b.N)/5, "comparisons/event")
			})
		}
	}
}
