package world

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"dunlintray/internal/link"
	"dunlintray/internal/referee"
	"dunlintray/internal/results"
	"dunlintray/internal/scenario"
)

// World is one fleet's surroundings.
type Emulator struct {
	Referee *referee.Referee
	Tally   *results.Tally

	s        *scenario.Scenario
	now      time.Duration
	timers   timers
	order    uint64 // of timers due at the same moment
	out      []Action
	begun    bool
	gateways []gateway
	backends []*backend
	groups   map[group]map[string]time.Duration // keys seen, until when
	conns    map[Conn]*conn
	links    map[edge]LinkState
	counter  counter
	clients  clients
	peers    peers
	faults   *rand.Rand
	cuts     map[int]int // zones that are cut off, by how many faults
	heard    map[edge]Entry
	hushed   int      // faults that hold all lists
	said     []string // connectivity that each gateway reported last
	broken   []*broken

	struckServices map[int]bool                // list services that a fault has
	wired          map[wiredWay]link.Condition // as the driver was told
	stale          int
}

type edge struct{ gateway, peer int }

type group struct{ kind, n int }

// conn is a connection from a gateway to a backend or the counter.
type conn struct {
	id      Conn
	gateway int
	peer    int
	over    bool // the backend has no room for it
	worked  bool // its handshake has been paid
	attempt *work
	idle    time.Duration // since when it has been
	last    time.Duration // of the counter's answers on it
}

type timer struct {
	at    time.Duration
	order uint64
	do    func()
}

type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].order < t[j].order
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = timer{}
	*t = old[:len(old)-1]
	return last
}

// Streams of what is drawn, so that one does not shift another.
const (
	streamArrivals = iota + 1
	streamFaults
	streamShifts
)

// New returns the world of a scenario, which begins with Begin. The scenario has
// to be one that Check finds no fault with.
func New(s *scenario.Scenario) *Emulator {
	w := &Emulator{s: s, Referee: referee.New(s), Tally: results.New(s), groups: map[group]map[string]time.Duration{}, conns: map[Conn]*conn{},
		links: map[edge]LinkState{}, faults: rand.New(rand.NewPCG(s.Seed, streamFaults)), cuts: map[int]int{}, heard: map[edge]Entry{}, wired: map[wiredWay]link.Condition{}, struckServices: map[int]bool{}}
	w.counter.names = map[string]*number{}
	w.gateways = make([]gateway, s.Fleet.Gateways)
	for g := range w.gateways {
		w.gateways[g] = gateway{zone: g % len(s.Fleet.Zones), state: starting, process: true}
	}
	for range s.Fleet.Backends {
		w.add(-1)
	}
	w.peers.inbox = make([]quota, s.Fleet.Gateways)
	w.said = make([]string, s.Fleet.Gateways)
	w.newClients()
	return w
}

// Zone is where a gateway stands.
func (w *Emulator) Zone(g int) int { return w.gateways[g].zone }

// Entries is the list as discovery has it.
func (w *Emulator) Entries() []Entry {
	var all []Entry
	for _, b := range w.backends {
		if b.listed {
			all = append(all, b.entry())
		}
	}
	return all
}

// Begin starts the day; gateways have been started and are ready, or will be.
func (w *Emulator) Begin(now time.Duration) []Action {
	w.now = now
	w.begun = true
	w.ground()
	for i := range w.s.Faults {
		f := &w.s.Faults[i]
		w.at(now+f.At.D(), func() { w.strike(f) })
	}
	w.clients.begin(w)
	return w.take()
}

// Step tells the world of an event, and of the time. An event's time is never
// before one that was told earlier.
func (w *Emulator) Step(now time.Duration, e Event) []Action {
	for len(w.timers) > 0 && w.timers[0].at <= now {
		t := heap.Pop(&w.timers).(timer)
		w.now = max(w.now, t.at)
		t.do()
	}
	w.now = max(w.now, now)
	switch e := e.(type) {
	case Tick:
	case Opened:
		w.opened(e)
	case Closed:
		w.closed(e.Conn)
	case Arrived:
		w.arrived(e)
	case Probed:
		w.probed(e)
	case Called:
		w.called(e)
	case ConnectionsChecked:
		w.looked(e)
	case RequestWritten:
		w.Referee.Taken(w.now, e.ID)
	case Answered:
		w.answered(e)
	case Unanswered:
		w.unanswered(e)
	case UnexpectedData:
		w.Referee.Extra(w.now, e.Gateway, e.ID)
	case ListDelivered:
		w.told(e)
	case Registered:
		w.Referee.Enlisted(w.now, e.Backend, states[e.Lifecycle], e.Started, e.Version)
	case Datagram:
		w.datagram(e)
	case Connectivity:
		w.connectivity(e)
	case Ready:
		w.ready(e.Gateway)
	case Exited:
		w.exited(e)
	default:
		panic("world: an event of no known kind")
	}
	return w.take()
}

// Next is when something is due that no event brings.
func (w *Emulator) Next() (time.Duration, bool) {
	if len(w.timers) == 0 {
		return 0, false
	}
	return w.timers[0].at, true
}

// Done says whether the day is over and all requests have ended.
func (w *Emulator) Done() bool {
	return w.begun && w.clients.over && len(w.clients.open) == 0 && w.clients.pauses == 0
}

// End judges what only the whole day shows.
func (w *Emulator) End(now time.Duration) { w.Referee.End(now) }

func (w *Emulator) take() []Action {
	out := w.out
	w.out = nil
	return out
}

func (w *Emulator) do(action any) { w.out = append(w.out, Action{w.now, action}) }

func (w *Emulator) at(at time.Duration, do func()) {
	w.order++
	heap.Push(&w.timers, timer{at, w.order, do})
}

func (w *Emulator) after(d time.Duration, do func()) { w.at(w.now+d, do) }

// mix spreads the bits of its arguments, so that what is drawn for a request
// depends on nothing but the request.
func mix(parts ...uint64) uint64 {
	h := uint64(0x9e3779b97f4a7c15)
	for _, p := range parts {
		h ^= p
		h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
		h = (h ^ h>>27) * 0x94d049bb133111eb
		h ^= h >> 31
	}
	return h
}

// share is a number from 0 to 1 out of such bits.
func share(bits uint64) float64 { return float64(bits>>11) / (1 << 53) }
