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
	idleMargin    = time.Second            // a connection is closed this long before the backend's keep-alive limit
	sweepInterval = 500 * time.Millisecond // between two sweeps that close idle connections

	localFailureRetryTime = 250 * time.Millisecond // how long a dial is retried after local failures
)

// settleTime is how long a connection stays unused after a response, so that alive can
// detect surplus bytes that the backend sends in that time. Tests whose backends send none
// shorten it.
var settleTime = 50 * time.Millisecond

// backendPool is the pool of connections to one backend process at one address. Retiring the
// pool closes its idle connections and cancels its dials.
type backendPool struct {
	address   string
	startedAt float64         // start of the backend process in Unix seconds, as discovery reports it
	ctx       context.Context // cancelled when the pool is retired; dials stop with it
	cancel    context.CancelFunc
	conns     map[*backendConn]struct{} // all, idle or in use
	idle      []*backendConn            // most recently used last
	retired   bool
}

// newBackendPool returns an empty pool for a backend process.
func newBackendPool(address string, startedAt float64) *backendPool {
	pool := &backendPool{address: address, startedAt: startedAt, conns: map[*backendConn]struct{}{}}
	pool.ctx, pool.cancel = context.WithCancel(context.Background())
	return pool
}

// addIdle adds a connection to the idle ones, at its place in the order of last use. The caller
// holds the lock of the pools.
func (p *backendPool) addIdle(conn *backendConn) {
	place := len(p.idle)
	for place > 0 && p.idle[place-1].idleSince.After(conn.idleSince) {
		place--
	}
	p.idle = slices.Insert(p.idle, place, conn)
}

// pools holds the connections to all backends. It is safe for concurrent use.
type pools struct {
	connectTimeout time.Duration
	idleLimit      time.Duration // connections that have been idle for longer are closed
	settle         time.Duration // see settleTime
	maxOpen        int           // limit of connections and dials over all backends
	metrics        *metrics
	logLimit       logLimiter // for log lines about local failures
	dial           func(context.Context, *backendPool, time.Duration) (*backendConn, error)

	mu        sync.Mutex
	byBackend map[rules.BackendID]*backendPool
	openCount int // connections and dials over all backends
}

// newPools returns pools without backends.
func newPools(connectTimeout, keepAlive time.Duration, maxOpen int, metrics *metrics) *pools {
	return &pools{connectTimeout: connectTimeout, idleLimit: idleLimit(keepAlive),
		settle: settleTime, maxOpen: maxOpen, metrics: metrics, logLimit: logLimiter{max: 1}, dial: dial, byBackend: map[rules.BackendID]*backendPool{}}
}

// setMaxOpen sets the limit of connections over all backends.
func (p *pools) setMaxOpen(maxOpen int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxOpen = maxOpen
}

// setTimeouts sets the timeouts of connections that are opened or returned from now on.
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
func (p *pools) update(id rules.BackendID, address string, startedAt float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	existing := p.byBackend[id]
	if existing != nil && existing.address == address && existing.startedAt >= startedAt {
		return
	}
	if existing != nil {
		// Requests in flight at an earlier process will never be answered.
		p.retire(existing, existing.startedAt < startedAt)
	}
	p.byBackend[id] = newBackendPool(address, startedAt)
}

// renew cancels the dials and closes the idle connections to a backend, and keeps its
// address for new ones.
func (p *pools) renew(id rules.BackendID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pool := p.byBackend[id]; pool != nil {
		p.retire(pool, false)
		p.byBackend[id] = newBackendPool(pool.address, pool.startedAt)
	}
}

// remove stops all new requests to a backend that drains or is gone, and cancels pending
// dials. Requests in flight there may still be answered.
func (p *pools) remove(id rules.BackendID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pool := p.byBackend[id]; pool != nil {
		p.retire(pool, false)
		delete(p.byBackend, id)
	}
}

// retire closes the idle connections of a pool and cancels its dials; with inUse it
// closes the connections in use as well. The caller holds mu.
func (p *pools) retire(pool *backendPool, inUse bool) {
	pool.retired = true
	pool.cancel()
	for conn := range pool.conns {
		if inUse || !conn.idleSince.IsZero() {
			conn.Close()
		}
	}
	for _, conn := range pool.idle {
		p.forget(conn)
	}
	pool.idle = nil
}

var (
	// errNoConn reports that the backend is unknown or retired.
	errNoConn = errors.New("no connection to be had")
	// errConnLimit reports that the gateway has reached its limit of connections.
	errConnLimit = errors.New("the limit of connections to backends is reached")
)

// acquire returns an idle connection to the backend, or dials a new one.
//
// A backend may send surplus bytes some milliseconds after a response. On a connection that is
// reused they would be taken for the next response, so a connection is used again only once it
// has settled, when alive detects them. At the limit of connections acquire waits for that.
func (p *pools) acquire(ctx context.Context, id rules.BackendID) (*backendConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool := p.byBackend[id]
	if pool == nil {
		return nil, errNoConn
	}
	if conn := p.takeSettled(pool); conn != nil {
		return conn, nil
	}
	if p.openCount >= p.maxOpen && len(pool.idle) > 0 {
		if conn, err := p.awaitSettled(ctx, pool); conn != nil || err != nil {
			return conn, err
		}
	}
	if p.openCount >= p.maxOpen {
		return nil, errConnLimit
	}
	return p.open(ctx, pool)
}

// takeSettled returns the most recently used of the settled idle connections of a pool that are
// alive, or nil if there is none. The caller holds mu.
func (p *pools) takeSettled(pool *backendPool) *backendConn {
	for i := len(pool.idle) - 1; i >= 0; i-- {
		conn := pool.idle[i]
		if time.Since(conn.idleSince) < p.settle {
			continue
		}
		pool.idle = slices.Delete(pool.idle, i, i+1)
		if p.beginUse(conn) {
			return conn
		}
	}
	return nil
}

// awaitSettled waits until the connection of a pool that has been idle longest has settled, and
// returns it. It returns nil without an error if that connection turns out to be unusable. The
// caller holds mu, which is released during the wait.
func (p *pools) awaitSettled(ctx context.Context, pool *backendPool) (*backendConn, error) {
	conn := pool.idle[0]
	pool.idle = slices.Delete(pool.idle, 0, 1) // no other attempt may wait for it
	p.mu.Unlock()
	settled := sleepFor(ctx, p.settle-time.Since(conn.idleSince))
	p.mu.Lock()
	switch {
	case pool.retired:
		conn.Close()
		p.forget(conn)
		return nil, errNoConn
	case !settled:
		pool.addIdle(conn)
		return nil, ctx.Err()
	case p.beginUse(conn):
		return conn, nil
	}
	return nil, nil
}

// beginUse marks a settled connection as in use. It returns false, and closes the connection, if
// the connection has been idle too long or is not alive. The caller holds mu.
func (p *pools) beginUse(conn *backendConn) bool {
	conn.idleFor = time.Since(conn.idleSince)
	if conn.idleFor < p.idleLimit && alive(conn.Conn) {
		conn.idleSince = time.Time{}
		return true
	}
	conn.Close()
	p.forget(conn)
	return false
}

// open dials a connection. The caller holds mu, which is released during the dial, and has
// checked the limit of connections.
func (p *pools) open(ctx context.Context, pool *backendPool) (*backendConn, error) {
	p.openCount++
	connectTimeout := p.connectTimeout
	p.mu.Unlock()
	conn, err := p.dialWithRetry(ctx, pool, connectTimeout)
	p.mu.Lock()
	if err == nil && pool.retired {
		conn.Close()
		err = errNoConn
	}
	if err != nil {
		p.openCount--
		return nil, err
	}
	pool.conns[conn] = struct{}{}
	return conn, nil
}

// dialWithRetry dials, and retries after a pause for up to localFailureRetryTime while the
// failure is local.
func (p *pools) dialWithRetry(ctx context.Context, pool *backendPool, timeout time.Duration) (*backendConn, error) {
	var pause backoff
	for start := time.Now(); ; {
		conn, err := p.dial(ctx, pool, timeout)
		if !localFailure(err) {
			return conn, err
		}
		if p.logLimit.allow() {
			slog.Error("no connection to a backend can be opened", "error", err)
		}
		if outOfResources(err) {
			p.closeLongestIdle() // an idle connection to any backend makes room
		}
		delay := pause.nextDelay()
		if time.Since(start)+delay > localFailureRetryTime || !sleepFor(ctx, delay) {
			return nil, err
		}
	}
}

// put returns a connection to its pool, or closes it if the pool has been retired.
func (p *pools) put(conn *backendConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn.pool.retired {
		conn.Close()
		p.forget(conn)
		return
	}
	conn.releaseBuffers()
	conn.idleSince = time.Now()
	conn.pool.addIdle(conn)
}

// discard closes a connection that must not be reused.
func (p *pools) discard(conn *backendConn) {
	conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forget(conn)
}

// forget removes a closed connection from its pool. The caller holds mu.
func (p *pools) forget(conn *backendConn) {
	if _, open := conn.pool.conns[conn]; open {
		delete(conn.pool.conns, conn)
		p.openCount--
	}
}

// sweep closes connections that have been idle too long. When ctx ends it closes all
// connections and returns.
func (p *pools) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.mu.Lock()
			defer p.mu.Unlock()
			for id, pool := range p.byBackend {
				p.retire(pool, true)
				delete(p.byBackend, id)
			}
			return
		case <-ticker.C:
			p.mu.Lock()
			for _, pool := range p.byBackend {
				p.closeIdleSince(pool, time.Now().Add(-p.idleLimit))
			}
			p.mu.Unlock()
		}
	}
}

// closeIdleSince closes the connections that have been idle since before the cutoff. The
// caller holds mu.
func (p *pools) closeIdleSince(pool *backendPool, cutoff time.Time) {
	n := 0
	for ; n < len(pool.idle) && pool.idle[n].idleSince.Before(cutoff); n++ {
		pool.idle[n].Close()
		p.forget(pool.idle[n])
	}
	pool.idle = append(pool.idle[:0], pool.idle[n:]...)
}

// closeLongestIdle closes the connection that has been idle longest over all backends.
func (p *pools) closeLongestIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	var oldest *backendPool
	for _, pool := range p.byBackend {
		if len(pool.idle) > 0 && (oldest == nil || pool.idle[0].idleSince.Before(oldest.idle[0].idleSince)) {
			oldest = pool
		}
	}
	if oldest != nil {
		conn := oldest.idle[0]
		oldest.idle = slices.Delete(oldest.idle, 0, 1)
		conn.Close()
		p.forget(conn)
	}
}
