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
func restarted(t *testing.T, s *Store, now time.Duration) *Store {
	t.Helper()
	again := newStore(s.limits, now)
	for _, r := range s.SnapshotRecords() {
		read, err := ParseRecord(encodeRecord(r))
		if err == nil {
			err = again.Restore(now, read)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	return again
}

func inst(id string, started int64) Instance {
	return Instance{ID: id, HostPort: "127.0.0.1:80", Zone: "a", MachineType: "m", Lifecycle: Ready, Weight: 1, StartedAtMs: started}
}

func status(err error) int {
	var r *Refusal
	if errors.As(err, &r) {
		return r.Status
	}
	return 0
}

// Writes mean the same when they are made again, and one process can't write for
// another.
func TestWrites(t *testing.T) {
	s := newTestStore(testLimits, 0)
	p := func(n int64) *int64 { return &n }
	moved, weighty := inst("a", 5), inst("a", 5)
	moved.HostPort, weighty.Weight = "127.0.0.1:81", 2
	gone := inst("z", 1)
	gone.Lifecycle = Gone
	for n, step := range []struct {
		do      func() (WriteResult, error)
		status  int // 0: done
		version int64
	}{
		{func() (WriteResult, error) { return s.Register(0, inst("a", 5), p(7)) }, http.StatusPreconditionFailed, 1000},
		{func() (WriteResult, error) { return s.Register(0, inst("a", 5), p(0)) }, 0, 1001},
		{func() (WriteResult, error) { return s.Register(0, inst("a", 5), nil) }, 0, 1001},                   // again
		{func() (WriteResult, error) { return s.Register(0, moved, nil) }, http.StatusConflict, 1001},        // two processes, one start
		{func() (WriteResult, error) { return s.Register(0, inst("a", 4), nil) }, http.StatusConflict, 1001}, // an old one
		{func() (WriteResult, error) { return s.Register(0, weighty, p(1001)) }, 0, 1002},
		{func() (WriteResult, error) { return s.Renew(0, "a", 4) }, http.StatusConflict, 1002},
		{func() (WriteResult, error) { return s.Renew(0, "b", 4) }, http.StatusNotFound, 1002},
		{func() (WriteResult, error) { return s.Renew(0, "a", 5) }, 0, 1002},
		{func() (WriteResult, error) { return s.SetLifecycle(0, "a", 5, "Asleep", nil) }, http.StatusBadRequest, 1002},
		{func() (WriteResult, error) { return s.SetLifecycle(0, "a", 5, Terminating, p(1001)) }, http.StatusPreconditionFailed, 1002},
		{func() (WriteResult, error) { return s.SetLifecycle(0, "a", 5, Terminating, p(1002)) }, 0, 1003},
		{func() (WriteResult, error) { return s.SetLifecycle(0, "a", 5, Terminating, nil) }, 0, 1003},
		{func() (WriteResult, error) { return s.Register(0, inst("a", 6), nil) }, 0, 1004},
		{func() (WriteResult, error) { return s.Renew(0, "a", 5) }, http.StatusConflict, 1004}, // the old process
		{func() (WriteResult, error) { return s.Leave(0, "a", 5, nil) }, http.StatusConflict, 1004},
		{func() (WriteResult, error) { return s.Leave(0, "a", 6, nil) }, 0, 1005},
		{func() (WriteResult, error) { return s.Leave(0, "a", 6, nil) }, 0, 1005},
		{func() (WriteResult, error) { return s.Register(0, inst("a", 5), nil) }, http.StatusConflict, 1005}, // back from the dead
		{func() (WriteResult, error) { i := moved; i.StartedAtMs = 7; return s.Register(0, i, nil) }, 0, 1006},
		{func() (WriteResult, error) { return s.Register(0, gone, nil) }, http.StatusBadRequest, 1006},
	} {
		written, err := step.do()
		if status(err) != step.status || (err == nil) != (step.status == 0) || s.version != step.version ||
			err == nil && written.Version != s.version {
			t.Fatalf("step %d: %v, version %d of %d; want status %d, version %d", n, err, written.Version, s.version, step.status, step.version)
		}
	}
	for i := len(s.entries); i < testLimits.Instances; i++ {
		if _, err := s.Register(0, inst(fmt.Sprint("x", i), 1), nil); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := s.Register(0, inst("more", 1), nil); status(err) != http.StatusConflict {
		t.Errorf("beyond the limit: %v", err)
	}
}

// Each state of an instance meets each call, through every way in which a list comes
// to be: the state that follows is the one in the table, and a call is answered as
// done only if what it asked for holds then.
func TestLifecycles(t *testing.T) {
	absent := Lifecycle("")
	const lapsed, drained = Lifecycle("lapsed"), Lifecycle("lapsed in a drain")
	register := func(says Lifecycle) func(*Store) (WriteResult, error) {
		return func(s *Store) (WriteResult, error) {
			i := inst("a", 5)
			i.Lifecycle = says
			return s.Register(0, i, nil)
		}
	}
	set := func(l Lifecycle) func(*Store) (WriteResult, error) {
		return func(s *Store) (WriteResult, error) { return s.SetLifecycle(0, "a", 5, l, nil) }
	}
	later := func(s *Store) (WriteResult, error) { return s.Register(0, inst("a", 6), nil) }
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
	ways := []string{"as it is", "from a snapshot", "from the log", "of a follower", "after promotion", "staged, then kept"}
	state := func(s *Store) Lifecycle {
		if e := s.entries["a"]; e != nil {
			return e.Lifecycle
		}
		return Gone
	}
	for _, from := range []Lifecycle{absent, Ready, Terminating, lapsed, drained} {
		for _, way := range ways {
			for _, c := range calls {
				s := newTestStore(testLimits, 0)
				s.Register(0, inst("b", 1), nil)
				log := s.SnapshotRecords()
				follower := newStore(testLimits, 0)
				step := func(written WriteResult, err error) {
					if err != nil {
						t.Fatal(err)
					}
				}
				copied := func() {
					a, err := s.Read(0, max(follower.version, -1), s.history)
					if err != nil {
						t.Fatal(err)
					}
					l, err := ParseListing(a.Body)
					if err == nil {
						err = follower.ApplyListing(0, l, s.history)
					}
					if err != nil {
						t.Fatal(err)
					}
				}
				follower.version = -1
				copied()
				if from != absent {
					step(register("")(s))
				}
				if from == Terminating || from == drained {
					copied()
					step(set(Terminating)(s))
				}
				if from == lapsed || from == drained {
					copied()
					s.lapseCredit, s.lastTick, s.entries["a"].expires = 1, 0, 0
					s.entries["b"].expires = time.Hour
					if err := s.Tick(0); err != nil || s.entries["a"] != nil {
						t.Fatalf("no lapse: %v", err)
					}
				}
				copied()
				want, done := c.then[from]
				switch way {
				case "from the log":
					again := newStore(testLimits, 0)
					for _, r := range log {
						step(WriteResult{}, again.Restore(0, r))
					}
					for _, kept := range s.changes {
						if kept.version > again.version {
							step(WriteResult{}, again.Restore(0, Record{Change: &InstanceRecord{Version: kept.version, Instance: kept.encoded}}))
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
						want, done = c.then[absent]
					}
				case "staged, then kept":
					s.EnableStaging()
				case "from a snapshot":
					s = restarted(t, s, 0)
				}
				written, err := c.do(s)
				s.CommitStaged(0)
				name := fmt.Sprintf("%s, %s, %q", way, c.name, from)
				switch {
				case !done:
					if code := status(err); code != http.StatusConflict && code != http.StatusNotFound {
						t.Errorf("%s: %+v, %v", name, written, err)
					}
				case err != nil || written.Lifecycle != want || state(s) != want || c.asks != "" && c.asks != want:
					t.Errorf("%s: %+v, %v, then %s; want %s", name, written, err, state(s), want)
				}
			}
		}
	}
}

// What does not last yet is not told, and has not happened if it is dropped.
func TestStagedChanges(t *testing.T) {
	s := newTestStore(testLimits, 0)
	s.Register(0, inst("a", 1), nil)
	s.EnableStaging()
	before, _ := s.Read(0, -1, "")
	stage := func() {
		t.Helper()
		for n, do := range []func() (WriteResult, error){
			func() (WriteResult, error) { return s.Register(0, inst("b", 1), nil) },
			func() (WriteResult, error) { return s.SetLifecycle(0, "a", 1, Terminating, nil) },
			func() (WriteResult, error) { return s.Register(0, inst("c", 1), nil) },
		} {
			if written, err := do(); err != nil || written.Version != s.version+int64(n)+1 {
				t.Errorf("%d: %+v, %v", n, written, err)
			}
		}
		for _, do := range []func() (WriteResult, error){
			func() (WriteResult, error) { return s.Register(0, inst("b", 2), nil) },
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
func TestLapses(t *testing.T) {
	s := newTestStore(testLimits, 0)
	for n := range 40 {
		s.Register(0, inst(fmt.Sprintf("i%02d", n), 1), nil)
	}
	left := len(s.entries)
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
		if gone := left - len(s.entries); gone > 4 {
			t.Fatalf("%d gone at once", gone)
		}
		left = len(s.entries)
		if now == 11*time.Second {
			if st := s.Stats(); st.Overdue == 0 || left < 40-4-3 {
				t.Errorf("%d left, %d overdue a second after all ran out", left, st.Overdue)
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
	if st := s.Stats(); int(st.Lapsed) != 40-left || st.Pauses != 0 {
		t.Errorf("%+v", st)
	}
}

// After a start, or a time in which the service stood still, nobody goes before a
// full lease has passed.
func TestNobodyLapsesForTheServicesOwnPause(t *testing.T) {
	s := newTestStore(testLimits, 0)
	for n := range 10 {
		s.Register(0, inst(fmt.Sprint(n), 1), nil)
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
	again := restarted(t, s, 0) // with a clock of its own
	if again.history != "h1" || again.version != s.version || len(again.entries) != len(s.entries) {
		t.Errorf("history %s, version %d, %d instances after a restart", again.history, again.version, len(again.entries))
	}
	if a, err := again.Read(0, s.version, "h1"); err != nil || !a.Unchanged {
		t.Errorf("at the last version: %+v, %v", a, err)
	}
	left := len(again.entries)
	for now := time.Duration(0); now < testLimits.Lease; now += tickInterval {
		if again.Tick(now); len(again.entries) < left {
			t.Fatalf("%d left %v after the start", len(again.entries), now)
		}
	}
}

// A service that begins with nothing tells no list until all could register.
func TestGathering(t *testing.T) {
	s := NewStore(testLimits, "h1", 1000, time.Second)
	s.Register(time.Second, inst("a", 1), nil)
	if _, err := s.Read(10*time.Second, -1, ""); status(err) != http.StatusServiceUnavailable {
		t.Errorf("%v", err)
	}
	if a, err := s.Read(11*time.Second, -1, ""); err != nil || !a.Full {
		t.Errorf("%+v, %v", a, err)
	}
}

// Changes are joined for one that lags, encoded once, and kept within bounds.
func TestHistory(t *testing.T) {
	limits := testLimits
	s := newTestStore(limits, 0)
	for n := range int64(100) {
		if _, err := s.Register(0, inst("a", n), nil); err != nil {
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
		if a, err := s.Read(0, c.since, c.history); status(err) != c.status || a.Full != c.whole {
			t.Errorf("since %d of %q: whole %t, %v", c.since, c.history, a.Full, err)
		}
	}
	limits.HistoryBytes = 2000
	small := newTestStore(limits, 0)
	for n := range int64(100) {
		if small.Register(0, inst("a", n), nil); small.Stats().Bytes > limits.HistoryBytes {
			t.Fatalf("%+v", small.Stats())
		}
	}
	if small.Stats().History < 2 {
		t.Errorf("%+v", small.Stats())
	}
}

// A follower forgets a version of several changes as one, so that its snapshot can be read
// back, and reads one of before, which has some of them.
func TestFollowersHistoryAtItsBound(t *testing.T) {
	limits := testLimits
	limits.History = 3
	s := newStore(limits, 0)
	if err := s.ApplyListing(0, whole(10), "h"); err != nil {
		t.Fatal(err)
	}
	for n, changed := range []Listing{{Generation: 12, Instances: []Instance{inst("a", 1), inst("b", 1)}}, {Generation: 14, Instances: []Instance{inst("c", 1), inst("d", 1)}},
		{Generation: 20, Instances: []Instance{inst("a", 2), inst("b", 2), inst("c", 2), inst("d", 2), inst("e", 2)}}} {
		if err := s.ApplyListing(0, changed, "h"); err != nil {
			t.Fatal(err)
		}
		for _, c := range s.changes {
			if c.version <= s.baseVersion {
				t.Errorf("copy %d: version %d is kept, and changes are from %d on", n, c.version, s.baseVersion)
			}
		}
		again := restarted(t, s, 0)
		if again.version != s.version || again.baseVersion != s.baseVersion || len(again.changes) != len(s.changes) || again.bytes != s.bytes {
			t.Errorf("copy %d: %+v after a restart, %+v before", n, again.Stats(), s.Stats())
		}
	}
	text, err := json.Marshal(inst("a", 2))
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
type world struct {
	t        *testing.T
	random   *rand.Rand
	now      time.Duration
	writer   *Store
	follower *Store
	copying  *Feed
	readers  []*Feed
	models   map[string]map[string]Instance // by history and version
	seen     map[*Feed]map[string]int64     // the version a reader was at, by history
	named    int
}

func at(history string, version int64) string { return fmt.Sprint(history, "/", version) }

func (w *world) remember() {
	w.models[at(w.writer.history, w.writer.version)] = w.list(w.writer)
}

func (w *world) list(s *Store) map[string]Instance {
	list := map[string]Instance{}
	for id, e := range s.entries {
		list[id] = e.Instance
	}
	return list
}

func (w *world) begin() {
	w.named++
	w.writer = NewStore(testLimits, fmt.Sprint("h", w.named), int64(w.named)*100_000, w.now)
	w.remember()
}

// read makes one call for a reader, whose answer may be lost.
func (w *world) read(f *Feed) {
	ask := f.Next()
	from := w.writer
	if ask.Address == "follower" {
		from = w.follower
	}
	since := ask.Since
	if ask.Full {
		since = -1
	}
	a, err := from.Read(w.now, since, ask.History)
	if err != nil || w.random.IntN(5) == 0 {
		f.Failed(0)
		return
	}
	text := a.Body
	if w.random.IntN(10) == 0 {
		text = text[:w.random.IntN(len(text))] // cut short
	}
	l, err := ParseListing(text)
	if err != nil {
		f.Failed(0)
		return
	}
	history := from.history
	was := maps.Clone(f.instances)
	news, err := f.Answered(l, history, 0)
	if err != nil {
		f.Failed(0)
		return
	}
	if v := w.seen[f][history]; l.Generation < v {
		w.t.Fatalf("a reader goes back from %d to %d of %s", v, l.Generation, history)
	}
	w.seen[f][history] = l.Generation
	if want := w.models[at(history, l.Generation)]; !maps.Equal(f.instances, want) {
		w.t.Fatalf("at %s/%d a reader has %v, the list was %v", history, l.Generation, f.instances, want)
	}
	// What the reader tells on leads to the same list.
	if news.Reset {
		clear(was)
	}
	for _, i := range news.Instances {
		if was[i.ID] == i {
			w.t.Fatalf("told as news: %v", i)
		}
		if was[i.ID] = i; i.Lifecycle == Gone {
			delete(was, i.ID)
		}
	}
	if !maps.Equal(was, f.instances) {
		w.t.Fatalf("the news lead to %v, the list is %v", was, f.instances)
	}
	if f == w.copying {
		w.follower.gatheringUntil = 0
		if err := w.follower.ApplyListing(w.now, l, history); err != nil {
			w.t.Fatal(err)
		}
		if !maps.Equal(w.list(w.follower), f.instances) || w.follower.version != l.Generation {
			w.t.Fatalf("the follower has %v at %d, its reader %v at %d", w.list(w.follower), w.follower.version, f.instances, l.Generation)
		}
	}
}

// Whatever happens, and whatever gets lost, every reader has the list as it was at
// the version that it is at, never goes back, and comes to the last in the end.
func TestAgainstModel(t *testing.T) {
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 7))
		w := &world{t: t, random: random, models: map[string]map[string]Instance{}, seen: map[*Feed]map[string]int64{}}
		w.begin()
		w.follower = newStore(testLimits, 0)
		w.follower.gatheringUntil = 1 << 62
		w.copying = NewFeed([]string{"writer"}, random)
		for range 6 {
			w.readers = append(w.readers, NewFeed([]string{"writer", "follower"}, random))
		}
		all := append(slices.Clone(w.readers), w.copying)
		for _, f := range all {
			w.seen[f] = map[string]int64{}
		}
		starts := int64(1)
		for range 1500 {
			w.now += time.Duration(random.IntN(300)) * time.Millisecond
			id := fmt.Sprint("i", random.IntN(12))
			e := w.writer.entries[id]
			switch random.IntN(12) {
			case 0, 1:
				starts++
				i := inst(id, starts)
				i.HostPort = fmt.Sprintf("127.0.0.1:%d", 1+random.IntN(60000))
				w.writer.Register(w.now, i, nil)
			case 2:
				if e != nil {
					w.writer.SetLifecycle(w.now, id, e.StartedAtMs, []Lifecycle{Ready, Terminating}[random.IntN(2)], nil)
				}
			case 3:
				if e != nil {
					w.writer.Leave(w.now, id, e.StartedAtMs-int64(random.IntN(2)), nil)
				}
			case 4, 5:
				if e != nil {
					w.writer.Renew(w.now, id, e.StartedAtMs)
				}
			case 6:
				// One at a time, so that the list at each version is known.
				w.writer.lapseCredit = 0
				w.writer.Tick(w.now)
			case 7:
				w.read(w.copying)
			case 8:
				if random.IntN(40) == 0 {
					switch random.IntN(3) {
					case 0: // the writer starts again with what lasts
						w.writer = restarted(t, w.writer, w.now)
					case 1: // or from nothing
						w.begin()
					case 2: // it stands still
						w.now += time.Minute
					}
				}
			default:
				w.read(w.readers[random.IntN(len(w.readers))])
			}
			w.remember()
		}
		w.now += time.Minute
		for range 200 {
			for _, f := range all {
				w.read(f)
			}
		}
		for n, f := range all {
			if f.history != w.writer.history || f.version != w.writer.version || !maps.Equal(f.instances, w.list(w.writer)) {
				t.Fatalf("seed %d: reader %d ends at %s/%d with %v; the list is at %s/%d with %v", seed, n, f.history, f.version,
					f.instances, w.writer.history, w.writer.version, w.list(w.writer))
			}
		}
	}
}
