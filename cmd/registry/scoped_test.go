package main

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"dunlintray/internal/link"
	"dunlintray/internal/registry"
	"dunlintray/internal/testnet"
)

// notifyWithin is how long after a change a reader may still hold the state before it.
const notifyWithin = 6 * time.Second

// fleetLease is how long an instance stays on the list without a renewal. A writer that
// starts answers no reads for as long.
const (
	fleetLease    = 3 * time.Second
	renewalPeriod = fleetLease / 6
)

// regionOutage is for how long a region is cut off from the writer.
const regionOutage = 4 * time.Second

// scopedReader is a client that reads some scopes from two followers, each over a relay
// of its own.
type scopedReader struct {
	scopes []registry.Scope
	relays []*link.Relay // to each follower

	mu      sync.Mutex
	view    map[string]registry.Instance
	outside []string // instances that it was told of outside of its scopes
}

func (r *scopedReader) notify(told registry.Update) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if told.Changes.Reset {
		clear(r.view)
	}
	for _, instance := range told.Changes.Instances {
		if instance.Lifecycle == registry.Gone {
			delete(r.view, instance.ID)
			continue
		}
		if !r.covers(instance) {
			r.outside = append(r.outside, instance.ID)
		}
		r.view[instance.ID] = instance
	}
}

func (r *scopedReader) covers(instance registry.Instance) bool {
	return slices.ContainsFunc(r.scopes, func(s registry.Scope) bool { return s.Matches(instance) })
}

// holds returns what the reader takes an instance for; Gone if it does not have it.
func (r *scopedReader) holds(id string) registry.Lifecycle {
	r.mu.Lock()
	defer r.mu.Unlock()
	instance, there := r.view[id]
	if !there {
		return registry.Gone
	}
	return instance.Lifecycle
}

// scopedFleet is a writer, two followers and readers, with a relay on each link.
type scopedFleet struct {
	processes        // the writer, then the followers
	writer    string // its address
	addresses []string
	upstream  []*link.Relay // of each follower, to the writer
	readers   []*scopedReader

	mu        sync.Mutex
	instances map[string]registry.Instance // on the list, by id
}

// fleetScopes are what the readers of a fleet read.
var fleetScopes = [][]string{
	{"checkout"},
	{"checkout@region=north"},
	{"checkout@zone=south-a", "search@region=north"},
	{"search", "checkout@region=south"},
}

func newScopedFleet(t *testing.T) *scopedFleet {
	t.Helper()
	f := &scopedFleet{processes: newProcesses(t, 3), writer: testnet.TCP(t), instances: map[string]registry.Instance{}}
	t.Cleanup(f.killAll)
	leaseMs := fleetLease.Milliseconds()
	f.write(0, map[string]any{"listen": f.writer, "lease_ms": leaseMs, "data_dir": filepath.Join(f.dir, "writer")})
	f.start(0)
	for n := range 2 {
		f.upstream = append(f.upstream, f.relay(f.writer))
		f.addresses = append(f.addresses, testnet.TCP(t))
		f.write(n+1, map[string]any{"listen": f.addresses[n], "writer": f.upstream[n].Address(), "lease_ms": leaseMs})
		f.start(n + 1)
	}
	f.renewAll()
	f.register("checkout", "north", "north-a", 6)
	f.register("checkout", "south", "south-a", 6)
	f.register("search", "north", "north-b", 6)
	for n, texts := range fleetScopes {
		f.read(texts, uint64(n))
	}
	f.await("each reader has its part of the list", patience)
	return f
}

func (f *scopedFleet) relay(target string) *link.Relay {
	f.t.Helper()
	r, err := link.NewRelay("127.0.0.1:0", target, link.Limits{Connections: 32, Buffer: 64 << 10}, 1)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(r.Close)
	return r
}

// read starts a reader of scopes.
func (f *scopedFleet) read(texts []string, seed uint64) {
	f.t.Helper()
	scopes, err := registry.ParseScopes(texts)
	if err != nil {
		f.t.Fatal(err)
	}
	r := &scopedReader{scopes: scopes, view: map[string]registry.Instance{}}
	var addresses []string
	for _, follower := range f.addresses {
		relay := f.relay(follower)
		r.relays = append(r.relays, relay)
		addresses = append(addresses, relay.Address())
	}
	client := registry.NewClient(addresses, rand.New(rand.NewPCG(seed, 1)), r.notify)
	client.SetScopes(scopes)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		client.Run(ctx, nil)
	}()
	f.t.Cleanup(func() {
		stop()
		<-ended
		if len(r.outside) > 0 {
			f.t.Errorf("the reader of %v was told of %v", texts, r.outside)
		}
	})
	f.readers = append(f.readers, r)
}

// call makes a write at the writer, which has to take it.
func (f *scopedFleet) call(method, path, body string) {
	f.t.Helper()
	until(f.t, method+" "+path+" is done", func() bool {
		req, err := http.NewRequest(method, "http://"+f.writer+registry.Path+"/"+path, strings.NewReader(body))
		if err != nil {
			f.t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// register puts instances on the list, named by their zone and number.
func (f *scopedFleet) register(service, region, zone string, count int) {
	f.t.Helper()
	for n := range count {
		id := fmt.Sprintf("%s-%s-%d", service, zone, n)
		f.call(http.MethodPut, id, fmt.Sprintf(`{"hostPort":"127.0.0.1:80","zone":%q,"region":%q,"service":%q,"machineType":"m","startedAtMs":5}`, zone, region, service))
		f.list(registry.Instance{ID: id, Service: service, Region: region, Zone: zone, Lifecycle: registry.Ready})
	}
}

func (f *scopedFleet) list(instance registry.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances[instance.ID] = instance
}

func (f *scopedFleet) unlist(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.instances, id)
}

// renewAll renews the leases of all instances until the test ends.
func (f *scopedFleet) renewAll() {
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	f.t.Cleanup(func() {
		stop()
		<-ended
	})
	go func() {
		defer close(ended)
		renewals := time.NewTicker(renewalPeriod)
		defer renewals.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-renewals.C:
			}
			f.mu.Lock()
			ids := slices.Collect(maps.Keys(f.instances))
			f.mu.Unlock()
			for _, id := range ids {
				resp, err := http.Post("http://"+f.writer+registry.Path+"/"+id+"/renew", "application/json", strings.NewReader(`{"startedAtMs":5}`))
				if err == nil {
					resp.Body.Close()
				}
			}
		}
	}()
}

// change drains the instance with this number in each service and zone, and takes the one
// behind it off the list.
func (f *scopedFleet) change(number int) {
	f.t.Helper()
	for _, prefix := range []string{"checkout-north-a", "checkout-south-a", "search-north-b"} {
		drains, leaves := fmt.Sprintf("%s-%d", prefix, number), fmt.Sprintf("%s-%d", prefix, number+1)
		f.call(http.MethodPost, drains+"/lifecycle", `{"startedAtMs":5,"lifecycle":"Terminating"}`)
		instance := f.instances[drains]
		instance.Lifecycle = registry.Terminating
		f.list(instance)
		f.unlist(leaves) // before a renewal can meet it gone
		f.call(http.MethodDelete, leaves+"?startedAtMs=5", "")
	}
}

// differs names an instance that a reader holds in another state than the list does.
func (f *scopedFleet) differs() string {
	for n, r := range f.readers {
		for id, instance := range f.instances {
			want := registry.Gone
			if r.covers(instance) {
				want = instance.Lifecycle
			}
			if got := r.holds(id); got != want {
				return fmt.Sprintf("reader %d has %s as %s, not %s", n, id, got, want)
			}
		}
		r.mu.Lock()
		for id := range r.view {
			if _, there := f.instances[id]; !there {
				r.mu.Unlock()
				return fmt.Sprintf("reader %d has %s, which has left", n, id)
			}
		}
		r.mu.Unlock()
	}
	return ""
}

// await waits until all readers have what the list has, and says how long that took.
func (f *scopedFleet) await(what string, within time.Duration) {
	f.t.Helper()
	began := time.Now()
	for {
		differs := f.differs()
		if differs == "" {
			f.t.Logf("%s: after %v", what, time.Since(began).Round(time.Millisecond))
			return
		}
		if time.Since(began) > within {
			f.t.Fatalf("%s: not within %v: %s", what, within, differs)
		}
		time.Sleep(time.Millisecond)
	}
}

func (f *scopedFleet) set(r *link.Relay, way link.Way, kind link.Kind) {
	f.t.Helper()
	if err := r.Set(way, link.How{Kind: kind}); err != nil {
		f.t.Fatal(err)
	}
}

// Readers of scopes hear within 6 s of backends that drain and leave, whatever happens to
// one of two followers, and after an outage of both from its end on.
func TestScopedReadersAreNotified(t *testing.T) {
	faults := map[string]struct {
		begin func(f *scopedFleet)
		end   func(f *scopedFleet) // nil: the change can be heard while the fault lasts
	}{
		"follower killed": {begin: func(f *scopedFleet) { f.kill(1) }},
		"follower killed and restarted empty": {begin: func(f *scopedFleet) {
			f.kill(1)
			f.start(1)
		}},
		"follower frozen":                        {begin: func(f *scopedFleet) { f.signal(1, syscall.SIGSTOP) }},
		"follower hears nothing from the writer": {begin: func(f *scopedFleet) { f.set(f.upstream[0], link.Back, link.Stalled) }},
		"follower's calls never arrive":          {begin: func(f *scopedFleet) { f.set(f.upstream[0], link.There, link.Dropped) }},
		"readers hear nothing from a follower": {begin: func(f *scopedFleet) {
			for _, r := range f.readers {
				f.set(r.relays[0], link.Back, link.Dropped)
			}
		}},
		"region cut and back": {
			begin: func(f *scopedFleet) {
				for _, r := range f.upstream {
					f.set(r, link.There, link.Dropped)
					f.set(r, link.Back, link.Dropped)
				}
			},
			end: func(f *scopedFleet) {
				time.Sleep(regionOutage)
				for _, r := range f.upstream {
					f.set(r, link.There, link.Up)
					f.set(r, link.Back, link.Up)
				}
			},
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newScopedFleet(t)
			f.change(0)
			f.await("without a fault", notifyWithin)
			fault.begin(f)
			f.change(2)
			if fault.end != nil {
				fault.end(f)
			}
			f.await("with the fault", notifyWithin)
			f.change(4)
			f.await("once more", notifyWithin)
		})
	}
}
