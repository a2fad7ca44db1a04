package main

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"dunlintray/internal/gateway"
	"dunlintray/internal/registry"
)

// scriptedGateway answers each question about its backends with the next view, and at last with the last.
type scriptedGateway struct {
	mu    sync.Mutex
	views []gateway.BackendsView
}

func (s *scriptedGateway) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	json.NewEncoder(w).Encode(s.views[0])
	if len(s.views) > 1 {
		s.views = s.views[1:]
	}
}

// A gateway that was drained and is then started anew from an older list must not count as drained, nor
// one that is asked once only while another is still busy.
func TestDrainedMeansAllGatewaysInOneRound(t *testing.T) {
	const version = 7
	view := func(rank int, listVersion int64, inFlight int) gateway.BackendsView {
		return gateway.BackendsView{Rank: rank, Fleet: 2, History: "h", Version: listVersion,
			Backends: []gateway.BackendWork{{ID: "b", Lifecycle: registry.Terminating, InFlight: inFlight}}}
	}
	drained, busy := view(1, version, 0), view(1, version, 1)
	for name, test := range map[string]struct {
		restarted []gateway.BackendsView
		reason    string // the backend is drained if empty
	}{
		"stays with an older list":  {[]gateway.BackendsView{view(0, version, 0), view(0, version-1, 0)}, "version 6"},
		"reads the new list":        {[]gateway.BackendsView{view(0, version, 0), view(0, version-1, 0), view(0, version, 0)}, ""},
		"is drained all the time":   {[]gateway.BackendsView{view(0, version, 0)}, ""},
		"has requests in the round": {[]gateway.BackendsView{view(0, version, 0), view(0, version, 1)}, "1 requests are in flight"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			restarted := httptest.NewServer(&scriptedGateway{views: test.restarted})
			defer restarted.Close()
			other := httptest.NewServer(&scriptedGateway{views: []gateway.BackendsView{busy, busy, drained}})
			defer other.Close()
			ctx, stop := context.WithTimeout(t.Context(), 2*time.Second)
			defer stop()
			check := newDrainCheck("b", []string{restarted.Listener.Addr().String(), other.Listener.Addr().String()}, "h", version)
			reasons := strings.Join(check.await(ctx), "\n")
			if test.reason == "" && reasons != "" || test.reason != "" && !strings.Contains(reasons, test.reason) {
				t.Errorf("reasons %q, want %q", reasons, test.reason)
			}
		})
	}
}
