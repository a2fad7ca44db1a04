package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"
)

// The start of a body is buffered in full; its remainder passes through a window.
const (
	uncountedBytes   = 4 << 10         // buffers up to this size are not counted: each connection holds as much anyway
	minWindow        = 16 << 10        // bytes
	maxWindow        = 64 << 10        // bytes, for a transfer that fills its window, while memory is free
	spareDivisor     = 4               // windows above minWindow leave 1/4 of the budget free
	budgetTimeout    = 2 * time.Second // for a reservation
	budgetRetryAfter = 1               // seconds, for the Retry-After header of a rejected request
)

var errNoBodyMemory = errors.New("no memory for a body")

// budget limits the memory that the bodies of requests and responses take. Reservations that
// have to wait are served in the order of their deadlines. A waiting transfer holds no memory, so that waiters cannot
// deadlock. It is safe for concurrent use.
type budget struct {
	mu      sync.Mutex
	total   int       // bytes
	used    int       // bytes
	peak    int       // maximum of used since the start
	waiters []*waiter // by deadline
}

// waiter is a reservation that waits for memory.
type waiter struct {
	bytes    int
	deadline time.Time
	granted  chan struct{}
}

// setTotal changes the total. Existing reservations stay.
func (b *budget) setTotal(total int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total = total
	b.grantWaiters()
}

// tryReserve reserves bytes if they are free and no reservation waits.
func (b *budget) tryReserve(bytes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiters) > 0 || b.used+bytes > b.total {
		return false
	}
	b.add(bytes)
	return true
}

// reserveUpTo reserves memory for a buffer of at most maxBytes, or a smaller one if that is
// not free, and returns the bytes reserved and the size of the buffer. A buffer of
// uncountedBytes is always available.
func (b *budget) reserveUpTo(maxBytes int) (reserved, room int) {
	for _, size := range [...]int{maxBytes, minWindow} {
		if size <= uncountedBytes {
			return 0, size
		}
		if size <= maxBytes && b.tryReserve(size) {
			return size, size
		}
	}
	return 0, uncountedBytes
}

// shrink releases what a body of the given length does not need of its reservation, and
// returns the bytes that stay reserved.
func (b *budget) shrink(reserved, bytes int) int {
	if bytes <= uncountedBytes {
		bytes = 0
	}
	kept := min(reserved, bytes)
	b.release(reserved - kept)
	return kept
}

// tryReserveSpare reserves bytes that are optional: it leaves a part of the budget free.
func (b *budget) tryReserveSpare(bytes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiters) > 0 || b.used+bytes > b.total-b.total/spareDivisor {
		return false
	}
	b.add(bytes)
	return true
}

// reserve reserves bytes, and waits up to budgetTimeout for them. It returns
// errNoBodyMemory if they do not become free in time or ctx ends.
func (b *budget) reserve(ctx context.Context, bytes int) error {
	ctx, cancel := context.WithTimeout(ctx, budgetTimeout)
	defer cancel()
	b.mu.Lock()
	if len(b.waiters) == 0 && b.used+bytes <= b.total {
		b.add(bytes)
		b.mu.Unlock()
		return nil
	}
	own := &waiter{bytes: bytes, granted: make(chan struct{})}
	own.deadline, _ = ctx.Deadline()
	place := len(b.waiters)
	for place > 0 && own.deadline.Before(b.waiters[place-1].deadline) {
		place--
	}
	b.waiters = slices.Insert(b.waiters, place, own)
	b.grantWaiters() // a smaller reservation may have come first
	b.mu.Unlock()
	select {
	case <-own.granted:
		return nil
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, other := range b.waiters {
		if other == own {
			b.waiters = append(b.waiters[:i], b.waiters[i+1:]...)
			b.grantWaiters() // a smaller reservation may come next
			return errNoBodyMemory
		}
	}
	return nil // granted meanwhile
}

// release returns reserved bytes.
func (b *budget) release(bytes int) {
	if bytes == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= bytes
	b.grantWaiters()
}

// hasWaiters reports whether reservations wait.
func (b *budget) hasWaiters() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.waiters) > 0
}

// usage returns the bytes reserved now and at the peak.
func (b *budget) usage() (used, peak int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used, b.peak
}

// add counts a granted reservation. The caller holds mu.
func (b *budget) add(bytes int) {
	b.used += bytes
	b.peak = max(b.peak, b.used)
}

// grantWaiters grants waiting reservations in order while memory is free. Smaller ones do not
// overtake a large one, which would starve. The caller holds mu.
func (b *budget) grantWaiters() {
	for len(b.waiters) > 0 && b.used+b.waiters[0].bytes <= b.total {
		b.add(b.waiters[0].bytes)
		close(b.waiters[0].granted)
		b.waiters[0] = nil
		b.waiters = b.waiters[1:]
	}
}

// reservation is a fixed number of bytes of a budget that its owner holds at most once. It is safe
// for concurrent use. Without a budget it is always granted.
type reservation struct {
	budget *budget
	bytes  int

	mu     sync.Mutex
	held   bool
	closed bool // nothing is reserved any more
}

// acquire reserves the bytes, unless they are held already. It returns false if there is no memory.
func (r *reservation) acquire() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.budget == nil || r.held {
		return true
	}
	r.held = !r.closed && r.budget.tryReserve(r.bytes)
	return r.held
}

// release returns the bytes, if they are held.
func (r *reservation) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.held {
		r.budget.release(r.bytes)
		r.held = false
	}
}

// close returns the bytes, and lets nothing be reserved later.
func (r *reservation) close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.release()
}

// window is the buffer through which the remainder of a body passes. One goroutine owns it.
// Between pieces it may be empty.
type window struct {
	budget  *budget
	prepaid int // bytes that the transfer has reserved already: 0 or minWindow
	buf     []byte
	full    bool // the last piece filled the buffer, so more is likely to follow
}

var (
	maxWindowPool = sync.Pool{New: func() any { return new([maxWindow]byte) }}
	minWindowPool = sync.Pool{New: func() any { return new([minWindow]byte) }}
	uncountedPool = sync.Pool{New: func() any { return new([uncountedBytes]byte) }}
)

// buffer returns a buffer for the next piece: of maxWindow for a body that fills it while
// memory is free, else of minWindow, and if not even that is free, of uncountedBytes.
func (w *window) buffer() []byte {
	switch size := len(w.buf); {
	case size == maxWindow && w.budget.hasWaiters():
		w.resize(minWindow)
	case size < maxWindow && w.full && w.budget.tryReserveSpare(w.cost(maxWindow)-w.cost(size)):
		w.resize(maxWindow)
	case size < minWindow && (w.prepaid > 0 || w.budget.tryReserve(minWindow)):
		w.resize(minWindow)
	case size == 0:
		w.resize(uncountedBytes)
	}
	return w.buf
}

// recordUse records how many bytes of the buffer the last piece used.
func (w *window) recordUse(bytes int) { w.full = bytes == len(w.buf) }

// release returns the buffer.
func (w *window) release() { w.resize(0) }

// resize replaces the buffer and releases the difference if the new one is smaller. The
// caller has reserved the difference if it is larger.
func (w *window) resize(size int) {
	w.budget.release(max(w.cost(len(w.buf))-w.cost(size), 0))
	switch len(w.buf) {
	case maxWindow:
		maxWindowPool.Put((*[maxWindow]byte)(w.buf))
	case minWindow:
		minWindowPool.Put((*[minWindow]byte)(w.buf))
	case uncountedBytes:
		uncountedPool.Put((*[uncountedBytes]byte)(w.buf))
	}
	switch w.buf = nil; size {
	case maxWindow:
		w.buf = maxWindowPool.Get().(*[maxWindow]byte)[:]
	case minWindow:
		w.buf = minWindowPool.Get().(*[minWindow]byte)[:]
	case uncountedBytes:
		w.buf = uncountedPool.Get().(*[uncountedBytes]byte)[:]
	}
}

// cost returns the bytes that a buffer of the given size takes from the budget.
func (w *window) cost(size int) int {
	if size < minWindow {
		return 0
	}
	return size - w.prepaid
}
