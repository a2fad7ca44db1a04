package registry

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"
)

// minPersistedCopyAge is the minimum age that a follower reports for a copy persisted by an
// earlier process, whose age is unknown. It is above staleAge.
const minPersistedCopyAge = 10 * time.Second

// Follower is a Server that replicates a writer through a watch and serves reads. It accepts
// no writes until an operator promotes it.
type Follower struct {
	*Server
	client   *Client
	sources  chan []string
	promoted chan struct{} // closed at the promotion

	// formerWriters holds the addresses of the writers that it has replicated, the latest last. A
	// promotion replaces all of them: an earlier one may not know yet that it was replaced. The
	// lock of the Server guards it.
	formerWriters []string
}

// maxFormerWriters is the maximum number of writers that a promoted follower notifies.
const maxFormerWriters = 16

// addFormerWriter records a writer that the follower replicates. The caller holds f.mu.
func (f *Follower) addFormerWriter(address string) {
	others := slices.DeleteFunc(f.formerWriters, func(other string) bool { return other == address })
	f.formerWriters = append(others, address)
	if excess := len(f.formerWriters) - maxFormerWriters; excess > 0 {
		f.formerWriters = f.formerWriters[excess:]
	}
}

// NewFollower returns a Follower of the writer at an address. persisted is the copy of an
// earlier process, or nil. Until the first update from the writer, the follower serves that
// copy with a high age, or rejects reads if there is none. selfAddress is the address at
// which other processes reach the follower.
func NewFollower(selfAddress, writer string, persisted *Store, limits Limits, serverLimits ServerLimits, startedAt time.Time, random *rand.Rand) *Follower {
	store := persisted
	if store == nil {
		store = newStore(limits, 0)
		store.gatheringUntil = math.MaxInt64
	}
	follower := &Follower{Server: NewWriter(selfAddress, store, serverLimits, startedAt, random), sources: make(chan []string), promoted: make(chan struct{})}
	follower.addFormerWriter(writer)
	follower.client = NewClient([]string{writer}, rand.New(rand.NewPCG(random.Uint64(), 1)), follower.applyUpdate)
	follower.client.watchWait = followerWatchWait
	follower.ageMs = func() int64 {
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
		close(follower.promoted) // by an earlier process
		if !slices.Contains(store.replacedWriters, writer) {
			// Earlier builds did not record the writer that the process had replaced.
			store.replacedWriters = append(store.replacedWriters, writer)
		}
		return follower
	}
	follower.writer.Store(&writer)
	if store.isWriter {
		// A fenced writer becomes a follower.
		store.isWriter, store.fence, store.replacedWriters = false, nil, nil
	}
	return follower
}

// applyUpdate applies and persists an update from the writer.
func (f *Follower) applyUpdate(update Update) {
	_, err := f.change(func(now time.Duration) (WriteResult, error) {
		if f.store.isWriter || f.isStopping() {
			return WriteResult{}, nil // promoted or shutting down
		}
		if update.History != f.store.history {
			slog.Info("history changed", "name", update.History, "version", update.Generation, "before", f.store.history)
		}
		f.store.gatheringUntil = 0
		f.store.epoch = max(f.store.epoch, update.Epoch)
		if f.persister != nil {
			// Serve the copy even if it cannot be persisted.
			if err := f.persister.persist(Record{Copy: &CopyRecord{update.History, update.Epoch, update.Listing}}); err != nil {
				slog.Error("update could not be persisted", "error", err)
			}
		}
		return WriteResult{}, f.store.ApplyListing(now, update.Listing, update.History)
	})
	if err != nil {
		slog.Error("update could not be applied", "error", err)
	}
}

// SetSource makes the follower replicate another writer. The current list stays until the
// first update from that writer. It does nothing after a promotion.
func (f *Follower) SetSource(ctx context.Context, writer string) {
	if !f.setWriter(writer) {
		return
	}
	select {
	case f.sources <- []string{writer}:
	case <-f.promoted: // nothing is replicated any more
	case <-ctx.Done():
	}
}

// setWriter sets the address of the writer. It returns false after a promotion.
func (f *Follower) setWriter(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.writer.Load() == nil {
		return false
	}
	f.writer.Store(&address)
	f.addFormerWriter(address)
	return true
}

// Serve is Server.Serve for a follower: it also replicates the writer and, after a promotion,
// notifies the writers that it has replaced.
func (f *Follower) Serve(ctx context.Context, listener, controlListener net.Listener) error {
	background, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	copyContext, stopCopying := context.WithCancel(background)
	promotedBefore := f.writer.Load() == nil // Server.Serve notifies the replaced writers then
	wg.Go(func() {
		select {
		case <-f.promoted:
			stopCopying()
			if !promotedBefore {
				f.notifyReplacedWriters(background)
			}
		case <-background.Done():
			stopCopying()
		}
	})
	wg.Go(func() { f.client.Run(copyContext, f.sources) })
	return f.Server.Serve(ctx, listener, controlListener)
}
