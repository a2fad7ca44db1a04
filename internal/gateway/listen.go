package gateway

import (
	"fmt"
	"net"
	"os"
	"strconv"
)

// listenClients listens on the address for clients. If inherited is not empty, it uses the
// socket with that descriptor number instead, which the platform keeps open: all processes of
// a gateway then share one accept queue, which outlives each of them.
func listenClients(address, inherited string) (net.Listener, error) {
	if inherited == "" {
		return net.Listen("tcp", address)
	}
	fd, err := strconv.Atoi(inherited)
	if err != nil {
		return nil, fmt.Errorf("inherited socket: %w", err)
	}
	file := os.NewFile(uintptr(fd), "clients")
	if file == nil {
		return nil, fmt.Errorf("inherited socket: %d is no descriptor", fd)
	}
	defer file.Close() // the listener duplicates the descriptor
	listener, err := net.FileListener(file)
	if err != nil {
		return nil, fmt.Errorf("inherited socket: %w", err)
	}
	return listener, nil
}
