package reach

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A single observation determines the state and its reason.
func TestObservationClassification(t *testing.T) {
	for _, c := range []struct {
		name        string
		observation Observation
		want        State
		reason      string
	}{
		{"all present", Observation{OtherGateways: 9, Known: 9, Present: 9, Registries: Answering, Counter: Answering}, Connected, "reaches 9 of 9"},
		{"a fleet of one", Observation{Registries: Answering}, Connected, "0 of 0"},
		{"a third is dead", Observation{OtherGateways: 9, Known: 9, Present: 6, Registries: Answering, Counter: Answering}, Connected, "6 of 9"},
		{"the smaller side of a partition", Observation{OtherGateways: 9, Known: 9, Present: 4, Registries: Answering, Counter: Answering}, Partitioned, "4 of 9"},
		{"started after most died", Observation{OtherGateways: 9, Known: 2, Present: 2, Registries: Answering}, Connected, "2 of 2"},
		{"members and no service registry", Observation{OtherGateways: 9, Known: 9, Present: 9, Registries: Silent, Counter: Answering}, Partitioned, "no list service"},
		{"views differ", Observation{OtherGateways: 9, Known: 9, Present: 9, Differing: 2, Registries: Answering}, Partitioned, "2 of 9 gateways present hold another"},
		{"service registries and no member", Observation{OtherGateways: 9, Known: 9, Registries: Answering, Counter: Silent}, Partitioned, "none of 9"},
		{"only the counter", Observation{OtherGateways: 9, Known: 9, Counter: Answering, Registries: Silent}, Partitioned, "none of 9"},
		{"nothing", Observation{OtherGateways: 9, Known: 9, Registries: Silent, Counter: Silent}, Isolated, "reaches no other"},
		{"a silent counter does not partition", Observation{OtherGateways: 9, Known: 9, Present: 9, Registries: Answering, Counter: Silent}, Connected, "9 of 9"},
	} {
		if got, reason := c.observation.classify(); got != c.want || !strings.Contains(reason, c.reason) {
			t.Errorf("%s: %v, %q; want %v and a reason with %q", c.name, got, reason, c.want, c.reason)
		}
	}
}

// observationOf returns an observation that classifies as s.
func observationOf(s State) Observation {
	return [...]Observation{{OtherGateways: 3, Known: 3, Present: 3, Registries: Answering}, {OtherGateways: 3, Known: 3, Present: 1, Registries: Answering}, {OtherGateways: 3, Known: 3, Registries: Silent}}[s]
}

// For any sequence of observations, the state changes exactly when all observations during the
// delay were worse, or all better, and it changes to the closest of them.
func TestStateChangesOnlyAfterDelay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := New(0)
		type sample struct {
			at    time.Duration
			state State
		}
		var samples []sample
		now, changedAt := time.Duration(0), time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "observations") {
			now += time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond
			observed := State(rapid.IntRange(0, 2).Draw(t, "state"))
			if len(samples) > 0 && rapid.IntRange(0, 9).Draw(t, "stay") > 0 {
				observed = samples[len(samples)-1].state
			}
			samples = append(samples, sample{now, observed})
			previous, _, _ := machine.State()
			changed := machine.Observe(now, observationOf(observed))
			state, since, reason := machine.State()
			// The latest run of observations with one direction, since the last change.
			want, runStart := previous, now
			for i := len(samples) - 1; i >= 0 && samples[i].at > changedAt; i-- {
				if samples[i].state == previous || (samples[i].state > previous) != (observed > previous) {
					break
				}
				if runStart = samples[i].at; want == previous || observed > previous && samples[i].state < want || observed < previous && samples[i].state > want {
					want = samples[i].state
				}
			}
			delay := DegradeDelay
			if observed < previous {
				delay = RecoverDelay
			}
			due := observed != previous && now-runStart >= delay
			if changed != due || due && state != want || !due && state != previous || changed && since != now || reason == "" {
				t.Fatalf("at %v: from %v to %v, changed %v, since %v (%s); observations %v, due %v to %v", now, previous, state, changed, since, reason, samples, due, want)
			}
			if changed {
				changedAt = now
			}
		}
	})
}

// A link that flaps faster than the delays must not change the state.
func TestFlappingDoesNotChangeState(t *testing.T) {
	m := New(0)
	for n := range 1000 {
		if m.Observe(time.Duration(n)*400*time.Millisecond, observationOf(State(n/3%2))) {
			t.Fatalf("the state changes after %d observations", n+1)
		}
	}
}
