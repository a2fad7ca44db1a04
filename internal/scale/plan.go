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

// Place is a hollow gateway's or backend's: its number, zone and region.
type Place struct {
	Number int    `json:"number"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
}

// Backend is one hollow backend.
type Backend struct {
	Place
	Service string `json:"service"`
}

// ID is a backend's name on the list.
func (b Backend) ID() string { return fmt.Sprintf("b-%06d", b.Number) }

// Gateway is one hollow gateway and what it reads.
type Gateway struct {
	Place
	Scopes []registry.Scope `json:"scopes,omitempty"` // none: the whole list
}

// Reads says whether a backend is of the part of the list that the gateway reads.
func (g Gateway) Reads(b Backend) bool {
	instance := registry.Instance{Service: b.Service, Region: b.Region, Zone: b.Zone}
	for _, scope := range g.Scopes {
		if scope.Matches(instance) {
			return true
		}
	}
	return len(g.Scopes) == 0
}

// Plan is a scenario laid out over processes and addresses.
type Plan struct {
	Scenario     *Scenario
	Services     []Service // members first
	Gateways     []Gateway
	Backends     []Backend
	GatewayHosts int
	BackendHosts int
	network      int // all addresses are in 127.net.0.0/16
}

// Service is one list service's process.
type Service struct {
	Name         string
	Region       string // of a follower
	MemberNumber int    // its number in the group, from 1; 0: a follower
	Listen       string
	Control      string
	Group        string // address of a member for the others
	SourceIndex  int    // of a follower: the place among Services of the member that it copies
	RelayListen  string // of a follower: where a relay to that member listens; empty: it calls the member itself
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
	portClaim     = 8080 // as the emulator's plays have it: a run and a play never share a net
	hostsPerBlock = 200  // addresses 1 to 200 of a /24
)

func (p *Plan) address(block, n, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", p.network, block+n/hostsPerBlock, 1+n%hostsPerBlock, port)
}

func (p *Plan) claimAddress() string                  { return p.address(255, 0, portClaim) }
func (p *Plan) serviceAddress(n, port int) string     { return p.address(1, n, port) }
func (p *Plan) realGatewayAddress(n, port int) string { return p.address(3, n, port) }
func (p *Plan) answerAddress(host int) string         { return p.address(2, host, portAnswers) }
func (p *Plan) peerAddress(gateway int) netip.AddrPort {
	return netip.MustParseAddrPort(p.address(4, gateway, portPeer))
}

// mostPeers is how many addresses there are for datagrams: the blocks from 4 to 254.
const maxPeers = (255 - 4) * hostsPerBlock

// NewPlan lays a scenario out in 127.net.0.0/16.
func NewPlan(s *Scenario, net int) *Plan {
	p := &Plan{Scenario: s, network: net}
	for n := range s.Fleet.Members {
		p.Services = append(p.Services, Service{Name: memberName(n), MemberNumber: n + 1})
	}
	for region := range s.Fleet.Regions {
		for n := range s.Fleet.Followers {
			p.Services = append(p.Services, Service{Name: followerName(region, n), Region: regionName(region), SourceIndex: len(p.Services) % s.Fleet.Members})
		}
	}
	for n := range p.Services {
		service := &p.Services[n]
		service.Listen, service.Control = p.serviceAddress(n, portService), p.serviceAddress(n, portControl)
		if service.MemberNumber > 0 {
			service.Group = p.serviceAddress(n, portGroup)
		} else if s.hasRegionCut(service.Region) {
			service.RelayListen = p.serviceAddress(n, portRelay)
		}
	}
	for n := range s.Fleet.Backends {
		p.Backends = append(p.Backends, Backend{s.place(n), serviceName(n / s.zoneCount() % s.Fleet.Services)})
	}
	for n := range s.Fleet.Gateways {
		p.Gateways = append(p.Gateways, Gateway{s.place(n), s.scopesOf(n)})
	}
	p.GatewayHosts = processCount(s.Fleet.Gateways, s.Hosts.Gateways)
	p.BackendHosts = processCount(s.Fleet.Backends, s.Hosts.Backends)
	return p
}

func processCount(all, inOne int) int { return (all + inOne - 1) / inOne }

// places is the number of zones in all regions.
func (s *Scenario) zoneCount() int { return s.Fleet.Regions * s.Fleet.Zones }

// place is where the gateway or backend of a number stands: they are dealt out to the
// zones in turn.
func (s *Scenario) place(n int) Place {
	at := n % s.zoneCount()
	region, zone := at%s.Fleet.Regions, at/s.Fleet.Regions
	return Place{Number: n, Zone: zoneName(region, zone), Region: regionName(region)}
}

// scopesOf are those that the gateway of a number reads: services in a row, so that all
// are read by about as many gateways.
func (s *Scenario) scopesOf(n int) (all []registry.Scope) {
	for k := range s.Reading.Services {
		all = append(all, s.scope(s.place(n), (n*s.Reading.Services+k)%s.Fleet.Services))
	}
	return all
}

func (s *Scenario) scope(at Place, service int) registry.Scope {
	scope := registry.Scope{Service: serviceName(service)}
	switch s.Reading.Within {
	case WithinRegion:
		scope.Region = at.Region
	case WithinZone:
		scope.Zone = at.Zone
	}
	return scope
}

// cuts says whether a fault cuts a region off.
func (s *Scenario) hasRegionCut(region string) bool {
	for _, f := range s.Faults {
		if f.Kind == FaultRegionCut && f.Region == region {
			return true
		}
	}
	return false
}

// Registries are the list services that a gateway of a region reads from: its followers,
// and the members where it has none.
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

// Members are the addresses of the members' list services.
func (p *Plan) Members() (all []string) {
	for _, s := range p.Services {
		if s.MemberNumber > 0 {
			all = append(all, s.Listen)
		}
	}
	return all
}

// Processes is how many processes a run has beside its own.
func (p *Plan) Processes() int {
	return len(p.Services) + p.GatewayHosts + p.BackendHosts + p.Scenario.Fleet.RealGateways
}

// Estimates for what a run takes, as measured on the machines it was written on.
const (
	serviceMemoryMB        = 40
	hostMemoryMB           = 40
	realGatewayMemoryMB    = 64
	hollowGatewayKB        = 150 // of a hollow gateway, without its list
	hollowGatewayBackendKB = 1.2 // KB of a hollow gateway for each backend that it holds
	hollowGatewayPeerKB    = 0.5 // of a hollow gateway for each other with membership
	hollowBackendKB        = 1.5
	serviceBackendKB       = 3.0 // KB of a list service for each backend
	baseFiles              = 200
	hollowGatewayFiles     = 2 // of a hollow gateway: its watch, and another while it changes
	membershipFiles        = 1
	maxMemoryFraction      = 0.5 // of the machine
	serviceSpareFiles      = 100
)

// connections is how many a list service must take: its readers, its followers, the
// backends' processes and the run itself, with room for those that change over.
func (p *Plan) connectionLimit() int {
	readers := 2*(p.Scenario.Fleet.Gateways+p.Scenario.Fleet.RealGateways) + len(p.Services)
	return readers + 2*p.BackendHosts*p.Scenario.Hosts.Connections + serviceSpareFiles
}

// watchers is how many watches a list service must take.
func (p *Plan) watcherLimit() int {
	return 2*(p.Scenario.Fleet.Gateways+p.Scenario.Fleet.RealGateways) + len(p.Services)
}

// held estimates how many backends a hollow gateway holds.
func (p *Plan) backendsPerGateway() float64 {
	s := p.Scenario
	held := float64(s.Fleet.Backends)
	if s.Reading.Services > 0 {
		held *= float64(s.Reading.Services) / float64(s.Fleet.Services)
		switch s.Reading.Within {
		case WithinRegion:
			held /= float64(s.Fleet.Regions)
		case WithinZone:
			held /= float64(s.zoneCount())
		}
	}
	return held
}

// memoryMB estimates the memory of all processes.
func (p *Plan) memoryMB() float64 {
	f := &p.Scenario.Fleet
	gateway := hollowGatewayKB + hollowGatewayBackendKB*p.backendsPerGateway()
	if f.Membership {
		gateway += hollowGatewayPeerKB * float64(f.Gateways)
	}
	kb := gateway*float64(f.Gateways) + hollowBackendKB*float64(f.Backends) + serviceBackendKB*float64(f.Backends*len(p.Services))
	return kb/1024 + float64(serviceMemoryMB*len(p.Services)+hostMemoryMB*(p.GatewayHosts+p.BackendHosts+1)+realGatewayMemoryMB*f.RealGateways)
}

// Machine is what there is.
type Machine struct {
	MemoryMB float64
	Files    int // descriptors of one process
}

// ThisMachine reads what there is.
func ThisMachine() (Machine, error) {
	var m Machine
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return m, err
	}
	m.Files = int(min(limit.Cur, 1<<30))
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return m, err
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "MemTotal:"); ok {
			var kb float64
			if _, err := fmt.Sscan(rest, &kb); err != nil {
				return m, err
			}
			m.MemoryMB = kb / 1024
		}
	}
	return m, nil
}

// mostMemoryMB is what a run may use.
func (m Machine) memoryLimitMB() float64 { return maxMemoryFraction * m.MemoryMB }

// Fits says what a scenario asks that this machine does not have, or that no run may use.
func CheckResources(s *Scenario) error {
	machine, err := ThisMachine()
	if err != nil {
		return fmt.Errorf("what this machine has can't be told: %w", err)
	}
	return NewPlan(s, firstNetwork).CheckResources(machine)
}

// Fits says what a plan asks that a machine does not have, or that no run may use.
func (p *Plan) CheckResources(m Machine) error {
	var all []error
	f := &p.Scenario.Fleet
	if n := p.Processes(); n > maxProcesses {
		all = append(all, fmt.Errorf("%d processes, and a run has %d at most: put more hollow ones into one (hosts.gateways, hosts.backends)", n, maxProcesses))
	}
	if mb := p.memoryMB(); mb > m.memoryLimitMB() {
		all = append(all, fmt.Errorf("about %.0f MB of memory, and a run may use %.0f, half of the machine's", mb, m.memoryLimitMB()))
	}
	files := hollowGatewayFiles
	if f.Membership {
		files += membershipFiles
	}
	if n := files*min(f.Gateways, p.Scenario.Hosts.Gateways) + baseFiles; n > m.Files {
		all = append(all, fmt.Errorf("%d descriptors of a process of hollow gateways, and the limit is %d (ulimit -n): lower hosts.gateways", n, m.Files))
	}
	if n := p.connectionLimit() + baseFiles; n > m.Files {
		all = append(all, fmt.Errorf("%d descriptors of a list service, and the limit is %d (ulimit -n)", n, m.Files))
	}
	if f.Membership && f.Gateways > maxPeers {
		all = append(all, fmt.Errorf("membership of %d gateways, and there are addresses for %d", f.Gateways, maxPeers))
	}
	if len(all) > 0 {
		return fmt.Errorf("the scenario does not fit: %w", errors.Join(all...))
	}
	return nil
}
