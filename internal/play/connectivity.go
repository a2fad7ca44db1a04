package play

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"dunlintray/internal/gateway"
	"dunlintray/internal/membership"
	"dunlintray/internal/scenario"
	"dunlintray/internal/world"
)

const (
	pollInterval    = 500 * time.Millisecond // between two polls of a gateway
	pollTimeout     = 300 * time.Millisecond // a frozen gateway does not answer
	maxMembersBytes = 1 << 20                // of a gateway's response
)

// pollConnectivity polls a gateway, as an operator would, for its connectivity and the members
// that it holds present, and reports the answers to the emulator, until ctx ends.
func (e *engine) pollConnectivity(ctx context.Context, number int) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if view, ok := e.connectivity(ctx, number); ok && view.On && !view.Superseded {
			present := make([]bool, len(view.Members))
			for i, member := range view.Members {
				present[i] = member.State == membership.Alive.String() || member.State == membership.Suspect.String()
			}
			e.post(world.Connectivity{Gateway: number, State: view.State, Reason: view.Reason, Present: present})
		}
	}
}

// connectivity requests the members view of a gateway once.
func (e *engine) connectivity(ctx context.Context, number int) (view gateway.MembersView, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	address := e.addresses.control(number)
	if relay := e.linkRelays[world.ProcessLink{From: world.Endpoint{Kind: scenario.Operators}, To: world.Endpoint{Kind: scenario.Gateways, Number: number}}]; relay != nil {
		address = relay.Address()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/control/members", nil)
	if err != nil {
		return view, false
	}
	resp, err := e.http.Do(req)
	if err != nil {
		return view, false
	}
	defer resp.Body.Close()
	err = json.NewDecoder(io.LimitReader(resp.Body, maxMembersBytes)).Decode(&view)
	return view, err == nil && resp.StatusCode == http.StatusOK && view.State != ""
}
