package rules

import (
	"math"
	"testing"
)

// receiveUpload passes the gateway a request whose body is still arriving, and returns its ID and attempt.
func (harness *gatewayHarness) receiveUpload(class, plan int) (RequestID, Send) {
	harness.t.Helper()
	harness.nextID++
	actions := harness.handle(Request{ID: harness.nextID, Class: class, Plan: plan, Customer: 1, Units: 1, GatewayCount: 2,
		Deadline: harness.now + 2, BodyPending: true})
	return harness.nextID, onlyAction[Send](harness.t, actions)
}

// answerTimer returns the delay of the last timer for the answer to a request.
func answerTimer(t *testing.T, actions []Action, id RequestID) float64 {
	t.Helper()
	delay := -1.0
	for _, timer := range actionsOf[SetTimer](actions) {
		if timer.Token>>56 == timerAnswerBy && timer.Request == id {
			delay = timer.Delay
		}
	}
	if delay < 0 {
		t.Fatalf("no timer for the answer to request %d in %v", id, actions)
	}
	return delay
}

// Guards against the crash of a gateway whose reload dropped the class of a request while its body arrived.
func TestBodyCompletesAfterReloadDropsItsClassOrPlan(t *testing.T) {
	for name, test := range map[string]struct{ classes, plans int }{
		"class":          {classes: 1, plans: 2},
		"plan":           {classes: 2, plans: 1},
		"class and plan": {classes: 1, plans: 1},
	} {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			settings.Plans[1].Rate = 0
			harness := newHarness(t, settings, readyBackends(2)...)
			id, send := harness.receiveUpload(1, 1)
			next := testSettings()
			next.Classes, next.Plans = next.Classes[:test.classes], next.Plans[:test.plans]
			harness.handle(ApplySettings{Settings: next})
			actions := harness.handle(BodyComplete{Request: id, Deadline: harness.now + 3})
			if delay := answerTimer(t, actions, id); math.Abs(delay-settings.Classes[1].Aim) > 1e-6 {
				t.Errorf("answer due after %g s, want the aim of its class, %g s", delay, settings.Classes[1].Aim)
			}
			harness.now += 0.1
			harness.handle(AttemptEnd{Request: id, Backend: send.Backend, Outcome: Served, Done: true})
			if harness.gateway.inFlight != 0 || len(harness.gateway.requests) != 0 {
				t.Errorf("%d attempts and %d requests at the end, want none", harness.gateway.inFlight, len(harness.gateway.requests))
			}
		})
	}
}

// Guards against client timeouts of one class that are applied to another after a reload has moved classes.
func TestReloadKeepsClientTimeoutsOfClassesApart(t *testing.T) {
	settings := testSettings()
	settings.Plans[1].Rate = 0
	harness := newHarness(t, settings, readyBackends(2)...)
	const clientTimeout = 1.5 // of the upload's client, shorter than its class allows
	id, _ := harness.receiveUpload(0, 1)
	next := testSettings()
	next.Plans[1].Rate = 0
	next.Classes = append([]Class{{Aim: 0.5, Deadline: 4, Worth: 1}}, settings.Classes...)
	harness.handle(ApplySettings{Settings: next})
	for range 2 { // the usual client timeout of the added class becomes known
		newID := harness.request(0, 1, 2)
		send := onlyAction[Send](t, harness.last)
		harness.handle(AttemptEnd{Request: newID, Backend: send.Backend, Outcome: Served, Done: true})
	}
	actions := harness.handle(BodyComplete{Request: id, Deadline: harness.now + clientTimeout})
	if delay := answerTimer(t, actions, id); math.Abs(delay-settings.Classes[0].Aim) > 1e-6 {
		t.Errorf("answer due after %g s, want the aim of its class, %g s", delay, settings.Classes[0].Aim)
	}
	harness.nextID++
	retry := harness.handle(Request{ID: harness.nextID, Class: 0, Plan: 1, Customer: 3, Units: 1, GatewayCount: 2, Deadline: harness.now + clientTimeout})
	if refused := onlyAction[Refuse](t, retry); refused.Reason != RejectedTooLate {
		t.Errorf("a client retry of the added class whose aim is over was refused as %v, want %v", refused.Reason, RejectedTooLate)
	}
}

// Guards against quotas by the terms of another plan after a reload has moved plans: in the division of
// allowances between two processes, and in the state for a successor.
func TestReloadKeepsPlansOfCustomers(t *testing.T) {
	settings := testSettings()
	harness := newHarness(t, settings, readyBackends(2)...)
	harness.request(0, 0, 1)
	harness.request(0, 1, 2)
	next := testSettings()
	next.Plans = []Plan{{Name: "added", Price: 1, Rate: 500, Burst: 1000}, next.Plans[1], next.Plans[0]}
	harness.handle(ApplySettings{Settings: next})
	actions := harness.handle(Export{})
	plans := map[CustomerID]int{}
	for _, record := range onlyAction[Exported](t, actions).Snapshot.Customers {
		plans[record.ID] = record.Plan
	}
	if plans[1] != 2 || plans[2] != 1 {
		t.Errorf("exported with plans %v, want 2 for customer 1 and 1 for customer 2", plans)
	}
	harness.handle(SiblingAbsent)
	for customer, plan := range map[CustomerID]Plan{1: settings.Plans[0], 2: settings.Plans[1]} {
		if terms := harness.gateway.customers[customer].terms; terms.rate != plan.Rate {
			t.Errorf("customer %d has a rate of %g, want %g", customer, terms.rate, plan.Rate)
		}
	}
	// Customers of a dropped plan keep its terms, and a successor does not get their state.
	next.Plans = next.Plans[:2]
	harness.handle(ApplySettings{Settings: next})
	harness.handle(SiblingServing)
	if terms := harness.gateway.customers[1].terms; terms.rate != settings.Plans[0].Rate {
		t.Errorf("a customer of a dropped plan has a rate of %g, want %g", terms.rate, settings.Plans[0].Rate)
	}
	records := onlyAction[Exported](t, harness.handle(Export{})).Snapshot.Customers
	if len(records) != 1 || records[0].ID != 2 || records[0].Plan != 1 {
		t.Errorf("exported %+v, want customer 2 alone, with plan 1", records)
	}
}
