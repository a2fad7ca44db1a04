package registry

import (
	"errors"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func newTestFeed(addresses ...string) *Feed { return NewFeed(addresses, rand.New(rand.NewPCG(1, 1))) }

func fullList(version int64, instances ...Instance) Listing {
	return Listing{Generation: version, Reset: true, Instances: instances}
}

// A feed accepts changes from any server but rejects older versions and abandoned histories.
func TestFeedAcceptsOnlyCurrentAnswers(t *testing.T) {
	feed := newTestFeed("a")
	drained := testInstance("x", 1)
	drained.Lifecycle = Terminating
	gone := testInstance("y", 1)
	gone.Lifecycle = Gone
	for n, step := range []struct {
		listing Listing
		history string
		err     error
		changes Listing
	}{
		{Listing{Generation: 5}, "h1", errNoFullList, Listing{}},
		{fullList(5, testInstance("x", 1), testInstance("y", 1)), "h1", nil, fullList(5, testInstance("x", 1), testInstance("y", 1))},
		{fullList(5, testInstance("x", 1), testInstance("y", 1)), "h1", nil, Listing{Generation: 5}}, // no changes
		{Listing{Generation: 6, Instances: []Instance{drained, gone}}, "h1", nil, Listing{Generation: 6, Instances: []Instance{drained, gone}}},
		{fullList(5, testInstance("x", 1), testInstance("y", 1)), "h1", errOlderVersion, Listing{}},       // from a lagging follower
		{Listing{Generation: 6, Instances: []Instance{drained, gone}}, "h1", nil, Listing{Generation: 6}}, // repeated
		{fullList(9, testInstance("z", 1)), "h1", nil, Listing{Generation: 9, Instances: []Instance{testInstance("z", 1), func() Instance { i := drained; i.Lifecycle = Gone; return i }()}}},
		{Listing{Generation: 20}, "h2", errNoFullList, Listing{}},
		{fullList(3, testInstance("z", 1)), "h2", nil, fullList(3, testInstance("z", 1))}, // a new writer
		{fullList(99, testInstance("x", 1)), "h1", errPastHistory, Listing{}},             // a server that still has the old history
	} {
		changes, err := feed.Answered(step.listing, step.history, 0)
		if !errors.Is(err, step.err) || changes.Generation != step.changes.Generation || changes.Reset != step.changes.Reset ||
			!slices.Equal(changes.Instances, step.changes.Instances) {
			t.Fatalf("step %d: %+v, %v; want %+v, %v", n, changes, err, step.changes, step.err)
		}
	}
	for range 3 * maxPastHistories {
		if feed.Answered(fullList(1), "h"+string(rune('a'+len(feed.pastHistories))), 0); len(feed.pastHistories) > maxPastHistories {
			t.Fatalf("%d past histories are kept", len(feed.pastHistories))
		}
	}
}

// A lagging follower with an older history does not move a feed back, and a feed that had to
// move back returns to the later history when a server has it.
func TestFeedRejectsLaggingHistories(t *testing.T) {
	feed := newTestFeed("a", "b", "c")
	step := func(version int64, history string, want error) {
		t.Helper()
		if _, err := feed.Answered(fullList(version, testInstance("x", version)), history, 0); !errors.Is(err, want) {
			t.Fatalf("%s/%d: %v, want %v", history, version, err, want)
		}
	}
	step(100, "h1", nil)
	step(300, "h3", nil)
	step(200, "h2", errPastHistory) // from a lagging follower
	feed.Failed(0)
	step(310, "h3", nil)
	for range 2 { // no other server answers
		step(200, "h2", errPastHistory)
		feed.Failed(0)
	}
	step(200, "h2", nil)
	for range 3 { // an abandoned history, during the first round of failures
		step(400, "h3", errPastHistory)
		feed.Failed(0)
	}
	step(110, "h1", errPastHistory) // older than the current version
	step(400, "h3", nil)
	feed.Failed(0)
	feed.Failed(0)
	feed.Failed(0)
	step(210, "h2", errPastHistory)
}

// After a failure the next address follows soon; after a full round the backoff grows with jitter
// to its maximum, and honors Retry-After.
func TestFeedBacksOff(t *testing.T) {
	feed := newTestFeed("a", "b", "c")
	firstAddress := feed.Next().Address
	seen := map[string]bool{firstAddress: true}
	for range 2 {
		if delay := feed.Failed(0); delay > maxNextAddressDelay {
			t.Errorf("delay of %v to the next address", delay)
		}
		seen[feed.Next().Address] = true
	}
	if len(seen) != 3 {
		t.Errorf("requested %v, expected 3 addresses", seen)
	}
	longest := time.Duration(0)
	for round := range 20 {
		delay := feed.Failed(0)
		backoff := min(initialBackoff<<min(round/3, 10), maxBackoff)
		if delay < backoff/2 || delay > backoff+backoff/2 {
			t.Errorf("delay of %v after %d failures, expected about %v", delay, feed.failures, backoff)
		}
		longest = max(longest, delay)
	}
	if feed.Next().Address == "" || longest < maxBackoff/2 {
		t.Errorf("longest delay is %v", longest)
	}
	if delay := feed.Failed(40 * time.Second); delay < 40*time.Second || delay > time.Minute {
		t.Errorf("delay of %v with a Retry-After of 40 s", delay)
	}
	if delay := feed.Failed(time.Hour); delay > 90*time.Second {
		t.Errorf("delay of %v with a Retry-After of an hour", delay)
	}
	if feed.Answered(fullList(1), "h", 0); feed.failures != 0 {
		t.Error("a success does not reset the failures")
	}
	address := feed.Next().Address
	if feed.Answered(fullList(2), "h", 2*staleAge); feed.Next().Address == address {
		t.Error("the feed stays with a lagging follower")
	}
}

// 300 readers without a reachable server keep retrying, at a bounded rate.
func TestRequestRateDuringOutage(t *testing.T) {
	const readers, seconds = 300, 60
	for _, servers := range []int{1, 3} {
		var requests [seconds]int
		for n := range uint64(readers) {
			f := NewFeed([]string{"a", "b", "c"}[:servers], rand.New(rand.NewPCG(n, 9)))
			for at := time.Duration(0); at < seconds*time.Second; at += f.Failed(0) {
				requests[at/time.Second]++
			}
		}
		// The rate falls to about one round per reader and maximum backoff.
		t.Logf("%d servers: %v", servers, requests)
		if late := slices.Max(requests[20:]); late > readers*servers/5 {
			t.Errorf("%d servers: up to %d requests a second", servers, late)
		}
		if slices.Min(requests[:]) == 0 {
			t.Errorf("%d servers: a second without requests: %v", servers, requests)
		}
	}
}

// A parsed listing has only valid instances with distinct ids.
func FuzzParseListing(f *testing.F) {
	f.Add([]byte(`{"generation":41,"reset":true,"instances":[{"instanceId":"s-1","hostPort":"10.1.0.18:8081","zone":"a",
		"machineType":"m2","cell":3,"lifecycle":"Ready","weight":1.0,"startedAtMs":0}]}`))
	f.Add([]byte(`{"generation":43,"reset":false,"instances":[]}`))
	f.Add([]byte(`{"generation":1e400}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		listing, err := ParseListing(text)
		if err != nil {
			if len(listing.Instances) > 0 {
				t.Error("a partial list with an error")
			}
			return
		}
		ids := map[string]bool{}
		for _, i := range listing.Instances {
			if i.check() != nil || ids[i.ID] {
				t.Errorf("accepted %+v", i)
			}
			ids[i.ID] = true
		}
	})
}
