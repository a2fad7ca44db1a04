package registry

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"dunlintray/internal/wal"
)

// WALKind names a list service's folder.
const WALKind = "registry"

const (
	mostBatch  = 1024             // calls that one sync is for
	batchBytes = 1 << 20          // of their records, about
	keptWithin = 5 * time.Second  // that a call waits
	roomGap    = 10 * time.Second // between two lines about a full disk
	snapAgain  = 5 * time.Second  // after a snapshot that failed
)

// keeper makes changes last before anybody is told of them. One goroutine applies
// the calls that have come, makes what they change last with one sync, and answers
// them all; what comes meanwhile is the next batch.
type keeper struct {
	s      *Server
	log    *wal.Log                     // nil where a group keeps what is changed
	append func(records [][]byte) error // makes records last
	calls  chan *job
	snap   chan error // the end of a snapshot under way
	toldAt time.Time
	again  time.Time // no snapshot before
}

// job is a call that somebody waits for.
type job struct {
	f       func(now time.Duration) (Written, error)
	written Written
	err     error
	done    chan struct{}
}

// Open reads a folder and takes up what it has, or begins with nothing. The store
// is nil where the folder is new.
func Open(fs wal.FS, most int64, limits Limits, now time.Duration) (*wal.Log, *Store, error) {
	store := newStore(limits, now)
	any := false
	restore := func(text []byte) error {
		r, err := ParseSaved(text)
		if err != nil {
			return err
		}
		any = true
		return store.Restore(now, r)
	}
	const segments = 16 // files that the log is in, about, when it is full
	log, err := wal.Open(fs, wal.Options{Kind: WALKind, SegmentBytes: max(2*batchBytes, most/segments), MaxBytes: most},
		wal.Visitor{Snapshot: restore, Record: func(_ uint64, text []byte) error { return restore(text) }})
	if err != nil {
		return nil, nil, err
	}
	r := log.Stats().Recovery
	slog.Info("data read", "took", r.Duration, "snapshot", r.Snapshot, "snapshot_records", r.SnapshotRecords, "records", r.Records, "bytes", r.Bytes+r.SnapshotBytes,
		"history", store.history, "version", store.version, "instances", len(store.entries), "closed", r.Closed)
	if r.TruncatedBytes > 0 {
		slog.Warn("a torn end was cut", "file", r.TruncatedFile, "at", r.TruncatedAt, "bytes", r.TruncatedBytes)
	}
	if !any {
		return log, nil, nil
	}
	return log, store, nil
}

// Keep makes the server's changes last in a log. A history that begins is kept at
// once.
func (s *Server) Keep(log *wal.Log, fresh bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if fresh {
		b := Begin{History: s.store.history, Version: s.store.version, From: s.store.from, Epoch: s.store.epoch, Writer: true}
		if _, err := log.Append([][]byte{encodeSaved(Saved{Begin: &b})}); err != nil {
			return err
		}
	}
	s.keeper = &keeper{s: s, log: log, calls: make(chan *job), snap: make(chan error, 1), append: func(records [][]byte) error {
		_, err := log.Append(records)
		return err
	}}
	if s.store.writes {
		s.store.Stage()
	}
	return nil
}

// do makes a call and waits until what it changes lasts.
func (k *keeper) do(f func(now time.Duration) (Written, error)) (Written, error) {
	c := &job{f: f, done: make(chan struct{})}
	late := time.NewTimer(keptWithin)
	defer late.Stop()
	select {
	case k.calls <- c:
	case <-late.C:
		return Written{}, refuse(http.StatusServiceUnavailable, "the disk does not keep up")
	case <-k.s.ended:
		return Written{}, refuse(http.StatusServiceUnavailable, "the service has ended")
	}
	select {
	case <-c.done:
		return c.written, c.err
	case <-late.C:
		return Written{}, refuse(http.StatusServiceUnavailable, "the disk does not answer; the change may be kept")
	}
}

// run keeps changes until ctx ends or the log fails.
func (k *keeper) run(ctx context.Context) error {
	tick := time.NewTicker(tickGap)
	defer tick.Stop()
	var waiting []*job
	for {
		if len(waiting) == 0 {
			select {
			case <-ctx.Done():
				return nil
			case err := <-k.snap:
				k.snapped(err)
				continue
			case <-tick.C:
				if k.s.agreed != nil {
					k.s.begin()
				}
				waiting = append(waiting, k.tick())
			case c := <-k.calls:
				waiting = append(waiting, c)
			}
		}
	more:
		for len(waiting) < mostBatch {
			select {
			case c := <-k.calls:
				waiting = append(waiting, c)
			default:
				break more
			}
		}
		var err error
		if waiting, err = k.batch(waiting); err != nil {
			return err
		}
	}
}

// tick is the call that lets leases lapse.
func (k *keeper) tick() *job {
	return &job{done: make(chan struct{}), f: func(now time.Duration) (Written, error) {
		if !k.s.store.writes || k.s.store.fence != nil {
			return Written{}, nil
		}
		return Written{}, k.s.store.Tick(now)
	}}
}

// batch makes calls, makes what they change last, and answers them. It returns
// those that have to wait for the changes of others.
func (k *keeper) batch(calls []*job) (later []*job, err error) {
	var made []*job
	k.s.mu.Lock()
	bytes := 0
	pauses := k.s.store.stats.Pauses
	for i, c := range calls {
		if bytes > batchBytes {
			later = append(later, calls[i:]...)
			break
		}
		before := len(k.s.store.staged)
		c.written, c.err = c.f(k.s.now())
		for _, staged := range k.s.store.staged[before:] {
			bytes += len(staged.text)
		}
		if errors.Is(c.err, errPending) {
			later = append(later, c)
			continue
		}
		made = append(made, c)
	}
	if k.s.store.stats.Pauses != pauses {
		slog.Warn("the service stood still; all leases begin anew")
	}
	records := k.s.store.Staged()
	k.s.mu.Unlock()
	if len(records) > 0 {
		err = k.append(records) // while readers and renewals that wait are let be
		k.s.mu.Lock()
		switch {
		case err == nil && k.s.agreed != nil:
			k.s.store.Drop() // they have come by the group
		case err == nil:
			k.s.store.Settle(k.s.now())
			k.s.wake()
		default:
			k.s.store.Drop()
			for _, c := range made {
				if c.err == nil {
					c.err = refuse(http.StatusServiceUnavailable, "the change could not be kept: %v", err)
				}
			}
		}
		k.s.mu.Unlock()
	}
	for _, c := range made {
		close(c.done)
	}
	if err != nil {
		if !errors.Is(err, wal.ErrNoSpace) && !errors.Is(err, errNotAgreed) {
			for _, c := range later {
				c.err = refuse(http.StatusServiceUnavailable, "the change could not be kept: %v", err)
				close(c.done)
			}
			return nil, fmt.Errorf("changes can't be kept any more: %w", err)
		}
		if time.Since(k.toldAt) > roomGap {
			k.toldAt = time.Now()
			slog.Error("writes are turned away, reads go on", "error", err)
		}
	}
	k.snapshot()
	return later, nil
}

// snapshot begins to write one, if it is due and none is being written.
func (k *keeper) snapshot() {
	if k.log == nil || !k.log.SnapshotDue() || time.Now().Before(k.again) {
		return
	}
	k.again = time.Now().Add(time.Hour) // until this one has ended
	k.s.mu.Lock()
	all, sequence := k.s.store.Save(), k.log.LastSequence()
	k.s.mu.Unlock()
	k.s.wg.Go(func() { k.snap <- writeSnapshot(k.log, sequence, all) })
}

func writeSnapshot(log *wal.Log, sequence uint64, all []Saved) error {
	return log.Snapshot(sequence, func(emit func([]byte) error) error {
		for _, r := range all {
			if err := emit(encodeSaved(r)); err != nil {
				return err
			}
		}
		return nil
	})
}

func (k *keeper) snapped(err error) {
	k.again = time.Now()
	st := k.log.Stats()
	if err != nil {
		k.again = k.again.Add(snapAgain)
		slog.Error("snapshot", "error", err)
		return
	}
	slog.Info("snapshot", "sequence", st.Snapshot, "bytes", st.SnapshotBytes, "log_bytes", st.Bytes, "segments", st.Segments)
}

// keep keeps a record of a follower, or of what befalls the service itself. The
// caller has the server's lock.
func (k *keeper) keep(r Saved) error { return k.append([][]byte{encodeSaved(r)}) }

// Compact writes a snapshot of a folder that no process has.
func Compact(fs wal.FS, most int64) (wal.Stats, error) {
	log, store, err := Open(fs, most, Limits{Lease: time.Second, Instances: 1 << 30, History: 1 << 30, HistoryBytes: 1 << 40, EmptyServices: 1 << 30}, 0)
	if err != nil {
		return wal.Stats{}, err
	}
	if store != nil && log.LastSequence() > log.Stats().Snapshot {
		err = writeSnapshot(log, log.LastSequence(), store.Save())
	}
	st := log.Stats()
	return st, errors.Join(err, log.Close())
}
