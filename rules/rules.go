package rules

// The decisions of one gateway. The interface it is driven through (settings, events, actions) is in
// rules/types.go; rules/state.go declares what is kept between events, and decides nothing. What changes
// when the process ends is in rules/stop.go, the slow start of backends in rules/slow_start.go.
//
// A request passes these steps: its customer's lease pays for it (admit), it waits in the queue of its
// level (enqueue), the bound lets it go (dispatch), a backend is picked (pick), and one function sends
// (send) and one answers (reject), which hold the rules that no other step may bypass.

import (
	"fmt"
	"math"
	"slices"
)

// Tuned values. Each is a share or a count that holds for any deployment.
const (
	// The bound on work in flight.
	boundStart   = 4.0  // attempts a backend, shared among the gateways: high, cut soon if wrong
	boundFloor   = 3.0  // it never shrinks below so many a backend: all slow together, cores still need work
	boundCut     = 0.75 // factor on the bound when latency nears the aim
	boundHigh    = 0.38 // mean latency, as a share of the aim, above which the bound shrinks
	boundLow     = 0.28 // and below which it may grow
	boundUsed    = 0.8  // it grows only while this share of it is in use
	boundBurst   = 3.0  // a bound below so many attempts is kept in the mean over loadSpan, not each moment
	loadSpan     = 1.0  // seconds
	reserveShare = 0.15 // part of the bound that only top levels may use
	topWorth     = 0.5  // levels worth at least this share of the highest are top

	// Leases on the shared counter.
	fewMost     = 4.0  // gateways of a customer whose first calls may each tell all refill so far
	lagShare    = 0.5  // part of the allowance that many gateways may leave the refill unwritten by
	windowLen   = 50.0 // seconds of a store's window; names live 60 s at most
	lowStore    = 0.5  // part of the allowance that is taken, above which idle units go back at once
	refundLeast = 0.25 // of a unit; less is not worth a call
	nameKeep    = 60.0 // seconds a name lives: longer than its window
	leaseShare  = 0.25 // a lease lives this part of its window
	counterRest = 0.25 // first pause after a failed call, seconds; doubles
	counterMost = 2.0  // longest pause
	demandSpan  = 2.0  // seconds over which demand is averaged
	crowdGain   = 0.05 // least weight of the newest call in the share of calls that fail
	crowdSpan   = 1.0  // seconds in which that share follows where calls are rare
	crowdFactor = 4.0  // so many times that share of calls are left out: a crowded counter gets air
	crowdMost   = 0.9
	heldMost    = 0.5 // up to such a share, requests at many gateways wait for the next call

	// Leases of places for attempts out at once.
	slotSalt      = 1 << 40
	placeUse      = 0.65 // mean use of the places, where they are kept as a rate
	placeWindow   = 1.0  // seconds of the window for that
	slotWindowLen = 10.0 // seconds; what a dead gateway held comes free by then
	slotRetry     = 0.03 // seconds until the next call when all places are taken

	// Health of a backend.
	failGain   = 0.25 // weight of the newest outcome in the failure share
	failEject  = 0.4  // failure share at which a backend gets trials only
	paceGain   = 0.15 // weight of the newest latency
	paceMost   = 8.0  // a backend counts as this many times slower at most
	trialFirst = 0.5  // seconds between trials of an ejected backend; doubles
	trialMost  = 4.0
	lateDevs   = 4.0 // an attempt is late this many mean deviations past the mean

	// Further attempts.
	retryShare = 0.15 // of first sends, so that retries cannot amplify an overload
	retryMost  = 10.0 // retries saved up at most

	pairShare   = 0.5 // of what the gateway may do unasked, for each of two processes of it
	leaverShare = 0.2 // for the one that takes no more clients

	coldFirst = 0.9 // factor on the cost of a cold backend whose turn has come

	stretchOf  = 8.0 // gateways have each backend in their stretch of the list
	newConn    = 0.3 // a connection off it costs so much of an attempt in flight,
	newApart   = 0.2 // and up to so much more the farther ahead the backend is
	connMargin = 1.0 // seconds before the backend closes it in which an idle connection is not counted on

	askRest              = 1.0  // seconds until discovery is asked again after it failed, half to twice that
	askMost              = 1.8  // if it fails again: a longer wait would delay the list once it is back
	housekeepingInterval = 0.05 // seconds between rounds of housekeeping
	tellGap              = 1.0  // seconds between lines about requests that were rejected
	idleDrop             = 60.0 // seconds after which a customer is forgotten
)

// Kinds of timer, in the top byte of a token.
const (
	timerHousekeeping = iota
	timerStart        // a request that has not been sent is too late now
	timerEnd          // a request must be answered now
	timerAsk          // discovery failed a while ago
	timerLate         // an attempt takes longer than usual
)

// New starts a gateway. It keeps nothing from an earlier life.
func New(set Settings, seed uint64, now float64, out []Action) (*Gateway, []Action) {
	g := &Gateway{set: set, now: now, out: out, born: now, lastHousekeeping: now, lastCut: now,
		retries: retryMost, share: 1, endsAt: math.Inf(1), startLag: math.Inf(1)}
	g.rank()
	g.makeRoom(seed)
	if set.SubscribeToDiscovery {
		g.do(Subscribe{})
	}
	g.timer(housekeepingInterval, timerHousekeeping, 0, 0)
	return g, g.out
}

// Handle takes one event and appends what is to be done about it.
func (g *Gateway) Handle(now float64, ev Event, out []Action) []Action {
	g.load += (1 - math.Exp((g.now-now)/loadSpan)) * (float64(g.inFlight) - g.load)
	g.now, g.out = now, out
	switch e := ev.(type) {
	case Request:
		g.request(e)
	case AttemptEnd:
		g.attemptEnd(e)
	case Established:
		g.established(e)
	case BodyComplete:
		g.whole(e)
	case ClientGone:
		if j := g.live(e.Request); j != nil {
			g.close(j)
		}
	case Timer:
		g.due(e.Token)
	case CounterReply:
		g.counted(e)
	case Backends:
		g.backends(e)
	case Export:
		g.exportState()
	case Import:
		g.importState(e.Snapshot)
	case SiblingProcess:
		g.shareOut([]float64{SiblingAbsent: 1, SiblingServing: pairShare, SiblingDraining: 1 - leaverShare}[e])
	case Shutdown:
		g.endBy(e.Deadline)
	case Members:
		g.present = e.Present
		g.here = g.presentOf(0, g.set.Fleet)
	case OperatorOverride:
		g.byHand(e)
	case ApplySettings:
		// Leases, backends, the bound and what is open live on. Requests hold on to their class.
		worths := g.worths
		g.set = e.Settings
		g.rank()
		g.relevel(worths)
	}
	g.dispatch()
	return g.out
}

// request takes in a try. Two timers see to it that it is answered in time.
func (g *Gateway) request(r Request) {
	c, p := r.ClassOverride, &g.set.Plans[r.Plan]
	if c == nil {
		c = &g.set.Classes[r.Class]
	}
	if r.Sent == 0 {
		r.Sent = g.now
	}
	j := &pendingRequest{Request: r, class: c, level: g.levelOf(c.Worth * p.Price)}
	j.giveUp, j.mostTries = g.lastUse(j), max(g.set.MaxAttempts, 1)
	g.requests[r.ID] = j
	g.arrived[j.level]++
	who := g.customerOf(r)
	j.customer = who
	if j.giveUp < g.now+g.latency/2 {
		g.reject(j, g.orStopping(j, RejectedTooLate))
		return
	}
	at := len(who.waiting)
	for at > 0 && who.waiting[at-1].level < j.level {
		at--
	}
	who.waiting = slices.Insert(who.waiting, at, j)
	g.admit(who)
	if j.done {
		return // most refusals come at once, and timers for them would be as many as requests
	}
	g.timer(j.giveUp-g.now, timerEnd, 0, r.ID)
	if len(j.attempts) == 0 {
		g.timer(min(j.giveUp, r.Sent+c.Aim)-g.latency-g.now, timerStart, 0, r.ID)
	}
}

// lastUse is when an answer to j ceases to earn anything.
func (g *Gateway) lastUse(j *pendingRequest) float64 {
	t := min(j.Deadline-2*g.set.Tick, g.lastAnswer())
	if c := j.class; c.LateWorth == 0 && c.AimStretch == 0 {
		t = min(t, j.Sent+c.Aim-g.elapsed(j.Request, c))
	}
	return t
}

// elapsed is the time that the client has surely spent on earlier tries. Most tries of a class and plan are
// given the same patience; one that has another is cut to what is left of the client's whole patience.
// Danger: a repeat whose aim has passed earns nothing, yet takes units, a call and a backend's time from
// requests that may still earn; a fresh try must not be taken for one, so an unknown patience says nothing.
func (g *Gateway) elapsed(r Request, c *Class) float64 {
	if r.ClassOverride != nil {
		return 0 // nothing is kept of a class that is no more
	}
	left, usual := r.Deadline-r.Sent, &g.patience[r.Class*len(g.set.Plans)+r.Plan]
	same := func(x float64) bool { return math.Abs(left-x) < 2*g.set.Tick }
	if same(usual.last) {
		usual.known = left
	}
	usual.last = left
	if usual.known == 0 || same(usual.known) {
		return 0
	}
	return max(c.Deadline-left, 0)
}

// due handles a timer.
func (g *Gateway) due(token uint64) {
	j, n := g.requests[RequestID(uint32(token))], int(uint8(token>>32))
	switch kind := token >> 56; {
	case kind == timerHousekeeping:
		g.housekeeping()
	case kind == timerAsk:
		g.do(Subscribe{})
	case j == nil:
	case kind == timerLate && n < len(j.attempts) && !j.attempts[n].ended:
		g.late(j, n)
	case kind == timerStart && j.paid && len(j.attempts) == 0 && !j.done && g.now+g.latency < j.giveUp:
		// Units are had, and a late answer earns more than none. Without them it would take them from a
		// request that can still be in time: while units are scarce, one late request makes the next late.
		g.timer(j.giveUp-g.now-g.latency, timerStart, 0, j.ID)
	case j.BodyPending && len(j.attempts) > 0 && g.now < g.lastAnswer(): // its time has not begun
	case !j.done && !j.streams && (kind == timerEnd || kind == timerStart && len(j.attempts) == 0):
		why := RejectedNoLease
		switch {
		case len(j.attempts) > 0:
			why = RejectedNoAnswer
		case j.paid:
			why = RejectedQueueTimeout
		}
		g.reject(j, g.orStopping(j, why))
	}
}

// enqueue puts a paid request in the queue of its level, unless the wait would outlast its aim: Wh <= X /
// (1 - X*Ah), X being the time in which the bound frees a place and Ah the arrivals of higher levels.
func (g *Gateway) enqueue(j *pendingRequest) {
	x := g.latency / max(g.bound*g.share, 1e-3)
	ahead, higher := 1+float64(len(g.queues[j.level])), 0.0
	for l := j.level + 1; l < len(g.queues); l++ {
		ahead += float64(len(g.queues[l]))
		higher += g.arrivals[l]
	}
	if g.full(j.level) && ahead*x >= (j.giveUp-g.now-g.latency)*max(1-x*higher, 0) {
		g.reject(j, RejectedNoRoom)
		return
	}
	g.queues[j.level] = append(g.queues[j.level], j)
}

// full tells whether a level has to wait: it may fill its part of the bound. Of many gateways, the bound of
// one is less than an attempt; then it is kept in the mean.
func (g *Gateway) full(level int) bool {
	room, burst := g.bound*g.share, boundBurst*g.share
	if g.worths[level] < topWorth*g.worths[len(g.worths)-1] {
		room *= 1 - reserveShare
	}
	return float64(g.inFlight) >= max(room, burst) || room < burst && g.load >= room
}

// dispatch releases held requests, highest level first.
func (g *Gateway) dispatch() {
	for l := len(g.queues) - 1; l >= 0; l-- {
		for len(g.queues[l]) > 0 {
			j := g.queues[l][0]
			if !j.done {
				if g.full(l) {
					return
				}
				s := g.pick(j)
				if s == nil {
					break
				}
				g.send(j, s)
			}
			g.queues[l] = g.queues[l][1:]
		}
	}
}

// pick chooses the backend with the fewest own attempts of equal or higher level, measured against the
// work it is believed to bear. It returns nil if none may be used now.
func (g *Gateway) pick(j *pendingRequest) *server {
	var best, well, trial *server
	usable, sick := 0, 0
	for at, s := range g.list {
		busy := func(a attempt) bool { return a.on == s && !a.ended }
		if !s.usable() || !j.inGroup(s) || !g.coldRoom(s) || slices.ContainsFunc(j.attempts, busy) {
			continue
		}
		s.cost = g.cost(s, j, at)
		if usable++; best == nil || s.cost < best.cost {
			best = s
		}
		if !s.ejected() {
			if well == nil || s.cost < well.cost {
				well = s
			}
			continue
		}
		sick++
		rest := s.trialAt
		if j.class.Effect != Repeatable {
			rest += trialMost
		}
		if trial == nil && g.now >= rest && len(j.attempts) == 0 {
			trial = s
		}
	}
	switch {
	case 2*sick > usable:
		// When most look bad the trouble is shared: leaving them out would only heap the work on the rest.
		return best
	case trial != nil:
		trial.trialGap = min(2*trial.trialGap, trialMost)
		trial.trialAt = g.now + trial.trialGap
		return trial
	}
	return well
}

// cost tells what an attempt of j at s, which stands at that place in the list, is believed to wait for. Of
// many gateways each keeps, among backends with as much in flight, to those to which a connection stands: it
// needs fewer and learns more of each. New ones it opens from its own place in the list on, so that all
// backends get as many gateways; a short stretch there is as good as connected, so that none gets too few.
func (g *Gateway) cost(s *server, j *pendingRequest, at int) float64 {
	higher := 0
	for _, n := range s.levels[j.level:] {
		higher += n
	}
	slow := 1.0
	if s.latency > 0 && g.latency > 0 {
		slow = min(max(s.latency/g.latency, 1/paceMost), paceMost)
	}
	well := 1 - min(s.fail, 0.9)
	held := float64(higher) + 0.1*float64(s.inFlight)
	if w := g.warmth(s); w < 1 {
		// It is here because its turn has come (coldRoom), and goes first among the idle. Of many gateways,
		// each has fewer requests than there are backends: some warm one is always idle and would win.
		held, slow = held/w, coldFirst
	}
	cost := (1 + held) * slow / (well * well)
	if !s.linked(g.now, g.set.KeepAlive) && g.warmth(s) >= 1 {
		fleet := float64(g.set.sharing())
		ahead := float64(at)/float64(len(g.list)) - float64(g.set.Rank)/fleet
		if ahead -= math.Floor(ahead); ahead >= stretchOf/fleet {
			cost *= 1 + newConn + newApart*ahead
		}
	}
	if s.Zone != g.set.Zone {
		cost *= 1 + g.set.CrossZonePrice
	}
	if n := len(j.attempts); n > 0 && j.attempts[n-1].on == s {
		cost += 1e3 // not where it just failed, if there is another
	}
	return cost * (1 + 0.05*g.rng.Float64())
}

// linked tells whether an idle connection to s is likely to stand.
func (s *server) linked(now, keepAlive float64) bool {
	return s.inFlight == 0 && s.lastOK > 0 && now-s.lastOK < keepAlive-connMargin
}

// inGroup tells whether s would drop a repeat of j, if j may have run.
func (j *pendingRequest) inGroup(s *server) bool {
	if !j.mayRun || j.class.Effect == Repeatable {
		return true
	}
	scope := j.class.Scope
	return j.class.Effect == ByKey && (scope == ScopeAll || scope == ScopeZone && s.Zone == j.mayOn.Zone ||
		scope == ScopeCell && s.Cell == j.mayOn.Cell)
}

// send starts an attempt; nothing else does. It holds the rules on effects, on attempts out at once and on
// drains and bans, whoever asks.
func (g *Gateway) send(j *pendingRequest, s *server) bool {
	tries := len(j.attempts)
	before := 0.0 // a repeat may wait for its connection until its key is forgotten
	if j.mayRun && j.class.Effect == ByKey {
		before = j.mayAt + j.class.DedupeWindow - 2*g.set.Tick
	}
	if j.done || j.streams || !j.paid || !s.usable() || !j.inGroup(s) || before > 0 && g.now > before ||
		j.spent || tries >= min(j.mostTries, max(g.set.MaxAttempts, 1)) || j.out > 0 && !g.set.CanHedge {
		return false
	}
	if tries == 0 {
		g.retries = min(g.retries+retryShare, retryMost)
	} else {
		j.customer.open++
	}
	if !j.mayRun {
		j.mayRun, j.mayAt, j.mayOn = true, g.now, s
	}
	j.attempts = append(j.attempts, attempt{on: s, sent: g.now})
	j.out++
	if g.warmth(s) < 1 {
		s.budget--
	} else {
		g.warmSent++
	}
	if j.BodyPending {
		g.do(Send{Request: j.ID, Backend: s.ID, WriteDeadline: before}) // its time counts from its last byte
		return true
	}
	g.do(Send{Request: j.ID, Backend: s.ID, Timeout: max(j.giveUp-g.now, g.set.Tick), WriteDeadline: before})
	g.begin(j, tries)
	return true
}

// begin counts an attempt that its backend has whole, or is about to.
func (g *Gateway) begin(j *pendingRequest, n int) {
	g.enter(&j.attempts[n], j.level)
	if g.latency > 0 {
		g.timer(g.lateAfter(), timerLate, n, j.ID)
	}
}

// whole starts the time of a request whose body took its own to come. Until then it is no work for a backend
// and takes no place under the bound.
func (g *Gateway) whole(e BodyComplete) {
	j := g.live(e.Request)
	if j == nil || !j.BodyPending || len(j.attempts) == 0 {
		return
	}
	j.BodyPending, j.Sent, j.Deadline = false, g.now, e.Deadline
	j.giveUp = g.lastUse(j)
	g.timer(j.giveUp-g.now, timerEnd, 0, j.ID)
	if n := len(j.attempts) - 1; !j.attempts[n].ended {
		j.attempts[n].sent = g.now
		j.mayAt = g.now
		g.begin(j, n)
	}
}

// established takes note that an answer has begun. The backend has done its work; what remains is transfer,
// at the pace of client and backend, which says nothing of load.
func (g *Gateway) established(e Established) {
	j := g.live(e.Request)
	if j == nil || e.Attempt >= len(j.attempts) {
		return
	}
	j.streams = true
	g.settle(j, e.Units)
	if a := &j.attempts[e.Attempt]; !a.ended {
		a.answered = g.now
		g.uncount(a, j.level)
		g.admit(j.customer)
	}
}

func (g *Gateway) lateAfter() float64 { return g.latency + lateDevs*g.spread }

// attemptEnd records the end of an attempt and decides what becomes of the request.
func (g *Gateway) attemptEnd(e AttemptEnd) {
	j := g.requests[e.Request]
	if j == nil || e.Attempt >= len(j.attempts) || j.attempts[e.Attempt].ended {
		return
	}
	a, c := &j.attempts[e.Attempt], j.customer
	a.ended = true
	j.out--
	c.open--
	j.spent = j.spent || e.BodyConsumed
	if (e.Outcome == TimedOut || e.Outcome == Cancelled) && a.counted {
		// Danger: a time-out or a cancel may stop no work. If given-up attempts left the count, each would
		// make room for one more at a full backend. It stays the longer the more in a row the backend has
		// let pass.
		a.on.missed++
		stay := min(g.latency*float64(a.on.missed), j.class.Deadline)
		a.on.abandoned = append(a.on.abandoned, abandonedAttempt{a.sent, g.now + stay, j.level, a.astray})
	} else {
		g.uncount(a, j.level)
	}
	g.observe(j, a, e)
	if j.out == 0 && e.Attempt == len(j.attempts)-1 && a.sent == j.mayAt && neverRan(e.Outcome) {
		j.mayRun = false // proved: no attempt has run
	}
	if e.Outcome == Served {
		g.settle(j, e.Units)
	}
	switch {
	case j.done:
	case e.Done || e.Outcome == Served:
		g.close(j)
	case j.out > 0: // another attempt may still answer
	case !g.again(j):
		g.reject(j, RejectedNoRetry)
	}
	if j.done && j.out == 0 {
		delete(g.requests, j.ID)
	}
	g.admit(j.customer)
}

// settle puts the guess right, once the true units are told.
func (g *Gateway) settle(j *pendingRequest, units float64) {
	if g.set.UnitsEstimated && units > 0 {
		j.customer.units -= units - j.Units
	}
}

// lay stops counting the abandoned attempts of s that were sent before a served one, since backends work in
// order, and those whose time is over.
func (g *Gateway) lay(s *server, served float64) {
	s.abandoned = slices.DeleteFunc(s.abandoned, func(h abandonedAttempt) bool {
		over := h.sent < served || h.until < g.now
		if over {
			g.leave(s, h.level, h.astray)
		}
		return over
	})
}

// again starts a further attempt if the budget has room and time remains.
func (g *Gateway) again(j *pendingRequest) bool {
	if g.retries < 1 || g.now+g.latency > j.giveUp || g.full(len(g.worths)-1) {
		return false
	}
	s := g.pick(j)
	if s == nil || !g.send(j, s) {
		return false
	}
	g.retries--
	return true
}

// late deals with an attempt that takes longer than nearly all do: silence counts against the backend, and
// where allowed a second copy goes elsewhere.
func (g *Gateway) late(j *pendingRequest, n int) {
	a := &j.attempts[n]
	if j.streams {
		return
	}
	if a.on.lastOK < a.sent {
		g.blame(a.on)
		if a.counted && !a.astray && g.bound*g.share < 2*boundBurst {
			// Danger: where the bound is a few attempts, as at one of many gateways, a lost zone would hold them
			// all until they time out. The backend keeps its count, so that others are picked.
			a.astray = true
			g.inFlight--
		}
	}
	if !j.done && len(j.attempts) == n+1 && !g.full(0) && g.set.CanHedge && j.customer.terms.places == 0 {
		g.again(j)
	}
}

// reject ends a request without an answer of a backend: refused where that is true to the rules, else
// failed.
func (g *Gateway) reject(j *pendingRequest, why Reason) {
	g.rejected[why]++
	if j.class.Effect == Repeatable || !j.mayRun || j.class.Effect == ByKey && j.class.Scope == ScopeAll {
		// Clients that follow it come back when there may be room, and not before.
		advice := g.set.MaxRetryAfter
		if !j.paid {
			advice = min(advice, max(j.customer.dryUntil-g.now, j.customer.restTill-g.now, 0))
		}
		g.do(Refuse{Request: j.ID, RetryAfter: advice, Reason: why})
	} else {
		g.do(Fail{Request: j.ID, Reason: why})
	}
	g.close(j)
}

// close ends a request for good and calls off what is still out.
func (g *Gateway) close(j *pendingRequest) {
	j.done = true
	j.customer.waiting = slices.DeleteFunc(j.customer.waiting, func(w *pendingRequest) bool { return w == j })
	if j.paid && len(j.attempts) == 0 {
		j.customer.units += j.Units
		j.customer.open--
	}
	for n := range j.attempts {
		if !j.attempts[n].ended && g.set.CanCancel && !j.streams {
			g.do(Cancel{Request: j.ID, Attempt: n})
		}
	}
	if j.out == 0 {
		delete(g.requests, j.ID)
	}
}

// observe learns from an outcome: the backend's health and pace, and the bound.
func (g *Gateway) observe(j *pendingRequest, a *attempt, e AttemptEnd) {
	s := a.on
	took := g.now - a.sent
	if a.answered > 0 {
		took = a.answered - a.sent
	}
	switch e.Outcome {
	case Served:
		s.lastOK, s.missed = g.now, 0
		g.lay(s, a.sent)
		s.fail -= failGain * s.fail
		if !s.ejected() {
			s.trialGap = 0
		}
		s.pace(took)
		if g.latency == 0 {
			g.latency, g.spread = took, took/2
		}
		g.spread += 0.02 * (math.Abs(took-g.latency) - g.spread)
		g.latency += 0.02 * (took - g.latency)
		g.press(took / j.class.Aim)
	case Errored, Broken, ConnectFailed:
		g.blame(s)
	case Full:
		g.blame(s)
		g.press(1)
	case TimedOut, Cancelled:
		if took > g.lateAfter() {
			if s.pace(max(took, s.latency)); e.Outcome == TimedOut {
				g.press(1)
			}
		}
	}
}

func (s *server) pace(took float64) {
	if s.latency == 0 {
		s.latency = took
	}
	s.latency += paceGain * (took - s.latency)
}

func (s *server) ejected() bool { return s.fail >= failEject }

// blame counts a failure or a silence, whatever its cause.
func (g *Gateway) blame(s *server) {
	was := s.ejected()
	s.fail += failGain * (1 - s.fail)
	if s.ejected() && !was {
		s.trialGap = trialFirst
		s.trialAt = g.now + s.trialGap
	}
}

// press moves the bound: down when latency nears the aim, at most once a round trip, and slowly up while
// it is in use and latency is low.
func (g *Gateway) press(ratio float64) {
	gain := min(max((g.now-g.pressedAt)/loadSpan, 0.05), 0.3) // rare answers weigh more
	g.pressedAt = g.now
	g.pressure += gain * (min(ratio, 1) - g.pressure)
	switch {
	case g.pressure > boundHigh && g.now-g.lastCut > max(g.latency, g.set.Tick):
		g.bound = max(g.bound*boundCut, g.boundLeast())
		g.lastCut = g.now
	case g.pressure < boundLow && max(float64(g.inFlight), g.load) >= boundUsed*g.bound*g.share:
		g.bound += min(1, g.perGateway()) / max(g.bound, 1)
	}
}

func (g *Gateway) boundLeast() float64 { return boundFloor * g.perGateway() }

// perGateway is how many backends there are for each gateway, of those that it may use.
func (g *Gateway) perGateway() float64 { return float64(len(g.list)) / float64(g.set.sharing()) }

// backends takes in news of the list. What is not ready gets nothing from now on.
func (g *Gateway) backends(e Backends) {
	if e.Kind == ListFailed {
		// Danger: all gateways fail together, and asking at once or in step they would keep discovery down.
		g.askRest = min(max(2*g.askRest, askRest), askMost)
		g.timer(g.askRest*(0.5+1.5*g.rng.Float64()), timerAsk, 0, 0)
		return
	}
	if g.askRest = 0; e.Kind != Delta {
		for _, s := range g.list {
			s.State = Gone
		}
	}
	for _, b := range e.Entries {
		known := g.servers[b.ID] != nil
		s := g.serverOf(b)
		if !known || b.StartedAt > s.StartedAt {
			g.resetColdStart(s, g.startOf(b)) // a new process
		} else {
			b.StartedAt = s.StartedAt
		}
		s.Backend = b
	}
	g.listed = g.listed || e.Kind != CachedList
	if g.bound == 0 && len(g.list) > 0 {
		g.bound = boundStart * g.perGateway()
	}
}

// usable tells whether s may get requests at all.
func (s *server) usable() bool { return s.State == Ready && !s.banned }

// byHand takes a backend out, or back in. Danger: while out it is restarted, and discovery tells of that
// late. So it counts as started when it comes back, unless it is known to have started later.
func (g *Gateway) byHand(e OperatorOverride) {
	s := g.servers[e.Backend]
	if s == nil || s.banned == e.Offline {
		return
	}
	if s.banned = e.Offline; !s.banned {
		s.StartedAt = max(s.StartedAt, g.now)
		g.resetColdStart(s, g.now)
	}
}

// housekeeping updates averages and leases. It runs every housekeepingInterval.
func (g *Gateway) housekeeping() {
	g.timer(housekeepingInterval, timerHousekeeping, 0, 0)
	span := max(g.now-g.lastHousekeeping, g.set.Tick, 1e-3)
	g.lastHousekeeping = g.now
	warm := 0
	g.forget()
	for _, s := range g.list {
		g.lay(s, 0)
		if s.usable() && g.warmth(s) >= 1 {
			warm++
		}
	}
	gain := min(span/coldSpan, 1)
	if warm > 0 {
		g.warmRate += gain * (float64(g.warmSent)/span/float64(warm) - g.warmRate)
	}
	g.warmSent = 0
	for l := range g.arrivals {
		g.arrivals[l] += gain * (g.arrived[l]/span - g.arrivals[l])
		g.arrived[l] = 0
	}
	g.tell()
	keep := g.roster[:0]
	for _, c := range g.roster {
		g.expire(c)
		g.leavePlaces(c)
		if g.now-c.seen > idleDrop && c.open == 0 && c.inCalls == 0 && len(c.waiting) == 0 {
			delete(g.customers, c.id)
			continue
		}
		keep = append(keep, c)
		if len(c.waiting) > 0 {
			g.admit(c)
		}
	}
	g.roster = keep
}

// tell writes, at most once in tellGap, why requests were rejected, and the state that led to it.
func (g *Gateway) tell() {
	if g.rejected == [ReasonCount]int{} || g.now-g.toldAt < tellGap {
		return
	}
	line := fmt.Sprintf("rejected: bound=%.1f in_flight=%d ghosts=%d latency=%.3f pressure=%.2f crowd=%.2f",
		g.bound, g.inFlight, g.abandoned(), g.latency, g.pressure, g.crowd)
	for why, n := range g.rejected {
		if n > 0 {
			line += fmt.Sprintf(" %s=%d", Reason(why), n)
		}
	}
	g.do(Log{Text: line})
	g.rejected, g.toldAt = [ReasonCount]int{}, g.now
}

// terms works out what a plan comes to for a customer of so many gateways.
//
// The counter holds a customer's store: a long window whose allowance grows with time. What refills a full
// store has to be written off there. Few gateways see the totals often enough to tell so in the calls that
// they make anyway. Of many, each would have to guess; there a call of its own writes it off, once it is more
// than lag.
//
// Under a ceiling, leases and local shares together never pass it. A store spends in any time L
// allowance*(1+leaseShare) + rate*L at most, be it by idle leases or by lag, and twice the first allowance if
// the counter comes back empty. The shares have the rest of burst and rate; where they may overdraw, at the
// worst each by the largest request, there is room for that.
func (g *Gateway) terms(p *Plan, gateways, index int) (t terms) {
	n := float64(max(gateways, 1))
	here := n
	if p.CeilingRate <= 0 {
		here = float64(g.presentOf(g.set.Rank-index, int(n)))
	}
	t = terms{rate: p.Rate, allowance: p.Burst, first: p.Burst / n, exact: true, few: n <= fewMost,
		window: windowLen, localRate: p.Rate / here, localBurst: max(p.Burst/here, 1), places: p.MaxConcurrent,
		share: (p.MaxConcurrent + gateways - 1 - index) / max(gateways, 1)} // their sum is the limit
	defer func() { // what this process may do unasked
		t.first, t.localRate, t.localBurst = t.first*g.share, t.localRate*g.share, t.localBurst*g.share
		t.share = int(float64(t.share) * g.share)
		t.life = leaseShare * t.allowance / max(t.rate, 1e-3)
	}()
	lag := lagShare
	t.spare, t.overdraw = t.allowance, !t.few
	if p.CeilingRate > 0 {
		t.rate = min(p.Rate, p.CeilingRate)
		bears := p.CeilingBurst
		if t.overdraw = !t.few && n*g.set.MaxUnits <= p.CeilingBurst/2; t.overdraw {
			bears += p.CeilingSlack - n*g.set.MaxUnits
		}
		t.allowance = min(p.Burst, bears/(1+leaseShare))
		t.spare = (p.CeilingBurst - (1+leaseShare)*t.allowance) / 2
		t.first, t.localBurst, t.localRate = t.allowance/n, t.spare/n, (p.CeilingRate-t.rate)/n
		lag = leaseShare
	}
	if !t.few {
		t.lag = lag * t.allowance
	}
	if !t.few && t.places > 0 {
		// Danger: places kept by many hands are two calls a request, and stray. What they let through on
		// average is kept as a rate instead.
		if t.places = 0; t.rate == 0 && g.latency > 0 {
			t.rate = placeUse * float64(p.MaxConcurrent) / g.latency
			t.exact, t.window = false, placeWindow // the rate changes with latency
			t.allowance, t.spare = t.rate*placeWindow, t.rate*placeWindow
			t.first, t.localRate = 1, t.rate/n
		}
	}
	return t
}

// presentOf counts the present of so many gateways in a row: all where nobody is told, or where most seem
// gone. Danger: two halves may each take the other for dead. Counts of a majority are over half of all, so
// what is shared out by them never comes to twice what there is, and ceilings are not shared out by them.
func (g *Gateway) presentOf(first, n int) (count int) {
	for i := 0; i < n && len(g.present) == max(g.set.Fleet, 1); i++ {
		if at := (first + i + g.set.Fleet) % g.set.Fleet; g.present[at] || at == g.set.Rank {
			count++
		}
	}
	if 2*count > n {
		return count
	}
	return n
}

func (g *Gateway) customerOf(r Request) *customer {
	c := g.customers[r.Customer]
	if c == nil {
		c = &customer{id: r.Customer, localAt: g.born, window: -1, seen: g.now}
		g.customers[r.Customer] = c
		g.roster = append(g.roster, c)
		// Danger: a gateway that starts again may have spent its share in its last life. Under a ceiling
		// it earns the share anew; elsewhere a full store costs little.
		if p := g.set.Plans[r.Plan]; p.CeilingRate <= 0 {
			c.local = g.terms(&p, r.GatewayCount, 0).localBurst
		}
	}
	fleet := max(g.set.Fleet, 1)
	index := (g.set.Rank - r.FirstGateway + fleet) % fleet // this gateway's place in the customer's set
	c.plan, c.gateways, c.index = r.Plan, r.GatewayCount, max(min(index, r.GatewayCount-1), 0)
	c.terms = g.terms(&g.set.Plans[r.Plan], c.gateways, c.index)
	c.demand = c.demand*math.Exp(-(g.now-c.seen)/demandSpan) + r.Units/demandSpan
	c.seen = g.now
	return c
}

// admit lets a customer's waiting requests go as far as its leases reach.
func (g *Gateway) admit(c *customer) {
	limited := c.terms.rate > 0
	for len(c.waiting) > 0 {
		j := c.waiting[0]
		if c.terms.places > 0 && !g.place(c) {
			return // a place may come free before its time is over
		}
		if limited {
			g.roll(c)
			switch {
			case c.units >= j.Units:
				c.units -= j.Units
				// Danger: with a counter that answers now and then, leases and the local share would
				// add up to more than the quota. So leases count against the share too, as far as it
				// has saved anything: a debt would keep a customer that spends by leases out of an
				// outage's share for as long as its whole burst lasts.
				c.takeLocal(g.now, 0)
				c.local = min(c.local, max(c.local-j.Units, 0))
			case c.asking > 0:
				return
			case g.now < c.dryUntil:
				g.reject(j, RejectedOverQuota)
				continue
			case !g.set.Counter || g.now < c.restTill:
				if !c.takeLocal(g.now, j.Units) {
					if g.set.Counter && (c.terms.few || g.leftOut() < heldMost) && c.restTill+g.latency < j.giveUp {
						return // held: a crowded counter may have room in a moment
					}
					g.reject(j, RejectedNoCounter)
					continue
				}
				c.owed += j.Units
			default:
				g.lease(c)
				continue
			}
		}
		c.waiting = c.waiting[1:]
		c.open++
		j.paid = true
		g.enqueue(j)
		g.dispatch()
	}
}

// place tells whether one more request of c may be let in under its plan's limit on attempts out at once.
// Places are leased from the counter one call at a time and go back when nobody waits for them.
func (g *Gateway) place(c *customer) bool {
	switch {
	case c.open < c.slots:
		return true
	case !g.set.Counter || g.now < c.restTill:
		return c.open < c.terms.share
	case c.open >= c.terms.places: // others need not be asked
	case c.askingPlace == 0 && g.now >= c.slotAfter && math.Mod(g.now, slotWindowLen) > 2*housekeepingInterval &&
		!g.crowded(c):
		g.slotWindow(c)
		want := float64(min(len(c.waiting), c.terms.places))
		g.count(call{customer: c, name: c.slotName, units: want, slot: true}, nameKeep)
	}
	return false
}

// slotWindow moves held places to the present name. Places that a gateway took with it when it died, or
// that a lost reply left behind, end with the old.
func (g *Gateway) slotWindow(c *customer) {
	name := hash(hash(uint64(c.id)^slotSalt) + uint64(g.now/slotWindowLen))
	if name == c.slotName {
		return
	}
	c.slotName = name
	if c.slots > 0 {
		g.count(call{customer: c, name: name, fill: float64(c.slots), slot: true}, nameKeep)
	}
}

// placed takes the answer to a call for places and adds back what is too many.
func (g *Gateway) placed(c *customer, k call, total float64) {
	over := min(max(math.Ceil(total)-float64(c.terms.places), 0), k.units)
	c.slots += int(k.units - over)
	if over > 0 {
		c.slotAfter = g.now + slotRetry
		g.count(call{customer: c, name: k.name, fill: -over, slot: true}, nameKeep)
	}
}

// leavePlaces gives places back that nobody here has used for a moment.
func (g *Gateway) leavePlaces(c *customer) {
	if c.slots > 0 {
		g.slotWindow(c) // what is held is told before anyone asks in the new window
	}
	if spare := c.slots - c.open; spare > 0 && g.now >= max(c.restTill, c.seen+housekeepingInterval) {
		c.slots -= spare
		g.count(call{customer: c, name: c.slotName, fill: -float64(spare), slot: true}, nameKeep)
	}
}

// takeLocal spends from the customer's share at this gateway. The share of one among many may never hold as
// much as a request takes: there a full one goes into debt for it.
func (c *customer) takeLocal(now, units float64) bool {
	c.local = min(c.local+c.terms.localRate*(now-c.localAt), c.terms.localBurst)
	if c.localAt = now; c.local < units && (!c.terms.overdraw || c.local < c.terms.localBurst) {
		return false
	}
	c.local -= units
	return true
}

// expire ends an idle lease. Danger: units that nobody came for stand on the counter as if spent; left
// there, they are missing to all gateways for the rest of the window. They go back with the next lease or,
// where the store is low and others may wait for them, at once.
func (g *Gateway) expire(c *customer) {
	if g.now < c.expires || c.units <= 0 {
		return
	}
	floor := g.roll(c)
	if c.terms.exact && c.leased == c.window {
		c.idle += c.units
	}
	c.units = 0
	if c.idle >= 1 && c.known-floor > lowStore*c.terms.allowance && g.now >= c.restTill && !g.crowded(c) {
		back := g.giveIdle(c)
		g.count(call{customer: c, name: c.name, window: c.window, fill: -back}, nameKeep)
	}
}

// giveIdle takes what goes back out of the account.
func (g *Gateway) giveIdle(c *customer) (back float64) {
	back, c.idle = c.idle, 0
	if c.known > 0 {
		c.known = max(c.known-back, 1e-3) // 0 would say that nothing is known
	}
	return back
}

// block is the size of the next lease: what the demand of a second needs, at first all of the share. Of many
// gateways each sees little of the demand, and what they take ahead is the whole burst: there a block is no
// more than is likely to be used before it expires.
func (c *customer) block() float64 {
	switch {
	case !c.terms.few:
		return min(c.demand*c.terms.life, c.terms.first)
	case !c.met:
		return c.terms.first
	}
	return min(c.demand, c.terms.first)
}

// roll moves to the counter's present window of this customer, and tells the total at which its store is
// full. Windows of different customers end at different times, so that not all are asked for at once.
func (g *Gateway) roll(c *customer) (floor float64) {
	n := math.Floor(g.now/c.terms.window + c.phase())
	if n != c.window {
		c.window, c.known, c.owed, c.idle, c.dryUntil = n, 0, 0, 0, 0
		c.name = windowName(c.id, n)
	}
	if c.terms.exact {
		floor = c.terms.rate * (g.now - (n-c.phase())*c.terms.window)
	}
	return floor
}

// windowName is the counter's name for a customer's window.
func windowName(id CustomerID, window float64) uint64 {
	return hash(hash(uint64(id)) + uint64(int64(window)))
}

// crowded leaves a call out, the more often the more of late have failed.
func (g *Gateway) crowded(c *customer) bool {
	if g.rng.Float64() >= g.leftOut() {
		return false
	}
	c.restTill = g.now + counterRest
	return true
}

// leftOut is the share of calls that are not made, to give the counter air.
func (g *Gateway) leftOut() float64 { return min(crowdFactor*g.crowd, crowdMost) }

// lease asks for a block, and tells what has been spent from the local share in this window.
func (g *Gateway) lease(c *customer) {
	if g.crowded(c) {
		return
	}
	need := -c.units // what settling left over, or in debt: unpaid, this lease would not do
	for _, j := range c.waiting {
		need += j.Units
	}
	need = math.Ceil(max(need, 0)) + math.Floor(c.block()) // a unit that nobody comes for is missing to others
	floor := g.roll(c)
	k := call{customer: c, name: c.name, window: c.window, floor: floor, owed: c.owed, back: g.giveIdle(c)}
	if c.terms.exact && c.known > 0 {
		// What the store cannot hold would have to be put right in another call, or is lost with this one.
		room := c.terms.allowance - max(c.known-floor, 0)
		need = min(need, max(math.Floor(room), c.waiting[0].Units))
	}
	k.units = max(min(need, c.terms.allowance), 1)
	if k.fill = max(floor-c.known, 0); !c.terms.few {
		k.fill = 0 // others will have told most of it
	} else if c.known == 0 {
		// Danger: a window that is new to this gateway may be new to all. The call that starts it must
		// tell, in one step, that not all of the store is there; who was not the first takes it back.
		k.fill = floor + c.terms.allowance - c.terms.spare
	}
	c.owed = 0
	g.count(k, nameKeep)
}

// counted takes the answer to a call. An unanswered call grants nothing: it may have been added, and the
// next total will tell.
func (g *Gateway) counted(e CounterReply) {
	k, ok := g.called(e.Name)
	if !ok {
		return
	}
	c := k.customer
	unreached := e.Outcome == Errored || e.Outcome == Broken || e.Outcome == ConnectFailed
	// While calls are left out, each that is made stands for several. Counted as one, the few that are let
	// through would take seconds to show that the counter is back.
	gain := min(crowdGain/(1-g.leftOut()), 1)
	switch {
	case e.Outcome == Served:
		// For the same reason an answer counts for the time since the last call: one of many gateways makes
		// few. A failure does not: a line that is too long for a moment would stop it for a second.
		g.crowd -= min(max(gain, (g.now-g.countedAt)/crowdSpan), 1) * g.crowd
	case !unreached:
		g.crowd -= gain * g.crowd
	}
	g.countedAt = g.now
	switch {
	case k.slot && e.Outcome == Served && k.units > 0:
		g.placed(c, k, e.Total)
	case e.Outcome == Errored && !k.added && k.units > 0, e.Outcome == Broken && !k.added && k.puts:
		// What stands on the counter though nobody has it is missing to all: its total is asked again.
		k.added = true
		g.count(k, nameKeep)
		return
	case e.Outcome == Served && k.added && k.puts:
		if k.added = false; math.Abs(e.Total-k.base) < math.Abs(e.Total-k.base-k.fill) {
			k.base = e.Total // it was not added
			g.count(k, nameKeep)
		}
	case e.Outcome != Served:
		// Danger: a place that was not given back is missing to all gateways. A call turned away
		// has changed nothing and is made again; one unanswered may have counted and is let be.
		if (e.Outcome == Full || e.Outcome == ConnectFailed) && k.slot && k.name == c.slotName {
			c.slots += int(max(-k.fill, 0))
		}
		if (e.Outcome == Full || e.Outcome == ConnectFailed) && !k.slot && !k.added && k.window == c.window {
			c.owed += k.owed // to be told with the next lease
			back := k.back
			if k.units == 0 {
				back = max(-k.fill, 0)
			}
			c.idle, c.known = c.idle+back, c.known+back
		}
		if unreached && c.rest == 0 {
			// A lost connection says nothing of a crowd: another call may be made at once, by the next
			// request or by those that wait. A pause comes only after a second loss in a row.
			c.rest = counterRest / 2
			break
		}
		if !unreached {
			g.crowd += gain
		}
		c.rest = min(max(2*c.rest, counterRest), counterMost)
		c.restTill = g.now + c.rest
	case k.units > 0 && !k.slot:
		c.rest = 0
		g.granted(c, k, e.Total)
	case k.puts && c.terms.lag > 0 && e.Total-k.base-k.fill > k.fill/2 && k.fill > refundLeast:
		// Another gateway has written the same off since the last total.
		k.fill, k.base = -k.fill, e.Total
		g.count(k, nameKeep)
	}
	g.admit(c)
}

// granted keeps what fits of a block. A store gets the rest back. In a short window it is left: there
// is nothing for anyone until the next, and the calls for it would be as many as those for units.
func (g *Gateway) granted(c *customer, k call, total float64) {
	before := total - k.fill - k.units
	target := max(before, k.floor)
	if before-k.owed+k.back < refundLeast { // the window is new, or the counter has lost it
		target = max(target, c.known, k.floor+c.terms.allowance-c.terms.spare)
	} else if target-before <= c.terms.lag {
		target = before // not worth a call yet
	}
	unit := 1.0
	if len(c.waiting) > 0 {
		unit = max(c.waiting[0].Units, 1e-3)
	}
	avail := c.terms.allowance - (target - k.floor)
	grant := max(min(k.units, math.Floor(avail/unit+1e-3)*unit), 0)
	if grant < k.units {
		if c.terms.lag > 0 {
			avail = max(avail, -c.terms.lag) // refill that two have written off is soon taken back
		}
		c.dryUntil = g.now + max((2*unit-avail+grant)/max(c.terms.rate, 1e-3), g.set.Tick)
		if !c.terms.exact {
			c.dryUntil = (k.window + 1 - c.phase()) * c.terms.window
		}
	}
	c.units += grant
	c.leased = k.window
	if grant > 0 {
		c.expires = g.now + c.terms.life
	}
	if c.window == k.window {
		c.known = target + grant
	}
	c.met = true
	if more := target + grant - total; c.terms.exact && math.Abs(more) > refundLeast*unit {
		// Less, or what an emptied counter lost.
		g.count(call{customer: c, name: k.name, window: k.window, fill: more, puts: true, base: total}, nameKeep)
	}
}

// neverRan tells which outcomes prove that an attempt had no effect.
func neverRan(o Outcome) bool { return o == Full || o == ConnectFailed || o == NotStarted }
