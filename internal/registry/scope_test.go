package registry

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
)

func mustScopes(t testing.TB, texts ...string) []Scope {
	t.Helper()
	scopes, err := ParseScopes(texts)
	if err != nil {
		t.Fatal(err)
	}
	return scopes
}

func mustSet(t testing.TB, texts ...string) *ScopeSet {
	t.Helper()
	set, err := NewScopeSet(mustScopes(t, texts...))
	if err != nil {
		t.Fatal(err)
	}
	return set
}

// of is an instance of a service.
func of(id, service, region, zone string) Instance {
	i := inst(id, 1)
	i.Service, i.Region, i.Zone = service, region, zone
	return i
}

func TestParseScope(t *testing.T) {
	for _, text := range []string{"checkout", "checkout@region=eu-1", "checkout@zone=eu-1a", "a.b_c-D9", "a@region=with space@=", "a@zone=" + strings.Repeat("z", 64)} {
		scope, err := ParseScope(text)
		if err != nil || scope.String() != text {
			t.Errorf("%q: %+v, %v", text, scope, err)
		}
	}
	for _, text := range []string{"", "@region=a", "a@", "a@region=", "a@zone=", "a@cell=1", "a b", "ä", "a@region=a\nb", strings.Repeat("a", 65),
		"a@zone=" + strings.Repeat("z", 65), "a@eu-1"} {
		if scope, err := ParseScope(text); err == nil || len(err.Error()) > 400 {
			t.Errorf("%q: took %+v, %v", text, scope, err)
		}
	}
	if _, err := NewScopeSet([]Scope{{Service: "a", Region: "r", Zone: "z"}}); err == nil {
		t.Error("a scope of a region and a zone was taken")
	}
	if _, err := NewScopeSet(nil); err == nil {
		t.Error("a set of no scopes was made")
	}
}

func FuzzParseScope(f *testing.F) {
	for _, text := range []string{"checkout", "checkout@region=eu-1", "checkout@zone=eu-1a", "@", "a@zone=@"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		scope, err := ParseScope(text)
		if err != nil {
			return
		}
		if scope.String() != text || scope.check() != nil {
			t.Errorf("%q became %q", text, scope)
		}
	})
}

func TestScopeMatches(t *testing.T) {
	instances := []Instance{of("1", "a", "r1", "z1"), of("2", "a", "r1", "z2"), of("3", "a", "r2", "z1"), of("4", "b", "r1", "z1"), of("5", "", "r1", "z1"), of("6", "a", "", "z3")}
	for _, c := range []struct {
		scopes []string
		ids    string
	}{{[]string{"a"}, "1236"}, {[]string{"a@region=r1"}, "12"}, {[]string{"a@zone=z1"}, "13"}, {[]string{"b@region=r2"}, ""},
		{[]string{"a@region=r2", "a@zone=z2", "b"}, "234"}, {[]string{"c"}, ""}} {
		ids := ""
		for _, i := range instances {
			if mustSet(t, c.scopes...).Matches(i) {
				ids += i.ID
			}
			single := slices.ContainsFunc(mustScopes(t, c.scopes...), func(scope Scope) bool { return scope.Matches(i) })
			if single != mustSet(t, c.scopes...).Matches(i) {
				t.Errorf("%v: the set and its scopes differ on %s", c.scopes, i.ID)
			}
		}
		if ids != c.ids {
			t.Errorf("%v: %s, want %s", c.scopes, ids, c.ids)
		}
	}
}

// A set has one form and one id, however its scopes were named.
func TestScopeSetIsCanonical(t *testing.T) {
	one, other := mustSet(t, "b", "a@zone=z", "a", "b"), mustSet(t, "a", "b", "a@zone=z")
	if one.ID() != other.ID() || !slices.Equal(one.Strings(), []string{"a", "a@zone=z", "b"}) || one.Len() != 3 {
		t.Errorf("%s %v, %s", one.ID(), one.Strings(), other.ID())
	}
	ids := map[string]bool{one.ID(): true}
	for _, texts := range [][]string{{"a", "b"}, {"a"}, {"b"}, {"a@zone=z"}, {"a@region=z"}, {"a", "a@zone=z"}} {
		id := mustSet(t, texts...).ID()
		if ids[id] || len(id) != 2*scopeIDBytes {
			t.Errorf("%v: id %s", texts, id)
		}
		ids[id] = true
	}
}

// Scopes are known as long as the list or its history has their services; services without
// instances are remembered within a bound, the oldest forgotten first, and in snapshots.
func TestUnknownIsNotEmpty(t *testing.T) {
	limits := testLimits
	limits.EmptyServices = 2
	s := newTestStore(limits, 0)
	ask := func(s *Store, texts ...string) Listing {
		t.Helper()
		a, err := s.ReadScoped(0, ScopedRead{Since: -1, Scopes: mustSet(t, texts...)})
		if err != nil {
			t.Fatal(err)
		}
		l, err := ParseListing(a.Body)
		if err != nil {
			t.Fatal(err)
		}
		return l
	}
	for _, name := range []string{"a", "b", "c", "d"} {
		s.Register(0, of("i-"+name, name, "r", "z"), nil)
	}
	if l := ask(s, "a", "b@region=other", "never@zone=z"); len(l.Instances) != 1 || !slices.Equal(l.Unknown, []string{"never@zone=z"}) {
		t.Errorf("%+v", l)
	}
	for _, name := range []string{"c", "a", "b"} {
		s.Leave(0, "i-"+name, 1, nil)
	}
	for n, store := range []*Store{s, restarted(t, s, 0)} {
		if l := ask(store, "a", "b", "c", "d"); len(l.Instances) != 1 || !slices.Equal(l.Unknown, []string{"c"}) {
			t.Errorf("%d: %+v", n, l)
		}
		if st := store.Stats(); st.Services != 3 || st.EmptyServices != 2 {
			t.Errorf("%d: %+v", n, st)
		}
	}
	follower := newStore(limits, 0)
	a, _ := s.Read(0, -1, "")
	l, err := ParseListing(a.Body)
	if err != nil || !slices.Equal(l.EmptyServices, []string{"a", "b"}) {
		t.Fatalf("%s, %v", a.Body, err)
	}
	if err := follower.ApplyListing(0, l, "h1"); err != nil {
		t.Fatal(err)
	}
	if l := ask(follower, "a", "b", "c", "d"); !slices.Equal(l.Unknown, []string{"c"}) {
		t.Errorf("a follower: %+v", l)
	}
}

// What a list without services has always been, to the byte: whole, in changes, and in the
// records of a snapshot.
func TestBytesWithoutServices(t *testing.T) {
	s := newTestStore(testLimits, 0)
	s.Register(0, inst("a", 5), nil)
	s.Register(0, inst("b", 6), nil)
	s.SetLifecycle(0, "a", 5, Terminating, nil)
	s.Leave(0, "a", 5, nil)
	moved := inst("b", 7)
	moved.Zone = "other"
	s.Register(0, moved, nil)
	const (
		goneA  = `{"instanceId":"a","hostPort":"127.0.0.1:80","zone":"a","machineType":"m","cell":0,"lifecycle":"Gone","weight":1,"startedAtMs":5,"drained":true}`
		movedB = `{"instanceId":"b","hostPort":"127.0.0.1:80","zone":"other","machineType":"m","cell":0,"lifecycle":"Ready","weight":1,"startedAtMs":7}`
	)
	for _, c := range []struct {
		since int64
		body  string
	}{{-1, `{"generation":1005,"reset":true,"instances":[` + movedB + "]}\n"},
		{1000, `{"generation":1005,"reset":false,"instances":[` + goneA + "," + movedB + "]}\n"},
		{1005, `{"generation":1005,"reset":false,"instances":[]}` + "\n"}} {
		if a, err := s.Read(0, c.since, "h1"); err != nil || string(a.Body) != c.body {
			t.Errorf("since %d: %s, %v; want %s", c.since, a.Body, err, c.body)
		}
	}
	saved := s.SnapshotRecords()
	want := []string{`{"begin":{"history":"h1","version":1005,"from":1000,"epoch":1,"writer":true}}`, `{"entry":{"version":1005,"instance":` + movedB + `}}`}
	if len(saved) != 2+5 || string(encodeRecord(saved[0])) != want[0] || string(encodeRecord(saved[1])) != want[1] ||
		string(encodeRecord(saved[5])) != `{"change":{"version":1004,"instance":`+goneA+`}}` || string(encodeRecord(saved[6])) != `{"change":{"version":1005,"instance":`+movedB+`}}` {
		for _, r := range saved {
			t.Errorf("%s", encodeRecord(r))
		}
	}
	copied := Record{Copy: &CopyRecord{"h1", 1, whole(5)}}
	if text := string(encodeRecord(copied)); text != `{"copy":{"history":"h1","epoch":1,"listing":{"generation":5,"reset":true,"instances":null}}}` {
		t.Errorf("%s", text)
	}
}

// An instance that moves to another service is Gone for the readers of the one and new for
// those of the other, also after a restart, and from a follower for readers from between
// its versions.
func TestInstanceMoves(t *testing.T) {
	s := newTestStore(testLimits, 0)
	move := func(started int64, service, region string) int64 {
		i := of("x", service, region, "z")
		i.StartedAtMs = started
		w, err := s.Register(0, i, nil)
		if err != nil {
			t.Fatal(err)
		}
		return w.Version
	}
	inA := move(1, "a", "r1")
	log, copied := s.SnapshotRecords(), []Record(nil)
	a, _ := s.Read(0, -1, "")
	l, _ := ParseListing(a.Body)
	follower := newStore(testLimits, 0)
	keep := func(l Listing) {
		copied = append(copied, Record{Copy: &CopyRecord{"h1", 1, l}})
		if err := follower.ApplyListing(0, l, "h1"); err != nil {
			t.Fatal(err)
		}
	}
	replayed := func(log []Record) *Store {
		again := newStore(testLimits, 0)
		for _, r := range log {
			read, err := ParseRecord(encodeRecord(r))
			if err == nil {
				err = again.Restore(0, read)
			}
			if err != nil {
				t.Fatal(err)
			}
		}
		return again
	}
	keep(l)
	inB := move(2, "b", "r1")
	inC := move(3, "c", "r2")
	a, _ = s.Read(0, inA, "h1")
	if l, _ = ParseListing(a.Body); len(l.Moved) != 1 || len(l.Moved[0].From) != 2 {
		t.Fatalf("%s", a.Body)
	}
	keep(l)
	for _, c := range s.changes[len(s.changes)-2:] { // as they are kept in a log
		log = append(log, Record{Change: &InstanceRecord{Version: c.version, Instance: c.encoded}})
	}
	for name, store := range map[string]*Store{"the writer": s, "after a restart": restarted(t, s, 0), "a follower": follower, "a follower after a restart": restarted(t, follower, 0),
		"from the log": replayed(log), "a follower from its log": replayed(copied)} {
		for _, c := range []struct {
			since int64
			scope string
			want  Lifecycle
		}{{inA, "a", Gone}, {inA, "a@region=r1", Gone}, {inA, "a@region=r2", ""}, {inB, "b", Gone}, {inB, "b@zone=z", Gone}, {inA, "c", Ready}, {inB, "c@region=r2", Ready},
			{inC, "c", ""}, {inC, "b", ""}, {inB, "d", ""}} {
			a, err := store.ReadScoped(0, ScopedRead{Since: c.since, History: "h1", Scopes: mustSet(t, c.scope)})
			if err != nil {
				t.Fatal(err)
			}
			l, err := ParseListing(a.Body)
			if err != nil || l.Reset || l.Generation != inC {
				t.Fatalf("%s: %s, %v", name, a.Body, err)
			}
			got := Lifecycle("")
			if len(l.Instances) > 0 {
				got = l.Instances[0].Lifecycle
			}
			scope, _ := ParseScope(c.scope)
			if got != c.want || got != "" && !scope.Matches(l.Instances[0]) {
				t.Errorf("%s, since %d in %s: %s", name, c.since, c.scope, a.Body)
			}
		}
	}
}

// newScopedFeed has the list of some scopes.
func newScopedFeed(t *testing.T, scopes []string, instances ...Instance) *Feed {
	t.Helper()
	f := newTestFeed("a")
	f.SetScopes(mustScopes(t, scopes...))
	if ask := f.Next(); !ask.Full || ask.IsLongPoll() || !ask.Scopes.equal(mustSet(t, scopes...)) {
		t.Fatalf("asks %+v first", ask)
	}
	if _, err := f.Answered(whole(10, instances...), "h", 0); err != nil {
		t.Fatal(err)
	}
	return f
}

func ids(instances []Instance) string {
	text := ""
	for _, i := range instances {
		text += i.ID
		if i.Lifecycle == Gone {
			text += "-"
		}
		text += " "
	}
	return strings.TrimSpace(text)
}

// A change of scopes asks for what is new alone, drops at once what is in no scope any
// more, and keeps what serves until its replacement is there.
func TestFeedChangesScopes(t *testing.T) {
	x, y := of("x", "a", "r1", "z1"), of("y", "a", "r2", "z2")
	b := of("b", "b", "r1", "z1")
	for _, c := range []struct {
		name      string
		has, next []string
		dropped   string
		whole     bool
		held      []string // that the next call names; nil: all that it asks for
	}{
		{"add", []string{"a", "b"}, []string{"a", "b", "c"}, "", false, []string{"a", "b"}},
		{"drop", []string{"a", "b"}, []string{"a"}, "b-", false, nil},
		{"drop and add", []string{"a", "b"}, []string{"a", "c"}, "b-", false, []string{"a"}},
		{"replace all", []string{"a", "b"}, []string{"c"}, "b- x- y-", true, nil},
		{"narrow", []string{"a", "b"}, []string{"a@region=r1", "b"}, "y-", false, nil},
		{"widen", []string{"a@region=r1", "b"}, []string{"a", "b"}, "", false, []string{"a@region=r1", "b"}},
		{"from region to zone", []string{"a@region=r1", "b"}, []string{"a@zone=z1"}, "b-", false, []string{"a@region=r1"}},
		{"covered by another", []string{"a", "a@region=r1"}, []string{"a"}, "", false, nil},
		{"to the whole list", []string{"a", "b"}, nil, "", true, nil},
	} {
		var has []Instance
		for _, i := range []Instance{x, y, b} {
			if mustSet(t, c.has...).Matches(i) {
				has = append(has, i)
			}
		}
		f := newScopedFeed(t, c.has, has...)
		before := f.Next()
		news := f.SetScopes(mustScopes(t, c.next...))
		ask := f.Next()
		held := mustScopes(t, c.held...)
		if c.held == nil && !c.whole {
			held = mustScopes(t, c.next...)
		}
		if ids(news.Instances) != c.dropped || ask.Full != c.whole || ask.Scopes.ID() != newScopeSet(mustScopes(t, c.next...)).ID() || !ask.Full && ask.Held.ID() != newScopeSet(held).ID() {
			t.Errorf("%s: dropped %q, asks %+v of %v beside %v", c.name, ids(news.Instances), ask, ask.Scopes.Strings(), ask.Held.Strings())
		}
		if ask.IsLongPoll() != (c.held == nil && !c.whole) {
			t.Errorf("%s: waits %t", c.name, ask.IsLongPoll())
		}
		if _, err := f.AnsweredTo(before, Listing{Generation: 11}, "h", 0); !errors.Is(err, errScopesChanged) || f.version != 10 {
			t.Errorf("%s: an answer to the call before: %v", c.name, err)
		}
	}
}

// A scope that is dropped and added again at once is asked for anew, and the instances of
// one that was only there until its replacement came go with that.
func TestFeedScopesComeAndGo(t *testing.T) {
	x, y := of("x", "a", "r1", "z1"), of("y", "b", "r1", "z1")
	f := newScopedFeed(t, []string{"a", "b"}, x, y)
	if news := f.SetScopes(mustScopes(t, "b")); ids(news.Instances) != "x-" {
		t.Errorf("%+v", news)
	}
	if news := f.SetScopes(mustScopes(t, "a", "b")); len(news.Instances) > 0 {
		t.Errorf("%+v", news)
	}
	ask := f.Next()
	if ask.Full || ask.IsLongPoll() || !slices.Equal(ask.Held.Strings(), []string{"b"}) || !slices.Equal(ask.Scopes.Strings(), []string{"a", "b"}) {
		t.Errorf("asks for %v beside %v", ask.Scopes.Strings(), ask.Held.Strings())
	}
	if news, err := f.Answered(Listing{Generation: 12, Instances: []Instance{x}, Unknown: []string{"b"}}, "h", 0); err != nil || ids(news.Instances) != "x" ||
		!slices.Equal(f.Unknown(), mustScopes(t, "b")) {
		t.Errorf("%+v, %v, unknown %v", news, err, f.Unknown())
	}
	f.SetScopes(mustScopes(t, "a@zone=z9", "b"))
	if _, there := f.instances["x"]; there {
		t.Error("what a narrower scope leaves out stays")
	}
	f = newScopedFeed(t, []string{"a@region=r1"}, x)
	if news := f.SetScopes(mustScopes(t, "a@region=r2")); len(news.Instances) > 0 {
		t.Errorf("dropped %s before its replacement came", ids(news.Instances))
	}
	z := of("z", "a", "r2", "z1")
	if news, err := f.Answered(Listing{Generation: 12, Instances: []Instance{z}}, "h", 0); err != nil || ids(news.Instances) != "z x-" || len(f.instances) != 1 {
		t.Errorf("%s, %v", ids(news.Instances), err)
	}
	for name, c := range map[string]struct {
		l       Listing
		history string
		err     error
	}{
		"out of scope":          {Listing{Generation: 13, Instances: []Instance{y}}, "h", errOutOfScope},
		"a follower that lags":  {Listing{Generation: 11}, "h", errOlderVersion},
		"another history's":     {Listing{Generation: 13}, "other", errNoFullList},
		"a scope that is none":  {Listing{Generation: 13, Unknown: []string{"@"}}, "h", nil},
		"whole of one that was": {Listing{Generation: 11, Reset: true}, "h", errOlderVersion},
	} {
		if _, err := f.Answered(c.l, c.history, 0); err == nil || c.err != nil && !errors.Is(err, c.err) || f.version != 12 || len(f.instances) != 1 {
			t.Errorf("%s: %v", name, err)
		}
	}
	if news, err := f.Answered(whole(3, x), "h2", 0); !errors.Is(err, errOutOfScope) || f.history != "h" {
		t.Errorf("%+v, %v", news, err)
	}
	if news, err := f.Answered(whole(3, z), "h2", 0); err != nil || !news.Reset || f.history != "h2" {
		t.Errorf("%+v, %v", news, err)
	}
}

// From the whole list to scopes and back, all that is known stays until the answer.
func TestFeedBetweenWholeListAndScopes(t *testing.T) {
	x, y := of("x", "a", "r1", "z1"), of("y", "b", "r1", "z1")
	f := newTestFeed("a")
	f.Answered(whole(10, x, y), "h", 0)
	if news := f.SetScopes(mustScopes(t, "a")); len(news.Instances) > 0 || len(f.instances) != 2 || !f.Next().Full {
		t.Errorf("%+v, asks %+v", news, f.Next())
	}
	if news, err := f.Answered(whole(10, x), "h", 0); err != nil || ids(news.Instances) != "y-" || news.Reset || !f.Next().IsLongPoll() {
		t.Errorf("%+v, %v", news, err)
	}
	if news := f.SetScopes(nil); len(news.Instances) > 0 || len(f.instances) != 1 || !f.Next().Full || f.Next().Scopes != nil {
		t.Errorf("%+v, asks %+v", news, f.Next())
	}
	f.SetScopes(mustScopes(t, "b"))
	if ask := f.Next(); !ask.Full || len(f.instances) != 1 {
		t.Errorf("asks %+v", ask)
	}
	if news, err := f.Answered(whole(10, y), "h", 0); err != nil || ids(news.Instances) != "y x-" {
		t.Errorf("%+v, %v", news, err)
	}
}

// What an answer costs grows with the list and the answer, not with their product: when a
// whole list drops half of it and has changed the other half.
func TestFeedComparesOnce(t *testing.T) {
	for _, n := range []int{100, 1000, 10_000} {
		var before, after []Instance
		for i := range n {
			before = append(before, inst(fmt.Sprintf("i%06d", i), 1))
			if i%2 == 0 {
				after = append(after, inst(fmt.Sprintf("i%06d", i), 2))
			}
		}
		f := newTestFeed("a")
		f.Answered(whole(1, before...), "h", 0)
		was := f.Compared()
		news, err := f.Answered(whole(2, after...), "h", 0)
		if err != nil || len(news.Instances) != n {
			t.Fatalf("%d news, %v", len(news.Instances), err)
		}
		if compared := f.Compared() - was; compared > int64(2*n) {
			t.Errorf("%d comparisons for %d instances", compared, n)
		}
	}
}
