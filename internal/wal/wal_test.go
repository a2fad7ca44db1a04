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

// state is what a folder holds: every record that was ever kept. A snapshot holds
// them all.
type state []string

func (s *state) visitor() Visitor {
	*s = nil
	return Visitor{
		Snapshot: func(r []byte) error { *s = append(*s, string(r)); return nil },
		Record: func(sequence uint64, r []byte) error {
			*s = append(*s, string(r))
			if sequence != uint64(len(*s)) {
				return fmt.Errorf("record %d is number %d", len(*s), sequence)
			}
			return nil
		},
	}
}

// life is one opening of a log and what is done to it, until an error or the end.
// It returns what was kept for certain, and what may have been.
func life(fs FS, random *rand.Rand, steps int, have state) (kept, maybe state, err error) {
	var found state
	l, err := Open(fs, testOptions, found.visitor())
	if err != nil {
		return have, nil, err
	}
	if !slices.Equal(found, have) {
		return have, nil, fmt.Errorf("%d records were found, %d had been kept", len(found), len(have))
	}
	for range steps {
		switch n := random.IntN(10); {
		case n < 8:
			var batch [][]byte
			var texts state
			for range 1 + random.IntN(4) {
				text := fmt.Sprintf("%d:%s", len(have)+len(batch), strings.Repeat("x", random.IntN(700)))
				batch = append(batch, []byte(text))
				texts = append(texts, text)
			}
			if _, err := l.Append(batch); errors.Is(err, ErrNoSpace) && !errors.Is(err, errPower) {
				continue
			} else if err != nil {
				return have, texts, err
			}
			have = append(slices.Clone(have), texts...)
		case n < 9 && len(have) > 0:
			at := uint64(len(have))
			if l.Stats().Snapshot == at {
				continue
			}
			err := l.Snapshot(at, func(emit func([]byte) error) error {
				for _, r := range have {
					if err := emit([]byte(r)); err != nil {
						return err
					}
				}
				return nil
			})
			if errors.Is(err, errPower) {
				return have, nil, err
			}
		}
	}
	return have, nil, l.Close()
}

// The power goes at each operation of each schedule: what was kept is there, in
// order, and what was not is there whole or not at all.
func TestPowerLoss(t *testing.T) {
	runs, cuts, torn := 0, 0, 0
	for seed := range uint64(8) {
		whole := newPowerFS(rand.New(rand.NewPCG(seed, 1)))
		if _, _, err := life(whole, rand.New(rand.NewPCG(seed, 2)), 40, nil); err != nil {
			t.Fatal(err)
		}
		for at := range whole.ops {
			for outcome := range uint64(4) {
				fs := newPowerFS(rand.New(rand.NewPCG(seed*1000+uint64(at), outcome)))
				fs.left = at
				have, maybe, err := life(fs, rand.New(rand.NewPCG(seed, 2)), 40, nil)
				if err == nil || !errors.Is(err, errPower) {
					t.Fatalf("seed %d, operation %d: %v", seed, at, err)
				}
				runs++
				// It may go again while the log is read back and goes on.
				for again := range 3 {
					fs.lose()
					var found state
					v := found.visitor()
					r, err := Check(fs, testOptions.Kind, v)
					if err != nil {
						t.Fatalf("seed %d, operation %d, outcome %d, time %d: %v", seed, at, outcome, again, err)
					}
					if r.TruncatedBytes > 0 {
						torn++
					}
					if slices.Equal(found, append(slices.Clone(have), maybe...)) {
						have = found
					} else if !slices.Equal(found, have) {
						t.Fatalf("seed %d, operation %d, outcome %d, time %d: %d records of %d, and %d that may be", seed, at, outcome, again, len(found), len(have), len(maybe))
					} else if len(maybe) > 0 {
						cuts++
					}
					fs.left = fs.random.IntN(30)
					have, maybe, _ = life(fs, fs.random, 5, have)
				}
			}
		}
	}
	t.Logf("%d losses, %d with a torn end, %d after which an unfinished batch was gone", runs, torn, cuts)
	if torn == 0 || cuts == 0 {
		t.Error("the schedules tear nothing")
	}
}

// A full disk refuses and goes on; a sync that fails ends the log; neither loses or
// halves anything.
func TestFullDiskAndBadSyncs(t *testing.T) {
	refused, failed := 0, 0
	for seed := range uint64(200) {
		fs := newPowerFS(rand.New(rand.NewPCG(seed, 3)))
		fs.noRoom = 4
		if seed%2 == 1 {
			fs.badSyncs = 10
		}
		random := rand.New(rand.NewPCG(seed, 4))
		have, maybe, err := life(fs, random, 60, nil)
		if err != nil {
			failed++
		}
		refused += len(fs.names)
		fs.lose()
		var found state
		if _, err := Check(fs, testOptions.Kind, found.visitor()); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if !slices.Equal(found, have) && !slices.Equal(found, append(slices.Clone(have), maybe...)) {
			t.Fatalf("seed %d: %d records of %d", seed, len(found), len(have))
		}
	}
	if failed < 20 {
		t.Errorf("%d of 200 ended early", failed)
	}

	fs := newPowerFS(rand.New(rand.NewPCG(1, 1)))
	l, err := Open(fs, testOptions, new(state).visitor())
	if err != nil {
		t.Fatal(err)
	}
	fs.badSyncs = 1
	if _, err := l.Append([][]byte{[]byte("a")}); !errors.Is(err, ErrFailed) {
		t.Errorf("a sync that fails: %v", err)
	}
	fs.badSyncs = 0 // and the next would say that all is well
	if _, err := l.Append([][]byte{[]byte("b")}); !errors.Is(err, ErrFailed) {
		t.Errorf("after a sync that failed: %v", err)
	}
	if l.SnapshotDue() || l.Snapshot(1, nil) == nil {
		t.Error("a log that has failed makes snapshots")
	}
}

// filled is a folder with a snapshot, several files of log, and a way to it.
func filled(t *testing.T, closed bool) (*powerFS, state) {
	t.Helper()
	fs := newPowerFS(rand.New(rand.NewPCG(5, 5)))
	var have state
	l, err := Open(fs, testOptions, have.visitor())
	if err != nil {
		t.Fatal(err)
	}
	for n := range 50 {
		text := fmt.Sprintf("%d:%s", n, strings.Repeat("y", 300))
		if _, err := l.Append([][]byte{[]byte(text), []byte("z")}); err != nil {
			t.Fatal(err)
		}
		have = append(have, text, "z")
		if n == 20 {
			if err := l.Snapshot(uint64(len(have)), func(emit func([]byte) error) error {
				for _, r := range have {
					emit([]byte(r))
				}
				return nil
			}); err != nil {
				t.Fatal(err)
			}
		}
	}
	if st := l.Stats(); st.Segments < 2 || st.Snapshot != 42 || st.Syncs < 50 || st.Appends != 50 || st.Records != 100 {
		t.Errorf("%+v", st)
	}
	if closed {
		if err := l.Close(); err != nil {
			t.Fatal(err)
		}
	} else {
		fs.locked = false
	}
	return fs, have
}

// Any one byte that is not as it was written is found, or changes nothing.
func TestFlippedBytes(t *testing.T) {
	for _, closed := range []bool{true, false} {
		fs, have := filled(t, closed)
		found, same, cut := 0, 0, 0
		for name, n := range fs.names {
			for at := range n.data {
				n.data[at] ^= 1 << (at % 8)
				var got state
				r, err := Check(fs, testOptions.Kind, got.visitor())
				var damage *DamageError
				switch {
				case errors.As(err, &damage) && damage.File == name && damage.Offset <= int64(at):
					found++
				case err != nil:
					t.Fatalf("%s, byte %d: %v", name, at, err)
				case slices.Equal(got, have):
					same++
				case !closed && r.TruncatedFile == name && r.TruncatedAt <= int64(at):
					cut++ // of a log that was not closed the last frame may be torn, and that is told
				default:
					t.Fatalf("%s, byte %d: %d records of %d and no word", name, at, len(got), len(have))
				}
				n.data[at] ^= 1 << (at % 8)
			}
		}
		t.Logf("closed %t: %d found, %d changed nothing, %d cut and told", closed, found, same, cut)
		if found == 0 || same > frameHeaderBytes+frameHeaderBytes || closed && cut > 0 {
			t.Errorf("closed %t: %d found, %d changed nothing, %d cut", closed, found, same, cut)
		}
	}
}

// Folders that are no log of this kind, or lack a part, are refused with a reason.
func TestFolders(t *testing.T) {
	older := func(fs *powerFS, suffix string) string {
		var names []string
		for name := range fs.names {
			if strings.HasSuffix(name, suffix) {
				names = append(names, name)
			}
		}
		slices.Sort(names)
		return names[0]
	}
	for _, c := range []struct {
		name   string
		change func(fs *powerFS)
		kind   string
		want   string // "" where it is good
	}{
		{"as it was", func(*powerFS) {}, "test", ""},
		{"another service's", func(*powerFS) {}, "other", `the folder is of "test", not of "other"`},
		{"another program's", func(fs *powerFS) { fs.names["photo.jpg"] = &inode{} }, "test", "photo.jpg: no file of a log"},
		{"left over", func(fs *powerFS) { fs.names["0000000000000001.snap.tmp"] = &inode{data: []byte("half")} }, "test", ""},
		{"no snapshot", func(fs *powerFS) { delete(fs.names, older(fs, snapshotSuffix)) }, "test", "the records from 1 to "},
		{"no first part", func(fs *powerFS) { delete(fs.names, older(fs, logSuffix)) }, "test", "are missing"},
		{"two snapshots", func(fs *powerFS) { fs.names[snapshotName(3)] = &inode{data: []byte("an old one, not read")} }, "test", ""},
		{"another's name", func(fs *powerFS) {
			fs.names[snapshotName(43)] = fs.names[snapshotName(42)]
		}, "test", "its name is of another snapshot"},
		{"a later format", func(fs *powerFS) {
			n := fs.names[snapshotName(42)]
			head := encodeHeader(snapshotMagic, "test", 42)
			head[8] = 2
			copy(n.data, appendChecksum(head[:headerBytes-4]))
		}, "test", "of a later format"},
	} {
		fs, have := filled(t, true)
		c.change(fs)
		var got state
		_, err := Check(fs, c.kind, got.visitor())
		if c.want == "" && (err != nil || !slices.Equal(got, have)) || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
			t.Errorf("%s: %v, %d records of %d", c.name, err, len(got), len(have))
		}
		before := len(fs.names)
		if _, err := Open(fs, Options{Kind: c.kind, SegmentBytes: 4 << 10, MaxBytes: 1 << 20}, got.visitor()); c.want != "" && (err == nil || len(fs.names) != before || fs.locked) {
			t.Errorf("%s: opened with %v, %d files of %d, locked %t", c.name, err, len(fs.names), before, fs.locked)
		}
	}
}

// The log stays within its bound, asks for a snapshot in time, and goes on after
// one.
func TestBound(t *testing.T) {
	fs := newPowerFS(rand.New(rand.NewPCG(1, 1)))
	o := Options{Kind: "test", SegmentBytes: 4 << 10, MaxBytes: 32 << 10}
	l, err := Open(fs, o, new(state).visitor())
	if err != nil {
		t.Fatal(err)
	}
	total := func() (n int64) {
		for _, f := range fs.names {
			n += int64(len(f.data))
		}
		return n
	}
	record := [][]byte{bytes.Repeat([]byte("r"), 900)}
	due := 0
	for err == nil {
		if _, err = l.Append(record); l.SnapshotDue() {
			due++
		}
		if total() > o.MaxBytes {
			t.Fatalf("%d bytes of %d", total(), o.MaxBytes)
		}
	}
	if !errors.Is(err, ErrNoSpace) || due == 0 || l.Stats().NoSpace != 1 {
		t.Fatalf("%v, due %d times", err, due)
	}
	if err := l.Snapshot(l.LastSequence(), func(emit func([]byte) error) error {
		for range 100 {
			if err := emit(record[0]); err != nil {
				return err
			}
		}
		return nil
	}); !errors.Is(err, ErrNoSpace) || total() > o.MaxBytes {
		t.Errorf("a snapshot beyond the bound: %v, %d bytes", err, total())
	}
	if err := l.Snapshot(l.LastSequence(), func(emit func([]byte) error) error { return emit([]byte("all")) }); err != nil {
		t.Fatal(err)
	}
	if _, err := l.Append(record); err != nil || l.Stats().Segments > 2 {
		t.Errorf("after a snapshot: %v, %+v", err, l.Stats())
	}
	if _, err := l.Append([][]byte{bytes.Repeat([]byte("r"), 5000)}); err == nil || errors.Is(err, ErrNoSpace) {
		t.Errorf("more than a file holds: %v", err)
	}
}

// The folder of the system's does what the tests' does, and holds one process.
func TestDir(t *testing.T) {
	dir := Dir(t.TempDir())
	random := rand.New(rand.NewPCG(9, 9))
	var have state
	for range 5 {
		var err error
		if have, _, err = life(dir, random, 40, have); err != nil {
			t.Fatal(err)
		}
	}
	l, err := Open(dir, testOptions, new(state).visitor())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Open(dir, testOptions, new(state).visitor()); err == nil || !strings.Contains(err.Error(), fmt.Sprint("in use by process ", os.Getpid())) {
		t.Errorf("a second process: %v", err)
	}
	// A torn end is cut, and told.
	newest := l.segments[len(l.segments)-1]
	l.lock.Close() // as where the process is killed
	f, err := os.OpenFile(dir.path(logName(newest.first)), os.O_WRONLY|os.O_APPEND, 0)
	if err != nil {
		t.Fatal(err)
	}
	f.Write([]byte("torn..."))
	f.Close()
	var found state
	l, err = Open(dir, testOptions, found.visitor())
	if err != nil {
		t.Fatal(err)
	}
	if r := l.Stats().Recovery; !slices.Equal(found, have) || r.TruncatedBytes != 7 || r.TruncatedAt != newest.size || r.Closed {
		t.Errorf("%d records of %d, %+v", len(found), len(have), r)
	}
}

// Whatever stands in a file, reading it ends, and what is taken is what a log
// writes.
func FuzzSegment(f *testing.F) {
	good := encodeHeader(logMagic, "test", 1)
	good = appendFrame(good, 1, [][]byte{[]byte("a"), []byte("bb")})
	f.Add(good)
	f.Add(appendFrame(slices.Clone(good), 3, nil))
	f.Add(good[:len(good)-1])
	f.Fuzz(func(t *testing.T, text []byte) {
		fs := newPowerFS(rand.New(rand.NewPCG(1, 1)))
		fs.names[logName(1)] = &inode{data: text}
		again := encodeHeader(logMagic, "test", 1)
		var records [][]byte
		r, err := Check(fs, "test", Visitor{Snapshot: func([]byte) error { return nil }, Record: func(_ uint64, b []byte) error {
			records = append(records, b)
			return nil
		}})
		if err != nil || len(r.segments) == 0 {
			return
		}
		size := int64(headerBytes)
		for _, b := range records {
			size += 4 + int64(len(b))
		}
		if !bytes.HasPrefix(text, again) || r.segments[0].size < size || r.segments[0].size > int64(len(text)) {
			t.Errorf("%d records of %d bytes taken from %d bytes, %+v", len(records), size, len(text), r.segments)
		}
	})
}
