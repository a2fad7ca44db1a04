package rules

// The decisions of one gateway. types.go declares the interface, state.go the state kept between events;
// stop.go handles the end of the process, slow_start.go the slow start of backends.
//
// A request passes these steps: its customer's lease covers it (admit, in quota.go), it queues at its level
// (enqueue, in queue.go), the concurrency limit releases it (dispatch) and a backend is selected
// (pickBackend, in selection.go). Every attempt goes through send and every answer of the gateway's own
// through reject (both in attempts.go), which enforce the rules for all paths.

import (
	"fmt"
	"math"
	"slices"
)

// Intervals, in seconds.
const (
	housekeepingInterval = 0.05
	rejectionLogInterval = 1.0
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
	case BodyConsumed:
		if request := g.activeRequest(typed.Request); request != nil {
			request.bodyConsumed = true
		}
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
	if g.rejectReplay(request) {
		return
	}
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
	g.reviewCustomers()
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
