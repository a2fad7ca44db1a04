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
	for n, at := range world.RelayedLinks(e.scenario) {
		limits := link.Limits{MaxConnections: maxRelayConnections, BufferBytes: relayBufferBytes}
		target := e.addresses.registry(at.To.Number)
		switch {
		case at.From.Kind == scenario.Operators:
			target = e.addresses.control(at.To.Number)
		case e.scenario.Fleet.Group && at.From.Kind == scenario.Registries:
			target = e.addresses.registryGroup(at.To.Number)
		}
		r, err := link.NewRelay(e.addresses.linkRelay(n), target, limits, e.scenario.Seed+uint64(n))
		if err != nil {
			return err
		}
		e.linkRelays[at] = r
	}
	if err := e.startServices(ctx); err != nil {
		return err
	}
	relays, err := newDatagramRelays(e)
	if err != nil {
		return err
	}
	e.datagrams = relays
	for g := range e.scenario.Fleet.Gateways {
		if err := e.startEndpoints(g); err != nil {
			return err
		}
	}
	for g := range e.scenario.Fleet.Gateways {
		p, err := e.process("n"+fmt.Sprint(g), e.options.Gateway, e.options.Args...)
		if err != nil {
			return err
		}
		e.gateways = append(e.gateways, p)
		if err := e.startGateway(g); err != nil {
			return err
		}
	}
	ready := make(chan error, len(e.gateways))
	for g := range e.gateways {
		go func() {
			ready <- awaitReady(ctx, e.http, e.gateways[g], "http://"+e.addresses.gateway(g)+"/health/ready")
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
	for g := range e.gateways {
		e.step(timedEvent{e.now(), world.Ready{Gateway: g}})
		if e.scenario.Fleet.Membership {
			e.wg.Go(func() { e.pollConnectivity(e.ctx, g) })
		}
	}
	return nil
}

// process prepares a process with a folder of its own.
func (e *engine) process(name, program string, args ...string) (*process, error) {
	p := &process{name: name, program: program, args: args, dir: filepath.Join(e.options.Dir, name), usage: results.Gateway{Kind: "gateway", Name: name}}
	return p, os.MkdirAll(p.dir, 0o700)
}

// startServices starts the registries and waits until they are ready.
func (e *engine) startServices(ctx context.Context) error {
	if e.scenario.Fleet.ListServices == 0 {
		return nil
	}
	e.registrar = newRegistrar(e)
	for k := range e.scenario.Fleet.ListServices {
		p, err := e.process(fmt.Sprintf("list%d", k), e.options.Registry)
		if err != nil {
			return err
		}
		writer := ""
		if k > 0 && !e.scenario.Fleet.Group {
			writer = e.registryAddress(world.Endpoint{Kind: scenario.Registries, Number: k}, 0)
		}
		config, err := e.scenario.RegistryConfig(k, e.addresses.registry(k), e.addresses.registryControl(k), writer, filepath.Join(p.dir, "data"), e.groupAddresses(k))
		if err != nil {
			return err
		}
		e.services, e.configs = append(e.services, p), append(e.configs, config)
		if err := e.startService(k); err != nil {
			return err
		}
	}
	// Backends register while the writer still waits for the first registrations.
	for _, entry := range e.world.Entries() {
		e.registrar.changes <- world.Register{Entry: entry}
	}
	e.wg.Go(func() { e.registrar.run(e.ctx) })
	for k, p := range e.services {
		if err := awaitReady(ctx, e.http, p, "http://"+e.addresses.registryControl(k)+"/control/ready"); err != nil {
			return err
		}
	}
	return nil
}

// groupAddresses returns the addresses at which a registry of a group finds the others.
func (e *engine) groupAddresses(k int) scenario.GroupAddresses {
	at := scenario.GroupAddresses{Listen: e.addresses.registryGroup(k)}
	for other := range e.scenario.Fleet.ListServices {
		address := e.addresses.registryGroup(other)
		if r := e.linkRelays[world.ProcessLink{From: world.Endpoint{Kind: scenario.Registries, Number: k}, To: world.Endpoint{Kind: scenario.Registries, Number: other}}]; r != nil {
			address = r.Address()
		}
		at.Members, at.Lists = append(at.Members, address), append(at.Lists, e.addresses.registry(other))
	}
	return at
}

// startService starts a process of a registry. The run fails if it exits unexpectedly.
func (e *engine) startService(k int) error {
	p := e.services[k]
	e.generations[k]++
	life := e.generations[k]
	return p.start(e.starter, e.configs[k], func(how string) { e.post(serviceExited{k, life, how}) })
}

// startEndpoints creates the emulated clients, counter, backends and discovery of a gateway.
func (e *engine) startEndpoints(g int) error {
	e.clients = append(e.clients, newClientPool(e, g, e.addresses.gateway(g)))
	counter, err := newEndpoint(e, g, world.Counter, e.addresses.counter(g))
	if err != nil {
		return err
	}
	e.endpoints[gatewayLink{g, world.Counter}] = counter
	for _, entry := range e.world.Entries() {
		if _, err := e.endpoint(gatewayLink{g, entry.Backend}); err != nil {
			return err
		}
	}
	var agents []*discoveryProxy
	for k := range max(1, e.scenario.Fleet.ListServices) {
		service := ""
		if e.scenario.Fleet.ListServices > 0 {
			service = e.registryAddress(world.Endpoint{Kind: scenario.Gateways, Number: g}, k)
		}
		a, err := newDiscoveryProxy(e, g, e.addresses.discoveryProxy(g, k), service)
		if err != nil {
			return err
		}
		if service == "" {
			a.setList(e.world.Entries())
		}
		agents = append(agents, a)
	}
	e.proxies = append(e.proxies, agents)
	return nil
}

// registryAddress returns the address at which a process reaches a registry: that of the relay
// between them, if there is one.
func (e *engine) registryAddress(from world.Endpoint, k int) string {
	if r := e.linkRelays[world.ProcessLink{From: from, To: world.Endpoint{Kind: scenario.Registries, Number: k}}]; r != nil {
		return r.Address()
	}
	return e.addresses.registry(k)
}

// endpoint returns the emulated end of a link, and creates it if it is new.
func (e *engine) endpoint(at gatewayLink) (*endpoint, error) {
	if p := e.endpoints[at]; p != nil {
		return p, nil
	}
	p, err := newEndpoint(e, at.gateway, at.peer, e.addresses.backend(at.gateway, at.peer))
	if err == nil {
		e.endpoints[at] = p
	}
	return p, err
}

// startGateway starts the next process of a gateway. It begins with the list of backends that the
// process before it was told last.
func (e *engine) startGateway(g int) error {
	a := scenario.Addresses{Listen: e.addresses.gateway(g), Control: e.addresses.control(g), Counter: e.addresses.counter(g),
		Discovery: e.addresses.discoveryProxy(g, 0), PeerListen: e.addresses.peer(g), Broadcast: e.addresses.datagramRelay(e.scenario.Fleet.Gateways)}
	for other := range e.scenario.Fleet.Gateways {
		a.Peers = append(a.Peers, e.addresses.datagramRelay(other))
	}
	for k := range e.scenario.Fleet.ListServices {
		a.Registries = append(a.Registries, e.addresses.discoveryProxy(g, k))
	}
	known := e.proxies[g][0].lastList()
	var list any
	if len(known.Instances) > 0 {
		list = known
		e.step(timedEvent{e.now(), world.ListDelivered{Gateway: g, Version: known.Generation, Full: true, Entries: e.entries(known)}})
	}
	config, err := e.scenario.GatewayConfig(g, a, list)
	if err != nil {
		return err
	}
	return e.gateways[g].start(e.starter, config, func(how string) {
		e.post(world.Exited{Gateway: g, Cause: how})
	})
}
