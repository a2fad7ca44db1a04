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

func encodeRecord(record Record) []byte {
	encoded, err := json.Marshal(record)
	if err != nil {
		panic(err) // of plain fields
	}
	return encoded
}

// ParseSaved reads a record.
func ParseRecord(encoded []byte) (Record, error) {
	var record Record
	if err := decode(encoded, &record); err != nil {
		return record, err
	}
	parts := 0
	for _, set := range []bool{record.Begin != nil, record.Entry != nil, record.Change != nil, record.Copy != nil, record.Fence != nil, record.Empty != nil} {
		if set {
			parts++
		}
	}
	if parts != 1 {
		return record, fmt.Errorf("a record has one part, not %d", parts)
	}
	return record, nil
}

// instance reads and checks the instance of a record.
func (r *InstanceRecord) instance() (Instance, error) {
	var instance Instance
	if err := decode(r.Instance, &instance); err != nil {
		return instance, err
	}
	return instance, instance.check()
}

// Restore takes a record in, as it was read from a log or a snapshot. All leases
// begin anew.
func (s *Store) Restore(now time.Duration, record Record) error {
	switch {
	case record.Begin != nil:
		begin := record.Begin
		if begin.Version < s.version || begin.BaseVersion > begin.Version || begin.History == "" {
			return fmt.Errorf("a history %q from %d to %d behind version %d", begin.History, begin.BaseVersion, begin.Version, s.version)
		}
		s.clearHistory()
		s.history, s.version, s.baseVersion, s.epoch, s.isWriter = begin.History, begin.Version, begin.BaseVersion, begin.Epoch, begin.Writer
		s.fence = nil
	case record.Entry != nil:
		instance, err := record.Entry.instance()
		if err != nil {
			return err
		}
		s.putEntry(&entry{Instance: instance, version: record.Entry.Version, encoded: record.Entry.Instance, expires: now + s.limits.Lease})
	case record.Change != nil:
		instance, err := record.Change.instance()
		if err != nil {
			return err
		}
		if record.Change.Version <= s.version {
			// Of a snapshot, which has what it led to beside it.
			if record.Change.Version == s.baseVersion {
				return nil // a follower's; earlier builds kept some of a version that was forgotten
			}
			if record.Change.Version < s.baseVersion {
				return fmt.Errorf("version %d is not behind %d", record.Change.Version, s.baseVersion)
			}
			c := newChange(instance, record.Change.Version, record.Change.Instance, record.Change.Previous)
			s.appendChange(c, c.gone && s.entries[instance.ID] == nil)
			return nil
		}
		s.applyEncoded(instance, record.Change.Instance, record.Change.Version, now, record.Change.Previous)
		s.trimServices()
	case record.Copy != nil:
		s.epoch, s.isWriter = max(s.epoch, record.Copy.Epoch), false
		return s.ApplyListing(now, record.Copy.Listing, record.Copy.History)
	case record.Fence != nil:
		s.fence = record.Fence
	case record.Empty != nil:
		for _, name := range record.Empty.Names {
			s.services.addKnown(name)
		}
		s.trimServices()
	}
	return nil
}

// Save tells all that a snapshot has to hold, as it is now. The texts may be used
// after others have changed the store.
func (s *Store) SnapshotRecords() []Record {
	records := []Record{{Begin: &Begin{History: s.history, Version: s.version, BaseVersion: s.baseVersion, Epoch: s.epoch, Writer: s.isWriter}}}
	for _, id := range slices.Sorted(maps.Keys(s.entries)) {
		e := s.entries[id]
		records = append(records, Record{Entry: &InstanceRecord{Version: e.version, Instance: e.encoded}})
	}
	if names := s.services.emptyNames(); len(names) > 0 {
		records = append(records, Record{Empty: &ServicesRecord{names}})
	}
	for _, c := range s.changes {
		records = append(records, Record{Change: &InstanceRecord{c.version, c.encoded, c.previousPlacements()}})
	}
	if s.fence != nil {
		records = append(records, Record{Fence: s.fence})
	}
	return records
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
	var records [][]byte
	for _, c := range s.staged {
		records = append(records, encodeRecord(Record{Change: &InstanceRecord{Version: c.version, Instance: c.encoded}}))
	}
	return records
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
func (s *Store) PromotionRecord(now time.Duration, historyName string, unixMs int64) Record {
	begin := &Begin{History: historyName, Version: max(unixMs, s.version+1), Epoch: s.epoch + 1, Writer: true}
	begin.BaseVersion = begin.Version
	return Record{Begin: begin}
}

// renewAll begins all leases anew.
func (s *Store) renewAll(now time.Duration) {
	for _, e := range s.entries {
		e.expires = max(e.expires, now+s.limits.Lease)
	}
}
