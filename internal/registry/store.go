package registry

import (
	"cmp"
	"time"
)

// Limits bounds a Store.
type Limits struct {
	Lease        time.Duration // from a registration or renewal until the instance expires
	Instances    int           // instances in the list
	History      int           // changes kept
	HistoryBytes int           // encoded bytes of the changes kept

	EmptyServices int // known services without instances; 0 means 4096
}

// An instance lapses when it is removed because its lease has expired.
const (
	lapseFractionPerSecond = 0.05 // fraction of the list that may lapse per second
	lapseBurstFraction     = 0.1  // fraction of the list that may lapse at once
	pauseLeaseDivisor      = 4    // a gap between ticks above lease/pauseLeaseDivisor counts as a pause of the process
	maxCachedAnswers       = 64
)

// Store is the state machine of the list and its history, the sequence of its changes by
// version. A new history begins when changes of the previous one may be lost. All times are
// readings of the caller's monotonic clock. It is not safe for concurrent use.
type Store struct {
	limits   Limits
	history  string
	version  int64
	epoch    int64  // of the writer; each promotion increments it
	isWriter bool   // this process writes the history
	fence    *Fence // set when another writer has replaced this one

	replacedWriters []string // addresses of the writers that this process has replaced

	entries map[string]*entry
	gone    map[string]change // last change of each Gone instance that the history still holds

	services *serviceIndex

	changes     []change // oldest first
	bytes       int      // total size of changes
	baseVersion int64    // version before the first of changes

	cachedAnswers map[int64][]byte // encoded answers at the current version, by the reader's version; -1: full list
	cachedScoped  scopedCache      // the same for scoped reads

	staging bool // changes are staged until they are durable
	staged  []stagedChange
	pending map[string]bool // ids of instances with staged changes

	gatheringUntil time.Duration // the list is incomplete before this time
	lastTick       time.Duration
	lapseCredit    float64 // instances that may lapse now
	stats          Stats
}

// Stats holds statistics of a Store.
type Stats struct {
	Version              int64
	Instances            int
	History, Bytes       int // changes kept, and their size in bytes
	Registered           int64
	Renewed              int64
	Lapsed               int64 // instances removed because their leases had expired
	Overdue              int   // instances with expired leases that the rate limit keeps in the list
	Pauses               int64 // detected pauses of the process, after each of which all leases were renewed
	ChangesEncoded       int64
	AnswersEncoded       int64
	ScopedAnswersEncoded int64 // included in AnswersEncoded
	Services             int   // known services
	EmptyServices        int   // known services without instances
}

// entry is an instance of the list.
type entry struct {
	Instance
	version int64
	encoded []byte
	expires time.Duration // end of the lease
}

// NewStore returns a Store that begins a history. firstVersion must be above all versions
// of earlier histories. The store rejects reads for one lease, in which all instances can
// register.
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

// putEntry adds an entry to the list or replaces the one with the same id.
func (s *Store) putEntry(e *entry) {
	previous := s.entries[e.ID]
	s.entries[e.ID] = e
	s.services.add(e)
	if previous != nil && previous.Service != e.Service {
		s.services.remove(previous)
	}
}

// removeEntry removes an entry from the list, if present.
func (s *Store) removeEntry(id string) {
	if e := s.entries[id]; e != nil {
		delete(s.entries, id)
		s.services.remove(e)
	}
}

// trimServices bounds the number of known services without instances.
func (s *Store) trimServices() {
	s.services.trim(cmp.Or(s.limits.EmptyServices, defaultEmptyServices))
}

// ApplyListing applies an update from the writer under the writer's versions. It appends
// every instance of the update to the history, even one that this follower already has:
// a reader coming from the writer may be at an intermediate version. A full list clears the
// history because it does not say what has changed.
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

// Stats returns a snapshot of the statistics.
func (s *Store) Stats() Stats {
	stats := s.stats
	stats.Version, stats.Instances, stats.History, stats.Bytes = s.version, len(s.entries), len(s.changes), s.bytes
	stats.Services, stats.EmptyServices = len(s.services.known), s.services.empty
	return stats
}
