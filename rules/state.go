package rules

// The state that a gateway keeps between events, and the functions that maintain it without any decision.

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

// Gateway decides for one gateway process. It is driven by Handle and is not safe for concurrent use.
type Gateway struct {
	settings Settings
	now      float64 // time of the current event
	rng      *rand.Rand
	actions  []Action // of the current event

	requests        map[RequestID]*pendingRequest
	queues          [][]*pendingRequest // by level, each in order of arrival
	worths          []float64           // by level, ascending
	backendByID     map[BackendID]*backendStatus
	backendList     []*backendStatus // the same, sorted by ID
	identities      identityTable
	customers       map[CustomerID]*customerQuota
	customerList    []*customerQuota         // the same, in order of the first request
	pendingCalls    map[uint64][]counterCall // by counter name, in order
	lastCall        uint64                   // number of the last call of the counter
	startedAt       float64
	presentGateways []bool  // by rank; empty if membership is unknown
	presentCount    int     // 0 if membership is unknown
	processFraction float64 // fraction of the gateway's local allowances that this process may use
	shutdownAt      float64 // time at which this process ends

	concurrencyLimit, limitCutAt       float64 // limit of attempts in flight, and time of its last reduction
	inFlight                           int     // attempts that count against the limit
	outstanding                        int     // attempts that have not ended
	meanInFlight                       float64
	pressure                           float64 // mean of latency divided by aim
	pressureAt                         float64 // time of the last update of pressure
	latency, spread                    float64 // mean latency and its mean deviation
	retryBudget                        float64 // retries that may be made now
	counterFailureRate, counterReplyAt float64 // failure rate of counter calls, and time of the last reply
	warmSendRate                       float64 // attempts per second of this process to each warm backend
	warmSends                          int     // attempts sent to warm backends since lastHousekeeping
	lastHousekeeping                   float64
	discoveryBackoff                   float64          // delay after a discovery failure
	listReceived                       bool             // an update other than the cached list has been received
	allowancesEmptyAt                  float64          // latest allowanceEmptyAt of the customers that were dropped; 0: all were full
	listUpdates                        uint64           // from discovery
	discoveryFailedAt                  float64          // time of the first failure since the last update; 0: none
	minStartLag                        float64          // shortest delay between the start of a backend and its report
	clientTimeouts                     []clientTimeout  // by class and plan
	arrivalRates, arrivalCounts        []float64        // by level: per second, and since lastHousekeeping
	rejectionCounts                    [ReasonCount]int // since rejectionsLoggedAt
	rejectionsLoggedAt                 float64
}

// abandonedCount returns the number of abandoned attempts that still count as in flight.
func (g *Gateway) abandonedCount() (count int) {
	for _, backend := range g.backendList {
		count += len(backend.abandoned)
	}
	return count
}

// pendingRequest is a request from its arrival until its last attempt has ended. It has no index into the
// settings, since new settings may give an index another meaning.
type pendingRequest struct {
	id                            RequestID
	identity                      uint64 // 0: not recorded
	units                         float64
	sent                          float64 // time at which the client sent it or, if later, its body was complete
	deadline                      float64 // time at which the client stops waiting
	bodyPending                   bool
	class                         *Class         // when the request was received
	clientTimeout                 *clientTimeout // of that class and plan; nil for a class that is no longer configured
	maxAttempts                   int            // when the request was received
	customer                      *customerQuota
	level                         int
	answerBy                      float64 // a later answer earns nothing
	admitted, finished, streaming bool    // units are taken; final answer is given; answer has begun
	bodyConsumed                  bool    // the request cannot be resent
	attempts                      []attempt
	outstanding                   int            // attempts that have not ended
	mayHaveRun                    bool           // an attempt is outstanding or may have had an effect
	mayHaveRunSince               float64        // time at which the first such attempt was sent
	mayHaveRunOn                  *backendStatus // backend of that attempt
}

// newPendingRequest resolves the indexes of a request, which are those of the active settings.
func (g *Gateway) newPendingRequest(received Request) *pendingRequest {
	request := &pendingRequest{
		id:          received.ID,
		identity:    received.Identity,
		units:       received.Units,
		sent:        received.Sent,
		deadline:    received.Deadline,
		bodyPending: received.BodyPending,
		class:       received.ClassOverride,
		maxAttempts: max(g.settings.MaxAttempts, 1),
	}
	if request.sent == 0 {
		request.sent = g.now
	}
	if request.class == nil {
		request.class = &g.settings.Classes[received.Class]
		request.clientTimeout = &g.clientTimeouts[received.Class*len(g.settings.Plans)+received.Plan]
	}
	request.level = g.levelOf(request.class.Worth * g.settings.Plans[received.Plan].Price)
	return request
}

// clientTimeout holds the client timeouts seen with one class and plan: the last one, and the usual one (0
// if unknown).
type clientTimeout struct{ last, known float64 }

// attempt is one attempt of a pending request.
type attempt struct {
	target     *backendStatus
	sent       float64 // time at which the request was sent completely
	answeredAt float64 // time at which a streamed answer began; 0 if it has not
	counted    bool    // counts as in flight
	overdue    bool    // counts for its backend only, not against the concurrency limit
	ended      bool
}

// abandonedAttempt is an attempt that the gateway has given up and that its backend may still process.
type abandonedAttempt struct {
	sent, until float64 // time at which it was sent, and until which it counts as in flight
	level       int
	overdue     bool // as in attempt
}

// backendStatus is the state of one backend as seen by this gateway.
type backendStatus struct {
	Backend
	offline                  bool  // by operator override
	inFlightByLevel          []int // attempts of this process
	inFlight                 int   // sum of inFlightByLevel
	abandoned                []abandonedAttempt
	unansweredCount          int     // attempts abandoned since the last answer
	failureRate              float64 // moving average
	latency                  float64 // moving average; 0 if there has been no answer
	lastServed               float64 // time of the last successful answer
	cost                     float64 // as of the last pickBackend
	trialAt, trialInterval   float64 // time of the next trial while ejected, and the delay of the one after
	coldBudget, coldBudgetAt float64 // attempts that it may get while cold, and time of that value
	coldSince                float64 // time of its last start, on this gateway's clock; 0 if long ago
	listUpdate               uint64  // number of the last update from discovery that had an entry of it
	reportedStart            float64 // StartedAt as discovery reported it last, on the wall clock
	previousStart            float64 // as reported before that
}

// activeRequest returns a request that has no final answer yet, or nil.
func (g *Gateway) activeRequest(id RequestID) *pendingRequest {
	if request := g.requests[id]; request != nil && !request.finished {
		return request
	}
	return nil
}

// emit adds an action to those of the current event.
func (g *Gateway) emit(action Action) { g.actions = append(g.actions, action) }

// setTimer sets a timer whose token holds its kind, the number of the attempt and the request.
func (g *Gateway) setTimer(delay float64, kind uint64, attempt int, id RequestID) {
	g.emit(SetTimer{Delay: max(delay, 0), Token: kind<<56 | uint64(attempt)<<32 | uint64(id), Request: id})
}

// uncountInFlight stops counting an attempt as in flight, if it is counted.
func (g *Gateway) uncountInFlight(attempt *attempt, level int) {
	if attempt.counted {
		attempt.counted = false
		g.decrementInFlight(attempt.target, level, attempt.overdue)
	}
}

// decrementInFlight removes one attempt from the numbers in flight.
func (g *Gateway) decrementInFlight(backend *backendStatus, level int, overdue bool) {
	backend.inFlight--
	backend.inFlightByLevel[level]--
	if !overdue {
		g.inFlight--
	}
}

// customerQuota is the quota state of one customer at this gateway.
type customerQuota struct {
	id                        CustomerID
	plan                      *Plan // the terms derive from plan, gateways and index
	gateways                  int   // number of gateways that serve the customer
	index                     int   // position of this gateway among them
	terms                     quotaTerms
	lastSeen, demand          float64           // time of the last request, and units per second at this gateway
	active                    int               // admitted requests in progress, and their additional attempts
	queued                    []*pendingRequest // waiting for units or slots, highest level first
	leasedUnits, leaseExpires float64           // units leased and not spent, and time of their expiry
	leaseWindow               float64           // window of the last lease
	idleUnits                 float64           // units of expired leases of this window, not yet returned
	window                    float64           // number of the counter's window
	counterName               uint64            // of the window
	knownTotal                float64           // last known total of the window; 0 if unknown
	totalReceived             bool              // the counter has answered for this customer
	exhaustedUntil            float64           // the quota is used up until then
	unreportedUnits           float64           // spent in this window and not reported to the counter
	uncountedByCeiling        float64           // deducted from leases beyond what the ceiling counts; see settleUnderCeiling
	callsInFlight             int
	unitCalls                 int     // calls in flight that request units
	slotCalls                 int     // calls in flight that request slots
	backoff, backoffUntil     float64 // delay after a failed call, and time of its end
	localUnits, localUnitsAt  float64 // local allowance for when the counter does not answer, and time of that value

	slots           int // leased slots: attempts that may be in flight
	slotCounterName uint64
	slotCallAfter   float64 // no call for slots before then
}

// windowPhase returns an offset, as a fraction of a window, that differs between customers.
func (q *customerQuota) windowPhase() float64 { return float64(hash(uint64(q.id))%1024) / 1024 }

// hash mixes the bits of a value, to derive counter names that do not collide in practice.
func hash(value uint64) uint64 {
	value += 0x9e3779b97f4a7c15
	value = (value ^ value>>30) * 0xbf58476d1ce4e5b9
	value = (value ^ value>>27) * 0x94d049bb133111eb
	return value ^ value>>31
}

// quotaTerms are the terms of a plan for one customer at one gateway.
type quotaTerms struct {
	tokenBucket             bool    // the counter holds a token bucket, not independent windows
	fewGateways             bool    // each gateway sees the totals often
	refillLag               float64 // unused refill up to which no call is made to write it off, units
	rate, allowance, window float64 // units per second, units per window or bucket, length of the window
	initialUnits            float64 // allowance of a window about which nothing is known
	localRate, localBurst   float64 // refill per second and capacity of the local allowance, units
	mayOverdraw             bool    // a full local allowance covers a request that is larger than it
	maxLease                float64 // units
	leaseLifetime           float64
	maxConcurrent           int // slots of the customer, over all gateways
	localConcurrent         int // slots of this gateway while the counter does not answer
}

// initTables allocates the tables, whose sizes depend on the levels and the settings.
func (g *Gateway) initTables(seed uint64) {
	g.rng = rand.New(rand.NewPCG(seed, seed>>1))
	g.requests = map[RequestID]*pendingRequest{}
	g.backendByID = map[BackendID]*backendStatus{}
	g.customers = map[CustomerID]*customerQuota{}
	g.pendingCalls = map[uint64][]counterCall{}
	g.queues = make([][]*pendingRequest, len(g.worths))
	g.arrivalRates = make([]float64, len(g.worths))
	g.arrivalCounts = make([]float64, len(g.worths))
	g.clientTimeouts = make([]clientTimeout, len(g.settings.Classes)*len(g.settings.Plans))
}

// computeLevels derives the levels from the settings: one for each distinct worth of a class and plan, and
// level 0 for over-quota requests.
func (g *Gateway) computeLevels() {
	g.worths = []float64{0} // level 0: over quota
	for _, class := range g.settings.Classes {
		for _, plan := range g.settings.Plans {
			g.worths = append(g.worths, class.Worth*plan.Price)
		}
	}
	slices.Sort(g.worths)
	g.worths = slices.Compact(g.worths)
}

// levelOf returns the level of a worth. A worth that no longer occurs in the settings gets the next higher
// level.
func (g *Gateway) levelOf(worth float64) int {
	level, _ := slices.BinarySearch(g.worths, worth)
	return min(level, len(g.worths)-1)
}

// planIndex returns the index of the plan with this name, or -1 if there is none.
func (s *Settings) planIndex(name string) int {
	return slices.IndexFunc(s.Plans, func(plan Plan) bool { return plan.Name == name })
}

// applySettings replaces the settings. Leases, backend statistics and the concurrency limit remain. Pending
// requests keep their class, and customers whose plan is no longer configured keep the terms of that plan.
func (g *Gateway) applySettings(settings Settings) {
	worths := g.worths
	g.settings = settings
	g.computeLevels()
	g.remapLevels(worths)
	for _, quota := range g.customerList {
		if index := g.settings.planIndex(quota.plan.Name); index >= 0 {
			quota.plan = &g.settings.Plans[index]
		}
	}
}

// remapLevels converts all state by level from the levels of the previous worths to the current ones.
func (g *Gateway) remapLevels(worths []float64) {
	newLevel := make([]int, len(worths))
	for oldLevel, worth := range worths {
		newLevel[oldLevel] = g.levelOf(worth)
	}
	queues, arrivals, arrived := g.queues, g.arrivalRates, g.arrivalCounts
	g.queues = make([][]*pendingRequest, len(g.worths))
	g.arrivalRates, g.arrivalCounts = make([]float64, len(g.worths)), make([]float64, len(g.worths))
	for oldLevel, target := range newLevel {
		g.queues[target] = append(g.queues[target], queues[oldLevel]...)
		g.arrivalRates[target] += arrivals[oldLevel]
		g.arrivalCounts[target] += arrived[oldLevel]
	}
	for _, request := range g.requests {
		request.level = newLevel[request.level]
	}
	for _, backend := range g.backendList {
		levels := backend.inFlightByLevel
		backend.inFlightByLevel = make([]int, len(g.worths))
		for oldLevel, count := range levels {
			backend.inFlightByLevel[newLevel[oldLevel]] += count
		}
		for i := range backend.abandoned {
			backend.abandoned[i].level = newLevel[backend.abandoned[i].level]
		}
	}
	g.clientTimeouts = make([]clientTimeout, len(g.settings.Classes)*len(g.settings.Plans))
}

// countInFlight counts an attempt as in flight.
func (g *Gateway) countInFlight(attempt *attempt, level int) {
	attempt.counted = true
	backend := attempt.target
	backend.inFlight++
	backend.inFlightByLevel[level]++
	g.inFlight++
}

// ensureBackend returns the status of a backend and adds it to the list if necessary.
func (g *Gateway) ensureBackend(entry Backend) *backendStatus {
	backend := g.backendByID[entry.ID]
	if backend == nil {
		backend = &backendStatus{Backend: entry, inFlightByLevel: make([]int, len(g.worths)), coldBudgetAt: g.now}
		g.backendByID[entry.ID] = backend
		index, _ := slices.BinarySearchFunc(g.backendList, entry.ID,
			func(backend *backendStatus, id BackendID) int { return cmp.Compare(backend.ID, id) })
		g.backendList = slices.Insert(g.backendList, index, backend)
	}
	return backend
}

// gatewaysPerBackend returns the number of gateways that use the same backend, at least 1.
func (s *Settings) gatewaysPerBackend() int { return max(cmp.Or(s.GatewaysPerBackend, s.Fleet), 1) }

// Knows reports whether a backend is on the list, or was when an operator took it out of use.
func (g *Gateway) Knows(id BackendID) bool {
	backend := g.backendByID[id]
	return backend != nil && (backend.State != Gone || backend.offline)
}

// BackendCounts returns the number of backends on the list, and how many of them get no regular requests
// now.
func (g *Gateway) BackendCounts() (known, unavailable int) {
	for _, backend := range g.backendList {
		if backend.State == Gone {
			continue
		}
		known++
		if !backend.usable() || backend.ejected() {
			unavailable++
		}
	}
	return known, unavailable
}

// removeGoneBackends removes backends that are gone and have nothing in flight. An operator override is
// kept while its backend is gone.
func (g *Gateway) removeGoneBackends() {
	g.backendList = slices.DeleteFunc(g.backendList, func(backend *backendStatus) bool {
		unused := backend.State == Gone && backend.inFlight == 0 && !backend.offline
		if unused {
			delete(g.backendByID, backend.ID)
		}
		return unused
	})
}
