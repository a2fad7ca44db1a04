package main

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// hostileSoak is the run of one seed: good clients beside hostile ones, before one process after the other.
type hostileSoak struct {
	*stopSoak
	hostile []func(context.Context, net.Conn)
}

// Guards the rules on requests, and the memory limit, beside hostile clients of several kinds at once, also
// while a process is replaced. SOAK_FIRST is the first seed, SOAK_SEEDS the number of seeds.
func TestHostileClientsSoak(t *testing.T) {
	first, seeds := soakNumber(t, "SOAK_FIRST", 1), soakNumber(t, "SOAK_SEEDS", 4)
	for seed := first; seed < first+seeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { newHostileSoak(t, uint64(seed)).run() })
	}
}

// hostileKinds returns all kinds of hostile clients, in a fixed order.
func hostileKinds() (kinds []func(context.Context, net.Conn)) {
	for _, name := range slices.Sorted(maps.Keys(hostileMemoryClients)) {
		kinds = append(kinds, hostileMemoryClients[name])
	}
	for _, name := range slices.Sorted(maps.Keys(fullSpeedClients)) {
		kinds = append(kinds, func(_ context.Context, conn net.Conn) { fullSpeedClients[name](conn) })
	}
	return kinds
}

func newHostileSoak(t *testing.T, seed uint64) *hostileSoak {
	program, err := buildGateway()
	if err != nil {
		t.Fatal(err)
	}
	soak := &hostileSoak{stopSoak: &stopSoak{random: rand.New(rand.NewPCG(seed, 53)), seed: seed, checker: newRequestChecker()}}
	settings := platformSettings{Deadline: soak.randomDeadline(), Sockets: 256 << soak.random.IntN(3), MemoryMB: 32 << soak.random.IntN(2)}
	soak.platform = newPlatform(t, true, settings, 3+soak.random.IntN(3), soak.checker)
	soak.program = program
	kinds := hostileKinds()
	for range 1 + soak.random.IntN(3) {
		soak.hostile = append(soak.hostile, kinds[soak.random.IntN(len(kinds))])
	}
	return soak
}

func (s *hostileSoak) run() {
	ctx, stop := context.WithCancel(s.t.Context())
	defer stop()
	s.setMinorFaults()
	running := s.start()
	var clients sync.WaitGroup
	for _, client := range s.newClients() {
		clients.Go(func() { client.run(ctx) })
	}
	for index := range 8 + s.random.IntN(64) {
		clients.Go(func() { actUntil(ctx, sourceAddress(index), s.address, s.hostile[index%len(s.hostile)]) })
	}
	sleep(ctx, 2*time.Second)
	peak := running.peakMemory()
	killAfter := s.current().killAfter()
	next := s.start()
	lived, killed := running.terminate(killAfter)
	sleep(ctx, 500*time.Millisecond)
	stop()
	clients.Wait()
	violations, summary := s.checker.result()
	s.t.Logf("%+v: %s; peaks of %d and %d MB", s.current(), summary, peak>>20, next.peakMemory()>>20)
	for _, violation := range violations {
		s.t.Error(violation)
	}
	if limit := s.current().MemoryMB << 20; peak > limit || next.peakMemory() > limit {
		s.t.Errorf("peaks of %d and %d bytes, limit %d", peak, next.peakMemory(), limit)
	}
	if killed {
		s.t.Errorf("the old process had to be killed after %v", lived)
	}
	if text := running.log.String() + next.log.String(); strings.Contains(text, "panic") || len(violations) > 0 {
		s.t.Log(text)
	}
}
