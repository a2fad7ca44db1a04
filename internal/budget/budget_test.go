package budget

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
)

// fleet simulates the actual state of units beside the observations reported to State.
type fleet struct {
	t            *testing.T
	random       *rand.Rand
	defect       string
	state        *State
	index        uint64
	openSessions map[uint64]bool
	units        []*simulatedUnit
	requested    int
	granted      int
	takenOver    int // from holders whose session ended
}

// simulatedUnit is a unit, its observer and the holder of its permit.
type simulatedUnit struct {
	name            Name
	zone            string
	weight          float64
	canary          bool
	available       bool
	takenDown       bool // by a holder
	incarnation     int
	observerSession uint64
	delayed         *Command
	holder          string
	permit          uint64 // number of the holder's permit
	holderSession   uint64
	returned        bool
}

// newFleet returns a fleet of available units of all kinds in three zones.
func newFleet(t *testing.T, seed uint64, units int, defect string) *fleet {
	f := &fleet{t: t, random: rand.New(rand.NewPCG(seed, 1)), defect: defect, state: New(), openSessions: map[uint64]bool{}}
	for index := range units {
		f.units = append(f.units, &simulatedUnit{name: Name{Kinds[index%3], fmt.Sprint(index)}, zone: []string{"a", "b", "c"}[index/3%3], weight: float64(1 + index%4), canary: index%10 < 3, available: true})
	}
	return f
}

// apply applies a command at the next index.
func (f *fleet) apply(command Command) (*Permit, error) {
	f.index++
	return f.state.Apply(f.index, command, func(n uint64) bool { return f.openSessions[n] })
}

// observation returns the current observation of a unit, which may be applied later.
func (f *fleet) observation(unit *simulatedUnit) Command {
	return Command{Op: Observe, ObservedIndex: f.index, Unit: Unit{Name: unit.name, Zone: unit.zone, Weight: unit.weight, Canary: unit.canary, Incarnation: fmt.Sprint(unit.incarnation), Ready: unit.available, Session: unit.observerSession}}
}

// report applies the current observation of a unit, by a new session if the observer has none.
func (f *fleet) report(unit *simulatedUnit) {
	if unit.name.Kind == Backend {
		f.index++
		f.state.ObserveBackend(f.index, BackendState{unit.name.ID, unit.zone, unit.weight, fmt.Sprint(unit.incarnation), unit.available})
		return
	}
	if !f.openSessions[unit.observerSession] {
		f.index++
		unit.observerSession = f.index
		f.openSessions[unit.observerSession] = true
	}
	f.apply(f.observation(unit))
}

// endSession ends a session.
func (f *fleet) endSession(session uint64) {
	f.index++
	delete(f.openSessions, session)
	if f.defect != "sessions that end change nothing" {
		f.state.SessionEnded(f.index, session)
	}
}

// step simulates one random event of a unit, its observer or its holder.
func (f *fleet) step() {
	unit := f.units[f.random.IntN(len(f.units))]
	held := unit.holder != "" && f.openSessions[unit.holderSession]
	switch draw := f.random.IntN(100); {
	case draw < 3: // the unit fails or recovers
		unit.available, unit.incarnation = !unit.available || unit.takenDown, unit.incarnation+1
		unit.available = unit.available && !unit.takenDown
		f.report(unit)
	case draw < 30:
		f.report(unit)
	case draw < 34 && unit.name.Kind != Backend: // an observation is delayed
		observation := f.observation(unit)
		unit.delayed = &observation
	case draw < 40 && unit.delayed != nil:
		f.apply(*unit.delayed)
		unit.delayed = nil
	case draw < 42 && unit.name.Kind != Backend:
		f.endSession(unit.observerSession)
	case draw < 44 && held: // the holder's session ends
		f.endSession(unit.holderSession)
		unit.holder = ""
	case draw < 60 && !held:
		f.acquire(unit)
	case draw < 75 && held && !unit.returned: // the holder takes the unit down
		unit.available, unit.takenDown = false, true
		if unit.name.Kind == Backend {
			f.report(unit) // the list shows the change at once
		}
	case draw < 90 && held:
		if !unit.returned {
			command := Command{Op: Return, Unit: Unit{Name: unit.name}, Permit: Permit{Number: unit.permit, Holder: unit.holder}, Untouched: !unit.takenDown}
			if _, err := f.apply(command); err != nil {
				f.t.Errorf("return a permit: %v", err)
			}
			unit.returned = true
		}
		if f.random.IntN(2) == 0 { // the unit recovers with a delay
			unit.available, unit.takenDown, unit.incarnation = true, false, unit.incarnation+1
			unit.holder = ""
			f.report(unit)
		}
	}
}

// acquire requests a permit for a unit by a new holder and checks the grant.
func (f *fleet) acquire(unit *simulatedUnit) {
	f.index++
	session := f.index
	f.openSessions[session] = true
	holder := fmt.Sprint("h", session)
	before, known := f.state.Unit(unit.name)
	permit, err := f.apply(Command{Op: Acquire, Unit: Unit{Name: unit.name}, Permit: Permit{Holder: holder, Session: session, Reason: "test", TermMs: 1000}})
	f.requested++
	if err != nil {
		return
	}
	if f.granted++; known && before.Permit != nil {
		f.takenOver++
	}
	if permit.Number <= unit.permit {
		f.t.Errorf("permit %d is not higher than the earlier permit %d", permit.Number, unit.permit)
	}
	unit.holder, unit.holderSession, unit.permit, unit.returned = holder, session, permit.Number, false
	// The grant must satisfy the rules together with all units that are unavailable already.
	if !known || before.Unavailable() {
		return
	}
	for _, r := range f.state.Rules() {
		if r.covers(&before) {
			if err := f.state.countUnits(&r, &before).satisfies(&r); err != nil {
				f.t.Errorf("permit %d: %v", permit.Number, err)
			}
		}
	}
}

// findViolation returns an error if a unit that a holder took down, or still may, does not count as
// unavailable.
func (f *fleet) findViolation() error {
	for _, unit := range f.units {
		observed, known := f.state.Unit(unit.name)
		if known && !observed.Unavailable() && (unit.takenDown && !unit.available || unit.holder != "" && f.openSessions[unit.holderSession] && !unit.returned) {
			return fmt.Errorf("%s is or may be down by permit %d, but does not count as unavailable: %+v", unit.name, unit.permit, observed)
		}
	}
	return nil
}

// setRules applies random rules.
func (f *fleet) setRules() {
	intPointer := func(n int) *int { return &n }
	floatPointer := func(value float64) *float64 { return &value }
	rules := []Rule{{Kind: Gateway, MaxUnavailable: intPointer(1 + f.random.IntN(5))}, {Kind: Backend, Zone: "*", MaxUnavailableFraction: floatPointer(f.random.Float64() / 2)}, {Kind: Backend, MaxUnavailableFraction: floatPointer(0.3), ByWeight: true},
		{Kind: Service, MinReady: intPointer(f.random.IntN(4))}, {Kind: Gateway, Canary: true, MaxUnavailable: intPointer(1)}, {Kind: Gateway, Zone: "b", MaxUnavailable: intPointer(1)}}
	if _, err := f.apply(Command{Op: SetRules, Rules: rules[f.random.IntN(2):]}); err != nil {
		f.t.Error(err)
	}
}

// A unit that a holder took down counts as unavailable, grants satisfy the rules, and permit numbers
// increase, for random failures, delays and changes of rules. Planted defects are detected.
func TestUnitsTakenDownCountAsUnavailable(t *testing.T) {
	simulate := func(t *testing.T, seed uint64, units, steps int, defect string) (result *fleet, err error) {
		result = newFleet(t, seed, units, defect)
		result.setRules()
		for _, unit := range result.units {
			result.report(unit)
		}
		for step := range steps {
			if step%500 == 499 {
				result.setRules()
				restored := New()
				for _, line := range result.state.Save() {
					if err := restored.Restore(line); err != nil {
						return result, err
					}
				}
				if !bytes.Equal(bytes.Join(restored.Save(), nil), bytes.Join(result.state.Save(), nil)) {
					return result, fmt.Errorf("restored snapshot differs from its original")
				}
				result.state = restored
			}
			result.step()
			switch unit := result.units[result.random.IntN(units)]; defect {
			case "permits end with their holder":
				if stored := result.state.units[unit.name]; stored != nil && stored.Permit != nil && stored.Permit.Lost {
					stored.Permit = nil
				}
			case "permits end when they are returned":
				if stored := result.state.units[unit.name]; stored != nil && stored.Permit != nil && stored.Permit.ReturnedAt != 0 {
					stored.Permit, stored.Ready = nil, true
				}
			case "any observation ends a returned permit":
				if unit.delayed != nil {
					unit.delayed.ObservedIndex = result.index
				}
			}
			if err := result.findViolation(); err != nil {
				return result, err
			}
		}
		return result, nil
	}
	for _, scenario := range []struct{ units, steps, seeds int }{{9, 4000, 40}, {30, 4000, 20}, {1000, 10_000, 2}} {
		requested, granted, takenOver := 0, 0, 0
		for seed := range uint64(scenario.seeds) {
			result, err := simulate(t, seed, scenario.units, scenario.steps, "")
			if err != nil {
				t.Fatalf("%d units, seed %d: %v", scenario.units, seed, err)
			}
			requested, granted, takenOver = requested+result.requested, granted+result.granted, takenOver+result.takenOver
		}
		t.Logf("%d units: %d permits requested, %d granted, %d of them taken over from lost holders", scenario.units, requested, granted, takenOver)
		if granted*20 < requested || granted == requested || takenOver == 0 {
			t.Errorf("%d units: %d of %d granted, %d taken over", scenario.units, granted, requested, takenOver)
		}
	}
	for _, defect := range []string{"permits end with their holder", "permits end when they are returned", "any observation ends a returned permit"} {
		found := 0
		for seed := range uint64(10) {
			if _, err := simulate(t, seed, 9, 4000, defect); err != nil {
				found++
			}
		}
		if found < 3 {
			t.Errorf("%s: detected at %d of 10 seeds, want at least 3", defect, found)
		}
	}
}

// Refused commands name the reason, and repeated commands have no further effect.
func TestRefusalsAndRepeatedCommands(t *testing.T) {
	state, index := New(), uint64(0)
	open := map[uint64]bool{1: true, 2: true}
	apply := func(c Command) (*Permit, error) {
		index++
		return state.Apply(index+10, c, func(n uint64) bool { return open[n] })
	}
	one, none := 1, 0
	observe := func(id string, ready bool, session uint64) Command {
		return Command{Op: Observe, Unit: Unit{Name: Name{Gateway, id}, Ready: ready, Session: session}}
	}
	acquire := func(id, holder string, session uint64) Command {
		return Command{Op: Acquire, Unit: Unit{Name: Name{Gateway, id}}, Permit: Permit{Holder: holder, Session: session, Reason: "r", TermMs: 1}}
	}
	returnPermit := func(id, holder string, number uint64) Command {
		return Command{Op: Return, Unit: Unit{Name: Name{Gateway, id}}, Permit: Permit{Number: number, Holder: holder}}
	}
	for number, testCase := range []struct {
		command Command
		want    string // of the error, or the permit's number
	}{
		{Command{Op: SetRules, Rules: []Rule{{Kind: Gateway}}}, "it bounds nothing"},
		{Command{Op: SetRules, Rules: []Rule{{Kind: "disk", MaxUnavailable: &one}}}, "is not one of"},
		{Command{Op: SetRules, Rules: []Rule{{Kind: Gateway, MaxUnavailable: &one}}}, ""},
		{acquire("a", "x", 1), "that anybody has seen"},
		{observe("a", true, 3), "session 3 has ended"},
		{observe("a", true, 1), ""},
		{observe("b", true, 2), ""},
		{observe("a", true, 2), ""},
		{observe("a", true, 1), "is told of by session 2"},
		{acquire("a", "x", 1), "permit 20"},
		{acquire("a", "x", 1), "permit 20"}, // repeated
		{acquire("a", "y", 2), "is out by permit 20 of x"},
		{acquire("b", "y", 2), "1 out at most, and 2 would be"},
		{returnPermit("a", "y", 20), "is held by x"},
		{Command{Op: Forget, Unit: Unit{Name: Name{Gateway, "a"}}}, "is ready"},
		{returnPermit("a", "x", 20), ""},
		{acquire("b", "y", 2), "and 2 would be"}, // a has not been observed since its return
		{observe("a", true, 2), ""},
		{acquire("b", "y", 2), "permit 29"},
		{returnPermit("a", "x", 20), ""}, // repeated
		{Command{Op: Return, Unit: Unit{Name: Name{Gateway, "b"}}, Permit: Permit{Number: 29, Holder: "y"}, Untouched: true}, ""},
		{acquire("a", "y", 2), "permit 32"},
		{Command{Op: SetRules, Rules: []Rule{{Kind: Gateway, MaxUnavailable: &none}}}, ""},
		{acquire("b", "y", 2), "0 out at most"},
		{observe("b", false, 2), ""},
		{acquire("b", "y", 2), "permit 36"}, // b is unavailable without a permit
		{Command{Op: Forget, Unit: Unit{Name: Name{Gateway, "b"}}}, ""},
		{acquire("b", "y", 2), "that anybody has seen"},
	} {
		testCase.command.ObservedIndex = index + 10 // the observer has received all earlier commands
		permit, err := apply(testCase.command)
		got := ""
		switch {
		case err != nil:
			got = err.Error()
		case permit != nil:
			got = fmt.Sprint("permit ", permit.Number)
		}
		if got != testCase.want && (testCase.want == "" || !bytes.Contains([]byte(got), []byte(testCase.want))) {
			t.Errorf("%d: %+v: got %q, want %q", number, testCase.command, got, testCase.want)
		}
	}
	if unsatisfiable := state.UnsatisfiableRules(); len(unsatisfiable) != 1 {
		t.Errorf("unsatisfiable rules: got %q, want one", unsatisfiable)
	}
}

// BenchmarkAcquire measures the grant and return of a permit by the number of units.
func BenchmarkAcquire(b *testing.B) {
	for _, units := range []int{300, 1000, 10_000} {
		b.Run(fmt.Sprint(units), func(b *testing.B) {
			state, maxUnavailable := New(), units/10
			for n := range units {
				state.ObserveBackend(uint64(n+1), BackendState{fmt.Sprint(n), fmt.Sprint(n % 3), 1, "1", true})
			}
			state.rules = []Rule{{Kind: Backend, MaxUnavailable: &maxUnavailable}, {Kind: Backend, Zone: "*", MaxUnavailable: &maxUnavailable}}
			index := uint64(units + 1)
			for n := 0; b.Loop(); n++ {
				unit := Unit{Name: Name{Backend, fmt.Sprint(n % units)}}
				index++
				permit, err := state.Apply(index, Command{Op: Acquire, Unit: unit, Permit: Permit{Holder: "h", Reason: "r", TermMs: 1}}, nil)
				if err != nil {
					b.Fatal(err)
				}
				index++
				if _, err := state.Apply(index, Command{Op: Return, Unit: unit, Permit: Permit{Number: permit.Number, Holder: "h"}}, nil); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
