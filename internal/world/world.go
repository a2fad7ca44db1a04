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
	gateways      []emulatedGateway
	backends      []*emulatedBackend
	seenKeys      map[keyScope]map[string]time.Duration // keys seen, until when
	connections   map[Conn]*gatewayConnection
	links         map[gatewayLink]LinkState
	counter       emulatedCounter
	clients       emulatedClients
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
type gatewayConnection struct {
	id            Conn
	gateway       int
	peer          int
	overLimit     bool // the backend has no room for it
	handshakeDone bool // its handshake has been paid
	attempt       *backendAttempt
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
	em := &Emulator{scenario: s, Referee: referee.New(s), Tally: results.New(s), seenKeys: map[keyScope]map[string]time.Duration{}, connections: map[Conn]*gatewayConnection{},
		links: map[gatewayLink]LinkState{}, faultRandom: rand.New(rand.NewPCG(s.Seed, streamFaults)), zoneCuts: map[int]int{}, delivered: map[gatewayLink]Entry{}, relayConditions: map[relayDirection]link.Condition{}, faultyServices: map[int]bool{}}
	em.counter.counts = map[string]*count{}
	em.gateways = make([]emulatedGateway, s.Fleet.Gateways)
	for g := range em.gateways {
		em.gateways[g] = emulatedGateway{zone: g % len(s.Fleet.Zones), state: starting, hasProcess: true}
	}
	for range s.Fleet.Backends {
		em.addBackend(-1)
	}
	em.peers.receiveQuotas = make([]quota, s.Fleet.Gateways)
	em.reported = make([]string, s.Fleet.Gateways)
	em.newClients()
	return em
}

// Zone is where a gateway stands.
func (em *Emulator) Zone(g int) int { return em.gateways[g].zone }

// Entries is the list as discovery has it.
func (em *Emulator) Entries() []Entry {
	var all []Entry
	for _, backend := range em.backends {
		if backend.listed {
			all = append(all, backend.entry())
		}
	}
	return all
}

// Begin starts the day; gateways have been started and are ready, or will be.
func (em *Emulator) Begin(now time.Duration) []Action {
	em.now = now
	em.started = true
	em.reportReachability()
	for i := range em.scenario.Faults {
		fault := &em.scenario.Faults[i]
		em.schedule(now+fault.At.D(), func() { em.beginFault(fault) })
	}
	em.clients.begin(em)
	return em.takeActions()
}

// Step tells the world of an event, and of the time. An event's time is never
// before one that was told earlier.
func (em *Emulator) Step(now time.Duration, event Event) []Action {
	for len(em.timers) > 0 && em.timers[0].at <= now {
		due := heap.Pop(&em.timers).(timer)
		em.now = max(em.now, due.at)
		due.run()
	}
	em.now = max(em.now, now)
	switch event := event.(type) {
	case Tick:
	case Opened:
		em.connectionOpened(event)
	case Closed:
		em.connectionClosed(event.Conn)
	case Arrived:
		em.requestArrived(event)
	case Probed:
		em.probed(event)
	case Called:
		em.counterCalled(event)
	case ConnectionsChecked:
		em.connectionsChecked(event)
	case RequestWritten:
		em.Referee.Taken(em.now, event.ID)
	case Answered:
		em.answered(event)
	case Unanswered:
		em.unanswered(event)
	case UnexpectedData:
		em.Referee.Extra(em.now, event.Gateway, event.ID)
	case ListDelivered:
		em.listDelivered(event)
	case Registered:
		em.Referee.Enlisted(em.now, event.Backend, refereeStates[event.Lifecycle], event.Started, event.Version)
	case Datagram:
		em.datagramSent(event)
	case Connectivity:
		em.connectivityReported(event)
	case Ready:
		em.gatewayReady(event.Gateway)
	case Exited:
		em.gatewayExited(event)
	default:
		panic("world: an event of no known kind")
	}
	return em.takeActions()
}

// Next is when something is due that no event brings.
func (em *Emulator) Next() (time.Duration, bool) {
	if len(em.timers) == 0 {
		return 0, false
	}
	return em.timers[0].at, true
}

// Done says whether the day is over and all requests have ended.
func (em *Emulator) Done() bool {
	return em.started && em.clients.ended && len(em.clients.inProgress) == 0 && em.clients.pendingRetries == 0
}

// End judges what only the whole day shows.
func (em *Emulator) End(now time.Duration) { em.Referee.End(now) }

func (em *Emulator) takeActions() []Action {
	taken := em.actions
	em.actions = nil
	return taken
}

func (em *Emulator) emit(action any) { em.actions = append(em.actions, Action{em.now, action}) }

func (em *Emulator) schedule(at time.Duration, run func()) {
	em.timerSequence++
	heap.Push(&em.timers, timer{at, em.timerSequence, run})
}

func (em *Emulator) after(delay time.Duration, run func()) { em.schedule(em.now+delay, run) }

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
