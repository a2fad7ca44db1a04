package body

import "sync"

// Reservation is memory of an account. Its owner gives it back with Release; each byte is given back once,
// however often Release is called. It must not be copied. A nil Reservation holds nothing. It is safe for
// concurrent use.
type Reservation struct {
	account *Account
	kind    Kind

	mu    sync.Mutex // also lets go vet find copies
	bytes int
}

func newReservation(account *Account, kind Kind, bytes int) *Reservation {
	return &Reservation{account: account, kind: kind, bytes: bytes}
}

// Release gives all bytes back.
func (r *Reservation) Release() { r.shrinkTo(0) }

// Shrink gives back what a body of the given length does not need.
func (r *Reservation) Shrink(length int) {
	if length <= UncountedBytes {
		length = 0
	}
	r.shrinkTo(length)
}

// Split moves bytes into a reservation of its own, of another kind. The bytes must be reserved.
func (r *Reservation) Split(kind Kind, bytes int) *Reservation {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bytes -= bytes
	r.account.move(r.kind, kind, bytes)
	return newReservation(r.account, kind, bytes)
}

// shrinkTo gives back what exceeds the given number of bytes.
func (r *Reservation) shrinkTo(bytes int) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if excess := r.bytes - bytes; excess > 0 {
		r.bytes = bytes
		r.account.remove(r.kind, excess)
	}
}

// tryGrowTo reserves what is missing to the given number of bytes, if it is free beyond the spare bytes.
func (r *Reservation) tryGrowTo(bytes, spare int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.account.tryAdd(r.kind, bytes-r.bytes, spare) {
		return false
	}
	r.bytes = bytes
	return true
}

// move counts reserved bytes as another kind.
func (a *Account) move(from, to Kind, bytes int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.held[from] -= bytes
	a.held[to] += bytes
}

// Slot is a fixed number of bytes that its owner holds at most once, over and over. Without an account it is
// always granted. It is safe for concurrent use.
type Slot struct {
	account *Account
	kind    Kind
	bytes   int

	mu     sync.Mutex
	held   *Reservation
	closed bool // nothing is reserved any more
}

// NewSlot returns a slot that holds nothing.
func NewSlot(account *Account, kind Kind, bytes int) *Slot {
	return &Slot{account: account, kind: kind, bytes: bytes}
}

// Acquire reserves the bytes, unless they are held already. It returns false if there is no memory.
func (s *Slot) Acquire() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.account == nil || s.held != nil {
		return true
	}
	if !s.closed {
		s.held = s.account.TryReserve(s.kind, s.bytes)
	}
	return s.held != nil
}

// Release gives the bytes back, if they are held.
func (s *Slot) Release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held.Release()
	s.held = nil
}

// Close gives the bytes back, and lets nothing be reserved later.
func (s *Slot) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.Release()
}
