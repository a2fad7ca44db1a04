// Package ledger is what a group of list services agrees on beside the list: named
// records that change by compare-and-set, sessions that they can be bound to, and permits
// by which units of the fleet may be out (internal/budget). It
// is a state machine: commands go in, in the order that the group has agreed on, and
// every member comes to the same results. No clock is in it; whoever writes tells by a
// command of its own that a session has ended (see Leases).
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

// Limits bound a State.
type Limits struct {
	Records  int
	Sessions int
	Bytes    int // of all names and values
	Value    int // bytes of one
	Callers  int // of which the last request is remembered
	History  int // changes that watchers can go on from
}

// DefaultLimits keep a snapshot under the 8 MiB that a log takes in one piece.
var DefaultLimits = Limits{Records: 10000, Sessions: 8000, Bytes: 3 << 20, Value: 16 << 10, Callers: 8000, History: 20000}

const (
	maxNameBytes = 200
	// LeastTTL and MostTTL bound a session's time to live.
	MinTTL = time.Second
	MaxTTL = time.Hour
)

// Op is what a command does.
type Op string

// The operations.
const (
	Put    Op = "put"    // a record, which is made if it is not there
	Delete Op = "delete" // a record
	Open   Op = "open"   // a session
	End    Op = "end"    // a session, with all records bound to it
	Budget Op = "budget" // what Units says
)

// Command is one change.
type Command struct {
	Op Op `json:"op"`
	// Caller and Request name the call: one that is made again is done once. A caller
	// numbers its requests upward and makes one at a time. Without a caller nothing is
	// remembered.
	Caller  string `json:"caller,omitempty"`
	Request uint64 `json:"request,omitempty"`

	Name    string          `json:"name,omitempty"`
	Value   json.RawMessage `json:"value,omitempty"`
	Expect  *uint64         `json:"expect,omitempty"`  // the record's version, 0: none; absent: any
	Session uint64          `json:"session,omitempty"` // that the record is bound to, or that ends
	TTLMs   int64           `json:"ttlMs,omitempty"`   // of a session

	Units *budget.Command `json:"units,omitempty"` // of Budget
}

// Code is why a command changed nothing.
type Code string

// The codes.
const (
	OK        Code = ""
	Conflict  Code = "conflict"   // the record is at another version
	NoSession Code = "no session" // it has ended, or never was
	NotFound  Code = "not found"  // there is no such record
	Full      Code = "full"       // a bound is reached
	Invalid   Code = "invalid"
	Stale     Code = "stale"   // a later request of the caller has been done
	Refused   Code = "refused" // no permit, or none such
)

// Result is what a command came to.
type Result struct {
	Code    Code   `json:"code,omitempty"`
	Text    string `json:"text,omitempty"`
	Version uint64 `json:"version,omitempty"` // of the record now; 0: there is none
	Session uint64 `json:"session,omitempty"` // that was opened

	Permit *budget.Permit `json:"permit,omitempty"`
}

// Record is one by its name.
type Record struct {
	Name    string          `json:"name"`
	Version uint64          `json:"version"` // the place in the agreed order at which it changed last
	Value   json.RawMessage `json:"value"`
	Session uint64          `json:"session,omitempty"`
}

// Session is one that is open.
type Session struct {
	ID     uint64 `json:"id"`
	Caller string `json:"caller,omitempty"`
	TTLMs  int64  `json:"ttlMs"`
}

// TTL is how long it lives without a renewal.
func (s Session) TTL() time.Duration { return time.Duration(s.TTLMs) * time.Millisecond }

// Change is one of the history. A record without a value is gone.
type Change struct {
	Record
	Deleted bool `json:"gone,omitempty"`
}

// done is a caller's last request and what it came to.
type completedRequest struct {
	Request uint64 `json:"request"`
	Result  Result `json:"result"`
	Index   uint64 `json:"at"`
}

// State is the ledger. It is not safe for use by several goroutines.
type State struct {
	limits       Limits
	index        uint64 // of the last command
	records      map[string]*Record
	bound        map[uint64]map[string]bool // names by session
	sessions     map[uint64]Session
	bytes        int
	callers      map[string]completedRequest
	changes      []Change
	historyStart uint64 // the version that changes follow
	units        *budget.State
}

// New returns an empty ledger.
func New(limits Limits) *State {
	return &State{limits: limits, records: map[string]*Record{}, bound: map[uint64]map[string]bool{}, sessions: map[uint64]Session{}, callers: map[string]completedRequest{}, units: budget.New()}
}

// Check finds what no ledger would take, so that it need not be agreed on.
func (c Command) Check(limits Limits) error {
	switch {
	case len(c.Caller) > maxNameBytes:
		return fmt.Errorf("caller: %d bytes are over %d", len(c.Caller), maxNameBytes)
	case c.Caller != "" && c.Request == 0:
		return errors.New("request: a caller numbers its requests from 1")
	case c.Op == Open:
		if ttl := time.Duration(c.TTLMs) * time.Millisecond; ttl < MinTTL || ttl > MaxTTL {
			return fmt.Errorf("ttlMs: %v is not from %v to %v", ttl, MinTTL, MaxTTL)
		}
		return nil
	case c.Op == End:
		if c.Session == 0 {
			return errors.New("session: none is named")
		}
		return nil
	case c.Op == Budget && c.Units == nil:
		return errors.New("units: nothing is said of them")
	case c.Op == Budget:
		return c.Units.Check()
	case c.Op != Put && c.Op != Delete:
		return fmt.Errorf("op: %.80q is not put, delete, open, end or budget", c.Op)
	case c.Name == "" || len(c.Name) > maxNameBytes || strings.ContainsFunc(c.Name, func(r rune) bool { return r <= ' ' || r == 0x7f }):
		return fmt.Errorf("name: %.80q is not from 1 to %d bytes without blanks", c.Name, maxNameBytes)
	case c.Op == Put && !json.Valid(c.Value):
		return errors.New("value: it is not JSON")
	case len(c.Value) > limits.Value:
		return fmt.Errorf("value: %d bytes are over %d", len(c.Value), limits.Value)
	}
	return nil
}

// Apply does a command at its place in the agreed order. What it came to follows from
// the ledger and the command alone.
func (s *State) Apply(index uint64, command Command) Result {
	s.index = index
	if command.Caller != "" {
		switch last, known := s.callers[command.Caller]; {
		case known && command.Request == last.Request:
			return last.Result
		case known && command.Request < last.Request:
			return Result{Code: Stale, Text: fmt.Sprintf("request %d of %s has been done, this is %d", last.Request, command.Caller, command.Request)}
		}
	}
	result := s.execute(index, command)
	if command.Caller != "" && result.Code != Invalid {
		s.callers[command.Caller] = completedRequest{command.Request, result, index}
		s.evictCallers()
	}
	return result
}

// forget drops callers beyond the limit, those that have asked longest ago.
func (s *State) evictCallers() {
	if len(s.callers) <= s.limits.Callers {
		return
	}
	// A tenth at once, so that not every call looks for the oldest.
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

// remember puts a change into the history, which forgets the oldest for it.
func (s *State) appendChange(c Change) {
	if s.changes = append(s.changes, c); len(s.changes) > s.limits.History {
		s.historyStart = s.changes[0].Version
		s.changes[0] = Change{}
		s.changes = s.changes[1:]
	}
}

// Units are the units of the fleet, and who may be out.
func (s *State) Units() *budget.State { return s.units }

// Index is the place of the last command.
func (s *State) Index() uint64 { return s.index }

// Get returns a record.
func (s *State) Get(name string) (Record, bool) {
	r := s.records[name]
	if r == nil {
		return Record{}, false
	}
	return *r, true
}

// List returns the records whose names begin so, by name.
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

// Since returns what has changed behind a place in the order, the last state of each
// record, if the history goes back so far.
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

// Sessions returns those that are open, by number.
func (s *State) Sessions() []Session {
	return slices.SortedFunc(maps.Values(s.sessions), func(a, b Session) int { return cmp.Compare(a.ID, b.ID) })
}

// Stats are a State's figures.
type Stats struct{ Records, Sessions, Bytes, Callers, History int }

// Stats returns the figures.
func (s *State) Stats() Stats {
	return Stats{len(s.records), len(s.sessions), s.bytes, len(s.callers), len(s.changes)}
}

// saved is one line of a snapshot; one of its parts is set.
type snapshotLine struct {
	Index   *uint64           `json:"index,omitempty"`
	Record  *Record           `json:"record,omitempty"`
	Session *Session          `json:"session,omitempty"`
	Caller  string            `json:"caller,omitempty"`
	Done    *completedRequest `json:"done,omitempty"`

	Units json.RawMessage `json:"units,omitempty"`
}

// Save returns the ledger as lines. The history is not in it: who watches across a
// restart is told everything.
func (s *State) Save() [][]byte {
	var lines [][]byte
	add := func(line snapshotLine) {
		text, err := json.Marshal(line)
		if err != nil {
			panic(err) // of plain fields, and values that are JSON
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

// Restore puts what Save returned in the ledger's place.
func (s *State) Restore(lines [][]byte) error {
	next := New(s.limits)
	for n, text := range lines {
		var line snapshotLine
		if err := json.Unmarshal(text, &line); err != nil {
			return fmt.Errorf("ledger: line %d of a snapshot: %w", n+1, err)
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
			return fmt.Errorf("ledger: line %d of a snapshot says nothing", n+1)
		}
	}
	*s = *next
	return nil
}
