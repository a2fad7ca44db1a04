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
func NewDatagramRelay(addresses []string, members []netip.AddrPort, handle func(from, to int, data []byte)) (*DatagramRelay, error) {
	if len(addresses) != len(members)+1 {
		return nil, fmt.Errorf("link: %d addresses for %d members and all", len(addresses), len(members))
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

// Address is where others send to a member.
func (x *DatagramRelay) Address(member int) string { return x.sockets[member].LocalAddr().String() }

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

// Also takes what comes from one more address for a member's, as of a second process
// that has its number.
func (x *DatagramRelay) AddSource(member int, address netip.AddrPort) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.memberBySource[address] = member
}

// Move delivers what is for a member to another address from now on.
func (x *DatagramRelay) SetAddress(member int, address netip.AddrPort) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.memberBySource[address], x.addresses[member] = member, address
}

// Deliver sends a member what another has sent. One that fails is lost, as datagrams
// may be.
func (x *DatagramRelay) Deliver(from, to int, data []byte) {
	x.mu.Lock()
	address := x.addresses[to]
	x.mu.Unlock()
	x.sockets[from].WriteToUDPAddrPort(data, address)
}

// Close ends it; nothing is taken when it has returned.
func (x *DatagramRelay) Close() {
	for _, c := range x.sockets {
		c.Close()
	}
	x.wg.Wait()
}
