package reach

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestSights(t *testing.T) {
	for _, c := range []struct {
		name string
		s    Observation
		want State
		why  string
	}{
		{"all there", Observation{OtherGateways: 9, Known: 9, Present: 9, Registries: Answering, Counter: Answering}, Connected, "reaches 9 of 9"},
		{"a fleet of one", Observation{Registries: Answering}, Connected, "0 of 0"},
		{"a third has died", Observation{OtherGateways: 9, Known: 9, Present: 6, Registries: Answering, Counter: Answering}, Connected, "6 of 9"},
		{"the lesser side", Observation{OtherGateways: 9, Known: 9, Present: 4, Registries: Answering, Counter: Answering}, Partitioned, "4 of 9"},
		{"begun after most left", Observation{OtherGateways: 9, Known: 2, Present: 2, Registries: Answering}, Connected, "2 of 2"},
		{"members, and no list", Observation{OtherGateways: 9, Known: 9, Present: 9, Registries: Silent, Counter: Answering}, Partitioned, "no list service"},
		{"views differ", Observation{OtherGateways: 9, Known: 9, Present: 9, Differing: 2, Registries: Answering}, Partitioned, "2 of 9 gateways present hold another"},
		{"lists, and no member", Observation{OtherGateways: 9, Known: 9, Registries: Answering, Counter: Silent}, Partitioned, "none of 9"},
		{"the counter alone", Observation{OtherGateways: 9, Known: 9, Counter: Answering, Registries: Silent}, Partitioned, "none of 9"},
		{"nothing", Observation{OtherGateways: 9, Known: 9, Registries: Silent, Counter: Silent}, Isolated, "reaches no other"},
		{"a silent counter is everybody's", Observation{OtherGateways: 9, Known: 9, Present: 9, Registries: Answering, Counter: Silent}, Connected, "9 of 9"},
	} {
		if got, why := c.s.classify(); got != c.want || !strings.Contains(why, c.why) {
			t.Errorf("%s: %v, %s; want %v", c.name, got, why, c.want)
		}
	}
}

// sightOf is one that is judged so.
func sightOf(s State) Observation {
	return [...]Observation{{OtherGateways: 3, Known: 3, Present: 3, Registries: Answering}, {OtherGateways: 3, Known: 3, Present: 1, Registries: Answering}, {OtherGateways: 3, Known: 3, Registries: Silent}}[s]
}

// Whatever comes in whatever order, the state moves only after all sights of the time
// it takes were worse, or better, and no further than the nearest of them; and it
// does move then.
func TestHysteresis(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(0)
		type seen struct {
			at    time.Duration
			state State
		}
		var all []seen
		now, last := time.Duration(0), time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "sights") {
			now += time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond
			s := State(rapid.IntRange(0, 2).Draw(t, "state"))
			if len(all) > 0 && rapid.IntRange(0, 9).Draw(t, "stay") > 0 {
				s = all[len(all)-1].state
			}
			all = append(all, seen{now, s})
			before, _, _ := m.State()
			changed := m.Observe(now, sightOf(s))
			state, since, why := m.State()
			// The run of sights on one side of the state before, since it last changed.
			want, from := before, now
			for i := len(all) - 1; i >= 0 && all[i].at > last; i-- {
				if all[i].state == before || (all[i].state > before) != (s > before) {
					break
				}
				if from = all[i].at; want == before || s > before && all[i].state < want || s < before && all[i].state > want {
					want = all[i].state
				}
			}
			after := DegradeDelay
			if s < before {
				after = RecoverDelay
			}
			due := s != before && now-from >= after
			if changed != due || due && state != want || !due && state != before || changed && since != now || why == "" {
				t.Fatalf("at %v: from %v to %v, changed %v, since %v (%s); sights %v, due %v to %v", now, before, state, changed, since, why, all, due, want)
			}
			if changed {
				last = now
			}
		}
	})
}

// A link that flaps faster than the time it takes swings nothing.
func TestFlapsSwingNothing(t *testing.T) {
	m := New(0)
	for n := range 1000 {
		if m.Observe(time.Duration(n)*400*time.Millisecond, sightOf(State(n/3%2))) {
			t.Fatalf("it swings after %d sights", n)
		}
	}
}
