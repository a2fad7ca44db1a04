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
func (e *engine) pollConnectivity(ctx context.Context, g int) {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if v, ok := e.connectivity(ctx, g); ok && v.On && !v.Superseded {
			present := make([]bool, len(v.Members))
			for i, m := range v.Members {
				present[i] = m.State == membership.Alive.String() || m.State == membership.Suspect.String()
			}
			e.post(world.Connectivity{Gateway: g, State: v.State, Reason: v.Reason, Present: present})
		}
	}
}

// connectivity requests the members view of a gateway once.
func (e *engine) connectivity(ctx context.Context, g int) (v gateway.MembersView, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	at := e.addresses.control(g)
	if r := e.linkRelays[world.ProcessLink{From: world.Endpoint{Kind: scenario.Operators}, To: world.Endpoint{Kind: scenario.Gateways, Number: g}}]; r != nil {
		at = r.Address()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at+"/control/members", nil)
	if err != nil {
		return v, false
	}
	resp, err := e.http.Do(req)
	if err != nil {
		return v, false
	}
	defer resp.Body.Close()
	err = json.NewDecoder(io.LimitReader(resp.Body, maxMembersBytes)).Decode(&v)
	return v, err == nil && resp.StatusCode == http.StatusOK && v.State != ""
}
