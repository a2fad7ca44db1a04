package body

import (
	"io"
	"sync"
	"time"
)

// Prefix buffers the start of a body until the body is complete, the buffer is full, or
// the body is released for streaming. One goroutine fills it. The consumer of the body gets
// the buffered bytes, also while the buffer is being filled, and then reads the remainder
// from src itself.
type Prefix struct {
	src      io.Reader
	capacity int // bytes to buffer

	mu        sync.Mutex
	changed   sync.Cond // on mu; signals new bytes and fillDone
	held      []byte
	err       error // of the last read; io.EOF at the end of the body
	streaming bool
	fillDone  bool // Fill has returned or has nothing left to do
}

// NewPrefix returns an empty prefix of a body. A negative length means that the length is
// unknown.
func NewPrefix(src io.Reader, length int64, capacity int) *Prefix {
	prefix := &Prefix{src: src, capacity: capacity, fillDone: capacity == 0}
	prefix.changed.L = &prefix.mu
	if length >= 0 && length <= int64(capacity) {
		prefix.held = make([]byte, 0, length)
	}
	return prefix
}

// Fill reads until the body is complete, the buffer is full, or the body has been released.
// It reports whether the body is complete, or the error of a failed read.
func (p *Prefix) Fill() (complete bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		if len(p.held) == cap(p.held) && (cap(p.held) == 0 || len(p.held) < p.capacity) {
			grown := make([]byte, len(p.held), min(max(2*cap(p.held), 512), p.capacity))
			copy(grown, p.held)
			p.held = grown
		}
		room := p.held[len(p.held):cap(p.held)]
		p.mu.Unlock()
		n, err := p.src.Read(room)
		p.mu.Lock()
		p.held, p.err = p.held[:len(p.held)+n], err
		p.fillDone = err != nil || p.streaming || len(p.held) == p.capacity
		p.changed.Broadcast()
		switch {
		case err == io.EOF:
			return true, nil
		case p.fillDone:
			return false, err
		}
	}
}

// FillWithin fills for at most the given time. After that the body is released for streaming and the
// prefix is filled in the background.
func (p *Prefix) FillWithin(timeout time.Duration) (complete bool, err error) {
	type fillResult struct {
		complete bool
		err      error
	}
	results := make(chan fillResult, 1)
	go func() { complete, err := p.Fill(); results <- fillResult{complete, err} }()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case result := <-results:
		return result.complete, result.err
	case <-timer.C:
	}
	if p.Release() {
		return false, nil
	}
	result := <-results
	return result.complete, result.err
}

// Release marks the body for streaming. It returns false if the body is already being
// streamed or the buffer is no longer being filled.
func (p *Prefix) Release() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fillDone || p.streaming {
		return false
	}
	p.streaming = true
	return true
}

// Released reports whether the body was marked for streaming.
func (p *Prefix) Released() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.streaming
}

// Next returns the buffered bytes from offset on. It waits while there are none and the
// buffer is being filled. It returns nil once the remainder has to be read from src, with
// the error of the last read, if any.
func (p *Prefix) Next(offset int) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.streaming = true
	for offset == len(p.held) && !p.fillDone {
		p.changed.Wait()
	}
	if offset < len(p.held) {
		return p.held[offset:], nil
	}
	return nil, p.err
}

// Wait waits until the buffer is no longer being filled.
func (p *Prefix) Wait() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.streaming = true
	for !p.fillDone {
		p.changed.Wait()
	}
}

// Discard frees the buffered bytes, which are not needed any more.
func (p *Prefix) Discard() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held = nil
}

// Held returns the buffered bytes of a complete body.
func (p *Prefix) Held() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held
}
