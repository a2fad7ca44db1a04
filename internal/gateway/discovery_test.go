package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"dunlintray/internal/wire"
	"dunlintray/rules"
)

// fakeDiscovery is a discovery server that answers each request with the next value of answers.
type fakeDiscovery struct {
	*httptest.Server
	calls   chan string // the query string of each request
	answers chan any    // a Listing, a body (string), a status (int), or nil to close the connection
}

func newFakeDiscovery(t testing.TB) *fakeDiscovery {
	discovery := &fakeDiscovery{calls: make(chan string, 64), answers: make(chan any, 64)}
	discovery.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		discovery.calls <- r.URL.RawQuery
		select {
		case <-r.Context().Done():
		case answer := <-discovery.answers:
			switch answer := answer.(type) {
			case Listing:
				if answer.Instances == nil {
					answer.Instances = []Instance{}
				}
				json.NewEncoder(w).Encode(answer)
			case string:
				w.Write([]byte(answer))
			case nil:
				panic(http.ErrAbortHandler)
			case int:
				w.WriteHeader(answer)
			}
		}
	}))
	t.Cleanup(discovery.Server.Close)
	return discovery
}

func (d *fakeDiscovery) address() string { return d.Listener.Addr().String() }

// A failed request must be retried from the right version, and an answer that is not a complete list
// must not be passed on.
func TestWatchRetriesFailedRequests(t *testing.T) {
	discovery := newFakeDiscovery(t)
	received := make(chan Listing, 64)
	rejections := make(chan chan struct{}, 1)
	watcher := newDiscoveryWatcher(discovery.address(), func(listing Listing) { received <- listing }, func(context.Context) {
		retry := make(chan struct{})
		rejections <- retry
		<-retry
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { watcher.run(ctx, nil) })
	t.Cleanup(func() { cancel(); wg.Wait() })

	// Each step has the expected request, its answer, and whether the answer is passed on.
	for number, step := range []struct {
		query  string
		answer any
		reset  bool
		none   bool // nothing is passed on
	}{
		{"", nil, false, true}, // discovery is not available yet
		{"", Listing{Generation: 41}, true, false},
		{"since=41&timeout_ms=2000", nil, false, true}, // net/http repeats the request by itself
		{"since=41&timeout_ms=2000", nil, false, true}, // a broken watch is retried at once from the same version
		{"since=41&timeout_ms=1", Listing{Generation: 43}, false, false},
		{"since=43&timeout_ms=2000", Listing{Generation: 2, Reset: true}, true, false},
		{"since=2&timeout_ms=2000", 500, false, true}, // after another status the version is not used again
		{"", Listing{Generation: 50, Reset: true}, true, false},
		{"since=50&timeout_ms=2000", "{", false, true},
		{"", "{}", false, true}, // not a list; it must not remove all backends
		{"", `{"generation":60,"reset":true}`, false, true},
		{"", `{"generation":60,"instances":null}`, false, true},
		{"", `null`, false, true},
		{"", Listing{Generation: 51, Reset: true}, true, false},
		{"since=51&timeout_ms=2000", 503, false, true}, // a rejected request leaves the version valid
		{"since=51&timeout_ms=1", Listing{Generation: 52}, false, false},
	} {
		if got := wait(t, discovery.calls, "call"); got != step.query {
			t.Fatalf("step %d: call %q, want %q", number, got, step.query)
		}
		discovery.answers <- step.answer
		if step.answer == 503 {
			retry := wait(t, rejections, "report of the rejected request")
			if len(discovery.calls) > 0 {
				t.Fatalf("step %d: the rejected request was repeated at once", number)
			}
			close(retry)
		}
		if step.none {
			continue
		}
		if got := wait(t, received, "list"); got.Generation != step.answer.(Listing).Generation || got.Reset != step.reset {
			t.Fatalf("step %d: received %+v", number, got)
		}
	}
}

// A new address must end the open watch at the old one, and start with a request for the full list.
func TestWatchMovesToNewAddress(t *testing.T) {
	old, next := newFakeDiscovery(t), newFakeDiscovery(t)
	received := make(chan Listing, 64)
	watcher := newDiscoveryWatcher(old.address(), func(listing Listing) { received <- listing }, nil)
	ctx, cancel := context.WithCancel(context.Background())
	newAddresses := make(chan string)
	var wg sync.WaitGroup
	wg.Go(func() { watcher.run(ctx, newAddresses) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	wait(t, old.calls, "first call")
	old.answers <- Listing{Generation: 41, Reset: true}
	wait(t, received, "list")
	wait(t, old.calls, "watch")
	newAddresses <- next.address()
	if got := wait(t, next.calls, "call at the new address"); got != "" {
		t.Errorf("call %q, want a request for the full list", got)
	}
	next.answers <- Listing{Generation: 7}
	if got := wait(t, received, "list from the new address"); got.Generation != 7 || !got.Reset {
		t.Errorf("received %+v", got)
	}
}

// JSON text that is not a list must be rejected; a set of changes may be empty.
func TestOnlyCompleteListingsAreRead(t *testing.T) {
	for _, test := range []struct {
		text        string
		full, valid bool
	}{
		{`{"generation":5,"reset":true,"instances":[]}`, false, true},
		{`{ "generation" : 5,
  "instances" : [ { "instanceId" : "s-1" } ] }`, true, true},
		{`{"generation":5,"reset":false}`, false, true},
		{`{"generation":5,"instances":null}`, false, true},
		{`{"generation":5,"instances":null}`, true, false},
		{`{"generation":5,"reset":true}`, false, false},
		{`{"instances":[]}`, false, false},
		{`{}`, false, false},
		{`null`, true, false},
		{`[]`, true, false},
		{`{"generation":"5","instances":[]}`, true, false},
		{`{"generation":5,"instances":[{]}`, true, false},
	} {
		if listing, err := readListing([]byte(test.text), test.full); (err == nil) != test.valid {
			t.Errorf("%s, full %t: %+v, %v", test.text, test.full, listing, err)
		}
	}
}

// A change must arrive within 6 s however the requests fail, with the longest pauses that the module
// requests after a rejected one. The clock is that of a synctest bubble.
func TestChangeArrivesWithinSixSeconds(t *testing.T) {
	type failure string
	const (
		silent      failure = "no answer"
		rejected    failure = "status 503"
		broken      failure = "connection closed"
		slow        failure = "slow body"
		truncated   failure = "body cut off"
		otherStatus failure = "status 500"
	)
	for _, failures := range [][]failure{{}, {silent}, {rejected}, {broken}, {truncated}, {otherStatus}, {slow}, {silent, silent}, {silent, rejected},
		{rejected, rejected}, {silent, broken, rejected}, {silent, silent, rejected}, {silent, otherStatus}, {truncated, silent, slow}, {silent, slow}} {
		synctest.Test(t, func(t *testing.T) {
			calls, rejections := 0, 0
			var receivedAt time.Time
			ctx, cancel := context.WithCancel(context.Background())
			watcher := newDiscoveryWatcher("discovery", func(listing Listing) {
				if listing.Generation == 2 && receivedAt.IsZero() {
					receivedAt = time.Now()
					cancel()
				}
			}, func(ctx context.Context) {
				rejections++
				sleepFor(ctx, []time.Duration{2 * time.Second, 3600 * time.Millisecond}[min(rejections, 2)-1])
			})
			watcher.client.Transport = roundTripFunc(func(r *http.Request) (*http.Response, error) {
				calls++
				body := io.Reader(strings.NewReader(`{"generation":2,"reset":true,"instances":[]}`))
				if calls == 1 {
					body = strings.NewReader(`{"generation":1,"reset":true,"instances":[]}`)
				}
				if index := calls - 2; index >= 0 && index < len(failures) {
					switch failures[index] {
					case silent:
						<-r.Context().Done()
						return nil, context.Cause(r.Context())
					case rejected:
						return &http.Response{StatusCode: 503, Body: http.NoBody}, nil
					case otherStatus:
						return &http.Response{StatusCode: 500, Body: http.NoBody}, nil
					case broken:
						return nil, io.ErrUnexpectedEOF
					case slow:
						time.Sleep(bodyTimeout - time.Millisecond)
					case truncated:
						body = iotest.TimeoutReader(iotest.OneByteReader(body))
					}
				}
				return &http.Response{StatusCode: 200, Body: io.NopCloser(body)}, nil
			})
			start := time.Now()
			watcher.follow(ctx)
			if took := receivedAt.Sub(start); receivedAt.IsZero() || took > 5800*time.Millisecond {
				t.Errorf("%q: received after %v", failures, took)
			}
		})
	}
}

// slowDiscovery is a discovery that sends each answer late. Its list changes once.
type slowDiscovery struct {
	late      time.Duration
	changedAt time.Time
}

// RoundTrip implements http.RoundTripper.
func (d *slowDiscovery) RoundTrip(r *http.Request) (*http.Response, error) {
	timeoutMs, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	watch := time.Duration(timeoutMs) * time.Millisecond
	if r.URL.Query().Get("since") == "1" && time.Now().Before(d.changedAt) {
		sleepFor(r.Context(), min(watch, time.Until(d.changedAt)))
	}
	generation := 1
	if !time.Now().Before(d.changedAt) {
		generation = 2
	}
	sleepFor(r.Context(), d.late)
	if r.Context().Err() != nil {
		return nil, context.Cause(r.Context())
	}
	body := fmt.Sprintf(`{"generation":%d,"reset":true,"instances":[]}`, generation)
	return &http.Response{StatusCode: 200, Body: io.NopCloser(strings.NewReader(body))}, nil
}

// Guards against a discovery that is never heard since it sends each answer late: a call that is given up
// must not be followed by others that are given up as early.
func TestSlowDiscoveryIsHeard(t *testing.T) {
	const told = 6 * time.Second // a change counts as told
	for late, limit := range map[time.Duration]time.Duration{0: told, 300 * time.Millisecond: told, 1200 * time.Millisecond: told,
		1800 * time.Millisecond: told, 3500 * time.Millisecond: time.Minute} { // the last can't be heard in time
		for change := time.Duration(0); change < 8*time.Second; change += 100 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Minute)
				defer cancel()
				discovery := &slowDiscovery{late: late, changedAt: time.Now().Add(20*time.Second + change)}
				var receivedAt time.Time
				watcher := newDiscoveryWatcher("discovery", func(listing Listing) {
					if listing.Generation == 2 {
						receivedAt = time.Now()
						cancel()
					}
				}, func(context.Context) {})
				watcher.client.Transport = discovery
				watcher.follow(ctx)
				if took := receivedAt.Sub(discovery.changedAt); receivedAt.IsZero() || took > limit {
					t.Errorf("answers %v late, change after %v: received after %v, want at most %v", late, 20*time.Second+change, took, limit)
				}
			})
		}
	}
}

// roundTripFunc is an http.RoundTripper.
type roundTripFunc func(*http.Request) (*http.Response, error)

func (f roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// An instance must be converted to the module's form and units, and an invalid one rejected. The id
// of a name must never change.
func TestInstanceConversion(t *testing.T) {
	deployment := &wire.Deployment{Zones: []string{"a", "b"}, Kinds: []string{"m1", "m2"}}
	zones := zoneNumbers{}
	zones.assign(deployment.Zones)
	backend, err := backendOf(Instance{ID: "s-1", Zone: "b", MachineType: "m2", Cell: 3, Lifecycle: "Terminating", Weight: 1.5,
		StartedAtMs: 1500}, deployment, zones)
	want := rules.Backend{ID: backendID("s-1"), Zone: 1, Kind: 1, Cell: 3, State: rules.Draining, Weight: 1.5, StartedAt: 1.5}
	if err != nil || backend != want {
		t.Errorf("%+v, %v; want %+v", backend, err, want)
	}
	if backendID("s-5be2a07c") != 0x4caec46a {
		t.Errorf("the id of a name has changed to %#x: gateways of different versions would not agree", backendID("s-5be2a07c"))
	}
	for _, invalid := range []Instance{
		{ID: "", Zone: "a", Lifecycle: "Ready"},
		{ID: "s-1", Zone: "a", Lifecycle: "ready"},
		{ID: "s-1", Zone: "c", Lifecycle: "Ready"},
		{ID: "s-1", Zone: "a", Lifecycle: "Ready", StartedAtMs: -1},
	} {
		if _, err := backendOf(invalid, deployment, zones); err == nil {
			t.Errorf("%+v was accepted", invalid)
		}
	}
}
