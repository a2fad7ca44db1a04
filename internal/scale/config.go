package scale

import (
	"encoding/json"
	"fmt"
	"path/filepath"

	"dunlintray/internal/registry"
	"dunlintray/internal/scenario"
)

// object is a JSON object; its keys are written in order.
type jsonObject = map[string]any

// serviceConfig is the configuration of a list service.
func (p *Plan) serviceConfig(n int, dir string) ([]byte, error) {
	s := &p.Services[n]
	config := jsonObject{"listen": s.Listen, "control": s.Control, "lease_ms": p.Scenario.Fleet.Lease.Std().Milliseconds(),
		"limits": jsonObject{"instances": p.Scenario.Fleet.Backends + spareInstances, "connections": p.connectionLimit(), "watchers": p.watcherLimit(),
			"lists_per_s": listReadsPerS}}
	if s := p.Scenario; s.Reading.Services > 0 {
		limits := config["limits"].(jsonObject)
		readers := 2 * (s.Fleet.Gateways + s.Fleet.RealGateways)
		limits["subscriptions"], limits["subscribed_scopes"] = readers, max(readers*s.Reading.Services, minSubscribedScopes)
	}
	if s.MemberNumber == 0 {
		config["writer"] = p.Services[s.SourceIndex].Listen
		if s.RelayListen != "" {
			config["writer"] = s.RelayListen
		}
		return json.MarshalIndent(config, "", " ")
	}
	members, lists := jsonObject{}, jsonObject{}
	for _, other := range p.Services {
		if other.MemberNumber > 0 {
			members[fmt.Sprint(other.MemberNumber)], lists[fmt.Sprint(other.MemberNumber)] = other.Group, other.Listen
		}
	}
	config["group"] = jsonObject{"name": "scale", "self": s.MemberNumber, "listen": s.Group, "members": members, "lists": lists, "data_dir": filepath.Join(dir, "data")}
	return json.MarshalIndent(config, "", " ")
}

// What a list service may have beside what the scenario says.
const (
	spareInstances      = 100
	listReadsPerS       = 100 // as the list service's own default
	minSubscribedScopes = 4096
)

// Of a gateway's configuration that no hollow one uses.
const (
	gatewaySockets    = 4096
	gatewayMemoryMB   = 64
	datagramLimitPerS = 100 // that a gateway takes in; as the emulator's default
)

// gatewayConfig is the configuration of a hollow gateway, or of a real one, which has the
// numbers behind the hollow ones. The fleet of the settings is what the membership knows.
func (p *Plan) gatewayConfig(n int, place Place, scopes []registry.Scope) ([]byte, error) {
	f := &p.Scenario.Fleet
	s := scenario.Default()
	s.Name, s.Seed = p.Scenario.Name, p.Scenario.Seed
	s.Fleet.Gateways, s.Fleet.Zones, s.Fleet.Membership = f.Gateways+f.RealGateways, p.Scenario.zoneNames(), f.Membership && n < f.Gateways
	s.Fleet.MemoryMB, s.Fleet.Sockets = gatewayMemoryMB, gatewaySockets
	s.Network.PeerInPerS = datagramLimitPerS
	real := n - f.Gateways
	at := scenario.Addresses{Listen: p.realGatewayAddress(max(real, 0), portGateway), Control: p.realGatewayAddress(max(real, 0), portGateway+1), Registries: p.Registries(place.Region)}
	if f.Membership && n < f.Gateways {
		s.Fleet.Gateways = f.Gateways
		at.PeerListen = p.peerAddress(n).String()
		for other := range f.Gateways {
			at.Peers = append(at.Peers, p.peerAddress(other).String())
		}
	}
	text, err := s.GatewayConfig(n, at, nil)
	if err != nil {
		return nil, err
	}
	// There is no counter, and the gateway may read a part of the list.
	var config jsonObject
	if err := json.Unmarshal(text, &config); err != nil {
		return nil, err
	}
	settings := config["settings"].(jsonObject)
	settings["familyInfo"].(jsonObject)["hasCounter"] = false
	delete(config, "counter")
	delete(config, "peers_all")
	if len(scopes) > 0 && real >= 0 {
		config["scopes"] = []string{scopes[0].String()} // a gateway that serves has one service
	}
	if size := p.Scenario.Reading.Subset; size > 0 {
		config["subset"] = jsonObject{"size": size}
	}
	return json.Marshal(config)
}

// hostConfigs are the configurations of the processes of hollow gateways and backends.
func (p *Plan) hostConfigs() (gateways, backends []HostConfig, err error) {
	s := p.Scenario
	for host := range p.GatewayHosts {
		c := HostConfig{Name: fmt.Sprintf("gateways%d", host), Seed: s.Seed + uint64(host), Gateways: &GatewayHost{}}
		for n := host; n < len(p.Gateways); n += p.GatewayHosts {
			g := p.Gateways[n]
			text, err := p.gatewayConfig(n, g.Place, g.Scopes)
			if err != nil {
				return nil, nil, err
			}
			c.Gateways.Gateways = append(c.Gateways.Gateways, HostedGateway{g, text})
		}
		gateways = append(gateways, c)
	}
	for host := range p.BackendHosts {
		c := HostConfig{Name: fmt.Sprintf("backends%d", host), Seed: s.Seed + uint64(host), Backends: &BackendHost{
			Members: p.Members(), AnswerAddress: p.answerAddress(host), Connections: s.Hosts.Connections, RenewInterval: s.Fleet.Lease.Std() / renewalsPerLease,
			DrainTime: s.Changes.Drain.Std(), DownTime: s.Changes.Down.Std(), RegistrationsPerS: s.Changes.Register / float64(p.BackendHosts)}}
		for n := host; n < len(p.Backends); n += p.BackendHosts {
			c.Backends.Backends = append(c.Backends.Backends, p.Backends[n])
		}
		backends = append(backends, c)
	}
	return gateways, backends, nil
}

// renewals is how often a backend renews in a lease.
const renewalsPerLease = 3
