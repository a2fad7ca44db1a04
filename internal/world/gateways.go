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
	zone    int
	state   gatewayState
	process bool          // there is one
	wanted  bool          // another is to be started once it has ended
	slow    time.Duration // for so long it is to stand still at its start
	front   bool          // the front sends clients to it
	lives   int
	calls   int // connections to the counter
	frozen  bool
}

// stopSends is how long a front still sends to a gateway that was told to end.
const stopSends = 300 * time.Millisecond

func (w *Emulator) ready(n int) {
	g := &w.gateways[n]
	if g.state == starting {
		g.state = up
		g.front = true
		w.ground()
	}
}

func (w *Emulator) exited(e Exited) {
	g := &w.gateways[e.Gateway]
	g.process = false
	defer w.ground()
	switch g.state {
	case up, starting:
		w.Referee.Crashed(w.now, e.Gateway, e.Cause)
		w.do(Mark{fmt.Sprintf("gateway n%d ended: %s", e.Gateway, e.Cause)})
		g.front = false
		g.state = down
		return
	case stopping:
		g.state = down
		g.wanted = true
	}
	if lives := g.lives; g.wanted {
		w.after(bootAfter, func() {
			if g.lives == lives {
				w.boot(e.Gateway)
			}
		})
	}
}

// bootAfter is how long after its end a gateway's next process is started.
const bootAfter = 100 * time.Millisecond

// kill ends a gateway's process at once.
func (w *Emulator) kill(n int) {
	w.do(Kill{n})
	w.lose(n)
}

// lose takes note that a gateway is gone, which the front sees late.
func (w *Emulator) lose(n int) {
	g := &w.gateways[n]
	g.state = down
	g.lives++
	g.frozen = false
	w.Referee.Excuse(w.now, n)
	w.ground()
	lives := g.lives
	w.after(w.s.Network.Notice.D(), func() {
		if g.lives == lives && g.state != up {
			g.front = false
		}
	})
}

// vanish takes a gateway's machine away: the process says nothing, and what is
// connected to it stands, until another is started.
func (w *Emulator) vanish(n int, d time.Duration) {
	g := &w.gateways[n]
	if g.state != up {
		return
	}
	w.do(Freeze{n})
	w.lose(n)
	lives := g.lives
	w.after(d, func() {
		if g.lives == lives {
			w.do(Kill{n})
			w.boot(n)
		}
	})
}

// loop kills a gateway each life, until a moment.
func (w *Emulator) loop(n int, life time.Duration, end time.Duration) {
	if g := &w.gateways[n]; g.state == up || g.state == starting {
		w.kill(n)
		w.after(bootAfter, func() { w.boot(n) })
	}
	if next := w.now + bootAfter + life; next < end {
		w.at(next, func() { w.loop(n, life, end) })
	}
}

// startSlowly kills a gateway, and lets its next process stand still at its start.
func (w *Emulator) startSlowly(n int, d time.Duration) {
	g := &w.gateways[n]
	w.kill(n)
	g.slow = d
	w.after(bootAfter, func() { w.boot(n) })
}

// boot starts its next process, once the last has ended.
func (w *Emulator) boot(n int) {
	g := &w.gateways[n]
	if g.state != down {
		return
	}
	if g.wanted = g.process; g.wanted {
		return
	}
	g.lives++
	g.state = starting
	g.process, g.frozen = true, false
	w.Referee.Back(w.now, n, true)
	w.do(Start{n})
	if slow := g.slow; slow > 0 {
		g.slow = 0
		w.do(Freeze{n})
		lives := g.lives
		w.after(slow, func() {
			if g.lives == lives {
				w.do(Thaw{n})
			}
		})
	}
}

// stop tells a gateway to end, and starts it again when it has, or has been made
// to.
func (w *Emulator) stop(n int) {
	g := &w.gateways[n]
	if g.state != up {
		return
	}
	g.state = stopping
	g.lives++
	lives := g.lives
	w.Referee.Stopping(w.now, n)
	w.ground()
	w.do(Stop{n})
	w.after(stopSends, func() {
		if g.lives == lives {
			g.front = false
		}
	})
	w.after(w.s.KillAfter(), func() {
		if g.lives == lives && g.state == stopping {
			w.Referee.Hung(w.now, n)
			w.do(Kill{n})
		}
	})
}

func (w *Emulator) freeze(n int, d time.Duration) {
	g := &w.gateways[n]
	if g.state != up {
		return
	}
	lives := g.lives
	w.Referee.Excuse(w.now, n)
	w.do(Freeze{n})
	g.frozen = true
	w.ground()
	w.after(d, func() {
		if g.lives == lives {
			w.do(Thaw{n})
			g.frozen = false
			w.ground()
			// What was on its way while it stood still is answered late.
			w.after(w.s.Rules.Observe.D(), func() {
				if g.lives == lives {
					w.Referee.Back(w.now, n, false)
				}
			})
		}
	})
}

// heardOf measures how long after it began a gateway is told of what a backend does
// now.
func (w *Emulator) heardOf(g int, e Entry) {
	if e.Backend >= len(w.backends) {
		return
	}
	b, at := w.backends[e.Backend], edge{g, e.Backend}
	before, known := w.heard[at]
	w.heard[at] = e
	same := func(a, b time.Duration) bool { return a-b <= time.Millisecond && b-a <= time.Millisecond }
	if b.changed > 0 && e.Lifecycle == b.entry().Lifecycle && same(e.Started, b.started) &&
		(!known || before.Lifecycle != e.Lifecycle || !same(before.Started, e.Started)) {
		w.Tally.Heard(w.now - b.changed)
	}
}

// list tells discovery of a backend, and gateways late.
func (w *Emulator) list(b *backend, lost bool) {
	b.changed = w.now
	w.do(Register{Entry: b.entry(), Lost: lost})
	if w.s.Fleet.ListServices > 0 {
		return // they tell it
	}
	if !lost {
		w.tell()
		return
	}
	lives := b.lives
	w.after(lostAfter, func() {
		if b.lives == lives {
			b.listed = false
			w.tell()
		}
	})
}

// tell every gateway the list, each with its own delay.
func (w *Emulator) tell() {
	for g := range w.gateways {
		late := time.Duration(share(mix(w.s.Seed, uint64(w.now), uint64(g))) * float64(w.s.Network.ListDelay))
		w.after(late, func() { w.do(SendList{g, w.Entries()}) })
	}
}

// lostAfter is when a discovery finds out by itself that a backend is gone.
const lostAfter = 2 * time.Second

func (w *Emulator) told(e ListDelivered) {
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
		w.heardOf(e.Gateway, entry)
		w.Referee.Told(w.now, e.Gateway, entry.Backend, states[entry.Lifecycle], entry.Started)
	}
	w.Referee.Version(w.now, e.Gateway, e.Version)
}

// states are the lifecycles as the referee has them.
var states = map[Lifecycle]referee.State{Serving: referee.Ready, Draining: referee.Draining, Gone: referee.Gone}
