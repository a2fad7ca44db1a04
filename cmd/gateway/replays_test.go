package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"syscall"
	"testing"
	"time"
)

// requestCounter counts the requests that a server has received completely, by id.
type requestCounter struct {
	mu       sync.Mutex
	received map[string]int
}

func (c *requestCounter) count(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received[id]
}

// ServeHTTP answers after a while, so that impatient clients leave first.
func (c *requestCounter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	c.mu.Lock()
	c.received[r.Header.Get("X-Correlation-Id")]++
	c.mu.Unlock()
	select {
	case <-time.After(300 * time.Millisecond):
	case <-r.Context().Done():
	}
}

// sendAndLeave sends a request and closes its connection before the answer.
func sendAndLeave(t *testing.T, conn net.Conn, class, id string) {
	t.Helper()
	if _, err := io.WriteString(conn, headOf("POST", class, id)+"Content-Length: 4\r\n\r\nbody"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	conn.Close()
}

// Guards against requests that run twice when their client leaves and sends them again, to the same process
// or to the other one of an upgrade.
func TestRequestOfClientThatLeftRunsOnce(t *testing.T) {
	t.Parallel()
	counter := &requestCounter{received: map[string]int{}}
	platform := newPlatform(t, true, platformSettings{Deadline: 3 * time.Second, Sockets: 256}, 0, nil)
	backend := httptest.NewServer(counter)
	t.Cleanup(backend.CloseClientConnections)
	platform.mu.Lock()
	for index := range 3 {
		platform.backends = append(platform.backends, &server{name: fmt.Sprintf("s-%d", index), http: backend})
	}
	platform.mu.Unlock()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", platform.address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		return conn
	}
	old := platform.start()
	classes := []string{"keyed", "unsafe"}
	for _, class := range classes {
		sendAndLeave(t, dial(), class, class+"-old-old")
		sendAndLeave(t, dial(), class, class+"-old-old")
		sendAndLeave(t, dial(), class, class+"-before-after")
	}
	kept := map[string][]net.Conn{}
	for _, class := range classes {
		kept[class] = []net.Conn{dial(), dial()}
	}
	awaitAnswer(t, "http://"+old.control+"/control/counters", "app.clients.new:4|g")
	platform.start()
	old.signal(syscall.SIGTERM)
	awaitAnswer(t, "http://"+old.control+"/control/ready", "503")
	for _, class := range classes { // new connections go to the new process
		sendAndLeave(t, dial(), class, class+"-before-after")
		sendAndLeave(t, kept[class][0], class, class+"-old-new")
		sendAndLeave(t, dial(), class, class+"-old-new")
		sendAndLeave(t, dial(), class, class+"-new-old")
		sendAndLeave(t, kept[class][1], class, class+"-new-old")
	}
	for _, class := range classes {
		for _, order := range []string{"old-old", "before-after", "old-new", "new-old"} {
			if runs := counter.count(class + "-" + order); runs != 1 {
				t.Errorf("%s, %s: reached a server %d times", class, order, runs)
			}
		}
	}
}
