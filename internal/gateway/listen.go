package gateway

import (
	"fmt"
	"net"
	"os"
	"strconv"
)

// listenClients opens the clients' address or, where the platform holds its
// socket, takes the descriptor that it is inherited as. All processes of a
// gateway then accept from one queue, and it outlives each of them.
func listenClients(address, inherited string) (net.Listener, error) {
	if inherited == "" {
		return net.Listen("tcp", address)
	}
	fd, err := strconv.Atoi(inherited)
	if err != nil {
		return nil, fmt.Errorf("inherited socket: %w", err)
	}
	f := os.NewFile(uintptr(fd), "clients")
	if f == nil {
		return nil, fmt.Errorf("inherited socket: %d is no descriptor", fd)
	}
	defer f.Close() // the listener has its own
	l, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("inherited socket: %w", err)
	}
	return l, nil
}
