package registry

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"dunlintray/internal/budget"
)

// Agreement is a group of list services that agree on one list.
type Group interface {
	// Append has the group agree on records, in one piece. Without an error this member
	// has applied them. With one it is not known whether they will be, and this member
	// writes no more until it is told anew that it does.
	Append(records [][]byte) error
	// Age is how long ago this member last heard from who writes; below 0: never.
	Age() time.Duration
}

var errOutcomeUnknown = errors.New("it is not known whether the group takes it")

// agreed is the part of a Server whose list a group agrees on. Changes are made by the
// member that writes: it stages them as for a log, the group agrees on the records, and
// each member applies them.
type replicated struct {
	group       Group
	historyName string // of the history, if this member begins it
}

// NewAgreed serves a list that a group agrees on, at an address that others know. It
// writes nothing until the group says that it does.
func NewGroupMember(selfAddress string, limits Limits, serverLimits ServerLimits, startedAt time.Time, random *rand.Rand) *Server {
	server := NewWriter(selfAddress, newStore(limits, 0), serverLimits, startedAt, random)
	server.replicated = &replicated{historyName: fmt.Sprintf("%016x", random.Uint64())}
	server.store.EnableStaging()
	noWriter := ""
	server.writer.Store(&noWriter)
	server.persister = &persister{server: server, requests: make(chan *pendingWrite), snapshotDone: make(chan error, 1)}
	return server
}

// Agree names the group. It comes before Serve.
func (s *Server) SetGroup(group Group) {
	s.replicated.group = group
	s.age = func() int64 {
		if s.writer.Load() == nil {
			return 0
		}
		if age := group.Age(); age >= 0 {
			return age.Milliseconds()
		}
		return -1
	}
	s.persister.appendRecords = func(records [][]byte) error {
		if err := group.Append(records); err != nil {
			return fmt.Errorf("%w: %w", errOutcomeUnknown, err)
		}
		return nil
	}
}

// SetWriter tells who writes: this member or another, by its list service's address,
// which is empty for nobody that is known. A member that begins to write has applied all
// that was agreed on before.
func (s *Server) SetWriter(isSelf bool, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !isSelf {
		if s.store.isWriter {
			s.store.isWriter = false
			s.store.DropStaged() // what is staged comes by the group, or never
		}
		s.writer.Store(&address)
		return
	}
	now := s.now()
	s.store.isWriter, s.store.lastTick = true, now
	s.store.renewAll(now) // they were renewed elsewhere
	s.writer.Store(nil)
	slog.Info("this list service writes", "history", s.store.history, "version", s.store.version)
}

// begin has the group agree on a history, if it has none and this member writes. The
// keeper does it, between two batches.
func (s *Server) beginHistory() {
	s.mu.Lock()
	due := s.store.isWriter && s.store.history == ""
	s.mu.Unlock()
	if !due {
		return
	}
	begin := Begin{History: s.replicated.historyName, Version: time.Now().UnixMilli(), Epoch: 1}
	begin.BaseVersion = begin.Version
	if err := s.replicated.group.Append([][]byte{encodeRecord(Record{Begin: &begin})}); err != nil {
		slog.Warn("no history was begun", "error", err) // it is tried again, here or by who writes next
	}
}

// ApplyList applies records that the group has agreed on.
func (s *Server) ApplyList(records [][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for _, encoded := range records {
		record, err := ParseRecord(encoded)
		switch {
		case err != nil:
		case record.Begin != nil && s.store.history != "":
			continue // another has begun it
		case record.Change != nil && record.Change.Version != s.store.version+1:
			// All members see the same, and leave it out.
			err = fmt.Errorf("a change to version %d where the list is at %d", record.Change.Version, s.store.version)
		default:
			isWriter := s.store.isWriter
			err = s.store.Restore(now, record)
			s.store.isWriter = isWriter
			if record.Begin != nil && err == nil {
				// It may have begun long ago, and be applied again by a process that starts.
				age := time.Duration(time.Now().UnixMilli()-record.Begin.Version) * time.Millisecond
				wait := min(max(s.store.limits.Lease-age, 0), s.store.limits.Lease)
				s.store.gatheringUntil = now + wait
				slog.Info("a history", "name", record.Begin.History, "version", record.Begin.Version, "reads_in", wait)
			}
		}
		if err != nil {
			slog.Error("a record that the group agreed on", "error", err)
		}
	}
	s.wake()
}

// Sights are what records of the list say of backends.
func (s *Server) BackendStates(records [][]byte) (states []budget.BackendState) {
	for _, encoded := range records {
		record, err := ParseRecord(encoded)
		if err != nil || record.Change == nil {
			continue
		}
		if instance, err := record.Change.instance(); err == nil {
			states = append(states, backendState(instance))
		}
	}
	return states
}

// SaveList returns the list for a snapshot of the group's.
func (s *Server) SaveList() (lines [][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.store.history == "" {
		return nil
	}
	for _, record := range s.store.SnapshotRecords() {
		if record.Begin != nil {
			record.Begin.Writer = false // of a member, not of the list
		}
		lines = append(lines, encodeRecord(record))
	}
	return lines
}

// RestoreList puts a snapshot's list in this one's place.
func (s *Server) RestoreList(lines [][]byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	store := newStore(s.store.limits, now)
	for _, encoded := range lines {
		record, err := ParseRecord(encoded)
		if err == nil {
			err = store.Restore(now, record)
		}
		if err != nil {
			return err
		}
	}
	store.isWriter, store.staging, store.stats = s.store.isWriter, true, s.store.stats
	s.store = store
	s.wake()
	return nil
}

// Renew begins a history in place of the one that the list is in. Readers take its whole
// list anew: of the one before, they may have seen what is lost.
func (s *Server) StartHistory() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.store.history == "" {
		return nil // none has begun
	}
	begin := Begin{History: s.replicated.historyName, Version: max(time.Now().UnixMilli(), s.store.version+1), Epoch: s.store.epoch + 1}
	begin.BaseVersion = begin.Version
	return s.store.Restore(s.now(), Record{Begin: &begin})
}

// TakeOver puts a list in this one's place: a writer's with its history, a follower's copy
// under a new one, as its writer may have told readers more than it has copied.
func (s *Server) TakeOver(source *Store) (copied bool, err error) {
	if source.fence != nil {
		return false, fmt.Errorf("another, %s, has taken this writer's place", source.fence.Writer)
	}
	var lines [][]byte
	for _, record := range source.SnapshotRecords() {
		if record.Begin != nil {
			record.Begin.Writer = false
		}
		lines = append(lines, encodeRecord(record))
	}
	if err := s.RestoreList(lines); err != nil || source.isWriter {
		return false, err
	}
	return true, s.StartHistory()
}

// AllSights are how the list has all its backends.
func (s *Server) AllBackendStates() (states []budget.BackendState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(s.store.entries)) {
		states = append(states, backendState(s.store.entries[id].Instance))
	}
	return states
}

func backendState(instance Instance) budget.BackendState {
	return budget.BackendState{ID: instance.ID, Zone: instance.Zone, Weight: instance.Weight, Incarnation: strconv.FormatInt(instance.StartedAtMs, 10), Ready: instance.Lifecycle == Ready}
}

// refuseElsewhere turns away what only the writer does. The caller has the lock.
func (s *Server) checkIsWriter() error {
	switch {
	case s.replicated == nil || s.store.isWriter && s.store.history != "":
		return nil
	case s.store.isWriter:
		return refuse(http.StatusServiceUnavailable, "the history has not begun")
	}
	return refuse(http.StatusServiceUnavailable, "this list service does not write now")
}

// closeLog ends a log, where the keeper has one of its own.
func (k *persister) closeLog() error {
	if k.log == nil {
		return nil
	}
	return k.log.Close()
}
