package world

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"dunlintray/internal/referee"
	"dunlintray/internal/results"
)

// emulatedClients are all clients. Their arrivals come from a random stream of their own, so that
// the gateways' behavior does not change them.
type emulatedClients struct {
	arrivalRandom     *rand.Rand
	shiftRandom       *rand.Rand
	customers         [][]emulatedCustomer // by plan
	cumulativeWeights [][]float64          // by plan: running sums of the customers' weights
	offeredQuotas     map[uint64]*quota
	acceptedQuotas    map[uint64]*quota
	inProgress        map[uint64]*clientRequest
	pendingRetries    int // client retries that are scheduled
	ended             bool
	endAt             time.Duration
	requestCount      uint64
}

// emulatedCustomer is a customer of a plan.
type emulatedCustomer struct {
	id               uint64
	firstGateway     int       // of its set of gateways
	cumulativeShares []float64 // running sums of the weights of the set's gateways
}

// quota is a token bucket of units.
type quota struct {
	units     float64
	updatedAt time.Duration
}

// take refills the bucket at rate, in units per second and up to burst, and takes units if it holds them.
func (q *quota) take(now time.Duration, units, rate, burst float64) bool {
	q.units = min(burst, q.units+rate*(now-q.updatedAt).Seconds())
	q.updatedAt = now
	if q.units < units {
		return false
	}
	q.units -= units
	return true
}

// clientOperation is what a client wants done, over all its requests.
type clientOperation struct {
	startedAt   time.Duration
	class       int
	plan        int
	customer    int
	workSeconds float64 // seconds of one core
	key         string  // empty unless the effect of its class is by key
	bodyBytes   int64
	requests    int // sent so far
	worth       float64
	ended       bool
}

// clientRequest is one request of an operation.
type clientRequest struct {
	*clientOperation
	id             uint64
	gateway        int
	firstGateway   int
	customerID     uint64
	remaining      time.Duration
	deadline       time.Duration
	reachedBackend bool // an attempt has arrived at a backend
	withinQuota    bool // the customer's quota held its units when the first attempt arrived
	resent         bool // it has been sent again since its connection was closed while idle
	answered       bool
}

func (em *Emulator) newClients() {
	clients := &em.clients
	clients.arrivalRandom = rand.New(rand.NewPCG(em.scenario.Seed, streamArrivals))
	clients.shiftRandom = rand.New(rand.NewPCG(em.scenario.Seed, streamShifts))
	clients.offeredQuotas, clients.acceptedQuotas, clients.inProgress = map[uint64]*quota{}, map[uint64]*quota{}, map[uint64]*clientRequest{}
	clients.customers = make([][]emulatedCustomer, len(em.scenario.Plans))
	clients.cumulativeWeights = make([][]float64, len(em.scenario.Plans))
	for p, plan := range em.scenario.Plans {
		for n := range plan.Customers {
			id := hash(em.scenario.Seed, uint64(p), uint64(n)) & (1<<33 - 1)
			clients.customers[p] = append(clients.customers[p], emulatedCustomer{id: id, firstGateway: clients.shiftRandom.IntN(em.scenario.Fleet.Gateways)})
		}
	}
	em.redrawCustomers()
}

// redrawCustomers draws each customer's fraction of the requests, and through which gateways of its
// set they go.
func (em *Emulator) redrawCustomers() {
	clients := &em.clients
	for p := range clients.customers {
		clients.cumulativeWeights[p] = clients.cumulativeWeights[p][:0]
		sum := 0.0
		for i := range clients.customers[p] {
			sum += math.Exp(em.scenario.Load.Skew * clients.shiftRandom.NormFloat64())
			clients.cumulativeWeights[p] = append(clients.cumulativeWeights[p], sum)
			customer := &clients.customers[p][i]
			customer.cumulativeShares = customer.cumulativeShares[:0]
			cumulative := 0.0
			for range em.scenario.Plans[p].Spread {
				cumulative += 0.2 + clients.shiftRandom.Float64()
				customer.cumulativeShares = append(customer.cumulativeShares, cumulative)
			}
		}
	}
}

func (clients *emulatedClients) begin(em *Emulator) {
	clients.endAt = em.now + em.scenario.Duration.Std()
	if interval := em.scenario.Load.ShiftEvery.Std(); interval > 0 {
		var redraw func()
		redraw = func() {
			em.redrawCustomers()
			if em.now+interval < clients.endAt {
				em.after(interval, redraw)
			}
		}
		em.after(interval, redraw)
	}
	em.schedule(clients.endAt, func() { clients.ended = true })
	clients.scheduleArrival(em, em.now, em.now)
}

// scheduleArrival schedules the next arrival: a Poisson process at the maximum rate, thinned to the
// rate of the moment.
func (clients *emulatedClients) scheduleArrival(em *Emulator, startTime, previous time.Duration) {
	next := previous
	for {
		maxRate := em.scenario.Load.RequestsPerS * em.maxLoadFactor()
		if maxRate <= 0 {
			return
		}
		next += time.Duration(clients.arrivalRandom.ExpFloat64() / maxRate * 1e9)
		if next >= clients.endAt {
			return
		}
		if clients.arrivalRandom.Float64()*em.maxLoadFactor() <= em.loadFactor(next-startTime) {
			break
		}
	}
	em.schedule(next, func() {
		em.startOperation()
		clients.scheduleArrival(em, startTime, em.now)
	})
}

// loadFactor returns the factor on the request rate at a time since the start of the run.
func (em *Emulator) loadFactor(elapsed time.Duration) float64 {
	factor := 1.0
	if shape := em.scenario.Load.Shape; len(shape) > 0 {
		i := sort.Search(len(shape), func(i int) bool { return shape[i].At.Std() > elapsed })
		switch {
		case i == 0:
			factor = shape[0].Factor
		case i == len(shape):
			factor = shape[i-1].Factor
		default:
			before, after := shape[i-1], shape[i]
			factor = before.Factor + (after.Factor-before.Factor)*float64(elapsed-before.At.Std())/float64(after.At-before.At)
		}
	}
	for _, fault := range em.scenario.Faults {
		if fault.Kind == "burst" && elapsed >= fault.At.Std() && elapsed < (fault.At+fault.For).Std() {
			factor *= fault.Size
		}
	}
	return factor
}

// maxLoadFactor returns an upper bound of loadFactor.
func (em *Emulator) maxLoadFactor() float64 {
	maxFactor := 1.0
	if len(em.scenario.Load.Shape) > 0 {
		maxFactor = 0
		for _, step := range em.scenario.Load.Shape {
			maxFactor = max(maxFactor, step.Factor)
		}
	}
	for _, fault := range em.scenario.Faults {
		if fault.Kind == "burst" {
			maxFactor *= max(1, fault.Size)
		}
	}
	return maxFactor
}

// pickWeighted returns the index at which the running sum of weights, which add up to about 1,
// exceeds point.
func pickWeighted(point float64, count int, weight func(int) float64) int {
	for i := range count {
		if point -= weight(i); point < 0 {
			return i
		}
	}
	return count - 1
}

// startOperation draws an operation and sends its first request.
func (em *Emulator) startOperation() {
	clients := &em.clients
	random := clients.arrivalRandom
	operation := &clientOperation{startedAt: em.now}
	operation.class = pickWeighted(random.Float64(), len(em.scenario.Classes), func(i int) float64 { return em.scenario.Classes[i].RequestFraction })
	operation.plan = pickWeighted(random.Float64(), len(em.scenario.Plans), func(i int) float64 { return em.scenario.Plans[i].RequestFraction })
	weights := clients.cumulativeWeights[operation.plan]
	operation.customer = min(sort.SearchFloat64s(weights, random.Float64()*weights[len(weights)-1]), len(weights)-1)
	// Work is log-normal with a standard deviation of half its mean.
	const spread = 0.472 // standard deviation of the logarithm
	operation.workSeconds = em.scenario.Classes[operation.class].Work.Seconds() * math.Exp(spread*random.NormFloat64()-spread*spread/2)
	key := fmt.Sprintf("%016x%016x", random.Uint64(), random.Uint64())
	class, plan := &em.scenario.Classes[operation.class], &em.scenario.Plans[operation.plan]
	if class.Effect == "by_key" {
		operation.key = key
	}
	operation.bodyBytes = class.BodyBytes
	operation.worth = class.Worth * plan.Price * float64(class.Units)
	offered := operation.worth
	if !em.quotaOf(clients.offeredQuotas, operation).take(em.now, float64(class.Units), plan.Rate, plan.Burst) {
		offered *= plan.OverWorth
	}
	em.Tally.RecordOperation(operation.startedAt-em.startTime(), operation.class, operation.plan, offered)
	em.sendRequest(operation)
}

func (em *Emulator) startTime() time.Duration { return em.clients.endAt - em.scenario.Duration.Std() }

func (em *Emulator) quotaOf(stores map[uint64]*quota, operation *clientOperation) *quota {
	id := em.clients.customers[operation.plan][operation.customer].id
	q := stores[id]
	if q == nil {
		q = &quota{units: em.scenario.Plans[operation.plan].Burst, updatedAt: em.now}
		stores[id] = q
	}
	return q
}

// sendRequest sends the first request of an operation, or a client retry.
func (em *Emulator) sendRequest(operation *clientOperation) {
	clients := &em.clients
	clients.requestCount++
	operation.requests++
	class := &em.scenario.Classes[operation.class]
	customer := &clients.customers[operation.plan][operation.customer]
	request := &clientRequest{clientOperation: operation, id: hash(em.scenario.Seed, clients.requestCount), firstGateway: customer.firstGateway, customerID: customer.id}
	request.deadline = operation.startedAt + class.Deadline.Std()
	request.remaining = request.deadline - em.now
	draw := func(salt uint64) float64 { return unitFraction(hash(request.id, salt)) }
	// The load balancer takes a gateway of the customer's set that is in rotation.
	point := draw(1) * customer.cumulativeShares[len(customer.cumulativeShares)-1]
	index := sort.SearchFloat64s(customer.cumulativeShares, point)
	for step := range customer.cumulativeShares {
		request.gateway = (customer.firstGateway + (index+step)%len(customer.cumulativeShares)) % len(em.gateways)
		if em.gateways[request.gateway].inRotation {
			break
		}
	}
	clients.inProgress[request.id] = request
	em.Tally.Costs.Requests++
	em.Referee.RequestStarted(em.now, referee.Request{ID: request.id, Gateway: request.gateway, Class: request.class, Plan: request.plan, Customer: request.customerID, Units: float64(class.Units), Deadline: request.deadline})
	em.emit(Send{Request: request.message()})
	if draw(2) < em.scenario.Load.AbandonedFraction {
		em.after(request.remaining/4, func() {
			if clients.inProgress[request.id] == request && !request.answered {
				em.Referee.Abandoned(em.now, request.id)
				em.emit(Abandon{request.id})
				em.endOperation(request, results.Abandoned, 0)
			}
		})
	}
	overdueAt := request.deadline + em.scenario.Rules.LostAfter.Std() + 2*em.scenario.Rules.ObservationSlack.Std()
	em.schedule(overdueAt, func() {
		if clients.inProgress[request.id] == request && !request.answered {
			em.Referee.Overdue(em.now, request.id)
			em.emit(Abandon{request.id})
			em.endOperation(request, results.Lost, 0)
		}
	})
	em.schedule(overdueAt+requestRetention, func() { em.Referee.Forget(request.id) })
}

// requestRetention is how long the referee keeps a request after it has ended.
const requestRetention = 5 * time.Second

func (request *clientRequest) message() Request {
	return Request{ID: request.id, Gateway: request.gateway, Class: request.class, Plan: request.plan, Customer: request.customerID, FirstGateway: request.firstGateway, Remaining: request.remaining, Key: request.key,
		Body: Body{Seed: hash(request.id, 3), Size: request.bodyBytes}, Retry: request.requests > 1}
}

// reachedBackend takes a request's units from the customer's quota when its first attempt arrives.
func (em *Emulator) reachedBackend(request *clientRequest) {
	if request.reachedBackend {
		return
	}
	request.reachedBackend = true
	class, plan := &em.scenario.Classes[request.class], &em.scenario.Plans[request.plan]
	request.withinQuota = em.quotaOf(em.clients.acceptedQuotas, request.clientOperation).take(em.now, float64(class.Units), plan.Rate, plan.Burst)
	if !request.withinQuota {
		em.Tally.Costs.BeyondQuota += plan.OverCost * request.worth
	}
}

func (em *Emulator) answered(event Answered) {
	request := em.clients.inProgress[event.ID]
	problem := errorText(event.BodyErr)
	if request != nil && event.Status == 200 && event.Complete && event.Body.Size != em.scenario.Classes[request.class].AnswerBytes {
		problem = fmt.Sprintf("(%d bytes)", event.Body.Size)
	}
	em.Referee.Answered(em.now, event.ID, event.Status, event.Complete, event.Body.Seed, problem)
	if request == nil || request.answered {
		return
	}
	request.answered = true
	class := &em.scenario.Classes[request.class]
	worth := request.worth
	if !request.withinQuota {
		worth *= em.scenario.Plans[request.plan].OverWorth
	}
	latency := em.now - request.startedAt
	switch {
	case event.Status == 200 && event.Complete && latency <= class.Aim.Std():
		em.endOperation(request, results.Served, worth)
	case event.Status == 200 && event.Complete && em.now <= request.deadline:
		em.endOperation(request, results.Late, worth*class.LateWorth)
	case event.Status == 429 || event.Status == 503:
		em.retryOrEnd(request, results.Refused, true, event.RetryAfter)
	default:
		em.retryOrEnd(request, results.Failed, false, 0)
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func (em *Emulator) unanswered(event Unanswered) {
	request := em.clients.inProgress[event.ID]
	if request == nil || request.answered {
		return
	}
	if event.Reused && !request.resent && !em.Referee.ReachedBackend(event.ID) {
		// The gateway closed the connection while it was idle and has not read the request.
		request.resent = true
		message := request.message()
		message.Remaining = max(0, request.deadline-em.now)
		em.emit(Send{Request: message, NewConnection: true})
		return
	}
	if event.Sent {
		em.Referee.RequestAccepted(em.now, event.ID)
	}
	em.Referee.Closed(em.now, event.ID, !event.Reused)
	request.answered = true
	em.retryOrEnd(request, results.Failed, !event.Sent, 0)
}

// retryOrEnd schedules a client retry if one is allowed and there is time for it, and ends the
// operation otherwise.
func (em *Emulator) retryOrEnd(request *clientRequest, outcome results.Outcome, notStarted bool, retryAfter time.Duration) {
	class := &em.scenario.Classes[request.class]
	pause := em.scenario.Load.RetryAfter.Std() << min(request.requests-1, 10)
	pause = max(pause, min(retryAfter, maxRetryAfter))
	allowed := notStarted || class.Effect == "repeatable" || class.Effect == "by_key" && class.Scope == "all" && em.now+pause < request.startedAt+class.Window.Std()
	if allowed && request.requests <= em.scenario.Load.Retries && em.now+pause < request.deadline-minRetryTime {
		delete(em.clients.inProgress, request.id)
		em.clients.pendingRetries++
		em.after(pause, func() {
			em.clients.pendingRetries--
			em.sendRequest(request.clientOperation)
		})
		return
	}
	em.endOperation(request, outcome, 0)
}

const (
	maxRetryAfter = time.Second           // the longest Retry-After that clients follow
	minRetryTime  = 50 * time.Millisecond // the time that must remain for a client retry
)

// endOperation ends a request, and records the outcome of its operation once.
func (em *Emulator) endOperation(request *clientRequest, outcome results.Outcome, worth float64) {
	request.answered = true
	delete(em.clients.inProgress, request.id)
	if request.clientOperation.ended {
		return
	}
	request.clientOperation.ended = true
	em.Tally.RecordOutcome(request.startedAt-em.startTime(), request.class, request.plan, outcome, worth, em.now-request.startedAt)
}

// selectTargets returns the gateways or backends that a fault affects: those of a zone, or a random
// fraction of all. Only eligible ones count.
func (em *Emulator) selectTargets(count int, fraction float64, zone string, zoneOf func(int) int, eligible func(int) bool) []int {
	var candidates []int
	zoneIndex := slices.Index(em.scenario.Fleet.Zones, zone)
	for i := range count {
		if eligible(i) && (zone == "" || zoneOf(i) == zoneIndex) {
			candidates = append(candidates, i)
		}
	}
	if zone == "" {
		em.faultRandom.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
		candidates = candidates[:min(len(candidates), int(math.Ceil(fraction*float64(len(candidates))-1e-9)))]
		slices.Sort(candidates)
	}
	return candidates
}
