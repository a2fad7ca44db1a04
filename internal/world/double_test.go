package world

import (
	"container/heap"
	"slices"
	"time"

	"dunlintray/internal/scenario"
)

// harness drives a world in time of its own, with doubles in the gateways' place.
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
	planted        int // times that the defect has been acted out
	maxSteps       int
}

type testConnection struct {
	id      Conn
	gateway int
	backend int
	request *acceptedRequest
}

// double is a gateway that keeps the rules, but for its defect.
type testGateway struct {
	harness           *harness
	number            int
	alive             bool
	entries           map[int]Entry
	turn              int
	inProgress        map[uint64]*acceptedRequest
	attemptsByBackend map[int]int // attempts by backend
}

// A double has so many attempts out at a backend at most.
const (
	maxWarmAttempts = 4
	maxColdAttempts = 1
)

func (d *testGateway) hasRoom(b int, e Entry) bool {
	if d.harness.hasDefect("floods the cold") {
		return true
	}
	if e.Started > 0 && d.harness.now-e.Started < d.harness.scenario.Backend.Cold.D() {
		return d.attemptsByBackend[b] < maxColdAttempts
	}
	return d.attemptsByBackend[b] < maxWarmAttempts
}

// held is a request that a double has taken.
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

func (h *harness) after(d time.Duration, do func()) {
	h.sequence++
	heap.Push(&h.queue, timer{h.now + d, h.sequence, do})
}

func (h *harness) step(e Event) {
	for _, a := range h.emulator.Step(h.now, e) {
		h.perform(a.Operation)
	}
}

// play plays a scenario with doubles that have the defect.
func runTestGateways(s *scenario.Scenario, defect string) *harness {
	h := &harness{emulator: New(s), scenario: s, connections: map[Conn]*testConnection{}, links: map[gatewayLink]LinkState{}, defect: defect, maxSteps: 10_000_000}
	for g := range s.Fleet.Gateways {
		d := &testGateway{harness: h, number: g, alive: true, entries: map[int]Entry{}, inProgress: map[uint64]*acceptedRequest{}, attemptsByBackend: map[int]int{}}
		h.gateways = append(h.gateways, d)
		h.deliverList(d, h.emulator.Entries())
		h.step(Ready{g})
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
			t := heap.Pop(&h.queue).(timer)
			h.now = max(h.now, t.at)
			t.run()
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

func (h *harness) deliverList(d *testGateway, entries []Entry) {
	if !d.alive {
		return
	}
	h.step(ListDelivered{Gateway: d.number, Full: true, Entries: entries})
	clear(d.entries)
	for _, e := range entries {
		d.entries[e.Backend] = e
	}
}

func (h *harness) perform(action any) {
	switch a := action.(type) {
	case Send:
		d := h.gateways[a.Gateway]
		h.after(0, func() {
			if !d.alive {
				h.step(Unanswered{ID: a.ID})
				return
			}
			h.step(RequestWritten{a.ID})
			d.accept(a.Request)
		})
	case Abandon:
		for _, d := range h.gateways {
			if x := d.inProgress[a.ID]; x != nil {
				h.after(0, func() { d.abandon(x) })
			}
		}
	case Reply:
		if c := h.connections[a.Conn]; c != nil {
			h.after(0, func() { h.replied(c, a) })
		}
	case CheckConnections: // what a double ends has ended at once
		h.after(0, func() { h.step(ConnectionsChecked{ID: a.ID}) })
	case Reset:
		if c := h.connections[a.Conn]; c != nil {
			h.removeConnection(c)
			h.after(0, func() { h.connectionReset(c) })
		}
	case SetLinkState:
		h.links[gatewayLink{a.Gateway, a.Peer}] = a.State
		if a.State != Silent {
			for _, id := range sortedConnections(h.connections) {
				if c := h.connections[id]; c.gateway == a.Gateway && c.backend == a.Peer {
					h.removeConnection(c)
					h.after(0, func() { h.connectionReset(c) })
				}
			}
		}
	case SendList:
		h.after(0, func() { h.deliverList(h.gateways[a.Gateway], a.Entries) })
	case Kill:
		d := h.gateways[a.Gateway]
		d.alive = false
		h.after(0, func() { h.gatewayExited(d) })
	case Stop:
		h.after(0, func() { h.stopGateway(h.gateways[a.Gateway]) })
	case Start:
		h.after(200*time.Millisecond, func() {
			d := h.gateways[a.Gateway]
			d.alive = true
			h.deliverList(d, h.emulator.Entries())
			h.step(Ready(a))
		})
	}
}

func sortedConnections(conns map[Conn]*testConnection) []Conn {
	var all []Conn
	for id := range conns {
		all = append(all, id)
	}
	slices.Sort(all)
	return all
}

func (h *harness) gatewayExited(d *testGateway) {
	for _, id := range sortedConnections(h.connections) {
		if c := h.connections[id]; c.gateway == d.number {
			h.closeConnection(c)
		}
	}
	var ids []uint64
	for id := range d.inProgress {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		d.inProgress[id].done = true
		delete(d.inProgress, id)
		h.step(Unanswered{ID: id, Reused: true, Sent: true})
	}
	h.step(Exited{d.number, "killed"})
}

func (h *harness) stopGateway(d *testGateway) {
	if len(d.inProgress) > 0 || h.defect == "never ends" {
		if h.defect == "never ends" {
			h.planted++
			return
		}
		h.after(50*time.Millisecond, func() { h.stopGateway(d) })
		return
	}
	d.alive = false
	h.gatewayExited(d)
}

func (d *testGateway) accept(r Request) {
	x := &acceptedRequest{Request: r, gateway: d, deadline: d.harness.now + r.Remaining, refused: map[int]bool{}}
	d.inProgress[r.ID] = x
	d.harness.after(r.Remaining-10*time.Millisecond, func() { x.answer(504, Body{}) })
	switch {
	case d.harness.hasDefect("holds") && r.ID%64 == 0:
		x.done = true // and nothing more
		d.harness.planted++
	case d.harness.hasDefect("makes up") && r.ID%64 == 0:
		d.harness.planted++
		x.answer(200, Body{Seed: 7, Size: d.harness.scenario.Classes[r.Class].AnswerBytes})
	case d.harness.hasDefect("ends") && d.harness.now > 2*time.Second && d.number == 0 && d.harness.planted == 0:
		d.harness.planted++
		d.alive = false
		d.harness.gatewayExited(d)
	case d.harness.hasDefect("shuts the door") && r.ID%16 == 0:
		d.harness.planted++
		x.done = true
		delete(d.inProgress, r.ID)
		d.harness.step(Unanswered{ID: r.ID, Sent: true})
	default:
		x.attempt()
	}
}

func (h *harness) hasDefect(defect string) bool { return h.defect == defect }

// pick picks the next backend in turn that is ready and has not refused.
func (x *acceptedRequest) pickBackend() int {
	d := x.gateway
	var fit []int
	for b, e := range d.entries {
		ready := e.Lifecycle == Serving
		if d.harness.hasDefect("ignores drains") && e.Lifecycle == Draining {
			ready = true
			d.harness.planted++
		}
		if ready && !x.refused[b] && d.hasRoom(b, e) {
			fit = append(fit, b)
		}
	}
	if len(fit) == 0 {
		return -1
	}
	slices.Sort(fit)
	if last := fit[len(fit)-1]; d.harness.hasDefect("floods the cold") && d.entries[last].Started > 0 && d.harness.now-d.entries[last].Started < d.harness.scenario.Backend.Cold.D() {
		d.harness.planted++
		return last
	}
	d.turn++
	return fit[d.turn%len(fit)]
}

func (x *acceptedRequest) attempt() {
	d, h := x.gateway, x.gateway.harness
	if x.done || !d.alive {
		return
	}
	b := x.pickBackend()
	if b < 0 || x.attempts >= h.scenario.Rules.Attempts+1 || x.attempts >= h.scenario.Rules.Attempts && !h.hasDefect("tries on") {
		x.reject()
		return
	}
	if x.attempts >= h.scenario.Rules.Attempts {
		h.planted++
	}
	switch h.links[gatewayLink{d.number, b}] {
	case Refusing:
		x.refused[b] = true
		x.attempt()
		return
	case Silent:
		x.refused[b] = true
		h.after(h.scenario.Network.ConnectTimeout.D(), x.attempt)
		return
	}
	x.attempts++
	c := h.connect(d.number, b, x)
	h.sendAttempt(c, x.Request)
	if h.hasDefect("sends twice") && x.ID%64 == 0 && len(d.entries) > 1 {
		h.planted++
		h.sendAttempt(h.connect(d.number, b, nil), x.Request)
	}
	h.after(700*time.Millisecond, func() { // it gives up
		if h.connections[c.id] == c && c.request == x {
			h.closeConnection(c)
			x.mayRun = true
			x.retryOrEnd()
		}
	})
}

func (h *harness) connect(g, b int, x *acceptedRequest) *testConnection {
	h.lastConnection++
	c := &testConnection{id: h.lastConnection, gateway: g, backend: b, request: x}
	h.connections[c.id] = c
	h.gateways[g].attemptsByBackend[b]++
	h.step(Opened{c.id, g, b})
	if x != nil {
		x.connection = c
	}
	return c
}

func (h *harness) removeConnection(c *testConnection) {
	delete(h.connections, c.id)
	h.gateways[c.gateway].attemptsByBackend[c.backend]--
}

func (h *harness) closeConnection(c *testConnection) {
	h.removeConnection(c)
	h.step(Closed{c.id})
}

func (h *harness) sendAttempt(c *testConnection, r Request) {
	a := Arrived{Conn: c.id, ID: r.ID, FirstByte: h.now, Class: h.scenario.Classes[r.Class].Name, Key: r.Key, Body: r.Body, Unchanged: true}
	if h.hasDefect("sends its own") && r.ID%64 == 0 {
		h.planted++
		a.ID++
	}
	if h.hasDefect("changes") && r.ID%64 == 0 {
		h.planted++
		a.Class = "other"
	}
	h.step(a)
}

func (x *acceptedRequest) retryOrEnd() {
	class := x.gateway.harness.scenario.Classes[x.Class]
	may := !x.mayRun || class.Effect == "repeatable" || class.Effect == "by_key" && class.Scope == "all"
	if x.gateway.harness.hasDefect("sends once again") && !may {
		x.gateway.harness.planted++
		may = true
	}
	if !may {
		x.reject()
		return
	}
	x.attempt()
}

// end answers a request that is not served.
func (x *acceptedRequest) reject() {
	class := x.gateway.harness.scenario.Classes[x.Class]
	if x.mayRun && x.gateway.harness.hasDefect("refuses what ran") && class.Effect == "once" {
		x.gateway.harness.planted++
		x.answer(503, Body{})
		return
	}
	if x.mayRun {
		x.answer(502, Body{})
		return
	}
	x.answer(503, Body{})
}

func (x *acceptedRequest) answer(status int, body Body) {
	if x.done {
		return
	}
	h := x.gateway.harness
	x.done = true
	delete(x.gateway.inProgress, x.ID)
	if x.connection != nil && h.connections[x.connection.id] == x.connection {
		h.closeConnection(x.connection)
	}
	h.step(Answered{ID: x.ID, Status: status, Complete: true, Body: body})
	if h.hasDefect("answers twice") && x.ID%64 == 0 {
		h.planted++
		h.step(UnexpectedData{x.gateway.number, x.ID})
	}
}

func (d *testGateway) abandon(x *acceptedRequest) {
	x.done = true
	delete(d.inProgress, x.ID)
	if x.connection != nil && d.harness.connections[x.connection.id] == x.connection {
		d.harness.closeConnection(x.connection)
	}
}

func (h *harness) replied(c *testConnection, r Reply) {
	if h.connections[c.id] != c {
		return
	}
	x := c.request
	h.closeConnection(c) // each connection serves once
	if x == nil || x.done || x.connection != c {
		return
	}
	switch {
	case r.Truncated || r.Status == 500:
		x.mayRun = true
		x.retryOrEnd()
	case r.NotStarted:
		x.refused[c.backend] = true
		x.attempt()
	case r.Status == 200:
		x.answer(200, r.Body)
	default:
		x.mayRun = true
		x.reject()
	}
}

func (h *harness) connectionReset(c *testConnection) {
	if x := c.request; x != nil && !x.done && x.connection == c {
		x.mayRun = true
		x.retryOrEnd()
	}
}
