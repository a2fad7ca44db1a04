package gateway

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
)

// pipeline answers every request on every connection with the same bytes and
// allocates nothing for it.
func pipeline(b *testing.B, request int, answer []byte) *peer {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := make([]byte, 64<<10)
				for n := 0; ; {
					m, err := c.Read(in[n:])
					if n += m; err != nil {
						return
					}
					if head := bytes.Index(in[:n], []byte("\r\n\r\n")); head >= 0 && n >= head+4+request {
						n = 0
						if _, err := c.Write(answer); err != nil {
							return
						}
					}
				}
			}()
		}
	}()
	return &peer{listener: l}
}

// BenchmarkShort counts what one request with short bodies allocates in all of
// the gateway. Its peers allocate nothing.
func BenchmarkShort(b *testing.B) {
	for _, c := range []struct{ name, request, answer string }{
		{"get", requestText("GET", "lookup", ""), "Content-Length: 300\r\n\r\n" + strings.Repeat("x", 300)},
		{"post", requestText("POST", "booking", strings.Repeat("x", 300)), "Content-Length: 300\r\n\r\n" + strings.Repeat("x", 300)},
		{"post20k", requestText("POST", "booking", strings.Repeat("x", 20<<10)),
			"Content-Length: 20480\r\n\r\n" + strings.Repeat("x", 20<<10)},
		{"chunked", requestText("POST", "booking", "", "Transfer-Encoding", "chunked") + "12c\r\n" + strings.Repeat("x", 300) + "\r\n0\r\n\r\n",
			"Transfer-Encoding: chunked\r\n\r\n12c\r\n" + strings.Repeat("x", 300) + "\r\n0\r\n\r\n"},
	} {
		b.Run(c.name, func(b *testing.B) {
			_, body, _ := strings.Cut(c.request, "\r\n\r\n")
			r := newTestGateway(b, pipeline(b, strings.Count(body, "x"), []byte("HTTP/1.1 200 OK\r\n"+c.answer)))
			conn, err := net.Dial("tcp", r.address)
			if err != nil {
				b.Fatal(err)
			}
			defer conn.Close()
			request, in := []byte(c.request), make([]byte, 64<<10)
			_, want, _ := strings.Cut(c.answer, "\r\n\r\n")
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				if _, err := conn.Write(request); err != nil {
					b.Fatal(err)
				}
				for n := 0; ; {
					m, err := conn.Read(in[n:])
					if n += m; err != nil {
						b.Fatal(err)
					}
					if head := bytes.Index(in[:n], []byte("\r\n\r\n")); head >= 0 &&
						(n == head+4+len(want) || bytes.HasSuffix(in[:n], []byte("x\r\n0\r\n\r\n")) || n == head+4+300) {
						break
					}
				}
			}
		})
	}
}

// BenchmarkLongAnswer counts what a megabyte of a long answer allocates.
func BenchmarkLongAnswer(b *testing.B) {
	for _, chunked := range []bool{false, true} {
		b.Run(fmt.Sprintf("chunked=%t", chunked), func(b *testing.B) {
			backend := newPeer(b)
			r := newTestGateway(b, backend)
			piece, framing, end := bytes.Repeat([]byte("x"), 1<<20), fmt.Sprintf("Content-Length: %d\r\n\r\n", b.N<<20), ""
			if chunked {
				piece = append([]byte("100000\r\n"), append(piece, '\r', '\n')...)
				framing, end = "Transfer-Encoding: chunked\r\n\r\n", "0\r\n\r\n"
			}
			conn := r.send(b, requestText("GET", "lookup", ""))
			to, br := backend.accept(b)
			readRequest(b, br)
			in := make([]byte, 256<<10)
			b.ReportAllocs()
			b.SetBytes(1 << 20)
			b.ResetTimer()
			go func() {
				io.WriteString(to, "HTTP/1.1 200 OK\r\n"+framing)
				for range b.N {
					to.Write(piece)
				}
				io.WriteString(to, end)
			}()
			for got := 0; got < b.N<<20; {
				n, err := conn.Read(in)
				if got += n; err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkIdle counts the memory of a connection that rests after a request.
func BenchmarkIdle(b *testing.B) {
	r := newTestGateway(b, pipeline(b, 0, []byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")))
	use := func() int64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc + m.StackInuse)
	}
	const conns = 400
	var all []net.Conn
	in := make([]byte, 4096)
	request := []byte(requestText("GET", "lookup", ""))
	connect := func() {
		conn, err := net.Dial("tcp", r.address)
		if err != nil {
			b.Fatal(err)
		}
		all = append(all, conn)
		conn.Write(request)
		conn.Read(in)
	}
	for range 20 {
		connect()
	}
	before := use()
	for range conns {
		connect()
	}
	b.ReportMetric(float64(use()-before)/conns, "B/conn")
	for _, conn := range all {
		conn.Close()
	}
}
