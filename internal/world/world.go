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

// Emulator emulates the environment of one fleet. It is not safe for concurrent use.
type Emulator struct {
	Referee *referee.Referee
	Tally   *results.Tally

	scenario      *scenario.Scenario
	now           time.Duration
	timers        timers
	timerSequence uint64 // orders timers that are due at the same time
	actions       []Action
	started       bool
	gateways      []emulatedGateway
	backends      []*emulatedBackend
	seenKeys      map[keyScope]map[string]time.Duration // by scope and key, until when duplicates are detected
	connections   map[Conn]*gatewayConnection
	links         map[gatewayLink]LinkState
	counter       emulatedCounter
	clients       emulatedClients
	peers         peers
	faultRandom   *rand.Rand
	zoneCuts      map[int]int           // by zone, the number of faults that cut it off
	delivered     map[gatewayLink]Entry // the last entry of each backend that each gateway received
	pausedLists   int                   // active faults that pause all lists
	reported      []string              // by gateway, the connectivity that it reported last
	linkFaults    []*linkFault

	faultyRegistries map[int]bool                      // service registries with an active fault
	relayConditions  map[relayDirection]link.Condition // as last sent to the driver
	staleLists       int                               // active faults that make full lists stale
}

// gatewayLink is the link between a gateway and a backend or the counter.
type gatewayLink struct{ gateway, peer int }

// keyScope is the scope in which an idempotency key is unique: all backends, a zone or a cell.
type keyScope struct{ kind, number int }

// gatewayConnection is a connection from a gateway to a backend or the counter.
type gatewayConnection struct {
	id            Conn
	gateway       int
	peer          int
	overLimit     bool // it exceeds the backend's connection limit
	handshakeDone bool // the cost of its handshake has been charged
	attempt       *backendAttempt
	idleSince     time.Duration
	lastReply     time.Duration // when the counter's latest reply on it is due
}

// timer runs a function at a time.
type timer struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// timers is a heap by due time.
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

// Random streams, one per purpose, so that draws of one do not change those of another.
const (
	streamArrivals = iota + 1
	streamFaults
	streamShifts
)

// New returns an Emulator for a scenario, which must have passed Scenario.Check. Begin starts it.
func New(s *scenario.Scenario) *Emulator {
	em := &Emulator{scenario: s, Referee: referee.New(s), Tally: results.New(s), seenKeys: map[keyScope]map[string]time.Duration{}, connections: map[Conn]*gatewayConnection{},
		links: map[gatewayLink]LinkState{}, faultRandom: rand.New(rand.NewPCG(s.Seed, streamFaults)), zoneCuts: map[int]int{}, delivered: map[gatewayLink]Entry{}, relayConditions: map[relayDirection]link.Condition{}, faultyRegistries: map[int]bool{}}
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

// Zone returns the zone of a gateway.
func (em *Emulator) Zone(gateway int) int { return em.gateways[gateway].zone }

// Entries returns the list of backends as discovery has it.
func (em *Emulator) Entries() []Entry {
	var all []Entry
	for _, backend := range em.backends {
		if backend.listed {
			all = append(all, backend.entry())
		}
	}
	return all
}

// Begin starts the run and returns the first actions. The driver has started the gateways; they
// need not be ready yet.
func (em *Emulator) Begin(now time.Duration) []Action {
	em.now = now
	em.started = true
	em.reportReachability()
	for i := range em.scenario.Faults {
		fault := &em.scenario.Faults[i]
		em.schedule(now+fault.At.Std(), func() { em.beginFault(fault) })
	}
	em.clients.begin(em)
	return em.takeActions()
}

// Step advances the time to now, handles an event and returns the resulting actions. Times must
// not decrease from call to call. It panics on an event of an unknown type.
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
		em.Referee.RequestAccepted(em.now, event.ID)
	case Answered:
		em.answered(event)
	case Unanswered:
		em.unanswered(event)
	case UnexpectedData:
		em.Referee.SurplusBytes(em.now, event.Gateway, event.ID)
	case ListDelivered:
		em.listDelivered(event)
	case Registered:
		em.Referee.Registered(em.now, event.Backend, refereeStates[event.Lifecycle], event.Started, event.Version)
	case Datagram:
		em.datagramSent(event)
	case Connectivity:
		em.connectivityReported(event)
	case Ready:
		em.gatewayReady(event.Gateway)
	case Exited:
		em.gatewayExited(event)
	default:
		panic("world: unknown event type")
	}
	return em.takeActions()
}

// Next returns when the next timer is due, and false if there is none.
func (em *Emulator) Next() (time.Duration, bool) {
	if len(em.timers) == 0 {
		return 0, false
	}
	return em.timers[0].at, true
}

// Done reports whether the scenario's duration is over and all requests have ended.
func (em *Emulator) Done() bool {
	return em.started && em.clients.ended && len(em.clients.inProgress) == 0 && em.clients.pendingRetries == 0
}

// End has the Referee check the rules that apply to the run as a whole.
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

// hash mixes its arguments into 64 bits. Draws that use it depend on the arguments alone.
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

// unitFraction maps the bits of a hash to a number in [0, 1).
func unitFraction(bits uint64) float64 { return float64(bits>>11) / (1 << 53) }
