package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// buildGateway builds the command without the race detector, which multiplies the memory of a process.
var buildGateway = sync.OnceValues(func() (program string, err error) {
	dir, err := os.MkdirTemp("", "gateway")
	if err != nil {
		return "", err
	}
	program = filepath.Join(dir, "gateway")
	text, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, text)
	}
	return program, nil
})

// newHostilePlatform returns a platform whose gateway has the given limits and runs without the race
// detector, before four addresses of one backend.
func newHostilePlatform(t *testing.T, settings platformSettings, backend http.HandlerFunc) *platform {
	t.Helper()
	program, err := buildGateway()
	if err != nil {
		t.Fatal(err)
	}
	platform := newPlatform(t, true, settings, 0, nil)
	platform.program = program
	listening := httptest.NewServer(backend)
	t.Cleanup(listening.CloseClientConnections)
	platform.mu.Lock()
	defer platform.mu.Unlock()
	for index := range 4 {
		platform.backends = append(platform.backends, &server{name: fmt.Sprintf("s-%d", index), http: listening})
	}
	return platform
}

// peakMemory returns the largest resident memory that the process has had, in bytes.
func (g *gatewayProcess) peakMemory() int {
	g.t.Helper()
	peak := g.statusField("VmHWM")
	if peak == 0 {
		g.t.Fatal("no peak of the memory is known")
	}
	return peak
}

// hostilePrefix begins the ids of requests that no checker judges.
const hostilePrefix = "hostile-"

var requestNumber atomic.Int64

// requestHead returns the head of a request under a new id and a new customer, without the empty line.
func requestHead(method, class string, timeout time.Duration) string {
	number := requestNumber.Add(1)
	return fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: "+hostilePrefix+"%d\r\nIdempotency-Key: %d\r\nX-Service-Class: %s\r\nX-Tier: p\r\n"+
		"X-Api-Key: %016x\r\nX-Time-Left-Ms: %d\r\nX-Call-Terms: units=1,spread=1,first=0\r\n", method, class, number, number, class, number, timeout.Milliseconds())
}

// discardSlowly reads a little at a time.
func discardSlowly(ctx context.Context, conn net.Conn) {
	buffer := make([]byte, 512)
	for ctx.Err() == nil {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
		sleep(ctx, 50*time.Millisecond)
	}
}

// hostileMemoryClients take memory of the gateway, each in its own way. A client may return early.
var hostileMemoryClients = map[string]func(ctx context.Context, conn net.Conn){
	"sends nothing": func(_ context.Context, conn net.Conn) { io.Copy(io.Discard, conn) },
	"many short fields at once": func(_ context.Context, conn net.Conn) {
		io.WriteString(conn, requestHead("GET", "safe", 5*time.Second)+strings.Repeat("a:\r\n", 3900)+"\r\n")
		io.Copy(io.Discard, conn)
	},
	"many different fields, without an end": func(_ context.Context, conn net.Conn) {
		text := requestHead("GET", "safe", 5*time.Second)
		for field := range 2000 {
			text += strconv.FormatInt(int64(field), 16) + ":\r\n"
		}
		io.WriteString(conn, text)
		io.Copy(io.Discard, conn)
	},
	"a long head written slowly": func(ctx context.Context, conn net.Conn) {
		text := requestHead("GET", "safe", 5*time.Second) + "X: " + strings.Repeat("x", 15<<10)
		for len(text) > 0 {
			piece := min(len(text), 256)
			if _, err := io.WriteString(conn, text[:piece]); err != nil {
				return
			}
			text = text[piece:]
			sleep(ctx, 20*time.Millisecond)
		}
		io.Copy(io.Discard, conn)
	},
	"stops half way through a body that is held": func(_ context.Context, conn net.Conn) {
		io.WriteString(conn, requestHead("POST", "keyed", 5*time.Second)+"Content-Length: 65000\r\n\r\n"+strings.Repeat("x", 32<<10))
		io.Copy(io.Discard, conn)
	},
	"stops half way through a body that is streamed": func(_ context.Context, conn net.Conn) {
		io.WriteString(conn, requestHead("POST", "keyed", 5*time.Second)+"Content-Length: 6500000\r\n\r\n"+strings.Repeat("x", 320<<10))
		io.Copy(io.Discard, conn)
	},
	"stops half way through chunks": func(_ context.Context, conn net.Conn) {
		io.WriteString(conn, requestHead("POST", "keyed", 5*time.Second)+"Transfer-Encoding: chunked\r\n\r\n"+strings.Repeat("1\r\nx\r\n", 4<<10))
		io.Copy(io.Discard, conn)
	},
	"reads long answers slowly": func(ctx context.Context, conn net.Conn) {
		conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		io.WriteString(conn, requestHead("GET", "safe", 5*time.Second)+"\r\n")
		discardSlowly(ctx, conn)
	},
	"many requests behind one": func(_ context.Context, conn net.Conn) {
		text := requestHead("GET", "safe", 5*time.Second) + "\r\n"
		go io.WriteString(conn, strings.Repeat(text, 400))
		io.Copy(io.Discard, conn)
	},
	"bodies at full speed": func(_ context.Context, conn net.Conn) {
		go io.Copy(io.Discard, conn)
		for {
			text := requestHead("POST", "keyed", 6*time.Second) + "Content-Length: 60000\r\n\r\n" + strings.Repeat("x", 60000)
			if _, err := io.WriteString(conn, text); err != nil {
				return
			}
		}
	},
	"new names at full speed": func(_ context.Context, conn net.Conn) {
		go io.Copy(io.Discard, conn)
		for {
			if _, err := io.WriteString(conn, requestHead("GET", "safe", time.Millisecond)+"\r\n"); err != nil {
				return
			}
		}
	},
}

// Guards against a process that passes its memory limit while hundreds of clients are hostile.
func TestMemoryLimitHoldsBesideHostileClients(t *testing.T) {
	const (
		memoryMB = 32 // the least that a gateway may be given
		sockets  = 1024
		clients  = 600
		duration = 2 * time.Second
	)
	kinds := map[string]func(int) func(context.Context, net.Conn){}
	var all []func(context.Context, net.Conn)
	for name, act := range hostileMemoryClients {
		kinds[name] = func(int) func(context.Context, net.Conn) { return act }
		all = append(all, act)
	}
	kinds["all kinds"] = func(index int) func(context.Context, net.Conn) { return all[index%len(all)] }
	longAnswer := make([]byte, 4<<20)
	for name, choose := range kinds {
		t.Run(name, func(t *testing.T) {
			platform := newHostilePlatform(t, platformSettings{Deadline: 7500 * time.Millisecond, Sockets: sockets, MemoryMB: memoryMB},
				func(w http.ResponseWriter, r *http.Request) {
					io.Copy(io.Discard, r.Body)
					w.Write(longAnswer)
				})
			gateway := platform.start()
			ctx, stop := context.WithTimeout(t.Context(), duration)
			defer stop()
			var running sync.WaitGroup
			for index := range clients {
				running.Go(func() { actUntil(ctx, sourceAddress(index), platform.address, choose(index)) })
			}
			running.Wait()
			peak := gateway.peakMemory()
			t.Logf("%s: peak of %.1f MB", name, float64(peak)/(1<<20))
			if peak > memoryMB<<20 {
				t.Errorf("%s: peak of %.1f MB, limit %d MB", name, float64(peak)/(1<<20), memoryMB)
			}
			if text := gateway.log.String(); strings.Contains(text, "panic") {
				t.Error(text)
			}
		})
	}
}

// sourceAddress returns the address of the client with the given index. Clients come from several, since
// a gateway shares its places among them.
func sourceAddress(index int) net.Addr {
	return &net.TCPAddr{IP: net.IPv4(127, 0, 2, byte(1+index%8))}
}

// actUntil lets a client act on one connection after the other until ctx ends.
func actUntil(ctx context.Context, source net.Addr, address string, act func(context.Context, net.Conn)) {
	for ctx.Err() == nil {
		conn, err := (&net.Dialer{LocalAddr: source, Timeout: time.Second}).DialContext(ctx, "tcp", address)
		if err != nil {
			continue
		}
		stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Now()) })
		act(ctx, conn)
		stop()
		conn.Close()
		sleep(ctx, time.Duration(rand.IntN(100))*time.Millisecond) // before the next connection
	}
}
