package play

import (
	"net/netip"

	"dunlintray/internal/link"
	"dunlintray/internal/world"
)

// datagramRelays is the network between gateways: the relay of their datagrams, and the contents
// of those in transit.
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
	for gateway := range e.scenario.Fleet.Gateways + 1 {
		addresses = append(addresses, e.addresses.datagramRelay(gateway))
		if gateway < e.scenario.Fleet.Gateways {
			members = append(members, netip.MustParseAddrPort(e.addresses.peer(gateway)))
		}
	}
	relay, err := link.NewDatagramRelay(addresses, members, func(from, to int, data []byte) {
		if to == link.Broadcast {
			to = world.Broadcast
		}
		e.post(relayedDatagram{world.Datagram{From: from, To: to, Bytes: len(data)}, data})
	})
	return &datagramRelays{DatagramRelay: relay}, err
}

// store keeps the contents of a datagram, and returns the event with its number.
func (r *datagramRelays) store(datagram relayedDatagram) world.Datagram {
	r.lastNumber++
	r.bytes[r.lastNumber%maxDatagramsInTransit] = datagram.data
	datagram.Number = r.lastNumber
	return datagram.Datagram
}

// deliver sends a stored datagram to its destination, unless newer ones have replaced it.
func (r *datagramRelays) deliver(delivery world.Deliver) {
	if r.lastNumber-delivery.Number < maxDatagramsInTransit {
		r.Deliver(delivery.From, delivery.To, r.bytes[delivery.Number%maxDatagramsInTransit])
	}
}
