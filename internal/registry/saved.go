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
type Saved struct {
	Begin  *Begin         `json:"begin,omitempty"`
	Entry  *SavedInstance `json:"entry,omitempty"`  // of a snapshot: an instance on the list
	Change *SavedInstance `json:"change,omitempty"` // a change of the history
	Copy   *SavedCopy     `json:"copy,omitempty"`   // what a follower's writer has told
	Fence  *Fence         `json:"fence,omitempty"`  // another has taken this writer's place
	Empty  *SavedServices `json:"empty,omitempty"`  // of a snapshot: services without instances
}

// Begin is where a history begins or, in a snapshot, where it is.
type Begin struct {
	History string `json:"history"`
	Version int64  `json:"version"`
	From    int64  `json:"from"` // the version that the changes follow
	Epoch   int64  `json:"epoch"`
	Writer  bool   `json:"writer"` // of this service's own
}

// SavedInstance is an instance at a version.
type SavedInstance struct {
	Version  int64           `json:"version"`
	Instance json.RawMessage `json:"instance"`
	// Left are, of a change in a snapshot, the placements that the instance left with it.
	Left []Placement `json:"left,omitempty"`
}

// SavedServices are the services that have had instances and have none, the first to
// become empty first.
type SavedServices struct {
	Names []string `json:"names"`
}

// SavedCopy is a list that a follower has copied.
type SavedCopy struct {
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

func encodeSaved(s Saved) []byte {
	text, err := json.Marshal(s)
	if err != nil {
		panic(err) // of plain fields
	}
	return text
}

// ParseSaved reads a record.
func ParseSaved(text []byte) (Saved, error) {
	var s Saved
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
func (s *SavedInstance) instance() (Instance, error) {
	var i Instance
	if err := decode(s.Instance, &i); err != nil {
		return i, err
	}
	return i, i.check()
}

// Restore takes a record in, as it was read from a log or a snapshot. All leases
// begin anew.
func (s *Store) Restore(now time.Duration, r Saved) error {
	switch {
	case r.Begin != nil:
		b := r.Begin
		if b.Version < s.version || b.From > b.Version || b.History == "" {
			return fmt.Errorf("a history %q from %d to %d behind version %d", b.History, b.From, b.Version, s.version)
		}
		s.forget()
		s.history, s.version, s.from, s.epoch, s.writes = b.History, b.Version, b.From, b.Epoch, b.Writer
		s.fence = nil
	case r.Entry != nil:
		i, err := r.Entry.instance()
		if err != nil {
			return err
		}
		s.enter(&entry{Instance: i, version: r.Entry.Version, text: r.Entry.Instance, expires: now + s.limits.Lease})
	case r.Change != nil:
		i, err := r.Change.instance()
		if err != nil {
			return err
		}
		if r.Change.Version <= s.version {
			// Of a snapshot, which has what it led to beside it.
			if r.Change.Version == s.from {
				return nil // a follower's; earlier builds kept some of a version that was forgotten
			}
			if r.Change.Version < s.from {
				return fmt.Errorf("version %d is not behind %d", r.Change.Version, s.from)
			}
			c := newChange(i, r.Change.Version, r.Change.Instance, r.Change.Left)
			s.remember(c, c.gone && s.entries[i.ID] == nil)
			return nil
		}
		s.putText(i, r.Change.Instance, r.Change.Version, now, r.Change.Left)
		s.forgetServices()
	case r.Copy != nil:
		s.epoch, s.writes = max(s.epoch, r.Copy.Epoch), false
		return s.Copy(now, r.Copy.Listing, r.Copy.History)
	case r.Fence != nil:
		s.fence = r.Fence
	case r.Empty != nil:
		for _, name := range r.Empty.Names {
			s.services.mention(name)
		}
		s.forgetServices()
	}
	return nil
}

// Save tells all that a snapshot has to hold, as it is now. The texts may be used
// after others have changed the store.
func (s *Store) Save() []Saved {
	all := []Saved{{Begin: &Begin{History: s.history, Version: s.version, From: s.from, Epoch: s.epoch, Writer: s.writes}}}
	for _, id := range slices.Sorted(maps.Keys(s.entries)) {
		e := s.entries[id]
		all = append(all, Saved{Entry: &SavedInstance{Version: e.version, Instance: e.text}})
	}
	if names := s.services.emptyNames(); len(names) > 0 {
		all = append(all, Saved{Empty: &SavedServices{names}})
	}
	for _, c := range s.changes {
		all = append(all, Saved{Change: &SavedInstance{c.version, c.text, c.left()}})
	}
	if s.fence != nil {
		all = append(all, Saved{Fence: s.fence})
	}
	return all
}

// errPending says that the instance is in a change that does not last yet. The
// call can be made again when it does.
var errPending = errors.New("a change of the instance is being kept")

// Writes says whether the history is this service's own.
func (s *Store) Writes() bool { return s.writes }

// Stage makes changes wait: from now on they are not told before Settle.
func (s *Store) Stage() { s.staging = true }

// Staged are the changes that have to last, as records.
func (s *Store) Staged() [][]byte {
	var all [][]byte
	for _, c := range s.staged {
		all = append(all, encodeSaved(Saved{Change: &SavedInstance{Version: c.version, Instance: c.text}}))
	}
	return all
}

// Settle takes the staged changes in: they last.
func (s *Store) Settle(now time.Duration) {
	staged := s.staged
	s.Drop()
	for _, c := range staged {
		s.putText(c.instance, c.text, c.version, now, nil)
	}
	s.forgetServices()
}

// Drop forgets the staged changes: they have not happened.
func (s *Store) Drop() {
	s.staged = nil
	clear(s.pending)
}

// Promote makes the copy of a follower a list that is written here, under a new
// history with a version that is higher than all before. The record has to last
// before it is told.
func (s *Store) Promote(now time.Duration, name string, unixMs int64) Saved {
	b := &Begin{History: name, Version: max(unixMs, s.version+1), Epoch: s.epoch + 1, Writer: true}
	b.From = b.Version
	return Saved{Begin: b}
}

// renewAll begins all leases anew.
func (s *Store) renewAll(now time.Duration) {
	for _, e := range s.entries {
		e.expires = max(e.expires, now+s.limits.Lease)
	}
}
