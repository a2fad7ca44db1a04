// Package budget is a deterministic state machine that decides which units of a fleet may be
// unavailable at the same time. A unit counts as unavailable from the grant of a permit until it
// has been observed ready after the permit's return, and whenever it is not ready.
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

// Kinds of units.
const (
	Backend Kind = "backend"
	Gateway Kind = "gateway"
	Service Kind = "service"
)

// Kinds holds all kinds.
var Kinds = []Kind{Backend, Gateway, Service}

// Name identifies a unit.
type Name struct {
	Kind Kind   `json:"kind"`
	ID   string `json:"id"`
}

// String returns the kind and the id.
func (n Name) String() string { return string(n.Kind) + " " + n.ID }

// Unit is a unit of the fleet.
type Unit struct {
	Name
	Zone        string  `json:"zone,omitempty"`
	Weight      float64 `json:"weight,omitempty"` // capacity, relative to other units
	Canary      bool    `json:"canary,omitempty"`
	Incarnation string  `json:"life,omitempty"` // of its process, as its observer names it
	Ready       bool    `json:"ready"`
	// Session is the session of the unit's observer; 0: the list of backends. Once the session
	// ends, the unit counts as unavailable.
	Session uint64  `json:"session,omitempty"`
	Since   uint64  `json:"since"` // index at which Ready or Incarnation changed last
	Permit  *Permit `json:"permit,omitempty"`
}

func (u *Unit) weightMillionths() int64 { return int64(math.Round(u.Weight * 1e6)) }

// Unavailable reports whether the unit counts as unavailable.
func (u *Unit) Unavailable() bool { return !u.Ready || u.Permit != nil }

// Permit allows its holder to make a unit unavailable.
type Permit struct {
	Number     uint64 `json:"number"` // index of its grant, a fencing token: a later permit has a higher number
	Holder     string `json:"holder"`
	Session    uint64 `json:"session,omitempty"` // of the holder; 0: none
	Reason     string `json:"reason"`
	TermMs     int64  `json:"termMs"`         // validity by the holder's clock, counted from before it sent the request
	Lost       bool   `json:"lost,omitempty"` // the holder's session has ended; the unit may still be down
	ReturnedAt uint64 `json:"back,omitempty"` // index of its return; 0: not returned. It ends once the unit is observed ready after that
}

// Rule limits how many of the units that it covers may be unavailable. An absent limit does not
// apply.
type Rule struct {
	Kind   Kind   `json:"kind"`
	Zone   string `json:"zone,omitempty"`   // one zone; "*": each zone by itself; empty: all zones together
	Canary bool   `json:"canary,omitempty"` // canaries only

	MaxUnavailable         *int     `json:"mostOut,omitempty"`
	MaxUnavailableFraction *float64 `json:"mostShare,omitempty"`
	ByWeight               bool     `json:"byWeight,omitempty"` // MaxUnavailableFraction is of the capacity, not of the number of units
	MinReady               *int     `json:"leastReady,omitempty"`
}

// String describes the rule for messages.
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

// check validates the rule.
func (r *Rule) check() error {
	switch {
	case !slices.Contains(Kinds, r.Kind):
		return fmt.Errorf("kind: %.40q is not one of %v", r.Kind, Kinds)
	case r.MaxUnavailable == nil && r.MaxUnavailableFraction == nil && r.MinReady == nil:
		return fmt.Errorf("%s: it bounds nothing", r)
	case r.MaxUnavailable != nil && *r.MaxUnavailable < 0 || r.MinReady != nil && *r.MinReady < 0:
		return fmt.Errorf("%s: mostOut and leastReady must not be negative", r)
	case r.MaxUnavailableFraction != nil && !(*r.MaxUnavailableFraction >= 0 && *r.MaxUnavailableFraction <= 1):
		return fmt.Errorf("%s: mostShare must be between 0 and 1", r)
	case r.ByWeight && r.MaxUnavailableFraction == nil:
		return fmt.Errorf("%s: byWeight requires mostShare", r)
	}
	return nil
}

// Op is the operation of a command.
type Op string

// Operations of commands.
const (
	SetRules Op = "rules"  // replaces all rules
	Observe  Op = "see"    // reports the state of a unit
	Acquire  Op = "ask"    // requests a permit
	Return   Op = "back"   // returns a permit
	Forget   Op = "forget" // removes a unit that is gone for good
)

// Command is a change of the state.
type Command struct {
	Op    Op     `json:"op"`
	Rules []Rule `json:"rules,omitempty"`
	Unit  Unit   `json:"unit,omitzero"`
	// Permit is the requested permit of Acquire, or the number and holder of Return.
	Permit Permit `json:"permit,omitzero"`
	// ObservedIndex is an index that the observer had received before its observation. For Observe.
	ObservedIndex uint64 `json:"at,omitempty"`
	// Untouched reports that the holder never made the unit unavailable. For Return.
	Untouched bool `json:"untouched,omitempty"`
}

// Limits of a command and of the state.
const (
	maxTextBytes = 200
	maxRules     = 64
	maxUnits     = 20_000
	maxWeight    = 1e6
	maxTermMs    = 7 * 24 * 60 * 60 * 1000 // ms
)

// RefusedError explains why a command changed nothing. Its text becomes part of the replicated
// state and must not differ between members.
type RefusedError struct{ Text string }

func (e *RefusedError) Error() string { return e.Text }

func refusedf(format string, args ...any) error { return &RefusedError{fmt.Sprintf(format, args...)} }

// Check validates the command without a state.
func (c *Command) Check() error {
	for _, text := range []string{c.Unit.ID, c.Unit.Zone, c.Unit.Incarnation, c.Permit.Holder, c.Permit.Reason} {
		if len(text) > maxTextBytes {
			return fmt.Errorf("text %.40q... has %d bytes, limit %d", text, len(text), maxTextBytes)
		}
	}
	if c.Op == SetRules {
		if len(c.Rules) > maxRules {
			return fmt.Errorf("rules: got %d, limit %d", len(c.Rules), maxRules)
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
		return fmt.Errorf("unit: kind %.40q is not one of %v, or the id is missing", c.Unit.Kind, Kinds)
	case c.Op == Observe && (c.Unit.Session == 0 || c.Unit.Kind == Backend):
		return errors.New("unit: only the list reports backends, and observers of other units need a session")
	case !(c.Unit.Weight >= 0 && c.Unit.Weight <= maxWeight):
		return fmt.Errorf("unit: weight %g is not between 0 and %g", c.Unit.Weight, maxWeight)
	case c.Op == Acquire && (c.Permit.Holder == "" || c.Permit.Reason == ""):
		return errors.New("permit: holder and reason are required")
	case c.Op == Acquire && (c.Permit.TermMs < 1 || c.Permit.TermMs > maxTermMs):
		return fmt.Errorf("permit: a term of %d ms is not between 1 and %d", c.Permit.TermMs, maxTermMs)
	case c.Op == Return && c.Permit.Number == 0:
		return errors.New("permit: number is missing")
	}
	return nil
}

// State holds the rules and the units with their permits. It is not safe for concurrent use.
type State struct {
	rules []Rule
	units map[Name]*Unit
}

// New returns a state without units and rules.
func New() *State { return &State{units: map[Name]*Unit{}} }

// Apply applies the command at the index. sessionOpen reports whether a session is open. The
// permit is that of Acquire and nil for other operations. The error is a RefusedError or that of
// Check, and the state is unchanged then.
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
		return nil, nil // the permit has ended already
	case permit.Number != command.Permit.Number || permit.Holder != command.Permit.Holder:
		return nil, refusedf("permit %d of %s is held by %s", permit.Number, unit.Name, permit.Holder)
	case unit.Ready && unit.Session == 0, command.Untouched && unit.Ready && unit.Since < permit.Number:
		// The list is replicated in the same order, so it shows the backend as ready now; or the
		// unit has been ready all the time.
		unit.Permit = nil
	case permit.ReturnedAt == 0:
		next := *permit
		next.ReturnedAt = index
		unit.Permit = &next
	}
	return nil, nil
}

// observe updates a unit from an observation.
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

// evictOldest removes the backend that has been unavailable longest and has no permit. It returns
// false if there is none.
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

// BackendState is the state of a backend in the list.
type BackendState struct {
	ID, Zone    string
	Weight      float64
	Incarnation string
	Ready       bool
}

// ObserveBackend updates a backend from the list. A new backend beyond the limit of units is
// ignored and gets no permits.
func (s *State) ObserveBackend(index uint64, backend BackendState) {
	s.observe(index, Unit{Name: Name{Backend, backend.ID}, Zone: backend.Zone, Weight: backend.Weight, Incarnation: backend.Incarnation, Ready: backend.Ready}, index)
}

// SessionEnded marks the units that the session observed as not ready, and its permits as lost.
// The units of those permits may still be down.
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

// acquire grants a permit, or returns a RefusedError.
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
		// The permit is taken over: the unit is unavailable already.
	} else if !unit.Unavailable() {
		if err := s.checkRules(unit); err != nil {
			return nil, err
		}
	}
	unit.Permit = &Permit{Number: index, Holder: command.Permit.Holder, Session: command.Permit.Session, Reason: command.Permit.Reason, TermMs: command.Permit.TermMs}
	return unit.Permit, nil
}

// checkRules returns an error if a rule does not allow a ready unit to become unavailable.
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

// unitCounts counts the units that a rule covers.
type unitCounts struct {
	total, unavailable, ready      int
	totalWeight, unavailableWeight int64 // in millionths: integer sums don't depend on their order
}

// countUnits counts the units that the rule covers together with the given one.
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

// fractionTolerance allows for rounding errors of fractions.
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

// UnsatisfiableRules describes the rules that never allow a unit to become unavailable, even with
// all units ready.
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

// Rules returns the active rules. The caller must not modify them.
func (s *State) Rules() []Rule { return s.rules }

// Unit returns a unit and whether it is known.
func (s *State) Unit(n Name) (Unit, bool) {
	u := s.units[n]
	if u == nil {
		return Unit{}, false
	}
	return *u, true
}

// Units returns all units, sorted by kind and id.
func (s *State) Units() []Unit {
	units := make([]Unit, 0, len(s.units))
	for _, u := range s.units {
		units = append(units, *u)
	}
	slices.SortFunc(units, func(a, b Unit) int { return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.ID, b.ID)) })
	return units
}

// snapshotLine is the encoding of one line of a snapshot.
type snapshotLine struct {
	Rules []Rule `json:"rules,omitempty"`
	Unit  *Unit  `json:"unit,omitempty"`
}

// Save returns a snapshot as lines.
func (s *State) Save() (lines [][]byte) {
	add := func(line snapshotLine) {
		text, err := json.Marshal(line)
		if err != nil {
			panic(err) // unreachable: all fields can be encoded
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

// Restore adds one line of a snapshot to the state.
func (s *State) Restore(line []byte) error {
	var parsed snapshotLine
	if err := json.Unmarshal(line, &parsed); err != nil {
		return fmt.Errorf("budget: decode line of a snapshot: %w", err)
	}
	if parsed.Rules != nil {
		s.rules = parsed.Rules
	}
	if parsed.Unit != nil {
		s.units[parsed.Unit.Name] = parsed.Unit
	}
	return nil
}
