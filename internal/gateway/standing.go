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
	observeInterval      = 500 * time.Millisecond // between two sights
	registrySilenceLimit = 10 * time.Second       // without an answer of any list service; a watch takes 4 s
	counterSilenceLimit  = 3 * time.Second        // without an answer of the counter, though it was asked
	counterCallWindow    = 10 * time.Second       // in which it has to have been asked
	viewDifferenceLimit  = 30 * time.Second       // views differ for seconds after each change, and longer only where they can't meet
)

// connectivity watches how the gateway stands in its fleet.
type connectivity struct {
	agent       *membership.Agent
	view        func() membership.View
	registryAge func() time.Duration // since a list service's last answer; below 0: none; nil: there are none
	counter     *counterContact
	startedAt   time.Time

	differingSince time.Time // since when views have; of run

	mu      sync.Mutex
	machine *reach.Machine
}

// counterContact is with the counter: when a call last ended, and when one was answered,
// in nanoseconds of Unix time.
type counterContact struct{ lastCall, lastAnswer atomic.Int64 }

// recordCall takes a call's end. A contact that nobody watches is nil.
func (c *counterContact) recordCall(o rules.Outcome) {
	if c == nil {
		return
	}
	now := time.Now().UnixNano()
	c.lastCall.Store(now)
	if o == rules.Served {
		c.lastAnswer.Store(now)
	}
}

func (c *counterContact) state(now time.Time) reach.Contact {
	asked, answered := time.Unix(0, c.lastCall.Load()), time.Unix(0, c.lastAnswer.Load())
	switch {
	case now.Sub(asked) > counterCallWindow:
		return reach.None
	case now.Sub(answered) > counterSilenceLimit:
		return reach.Silent
	}
	return reach.Heard
}

func newConnectivity(a *membership.Agent, lists func() time.Duration, counter *counterContact, now time.Time) *connectivity {
	return &connectivity{agent: a, view: a.View, registryAge: lists, counter: counter, startedAt: now, machine: reach.New(0)}
}

// run looks until ctx ends.
func (s *connectivity) run(ctx context.Context) {
	t := time.NewTicker(observeInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			s.observe(now)
		}
	}
}

// observe takes in what the gateway sees now.
func (s *connectivity) observe(now time.Time) {
	v := s.view()
	if !v.On || v.Superseded {
		return // another process has its place, or takes it
	}
	sight := reach.Sight{Fleet: len(v.Members) - 1, Counter: s.counter.state(now)}
	switch {
	case v.Stats.Differing == 0:
		s.differingSince = time.Time{}
	case s.differingSince.IsZero():
		s.differingSince = now
	case now.Sub(s.differingSince) >= viewDifferenceLimit:
		sight.Differing = int(v.Stats.Differing)
	}
	for _, m := range v.Members {
		if m.Number == v.Self || m.State == membership.Unknown || m.State == membership.Left {
			continue
		}
		sight.Heard++
		if m.State == membership.Alive { // a suspect does not answer, and is not reached
			sight.Present++
		}
	}
	if s.registryAge != nil {
		if sight.Lists = reach.Heard; s.registryAge() < 0 || s.registryAge() > registrySilenceLimit {
			sight.Lists = reach.Silent
		}
	}
	s.mu.Lock()
	before, _, _ := s.machine.State()
	changed := s.machine.See(now.Sub(s.startedAt), sight)
	state, _, why := s.machine.State()
	s.mu.Unlock()
	if changed {
		slog.Warn("standing", "state", state.String(), "before", before.String(), "why", why)
	}
}

// state is how the gateway stands, for how long, and why.
func (s *connectivity) state(now time.Time) (state reach.State, since time.Duration, why string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, since, why = s.machine.State()
	return state, now.Sub(s.startedAt) - since, why
}
