package capacity

import "fmt"

// scopedView is the part of the list that a gateway holds with scopes by service and region, and a
// subset of each service.
type scopedView struct {
	services        float64 // that its routes name
	serviceFraction float64 // of all services
	instances       float64 // that its reader holds
	backends        float64 // that its decision module holds
	largestService  float64 // instances of the largest service in the region
	subset          float64 // backends used of the largest service
}

// scopedView returns the view of a gateway with a number of services, drawn evenly from all. The
// k-th largest service has 1/k of the instances of the largest (Zipf).
func (m Model) scopedView(services float64) scopedView {
	target, assumption := m.Target, m.Assumptions.Value
	view := scopedView{services: services, serviceFraction: services / target.Services, largestService: assumption(largestService) / target.Regions}
	view.instances = view.serviceFraction * target.Backends / target.Regions
	harmonic := 0.0
	for k := 1.0; k <= target.Services; k++ {
		harmonic += 1 / k
	}
	size := assumption(subsetSize)
	for k := 1.0; k <= target.Services; k++ {
		view.backends += view.serviceFraction * min(target.Backends/harmonic/k/target.Regions, size)
	}
	view.subset = min(view.largestService, size)
	return view
}

// scopedWatchBytes returns the network bytes per second of the watch of a reader with scopes.
func (m Model) scopedWatchBytes(changes float64) float64 {
	answers := min(changes, maxWatchAnswersPerS)
	idle := max(idleWatchesPerS-changes, 0)
	return (answers+idle)*m.Slopes.At("scoped_watch_wire", m.Assumptions.Value(servicesPerGateway)) +
		(changes-answers)*m.Slopes["scoped_answer_bytes_change"].Fit.Slope
}

// ScopedEstimates returns the estimates with scopes by service and region, and subsets, for a
// gateway with some of the services, a gateway with all of them, and a follower.
func (m Model) ScopedEstimates() (estimates []Estimate) {
	some := m.scopedView(m.Assumptions.Value(servicesPerGateway))
	every := m.scopedView(m.Target.Services)
	estimates = append(estimates, m.scopedGateway(fmt.Sprintf("gateway with %s services", Number(some.services)), some)...)
	for _, estimate := range m.scopedGateway("gateway with all services", every) {
		estimate.Key = "" // keys name the estimates of the gateway with some services
		estimates = append(estimates, estimate)
	}
	return append(estimates, m.scopedFollower(some)...)
}

func (m Model) scopedGateway(role string, view scopedView) []Estimate {
	target, assumption, slopes, rates := m.Target, m.Assumptions.Value, m.Slopes, m.rates()
	const steady = "steady state"
	zonesPerRegion := target.Zones / target.Regions
	listMemory := slopes.At("gateway_bytes_backend", view.backends) + slopes.At("scoped_feed_bytes_instance", view.instances) + slopes.At("subset_bytes_candidate", view.instances)
	memory := listMemory + slopes.At("module_bytes_customer", rates.customers) + slopes.At("member_bytes", target.Gateways)
	roundMicros := slopes.At("round_us_backend", view.backends) + slopes.At("housekeeping_us_customer", rates.customers)
	changes := rates.changesPeak * view.instances / target.Backends
	watchCallsPerS := min(max(changes, idleWatchesPerS), maxWatchAnswersPerS)
	controlCores := housekeepingRoundsPerS*roundMicros/1e6 + watchCallsPerS*slopes.At("reader_us", view.instances)/1e6 + changes*slopes.At("subset_us_change", view.instances)/1e6 + slopes.At("member_us", target.Gateways)/1e6
	decisionSeconds := slopes.At("decision_us_subset", view.subset) / 1e6
	startBytes := slopes.At("scoped_list_bytes_instance", view.instances) + slopes.At("subscription_bytes", view.services)
	zoneBytes := slopes.At("scoped_answer_bytes_change", view.instances/zonesPerRegion)
	drainsPerS := target.RestartsPerDay * assumption(drainedFraction) / secondsPerDay
	transferSeconds := func(bytes float64) float64 { return bytes / target.GatewayBytesPerS }
	return []Estimate{
		{"", role, steady, "scopes of its reader", view.services, "scopes", maxReaderScopes, budgetByProgram, "limits.subscription_scopes", "a bound on scopes", needsLimits},
		{"", role, steady, "instances that its reader holds", view.instances, "instances", 0, noBudget, "services_of_a_gateway", "scopes", ""},
		{"", role, steady, "backends that its module holds", view.backends, "backends", 0, noBudget, "largest_service, subset_size", "subsets", ""},
		{"scoped memory", role, steady, "memory for control", memory, "B", target.GatewayBytes, budgetByTarget, "gateway_bytes_backend, scoped_feed_bytes_instance, subset_bytes_candidate, module_bytes_customer, member_bytes", "scopes, subsets", ""},
		{"", role, steady, "processor time of a decision of the largest service", decisionSeconds, "s", target.AddedLatencySeconds, budgetByTarget, "decision_us_subset", "subsets", ""},
		{"", role, steady, "share of the loop's core for decisions at the busiest gateway", decisionSeconds * target.RequestsPerS / target.Gateways * assumption(requestSkew), "cores", 1, budgetByProgram, "decision_us_subset", "subsets", ""},
		{"", role, steady, "longest stop of the loop for housekeeping", roundMicros / 1e6, "s", target.AddedLatencySeconds, budgetByTarget, "round_us_backend, housekeeping_us_customer", "subsets", ""},
		{"scoped processor", role, steady, "processor time for control at the peak", controlCores, "cores", target.GatewayCores, budgetByTarget, "round_us_backend, housekeeping_us_customer, reader_us, subset_us_change, member_us", "scopes, subsets", "rounds by what is used"},
		{"scoped network", role, steady, "network for control at the peak of 80,000 restarts a day", m.scopedWatchBytes(changes) + m.memberBytes(), "B/s", target.GatewayBytesPerS, budgetByTarget, "scoped_watch_wire, scoped_answer_bytes_change, member_bytes_sent", "scopes", ""},
		{"", role, steady, "backends left out, as two have one number", view.backends * view.backends / 2 / backendIDCount, "backends", 1, budgetByProgram, "the count of numbers, 2^32", "subsets", ""},
		{"scoped start", role, "a start", "time for its list within the budget of the network", transferSeconds(startBytes), "s", target.PropagationSeconds, budgetByTarget, "scoped_list_bytes_instance, subscription_bytes", "scopes", needsPace},
		{"scoped rack", role, "a rack goes", "time until it is told, if all of it is in its scopes", transferSeconds(slopes.At("scoped_answer_bytes_change", assumption(rackBackends))), "s", target.PropagationSeconds, budgetByTarget, "scoped_answer_bytes_change", "one answer for a burst", ""},
		{"scoped zone", role, "a zone of its region goes, or comes back", "time until it is told within that budget", transferSeconds(zoneBytes), "s", target.PropagationSeconds, budgetByTarget, "scoped_answer_bytes_change", "scopes, one answer for a burst", needsPace},
		{"", role, "a region is back after an hour", "time for its whole list, as the history is too short at the peak", transferSeconds(startBytes), "s", target.PropagationSeconds, budgetByTarget, "scoped_list_bytes_instance", "scopes", needsHistory},
		{"scoped drains", role, "80,000 restarts a day, a tenth by `drain`", "network for its answers, mean", drainsPerS * assumption(queriesPerDrain) * slopes.At("view_bytes_backend", backendsPerDrainQuery), "B/s", target.GatewayBytesPerS, budgetByTarget, "view_bytes_backend", "it asks for one backend", ""},
	}
}

func (m Model) scopedFollower(view scopedView) []Estimate {
	target, assumption, slopes, rates := m.Target, m.Assumptions.Value, m.Slopes, m.rates()
	const role, steady = "list service, follower", "steady state"
	concernedReaders := max(view.serviceFraction*rates.readers, 1)
	memory := slopes.At("scoped_store_bytes_instance", target.Backends) + slopes.At("store_bytes_change", maxHistoryChanges) +
		slopes.At("service_bytes_watcher", rates.readers) + slopes.At("service_stacks_watcher", rates.readers) + rates.readers*view.services/100*slopes["service_bytes_subscription"].Fit.Slope
	processorCores := rates.changesPeak*slopes.At("scoped_change_us", rates.readers)/1e6 + rates.changesPeak/target.Regions*slopes.At("change_us_watcher", concernedReaders)/1e6
	changes := rates.changesPeak * view.instances / target.Backends
	listBytes := rates.readers * slopes.At("scoped_list_bytes_instance", view.instances)
	zoneBytes := rates.readers * slopes.At("scoped_answer_bytes_change", view.instances*target.Regions/target.Zones)
	return []Estimate{
		{"follower scopes", role, steady, "scopes of all readers, if each has others", rates.readers * view.services, "scopes", maxServiceScopes, budgetByProgram, "limits.subscribed_scopes", "a bound on scopes", needsLimits},
		{"", role, steady, "memory", memory, "B", assumption(machineBytes), budgetByMachine, "scoped_store_bytes_instance, store_bytes_change, service_bytes_watcher, service_stacks_watcher, service_bytes_subscription", "bounds", ""},
		{"", role, "80,000 restarts a day, peak", "processor time", processorCores, "cores", assumption(machineCores), budgetByMachine, "scoped_change_us, change_us_watcher", "a change wakes whom it concerns", ""},
		{"", role, "80,000 restarts a day, peak", "network to readers", rates.readers * m.scopedWatchBytes(changes), "B/s", assumption(machineBytesPerS), budgetByMachine, "scoped_watch_wire", "scopes", ""},
		{"", role, "a zone goes, or comes back", "time to tell all readers by its network", zoneBytes / assumption(machineBytesPerS), "s", target.PropagationSeconds, budgetByTarget, "scoped_answer_bytes_change", "scopes, one answer for a burst", ""},
		{"", role, "a region is back after an hour", "changes missed at the peak", rates.changesPeak * assumption(outageSeconds), "changes", maxHistoryChanges, budgetByProgram, "limits.history", "the whole list of the scopes instead", needsHistory},
		{"", role, "all gateways of a region restart", "time of their lists by the network of its followers", listBytes / assumption(machineBytesPerS), "s", target.PropagationSeconds, budgetByTarget, "scoped_list_bytes_instance", "scopes", ""},
		{"", role, "a new start of a follower", "bytes of the whole list that it copies", slopes.At("list_bytes_instance", target.Backends), "B", maxFollowerListBytes, budgetByProgram, "list_bytes_instance", "a bound on answers", needsFollowers},
	}
}
