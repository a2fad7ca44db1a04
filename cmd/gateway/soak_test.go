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

// A shutdown must keep the rules on requests, whatever clients, servers and signals do until SIGKILL.
// SOAK_FIRST is the first seed, SOAK_SEEDS the number of seeds, and SOAK_PLAYS how many run at once.
func TestStopSoak(t *testing.T) {
	t.Parallel()
	first, seeds := soakNumber(t, "SOAK_FIRST", 1), soakNumber(t, "SOAK_SEEDS", 16)
	slots := make(chan struct{}, soakNumber(t, "SOAK_PLAYS", 4))
	var runs sync.WaitGroup
	defer runs.Wait()
	for seed := first; seed < first+seeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			newSoak(t, uint64(seed)).run()
		})
	}
}

// soakNumber returns the number in an environment variable, or the fallback if it is not set.
func soakNumber(t *testing.T, name string, fallback int) int {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return fallback
	}
	number, err := strconv.Atoi(text)
	if err != nil || number < 0 {
		t.Fatalf("%s: %q is no number", name, text)
	}
	return number
}

// stopSoak is the run of one seed.
type stopSoak struct {
	*platform
	random          *rand.Rand
	seed            uint64
	checker         *requestChecker
	idleConnections int // that send nothing
}

func newSoak(t *testing.T, seed uint64) *stopSoak {
	s := &stopSoak{random: rand.New(rand.NewPCG(seed, 38)), seed: seed, checker: newRequestChecker()}
	settings := platformSettings{Deadline: s.randomDeadline(), Sockets: 256}
	if seed%4 == 0 {
		s.idleConnections, settings.Sockets = 120, 192
	}
	s.platform = newPlatform(t, s.random.IntN(3) > 0, settings, 3+s.random.IntN(3), s.checker)
	return s
}

// randomDeadline draws a longest deadline, below or above maxCountedDeadline.
func (s *stopSoak) randomDeadline() time.Duration {
	deadlines := []time.Duration{800 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second, 4 * time.Second, 7500 * time.Millisecond}
	return deadlines[s.random.IntN(len(deadlines))]
}

// randomDuration draws a duration below limit.
func (s *stopSoak) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(s.random.Float64() * float64(limit))
}

func (s *stopSoak) run() {
	ctx, stop := context.WithCancel(s.t.Context())
	defer stop()
	s.setMinorFaults()
	running := s.start()
	var clients sync.WaitGroup
	for _, client := range s.newClients() {
		clients.Go(func() { client.run(ctx) })
	}
	var log strings.Builder
	for range 2 {
		s.openIdleConnections(ctx)
		sleep(ctx, 300*time.Millisecond+s.randomDuration(time.Second))
		next, processLog := s.replaceProcess(running)
		log.WriteString(processLog)
		running = next
	}
	sleep(ctx, 200*time.Millisecond)
	stop()
	clients.Wait()
	if text := log.String(); strings.Contains(text, "panic") || strings.Contains(text, "DATA RACE") {
		s.t.Error(text)
	}
	violations, summary := s.checker.result()
	s.t.Logf("inherited %t, longest deadline %v, %d idle connections: %s", s.listener != nil, s.current().Deadline, s.idleConnections, summary)
	for _, violation := range violations {
		s.t.Error(violation)
	}
	if len(violations) > 0 {
		s.t.Log(log.String())
	}
}

// setMinorFaults lets the servers answer most requests.
func (s *stopSoak) setMinorFaults() {
	for index, backend := range s.backends {
		backend.behave(mixture(s.seed<<8+uint64(index), time.Second, map[serverBehaviour]float64{answersLate: 0.05, resets: 0.02, fails: 0.02,
			answersWithoutLength: 0.05, answersLong: 0.05}))
	}
}

// setMajorFaults lets many requests hang at the servers.
func (s *stopSoak) setMajorFaults() {
	for index, backend := range s.backends {
		hangWeight := 0.1
		if s.random.IntN(2) == 0 {
			hangWeight = 0.7
		}
		backend.behave(mixture(s.seed<<16+uint64(index), 3*time.Second,
			map[serverBehaviour]float64{hangs: hangWeight, answersLate: 0.1, resets: 0.05, fails: 0.05, answersWithoutLength: 0.05, answersLong: 0.05}))
	}
}

// openIdleConnections opens connections that send nothing.
func (s *stopSoak) openIdleConnections(ctx context.Context) {
	for range s.idleConnections {
		if conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", s.address); err == nil {
			s.t.Cleanup(func() { conn.Close() })
		}
	}
}

// replaceProcess replaces a process by a new one, which is started first if the socket is inherited. It
// returns the new process and the log of the old one.
func (s *stopSoak) replaceProcess(old *gatewayProcess) (next *gatewayProcess, log string) {
	killAfter := s.current().killAfter()
	if s.random.IntN(2) == 0 { // a new configuration just before SIGTERM
		settings := s.current()
		settings.Deadline, settings.Extra = s.randomDeadline(), !settings.Extra
		s.configure(settings)
		old.signal(syscall.SIGHUP)
		killAfter = min(killAfter, settings.killAfter())
		if s.random.IntN(2) == 0 {
			sleep(s.t.Context(), s.randomDuration(20*time.Millisecond))
		}
	}
	if s.listener != nil {
		s.maybeFailUpgrade()
		next = s.start()
	}
	s.setMajorFaults()
	var events sync.WaitGroup
	if s.random.IntN(3) == 0 { // suspend the process
		at, duration := s.randomDuration(killAfter), s.randomDuration(150*time.Millisecond)
		events.Go(func() {
			sleep(s.t.Context(), at)
			old.freeze(duration)
		})
	}
	if s.random.IntN(2) == 0 {
		repeat, at := []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT}[s.random.IntN(3)], s.randomDuration(killAfter)
		events.Go(func() {
			sleep(s.t.Context(), at)
			old.signal(repeat)
		})
	}
	lived, killed := old.terminate(killAfter)
	events.Wait()
	s.setMinorFaults()
	if killed {
		s.t.Errorf("the old process had to be killed after %v", lived)
	}
	if s.listener == nil {
		next = s.start()
	}
	return next, old.log.String()
}

// maybeFailUpgrade sometimes starts a process that is killed before or after it is ready.
func (s *stopSoak) maybeFailUpgrade() {
	switch s.random.IntN(6) {
	case 0:
		failed := s.launch()
		sleep(s.t.Context(), s.randomDuration(60*time.Millisecond))
		s.checker.processKilled()
		failed.kill()
	case 1:
		failed := s.start()
		s.checker.processKilled()
		failed.kill()
	}
}

// newClients draws clients of several kinds.
func (s *stopSoak) newClients() (clients []*client) {
	for index := range 12 + s.random.IntN(12) {
		newClient := &client{name: fmt.Sprintf("%d-%d", s.seed, index), address: s.address, checker: s.checker,
			random: rand.New(rand.NewPCG(s.seed, uint64(index))), classes: []string{"safe", "keyed", "unsafe"}}
		newClient.timeout = func() time.Duration {
			return time.Duration((0.2 + 0.8*newClient.random.Float64()) * float64(s.current().Deadline))
		}
		period := []time.Duration{550 * time.Millisecond, 1100 * time.Millisecond, 0}[index%3]
		newClient.pause = func() time.Duration {
			if period > 0 {
				return period
			}
			return time.Duration(newClient.random.ExpFloat64() * float64(100*time.Millisecond))
		}
		switch s.random.IntN(9) {
		case 0:
			newClient.sendsAtIdleClose = true
		case 1:
			newClient.writesInPieces = true
		case 2:
			newClient.oftenDisconnects = true
		case 3:
			newClient.largeBodies, newClient.writesInPieces = true, true
		}
		clients = append(clients, newClient)
	}
	return clients
}
