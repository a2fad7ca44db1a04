package link

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
)

// maxDatagramBytes is the maximum size of a datagram that a DatagramRelay reads.
const maxDatagramBytes = 64 << 10

// DatagramRelay relays UDP datagrams between members. It has one address per member, to which the
// others send for that member and from which they receive what it sends, and one address for
// broadcasts. Received datagrams go to a handler, which decides whether and when to deliver them.
type DatagramRelay struct {
	sockets []*net.UDPConn // by member; the last is that for broadcasts
	wg      sync.WaitGroup

	mu             sync.Mutex
	memberBySource map[netip.AddrPort]int // the member whose process sends from an address
	addresses      []netip.AddrPort       // by member, where its process receives
}

// Broadcast is the receiver of a datagram for all members.
const Broadcast = -1

// NewDatagramRelay listens at one address for each member and, last, one for broadcasts. members
// holds the addresses of the members' processes. One goroutine per socket calls handle with each
// datagram that comes from a member's process; handle owns data. It returns an error if it cannot
// listen at an address.
func NewDatagramRelay(addresses []string, members []netip.AddrPort, handle func(from, to int, data []byte)) (*DatagramRelay, error) {
	if len(addresses) != len(members)+1 {
		return nil, fmt.Errorf("link: %d addresses for %d members; want one per member and one for broadcasts", len(addresses), len(members))
	}
	x := &DatagramRelay{memberBySource: map[netip.AddrPort]int{}, addresses: append([]netip.AddrPort(nil), members...)}
	for member, address := range members {
		x.memberBySource[address] = member
	}
	for _, text := range addresses {
		address, err := netip.ParseAddrPort(text)
		var socket *net.UDPConn
		if err == nil {
			socket, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
		}
		if err != nil {
			x.Close()
			return nil, err
		}
		x.sockets = append(x.sockets, socket)
	}
	for member, socket := range x.sockets {
		to := member
		if member == len(members) {
			to = Broadcast
		}
		x.wg.Go(func() { x.read(socket, to, handle) })
	}
	return x, nil
}

// Address returns the address at which the others send to a member.
func (x *DatagramRelay) Address(member int) string { return x.sockets[member].LocalAddr().String() }

// read passes datagrams from members to handle until the socket is closed.
func (x *DatagramRelay) read(socket *net.UDPConn, to int, handle func(from, to int, data []byte)) {
	buf := make([]byte, maxDatagramBytes)
	for {
		size, source, err := socket.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		x.mu.Lock()
		from, known := x.memberBySource[source]
		x.mu.Unlock()
		if known {
			handle(from, to, append([]byte(nil), buf[:size]...))
		}
	}
}

// AddSource also accepts datagrams from another address as those of a member, such as from a
// second process with the same member number.
func (x *DatagramRelay) AddSource(member int, address netip.AddrPort) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.memberBySource[address] = member
}

// SetAddress changes the address of a member's process.
func (x *DatagramRelay) SetAddress(member int, address netip.AddrPort) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.memberBySource[address], x.addresses[member] = member, address
}

// Deliver sends a datagram of one member to another. A failure to send is not reported.
func (x *DatagramRelay) Deliver(from, to int, data []byte) {
	x.mu.Lock()
	address := x.addresses[to]
	x.mu.Unlock()
	x.sockets[from].WriteToUDPAddrPort(data, address)
}

// Close closes all sockets. After it has returned, the handler is not called.
func (x *DatagramRelay) Close() {
	for _, c := range x.sockets {
		c.Close()
	}
	x.wg.Wait()
}
