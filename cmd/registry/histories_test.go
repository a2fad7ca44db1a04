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

// Reads and writes of two registers are linearizable while a seeded schedule kills, freezes and
// partitions members, also in one direction. GROUP_SEEDS sets the number of schedules.
func TestHistoriesAreLinearizable(t *testing.T) {
	t.Parallel()
	seeds, err := strconv.Atoi(os.Getenv("GROUP_SEEDS"))
	if err != nil {
		seeds = 1
	}
	for seed := range uint64(seeds) {
		members := newGroupProcesses(t, 3, false)
		random := rand.New(rand.NewPCG(seed, 1))
		var mu sync.Mutex
		var history []porcupine.Operation
		var answered atomic.Int64
		startedAt := time.Now()
		ctx, stop := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		for n := range 4 {
			random := rand.New(rand.NewPCG(seed, uint64(n+2)))
			wg.Go(func() {
				client := group.NewClient(members.addresses)
				defer client.Close()
				known := map[string]ledger.Record{}
				for number := 0; ctx.Err() == nil; number++ {
					input := linear.Input{Name: []string{"a", "b"}[random.IntN(2)], Get: random.IntN(2) == 0, Unconditional: random.IntN(3) == 0}
					output := linear.Output{Known: true}
					callCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
					calledAt := time.Since(startedAt).Nanoseconds()
					if input.Get {
						record, _, err := client.Get(callCtx, input.Name)
						if output.Known = err == nil; output.Known {
							json.Unmarshal(record.Value, &output.Value)
							known[input.Name] = record
						}
					} else {
						expected := known[input.Name]
						json.Unmarshal(expected.Value, &input.Expect)
						input.Value = fmt.Sprint(n, "-", number)
						command := ledger.Command{Op: ledger.Put, Name: input.Name, Value: fmt.Appendf(nil, "%q", input.Value)}
						if !input.Unconditional {
							command.Expect = &expected.Version
						}
						result, err := client.Do(callCtx, command)
						output.Known, output.Conflict = err == nil, result.Code == ledger.Conflict
						if err == nil && result.Code == ledger.OK {
							known[input.Name] = ledger.Record{Name: input.Name, Version: result.Version, Value: command.Value}
						}
					}
					cancel()
					returnedAt := time.Since(startedAt).Nanoseconds()
					if !output.Known {
						if returnedAt = 1 << 60; input.Get {
							continue
						}
					}
					mu.Lock()
					history = append(history, porcupine.Operation{ClientId: n, Input: input, Call: calledAt, Output: output, Return: returnedAt})
					mu.Unlock()
					if output.Known {
						answered.Add(1)
					}
				}
			})
		}
		for range 6 {
			writer := members.waitForWriter(0, 1, 2)
			target := []int{writer, writer, random.IntN(3)}[random.IntN(3)]
			before := answered.Load()
			progressed := func() bool { return answered.Load() > before+40 }
			switch random.IntN(4) {
			case 0:
				members.kill(target)
				waitFor(t, "calls continue: a member is killed", progressed)
				members.start(target)
			case 1:
				members.signal(target, syscall.SIGSTOP)
				waitFor(t, "calls continue: a member is frozen", progressed)
				members.signal(target, syscall.SIGCONT)
			case 2:
				members.setLinks(target, link.Dropped)
				waitFor(t, "calls continue: a member is partitioned", progressed)
				members.setLinks(target, link.Up)
			case 3:
				for other := range 3 {
					if relay := members.relays[target][other]; relay != nil {
						relay.Set(link.Forward, link.Condition{Kind: link.Stalled}) // the member can only receive
					}
				}
				waitFor(t, "calls continue: a member can only receive", progressed)
				members.setLinks(target, link.Up)
			}
			before = answered.Load()
			waitFor(t, "calls continue: all members are connected", progressed)
		}
		stop()
		wg.Wait()
		if result := porcupine.CheckOperationsTimeout(linear.RegisterModel, history, time.Minute); result != porcupine.Ok {
			t.Errorf("seed %d: linearizability check: %v", seed, result)
		}
		t.Logf("seed %d: %d calls answered, %d in the history", seed, answered.Load(), len(history))
		members.killAll()
	}
}
