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
	maxBatchWrites       = 1024             // calls that one sync is for
	maxBatchBytes        = 1 << 20          // of their records, about
	persistTimeout       = 5 * time.Second  // that a call waits
	diskErrorLogInterval = 10 * time.Second // between two lines about a full disk
	snapshotRetryDelay   = 5 * time.Second  // after a snapshot that failed
)

// keeper makes changes last before anybody is told of them. One goroutine applies
// the calls that have come, makes what they change last with one sync, and answers
// them all; what comes meanwhile is the next batch.
type persister struct {
	server            *Server
	log               *wal.Log                     // nil where a group keeps what is changed
	appendRecords     func(records [][]byte) error // makes records last
	requests          chan *pendingWrite
	snapshotDone      chan error // the end of a snapshot under way
	diskErrorLoggedAt time.Time
	nextSnapshotAt    time.Time // no snapshot before
}

// job is a call that somebody waits for.
type pendingWrite struct {
	apply   func(now time.Duration) (WriteResult, error)
	written WriteResult
	err     error
	done    chan struct{}
}

// Open reads a folder and takes up what it has, or begins with nothing. The store
// is nil where the folder is new.
func Open(fs wal.FS, most int64, limits Limits, now time.Duration) (*wal.Log, *Store, error) {
	store := newStore(limits, now)
	any := false
	restore := func(text []byte) error {
		r, err := ParseRecord(text)
		if err != nil {
			return err
		}
		any = true
		return store.Restore(now, r)
	}
	const segments = 16 // files that the log is in, about, when it is full
	log, err := wal.Open(fs, wal.Options{Kind: WALKind, SegmentBytes: max(2*maxBatchBytes, most/segments), MaxBytes: most},
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
func (s *Server) Persist(log *wal.Log, fresh bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if fresh {
		b := Begin{History: s.store.history, Version: s.store.version, BaseVersion: s.store.baseVersion, Epoch: s.store.epoch, Writer: true}
		if _, err := log.Append([][]byte{encodeRecord(Record{Begin: &b})}); err != nil {
			return err
		}
	}
	s.persister = &persister{server: s, log: log, requests: make(chan *pendingWrite), snapshotDone: make(chan error, 1), appendRecords: func(records [][]byte) error {
		_, err := log.Append(records)
		return err
	}}
	if s.store.isWriter {
		s.store.EnableStaging()
	}
	return nil
}

// do makes a call and waits until what it changes lasts.
func (k *persister) submit(f func(now time.Duration) (WriteResult, error)) (WriteResult, error) {
	c := &pendingWrite{apply: f, done: make(chan struct{})}
	late := time.NewTimer(persistTimeout)
	defer late.Stop()
	select {
	case k.requests <- c:
	case <-late.C:
		return WriteResult{}, refuse(http.StatusServiceUnavailable, "the disk does not keep up")
	case <-k.server.persisterDone:
		return WriteResult{}, refuse(http.StatusServiceUnavailable, "the service has ended")
	}
	select {
	case <-c.done:
		return c.written, c.err
	case <-late.C:
		return WriteResult{}, refuse(http.StatusServiceUnavailable, "the disk does not answer; the change may be kept")
	}
}

// run keeps changes until ctx ends or the log fails.
func (k *persister) run(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	var waiting []*pendingWrite
	for {
		if len(waiting) == 0 {
			select {
			case <-ctx.Done():
				return nil
			case err := <-k.snapshotDone:
				k.finishSnapshot(err)
				continue
			case <-tick.C:
				if k.server.replicated != nil {
					k.server.beginHistory()
				}
				waiting = append(waiting, k.tick())
			case c := <-k.requests:
				waiting = append(waiting, c)
			}
		}
	more:
		for len(waiting) < maxBatchWrites {
			select {
			case c := <-k.requests:
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
func (k *persister) tick() *pendingWrite {
	return &pendingWrite{done: make(chan struct{}), apply: func(now time.Duration) (WriteResult, error) {
		if !k.server.store.isWriter || k.server.store.fence != nil {
			return WriteResult{}, nil
		}
		return WriteResult{}, k.server.store.Tick(now)
	}}
}

// batch makes calls, makes what they change last, and answers them. It returns
// those that have to wait for the changes of others.
func (k *persister) batch(calls []*pendingWrite) (later []*pendingWrite, err error) {
	var made []*pendingWrite
	k.server.mu.Lock()
	bytes := 0
	pauses := k.server.store.stats.Pauses
	for i, c := range calls {
		if bytes > maxBatchBytes {
			later = append(later, calls[i:]...)
			break
		}
		before := len(k.server.store.staged)
		c.written, c.err = c.apply(k.server.now())
		for _, staged := range k.server.store.staged[before:] {
			bytes += len(staged.encoded)
		}
		if errors.Is(c.err, errPending) {
			later = append(later, c)
			continue
		}
		made = append(made, c)
	}
	if k.server.store.stats.Pauses != pauses {
		slog.Warn("the service stood still; all leases begin anew")
	}
	records := k.server.store.StagedRecords()
	k.server.mu.Unlock()
	if len(records) > 0 {
		err = k.appendRecords(records) // while readers and renewals that wait are let be
		k.server.mu.Lock()
		switch {
		case err == nil && k.server.replicated != nil:
			k.server.store.DropStaged() // they have come by the group
		case err == nil:
			k.server.store.CommitStaged(k.server.now())
			k.server.wake()
		default:
			k.server.store.DropStaged()
			for _, c := range made {
				if c.err == nil {
					c.err = refuse(http.StatusServiceUnavailable, "the change could not be kept: %v", err)
				}
			}
		}
		k.server.mu.Unlock()
	}
	for _, c := range made {
		close(c.done)
	}
	if err != nil {
		if !errors.Is(err, wal.ErrNoSpace) && !errors.Is(err, errOutcomeUnknown) {
			for _, c := range later {
				c.err = refuse(http.StatusServiceUnavailable, "the change could not be kept: %v", err)
				close(c.done)
			}
			return nil, fmt.Errorf("changes can't be kept any more: %w", err)
		}
		if time.Since(k.diskErrorLoggedAt) > diskErrorLogInterval {
			k.diskErrorLoggedAt = time.Now()
			slog.Error("writes are turned away, reads go on", "error", err)
		}
	}
	k.snapshot()
	return later, nil
}

// snapshot begins to write one, if it is due and none is being written.
func (k *persister) snapshot() {
	if k.log == nil || !k.log.SnapshotDue() || time.Now().Before(k.nextSnapshotAt) {
		return
	}
	k.nextSnapshotAt = time.Now().Add(time.Hour) // until this one has ended
	k.server.mu.Lock()
	all, sequence := k.server.store.SnapshotRecords(), k.log.LastSequence()
	k.server.mu.Unlock()
	k.server.snapshots.Go(func() { k.snapshotDone <- writeSnapshot(k.log, sequence, all) })
}

func writeSnapshot(log *wal.Log, sequence uint64, all []Record) error {
	return log.Snapshot(sequence, func(emit func([]byte) error) error {
		for _, r := range all {
			if err := emit(encodeRecord(r)); err != nil {
				return err
			}
		}
		return nil
	})
}

func (k *persister) finishSnapshot(err error) {
	k.nextSnapshotAt = time.Now()
	st := k.log.Stats()
	if err != nil {
		k.nextSnapshotAt = k.nextSnapshotAt.Add(snapshotRetryDelay)
		slog.Error("snapshot", "error", err)
		return
	}
	slog.Info("snapshot", "sequence", st.Snapshot, "bytes", st.SnapshotBytes, "log_bytes", st.Bytes, "segments", st.Segments)
}

// keep keeps a record of a follower, or of what befalls the service itself. The
// caller has the server's lock.
func (k *persister) persist(r Record) error { return k.appendRecords([][]byte{encodeRecord(r)}) }

// Compact writes a snapshot of a folder that no process has.
func Compact(fs wal.FS, most int64) (wal.Stats, error) {
	log, store, err := Open(fs, most, Limits{Lease: time.Second, Instances: 1 << 30, History: 1 << 30, HistoryBytes: 1 << 40, EmptyServices: 1 << 30}, 0)
	if err != nil {
		return wal.Stats{}, err
	}
	if store != nil && log.LastSequence() > log.Stats().Snapshot {
		err = writeSnapshot(log, log.LastSequence(), store.SnapshotRecords())
	}
	st := log.Stats()
	return st, errors.Join(err, log.Close())
}
