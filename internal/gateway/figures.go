package gateway

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"

	"dunlintray/internal/gateway/body"
	"dunlintray/internal/wire"
	"dunlintray/rules"
)

// classCounts counts the final answers to the requests of one class.
type classCounts struct {
	name                        string
	passed, dropped, badGateway atomic.Int64
}

// transferMetrics describes the bodies that are forwarded in one direction.
type transferMetrics struct {
	streaming atomic.Int64 // bodies forwarded now while they are still being received
	bytes     atomic.Int64
	ended     [len(transferCauseNames)]atomic.Int64 // streamed bodies by transferCause
	logLimit  logLimiter
}

// transferCause is why a transfer ended.
type transferCause int

const (
	transferComplete transferCause = iota
	clientLeft
	clientSlow
	backendBroken
	backendSlow
	cancelledByGateway // the request ended, or was answered before its body was complete
	bodyTooLong
	noMemory
)

var transferCauseNames = [...]string{"whole", "client_left", "client_slow", "backend_broke", "backend_slow", "called_off",
	"too_long", "no_memory"}

// recordEnd counts a transfer that has ended, and logs it if it is incomplete.
func (t *transferMetrics) recordEnd(cause transferCause, id string, err error) {
	t.ended[cause].Add(1)
	if cause != transferComplete && t.logLimit.allow() {
		slog.Info("body not whole", "id", id, "cause", transferCauseNames[cause], "error", err)
	}
}

// timeoutCause returns slow for an error of a deadline, broken for one of the connection, and
// cancelledByGateway if the gateway closed the connection itself.
func timeoutCause(err error, slow, broken transferCause) transferCause {
	if errors.Is(err, net.ErrClosed) {
		return cancelledByGateway
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return slow
	}
	return broken
}

// clientBodyCause returns the cause of an error of reading a client's body.
func clientBodyCause(err error) transferCause {
	switch {
	case errors.Is(err, errTransferAborted):
		return cancelledByGateway
	case errors.Is(err, errBodyTooLong):
		return bodyTooLong
	}
	return timeoutCause(err, clientSlow, clientLeft)
}

// metrics holds the gateway's metrics. Each is counted in one place, and read without a lock that
// requests wait for.
type metrics struct {
	attempts                       atomic.Int64 // attempts whose request was written completely
	retries                        atomic.Int64 // attempts started after a request's first one
	overloaded                     atomic.Int64 // requests rejected since as many as allowed were in progress
	pacedAnswers                   atomic.Int64 // local answers that were delayed
	rejected                       [rules.ReasonCount]atomic.Int64
	loads, loadErrors              atomic.Int64    // configuration reloads applied and rejected
	inProgress                     atomic.Int64    // requests accepted and not ended
	openAttempts                   atomic.Int64    // attempts that have not ended
	knownBackends, skippedBackends atomic.Int64    // skipped ones get no requests now
	uploads, downloads             transferMetrics // to backends and to clients
	bodies                         *body.Account   // memory of all bodies
	subset                         *subsetMetrics  // nil: the gateway uses all backends
	clients                        *clientListener // nil before clients are served

	mu      sync.Mutex // guards the slice, not the counts
	classes []*classCounts
}

func newMetrics(config *Config) *metrics {
	m := &metrics{bodies: body.NewAccount(config.resourcePlan(1).bodies)}
	if config.Scopes.subset.Enabled() {
		m.subset = &subsetMetrics{}
	}
	return m
}

// resourcesInUse returns what clients make the gateway hold now.
func (m *metrics) resourcesInUse() resourceShare {
	bodies, _ := m.bodies.Usage()
	return resourceShare{ClientConns: m.clients.counts().Open, Attempts: int(m.openAttempts.Load()),
		Requests: int(m.inProgress.Load()), Bodies: bodies}
}

// newService returns the settings of a deployment with the counts of its classes. A class that
// was removed and is added again keeps its earlier counts.
func (m *metrics) newService(deployment wire.Deployment, maxBodyBytes int64) *serviceConfig {
	m.mu.Lock()
	defer m.mu.Unlock()
	service := &serviceConfig{Deployment: deployment, maxBodyBytes: maxBodyBytes}
	for _, name := range deployment.ClassNames {
		service.counts = append(service.counts, m.countsOf(name))
	}
	return service
}

// countsOf returns the counts of a class. The caller must hold the lock.
func (m *metrics) countsOf(name string) *classCounts {
	for _, counts := range m.classes {
		if counts.name == name {
			return counts
		}
	}
	counts := &classCounts{name: name}
	m.classes = append(m.classes, counts)
	return counts
}

// write writes the metrics, one per line.
func (m *metrics) write(w io.Writer) {
	m.mu.Lock()
	classes := m.classes[:len(m.classes):len(m.classes)]
	m.mu.Unlock()
	line := func(name string, value *atomic.Int64, kind string) {
		fmt.Fprintf(w, "app.%s:%d|%s\n", name, value.Load(), kind)
	}
	for _, class := range classes {
		line("handled."+class.name+".passed", &class.passed, "c")
		line("handled."+class.name+".dropped", &class.dropped, "c")
		line("handled."+class.name+".bad_gateway", &class.badGateway, "c")
	}
	line("upstream_tries", &m.attempts, "c")
	line("retries", &m.retries, "c")
	line("overloaded", &m.overloaded, "c")
	line("paced_answers", &m.pacedAnswers, "c")
	for reason := range m.rejected {
		line("rejected."+rules.Reason(reason).String(), &m.rejected[reason], "c")
	}
	line("loads", &m.loads, "c")
	line("load_errors", &m.loadErrors, "c")
	line("in_progress", &m.inProgress, "g")
	line("open_attempts", &m.openAttempts, "g")
	line("known_backends", &m.knownBackends, "g")
	line("skipped_backends", &m.skippedBackends, "g")
	for direction, transfers := range map[string]*transferMetrics{"up": &m.uploads, "down": &m.downloads} {
		line("transfers."+direction+".open", &transfers.streaming, "g")
		line("transfers."+direction+".bytes", &transfers.bytes, "c")
		for cause := range transfers.ended {
			line("transfers."+direction+".ended."+transferCauseNames[cause], &transfers.ended[cause], "c")
		}
	}
	m.subset.write(w)
	m.clients.writeMetrics(w)
	used, peak := m.bodies.Usage()
	fmt.Fprintf(w, "app.transfers.memory:%d|g\napp.transfers.memory_most:%d|g\n", used, peak)
	for kind, bytes := range m.bodies.Held() {
		fmt.Fprintf(w, "app.transfers.memory.%s:%d|g\n", body.Kind(kind), bytes)
	}
}

// serviceConfig holds the settings that one load of the configuration made active. It does not
// change; a request keeps the one that was active when it arrived.
type serviceConfig struct {
	wire.Deployment
	maxBodyBytes int64          // limit of one client's body; 0: none
	counts       []*classCounts // by class number
}
