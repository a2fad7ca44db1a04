package gateway

import (
	"context"
	"log"
	"log/slog"
	"math"
	"net/http"
	"slices"
	"sync"
	"time"

	"dunlintray/internal/subset"
	"dunlintray/rules"
)

const (
	inboxSize        = 1024
	responseMargin   = 0.005 // seconds of a deadline reserved for delivering the response
	timeoutTolerance = 0.001 // seconds; a cancel this close to the attempt's deadline counts as a timeout

	// counterTimeoutFactor is the number of counter timeouts that the loop waits for a
	// reply. A counter under load replies late, and units added by an abandoned call are
	// lost to all gateways for the rest of the window.
	counterTimeoutFactor = 4
)

// Messages to the loop.
type (
	requestArrived struct{ exchange *exchange }
	clientGone     struct{ exchange *exchange }
	bodyComplete   struct { // the last byte of a streamed request body has arrived
		exchange *exchange
		deadline time.Time // of the request
	}
	bodyConsumed    struct{ exchange *exchange } // an attempt has begun to read what is not kept of a streamed request body
	responseStarted struct {                     // the head of a response is ready to be streamed to the client
		attempt  *attempt
		response response
		accepted chan<- bool // buffered
	}
	interimResponse struct { // a 1xx response
		attempt  *attempt
		response response
	}
	attemptDone struct {
		attempt *attempt
		result  result
	}
	counterCallDone struct {
		call    *counterCall
		outcome rules.Outcome
		total   float64
	}
	operatorOverride struct { // an operator takes a backend offline or online
		id      string
		offline bool
		known   chan<- bool // buffered
	}
	identityClaim struct { // the sibling process is about to accept a request
		identity uint64
		granted  chan<- bool // buffered
	}
	moduleEvent     struct{ event rules.Event } // an event of this process or its sibling
	snapshotRequest struct{ snapshot chan<- snapshot }
	planChanged     struct{ plan resourcePlan }
	settingsChanged struct {
		service *serviceConfig
		subset  subset.Settings
	}
	backendsViewRequest struct {
		query backendsQuery
		view  chan<- BackendsView // buffered
	}
	listUpdate struct {
		listing Listing
		kind    rules.ListKind
		history string // identifies the sequence of versions; may be empty
	}
)

// Loop owns the decision module. It receives all events in order, carries out the module's
// actions and never blocks on a socket.
type Loop struct {
	clock         clock
	service       *serviceConfig
	metrics       *metrics
	gateway       *rules.Gateway
	pools         *pools
	counter       *counter
	contact       *counterContact // with the counter; nil if membership is off
	onListApplied func()          // called after each list that is not a cached one
	resubscribe   chan struct{}   // the module wants discovery called again

	inbox    chan any
	stopped  chan struct{}  // closed when run returns
	attempts sync.WaitGroup // attempts that use sockets

	live           map[rules.RequestID]*exchange // requests until they have a response and no attempt in flight
	nextID         rules.RequestID
	instances      map[rules.BackendID]Instance // on the current list
	zones          zoneNumbers
	name           string // of the gateway
	plan           resourcePlan
	listHistory    string // of the list that was applied last
	listVersion    int64
	subset         *backendSubset           // nil: all listed backends are used
	offline        map[rules.BackendID]bool // operator overrides that this process knows
	offlineOutside map[string]bool          // backends outside the subset that an operator has taken offline
	exportedState  rules.Snapshot
	timers         timerQueue
	actions        []rules.Action
	pendingEvents  []rules.Event // events that actions caused

	traceLines       int     // lines about single requests since traceWindowStart
	traceWindowStart float64 // seconds on the clock
	maxLag           float64 // seconds; largest timer delay since lagLoggedAt
	lagLoggedAt      float64 // seconds on the clock
}

// newLoop returns a loop with a new decision module. It carries out the module's first actions;
// run does the rest.
func newLoop(config *Config, service *serviceConfig, metrics *metrics, pools *pools, counter *counter, onListApplied func()) *Loop {
	loop := &Loop{clock: newClock(), service: service, metrics: metrics, pools: pools, counter: counter, onListApplied: onListApplied,
		resubscribe: make(chan struct{}, 1), inbox: make(chan any, inboxSize), stopped: make(chan struct{}),
		live: map[rules.RequestID]*exchange{}, instances: map[rules.BackendID]Instance{}, zones: zoneNumbers{}, name: config.Name, plan: config.resourcePlan(1), offline: map[rules.BackendID]bool{}}
	if config.Members.Enabled {
		loop.contact = &counterContact{}
	}
	if loop.subset = newBackendSubset(config.Name, config.Scopes.subset, metrics.subset); loop.subset != nil {
		loop.offlineOutside = map[string]bool{}
	}
	loop.zones.assign(service.Zones)
	loop.gateway, loop.actions = rules.New(loop.activeSettings(), config.Seed, loop.clock.now(), nil)
	loop.execute(loop.actions)
	return loop
}

// post sends the loop a message. It returns false once the loop has ended.
func (l *Loop) post(message any) bool {
	select {
	case l.inbox <- message:
		return true
	case <-l.stopped:
		return false
	}
}

// override applies an operator override and waits until the decision module has it. It
// returns false if the backend is unknown or the loop has ended.
func (l *Loop) override(id string, offline bool) (known bool) {
	done := make(chan bool, 1)
	if !l.post(operatorOverride{id, offline, done}) {
		return false
	}
	select {
	case known = <-done:
	case <-l.stopped:
	}
	return known
}

// awaitListRetry reports to the decision module that discovery rejected a call, and returns
// when the module wants the next call.
func (l *Loop) awaitListRetry(ctx context.Context) {
	select {
	case <-l.resubscribe: // left from an earlier call
	default:
	}
	l.post(listUpdate{kind: rules.ListFailed})
	select {
	case <-l.resubscribe:
	case <-ctx.Done():
	case <-l.stopped:
	}
}

// run processes messages and timers until ctx ends.
func (l *Loop) run(ctx context.Context) {
	defer close(l.stopped)
	defer l.finishAll()
	wakeup := time.NewTimer(0)
	defer wakeup.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-l.inbox:
			l.dispatch(message)
		case <-wakeup.C:
		}
		now := l.clock.now()
		for timer := l.timers.popDue(now); timer != nil; timer = l.timers.popDue(now) {
			l.recordLag(now - timer.at)
			l.fire(timer)
		}
		if at, ok := l.timers.next(); ok {
			wakeup.Reset(time.Until(l.clock.at(at)))
		}
	}
}

// dispatch handles one message.
func (l *Loop) dispatch(message any) {
	switch message := message.(type) {
	case requestArrived:
		l.arrive(message.exchange)
	case clientGone:
		if message.exchange.inProgress {
			l.trace(message.exchange, "client left")
			l.abandon(message.exchange)
		}
		message.exchange.discardResponses() // its handler has returned
	case bodyComplete:
		l.completeBody(message.exchange, message.deadline)
	case bodyConsumed:
		l.handle(rules.BodyConsumed{Request: message.exchange.request.ID})
	case responseStarted:
		message.accepted <- l.startResponse(message.attempt, message.response)
	case interimResponse:
		if exchange := message.attempt.exchange; exchange.inProgress && !exchange.responseStarted && !message.attempt.ended && len(exchange.responses) == 0 {
			exchange.responses <- message.response // the second slot is reserved for the final response
		}
	case attemptDone:
		if exchange := message.attempt.exchange; message.result.clientGone && exchange.inProgress && !exchange.responseStarted {
			l.trace(exchange, "client left")
			exchange.responses <- response{clientGone: true}
			l.abandon(exchange)
		}
		if exchange := message.attempt.exchange; message.result.bodyErr != nil && exchange.inProgress && !exchange.responseStarted {
			exchange.responses <- response{status: uploadStatus(message.result.bodyErr)}
			l.abandon(exchange)
		}
		l.endAttempt(message.attempt, message.result)
	case counterCallDone:
		l.endCounterCall(message.call, message.outcome, message.total)
	case identityClaim:
		message.granted <- l.gateway.ClaimIdentity(l.clock.now(), message.identity)
	case moduleEvent:
		l.handle(message.event)
	case snapshotRequest:
		message.snapshot <- l.exportState()
	case operatorOverride:
		message.known <- l.applyOverride(message.id, message.offline)
	case planChanged:
		l.plan = message.plan
		l.handle(rules.ApplySettings{Settings: l.activeSettings()})
	case settingsChanged:
		l.service = message.service
		l.zones.assign(l.service.Zones)
		l.handle(rules.ApplySettings{Settings: l.activeSettings()})
		l.resizeSubset(message.subset)
	case listUpdate:
		if message.kind == rules.ListFailed {
			l.handle(rules.Backends{Kind: message.kind})
			break
		}
		l.receiveListing(message)
		l.listHistory, l.listVersion = message.history, message.listing.Generation
	case backendsViewRequest:
		message.view <- l.backendsView(message.query)
	}
}

// handle passes an event to the decision module, and then the events that its actions cause.
func (l *Loop) handle(event rules.Event) {
	l.pendingEvents = append(l.pendingEvents, event)
	if len(l.pendingEvents) > 1 {
		return // an outer call handles it
	}
	for n := 0; n < len(l.pendingEvents); n++ {
		l.actions = l.gateway.Handle(l.clock.now(), l.pendingEvents[n], l.actions[:0])
		l.execute(l.actions)
	}
	clear(l.pendingEvents)
	l.pendingEvents = l.pendingEvents[:0]
}

// arrive gives a request an unused id and passes it to the decision module.
func (l *Loop) arrive(exchange *exchange) {
	if exchange.service != l.service && !l.carryOver(exchange) {
		exchange.counts.dropped.Add(1)
		exchange.responses <- response{status: http.StatusServiceUnavailable}
		return
	}
	if len(l.live) >= l.maxInProgress() {
		exchange.counts.dropped.Add(1)
		l.metrics.overloaded.Add(1)
		exchange.rejectReason = "overloaded"
		l.trace(exchange, "not served")
		exchange.responses <- response{status: http.StatusServiceUnavailable} // nothing has been sent to a backend
		return
	}
	for inUse := true; inUse; _, inUse = l.live[l.nextID] {
		l.nextID = max(l.nextID+1, 1) // 0 means no request
	}
	exchange.request.ID, exchange.inProgress, exchange.queueDelay = l.nextID, true, l.clock.now()-exchange.request.Sent
	l.live[exchange.request.ID] = exchange
	if !exchange.request.BodyPending {
		l.accept(exchange)
	}
	l.handle(exchange.request)
}

// maxInProgress returns the limit of requests in progress at this process: its part of the gateway's
// limit, and what its memory allows.
func (l *Loop) maxInProgress() int {
	if l.service.MaxInProgress <= 0 {
		return l.plan.requests
	}
	return min(max(l.service.MaxInProgress/l.plan.processes, 1), l.plan.requests)
}

// accept counts a request whose last byte has arrived as in progress.
func (l *Loop) accept(exchange *exchange) {
	exchange.accepted = true
	l.metrics.inProgress.Add(1)
}

// finish marks an exchange as answered. It cancels attempts that are still dialing: if the
// settings allow no cancellation, the decision module leaves attempts in flight, and one
// that is not connected yet would run without a client.
func (l *Loop) finish(exchange *exchange) {
	if exchange.inProgress = false; exchange.accepted {
		l.metrics.inProgress.Add(-1)
	}
	for _, attempt := range exchange.attempts {
		if !attempt.ended {
			attempt.abortDial()
		}
	}
}

// finishAll marks the requests that are still in progress as ended, when the loop ends: their handlers answer
// them then.
func (l *Loop) finishAll() {
	for _, exchange := range l.live {
		if exchange.inProgress {
			l.finish(exchange)
		}
	}
}

// abandon ends a request whose client has left or has not sent a complete body.
func (l *Loop) abandon(exchange *exchange) {
	l.finish(exchange)
	l.handle(rules.ClientGone{Request: exchange.request.ID})
	for _, attempt := range exchange.attempts {
		if attempt.download != nil {
			attempt.download.discard() // no effect if the client's handler owns it
		}
	}
	l.forget(exchange)
}

// completeBody starts the deadline of a request whose body has arrived.
func (l *Loop) completeBody(exchange *exchange, deadline time.Time) {
	if !exchange.inProgress {
		return
	}
	l.timers.remove(exchange.bodyTimer)
	exchange.request.BodyPending, exchange.request.Sent = false, l.clock.now()
	exchange.request.Deadline = exchange.request.Sent + time.Until(deadline).Seconds()
	l.accept(exchange)
	if exchange.responseStarted {
		return // the decision module no longer tracks it
	}
	if attempt := exchange.attempts[len(exchange.attempts)-1]; !attempt.ended {
		attempt.deadline = exchange.request.Deadline
		l.setAttemptTimer(attempt)
	}
	l.handle(rules.BodyComplete{Request: exchange.request.ID, Deadline: exchange.request.Deadline})
}

// startResponse lets the client's handler stream a response. It returns false if the
// client is not waiting for one.
func (l *Loop) startResponse(attempt *attempt, response response) bool {
	exchange := attempt.exchange
	if attempt.ended || !exchange.inProgress || exchange.responseStarted {
		return false
	}
	exchange.responseStarted, attempt.download = true, response.download
	l.timers.remove(attempt.timer) // a response that has started has no deadline
	units := reportedUnits(response.header)
	response.prepareForClient()
	l.handle(rules.Established{Request: exchange.request.ID, Attempt: attempt.number, Backend: attempt.backend, Took: l.clock.now() - attempt.sent,
		Units: units})
	if l.clock.now()-exchange.request.Sent > exchange.class.Aim {
		l.trace(exchange, "served late")
	}
	exchange.responses <- response // buffered, and receives only one final response
	return true
}

// prepareForClient removes what a backend's response holds for the gateway only.
func (r *response) prepareForClient() {
	r.fromBackend = true
	r.header = endToEndHeaders(r.header)
	r.header.Del(loadHeader) // meant for gateways
}

// carryOver adapts a request that was read under earlier settings to the current ones,
// whose class and plan indexes may differ. The request keeps its class; the quota is that
// of the plan's current settings. It returns false if the plan no longer exists.
func (l *Loop) carryOver(exchange *exchange) bool {
	exchange.request.ClassOverride = exchange.class
	exchange.request.Plan = slices.Index(l.service.PlanNames, exchange.plan)
	return exchange.request.Plan >= 0
}

// applyOverride takes a backend offline or online. The connections change before the
// decision module does, so that a pending dial does not become an attempt. It returns false
// if the backend is unknown.
func (l *Loop) applyOverride(id string, offline bool) (known bool) {
	backend := backendID(id)
	if instance, listed := l.instances[backend]; listed && instance.ID != id {
		return false
	}
	if !l.gateway.Knows(backend) {
		return l.overrideOutsideSubset(id, offline)
	}
	if offline {
		l.pools.renew(backend)
	}
	l.handle(rules.OperatorOverride{Backend: backend, Offline: offline})
	if delete(l.offline, backend); offline {
		l.offline[backend] = true
	}
	l.updateBackendCounts()
	slog.Info("by hand", "backend", id, "offline", offline)
	return true
}

// applyList applies a list or a change from discovery. The connections change before the
// decision module does.
func (l *Loop) applyList(listing Listing, kind rules.ListKind) {
	event := rules.Backends{Kind: kind}
	listed := map[rules.BackendID]bool{}
	for _, instance := range listing.Instances {
		backend, err := backendOf(instance, &l.service.Deployment, l.zones)
		if err != nil {
			log.Printf("discovery: %v", err)
			continue
		}
		if existing, known := l.instances[backend.ID]; known && existing.ID != instance.ID {
			log.Printf("discovery: instances %q and %q have one id; the second is left out", existing.ID, instance.ID)
			continue
		}
		listed[backend.ID] = true
		event.Entries = append(event.Entries, backend)
		if l.instances[backend.ID] = instance; backend.State == rules.Gone {
			delete(l.instances, backend.ID)
		}
		if backend.State == rules.Ready {
			l.pools.update(backend.ID, instance.HostPort, backend.StartedAt)
		} else {
			l.pools.remove(backend.ID)
		}
	}
	if kind != rules.Delta {
		for id := range l.instances {
			if !listed[id] {
				delete(l.instances, id)
				l.pools.remove(id)
			}
		}
	}
	l.handle(event)
	if kind != rules.CachedList {
		l.onListApplied()
	}
}

// execute carries out the decision module's actions.
func (l *Loop) execute(actions []rules.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case rules.Send:
			l.startAttempt(action)
		case rules.Cancel:
			l.cancelAttempt(action)
		case rules.Refuse:
			l.reject(action.Request, action.Reason, response{status: http.StatusTooManyRequests, retryAfter: action.RetryAfter})
		case rules.Fail:
			l.reject(action.Request, action.Reason, response{status: http.StatusBadGateway})
		case rules.SetTimer:
			l.setModuleTimer(action)
		case rules.Count:
			l.callCounter(action)
		case rules.Exported:
			l.exportedState = action.Snapshot
		case rules.Log:
			log.Print(action.Text)
		case rules.Subscribe:
			select {
			case l.resubscribe <- struct{}{}:
			default: // already signalled
			}
		}
	}
}

// startAttempt starts an attempt, unless the request has ended or has used up its attempts.
func (l *Loop) startAttempt(action rules.Send) {
	exchange := l.live[action.Request]
	if exchange == nil {
		log.Printf("attempt not started: request %d is unknown", action.Request)
		return
	}
	now := l.clock.now()
	attempt := &attempt{exchange: exchange, number: len(exchange.attempts), backend: action.Backend, sent: now, deadline: exchange.request.Deadline}
	if action.Timeout > 0 {
		attempt.deadline = min(attempt.deadline, now+action.Timeout)
	}
	if action.WriteDeadline > 0 {
		attempt.writeBefore = l.clock.at(action.WriteDeadline)
	}
	if exchange.request.BodyPending {
		attempt.deadline = math.Inf(1) // until its body is complete
	} else {
		attempt.wallDeadline = l.clock.at(attempt.deadline)
	}
	attempt.onInterim = func(response response) { l.post(interimResponse{attempt, response}) }
	attempt.onStart = func(response response) bool {
		accepted := make(chan bool, 1)
		if !l.post(responseStarted{attempt, response, accepted}) {
			return false
		}
		select {
		case ok := <-accepted:
			return ok
		case <-l.stopped:
			return false
		}
	}
	exchange.attempts = append(exchange.attempts, attempt)
	exchange.inFlight++
	if !exchange.inProgress || attempt.number >= max(l.service.MaxAttempts, 1) || attempt.deadline <= now {
		l.endAttempt(attempt, result{outcome: rules.NotStarted})
		return
	}
	if attempt.number > 0 {
		l.metrics.retries.Add(1)
	}
	attempt.ctx, attempt.cancel = context.WithCancel(context.Background())
	if exchange.request.BodyPending {
		l.checkBodyTime(exchange)
	} else {
		l.setAttemptTimer(attempt)
	}
	l.metrics.openAttempts.Add(1)
	l.attempts.Go(func() { // ends by attempt.wallDeadline, or when the attempt is aborted
		defer l.metrics.openAttempts.Add(-1)
		res := l.pools.runAttempt(attempt)
		attempt.cancel()
		if !l.post(attemptDone{attempt, res}) {
			res.response.discard()
		}
	})
}

// endAttempt records the result of an attempt. It drops any later result.
func (l *Loop) endAttempt(attempt *attempt, res result) {
	if attempt.ended {
		res.response.discard()
		return
	}
	attempt.ended, attempt.outcome, attempt.err, attempt.took = true, res.outcome, res.err, l.clock.now()-attempt.sent
	l.timers.remove(attempt.timer)
	exchange := attempt.exchange
	exchange.inFlight--
	switch {
	case !exchange.inProgress, exchange.responseStarted && attempt.download == nil: // another answer is being sent, or was
		res.response.discard()
	case exchange.responseStarted && res.outcome == rules.Served:
		l.finish(exchange)
		exchange.counts.passed.Add(1)
	case exchange.responseStarted:
		l.finish(exchange) // its connection ends before the response does, so the client notices
		exchange.counts.badGateway.Add(1)
		l.trace(exchange, "not served")
	case res.outcome == rules.Served:
		res.response.prepareForClient()
		l.respond(exchange.request.ID, res.response)
	}
	l.handle(rules.AttemptEnd{Request: exchange.request.ID, Attempt: attempt.number, Backend: attempt.backend, Outcome: res.outcome,
		Took: attempt.took, Done: !exchange.inProgress, Units: res.units})
	l.forget(exchange)
}

// cancelAttempt cancels an attempt for the decision module.
func (l *Loop) cancelAttempt(action rules.Cancel) {
	exchange := l.live[action.Request]
	if exchange == nil || action.Attempt >= len(exchange.attempts) || exchange.attempts[action.Attempt].ended {
		return
	}
	attempt := exchange.attempts[action.Attempt]
	attempt.abort()
	outcome := rules.Cancelled
	if exchange.request.BodyPending {
		outcome = rules.NotStarted // its backend does not have the whole request
	} else if l.clock.now() >= attempt.deadline-timeoutTolerance {
		outcome = rules.TimedOut // counts against the backend
	}
	l.endAttempt(attempt, result{outcome: outcome})
}

// reject sends a final response that no backend produced.
func (l *Loop) reject(id rules.RequestID, reason rules.Reason, response response) {
	if exchange := l.live[id]; exchange != nil && exchange.inProgress {
		exchange.rejectReason = reason.String()
		l.metrics.rejected[reason].Add(1)
	}
	l.respond(id, response)
}

// respond sends the final response to a request, unless it already has one.
func (l *Loop) respond(id rules.RequestID, response response) {
	exchange := l.live[id]
	if exchange == nil || !exchange.inProgress {
		return
	}
	l.finish(exchange)
	switch {
	case response.fromBackend:
		exchange.counts.passed.Add(1)
		if l.clock.now()-exchange.request.Sent > exchange.class.Aim {
			l.trace(exchange, "served late")
		}
	case response.status == http.StatusTooManyRequests:
		exchange.counts.dropped.Add(1)
		l.trace(exchange, "not served")
	default:
		exchange.counts.badGateway.Add(1)
		l.trace(exchange, "not served")
	}
	exchange.responses <- response // buffered, and receives only one final response
	l.forget(exchange)
}

// forget removes a request that has its response and no attempt in flight.
func (l *Loop) forget(exchange *exchange) {
	if !exchange.inProgress && exchange.inFlight == 0 {
		delete(l.live, exchange.request.ID)
		l.timers.remove(exchange.timers...)
		l.timers.remove(exchange.bodyTimer)
		exchange.timers = nil
	}
}

// updateBackendCounts publishes the decision module's counts of backends.
func (l *Loop) updateBackendCounts() {
	known, skipped := l.gateway.BackendCounts()
	l.metrics.knownBackends.Store(int64(known))
	l.metrics.skippedBackends.Store(int64(skipped))
}

// callCounter starts a counter call for the decision module.
func (l *Loop) callCounter(action rules.Count) {
	call := &counterCall{number: action.Call, name: action.Name, amount: action.Amount, sent: l.clock.now(),
		ttl: min(max(time.Duration(action.TTL*float64(time.Second)), minTTL), maxTTL)}
	call.report = func(call *counterCall, outcome rules.Outcome, total float64) {
		l.post(counterCallDone{call, outcome, total})
	}
	if l.counter == nil || !l.counter.add(call) {
		l.endCounterCall(call, rules.Full, 0)
		return
	}
	call.timer = &timer{at: call.sent + counterTimeoutFactor*l.service.CounterTimeout, call: call}
	l.timers.add(call.timer)
}

// endCounterCall passes the result of a counter call to the decision module, once.
func (l *Loop) endCounterCall(call *counterCall, outcome rules.Outcome, total float64) {
	if call.ended {
		return
	}
	call.ended = true
	l.timers.remove(call.timer)
	l.contact.recordCall(outcome)
	l.handle(rules.CounterReply{Call: call.number, Name: call.name, Outcome: outcome, Total: total, Took: l.clock.now() - call.sent})
}

// checkBodyTime ends a request whose client has probably sent its whole body and waited for as
// long as it said: the body may be in the buffers of the sockets, if its backend reads slowly.
func (l *Loop) checkBodyTime(exchange *exchange) {
	if !exchange.inProgress || !exchange.request.BodyPending || exchange.responseStarted {
		return
	}
	remaining := exchange.upload.remaining() - seconds(responseMargin)
	if remaining <= 0 {
		l.completeBody(exchange, time.Now())
		return
	}
	l.timers.remove(exchange.bodyTimer)
	exchange.bodyTimer = &timer{at: l.clock.now() + remaining.Seconds(), body: exchange}
	l.timers.add(exchange.bodyTimer)
}

// setModuleTimer sets a timer of the decision module, unless its request has ended.
func (l *Loop) setModuleTimer(action rules.SetTimer) {
	timer := &timer{at: l.clock.now() + max(action.Delay, 0), token: action.Token, request: action.Request}
	if action.Request != 0 {
		exchange := l.live[action.Request]
		if exchange == nil {
			return
		}
		exchange.timers = append(exchange.timers, timer)
	}
	l.timers.add(timer)
}

// setAttemptTimer sets the timer for the deadline of an attempt.
func (l *Loop) setAttemptTimer(attempt *attempt) {
	attempt.timer = &timer{at: attempt.deadline, attempt: attempt}
	l.timers.add(attempt.timer)
}

// fire handles a timer that has expired.
func (l *Loop) fire(timer *timer) {
	switch {
	case timer.attempt != nil:
		timer.attempt.abort()
		l.endAttempt(timer.attempt, result{outcome: rules.TimedOut})
	case timer.body != nil:
		l.checkBodyTime(timer.body)
	case timer.call != nil:
		timer.call.abandoned.Store(true)
		l.endCounterCall(timer.call, rules.TimedOut, 0)
	default:
		l.handle(rules.Timer{Token: timer.token})
		if timer.request == 0 { // housekeeping: the set of avoided backends may have changed
			l.updateBackendCounts()
			if l.subset != nil {
				l.reviewSubset()
			}
		}
	}
}
