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

// cachedListDelay is the time after which, without discovery, the gateway is ready with a cached list.
const cachedListDelay = 3 * time.Second

// Run serves clients until ctx ends, then answers the requests in progress and returns. From
// a reloaded configuration it applies the settings, limits, scopes and subset, and the addresses
// of discovery, service registries and counter; other changes need a restart. An invalid
// configuration is logged and ignored. Run returns an error if it can't open its sockets, join
// the membership or finish in time.
func Run(ctx context.Context, config *Config, reloads <-chan Reload) error {
	var operators net.Listener
	if config.Control != "" {
		var err error
		if operators, err = listenControl(config.Control); err != nil {
			return fmt.Errorf("control: %w", err)
		}
		defer operators.Close()
	}
	listener, err := listenClients(config.Listen, config.Inherited)
	if err != nil {
		return fmt.Errorf("clients: %w", err)
	}
	return serve(ctx, config, reloads, listener, operators, newMetrics(config))
}

// serve runs a gateway on open listeners. The listener for operators is nil if the configuration
// has no address for them.
func serve(ctx context.Context, config *Config, reloads <-chan Reload, listener, operators net.Listener, metrics *metrics) error {
	pools := newPools(seconds(config.ConnectTimeout), seconds(config.KeepAlive), config.resourcePlan(1).backendConns, metrics)
	var counter *counter
	if config.Settings.Counter {
		counter = newCounter(config.Counter, seconds(config.CounterTimeout))
	}
	front := &frontend{metrics: metrics, clients: newClientListener(listener, 1), pacer: newAnswerPacer(config.Cores)}
	front.clients.bodies = metrics.bodies
	front.clients.sharedQueue = config.Inherited != "" || config.HandoverDir != ""
	metrics.clients = front.clients
	front.applyService(metrics.newService(config.Deployment, config.maxBodyBytes()))
	front.loop = newLoop(config, front.service.Load(), metrics, pools, counter, func() { front.ready.Store(true) })

	runCtx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	limits := newResourceLimits(config, func(plan resourcePlan) {
		front.clients.setLimit(plan.clientConns)
		pools.setMaxOpen(plan.backendConns)
		metrics.bodies.SetTotal(plan.bodies)
		front.loop.post(planChanged{plan})
	})
	handover := &handover{loop: front.loop, noPredecessor: make(chan struct{}), setSiblingRunning: limits.setSiblingRunning,
		setSiblingShare: limits.setSiblingShare,
		giveUp:          func() (resourceShare, bool) { return limits.giveUp(metrics.resourcesInUse()) }}
	defer handover.close()           // last: until then this process counts against the limits of the gateway
	defer front.loop.attempts.Wait() // after the loop, which starts attempts, and the sweep, which ends them
	defer wg.Wait()
	defer stop()
	front.loop.receiveListing(listUpdate{listing: config.Scopes.filterListing(config.Known), kind: rules.CachedList})
	if config.HandoverDir != "" {
		front.claim = handover.claim
		imported, err := handover.join(ctx, config.HandoverDir)
		if err != nil {
			slog.Error("starting without state", "error", err)
		}
		if imported != nil {
			front.loop.importState(imported)
			slog.Info("state imported", "backends", len(imported.Rules.Backends), "customers", len(imported.Rules.Customers))
			front.ready.Store(len(imported.Listing.Instances) > 0)
		}
		wg.Go(func() {
			if err := handover.serveSuccessors(runCtx, config.HandoverDir); err != nil {
				slog.Error("no later process can take over", "error", err)
			}
		})
	}
	wg.Go(func() { front.loop.run(runCtx) })
	wg.Go(func() { pools.sweep(runCtx) })
	if counter != nil {
		wg.Go(func() { counter.run(runCtx) })
	}
	members, err := newMembership(config, front.loop)
	if err != nil {
		return err
	}
	follower := newListFollower(config, front.loop)
	var connectivity *connectivity
	if members != nil {
		memberCtx, leave := context.WithCancel(ctx) // a gateway that takes no more clients leaves
		defer leave()
		wg.Go(func() { members.Run(memberCtx) })
		var listAge func() time.Duration
		if follower.registryClient != nil {
			listAge = follower.registryClient.Age
		}
		connectivity = newConnectivity(members, listAge, front.loop.contact, time.Now())
		wg.Go(func() { connectivity.run(memberCtx) })
	}
	active := config
	wg.Go(func() { follower.run(runCtx) })
	wg.Go(func() {
		for {
			select {
			case <-runCtx.Done():
				return
			case reload := <-reloads:
				next := &reload.Config
				if reload.Err == nil {
					reload.Err = active.checkReload(next)
				}
				if reload.Err != nil {
					metrics.loadErrors.Add(1)
					slog.Error("not reloaded", "error", reload.Err)
					continue
				}
				metrics.loads.Add(1)
				slog.Info("reloaded", "discovery", next.Discovery, "counter", next.Counter,
					"deployment", fmt.Sprintf("%+v", next.Deployment))
				service := metrics.newService(next.Deployment, next.maxBodyBytes())
				pools.setTimeouts(seconds(next.ConnectTimeout), seconds(next.KeepAlive))
				front.loop.post(settingsChanged{service, next.Scopes.subset})
				front.applyService(service) // after the loop, which must know it before any request that is read under it
				if counter != nil {
					counter.setEndpoint(next.Counter, seconds(next.CounterTimeout))
				}
				follower.reconfigure(runCtx, next)
				limits.setConfig(next)
				active = next
			}
		}
	})
	cachedListTimer := time.AfterFunc(cachedListDelay, func() {
		if len(config.Known.Instances) > 0 {
			front.ready.Store(true)
		}
	})
	defer cachedListTimer.Stop()

	server := front.server()
	serverErrors := make(chan error, 2) // one for each server
	wg.Go(func() { serverErrors <- server.Serve(front.clients) })
	handover.notifyServing()
	if operators != nil {
		operatorServer := (&controlServer{metrics: metrics, ready: front.acceptsClients, applyOverride: handover.applyOverride, connectivity: connectivity, loop: front.loop, hasSibling: handover.hasSibling}).server()
		wg.Go(func() { serverErrors <- operatorServer.Serve(newRetryingListener(operators, "operators")) })
		defer operatorServer.Close() // operators may call until the end
	}
	select {
	case err := <-serverErrors:
		return fmt.Errorf("clients: %w", err)
	case <-ctx.Done():
	}
	return shutdown(front, server, handover)
}

// seconds converts seconds to a time.Duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
