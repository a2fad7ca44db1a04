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

// mostBytes is what a scenario's file may hold.
const mostBytes = 1 << 20

// Read reads the scenario in the file at path.
func Read(path string) (*Scenario, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > mostBytes {
		return nil, fmt.Errorf("%s: %d bytes are no scenario", path, info.Size())
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse reads a scenario, what it leaves out from Default. An error tells of each
// fault the name, the line and the key.
func Parse(name string, text []byte) (*Scenario, error) {
	s := Default()
	// A list of the file's own stands in place of the default's, never mixed with it.
	var lists struct {
		Fleet   struct{ Zones any }
		Classes any `toml:"class"`
		Plans   any `toml:"plan"`
	}
	if err := toml.Unmarshal(text, &lists); err == nil {
		if lists.Fleet.Zones != nil {
			s.Fleet.Zones = nil
		}
		if lists.Classes != nil {
			s.Classes = nil
		}
		if lists.Plans != nil {
			s.Plans = nil
		}
	}
	if err := Decode(name, text, &s); err != nil {
		return nil, err
	}
	if problems := s.Check(); len(problems) > 0 {
		at := lines(text)
		var all []error
		for _, p := range problems {
			all = append(all, fmt.Errorf("%s:%d: %w", name, at.of(p.Key), p))
		}
		return nil, errors.Join(all...)
	}
	return &s, nil
}

// Decode reads a TOML text of known keys alone. Errors name the text and the line.
func Decode(name string, text []byte, to any) error {
	err := toml.NewDecoder(strings.NewReader(string(text))).DisallowUnknownFields().Decode(to)
	var unknown *toml.StrictMissingError
	var wrong *toml.DecodeError
	switch {
	case errors.As(err, &unknown):
		var all []error
		for _, e := range unknown.Errors {
			row, _ := e.Position()
			all = append(all, fmt.Errorf("%s:%d: %s: no such key", name, row, strings.Join(e.Key(), ".")))
		}
		return errors.Join(all...)
	case errors.As(err, &wrong):
		row, _ := wrong.Position()
		if key := strings.Join(wrong.Key(), "."); key != "" {
			return fmt.Errorf("%s:%d: %s: %w", name, row, key, wrong)
		}
		return fmt.Errorf("%s:%d: %w", name, row, wrong)
	case err != nil:
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// places are the lines on which keys stand.
type places map[string]int

// of finds the line of a key or, if the file leaves it out, of what it would
// stand in. A file without either is told its first line.
func (p places) of(key string) int {
	for {
		if line, ok := p[key]; ok {
			return line
		}
		cut := strings.LastIndexAny(key, ".[")
		if cut < 0 {
			return 1
		}
		key = key[:cut]
	}
}

// lines finds where each key of a text stands that can be read. Tables of a list
// are numbered as Check numbers them: fault[2].at.
func lines(text []byte) places {
	p := places{}
	count := map[string]int{}
	var parser unstable.Parser
	parser.Reset(text)
	prefix := ""
	for parser.NextExpression() {
		e := parser.Expression()
		var parts []string
		line := 0
		for k := e.Key(); k.Next(); {
			parts = append(parts, string(k.Node().Data))
			if line == 0 {
				line = parser.Shape(k.Node().Raw).Start.Line
			}
		}
		key := strings.Join(parts, ".")
		switch e.Kind {
		case unstable.Table:
			prefix = key + "."
			p[key] = line
		case unstable.ArrayTable:
			prefix = fmt.Sprintf("%s[%d].", key, count[key])
			p[prefix[:len(prefix)-1]] = line
			if count[key] == 0 {
				p[key] = line
			}
			count[key]++
		case unstable.KeyValue:
			p[prefix+key] = line
		}
	}
	return p
}

// Problem is one thing that a scenario can't have.
type Problem struct{ Key, Text string }

func (p Problem) Error() string { return p.Key + ": " + p.Text }

// Check finds what can't be played.
func (s *Scenario) Check() []Problem {
	var all []Problem
	want := func(ok bool, key, format string, args ...any) {
		if !ok {
			all = append(all, Problem{key, fmt.Sprintf(format, args...)})
		}
	}
	positive := func(key string, d Duration) { want(d > 0, key, "%v is not above 0", d) }
	share := func(key string, v float64) { want(v >= 0 && v <= 1, key, "%g is not a share from 0 to 1", v) }

	want(s.Name != "" && !strings.ContainsAny(s.Name, "/\n"), "name", "%q is not a name", s.Name)
	want(s.Duration >= Duration(1e9) && s.Duration <= Duration(24*3600e9), "duration", "%v is not from 1s to 24h", s.Duration)
	f := s.Fleet
	want(f.Gateways >= 1 && f.Gateways <= 1000, "fleet.gateways", "%d is not from 1 to 1000", f.Gateways)
	want(f.Backends >= 1 && f.Backends <= 1000, "fleet.backends", "%d is not from 1 to 1000", f.Backends)
	want(len(f.Zones) > 0, "fleet.zones", "there is none")
	for i, z := range f.Zones {
		want(z != "" && !slices.Contains(f.Zones[:i], z), "fleet.zones", "%q is empty or stands twice", z)
	}
	want(f.ListServices >= 0 && f.ListServices <= 8, "fleet.list_services", "%d is not from 0 to 8", f.ListServices)
	want(!f.Group || f.KeepLists && (f.ListServices == 1 || f.ListServices == 3 || f.ListServices == 5), "fleet.group", "it takes 1, 3 or 5 list_services with keep_lists, not %d", f.ListServices)
	want(f.Cores > 0 && f.Cores <= 64, "fleet.cores", "%g is not from 0 to 64", f.Cores)
	want(f.MemoryMB >= 16, "fleet.memory_mb", "%d is under 16, the least for a gateway", f.MemoryMB)
	want(f.Sockets >= 128, "fleet.sockets", "%d is under 128, the least for a gateway", f.Sockets)
	b := s.Backend
	want(b.Cores > 0, "backend.cores", "%g is not above 0", b.Cores)
	want(b.Slots > 0, "backend.slots", "%d is not above 0", b.Slots)
	want(b.Queue >= 0, "backend.queue", "%d is below 0", b.Queue)
	want(b.Connections >= 1, "backend.connections", "%d is not above 0", b.Connections)
	want(b.Cells >= 1 && b.Cells <= 1000, "backend.cells", "%d is not from 1 to 1000", b.Cells)
	want(b.OverloadLoss >= 0 && b.OverloadLoss < 1, "backend.overfull", "%g is not a share below 1", b.OverloadLoss)
	want(b.Handshake >= 0, "backend.handshake", "%v is below 0", b.Handshake)
	want(b.ColdFrom > 0 && b.ColdFrom <= 1, "backend.cold_from", "%g is not a share above 0", b.ColdFrom)
	want(b.ColdMultiple >= 1, "backend.cold_multiple", "%g is below 1", b.ColdMultiple)
	for key, d := range map[string]Duration{"backend.keep_alive": b.KeepAlive, "backend.cold": b.ColdDuration, "backend.overload_for": b.OverloadFor,
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
	share("network.peer_loss", s.Network.PeerLoss)
	want(s.Network.PeerInPerS > 0, "network.peer_in_per_s", "%g is not above 0", s.Network.PeerInPerS)
	s.checkLoad(want, share)
	s.checkFaults(want, share)
	slices.SortFunc(all, func(a, b Problem) int { return strings.Compare(a.Key, b.Key) })
	return all
}

func (s *Scenario) checkLoad(want func(bool, string, string, ...any), share func(string, float64)) {
	l := s.Load
	want(l.RequestsPerS > 0 && l.RequestsPerS <= 1e6, "load.requests_per_s", "%g is not from 0 to a million", l.RequestsPerS)
	want(l.Skew >= 0 && l.Skew <= 3, "load.skew", "%g is not from 0 to 3", l.Skew)
	want(l.Retries >= 0 && l.Retries <= 10, "load.retries", "%d is not from 0 to 10", l.Retries)
	share("load.impatient", l.AbandonedFraction)
	for i, step := range l.Shape {
		want(step.Factor >= 0, "load.shape", "step %d: %g times is below 0", i, step.Factor)
		want(step.At >= 0 && (i == 0 || step.At > l.Shape[i-1].At), "load.shape", "step %d: %v is not behind the step before", i, step.At)
	}
	want(len(s.Classes) > 0, "class", "there is none")
	want(len(s.Plans) > 0, "plan", "there is none")
	total, most := 0.0, 0.0
	for i, c := range s.Classes {
		key := func(k string) string { return fmt.Sprintf("class[%d].%s", i, k) }
		want(isName(c.Name) && !slices.ContainsFunc(s.Classes[:i], func(o Class) bool { return o.Name == c.Name }), key("name"),
			"%q is not a name of a-z, 0-9 and -, or stands twice", c.Name)
		share(key("share"), c.RequestFraction)
		share(key("late_worth"), c.LateWorth)
		want(c.Worth > 0, key("worth"), "%g is not above 0", c.Worth)
		want(c.Aim > 0 && c.Aim <= c.Deadline, key("aim"), "%v is not above 0 and within the deadline of %v", c.Aim, c.Deadline)
		want(c.Deadline <= Duration(60e9), key("deadline"), "%v is over a minute", c.Deadline)
		want(slices.Contains([]string{"repeatable", "by_key", "once"}, c.Effect), key("effect"), "%q is not repeatable, by_key or once", c.Effect)
		want(c.Effect != "by_key" || c.Window > 0, key("window"), "by_key needs one above 0")
		want(c.Effect == "by_key" && slices.Contains([]string{"all", "zone", "cell"}, c.Scope) || c.Effect != "by_key" && c.Scope == "", key("scope"),
			"%q is not all, zone or cell of a class by_key", c.Scope)
		want(c.Work > 0 && c.Work <= c.Deadline, key("work"), "%v is not above 0 and within the deadline", c.Work)
		want(c.Units >= 1 && c.Units <= 1000, key("units"), "%d is not from 1 to 1000", c.Units)
		want(c.BodyBytes >= 0 && c.BodyBytes <= 1<<30, key("body_bytes"), "%d is not from 0 to 1 GiB", c.BodyBytes)
		want(c.Effect != "repeatable" || c.BodyBytes == 0, key("body_bytes"), "a repeatable class has none")
		want(c.AnswerBytes >= 32 && c.AnswerBytes <= 1<<30, key("answer_bytes"), "%d is not from 32 to 1 GiB", c.AnswerBytes)
		want(slices.ContainsFunc(s.Plans, func(p Plan) bool { return p.Burst >= float64(c.Units) }), key("units"),
			"no plan's burst holds %d, so no customer can afford this class", c.Units)
		total += c.RequestFraction
		most = max(most, float64(c.Units))
	}
	want(total > 0.999 && total < 1.001, "class", "the shares are %g together, not 1", total)
	total = 0
	for i, p := range s.Plans {
		key := func(k string) string { return fmt.Sprintf("plan[%d].%s", i, k) }
		want(isName(p.Name) && !slices.ContainsFunc(s.Plans[:i], func(o Plan) bool { return o.Name == p.Name }), key("name"),
			"%q is not a name of a-z, 0-9 and -, or stands twice", p.Name)
		share(key("share"), p.RequestFraction)
		want(p.Customers >= 1 && p.Customers <= 1_000_000, key("customers"), "%d is not from 1 to a million", p.Customers)
		want(p.Price > 0, key("price"), "%g is not above 0", p.Price)
		want(p.Rate > 0 && p.Burst > 0, key("rate"), "%g units a second and a burst of %g are no quota", p.Rate, p.Burst)
		share(key("over_worth"), p.OverWorth)
		want(p.OverCost >= 0, key("over_cost"), "%g is below 0", p.OverCost)
		want(p.Spread >= 1 && p.Spread <= s.Fleet.Gateways, key("spread"), "%d is not from 1 to the %d gateways", p.Spread, s.Fleet.Gateways)
		if p.CeilingRate != 0 || p.CeilingBurst != 0 {
			want(p.CeilingRate >= p.Rate && p.CeilingBurst >= p.Burst, key("ceiling_rate"), "the ceiling is lower than the quota")
			want(p.CeilingBurst >= 2*float64(p.Spread)*most, key("spread"), "%d gateways are too many for a ceiling_burst of %g and requests of up to %g units (burst / (2 x units) at most)",
				p.Spread, p.CeilingBurst, most)
			want(p.CeilingSlack >= most, key("ceiling_slack"), "%g is less than the largest request, %g", p.CeilingSlack, most)
		}
		total += p.RequestFraction
	}
	want(total > 0.999 && total < 1.001, "plan", "the shares are %g together, not 1", total)
}

func (s *Scenario) checkFaults(want func(bool, string, string, ...any), share func(string, float64)) {
	for i, f := range s.Faults {
		key := func(k string) string { return fmt.Sprintf("fault[%d].%s", i, k) }
		kind, known := FaultKinds[f.Kind]
		want(known, key("kind"), "%q is not known", f.Kind)
		if !known {
			continue
		}
		want(f.At >= 0 && f.At < s.Duration, key("at"), "%v is not within the %v of the scenario", f.At, s.Duration)
		want(f.Kind != "writer_killed" || s.Fleet.ListServices > 0, key("kind"), "there is no list service")
		want(f.For >= 0 && (f.For > 0 || f.Kind == "counter_empty"), key("for"), "%v is not above 0", f.For)
		share(key("part"), f.Fraction)
		if kind.IsLink {
			_, where, err := s.Link(&f)
			want(err == nil, key(where), "%v", err)
			want(f.Flap >= 0, key("flap"), "%v is below 0", f.Flap)
			want(f.Fraction == 0 && f.Zone == "", key("part"), "it takes neither part nor zone")
			continue
		}
		want(f.From == "" && f.To == "" && f.Direction == "" && f.Effect == "" && f.Delay == 0 && f.Jitter == 0 && (f.Flap == 0 || kind.NeedsFlap), key("from"), "it is no link")
		want(!kind.NeedsFlap || f.Flap >= Duration(100e6), key("flap"), "%v is under 100ms", f.Flap)
		want(f.Kind != "apart" || len(s.Fleet.Zones) > 1, key("kind"), "there is one zone")
		if f.Target != "" {
			who, err := s.ParseActor(f.Target)
			want(kind.AllowsTarget, key("who"), "it takes none")
			want(err == nil, key("who"), "%v", err)
			want(err != nil || who.Kind == Gateways || who.Kind == Registries, key("who"), "%q are neither gateways nor list services", f.Target)
			want(who.Kind != Registries || s.Fleet.KeepLists || f.Kind == "freeze", key("who"), "list services without keep_lists forget everything")
			want(f.Fraction == 0 && f.Zone == "" && f.Size == 0, key("part"), "it takes neither part, zone nor size beside who")
			continue
		}
		inZone := slices.Contains(s.Fleet.Zones, f.Zone)
		want(f.Zone == "" || inZone, key("zone"), "%q is not a zone of the fleet", f.Zone)
		switch {
		case kind.NeedsZone:
			want(inZone, key("zone"), "it needs one")
			want(len(s.Fleet.Zones) > 1, key("zone"), "there is no other zone")
			want(f.Fraction == 0, key("part"), "it takes none")
		case kind.ByPart:
			want((f.Fraction > 0) != inZone, key("part"), "it needs either a part or a zone")
		default:
			want(f.Fraction == 0 && f.Zone == "", key("part"), "it takes neither part nor zone")
		}
		switch {
		case kind.SizeMeaning == "":
			want(f.Size == 0, key("size"), "it takes none")
		case kind.SizeIsFraction:
			share(key("size"), f.Size)
			want(f.Size > 0, key("size"), "0 does nothing")
		default:
			want(f.Size > 0 && f.Size <= 10_000, key("size"), "%g is not from 0 to 10000", f.Size)
		}
	}
}

func isName(s string) bool {
	return s != "" && len(s) <= 32 && strings.Trim(s, "abcdefghijklmnopqrstuvwxyz0123456789-") == ""
}
