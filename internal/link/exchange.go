package link

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
)

// mostDatagram is the longest that an Exchange reads.
const maxDatagramBytes = 64 << 10

// Exchange is the network of datagrams between members: it has one address for each,
// at which the others send to it and from which they hear it, and one at which a
// datagram is for all. What comes is handed on, and whoever takes it decides what
// becomes of it.
type DatagramRelay struct {
	sockets []*net.UDPConn // by member; the last is that of all
	wg      sync.WaitGroup

	mu             sync.Mutex
	memberBySource map[netip.AddrPort]int // whose process sends from there
	addresses      []netip.AddrPort
}

// ToAll stands for all members as those whom a datagram is for.
const Broadcast = -1

// NewExchange listens at an address for each member, and at one more for all of them.
// It hands on what comes from the members' own addresses; each socket has a goroutine
// that calls take.
func NewDatagramRelay(addresses []string, members []netip.AddrPort, take func(from, to int, data []byte)) (*DatagramRelay, error) {
	if len(addresses) != len(members)+1 {
		return nil, fmt.Errorf("link: %d addresses for %d members and all", len(addresses), len(members))
	}
	x := &DatagramRelay{memberBySource: map[netip.AddrPort]int{}, addresses: append([]netip.AddrPort(nil), members...)}
	for n, at := range members {
		x.memberBySource[at] = n
	}
	for _, text := range addresses {
		at, err := netip.ParseAddrPort(text)
		var c *net.UDPConn
		if err == nil {
			c, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
		}
		if err != nil {
			x.Close()
			return nil, err
		}
		x.sockets = append(x.sockets, c)
	}
	for n, c := range x.sockets {
		to := n
		if n == len(members) {
			to = Broadcast
		}
		x.wg.Go(func() { x.read(c, to, take) })
	}
	return x, nil
}

// Address is where others send to a member.
func (x *DatagramRelay) Address(n int) string { return x.sockets[n].LocalAddr().String() }

func (x *DatagramRelay) read(c *net.UDPConn, to int, take func(from, to int, data []byte)) {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, source, err := c.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		x.mu.Lock()
		from, known := x.memberBySource[source]
		x.mu.Unlock()
		if known {
			take(from, to, append([]byte(nil), buf[:n]...))
		}
	}
}

// Also takes what comes from one more address for a member's, as of a second process
// that has its number.
func (x *DatagramRelay) AddSource(n int, at netip.AddrPort) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.memberBySource[at] = n
}

// Move delivers what is for a member to another address from now on.
func (x *DatagramRelay) SetAddress(n int, at netip.AddrPort) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.memberBySource[at], x.addresses[n] = n, at
}

// Deliver sends a member what another has sent. One that fails is lost, as datagrams
// may be.
func (x *DatagramRelay) Deliver(from, to int, data []byte) {
	x.mu.Lock()
	at := x.addresses[to]
	x.mu.Unlock()
	x.sockets[from].WriteToUDPAddrPort(data, at)
}

// Close ends it; nothing is taken when it has returned.
func (x *DatagramRelay) Close() {
	for _, c := range x.sockets {
		c.Close()
	}
	x.wg.Wait()
}
