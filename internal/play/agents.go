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

// agent stands between one gateway and what tells it lists: the world itself, or
// a list service, whose answers it passes on with the addresses that this gateway
// has. So the referee knows what each gateway was told, and lists can be late.
type agent struct {
	e       *engine
	gateway int
	service string // address of the list service; empty: the world tells
	server  *http.Server

	mu      sync.Mutex
	changed chan struct{} // closed at each change
	held    bool
	stale   []byte // the whole list from before, with its head
	header  http.Header
	isStale bool
	last    registry.Listing // the world's list, or the last whole one
	lists   int64
}

const (
	mostList   = 8 << 20 // bytes of a list
	mostAsking = 16      // calls of one gateway at once
)

func newAgent(e *engine, gateway int, address, service string) (*agent, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	a := &agent{e: e, gateway: gateway, service: service, changed: make(chan struct{})}
	a.server = &http.Server{Handler: http.HandlerFunc(a.serve), ReadHeaderTimeout: time.Second, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	e.wg.Go(func() { a.server.Serve(l) })
	return a, nil
}

// set carries out what the world says of this gateway's lists.
func (a *agent) set(change func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	change()
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *agent) serve(w http.ResponseWriter, r *http.Request) {
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
		held, changed, stale := a.held, a.changed, a.isStale && since == ""
		text, header = a.stale, a.header
		a.mu.Unlock()
		if !held {
			var err error
			switch {
			case stale && text != nil:
				err = json.Unmarshal(text, &l)
			case a.service != "":
				text, l, header, status, err = a.forward(r)
			default:
				text, l, err = a.own(r)
			}
			if err != nil {
				http.Error(w, err.Error(), http.StatusBadGateway)
				return
			}
			a.mu.Lock()
			held = a.held // it may have been meanwhile
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
	a.e.post(world.ListDelivered{Gateway: a.gateway, Version: l.Generation, Full: l.Reset, Entries: a.e.entries(l)})
}

// forward asks the list service.
func (a *agent) forward(r *http.Request) ([]byte, registry.Listing, http.Header, int, error) {
	var l registry.Listing
	req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+a.service+r.URL.RequestURI(), nil)
	if err != nil {
		return nil, l, nil, 0, err
	}
	resp, err := a.e.http.Do(req)
	if err != nil {
		return nil, l, nil, 0, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, mostList))
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
		if n, ok := backendOf(l.Instances[i].ID); ok {
			l.Instances[i].HostPort = a.e.place.backend(a.gateway, n)
		}
	}
	if text, err = json.Marshal(l); err != nil {
		return nil, l, nil, 0, err
	}
	if l.Reset {
		a.mu.Lock()
		if !a.isStale {
			a.last, a.stale, a.header = l, text, header
		}
		a.mu.Unlock()
	}
	return text, l, header, resp.StatusCode, nil
}

// own answers with what the world has told, at once or when there is news.
func (a *agent) own(r *http.Request) ([]byte, registry.Listing, error) {
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
		l, changed := a.last, a.changed
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

// tell gives the agent the world's list.
func (a *agent) tell(entries []world.Entry) {
	a.set(func() {
		a.lists++
		a.last = registry.Listing{Generation: a.lists, Reset: true, Instances: []registry.Instance{}}
		for _, entry := range entries {
			a.last.Instances = append(a.last.Instances, a.e.instance(entry, a.gateway))
		}
	})
}

// known is the whole list that the gateway was told last.
func (a *agent) known() registry.Listing {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.last
}

// change carries out Lists.
func (a *agent) change(l world.SetListDelivery) {
	a.set(func() {
		a.held = l.Paused
		if a.isStale = l.Stale; l.Stale && a.service == "" {
			a.stale, _ = json.Marshal(a.last) // of plain fields
		}
	})
}

func backendName(n int) string { return fmt.Sprintf("b-%d", n) }

func backendOf(id string) (int, bool) {
	var n int
	if _, err := fmt.Sscanf(id, "b-%d", &n); err != nil || n < 0 {
		return 0, false
	}
	return n, true
}

var lifecycles = map[world.Lifecycle]registry.Lifecycle{world.Serving: registry.Ready, world.Draining: registry.Terminating, world.Gone: registry.Gone}

// instance is how lists write an entry for a gateway.
func (e *engine) instance(entry world.Entry, gateway int) registry.Instance {
	i := registry.Instance{ID: backendName(entry.Backend), HostPort: e.place.backend(gateway, entry.Backend), Zone: e.s.Fleet.Zones[entry.Zone], MachineType: "std",
		Cell: entry.Cell, Lifecycle: lifecycles[entry.Lifecycle], Weight: 1}
	if entry.Started >= 0 {
		i.StartedAtMs = e.epoch.Add(entry.Started).UnixMilli()
	}
	return i
}

// entries are a list's instances as the world knows them.
func (e *engine) entries(l registry.Listing) []world.Entry {
	var all []world.Entry
	for _, i := range l.Instances {
		n, ok := backendOf(i.ID)
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

// registrar speaks to the list services for all backends: it registers, renews,
// drains and leaves, as each backend would by itself. What is not answered as done
// is said again until it is.
type registrar struct {
	e     *engine
	to    int // the list service that is asked first
	calls chan world.Register
	have  map[int]*standing
}

// standing is a backend's last word.
type standing struct {
	world.Register
	done bool // it was answered as done
}

const (
	registrarCalls = 4096                   // changes that may wait to be told
	sayAgain       = 100 * time.Millisecond // what was not answered as done
)

func newRegistrar(e *engine) *registrar {
	return &registrar{e: e, calls: make(chan world.Register, registrarCalls), have: map[int]*standing{}}
}

func (r *registrar) run(ctx context.Context) {
	renew := time.NewTicker(scenario.LeaseMs * time.Millisecond / 3)
	defer renew.Stop()
	again := time.NewTicker(sayAgain)
	defer again.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case change := <-r.calls:
			b := &standing{Register: change}
			r.have[change.Backend] = b
			r.tell(ctx, b)
		case <-again.C:
			for _, b := range r.have {
				if !b.done && !r.tell(ctx, b) {
					break // nobody is there
				}
			}
		case <-renew.C:
			for _, b := range r.have {
				if !b.done {
					continue
				}
				i := r.e.instance(b.Entry, 0)
				status, _ := r.call(ctx, http.MethodPost, i.ID+"/renew", map[string]any{"startedAtMs": i.StartedAtMs})
				if status == http.StatusNotFound {
					r.tell(ctx, b)
				}
				if status == 0 {
					break // nobody is there
				}
			}
		}
	}
}

// tell says a backend's word, and returns whether anybody was there.
func (r *registrar) tell(ctx context.Context, b *standing) bool {
	i := r.e.instance(b.Entry, 0)
	if b.Lost {
		delete(r.have, b.Backend) // it says nothing more, and its lease runs out
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
	if b.done = status == http.StatusOK; b.done {
		r.e.post(world.Registered{Entry: b.Entry, Version: version})
		if b.Lifecycle == world.Gone {
			delete(r.have, b.Backend)
		}
	}
	return status != 0
}

// call makes a call to the writer, by any service where they form a group, and returns
// the status, 0 where there was none, and the version that the answer names.
func (r *registrar) call(ctx context.Context, method, path string, body any) (status int, version int64) {
	if !r.e.s.Fleet.Group {
		return r.callOne(ctx, method, path, body)
	}
	for range r.e.s.Fleet.ListServices {
		status, version = r.callOne(ctx, method, path, body)
		if status != 0 && status != http.StatusServiceUnavailable {
			return status, version
		}
		r.to = (r.to + 1) % r.e.s.Fleet.ListServices
	}
	return 0, 0
}

func (r *registrar) callOne(ctx context.Context, method, path string, body any) (status int, version int64) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	var text bytes.Buffer
	if body != nil {
		if err := json.NewEncoder(&text).Encode(body); err != nil {
			return 0, 0
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+r.e.service(world.Endpoint{Kind: scenario.Backends}, r.to)+registry.Path+"/"+path, &text)
	if err != nil {
		return 0, 0
	}
	resp, err := r.e.http.Do(req)
	if err != nil {
		return 0, 0
	}
	defer resp.Body.Close()
	var answer struct {
		Version int64 `json:"version"`
	}
	if resp.StatusCode == http.StatusOK && json.NewDecoder(io.LimitReader(resp.Body, mostList)).Decode(&answer) != nil {
		return 0, 0 // it was cut, and may not have been done
	}
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, answer.Version
}
