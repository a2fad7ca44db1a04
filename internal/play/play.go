// Package play runs a scenario on real processes. It starts gateways and registries, and
// connects them over loopback sockets to the emulator of package world. It carries out the
// emulator's actions and reports events to it; all decisions are the emulator's.
package play

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"dunlintray/internal/child"
	"dunlintray/internal/link"
	"dunlintray/internal/referee"
	"dunlintray/internal/results"
	"dunlintray/internal/scenario"
	"dunlintray/internal/world"
)

// Options are the settings of a run beside its scenario.
type Options struct {
	Gateway  string    // path of the gateway binary
	Registry string    // path of the registry binary
	Dir      string    // each process has a folder in it for its configuration and log
	Progress io.Writer // receives a line each second; nil: none
	Args     []string  // arguments of a gateway, before --config
}

// Result is the result of a run.
type Result struct {
	Tally               *results.Tally
	Violations          []referee.Violation
	Counts              map[string]int // of violations, by rule
	Marks               []string       // log of the faults, in order
	InvalidReason       string         // why the run is invalid; empty: it is valid
	EndedEarly          bool           // the context ended before the day was over
	Trials              []referee.Trial
	MinCeilingRemaining float64 // smallest distance to a ceiling: 1 far, 0 at the limit
	LowCustomers        int     // customers that came to under a third of their ceiling's store
	MaxColdBudgetUsed   float64 // largest used fraction of a cold backend's budget
}

// A run is invalid if the emulator itself was later than this.
const (
	mostLateP99 = 20 * time.Millisecond
	mostGap     = 250 * time.Millisecond // between two readings of the clock by the loop
)

// opened is the emulator's event of a new connection, with the connection.
type opened struct {
	world.Opened
	conn *served
}

// closed is the event of a connection that has ended.
type closed struct{ conn *served }

// serviceExited is the event of a registry whose process has ended.
type serviceExited struct {
	service int
	life    int    // which of its processes, from 1
	how     string // exit status
}

// stamped is an event with the time at which it happened.
type stamped struct {
	at time.Duration
	e  any
}

// killedOutside is the exit status of a process that was killed.
const killedOutside = "signal: killed"

// engine is a run in progress. The goroutine of Run owns the emulator.
type engine struct {
	s       *scenario.Scenario
	o       Options
	w       *world.Emulator
	place   place
	claim   net.Listener // reserves the addresses of place
	epoch   time.Time
	ctx     context.Context // cancelled at the end of the run
	wg      sync.WaitGroup
	events  chan stamped
	conns   atomic.Uint64
	http    *http.Client
	starter *child.Starter
	methods map[string]string // HTTP methods by class

	gateways  []*process
	services  []*process
	configs   [][]byte     // configurations of the services
	killed    map[int]bool // services that a fault has ended; owned by the loop
	lives     map[int]int  // processes started by service; owned by the loop
	callers   []*callers
	agents    [][]*agent // by gateway, one for each list service
	peers     map[between]*peer
	relays    *relays
	wires     map[world.ProcessLink]*link.Relay // on links that have faults
	registrar *registrar

	// Owned by the loop:
	served map[world.Conn]*served
	began  time.Duration // when the day began
	marks  []string
	gap    time.Duration // longest time between two readings of the clock
	failed error
}

// between is the link of a gateway to a peer: a backend or the counter.
type between struct{ gateway, peer int }

// Limits of a relay on a link between processes.
const (
	wireConnections = 64
	wireBuffer      = 64 << 10
)

// mostEvents is the length of the queue of the loop. Senders block when it is full.
const mostEvents = 1 << 14

// Run runs a scenario until its day is over or ctx ends. When it returns, all processes
// that it started have ended.
func Run(ctx context.Context, s *scenario.Scenario, o Options) (*Result, error) {
	e := &engine{s: s, o: o, epoch: time.Now(), events: make(chan stamped, mostEvents), peers: map[between]*peer{}, wires: map[world.ProcessLink]*link.Relay{},
		served: map[world.Conn]*served{}, killed: map[int]bool{}, lives: map[int]int{}, methods: map[string]string{},
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: s.Fleet.Gateways + 4}, Timeout: 65 * time.Second}}
	for _, c := range s.Classes {
		e.methods[c.Name] = http.MethodPost
		if c.Effect == "repeatable" {
			e.methods[c.Name] = http.MethodGet
		}
	}
	inner, stop := context.WithCancel(context.Background())
	e.ctx = inner
	e.w = world.New(s)
	e.starter = child.NewStarter()
	defer e.starter.Close()
	err := e.start(ctx)
	if err == nil {
		err = e.loop(ctx)
	}
	// The fleet stops first, while the emulator still answers it.
	whole := err == nil && ctx.Err() == nil
	if whole {
		for g := range e.gateways {
			e.w.Referee.Stopping(e.now(), g)
		}
	}
	hung := e.stopFleet(whole)
	stop()
	e.close()
	for _, g := range hung {
		e.w.Referee.StopTimedOut(e.now(), g)
	}
	if err == nil {
		err = e.failed
	}
	if err != nil {
		return nil, err
	}
	e.w.End(e.now())
	for _, p := range e.gateways {
		e.w.Tally.Gateways = append(e.w.Tally.Gateways, p.use)
	}
	r := &Result{Tally: e.w.Tally, Marks: e.marks, EndedEarly: ctx.Err() != nil, MinCeilingRemaining: e.w.Referee.MinCeilingRemaining(),
		Trials: e.w.Referee.Trials(), LowCustomers: e.w.Referee.LowCustomers(), MaxColdBudgetUsed: e.w.Referee.MaxColdBudgetUsed()}
	r.Violations, r.Counts = e.w.Referee.Violations()
	switch p99 := e.w.Tally.Lateness(99); {
	case p99 > mostLateP99:
		r.InvalidReason = fmt.Sprintf("the emulation did things %v late at p99, over %v: the machine is too small for this scenario", p99, mostLateP99)
	case e.gap > mostGap:
		r.InvalidReason = fmt.Sprintf("the emulation stood still for %v", e.gap.Round(time.Millisecond))
	}
	for at, relay := range e.wires {
		if s := relay.Stats(); s.MaxLateness > mostGap || s.Rejected > 0 {
			r.InvalidReason = fmt.Sprintf("the relay from %v was late by %v and turned %d connections away", at, s.MaxLateness.Round(time.Millisecond), s.Rejected)
		}
	}
	return r, nil
}

// now returns the time since the start of the run, by the monotonic clock.
func (e *engine) now() time.Duration { return time.Since(e.epoch) }
