package gateway

import (
	"fmt"
	"log/slog"
	"sync"
)

// resourceLimits divides the descriptors and the memory that the configuration allows. While
// two processes of a gateway run, each gets half, and once one of them accepts no more clients the other
// takes what that gives up. It is safe for concurrent use.
type resourceLimits struct {
	apply     func(resourcePlan)
	limitHeap func(bytes int64) // nil: the heap has no limit of its own

	mu             sync.Mutex
	config         *Config
	siblingRunning bool
	kept           *resourceShare // by this process, which accepts no more clients; nil: its half
	siblingKept    *resourceShare // by the sibling process, which accepts no more clients; nil: its half
}

// newResourceLimits returns the limits of a process without a sibling, and applies them.
func newResourceLimits(config *Config, apply func(resourcePlan)) *resourceLimits {
	limits := &resourceLimits{config: config, apply: apply, limitHeap: config.LimitHeap}
	limits.divide()
	return limits
}

// setSiblingRunning sets whether a sibling process runs. It returns once this process holds no more
// unused memory than its part.
func (l *resourceLimits) setSiblingRunning(running bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.siblingRunning == running {
		return
	}
	l.siblingRunning, l.kept, l.siblingKept = running, nil, nil
	l.divide()
}

// giveUp reduces the part of this process, which accepts no more clients, to what is in use. It returns the
// part and whether it has changed, once this process holds no more unused memory than that. It does nothing
// without a sibling process.
func (l *resourceLimits) giveUp(inUse resourceShare) (kept resourceShare, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.siblingRunning {
		return resourceShare{}, false
	}
	plan := l.config.resourcePlan(2)
	kept = plan.shareInUse(inUse)
	if l.kept != nil {
		kept = kept.atMost(*l.kept)
	}
	if l.kept != nil && kept == *l.kept || l.kept == nil && kept == plan.share() {
		return kept, false
	}
	l.kept = &kept
	l.divide()
	return kept, true
}

// setSiblingShare lets this process take what the sibling process does not keep.
func (l *resourceLimits) setSiblingShare(kept resourceShare) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.siblingRunning {
		return
	}
	l.siblingKept = &kept
	l.divide()
}

// setConfig sets the configuration that the limits come from.
func (l *resourceLimits) setConfig(config *Config) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.config = config
	l.divide()
}

// divide applies the limits of this process. The caller holds mu.
func (l *resourceLimits) divide() {
	processes := 1
	if l.siblingRunning {
		processes = 2
	}
	plan := l.config.resourcePlan(processes)
	switch {
	case l.kept != nil:
		plan = plan.withShare(l.kept.atMost(plan.share()))
	case l.siblingKept != nil:
		plan = plan.withShare(plan.beside(*l.siblingKept))
	}
	slog.Info("resources", "processes", processes, "plan", fmt.Sprintf("%+v", plan))
	l.apply(plan)
	if l.limitHeap != nil {
		l.limitHeap(plan.heap)
	}
}
