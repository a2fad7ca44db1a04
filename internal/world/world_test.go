package world

import (
	"bytes"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dunlintray/internal/referee"
	"dunlintray/internal/scenario"
)

const second = scenario.Duration(time.Second)

// faultyScenario returns a scenario with all faults that test gateways handle, and without ceilings,
// which they do not enforce.
func faultyScenario(seed uint64) *scenario.Scenario {
	s := scenario.Default()
	s.Seed, s.Duration = seed, 12*second
	s.Fleet.ListServices = 0
	for i := range s.Plans {
		s.Plans[i].CeilingRate, s.Plans[i].CeilingBurst = 0, 0
	}
	s.Faults = []scenario.Fault{
		{Kind: "errors", At: 1 * second, For: 9 * second, Fraction: 0.3, Size: 0.3},
		{Kind: "replace", At: 2 * second, For: 2 * second, Fraction: 0.5},
		{Kind: "kill", At: 3 * second, For: second, Fraction: 0.3},
		{Kind: "vanish", At: 5 * second, For: 2 * second, Fraction: 0.2},
		{Kind: "spoilt", At: 5 * second, For: 5 * second, Fraction: 0.3, Size: 0.3},
		{Kind: "restart", At: 7 * second, For: 2 * second, Fraction: 0.5},
		{Kind: "resets", At: 8 * second, For: 3 * second, Fraction: 0.5, Size: 0.3},
		{Kind: "crash", At: 9 * second, For: 1 * second, Fraction: 0.2},
		{Kind: "cut", At: 10 * second, For: 1 * second, Zone: "b"},
		{Kind: "burst", At: 10 * second, For: 1 * second, Size: 1.5},
	}
	return &s
}

// Guards against a referee that reports violations of gateways that keep the rules.
func TestCorrectGatewaysBreakNoRule(t *testing.T) {
	for seed := range uint64(20) {
		h := runTestGateways(faultyScenario(seed), "")
		violations, counts := h.emulator.Referee.Violations()
		if len(counts) > 0 {
			t.Errorf("seed %d: %v\n%v", seed, counts, violations[0])
		}
		if !h.emulator.Done() || h.emulator.Tally.ServedFraction() < 0.5 {
			t.Errorf("seed %d: done %v, worth %.3f", seed, h.emulator.Done(), h.emulator.Tally.ServedFraction())
		}
	}
}

// Guards against false violations under randomly drawn faults.
func TestCorrectGatewaysBreakNoRuleUnderRandomFaults(t *testing.T) {
	for seed := range uint64(20) {
		s := faultyScenario(seed)
		s.Draw()
		h := runTestGateways(s, "")
		if violations, counts := h.emulator.Referee.Violations(); len(counts) > 0 || !h.emulator.Done() {
			t.Errorf("seed %d: done %v, %v\n%v\n%+v", seed, h.emulator.Done(), counts, violations, s.Faults)
		}
	}
}

// Guards against faults that affect other processes than those they name, or do not restore them.
func TestNamedProcessesAreFaultedAndRestored(t *testing.T) {
	s := scenario.Default()
	s.Fleet.ListServices, s.Load.RequestsPerS, s.Duration = 3, 1e-9, 20*second
	s.Faults = []scenario.Fault{{Kind: "gone", At: second, For: 2 * second, Target: "list1"}, {Kind: "kill", At: 2 * second, For: 2 * second, Target: "lists"},
		{Kind: "freeze", At: 6 * second, For: second, Target: "list0"}, {Kind: "gone", At: 8 * second, For: second, Target: "n2"}, {Kind: "kill", At: 10 * second, For: second, Target: "gateways of a"}}
	if problems := s.Check(); len(problems) > 0 {
		t.Fatal(problems)
	}
	em := New(&s)
	for g := range s.Fleet.Gateways {
		em.Step(0, Ready{g})
	}
	em.Begin(0)
	var got []string
	for next, ok := em.Next(); ok && next < 13*time.Second; next, ok = em.Next() {
		for _, a := range em.Step(next, Tick{}) {
			switch operation := a.Operation.(type) {
			case KillRegistry, StartRegistry, FreezeRegistry, ThawRegistry, Freeze, Start:
				got = append(got, fmt.Sprintf("%v %T %v", a.Due, operation, operation))
			case Kill:
				got = append(got, fmt.Sprintf("%v %T %v", a.Due, operation, operation))
				em.Step(next, Exited{operation.Gateway, "killed"})
			}
		}
	}
	want := `1s world.FreezeRegistry {1}
2s world.KillRegistry {0}
2s world.KillRegistry {2}
3s world.KillRegistry {1}
3s world.StartRegistry {1}
4s world.StartRegistry {0}
4s world.StartRegistry {2}
6s world.FreezeRegistry {0}
7s world.ThawRegistry {0}
8s world.Freeze {2}
9s world.Kill {2}
9.1s world.Start {2}
10s world.Kill {0}
11s world.Start {0}`
	if text := strings.Join(got, "\n"); text != want {
		t.Errorf("%s\nwant\n%s", text, want)
	}
}

// Guards against defects that the referee misses or reports as violations of unrelated rules.
func TestEachDefectBreaksItsRule(t *testing.T) {
	for defect, rule := range map[string]string{
		"never answers": referee.Answer, "invents answers": referee.Answer, "answers twice": referee.Twice, "sends twice": referee.Copy,
		"resends unsafely": referee.Resend, "refuses after execution": referee.Refusal, "exceeds attempts": referee.Most, "ignores drains": referee.Drain,
		"overloads cold backends": referee.Cold, "sends unknown requests": referee.Unknown, "changes requests": referee.Changed, "exits": referee.Crash,
		"ignores stop": referee.Stop, "closes unserved": referee.Door,
	} {
		s := faultyScenario(3)
		if defect == "exceeds attempts" {
			s.Faults[0].Size = 1
			s.Faults[0].Fraction = 1
		}
		h := runTestGateways(s, defect)
		violations, counts := h.emulator.Referee.Violations()
		if h.planted == 0 || counts[rule] == 0 {
			t.Errorf("%s: shown %d times, reported as %v, want %s", defect, h.planted, counts, rule)
			continue
		}
		for _, v := range violations {
			if v.Rule == rule && v.Request != 0 && (len(v.History) == 0 || !strings.Contains(v.String(), v.History[0])) {
				t.Errorf("%s: no history in %v", defect, v)
			}
		}
		// A defect may lead to violations of these rules too: two concurrent attempts may also be a
		// resend after a possible execution, and a missing answer may delay a stop.
		sideEffects := map[string][]string{"sends twice": {referee.Resend, referee.Most}, "sends unknown requests": {referee.Answer}, "ignores stop": {referee.Answer}, "never answers": {referee.Stop},
			"exceeds attempts": {referee.Resend}, "exits": {referee.Answer}}[defect]
		for other := range counts {
			if other != rule && !strings.Contains(strings.Join(sideEffects, " "), other) {
				t.Errorf("%s: also reported as %v", defect, counts)
			}
		}
	}
}

// Guards against rules that count as tried although the run gave no occasion to break them, or as
// not tried although it did.
func TestRuleCountsAsTriedOnlyWhenBreakable(t *testing.T) {
	untried := func(s *scenario.Scenario) []string {
		h := runTestGateways(s, "")
		if _, counts := h.emulator.Referee.Violations(); len(counts) > 0 {
			t.Errorf("broken: %v", counts)
		}
		return referee.Untried(h.emulator.Referee.Trials(), referee.Rules())
	}
	variant := func(change func(s *scenario.Scenario)) *scenario.Scenario {
		s := faultyScenario(3)
		s.Faults = nil
		change(s)
		return s
	}
	rules := []string{referee.Copy, referee.Resend, referee.Refusal, referee.Most, referee.Drain, referee.List, referee.Cold, referee.Ceiling, referee.Stop, referee.Peer, referee.Door}
	for name, test := range map[string]struct {
		s     *scenario.Scenario
		tries []string // beside answers, attempts and processes
	}{
		"quiet":  {variant(func(*scenario.Scenario) {}), nil},
		"faulty": {faultyScenario(3), []string{referee.Copy, referee.Resend, referee.Refusal, referee.Most, referee.Drain, referee.Stop}},
		"replaced": {variant(func(s *scenario.Scenario) {
			s.Faults = []scenario.Fault{{Kind: "replace", At: second, For: second, Fraction: 0.3}}
		}), []string{referee.Drain}},
		"restarted": {variant(func(s *scenario.Scenario) {
			s.Faults = []scenario.Fault{{Kind: "restart", At: second, For: second, Fraction: 1}}
		}), []string{referee.Stop}},
		"connection limit reached": {variant(func(s *scenario.Scenario) {
			s.Faults = []scenario.Fault{{Kind: "rude", At: second, For: second, Size: float64(s.Fleet.Sockets)}}
		}), []string{referee.Door}},
		"few idle clients": {variant(func(s *scenario.Scenario) {
			s.Faults = []scenario.Fault{{Kind: "rude", At: second, For: second, Size: 10}}
		}), nil},
		"cold": {variant(func(s *scenario.Scenario) {
			s.Backend.ColdFrom, s.Faults = 0.01, []scenario.Fault{{Kind: "crash", At: second, For: second, Fraction: 0.2}}
		}), []string{referee.Cold}},
	} {
		// Faults that slow or break attempts may try these rules too.
		possible := []string{referee.Copy, referee.Resend, referee.Refusal, referee.Most}
		untriedRules := untried(test.s)
		for _, rule := range rules {
			if tried := !slices.Contains(untriedRules, rule); tried != slices.Contains(test.tries, rule) && (name == "quiet" || !slices.Contains(possible, rule)) {
				t.Errorf("%s: %s tried: %v", name, rule, tried)
			}
		}
	}
}

// Guards against delivered lists that lack a registered change of their version or an earlier one.
// The change no longer counts once a later process has registered.
func TestDeliveredListsContainRegisteredChanges(t *testing.T) {
	const draining, started = 3, 5 * time.Second
	list := func(version int64, full bool, lifecycle Lifecycle, at time.Duration) ListDelivered {
		return ListDelivered{Gateway: 0, Version: version, Full: full, Entries: []Entry{{Backend: draining, Lifecycle: lifecycle, Started: at}}}
	}
	for name, test := range map[string]struct {
		events        []Event // version 7 drains the backend; the test registers that before or after these
		broken, tried bool
	}{
		"delivered":                 {[]Event{list(7, true, Draining, started)}, false, true},
		"delivered among changes":   {[]Event{list(6, true, Serving, started), list(8, false, Draining, started)}, false, true},
		"an older list":             {[]Event{list(6, true, Serving, started)}, false, false},
		"dropped":                   {[]Event{list(7, true, Serving, started)}, true, true},
		"dropped among changes":     {[]Event{list(6, true, Serving, started), ListDelivered{Version: 8}}, true, true},
		"gone from a full list":     {[]Event{list(6, true, Serving, started), ListDelivered{Version: 8, Full: true}}, false, true},
		"a later process delivered": {[]Event{list(9, true, Serving, 2*started)}, false, false},
	} {
		for _, early := range []bool{false, true} {
			s := faultyScenario(1)
			em := New(s)
			registered := Registered{Entry{Backend: draining, Lifecycle: Draining, Started: started}, 7}
			if early {
				em.Step(0, registered)
			}
			for _, e := range test.events {
				em.Step(0, e)
			}
			if !early {
				em.Step(0, registered)
			}
			_, counts := em.Referee.Violations()
			untried := referee.Untried(em.Referee.Trials(), []string{referee.List})
			if (counts[referee.List] > 0) != test.broken || (len(untried) == 0) != test.tried {
				t.Errorf("%s, registered first %v: broken %v, untried %v", name, early, counts, untried)
			}
		}
	}
}

// Guards against a customer over its ceiling that is not reported.
func TestExceededCeilingIsReported(t *testing.T) {
	s := faultyScenario(1)
	s.Faults = nil
	for i := range s.Plans {
		s.Plans[i].Rate, s.Plans[i].Burst = 1, 4
		s.Plans[i].CeilingRate, s.Plans[i].CeilingBurst, s.Plans[i].CeilingSlack = 1, 12, 2
	}
	h := runTestGateways(s, "")
	if _, counts := h.emulator.Referee.Violations(); counts[referee.Ceiling] == 0 || len(counts) != 1 {
		t.Errorf("reported as %v", counts)
	}
	if len(referee.Untried(h.emulator.Referee.Trials(), []string{"ceiling/up"})) > 0 || h.emulator.Referee.LowCustomers() == 0 {
		t.Errorf("tried: %v", h.emulator.Referee.Trials())
	}
}

// Guards against nondeterminism: the same seed gives the same results, to the byte.
func TestSameSeedGivesSameRun(t *testing.T) {
	text := func(seed uint64, defect string) string {
		h := runTestGateways(faultyScenario(seed), defect)
		var out bytes.Buffer
		if err := h.emulator.Tally.JSON(&out); err != nil {
			t.Fatal(err)
		}
		violations, _ := h.emulator.Referee.Violations()
		for _, v := range violations {
			out.WriteString(v.String())
		}
		return out.String()
	}
	for _, defect := range []string{"", "sends twice"} {
		if a, b := text(5, defect), text(5, defect); a != b {
			t.Errorf("%q: two runs differ:\n%s\n%s", defect, a, b)
		}
	}
	if text(5, "") == text(6, "") {
		t.Error("two seeds gave the same run")
	}
}

// Guards against an offered load that depends on the gateways' answers.
func TestArrivalsAreIndependentOfAnswers(t *testing.T) {
	arrivals := func(answers string) (all []Request) {
		s := faultyScenario(2)
		s.Load.Retries = 0
		em := New(s)
		for g := range s.Fleet.Gateways {
			em.Step(0, Ready{g})
		}
		collect := func(actions []Action) {
			for _, a := range actions {
				if send, ok := a.Operation.(Send); ok {
					send.Gateway = 0 // the load balancer's choice depends on the gateways' states
					all = append(all, send.Request)
					if answers != "" {
						em.Step(a.Due, Answered{ID: send.ID, Status: 503, Complete: true})
					}
				}
			}
		}
		collect(em.Begin(0))
		for next, ok := em.Next(); ok && !em.Done(); next, ok = em.Next() {
			collect(em.Step(next, Tick{}))
		}
		return all
	}
	unanswered, refused := arrivals(""), arrivals("refused")
	if len(unanswered) != len(refused) || len(unanswered) < 3000 {
		t.Fatalf("got %d and %d arrivals, want equal numbers of at least 3000", len(unanswered), len(refused))
	}
	for i := range unanswered {
		if unanswered[i] != refused[i] {
			t.Fatalf("arrival %d: %+v and %+v", i, unanswered[i], refused[i])
		}
	}
}

// Guards against a backend whose throughput does not follow its cores, warmth and load, or that
// does not reject requests when its queue is full.
func TestBackendThroughputFollowsCapacity(t *testing.T) {
	const work, duration, cores = 0.1, 10 * time.Second, 2
	// served keeps as many requests as concurrency says in progress at the backend.
	served := func(started time.Duration, concurrency int, overloadLoss float64) (done, rejected int) {
		s := scenario.Default()
		s.Backend.Cores, s.Backend.Slots, s.Backend.Queue, s.Backend.OverloadLoss = cores, 8, 8, overloadLoss
		s.Backend.ColdFrom, s.Backend.ColdDuration, s.Backend.ColdMultiple, s.Backend.Handshake = 0.25, 3600*second, 1000, 0
		s.Network.Delay, s.Network.CrossZone = 0, 0
		s.Fleet.Backends, s.Fleet.ListServices = 1, 0
		s.Duration, s.Load.RequestsPerS, s.Load.ShiftEvery = 3600*second, 1e-9, 0
		em := New(&s)
		em.Begin(0)
		em.backends[0].startedAt = started
		lastID := uint64(0)
		send := func(now time.Duration) []Action {
			lastID++
			em.clients.inProgress[lastID] = &clientRequest{clientOperation: &clientOperation{startedAt: now, workSeconds: work, worth: 1}, id: lastID, deadline: now + time.Hour}
			return append(em.Step(now, Opened{Conn(lastID), 0, 0}), em.Step(now, Arrived{Conn: Conn(lastID), ID: lastID, FirstByte: now, Class: s.Classes[0].Name, Unchanged: true})...)
		}
		var queue []Action
		for range concurrency {
			queue = append(queue, send(0)...)
		}
		for next, ok := em.Next(); ok && next < duration && rejected < 20; next, ok = em.Next() {
			queue = append(queue, em.Step(next, Tick{})...)
			for len(queue) > 0 {
				a := queue[0]
				queue = queue[1:]
				if reply, ok := a.Operation.(Reply); ok {
					if reply.Status == 200 {
						done++
					} else {
						rejected++
					}
					queue = append(queue, send(a.Due)...)
				}
			}
		}
		return done, rejected
	}
	full := cores * duration.Seconds() / work
	for _, test := range []struct {
		name         string
		started      time.Duration
		concurrency  int
		overloadLoss float64
		want         float64
	}{{"warm", -1, 2, 0, full}, {"one alone has one core", -1, 1, 0, full / 2}, {"cold", 0, 2, 0, full / 4}, {"overfull", -1, 8, 0.5, full / 2}} {
		if done, rejected := served(test.started, test.concurrency, test.overloadLoss); float64(done) < test.want*0.95 || float64(done) > test.want*1.03 || rejected > 0 {
			t.Errorf("%s: %d served, %d rejected, want %.0f served", test.name, done, rejected, test.want)
		}
	}
	if _, rejected := served(-1, 17, 0); rejected == 0 {
		t.Error("17 at once: none was rejected with 16 places")
	}
}

// Guards against bodies that do not survive a round trip, and changed bytes that go unnoticed.
func TestBodyRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := Body{Seed: rapid.Uint64().Draw(t, "seed"), Size: rapid.Int64Range(17, 20_000).Draw(t, "size")}
		text, err := io.ReadAll(body.Reader())
		if err != nil || int64(len(text)) != body.Size {
			t.Fatalf("%d bytes, %v", len(text), err)
		}
		if got, err := ReadBody(bytes.NewReader(text)); err != nil || got != body {
			t.Fatalf("%+v, %v", got, err)
		}
		at := rapid.IntRange(0, len(text)-1).Draw(t, "at")
		text[at] ^= 1
		if got, err := ReadBody(bytes.NewReader(text)); err == nil && got == body {
			t.Fatalf("a change of byte %d was not detected", at)
		}
	})
}

// Guards against a counter that serves calls out of order or beyond its queue, or keeps counts
// beyond their lifetime or its own loss.
func TestCounterQueuesAndForgets(t *testing.T) {
	s := scenario.Default()
	s.Fleet.ListServices, s.Duration, s.Load.RequestsPerS = 0, 60*second, 1e-9
	s.Counter.CallsPerS, s.Counter.Queue = 100, 5
	s.Faults = []scenario.Fault{{Kind: "counter_silent", At: 10 * second, For: second}}
	em := New(&s)
	em.Begin(0)
	em.Step(0, Opened{1, 0, Counter})
	call := func(at time.Duration, count int) (totals []float64, rejected int) {
		var actions []Action
		for range count {
			actions = append(actions, em.Step(at, Called{1, "a", 2, 5 * time.Second})...)
		}
		for next, ok := em.Next(); ok && next < at+time.Second; next, ok = em.Next() {
			actions = append(actions, em.Step(next, Tick{})...)
		}
		for _, a := range actions {
			if total, ok := a.Operation.(CounterReply); ok && total.Status == 200 {
				totals = append(totals, total.Total)
			} else if ok {
				rejected++
			}
		}
		return
	}
	if totals, rejected := call(0, 10); len(totals) < 4 || len(totals) > 6 || rejected != 10-len(totals) || totals[0] != 2 || totals[3] != 8 {
		t.Errorf("at once: %v, %d rejected", totals, rejected)
	}
	if totals, _ := call(4*time.Second, 1); len(totals) != 1 || totals[0] < 10 {
		t.Errorf("within the lifetime: %v", totals)
	}
	if totals, _ := call(6*time.Second, 1); len(totals) != 1 || totals[0] != 2 {
		t.Errorf("after the lifetime: %v", totals)
	}
	if totals, _ := call(10*time.Second+time.Millisecond, 1); len(totals) != 0 {
		t.Errorf("while silent: %v", totals)
	}
	em.Step(11*time.Second, Opened{2, 0, Counter})
	var totals []float64
	for _, a := range append(em.Step(11*time.Second, Called{2, "a", 2, 5 * time.Second}), em.Step(11500*time.Millisecond, Tick{})...) {
		if total, ok := a.Operation.(CounterReply); ok {
			totals = append(totals, total.Total)
		}
	}
	if len(totals) != 1 || totals[0] != 2 {
		t.Errorf("after the counter is back: %v", totals)
	}
}
