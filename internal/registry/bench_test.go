package registry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dunlintray/internal/wal"
)

// BenchmarkChange measures one change with a number of watchers, each of which sends its next
// request after an answer.
func BenchmarkChange(b *testing.B) {
	for _, watchers := range []int{1, 30, 300} {
		b.Run(fmt.Sprint(watchers, "watchers"), func(b *testing.B) {
			limits := testLimits
			limits.Instances, limits.History = 200, 1000
			store := NewStore(limits, "h", 1000, -limits.Lease)
			for n := range 200 {
				store.Register(0, testInstance(fmt.Sprint("instance-", n), 1), nil)
			}
			server := NewWriter("self", store, testServerLimits, time.Now(), rand.New(rand.NewPCG(1, 1)))
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			httpServer := &http.Server{Handler: server.Handler()}
			go httpServer.Serve(listener)
			defer httpServer.Close()
			before := heapBytes()
			versions := make(chan int64, watchers)
			var conns []net.Conn
			for range watchers {
				conn, err := net.Dial("tcp", listener.Addr().String())
				if err != nil {
					b.Fatal(err)
				}
				defer conn.Close()
				conns = append(conns, conn)
				sendWatch(conn, store.version)
			}
			for server.metrics.watchers.Load() < int64(watchers) {
				runtime.Gosched()
			}
			perWatcher := float64(heapBytes()-before) / float64(watchers)
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
						sendWatch(conn, l.Generation)
						versions <- l.Generation
					}
				}()
			}
			statsBefore, bytes := store.Stats(), server.metrics.bytes.Load()
			b.ResetTimer()
			for n := range b.N {
				result, err := server.change(func(stats time.Duration) (WriteResult, error) {
					server.lastWake = time.Time{} // do not wait for further changes
					return store.Register(stats, testInstance(fmt.Sprint("instance-", n%200), int64(n+2)), nil)
				})
				if err != nil {
					b.Fatal(err)
				}
				for range watchers {
					if v := <-versions; v != result.Version {
						b.Fatalf("received version %d, expected %d", v, result.Version)
					}
				}
				for server.metrics.watchers.Load() < int64(watchers) {
					runtime.Gosched()
				}
			}
			b.StopTimer()
			stats := store.Stats()
			b.ReportMetric(float64(stats.ChangesEncoded-statsBefore.ChangesEncoded)/float64(b.N), "encoded/op")
			b.ReportMetric(float64(stats.AnswersEncoded-statsBefore.AnswersEncoded)/float64(b.N), "joined/op")
			b.ReportMetric(float64(server.metrics.bytes.Load()-bytes)/float64(b.N)/float64(watchers), "B/watcher/op")
			b.ReportMetric(perWatcher, "B/watcher")
			b.ReportMetric(float64(stats.Bytes)/float64(stats.History), "B/change")
		})
	}
}

func sendWatch(w io.Writer, since int64) {
	fmt.Fprintf(w, "GET %s?since=%d&timeout_ms=60000 HTTP/1.1\r\nHost: a\r\n\r\n", Path, since)
}

// heapBytes returns the bytes in use by heap and stacks.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkRecovery opens a folder with a log, from a log with ten times the records, and
// from a snapshot.
func BenchmarkRecovery(b *testing.B) {
	const maxBytes = 4 << 30
	limits := Limits{Lease: time.Minute, Instances: 1 << 20, History: 20_000, HistoryBytes: 8 << 20}
	for _, instances := range []int{1000, 10_000, 100_000} {
		for _, test := range []struct {
			name     string
			rounds   int
			snapshot bool
		}{{"log", 1, false}, {"log10", 10, false}, {"snapshot", 10, true}} {
			b.Run(fmt.Sprintf("%d/%s", instances, test.name), func(b *testing.B) {
				slog.SetDefault(slog.New(slog.DiscardHandler))
				dir := wal.Dir(b.TempDir())
				log, _, err := Open(dir, maxBytes, limits, 0)
				if err != nil {
					b.Fatal(err)
				}
				store := NewStore(limits, "h", 1000, 0)
				log.Append([][]byte{encodeRecord(store.SnapshotRecords()[0])})
				store.EnableStaging()
				for round := range test.rounds {
					for n := range instances {
						store.Register(0, testInstance(fmt.Sprint("instance-", n), int64(round)), nil)
						if len(store.staged) == 1000 || n == instances-1 {
							if _, err := log.Append(store.StagedRecords()); err != nil {
								b.Fatal(err)
							}
							store.CommitStaged(0)
						}
					}
				}
				if test.snapshot {
					if err := writeSnapshot(log, log.LastSequence(), store.SnapshotRecords()); err != nil {
						b.Fatal(err)
					}
				}
				if err := log.Close(); err != nil {
					b.Fatal(err)
				}
				for b.Loop() {
					log, store, err := Open(dir, maxBytes, limits, 0)
					if err != nil || len(store.entries) != instances {
						b.Fatal(err)
					}
					st := log.Stats()
					b.ReportMetric(float64(st.Bytes+st.SnapshotBytes), "bytes_read")
					b.ReportMetric(float64(st.Recovery.Duration.Microseconds()), "us_recovery")
					log.Close()
				}
			})
		}
	}
}

// BenchmarkWrites measures concurrent writers that each change their own instance, with and
// without persistence.
func BenchmarkWrites(b *testing.B) {
	limits := Limits{Lease: time.Hour, Instances: 1000, History: 20_000, HistoryBytes: 8 << 20}
	for _, persisted := range []bool{true, false} {
		for _, writers := range []int{1, 10, 100} {
			b.Run(fmt.Sprintf("kept=%t/%d", persisted, writers), func(b *testing.B) {
				slog.SetDefault(slog.New(slog.DiscardHandler))
				server := NewWriter("self", NewStore(limits, "h", 1000, 0), testServerLimits, time.Now(), rand.New(rand.NewPCG(1, 1)))
				var log *wal.Log
				if persisted {
					var err error
					if log, _, err = Open(wal.Dir(b.TempDir()), 512<<20, limits, 0); err != nil {
						b.Fatal(err)
					}
					if err := server.Persist(log, true); err != nil {
						b.Fatal(err)
					}
					ctx, stop := context.WithCancel(context.Background())
					ended := make(chan error, 1)
					go func() { ended <- server.persister.run(ctx) }()
					defer func() { stop(); <-ended; server.snapshots.Wait() }()
				}
				var next atomic.Int64
				var wg sync.WaitGroup
				b.ResetTimer()
				for n := range writers {
					wg.Go(func() {
						for started := next.Add(1); started <= int64(b.N); started = next.Add(1) {
							_, err := server.writeChange(func(now time.Duration) (WriteResult, error) {
								return server.store.Register(now, testInstance(fmt.Sprint("s-", n), started), nil)
							})
							if err != nil {
								b.Error(err)
							}
						}
					})
				}
				wg.Wait()
				b.StopTimer()
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "writes/s")
				if persisted {
					b.ReportMetric(float64(log.Stats().Syncs)/float64(b.N), "syncs/write")
				}
			})
		}
	}
}
