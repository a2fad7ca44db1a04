// Package body holds the bodies of requests and responses while they pass through a gateway: the memory
// that all of them take together, the start of a body that is kept, the buffer through which its remainder
// passes, and the pace that the transfer must keep.
package body

import (
	"context"
	"errors"
	"slices"
	"sort"
	"sync"
	"time"
)

const (
	// UncountedBytes is the size up to which buffers are not counted: each connection holds as much anyway.
	UncountedBytes = 4 << 10

	// MaxWait is how long a reservation waits for memory at most.
	MaxWait = 2 * time.Second

	spareDivisor = 4 // optional reservations leave 1/4 of the account free
)

// ErrNoMemory reports that memory did not become free in time.
var ErrNoMemory = errors.New("no memory for a body")

// Kind is what a reservation is for.
type Kind int

// Kinds of reservations.
const (
	RequestStart  Kind = iota // a body of a request, or the start of it
	ResponseStart             // a body of a response, or the start of it
	WindowBuffer              // the buffer through which the remainder of a body passes
	ReadAhead                 // later requests on a connection
	LongHeader                // a header beyond UncountedBytes
	KindCount
)

// String returns the name of the kind in metrics.
func (k Kind) String() string {
	return [KindCount]string{"request_start", "response_start", "window", "read_ahead", "long_header"}[k]
}

// Account limits the memory that the bodies of requests and responses take. Reservations that have to
// wait are served in the order of their deadlines. A waiting transfer holds no memory, so that waiters
// cannot deadlock. It is safe for concurrent use.
type Account struct {
	mu      sync.Mutex
	total   int // bytes
	held    [KindCount]int
	used    int       // sum of held
	peak    int       // maximum of used since the start
	waiters []*waiter // by deadline
}

// waiter is a reservation that waits for memory.
type waiter struct {
	kind     Kind
	bytes    int
	deadline time.Time
	granted  chan struct{}
}

// NewAccount returns an account of the given number of bytes.
func NewAccount(total int) *Account { return &Account{total: total} }

// SetTotal changes the total. Existing reservations stay.
func (a *Account) SetTotal(total int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.total = total
	a.grantWaiters()
}

// Total returns the bytes that may be reserved.
func (a *Account) Total() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.total
}

// TryReserve reserves bytes if they are free and no reservation waits. Otherwise it returns nil.
func (a *Account) TryReserve(kind Kind, bytes int) *Reservation {
	if !a.tryAdd(kind, bytes, 0) {
		return nil
	}
	return newReservation(a, kind, bytes)
}

// ReserveUpTo reserves memory for a buffer of at most maxBytes, or a smaller one if that is not free, and
// returns the size of the buffer with the reservation. A buffer of UncountedBytes is always available.
func (a *Account) ReserveUpTo(kind Kind, maxBytes int) (reservation *Reservation, room int) {
	for _, size := range [...]int{maxBytes, MinWindow} {
		if size <= UncountedBytes {
			return nil, size
		}
		if size > maxBytes {
			continue
		}
		if reservation := a.TryReserve(kind, size); reservation != nil {
			return reservation, size
		}
	}
	return nil, UncountedBytes
}

// Reserve reserves bytes, and waits up to MaxWait for them. It returns ErrNoMemory if they do not become
// free in time or ctx ends.
func (a *Account) Reserve(ctx context.Context, kind Kind, bytes int) (*Reservation, error) {
	if reservation := a.TryReserve(kind, bytes); reservation != nil {
		return reservation, nil
	}
	ctx, cancel := context.WithTimeout(ctx, MaxWait)
	defer cancel()
	own := &waiter{kind: kind, bytes: bytes, granted: make(chan struct{})}
	own.deadline, _ = ctx.Deadline()
	a.enqueue(own)
	select {
	case <-own.granted:
		return newReservation(a, kind, bytes), nil
	case <-ctx.Done():
	}
	if a.leaveQueue(own) {
		return nil, ErrNoMemory
	}
	return newReservation(a, kind, bytes), nil // granted meanwhile
}

// enqueue adds a waiter behind those that have no later deadline.
func (a *Account) enqueue(own *waiter) {
	a.mu.Lock()
	defer a.mu.Unlock()
	place := sort.Search(len(a.waiters), func(i int) bool { return a.waiters[i].deadline.After(own.deadline) })
	a.waiters = slices.Insert(a.waiters, place, own)
	a.grantWaiters() // a smaller reservation may have come first
}

// leaveQueue removes a waiter. It returns false if the waiter has been granted its memory.
func (a *Account) leaveQueue(own *waiter) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	place := slices.Index(a.waiters, own)
	if place < 0 {
		return false
	}
	a.waiters = slices.Delete(a.waiters, place, place+1)
	a.grantWaiters() // a smaller reservation may come next
	return true
}

// HasWaiters reports whether reservations wait.
func (a *Account) HasWaiters() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.waiters) > 0
}

// Usage returns the bytes reserved now and at the peak.
func (a *Account) Usage() (used, peak int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used, a.peak
}

// Held returns the bytes reserved now, by kind.
func (a *Account) Held() [KindCount]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held
}

// tryAdd counts bytes if they are free beyond the given spare bytes and no reservation waits.
func (a *Account) tryAdd(kind Kind, bytes, spare int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.waiters) > 0 || a.used+bytes > a.total-spare {
		return false
	}
	a.add(kind, bytes)
	return true
}

// remove stops counting bytes.
func (a *Account) remove(kind Kind, bytes int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.held[kind] -= bytes
	a.used -= bytes
	a.grantWaiters()
}

// add counts granted bytes. The caller holds mu.
func (a *Account) add(kind Kind, bytes int) {
	a.held[kind] += bytes
	a.used += bytes
	a.peak = max(a.peak, a.used)
}

// grantWaiters grants waiting reservations in order while memory is free. Smaller ones do not overtake a
// large one, which would starve. The caller holds mu.
func (a *Account) grantWaiters() {
	for len(a.waiters) > 0 && a.used+a.waiters[0].bytes <= a.total {
		first := a.waiters[0]
		a.add(first.kind, first.bytes)
		close(first.granted)
		a.waiters[0] = nil
		a.waiters = a.waiters[1:]
	}
}
