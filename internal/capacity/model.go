package capacity

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
)

// Limits and rates that are built into the program or shipped as its defaults.
const (
	maxWatchAnswersPerS    = 20        // answers to one watcher
	idleWatchesPerS        = 1.0 / 1.5 // watch calls that time out without a change
	housekeepingRoundsPerS = 20        // of the decision module
	leaseScansPerS         = 10
	maxGatewayListBytes    = 4 << 20  // list of a gateway with a memory limit of 64 MB or less
	maxFollowerListBytes   = 64 << 20 // registry.DefaultAnswerLimit
	maxToolAnswerBytes     = 8 << 20  // response that the operators' tool reads
	backendsPerDrainQuery  = 1
	maxHistoryChanges      = 20_000  // limits.history
	maxInstances           = 10_000  // limits.instances
	maxConnections         = 1_024   // limits.connections
	maxWatchers            = 800     // limits.watchers
	maxReaderScopes        = 4_096   // limits.subscription_scopes
	maxServiceScopes       = 262_144 // limits.subscribed_scopes
	maxLedgerSessions      = 8_000   // ledger.DefaultLimits
	maxLedgerUnits         = 20_000  // units of internal/budget
	maxDatagramsPerS       = 50      // received by membership: half of inboxPerS in the examples
	backendIDCount         = 1 << 32 // numbers that gateways assign to backends
	secondsPerDay          = 24 * 3_600
	maxLapseFraction       = 0.1 // of the list that may lapse at once
)

// Origins of budgets, as the page names them.
const (
	budgetByTarget  = "target"
	budgetByProgram = "limit in the program"
	budgetByMachine = "assumed machine"
	noBudget        = "none"
)

// Missing mechanisms, as the page names them.
const (
	needsScopes    = "scopes and subsets"
	needsPace      = "pace and folding, for scopes"
	needsHistory   = "a history of an hour"
	needsFollowers = "followers in tiers"
	needsRenewals  = "renewals that share connections, or go to followers"
	needsLimits    = "another limit"
	noMechanism    = "none"
)

// Slopes are the rows of the page by name.
type Slopes map[string]Slope

// At returns a quantity at a size. It interpolates linearly between measured sizes and uses the
// fit outside their range. It panics if there is no slope of that name.
func (s Slopes) At(name string, size float64) float64 {
	row, found := s[name]
	if !found {
		panic("no slope " + name)
	}
	points := row.Points
	last := points[len(points)-1]
	if size < float64(points[0].Size) || size > float64(last.Size) {
		return row.Fit.At(size)
	}
	for n := 1; n < len(points); n++ {
		a, b := points[n-1], points[n]
		if size <= float64(b.Size) {
			return a.Value + (b.Value-a.Value)*(size-float64(a.Size))/float64(b.Size-a.Size)
		}
	}
	return last.Value
}

// Estimate is the value of a quantity of a role at the target size.
type Estimate struct {
	Key                   string // name in the table of assumptions; empty if it is not listed there
	Role, Event, Quantity string
	Value                 float64
	Unit                  string
	Budget                float64 // 0: none
	BudgetOrigin          string
	Sources               string // slopes that the value is computed from
	Mechanism             string // that limits the cost
	MissingMechanism      string
}

// Ratio returns the value divided by its budget, or 0 if it has none.
func (e Estimate) Ratio() float64 {
	if e.Budget == 0 {
		return 0
	}
	return e.Value / e.Budget
}

// Model computes estimates from a target, assumptions about it and measured slopes.
type Model struct {
	Target      Target
	Assumptions Assumptions
	Slopes      Slopes
}

// trafficRates are rates and populations that follow from the target.
type trafficRates struct {
	changes, changesPeak float64 // of the list, per second
	customers            float64 // active in a minute at one gateway
	readers              float64 // of one follower
	followers            float64
	renewals             float64 // of leases, per second
}

func (m Model) rates() (rates trafficRates) {
	target, assumption := m.Target, m.Assumptions.Value
	rates.changes = target.RestartsPerDay * assumption(changesPerRestart) / secondsPerDay
	rates.changesPeak = rates.changes * assumption(peakOverMean)
	rates.customers = target.Tenants * assumption(gatewaysPerTenant) / target.Gateways
	rates.followers = target.ControlMachines - assumption(groupMachines)
	rates.readers = target.Gateways / rates.followers
	rates.renewals = target.Backends * assumption(renewalsPerLease) / assumption(leaseSeconds)
	return rates
}

// watchBytes returns the network bytes per second of one reader's watch at a rate of changes per
// second.
func (m Model) watchBytes(changes float64) float64 {
	answers := min(changes, maxWatchAnswersPerS)
	idle := max(idleWatchesPerS-changes, 0)
	return (answers+idle)*m.Slopes.At("watch_wire", 22_222) + (changes-answers)*m.changeBytes()
}

// changeBytes returns the bytes that one more change adds to an answer.
func (m Model) changeBytes() float64 { return m.Slopes["answer_bytes_change"].Fit.Slope }

// burstBytes returns the bytes of an answer with a number of changes.
func (m Model) burstBytes(changes float64) float64 {
	return m.Slopes.At("answer_bytes_change", changes)
}

// memberBytes returns the network bytes per second of membership at one gateway, both ways.
func (m Model) memberBytes() float64 {
	return 2 * m.Slopes.At("member_bytes_sent", m.Target.Gateways) // as many are received as sent
}

// Estimates returns the estimates of gateways that hold the whole list.
func (m Model) Estimates() []Estimate {
	return slices.Concat(m.gatewaySteady(), m.gatewayEvents(), m.writer(), m.follower(), m.ledger(), m.counter(), m.membership(), m.tool())
}

func (m Model) gatewaySteady() []Estimate {
	target, slopes, rates := m.Target, m.Slopes, m.rates()
	backends := target.Backends
	const role, steady = "gateway", "steady state"
	decisions := target.RequestsPerS / target.Gateways
	skew := m.Assumptions.Value(requestSkew)
	decisionSeconds := slopes.At("decision_us", backends) / 1e6
	watchCores := func(changes float64) float64 {
		return min(changes, maxWatchAnswersPerS) * slopes.At("reader_us", 22_222) / 1e6
	}
	listMemory := slopes.At("gateway_bytes_backend", backends) + slopes.At("feed_bytes_instance", backends)
	memory := listMemory + slopes.At("module_bytes_customer", rates.customers) + slopes.At("member_bytes", target.Gateways)
	housekeepingCores := housekeepingRoundsPerS * (slopes.At("round_us_backend", backends) + slopes.At("housekeeping_us_customer", rates.customers)) / 1e6
	memberCores := slopes.At("member_us", target.Gateways) / 1e6
	return []Estimate{
		{"", role, steady, "memory of the list: module, pools, reader", listMemory, "B", target.GatewayBytes, budgetByTarget, "gateway_bytes_backend, feed_bytes_instance", noMechanism, needsScopes},
		{"", role, steady, "memory of customers", slopes.At("module_bytes_customer", rates.customers), "B", target.GatewayBytes, budgetByTarget, "module_bytes_customer", "forgotten after a minute", ""},
		{"", role, steady, "memory of members", slopes.At("member_bytes", target.Gateways), "B", target.GatewayBytes, budgetByTarget, "member_bytes", "an entry for each", ""},
		{"gateway memory", role, steady, "memory for control", memory, "B", target.GatewayBytes, budgetByTarget, "the three above", noMechanism, needsScopes},
		{"decision", role, steady, "processor time of a decision", decisionSeconds, "s", target.AddedLatencySeconds, budgetByTarget, "decision_us", noMechanism, needsScopes},
		{"loop", role, steady, "share of the loop's core for decisions", decisionSeconds * decisions, "cores", 1, budgetByProgram, "decision_us", noMechanism, needsScopes},
		{"busiest loop", role, steady, "the same at the busiest gateway", decisionSeconds * decisions * skew, "cores", 1, budgetByProgram, "decision_us", noMechanism, needsScopes},
		{"", role, steady, "longest stop of the loop for housekeeping", housekeepingCores / housekeepingRoundsPerS, "s", target.AddedLatencySeconds, budgetByTarget, "round_us_backend, housekeeping_us_customer", noMechanism, needsScopes},
		{"", role, steady, "processor time of housekeeping", housekeepingCores, "cores", target.GatewayCores, budgetByTarget, "round_us_backend, housekeeping_us_customer", noMechanism, needsScopes},
		{"gateway processor", role, steady, "processor time for control at the peak", housekeepingCores + watchCores(rates.changesPeak) + memberCores, "cores", target.GatewayCores, budgetByTarget, "the one above, reader_us, member_us", noMechanism, needsScopes},
		{"", role, steady, "network for the list, mean of the day", m.watchBytes(rates.changes), "B/s", target.GatewayBytesPerS, budgetByTarget, "watch_wire, answer_bytes_change", "one answer in 50 ms", ""},
		{"gateway network", role, steady, "network for control at the peak of 80,000 restarts a day", m.watchBytes(rates.changesPeak) + m.memberBytes(), "B/s", target.GatewayBytesPerS, budgetByTarget, "watch_wire, answer_bytes_change, member_bytes_sent", "one answer in 50 ms", needsScopes},
		{"", role, steady, "backends left out, as two have one number", backends * backends / 2 / backendIDCount, "backends", 1, budgetByProgram, "the count of numbers, 2^32", noMechanism, needsScopes},
	}
}

func (m Model) gatewayEvents() []Estimate {
	target, slopes, assumption, rates := m.Target, m.Slopes, m.Assumptions.Value, m.rates()
	const role = "gateway"
	listBytes := slopes.At("list_bytes_instance", target.Backends)
	missedChanges := rates.changesPeak * assumption(outageSeconds)
	recoveryBytes := listBytes
	if missedChanges <= maxHistoryChanges {
		recoveryBytes = m.burstBytes(missedChanges)
	}
	transferSeconds := func(bytes float64) float64 { return bytes / target.GatewayBytesPerS }
	return []Estimate{
		{"", role, "a start", "bytes of the whole list", listBytes, "B", maxGatewayListBytes, budgetByProgram, "list_bytes_instance", noMechanism, needsScopes},
		{"whole list", role, "a start", "time for it within the budget of the network", transferSeconds(listBytes), "s", target.PropagationSeconds, budgetByTarget, "list_bytes_instance", noMechanism, needsScopes},
		{"", role, "a start", "processor time of taking it in", slopes.At("list_read_us", target.Backends) / 1e6, "s", target.PropagationSeconds, budgetByTarget, "list_read_us", noMechanism, ""},
		{"rack", role, "a rack goes", "time until it is told within that budget", transferSeconds(m.burstBytes(assumption(rackBackends))), "s", target.PropagationSeconds, budgetByTarget, "answer_bytes_change", "one answer for a burst", ""},
		{"zone lost", role, "a zone goes, or comes back", "time until it is told within that budget", transferSeconds(m.burstBytes(target.ZoneBackends)), "s", target.PropagationSeconds, budgetByTarget, "answer_bytes_change", "one answer for a burst", needsScopes},
		{"region back", role, "a region is back after an hour", "time until what was missed is told within that budget", transferSeconds(recoveryBytes), "s", target.PropagationSeconds, budgetByTarget, "answer_bytes_change, list_bytes_instance", noMechanism, needsScopes},
		{"", role, "a control machine goes", "time until another is asked", 2.2, "s", target.PropagationSeconds, budgetByTarget, "design.md, told within 6 s", "the next address", ""},
	}
}

func (m Model) writer() []Estimate {
	target, slopes, assumption, rates := m.Target, m.Slopes, m.Assumptions.Value, m.rates()
	const role, steady = "list service, writer", "steady state"
	backends := target.Backends
	storeBytes := slopes.At("store_bytes_instance", backends) + slopes.At("store_bytes_change", maxHistoryChanges)
	connectionBytes := slopes.At("service_bytes_connection", backends) + slopes.At("service_stacks_watcher", backends)
	renewalCores := rates.renewals * slopes.At("renewal_us", 22_222) / 1e6
	leaseScanCores := leaseScansPerS * slopes.At("tick_us", backends) / 1e6
	return []Estimate{
		{"", role, steady, "instances", backends, "instances", maxInstances, budgetByProgram, "limits.instances", noMechanism, needsLimits},
		{"", role, steady, "memory of list and history", storeBytes, "B", assumption(machineBytes), budgetByMachine, "store_bytes_instance, store_bytes_change", "bounds", ""},
		{"", role, steady, "connections of backends", backends, "connections", maxConnections, budgetByProgram, "one for each backend", noMechanism, needsRenewals},
		{"writer memory", role, steady, "memory of connections", connectionBytes, "B", assumption(machineBytes), budgetByMachine, "service_bytes_connection, service_stacks_watcher", noMechanism, needsRenewals},
		{"writer processor", role, steady, "processor time of renewals", renewalCores, "cores", assumption(machineCores), budgetByMachine, "renewal_us", "off the log", ""},
		{"", role, steady, "network of renewals", rates.renewals * slopes.At("renewal_wire", 22_222), "B/s", assumption(machineBytesPerS), budgetByMachine, "renewal_wire", noMechanism, ""},
		{"", role, steady, "processor time of looks at leases, under the store's lock", leaseScanCores, "cores", 1, budgetByProgram, "tick_us", noMechanism, ""},
		{"", role, "80,000 restarts a day, peak", "changes agreed on", rates.changesPeak, "a second", 1e6 / slopes.At("group_us_write", 100), budgetByProgram, "group_us_write", "several calls share a sync", ""},
		{"", role, "a zone goes", "share of the list that lapses at once", target.ZoneBackends / backends, "of the list", maxLapseFraction, budgetByProgram, "lapseBurst of the store", "lapses are let through in turn", ""},
		{"", role, "a zone is back", "processor time of registrations", target.ZoneBackends * slopes.At("renewal_us", 22_222) / 1e6, "s", target.PropagationSeconds, budgetByTarget, "renewal_us, about", "several calls share a sync", ""},
		{"", role, "a control machine goes", "time until all backends have renewed elsewhere", assumption(leaseSeconds) / assumption(renewalsPerLease), "s", target.PropagationSeconds, budgetByTarget, "none: the next renewal", "leases begin anew at a new writer", ""},
	}
}

func (m Model) follower() []Estimate {
	target, slopes, assumption, rates := m.Target, m.Slopes, m.Assumptions.Value, m.rates()
	const role, steady = "list service, follower", "steady state"
	listBytes := slopes.At("list_bytes_instance", target.Backends)
	answersPerS := min(rates.changesPeak, maxWatchAnswersPerS)
	memory := slopes.At("store_bytes_instance", target.Backends) + slopes.At("store_bytes_change", maxHistoryChanges) + slopes.At("service_bytes_watcher", rates.readers) + slopes.At("service_stacks_watcher", rates.readers)
	networkBytes := rates.readers * m.watchBytes(rates.changesPeak)
	missedChanges := rates.changesPeak * assumption(outageSeconds)
	regionListBytes := target.Gateways / target.Regions * listBytes / (rates.followers / target.Regions)
	zoneBytes := rates.readers * m.burstBytes(target.ZoneBackends)
	return []Estimate{
		{"", role, steady, "readers", rates.readers, "watchers", maxWatchers, budgetByProgram, "limits.watchers", "a bound on watchers", ""},
		{"", role, steady, "memory", memory, "B", assumption(machineBytes), budgetByMachine, "store_bytes_instance, store_bytes_change, service_bytes_watcher, service_stacks_watcher", "bounds", ""},
		{"follower processor", role, "80,000 restarts a day, peak", "processor time", answersPerS * slopes.At("change_us_watcher", rates.readers) / 1e6, "cores", assumption(machineCores), budgetByMachine, "change_us_watcher", "one answer put together for all", ""},
		{"follower network", role, "80,000 restarts a day, peak", "network to readers", networkBytes, "B/s", assumption(machineBytesPerS), budgetByMachine, "watch_wire, answer_bytes_change", "one answer in 50 ms", ""},
		{"", role, "a zone goes, or comes back", "time to tell all readers by its network", zoneBytes / assumption(machineBytesPerS), "s", target.PropagationSeconds, budgetByTarget, "answer_bytes_change", "one answer for a burst", ""},
		{"history", role, "a region is back after an hour", "changes missed at the peak", missedChanges, "changes", maxHistoryChanges, budgetByProgram, "limits.history", "the whole list instead", needsHistory},
		{"", role, "a control machine goes", "readers at each that is left", target.Gateways / (rates.followers - 1), "watchers", maxWatchers, budgetByProgram, "limits.watchers", "readers go to the next address", ""},
		{"", role, "all gateways of a region restart", "bytes of whole lists, at each follower of the region", regionListBytes, "B", 0, noBudget, "list_bytes_instance", "lists_per_s", ""},
		{"region restart", role, "all gateways of a region restart", "time of it by its network", regionListBytes / assumption(machineBytesPerS), "s", target.PropagationSeconds, budgetByTarget, "list_bytes_instance", noMechanism, needsScopes},
	}
}

func (m Model) ledger() []Estimate {
	target, slopes, assumption := m.Target, m.Slopes, m.Assumptions.Value
	const role, steady = "ledger", "steady state"
	permitsPerS := target.RestartsPerDay * assumption(drainedFraction) * assumption(peakOverMean) / secondsPerDay
	return []Estimate{
		{"", role, steady, "units: backends and gateways", target.Backends + target.Gateways, "units", maxLedgerUnits, budgetByProgram, "maxUnits of internal/budget", noMechanism, needsLimits},
		{"", role, steady, "sessions, one for each gateway", target.Gateways, "sessions", maxLedgerSessions, budgetByProgram, "ledger.DefaultLimits", noMechanism, needsLimits},
		{"", role, steady, "memory of sessions", slopes.At("ledger_bytes_session", target.Gateways), "B", assumption(machineBytes), budgetByMachine, "ledger_bytes_session", "bounds", ""},
		{"permits", role, "80,000 restarts a day, peak", "grants and returns of permits", 2 * permitsPerS, "a second", 1e6 / slopes.At("group_us_write", 100), budgetByProgram, "group_us_write", "several calls share a sync", ""},
		{"", role, "a control machine goes", "votes lost of three", 1, "members", 1, budgetByProgram, "none: a majority is left", "raft", ""},
	}
}

func (m Model) counter() []Estimate {
	target, slopes, assumption := m.Target, m.Slopes, m.Assumptions.Value
	const role, steady = "counter", "steady state"
	requestInterval := target.Tenants * assumption(gatewaysPerTenant) / target.RequestsPerS // seconds between requests of one customer at one gateway
	const measuredRequests = 320                                                            // in each measurement of counter_calls_interval
	callsPerRequest := slopes.At("counter_calls_interval", max(requestInterval, 1)) / measuredRequests
	return []Estimate{
		{"counter calls", role, steady, "calls for a request", callsPerRequest, "calls", 0, noBudget, "counter_calls_interval", "leases", ""},
		{"", role, steady, "calls of one gateway", callsPerRequest * target.RequestsPerS / target.Gateways, "a second", 0, noBudget, "counter_calls_interval", "leases", ""},
		{"", role, steady, "calls of all gateways", callsPerRequest * target.RequestsPerS, "a second", 0, noBudget, "counter_calls_interval", "leases", ""},
	}
}

func (m Model) membership() []Estimate {
	target, slopes := m.Target, m.Slopes
	const role, steady = "membership, of a gateway", "steady state"
	datagramsPerS := slopes.At("member_datagrams_sent", target.Gateways)
	const periodSeconds, suspicionPeriods = 0.4, 4.0
	return []Estimate{
		{"", role, steady, "network, both ways", m.memberBytes(), "B/s", target.GatewayBytesPerS, budgetByTarget, "member_bytes_sent", "constant by members", ""},
		{"", role, steady, "datagrams taken in", datagramsPerS, "a second", maxDatagramsPerS, budgetByProgram, "member_datagrams_sent", "constant by members", ""},
		{"", role, steady, "memory", slopes.At("member_bytes", target.Gateways), "B", target.GatewayBytes, budgetByTarget, "member_bytes", "an entry for each", ""},
		{"", role, steady, "processor time", slopes.At("member_us", target.Gateways) / 1e6, "cores", target.GatewayCores, budgetByTarget, "member_us", "one member asked in a period", ""},
		{"", role, "a gateway goes", "least time from suspicion to death", periodSeconds * suspicionPeriods * math.Log10(target.Gateways), "s", target.PropagationSeconds, budgetByTarget, "4 log10(n) periods", "suspicion", ""},
		{"", role, "a gateway is added", "gateways that have to start anew, as `peers` names all", target.Gateways, "gateways", 1, budgetByProgram, "configuration.md, peers", noMechanism, "members that are told, not configured"},
	}
}

func (m Model) tool() []Estimate {
	target, slopes, assumption := m.Target, m.Slopes, m.Assumptions.Value
	const role = "operators' tool"
	viewBytes := slopes.At("view_bytes_backend", backendsPerDrainQuery)
	drainsPerS := target.RestartsPerDay * assumption(drainedFraction) / secondsPerDay
	return []Estimate{
		{"", role, "a drain", "calls to gateways", target.Gateways * assumption(queriesPerDrain), "calls", 0, noBudget, "permits.go", "all at once", ""},
		{"", role, "a drain", "bytes of one gateway's answer", viewBytes, "B", maxToolAnswerBytes, budgetByProgram, "view_bytes_backend", "it asks for one backend", ""},
		{"drains", role, "80,000 restarts a day, a tenth by `drain`", "network of one gateway for them, mean", drainsPerS * assumption(queriesPerDrain) * viewBytes, "B/s", target.GatewayBytesPerS, budgetByTarget, "view_bytes_backend", "it asks for one backend", ""},
	}
}

// MissingEstimates returns lower bounds of the costs of functions that the program does not have.
func (m Model) MissingEstimates() []Estimate {
	target, assumption := m.Target, m.Assumptions.Value
	serviceFraction := assumption(servicesPerGateway) / target.Services
	changesPerS := target.ConfigurationChangesPerDay / secondsPerDay
	peakBytesPerS := changesPerS * assumption(peakOverMean) * assumption(configurationBytes)
	routeTableBytes := target.Routes * assumption(routeBytes)
	return []Estimate{
		{"all routes", "routes in a gateway", "steady state", "memory, all routes", routeTableBytes, "B", target.GatewayBytes, budgetByTarget, "bytes_of_a_route", noMechanism, "routes by service"},
		{"its routes", "routes in a gateway", "steady state", "memory, those of its services", routeTableBytes * serviceFraction, "B", target.GatewayBytes, budgetByTarget, "bytes_of_a_route, services_of_a_gateway", noMechanism, "routes by service"},
		{"", "routes in a gateway", "a start", "time for those of its services within the budget of the network", routeTableBytes * serviceFraction / target.GatewayBytesPerS, "s", target.PropagationSeconds, budgetByTarget, "bytes_of_a_route, services_of_a_gateway", noMechanism, "routes by service"},
		{"", "spreading of configuration", "29,000 changes a day", "changes at the peak", changesPerS * assumption(peakOverMean), "a second", 0, noBudget, "peak_over_mean_changes", "a file and SIGHUP", "a watch of configuration"},
		{"", "spreading of configuration", "29,000 changes a day", "network by whole files, as SIGHUP needs them, mean", changesPerS * routeTableBytes, "B/s", target.GatewayBytesPerS, budgetByTarget, "bytes_of_a_route", "a file and SIGHUP", "a watch of configuration"},
		{"configuration network", "spreading of configuration", "29,000 changes a day", "network by changes, all, at the peak", peakBytesPerS, "B/s", target.GatewayBytesPerS, budgetByTarget, "bytes_of_a_configuration_change", noMechanism, "a watch of configuration"},
		{"", "spreading of configuration", "29,000 changes a day", "network by changes, those of its services, at the peak", peakBytesPerS * serviceFraction, "B/s", target.GatewayBytesPerS, budgetByTarget, "bytes_of_a_configuration_change, services_of_a_gateway", noMechanism, "a watch of configuration"},
		{"", "spreading of configuration", "29,000 changes a day", "calls by an operator's tool to all gateways, mean", changesPerS * target.Gateways, "a second", 0, noBudget, "none: one for each change and gateway", noMechanism, "a watch of configuration"},
	}
}

// Table returns estimates as a Markdown table of the page.
func Table(estimates []Estimate) string {
	var b strings.Builder
	b.WriteString("| role | event | quantity | at the target | budget | ratio | rests on | carried by |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, e := range estimates {
		fmt.Fprintf(&b, "| %s | %s | %s | %s %s | %s | %s | %s | %s |\n", e.Role, e.Event, e.label(), Number(e.Value), e.Unit, e.budget(), e.ratio(), e.Sources, e.Mechanism)
	}
	return b.String()
}

// label returns the quantity, with the key that the table of assumptions uses.
func (e Estimate) label() string {
	if e.Key == "" {
		return e.Quantity
	}
	return fmt.Sprintf("%s (`%s`)", e.Quantity, e.Key)
}

func (e Estimate) budget() string {
	if e.Budget == 0 {
		return noBudget
	}
	return fmt.Sprintf("%s (%s)", Number(e.Budget), e.BudgetOrigin)
}

func (e Estimate) ratio() string {
	if e.Budget == 0 {
		return "-"
	}
	return Number(e.Ratio())
}

// Ranking returns the estimates that exceed their budgets as a Markdown table, those with a budget
// of the target first, and by descending ratio.
func Ranking(estimates []Estimate) string {
	var exceeded []Estimate
	for _, e := range estimates {
		if e.Ratio() > 1 {
			exceeded = append(exceeded, e)
		}
	}
	order := []string{budgetByTarget, budgetByMachine, budgetByProgram}
	slices.SortStableFunc(exceeded, func(a, b Estimate) int {
		return cmp.Or(cmp.Compare(slices.Index(order, a.BudgetOrigin), slices.Index(order, b.BudgetOrigin)), cmp.Compare(b.Ratio(), a.Ratio()))
	})
	var b strings.Builder
	b.WriteString("| ratio | role | event | quantity | budget by | what is missing |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, e := range exceeded {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s |\n", e.ratio(), e.Role, e.Event, e.Quantity, e.BudgetOrigin, cmp.Or(e.MissingMechanism, noMechanism))
	}
	return b.String()
}
