package world

import (
	"fmt"
	"time"

	"dunlintray/internal/link"
	"dunlintray/internal/referee"
	"dunlintray/internal/scenario"
)

// reportReachability tells the referee which gateways run and can reach one another from now on.
// It must be called after each change of that.
func (em *Emulator) reportReachability() {
	if !em.scenario.Fleet.Membership || !em.started {
		return
	}
	report := referee.Topology{Running: make([]bool, len(em.gateways)), Between: em.reachability}
	for n := range em.gateways {
		report.Running[n] = em.gateways[n].state == up && !em.gateways[n].frozen
	}
	report.ServicesReachable = len(em.zoneCuts) == 0 && len(em.linkFaults) == 0 && len(em.faultyRegistries) == 0 && em.counter.silentFaults == 0 && em.pausedLists == 0
	em.Referee.TopologyChanged(em.now, report)
}

// reachability returns how two gateways can reach each other with datagrams.
func (em *Emulator) reachability(a, b int) referee.Reachability {
	if em.separated(a, b) {
		return referee.Unreachable
	}
	forward, reverse := em.oneWayReachability(a, b), em.oneWayReachability(b, a)
	if forward == reverse {
		return forward
	}
	return referee.PartlyReachable
}

// oneWayReachability returns how datagrams from one gateway can reach another.
func (em *Emulator) oneWayReachability(from, to int) referee.Reachability {
	worst := referee.Reachable
	for _, condition := range em.gatewayConditions(from, to) {
		switch condition.Kind {
		case link.Up:
		case link.Dropped:
			return referee.Unreachable
		default:
			worst = referee.PartlyReachable
		}
	}
	return worst
}

// separated reports whether two gateways are in different zones of which at least one is cut off.
func (em *Emulator) separated(a, b int) bool {
	zoneOfA, zoneOfB := em.gateways[a].zone, em.gateways[b].zone
	return zoneOfA != zoneOfB && (em.zoneCuts[zoneOfA] > 0 || em.zoneCuts[zoneOfB] > 0)
}

// gatewayConditions returns the conditions that link faults put on datagrams from one gateway to
// another: those of the link as seen from the sender and from the receiver.
func (em *Emulator) gatewayConditions(from, to int) [2]link.Condition {
	if len(em.linkFaults) == 0 {
		return [2]link.Condition{{Kind: link.Up}, {Kind: link.Up}}
	}
	return [2]link.Condition{
		em.condition(ProcessLink{Endpoint{scenario.Gateways, from}, Endpoint{scenario.Gateways, to}}, link.Forward),
		em.condition(ProcessLink{Endpoint{scenario.Gateways, to}, Endpoint{scenario.Gateways, from}}, link.Reverse),
	}
}

// datagramDelays returns the delay that link faults add to each copy of a datagram that arrives.
func (em *Emulator) datagramDelays(from, to int, draw func() float64) []time.Duration {
	conditions := em.gatewayConditions(from, to)
	var delays []time.Duration
	for _, outgoing := range conditions[0].DatagramDelays(draw) {
		for _, incoming := range conditions[1].DatagramDelays(draw) {
			delays = append(delays, outgoing+incoming)
		}
	}
	return delays
}

// cutZones cuts zones off from the others, and reconnects them after duration.
func (em *Emulator) cutZones(zones []int, duration time.Duration) {
	adjust := func(delta int) {
		for _, z := range zones {
			if em.zoneCuts[z] += delta; em.zoneCuts[z] == 0 {
				delete(em.zoneCuts, z)
			}
		}
		em.updateLinks()
		em.updateListDelivery()
		em.reportReachability()
	}
	adjust(1)
	em.after(duration, func() { adjust(-1) })
}

// connectivityReported handles the connectivity that a gateway reports.
func (em *Emulator) connectivityReported(event Connectivity) {
	if previous := em.reported[event.Gateway]; previous != event.State && (previous != "" || event.State != "whole") {
		em.emit(Mark{fmt.Sprintf("n%d reports connectivity %s: %s", event.Gateway, event.State, event.Reason)})
	}
	em.reported[event.Gateway] = event.State
	em.Referee.Connectivity(em.now, event.Gateway, event.State, event.Present)
}
