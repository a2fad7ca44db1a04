package world

import (
	"container/heap"
	"slices"
	"time"

	"dunlintray/internal/scenario"
)

// harness drives an Emulator in simulated time, with test doubles of the gateways.
type harness struct {
	emulator       *Emulator
	scenario       *scenario.Scenario
	now            time.Duration
	queue          timers
	sequence       uint64
	lastConnection Conn
	connections    map[Conn]*testConnection
	links          map[gatewayLink]LinkState
	gateways       []*testGateway
	defect         string
	planted        int // how often the gateways have shown the defect
	maxSteps       int
}

type testConnection struct {
	id      Conn
	gateway int
	backend int
	request *acceptedRequest
}

// testGateway is a test double of a gateway. Apart from its defect it keeps the rules.
type testGateway struct {
	harness           *harness
	number            int
	alive             bool
	entries           map[int]Entry
	turn              int
	inProgress        map[uint64]*acceptedRequest
	attemptsByBackend map[int]int // attempts in flight
}

// The maximum number of attempts that a test gateway has in flight at one backend.
const (
	maxWarmAttempts = 4
	maxColdAttempts = 1
)

func (gateway *testGateway) hasRoom(backend int, entry Entry) bool {
	if gateway.harness.hasDefect("overloads cold backends") {
		return true
	}
	if entry.Started > 0 && gateway.harness.now-entry.Started < gateway.harness.scenario.Backend.ColdDuration.Std() {
		return gateway.attemptsByBackend[backend] < maxColdAttempts
	}
	return gateway.attemptsByBackend[backend] < maxWarmAttempts
}

// acceptedRequest is a request in progress at a test gateway.
type acceptedRequest struct {
	Request
	gateway    *testGateway
	deadline   time.Duration
	attempts   int
	mayRun     bool
	connection *testConnection
	done       bool
	refused    map[int]bool
}

func (h *harness) after(delay time.Duration, run func()) {
	h.sequence++
	heap.Push(&h.queue, timer{h.now + delay, h.sequence, run})
}

func (h *harness) step(event Event) {
	for _, a := range h.emulator.Step(h.now, event) {
		h.perform(a.Operation)
	}
}

// runTestGateways runs a scenario with test gateways that have a defect, or none if it is "".
func runTestGateways(s *scenario.Scenario, defect string) *harness {
	h := &harness{emulator: New(s), scenario: s, connections: map[Conn]*testConnection{}, links: map[gatewayLink]LinkState{}, defect: defect, maxSteps: 10_000_000}
	for number := range s.Fleet.Gateways {
		gateway := &testGateway{harness: h, number: number, alive: true, entries: map[int]Entry{}, inProgress: map[uint64]*acceptedRequest{}, attemptsByBackend: map[int]int{}}
		h.gateways = append(h.gateways, gateway)
		h.deliverList(gateway, h.emulator.Entries())
		h.step(Ready{number})
	}
	for _, a := range h.emulator.Begin(h.now) {
		h.perform(a.Operation)
	}
	for range h.maxSteps {
		if h.emulator.Done() {
			break
		}
		next, ok := h.emulator.Next()
		if len(h.queue) > 0 && (!ok || h.queue[0].at <= next) {
			due := heap.Pop(&h.queue).(timer)
			h.now = max(h.now, due.at)
			due.run()
			continue
		}
		if !ok {
			break
		}
		h.now = max(h.now, next)
		h.step(Tick{})
	}
	h.emulator.End(h.now)
	return h
}

func (h *harness) deliverList(gateway *testGateway, entries []Entry) {
	if !gateway.alive {
		return
	}
	h.step(ListDelivered{Gateway: gateway.number, Full: true, Entries: entries})
	clear(gateway.entries)
	for _, entry := range entries {
		gateway.entries[entry.Backend] = entry
	}
}

func (h *harness) perform(action any) {
	switch action := action.(type) {
	case Send:
		gateway := h.gateways[action.Gateway]
		h.after(0, func() {
			if !gateway.alive {
				h.step(Unanswered{ID: action.ID})
				return
			}
			h.step(RequestWritten{action.ID})
			gateway.accept(action.Request)
		})
	case Abandon:
		for _, gateway := range h.gateways {
			if accepted := gateway.inProgress[action.ID]; accepted != nil {
				h.after(0, func() { gateway.abandon(accepted) })
			}
		}
	case Reply:
		if connection := h.connections[action.Conn]; connection != nil {
			h.after(0, func() { h.replied(connection, action) })
		}
	case CheckConnections: // the emulator has already seen what a test gateway closes
		h.after(0, func() { h.step(ConnectionsChecked{ID: action.ID}) })
	case Reset:
		if connection := h.connections[action.Conn]; connection != nil {
			h.removeConnection(connection)
			h.after(0, func() { h.connectionReset(connection) })
		}
	case SetLinkState:
		h.links[gatewayLink{action.Gateway, action.Peer}] = action.State
		if action.State != Silent {
			for _, id := range sortedConnections(h.connections) {
				if connection := h.connections[id]; connection.gateway == action.Gateway && connection.backend == action.Peer {
					h.removeConnection(connection)
					h.after(0, func() { h.connectionReset(connection) })
				}
			}
		}
	case SendList:
		h.after(0, func() { h.deliverList(h.gateways[action.Gateway], action.Entries) })
	case Kill:
		gateway := h.gateways[action.Gateway]
		gateway.alive = false
		h.after(0, func() { h.gatewayExited(gateway) })
	case Stop:
		h.after(0, func() { h.stopGateway(h.gateways[action.Gateway]) })
	case Start:
		h.after(200*time.Millisecond, func() {
			gateway := h.gateways[action.Gateway]
			gateway.alive = true
			h.deliverList(gateway, h.emulator.Entries())
			h.step(Ready(action))
		})
	}
}

func sortedConnections(connections map[Conn]*testConnection) []Conn {
	var ids []Conn
	for id := range connections {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (h *harness) gatewayExited(gateway *testGateway) {
	for _, id := range sortedConnections(h.connections) {
		if connection := h.connections[id]; connection.gateway == gateway.number {
			h.closeConnection(connection)
		}
	}
	var ids []uint64
	for id := range gateway.inProgress {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		gateway.inProgress[id].done = true
		delete(gateway.inProgress, id)
		h.step(Unanswered{ID: id, Reused: true, Sent: true})
	}
	h.step(Exited{gateway.number, "killed"})
}

func (h *harness) stopGateway(gateway *testGateway) {
	if len(gateway.inProgress) > 0 || h.defect == "ignores stop" {
		if h.defect == "ignores stop" {
			h.planted++
			return
		}
		h.after(50*time.Millisecond, func() { h.stopGateway(gateway) })
		return
	}
	gateway.alive = false
	h.gatewayExited(gateway)
}

func (gateway *testGateway) accept(request Request) {
	accepted := &acceptedRequest{Request: request, gateway: gateway, deadline: gateway.harness.now + request.Remaining, refused: map[int]bool{}}
	gateway.inProgress[request.ID] = accepted
	gateway.harness.after(request.Remaining-10*time.Millisecond, func() { accepted.answer(504, Body{}) })
	switch {
	case gateway.harness.hasDefect("never answers") && request.ID%64 == 0:
		accepted.done = true // it never answers
		gateway.harness.planted++
	case gateway.harness.hasDefect("invents answers") && request.ID%64 == 0:
		gateway.harness.planted++
		accepted.answer(200, Body{Seed: 7, Size: gateway.harness.scenario.Classes[request.Class].AnswerBytes})
	case gateway.harness.hasDefect("exits") && gateway.harness.now > 2*time.Second && gateway.number == 0 && gateway.harness.planted == 0:
		gateway.harness.planted++
		gateway.alive = false
		gateway.harness.gatewayExited(gateway)
	case gateway.harness.hasDefect("closes unserved") && request.ID%16 == 0:
		gateway.harness.planted++
		accepted.done = true
		delete(gateway.inProgress, request.ID)
		gateway.harness.step(Unanswered{ID: request.ID, Sent: true})
	default:
		accepted.attempt()
	}
}

func (h *harness) hasDefect(defect string) bool { return h.defect == defect }

// pickBackend returns the next backend, round-robin, that is ready and has not refused the request,
// or -1.
func (accepted *acceptedRequest) pickBackend() int {
	gateway := accepted.gateway
	var eligible []int
	for backend, entry := range gateway.entries {
		ready := entry.Lifecycle == Serving
		if gateway.harness.hasDefect("ignores drains") && entry.Lifecycle == Draining {
			ready = true
			gateway.harness.planted++
		}
		if ready && !accepted.refused[backend] && gateway.hasRoom(backend, entry) {
			eligible = append(eligible, backend)
		}
	}
	if len(eligible) == 0 {
		return -1
	}
	slices.Sort(eligible)
	if last := eligible[len(eligible)-1]; gateway.harness.hasDefect("overloads cold backends") && gateway.entries[last].Started > 0 && gateway.harness.now-gateway.entries[last].Started < gateway.harness.scenario.Backend.ColdDuration.Std() {
		gateway.harness.planted++
		return last
	}
	gateway.turn++
	return eligible[gateway.turn%len(eligible)]
}

func (accepted *acceptedRequest) attempt() {
	gateway, h := accepted.gateway, accepted.gateway.harness
	if accepted.done || !gateway.alive {
		return
	}
	backend := accepted.pickBackend()
	if backend < 0 || accepted.attempts >= h.scenario.Rules.MaxAttempts+1 || accepted.attempts >= h.scenario.Rules.MaxAttempts && !h.hasDefect("exceeds attempts") {
		accepted.reject()
		return
	}
	if accepted.attempts >= h.scenario.Rules.MaxAttempts {
		h.planted++
	}
	switch h.links[gatewayLink{gateway.number, backend}] {
	case Refusing:
		accepted.refused[backend] = true
		accepted.attempt()
		return
	case Silent:
		accepted.refused[backend] = true
		h.after(h.scenario.Network.ConnectTimeout.Std(), accepted.attempt)
		return
	}
	accepted.attempts++
	connection := h.connect(gateway.number, backend, accepted)
	h.sendAttempt(connection, accepted.Request)
	if h.hasDefect("sends twice") && accepted.ID%64 == 0 && len(gateway.entries) > 1 {
		h.planted++
		h.sendAttempt(h.connect(gateway.number, backend, nil), accepted.Request)
	}
	h.after(700*time.Millisecond, func() { // the attempt's timeout
		if h.connections[connection.id] == connection && connection.request == accepted {
			h.closeConnection(connection)
			accepted.mayRun = true
			accepted.retryOrEnd()
		}
	})
}

func (h *harness) connect(gateway, backend int, accepted *acceptedRequest) *testConnection {
	h.lastConnection++
	connection := &testConnection{id: h.lastConnection, gateway: gateway, backend: backend, request: accepted}
	h.connections[connection.id] = connection
	h.gateways[gateway].attemptsByBackend[backend]++
	h.step(Opened{connection.id, gateway, backend})
	if accepted != nil {
		accepted.connection = connection
	}
	return connection
}

func (h *harness) removeConnection(connection *testConnection) {
	delete(h.connections, connection.id)
	h.gateways[connection.gateway].attemptsByBackend[connection.backend]--
}

func (h *harness) closeConnection(connection *testConnection) {
	h.removeConnection(connection)
	h.step(Closed{connection.id})
}

func (h *harness) sendAttempt(connection *testConnection, request Request) {
	arrived := Arrived{Conn: connection.id, ID: request.ID, FirstByte: h.now, Class: h.scenario.Classes[request.Class].Name, Key: request.Key, Body: request.Body, Unchanged: true}
	if h.hasDefect("sends unknown requests") && request.ID%64 == 0 {
		h.planted++
		arrived.ID++
	}
	if h.hasDefect("changes requests") && request.ID%64 == 0 {
		h.planted++
		arrived.Class = "other"
	}
	h.step(arrived)
}

func (accepted *acceptedRequest) retryOrEnd() {
	class := accepted.gateway.harness.scenario.Classes[accepted.Class]
	allowed := !accepted.mayRun || class.Effect == "repeatable" || class.Effect == "by_key" && class.Scope == "all"
	if accepted.gateway.harness.hasDefect("resends unsafely") && !allowed {
		accepted.gateway.harness.planted++
		allowed = true
	}
	if !allowed {
		accepted.reject()
		return
	}
	accepted.attempt()
}

// reject answers a request that is not served.
func (accepted *acceptedRequest) reject() {
	class := accepted.gateway.harness.scenario.Classes[accepted.Class]
	if accepted.mayRun && accepted.gateway.harness.hasDefect("refuses after execution") && class.Effect == "once" {
		accepted.gateway.harness.planted++
		accepted.answer(503, Body{})
		return
	}
	if accepted.mayRun {
		accepted.answer(502, Body{})
		return
	}
	accepted.answer(503, Body{})
}

func (accepted *acceptedRequest) answer(status int, body Body) {
	if accepted.done {
		return
	}
	h := accepted.gateway.harness
	accepted.done = true
	delete(accepted.gateway.inProgress, accepted.ID)
	if accepted.connection != nil && h.connections[accepted.connection.id] == accepted.connection {
		h.closeConnection(accepted.connection)
	}
	h.step(Answered{ID: accepted.ID, Status: status, Complete: true, Body: body})
	if h.hasDefect("answers twice") && accepted.ID%64 == 0 {
		h.planted++
		h.step(UnexpectedData{accepted.gateway.number, accepted.ID})
	}
}

func (gateway *testGateway) abandon(accepted *acceptedRequest) {
	accepted.done = true
	delete(gateway.inProgress, accepted.ID)
	if accepted.connection != nil && gateway.harness.connections[accepted.connection.id] == accepted.connection {
		gateway.harness.closeConnection(accepted.connection)
	}
}

func (h *harness) replied(connection *testConnection, reply Reply) {
	if h.connections[connection.id] != connection {
		return
	}
	accepted := connection.request
	h.closeConnection(connection) // a connection carries one request
	if accepted == nil || accepted.done || accepted.connection != connection {
		return
	}
	switch {
	case reply.Truncated || reply.Status == 500:
		accepted.mayRun = true
		accepted.retryOrEnd()
	case reply.NotStarted:
		accepted.refused[connection.backend] = true
		accepted.attempt()
	case reply.Status == 200:
		accepted.answer(200, reply.Body)
	default:
		accepted.mayRun = true
		accepted.reject()
	}
}

func (h *harness) connectionReset(connection *testConnection) {
	if accepted := connection.request; accepted != nil && !accepted.done && accepted.connection == connection {
		accepted.mayRun = true
		accepted.retryOrEnd()
	}
}
