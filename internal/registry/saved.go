package registry

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Saved is a record of a list service's log or of a snapshot. One of its parts is
// set.
type Record struct {
	Begin  *Begin          `json:"begin,omitempty"`
	Entry  *InstanceRecord `json:"entry,omitempty"`  // of a snapshot: an instance on the list
	Change *InstanceRecord `json:"change,omitempty"` // a change of the history
	Copy   *CopyRecord     `json:"copy,omitempty"`   // what a follower's writer has told
	Fence  *Fence          `json:"fence,omitempty"`  // another has taken this writer's place
	Empty  *ServicesRecord `json:"empty,omitempty"`  // of a snapshot: services without instances
}

// Begin is where a history begins or, in a snapshot, where it is.
type Begin struct {
	History     string `json:"history"`
	Version     int64  `json:"version"`
	BaseVersion int64  `json:"from"` // the version that the changes follow
	Epoch       int64  `json:"epoch"`
	Writer      bool   `json:"writer"` // of this service's own
}

// SavedInstance is an instance at a version.
type InstanceRecord struct {
	Version  int64           `json:"version"`
	Instance json.RawMessage `json:"instance"`
	// Left are, of a change in a snapshot, the placements that the instance left with it.
	Previous []Placement `json:"left,omitempty"`
}

// SavedServices are the services that have had instances and have none, the first to
// become empty first.
type ServicesRecord struct {
	Names []string `json:"names"`
}

// SavedCopy is a list that a follower has copied.
type CopyRecord struct {
	History string  `json:"history"`
	Epoch   int64   `json:"epoch"`
	Listing Listing `json:"listing"`
}

// Fence names the writer that an operator has put in another's place. Of two
// writers the one with the higher epoch is.
type Fence struct {
	Epoch   int64  `json:"epoch"`
	History string `json:"history"`
	Writer  string `json:"writer"` // its address
}

func encodeRecord(s Record) []byte {
	text, err := json.Marshal(s)
	if err != nil {
		panic(err) // of plain fields
	}
	return text
}

// ParseSaved reads a record.
func ParseRecord(text []byte) (Record, error) {
	var s Record
	if err := decode(text, &s); err != nil {
		return s, err
	}
	parts := 0
	for _, set := range []bool{s.Begin != nil, s.Entry != nil, s.Change != nil, s.Copy != nil, s.Fence != nil, s.Empty != nil} {
		if set {
			parts++
		}
	}
	if parts != 1 {
		return s, fmt.Errorf("a record has one part, not %d", parts)
	}
	return s, nil
}

// instance reads and checks the instance of a record.
func (s *InstanceRecord) instance() (Instance, error) {
	var i Instance
	if err := decode(s.Instance, &i); err != nil {
		return i, err
	}
	return i, i.check()
}

// Restore takes a record in, as it was read from a log or a snapshot. All leases
// begin anew.
func (s *Store) Restore(now time.Duration, r Record) error {
	switch {
	case r.Begin != nil:
		b := r.Begin
		if b.Version < s.version || b.BaseVersion > b.Version || b.History == "" {
			return fmt.Errorf("a history %q from %d to %d behind version %d", b.History, b.BaseVersion, b.Version, s.version)
		}
		s.clearHistory()
		s.history, s.version, s.baseVersion, s.epoch, s.isWriter = b.History, b.Version, b.BaseVersion, b.Epoch, b.Writer
		s.fence = nil
	case r.Entry != nil:
		i, err := r.Entry.instance()
		if err != nil {
			return err
		}
		s.putEntry(&entry{Instance: i, version: r.Entry.Version, encoded: r.Entry.Instance, expires: now + s.limits.Lease})
	case r.Change != nil:
		i, err := r.Change.instance()
		if err != nil {
			return err
		}
		if r.Change.Version <= s.version {
			// Of a snapshot, which has what it led to beside it.
			if r.Change.Version == s.baseVersion {
				return nil // a follower's; earlier builds kept some of a version that was forgotten
			}
			if r.Change.Version < s.baseVersion {
				return fmt.Errorf("version %d is not behind %d", r.Change.Version, s.baseVersion)
			}
			c := newChange(i, r.Change.Version, r.Change.Instance, r.Change.Previous)
			s.appendChange(c, c.gone && s.entries[i.ID] == nil)
			return nil
		}
		s.applyEncoded(i, r.Change.Instance, r.Change.Version, now, r.Change.Previous)
		s.trimServices()
	case r.Copy != nil:
		s.epoch, s.isWriter = max(s.epoch, r.Copy.Epoch), false
		return s.ApplyListing(now, r.Copy.Listing, r.Copy.History)
	case r.Fence != nil:
		s.fence = r.Fence
	case r.Empty != nil:
		for _, name := range r.Empty.Names {
			s.services.addKnown(name)
		}
		s.trimServices()
	}
	return nil
}

// Save tells all that a snapshot has to hold, as it is now. The texts may be used
// after others have changed the store.
func (s *Store) SnapshotRecords() []Record {
	all := []Record{{Begin: &Begin{History: s.history, Version: s.version, BaseVersion: s.baseVersion, Epoch: s.epoch, Writer: s.isWriter}}}
	for _, id := range slices.Sorted(maps.Keys(s.entries)) {
		e := s.entries[id]
		all = append(all, Record{Entry: &InstanceRecord{Version: e.version, Instance: e.encoded}})
	}
	if names := s.services.emptyNames(); len(names) > 0 {
		all = append(all, Record{Empty: &ServicesRecord{names}})
	}
	for _, c := range s.changes {
		all = append(all, Record{Change: &InstanceRecord{c.version, c.encoded, c.previousPlacements()}})
	}
	if s.fence != nil {
		all = append(all, Record{Fence: s.fence})
	}
	return all
}

// errPending says that the instance is in a change that does not last yet. The
// call can be made again when it does.
var errPending = errors.New("a change of the instance is being kept")

// Writes says whether the history is this service's own.
func (s *Store) IsWriter() bool { return s.isWriter }

// Stage makes changes wait: from now on they are not told before Settle.
func (s *Store) EnableStaging() { s.staging = true }

// Staged are the changes that have to last, as records.
func (s *Store) StagedRecords() [][]byte {
	var all [][]byte
	for _, c := range s.staged {
		all = append(all, encodeRecord(Record{Change: &InstanceRecord{Version: c.version, Instance: c.encoded}}))
	}
	return all
}

// Settle takes the staged changes in: they last.
func (s *Store) CommitStaged(now time.Duration) {
	staged := s.staged
	s.DropStaged()
	for _, c := range staged {
		s.applyEncoded(c.instance, c.encoded, c.version, now, nil)
	}
	s.trimServices()
}

// Drop forgets the staged changes: they have not happened.
func (s *Store) DropStaged() {
	s.staged = nil
	clear(s.pending)
}

// Promote makes the copy of a follower a list that is written here, under a new
// history with a version that is higher than all before. The record has to last
// before it is told.
func (s *Store) PromotionRecord(now time.Duration, name string, unixMs int64) Record {
	b := &Begin{History: name, Version: max(unixMs, s.version+1), Epoch: s.epoch + 1, Writer: true}
	b.BaseVersion = b.Version
	return Record{Begin: b}
}

// renewAll begins all leases anew.
func (s *Store) renewAll(now time.Duration) {
	for _, e := range s.entries {
		e.expires = max(e.expires, now+s.limits.Lease)
	}
}
