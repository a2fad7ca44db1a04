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
	all     []*hollow
	listed  atomic.Int64 // those with a list
	told    atomic.Int64
	entries atomic.Int64

	wg  sync.WaitGroup
	mu  sync.Mutex // of what follows
	ctx context.Context
}

// hollow is one hollow gateway, over all its lives.
type hollow struct {
	HostedGateway
	of *gatewayFleet

	mu      sync.Mutex
	lives   []*life
	gateway *gateway.Hollow // of the present life; nil: it is stopped
	stop    context.CancelFunc
	done    chan struct{} // closed when the present life has ended
}

func newGatewayFleet(c *GatewayHost) (*gatewayFleet, error) {
	f := &gatewayFleet{}
	for _, g := range c.Gateways {
		f.all = append(f.all, &hollow{HostedGateway: g, of: f})
	}
	return f, nil
}

const listedPace = 20 * time.Millisecond

func (f *gatewayFleet) run(ctx context.Context, ready func(), _ func([]Change)) {
	f.mu.Lock()
	f.ctx = ctx
	f.mu.Unlock()
	for _, h := range f.all {
		if err := h.start(ctx); err != nil {
			panic(err) // of a configuration that this program wrote
		}
	}
	for ctx.Err() == nil && int(f.listed.Load()) < len(f.all) {
		select {
		case <-ctx.Done():
		case <-time.After(listedPace):
		}
	}
	ready()
	<-ctx.Done()
	f.wg.Wait()
}

// start begins a life of the gateway.
func (h *hollow) start(ctx context.Context) error {
	l := &life{}
	g, err := gateway.NewHollow(h.Config, h.Scopes, func(t registry.Update) { h.heard(l, t) })
	if err != nil {
		return fmt.Errorf("gateway %d: %w", h.Number, err)
	}
	ctx, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lives, h.gateway, h.stop, h.done = append(h.lives, l), g, stop, done
	h.of.wg.Go(func() {
		defer close(done)
		g.Run(ctx)
	})
	return nil
}

// heard takes note of an answer.
func (h *hollow) heard(l *life, t registry.Update) {
	now := time.Now().UnixNano()
	h.of.told.Add(1)
	h.of.entries.Add(int64(len(t.Changes.Instances)))
	h.mu.Lock()
	defer h.mu.Unlock()
	if l.ended != 0 {
		return
	}
	if len(l.told) == 0 {
		h.of.listed.Add(1)
	}
	l.told = append(l.told, update{t.Generation, now})
}

// end ends the present life, as a kill does: nobody is told.
func (h *hollow) end() {
	h.mu.Lock()
	stop, done := h.stop, h.done
	if h.gateway == nil {
		h.mu.Unlock()
		return
	}
	h.gateway = nil
	l := h.lives[len(h.lives)-1]
	l.ended = time.Now().UnixNano()
	if len(l.told) > 0 {
		h.of.listed.Add(-1)
	}
	h.mu.Unlock()
	stop()
	<-done
}

func (f *gatewayFleet) obey(c Command) {
	f.mu.Lock()
	ctx := f.ctx
	f.mu.Unlock()
	for _, h := range f.all {
		switch {
		case c.Stop != nil && c.Stop.gateway(h.Place):
			f.wg.Go(h.end)
		case c.Resume != nil && c.Resume.gateway(h.Place) && h.present() == nil:
			if err := h.start(ctx); err != nil {
				panic(err)
			}
		}
	}
}

func (h *hollow) present() *gateway.Hollow {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.gateway
}

func (f *gatewayFleet) sample(s *Sample) {
	s.Told, s.Entries, s.Listed = f.told.Load(), f.entries.Load(), int(f.listed.Load())
	for _, h := range f.all {
		h.mu.Lock()
		for _, l := range h.lives {
			s.Heap -= uint64(cap(l.told)) * uint64(unsafe.Sizeof(update{})) // the measurement's own
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
		g := h.present()
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
			life.latency(h.Gateway, changes, l)
		}
		h.mu.Unlock()
	}
	return l
}
