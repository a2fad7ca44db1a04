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

// WALKind is the kind of write-ahead log in a registry's folder.
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

// Open opens the log in a folder and restores the store from it. The store is nil
// if the log is empty. maxBytes bounds the size of the log. The caller closes the log unless
// it passes it to Server.Persist.
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
// If newHistory is true, Persist records the beginning of the history. Call it before Serve.
func (s *Server) Persist(log *wal.Log, newHistory bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if newHistory {
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
func (p *persister) submit(apply func(now time.Duration) (WriteResult, error)) (WriteResult, error) {
	write := &pendingWrite{apply: apply, done: make(chan struct{})}
	timer := time.NewTimer(persistTimeout)
	defer timer.Stop()
	select {
	case p.requests <- write:
	case <-timer.C:
		return WriteResult{}, refuse(http.StatusServiceUnavailable, "overloaded: the write was not accepted within %v", persistTimeout)
	case <-p.server.persisterDone:
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
func (p *persister) run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var pending []*pendingWrite
	for {
		if len(pending) == 0 {
			select {
			case <-ctx.Done():
				return nil
			case err := <-p.snapshotDone:
				p.finishSnapshot(err)
				continue
			case <-ticker.C:
				if p.server.replicated != nil {
					p.server.beginHistory()
				}
				pending = append(pending, p.tick())
			case write := <-p.requests:
				pending = append(pending, write)
			}
		}
	more:
		for len(pending) < maxBatchWrites {
			select {
			case write := <-p.requests:
				pending = append(pending, write)
			default:
				break more
			}
		}
		var err error
		if pending, err = p.batch(pending); err != nil {
			return err
		}
	}
}

// tick returns the write that expires leases.
func (p *persister) tick() *pendingWrite {
	return &pendingWrite{done: make(chan struct{}), apply: func(now time.Duration) (WriteResult, error) {
		if !p.server.store.isWriter || p.server.store.fence != nil {
			return WriteResult{}, nil
		}
		return WriteResult{}, p.server.store.Tick(now)
	}}
}

// batch applies writes, persists their changes and completes them. It returns the writes
// that depend on staged changes of others or exceed the batch size. An error means that
// changes cannot be persisted any more.
func (p *persister) batch(writes []*pendingWrite) (deferred []*pendingWrite, err error) {
	var applied []*pendingWrite
	p.server.mu.Lock()
	bytes := 0
	pausesBefore := p.server.store.stats.Pauses
	for i, write := range writes {
		if bytes > maxBatchBytes {
			deferred = append(deferred, writes[i:]...)
			break
		}
		stagedBefore := len(p.server.store.staged)
		write.result, write.err = write.apply(p.server.now())
		for _, staged := range p.server.store.staged[stagedBefore:] {
			bytes += len(staged.encoded)
		}
		if errors.Is(write.err, errPending) {
			deferred = append(deferred, write)
			continue
		}
		applied = append(applied, write)
	}
	if p.server.store.stats.Pauses != pausesBefore {
		slog.Warn("process pause detected; all leases renewed")
	}
	records := p.server.store.StagedRecords()
	p.server.mu.Unlock()
	if len(records) > 0 {
		err = p.appendRecords(records) // without the lock, so that reads continue
		p.server.mu.Lock()
		switch {
		case err == nil && p.server.replicated != nil:
			p.server.store.DropStaged() // the group has applied them through ApplyList
		case err == nil:
			p.server.store.CommitStaged(p.server.now())
			p.server.wake()
		default:
			p.server.store.DropStaged()
			for _, write := range applied {
				if write.err == nil {
					write.err = refuse(http.StatusServiceUnavailable, "the change could not be persisted: %v", err)
				}
			}
		}
		p.server.mu.Unlock()
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
		if time.Since(p.diskErrorLoggedAt) > diskErrorLogInterval {
			p.diskErrorLoggedAt = time.Now()
			slog.Error("writes rejected; reads continue", "error", err)
		}
	}
	p.snapshot()
	return deferred, nil
}

// snapshot starts writing a snapshot if one is due and none is in progress.
func (p *persister) snapshot() {
	if p.log == nil || !p.log.SnapshotDue() || time.Now().Before(p.nextSnapshotAt) {
		return
	}
	p.nextSnapshotAt = time.Now().Add(time.Hour) // finishSnapshot sets the actual time
	p.server.mu.Lock()
	records, sequence := p.server.store.SnapshotRecords(), p.log.LastSequence()
	p.server.mu.Unlock()
	p.server.snapshots.Go(func() { p.snapshotDone <- writeSnapshot(p.log, sequence, records) })
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

func (p *persister) finishSnapshot(err error) {
	p.nextSnapshotAt = time.Now()
	stats := p.log.Stats()
	if err != nil {
		p.nextSnapshotAt = p.nextSnapshotAt.Add(snapshotRetryDelay)
		slog.Error("snapshot failed", "error", err, "retry_in", snapshotRetryDelay)
		return
	}
	slog.Info("snapshot", "sequence", stats.Snapshot, "bytes", stats.SnapshotBytes, "log_bytes", stats.Bytes, "segments", stats.Segments)
}

// persist appends one record outside of a batch. The caller holds the server's lock.
func (p *persister) persist(record Record) error {
	return p.appendRecords([][]byte{encodeRecord(record)})
}

// Compact writes a snapshot of a folder that no process uses, and returns the
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
