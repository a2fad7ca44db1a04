package gateway

import (
	"net"
	"net/http"
	"time"

	"golang.org/x/net/netutil"
)

const (
	maxControlConns = 16 // part of reservedDescriptors
	// Operators' tools wait 1 s for an answer; a connection without a request by then is closed,
	// so that it does not count against maxControlConns.
	controlReadTimeout  = 900 * time.Millisecond
	controlWriteTimeout = 2 * time.Second
)

// controlServer serves the HTTP interface for operators, with one request per connection.
type controlServer struct {
	metrics       *metrics
	ready         func() bool
	applyOverride func(id string, offline bool) (known bool, err error)
	connectivity  *connectivity // nil: membership is off
	loop          *Loop
	hasSibling    func() bool // a sibling process is connected
}

// server returns the HTTP server, which serves GET /control/ready, /control/counters,
// /control/backends and /control/members and POST /control/backends/{id}/offline and /online.
func (c *controlServer) server() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control/ready", func(w http.ResponseWriter, _ *http.Request) {
		if !c.ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /control/counters", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		c.metrics.write(w)
		writeMembershipMetrics(w, c.connectivity)
	})
	mux.HandleFunc("GET /control/backends", backendsHandler(c.loop, c.hasSibling))
	mux.HandleFunc("GET /control/members", membersHandler(c.connectivity))
	for action, offline := range map[string]bool{"offline": true, "online": false} {
		mux.HandleFunc("POST /control/backends/{id}/"+action, func(w http.ResponseWriter, r *http.Request) {
			switch known, err := c.applyOverride(r.PathValue("id"), offline); {
			case err != nil:
				http.Error(w, err.Error(), http.StatusServiceUnavailable)
			case !known:
				http.Error(w, "no such backend", http.StatusNotFound)
			}
		})
	}
	server := &http.Server{Handler: mux, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: controlReadTimeout,
		ReadTimeout: controlReadTimeout, WriteTimeout: controlWriteTimeout}
	server.SetKeepAlivesEnabled(false)
	return server
}

// listenControl listens on the address for operators, with at most maxControlConns connections.
func listenControl(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return netutil.LimitListener(listener, maxControlConns), nil
}
