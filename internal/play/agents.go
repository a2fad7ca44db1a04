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
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &discoveryProxy{engine: e, gateway: gateway, service: service, changed: make(chan struct{})}
	p.server = &http.Server{Handler: http.HandlerFunc(p.serve), ReadHeaderTimeout: time.Second, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	e.wg.Go(func() { p.server.Serve(listener) })
	return p, nil
}

// update changes the proxy's state and wakes the requests that wait for a change.
func (p *discoveryProxy) update(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *discoveryProxy) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != registry.Path || r.Method != http.MethodGet {
		http.NotFound(w, r)
		return
	}
	since := r.URL.Query().Get("since")
	var body []byte
	var list registry.Listing
	var header http.Header
	status := http.StatusOK
	for {
		p.mu.Lock()
		withheld, changed, serveStale := p.withheld, p.changed, p.serveStale && since == ""
		body, header = p.staleList, p.staleHeader
		p.mu.Unlock()
		if !withheld {
			var err error
			switch {
			case serveStale && body != nil:
				err = json.Unmarshal(body, &list)
			case p.service != "":
				body, list, header, status, err = p.forward(r)
			default:
				body, list, err = p.localList(r)
			}
			if err != nil {
				http.Error(w, err.Error(), http.StatusBadGateway)
				return
			}
			p.mu.Lock()
			withheld = p.withheld // it may have changed during the call
			p.mu.Unlock()
		}
		if !withheld {
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
	if _, err := w.Write(body); err != nil || status != http.StatusOK {
		return
	}
	http.NewResponseController(w).Flush()
	p.engine.post(world.ListDelivered{Gateway: p.gateway, Version: list.Generation, Full: list.Reset, Entries: p.engine.entries(list)})
}

// forward passes a request on to the service registry. It returns the body to send, the list in
// it if the status is 200, the headers to copy and the status.
func (p *discoveryProxy) forward(r *http.Request) ([]byte, registry.Listing, http.Header, int, error) {
	var list registry.Listing
	req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+p.service+r.URL.RequestURI(), nil)
	if err != nil {
		return nil, list, nil, 0, err
	}
	resp, err := p.engine.http.Do(req)
	if err != nil {
		return nil, list, nil, 0, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err != nil {
		return nil, list, nil, 0, err
	}
	header := http.Header{}
	for _, key := range []string{registry.HistoryHeader, registry.AgeHeader, "Retry-After"} {
		if values := resp.Header.Values(key); len(values) > 0 {
			header[http.CanonicalHeaderKey(key)] = values
		}
	}
	if resp.StatusCode != http.StatusOK {
		return body, list, header, resp.StatusCode, nil
	}
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, list, nil, 0, err
	}
	for i := range list.Instances {
		if backend, ok := parseBackendName(list.Instances[i].ID); ok {
			list.Instances[i].HostPort = p.engine.addresses.backend(p.gateway, backend)
		}
	}
	if body, err = json.Marshal(list); err != nil {
		return nil, list, nil, 0, err
	}
	if list.Reset {
		p.mu.Lock()
		if !p.serveStale {
			p.list, p.staleList, p.staleHeader = list, body, header
		}
		p.mu.Unlock()
	}
	return body, list, header, resp.StatusCode, nil
}

// localList returns the emulator's list, at once or when it changes from the generation that the
// gateway has. After the request's timeout it returns an empty update.
func (p *discoveryProxy) localList(r *http.Request) ([]byte, registry.Listing, error) {
	query := r.URL.Query()
	wait, _ := strconv.Atoi(query.Get("timeout_ms"))
	since, err := strconv.ParseInt(query.Get("since"), 10, 64)
	if err != nil {
		since = -1
	}
	timeout := time.NewTimer(time.Duration(min(max(wait, 0), 60_000)) * time.Millisecond)
	defer timeout.Stop()
	for {
		p.mu.Lock()
		list, changed := p.list, p.changed
		p.mu.Unlock()
		if list.Generation != since {
			body, err := json.Marshal(list)
			return body, list, err
		}
		select {
		case <-changed:
		case <-timeout.C:
			list.Reset, list.Instances = false, []registry.Instance{}
			body, err := json.Marshal(list)
			return body, list, err
		case <-r.Context().Done():
			return nil, list, r.Context().Err()
		}
	}
}

// setList sets the emulator's list.
func (p *discoveryProxy) setList(entries []world.Entry) {
	p.update(func() {
		p.generation++
		p.list = registry.Listing{Generation: p.generation, Reset: true, Instances: []registry.Instance{}}
		for _, entry := range entries {
			p.list.Instances = append(p.list.Instances, p.engine.instance(entry, p.gateway))
		}
	})
}

// lastList returns the full list that the gateway received last.
func (p *discoveryProxy) lastList() registry.Listing {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.list
}

// setMode sets whether responses are held back, and whether full lists are stale.
func (p *discoveryProxy) setMode(delivery world.SetListDelivery) {
	p.update(func() {
		p.withheld = delivery.Paused
		if p.serveStale = delivery.Stale; delivery.Stale && p.service == "" {
			p.staleList, _ = json.Marshal(p.list) // encoding its plain fields can't fail
		}
	})
}

// backendName returns the ID of a backend in lists.
func backendName(n int) string { return fmt.Sprintf("b-%d", n) }

// parseBackendName returns the number of the backend with an ID, and reports whether it is valid.
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
	instance := registry.Instance{ID: backendName(entry.Backend), HostPort: e.addresses.backend(gateway, entry.Backend), Zone: e.scenario.Fleet.Zones[entry.Zone], MachineType: "std",
		Cell: entry.Cell, Lifecycle: lifecycles[entry.Lifecycle], Weight: 1}
	if entry.Started >= 0 {
		instance.StartedAtMs = e.epoch.Add(entry.Started).UnixMilli()
	}
	return instance
}

// entries returns the instances of a list in the emulator's form.
func (e *engine) entries(list registry.Listing) []world.Entry {
	var entries []world.Entry
	for _, instance := range list.Instances {
		backend, ok := parseBackendName(instance.ID)
		if !ok {
			continue
		}
		entry := world.Entry{Backend: backend, Cell: instance.Cell, Started: -1}
		for lifecycle, name := range lifecycles {
			if name == instance.Lifecycle {
				entry.Lifecycle = lifecycle
			}
		}
		if instance.StartedAtMs > 0 {
			entry.Started = time.UnixMilli(instance.StartedAtMs).Sub(e.epoch.Round(0))
		}
		entries = append(entries, entry)
	}
	return entries
}

// registrar registers, renews, drains and deregisters all backends at the service registries, as
// each backend would itself. It retries until the registry confirms a change.
type registrar struct {
	engine        *engine
	registry      int // number of the registry that it calls first
	changes       chan world.Register
	registrations map[int]*registration
}

// registration is a backend's last change.
type registration struct {
	world.Register
	confirmed bool // the registry has answered with status 200
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
	retry := time.NewTicker(registrationRetryInterval)
	defer retry.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case change := <-r.changes:
			registered := &registration{Register: change}
			r.registrations[change.Backend] = registered
			r.register(ctx, registered)
		case <-retry.C:
			for _, registered := range r.registrations {
				if !registered.confirmed && !r.register(ctx, registered) {
					break // no registry answers
				}
			}
		case <-renew.C:
			for _, registered := range r.registrations {
				if !registered.confirmed {
					continue
				}
				instance := r.engine.instance(registered.Entry, 0)
				status, _ := r.call(ctx, http.MethodPost, instance.ID+"/renew", map[string]any{"startedAtMs": instance.StartedAtMs})
				if status == http.StatusNotFound {
					r.register(ctx, registered)
				}
				if status == 0 {
					break // no registry answers
				}
			}
		}
	}
}

// register sends a backend's last change, and reports whether the registry answered.
func (r *registrar) register(ctx context.Context, registered *registration) bool {
	instance := r.engine.instance(registered.Entry, 0)
	if registered.Lost {
		delete(r.registrations, registered.Backend) // it renews no more, and its lease expires
		return true
	}
	var status int
	var version int64
	if registered.Lifecycle == world.Gone {
		status, version = r.call(ctx, http.MethodDelete, instance.ID+"?startedAtMs="+strconv.FormatInt(instance.StartedAtMs, 10), nil)
	} else {
		status, version = r.call(ctx, http.MethodPut, instance.ID, map[string]any{"hostPort": instance.HostPort, "zone": instance.Zone, "machineType": instance.MachineType, "cell": instance.Cell,
			"lifecycle": instance.Lifecycle, "weight": instance.Weight, "startedAtMs": instance.StartedAtMs})
	}
	if registered.confirmed = status == http.StatusOK; registered.confirmed {
		r.engine.post(world.Registered{Entry: registered.Entry, Version: version})
		if registered.Lifecycle == world.Gone {
			delete(r.registrations, registered.Backend)
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
	var content bytes.Buffer
	if body != nil {
		if err := json.NewEncoder(&content).Encode(body); err != nil {
			return 0, 0
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+r.engine.registryAddress(world.Endpoint{Kind: scenario.Backends}, r.registry)+registry.Path+"/"+path, &content)
	if err != nil {
		return 0, 0
	}
	resp, err := r.engine.http.Do(req)
	if err != nil {
		return 0, 0
	}
	defer resp.Body.Close()
	var reply struct {
		Version int64 `json:"version"`
	}
	if resp.StatusCode == http.StatusOK && json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&reply) != nil {
		return 0, 0 // the response was truncated, and the change may not have taken effect
	}
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, reply.Version
}
