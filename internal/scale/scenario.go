// Package scale measures the cost of the control plane as a fleet grows. It runs real registry
// processes and a few real gateways next to hollow gateways and backends, which share
// processes, run the real client code and carry no traffic.
package scale

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"dunlintray/internal/scenario"
)

// Duration is a time span that scenarios write as a string such as "250ms".
type Duration = scenario.Duration

// Scenario describes a fleet, its load and the faults that occur during a run.
type Scenario struct {
	Name   string   `toml:"name" json:"name"`
	Seed   uint64   `toml:"seed" json:"seed"`
	Length Duration `toml:"length" json:"length"` // of the measurement, during which backends restart
	Quiet  Duration `toml:"quiet" json:"quiet"`   // maximum time after the measurement until all gateways match the writer's list

	Fleet   Fleet    `toml:"fleet" json:"fleet"`
	Changes Changes  `toml:"changes" json:"changes"`
	Reading Reading  `toml:"reading" json:"reading"`
	Hosts   Hosts    `toml:"hosts" json:"hosts"`
	Faults  []*Fault `toml:"fault" json:"faults,omitempty"`
}

// Fleet describes the processes, hollow gateways and hollow backends of a run.
type Fleet struct {
	Members      int      `toml:"members" json:"members"`     // registry processes that form the consensus group: 1, 3 or 5
	Followers    int      `toml:"followers" json:"followers"` // registry followers per region; 0: gateways read from the members
	Regions      int      `toml:"regions" json:"regions"`
	Zones        int      `toml:"zones" json:"zones"` // per region
	Gateways     int      `toml:"gateways" json:"gateways"`
	RealGateways int      `toml:"real_gateways" json:"realGateways"` // gateway processes that serve requests
	Backends     int      `toml:"backends" json:"backends"`
	Services     int      `toml:"services" json:"services"` // over which the backends are distributed
	Membership   bool     `toml:"membership" json:"membership"`
	Lease        Duration `toml:"lease" json:"lease"` // of a backend, which renews it three times per lease period
}

// Changes configures restarts of backends. A restart makes three changes of the list: the
// backend drains, leaves and registers again.
type Changes struct {
	PerS     float64  `toml:"per_s" json:"perS"`         // changes of the list per second
	Drain    Duration `toml:"drain" json:"drain"`        // time between draining and leaving
	Down     Duration `toml:"down" json:"down"`          // time between leaving and registering
	Requests float64  `toml:"requests" json:"requests"`  // requests per second, over all real gateways
	Register float64  `toml:"register" json:"registerS"` // registrations per second at the start of the run
}

// Reading configures the part of the list that a gateway reads.
type Reading struct {
	Services int    `toml:"services" json:"services"` // services per gateway; 0: the whole list
	Within   string `toml:"within" json:"within"`     // WithinAll, WithinRegion or WithinZone
	Subset   int    `toml:"subset" json:"subset"`     // backends that a gateway selects from those that it reads; 0: all
}

// Hosts limits the processes that run hollow gateways and backends.
type Hosts struct {
	Gateways    int `toml:"gateways" json:"gateways"` // maximum per process
	Backends    int `toml:"backends" json:"backends"`
	Connections int `toml:"connections" json:"connections"` // maximum connections from one backend process to the registry
}

// Values of Reading.Within: where the backends that a gateway reads are located, relative to
// the gateway.
const (
	WithinAll    = "all"
	WithinRegion = "region"
	WithinZone   = "zone"
)

// Fault is one fault of a run. It begins at At after the start of the measurement and lasts
// for For.
type Fault struct {
	Kind string   `toml:"kind" json:"kind"`
	At   Duration `toml:"at" json:"at"`
	For  Duration `toml:"for" json:"for"`

	Gateways    int     `toml:"gateways,omitempty" json:"gateways,omitempty"` // rack: number of gateways
	Backends    int     `toml:"backends,omitempty" json:"backends,omitempty"` // rack: number of backends
	Zone        string  `toml:"zone,omitempty" json:"zone,omitempty"`
	Region      string  `toml:"region,omitempty" json:"region,omitempty"`
	Process     string  `toml:"who,omitempty" json:"who,omitempty"`            // kill: name of the registry process, or "writer"
	ChangesPerS float64 `toml:"changes_per_s,omitempty" json:"perS,omitempty"` // restarts: changes of the list per second
}

// Values of Fault.Kind.
const (
	FaultRack      = "rack"       // a number of gateways and backends stop together, then start again
	FaultZone      = "zone"       // the gateways and backends of a zone stop together, then start again
	FaultRegionCut = "region_cut" // a region's followers lose their connection to the members
	FaultRestarts  = "restarts"   // backends restart at another rate
	FaultKill      = "kill"       // a registry process is killed, then started again
	FaultGateways  = "gateways"   // all hollow gateways, or those of a region, stop and start again together
)

// faultDescriptions maps each fault kind to its description.
var faultDescriptions = map[string]string{
	FaultRack:      "a number of hollow gateways and backends stop at once, and start again after for",
	FaultZone:      "the hollow gateways and backends of a zone stop at once, and start again after for",
	FaultRegionCut: "nothing passes between the followers of a region and the group",
	FaultRestarts:  "backends restart at another rate",
	FaultKill:      "the list service that who names (writer, member1, r0-follower0) is killed, and started again after for",
	FaultGateways:  "the hollow gateways of a region, or of all, stop at once, and start again after for",
}

// Limits of a scenario.
const (
	maxHollowGateways = 1 << 16 // the membership protocol numbers gateways with 16 bits
	maxHollowBackends = 1 << 20
	maxProcesses      = 200
	maxLength         = time.Hour
	minLease          = 500 * time.Millisecond // minimum that the registry accepts
	maxLease          = 10 * time.Minute
	maxTextBytes      = 1 << 20 // size of a scenario file
	changesPerRestart = 3       // drain, leave and register
)

// Default returns the scenario of a small fleet.
func Default() Scenario {
	const second = Duration(time.Second)
	return Scenario{Name: "default", Seed: 1, Length: 10 * second, Quiet: 15 * second,
		Fleet:   Fleet{Members: 3, Followers: 1, Regions: 1, Zones: 3, Gateways: 30, Backends: 300, Services: 10, Lease: 10 * second},
		Changes: Changes{PerS: 10, Drain: second, Down: second, Requests: 20, Register: 500},
		Reading: Reading{Within: WithinAll},
		Hosts:   Hosts{Gateways: 100, Backends: 2500, Connections: 32}}
}

// Parse reads a scenario in TOML and checks it. Missing keys have the values of Default. name
// appears in errors.
func Parse(name string, text []byte) (*Scenario, error) {
	if len(text) > maxTextBytes {
		return nil, fmt.Errorf("%s: scenario of %d bytes exceeds the limit of %d", name, len(text), maxTextBytes)
	}
	parsed := Default()
	if err := scenario.Decode(name, text, &parsed); err != nil {
		return nil, err
	}
	if err := parsed.Check(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return &parsed, nil
}

// Check returns the errors of all invalid values, joined. It does not check whether this
// machine can run the scenario; see CheckResources.
func (s *Scenario) Check() error {
	var problems []error
	require := func(ok bool, format string, args ...any) {
		if !ok {
			problems = append(problems, fmt.Errorf(format, args...))
		}
	}
	fleet := &s.Fleet
	require(s.Length > 0 && s.Length.Std() <= maxLength, "length: %v is not from 1ns to %v", s.Length, maxLength)
	require(s.Quiet > 0 && s.Quiet.Std() <= maxLength, "quiet: %v is not from 1ns to %v", s.Quiet, maxLength)
	require(fleet.Members == 1 || fleet.Members == 3 || fleet.Members == 5, "fleet.members: %d is not 1, 3 or 5", fleet.Members)
	require(fleet.Followers >= 0, "fleet.followers: %d is below 0", fleet.Followers)
	require(fleet.Regions >= 1, "fleet.regions: %d is below 1", fleet.Regions)
	require(fleet.Zones >= 1, "fleet.zones: %d is below 1", fleet.Zones)
	require(fleet.Gateways >= 1 && fleet.Gateways <= maxHollowGateways, "fleet.gateways: %d is not from 1 to %d", fleet.Gateways, maxHollowGateways)
	require(fleet.RealGateways >= 0, "fleet.real_gateways: %d is below 0", fleet.RealGateways)
	require(fleet.Backends >= 1 && fleet.Backends <= maxHollowBackends, "fleet.backends: %d is not from 1 to %d", fleet.Backends, maxHollowBackends)
	require(fleet.Services >= 1 && fleet.Services <= fleet.Backends, "fleet.services: %d is not from 1 to the %d backends", fleet.Services, fleet.Backends)
	require(fleet.Lease.Std() >= minLease && fleet.Lease.Std() <= maxLease, "fleet.lease: %v is not from %v to %v", fleet.Lease, minLease, maxLease)
	changes := &s.Changes
	require(changes.PerS >= 0, "changes.per_s: %g is below 0", changes.PerS)
	require(changes.Drain >= 0 && changes.Down >= 0, "changes: drain %v and down %v must not be below 0", changes.Drain, changes.Down)
	require(changes.Requests >= 0, "changes.requests: %g is below 0", changes.Requests)
	require(changes.Register > 0, "changes.register: %g is not above 0", changes.Register)
	reading := &s.Reading
	require(reading.Services >= 0 && reading.Services <= fleet.Services, "reading.services: %d is not from 0 to the %d services", reading.Services, fleet.Services)
	require(slices.Contains([]string{WithinAll, WithinRegion, WithinZone}, reading.Within), "reading.within: %q is not %s, %s or %s", reading.Within, WithinAll, WithinRegion, WithinZone)
	require(reading.Services > 0 || reading.Within == WithinAll, "reading.within: %q needs reading.services", reading.Within)
	require(reading.Subset >= 0 && (reading.Subset == 0 || reading.Services > 0), "reading.subset: %d needs reading.services, and is not below 0", reading.Subset)
	hosts := &s.Hosts
	require(hosts.Gateways >= 1 && hosts.Backends >= 1 && hosts.Connections >= 1, "hosts: gateways %d, backends %d and connections %d must each be at least 1", hosts.Gateways, hosts.Backends, hosts.Connections)
	for n, fault := range s.Faults {
		if err := s.checkFault(fault); err != nil {
			problems = append(problems, fmt.Errorf("fault[%d]: %w", n, err))
		}
	}
	return errors.Join(problems...)
}

func (s *Scenario) checkFault(fault *Fault) error {
	if _, known := faultDescriptions[fault.Kind]; !known {
		return fmt.Errorf("kind: unknown fault %q", fault.Kind)
	}
	if fault.At < 0 || fault.For <= 0 || fault.At+fault.For > s.Length {
		return fmt.Errorf("%s: at %v for %v is not within the length of %v", fault.Kind, fault.At, fault.For, s.Length)
	}
	switch fault.Kind {
	case FaultRack:
		if fault.Gateways < 0 || fault.Gateways > s.Fleet.Gateways || fault.Backends < 0 || fault.Backends > s.Fleet.Backends || fault.Gateways+fault.Backends == 0 {
			return fmt.Errorf("rack: %d gateways and %d backends are none or more than there are", fault.Gateways, fault.Backends)
		}
	case FaultZone:
		if !slices.Contains(s.zoneNames(), fault.Zone) {
			return fmt.Errorf("zone: %q is not one of %s", fault.Zone, strings.Join(s.zoneNames(), ", "))
		}
	case FaultRegionCut:
		if s.Fleet.Followers == 0 {
			return errors.New("region_cut: there are no followers to cut off")
		}
		if !slices.Contains(s.regionNames(), fault.Region) {
			return fmt.Errorf("region: %q is not one of %s", fault.Region, strings.Join(s.regionNames(), ", "))
		}
	case FaultGateways:
		if fault.Region != "" && !slices.Contains(s.regionNames(), fault.Region) {
			return fmt.Errorf("region: %q is not one of %s", fault.Region, strings.Join(s.regionNames(), ", "))
		}
	case FaultRestarts:
		if fault.ChangesPerS < 0 {
			return fmt.Errorf("changes_per_s: %g is below 0", fault.ChangesPerS)
		}
	case FaultKill:
		if fault.Process != processWriter && !slices.Contains(s.serviceNames(), fault.Process) {
			return fmt.Errorf("who: %q is not %s or one of %s", fault.Process, processWriter, strings.Join(s.serviceNames(), ", "))
		}
	}
	return nil
}

// processWriter is the Fault.Process of the member that is the writer when the fault begins.
const processWriter = "writer"

func regionName(region int) string     { return fmt.Sprintf("r%d", region) }
func zoneName(region, zone int) string { return fmt.Sprintf("r%dz%d", region, zone) }
func serviceName(service int) string   { return fmt.Sprintf("s%d", service) }
func memberName(member int) string     { return fmt.Sprintf("member%d", member) }
func followerName(region, follower int) string {
	return fmt.Sprintf("r%d-follower%d", region, follower)
}

func (s *Scenario) regionNames() (all []string) {
	for region := range s.Fleet.Regions {
		all = append(all, regionName(region))
	}
	return all
}

// zoneNames returns the names of all zones: the first zone of each region, then the second of
// each, so that round-robin placement spreads over regions first.
func (s *Scenario) zoneNames() (all []string) {
	for zone := range s.Fleet.Zones {
		for region := range s.Fleet.Regions {
			all = append(all, zoneName(region, zone))
		}
	}
	return all
}

func (s *Scenario) serviceNames() (all []string) {
	for member := range s.Fleet.Members {
		all = append(all, memberName(member))
	}
	for region := range s.Fleet.Regions {
		for follower := range s.Fleet.Followers {
			all = append(all, followerName(region, follower))
		}
	}
	return all
}
