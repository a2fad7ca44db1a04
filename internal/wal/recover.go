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

// Names of the files in a folder. Numbers in names are hexadecimal.
const (
	lockName       = "lock"
	logSuffix      = ".log"
	snapshotSuffix = ".snap"
	tempSuffix     = ".tmp"
)

func logName(first uint64) string    { return fmt.Sprintf("%016x%s", first, logSuffix) }
func snapshotName(seq uint64) string { return fmt.Sprintf("%016x%s", seq, snapshotSuffix) }

// parseName returns the number in a name that logName or snapshotName returned.
func parseName(name, suffix string) (uint64, bool) {
	var parsed uint64
	digits, ok := strings.CutSuffix(name, suffix)
	if !ok || len(digits) != 16 {
		return 0, false
	}
	if _, err := fmt.Sscanf(digits, "%016x", &parsed); err != nil || fmt.Sprintf("%016x", parsed) != digits {
		return 0, false
	}
	return parsed, true
}

// Visitor receives the records of a folder in order: those of the newest snapshot, and then those of
// the log after it. An error stops the scan.
type Visitor struct {
	Snapshot func(record []byte) error
	Record   func(sequence uint64, record []byte) error
}

// Recovery describes the content of a folder.
type Recovery struct {
	Snapshot        uint64 // sequence of the newest snapshot; 0: none
	SnapshotRecords int
	SnapshotBytes   int64
	Segments        int
	Records         int // records of the log after the snapshot
	Bytes           int64
	Last            uint64 // sequence of the last record
	Closed          bool   // Close had ended the log
	TruncatedFile   string // file with a torn end; empty: none
	TruncatedAt     int64
	TruncatedBytes  int64
	ObsoleteFiles   []string // files left by a crash that are not needed
	Duration        time.Duration

	segments  []segment
	snapshots []uint64 // sequences of all snapshots, in ascending order
}

// segment is a file of the log.
type segment struct {
	first uint64
	last  uint64 // first-1 if the segment has no records
	size  int64  // bytes up to the end of the last valid frame
	ended bool   // its last frame marks the end
}

// scan reads a folder without modifying it.
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
			// The snapshot covers the file, and a crash prevented its removal.
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
	if headerLength, err := io.ReadFull(reader, header[:]); err != nil && err != io.EOF && err != io.ErrUnexpectedEOF {
		return err
	} else if sequence, err := parseHeader(header[:headerLength], snapshotMagic, kind); err != nil {
		return headerError(name, err)
	} else if sequence != r.Snapshot {
		return &DamageError{name, 20, fmt.Sprintf("its name is of another snapshot: the header has the sequence %d", sequence)}
	}
	r.SnapshotBytes = headerBytes
	for {
		next, err := readFrame(reader)
		switch {
		case err == io.EOF || err == errInvalidFrame || err == nil && next.first != uint64(r.SnapshotRecords):
			return &DamageError{name, r.SnapshotBytes, "invalid or missing frame of the snapshot"}
		case err != nil:
			return err
		}
		r.SnapshotBytes += next.size
		if len(next.records) == 0 { // the end of the snapshot
			if _, err := reader.ReadByte(); err != io.EOF {
				return &DamageError{name, r.SnapshotBytes, "data after the end of the snapshot"}
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

// headerError returns a DamageError unless the header is valid and of another kind or format.
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
	headerLength, err := io.ReadFull(reader, header[:])
	if err != nil && err != io.EOF && err != io.ErrUnexpectedEOF {
		return err
	}
	current := segment{first: first, last: first - 1, size: headerBytes}
	number, err := parseHeader(header[:headerLength], logMagic, kind)
	if err != nil {
		var kindErr *wrongKindError
		if !newest || errors.As(err, &kindErr) || errors.Is(err, errNewerFormat) {
			return headerError(name, err)
		}
		// The header is synced before the first frame is written. Without a frame, the crash came
		// while the file was created.
		rest, err := io.ReadAll(io.MultiReader(bytes.NewReader(header[:headerLength]), reader))
		if err != nil {
			return err
		}
		if containsFrame(rest, first) {
			return &DamageError{name, 0, "damaged header before valid frames"}
		}
		r.TruncatedFile, r.TruncatedAt, r.TruncatedBytes = name, 0, int64(len(rest))
		r.ObsoleteFiles = append(r.ObsoleteFiles, name)
		return nil
	}
	if number != first {
		return &DamageError{name, 20, fmt.Sprintf("its name is of another segment: the header has the sequence %d", number)}
	}
	for {
		next, err := readFrame(reader)
		if err == io.EOF {
			if !newest && !current.ended {
				return &DamageError{name, current.size, "segment has no end mark, but is not the newest"}
			}
			break
		}
		if err != nil && err != errInvalidFrame {
			return err
		}
		if err == nil && (current.ended || next.first != current.last+1) {
			return &DamageError{name, current.size, fmt.Sprintf("frame at sequence %d, want %d, or frame after the end mark", next.first, current.last+1)}
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
				continue // covered by the snapshot
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

// checkTornEnd handles an invalid frame. A torn end of the newest segment is recorded for
// truncation; anything else is damage.
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
		return &DamageError{name, current.size, fmt.Sprintf("invalid frame within the log, %d bytes before the end of the file", len(rest))}
	}
	r.TruncatedFile, r.TruncatedAt, r.TruncatedBytes = name, current.size, int64(len(rest))
	return nil
}

// Check reads a folder without modifying it, apart from its lock file. It fails if another process
// uses the folder.
func Check(fs FS, kind string, visitor Visitor) (*Recovery, error) {
	unlock, err := fs.Lock(lockName)
	if err != nil {
		return nil, err
	}
	defer unlock.Close()
	return scan(fs, kind, visitor)
}
