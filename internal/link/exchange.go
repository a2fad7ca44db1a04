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
	r := &DatagramRelay{memberBySource: map[netip.AddrPort]int{}, addresses: append([]netip.AddrPort(nil), members...)}
	for member, address := range members {
		r.memberBySource[address] = member
	}
	for _, text := range addresses {
		address, err := netip.ParseAddrPort(text)
		var socket *net.UDPConn
		if err == nil {
			socket, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
		}
		if err != nil {
			r.Close()
			return nil, err
		}
		r.sockets = append(r.sockets, socket)
	}
	for member, socket := range r.sockets {
		to := member
		if member == len(members) {
			to = Broadcast
		}
		r.wg.Go(func() { r.read(socket, to, handle) })
	}
	return r, nil
}

// Address returns the address at which the others send to a member.
func (r *DatagramRelay) Address(member int) string { return r.sockets[member].LocalAddr().String() }

// read passes datagrams from members to handle until the socket is closed.
func (r *DatagramRelay) read(socket *net.UDPConn, to int, handle func(from, to int, data []byte)) {
	buf := make([]byte, maxDatagramBytes)
	for {
		size, source, err := socket.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		r.mu.Lock()
		from, known := r.memberBySource[source]
		r.mu.Unlock()
		if known {
			handle(from, to, append([]byte(nil), buf[:size]...))
		}
	}
}

// AddSource also accepts datagrams from another address as those of a member, such as from a
// second process with the same member number.
func (r *DatagramRelay) AddSource(member int, address netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.memberBySource[address] = member
}

// SetAddress changes the address of a member's process.
func (r *DatagramRelay) SetAddress(member int, address netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.memberBySource[address], r.addresses[member] = member, address
}

// Deliver sends a datagram of one member to another. A failure to send is not reported.
func (r *DatagramRelay) Deliver(from, to int, data []byte) {
	r.mu.Lock()
	address := r.addresses[to]
	r.mu.Unlock()
	r.sockets[from].WriteToUDPAddrPort(data, address)
}

// Close closes all sockets. After it has returned, the handler is not called.
func (r *DatagramRelay) Close() {
	for _, c := range r.sockets {
		c.Close()
	}
	r.wg.Wait()
}
