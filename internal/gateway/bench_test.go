package gateway

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
)

// serveConnections listens until the benchmark ends, and serves each connection in a goroutine that
// then closes it.
func serveConnections(b *testing.B, serve func(net.Conn)) net.Listener {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn)
			}()
		}
	}()
	return listener
}

// pipelineBackend starts a backend that answers every request with the same bytes, without
// allocating.
func pipelineBackend(b *testing.B, bodyLength int, response []byte) *testServer {
	b.Helper()
	return &testServer{listener: serveConnections(b, func(conn net.Conn) {
		buffer := make([]byte, 64<<10)
		for filled := 0; ; {
			read, err := conn.Read(buffer[filled:])
			if filled += read; err != nil {
				return
			}
			if head := bytes.Index(buffer[:filled], []byte("\r\n\r\n")); head >= 0 && filled >= head+4+bodyLength {
				filled = 0
				if _, err := conn.Write(response); err != nil {
					return
				}
			}
		}
	})}
}

// BenchmarkShort measures the allocations of the gateway for one request with short bodies.
// Client and backend allocate nothing.
func BenchmarkShort(b *testing.B) {
	for _, test := range []struct{ name, request, response string }{
		{"get", requestText("GET", "lookup", ""), "Content-Length: 300\r\n\r\n" + strings.Repeat("x", 300)},
		{"post", requestText("POST", "booking", strings.Repeat("x", 300)), "Content-Length: 300\r\n\r\n" + strings.Repeat("x", 300)},
		{"post20k", requestText("POST", "booking", strings.Repeat("x", 20<<10)),
			"Content-Length: 20480\r\n\r\n" + strings.Repeat("x", 20<<10)},
		{"chunked", requestText("POST", "booking", "", "Transfer-Encoding", "chunked") + "12c\r\n" + strings.Repeat("x", 300) + "\r\n0\r\n\r\n",
			"Transfer-Encoding: chunked\r\n\r\n12c\r\n" + strings.Repeat("x", 300) + "\r\n0\r\n\r\n"},
	} {
		b.Run(test.name, func(b *testing.B) {
			_, body, _ := strings.Cut(test.request, "\r\n\r\n")
			gateway := newTestGateway(b, pipelineBackend(b, strings.Count(body, "x"), []byte("HTTP/1.1 200 OK\r\n"+test.response)))
			conn, err := net.Dial("tcp", gateway.address)
			if err != nil {
				b.Fatal(err)
			}
			defer conn.Close()
			request, buffer := []byte(test.request), make([]byte, 64<<10)
			id := request[bytes.Index(request, []byte(idHeader+": "))+len(idHeader+": "):][:16]
			_, want, _ := strings.Cut(test.response, "\r\n\r\n")
			b.ReportAllocs()
			b.ResetTimer()
			for number := range b.N {
				hex.Encode(id, binary.BigEndian.AppendUint64(nil, uint64(number)+1<<32)) // a repeated request would be refused
				if _, err := conn.Write(request); err != nil {
					b.Fatal(err)
				}
				for filled := 0; ; {
					read, err := conn.Read(buffer[filled:])
					if filled += read; err != nil {
						b.Fatal(err)
					}
					if head := bytes.Index(buffer[:filled], []byte("\r\n\r\n")); head >= 0 &&
						(filled == head+4+len(want) || bytes.HasSuffix(buffer[:filled], []byte("x\r\n0\r\n\r\n")) || filled == head+4+300) {
						break
					}
				}
			}
		})
	}
}

// BenchmarkLongAnswer measures the allocations per megabyte of a long response.
func BenchmarkLongAnswer(b *testing.B) {
	for _, chunked := range []bool{false, true} {
		b.Run(fmt.Sprintf("chunked=%t", chunked), func(b *testing.B) {
			backend := newTestServer(b)
			gateway := newTestGateway(b, backend)
			piece, framing, end := bytes.Repeat([]byte("x"), 1<<20), fmt.Sprintf("Content-Length: %d\r\n\r\n", b.N<<20), ""
			if chunked {
				piece = append([]byte("100000\r\n"), append(piece, '\r', '\n')...)
				framing, end = "Transfer-Encoding: chunked\r\n\r\n", "0\r\n\r\n"
			}
			conn := gateway.send(b, requestText("GET", "lookup", ""))
			upstream, reader := backend.accept(b)
			readRequest(b, reader)
			buffer := make([]byte, 256<<10)
			b.ReportAllocs()
			b.SetBytes(1 << 20)
			b.ResetTimer()
			go func() {
				io.WriteString(upstream, "HTTP/1.1 200 OK\r\n"+framing)
				for range b.N {
					upstream.Write(piece)
				}
				io.WriteString(upstream, end)
			}()
			for received := 0; received < b.N<<20; {
				n, err := conn.Read(buffer)
				if received += n; err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkIdle measures the memory of a client connection that is idle after a request.
func BenchmarkIdle(b *testing.B) {
	gateway := newTestGateway(b, pipelineBackend(b, 0, []byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")))
	memoryInUse := func() int64 {
		runtime.GC()
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return int64(stats.HeapAlloc + stats.StackInuse)
	}
	const connCount = 400
	var conns []net.Conn
	buffer := make([]byte, 4096)
	request := []byte(requestText("GET", "lookup", ""))
	connect := func() {
		conn, err := net.Dial("tcp", gateway.address)
		if err != nil {
			b.Fatal(err)
		}
		conns = append(conns, conn)
		conn.Write(request)
		conn.Read(buffer)
	}
	for range 20 {
		connect()
	}
	before := memoryInUse()
	for range connCount {
		connect()
	}
	b.ReportMetric(float64(memoryInUse()-before)/connCount, "B/conn")
	for _, conn := range conns {
		conn.Close()
	}
}
