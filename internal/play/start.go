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
	if e.place, e.claim, err = findPlace(e.s.Fleet.Gateways, e.s.Fleet.ListServices, rand.IntN); err != nil {
		return err
	}
	for n, at := range world.RelayedLinks(e.s) {
		limits := link.Limits{MaxConnections: wireConnections, BufferBytes: wireBuffer}
		target := e.place.registry(at.To.Number)
		switch {
		case at.From.Kind == scenario.Operators:
			target = e.place.control(at.To.Number)
		case e.s.Fleet.Group && at.From.Kind == scenario.Registries:
			target = e.place.registryGroup(at.To.Number)
		}
		r, err := link.NewRelay(e.place.wire(n), target, limits, e.s.Seed+uint64(n))
		if err != nil {
			return err
		}
		e.wires[at] = r
	}
	if err := e.startServices(ctx); err != nil {
		return err
	}
	relays, err := newRelays(e)
	if err != nil {
		return err
	}
	e.relays = relays
	for g := range e.s.Fleet.Gateways {
		if err := e.startAround(g); err != nil {
			return err
		}
	}
	for g := range e.s.Fleet.Gateways {
		p, err := e.process("n"+fmt.Sprint(g), e.o.Gateway, e.o.Args...)
		if err != nil {
			return err
		}
		e.gateways = append(e.gateways, p)
		if err := e.launch(g); err != nil {
			return err
		}
	}
	ready := make(chan error, len(e.gateways))
	for g := range e.gateways {
		go func() { ready <- awaitReady(ctx, e.http, e.gateways[g], "http://"+e.place.gateway(g)+"/health/ready") }()
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
		e.step(stamped{e.now(), world.Ready{Gateway: g}})
		if e.s.Fleet.Membership {
			e.wg.Go(func() { e.pollConnectivity(e.ctx, g) })
		}
	}
	return nil
}

// process prepares a process with a folder of its own.
func (e *engine) process(name, program string, args ...string) (*process, error) {
	p := &process{name: name, program: program, args: args, dir: filepath.Join(e.o.Dir, name), use: results.Gateway{Kind: "gateway", Name: name}}
	return p, os.MkdirAll(p.dir, 0o700)
}

// startServices starts the registries and waits until they are ready.
func (e *engine) startServices(ctx context.Context) error {
	if e.s.Fleet.ListServices == 0 {
		return nil
	}
	e.registrar = newRegistrar(e)
	for k := range e.s.Fleet.ListServices {
		p, err := e.process(fmt.Sprintf("list%d", k), e.o.Registry)
		if err != nil {
			return err
		}
		writer := ""
		if k > 0 && !e.s.Fleet.Group {
			writer = e.service(world.Endpoint{Kind: scenario.Registries, Number: k}, 0)
		}
		config, err := e.s.RegistryConfig(k, e.place.registry(k), e.place.registryControl(k), writer, filepath.Join(p.dir, "data"), e.groupOf(k))
		if err != nil {
			return err
		}
		e.services, e.configs = append(e.services, p), append(e.configs, config)
		if err := e.startService(k); err != nil {
			return err
		}
	}
	// Backends register while the writer still waits for the first registrations.
	for _, entry := range e.w.Entries() {
		e.registrar.calls <- world.Register{Entry: entry}
	}
	e.wg.Go(func() { e.registrar.run(e.ctx) })
	for k, p := range e.services {
		if err := awaitReady(ctx, e.http, p, "http://"+e.place.registryControl(k)+"/control/ready"); err != nil {
			return err
		}
	}
	return nil
}

// groupOf returns the addresses at which a registry of a group finds the others.
func (e *engine) groupOf(k int) scenario.GroupAddresses {
	at := scenario.GroupAddresses{Listen: e.place.registryGroup(k)}
	for other := range e.s.Fleet.ListServices {
		address := e.place.registryGroup(other)
		if r := e.wires[world.ProcessLink{From: world.Endpoint{Kind: scenario.Registries, Number: k}, To: world.Endpoint{Kind: scenario.Registries, Number: other}}]; r != nil {
			address = r.Address()
		}
		at.Members, at.Lists = append(at.Members, address), append(at.Lists, e.place.registry(other))
	}
	return at
}

// startService starts a process of a registry. The run fails if it exits unexpectedly.
func (e *engine) startService(k int) error {
	p := e.services[k]
	e.lives[k]++
	life := e.lives[k]
	return p.start(e.starter, e.configs[k], func(how string) { e.post(serviceExited{k, life, how}) })
}

// startAround creates the emulated clients, counter, backends and discovery of a gateway.
func (e *engine) startAround(g int) error {
	e.callers = append(e.callers, newCallers(e, g, e.place.gateway(g)))
	counter, err := newPeer(e, g, world.Counter, e.place.counter(g))
	if err != nil {
		return err
	}
	e.peers[between{g, world.Counter}] = counter
	for _, entry := range e.w.Entries() {
		if _, err := e.peer(between{g, entry.Backend}); err != nil {
			return err
		}
	}
	var agents []*agent
	for k := range max(1, e.s.Fleet.ListServices) {
		service := ""
		if e.s.Fleet.ListServices > 0 {
			service = e.service(world.Endpoint{Kind: scenario.Gateways, Number: g}, k)
		}
		a, err := newAgent(e, g, e.place.agent(g, k), service)
		if err != nil {
			return err
		}
		if service == "" {
			a.tell(e.w.Entries())
		}
		agents = append(agents, a)
	}
	e.agents = append(e.agents, agents)
	return nil
}

// service returns the address at which a process reaches a registry: that of the relay
// between them, if there is one.
func (e *engine) service(from world.Endpoint, k int) string {
	if r := e.wires[world.ProcessLink{From: from, To: world.Endpoint{Kind: scenario.Registries, Number: k}}]; r != nil {
		return r.Address()
	}
	return e.place.registry(k)
}

// peer returns the emulated end of a link, and creates it if it is new.
func (e *engine) peer(at between) (*peer, error) {
	if p := e.peers[at]; p != nil {
		return p, nil
	}
	p, err := newPeer(e, at.gateway, at.peer, e.place.backend(at.gateway, at.peer))
	if err == nil {
		e.peers[at] = p
	}
	return p, err
}

// launch starts the next process of a gateway. It begins with the list of backends that the
// process before it was told last.
func (e *engine) launch(g int) error {
	a := scenario.Addresses{Listen: e.place.gateway(g), Control: e.place.control(g), Counter: e.place.counter(g),
		Discovery: e.place.agent(g, 0), PeerListen: e.place.peer(g), Broadcast: e.place.relay(e.s.Fleet.Gateways)}
	for other := range e.s.Fleet.Gateways {
		a.Peers = append(a.Peers, e.place.relay(other))
	}
	for k := range e.s.Fleet.ListServices {
		a.Registries = append(a.Registries, e.place.agent(g, k))
	}
	known := e.agents[g][0].known()
	var list any
	if len(known.Instances) > 0 {
		list = known
		e.step(stamped{e.now(), world.ListDelivered{Gateway: g, Version: known.Generation, Full: true, Entries: e.entries(known)}})
	}
	config, err := e.s.GatewayConfig(g, a, list)
	if err != nil {
		return err
	}
	return e.gateways[g].start(e.starter, config, func(how string) {
		e.post(world.Exited{Gateway: g, Cause: how})
	})
}
