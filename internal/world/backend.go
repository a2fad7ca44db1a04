package world

import (
	"container/heap"
	"fmt"
	"slices"
	"time"

	"dunlintray/internal/link"
	"dunlintray/internal/referee"
	"dunlintray/internal/scenario"
)

// backendState is the state of a backend's process and machine.
type backendState int

const (
	running  backendState = iota
	crashed               // its process has ended
	vanished              // its machine is lost: connections get no response
	ended                 // it has been replaced
)

// emulatedBackend serves its active requests on its cores, each with an equal fraction. Work is in
// seconds of one core.
type emulatedBackend struct {
	number, zone, cell int
	state              backendState
	collapsed          bool // it crashed from overload, and stays down
	listed             bool
	changedAt          time.Duration // when its entry in the lists changed
	draining           bool
	drainingSince      time.Duration
	startedAt          time.Duration // negative if it started before the run and is warm
	incarnation        int

	// Effects of active faults, as a factor on its work and as fractions of its requests; 0 is none.
	slowdown, errorRate, truncationRate, resetRate float64

	connections int
	active      attemptHeap
	queued      []*backendAttempt
	servedWork  float64 // work done for each active request since the backend was last idle
	updatedAt   time.Duration
	timerNumber uint64 // of its latest timer; earlier ones have no effect
}

// backendAttempt is a gateway's attempt at a backend.
type backendAttempt struct {
	number     uint64
	requestID  uint64
	connection *gatewayConnection // nil once the gateway has abandoned it
	class      int
	key        string
	cost       float64
	finishAt   float64 // the backend's servedWork at which it is complete
	reply      Reply
}

// attemptHeap is a heap of active attempts by finishAt.
type attemptHeap []*backendAttempt

func (h attemptHeap) Len() int           { return len(h) }
func (h attemptHeap) Less(a, b int) bool { return h[a].finishAt < h[b].finishAt }
func (h attemptHeap) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }
func (h *attemptHeap) Push(x any)        { *h = append(*h, x.(*backendAttempt)) }
func (h *attemptHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// addBackend adds a backend. startedAt is negative if it is warm.
func (em *Emulator) addBackend(startedAt time.Duration) *emulatedBackend {
	number := len(em.backends)
	backend := &emulatedBackend{number: number, zone: number % len(em.scenario.Fleet.Zones), cell: number % em.scenario.Backend.Cells, startedAt: startedAt, listed: true}
	em.backends = append(em.backends, backend)
	em.Referee.Backend(em.now, number, backend.zone, backend.cell, startedAt >= 0)
	return backend
}

func (backend *emulatedBackend) entry() Entry {
	entry := Entry{Backend: backend.number, Zone: backend.zone, Cell: backend.cell, Started: backend.startedAt}
	if backend.draining {
		entry.Lifecycle = Draining
	}
	return entry
}

// capacity returns a backend's current capacity in cores.
func (em *Emulator) capacity(backend *emulatedBackend) float64 {
	cores := em.scenario.Backend.Cores
	if backend.startedAt >= 0 {
		warmth := (em.now - backend.startedAt).Seconds() / em.scenario.Backend.ColdDuration.Seconds()
		cores *= min(1, em.scenario.Backend.ColdFrom+(1-em.scenario.Backend.ColdFrom)*warmth)
	}
	// Capacity falls with the number of active requests beyond the cores.
	if excess := float64(len(backend.active)) - em.scenario.Backend.Cores; excess > 0 {
		cores *= 1 - em.scenario.Backend.OverloadLoss*min(1, excess/max(1, float64(em.scenario.Backend.Slots)-em.scenario.Backend.Cores))
	}
	return cores
}

// serviceRate returns the cores that serve each active request.
func (em *Emulator) serviceRate(backend *emulatedBackend) float64 {
	if len(backend.active) == 0 {
		return 0
	}
	return min(1, em.capacity(backend)/float64(len(backend.active)))
}

// advance serves the active requests up to now.
func (em *Emulator) advance(backend *emulatedBackend) {
	backend.servedWork += em.serviceRate(backend) * (em.now - backend.updatedAt).Seconds()
	backend.updatedAt = em.now
	if len(backend.active) == 0 {
		backend.servedWork = 0
	}
}

// warmUpStep is the time step in which the capacity of a backend that warms up is updated.
const warmUpStep = 20 * time.Millisecond

// scheduleCompletion sets the timer for the next request to complete.
func (em *Emulator) scheduleCompletion(backend *emulatedBackend) {
	backend.timerNumber++
	if len(backend.active) == 0 || backend.state != running {
		return
	}
	delay := time.Duration((backend.active[0].finishAt - backend.servedWork) / em.serviceRate(backend) * 1e9)
	if backend.startedAt >= 0 && em.now-backend.startedAt < em.scenario.Backend.ColdDuration.Std() {
		delay = min(delay, warmUpStep)
	}
	timerNumber := backend.timerNumber
	em.after(max(delay, time.Microsecond), func() {
		if backend.timerNumber == timerNumber {
			em.completeFinished(backend)
		}
	})
}

// completeFinished replies to the requests that are complete and starts queued ones.
func (em *Emulator) completeFinished(backend *emulatedBackend) {
	em.advance(backend)
	const tolerance = 1e-9 // seconds; covers the rounding of the timer
	for len(backend.active) > 0 && backend.active[0].finishAt <= backend.servedWork+tolerance {
		em.finishAttempt(backend, heap.Pop(&backend.active).(*backendAttempt))
	}
	for len(backend.queued) > 0 && len(backend.active) < em.scenario.Backend.Slots {
		attempt := backend.queued[0]
		backend.queued = backend.queued[1:]
		attempt.finishAt = backend.servedWork + attempt.cost
		heap.Push(&backend.active, attempt)
	}
	em.scheduleCompletion(backend)
}

func (em *Emulator) finishAttempt(backend *emulatedBackend, attempt *backendAttempt) {
	if attempt.key != "" {
		em.recordKey(backend, attempt)
	}
	em.replyToAttempt(backend, attempt, referee.OutcomeCompleted)
}

// replyToAttempt sends the attempt's reply, which arrives after the network delay.
func (em *Emulator) replyToAttempt(backend *emulatedBackend, attempt *backendAttempt, outcome referee.Outcome) {
	connection := attempt.connection
	if connection == nil {
		return
	}
	if em.scenario.Backend.LoadReports {
		utilization := min(1, float64(len(backend.active))/em.scenario.Backend.Cores)
		attempt.reply.Load = &LoadReport{Outstanding: len(backend.active) + len(backend.queued), Queued: len(backend.queued), Utilization: utilization}
	}
	incarnation := backend.incarnation
	em.after(em.networkDelay(connection), func() {
		if attempt.connection == nil || backend.incarnation != incarnation || em.links[gatewayLink{connection.gateway, connection.peer}] != Up {
			return
		}
		if attempt.reply.Truncated {
			outcome = referee.OutcomeBroken
		}
		em.Referee.AttemptEnded(em.now, attempt.requestID, attempt.number, outcome)
		em.emit(attempt.reply)
		connection.attempt = nil
		em.markIdle(connection)
		if attempt.reply.Truncated || attempt.reply.Close {
			em.dropConnection(connection)
		}
	})
}

// networkDelay returns the one-way delay between a gateway and its peer.
func (em *Emulator) networkDelay(connection *gatewayConnection) time.Duration {
	delay := em.scenario.Network.Delay.Std()
	if em.gateways[connection.gateway].zone != em.peerZone(connection.peer) {
		delay += em.scenario.Network.CrossZone.Std()
	}
	return delay
}

// peerZone returns the zone of a peer. The counter is in the first zone.
func (em *Emulator) peerZone(peer int) int {
	if peer == Counter {
		return 0
	}
	return em.backends[peer].zone
}

// Limits of the counter: the connections of one gateway, and how long a connection may be idle.
const (
	maxCounterConnections = 32
	counterIdleTimeout    = 10 * time.Second
)

func (em *Emulator) connectionOpened(event Opened) {
	connection := &gatewayConnection{id: event.Conn, gateway: event.Gateway, peer: event.Peer}
	if em.links[gatewayLink{connection.gateway, connection.peer}] != Up {
		return // the peer does not see what arrives on it
	}
	em.connections[connection.id] = connection
	if connection.peer == Counter {
		gateway := &em.gateways[connection.gateway]
		if gateway.counterConnections++; gateway.counterConnections > maxCounterConnections {
			em.resetConnection(connection)
			return
		}
	} else {
		backend := em.backends[connection.peer]
		backend.connections++
		em.Tally.Costs.Handshakes++
		connection.overLimit = backend.connections > em.scenario.Backend.Connections
	}
	em.markIdle(connection)
}

// markIdle records that a connection is idle, and resets it after the peer's idle timeout.
func (em *Emulator) markIdle(connection *gatewayConnection) {
	connection.idleSince = em.now
	timeout := em.scenario.Backend.KeepAlive.Std()
	if connection.peer == Counter {
		timeout = counterIdleTimeout
	}
	em.after(timeout, func() {
		if em.connections[connection.id] == connection && connection.attempt == nil && connection.idleSince+timeout <= em.now {
			em.resetConnection(connection)
		}
	})
}

func (em *Emulator) resetConnection(connection *gatewayConnection) {
	em.emit(Reset{connection.id})
	em.dropConnection(connection)
}

// dropConnection removes a connection and ends the attempt on it.
func (em *Emulator) dropConnection(connection *gatewayConnection) {
	if em.connections[connection.id] == nil {
		return
	}
	delete(em.connections, connection.id)
	if connection.peer == Counter {
		em.gateways[connection.gateway].counterConnections--
		return
	}
	em.backends[connection.peer].connections--
	if attempt := connection.attempt; attempt != nil {
		em.Referee.AttemptEnded(em.now, attempt.requestID, attempt.number, referee.OutcomeBroken)
		em.abandonAttempt(attempt)
	}
}

// abandonAttempt removes an attempt from the backend's queue. An active one goes on, and its reply
// is discarded.
func (em *Emulator) abandonAttempt(attempt *backendAttempt) {
	backend := em.backends[attempt.connection.peer]
	attempt.connection.attempt = nil
	attempt.connection = nil
	if i := slices.Index(backend.queued, attempt); i >= 0 {
		backend.queued = slices.Delete(backend.queued, i, i+1)
	}
}

func (em *Emulator) connectionClosed(id Conn) {
	connection := em.connections[id]
	if connection == nil {
		return
	}
	if attempt := connection.attempt; attempt != nil {
		em.Referee.AttemptEnded(em.now, attempt.requestID, attempt.number, referee.OutcomeAbandoned)
		em.abandonAttempt(attempt)
	}
	em.dropConnection(connection)
}

func (em *Emulator) probed(event Probed) {
	connection := em.connections[event.Conn]
	if connection == nil || connection.peer == Counter || em.links[gatewayLink{connection.gateway, connection.peer}] != Up {
		return
	}
	em.Tally.Costs.Probes++
	backend := em.backends[connection.peer]
	reply := Reply{Conn: connection.id, Status: 200, Body: Body{Seed: 1, Size: 32}, Load: &LoadReport{Outstanding: len(backend.active) + len(backend.queued), Queued: len(backend.queued)}}
	em.after(2*em.networkDelay(connection), func() {
		if em.connections[connection.id] == connection && em.links[gatewayLink{connection.gateway, connection.peer}] == Up {
			em.emit(reply)
			em.markIdle(connection)
		}
	})
}

// checkAttempts has the driver check the connections of a request's attempts before the referee
// judges them, since the driver may not have read yet that the gateway closed one.
func (em *Emulator) checkAttempts(id uint64) {
	var connections []Conn
	for _, connection := range em.connections {
		if connection.attempt != nil && connection.attempt.requestID == id {
			connections = append(connections, connection.id)
		}
	}
	slices.Sort(connections)
	em.emit(CheckConnections{ID: id, Connections: connections})
}

func (em *Emulator) connectionsChecked(event ConnectionsChecked) {
	for _, conn := range event.Closed {
		em.connectionClosed(conn)
	}
	em.Referee.CheckOverlap(em.now, event.ID)
}

func (em *Emulator) requestArrived(event Arrived) {
	connection := em.connections[event.Conn]
	if connection == nil || connection.peer == Counter || em.links[gatewayLink{connection.gateway, connection.peer}] != Up {
		return // the request never arrived
	}
	backend := em.backends[connection.peer]
	number := hash(event.ID, uint64(event.Conn), uint64(em.now))
	attempt := &backendAttempt{number: number, requestID: event.ID, connection: connection, key: event.Key}
	attempt.reply = Reply{Conn: connection.id, Status: 200, Body: Body{Seed: hash(number, event.ID)}}
	request := em.clients.inProgress[event.ID]
	unchanged := event.Unchanged && request != nil && event.Class == em.scenario.Classes[request.class].Name && event.Key == request.key && event.Body.Size == request.bodyBytes &&
		(request.bodyBytes == 0 || event.Body == request.message().Body)
	if em.Referee.AttemptArrived(em.now, referee.Attempt{ID: event.ID, Number: number, Gateway: connection.gateway, Backend: backend.number, FirstByteAt: event.FirstByte, Unchanged: unchanged || request == nil, ResponseID: attempt.reply.Body.Seed}) {
		em.after(em.scenario.Rules.ObservationSlack.Std(), func() { em.checkAttempts(event.ID) })
	}
	connection.attempt = attempt
	em.Tally.Costs.Attempts++
	if em.gateways[connection.gateway].zone != backend.zone {
		em.Tally.Costs.CrossZone++
	}
	if request == nil {
		em.failAttempt(backend, attempt, 400)
		return
	}
	em.reachedBackend(request)
	class := &em.scenario.Classes[request.class]
	attempt.class = request.class
	attempt.cost = request.clientOperation.workSeconds
	if backend.slowdown > 0 {
		attempt.cost *= backend.slowdown
	}
	if !connection.handshakeDone {
		connection.handshakeDone = true
		attempt.cost += em.scenario.Backend.Handshake.Seconds()
	}
	attempt.reply.Body.Size = class.AnswerBytes
	if em.Referee.WorkArrived(em.now, connection.gateway, backend.number, em.runningBackends(), attempt.cost, class.Work.Seconds(), em.capacity(backend)) {
		em.Tally.Costs.FallenBackends++
		em.emit(Mark{fmt.Sprintf("backend b-%d crashes from overload", backend.number)})
		backend.collapsed = true
		em.crashBackend(backend)
		em.publishBackend(backend, true)
		return
	}
	em.after(em.networkDelay(connection), func() { em.admit(backend, attempt) })
}

// runningBackends returns the number of backends that accept requests.
func (em *Emulator) runningBackends() (count int) {
	for _, backend := range em.backends {
		if backend.state == running && !backend.draining {
			count++
		}
	}
	return count
}

// admit handles an attempt once it reaches the backend: it fails, rejects, starts or queues it.
func (em *Emulator) admit(backend *emulatedBackend, attempt *backendAttempt) {
	if attempt.connection == nil || backend.state != running {
		return
	}
	em.advance(backend)
	draw := func(salt uint64) float64 { return unitFraction(hash(attempt.number, salt)) }
	switch {
	case backend.resetRate > 0 && draw(1) < backend.resetRate:
		em.resetConnection(attempt.connection)
	case backend.errorRate > 0 && draw(2) < backend.errorRate:
		em.failAttempt(backend, attempt, 500)
	case attempt.connection.overLimit, backend.draining && em.now-backend.drainingSince > em.scenario.Rules.DrainGrace.Std()+em.scenario.Network.ListDelay.Std(),
		len(backend.active) >= em.scenario.Backend.Slots && len(backend.queued) >= em.scenario.Backend.Queue:
		em.reject(backend, attempt)
	case attempt.key != "" && em.keySeen(backend, attempt):
		em.replyToAttempt(backend, attempt, referee.OutcomeCompleted) // another attempt has already had the effect
	default:
		attempt.reply.Truncated = backend.truncationRate > 0 && draw(3) < backend.truncationRate
		attempt.finishAt = backend.servedWork + attempt.cost
		if len(backend.active) < em.scenario.Backend.Slots {
			heap.Push(&backend.active, attempt)
		} else {
			backend.queued = append(backend.queued, attempt)
		}
	}
	em.scheduleCompletion(backend)
}

func (em *Emulator) reject(backend *emulatedBackend, attempt *backendAttempt) {
	em.Tally.Costs.RejectedAttempts++
	attempt.reply.Status, attempt.reply.NotStarted, attempt.reply.Body.Size = 503, true, 32
	attempt.reply.Close = attempt.connection.overLimit
	em.replyToAttempt(backend, attempt, referee.OutcomeRejected)
}

func (em *Emulator) failAttempt(backend *emulatedBackend, attempt *backendAttempt, status int) {
	attempt.reply.Status, attempt.reply.Body.Size = status, 32
	em.replyToAttempt(backend, attempt, referee.OutcomeFailed)
}

func (em *Emulator) keyScopeOf(backend *emulatedBackend, class int) keyScope {
	switch em.scenario.Classes[class].Scope {
	case "zone":
		return keyScope{1, backend.zone}
	case "cell":
		return keyScope{2, backend.cell}
	}
	return keyScope{0, 0}
}

func (em *Emulator) keySeen(backend *emulatedBackend, attempt *backendAttempt) bool {
	return em.seenKeys[em.keyScopeOf(backend, attempt.class)][attempt.key] > em.now
}

func (em *Emulator) recordKey(backend *emulatedBackend, attempt *backendAttempt) {
	scope := em.keyScopeOf(backend, attempt.class)
	keys := em.seenKeys[scope]
	if keys == nil {
		keys = map[string]time.Duration{}
		em.seenKeys[scope] = keys
	}
	if _, seen := keys[attempt.key]; seen {
		return
	}
	window := em.scenario.Classes[attempt.class].Window.Std()
	keys[attempt.key] = em.now + window
	em.after(window, func() { delete(keys, attempt.key) })
}

// crashBackend ends a backend's process.
func (em *Emulator) crashBackend(backend *emulatedBackend) {
	backend.state = crashed
	em.discardWork(backend)
	em.updateLinks()
}

// discardWork drops the attempts of a backend that stops.
func (em *Emulator) discardWork(backend *emulatedBackend) {
	backend.incarnation++
	backend.timerNumber++
	backend.active, backend.queued, backend.servedWork = nil, nil, 0
}

// restartBackend starts a backend again, cold. A collapsed or replaced one stays down.
func (em *Emulator) restartBackend(backend *emulatedBackend) {
	if backend.collapsed || backend.state == ended {
		return
	}
	em.discardWork(backend)
	backend.state = running
	backend.startedAt = em.now
	backend.updatedAt = em.now
	backend.draining = false
	backend.listed = true
	em.Referee.Backend(em.now, backend.number, backend.zone, backend.cell, true)
	em.updateLinks()
	em.publishBackend(backend, false)
}

// updateLinks sends the driver the state of every link that has changed, and drops connections on
// those links.
func (em *Emulator) updateLinks() {
	ended := map[gatewayLink]bool{}
	for g := range em.gateways {
		for peer := Counter; peer < len(em.backends); peer++ {
			key := gatewayLink{g, peer}
			state := em.linkState(g, peer)
			if em.links[key] == state {
				continue
			}
			em.links[key] = state
			em.emit(SetLinkState{g, peer, state})
			ended[key] = state != Silent // connections stay established on a silent link
		}
	}
	for _, connection := range em.connections {
		if ended[gatewayLink{connection.gateway, connection.peer}] {
			em.dropConnection(connection) // the order has no effect: dropping emits no action
		}
	}
}

func (em *Emulator) linkState(gateway, peer int) LinkState {
	gatewayZone, zoneOfPeer := em.gateways[gateway].zone, em.peerZone(peer)
	if gatewayZone != zoneOfPeer && (em.zoneCuts[gatewayZone] > 0 || em.zoneCuts[zoneOfPeer] > 0) {
		return Silent
	}
	endpoint := Endpoint{scenario.Backends, peer}
	if peer == Counter {
		endpoint = Endpoint{scenario.CounterActor, 0}
	}
	switch condition := em.condition(ProcessLink{Endpoint{scenario.Gateways, gateway}, endpoint}, link.Forward); {
	case condition.Kind == link.Dropped, peer == Counter && em.counter.silentFaults > 0:
		return Silent
	case condition.Kind == link.Refused:
		return Refusing
	case peer == Counter:
		return Up
	}
	switch em.backends[peer].state {
	case running:
		return Up
	case vanished:
		return Silent
	}
	return Refusing
}
