// Package play runs a scenario on real processes: it starts gateways and service registries, and
// connects them over loopback sockets to the emulator of package world. The emulator makes all
// decisions; this package reports events to it and carries out its actions.
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
	Marks               []string       // log of the faults and other notable events, in order
	InvalidReason       string         // why the run is invalid; empty: it is valid
	EndedEarly          bool           // the context ended before the run was complete
	Trials              []referee.Trial
	MinCeilingRemaining float64 // smallest distance to a ceiling: 1 far, 0 at the limit
	LowCustomers        int     // customers that came to under a third of their ceiling's bucket
	MaxColdBudgetUsed   float64 // largest used fraction of a cold backend's budget
}

// A run is invalid if the emulator itself was later than these limits.
const (
	maxLatenessP99 = 20 * time.Millisecond
	maxLoopGap     = 250 * time.Millisecond // between two readings of the clock by the loop
)

// opened is the emulator's event of a new connection, with the connection.
type opened struct {
	world.Opened
	conn *endpointConn
}

// closed is the event of a connection that has ended.
type closed struct{ conn *endpointConn }

// serviceExited is the event of a service registry whose process has exited.
type serviceExited struct {
	service    int
	generation int    // which of its processes, from 1
	status     string // exit status
}

// timedEvent is an event with the time at which it happened.
type timedEvent struct {
	at    time.Duration
	event any
}

// killedOutside is the exit status of a process that was killed.
const killedOutside = "signal: killed"

// engine is a run in progress. The goroutine of Run owns the emulator.
type engine struct {
	scenario  *scenario.Scenario
	options   Options
	world     *world.Emulator
	addresses addressPlan
	claim     net.Listener // reserves the network of addresses
	epoch     time.Time
	ctx       context.Context // cancelled at the end of the run
	wg        sync.WaitGroup
	events    chan timedEvent
	lastConn  atomic.Uint64
	http      *http.Client
	starter   *child.Starter
	methods   map[string]string // HTTP methods by class

	gateways    []*process
	services    []*process
	configs     [][]byte     // of the services
	killed      map[int]bool // services that a fault has killed or stopped; owned by the loop
	generations map[int]int  // number of processes started, by service; owned by the loop
	clients     []*clientPool
	proxies     [][]*discoveryProxy // by gateway, one for each service registry
	endpoints   map[gatewayLink]*endpoint
	datagrams   *datagramRelays
	linkRelays  map[world.ProcessLink]*link.Relay // on links that have faults
	registrar   *registrar

	// Owned by the loop:
	conns     map[world.Conn]*endpointConn
	startedAt time.Duration // when the loop started
	marks     []string
	loopGap   time.Duration // longest time between two readings of the clock
	failed    error
}

// gatewayLink is the link of a gateway to a peer: a backend or the counter.
type gatewayLink struct{ gateway, peer int }

// Limits of a relay on a link between processes.
const (
	maxRelayConnections = 64
	relayBufferBytes    = 64 << 10
)

// eventQueueLength is the length of the queue of the loop. Senders block when it is full.
const eventQueueLength = 1 << 14

// Run runs a scenario until its duration has passed and all requests have ended, or until ctx
// ends. When it returns, all processes that it started have exited.
func Run(ctx context.Context, s *scenario.Scenario, options Options) (*Result, error) {
	e := &engine{scenario: s, options: options, epoch: time.Now(), events: make(chan timedEvent, eventQueueLength), endpoints: map[gatewayLink]*endpoint{}, linkRelays: map[world.ProcessLink]*link.Relay{},
		conns: map[world.Conn]*endpointConn{}, killed: map[int]bool{}, generations: map[int]int{}, methods: map[string]string{},
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: s.Fleet.Gateways + 4}, Timeout: 65 * time.Second}}
	for _, c := range s.Classes {
		e.methods[c.Name] = http.MethodPost
		if c.Effect == "repeatable" {
			e.methods[c.Name] = http.MethodGet
		}
	}
	runContext, stop := context.WithCancel(context.Background())
	e.ctx = runContext
	e.world = world.New(s)
	e.starter = child.NewStarter()
	defer e.starter.Close()
	err := e.start(ctx)
	if err == nil {
		err = e.loop(ctx)
	}
	// The fleet stops first, while the emulator still answers it.
	completed := err == nil && ctx.Err() == nil
	if completed {
		for gateway := range e.gateways {
			e.world.Referee.Stopping(e.now(), gateway)
		}
	}
	hung := e.stopFleet(completed)
	stop()
	e.close()
	for _, gateway := range hung {
		e.world.Referee.StopTimedOut(e.now(), gateway)
	}
	if err == nil {
		err = e.failed
	}
	if err != nil {
		return nil, err
	}
	e.world.End(e.now())
	for _, p := range e.gateways {
		e.world.Tally.Gateways = append(e.world.Tally.Gateways, p.usage)
	}
	result := &Result{Tally: e.world.Tally, Marks: e.marks, EndedEarly: ctx.Err() != nil, MinCeilingRemaining: e.world.Referee.MinCeilingRemaining(),
		Trials: e.world.Referee.Trials(), LowCustomers: e.world.Referee.LowCustomers(), MaxColdBudgetUsed: e.world.Referee.MaxColdBudgetUsed()}
	result.Violations, result.Counts = e.world.Referee.Violations()
	switch p99 := e.world.Tally.Lateness(99); {
	case p99 > maxLatenessP99:
		result.InvalidReason = fmt.Sprintf("the emulator was late by %v at p99, over the limit of %v: the machine is too small for this scenario", p99, maxLatenessP99)
	case e.loopGap > maxLoopGap:
		result.InvalidReason = fmt.Sprintf("the emulator paused for %v, over the limit of %v", e.loopGap.Round(time.Millisecond), maxLoopGap)
	}
	for processLink, relay := range e.linkRelays {
		if stats := relay.Stats(); stats.MaxLateness > maxLoopGap || stats.Rejected > 0 {
			result.InvalidReason = fmt.Sprintf("the relay from %v was late by %v and turned %d connections away", processLink, stats.MaxLateness.Round(time.Millisecond), stats.Rejected)
		}
	}
	return result, nil
}

// now returns the time since the start of the run, by the monotonic clock.
func (e *engine) now() time.Duration { return time.Since(e.epoch) }
