package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"dunlintray/internal/gateway"
	"dunlintray/internal/registry"
)

// drainCheck finds out whether gateways may still send requests to a backend whose lifecycle was changed.
type drainCheck struct {
	backend  string
	gateways []string // control addresses
	history  string   // of the list
	version  int64    // of the list that has the change
	coverage fleetCoverage
}

func newDrainCheck(backend string, gateways []string, history string, version int64) *drainCheck {
	return &drainCheck{backend: backend, gateways: gateways, history: history, version: version, coverage: fleetCoverage{ranks: map[int]bool{}}}
}

// await asks the gateways until one round finds all of them drained. A gateway that was drained may have
// been started anew from an older list while others were not, so the last round asks all. It returns no
// reasons if the backend is drained, or why that is not known when ctx ends.
func (d *drainCheck) await(ctx context.Context) (reasons []string) {
	for remaining := d.gateways; ; {
		all := len(remaining) == len(d.gateways)
		remaining, reasons = d.findUndrained(ctx, remaining)
		if len(remaining) == 0 {
			if missing := d.coverage.missing(); missing != "" {
				return []string{missing}
			}
			if all {
				return nil
			}
			remaining = d.gateways
			continue
		}
		select {
		case <-ctx.Done():
			return reasons
		case <-time.After(retryInterval):
		}
	}
}

// fleetCoverage records which gateways of a fleet have answered.
type fleetCoverage struct {
	fleetSize int // the largest that a gateway reports
	ranks     map[int]bool
}

// missing describes the gateways that were not asked, and so may still send to the backend. It
// returns an empty string if there are none.
func (f *fleetCoverage) missing() string {
	var missingRanks []int
	for rank := range f.fleetSize {
		if !f.ranks[rank] {
			missingRanks = append(missingRanks, rank)
		}
	}
	if len(missingRanks) == 0 {
		return ""
	}
	return fmt.Sprintf("the fleet has %d gateways; not named are ranks %v", f.fleetSize, missingRanks)
}

// findUndrained asks gateways concurrently and returns those that may still send to the
// backend, with a reason for each.
func (d *drainCheck) findUndrained(ctx context.Context, gateways []string) (remaining, reasons []string) {
	undrainedReasons, views := make([]string, len(gateways)), make([]gateway.BackendsView, len(gateways))
	done := make(chan struct{})
	for n, address := range gateways {
		go func() {
			defer func() { done <- struct{}{} }()
			text, _, err := callOnce(ctx, http.MethodGet, "http://"+address+"/control/backends?backend="+url.QueryEscape(d.backend), nil)
			if err == nil {
				err = json.Unmarshal(text, &views[n])
			}
			undrainedReasons[n] = d.undrainedReason(&views[n], err)
		}()
	}
	for range gateways {
		<-done
	}
	for n, address := range gateways {
		if view := &views[n]; view.Fleet > 0 {
			d.coverage.fleetSize = max(d.coverage.fleetSize, view.Fleet)
			d.coverage.ranks[view.Rank] = true
		}
		if undrainedReasons[n] != "" {
			remaining = append(remaining, address)
			reasons = append(reasons, address+": "+undrainedReasons[n])
		}
	}
	return remaining, reasons
}

// undrainedReason says why a gateway may still send to the backend, or returns an empty string.
func (d *drainCheck) undrainedReason(view *gateway.BackendsView, err error) string {
	switch {
	case err != nil:
		return fmt.Sprintf("no answer: %v", err)
	case view.SiblingRunning:
		return "a sibling process runs, and its requests in flight are unknown"
	case view.History != d.history:
		return fmt.Sprintf("its list has history %q, not %q", view.History, d.history)
	case view.Version < d.version:
		return fmt.Sprintf("its list has version %d, not %d", view.Version, d.version)
	}
	for _, backend := range view.Backends {
		switch {
		case backend.ID != d.backend && backend.Number != gateway.BackendNumber(d.backend):
		case backend.Lifecycle == registry.Ready:
			return "its list has the backend as Ready again"
		case backend.InFlight > 0:
			return fmt.Sprintf("%d requests are in flight there", backend.InFlight)
		}
	}
	return ""
}
