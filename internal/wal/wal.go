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
	Kind    string // whose it is, in 8 bytes at most
	Segment int64  // bytes of one file of the log
	Most    int64  // bytes of all files together
}

// Parts of Options.Most. An old and a new snapshot may stand beside the log.
const (
	logPart  = 2 // a half
	snapPart = 4 // a quarter, each
)

var (
	// ErrNoRoom says that nothing was kept, as the disk or the bound is full. It can
	// be tried again.
	ErrNoRoom = errors.New("no room on disk")
	// ErrFailed says that the log can't tell any more what is on disk, and takes
	// nothing until it is opened anew.
	ErrFailed = errors.New("the log has failed")
	errClosed = errors.New("the log is closed")
)

// Stats are a log's figures.
type Stats struct {
	Appends, Records, Syncs int64
	Wait                    time.Duration // in syncs, all together
	LongestWait             time.Duration
	Bytes                   int64 // of the log's files
	Segments                int
	Snapshot                uint64 // the newest one's sequence
	SnapshotBytes           int64
	SnapshotAt              time.Time // zero: before this process
	NoRoom                  int64
	Recovery                Recovery
}

// Log is an open log, for use by several goroutines. One snapshot is written at a
// time, and appends go on beside it.
type Log struct {
	fs      FS
	o       Options
	unlock  io.Closer
	mu      sync.Mutex // of what follows
	file    File       // the newest segment
	all     []segment  // the newest last
	snaps   []uint64
	last    uint64 // sequence
	failed  error
	stats   Stats
	scratch []byte
}

// Open reads a folder, gives what it holds to the visitor, and goes on from there.
// A torn end is cut. Damage is an error, and nothing has been changed then.
func Open(fs FS, o Options, v Visitor) (*Log, error) {
	if len(o.Kind) == 0 || len(o.Kind) > 8 || o.Segment < headerBytes+frameBytes || o.Most < 2*o.Segment {
		return nil, fmt.Errorf("wal: options %+v make no log", o)
	}
	unlock, err := fs.Lock(lockName)
	if err != nil {
		return nil, err
	}
	l := &Log{fs: fs, o: o, unlock: unlock}
	if err := l.open(v); err != nil {
		unlock.Close()
		return nil, err
	}
	return l, nil
}

func (l *Log) open(v Visitor) error {
	r, err := scan(l.fs, l.o.Kind, v)
	if err != nil {
		return err
	}
	l.all, l.last, l.snaps = r.segments, r.Last, r.snaps
	l.stats.Recovery, l.stats.Snapshot, l.stats.SnapshotBytes = *r, r.Snapshot, r.SnapshotBytes
	for _, name := range r.Dropped {
		if err := l.fs.Remove(name); err != nil {
			return err
		}
	}
	// What was removed must not come back beside what is written next.
	if err := l.fs.SyncDir(); err != nil {
		return err
	}
	if n := len(l.snaps); n > 1 {
		l.snaps = l.snaps[n-1:]
	}
	if len(l.all) == 0 {
		return l.begin()
	}
	s := &l.all[len(l.all)-1]
	if s.ended {
		s.size, s.ended = s.size-frameBytes, false // it goes on in its place
	}
	if l.file, err = l.fs.Append(logName(s.first), s.size); err != nil {
		return err
	}
	// What was read may not have been made to last before the crash, and what was
	// cut must be gone before anything is written in its place.
	if err := errors.Join(l.sync(l.file), l.fs.SyncDir()); err != nil {
		return err
	}
	if s.last < l.last { // the snapshot is newer than the log
		if err := l.end(); err != nil {
			return err
		}
		return l.begin()
	}
	return nil
}

// sync makes a file last and measures the wait.
func (l *Log) sync(f File) error {
	began := time.Now()
	err := f.Sync()
	wait := time.Since(began)
	l.stats.Syncs++
	l.stats.Wait += wait
	l.stats.LongestWait = max(l.stats.LongestWait, wait)
	return err
}

// begin makes the next file of the log. The caller has the lock, or is alone.
func (l *Log) begin() error {
	name := logName(l.last + 1)
	f, err := l.fs.Create(name)
	if err != nil {
		return err
	}
	if _, err = f.Write(header(logMagic, l.o.Kind, l.last+1)); err == nil {
		if err = l.sync(f); err == nil {
			err = l.fs.SyncDir()
		}
	}
	if err != nil {
		return errors.Join(err, f.Close(), l.fs.Remove(name))
	}
	l.file = f
	l.all = append(l.all, segment{first: l.last + 1, last: l.last, size: headerBytes})
	return nil
}

// end ends the newest file of the log with a frame that says so.
func (l *Log) end() error {
	s := &l.all[len(l.all)-1]
	if _, err := l.file.Write(appendFrame(nil, s.last+1, nil)); err != nil {
		return errors.Join(err, l.file.Truncate(s.size))
	}
	if err := l.sync(l.file); err != nil {
		return l.fail(err)
	}
	s.size += frameBytes
	s.ended = true
	return l.file.Close()
}

// fail stops the log for good. Danger: after a sync that failed, a later one may
// succeed and say nothing of what the first has lost.
func (l *Log) fail(err error) error {
	if l.failed == nil {
		l.failed = fmt.Errorf("%w: %w", ErrFailed, err)
	}
	return l.failed
}

// Append keeps records: all of them, or none. They last when it returns without an
// error. It returns the sequence of the first.
func (l *Log) Append(records [][]byte) (first uint64, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failed != nil {
		return 0, l.failed
	}
	if len(records) == 0 {
		return 0, errors.New("wal: nothing to append")
	}
	l.scratch = appendFrame(l.scratch[:0], l.last+1, records)
	size := int64(len(l.scratch))
	if size-frameBytes > mostFrame || size > l.o.Segment-headerBytes {
		return 0, fmt.Errorf("wal: %d bytes at once are over %d", size, min(mostFrame, l.o.Segment-headerBytes))
	}
	if l.bytes()+size+headerBytes+frameBytes > l.o.Most/logPart {
		l.stats.NoRoom++
		return 0, fmt.Errorf("%w: the log has %d bytes of %d", ErrNoRoom, l.bytes(), l.o.Most/logPart)
	}
	s := &l.all[len(l.all)-1]
	if s.ended || s.size+size > l.o.Segment {
		if err := l.roll(); err != nil {
			return 0, err
		}
		s = &l.all[len(l.all)-1]
	}
	if _, err := l.file.Write(l.scratch); err != nil {
		// What was written in part must not stand before what comes next.
		if cut := l.file.Truncate(s.size); cut != nil {
			return 0, l.fail(errors.Join(err, cut))
		}
		l.stats.NoRoom++
		return 0, fmt.Errorf("%w: %w", ErrNoRoom, err)
	}
	if err := l.sync(l.file); err != nil {
		return 0, l.fail(err)
	}
	first = l.last + 1
	l.last += uint64(len(records))
	s.last = l.last
	s.size += size
	l.stats.Appends++
	l.stats.Records += int64(len(records))
	return first, nil
}

// roll goes on in a new file.
func (l *Log) roll() error {
	if !l.all[len(l.all)-1].ended {
		if err := l.end(); err != nil {
			if l.failed != nil {
				return l.failed
			}
			l.stats.NoRoom++
			return fmt.Errorf("%w: %w", ErrNoRoom, err)
		}
	}
	if err := l.begin(); err != nil {
		l.stats.NoRoom++
		return fmt.Errorf("%w: %w", ErrNoRoom, err)
	}
	return nil
}

// bytes are those of the log's files.
func (l *Log) bytes() (n int64) {
	for _, s := range l.all {
		n += s.size
	}
	return n
}

// Due says whether a snapshot would be worth its writing: the log has grown beyond
// a file and beyond twice the last snapshot, or comes near its bound.
func (l *Log) Due() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.bytes()
	return l.failed == nil && l.last > l.stats.Snapshot && (n > max(l.o.Segment, 2*l.stats.SnapshotBytes) || n > l.o.Most/logPart/2)
}

// Last is the sequence of the last record.
func (l *Log) Last() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last
}

// Snapshot puts a snapshot in place of the records up to a sequence, which are on
// disk. Those and older snapshots are removed only when the new one lasts. If it
// fails, all is as it was.
func (l *Log) Snapshot(sequence uint64, records func(emit func(record []byte) error) error) error {
	if err := l.prepare(sequence); err != nil {
		return err
	}
	size, err := l.write(sequence, records)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stats.Snapshot, l.stats.SnapshotBytes, l.stats.SnapshotAt = sequence, size, time.Now()
	return l.trim(sequence)
}

// prepare checks that there can be a snapshot up to a sequence, and lets what comes
// behind go into another file, so that all before can be removed.
func (l *Log) prepare(sequence uint64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch s := l.all[len(l.all)-1]; {
	case l.failed != nil:
		return l.failed
	case sequence > l.last || sequence <= l.stats.Snapshot:
		return fmt.Errorf("wal: a snapshot of record %d, where there are those from %d to %d", sequence, l.stats.Snapshot+1, l.last)
	case s.last == sequence && s.first <= s.last:
		return l.roll()
	}
	return nil
}

// write makes the snapshot's file and makes it last.
func (l *Log) write(sequence uint64, records func(func([]byte) error) error) (size int64, err error) {
	temp := snapName(sequence) + tempSuffix
	f, err := l.fs.Create(temp)
	if err != nil {
		return 0, err
	}
	defer func() {
		if err != nil {
			err = errors.Join(err, f.Close(), l.fs.Remove(temp))
		}
	}()
	const batch = 64 << 10 // bytes of a frame
	var waiting [][]byte
	count, held := uint64(0), 0
	put := func(b []byte) error {
		if size += int64(len(b)); size > l.o.Most/snapPart {
			return fmt.Errorf("%w: the snapshot would have over %d bytes", ErrNoRoom, l.o.Most/snapPart)
		}
		if _, err := f.Write(b); err != nil {
			return fmt.Errorf("%w: %w", ErrNoRoom, err)
		}
		return nil
	}
	flush := func() error {
		if len(waiting) == 0 {
			return nil
		}
		err := put(appendFrame(nil, count, waiting))
		count += uint64(len(waiting))
		waiting, held = waiting[:0], 0
		return err
	}
	if err = put(header(snapMagic, l.o.Kind, sequence)); err != nil {
		return 0, err
	}
	err = records(func(record []byte) error {
		if len(record) > mostFrame-4 {
			return fmt.Errorf("wal: a record of %d bytes", len(record))
		}
		if held+len(record)+4 > batch {
			if err := flush(); err != nil {
				return err
			}
		}
		waiting = append(waiting, slices.Clone(record))
		held += len(record) + 4
		return nil
	})
	if err == nil {
		err = flush()
	}
	if err == nil {
		err = put(appendFrame(nil, count, nil))
	}
	if err != nil {
		return 0, err
	}
	if err = f.Sync(); err != nil {
		return 0, err
	}
	if err = f.Close(); err != nil {
		return 0, err
	}
	if err = l.fs.Rename(temp, snapName(sequence)); err != nil {
		return 0, err
	}
	if err := l.fs.SyncDir(); err != nil {
		// The name may last or not; both are good, as nothing is removed yet. A later
		// snapshot removes it.
		l.mu.Lock()
		l.snaps = append(l.snaps, sequence)
		l.mu.Unlock()
		return 0, err
	}
	return size, nil
}

// trim removes what a snapshot that lasts has made needless.
func (l *Log) trim(sequence uint64) error {
	var all []error
	keep := l.all[:0]
	for i, s := range l.all {
		if i < len(l.all)-1 && s.last <= sequence {
			all = append(all, l.fs.Remove(logName(s.first)))
			continue
		}
		keep = append(keep, s)
	}
	l.all = keep
	for _, n := range l.snaps {
		all = append(all, l.fs.Remove(snapName(n)))
	}
	l.snaps = []uint64{sequence}
	all = append(all, l.fs.SyncDir())
	return errors.Join(all...)
}

// Stats returns the figures.
func (l *Log) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	st := l.stats
	st.Bytes, st.Segments = l.bytes(), len(l.all)
	return st
}

// Close ends the log, so that the next to open it knows that it has all.
func (l *Log) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failed != nil {
		return l.unlock.Close()
	}
	l.failed = errClosed
	if s := l.all[len(l.all)-1]; s.ended {
		return l.unlock.Close()
	}
	l.failed = nil
	err := l.end()
	l.failed = errClosed
	return errors.Join(err, l.unlock.Close())
}
