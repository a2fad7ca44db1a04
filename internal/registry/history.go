package registry

import (
	"encoding/json"
	"slices"
	"time"
)

// change is one change of the history.
type change struct {
	version    int64
	id         string
	started    int64
	drained    bool
	gone       bool
	encoded    []byte
	placements *placements // nil if the instance neither is nor was in a service
}

// placements records where an instance is after a change and where it was before.
type placements struct {
	current Placement
	// previous holds the other placements since the preceding version of this history. A
	// follower that received several changes at once has several.
	previous []Placement
}

// currentPlacement returns the placement after the change; empty if the instance is in no
// service.
func (c *change) currentPlacement() Placement {
	if c.placements == nil {
		return Placement{}
	}
	return c.placements.current
}

// previousPlacements returns the placements that the instance left with the change.
func (c *change) previousPlacements() []Placement {
	if c.placements == nil {
		return nil
	}
	return c.placements.previous
}

// size returns the bytes that a change counts toward the history limit.
func (c *change) size() int {
	bytes := len(c.encoded)
	for _, p := range c.previousPlacements() {
		bytes += len(p.Service) + len(p.Region) + len(p.Zone)
	}
	return bytes
}

// clearHistory drops all changes, so that readers at earlier versions receive the full list.
func (s *Store) clearHistory() {
	s.changes, s.bytes, s.baseVersion = nil, 0, s.version
	clear(s.gone)
	s.clearCache()
}

// applyChange applies a change under its version. interim holds placements that the
// instance had between its previous state and this one.
func (s *Store) applyChange(instance Instance, version int64, now time.Duration, interim []Placement) error {
	encoded, err := json.Marshal(instance)
	if err != nil {
		return err
	}
	s.stats.ChangesEncoded++
	s.applyEncoded(instance, encoded, version, now, interim)
	return nil
}

// applyEncoded is applyChange for an instance that is already encoded.
func (s *Store) applyEncoded(instance Instance, encoded []byte, version int64, now time.Duration, interim []Placement) {
	var previous []Placement
	if existing := s.entries[instance.ID]; existing != nil {
		previous = appendPrevious(previous, existing.placement(), instance.placement())
	}
	for _, p := range interim {
		previous = appendPrevious(previous, p, instance.placement())
		s.services.addKnown(p.Service)
	}
	applied := newChange(instance, version, encoded, previous)
	s.version = version
	s.clearCache()
	if instance.Lifecycle == Gone {
		s.removeEntry(instance.ID)
		s.services.addKnown(instance.Service)
	} else {
		s.putEntry(&entry{Instance: instance, version: version, encoded: encoded, expires: now + s.limits.Lease})
		delete(s.gone, instance.ID)
	}
	s.appendChange(applied, applied.gone)
}

func newChange(instance Instance, version int64, encoded []byte, previous []Placement) change {
	c := change{version: version, id: instance.ID, started: instance.StartedAtMs, drained: instance.Drained, gone: instance.Lifecycle == Gone, encoded: encoded}
	if instance.Service != "" || len(previous) > 0 {
		c.placements = &placements{instance.placement(), previous}
	}
	return c
}

// appendPrevious appends the placement from unless it has no service, is the same as to, or is
// already present.
func appendPrevious(previous []Placement, from, to Placement) []Placement {
	if from.Service == "" || from == to || slices.Contains(previous, from) {
		return previous
	}
	return append(previous, from)
}

// appendChange appends a change to the history and trims the oldest ones to the limits.
// It trims all changes of a version together, as a follower may have several.
func (s *Store) appendChange(c change, gone bool) {
	if gone {
		s.gone[c.id] = c
	}
	s.changes = append(s.changes, c)
	s.bytes += c.size()
	for len(s.changes) > 0 && (len(s.changes) > s.limits.History || s.bytes > s.limits.HistoryBytes || s.changes[0].version <= s.baseVersion) {
		old := s.changes[0]
		s.changes[0] = change{}
		s.changes = s.changes[1:]
		s.bytes -= old.size()
		s.baseVersion = old.version
		if s.gone[old.id].version == old.version {
			delete(s.gone, old.id)
		}
	}
}
