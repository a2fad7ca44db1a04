package gateway

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"dunlintray/internal/wire"
	"dunlintray/rules"
)

// fakeDiscovery is a discovery whose answers a test gives one by one.
type fakeDiscovery struct {
	*httptest.Server
	calls   chan string // the query of each call
	answers chan any    // a Listing, or a status
}

func newFakeDiscovery(t testing.TB) *fakeDiscovery {
	r := &fakeDiscovery{calls: make(chan string, 64), answers: make(chan any, 64)}
	r.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		r.calls <- q.URL.RawQuery
		select {
		case <-q.Context().Done():
		case a := <-r.answers:
			switch a := a.(type) {
			case Listing:
				if a.Instances == nil {
					a.Instances = []Instance{}
				}
				json.NewEncoder(w).Encode(a)
			case string:
				w.Write([]byte(a))
			case nil:
				panic(http.ErrAbortHandler)
			case int:
				w.WriteHeader(a)
			}
		}
	}))
	t.Cleanup(r.Server.Close)
	return r
}

func (r *fakeDiscovery) address() string { return r.Listener.Addr().String() }

func TestWatchRetriesFailedRequests(t *testing.T) {
	r := newFakeDiscovery(t)
	heard := make(chan Listing, 64)
	turnedAway := make(chan chan struct{}, 1)
	w := newDiscoveryWatcher(r.address(), func(l Listing) { heard <- l }, func(context.Context) {
		again := make(chan struct{})
		turnedAway <- again
		<-again
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { w.run(ctx, nil) })
	t.Cleanup(func() { cancel(); wg.Wait() })

	// Each step: the call that is expected, its answer, and what is handed on.
	for i, step := range []struct {
		query  string
		answer any
		reset  bool
		none   bool
	}{
		{"", nil, false, true}, // discovery is not there yet
		{"", Listing{Generation: 41}, true, false},
		{"since=41&timeout_ms=2000", nil, false, true}, // net/http calls again by itself
		{"since=41&timeout_ms=2000", nil, false, true}, // a broken watch goes on from the same version, at once
		{"since=41&timeout_ms=1", Listing{Generation: 43}, false, false},
		{"since=43&timeout_ms=2000", Listing{Generation: 2, Reset: true}, true, false},
		{"since=2&timeout_ms=2000", 500, false, true}, // a version that is turned down is given up
		{"", Listing{Generation: 50, Reset: true}, true, false},
		{"since=50&timeout_ms=2000", "{", false, true},
		{"", "{}", false, true}, // no list, which must not empty the gateway's
		{"", `{"generation":60,"reset":true}`, false, true},
		{"", `{"generation":60,"instances":null}`, false, true},
		{"", `null`, false, true},
		{"", Listing{Generation: 51, Reset: true}, true, false},
		{"since=51&timeout_ms=2000", 503, false, true}, // turned away, the version still holds
		{"since=51&timeout_ms=1", Listing{Generation: 52}, false, false},
	} {
		if got := wait(t, r.calls, "call"); got != step.query {
			t.Fatalf("step %d: call %q, want %q", i, got, step.query)
		}
		r.answers <- step.answer
		if step.answer == 503 {
			again := wait(t, turnedAway, "word of the refusal")
			if len(r.calls) > 0 {
				t.Fatalf("step %d: asked again at once", i)
			}
			close(again)
		}
		if step.none {
			continue
		}
		if got := wait(t, heard, "list"); got.Generation != step.answer.(Listing).Generation || got.Reset != step.reset {
			t.Fatalf("step %d: heard %+v", i, got)
		}
	}
}

// A watch that stands open at the old address is given up for the new one, and
// starts there from the whole list.
func TestWatchMovesToNewAddress(t *testing.T) {
	old, next := newFakeDiscovery(t), newFakeDiscovery(t)
	heard := make(chan Listing, 64)
	w := newDiscoveryWatcher(old.address(), func(l Listing) { heard <- l }, nil)
	ctx, cancel := context.WithCancel(context.Background())
	moves := make(chan string)
	var wg sync.WaitGroup
	wg.Go(func() { w.run(ctx, moves) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	wait(t, old.calls, "first call")
	old.answers <- Listing{Generation: 41, Reset: true}
	wait(t, heard, "list")
	wait(t, old.calls, "watch")
	moves <- next.address()
	if got := wait(t, next.calls, "call at the new address"); got != "" {
		t.Errorf("call %q, want the whole list", got)
	}
	next.answers <- Listing{Generation: 7}
	if got := wait(t, heard, "list from the new address"); got.Generation != 7 || !got.Reset {
		t.Errorf("heard %+v", got)
	}
}

// What is JSON and no list is refused, and changes may be none.
func TestOnlyCompleteListingsAreRead(t *testing.T) {
	for _, c := range []struct {
		text        string
		whole, good bool
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
		if l, err := readListing([]byte(c.text), c.whole); (err == nil) != c.good {
			t.Errorf("%s, whole %t: %+v, %v", c.text, c.whole, l, err)
		}
	}
}

// However the calls fail, what discovery has comes within 6 s: the time of each loss
// in turn is counted on the bubble's clock, with the longest pauses that the module
// asks for.
func TestChangeArrivesWithinSixSeconds(t *testing.T) {
	type loss string
	const (
		silent  loss = "falls silent"
		refused loss = "is refused"
		broken  loss = "breaks"
		slow    loss = "is slow to end"
		cut     loss = "is cut in its body"
		odd     loss = "has another status"
	)
	for _, losses := range [][]loss{{}, {silent}, {refused}, {broken}, {cut}, {odd}, {slow}, {silent, silent}, {silent, refused},
		{refused, refused}, {silent, broken, refused}, {silent, silent, refused}, {silent, odd}, {cut, silent, slow}, {silent, slow}} {
		synctest.Test(t, func(t *testing.T) {
			calls, refusals := 0, 0
			var heard time.Time
			ctx, cancel := context.WithCancel(context.Background())
			w := newDiscoveryWatcher("discovery", func(l Listing) {
				if l.Generation == 2 && heard.IsZero() {
					heard = time.Now()
					cancel()
				}
			}, func(ctx context.Context) {
				refusals++
				sleepFor(ctx, []time.Duration{2 * time.Second, 3600 * time.Millisecond}[min(refusals, 2)-1])
			})
			w.client.Transport = roundTripFunc(func(r *http.Request) (*http.Response, error) {
				calls++
				body := io.Reader(strings.NewReader(`{"generation":2,"reset":true,"instances":[]}`))
				if calls == 1 {
					body = strings.NewReader(`{"generation":1,"reset":true,"instances":[]}`)
				}
				if n := calls - 2; n >= 0 && n < len(losses) {
					switch losses[n] {
					case silent:
						<-r.Context().Done()
						return nil, context.Cause(r.Context())
					case refused:
						return &http.Response{StatusCode: 503, Body: http.NoBody}, nil
					case odd:
						return &http.Response{StatusCode: 500, Body: http.NoBody}, nil
					case broken:
						return nil, io.ErrUnexpectedEOF
					case slow:
						time.Sleep(bodyTimeout - time.Millisecond)
					case cut:
						body = iotest.TimeoutReader(iotest.OneByteReader(body))
					}
				}
				return &http.Response{StatusCode: 200, Body: io.NopCloser(body)}, nil
			})
			began := time.Now()
			w.follow(ctx)
			if took := heard.Sub(began); heard.IsZero() || took > 5800*time.Millisecond {
				t.Errorf("%q: told after %v", losses, took)
			}
		})
	}
}

// roundTripFunc answers a client's calls.
type roundTripFunc func(*http.Request) (*http.Response, error)

func (f roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

func TestInstanceConversion(t *testing.T) {
	d := &wire.Deployment{Zones: []string{"a", "b"}, Kinds: []string{"m1", "m2"}}
	b, err := backendOf(Instance{ID: "s-1", Zone: "b", MachineType: "m2", Cell: 3, Lifecycle: "Terminating", Weight: 1.5,
		StartedAtMs: 1500}, d)
	want := rules.Backend{ID: backendID("s-1"), Zone: 1, Kind: 1, Cell: 3, State: rules.Draining, Weight: 1.5, StartedAt: 1.5}
	if err != nil || b != want {
		t.Errorf("%+v, %v; want %+v", b, err, want)
	}
	if backendID("s-5be2a07c") != 0x4caec46a {
		t.Errorf("the id of a name has changed to %#x: gateways of two versions would not agree", backendID("s-5be2a07c"))
	}
	for _, bad := range []Instance{
		{ID: "", Zone: "a", Lifecycle: "Ready"},
		{ID: "s-1", Zone: "a", Lifecycle: "ready"},
		{ID: "s-1", Zone: "c", Lifecycle: "Ready"},
		{ID: "s-1", Zone: "a", Lifecycle: "Ready", StartedAtMs: -1},
	} {
		if _, err := backendOf(bad, d); err == nil {
			t.Errorf("%+v was taken", bad)
		}
	}
}
