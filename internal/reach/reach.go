// Package reach derives the partition state of a gateway from what it can reach: other gateways,
// service registries and the counter. The state is for operators and for precautions; correctness
// must not depend on it.
package reach

import (
	"fmt"
	"time"
)

// State is the partition state of a gateway.
type State int

// The partition states, from best to worst.
const (
	Connected   State = iota
	Partitioned       // some gateways or services are unreachable, or membership views differ
	Isolated          // nothing is reachable
)

// String returns the name of the state on the wire and in logs.
func (s State) String() string { return [...]string{"whole", "divided", "alone"}[s] }

// Contact is the reachability of a service.
type Contact int

// The values of Contact.
const (
	Unknown   Contact = iota // not configured, or not called recently
	Answering                // has answered recently
	Silent                   // has been called and has not answered recently
)

// Observation is what a gateway can reach at one time.
type Observation struct {
	OtherGateways int     // gateways of the fleet without this one
	Known         int     // other gateways that membership knows and that have not left
	Present       int     // known gateways that answer
	Differing     int     // present gateways with a different membership view
	Registries    Contact // service registries
	Counter       Contact
}

// classify returns the state and its reason for a single observation.
func (o Observation) classify() (State, string) {
	switch {
	case o.OtherGateways > 0 && o.Present == 0 && o.Registries != Answering && o.Counter != Answering:
		return Isolated, "reaches no other gateway, no list service and no counter"
	case o.OtherGateways > 0 && o.Present == 0:
		return Partitioned, fmt.Sprintf("reaches none of %d other gateways", o.OtherGateways)
	case 2*o.Present < o.Known:
		return Partitioned, fmt.Sprintf("reaches %d of %d gateways that it has heard", o.Present, o.Known)
	case o.Registries == Silent:
		return Partitioned, "hears no list service"
	case o.Differing > 0:
		return Partitioned, fmt.Sprintf("%d of %d gateways present hold another view", o.Differing, o.Present)
	}
	return Connected, fmt.Sprintf("reaches %d of %d gateways that it has heard", o.Present, o.Known)
}

// Delays before a change of state, during which all observations must be worse (DegradeDelay) or
// better (RecoverDelay) than the state. They keep a flapping link from changing it.
const (
	DegradeDelay = 3 * time.Second
	RecoverDelay = 6 * time.Second
)

// Machine is the partition state of a gateway, with hysteresis. It is not safe for concurrent use.
type Machine struct {
	state  State
	since  time.Duration
	reason string

	direction       int           // of the latest observations against state; 1: worse, -1: better, 0: equal
	directionSince  time.Duration // all observations since then have this direction
	candidate       State         // the one among them that is closest to state
	candidateReason string
}

// New returns a Machine that is Connected since now.
func New(now time.Duration) *Machine { return &Machine{since: now, reason: "has begun"} }

// Observe adds an observation and reports whether the state has changed.
func (m *Machine) Observe(now time.Duration, observation Observation) (changed bool) {
	state, reason := observation.classify()
	if observation.Counter == Silent {
		reason += "; the counter is silent"
	}
	direction, delay := 0, DegradeDelay
	switch {
	case state > m.state:
		direction = 1
	case state < m.state:
		direction, delay = -1, RecoverDelay
	}
	switch {
	case direction == 0:
		m.reason = reason
		m.direction = 0
		return false
	case direction != m.direction:
		m.direction, m.directionSince, m.candidate, m.candidateReason = direction, now, state, reason
	case direction > 0 && state <= m.candidate, direction < 0 && state >= m.candidate:
		m.candidate, m.candidateReason = state, reason
	}
	if now-m.directionSince < delay {
		return false
	}
	m.state, m.since, m.reason, m.direction = m.candidate, now, m.candidateReason, 0
	return true
}

// State returns the state, the time of its latest change and its reason.
func (m *Machine) State() (state State, since time.Duration, reason string) {
	return m.state, m.since, m.reason
}
