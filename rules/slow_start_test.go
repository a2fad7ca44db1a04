package rules

import "testing"

// A gateway whose clock has an offset, after a step of the machine's wall clock, must not take a backend
// that has just started for a warm one.
func TestStartTimesOfAnotherClockAreCorrected(t *testing.T) {
	for _, step := range []float64{0, 5, -5, 3600, -3600} {
		harness := newHarness(t, testSettings(), readyBackends(4)...)
		harness.now += 5000 // far from 0, which means long ago
		harness.handle(Backends{Kind: FullList, Entries: readyBackends(4)})
		const delay = 0.3 // from the start to its report
		started := readyBackend(9)
		started.StartedAt = harness.now - step - delay
		harness.handle(Backends{Kind: Delta, Entries: []Backend{started}})
		if fraction, limit := harness.gateway.capacityFraction(harness.gateway.backendByID[9]), harness.gateway.settings.InitialColdFraction+0.1; fraction > limit {
			t.Errorf("step %v: capacity fraction %.2f when the start is reported, want at most %.2f", step, fraction, limit)
		}
		harness.now += harness.gateway.settings.ColdDuration
		harness.handle(Backends{Kind: Delta})
		if fraction := harness.gateway.capacityFraction(harness.gateway.backendByID[9]); fraction < 1 {
			t.Errorf("step %v: capacity fraction %.2f after the slow start, want 1", step, fraction)
		}
		harness.handle(Backends{Kind: Delta, Entries: []Backend{started}}) // reported again
		if fraction := harness.gateway.capacityFraction(harness.gateway.backendByID[9]); fraction < 1 {
			t.Errorf("step %v: capacity fraction %.2f when the start is reported again, want 1", step, fraction)
		}
	}
}

// A start that is reported late is not a step of the clock once others have been reported in time.
func TestLateReportOfAStartIsNoClockStep(t *testing.T) {
	harness := newHarness(t, testSettings(), readyBackends(4)...)
	harness.now += 5000
	harness.handle(Backends{Kind: FullList, Entries: readyBackends(4)})
	for index, delay := range []float64{0.2, 6} {
		started := readyBackend(BackendID(20 + index))
		started.StartedAt = harness.now - delay
		harness.handle(Backends{Kind: Delta, Entries: []Backend{started}})
		want := harness.gateway.settings.InitialColdFraction + (1-harness.gateway.settings.InitialColdFraction)*delay/harness.gateway.settings.ColdDuration
		if fraction := harness.gateway.capacityFraction(harness.gateway.backendByID[started.ID]); fraction < want-0.01 || fraction > want+0.01 {
			t.Errorf("reported after %v s: capacity fraction %.2f, want %.2f", delay, fraction, want)
		}
	}
}
