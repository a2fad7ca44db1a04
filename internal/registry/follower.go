package registry

import (
	"context"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Follower copies a writer by its watch and serves reads. It never writes.
type Follower struct {
	*Server
	client *Client
	moves  chan []string
}

// NewFollower copies the writer at an address. Until it has heard from it, reads
// are turned away.
func NewFollower(writer string, limits Limits, serves ServerLimits, began time.Time, random *rand.Rand) *Follower {
	store := newStore(limits, 0)
	store.gathering = math.MaxInt64
	f := &Follower{Server: NewWriter(store, serves, began, random), moves: make(chan []string)}
	f.writer.Store(&writer)
	f.client = NewClient([]string{writer}, rand.New(rand.NewPCG(random.Uint64(), 1)), f.heard)
	f.age = func() int64 {
		if age := f.client.Age(); age >= 0 {
			return age.Milliseconds()
		}
		return -1
	}
	return f
}

// heard copies what the writer tells.
func (f *Follower) heard(told Told) {
	_, err := f.change(func(now time.Duration) (int64, error) {
		if told.History != f.store.history {
			slog.Info("history", "name", told.History, "version", told.Generation, "before", f.store.history)
		}
		f.store.gathering = 0
		return 0, f.store.Copy(now, told.Listing, told.History)
	})
	if err != nil {
		slog.Error("copy", "error", err)
	}
}

// Move copies another writer from now on. What is had stays until it answers.
func (f *Follower) Move(ctx context.Context, writer string) {
	f.writer.Store(&writer)
	select {
	case f.moves <- []string{writer}:
	case <-ctx.Done():
	}
}

// Serve answers until ctx ends.
func (f *Follower) Serve(ctx context.Context, l, operators net.Listener) error {
	inner, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	wg.Go(func() { f.client.Run(inner, f.moves) })
	return f.Server.Serve(ctx, l, operators)
}
