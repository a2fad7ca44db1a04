package rules

import "testing"

// boundOf returns the bound that a gateway begins with before so many backends.
func boundOf(t *testing.T, backends, fleet, sharing int) float64 {
	t.Helper()
	g, _ := New(Settings{Fleet: fleet, GatewaysPerBackend: sharing, Tick: 0.002, MaxAttempts: 3,
		Classes: []Class{{Worth: 1, Aim: 1, Deadline: 2}}, Plans: []Plan{{Price: 1}}}, 1, 0, nil)
	news := Backends{Kind: FullList}
	for n := range backends {
		news.Entries = append(news.Entries, Backend{ID: BackendID(n + 1), State: Ready, Weight: 1})
	}
	g.Handle(1, news, nil)
	for _, action := range g.Handle(2, Export{}, nil) {
		if h, ok := action.(Exported); ok {
			return h.Snapshot.ConcurrencyLimit
		}
	}
	t.Fatal("no state was exported")
	return 0
}

// A gateway that is told a subset of the backends reckons its part of them by those that
// share each, as it would before all of them by the fleet.
func TestBoundOfASubset(t *testing.T) {
	const backends, fleet, chosen = 1000, 500, 40 // of 1000 backends, each shared by 20
	whole, part := boundOf(t, backends, fleet, 0), boundOf(t, chosen, fleet, 20)
	if whole != part || whole != initialLimit*backends/fleet {
		t.Errorf("bound %g with the whole list, %g with a subset", whole, part)
	}
	if got := boundOf(t, chosen, fleet, 0); got >= part {
		t.Errorf("bound %g of a subset by the whole fleet", got)
	}
}
