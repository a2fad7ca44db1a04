package play

import (
	"net"
	"testing"

	"dunlintray/internal/link"
)

// ended detects a connection that the other side has closed or reset, before anything read that.
func TestEndedDetectsUnreadCloseAndReset(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for name, c := range map[string]struct {
		do   func(net.Conn)
		want bool
	}{
		"nothing": {func(net.Conn) {}, false},
		"bytes":   {func(c net.Conn) { c.Write([]byte("GET")) }, false},
		"an end":  {func(c net.Conn) { c.Close() }, true},
		"a reset": {link.Abort, true},
	} {
		near, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		far, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		c.do(near)
		if got := (&endpointConn{Conn: far}).ended(); got != c.want {
			t.Errorf("after %s: ended is %v, want %v", name, got, c.want)
		}
		near.Close()
		far.Close()
	}
}
