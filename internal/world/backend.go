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

type backendState int

const (
	running  backendState = iota
	crashed               // its process has ended, or fell over
	vanished              // its machine says nothing
	ended                 // for good
)

// backend serves requests on its cores, all that are in work at an even share.
// Work is counted in seconds of one core.
type backend struct {
	number, zone, cell int
	state              backendState
	collapsed          bool
	listed             bool
	changedAt          time.Duration // when lists had to tell something new of it
	draining           bool
	drainingSince      time.Duration
	startedAt          time.Duration // below 0: long ago
	incarnation        int

	// Troubles, as factors and shares; 0 is none.
	slowdown, errorRate, truncationRate, resetRate float64

	connections int
	active      attemptHeap
	queued      []*attempt
	servedWork  float64 // what each request in work has got since the backend is busy
	updatedAt   time.Duration
	timerNumber uint64 // the newest of its timers
}

// work is an attempt at a backend.
type attempt struct {
	number     uint64
	requestID  uint64
	connection *connection // nil once the gateway has given it up
	class      int
	key        string
	cost       float64
	finishAt   float64 // of the backend's done, when it is served
	reply      Reply
}

// workHeap is a heap of the work in progress by the time at which it ends.
type attemptHeap []*attempt

func (h attemptHeap) Len() int           { return len(h) }
func (h attemptHeap) Less(a, b int) bool { return h[a].finishAt < h[b].finishAt }
func (h attemptHeap) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }
func (h *attemptHeap) Push(x any)        { *h = append(*h, x.(*attempt)) }
func (h *attemptHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// add brings a backend; started is below 0 where it has run for long.
func (w *Emulator) addBackend(started time.Duration) *backend {
	n := len(w.backends)
	b := &backend{number: n, zone: n % len(w.scenario.Fleet.Zones), cell: n % w.scenario.Backend.Cells, startedAt: started, listed: true}
	w.backends = append(w.backends, b)
	w.Referee.Backend(w.now, n, b.zone, b.cell, started >= 0)
	return b
}

func (b *backend) entry() Entry {
	e := Entry{Backend: b.number, Zone: b.zone, Cell: b.cell, Started: b.startedAt}
	if b.draining {
		e.Lifecycle = Draining
	}
	return e
}

// capacity is in cores.
func (w *Emulator) capacity(b *backend) float64 {
	c := w.scenario.Backend.Cores
	if b.startedAt >= 0 {
		warm := (w.now - b.startedAt).Seconds() / w.scenario.Backend.Cold.Seconds()
		c *= min(1, w.scenario.Backend.ColdFrom+(1-w.scenario.Backend.ColdFrom)*warm)
	}
	// The fuller it is beyond its cores, the more is lost.
	if beyond := float64(len(b.active)) - w.scenario.Backend.Cores; beyond > 0 {
		c *= 1 - w.scenario.Backend.Overfull*min(1, beyond/max(1, float64(w.scenario.Backend.Slots)-w.scenario.Backend.Cores))
	}
	return c
}

// rate is how fast each request in work is served.
func (w *Emulator) serviceRate(b *backend) float64 {
	if len(b.active) == 0 {
		return 0
	}
	return min(1, w.capacity(b)/float64(len(b.active)))
}

// advance serves what is in work up to now.
func (w *Emulator) advance(b *backend) {
	b.servedWork += w.serviceRate(b) * (w.now - b.updatedAt).Seconds()
	b.updatedAt = w.now
	if len(b.active) == 0 {
		b.servedWork = 0
	}
}

// warmStep is how long a cold backend's capacity is taken as even.
const warmUpStep = 20 * time.Millisecond

// plan sets the timer for the next request to be served.
func (w *Emulator) scheduleCompletion(b *backend) {
	b.timerNumber++
	if len(b.active) == 0 || b.state != running {
		return
	}
	in := time.Duration((b.active[0].finishAt - b.servedWork) / w.serviceRate(b) * 1e9)
	if b.startedAt >= 0 && w.now-b.startedAt < w.scenario.Backend.Cold.D() {
		in = min(in, warmUpStep)
	}
	wake := b.timerNumber
	w.after(max(in, time.Microsecond), func() {
		if b.timerNumber == wake {
			w.completeFinished(b)
		}
	})
}

// serve ends the requests that have got their work, and takes up others.
func (w *Emulator) completeFinished(b *backend) {
	w.advance(b)
	const close = 1e-9 // seconds; the timer's rounding
	for len(b.active) > 0 && b.active[0].finishAt <= b.servedWork+close {
		w.finishAttempt(b, heap.Pop(&b.active).(*attempt))
	}
	for len(b.queued) > 0 && len(b.active) < w.scenario.Backend.Slots {
		j := b.queued[0]
		b.queued = b.queued[1:]
		j.finishAt = b.servedWork + j.cost
		heap.Push(&b.active, j)
	}
	w.scheduleCompletion(b)
}

func (w *Emulator) finishAttempt(b *backend, j *attempt) {
	if j.key != "" {
		w.recordKey(b, j)
	}
	w.replyToAttempt(b, j, referee.Whole)
}

// reply answers on the attempt's connection, one way through the network later.
func (w *Emulator) replyToAttempt(b *backend, j *attempt, how referee.How) {
	c := j.connection
	if c == nil {
		return
	}
	if w.scenario.Backend.LoadReports {
		busy := min(1, float64(len(b.active))/w.scenario.Backend.Cores)
		j.reply.Load = &LoadReport{Outstanding: len(b.active) + len(b.queued), Queued: len(b.queued), Utilization: busy}
	}
	lives := b.incarnation
	w.after(w.networkDelay(c), func() {
		if j.connection == nil || b.incarnation != lives || w.links[gatewayLink{c.gateway, c.peer}] != Up {
			return
		}
		if j.reply.Truncated {
			how = referee.Broken
		}
		w.Referee.Over(w.now, j.requestID, j.number, how)
		w.emit(j.reply)
		c.attempt = nil
		w.markIdle(c)
		if j.reply.Truncated || j.reply.Close {
			w.dropConnection(c)
		}
	})
}

// delay is one way between a gateway and what it speaks to.
func (w *Emulator) networkDelay(c *connection) time.Duration {
	d := w.scenario.Network.Delay.D()
	if w.gateways[c.gateway].zone != w.peerZone(c.peer) {
		d += w.scenario.Network.CrossZone.D()
	}
	return d
}

// zoneOf is where a peer stands; the counter and the lists stand in the first.
func (w *Emulator) peerZone(peer int) int {
	if peer == Counter {
		return 0
	}
	return w.backends[peer].zone
}

// counterConnections is how many the counter holds for one gateway, and
// counterIdle how long one may stand idle there.
const (
	maxCounterConnections = 32
	counterIdleTimeout    = 10 * time.Second
)

func (w *Emulator) connectionOpened(e Opened) {
	c := &connection{id: e.Conn, gateway: e.Gateway, peer: e.Peer}
	if w.links[gatewayLink{c.gateway, c.peer}] != Up {
		return // what comes on it is not heard
	}
	w.connections[c.id] = c
	if c.peer == Counter {
		g := &w.gateways[c.gateway]
		if g.counterConnections++; g.counterConnections > maxCounterConnections {
			w.resetConnection(c)
			return
		}
	} else {
		b := w.backends[c.peer]
		b.connections++
		w.Tally.Costs.Handshakes++
		c.overLimit = b.connections > w.scenario.Backend.Connections
	}
	w.markIdle(c)
}

// rests notes that a connection is idle, and closes it when it has been for long.
func (w *Emulator) markIdle(c *connection) {
	c.idleSince = w.now
	keep := w.scenario.Backend.KeepAlive.D()
	if c.peer == Counter {
		keep = counterIdleTimeout
	}
	w.after(keep, func() {
		if w.connections[c.id] == c && c.attempt == nil && c.idleSince+keep <= w.now {
			w.resetConnection(c)
		}
	})
}

func (w *Emulator) resetConnection(c *connection) {
	w.emit(Reset{c.id})
	w.dropConnection(c)
}

// drop forgets a connection; what is out on it is over.
func (w *Emulator) dropConnection(c *connection) {
	if w.connections[c.id] == nil {
		return
	}
	delete(w.connections, c.id)
	if c.peer == Counter {
		w.gateways[c.gateway].counterConnections--
		return
	}
	w.backends[c.peer].connections--
	if j := c.attempt; j != nil {
		w.Referee.Over(w.now, j.requestID, j.number, referee.Broken)
		w.abandonAttempt(j)
	}
}

// giveUp stops what waits for a place; what is in work goes on for nothing.
func (w *Emulator) abandonAttempt(j *attempt) {
	b := w.backends[j.connection.peer]
	j.connection.attempt = nil
	j.connection = nil
	if i := slices.Index(b.queued, j); i >= 0 {
		b.queued = slices.Delete(b.queued, i, i+1)
	}
}

func (w *Emulator) connectionClosed(id Conn) {
	c := w.connections[id]
	if c == nil {
		return
	}
	if j := c.attempt; j != nil {
		w.Referee.Over(w.now, j.requestID, j.number, referee.Left)
		w.abandonAttempt(j)
	}
	w.dropConnection(c)
}

func (w *Emulator) probed(e Probed) {
	c := w.connections[e.Conn]
	if c == nil || c.peer == Counter || w.links[gatewayLink{c.gateway, c.peer}] != Up {
		return
	}
	w.Tally.Costs.Probes++
	b := w.backends[c.peer]
	r := Reply{Conn: c.id, Status: 200, Body: Body{Seed: 1, Size: 32}, Load: &LoadReport{Outstanding: len(b.active) + len(b.queued), Queued: len(b.queued)}}
	w.after(2*w.networkDelay(c), func() {
		if w.connections[c.id] == c && w.links[gatewayLink{c.gateway, c.peer}] == Up {
			w.emit(r)
			w.markIdle(c)
		}
	})
}

// settle has the attempts of a request looked at before they are judged: that a
// gateway has given one up may still wait at the driver to be read.
func (w *Emulator) checkAttempts(id uint64) {
	var out []Conn
	for _, c := range w.connections {
		if c.attempt != nil && c.attempt.requestID == id {
			out = append(out, c.id)
		}
	}
	slices.Sort(out)
	w.emit(CheckConnections{ID: id, Connections: out})
}

func (w *Emulator) connectionsChecked(e ConnectionsChecked) {
	for _, c := range e.Closed {
		w.connectionClosed(c)
	}
	w.Referee.Settle(w.now, e.ID)
}

func (w *Emulator) requestArrived(e Arrived) {
	c := w.connections[e.Conn]
	if c == nil || c.peer == Counter || w.links[gatewayLink{c.gateway, c.peer}] != Up {
		return // it never came
	}
	b := w.backends[c.peer]
	number := hash(e.ID, uint64(e.Conn), uint64(w.now))
	j := &attempt{number: number, requestID: e.ID, connection: c, key: e.Key}
	j.reply = Reply{Conn: c.id, Status: 200, Body: Body{Seed: hash(number, e.ID)}}
	t := w.clients.inProgress[e.ID]
	same := e.Unchanged && t != nil && e.Class == w.scenario.Classes[t.class].Name && e.Key == t.key && e.Body.Size == t.bodyBytes &&
		(t.bodyBytes == 0 || e.Body == t.message().Body)
	if w.Referee.Arrived(w.now, referee.Attempt{ID: e.ID, Number: number, Gateway: c.gateway, Backend: b.number, First: e.FirstByte, Same: same || t == nil, Answer: j.reply.Body.Seed}) {
		w.after(w.scenario.Rules.Observe.D(), func() { w.checkAttempts(e.ID) })
	}
	c.attempt = j
	w.Tally.Costs.Attempts++
	if w.gateways[c.gateway].zone != b.zone {
		w.Tally.Costs.CrossZone++
	}
	if t == nil {
		w.failAttempt(b, j, 400)
		return
	}
	w.reachedBackend(t)
	class := &w.scenario.Classes[t.class]
	j.class = t.class
	j.cost = t.operation.workSeconds
	if b.slowdown > 0 {
		j.cost *= b.slowdown
	}
	if !c.handshakeDone {
		c.handshakeDone = true
		j.cost += w.scenario.Backend.Handshake.Seconds()
	}
	j.reply.Body.Size = class.AnswerBytes
	if w.Referee.Pressed(w.now, c.gateway, b.number, w.runningBackends(), j.cost, class.Work.Seconds(), w.capacity(b)) {
		w.Tally.Costs.Cold++
		w.emit(Mark{fmt.Sprintf("backend b-%d falls over", b.number)})
		b.collapsed = true
		w.crashBackend(b)
		w.publishBackend(b, true)
		return
	}
	w.after(w.networkDelay(c), func() { w.admit(b, j) })
}

// running counts the backends that take requests.
func (w *Emulator) runningBackends() (n int) {
	for _, b := range w.backends {
		if b.state == running && !b.draining {
			n++
		}
	}
	return n
}

// enter is a request's coming to the backend's program.
func (w *Emulator) admit(b *backend, j *attempt) {
	if j.connection == nil || b.state != running {
		return
	}
	w.advance(b)
	draw := func(salt uint64) float64 { return unitFraction(hash(j.number, salt)) }
	switch {
	case b.resetRate > 0 && draw(1) < b.resetRate:
		w.resetConnection(j.connection)
	case b.errorRate > 0 && draw(2) < b.errorRate:
		w.failAttempt(b, j, 500)
	case j.connection.overLimit, b.draining && w.now-b.drainingSince > w.scenario.Rules.DrainGrace.D()+w.scenario.Network.ListDelay.D(),
		len(b.active) >= w.scenario.Backend.Slots && len(b.queued) >= w.scenario.Backend.Queue:
		w.reject(b, j)
	case j.key != "" && w.keySeen(b, j):
		w.replyToAttempt(b, j, referee.Whole) // another attempt has done the work
	default:
		j.reply.Truncated = b.truncationRate > 0 && draw(3) < b.truncationRate
		j.finishAt = b.servedWork + j.cost
		if len(b.active) < w.scenario.Backend.Slots {
			heap.Push(&b.active, j)
		} else {
			b.queued = append(b.queued, j)
		}
	}
	w.scheduleCompletion(b)
}

func (w *Emulator) reject(b *backend, j *attempt) {
	w.Tally.Costs.Turned++
	j.reply.Status, j.reply.NotStarted, j.reply.Body.Size = 503, true, 32
	j.reply.Close = j.connection.overLimit
	w.replyToAttempt(b, j, referee.Turned)
}

func (w *Emulator) failAttempt(b *backend, j *attempt, status int) {
	j.reply.Status, j.reply.Body.Size = status, 32
	w.replyToAttempt(b, j, referee.Failed)
}

func (w *Emulator) keyScopeOf(b *backend, class int) keyScope {
	switch w.scenario.Classes[class].Scope {
	case "zone":
		return keyScope{1, b.zone}
	case "cell":
		return keyScope{2, b.cell}
	}
	return keyScope{0, 0}
}

func (w *Emulator) keySeen(b *backend, j *attempt) bool {
	return w.seenKeys[w.keyScopeOf(b, j.class)][j.key] > w.now
}

func (w *Emulator) recordKey(b *backend, j *attempt) {
	at := w.keyScopeOf(b, j.class)
	keys := w.seenKeys[at]
	if keys == nil {
		keys = map[string]time.Duration{}
		w.seenKeys[at] = keys
	}
	if _, seen := keys[j.key]; seen {
		return
	}
	window := w.scenario.Classes[j.class].Window.D()
	keys[j.key] = w.now + window
	w.after(window, func() { delete(keys, j.key) })
}

// crash ends the backend's process.
func (w *Emulator) crashBackend(b *backend) {
	b.state = crashed
	w.discardWork(b)
	w.updateLinks()
}

// stopped drops all that a backend that stops has had.
func (w *Emulator) discardWork(b *backend) {
	b.incarnation++
	b.timerNumber++
	b.active, b.queued, b.servedWork = nil, nil, 0
}

// start brings a backend back, cold.
func (w *Emulator) restartBackend(b *backend) {
	if b.collapsed || b.state == ended {
		return
	}
	w.discardWork(b)
	b.state = running
	b.startedAt = w.now
	b.updatedAt = w.now
	b.draining = false
	b.listed = true
	w.Referee.Backend(w.now, b.number, b.zone, b.cell, true)
	w.updateLinks()
	w.publishBackend(b, false)
}

// relink tells the driver of every link that has changed, and ends the
// connections along those that have.
func (w *Emulator) updateLinks() {
	ended := map[gatewayLink]bool{}
	for g := range w.gateways {
		for peer := Counter; peer < len(w.backends); peer++ {
			at := gatewayLink{g, peer}
			state := w.linkState(g, peer)
			if w.links[at] == state {
				continue
			}
			w.links[at] = state
			w.emit(SetLinkState{g, peer, state})
			ended[at] = state != Silent // what stands on a silent one goes on standing, unheard
		}
	}
	for _, c := range w.connections {
		if ended[gatewayLink{c.gateway, c.peer}] {
			w.dropConnection(c) // in any order: nothing is done for it but bookkeeping
		}
	}
}

func (w *Emulator) linkState(g, peer int) LinkState {
	here, there := w.gateways[g].zone, w.peerZone(peer)
	if here != there && (w.zoneCuts[here] > 0 || w.zoneCuts[there] > 0) {
		return Silent
	}
	to := Endpoint{scenario.Backends, peer}
	if peer == Counter {
		to = Endpoint{scenario.CounterActor, 0}
	}
	switch how := w.condition(ProcessLink{Endpoint{scenario.Gateways, g}, to}, link.Forward); {
	case how.Kind == link.Dropped, peer == Counter && w.counter.silentFaults > 0:
		return Silent
	case how.Kind == link.Refused:
		return Refusing
	case peer == Counter:
		return Up
	}
	switch w.backends[peer].state {
	case running:
		return Up
	case vanished:
		return Silent
	}
	return Refusing
}
