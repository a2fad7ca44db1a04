package rules

// The decisions of one gateway. types.go declares the interface, state.go the state kept between events;
// stop.go handles the end of the process, slow_start.go the slow start of backends.
//
// A request passes these steps: its customer's lease covers it (admit), it queues at its level (enqueue), the
// concurrency limit releases it (dispatch) and a backend is selected (pickBackend). Every attempt goes
// through send and every answer of the gateway's own through reject, which enforce the rules for all paths.

import (
	"fmt"
	"math"
	"slices"
)

// Parameters of the decisions. Durations and time constants are in seconds. Each value holds for any
// deployment.
const (
	// Concurrency limit.
	initialLimit         = 4.0  // attempts in flight per backend, divided among the gateways
	minLimitPerBackend   = 3.0  // the same; if all backends are slow, their cores still need work
	limitCutFactor       = 0.75 // applied when the pressure exceeds limitCutPressure
	limitCutPressure     = 0.38 // latency as a fraction of the aim above which the limit shrinks
	limitGrowPressure    = 0.28 // latency as a fraction of the aim below which the limit may grow
	limitGrowUtilization = 0.8  // fraction of the limit that must be in use for it to grow
	smallLimit           = 3.0  // below this many attempts, the limit applies to the mean number in flight
	loadTimeConstant     = 1.0
	topReserveFraction   = 0.15 // fraction of the limit reserved for top levels
	topWorthFraction     = 0.5  // levels worth at least this fraction of the highest are top levels

	// Leases on the shared counter.
	maxFewGateways        = 4.0  // up to this many gateways per customer, each reports refill with its calls
	refillLagFraction     = 0.5  // fraction of the allowance up to which refill may stay unreported
	bucketWindow          = 50.0 // the counter keeps a name for 60 s at most
	lowBucketFraction     = 0.5  // fraction of the allowance in use above which idle units are returned at once
	minCorrection         = 0.25 // smallest correction of a total worth a call, units
	counterTTL            = 60.0 // must exceed the longest window
	leaseLifetimeFraction = 0.25 // lifetime of a lease as a fraction of the time to refill the allowance
	initialCounterBackoff = 0.25 // doubles with each failed call
	maxCounterBackoff     = 2.0
	demandTimeConstant    = 2.0

	// Load shedding towards a failing counter.
	minCounterFailureGain      = 0.05 // smallest weight of one call in the failure rate
	counterFailureTimeConstant = 1.0
	skipFactor                 = 4.0 // probability of skipping a call, as a multiple of the failure rate
	maxSkipProbability         = 0.9
	maxQueueingSkipProbability = 0.5 // below it, requests wait for the next call instead of being rejected

	// Leases of concurrency slots.
	slotSalt        = 1 << 40
	slotUtilization = 0.65 // mean utilization of the slots, where a rate replaces them
	slotRateWindow  = 1.0  // window of that rate
	slotWindow      = 10.0 // slots of a gateway that crashed become free after at most this time
	slotRetryDelay  = 0.03 // delay of the next call when all slots are taken

	// Health of backends.
	failureGain          = 0.25 // weight of the newest outcome in the failure rate
	meanLatencyGain      = 0.02 // weight of the newest latency in the mean over all backends
	ejectFailureRate     = 0.4  // a backend with this failure rate gets trial attempts only
	latencyGain          = 0.15 // weight of the newest latency in the mean of one backend
	maxLatencyRatio      = 8.0  // limit of a backend's latency relative to the mean
	initialTrialInterval = 0.5  // doubles with each trial
	maxTrialInterval     = 4.0
	overdueDeviations    = 4.0 // mean deviations above the mean latency after which an attempt is overdue

	// Retries.
	retryFraction  = 0.15 // retries per first attempt, so that retries cannot amplify an overload
	maxRetryBudget = 10.0

	handOverFraction = 0.5 // fraction of the gateway's local allowances for each of two sibling processes
	drainingFraction = 0.2 // the same for a process that accepts no more clients

	// Cost of a backend for the next attempt.
	coldCostFactor    = 0.9  // factor on the cost of a cold backend that may get an attempt
	lowerLevelLoad    = 0.1  // load of an attempt below the level of the request
	lastBackendCost   = 1e3  // added to the cost of the backend of the last attempt
	costRandomization = 0.05 // largest random increase, as a fraction of the cost

	preferredRangeGateways    = 8.0 // gateways that have the same backend in their preferred range of the list
	newConnectionCost         = 0.3 // relative cost of a new connection outside that range
	newConnectionDistanceCost = 0.2 // additional relative cost at the far end of the list
	idleConnectionMargin      = 1.0 // time before the backend's idle timeout in which a connection is not used

	initialDiscoveryBackoff = 1.0 // doubles; the delay is randomized between half and twice this value
	maxDiscoveryBackoff     = 1.8 // a longer one would delay the list once discovery is back
	housekeepingInterval    = 0.05
	rejectionLogInterval    = 1.0
	customerIdleTimeout     = 60.0 // state of a customer without requests is dropped after it
)

// Kinds of timer, in the top byte of a token.
const (
	timerHousekeeping   = iota
	timerSendBy         // the latest useful time for the first attempt of a request
	timerAnswerBy       // the latest time for the answer to a request
	timerDiscoveryRetry // the backoff after a discovery failure is over
	timerOverdue        // an attempt takes longer than nearly all do
)

// New returns a gateway with no state from an earlier process, and appends its first actions to actions.
// The seed makes its random choices reproducible.
func New(settings Settings, seed uint64, now float64, actions []Action) (*Gateway, []Action) {
	g := &Gateway{settings: settings, now: now, actions: actions, startedAt: now, lastHousekeeping: now,
		limitCutAt:  now,
		retryBudget: maxRetryBudget, processFraction: 1, shutdownAt: math.Inf(1), minStartLag: math.Inf(1)}
	g.computeLevels()
	g.initTables(seed)
	if settings.SubscribeToDiscovery {
		g.emit(Subscribe{})
	}
	g.setTimer(housekeepingInterval, timerHousekeeping, 0, 0)
	return g, g.actions
}

// Handle processes one event at time now and appends the resulting actions to actions.
func (g *Gateway) Handle(now float64, event Event, actions []Action) []Action {
	g.meanInFlight += (1 - math.Exp((g.now-now)/loadTimeConstant)) * (float64(g.inFlight) - g.meanInFlight)
	g.now, g.actions = now, actions
	switch typed := event.(type) {
	case Request:
		g.acceptRequest(typed)
	case AttemptEnd:
		g.endAttempt(typed)
	case Established:
		g.handleEstablished(typed)
	case BodyComplete:
		g.completeBody(typed)
	case ClientGone:
		if request := g.activeRequest(typed.Request); request != nil {
			g.finish(request)
		}
	case Timer:
		g.handleTimer(typed.Token)
	case CounterReply:
		g.handleCounterReply(typed)
	case Backends:
		g.updateBackends(typed)
	case Export:
		g.exportState()
	case Import:
		g.importState(typed.Snapshot)
	case SiblingProcess:
		g.setProcessFraction([]float64{SiblingAbsent: 1, SiblingServing: handOverFraction,
			SiblingDraining: 1 - drainingFraction}[typed])
	case Shutdown:
		g.limitToShutdown(typed.Deadline)
	case Members:
		g.presentGateways = typed.Present
		g.presentCount = g.presentAmong(0, g.settings.Fleet)
	case OperatorOverride:
		g.overrideBackend(typed)
	case ApplySettings:
		g.applySettings(typed.Settings)
	}
	g.dispatch()
	return g.actions
}

// acceptRequest starts the processing of a request. Two timers ensure that it is answered in time.
func (g *Gateway) acceptRequest(received Request) {
	request := g.newPendingRequest(received)
	request.answerBy = g.lastUsefulAnswer(request)
	g.requests[received.ID] = request
	g.arrivalCounts[request.level]++
	quota := g.customerFor(received)
	request.customer = quota
	if request.answerBy < g.now+g.latency/2 {
		g.reject(request, g.rejectionReason(request, RejectedTooLate))
		return
	}
	position := len(quota.queued)
	for position > 0 && quota.queued[position-1].level < request.level {
		position--
	}
	quota.queued = slices.Insert(quota.queued, position, request)
	g.admit(quota)
	if request.finished {
		return // rejected at once: no timers needed
	}
	g.setTimer(request.answerBy-g.now, timerAnswerBy, 0, received.ID)
	if len(request.attempts) == 0 {
		sendBy := min(request.answerBy, request.sent+request.class.Aim) - g.latency
		g.setTimer(sendBy-g.now, timerSendBy, 0, received.ID)
	}
}

// lastUsefulAnswer returns the time after which an answer to the request earns nothing.
func (g *Gateway) lastUsefulAnswer(request *pendingRequest) float64 {
	latest := min(request.deadline-2*g.settings.Tick, g.lastAnswerTime())
	if class := request.class; class.LateWorth == 0 && class.AimStretch == 0 {
		latest = min(latest, request.sent+class.Aim-g.elapsedClientTime(request))
	}
	return latest
}

// elapsedClientTime returns the time that the client has certainly spent on earlier requests, if this one
// is a client retry. Most requests of a class and plan have the same client timeout; a different one is
// what remains of the client's total deadline.
//
// A client retry whose aim has passed earns nothing, yet it takes units, a counter call and backend time
// from requests that may still earn. A first request must not be mistaken for a client retry, so the result
// is 0 until the usual timeout is known.
func (g *Gateway) elapsedClientTime(request *pendingRequest) float64 {
	timeout := request.clientTimeout
	if timeout == nil {
		return 0
	}
	remaining := request.deadline - request.sent
	matches := func(other float64) bool { return math.Abs(remaining-other) < 2*g.settings.Tick }
	if matches(timeout.last) {
		timeout.known = remaining
	}
	timeout.last = remaining
	if timeout.known == 0 || matches(timeout.known) {
		return 0
	}
	return max(request.class.Deadline-remaining, 0)
}

// handleTimer processes an expired timer.
func (g *Gateway) handleTimer(token uint64) {
	request, number := g.requests[RequestID(uint32(token))], int(uint8(token>>32))
	switch kind := token >> 56; {
	case kind == timerHousekeeping:
		g.housekeeping()
	case kind == timerDiscoveryRetry:
		g.emit(Subscribe{})
	case request == nil:
	case kind == timerOverdue && number < len(request.attempts) && !request.attempts[number].ended:
		g.handleOverdue(request, number)
	case kind == timerSendBy && request.admitted && len(request.attempts) == 0 && !request.finished &&
		g.now+g.latency < request.answerBy:
		// The units are spent already, and a late answer earns more than none. A request that is not yet
		// admitted is rejected instead: its units go to a request that can still be in time.
		g.setTimer(request.answerBy-g.now-g.latency, timerSendBy, 0, request.id)
	case request.bodyPending && len(request.attempts) > 0 && g.now < g.lastAnswerTime():
		// BodyComplete sets the timers.
	case !request.finished && !request.streaming &&
		(kind == timerAnswerBy || kind == timerSendBy && len(request.attempts) == 0):
		reason := RejectedNoLease
		switch {
		case len(request.attempts) > 0:
			reason = RejectedNoAnswer
		case request.admitted:
			reason = RejectedQueueTimeout
		}
		g.reject(request, g.rejectionReason(request, reason))
	}
}

// enqueue puts an admitted request into the queue of its level, unless its expected wait exceeds the
// remaining time. The expected wait in a queue with priorities is X*N / (1 - X*A), where X is the interval
// at which the concurrency limit releases requests, N the requests ahead and A the arrival rate at higher
// levels.
func (g *Gateway) enqueue(request *pendingRequest) {
	releaseInterval := g.latency / max(g.concurrencyLimit*g.processFraction, 1e-3)
	ahead, higherArrivals := 1+float64(len(g.queues[request.level])), 0.0
	for level := request.level + 1; level < len(g.queues); level++ {
		ahead += float64(len(g.queues[level]))
		higherArrivals += g.arrivalRates[level]
	}
	if g.limitReached(request.level) &&
		ahead*releaseInterval >= (request.answerBy-g.now-g.latency)*max(1-releaseInterval*higherArrivals, 0) {
		g.reject(request, RejectedNoRoom)
		return
	}
	g.queues[request.level] = append(g.queues[request.level], request)
}

// limitReached reports whether requests of a level have to queue: lower levels may use only a part of the
// concurrency limit. In a large fleet the limit of one gateway can be less than one attempt; it then
// applies to the mean number in flight.
func (g *Gateway) limitReached(level int) bool {
	limit, burst := g.concurrencyLimit*g.processFraction, smallLimit*g.processFraction
	if g.worths[level] < topWorthFraction*g.worths[len(g.worths)-1] {
		limit *= 1 - topReserveFraction
	}
	return float64(g.inFlight) >= max(limit, burst) || limit < burst && g.meanInFlight >= limit
}

// dispatch sends queued requests, highest level first.
func (g *Gateway) dispatch() {
	for level := len(g.queues) - 1; level >= 0; level-- {
		for len(g.queues[level]) > 0 {
			request := g.queues[level][0]
			if !request.finished {
				if g.limitReached(level) {
					return
				}
				backend := g.pickBackend(request)
				if backend == nil {
					break
				}
				g.send(request, backend)
			}
			g.queues[level] = g.queues[level][1:]
		}
	}
}

// pickBackend selects the backend with the lowest cost for the next attempt of a request, or an ejected
// backend whose trial is due. It returns nil if no backend may get the attempt now.
func (g *Gateway) pickBackend(request *pendingRequest) *backendStatus {
	var best, healthy, trial *backendStatus
	usableCount, ejectedCount := 0, 0
	for index, backend := range g.backendList {
		inFlightHere := func(attempt attempt) bool { return attempt.target == backend && !attempt.ended }
		if !backend.usable() || !request.resendAllowed(backend) || !g.coldBudgetAvailable(backend) ||
			slices.ContainsFunc(request.attempts, inFlightHere) {
			continue
		}
		backend.cost = g.backendCost(backend, request, index)
		if usableCount++; best == nil || backend.cost < best.cost {
			best = backend
		}
		if !backend.ejected() {
			if healthy == nil || backend.cost < healthy.cost {
				healthy = backend
			}
			continue
		}
		ejectedCount++
		trialAllowedAt := backend.trialAt
		if request.class.Effect != Repeatable {
			trialAllowedAt += maxTrialInterval
		}
		if trial == nil && g.now >= trialAllowedAt && len(request.attempts) == 0 {
			trial = backend
		}
	}
	switch {
	case 2*ejectedCount > usableCount:
		// Most backends are ejected, so the cause is common to all: avoiding them would overload the rest.
		return best
	case trial != nil:
		trial.trialInterval = min(2*trial.trialInterval, maxTrialInterval)
		trial.trialAt = g.now + trial.trialInterval
		return trial
	}
	return healthy
}

// backendCost estimates the wait of an attempt at the backend with this index in the list. Among equally
// loaded backends a gateway prefers those to which it has a connection: it needs fewer connections and has
// better statistics of each backend. It opens new ones starting from its own position in the list, so that
// all backends are used by equally many gateways; a short range at that position counts as connected, so
// that no backend is used by too few.
func (g *Gateway) backendCost(backend *backendStatus, request *pendingRequest, index int) float64 {
	atLeastLevel := 0 // attempts in flight of at least the request's level
	for _, count := range backend.inFlightByLevel[request.level:] {
		atLeastLevel += count
	}
	latencyRatio := 1.0
	if backend.latency > 0 && g.latency > 0 {
		latencyRatio = min(max(backend.latency/g.latency, 1/maxLatencyRatio), maxLatencyRatio)
	}
	successRate := 1 - min(backend.failureRate, 0.9)
	load := float64(atLeastLevel) + lowerLevelLoad*float64(backend.inFlight)
	if fraction := g.capacityFraction(backend); fraction < 1 {
		// Its budget allows an attempt (coldBudgetAvailable), so prefer it to idle warm backends. In a large
		// fleet each gateway has fewer requests than backends: some warm one is always idle.
		load, latencyRatio = load/fraction, coldCostFactor
	}
	cost := (1 + load) * latencyRatio / (successRate * successRate)
	if !backend.hasIdleConnection(g.now, g.settings.KeepAlive) && g.capacityFraction(backend) >= 1 {
		fleet := float64(g.settings.gatewaysPerBackend())
		distance := float64(index)/float64(len(g.backendList)) - float64(g.settings.Rank)/fleet
		if distance -= math.Floor(distance); distance >= preferredRangeGateways/fleet {
			cost *= 1 + newConnectionCost + newConnectionDistanceCost*distance
		}
	}
	if backend.Zone != g.settings.Zone {
		cost *= 1 + g.settings.CrossZonePrice
	}
	if count := len(request.attempts); count > 0 && request.attempts[count-1].target == backend {
		cost += lastBackendCost // avoid the backend of the last attempt if there is another
	}
	return cost * (1 + costRandomization*g.rng.Float64())
}

// hasIdleConnection reports whether an idle connection to the backend is likely to exist.
func (s *backendStatus) hasIdleConnection(now, keepAlive float64) bool {
	return s.inFlight == 0 && s.lastServed > 0 && now-s.lastServed < keepAlive-idleConnectionMargin
}

// resendAllowed reports whether an attempt at the backend respects the effect of the class: if the request
// may have run, the backend must drop the duplicate.
func (r *pendingRequest) resendAllowed(backend *backendStatus) bool {
	if !r.mayHaveRun || r.class.Effect == Repeatable {
		return true
	}
	scope := r.class.Scope
	return r.class.Effect == ByKey &&
		(scope == ScopeAll || scope == ScopeZone && backend.Zone == r.mayHaveRunOn.Zone ||
			scope == ScopeCell && backend.Cell == r.mayHaveRunOn.Cell)
}

// send starts an attempt and reports whether it did. Every attempt is started here, so the rules on
// effects, concurrent attempts, drains and operator overrides hold for all callers.
func (g *Gateway) send(request *pendingRequest, backend *backendStatus) bool {
	attemptCount := len(request.attempts)
	writeDeadline := 0.0 // a duplicate must be written before the backends forget its key
	if request.mayHaveRun && request.class.Effect == ByKey {
		writeDeadline = request.mayHaveRunSince + request.class.DedupeWindow - 2*g.settings.Tick
	}
	if request.finished || request.streaming || !request.admitted || !backend.usable() ||
		!request.resendAllowed(backend) || writeDeadline > 0 && g.now > writeDeadline ||
		request.bodyConsumed || attemptCount >= min(request.maxAttempts, max(g.settings.MaxAttempts, 1)) ||
		request.outstanding > 0 && !g.settings.CanHedge {
		return false
	}
	if attemptCount == 0 {
		g.retryBudget = min(g.retryBudget+retryFraction, maxRetryBudget)
	} else {
		request.customer.active++
	}
	if !request.mayHaveRun {
		request.mayHaveRun, request.mayHaveRunSince, request.mayHaveRunOn = true, g.now, backend
	}
	request.attempts = append(request.attempts, attempt{target: backend, sent: g.now})
	request.outstanding++
	if g.capacityFraction(backend) < 1 {
		backend.coldBudget--
	} else {
		g.warmSends++
	}
	if request.bodyPending {
		g.emit(Send{Request: request.id, Backend: backend.ID, WriteDeadline: writeDeadline})
		return true
	}
	g.emit(Send{Request: request.id, Backend: backend.ID, Timeout: max(request.answerBy-g.now, g.settings.Tick),
		WriteDeadline: writeDeadline})
	g.trackAttempt(request, attemptCount)
	return true
}

// trackAttempt counts an attempt in flight once its backend has, or is about to receive, the whole request.
func (g *Gateway) trackAttempt(request *pendingRequest, number int) {
	g.countInFlight(&request.attempts[number], request.level)
	if g.latency > 0 {
		g.setTimer(g.overdueAfter(), timerOverdue, number, request.id)
	}
}

// completeBody starts the clock of a request whose body took time to arrive. Until then the attempt is no
// work for the backend and does not count against the concurrency limit.
func (g *Gateway) completeBody(complete BodyComplete) {
	request := g.activeRequest(complete.Request)
	if request == nil || !request.bodyPending || len(request.attempts) == 0 {
		return
	}
	request.bodyPending, request.sent, request.deadline = false, g.now, complete.Deadline
	request.answerBy = g.lastUsefulAnswer(request)
	g.setTimer(request.answerBy-g.now, timerAnswerBy, 0, request.id)
	if last := len(request.attempts) - 1; !request.attempts[last].ended {
		request.attempts[last].sent = g.now
		request.mayHaveRunSince = g.now
		g.trackAttempt(request, last)
	}
}

// handleEstablished records that an answer has begun. The backend has done its work; the remaining transfer
// depends on the client and says nothing about load.
func (g *Gateway) handleEstablished(established Established) {
	request := g.activeRequest(established.Request)
	if request == nil || established.Attempt >= len(request.attempts) {
		return
	}
	request.streaming = true
	g.settleUnits(request, established.Units)
	if attempt := &request.attempts[established.Attempt]; !attempt.ended {
		attempt.answeredAt = g.now
		g.uncountInFlight(attempt, request.level)
		g.admit(request.customer)
	}
}

// overdueAfter returns the time in flight after which an attempt is overdue.
func (g *Gateway) overdueAfter() float64 { return g.latency + overdueDeviations*g.spread }

// endAttempt records the end of an attempt and decides how the request continues.
func (g *Gateway) endAttempt(end AttemptEnd) {
	request := g.requests[end.Request]
	if request == nil || end.Attempt >= len(request.attempts) || request.attempts[end.Attempt].ended {
		return
	}
	attempt, quota := &request.attempts[end.Attempt], request.customer
	attempt.ended = true
	request.outstanding--
	quota.active--
	request.bodyConsumed = request.bodyConsumed || end.BodyConsumed
	if (end.Outcome == TimedOut || end.Outcome == Cancelled) && attempt.counted {
		// The backend may still work on the attempt. If it were not counted, each timeout would add another
		// attempt at an overloaded backend. The time grows with the number of consecutive timeouts.
		attempt.target.unansweredCount++
		countedFor := min(g.latency*float64(attempt.target.unansweredCount), request.class.Deadline)
		attempt.target.abandoned = append(attempt.target.abandoned,
			abandonedAttempt{attempt.sent, g.now + countedFor, request.level, attempt.overdue})
	} else {
		g.uncountInFlight(attempt, request.level)
	}
	g.recordOutcome(request, attempt, end)
	if request.outstanding == 0 && end.Attempt == len(request.attempts)-1 &&
		attempt.sent == request.mayHaveRunSince && provesNoEffect(end.Outcome) {
		request.mayHaveRun = false // no attempt has run
	}
	if end.Outcome == Served {
		g.settleUnits(request, end.Units)
	}
	switch {
	case request.finished:
	case end.Done || end.Outcome == Served:
		g.finish(request)
	case request.outstanding > 0: // another attempt may still answer
	case !g.retry(request):
		g.reject(request, RejectedNoRetry)
	}
	if request.finished && request.outstanding == 0 {
		delete(g.requests, request.id)
	}
	g.admit(request.customer)
}

// settleUnits corrects the leased units once the actual units of a request are known.
func (g *Gateway) settleUnits(request *pendingRequest, units float64) {
	if g.settings.UnitsEstimated && units > 0 {
		request.customer.leasedUnits -= units - request.units
	}
}

// dropAbandoned stops counting abandoned attempts that have expired, and those sent before the attempt that
// was just served, since backends process requests in order.
func (g *Gateway) dropAbandoned(backend *backendStatus, servedSentAt float64) {
	backend.abandoned = slices.DeleteFunc(backend.abandoned, func(old abandonedAttempt) bool {
		expired := old.sent < servedSentAt || old.until < g.now
		if expired {
			g.decrementInFlight(backend, old.level, old.overdue)
		}
		return expired
	})
}

// retry starts another attempt if the retry budget, the remaining time and the concurrency limit allow it.
func (g *Gateway) retry(request *pendingRequest) bool {
	if g.retryBudget < 1 || g.now+g.latency > request.answerBy || g.limitReached(len(g.worths)-1) {
		return false
	}
	backend := g.pickBackend(request)
	if backend == nil || !g.send(request, backend) {
		return false
	}
	g.retryBudget--
	return true
}

// handleOverdue processes an attempt that takes longer than nearly all do: it counts as a failure of the
// backend and, if hedging is allowed, another attempt is started.
func (g *Gateway) handleOverdue(request *pendingRequest, number int) {
	attempt := &request.attempts[number]
	if request.streaming {
		return
	}
	if attempt.target.lastServed < attempt.sent {
		g.recordFailure(attempt.target)
		if attempt.counted && !attempt.overdue && g.concurrencyLimit*g.processFraction < 2*smallLimit {
			// With a limit of a few attempts, an unreachable zone would use up all of it until the attempts
			// time out. The attempt still counts for the backend, so that others are preferred.
			attempt.overdue = true
			g.inFlight--
		}
	}
	if !request.finished && len(request.attempts) == number+1 && !g.limitReached(0) && g.settings.CanHedge &&
		request.customer.terms.maxConcurrent == 0 {
		g.retry(request)
	}
}

// reject answers a request without a backend: with Refuse if that is true to the effect of its class,
// otherwise with Fail.
func (g *Gateway) reject(request *pendingRequest, reason Reason) {
	g.rejectionCounts[reason]++
	if request.class.Effect == Repeatable || !request.mayHaveRun ||
		request.class.Effect == ByKey && request.class.Scope == ScopeAll {
		// The client should return when units may be available, not before.
		retryAfter := g.settings.MaxRetryAfter
		if !request.admitted {
			retryAfter = min(retryAfter, max(request.customer.exhaustedUntil-g.now,
				request.customer.backoffUntil-g.now, 0))
		}
		g.emit(Refuse{Request: request.id, RetryAfter: retryAfter, Reason: reason})
	} else {
		g.emit(Fail{Request: request.id, Reason: reason})
	}
	g.finish(request)
}

// finish ends a request and cancels its attempts in flight.
func (g *Gateway) finish(request *pendingRequest) {
	request.finished = true
	request.customer.queued = slices.DeleteFunc(request.customer.queued,
		func(other *pendingRequest) bool { return other == request })
	if request.admitted && len(request.attempts) == 0 {
		request.customer.leasedUnits += request.units
		request.customer.active--
	}
	for number := range request.attempts {
		if !request.attempts[number].ended && g.settings.CanCancel && !request.streaming {
			g.emit(Cancel{Request: request.id, Attempt: number})
		}
	}
	if request.outstanding == 0 {
		delete(g.requests, request.id)
	}
}

// recordOutcome updates the backend's health and latency and the concurrency limit.
func (g *Gateway) recordOutcome(request *pendingRequest, attempt *attempt, end AttemptEnd) {
	backend := attempt.target
	took := g.now - attempt.sent
	if attempt.answeredAt > 0 {
		took = attempt.answeredAt - attempt.sent
	}
	switch end.Outcome {
	case Served:
		backend.lastServed, backend.unansweredCount = g.now, 0
		g.dropAbandoned(backend, attempt.sent)
		backend.failureRate -= failureGain * backend.failureRate
		if !backend.ejected() {
			backend.trialInterval = 0
		}
		backend.updateLatency(took)
		if g.latency == 0 {
			g.latency, g.spread = took, took/2
		}
		g.spread += meanLatencyGain * (math.Abs(took-g.latency) - g.spread)
		g.latency += meanLatencyGain * (took - g.latency)
		g.adjustLimit(took / request.class.Aim)
	case Errored, Broken, ConnectFailed:
		g.recordFailure(backend)
	case Full:
		g.recordFailure(backend)
		g.adjustLimit(1)
	case TimedOut, Cancelled:
		if took > g.overdueAfter() {
			if backend.updateLatency(max(took, backend.latency)); end.Outcome == TimedOut {
				g.adjustLimit(1)
			}
		}
	}
}

// updateLatency includes one latency in the backend's moving average.
func (s *backendStatus) updateLatency(took float64) {
	if s.latency == 0 {
		s.latency = took
	}
	s.latency += latencyGain * (took - s.latency)
}

// ejected reports whether the backend gets trial attempts only.
func (s *backendStatus) ejected() bool { return s.failureRate >= ejectFailureRate }

// recordFailure includes a failure or an overdue attempt in the backend's failure rate.
func (g *Gateway) recordFailure(backend *backendStatus) {
	wasEjected := backend.ejected()
	backend.failureRate += failureGain * (1 - backend.failureRate)
	if backend.ejected() && !wasEjected {
		backend.trialInterval = initialTrialInterval
		backend.trialAt = g.now + backend.trialInterval
	}
}

// adjustLimit updates the concurrency limit from one latency, given as a fraction of the aim. The limit
// shrinks when latency approaches the aim, at most once per round trip, and grows slowly while it is in use
// and latency is low.
func (g *Gateway) adjustLimit(ratio float64) {
	gain := min(max((g.now-g.pressureAt)/loadTimeConstant, 0.05), 0.3) // infrequent answers weigh more
	g.pressureAt = g.now
	g.pressure += gain * (min(ratio, 1) - g.pressure)
	switch {
	case g.pressure > limitCutPressure && g.now-g.limitCutAt > max(g.latency, g.settings.Tick):
		g.concurrencyLimit = max(g.concurrencyLimit*limitCutFactor, g.minLimit())
		g.limitCutAt = g.now
	case g.pressure < limitGrowPressure &&
		max(float64(g.inFlight), g.meanInFlight) >= limitGrowUtilization*g.concurrencyLimit*g.processFraction:
		g.concurrencyLimit += min(1, g.backendsPerGateway()) / max(g.concurrencyLimit, 1)
	}
}

// minLimit returns the lower bound of the concurrency limit.
func (g *Gateway) minLimit() float64 { return minLimitPerBackend * g.backendsPerGateway() }

// backendsPerGateway returns the number of backends for each gateway that uses them.
func (g *Gateway) backendsPerGateway() float64 {
	return float64(len(g.backendList)) / float64(g.settings.gatewaysPerBackend())
}

// updateBackends applies an update from discovery. Backends that are not ready get no more attempts.
func (g *Gateway) updateBackends(update Backends) {
	if update.Kind == ListFailed {
		// All gateways fail together: without a randomized backoff their requests would keep discovery down.
		g.discoveryBackoff = min(max(2*g.discoveryBackoff, initialDiscoveryBackoff), maxDiscoveryBackoff)
		g.setTimer(g.discoveryBackoff*(0.5+1.5*g.rng.Float64()), timerDiscoveryRetry, 0, 0)
		return
	}
	if g.discoveryBackoff = 0; update.Kind != Delta {
		for _, backend := range g.backendList {
			backend.State = Gone
		}
	}
	for _, entry := range update.Entries {
		known := g.backendByID[entry.ID] != nil
		backend := g.ensureBackend(entry)
		if !known || entry.StartedAt > backend.StartedAt {
			g.resetColdStart(backend, g.localStartTime(entry)) // the backend has restarted
		} else {
			entry.StartedAt = backend.StartedAt
		}
		backend.Backend = entry
	}
	g.listReceived = g.listReceived || update.Kind != CachedList
	if g.concurrencyLimit == 0 && len(g.backendList) > 0 {
		g.concurrencyLimit = initialLimit * g.backendsPerGateway()
	}
}

// usable reports whether the backend may get attempts at all.
func (s *backendStatus) usable() bool { return s.State == Ready && !s.offline }

// overrideBackend takes a backend out of use, or puts it back. Operators restart backends while these are
// out of use, and discovery may report the new start late. So a backend counts as started when it is put
// back, unless a later start is known.
func (g *Gateway) overrideBackend(override OperatorOverride) {
	backend := g.backendByID[override.Backend]
	if backend == nil || backend.offline == override.Offline {
		return
	}
	if backend.offline = override.Offline; !backend.offline {
		backend.StartedAt = max(backend.StartedAt, g.now)
		g.resetColdStart(backend, g.now)
	}
}

// housekeeping updates averages and leases. It runs every housekeepingInterval.
func (g *Gateway) housekeeping() {
	g.setTimer(housekeepingInterval, timerHousekeeping, 0, 0)
	elapsed := max(g.now-g.lastHousekeeping, g.settings.Tick, 1e-3)
	g.lastHousekeeping = g.now
	warmCount := 0
	g.removeGoneBackends()
	for _, backend := range g.backendList {
		g.dropAbandoned(backend, 0)
		if backend.usable() && g.capacityFraction(backend) >= 1 {
			warmCount++
		}
	}
	gain := min(elapsed/rateTimeConstant, 1)
	if warmCount > 0 {
		g.warmSendRate += gain * (float64(g.warmSends)/elapsed/float64(warmCount) - g.warmSendRate)
	}
	g.warmSends = 0
	for level := range g.arrivalRates {
		g.arrivalRates[level] += gain * (g.arrivalCounts[level]/elapsed - g.arrivalRates[level])
		g.arrivalCounts[level] = 0
	}
	g.logRejections()
	kept := g.customerList[:0]
	for _, quota := range g.customerList {
		g.expireLease(quota)
		g.returnIdleSlots(quota)
		if g.now-quota.lastSeen > customerIdleTimeout && quota.active == 0 && quota.callsInFlight == 0 &&
			len(quota.queued) == 0 {
			delete(g.customers, quota.id)
			continue
		}
		kept = append(kept, quota)
		if len(quota.queued) > 0 {
			g.admit(quota)
		}
	}
	g.customerList = kept
}

// logRejections logs, at most once per rejectionLogInterval, the rejections by reason and the state that
// led to them.
func (g *Gateway) logRejections() {
	if g.rejectionCounts == [ReasonCount]int{} || g.now-g.rejectionsLoggedAt < rejectionLogInterval {
		return
	}
	line := fmt.Sprintf(
		"rejected: bound=%.1f in_flight=%d ghosts=%d latency=%.3f pressure=%.2f crowd=%.2f",
		g.concurrencyLimit, g.inFlight, g.abandonedCount(), g.latency, g.pressure, g.counterFailureRate)
	for reason, count := range g.rejectionCounts {
		if count > 0 {
			line += fmt.Sprintf(" %s=%d", Reason(reason), count)
		}
	}
	g.emit(Log{Text: line})
	g.rejectionCounts, g.rejectionsLoggedAt = [ReasonCount]int{}, g.now
}

// computeTerms derives the terms of a plan for a customer that is served by this many gateways.
//
// The counter holds a token bucket for each customer: a long window whose allowance grows with time. Refill
// of a full bucket is lost and has to be written off on the counter. With few gateways, each sees the
// totals often enough to do so with its other calls. With many, each would have to guess, so a separate
// call writes it off once it exceeds refillLag.
//
// Under a ceiling, leases and local allowances together never exceed it. Within any time L a bucket spends
// at most allowance*(1+leaseLifetimeFraction) + rate*L, and twice the initial units if the counter loses
// its data. The local allowances get the remaining burst and rate; where they may be overdrawn, the largest
// request of every gateway fits in as well.
func (g *Gateway) computeTerms(plan *Plan, gateways, index int) (terms quotaTerms) {
	serving := float64(max(gateways, 1))
	presentCount := serving
	if plan.CeilingRate <= 0 {
		presentCount = float64(g.presentAmong(g.settings.Rank-index, int(serving)))
	}
	terms = quotaTerms{rate: plan.Rate, allowance: plan.Burst, maxLease: plan.Burst / serving,
		tokenBucket: true, fewGateways: serving <= maxFewGateways,
		window: bucketWindow, localRate: plan.Rate / presentCount, localBurst: max(plan.Burst/presentCount, 1),
		maxConcurrent:   plan.MaxConcurrent,
		localConcurrent: (plan.MaxConcurrent + gateways - 1 - index) / max(gateways, 1)} // sums up to the limit
	defer func() { // the part of this process
		terms.maxLease, terms.localRate, terms.localBurst =
			terms.maxLease*g.processFraction, terms.localRate*g.processFraction, terms.localBurst*g.processFraction
		terms.localConcurrent = int(float64(terms.localConcurrent) * g.processFraction)
		terms.leaseLifetime = leaseLifetimeFraction * terms.allowance / max(terms.rate, 1e-3)
	}()
	lagFraction := refillLagFraction
	terms.initialUnits, terms.mayOverdraw = terms.allowance, !terms.fewGateways
	if plan.CeilingRate > 0 {
		terms.rate = min(plan.Rate, plan.CeilingRate)
		burst := plan.CeilingBurst
		if terms.mayOverdraw = !terms.fewGateways &&
			serving*g.settings.MaxUnits <= plan.CeilingBurst/2; terms.mayOverdraw {
			burst += plan.CeilingSlack - serving*g.settings.MaxUnits
		}
		terms.allowance = min(plan.Burst, burst/(1+leaseLifetimeFraction))
		terms.initialUnits = (plan.CeilingBurst - (1+leaseLifetimeFraction)*terms.allowance) / 2
		terms.maxLease, terms.localBurst, terms.localRate =
			terms.allowance/serving, terms.initialUnits/serving, (plan.CeilingRate-terms.rate)/serving
		lagFraction = leaseLifetimeFraction
	}
	if !terms.fewGateways {
		terms.refillLag = lagFraction * terms.allowance
	}
	if !terms.fewGateways && terms.maxConcurrent > 0 {
		// With many gateways, leases of slots need two calls per request, and slots strand. The rate that
		// the slots allow on average is limited instead.
		if terms.maxConcurrent = 0; terms.rate == 0 && g.latency > 0 {
			terms.rate = slotUtilization * float64(plan.MaxConcurrent) / g.latency
			terms.tokenBucket, terms.window = false, slotRateWindow // the rate changes with latency
			terms.allowance, terms.initialUnits = terms.rate*slotRateWindow, terms.rate*slotRateWindow
			terms.maxLease, terms.localRate = 1, terms.rate/serving
		}
	}
	return terms
}

// presentAmong counts the gateways present among a number of consecutive ones. It returns the total where
// membership is unknown, or where most seem absent. Two partitions may each consider the other dead: a
// count above half of the total limits the sum of what both spend to twice the quota, and ceilings do not
// use the count.
func (g *Gateway) presentAmong(first, total int) (count int) {
	for i := 0; i < total && len(g.presentGateways) == max(g.settings.Fleet, 1); i++ {
		if rank := (first + i + g.settings.Fleet) % g.settings.Fleet; g.presentGateways[rank] ||
			rank == g.settings.Rank {
			count++
		}
	}
	if 2*count > total {
		return count
	}
	return total
}

// customerFor returns the quota of the customer of a request, with terms and demand updated.
func (g *Gateway) customerFor(received Request) *customerQuota {
	quota := g.customers[received.Customer]
	if quota == nil {
		quota = &customerQuota{id: received.Customer, localUnitsAt: g.startedAt, window: -1, lastSeen: g.now}
		g.customers[received.Customer] = quota
		g.customerList = append(g.customerList, quota)
		// A restarted gateway may have spent its local allowance before. Under a ceiling the allowance
		// starts empty; elsewhere a full one costs little.
		if plan := g.settings.Plans[received.Plan]; plan.CeilingRate <= 0 {
			quota.localUnits = g.computeTerms(&plan, received.GatewayCount, 0).localBurst
		}
	}
	fleet := max(g.settings.Fleet, 1)
	index := (g.settings.Rank - received.FirstGateway + fleet) % fleet // position among the customer's gateways
	quota.plan, quota.gateways = &g.settings.Plans[received.Plan], received.GatewayCount
	quota.index = max(min(index, received.GatewayCount-1), 0)
	quota.terms = g.computeTerms(quota.plan, quota.gateways, quota.index)
	quota.demand = quota.demand*math.Exp(-(g.now-quota.lastSeen)/demandTimeConstant) +
		received.Units/demandTimeConstant
	quota.lastSeen = g.now
	return quota
}

// admit releases the queued requests of a customer as far as its leases cover them.
func (g *Gateway) admit(quota *customerQuota) {
	limited := quota.terms.rate > 0
	for len(quota.queued) > 0 {
		request := quota.queued[0]
		if quota.terms.maxConcurrent > 0 && !g.slotAvailable(quota) {
			return // wait: a slot may become free in time
		}
		if limited {
			g.advanceWindow(quota)
			switch {
			case quota.leasedUnits >= request.units:
				quota.leasedUnits -= request.units
				// With a counter that answers intermittently, leases and the local allowance would add
				// up to more than the quota, so leased units count against the allowance too. It must
				// not become negative: the customer will need it in the next outage of the counter.
				quota.spendLocal(g.now, 0)
				quota.localUnits = min(quota.localUnits, max(quota.localUnits-request.units, 0))
			case quota.unitCalls > 0:
				return
			case g.now < quota.exhaustedUntil:
				g.reject(request, RejectedOverQuota)
				continue
			case !g.settings.Counter || g.now < quota.backoffUntil:
				if !quota.spendLocal(g.now, request.units) {
					if g.settings.Counter &&
						(quota.terms.fewGateways || g.skipProbability() < maxQueueingSkipProbability) &&
						quota.backoffUntil+g.latency < request.answerBy {
						return // stay queued: the counter may answer in time
					}
					g.reject(request, RejectedNoCounter)
					continue
				}
				quota.unreportedUnits += request.units
			default:
				g.requestLease(quota)
				continue
			}
		}
		quota.queued = quota.queued[1:]
		quota.active++
		request.admitted = true
		g.enqueue(request)
		g.dispatch()
	}
}

// slotAvailable reports whether the plan's limit on concurrent attempts allows one more request. Slots are
// leased from the counter with one call at a time, and returned when they are idle.
func (g *Gateway) slotAvailable(quota *customerQuota) bool {
	switch {
	case quota.active < quota.slots:
		return true
	case !g.settings.Counter || g.now < quota.backoffUntil:
		return quota.active < quota.terms.localConcurrent
	case quota.active >= quota.terms.maxConcurrent: // no call needed: this gateway uses them all
	case quota.slotCalls == 0 && g.now >= quota.slotCallAfter &&
		math.Mod(g.now, slotWindow) > 2*housekeepingInterval &&
		!g.skipCall(quota):
		g.advanceSlotWindow(quota)
		requested := float64(min(len(quota.queued), quota.terms.maxConcurrent))
		g.callCounter(counterCall{customer: quota, name: quota.slotCounterName, requested: requested,
			forSlots: true}, counterTTL)
	}
	return false
}

// advanceSlotWindow moves the leased slots to the counter name of the current window. Slots of a crashed
// gateway or of a lost reply expire with the old name.
func (g *Gateway) advanceSlotWindow(quota *customerQuota) {
	counterName := hash(hash(uint64(quota.id)^slotSalt) + uint64(g.now/slotWindow))
	if counterName == quota.slotCounterName {
		return
	}
	quota.slotCounterName = counterName
	if quota.slots > 0 {
		g.callCounter(counterCall{customer: quota, name: counterName, adjustment: float64(quota.slots),
			forSlots: true}, counterTTL)
	}
}

// applySlotGrant processes the reply to a call for slots and returns those that exceed the limit.
func (g *Gateway) applySlotGrant(quota *customerQuota, call counterCall, total float64) {
	excess := min(max(math.Ceil(total)-float64(quota.terms.maxConcurrent), 0), call.requested)
	quota.slots += int(call.requested - excess)
	if excess > 0 {
		quota.slotCallAfter = g.now + slotRetryDelay
		g.callCounter(counterCall{customer: quota, name: call.name, adjustment: -excess, forSlots: true},
			counterTTL)
	}
}

// returnIdleSlots returns slots that have been idle for a moment.
func (g *Gateway) returnIdleSlots(quota *customerQuota) {
	if quota.slots > 0 {
		g.advanceSlotWindow(quota) // report the slots before other gateways call in the new window
	}
	if spare := quota.slots - quota.active; spare > 0 &&
		g.now >= max(quota.backoffUntil, quota.lastSeen+housekeepingInterval) {
		quota.slots -= spare
		g.callCounter(counterCall{customer: quota, name: quota.slotCounterName, adjustment: -float64(spare),
			forSlots: true}, counterTTL)
	}
}

// spendLocal spends from the local allowance and reports whether it sufficed. Divided among many gateways,
// an allowance may never reach the units of one request; there a full one may be overdrawn.
func (q *customerQuota) spendLocal(now, units float64) bool {
	q.localUnits = min(q.localUnits+q.terms.localRate*(now-q.localUnitsAt), q.terms.localBurst)
	if q.localUnitsAt = now; q.localUnits < units &&
		(!q.terms.mayOverdraw || q.localUnits < q.terms.localBurst) {
		return false
	}
	q.localUnits -= units
	return true
}

// expireLease ends an idle lease. Idle units count as spent on the counter, so no other gateway can use
// them in this window. They are returned with the next lease, or at once where the bucket is low and other
// gateways may need them.
func (g *Gateway) expireLease(quota *customerQuota) {
	if g.now < quota.leaseExpires || quota.leasedUnits <= 0 {
		return
	}
	fullTotal := g.advanceWindow(quota)
	if quota.terms.tokenBucket && quota.leaseWindow == quota.window {
		quota.idleUnits += quota.leasedUnits
	}
	quota.leasedUnits = 0
	if quota.idleUnits >= 1 && quota.knownTotal-fullTotal > lowBucketFraction*quota.terms.allowance &&
		g.now >= quota.backoffUntil && !g.skipCall(quota) {
		returned := g.takeIdleUnits(quota)
		g.callCounter(counterCall{customer: quota, name: quota.counterName, window: quota.window,
			adjustment: -returned}, counterTTL)
	}
}

// takeIdleUnits removes the idle units from the quota and returns their number.
func (g *Gateway) takeIdleUnits(quota *customerQuota) (units float64) {
	units, quota.idleUnits = quota.idleUnits, 0
	if quota.knownTotal > 0 {
		quota.knownTotal = max(quota.knownTotal-units, 1e-3) // 0 means unknown
	}
	return units
}

// leaseSize returns the units of the next lease: the demand of one second, or the maximum if nothing is
// known yet. With many gateways each sees little of the demand and their leases together can take the whole
// burst; there a lease covers only what is likely to be used before it expires.
func (q *customerQuota) leaseSize() float64 {
	switch {
	case !q.terms.fewGateways:
		return min(q.demand*q.terms.leaseLifetime, q.terms.maxLease)
	case !q.totalReceived:
		return q.terms.maxLease
	}
	return min(q.demand, q.terms.maxLease)
}

// advanceWindow moves the quota to the current window of the counter and returns the total at which the
// bucket is full. Windows of different customers end at different times, so that the calls for them are
// spread.
func (g *Gateway) advanceWindow(quota *customerQuota) (fullTotal float64) {
	current := math.Floor(g.now/quota.terms.window + quota.windowPhase())
	if current != quota.window {
		quota.window, quota.knownTotal, quota.unreportedUnits, quota.idleUnits, quota.exhaustedUntil = current, 0,
			0, 0, 0
		quota.counterName = windowName(quota.id, current)
	}
	if quota.terms.tokenBucket {
		fullTotal = quota.terms.rate * (g.now - (current-quota.windowPhase())*quota.terms.window)
	}
	return fullTotal
}

// windowName returns the counter's name for a customer's window.
func windowName(id CustomerID, window float64) uint64 {
	return hash(hash(uint64(id)) + uint64(int64(window)))
}

// skipCall decides at random whether to skip a call, to reduce the load on a failing counter.
func (g *Gateway) skipCall(quota *customerQuota) bool {
	if g.rng.Float64() >= g.skipProbability() {
		return false
	}
	quota.backoffUntil = g.now + initialCounterBackoff
	return true
}

// skipProbability returns the probability of skipping a call.
func (g *Gateway) skipProbability() float64 {
	return min(skipFactor*g.counterFailureRate, maxSkipProbability)
}

// requestLease calls the counter for units and reports what has been spent from the local allowance.
func (g *Gateway) requestLease(quota *customerQuota) {
	if g.skipCall(quota) {
		return
	}
	needed := -quota.leasedUnits // negative leased units are a debt that this lease has to cover
	for _, request := range quota.queued {
		needed += request.units
	}
	// The size is rounded down, since other gateways lack a unit that nobody uses here.
	needed = math.Ceil(max(needed, 0)) + math.Floor(quota.leaseSize())
	fullTotal := g.advanceWindow(quota)
	call := counterCall{customer: quota, name: quota.counterName, window: quota.window, fullTotal: fullTotal,
		spentUnits: quota.unreportedUnits, returned: g.takeIdleUnits(quota)}
	if quota.terms.tokenBucket && quota.knownTotal > 0 {
		// Units beyond the allowance would need a correcting call, or be lost if the reply to this one is.
		available := quota.terms.allowance - max(quota.knownTotal-fullTotal, 0)
		needed = min(needed, max(math.Floor(available), quota.queued[0].units))
	}
	call.requested = max(min(needed, quota.terms.allowance), 1)
	if call.adjustment = max(fullTotal-quota.knownTotal, 0); !quota.terms.fewGateways {
		call.adjustment = 0 // other gateways have reported most of it
	} else if quota.knownTotal == 0 {
		// A window that is new to this gateway may be new to all. The call that creates it must also reduce
		// the bucket to its initial units; a gateway that was not the first corrects that afterwards.
		call.adjustment = fullTotal + quota.terms.allowance - quota.terms.initialUnits
	}
	quota.unreportedUnits = 0
	g.callCounter(call, counterTTL)
}

// handleCounterReply processes the reply to a call. A call without an answer grants nothing: its amount may
// have been added, and the next total will show that.
func (g *Gateway) handleCounterReply(reply CounterReply) {
	call, ok := g.takePendingCall(reply.Name)
	if !ok {
		return
	}
	quota := call.customer
	connectionLost := reply.Outcome == Errored || reply.Outcome == Broken || reply.Outcome == ConnectFailed
	// While calls are skipped, each call made represents several. With the weight of one, the remaining
	// calls would take seconds to show that the counter has recovered.
	gain := min(minCounterFailureGain/(1-g.skipProbability()), 1)
	switch {
	case reply.Outcome == Served:
		// For the same reason an answer weighs more the longer ago the last call was. A failure does not:
		// a short overload of the counter would stop the calls for a second.
		g.counterFailureRate -= min(max(gain, (g.now-g.counterReplyAt)/counterFailureTimeConstant),
			1) * g.counterFailureRate
	case !connectionLost:
		g.counterFailureRate -= gain * g.counterFailureRate
	}
	g.counterReplyAt = g.now
	switch {
	case call.forSlots && reply.Outcome == Served && call.requested > 0:
		g.applySlotGrant(quota, call, reply.Total)
	case reply.Outcome == Errored && !call.alreadyAdded && call.requested > 0,
		reply.Outcome == Broken && !call.alreadyAdded && call.corrects:
		// An amount that was added but not granted is lost to all gateways: ask for the total again.
		call.alreadyAdded = true
		g.callCounter(call, counterTTL)
		return
	case reply.Outcome == Served && call.alreadyAdded && call.corrects:
		if call.alreadyAdded = false; math.Abs(reply.Total-call.baseTotal) <
			math.Abs(reply.Total-call.baseTotal-call.adjustment) {
			call.baseTotal = reply.Total // the correction was not added
			g.callCounter(call, counterTTL)
		}
	case reply.Outcome != Served:
		// A slot that is not returned is lost to all gateways. A rejected call has changed nothing, so the
		// return is repeated; an unanswered call may have been added and is not repeated.
		if (reply.Outcome == Full || reply.Outcome == ConnectFailed) && call.forSlots &&
			call.name == quota.slotCounterName {
			quota.slots += int(max(-call.adjustment, 0))
		}
		if (reply.Outcome == Full || reply.Outcome == ConnectFailed) && !call.forSlots && !call.alreadyAdded &&
			call.window == quota.window {
			quota.unreportedUnits += call.spentUnits // reported with the next lease
			returned := call.returned
			if call.requested == 0 {
				returned = max(-call.adjustment, 0)
			}
			quota.idleUnits, quota.knownTotal = quota.idleUnits+returned, quota.knownTotal+returned
		}
		if connectionLost && quota.backoff == 0 {
			// A lost connection does not indicate overload: the next call may follow at once. The backoff
			// starts with the second loss in a row.
			quota.backoff = initialCounterBackoff / 2
			break
		}
		if !connectionLost {
			g.counterFailureRate += gain
		}
		quota.backoff = min(max(2*quota.backoff, initialCounterBackoff), maxCounterBackoff)
		quota.backoffUntil = g.now + quota.backoff
	case call.requested > 0 && !call.forSlots:
		quota.backoff = 0
		g.applyGrant(quota, call, reply.Total)
	case call.corrects && quota.terms.refillLag > 0 &&
		reply.Total-call.baseTotal-call.adjustment > call.adjustment/2 && call.adjustment > minCorrection:
		// Another gateway has written off the same refill since the last total.
		call.adjustment, call.baseTotal = -call.adjustment, reply.Total
		g.callCounter(call, counterTTL)
	}
	g.admit(quota)
}

// applyGrant keeps the part of a lease that fits the allowance and returns the rest to a token bucket. In a
// short window the rest is not returned: nothing is left until the next window, and the calls would double
// the load.
func (g *Gateway) applyGrant(quota *customerQuota, call counterCall, total float64) {
	before := total - call.adjustment - call.requested
	target := max(before, call.fullTotal)
	if before-call.spentUnits+call.returned < minCorrection {
		// The window is new, or the counter has lost its data.
		target = max(target, quota.knownTotal, call.fullTotal+quota.terms.allowance-quota.terms.initialUnits)
	} else if target-before <= quota.terms.refillLag {
		target = before // not worth a call yet
	}
	unit := 1.0
	if len(quota.queued) > 0 {
		unit = max(quota.queued[0].units, 1e-3)
	}
	available := quota.terms.allowance - (target - call.fullTotal)
	grant := max(min(call.requested, math.Floor(available/unit+1e-3)*unit), 0)
	if grant < call.requested {
		if quota.terms.refillLag > 0 {
			available = max(available, -quota.terms.refillLag) // refill written off twice is corrected soon
		}
		quota.exhaustedUntil = g.now + max((2*unit-available+grant)/max(quota.terms.rate, 1e-3), g.settings.Tick)
		if !quota.terms.tokenBucket {
			quota.exhaustedUntil = (call.window + 1 - quota.windowPhase()) * quota.terms.window
		}
	}
	quota.leasedUnits += grant
	quota.leaseWindow = call.window
	if grant > 0 {
		quota.leaseExpires = g.now + quota.terms.leaseLifetime
	}
	if quota.window == call.window {
		quota.knownTotal = target + grant
	}
	quota.totalReceived = true
	// More was added than granted, or the counter has lost its data.
	if correction := target + grant - total; quota.terms.tokenBucket &&
		math.Abs(correction) > minCorrection*unit {
		g.callCounter(counterCall{customer: quota, name: call.name, window: call.window, adjustment: correction,
			corrects: true, baseTotal: total}, counterTTL)
	}
}

// provesNoEffect reports whether the outcome proves that an attempt had no effect.
func provesNoEffect(outcome Outcome) bool {
	return outcome == Full || outcome == ConnectFailed || outcome == NotStarted
}
