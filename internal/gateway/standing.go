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
	lookGap    = 500 * time.Millisecond // between two sights
	listSilent = 10 * time.Second       // without an answer of any list service; a watch takes 4 s
	callSilent = 3 * time.Second        // without an answer of the counter, though it was asked
	callRecent = 10 * time.Second       // in which it has to have been asked
	differsFor = 30 * time.Second       // views differ for seconds after each change, and longer only where they can't meet
)

// standing watches how the gateway stands in its fleet.
type standing struct {
	agent   *membership.Agent
	view    func() membership.View
	lists   func() time.Duration // since a list service's last answer; below 0: none; nil: there are none
	counter *contact
	began   time.Time

	differs time.Time // since when views have; of run

	mu      sync.Mutex
	machine *reach.Machine
}

// contact is with the counter: when a call last ended, and when one was answered,
// in nanoseconds of Unix time.
type contact struct{ asked, answered atomic.Int64 }

// note takes a call's end. A contact that nobody watches is nil.
func (c *contact) note(o rules.Outcome) {
	if c == nil {
		return
	}
	now := time.Now().UnixNano()
	c.asked.Store(now)
	if o == rules.Served {
		c.answered.Store(now)
	}
}

func (c *contact) state(now time.Time) reach.Contact {
	asked, answered := time.Unix(0, c.asked.Load()), time.Unix(0, c.answered.Load())
	switch {
	case now.Sub(asked) > callRecent:
		return reach.None
	case now.Sub(answered) > callSilent:
		return reach.Silent
	}
	return reach.Heard
}

func newStanding(a *membership.Agent, lists func() time.Duration, counter *contact, now time.Time) *standing {
	return &standing{agent: a, view: a.View, lists: lists, counter: counter, began: now, machine: reach.New(0)}
}

// run looks until ctx ends.
func (s *standing) run(ctx context.Context) {
	t := time.NewTicker(lookGap)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			s.see(now)
		}
	}
}

// see takes in what the gateway sees now.
func (s *standing) see(now time.Time) {
	v := s.view()
	if !v.On || v.Superseded {
		return // another process has its place, or takes it
	}
	sight := reach.Sight{Fleet: len(v.Members) - 1, Counter: s.counter.state(now)}
	switch {
	case v.Stats.Differing == 0:
		s.differs = time.Time{}
	case s.differs.IsZero():
		s.differs = now
	case now.Sub(s.differs) >= differsFor:
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
	if s.lists != nil {
		if sight.Lists = reach.Heard; s.lists() < 0 || s.lists() > listSilent {
			sight.Lists = reach.Silent
		}
	}
	s.mu.Lock()
	before, _, _ := s.machine.State()
	changed := s.machine.See(now.Sub(s.began), sight)
	state, _, why := s.machine.State()
	s.mu.Unlock()
	if changed {
		slog.Warn("standing", "state", state.String(), "before", before.String(), "why", why)
	}
}

// state is how the gateway stands, for how long, and why.
func (s *standing) state(now time.Time) (state reach.State, since time.Duration, why string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, since, why = s.machine.State()
	return state, now.Sub(s.began) - since, why
}
