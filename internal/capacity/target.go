// Package capacity works out what the program costs at a size that it has not run at: from
// a target, assumptions about it, and slopes that were measured at smaller sizes. It reads
// and writes the tables of docs/CAPACITY.md, which tests hold to the program and to this
// arithmetic.
package capacity

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// Target is the size that the system has to carry, and its budgets.
type Target struct {
	Gateways, Backends, Services float64
	Routes, Tenants              float64
	RequestsPerS                 float64 // at the peak
	Regions, Zones               float64
	ConfigurationChangesPerDay   float64
	RestartsPerDay               float64
	FailuresPerDay               float64
	ZoneBackends                 float64 // that go with a zone

	AddedSeconds     float64 // by the gateway to a request, for 99 in 100
	InForceSeconds   float64 // until a change is in force everywhere
	GatewayCores     float64 // for control, of each gateway
	GatewayBytes     float64 // of memory for control
	GatewayBytesPerS float64 // on the network for control
	ControlMachines  float64
}

// DefaultTarget is the size of issue 35.
func DefaultTarget() Target {
	return Target{
		Gateways: 8_700, Backends: 200_000, Services: 11_000,
		Routes: 190_000, Tenants: 910_000, RequestsPerS: 4_900_000,
		Regions: 9, Zones: 27,
		ConfigurationChangesPerDay: 29_000, RestartsPerDay: 80_000, FailuresPerDay: 330, ZoneBackends: 7_400,
		AddedSeconds: 0.0056, InForceSeconds: 13,
		GatewayCores: 0.011, GatewayBytes: 32e6, GatewayBytesPerS: 18e3,
		ControlMachines: 24,
	}
}

// Assumption is a number that the target does not state.
type Assumption struct {
	Name  string
	Value float64
	Means string
}

// Assumptions are all of them, by name, in the order of the page.
type Assumptions []Assumption

// Names of assumptions.
const (
	peakOverMean       = "peak_over_mean_changes"
	requestSkew        = "request_skew"
	changesPerRestart  = "changes_per_restart"
	servicesOfGateway  = "services_of_a_gateway"
	largestService     = "largest_service"
	gatewaysOfTenant   = "gateways_of_a_tenant"
	rackBackends       = "rack_backends"
	renewalsPerLease   = "renewals_per_lease"
	leaseSeconds       = "lease_seconds"
	cutSeconds         = "cut_seconds"
	drainedByTool      = "restarts_by_drain"
	asksPerDrain       = "asks_per_drain"
	groupMachines      = "machines_of_the_group"
	machineCores       = "cores_of_a_control_machine"
	machineBytes       = "memory_of_a_control_machine"
	machineBytesPerS   = "network_of_a_control_machine"
	routeBytes         = "bytes_of_a_route"
	configurationBytes = "bytes_of_a_configuration_change"
	subsetSize         = "subset_size"
)

// DefaultAssumptions are those of the page.
func DefaultAssumptions() Assumptions {
	return Assumptions{
		{peakOverMean, 10, "changes in the busiest minutes over the mean of the day: releases go in working hours, in waves"},
		{requestSkew, 2, "requests of the busiest gateway over the mean"},
		{changesPerRestart, 3, "of the list: it drains, it leaves, its successor registers"},
		{servicesOfGateway, 1_100, "that the routes of one gateway name, drawn evenly from all: a tenth"},
		{largestService, 20_000, "backends; the k-th largest service has a k-th of it (Zipf), which makes 200,000 of 11,000"},
		{gatewaysOfTenant, 16, "gateways that one tenant's requests come to"},
		{rackBackends, 80, "backends in a rack or behind a switch"},
		{renewalsPerLease, 3, "as README advises"},
		{leaseSeconds, 10, "as the list service ships"},
		{cutSeconds, 3_600, "for which a region is cut off"},
		{drainedByTool, 0.1, "share of restarts for which `dunlintray drain` is called; the others say so themselves"},
		{asksPerDrain, 2, "rounds in which it asks all gateways"},
		{groupMachines, 3, "of the control machines hold the group that agrees on the list; the others serve readers"},
		{machineCores, 8, "cores"},
		{machineBytes, 16e9, "B"},
		{machineBytesPerS, 125e6, "B a second (1 Gb/s)"},
		{routeBytes, 200, "B in a gateway's memory, and on the way to it"},
		{configurationBytes, 2_000, "B on the way to a gateway"},
		{subsetSize, 100, "backends of one service and region that a gateway uses"},
	}
}

// Value returns an assumption by its name.
func (a Assumptions) Value(name string) float64 {
	for _, x := range a {
		if x.Name == name {
			return x.Value
		}
	}
	panic("no assumption " + name)
}

// With returns the assumptions with one at another value.
func (a Assumptions) With(name string, value float64) Assumptions {
	other := append(Assumptions(nil), a...)
	for n := range other {
		if other[n].Name == name {
			other[n].Value = value
		}
	}
	return other
}

// Table is the page's table of assumptions: each with the figures that move by 2% or more
// when it is doubled.
func (a Assumptions) Table(target Target, slopes Slopes) string {
	var b strings.Builder
	b.WriteString("| assumption | value | what it is | doubled, these figures move by a factor of |\n| --- | --- | --- | --- |\n")
	figures := func(a Assumptions) []Figure {
		m := Model{target, a, slopes}
		return slices.Concat(m.Figures(), m.Scoped(), m.Missing())
	}
	base := figures(a)
	for _, x := range a {
		var moves []string
		doubled := figures(a.With(x.Name, 2*x.Value))
		for n, f := range base {
			if ratio := doubled[n].Value / f.Value; f.Key != "" && math.Abs(ratio-1) >= 0.02 {
				moves = append(moves, fmt.Sprintf("%s %s", f.Key, Number(ratio)))
			}
		}
		if len(moves) == 0 {
			moves = []string{"none; ratios alone, or rows without a name"}
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", x.Name, Number(x.Value), x.Means, strings.Join(moves, ", "))
	}
	return b.String()
}
