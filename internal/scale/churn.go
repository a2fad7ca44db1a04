package scale

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"dunlintray/internal/registry"
)

// callKind is the kind of a backend's registry call.
type callKind int

const (
	callRegister callKind = iota
	callRenew
	callDrain
	callLeave
)

// phase is the state of a hollow backend.
type phase int

const (
	phaseStopped  phase = iota // makes no calls
	phaseJoining               // registers next
	phaseServing               // renews its lease
	phaseDraining              // sends its drain call next
	phaseLeaving
	phaseDown // waits to register again
)

// call is a registry call to make for a backend.
type call struct {
	backend     *churningBackend
	kind        callKind
	startedAtMs int64
	incarnation int // of the backend; results for an earlier incarnation are ignored
}

// churningBackend is the state of one hollow backend. It is owned by churn.
type churningBackend struct {
	Backend
	phase       phase
	startedAtMs int64 // Unix milliseconds; identifies the backend's current process
	version     int64 // of the last answer
	incarnation int
	due         time.Duration // time of the next call
	index       int           // in the queue; -1: not queued
	calling     bool          // a call is in flight
}

// churnSettings configures the behavior of hollow backends.
type churnSettings struct {
	RenewInterval     time.Duration // between two renewals
	DrainTime         time.Duration
	DownTime          time.Duration
	RegistrationsPerS float64 // at the start of the run
}

// Bounds of the delay before a failed call is retried.
const (
	minRetryDelay = 300 * time.Millisecond
	maxRetryDelay = 1500 * time.Millisecond
)

// churn is a state machine that schedules the registry calls of hollow backends. Its times are
// relative to the caller's monotonic clock, except for start times of processes, which are in
// Unix milliseconds.
type churn struct {
	settings     churnSettings
	random       *rand.Rand
	backends     []*churningBackend
	serving      int
	queue        dueQueue
	restartsPerS float64
	nextRestart  time.Duration // time of the next restart
}

func newChurn(backends []Backend, settings churnSettings, random *rand.Rand) *churn {
	created := &churn{settings: settings, random: random}
	for _, b := range backends {
		created.backends = append(created.backends, &churningBackend{Backend: b, index: -1})
	}
	return created
}

// start schedules the first registration of each backend, at the configured rate.
func (c *churn) start(now time.Duration, startedAtMs int64) {
	for n, backend := range c.backends {
		c.join(backend, now+time.Duration(float64(n)/c.settings.RegistrationsPerS*float64(time.Second)), startedAtMs)
	}
}

// join begins a new incarnation of a backend, which registers at the given time.
func (c *churn) join(backend *churningBackend, at time.Duration, startedAtMs int64) {
	backend.incarnation++
	backend.phase, backend.startedAtMs, backend.calling = phaseJoining, max(startedAtMs, backend.startedAtMs+1), false
	c.schedule(backend, at)
}

// stop stops the selected backends without deregistering them, as a machine failure does, and
// returns their number.
func (c *churn) stop(selected func(Backend) bool) (stopped int) {
	for _, backend := range c.backends {
		if backend.phase != phaseStopped && selected(backend.Backend) {
			c.uncountServing(backend)
			backend.phase = phaseStopped
			backend.incarnation++
			c.unschedule(backend)
			stopped++
		}
	}
	return stopped
}

// resume schedules immediate registration of the selected backends that are stopped, and
// returns their number.
func (c *churn) resume(now time.Duration, startedAtMs int64, selected func(Backend) bool) (resumed int) {
	for _, backend := range c.backends {
		if backend.phase == phaseStopped && selected(backend.Backend) {
			c.join(backend, now, startedAtMs)
			resumed++
		}
	}
	return resumed
}

// setRestarts sets the number of restarts per second.
func (c *churn) setRestarts(now time.Duration, perS float64) {
	if c.restartsPerS = perS; perS > 0 {
		c.nextRestart = now + c.restartInterval()
	}
}

// restartInterval returns a random time until the next restart, so that restarts do not
// synchronize with the drains and registrations of earlier ones.
func (c *churn) restartInterval() time.Duration {
	mean := time.Duration(float64(time.Second) / c.restartsPerS)
	return c.between(mean/2, mean+mean/2)
}

// settled reports whether all backends that are not stopped serve.
func (c *churn) settled() bool {
	running := 0
	for _, b := range c.backends {
		if b.phase != phaseStopped {
			running++
		}
	}
	return c.serving == running
}

// nextDue returns the time of the next call or restart; ok is false if none is scheduled.
func (c *churn) nextDue() (at time.Duration, ok bool) {
	if len(c.queue) > 0 {
		at, ok = c.queue[0].due, true
	}
	if c.restartsPerS > 0 && (!ok || c.nextRestart < at) {
		at, ok = c.nextRestart, true
	}
	return at, ok
}

// dueCalls removes the calls that are due from the queue and returns them.
func (c *churn) dueCalls(now time.Duration) (due []call) {
	for c.restartsPerS > 0 && c.nextRestart <= now {
		c.nextRestart += c.restartInterval()
		c.restart(now)
	}
	for len(c.queue) > 0 && c.queue[0].due <= now {
		backend := c.queue[0]
		c.unschedule(backend)
		kind := callRenew
		switch backend.phase {
		case phaseJoining, phaseDown:
			kind = callRegister
		case phaseDraining:
			kind = callDrain
		case phaseLeaving:
			kind = callLeave
		}
		backend.calling = true
		due = append(due, call{backend, kind, backend.startedAtMs, backend.incarnation})
	}
	return due
}

// restart drains a random backend that serves and has no call in flight.
func (c *churn) restart(now time.Duration) {
	const maxAttempts = 50
	for range maxAttempts {
		backend := c.backends[c.random.IntN(len(c.backends))]
		if backend.phase == phaseServing && !backend.calling {
			c.uncountServing(backend)
			backend.phase = phaseDraining
			c.schedule(backend, now)
			return
		}
	}
}

// handleResult processes the result of a call and reports whether the call changed the list.
func (c *churn) handleResult(now time.Duration, startedAtMs int64, outgoing call, status int, version int64) (changed bool) {
	backend := outgoing.backend
	if backend.incarnation != outgoing.incarnation {
		return false
	}
	backend.calling = false
	switch {
	case status == 200:
		changed = version != backend.version
		backend.version = version
		c.advance(backend, now, outgoing.kind, startedAtMs)
	case status == 404 && outgoing.kind == callRenew: // its lease has expired
		c.uncountServing(backend)
		backend.phase = phaseJoining
		c.schedule(backend, now)
	case status == 404 || status == 409: // it has left, or the registry knows a later start
		c.uncountServing(backend)
		c.join(backend, now+c.between(minRetryDelay, maxRetryDelay), startedAtMs)
	default: // temporary failure
		c.schedule(backend, now+c.between(minRetryDelay, maxRetryDelay))
	}
	return changed
}

// advance moves a backend to its next state after a successful call.
func (c *churn) advance(backend *churningBackend, now time.Duration, kind callKind, startedAtMs int64) {
	switch kind {
	case callRegister:
		backend.phase = phaseServing
		c.serving++
		c.schedule(backend, now+c.between(c.settings.RenewInterval/2, c.settings.RenewInterval))
	case callRenew:
		c.schedule(backend, now+c.settings.RenewInterval)
	case callDrain:
		backend.phase = phaseLeaving
		c.schedule(backend, now+c.settings.DrainTime)
	case callLeave:
		backend.phase = phaseDown
		backend.startedAtMs = max(startedAtMs, backend.startedAtMs+1)
		c.schedule(backend, now+c.settings.DownTime)
	}
}

func (c *churn) uncountServing(backend *churningBackend) {
	if backend.phase == phaseServing {
		c.serving--
	}
}

func (c *churn) between(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(c.random.Int64N(int64(longest-shortest)+1))
}

func (c *churn) schedule(backend *churningBackend, at time.Duration) {
	if backend.due = at; backend.index >= 0 {
		heap.Fix(&c.queue, backend.index)
		return
	}
	heap.Push(&c.queue, backend)
}

func (c *churn) unschedule(backend *churningBackend) {
	if backend.index >= 0 {
		heap.Remove(&c.queue, backend.index)
	}
}

// dueQueue is a heap of backends, ordered by the time of their next call.
type dueQueue []*churningBackend

func (q dueQueue) Len() int           { return len(q) }
func (q dueQueue) Less(i, j int) bool { return q[i].due < q[j].due }
func (q dueQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}
func (q *dueQueue) Push(x any) {
	backend := x.(*churningBackend)
	backend.index = len(*q)
	*q = append(*q, backend)
}
func (q *dueQueue) Pop() any {
	last := len(*q) - 1
	backend := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	backend.index = -1
	return backend
}

// registration is the body of a registration call.
type registration struct {
	HostPort    string `json:"hostPort"`
	Zone        string `json:"zone"`
	MachineType string `json:"machineType"`
	Cell        int    `json:"cell"`
	StartedAtMs int64  `json:"startedAtMs"`
	Service     string `json:"service,omitempty"`
	Region      string `json:"region,omitempty"`
}

// lifecycleCall is the body of renewals and drain calls.
type lifecycleCall struct {
	StartedAtMs int64              `json:"startedAtMs"`
	Lifecycle   registry.Lifecycle `json:"lifecycle,omitempty"`
}
