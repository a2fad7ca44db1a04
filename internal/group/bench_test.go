package group

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"testing"

	"dunlintray/internal/ledger"
	"dunlintray/internal/wal"
)

// BenchmarkWrites measures concurrent clients that wait for each write, on groups whose members
// use HTTP on the loopback interface and logs on the local disk.
func BenchmarkWrites(b *testing.B) {
	previousLogger := slog.Default()
	slog.SetDefault(slog.New(slog.DiscardHandler))
	defer slog.SetDefault(previousLogger)
	for _, size := range []int{1, 3, 5} {
		for _, writers := range []int{1, 10, 100} {
			b.Run(fmt.Sprintf("members=%d/writers=%d", size, writers), func(b *testing.B) {
				ctx, stop := context.WithCancel(context.Background())
				var wg sync.WaitGroup
				defer wg.Wait()
				defer stop()
				members, listeners, addresses := map[uint64]string{}, make([]net.Listener, size), []string(nil)
				for n := range size {
					listener, err := net.Listen("tcp", "127.0.0.1:0")
					if err != nil {
						b.Fatal(err)
					}
					listeners[n], members[uint64(n+1)] = listener, listener.Addr().String()
					addresses = append(addresses, listener.Addr().String())
				}
				var groups []*Group
				for n := range size {
					dir := b.TempDir()
					g, err := Open(Config{Name: "b", Self: uint64(n + 1), Members: members, Dir: dir, DataMB: 256, Limits: ledger.DefaultLimits}, wal.Dir(dir))
					if err != nil {
						b.Fatal(err)
					}
					groups = append(groups, g)
					wg.Go(func() { g.Run(ctx) })
					wg.Go(func() { g.Serve(ctx, listeners[n]) })
				}
				clients := make([]*Client, writers)
				for n := range clients {
					clients[n] = NewClient(addresses)
					defer clients[n].Close()
				}
				write := func(n int) {
					if r, err := clients[n].Do(ctx, ledger.Command{Op: ledger.Put, Name: fmt.Sprint("r", n), Value: []byte(`"0123456789"`)}); err != nil || r.Code != ledger.OK {
						b.Error(r, err)
					}
				}
				for n := range clients {
					write(n) // opens the connections
				}
				syncsBefore := int64(0)
				for _, g := range groups {
					syncsBefore += g.log.Stats().Syncs
				}
				b.ResetTimer()
				var writing sync.WaitGroup
				for n := range clients {
					writing.Go(func() {
						for i := n; i < b.N; i += writers {
							write(n)
						}
					})
				}
				writing.Wait()
				b.StopTimer()
				syncsAfter := int64(0)
				for _, g := range groups {
					syncsAfter += g.log.Stats().Syncs
				}
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "writes/s")
				b.ReportMetric(float64(syncsAfter-syncsBefore)/float64(b.N), "syncs/write")
			})
		}
	}
}
