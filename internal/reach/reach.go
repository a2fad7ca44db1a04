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
	Connected   State = iota
	Partitioned       // it reaches some of what it should, or the lesser part of the others
	Isolated          // it reaches nothing
)

func (s State) String() string { return [...]string{"whole", "divided", "alone"}[s] }

// Contact is with something that there may be one of.
type Contact int

// The contacts.
const (
	Unknown Contact = iota // there is none, or it was not asked of late
	Answering
	Silent
)

// Observation is what a gateway sees at a moment.
type Observation struct {
	OtherGateways int // other gateways that there are
	Known         int // of these, that were heard in this life and have not left
	Present       int // of these, that answer
	Differing     int // that hold another view
	Registries    Contact
	Counter       Contact
}

// classify is how a gateway stands by one sight alone.
func (s Observation) classify() (State, string) {
	switch {
	case s.OtherGateways > 0 && s.Present == 0 && s.Registries != Answering && s.Counter != Answering:
		return Isolated, "reaches no other gateway, no list service and no counter"
	case s.OtherGateways > 0 && s.Present == 0:
		return Partitioned, fmt.Sprintf("reaches none of %d other gateways", s.OtherGateways)
	case 2*s.Present < s.Known:
		return Partitioned, fmt.Sprintf("reaches %d of %d gateways that it has heard", s.Present, s.Known)
	case s.Registries == Silent:
		return Partitioned, "hears no list service"
	case s.Differing > 0:
		return Partitioned, fmt.Sprintf("%d of %d gateways present hold another view", s.Differing, s.Present)
	}
	return Connected, fmt.Sprintf("reaches %d of %d gateways that it has heard", s.Present, s.Known)
}

// How long a gateway has to have stood otherwise before it says so. A link that
// flaps faster swings nothing, and the way back is the longer.
const (
	DegradeDelay = 3 * time.Second
	RecoverDelay = 6 * time.Second
)

// Machine holds how a gateway stands.
type Machine struct {
	state  State
	since  time.Duration
	reason string

	// Since when all sights were worse, or better, than the state; and the least of
	// that difference, with its reason.
	direction       int // 1: worse, -1: better, 0: neither
	directionSince  time.Duration
	candidate       State
	candidateReason string
}

// New returns a gateway's that has just begun, which stands whole until it has had
// the time to find out.
func New(now time.Duration) *Machine { return &Machine{since: now, reason: "has begun"} }

// Observe takes a sight in, and says whether the state has changed by it.
func (m *Machine) Observe(now time.Duration, s Observation) (changed bool) {
	state, why := s.classify()
	if s.Counter == Silent {
		why += "; the counter is silent"
	}
	turn, after := 0, DegradeDelay
	switch {
	case state > m.state:
		turn = 1
	case state < m.state:
		turn, after = -1, RecoverDelay
	}
	switch {
	case turn == 0:
		m.reason = why
		m.direction = 0
		return false
	case turn != m.direction:
		m.direction, m.directionSince, m.candidate, m.candidateReason = turn, now, state, why
	case turn > 0 && state <= m.candidate, turn < 0 && state >= m.candidate:
		m.candidate, m.candidateReason = state, why // no further than all of them say
	}
	if now-m.directionSince < after {
		return false
	}
	m.state, m.since, m.reason, m.direction = m.candidate, now, m.candidateReason, 0
	return true
}

// State is how the gateway stands, since when, and why.
func (m *Machine) State() (state State, since time.Duration, why string) {
	return m.state, m.since, m.reason
}
