package rules

// Attempts and answers of pending requests. Every attempt goes through send and every answer of the gateway's
// own through reject, which enforce the rules for all paths.

import "slices"

// Parameters of attempts. Each holds for any deployment.
const (
	overdueDeviations = 4.0 // mean deviations above the mean latency after which an attempt is overdue

	retryFraction  = 0.15 // retries per first attempt, so that retries cannot amplify an overload
	maxRetryBudget = 10.0 // of a gateway
)

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
		g.retryBudget = min(g.retryBudget+retryFraction, maxRetryBudget*g.processFraction)
	} else {
		request.customer.active++
	}
	if !request.mayHaveRun {
		request.mayHaveRun, request.mayHaveRunSince, request.mayHaveRunOn = true, g.now, backend
	}
	request.attempts = append(request.attempts, attempt{target: backend, sent: g.now})
	request.outstanding++
	g.outstanding++
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
	g.outstanding--
	quota.active--
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
		g.forget(request)
	}
	g.admit(request.customer)
}

// settleUnits corrects the leased units once the actual units of a request are known.
func (g *Gateway) settleUnits(request *pendingRequest, units float64) {
	if !g.settings.UnitsEstimated || units <= 0 {
		return
	}
	excess := units - request.units
	if request.customer.plan.CeilingRate > 0 {
		excess = request.customer.settleUnderCeiling(excess, g.processFraction)
	}
	request.customer.leasedUnits -= excess
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
		g.forget(request)
	}
}

// provesNoEffect reports whether the outcome proves that an attempt had no effect.
func provesNoEffect(outcome Outcome) bool {
	return outcome == Full || outcome == ConnectFailed || outcome == NotStarted
}
