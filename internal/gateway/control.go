package gateway

import (
	"net"
	"net/http"
	"time"

	"golang.org/x/net/netutil"
)

const (
	maxControlConns = 16 // callers at once, part of the reserved descriptors
	// Callers wait 1 s. One that has said nothing by then waits no longer, and
	// its place is needed.
	controlReadTimeout  = 900 * time.Millisecond
	controlWriteTimeout = 2 * time.Second
)

// controlServer answers the operators, one call to a connection.
type controlServer struct {
	metrics       *metrics
	ready         func() bool
	applyOverride func(id string, offline bool) (known bool, err error)
	connectivity  *connectivity // nil: membership is off
	loop          *Loop
	hasPeer       func() bool // another process of this gateway runs
}

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
	mux.HandleFunc("GET /control/backends", backendsHandler(c.loop, c.hasPeer))
	mux.HandleFunc("GET /control/members", membersHandler(c.connectivity))
	for word, offline := range map[string]bool{"offline": true, "online": false} {
		mux.HandleFunc("POST /control/backends/{id}/"+word, func(w http.ResponseWriter, r *http.Request) {
			switch known, err := c.applyOverride(r.PathValue("id"), offline); {
			case err != nil:
				http.Error(w, err.Error(), http.StatusServiceUnavailable)
			case !known:
				http.Error(w, "no such backend", http.StatusNotFound)
			}
		})
	}
	s := &http.Server{Handler: mux, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: controlReadTimeout,
		ReadTimeout: controlReadTimeout, WriteTimeout: controlWriteTimeout}
	s.SetKeepAlivesEnabled(false)
	return s
}

// listenControl opens the operators' address.
func listenControl(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return netutil.LimitListener(l, maxControlConns), nil
}
