package world

import "time"

// peers is the datagram network between gateways.
type peers struct {
	sent          uint64
	receiveQuotas []quota // by gateway, the datagrams that it can still receive
}

// Broadcast addresses a datagram to all gateways but its sender.
const Broadcast = -1

func (em *Emulator) datagramSent(event Datagram) {
	em.peers.sent++
	em.Tally.Costs.Datagrams++
	if !em.Referee.Datagram(em.now, event.From, event.Bytes) {
		return
	}
	for to := range em.gateways {
		if to != event.To && (event.To != Broadcast || to == event.From) {
			continue
		}
		salt := uint64(0)
		draw := func() float64 { salt++; return unitFraction(hash(em.scenario.Seed, em.peers.sent, uint64(to), salt)) }
		if draw() < em.scenario.Network.PeerLoss || em.separated(event.From, to) {
			continue
		}
		delay := em.scenario.Network.Delay.Std() + time.Duration(draw()*float64(em.scenario.Network.PeerDelay))
		if em.gateways[event.From].zone != em.gateways[to].zone {
			delay += em.scenario.Network.CrossZone.Std()
		}
		for _, extraDelay := range em.datagramDelays(event.From, to, draw) {
			em.after(delay+extraDelay, func() {
				if rate := em.scenario.Network.PeerInPerS; em.peers.receiveQuotas[to].take(em.now, 1, rate, max(1, rate)) {
					em.emit(Deliver{Number: event.Number, From: event.From, To: to})
				}
			})
		}
	}
}
