// Package subset chooses the instances of a service that one member of a fleet uses. Each member ranks the
// instances by rendezvous hashing (highest random weight) and uses the first K, so that a change of the fleet
// or of the list moves few instances.
package subset

import (
	"time"

	"dunlintray/internal/registry"
)

// Linger is how long an instance that has left the subset is reported as Terminating before it is reported as
// Gone. The user keeps its statistics meanwhile, so a change that is soon reverted loses nothing.
const Linger = 30 * time.Second

// Selector maintains the subsets of one member, one for each service. It does no input or output and is not
// safe for concurrent use. With zero Settings it passes all updates through.
type Selector struct {
	member   string
	settings Settings
	version  int64 // generation of the list

	candidates []candidateState
	free       []slot
	index      map[string]slot
	placements map[placement]*sharedPlacement
	groups     map[string]*serviceGroup

	dirty   []slot                 // changed since the last notification
	leaving []departure            // in the order of goneAt
	goneAt  map[slot]time.Duration // by slot, for those still leaving
	health  health
	scratch []byte // for hash
	work    workCounters
}

// workCounters counts operations, for tests of the cost.
type workCounters struct{ hashes, comparisons int }

// departure schedules the notification that an instance outside the subset is Gone. It is void if the
// instance has come back, or has left again with a later time, meanwhile.
type departure struct {
	slot   slot
	goneAt time.Duration
}

// New returns the Selector of a member. The member's name must be unique in the fleet and the same after a
// restart. The settings must have passed Check.
func New(member string, settings Settings) *Selector {
	return &Selector{member: member, settings: settings, index: map[string]slot{}, goneAt: map[slot]time.Duration{},
		placements: map[placement]*sharedPlacement{}, groups: map[string]*serviceGroup{}}
}

// Apply processes an update of the list and returns the resulting update of the subset. An instance that
// enters the subset is reported with its current state. One that leaves it while on the list is reported as
// Terminating, and as Gone after Linger. Other changes of instances in the subset are passed on
// immediately.
func (s *Selector) Apply(now time.Duration, listing registry.Listing) registry.Listing {
	if !s.settings.Enabled() {
		return listing
	}
	s.version = listing.Generation
	changes := registry.Listing{Generation: listing.Generation, Reset: listing.Reset}
	if listing.Reset {
		s.retain(listing.Instances)
	}
	for _, instance := range listing.Instances {
		if instance.Lifecycle == registry.Gone {
			changes.Instances = s.remove(instance, changes.Instances)
			continue
		}
		s.update(instance)
	}
	s.fit()
	changes.Instances = s.notify(now, changes.Instances)
	if listing.Reset {
		changes.Instances = s.listedNotices(listing.Instances)
	}
	return changes
}

// Resize replaces the settings and returns the resulting update of the subset. It has no effect if the old
// or the new settings are disabled.
func (s *Selector) Resize(now time.Duration, settings Settings) registry.Listing {
	if !s.settings.Enabled() || !settings.Enabled() {
		return registry.Listing{}
	}
	s.settings = settings
	s.fit()
	return registry.Listing{Generation: s.version, Instances: s.notify(now, nil)}
}

// Report receives the number of usable instances: those reported as Ready, less those that the user avoids
// because they fail. It widens or narrows the subsets if necessary, and returns the resulting update,
// including instances whose Linger time is over. All services are judged together, since the user counts
// their instances together.
func (s *Selector) Report(now time.Duration, usable int) registry.Listing {
	if !s.settings.Enabled() {
		return registry.Listing{}
	}
	if s.health.update(now, usable, s.subsetSizes()) {
		s.fit()
	}
	return registry.Listing{Generation: s.version, Instances: s.notify(now, nil)}
}

// Listed reports whether an instance is on the list, in the subset or not.
func (s *Selector) Listed(id string) bool {
	_, listed := s.index[id]
	return listed
}

// Stats describes the subsets of all services together.
type Stats struct {
	Candidates int // instances on the list
	Size       int // K: instances that should be used
	Chosen     int // instances that are used; fewer than Size if not enough are Ready
	Widened    int // current doublings of Size
}

// Stats returns the current sizes.
func (s *Selector) Stats() Stats {
	stats := Stats{Candidates: len(s.index), Widened: s.health.width}
	for _, group := range s.groups {
		stats.Size += s.size(group, s.health.width)
		stats.Chosen += len(group.chosen.slots)
	}
	return stats
}

// subsetSizes returns the sizes of the subsets of all services together.
func (s *Selector) subsetSizes() (sizes sizeInfo) {
	for _, group := range s.groups {
		sizes.base += s.size(group, 0)
		sizes.current += s.size(group, s.health.width)
		sizes.narrowed += s.size(group, max(s.health.width-1, 0))
		sizes.moreReady = sizes.moreReady || len(group.waiting.slots) > 0
	}
	return sizes
}

// size returns the size of the subset of a service after this many doublings.
func (s *Selector) size(group *serviceGroup, width int) int {
	size := s.settings.size(group.listed)
	for range width {
		if size >= group.listed {
			break
		}
		size *= 2
	}
	return min(size, group.listed)
}

// retain removes all candidates that are not among the instances of a full list.
func (s *Selector) retain(instances []registry.Instance) {
	if len(s.index) == 0 {
		s.index = make(map[string]slot, len(instances))
		s.candidates = make([]candidateState, 0, len(instances))
		s.free = nil
		return
	}
	listed := make(map[string]struct{}, len(instances))
	for _, instance := range instances {
		listed[instance.ID] = struct{}{}
	}
	for id, at := range s.index {
		if _, isListed := listed[id]; !isListed {
			s.release(at)
		}
	}
}

// update adds or updates the candidate of a listed instance.
func (s *Selector) update(instance registry.Instance) {
	at, known := s.index[instance.ID]
	if known {
		s.removeFromService(at) // its service or lifecycle may have changed
	} else {
		at = s.addCandidate(instance.ID)
	}
	candidate := &s.candidates[at]
	s.record(candidate, instance)
	candidate.changed = true
	group := s.groupOf(candidate)
	group.listed++
	if instance.Lifecycle == registry.Ready {
		s.rankReady(group, at)
	}
	s.markDirty(at)
}

// remove removes the candidate of an instance that is Gone, and adds the instance to changes if the user
// knows it.
func (s *Selector) remove(instance registry.Instance, changes []registry.Instance) []registry.Instance {
	at, known := s.index[instance.ID]
	if !known {
		return changes
	}
	if s.candidates[at].notified != notNotified {
		changes = append(changes, instance)
	}
	s.release(at)
	return changes
}

// fit adjusts the subset of each service to its size.
func (s *Selector) fit() {
	for service, group := range s.groups {
		if group.listed == 0 {
			delete(s.groups, service)
			continue
		}
		size := s.size(group, s.health.width)
		for len(group.chosen.slots) > size {
			s.moveFirst(&group.chosen, &group.waiting)
		}
		for len(group.chosen.slots) < size && len(group.waiting.slots) > 0 {
			s.moveFirst(&group.waiting, &group.chosen)
		}
	}
}

// moveFirst moves the first candidate of one heap to another.
func (s *Selector) moveFirst(from, to *slotHeap) {
	at := from.slots[0]
	s.removeFromRanking(from, at)
	s.push(to, at)
	s.markDirty(at)
}

// markDirty schedules a check of whether the user must be notified of a candidate.
func (s *Selector) markDirty(at slot) {
	if candidate := &s.candidates[at]; !candidate.dirty {
		candidate.dirty = true
		s.dirty = append(s.dirty, at)
	}
}

// notify adds to changes what the user of the subset must be notified of.
func (s *Selector) notify(now time.Duration, changes []registry.Instance) []registry.Instance {
	for _, at := range s.dirty {
		candidate := &s.candidates[at]
		if !candidate.dirty {
			continue // its slot has been released
		}
		if s.updateNotification(now, at) {
			changes = append(changes, s.noticeOf(candidate))
		}
		candidate.dirty, candidate.changed = false, false
	}
	s.dirty = s.dirty[:0]
	return s.expireLeaving(now, changes)
}

// updateNotification updates what the user knows of a candidate, and reports whether the user must be
// notified.
func (s *Selector) updateNotification(now time.Duration, at slot) bool {
	candidate := &s.candidates[at]
	previous := candidate.notified
	switch {
	case candidate.rankedIn == inChosen:
		delete(s.goneAt, at)
		candidate.notified = notifiedAsListed
		return candidate.changed || previous != notifiedAsListed
	case previous == notNotified, previous == notifiedTerminating:
		return false
	case !candidate.ready: // Terminating in the list
		return candidate.changed
	}
	candidate.notified = notifiedTerminating
	s.goneAt[at] = now + Linger
	s.leaving = append(s.leaving, departure{slot: at, goneAt: now + Linger})
	return true
}

// listedNotices returns the instances of a full list that the user knows, with the state to report.
func (s *Selector) listedNotices(listed []registry.Instance) []registry.Instance {
	notices := []registry.Instance{}
	for _, instance := range listed {
		at, known := s.index[instance.ID]
		if !known || s.candidates[at].notified == notNotified {
			continue
		}
		notices = append(notices, s.noticeOf(&s.candidates[at]))
	}
	return notices
}

// noticeOf returns a candidate with the state to report.
func (s *Selector) noticeOf(candidate *candidateState) registry.Instance {
	instance := candidate.instance()
	if candidate.notified == notifiedTerminating {
		instance.Lifecycle = registry.Terminating
	}
	return instance
}

// expireLeaving adds to changes, as Gone, the instances whose Linger time is over.
func (s *Selector) expireLeaving(now time.Duration, changes []registry.Instance) []registry.Instance {
	for len(s.leaving) > 0 && s.leaving[0].goneAt <= now {
		next := s.leaving[0]
		s.leaving = s.leaving[1:]
		if goneAt, isLeaving := s.goneAt[next.slot]; !isLeaving || goneAt != next.goneAt {
			continue
		}
		delete(s.goneAt, next.slot)
		candidate := &s.candidates[next.slot]
		candidate.notified = notNotified
		instance := candidate.instance()
		instance.Lifecycle = registry.Gone
		changes = append(changes, instance)
	}
	if len(s.leaving) == 0 {
		s.leaving = nil // free the memory
	}
	return changes
}
