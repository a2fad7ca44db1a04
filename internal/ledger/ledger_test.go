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

// model is the ledger as a reader would write it down, without bounds of callers.
type model struct {
	records  map[string]Record
	sessions map[uint64]Session
	done     map[string]completedRequest
	history  []Change
}

// apply is what a command has to come to.
func (m *model) apply(index uint64, c Command, limits Limits) (r Result) {
	if c.Caller != "" {
		switch last, known := m.done[c.Caller]; {
		case known && c.Request == last.Request:
			return last.Result
		case known && c.Request < last.Request:
			return Result{Code: Stale}
		}
		defer func() { m.done[c.Caller] = completedRequest{c.Request, r, index} }()
	}
	have := m.records[c.Name]
	gone := func(name string) {
		delete(m.records, name)
		m.history = append(m.history, Change{Record{Name: name, Version: index}, true})
	}
	_, open := m.sessions[c.Session]
	bytes := len(c.Name) + len(c.Value)
	for name, r := range m.records {
		if name != c.Name {
			bytes += len(name) + len(r.Value)
		}
	}
	switch {
	case c.Op == Open && len(m.sessions) >= limits.Sessions:
		return Result{Code: Full}
	case c.Op == Open:
		m.sessions[index] = Session{index, c.Caller, c.TTLMs}
		return Result{Session: index}
	case c.Op == End && !open:
		return Result{Code: NoSession}
	case c.Op == End:
		for _, name := range slices.Sorted(maps.Keys(m.records)) {
			if m.records[name].Session == c.Session {
				gone(name)
			}
		}
		delete(m.sessions, c.Session)
		return Result{}
	case c.Expect != nil && *c.Expect != have.Version:
		return Result{Code: Conflict, Version: have.Version}
	case c.Op == Delete && have.Version == 0:
		return Result{Code: NotFound}
	case c.Op == Delete:
		gone(c.Name)
		return Result{}
	case c.Session != 0 && !open:
		return Result{Code: NoSession, Version: have.Version}
	case have.Version == 0 && len(m.records) >= limits.Records, bytes > limits.Bytes:
		return Result{Code: Full, Version: have.Version}
	}
	m.records[c.Name] = Record{c.Name, index, c.Value, c.Session}
	m.history = append(m.history, Change{Record: m.records[c.Name]})
	return Result{Version: index}
}

// Whatever commands come, also again, the ledger does what the model says, within its
// bounds; watchers that go on from any place come to the same records; and a snapshot
// goes on like the ledger that it is of.
func TestState(t *testing.T) {
	limits := Limits{Records: 4, Sessions: 3, Bytes: 60, Value: 30, Callers: 100, History: 6}
	rapid.Check(t, func(t *rapid.T) {
		s := New(limits)
		m := &model{records: map[string]Record{}, sessions: map[uint64]Session{}, done: map[string]completedRequest{}}
		watched, at := map[string]Record{}, uint64(0)
		var index uint64
		var last Command
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			index += uint64(rapid.IntRange(1, 2).Draw(t, "gap"))
			c := Command{Op: rapid.SampledFrom([]Op{Put, Put, Put, Delete, Open, End}).Draw(t, "op")}
			switch c.Op {
			case Put, Delete:
				c.Name = rapid.SampledFrom([]string{"a", "b/1", "b/2", "c", "d", "e"}).Draw(t, "name")
				if rapid.Bool().Draw(t, "conditional") {
					v := m.records[c.Name].Version
					if rapid.IntRange(0, 3).Draw(t, "wrong") == 0 {
						v++
					}
					c.Expect = &v
				}
			case Open:
				c.TTLMs = 2000
			}
			if c.Op == Put {
				c.Value, _ = json.Marshal(strings.Repeat("x", rapid.IntRange(0, 25).Draw(t, "size")))
			}
			if c.Op == End || c.Op == Put && rapid.Bool().Draw(t, "bound") {
				all := append(slices.Sorted(maps.Keys(m.sessions)), 999)
				c.Session = rapid.SampledFrom(all).Draw(t, "session")
			}
			if rapid.Bool().Draw(t, "named") {
				c.Caller = rapid.SampledFrom([]string{"x", "y"}).Draw(t, "caller")
				c.Request = m.done[c.Caller].Request + uint64(rapid.IntRange(0, 2).Draw(t, "request"))
				if c.Request == 0 {
					c.Request = 1
				}
			}
			if last.Op != "" && rapid.IntRange(0, 4).Draw(t, "again") == 0 {
				c = last
			}
			last = c
			got, want := s.Apply(index, c), m.apply(index, c, limits)
			if got.Text, want.Text = "", ""; got != want {
				t.Fatalf("%+v at %d: %+v, not %+v", c, index, got, want)
			}
			if rapid.IntRange(0, 9).Draw(t, "snapshot") == 0 {
				next := New(limits)
				if err := next.Restore(s.Save()); err != nil {
					t.Fatal(err)
				}
				if fmt.Sprintf("%q", next.Save()) != fmt.Sprintf("%q", s.Save()) || !reflect.DeepEqual(next.bound, s.bound) || next.bytes != s.bytes {
					t.Fatalf("restored: %q, not %q", next.Save(), s.Save())
				}
				s = next
			}
			if st := s.Stats(); st.Records > limits.Records || st.Sessions > limits.Sessions || st.Bytes > limits.Bytes || st.History > limits.History {
				t.Fatalf("%+v", st)
			}
			if rapid.Bool().Draw(t, "watch") {
				changes, known := s.Since(at, "")
				if !known {
					clear(watched)
					for _, r := range s.List("") {
						watched[r.Name] = r
					}
				}
				for _, c := range changes {
					if watched[c.Name] = c.Record; c.Deleted {
						delete(watched, c.Name)
					}
				}
				at = s.Index()
				if fmt.Sprint(watched) != fmt.Sprint(m.records) {
					t.Fatalf("a watcher has %v, not %v", watched, m.records)
				}
			}
			for name, r := range m.records {
				if got, there := s.Get(name); !there || !reflect.DeepEqual(got, r) {
					t.Fatalf("%s is %+v, not %+v", name, got, r)
				}
			}
			if len(s.records) != len(m.records) || !slices.Equal(slices.Sorted(maps.Keys(s.sessions)), slices.Sorted(maps.Keys(m.sessions))) {
				t.Fatalf("%v and %v, not %v and %v", s.records, s.sessions, m.records, m.sessions)
			}
		}
	})
}

// Of callers beyond the limit those are forgotten that have asked longest ago, and
// what can't be is refused.
func TestBounds(t *testing.T) {
	s := New(Limits{Records: 10, Sessions: 10, Bytes: 1000, Value: 10, Callers: 20, History: 10})
	for n := range uint64(100) {
		s.Apply(n+1, Command{Op: Open, TTLMs: 2000, Caller: fmt.Sprint(n), Request: 1})
	}
	if st := s.Stats(); st.Callers > 20 || st.Callers < 15 || s.callers["99"].Index != 100 || s.callers["0"].Index != 0 {
		t.Errorf("%+v", st)
	}
	for _, c := range []Command{{}, {Op: "steal"}, {Op: Put, Name: "a"}, {Op: Put, Name: "a", Value: []byte("{")}, {Op: Put, Name: "a b", Value: []byte("1")},
		{Op: Put, Name: "a", Value: []byte(`"0123456789"`)}, {Op: Put, Value: []byte("1")}, {Op: Open}, {Op: Open, TTLMs: 1 << 40}, {Op: End}, {Op: Delete, Name: "a", Caller: "c"}} {
		if r := s.Apply(1000, c); r.Code != Invalid {
			t.Errorf("%+v: %+v", c, r)
		}
	}
	if err := s.Restore([][]byte{[]byte("{}")}); err == nil {
		t.Error("a snapshot that says nothing is taken")
	}
}

// However the clocks of holders and writers drift, whoever writes, and whatever is lost,
// no writer ends a session while its holder acts on it. A margin that is left out shows.
func TestSessions(t *testing.T) {
	early := false
	play := func(t *rapid.T, margin bool) (ended, held time.Duration) {
		drift := func(name string) float64 {
			return rapid.Float64Range(1-MaxClockDrift/2, 1+MaxClockDrift/2).Draw(t, name)
		} // of two clocks, from the time
		holders := drift("holder's")
		s := Session{ID: 7, TTLMs: 2000}
		var h HeldLease
		var l Leases
		writers := drift("writer's")
		clock := func(now time.Duration, rate float64) time.Duration { return time.Duration(float64(now) * rate) }
		renew := func(now time.Duration) {
			if l.Renew(now, s); !margin {
				l.deadlines[s.ID] = now + s.TTL()
			}
		}
		now := time.Duration(0)
		h.Renewed(clock(now, holders), s)
		l.Reset(clock(now, writers), nil)
		renew(clock(now, writers))
		for range rapid.IntRange(0, 20).Draw(t, "renewals") {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			asked := clock(now, holders)
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0: // the answer is lost
				renew(clock(now, writers))
			case 1: // another writes from now on
				writers = drift("next writer's")
				l.Reset(clock(now, writers), []Session{s})
			case 2:
				now += time.Duration(rapid.IntRange(0, 300).Draw(t, "late")) * time.Millisecond
				if len(l.Expired(clock(now, writers), []Session{s})) == 0 {
					renew(clock(now, writers))
					h.Renewed(asked, s)
				}
			}
			if len(l.Expired(clock(now, writers), []Session{s})) > 0 {
				break
			}
		}
		for ; len(l.Expired(clock(now, writers), []Session{s})) == 0; now += time.Millisecond {
		}
		return now, time.Duration(float64(h.validUntil) / holders)
	}
	rapid.Check(t, func(t *rapid.T) {
		if ended, held := play(t, true); held > ended {
			t.Fatalf("ended after %v and held until %v", ended, held)
		}
		ended, held := play(t, false)
		early = early || held > ended
	})
	if !early {
		t.Error("without its margin no session ends early: this test finds nothing")
	}
}
