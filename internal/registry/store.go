package registry

import (
	"cmp"
	"time"
)

// Limits bound a Store.
type Limits struct {
	Lease        time.Duration
	Instances    int // on the list
	History      int // changes
	HistoryBytes int // of their encoding

	EmptyServices int // services without instances that are remembered; 0: defaultEmptyServices
}

const (
	lapseFractionPerSecond = 0.05 // of the list that may lapse in a second
	lapseBurstFraction     = 0.1  // and at once
	pauseLeaseDivisor      = 4    // a part of a lease; a service that stood still for longer has heard no renewals
	maxCachedAnswers       = 64   // answers kept for watchers that ask from the same version
)

// Store is the list and its history. It is a state machine: all times are those
// of the caller's monotonic clock. It is not safe for use by several goroutines.
type Store struct {
	limits   Limits
	history  string
	version  int64
	epoch    int64  // of the writer; each promotion has a higher one
	isWriter bool   // the history is this service's own
	fence    *Fence // of one in whose place another was put
	entries  map[string]*entry
	gone     map[string]change // of the instances in changes that are Gone, the last

	services *serviceIndex // of the entries

	changes     []change // the oldest first
	bytes       int      // of their texts
	baseVersion int64    // the version that changes follow

	cachedAnswers map[int64][]byte // answers at this version, by the version asked from; -1: the whole list
	cachedScoped  scopedCache      // the same for scopes

	staging bool // changes wait until they last
	staged  []stagedChange
	pending map[string]bool // instances in staged changes

	gatheringUntil time.Duration // until then the list is not whole
	lastTick       time.Duration
	lapseCredit    float64 // lapses that may go through
	stats          Stats
}

// Stats are a Store's figures.
type Stats struct {
	Version              int64
	Instances            int
	History, Bytes       int // changes kept, and their bytes
	Registered           int64
	Renewed              int64
	Lapsed               int64
	Overdue              int   // leases that have run out, whose lapse waits
	Pauses               int64 // times that the service stood still, and all leases began anew
	ChangesEncoded       int64 // changes
	AnswersEncoded       int64 // answers put together
	ScopedAnswersEncoded int64 // of them, answers to scopes
	Services             int   // known
	EmptyServices        int   // of them, those without instances
}

type entry struct {
	Instance
	version int64
	encoded []byte
	expires time.Duration
}

// NewStore begins a history with the given name at a version that is higher than
// all that there were before. Reads are answered after one lease, in which all
// instances can register.
func NewStore(limits Limits, name string, firstVersion int64, now time.Duration) *Store {
	s := newStore(limits, now)
	s.history, s.version, s.baseVersion, s.epoch, s.isWriter = name, firstVersion, firstVersion, 1, true
	s.gatheringUntil = now + limits.Lease
	return s
}

func newStore(limits Limits, now time.Duration) *Store {
	return &Store{limits: limits, entries: map[string]*entry{}, gone: map[string]change{}, cachedAnswers: map[int64][]byte{},
		pending: map[string]bool{}, services: newServiceIndex(), lastTick: now}
}

// enter puts an entry on the list, in place of the one of this id.
func (s *Store) putEntry(e *entry) {
	previous := s.entries[e.ID]
	s.entries[e.ID] = e
	s.services.add(e)
	if previous != nil && previous.Service != e.Service {
		s.services.remove(previous)
	}
}

// withdraw takes an entry off the list.
func (s *Store) removeEntry(id string) {
	if e := s.entries[id]; e != nil {
		delete(s.entries, id)
		s.services.remove(e)
	}
}

// forgetServices bounds the services without instances that are remembered.
func (s *Store) trimServices() {
	s.services.trim(cmp.Or(s.limits.EmptyServices, defaultEmptyServices))
}

// Copy takes in what a writer has told, under its own versions. Danger: all that
// is told goes into the history, also what this follower has already. A reader may
// come from the writer, between two versions that are one step here. A whole list
// does not tell what has changed, so nobody may go on from before it.
func (s *Store) ApplyListing(now time.Duration, listing Listing, history string) error {
	if listing.Reset {
		clear(s.entries)
		s.services.clear()
	}
	if history != s.history {
		s.services = newServiceIndex()
	}
	s.history = history
	interimPlacements := map[string][]Placement{}
	for _, moved := range listing.Moved {
		interimPlacements[moved.ID] = moved.From
	}
	for _, name := range listing.EmptyServices {
		s.services.addKnown(name)
	}
	for _, instance := range listing.Instances {
		if err := s.applyChange(instance, listing.Generation, now, interimPlacements[instance.ID]); err != nil {
			return err
		}
	}
	s.version = listing.Generation
	s.trimServices()
	s.clearCache()
	if listing.Reset {
		s.clearHistory()
	}
	return nil
}

// Stats returns the figures.
func (s *Store) Stats() Stats {
	stats := s.stats
	stats.Version, stats.Instances, stats.History, stats.Bytes = s.version, len(s.entries), len(s.changes), s.bytes
	stats.Services, stats.EmptyServices = len(s.services.known), s.services.empty
	return stats
}
