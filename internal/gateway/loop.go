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
	inboxSize    = 1024
	answerMargin = 0.005 // seconds kept of a deadline for the way to the client, the loop and the write
	sameMoment   = 0.001 // a cancel so close before an attempt's time-out is one

	// So many of the stated time-outs the counter's answer is waited for.
	//
	// Danger: it comes, however late, once the call has had its turn. What a call
	// that was given up has added is missing to all gateways for the window.
	counterPatience = 4
)

// What sockets tell the loop.
type (
	arrival    struct{ x *exchange }
	clientGone struct{ x *exchange }
	uploaded   struct { // the rest of a body has come
		x     *exchange
		until time.Time
	}
	answerBegun struct { // an answer is let go
		a        *attempt
		answer   response
		accepted chan<- bool // has room for one
	}
	interim struct { // an answer before the answer
		a      *attempt
		answer response
	}
	attemptDone struct {
		a      *attempt
		result result
	}
	callDone struct {
		k       *call
		outcome rules.Outcome
		total   float64
	}
	byHand struct {
		id      string
		offline bool
		known   chan<- bool // has room for one
	}
	told    struct{ event rules.Event } // news of this process or the one beside it
	join    struct{ snapshot chan<- snapshot }
	retuned struct {
		service *service
		subset  subset.Settings
	}
	asked struct {
		query backendsQuery
		view  chan<- BackendsView // has room for one
	}
	news struct {
		listing Listing
		kind    rules.ListKind
		history string // of its version, where it has a name
	}
)

// Loop is the one owner of the decision module. All that happens comes to it
// in order; it runs the module's actions and waits for no socket.
type Loop struct {
	clock    clock
	service  *service
	figures  *figures
	gateway  *rules.Gateway
	pools    *pools
	counter  *counter
	contact  *contact // with the counter; nil where nobody watches it
	onListed func()
	askAgain chan struct{} // the module wants discovery asked again

	inbox    chan any
	stopped  chan struct{}  // closed when run ends
	attempts sync.WaitGroup // those that use sockets

	live      map[rules.RequestID]*exchange // until the last attempt has ended
	nextID    rules.RequestID
	instances map[rules.BackendID]Instance // on the list
	name      string                       // of the gateway
	history   string                       // of the list that was applied last
	version   int64
	subset    *backendSubset           // of the list that it is told; nil: all of it is used
	offline   map[rules.BackendID]bool // by hand, as this process has heard
	outside   map[string]bool          // of the subset, and out by hand
	exported  rules.Snapshot
	timers    timerHeap
	actions   []rules.Action
	pending   []rules.Event // events that actions brought about

	traced   int     // lines about single requests
	tracedAt float64 // in the second from here on
	lag      float64 // most that a timer came late since lagAt
	lagAt    float64
}

func newLoop(c *Config, s *service, f *figures, p *pools, k *counter, onListed func()) *Loop {
	l := &Loop{clock: newClock(), service: s, figures: f, pools: p, counter: k, onListed: onListed,
		askAgain: make(chan struct{}, 1), inbox: make(chan any, inboxSize), stopped: make(chan struct{}),
		live: map[rules.RequestID]*exchange{}, instances: map[rules.BackendID]Instance{}, name: c.Name, offline: map[rules.BackendID]bool{}}
	if c.Members.Membership {
		l.contact = &contact{}
	}
	if l.subset = newBackendSubset(c.Name, c.Scopes.subset, f.subset); l.subset != nil {
		l.outside = map[string]bool{}
	}
	l.gateway, l.actions = rules.New(c.Settings, c.Seed, l.clock.now(), nil)
	l.act(l.actions)
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
func (l *Loop) byHand(id string, offline bool) (known bool) {
	done := make(chan bool, 1)
	if !l.post(byHand{id, offline, done}) {
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
func (l *Loop) turnedAway(ctx context.Context) {
	select {
	case <-l.askAgain: // of before
	default:
	}
	l.post(news{kind: rules.ListFailed})
	select {
	case <-l.askAgain:
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
			l.take(m)
		case <-timer.C:
		}
		now := l.clock.now()
		for len(l.timers) > 0 && (l.timers[0].at <= now || l.void(l.timers[0])) {
			if t := heap.Pop(&l.timers).(timerEntry); !l.void(t) {
				l.lagged(now - t.at)
				l.due(t)
			}
		}
		if len(l.timers) > 0 {
			timer.Reset(time.Until(l.clock.at(l.timers[0].at)))
		}
	}
}

func (l *Loop) take(m any) {
	switch m := m.(type) {
	case arrival:
		l.arrive(m.x)
	case clientGone:
		if m.x.inProgress {
			l.trace(m.x, "client left")
			l.forsake(m.x)
		}
		m.x.discardReplies(&l.figures.bodies) // its handler has gone
	case uploaded:
		l.whole(m.x, m.until)
	case answerBegun:
		m.accepted <- l.begin(m.a, m.answer)
	case interim:
		if x := m.a.x; x.inProgress && !x.responseStarted && !m.a.ended && len(x.reply) == 0 {
			x.reply <- m.answer // the place behind it is that of the final one
		}
	case attemptDone:
		if x := m.a.x; m.result.cut != nil && x.inProgress && !x.responseStarted {
			x.reply <- response{status: uploadStatus(m.result.cut)}
			l.forsake(x)
		}
		l.endAttempt(m.a, m.result)
	case callDone:
		l.endCall(m.k, m.outcome, m.total)
	case told:
		l.handle(m.event)
	case join:
		m.snapshot <- l.exportState()
	case byHand:
		m.known <- l.ban(m.id, m.offline)
	case retuned:
		l.service = m.service
		l.handle(rules.Retune{Settings: l.settings()})
		l.resizeSubset(m.subset)
	case news:
		if m.kind == rules.ListFailed {
			l.handle(rules.Backends{Kind: m.kind})
			break
		}
		l.receive(m)
		l.history, l.version = m.history, m.listing.Generation
	case asked:
		m.view <- l.backends(m.query)
	}
}

// handle gives the module an event, and then what its actions brought about.
func (l *Loop) handle(ev rules.Event) {
	l.pending = append(l.pending, ev)
	if len(l.pending) > 1 {
		return // an outer call is at it
	}
	for n := 0; n < len(l.pending); n++ {
		l.actions = l.gateway.Handle(l.clock.now(), l.pending[n], l.actions[:0])
		l.act(l.actions)
	}
	clear(l.pending)
	l.pending = l.pending[:0]
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
		l.enter(x)
	}
	l.handle(x.request)
}

// enter counts a request whose last byte has come.
func (l *Loop) enter(x *exchange) {
	x.accepted = true
	l.figures.inProgress.Add(1)
}

// shut ends what an exchange is owed.
//
// Danger: where the settings allow no cancel, the module leaves its attempts out.
// One whose connection is not up yet would begin for nobody.
func (l *Loop) shut(x *exchange) {
	if x.inProgress = false; x.accepted {
		l.figures.inProgress.Add(-1)
	}
	for _, a := range x.attempts {
		if !a.ended {
			a.callOffDial()
		}
	}
}

// forsake ends a request whose client has left, or has sent none that is whole.
func (l *Loop) forsake(x *exchange) {
	l.shut(x)
	l.handle(rules.ClientGone{Request: x.request.ID})
	for _, a := range x.attempts {
		if a.rest != nil {
			a.rest.discard() // in case nobody took it
		}
	}
	l.drop(x)
}

// whole starts the time of a request whose body has come.
func (l *Loop) whole(x *exchange, until time.Time) {
	if !x.inProgress {
		return
	}
	x.request.Open, x.request.Sent = false, l.clock.now()
	x.request.Deadline = x.request.Sent + time.Until(until).Seconds()
	l.enter(x)
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
func (l *Loop) begin(a *attempt, start response) bool {
	x := a.x
	if a.ended || !x.inProgress || x.responseStarted {
		return false
	}
	x.responseStarted, a.rest = true, start.download
	units := trueUnits(start.header)
	start.toClient()
	l.handle(rules.Established{Request: x.request.ID, Attempt: a.number, Backend: a.backend, Took: l.clock.now() - a.sent,
		Units: units})
	if l.clock.now()-x.request.Sent > x.class.Aim {
		l.trace(x, "served late")
	}
	x.reply <- start // it has room for it, and one is all it gets
	return true
}

// toClient makes an answer of a backend one for its client.
func (a *response) toClient() {
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
func (l *Loop) ban(id string, offline bool) (known bool) {
	b := backendID(id)
	if i, listed := l.instances[b]; listed && i.ID != id {
		return false
	}
	if !l.gateway.Knows(b) {
		return l.banOutside(id, offline)
	}
	if offline {
		l.pools.renew(b)
	}
	l.handle(rules.ByHand{Backend: b, Offline: offline})
	if delete(l.offline, b); offline {
		l.offline[b] = true
	}
	l.count()
	slog.Info("by hand", "backend", id, "offline", offline)
	return true
}

// list takes in what discovery told. Connections follow it before the module
// hears of it.
func (l *Loop) list(told Listing, kind rules.ListKind) {
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
		l.onListed()
	}
}

func (l *Loop) act(actions []rules.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case rules.Send:
			l.send(a)
		case rules.Cancel:
			l.cancel(a)
		case rules.Refuse:
			l.reject(a.Request, a.Reason, response{status: http.StatusTooManyRequests, retryAfter: a.RetryAfter})
		case rules.Fail:
			l.reject(a.Request, a.Reason, response{status: http.StatusBadGateway})
		case rules.SetTimer:
			l.timers.add(timerEntry{at: l.clock.now() + max(a.In, 0), token: a.Token, request: a.Request})
		case rules.Count:
			l.call(a)
		case rules.Exported:
			l.exported = a.Snapshot
		case rules.Log:
			log.Print(a.Text)
		case rules.Subscribe:
			select {
			case l.askAgain <- struct{}{}:
			default: // the watch runs as it is
			}
		}
	}
}

// send starts an attempt. What is over or was tried too often gets none.
func (l *Loop) send(s rules.Send) {
	x := l.live[s.Request]
	if x == nil {
		log.Printf("request %d is not known", s.Request)
		return
	}
	now := l.clock.now()
	a := &attempt{x: x, number: len(x.attempts), backend: s.Backend, sent: now, deadline: x.request.Deadline}
	if s.Timeout > 0 {
		a.deadline = min(a.deadline, now+s.Timeout)
	}
	if s.Before > 0 {
		a.before = l.clock.at(s.Before)
	}
	if x.request.Open {
		a.deadline = math.Inf(1) // until its body is whole
	} else {
		a.until = l.clock.at(a.deadline)
	}
	a.interim = func(told response) { l.post(interim{a, told}) }
	a.begun = func(start response) bool {
		accepted := make(chan bool, 1)
		if !l.post(answerBegun{a, start, accepted}) {
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
		l.figures.retries.Add(1)
	}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	if !x.request.Open {
		l.timers.add(timerEntry{at: a.deadline, attempt: a})
	}
	l.attempts.Go(func() { // ends by a.until, or when the attempt is called off
		res := l.pools.attempt(a)
		a.cancel()
		if !l.post(attemptDone{a, res}) {
			res.answer.discard(&l.figures.bodies)
		}
	})
}

// endAttempt takes an attempt's one end; what comes after it is dropped.
func (l *Loop) endAttempt(a *attempt, res result) {
	if a.ended {
		res.answer.discard(&l.figures.bodies)
		return
	}
	a.ended, a.outcome, a.err, a.took = true, res.outcome, res.err, l.clock.now()-a.sent
	x := a.x
	x.inFlight--
	switch {
	case !x.inProgress:
		res.answer.discard(&l.figures.bodies)
	case x.responseStarted && res.outcome == rules.Served:
		l.shut(x)
		x.counts.passed.Add(1)
	case x.responseStarted:
		l.shut(x) // the client can tell: its connection ends before the answer does
		x.counts.badGateway.Add(1)
		l.trace(x, "not served")
	case res.outcome == rules.Served:
		res.answer.toClient()
		l.answer(x.request.ID, res.answer)
	}
	l.handle(rules.AttemptEnd{Request: x.request.ID, Attempt: a.number, Backend: a.backend, Outcome: res.outcome,
		Took: a.took, Done: !x.inProgress, Spent: res.spent, Units: res.units})
	l.drop(x)
}

func (l *Loop) cancel(c rules.Cancel) {
	x := l.live[c.Request]
	if x == nil || c.Attempt >= len(x.attempts) || x.attempts[c.Attempt].ended {
		return
	}
	a := x.attempts[c.Attempt]
	a.callOff()
	outcome := rules.Cancelled
	if x.request.Open {
		outcome = rules.Moot // its backend does not have it whole
	} else if l.clock.now() >= a.deadline-sameMoment {
		outcome = rules.TimedOut // the module learns from it
	}
	l.endAttempt(a, result{outcome: outcome})
}

// reject gives a request its final answer where no backend made one.
func (l *Loop) reject(id rules.RequestID, why rules.Reason, a response) {
	if x := l.live[id]; x != nil && x.inProgress {
		x.rejectReason = why.String()
		l.figures.rejected[why].Add(1)
	}
	l.answer(id, a)
}

// answer gives a request its final answer, if it has none.
func (l *Loop) answer(id rules.RequestID, a response) {
	x := l.live[id]
	if x == nil || !x.inProgress {
		return
	}
	l.shut(x)
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
	l.drop(x)
}

// drop forgets a request that has its answer and nothing out.
func (l *Loop) drop(x *exchange) {
	if !x.inProgress && x.inFlight == 0 {
		delete(l.live, x.request.ID)
	}
}

// count takes the module's own figures.
func (l *Loop) count() {
	known, skipped := l.gateway.Listed()
	l.figures.known.Store(int64(known))
	l.figures.skipped.Store(int64(skipped))
}

func (l *Loop) call(c rules.Count) {
	k := &call{name: c.Name, amount: c.Amount, sent: l.clock.now(),
		keep: min(max(time.Duration(c.Keep*float64(time.Second)), leastKeep), mostKeep)}
	k.report = func(k *call, o rules.Outcome, total float64) { l.post(callDone{k, o, total}) }
	if l.counter == nil || !l.counter.add(k) {
		l.endCall(k, rules.Full, 0)
		return
	}
	l.timers.add(timerEntry{at: k.sent + counterPatience*l.service.CounterTimeout, call: k})
}

func (l *Loop) endCall(k *call, o rules.Outcome, total float64) {
	if k.ended {
		return
	}
	k.ended = true
	l.contact.note(o)
	l.handle(rules.CounterReply{Name: k.name, Outcome: o, Total: total, Took: l.clock.now() - k.sent})
}

// void tells whether nobody waits for a timer any more. Such timers are most of
// all, and the process is not woken for them.
func (l *Loop) void(t timerEntry) bool {
	switch {
	case t.attempt != nil:
		return t.attempt.ended || t.attempt.rest != nil // an answer that has begun is not cut off
	case t.call != nil:
		return t.call.ended
	case t.request != 0:
		return l.live[t.request] == nil
	}
	return false
}

func (l *Loop) due(t timerEntry) {
	switch {
	case t.attempt != nil:
		t.attempt.callOff()
		l.endAttempt(t.attempt, result{outcome: rules.TimedOut})
	case t.call != nil:
		t.call.givenUp.Store(true)
		l.endCall(t.call, rules.TimedOut, 0)
	default:
		l.handle(rules.Timer{Token: t.token})
		if t.request == 0 { // housekeeping, as often as what the module avoids may change
			l.count()
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
	call    *call
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
