package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"dunlintray/internal/registry"
	"dunlintray/internal/wire"
	"dunlintray/rules"
)

// A watch is a request for the changes since a version, which discovery answers at the next
// change or after watchDuration.
const (
	watchDuration    = 2 * time.Second
	watchGrace       = 500 * time.Millisecond  // for the response header after watchDuration
	listTimeout      = 2 * time.Second         // for the response header to a request for the full list
	catchUpTimeout   = 1 * time.Second         // for the response header to the request after a failed one; doubles with each timeout in a row
	maxTimeout       = 4 * time.Second         // for any response header
	bodyTimeout      = 1500 * time.Millisecond // for the body after the response header
	watchRetryDelay  = 100 * time.Millisecond  // after a failed request; a watch lapses after 200 ms
	maxListingBytes  = 4 << 20                 // of one response body
	errorLogInterval = 10 * time.Second
)

// listMemoryDivisor is the fraction of the gateway's memory, one in listMemoryDivisor, that the
// text of a service registry's answer may take; decoding it takes a multiple of that.
const listMemoryDivisor = 16

// maxAnswerBytes returns the size limit of a service registry's answer.
func maxAnswerBytes(memoryMB int) int64 {
	return max(int64(memoryMB)<<20/listMemoryDivisor, maxListingBytes)
}

type (
	// Listing is the list of backends from discovery, or a set of changes to it.
	Listing = registry.Listing
	// Instance is one backend of a Listing.
	Instance = registry.Instance
)

var backendStates = map[registry.Lifecycle]rules.BackendState{registry.Ready: rules.Ready,
	registry.Terminating: rules.Draining, registry.Gone: rules.Gone}

// backendID returns the module's id of a backend. It depends on the name alone, so that all
// gateways agree on it.
func backendID(instance string) rules.BackendID {
	hash := fnv.New32a()
	io.WriteString(hash, instance)
	return rules.BackendID(hash.Sum32())
}

// backendOf converts an instance to the module's form. Both clocks are Unix time (see clock), the
// module's in seconds. It returns an error for a lifecycle or zone that the deployment does not
// have.
func backendOf(instance Instance, deployment *wire.Deployment, zones zoneNumbers) (rules.Backend, error) {
	state, known := backendStates[instance.Lifecycle]
	switch {
	case instance.ID == "" || !known:
		return rules.Backend{}, fmt.Errorf("instance %q: lifecycle %q is not known", instance.ID, instance.Lifecycle)
	case !slices.Contains(deployment.Zones, instance.Zone) && state != rules.Gone:
		// Danger: two unknown zones must not count as one zone that drops duplicates.
		return rules.Backend{}, fmt.Errorf("instance %q: zone %q is not known", instance.ID, instance.Zone)
	case math.IsNaN(instance.Weight) || instance.StartedAtMs < 0:
		return rules.Backend{}, fmt.Errorf("instance %q: weight %g or start %d ms is not valid", instance.ID, instance.Weight, instance.StartedAtMs)
	}
	return rules.Backend{ID: backendID(instance.ID), Zone: zones.number(instance.Zone), Kind: slices.Index(deployment.Kinds, instance.MachineType), Cell: instance.Cell,
		State: state, Weight: instance.Weight, StartedAt: float64(instance.StartedAtMs) / 1000}, nil
}

// listFollower keeps the loop's list of backends up to date, from discovery or from service
// registries.
type listFollower struct {
	watcher             *discoveryWatcher // nil with service registries
	registryClient      *registry.Client  // nil with discovery
	discoveryAddress    string
	registries          []string         // addresses
	scopes              []registry.Scope // of the configuration
	scopeChange         scopeChange
	newDiscoveryAddress chan string
	newRegistries       chan []string // addresses
}

func newListFollower(config *Config, loop *Loop) *listFollower {
	follower := &listFollower{discoveryAddress: config.Discovery, registries: config.Registries, scopes: config.Scopes.scopes, newDiscoveryAddress: make(chan string), newRegistries: make(chan []string)}
	notify := func(listing Listing, history string) {
		kind := rules.Delta
		if listing.Reset {
			kind = rules.FullList
		}
		loop.post(listUpdate{listing, kind, history})
	}
	if len(config.Registries) > 0 {
		var unknown unknownScopes
		follower.registryClient = registry.NewClient(config.Registries, rand.New(rand.NewPCG(config.Seed, 1)), func(update registry.Update) {
			if config.observe != nil {
				config.observe(update)
			}
			unknown.logChange(update.Unknown)
			if scopes, changed := follower.scopeChange.handleAnswer(update.Scopes, update.Unknown); changed {
				follower.registryClient.SetScopes(scopes)
			}
			notify(update.Changes, update.History)
		})
		follower.registryClient.SetAnswerLimit(maxAnswerBytes(config.MemoryMB))
		if len(follower.scopes) > 0 {
			follower.scopeChange.active = follower.scopes
			follower.registryClient.SetScopes(follower.scopes)
		}
	} else {
		follower.watcher = newDiscoveryWatcher(config.Discovery, func(listing Listing) { notify(listing, "") }, loop.awaitListRetry)
	}
	return follower
}

// run follows the list until ctx ends.
func (f *listFollower) run(ctx context.Context) {
	if f.registryClient != nil {
		f.registryClient.Run(ctx, f.newRegistries)
		return
	}
	f.watcher.run(ctx, f.newDiscoveryAddress)
}

// reconfigure applies the addresses and scopes of a new configuration. The choice between
// discovery and service registries stays as it was at the start.
func (f *listFollower) reconfigure(ctx context.Context, next *Config) {
	if f.registryClient != nil && !slices.Equal(f.scopes, next.Scopes.scopes) {
		f.scopes = next.Scopes.scopes
		f.registryClient.SetScopes(f.scopeChange.begin(f.scopes))
	}
	switch {
	case f.registryClient != nil && len(next.Registries) > 0 && !slices.Equal(f.registries, next.Registries):
		f.registries = next.Registries
		select {
		case f.newRegistries <- next.Registries:
		case <-ctx.Done():
		}
	case f.registryClient == nil && next.Discovery != f.discoveryAddress:
		f.discoveryAddress = next.Discovery
		select {
		case f.newDiscoveryAddress <- next.Discovery:
		case <-ctx.Done():
		}
	}
}

// discoveryWatcher polls discovery and passes on each answer.
type discoveryWatcher struct {
	address        string
	client         *http.Client
	since          int64 // version of the list that was received last
	hasList        bool  // since is valid
	lastCallFailed bool
	timeouts       int // requests in a row without a response header in time
	onListing      func(Listing)

	// onRejected reports that discovery answered 503, and returns when the next request is due.
	onRejected func(context.Context)
}

func newDiscoveryWatcher(address string, onListing func(Listing), onRejected func(context.Context)) *discoveryWatcher {
	return &discoveryWatcher{address: address, onListing: onListing, onRejected: onRejected,
		client: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxConnsPerHost: 2}}}
}

// run follows discovery until ctx ends. At each address from newAddresses it starts with the full list,
// since another discovery service may count versions differently.
func (w *discoveryWatcher) run(ctx context.Context, newAddresses <-chan string) {
	for {
		inner, cancel := context.WithCancel(ctx)
		var wg sync.WaitGroup
		wg.Go(func() { w.follow(inner) })
		address := ""
		select {
		case <-ctx.Done():
		case address = <-newAddresses:
		}
		cancel()
		wg.Wait()
		if ctx.Err() != nil {
			return
		}
		w.address, w.hasList = address, false
	}
}

// follow requests the list once and then its changes, until ctx ends. It repeats a failed request
// soon, on a new connection, from the last version received; that request does not wait for
// changes. After a rejected request it waits for onRejected, so as not to add to the overload of
// discovery. A change reaches the gateway within 6 s, including these retries.
func (w *discoveryWatcher) follow(ctx context.Context) {
	defer w.client.CloseIdleConnections()
	var lastLogged time.Time
	for ctx.Err() == nil {
		listing, err := w.requestListing(ctx)
		w.lastCallFailed = err != nil
		if err == nil {
			w.since, w.hasList = listing.Generation, true
			w.onListing(listing)
			continue
		}
		if ctx.Err() == nil && time.Since(lastLogged) > errorLogInterval {
			lastLogged = time.Now()
			log.Printf("discovery: %v", err)
		}
		if errors.Is(err, errRejected) {
			w.onRejected(ctx)
			continue
		}
		w.client.CloseIdleConnections()
		select {
		case <-ctx.Done():
		case <-time.After(watchRetryDelay):
		}
	}
}

var errRejected = errors.New("turned away")

// requestListing requests the full list, or the changes since the last version. It returns
// errRejected if discovery answers 503.
func (w *discoveryWatcher) requestListing(ctx context.Context) (listing Listing, err error) {
	url, limit := "http://"+w.address+registry.Path, listTimeout
	if w.hasList {
		wait := watchDuration
		if limit = wait + watchGrace; w.lastCallFailed {
			wait, limit = time.Millisecond, catchUpTimeout
		}
		url += fmt.Sprintf("?since=%d&timeout_ms=%d", w.since, wait.Milliseconds())
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(w.extendTimeout(limit), func() { cancel(context.DeadlineExceeded) })
	defer timer.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return listing, err
	}
	resp, err := w.client.Do(req)
	if context.Cause(ctx) == context.DeadlineExceeded {
		w.timeouts++
	} else {
		w.timeouts = 0
	}
	if err != nil {
		return listing, err
	}
	defer resp.Body.Close()
	timer.Reset(bodyTimeout)
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxListingBytes))
	if err != nil {
		return listing, err
	}
	if resp.StatusCode == http.StatusServiceUnavailable {
		return listing, errRejected // the version stays valid
	}
	if resp.StatusCode != http.StatusOK {
		w.hasList = false // discovery may not know the version: start from the full list
		return listing, fmt.Errorf("status %s", resp.Status)
	}
	if listing, err = readListing(body, !w.hasList); err != nil {
		w.hasList = false
		return listing, fmt.Errorf("list: %w", err)
	}
	return listing, nil
}

// extendTimeout doubles the timeout of a request for each of the last ones that timed out, but the first:
// that one may have waited for a change. A service that is slow, and not gone, answers in time then.
func (w *discoveryWatcher) extendTimeout(timeout time.Duration) time.Duration {
	for range w.timeouts - 1 {
		timeout = min(2*timeout, maxTimeout)
	}
	return timeout
}

// readListing decodes an answer of discovery. With full set, the answer must be the full list.
// Danger: other JSON text must not decode as an empty list, which would remove all backends.
func readListing(body []byte, full bool) (listing Listing, err error) {
	var generation struct{ Generation *int64 }
	if err := json.Unmarshal(body, &generation); err != nil {
		return listing, err
	}
	if err := json.Unmarshal(body, &listing); err != nil {
		return listing, err
	}
	listing.Reset = listing.Reset || full // discovery answers a request without a version with the full list
	if generation.Generation == nil || listing.Reset && listing.Instances == nil {
		return listing, errors.New("no generation or no instances")
	}
	return listing, nil
}
