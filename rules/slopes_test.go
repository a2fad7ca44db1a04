package rules

import (
	"math/rand/v2"
	"os"
	"testing"

	"dunlintray/internal/capacity"
)

// countedSource counts what is drawn from it. A decision draws one number for each backend
// that it weighs.
type countedSource struct {
	rand.Source
	drawn int
}

func (s *countedSource) Uint64() uint64 {
	s.drawn++
	return s.Source.Uint64()
}

// TestSlopes holds the backends that a decision weighs to those of docs/CAPACITY.md.
func TestSlopes(t *testing.T) {
	update := os.Getenv("CAPACITY_UPDATE") != ""
	sizes := []int{823, 2_469, 7_407, 22_222}
	if update || os.Getenv("CAPACITY_FULL") != "" {
		sizes = append(sizes, 66_667, 200_000)
	}
	weighed := capacity.Measured{Name: "decision_backends", Unit: "backends weighed by a decision, by backends", Within: 1.1,
		Command: "CAPACITY_FULL=1 go test -run TestSlopes -v ./rules"}
	for _, n := range sizes {
		settings := testSettings()
		settings.Counter = false
		harness := start(t, settings, some(n)...)
		harness.now += 100 // all are warm
		source := &countedSource{Source: rand.NewPCG(1, 1)}
		harness.gateway.rng = rand.New(source)
		harness.ask(0, 1, 1)
		one[Send](t, harness.last)
		weighed.Points = append(weighed.Points, capacity.Point{Size: n, Value: float64(source.drawn)})
	}
	t.Log(weighed.Row())
	if err := weighed.Hold("../docs/CAPACITY.md", update); err != nil {
		t.Error(err)
	}
}
