// Package ledger is a deterministic state machine of named records that change by
// compare-and-set, sessions that records can be bound to, and permits that make units of the fleet
// unavailable (internal/budget). It reads no clock: the leader of a group ends expired sessions by
// a command (see Leases).
package ledger

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"dunlintray/internal/budget"
)

// Limits holds the limits of a State.
type Limits struct {
	Records  int
	Sessions int
	Bytes    int // of all names and values together
	Value    int // bytes of one value
	Callers  int // callers whose last request is kept
	History  int // changes kept for watchers
}

// DefaultLimits keeps a snapshot below the 8 MiB that a log accepts in one frame.
var DefaultLimits = Limits{Records: 10000, Sessions: 8000, Bytes: 3 << 20, Value: 16 << 10, Callers: 8000, History: 20000}

const (
	maxNameBytes = 200
	// MinTTL and MaxTTL are the limits of a session's time to live.
	MinTTL = time.Second
	MaxTTL = time.Hour
)

// Op is the operation of a command.
type Op string

// Operations of commands.
const (
	Put    Op = "put"    // creates or replaces a record
	Delete Op = "delete" // removes a record
	Open   Op = "open"   // opens a session
	End    Op = "end"    // ends a session and removes all records bound to it
	Budget Op = "budget" // applies Command.Units
)

// Command is a change of the state.
type Command struct {
	Op Op `json:"op"`
	// Caller and Request identify the call, so that a repeated one is applied once. A caller
	// numbers its requests upward from 1 and sends one at a time. A command without a caller
	// is applied each time.
	Caller  string `json:"caller,omitempty"`
	Request uint64 `json:"request,omitempty"`

	Name    string          `json:"name,omitempty"`
	Value   json.RawMessage `json:"value,omitempty"`
	Expect  *uint64         `json:"expect,omitempty"`  // version that the record must have; 0: it must not exist; absent: any
	Session uint64          `json:"session,omitempty"` // that the record is bound to, or that End ends
	TTLMs   int64           `json:"ttlMs,omitempty"`   // of a session

	Units *budget.Command `json:"units,omitempty"` // of Budget
}

// Code is the reason why a command changed nothing, or OK.
type Code string

// Codes of results.
const (
	OK        Code = ""
	Conflict  Code = "conflict"   // the record has another version
	NoSession Code = "no session" // the session has ended or never existed
	NotFound  Code = "not found"  // the record does not exist
	Full      Code = "full"       // a limit is reached
	Invalid   Code = "invalid"
	Stale     Code = "stale"   // a later request of the caller has been applied
	Refused   Code = "refused" // the budget rejected the command
)

// Result is the result of a command.
type Result struct {
	Code    Code   `json:"code,omitempty"`
	Text    string `json:"text,omitempty"`
	Version uint64 `json:"version,omitempty"` // of the record after the command; 0: none
	Session uint64 `json:"session,omitempty"` // number of the opened session

	Permit *budget.Permit `json:"permit,omitempty"`
}

// Record is a named value.
type Record struct {
	Name    string          `json:"name"`
	Version uint64          `json:"version"` // index of the command that changed it last
	Value   json.RawMessage `json:"value"`
	Session uint64          `json:"session,omitempty"`
}

// Session is an open session.
type Session struct {
	ID     uint64 `json:"id"`
	Caller string `json:"caller,omitempty"`
	TTLMs  int64  `json:"ttlMs"`
}

// TTL returns the session's time to live without a renewal.
func (s Session) TTL() time.Duration { return time.Duration(s.TTLMs) * time.Millisecond }

// Change is a change of a record. A deleted record has no value.
type Change struct {
	Record
	Deleted bool `json:"gone,omitempty"`
}

// completedRequest is the last request of a caller and its result.
type completedRequest struct {
	Request uint64 `json:"request"`
	Result  Result `json:"result"`
	Index   uint64 `json:"at"`
}

// State is the state of the ledger. It is not safe for concurrent use.
type State struct {
	limits       Limits
	index        uint64 // of the last command
	records      map[string]*Record
	bound        map[uint64]map[string]bool // names by session
	sessions     map[uint64]Session
	bytes        int
	callers      map[string]completedRequest
	changes      []Change
	historyStart uint64 // version before the first entry of changes
	units        *budget.State
}

// New returns an empty state.
func New(limits Limits) *State {
	return &State{limits: limits, records: map[string]*Record{}, bound: map[uint64]map[string]bool{}, sessions: map[uint64]Session{}, callers: map[string]completedRequest{}, units: budget.New()}
}

// Check validates the command, so that an invalid one need not be replicated.
func (c Command) Check(limits Limits) error {
	switch {
	case len(c.Caller) > maxNameBytes:
		return fmt.Errorf("caller: got %d bytes, limit %d", len(c.Caller), maxNameBytes)
	case c.Caller != "" && c.Request == 0:
		return errors.New("request: numbers start from 1, got 0")
	case c.Op == Open:
		if ttl := time.Duration(c.TTLMs) * time.Millisecond; ttl < MinTTL || ttl > MaxTTL {
			return fmt.Errorf("ttlMs: %v is not between %v and %v", ttl, MinTTL, MaxTTL)
		}
		return nil
	case c.Op == End:
		if c.Session == 0 {
			return errors.New("session: number is missing")
		}
		return nil
	case c.Op == Budget && c.Units == nil:
		return errors.New("units: command is missing")
	case c.Op == Budget:
		return c.Units.Check()
	case c.Op != Put && c.Op != Delete:
		return fmt.Errorf("op: %.80q is not put, delete, open, end or budget", c.Op)
	case c.Name == "" || len(c.Name) > maxNameBytes || strings.ContainsFunc(c.Name, func(r rune) bool { return r <= ' ' || r == 0x7f }):
		return fmt.Errorf("name: %.80q does not have 1 to %d bytes without blanks", c.Name, maxNameBytes)
	case c.Op == Put && !json.Valid(c.Value):
		return errors.New("value: it is not JSON")
	case len(c.Value) > limits.Value:
		return fmt.Errorf("value: got %d bytes, limit %d", len(c.Value), limits.Value)
	}
	return nil
}

// Apply applies the command at the index, which must be higher than that of the previous one. The
// result depends on the state and the command only. Results are part of the replicated state, so
// their texts must not differ between members.
func (s *State) Apply(index uint64, command Command) Result {
	s.index = index
	if command.Caller != "" {
		switch last, known := s.callers[command.Caller]; {
		case known && command.Request == last.Request:
			return last.Result
		case known && command.Request < last.Request:
			return Result{Code: Stale, Text: fmt.Sprintf("request %d of caller %s has been applied already, got request %d", last.Request, command.Caller, command.Request)}
		}
	}
	result := s.execute(index, command)
	if command.Caller != "" && result.Code != Invalid {
		s.callers[command.Caller] = completedRequest{command.Request, result, index}
		s.evictCallers()
	}
	return result
}

// evictCallers removes the callers with the oldest requests if there are more than the limit.
func (s *State) evictCallers() {
	if len(s.callers) <= s.limits.Callers {
		return
	}
	// A tenth of the callers at once amortizes the search for the oldest.
	callers := slices.SortedFunc(maps.Keys(s.callers), func(a, b string) int { return cmp.Compare(s.callers[a].Index, s.callers[b].Index) })
	for _, caller := range callers[:1+len(callers)/10] {
		delete(s.callers, caller)
	}
}

func (s *State) execute(index uint64, command Command) Result {
	if err := command.Check(s.limits); err != nil {
		return Result{Code: Invalid, Text: err.Error()}
	}
	switch command.Op {
	case Open:
		if len(s.sessions) >= s.limits.Sessions {
			return Result{Code: Full, Text: fmt.Sprintf("%d sessions are open", len(s.sessions))}
		}
		s.sessions[index] = Session{index, command.Caller, command.TTLMs}
		return Result{Session: index}
	case End:
		if _, exists := s.sessions[command.Session]; !exists {
			return Result{Code: NoSession, Text: fmt.Sprintf("session %d has ended", command.Session)}
		}
		for _, name := range slices.Sorted(maps.Keys(s.bound[command.Session])) {
			s.remove(index, name)
		}
		delete(s.sessions, command.Session)
		s.units.SessionEnded(index, command.Session)
		return Result{}
	case Budget:
		permit, err := s.units.Apply(index, *command.Units, func(id uint64) bool { _, open := s.sessions[id]; return open })
		if err != nil {
			return Result{Code: Refused, Text: err.Error()}
		}
		return Result{Version: index, Permit: permit}
	}
	current := s.records[command.Name]
	version, size := uint64(0), 0
	if current != nil {
		version, size = current.Version, current.size()
	}
	if command.Expect != nil && *command.Expect != version {
		return Result{Code: Conflict, Text: fmt.Sprintf("%s is at version %d, not %d", command.Name, version, *command.Expect), Version: version}
	}
	if command.Op == Delete {
		if current == nil {
			return Result{Code: NotFound, Text: command.Name + " is not there"}
		}
		s.remove(index, command.Name)
		return Result{}
	}
	next := &Record{Name: command.Name, Version: index, Value: bytes.Clone(command.Value), Session: command.Session}
	switch _, open := s.sessions[command.Session]; {
	case command.Session != 0 && !open:
		return Result{Code: NoSession, Text: fmt.Sprintf("session %d has ended", command.Session), Version: version}
	case current == nil && len(s.records) >= s.limits.Records:
		return Result{Code: Full, Text: fmt.Sprintf("there are %d records", len(s.records))}
	case s.bytes-size+next.size() > s.limits.Bytes:
		return Result{Code: Full, Text: fmt.Sprintf("records hold %d bytes of %d", s.bytes, s.limits.Bytes), Version: version}
	}
	s.unbind(current)
	s.put(next)
	s.bytes -= size
	s.appendChange(Change{Record: *next})
	return Result{Version: index}
}

func (r *Record) size() int { return len(r.Name) + len(r.Value) }

func (s *State) put(r *Record) {
	s.records[r.Name] = r
	s.bytes += r.size()
	if r.Session != 0 {
		if s.bound[r.Session] == nil {
			s.bound[r.Session] = map[string]bool{}
		}
		s.bound[r.Session][r.Name] = true
	}
}

func (s *State) unbind(r *Record) {
	if r == nil || r.Session == 0 {
		return
	}
	if delete(s.bound[r.Session], r.Name); len(s.bound[r.Session]) == 0 {
		delete(s.bound, r.Session)
	}
}

func (s *State) remove(index uint64, name string) {
	r := s.records[name]
	s.unbind(r)
	s.bytes -= r.size()
	delete(s.records, name)
	s.appendChange(Change{Record{Name: name, Version: index}, true})
}

// appendChange appends to the history and drops the oldest change beyond the limit.
func (s *State) appendChange(c Change) {
	if s.changes = append(s.changes, c); len(s.changes) > s.limits.History {
		s.historyStart = s.changes[0].Version
		s.changes[0] = Change{}
		s.changes = s.changes[1:]
	}
}

// Units returns the state of the fleet's units. It belongs to s.
func (s *State) Units() *budget.State { return s.units }

// Index returns the index of the last command.
func (s *State) Index() uint64 { return s.index }

// Get returns a record and whether it exists.
func (s *State) Get(name string) (Record, bool) {
	r := s.records[name]
	if r == nil {
		return Record{}, false
	}
	return *r, true
}

// List returns the records whose names start with prefix, sorted by name.
func (s *State) List(prefix string) []Record {
	records := []Record{}
	for name, r := range s.records {
		if strings.HasPrefix(name, prefix) {
			records = append(records, *r)
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return strings.Compare(a.Name, b.Name) })
	return records
}

// Since returns the last change after index of each record whose name starts with prefix. It
// returns false if the history does not go back that far.
func (s *State) Since(index uint64, prefix string) (changes []Change, ok bool) {
	if index < s.historyStart {
		return nil, false
	}
	seen := map[string]bool{}
	for n := len(s.changes) - 1; n >= 0 && s.changes[n].Version > index; n-- {
		if c := s.changes[n]; !seen[c.Name] && strings.HasPrefix(c.Name, prefix) {
			seen[c.Name] = true
			changes = append(changes, c)
		}
	}
	slices.Reverse(changes)
	return changes, true
}

// Sessions returns the open sessions, sorted by number.
func (s *State) Sessions() []Session {
	return slices.SortedFunc(maps.Values(s.sessions), func(a, b Session) int { return cmp.Compare(a.ID, b.ID) })
}

// Stats holds the sizes of a State. Its fields are encoded under their Go names.
type Stats struct{ Records, Sessions, Bytes, Callers, History int }

// Stats returns the sizes of the state.
func (s *State) Stats() Stats {
	return Stats{len(s.records), len(s.sessions), s.bytes, len(s.callers), len(s.changes)}
}

// snapshotLine is the encoding of one line of a snapshot. One of its parts is set.
type snapshotLine struct {
	Index   *uint64           `json:"index,omitempty"`
	Record  *Record           `json:"record,omitempty"`
	Session *Session          `json:"session,omitempty"`
	Caller  string            `json:"caller,omitempty"`
	Done    *completedRequest `json:"done,omitempty"`

	Units json.RawMessage `json:"units,omitempty"`
}

// Save returns a snapshot as lines. It leaves out the history, so watchers get all records after
// a restart.
func (s *State) Save() [][]byte {
	var lines [][]byte
	add := func(line snapshotLine) {
		text, err := json.Marshal(line)
		if err != nil {
			panic(err) // unreachable: all fields can be encoded, and values are valid JSON
		}
		lines = append(lines, text)
	}
	add(snapshotLine{Index: &s.index})
	for _, session := range s.Sessions() {
		add(snapshotLine{Session: &session})
	}
	for _, record := range s.List("") {
		add(snapshotLine{Record: &record})
	}
	for _, caller := range slices.Sorted(maps.Keys(s.callers)) {
		request := s.callers[caller]
		add(snapshotLine{Caller: caller, Done: &request})
	}
	for _, line := range s.units.Save() {
		add(snapshotLine{Units: line})
	}
	return lines
}

// Restore replaces the state by a snapshot that Save returned.
func (s *State) Restore(lines [][]byte) error {
	next := New(s.limits)
	for number, text := range lines {
		var line snapshotLine
		if err := json.Unmarshal(text, &line); err != nil {
			return fmt.Errorf("ledger: decode line %d of a snapshot: %w", number+1, err)
		}
		switch {
		case line.Index != nil:
			next.index, next.historyStart = *line.Index, *line.Index
		case line.Session != nil:
			next.sessions[line.Session.ID] = *line.Session
		case line.Record != nil:
			next.put(line.Record)
		case line.Done != nil:
			next.callers[line.Caller] = *line.Done
		case line.Units != nil:
			if err := next.units.Restore(line.Units); err != nil {
				return err
			}
		default:
			return fmt.Errorf("ledger: line %d of a snapshot has no content", number+1)
		}
	}
	*s = *next
	return nil
}
