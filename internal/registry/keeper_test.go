package registry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dunlintray/internal/wal"
)

// faultyFS is a folder whose disk can be full or fail.
type faultyFS struct {
	wal.FS
	noRoom, badSync atomic.Bool
}

type faultyFile struct {
	wal.File
	fs *faultyFS
}

func (f *faultyFS) wrap(file wal.File, err error) (wal.File, error) {
	return &faultyFile{file, f}, err
}
func (f *faultyFS) Create(name string) (wal.File, error) { return f.wrap(f.FS.Create(name)) }
func (f *faultyFS) Append(name string, size int64) (wal.File, error) {
	return f.wrap(f.FS.Append(name, size))
}

func (f *faultyFile) Write(b []byte) (int, error) {
	if f.fs.noRoom.Load() {
		n, _ := f.File.Write(b[:len(b)/2])
		return n, errors.New("no space left on device")
	}
	return f.File.Write(b)
}

func (f *faultyFile) Sync() error {
	if f.fs.badSync.Load() {
		return errors.New("input/output error")
	}
	return f.File.Sync()
}

// startKeeping runs a writer, or a follower of one, on a folder.
func startKeeping(t *testing.T, fs wal.FS, address, writer string) (*service, *Follower) {
	t.Helper()
	log, store, err := Open(fs, 64<<20, testLimits, 0)
	if err != nil {
		t.Fatal(err)
	}
	random := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1))
	if writer != "" {
		f := NewFollower(address, writer, store, testLimits, testServes, time.Now(), random)
		if err := f.Persist(log, false); err != nil {
			t.Fatal(err)
		}
		s := &service{Server: f.Server}
		s.run(t, f.Serve, address)
		return s, f
	}
	fresh := store == nil
	if fresh {
		store = newTestStore(testLimits, 0)
	}
	s := &service{Server: NewWriter(address, store, testServes, time.Now(), random)}
	if err := s.Persist(log, fresh); err != nil {
		t.Fatal(err)
	}
	s.run(t, s.Server.Serve, address)
	return s, nil
}

func (s *service) end(t *testing.T) {
	t.Helper()
	s.stop()
	if err := <-s.ended; err != nil {
		t.Fatal(err)
	}
}

func (s *service) where(t *testing.T) string {
	_, text, _ := call(t, "GET", "http://"+s.control+"/control/where", "")
	return text
}

// After a restart the same history goes on: readers continue from their version,
// a thousand at once get no whole list, and nobody has gone.
func TestRestartGoesOn(t *testing.T) {
	dir := wal.Dir(t.TempDir())
	s, _ := startKeeping(t, dir, "127.0.0.1:0", "")
	for n := range 20 {
		s.put(t, fmt.Sprint("s-", n), 5)
	}
	call(t, "DELETE", s.url("/s-0?startedAtMs=5"), "")
	before := s.list(t, "")
	where := s.where(t)
	s.end(t)

	s, _ = startKeeping(t, dir, "127.0.0.1:0", "")
	if now := s.where(t); now != where {
		t.Errorf("%s, before %s", now, where)
	}
	if l := s.list(t, ""); l.Generation != before.Generation || len(l.Instances) != 19 {
		t.Errorf("%+v", l)
	}
	if l := s.list(t, "?since=1015"); l.Reset || len(l.Instances) != 6 || l.Instances[5].Lifecycle != Gone {
		t.Errorf("since 1015: %+v", l)
	}
	if code, text, _ := call(t, "PUT", s.url("/s-0"), registration(4)); code != 409 {
		t.Errorf("an earlier process than the one that left: %d %s", code, text)
	}
	joined := s.storeStats().AnswersEncoded
	var wg sync.WaitGroup
	var whole atomic.Int64
	for range 1000 {
		wg.Go(func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if a, err := s.store.Read(s.now(), before.Generation, "h1"); err != nil || a.Full || !a.Unchanged {
				whole.Add(1)
			}
		})
	}
	wg.Wait()
	if whole.Load() > 0 || s.storeStats().AnswersEncoded > joined+1 {
		t.Errorf("%d of 1000 got more than nothing, %d answers put together", whole.Load(), s.storeStats().AnswersEncoded-joined)
	}
	_, figures, _ := call(t, "GET", "http://"+s.control+"/control/counters", "")
	for _, want := range []string{"registry.data.syncs:", "registry.data.segments:", "registry.data.recovery_us:", "registry.data.cut_bytes:0|g"} {
		if !strings.Contains(figures, want) {
			t.Errorf("%s is missing:\n%s", want, figures)
		}
	}
}

// Many writers share syncs, and each is told once its change lasts.
func TestWritersShareSyncs(t *testing.T) {
	dir := wal.Dir(t.TempDir())
	s, _ := startKeeping(t, dir, "127.0.0.1:0", "")
	s.SetLimits(Limits{Lease: time.Minute, Instances: 1000, History: 10_000, HistoryBytes: 1 << 24}, testServes)
	var wg sync.WaitGroup
	var failed atomic.Int64
	for n := range 50 {
		wg.Go(func() {
			for started := range int64(10) {
				id := fmt.Sprint("s-", n)
				_, err := s.writeChange(func(now time.Duration) (WriteResult, error) {
					return s.store.Register(now, inst(id, started+1), nil)
				})
				if err != nil {
					failed.Add(1)
				}
			}
		})
	}
	wg.Wait()
	st := s.persister.log.Stats()
	t.Logf("%d records, %d syncs", st.Records, st.Syncs)
	if failed.Load() > 0 || st.Records != 501 || st.Syncs >= 500 {
		t.Errorf("%d failed, %+v", failed.Load(), st)
	}
	s.end(t)
	version := s.storeStats().Version
	_, store, err := Open(dir, 64<<20, testLimits, 0)
	if err != nil || store.version != version || len(store.entries) != 50 {
		t.Errorf("%v, version %d of %d", err, store.version, version)
	}
}

// With a full disk writes are turned away and reads go on, until there is room.
// When a sync fails, nothing more is told to be kept, and the service ends.
func TestFullAndFailingDisk(t *testing.T) {
	fs := &faultyFS{FS: wal.Dir(t.TempDir())}
	s, _ := startKeeping(t, fs, "127.0.0.1:0", "")
	s.put(t, "s-1", 5)
	before := s.list(t, "")
	fs.noRoom.Store(true)
	for range 3 {
		if code, text, header := call(t, "PUT", s.url("/s-2"), registration(5)); code != 503 || header.Get("Retry-After") == "" || !strings.Contains(text, "no room") {
			t.Errorf("status %d: %s", code, text)
		}
	}
	if l := s.list(t, ""); l.Generation != before.Generation {
		t.Errorf("%+v", l)
	}
	if code, _, _ := call(t, "POST", s.url("/s-1/renew"), `{"startedAtMs":5}`); code != 200 {
		t.Errorf("a renewal needs no room: %d", code)
	}
	fs.noRoom.Store(false)
	s.put(t, "s-2", 5)
	if l := s.list(t, ""); l.Generation != before.Generation+1 || len(l.Instances) != 2 {
		t.Errorf("with room again: %+v", l)
	}
	fs.badSync.Store(true)
	if code, text, _ := call(t, "PUT", s.url("/s-3"), registration(5)); code != 503 {
		t.Errorf("status %d: %s", code, text)
	}
	if err := <-s.ended; !errors.Is(err, wal.ErrFailed) {
		t.Errorf("ended with %v", err)
	}
	fs.badSync.Store(false)
	_, store, err := Open(fs, 64<<20, testLimits, 0)
	if err != nil || store.entries["s-1"] == nil || store.entries["s-2"] == nil {
		t.Errorf("%v, %v", err, store)
	}
}

// A follower that starts again tells the list that it had, as old. Promoted, it
// writes, and the old writer finds out that it must not, also after a restart.
func TestPromote(t *testing.T) {
	old, copied := wal.Dir(t.TempDir()), wal.Dir(t.TempDir())
	w, _ := startKeeping(t, old, "127.0.0.1:0", "")
	w.put(t, "s-1", 5)
	f, _ := startKeeping(t, copied, "127.0.0.1:0", w.address)
	has := func(s *service, id string) func() bool {
		return func() bool {
			code, text, _ := call(t, "GET", s.url(""), "")
			return code == 200 && strings.Contains(text, id)
		}
	}
	until(t, "the follower has the list", has(f, "s-1"))
	w.put(t, "s-2", 5)
	until(t, "and what is new", has(f, "s-2"))
	if code, _, _ := call(t, "POST", "http://"+w.control+"/control/promote", ""); code != 409 {
		t.Errorf("a writer is promoted: %d", code)
	}
	w.end(t)
	f.end(t)

	f, _ = startKeeping(t, copied, "127.0.0.1:0", w.address)
	code, text, header := call(t, "GET", f.url(""), "")
	if code != 200 || !strings.Contains(text, "s-2") || !(len(header.Get(AgeHeader)) >= 5) {
		t.Fatalf("at once after a restart: %d %s, age %s", code, text, header.Get(AgeHeader))
	}
	version := f.list(t, "").Generation
	if code, text, _ := call(t, "POST", "http://"+f.control+"/control/promote", ""); code != 200 {
		t.Fatalf("promote: %d %s", code, text)
	}
	f.put(t, "s-3", 5)
	l := f.list(t, "")
	if len(l.Instances) != 3 || l.Generation <= version {
		t.Errorf("%+v, before at %d", l, version)
	}
	if where := f.where(t); !strings.Contains(where, `"epoch":2`) || strings.Contains(where, "writer") {
		t.Errorf("%s", where)
	}

	// The old writer comes back at its address, with its list.
	w, _ = startKeeping(t, old, w.address, "")
	until(t, "the old writer refuses", func() bool {
		code, text, _ := call(t, "PUT", w.url("/s-4"), registration(5))
		return code == 503 && strings.Contains(text, "has replaced this writer")
	})
	if code, _, _ := call(t, "GET", w.url(""), ""); code != 503 {
		t.Errorf("it still tells its list: %d", code)
	}
	w.end(t)
	w, _ = startKeeping(t, old, "127.0.0.1:0", "")
	if code, _, _ := call(t, "GET", w.url(""), ""); code != 503 || !strings.Contains(w.where(t), "fencedBy") {
		t.Errorf("after a restart it tells its list: %d", code)
	}
	w.end(t)

	// Before it takes any write it asks; and it can copy the new one.
	f.end(t)
	f, _ = startKeeping(t, copied, "127.0.0.1:0", "127.0.0.1:1")
	if l := f.list(t, ""); len(l.Instances) != 3 {
		t.Errorf("the promoted one after a restart: %+v", l)
	}
	f.put(t, "s-5", 5)
	fresh := NewWriter("w", newTestStore(testLimits, 0), testServes, time.Now(), rand.New(rand.NewPCG(1, 1)))
	fresh.QueryPeers(t.Context(), []string{"127.0.0.1:1", f.address})
	if fenced := fresh.Fenced(); fenced == nil || fenced.Epoch != 2 {
		t.Errorf("%+v", fenced)
	}
	w, _ = startKeeping(t, old, "127.0.0.1:0", f.address)
	until(t, "the old writer copies the new one", has(w, "s-5"))

	// One that was promoted is the writer when it is asked again, but not once another is.
	promote := func() int {
		code, _, _ := call(t, "POST", "http://"+f.control+"/control/promote", "")
		return code
	}
	if code := promote(); code != 200 {
		t.Errorf("promoted again: %d", code)
	}
	if code, text, _ := call(t, "POST", "http://"+f.address+FencePath, `{"epoch":9,"history":"other","writer":"127.0.0.1:9"}`); code != 200 {
		t.Errorf("fenced: %d %s", code, text)
	}
	if code := promote(); code != 409 {
		t.Errorf("promoted after it was fenced: %d", code)
	}
}

// Whatever the clock says, a promotion's history begins above all versions before.
func TestVersionsNeverGoBack(t *testing.T) {
	for _, clock := range []int64{-1 << 40, 0, 1000, 1 << 41} {
		s := newTestStore(testLimits, 0)
		s.Register(0, inst("a", 1), nil)
		before := s.version
		if err := s.Restore(0, s.PromotionRecord(0, "h2", clock)); err != nil {
			t.Fatal(err)
		}
		if s.version <= before || s.version < clock || s.epoch != 2 || s.entries["a"] == nil {
			t.Errorf("clock %d: version %d after %d, epoch %d", clock, s.version, before, s.epoch)
		}
		if err := s.Restore(0, Record{Begin: &Begin{History: "h3", Version: before, Epoch: 3}}); err == nil {
			t.Errorf("clock %d: a record of version %d was taken at %d", clock, before, s.version)
		}
	}
}

// Readers of two services go over to the promoted one, and never back.
func TestReadersFollowAPromotion(t *testing.T) {
	w, _ := startKeeping(t, wal.Dir(t.TempDir()), "127.0.0.1:0", "")
	f, _ := startKeeping(t, wal.Dir(t.TempDir()), "127.0.0.1:0", w.address)
	w.put(t, "s-1", 5)
	reader := newWatching([]string{w.address, f.address}, 4)
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	wg.Go(func() { reader.client.Run(ctx, nil) })
	until(t, "the reader has the list", func() bool { return reader.version.Load() == 1001 })
	until(t, "the follower too", func() bool { code, _, _ := call(t, "GET", f.url(""), ""); return code == 200 })
	if code, text, _ := call(t, "POST", "http://"+f.control+"/control/promote", ""); code != http.StatusOK {
		t.Fatalf("%d %s", code, text)
	}
	f.put(t, "s-2", 5)
	until(t, "the reader has what the new writer says", func() bool { return reader.version.Load() > 1_000_000 })
}

// What a folder holds is what the store had, whatever was done to it and whenever
// it was opened again, with a snapshot or without.
func TestKeptAgainstModel(t *testing.T) {
	for seed := range uint64(10) {
		random := rand.New(rand.NewPCG(seed, 11))
		dir := wal.Dir(t.TempDir())
		var model string
		limits := testLimits
		limits.Instances = 12
		now := time.Duration(0)
		for range 8 {
			log, store, err := Open(dir, 64<<20, limits, now)
			if err != nil {
				t.Fatal(err)
			}
			if store == nil {
				store = newTestStore(limits, now)
				log.Append([][]byte{encodeRecord(store.SnapshotRecords()[0])})
			}
			if got := fmt.Sprint(texts(store)); model != "" && got != model {
				t.Fatalf("seed %d:\n%s\nbefore\n%s", seed, got, model)
			}
			store.EnableStaging()
			for range 60 {
				now += time.Duration(random.IntN(200)) * time.Millisecond
				id := fmt.Sprint("i", random.IntN(14))
				switch random.IntN(5) {
				case 0, 1:
					store.Register(now, inst(id, int64(random.IntN(100))), nil)
				case 2:
					if e := store.entries[id]; e != nil {
						store.Leave(now, id, e.StartedAtMs, nil)
					}
				case 3:
					store.Tick(now)
				case 4:
					if random.IntN(4) == 0 && log.LastSequence() > log.Stats().Snapshot && len(store.staged) == 0 {
						if err := writeSnapshot(log, log.LastSequence(), store.SnapshotRecords()); err != nil {
							t.Fatal(err)
						}
					}
				}
				if staged := store.StagedRecords(); len(staged) > 0 && random.IntN(3) > 0 {
					if random.IntN(10) == 0 {
						store.DropStaged()
						continue
					}
					if _, err := log.Append(staged); err != nil {
						t.Fatal(err)
					}
					store.CommitStaged(now)
				}
			}
			store.DropStaged()
			model = fmt.Sprint(texts(store))
			if err := log.Close(); err != nil {
				t.Fatal(err)
			}
		}
	}
}

func texts(s *Store) (all []string) {
	for _, r := range s.SnapshotRecords() {
		all = append(all, string(encodeRecord(r)))
	}
	return all
}
