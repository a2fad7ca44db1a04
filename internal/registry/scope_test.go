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

// instanceOf returns an instance of a service.
func instanceOf(id, service, region, zone string) Instance {
	i := testInstance(id, 1)
	i.Service, i.Region, i.Zone = service, region, zone
	return i
}

// Parsing accepts exactly the valid text forms of scopes, and errors stay short.
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
			t.Errorf("%q: accepted %+v, %v", text, scope, err)
		}
	}
	if _, err := NewScopeSet([]Scope{{Service: "a", Region: "r", Zone: "z"}}); err == nil {
		t.Error("accepted a scope with both a region and a zone")
	}
	if _, err := NewScopeSet(nil); err == nil {
		t.Error("accepted an empty set of scopes")
	}
}

// A parsed scope is valid and has the text form that it was parsed from.
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

// A scope matches by service, region and zone, and a set matches if one of its scopes does.
func TestScopeMatches(t *testing.T) {
	instances := []Instance{instanceOf("1", "a", "r1", "z1"), instanceOf("2", "a", "r1", "z2"), instanceOf("3", "a", "r2", "z1"), instanceOf("4", "b", "r1", "z1"), instanceOf("5", "", "r1", "z1"), instanceOf("6", "a", "", "z3")}
	for _, test := range []struct {
		scopes []string
		ids    string
	}{{[]string{"a"}, "1236"}, {[]string{"a@region=r1"}, "12"}, {[]string{"a@zone=z1"}, "13"}, {[]string{"b@region=r2"}, ""},
		{[]string{"a@region=r2", "a@zone=z2", "b"}, "234"}, {[]string{"c"}, ""}} {
		ids := ""
		for _, i := range instances {
			if mustSet(t, test.scopes...).Matches(i) {
				ids += i.ID
			}
			single := slices.ContainsFunc(mustScopes(t, test.scopes...), func(scope Scope) bool { return scope.Matches(i) })
			if single != mustSet(t, test.scopes...).Matches(i) {
				t.Errorf("%v: the set and its scopes differ on %s", test.scopes, i.ID)
			}
		}
		if ids != test.ids {
			t.Errorf("%v: %s, want %s", test.scopes, ids, test.ids)
		}
	}
}

// Equal sets have one form and one id, regardless of order and duplicates.
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

// A scope is unknown only if its service never had instances or was trimmed: empty services are
// retained up to a limit, in snapshots and followers too.
func TestUnknownAndEmptyServicesDiffer(t *testing.T) {
	limits := testLimits
	limits.EmptyServices = 2
	writer := newTestStore(limits, 0)
	readScopes := func(store *Store, texts ...string) Listing {
		t.Helper()
		answer, err := store.ReadScoped(0, ScopedRead{Since: -1, Scopes: mustSet(t, texts...)})
		if err != nil {
			t.Fatal(err)
		}
		listing, err := ParseListing(answer.Body)
		if err != nil {
			t.Fatal(err)
		}
		return listing
	}
	for _, name := range []string{"a", "b", "c", "d"} {
		writer.Register(0, instanceOf("i-"+name, name, "r", "z"), nil)
	}
	if listing := readScopes(writer, "a", "b@region=other", "never@zone=z"); len(listing.Instances) != 1 || !slices.Equal(listing.Unknown, []string{"never@zone=z"}) {
		t.Errorf("list of the scopes: %+v", listing)
	}
	for _, name := range []string{"c", "a", "b"} {
		writer.Leave(0, "i-"+name, 1, nil)
	}
	for n, store := range []*Store{writer, restoredStore(t, writer, 0)} {
		if listing := readScopes(store, "a", "b", "c", "d"); len(listing.Instances) != 1 || !slices.Equal(listing.Unknown, []string{"c"}) {
			t.Errorf("store %d: %+v", n, listing)
		}
		if st := store.Stats(); st.Services != 3 || st.EmptyServices != 2 {
			t.Errorf("store %d: %+v", n, st)
		}
	}
	follower := newStore(limits, 0)
	answer, _ := writer.Read(0, -1, "")
	listing, err := ParseListing(answer.Body)
	if err != nil || !slices.Equal(listing.EmptyServices, []string{"a", "b"}) {
		t.Fatalf("full list: %s, %v", answer.Body, err)
	}
	if err := follower.ApplyListing(0, listing, "h1"); err != nil {
		t.Fatal(err)
	}
	if listing := readScopes(follower, "a", "b", "c", "d"); !slices.Equal(listing.Unknown, []string{"c"}) {
		t.Errorf("a follower: %+v", listing)
	}
}

// The encoding of lists, changes and records without services stays the same byte for byte.
func TestEncodingWithoutServicesIsUnchanged(t *testing.T) {
	store := newTestStore(testLimits, 0)
	store.Register(0, testInstance("a", 5), nil)
	store.Register(0, testInstance("b", 6), nil)
	store.SetLifecycle(0, "a", 5, Terminating, nil)
	store.Leave(0, "a", 5, nil)
	moved := testInstance("b", 7)
	moved.Zone = "other"
	store.Register(0, moved, nil)
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
		if a, err := store.Read(0, c.since, "h1"); err != nil || string(a.Body) != c.body {
			t.Errorf("since %d: %s, %v; want %s", c.since, a.Body, err, c.body)
		}
	}
	saved := store.SnapshotRecords()
	want := []string{`{"begin":{"history":"h1","version":1005,"from":1000,"epoch":1,"writer":true}}`, `{"entry":{"version":1005,"instance":` + movedB + `}}`}
	if len(saved) != 2+5 || string(encodeRecord(saved[0])) != want[0] || string(encodeRecord(saved[1])) != want[1] ||
		string(encodeRecord(saved[5])) != `{"change":{"version":1004,"instance":`+goneA+`}}` || string(encodeRecord(saved[6])) != `{"change":{"version":1005,"instance":`+movedB+`}}` {
		for _, r := range saved {
			t.Errorf("record of the snapshot: %s", encodeRecord(r))
		}
	}
	copied := Record{Copy: &CopyRecord{"h1", 1, fullList(5)}}
	if text := string(encodeRecord(copied)); text != `{"copy":{"history":"h1","epoch":1,"listing":{"generation":5,"reset":true,"instances":null}}}` {
		t.Errorf("copy record: %s", text)
	}
}

// An instance that moves to another service is Gone for readers of the old one and new for readers
// of the new one, also after a restart and at a follower's intermediate versions.
func TestMovedInstanceIsGoneFromItsOldScope(t *testing.T) {
	writer := newTestStore(testLimits, 0)
	move := func(started int64, service, region string) int64 {
		instance := instanceOf("x", service, region, "z")
		instance.StartedAtMs = started
		result, err := writer.Register(0, instance, nil)
		if err != nil {
			t.Fatal(err)
		}
		return result.Version
	}
	inA := move(1, "a", "r1")
	log, followerLog := writer.SnapshotRecords(), []Record(nil)
	answer, _ := writer.Read(0, -1, "")
	listing, _ := ParseListing(answer.Body)
	follower := newStore(testLimits, 0)
	replicate := func(listing Listing) {
		followerLog = append(followerLog, Record{Copy: &CopyRecord{"h1", 1, listing}})
		if err := follower.ApplyListing(0, listing, "h1"); err != nil {
			t.Fatal(err)
		}
	}
	replay := func(log []Record) *Store {
		restored := newStore(testLimits, 0)
		for _, r := range log {
			record, err := ParseRecord(encodeRecord(r))
			if err == nil {
				err = restored.Restore(0, record)
			}
			if err != nil {
				t.Fatal(err)
			}
		}
		return restored
	}
	replicate(listing)
	inB := move(2, "b", "r1")
	inC := move(3, "c", "r2")
	answer, _ = writer.Read(0, inA, "h1")
	if listing, _ = ParseListing(answer.Body); len(listing.Moved) != 1 || len(listing.Moved[0].From) != 2 {
		t.Fatalf("changes with two moves: %s", answer.Body)
	}
	replicate(listing)
	for _, c := range writer.changes[len(writer.changes)-2:] { // in the form of a log
		log = append(log, Record{Change: &InstanceRecord{Version: c.version, Instance: c.encoded}})
	}
	for name, store := range map[string]*Store{"the writer": writer, "after a restart": restoredStore(t, writer, 0), "a follower": follower, "a follower after a restart": restoredStore(t, follower, 0),
		"from the log": replay(log), "a follower from its log": replay(followerLog)} {
		for _, test := range []struct {
			since int64
			scope string
			want  Lifecycle
		}{{inA, "a", Gone}, {inA, "a@region=r1", Gone}, {inA, "a@region=r2", ""}, {inB, "b", Gone}, {inB, "b@zone=z", Gone}, {inA, "c", Ready}, {inB, "c@region=r2", Ready},
			{inC, "c", ""}, {inC, "b", ""}, {inB, "d", ""}} {
			answer, err := store.ReadScoped(0, ScopedRead{Since: test.since, History: "h1", Scopes: mustSet(t, test.scope)})
			if err != nil {
				t.Fatal(err)
			}
			listing, err := ParseListing(answer.Body)
			if err != nil || listing.Reset || listing.Generation != inC {
				t.Fatalf("%s: %s, %v", name, answer.Body, err)
			}
			got := Lifecycle("")
			if len(listing.Instances) > 0 {
				got = listing.Instances[0].Lifecycle
			}
			scope, _ := ParseScope(test.scope)
			if got != test.want || got != "" && !scope.Matches(listing.Instances[0]) {
				t.Errorf("%s, since %d in %s: %s", name, test.since, test.scope, answer.Body)
			}
		}
	}
}

// newScopedFeed returns a feed with the list of some scopes.
func newScopedFeed(t *testing.T, scopes []string, instances ...Instance) *Feed {
	t.Helper()
	f := newTestFeed("a")
	f.SetScopes(mustScopes(t, scopes...))
	if request := f.Next(); !request.Full || request.IsLongPoll() || !request.Scopes.equal(mustSet(t, scopes...)) {
		t.Fatalf("first request: %+v", request)
	}
	if _, err := f.Answered(fullList(10, instances...), "h", 0); err != nil {
		t.Fatal(err)
	}
	return f
}

func idList(instances []Instance) string {
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

// A change of scopes requests only new scopes, drops instances outside of all scopes immediately,
// and keeps those of a replaced scope until the next answer.
func TestFeedRequestsOnlyNewScopes(t *testing.T) {
	x, y := instanceOf("x", "a", "r1", "z1"), instanceOf("y", "a", "r2", "z2")
	b := instanceOf("b", "b", "r1", "z1")
	for _, test := range []struct {
		name            string
		initial, wanted []string
		dropped         string
		whole           bool
		held            []string // in the next request; nil: all of its scopes
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
		var initial []Instance
		for _, i := range []Instance{x, y, b} {
			if mustSet(t, test.initial...).Matches(i) {
				initial = append(initial, i)
			}
		}
		feed := newScopedFeed(t, test.initial, initial...)
		before := feed.Next()
		changes := feed.SetScopes(mustScopes(t, test.wanted...))
		request := feed.Next()
		held := mustScopes(t, test.held...)
		if test.held == nil && !test.whole {
			held = mustScopes(t, test.wanted...)
		}
		if idList(changes.Instances) != test.dropped || request.Full != test.whole || request.Scopes.ID() != newScopeSet(mustScopes(t, test.wanted...)).ID() || !request.Full && request.Held.ID() != newScopeSet(held).ID() {
			t.Errorf("%s: dropped %q, next request %+v of %v with held %v", test.name, idList(changes.Instances), request, request.Scopes.Strings(), request.Held.Strings())
		}
		if request.IsLongPoll() != (test.held == nil && !test.whole) {
			t.Errorf("%s: long poll %t", test.name, request.IsLongPoll())
		}
		if _, err := feed.AnsweredTo(before, Listing{Generation: 11}, "h", 0); !errors.Is(err, errScopesChanged) || feed.version != 10 {
			t.Errorf("%s: answer to the previous request: %v", test.name, err)
		}
	}
}

// A feed requests a scope again that was dropped and added again, and drops the instances of a
// replaced scope with the next answer.
func TestFeedDropsReplacedScopes(t *testing.T) {
	x, y := instanceOf("x", "a", "r1", "z1"), instanceOf("y", "b", "r1", "z1")
	feed := newScopedFeed(t, []string{"a", "b"}, x, y)
	if changes := feed.SetScopes(mustScopes(t, "b")); idList(changes.Instances) != "x-" {
		t.Errorf("changes after a scope was dropped: %+v", changes)
	}
	if changes := feed.SetScopes(mustScopes(t, "a", "b")); len(changes.Instances) > 0 {
		t.Errorf("changes after the scope was added again: %+v", changes)
	}
	request := feed.Next()
	if request.Full || request.IsLongPoll() || !slices.Equal(request.Held.Strings(), []string{"b"}) || !slices.Equal(request.Scopes.Strings(), []string{"a", "b"}) {
		t.Errorf("next request for %v with held %v", request.Scopes.Strings(), request.Held.Strings())
	}
	if changes, err := feed.Answered(Listing{Generation: 12, Instances: []Instance{x}, Unknown: []string{"b"}}, "h", 0); err != nil || idList(changes.Instances) != "x" ||
		!slices.Equal(feed.Unknown(), mustScopes(t, "b")) {
		t.Errorf("answer for the scope added again: %+v, %v, unknown %v", changes, err, feed.Unknown())
	}
	feed.SetScopes(mustScopes(t, "a@zone=z9", "b"))
	if _, there := feed.instances["x"]; there {
		t.Error("an instance outside of a narrower scope stays")
	}
	feed = newScopedFeed(t, []string{"a@region=r1"}, x)
	if changes := feed.SetScopes(mustScopes(t, "a@region=r2")); len(changes.Instances) > 0 {
		t.Errorf("dropped %s before the answer for its replacement", idList(changes.Instances))
	}
	z := instanceOf("z", "a", "r2", "z1")
	if changes, err := feed.Answered(Listing{Generation: 12, Instances: []Instance{z}}, "h", 0); err != nil || idList(changes.Instances) != "z x-" || len(feed.instances) != 1 {
		t.Errorf("answer for the replacement: %s, %v", idList(changes.Instances), err)
	}
	for name, c := range map[string]struct {
		l       Listing
		history string
		err     error
	}{
		"out of scope":               {Listing{Generation: 13, Instances: []Instance{y}}, "h", errOutOfScope},
		"a lagging follower":         {Listing{Generation: 11}, "h", errOlderVersion},
		"changes of another history": {Listing{Generation: 13}, "other", errNoFullList},
		"an invalid unknown scope":   {Listing{Generation: 13, Unknown: []string{"@"}}, "h", nil},
		"an older full list":         {Listing{Generation: 11, Reset: true}, "h", errOlderVersion},
	} {
		if _, err := feed.Answered(c.l, c.history, 0); err == nil || c.err != nil && !errors.Is(err, c.err) || feed.version != 12 || len(feed.instances) != 1 {
			t.Errorf("%s: %v", name, err)
		}
	}
	if changes, err := feed.Answered(fullList(3, x), "h2", 0); !errors.Is(err, errOutOfScope) || feed.history != "h" {
		t.Errorf("answer out of scope: %+v, %v", changes, err)
	}
	if changes, err := feed.Answered(fullList(3, z), "h2", 0); err != nil || !changes.Reset || feed.history != "h2" {
		t.Errorf("answer of a new history: %+v, %v", changes, err)
	}
}

// A switch between the full list and scopes keeps all instances until the next answer.
func TestFeedSwitchesBetweenFullListAndScopes(t *testing.T) {
	x, y := instanceOf("x", "a", "r1", "z1"), instanceOf("y", "b", "r1", "z1")
	feed := newTestFeed("a")
	feed.Answered(fullList(10, x, y), "h", 0)
	if changes := feed.SetScopes(mustScopes(t, "a")); len(changes.Instances) > 0 || len(feed.instances) != 2 || !feed.Next().Full {
		t.Errorf("%+v, next request %+v", changes, feed.Next())
	}
	if changes, err := feed.Answered(fullList(10, x), "h", 0); err != nil || idList(changes.Instances) != "y-" || changes.Reset || !feed.Next().IsLongPoll() {
		t.Errorf("answer for the scope: %+v, %v", changes, err)
	}
	if changes := feed.SetScopes(nil); len(changes.Instances) > 0 || len(feed.instances) != 1 || !feed.Next().Full || feed.Next().Scopes != nil {
		t.Errorf("%+v, next request %+v", changes, feed.Next())
	}
	feed.SetScopes(mustScopes(t, "b"))
	if request := feed.Next(); !request.Full || len(feed.instances) != 1 {
		t.Errorf("next request %+v", request)
	}
	if changes, err := feed.Answered(fullList(10, y), "h", 0); err != nil || idList(changes.Instances) != "y x-" {
		t.Errorf("answer for the other scope: %+v, %v", changes, err)
	}
}

// The comparisons for a full list grow with the sum of both lists, not with their product.
func TestFeedComparesEachInstanceOnce(t *testing.T) {
	for _, size := range []int{100, 1000, 10_000} {
		var before, after []Instance
		for i := range size {
			before = append(before, testInstance(fmt.Sprintf("i%06d", i), 1))
			if i%2 == 0 {
				after = append(after, testInstance(fmt.Sprintf("i%06d", i), 2))
			}
		}
		feed := newTestFeed("a")
		feed.Answered(fullList(1, before...), "h", 0)
		comparedBefore := feed.Compared()
		changes, err := feed.Answered(fullList(2, after...), "h", 0)
		if err != nil || len(changes.Instances) != size {
			t.Fatalf("%d changes, %v", len(changes.Instances), err)
		}
		if compared := feed.Compared() - comparedBefore; compared > int64(2*size) {
			t.Errorf("%d comparisons for %d instances", compared, size)
		}
	}
}
