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

// notificationLimit is the longest allowed time from a change until all readers have it.
const notificationLimit = 6 * time.Second

// fleetLease is the lease of an instance. A writer that starts without a stored list rejects reads
// for one lease.
const (
	fleetLease    = 3 * time.Second
	renewalPeriod = fleetLease / 6
)

// regionOutage is how long the followers are partitioned from the writer.
const regionOutage = 4 * time.Second

// scopedReader is a client that reads some scopes from two followers, each through its own relay.
type scopedReader struct {
	scopes []registry.Scope
	relays []*link.Relay // to each follower

	mu         sync.Mutex
	view       map[string]registry.Instance
	outOfScope []string // received instances outside its scopes
}

func (r *scopedReader) notify(update registry.Update) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if update.Changes.Reset {
		clear(r.view)
	}
	for _, instance := range update.Changes.Instances {
		if instance.Lifecycle == registry.Gone {
			delete(r.view, instance.ID)
			continue
		}
		if !r.covers(instance) {
			r.outOfScope = append(r.outOfScope, instance.ID)
		}
		r.view[instance.ID] = instance
	}
}

func (r *scopedReader) covers(instance registry.Instance) bool {
	return slices.ContainsFunc(r.scopes, func(s registry.Scope) bool { return s.Matches(instance) })
}

// lifecycleOf returns the lifecycle of an instance in the reader's view, or Gone if the view does
// not contain it.
func (r *scopedReader) lifecycleOf(id string) registry.Lifecycle {
	r.mu.Lock()
	defer r.mu.Unlock()
	instance, known := r.view[id]
	if !known {
		return registry.Gone
	}
	return instance.Lifecycle
}

// scopedFleet is a writer, two followers and scoped readers, with a relay on each link.
type scopedFleet struct {
	processes        // the writer, then the followers
	writer    string // address of the writer
	addresses []string
	upstream  []*link.Relay // of each follower, to the writer
	readers   []*scopedReader

	mu        sync.Mutex
	instances map[string]registry.Instance // on the list, by id
}

// fleetScopes are the scopes of each reader of a fleet.
var fleetScopes = [][]string{
	{"checkout"},
	{"checkout@region=north"},
	{"checkout@zone=south-a", "search@region=north"},
	{"search", "checkout@region=south"},
}

func newScopedFleet(t *testing.T) *scopedFleet {
	t.Helper()
	fleet := &scopedFleet{processes: newProcesses(t, 3), writer: testnet.TCP(t), instances: map[string]registry.Instance{}}
	t.Cleanup(fleet.killAll)
	leaseMs := fleetLease.Milliseconds()
	fleet.write(0, map[string]any{"listen": fleet.writer, "lease_ms": leaseMs, "data_dir": filepath.Join(fleet.dir, "writer")})
	fleet.start(0)
	for n := range 2 {
		fleet.upstream = append(fleet.upstream, fleet.relay(fleet.writer))
		fleet.addresses = append(fleet.addresses, testnet.TCP(t))
		fleet.write(n+1, map[string]any{"listen": fleet.addresses[n], "writer": fleet.upstream[n].Address(), "lease_ms": leaseMs})
		fleet.start(n + 1)
	}
	fleet.renewAll()
	fleet.register("checkout", "north", "north-a", 6)
	fleet.register("checkout", "south", "south-a", 6)
	fleet.register("search", "north", "north-b", 6)
	for n, texts := range fleetScopes {
		fleet.startReader(texts, uint64(n))
	}
	fleet.waitUntilConsistent("each reader has its part of the list", waitTimeout)
	return fleet
}

func (f *scopedFleet) relay(target string) *link.Relay {
	f.t.Helper()
	r, err := link.NewRelay(testnet.AnyPort(), target, link.Limits{MaxConnections: 32, BufferBytes: 64 << 10}, 1)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(r.Close)
	return r
}

// startReader starts a reader of scopes.
func (f *scopedFleet) startReader(texts []string, seed uint64) {
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
		if len(r.outOfScope) > 0 {
			f.t.Errorf("the reader of %v received %v outside its scopes", texts, r.outOfScope)
		}
	})
	f.readers = append(f.readers, r)
}

// call repeats a request to the writer until it succeeds.
func (f *scopedFleet) call(method, path, body string) {
	f.t.Helper()
	waitFor(f.t, method+" "+path+" is done", func() bool {
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

// register registers instances, whose ids consist of service, zone and number.
func (f *scopedFleet) register(service, region, zone string, count int) {
	f.t.Helper()
	for n := range count {
		id := fmt.Sprintf("%s-%s-%d", service, zone, n)
		f.call(http.MethodPut, id, fmt.Sprintf(`{"hostPort":"127.0.0.1:80","zone":%q,"region":%q,"service":%q,"machineType":"m","startedAtMs":5}`, zone, region, service))
		f.setInstance(registry.Instance{ID: id, Service: service, Region: region, Zone: zone, Lifecycle: registry.Ready})
	}
}

func (f *scopedFleet) setInstance(instance registry.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances[instance.ID] = instance
}

func (f *scopedFleet) removeInstance(id string) {
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

// drainAndRemove drains the instance with this number in each service and zone, and removes the
// one with the next number.
func (f *scopedFleet) drainAndRemove(number int) {
	f.t.Helper()
	for _, prefix := range []string{"checkout-north-a", "checkout-south-a", "search-north-b"} {
		draining, removed := fmt.Sprintf("%s-%d", prefix, number), fmt.Sprintf("%s-%d", prefix, number+1)
		f.call(http.MethodPost, draining+"/lifecycle", `{"startedAtMs":5,"lifecycle":"Terminating"}`)
		instance := f.instances[draining]
		instance.Lifecycle = registry.Terminating
		f.setInstance(instance)
		f.removeInstance(removed) // so that renewAll no longer renews it
		f.call(http.MethodDelete, removed+"?startedAtMs=5", "")
	}
}

// firstDifference describes an instance whose state differs between a reader's view and the list.
// It returns an empty string if there is none.
func (f *scopedFleet) firstDifference() string {
	for n, r := range f.readers {
		for id, instance := range f.instances {
			want := registry.Gone
			if r.covers(instance) {
				want = instance.Lifecycle
			}
			if got := r.lifecycleOf(id); got != want {
				return fmt.Sprintf("reader %d has %s as %s, want %s", n, id, got, want)
			}
		}
		r.mu.Lock()
		for id := range r.view {
			if _, listed := f.instances[id]; !listed {
				r.mu.Unlock()
				return fmt.Sprintf("reader %d has %s, which has been removed", n, id)
			}
		}
		r.mu.Unlock()
	}
	return ""
}

// waitUntilConsistent waits until the views of all readers match the list, and logs how long that
// took.
func (f *scopedFleet) waitUntilConsistent(what string, limit time.Duration) {
	f.t.Helper()
	began := time.Now()
	for {
		difference := f.firstDifference()
		if difference == "" {
			f.t.Logf("%s: after %v", what, time.Since(began).Round(time.Millisecond))
			return
		}
		if time.Since(began) > limit {
			f.t.Fatalf("%s: not within %v: %s", what, limit, difference)
		}
		time.Sleep(time.Millisecond)
	}
}

func (f *scopedFleet) setLink(relay *link.Relay, direction link.Direction, kind link.Kind) {
	f.t.Helper()
	if err := relay.Set(direction, link.Condition{Kind: kind}); err != nil {
		f.t.Fatal(err)
	}
}

// Scoped readers learn within 6 s that backends drain and leave, despite a failure of one of two
// followers. If both followers are partitioned from the writer, the 6 s begin when that ends.
func TestScopedReadersAreNotified(t *testing.T) {
	faults := map[string]struct {
		begin func(f *scopedFleet)
		end   func(f *scopedFleet) // nil: readers receive the change during the fault
	}{
		"follower killed": {begin: func(f *scopedFleet) { f.kill(1) }},
		"follower killed and restarted empty": {begin: func(f *scopedFleet) {
			f.kill(1)
			f.start(1)
		}},
		"follower frozen": {begin: func(f *scopedFleet) { f.signal(1, syscall.SIGSTOP) }},
		"follower receives nothing from the writer": {begin: func(f *scopedFleet) { f.setLink(f.upstream[0], link.Reverse, link.Stalled) }},
		"follower cannot send to the writer":        {begin: func(f *scopedFleet) { f.setLink(f.upstream[0], link.Forward, link.Dropped) }},
		"readers receive nothing from a follower": {begin: func(f *scopedFleet) {
			for _, r := range f.readers {
				f.setLink(r.relays[0], link.Reverse, link.Dropped)
			}
		}},
		"followers partitioned for a time": {
			begin: func(f *scopedFleet) {
				for _, r := range f.upstream {
					f.setLink(r, link.Forward, link.Dropped)
					f.setLink(r, link.Reverse, link.Dropped)
				}
			},
			end: func(f *scopedFleet) {
				time.Sleep(regionOutage)
				for _, r := range f.upstream {
					f.setLink(r, link.Forward, link.Up)
					f.setLink(r, link.Reverse, link.Up)
				}
			},
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet := newScopedFleet(t)
			fleet.drainAndRemove(0)
			fleet.waitUntilConsistent("without a fault", notificationLimit)
			fault.begin(fleet)
			fleet.drainAndRemove(2)
			if fault.end != nil {
				fault.end(fleet)
			}
			fleet.waitUntilConsistent("with the fault", notificationLimit)
			fleet.drainAndRemove(4)
			fleet.waitUntilConsistent("another change", notificationLimit)
		})
	}
}
