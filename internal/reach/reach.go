// Package reach tells whether a gateway stands with its fleet, by what it can and
// can't reach: other gateways, list services, the counter. It is pure. Nothing is
// safe only if what it says is true; it is for people, and for caution.
package reach

import (
	"fmt"
	"time"
)

// State is how a gateway stands.
type State int

// The states, each worse than the one before.
const (
	Whole   State = iota
	Divided       // it reaches some of what it should, or the lesser part of the others
	Alone         // it reaches nothing
)

func (s State) String() string { return [...]string{"whole", "divided", "alone"}[s] }

// Contact is with something that there may be one of.
type Contact int

// The contacts.
const (
	None Contact = iota // there is none, or it was not asked of late
	Heard
	Silent
)

// Sight is what a gateway sees at a moment.
type Sight struct {
	Fleet     int // other gateways that there are
	Heard     int // of these, that were heard in this life and have not left
	Present   int // of these, that answer
	Differing int // that hold another view
	Lists     Contact
	Counter   Contact
}

// judge is how a gateway stands by one sight alone.
func (s Sight) judge() (State, string) {
	switch {
	case s.Fleet > 0 && s.Present == 0 && s.Lists != Heard && s.Counter != Heard:
		return Alone, "reaches no other gateway, no list service and no counter"
	case s.Fleet > 0 && s.Present == 0:
		return Divided, fmt.Sprintf("reaches none of %d other gateways", s.Fleet)
	case 2*s.Present < s.Heard:
		return Divided, fmt.Sprintf("reaches %d of %d gateways that it has heard", s.Present, s.Heard)
	case s.Lists == Silent:
		return Divided, "hears no list service"
	case s.Differing > 0:
		return Divided, fmt.Sprintf("%d of %d gateways present hold another view", s.Differing, s.Present)
	}
	return Whole, fmt.Sprintf("reaches %d of %d gateways that it has heard", s.Present, s.Heard)
}

// How long a gateway has to have stood otherwise before it says so. A link that
// flaps faster swings nothing, and the way back is the longer.
const (
	WorseAfter  = 3 * time.Second
	BetterAfter = 6 * time.Second
)

// Machine holds how a gateway stands.
type Machine struct {
	state State
	since time.Duration
	why   string

	// Since when all sights were worse, or better, than the state; and the least of
	// that difference, with its reason.
	turn      int // 1: worse, -1: better, 0: neither
	turnSince time.Duration
	next      State
	nextWhy   string
}

// New returns a gateway's that has just begun, which stands whole until it has had
// the time to find out.
func New(now time.Duration) *Machine { return &Machine{since: now, why: "has begun"} }

// See takes a sight in, and says whether the state has changed by it.
func (m *Machine) See(now time.Duration, s Sight) (changed bool) {
	state, why := s.judge()
	if s.Counter == Silent {
		why += "; the counter is silent"
	}
	turn, after := 0, WorseAfter
	switch {
	case state > m.state:
		turn = 1
	case state < m.state:
		turn, after = -1, BetterAfter
	}
	switch {
	case turn == 0:
		m.why = why
		m.turn = 0
		return false
	case turn != m.turn:
		m.turn, m.turnSince, m.next, m.nextWhy = turn, now, state, why
	case turn > 0 && state <= m.next, turn < 0 && state >= m.next:
		m.next, m.nextWhy = state, why // no further than all of them say
	}
	if now-m.turnSince < after {
		return false
	}
	m.state, m.since, m.why, m.turn = m.next, now, m.nextWhy, 0
	return true
}

// State is how the gateway stands, since when, and why.
func (m *Machine) State() (state State, since time.Duration, why string) {
	return m.state, m.since, m.why
}
