package registry

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// keptCopyAge is the least age that a follower tells of the copy that an earlier process
// kept, as it does not know how long ago that was. It is above staleAge.
const minPersistedCopyAge = 10 * time.Second

// Follower copies a writer by its watch and serves reads. It never writes, until
// an operator promotes it.
type Follower struct {
	*Server
	client   *Client
	sources  chan []string
	source   string        // the writer that it copies, or whose place it has taken
	promoted chan struct{} // closed then
}

// NewFollower copies the writer at an address. Until it has heard from it, reads
// are turned away, unless it has a copy that an earlier process kept: that is
// told, as old.
func NewFollower(self, writer string, kept *Store, limits Limits, serves ServerLimits, began time.Time, random *rand.Rand) *Follower {
	store := kept
	if store == nil {
		store = newStore(limits, 0)
		store.gatheringUntil = math.MaxInt64
	}
	f := &Follower{Server: NewWriter(self, store, serves, began, random), sources: make(chan []string), source: writer, promoted: make(chan struct{})}
	f.client = NewClient([]string{writer}, rand.New(rand.NewPCG(random.Uint64(), 1)), f.applyUpdate)
	f.client.watchWait = followerWatchWait
	f.age = func() int64 {
		switch age := f.client.Age(); {
		case age >= 0:
			return age.Milliseconds()
		case kept != nil:
			return (minPersistedCopyAge + f.now()).Milliseconds()
		}
		return -1
	}
	name := fmt.Sprintf("%016x", random.Uint64())
	f.Server.promote = func() error { return f.promote(name) }
	if store.isWriter && store.fence == nil {
		close(f.promoted) // in an earlier life
		return f
	}
	f.writer.Store(&writer)
	if store.isWriter {
		// A writer that was fenced, and copies from now on.
		store.isWriter, store.fence = false, nil
	}
	return f
}

// heard copies what the writer tells.
func (f *Follower) applyUpdate(told Update) {
	_, err := f.change(func(now time.Duration) (WriteResult, error) {
		if f.store.isWriter || f.isStopping() {
			return WriteResult{}, nil // promoted meanwhile, or at the end
		}
		if told.History != f.store.history {
			slog.Info("history", "name", told.History, "version", told.Generation, "before", f.store.history)
		}
		f.store.gatheringUntil = 0
		f.store.epoch = max(f.store.epoch, told.Epoch)
		if f.persister != nil {
			// A copy that can't be kept is served all the same.
			if err := f.persister.persist(Record{Copy: &CopyRecord{told.History, told.Epoch, told.Listing}}); err != nil {
				slog.Error("the copy is not kept", "error", err)
			}
		}
		return WriteResult{}, f.store.ApplyListing(now, told.Listing, told.History)
	})
	if err != nil {
		slog.Error("copy", "error", err)
	}
}

// Move copies another writer from now on. What is had stays until it answers.
func (f *Follower) SetSource(ctx context.Context, writer string) {
	if f.writer.Load() == nil {
		return // it is the writer
	}
	f.writer.Store(&writer)
	select {
	case f.sources <- []string{writer}:
	case <-ctx.Done():
	}
}

// Serve answers until ctx ends.
func (f *Follower) Serve(ctx context.Context, l, operators net.Listener) error {
	inner, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	copying, end := context.WithCancel(inner)
	wg.Go(func() {
		select {
		case <-f.promoted:
			end()
			f.notifyOldWriter(inner, f.source)
		case <-inner.Done():
			end()
		}
	})
	wg.Go(func() { f.client.Run(copying, f.sources) })
	return f.Server.Serve(ctx, l, operators)
}
