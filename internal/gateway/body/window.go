package body

import "sync"

// Sizes of a window, in bytes.
const (
	MinWindow = 16 << 10
	MaxWindow = 64 << 10 // for a transfer that fills its window, while memory is free
)

var (
	maxWindowPool = sync.Pool{New: func() any { return new([MaxWindow]byte) }}
	minWindowPool = sync.Pool{New: func() any { return new([MinWindow]byte) }}
	uncountedPool = sync.Pool{New: func() any { return new([UncountedBytes]byte) }}
)

// Window is the buffer through which the remainder of a body passes. One goroutine owns it. Between pieces
// it may be empty.
type Window struct {
	prepaid  int         // bytes that the transfer has reserved already: 0 or MinWindow
	reserved Reservation // beyond prepaid
	buffer   []byte
	full     bool // the last piece filled the buffer, so more is likely to follow
}

// Init prepares a window whose transfer has reserved the given number of bytes for it.
func (w *Window) Init(account *Account, prepaid int) {
	w.prepaid, w.reserved.account, w.reserved.kind = prepaid, account, WindowBuffer
}

// Buffer returns a buffer for the next piece: of MaxWindow for a body that fills it while memory is free,
// else of MinWindow, and if not even that is free, of UncountedBytes.
func (w *Window) Buffer() []byte {
	account := w.reserved.account
	switch size := len(w.buffer); {
	case size == MaxWindow && account.HasWaiters():
		w.resize(MinWindow)
	case size < MaxWindow && w.full && w.reserved.tryGrowTo(w.cost(MaxWindow), account.Total()/spareDivisor):
		w.resize(MaxWindow)
	case size < MinWindow && (w.prepaid > 0 || w.reserved.tryGrowTo(MinWindow, 0)):
		w.resize(MinWindow)
	case size == 0:
		w.resize(UncountedBytes)
	}
	return w.buffer
}

// RecordUse records how many bytes of the buffer the last piece used.
func (w *Window) RecordUse(bytes int) { w.full = bytes == len(w.buffer) }

// Release returns the buffer.
func (w *Window) Release() { w.resize(0) }

// resize replaces the buffer and gives back what the new one does not need. The caller has reserved what
// it needs beyond the old one.
func (w *Window) resize(size int) {
	w.reserved.shrinkTo(w.cost(size))
	switch len(w.buffer) {
	case MaxWindow:
		maxWindowPool.Put((*[MaxWindow]byte)(w.buffer))
	case MinWindow:
		minWindowPool.Put((*[MinWindow]byte)(w.buffer))
	case UncountedBytes:
		uncountedPool.Put((*[UncountedBytes]byte)(w.buffer))
	}
	switch w.buffer = nil; size {
	case MaxWindow:
		w.buffer = maxWindowPool.Get().(*[MaxWindow]byte)[:]
	case MinWindow:
		w.buffer = minWindowPool.Get().(*[MinWindow]byte)[:]
	case UncountedBytes:
		w.buffer = uncountedPool.Get().(*[UncountedBytes]byte)[:]
	}
}

// cost returns the bytes that a buffer of the given size takes beyond what is prepaid.
func (w *Window) cost(size int) int {
	if size < MinWindow {
		return 0
	}
	return size - w.prepaid
}
