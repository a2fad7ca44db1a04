package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"dunlintray/internal/membership"
	"dunlintray/internal/registry"
)

// Hollow is a gateway without clients, for scale runs. It follows the service registries,
// feeds the decision module and takes part in the membership as a gateway does, but opens no
// connection to a backend or to the counter. A process can run many of them.
type Hollow struct {
	loop         *Loop
	pools        *pools
	follower     *listFollower
	members      *membership.Agent
	connectivity *connectivity
}

var errNoRegistries = errors.New("registries: a gateway without clients follows list services")

// NewHollow returns a gateway for the text of a configuration, which must name registries.
// If scopes is not empty, it replaces the scopes of the configuration and may span several
// services. The gateway passes each answer of a service registry that has changes to observe,
// from one of its goroutines, before it applies the answer.
func NewHollow(config []byte, scopes []registry.Scope, observe func(registry.Update)) (*Hollow, error) {
	parsed, err := parseConfig(config)
	if err != nil {
		return nil, err
	}
	if len(parsed.Registries) == 0 {
		return nil, errNoRegistries
	}
	parsed.observe = observe
	metrics := newMetrics(&parsed)
	hollow := &Hollow{pools: newPools(seconds(parsed.ConnectTimeout), seconds(parsed.KeepAlive), parsed.resourcePlan(1).backendConns, metrics)}
	hollow.loop = newLoop(&parsed, metrics.newService(parsed.Deployment, parsed.maxBodyBytes()), metrics, hollow.pools, nil, func() {})
	hollow.follower = newListFollower(&parsed, hollow.loop)
	if len(scopes) > 0 {
		hollow.follower.registryClient.SetScopes(scopes)
	}
	if hollow.members, err = newMembership(&parsed, hollow.loop); err != nil {
		return nil, err
	}
	if hollow.members != nil {
		hollow.connectivity = newConnectivity(hollow.members, hollow.follower.registryClient.Age, hollow.loop.contact, time.Now())
	}
	return hollow, nil
}

// Run runs the gateway until ctx ends.
func (h *Hollow) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { h.loop.run(ctx) })
	wg.Go(func() { h.pools.sweep(ctx) })
	wg.Go(func() { h.follower.run(ctx) })
	if h.members != nil {
		wg.Go(func() { h.members.Run(ctx) })
		wg.Go(func() { h.connectivity.run(ctx) })
	}
}

// Backends returns the list that the gateway has applied. The view is empty once Run has
// returned.
func (h *Hollow) Backends() BackendsView {
	view := make(chan BackendsView, 1)
	if !h.loop.post(backendsViewRequest{backendsQuery{all: true}, view}) {
		return BackendsView{}
	}
	select {
	case v := <-view:
		return v
	case <-h.loop.stopped:
		return BackendsView{}
	}
}

// Members returns this gateway's view of the membership. Without membership, ok is false.
func (h *Hollow) Members() (view membership.View, ok bool) {
	if h.members == nil {
		return membership.View{}, false
	}
	return h.members.View(), true
}
