// Package capacity estimates what control costs at a target size from assumptions and from slopes
// that are measured at smaller sizes. It reads and writes the tables of docs/CAPACITY.md, which
// tests compare with the program and with this model.
package capacity

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// Target is the size that the system has to support, and its budgets.
type Target struct {
	Gateways, Backends, Services float64
	Routes, Tenants              float64
	RequestsPerS                 float64 // at the peak
	Regions, Zones               float64
	ConfigurationChangesPerDay   float64
	RestartsPerDay               float64
	FailuresPerDay               float64
	ZoneBackends                 float64 // in one zone

	AddedLatencySeconds float64 // by the gateway to a request, 99th percentile
	PropagationSeconds  float64 // until a change is active at all gateways
	GatewayCores        float64 // of each gateway, for control
	GatewayBytes        float64 // memory of each gateway for control
	GatewayBytesPerS    float64 // network of each gateway for control
	ControlMachines     float64
}

// DefaultTarget returns the target of the capacity page.
func DefaultTarget() Target {
	return Target{
		Gateways: 8_700, Backends: 200_000, Services: 11_000,
		Routes: 190_000, Tenants: 910_000, RequestsPerS: 4_900_000,
		Regions: 9, Zones: 27,
		ConfigurationChangesPerDay: 29_000, RestartsPerDay: 80_000, FailuresPerDay: 330, ZoneBackends: 7_400,
		AddedLatencySeconds: 0.0056, PropagationSeconds: 13,
		GatewayCores: 0.011, GatewayBytes: 32e6, GatewayBytesPerS: 18e3,
		ControlMachines: 24,
	}
}

// Assumption is a parameter that the target does not state.
type Assumption struct {
	Name        string
	Value       float64
	Description string
}

// Assumptions are the assumptions in the order of the page.
type Assumptions []Assumption

// Names of assumptions on the page.
const (
	peakOverMean       = "peak_over_mean_changes"
	requestSkew        = "request_skew"
	changesPerRestart  = "changes_per_restart"
	servicesPerGateway = "services_of_a_gateway"
	largestService     = "largest_service"
	gatewaysPerTenant  = "gateways_of_a_tenant"
	rackBackends       = "rack_backends"
	renewalsPerLease   = "renewals_per_lease"
	leaseSeconds       = "lease_seconds"
	outageSeconds      = "cut_seconds"
	drainedFraction    = "restarts_by_drain"
	queriesPerDrain    = "asks_per_drain"
	groupMachines      = "machines_of_the_group"
	machineCores       = "cores_of_a_control_machine"
	machineBytes       = "memory_of_a_control_machine"
	machineBytesPerS   = "network_of_a_control_machine"
	routeBytes         = "bytes_of_a_route"
	configurationBytes = "bytes_of_a_configuration_change"
	subsetSize         = "subset_size"
)

// DefaultAssumptions returns the assumptions of the page.
func DefaultAssumptions() Assumptions {
	return Assumptions{
		{peakOverMean, 10, "changes in the busiest minutes over the mean of the day: releases go in working hours, in waves"},
		{requestSkew, 2, "requests of the busiest gateway over the mean"},
		{changesPerRestart, 3, "of the list: it drains, it leaves, its successor registers"},
		{servicesPerGateway, 1_100, "that the routes of one gateway name, drawn evenly from all: a tenth"},
		{largestService, 20_000, "backends; the k-th largest service has a k-th of it (Zipf), which makes 200,000 of 11,000"},
		{gatewaysPerTenant, 16, "gateways that one tenant's requests come to"},
		{rackBackends, 80, "backends in a rack or behind a switch"},
		{renewalsPerLease, 3, "as README advises"},
		{leaseSeconds, 10, "as the list service ships"},
		{outageSeconds, 3_600, "for which a region is cut off"},
		{drainedFraction, 0.1, "share of restarts for which `dunlintray drain` is called; the others say so themselves"},
		{queriesPerDrain, 2, "rounds in which it asks all gateways"},
		{groupMachines, 3, "of the control machines hold the group that agrees on the list; the others serve readers"},
		{machineCores, 8, "cores"},
		{machineBytes, 16e9, "B"},
		{machineBytesPerS, 125e6, "B a second (1 Gb/s)"},
		{routeBytes, 200, "B in a gateway's memory, and on the way to it"},
		{configurationBytes, 2_000, "B on the way to a gateway"},
		{subsetSize, 100, "backends of one service and region that a gateway uses"},
	}
}

// Value returns the value of an assumption. It panics if there is none of that name.
func (a Assumptions) Value(name string) float64 {
	for _, assumption := range a {
		if assumption.Name == name {
			return assumption.Value
		}
	}
	panic("no assumption " + name)
}

// With returns a copy of the assumptions with another value for one of them.
func (a Assumptions) With(name string, value float64) Assumptions {
	changed := append(Assumptions(nil), a...)
	for n := range changed {
		if changed[n].Name == name {
			changed[n].Value = value
		}
	}
	return changed
}

// Table returns the assumptions as a Markdown table of the page, each with the keyed estimates that
// change by 2 % or more when it is doubled.
func (a Assumptions) Table(target Target, slopes Slopes) string {
	var b strings.Builder
	b.WriteString("| assumption | value | what it is | doubled, these figures move by a factor of |\n| --- | --- | --- | --- |\n")
	const minSensitivity = 0.02
	estimates := func(assumptions Assumptions) []Estimate {
		model := Model{target, assumptions, slopes}
		return slices.Concat(model.Estimates(), model.ScopedEstimates(), model.MissingEstimates())
	}
	base := estimates(a)
	for _, assumption := range a {
		var moves []string
		doubled := estimates(a.With(assumption.Name, 2*assumption.Value))
		for n, estimate := range base {
			if ratio := doubled[n].Value / estimate.Value; estimate.Key != "" && math.Abs(ratio-1) >= minSensitivity {
				moves = append(moves, fmt.Sprintf("%s %s", estimate.Key, Number(ratio)))
			}
		}
		if len(moves) == 0 {
			moves = []string{"none; ratios alone, or rows without a name"}
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", assumption.Name, Number(assumption.Value), assumption.Description, strings.Join(moves, ", "))
	}
	return b.String()
}
