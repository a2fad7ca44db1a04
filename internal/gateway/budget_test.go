package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Over any schedule the budget is never overdrawn, everyone who asks has a word in
// time, those who wait are served in the order they came, and all comes back.
func TestBudgetOverRandomSchedules(t *testing.T) {
	for seed := range uint64(50) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			b := &budget{total: 100}
			var mu sync.Mutex
			var served []int // of those that had to wait
			at := map[int]time.Time{}
			done := make(chan struct{})
			const askers = 200
			for i := range askers {
				time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
				n, hold := 1+random.IntN(40), time.Duration(random.IntN(3000))*time.Millisecond
				patience := time.Duration(1+random.IntN(4000)) * time.Millisecond
				if random.IntN(3) == 0 { // one that only tries
					if b.tryReserve(n) {
						time.AfterFunc(hold, func() { b.release(n) })
					}
				}
				if used, most := b.usage(); used > b.total || most > b.total {
					t.Fatalf("seed %d: %d of %d, at most %d", seed, used, b.total, most)
				}
				free := !b.hasWaiters() && b.used+n <= b.total
				go func() {
					defer func() { done <- struct{}{} }()
					ctx, cancel := context.WithTimeout(context.Background(), patience)
					defer cancel()
					began := time.Now()
					err := b.reserve(ctx, n)
					if took := time.Since(began); took > min(budgetTimeout, patience) || free && took > 0 {
						t.Errorf("seed %d: a word after %v", seed, took)
					}
					if err != nil {
						return
					}
					mu.Lock()
					if at[i] = time.Now(); !free {
						served = append(served, i)
					}
					mu.Unlock()
					time.Sleep(hold)
					b.release(n)
				}()
				synctest.Wait()
			}
			for range askers {
				<-done
			}
			time.Sleep(time.Minute) // for those that only tried
			slices.Sort(served)
			if len(served) == 0 || !slices.IsSortedFunc(served, func(i, j int) int { return at[i].Compare(at[j]) }) {
				t.Errorf("seed %d: of %v one was served before one that had come first", seed, served)
			}
			if b.used != 0 || len(b.waiters) != 0 {
				t.Errorf("seed %d: %d left, %d wait", seed, b.used, len(b.waiters))
			}
		})
	}
}

// A window grows for a body that fills it while there is room, shrinks when
// others wait, is never less than the small one, and gives all back.
func TestWindow(t *testing.T) {
	b := &budget{total: 2 * maxWindow}
	w := window{budget: b}
	size := func(want int) {
		t.Helper()
		if got := len(w.buffer()); got != want {
			t.Errorf("a window of %d bytes, want %d; %d taken", got, want, b.used)
		}
	}
	size(minWindow)
	w.recordUse(minWindow - 1)
	size(minWindow)
	w.recordUse(minWindow)
	size(maxWindow)
	w.release()
	size(maxWindow) // it fills what it has, as before
	other := window{budget: b}
	other.buffer()
	other.recordUse(minWindow)
	if len(other.buffer()) != minWindow {
		t.Error("a window grew into what is kept for those that come")
	}
	waits := make(chan error)
	go func() { waits <- b.reserve(t.Context(), 2*maxWindow-minWindow-minWindow) }()
	for !b.hasWaiters() {
		time.Sleep(time.Millisecond) // until it waits
	}
	size(minWindow)
	if err := <-waits; err != nil {
		t.Error(err)
	}
	none := window{budget: b}
	if len(none.buffer()) != uncountedBytes {
		t.Error("no window at all without a budget")
	}
	own := window{budget: b, prepaid: minWindow}
	if len(own.buffer()) != minWindow {
		t.Error("what a transfer holds already is not its window")
	}
	b.release(2*maxWindow - minWindow - minWindow)
	for _, w := range []*window{&w, &other, &none, &own} {
		w.release()
	}
	if b.used != 0 {
		t.Errorf("%d left", b.used)
	}
}

// A peer is given up for a pause, or for too little over all, and not for what
// the other side took.
func TestPace(t *testing.T) {
	p := pace{maxPause: 10 * time.Second, grace: 10 * time.Second, minRate: 1000}
	if w := p.allowedWait(); w != 10*time.Second {
		t.Errorf("at first %v", w)
	}
	for range 9 { // a byte a second
		p.record(1, time.Second)
	}
	if w := p.allowedWait(); w < time.Second || w > 1100*time.Millisecond {
		t.Errorf("a byte now and then: %v", w)
	}
	p.record(1e6, time.Second)
	if w := p.allowedWait(); w != 10*time.Second {
		t.Errorf("after a second's megabyte: %v", w)
	}
	events := pace{maxPause: 10 * time.Second, grace: 10 * time.Second}
	events.record(1, time.Hour)
	if w := events.allowedWait(); w != 10*time.Second {
		t.Errorf("without a rate: %v", w)
	}
}
