package gateway

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"dunlintray/internal/membership"
	"dunlintray/internal/reach"
	"dunlintray/rules"
)

const (
	observeInterval      = 500 * time.Millisecond
	registrySilenceLimit = 10 * time.Second // without an answer of any service registry; a watch takes 4 s
	counterSilenceLimit  = 3 * time.Second  // without an answer of the counter, if it was called within counterCallWindow
	counterCallWindow    = 10 * time.Second
	viewDifferenceLimit  = 30 * time.Second // views differ for some seconds after each change, and longer only if they cannot meet
)

// connectivity observes whether the gateway reaches the other gateways, the service registries and
// the counter.
type connectivity struct {
	agent       *membership.Agent
	view        func() membership.View
	registryAge func() time.Duration // since the last answer of a service registry; negative: none so far; nil: no registries
	counter     *counterContact
	startedAt   time.Time

	differingSince time.Time // zero: membership views agree; owned by run

	mu      sync.Mutex
	machine *reach.Machine
}

// counterContact records when a call of the counter last ended, and when the counter last answered
// one, in nanoseconds of Unix time.
type counterContact struct{ lastCall, lastAnswer atomic.Int64 }

// recordCall records the end of a call. It does nothing if c is nil.
func (c *counterContact) recordCall(outcome rules.Outcome) {
	if c == nil {
		return
	}
	now := time.Now().UnixNano()
	c.lastCall.Store(now)
	if outcome == rules.Served {
		c.lastAnswer.Store(now)
	}
}

// state reports whether the counter answers, or Unknown if no call has ended within
// counterCallWindow.
func (c *counterContact) state(now time.Time) reach.Contact {
	lastCall, lastAnswer := time.Unix(0, c.lastCall.Load()), time.Unix(0, c.lastAnswer.Load())
	switch {
	case now.Sub(lastCall) > counterCallWindow:
		return reach.Unknown
	case now.Sub(lastAnswer) > counterSilenceLimit:
		return reach.Silent
	}
	return reach.Answering
}

func newConnectivity(agent *membership.Agent, registryAge func() time.Duration, counter *counterContact, now time.Time) *connectivity {
	return &connectivity{agent: agent, view: agent.View, registryAge: registryAge, counter: counter, startedAt: now, machine: reach.New(0)}
}

// run observes at each observeInterval until ctx ends.
func (c *connectivity) run(ctx context.Context) {
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			c.observe(now)
		}
	}
}

// observe updates the partition state from the current membership view and the ages of the last
// answers, and logs a change of state.
func (c *connectivity) observe(now time.Time) {
	view := c.view()
	if !view.Active || view.Superseded {
		return // a sibling process takes part in its place
	}
	observation := reach.Observation{OtherGateways: len(view.Members) - 1, Counter: c.counter.state(now)}
	switch {
	case view.Stats.Differing == 0:
		c.differingSince = time.Time{}
	case c.differingSince.IsZero():
		c.differingSince = now
	case now.Sub(c.differingSince) >= viewDifferenceLimit:
		observation.Differing = int(view.Stats.Differing)
	}
	for _, member := range view.Members {
		if member.Number == view.Self || member.State == membership.Unknown || member.State == membership.Left {
			continue
		}
		observation.Known++
		if member.State == membership.Alive { // a suspect does not answer
			observation.Present++
		}
	}
	if c.registryAge != nil {
		if observation.Registries = reach.Answering; c.registryAge() < 0 || c.registryAge() > registrySilenceLimit {
			observation.Registries = reach.Silent
		}
	}
	c.mu.Lock()
	previous, _, _ := c.machine.State()
	changed := c.machine.Observe(now.Sub(c.startedAt), observation)
	state, _, reason := c.machine.State()
	c.mu.Unlock()
	if changed {
		slog.Warn("standing", "state", state.String(), "before", previous.String(), "why", reason)
	}
}

// state returns the partition state, how long it has lasted, and its reason.
func (c *connectivity) state(now time.Time) (state reach.State, since time.Duration, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state, since, reason = c.machine.State()
	return state, now.Sub(c.startedAt) - since, reason
}
