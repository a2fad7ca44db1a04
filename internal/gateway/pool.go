package gateway

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"dunlintray/rules"
)

const (
	idleMargin    = time.Second            // how long before the backend's keep-alive limit a connection is given up
	sweepInterval = 500 * time.Millisecond // between two sweeps for connections that have been idle too long

	localFailureRetryTime = 250 * time.Millisecond // how long a dial is tried again after failures of this machine
)

// settleTime is how long a connection stays unused after a response. Bytes that the
// backend sends in that time belong to no request and are found by alive. Tests whose
// backends send nothing late shorten it.
var settleTime = 50 * time.Millisecond

// target is the pool of connections to one backend process at one address. Retiring the
// target closes its idle connections and cancels its dials.
type target struct {
	address string
	born    float64         // start of the backend process, as discovery reports it
	ctx     context.Context // cancelled when the target is retired; dials stop with it
	cancel  context.CancelFunc
	conns   map[*backendConn]struct{} // all, idle or in use
	idle    []*backendConn            // most recently used last
	retired bool
}

// newTarget returns an empty pool for a backend process.
func newTarget(address string, born float64) *target {
	t := &target{address: address, born: born, conns: map[*backendConn]struct{}{}}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	return t
}

// pools holds the connections to all backends. It is safe for concurrent use.
type pools struct {
	connectTimeout time.Duration
	idleLimit      time.Duration // idle connections that are older are closed
	settle         time.Duration // see settleTime
	maxOpen        int           // limit of connections and dials over all backends
	metrics        *metrics
	logLimit       logLimiter // of log lines about missing descriptors
	dial           func(context.Context, *target, time.Duration) (*backendConn, error)

	mu      sync.Mutex
	targets map[rules.BackendID]*target
	open    int // connections and dials over all targets
}

// newPools returns pools without backends.
func newPools(connectTimeout, keepAlive time.Duration, mostOpen int, f *metrics) *pools {
	return &pools{connectTimeout: connectTimeout, idleLimit: idleLimit(keepAlive),
		settle: settleTime, maxOpen: mostOpen, metrics: f, logLimit: logLimiter{max: 1}, dial: dial, targets: map[rules.BackendID]*target{}}
}

// keep sets the limit of connections over all backends.
func (p *pools) setMaxOpen(most int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxOpen = most
}

// retune sets the time-outs of connections that are opened or returned from now on.
func (p *pools) setTimeouts(connectTimeout, keepAlive time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connectTimeout, p.idleLimit = connectTimeout, idleLimit(keepAlive)
}

// idleLimit returns how long a connection may be idle: less than keepAlive, after which
// the backend closes it.
func idleLimit(keepAlive time.Duration) time.Duration { return max(keepAlive-idleMargin, keepAlive/2) }

// update sets the address and the process start of a ready backend. If either is new, it
// retires the connections to the former process or address.
func (p *pools) update(id rules.BackendID, address string, born float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.targets[id]
	if old != nil && old.address == address && old.born >= born {
		return
	}
	if old != nil {
		// Requests in flight at an earlier process will never be answered.
		p.retire(old, old.born < born)
	}
	p.targets[id] = newTarget(address, born)
}

// renew cancels the dials and closes the idle connections to a backend, and keeps its
// address for new ones.
func (p *pools) renew(id rules.BackendID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.targets[id]; t != nil {
		p.retire(t, false)
		p.targets[id] = newTarget(t.address, t.born)
	}
}

// remove stops all new requests to a backend that drains or is gone, and cancels pending
// dials. Requests in flight there may still be answered.
func (p *pools) remove(id rules.BackendID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.targets[id]; t != nil {
		p.retire(t, false)
		delete(p.targets, id)
	}
}

// retire closes the idle connections of a target and cancels its dials; with inUse it
// closes the connections in use as well. The caller holds mu.
func (p *pools) retire(t *target, inUse bool) {
	t.retired = true
	t.cancel()
	for c := range t.conns {
		if inUse || !c.idleSince.IsZero() {
			c.Close()
		}
	}
	for _, c := range t.idle {
		p.forget(c)
	}
	t.idle = nil
}

var (
	// errNoConn says that the backend is not known, or retired.
	errNoConn = errors.New("no connection to be had")
	// errConnLimit says that this gateway holds as many connections as it may.
	errConnLimit = errors.New("the limit of connections to backends is reached")
)

// conn returns an idle connection to the backend, or dials a new one.
func (p *pools) acquire(ctx context.Context, id rules.BackendID) (*backendConn, error) {
	p.mu.Lock()
	t := p.targets[id]
	if t == nil {
		p.mu.Unlock()
		return nil, errNoConn
	}
	// A backend may send surplus bytes some milliseconds after a response. On a reused
	// connection they would pass for the next response; on one that settles first, alive
	// finds them. A connection is reused at once only if the limit allows no other.
	for n := len(t.idle) - 1; n >= 0; n-- {
		c := t.idle[n]
		if c.idleFor = time.Since(c.idleSince); c.idleFor < p.settle && p.open < p.maxOpen {
			continue
		}
		t.idle = slices.Delete(t.idle, n, n+1)
		if c.idleFor < p.idleLimit && alive(c.Conn) {
			c.idleSince = time.Time{}
			p.mu.Unlock()
			return c, nil
		}
		c.Close()
		p.forget(c)
	}
	if p.open >= p.maxOpen {
		p.mu.Unlock()
		return nil, errConnLimit
	}
	p.open++
	within := p.connectTimeout
	p.mu.Unlock()
	c, err := p.dialWithRetry(ctx, t, within)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil && t.retired {
		c.Close()
		err = errNoConn
	}
	if err != nil {
		p.open--
		return nil, err
	}
	t.conns[c] = struct{}{}
	return c, nil
}

// dialAgain dials, again after a pause while the failure is this machine's own.
func (p *pools) dialWithRetry(ctx context.Context, t *target, within time.Duration) (*backendConn, error) {
	var pause backoff
	for began := time.Now(); ; {
		c, err := p.dial(ctx, t, within)
		if !localFailure(err) {
			return c, err
		}
		if p.logLimit.allow() {
			slog.Error("no connection to a backend can be opened", "error", err)
		}
		if outOfResources(err) {
			p.closeLongestIdle() // an idle connection to another backend makes room
		}
		next := pause.nextDelay()
		if time.Since(began)+next > localFailureRetryTime || !sleepFor(ctx, next) {
			return nil, err
		}
	}
}

// put returns a connection to its pool, or closes it if the pool has been retired.
func (p *pools) put(c *backendConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.target.retired {
		c.Close()
		p.forget(c)
		return
	}
	c.idleSince = time.Now()
	c.target.idle = append(c.target.idle, c)
}

// discard closes a connection that must not be reused.
func (p *pools) discard(c *backendConn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forget(c)
}

// forget removes a closed connection from its target. The caller holds mu.
func (p *pools) forget(c *backendConn) {
	if _, here := c.target.conns[c]; here {
		delete(c.target.conns, c)
		p.open--
	}
}

// sweep closes connections that have been idle too long. When ctx ends it closes all
// connections and returns.
func (p *pools) sweep(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			p.mu.Lock()
			defer p.mu.Unlock()
			for id, t := range p.targets {
				p.retire(t, true)
				delete(p.targets, id)
			}
			return
		case <-tick.C:
			p.mu.Lock()
			for _, t := range p.targets {
				p.closeIdleSince(t, time.Now().Add(-p.idleLimit))
			}
			p.mu.Unlock()
		}
	}
}

// closeOldest closes the connections that have been idle since before the given time.
// The caller holds mu.
func (p *pools) closeIdleSince(t *target, before time.Time) {
	n := 0
	for ; n < len(t.idle) && t.idle[n].idleSince.Before(before); n++ {
		t.idle[n].Close()
		p.forget(t.idle[n])
	}
	t.idle = append(t.idle[:0], t.idle[n:]...)
}

// giveUpIdle closes the connection that has been idle longest over all backends.
func (p *pools) closeLongestIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	var oldest *target
	for _, t := range p.targets {
		if len(t.idle) > 0 && (oldest == nil || t.idle[0].idleSince.Before(oldest.idle[0].idleSince)) {
			oldest = t
		}
	}
	if oldest != nil {
		c := oldest.idle[0]
		oldest.idle = slices.Delete(oldest.idle, 0, 1)
		c.Close()
		p.forget(c)
	}
}
