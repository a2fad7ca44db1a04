package registry

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Record is a record of a registry's log or snapshot. Exactly one field is set.
type Record struct {
	Begin  *Begin          `json:"begin,omitempty"`
	Entry  *InstanceRecord `json:"entry,omitempty"`  // in a snapshot: an instance of the list
	Change *InstanceRecord `json:"change,omitempty"` // a change of the history
	Copy   *CopyRecord     `json:"copy,omitempty"`   // an update that a follower received
	Fence  *Fence          `json:"fence,omitempty"`  // another writer has replaced this one
	Empty  *ServicesRecord `json:"empty,omitempty"`  // in a snapshot: known services without instances
}

// Begin is the beginning of a history or, in a snapshot, its current position.
type Begin struct {
	History     string `json:"history"`
	Version     int64  `json:"version"`
	BaseVersion int64  `json:"from"` // version before the first change
	Epoch       int64  `json:"epoch"`
	Writer      bool   `json:"writer"` // this process writes the history
	// Replaced holds the addresses of the writers that this process has replaced by a promotion.
	Replaced []string `json:"replaced,omitempty"`
}

// InstanceRecord is an instance at a version.
type InstanceRecord struct {
	Version  int64           `json:"version"`
	Instance json.RawMessage `json:"instance"`
	// Previous holds the placements that the instance left with the change. Only for changes
	// in a snapshot.
	Previous []Placement `json:"left,omitempty"`
}

// ServicesRecord names the known services without instances, in the order in which they
// became empty.
type ServicesRecord struct {
	Names []string `json:"names"`
}

// CopyRecord is an update that a follower received from its writer.
type CopyRecord struct {
	History string  `json:"history"`
	Epoch   int64   `json:"epoch"`
	Listing Listing `json:"listing"`
}

// Fence identifies the writer that replaces another by promotion. Of two writers the one
// with the higher epoch is valid.
type Fence struct {
	Epoch   int64  `json:"epoch"`
	History string `json:"history"`
	Writer  string `json:"writer"` // its address
}

func encodeRecord(record Record) []byte {
	encoded, err := json.Marshal(record)
	if err != nil {
		panic(err) // only plain fields, which always encode
	}
	return encoded
}

// ParseRecord decodes a record. It returns an error unless exactly one field is set.
func ParseRecord(encoded []byte) (Record, error) {
	var record Record
	if err := decode(encoded, &record); err != nil {
		return record, err
	}
	fieldsSet := 0
	for _, set := range []bool{record.Begin != nil, record.Entry != nil, record.Change != nil, record.Copy != nil, record.Fence != nil, record.Empty != nil} {
		if set {
			fieldsSet++
		}
	}
	if fieldsSet != 1 {
		return record, fmt.Errorf("record: %d fields are set, expected 1", fieldsSet)
	}
	return record, nil
}

// instance decodes and validates the instance of a record.
func (r *InstanceRecord) instance() (Instance, error) {
	var instance Instance
	if err := decode(r.Instance, &instance); err != nil {
		return instance, err
	}
	return instance, instance.check()
}

// Restore applies a record from a log or snapshot. Restored instances get a new lease.
func (s *Store) Restore(now time.Duration, record Record) error {
	switch {
	case record.Begin != nil:
		begin := record.Begin
		if begin.Version < s.version || begin.BaseVersion > begin.Version || begin.History == "" {
			return fmt.Errorf("record: history %q with base %d and version %d cannot follow version %d", begin.History, begin.BaseVersion, begin.Version, s.version)
		}
		s.clearHistory()
		s.history, s.version, s.baseVersion, s.epoch, s.isWriter = begin.History, begin.Version, begin.BaseVersion, begin.Epoch, begin.Writer
		s.fence, s.replacedWriters = nil, begin.Replaced
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
			// The record is from a snapshot, whose entries already reflect the change.
			if record.Change.Version == s.baseVersion {
				return nil // followers of earlier builds kept part of a trimmed version
			}
			if record.Change.Version < s.baseVersion {
				return fmt.Errorf("record: change to version %d is below the base version %d of the history", record.Change.Version, s.baseVersion)
			}
			c := newChange(instance, record.Change.Version, record.Change.Instance, record.Change.Previous)
			s.appendChange(c, c.gone && s.entries[instance.ID] == nil)
			return nil
		}
		s.applyEncoded(instance, record.Change.Instance, record.Change.Version, now, record.Change.Previous)
		s.trimServices()
	case record.Copy != nil:
		s.epoch, s.isWriter, s.replacedWriters = max(s.epoch, record.Copy.Epoch), false, nil
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

// SnapshotRecords returns the records of a snapshot of the store. They stay valid when the
// store changes.
func (s *Store) SnapshotRecords() []Record {
	records := []Record{{Begin: &Begin{History: s.history, Version: s.version, BaseVersion: s.baseVersion, Epoch: s.epoch, Writer: s.isWriter, Replaced: s.replacedWriters}}}
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

// errPending is returned for a write to an instance with a staged change. The write can be
// repeated when the change is durable.
var errPending = errors.New("a change of the instance is being persisted")

// IsWriter reports whether this process writes the history.
func (s *Store) IsWriter() bool { return s.isWriter }

// EnableStaging makes writes stage their changes: readers see them only after CommitStaged.
func (s *Store) EnableStaging() { s.staging = true }

// StagedRecords returns the staged changes as encoded records.
func (s *Store) StagedRecords() [][]byte {
	var records [][]byte
	for _, c := range s.staged {
		records = append(records, encodeRecord(Record{Change: &InstanceRecord{Version: c.version, Instance: c.encoded}}))
	}
	return records
}

// CommitStaged applies the staged changes. Call it when they are durable.
func (s *Store) CommitStaged(now time.Duration) {
	staged := s.staged
	s.DropStaged()
	for _, c := range staged {
		s.applyEncoded(c.instance, c.encoded, c.version, now, nil)
	}
	s.trimServices()
}

// DropStaged discards the staged changes.
func (s *Store) DropStaged() {
	s.staged = nil
	clear(s.pending)
}

// PromotionRecord returns the record that makes a follower's copy a list written by this
// process, under a new history whose version is above all earlier ones. unixMs is the
// current time, and replaced holds the addresses of the writers that this process replaces. The
// caller persists the record and then passes it to Restore.
func (s *Store) PromotionRecord(now time.Duration, historyName string, unixMs int64, replaced []string) Record {
	begin := &Begin{History: historyName, Version: max(unixMs, s.version+1), Epoch: s.epoch + 1, Writer: true, Replaced: replaced}
	begin.BaseVersion = begin.Version
	return Record{Begin: begin}
}

// renewAll renews all leases.
func (s *Store) renewAll(now time.Duration) {
	for _, e := range s.entries {
		e.expires = max(e.expires, now+s.limits.Lease)
	}
}
