package play

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"dunlintray/internal/registry"
	"dunlintray/internal/scenario"
	"dunlintray/internal/world"
)

// discoveryProxy serves the list of backends to one gateway: the emulator's list, or that of a
// service registry, in which it replaces the backends' addresses by those of this gateway's
// endpoints. It reports each list that the gateway receives, and can delay lists.
type discoveryProxy struct {
	engine  *engine
	gateway int
	service string // address of the service registry; empty: the emulator provides the list
	server  *http.Server

	mu          sync.Mutex
	changed     chan struct{} // closed at each change
	withheld    bool          // responses wait until it is false
	staleList   []byte        // an earlier full list, with its headers
	staleHeader http.Header
	serveStale  bool
	list        registry.Listing // the emulator's list, or the last full one of the registry
	generation  int64
}

const (
	maxListBytes       = 8 << 20
	maxConcurrentCalls = 16
)

func newDiscoveryProxy(e *engine, gateway int, address, service string) (*discoveryProxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	a := &discoveryProxy{engine: e, gateway: gateway, service: service, changed: make(chan struct{})}
	a.server = &http.Server{Handler: http.HandlerFunc(a.serve), ReadHeaderTimeout: time.Second, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	e.wg.Go(func() { a.server.Serve(l) })
	return a, nil
}

// update changes the proxy's state and wakes the requests that wait for a change.
func (a *discoveryProxy) update(change func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	change()
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *discoveryProxy) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != registry.Path || r.Method != http.MethodGet {
		http.NotFound(w, r)
		return
	}
	since := r.URL.Query().Get("since")
	var text []byte
	var l registry.Listing
	var header http.Header
	status := http.StatusOK
	for {
		a.mu.Lock()
		held, changed, stale := a.withheld, a.changed, a.serveStale && since == ""
		text, header = a.staleList, a.staleHeader
		a.mu.Unlock()
		if !held {
			var err error
			switch {
			case stale && text != nil:
				err = json.Unmarshal(text, &l)
			case a.service != "":
				text, l, header, status, err = a.forward(r)
			default:
				text, l, err = a.localList(r)
			}
			if err != nil {
				http.Error(w, err.Error(), http.StatusBadGateway)
				return
			}
			a.mu.Lock()
			held = a.withheld // it may have changed during the call
			a.mu.Unlock()
		}
		if !held {
			break
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
	for key, values := range header {
		w.Header()[key] = values
	}
	w.WriteHeader(status)
	if _, err := w.Write(text); err != nil || status != http.StatusOK {
		return
	}
	http.NewResponseController(w).Flush()
	a.engine.post(world.ListDelivered{Gateway: a.gateway, Version: l.Generation, Full: l.Reset, Entries: a.engine.entries(l)})
}

// forward passes a request on to the service registry. It returns the body to send, the list in
// it if the status is 200, the headers to copy and the status.
func (a *discoveryProxy) forward(r *http.Request) ([]byte, registry.Listing, http.Header, int, error) {
	var l registry.Listing
	req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+a.service+r.URL.RequestURI(), nil)
	if err != nil {
		return nil, l, nil, 0, err
	}
	resp, err := a.engine.http.Do(req)
	if err != nil {
		return nil, l, nil, 0, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err != nil {
		return nil, l, nil, 0, err
	}
	header := http.Header{}
	for _, key := range []string{registry.HistoryHeader, registry.AgeHeader, "Retry-After"} {
		if values := resp.Header.Values(key); len(values) > 0 {
			header[http.CanonicalHeaderKey(key)] = values
		}
	}
	if resp.StatusCode != http.StatusOK {
		return text, l, header, resp.StatusCode, nil
	}
	if err := json.Unmarshal(text, &l); err != nil {
		return nil, l, nil, 0, err
	}
	for i := range l.Instances {
		if n, ok := parseBackendName(l.Instances[i].ID); ok {
			l.Instances[i].HostPort = a.engine.addresses.backend(a.gateway, n)
		}
	}
	if text, err = json.Marshal(l); err != nil {
		return nil, l, nil, 0, err
	}
	if l.Reset {
		a.mu.Lock()
		if !a.serveStale {
			a.list, a.staleList, a.staleHeader = l, text, header
		}
		a.mu.Unlock()
	}
	return text, l, header, resp.StatusCode, nil
}

// localList returns the emulator's list, at once or when it changes from the generation that the
// gateway has. After the request's timeout it returns an empty update.
func (a *discoveryProxy) localList(r *http.Request) ([]byte, registry.Listing, error) {
	query := r.URL.Query()
	wait, _ := strconv.Atoi(query.Get("timeout_ms"))
	since, err := strconv.ParseInt(query.Get("since"), 10, 64)
	if err != nil {
		since = -1
	}
	end := time.NewTimer(time.Duration(min(max(wait, 0), 60_000)) * time.Millisecond)
	defer end.Stop()
	for {
		a.mu.Lock()
		l, changed := a.list, a.changed
		a.mu.Unlock()
		if l.Generation != since {
			text, err := json.Marshal(l)
			return text, l, err
		}
		select {
		case <-changed:
		case <-end.C:
			l.Reset, l.Instances = false, []registry.Instance{}
			text, err := json.Marshal(l)
			return text, l, err
		case <-r.Context().Done():
			return nil, l, r.Context().Err()
		}
	}
}

// setList sets the emulator's list.
func (a *discoveryProxy) setList(entries []world.Entry) {
	a.update(func() {
		a.generation++
		a.list = registry.Listing{Generation: a.generation, Reset: true, Instances: []registry.Instance{}}
		for _, entry := range entries {
			a.list.Instances = append(a.list.Instances, a.engine.instance(entry, a.gateway))
		}
	})
}

// lastList returns the full list that the gateway received last.
func (a *discoveryProxy) lastList() registry.Listing {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.list
}

// setMode sets whether responses are held back, and whether full lists are stale.
func (a *discoveryProxy) setMode(l world.SetListDelivery) {
	a.update(func() {
		a.withheld = l.Paused
		if a.serveStale = l.Stale; l.Stale && a.service == "" {
			a.staleList, _ = json.Marshal(a.list) // encoding its plain fields can't fail
		}
	})
}

func backendName(n int) string { return fmt.Sprintf("b-%d", n) }

func parseBackendName(id string) (int, bool) {
	var n int
	if _, err := fmt.Sscanf(id, "b-%d", &n); err != nil || n < 0 {
		return 0, false
	}
	return n, true
}

var lifecycles = map[world.Lifecycle]registry.Lifecycle{world.Serving: registry.Ready, world.Draining: registry.Terminating, world.Gone: registry.Gone}

// instance returns the form that an entry has in the lists for a gateway.
func (e *engine) instance(entry world.Entry, gateway int) registry.Instance {
	i := registry.Instance{ID: backendName(entry.Backend), HostPort: e.addresses.backend(gateway, entry.Backend), Zone: e.scenario.Fleet.Zones[entry.Zone], MachineType: "std",
		Cell: entry.Cell, Lifecycle: lifecycles[entry.Lifecycle], Weight: 1}
	if entry.Started >= 0 {
		i.StartedAtMs = e.epoch.Add(entry.Started).UnixMilli()
	}
	return i
}

// entries returns the instances of a list in the emulator's form.
func (e *engine) entries(l registry.Listing) []world.Entry {
	var all []world.Entry
	for _, i := range l.Instances {
		n, ok := parseBackendName(i.ID)
		if !ok {
			continue
		}
		entry := world.Entry{Backend: n, Cell: i.Cell, Started: -1}
		for lifecycle, name := range lifecycles {
			if name == i.Lifecycle {
				entry.Lifecycle = lifecycle
			}
		}
		if i.StartedAtMs > 0 {
			entry.Started = time.UnixMilli(i.StartedAtMs).Sub(e.epoch.Round(0))
		}
		all = append(all, entry)
	}
	return all
}

// registrar registers, renews, drains and deregisters all backends at the service registries, as
// each backend would itself. It retries until the registry confirms a change.
type registrar struct {
	engine        *engine
	registry      int // the registry that it calls first
	changes       chan world.Register
	registrations map[int]*registration
}

// registration is a backend's last change.
type registration struct {
	world.Register
	confirmed bool // by the registry
}

const (
	maxQueuedChanges          = 4096
	registrationRetryInterval = 100 * time.Millisecond
)

func newRegistrar(e *engine) *registrar {
	return &registrar{engine: e, changes: make(chan world.Register, maxQueuedChanges), registrations: map[int]*registration{}}
}

func (r *registrar) run(ctx context.Context) {
	renew := time.NewTicker(scenario.LeaseMs * time.Millisecond / 3)
	defer renew.Stop()
	again := time.NewTicker(registrationRetryInterval)
	defer again.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case change := <-r.changes:
			b := &registration{Register: change}
			r.registrations[change.Backend] = b
			r.register(ctx, b)
		case <-again.C:
			for _, b := range r.registrations {
				if !b.confirmed && !r.register(ctx, b) {
					break // no registry answers
				}
			}
		case <-renew.C:
			for _, b := range r.registrations {
				if !b.confirmed {
					continue
				}
				i := r.engine.instance(b.Entry, 0)
				status, _ := r.call(ctx, http.MethodPost, i.ID+"/renew", map[string]any{"startedAtMs": i.StartedAtMs})
				if status == http.StatusNotFound {
					r.register(ctx, b)
				}
				if status == 0 {
					break // no registry answers
				}
			}
		}
	}
}

// register sends a backend's last change, and reports whether the registry answered.
func (r *registrar) register(ctx context.Context, b *registration) bool {
	i := r.engine.instance(b.Entry, 0)
	if b.Lost {
		delete(r.registrations, b.Backend) // it renews no more, and its lease expires
		return true
	}
	var status int
	var version int64
	if b.Lifecycle == world.Gone {
		status, version = r.call(ctx, http.MethodDelete, i.ID+"?startedAtMs="+strconv.FormatInt(i.StartedAtMs, 10), nil)
	} else {
		status, version = r.call(ctx, http.MethodPut, i.ID, map[string]any{"hostPort": i.HostPort, "zone": i.Zone, "machineType": i.MachineType, "cell": i.Cell,
			"lifecycle": i.Lifecycle, "weight": i.Weight, "startedAtMs": i.StartedAtMs})
	}
	if b.confirmed = status == http.StatusOK; b.confirmed {
		r.engine.post(world.Registered{Entry: b.Entry, Version: version})
		if b.Lifecycle == world.Gone {
			delete(r.registrations, b.Backend)
		}
	}
	return status != 0
}

// call calls the writer; if the registries form a group, any of them forwards the call. It returns
// the response's status, 0 if there was none, and the version of the list in it.
func (r *registrar) call(ctx context.Context, method, path string, body any) (status int, version int64) {
	if !r.engine.scenario.Fleet.Group {
		return r.callRegistry(ctx, method, path, body)
	}
	for range r.engine.scenario.Fleet.ListServices {
		status, version = r.callRegistry(ctx, method, path, body)
		if status != 0 && status != http.StatusServiceUnavailable {
			return status, version
		}
		r.registry = (r.registry + 1) % r.engine.scenario.Fleet.ListServices
	}
	return 0, 0
}

// callRegistry makes one call to the current registry; see call.
func (r *registrar) callRegistry(ctx context.Context, method, path string, body any) (status int, version int64) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	var text bytes.Buffer
	if body != nil {
		if err := json.NewEncoder(&text).Encode(body); err != nil {
			return 0, 0
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+r.engine.registryAddress(world.Endpoint{Kind: scenario.Backends}, r.registry)+registry.Path+"/"+path, &text)
	if err != nil {
		return 0, 0
	}
	resp, err := r.engine.http.Do(req)
	if err != nil {
		return 0, 0
	}
	defer resp.Body.Close()
	var answer struct {
		Version int64 `json:"version"`
	}
	if resp.StatusCode == http.StatusOK && json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&answer) != nil {
		return 0, 0 // the response was truncated, and the change may not have taken effect
	}
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, answer.Version
}
