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

// faultyFS is a folder whose disk can be full or fail to sync.
type faultyFS struct {
	wal.FS
	diskFull, failSync atomic.Bool
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
	if f.fs.diskFull.Load() {
		n, _ := f.File.Write(b[:len(b)/2])
		return n, errors.New("no space left on device")
	}
	return f.File.Write(b)
}

func (f *faultyFile) Sync() error {
	if f.fs.failSync.Load() {
		return errors.New("input/output error")
	}
	return f.File.Sync()
}

// startPersistent runs a writer, or a follower if writer is set, on a folder.
func startPersistent(t *testing.T, dir wal.FS, address, writer string) (*testServer, *Follower) {
	t.Helper()
	log, store, err := Open(dir, 64<<20, testLimits, 0)
	if err != nil {
		t.Fatal(err)
	}
	random := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1))
	if writer != "" {
		follower := NewFollower(address, writer, store, testLimits, testServerLimits, time.Now(), random)
		if err := follower.Persist(log, false); err != nil {
			t.Fatal(err)
		}
		server := &testServer{Server: follower.Server}
		server.run(t, follower.Serve, address)
		return server, follower
	}
	newHistory := store == nil
	if newHistory {
		store = newTestStore(testLimits, 0)
	}
	server := &testServer{Server: NewWriter(address, store, testServerLimits, time.Now(), random)}
	if err := server.Persist(log, newHistory); err != nil {
		t.Fatal(err)
	}
	server.run(t, server.Server.Serve, address)
	return server, nil
}

func (s *testServer) stopAndWait(t *testing.T) {
	t.Helper()
	s.stop()
	if err := <-s.ended; err != nil {
		t.Fatal(err)
	}
}

func (s *testServer) position(t *testing.T) string {
	_, text, _ := call(t, "GET", "http://"+s.control+"/control/where", "")
	return text
}

// A restarted writer continues its history: a thousand readers continue from their version
// without full lists, and no instance is lost.
func TestRestartContinuesHistory(t *testing.T) {
	dir := wal.Dir(t.TempDir())
	server, _ := startPersistent(t, dir, "127.0.0.1:0", "")
	for n := range 20 {
		server.register(t, fmt.Sprint("s-", n), 5)
	}
	call(t, "DELETE", server.url("/s-0?startedAtMs=5"), "")
	before := server.list(t, "")
	positionBefore := server.position(t)
	server.stopAndWait(t)

	server, _ = startPersistent(t, dir, "127.0.0.1:0", "")
	if position := server.position(t); position != positionBefore {
		t.Errorf("position %s, before the restart %s", position, positionBefore)
	}
	if l := server.list(t, ""); l.Generation != before.Generation || len(l.Instances) != 19 {
		t.Errorf("list after the restart: %+v", l)
	}
	if l := server.list(t, "?since=1015"); l.Reset || len(l.Instances) != 6 || l.Instances[5].Lifecycle != Gone {
		t.Errorf("since 1015: %+v", l)
	}
	if code, text, _ := call(t, "PUT", server.url("/s-0"), registration(4)); code != 409 {
		t.Errorf("registration of an older process than the one that left: %d %s", code, text)
	}
	encodedBefore := server.storeStats().AnswersEncoded
	var wg sync.WaitGroup
	var unexpected atomic.Int64
	for range 1000 {
		wg.Go(func() {
			server.mu.Lock()
			defer server.mu.Unlock()
			if a, err := server.store.Read(server.now(), before.Generation, "h1"); err != nil || a.Full || !a.Unchanged {
				unexpected.Add(1)
			}
		})
	}
	wg.Wait()
	if unexpected.Load() > 0 || server.storeStats().AnswersEncoded > encodedBefore+1 {
		t.Errorf("%d of 1000 readers received changes, %d answers encoded", unexpected.Load(), server.storeStats().AnswersEncoded-encodedBefore)
	}
	_, metrics, _ := call(t, "GET", "http://"+server.control+"/control/counters", "")
	for _, want := range []string{"registry.data.syncs:", "registry.data.segments:", "registry.data.recovery_us:", "registry.data.cut_bytes:0|g"} {
		if !strings.Contains(metrics, want) {
			t.Errorf("metric %s is missing:\n%s", want, metrics)
		}
	}
}

// Concurrent writers share syncs, and every acknowledged change is durable.
func TestWritersShareSyncs(t *testing.T) {
	dir := wal.Dir(t.TempDir())
	server, _ := startPersistent(t, dir, "127.0.0.1:0", "")
	server.SetLimits(Limits{Lease: time.Minute, Instances: 1000, History: 10_000, HistoryBytes: 1 << 24}, testServerLimits)
	var wg sync.WaitGroup
	var failed atomic.Int64
	for n := range 50 {
		wg.Go(func() {
			for started := range int64(10) {
				id := fmt.Sprint("s-", n)
				_, err := server.writeChange(func(now time.Duration) (WriteResult, error) {
					return server.store.Register(now, testInstance(id, started+1), nil)
				})
				if err != nil {
					failed.Add(1)
				}
			}
		})
	}
	wg.Wait()
	st := server.persister.log.Stats()
	t.Logf("%d records, %d syncs", st.Records, st.Syncs)
	if failed.Load() > 0 || st.Records != 501 || st.Syncs >= 500 {
		t.Errorf("%d writes failed, %+v", failed.Load(), st)
	}
	server.stopAndWait(t)
	version := server.storeStats().Version
	_, store, err := Open(dir, 64<<20, testLimits, 0)
	if err != nil || store.version != version || len(store.entries) != 50 {
		t.Errorf("%v, recovered version %d, expected %d", err, store.version, version)
	}
}

// With a full disk the server rejects writes and answers reads until there is room. After a
// failed sync it acknowledges no more writes and stops.
func TestFullAndFailingDisk(t *testing.T) {
	disk := &faultyFS{FS: wal.Dir(t.TempDir())}
	server, _ := startPersistent(t, disk, "127.0.0.1:0", "")
	server.register(t, "s-1", 5)
	before := server.list(t, "")
	disk.diskFull.Store(true)
	for range 3 {
		if code, text, header := call(t, "PUT", server.url("/s-2"), registration(5)); code != 503 || header.Get("Retry-After") == "" || !strings.Contains(text, "no room") {
			t.Errorf("write with a full disk: status %d: %s", code, text)
		}
	}
	if l := server.list(t, ""); l.Generation != before.Generation {
		t.Errorf("list with a full disk: %+v", l)
	}
	if code, _, _ := call(t, "POST", server.url("/s-1/renew"), `{"startedAtMs":5}`); code != 200 {
		t.Errorf("renewal with a full disk: status %d", code)
	}
	disk.diskFull.Store(false)
	server.register(t, "s-2", 5)
	if l := server.list(t, ""); l.Generation != before.Generation+1 || len(l.Instances) != 2 {
		t.Errorf("after the disk has room again: %+v", l)
	}
	disk.failSync.Store(true)
	if code, text, _ := call(t, "PUT", server.url("/s-3"), registration(5)); code != 503 {
		t.Errorf("write with a failing sync: status %d: %s", code, text)
	}
	if err := <-server.ended; !errors.Is(err, wal.ErrFailed) {
		t.Errorf("ended with %v", err)
	}
	disk.failSync.Store(false)
	_, store, err := Open(disk, 64<<20, testLimits, 0)
	if err != nil || store.entries["s-1"] == nil || store.entries["s-2"] == nil {
		t.Errorf("recovered after the failed sync: %v, %v", err, store)
	}
}

// A restarted follower serves its copy with a high age. After its promotion it accepts writes and
// the old writer stays fenced, also across a restart.
func TestPromotionFencesOldWriter(t *testing.T) {
	oldDir, followerDir := wal.Dir(t.TempDir()), wal.Dir(t.TempDir())
	writer, _ := startPersistent(t, oldDir, "127.0.0.1:0", "")
	writer.register(t, "s-1", 5)
	follower, _ := startPersistent(t, followerDir, "127.0.0.1:0", writer.address)
	waitUntil(t, "the follower has the list", hasInstance(t, follower, "s-1"))
	writer.register(t, "s-2", 5)
	waitUntil(t, "the follower has the update", hasInstance(t, follower, "s-2"))
	if code, _, _ := call(t, "POST", "http://"+writer.control+"/control/promote", ""); code != 409 {
		t.Errorf("promotion of a writer: status %d", code)
	}
	writer.stopAndWait(t)
	follower.stopAndWait(t)

	follower, _ = startPersistent(t, followerDir, "127.0.0.1:0", writer.address)
	code, text, header := call(t, "GET", follower.url(""), "")
	if code != 200 || !strings.Contains(text, "s-2") || !(len(header.Get(AgeHeader)) >= 5) {
		t.Fatalf("read right after a restart: %d %s, age %s", code, text, header.Get(AgeHeader))
	}
	version := follower.list(t, "").Generation
	if code, text, _ := call(t, "POST", "http://"+follower.control+"/control/promote", ""); code != 200 {
		t.Fatalf("promote: %d %s", code, text)
	}
	follower.register(t, "s-3", 5)
	listing := follower.list(t, "")
	if len(listing.Instances) != 3 || listing.Generation <= version {
		t.Errorf("%+v, before the promotion at version %d", listing, version)
	}
	if where := follower.position(t); !strings.Contains(where, `"epoch":2`) || strings.Contains(where, "writer") {
		t.Errorf("position after the promotion: %s", where)
	}

	// The old writer restarts at its address, with its list.
	writer, _ = startPersistent(t, oldDir, writer.address, "")
	waitUntil(t, "the old writer rejects writes", func() bool {
		code, text, _ := call(t, "PUT", writer.url("/s-4"), registration(5))
		return code == 503 && strings.Contains(text, "has replaced this writer")
	})
	if code, _, _ := call(t, "GET", writer.url(""), ""); code != 503 {
		t.Errorf("a fenced writer answers reads: status %d", code)
	}
	writer.stopAndWait(t)
	writer, _ = startPersistent(t, oldDir, "127.0.0.1:0", "")
	if code, _, _ := call(t, "GET", writer.url(""), ""); code != 503 || !strings.Contains(writer.position(t), "fencedBy") {
		t.Errorf("a fenced writer answers reads after a restart: status %d", code)
	}
	writer.stopAndWait(t)

	// A writer queries its peers before it accepts writes, and a fenced writer can become a follower.
	follower.stopAndWait(t)
	follower, _ = startPersistent(t, followerDir, "127.0.0.1:0", "127.0.0.1:1")
	if listing := follower.list(t, ""); len(listing.Instances) != 3 {
		t.Errorf("promoted follower after a restart: %+v", listing)
	}
	follower.register(t, "s-5", 5)
	fresh := NewWriter("w", newTestStore(testLimits, 0), testServerLimits, time.Now(), rand.New(rand.NewPCG(1, 1)))
	fresh.QueryPeers(t.Context(), []string{"127.0.0.1:1", follower.address})
	if fence := fresh.Fence(); fence == nil || fence.Epoch != 2 {
		t.Errorf("fence from the peers: %+v", fence)
	}
	writer, _ = startPersistent(t, oldDir, "127.0.0.1:0", follower.address)
	waitUntil(t, "the old writer replicates the new one", hasInstance(t, writer, "s-5"))

	// A repeated promotion succeeds, unless another writer has replaced the promoted one.
	promote := func() int {
		code, _, _ := call(t, "POST", "http://"+follower.control+"/control/promote", "")
		return code
	}
	if code := promote(); code != 200 {
		t.Errorf("repeated promotion: status %d", code)
	}
	if code, text, _ := call(t, "POST", "http://"+follower.address+FencePath, `{"epoch":9,"history":"other","writer":"127.0.0.1:9"}`); code != 200 {
		t.Errorf("fence: %d %s", code, text)
	}
	if code := promote(); code != 409 {
		t.Errorf("promotion of a fenced writer: status %d", code)
	}
}

// A promotion begins its history above all earlier versions, regardless of the clock.
func TestVersionsNeverGoBack(t *testing.T) {
	for _, clock := range []int64{-1 << 40, 0, 1000, 1 << 41} {
		store := newTestStore(testLimits, 0)
		store.Register(0, testInstance("a", 1), nil)
		before := store.version
		if err := store.Restore(0, store.PromotionRecord(0, "h2", clock, nil)); err != nil {
			t.Fatal(err)
		}
		if store.version <= before || store.version < clock || store.epoch != 2 || store.entries["a"] == nil {
			t.Errorf("clock %d: version %d after %d, epoch %d", clock, store.version, before, store.epoch)
		}
		if err := store.Restore(0, Record{Begin: &Begin{History: "h3", Version: before, Epoch: 3}}); err == nil {
			t.Errorf("clock %d: accepted a record of version %d at version %d", clock, before, store.version)
		}
	}
}

// Readers of a writer and a follower switch to the follower when it is promoted.
func TestReadersSwitchToPromotedWriter(t *testing.T) {
	writer, _ := startPersistent(t, wal.Dir(t.TempDir()), "127.0.0.1:0", "")
	follower, _ := startPersistent(t, wal.Dir(t.TempDir()), "127.0.0.1:0", writer.address)
	writer.register(t, "s-1", 5)
	reader := newWatcher([]string{writer.address, follower.address}, 4)
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	wg.Go(func() { reader.client.Run(ctx, nil) })
	waitUntil(t, "the reader has the list", func() bool { return reader.version.Load() == 1001 })
	waitUntil(t, "the follower has the list", func() bool { code, _, _ := call(t, "GET", follower.url(""), ""); return code == 200 })
	if code, text, _ := call(t, "POST", "http://"+follower.control+"/control/promote", ""); code != http.StatusOK {
		t.Fatalf("promotion: status %d %s", code, text)
	}
	follower.register(t, "s-2", 5)
	waitUntil(t, "the reader has the list of the new writer", func() bool { return reader.version.Load() > 1_000_000 })
}

// A recovered store equals the store before, after random writes, with and without snapshots.
func TestRecoveryMatchesModel(t *testing.T) {
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
			if got := fmt.Sprint(encodedRecords(store)); model != "" && got != model {
				t.Fatalf("seed %d:\n%s\nbefore\n%s", seed, got, model)
			}
			store.EnableStaging()
			for range 60 {
				now += time.Duration(random.IntN(200)) * time.Millisecond
				id := fmt.Sprint("i", random.IntN(14))
				switch random.IntN(5) {
				case 0, 1:
					store.Register(now, testInstance(id, int64(random.IntN(100))), nil)
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
			model = fmt.Sprint(encodedRecords(store))
			if err := log.Close(); err != nil {
				t.Fatal(err)
			}
		}
	}
}

func encodedRecords(s *Store) (all []string) {
	for _, r := range s.SnapshotRecords() {
		all = append(all, string(encodeRecord(r)))
	}
	return all
}
