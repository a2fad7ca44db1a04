package rules

import (
	"math/rand/v2"
	"os"
	"testing"

	"dunlintray/internal/capacity"
)

// countingSource counts its random numbers. A decision draws one for each backend that it considers.
type countingSource struct {
	rand.Source
	draws int
}

func (s *countingSource) Uint64() uint64 {
	s.draws++
	return s.Source.Uint64()
}

// TestSlopes compares the number of backends that a decision considers with docs/CAPACITY.md.
func TestSlopes(t *testing.T) {
	update := os.Getenv("CAPACITY_UPDATE") != ""
	sizes := []int{823, 2_469, 7_407, 22_222}
	if update || os.Getenv("CAPACITY_FULL") != "" {
		sizes = append(sizes, 66_667, 200_000)
	}
	measured := capacity.Measurement{Name: "decision_backends", Unit: "backends weighed by a decision, by backends", Tolerance: 1.1,
		Command: "CAPACITY_FULL=1 go test -run TestSlopes -v ./rules"}
	for _, size := range sizes {
		settings := testSettings()
		settings.Counter = false
		harness := newHarness(t, settings, readyBackends(size)...)
		harness.now += 100 // all backends are warm
		source := &countingSource{Source: rand.NewPCG(1, 1)}
		harness.gateway.rng = rand.New(source)
		harness.request(0, 1, 1)
		onlyAction[Send](t, harness.last)
		measured.Points = append(measured.Points, capacity.Point{Size: size, Value: float64(source.draws)})
	}
	t.Log(measured.Row())
	if err := measured.CompareOrUpdate("../docs/CAPACITY.md", update); err != nil {
		t.Error(err)
	}
}
