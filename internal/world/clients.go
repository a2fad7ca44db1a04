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
	arrivals  *rand.Rand
	shifts    *rand.Rand
	customers [][]customer // by plan
	reach     [][]float64  // by plan: sums of the customers' weights
	stores    map[uint64]*quota
	sends     map[uint64]*quota
	open      map[uint64]*try
	pauses    int // of clients that will try again
	over      bool
	end       time.Duration
	next      uint64
}

type customer struct {
	id    uint64
	first int       // gateway of its set
	share []float64 // sums over the set's gateways
}

// quota is a customer's store of units.
type quota struct {
	units float64
	at    time.Duration
}

// take takes units if the store holds them.
func (q *quota) take(now time.Duration, units, rate, burst float64) bool {
	q.units = min(burst, q.units+rate*(now-q.at).Seconds())
	q.at = now
	if q.units < units {
		return false
	}
	q.units -= units
	return true
}

// wish is what a client wants, over all its tries.
type wish struct {
	at       time.Duration
	class    int
	plan     int
	customer int
	work     float64 // seconds of one core
	key      string  // of a keyed class
	size     int64   // of the body
	tries    int
	worth    float64
	ended    bool
}

// try is one request.
type try struct {
	*wish
	id       uint64
	gateway  int
	set      int
	account  uint64
	left     time.Duration
	due      time.Duration
	sent     bool // its first attempt has come to a backend
	inside   bool // the quota held its units then
	fresh    bool // it has been sent once more after its connection was closed
	answered bool
}

func (w *Emulator) newClients() {
	c := &w.clients
	c.arrivals = rand.New(rand.NewPCG(w.s.Seed, streamArrivals))
	c.shifts = rand.New(rand.NewPCG(w.s.Seed, streamShifts))
	c.stores, c.sends, c.open = map[uint64]*quota{}, map[uint64]*quota{}, map[uint64]*try{}
	c.customers = make([][]customer, len(w.s.Plans))
	c.reach = make([][]float64, len(w.s.Plans))
	for p, plan := range w.s.Plans {
		for n := range plan.Customers {
			id := mix(w.s.Seed, uint64(p), uint64(n)) & (1<<33 - 1)
			c.customers[p] = append(c.customers[p], customer{id: id, first: c.shifts.IntN(w.s.Fleet.Gateways)})
		}
	}
	w.shift()
}

// shift draws anew how much each customer asks, and through which gateways.
func (w *Emulator) shift() {
	c := &w.clients
	for p := range c.customers {
		c.reach[p] = c.reach[p][:0]
		sum := 0.0
		for i := range c.customers[p] {
			sum += math.Exp(w.s.Load.Skew * c.shifts.NormFloat64())
			c.reach[p] = append(c.reach[p], sum)
			k := &c.customers[p][i]
			k.share = k.share[:0]
			part := 0.0
			for range w.s.Plans[p].Spread {
				part += 0.2 + c.shifts.Float64()
				k.share = append(k.share, part)
			}
		}
	}
}

func (c *clients) begin(w *Emulator) {
	c.end = w.now + w.s.Duration.D()
	if every := w.s.Load.ShiftEvery.D(); every > 0 {
		var again func()
		again = func() {
			w.shift()
			if w.now+every < c.end {
				w.after(every, again)
			}
		}
		w.after(every, again)
	}
	w.at(c.end, func() { c.over = true })
	c.arrive(w, w.now, w.now)
}

// arrive plans the next arrival. They come at random at the highest rate, and
// those are passed over that the rate of the moment has no room for.
func (c *clients) arrive(w *Emulator, begin, from time.Duration) {
	at := from
	for {
		highest := w.s.Load.RequestsPerS * w.mostLoad()
		if highest <= 0 {
			return
		}
		at += time.Duration(c.arrivals.ExpFloat64() / highest * 1e9)
		if at >= c.end {
			return
		}
		if c.arrivals.Float64()*w.mostLoad() <= w.load(at-begin) {
			break
		}
	}
	w.at(at, func() {
		w.wish()
		c.arrive(w, begin, w.now)
	})
}

// load is the factor on the rate at a moment of the day.
func (w *Emulator) load(at time.Duration) float64 {
	factor := 1.0
	if shape := w.s.Load.Shape; len(shape) > 0 {
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
	for _, f := range w.s.Faults {
		if f.Kind == "burst" && at >= f.At.D() && at < (f.At+f.For).D() {
			factor *= f.Size
		}
	}
	return factor
}

// mostLoad is a bound on load.
func (w *Emulator) mostLoad() float64 {
	most := 1.0
	if len(w.s.Load.Shape) > 0 {
		most = 0
		for _, step := range w.s.Load.Shape {
			most = max(most, step.Times)
		}
	}
	for _, f := range w.s.Faults {
		if f.Kind == "burst" {
			most *= max(1, f.Size)
		}
	}
	return most
}

// pick draws a place by shares that come to about 1.
func pick(of float64, n int, share func(int) float64) int {
	for i := range n {
		if of -= share(i); of < 0 {
			return i
		}
	}
	return n - 1
}

// wish is a client's beginning to want something.
func (w *Emulator) wish() {
	c := &w.clients
	draw := c.arrivals
	v := &wish{at: w.now}
	v.class = pick(draw.Float64(), len(w.s.Classes), func(i int) float64 { return w.s.Classes[i].Share })
	v.plan = pick(draw.Float64(), len(w.s.Plans), func(i int) float64 { return w.s.Plans[i].Share })
	reach := c.reach[v.plan]
	v.customer = min(sort.SearchFloat64s(reach, draw.Float64()*reach[len(reach)-1]), len(reach)-1)
	// The work of a request varies by half of its mean.
	const spread = 0.472 // of the logarithm, for that
	v.work = w.s.Classes[v.class].Work.Seconds() * math.Exp(spread*draw.NormFloat64()-spread*spread/2)
	key := fmt.Sprintf("%016x%016x", draw.Uint64(), draw.Uint64())
	class, plan := &w.s.Classes[v.class], &w.s.Plans[v.plan]
	if class.Effect == "by_key" {
		v.key = key
	}
	v.size = class.BodyBytes
	v.worth = class.Worth * plan.Price * float64(class.Units)
	offered := v.worth
	if !w.store(c.stores, v).take(w.now, float64(class.Units), plan.Rate, plan.Burst) {
		offered *= plan.OverWorth
	}
	w.Tally.Offered(v.at-w.begin(), v.class, v.plan, offered)
	w.try(v)
}

func (w *Emulator) begin() time.Duration { return w.clients.end - w.s.Duration.D() }

func (w *Emulator) store(stores map[uint64]*quota, v *wish) *quota {
	id := w.clients.customers[v.plan][v.customer].id
	q := stores[id]
	if q == nil {
		q = &quota{units: w.s.Plans[v.plan].Burst, at: w.now}
		stores[id] = q
	}
	return q
}

// try sends a wish once more, or for the first time.
func (w *Emulator) try(v *wish) {
	c := &w.clients
	c.next++
	v.tries++
	class := &w.s.Classes[v.class]
	k := &c.customers[v.plan][v.customer]
	t := &try{wish: v, id: mix(w.s.Seed, c.next), set: k.first, account: k.id}
	t.due = v.at + class.Deadline.D()
	t.left = t.due - w.now
	draw := func(salt uint64) float64 { return share(mix(t.id, salt)) }
	// Through the front: a gateway of the customer's set that it takes for up.
	part := draw(1) * k.share[len(k.share)-1]
	at := sort.SearchFloat64s(k.share, part)
	for step := range k.share {
		t.gateway = (k.first + (at+step)%len(k.share)) % len(w.gateways)
		if w.gateways[t.gateway].front {
			break
		}
	}
	c.open[t.id] = t
	w.Tally.Costs.Tries++
	w.Referee.Sent(w.now, referee.Request{ID: t.id, Gateway: t.gateway, Class: t.class, Plan: t.plan, Customer: t.account, Units: float64(class.Units), Due: t.due})
	w.do(Send{Request: t.request()})
	if draw(2) < w.s.Load.Impatient {
		w.after(t.left/4, func() {
			if c.open[t.id] == t && !t.answered {
				w.Referee.Abandoned(w.now, t.id)
				w.do(Abandon{t.id})
				w.ended(t, results.Left, 0)
			}
		})
	}
	last := t.due + w.s.Rules.LostAfter.D() + 2*w.s.Rules.Observe.D()
	w.at(last, func() {
		if c.open[t.id] == t && !t.answered {
			w.Referee.Overdue(w.now, t.id)
			w.do(Abandon{t.id})
			w.ended(t, results.Lost, 0)
		}
	})
	w.at(last+keptFor, func() { w.Referee.Forget(t.id) })
}

// keptFor is how long the referee knows a request that is over.
const keptFor = 5 * time.Second

func (t *try) request() Request {
	return Request{ID: t.id, Gateway: t.gateway, Class: t.class, Plan: t.plan, Customer: t.account, FirstGateway: t.set, Remaining: t.left, Key: t.key,
		Body: Body{Seed: mix(t.id, 3), Size: t.size}, Retry: t.tries > 1}
}

func (w *Emulator) sentOn(t *try) {
	if t.sent {
		return
	}
	t.sent = true
	class, plan := &w.s.Classes[t.class], &w.s.Plans[t.plan]
	t.inside = w.store(w.clients.sends, t.wish).take(w.now, float64(class.Units), plan.Rate, plan.Burst)
	if !t.inside {
		w.Tally.Costs.Beyond += plan.OverCost * t.worth
	}
}

func (w *Emulator) answered(e Answered) {
	t := w.clients.open[e.ID]
	wrong := errText(e.BodyErr)
	if t != nil && e.Status == 200 && e.Complete && e.Body.Size != w.s.Classes[t.class].AnswerBytes {
		wrong = fmt.Sprintf("(%d bytes)", e.Body.Size)
	}
	w.Referee.Answered(w.now, e.ID, e.Status, e.Complete, e.Body.Seed, wrong)
	if t == nil || t.answered {
		return
	}
	t.answered = true
	class := &w.s.Classes[t.class]
	worth := t.worth
	if !t.inside {
		worth *= w.s.Plans[t.plan].OverWorth
	}
	after := w.now - t.at
	switch {
	case e.Status == 200 && e.Complete && after <= class.Aim.D():
		w.ended(t, results.Served, worth)
	case e.Status == 200 && e.Complete && w.now <= t.due:
		w.ended(t, results.Late, worth*class.LateWorth)
	case e.Status == 429 || e.Status == 503:
		w.again(t, results.Refused, true, e.RetryAfter)
	default:
		w.again(t, results.Failed, false, 0)
	}
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func (w *Emulator) unanswered(e Unanswered) {
	t := w.clients.open[e.ID]
	if t == nil || t.answered {
		return
	}
	if e.Reused && !t.fresh && !w.Referee.Seen(e.ID) {
		// Its connection was closed while it was idle: the gateway has not read it.
		t.fresh = true
		r := t.request()
		r.Remaining = max(0, t.due-w.now)
		w.do(Send{Request: r, NewConnection: true})
		return
	}
	if e.Sent {
		w.Referee.Taken(w.now, e.ID)
	}
	w.Referee.Closed(w.now, e.ID, !e.Reused)
	t.answered = true
	w.again(t, results.Failed, !e.Sent, 0)
}

// again lets the client try once more if it may and has the time.
func (w *Emulator) again(t *try, o results.Outcome, harmless bool, advice time.Duration) {
	class := &w.s.Classes[t.class]
	pause := w.s.Load.RetryAfter.D() << min(t.tries-1, 10)
	pause = max(pause, min(advice, mostAdvice))
	may := harmless || class.Effect == "repeatable" || class.Effect == "by_key" && class.Scope == "all" && w.now+pause < t.at+class.Window.D()
	if may && t.tries <= w.s.Load.Retries && w.now+pause < t.due-leastLeft {
		delete(w.clients.open, t.id)
		w.clients.pauses++
		w.after(pause, func() {
			w.clients.pauses--
			w.try(t.wish)
		})
		return
	}
	w.ended(t, o, 0)
}

const (
	mostAdvice = time.Second           // the longest Retry-After that clients follow
	leastLeft  = 50 * time.Millisecond // for another try
)

func (w *Emulator) ended(t *try, o results.Outcome, worth float64) {
	t.answered = true
	delete(w.clients.open, t.id)
	if t.wish.ended {
		return
	}
	t.wish.ended = true
	w.Tally.Ended(t.at-w.begin(), t.class, t.plan, o, worth, w.now-t.at)
}

// struck picks the gateways or backends that a fault befalls.
func (w *Emulator) struck(n int, part float64, zone string, zoneOf func(int) int, fit func(int) bool) []int {
	var all []int
	at := slices.Index(w.s.Fleet.Zones, zone)
	for i := range n {
		if fit(i) && (zone == "" || zoneOf(i) == at) {
			all = append(all, i)
		}
	}
	if zone == "" {
		w.faults.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		all = all[:min(len(all), int(math.Ceil(part*float64(len(all))-1e-9)))]
		slices.Sort(all)
	}
	return all
}
