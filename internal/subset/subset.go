// Package subset chooses which instances of a service one member of a fleet uses.
//
// Each member ranks the instances by rendezvous hashing (highest random weight) of its
// own name and theirs, and uses the first K of them. The ranking of a pair never
// changes, so a member that comes or goes moves nothing for the others, and an instance
// that comes or goes concerns only the members that have it among their first K.
//
// The package is pure: news of the list and the time go in, news for the user of the
// subset come out. It opens nothing, and its caller owns a Selector alone.
package subset

import (
	"time"

	"dunlintray/internal/registry"
)

// Linger is how long an instance that has left the subset stays known as Terminating
// before it is announced as Gone. Its user keeps what it has learnt of it meanwhile (latency,
// failures), so that a change that is taken back soon does not make it a new instance.
const Linger = 30 * time.Second

// Selector keeps the subsets of one member, one for each service. The zero Settings make
// it pass everything through.
type Selector struct {
	member   string
	settings Settings
	version  int64 // of the list

	candidates []candidate
	free       []slot
	index      map[string]slot
	placements map[placement]*sharedPlacement
	groups     map[string]*group

	touched   []slot                 // whose change has not been announced yet
	leaving   []departure            // in the order of their times
	leavingBy map[slot]time.Duration // of those that still leave
	health    health
	scratch   []byte // for hashing
	work      work
}

// work counts what choosing costs.
type work struct{ hashes, comparisons int }

// departure is the moment at which an instance that has left the subset is announced as Gone,
// unless it has come back, or left anew for a later moment.
type departure struct {
	at slot
	by time.Duration
}

// New returns the selector of a member. The member's name has to be the same after a
// restart, and another for each member; the settings have passed Check.
func New(member string, settings Settings) *Selector {
	return &Selector{member: member, settings: settings, index: map[string]slot{}, leavingBy: map[slot]time.Duration{},
		placements: map[placement]*sharedPlacement{}, groups: map[string]*group{}}
}

// Apply takes news of the list in and returns what of it concerns the subset. An
// instance that enters the subset comes as it stands; one that leaves it while the list
// still has it is Terminating first and Gone after Linger. What the list says of members
// of the subset passes at once.
func (s *Selector) Apply(now time.Duration, news registry.Listing) registry.Listing {
	if !s.settings.Enabled() {
		return news
	}
	s.version = news.Generation
	out := registry.Listing{Generation: news.Generation, Reset: news.Reset}
	if news.Reset {
		s.retain(news.Instances)
	}
	for _, instance := range news.Instances {
		if instance.Lifecycle == registry.Gone {
			out.Instances = s.remove(instance, out.Instances)
			continue
		}
		s.update(instance)
	}
	s.fit()
	out.Instances = s.notify(now, out.Instances)
	if news.Reset {
		out.Instances = s.all(news.Instances)
	}
	return out
}

// Resize takes other settings, and returns what changes with them. It can't switch a
// selector on or off.
func (s *Selector) Resize(now time.Duration, settings Settings) registry.Listing {
	if !s.settings.Enabled() || !settings.Enabled() {
		return registry.Listing{}
	}
	s.settings = settings
	s.fit()
	return registry.Listing{Generation: s.version, Instances: s.notify(now, nil)}
}

// Report tells how many instances are usable now: those announced as Ready less those that
// their user avoids by its own experience. It widens subsets that are sick and narrows
// them again, and returns what changes by that and by the passing of time. Services are
// judged together, since their user counts them together.
func (s *Selector) Report(now time.Duration, usable int) registry.Listing {
	if !s.settings.Enabled() {
		return registry.Listing{}
	}
	if s.health.see(now, usable, s.extent()) {
		s.fit()
	}
	return registry.Listing{Generation: s.version, Instances: s.notify(now, nil)}
}

// Listed tells whether the list has an instance, in the subset or not.
func (s *Selector) Listed(id string) bool {
	_, listed := s.index[id]
	return listed
}

// Stats describe the subsets of all services together.
type Stats struct {
	Candidates int // instances that the list has
	Size       int // instances to be used, K
	Chosen     int // instances that are used; fewer than Size where not enough are Ready
	Widened    int // times that Size is doubled now
}

// Stats returns what the subsets are now.
func (s *Selector) Stats() Stats {
	stats := Stats{Candidates: len(s.index), Widened: s.health.width}
	for _, g := range s.groups {
		stats.Size += s.size(g, s.health.width)
		stats.Chosen += len(g.chosen.slots)
	}
	return stats
}

// extent is that of the subsets of all services together.
func (s *Selector) extent() (e extent) {
	for _, g := range s.groups {
		e.base += s.size(g, 0)
		e.size += s.size(g, s.health.width)
		e.narrower += s.size(g, max(s.health.width-1, 0))
		e.more = e.more || len(g.waiting.slots) > 0
	}
	return e
}

// size is how many instances the subset of a service should have at a width.
func (s *Selector) size(g *group, width int) int {
	size := s.settings.size(g.listed)
	for range width {
		if size >= g.listed {
			break
		}
		size *= 2
	}
	return min(size, g.listed)
}

// retain removes what a whole list no longer has.
func (s *Selector) retain(instances []registry.Instance) {
	if len(s.index) == 0 {
		s.index = make(map[string]slot, len(instances))
		s.candidates = make([]candidate, 0, len(instances))
		s.free = nil
		return
	}
	listed := make(map[string]struct{}, len(instances))
	for _, instance := range instances {
		listed[instance.ID] = struct{}{}
	}
	for id, at := range s.index {
		if _, still := listed[id]; !still {
			s.release(at)
		}
	}
}

// update takes an instance in that is listed.
func (s *Selector) update(instance registry.Instance) {
	at, known := s.index[instance.ID]
	if known {
		s.leave(at) // its service or lifecycle may be another now
	} else {
		at = s.admit(instance.ID)
	}
	c := &s.candidates[at]
	s.record(c, instance)
	c.changed = true
	g := s.groupOf(c)
	g.listed++
	if instance.Lifecycle == registry.Ready {
		s.enter(g, at)
	}
	s.touch(at)
}

// remove takes out an instance that the list tells as Gone, and adds that to the news
// if it was announced before.
func (s *Selector) remove(instance registry.Instance, news []registry.Instance) []registry.Instance {
	at, known := s.index[instance.ID]
	if !known {
		return news
	}
	if s.candidates[at].notified != notNotified {
		news = append(news, instance)
	}
	s.release(at)
	return news
}

// fit brings the subset of each service to its size.
func (s *Selector) fit() {
	for service, g := range s.groups {
		if g.listed == 0 {
			delete(s.groups, service)
			continue
		}
		size := s.size(g, s.health.width)
		for len(g.chosen.slots) > size {
			s.move(&g.chosen, &g.waiting)
		}
		for len(g.chosen.slots) < size && len(g.waiting.slots) > 0 {
			s.move(&g.waiting, &g.chosen)
		}
	}
}

// move puts the first of one ranking into the other.
func (s *Selector) move(from, to *ranking) {
	at := from.slots[0]
	s.take(from, at)
	s.put(to, at)
	s.touch(at)
}

func (s *Selector) touch(at slot) {
	if c := &s.candidates[at]; !c.touched {
		c.touched = true
		s.touched = append(s.touched, at)
	}
}

// notify adds to the news what has changed for the user of the subset, and who has
// lingered for long enough.
func (s *Selector) notify(now time.Duration, news []registry.Instance) []registry.Instance {
	for _, at := range s.touched {
		c := &s.candidates[at]
		if !c.touched {
			continue // released meanwhile
		}
		if s.settle(now, at) {
			news = append(news, s.notice(c))
		}
		c.touched, c.changed = false, false
	}
	s.touched = s.touched[:0]
	return s.expire(now, news)
}

// settle brings what is announced of a candidate to what it is now. It returns whether that
// is news.
func (s *Selector) settle(now time.Duration, at slot) bool {
	c := &s.candidates[at]
	before := c.notified
	switch {
	case c.place == inChosen:
		delete(s.leavingBy, at)
		c.notified = notifiedAsListed
		return c.changed || before != notifiedAsListed
	case before == notNotified, before == notifiedLeaving:
		return false
	case !c.ready: // the list says that it ends
		return c.changed
	}
	c.notified = notifiedLeaving
	s.leavingBy[at] = now + Linger
	s.leaving = append(s.leaving, departure{at: at, by: now + Linger})
	return true
}

// all returns the notices of the listed instances.
func (s *Selector) all(listed []registry.Instance) []registry.Instance {
	out := []registry.Instance{}
	for _, instance := range listed {
		at, known := s.index[instance.ID]
		if !known || s.candidates[at].notified == notNotified {
			continue
		}
		out = append(out, s.notice(&s.candidates[at]))
	}
	return out
}

// notice is a candidate in the form in which it is announced.
func (s *Selector) notice(c *candidate) registry.Instance {
	instance := c.instance()
	if c.notified == notifiedLeaving {
		instance.Lifecycle = registry.Terminating
	}
	return instance
}

// expire adds to the news, as Gone, those whose time to linger is over.
func (s *Selector) expire(now time.Duration, news []registry.Instance) []registry.Instance {
	for len(s.leaving) > 0 && s.leaving[0].by <= now {
		d := s.leaving[0]
		s.leaving = s.leaving[1:]
		if by, still := s.leavingBy[d.at]; !still || by != d.by {
			continue
		}
		delete(s.leavingBy, d.at)
		c := &s.candidates[d.at]
		c.notified = notNotified
		instance := c.instance()
		instance.Lifecycle = registry.Gone
		news = append(news, instance)
	}
	if len(s.leaving) == 0 {
		s.leaving = nil // with the room of those that have left
	}
	return news
}
