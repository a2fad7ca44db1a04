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

	scenario      *scenario.Scenario
	now           time.Duration
	timers        timers
	timerSequence uint64 // of timers due at the same moment
	actions       []Action
	started       bool
	gateways      []gateway
	backends      []*backend
	seenKeys      map[keyScope]map[string]time.Duration // keys seen, until when
	connections   map[Conn]*connection
	links         map[gatewayLink]LinkState
	counter       counter
	clients       clients
	peers         peers
	faultRandom   *rand.Rand
	zoneCuts      map[int]int // zones that are cut off, by how many faults
	delivered     map[gatewayLink]Entry
	pausedLists   int      // faults that hold all lists
	reported      []string // connectivity that each gateway reported last
	linkFaults    []*linkFault

	faultyServices  map[int]bool                      // list services that a fault has
	relayConditions map[relayDirection]link.Condition // as the driver was told
	staleLists      int
}

type gatewayLink struct{ gateway, peer int }

type keyScope struct{ kind, number int }

// conn is a connection from a gateway to a backend or the counter.
type connection struct {
	id            Conn
	gateway       int
	peer          int
	overLimit     bool // the backend has no room for it
	handshakeDone bool // its handshake has been paid
	attempt       *attempt
	idleSince     time.Duration // since when it has been
	lastReply     time.Duration // of the counter's answers on it
}

type timer struct {
	at       time.Duration
	sequence uint64
	run      func()
}

type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].sequence < t[j].sequence
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
	w := &Emulator{scenario: s, Referee: referee.New(s), Tally: results.New(s), seenKeys: map[keyScope]map[string]time.Duration{}, connections: map[Conn]*connection{},
		links: map[gatewayLink]LinkState{}, faultRandom: rand.New(rand.NewPCG(s.Seed, streamFaults)), zoneCuts: map[int]int{}, delivered: map[gatewayLink]Entry{}, relayConditions: map[relayDirection]link.Condition{}, faultyServices: map[int]bool{}}
	w.counter.counts = map[string]*count{}
	w.gateways = make([]gateway, s.Fleet.Gateways)
	for g := range w.gateways {
		w.gateways[g] = gateway{zone: g % len(s.Fleet.Zones), state: starting, hasProcess: true}
	}
	for range s.Fleet.Backends {
		w.addBackend(-1)
	}
	w.peers.receiveQuotas = make([]quota, s.Fleet.Gateways)
	w.reported = make([]string, s.Fleet.Gateways)
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
	w.started = true
	w.reportReachability()
	for i := range w.scenario.Faults {
		f := &w.scenario.Faults[i]
		w.schedule(now+f.At.D(), func() { w.beginFault(f) })
	}
	w.clients.begin(w)
	return w.takeActions()
}

// Step tells the world of an event, and of the time. An event's time is never
// before one that was told earlier.
func (w *Emulator) Step(now time.Duration, e Event) []Action {
	for len(w.timers) > 0 && w.timers[0].at <= now {
		t := heap.Pop(&w.timers).(timer)
		w.now = max(w.now, t.at)
		t.run()
	}
	w.now = max(w.now, now)
	switch e := e.(type) {
	case Tick:
	case Opened:
		w.connectionOpened(e)
	case Closed:
		w.connectionClosed(e.Conn)
	case Arrived:
		w.requestArrived(e)
	case Probed:
		w.probed(e)
	case Called:
		w.counterCalled(e)
	case ConnectionsChecked:
		w.connectionsChecked(e)
	case RequestWritten:
		w.Referee.Taken(w.now, e.ID)
	case Answered:
		w.answered(e)
	case Unanswered:
		w.unanswered(e)
	case UnexpectedData:
		w.Referee.Extra(w.now, e.Gateway, e.ID)
	case ListDelivered:
		w.listDelivered(e)
	case Registered:
		w.Referee.Enlisted(w.now, e.Backend, refereeStates[e.Lifecycle], e.Started, e.Version)
	case Datagram:
		w.datagramSent(e)
	case Connectivity:
		w.connectivityReported(e)
	case Ready:
		w.gatewayReady(e.Gateway)
	case Exited:
		w.gatewayExited(e)
	default:
		panic("world: an event of no known kind")
	}
	return w.takeActions()
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
	return w.started && w.clients.ended && len(w.clients.inProgress) == 0 && w.clients.pendingRetries == 0
}

// End judges what only the whole day shows.
func (w *Emulator) End(now time.Duration) { w.Referee.End(now) }

func (w *Emulator) takeActions() []Action {
	out := w.actions
	w.actions = nil
	return out
}

func (w *Emulator) emit(action any) { w.actions = append(w.actions, Action{w.now, action}) }

func (w *Emulator) schedule(at time.Duration, do func()) {
	w.timerSequence++
	heap.Push(&w.timers, timer{at, w.timerSequence, do})
}

func (w *Emulator) after(d time.Duration, do func()) { w.schedule(w.now+d, do) }

// mix spreads the bits of its arguments, so that what is drawn for a request
// depends on nothing but the request.
func hash(parts ...uint64) uint64 {
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
func unitFraction(bits uint64) float64 { return float64(bits>>11) / (1 << 53) }
