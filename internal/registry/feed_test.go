package registry

import (
	"errors"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func newTestFeed(addresses ...string) *Feed { return NewFeed(addresses, rand.New(rand.NewPCG(1, 1))) }

func whole(version int64, instances ...Instance) Listing {
	return Listing{Generation: version, Reset: true, Instances: instances}
}

// A reader keeps to the last good list, goes on with changes from any service,
// and knows another history from an older version of its own.
func TestFeed(t *testing.T) {
	f := newTestFeed("a")
	drained := inst("x", 1)
	drained.Lifecycle = Terminating
	left := inst("y", 1)
	left.Lifecycle = Gone
	for n, step := range []struct {
		l       Listing
		history string
		err     error
		news    Listing
	}{
		{Listing{Generation: 5}, "h1", errNoFullList, Listing{}},
		{whole(5, inst("x", 1), inst("y", 1)), "h1", nil, whole(5, inst("x", 1), inst("y", 1))},
		{whole(5, inst("x", 1), inst("y", 1)), "h1", nil, Listing{Generation: 5}}, // nothing new
		{Listing{Generation: 6, Instances: []Instance{drained, left}}, "h1", nil, Listing{Generation: 6, Instances: []Instance{drained, left}}},
		{whole(5, inst("x", 1), inst("y", 1)), "h1", errOlderVersion, Listing{}},                          // from one that lags
		{Listing{Generation: 6, Instances: []Instance{drained, left}}, "h1", nil, Listing{Generation: 6}}, // told again
		{whole(9, inst("z", 1)), "h1", nil, Listing{Generation: 9, Instances: []Instance{inst("z", 1), func() Instance { i := drained; i.Lifecycle = Gone; return i }()}}},
		{Listing{Generation: 20}, "h2", errNoFullList, Listing{}},
		{whole(3, inst("z", 1)), "h2", nil, whole(3, inst("z", 1))}, // a service that was replaced
		{whole(99, inst("x", 1)), "h1", errPastHistory, Listing{}},  // and one that has not heard of it
	} {
		news, err := f.Answered(step.l, step.history, 0)
		if !errors.Is(err, step.err) || news.Generation != step.news.Generation || news.Reset != step.news.Reset ||
			!slices.Equal(news.Instances, step.news.Instances) {
			t.Fatalf("step %d: %+v, %v; want %+v, %v", n, news, err, step.news, step.err)
		}
	}
	for range 3 * maxPastHistories {
		if f.Answered(whole(1), "h"+string(rune('a'+len(f.pastHistories))), 0); len(f.pastHistories) > maxPastHistories {
			t.Fatalf("%d histories are remembered", len(f.pastHistories))
		}
	}
}

// A follower that lags in a history that the reader never had does not lead it back, and a
// reader that was led back comes to the later history again, as long as one has it.
func TestFeedIsNotLedBack(t *testing.T) {
	f := newTestFeed("a", "b", "c")
	step := func(version int64, history string, want error) {
		t.Helper()
		if _, err := f.Answered(whole(version, inst("x", version)), history, 0); !errors.Is(err, want) {
			t.Fatalf("%s/%d: %v, want %v", history, version, err, want)
		}
	}
	step(100, "h1", nil)
	step(300, "h3", nil)
	step(200, "h2", errPastHistory) // of one that lags
	f.Failed(0)
	step(310, "h3", nil)
	for range 2 { // nobody else answers
		step(200, "h2", errPastHistory)
		f.Failed(0)
	}
	step(200, "h2", nil)
	for range 3 { // one that was left, in the first round
		step(400, "h3", errPastHistory)
		f.Failed(0)
	}
	step(110, "h1", errPastHistory) // older than what is had
	step(400, "h3", nil)
	f.Failed(0)
	f.Failed(0)
	f.Failed(0)
	step(210, "h2", errPastHistory)
}

// At a failure the next address has its turn soon; after a round the pauses grow,
// with jitter, to a bound, and not below what a service asks for.
func TestFeedBacksOff(t *testing.T) {
	f := newTestFeed("a", "b", "c")
	first := f.Next().Address
	seen := map[string]bool{first: true}
	for range 2 {
		if wait := f.Failed(0); wait > maxNextAddressDelay {
			t.Errorf("%v to the next address", wait)
		}
		seen[f.Next().Address] = true
	}
	if len(seen) != 3 {
		t.Errorf("asked %v", seen)
	}
	most := time.Duration(0)
	for round := range 20 {
		wait := f.Failed(0)
		pause := min(initialBackoff<<min(round/3, 10), maxBackoff)
		if wait < pause/2 || wait > pause+pause/2 {
			t.Errorf("%v after %d failures, about %v", wait, f.failures, pause)
		}
		most = max(most, wait)
	}
	if f.Next().Address == "" || most < maxBackoff/2 {
		t.Errorf("never more than %v", most)
	}
	if wait := f.Failed(40 * time.Second); wait < 40*time.Second || wait > time.Minute {
		t.Errorf("%v where 40 s were asked for", wait)
	}
	if wait := f.Failed(time.Hour); wait > 90*time.Second {
		t.Errorf("%v where an hour was asked for", wait)
	}
	if f.Answered(whole(1), "h", 0); f.failures != 0 {
		t.Error("a success is not one")
	}
	at := f.Next().Address
	if f.Answered(whole(2), "h", 2*staleAge); f.Next().Address == at {
		t.Error("stays with a follower that lags")
	}
}

// 300 readers that lose their services make calls in every second, but few.
func TestCallsDuringOutage(t *testing.T) {
	const readers, seconds = 300, 60
	for _, services := range []int{1, 3} {
		var calls [seconds]int
		for n := range uint64(readers) {
			f := NewFeed([]string{"a", "b", "c"}[:services], rand.New(rand.NewPCG(n, 9)))
			for at := time.Duration(0); at < seconds*time.Second; at += f.Failed(0) {
				calls[at/time.Second]++
			}
		}
		// One round and the first pause in the first second, then ever fewer; about
		// one round for each reader in each longest pause.
		t.Logf("%d services: %v", services, calls)
		if late := slices.Max(calls[20:]); late > readers*services/5 {
			t.Errorf("%d services: up to %d calls a second", services, late)
		}
		if slices.Min(calls[:]) == 0 {
			t.Errorf("%d services: nobody calls: %v", services, calls)
		}
	}
}

func FuzzParseListing(f *testing.F) {
	f.Add([]byte(`{"generation":41,"reset":true,"instances":[{"instanceId":"s-1","hostPort":"10.1.0.18:8081","zone":"a",
		"machineType":"m2","cell":3,"lifecycle":"Ready","weight":1.0,"startedAtMs":0}]}`))
	f.Add([]byte(`{"generation":43,"reset":false,"instances":[]}`))
	f.Add([]byte(`{"generation":1e400}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		l, err := ParseListing(text)
		if err != nil {
			if len(l.Instances) > 0 {
				t.Error("a part of a list")
			}
			return
		}
		ids := map[string]bool{}
		for _, i := range l.Instances {
			if i.check() != nil || ids[i.ID] {
				t.Errorf("took %+v", i)
			}
			ids[i.ID] = true
		}
	})
}
