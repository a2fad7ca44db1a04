package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"dunlintray/internal/membership"
	"dunlintray/internal/registry"
)

// Hollow is a gateway without clients, for scale runs: it follows the list services, feeds
// the decision module and takes part in the membership as a gateway does, and opens
// no connection to a backend or to the counter. Many fit into one process.
type Hollow struct {
	loop         *Loop
	pools        *pools
	follower     *listFollower
	members      *membership.Agent
	connectivity *connectivity
}

var errNoRegistries = errors.New("registries: a gateway without clients follows list services")

// NewHollow makes a gateway of the text of a configuration. It reads the scopes in place of
// those of the configuration, if there are any: they may be of several services, as a
// gateway with routes by service would read them. Each answer of the list services that
// tells something new goes to observe, from a goroutine of the gateway, before the gateway
// takes it in.
func NewHollow(config []byte, scopes []registry.Scope, observe func(registry.Told)) (*Hollow, error) {
	c, err := parseConfig(config)
	if err != nil {
		return nil, err
	}
	if len(c.Registries) == 0 {
		return nil, errNoRegistries
	}
	c.observe = observe
	figures := newMetrics(&c)
	_, backends := splitDescriptors(c.Sockets - reservedDescriptors)
	h := &Hollow{pools: newPools(seconds(c.ConnectTimeout), seconds(c.KeepAlive), backends, figures)}
	h.loop = newLoop(&c, figures.newService(c.Deployment, c.maxBodyBytes()), figures, h.pools, nil, func() {})
	h.follower = newListFollower(&c, h.loop)
	if len(scopes) > 0 {
		h.follower.registryClient.SetScopes(scopes)
	}
	if h.members, err = newMembership(&c, h.loop); err != nil {
		return nil, err
	}
	if h.members != nil {
		h.connectivity = newConnectivity(h.members, h.follower.registryClient.Age, h.loop.contact, time.Now())
	}
	return h, nil
}

// Run works until ctx ends.
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

// Backends returns what the gateway holds of the list. It is empty once the gateway
// has ended.
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

// Members returns who is present by this gateway's view; without membership, ok is false.
func (h *Hollow) Members() (view membership.View, ok bool) {
	if h.members == nil {
		return membership.View{}, false
	}
	return h.members.View(), true
}
