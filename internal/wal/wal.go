// Package wal is a log that lasts: records are appended, and are on disk when that
// returns; a snapshot stands in place of the records before it. What is read back
// is all that was told to be kept, or an error that names file and offset.
package wal

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"
)

// Options are what a log needs to know.
type Options struct {
	Kind         string // whose it is, in 8 bytes at most
	SegmentBytes int64  // bytes of one file of the log
	MaxBytes     int64  // bytes of all files together
}

// Parts of Options.Most. An old and a new snapshot may stand beside the log.
const (
	logDivisor      = 2 // a half
	snapshotDivisor = 4 // a quarter, each
)

var (
	// ErrNoRoom says that nothing was kept, as the disk or the bound is full. It can
	// be tried again.
	ErrNoSpace = errors.New("no room on disk")
	// ErrFailed says that the log can't tell any more what is on disk, and takes
	// nothing until it is opened anew.
	ErrFailed = errors.New("the log has failed")
	errClosed = errors.New("the log is closed")
)

// Stats are a log's figures.
type Stats struct {
	Appends, Records, Syncs int64
	SyncDuration            time.Duration // in syncs, all together
	MaxSyncDuration         time.Duration
	Bytes                   int64 // of the log's files
	Segments                int
	Snapshot                uint64 // the newest one's sequence
	SnapshotBytes           int64
	SnapshotAt              time.Time // zero: before this process
	NoSpace                 int64
	Recovery                Recovery
}

// Log is an open log, for use by several goroutines. One snapshot is written at a
// time, and appends go on beside it.
type Log struct {
	fs           FS
	options      Options
	lock         io.Closer
	mu           sync.Mutex // of what follows
	file         File       // the newest segment
	segments     []segment  // the newest last
	snapshots    []uint64
	lastSequence uint64 // sequence
	err          error
	stats        Stats
	scratch      []byte
}

// Open reads a folder, gives what it holds to the visitor, and goes on from there.
// A torn end is cut. Damage is an error, and nothing has been changed then.
func Open(fs FS, options Options, visitor Visitor) (*Log, error) {
	if len(options.Kind) == 0 || len(options.Kind) > 8 || options.SegmentBytes < headerBytes+frameHeaderBytes || options.MaxBytes < 2*options.SegmentBytes {
		return nil, fmt.Errorf("wal: options %+v make no log", options)
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
	// What was removed must not come back beside what is written next.
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
		newest.size, newest.ended = newest.size-frameHeaderBytes, false // it goes on in its place
	}
	if l.file, err = l.fs.Append(logName(newest.first), newest.size); err != nil {
		return err
	}
	// What was read may not have been made to last before the crash, and what was
	// cut must be gone before anything is written in its place.
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

// sync makes a file last and measures the wait.
func (l *Log) sync(file File) error {
	start := time.Now()
	err := file.Sync()
	wait := time.Since(start)
	l.stats.Syncs++
	l.stats.SyncDuration += wait
	l.stats.MaxSyncDuration = max(l.stats.MaxSyncDuration, wait)
	return err
}

// begin makes the next file of the log. The caller has the lock, or is alone.
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

// end ends the newest file of the log with a frame that says so.
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

// fail stops the log for good. Danger: after a sync that failed, a later one may
// succeed and say nothing of what the first has lost.
func (l *Log) fail(err error) error {
	if l.err == nil {
		l.err = fmt.Errorf("%w: %w", ErrFailed, err)
	}
	return l.err
}

// Append keeps records: all of them, or none. They last when it returns without an
// error. It returns the sequence of the first.
func (l *Log) Append(records [][]byte) (first uint64, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil {
		return 0, l.err
	}
	if len(records) == 0 {
		return 0, errors.New("wal: nothing to append")
	}
	l.scratch = appendFrame(l.scratch[:0], l.lastSequence+1, records)
	size := int64(len(l.scratch))
	if size-frameHeaderBytes > maxFrameBytes || size > l.options.SegmentBytes-headerBytes {
		return 0, fmt.Errorf("wal: %d bytes at once are over %d", size, min(maxFrameBytes, l.options.SegmentBytes-headerBytes))
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
		// What was written in part must not stand before what comes next.
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

// roll goes on in a new file.
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

// bytes are those of the log's files.
func (l *Log) logBytes() (n int64) {
	for _, s := range l.segments {
		n += s.size
	}
	return n
}

// Due says whether a snapshot would be worth its writing: the log has grown beyond
// a file and beyond twice the last snapshot, or comes near its bound.
func (l *Log) SnapshotDue() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	size := l.logBytes()
	return l.err == nil && l.lastSequence > l.stats.Snapshot && (size > max(l.options.SegmentBytes, 2*l.stats.SnapshotBytes) || size > l.options.MaxBytes/logDivisor/2)
}

// Last is the sequence of the last record.
func (l *Log) LastSequence() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastSequence
}

// Snapshot puts a snapshot in place of the records up to a sequence, which are on
// disk. Those and older snapshots are removed only when the new one lasts. If it
// fails, all is as it was.
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

// prepare checks that there can be a snapshot up to a sequence, and lets what comes
// behind go into another file, so that all before can be removed.
func (l *Log) prepareSnapshot(sequence uint64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch newest := l.segments[len(l.segments)-1]; {
	case l.err != nil:
		return l.err
	case sequence > l.lastSequence || sequence <= l.stats.Snapshot:
		return fmt.Errorf("wal: a snapshot of record %d, where there are those from %d to %d", sequence, l.stats.Snapshot+1, l.lastSequence)
	case newest.last == sequence && newest.first <= newest.last:
		return l.rollSegment()
	}
	return nil
}

// write makes the snapshot's file and makes it last.
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
	const batch = 64 << 10 // bytes of a frame
	var pending [][]byte
	count, pendingBytes := uint64(0), 0
	write := func(data []byte) error {
		if size += int64(len(data)); size > l.options.MaxBytes/snapshotDivisor {
			return fmt.Errorf("%w: the snapshot would have over %d bytes", ErrNoSpace, l.options.MaxBytes/snapshotDivisor)
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
			return fmt.Errorf("wal: a record of %d bytes", len(record))
		}
		if pendingBytes+len(record)+4 > batch {
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
		// The name may last or not; both are good, as nothing is removed yet. A later
		// snapshot removes it.
		l.mu.Lock()
		l.snapshots = append(l.snapshots, sequence)
		l.mu.Unlock()
		return 0, err
	}
	return size, nil
}

// trim removes what a snapshot that lasts has made needless.
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

// Stats returns the figures.
func (l *Log) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	stats := l.stats
	stats.Bytes, stats.Segments = l.logBytes(), len(l.segments)
	return stats
}

// Close ends the log, so that the next to open it knows that it has all.
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
