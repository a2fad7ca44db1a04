package world

import (
	"fmt"

	"dunlintray/internal/link"
	"dunlintray/internal/scenario"
)

// Wire is a link on which the driver has a relay, from who connects.
type ProcessLink struct{ From, To Endpoint }

// End is one process at the end of a link.
type Endpoint struct {
	Kind   scenario.ActorKind
	Number int // backends: 0 stands for all
}

func (e Endpoint) String() string {
	switch e.Kind {
	case scenario.Gateways:
		return fmt.Sprintf("n%d", e.Number)
	case scenario.Lists:
		return fmt.Sprintf("list%d", e.Number)
	case scenario.Backends:
		return "backends"
	case scenario.Operators:
		return "operators"
	}
	return "counter"
}

func (w ProcessLink) String() string { return w.From.String() + " to " + w.To.String() }

// broken is a link's fault that has begun.
type linkFault struct {
	scenario.LinkFault
	inactive bool // one that flaps, for the moment
}

// has reports whether a process belongs to an actor.
func (w *Emulator) matches(p scenario.Actor, e Endpoint) bool {
	if p.Kind != e.Kind || p.N >= 0 && p.N != e.Number {
		return false
	}
	switch {
	case p.Zone < 0:
		return true
	case e.Kind == scenario.Gateways:
		return w.gateways[e.Number].zone == p.Zone
	}
	return w.backends[e.Number].zone == p.Zone
}

// how a link carries what goes one way of it now: of several faults the last.
func (w *Emulator) condition(at ProcessLink, way link.Direction) link.Condition {
	how := link.Condition{Kind: link.Up}
	for _, b := range w.linkFaults {
		if !b.inactive && w.matches(b.From, at.From) && w.matches(b.To, at.To) && (way == link.Forward && b.There || way == link.Reverse && b.Back) {
			how = b.How
		}
	}
	return how
}

// Wires are the links that need a relay in the scenario: those between processes
// that a fault is to befall.
func RelayedLinks(s *scenario.Scenario) (all []ProcessLink) {
	w := &Emulator{scenario: s, gateways: make([]gateway, s.Fleet.Gateways)}
	for g := range w.gateways {
		w.gateways[g].zone = g % len(s.Fleet.Zones)
	}
	for i := range s.Faults {
		if scenario.Kinds[s.Faults[i].Kind].Link {
			l, _, _ := s.Link(&s.Faults[i]) // Check has read it
			w.linkFaults = append(w.linkFaults, &linkFault{LinkFault: l})
		}
	}
	for _, at := range w.processLinks() {
		if w.condition(at, link.Forward).Kind != link.Up || w.condition(at, link.Reverse).Kind != link.Up {
			all = append(all, at)
		}
	}
	return all
}

// wires are all links between processes on which a relay can stand.
func (w *Emulator) processLinks() (all []ProcessLink) {
	for g := range w.gateways {
		all = append(all, ProcessLink{Endpoint{scenario.Operators, 0}, Endpoint{scenario.Gateways, g}})
	}
	for k := range w.scenario.Fleet.ListServices {
		to := Endpoint{scenario.Lists, k}
		for g := range w.gateways {
			all = append(all, ProcessLink{Endpoint{scenario.Gateways, g}, to})
		}
		if w.scenario.Fleet.Group {
			all = append(all, ProcessLink{Endpoint{scenario.Backends, 0}, to})
			for other := range w.scenario.Fleet.ListServices {
				if other != k {
					all = append(all, ProcessLink{Endpoint{scenario.Lists, other}, to})
				}
			}
			continue
		}
		if k == 0 {
			all = append(all, ProcessLink{Endpoint{scenario.Backends, 0}, to})
			for other := 1; other < w.scenario.Fleet.ListServices; other++ {
				all = append(all, ProcessLink{Endpoint{scenario.Lists, other}, to})
			}
		}
	}
	return all
}

// breakLink begins a link's fault, and plans its end.
func (w *Emulator) beginLinkFault(f *scenario.Fault) {
	l, _, _ := w.scenario.Link(f) // Check has read it
	b := &linkFault{LinkFault: l}
	w.linkFaults = append(w.linkFaults, b)
	end := w.now + f.For.D()
	w.updateRelays()
	w.schedule(end, func() {
		for i := range w.linkFaults {
			if w.linkFaults[i] == b {
				w.linkFaults = append(w.linkFaults[:i:i], w.linkFaults[i+1:]...)
				break
			}
		}
		w.emit(Mark{fmt.Sprintf("links from %s to %s are up again", f.From, f.To)})
		w.updateRelays()
	})
	if f.Flap == 0 {
		return
	}
	var swing func()
	swing = func() {
		if w.now < end {
			b.inactive = !b.inactive
			w.updateRelays()
			w.after(f.Flap.D(), swing)
		}
	}
	w.after(f.Flap.D(), swing)
}

// rewire tells the driver of every link that carries otherwise than before.
func (w *Emulator) updateRelays() {
	for _, at := range w.processLinks() {
		for _, way := range []link.Direction{link.Forward, link.Reverse} {
			how := w.condition(at, way)
			before, known := w.relayConditions[relayDirection{at, way}]
			if known && before == how || !known && how.Kind == link.Up {
				continue
			}
			w.relayConditions[relayDirection{at, way}] = how
			w.emit(SetRelayCondition{ProcessLink: at, Direction: way, Condition: how})
		}
	}
	w.updateLinks()
	w.reportReachability()
}

type relayDirection struct {
	ProcessLink
	direction link.Direction
}
