package play

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"

	"dunlintray/internal/link"
	"dunlintray/internal/results"
	"dunlintray/internal/scenario"
	"dunlintray/internal/world"
)

// start starts the emulator's sockets and the fleet, and waits until all gateways are ready.
func (e *engine) start(ctx context.Context) error {
	var err error
	if e.addresses, e.claim, err = claimNetwork(e.scenario.Fleet.Gateways, e.scenario.Fleet.ListServices, rand.IntN); err != nil {
		return err
	}
	for number, processLink := range world.RelayedLinks(e.scenario) {
		limits := link.Limits{MaxConnections: maxRelayConnections, BufferBytes: relayBufferBytes}
		target := e.addresses.registry(processLink.To.Number)
		switch {
		case processLink.From.Kind == scenario.Operators:
			target = e.addresses.control(processLink.To.Number)
		case e.scenario.Fleet.Group && processLink.From.Kind == scenario.Registries:
			target = e.addresses.registryGroup(processLink.To.Number)
		}
		relay, err := link.NewRelay(e.addresses.linkRelay(number), target, limits, e.scenario.Seed+uint64(number))
		if err != nil {
			return err
		}
		e.linkRelays[processLink] = relay
	}
	if err := e.startServices(ctx); err != nil {
		return err
	}
	relays, err := newDatagramRelays(e)
	if err != nil {
		return err
	}
	e.datagrams = relays
	for gateway := range e.scenario.Fleet.Gateways {
		if err := e.startEndpoints(gateway); err != nil {
			return err
		}
	}
	for gateway := range e.scenario.Fleet.Gateways {
		started, err := e.process("n"+fmt.Sprint(gateway), e.options.Gateway, e.options.Args...)
		if err != nil {
			return err
		}
		e.gateways = append(e.gateways, started)
		if err := e.startGateway(gateway); err != nil {
			return err
		}
	}
	ready := make(chan error, len(e.gateways))
	for gateway := range e.gateways {
		go func() {
			ready <- awaitReady(ctx, e.http, e.gateways[gateway], "http://"+e.addresses.gateway(gateway)+"/health/ready")
		}()
	}
	// The emulator answers the gateways' calls meanwhile.
	for waiting := len(e.gateways); waiting > 0; {
		select {
		case err := <-ready:
			if err != nil {
				return err
			}
			waiting--
		case event := <-e.events:
			e.step(event)
		}
	}
	for gateway := range e.gateways {
		e.step(timedEvent{e.now(), world.Ready{Gateway: gateway}})
		if e.scenario.Fleet.Membership {
			e.wg.Go(func() { e.pollConnectivity(e.ctx, gateway) })
		}
	}
	return nil
}

// process prepares a process with a folder of its own.
func (e *engine) process(name, program string, args ...string) (*process, error) {
	prepared := &process{name: name, program: program, args: args, dir: filepath.Join(e.options.Dir, name), usage: results.Gateway{Kind: "gateway", Name: name}}
	return prepared, os.MkdirAll(prepared.dir, 0o700)
}

// startServices starts the registries and waits until they are ready.
func (e *engine) startServices(ctx context.Context) error {
	if e.scenario.Fleet.ListServices == 0 {
		return nil
	}
	e.registrar = newRegistrar(e)
	for number := range e.scenario.Fleet.ListServices {
		registry, err := e.process(fmt.Sprintf("list%d", number), e.options.Registry)
		if err != nil {
			return err
		}
		writer := ""
		if number > 0 && !e.scenario.Fleet.Group {
			writer = e.registryAddress(world.Endpoint{Kind: scenario.Registries, Number: number}, 0)
		}
		config, err := e.scenario.RegistryConfig(number, e.addresses.registry(number), e.addresses.registryControl(number), writer, filepath.Join(registry.dir, "data"), e.groupAddresses(number))
		if err != nil {
			return err
		}
		e.services, e.configs = append(e.services, registry), append(e.configs, config)
		if err := e.startService(number); err != nil {
			return err
		}
	}
	// Backends register while the writer still waits for the first registrations.
	for _, entry := range e.world.Entries() {
		e.registrar.changes <- world.Register{Entry: entry}
	}
	e.wg.Go(func() { e.registrar.run(e.ctx) })
	for number, registry := range e.services {
		if err := awaitReady(ctx, e.http, registry, "http://"+e.addresses.registryControl(number)+"/control/ready"); err != nil {
			return err
		}
	}
	return nil
}

// groupAddresses returns the addresses at which a registry of a group finds the others.
func (e *engine) groupAddresses(member int) scenario.GroupAddresses {
	addresses := scenario.GroupAddresses{Listen: e.addresses.registryGroup(member)}
	for other := range e.scenario.Fleet.ListServices {
		address := e.addresses.registryGroup(other)
		if relay := e.linkRelays[world.ProcessLink{From: world.Endpoint{Kind: scenario.Registries, Number: member}, To: world.Endpoint{Kind: scenario.Registries, Number: other}}]; relay != nil {
			address = relay.Address()
		}
		addresses.Members, addresses.Lists = append(addresses.Members, address), append(addresses.Lists, e.addresses.registry(other))
	}
	return addresses
}

// startService starts a process of a registry. The run fails if it exits unexpectedly.
func (e *engine) startService(number int) error {
	registry := e.services[number]
	e.generations[number]++
	generation := e.generations[number]
	return registry.start(e.starter, e.configs[number], func(status string) { e.post(serviceExited{number, generation, status}) })
}

// startEndpoints creates the emulated clients, counter, backends and discovery of a gateway.
func (e *engine) startEndpoints(gateway int) error {
	e.clients = append(e.clients, newClientPool(e, gateway, e.addresses.gateway(gateway)))
	counter, err := newEndpoint(e, gateway, world.Counter, e.addresses.counter(gateway))
	if err != nil {
		return err
	}
	e.endpoints[gatewayLink{gateway, world.Counter}] = counter
	for _, entry := range e.world.Entries() {
		if _, err := e.endpoint(gatewayLink{gateway, entry.Backend}); err != nil {
			return err
		}
	}
	var proxies []*discoveryProxy
	for number := range max(1, e.scenario.Fleet.ListServices) {
		registryAddress := ""
		if e.scenario.Fleet.ListServices > 0 {
			registryAddress = e.registryAddress(world.Endpoint{Kind: scenario.Gateways, Number: gateway}, number)
		}
		proxy, err := newDiscoveryProxy(e, gateway, e.addresses.discoveryProxy(gateway, number), registryAddress)
		if err != nil {
			return err
		}
		if registryAddress == "" {
			proxy.setList(e.world.Entries())
		}
		proxies = append(proxies, proxy)
	}
	e.proxies = append(e.proxies, proxies)
	return nil
}

// registryAddress returns the address at which a process reaches a registry: that of the relay
// between them, if there is one.
func (e *engine) registryAddress(from world.Endpoint, number int) string {
	if relay := e.linkRelays[world.ProcessLink{From: from, To: world.Endpoint{Kind: scenario.Registries, Number: number}}]; relay != nil {
		return relay.Address()
	}
	return e.addresses.registry(number)
}

// endpoint returns the emulated end of a link, and creates it if it is new.
func (e *engine) endpoint(link gatewayLink) (*endpoint, error) {
	if created := e.endpoints[link]; created != nil {
		return created, nil
	}
	created, err := newEndpoint(e, link.gateway, link.peer, e.addresses.backend(link.gateway, link.peer))
	if err == nil {
		e.endpoints[link] = created
	}
	return created, err
}

// startGateway starts the next process of a gateway. It begins with the list of backends that the
// process before it received last.
func (e *engine) startGateway(gateway int) error {
	addresses := scenario.Addresses{Listen: e.addresses.gateway(gateway), Control: e.addresses.control(gateway), Counter: e.addresses.counter(gateway),
		Discovery: e.addresses.discoveryProxy(gateway, 0), PeerListen: e.addresses.peer(gateway), Broadcast: e.addresses.datagramRelay(e.scenario.Fleet.Gateways)}
	for other := range e.scenario.Fleet.Gateways {
		addresses.Peers = append(addresses.Peers, e.addresses.datagramRelay(other))
	}
	for number := range e.scenario.Fleet.ListServices {
		addresses.Registries = append(addresses.Registries, e.addresses.discoveryProxy(gateway, number))
	}
	lastList := e.proxies[gateway][0].lastList()
	var known any
	if len(lastList.Instances) > 0 {
		known = lastList
		e.step(timedEvent{e.now(), world.ListDelivered{Gateway: gateway, Version: lastList.Generation, Full: true, Entries: e.entries(lastList)}})
	}
	config, err := e.scenario.GatewayConfig(gateway, addresses, known)
	if err != nil {
		return err
	}
	return e.gateways[gateway].start(e.starter, config, func(status string) {
		e.post(world.Exited{Gateway: gateway, Cause: status})
	})
}
