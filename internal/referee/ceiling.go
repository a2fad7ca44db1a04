package referee

import (
	"time"

	"dunlintray/internal/scenario"
)

// bucket is the token bucket of a customer's ceiling.
type bucket struct {
	units float64
	at    time.Duration
	low   bool // it has been under a third of its capacity

	requestedRemaining *float64 // units that would remain if all requests were forwarded; nil: not computed yet
	requestedAt        time.Duration
	counterChangedAt   time.Duration // value of Referee.counterChangedAt when requestedRemaining was set
	overRequested      bool          // requestedRemaining has been under the permitted minimum
}

// spendCeiling takes a request's units from its customer's ceiling, and judges what remains.
func (r *Referee) spendCeiling(now time.Duration, rec *record) {
	plan := &r.scenario.Plans[rec.Plan]
	if plan.CeilingRate == 0 {
		return
	}
	customer := r.customerBucket(now, rec.Request)
	customer.units -= rec.Units
	minimum := r.minUnits(plan)
	remaining := (customer.units - minimum) / (plan.CeilingBurst - minimum)
	r.minCeilingRemaining = min(r.minCeilingRemaining, remaining)
	if remaining < 1.0/3 && !customer.low {
		customer.low = true
		r.lowCustomers++
	}
	if customer.units < minimum {
		r.violate(now, Ceiling, rec.Gateway, rec, "customer %016x of plan %s has %.1f units of its ceiling left, under the minimum of %.1f", rec.Customer, plan.Name, customer.units, minimum)
	}
}

// customerBucket returns the bucket of a customer, refilled up to now.
func (r *Referee) customerBucket(now time.Duration, request Request) *bucket {
	plan := &r.scenario.Plans[request.Plan]
	customer := r.customers[request.Customer]
	if customer == nil {
		customer = &bucket{units: plan.CeilingBurst, at: now}
		r.customers[request.Customer] = customer
	}
	customer.units = min(plan.CeilingBurst, customer.units+plan.CeilingRate*(now-customer.at).Seconds())
	customer.at = now
	return customer
}

// minUnits returns the permitted minimum of a bucket in units, which is negative.
func (r *Referee) minUnits(plan *scenario.Plan) float64 {
	return -plan.CeilingSlack - plan.CeilingRate*ceilingSlackTime.Seconds()
}
