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

const (
	watchDuration    = 2 * time.Second         // how long a watch may stand open
	watchGrace       = 500 * time.Millisecond  // and how long after that its answer may take to begin
	listTimeout      = 2 * time.Second         // for the answer to a call for the whole list to begin, in a line perhaps
	catchUpTimeout   = 1 * time.Second         // for that to a call for what was missed while one failed
	bodyTimeout      = 1500 * time.Millisecond // for an answer that has begun
	watchRetryDelay  = 100 * time.Millisecond  // pause after a failed call: a watch lapses after 200 ms
	maxListingBytes  = 4 << 20                 // bytes of one answer
	errorLogInterval = 10 * time.Second        // between lines about a discovery that stays down
)

// listMemoryDivisor is the part of a gateway's memory, one in so many, that the text of an
// answer of a list service may have: what is read from it takes a multiple of that.
const listMemoryDivisor = 16

// maxAnswerBytes returns the bytes that an answer of a list service may have.
func maxAnswerBytes(memoryMB int) int64 {
	return max(int64(memoryMB)<<20/listMemoryDivisor, maxListingBytes)
}

// Listing is discovery's list of backends, or the changes to it, and Instance one
// of them.
type (
	Listing  = registry.Listing
	Instance = registry.Instance
)

var backendStates = map[registry.Lifecycle]rules.BackendState{registry.Ready: rules.Ready,
	registry.Terminating: rules.Draining, registry.Gone: rules.Gone}

// backendID derives the module's id from the name alone, so that all gateways
// agree on it whatever order they hear of backends in.
func backendID(instance string) rules.BackendID {
	h := fnv.New32a()
	io.WriteString(h, instance)
	return rules.BackendID(h.Sum32())
}

// backendOf translates an entry. The module's clock is Unix time (see clock), so
// a start needs its unit changed only.
func backendOf(i Instance, d *wire.Deployment) (rules.Backend, error) {
	state, known := backendStates[i.Lifecycle]
	zone := slices.Index(d.Zones, i.Zone)
	switch {
	case i.ID == "" || !known:
		return rules.Backend{}, fmt.Errorf("instance %q: lifecycle %q is not known", i.ID, i.Lifecycle)
	case zone < 0 && state != rules.Gone:
		// Danger: two unknown zones must not pass for one that drops repeats.
		return rules.Backend{}, fmt.Errorf("instance %q: zone %q is not known", i.ID, i.Zone)
	case math.IsNaN(i.Weight) || i.StartedAtMs < 0:
		return rules.Backend{}, fmt.Errorf("instance %q: impossible weight or start", i.ID)
	}
	return rules.Backend{ID: backendID(i.ID), Zone: zone, Kind: slices.Index(d.Kinds, i.MachineType), Cell: i.Cell,
		State: state, Weight: i.Weight, StartedAt: float64(i.StartedAtMs) / 1000}, nil
}

// listFollower keeps the loop's list up to date, by discovery or by list services.
type listFollower struct {
	watcher          *discoveryWatcher
	registryClient   *registry.Client // nil where discovery is asked
	discoveryAddress string           // of discovery
	registries       []string
	scopes           []registry.Scope // of the configuration
	scopeChange      scopeChange
	discoveryMoves   chan string
	registryMoves    chan []string
}

func newListFollower(c *Config, l *Loop) *listFollower {
	f := &listFollower{discoveryAddress: c.Discovery, registries: c.Registries, scopes: c.Scopes.scopes, discoveryMoves: make(chan string), registryMoves: make(chan []string)}
	tell := func(told Listing, history string) {
		kind := rules.Delta
		if told.Reset {
			kind = rules.FullList
		}
		l.post(listUpdate{told, kind, history})
	}
	if len(c.Registries) > 0 {
		var unknown unknownScopes
		f.registryClient = registry.NewClient(c.Registries, rand.New(rand.NewPCG(c.Seed, 1)), func(told registry.Told) {
			if c.observe != nil {
				c.observe(told)
			}
			unknown.logChange(told.Unknown)
			if scopes, changed := f.scopeChange.handleAnswer(told.Scopes, told.Unknown); changed {
				f.registryClient.SetScopes(scopes)
			}
			tell(told.News, told.History)
		})
		f.registryClient.SetAnswerLimit(maxAnswerBytes(c.MemoryMB))
		if len(f.scopes) > 0 {
			f.scopeChange.active = f.scopes
			f.registryClient.SetScopes(f.scopes)
		}
	} else {
		f.watcher = newDiscoveryWatcher(c.Discovery, func(told Listing) { tell(told, "") }, l.awaitListRetry)
	}
	return f
}

func (f *listFollower) run(ctx context.Context) {
	if f.registryClient != nil {
		f.registryClient.Run(ctx, f.registryMoves)
		return
	}
	f.watcher.run(ctx, f.discoveryMoves)
}

// reconfigure follows at the addresses of another configuration, and reads its scopes. Whether
// it asks discovery or list services stays as it was at the start.
func (f *listFollower) reconfigure(ctx context.Context, next *Config) {
	if f.registryClient != nil && !slices.Equal(f.scopes, next.Scopes.scopes) {
		f.scopes = next.Scopes.scopes
		f.registryClient.SetScopes(f.scopeChange.begin(f.scopes))
	}
	switch {
	case f.registryClient != nil && len(next.Registries) > 0 && !slices.Equal(f.registries, next.Registries):
		f.registries = next.Registries
		select {
		case f.registryMoves <- next.Registries:
		case <-ctx.Done():
		}
	case f.registryClient == nil && next.Discovery != f.discoveryAddress:
		f.discoveryAddress = next.Discovery
		select {
		case f.discoveryMoves <- next.Discovery:
		case <-ctx.Done():
		}
	}
}

// discoveryWatcher follows discovery and hands on each answer.
type discoveryWatcher struct {
	address        string
	client         *http.Client
	since          int64
	hasList        bool // a whole list has come
	lastCallFailed bool // the last call failed
	onListing      func(Listing)

	// onRejected tells that a call was turned away, and returns when to ask again.
	onRejected func(context.Context)
}

func newDiscoveryWatcher(address string, heard func(Listing), refused func(context.Context)) *discoveryWatcher {
	return &discoveryWatcher{address: address, onListing: heard, onRejected: refused,
		client: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxConnsPerHost: 2}}}
}

// run follows discovery until ctx ends, at each new address from the whole list
// on: the versions of another agent need not be those of the last.
func (w *discoveryWatcher) run(ctx context.Context, moves <-chan string) {
	for {
		inner, leave := context.WithCancel(ctx)
		var wg sync.WaitGroup
		wg.Go(func() { w.follow(inner) })
		address := ""
		select {
		case <-ctx.Done():
		case address = <-moves:
		}
		leave()
		wg.Wait()
		if ctx.Err() != nil {
			return
		}
		w.address, w.hasList = address, false
	}
}

// follow asks until ctx ends: once for the list, from then on for changes. A
// failed call is made again soon, on a new connection, from the last version
// that arrived; what changed meanwhile comes with its answer, for which that call
// does not wait. One that was turned away waits: each call made at once would be
// one more in a line that is too long already. What discovery has reaches the
// gateway within 6 s of all of that; the sums are in docs/design.md.
func (w *discoveryWatcher) follow(ctx context.Context) {
	defer w.client.CloseIdleConnections()
	var complained time.Time
	for ctx.Err() == nil {
		l, err := w.requestListing(ctx)
		w.lastCallFailed = err != nil
		if err == nil {
			w.since, w.hasList = l.Generation, true
			w.onListing(l)
			continue
		}
		if ctx.Err() == nil && time.Since(complained) > errorLogInterval {
			complained = time.Now()
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

func (w *discoveryWatcher) requestListing(ctx context.Context) (l Listing, err error) {
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
	patience := time.AfterFunc(limit, func() { cancel(context.DeadlineExceeded) })
	defer patience.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return l, err
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return l, err
	}
	defer resp.Body.Close()
	patience.Reset(bodyTimeout)
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxListingBytes))
	if err != nil {
		return l, err
	}
	if resp.StatusCode == http.StatusServiceUnavailable {
		return l, errRejected // which says nothing against the version
	}
	if resp.StatusCode != http.StatusOK {
		w.hasList = false // the version may be the trouble: start from the whole list
		return l, fmt.Errorf("status %s", resp.Status)
	}
	if l, err = readListing(body, !w.hasList); err != nil {
		w.hasList = false
		return l, fmt.Errorf("list: %w", err)
	}
	return l, nil
}

// readListing reads an answer; whole says that it has to be a list, not changes.
// Danger: what is JSON and no list would empty the gateway's.
func readListing(body []byte, whole bool) (l Listing, err error) {
	var generation struct{ Generation *int64 }
	if err := json.Unmarshal(body, &generation); err != nil {
		return l, err
	}
	if err := json.Unmarshal(body, &l); err != nil {
		return l, err
	}
	l.Reset = l.Reset || whole // a call without a version is answered with all there are
	if generation.Generation == nil || l.Reset && l.Instances == nil {
		return l, errors.New("no generation or no instances")
	}
	return l, nil
}
