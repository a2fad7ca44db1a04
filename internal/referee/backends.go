package referee

import (
	"slices"
	"time"
)

// backend is the state of a backend.
type backend struct {
	zone, cell int
	started    time.Duration // its process
	cold       bool
	window     []pressure // work of the last OverloadFor
	sum, aware float64    // work in the window, and the part of it from gateways that knew of the start
	fallen     bool       // it failed from overload
	tried      bool       // an even load would have pushed it over
}

// pressure is work that arrived at a backend; aware says that its gateway knew of the
// backend's start.
type pressure struct {
	at    time.Duration
	work  float64
	aware bool
}

// told is what a gateway was told of a backend.
type told struct {
	state   State
	at      time.Duration // when it was told that the backend is not ready
	started time.Duration // start of the backend's process, as told
}

// enlisted is what a registry has confirmed to a backend, and the version of its list.
type enlisted struct {
	state   State
	started time.Duration
	version int64
}

// Backend reports the start or restart of a backend. One that is not cold counts as one that
// has run for long.
func (r *Referee) Backend(now time.Duration, b, zone, cell int, cold bool) {
	r.backends[b] = &backend{zone: zone, cell: cell, started: now, cold: cold}
}

// BackendStateReceived reports that a gateway has received the state of a backend.
func (r *Referee) BackendStateReceived(now time.Duration, g, b int, state State, started time.Duration) {
	before, known := r.gateways[g].told[b]
	t := told{state: state, at: now, started: started}
	if known && before.state != Ready && state != Ready {
		t.at = before.at
	}
	r.gateways[g].told[b] = t
}

// KnownBackends returns the backends that a gateway knows and that have not gone. A whole list that
// leaves one of them out says that it has gone.
func (r *Referee) KnownBackends(g int) []int {
	var all []int
	for b, t := range r.gateways[g].told {
		if t.state != Gone {
			all = append(all, b)
		}
	}
	slices.Sort(all)
	return all
}

// WorkArrived judges work that arrives at a backend, rejected work included, and reports whether
// the backend fails from overload. running is the number of backends that run.
func (r *Referee) WorkArrived(now time.Duration, g, n, running int, work, mean, capacity float64) (falls bool) {
	b := r.backends[n]
	even := r.load.add(now, work, r.s.Backend.OverloadFor.Std()) / float64(max(running, 1))
	if !b.cold || b.fallen || now-b.started > r.s.Backend.ColdDuration.Std() {
		b.cold = false
		b.window = nil
		return false
	}
	length := r.s.Backend.OverloadFor.Std()
	aware := r.gateways[g].told[n].started >= b.started-time.Millisecond
	b.window = append(b.window, pressure{now, work, aware})
	b.sum += work
	if aware {
		b.aware += work
	}
	for b.window[0].at < now-length {
		b.sum -= b.window[0].work
		if b.window[0].aware {
			b.aware -= b.window[0].work
		}
		b.window = b.window[1:]
	}
	multiple := r.s.Backend.ColdMultiple
	budget := multiple*capacity*length.Seconds() + coldSlack*mean
	r.coldMost = max(r.coldMost, b.aware/budget)
	if even > budget && !b.tried {
		b.tried = true
		r.tried[Cold]++
	}
	if b.sum <= budget {
		return false
	}
	b.fallen = true
	if b.aware >= b.sum*2/3 {
		r.violate(now, Cold, -1, nil, "backend b-%d, started %v ago, got %.0f ms of work within %v where it bears %.0f; %.0f%% came from gateways that knew of the start",
			n, (now - b.started).Round(time.Millisecond), b.sum*1e3, length, budget*1e3, b.aware/b.sum*100)
	}
	return true
}
