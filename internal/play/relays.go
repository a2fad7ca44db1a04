package play

import (
	"net/netip"

	"dunlintray/internal/link"
	"dunlintray/internal/world"
)

// datagramRelays is the network between gateways: the exchange that datagramRelays their datagrams, and
// the contents of those in transit.
type datagramRelays struct {
	*link.DatagramRelay

	// Owned by the loop:
	bytes      [maxDatagramsInTransit][]byte
	lastNumber uint64
}

// maxDatagramsInTransit is the size of the ring of datagrams in transit; older ones are lost.
const maxDatagramsInTransit = 1 << 12

// relayedDatagram is the emulator's event of a datagram, with its contents.
type relayedDatagram struct {
	world.Datagram
	data []byte
}

func newDatagramRelays(e *engine) (*datagramRelays, error) {
	var addresses []string
	var members []netip.AddrPort
	for n := range e.scenario.Fleet.Gateways + 1 {
		addresses = append(addresses, e.addresses.datagramRelay(n))
		if n < e.scenario.Fleet.Gateways {
			members = append(members, netip.MustParseAddrPort(e.addresses.peer(n)))
		}
	}
	x, err := link.NewDatagramRelay(addresses, members, func(from, to int, data []byte) {
		if to == link.Broadcast {
			to = world.Broadcast
		}
		e.post(relayedDatagram{world.Datagram{From: from, To: to, Bytes: len(data)}, data})
	})
	return &datagramRelays{DatagramRelay: x}, err
}

// store keeps the contents of a datagram, and returns the event with its number.
func (r *datagramRelays) store(a relayedDatagram) world.Datagram {
	r.lastNumber++
	r.bytes[r.lastNumber%maxDatagramsInTransit] = a.data
	a.Number = r.lastNumber
	return a.Datagram
}

// deliver sends a stored datagram to its destination, unless newer ones have replaced it.
func (r *datagramRelays) deliver(d world.Deliver) {
	if r.lastNumber-d.Number < maxDatagramsInTransit {
		r.Deliver(d.From, d.To, r.bytes[d.Number%maxDatagramsInTransit])
	}
}
