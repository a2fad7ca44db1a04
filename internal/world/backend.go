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
	n, zone, cell int
	state         backendState
	fallen        bool
	listed        bool
	changed       time.Duration // when lists had to tell something new of it
	draining      bool
	drainAt       time.Duration
	started       time.Duration // below 0: long ago
	lives         int

	// Troubles, as factors and shares; 0 is none.
	slow, errors, spoilt, resets float64

	conns   int
	inWork  workHeap
	waiting []*work
	done    float64 // what each request in work has got since the backend is busy
	asOf    time.Duration
	wake    uint64 // the newest of its timers
}

// work is an attempt at a backend.
type work struct {
	number uint64
	id     uint64
	conn   *conn // nil once the gateway has given it up
	class  int
	key    string
	cost   float64
	until  float64 // of the backend's done, when it is served
	reply  Reply
}

// workHeap is a heap of the work in progress by the time at which it ends.
type workHeap []*work

func (h workHeap) Len() int           { return len(h) }
func (h workHeap) Less(a, b int) bool { return h[a].until < h[b].until }
func (h workHeap) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }
func (h *workHeap) Push(x any)        { *h = append(*h, x.(*work)) }
func (h *workHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// add brings a backend; started is below 0 where it has run for long.
func (w *Emulator) add(started time.Duration) *backend {
	n := len(w.backends)
	b := &backend{n: n, zone: n % len(w.s.Fleet.Zones), cell: n % w.s.Backend.Cells, started: started, listed: true}
	w.backends = append(w.backends, b)
	w.Referee.Backend(w.now, n, b.zone, b.cell, started >= 0)
	return b
}

func (b *backend) entry() Entry {
	e := Entry{Backend: b.n, Zone: b.zone, Cell: b.cell, Started: b.started}
	if b.draining {
		e.Lifecycle = Draining
	}
	return e
}

// capacity is in cores.
func (w *Emulator) capacity(b *backend) float64 {
	c := w.s.Backend.Cores
	if b.started >= 0 {
		warm := (w.now - b.started).Seconds() / w.s.Backend.Cold.Seconds()
		c *= min(1, w.s.Backend.ColdFrom+(1-w.s.Backend.ColdFrom)*warm)
	}
	// The fuller it is beyond its cores, the more is lost.
	if beyond := float64(len(b.inWork)) - w.s.Backend.Cores; beyond > 0 {
		c *= 1 - w.s.Backend.Overfull*min(1, beyond/max(1, float64(w.s.Backend.Slots)-w.s.Backend.Cores))
	}
	return c
}

// rate is how fast each request in work is served.
func (w *Emulator) rate(b *backend) float64 {
	if len(b.inWork) == 0 {
		return 0
	}
	return min(1, w.capacity(b)/float64(len(b.inWork)))
}

// advance serves what is in work up to now.
func (w *Emulator) advance(b *backend) {
	b.done += w.rate(b) * (w.now - b.asOf).Seconds()
	b.asOf = w.now
	if len(b.inWork) == 0 {
		b.done = 0
	}
}

// warmStep is how long a cold backend's capacity is taken as even.
const warmStep = 20 * time.Millisecond

// plan sets the timer for the next request to be served.
func (w *Emulator) plan(b *backend) {
	b.wake++
	if len(b.inWork) == 0 || b.state != running {
		return
	}
	in := time.Duration((b.inWork[0].until - b.done) / w.rate(b) * 1e9)
	if b.started >= 0 && w.now-b.started < w.s.Backend.Cold.D() {
		in = min(in, warmStep)
	}
	wake := b.wake
	w.after(max(in, time.Microsecond), func() {
		if b.wake == wake {
			w.serve(b)
		}
	})
}

// serve ends the requests that have got their work, and takes up others.
func (w *Emulator) serve(b *backend) {
	w.advance(b)
	const close = 1e-9 // seconds; the timer's rounding
	for len(b.inWork) > 0 && b.inWork[0].until <= b.done+close {
		w.finish(b, heap.Pop(&b.inWork).(*work))
	}
	for len(b.waiting) > 0 && len(b.inWork) < w.s.Backend.Slots {
		j := b.waiting[0]
		b.waiting = b.waiting[1:]
		j.until = b.done + j.cost
		heap.Push(&b.inWork, j)
	}
	w.plan(b)
}

func (w *Emulator) finish(b *backend, j *work) {
	if j.key != "" {
		w.remember(b, j)
	}
	w.reply(b, j, referee.Whole)
}

// reply answers on the attempt's connection, one way through the network later.
func (w *Emulator) reply(b *backend, j *work, how referee.How) {
	c := j.conn
	if c == nil {
		return
	}
	if w.s.Backend.LoadReports {
		busy := min(1, float64(len(b.inWork))/w.s.Backend.Cores)
		j.reply.Load = &LoadReport{Outstanding: len(b.inWork) + len(b.waiting), Queued: len(b.waiting), Utilization: busy}
	}
	lives := b.lives
	w.after(w.delay(c), func() {
		if j.conn == nil || b.lives != lives || w.links[edge{c.gateway, c.peer}] != Up {
			return
		}
		if j.reply.Truncated {
			how = referee.Broken
		}
		w.Referee.Over(w.now, j.id, j.number, how)
		w.do(j.reply)
		c.attempt = nil
		w.rests(c)
		if j.reply.Truncated || j.reply.Close {
			w.drop(c)
		}
	})
}

// delay is one way between a gateway and what it speaks to.
func (w *Emulator) delay(c *conn) time.Duration {
	d := w.s.Network.Delay.D()
	if w.gateways[c.gateway].zone != w.zoneOf(c.peer) {
		d += w.s.Network.CrossZone.D()
	}
	return d
}

// zoneOf is where a peer stands; the counter and the lists stand in the first.
func (w *Emulator) zoneOf(peer int) int {
	if peer == Counter {
		return 0
	}
	return w.backends[peer].zone
}

// counterConnections is how many the counter holds for one gateway, and
// counterIdle how long one may stand idle there.
const (
	counterConnections = 32
	counterIdle        = 10 * time.Second
)

func (w *Emulator) opened(e Opened) {
	c := &conn{id: e.Conn, gateway: e.Gateway, peer: e.Peer}
	if w.links[edge{c.gateway, c.peer}] != Up {
		return // what comes on it is not heard
	}
	w.conns[c.id] = c
	if c.peer == Counter {
		g := &w.gateways[c.gateway]
		if g.calls++; g.calls > counterConnections {
			w.reset(c)
			return
		}
	} else {
		b := w.backends[c.peer]
		b.conns++
		w.Tally.Costs.Handshakes++
		c.over = b.conns > w.s.Backend.Connections
	}
	w.rests(c)
}

// rests notes that a connection is idle, and closes it when it has been for long.
func (w *Emulator) rests(c *conn) {
	c.idle = w.now
	keep := w.s.Backend.KeepAlive.D()
	if c.peer == Counter {
		keep = counterIdle
	}
	w.after(keep, func() {
		if w.conns[c.id] == c && c.attempt == nil && c.idle+keep <= w.now {
			w.reset(c)
		}
	})
}

func (w *Emulator) reset(c *conn) {
	w.do(Reset{c.id})
	w.drop(c)
}

// drop forgets a connection; what is out on it is over.
func (w *Emulator) drop(c *conn) {
	if w.conns[c.id] == nil {
		return
	}
	delete(w.conns, c.id)
	if c.peer == Counter {
		w.gateways[c.gateway].calls--
		return
	}
	w.backends[c.peer].conns--
	if j := c.attempt; j != nil {
		w.Referee.Over(w.now, j.id, j.number, referee.Broken)
		w.giveUp(j)
	}
}

// giveUp stops what waits for a place; what is in work goes on for nothing.
func (w *Emulator) giveUp(j *work) {
	b := w.backends[j.conn.peer]
	j.conn.attempt = nil
	j.conn = nil
	if i := slices.Index(b.waiting, j); i >= 0 {
		b.waiting = slices.Delete(b.waiting, i, i+1)
	}
}

func (w *Emulator) closed(id Conn) {
	c := w.conns[id]
	if c == nil {
		return
	}
	if j := c.attempt; j != nil {
		w.Referee.Over(w.now, j.id, j.number, referee.Left)
		w.giveUp(j)
	}
	w.drop(c)
}

func (w *Emulator) probed(e Probed) {
	c := w.conns[e.Conn]
	if c == nil || c.peer == Counter || w.links[edge{c.gateway, c.peer}] != Up {
		return
	}
	w.Tally.Costs.Probes++
	b := w.backends[c.peer]
	r := Reply{Conn: c.id, Status: 200, Body: Body{Seed: 1, Size: 32}, Load: &LoadReport{Outstanding: len(b.inWork) + len(b.waiting), Queued: len(b.waiting)}}
	w.after(2*w.delay(c), func() {
		if w.conns[c.id] == c && w.links[edge{c.gateway, c.peer}] == Up {
			w.do(r)
			w.rests(c)
		}
	})
}

// settle has the attempts of a request looked at before they are judged: that a
// gateway has given one up may still wait at the driver to be read.
func (w *Emulator) settle(id uint64) {
	var out []Conn
	for _, c := range w.conns {
		if c.attempt != nil && c.attempt.id == id {
			out = append(out, c.id)
		}
	}
	slices.Sort(out)
	w.do(CheckConnections{ID: id, Connections: out})
}

func (w *Emulator) looked(e ConnectionsChecked) {
	for _, c := range e.Closed {
		w.closed(c)
	}
	w.Referee.Settle(w.now, e.ID)
}

func (w *Emulator) arrived(e Arrived) {
	c := w.conns[e.Conn]
	if c == nil || c.peer == Counter || w.links[edge{c.gateway, c.peer}] != Up {
		return // it never came
	}
	b := w.backends[c.peer]
	number := mix(e.ID, uint64(e.Conn), uint64(w.now))
	j := &work{number: number, id: e.ID, conn: c, key: e.Key}
	j.reply = Reply{Conn: c.id, Status: 200, Body: Body{Seed: mix(number, e.ID)}}
	t := w.clients.open[e.ID]
	same := e.Unchanged && t != nil && e.Class == w.s.Classes[t.class].Name && e.Key == t.key && e.Body.Size == t.size &&
		(t.size == 0 || e.Body == t.request().Body)
	if w.Referee.Arrived(w.now, referee.Attempt{ID: e.ID, Number: number, Gateway: c.gateway, Backend: b.n, First: e.FirstByte, Same: same || t == nil, Answer: j.reply.Body.Seed}) {
		w.after(w.s.Rules.Observe.D(), func() { w.settle(e.ID) })
	}
	c.attempt = j
	w.Tally.Costs.Attempts++
	if w.gateways[c.gateway].zone != b.zone {
		w.Tally.Costs.CrossZone++
	}
	if t == nil {
		w.fail(b, j, 400)
		return
	}
	w.sentOn(t)
	class := &w.s.Classes[t.class]
	j.class = t.class
	j.cost = t.wish.work
	if b.slow > 0 {
		j.cost *= b.slow
	}
	if !c.worked {
		c.worked = true
		j.cost += w.s.Backend.Handshake.Seconds()
	}
	j.reply.Body.Size = class.AnswerBytes
	if w.Referee.Pressed(w.now, c.gateway, b.n, w.running(), j.cost, class.Work.Seconds(), w.capacity(b)) {
		w.Tally.Costs.Cold++
		w.do(Mark{fmt.Sprintf("backend b-%d falls over", b.n)})
		b.fallen = true
		w.crash(b)
		w.list(b, true)
		return
	}
	w.after(w.delay(c), func() { w.enter(b, j) })
}

// running counts the backends that take requests.
func (w *Emulator) running() (n int) {
	for _, b := range w.backends {
		if b.state == running && !b.draining {
			n++
		}
	}
	return n
}

// enter is a request's coming to the backend's program.
func (w *Emulator) enter(b *backend, j *work) {
	if j.conn == nil || b.state != running {
		return
	}
	w.advance(b)
	draw := func(salt uint64) float64 { return share(mix(j.number, salt)) }
	switch {
	case b.resets > 0 && draw(1) < b.resets:
		w.reset(j.conn)
	case b.errors > 0 && draw(2) < b.errors:
		w.fail(b, j, 500)
	case j.conn.over, b.draining && w.now-b.drainAt > w.s.Rules.DrainGrace.D()+w.s.Network.ListDelay.D(),
		len(b.inWork) >= w.s.Backend.Slots && len(b.waiting) >= w.s.Backend.Queue:
		w.turn(b, j)
	case j.key != "" && w.remembers(b, j):
		w.reply(b, j, referee.Whole) // another attempt has done the work
	default:
		j.reply.Truncated = b.spoilt > 0 && draw(3) < b.spoilt
		j.until = b.done + j.cost
		if len(b.inWork) < w.s.Backend.Slots {
			heap.Push(&b.inWork, j)
		} else {
			b.waiting = append(b.waiting, j)
		}
	}
	w.plan(b)
}

func (w *Emulator) turn(b *backend, j *work) {
	w.Tally.Costs.Turned++
	j.reply.Status, j.reply.NotStarted, j.reply.Body.Size = 503, true, 32
	j.reply.Close = j.conn.over
	w.reply(b, j, referee.Turned)
}

func (w *Emulator) fail(b *backend, j *work, status int) {
	j.reply.Status, j.reply.Body.Size = status, 32
	w.reply(b, j, referee.Failed)
}

func (w *Emulator) groupOf(b *backend, class int) group {
	switch w.s.Classes[class].Scope {
	case "zone":
		return group{1, b.zone}
	case "cell":
		return group{2, b.cell}
	}
	return group{0, 0}
}

func (w *Emulator) remembers(b *backend, j *work) bool {
	return w.groups[w.groupOf(b, j.class)][j.key] > w.now
}

func (w *Emulator) remember(b *backend, j *work) {
	at := w.groupOf(b, j.class)
	keys := w.groups[at]
	if keys == nil {
		keys = map[string]time.Duration{}
		w.groups[at] = keys
	}
	if _, seen := keys[j.key]; seen {
		return
	}
	window := w.s.Classes[j.class].Window.D()
	keys[j.key] = w.now + window
	w.after(window, func() { delete(keys, j.key) })
}

// crash ends the backend's process.
func (w *Emulator) crash(b *backend) {
	b.state = crashed
	w.stopped(b)
	w.relink()
}

// stopped drops all that a backend that stops has had.
func (w *Emulator) stopped(b *backend) {
	b.lives++
	b.wake++
	b.inWork, b.waiting, b.done = nil, nil, 0
}

// start brings a backend back, cold.
func (w *Emulator) start(b *backend) {
	if b.fallen || b.state == ended {
		return
	}
	w.stopped(b)
	b.state = running
	b.started = w.now
	b.asOf = w.now
	b.draining = false
	b.listed = true
	w.Referee.Backend(w.now, b.n, b.zone, b.cell, true)
	w.relink()
	w.list(b, false)
}

// relink tells the driver of every link that has changed, and ends the
// connections along those that have.
func (w *Emulator) relink() {
	ended := map[edge]bool{}
	for g := range w.gateways {
		for peer := Counter; peer < len(w.backends); peer++ {
			at := edge{g, peer}
			state := w.linkState(g, peer)
			if w.links[at] == state {
				continue
			}
			w.links[at] = state
			w.do(SetLinkState{g, peer, state})
			ended[at] = state != Silent // what stands on a silent one goes on standing, unheard
		}
	}
	for _, c := range w.conns {
		if ended[edge{c.gateway, c.peer}] {
			w.drop(c) // in any order: nothing is done for it but bookkeeping
		}
	}
}

func (w *Emulator) linkState(g, peer int) LinkState {
	here, there := w.gateways[g].zone, w.zoneOf(peer)
	if here != there && (w.cuts[here] > 0 || w.cuts[there] > 0) {
		return Silent
	}
	to := Endpoint{scenario.Backends, peer}
	if peer == Counter {
		to = Endpoint{scenario.CounterActor, 0}
	}
	switch how := w.how(ProcessLink{Endpoint{scenario.Gateways, g}, to}, link.Forward); {
	case how.Kind == link.Dropped, peer == Counter && w.counter.silent > 0:
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
