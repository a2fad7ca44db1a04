package body

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

// Over random schedules the account is never exceeded, every reservation is granted or refused
// in time, waiting reservations are served in the order of their deadlines, and all memory is released.
func TestAccountOverRandomSchedules(t *testing.T) {
	for seed := range uint64(50) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			account := NewAccount(100)
			var mu sync.Mutex
			var waited []waitingReservation
			done := make(chan struct{})
			const requests = 200
			for range requests {
				time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
				bytes, hold := 1+random.IntN(40), time.Duration(random.IntN(3000))*time.Millisecond
				timeout := time.Duration(1+random.IntN(4000)) * time.Millisecond
				if random.IntN(3) == 0 { // one that does not wait
					if reservation := account.TryReserve(ReadAhead, bytes); reservation != nil {
						time.AfterFunc(hold, reservation.Release)
					}
				}
				if used, peak := account.Usage(); used > account.total || peak > account.total {
					t.Fatalf("seed %d: %d bytes reserved of %d, peak %d", seed, used, account.total, peak)
				}
				free := !account.HasWaiters() && account.used+bytes <= account.total
				go func() {
					defer func() { done <- struct{}{} }()
					ctx, cancel := context.WithTimeout(context.Background(), timeout)
					defer cancel()
					start := time.Now()
					reservation, err := account.Reserve(ctx, RequestStart, bytes)
					if took := time.Since(start); took > min(MaxWait, timeout) || free && took > 0 {
						t.Errorf("seed %d: reservation took %v, limit %v, memory free %t", seed, took, min(MaxWait, timeout), free)
					}
					if !free {
						mu.Lock()
						waited = append(waited, waitingReservation{begin: start, deadline: start.Add(min(MaxWait, timeout)), end: time.Now(), granted: err == nil})
						mu.Unlock()
					}
					if err != nil {
						return
					}
					time.Sleep(hold)
					reservation.Release()
					reservation.Release() // gives nothing back
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
			if account.Held() != [KindCount]int{} || account.used != 0 || len(account.waiters) != 0 {
				t.Errorf("seed %d: at the end %v bytes are reserved and %d reservations wait", seed, account.Held(), len(account.waiters))
			}
		})
	}
}

// A window grows for a body that fills it while memory is free, shrinks when reservations
// wait, is never smaller than UncountedBytes, and releases all memory.
func TestWindowSizes(t *testing.T) {
	shared := NewAccount(2 * MaxWindow)
	var main, other, none, prepaid Window
	for _, window := range []*Window{&main, &other, &none} {
		window.Init(shared, 0)
	}
	prepaid.Init(shared, MinWindow)
	checkSize := func(want int) {
		t.Helper()
		if got := len(main.Buffer()); got != want {
			t.Errorf("window of %d bytes, want %d; %d bytes reserved", got, want, shared.used)
		}
	}
	checkSize(MinWindow)
	main.RecordUse(MinWindow - 1)
	checkSize(MinWindow)
	main.RecordUse(MinWindow)
	checkSize(MaxWindow)
	main.Release()
	checkSize(MaxWindow) // the last piece filled the buffer
	other.Buffer()
	other.RecordUse(MinWindow)
	if len(other.Buffer()) != MinWindow {
		t.Error("a window grew into the spare part of the budget")
	}
	reserved := make(chan *Reservation)
	go func() {
		reservation, _ := shared.Reserve(t.Context(), RequestStart, 2*MaxWindow-MinWindow-MinWindow)
		reserved <- reservation
	}()
	for !shared.HasWaiters() {
		time.Sleep(time.Millisecond)
	}
	checkSize(MinWindow)
	rest := <-reserved
	if rest == nil {
		t.Error("the reservation was refused")
	}
	if len(none.Buffer()) != UncountedBytes {
		t.Errorf("without free memory the window is not of %d bytes", UncountedBytes)
	}
	if len(prepaid.Buffer()) != MinWindow {
		t.Errorf("with prepaid memory the window is not of %d bytes", MinWindow)
	}
	rest.Release()
	for _, used := range []*Window{&main, &other, &none, &prepaid} {
		used.Release()
	}
	if shared.used != 0 {
		t.Errorf("%d bytes still reserved", shared.used)
	}
}

// The pace ends a transfer after a long pause or if the peer is too slow in total, and counts
// only the time spent waiting for that peer.
func TestPaceLimitsWaiting(t *testing.T) {
	steady := Pace{MaxPause: 10 * time.Second, Grace: 10 * time.Second, MinRate: 1000}
	if wait := steady.AllowedWait(); wait != 10*time.Second {
		t.Errorf("at the start: %v, want 10s", wait)
	}
	for range 9 { // a byte a second
		steady.Record(1, time.Second)
	}
	if wait := steady.AllowedWait(); wait < time.Second || wait > 1100*time.Millisecond {
		t.Errorf("after 9 bytes in 9 s: %v, want 1s to 1.1s", wait)
	}
	steady.Record(1e6, time.Second)
	if wait := steady.AllowedWait(); wait != 10*time.Second {
		t.Errorf("after 1 MB in 1 s: %v, want 10s", wait)
	}
	events := Pace{MaxPause: 10 * time.Second, Grace: 10 * time.Second}
	events.Record(1, time.Hour)
	if wait := events.AllowedWait(); wait != 10*time.Second {
		t.Errorf("without a minimum rate: %v, want 10s", wait)
	}
}
