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
func Open(fs wal.FS, maxBytes int64, limits Limits, now time.Duration) (*wal.Log, *Store, error) {
	store := newStore(limits, now)
	found := false
	restore := func(encoded []byte) error {
		record, err := ParseRecord(encoded)
		if err != nil {
			return err
		}
		found = true
		return store.Restore(now, record)
	}
	const segments = 16 // files that the log is in, about, when it is full
	log, err := wal.Open(fs, wal.Options{Kind: WALKind, SegmentBytes: max(2*maxBatchBytes, maxBytes/segments), MaxBytes: maxBytes},
		wal.Visitor{Snapshot: restore, Record: func(_ uint64, encoded []byte) error { return restore(encoded) }})
	if err != nil {
		return nil, nil, err
	}
	recovery := log.Stats().Recovery
	slog.Info("data read", "took", recovery.Duration, "snapshot", recovery.Snapshot, "snapshot_records", recovery.SnapshotRecords, "records", recovery.Records, "bytes", recovery.Bytes+recovery.SnapshotBytes,
		"history", store.history, "version", store.version, "instances", len(store.entries), "closed", recovery.Closed)
	if recovery.TruncatedBytes > 0 {
		slog.Warn("a torn end was cut", "file", recovery.TruncatedFile, "at", recovery.TruncatedAt, "bytes", recovery.TruncatedBytes)
	}
	if !found {
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
		begin := Begin{History: s.store.history, Version: s.store.version, BaseVersion: s.store.baseVersion, Epoch: s.store.epoch, Writer: true}
		if _, err := log.Append([][]byte{encodeRecord(Record{Begin: &begin})}); err != nil {
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
func (k *persister) submit(apply func(now time.Duration) (WriteResult, error)) (WriteResult, error) {
	write := &pendingWrite{apply: apply, done: make(chan struct{})}
	timer := time.NewTimer(persistTimeout)
	defer timer.Stop()
	select {
	case k.requests <- write:
	case <-timer.C:
		return WriteResult{}, refuse(http.StatusServiceUnavailable, "the disk does not keep up")
	case <-k.server.persisterDone:
		return WriteResult{}, refuse(http.StatusServiceUnavailable, "the service has ended")
	}
	select {
	case <-write.done:
		return write.written, write.err
	case <-timer.C:
		return WriteResult{}, refuse(http.StatusServiceUnavailable, "the disk does not answer; the change may be kept")
	}
}

// run keeps changes until ctx ends or the log fails.
func (k *persister) run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var pending []*pendingWrite
	for {
		if len(pending) == 0 {
			select {
			case <-ctx.Done():
				return nil
			case err := <-k.snapshotDone:
				k.finishSnapshot(err)
				continue
			case <-ticker.C:
				if k.server.replicated != nil {
					k.server.beginHistory()
				}
				pending = append(pending, k.tick())
			case write := <-k.requests:
				pending = append(pending, write)
			}
		}
	more:
		for len(pending) < maxBatchWrites {
			select {
			case write := <-k.requests:
				pending = append(pending, write)
			default:
				break more
			}
		}
		var err error
		if pending, err = k.batch(pending); err != nil {
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
func (k *persister) batch(writes []*pendingWrite) (deferred []*pendingWrite, err error) {
	var applied []*pendingWrite
	k.server.mu.Lock()
	bytes := 0
	pausesBefore := k.server.store.stats.Pauses
	for i, write := range writes {
		if bytes > maxBatchBytes {
			deferred = append(deferred, writes[i:]...)
			break
		}
		stagedBefore := len(k.server.store.staged)
		write.written, write.err = write.apply(k.server.now())
		for _, staged := range k.server.store.staged[stagedBefore:] {
			bytes += len(staged.encoded)
		}
		if errors.Is(write.err, errPending) {
			deferred = append(deferred, write)
			continue
		}
		applied = append(applied, write)
	}
	if k.server.store.stats.Pauses != pausesBefore {
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
			for _, write := range applied {
				if write.err == nil {
					write.err = refuse(http.StatusServiceUnavailable, "the change could not be kept: %v", err)
				}
			}
		}
		k.server.mu.Unlock()
	}
	for _, write := range applied {
		close(write.done)
	}
	if err != nil {
		if !errors.Is(err, wal.ErrNoSpace) && !errors.Is(err, errOutcomeUnknown) {
			for _, write := range deferred {
				write.err = refuse(http.StatusServiceUnavailable, "the change could not be kept: %v", err)
				close(write.done)
			}
			return nil, fmt.Errorf("changes can't be kept any more: %w", err)
		}
		if time.Since(k.diskErrorLoggedAt) > diskErrorLogInterval {
			k.diskErrorLoggedAt = time.Now()
			slog.Error("writes are turned away, reads go on", "error", err)
		}
	}
	k.snapshot()
	return deferred, nil
}

// snapshot begins to write one, if it is due and none is being written.
func (k *persister) snapshot() {
	if k.log == nil || !k.log.SnapshotDue() || time.Now().Before(k.nextSnapshotAt) {
		return
	}
	k.nextSnapshotAt = time.Now().Add(time.Hour) // until this one has ended
	k.server.mu.Lock()
	records, sequence := k.server.store.SnapshotRecords(), k.log.LastSequence()
	k.server.mu.Unlock()
	k.server.snapshots.Go(func() { k.snapshotDone <- writeSnapshot(k.log, sequence, records) })
}

func writeSnapshot(log *wal.Log, sequence uint64, records []Record) error {
	return log.Snapshot(sequence, func(emit func([]byte) error) error {
		for _, record := range records {
			if err := emit(encodeRecord(record)); err != nil {
				return err
			}
		}
		return nil
	})
}

func (k *persister) finishSnapshot(err error) {
	k.nextSnapshotAt = time.Now()
	stats := k.log.Stats()
	if err != nil {
		k.nextSnapshotAt = k.nextSnapshotAt.Add(snapshotRetryDelay)
		slog.Error("snapshot", "error", err)
		return
	}
	slog.Info("snapshot", "sequence", stats.Snapshot, "bytes", stats.SnapshotBytes, "log_bytes", stats.Bytes, "segments", stats.Segments)
}

// keep keeps a record of a follower, or of what befalls the service itself. The
// caller has the server's lock.
func (k *persister) persist(record Record) error {
	return k.appendRecords([][]byte{encodeRecord(record)})
}

// Compact writes a snapshot of a folder that no process has.
func Compact(fs wal.FS, maxBytes int64) (wal.Stats, error) {
	log, store, err := Open(fs, maxBytes, Limits{Lease: time.Second, Instances: 1 << 30, History: 1 << 30, HistoryBytes: 1 << 40, EmptyServices: 1 << 30}, 0)
	if err != nil {
		return wal.Stats{}, err
	}
	if store != nil && log.LastSequence() > log.Stats().Snapshot {
		err = writeSnapshot(log, log.LastSequence(), store.SnapshotRecords())
	}
	stats := log.Stats()
	return stats, errors.Join(err, log.Close())
}
