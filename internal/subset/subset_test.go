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

// user is the user of a subset: it applies updates and detects wrong ones.
type user struct {
	known map[string]registry.Instance
}

// apply applies an update and returns an error if it is inconsistent.
func (u *user) apply(changes registry.Listing) error {
	if changes.Reset {
		u.known = map[string]registry.Instance{}
	}
	for _, instance := range changes.Instances {
		previous, known := u.known[instance.ID]
		switch {
		case instance.Lifecycle == registry.Gone && !known:
			return fmt.Errorf("%s is reported as Gone but was not known", instance.ID)
		case instance.Lifecycle == registry.Gone:
			delete(u.known, instance.ID)
			continue
		case instance.Lifecycle == registry.Terminating && !known && !changes.Reset:
			return fmt.Errorf("%s is reported as Terminating but was not known", instance.ID)
		case known && previous == instance && instance.Lifecycle == registry.Ready && !changes.Reset:
			return fmt.Errorf("%s is reported twice without a change", instance.ID)
		}
		u.known[instance.ID] = instance
	}
	return nil
}

// usable returns the number of Ready instances that the user knows.
func (u *user) usable() (count int) {
	for _, instance := range u.known {
		if instance.Lifecycle == registry.Ready {
			count++
		}
	}
	return count
}

// model is a simple reference: the full list, and the subset found by sorting.
type model struct {
	member   string
	settings Settings
	listed   map[string]registry.Instance
}

// best returns the IDs of the subset at a width.
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

// compare returns an error if the user's knowledge differs from the model.
func (m *model) compare(user *user, width int) error {
	best := m.best(width)
	for id := range best {
		if user.known[id] != m.listed[id] {
			return fmt.Errorf("%s is in the subset as %+v, but known as %+v", id, m.listed[id], user.known[id])
		}
	}
	for id, instance := range user.known {
		listed, isListed := m.listed[id]
		switch {
		case !isListed:
			return fmt.Errorf("%s is Gone but still known", id)
		case instance.Lifecycle == registry.Ready && !best[id]:
			return fmt.Errorf("%s is known as Ready but not in the subset", id)
		case listed.Lifecycle == registry.Terminating && instance.Lifecycle != registry.Terminating:
			return fmt.Errorf("%s is Terminating but known as %s", id, instance.Lifecycle)
		}
	}
	return nil
}

// instanceOf returns an instance whose fields depend on n.
func instanceOf(id string, n int, lifecycle registry.Lifecycle) registry.Instance {
	return registry.Instance{ID: id, HostPort: fmt.Sprintf("127.0.0.1:%d", 1+n), Zone: fmt.Sprint("z", n%3), MachineType: fmt.Sprint("m", n%2),
		Cell: n % 5, Lifecycle: lifecycle, Weight: float64(n), StartedAtMs: int64(n)}
}

// runSelector passes random changes to a Selector and returns the first fault. The function defect, if not
// nil, corrupts the updates for the user.
func runSelector(t *rapid.T, defect func(*Selector, registry.Listing) registry.Listing) error {
	settings := Settings{Size: rapid.IntRange(0, 8).Draw(t, "size"), Coverage: rapid.IntRange(0, 6).Draw(t, "coverage"),
		Fleet: rapid.IntRange(1, 12).Draw(t, "fleet")}
	if !settings.Enabled() {
		settings.Size = 1
	}
	model := &model{member: "gw", settings: settings, listed: map[string]registry.Instance{}}
	selector, user := New("gw", settings), &user{known: map[string]registry.Instance{}}
	now := time.Duration(0)
	draw := func(index int) registry.Instance {
		id := fmt.Sprint("b", rapid.IntRange(0, 24).Draw(t, "id"))
		lifecycle := rapid.SampledFrom([]registry.Lifecycle{registry.Ready, registry.Ready, registry.Terminating, registry.Gone}).Draw(t, "lifecycle")
		return instanceOf(id, index, lifecycle)
	}
	for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
		var changes registry.Listing
		switch rapid.SampledFrom([]string{"change", "change", "change", "reset", "report", "resize", "pause"}).Draw(t, "event") {
		case "change", "reset":
			listing := registry.Listing{Generation: int64(step), Reset: rapid.IntRange(0, 9).Draw(t, "reset") == 0 || step == 0}
			if listing.Reset {
				model.listed = map[string]registry.Instance{}
			}
			for index := range rapid.IntRange(0, 12).Draw(t, "changes") {
				instance := draw(step*100 + index)
				if slices.ContainsFunc(listing.Instances, func(other registry.Instance) bool { return other.ID == instance.ID }) {
					continue
				}
				if instance.Lifecycle == registry.Gone && listing.Reset {
					continue
				}
				listing.Instances = append(listing.Instances, instance)
				if model.listed[instance.ID] = instance; instance.Lifecycle == registry.Gone {
					delete(model.listed, instance.ID)
				}
			}
			changes = selector.Apply(now, listing)
			if changes.Generation != listing.Generation || changes.Reset != listing.Reset {
				return fmt.Errorf("the update has generation %d, reset %t", changes.Generation, changes.Reset)
			}
		case "report":
			changes = selector.Report(now, rapid.IntRange(0, user.usable()).Draw(t, "usable"))
		case "resize":
			model.settings.Fleet = rapid.IntRange(1, 12).Draw(t, "fleet")
			model.settings.Size = rapid.IntRange(1, 8).Draw(t, "size")
			changes = selector.Resize(now, model.settings)
		case "pause":
			now += time.Duration(rapid.IntRange(1, 120_000).Draw(t, "pause")) * time.Millisecond
			changes = selector.Report(now, user.usable())
		}
		if defect != nil {
			changes = defect(selector, changes)
		}
		if err := user.apply(changes); err != nil {
			return err
		}
		if err := model.compare(user, selector.health.width); err != nil {
			return fmt.Errorf("step %d: %w", step, err)
		}
		if err := selector.checkInvariants(); err != nil {
			return err
		}
	}
	// After Linger without changes, only the subset and instances that are Terminating in the list are known.
	if err := user.apply(selector.Report(now+Linger, user.usable())); err != nil {
		return err
	}
	best := model.best(selector.health.width)
	for id := range user.known {
		if !best[id] && model.listed[id].Lifecycle == registry.Ready {
			return fmt.Errorf("%s is still known after Linger", id)
		}
	}
	return nil
}

// checkInvariants returns an error if the internal state is inconsistent.
func (s *Selector) checkInvariants() error {
	listed, users := 0, 0
	for _, group := range s.groups {
		listed += group.listed
		for _, ranking := range []*slotHeap{&group.chosen, &group.waiting} {
			for index, at := range ranking.slots {
				if candidate := s.candidates[at]; int(candidate.heapIndex) != index || candidate.rankedIn != ranking.kind || !candidate.ready {
					return fmt.Errorf("%s is at index %d of a heap, but has heapIndex %d", candidate.id, index, candidate.heapIndex)
				}
				if index > 0 && s.closerToFront(ranking, at, ranking.slots[(index-1)/2]) {
					return fmt.Errorf("%s is behind a candidate that it precedes", s.candidates[at].id)
				}
			}
		}
	}
	for _, placement := range s.placements {
		users += placement.users
	}
	switch {
	case listed != len(s.index) || users != len(s.index) || len(s.index)+len(s.free) != len(s.candidates):
		return fmt.Errorf("%d candidates in groups, %d in placements, %d in the index, %d free slots, %d slots", listed, users, len(s.index), len(s.free), len(s.candidates))
	case len(s.dirty) > 0 || len(s.goneAt) > len(s.leaving):
		return fmt.Errorf("%d dirty, %d leaving of %d departures", len(s.dirty), len(s.goneAt), len(s.leaving))
	}
	return nil
}

// After any changes a user knows exactly the K highest-ranked Ready instances with their current state, and
// otherwise only instances that are leaving.
func TestSelectorMatchesTheModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := runSelector(t, nil); err != nil {
			t.Fatal(err)
		}
	})
}

// The model detects each of these defects.
func TestModelDetectsPlantedDefects(t *testing.T) {
	without := func(l registry.Listing, lifecycle registry.Lifecycle) registry.Listing {
		l.Instances = slices.DeleteFunc(l.Instances, func(i registry.Instance) bool { return i.Lifecycle == lifecycle })
		return l
	}
	for name, defect := range map[string]func(*Selector, registry.Listing) registry.Listing{
		"drains are not reported":     func(_ *Selector, l registry.Listing) registry.Listing { return without(l, registry.Terminating) },
		"departures are not reported": func(_ *Selector, l registry.Listing) registry.Listing { return without(l, registry.Gone) },
		"entries are not reported":    func(_ *Selector, l registry.Listing) registry.Listing { return without(l, registry.Ready) },
		"weights are not updated": func(_ *Selector, l registry.Listing) registry.Listing {
			for n := range l.Instances {
				l.Instances[n].Weight = 1
			}
			return l
		},
		"ranks change": func(s *Selector, l registry.Listing) registry.Listing {
			for at := range s.candidates {
				s.candidates[at].rank = bits.Reverse64(s.candidates[at].rank)
			}
			return l
		},
		"changes are reported twice": func(_ *Selector, l registry.Listing) registry.Listing {
			l.Instances = append(slices.Clip(l.Instances), l.Instances...)
			return l
		},
		"departures never end": func(s *Selector, l registry.Listing) registry.Listing { clear(s.goneAt); return l },
	} {
		found := false
		for seed := 0; seed < 300 && !found; seed++ {
			rapid.Custom(func(t *rapid.T) bool {
				found = found || runSelector(t, defect) != nil
				return found
			}).Example(seed)
		}
		if !found {
			t.Errorf("defect not detected: %s", name)
		}
	}
}

// listOf returns a full list of n Ready instances.
func listOf(n int) registry.Listing {
	listing := registry.Listing{Generation: 1, Reset: true}
	for k := range n {
		listing.Instances = append(listing.Instances, instanceOf(fmt.Sprintf("backend-%06d", k), k%60000, registry.Ready))
	}
	return listing
}

// lifecyclesOf returns the lifecycles in an update by instance ID.
func lifecyclesOf(listing registry.Listing) map[string]registry.Lifecycle {
	lifecycles := map[string]registry.Lifecycle{}
	for _, instance := range listing.Instances {
		lifecycles[instance.ID] = instance.Lifecycle
	}
	return lifecycles
}

// The conversion to a candidate and back loses no field of an instance.
func TestCandidateKeepsAllFieldsOfAnInstance(t *testing.T) {
	full := registry.Instance{}
	value := reflect.ValueOf(&full).Elem()
	for index := range value.NumField() {
		switch field := value.Field(index); field.Kind() {
		case reflect.String:
			field.SetString(fmt.Sprint("text ", index))
		case reflect.Float64:
			field.SetFloat(1.5)
		case reflect.Int, reflect.Int64:
			field.SetInt(int64(7 + index))
		case reflect.Bool: // Drained is set for Gone instances only, which are passed on unchanged
		default:
			t.Fatalf("unexpected field of kind %v", field.Kind())
		}
	}
	full.Lifecycle = registry.Ready
	selector := New("gw", Settings{Size: 1, Fleet: 1})
	if changes := selector.Apply(0, registry.Listing{Reset: true, Instances: []registry.Instance{full}}); len(changes.Instances) != 1 || changes.Instances[0] != full {
		t.Errorf("reported %+v, want %+v", changes.Instances, full)
	}
}

// With zero Settings, updates pass through unchanged without allocations or state.
func TestDisabledSelectorPassesListsThrough(t *testing.T) {
	selector, listing := New("gw", Settings{Fleet: 3}), listOf(50)
	var out registry.Listing
	if n := testing.AllocsPerRun(100, func() { out = selector.Apply(0, listing); selector.Report(time.Hour, 0) }); n != 0 {
		t.Errorf("%v allocations, want none", n)
	}
	if !reflect.DeepEqual(out, listing) || &out.Instances[0] != &listing.Instances[0] || len(selector.index) > 0 {
		t.Errorf("the list was copied or changed")
	}
}

// An instance that leaves the subset is replaced at once, reported as Terminating and later as Gone.
func TestInstanceThatLeavesLingersAsTerminating(t *testing.T) {
	selector := New("gw", Settings{Size: 3, Fleet: 9})
	first := selector.Apply(0, listOf(30))
	if len(first.Instances) != 3 {
		t.Fatalf("%d instances in the subset, want 3", len(first.Instances))
	}
	drained := first.Instances[0]
	drained.Lifecycle = registry.Terminating
	changes := selector.Apply(time.Second, registry.Listing{Generation: 2, Instances: []registry.Instance{drained}})
	if lifecycles := lifecyclesOf(changes); len(lifecycles) != 2 || lifecycles[drained.ID] != registry.Terminating {
		t.Fatalf("reported %v after a drain, want it and a replacement", lifecycles)
	}
	var entered string
	for id, lifecycle := range lifecyclesOf(changes) {
		if lifecycle == registry.Ready {
			entered = id
		}
	}
	// The drain is cancelled: the instance is Ready again and its replacement leaves.
	ready := drained
	ready.Lifecycle = registry.Ready
	if lifecycles := lifecyclesOf(selector.Apply(2*time.Second, registry.Listing{Generation: 3, Instances: []registry.Instance{ready}})); len(lifecycles) != 2 ||
		lifecycles[ready.ID] != registry.Ready || lifecycles[entered] != registry.Terminating {
		t.Fatalf("reported %v after the end of a drain, want the return and a departure", lifecycles)
	}
	if changes := selector.Report(2*time.Second+Linger-1, 3); len(changes.Instances) > 0 {
		t.Fatalf("reported %v before the end of Linger", lifecyclesOf(changes))
	}
	// Another instance leaves within Linger: the one that is leaving is Ready again.
	gone := first.Instances[1]
	gone.Lifecycle = registry.Gone
	if lifecycles := lifecyclesOf(selector.Apply(2*time.Second+Linger-1, registry.Listing{Generation: 4, Instances: []registry.Instance{gone}})); len(lifecycles) != 2 ||
		lifecycles[gone.ID] != registry.Gone || lifecycles[entered] != registry.Ready {
		t.Fatalf("reported %v after a removal, want it and a return", lifecycles)
	}
	if changes := selector.Report(time.Hour, 3); len(changes.Instances) > 0 {
		t.Fatalf("reported %v of an instance that has returned", lifecyclesOf(changes))
	}
	// A change outside the subset is not reported, but the generation is.
	outside := instanceOf("backend-zz", 5, registry.Terminating)
	if changes := selector.Apply(time.Hour, registry.Listing{Generation: 9, Instances: []registry.Instance{outside}}); changes.Generation != 9 || len(changes.Instances) > 0 {
		t.Fatalf("reported %+v, want generation 9 and no instances", changes)
	}
}

// Each service has its own subset, also when an instance changes its service.
func TestEachServiceHasItsOwnSubset(t *testing.T) {
	selector := New("gw", Settings{Size: 4, Fleet: 9})
	both, other := listOf(20), listOf(40)
	for index := range other.Instances {
		both.Instances = append(both.Instances, other.Instances[index])
		last := &both.Instances[len(both.Instances)-1]
		last.ID, last.Service = "other-"+last.ID, "other"
	}
	if changes := selector.Apply(0, both); len(changes.Instances) != 8 {
		t.Errorf("%d instances of two services, want 8", len(changes.Instances))
	}
	if got := selector.Stats(); got != (Stats{Candidates: 60, Size: 8, Chosen: 8}) {
		t.Errorf("%+v", got)
	}
	moved := both.Instances[0]
	for _, instance := range both.Instances {
		if candidate := selector.candidates[selector.index[instance.ID]]; instance.Service == "" && candidate.rankedIn == inChosen {
			moved = instance
		}
	}
	moved.Service = "other" // it leaves one subset and may enter the other
	selector.Apply(0, registry.Listing{Instances: []registry.Instance{moved}})
	if got := selector.Stats(); got != (Stats{Candidates: 60, Size: 8, Chosen: 8}) || selector.groups[""].listed != 19 {
		t.Errorf("%+v", got)
	}
}

// The size follows Size and Coverage within the list, and invalid settings are rejected.
func TestSubsetSize(t *testing.T) {
	for _, test := range []struct {
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
		if got := test.settings.size(test.listed); got != test.out {
			t.Errorf("%+v of %d: %d, want %d", test.settings, test.listed, got, test.out)
		}
	}
	for _, invalid := range []Settings{{Size: -1, Fleet: 1}, {Size: MaxSize + 1, Fleet: 1}, {Coverage: -1, Fleet: 1},
		{Coverage: MaxCoverage + 1, Fleet: 1}, {Size: 1}, {Size: 1, Fleet: MaxFleet + 1}} {
		if invalid.Check() == nil {
			t.Errorf("no error for %+v", invalid)
		}
	}
	if err := (Settings{}).Check(); err != nil {
		t.Error(err)
	}
}

// A subset without usable instances widens after a short delay, a sick one after a longer delay that
// doubles, and both narrow in steps once healthy for long.
func TestUnhealthySubsetWidens(t *testing.T) {
	selector := New("gw", Settings{Size: 10, Fleet: 9})
	user := &user{known: map[string]registry.Instance{}}
	user.apply(selector.Apply(0, listOf(35)))
	avoided := map[string]bool{}
	for id := range user.known {
		avoided[id] = true
	}
	now := time.Duration(0)
	usable := func() (n int) {
		for id, instance := range user.known {
			if instance.Lifecycle == registry.Ready && !avoided[id] {
				n++
			}
		}
		return n
	}
	report := func(until time.Duration) (changes int) {
		for ; now <= until; now += 50 * time.Millisecond {
			listing := selector.Report(now, usable())
			if err := user.apply(listing); err != nil {
				t.Fatal(err)
			}
			if len(listing.Instances) > 0 {
				changes++
			}
		}
		return changes
	}
	report(lostDelay - 50*time.Millisecond)
	if got := selector.Stats(); got.Size != 10 {
		t.Fatalf("%+v before lostDelay", got)
	}
	report(lostDelay)
	if got := selector.Stats(); got.Chosen != 20 || got.Widened != 1 || usable() != 10 {
		t.Fatalf("%+v with %d usable after lostDelay, want one widening to 20 instances with 10 usable", got, usable())
	}
	if n := report(time.Hour); n != 0 {
		t.Errorf("%d changes of a subset with enough usable instances, want none", n)
	}
	first := maps.Clone(avoided)
	for id := range user.known { // some of the others fail too
		if len(avoided) < 16 {
			avoided[id] = true
		}
	}
	start := now
	report(start + 2*sickDelay - 50*time.Millisecond)
	if got := selector.Stats(); got.Widened != 1 {
		t.Fatalf("%+v: the delay of the second widening is not doubled", got)
	}
	report(start + 2*sickDelay)
	if got := selector.Stats(); got.Chosen != 35 || got.Widened != 2 {
		t.Fatalf("%+v after the second delay, want two widenings to all 35 instances", got)
	}
	if n := report(now + time.Hour); n != 0 {
		t.Errorf("%d changes of a subset with all instances, want none", n)
	}
	clear(avoided) // all instances are usable
	start = now
	report(start + healthyDelay - 50*time.Millisecond)
	if got := selector.Stats(); got.Widened != 2 {
		t.Fatalf("%+v before healthyDelay", got)
	}
	report(start + healthyDelay + 50*time.Millisecond)
	if got := selector.Stats(); got.Widened != 1 || got.Chosen != 20 {
		t.Fatalf("%+v after healthyDelay, want one widening and 20 instances", got)
	}
	report(start + 2*healthyDelay + 100*time.Millisecond + Linger)
	if got := selector.Stats(); got.Widened != 0 || got.Chosen != 10 || len(user.known) != 10 {
		t.Fatalf("%+v with %d known after the second healthyDelay, want the initial subset of 10", got, len(user.known))
	}
	for id := range user.known {
		if !first[id] {
			t.Errorf("%s was not in the initial subset", id)
		}
	}
}

// Narrowing never makes a healthy subset sick, wherever the usable instances are.
func TestWidthDoesNotAlternate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 120).Draw(t, "n")
		size := rapid.IntRange(1, count).Draw(t, "size")
		tenths := rapid.IntRange(0, 10).Draw(t, "tenths") // of the instances are usable
		draws := rapid.SliceOfN(rapid.IntRange(0, 9), count, count).Draw(t, "fates")
		usable := make([]bool, count) // by rank
		for k, draw := range draws {
			usable[k] = draw < tenths
		}
		state, now, changes, narrowings := health{width: rapid.IntRange(0, 4).Draw(t, "width")}, time.Duration(0), 0, 0
		for range 60 {
			sizes := sizeInfo{base: size, current: min(size<<state.width, count), narrowed: min(size<<max(state.width-1, 0), count)}
			sizes.moreReady = sizes.current < count
			usableCount := 0
			for _, ok := range usable[:sizes.current] {
				if ok {
					usableCount++
				}
			}
			before := state.width
			state.update(now, usableCount, sizes)
			if state.width != before {
				changes++
			}
			if state.width < before {
				narrowings++
			} else if state.width > before && narrowings > 0 {
				t.Fatalf("widened again after narrowing: %d instances, size %d", count, size)
			}
			now += healthyDelay
		}
		if state.width < 0 || changes > 12 {
			t.Fatalf("width %d after %d changes", state.width, changes)
		}
	})
}

// A change costs one hash for a new instance and a logarithmic number of comparisons.
func TestCostOfAChange(t *testing.T) {
	const candidates, changes = 20000, 2000
	selector := New("gw", Settings{Size: 100, Coverage: 20, Fleet: 8700})
	listing := listOf(candidates)
	selector.Apply(0, listing)
	if selector.work.hashes != candidates {
		t.Errorf("%d hashes for %d instances, want one each", selector.work.hashes, candidates)
	}
	selector.work = workCounters{}
	for index := range changes {
		instance := listing.Instances[index]
		instance.Lifecycle = []registry.Lifecycle{registry.Gone, registry.Terminating}[index%2]
		selector.Apply(0, registry.Listing{Generation: int64(index), Instances: []registry.Instance{instance}})
		instance.Lifecycle = registry.Ready
		selector.Apply(0, registry.Listing{Generation: int64(index), Instances: []registry.Instance{instance}})
	}
	if selector.work.hashes != changes/2 {
		t.Errorf("%d hashes for %d new instances, want one each", selector.work.hashes, changes/2)
	}
	limit := 6 * math.Log2(candidates)
	if perChange := float64(selector.work.comparisons) / (2 * changes); perChange > limit {
		t.Errorf("%.1f comparisons per change, want at most %.1f", perChange, limit)
	} else {
		t.Logf("%.1f comparisons per change among %d instances", perChange, candidates)
	}
	selector.work = workCounters{}
	selector.Report(time.Hour, 100)
	if selector.work != (workCounters{}) {
		t.Errorf("a report without changes costs %+v", selector.work)
	}
}

// The hash of a pair of names is the same in all versions.
func TestHashIsStable(t *testing.T) {
	if got := New("gateway-1", Settings{Size: 1, Fleet: 1}).hash("backend-000001"); got != 0x9b33eb204ffd2fe {
		t.Errorf("hash %#x, want 0x9b33eb204ffd2fe", got)
	}
}

// maxCandidateBytes limits the memory of a candidate, without strings that are shared with the reader of the
// list, but with the spare capacity of maps and slices.
const maxCandidateBytes = 200

// A candidate takes at most maxCandidateBytes.
func TestMemoryOfACandidate(t *testing.T) {
	const candidates = 20000
	listing := listOf(candidates)
	heap := func() int64 {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return int64(stats.HeapAlloc)
	}
	before := heap()
	selector := New("gw", Settings{Size: 100, Fleet: 8700})
	selector.Apply(0, listing)
	perCandidate := float64(heap()-before) / candidates
	runtime.KeepAlive(selector)
	runtime.KeepAlive(listing)
	if t.Logf("%.0f bytes per candidate", perCandidate); perCandidate > maxCandidateBytes {
		t.Errorf("want at most %d bytes per candidate", maxCandidateBytes)
	}
}

// BenchmarkWholeList applies a full list of 20,000 instances.
func BenchmarkWholeList(b *testing.B) {
	listing := listOf(20000)
	for b.Loop() {
		New("gw", Settings{Size: 100, Fleet: 8700}).Apply(0, listing)
	}
}

// BenchmarkChange applies one change to a list of 20,000 instances.
func BenchmarkChange(b *testing.B) {
	listing := listOf(20000)
	selector := New("gw", Settings{Size: 100, Fleet: 8700})
	selector.Apply(0, listing)
	b.ReportAllocs()
	for index := 0; b.Loop(); index++ {
		selector.Apply(0, registry.Listing{Generation: int64(index), Instances: listing.Instances[index%20000 : index%20000+1]})
	}
}
