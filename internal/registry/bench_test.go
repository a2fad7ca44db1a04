package registry

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"
)

// BenchmarkChange counts what one change costs with so many watchers, each of
// which asks again when it has been told.
func BenchmarkChange(b *testing.B) {
	for _, watchers := range []int{1, 30, 300} {
		b.Run(fmt.Sprint(watchers, "watchers"), func(b *testing.B) {
			limits := testLimits
			limits.Instances, limits.History = 200, 1000
			store := NewStore(limits, "h", 1000, -limits.Lease)
			for n := range 200 {
				store.Register(0, inst(fmt.Sprint("instance-", n), 1), nil)
			}
			s := NewWriter("self", store, testServes, time.Now(), rand.New(rand.NewPCG(1, 1)))
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			server := &http.Server{Handler: s.Handler()}
			go server.Serve(l)
			defer server.Close()
			before := heap()
			told := make(chan int64, watchers)
			var conns []net.Conn
			for range watchers {
				conn, err := net.Dial("tcp", l.Addr().String())
				if err != nil {
					b.Fatal(err)
				}
				defer conn.Close()
				conns = append(conns, conn)
				ask(conn, store.version)
			}
			for s.figures.watchers.Load() < int64(watchers) {
				runtime.Gosched()
			}
			perWatcher := float64(heap()-before) / float64(watchers)
			for _, conn := range conns {
				go func() {
					for r := bufio.NewReader(conn); ; {
						resp, err := http.ReadResponse(r, nil)
						if err != nil {
							return
						}
						body, err := io.ReadAll(resp.Body)
						if err != nil {
							return
						}
						l, _ := ParseListing(body)
						ask(conn, l.Generation)
						told <- l.Generation
					}
				}()
			}
			was, bytes := store.Stats(), s.figures.bytes.Load()
			b.ResetTimer()
			for n := range b.N {
				version, err := s.change(func(now time.Duration) (int64, error) {
					s.wokenAt = time.Time{} // no waiting for further changes
					return store.Register(now, inst(fmt.Sprint("instance-", n%200), int64(n+2)), nil)
				})
				if err != nil {
					b.Fatal(err)
				}
				for range watchers {
					if v := <-told; v != version {
						b.Fatalf("told of %d, not %d", v, version)
					}
				}
				for s.figures.watchers.Load() < int64(watchers) {
					runtime.Gosched()
				}
			}
			b.StopTimer()
			now := store.Stats()
			b.ReportMetric(float64(now.Encoded-was.Encoded)/float64(b.N), "encoded/op")
			b.ReportMetric(float64(now.Joined-was.Joined)/float64(b.N), "joined/op")
			b.ReportMetric(float64(s.figures.bytes.Load()-bytes)/float64(b.N)/float64(watchers), "B/watcher/op")
			b.ReportMetric(perWatcher, "B/watcher")
			b.ReportMetric(float64(now.Bytes)/float64(now.History), "B/change")
		})
	}
}

func ask(w io.Writer, since int64) {
	fmt.Fprintf(w, "GET %s?since=%d&timeout_ms=60000 HTTP/1.1\r\nHost: a\r\n\r\n", Path, since)
}

// heap is what is in use of it and of stacks.
func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
