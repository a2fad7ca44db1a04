package scenario

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"dunlintray/internal/link"
)

// ActorKind is the kind of a process at an end of a link.
type ActorKind int

// The kinds of actors.
const (
	Gateways ActorKind = iota
	Registries
	Backends
	CounterActor
	Operators // callers of the gateways' control addresses
)

// Actor selects the processes at one end of links: one of a kind, those in a zone, or all.
type Actor struct {
	Kind   ActorKind
	Number int // -1: all
	Zone   int // -1: all
}

// actorNames holds the name of all actors of a kind, and the prefix of the number of one.
var actorNames = map[ActorKind][2]string{Gateways: {"gateways", "n"}, Registries: {"lists", "list"}, Backends: {"backends", "b-"}, CounterActor: {"counter", ""}, Operators: {"operators", ""}}

// ParseActor parses the name of an actor: gateways, n3, "gateways of b" (a zone),
// lists, list0, backends, b-7, "backends of b", counter, operators.
func (s *Scenario) ParseActor(text string) (Actor, error) {
	name, zone, inZone := strings.Cut(text, " of ")
	for kind, names := range actorNames {
		suffix, hasPrefix := strings.CutPrefix(name, names[1])
		number, err := strconv.Atoi(suffix)
		switch {
		case name == names[0] && inZone:
			zoneIndex := slices.Index(s.Fleet.Zones, zone)
			if zoneIndex < 0 || kind != Gateways && kind != Backends {
				return Actor{}, fmt.Errorf("%q: there is no zone %q of %s", text, zone, name)
			}
			return Actor{kind, -1, zoneIndex}, nil
		case name == names[0]:
			return Actor{kind, -1, -1}, nil
		case hasPrefix && names[1] != "" && err == nil && !inZone:
			count := map[ActorKind]int{Gateways: s.Fleet.Gateways, Registries: s.Fleet.ListServices, Backends: s.Fleet.Backends}[kind]
			if number < 0 || number >= count {
				return Actor{}, fmt.Errorf("%q: the fleet has %d, numbered from 0", text, count)
			}
			return Actor{kind, number, -1}, nil
		}
	}
	return Actor{}, fmt.Errorf("%q is not gateways, lists, backends, counter, operators, n1, list1, b-1, or of a zone", text)
}

// LinkFault is the parsed form of a link fault. Forward and Backward are the directions that it
// affects, seen from the actor that connects.
type LinkFault struct {
	From, To          Actor
	Forward, Backward bool
	Condition         link.Condition
}

// linkFaultKinds holds the links that a run emulates, and the faults that each supports.
var linkFaultKinds = map[[2]ActorKind][]link.Kind{
	{Gateways, Gateways}:     link.DatagramKinds,
	{Gateways, Registries}:   link.Kinds,
	{Operators, Gateways}:    link.Kinds,
	{Registries, Registries}: link.Kinds,
	{Backends, Registries}:   link.Kinds,
	{Gateways, Backends}:     {link.Dropped, link.Refused},
	{Gateways, CounterActor}: {link.Dropped, link.Refused},
}

// Link parses a link fault. If the fault is invalid, key is the TOML key of the invalid value.
func (s *Scenario) Link(fault *Fault) (parsed LinkFault, key string, err error) {
	if parsed.From, err = s.ParseActor(fault.From); err != nil {
		return parsed, "from", err
	}
	if parsed.To, err = s.ParseActor(fault.To); err != nil {
		return parsed, "to", err
	}
	parsed.Forward, parsed.Backward = fault.Direction != "back", fault.Direction != "there"
	parsed.Condition = link.Condition{Kind: link.Kind(fault.Effect), Delay: fault.Delay.Std(), Jitter: fault.Jitter.Std()}
	if slices.Contains(link.Kinds, parsed.Condition.Kind) {
		parsed.Condition.Bytes = int64(fault.Size)
	} else {
		parsed.Condition.Fraction = fault.Size
	}
	supported := linkFaultKinds[[2]ActorKind{parsed.From.Kind, parsed.To.Kind}]
	switch {
	case !slices.Contains([]string{"", "there", "back", "both"}, fault.Direction):
		return parsed, "way", fmt.Errorf("%q is not there, back or both", fault.Direction)
	case supported == nil:
		return parsed, "to", fmt.Errorf("%s does not connect to %s", fault.From, fault.To)
	case !slices.Contains(supported, parsed.Condition.Kind):
		return parsed, "how", fmt.Errorf("%q is not one of %v, which a play can do to this link", fault.Effect, supported)
	case parsed.To.Kind != Gateways && parsed.To.Kind != Registries && parsed.Forward != parsed.Backward:
		return parsed, "way", fmt.Errorf("this link fails both ways only, not %q", fault.Direction)
	case parsed.From.Kind == Backends && parsed.From != Actor{Backends, -1, -1}:
		return parsed, "from", fmt.Errorf("one emulated registrar connects for all backends, not for %q alone", fault.From)
	case s.Fleet.Group && parsed.From.Kind == Registries:
	case parsed.From.Kind == Registries && parsed.From.Number == 0:
		return parsed, "from", fmt.Errorf("the writer connects to no other list service")
	case parsed.From.Kind != Gateways && parsed.To.Kind == Registries && parsed.To.Number > 0:
		return parsed, "to", fmt.Errorf("only the writer, list0, is called by them")
	}
	return parsed, "how", parsed.Condition.Check()
}
