package ledger

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// model is a simple reference implementation of State without the limit of callers.
type model struct {
	records      map[string]Record
	sessions     map[uint64]Session
	lastRequests map[string]completedRequest
	history      []Change
}

// apply returns the expected result of a command.
func (m *model) apply(index uint64, command Command, limits Limits) (result Result) {
	if command.Caller != "" {
		switch last, known := m.lastRequests[command.Caller]; {
		case known && command.Request == last.Request:
			return last.Result
		case known && command.Request < last.Request:
			return Result{Code: Stale}
		}
		defer func() { m.lastRequests[command.Caller] = completedRequest{command.Request, result, index} }()
	}
	current := m.records[command.Name]
	remove := func(name string) {
		delete(m.records, name)
		m.history = append(m.history, Change{Record{Name: name, Version: index}, true})
	}
	_, open := m.sessions[command.Session]
	size := len(command.Name) + len(command.Value)
	for name, r := range m.records {
		if name != command.Name {
			size += len(name) + len(r.Value)
		}
	}
	switch {
	case command.Op == Open && len(m.sessions) >= limits.Sessions:
		return Result{Code: Full}
	case command.Op == Open:
		m.sessions[index] = Session{index, command.Caller, command.TTLMs}
		return Result{Session: index}
	case command.Op == End && !open:
		return Result{Code: NoSession}
	case command.Op == End:
		for _, name := range slices.Sorted(maps.Keys(m.records)) {
			if m.records[name].Session == command.Session {
				remove(name)
			}
		}
		delete(m.sessions, command.Session)
		return Result{}
	case command.Expect != nil && *command.Expect != current.Version:
		return Result{Code: Conflict, Version: current.Version}
	case command.Op == Delete && current.Version == 0:
		return Result{Code: NotFound}
	case command.Op == Delete:
		remove(command.Name)
		return Result{}
	case command.Session != 0 && !open:
		return Result{Code: NoSession, Version: current.Version}
	case current.Version == 0 && len(m.records) >= limits.Records, size > limits.Bytes:
		return Result{Code: Full, Version: current.Version}
	}
	m.records[command.Name] = Record{command.Name, index, command.Value, command.Session}
	m.history = append(m.history, Change{Record: m.records[command.Name]})
	return Result{Version: index}
}

// State matches the model for random and repeated commands, for watchers that continue from any
// index, and after a restore, and it stays within its limits.
func TestStateMatchesModel(t *testing.T) {
	limits := Limits{Records: 4, Sessions: 3, Bytes: 60, Value: 30, Callers: 100, History: 6}
	rapid.Check(t, func(t *rapid.T) {
		state := New(limits)
		reference := &model{records: map[string]Record{}, sessions: map[uint64]Session{}, lastRequests: map[string]completedRequest{}}
		watched, watchedIndex := map[string]Record{}, uint64(0)
		var index uint64
		var last Command
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			index += uint64(rapid.IntRange(1, 2).Draw(t, "gap"))
			command := Command{Op: rapid.SampledFrom([]Op{Put, Put, Put, Delete, Open, End}).Draw(t, "op")}
			switch command.Op {
			case Put, Delete:
				command.Name = rapid.SampledFrom([]string{"a", "b/1", "b/2", "c", "d", "e"}).Draw(t, "name")
				if rapid.Bool().Draw(t, "conditional") {
					version := reference.records[command.Name].Version
					if rapid.IntRange(0, 3).Draw(t, "wrong") == 0 {
						version++
					}
					command.Expect = &version
				}
			case Open:
				command.TTLMs = 2000
			}
			if command.Op == Put {
				command.Value, _ = json.Marshal(strings.Repeat("x", rapid.IntRange(0, 25).Draw(t, "size")))
			}
			if command.Op == End || command.Op == Put && rapid.Bool().Draw(t, "bound") {
				sessions := append(slices.Sorted(maps.Keys(reference.sessions)), 999)
				command.Session = rapid.SampledFrom(sessions).Draw(t, "session")
			}
			if rapid.Bool().Draw(t, "named") {
				command.Caller = rapid.SampledFrom([]string{"x", "y"}).Draw(t, "caller")
				command.Request = reference.lastRequests[command.Caller].Request + uint64(rapid.IntRange(0, 2).Draw(t, "request"))
				if command.Request == 0 {
					command.Request = 1
				}
			}
			if last.Op != "" && rapid.IntRange(0, 4).Draw(t, "again") == 0 {
				command = last
			}
			last = command
			got, want := state.Apply(index, command), reference.apply(index, command, limits)
			if got.Text, want.Text = "", ""; got != want {
				t.Fatalf("%+v at %d: got %+v, want %+v", command, index, got, want)
			}
			if rapid.IntRange(0, 9).Draw(t, "snapshot") == 0 {
				restored := New(limits)
				if err := restored.Restore(state.Save()); err != nil {
					t.Fatal(err)
				}
				if fmt.Sprintf("%q", restored.Save()) != fmt.Sprintf("%q", state.Save()) || !reflect.DeepEqual(restored.bound, state.bound) || restored.bytes != state.bytes {
					t.Fatalf("restored: got %q, want %q", restored.Save(), state.Save())
				}
				state = restored
			}
			if stats := state.Stats(); stats.Records > limits.Records || stats.Sessions > limits.Sessions || stats.Bytes > limits.Bytes || stats.History > limits.History {
				t.Fatalf("limits exceeded: %+v", stats)
			}
			if rapid.Bool().Draw(t, "watch") {
				changes, complete := state.Since(watchedIndex, "")
				if !complete {
					clear(watched)
					for _, r := range state.List("") {
						watched[r.Name] = r
					}
				}
				for _, c := range changes {
					if watched[c.Name] = c.Record; c.Deleted {
						delete(watched, c.Name)
					}
				}
				watchedIndex = state.Index()
				if fmt.Sprint(watched) != fmt.Sprint(reference.records) {
					t.Fatalf("watched records: got %v, want %v", watched, reference.records)
				}
			}
			for name, r := range reference.records {
				if got, there := state.Get(name); !there || !reflect.DeepEqual(got, r) {
					t.Fatalf("record %s: got %+v, want %+v", name, got, r)
				}
			}
			if len(state.records) != len(reference.records) || !slices.Equal(slices.Sorted(maps.Keys(state.sessions)), slices.Sorted(maps.Keys(reference.sessions))) {
				t.Fatalf("got records %v and sessions %v, want %v and %v", state.records, state.sessions, reference.records, reference.sessions)
			}
		}
	})
}

// The callers with the oldest requests are evicted beyond the limit, and invalid commands and
// snapshots are refused.
func TestCallersAreBoundedAndInvalidCommandsRefused(t *testing.T) {
	state := New(Limits{Records: 10, Sessions: 10, Bytes: 1000, Value: 10, Callers: 20, History: 10})
	for n := range uint64(100) {
		state.Apply(n+1, Command{Op: Open, TTLMs: 2000, Caller: fmt.Sprint(n), Request: 1})
	}
	if stats := state.Stats(); stats.Callers > 20 || stats.Callers < 15 || state.callers["99"].Index != 100 || state.callers["0"].Index != 0 {
		t.Errorf("wrong callers evicted: %+v", stats)
	}
	for _, c := range []Command{{}, {Op: "steal"}, {Op: Put, Name: "a"}, {Op: Put, Name: "a", Value: []byte("{")}, {Op: Put, Name: "a b", Value: []byte("1")},
		{Op: Put, Name: "a", Value: []byte(`"0123456789"`)}, {Op: Put, Value: []byte("1")}, {Op: Open}, {Op: Open, TTLMs: 1 << 40}, {Op: End}, {Op: Delete, Name: "a", Caller: "c"}} {
		if r := state.Apply(1000, c); r.Code != Invalid {
			t.Errorf("%+v: got %+v, want code invalid", c, r)
		}
	}
	if err := state.Restore([][]byte{[]byte("{}")}); err == nil {
		t.Error("restored a snapshot line without content")
	}
}

// No leader ends a session while its holder may act on it, for any clock drift, change of the
// leader or lost response. Without the drift margin the test fails.
func TestNoSessionEndsWhileHeld(t *testing.T) {
	endsEarly := false
	simulate := func(t *rapid.T, withMargin bool) (endedAt, heldUntil time.Duration) {
		drawRate := func(name string) float64 {
			return rapid.Float64Range(1-MaxClockDrift/2, 1+MaxClockDrift/2).Draw(t, name)
		} // half of the drift, relative to real time
		holderRate := drawRate("holder rate")
		session := Session{ID: 7, TTLMs: 2000}
		var held HeldLease
		var leases Leases
		leaderRate := drawRate("leader rate")
		clock := func(now time.Duration, rate float64) time.Duration { return time.Duration(float64(now) * rate) }
		renew := func(now time.Duration) {
			if leases.Renew(now, session); !withMargin {
				leases.deadlines[session.ID] = now + session.TTL()
			}
		}
		now := time.Duration(0)
		held.Renewed(clock(now, holderRate), session)
		leases.Reset(clock(now, leaderRate), nil)
		renew(clock(now, leaderRate))
		for range rapid.IntRange(0, 20).Draw(t, "renewals") {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			sentAt := clock(now, holderRate)
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0: // the response is lost
				renew(clock(now, leaderRate))
			case 1: // another member becomes the leader
				leaderRate = drawRate("next leader rate")
				leases.Reset(clock(now, leaderRate), []Session{session})
			case 2:
				now += time.Duration(rapid.IntRange(0, 300).Draw(t, "late")) * time.Millisecond
				if len(leases.Expired(clock(now, leaderRate), []Session{session})) == 0 {
					renew(clock(now, leaderRate))
					held.Renewed(sentAt, session)
				}
			}
			if len(leases.Expired(clock(now, leaderRate), []Session{session})) > 0 {
				break
			}
		}
		for ; len(leases.Expired(clock(now, leaderRate), []Session{session})) == 0; now += time.Millisecond {
		}
		return now, time.Duration(float64(held.validUntil) / holderRate)
	}
	rapid.Check(t, func(t *rapid.T) {
		if endedAt, heldUntil := simulate(t, true); heldUntil > endedAt {
			t.Fatalf("session ended at %v while its lease was valid until %v", endedAt, heldUntil)
		}
		endedAt, heldUntil := simulate(t, false)
		endsEarly = endsEarly || heldUntil > endedAt
	})
	if !endsEarly {
		t.Error("no session ends early without the margin: the test detects nothing")
	}
}
