package world

import (
	"fmt"
	"time"

	"dunlintray/internal/link"
	"dunlintray/internal/referee"
	"dunlintray/internal/scenario"
)

// ground tells the referee what gateways can reach of each other from now on. It has
// to be called after each change of that.
func (em *Emulator) reportReachability() {
	if !em.scenario.Fleet.Membership || !em.started {
		return
	}
	report := referee.Ground{Running: make([]bool, len(em.gateways)), Between: em.reachability}
	for n := range em.gateways {
		report.Running[n] = em.gateways[n].state == up && !em.gateways[n].frozen
	}
	report.Well = len(em.zoneCuts) == 0 && len(em.linkFaults) == 0 && len(em.faultyServices) == 0 && em.counter.silentFaults == 0 && em.pausedLists == 0
	em.Referee.Ground(em.now, report)
}

// between is what datagrams do between two gateways.
func (em *Emulator) reachability(a, b int) referee.Reach {
	if em.separated(a, b) {
		return referee.Apart
	}
	forward, reverse := em.oneWayReachability(a, b), em.oneWayReachability(b, a)
	if forward == reverse {
		return forward
	}
	return referee.Doubtful
}

// oneWay is what becomes of those from one to another.
func (em *Emulator) oneWayReachability(from, to int) referee.Reach {
	worst := referee.Joined
	for _, condition := range em.gatewayConditions(from, to) {
		switch condition.Kind {
		case link.Up:
		case link.Dropped:
			return referee.Apart
		default:
			worst = referee.Doubtful
		}
	}
	return worst
}

// parted says whether two gateways stand in zones of which one is cut off.
func (em *Emulator) separated(a, b int) bool {
	zoneOfA, zoneOfB := em.gateways[a].zone, em.gateways[b].zone
	return zoneOfA != zoneOfB && (em.zoneCuts[zoneOfA] > 0 || em.zoneCuts[zoneOfB] > 0)
}

// hows are what faults of links do to what one gateway sends another.
func (em *Emulator) gatewayConditions(from, to int) [2]link.Condition {
	if len(em.linkFaults) == 0 {
		return [2]link.Condition{{Kind: link.Up}, {Kind: link.Up}}
	}
	return [2]link.Condition{
		em.condition(ProcessLink{Endpoint{scenario.Gateways, from}, Endpoint{scenario.Gateways, to}}, link.Forward),
		em.condition(ProcessLink{Endpoint{scenario.Gateways, to}, Endpoint{scenario.Gateways, from}}, link.Reverse),
	}
}

// betweenGateways is what those do to one datagram: how much later it comes, for
// each time that it does.
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

// cut cuts zones off, and plans their return.
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

// connectivity handles the connectivity that a gateway reports.
func (em *Emulator) connectivityReported(event Connectivity) {
	if previous := em.reported[event.Gateway]; previous != event.State && (previous != "" || event.State != "whole") {
		em.emit(Mark{fmt.Sprintf("n%d stands %s: %s", event.Gateway, event.State, event.Reason)})
	}
	em.reported[event.Gateway] = event.State
	em.Referee.Connectivity(em.now, event.Gateway, event.State, event.Present)
}
