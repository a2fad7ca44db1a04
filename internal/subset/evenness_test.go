package subset

import (
	"fmt"
	"math"
	"os"
	"slices"
	"testing"

	"dunlintray/internal/registry"
)

// Sizes of the table. Those above the limits run only with SUBSET_TABLE set.
var (
	fleetSizes       = []int{3, 30, 300, 1000, 3000, 8700}
	backendCounts    = []int{18, 200, 1000, 20000}
	maxShortFleet    = 300
	maxShortBackends = 1000
)

const (
	newBackends   = 40 // backends added one at a time
	maxDeviations = 6  // tolerance of a count, in standard deviations
)

// choice is what the members of a fleet choose with one setting.
type choice struct {
	settings Settings
	size     int
	users    []int // by backend: number of members that use it
	entered  []int // by new backend: number of members whose subset it enters
}

// addChoices adds the choices of one member. It sorts all ranks, independently of Selector.
func addChoices(member string, ids, newIDs []string, choices []*choice) {
	ranker := New(member, Settings{})
	ranks := make([]uint64, len(ids))
	order := make([]uint64, len(ids))
	for index, id := range ids {
		ranks[index] = ranker.hash(id)
	}
	copy(order, ranks)
	slices.Sort(order)
	for _, choice := range choices {
		minRank := order[len(order)-choice.size] // lowest rank in the subset
		for index, rank := range ranks {
			if rank >= minRank {
				choice.users[index]++
			}
		}
		for index, id := range newIDs {
			if ranker.hash(id) > minRank {
				choice.entered[index]++
			}
		}
	}
}

// chooseAll returns the choices of a whole fleet among a number of backends.
func chooseAll(fleet, count int, settings []Settings) []*choice {
	ids, newIDs := make([]string, count), make([]string, newBackends)
	for index := range ids {
		ids[index] = fmt.Sprintf("backend-%06d", index)
	}
	for index := range newIDs {
		newIDs[index] = fmt.Sprintf("newcomer-%06d", index)
	}
	var choices []*choice
	for _, setting := range settings {
		setting.Fleet = fleet
		choices = append(choices, &choice{settings: setting, size: setting.size(count), users: make([]int, count), entered: make([]int, newBackends)})
	}
	for index := range fleet {
		addChoices(fmt.Sprintf("gateway-%04d", index), ids, newIDs, choices)
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

// Backends are used by about equally many members, and an added backend concerns about as many members as
// use one. The subset size does not grow with the fleet.
func TestEvenness(t *testing.T) {
	settings := []Settings{{Size: 20}, {Size: 100}, {Size: 20, Coverage: 20}, {Size: 100, Coverage: 20}}
	t.Log("| gateways | backends | size, coverage | K | gateways by backend: least, mean, most | most / mean | backends with none | gateways that a new backend concerns: mean, most (bound of the mean) | K with one gateway more, ten in a hundred less |")
	t.Log("| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |")
	for _, fleet := range fleetSizes {
		for _, count := range backendCounts {
			if os.Getenv("SUBSET_TABLE") == "" && (fleet > maxShortFleet || count > maxShortBackends) {
				continue
			}
			for _, choice := range chooseAll(fleet, count, settings) {
				checkEvenness(t, fleet, count, choice)
			}
		}
	}
}

func checkEvenness(t *testing.T, fleet, count int, choice *choice) {
	t.Helper()
	minUsers, meanUsers, maxUsers := slices.Min(choice.users), mean(choice.users), slices.Max(choice.users)
	unused := 0
	for _, n := range choice.users {
		if n == 0 {
			unused++
		}
	}
	// A new backend is among the K highest of N+1 for a member with probability K/(N+1).
	expected := float64(fleet*choice.size) / float64(count+1)
	limit := expected + maxDeviations*math.Sqrt(expected/newBackends)
	entered := mean(choice.entered)
	if choice.size == count {
		entered, limit = float64(fleet), float64(fleet) // every member uses every backend
	}
	larger, smaller := choice.settings, choice.settings
	larger.Fleet, smaller.Fleet = fleet+1, max(fleet-max(fleet/10, 1), 1)
	t.Logf("| %d | %d | %d, %d | %d | %d, %.2f, %d | %.2f | %d | %.2f, %d (%.2f) | %d, %d |", fleet, count, choice.settings.Size, choice.settings.Coverage, choice.size,
		minUsers, meanUsers, maxUsers, float64(maxUsers)/meanUsers, unused, entered, max(slices.Max(choice.entered), int(entered)), limit, larger.size(count), smaller.size(count))
	tolerance := maxDeviations * math.Sqrt(meanUsers)
	switch {
	case float64(maxUsers) > meanUsers+tolerance+maxDeviations || float64(minUsers) < meanUsers-tolerance:
		t.Errorf("%d gateways, %d backends, K %d: a backend has %d to %d gateways, mean %.1f", fleet, count, choice.size, minUsers, maxUsers, meanUsers)
	case meanUsers >= 20 && unused > 0:
		t.Errorf("%d gateways, %d backends, K %d: %d backends have no gateway", fleet, count, choice.size, unused)
	case choice.settings.Coverage > 0 && meanUsers < float64(min(choice.settings.Coverage, fleet)):
		t.Errorf("%d gateways, %d backends, K %d: the mean is %.1f gateways per backend, want at least %d", fleet, count, choice.size, meanUsers, choice.settings.Coverage)
	case entered > limit:
		t.Errorf("%d gateways, %d backends, K %d: %.2f gateways per new backend, want at most %.2f", fleet, count, choice.size, entered, limit)
	case larger.size(count) > choice.size || smaller.size(count) < choice.size:
		t.Errorf("%d gateways, %d backends: K %d grows with the fleet", fleet, count, choice.size)
	}
}

// One added or removed backend moves at most one instance of a Selector, and none for most members.
func TestOneChangeMovesAtMostOneInstance(t *testing.T) {
	const members, count, size = 40, 300, 30
	entered, left := 0, 0
	for member := range members {
		selector := New(fmt.Sprint("gateway-", member), Settings{Size: size, Fleet: members})
		listing := listOf(count)
		selector.Apply(0, listing)
		for _, instance := range listing.Instances {
			gone := instance
			gone.Lifecycle = registry.Gone
			left += applyChange(t, selector, gone)
			entered += applyChange(t, selector, instance)
		}
	}
	// Each member loses each of its K instances once and regains it once.
	if want := members * size; left != want || entered != want {
		t.Errorf("%d instances lost and %d gained, want %d of %d each", left, entered, want, members*count)
	}
}

// applyChange passes one change to a Selector and returns how many instances enter its subset.
func applyChange(t *testing.T, selector *Selector, instance registry.Instance) (entered int) {
	t.Helper()
	changes := selector.Apply(0, registry.Listing{Instances: []registry.Instance{instance}})
	for _, notified := range changes.Instances {
		if notified.Lifecycle == registry.Ready {
			entered++
		}
	}
	if entered > 1 || len(changes.Instances) > 2 {
		t.Fatalf("instance %s is %s: update %+v, want at most one entering and two instances", instance.ID, instance.Lifecycle, changes.Instances)
	}
	return entered
}
