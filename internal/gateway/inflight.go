package gateway

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"

	"dunlintray/internal/registry"
	"dunlintray/rules"
)

// BackendsView is the answer to GET /control/backends: the list that a gateway has applied,
// and its work at each backend.
type BackendsView struct {
	Name    string `json:"name"`
	Rank    int    `json:"rank"`              // among the gateways of the fleet, from 0
	Fleet   int    `json:"fleet"`             // number of gateways
	History string `json:"history,omitempty"` // identifies the sequence of versions; empty with discovery
	Version int64  `json:"version"`           // of the list that was applied last
	// SiblingRunning reports that another process of this gateway runs. Its work is not
	// included.
	SiblingRunning bool          `json:"beside,omitempty"`
	Backends       []BackendWork `json:"backends"`
}

// BackendWork is the work at one backend.
type BackendWork struct {
	ID         string             `json:"id,omitempty"` // empty if it is no longer on the list
	Number     uint32             `json:"number"`       // see BackendNumber
	Lifecycle  registry.Lifecycle `json:"lifecycle"`
	InFlight   int                `json:"inFlight"`         // attempts in flight
	Overridden bool               `json:"byHand,omitempty"` // an operator has taken it offline
}

// BackendNumber returns the number that gateways derive from a backend's id.
func BackendNumber(id string) uint32 { return uint32(backendID(id)) }

// backendsQuery selects the backends of a view.
type backendsQuery struct {
	all    bool
	number rules.BackendID // of the only backend, unless all is set
}

// includes reports whether the query selects a backend.
func (q backendsQuery) includes(number rules.BackendID) bool { return q.all || q.number == number }

// readBackendsQuery reads the query parameter "backend", a backend's id. Without it the query
// selects all backends.
func readBackendsQuery(r *http.Request) backendsQuery {
	values := r.URL.Query()
	if !values.Has("backend") {
		return backendsQuery{all: true}
	}
	return backendsQuery{number: backendID(values.Get("backend"))}
}

// backendsView returns the view. It counts the attempts in flight on demand.
func (l *Loop) backendsView(query backendsQuery) BackendsView {
	view := BackendsView{Name: l.name, Rank: l.service.Rank, Fleet: l.service.Fleet, History: l.listHistory, Version: l.listVersion, Backends: []BackendWork{}}
	work := map[rules.BackendID]*BackendWork{}
	for id, instance := range l.instances {
		if !query.includes(id) {
			continue
		}
		work[id] = &BackendWork{ID: instance.ID, Number: uint32(id), Lifecycle: instance.Lifecycle, Overridden: l.offline[id]}
	}
	for _, exchange := range l.live {
		for _, attempt := range exchange.attempts {
			if attempt.ended || !query.includes(attempt.backend) {
				continue
			}
			entry := work[attempt.backend]
			if entry == nil { // it has left the list
				entry = &BackendWork{Number: uint32(attempt.backend), Lifecycle: registry.Gone}
				work[attempt.backend] = entry
			}
			entry.InFlight++
		}
	}
	for _, entry := range work {
		view.Backends = append(view.Backends, *entry)
	}
	slices.SortFunc(view.Backends, func(a, b BackendWork) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Number, b.Number))
	})
	return view
}

// backendsHandler serves BackendsView to operators.
func backendsHandler(loop *Loop, siblingRunning func() bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		// A sibling that starts later begins with the list of this process.
		runningBefore := siblingRunning()
		reply := make(chan BackendsView, 1)
		if !loop.post(backendsViewRequest{readBackendsQuery(r), reply}) {
			http.Error(w, "the gateway is shutting down", http.StatusServiceUnavailable)
			return
		}
		select {
		case view := <-reply:
			view.SiblingRunning = runningBefore || siblingRunning()
			w.Header().Set("Content-Type", "application/json")
			json.NewEncoder(w).Encode(view)
		case <-loop.stopped:
			http.Error(w, "the gateway is shutting down", http.StatusServiceUnavailable)
		}
	}
}
