// Package budget decides which units of a fleet may be out at once: gateways, backends
// and list services. It is a state machine and part of what list services agree on:
// commands go in, in one order, and all members come to the same grants. No clock is in
// it. A unit is out from the grant of a permit until it has been seen ready after the
// permit was given back; what failed by itself is out too.
package budget

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// Kind is a kind of unit.
type Kind string

// The kinds.
const (
	Backend Kind = "backend"
	Gateway Kind = "gateway"
	Service Kind = "service"
)

// Kinds are all of them.
var Kinds = []Kind{Backend, Gateway, Service}

// Name is one unit's.
type Name struct {
	Kind Kind   `json:"kind"`
	ID   string `json:"id"`
}

func (n Name) String() string { return string(n.Kind) + " " + n.ID }

// Unit is one that can be out.
type Unit struct {
	Name
	Zone        string  `json:"zone,omitempty"`
	Weight      float64 `json:"weight,omitempty"` // its capacity
	Canary      bool    `json:"canary,omitempty"`
	Incarnation string  `json:"life,omitempty"` // of its process, by whoever sees it
	Ready       bool    `json:"ready"`
	// Session is of who tells how the unit is; 0: the list does. Once it ends, nobody
	// knows, and the unit counts as out.
	Session uint64  `json:"session,omitempty"`
	Since   uint64  `json:"since"` // the place in the order at which it became as it is
	Permit  *Permit `json:"permit,omitempty"`
}

func (u *Unit) weightMillionths() int64 { return int64(math.Round(u.Weight * 1e6)) }

// Out says whether the unit counts as out.
func (u *Unit) Unavailable() bool { return !u.Ready || u.Permit != nil }

// Permit lets its holder take a unit out.
type Permit struct {
	Number     uint64 `json:"number"` // the place of its grant in the order: the later fences the earlier
	Holder     string `json:"holder"`
	Session    uint64 `json:"session,omitempty"` // of the holder; 0: it has none
	Reason     string `json:"reason"`
	TermMs     int64  `json:"termMs"`         // by the holder's clock, from before it asked: then it takes nothing out any more
	Lost       bool   `json:"lost,omitempty"` // its session has ended; the unit may still be down
	ReturnedAt uint64 `json:"back,omitempty"` // where it was given back: it ends when the unit is seen ready by who had heard of that
}

// Rule bounds what may be out, of the units that it is for. What it does not name is
// not bounded.
type Rule struct {
	Kind   Kind   `json:"kind"`
	Zone   string `json:"zone,omitempty"`   // one zone; "*": each by itself; empty: all together
	Canary bool   `json:"canary,omitempty"` // canaries alone

	MaxUnavailable         *int     `json:"mostOut,omitempty"`
	MaxUnavailableFraction *float64 `json:"mostShare,omitempty"`
	ByWeight               bool     `json:"byWeight,omitempty"` // the share is of capacity, not of units
	MinReady               *int     `json:"leastReady,omitempty"`
}

func (r *Rule) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%ss", r.Kind)
	if r.Canary {
		b.WriteString(" that are canaries")
	}
	switch r.Zone {
	case "":
	case "*":
		b.WriteString(" of one zone")
	default:
		b.WriteString(" of " + r.Zone)
	}
	if r.MaxUnavailable != nil {
		fmt.Fprintf(&b, ", %d out at most", *r.MaxUnavailable)
	}
	if r.MaxUnavailableFraction != nil {
		of := ""
		if r.ByWeight {
			of = " of the capacity"
		}
		fmt.Fprintf(&b, ", a share of %g%s out at most", *r.MaxUnavailableFraction, of)
	}
	if r.MinReady != nil {
		fmt.Fprintf(&b, ", %d ready at least", *r.MinReady)
	}
	return b.String()
}

// check finds what no rule can be.
func (r *Rule) check() error {
	switch {
	case !slices.Contains(Kinds, r.Kind):
		return fmt.Errorf("kind: %.40q is not one of %v", r.Kind, Kinds)
	case r.MaxUnavailable == nil && r.MaxUnavailableFraction == nil && r.MinReady == nil:
		return fmt.Errorf("%s: it bounds nothing", r)
	case r.MaxUnavailable != nil && *r.MaxUnavailable < 0 || r.MinReady != nil && *r.MinReady < 0:
		return fmt.Errorf("%s: less than none", r)
	case r.MaxUnavailableFraction != nil && !(*r.MaxUnavailableFraction >= 0 && *r.MaxUnavailableFraction <= 1):
		return fmt.Errorf("%s: a share is from 0 to 1", r)
	case r.ByWeight && r.MaxUnavailableFraction == nil:
		return fmt.Errorf("%s: byWeight is of mostShare", r)
	}
	return nil
}

// Op is what a command does.
type Op string

// The operations.
const (
	SetRules Op = "rules"  // put rules in the place of those that there are
	Observe  Op = "see"    // say how a unit is
	Acquire  Op = "ask"    // for a permit
	Return   Op = "back"   // give one back
	Forget   Op = "forget" // a unit that is gone for good
)

// Command is one change.
type Command struct {
	Op    Op     `json:"op"`
	Rules []Rule `json:"rules,omitempty"`
	Unit  Unit   `json:"unit,omitzero"`
	// Of Ask: the permit that is asked for. Of Back: its number, and who has it.
	Permit Permit `json:"permit,omitzero"`
	// At is, of See, a place in the order that whoever looked had heard of before it looked.
	ObservedIndex uint64 `json:"at,omitempty"`
	// Untouched says of Back that the unit was never taken out.
	Untouched bool `json:"untouched,omitempty"`
}

// Bounds.
const (
	maxTextBytes = 200
	maxRules     = 64
	maxUnits     = 20_000
	maxWeight    = 1e6
	maxTermMs    = 7 * 24 * 60 * 60 * 1000 // ms
)

// Refused is why a command changed nothing.
type RefusedError struct{ Text string }

func (e *RefusedError) Error() string { return e.Text }

func refusedf(format string, args ...any) error { return &RefusedError{fmt.Sprintf(format, args...)} }

// Check finds what no state would take.
func (c *Command) Check() error {
	for _, text := range []string{c.Unit.ID, c.Unit.Zone, c.Unit.Incarnation, c.Permit.Holder, c.Permit.Reason} {
		if len(text) > maxTextBytes {
			return fmt.Errorf("%.40q... has over %d bytes", text, maxTextBytes)
		}
	}
	if c.Op == SetRules {
		if len(c.Rules) > maxRules {
			return fmt.Errorf("%d rules are over %d", len(c.Rules), maxRules)
		}
		for i := range c.Rules {
			if err := c.Rules[i].check(); err != nil {
				return err
			}
		}
		return nil
	}
	switch {
	case !slices.Contains([]Op{Observe, Acquire, Return, Forget}, c.Op):
		return fmt.Errorf("op: %.40q is not rules, see, ask, back or forget", c.Op)
	case !slices.Contains(Kinds, c.Unit.Kind) || c.Unit.ID == "":
		return fmt.Errorf("unit: %.40q is no kind of %v, or it has no id", c.Unit.Kind, Kinds)
	case c.Op == Observe && (c.Unit.Session == 0 || c.Unit.Kind == Backend):
		return errors.New("unit: the list tells of backends, and who tells of others has a session")
	case !(c.Unit.Weight >= 0 && c.Unit.Weight <= maxWeight):
		return fmt.Errorf("unit: a weight of %g", c.Unit.Weight)
	case c.Op == Acquire && (c.Permit.Holder == "" || c.Permit.Reason == ""):
		return errors.New("permit: it names who asks, and why")
	case c.Op == Acquire && (c.Permit.TermMs < 1 || c.Permit.TermMs > maxTermMs):
		return fmt.Errorf("permit: a term of %d ms is not from 1 to %d", c.Permit.TermMs, maxTermMs)
	case c.Op == Return && c.Permit.Number == 0:
		return errors.New("permit: it has no number")
	}
	return nil
}

// State is who is out, and who may be. It is not safe for use by several goroutines.
type State struct {
	rules []Rule
	units map[Name]*Unit
}

// New returns a state without units and rules.
func New() *State { return &State{units: map[Name]*Unit{}} }

// Do carries a command out at its place in the order. Open says of a session whether it
// is. What is returned for Ask is the permit.
func (s *State) Apply(index uint64, command Command, sessionOpen func(session uint64) bool) (*Permit, error) {
	if err := command.Check(); err != nil {
		return nil, err
	}
	switch command.Op {
	case SetRules:
		s.rules = command.Rules
		return nil, nil
	case Observe:
		if !sessionOpen(command.Unit.Session) {
			return nil, refusedf("session %d has ended", command.Unit.Session)
		}
		return nil, s.observe(index, command.Unit, command.ObservedIndex)
	case Acquire:
		return s.acquire(index, command, sessionOpen)
	}
	unit := s.units[command.Unit.Name]
	if unit == nil {
		return nil, refusedf("there is no %s", command.Unit.Name)
	}
	if command.Op == Forget {
		if unit.Ready {
			return nil, refusedf("%s is ready", unit.Name)
		}
		delete(s.units, unit.Name)
		return nil, nil
	}
	switch permit := unit.Permit; {
	case permit == nil || permit.Number > command.Permit.Number:
		return nil, nil // it has ended
	case permit.Number != command.Permit.Number || permit.Holder != command.Permit.Holder:
		return nil, refusedf("permit %d of %s is held by %s", permit.Number, unit.Name, permit.Holder)
	case unit.Ready && unit.Session == 0, command.Untouched && unit.Ready && unit.Since < permit.Number:
		// The list is in the same order, so it has it ready now; or it has been all the time.
		unit.Permit = nil
	case permit.ReturnedAt == 0:
		next := *permit
		next.ReturnedAt = index
		unit.Permit = &next
	}
	return nil, nil
}

// see takes in how a unit is.
func (s *State) observe(index uint64, observed Unit, observedIndex uint64) error {
	unit := s.units[observed.Name]
	if unit == nil {
		if len(s.units) >= maxUnits && !s.evictOldest() {
			return refusedf("there are %d units", len(s.units))
		}
		unit = &Unit{Name: observed.Name, Since: index}
		s.units[unit.Name] = unit
	}
	if observed.Session < unit.Session {
		return refusedf("%s is told of by session %d now", unit.Name, unit.Session)
	}
	if unit.Ready != observed.Ready || unit.Incarnation != observed.Incarnation {
		unit.Since = index
	}
	unit.Zone, unit.Weight, unit.Canary, unit.Incarnation, unit.Ready, unit.Session = observed.Zone, observed.Weight, observed.Canary, observed.Incarnation, observed.Ready, observed.Session
	if unit.Ready && unit.Permit != nil && unit.Permit.ReturnedAt != 0 && observedIndex >= unit.Permit.ReturnedAt {
		unit.Permit, unit.Since = nil, index
	}
	return nil
}

// evict forgets the backend that has been gone longest, if one is that nobody holds.
func (s *State) evictOldest() bool {
	var oldest *Unit
	for _, u := range s.units {
		if u.Kind == Backend && !u.Ready && u.Permit == nil && (oldest == nil || u.Since < oldest.Since || u.Since == oldest.Since && u.ID < oldest.ID) {
			oldest = u
		}
	}
	if oldest != nil {
		delete(s.units, oldest.Name)
	}
	return oldest != nil
}

// Sight is how the list has a backend.
type BackendState struct {
	ID, Zone    string
	Weight      float64
	Incarnation string
	Ready       bool
}

// SeeBackend takes in how the list has a backend. One that the bound has no room for is
// not known here, and gets no permit.
func (s *State) ObserveBackend(index uint64, backend BackendState) {
	s.observe(index, Unit{Name: Name{Backend, backend.ID}, Zone: backend.Zone, Weight: backend.Weight, Incarnation: backend.Incarnation, Ready: backend.Ready}, index)
}

// SessionOver says that a session has ended: nobody knows how the units are that it
// told of, and its permits are nobody's. The units may still be down.
func (s *State) SessionEnded(index, session uint64) {
	for _, u := range s.units {
		if u.Session == session && u.Ready {
			u.Ready, u.Since = false, index
		}
		if u.Permit != nil && u.Permit.Session == session && !u.Permit.Lost {
			next := *u.Permit
			next.Lost = true
			u.Permit = &next
		}
	}
}

// ask grants a permit, or says why not.
func (s *State) acquire(index uint64, command Command, sessionOpen func(uint64) bool) (*Permit, error) {
	unit := s.units[command.Unit.Name]
	switch {
	case unit == nil:
		return nil, refusedf("there is no %s that anybody has seen", command.Unit.Name)
	case command.Permit.Session != 0 && !sessionOpen(command.Permit.Session):
		return nil, refusedf("session %d has ended", command.Permit.Session)
	}
	if permit := unit.Permit; permit != nil {
		switch {
		case permit.Holder == command.Permit.Holder && permit.Session == command.Permit.Session && permit.ReturnedAt == 0:
			return permit, nil
		case permit.Holder != command.Permit.Holder && !permit.Lost:
			return nil, refusedf("%s is out by permit %d of %s (%s)", unit.Name, permit.Number, permit.Holder, permit.Reason)
		}
		// It is taken over: the unit is out already.
	} else if !unit.Unavailable() {
		if err := s.checkRules(unit); err != nil {
			return nil, err
		}
	}
	unit.Permit = &Permit{Number: index, Holder: command.Permit.Holder, Session: command.Permit.Session, Reason: command.Permit.Reason, TermMs: command.Permit.TermMs}
	return unit.Permit, nil
}

// fits says whether a unit that is ready may go out beside all that are.
func (s *State) checkRules(unit *Unit) error {
	for i := range s.rules {
		rule := &s.rules[i]
		if !rule.covers(unit) {
			continue
		}
		counts := s.countUnits(rule, unit)
		counts.unavailable, counts.ready, counts.unavailableWeight = counts.unavailable+1, counts.ready-1, counts.unavailableWeight+unit.weightMillionths()
		if err := counts.satisfies(rule); err != nil {
			return refusedf("%s may not go out: %v", unit.Name, err)
		}
	}
	return nil
}

func (r *Rule) covers(unit *Unit) bool {
	return r.Kind == unit.Kind && (!r.Canary || unit.Canary) && (r.Zone == "" || r.Zone == "*" || r.Zone == unit.Zone)
}

// counted are the units of a rule.
type unitCounts struct {
	total, unavailable, ready      int
	totalWeight, unavailableWeight int64 // in millionths, so that sums don't depend on their order
}

// count counts those that a rule takes together with a unit.
func (s *State) countUnits(rule *Rule, unit *Unit) (counts unitCounts) {
	for _, other := range s.units {
		if !rule.covers(other) || rule.Zone == "*" && other.Zone != unit.Zone {
			continue
		}
		counts.total++
		counts.totalWeight += other.weightMillionths()
		if other.Unavailable() {
			counts.unavailable++
			counts.unavailableWeight += other.weightMillionths()
		} else {
			counts.ready++
		}
	}
	return counts
}

// shareSlack is for what floating-point numbers lose of a share.
const fractionTolerance = 1e-9

func (c unitCounts) satisfies(rule *Rule) error {
	switch {
	case rule.MaxUnavailable != nil && c.unavailable > *rule.MaxUnavailable:
		return fmt.Errorf("%s, and %d would be", rule, c.unavailable)
	case rule.MaxUnavailableFraction != nil && !rule.ByWeight && float64(c.unavailable) > *rule.MaxUnavailableFraction*float64(c.total)+fractionTolerance:
		return fmt.Errorf("%s, and %d of %d would be", rule, c.unavailable, c.total)
	case rule.MaxUnavailableFraction != nil && rule.ByWeight && float64(c.unavailableWeight) > *rule.MaxUnavailableFraction*float64(c.totalWeight)+0.5:
		return fmt.Errorf("%s, and %g of %g would be", rule, float64(c.unavailableWeight)/1e6, float64(c.totalWeight)/1e6)
	case rule.MinReady != nil && c.ready < *rule.MinReady:
		return fmt.Errorf("%s, and %d would be", rule, c.ready)
	}
	return nil
}

// Never are the rules by which no unit of theirs could ever go out, though all were
// ready.
func (s *State) UnsatisfiableRules() (problems []string) {
	for i := range s.rules {
		rule := &s.rules[i]
		countsByZone := map[string]unitCounts{}
		minWeight := map[string]int64{}
		for _, unit := range s.units {
			if !rule.covers(unit) {
				continue
			}
			zone := ""
			if rule.Zone == "*" {
				zone = unit.Zone
			}
			counts, known := countsByZone[zone]
			counts.total++
			counts.totalWeight += unit.weightMillionths()
			countsByZone[zone] = counts
			if !known || unit.weightMillionths() < minWeight[zone] {
				minWeight[zone] = unit.weightMillionths()
			}
		}
		for _, zone := range slices.Sorted(maps.Keys(countsByZone)) {
			counts := countsByZone[zone]
			counts.unavailable, counts.ready, counts.unavailableWeight = 1, counts.total-1, minWeight[zone]
			if err := counts.satisfies(rule); err != nil {
				problems = append(problems, err.Error())
			}
		}
	}
	return problems
}

// Rules are those in force.
func (s *State) Rules() []Rule { return s.rules }

// Unit returns one.
func (s *State) Unit(n Name) (Unit, bool) {
	u := s.units[n]
	if u == nil {
		return Unit{}, false
	}
	return *u, true
}

// Units returns all, by kind and id.
func (s *State) Units() []Unit {
	units := make([]Unit, 0, len(s.units))
	for _, u := range s.units {
		units = append(units, *u)
	}
	slices.SortFunc(units, func(a, b Unit) int { return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.ID, b.ID)) })
	return units
}

// saved is one line of a snapshot.
type snapshotLine struct {
	Rules []Rule `json:"rules,omitempty"`
	Unit  *Unit  `json:"unit,omitempty"`
}

// Save returns the state as lines.
func (s *State) Save() (lines [][]byte) {
	add := func(line snapshotLine) {
		text, err := json.Marshal(line)
		if err != nil {
			panic(err) // of plain fields
		}
		lines = append(lines, text)
	}
	if len(s.rules) > 0 {
		add(snapshotLine{Rules: s.rules})
	}
	for _, unit := range s.Units() {
		add(snapshotLine{Unit: &unit})
	}
	return lines
}

// Restore takes in a line of Save's.
func (s *State) Restore(line []byte) error {
	var parsed snapshotLine
	if err := json.Unmarshal(line, &parsed); err != nil {
		return fmt.Errorf("budget: %w", err)
	}
	if parsed.Rules != nil {
		s.rules = parsed.Rules
	}
	if parsed.Unit != nil {
		s.units[parsed.Unit.Name] = parsed.Unit
	}
	return nil
}
