package gateway

import (
	"container/heap"
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
	responseMargin   = 0.005 // seconds kept of a deadline for the way to the client, the loop and the write
	timeoutTolerance = 0.001 // a cancel so close before an attempt's time-out is one

	// So many of the stated time-outs the counter's answer is waited for.
	//
	// Danger: it comes, however late, once the call has had its turn. What a call
	// that was given up has added is missing to all gateways for the window.
	counterTimeoutFactor = 4
)

// What sockets tell the loop.
type (
	requestArrived struct{ exchange *exchange }
	clientGone     struct{ exchange *exchange }
	bodyComplete   struct { // the rest of a body has come
		exchange *exchange
		deadline time.Time
	}
	responseStarted struct { // an answer is let go
		attempt  *attempt
		response response
		accepted chan<- bool // has room for one
	}
	interimResponse struct { // an answer before the answer
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
	operatorOverride struct {
		id      string
		offline bool
		known   chan<- bool // has room for one
	}
	moduleEvent     struct{ event rules.Event } // news of this process or the one beside it
	snapshotRequest struct{ snapshot chan<- snapshot }
	settingsChanged struct {
		service *serviceConfig
		subset  subset.Settings
	}
	backendsViewRequest struct {
		query backendsQuery
		view  chan<- BackendsView // has room for one
	}
	listUpdate struct {
		listing Listing
		kind    rules.ListKind
		history string // of its version, where it has a name
	}
)

// Loop is the one owner of the decision module. All that happens comes to it
// in order; it runs the module's actions and waits for no socket.
type Loop struct {
	clock         clock
	service       *serviceConfig
	metrics       *metrics
	gateway       *rules.Gateway
	pools         *pools
	counter       *counter
	contact       *counterContact // with the counter; nil where nobody watches it
	onListApplied func()
	resubscribe   chan struct{} // the module wants discovery asked again

	inbox    chan any
	stopped  chan struct{}  // closed when run ends
	attempts sync.WaitGroup // those that use sockets

	live           map[rules.RequestID]*exchange // until the last attempt has ended
	nextID         rules.RequestID
	instances      map[rules.BackendID]Instance // on the list
	name           string                       // of the gateway
	listHistory    string                       // of the list that was applied last
	listVersion    int64
	subset         *backendSubset           // of the list that it is told; nil: all of it is used
	offline        map[rules.BackendID]bool // by hand, as this process has heard
	offlineOutside map[string]bool          // of the subset, and out by hand
	exportedState  rules.Snapshot
	timers         timerHeap
	actions        []rules.Action
	pendingEvents  []rules.Event // events that actions brought about

	traceLines       int     // lines about single requests
	traceWindowStart float64 // in the second from here on
	maxLag           float64 // most that a timer came late since lagAt
	lagLoggedAt      float64
}

func newLoop(c *Config, s *serviceConfig, f *metrics, p *pools, k *counter, onListed func()) *Loop {
	l := &Loop{clock: newClock(), service: s, metrics: f, pools: p, counter: k, onListApplied: onListed,
		resubscribe: make(chan struct{}, 1), inbox: make(chan any, inboxSize), stopped: make(chan struct{}),
		live: map[rules.RequestID]*exchange{}, instances: map[rules.BackendID]Instance{}, name: c.Name, offline: map[rules.BackendID]bool{}}
	if c.Members.Enabled {
		l.contact = &counterContact{}
	}
	if l.subset = newBackendSubset(c.Name, c.Scopes.subset, f.subset); l.subset != nil {
		l.offlineOutside = map[string]bool{}
	}
	l.gateway, l.actions = rules.New(c.Settings, c.Seed, l.clock.now(), nil)
	l.execute(l.actions)
	return l
}

// post tells the loop something. It returns false once the loop has ended.
func (l *Loop) post(m any) bool {
	select {
	case l.inbox <- m:
		return true
	case <-l.stopped:
		return false
	}
}

// byHand hands on an operator's word and waits until the module has it.
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

// turnedAway tells the module that discovery has turned a call away, and returns
// when it wants the next one made.
func (l *Loop) awaitListRetry(ctx context.Context) {
	select {
	case <-l.resubscribe: // of before
	default:
	}
	l.post(listUpdate{kind: rules.ListFailed})
	select {
	case <-l.resubscribe:
	case <-ctx.Done():
	case <-l.stopped:
	}
}

// run works until ctx ends.
func (l *Loop) run(ctx context.Context) {
	defer close(l.stopped)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-l.inbox:
			l.dispatch(m)
		case <-timer.C:
		}
		now := l.clock.now()
		for len(l.timers) > 0 && (l.timers[0].at <= now || l.obsolete(l.timers[0])) {
			if t := heap.Pop(&l.timers).(timerEntry); !l.obsolete(t) {
				l.recordLag(now - t.at)
				l.fire(t)
			}
		}
		if len(l.timers) > 0 {
			timer.Reset(time.Until(l.clock.at(l.timers[0].at)))
		}
	}
}

func (l *Loop) dispatch(m any) {
	switch m := m.(type) {
	case requestArrived:
		l.arrive(m.exchange)
	case clientGone:
		if m.exchange.inProgress {
			l.trace(m.exchange, "client left")
			l.abandon(m.exchange)
		}
		m.exchange.discardReplies(&l.metrics.bodyBudget) // its handler has gone
	case bodyComplete:
		l.completeBody(m.exchange, m.deadline)
	case responseStarted:
		m.accepted <- l.startResponse(m.attempt, m.response)
	case interimResponse:
		if x := m.attempt.exchange; x.inProgress && !x.responseStarted && !m.attempt.ended && len(x.reply) == 0 {
			x.reply <- m.response // the place behind it is that of the final one
		}
	case attemptDone:
		if x := m.attempt.exchange; m.result.bodyErr != nil && x.inProgress && !x.responseStarted {
			x.reply <- response{status: uploadStatus(m.result.bodyErr)}
			l.abandon(x)
		}
		l.endAttempt(m.attempt, m.result)
	case counterCallDone:
		l.endCounterCall(m.call, m.outcome, m.total)
	case moduleEvent:
		l.handle(m.event)
	case snapshotRequest:
		m.snapshot <- l.exportState()
	case operatorOverride:
		m.known <- l.applyOverride(m.id, m.offline)
	case settingsChanged:
		l.service = m.service
		l.handle(rules.Retune{Settings: l.activeSettings()})
		l.resizeSubset(m.subset)
	case listUpdate:
		if m.kind == rules.ListFailed {
			l.handle(rules.Backends{Kind: m.kind})
			break
		}
		l.receiveListing(m)
		l.listHistory, l.listVersion = m.history, m.listing.Generation
	case backendsViewRequest:
		m.view <- l.backendsView(m.query)
	}
}

// handle gives the module an event, and then what its actions brought about.
func (l *Loop) handle(ev rules.Event) {
	l.pendingEvents = append(l.pendingEvents, ev)
	if len(l.pendingEvents) > 1 {
		return // an outer call is at it
	}
	for n := 0; n < len(l.pendingEvents); n++ {
		l.actions = l.gateway.Handle(l.clock.now(), l.pendingEvents[n], l.actions[:0])
		l.execute(l.actions)
	}
	clear(l.pendingEvents)
	l.pendingEvents = l.pendingEvents[:0]
}

// arrive gives a request an id of its own and hands it to the module.
func (l *Loop) arrive(x *exchange) {
	if x.service != l.service && !l.carryOver(x) {
		x.counts.dropped.Add(1)
		x.reply <- response{status: http.StatusServiceUnavailable}
		return
	}
	if l.service.MaxOpen > 0 && len(l.live) >= l.service.MaxOpen {
		x.counts.dropped.Add(1)
		x.reply <- response{status: http.StatusServiceUnavailable} // nothing was sent for it
		return
	}
	for taken := true; taken; _, taken = l.live[l.nextID] {
		l.nextID = max(l.nextID+1, 1) // 0 stands for no request
	}
	x.request.ID, x.inProgress, x.queueDelay = l.nextID, true, l.clock.now()-x.request.Sent
	l.live[x.request.ID] = x
	if !x.request.Open {
		l.accept(x)
	}
	l.handle(x.request)
}

// enter counts a request whose last byte has come.
func (l *Loop) accept(x *exchange) {
	x.accepted = true
	l.metrics.inProgress.Add(1)
}

// shut ends what an exchange is owed.
//
// Danger: where the settings allow no cancel, the module leaves its attempts out.
// One whose connection is not up yet would begin for nobody.
func (l *Loop) finish(x *exchange) {
	if x.inProgress = false; x.accepted {
		l.metrics.inProgress.Add(-1)
	}
	for _, a := range x.attempts {
		if !a.ended {
			a.abortDial()
		}
	}
}

// forsake ends a request whose client has left, or has sent none that is whole.
func (l *Loop) abandon(x *exchange) {
	l.finish(x)
	l.handle(rules.ClientGone{Request: x.request.ID})
	for _, a := range x.attempts {
		if a.download != nil {
			a.download.discard() // in case nobody took it
		}
	}
	l.forget(x)
}

// whole starts the time of a request whose body has come.
func (l *Loop) completeBody(x *exchange, until time.Time) {
	if !x.inProgress {
		return
	}
	x.request.Open, x.request.Sent = false, l.clock.now()
	x.request.Deadline = x.request.Sent + time.Until(until).Seconds()
	l.accept(x)
	if x.responseStarted {
		return // the module has let go of it
	}
	if a := x.attempts[len(x.attempts)-1]; !a.ended {
		a.deadline = x.request.Deadline
		l.timers.add(timerEntry{at: a.deadline, attempt: a})
	}
	l.handle(rules.Whole{Request: x.request.ID, Deadline: x.request.Deadline})
}

// begin lets a long answer go to the client, if it is still owed one.
func (l *Loop) startResponse(a *attempt, start response) bool {
	x := a.exchange
	if a.ended || !x.inProgress || x.responseStarted {
		return false
	}
	x.responseStarted, a.download = true, start.download
	units := reportedUnits(start.header)
	start.prepareForClient()
	l.handle(rules.Established{Request: x.request.ID, Attempt: a.number, Backend: a.backend, Took: l.clock.now() - a.sent,
		Units: units})
	if l.clock.now()-x.request.Sent > x.class.Aim {
		l.trace(x, "served late")
	}
	x.reply <- start // it has room for it, and one is all it gets
	return true
}

// toClient makes an answer of a backend one for its client.
func (a *response) prepareForClient() {
	a.fromBackend = true
	a.header = endToEndHeaders(a.header)
	a.header.Del(loadHeader) // for gateways, not for clients
}

// carryOver fits a request that was read under earlier settings to those in
// force. It keeps its class; its customer's quota is that of the plan of today.
// Danger: the numbers of classes and plans mean others by now.
func (l *Loop) carryOver(x *exchange) bool {
	x.request.Own = x.class
	x.request.Plan = slices.Index(l.service.PlanNames, x.plan)
	return x.request.Plan >= 0
}

// ban carries out an operator's word. Connections follow it before the module
// hears of it: a dial that waits must not become an attempt.
func (l *Loop) applyOverride(id string, offline bool) (known bool) {
	b := backendID(id)
	if i, listed := l.instances[b]; listed && i.ID != id {
		return false
	}
	if !l.gateway.Knows(b) {
		return l.overrideOutsideSubset(id, offline)
	}
	if offline {
		l.pools.renew(b)
	}
	l.handle(rules.ByHand{Backend: b, Offline: offline})
	if delete(l.offline, b); offline {
		l.offline[b] = true
	}
	l.updateBackendCounts()
	slog.Info("by hand", "backend", id, "offline", offline)
	return true
}

// list takes in what discovery told. Connections follow it before the module
// hears of it.
func (l *Loop) applyList(told Listing, kind rules.ListKind) {
	ev := rules.Backends{Kind: kind}
	kept := map[rules.BackendID]bool{}
	for _, i := range told.Instances {
		b, err := backendOf(i, &l.service.Deployment)
		if err != nil {
			log.Printf("discovery: %v", err)
			continue
		}
		if first, known := l.instances[b.ID]; known && first.ID != i.ID {
			log.Printf("discovery: instances %q and %q have one id; the second is left out", first.ID, i.ID)
			continue
		}
		kept[b.ID] = true
		ev.Entries = append(ev.Entries, b)
		if l.instances[b.ID] = i; b.State == rules.Gone {
			delete(l.instances, b.ID)
		}
		if b.State == rules.Ready {
			l.pools.update(b.ID, i.HostPort, b.Born)
		} else {
			l.pools.remove(b.ID)
		}
	}
	if kind != rules.Delta {
		for id := range l.instances {
			if !kept[id] {
				delete(l.instances, id)
				l.pools.remove(id)
			}
		}
	}
	l.handle(ev)
	if kind != rules.CachedList {
		l.onListApplied()
	}
}

func (l *Loop) execute(actions []rules.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case rules.Send:
			l.startAttempt(a)
		case rules.Cancel:
			l.cancelAttempt(a)
		case rules.Refuse:
			l.reject(a.Request, a.Reason, response{status: http.StatusTooManyRequests, retryAfter: a.RetryAfter})
		case rules.Fail:
			l.reject(a.Request, a.Reason, response{status: http.StatusBadGateway})
		case rules.SetTimer:
			l.timers.add(timerEntry{at: l.clock.now() + max(a.In, 0), token: a.Token, request: a.Request})
		case rules.Count:
			l.callCounter(a)
		case rules.Exported:
			l.exportedState = a.Snapshot
		case rules.Log:
			log.Print(a.Text)
		case rules.Subscribe:
			select {
			case l.resubscribe <- struct{}{}:
			default: // the watch runs as it is
			}
		}
	}
}

// send starts an attempt. What is over or was tried too often gets none.
func (l *Loop) startAttempt(s rules.Send) {
	x := l.live[s.Request]
	if x == nil {
		log.Printf("request %d is not known", s.Request)
		return
	}
	now := l.clock.now()
	a := &attempt{exchange: x, number: len(x.attempts), backend: s.Backend, sent: now, deadline: x.request.Deadline}
	if s.Timeout > 0 {
		a.deadline = min(a.deadline, now+s.Timeout)
	}
	if s.Before > 0 {
		a.writeBefore = l.clock.at(s.Before)
	}
	if x.request.Open {
		a.deadline = math.Inf(1) // until its body is whole
	} else {
		a.wallDeadline = l.clock.at(a.deadline)
	}
	a.onInterim = func(told response) { l.post(interimResponse{a, told}) }
	a.onStart = func(start response) bool {
		accepted := make(chan bool, 1)
		if !l.post(responseStarted{a, start, accepted}) {
			return false
		}
		select {
		case ok := <-accepted:
			return ok
		case <-l.stopped:
			return false
		}
	}
	x.attempts = append(x.attempts, a)
	x.inFlight++
	if !x.inProgress || a.number >= max(l.service.MaxAttempts, 1) || a.deadline <= now {
		l.endAttempt(a, result{outcome: rules.Moot})
		return
	}
	if a.number > 0 {
		l.metrics.retries.Add(1)
	}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	if !x.request.Open {
		l.timers.add(timerEntry{at: a.deadline, attempt: a})
	}
	l.attempts.Go(func() { // ends by a.until, or when the attempt is called off
		res := l.pools.runAttempt(a)
		a.cancel()
		if !l.post(attemptDone{a, res}) {
			res.answer.discard(&l.metrics.bodyBudget)
		}
	})
}

// endAttempt takes an attempt's one end; what comes after it is dropped.
func (l *Loop) endAttempt(a *attempt, res result) {
	if a.ended {
		res.answer.discard(&l.metrics.bodyBudget)
		return
	}
	a.ended, a.outcome, a.err, a.took = true, res.outcome, res.err, l.clock.now()-a.sent
	x := a.exchange
	x.inFlight--
	switch {
	case !x.inProgress:
		res.answer.discard(&l.metrics.bodyBudget)
	case x.responseStarted && res.outcome == rules.Served:
		l.finish(x)
		x.counts.passed.Add(1)
	case x.responseStarted:
		l.finish(x) // the client can tell: its connection ends before the answer does
		x.counts.badGateway.Add(1)
		l.trace(x, "not served")
	case res.outcome == rules.Served:
		res.answer.prepareForClient()
		l.respond(x.request.ID, res.answer)
	}
	l.handle(rules.AttemptEnd{Request: x.request.ID, Attempt: a.number, Backend: a.backend, Outcome: res.outcome,
		Took: a.took, Done: !x.inProgress, Spent: res.bodyConsumed, Units: res.units})
	l.forget(x)
}

func (l *Loop) cancelAttempt(c rules.Cancel) {
	x := l.live[c.Request]
	if x == nil || c.Attempt >= len(x.attempts) || x.attempts[c.Attempt].ended {
		return
	}
	a := x.attempts[c.Attempt]
	a.abort()
	outcome := rules.Cancelled
	if x.request.Open {
		outcome = rules.Moot // its backend does not have it whole
	} else if l.clock.now() >= a.deadline-timeoutTolerance {
		outcome = rules.TimedOut // the module learns from it
	}
	l.endAttempt(a, result{outcome: outcome})
}

// reject gives a request its final answer where no backend made one.
func (l *Loop) reject(id rules.RequestID, why rules.Reason, a response) {
	if x := l.live[id]; x != nil && x.inProgress {
		x.rejectReason = why.String()
		l.metrics.rejected[why].Add(1)
	}
	l.respond(id, a)
}

// answer gives a request its final answer, if it has none.
func (l *Loop) respond(id rules.RequestID, a response) {
	x := l.live[id]
	if x == nil || !x.inProgress {
		return
	}
	l.finish(x)
	switch {
	case a.fromBackend:
		x.counts.passed.Add(1)
		if l.clock.now()-x.request.Sent > x.class.Aim {
			l.trace(x, "served late")
		}
	case a.status == http.StatusTooManyRequests:
		x.counts.dropped.Add(1)
		l.trace(x, "not served")
	default:
		x.counts.badGateway.Add(1)
		l.trace(x, "not served")
	}
	x.reply <- a // it has room for it, and one is all it gets
	l.forget(x)
}

// drop forgets a request that has its answer and nothing out.
func (l *Loop) forget(x *exchange) {
	if !x.inProgress && x.inFlight == 0 {
		delete(l.live, x.request.ID)
	}
}

// count takes the module's own figures.
func (l *Loop) updateBackendCounts() {
	known, skipped := l.gateway.Listed()
	l.metrics.knownBackends.Store(int64(known))
	l.metrics.skippedBackends.Store(int64(skipped))
}

func (l *Loop) callCounter(c rules.Count) {
	k := &counterCall{name: c.Name, amount: c.Amount, sent: l.clock.now(),
		ttl: min(max(time.Duration(c.Keep*float64(time.Second)), minTTL), maxTTL)}
	k.report = func(k *counterCall, o rules.Outcome, total float64) { l.post(counterCallDone{k, o, total}) }
	if l.counter == nil || !l.counter.add(k) {
		l.endCounterCall(k, rules.Full, 0)
		return
	}
	l.timers.add(timerEntry{at: k.sent + counterTimeoutFactor*l.service.CounterTimeout, call: k})
}

func (l *Loop) endCounterCall(k *counterCall, o rules.Outcome, total float64) {
	if k.ended {
		return
	}
	k.ended = true
	l.contact.recordCall(o)
	l.handle(rules.CounterReply{Name: k.name, Outcome: o, Total: total, Took: l.clock.now() - k.sent})
}

// void tells whether nobody waits for a timer any more. Such timers are most of
// all, and the process is not woken for them.
func (l *Loop) obsolete(t timerEntry) bool {
	switch {
	case t.attempt != nil:
		return t.attempt.ended || t.attempt.download != nil // an answer that has begun is not cut off
	case t.call != nil:
		return t.call.ended
	case t.request != 0:
		return l.live[t.request] == nil
	}
	return false
}

func (l *Loop) fire(t timerEntry) {
	switch {
	case t.attempt != nil:
		t.attempt.abort()
		l.endAttempt(t.attempt, result{outcome: rules.TimedOut})
	case t.call != nil:
		t.call.abandoned.Store(true)
		l.endCounterCall(t.call, rules.TimedOut, 0)
	default:
		l.handle(rules.Timer{Token: t.token})
		if t.request == 0 { // housekeeping, as often as what the module avoids may change
			l.updateBackendCounts()
			if l.subset != nil {
				l.reviewSubset()
			}
		}
	}
}

// timerEntry is a timer of the module's, or the time-out of an attempt or call.
type timerEntry struct {
	at      float64
	token   uint64
	request rules.RequestID // 0: the timer belongs to none
	attempt *attempt
	call    *counterCall
}

// timerHeap has the earliest timer first.
type timerHeap []timerEntry

func (h *timerHeap) add(t timerEntry)  { heap.Push(h, t) }
func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(t any)        { *h = append(*h, t.(timerEntry)) }
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = timerEntry{}
	*h = old[:len(old)-1]
	return t
}
