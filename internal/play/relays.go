package play

import (
	"net/netip"

	"dunlintray/internal/link"
	"dunlintray/internal/world"
)

// relays are the network between gateways: the exchange that their datagrams pass
// through, and those that are under way.
type relays struct {
	*link.DatagramRelay

	// Of the loop:
	bytes [mostWaiting][]byte
	next  uint64
}

// Datagrams under way are kept in a ring; what is older than so many is lost.
const mostWaiting = 1 << 12

// arrivedAt is a datagram with its bytes, on its way to the loop.
type arrivedAt struct {
	world.Datagram
	text []byte
}

func newRelays(e *engine) (*relays, error) {
	var addresses []string
	var members []netip.AddrPort
	for n := range e.s.Fleet.Gateways + 1 {
		addresses = append(addresses, e.place.relay(n))
		if n < e.s.Fleet.Gateways {
			members = append(members, netip.MustParseAddrPort(e.place.peer(n)))
		}
	}
	x, err := link.NewDatagramRelay(addresses, members, func(from, to int, data []byte) {
		if to == link.Broadcast {
			to = world.Broadcast
		}
		e.post(arrivedAt{world.Datagram{From: from, To: to, Bytes: len(data)}, data})
	})
	return &relays{DatagramRelay: x}, err
}

// keep numbers a datagram.
func (r *relays) keep(a arrivedAt) world.Datagram {
	r.next++
	r.bytes[r.next%mostWaiting] = a.text
	a.Number = r.next
	return a.Datagram
}

func (r *relays) deliver(d world.Deliver) {
	if r.next-d.Number < mostWaiting {
		r.Deliver(d.From, d.To, r.bytes[d.Number%mostWaiting])
	}
}
