package referee

import (
	"time"

	"dunlintray/internal/scenario"
)

// store is the token bucket of a customer's ceiling.
type store struct {
	units float64
	at    time.Duration
	low   bool // it has been under a third

	asked     *float64 // units that would be left if all requests were sent on; nil: not counted yet
	askedAt   time.Duration
	counterAt time.Duration // value of Referee.counterAt when asked was set
	over      bool          // asked has been under the permitted least
}

// spend takes a request's units from its customer's ceiling, and judges what is left.
func (r *Referee) spend(now time.Duration, rec *record) {
	p := &r.s.Plans[rec.Plan]
	if p.CeilingRate == 0 {
		return
	}
	c := r.store(now, rec.Request)
	c.units -= rec.Units
	least := r.least(p)
	left := (c.units - least) / (p.CeilingBurst - least)
	r.nearest = min(r.nearest, left)
	if left < 1.0/3 && !c.low {
		c.low = true
		r.low++
	}
	if c.units < least {
		r.violate(now, Ceiling, rec.Gateway, rec, "customer %016x of plan %s is at %.1f units of its ceiling, under %.1f", rec.Customer, p.Name, c.units, least)
	}
}

// store returns the bucket of a customer, refilled up to now.
func (r *Referee) store(now time.Duration, q Request) *store {
	p := &r.s.Plans[q.Plan]
	c := r.customers[q.Customer]
	if c == nil {
		c = &store{units: p.CeilingBurst, at: now}
		r.customers[q.Customer] = c
	}
	c.units = min(p.CeilingBurst, c.units+p.CeilingRate*(now-c.at).Seconds())
	c.at = now
	return c
}

// least returns the permitted least units of a bucket, which is negative.
func (r *Referee) least(p *scenario.Plan) float64 {
	return -p.CeilingSlack - p.CeilingRate*ceilingFor.Seconds()
}
