// Package testnet gives tests addresses that stay free while the process that listens there is
// killed and restarted.
package testnet

import (
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
)

// Listener returns a listener on a free port. It fails the test if there is none. A test that
// listens itself must use it in place of TCP, whose port may be taken before the test listens.
//
// The host is a random one of 127.0.0.0/8. A free port of 127.0.0.1 may soon be used by another
// test, or as the local port of any connection on the machine, which starts from 127.0.0.1.
func Listener(t testing.TB) *net.TCPListener {
	t.Helper()
	listener, err := net.Listen("tcp4", host()+":0")
	if err != nil {
		t.Fatal(err)
	}
	return listener.(*net.TCPListener)
}

// TCP returns an address at which nothing listens, on a host like that of Listener. It fails the
// test if there is none.
func TCP(t testing.TB) string {
	t.Helper()
	listener := Listener(t)
	defer listener.Close()
	return listener.Addr().String()
}

// AnyPort returns an address with a random host as that of Listener, for a test that listens on a
// port of the system's choice.
func AnyPort() string { return host() + ":0" }

// UDP returns an address at which no socket receives datagrams. It fails the test if there is none.
func UDP(t testing.TB) string {
	t.Helper()
	c, err := net.ListenPacket("udp4", host()+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	return c.LocalAddr().String()
}

// host returns a random loopback address.
func host() string {
	n := 1<<16 + rand.IntN(1<<24-1<<17) // from 127.1.0.0 to 127.254.255.255
	return fmt.Sprintf("127.%d.%d.%d", n>>16, n>>8&0xff, n&0xff)
}
