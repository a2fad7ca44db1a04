package world

import (
	"container/heap"
	"slices"
	"time"

	"dunlintray/internal/scenario"
)

// harness drives a world in time of its own, with doubles in the gateways' place.
type harness struct {
	w        *Emulator
	s        *scenario.Scenario
	now      time.Duration
	queue    timers
	order    uint64
	next     Conn
	conns    map[Conn]*doubleConn
	links    map[edge]LinkState
	doubles  []*double
	defect   string
	planted  int // times that the defect has been acted out
	maxSteps int
}

type doubleConn struct {
	id      Conn
	gateway int
	backend int
	x       *held
}

// double is a gateway that keeps the rules, but for its defect.
type double struct {
	h     *harness
	n     int
	alive bool
	told  map[int]Entry
	turn  int
	open  map[uint64]*held
	out   map[int]int // attempts by backend
}

// A double has so many attempts out at a backend at most.
const (
	mostWarm = 4
	mostCold = 1
)

func (d *double) room(b int, e Entry) bool {
	if d.h.plant("floods the cold") {
		return true
	}
	if e.Started > 0 && d.h.now-e.Started < d.h.s.Backend.Cold.D() {
		return d.out[b] < mostCold
	}
	return d.out[b] < mostWarm
}

// held is a request that a double has taken.
type held struct {
	Request
	d       *double
	due     time.Duration
	tries   int
	mayRun  bool
	conn    *doubleConn
	done    bool
	refused map[int]bool
}

func (h *harness) after(d time.Duration, do func()) {
	h.order++
	heap.Push(&h.queue, timer{h.now + d, h.order, do})
}

func (h *harness) step(e Event) {
	for _, a := range h.w.Step(h.now, e) {
		h.do(a.Operation)
	}
}

// play plays a scenario with doubles that have the defect.
func playDoubles(s *scenario.Scenario, defect string) *harness {
	h := &harness{w: New(s), s: s, conns: map[Conn]*doubleConn{}, links: map[edge]LinkState{}, defect: defect, maxSteps: 10_000_000}
	for g := range s.Fleet.Gateways {
		d := &double{h: h, n: g, alive: true, told: map[int]Entry{}, open: map[uint64]*held{}, out: map[int]int{}}
		h.doubles = append(h.doubles, d)
		h.tell(d, h.w.Entries())
		h.step(Ready{g})
	}
	for _, a := range h.w.Begin(h.now) {
		h.do(a.Operation)
	}
	for range h.maxSteps {
		if h.w.Done() {
			break
		}
		next, ok := h.w.Next()
		if len(h.queue) > 0 && (!ok || h.queue[0].at <= next) {
			t := heap.Pop(&h.queue).(timer)
			h.now = max(h.now, t.at)
			t.do()
			continue
		}
		if !ok {
			break
		}
		h.now = max(h.now, next)
		h.step(Tick{})
	}
	h.w.End(h.now)
	return h
}

func (h *harness) tell(d *double, entries []Entry) {
	if !d.alive {
		return
	}
	h.step(ListDelivered{Gateway: d.n, Full: true, Entries: entries})
	clear(d.told)
	for _, e := range entries {
		d.told[e.Backend] = e
	}
}

func (h *harness) do(action any) {
	switch a := action.(type) {
	case Send:
		d := h.doubles[a.Gateway]
		h.after(0, func() {
			if !d.alive {
				h.step(Unanswered{ID: a.ID})
				return
			}
			h.step(RequestWritten{a.ID})
			d.take(a.Request)
		})
	case Abandon:
		for _, d := range h.doubles {
			if x := d.open[a.ID]; x != nil {
				h.after(0, func() { d.drop(x) })
			}
		}
	case Reply:
		if c := h.conns[a.Conn]; c != nil {
			h.after(0, func() { h.replied(c, a) })
		}
	case CheckConnections: // what a double ends has ended at once
		h.after(0, func() { h.step(ConnectionsChecked{ID: a.ID}) })
	case Reset:
		if c := h.conns[a.Conn]; c != nil {
			h.gone(c)
			h.after(0, func() { h.broke(c) })
		}
	case SetLinkState:
		h.links[edge{a.Gateway, a.Peer}] = a.State
		if a.State != Silent {
			for _, id := range sortedConns(h.conns) {
				if c := h.conns[id]; c.gateway == a.Gateway && c.backend == a.Peer {
					h.gone(c)
					h.after(0, func() { h.broke(c) })
				}
			}
		}
	case SendList:
		h.after(0, func() { h.tell(h.doubles[a.Gateway], a.Entries) })
	case Kill:
		d := h.doubles[a.Gateway]
		d.alive = false
		h.after(0, func() { h.died(d) })
	case Stop:
		h.after(0, func() { h.leave(h.doubles[a.Gateway]) })
	case Start:
		h.after(200*time.Millisecond, func() {
			d := h.doubles[a.Gateway]
			d.alive = true
			h.tell(d, h.w.Entries())
			h.step(Ready(a))
		})
	}
}

func sortedConns(conns map[Conn]*doubleConn) []Conn {
	var all []Conn
	for id := range conns {
		all = append(all, id)
	}
	slices.Sort(all)
	return all
}

func (h *harness) died(d *double) {
	for _, id := range sortedConns(h.conns) {
		if c := h.conns[id]; c.gateway == d.n {
			h.hangUp(c)
		}
	}
	var ids []uint64
	for id := range d.open {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		d.open[id].done = true
		delete(d.open, id)
		h.step(Unanswered{ID: id, Reused: true, Sent: true})
	}
	h.step(Exited{d.n, "killed"})
}

func (h *harness) leave(d *double) {
	if len(d.open) > 0 || h.defect == "never ends" {
		if h.defect == "never ends" {
			h.planted++
			return
		}
		h.after(50*time.Millisecond, func() { h.leave(d) })
		return
	}
	d.alive = false
	h.died(d)
}

func (d *double) take(r Request) {
	x := &held{Request: r, d: d, due: d.h.now + r.Remaining, refused: map[int]bool{}}
	d.open[r.ID] = x
	d.h.after(r.Remaining-10*time.Millisecond, func() { x.answer(504, Body{}) })
	switch {
	case d.h.plant("holds") && r.ID%64 == 0:
		x.done = true // and nothing more
		d.h.planted++
	case d.h.plant("makes up") && r.ID%64 == 0:
		d.h.planted++
		x.answer(200, Body{Seed: 7, Size: d.h.s.Classes[r.Class].AnswerBytes})
	case d.h.plant("ends") && d.h.now > 2*time.Second && d.n == 0 && d.h.planted == 0:
		d.h.planted++
		d.alive = false
		d.h.died(d)
	case d.h.plant("shuts the door") && r.ID%16 == 0:
		d.h.planted++
		x.done = true
		delete(d.open, r.ID)
		d.h.step(Unanswered{ID: r.ID, Sent: true})
	default:
		x.attempt()
	}
}

func (h *harness) plant(defect string) bool { return h.defect == defect }

// pick picks the next backend in turn that is ready and has not refused.
func (x *held) pick() int {
	d := x.d
	var fit []int
	for b, e := range d.told {
		ready := e.Lifecycle == Serving
		if d.h.plant("ignores drains") && e.Lifecycle == Draining {
			ready = true
			d.h.planted++
		}
		if ready && !x.refused[b] && d.room(b, e) {
			fit = append(fit, b)
		}
	}
	if len(fit) == 0 {
		return -1
	}
	slices.Sort(fit)
	if last := fit[len(fit)-1]; d.h.plant("floods the cold") && d.told[last].Started > 0 && d.h.now-d.told[last].Started < d.h.s.Backend.Cold.D() {
		d.h.planted++
		return last
	}
	d.turn++
	return fit[d.turn%len(fit)]
}

func (x *held) attempt() {
	d, h := x.d, x.d.h
	if x.done || !d.alive {
		return
	}
	b := x.pick()
	if b < 0 || x.tries >= h.s.Rules.Attempts+1 || x.tries >= h.s.Rules.Attempts && !h.plant("tries on") {
		x.end()
		return
	}
	if x.tries >= h.s.Rules.Attempts {
		h.planted++
	}
	switch h.links[edge{d.n, b}] {
	case Refusing:
		x.refused[b] = true
		x.attempt()
		return
	case Silent:
		x.refused[b] = true
		h.after(h.s.Network.ConnectTimeout.D(), x.attempt)
		return
	}
	x.tries++
	c := h.connect(d.n, b, x)
	h.arrive(c, x.Request)
	if h.plant("sends twice") && x.ID%64 == 0 && len(d.told) > 1 {
		h.planted++
		h.arrive(h.connect(d.n, b, nil), x.Request)
	}
	h.after(700*time.Millisecond, func() { // it gives up
		if h.conns[c.id] == c && c.x == x {
			h.hangUp(c)
			x.mayRun = true
			x.again()
		}
	})
}

func (h *harness) connect(g, b int, x *held) *doubleConn {
	h.next++
	c := &doubleConn{id: h.next, gateway: g, backend: b, x: x}
	h.conns[c.id] = c
	h.doubles[g].out[b]++
	h.step(Opened{c.id, g, b})
	if x != nil {
		x.conn = c
	}
	return c
}

func (h *harness) gone(c *doubleConn) {
	delete(h.conns, c.id)
	h.doubles[c.gateway].out[c.backend]--
}

func (h *harness) hangUp(c *doubleConn) {
	h.gone(c)
	h.step(Closed{c.id})
}

func (h *harness) arrive(c *doubleConn, r Request) {
	a := Arrived{Conn: c.id, ID: r.ID, FirstByte: h.now, Class: h.s.Classes[r.Class].Name, Key: r.Key, Body: r.Body, Unchanged: true}
	if h.plant("sends its own") && r.ID%64 == 0 {
		h.planted++
		a.ID++
	}
	if h.plant("changes") && r.ID%64 == 0 {
		h.planted++
		a.Class = "other"
	}
	h.step(a)
}

func (x *held) again() {
	class := x.d.h.s.Classes[x.Class]
	may := !x.mayRun || class.Effect == "repeatable" || class.Effect == "by_key" && class.Scope == "all"
	if x.d.h.plant("sends once again") && !may {
		x.d.h.planted++
		may = true
	}
	if !may {
		x.end()
		return
	}
	x.attempt()
}

// end answers a request that is not served.
func (x *held) end() {
	class := x.d.h.s.Classes[x.Class]
	if x.mayRun && x.d.h.plant("refuses what ran") && class.Effect == "once" {
		x.d.h.planted++
		x.answer(503, Body{})
		return
	}
	if x.mayRun {
		x.answer(502, Body{})
		return
	}
	x.answer(503, Body{})
}

func (x *held) answer(status int, body Body) {
	if x.done {
		return
	}
	h := x.d.h
	x.done = true
	delete(x.d.open, x.ID)
	if x.conn != nil && h.conns[x.conn.id] == x.conn {
		h.hangUp(x.conn)
	}
	h.step(Answered{ID: x.ID, Status: status, Complete: true, Body: body})
	if h.plant("answers twice") && x.ID%64 == 0 {
		h.planted++
		h.step(UnexpectedData{x.d.n, x.ID})
	}
}

func (d *double) drop(x *held) {
	x.done = true
	delete(d.open, x.ID)
	if x.conn != nil && d.h.conns[x.conn.id] == x.conn {
		d.h.hangUp(x.conn)
	}
}

func (h *harness) replied(c *doubleConn, r Reply) {
	if h.conns[c.id] != c {
		return
	}
	x := c.x
	h.hangUp(c) // each connection serves once
	if x == nil || x.done || x.conn != c {
		return
	}
	switch {
	case r.Truncated || r.Status == 500:
		x.mayRun = true
		x.again()
	case r.NotStarted:
		x.refused[c.backend] = true
		x.attempt()
	case r.Status == 200:
		x.answer(200, r.Body)
	default:
		x.mayRun = true
		x.end()
	}
}

func (h *harness) broke(c *doubleConn) {
	if x := c.x; x != nil && !x.done && x.conn == c {
		x.mayRun = true
		x.again()
	}
}
