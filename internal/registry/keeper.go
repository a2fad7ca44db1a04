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

// WALKind is the kind of write-ahead log in a registry's data directory.
const WALKind = "registry"

const (
	maxBatchWrites       = 1024    // writes that share one sync
	maxBatchBytes        = 1 << 20 // approximate size of the records that share one sync
	persistTimeout       = 5 * time.Second
	diskErrorLogInterval = 10 * time.Second
	snapshotRetryDelay   = 5 * time.Second
)

// persister makes changes durable before readers and writers see them. One goroutine applies
// a batch of pending writes, persists their changes with one sync, and completes them all;
// writes that arrive meanwhile form the next batch.
type persister struct {
	server            *Server
	log               *wal.Log                     // nil if a group replicates the changes
	appendRecords     func(records [][]byte) error // makes records durable
	requests          chan *pendingWrite
	snapshotDone      chan error // result of a snapshot in progress
	diskErrorLoggedAt time.Time
	nextSnapshotAt    time.Time // earliest start of the next snapshot
}

// pendingWrite is a write whose caller is waiting.
type pendingWrite struct {
	apply  func(now time.Duration) (WriteResult, error)
	result WriteResult
	err    error
	done   chan struct{}
}

// Open opens the log in a data directory and restores the store from it. The store is nil
// if the log is empty. maxBytes bounds the size of the log. The caller closes the log.
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
	const segments = 16 // approximate number of segment files of a full log
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

// Persist makes the server persist its changes in log, which it closes at the end of Serve.
// If fresh is true, Persist records the beginning of the history. Call it before Serve.
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

// submit queues a write and waits until its changes are durable, for at most persistTimeout.
func (k *persister) submit(apply func(now time.Duration) (WriteResult, error)) (WriteResult, error) {
	write := &pendingWrite{apply: apply, done: make(chan struct{})}
	timer := time.NewTimer(persistTimeout)
	defer timer.Stop()
	select {
	case k.requests <- write:
	case <-timer.C:
		return WriteResult{}, refuse(http.StatusServiceUnavailable, "overloaded: the write was not accepted within %v", persistTimeout)
	case <-k.server.persisterDone:
		return WriteResult{}, refuse(http.StatusServiceUnavailable, "the server has stopped")
	}
	select {
	case <-write.done:
		return write.result, write.err
	case <-timer.C:
		return WriteResult{}, refuse(http.StatusServiceUnavailable, "the write was not persisted within %v; it may still take effect", persistTimeout)
	}
}

// run persists changes until ctx ends or the log fails.
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

// tick returns the write that expires leases.
func (k *persister) tick() *pendingWrite {
	return &pendingWrite{done: make(chan struct{}), apply: func(now time.Duration) (WriteResult, error) {
		if !k.server.store.isWriter || k.server.store.fence != nil {
			return WriteResult{}, nil
		}
		return WriteResult{}, k.server.store.Tick(now)
	}}
}

// batch applies writes, persists their changes and completes them. It returns the writes
// that depend on staged changes of others or exceed the batch size. An error means that
// changes cannot be persisted any more.
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
		write.result, write.err = write.apply(k.server.now())
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
		slog.Warn("process pause detected; all leases renewed")
	}
	records := k.server.store.StagedRecords()
	k.server.mu.Unlock()
	if len(records) > 0 {
		err = k.appendRecords(records) // without the lock, so that reads continue
		k.server.mu.Lock()
		switch {
		case err == nil && k.server.replicated != nil:
			k.server.store.DropStaged() // the group has applied them through ApplyList
		case err == nil:
			k.server.store.CommitStaged(k.server.now())
			k.server.wake()
		default:
			k.server.store.DropStaged()
			for _, write := range applied {
				if write.err == nil {
					write.err = refuse(http.StatusServiceUnavailable, "the change could not be persisted: %v", err)
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
				write.err = refuse(http.StatusServiceUnavailable, "the change could not be persisted: %v", err)
				close(write.done)
			}
			return nil, fmt.Errorf("changes can't be kept any more: %w", err)
		}
		if time.Since(k.diskErrorLoggedAt) > diskErrorLogInterval {
			k.diskErrorLoggedAt = time.Now()
			slog.Error("writes rejected; reads continue", "error", err)
		}
	}
	k.snapshot()
	return deferred, nil
}

// snapshot starts writing a snapshot if one is due and none is in progress.
func (k *persister) snapshot() {
	if k.log == nil || !k.log.SnapshotDue() || time.Now().Before(k.nextSnapshotAt) {
		return
	}
	k.nextSnapshotAt = time.Now().Add(time.Hour) // finishSnapshot sets the actual time
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
		slog.Error("snapshot failed", "error", err, "retry_in", snapshotRetryDelay)
		return
	}
	slog.Info("snapshot", "sequence", stats.Snapshot, "bytes", stats.SnapshotBytes, "log_bytes", stats.Bytes, "segments", stats.Segments)
}

// persist appends one record outside of a batch. The caller holds the server's lock.
func (k *persister) persist(record Record) error {
	return k.appendRecords([][]byte{encodeRecord(record)})
}

// Compact writes a snapshot of a data directory that no process uses, and returns the
// statistics of its log. maxBytes bounds the size of the log.
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
