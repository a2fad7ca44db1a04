package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// TestStopSoak plays seeds of stops: clients that use open connections until the kill at its
// earliest, servers that hang or break, signals in series, some with a crowd of idle
// connections. SOAK_SEEDS, SOAK_FIRST and SOAK_PLAYS choose how many seeds, from which on,
// and how many at once.
func TestStopSoak(t *testing.T) {
	t.Parallel()
	number := func(name string, otherwise int) int {
		if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
			return n
		}
		return otherwise
	}
	first, seeds := number("SOAK_FIRST", 1), number("SOAK_SEEDS", 16)
	places := make(chan struct{}, number("SOAK_PLAYS", 4))
	var plays sync.WaitGroup
	defer plays.Wait()
	for seed := first; seed < first+seeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			places <- struct{}{}
			defer func() { <-places }()
			newSoak(t, uint64(seed)).play()
		})
	}
}

// soak is one seed.
type soak struct {
	*platform
	random *rand.Rand
	seed   uint64
	judge  *judge
	crowd  int // idle connections
}

func newSoak(t *testing.T, seed uint64) *soak {
	s := &soak{random: rand.New(rand.NewPCG(seed, 38)), seed: seed, judge: newJudge()}
	settings := platformSettings{Deadline: s.deadline(), Sockets: 256}
	if seed%4 == 0 {
		s.crowd, settings.Sockets = 120, 192
	}
	s.platform = newPlatform(t, s.random.IntN(3) > 0, settings, 3+s.random.IntN(3), s.judge)
	return s
}

// deadline draws a longest deadline: those that are counted as they are, and longer ones.
func (s *soak) deadline() time.Duration {
	all := []time.Duration{800 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second, 4 * time.Second, 7500 * time.Millisecond}
	return all[s.random.IntN(len(all))]
}

// span draws a time up to most.
func (s *soak) span(most time.Duration) time.Duration {
	return time.Duration(s.random.Float64() * float64(most))
}

func (s *soak) play() {
	ctx, stop := context.WithCancel(s.t.Context())
	defer stop()
	s.calm()
	running := s.start()
	var clients sync.WaitGroup
	for _, c := range s.clients() {
		clients.Go(func() { c.run(ctx) })
	}
	var log strings.Builder
	for range 2 {
		s.gather(ctx)
		sleep(ctx, 300*time.Millisecond+s.span(time.Second))
		next, said := s.restart(running)
		log.WriteString(said)
		running = next
	}
	sleep(ctx, 200*time.Millisecond)
	stop()
	clients.Wait()
	if text := log.String(); strings.Contains(text, "panic") || strings.Contains(text, "DATA RACE") {
		s.t.Error(text)
	}
	broken, summary := s.judge.verdict()
	s.t.Logf("inherited %t, longest deadline %v, crowd %d: %s", s.listener != nil, s.current().Deadline, s.crowd, summary)
	for _, b := range broken {
		s.t.Error(b)
	}
	if len(broken) > 0 {
		s.t.Log(log.String())
	}
}

// calm and trouble set what the servers do.
func (s *soak) calm() {
	for n, b := range s.backends {
		b.behave(mixture(s.seed<<8+uint64(n), time.Second, map[behaviour]float64{answersLate: 0.05, resets: 0.02, fails: 0.02,
			answersWithoutLength: 0.05, answersLong: 0.05}))
	}
}

func (s *soak) trouble() {
	for n, b := range s.backends {
		hung := 0.1
		if s.random.IntN(2) == 0 {
			hung = 0.7
		}
		b.behave(mixture(s.seed<<16+uint64(n), 3*time.Second,
			map[behaviour]float64{hangs: hung, answersLate: 0.1, resets: 0.05, fails: 0.05, answersWithoutLength: 0.05, answersLong: 0.05}))
	}
}

// gather opens the crowd's connections, which say nothing.
func (s *soak) gather(ctx context.Context) {
	for range s.crowd {
		if conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", s.address); err == nil {
			s.t.Cleanup(func() { conn.Close() })
		}
	}
}

// restart replaces a process by another, beside which it runs where the socket is inherited,
// and returns the next and what the old one logged.
func (s *soak) restart(old *instance) (next *instance, log string) {
	killAfter := s.current().killAfter()
	if s.random.IntN(2) == 0 { // a new configuration just before the stop
		settings := s.current()
		settings.Deadline, settings.Extra = s.deadline(), !settings.Extra
		s.configure(settings)
		old.signal(syscall.SIGHUP)
		killAfter = min(killAfter, settings.killAfter())
		if s.random.IntN(2) == 0 {
			sleep(s.t.Context(), s.span(20*time.Millisecond))
		}
	}
	if s.listener != nil {
		s.failedUpgrade()
		next = s.start()
	}
	s.trouble()
	var series sync.WaitGroup
	if s.random.IntN(3) == 0 { // a process is held up
		at, held := s.span(killAfter), s.span(150*time.Millisecond)
		series.Go(func() {
			sleep(s.t.Context(), at)
			old.freeze(held)
		})
	}
	if s.random.IntN(2) == 0 {
		repeat, at := []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT}[s.random.IntN(3)], s.span(killAfter)
		series.Go(func() {
			sleep(s.t.Context(), at)
			old.signal(repeat)
		})
	}
	lived, killed := old.terminate(killAfter)
	series.Wait()
	s.calm()
	if killed {
		s.t.Errorf("the old process had to be killed after %v", lived)
	}
	if s.listener == nil {
		next = s.start()
	}
	return next, old.log.String()
}

// failedUpgrade sometimes starts a process that is killed before or behind its readiness.
func (s *soak) failedUpgrade() {
	switch s.random.IntN(6) {
	case 0:
		failed := s.launch()
		sleep(s.t.Context(), s.span(60*time.Millisecond))
		s.judge.kills()
		failed.kill()
	case 1:
		failed := s.start()
		s.judge.kills()
		failed.kill()
	}
}

// clients draws the clients.
func (s *soak) clients() (all []*client) {
	for n := range 12 + s.random.IntN(12) {
		c := &client{name: fmt.Sprintf("%d-%d", s.seed, n), address: s.address, judge: s.judge,
			random: rand.New(rand.NewPCG(s.seed, uint64(n))), classes: []string{"safe", "keyed", "unsafe"}}
		c.patience = func() time.Duration {
			return time.Duration((0.2 + 0.8*c.random.Float64()) * float64(s.current().Deadline))
		}
		period := []time.Duration{550 * time.Millisecond, 1100 * time.Millisecond, 0}[n%3]
		c.pause = func() time.Duration {
			if period > 0 {
				return period
			}
			return time.Duration(c.random.ExpFloat64() * float64(100*time.Millisecond))
		}
		switch s.random.IntN(9) {
		case 0:
			c.rests = true
		case 1:
			c.pieces = true
		case 2:
			c.leaves = true
		case 3:
			c.long, c.pieces = true, true
		}
		all = append(all, c)
	}
	return all
}
