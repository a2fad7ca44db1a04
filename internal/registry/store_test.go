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

// restarted is a store with all that a snapshot of another has.
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

// Writes mean the same when they are made again, and one process can't write for
// another.
func TestWritesAreIdempotent(t *testing.T) {
	s := newTestStore(testLimits, 0)
	version := func(n int64) *int64 { return &n }
	otherAddress, otherWeight := testInstance("a", 5), testInstance("a", 5)
	otherAddress.HostPort, otherWeight.Weight = "127.0.0.1:81", 2
	gone := testInstance("z", 1)
	gone.Lifecycle = Gone
	for n, step := range []struct {
		do      func() (WriteResult, error)
		status  int // 0: done
		version int64
	}{
		{func() (WriteResult, error) { return s.Register(0, testInstance("a", 5), version(7)) }, http.StatusPreconditionFailed, 1000},
		{func() (WriteResult, error) { return s.Register(0, testInstance("a", 5), version(0)) }, 0, 1001},
		{func() (WriteResult, error) { return s.Register(0, testInstance("a", 5), nil) }, 0, 1001},                   // again
		{func() (WriteResult, error) { return s.Register(0, otherAddress, nil) }, http.StatusConflict, 1001},         // two processes, one start
		{func() (WriteResult, error) { return s.Register(0, testInstance("a", 4), nil) }, http.StatusConflict, 1001}, // an old one
		{func() (WriteResult, error) { return s.Register(0, otherWeight, version(1001)) }, 0, 1002},
		{func() (WriteResult, error) { return s.Renew(0, "a", 4) }, http.StatusConflict, 1002},
		{func() (WriteResult, error) { return s.Renew(0, "b", 4) }, http.StatusNotFound, 1002},
		{func() (WriteResult, error) { return s.Renew(0, "a", 5) }, 0, 1002},
		{func() (WriteResult, error) { return s.SetLifecycle(0, "a", 5, "Asleep", nil) }, http.StatusBadRequest, 1002},
		{func() (WriteResult, error) { return s.SetLifecycle(0, "a", 5, Terminating, version(1001)) }, http.StatusPreconditionFailed, 1002},
		{func() (WriteResult, error) { return s.SetLifecycle(0, "a", 5, Terminating, version(1002)) }, 0, 1003},
		{func() (WriteResult, error) { return s.SetLifecycle(0, "a", 5, Terminating, nil) }, 0, 1003},
		{func() (WriteResult, error) { return s.Register(0, testInstance("a", 6), nil) }, 0, 1004},
		{func() (WriteResult, error) { return s.Renew(0, "a", 5) }, http.StatusConflict, 1004}, // the old process
		{func() (WriteResult, error) { return s.Leave(0, "a", 5, nil) }, http.StatusConflict, 1004},
		{func() (WriteResult, error) { return s.Leave(0, "a", 6, nil) }, 0, 1005},
		{func() (WriteResult, error) { return s.Leave(0, "a", 6, nil) }, 0, 1005},
		{func() (WriteResult, error) { return s.Register(0, testInstance("a", 5), nil) }, http.StatusConflict, 1005}, // back from the dead
		{func() (WriteResult, error) { i := otherAddress; i.StartedAtMs = 7; return s.Register(0, i, nil) }, 0, 1006},
		{func() (WriteResult, error) { return s.Register(0, gone, nil) }, http.StatusBadRequest, 1006},
	} {
		result, err := step.do()
		if statusOf(err) != step.status || (err == nil) != (step.status == 0) || s.version != step.version ||
			err == nil && result.Version != s.version {
			t.Fatalf("step %d: %v, version %d of %d; want status %d, version %d", n, err, result.Version, s.version, step.status, step.version)
		}
	}
	for i := len(s.entries); i < testLimits.Instances; i++ {
		if _, err := s.Register(0, testInstance(fmt.Sprint("x", i), 1), nil); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := s.Register(0, testInstance("more", 1), nil); statusOf(err) != http.StatusConflict {
		t.Errorf("beyond the limit: %v", err)
	}
}

// Each state of an instance meets each call, through every way in which a list comes
// to be: the state that follows is the one in the table, and a call is answered as
// done only if what it asked for holds then.
func TestLifecycleTransitions(t *testing.T) {
	absent := Lifecycle("")
	const lapsed, drained = Lifecycle("lapsed"), Lifecycle("lapsed in a drain")
	register := func(requested Lifecycle) func(*Store) (WriteResult, error) {
		return func(s *Store) (WriteResult, error) {
			i := testInstance("a", 5)
			i.Lifecycle = requested
			return s.Register(0, i, nil)
		}
	}
	set := func(lifecycle Lifecycle) func(*Store) (WriteResult, error) {
		return func(s *Store) (WriteResult, error) { return s.SetLifecycle(0, "a", 5, lifecycle, nil) }
	}
	later := func(s *Store) (WriteResult, error) { return s.Register(0, testInstance("a", 6), nil) }
	calls := []struct {
		name string
		do   func(*Store) (WriteResult, error)
		asks Lifecycle // empty: whatever there is
		then map[Lifecycle]Lifecycle
	}{
		{"PUT", register(""), "", map[Lifecycle]Lifecycle{absent: Ready, Ready: Ready, Terminating: Terminating, lapsed: Ready, drained: Terminating}},
		{"PUT Ready", register(Ready), Ready, map[Lifecycle]Lifecycle{absent: Ready, Ready: Ready, lapsed: Ready}},
		{"PUT Terminating", register(Terminating), Terminating, map[Lifecycle]Lifecycle{absent: Terminating, Ready: Terminating, Terminating: Terminating, lapsed: Terminating, drained: Terminating}},
		{"PUT of a later start", later, Ready, map[Lifecycle]Lifecycle{absent: Ready, Ready: Ready, Terminating: Ready, lapsed: Ready, drained: Ready}},
		{"lifecycle Ready", set(Ready), Ready, map[Lifecycle]Lifecycle{Ready: Ready, Terminating: Ready}},
		{"lifecycle Terminating", set(Terminating), Terminating, map[Lifecycle]Lifecycle{Ready: Terminating, Terminating: Terminating}},
		{"renew", func(s *Store) (WriteResult, error) { return s.Renew(0, "a", 5) }, "", map[Lifecycle]Lifecycle{Ready: Ready, Terminating: Terminating}},
		{"DELETE", func(s *Store) (WriteResult, error) { return s.Leave(0, "a", 5, nil) }, Gone, map[Lifecycle]Lifecycle{absent: Gone, Ready: Gone, Terminating: Gone, lapsed: Gone, drained: Gone}},
	}
	origins := []string{"as it is", "from a snapshot", "from the log", "of a follower", "after promotion", "staged, then kept"}
	state := func(s *Store) Lifecycle {
		if e := s.entries["a"]; e != nil {
			return e.Lifecycle
		}
		return Gone
	}
	for _, from := range []Lifecycle{absent, Ready, Terminating, lapsed, drained} {
		for _, origin := range origins {
			for _, call := range calls {
				s := newTestStore(testLimits, 0)
				s.Register(0, testInstance("b", 1), nil)
				log := s.SnapshotRecords()
				follower := newStore(testLimits, 0)
				step := func(result WriteResult, err error) {
					if err != nil {
						t.Fatal(err)
					}
				}
				replicate := func() {
					a, err := s.Read(0, max(follower.version, -1), s.history)
					if err != nil {
						t.Fatal(err)
					}
					listing, err := ParseListing(a.Body)
					if err == nil {
						err = follower.ApplyListing(0, listing, s.history)
					}
					if err != nil {
						t.Fatal(err)
					}
				}
				follower.version = -1
				replicate()
				if from != absent {
					step(register("")(s))
				}
				if from == Terminating || from == drained {
					replicate()
					step(set(Terminating)(s))
				}
				if from == lapsed || from == drained {
					replicate()
					s.lapseCredit, s.lastTick, s.entries["a"].expires = 1, 0, 0
					s.entries["b"].expires = time.Hour
					if err := s.Tick(0); err != nil || s.entries["a"] != nil {
						t.Fatalf("no lapse: %v", err)
					}
				}
				replicate()
				want, accepted := call.then[from]
				switch origin {
				case "from the log":
					again := newStore(testLimits, 0)
					for _, r := range log {
						step(WriteResult{}, again.Restore(0, r))
					}
					for _, logged := range s.changes {
						if logged.version > again.version {
							step(WriteResult{}, again.Restore(0, Record{Change: &InstanceRecord{Version: logged.version, Instance: logged.encoded}}))
						}
					}
					s = again
				case "of a follower":
					follower.baseVersion = 0
					s = follower
				case "after promotion":
					step(WriteResult{}, follower.Restore(0, follower.PromotionRecord(0, "h2", 1)))
					s = follower
					// What has gone is not known any more: it is as if it had never been.
					if from == drained {
						want, accepted = call.then[absent]
					}
				case "staged, then kept":
					s.EnableStaging()
				case "from a snapshot":
					s = restoredStore(t, s, 0)
				}
				written, err := call.do(s)
				s.CommitStaged(0)
				name := fmt.Sprintf("%s, %s, %q", origin, call.name, from)
				switch {
				case !accepted:
					if code := statusOf(err); code != http.StatusConflict && code != http.StatusNotFound {
						t.Errorf("%s: %+v, %v", name, written, err)
					}
				case err != nil || written.Lifecycle != want || state(s) != want || call.asks != "" && call.asks != want:
					t.Errorf("%s: %+v, %v, then %s; want %s", name, written, err, state(s), want)
				}
			}
		}
	}
}

// What does not last yet is not told, and has not happened if it is dropped.
func TestStagedChangesAreInvisible(t *testing.T) {
	s := newTestStore(testLimits, 0)
	s.Register(0, testInstance("a", 1), nil)
	s.EnableStaging()
	before, _ := s.Read(0, -1, "")
	stage := func() {
		t.Helper()
		for n, do := range []func() (WriteResult, error){
			func() (WriteResult, error) { return s.Register(0, testInstance("b", 1), nil) },
			func() (WriteResult, error) { return s.SetLifecycle(0, "a", 1, Terminating, nil) },
			func() (WriteResult, error) { return s.Register(0, testInstance("c", 1), nil) },
		} {
			if written, err := do(); err != nil || written.Version != s.version+int64(n)+1 {
				t.Errorf("%d: %+v, %v", n, written, err)
			}
		}
		for _, do := range []func() (WriteResult, error){
			func() (WriteResult, error) { return s.Register(0, testInstance("b", 2), nil) },
			func() (WriteResult, error) { return s.Renew(0, "a", 1) },
			func() (WriteResult, error) { return s.Leave(0, "c", 1, nil) },
		} {
			if _, err := do(); err != errPending {
				t.Errorf("of one that is being changed: %v", err)
			}
		}
		if after, _ := s.Read(0, -1, ""); string(after.Body) != string(before.Body) || len(s.StagedRecords()) != 3 {
			t.Errorf("told before it lasts: %s, %d staged", after.Body, len(s.StagedRecords()))
		}
	}
	stage()
	s.DropStaged()
	if after, _ := s.Read(0, -1, ""); string(after.Body) != string(before.Body) || len(s.StagedRecords()) != 0 {
		t.Errorf("dropped, but %s", after.Body)
	}
	stage()
	s.CommitStaged(0)
	if a, err := s.Read(0, 1001, "h1"); err != nil || a.Full || strings.Count(string(a.Body), "instanceId") != 3 || s.version != 1004 {
		t.Errorf("settled: %s, %v, version %d", a.Body, err, s.version)
	}
}

// A lease that runs out makes its instance Gone, and many at once go slowly.
func TestLeaseExpiryIsRateLimited(t *testing.T) {
	s := newTestStore(testLimits, 0)
	for n := range 40 {
		s.Register(0, testInstance(fmt.Sprintf("i%02d", n), 1), nil)
	}
	remaining := len(s.entries)
	for now := time.Duration(0); now < 30*time.Second; now += tickInterval {
		if now < 9*time.Second {
			s.Renew(now, "i00", 1)
		}
		if err := s.Tick(now); err != nil {
			t.Fatal(err)
		}
		if now < testLimits.Lease && len(s.entries) < 40 {
			t.Fatalf("%d left at %v", len(s.entries), now)
		}
		if gone := remaining - len(s.entries); gone > 4 {
			t.Fatalf("%d gone at once", gone)
		}
		remaining = len(s.entries)
		if now == 11*time.Second {
			if st := s.Stats(); st.Overdue == 0 || remaining < 40-4-3 {
				t.Errorf("%d left, %d overdue a second after all ran out", remaining, st.Overdue)
			}
			s.Renew(now, "i39", 1) // one that comes late is not too late
		}
		if now > 11*time.Second && now < 21*time.Second && s.entries["i39"] == nil {
			t.Fatalf("one that was renewed late has gone at %v", now)
		}
		if now == 15*time.Second && s.entries["i00"] == nil {
			t.Error("one that was renewed has gone")
		}
	}
	if len(s.entries) > 20 {
		t.Errorf("%d left at the end", len(s.entries))
	}
	if st := s.Stats(); int(st.Lapsed) != 40-remaining || st.Pauses != 0 {
		t.Errorf("%+v", st)
	}
}

// After a start, or a time in which the service stood still, nobody goes before a
// full lease has passed.
func TestPauseRenewsAllLeases(t *testing.T) {
	s := newTestStore(testLimits, 0)
	for n := range 10 {
		s.Register(0, testInstance(fmt.Sprint(n), 1), nil)
	}
	s.Tick(tickInterval)
	now := time.Hour // it stood still, past every lease
	for end := now + testLimits.Lease; now < end; now += tickInterval {
		if s.Tick(now); len(s.entries) < 10 {
			t.Fatalf("%d left, %v after the pause", len(s.entries), now-time.Hour)
		}
	}
	if s.Tick(now + tickInterval); len(s.entries) == 10 {
		t.Error("nobody goes at all")
	}
	if s.Stats().Pauses != 1 {
		t.Errorf("%d pauses", s.Stats().Pauses)
	}
	restored := restoredStore(t, s, 0) // with a clock of its own
	if restored.history != "h1" || restored.version != s.version || len(restored.entries) != len(s.entries) {
		t.Errorf("history %s, version %d, %d instances after a restart", restored.history, restored.version, len(restored.entries))
	}
	if a, err := restored.Read(0, s.version, "h1"); err != nil || !a.Unchanged {
		t.Errorf("at the last version: %+v, %v", a, err)
	}
	remaining := len(restored.entries)
	for now := time.Duration(0); now < testLimits.Lease; now += tickInterval {
		if restored.Tick(now); len(restored.entries) < remaining {
			t.Fatalf("%d left %v after the start", len(restored.entries), now)
		}
	}
}

// A service that begins with nothing tells no list until all could register.
func TestNewHistoryRejectsReadsForOneLease(t *testing.T) {
	s := NewStore(testLimits, "h1", 1000, time.Second)
	s.Register(time.Second, testInstance("a", 1), nil)
	if _, err := s.Read(10*time.Second, -1, ""); statusOf(err) != http.StatusServiceUnavailable {
		t.Errorf("%v", err)
	}
	if a, err := s.Read(11*time.Second, -1, ""); err != nil || !a.Full {
		t.Errorf("%+v, %v", a, err)
	}
}

// Changes are joined for one that lags, encoded once, and kept within bounds.
func TestHistoryIsBounded(t *testing.T) {
	limits := testLimits
	s := newTestStore(limits, 0)
	for n := range int64(100) {
		if _, err := s.Register(0, testInstance("a", n), nil); err != nil {
			t.Fatal(err)
		}
		if st := s.Stats(); st.History > limits.History || st.Bytes > limits.HistoryBytes {
			t.Fatalf("%+v", st)
		}
	}
	if s.Stats().ChangesEncoded != 100 {
		t.Errorf("%d encoded", s.Stats().ChangesEncoded)
	}
	for range 300 {
		if a, err := s.Read(0, 1080, "h1"); err != nil || a.Full || strings.Count(string(a.Body), "instanceId") != 1 {
			t.Fatalf("%s %v", a.Body, err)
		}
	}
	if s.Stats().AnswersEncoded != 1 {
		t.Errorf("%d joined", s.Stats().AnswersEncoded)
	}
	for _, c := range []struct {
		since   int64
		history string
		whole   bool
		status  int
	}{{1060, "", false, 0}, {1059, "", true, 0}, {1100, "", false, 0}, {1080, "other", true, 0}, {1101, "", false, 400}, {-1, "", true, 0}} {
		if a, err := s.Read(0, c.since, c.history); statusOf(err) != c.status || a.Full != c.whole {
			t.Errorf("since %d of %q: whole %t, %v", c.since, c.history, a.Full, err)
		}
	}
	limits.HistoryBytes = 2000
	small := newTestStore(limits, 0)
	for n := range int64(100) {
		if small.Register(0, testInstance("a", n), nil); small.Stats().Bytes > limits.HistoryBytes {
			t.Fatalf("%+v", small.Stats())
		}
	}
	if small.Stats().History < 2 {
		t.Errorf("%+v", small.Stats())
	}
}

// A follower forgets a version of several changes as one, so that its snapshot can be read
// back, and reads one of before, which has some of them.
func TestFollowerHistoryTrimsWholeVersions(t *testing.T) {
	limits := testLimits
	limits.History = 3
	s := newStore(limits, 0)
	if err := s.ApplyListing(0, fullList(10), "h"); err != nil {
		t.Fatal(err)
	}
	for n, changed := range []Listing{{Generation: 12, Instances: []Instance{testInstance("a", 1), testInstance("b", 1)}}, {Generation: 14, Instances: []Instance{testInstance("c", 1), testInstance("d", 1)}},
		{Generation: 20, Instances: []Instance{testInstance("a", 2), testInstance("b", 2), testInstance("c", 2), testInstance("d", 2), testInstance("e", 2)}}} {
		if err := s.ApplyListing(0, changed, "h"); err != nil {
			t.Fatal(err)
		}
		for _, c := range s.changes {
			if c.version <= s.baseVersion {
				t.Errorf("copy %d: version %d is kept, and changes are from %d on", n, c.version, s.baseVersion)
			}
		}
		restored := restoredStore(t, s, 0)
		if restored.version != s.version || restored.baseVersion != s.baseVersion || len(restored.changes) != len(s.changes) || restored.bytes != s.bytes {
			t.Errorf("copy %d: %+v after a restart, %+v before", n, restored.Stats(), s.Stats())
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
		t.Errorf("%d changes from %d on", len(before.changes), before.baseVersion)
	}
	if err := before.Restore(0, Record{Change: &InstanceRecord{Version: 13, Instance: text}}); err == nil {
		t.Error("a change from before the history was taken")
	}
}

// world is a writer, a follower, readers of both, and what the list was at each
// version of each history.
type storeModel struct {
	t              *testing.T
	random         *rand.Rand
	now            time.Duration
	writer         *Store
	follower       *Store
	followerFeed   *Feed
	readers        []*Feed
	listsByVersion map[string]map[string]Instance // by history and version
	lastVersions   map[*Feed]map[string]int64     // the version a reader was at, by history
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

// read makes one call for a reader, whose answer may be lost.
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
		text = text[:w.random.IntN(len(text))] // cut short
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
	// What the reader tells on leads to the same list.
	if changes.Reset {
		clear(applied)
	}
	for _, i := range changes.Instances {
		if applied[i.ID] == i {
			w.t.Fatalf("told as news: %v", i)
		}
		if applied[i.ID] = i; i.Lifecycle == Gone {
			delete(applied, i.ID)
		}
	}
	if !maps.Equal(applied, feed.instances) {
		w.t.Fatalf("the news lead to %v, the list is %v", applied, feed.instances)
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

// Whatever happens, and whatever gets lost, every reader has the list as it was at
// the version that it is at, never goes back, and comes to the last in the end.
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
				// One at a time, so that the list at each version is known.
				model.writer.lapseCredit = 0
				model.writer.Tick(model.now)
			case 7:
				model.step(model.followerFeed)
			case 8:
				if random.IntN(40) == 0 {
					switch random.IntN(3) {
					case 0: // the writer starts again with what lasts
						model.writer = restoredStore(t, model.writer, model.now)
					case 1: // or from nothing
						model.beginHistory()
					case 2: // it stands still
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
