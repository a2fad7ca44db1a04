package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"dunlintray/internal/group"
	"dunlintray/internal/ledger"
	"dunlintray/internal/linear"
	"dunlintray/internal/link"
)

// Callers put and read two registers at any members while a schedule drawn by seed kills,
// freezes and cuts members off, one way too: what they were told can be put in one order.
// GROUP_SEEDS asks for more schedules.
func TestHistories(t *testing.T) {
	t.Parallel()
	seeds, err := strconv.Atoi(os.Getenv("GROUP_SEEDS"))
	if err != nil {
		seeds = 1
	}
	for seed := range uint64(seeds) {
		m := newMembers(t, 3, false)
		random := rand.New(rand.NewPCG(seed, 1))
		var mu sync.Mutex
		var history []porcupine.Operation
		var done atomic.Int64
		began := time.Now()
		ctx, stop := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		for n := range 4 {
			random := rand.New(rand.NewPCG(seed, uint64(n+2)))
			wg.Go(func() {
				c := group.NewClient(m.at)
				defer c.Close()
				known := map[string]ledger.Record{}
				for k := 0; ctx.Err() == nil; k++ {
					in := linear.Input{Name: []string{"a", "b"}[random.IntN(2)], Get: random.IntN(2) == 0, Unconditional: random.IntN(3) == 0}
					out := linear.Output{Known: true}
					within, cancel := context.WithTimeout(ctx, 2*time.Second)
					call := time.Since(began).Nanoseconds()
					if in.Get {
						r, _, err := c.Get(within, in.Name)
						if out.Known = err == nil; out.Known {
							json.Unmarshal(r.Value, &out.Value)
							known[in.Name] = r
						}
					} else {
						have := known[in.Name]
						json.Unmarshal(have.Value, &in.Expect)
						in.Value = fmt.Sprint(n, "-", k)
						command := ledger.Command{Op: ledger.Put, Name: in.Name, Value: fmt.Appendf(nil, "%q", in.Value)}
						if !in.Unconditional {
							command.Expect = &have.Version
						}
						r, err := c.Do(within, command)
						out.Known, out.Conflict = err == nil, r.Code == ledger.Conflict
						if err == nil && r.Code == ledger.OK {
							known[in.Name] = ledger.Record{Name: in.Name, Version: r.Version, Value: command.Value}
						}
					}
					cancel()
					end := time.Since(began).Nanoseconds()
					if !out.Known {
						if end = 1 << 60; in.Get {
							continue
						}
					}
					mu.Lock()
					history = append(history, porcupine.Operation{ClientId: n, Input: in, Call: call, Output: out, Return: end})
					mu.Unlock()
					if out.Known {
						done.Add(1)
					}
				}
			})
		}
		for range 6 {
			w := m.writer(0, 1, 2)
			one := []int{w, w, random.IntN(3)}[random.IntN(3)]
			before := done.Load()
			on := func() bool { return done.Load() > before+40 }
			switch random.IntN(4) {
			case 0:
				m.kill(one)
				until(t, "calls go on: one is killed", on)
				m.start(one)
			case 1:
				m.signal(one, syscall.SIGSTOP)
				until(t, "calls go on: one is frozen", on)
				m.signal(one, syscall.SIGCONT)
			case 2:
				m.cut(one, link.Dropped)
				until(t, "calls go on: one is cut off", on)
				m.cut(one, link.Up)
			case 3:
				for other := range 3 {
					if r := m.relays[one][other]; r != nil {
						r.Set(link.Forward, link.Condition{Kind: link.Stalled}) // it hears, and is not heard
					}
				}
				until(t, "calls go on: one is not heard", on)
				m.cut(one, link.Up)
			}
			before = done.Load()
			until(t, "calls go on: all are there", on)
		}
		stop()
		wg.Wait()
		if result := porcupine.CheckOperationsTimeout(linear.RegisterModel, history, time.Minute); result != porcupine.Ok {
			t.Errorf("seed %d: %v", seed, result)
		}
		t.Logf("seed %d: %d calls answered, %d in the history", seed, done.Load(), len(history))
		m.killAll()
	}
}
