package gateway

import (
	"fmt"
	"log/slog"
	"sync"
)

// resourceLimits divides the descriptors and the memory that the configuration allows. While
// two processes of a gateway run, each gets half. It is safe for concurrent use.
type resourceLimits struct {
	apply     func(resourcePlan)
	limitHeap func(bytes int64) // nil: the heap has no limit of its own

	mu             sync.Mutex
	config         *Config
	siblingRunning bool
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
	l.siblingRunning = running
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
	slog.Info("resources", "processes", processes, "plan", fmt.Sprintf("%+v", plan))
	l.apply(plan)
	if l.limitHeap != nil {
		l.limitHeap(plan.heap)
	}
}
