package scale

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// snapshot is what all processes have used up to a moment.
type snapshot struct {
	at           time.Time
	version      int64  // of the writer's list
	writer       string // name of the member that answers writes
	services     []serviceUsage
	gateways     []hostUsage
	backends     []hostUsage
	realGateways []ResourceUsage
}

// serviceUse is a list service's; one that is down has no counters.
type serviceUsage struct {
	ResourceUsage
	counters map[string]int64
}

type hostUsage struct {
	ResourceUsage
	*Sample
}

func (r *runner) snapshot(ctx context.Context, collect bool) (*snapshot, error) {
	s := &snapshot{at: time.Now(), writer: r.writerName()}
	for n, p := range r.services {
		u := serviceUsage{p.usage(), r.counters(ctx, r.plan.Services[n].Control)}
		s.version = max(s.version, u.counters["version"])
		s.services = append(s.services, u)
	}
	for _, p := range r.realGateways {
		s.realGateways = append(s.realGateways, p.usage())
	}
	for _, group := range []struct {
		hosts []*host
		into  *[]hostUsage
	}{{r.gateways, &s.gateways}, {r.backends, &s.backends}} {
		for _, h := range group.hosts {
			sample, err := h.readSample(collect)
			if err != nil {
				return nil, err
			}
			*group.into = append(*group.into, hostUsage{h.usage(), sample})
		}
	}
	return s, nil
}

// counters reads a list service's, by their names.
func (r *runner) counters(ctx context.Context, control string) map[string]int64 {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+control+"/control/counters", nil)
	if err != nil {
		return nil
	}
	resp, err := r.http.Do(req)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxTextBytes))
	if err != nil {
		return nil
	}
	return parseCounters(string(text))
}

// parseCounters reads lines "registry.NAME:NUMBER|KIND".
func parseCounters(text string) map[string]int64 {
	all := map[string]int64{}
	for line := range strings.Lines(text) {
		name, value, found := strings.Cut(strings.TrimPrefix(line, "registry."), ":")
		var n int64
		if !found {
			continue
		}
		if _, err := fmt.Sscan(strings.SplitN(value, "|", 2)[0], &n); err == nil {
			all[name] = n
		}
	}
	return all
}
