package subset

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/bits"
	"reflect"
	"runtime"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dunlintray/internal/registry"
)

// user is what the user of a subset knows, and finds what it should not be told.
type user struct {
	known map[string]registry.Instance
}

// take takes news in and returns what is wrong with them.
func (u *user) take(news registry.Listing) error {
	if news.Reset {
		u.known = map[string]registry.Instance{}
	}
	for _, i := range news.Instances {
		was, known := u.known[i.ID]
		switch {
		case i.Lifecycle == registry.Gone && !known:
			return fmt.Errorf("%s is told as gone and was not known", i.ID)
		case i.Lifecycle == registry.Gone:
			delete(u.known, i.ID)
			continue
		case i.Lifecycle == registry.Terminating && !known && !news.Reset:
			return fmt.Errorf("%s is told as terminating and was not known", i.ID)
		case known && was == i && i.Lifecycle == registry.Ready && !news.Reset:
			return fmt.Errorf("%s is told twice as it stands", i.ID)
		}
		u.known[i.ID] = i
	}
	return nil
}

func (u *user) usable() (n int) {
	for _, i := range u.known {
		if i.Lifecycle == registry.Ready {
			n++
		}
	}
	return n
}

// model is the list in the plainest form, and which of it a member should use.
type model struct {
	member   string
	settings Settings
	listed   map[string]registry.Instance
}

// best returns the K best Ready instances, by sorting all.
func (m *model) best(width int) map[string]bool {
	size := min(m.settings.size(len(m.listed))<<width, len(m.listed))
	ready := slices.DeleteFunc(slices.Collect(maps.Values(m.listed)), func(i registry.Instance) bool { return i.Lifecycle != registry.Ready })
	ranker := New(m.member, m.settings)
	slices.SortFunc(ready, func(a, b registry.Instance) int {
		return cmp.Or(cmp.Compare(ranker.hash(b.ID), ranker.hash(a.ID)), cmp.Compare(a.ID, b.ID))
	})
	best := map[string]bool{}
	for _, i := range ready[:min(size, len(ready))] {
		best[i.ID] = true
	}
	return best
}

// compare returns how the user's knowledge differs from what it should be.
func (m *model) compare(u *user, width int) error {
	best := m.best(width)
	for id := range best {
		if u.known[id] != m.listed[id] {
			return fmt.Errorf("%s is among the best as %+v, and known as %+v", id, m.listed[id], u.known[id])
		}
	}
	for id, i := range u.known {
		listed, still := m.listed[id]
		switch {
		case !still:
			return fmt.Errorf("%s is gone and still known", id)
		case i.Lifecycle == registry.Ready && !best[id]:
			return fmt.Errorf("%s is known as ready and not among the best", id)
		case listed.Lifecycle == registry.Terminating && i.Lifecycle != registry.Terminating:
			return fmt.Errorf("%s terminates and is known as %s", id, i.Lifecycle)
		}
	}
	return nil
}

// instanceOf returns an instance in which all that the list tells depends on n.
func instanceOf(id string, n int, lifecycle registry.Lifecycle) registry.Instance {
	return registry.Instance{ID: id, HostPort: fmt.Sprintf("127.0.0.1:%d", 1+n), Zone: fmt.Sprint("z", n%3), MachineType: fmt.Sprint("m", n%2),
		Cell: n % 5, Lifecycle: lifecycle, Weight: float64(n), StartedAtMs: int64(n)}
}

// run draws changes, gives them to a selector, and returns the first fault found. A
// defect spoils the news between the two.
func run(t *rapid.T, defect func(*Selector, registry.Listing) registry.Listing) error {
	settings := Settings{Size: rapid.IntRange(0, 8).Draw(t, "size"), Coverage: rapid.IntRange(0, 6).Draw(t, "coverage"),
		Fleet: rapid.IntRange(1, 12).Draw(t, "fleet")}
	if !settings.Enabled() {
		settings.Size = 1
	}
	m := &model{member: "gw", settings: settings, listed: map[string]registry.Instance{}}
	s, u := New("gw", settings), &user{known: map[string]registry.Instance{}}
	now := time.Duration(0)
	draw := func(n int) registry.Instance {
		id := fmt.Sprint("b", rapid.IntRange(0, 24).Draw(t, "id"))
		lifecycle := rapid.SampledFrom([]registry.Lifecycle{registry.Ready, registry.Ready, registry.Terminating, registry.Gone}).Draw(t, "lifecycle")
		return instanceOf(id, n, lifecycle)
	}
	for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
		var news registry.Listing
		switch rapid.SampledFrom([]string{"change", "change", "change", "reset", "report", "resize", "pause"}).Draw(t, "event") {
		case "change", "reset":
			l := registry.Listing{Generation: int64(step), Reset: rapid.IntRange(0, 9).Draw(t, "reset") == 0 || step == 0}
			if l.Reset {
				m.listed = map[string]registry.Instance{}
			}
			for n := range rapid.IntRange(0, 12).Draw(t, "changes") {
				i := draw(step*100 + n)
				if slices.ContainsFunc(l.Instances, func(other registry.Instance) bool { return other.ID == i.ID }) {
					continue
				}
				if i.Lifecycle == registry.Gone && l.Reset {
					continue
				}
				l.Instances = append(l.Instances, i)
				if m.listed[i.ID] = i; i.Lifecycle == registry.Gone {
					delete(m.listed, i.ID)
				}
			}
			news = s.Apply(now, l)
			if news.Generation != l.Generation || news.Reset != l.Reset {
				return fmt.Errorf("the news have version %d, reset %t", news.Generation, news.Reset)
			}
		case "report":
			news = s.Report(now, rapid.IntRange(0, u.usable()).Draw(t, "usable"))
		case "resize":
			m.settings.Fleet = rapid.IntRange(1, 12).Draw(t, "fleet")
			m.settings.Size = rapid.IntRange(1, 8).Draw(t, "size")
			news = s.Resize(now, m.settings)
		case "pause":
			now += time.Duration(rapid.IntRange(1, 120_000).Draw(t, "pause")) * time.Millisecond
			news = s.Report(now, u.usable())
		}
		if defect != nil {
			news = defect(s, news)
		}
		if err := u.take(news); err != nil {
			return err
		}
		if err := m.compare(u, s.health.width); err != nil {
			return fmt.Errorf("step %d: %w", step, err)
		}
		if err := s.sound(); err != nil {
			return err
		}
	}
	// Once nothing happens any more, the subset alone is known, and what the list says ends.
	if err := u.take(s.Report(now+Linger, u.usable())); err != nil {
		return err
	}
	best := m.best(s.health.width)
	for id := range u.known {
		if !best[id] && m.listed[id].Lifecycle == registry.Ready {
			return fmt.Errorf("%s lingers for ever", id)
		}
	}
	return nil
}

// sound finds what a selector should never be in.
func (s *Selector) sound() error {
	listed, users := 0, 0
	for _, g := range s.groups {
		listed += g.listed
		for _, r := range []*ranking{&g.chosen, &g.waiting} {
			for n, at := range r.slots {
				if c := s.candidates[at]; int(c.heapAt) != n || c.place != r.place || !c.ready {
					return fmt.Errorf("%s is at %d of a ranking, and says %d", c.id, n, c.heapAt)
				}
				if n > 0 && s.before(r, at, r.slots[(n-1)/2]) {
					return fmt.Errorf("%s is behind a lesser one", s.candidates[at].id)
				}
			}
		}
	}
	for _, p := range s.placements {
		users += p.users
	}
	switch {
	case listed != len(s.index) || users != len(s.index) || len(s.index)+len(s.free) != len(s.candidates):
		return fmt.Errorf("%d listed, %d placed, %d known, %d free, %d in all", listed, users, len(s.index), len(s.free), len(s.candidates))
	case len(s.touched) > 0 || len(s.leavingBy) > len(s.leaving):
		return fmt.Errorf("%d touched, %d leaving of %d", len(s.touched), len(s.leavingBy), len(s.leaving))
	}
	return nil
}

// Whatever the list tells and whenever it is asked, a member knows exactly the K best
// of the instances that are Ready, as they stand, and beside them only what ends.
func TestTheBestAreUsed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := run(t, nil); err != nil {
			t.Fatal(err)
		}
	})
}

// The model finds what it is there for.
func TestPlantedDefectsAreFound(t *testing.T) {
	without := func(l registry.Listing, lifecycle registry.Lifecycle) registry.Listing {
		l.Instances = slices.DeleteFunc(l.Instances, func(i registry.Instance) bool { return i.Lifecycle == lifecycle })
		return l
	}
	for name, defect := range map[string]func(*Selector, registry.Listing) registry.Listing{
		"drains are not told":    func(_ *Selector, l registry.Listing) registry.Listing { return without(l, registry.Terminating) },
		"the gone are not told":  func(_ *Selector, l registry.Listing) registry.Listing { return without(l, registry.Gone) },
		"entrances are not told": func(_ *Selector, l registry.Listing) registry.Listing { return without(l, registry.Ready) },
		"weights are old": func(_ *Selector, l registry.Listing) registry.Listing {
			for n := range l.Instances {
				l.Instances[n].Weight = 1
			}
			return l
		},
		"a candidate is ranked anew": func(s *Selector, l registry.Listing) registry.Listing {
			for at := range s.candidates {
				s.candidates[at].rank = bits.Reverse64(s.candidates[at].rank)
			}
			return l
		},
		"changes are told twice": func(_ *Selector, l registry.Listing) registry.Listing {
			l.Instances = append(slices.Clip(l.Instances), l.Instances...)
			return l
		},
		"those that left never go": func(s *Selector, l registry.Listing) registry.Listing { clear(s.leavingBy); return l },
	} {
		found := false
		for seed := 0; seed < 300 && !found; seed++ {
			rapid.Custom(func(t *rapid.T) bool {
				found = found || run(t, defect) != nil
				return found
			}).Example(seed)
		}
		if !found {
			t.Errorf("not found: %s", name)
		}
	}
}

// listOf returns a whole list of n instances that are Ready.
func listOf(n int) registry.Listing {
	l := registry.Listing{Generation: 1, Reset: true}
	for k := range n {
		l.Instances = append(l.Instances, instanceOf(fmt.Sprintf("backend-%06d", k), k%60000, registry.Ready))
	}
	return l
}

func lifecycles(l registry.Listing) map[string]registry.Lifecycle {
	by := map[string]registry.Lifecycle{}
	for _, i := range l.Instances {
		by[i.ID] = i.Lifecycle
	}
	return by
}

// What a candidate is kept as loses nothing of its instance.
func TestNothingOfAnInstanceIsLost(t *testing.T) {
	whole := registry.Instance{}
	v := reflect.ValueOf(&whole).Elem()
	for n := range v.NumField() {
		switch f := v.Field(n); f.Kind() {
		case reflect.String:
			f.SetString(fmt.Sprint("text ", n))
		case reflect.Float64:
			f.SetFloat(1.5)
		case reflect.Int, reflect.Int64:
			f.SetInt(int64(7 + n))
		case reflect.Bool: // Drained, of one that is Gone, which is told as it came
		default:
			t.Fatalf("a field of kind %v", f.Kind())
		}
	}
	whole.Lifecycle = registry.Ready
	s := New("gw", Settings{Size: 1, Fleet: 1})
	if l := s.Apply(0, registry.Listing{Reset: true, Instances: []registry.Instance{whole}}); len(l.Instances) != 1 || l.Instances[0] != whole {
		t.Errorf("told %+v, want %+v", l.Instances, whole)
	}
}

// Without settings the news pass as they came, and nothing is kept.
func TestOffPassesThrough(t *testing.T) {
	s, l := New("gw", Settings{Fleet: 3}), listOf(50)
	var out registry.Listing
	if n := testing.AllocsPerRun(100, func() { out = s.Apply(0, l); s.Report(time.Hour, 0) }); n != 0 {
		t.Errorf("%v allocations", n)
	}
	if !reflect.DeepEqual(out, l) || &out.Instances[0] != &l.Instances[0] || len(s.index) > 0 {
		t.Errorf("another list came out")
	}
}

// A member that leaves the subset ends first, goes later, and is replaced at once.
func TestLeaving(t *testing.T) {
	s := New("gw", Settings{Size: 3, Fleet: 9})
	first := s.Apply(0, listOf(30))
	if len(first.Instances) != 3 {
		t.Fatalf("%d of 3", len(first.Instances))
	}
	drained := first.Instances[0]
	drained.Lifecycle = registry.Terminating
	news := s.Apply(time.Second, registry.Listing{Generation: 2, Instances: []registry.Instance{drained}})
	if by := lifecycles(news); len(by) != 2 || by[drained.ID] != registry.Terminating {
		t.Fatalf("told %v", by)
	}
	var entered string
	for id, lifecycle := range lifecycles(news) {
		if lifecycle == registry.Ready {
			entered = id
		}
	}
	// The drain ends: it is back as it stands, and the one in its place ends.
	back := drained
	back.Lifecycle = registry.Ready
	if by := lifecycles(s.Apply(2*time.Second, registry.Listing{Generation: 3, Instances: []registry.Instance{back}})); len(by) != 2 ||
		by[back.ID] != registry.Ready || by[entered] != registry.Terminating {
		t.Fatalf("told %v", by)
	}
	if l := s.Report(2*time.Second+Linger-1, 3); len(l.Instances) > 0 {
		t.Fatalf("told %v too early", lifecycles(l))
	}
	// Another leaves within the linger: the one that lingers stands as it does.
	gone := first.Instances[1]
	gone.Lifecycle = registry.Gone
	if by := lifecycles(s.Apply(2*time.Second+Linger-1, registry.Listing{Generation: 4, Instances: []registry.Instance{gone}})); len(by) != 2 ||
		by[gone.ID] != registry.Gone || by[entered] != registry.Ready {
		t.Fatalf("told %v", by)
	}
	if l := s.Report(time.Hour, 3); len(l.Instances) > 0 {
		t.Fatalf("told %v of one that came back", lifecycles(l))
	}
	// What lies outside the subset is not told, with its version all the same.
	outside := instanceOf("backend-zz", 5, registry.Terminating)
	if l := s.Apply(time.Hour, registry.Listing{Generation: 9, Instances: []registry.Instance{outside}}); l.Generation != 9 || len(l.Instances) > 0 {
		t.Fatalf("told %+v", l)
	}
}

// Services have a subset each.
func TestSubsetsByService(t *testing.T) {
	s := New("gw", Settings{Size: 4, Fleet: 9})
	a, b := listOf(20), listOf(40)
	for n := range b.Instances {
		a.Instances = append(a.Instances, b.Instances[n])
		last := &a.Instances[len(a.Instances)-1]
		last.ID, last.Service = "other-"+last.ID, "other"
	}
	if l := s.Apply(0, a); len(l.Instances) != 8 {
		t.Errorf("%d instances of two services", len(l.Instances))
	}
	if got := s.Stats(); got != (Stats{Candidates: 60, Size: 8, Chosen: 8}) {
		t.Errorf("%+v", got)
	}
	moved := a.Instances[0]
	for _, i := range a.Instances {
		if c := s.candidates[s.index[i.ID]]; i.Service == "" && c.place == inChosen {
			moved = i
		}
	}
	moved.Service = "other" // it gives its place up, and may have one there
	s.Apply(0, registry.Listing{Instances: []registry.Instance{moved}})
	if got := s.Stats(); got != (Stats{Candidates: 60, Size: 8, Chosen: 8}) || s.groups[""].listed != 19 {
		t.Errorf("%+v", got)
	}
}

func TestSizes(t *testing.T) {
	for _, c := range []struct {
		settings    Settings
		listed, out int
	}{
		{Settings{Size: 20, Fleet: 8700}, 18, 18},
		{Settings{Size: 20, Fleet: 8700}, 20000, 20},
		{Settings{Size: 20, Coverage: 20, Fleet: 8700}, 20000, 46},
		{Settings{Size: 20, Coverage: 20, Fleet: 3}, 200, 200},
		{Settings{Coverage: 2, Fleet: 10}, 51, 11},
		{Settings{Size: 20, Fleet: 1}, 0, 0},
	} {
		if got := c.settings.size(c.listed); got != c.out {
			t.Errorf("%+v of %d: %d, want %d", c.settings, c.listed, got, c.out)
		}
	}
	for _, bad := range []Settings{{Size: -1, Fleet: 1}, {Size: MaxSize + 1, Fleet: 1}, {Coverage: -1, Fleet: 1},
		{Coverage: MaxCoverage + 1, Fleet: 1}, {Size: 1}, {Size: 1, Fleet: MaxFleet + 1}} {
		if bad.Check() == nil {
			t.Errorf("%+v was taken", bad)
		}
	}
	if err := (Settings{}).Check(); err != nil {
		t.Error(err)
	}
}

// A subset that is lost widens at once nearly, one that is sick some seconds later, step
// by step until all there are, and narrows in steps once it has long been well.
func TestWidening(t *testing.T) {
	s := New("gw", Settings{Size: 10, Fleet: 9})
	u := &user{known: map[string]registry.Instance{}}
	u.take(s.Apply(0, listOf(35)))
	avoided := map[string]bool{}
	for id := range u.known {
		avoided[id] = true
	}
	now := time.Duration(0)
	usable := func() (n int) {
		for id, i := range u.known {
			if i.Lifecycle == registry.Ready && !avoided[id] {
				n++
			}
		}
		return n
	}
	report := func(until time.Duration) (changes int) {
		for ; now <= until; now += 50 * time.Millisecond {
			news := s.Report(now, usable())
			if err := u.take(news); err != nil {
				t.Fatal(err)
			}
			if len(news.Instances) > 0 {
				changes++
			}
		}
		return changes
	}
	report(lostFor - 50*time.Millisecond)
	if got := s.Stats(); got.Size != 10 {
		t.Fatalf("%+v before its time", got)
	}
	report(lostFor)
	if got := s.Stats(); got.Chosen != 20 || got.Widened != 1 || usable() != 10 {
		t.Fatalf("%+v, %d usable", got, usable())
	}
	if n := report(time.Hour); n != 0 {
		t.Errorf("%d changes of a subset with as many usable as it should have", n)
	}
	first := maps.Clone(avoided)
	for id := range u.known { // most of the others fail too
		if len(avoided) < 16 {
			avoided[id] = true
		}
	}
	from := now
	report(from + 2*sickFor - 50*time.Millisecond)
	if got := s.Stats(); got.Widened != 1 {
		t.Fatalf("%+v: a second step takes no longer than the first", got)
	}
	report(from + 2*sickFor)
	if got := s.Stats(); got.Chosen != 35 || got.Widened != 2 {
		t.Fatalf("%+v", got)
	}
	if n := report(now + time.Hour); n != 0 {
		t.Errorf("%d changes of all there are", n)
	}
	clear(avoided) // all are well
	from = now
	report(from + healthyFor - 50*time.Millisecond)
	if got := s.Stats(); got.Widened != 2 {
		t.Fatalf("%+v too early", got)
	}
	report(from + healthyFor + 50*time.Millisecond)
	if got := s.Stats(); got.Widened != 1 || got.Chosen != 20 {
		t.Fatalf("%+v", got)
	}
	report(from + 2*healthyFor + 100*time.Millisecond + Linger)
	if got := s.Stats(); got.Widened != 0 || got.Chosen != 10 || len(u.known) != 10 {
		t.Fatalf("%+v, %d known", got, len(u.known))
	}
	for id := range u.known {
		if !first[id] {
			t.Errorf("%s was not in the first subset", id)
		}
	}
}

// A step back never makes a subset sick that is well, however the usable lie.
func TestWidthDoesNotAlternate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 120).Draw(t, "n")
		size := rapid.IntRange(1, n).Draw(t, "size")
		tenths := rapid.IntRange(0, 10).Draw(t, "tenths") // that are usable
		fates := rapid.SliceOfN(rapid.IntRange(0, 9), n, n).Draw(t, "fates")
		usable := make([]bool, n) // by rank
		for k, fate := range fates {
			usable[k] = fate < tenths
		}
		h, now, changes, downs := health{width: rapid.IntRange(0, 4).Draw(t, "width")}, time.Duration(0), 0, 0
		for range 60 {
			e := extent{base: size, size: min(size<<h.width, n), narrower: min(size<<max(h.width-1, 0), n)}
			e.more = e.size < n
			count := 0
			for _, ok := range usable[:e.size] {
				if ok {
					count++
				}
			}
			before := h.width
			h.see(now, count, e)
			if h.width != before {
				changes++
			}
			if h.width < before {
				downs++
			} else if h.width > before && downs > 0 {
				t.Fatalf("wider again after a step back, of %d, size %d", n, size)
			}
			now += healthyFor
		}
		if h.width < 0 || changes > 12 {
			t.Fatalf("width %d after %d changes", h.width, changes)
		}
	})
}

// One change costs a hash for a new instance and comparisons by the logarithm.
func TestCostOfAChange(t *testing.T) {
	const most, changes = 20000, 2000
	s := New("gw", Settings{Size: 100, Coverage: 20, Fleet: 8700})
	l := listOf(most)
	s.Apply(0, l)
	if s.work.hashes != most {
		t.Errorf("%d hashes of %d instances", s.work.hashes, most)
	}
	s.work = work{}
	for n := range changes {
		i := l.Instances[n]
		i.Lifecycle = []registry.Lifecycle{registry.Gone, registry.Terminating}[n%2]
		s.Apply(0, registry.Listing{Generation: int64(n), Instances: []registry.Instance{i}})
		i.Lifecycle = registry.Ready
		s.Apply(0, registry.Listing{Generation: int64(n), Instances: []registry.Instance{i}})
	}
	if s.work.hashes != changes/2 {
		t.Errorf("%d hashes for %d new instances", s.work.hashes, changes/2)
	}
	bound := 6 * math.Log2(most)
	if each := float64(s.work.comparisons) / (2 * changes); each > bound {
		t.Errorf("%.1f comparisons for a change, above %.1f", each, bound)
	} else {
		t.Logf("%.1f comparisons for a change among %d", each, most)
	}
	s.work = work{}
	s.Report(time.Hour, 100)
	if s.work != (work{}) {
		t.Errorf("a report costs %+v", s.work)
	}
}

// What a name and an id are ranked by is the same in all versions of the program.
func TestRanksAreTheSameInAllVersions(t *testing.T) {
	if got := New("gateway-1", Settings{Size: 1, Fleet: 1}).hash("backend-000001"); got != 0x9b33eb204ffd2fe {
		t.Errorf("%#x", got)
	}
}

// mostBytes is what a candidate may take beside the strings of the list's reader, with
// the room that a map and a slice have for more.
const mostBytes = 200

// A candidate takes few bytes.
func TestMemoryOfACandidate(t *testing.T) {
	const candidates = 20000
	l := listOf(candidates)
	heap := func() int64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	before := heap()
	s := New("gw", Settings{Size: 100, Fleet: 8700})
	s.Apply(0, l)
	each := float64(heap()-before) / candidates
	runtime.KeepAlive(s)
	runtime.KeepAlive(l)
	if t.Logf("%.0f bytes for a candidate", each); each > mostBytes {
		t.Errorf("above %d", mostBytes)
	}
}

// BenchmarkWholeList takes in a whole list of 20,000.
func BenchmarkWholeList(b *testing.B) {
	l := listOf(20000)
	for b.Loop() {
		New("gw", Settings{Size: 100, Fleet: 8700}).Apply(0, l)
	}
}

// BenchmarkChange takes in one change of 20,000.
func BenchmarkChange(b *testing.B) {
	l := listOf(20000)
	s := New("gw", Settings{Size: 100, Fleet: 8700})
	s.Apply(0, l)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		s.Apply(0, registry.Listing{Generation: int64(n), Instances: l.Instances[n%20000 : n%20000+1]})
	}
}
