package rules

import "testing"

// initialLimitOf returns the concurrency limit of a gateway that has received its first list.
func initialLimitOf(t *testing.T, backends, fleet, gatewaysPerBackend int) float64 {
	t.Helper()
	gateway, _ := New(Settings{Fleet: fleet, GatewaysPerBackend: gatewaysPerBackend, Tick: 0.002, MaxAttempts: 3,
		Classes: []Class{{Worth: 1, Aim: 1, Deadline: 2}}, Plans: []Plan{{Price: 1}}}, 1, 0, nil)
	update := Backends{Kind: FullList}
	for index := range backends {
		update.Entries = append(update.Entries, Backend{ID: BackendID(index + 1), State: Ready, Weight: 1})
	}
	gateway.Handle(1, update, nil)
	for _, action := range gateway.Handle(2, Export{}, nil) {
		if exported, ok := action.(Exported); ok {
			return exported.Snapshot.ConcurrencyLimit
		}
	}
	t.Fatal("no Exported action")
	return 0
}

// The limit of a gateway with a subset of the backends follows the number of gateways per backend.
func TestInitialLimitOfASubset(t *testing.T) {
	const backends, fleet, chosen = 1000, 500, 40 // each backend is used by 20 gateways
	full, subset := initialLimitOf(t, backends, fleet, 0), initialLimitOf(t, chosen, fleet, 20)
	if full != subset || full != initialLimit*backends/fleet {
		t.Errorf("limit %g with the full list, %g with a subset, want both equal", full, subset)
	}
	if got := initialLimitOf(t, chosen, fleet, 0); got >= subset {
		t.Errorf("limit %g of a subset used by the whole fleet, want less than %g", got, subset)
	}
}
