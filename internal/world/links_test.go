package world

import (
	"testing"
	"time"

	"dunlintray/internal/link"
	"dunlintray/internal/scenario"
)

// quietScenario returns a scenario with hardly any load, four gateways in two zones, three service
// registries, and the link faults given.
func quietScenario(t *testing.T, faults ...scenario.Fault) *scenario.Scenario {
	t.Helper()
	s := scenario.Default()
	s.Fleet.Gateways, s.Fleet.ListServices, s.Load.RequestsPerS, s.Duration = 4, 3, 1e-9, 60*second
	s.Network.PeerLoss, s.Network.PeerDelay = 0, 0
	for i := range faults {
		faults[i].Kind = "link"
	}
	s.Faults = faults
	if problems := s.Check(); len(problems) > 0 {
		t.Fatal(problems)
	}
	return &s
}

// runUntil runs an Emulator until a time. It records the conditions of relays, and returns the other
// actions on links and "set again" for each condition that is set again unchanged.
func runUntil(em *Emulator, until time.Duration, conditions map[relayDirection]link.Condition) (other []any) {
	for next, ok := em.Next(); ok && next <= until; next, ok = em.Next() {
		for _, a := range em.Step(next, Tick{}) {
			switch operation := a.Operation.(type) {
			case SetRelayCondition:
				if previous := conditions[relayDirection{operation.ProcessLink, operation.Direction}]; previous == operation.Condition {
					other = append(other, "set again")
				}
				conditions[relayDirection{operation.ProcessLink, operation.Direction}] = operation.Condition
			case SetLinkState, Deliver:
				other = append(other, operation)
			}
		}
	}
	return other
}

// Guards against link faults on other links, directions or times than theirs. Of two faults the
// later applies; a flapping one alternates.
func TestLinkFaultsApplyToNamedLinks(t *testing.T) {
	s := quietScenario(t,
		scenario.Fault{At: 1 * second, For: 10 * second, From: "lists", To: "list0", Effect: "dropped"},
		scenario.Fault{At: 2 * second, For: 4 * second, From: "gateways of b", To: "lists", Direction: "back", Effect: "slow", Size: 10},
		scenario.Fault{At: 3 * second, For: 1 * second, From: "n1", To: "list2", Effect: "stalled"},
		scenario.Fault{At: 20 * second, For: 2 * second, From: "backends", To: "list0", Direction: "there", Effect: "cut", Size: 5, Flap: second / 2},
		scenario.Fault{At: 2 * second, For: 1 * second, From: "operators", To: "n0", Effect: "refused"},
	)
	// n1 and n3, in zone b, have links to three service registries each; two followers, the backends
	// and the operators have one each.
	if links := RelayedLinks(s); len(links) != 2*3+2+1+1 {
		t.Errorf("relays on %v", links)
	}
	em := New(s)
	em.Begin(0)
	conditions := map[relayDirection]link.Condition{}
	registry := func(n int) Endpoint { return Endpoint{scenario.Registries, n} }
	gateway := func(n int) Endpoint { return Endpoint{scenario.Gateways, n} }
	backends := ProcessLink{Endpoint{scenario.Backends, 0}, registry(0)}
	for _, test := range []struct {
		at          time.Duration
		processLink ProcessLink
		direction   link.Direction
		want        link.Kind
	}{
		{900 * time.Millisecond, ProcessLink{registry(1), registry(0)}, link.Forward, ""},
		{1500 * time.Millisecond, ProcessLink{registry(1), registry(0)}, link.Forward, link.Dropped},
		{1500 * time.Millisecond, ProcessLink{registry(2), registry(0)}, link.Reverse, link.Dropped},
		{2500 * time.Millisecond, ProcessLink{gateway(1), registry(2)}, link.Reverse, link.Slow},
		{2500 * time.Millisecond, ProcessLink{Endpoint{scenario.Operators, 0}, gateway(0)}, link.Forward, link.Refused},
		{2500 * time.Millisecond, ProcessLink{Endpoint{scenario.Operators, 0}, gateway(1)}, link.Forward, ""},
		{2500 * time.Millisecond, ProcessLink{gateway(1), registry(2)}, link.Forward, ""},
		{2500 * time.Millisecond, ProcessLink{gateway(0), registry(2)}, link.Reverse, ""},
		{3500 * time.Millisecond, ProcessLink{gateway(1), registry(2)}, link.Reverse, link.Stalled},
		{3500 * time.Millisecond, ProcessLink{gateway(1), registry(2)}, link.Forward, link.Stalled},
		{3500 * time.Millisecond, ProcessLink{gateway(1), registry(1)}, link.Reverse, link.Slow},
		{4500 * time.Millisecond, ProcessLink{gateway(1), registry(2)}, link.Reverse, link.Slow},
		{4500 * time.Millisecond, ProcessLink{gateway(1), registry(2)}, link.Forward, link.Up},
		{7 * time.Second, ProcessLink{gateway(1), registry(2)}, link.Reverse, link.Up},
		{7 * time.Second, ProcessLink{registry(1), registry(0)}, link.Forward, link.Dropped},
		{12 * time.Second, ProcessLink{registry(1), registry(0)}, link.Forward, link.Up},
		{20200 * time.Millisecond, backends, link.Forward, link.Cut},
		{20200 * time.Millisecond, backends, link.Reverse, ""},
		{20700 * time.Millisecond, backends, link.Forward, link.Up},
		{21200 * time.Millisecond, backends, link.Forward, link.Cut},
		{30 * time.Second, backends, link.Forward, link.Up},
	} {
		if other := runUntil(em, test.at, conditions); len(other) > 0 {
			t.Errorf("%v: %v", test.at, other)
		}
		if got := conditions[relayDirection{test.processLink, test.direction}].Kind; got != test.want {
			t.Errorf("at %v, %v, direction %d: %q, want %q", test.at, test.processLink, test.direction, got, test.want)
		}
	}
	for at, condition := range conditions {
		if condition.Kind != link.Up {
			t.Errorf("%v is %v at the end", at, condition)
		}
	}
}

// Guards against faults on one direction between two gateways that affect the other, and on a
// gateway's links to backends and the counter that have no effect or outlast their end.
func TestFaultsOnGatewayLinks(t *testing.T) {
	em := New(quietScenario(t,
		scenario.Fault{At: 1 * second, For: 2 * second, From: "n0", To: "n1", Direction: "there", Effect: "dropped"},
		scenario.Fault{At: 4 * second, For: 1 * second, From: "n0", To: "n1", Direction: "back", Effect: "delayed", Delay: second / 2},
		scenario.Fault{At: 6 * second, For: 1 * second, From: "n2", To: "backends of a", Effect: "dropped"},
		scenario.Fault{At: 6 * second, For: 1 * second, From: "n2", To: "counter", Effect: "refused"},
	))
	em.Begin(0)
	conditions := map[relayDirection]link.Condition{}
	number := uint64(0)
	// transit sends a datagram and returns how long it took, or -1 if it was lost.
	transit := func(at time.Duration, from, to int) time.Duration {
		runUntil(em, at, conditions)
		number++
		actions := em.Step(at, Datagram{Number: number, From: from, To: to, Bytes: 100})
		for next, ok := em.Next(); ok && next < at+650*time.Millisecond; next, ok = em.Next() {
			actions = append(actions, em.Step(next, Tick{})...)
		}
		for _, a := range actions {
			if delivered, ok := a.Operation.(Deliver); ok && delivered.Number == number {
				return a.Due - at
			}
		}
		return -1
	}
	for _, test := range []struct {
		at                     time.Duration
		from, to               int
		minTransit, maxTransit time.Duration
	}{
		{500 * time.Millisecond, 0, 1, 0, 100 * time.Millisecond}, {1501 * time.Millisecond, 0, 1, -1, -1}, {2300 * time.Millisecond, 1, 0, 0, 100 * time.Millisecond},
		{4100 * time.Millisecond, 1, 0, 500 * time.Millisecond, 600 * time.Millisecond}, {4900 * time.Millisecond, 0, 1, 0, 100 * time.Millisecond},
	} {
		if took := transit(test.at, test.from, test.to); took < test.minTransit || took > test.maxTransit {
			t.Errorf("at %v from n%d to n%d: %v", test.at, test.from, test.to, took)
		}
	}
	links := map[gatewayLink]LinkState{}
	for _, operation := range runUntil(em, 6500*time.Millisecond, conditions) {
		if change, ok := operation.(SetLinkState); ok {
			links[gatewayLink{change.Gateway, change.Peer}] = change.State
		}
	}
	if len(links) != 4 || links[gatewayLink{2, 0}] != Silent || links[gatewayLink{2, 2}] != Silent || links[gatewayLink{2, 4}] != Silent || links[gatewayLink{2, Counter}] != Refusing {
		t.Errorf("%v", links)
	}
	for _, operation := range runUntil(em, 8*time.Second, conditions) {
		if change, ok := operation.(SetLinkState); ok {
			links[gatewayLink{change.Gateway, change.Peer}] = change.State
		}
	}
	for at, state := range links {
		if state != Up {
			t.Errorf("%v is %v at the end", at, state)
		}
	}
}
