package gateway

import (
	"bytes"
	"errors"
	"io"
	"net"
	"testing"
	"testing/synctest"
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
	conn := newReadAheadConn(server, nil, func() bool { return false }, func([]byte) {})
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

// A client may send its next request, with a body of more than maxReadAhead, as soon as it has the response to
// the one before, while the handler of that still runs. It must not be taken for one of too many pipelined
// requests. While no response has begun it is.
func TestRequestBehindItsResponseIsRead(t *testing.T) {
	next := bytes.Repeat([]byte("x"), 2*maxReadAhead)
	for _, answered := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			client, server := net.Pipe()
			defer client.Close()
			conn := newReadAheadConn(server, nil, func() bool { return answered }, func([]byte) {})
			conn.start()
			go client.Write(next)
			synctest.Wait()
			read, err := io.ReadFull(conn, make([]byte, len(next)))
			if answered && err != nil {
				t.Errorf("behind its response: %d bytes, %v", read, err)
			}
			if !answered && !errors.Is(err, errOverflowed) {
				t.Errorf("before the response: %d bytes, %v; want %v", read, err, errOverflowed)
			}
		})
	}
}
