package wal

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Names of the files in a folder.
const (
	lockName       = "lock"
	logSuffix      = ".log"
	snapshotSuffix = ".snap"
	tempSuffix     = ".tmp"
)

func logName(first uint64) string    { return fmt.Sprintf("%016x%s", first, logSuffix) }
func snapshotName(seq uint64) string { return fmt.Sprintf("%016x%s", seq, snapshotSuffix) }

// number reads a name that logName or snapName has made.
func parseName(name, suffix string) (uint64, bool) {
	var n uint64
	digits, ok := strings.CutSuffix(name, suffix)
	if !ok || len(digits) != 16 {
		return 0, false
	}
	if _, err := fmt.Sscanf(digits, "%016x", &n); err != nil || fmt.Sprintf("%016x", n) != digits {
		return 0, false
	}
	return n, true
}

// Visitor takes what a folder holds, in order: the records of the newest snapshot,
// then those of the log behind it.
type Visitor struct {
	Snapshot func(record []byte) error
	Record   func(sequence uint64, record []byte) error
}

// Recovery is what was found in a folder.
type Recovery struct {
	Snapshot        uint64 // the newest one's sequence; 0: none
	SnapshotRecords int
	SnapshotBytes   int64
	Segments        int
	Records         int // read from the log behind the snapshot
	Bytes           int64
	Last            uint64 // sequence
	Closed          bool   // the log was closed, not cut off
	TruncatedFile   string // a torn end was cut here; empty: none was
	TruncatedAt     int64
	TruncatedBytes  int64
	ObsoleteFiles   []string // files that a crash had left and nobody needs
	Duration        time.Duration

	segments  []segment
	snapshots []uint64
}

// segment is one file of the log.
type segment struct {
	first uint64
	last  uint64 // below first: it has no record
	size  int64  // of what is whole
	ended bool   // by a frame that says so
}

// scan reads a folder without changing it.
func scan(fs FS, kind string, visitor Visitor) (*Recovery, error) {
	start := time.Now()
	names, err := fs.List()
	if err != nil {
		return nil, err
	}
	slices.Sort(names)
	recovery := &Recovery{}
	var logs, snapshots []uint64
	for _, name := range names {
		if n, ok := parseName(name, logSuffix); ok {
			logs = append(logs, n)
		} else if n, ok := parseName(name, snapshotSuffix); ok {
			snapshots = append(snapshots, n)
		} else if strings.HasSuffix(name, tempSuffix) {
			recovery.ObsoleteFiles = append(recovery.ObsoleteFiles, name)
		} else if name != lockName {
			return nil, fmt.Errorf("%s: no file of a log; is this another program's folder?", name)
		}
	}
	recovery.snapshots = snapshots
	if len(snapshots) > 0 {
		recovery.Snapshot = snapshots[len(snapshots)-1]
		if err := recovery.readSnapshot(fs, kind, visitor); err != nil {
			return nil, err
		}
	}
	recovery.Last = recovery.Snapshot
	for i, first := range logs {
		newest := i == len(logs)-1
		if !newest && logs[i+1] <= recovery.Snapshot+1 {
			// The snapshot has all of it, and a crash came before its removal.
			recovery.ObsoleteFiles = append(recovery.ObsoleteFiles, logName(first))
			continue
		}
		if first > recovery.Last+1 {
			return nil, &DamageError{logName(first), 0, fmt.Sprintf("the records from %d to %d are missing", recovery.Last+1, first-1)}
		}
		if err := recovery.readSegment(fs, kind, first, newest, visitor); err != nil {
			return nil, err
		}
	}
	for _, n := range snapshots[:max(0, len(snapshots)-1)] {
		recovery.ObsoleteFiles = append(recovery.ObsoleteFiles, snapshotName(n))
	}
	recovery.Segments = len(recovery.segments)
	recovery.Duration = time.Since(start)
	return recovery, nil
}

func (r *Recovery) readSnapshot(fs FS, kind string, visitor Visitor) error {
	name := snapshotName(r.Snapshot)
	file, err := fs.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	reader := bufio.NewReaderSize(file, 1<<16)
	var header [headerBytes]byte
	if n, err := io.ReadFull(reader, header[:]); err != nil && err != io.EOF && err != io.ErrUnexpectedEOF {
		return err
	} else if sequence, err := parseHeader(header[:n], snapshotMagic, kind); err != nil {
		return headerError(name, err)
	} else if sequence != r.Snapshot {
		return &DamageError{name, 20, "its name is of another snapshot"}
	}
	r.SnapshotBytes = headerBytes
	for {
		next, err := readFrame(reader)
		switch {
		case err == io.EOF || err == errInvalidFrame || err == nil && next.first != uint64(r.SnapshotRecords):
			return &DamageError{name, r.SnapshotBytes, "the snapshot does not go on here"}
		case err != nil:
			return err
		}
		r.SnapshotBytes += next.size
		if len(next.records) == 0 { // its end
			if _, err := reader.ReadByte(); err != io.EOF {
				return &DamageError{name, r.SnapshotBytes, "something stands behind the end"}
			}
			return nil
		}
		for _, record := range next.records {
			r.SnapshotRecords++
			if err := visitor.Snapshot(record); err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
		}
	}
}

// headerError tells a header that is not to be read from one that is damaged.
func headerError(name string, err error) error {
	var kindErr *wrongKindError
	if errors.As(err, &kindErr) || errors.Is(err, errNewerFormat) {
		return fmt.Errorf("%s: %w", name, err)
	}
	return &DamageError{name, 0, err.Error()}
}

func (r *Recovery) readSegment(fs FS, kind string, first uint64, newest bool, visitor Visitor) error {
	name := logName(first)
	file, err := fs.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	reader := bufio.NewReaderSize(file, 1<<16)
	var header [headerBytes]byte
	n, err := io.ReadFull(reader, header[:])
	if err != nil && err != io.EOF && err != io.ErrUnexpectedEOF {
		return err
	}
	current := segment{first: first, last: first - 1, size: headerBytes}
	number, err := parseHeader(header[:n], logMagic, kind)
	if err != nil {
		var kindErr *wrongKindError
		if !newest || errors.As(err, &kindErr) || errors.Is(err, errNewerFormat) {
			return headerError(name, err)
		}
		// The header lasts before anything is written behind it. If nothing is, the
		// file was being made when the power went.
		rest, err := io.ReadAll(io.MultiReader(bytes.NewReader(header[:n]), reader))
		if err != nil {
			return err
		}
		if containsFrame(rest, first) {
			return &DamageError{name, 0, "the header is damaged"}
		}
		r.TruncatedFile, r.TruncatedAt, r.TruncatedBytes = name, 0, int64(len(rest))
		r.ObsoleteFiles = append(r.ObsoleteFiles, name)
		return nil
	}
	if number != first {
		return &DamageError{name, 20, "its name is of another part of the log"}
	}
	for {
		next, err := readFrame(reader)
		if err == io.EOF {
			if !newest && !current.ended {
				return &DamageError{name, current.size, "this part of the log has no end"}
			}
			break
		}
		if err != nil && err != errInvalidFrame {
			return err
		}
		if err == nil && (current.ended || next.first != current.last+1) {
			return &DamageError{name, current.size, "a frame stands here that does not belong here"}
		}
		if err == errInvalidFrame {
			if err := r.checkTornEnd(fs, name, newest, &current); err != nil {
				return err
			}
			break
		}
		current.size += next.size
		current.ended = len(next.records) == 0
		for _, record := range next.records {
			current.last++
			if current.last <= r.Last {
				continue // the snapshot has it
			}
			r.Last = current.last
			r.Records++
			if err := visitor.Record(current.last, record); err != nil {
				return fmt.Errorf("%s at byte %d: %w", name, current.size-next.size, err)
			}
		}
	}
	r.Bytes += current.size
	r.Closed = current.ended
	r.segments = append(r.segments, current)
	return nil
}

// tear decides what to think of a file that does not go on as it should: a torn
// end of the newest is cut, everything else is damage.
func (r *Recovery) checkTornEnd(fs FS, name string, newest bool, current *segment) error {
	file, err := fs.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	if _, err := io.CopyN(io.Discard, file, current.size); err != nil {
		return err
	}
	rest, err := io.ReadAll(file)
	if err != nil {
		return err
	}
	if !newest || current.ended || containsFrame(rest, current.last+1) {
		return &DamageError{name, current.size, fmt.Sprintf("the log does not go on here, and %d bytes stand behind", len(rest))}
	}
	r.TruncatedFile, r.TruncatedAt, r.TruncatedBytes = name, current.size, int64(len(rest))
	return nil
}

// Check reads a folder that no process has, without changing it.
func Check(fs FS, kind string, visitor Visitor) (*Recovery, error) {
	unlock, err := fs.Lock(lockName)
	if err != nil {
		return nil, err
	}
	defer unlock.Close()
	return scan(fs, kind, visitor)
}
