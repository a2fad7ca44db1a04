package main

import (
	"net"
	"syscall"
	"testing"
	"time"
	"unsafe"
)

// lastDataReceived returns when the system received the last data on a connection, however much later
// the test reads it.
func lastDataReceived(conn net.Conn) time.Time {
	now := time.Now()
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return now
	}
	var info syscall.TCPInfo
	raw.Control(func(descriptor uintptr) {
		size := uint32(unsafe.Sizeof(info))
		syscall.Syscall6(syscall.SYS_GETSOCKOPT, descriptor, syscall.IPPROTO_TCP, syscall.TCP_INFO,
			uintptr(unsafe.Pointer(&info)), uintptr(unsafe.Pointer(&size)), 0)
	})
	return now.Add(-time.Duration(info.Last_data_recv) * time.Millisecond)
}

// The time of the last data must be that of its arrival, not that of its reading.
func TestLastDataReceivedIsTheArrival(t *testing.T) {
	const unread = 300 * time.Millisecond
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	sender, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer sender.Close()
	receiver, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer receiver.Close()
	before := time.Now()
	sender.Write([]byte("data"))
	after := time.Now()
	time.Sleep(unread)
	receiver.Read(make([]byte, 8))
	arrived := lastDataReceived(receiver)
	if arrived.Before(before.Add(-transferTolerance)) || arrived.After(after.Add(transferTolerance)) {
		t.Errorf("arrived %v after the write began, which took %v", arrived.Sub(before), after.Sub(before))
	}
}
