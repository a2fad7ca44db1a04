package standins

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Instance is an entry of discovery's list.
type Instance struct {
	ID          string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`
}

// Discovery is a stand-in for discovery whose list does not change.
type Discovery struct {
	Address   string
	instances []Instance
}

// ServeDiscovery starts a discovery with a list.
func (r *Run) ServeDiscovery(instances []Instance) *Discovery {
	const version = 41
	listener := r.Listen()
	d := &Discovery{Address: listener.Addr().String(), instances: instances}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", func(w http.ResponseWriter, req *http.Request) {
		full := req.URL.Query().Get("since") == ""
		listing := map[string]any{"generation": version, "reset": full, "instances": []Instance{}}
		if full {
			listing["instances"] = d.instances
		} else if ms, err := strconv.Atoi(req.URL.Query().Get("timeout_ms")); err == nil {
			select {
			case <-time.After(min(time.Duration(ms)*time.Millisecond, time.Minute)):
			case <-req.Context().Done():
			}
		}
		json.NewEncoder(w).Encode(listing)
	})
	go http.Serve(listener, mux)
	return d
}

// ServeCounter starts a counter and returns its address.
func (r *Run) ServeCounter() string {
	listener := r.Listen()
	var mu sync.Mutex
	totals := map[string]float64{}
	expires := map[string]time.Time{}
	go http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		name, ok := strings.CutPrefix(req.URL.Path, "/v1/count/")
		amount, err := strconv.ParseFloat(req.URL.Query().Get("add"), 64)
		ttl, ttlErr := strconv.Atoi(req.URL.Query().Get("ttl_ms"))
		if !ok || err != nil || ttlErr != nil {
			http.Error(w, "no such call", http.StatusBadRequest)
			return
		}
		mu.Lock()
		defer mu.Unlock()
		if time.Now().After(expires[name]) {
			totals[name], expires[name] = 0, time.Now().Add(time.Duration(min(ttl, 60000))*time.Millisecond)
		}
		totals[name] += amount
		fmt.Fprintf(w, "%.7g", totals[name])
	}))
	return listener.Addr().String()
}

// BackendEntry returns the entry of a backend that listens at an address and has started long ago.
func BackendEntry(id, address, zone, machineType string) Instance {
	return Instance{ID: id, HostPort: address, Zone: zone, MachineType: machineType, Lifecycle: "Ready", Weight: 1}
}

// Ready reports whether a gateway answers /health/ready with 200.
func Ready(address string) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + address + "/health/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Dial connects to an address.
func Dial(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, time.Second) }
