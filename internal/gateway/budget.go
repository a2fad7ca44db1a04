package gateway

import (
	"context"
	"errors"
	"sync"
	"time"
)

// A body's start is held in full, its rest goes through a window.
const (
	budgetShare  = 4               // a part of the memory, for all bodies
	uncounted    = 4 << 10         // bytes; there are no more bodies than connections, which hold as much themselves
	leastWindow  = 16 << 10        // what every transfer is sure of
	mostWindow   = 64 << 10        // of one that uses it, while there is room
	spareShare   = 4               // a part of the budget that larger windows leave to those that come
	budgetWait   = 2 * time.Second // for memory
	budgetAdvice = 1               // seconds after which one that was refused may come again
)

var errCrowded = errors.New("no memory for a body")

// budget bounds the memory that bodies take, both ways. Those that wait stand in
// one line and hold nothing, so that none waits for one that waits for it.
type budget struct {
	mu    sync.Mutex
	total int // bytes
	used  int
	most  int // used at once since the start
	line  []*claim
}

// claim is one that waits.
type claim struct {
	bytes   int
	granted chan struct{}
}

func bodyMemory(memoryMB int) int { return memoryMB << 20 / budgetShare }

// limit changes the total. What is taken stays taken.
func (b *budget) limit(total int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total = total
	b.serve()
}

// try takes n bytes if they are free and nobody waits.
func (b *budget) try(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.line) > 0 || b.used+n > b.total {
		return false
	}
	b.hold(n)
	return true
}

// room takes what holding the start of an answer needs, or less if there is
// less. What is not counted is always to be had.
func (b *budget) room(most int) (taken, room int) {
	for _, n := range [...]int{most, leastWindow} {
		if n <= uncounted {
			return 0, n
		}
		if n <= most && b.try(n) {
			return n, n
		}
	}
	return 0, uncounted
}

// shrink gives back what a body of so many bytes does not need of what was taken
// for it, and returns the rest.
func (b *budget) shrink(taken, bytes int) int {
	if bytes <= uncounted {
		bytes = 0
	}
	left := min(taken, bytes)
	b.give(taken - left)
	return left
}

// tryMore takes n bytes that are not needed, only wanted.
func (b *budget) tryMore(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.line) > 0 || b.used+n > b.total-b.total/spareShare {
		return false
	}
	b.hold(n)
	return true
}

// take waits for n bytes for a while.
func (b *budget) take(ctx context.Context, n int) error {
	b.mu.Lock()
	if len(b.line) == 0 && b.used+n <= b.total {
		b.hold(n)
		b.mu.Unlock()
		return nil
	}
	c := &claim{n, make(chan struct{})}
	b.line = append(b.line, c)
	b.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, budgetWait)
	defer cancel()
	select {
	case <-c.granted:
		return nil
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, waiting := range b.line {
		if waiting == c {
			b.line = append(b.line[:i], b.line[i+1:]...)
			b.serve() // one that wanted less may stand behind it
			return errCrowded
		}
	}
	return nil // granted just now
}

func (b *budget) give(n int) {
	if n == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
	b.serve()
}

// crowded tells whether some wait.
func (b *budget) crowded() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.line) > 0
}

// usage returns the bytes taken, and the most that were.
func (b *budget) usage() (used, most int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used, b.most
}

func (b *budget) hold(n int) {
	b.used += n
	b.most = max(b.most, b.used)
}

// serve grants what there is room for, first come first served. Danger: one that
// wants much would starve if those that want little went past it.
func (b *budget) serve() {
	for len(b.line) > 0 && b.used+b.line[0].bytes <= b.total {
		b.hold(b.line[0].bytes)
		close(b.line[0].granted)
		b.line[0] = nil
		b.line = b.line[1:]
	}
}

// window is the buffer through which the rest of a body passes. One goroutine
// owns it. It has none while there is nothing to pass.
type window struct {
	budget *budget
	own    int // bytes of the budget that its transfer holds already: 0 or leastWindow
	buf    []byte
	full   bool // the last piece filled it: there is more where that came from
}

var (
	mostWindows  = sync.Pool{New: func() any { return new([mostWindow]byte) }}
	leastWindows = sync.Pool{New: func() any { return new([leastWindow]byte) }}
	smallBuffers = sync.Pool{New: func() any { return new([uncounted]byte) }}
)

// open returns a buffer: a large one for a body that fills it, while there is
// room, else the least one. Where even that is not to be had, there is the
// small one that is not counted.
func (w *window) open() []byte {
	switch size := len(w.buf); {
	case size == mostWindow && w.budget.crowded():
		w.resize(leastWindow)
	case size < mostWindow && w.full && w.budget.tryMore(w.counted(mostWindow)-w.counted(size)):
		w.resize(mostWindow)
	case size < leastWindow && (w.own > 0 || w.budget.try(leastWindow)):
		w.resize(leastWindow)
	case size == 0:
		w.resize(uncounted)
	}
	return w.buf
}

// passed notes how much of the buffer was used.
func (w *window) passed(n int) { w.full = n == len(w.buf) }

// close gives the buffer back.
func (w *window) close() { w.resize(0) }

// resize swaps the buffer, and gives back what it takes less of the budget. What
// it takes more has been taken.
func (w *window) resize(size int) {
	w.budget.give(max(w.counted(len(w.buf))-w.counted(size), 0))
	switch len(w.buf) {
	case mostWindow:
		mostWindows.Put((*[mostWindow]byte)(w.buf))
	case leastWindow:
		leastWindows.Put((*[leastWindow]byte)(w.buf))
	case uncounted:
		smallBuffers.Put((*[uncounted]byte)(w.buf))
	}
	switch w.buf = nil; size {
	case mostWindow:
		w.buf = mostWindows.Get().(*[mostWindow]byte)[:]
	case leastWindow:
		w.buf = leastWindows.Get().(*[leastWindow]byte)[:]
	case uncounted:
		w.buf = smallBuffers.Get().(*[uncounted]byte)[:]
	}
}

// counted is what a buffer takes of the budget.
func (w *window) counted(size int) int {
	if size < leastWindow {
		return 0
	}
	return size - w.own
}
