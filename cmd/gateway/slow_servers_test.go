package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// smallBufferListener accepts connections that hold few unread bytes.
type smallBufferListener struct{ net.Listener }

func (l smallBufferListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		err = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	}
	return conn, err
}

// Guards against late final answers to large requests whose servers read them slowly.
func TestLargeRequestsAreAnsweredInTimeBySlowServers(t *testing.T) {
	t.Parallel()
	const timeout = time.Second
	settings := platformSettings{Deadline: 7500 * time.Millisecond, Sockets: 256}
	platform := newPlatform(t, true, settings, 0, nil)
	slow := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for buffer := make([]byte, 4<<10); ; {
			if _, err := r.Body.Read(buffer); err != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}))
	slow.Listener = smallBufferListener{slow.Listener}
	slow.Start()
	t.Cleanup(slow.CloseClientConnections)
	platform.mu.Lock()
	for index := range 8 {
		platform.backends = append(platform.backends, &server{name: fmt.Sprintf("s-%d", index), http: slow})
	}
	platform.mu.Unlock()
	platform.start()
	for _, class := range []string{"keyed", "unsafe"} {
		for _, size := range []int{400 << 10, 4 << 20, 6 << 20} {
			for _, chunked := range []bool{false, true} {
				name := fmt.Sprintf("%s, %d bytes, chunked %t", class, size, chunked)
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					framing := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
					if chunked {
						framing = fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, strings.Repeat("x", size))
					}
					conn, err := net.Dial("tcp", platform.address)
					if err != nil {
						t.Fatal(err)
					}
					defer conn.Close()
					sentAt := make(chan time.Time, 1)
					go func() {
						io.WriteString(conn, requestHead("POST", class, timeout)+framing)
						sentAt <- time.Now() // also if the answer came first
					}()
					conn.SetReadDeadline(time.Now().Add(20 * time.Second))
					resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
					if err != nil {
						t.Fatal(err)
					}
					answeredAt := time.Now()
					conn.Close()
					if late := answeredAt.Sub((<-sentAt).Add(timeout)); late > lateAnswerTolerance {
						t.Errorf("status %d came %v after the deadline", resp.StatusCode, late)
					}
				})
			}
		}
	}
}
