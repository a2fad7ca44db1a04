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
			for s.metrics.watchers.Load() < int64(watchers) {
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
			was, bytes := store.Stats(), s.metrics.bytes.Load()
			b.ResetTimer()
			for n := range b.N {
				written, err := s.change(func(now time.Duration) (WriteResult, error) {
					s.lastWake = time.Time{} // no waiting for further changes
					return store.Register(now, inst(fmt.Sprint("instance-", n%200), int64(n+2)), nil)
				})
				if err != nil {
					b.Fatal(err)
				}
				for range watchers {
					if v := <-told; v != written.Version {
						b.Fatalf("told of %d, not %d", v, written.Version)
					}
				}
				for s.metrics.watchers.Load() < int64(watchers) {
					runtime.Gosched()
				}
			}
			b.StopTimer()
			now := store.Stats()
			b.ReportMetric(float64(now.ChangesEncoded-was.ChangesEncoded)/float64(b.N), "encoded/op")
			b.ReportMetric(float64(now.AnswersEncoded-was.AnswersEncoded)/float64(b.N), "joined/op")
			b.ReportMetric(float64(s.metrics.bytes.Load()-bytes)/float64(b.N)/float64(watchers), "B/watcher/op")
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

// BenchmarkRecovery opens a folder with so many instances, from the log alone, from
// a log ten times as long, and from a snapshot.
func BenchmarkRecovery(b *testing.B) {
	const most = 4 << 30
	limits := Limits{Lease: time.Minute, Instances: 1 << 20, History: 20_000, HistoryBytes: 8 << 20}
	for _, instances := range []int{1000, 10_000, 100_000} {
		for _, c := range []struct {
			name     string
			rounds   int
			snapshot bool
		}{{"log", 1, false}, {"log10", 10, false}, {"snapshot", 10, true}} {
			b.Run(fmt.Sprintf("%d/%s", instances, c.name), func(b *testing.B) {
				slog.SetDefault(slog.New(slog.DiscardHandler))
				dir := wal.Dir(b.TempDir())
				log, _, err := Open(dir, most, limits, 0)
				if err != nil {
					b.Fatal(err)
				}
				store := NewStore(limits, "h", 1000, 0)
				log.Append([][]byte{encodeRecord(store.SnapshotRecords()[0])})
				store.EnableStaging()
				for round := range c.rounds {
					for n := range instances {
						store.Register(0, inst(fmt.Sprint("instance-", n), int64(round)), nil)
						if len(store.staged) == 1000 || n == instances-1 {
							if _, err := log.Append(store.StagedRecords()); err != nil {
								b.Fatal(err)
							}
							store.CommitStaged(0)
						}
					}
				}
				if c.snapshot {
					if err := writeSnapshot(log, log.LastSequence(), store.SnapshotRecords()); err != nil {
						b.Fatal(err)
					}
				}
				if err := log.Close(); err != nil {
					b.Fatal(err)
				}
				for b.Loop() {
					log, store, err := Open(dir, most, limits, 0)
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

// BenchmarkWrites has so many writers each change an instance of its own, kept on
// disk and in memory.
func BenchmarkWrites(b *testing.B) {
	limits := Limits{Lease: time.Hour, Instances: 1000, History: 20_000, HistoryBytes: 8 << 20}
	for _, kept := range []bool{true, false} {
		for _, writers := range []int{1, 10, 100} {
			b.Run(fmt.Sprintf("kept=%t/%d", kept, writers), func(b *testing.B) {
				slog.SetDefault(slog.New(slog.DiscardHandler))
				s := NewWriter("self", NewStore(limits, "h", 1000, 0), testServes, time.Now(), rand.New(rand.NewPCG(1, 1)))
				var log *wal.Log
				if kept {
					var err error
					if log, _, err = Open(wal.Dir(b.TempDir()), 512<<20, limits, 0); err != nil {
						b.Fatal(err)
					}
					if err := s.Persist(log, true); err != nil {
						b.Fatal(err)
					}
					ctx, stop := context.WithCancel(context.Background())
					ended := make(chan error, 1)
					go func() { ended <- s.persister.run(ctx) }()
					defer func() { stop(); <-ended; s.snapshots.Wait() }()
				}
				var next atomic.Int64
				var wg sync.WaitGroup
				b.ResetTimer()
				for n := range writers {
					wg.Go(func() {
						for started := next.Add(1); started <= int64(b.N); started = next.Add(1) {
							_, err := s.writeChange(func(now time.Duration) (WriteResult, error) {
								return s.store.Register(now, inst(fmt.Sprint("s-", n), started), nil)
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
				if kept {
					b.ReportMetric(float64(log.Stats().Syncs)/float64(b.N), "syncs/write")
				}
			})
		}
	}
}
