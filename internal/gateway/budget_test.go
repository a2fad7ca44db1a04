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

// waitingReservation is a reservation that had to wait.
type waitingReservation struct {
	begin, deadline, end time.Time
	granted              bool
}

// overtook reports whether the reservation was granted while another one, with an earlier deadline, waited.
func (r waitingReservation) overtook(other waitingReservation) bool {
	return r.granted && other.begin.Before(r.end) && other.end.After(r.end) && other.deadline.Before(r.deadline)
}

// Over random schedules the budget is never exceeded, every reservation is granted or refused
// in time, waiting reservations are served in the order of their deadlines, and all memory is released.
func TestBudgetOverRandomSchedules(t *testing.T) {
	for seed := range uint64(50) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			budget := &budget{total: 100}
			var mu sync.Mutex
			var waited []waitingReservation
			done := make(chan struct{})
			const requests = 200
			for range requests {
				time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
				bytes, hold := 1+random.IntN(40), time.Duration(random.IntN(3000))*time.Millisecond
				timeout := time.Duration(1+random.IntN(4000)) * time.Millisecond
				if random.IntN(3) == 0 { // one that does not wait
					if budget.tryReserve(bytes) {
						time.AfterFunc(hold, func() { budget.release(bytes) })
					}
				}
				if used, peak := budget.usage(); used > budget.total || peak > budget.total {
					t.Fatalf("seed %d: %d bytes reserved of %d, peak %d", seed, used, budget.total, peak)
				}
				free := !budget.hasWaiters() && budget.used+bytes <= budget.total
				go func() {
					defer func() { done <- struct{}{} }()
					ctx, cancel := context.WithTimeout(context.Background(), timeout)
					defer cancel()
					start := time.Now()
					err := budget.reserve(ctx, bytes)
					if took := time.Since(start); took > min(budgetTimeout, timeout) || free && took > 0 {
						t.Errorf("seed %d: reservation took %v, limit %v, memory free %t", seed, took, min(budgetTimeout, timeout), free)
					}
					if !free {
						mu.Lock()
						waited = append(waited, waitingReservation{begin: start, deadline: start.Add(min(budgetTimeout, timeout)), end: time.Now(), granted: err == nil})
						mu.Unlock()
					}
					if err != nil {
						return
					}
					time.Sleep(hold)
					budget.release(bytes)
				}()
				synctest.Wait()
			}
			for range requests {
				<-done
			}
			time.Sleep(time.Minute) // for the reservations that did not wait
			if !slices.ContainsFunc(waited, func(r waitingReservation) bool { return r.granted }) {
				t.Errorf("seed %d: no waiting reservation was served", seed)
			}
			for _, reservation := range waited {
				if slices.ContainsFunc(waited, reservation.overtook) {
					t.Errorf("seed %d: %+v was served before one with an earlier deadline", seed, reservation)
				}
			}
			if budget.used != 0 || len(budget.waiters) != 0 {
				t.Errorf("seed %d: at the end %d bytes are reserved and %d reservations wait", seed, budget.used, len(budget.waiters))
			}
		})
	}
}

// A window grows for a body that fills it while memory is free, shrinks when reservations
// wait, is never smaller than uncountedBytes, and releases all memory.
func TestWindowSizes(t *testing.T) {
	shared := &budget{total: 2 * maxWindow}
	main := window{budget: shared}
	checkSize := func(want int) {
		t.Helper()
		if got := len(main.buffer()); got != want {
			t.Errorf("window of %d bytes, want %d; %d bytes reserved", got, want, shared.used)
		}
	}
	checkSize(minWindow)
	main.recordUse(minWindow - 1)
	checkSize(minWindow)
	main.recordUse(minWindow)
	checkSize(maxWindow)
	main.release()
	checkSize(maxWindow) // the last piece filled the buffer
	other := window{budget: shared}
	other.buffer()
	other.recordUse(minWindow)
	if len(other.buffer()) != minWindow {
		t.Error("a window grew into the spare part of the budget")
	}
	reserved := make(chan error)
	go func() { reserved <- shared.reserve(t.Context(), 2*maxWindow-minWindow-minWindow) }()
	for !shared.hasWaiters() {
		time.Sleep(time.Millisecond)
	}
	checkSize(minWindow)
	if err := <-reserved; err != nil {
		t.Error(err)
	}
	none := window{budget: shared}
	if len(none.buffer()) != uncountedBytes {
		t.Errorf("without free memory the window is not of %d bytes", uncountedBytes)
	}
	prepaid := window{budget: shared, prepaid: minWindow}
	if len(prepaid.buffer()) != minWindow {
		t.Errorf("with prepaid memory the window is not of %d bytes", minWindow)
	}
	shared.release(2*maxWindow - minWindow - minWindow)
	for _, used := range []*window{&main, &other, &none, &prepaid} {
		used.release()
	}
	if shared.used != 0 {
		t.Errorf("%d bytes still reserved", shared.used)
	}
}

// The pace ends a transfer after a long pause or if the peer is too slow in total, and counts
// only the time spent waiting for that peer.
func TestPaceLimitsWaiting(t *testing.T) {
	steady := pace{maxPause: 10 * time.Second, grace: 10 * time.Second, minRate: 1000}
	if wait := steady.allowedWait(); wait != 10*time.Second {
		t.Errorf("at the start: %v, want 10s", wait)
	}
	for range 9 { // a byte a second
		steady.record(1, time.Second)
	}
	if wait := steady.allowedWait(); wait < time.Second || wait > 1100*time.Millisecond {
		t.Errorf("after 9 bytes in 9 s: %v, want 1s to 1.1s", wait)
	}
	steady.record(1e6, time.Second)
	if wait := steady.allowedWait(); wait != 10*time.Second {
		t.Errorf("after 1 MB in 1 s: %v, want 10s", wait)
	}
	events := pace{maxPause: 10 * time.Second, grace: 10 * time.Second}
	events.record(1, time.Hour)
	if wait := events.allowedWait(); wait != 10*time.Second {
		t.Errorf("without a minimum rate: %v, want 10s", wait)
	}
}
