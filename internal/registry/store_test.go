package registry

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

var testLimits = Limits{Lease: 10 * time.Second, Instances: 50, History: 40, HistoryBytes: 1 << 20}

func newTestStore(limits Limits, now time.Duration) *Store {
	s := NewStore(limits, "h1", 1000, now)
	s.gatheringUntil = 0
	return s
}

// restoredStore returns a store restored from a snapshot of another.
func restoredStore(t *testing.T, s *Store, now time.Duration) *Store {
	t.Helper()
	restored := newStore(s.limits, now)
	for _, r := range s.SnapshotRecords() {
		record, err := ParseRecord(encodeRecord(r))
		if err == nil {
			err = restored.Restore(now, record)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	return restored
}

func testInstance(id string, started int64) Instance {
	return Instance{ID: id, HostPort: "127.0.0.1:80", Zone: "a", MachineType: "m", Lifecycle: Ready, Weight: 1, StartedAtMs: started}
}

func statusOf(err error) int {
	var r *Refusal
	if errors.As(err, &r) {
		return r.Status
	}
	return 0
}

// Repeated writes change nothing, and a process cannot write for another one.
func TestWritesAreIdempotent(t *testing.T) {
	store := newTestStore(testLimits, 0)
	version := func(n int64) *int64 { return &n }
	otherAddress, otherWeight := testInstance("a", 5), testInstance("a", 5)
	otherAddress.HostPort, otherWeight.Weight = "127.0.0.1:81", 2
	gone := testInstance("z", 1)
	gone.Lifecycle = Gone
	for n, step := range []struct {
		do      func() (WriteResult, error)
		status  int // 0: success
		version int64
	}{
		{func() (WriteResult, error) { return store.Register(0, testInstance("a", 5), version(7)) }, http.StatusPreconditionFailed, 1000},
		{func() (WriteResult, error) { return store.Register(0, testInstance("a", 5), version(0)) }, 0, 1001},
		{func() (WriteResult, error) { return store.Register(0, testInstance("a", 5), nil) }, 0, 1001},                   // repeated
		{func() (WriteResult, error) { return store.Register(0, otherAddress, nil) }, http.StatusConflict, 1001},         // two processes with the same start
		{func() (WriteResult, error) { return store.Register(0, testInstance("a", 4), nil) }, http.StatusConflict, 1001}, // an older process
		{func() (WriteResult, error) { return store.Register(0, otherWeight, version(1001)) }, 0, 1002},
		{func() (WriteResult, error) { return store.Renew(0, "a", 4) }, http.StatusConflict, 1002},
		{func() (WriteResult, error) { return store.Renew(0, "b", 4) }, http.StatusNotFound, 1002},
		{func() (WriteResult, error) { return store.Renew(0, "a", 5) }, 0, 1002},
		{func() (WriteResult, error) { return store.SetLifecycle(0, "a", 5, "Asleep", nil) }, http.StatusBadRequest, 1002},
		{func() (WriteResult, error) { return store.SetLifecycle(0, "a", 5, Terminating, version(1001)) }, http.StatusPreconditionFailed, 1002},
		{func() (WriteResult, error) { return store.SetLifecycle(0, "a", 5, Terminating, version(1002)) }, 0, 1003},
		{func() (WriteResult, error) { return store.SetLifecycle(0, "a", 5, Terminating, nil) }, 0, 1003},
		{func() (WriteResult, error) { return store.Register(0, testInstance("a", 6), nil) }, 0, 1004},
		{func() (WriteResult, error) { return store.Renew(0, "a", 5) }, http.StatusConflict, 1004}, // an older process
		{func() (WriteResult, error) { return store.Leave(0, "a", 5, nil) }, http.StatusConflict, 1004},
		{func() (WriteResult, error) { return store.Leave(0, "a", 6, nil) }, 0, 1005},
		{func() (WriteResult, error) { return store.Leave(0, "a", 6, nil) }, 0, 1005},
		{func() (WriteResult, error) { return store.Register(0, testInstance("a", 5), nil) }, http.StatusConflict, 1005}, // an older process after its successor left
		{func() (WriteResult, error) { i := otherAddress; i.StartedAtMs = 7; return store.Register(0, i, nil) }, 0, 1006},
		{func() (WriteResult, error) { return store.Register(0, gone, nil) }, http.StatusBadRequest, 1006},
	} {
		result, err := step.do()
		if statusOf(err) != step.status || (err == nil) != (step.status == 0) || store.version != step.version ||
			err == nil && result.Version != store.version {
			t.Fatalf("step %d: %v, version %d of %d; want status %d, version %d", n, err, result.Version, store.version, step.status, step.version)
		}
	}
	for i := len(store.entries); i < testLimits.Instances; i++ {
		if _, err := store.Register(0, testInstance(fmt.Sprint("x", i), 1), nil); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := store.Register(0, testInstance("more", 1), nil); statusOf(err) != http.StatusConflict {
		t.Errorf("registration above the limit: %v", err)
	}
}

// Every request in every state of an instance leads to the state in the table, in a new, restored,
// replicated or promoted store. It succeeds only if the requested state is reached.
func TestLifecycleTransitions(t *testing.T) {
	absent := Lifecycle("")
	const lapsed, drained = Lifecycle("lapsed"), Lifecycle("lapsed while draining")
	register := func(requested Lifecycle) func(*Store) (WriteResult, error) {
		return func(store *Store) (WriteResult, error) {
			i := testInstance("a", 5)
			i.Lifecycle = requested
			return store.Register(0, i, nil)
		}
	}
	set := func(lifecycle Lifecycle) func(*Store) (WriteResult, error) {
		return func(store *Store) (WriteResult, error) { return store.SetLifecycle(0, "a", 5, lifecycle, nil) }
	}
	later := func(store *Store) (WriteResult, error) { return store.Register(0, testInstance("a", 6), nil) }
	calls := []struct {
		name   string
		do     func(*Store) (WriteResult, error)
		wanted Lifecycle // empty: any
		states map[Lifecycle]Lifecycle
	}{
		{"PUT", register(""), "", map[Lifecycle]Lifecycle{absent: Ready, Ready: Ready, Terminating: Terminating, lapsed: Ready, drained: Terminating}},
		{"PUT Ready", register(Ready), Ready, map[Lifecycle]Lifecycle{absent: Ready, Ready: Ready, lapsed: Ready}},
		{"PUT Terminating", register(Terminating), Terminating, map[Lifecycle]Lifecycle{absent: Terminating, Ready: Terminating, Terminating: Terminating, lapsed: Terminating, drained: Terminating}},
		{"PUT of a later start", later, Ready, map[Lifecycle]Lifecycle{absent: Ready, Ready: Ready, Terminating: Ready, lapsed: Ready, drained: Ready}},
		{"lifecycle Ready", set(Ready), Ready, map[Lifecycle]Lifecycle{Ready: Ready, Terminating: Ready}},
		{"lifecycle Terminating", set(Terminating), Terminating, map[Lifecycle]Lifecycle{Ready: Terminating, Terminating: Terminating}},
		{"renew", func(store *Store) (WriteResult, error) { return store.Renew(0, "a", 5) }, "", map[Lifecycle]Lifecycle{Ready: Ready, Terminating: Terminating}},
		{"DELETE", func(store *Store) (WriteResult, error) { return store.Leave(0, "a", 5, nil) }, Gone, map[Lifecycle]Lifecycle{absent: Gone, Ready: Gone, Terminating: Gone, lapsed: Gone, drained: Gone}},
	}
	origins := []string{"new", "from a snapshot", "from the log", "from a follower", "after promotion", "staged, then committed"}
	state := func(store *Store) Lifecycle {
		if e := store.entries["a"]; e != nil {
			return e.Lifecycle
		}
		return Gone
	}
	for _, from := range []Lifecycle{absent, Ready, Terminating, lapsed, drained} {
		for _, origin := range origins {
			for _, call := range calls {
				store := newTestStore(testLimits, 0)
				store.Register(0, testInstance("b", 1), nil)
				log := store.SnapshotRecords()
				follower := newStore(testLimits, 0)
				step := func(result WriteResult, err error) {
					if err != nil {
						t.Fatal(err)
					}
				}
				replicate := func() {
					answer, err := store.Read(0, max(follower.version, -1), store.history)
					if err != nil {
						t.Fatal(err)
					}
					listing, err := ParseListing(answer.Body)
					if err == nil {
						err = follower.ApplyListing(0, listing, store.history)
					}
					if err != nil {
						t.Fatal(err)
					}
				}
				follower.version = -1
				replicate()
				if from != absent {
					step(register("")(store))
				}
				if from == Terminating || from == drained {
					replicate()
					step(set(Terminating)(store))
				}
				if from == lapsed || from == drained {
					replicate()
					store.lapseCredit, store.lastTick, store.entries["a"].expires = 1, 0, 0
					store.entries["b"].expires = time.Hour
					if err := store.Tick(0); err != nil || store.entries["a"] != nil {
						t.Fatalf("the lease has not lapsed: %v", err)
					}
				}
				replicate()
				want, accepted := call.states[from]
				switch origin {
				case "from the log":
					replayed := newStore(testLimits, 0)
					for _, r := range log {
						step(WriteResult{}, replayed.Restore(0, r))
					}
					for _, logged := range store.changes {
						if logged.version > replayed.version {
							step(WriteResult{}, replayed.Restore(0, Record{Change: &InstanceRecord{Version: logged.version, Instance: logged.encoded}}))
						}
					}
					store = replayed
				case "from a follower":
					follower.baseVersion = 0
					store = follower
				case "after promotion":
					step(WriteResult{}, follower.Restore(0, follower.PromotionRecord(0, "h2", 1, nil)))
					store = follower
					// A promoted follower has no history, so that a Gone instance counts as absent.
					if from == drained {
						want, accepted = call.states[absent]
					}
				case "staged, then committed":
					store.EnableStaging()
				case "from a snapshot":
					store = restoredStore(t, store, 0)
				}
				written, err := call.do(store)
				store.CommitStaged(0)
				name := fmt.Sprintf("%s, %s, %q", origin, call.name, from)
				switch {
				case !accepted:
					if code := statusOf(err); code != http.StatusConflict && code != http.StatusNotFound {
						t.Errorf("%s: %+v, %v", name, written, err)
					}
				case err != nil || written.Lifecycle != want || state(store) != want || call.wanted != "" && call.wanted != want:
					t.Errorf("%s: %+v, %v, then %s; want %s", name, written, err, state(store), want)
				}
			}
		}
	}
}

// Staged changes are invisible to readers and leave no trace if they are dropped.
func TestStagedChangesAreInvisible(t *testing.T) {
	store := newTestStore(testLimits, 0)
	store.Register(0, testInstance("a", 1), nil)
	store.EnableStaging()
	before, _ := store.Read(0, -1, "")
	stage := func() {
		t.Helper()
		for n, do := range []func() (WriteResult, error){
			func() (WriteResult, error) { return store.Register(0, testInstance("b", 1), nil) },
			func() (WriteResult, error) { return store.SetLifecycle(0, "a", 1, Terminating, nil) },
			func() (WriteResult, error) { return store.Register(0, testInstance("c", 1), nil) },
		} {
			if written, err := do(); err != nil || written.Version != store.version+int64(n)+1 {
				t.Errorf("%d: %+v, %v", n, written, err)
			}
		}
		for _, do := range []func() (WriteResult, error){
			func() (WriteResult, error) { return store.Register(0, testInstance("b", 2), nil) },
			func() (WriteResult, error) { return store.Renew(0, "a", 1) },
			func() (WriteResult, error) { return store.Leave(0, "c", 1, nil) },
		} {
			if _, err := do(); err != errPending {
				t.Errorf("write to an instance with a staged change: %v", err)
			}
		}
		if after, _ := store.Read(0, -1, ""); string(after.Body) != string(before.Body) || len(store.StagedRecords()) != 3 {
			t.Errorf("staged change is visible: %s, %d staged", after.Body, len(store.StagedRecords()))
		}
	}
	stage()
	store.DropStaged()
	if after, _ := store.Read(0, -1, ""); string(after.Body) != string(before.Body) || len(store.StagedRecords()) != 0 {
		t.Errorf("after the staged changes were dropped: %s", after.Body)
	}
	stage()
	store.CommitStaged(0)
	if a, err := store.Read(0, 1001, "h1"); err != nil || a.Full || strings.Count(string(a.Body), "instanceId") != 3 || store.version != 1004 {
		t.Errorf("after the commit: %s, %v, version %d", a.Body, err, store.version)
	}
}

// Instances with expired leases become Gone, many at a limited rate.
func TestLeaseExpiryIsRateLimited(t *testing.T) {
	store := newTestStore(testLimits, 0)
	for n := range 40 {
		store.Register(0, testInstance(fmt.Sprintf("i%02d", n), 1), nil)
	}
	remaining := len(store.entries)
	for now := time.Duration(0); now < 30*time.Second; now += tickInterval {
		if now < 9*time.Second {
			store.Renew(now, "i00", 1)
		}
		if err := store.Tick(now); err != nil {
			t.Fatal(err)
		}
		if now < testLimits.Lease && len(store.entries) < 40 {
			t.Fatalf("%d left at %v", len(store.entries), now)
		}
		if gone := remaining - len(store.entries); gone > 4 {
			t.Fatalf("%d instances gone in one tick", gone)
		}
		remaining = len(store.entries)
		if now == 11*time.Second {
			if st := store.Stats(); st.Overdue == 0 || remaining < 40-4-3 {
				t.Errorf("%d left, %d overdue a second after all leases expired", remaining, st.Overdue)
			}
			store.Renew(now, "i39", 1) // renews an expired lease that has not lapsed
		}
		if now > 11*time.Second && now < 21*time.Second && store.entries["i39"] == nil {
			t.Fatalf("an instance renewed after its expiry is gone at %v", now)
		}
		if now == 15*time.Second && store.entries["i00"] == nil {
			t.Error("a renewed instance is gone")
		}
	}
	if len(store.entries) > 20 {
		t.Errorf("%d left at the end", len(store.entries))
	}
	if st := store.Stats(); int(st.Lapsed) != 40-remaining || st.Pauses != 0 {
		t.Errorf("statistics at the end: %+v", st)
	}
}

// After a restart or a pause of the process no lease lapses before its full duration.
func TestPauseRenewsAllLeases(t *testing.T) {
	store := newTestStore(testLimits, 0)
	for n := range 10 {
		store.Register(0, testInstance(fmt.Sprint(n), 1), nil)
	}
	store.Tick(tickInterval)
	now := time.Hour // a pause longer than every lease
	for end := now + testLimits.Lease; now < end; now += tickInterval {
		if store.Tick(now); len(store.entries) < 10 {
			t.Fatalf("%d left, %v after the pause", len(store.entries), now-time.Hour)
		}
	}
	if store.Tick(now + tickInterval); len(store.entries) == 10 {
		t.Error("no lease lapses after the pause")
	}
	if store.Stats().Pauses != 1 {
		t.Errorf("%d pauses", store.Stats().Pauses)
	}
	restored := restoredStore(t, store, 0) // its clock starts at 0
	if restored.history != "h1" || restored.version != store.version || len(restored.entries) != len(store.entries) {
		t.Errorf("history %s, version %d, %d instances after a restart", restored.history, restored.version, len(restored.entries))
	}
	if a, err := restored.Read(0, store.version, "h1"); err != nil || !a.Unchanged {
		t.Errorf("at the last version: %+v, %v", a, err)
	}
	remaining := len(restored.entries)
	for now := time.Duration(0); now < testLimits.Lease; now += tickInterval {
		if restored.Tick(now); len(restored.entries) < remaining {
			t.Fatalf("%d left %v after the start", len(restored.entries), now)
		}
	}
}

// A store with a new history rejects reads for one lease, in which all instances can register.
func TestNewHistoryRejectsReadsForOneLease(t *testing.T) {
	s := NewStore(testLimits, "h1", 1000, time.Second)
	s.Register(time.Second, testInstance("a", 1), nil)
	if _, err := s.Read(10*time.Second, -1, ""); statusOf(err) != http.StatusServiceUnavailable {
		t.Errorf("read within the first lease: %v", err)
	}
	if a, err := s.Read(11*time.Second, -1, ""); err != nil || !a.Full {
		t.Errorf("read after the first lease: %+v, %v", a, err)
	}
}

// The history stays within its limits, and changes for a lagging reader are encoded once.
func TestHistoryIsBounded(t *testing.T) {
	limits := testLimits
	store := newTestStore(limits, 0)
	for n := range int64(100) {
		if _, err := store.Register(0, testInstance("a", n), nil); err != nil {
			t.Fatal(err)
		}
		if st := store.Stats(); st.History > limits.History || st.Bytes > limits.HistoryBytes {
			t.Fatalf("history above its limits: %+v", st)
		}
	}
	if store.Stats().ChangesEncoded != 100 {
		t.Errorf("%d changes encoded, expected 100", store.Stats().ChangesEncoded)
	}
	for range 300 {
		if a, err := store.Read(0, 1080, "h1"); err != nil || a.Full || strings.Count(string(a.Body), "instanceId") != 1 {
			t.Fatalf("changes for a lagging reader: %s %v", a.Body, err)
		}
	}
	if store.Stats().AnswersEncoded != 1 {
		t.Errorf("%d answers encoded, expected 1", store.Stats().AnswersEncoded)
	}
	for _, c := range []struct {
		since   int64
		history string
		whole   bool
		status  int
	}{{1060, "", false, 0}, {1059, "", true, 0}, {1100, "", false, 0}, {1080, "other", true, 0}, {1101, "", false, 400}, {-1, "", true, 0}} {
		if a, err := store.Read(0, c.since, c.history); statusOf(err) != c.status || a.Full != c.whole {
			t.Errorf("since %d of %q: full %t, %v", c.since, c.history, a.Full, err)
		}
	}
	limits.HistoryBytes = 2000
	small := newTestStore(limits, 0)
	for n := range int64(100) {
		if small.Register(0, testInstance("a", n), nil); small.Stats().Bytes > limits.HistoryBytes {
			t.Fatalf("history above its limits: %+v", small.Stats())
		}
	}
	if small.Stats().History < 2 {
		t.Errorf("too few changes kept: %+v", small.Stats())
	}
}

// A follower trims all changes of a version together, so that its snapshot can be restored, and
// restores snapshots of earlier builds, which contain part of a version.
func TestFollowerHistoryTrimsWholeVersions(t *testing.T) {
	limits := testLimits
	limits.History = 3
	follower := newStore(limits, 0)
	if err := follower.ApplyListing(0, fullList(10), "h"); err != nil {
		t.Fatal(err)
	}
	for update, changed := range []Listing{{Generation: 12, Instances: []Instance{testInstance("a", 1), testInstance("b", 1)}}, {Generation: 14, Instances: []Instance{testInstance("c", 1), testInstance("d", 1)}},
		{Generation: 20, Instances: []Instance{testInstance("a", 2), testInstance("b", 2), testInstance("c", 2), testInstance("d", 2), testInstance("e", 2)}}} {
		if err := follower.ApplyListing(0, changed, "h"); err != nil {
			t.Fatal(err)
		}
		for _, c := range follower.changes {
			if c.version <= follower.baseVersion {
				t.Errorf("update %d: the change to version %d is kept at base version %d", update, c.version, follower.baseVersion)
			}
		}
		restored := restoredStore(t, follower, 0)
		if restored.version != follower.version || restored.baseVersion != follower.baseVersion || len(restored.changes) != len(follower.changes) || restored.bytes != follower.bytes {
			t.Errorf("update %d: %+v after a restart, %+v before", update, restored.Stats(), follower.Stats())
		}
	}
	text, err := json.Marshal(testInstance("a", 2))
	if err != nil {
		t.Fatal(err)
	}
	before := newStore(limits, 0)
	for _, r := range []Record{{Begin: &Begin{History: "h", Version: 20, BaseVersion: 14}}, {Change: &InstanceRecord{Version: 14, Instance: text}}, {Change: &InstanceRecord{Version: 20, Instance: text}}} {
		if err := before.Restore(0, r); err != nil {
			t.Fatal(err)
		}
	}
	if len(before.changes) != 1 || before.baseVersion != 14 {
		t.Errorf("%d changes with base version %d", len(before.changes), before.baseVersion)
	}
	if err := before.Restore(0, Record{Change: &InstanceRecord{Version: 13, Instance: text}}); err == nil {
		t.Error("accepted a change from before the history")
	}
}

// storeModel is a writer, a follower, readers of both, and the recorded list at each version of
// each history.
type storeModel struct {
	t              *testing.T
	random         *rand.Rand
	now            time.Duration
	writer         *Store
	follower       *Store
	followerFeed   *Feed
	readers        []*Feed
	listsByVersion map[string]map[string]Instance // by history and version
	lastVersions   map[*Feed]map[string]int64     // last version of a reader by history
	histories      int
}

func versionKey(history string, version int64) string { return fmt.Sprint(history, "/", version) }

func (w *storeModel) recordList() {
	w.listsByVersion[versionKey(w.writer.history, w.writer.version)] = w.list(w.writer)
}

func (w *storeModel) list(s *Store) map[string]Instance {
	list := map[string]Instance{}
	for id, e := range s.entries {
		list[id] = e.Instance
	}
	return list
}

func (w *storeModel) beginHistory() {
	w.histories++
	w.writer = NewStore(testLimits, fmt.Sprint("h", w.histories), int64(w.histories)*100_000, w.now)
	w.recordList()
}

// step makes one request for a reader. The answer may be lost or truncated.
func (w *storeModel) step(feed *Feed) {
	request := feed.Next()
	source := w.writer
	if request.Address == "follower" {
		source = w.follower
	}
	since := request.Since
	if request.Full {
		since = -1
	}
	answer, err := source.Read(w.now, since, request.History)
	if err != nil || w.random.IntN(5) == 0 {
		feed.Failed(0)
		return
	}
	text := answer.Body
	if w.random.IntN(10) == 0 {
		text = text[:w.random.IntN(len(text))] // truncated
	}
	listing, err := ParseListing(text)
	if err != nil {
		feed.Failed(0)
		return
	}
	history := source.history
	applied := maps.Clone(feed.instances)
	changes, err := feed.Answered(listing, history, 0)
	if err != nil {
		feed.Failed(0)
		return
	}
	if v := w.lastVersions[feed][history]; listing.Generation < v {
		w.t.Fatalf("a reader goes back from %d to %d of %s", v, listing.Generation, history)
	}
	w.lastVersions[feed][history] = listing.Generation
	if want := w.listsByVersion[versionKey(history, listing.Generation)]; !maps.Equal(feed.instances, want) {
		w.t.Fatalf("at %s/%d a reader has %v, the list was %v", history, listing.Generation, feed.instances, want)
	}
	// The changes of the reader lead to the same list.
	if changes.Reset {
		clear(applied)
	}
	for _, i := range changes.Instances {
		if applied[i.ID] == i {
			w.t.Fatalf("reported without a change: %v", i)
		}
		if applied[i.ID] = i; i.Lifecycle == Gone {
			delete(applied, i.ID)
		}
	}
	if !maps.Equal(applied, feed.instances) {
		w.t.Fatalf("the changes lead to %v, the list is %v", applied, feed.instances)
	}
	if feed == w.followerFeed {
		w.follower.gatheringUntil = 0
		if err := w.follower.ApplyListing(w.now, listing, history); err != nil {
			w.t.Fatal(err)
		}
		if !maps.Equal(w.list(w.follower), feed.instances) || w.follower.version != listing.Generation {
			w.t.Fatalf("the follower has %v at %d, its reader %v at %d", w.list(w.follower), w.follower.version, feed.instances, listing.Generation)
		}
	}
}

// Despite lost answers and restarts every reader has the list of its version, never goes back, and
// reaches the last version.
func TestReadersMatchModel(t *testing.T) {
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 7))
		model := &storeModel{t: t, random: random, listsByVersion: map[string]map[string]Instance{}, lastVersions: map[*Feed]map[string]int64{}}
		model.beginHistory()
		model.follower = newStore(testLimits, 0)
		model.follower.gatheringUntil = 1 << 62
		model.followerFeed = NewFeed([]string{"writer"}, random)
		for range 6 {
			model.readers = append(model.readers, NewFeed([]string{"writer", "follower"}, random))
		}
		all := append(slices.Clone(model.readers), model.followerFeed)
		for _, f := range all {
			model.lastVersions[f] = map[string]int64{}
		}
		startedAtMs := int64(1)
		for range 1500 {
			model.now += time.Duration(random.IntN(300)) * time.Millisecond
			id := fmt.Sprint("i", random.IntN(12))
			existing := model.writer.entries[id]
			switch random.IntN(12) {
			case 0, 1:
				startedAtMs++
				instance := testInstance(id, startedAtMs)
				instance.HostPort = fmt.Sprintf("127.0.0.1:%d", 1+random.IntN(60000))
				model.writer.Register(model.now, instance, nil)
			case 2:
				if existing != nil {
					model.writer.SetLifecycle(model.now, id, existing.StartedAtMs, []Lifecycle{Ready, Terminating}[random.IntN(2)], nil)
				}
			case 3:
				if existing != nil {
					model.writer.Leave(model.now, id, existing.StartedAtMs-int64(random.IntN(2)), nil)
				}
			case 4, 5:
				if existing != nil {
					model.writer.Renew(model.now, id, existing.StartedAtMs)
				}
			case 6:
				// One lapse at a time, so that the list at each version is recorded.
				model.writer.lapseCredit = 0
				model.writer.Tick(model.now)
			case 7:
				model.step(model.followerFeed)
			case 8:
				if random.IntN(40) == 0 {
					switch random.IntN(3) {
					case 0: // the writer restarts with its durable state
						model.writer = restoredStore(t, model.writer, model.now)
					case 1: // or with an empty store
						model.beginHistory()
					case 2: // or pauses
						model.now += time.Minute
					}
				}
			default:
				model.step(model.readers[random.IntN(len(model.readers))])
			}
			model.recordList()
		}
		model.now += time.Minute
		for range 200 {
			for _, f := range all {
				model.step(f)
			}
		}
		for n, f := range all {
			if f.history != model.writer.history || f.version != model.writer.version || !maps.Equal(f.instances, model.list(model.writer)) {
				t.Fatalf("seed %d: reader %d ends at %s/%d with %v; the list is at %s/%d with %v", seed, n, f.history, f.version,
					f.instances, model.writer.history, model.writer.version, model.list(model.writer))
			}
		}
	}
}
