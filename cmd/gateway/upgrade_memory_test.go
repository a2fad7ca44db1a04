package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// statusField returns a field of the status of the process, in bytes, or 0 if the process has ended.
func (g *gatewayProcess) statusField(name string) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, line, _ := strings.Cut(string(status), name+":")
	fields := strings.Fields(line)
	if len(fields) == 0 {
		return 0
	}
	kilobytes, _ := strconv.Atoi(fields[0])
	return kilobytes << 10
}

// memoryWatch samples the memory that the processes of one gateway take together. Pages of files,
// which the processes share, count once.
type memoryWatch struct {
	mu        sync.Mutex
	processes []*gatewayProcess
	previous  int // bytes
	peak      int // bytes, in two samples in a row
}

const memorySampleInterval = 20 * time.Millisecond

// add adds a process to the watch.
func (w *memoryWatch) add(process *gatewayProcess) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.processes = append(w.processes, process)
}

// run samples until ctx ends.
func (w *memoryWatch) run(ctx context.Context) {
	for ; ctx.Err() == nil; sleep(ctx, memorySampleInterval) {
		w.sample()
	}
}

func (w *memoryWatch) sample() {
	w.mu.Lock()
	defer w.mu.Unlock()
	private, files := 0, 0
	for _, process := range w.processes {
		private += process.statusField("RssAnon")
		files = max(files, process.statusField("RssFile"))
	}
	w.peak = max(w.peak, min(w.previous, private+files))
	w.previous = private + files
}

// result returns the peak.
func (w *memoryWatch) result() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.peak
}

// Guards against two processes of an upgrade that each take the memory of a whole gateway: the platform
// counts them together and kills both.
func TestUpgradeStaysWithinMemory(t *testing.T) {
	const (
		clients    = 100 // of 512 descriptors, clients may hold a third
		sockets    = 512
		bodyBytes  = 48 << 10
		warmUp     = 3 * time.Second // until the heap has grown
		overlap    = time.Second     // from the readiness of the new process to SIGTERM
		afterwards = time.Second
	)
	answer := make([]byte, 60<<10)
	for _, memoryMB := range []int{32, 64} {
		t.Run(fmt.Sprintf("%d MB", memoryMB), func(t *testing.T) {
			t.Parallel()
			platform := newHostilePlatform(t, platformSettings{Deadline: 3 * time.Second, Sockets: sockets, MemoryMB: memoryMB},
				func(w http.ResponseWriter, r *http.Request) {
					io.Copy(io.Discard, r.Body)
					time.Sleep(100 * time.Millisecond)
					w.Write(answer)
				})
			old := platform.start()
			watch := &memoryWatch{processes: []*gatewayProcess{old}}
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			var running sync.WaitGroup
			running.Go(func() { watch.run(ctx) })
			var served, rejected atomic.Int64
			body := strings.Repeat("x", bodyBytes)
			for index := range clients {
				running.Go(func() {
					actUntil(ctx, sourceAddress(index), platform.address, func(_ context.Context, conn net.Conn) {
						sendRepeatedly(conn, body, &served, &rejected)
					})
				})
			}
			sleep(ctx, warmUp)
			alone := watch.result()
			next := platform.launch()
			watch.add(next)
			awaitAnswer(t, "http://"+next.control+"/control/ready", "200 OK")
			sleep(ctx, overlap)
			lived, killed := old.terminate(platform.current().killAfter())
			sleep(ctx, afterwards)
			stop()
			running.Wait()
			t.Logf("%d requests served, %d rejected; peaks of %.1f MB alone and %.1f MB together; the old process ended after %v, killed %t",
				served.Load(), rejected.Load(), float64(alone)/(1<<20), float64(watch.result())/(1<<20), lived, killed)
			if peak := watch.result(); peak > memoryMB<<20 {
				t.Errorf("the processes held %.1f MB of %d MB", float64(peak)/(1<<20), memoryMB)
			}
		})
	}
}

// sendRepeatedly sends one request with a body after the other on a connection, until it ends.
func sendRepeatedly(conn net.Conn, body string, served, rejected *atomic.Int64) {
	reader := bufio.NewReader(conn)
	for {
		head := requestHead("POST", "keyed", 2*time.Second)
		if _, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body); err != nil {
			return
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return
		}
		if response.StatusCode == http.StatusOK {
			served.Add(1)
		} else {
			rejected.Add(1)
		}
		if response.Close {
			return
		}
	}
}
