package world

import (
	"fmt"

	"dunlintray/internal/link"
	"dunlintray/internal/scenario"
)

// ProcessLink is a link between two processes, on which the driver can run a relay. From is the
// process that connects.
type ProcessLink struct{ From, To Endpoint }

// Endpoint is a process at one end of a link.
type Endpoint struct {
	Kind   scenario.ActorKind
	Number int // 0 for all backends together
}

// String returns the name of the process in scenarios, such as "n0", "list1" or "counter".
func (e Endpoint) String() string {
	switch e.Kind {
	case scenario.Gateways:
		return fmt.Sprintf("n%d", e.Number)
	case scenario.Registries:
		return fmt.Sprintf("list%d", e.Number)
	case scenario.Backends:
		return "backends"
	case scenario.Operators:
		return "operators"
	}
	return "counter"
}

// String returns the names of both processes, such as "n0 to list1".
func (l ProcessLink) String() string { return l.From.String() + " to " + l.To.String() }

// linkFault is an active fault of links.
type linkFault struct {
	scenario.LinkFault
	inactive bool // between the active phases of a flapping fault
}

// matches reports whether a process belongs to an actor.
func (em *Emulator) matches(actor scenario.Actor, endpoint Endpoint) bool {
	if actor.Kind != endpoint.Kind || actor.Number >= 0 && actor.Number != endpoint.Number {
		return false
	}
	switch {
	case actor.Zone < 0:
		return true
	case endpoint.Kind == scenario.Gateways:
		return em.gateways[endpoint.Number].zone == actor.Zone
	}
	return em.backends[endpoint.Number].zone == actor.Zone
}

// condition returns the current condition of one direction of a link. Of several active faults
// the latest applies.
func (em *Emulator) condition(processLink ProcessLink, direction link.Direction) link.Condition {
	condition := link.Condition{Kind: link.Up}
	for _, fault := range em.linkFaults {
		if !fault.inactive && em.matches(fault.From, processLink.From) && em.matches(fault.To, processLink.To) && (direction == link.Forward && fault.Forward || direction == link.Reverse && fault.Backward) {
			condition = fault.Condition
		}
	}
	return condition
}

// RelayedLinks returns the links between processes that need a relay in a scenario, since one of
// its faults affects them.
func RelayedLinks(s *scenario.Scenario) (links []ProcessLink) {
	em := &Emulator{scenario: s, gateways: make([]emulatedGateway, s.Fleet.Gateways)}
	for g := range em.gateways {
		em.gateways[g].zone = g % len(s.Fleet.Zones)
	}
	for i := range s.Faults {
		if scenario.FaultKinds[s.Faults[i].Kind].IsLink {
			parsed, _, _ := s.Link(&s.Faults[i]) // Check has parsed it
			em.linkFaults = append(em.linkFaults, &linkFault{LinkFault: parsed})
		}
	}
	for _, processLink := range em.processLinks() {
		if em.condition(processLink, link.Forward).Kind != link.Up || em.condition(processLink, link.Reverse).Kind != link.Up {
			links = append(links, processLink)
		}
	}
	return links
}

// processLinks returns all links between processes that can have a relay.
func (em *Emulator) processLinks() (all []ProcessLink) {
	for g := range em.gateways {
		all = append(all, ProcessLink{Endpoint{scenario.Operators, 0}, Endpoint{scenario.Gateways, g}})
	}
	for registry := range em.scenario.Fleet.ListServices {
		to := Endpoint{scenario.Registries, registry}
		for g := range em.gateways {
			all = append(all, ProcessLink{Endpoint{scenario.Gateways, g}, to})
		}
		if em.scenario.Fleet.Group {
			all = append(all, ProcessLink{Endpoint{scenario.Backends, 0}, to})
			for other := range em.scenario.Fleet.ListServices {
				if other != registry {
					all = append(all, ProcessLink{Endpoint{scenario.Registries, other}, to})
				}
			}
			continue
		}
		if registry == 0 {
			all = append(all, ProcessLink{Endpoint{scenario.Backends, 0}, to})
			for other := 1; other < em.scenario.Fleet.ListServices; other++ {
				all = append(all, ProcessLink{Endpoint{scenario.Registries, other}, to})
			}
		}
	}
	return all
}

// beginLinkFault starts a fault of links and schedules its end.
func (em *Emulator) beginLinkFault(fault *scenario.Fault) {
	parsed, _, _ := em.scenario.Link(fault) // Check has parsed it
	active := &linkFault{LinkFault: parsed}
	em.linkFaults = append(em.linkFaults, active)
	end := em.now + fault.For.Std()
	em.updateRelays()
	em.schedule(end, func() {
		for i := range em.linkFaults {
			if em.linkFaults[i] == active {
				em.linkFaults = append(em.linkFaults[:i:i], em.linkFaults[i+1:]...)
				break
			}
		}
		em.emit(Mark{fmt.Sprintf("links from %s to %s are up again", fault.From, fault.To)})
		em.updateRelays()
	})
	if fault.Flap == 0 {
		return
	}
	var toggle func()
	toggle = func() {
		if em.now < end {
			active.inactive = !active.inactive
			em.updateRelays()
			em.after(fault.Flap.Std(), toggle)
		}
	}
	em.after(fault.Flap.Std(), toggle)
}

// updateRelays sends the driver the condition of every link direction that has changed.
func (em *Emulator) updateRelays() {
	for _, processLink := range em.processLinks() {
		for _, direction := range []link.Direction{link.Forward, link.Reverse} {
			condition := em.condition(processLink, direction)
			previous, known := em.relayConditions[relayDirection{processLink, direction}]
			if known && previous == condition || !known && condition.Kind == link.Up {
				continue
			}
			em.relayConditions[relayDirection{processLink, direction}] = condition
			em.emit(SetRelayCondition{ProcessLink: processLink, Direction: direction, Condition: condition})
		}
	}
	em.updateLinks()
	em.reportReachability()
}

// relayDirection is one direction of a link.
type relayDirection struct {
	ProcessLink
	direction link.Direction
}
