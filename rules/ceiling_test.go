package rules

import "testing"

// Guards against a customer that passes its ceiling by estimating more units than its requests take: the
// difference is returned to its quota, but not to its ceiling.
func TestCeilingCountsEstimatedUnits(t *testing.T) {
	for name, test := range map[string]struct{ ceiling, estimate, actual, want float64 }{
		"less than estimated, under a ceiling": {29, 4, 1, 0},
		"more than estimated, under a ceiling": {29, 1, 4, -3},
		"less than estimated, no ceiling":      {0, 4, 1, 3},
		"more than estimated, no ceiling":      {0, 1, 4, -3},
	} {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			settings.UnitsEstimated, settings.MaxUnits = true, 4
			settings.Plans[1].CeilingRate, settings.Plans[1].CeilingBurst, settings.Plans[1].CeilingSlack = test.ceiling, 4*test.ceiling, test.ceiling
			harness := newHarness(t, settings, readyBackends(2)...)
			harness.nextID++
			actions := harness.handle(Request{ID: harness.nextID, Plan: 1, Customer: 1, Units: test.estimate, GatewayCount: 2, Deadline: harness.now + 2})
			harness.answerCalls(actions)
			before := harness.gateway.customers[1].leasedUnits
			harness.now += 0.01
			harness.handle(AttemptEnd{Request: harness.nextID, Outcome: Served, Took: 0.01, Units: test.actual})
			if change := harness.gateway.customers[1].leasedUnits - before; change != test.want {
				t.Errorf("the lease changed by %g units, want %g", change, test.want)
			}
		})
	}
}

// Estimates that are right on average cost a customer nothing: what is deducted for one request is returned
// with another, within the tolerated excess over the ceiling.
func TestCeilingReturnsDeductedUnits(t *testing.T) {
	quota := &customerQuota{plan: &Plan{CeilingRate: 29, CeilingSlack: 10}, gateways: 2}
	const limit = 5.0 // of the two gateways, each may return half of the slack
	sum := 0.0
	for _, step := range []struct{ excess, want float64 }{{3, 3}, {-2, -2}, {-2, -1}, {-1, 0}, {4, 4}, {4, 4}, {-8, -limit}, {-1, 0}} {
		got := quota.settleUnderCeiling(step.excess, 1)
		if sum += got; got != step.want || sum < 0 {
			t.Errorf("an excess of %g changed the lease by %g, want %g; %g in all, want at least 0", step.excess, got, step.want, sum)
		}
	}
	overdrawn := &customerQuota{plan: quota.plan, gateways: 2, terms: quotaTerms{mayOverdraw: true}}
	overdrawn.settleUnderCeiling(3, 1)
	if got := overdrawn.settleUnderCeiling(-3, 1); got != 0 {
		t.Errorf("%g units were returned where the slack is used for overdrafts", got)
	}
}
