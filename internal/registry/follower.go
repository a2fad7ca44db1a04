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
func NewFollower(selfAddress, writer string, persisted *Store, limits Limits, serverLimits ServerLimits, startedAt time.Time, random *rand.Rand) *Follower {
	store := persisted
	if store == nil {
		store = newStore(limits, 0)
		store.gatheringUntil = math.MaxInt64
	}
	follower := &Follower{Server: NewWriter(selfAddress, store, serverLimits, startedAt, random), sources: make(chan []string), source: writer, promoted: make(chan struct{})}
	follower.client = NewClient([]string{writer}, rand.New(rand.NewPCG(random.Uint64(), 1)), follower.applyUpdate)
	follower.client.watchWait = followerWatchWait
	follower.age = func() int64 {
		switch age := follower.client.Age(); {
		case age >= 0:
			return age.Milliseconds()
		case persisted != nil:
			return (minPersistedCopyAge + follower.now()).Milliseconds()
		}
		return -1
	}
	historyName := fmt.Sprintf("%016x", random.Uint64())
	follower.Server.promote = func() error { return follower.promote(historyName) }
	if store.isWriter && store.fence == nil {
		close(follower.promoted) // in an earlier life
		return follower
	}
	follower.writer.Store(&writer)
	if store.isWriter {
		// A writer that was fenced, and copies from now on.
		store.isWriter, store.fence = false, nil
	}
	return follower
}

// heard copies what the writer tells.
func (f *Follower) applyUpdate(update Update) {
	_, err := f.change(func(now time.Duration) (WriteResult, error) {
		if f.store.isWriter || f.isStopping() {
			return WriteResult{}, nil // promoted meanwhile, or at the end
		}
		if update.History != f.store.history {
			slog.Info("history", "name", update.History, "version", update.Generation, "before", f.store.history)
		}
		f.store.gatheringUntil = 0
		f.store.epoch = max(f.store.epoch, update.Epoch)
		if f.persister != nil {
			// A copy that can't be kept is served all the same.
			if err := f.persister.persist(Record{Copy: &CopyRecord{update.History, update.Epoch, update.Listing}}); err != nil {
				slog.Error("the copy is not kept", "error", err)
			}
		}
		return WriteResult{}, f.store.ApplyListing(now, update.Listing, update.History)
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
func (f *Follower) Serve(ctx context.Context, listener, operatorListener net.Listener) error {
	background, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	copyContext, stopCopying := context.WithCancel(background)
	wg.Go(func() {
		select {
		case <-f.promoted:
			stopCopying()
			f.notifyOldWriter(background, f.source)
		case <-background.Done():
			stopCopying()
		}
	})
	wg.Go(func() { f.client.Run(copyContext, f.sources) })
	return f.Server.Serve(ctx, listener, operatorListener)
}
