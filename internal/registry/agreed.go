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

// Group replicates the records of one list among the members of a consensus group.
type Group interface {
	// Append commits records atomically. If it returns nil, this member has applied them. If
	// it returns an error, the outcome is unknown, and this member must not write until the
	// next SetWriter call makes it the writer.
	Append(records [][]byte) error
	// Age returns the time since this member last received a message from the writer; it is
	// negative before the first one.
	Age() time.Duration
}

var errOutcomeUnknown = errors.New("it is not known whether the group will commit the change")

// replicated is the state of a Server whose list a group replicates. The writing member
// stages changes as for a log, the group commits the records, and each member applies them.
type replicated struct {
	group       Group
	historyName string // name of the history if this member begins it
}

// NewGroupMember returns a Server for a list that a group replicates. Call SetGroup before
// Serve. The server rejects writes until SetWriter makes it the writer. selfAddress is the
// address at which other processes reach it.
func NewGroupMember(selfAddress string, limits Limits, serverLimits ServerLimits, startedAt time.Time, random *rand.Rand) *Server {
	server := NewWriter(selfAddress, newStore(limits, 0), serverLimits, startedAt, random)
	server.replicated = &replicated{historyName: fmt.Sprintf("%016x", random.Uint64())}
	server.store.EnableStaging()
	noWriter := ""
	server.writer.Store(&noWriter)
	server.persister = &persister{server: server, requests: make(chan *pendingWrite), snapshotDone: make(chan error, 1)}
	return server
}

// SetGroup sets the group that replicates the list. Call it before Serve.
func (s *Server) SetGroup(group Group) {
	s.replicated.group = group
	s.ageMs = func() int64 {
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

// SetWriter sets the writer: this member, or the member at an address, which is empty if the
// writer is unknown. A member must have applied all committed records before it becomes the
// writer.
func (s *Server) SetWriter(isSelf bool, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !isSelf {
		if s.store.isWriter {
			s.store.isWriter = false
			s.store.DropStaged() // the group may still commit them
		}
		s.writer.Store(&address)
		return
	}
	now := s.now()
	s.store.isWriter, s.store.lastTick = true, now
	s.store.renewAll(now) // the previous writer received the renewals
	s.writer.Store(nil)
	slog.Info("this list service writes", "history", s.store.history, "version", s.store.version)
}

// beginHistory begins a history if there is none and this member is the writer. The
// persister calls it between two batches.
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
		slog.Warn("history could not be begun", "error", err) // the writer retries at its next tick
	}
}

// ApplyList applies committed records.
func (s *Server) ApplyList(records [][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for _, encoded := range records {
		record, err := ParseRecord(encoded)
		switch {
		case err != nil:
		case record.Begin != nil && s.store.history != "":
			continue // another member has begun the history
		case record.Change != nil && record.Change.Version != s.store.version+1:
			// All members skip the record alike.
			err = fmt.Errorf("change to version %d cannot follow version %d", record.Change.Version, s.store.version)
		default:
			isWriter := s.store.isWriter
			err = s.store.Restore(now, record)
			s.store.isWriter = isWriter
			if record.Begin != nil && err == nil {
				// A restarted process applies the record again, long after the history began.
				age := time.Duration(time.Now().UnixMilli()-record.Begin.Version) * time.Millisecond
				wait := min(max(s.store.limits.Lease-age, 0), s.store.limits.Lease)
				s.store.gatheringUntil = now + wait
				slog.Info("a history", "name", record.Begin.History, "version", record.Begin.Version, "reads_in", wait)
			}
		}
		if err != nil {
			slog.Error("committed record skipped", "error", err)
		}
	}
	s.wake()
}

// BackendStates returns the backend states that encoded records contain.
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

// SaveList returns the encoded records of a snapshot of the list, or nil if no history has
// begun.
func (s *Server) SaveList() (lines [][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.store.history == "" {
		return nil
	}
	for _, record := range s.store.SnapshotRecords() {
		if record.Begin != nil {
			record.Begin.Writer = false // a property of the member, not of the list
		}
		lines = append(lines, encodeRecord(record))
	}
	return lines
}

// RestoreList replaces the list by that of a snapshot. On error the list stays as it was.
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

// StartHistory replaces the history of the list by a new one, so that readers fetch the full
// list: they may have seen changes that were lost. It does nothing if no history has begun.
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

// TakeOver replaces the list by that of source: a writer's with its history, or a follower's
// copy under a new history, as readers may have seen changes that the follower has not. It
// reports whether source was a follower's copy.
func (s *Server) TakeOver(source *Store) (fromFollower bool, err error) {
	if source.fence != nil {
		return false, fmt.Errorf("another writer, %s, has replaced the writer of this list", source.fence.Writer)
	}
	var lines [][]byte
	for _, record := range source.SnapshotRecords() {
		if record.Begin != nil {
			record.Begin.Writer, record.Begin.Replaced = false, nil
		}
		lines = append(lines, encodeRecord(record))
	}
	if err := s.RestoreList(lines); err != nil || source.isWriter {
		return false, err
	}
	return true, s.StartHistory()
}

// AllBackendStates returns the states of all backends in the list.
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

// checkIsWriter returns an error if this member of a group cannot write. The caller holds
// s.mu.
func (s *Server) checkIsWriter() error {
	switch {
	case s.replicated == nil || s.store.isWriter && s.store.history != "":
		return nil
	case s.store.isWriter:
		return refuse(http.StatusServiceUnavailable, "the history of the list has not begun")
	}
	return refuse(http.StatusServiceUnavailable, "this list service does not write now")
}

// closeLog closes the persister's log, if it has one.
func (p *persister) closeLog() error {
	if p.log == nil {
		return nil
	}
	return p.log.Close()
}
