// Package scale measures what control costs as a fleet grows: real list services, a few
// real gateways, and hollow gateways and backends, many in one process, that run the
// real client code and take no traffic.
package scale

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"dunlintray/internal/scenario"
)

// Duration is written as in the scenarios of the emulator: "250ms".
type Duration = scenario.Duration

// Scenario is one fleet and what happens on it.
type Scenario struct {
	Name   string   `toml:"name" json:"name"`
	Seed   uint64   `toml:"seed" json:"seed"`
	Length Duration `toml:"length" json:"length"` // of the measurement, while backends restart
	Quiet  Duration `toml:"quiet" json:"quiet"`   // at most, after it, until all readers hold the writer's list

	Fleet   Fleet    `toml:"fleet" json:"fleet"`
	Changes Changes  `toml:"changes" json:"changes"`
	Reading Reading  `toml:"reading" json:"reading"`
	Hosts   Hosts    `toml:"hosts" json:"hosts"`
	Faults  []*Fault `toml:"fault" json:"faults,omitempty"`
}

// Fleet is what there is.
type Fleet struct {
	Members      int      `toml:"members" json:"members"`     // list services that agree on the list: 1, 3 or 5
	Followers    int      `toml:"followers" json:"followers"` // in each region; 0: gateways read from the members
	Regions      int      `toml:"regions" json:"regions"`
	Zones        int      `toml:"zones" json:"zones"` // in each region
	Gateways     int      `toml:"gateways" json:"gateways"`
	RealGateways int      `toml:"real_gateways" json:"realGateways"` // processes that serve requests
	Backends     int      `toml:"backends" json:"backends"`
	Services     int      `toml:"services" json:"services"` // that the backends are spread over
	Membership   bool     `toml:"membership" json:"membership"`
	Lease        Duration `toml:"lease" json:"lease"` // of a backend, which renews it three times in each
}

// Changes are the restarts of backends. Each is three changes of the list: one drains,
// leaves, and registers anew.
type Changes struct {
	PerS     float64  `toml:"per_s" json:"perS"`         // of the list
	Drain    Duration `toml:"drain" json:"drain"`        // between draining and leaving
	Down     Duration `toml:"down" json:"down"`          // between leaving and registering
	Requests float64  `toml:"requests" json:"requests"`  // a second, at all real gateways together
	Register float64  `toml:"register" json:"registerS"` // registrations a second at the start
}

// Reading is which part of the list a gateway reads.
type Reading struct {
	Services int    `toml:"services" json:"services"` // that each gateway reads; 0: the whole list
	Within   string `toml:"within" json:"within"`     // all, region or zone: of the backends of a service, those that a gateway reads
	Subset   int    `toml:"subset" json:"subset"`     // backends of them that a gateway uses; 0: all
}

// Hosts are the processes that hollow gateways and backends live in.
type Hosts struct {
	Gateways    int `toml:"gateways" json:"gateways"` // in one process, at most
	Backends    int `toml:"backends" json:"backends"`
	Connections int `toml:"connections" json:"connections"` // of the backends of one process to the list service
}

// The parts of a service's backends that a gateway can read.
const (
	WithinAll    = "all"
	WithinRegion = "region"
	WithinZone   = "zone"
)

// Fault is one thing that goes wrong.
type Fault struct {
	Kind string   `toml:"kind" json:"kind"`
	At   Duration `toml:"at" json:"at"`
	For  Duration `toml:"for" json:"for"`

	Gateways    int     `toml:"gateways,omitempty" json:"gateways,omitempty"` // of a rack
	Backends    int     `toml:"backends,omitempty" json:"backends,omitempty"` // of a rack
	Zone        string  `toml:"zone,omitempty" json:"zone,omitempty"`
	Region      string  `toml:"region,omitempty" json:"region,omitempty"`
	Process     string  `toml:"who,omitempty" json:"who,omitempty"`            // the process that is killed
	ChangesPerS float64 `toml:"changes_per_s,omitempty" json:"perS,omitempty"` // of restarts
}

// The kinds of faults.
const (
	FaultRack      = "rack"       // gateways and backends stop at once, and start again
	FaultZone      = "zone"       // those of a zone do
	FaultRegionCut = "region_cut" // nothing passes between the followers of a region and the group
	FaultRestarts  = "restarts"   // backends restart at another rate
	FaultKill      = "kill"       // a list service is killed, and started again
	FaultGateways  = "gateways"   // all hollow gateways of a region, or of all, end and start again at once
)

// faultKinds tells what each kind is.
var faultDescriptions = map[string]string{
	FaultRack:      "a number of hollow gateways and backends stop at once, and start again after for",
	FaultZone:      "the hollow gateways and backends of a zone stop at once, and start again after for",
	FaultRegionCut: "nothing passes between the followers of a region and the group",
	FaultRestarts:  "backends restart at another rate",
	FaultKill:      "the list service that who names (writer, member1, r0-follower0) is killed, and started again after for",
	FaultGateways:  "the hollow gateways of a region, or of all, stop at once, and start again after for",
}

// Bounds of what a scenario may ask.
const (
	maxHollowGateways = 1 << 16 // the membership numbers gateways with 16 bits
	maxHollowBackends = 1 << 20
	maxProcesses      = 200
	maxLength         = time.Hour
	minLease          = 500 * time.Millisecond // of the list services
	maxLease          = 10 * time.Minute
	maxTextBytes      = 1 << 20 // bytes of a scenario
	changesPerRestart = 3       // changes of the list for a restart
)

// Default is a small fleet.
func Default() Scenario {
	const second = Duration(time.Second)
	return Scenario{Name: "default", Seed: 1, Length: 10 * second, Quiet: 15 * second,
		Fleet:   Fleet{Members: 3, Followers: 1, Regions: 1, Zones: 3, Gateways: 30, Backends: 300, Services: 10, Lease: 10 * second},
		Changes: Changes{PerS: 10, Drain: second, Down: second, Requests: 20, Register: 500},
		Reading: Reading{Within: WithinAll},
		Hosts:   Hosts{Gateways: 100, Backends: 2500, Connections: 32}}
}

// Parse reads a scenario; what it leaves out is as in Default.
func Parse(name string, text []byte) (*Scenario, error) {
	if len(text) > maxTextBytes {
		return nil, fmt.Errorf("%s: %d bytes are no scenario", name, len(text))
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

// Check finds what can't be run on any machine.
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
	require(fleet.Regions >= 1, "fleet.regions: %d is none", fleet.Regions)
	require(fleet.Zones >= 1, "fleet.zones: %d is none", fleet.Zones)
	require(fleet.Gateways >= 1 && fleet.Gateways <= maxHollowGateways, "fleet.gateways: %d is not from 1 to %d", fleet.Gateways, maxHollowGateways)
	require(fleet.RealGateways >= 0, "fleet.real_gateways: %d is below 0", fleet.RealGateways)
	require(fleet.Backends >= 1 && fleet.Backends <= maxHollowBackends, "fleet.backends: %d is not from 1 to %d", fleet.Backends, maxHollowBackends)
	require(fleet.Services >= 1 && fleet.Services <= fleet.Backends, "fleet.services: %d is not from 1 to the %d backends", fleet.Services, fleet.Backends)
	require(fleet.Lease.Std() >= minLease && fleet.Lease.Std() <= maxLease, "fleet.lease: %v is not from %v to %v", fleet.Lease, minLease, maxLease)
	changes := &s.Changes
	require(changes.PerS >= 0, "changes.per_s: %g is below 0", changes.PerS)
	require(changes.Drain >= 0 && changes.Down >= 0, "changes: drain %v and down %v must not be below 0", changes.Drain, changes.Down)
	require(changes.Requests >= 0, "changes.requests: %g is below 0", changes.Requests)
	require(changes.Register > 0, "changes.register: %g is none", changes.Register)
	reading := &s.Reading
	require(reading.Services >= 0 && reading.Services <= fleet.Services, "reading.services: %d is not from 0 to the %d services", reading.Services, fleet.Services)
	require(slices.Contains([]string{WithinAll, WithinRegion, WithinZone}, reading.Within), "reading.within: %q is not %s, %s or %s", reading.Within, WithinAll, WithinRegion, WithinZone)
	require(reading.Services > 0 || reading.Within == WithinAll, "reading.within: %q needs reading.services", reading.Within)
	require(reading.Subset >= 0 && (reading.Subset == 0 || reading.Services > 0), "reading.subset: %d needs reading.services, and is not below 0", reading.Subset)
	hosts := &s.Hosts
	require(hosts.Gateways >= 1 && hosts.Backends >= 1 && hosts.Connections >= 1, "hosts: each has to allow something")
	for n, fault := range s.Faults {
		if err := s.checkFault(fault); err != nil {
			problems = append(problems, fmt.Errorf("fault[%d]: %w", n, err))
		}
	}
	return errors.Join(problems...)
}

func (s *Scenario) checkFault(fault *Fault) error {
	if _, known := faultDescriptions[fault.Kind]; !known {
		return fmt.Errorf("kind: there is no %q", fault.Kind)
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

// whoWriter names the member that writes when a fault comes.
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

// zoneNames are all zones: the first of each region, then the second of each, so that
// what is dealt out in turn is spread over the regions first.
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
