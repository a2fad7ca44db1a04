package capacity

import "fmt"

// reading is what a gateway holds of the list, with scopes by service and region and a
// subset of each.
type reading struct {
	services float64 // that its routes name
	share    float64 // of all services
	held     float64 // instances that its reader has
	used     float64 // of these, backends that its module has
	largest  float64 // instances of the largest service in the region
	subset   float64 // of that one, backends that are used
}

// reading returns what a gateway with so many services, drawn evenly from all, holds. The
// k-th largest service has a k-th of the instances of the largest.
func (m Model) reading(services float64) reading {
	t, a := m.Target, m.Assumptions.Value
	r := reading{services: services, share: services / t.Services, largest: a(largestService) / t.Regions}
	r.held = r.share * t.Backends / t.Regions
	harmonic := 0.0
	for k := 1.0; k <= t.Services; k++ {
		harmonic += 1 / k
	}
	size := a(subsetSize)
	for k := 1.0; k <= t.Services; k++ {
		r.used += r.share * min(t.Backends/harmonic/k/t.Regions, size)
	}
	r.subset = min(r.largest, size)
	return r
}

// scopedWatchBytes is watchBytes for a reader of scopes.
func (m Model) scopedWatchBytes(changes float64) float64 {
	wakes := min(changes, wakesPerS)
	idle := max(watchPerS-changes, 0)
	return (wakes+idle)*m.Slopes.At("scoped_watch_wire", m.Assumptions.Value(servicesOfGateway)) +
		(changes-wakes)*m.Slopes["scoped_answer_bytes_change"].Fit.Slope
}

// Scoped are the figures with scopes by service and region, and subsets, at each gateway:
// of one that has its part of the services, and of one that needs all of them.
func (m Model) Scoped() (all []Figure) {
	some := m.reading(m.Assumptions.Value(servicesOfGateway))
	every := m.reading(m.Target.Services)
	all = append(all, m.scopedGateway(fmt.Sprintf("gateway with %s services", Number(some.services)), some)...)
	for _, f := range m.scopedGateway("gateway with all services", every) {
		f.Key = "" // the table of assumptions names those of the other
		all = append(all, f)
	}
	return append(all, m.scopedFollower(some)...)
}

func (m Model) scopedGateway(role string, r reading) []Figure {
	t, a, s, l := m.Target, m.Assumptions.Value, m.Slopes, m.load()
	const steady = "steady state"
	perZone := t.Zones / t.Regions
	list := s.At("gateway_bytes_backend", r.used) + s.At("scoped_feed_bytes_instance", r.held) + s.At("subset_bytes_candidate", r.held)
	memory := list + s.At("module_bytes_customer", l.customers) + s.At("member_bytes", t.Gateways)
	round := s.At("round_us_backend", r.used) + s.At("housekeeping_us_customer", l.customers)
	changes := l.changesPeak * r.held / t.Backends
	calls := min(max(changes, watchPerS), wakesPerS)
	control := roundsPerS*round/1e6 + calls*s.At("reader_us", r.held)/1e6 + changes*s.At("subset_us_change", r.held)/1e6 + s.At("member_us", t.Gateways)/1e6
	decide := s.At("decision_us_subset", r.subset) / 1e6
	start := s.At("scoped_list_bytes_instance", r.held) + s.At("subscription_bytes", r.services)
	zone := s.At("scoped_answer_bytes_change", r.held/perZone)
	drains := t.RestartsPerDay * a(drainedByTool) / secondsOfDay
	seconds := func(bytes float64) float64 { return bytes / t.GatewayBytesPerS }
	return []Figure{
		{"", role, steady, "scopes of its reader", r.services, "scopes", readerScopes, byProgram, "limits.subscription_scopes", "a bound on scopes", needsLimits},
		{"", role, steady, "instances that its reader holds", r.held, "instances", 0, noBudget, "services_of_a_gateway", "scopes", ""},
		{"", role, steady, "backends that its module holds", r.used, "backends", 0, noBudget, "largest_service, subset_size", "subsets", ""},
		{"scoped memory", role, steady, "memory for control", memory, "B", t.GatewayBytes, byTarget, "gateway_bytes_backend, scoped_feed_bytes_instance, subset_bytes_candidate, module_bytes_customer, member_bytes", "scopes, subsets", ""},
		{"", role, steady, "processor time of a decision of the largest service", decide, "s", t.AddedSeconds, byTarget, "decision_us_subset", "subsets", ""},
		{"", role, steady, "share of the loop's core for decisions at the busiest gateway", decide * t.RequestsPerS / t.Gateways * a(requestSkew), "cores", 1, byProgram, "decision_us_subset", "subsets", ""},
		{"", role, steady, "longest stop of the loop for housekeeping", round / 1e6, "s", t.AddedSeconds, byTarget, "round_us_backend, housekeeping_us_customer", "subsets", ""},
		{"scoped processor", role, steady, "processor time for control at the peak", control, "cores", t.GatewayCores, byTarget, "round_us_backend, housekeeping_us_customer, reader_us, subset_us_change, member_us", "scopes, subsets", "rounds by what is used"},
		{"scoped network", role, steady, "network for control at the peak of 80,000 restarts a day", m.scopedWatchBytes(changes) + m.memberBytes(), "B/s", t.GatewayBytesPerS, byTarget, "scoped_watch_wire, scoped_answer_bytes_change, member_bytes_sent", "scopes", ""},
		{"", role, steady, "backends left out, as two have one number", r.used * r.used / 2 / backendIDs, "backends", 1, byProgram, "the count of numbers, 2^32", "subsets", ""},
		{"scoped start", role, "a start", "time for its list within the budget of the network", seconds(start), "s", t.InForceSeconds, byTarget, "scoped_list_bytes_instance, subscription_bytes", "scopes", needsPace},
		{"scoped rack", role, "a rack goes", "time until it is told, if all of it is in its scopes", seconds(s.At("scoped_answer_bytes_change", a(rackBackends))), "s", t.InForceSeconds, byTarget, "scoped_answer_bytes_change", "one answer for a burst", ""},
		{"scoped zone", role, "a zone of its region goes, or comes back", "time until it is told within that budget", seconds(zone), "s", t.InForceSeconds, byTarget, "scoped_answer_bytes_change", "scopes, one answer for a burst", needsPace},
		{"", role, "a region is back after an hour", "time for its whole list, as the history is too short at the peak", seconds(start), "s", t.InForceSeconds, byTarget, "scoped_list_bytes_instance", "scopes", needsHistory},
		{"scoped drains", role, "80,000 restarts a day, a tenth by `drain`", "network for its answers, mean", drains * a(asksPerDrain) * s.At("view_bytes_backend", askedBackends), "B/s", t.GatewayBytesPerS, byTarget, "view_bytes_backend", "it asks for one backend", ""},
	}
}

func (m Model) scopedFollower(r reading) []Figure {
	t, a, s, l := m.Target, m.Assumptions.Value, m.Slopes, m.load()
	const role, steady = "list service, follower", "steady state"
	concerned := max(r.share*l.readers, 1)
	memory := s.At("scoped_store_bytes_instance", t.Backends) + s.At("store_bytes_change", historyChanges) +
		s.At("service_bytes_watcher", l.readers) + s.At("service_stacks_watcher", l.readers) + l.readers*r.services/100*s["service_bytes_subscription"].Fit.Slope
	processor := l.changesPeak*s.At("scoped_change_us", l.readers)/1e6 + l.changesPeak/t.Regions*s.At("change_us_watcher", concerned)/1e6
	changes := l.changesPeak * r.held / t.Backends
	lists := l.readers * s.At("scoped_list_bytes_instance", r.held)
	zone := l.readers * s.At("scoped_answer_bytes_change", r.held*t.Regions/t.Zones)
	return []Figure{
		{"follower scopes", role, steady, "scopes of all readers, if each has others", l.readers * r.services, "scopes", serviceScopes, byProgram, "limits.subscribed_scopes", "a bound on scopes", needsLimits},
		{"", role, steady, "memory", memory, "B", a(machineBytes), byMachine, "scoped_store_bytes_instance, store_bytes_change, service_bytes_watcher, service_stacks_watcher, service_bytes_subscription", "bounds", ""},
		{"", role, "80,000 restarts a day, peak", "processor time", processor, "cores", a(machineCores), byMachine, "scoped_change_us, change_us_watcher", "a change wakes whom it concerns", ""},
		{"", role, "80,000 restarts a day, peak", "network to readers", l.readers * m.scopedWatchBytes(changes), "B/s", a(machineBytesPerS), byMachine, "scoped_watch_wire", "scopes", ""},
		{"", role, "a zone goes, or comes back", "time to tell all readers by its network", zone / a(machineBytesPerS), "s", t.InForceSeconds, byTarget, "scoped_answer_bytes_change", "scopes, one answer for a burst", ""},
		{"", role, "a region is back after an hour", "changes missed at the peak", l.changesPeak * a(cutSeconds), "changes", historyChanges, byProgram, "limits.history", "the whole list of the scopes instead", needsHistory},
		{"", role, "all gateways of a region restart", "time of their lists by the network of its followers", lists / a(machineBytesPerS), "s", t.InForceSeconds, byTarget, "scoped_list_bytes_instance", "scopes", ""},
		{"", role, "a new start of a follower", "bytes of the whole list that it copies", s.At("list_bytes_instance", t.Backends), "B", copiedListBytes, byProgram, "list_bytes_instance", "a bound on answers", needsFollowers},
	}
}
