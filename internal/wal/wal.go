// Package wal implements a write-ahead log with snapshots. Records are durable when Append returns,
// and recovery returns all acknowledged records or an error with file and offset.
package wal

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"
)

// Options are the options of a log.
type Options struct {
	Kind         string // identifies the application; 1 to 8 bytes
	SegmentBytes int64  // maximum size of a file of the log
	MaxBytes     int64  // maximum size of all files together
}

// Fractions of Options.MaxBytes. An old and a new snapshot may exist beside the log.
const (
	logDivisor      = 2 // the log takes a half
	snapshotDivisor = 4 // each snapshot takes a quarter
)

var (
	// ErrNoSpace says that nothing was stored, because the disk is full or a limit is reached.
	// The call can be retried.
	ErrNoSpace = errors.New("no room on disk")
	// ErrFailed says that the content on disk is unknown after a failed sync or truncation. The
	// log rejects all calls until it is opened again.
	ErrFailed = errors.New("the log has failed")
	errClosed = errors.New("the log is closed")
)

// Stats holds statistics of a log since it was opened.
type Stats struct {
	Appends, Records, Syncs int64
	SyncDuration            time.Duration // total time in syncs
	MaxSyncDuration         time.Duration
	Bytes                   int64 // size of the log's files
	Segments                int
	Snapshot                uint64 // sequence of the newest snapshot
	SnapshotBytes           int64
	SnapshotAt              time.Time // zero: none since the log was opened
	NoSpace                 int64     // appends that failed with ErrNoSpace
	Recovery                Recovery
}

// Log is an open log. It is safe for concurrent use, but callers must write one snapshot at a time.
// Appends don't wait for a snapshot.
type Log struct {
	fs           FS
	options      Options
	lock         io.Closer
	mu           sync.Mutex // guards the fields below
	file         File       // the newest segment
	segments     []segment  // the newest last
	snapshots    []uint64   // sequences of the snapshots on disk, the newest last
	lastSequence uint64     // of the last record
	err          error      // ErrFailed or errClosed; calls return it
	stats        Stats
	scratch      []byte
}

// Open locks a folder, passes its records to the visitor and opens the log for appending. It
// truncates a torn end. It returns a DamageError without modifying the folder if a file is damaged.
func Open(fs FS, options Options, visitor Visitor) (*Log, error) {
	if len(options.Kind) == 0 || len(options.Kind) > 8 || options.SegmentBytes < headerBytes+frameHeaderBytes || options.MaxBytes < 2*options.SegmentBytes {
		return nil, fmt.Errorf("wal: invalid options %+v", options)
	}
	unlock, err := fs.Lock(lockName)
	if err != nil {
		return nil, err
	}
	log := &Log{fs: fs, options: options, lock: unlock}
	if err := log.open(visitor); err != nil {
		unlock.Close()
		return nil, err
	}
	return log, nil
}

func (l *Log) open(visitor Visitor) error {
	recovery, err := scan(l.fs, l.options.Kind, visitor)
	if err != nil {
		return err
	}
	l.segments, l.lastSequence, l.snapshots = recovery.segments, recovery.Last, recovery.snapshots
	l.stats.Recovery, l.stats.Snapshot, l.stats.SnapshotBytes = *recovery, recovery.Snapshot, recovery.SnapshotBytes
	for _, name := range recovery.ObsoleteFiles {
		if err := l.fs.Remove(name); err != nil {
			return err
		}
	}
	// The removals must be durable before the next write.
	if err := l.fs.SyncDir(); err != nil {
		return err
	}
	if n := len(l.snapshots); n > 1 {
		l.snapshots = l.snapshots[n-1:]
	}
	if len(l.segments) == 0 {
		return l.startSegment()
	}
	newest := &l.segments[len(l.segments)-1]
	if newest.ended {
		newest.size, newest.ended = newest.size-frameHeaderBytes, false // the next frame overwrites the end mark
	}
	if l.file, err = l.fs.Append(logName(newest.first), newest.size); err != nil {
		return err
	}
	// Records may have been read that were not synced before the crash, and the truncation must be
	// durable before the next write.
	if err := errors.Join(l.sync(l.file), l.fs.SyncDir()); err != nil {
		return err
	}
	if newest.last < l.lastSequence { // the snapshot is newer than the log
		if err := l.endSegment(); err != nil {
			return err
		}
		return l.startSegment()
	}
	return nil
}

// sync syncs a file and records the time that it takes.
func (l *Log) sync(file File) error {
	start := time.Now()
	err := file.Sync()
	wait := time.Since(start)
	l.stats.Syncs++
	l.stats.SyncDuration += wait
	l.stats.MaxSyncDuration = max(l.stats.MaxSyncDuration, wait)
	return err
}

// startSegment creates the next file of the log. The caller holds mu or has exclusive access.
func (l *Log) startSegment() error {
	name := logName(l.lastSequence + 1)
	file, err := l.fs.Create(name)
	if err != nil {
		return err
	}
	if _, err = file.Write(encodeHeader(logMagic, l.options.Kind, l.lastSequence+1)); err == nil {
		if err = l.sync(file); err == nil {
			err = l.fs.SyncDir()
		}
	}
	if err != nil {
		return errors.Join(err, file.Close(), l.fs.Remove(name))
	}
	l.file = file
	l.segments = append(l.segments, segment{first: l.lastSequence + 1, last: l.lastSequence, size: headerBytes})
	return nil
}

// endSegment writes the end mark to the newest file of the log and closes it.
func (l *Log) endSegment() error {
	newest := &l.segments[len(l.segments)-1]
	if _, err := l.file.Write(appendFrame(nil, newest.last+1, nil)); err != nil {
		return errors.Join(err, l.file.Truncate(newest.size))
	}
	if err := l.sync(l.file); err != nil {
		return l.fail(err)
	}
	newest.size += frameHeaderBytes
	newest.ended = true
	return l.file.Close()
}

// fail stops the log for good. After a failed sync a later one may succeed although data of the
// first is lost.
func (l *Log) fail(err error) error {
	if l.err == nil {
		l.err = fmt.Errorf("%w: %w", ErrFailed, err)
	}
	return l.err
}

// Append appends records atomically and returns the sequence of the first. They are durable when it
// returns without an error.
func (l *Log) Append(records [][]byte) (first uint64, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil {
		return 0, l.err
	}
	if len(records) == 0 {
		return 0, errors.New("wal: no records to append")
	}
	l.scratch = appendFrame(l.scratch[:0], l.lastSequence+1, records)
	size := int64(len(l.scratch))
	if size-frameHeaderBytes > maxFrameBytes || size > l.options.SegmentBytes-headerBytes {
		return 0, fmt.Errorf("wal: append of %d bytes exceeds the limit of %d", size, min(maxFrameBytes, l.options.SegmentBytes-headerBytes))
	}
	if l.logBytes()+size+headerBytes+frameHeaderBytes > l.options.MaxBytes/logDivisor {
		l.stats.NoSpace++
		return 0, fmt.Errorf("%w: the log has %d bytes of %d", ErrNoSpace, l.logBytes(), l.options.MaxBytes/logDivisor)
	}
	newest := &l.segments[len(l.segments)-1]
	if newest.ended || newest.size+size > l.options.SegmentBytes {
		if err := l.rollSegment(); err != nil {
			return 0, err
		}
		newest = &l.segments[len(l.segments)-1]
	}
	if _, err := l.file.Write(l.scratch); err != nil {
		// A partially written frame must not precede the next one.
		if truncateErr := l.file.Truncate(newest.size); truncateErr != nil {
			return 0, l.fail(errors.Join(err, truncateErr))
		}
		l.stats.NoSpace++
		return 0, fmt.Errorf("%w: %w", ErrNoSpace, err)
	}
	if err := l.sync(l.file); err != nil {
		return 0, l.fail(err)
	}
	first = l.lastSequence + 1
	l.lastSequence += uint64(len(records))
	newest.last = l.lastSequence
	newest.size += size
	l.stats.Appends++
	l.stats.Records += int64(len(records))
	return first, nil
}

// rollSegment ends the newest file of the log and starts another.
func (l *Log) rollSegment() error {
	if !l.segments[len(l.segments)-1].ended {
		if err := l.endSegment(); err != nil {
			if l.err != nil {
				return l.err
			}
			l.stats.NoSpace++
			return fmt.Errorf("%w: %w", ErrNoSpace, err)
		}
	}
	if err := l.startSegment(); err != nil {
		l.stats.NoSpace++
		return fmt.Errorf("%w: %w", ErrNoSpace, err)
	}
	return nil
}

// logBytes returns the size of the log's files.
func (l *Log) logBytes() (n int64) {
	for _, s := range l.segments {
		n += s.size
	}
	return n
}

// SnapshotDue reports whether a snapshot should be written: the log is larger than a file and than
// twice the last snapshot, or larger than half of its limit.
func (l *Log) SnapshotDue() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	size := l.logBytes()
	return l.err == nil && l.lastSequence > l.stats.Snapshot && (size > max(l.options.SegmentBytes, 2*l.stats.SnapshotBytes) || size > l.options.MaxBytes/logDivisor/2)
}

// LastSequence returns the sequence of the last record.
func (l *Log) LastSequence() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastSequence
}

// Snapshot writes a snapshot that replaces the records up to the sequence. Those records and older
// snapshots are removed once the new snapshot is durable; if writing it fails, nothing is removed.
func (l *Log) Snapshot(sequence uint64, records func(emit func(record []byte) error) error) error {
	if err := l.prepareSnapshot(sequence); err != nil {
		return err
	}
	size, err := l.writeSnapshot(sequence, records)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stats.Snapshot, l.stats.SnapshotBytes, l.stats.SnapshotAt = sequence, size, time.Now()
	return l.removeObsolete(sequence)
}

// prepareSnapshot checks the sequence of a snapshot, and starts a new file for later records so that
// all earlier ones can be removed.
func (l *Log) prepareSnapshot(sequence uint64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch newest := l.segments[len(l.segments)-1]; {
	case l.err != nil:
		return l.err
	case sequence > l.lastSequence || sequence <= l.stats.Snapshot:
		return fmt.Errorf("wal: snapshot at record %d is not within the records from %d to %d", sequence, l.stats.Snapshot+1, l.lastSequence)
	case newest.last == sequence && newest.first <= newest.last:
		return l.rollSegment()
	}
	return nil
}

// writeSnapshot writes the file of a snapshot and makes it durable. It returns its size in bytes.
func (l *Log) writeSnapshot(sequence uint64, records func(func([]byte) error) error) (size int64, err error) {
	tempName := snapshotName(sequence) + tempSuffix
	file, err := l.fs.Create(tempName)
	if err != nil {
		return 0, err
	}
	defer func() {
		if err != nil {
			err = errors.Join(err, file.Close(), l.fs.Remove(tempName))
		}
	}()
	const batchBytes = 64 << 10 // approximate, per frame
	var pending [][]byte
	count, pendingBytes := uint64(0), 0
	write := func(data []byte) error {
		if size += int64(len(data)); size > l.options.MaxBytes/snapshotDivisor {
			return fmt.Errorf("%w: snapshot exceeds the limit of %d bytes", ErrNoSpace, l.options.MaxBytes/snapshotDivisor)
		}
		if _, err := file.Write(data); err != nil {
			return fmt.Errorf("%w: %w", ErrNoSpace, err)
		}
		return nil
	}
	flush := func() error {
		if len(pending) == 0 {
			return nil
		}
		err := write(appendFrame(nil, count, pending))
		count += uint64(len(pending))
		pending, pendingBytes = pending[:0], 0
		return err
	}
	if err = write(encodeHeader(snapshotMagic, l.options.Kind, sequence)); err != nil {
		return 0, err
	}
	err = records(func(record []byte) error {
		if len(record) > maxFrameBytes-4 {
			return fmt.Errorf("wal: snapshot record of %d bytes exceeds the limit of %d", len(record), maxFrameBytes-4)
		}
		if pendingBytes+len(record)+4 > batchBytes {
			if err := flush(); err != nil {
				return err
			}
		}
		pending = append(pending, slices.Clone(record))
		pendingBytes += len(record) + 4
		return nil
	})
	if err == nil {
		err = flush()
	}
	if err == nil {
		err = write(appendFrame(nil, count, nil))
	}
	if err != nil {
		return 0, err
	}
	if err = file.Sync(); err != nil {
		return 0, err
	}
	if err = file.Close(); err != nil {
		return 0, err
	}
	if err = l.fs.Rename(tempName, snapshotName(sequence)); err != nil {
		return 0, err
	}
	if err := l.fs.SyncDir(); err != nil {
		// The rename may or may not be durable. Both are safe, as nothing has been removed yet. A
		// later snapshot removes this one.
		l.mu.Lock()
		l.snapshots = append(l.snapshots, sequence)
		l.mu.Unlock()
		return 0, err
	}
	return size, nil
}

// removeObsolete removes the files that a durable snapshot has replaced.
func (l *Log) removeObsolete(sequence uint64) error {
	var errs []error
	kept := l.segments[:0]
	for i, s := range l.segments {
		if i < len(l.segments)-1 && s.last <= sequence {
			errs = append(errs, l.fs.Remove(logName(s.first)))
			continue
		}
		kept = append(kept, s)
	}
	l.segments = kept
	for _, n := range l.snapshots {
		errs = append(errs, l.fs.Remove(snapshotName(n)))
	}
	l.snapshots = []uint64{sequence}
	errs = append(errs, l.fs.SyncDir())
	return errors.Join(errs...)
}

// Stats returns statistics of the log.
func (l *Log) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	stats := l.stats
	stats.Bytes, stats.Segments = l.logBytes(), len(l.segments)
	return stats
}

// Close writes the end mark, closes the log and releases the lock.
func (l *Log) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil {
		return l.lock.Close()
	}
	l.err = errClosed
	if newest := l.segments[len(l.segments)-1]; newest.ended {
		return l.lock.Close()
	}
	l.err = nil
	err := l.endSegment()
	l.err = errClosed
	return errors.Join(err, l.lock.Close())
}
