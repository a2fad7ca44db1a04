package budget

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
)

// fleet is what really happens to units, beside what the state is told of it.
type fleet struct {
	t      *testing.T
	random *rand.Rand
	defect string
	s      *State
	index  uint64
	open   map[uint64]bool // sessions
	units  []*real
	asked  int
	given  int
	taken  int // over from who was lost
}

// real is a unit, its observer, and whoever holds a permit for it.
type real struct {
	name    Name
	zone    string
	weight  float64
	canary  bool
	up      bool
	byHand  bool // it is down as a holder took it down
	life    int
	session uint64 // of its observer
	late    *Command
	holder  string
	number  uint64 // of the permit that its holder has
	has     uint64 // the holder's session
	back    bool
}

func newFleet(t *testing.T, seed uint64, units int, defect string) *fleet {
	f := &fleet{t: t, random: rand.New(rand.NewPCG(seed, 1)), defect: defect, s: New(), open: map[uint64]bool{}}
	for n := range units {
		f.units = append(f.units, &real{name: Name{Kinds[n%3], fmt.Sprint(n)}, zone: []string{"a", "b", "c"}[n/3%3], weight: float64(1 + n%4), canary: n%10 < 3, up: true})
	}
	return f
}

func (f *fleet) do(c Command) (*Permit, error) {
	f.index++
	return f.s.Apply(f.index, c, func(n uint64) bool { return f.open[n] })
}

// look is what an observer sees now, to be told at once or later.
func (f *fleet) look(u *real) Command {
	return Command{Op: Observe, ObservedIndex: f.index, Unit: Unit{Name: u.name, Zone: u.zone, Weight: u.weight, Canary: u.canary, Incarnation: fmt.Sprint(u.life), Ready: u.up, Session: u.session}}
}

func (f *fleet) tell(u *real) {
	if u.name.Kind == Backend {
		f.index++
		f.s.ObserveBackend(f.index, BackendState{u.name.ID, u.zone, u.weight, fmt.Sprint(u.life), u.up})
		return
	}
	if !f.open[u.session] {
		f.index++
		u.session = f.index
		f.open[u.session] = true
	}
	f.do(f.look(u))
}

// over is the end of a session.
func (f *fleet) over(session uint64) {
	f.index++
	delete(f.open, session)
	if f.defect != "sessions that end change nothing" {
		f.s.SessionEnded(f.index, session)
	}
}

// step does one thing that can happen to a unit, its observer or its holder.
func (f *fleet) step() {
	u := f.units[f.random.IntN(len(f.units))]
	held := u.holder != "" && f.open[u.has]
	switch d := f.random.IntN(100); {
	case d < 3: // it fails by itself, and comes back
		u.up, u.life = !u.up || u.byHand, u.life+1
		u.up = u.up && !u.byHand
		f.tell(u)
	case d < 30:
		f.tell(u)
	case d < 34 && u.name.Kind != Backend: // a sight that comes late
		late := f.look(u)
		u.late = &late
	case d < 40 && u.late != nil:
		f.do(*u.late)
		u.late = nil
	case d < 42 && u.name.Kind != Backend:
		f.over(u.session)
	case d < 44 && held: // its holder is lost, wherever it is with it
		f.over(u.has)
		u.holder = ""
	case d < 60 && !held:
		f.ask(u)
	case d < 75 && held && !u.back: // its holder takes it down, if it may act
		u.up, u.byHand = false, true
		if u.name.Kind == Backend {
			f.tell(u) // the list itself says so
		}
	case d < 90 && held:
		if !u.back {
			c := Command{Op: Return, Unit: Unit{Name: u.name}, Permit: Permit{Number: u.number, Holder: u.holder}, Untouched: !u.byHand}
			if _, err := f.do(c); err != nil {
				f.t.Errorf("back: %v", err)
			}
			u.back = true
		}
		if f.random.IntN(2) == 0 { // it takes a while until it is up
			u.up, u.byHand, u.life = true, false, u.life+1
			u.holder = ""
			f.tell(u)
		}
	}
}

func (f *fleet) ask(u *real) {
	f.index++
	session := f.index
	f.open[session] = true
	holder := fmt.Sprint("h", session)
	was, known := f.s.Unit(u.name)
	p, err := f.do(Command{Op: Acquire, Unit: Unit{Name: u.name}, Permit: Permit{Holder: holder, Session: session, Reason: "test", TermMs: 1000}})
	f.asked++
	if err != nil {
		return
	}
	if f.given++; known && was.Permit != nil {
		f.taken++
	}
	if p.Number <= u.number {
		f.t.Errorf("permit %d after %d", p.Number, u.number)
	}
	u.holder, u.has, u.number, u.back = holder, session, p.Number, false
	// What this grant adds has to fit beside all that is out, whatever put it there.
	if !known || was.Unavailable() {
		return
	}
	for _, r := range f.s.Rules() {
		if r.covers(&was) {
			if err := f.s.countUnits(&r, &was).satisfies(&r); err != nil {
				f.t.Errorf("permit %d: %v", p.Number, err)
			}
		}
	}
}

// wrong finds a unit that a holder has taken down, or may, and that does not count as out.
func (f *fleet) wrong() error {
	for _, u := range f.units {
		told, known := f.s.Unit(u.name)
		if known && !told.Unavailable() && (u.byHand && !u.up || u.holder != "" && f.open[u.has] && !u.back) {
			return fmt.Errorf("%s is down, or may be, by permit %d, and does not count as out: %+v", u.name, u.number, told)
		}
	}
	return nil
}

func (f *fleet) rules() {
	n := func(n int) *int { return &n }
	share := func(x float64) *float64 { return &x }
	all := []Rule{{Kind: Gateway, MaxUnavailable: n(1 + f.random.IntN(5))}, {Kind: Backend, Zone: "*", MaxUnavailableFraction: share(f.random.Float64() / 2)}, {Kind: Backend, MaxUnavailableFraction: share(0.3), ByWeight: true},
		{Kind: Service, MinReady: n(f.random.IntN(4))}, {Kind: Gateway, Canary: true, MaxUnavailable: n(1)}, {Kind: Gateway, Zone: "b", MaxUnavailable: n(1)}}
	if _, err := f.do(Command{Op: SetRules, Rules: all[f.random.IntN(2):]}); err != nil {
		f.t.Error(err)
	}
}

// Whatever fails, is told late or is lost, and however rules change under it: a unit that
// a holder has taken down counts as out, no grant adds what does not fit, later permits
// have higher numbers, and a snapshot goes on as its original. Planted defects show.
func TestPermits(t *testing.T) {
	play := func(t *testing.T, seed uint64, units, steps int, defect string) (f *fleet, err error) {
		f = newFleet(t, seed, units, defect)
		f.rules()
		for _, u := range f.units {
			f.tell(u)
		}
		for n := range steps {
			if n%500 == 499 {
				f.rules()
				next := New()
				for _, line := range f.s.Save() {
					if err := next.Restore(line); err != nil {
						return f, err
					}
				}
				if !bytes.Equal(bytes.Join(next.Save(), nil), bytes.Join(f.s.Save(), nil)) {
					return f, fmt.Errorf("a snapshot is not as its original")
				}
				f.s = next
			}
			f.step()
			switch u := f.units[f.random.IntN(units)]; defect {
			case "permits end with their holder":
				if unit := f.s.units[u.name]; unit != nil && unit.Permit != nil && unit.Permit.Lost {
					unit.Permit = nil
				}
			case "permits end when they are given back":
				if unit := f.s.units[u.name]; unit != nil && unit.Permit != nil && unit.Permit.ReturnedAt != 0 {
					unit.Permit, unit.Ready = nil, true
				}
			case "any sight ends a permit that was given back":
				if u.late != nil {
					u.late.ObservedIndex = f.index
				}
			}
			if err := f.wrong(); err != nil {
				return f, err
			}
		}
		return f, nil
	}
	for _, c := range []struct{ units, steps, seeds int }{{9, 4000, 40}, {30, 4000, 20}, {1000, 10_000, 2}} {
		asked, given, taken := 0, 0, 0
		for seed := range uint64(c.seeds) {
			f, err := play(t, seed, c.units, c.steps, "")
			if err != nil {
				t.Fatalf("%d units, seed %d: %v", c.units, seed, err)
			}
			asked, given, taken = asked+f.asked, given+f.given, taken+f.taken
		}
		t.Logf("%d units: %d permits asked for, %d given, %d of them taken over from holders that were lost", c.units, asked, given, taken)
		if given*20 < asked || given == asked || taken == 0 {
			t.Errorf("%d units: %d of %d given, %d taken over", c.units, given, asked, taken)
		}
	}
	for _, defect := range []string{"permits end with their holder", "permits end when they are given back", "any sight ends a permit that was given back"} {
		found := 0
		for seed := range uint64(10) {
			if _, err := play(t, seed, 9, 4000, defect); err != nil {
				found++
			}
		}
		if found < 3 {
			t.Errorf("%s: found at %d of 10 seeds", defect, found)
		}
	}
}

// What is asked for in vain says why, and what has been done once is done.
func TestRefusals(t *testing.T) {
	s, index := New(), uint64(0)
	open := map[uint64]bool{1: true, 2: true}
	do := func(c Command) (*Permit, error) {
		index++
		return s.Apply(index+10, c, func(n uint64) bool { return open[n] })
	}
	one, none := 1, 0
	unit := func(id string, ready bool, session uint64) Command {
		return Command{Op: Observe, Unit: Unit{Name: Name{Gateway, id}, Ready: ready, Session: session}}
	}
	ask := func(id, holder string, session uint64) Command {
		return Command{Op: Acquire, Unit: Unit{Name: Name{Gateway, id}}, Permit: Permit{Holder: holder, Session: session, Reason: "r", TermMs: 1}}
	}
	back := func(id, holder string, number uint64) Command {
		return Command{Op: Return, Unit: Unit{Name: Name{Gateway, id}}, Permit: Permit{Number: number, Holder: holder}}
	}
	for n, c := range []struct {
		c    Command
		want string // of the error, or the permit's number
	}{
		{Command{Op: SetRules, Rules: []Rule{{Kind: Gateway}}}, "it bounds nothing"},
		{Command{Op: SetRules, Rules: []Rule{{Kind: "disk", MaxUnavailable: &one}}}, "is not one of"},
		{Command{Op: SetRules, Rules: []Rule{{Kind: Gateway, MaxUnavailable: &one}}}, ""},
		{ask("a", "x", 1), "that anybody has seen"},
		{unit("a", true, 3), "session 3 has ended"},
		{unit("a", true, 1), ""},
		{unit("b", true, 2), ""},
		{unit("a", true, 2), ""},
		{unit("a", true, 1), "is told of by session 2"},
		{ask("a", "x", 1), "permit 20"},
		{ask("a", "x", 1), "permit 20"}, // asked again
		{ask("a", "y", 2), "is out by permit 20 of x"},
		{ask("b", "y", 2), "1 out at most, and 2 would be"},
		{back("a", "y", 20), "is held by x"},
		{Command{Op: Forget, Unit: Unit{Name: Name{Gateway, "a"}}}, "is ready"},
		{back("a", "x", 20), ""},
		{ask("b", "y", 2), "and 2 would be"}, // it was not seen since
		{unit("a", true, 2), ""},
		{ask("b", "y", 2), "permit 29"},
		{back("a", "x", 20), ""}, // once more
		{Command{Op: Return, Unit: Unit{Name: Name{Gateway, "b"}}, Permit: Permit{Number: 29, Holder: "y"}, Untouched: true}, ""},
		{ask("a", "y", 2), "permit 32"},
		{Command{Op: SetRules, Rules: []Rule{{Kind: Gateway, MaxUnavailable: &none}}}, ""},
		{ask("b", "y", 2), "0 out at most"},
		{unit("b", false, 2), ""},
		{ask("b", "y", 2), "permit 36"}, // it is out by itself
		{Command{Op: Forget, Unit: Unit{Name: Name{Gateway, "b"}}}, ""},
		{ask("b", "y", 2), "that anybody has seen"},
	} {
		c.c.ObservedIndex = index + 10 // whoever looks has heard of all before
		p, err := do(c.c)
		got := ""
		switch {
		case err != nil:
			got = err.Error()
		case p != nil:
			got = fmt.Sprint("permit ", p.Number)
		}
		if got != c.want && (c.want == "" || !bytes.Contains([]byte(got), []byte(c.want))) {
			t.Errorf("%d: %+v: %q, not %q", n, c.c, got, c.want)
		}
	}
	if never := s.UnsatisfiableRules(); len(never) != 1 {
		t.Errorf("rules that can never be met: %q", never)
	}
}

func BenchmarkAsk(b *testing.B) {
	for _, units := range []int{300, 1000, 10_000} {
		b.Run(fmt.Sprint(units), func(b *testing.B) {
			s, most := New(), units/10
			for n := range units {
				s.ObserveBackend(uint64(n+1), BackendState{fmt.Sprint(n), fmt.Sprint(n % 3), 1, "1", true})
			}
			s.rules = []Rule{{Kind: Backend, MaxUnavailable: &most}, {Kind: Backend, Zone: "*", MaxUnavailable: &most}}
			index := uint64(units + 1)
			for n := 0; b.Loop(); n++ {
				u := Unit{Name: Name{Backend, fmt.Sprint(n % units)}}
				index++
				p, err := s.Apply(index, Command{Op: Acquire, Unit: u, Permit: Permit{Holder: "h", Reason: "r", TermMs: 1}}, nil)
				if err != nil {
					b.Fatal(err)
				}
				index++
				if _, err := s.Apply(index, Command{Op: Return, Unit: u, Permit: Permit{Number: p.Number, Holder: "h"}}, nil); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
