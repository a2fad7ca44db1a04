package scale

import (
	"encoding/json"
	"fmt"
	"path/filepath"

	"dunlintray/internal/registry"
	"dunlintray/internal/scenario"
)

// jsonObject is a JSON object under construction.
type jsonObject = map[string]any

// serviceConfig returns the configuration file of the registry process at index.
func (p *Plan) serviceConfig(index int, dir string) ([]byte, error) {
	service := &p.Services[index]
	config := jsonObject{"listen": service.Listen, "control": service.Control, "lease_ms": p.Scenario.Fleet.Lease.Std().Milliseconds(),
		"limits": jsonObject{"instances": p.Scenario.Fleet.Backends + spareInstances, "connections": p.connectionLimit(), "watchers": p.watcherLimit(),
			"lists_per_s": listReadsPerS}}
	if spec := p.Scenario; spec.Reading.Services > 0 {
		limits := config["limits"].(jsonObject)
		readers := 2 * (spec.Fleet.Gateways + spec.Fleet.RealGateways)
		limits["subscriptions"], limits["subscribed_scopes"] = readers, max(readers*spec.Reading.Services, minSubscribedScopes)
	}
	if service.MemberNumber == 0 {
		config["writer"] = p.Services[service.SourceIndex].Listen
		if service.RelayListen != "" {
			config["writer"] = service.RelayListen
		}
		return json.MarshalIndent(config, "", " ")
	}
	members, listAddresses := jsonObject{}, jsonObject{}
	for _, other := range p.Services {
		if other.MemberNumber > 0 {
			members[fmt.Sprint(other.MemberNumber)], listAddresses[fmt.Sprint(other.MemberNumber)] = other.Group, other.Listen
		}
	}
	config["group"] = jsonObject{"name": "scale", "self": service.MemberNumber, "listen": service.Group, "members": members, "lists": listAddresses, "data_dir": filepath.Join(dir, "data")}
	return json.MarshalIndent(config, "", " ")
}

// Limits of a registry process beyond the scenario's own numbers.
const (
	spareInstances      = 100
	listReadsPerS       = 100 // the registry's default
	minSubscribedScopes = 4096
)

// Settings that the gateway's configuration requires and hollow gateways do not use.
const (
	gatewaySockets    = 4096
	gatewayMemoryMB   = 64
	datagramLimitPerS = 100 // received; the emulator's default
)

// gatewayConfig returns the configuration of a hollow gateway, or of a real one; real gateways
// are numbered after the hollow ones. Only hollow gateways take part in the membership.
func (p *Plan) gatewayConfig(number int, place Place, scopes []registry.Scope) ([]byte, error) {
	fleet := &p.Scenario.Fleet
	emulation := scenario.Default()
	emulation.Name, emulation.Seed = p.Scenario.Name, p.Scenario.Seed
	emulation.Fleet.Gateways, emulation.Fleet.Zones, emulation.Fleet.Membership = fleet.Gateways+fleet.RealGateways, p.Scenario.zoneNames(), fleet.Membership && number < fleet.Gateways
	emulation.Fleet.MemoryMB, emulation.Fleet.Sockets = gatewayMemoryMB, gatewaySockets
	emulation.Network.PeerInPerS = datagramLimitPerS
	realIndex := number - fleet.Gateways
	addresses := scenario.Addresses{Listen: p.realGatewayAddress(max(realIndex, 0), portGateway), Control: p.realGatewayAddress(max(realIndex, 0), portGateway+1), Registries: p.Registries(place.Region)}
	if fleet.Membership && number < fleet.Gateways {
		emulation.Fleet.Gateways = fleet.Gateways
		addresses.PeerListen = p.peerAddress(number).String()
		for other := range fleet.Gateways {
			addresses.Peers = append(addresses.Peers, p.peerAddress(other).String())
		}
	}
	text, err := emulation.GatewayConfig(number, addresses, nil)
	if err != nil {
		return nil, err
	}
	// A run has no counter service, and a gateway may read only a part of the list.
	var config jsonObject
	if err := json.Unmarshal(text, &config); err != nil {
		return nil, err
	}
	settings := config["settings"].(jsonObject)
	settings["familyInfo"].(jsonObject)["hasCounter"] = false
	delete(config, "counter")
	delete(config, "peers_all")
	if len(scopes) > 0 && realIndex >= 0 {
		config["scopes"] = []string{scopes[0].String()} // a real gateway serves one service
	}
	if size := p.Scenario.Reading.Subset; size > 0 {
		config["subset"] = jsonObject{"size": size}
	}
	return json.Marshal(config)
}

// hostConfigs returns the configurations of the processes of hollow gateways and of hollow
// backends.
func (p *Plan) hostConfigs() (gateways, backends []HostConfig, err error) {
	spec := p.Scenario
	for host := range p.GatewayHosts {
		config := HostConfig{Name: fmt.Sprintf("gateways%d", host), Seed: spec.Seed + uint64(host), Gateways: &GatewayHost{}}
		for number := host; number < len(p.Gateways); number += p.GatewayHosts {
			gateway := p.Gateways[number]
			text, err := p.gatewayConfig(number, gateway.Place, gateway.Scopes)
			if err != nil {
				return nil, nil, err
			}
			config.Gateways.Gateways = append(config.Gateways.Gateways, HostedGateway{gateway, text})
		}
		gateways = append(gateways, config)
	}
	for host := range p.BackendHosts {
		config := HostConfig{Name: fmt.Sprintf("backends%d", host), Seed: spec.Seed + uint64(host), Backends: &BackendHost{
			Members: p.Members(), AnswerAddress: p.answerAddress(host), Connections: spec.Hosts.Connections, RenewInterval: spec.Fleet.Lease.Std() / renewalsPerLease,
			DrainTime: spec.Changes.Drain.Std(), DownTime: spec.Changes.Down.Std(), RegistrationsPerS: spec.Changes.Register / float64(p.BackendHosts)}}
		for number := host; number < len(p.Backends); number += p.BackendHosts {
			config.Backends.Backends = append(config.Backends.Backends, p.Backends[number])
		}
		backends = append(backends, config)
	}
	return gateways, backends, nil
}

// renewalsPerLease is the number of renewals that a backend sends per lease period.
const renewalsPerLease = 3
