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
func (w *Emulator) reportReachability() {
	if !w.scenario.Fleet.Membership || !w.started {
		return
	}
	g := referee.Ground{Running: make([]bool, len(w.gateways)), Between: w.reachability}
	for n := range w.gateways {
		g.Running[n] = w.gateways[n].state == up && !w.gateways[n].frozen
	}
	g.Well = len(w.zoneCuts) == 0 && len(w.linkFaults) == 0 && len(w.faultyServices) == 0 && w.counter.silentFaults == 0 && w.pausedLists == 0
	w.Referee.Ground(w.now, g)
}

// between is what datagrams do between two gateways.
func (w *Emulator) reachability(a, b int) referee.Reach {
	if w.separated(a, b) {
		return referee.Apart
	}
	there, back := w.oneWayReachability(a, b), w.oneWayReachability(b, a)
	if there == back {
		return there
	}
	return referee.Doubtful
}

// oneWay is what becomes of those from one to another.
func (w *Emulator) oneWayReachability(from, to int) referee.Reach {
	worst := referee.Joined
	for _, how := range w.gatewayConditions(from, to) {
		switch how.Kind {
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
func (w *Emulator) separated(a, b int) bool {
	here, there := w.gateways[a].zone, w.gateways[b].zone
	return here != there && (w.zoneCuts[here] > 0 || w.zoneCuts[there] > 0)
}

// hows are what faults of links do to what one gateway sends another.
func (w *Emulator) gatewayConditions(from, to int) [2]link.Condition {
	if len(w.linkFaults) == 0 {
		return [2]link.Condition{{Kind: link.Up}, {Kind: link.Up}}
	}
	return [2]link.Condition{
		w.condition(ProcessLink{Endpoint{scenario.Gateways, from}, Endpoint{scenario.Gateways, to}}, link.Forward),
		w.condition(ProcessLink{Endpoint{scenario.Gateways, to}, Endpoint{scenario.Gateways, from}}, link.Reverse),
	}
}

// betweenGateways is what those do to one datagram: how much later it comes, for
// each time that it does.
func (w *Emulator) datagramDelays(from, to int, draw func() float64) []time.Duration {
	hows := w.gatewayConditions(from, to)
	var all []time.Duration
	for _, first := range hows[0].DatagramDelays(draw) {
		for _, second := range hows[1].DatagramDelays(draw) {
			all = append(all, first+second)
		}
	}
	return all
}

// cut cuts zones off, and plans their return.
func (w *Emulator) cutZones(zones []int, d time.Duration) {
	change := func(by int) {
		for _, z := range zones {
			if w.zoneCuts[z] += by; w.zoneCuts[z] == 0 {
				delete(w.zoneCuts, z)
			}
		}
		w.updateLinks()
		w.updateListDelivery()
		w.reportReachability()
	}
	change(1)
	w.after(d, func() { change(-1) })
}

// connectivity handles the connectivity that a gateway reports.
func (w *Emulator) connectivityReported(e Connectivity) {
	if before := w.reported[e.Gateway]; before != e.State && (before != "" || e.State != "whole") {
		w.emit(Mark{fmt.Sprintf("n%d stands %s: %s", e.Gateway, e.State, e.Reason)})
	}
	w.reported[e.Gateway] = e.State
	w.Referee.Connectivity(w.now, e.Gateway, e.State, e.Present)
}
