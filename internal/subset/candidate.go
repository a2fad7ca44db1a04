package subset

import (
	"github.com/cespare/xxhash/v2"

	"dunlintray/internal/registry"
)

// slot is the index of a candidate in Selector.candidates.
type slot uint32

// candidateState is an instance of the list, with what is needed to rank it and to report it later. It is
// kept small, since a gateway holds all instances of the list; its strings are shared with the reader of
// the list.
type candidateState struct {
	id, address string
	weight      float64
	startedAtMs int64
	rank        uint64
	placement   *sharedPlacement
	cell        int32
	heapIndex   int32 // index in the heap given by rankedIn
	rankedIn    rankingKind
	notified    notification
	ready       bool // Ready; otherwise Terminating
	dirty       bool // is in Selector.dirty
	changed     bool // updated by the list since the last notification
}

// rankingKind says which heap of its service a candidate is in.
type rankingKind uint8

const (
	unranked rankingKind = iota // not Ready
	inChosen
	inWaiting
)

// notification is the last state of a candidate that the user of the subset was notified of.
type notification uint8

const (
	notNotified         notification = iota
	notifiedAsListed                 // with the state in the list
	notifiedTerminating              // as Terminating, although it is Ready in the list
)

// placement holds the fields that many instances have in common.
type placement struct {
	registry.Placement
	machineType string
}

// sharedPlacement is a placement that several candidates refer to; users counts them.
type sharedPlacement struct {
	placement
	users int
}

// instance returns the candidate with its state in the list.
func (c *candidateState) instance() registry.Instance {
	lifecycle := registry.Terminating
	if c.ready {
		lifecycle = registry.Ready
	}
	shared := c.placement
	return registry.Instance{ID: c.id, HostPort: c.address, Zone: shared.Zone, MachineType: shared.machineType,
		Cell: int(c.cell), Lifecycle: lifecycle, Weight: c.weight, StartedAtMs: c.startedAtMs, Service: shared.Service, Region: shared.Region}
}

// placementOf returns the placement of an instance.
func placementOf(instance registry.Instance) placement {
	at := registry.Placement{Service: instance.Service, Region: instance.Region, Zone: instance.Zone}
	return placement{Placement: at, machineType: instance.MachineType}
}

// addCandidate allocates a slot for a new instance and computes its rank.
func (s *Selector) addCandidate(id string) slot {
	at := slot(len(s.candidates))
	if n := len(s.free); n > 0 {
		at, s.free = s.free[n-1], s.free[:n-1]
	} else {
		s.candidates = append(s.candidates, candidateState{})
	}
	s.candidates[at] = candidateState{id: id, rank: s.hash(id)}
	s.index[id] = at
	return at
}

// record copies the state of an instance in the list to its candidate.
func (s *Selector) record(candidate *candidateState, instance registry.Instance) {
	candidate.address, candidate.weight, candidate.startedAtMs = instance.HostPort, instance.Weight, instance.StartedAtMs
	candidate.cell, candidate.ready = int32(instance.Cell), instance.Lifecycle == registry.Ready
	wanted := placementOf(instance)
	if candidate.placement != nil && candidate.placement.placement == wanted {
		return
	}
	s.releasePlacement(candidate)
	shared := s.placements[wanted]
	if shared == nil {
		shared = &sharedPlacement{placement: wanted}
		s.placements[wanted] = shared
	}
	shared.users++
	candidate.placement = shared
}

// releasePlacement drops the candidate's reference to its placement.
func (s *Selector) releasePlacement(candidate *candidateState) {
	if candidate.placement == nil {
		return
	}
	if candidate.placement.users--; candidate.placement.users == 0 {
		delete(s.placements, candidate.placement.placement)
	}
	candidate.placement = nil
}

// removeFromService removes a candidate from the service that it was listed for.
func (s *Selector) removeFromService(at slot) {
	candidate := &s.candidates[at]
	group := s.groupOf(candidate)
	group.listed--
	switch candidate.rankedIn {
	case inChosen:
		s.removeFromRanking(&group.chosen, at)
	case inWaiting:
		s.removeFromRanking(&group.waiting, at)
	}
}

// release frees the slot of a candidate.
func (s *Selector) release(at slot) {
	s.removeFromService(at)
	candidate := &s.candidates[at]
	s.releasePlacement(candidate)
	delete(s.index, candidate.id)
	delete(s.goneAt, at)
	*candidate = candidateState{}
	s.free = append(s.free, at)
}

// hash returns the rank of an instance for this member. The result for a pair of names must never change:
// members of different versions must keep the same subsets across an upgrade.
func (s *Selector) hash(id string) uint64 {
	s.work.hashes++
	s.scratch = append(s.scratch[:0], s.member...)
	s.scratch = append(s.scratch, 0)
	s.scratch = append(s.scratch, id...)
	return xxhash.Sum64(s.scratch)
}
