package world

import "time"

// peers is the network between gateways: datagrams come late or never.
type peers struct {
	sent          uint64
	receiveQuotas []quota // what each gateway takes in a second
}

// Everyone stands for all gateways as the receiver of a datagram.
const Broadcast = -1

func (w *Emulator) datagramSent(e Datagram) {
	w.peers.sent++
	w.Tally.Costs.Datagrams++
	if !w.Referee.Datagram(w.now, e.From, e.Bytes) {
		return
	}
	for to := range w.gateways {
		if to != e.To && (e.To != Broadcast || to == e.From) {
			continue
		}
		salt := uint64(0)
		draw := func() float64 { salt++; return unitFraction(hash(w.scenario.Seed, w.peers.sent, uint64(to), salt)) }
		if draw() < w.scenario.Network.PeerLoss || w.separated(e.From, to) {
			continue
		}
		late := w.scenario.Network.Delay.D() + time.Duration(draw()*float64(w.scenario.Network.PeerDelay))
		if w.gateways[e.From].zone != w.gateways[to].zone {
			late += w.scenario.Network.CrossZone.D()
		}
		for _, later := range w.datagramDelays(e.From, to, draw) {
			w.after(late+later, func() {
				if rate := w.scenario.Network.PeerInPerS; w.peers.receiveQuotas[to].take(w.now, 1, rate, max(1, rate)) {
					w.emit(Deliver{Number: e.Number, From: e.From, To: to})
				}
			})
		}
	}
}
