package gateway

import (
	"context"
	"errors"
	"sync"
	"time"
)

// A body's start is held in full, its rest goes through a window.
const (
	bodyMemoryDivisor = 4               // a part of the memory, for all bodies
	uncountedBytes    = 4 << 10         // bytes; there are no more bodies than connections, which hold as much themselves
	minWindow         = 16 << 10        // what every transfer is sure of
	maxWindow         = 64 << 10        // of one that uses it, while there is room
	spareDivisor      = 4               // a part of the budget that larger windows leave to those that come
	budgetTimeout     = 2 * time.Second // for memory
	budgetRetryAfter  = 1               // seconds after which one that was refused may come again
)

var errNoBodyMemory = errors.New("no memory for a body")

// budget bounds the memory that bodies take, both ways. Those that wait stand in
// one line and hold nothing, so that none waits for one that waits for it.
type budget struct {
	mu      sync.Mutex
	total   int // bytes
	used    int
	peak    int // used at once since the start
	waiters []*waiter
}

// claim is one that waits.
type waiter struct {
	bytes   int
	granted chan struct{}
}

func bodyMemory(memoryMB int) int { return memoryMB << 20 / bodyMemoryDivisor }

// limit changes the total. What is taken stays taken.
func (b *budget) setTotal(total int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total = total
	b.grantWaiters()
}

// try takes n bytes if they are free and nobody waits.
func (b *budget) tryReserve(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiters) > 0 || b.used+n > b.total {
		return false
	}
	b.add(n)
	return true
}

// room takes what holding the start of an answer needs, or less if there is
// less. What is not counted is always to be had.
func (b *budget) reserveUpTo(most int) (taken, room int) {
	for _, n := range [...]int{most, minWindow} {
		if n <= uncountedBytes {
			return 0, n
		}
		if n <= most && b.tryReserve(n) {
			return n, n
		}
	}
	return 0, uncountedBytes
}

// shrink gives back what a body of so many bytes does not need of what was taken
// for it, and returns the rest.
func (b *budget) shrink(taken, bytes int) int {
	if bytes <= uncountedBytes {
		bytes = 0
	}
	left := min(taken, bytes)
	b.release(taken - left)
	return left
}

// tryMore takes n bytes that are not needed, only wanted.
func (b *budget) tryReserveSpare(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiters) > 0 || b.used+n > b.total-b.total/spareDivisor {
		return false
	}
	b.add(n)
	return true
}

// take waits for n bytes for a while.
func (b *budget) reserve(ctx context.Context, n int) error {
	b.mu.Lock()
	if len(b.waiters) == 0 && b.used+n <= b.total {
		b.add(n)
		b.mu.Unlock()
		return nil
	}
	c := &waiter{n, make(chan struct{})}
	b.waiters = append(b.waiters, c)
	b.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, budgetTimeout)
	defer cancel()
	select {
	case <-c.granted:
		return nil
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, waiting := range b.waiters {
		if waiting == c {
			b.waiters = append(b.waiters[:i], b.waiters[i+1:]...)
			b.grantWaiters() // one that wanted less may stand behind it
			return errNoBodyMemory
		}
	}
	return nil // granted just now
}

func (b *budget) release(n int) {
	if n == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
	b.grantWaiters()
}

// crowded tells whether some wait.
func (b *budget) hasWaiters() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.waiters) > 0
}

// usage returns the bytes taken, and the most that were.
func (b *budget) usage() (used, most int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used, b.peak
}

func (b *budget) add(n int) {
	b.used += n
	b.peak = max(b.peak, b.used)
}

// serve grants what there is room for, first come first served. Danger: one that
// wants much would starve if those that want little went past it.
func (b *budget) grantWaiters() {
	for len(b.waiters) > 0 && b.used+b.waiters[0].bytes <= b.total {
		b.add(b.waiters[0].bytes)
		close(b.waiters[0].granted)
		b.waiters[0] = nil
		b.waiters = b.waiters[1:]
	}
}

// window is the buffer through which the rest of a body passes. One goroutine
// owns it. It has none while there is nothing to pass.
type window struct {
	budget  *budget
	prepaid int // bytes of the budget that its transfer holds already: 0 or leastWindow
	buf     []byte
	full    bool // the last piece filled it: there is more where that came from
}

var (
	maxWindowPool = sync.Pool{New: func() any { return new([maxWindow]byte) }}
	minWindowPool = sync.Pool{New: func() any { return new([minWindow]byte) }}
	uncountedPool = sync.Pool{New: func() any { return new([uncountedBytes]byte) }}
)

// open returns a buffer: a large one for a body that fills it, while there is
// room, else the least one. Where even that is not to be had, there is the
// small one that is not counted.
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

// passed notes how much of the buffer was used.
func (w *window) recordUse(n int) { w.full = n == len(w.buf) }

// close gives the buffer back.
func (w *window) release() { w.resize(0) }

// resize swaps the buffer, and gives back what it takes less of the budget. What
// it takes more has been taken.
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

// counted is what a buffer takes of the budget.
func (w *window) cost(size int) int {
	if size < minWindow {
		return 0
	}
	return size - w.prepaid
}
