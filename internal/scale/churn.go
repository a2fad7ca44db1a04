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
func (c *churn) start(now time.Duration, started int64) {
	for n, b := range c.backends {
		c.join(b, now+time.Duration(float64(n)/c.settings.RegistrationsPerS*float64(time.Second)), started)
	}
}

// join begins a life of a backend, which registers at a moment.
func (c *churn) join(b *churningBackend, at time.Duration, started int64) {
	b.incarnation++
	b.phase, b.startedAtMs, b.calling = phaseJoining, max(started, b.startedAtMs+1), false
	c.schedule(b, at)
}

// stop ends the chosen backends without a word, as a lost machine does.
func (c *churn) stop(chosen func(Backend) bool) (stopped int) {
	for _, b := range c.backends {
		if b.phase != phaseStopped && chosen(b.Backend) {
			c.uncountServing(b)
			b.phase = phaseStopped
			b.incarnation++
			c.unschedule(b)
			stopped++
		}
	}
	return stopped
}

// resume lets the chosen backends that were stopped register anew, all at once.
func (c *churn) resume(now time.Duration, started int64, chosen func(Backend) bool) (resumed int) {
	for _, b := range c.backends {
		if b.phase == phaseStopped && chosen(b.Backend) {
			c.join(b, now, started)
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
func (c *churn) dueCalls(now time.Duration) (all []call) {
	for c.restartsPerS > 0 && c.nextRestart <= now {
		c.nextRestart += c.restartInterval()
		c.restart(now)
	}
	for len(c.queue) > 0 && c.queue[0].due <= now {
		b := c.queue[0]
		c.unschedule(b)
		kind := callRenew
		switch b.phase {
		case phaseJoining, phaseDown:
			kind = callRegister
		case phaseDraining:
			kind = callDrain
		case phaseLeaving:
			kind = callLeave
		}
		b.calling = true
		all = append(all, call{b, kind, b.startedAtMs, b.incarnation})
	}
	return all
}

// restart lets one backend drain that serves and has no call under way.
func (c *churn) restart(now time.Duration) {
	const tries = 50
	for range tries {
		b := c.backends[c.random.IntN(len(c.backends))]
		if b.phase == phaseServing && !b.calling {
			c.uncountServing(b)
			b.phase = phaseDraining
			c.schedule(b, now)
			return
		}
	}
}

// answered takes in how a call went, and says whether the list has changed by it.
func (c *churn) handleResult(now time.Duration, started int64, k call, status int, version int64) (changed bool) {
	b := k.backend
	if b.incarnation != k.incarnation {
		return false
	}
	b.calling = false
	switch {
	case status == 200:
		changed = version != b.version
		b.version = version
		c.advance(b, now, k.kind, started)
	case status == 404 && k.kind == callRenew: // its lease ran out
		c.uncountServing(b)
		b.phase = phaseJoining
		c.schedule(b, now)
	case status == 404 || status == 409: // it has left, or the list knows a later start
		c.uncountServing(b)
		c.join(b, now+c.between(minRetryDelay, maxRetryDelay), started)
	default: // nobody answers now
		c.schedule(b, now+c.between(minRetryDelay, maxRetryDelay))
	}
	return changed
}

// advance goes on after a call that was answered well.
func (c *churn) advance(b *churningBackend, now time.Duration, kind callKind, started int64) {
	switch kind {
	case callRegister:
		b.phase = phaseServing
		c.serving++
		c.schedule(b, now+c.between(c.settings.RenewInterval/2, c.settings.RenewInterval))
	case callRenew:
		c.schedule(b, now+c.settings.RenewInterval)
	case callDrain:
		b.phase = phaseLeaving
		c.schedule(b, now+c.settings.DrainTime)
	case callLeave:
		b.phase = phaseDown
		b.startedAtMs = max(started, b.startedAtMs+1)
		c.schedule(b, now+c.settings.DownTime)
	}
}

func (c *churn) uncountServing(b *churningBackend) {
	if b.phase == phaseServing {
		c.serving--
	}
}

func (c *churn) between(least, most time.Duration) time.Duration {
	return least + time.Duration(c.random.Int64N(int64(most-least)+1))
}

func (c *churn) schedule(b *churningBackend, at time.Duration) {
	if b.due = at; b.index >= 0 {
		heap.Fix(&c.queue, b.index)
		return
	}
	heap.Push(&c.queue, b)
}

func (c *churn) unschedule(b *churningBackend) {
	if b.index >= 0 {
		heap.Remove(&c.queue, b.index)
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
	b := x.(*churningBackend)
	b.index = len(*q)
	*q = append(*q, b)
}
func (q *dueQueue) Pop() any {
	last := len(*q) - 1
	b := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	b.index = -1
	return b
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
