package scenario

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"dunlintray/internal/link"
)

// ActorKind is a kind of process at an end of a link.
type ActorKind int

// The kinds.
const (
	Gateways ActorKind = iota
	Registries
	Backends
	CounterActor
	Operators // callers of the gateways' control addresses
)

// Actor names the processes at one end of links: one of a kind, all of a zone, or all.
type Actor struct {
	Kind   ActorKind
	Number int // -1: all
	Zone   int // -1: all
}

// actorNames has for each kind the name of all, and the prefix of the number of one.
var actorNames = map[ActorKind][2]string{Gateways: {"gateways", "n"}, Registries: {"lists", "list"}, Backends: {"backends", "b-"}, CounterActor: {"counter", ""}, Operators: {"operators", ""}}

// ParseActor parses the name of an actor: gateways, n3, "gateways of b" (a zone),
// lists, list0, backends, b-7, "backends of b", counter, operators.
func (s *Scenario) ParseActor(text string) (Actor, error) {
	name, zone, inZone := strings.Cut(text, " of ")
	for kind, names := range actorNames {
		number, one := strings.CutPrefix(name, names[1])
		n, err := strconv.Atoi(number)
		switch {
		case name == names[0] && inZone:
			at := slices.Index(s.Fleet.Zones, zone)
			if at < 0 || kind != Gateways && kind != Backends {
				return Actor{}, fmt.Errorf("%q: there is no zone %q of %s", text, zone, name)
			}
			return Actor{kind, -1, at}, nil
		case name == names[0]:
			return Actor{kind, -1, -1}, nil
		case one && names[1] != "" && err == nil && !inZone:
			most := map[ActorKind]int{Gateways: s.Fleet.Gateways, Registries: s.Fleet.ListServices, Backends: s.Fleet.Backends}[kind]
			if n < 0 || n >= most {
				return Actor{}, fmt.Errorf("%q: there are %d", text, most)
			}
			return Actor{kind, n, -1}, nil
		}
	}
	return Actor{}, fmt.Errorf("%q is not gateways, lists, backends, counter, operators, n1, list1, b-1, or of a zone", text)
}

// LinkFault is a link's fault as it is read.
type LinkFault struct {
	From, To          Actor
	Forward, Backward bool
	Effect            link.Condition
}

// onLinks are the links that a play stands on, and what each can do.
var onLinks = map[[2]ActorKind][]link.Kind{
	{Gateways, Gateways}:     link.DatagramKinds,
	{Gateways, Registries}:   link.Kinds,
	{Operators, Gateways}:    link.Kinds,
	{Registries, Registries}: link.Kinds,
	{Backends, Registries}:   link.Kinds,
	{Gateways, Backends}:     {link.Dropped, link.Refused},
	{Gateways, CounterActor}: {link.Dropped, link.Refused},
}

// Link reads the fault of a link.
func (s *Scenario) Link(f *Fault) (l LinkFault, key string, err error) {
	if l.From, err = s.ParseActor(f.From); err != nil {
		return l, "from", err
	}
	if l.To, err = s.ParseActor(f.To); err != nil {
		return l, "to", err
	}
	l.Forward, l.Backward = f.Direction != "back", f.Direction != "there"
	l.Effect = link.Condition{Kind: link.Kind(f.Effect), Delay: f.Delay.Std(), Jitter: f.Jitter.Std()}
	if slices.Contains(link.Kinds, l.Effect.Kind) {
		l.Effect.Bytes = int64(f.Size)
	} else {
		l.Effect.Fraction = f.Size
	}
	can := onLinks[[2]ActorKind{l.From.Kind, l.To.Kind}]
	switch {
	case !slices.Contains([]string{"", "there", "back", "both"}, f.Direction):
		return l, "way", fmt.Errorf("%q is not there, back or both", f.Direction)
	case can == nil:
		return l, "to", fmt.Errorf("%s does not connect to %s", f.From, f.To)
	case !slices.Contains(can, l.Effect.Kind):
		return l, "how", fmt.Errorf("%q is not one of %v, which a play can do to this link", f.Effect, can)
	case l.To.Kind != Gateways && l.To.Kind != Registries && l.Forward != l.Backward:
		return l, "way", fmt.Errorf("this link fails both ways only")
	case l.From.Kind == Backends && l.From != Actor{Backends, -1, -1}:
		return l, "from", fmt.Errorf("one emulated registrar speaks for all backends")
	case s.Fleet.Group && l.From.Kind == Registries:
	case l.From.Kind == Registries && l.From.Number == 0:
		return l, "from", fmt.Errorf("the writer connects to no other list service")
	case l.From.Kind != Gateways && l.To.Kind == Registries && l.To.Number > 0:
		return l, "to", fmt.Errorf("only the writer, list0, is called by them")
	}
	return l, "how", l.Effect.Check()
}
