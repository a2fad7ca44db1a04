package scale

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"dunlintray/internal/registry"
)

// callKind is what a hollow backend asks of the list service.
type callKind int

const (
	callRegister callKind = iota
	callRenew
	callDrain
	callLeave
)

// phase is what a hollow backend does.
type phase int

const (
	phaseStopped  phase = iota // says nothing
	phaseJoining               // registers
	phaseServing               // renews
	phaseDraining              // leaves soon
	phaseLeaving
	phaseDown // registers anew soon
)

// call is one to make for a backend.
type call struct {
	backend     *churningBackend
	kind        callKind
	startedAtMs int64
	incarnation int // of the backend; an answer to an earlier life's call is void
}

// churner is one hollow backend. The churn alone changes it.
type churningBackend struct {
	Backend
	phase       phase
	startedAtMs int64 // Unix milliseconds of the present process
	version     int64 // that it was told last
	incarnation int
	due         time.Duration // when it calls next
	index       int           // in the queue; -1: not there
	calling     bool          // a call is under way
}

// churnSettings are how hollow backends behave.
type churnSettings struct {
	RenewInterval     time.Duration // between two renewals
	DrainTime         time.Duration
	DownTime          time.Duration
	RegistrationsPerS float64 // registrations a second at the start
}

// Pauses before a call that failed is made again.
const (
	minRetryDelay = 300 * time.Millisecond
	maxRetryDelay = 1500 * time.Millisecond
)

// churn decides which hollow backend calls when. It is a state machine: all times are of
// the caller's monotonic clock, but for the start of a process, which is Unix time.
type churn struct {
	settings     churnSettings
	random       *rand.Rand
	backends     []*churningBackend
	serving      int
	queue        dueQueue
	restartsPerS float64       // a second
	nextRestart  time.Duration // the next restart
}

func newChurn(backends []Backend, settings churnSettings, random *rand.Rand) *churn {
	c := &churn{settings: settings, random: random}
	for _, b := range backends {
		c.backends = append(c.backends, &churningBackend{Backend: b, index: -1})
	}
	return c
}

// start lets the backends register, spread over time.
func (c *churn) start(now time.Duration, startedAtMs int64) {
	for n, backend := range c.backends {
		c.join(backend, now+time.Duration(float64(n)/c.settings.RegistrationsPerS*float64(time.Second)), startedAtMs)
	}
}

// join begins a life of a backend, which registers at a moment.
func (c *churn) join(backend *churningBackend, at time.Duration, startedAtMs int64) {
	backend.incarnation++
	backend.phase, backend.startedAtMs, backend.calling = phaseJoining, max(startedAtMs, backend.startedAtMs+1), false
	c.schedule(backend, at)
}

// stop ends the chosen backends without a word, as a lost machine does.
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

// resume lets the chosen backends that were stopped register anew, all at once.
func (c *churn) resume(now time.Duration, startedAtMs int64, selected func(Backend) bool) (resumed int) {
	for _, backend := range c.backends {
		if backend.phase == phaseStopped && selected(backend.Backend) {
			c.join(backend, now, startedAtMs)
			resumed++
		}
	}
	return resumed
}

// setRestarts changes how many backends restart in a second.
func (c *churn) setRestarts(now time.Duration, perS float64) {
	if c.restartsPerS = perS; perS > 0 {
		c.nextRestart = now + c.restartInterval()
	}
}

// restartGap is drawn, so that restarts do not fall together with the drains and the
// registrations of those before them.
func (c *churn) restartInterval() time.Duration {
	mean := time.Duration(float64(time.Second) / c.restartsPerS)
	return c.between(mean/2, mean+mean/2)
}

// settled says whether every backend that is not stopped serves.
func (c *churn) settled() bool {
	running := 0
	for _, b := range c.backends {
		if b.phase != phaseStopped {
			running++
		}
	}
	return c.serving == running
}

// wake is when something is due; ok is false where nothing is.
func (c *churn) nextDue() (at time.Duration, ok bool) {
	if len(c.queue) > 0 {
		at, ok = c.queue[0].due, true
	}
	if c.restartsPerS > 0 && (!ok || c.nextRestart < at) {
		at, ok = c.nextRestart, true
	}
	return at, ok
}

// calls returns those that are due.
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

// restart lets one backend drain that serves and has no call under way.
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

// answered takes in how a call went, and says whether the list has changed by it.
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
	case status == 404 && outgoing.kind == callRenew: // its lease ran out
		c.uncountServing(backend)
		backend.phase = phaseJoining
		c.schedule(backend, now)
	case status == 404 || status == 409: // it has left, or the list knows a later start
		c.uncountServing(backend)
		c.join(backend, now+c.between(minRetryDelay, maxRetryDelay), startedAtMs)
	default: // nobody answers now
		c.schedule(backend, now+c.between(minRetryDelay, maxRetryDelay))
	}
	return changed
}

// advance goes on after a call that was answered well.
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

// dueQueue has the backends by when they call next.
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

// registration is the body of a call that registers.
type registration struct {
	HostPort    string `json:"hostPort"`
	Zone        string `json:"zone"`
	MachineType string `json:"machineType"`
	Cell        int    `json:"cell"`
	StartedAtMs int64  `json:"startedAtMs"`
	Service     string `json:"service,omitempty"`
	Region      string `json:"region,omitempty"`
}

// ownCall is the body of the other calls.
type lifecycleCall struct {
	StartedAtMs int64              `json:"startedAtMs"`
	Lifecycle   registry.Lifecycle `json:"lifecycle,omitempty"`
}
