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

// clients are all who call. What they want, and when, is drawn from a stream of
// its own, and so it is the same whatever gateways do.
type clients struct {
	arrivalRandom     *rand.Rand
	shiftRandom       *rand.Rand
	customers         [][]customer // by plan
	cumulativeWeights [][]float64  // by plan: sums of the customers' weights
	offeredQuotas     map[uint64]*quota
	acceptedQuotas    map[uint64]*quota
	inProgress        map[uint64]*clientRequest
	pendingRetries    int // of clients that will try again
	ended             bool
	endAt             time.Duration
	requestCount      uint64
}

type customer struct {
	id               uint64
	firstGateway     int       // gateway of its set
	cumulativeShares []float64 // sums over the set's gateways
}

// quota is a customer's store of units.
type quota struct {
	units     float64
	updatedAt time.Duration
}

// take takes units if the store holds them.
func (q *quota) take(now time.Duration, units, rate, burst float64) bool {
	q.units = min(burst, q.units+rate*(now-q.updatedAt).Seconds())
	q.updatedAt = now
	if q.units < units {
		return false
	}
	q.units -= units
	return true
}

// wish is what a client wants, over all its tries.
type operation struct {
	startedAt   time.Duration
	class       int
	plan        int
	customer    int
	workSeconds float64 // seconds of one core
	key         string  // of a keyed class
	bodyBytes   int64   // of the body
	requests    int
	worth       float64
	ended       bool
}

// try is one request.
type clientRequest struct {
	*operation
	id             uint64
	gateway        int
	firstGateway   int
	customerID     uint64
	remaining      time.Duration
	deadline       time.Duration
	reachedBackend bool // its first attempt has come to a backend
	withinQuota    bool // the quota held its units then
	resent         bool // it has been sent once more after its connection was closed
	answered       bool
}

func (w *Emulator) newClients() {
	c := &w.clients
	c.arrivalRandom = rand.New(rand.NewPCG(w.scenario.Seed, streamArrivals))
	c.shiftRandom = rand.New(rand.NewPCG(w.scenario.Seed, streamShifts))
	c.offeredQuotas, c.acceptedQuotas, c.inProgress = map[uint64]*quota{}, map[uint64]*quota{}, map[uint64]*clientRequest{}
	c.customers = make([][]customer, len(w.scenario.Plans))
	c.cumulativeWeights = make([][]float64, len(w.scenario.Plans))
	for p, plan := range w.scenario.Plans {
		for n := range plan.Customers {
			id := hash(w.scenario.Seed, uint64(p), uint64(n)) & (1<<33 - 1)
			c.customers[p] = append(c.customers[p], customer{id: id, firstGateway: c.shiftRandom.IntN(w.scenario.Fleet.Gateways)})
		}
	}
	w.redrawCustomers()
}

// shift draws anew how much each customer asks, and through which gateways.
func (w *Emulator) redrawCustomers() {
	c := &w.clients
	for p := range c.customers {
		c.cumulativeWeights[p] = c.cumulativeWeights[p][:0]
		sum := 0.0
		for i := range c.customers[p] {
			sum += math.Exp(w.scenario.Load.Skew * c.shiftRandom.NormFloat64())
			c.cumulativeWeights[p] = append(c.cumulativeWeights[p], sum)
			k := &c.customers[p][i]
			k.cumulativeShares = k.cumulativeShares[:0]
			part := 0.0
			for range w.scenario.Plans[p].Spread {
				part += 0.2 + c.shiftRandom.Float64()
				k.cumulativeShares = append(k.cumulativeShares, part)
			}
		}
	}
}

func (c *clients) begin(w *Emulator) {
	c.endAt = w.now + w.scenario.Duration.D()
	if every := w.scenario.Load.ShiftEvery.D(); every > 0 {
		var again func()
		again = func() {
			w.redrawCustomers()
			if w.now+every < c.endAt {
				w.after(every, again)
			}
		}
		w.after(every, again)
	}
	w.schedule(c.endAt, func() { c.ended = true })
	c.scheduleArrival(w, w.now, w.now)
}

// arrive plans the next arrival. They come at random at the highest rate, and
// those are passed over that the rate of the moment has no room for.
func (c *clients) scheduleArrival(w *Emulator, begin, from time.Duration) {
	at := from
	for {
		highest := w.scenario.Load.RequestsPerS * w.maxLoadFactor()
		if highest <= 0 {
			return
		}
		at += time.Duration(c.arrivalRandom.ExpFloat64() / highest * 1e9)
		if at >= c.endAt {
			return
		}
		if c.arrivalRandom.Float64()*w.maxLoadFactor() <= w.loadFactor(at-begin) {
			break
		}
	}
	w.schedule(at, func() {
		w.startOperation()
		c.scheduleArrival(w, begin, w.now)
	})
}

// load is the factor on the rate at a moment of the day.
func (w *Emulator) loadFactor(at time.Duration) float64 {
	factor := 1.0
	if shape := w.scenario.Load.Shape; len(shape) > 0 {
		i := sort.Search(len(shape), func(i int) bool { return shape[i].At.D() > at })
		switch {
		case i == 0:
			factor = shape[0].Times
		case i == len(shape):
			factor = shape[i-1].Times
		default:
			a, b := shape[i-1], shape[i]
			factor = a.Times + (b.Times-a.Times)*float64(at-a.At.D())/float64(b.At-a.At)
		}
	}
	for _, f := range w.scenario.Faults {
		if f.Kind == "burst" && at >= f.At.D() && at < (f.At+f.For).D() {
			factor *= f.Size
		}
	}
	return factor
}

// mostLoad is a bound on load.
func (w *Emulator) maxLoadFactor() float64 {
	most := 1.0
	if len(w.scenario.Load.Shape) > 0 {
		most = 0
		for _, step := range w.scenario.Load.Shape {
			most = max(most, step.Times)
		}
	}
	for _, f := range w.scenario.Faults {
		if f.Kind == "burst" {
			most *= max(1, f.Size)
		}
	}
	return most
}

// pick draws a place by shares that come to about 1.
func pickWeighted(of float64, n int, share func(int) float64) int {
	for i := range n {
		if of -= share(i); of < 0 {
			return i
		}
	}
	return n - 1
}

// wish is a client's beginning to want something.
func (w *Emulator) startOperation() {
	c := &w.clients
	draw := c.arrivalRandom
	v := &operation{startedAt: w.now}
	v.class = pickWeighted(draw.Float64(), len(w.scenario.Classes), func(i int) float64 { return w.scenario.Classes[i].Share })
	v.plan = pickWeighted(draw.Float64(), len(w.scenario.Plans), func(i int) float64 { return w.scenario.Plans[i].Share })
	reach := c.cumulativeWeights[v.plan]
	v.customer = min(sort.SearchFloat64s(reach, draw.Float64()*reach[len(reach)-1]), len(reach)-1)
	// The work of a request varies by half of its mean.
	const spread = 0.472 // of the logarithm, for that
	v.workSeconds = w.scenario.Classes[v.class].Work.Seconds() * math.Exp(spread*draw.NormFloat64()-spread*spread/2)
	key := fmt.Sprintf("%016x%016x", draw.Uint64(), draw.Uint64())
	class, plan := &w.scenario.Classes[v.class], &w.scenario.Plans[v.plan]
	if class.Effect == "by_key" {
		v.key = key
	}
	v.bodyBytes = class.BodyBytes
	v.worth = class.Worth * plan.Price * float64(class.Units)
	offered := v.worth
	if !w.quotaOf(c.offeredQuotas, v).take(w.now, float64(class.Units), plan.Rate, plan.Burst) {
		offered *= plan.OverWorth
	}
	w.Tally.Offered(v.startedAt-w.startTime(), v.class, v.plan, offered)
	w.sendRequest(v)
}

func (w *Emulator) startTime() time.Duration { return w.clients.endAt - w.scenario.Duration.D() }

func (w *Emulator) quotaOf(stores map[uint64]*quota, v *operation) *quota {
	id := w.clients.customers[v.plan][v.customer].id
	q := stores[id]
	if q == nil {
		q = &quota{units: w.scenario.Plans[v.plan].Burst, updatedAt: w.now}
		stores[id] = q
	}
	return q
}

// try sends a wish once more, or for the first time.
func (w *Emulator) sendRequest(v *operation) {
	c := &w.clients
	c.requestCount++
	v.requests++
	class := &w.scenario.Classes[v.class]
	k := &c.customers[v.plan][v.customer]
	t := &clientRequest{operation: v, id: hash(w.scenario.Seed, c.requestCount), firstGateway: k.firstGateway, customerID: k.id}
	t.deadline = v.startedAt + class.Deadline.D()
	t.remaining = t.deadline - w.now
	draw := func(salt uint64) float64 { return unitFraction(hash(t.id, salt)) }
	// Through the front: a gateway of the customer's set that it takes for up.
	part := draw(1) * k.cumulativeShares[len(k.cumulativeShares)-1]
	at := sort.SearchFloat64s(k.cumulativeShares, part)
	for step := range k.cumulativeShares {
		t.gateway = (k.firstGateway + (at+step)%len(k.cumulativeShares)) % len(w.gateways)
		if w.gateways[t.gateway].inRotation {
			break
		}
	}
	c.inProgress[t.id] = t
	w.Tally.Costs.Tries++
	w.Referee.Sent(w.now, referee.Request{ID: t.id, Gateway: t.gateway, Class: t.class, Plan: t.plan, Customer: t.customerID, Units: float64(class.Units), Due: t.deadline})
	w.emit(Send{Request: t.message()})
	if draw(2) < w.scenario.Load.Impatient {
		w.after(t.remaining/4, func() {
			if c.inProgress[t.id] == t && !t.answered {
				w.Referee.Abandoned(w.now, t.id)
				w.emit(Abandon{t.id})
				w.endOperation(t, results.Left, 0)
			}
		})
	}
	last := t.deadline + w.scenario.Rules.LostAfter.D() + 2*w.scenario.Rules.Observe.D()
	w.schedule(last, func() {
		if c.inProgress[t.id] == t && !t.answered {
			w.Referee.Overdue(w.now, t.id)
			w.emit(Abandon{t.id})
			w.endOperation(t, results.Lost, 0)
		}
	})
	w.schedule(last+requestRetention, func() { w.Referee.Forget(t.id) })
}

// keptFor is how long the referee knows a request that is over.
const requestRetention = 5 * time.Second

func (t *clientRequest) message() Request {
	return Request{ID: t.id, Gateway: t.gateway, Class: t.class, Plan: t.plan, Customer: t.customerID, FirstGateway: t.firstGateway, Remaining: t.remaining, Key: t.key,
		Body: Body{Seed: hash(t.id, 3), Size: t.bodyBytes}, Retry: t.requests > 1}
}

func (w *Emulator) reachedBackend(t *clientRequest) {
	if t.reachedBackend {
		return
	}
	t.reachedBackend = true
	class, plan := &w.scenario.Classes[t.class], &w.scenario.Plans[t.plan]
	t.withinQuota = w.quotaOf(w.clients.acceptedQuotas, t.operation).take(w.now, float64(class.Units), plan.Rate, plan.Burst)
	if !t.withinQuota {
		w.Tally.Costs.Beyond += plan.OverCost * t.worth
	}
}

func (w *Emulator) answered(e Answered) {
	t := w.clients.inProgress[e.ID]
	wrong := errorText(e.BodyErr)
	if t != nil && e.Status == 200 && e.Complete && e.Body.Size != w.scenario.Classes[t.class].AnswerBytes {
		wrong = fmt.Sprintf("(%d bytes)", e.Body.Size)
	}
	w.Referee.Answered(w.now, e.ID, e.Status, e.Complete, e.Body.Seed, wrong)
	if t == nil || t.answered {
		return
	}
	t.answered = true
	class := &w.scenario.Classes[t.class]
	worth := t.worth
	if !t.withinQuota {
		worth *= w.scenario.Plans[t.plan].OverWorth
	}
	after := w.now - t.startedAt
	switch {
	case e.Status == 200 && e.Complete && after <= class.Aim.D():
		w.endOperation(t, results.Served, worth)
	case e.Status == 200 && e.Complete && w.now <= t.deadline:
		w.endOperation(t, results.Late, worth*class.LateWorth)
	case e.Status == 429 || e.Status == 503:
		w.retryOrEnd(t, results.Refused, true, e.RetryAfter)
	default:
		w.retryOrEnd(t, results.Failed, false, 0)
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func (w *Emulator) unanswered(e Unanswered) {
	t := w.clients.inProgress[e.ID]
	if t == nil || t.answered {
		return
	}
	if e.Reused && !t.resent && !w.Referee.Seen(e.ID) {
		// Its connection was closed while it was idle: the gateway has not read it.
		t.resent = true
		r := t.message()
		r.Remaining = max(0, t.deadline-w.now)
		w.emit(Send{Request: r, NewConnection: true})
		return
	}
	if e.Sent {
		w.Referee.Taken(w.now, e.ID)
	}
	w.Referee.Closed(w.now, e.ID, !e.Reused)
	t.answered = true
	w.retryOrEnd(t, results.Failed, !e.Sent, 0)
}

// again lets the client try once more if it may and has the time.
func (w *Emulator) retryOrEnd(t *clientRequest, o results.Outcome, harmless bool, advice time.Duration) {
	class := &w.scenario.Classes[t.class]
	pause := w.scenario.Load.RetryAfter.D() << min(t.requests-1, 10)
	pause = max(pause, min(advice, maxRetryAfter))
	may := harmless || class.Effect == "repeatable" || class.Effect == "by_key" && class.Scope == "all" && w.now+pause < t.startedAt+class.Window.D()
	if may && t.requests <= w.scenario.Load.Retries && w.now+pause < t.deadline-minRetryTime {
		delete(w.clients.inProgress, t.id)
		w.clients.pendingRetries++
		w.after(pause, func() {
			w.clients.pendingRetries--
			w.sendRequest(t.operation)
		})
		return
	}
	w.endOperation(t, o, 0)
}

const (
	maxRetryAfter = time.Second           // the longest Retry-After that clients follow
	minRetryTime  = 50 * time.Millisecond // for another try
)

func (w *Emulator) endOperation(t *clientRequest, o results.Outcome, worth float64) {
	t.answered = true
	delete(w.clients.inProgress, t.id)
	if t.operation.ended {
		return
	}
	t.operation.ended = true
	w.Tally.Ended(t.startedAt-w.startTime(), t.class, t.plan, o, worth, w.now-t.startedAt)
}

// struck picks the gateways or backends that a fault befalls.
func (w *Emulator) selectTargets(n int, part float64, zone string, zoneOf func(int) int, fit func(int) bool) []int {
	var all []int
	at := slices.Index(w.scenario.Fleet.Zones, zone)
	for i := range n {
		if fit(i) && (zone == "" || zoneOf(i) == at) {
			all = append(all, i)
		}
	}
	if zone == "" {
		w.faultRandom.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		all = all[:min(len(all), int(math.Ceil(part*float64(len(all))-1e-9)))]
		slices.Sort(all)
	}
	return all
}
