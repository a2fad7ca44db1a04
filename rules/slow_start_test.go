package rules

import "testing"

// What users saw: a backend that had just started was pushed over by gateways that had been
// told of it.
//
// Order of events: a machine's wall clock is stepped ahead; its gateway starts, and its clock
// begins there; a backend starts, on a clock that was not stepped; its age is that of the step.
//
// Cause: the age was the difference of two clocks. Evidence: forced here for steps of 5 s and
// an hour, either way.
func TestStartsAreToldByAnotherClock(t *testing.T) {
	for _, step := range []float64{0, 5, -5, 3600, -3600} {
		harness := start(t, testSettings(), some(4)...)
		harness.now += 5000 // the clock is far from 0, which stands for long ago
		harness.handle(Backends{Kind: FullList, Entries: some(4)})
		const lag = 0.3 // until a start is told
		fresh := ready(9)
		fresh.StartedAt = harness.now - step - lag
		harness.handle(Backends{Kind: Delta, Entries: []Backend{fresh}})
		if w, most := harness.gateway.capacityFraction(harness.gateway.backendByID[9]), harness.gateway.settings.InitialColdFraction+0.1; w > most {
			t.Errorf("step %v: warmth %.2f as it is told, at most %.2f is sure", step, w, most)
		}
		harness.now += harness.gateway.settings.ColdDuration
		harness.handle(Backends{Kind: Delta})
		if w := harness.gateway.capacityFraction(harness.gateway.backendByID[9]); w < 1 {
			t.Errorf("step %v: warmth %.2f when it has been warm for long", step, w)
		}
		harness.handle(Backends{Kind: Delta, Entries: []Backend{fresh}}) // told again
		if w := harness.gateway.capacityFraction(harness.gateway.backendByID[9]); w < 1 {
			t.Errorf("step %v: warmth %.2f when its start is told again", step, w)
		}
	}
}

// A start that is told late is no step of the clock, once others have been told in time.
func TestLateStartsAreNoStep(t *testing.T) {
	harness := start(t, testSettings(), some(4)...)
	harness.now += 5000
	harness.handle(Backends{Kind: FullList, Entries: some(4)})
	for n, lag := range []float64{0.2, 6} {
		b := ready(BackendID(20 + n))
		b.StartedAt = harness.now - lag
		harness.handle(Backends{Kind: Delta, Entries: []Backend{b}})
		want := harness.gateway.settings.InitialColdFraction + (1-harness.gateway.settings.InitialColdFraction)*lag/harness.gateway.settings.ColdDuration
		if w := harness.gateway.capacityFraction(harness.gateway.backendByID[b.ID]); w < want-0.01 || w > want+0.01 {
			t.Errorf("told %v s late: warmth %.2f, want %.2f", lag, w, want)
		}
	}
}
