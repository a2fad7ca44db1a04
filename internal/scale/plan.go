package scale

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"syscall"

	"dunlintray/internal/registry"
)

// Place is the number and the location of a hollow gateway or backend.
type Place struct {
	Number int    `json:"number"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
}

// Backend is a hollow backend.
type Backend struct {
	Place
	Service string `json:"service"`
}

// ID returns the backend's instance ID in the registry.
func (b Backend) ID() string { return fmt.Sprintf("b-%06d", b.Number) }

// Gateway is a hollow gateway and the scopes that it reads.
type Gateway struct {
	Place
	Scopes []registry.Scope `json:"scopes,omitempty"` // none: the whole list
}

// Reads reports whether the gateway's scopes include the backend.
func (g Gateway) Reads(backend Backend) bool {
	instance := registry.Instance{Service: backend.Service, Region: backend.Region, Zone: backend.Zone}
	for _, scope := range g.Scopes {
		if scope.Matches(instance) {
			return true
		}
	}
	return len(g.Scopes) == 0
}

// Plan assigns processes and addresses to a scenario.
type Plan struct {
	Scenario     *Scenario
	Services     []Service // members first
	Gateways     []Gateway
	Backends     []Backend
	GatewayHosts int
	BackendHosts int
	network      int // all addresses are in 127.network.0.0/16
}

// Service is a registry process.
type Service struct {
	Name         string
	Region       string // of a follower
	MemberNumber int    // in the group, from 1; 0: a follower
	Listen       string
	Control      string
	Group        string // listen address of a member for the other members
	SourceIndex  int    // of a follower: index in Plan.Services of the member that it follows
	RelayListen  string // of a follower: listen address of the relay to that member; empty: direct connection
}

// Ports of the processes.
const (
	portService   = 8500
	portControl   = 8501
	portGroup     = 8502
	portRelay     = 8503
	portPeer      = 7946
	portGateway   = 8081
	portAnswers   = 8090
	portClaim     = 8080 // shared with the emulator, so that a run and a play never use the same network
	hostsPerBlock = 200  // addresses 1 to 200 of a /24
)

func (p *Plan) address(block, index, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", p.network, block+index/hostsPerBlock, 1+index%hostsPerBlock, port)
}

func (p *Plan) claimAddress() string                      { return p.address(255, 0, portClaim) }
func (p *Plan) serviceAddress(index, port int) string     { return p.address(1, index, port) }
func (p *Plan) realGatewayAddress(index, port int) string { return p.address(3, index, port) }
func (p *Plan) answerAddress(host int) string             { return p.address(2, host, portAnswers) }
func (p *Plan) peerAddress(gateway int) netip.AddrPort {
	return netip.MustParseAddrPort(p.address(4, gateway, portPeer))
}

// maxPeers is the number of addresses for membership datagrams, in the blocks from 4 to 254.
const maxPeers = (255 - 4) * hostsPerBlock

// NewPlan assigns the processes of a scenario to addresses in 127.network.0.0/16.
func NewPlan(scenario *Scenario, network int) *Plan {
	plan := &Plan{Scenario: scenario, network: network}
	for n := range scenario.Fleet.Members {
		plan.Services = append(plan.Services, Service{Name: memberName(n), MemberNumber: n + 1})
	}
	for region := range scenario.Fleet.Regions {
		for n := range scenario.Fleet.Followers {
			plan.Services = append(plan.Services, Service{Name: followerName(region, n), Region: regionName(region), SourceIndex: len(plan.Services) % scenario.Fleet.Members})
		}
	}
	for n := range plan.Services {
		service := &plan.Services[n]
		service.Listen, service.Control = plan.serviceAddress(n, portService), plan.serviceAddress(n, portControl)
		if service.MemberNumber > 0 {
			service.Group = plan.serviceAddress(n, portGroup)
		} else if scenario.hasRegionCut(service.Region) {
			service.RelayListen = plan.serviceAddress(n, portRelay)
		}
	}
	for n := range scenario.Fleet.Backends {
		plan.Backends = append(plan.Backends, Backend{scenario.place(n), serviceName(n / scenario.zoneCount() % scenario.Fleet.Services)})
	}
	for n := range scenario.Fleet.Gateways {
		plan.Gateways = append(plan.Gateways, Gateway{scenario.place(n), scenario.scopesOf(n)})
	}
	plan.GatewayHosts = processCount(scenario.Fleet.Gateways, scenario.Hosts.Gateways)
	plan.BackendHosts = processCount(scenario.Fleet.Backends, scenario.Hosts.Backends)
	return plan
}

func processCount(total, perProcess int) int { return (total + perProcess - 1) / perProcess }

// zoneCount returns the number of zones in all regions.
func (s *Scenario) zoneCount() int { return s.Fleet.Regions * s.Fleet.Zones }

// place returns the location of the gateway or backend with the given number. Zones are
// assigned round-robin.
func (s *Scenario) place(number int) Place {
	slot := number % s.zoneCount()
	region, zone := slot%s.Fleet.Regions, slot/s.Fleet.Regions
	return Place{Number: number, Zone: zoneName(region, zone), Region: regionName(region)}
}

// scopesOf returns the scopes that the gateway with the given number reads. Consecutive
// gateways read consecutive services, so that each service has about as many readers.
func (s *Scenario) scopesOf(number int) (scopes []registry.Scope) {
	for offset := range s.Reading.Services {
		scopes = append(scopes, s.scope(s.place(number), (number*s.Reading.Services+offset)%s.Fleet.Services))
	}
	return scopes
}

func (s *Scenario) scope(place Place, service int) registry.Scope {
	scope := registry.Scope{Service: serviceName(service)}
	switch s.Reading.Within {
	case WithinRegion:
		scope.Region = place.Region
	case WithinZone:
		scope.Zone = place.Zone
	}
	return scope
}

// hasRegionCut reports whether a fault disconnects the region.
func (s *Scenario) hasRegionCut(region string) bool {
	for _, f := range s.Faults {
		if f.Kind == FaultRegionCut && f.Region == region {
			return true
		}
	}
	return false
}

// Registries returns the addresses that a gateway of a region reads the list from: the
// region's followers, or the members if it has none.
func (p *Plan) Registries(region string) (all []string) {
	for _, s := range p.Services {
		if s.Region == region && s.MemberNumber == 0 {
			all = append(all, s.Listen)
		}
	}
	if len(all) == 0 {
		return p.Members()
	}
	return all
}

// Members returns the registry addresses of the members.
func (p *Plan) Members() (all []string) {
	for _, s := range p.Services {
		if s.MemberNumber > 0 {
			all = append(all, s.Listen)
		}
	}
	return all
}

// Processes returns the number of processes that a run starts.
func (p *Plan) Processes() int {
	return len(p.Services) + p.GatewayHosts + p.BackendHosts + p.Scenario.Fleet.RealGateways
}

// Resource estimates for a run.
const (
	serviceMemoryMB        = 40
	hostMemoryMB           = 40
	realGatewayMemoryMB    = 64
	hollowGatewayKB        = 150 // without its list
	hollowGatewayBackendKB = 1.2 // for each backend that the gateway holds
	hollowGatewayPeerKB    = 0.5 // for each other gateway, with membership
	hollowBackendKB        = 1.5
	serviceBackendKB       = 3.0 // for each backend
	baseFiles              = 200
	hollowGatewayFiles     = 2 // descriptors: a watch, and another during reconnection
	membershipFiles        = 1
	maxMemoryFraction      = 0.5 // of the machine's memory
	serviceSpareFiles      = 100
)

// connectionLimit returns the number of connections that a registry process must accept: those
// of its readers, its followers, the backend processes and the run, with a reserve for
// reconnection.
func (p *Plan) connectionLimit() int {
	readers := 2*(p.Scenario.Fleet.Gateways+p.Scenario.Fleet.RealGateways) + len(p.Services)
	return readers + 2*p.BackendHosts*p.Scenario.Hosts.Connections + serviceSpareFiles
}

// watcherLimit returns the number of concurrent watches that a registry process must accept.
func (p *Plan) watcherLimit() int {
	return 2*(p.Scenario.Fleet.Gateways+p.Scenario.Fleet.RealGateways) + len(p.Services)
}

// backendsPerGateway estimates the number of backends that a hollow gateway holds.
func (p *Plan) backendsPerGateway() float64 {
	scenario := p.Scenario
	backends := float64(scenario.Fleet.Backends)
	if scenario.Reading.Services > 0 {
		backends *= float64(scenario.Reading.Services) / float64(scenario.Fleet.Services)
		switch scenario.Reading.Within {
		case WithinRegion:
			backends /= float64(scenario.Fleet.Regions)
		case WithinZone:
			backends /= float64(scenario.zoneCount())
		}
	}
	return backends
}

// memoryMB estimates the memory of all processes.
func (p *Plan) memoryMB() float64 {
	fleet := &p.Scenario.Fleet
	perGatewayKB := hollowGatewayKB + hollowGatewayBackendKB*p.backendsPerGateway()
	if fleet.Membership {
		perGatewayKB += hollowGatewayPeerKB * float64(fleet.Gateways)
	}
	totalKB := perGatewayKB*float64(fleet.Gateways) + hollowBackendKB*float64(fleet.Backends) + serviceBackendKB*float64(fleet.Backends*len(p.Services))
	return totalKB/1024 + float64(serviceMemoryMB*len(p.Services)+hostMemoryMB*(p.GatewayHosts+p.BackendHosts+1)+realGatewayMemoryMB*fleet.RealGateways)
}

// Machine is the capacity of a machine.
type Machine struct {
	MemoryMB float64
	Files    int // maximum open descriptors of a process
}

// ThisMachine returns the capacity of the machine that the program runs on.
func ThisMachine() (Machine, error) {
	var machine Machine
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return machine, err
	}
	machine.Files = int(min(limit.Cur, 1<<30))
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return machine, err
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "MemTotal:"); ok {
			var kb float64
			if _, err := fmt.Sscan(rest, &kb); err != nil {
				return machine, err
			}
			machine.MemoryMB = kb / 1024
		}
	}
	return machine, nil
}

// memoryLimitMB returns the memory that a run may use.
func (m Machine) memoryLimitMB() float64 { return maxMemoryFraction * m.MemoryMB }

// CheckResources returns an error if the scenario needs more than this machine has, or more
// than a run may use.
func CheckResources(scenario *Scenario) error {
	machine, err := ThisMachine()
	if err != nil {
		return fmt.Errorf("determine the machine's resources: %w", err)
	}
	return NewPlan(scenario, firstNetwork).CheckResources(machine)
}

// CheckResources returns an error if the plan needs more than the machine has, or more than a
// run may use.
func (p *Plan) CheckResources(machine Machine) error {
	var problems []error
	fleet := &p.Scenario.Fleet
	if n := p.Processes(); n > maxProcesses {
		problems = append(problems, fmt.Errorf("%d processes, and a run has %d at most: put more hollow ones into one (hosts.gateways, hosts.backends)", n, maxProcesses))
	}
	if mb := p.memoryMB(); mb > machine.memoryLimitMB() {
		problems = append(problems, fmt.Errorf("about %.0f MB of memory, and a run may use %.0f, half of the machine's", mb, machine.memoryLimitMB()))
	}
	files := hollowGatewayFiles
	if fleet.Membership {
		files += membershipFiles
	}
	if n := files*min(fleet.Gateways, p.Scenario.Hosts.Gateways) + baseFiles; n > machine.Files {
		problems = append(problems, fmt.Errorf("%d descriptors of a process of hollow gateways, and the limit is %d (ulimit -n): lower hosts.gateways", n, machine.Files))
	}
	if n := p.connectionLimit() + baseFiles; n > machine.Files {
		problems = append(problems, fmt.Errorf("%d descriptors of a list service, and the limit is %d (ulimit -n)", n, machine.Files))
	}
	if fleet.Membership && fleet.Gateways > maxPeers {
		problems = append(problems, fmt.Errorf("membership of %d gateways, and there are addresses for %d", fleet.Gateways, maxPeers))
	}
	if len(problems) > 0 {
		return fmt.Errorf("scenario exceeds the machine's resources: %w", errors.Join(problems...))
	}
	return nil
}
