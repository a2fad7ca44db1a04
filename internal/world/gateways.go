package world

import (
	"fmt"
	"time"

	"dunlintray/internal/referee"
)

type gatewayState int

const (
	starting gatewayState = iota
	up
	stopping
	down
)

// gateway is one process as the platform sees it.
type gateway struct {
	zone               int
	state              gatewayState
	hasProcess         bool          // there is one
	restartPending     bool          // another is to be started once it has ended
	startDelay         time.Duration // for so long it is to stand still at its start
	inRotation         bool          // the front sends clients to it
	incarnation        int
	counterConnections int // connections to the counter
	frozen             bool
}

// stopSends is how long a front still sends to a gateway that was told to end.
const rotationDelay = 300 * time.Millisecond

func (w *Emulator) gatewayReady(n int) {
	g := &w.gateways[n]
	if g.state == starting {
		g.state = up
		g.inRotation = true
		w.reportReachability()
	}
}

func (w *Emulator) gatewayExited(e Exited) {
	g := &w.gateways[e.Gateway]
	g.hasProcess = false
	defer w.reportReachability()
	switch g.state {
	case up, starting:
		w.Referee.Crashed(w.now, e.Gateway, e.Cause)
		w.emit(Mark{fmt.Sprintf("gateway n%d ended: %s", e.Gateway, e.Cause)})
		g.inRotation = false
		g.state = down
		return
	case stopping:
		g.state = down
		g.restartPending = true
	}
	if lives := g.incarnation; g.restartPending {
		w.after(restartDelay, func() {
			if g.incarnation == lives {
				w.startGateway(e.Gateway)
			}
		})
	}
}

// bootAfter is how long after its end a gateway's next process is started.
const restartDelay = 100 * time.Millisecond

// kill ends a gateway's process at once.
func (w *Emulator) killGateway(n int) {
	w.emit(Kill{n})
	w.markGatewayLost(n)
}

// lose takes note that a gateway is gone, which the front sees late.
func (w *Emulator) markGatewayLost(n int) {
	g := &w.gateways[n]
	g.state = down
	g.incarnation++
	g.frozen = false
	w.Referee.Excuse(w.now, n)
	w.reportReachability()
	lives := g.incarnation
	w.after(w.scenario.Network.Notice.D(), func() {
		if g.incarnation == lives && g.state != up {
			g.inRotation = false
		}
	})
}

// vanish takes a gateway's machine away: the process says nothing, and what is
// connected to it stands, until another is started.
func (w *Emulator) loseMachine(n int, d time.Duration) {
	g := &w.gateways[n]
	if g.state != up {
		return
	}
	w.emit(Freeze{n})
	w.markGatewayLost(n)
	lives := g.incarnation
	w.after(d, func() {
		if g.incarnation == lives {
			w.emit(Kill{n})
			w.startGateway(n)
		}
	})
}

// loop kills a gateway each life, until a moment.
func (w *Emulator) crashLoopGateway(n int, life time.Duration, end time.Duration) {
	if g := &w.gateways[n]; g.state == up || g.state == starting {
		w.killGateway(n)
		w.after(restartDelay, func() { w.startGateway(n) })
	}
	if next := w.now + restartDelay + life; next < end {
		w.schedule(next, func() { w.crashLoopGateway(n, life, end) })
	}
}

// startSlowly kills a gateway, and lets its next process stand still at its start.
func (w *Emulator) restartSlowly(n int, d time.Duration) {
	g := &w.gateways[n]
	w.killGateway(n)
	g.startDelay = d
	w.after(restartDelay, func() { w.startGateway(n) })
}

// boot starts its next process, once the last has ended.
func (w *Emulator) startGateway(n int) {
	g := &w.gateways[n]
	if g.state != down {
		return
	}
	if g.restartPending = g.hasProcess; g.restartPending {
		return
	}
	g.incarnation++
	g.state = starting
	g.hasProcess, g.frozen = true, false
	w.Referee.Back(w.now, n, true)
	w.emit(Start{n})
	if slow := g.startDelay; slow > 0 {
		g.startDelay = 0
		w.emit(Freeze{n})
		lives := g.incarnation
		w.after(slow, func() {
			if g.incarnation == lives {
				w.emit(Thaw{n})
			}
		})
	}
}

// stop tells a gateway to end, and starts it again when it has, or has been made
// to.
func (w *Emulator) stopGateway(n int) {
	g := &w.gateways[n]
	if g.state != up {
		return
	}
	g.state = stopping
	g.incarnation++
	lives := g.incarnation
	w.Referee.Stopping(w.now, n)
	w.reportReachability()
	w.emit(Stop{n})
	w.after(rotationDelay, func() {
		if g.incarnation == lives {
			g.inRotation = false
		}
	})
	w.after(w.scenario.KillAfter(), func() {
		if g.incarnation == lives && g.state == stopping {
			w.Referee.Hung(w.now, n)
			w.emit(Kill{n})
		}
	})
}

func (w *Emulator) freezeGateway(n int, d time.Duration) {
	g := &w.gateways[n]
	if g.state != up {
		return
	}
	lives := g.incarnation
	w.Referee.Excuse(w.now, n)
	w.emit(Freeze{n})
	g.frozen = true
	w.reportReachability()
	w.after(d, func() {
		if g.incarnation == lives {
			w.emit(Thaw{n})
			g.frozen = false
			w.reportReachability()
			// What was on its way while it stood still is answered late.
			w.after(w.scenario.Rules.Observe.D(), func() {
				if g.incarnation == lives {
					w.Referee.Back(w.now, n, false)
				}
			})
		}
	})
}

// heardOf measures how long after it began a gateway is told of what a backend does
// now.
func (w *Emulator) recordListLag(g int, e Entry) {
	if e.Backend >= len(w.backends) {
		return
	}
	b, at := w.backends[e.Backend], gatewayLink{g, e.Backend}
	before, known := w.delivered[at]
	w.delivered[at] = e
	same := func(a, b time.Duration) bool { return a-b <= time.Millisecond && b-a <= time.Millisecond }
	if b.changedAt > 0 && e.Lifecycle == b.entry().Lifecycle && same(e.Started, b.startedAt) &&
		(!known || before.Lifecycle != e.Lifecycle || !same(before.Started, e.Started)) {
		w.Tally.Heard(w.now - b.changedAt)
	}
}

// list tells discovery of a backend, and gateways late.
func (w *Emulator) publishBackend(b *backend, lost bool) {
	b.changedAt = w.now
	w.emit(Register{Entry: b.entry(), Lost: lost})
	if w.scenario.Fleet.ListServices > 0 {
		return // they tell it
	}
	if !lost {
		w.sendLists()
		return
	}
	lives := b.incarnation
	w.after(lossDetectionDelay, func() {
		if b.incarnation == lives {
			b.listed = false
			w.sendLists()
		}
	})
}

// tell every gateway the list, each with its own delay.
func (w *Emulator) sendLists() {
	for g := range w.gateways {
		late := time.Duration(unitFraction(hash(w.scenario.Seed, uint64(w.now), uint64(g))) * float64(w.scenario.Network.ListDelay))
		w.after(late, func() { w.emit(SendList{g, w.Entries()}) })
	}
}

// lostAfter is when a discovery finds out by itself that a backend is gone.
const lossDetectionDelay = 2 * time.Second

func (w *Emulator) listDelivered(e ListDelivered) {
	if e.Full {
		// What the list leaves out is gone.
		listed := map[int]bool{}
		for _, entry := range e.Entries {
			listed[entry.Backend] = true
		}
		for _, b := range w.Referee.Named(e.Gateway) {
			if !listed[b] {
				w.Referee.Told(w.now, e.Gateway, b, referee.Gone, -1)
			}
		}
	}
	for _, entry := range e.Entries {
		w.recordListLag(e.Gateway, entry)
		w.Referee.Told(w.now, e.Gateway, entry.Backend, refereeStates[entry.Lifecycle], entry.Started)
	}
	w.Referee.Version(w.now, e.Gateway, e.Version)
}

// states are the lifecycles as the referee has them.
var refereeStates = map[Lifecycle]referee.State{Serving: referee.Ready, Draining: referee.Draining, Gone: referee.Gone}
