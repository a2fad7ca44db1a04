package gateway

import (
	"net"
	"net/http"
	"time"

	"golang.org/x/net/netutil"
)

const (
	controlConns = 16 // callers at once, part of the reserved descriptors
	// Callers wait 1 s. One that has said nothing by then waits no longer, and
	// its place is needed.
	controlRead  = 900 * time.Millisecond
	controlWrite = 2 * time.Second
)

// control answers the operators, one call to a connection.
type control struct {
	figures *figures
	ready   func() bool
	byHand  func(id string, offline bool) (known bool, err error)
	members *standing // nil: membership is off
	loop    *Loop
	beside  func() bool // another process of this gateway runs
}

func (c *control) server() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control/ready", func(w http.ResponseWriter, _ *http.Request) {
		if !c.ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /control/counters", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		c.figures.write(w)
		writeMembers(w, c.members)
	})
	mux.HandleFunc("GET /control/backends", backendsHandler(c.loop, c.beside))
	mux.HandleFunc("GET /control/members", membersHandler(c.members))
	for word, offline := range map[string]bool{"offline": true, "online": false} {
		mux.HandleFunc("POST /control/backends/{id}/"+word, func(w http.ResponseWriter, r *http.Request) {
			switch known, err := c.byHand(r.PathValue("id"), offline); {
			case err != nil:
				http.Error(w, err.Error(), http.StatusServiceUnavailable)
			case !known:
				http.Error(w, "no such backend", http.StatusNotFound)
			}
		})
	}
	s := &http.Server{Handler: mux, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: controlRead,
		ReadTimeout: controlRead, WriteTimeout: controlWrite}
	s.SetKeepAlivesEnabled(false)
	return s
}

// listenControl opens the operators' address.
func listenControl(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return netutil.LimitListener(l, controlConns), nil
}
