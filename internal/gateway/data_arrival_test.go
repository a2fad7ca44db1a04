package gateway

import (
	"io"
	"net"
	"testing"
	"time"
)

// Guards against a backend that is told of more time than the client has left: the request had waited in the
// accept queue, or in the socket while the process did not run.
func TestRequestThatWaitedUnreadHasLessTime(t *testing.T) {
	t.Parallel()
	const waited, granularity = 200 * time.Millisecond, 20 * time.Millisecond
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	sentAt := time.Now()
	io.WriteString(client, requestText("GET", "lookup", ""))
	time.Sleep(waited) // what is tested is the time that passes
	server, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	conn := newReadAheadConn(server, nil, func([]byte) {})
	checkArrival := func(where string) {
		t.Helper()
		_, arrivedAt, err := conn.read(make([]byte, 4<<10))
		if late := arrivedAt.Sub(sentAt); err != nil || late < -granularity || late > granularity {
			t.Errorf("%s: read as having arrived %v after it was sent, %v", where, late, err)
		}
	}
	checkArrival("in the accept queue")
	sentAt = time.Now()
	io.WriteString(client, "x")
	time.Sleep(waited)
	checkArrival("in the socket")
}
