package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"dunlintray/rules"
)

const (
	reservedDescriptors = 64              // descriptors for the counter, discovery, control and the runtime
	clientFraction      = 0.55            // of the other descriptors, for clients; backends get the rest
	cachedListDelay     = 3 * time.Second // without discovery, the list known from before has to do
)

// Run serves clients until ctx ends, then answers what it holds and returns.
// Of a configuration that comes later, the settings and the addresses of
// discovery and of the counter are taken; the rest needs a new start. One that
// is no good changes nothing.
func Run(ctx context.Context, c *Config, reloads <-chan Reload) error {
	var operators net.Listener
	if c.Control != "" {
		var err error
		if operators, err = listenControl(c.Control); err != nil {
			return fmt.Errorf("control: %w", err)
		}
		defer operators.Close()
	}
	listener, err := listenClients(c.Listen, c.Inherited)
	if err != nil {
		return fmt.Errorf("clients: %w", err)
	}
	return serve(ctx, c, reloads, listener, operators, newMetrics(c))
}

func serve(ctx context.Context, c *Config, reloads <-chan Reload, listener, operators net.Listener, figures *metrics) error {
	_, backends := splitDescriptors(c.Sockets - reservedDescriptors)
	pools := newPools(seconds(c.ConnectTimeout), seconds(c.KeepAlive), backends, figures)
	var calls *counter
	if c.Settings.Counter {
		calls = newCounter(c.Counter, seconds(c.CounterTimeout))
	}
	front := &frontend{metrics: figures, clients: newClientListener(listener, 1)}
	front.clients.sharedQueue = c.Inherited != "" || c.HandoverDir != ""
	figures.clients = front.clients
	front.applyService(figures.newService(c.Deployment, c.maxBodyBytes()))
	front.loop = newLoop(c, front.service.Load(), figures, pools, calls, func() { front.ready.Store(true) })

	inner, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer front.loop.attempts.Wait() // after the loop, which starts them, and the sweep, which ends them
	defer wg.Wait()
	defer stop()
	limits := &resourceLimits{config: c, apply: func(clients, backends, memory int) {
		front.clients.setLimit(clients)
		pools.setMaxOpen(backends)
		figures.bodyBudget.setTotal(memory)
	}}
	limits.setPaired(false)
	pair := &handover{loop: front.loop, noPredecessor: make(chan struct{}), setPaired: limits.setPaired}
	front.loop.receiveListing(listUpdate{listing: c.Scopes.filterListing(c.Known), kind: rules.CachedList})
	if c.HandoverDir != "" {
		before, err := pair.join(ctx, c.HandoverDir)
		if err != nil {
			slog.Error("starting without state", "error", err)
		}
		if before != nil {
			front.loop.importState(before)
			slog.Info("state imported", "backends", len(before.Rules.Backends), "customers", len(before.Rules.Customers))
			front.ready.Store(len(before.Listing.Instances) > 0)
		}
		wg.Go(func() {
			if err := pair.serveSuccessors(inner, c.HandoverDir); err != nil {
				slog.Error("no later process can take over", "error", err)
			}
		})
		defer pair.close()
	}
	wg.Go(func() { front.loop.run(inner) })
	wg.Go(func() { pools.sweep(inner) })
	if calls != nil {
		wg.Go(func() { calls.run(inner) })
	}
	members, err := newMembership(c, front.loop)
	if err != nil {
		return err
	}
	follow := newListFollower(c, front.loop)
	var stands *connectivity
	if members != nil {
		present, gone := context.WithCancel(ctx) // a gateway that takes no more clients has left
		defer gone()
		wg.Go(func() { members.Run(present) })
		var lists func() time.Duration
		if follow.registryClient != nil {
			lists = follow.registryClient.Age
		}
		stands = newConnectivity(members, lists, front.loop.contact, time.Now())
		wg.Go(func() { stands.run(present) })
	}
	inForce := c
	wg.Go(func() { follow.run(inner) })
	wg.Go(func() {
		for {
			select {
			case <-inner.Done():
				return
			case r := <-reloads:
				next := &r.Config
				if r.Err == nil {
					r.Err = inForce.checkReload(next)
				}
				if r.Err != nil {
					figures.loadErrors.Add(1)
					slog.Error("not reloaded", "error", r.Err)
					continue
				}
				figures.loads.Add(1)
				slog.Info("reloaded", "discovery", next.Discovery, "counter", next.Counter,
					"deployment", fmt.Sprintf("%+v", next.Deployment))
				in := figures.newService(next.Deployment, next.maxBodyBytes())
				pools.setTimeouts(seconds(next.ConnectTimeout), seconds(next.KeepAlive))
				front.loop.post(settingsChanged{in, next.Scopes.subset})
				front.applyService(in) // the loop knows it before any request that is read under it
				if calls != nil {
					calls.setEndpoint(next.Counter, seconds(next.CounterTimeout))
				}
				follow.reconfigure(inner, next)
				limits.setConfig(next)
				inForce = next
			}
		}
	})
	known := time.AfterFunc(cachedListDelay, func() {
		if len(c.Known.Instances) > 0 {
			front.ready.Store(true)
		}
	})
	defer known.Stop()

	server := front.server()
	failed := make(chan error, 2) // one for each server
	wg.Go(func() { failed <- server.Serve(front.clients) })
	pair.notifyServing()
	if operators != nil {
		call := (&controlServer{metrics: figures, ready: front.acceptsClients, applyOverride: pair.applyOverride, connectivity: stands, loop: front.loop, hasPeer: pair.hasPeer}).server()
		wg.Go(func() { failed <- call.Serve(newRetryingListener(operators, "operators")) })
		defer call.Close() // they may call until the end
	}
	select {
	case err := <-failed:
		return fmt.Errorf("clients: %w", err)
	case <-ctx.Done():
	}
	return shutdown(front, server, pair)
}

// limits shares out what the configuration allows, all of it to a process that is
// alone, and half of it to one of two.
type resourceLimits struct {
	apply func(clients, backends, memory int)

	mu     sync.Mutex
	config *Config
	paired bool
}

func (l *resourceLimits) setPaired(paired bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.paired = paired
	l.divide()
}

func (l *resourceLimits) setConfig(c *Config) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.config = c
	l.divide()
}

func (l *resourceLimits) divide() {
	sockets, memory := l.config.Sockets-reservedDescriptors, l.config.MemoryMB
	if l.paired {
		sockets, memory = l.config.Sockets/2-reservedDescriptors/2, memory/2
	}
	clients, backends := splitDescriptors(sockets)
	l.apply(min(clients, memory<<20/clientMemoryDivisor/idleConnBytes), backends, bodyMemory(memory))
}

// split divides descriptors between clients and backends.
func splitDescriptors(sockets int) (clients, backends int) {
	clients = int(float64(sockets) * clientFraction)
	return clients, sockets - clients
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
