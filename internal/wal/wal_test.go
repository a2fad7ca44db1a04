package wal

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
)

var testOptions = Options{Kind: "test", SegmentBytes: 4 << 10, MaxBytes: 256 << 10}

// recordList holds all records ever stored in a folder. Snapshots in the tests contain all of them.
type recordList []string

func (s *recordList) visitor() Visitor {
	*s = nil
	return Visitor{
		Snapshot: func(r []byte) error { *s = append(*s, string(r)); return nil },
		Record: func(sequence uint64, r []byte) error {
			*s = append(*s, string(r))
			if sequence != uint64(len(*s)) {
				return fmt.Errorf("record %d has the sequence %d", len(*s), sequence)
			}
			return nil
		},
	}
}

// runLog opens a log, checks its records, and appends and snapshots at random until an error or the
// last step. It returns the acknowledged records and those that may have been stored.
func runLog(fs FS, random *rand.Rand, steps int, acknowledged recordList) (acknowledgedAfter, unacknowledged recordList, err error) {
	var found recordList
	log, err := Open(fs, testOptions, found.visitor())
	if err != nil {
		return acknowledged, nil, err
	}
	if !slices.Equal(found, acknowledged) {
		return acknowledged, nil, fmt.Errorf("got %d records after opening, want %d", len(found), len(acknowledged))
	}
	for range steps {
		switch draw := random.IntN(10); {
		case draw < 8:
			var batch [][]byte
			var texts recordList
			for range 1 + random.IntN(4) {
				text := fmt.Sprintf("%d:%s", len(acknowledged)+len(batch), strings.Repeat("x", random.IntN(700)))
				batch = append(batch, []byte(text))
				texts = append(texts, text)
			}
			if _, err := log.Append(batch); errors.Is(err, ErrNoSpace) && !errors.Is(err, errPowerLost) {
				continue
			} else if err != nil {
				return acknowledged, texts, err
			}
			acknowledged = append(slices.Clone(acknowledged), texts...)
		case draw < 9 && len(acknowledged) > 0:
			sequence := uint64(len(acknowledged))
			if log.Stats().Snapshot == sequence {
				continue
			}
			err := log.Snapshot(sequence, func(emit func([]byte) error) error {
				for _, r := range acknowledged {
					if err := emit([]byte(r)); err != nil {
						return err
					}
				}
				return nil
			})
			if errors.Is(err, errPowerLost) {
				return acknowledged, nil, err
			}
		}
	}
	return acknowledged, nil, log.Close()
}

// After a power loss at any operation the log has all acknowledged records in order, and an
// unacknowledged batch completely or not at all.
func TestPowerLossKeepsAcknowledgedRecords(t *testing.T) {
	losses, discarded, tornEnds := 0, 0, 0
	for seed := range uint64(8) {
		undisturbed := newPowerFS(rand.New(rand.NewPCG(seed, 1)))
		if _, _, err := runLog(undisturbed, rand.New(rand.NewPCG(seed, 2)), 40, nil); err != nil {
			t.Fatal(err)
		}
		for operation := range undisturbed.ops {
			for outcome := range uint64(4) {
				fs := newPowerFS(rand.New(rand.NewPCG(seed*1000+uint64(operation), outcome)))
				fs.remainingOps = operation
				acknowledged, unacknowledged, err := runLog(fs, rand.New(rand.NewPCG(seed, 2)), 40, nil)
				if err == nil || !errors.Is(err, errPowerLost) {
					t.Fatalf("seed %d, operation %d: got error %v, want a power loss", seed, operation, err)
				}
				losses++
				// The power may be lost again during and after the recovery.
				for round := range 3 {
					fs.losePower()
					var found recordList
					visitor := found.visitor()
					recovery, err := Check(fs, testOptions.Kind, visitor)
					if err != nil {
						t.Fatalf("seed %d, operation %d, outcome %d, round %d: %v", seed, operation, outcome, round, err)
					}
					if recovery.TruncatedBytes > 0 {
						tornEnds++
					}
					if slices.Equal(found, append(slices.Clone(acknowledged), unacknowledged...)) {
						acknowledged = found
					} else if !slices.Equal(found, acknowledged) {
						t.Fatalf("seed %d, operation %d, outcome %d, round %d: got %d records, want %d and possibly %d more", seed, operation, outcome, round, len(found), len(acknowledged), len(unacknowledged))
					} else if len(unacknowledged) > 0 {
						discarded++
					}
					fs.remainingOps = fs.random.IntN(30)
					acknowledged, unacknowledged, _ = runLog(fs, fs.random, 5, acknowledged)
				}
			}
		}
	}
	t.Logf("%d power losses, %d with a torn end, %d that discarded an unacknowledged batch", losses, tornEnds, discarded)
	if tornEnds == 0 || discarded == 0 {
		t.Error("no power loss tore or discarded a batch: the test detects nothing")
	}
}

// After a failed write the log continues, and a failed sync stops it. Neither loses acknowledged
// records or keeps a part of a batch.
func TestWriteAndSyncErrorsLoseNothing(t *testing.T) {
	refused, failed := 0, 0
	for seed := range uint64(200) {
		fs := newPowerFS(rand.New(rand.NewPCG(seed, 3)))
		fs.writeErrorOdds = 4
		if seed%2 == 1 {
			fs.syncErrorOdds = 10
		}
		random := rand.New(rand.NewPCG(seed, 4))
		acknowledged, unacknowledged, err := runLog(fs, random, 60, nil)
		if err != nil {
			failed++
		}
		refused += len(fs.files)
		fs.losePower()
		var found recordList
		if _, err := Check(fs, testOptions.Kind, found.visitor()); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if !slices.Equal(found, acknowledged) && !slices.Equal(found, append(slices.Clone(acknowledged), unacknowledged...)) {
			t.Fatalf("seed %d: got %d records, want %d", seed, len(found), len(acknowledged))
		}
	}
	if failed < 20 {
		t.Errorf("%d of 200 runs stopped early, want at least 20", failed)
	}

	fs := newPowerFS(rand.New(rand.NewPCG(1, 1)))
	log, err := Open(fs, testOptions, new(recordList).visitor())
	if err != nil {
		t.Fatal(err)
	}
	fs.syncErrorOdds = 1
	if _, err := log.Append([][]byte{[]byte("a")}); !errors.Is(err, ErrFailed) {
		t.Errorf("failed sync: got error %v, want ErrFailed", err)
	}
	fs.syncErrorOdds = 0 // the next sync would succeed
	if _, err := log.Append([][]byte{[]byte("b")}); !errors.Is(err, ErrFailed) {
		t.Errorf("append after a failed sync: got error %v, want ErrFailed", err)
	}
	if log.SnapshotDue() || log.Snapshot(1, nil) == nil {
		t.Error("a failed log accepts a snapshot")
	}
}

// filledFolder returns a folder with a snapshot and several files of the log, and its records.
func filledFolder(t *testing.T, closed bool) (*powerFS, recordList) {
	t.Helper()
	fs := newPowerFS(rand.New(rand.NewPCG(5, 5)))
	var records recordList
	log, err := Open(fs, testOptions, records.visitor())
	if err != nil {
		t.Fatal(err)
	}
	for n := range 50 {
		text := fmt.Sprintf("%d:%s", n, strings.Repeat("y", 300))
		if _, err := log.Append([][]byte{[]byte(text), []byte("z")}); err != nil {
			t.Fatal(err)
		}
		records = append(records, text, "z")
		if n == 20 {
			if err := log.Snapshot(uint64(len(records)), func(emit func([]byte) error) error {
				for _, r := range records {
					emit([]byte(r))
				}
				return nil
			}); err != nil {
				t.Fatal(err)
			}
		}
	}
	if stats := log.Stats(); stats.Segments < 2 || stats.Snapshot != 42 || stats.Syncs < 50 || stats.Appends != 50 || stats.Records != 100 {
		t.Errorf("unexpected statistics %+v", stats)
	}
	if closed {
		if err := log.Close(); err != nil {
			t.Fatal(err)
		}
	} else {
		fs.locked = false
	}
	return fs, records
}

// Recovery detects any flipped bit, or returns the same records.
func TestFlippedBitsAreDetected(t *testing.T) {
	for _, closed := range []bool{true, false} {
		fs, records := filledFolder(t, closed)
		detected, harmless, truncated := 0, 0, 0
		for name, file := range fs.files {
			for offset := range file.data {
				file.data[offset] ^= 1 << (offset % 8)
				var got recordList
				recovery, err := Check(fs, testOptions.Kind, got.visitor())
				var damage *DamageError
				switch {
				case errors.As(err, &damage) && damage.File == name && damage.Offset <= int64(offset):
					detected++
				case err != nil:
					t.Fatalf("%s, byte %d: %v", name, offset, err)
				case slices.Equal(got, records):
					harmless++
				case !closed && recovery.TruncatedFile == name && recovery.TruncatedAt <= int64(offset):
					truncated++ // reported as a torn end, which is allowed if the log was not closed
				default:
					t.Fatalf("%s, byte %d: got %d records of %d without an error", name, offset, len(got), len(records))
				}
				file.data[offset] ^= 1 << (offset % 8)
			}
		}
		t.Logf("closed %t: %d detected, %d harmless, %d truncated", closed, detected, harmless, truncated)
		if detected == 0 || harmless > frameHeaderBytes+frameHeaderBytes || closed && truncated > 0 {
			t.Errorf("closed %t: %d detected, %d harmless, %d truncated", closed, detected, harmless, truncated)
		}
	}
}

// A folder of another kind, program or format, or with a missing file, is refused with the reason.
func TestForeignAndIncompleteFoldersAreRefused(t *testing.T) {
	oldest := func(fs *powerFS, suffix string) string {
		var names []string
		for name := range fs.files {
			if strings.HasSuffix(name, suffix) {
				names = append(names, name)
			}
		}
		slices.Sort(names)
		return names[0]
	}
	for _, testCase := range []struct {
		name   string
		change func(fs *powerFS)
		kind   string
		want   string // expected error; empty: none
	}{
		{"unchanged", func(*powerFS) {}, "test", ""},
		{"another kind", func(*powerFS) {}, "other", `the folder is of "test", not of "other"`},
		{"unknown file", func(fs *powerFS) { fs.files["photo.jpg"] = &inode{} }, "test", "photo.jpg: no file of a log"},
		{"leftover of a crash", func(fs *powerFS) { fs.files["0000000000000001.snap.tmp"] = &inode{data: []byte("half")} }, "test", ""},
		{"missing snapshot", func(fs *powerFS) { delete(fs.files, oldest(fs, snapshotSuffix)) }, "test", "the records from 1 to "},
		{"missing segment", func(fs *powerFS) { delete(fs.files, oldest(fs, logSuffix)) }, "test", "are missing"},
		{"two snapshots", func(fs *powerFS) { fs.files[snapshotName(3)] = &inode{data: []byte("an old one, not read")} }, "test", ""},
		{"renamed snapshot", func(fs *powerFS) {
			fs.files[snapshotName(43)] = fs.files[snapshotName(42)]
		}, "test", "its name is of another snapshot"},
		{"newer format", func(fs *powerFS) {
			file := fs.files[snapshotName(42)]
			head := encodeHeader(snapshotMagic, "test", 42)
			head[8] = 2
			copy(file.data, appendChecksum(head[:headerBytes-4]))
		}, "test", "of a later format"},
	} {
		fs, records := filledFolder(t, true)
		testCase.change(fs)
		var got recordList
		_, err := Check(fs, testCase.kind, got.visitor())
		if testCase.want == "" && (err != nil || !slices.Equal(got, records)) || testCase.want != "" && (err == nil || !strings.Contains(err.Error(), testCase.want)) {
			t.Errorf("%s: got error %v, %d records of %d", testCase.name, err, len(got), len(records))
		}
		filesBefore := len(fs.files)
		if _, err := Open(fs, Options{Kind: testCase.kind, SegmentBytes: 4 << 10, MaxBytes: 1 << 20}, got.visitor()); testCase.want != "" && (err == nil || len(fs.files) != filesBefore || fs.locked) {
			t.Errorf("%s: opened with %v, %d files of %d, locked %t", testCase.name, err, len(fs.files), filesBefore, fs.locked)
		}
	}
}

// The log stays within its size limit, reports in time that a snapshot is due, and continues after
// one.
func TestSizeLimit(t *testing.T) {
	fs := newPowerFS(rand.New(rand.NewPCG(1, 1)))
	options := Options{Kind: "test", SegmentBytes: 4 << 10, MaxBytes: 32 << 10}
	log, err := Open(fs, options, new(recordList).visitor())
	if err != nil {
		t.Fatal(err)
	}
	total := func() (n int64) {
		for _, f := range fs.files {
			n += int64(len(f.data))
		}
		return n
	}
	record := [][]byte{bytes.Repeat([]byte("r"), 900)}
	dueCount := 0
	for err == nil {
		if _, err = log.Append(record); log.SnapshotDue() {
			dueCount++
		}
		if total() > options.MaxBytes {
			t.Fatalf("size limit exceeded: %d bytes of %d", total(), options.MaxBytes)
		}
	}
	if !errors.Is(err, ErrNoSpace) || dueCount == 0 || log.Stats().NoSpace != 1 {
		t.Fatalf("got error %v, snapshot due %d times, want ErrNoSpace and at least 1", err, dueCount)
	}
	if err := log.Snapshot(log.LastSequence(), func(emit func([]byte) error) error {
		for range 100 {
			if err := emit(record[0]); err != nil {
				return err
			}
		}
		return nil
	}); !errors.Is(err, ErrNoSpace) || total() > options.MaxBytes {
		t.Errorf("snapshot beyond the limit: got error %v, %d bytes", err, total())
	}
	if err := log.Snapshot(log.LastSequence(), func(emit func([]byte) error) error { return emit([]byte("all")) }); err != nil {
		t.Fatal(err)
	}
	if _, err := log.Append(record); err != nil || log.Stats().Segments > 2 {
		t.Errorf("append after a snapshot: got error %v, %+v", err, log.Stats())
	}
	if _, err := log.Append([][]byte{bytes.Repeat([]byte("r"), 5000)}); err == nil || errors.Is(err, ErrNoSpace) {
		t.Errorf("append beyond the segment size: got error %v", err)
	}
}

// Dir behaves like the simulated file system, admits one process, and truncates a torn end.
func TestDirMatchesSimulatedFS(t *testing.T) {
	dir := Dir(t.TempDir())
	random := rand.New(rand.NewPCG(9, 9))
	var records recordList
	for range 5 {
		var err error
		if records, _, err = runLog(dir, random, 40, records); err != nil {
			t.Fatal(err)
		}
	}
	log, err := Open(dir, testOptions, new(recordList).visitor())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Open(dir, testOptions, new(recordList).visitor()); err == nil || !strings.Contains(err.Error(), fmt.Sprint("in use by process ", os.Getpid())) {
		t.Errorf("second process: got error %v", err)
	}
	// A torn end is truncated and reported.
	newest := log.segments[len(log.segments)-1]
	log.lock.Close() // simulates a killed process
	file, err := os.OpenFile(dir.path(logName(newest.first)), os.O_WRONLY|os.O_APPEND, 0)
	if err != nil {
		t.Fatal(err)
	}
	file.Write([]byte("torn..."))
	file.Close()
	var found recordList
	log, err = Open(dir, testOptions, found.visitor())
	if err != nil {
		t.Fatal(err)
	}
	if recovery := log.Stats().Recovery; !slices.Equal(found, records) || recovery.TruncatedBytes != 7 || recovery.TruncatedAt != newest.size || recovery.Closed {
		t.Errorf("got %d records of %d, %+v", len(found), len(records), recovery)
	}
}

// Reading a segment with any content terminates, and accepted records come from valid frames.
func FuzzSegment(f *testing.F) {
	encoded := encodeHeader(logMagic, "test", 1)
	encoded = appendFrame(encoded, 1, [][]byte{[]byte("a"), []byte("bb")})
	f.Add(encoded)
	f.Add(appendFrame(slices.Clone(encoded), 3, nil))
	f.Add(encoded[:len(encoded)-1])
	f.Fuzz(func(t *testing.T, content []byte) {
		fs := newPowerFS(rand.New(rand.NewPCG(1, 1)))
		fs.files[logName(1)] = &inode{data: content}
		header := encodeHeader(logMagic, "test", 1)
		var records [][]byte
		recovery, err := Check(fs, "test", Visitor{Snapshot: func([]byte) error { return nil }, Record: func(_ uint64, record []byte) error {
			records = append(records, record)
			return nil
		}})
		if err != nil || len(recovery.segments) == 0 {
			return
		}
		size := int64(headerBytes)
		for _, record := range records {
			size += 4 + int64(len(record))
		}
		if !bytes.HasPrefix(content, header) || recovery.segments[0].size < size || recovery.segments[0].size > int64(len(content)) {
			t.Errorf("%d records of %d bytes taken from %d bytes, %+v", len(records), size, len(content), recovery.segments)
		}
	})
}
