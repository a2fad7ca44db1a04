package scale

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// snapshot is the cumulative resource usage of all processes at a point in time.
type snapshot struct {
	at           time.Time
	version      int64  // of the writer's list
	writer       string // name of the member that accepts writes
	services     []serviceUsage
	gateways     []hostUsage
	backends     []hostUsage
	realGateways []ResourceUsage
}

// serviceUsage is the usage of a registry process; counters is nil if the process does not
// answer.
type serviceUsage struct {
	ResourceUsage
	counters map[string]int64
}

type hostUsage struct {
	ResourceUsage
	*Sample
}

func (r *runner) snapshot(ctx context.Context, collect bool) (*snapshot, error) {
	taken := &snapshot{at: time.Now(), writer: r.writerName()}
	for n, p := range r.services {
		usage := serviceUsage{p.usage(), r.counters(ctx, r.plan.Services[n].Control)}
		taken.version = max(taken.version, usage.counters["version"])
		taken.services = append(taken.services, usage)
	}
	for _, p := range r.realGateways {
		taken.realGateways = append(taken.realGateways, p.usage())
	}
	for _, group := range []struct {
		hosts []*host
		into  *[]hostUsage
	}{{r.gateways, &taken.gateways}, {r.backends, &taken.backends}} {
		for _, source := range group.hosts {
			sample, err := source.readSample(collect)
			if err != nil {
				return nil, err
			}
			*group.into = append(*group.into, hostUsage{source.usage(), sample})
		}
	}
	return taken, nil
}

// counters reads the counters of a registry process, by name. It returns nil if the process
// does not answer.
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

// parseCounters parses lines "registry.NAME:NUMBER|KIND".
func parseCounters(text string) map[string]int64 {
	counters := map[string]int64{}
	for line := range strings.Lines(text) {
		name, value, found := strings.Cut(strings.TrimPrefix(line, "registry."), ":")
		var parsed int64
		if !found {
			continue
		}
		if _, err := fmt.Sscan(strings.SplitN(value, "|", 2)[0], &parsed); err == nil {
			counters[name] = parsed
		}
	}
	return counters
}
