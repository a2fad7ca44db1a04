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

// gatewayFleet runs the hollow gateways of a process.
type gatewayFleet struct {
	all              []*hollowGateway
	synced           atomic.Int64 // gateways that have received a list
	updates          atomic.Int64
	updatedInstances atomic.Int64

	wg  sync.WaitGroup
	mu  sync.Mutex // guards ctx
	ctx context.Context
}

// hollowGateway is one hollow gateway over all its restarts.
type hollowGateway struct {
	HostedGateway
	fleet *gatewayFleet

	mu      sync.Mutex
	lives   []*gatewayLife
	gateway *gateway.Hollow // nil while the gateway is stopped
	stop    context.CancelFunc
	done    chan struct{} // closed when the current life has ended
}

func newGatewayFleet(config *GatewayHost) (*gatewayFleet, error) {
	fleet := &gatewayFleet{}
	for _, hosted := range config.Gateways {
		fleet.all = append(fleet.all, &hollowGateway{HostedGateway: hosted, fleet: fleet})
	}
	return fleet, nil
}

const syncPollInterval = 20 * time.Millisecond

func (f *gatewayFleet) run(ctx context.Context, ready func(), _ func([]Change)) {
	f.mu.Lock()
	f.ctx = ctx
	f.mu.Unlock()
	for _, hollow := range f.all {
		if err := hollow.start(ctx); err != nil {
			panic(err) // the run wrote the configuration
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

// start begins a new life of the gateway.
func (h *hollowGateway) start(ctx context.Context) error {
	life := &gatewayLife{}
	running, err := gateway.NewHollow(h.Config, h.Scopes, func(update registry.Update) { h.recordUpdate(life, update) })
	if err != nil {
		return fmt.Errorf("gateway %d: %w", h.Number, err)
	}
	ctx, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lives, h.gateway, h.stop, h.done = append(h.lives, life), running, stop, done
	h.fleet.wg.Go(func() {
		defer close(done)
		running.Run(ctx)
	})
	return nil
}

// recordUpdate records an update that the gateway received.
func (h *hollowGateway) recordUpdate(life *gatewayLife, update registry.Update) {
	now := time.Now().UnixNano()
	h.fleet.updates.Add(1)
	h.fleet.updatedInstances.Add(int64(len(update.Changes.Instances)))
	h.mu.Lock()
	defer h.mu.Unlock()
	if life.endedAt != 0 {
		return
	}
	if len(life.updates) == 0 {
		h.fleet.synced.Add(1)
	}
	life.updates = append(life.updates, receivedUpdate{update.Generation, now})
}

// kill ends the current life without notifying the registry or other gateways.
func (h *hollowGateway) kill() {
	h.mu.Lock()
	stop, done := h.stop, h.done
	if h.gateway == nil {
		h.mu.Unlock()
		return
	}
	h.gateway = nil
	life := h.lives[len(h.lives)-1]
	life.endedAt = time.Now().UnixNano()
	if len(life.updates) > 0 {
		h.fleet.synced.Add(-1)
	}
	h.mu.Unlock()
	stop()
	<-done
}

func (f *gatewayFleet) execute(command Command) {
	f.mu.Lock()
	ctx := f.ctx
	f.mu.Unlock()
	for _, hollow := range f.all {
		switch {
		case command.Stop != nil && command.Stop.includesGateway(hollow.Place):
			f.wg.Go(hollow.kill)
		case command.Resume != nil && command.Resume.includesGateway(hollow.Place) && hollow.current() == nil:
			if err := hollow.start(ctx); err != nil {
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

func (f *gatewayFleet) sample(sample *Sample) {
	sample.Updates, sample.UpdatedInstances, sample.Synced = f.updates.Load(), f.updatedInstances.Load(), int(f.synced.Load())
	for _, hollow := range f.all {
		hollow.mu.Lock()
		for _, life := range hollow.lives {
			sample.HeapBytes -= uint64(cap(life.updates)) * uint64(unsafe.Sizeof(receivedUpdate{})) // records of the measurement itself
		}
		running := hollow.gateway
		hollow.mu.Unlock()
		if running == nil {
			continue
		}
		view, enabled := running.Members()
		if !enabled {
			continue
		}
		sample.Members.Agents++
		sample.Members.Sent += view.Stats.Sent
		sample.Members.SentBytes += view.Stats.SentBytes
		sample.Members.Received += view.Stats.Received
		sample.Members.Dropped += view.Stats.Dropped
		for _, m := range view.Members {
			if m.Present() {
				sample.Members.Present++
			}
		}
	}
}

func (f *gatewayFleet) views() (all []View) {
	for _, hollow := range f.all {
		running := hollow.current()
		if running == nil {
			continue
		}
		held := running.Backends()
		view := View{Gateway: hollow.Number, Version: held.Version, Count: len(held.Backends)}
		var sum digest
		for _, b := range held.Backends {
			sum.add(b.ID, b.Lifecycle)
		}
		view.Digest = uint64(sum)
		all = append(all, view)
	}
	return all
}

func (f *gatewayFleet) latency(changes []Change) *Latency {
	total := &Latency{}
	for _, hollow := range f.all {
		hollow.mu.Lock()
		for _, life := range hollow.lives {
			life.addLatencies(hollow.Gateway, changes, total)
		}
		hollow.mu.Unlock()
	}
	return total
}
