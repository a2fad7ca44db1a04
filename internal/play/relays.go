package play

import (
	"net"
	"net/netip"

	"dunlintray/internal/world"
)

// relays are the network between gateways: one socket for each gateway, at which
// the others send to it and from which they hear it, and one for all of them.
type relays struct {
	e       *engine
	sockets []*net.UDPConn // the last is that of all
	from    map[netip.AddrPort]int
	to      []netip.AddrPort

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
	r := &relays{e: e, from: map[netip.AddrPort]int{}}
	for n := range e.s.Fleet.Gateways + 1 {
		c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(e.place.relay(n))))
		if err != nil {
			r.close()
			return nil, err
		}
		r.sockets = append(r.sockets, c)
		if n < e.s.Fleet.Gateways {
			at := netip.MustParseAddrPort(e.place.peer(n))
			r.from[at] = n
			r.to = append(r.to, at)
		}
	}
	for n, c := range r.sockets {
		to := n
		if n == e.s.Fleet.Gateways {
			to = world.Everyone
		}
		e.wg.Go(func() { r.read(c, to) })
	}
	return r, nil
}

func (r *relays) read(c *net.UDPConn, to int) {
	buf := make([]byte, 64<<10)
	for {
		n, source, err := c.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if from, known := r.from[source]; known {
			r.e.post(arrivedAt{world.Datagram{From: from, To: to, Bytes: n}, append([]byte(nil), buf[:n]...)})
		}
	}
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
		r.sockets[d.From].WriteToUDPAddrPort(r.bytes[d.Number%mostWaiting], r.to[d.To]) // one that fails is lost, as datagrams may be
	}
}

func (r *relays) close() {
	for _, c := range r.sockets {
		c.Close()
	}
}
