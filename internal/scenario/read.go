package scenario

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// maxFileBytes is the size limit of a scenario file.
const maxFileBytes = 1 << 20

// Read reads the scenario file at path.
func Read(path string) (*Scenario, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxFileBytes {
		return nil, fmt.Errorf("%s: the file has %d bytes, over the limit of %d for a scenario", path, info.Size(), maxFileBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse parses a scenario and takes values that it leaves out from Default. name stands for the
// text in errors. The error joins one error per problem, each with name, line and key.
func Parse(name string, text []byte) (*Scenario, error) {
	s := Default()
	// A list in the file replaces the default list: without this, the decoder would merge them.
	var given struct {
		Fleet   struct{ Zones any }
		Classes any `toml:"class"`
		Plans   any `toml:"plan"`
	}
	if err := toml.Unmarshal(text, &given); err == nil {
		if given.Fleet.Zones != nil {
			s.Fleet.Zones = nil
		}
		if given.Classes != nil {
			s.Classes = nil
		}
		if given.Plans != nil {
			s.Plans = nil
		}
	}
	if err := Decode(name, text, &s); err != nil {
		return nil, err
	}
	if problems := s.Check(); len(problems) > 0 {
		lines := findKeyLines(text)
		var all []error
		for _, p := range problems {
			all = append(all, fmt.Errorf("%s:%d: %w", name, lines.line(p.Key), p))
		}
		return nil, errors.Join(all...)
	}
	return &s, nil
}

// Decode decodes a TOML text into target, which is a pointer, and rejects unknown keys. name
// stands for the text in errors, which also have the line.
func Decode(name string, text []byte, target any) error {
	err := toml.NewDecoder(strings.NewReader(string(text))).DisallowUnknownFields().Decode(target)
	var unknown *toml.StrictMissingError
	var invalid *toml.DecodeError
	switch {
	case errors.As(err, &unknown):
		var all []error
		for _, e := range unknown.Errors {
			line, _ := e.Position()
			all = append(all, fmt.Errorf("%s:%d: %s: no such key", name, line, strings.Join(e.Key(), ".")))
		}
		return errors.Join(all...)
	case errors.As(err, &invalid):
		line, _ := invalid.Position()
		if key := strings.Join(invalid.Key(), "."); key != "" {
			return fmt.Errorf("%s:%d: %s: %w", name, line, key, invalid)
		}
		return fmt.Errorf("%s:%d: %w", name, line, invalid)
	case err != nil:
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// keyLines holds the line of each key of a text.
type keyLines map[string]int

// line returns the line of a key or, if the text does not have it, that of the innermost table
// that would hold it, or else 1.
func (lines keyLines) line(key string) int {
	for {
		if line, ok := lines[key]; ok {
			return line
		}
		cut := strings.LastIndexAny(key, ".[")
		if cut < 0 {
			return 1
		}
		key = key[:cut]
	}
}

// findKeyLines returns the lines of the keys of a text, up to the first syntax error. Tables of a
// list are numbered as Check numbers them: fault[2].at.
func findKeyLines(text []byte) keyLines {
	lines := keyLines{}
	count := map[string]int{}
	var parser unstable.Parser
	parser.Reset(text)
	prefix := ""
	for parser.NextExpression() {
		expression := parser.Expression()
		var parts []string
		line := 0
		for part := expression.Key(); part.Next(); {
			parts = append(parts, string(part.Node().Data))
			if line == 0 {
				line = parser.Shape(part.Node().Raw).Start.Line
			}
		}
		key := strings.Join(parts, ".")
		switch expression.Kind {
		case unstable.Table:
			prefix = key + "."
			lines[key] = line
		case unstable.ArrayTable:
			prefix = fmt.Sprintf("%s[%d].", key, count[key])
			lines[prefix[:len(prefix)-1]] = line
			if count[key] == 0 {
				lines[key] = line
			}
			count[key]++
		case unstable.KeyValue:
			lines[prefix+key] = line
		}
	}
	return lines
}

// Problem is an invalid value of a scenario. Key is its TOML key, such as fault[2].at.
type Problem struct{ Key, Text string }

// Error returns the key and the text.
func (p Problem) Error() string { return p.Key + ": " + p.Text }

// Check returns the invalid values of the scenario, sorted by key. The scenario can be run if
// there are none.
func (s *Scenario) Check() []Problem {
	var problems []Problem
	want := func(ok bool, key, format string, args ...any) {
		if !ok {
			problems = append(problems, Problem{key, fmt.Sprintf(format, args...)})
		}
	}
	positive := func(key string, d Duration) { want(d > 0, key, "%v is not above 0", d) }
	fraction := func(key string, v float64) { want(v >= 0 && v <= 1, key, "%g is not a fraction from 0 to 1", v) }

	want(s.Name != "" && !strings.ContainsAny(s.Name, "/\n"), "name", "%q is not a name", s.Name)
	want(s.Duration >= Duration(1e9) && s.Duration <= Duration(24*3600e9), "duration", "%v is not from 1s to 24h", s.Duration)
	fleet := s.Fleet
	want(fleet.Gateways >= 1 && fleet.Gateways <= 1000, "fleet.gateways", "%d is not from 1 to 1000", fleet.Gateways)
	want(fleet.Backends >= 1 && fleet.Backends <= 1000, "fleet.backends", "%d is not from 1 to 1000", fleet.Backends)
	want(len(fleet.Zones) > 0, "fleet.zones", "the fleet has no zone")
	for i, z := range fleet.Zones {
		want(z != "" && !slices.Contains(fleet.Zones[:i], z), "fleet.zones", "%q is empty or listed twice", z)
	}
	want(fleet.ListServices >= 0 && fleet.ListServices <= 8, "fleet.list_services", "%d is not from 0 to 8", fleet.ListServices)
	want(!fleet.Group || fleet.KeepLists && (fleet.ListServices == 1 || fleet.ListServices == 3 || fleet.ListServices == 5), "fleet.group", "it takes 1, 3 or 5 list_services with keep_lists, not %d", fleet.ListServices)
	want(fleet.Cores > 0 && fleet.Cores <= 64, "fleet.cores", "%g is not from 0 to 64", fleet.Cores)
	want(fleet.MemoryMB >= 16, "fleet.memory_mb", "%d is under 16, the minimum for a gateway", fleet.MemoryMB)
	want(fleet.Sockets >= 128, "fleet.sockets", "%d is under 128, the minimum for a gateway", fleet.Sockets)
	backend := s.Backend
	want(backend.Cores > 0, "backend.cores", "%g is not above 0", backend.Cores)
	want(backend.Slots > 0, "backend.slots", "%d is not above 0", backend.Slots)
	want(backend.Queue >= 0, "backend.queue", "%d is below 0", backend.Queue)
	want(backend.Connections >= 1, "backend.connections", "%d is not above 0", backend.Connections)
	want(backend.Cells >= 1 && backend.Cells <= 1000, "backend.cells", "%d is not from 1 to 1000", backend.Cells)
	want(backend.OverloadLoss >= 0 && backend.OverloadLoss < 1, "backend.overfull", "%g is not a fraction below 1", backend.OverloadLoss)
	want(backend.Handshake >= 0, "backend.handshake", "%v is below 0", backend.Handshake)
	want(backend.ColdFrom > 0 && backend.ColdFrom <= 1, "backend.cold_from", "%g is not a fraction above 0", backend.ColdFrom)
	want(backend.ColdMultiple >= 1, "backend.cold_multiple", "%g is below 1", backend.ColdMultiple)
	for key, d := range map[string]Duration{"backend.keep_alive": backend.KeepAlive, "backend.cold": backend.ColdDuration, "backend.overload_for": backend.OverloadFor,
		"counter.timeout": s.Counter.Timeout, "network.connect_timeout": s.Network.ConnectTimeout, "rules.drain_grace": s.Rules.DrainGrace, "rules.views": s.Rules.ViewTimeout} {
		positive(key, d)
	}
	for key, d := range map[string]Duration{"counter.delay": s.Counter.Delay, "network.delay": s.Network.Delay, "network.cross_zone": s.Network.CrossZone,
		"network.list_delay": s.Network.ListDelay, "network.peer_delay": s.Network.PeerDelay, "network.notice": s.Network.FailureDetection, "rules.answer_slack": s.Rules.AnswerSlack,
		"rules.observe": s.Rules.ObservationSlack, "load.shift_every": s.Load.ShiftEvery, "load.retry_after": s.Load.RetryAfter} {
		want(d >= 0, key, "%v is below 0", d)
	}
	want(s.Counter.CallsPerS > 0, "counter.calls_per_s", "%g is not above 0", s.Counter.CallsPerS)
	want(s.Counter.Queue >= 1, "counter.queue", "%d is not above 0", s.Counter.Queue)
	want(s.Rules.LostAfter >= s.Rules.AnswerSlack, "rules.lost_after", "%v is under the answer_slack", s.Rules.LostAfter)
	want(s.Rules.MaxAttempts >= 1 && s.Rules.MaxAttempts <= 16, "rules.attempts", "%d is not from 1 to 16", s.Rules.MaxAttempts)
	fraction("network.peer_loss", s.Network.PeerLoss)
	want(s.Network.PeerInPerS > 0, "network.peer_in_per_s", "%g is not above 0", s.Network.PeerInPerS)
	s.checkLoad(want, fraction)
	s.checkFaults(want, fraction)
	slices.SortFunc(problems, func(a, b Problem) int { return strings.Compare(a.Key, b.Key) })
	return problems
}

// checkLoad checks the load, the classes and the plans; see Check.
func (s *Scenario) checkLoad(want func(bool, string, string, ...any), fraction func(string, float64)) {
	load := s.Load
	want(load.RequestsPerS > 0 && load.RequestsPerS <= 1e6, "load.requests_per_s", "%g is not from 0 to a million", load.RequestsPerS)
	want(load.Skew >= 0 && load.Skew <= 3, "load.skew", "%g is not from 0 to 3", load.Skew)
	want(load.Retries >= 0 && load.Retries <= 10, "load.retries", "%d is not from 0 to 10", load.Retries)
	fraction("load.impatient", load.AbandonedFraction)
	for i, step := range load.Shape {
		want(step.Factor >= 0, "load.shape", "step %d: %g times is below 0", i, step.Factor)
		want(step.At >= 0 && (i == 0 || step.At > load.Shape[i-1].At), "load.shape", "step %d: %v is not after the previous step", i, step.At)
	}
	want(len(s.Classes) > 0, "class", "the scenario has no class")
	want(len(s.Plans) > 0, "plan", "the scenario has no plan")
	total, maxUnits := 0.0, 0.0
	for i, class := range s.Classes {
		key := func(k string) string { return fmt.Sprintf("class[%d].%s", i, k) }
		want(isName(class.Name) && !slices.ContainsFunc(s.Classes[:i], func(other Class) bool { return other.Name == class.Name }), key("name"),
			"%q is not a name of a-z, 0-9 and -, or is used twice", class.Name)
		fraction(key("share"), class.RequestFraction)
		fraction(key("late_worth"), class.LateWorth)
		want(class.Worth > 0, key("worth"), "%g is not above 0", class.Worth)
		want(class.Aim > 0 && class.Aim <= class.Deadline, key("aim"), "%v is not above 0 and within the deadline of %v", class.Aim, class.Deadline)
		want(class.Deadline <= Duration(60e9), key("deadline"), "%v is over a minute", class.Deadline)
		want(slices.Contains([]string{"repeatable", "by_key", "once"}, class.Effect), key("effect"), "%q is not repeatable, by_key or once", class.Effect)
		want(class.Effect != "by_key" || class.Window > 0, key("window"), "a class by_key needs a window above 0")
		want(class.Effect == "by_key" && slices.Contains([]string{"all", "zone", "cell"}, class.Scope) || class.Effect != "by_key" && class.Scope == "", key("scope"),
			"%q is not all, zone or cell of a class by_key", class.Scope)
		want(class.Work > 0 && class.Work <= class.Deadline, key("work"), "%v is not above 0 and within the deadline", class.Work)
		want(class.Units >= 1 && class.Units <= 1000, key("units"), "%d is not from 1 to 1000", class.Units)
		want(class.BodyBytes >= 0 && class.BodyBytes <= 1<<30, key("body_bytes"), "%d is not from 0 to 1 GiB", class.BodyBytes)
		want(class.Effect != "repeatable" || class.BodyBytes == 0, key("body_bytes"), "a repeatable class has none")
		want(class.AnswerBytes >= 32 && class.AnswerBytes <= 1<<30, key("answer_bytes"), "%d is not from 32 to 1 GiB", class.AnswerBytes)
		want(slices.ContainsFunc(s.Plans, func(plan Plan) bool { return plan.Burst >= float64(class.Units) }), key("units"),
			"no plan's burst holds %d, so no customer can afford this class", class.Units)
		total += class.RequestFraction
		maxUnits = max(maxUnits, float64(class.Units))
	}
	want(total > 0.999 && total < 1.001, "class", "the shares are %g together, not 1", total)
	total = 0
	for i, plan := range s.Plans {
		key := func(k string) string { return fmt.Sprintf("plan[%d].%s", i, k) }
		want(isName(plan.Name) && !slices.ContainsFunc(s.Plans[:i], func(other Plan) bool { return other.Name == plan.Name }), key("name"),
			"%q is not a name of a-z, 0-9 and -, or is used twice", plan.Name)
		fraction(key("share"), plan.RequestFraction)
		want(plan.Customers >= 1 && plan.Customers <= 1_000_000, key("customers"), "%d is not from 1 to a million", plan.Customers)
		want(plan.Price > 0, key("price"), "%g is not above 0", plan.Price)
		want(plan.Rate > 0 && plan.Burst > 0, key("rate"), "%g units a second and a burst of %g: a quota needs both above 0", plan.Rate, plan.Burst)
		fraction(key("over_worth"), plan.OverWorth)
		want(plan.OverCost >= 0, key("over_cost"), "%g is below 0", plan.OverCost)
		want(plan.Spread >= 1 && plan.Spread <= s.Fleet.Gateways, key("spread"), "%d is not from 1 to the %d gateways", plan.Spread, s.Fleet.Gateways)
		if plan.CeilingRate != 0 || plan.CeilingBurst != 0 {
			want(plan.CeilingRate >= plan.Rate && plan.CeilingBurst >= plan.Burst, key("ceiling_rate"), "a ceiling of %g units a second and a burst of %g is lower than the quota, %g and %g", plan.CeilingRate, plan.CeilingBurst, plan.Rate, plan.Burst)
			want(plan.CeilingBurst >= 2*float64(plan.Spread)*maxUnits, key("spread"), "%d gateways are too many for a ceiling_burst of %g and requests of up to %g units (burst / (2 x units) at most)",
				plan.Spread, plan.CeilingBurst, maxUnits)
			want(plan.CeilingSlack >= maxUnits, key("ceiling_slack"), "%g is less than the units of the largest request, %g", plan.CeilingSlack, maxUnits)
		}
		total += plan.RequestFraction
	}
	want(total > 0.999 && total < 1.001, "plan", "the shares are %g together, not 1", total)
}

// checkFaults checks the faults; see Check.
func (s *Scenario) checkFaults(want func(bool, string, string, ...any), fraction func(string, float64)) {
	for i, fault := range s.Faults {
		key := func(k string) string { return fmt.Sprintf("fault[%d].%s", i, k) }
		kind, known := FaultKinds[fault.Kind]
		want(known, key("kind"), "%q is not known", fault.Kind)
		if !known {
			continue
		}
		want(fault.At >= 0 && fault.At < s.Duration, key("at"), "%v is not within the %v of the scenario", fault.At, s.Duration)
		want(fault.Kind != "writer_killed" || s.Fleet.ListServices > 0, key("kind"), "there is no list service")
		want(fault.For >= 0 && (fault.For > 0 || fault.Kind == "counter_empty"), key("for"), "%v is not above 0", fault.For)
		fraction(key("part"), fault.Fraction)
		if kind.IsLink {
			_, invalidKey, err := s.Link(&fault)
			want(err == nil, key(invalidKey), "%v", err)
			want(fault.Flap >= 0, key("flap"), "%v is below 0", fault.Flap)
			want(fault.Fraction == 0 && fault.Zone == "", key("part"), "a fault of links takes neither part nor zone")
			continue
		}
		want(fault.From == "" && fault.To == "" && fault.Direction == "" && fault.Effect == "" && fault.Delay == 0 && fault.Jitter == 0 && (fault.Flap == 0 || kind.NeedsFlap), key("from"), "a fault of kind %s is not of links: it takes no from, to, way, how, delay, jitter or flap", fault.Kind)
		want(!kind.NeedsFlap || fault.Flap >= Duration(100e6), key("flap"), "%v is under 100ms", fault.Flap)
		want(fault.Kind != "apart" || len(s.Fleet.Zones) > 1, key("kind"), "the fleet has only one zone")
		if fault.Target != "" {
			target, err := s.ParseActor(fault.Target)
			want(kind.AllowsTarget, key("who"), "a fault of kind %s takes no who", fault.Kind)
			want(err == nil, key("who"), "%v", err)
			want(err != nil || target.Kind == Gateways || target.Kind == Registries, key("who"), "%q are neither gateways nor list services", fault.Target)
			want(target.Kind != Registries || s.Fleet.KeepLists || fault.Kind == "freeze", key("who"), "list services without keep_lists forget everything")
			want(fault.Fraction == 0 && fault.Zone == "" && fault.Size == 0, key("part"), "a fault with who takes neither part, zone nor size")
			continue
		}
		inZone := slices.Contains(s.Fleet.Zones, fault.Zone)
		want(fault.Zone == "" || inZone, key("zone"), "%q is not a zone of the fleet", fault.Zone)
		switch {
		case kind.NeedsZone:
			want(inZone, key("zone"), "a fault of kind %s needs a zone", fault.Kind)
			want(len(s.Fleet.Zones) > 1, key("zone"), "there is no other zone")
			want(fault.Fraction == 0, key("part"), "a fault of kind %s takes no part", fault.Kind)
		case kind.ByPart:
			want((fault.Fraction > 0) != inZone, key("part"), "a fault of kind %s needs either a part or a zone", fault.Kind)
		default:
			want(fault.Fraction == 0 && fault.Zone == "", key("part"), "a fault of kind %s takes neither part nor zone", fault.Kind)
		}
		switch {
		case kind.SizeMeaning == "":
			want(fault.Size == 0, key("size"), "a fault of kind %s takes no size", fault.Kind)
		case kind.SizeIsFraction:
			fraction(key("size"), fault.Size)
			want(fault.Size > 0, key("size"), "%g is not above 0", fault.Size)
		default:
			want(fault.Size > 0 && fault.Size <= 10_000, key("size"), "%g is not from 0 to 10000", fault.Size)
		}
	}
}

// isName reports whether s can be the name of a class or a plan.
func isName(s string) bool {
	return s != "" && len(s) <= 32 && strings.Trim(s, "abcdefghijklmnopqrstuvwxyz0123456789-") == ""
}
