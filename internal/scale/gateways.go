package scale

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
	"unsafe"

	"dunlintray/internal/gateway"
	"dunlintray/internal/registry"
)

// gatewayFleet are the hollow gateways of a process.
type gatewayFleet struct {
	all              []*hollowGateway
	synced           atomic.Int64 // those with a list
	updates          atomic.Int64
	updatedInstances atomic.Int64

	wg  sync.WaitGroup
	mu  sync.Mutex // of what follows
	ctx context.Context
}

// hollow is one hollow gateway, over all its lives.
type hollowGateway struct {
	HostedGateway
	fleet *gatewayFleet

	mu      sync.Mutex
	lives   []*gatewayLife
	gateway *gateway.Hollow // of the present life; nil: it is stopped
	stop    context.CancelFunc
	done    chan struct{} // closed when the present life has ended
}

func newGatewayFleet(c *GatewayHost) (*gatewayFleet, error) {
	f := &gatewayFleet{}
	for _, g := range c.Gateways {
		f.all = append(f.all, &hollowGateway{HostedGateway: g, fleet: f})
	}
	return f, nil
}

const syncPollInterval = 20 * time.Millisecond

func (f *gatewayFleet) run(ctx context.Context, ready func(), _ func([]Change)) {
	f.mu.Lock()
	f.ctx = ctx
	f.mu.Unlock()
	for _, h := range f.all {
		if err := h.start(ctx); err != nil {
			panic(err) // of a configuration that this program wrote
		}
	}
	for ctx.Err() == nil && int(f.synced.Load()) < len(f.all) {
		select {
		case <-ctx.Done():
		case <-time.After(syncPollInterval):
		}
	}
	ready()
	<-ctx.Done()
	f.wg.Wait()
}

// start begins a life of the gateway.
func (h *hollowGateway) start(ctx context.Context) error {
	l := &gatewayLife{}
	g, err := gateway.NewHollow(h.Config, h.Scopes, func(t registry.Update) { h.recordUpdate(l, t) })
	if err != nil {
		return fmt.Errorf("gateway %d: %w", h.Number, err)
	}
	ctx, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lives, h.gateway, h.stop, h.done = append(h.lives, l), g, stop, done
	h.fleet.wg.Go(func() {
		defer close(done)
		g.Run(ctx)
	})
	return nil
}

// heard takes note of an answer.
func (h *hollowGateway) recordUpdate(l *gatewayLife, t registry.Update) {
	now := time.Now().UnixNano()
	h.fleet.updates.Add(1)
	h.fleet.updatedInstances.Add(int64(len(t.Changes.Instances)))
	h.mu.Lock()
	defer h.mu.Unlock()
	if l.endedAt != 0 {
		return
	}
	if len(l.updates) == 0 {
		h.fleet.synced.Add(1)
	}
	l.updates = append(l.updates, receivedUpdate{t.Generation, now})
}

// end ends the present life, as a kill does: nobody is told.
func (h *hollowGateway) kill() {
	h.mu.Lock()
	stop, done := h.stop, h.done
	if h.gateway == nil {
		h.mu.Unlock()
		return
	}
	h.gateway = nil
	l := h.lives[len(h.lives)-1]
	l.endedAt = time.Now().UnixNano()
	if len(l.updates) > 0 {
		h.fleet.synced.Add(-1)
	}
	h.mu.Unlock()
	stop()
	<-done
}

func (f *gatewayFleet) execute(c Command) {
	f.mu.Lock()
	ctx := f.ctx
	f.mu.Unlock()
	for _, h := range f.all {
		switch {
		case c.Stop != nil && c.Stop.includesGateway(h.Place):
			f.wg.Go(h.kill)
		case c.Resume != nil && c.Resume.includesGateway(h.Place) && h.current() == nil:
			if err := h.start(ctx); err != nil {
				panic(err)
			}
		}
	}
}

func (h *hollowGateway) current() *gateway.Hollow {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.gateway
}

func (f *gatewayFleet) sample(s *Sample) {
	s.Updates, s.UpdatedInstances, s.Synced = f.updates.Load(), f.updatedInstances.Load(), int(f.synced.Load())
	for _, h := range f.all {
		h.mu.Lock()
		for _, l := range h.lives {
			s.HeapBytes -= uint64(cap(l.updates)) * uint64(unsafe.Sizeof(receivedUpdate{})) // the measurement's own
		}
		g := h.gateway
		h.mu.Unlock()
		if g == nil {
			continue
		}
		view, on := g.Members()
		if !on {
			continue
		}
		s.Members.Agents++
		s.Members.Sent += view.Stats.Sent
		s.Members.SentBytes += view.Stats.SentBytes
		s.Members.Received += view.Stats.Received
		s.Members.Dropped += view.Stats.Dropped
		for _, m := range view.Members {
			if m.Present() {
				s.Members.Present++
			}
		}
	}
}

func (f *gatewayFleet) views() (all []View) {
	for _, h := range f.all {
		g := h.current()
		if g == nil {
			continue
		}
		held := g.Backends()
		v := View{Gateway: h.Number, Version: held.Version, Count: len(held.Backends)}
		var d digest
		for _, b := range held.Backends {
			d.add(b.ID, b.Lifecycle)
		}
		v.Digest = uint64(d)
		all = append(all, v)
	}
	return all
}

func (f *gatewayFleet) latency(changes []Change) *Latency {
	l := &Latency{}
	for _, h := range f.all {
		h.mu.Lock()
		for _, life := range h.lives {
			life.addLatencies(h.Gateway, changes, l)
		}
		h.mu.Unlock()
	}
	return l
}
