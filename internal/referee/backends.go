package referee

import (
	"slices"
	"time"
)

// backend is the state of a backend.
type backend struct {
	zone, cell           int
	started              time.Duration // when its process started
	cold                 bool
	window               []workSample // work that arrived in the last Backend.OverloadFor
	totalWork, awareWork float64      // work in the window, and the part of it from gateways that knew of the start
	overloaded           bool         // it failed from overload
	tried                bool         // an even distribution of the load would have overloaded it
}

// workSample is work that arrived at a backend; aware says that its gateway knew of the
// backend's start.
type workSample struct {
	at    time.Duration
	work  float64
	aware bool
}

// backendNotice is the state of a backend as a gateway received it.
type backendNotice struct {
	state   State
	at      time.Duration // when it received that the backend is not ready
	started time.Duration // start of the backend's process, as received
}

// registration is what a registry has confirmed to a backend, and the version of its list.
type registration struct {
	state   State
	started time.Duration
	version int64
}

// Backend reports the start or restart of a backend. One that is not cold counts as one that
// has run for long.
func (r *Referee) Backend(now time.Duration, number, zone, cell int, cold bool) {
	r.backends[number] = &backend{zone: zone, cell: cell, started: now, cold: cold}
}

// BackendStateReceived reports that a gateway has received the state of a backend.
func (r *Referee) BackendStateReceived(now time.Duration, gateway, number int, state State, started time.Duration) {
	previous, known := r.gateways[gateway].backends[number]
	notice := backendNotice{state: state, at: now, started: started}
	if known && previous.state != Ready && state != Ready {
		notice.at = previous.at
	}
	r.gateways[gateway].backends[number] = notice
}

// KnownBackends returns the backends that a gateway knows and that have not gone, in order. A
// full list without one of them means that it has gone.
func (r *Referee) KnownBackends(gateway int) []int {
	var known []int
	for number, notice := range r.gateways[gateway].backends {
		if notice.state != Gone {
			known = append(known, number)
		}
	}
	slices.Sort(known)
	return known
}

// WorkArrived judges work that arrives at a backend, rejected work included, and reports whether
// the backend fails from overload. running is the number of backends that run; work and
// mean, the mean work of a request, are in seconds of a core, capacity in cores.
func (r *Referee) WorkArrived(now time.Duration, gateway, number, running int, work, mean, capacity float64) (overloaded bool) {
	target := r.backends[number]
	evenWork := r.load.add(now, work, r.scenario.Backend.OverloadFor.Std()) / float64(max(running, 1))
	if !target.cold || target.overloaded || now-target.started > r.scenario.Backend.ColdDuration.Std() {
		target.cold = false
		target.window = nil
		return false
	}
	period := r.scenario.Backend.OverloadFor.Std()
	aware := r.gateways[gateway].backends[number].started >= target.started-time.Millisecond
	target.window = append(target.window, workSample{now, work, aware})
	target.totalWork += work
	if aware {
		target.awareWork += work
	}
	for target.window[0].at < now-period {
		target.totalWork -= target.window[0].work
		if target.window[0].aware {
			target.awareWork -= target.window[0].work
		}
		target.window = target.window[1:]
	}
	multiple := r.scenario.Backend.ColdMultiple
	budget := multiple*capacity*period.Seconds() + coldSlackRequests*mean
	r.maxColdBudgetUsed = max(r.maxColdBudgetUsed, target.awareWork/budget)
	if evenWork > budget && !target.tried {
		target.tried = true
		r.tried[Cold]++
	}
	if target.totalWork <= budget {
		return false
	}
	target.overloaded = true
	if target.awareWork >= target.totalWork*2/3 {
		r.violate(now, Cold, -1, nil, "backend b-%d, started %v ago, received %.0f ms of work within %v, over its limit of %.0f; %.0f%% came from gateways that knew of the start",
			number, (now - target.started).Round(time.Millisecond), target.totalWork*1e3, period, budget*1e3, target.awareWork/target.totalWork*100)
	}
	return true
}
