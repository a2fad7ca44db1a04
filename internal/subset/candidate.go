package subset

import (
	"github.com/cespare/xxhash/v2"

	"dunlintray/internal/registry"
)

// slot is the place of a candidate among all.
type slot uint32

// candidate is an instance of the list, in as few bytes as it takes to choose it and to
// notify it later: the list's reader would not tell it again. Its strings are those that
// the reader holds.
type candidate struct {
	id, address string
	weight      float64
	startedAtMs int64
	rank        uint64
	placement   *sharedPlacement
	cell        int32
	heapAt      int32 // in the ranking that it is in
	place       place
	notified    notification
	ready       bool // else Terminating
	touched     bool // waits to be announced
	changed     bool // by the list, since it was announced
}

// place is which ranking a candidate is in.
type place uint8

const (
	unranked place = iota // it is not Ready
	inChosen
	inWaiting
)

// notification is what the user of the subset knows of a candidate.
type notification uint8

const (
	notNotified      notification = iota
	notifiedAsListed              // as the list has it
	notifiedLeaving               // as Terminating, though the list has it for Ready
)

// placement is what many instances have in common.
type placement struct {
	registry.Placement
	machineType string
}

// sharedPlacement is a placement that candidates point to.
type sharedPlacement struct {
	placement
	users int
}

// instance returns a candidate as the list has it.
func (c *candidate) instance() registry.Instance {
	lifecycle := registry.Terminating
	if c.ready {
		lifecycle = registry.Ready
	}
	p := c.placement
	return registry.Instance{ID: c.id, HostPort: c.address, Zone: p.Zone, MachineType: p.machineType,
		Cell: int(c.cell), Lifecycle: lifecycle, Weight: c.weight, StartedAtMs: c.startedAtMs, Service: p.Service, Region: p.Region}
}

func placementOf(instance registry.Instance) placement {
	at := registry.Placement{Service: instance.Service, Region: instance.Region, Zone: instance.Zone}
	return placement{Placement: at, machineType: instance.MachineType}
}

// admit makes room for an instance that is new, and ranks it.
func (s *Selector) admit(id string) slot {
	at := slot(len(s.candidates))
	if n := len(s.free); n > 0 {
		at, s.free = s.free[n-1], s.free[:n-1]
	} else {
		s.candidates = append(s.candidates, candidate{})
	}
	s.candidates[at] = candidate{id: id, rank: s.hash(id)}
	s.index[id] = at
	return at
}

// record writes down what the list tells of a candidate.
func (s *Selector) record(c *candidate, instance registry.Instance) {
	c.address, c.weight, c.startedAtMs = instance.HostPort, instance.Weight, instance.StartedAtMs
	c.cell, c.ready = int32(instance.Cell), instance.Lifecycle == registry.Ready
	p := placementOf(instance)
	if c.placement != nil && c.placement.placement == p {
		return
	}
	s.unplace(c)
	shared := s.placements[p]
	if shared == nil {
		shared = &sharedPlacement{placement: p}
		s.placements[p] = shared
	}
	shared.users++
	c.placement = shared
}

// unplace gives a candidate's placement back.
func (s *Selector) unplace(c *candidate) {
	if c.placement == nil {
		return
	}
	if c.placement.users--; c.placement.users == 0 {
		delete(s.placements, c.placement.placement)
	}
	c.placement = nil
}

// leave takes a candidate out of its service, as the list had it.
func (s *Selector) leave(at slot) {
	c := &s.candidates[at]
	g := s.groupOf(c)
	g.listed--
	switch c.place {
	case inChosen:
		s.take(&g.chosen, at)
	case inWaiting:
		s.take(&g.waiting, at)
	}
}

// release forgets a candidate.
func (s *Selector) release(at slot) {
	s.leave(at)
	c := &s.candidates[at]
	s.unplace(c)
	delete(s.index, c.id)
	delete(s.leavingBy, at)
	*c = candidate{}
	s.free = append(s.free, at)
}

// hash returns the weight of an instance for this member. Danger: members of two
// versions must agree with themselves across an upgrade, so what it returns for a pair
// of names may never change.
func (s *Selector) hash(id string) uint64 {
	s.work.hashes++
	s.scratch = append(s.scratch[:0], s.member...)
	s.scratch = append(s.scratch, 0)
	s.scratch = append(s.scratch, id...)
	return xxhash.Sum64(s.scratch)
}
