package world

import "time"

// peers is the network between gateways: datagrams come late or never.
type peers struct {
	sent  uint64
	inbox []quota // what each gateway takes in a second
}

// Everyone stands for all gateways as the receiver of a datagram.
const Everyone = -1

func (w *World) datagram(e Datagram) {
	w.peers.sent++
	w.Tally.Costs.Datagrams++
	if !w.Judge.Datagram(w.now, e.From, e.Bytes) {
		return
	}
	for to := range w.gateways {
		if to != e.To && (e.To != Everyone || to == e.From) {
			continue
		}
		here, there := w.gateways[e.From].zone, w.gateways[to].zone
		draw := func(salt uint64) float64 { return share(mix(w.s.Seed, w.peers.sent, uint64(to), salt)) }
		if here != there && (w.cuts[here] > 0 || w.cuts[there] > 0) || draw(1) < w.s.Network.PeerLoss {
			continue
		}
		passes, later := w.betweenGateways(e.From, to, draw(3))
		if !passes {
			continue
		}
		late := later + w.s.Network.Delay.D() + time.Duration(draw(2)*float64(w.s.Network.PeerDelay))
		if here != there {
			late += w.s.Network.CrossZone.D()
		}
		w.after(late, func() {
			if rate := w.s.Network.PeerInPerS; w.peers.inbox[to].take(w.now, 1, rate, max(1, rate)) {
				w.do(Deliver{Number: e.Number, From: e.From, To: to})
			}
		})
	}
}
