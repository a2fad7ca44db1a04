package subset

import (
	"fmt"
	"math"
	"os"
	"slices"
	"testing"

	"dunlintray/internal/registry"
)

// Sizes of the table. The large ones run only where SUBSET_TABLE is set.
var (
	fleets      = []int{3, 30, 300, 1000, 3000, 8700}
	backends    = []int{18, 200, 1000, 20000}
	mostFleet   = 300
	mostBackend = 1000
)

const (
	newcomers = 40 // backends that come, one at a time
	deviation = 6  // standard deviations that a count may be off by
)

// choice is what the members of a fleet choose under one setting.
type choice struct {
	settings Settings
	size     int
	users    []int // by backend: members that use it
	entered  []int // by newcomer: members that take it in
}

// choose fills choices in for one member. It ranks by sorting, beside the selector's way.
func choose(member string, ids, newIDs []string, choices []*choice) {
	ranker := New(member, Settings{})
	ranks := make([]uint64, len(ids))
	order := make([]uint64, len(ids))
	for n, id := range ids {
		ranks[n] = ranker.hash(id)
	}
	copy(order, ranks)
	slices.Sort(order)
	for _, c := range choices {
		least := order[len(order)-c.size] // of the ranks that are used
		for n, rank := range ranks {
			if rank >= least {
				c.users[n]++
			}
		}
		for n, id := range newIDs {
			if ranker.hash(id) > least {
				c.entered[n]++
			}
		}
	}
}

// chooseAll returns what a fleet chooses of so many backends.
func chooseAll(fleet, count int, settings []Settings) []*choice {
	ids, newIDs := make([]string, count), make([]string, newcomers)
	for n := range ids {
		ids[n] = fmt.Sprintf("backend-%06d", n)
	}
	for n := range newIDs {
		newIDs[n] = fmt.Sprintf("newcomer-%06d", n)
	}
	var choices []*choice
	for _, s := range settings {
		s.Fleet = fleet
		choices = append(choices, &choice{settings: s, size: s.size(count), users: make([]int, count), entered: make([]int, newcomers)})
	}
	for n := range fleet {
		choose(fmt.Sprintf("gateway-%04d", n), ids, newIDs, choices)
	}
	return choices
}

func mean(counts []int) float64 {
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return float64(sum) / float64(len(counts))
}

// Backends have about as many members each, and one that comes or goes concerns about as
// many members as use one. A member that comes or goes moves nothing for the others but
// by the size, which rests on the fleet.
func TestEvenness(t *testing.T) {
	settings := []Settings{{Size: 20}, {Size: 100}, {Size: 20, Coverage: 20}, {Size: 100, Coverage: 20}}
	t.Log("| gateways | backends | size, coverage | K | gateways by backend: least, mean, most | most / mean | backends with none | gateways that a new backend concerns: mean, most (bound of the mean) | K with one gateway more, ten in a hundred less |")
	t.Log("| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |")
	for _, fleet := range fleets {
		for _, count := range backends {
			if os.Getenv("SUBSET_TABLE") == "" && (fleet > mostFleet || count > mostBackend) {
				continue
			}
			for _, c := range chooseAll(fleet, count, settings) {
				checkEvenness(t, fleet, count, c)
			}
		}
	}
}

func checkEvenness(t *testing.T, fleet, count int, c *choice) {
	t.Helper()
	least, middle, most := slices.Min(c.users), mean(c.users), slices.Max(c.users)
	none := 0
	for _, n := range c.users {
		if n == 0 {
			none++
		}
	}
	// Of a member, a new backend is among the K best of N+1 with probability K/(N+1).
	expected := float64(fleet*c.size) / float64(count+1)
	bound := expected + deviation*math.Sqrt(expected/newcomers)
	entered := mean(c.entered)
	if c.size == count {
		entered, bound = float64(fleet), float64(fleet) // all use all, as far as Size reaches
	}
	more, fewer := c.settings, c.settings
	more.Fleet, fewer.Fleet = fleet+1, max(fleet-max(fleet/10, 1), 1)
	t.Logf("| %d | %d | %d, %d | %d | %d, %.2f, %d | %.2f | %d | %.2f, %d (%.2f) | %d, %d |", fleet, count, c.settings.Size, c.settings.Coverage, c.size,
		least, middle, most, float64(most)/middle, none, entered, max(slices.Max(c.entered), int(entered)), bound, more.size(count), fewer.size(count))
	off := deviation * math.Sqrt(middle)
	switch {
	case float64(most) > middle+off+deviation || float64(least) < middle-off:
		t.Errorf("%d gateways, %d backends, K %d: a backend has %d to %d gateways, %.1f in the mean", fleet, count, c.size, least, most, middle)
	case middle >= 20 && none > 0:
		t.Errorf("%d gateways, %d backends, K %d: %d backends have no gateway", fleet, count, c.size, none)
	case c.settings.Coverage > 0 && middle < float64(min(c.settings.Coverage, fleet)):
		t.Errorf("%d gateways, %d backends, K %d: a backend has %.1f gateways in the mean, under %d", fleet, count, c.size, middle, c.settings.Coverage)
	case entered > bound:
		t.Errorf("%d gateways, %d backends, K %d: %.2f gateways for each new backend, above %.2f", fleet, count, c.size, entered, bound)
	case more.size(count) > c.size || fewer.size(count) < c.size:
		t.Errorf("%d gateways, %d backends: K %d rises with the fleet", fleet, count, c.size)
	}
}

// Through the selector too, what a backend that goes or comes moves for a member is one
// place for one, and for most members nothing.
func TestMovesOfTheSelector(t *testing.T) {
	const members, count, size = 40, 300, 30
	entered, left := 0, 0
	for n := range members {
		s := New(fmt.Sprint("gateway-", n), Settings{Size: size, Fleet: members})
		l := listOf(count)
		s.Apply(0, l)
		for _, i := range l.Instances {
			gone := i
			gone.Lifecycle = registry.Gone
			left += places(t, s, gone)
			entered += places(t, s, i)
		}
	}
	// Each member has each of its K once to lose and once to take back.
	if want := members * size; left != want || entered != want {
		t.Errorf("%d places lost and %d taken, want %d of %d each", left, entered, want, members*count)
	}
}

// places gives a change to a selector and returns how many instances enter its subset.
func places(t *testing.T, s *Selector, i registry.Instance) (entered int) {
	t.Helper()
	news := s.Apply(0, registry.Listing{Instances: []registry.Instance{i}})
	for _, told := range news.Instances {
		if told.Lifecycle == registry.Ready {
			entered++
		}
	}
	if entered > 1 || len(news.Instances) > 2 {
		t.Fatalf("%s is %s: told %+v", i.ID, i.Lifecycle, news.Instances)
	}
	return entered
}
