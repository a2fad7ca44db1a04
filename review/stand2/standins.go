package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"
)

// attempt is a request as a server received it.
type attempt struct {
	server string
	id     string
	begun  time.Time // the head has come
	whole  time.Time // the last byte has come
	left   time.Duration
	units  float64
	status int
}

// server is a stand-in of a booking server.
type server struct {
	id, address, zone string
	listener          net.Listener
	http              *http.Server

	// serve answers a request that has come whole. It is set before the server is used.
	serve func(w http.ResponseWriter, r *http.Request, body []byte)

	mu       sync.Mutex
	attempts []attempt
}

// newServer starts a server that answers after the given time.
func newServer(id, zone string, work time.Duration) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{id: id, address: listener.Addr().String(), zone: zone, listener: listener}
	s.serve = func(w http.ResponseWriter, r *http.Request, body []byte) {
		time.Sleep(work)
		fmt.Fprintf(w, "done %s", r.Header.Get("X-Correlation-Id"))
	}
	s.http = &http.Server{Handler: http.HandlerFunc(s.handle), IdleTimeout: 15 * time.Second}
	go s.http.Serve(listener)
	return s, nil
}

// startServers starts servers in turn in the two zones.
func startServers(count int, work time.Duration) (servers []*server, err error) {
	for i := range count {
		s, err := newServer(fmt.Sprintf("s-%d", i), []string{"edificio-a", "edificio-b"}[i%2], work)
		if err != nil {
			return nil, err
		}
		servers = append(servers, s)
	}
	return servers, nil
}

// handle records a request and answers it.
func (s *server) handle(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Correlation-Id")
	if id == "" {
		http.NotFound(w, r)
		return
	}
	begun := time.Now()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	left, _ := strconv.Atoi(r.Header.Get("X-Time-Left-Ms"))
	units := 0.0
	for part := range strings.SplitSeq(r.Header.Get("X-Call-Terms"), ",") {
		if name, value, _ := strings.Cut(part, "="); name == "units" {
			units, _ = strconv.ParseFloat(value, 64)
		}
	}
	s.mu.Lock()
	s.attempts = append(s.attempts, attempt{server: s.id, id: id, begun: begun, whole: time.Now(), left: time.Duration(left) * time.Millisecond, units: units})
	s.mu.Unlock()
	s.serve(w, r, body)
}

// all returns what the server received.
func (s *server) all() []attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]attempt(nil), s.attempts...)
}

// instance is an entry of discovery's list.
type instance struct {
	ID          string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`
}

// listing is an answer of discovery.
type listing struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []instance `json:"instances"`
}

// discovery is a stand-in of discovery.
type discovery struct {
	address string
	lab     *lab

	mu      sync.Mutex
	changed chan struct{} // closed at the next change
	version int64
	list    []instance
	changes []struct {
		version int64
		entry   instance
	}
	late time.Duration // each call is answered this much later
}

// newDiscovery starts a discovery with the servers as its list.
func (l *lab) newDiscovery(servers ...*server) (*discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{address: listener.Addr().String(), lab: l, changed: make(chan struct{}), version: 41}
	for _, s := range servers {
		d.list = append(d.list, instance{ID: s.id, HostPort: s.address, Zone: s.zone, MachineType: "std-3c", Cell: 1, Lifecycle: "Ready", Weight: 1})
	}
	go http.Serve(listener, http.HandlerFunc(d.handle))
	return d, nil
}

// set changes an entry of the list.
func (d *discovery) set(id string, change func(*instance)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.list {
		if d.list[i].ID == id {
			change(&d.list[i])
			d.version++
			d.changes = append(d.changes, struct {
				version int64
				entry   instance
			}{d.version, d.list[i]})
			close(d.changed)
			d.changed = make(chan struct{})
			d.lab.note("discovery has: %+v", d.list[i])
		}
	}
}

// setLate makes discovery answer each call later.
func (d *discovery) setLate(late time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.late = late
	d.lab.note("discovery answers each call %v late", late)
}

// handle answers a call: the list, or a watch.
func (d *discovery) handle(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/registry/instances" {
		http.NotFound(w, r)
		return
	}
	query, _ := url.ParseQuery(r.URL.RawQuery)
	since, err := strconv.ParseInt(query.Get("since"), 10, 64)
	watch := err == nil
	d.mu.Lock()
	late := d.late
	d.mu.Unlock()
	if late > 0 {
		select {
		case <-time.After(late):
		case <-r.Context().Done():
			d.lab.note("discovery: a call was given up after less than %v: %s", late, r.URL.RawQuery)
			return
		}
	}
	if watch {
		timeout, _ := strconv.Atoi(query.Get("timeout_ms"))
		timer := time.NewTimer(time.Duration(min(timeout, 60000)) * time.Millisecond)
		defer timer.Stop()
		for waiting := true; waiting; {
			d.mu.Lock()
			changed := d.changed
			waiting = d.version <= since
			d.mu.Unlock()
			if waiting {
				select {
				case <-changed:
				case <-timer.C:
					waiting = false
				case <-r.Context().Done():
					return
				}
			}
		}
	}
	d.mu.Lock()
	reply := listing{Generation: d.version, Reset: !watch, Instances: []instance{}}
	if watch {
		for _, change := range d.changes {
			if change.version > since {
				reply.Instances = append(reply.Instances, change.entry)
			}
		}
	} else {
		for _, entry := range d.list {
			if entry.Lifecycle != "Gone" {
				reply.Instances = append(reply.Instances, entry)
			}
		}
	}
	d.mu.Unlock()
	text, _ := json.Marshal(reply)
	w.Header().Set("Content-Type", "application/json")
	w.Write(text)
	if len(reply.Instances) > 0 {
		d.lab.note("discovery told %s: generation %d, %d entries, whole %v", r.URL.RawQuery, reply.Generation, len(reply.Instances), reply.Reset)
	}
}

// counter is a stand-in of the counter.
type counter struct {
	address string
	mu      sync.Mutex
	totals  map[string]*total
}

type total struct {
	value float64
	until time.Time
}

// newCounter starts a counter.
func newCounter() (*counter, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &counter{address: listener.Addr().String(), totals: map[string]*total{}}
	server := &http.Server{Handler: http.HandlerFunc(c.handle), IdleTimeout: 10 * time.Second}
	go server.Serve(listener)
	return c, nil
}

// handle answers a call.
func (c *counter) handle(w http.ResponseWriter, r *http.Request) {
	name, found := strings.CutPrefix(r.URL.Path, "/v1/count/")
	add, err := strconv.ParseFloat(r.URL.Query().Get("add"), 64)
	life, lifeErr := strconv.Atoi(r.URL.Query().Get("ttl_ms"))
	if !found || name == "" || err != nil || lifeErr != nil || life < 1 || r.Method != "POST" {
		http.Error(w, "no such call", http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	entry := c.totals[name]
	if now := time.Now(); entry == nil || now.After(entry.until) {
		entry = &total{until: now.Add(time.Duration(min(life, 60000)) * time.Millisecond)}
		c.totals[name] = entry
	}
	entry.value += add
	value := entry.value
	c.mu.Unlock()
	fmt.Fprint(w, strconv.FormatFloat(value, 'g', 7, 64))
}

// class returns the settings of a class.
func class(name, effect string, deadline float64) object {
	return object{"deadlineS": deadline, "effect": effect, "keyScope": "all", "lateWorth": 0.2, "name": name, "objectiveS": deadline / 2,
		"points": 1, "streamed": false, "windowS": 15}
}

// plan returns the settings of a plan without quotas.
func plan(name string) object {
	return object{"atOnce": 0, "beyondCosts": 0.5, "capSlack": 0, "ceilingBurst": 0, "depth": 0, "name": name, "neverOverRate": 0, "overWorth": 0,
		"pays": 1.1, "unitsPerS": 0}
}

// settings returns the settings of a small deployment, with the figures of leon-campus.
func settings(fleet, rank int, classes, plans []any) object {
	return object{
		"allowed": object{"cancel": true, "connectTimeoutS": 0.25, "cpuUsPerRequest": 0, "cpuUsPerS": 400000, "keepaliveS": 15, "maxOpen": 20000,
			"maxRetryAfterS": 1, "mayDuplicate": false, "mostTries": 3, "multiplex": 1, "peers": false, "probes": false, "retryAfter": false},
		"classes": classes, "clients": object{"marksRetry": true}, "discovery": "push", "family": "gate",
		"familyInfo": object{"counterPrice": 0.02, "counterTimeoutS": 0.08, "hasCounter": false, "inboxPerS": 100, "mostUnits": 4, "truedUp": false, "usePeriodS": 0},
		"fleetSize":  fleet, "goal": object{"whole": 0.55, "worstClass": 0, "worstTenant": 0.25, "worstWindow": 0.2}, "kinds": []any{"std-3c"},
		"layers": []any{"reservas"}, "loadReport": object{"fields": []any{"svc_ms", "busy_reqs"}, "how": "off"},
		"localities": []any{"edificio-a", "edificio-b"}, "locality": 0,
		"obligations": object{"answerSlackS": 0.016, "askEveryS": 10, "coldFrom": 0.18, "coldS": 18, "drainGraceS": 1, "fallMultiple": 4, "overloadForS": 1.5},
		"packages":    plans, "prices": object{"connection": 0, "crossZone": 0.005, "discovery": 0, "handshake": 0, "lateFail": 0.08, "probe": 0.01, "waste": 0.03},
		"rank": rank, "tickS": 0.004, "tier": 0, "weights": "rough"}
}
