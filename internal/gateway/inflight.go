package gateway

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"

	"dunlintray/internal/registry"
	"dunlintray/rules"
)

// BackendsView is what operators are told of the list that a gateway has applied, and of
// its work at each backend.
type BackendsView struct {
	Name    string `json:"name"`
	Rank    int    `json:"rank"`              // among Fleet, by its settings
	Fleet   int    `json:"fleet"`             // gateways
	History string `json:"history,omitempty"` // of the version; discovery names none
	Version int64  `json:"version"`
	// Beside says that another process of this gateway runs, whose work is not in here.
	SiblingRunning bool          `json:"beside,omitempty"`
	Backends       []BackendWork `json:"backends"`
}

// BackendWork is the work at one backend.
type BackendWork struct {
	ID         string             `json:"id,omitempty"` // none: it is not on the list any more
	Number     uint32             `json:"number"`       // by which gateways know it, see BackendNumber
	Lifecycle  registry.Lifecycle `json:"lifecycle"`
	InFlight   int                `json:"inFlight"`         // attempts that are not over
	Overridden bool               `json:"byHand,omitempty"` // out by a call to this gateway
}

// BackendNumber is by which number gateways know a backend.
func BackendNumber(id string) uint32 { return uint32(backendID(id)) }

// backendsQuery is which backends a view is about.
type backendsQuery struct {
	all    bool
	number rules.BackendID // of the one, where not all are asked for
}

// includes reports whether the view has a backend.
func (q backendsQuery) includes(number rules.BackendID) bool { return q.all || q.number == number }

// readBackendsQuery reads the call's "backend", the name of the one that it asks for.
func readBackendsQuery(r *http.Request) backendsQuery {
	names := r.URL.Query()
	if !names.Has("backend") {
		return backendsQuery{all: true}
	}
	return backendsQuery{number: backendID(names.Get("backend"))}
}

// backends collects the view. It looks through all that is out when it is asked, so that
// nothing has to be counted before.
func (l *Loop) backendsView(q backendsQuery) BackendsView {
	v := BackendsView{Name: l.name, Rank: l.service.Rank, Fleet: l.service.Fleet, History: l.listHistory, Version: l.listVersion, Backends: []BackendWork{}}
	held := map[rules.BackendID]*BackendWork{}
	for id, i := range l.instances {
		if !q.includes(id) {
			continue
		}
		held[id] = &BackendWork{ID: i.ID, Number: uint32(id), Lifecycle: i.Lifecycle, Overridden: l.offline[id]}
	}
	for _, x := range l.live {
		for _, a := range x.attempts {
			if a.ended || !q.includes(a.backend) {
				continue
			}
			w := held[a.backend]
			if w == nil { // it has left the list meanwhile
				w = &BackendWork{Number: uint32(a.backend), Lifecycle: registry.Gone}
				held[a.backend] = w
			}
			w.InFlight++
		}
	}
	for _, w := range held {
		v.Backends = append(v.Backends, *w)
	}
	slices.SortFunc(v.Backends, func(a, b BackendWork) int { return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Number, b.Number)) })
	return v
}

// backendsHandler answers operators.
func backendsHandler(l *Loop, beside func() bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		// A process that comes beside this one later has the list that this one has.
		also := beside()
		view := make(chan BackendsView, 1)
		if !l.post(backendsViewRequest{readBackendsQuery(r), view}) {
			http.Error(w, "this gateway ends", http.StatusServiceUnavailable)
			return
		}
		select {
		case v := <-view:
			v.SiblingRunning = also || beside()
			w.Header().Set("Content-Type", "application/json")
			json.NewEncoder(w).Encode(v)
		case <-l.stopped:
			http.Error(w, "this gateway ends", http.StatusServiceUnavailable)
		}
	}
}
