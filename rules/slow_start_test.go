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

// A listed backend that restarts after the wall clock was stepped back reports an earlier start than before,
// or one that looks old. It is cold all the same, for ColdDuration and once: an older list that is seen again
// tells of no restart.
func TestRestartAfterAStepBackIsCold(t *testing.T) {
	const (
		uptime = 100.0
		delay  = 0.3 // from the start to its report
	)
	for _, step := range []float64{0, -5, -50, -3600} {
		harness := newHarness(t, testSettings(), readyBackends(4)...)
		harness.now += 5000
		first, second, other := readyBackend(9), readyBackend(9), readyBackend(8)
		first.StartedAt, other.StartedAt = harness.now-delay, harness.now-delay
		harness.handle(Backends{Kind: FullList, Entries: append(readyBackends(4), first)})
		harness.handle(Backends{Kind: Delta, Entries: []Backend{other}})
		harness.now += uptime
		second.StartedAt = harness.now + step - delay
		harness.handle(Backends{Kind: Delta, Entries: []Backend{second}})
		backend := harness.gateway.backendByID[9]
		if age := harness.now - backend.coldSince; backend.coldSince == 0 || age > maxReportDelay {
			t.Errorf("step %v: the restart counts as %v s old", step, age)
		}
		harness.now += harness.gateway.settings.ColdDuration
		for _, entry := range []Backend{second, first, second} {
			harness.handle(Backends{Kind: Delta, Entries: []Backend{entry}})
			if fraction := harness.gateway.capacityFraction(backend); fraction < 1 {
				t.Errorf("step %v: capacity fraction %.2f after the slow start, want 1", step, fraction)
			}
		}
	}
}

// A restart during an outage of discovery may be as old as the outage.
func TestRestartDuringAnOutageMayBeOld(t *testing.T) {
	const outage = 60.0
	harness := newHarness(t, testSettings(), readyBackends(4)...)
	harness.now += 5000
	restarted := readyBackend(2)
	harness.handle(Backends{Kind: ListFailed})
	restarted.StartedAt = harness.now + 1
	harness.now += outage
	harness.handle(Backends{Kind: ListFailed})
	harness.handle(Backends{Kind: Delta, Entries: []Backend{restarted}})
	if since := harness.gateway.backendByID[2].coldSince; since != restarted.StartedAt {
		t.Errorf("the start counts as %v, want %v", since, restarted.StartedAt)
	}
}
