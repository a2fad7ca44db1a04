package world

import (
	"fmt"

	"dunlintray/internal/link"
	"dunlintray/internal/scenario"
)

// Wire is a link on which the driver has a relay, from who connects.
type Wire struct{ From, To End }

// End is one process at the end of a link.
type End struct {
	Kind scenario.ActorKind
	N    int // backends: 0 stands for all
}

func (e End) String() string {
	switch e.Kind {
	case scenario.Gateways:
		return fmt.Sprintf("n%d", e.N)
	case scenario.Lists:
		return fmt.Sprintf("list%d", e.N)
	case scenario.Backends:
		return "backends"
	case scenario.Operators:
		return "operators"
	}
	return "counter"
}

func (w Wire) String() string { return w.From.String() + " to " + w.To.String() }

// broken is a link's fault that has begun.
type broken struct {
	scenario.LinkFault
	off bool // one that flaps, for the moment
}

// has reports whether a process belongs to an actor.
func (w *World) has(p scenario.Actor, e End) bool {
	if p.Kind != e.Kind || p.N >= 0 && p.N != e.N {
		return false
	}
	switch {
	case p.Zone < 0:
		return true
	case e.Kind == scenario.Gateways:
		return w.gateways[e.N].zone == p.Zone
	}
	return w.backends[e.N].zone == p.Zone
}

// how a link carries what goes one way of it now: of several faults the last.
func (w *World) how(at Wire, way link.Way) link.How {
	how := link.How{Kind: link.Up}
	for _, b := range w.broken {
		if !b.off && w.has(b.From, at.From) && w.has(b.To, at.To) && (way == link.There && b.There || way == link.Back && b.Back) {
			how = b.How
		}
	}
	return how
}

// Wires are the links that need a relay in the scenario: those between processes
// that a fault is to befall.
func Wires(s *scenario.Scenario) (all []Wire) {
	w := &World{s: s, gateways: make([]gateway, s.Fleet.Gateways)}
	for g := range w.gateways {
		w.gateways[g].zone = g % len(s.Fleet.Zones)
	}
	for i := range s.Faults {
		if scenario.Kinds[s.Faults[i].Kind].Link {
			l, _, _ := s.Link(&s.Faults[i]) // Check has read it
			w.broken = append(w.broken, &broken{LinkFault: l})
		}
	}
	for _, at := range w.wires() {
		if w.how(at, link.There).Kind != link.Up || w.how(at, link.Back).Kind != link.Up {
			all = append(all, at)
		}
	}
	return all
}

// wires are all links between processes on which a relay can stand.
func (w *World) wires() (all []Wire) {
	for g := range w.gateways {
		all = append(all, Wire{End{scenario.Operators, 0}, End{scenario.Gateways, g}})
	}
	for k := range w.s.Fleet.ListServices {
		to := End{scenario.Lists, k}
		for g := range w.gateways {
			all = append(all, Wire{End{scenario.Gateways, g}, to})
		}
		if w.s.Fleet.Group {
			all = append(all, Wire{End{scenario.Backends, 0}, to})
			for other := range w.s.Fleet.ListServices {
				if other != k {
					all = append(all, Wire{End{scenario.Lists, other}, to})
				}
			}
			continue
		}
		if k == 0 {
			all = append(all, Wire{End{scenario.Backends, 0}, to})
			for other := 1; other < w.s.Fleet.ListServices; other++ {
				all = append(all, Wire{End{scenario.Lists, other}, to})
			}
		}
	}
	return all
}

// breakLink begins a link's fault, and plans its end.
func (w *World) breakLink(f *scenario.Fault) {
	l, _, _ := w.s.Link(f) // Check has read it
	b := &broken{LinkFault: l}
	w.broken = append(w.broken, b)
	end := w.now + f.For.D()
	w.rewire()
	w.at(end, func() {
		for i := range w.broken {
			if w.broken[i] == b {
				w.broken = append(w.broken[:i:i], w.broken[i+1:]...)
				break
			}
		}
		w.do(Mark{fmt.Sprintf("links from %s to %s are up again", f.From, f.To)})
		w.rewire()
	})
	if f.Flap == 0 {
		return
	}
	var swing func()
	swing = func() {
		if w.now < end {
			b.off = !b.off
			w.rewire()
			w.after(f.Flap.D(), swing)
		}
	}
	w.after(f.Flap.D(), swing)
}

// rewire tells the driver of every link that carries otherwise than before.
func (w *World) rewire() {
	for _, at := range w.wires() {
		for _, way := range []link.Way{link.There, link.Back} {
			how := w.how(at, way)
			before, known := w.wired[wiredWay{at, way}]
			if known && before == how || !known && how.Kind == link.Up {
				continue
			}
			w.wired[wiredWay{at, way}] = how
			w.do(Rewire{Wire: at, Way: way, How: how})
		}
	}
	w.relink()
	w.ground()
}

type wiredWay struct {
	Wire
	way link.Way
}
