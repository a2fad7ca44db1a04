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

	"dunlintray/internal/wire"
	"dunlintray/rules"
)

// classCounts are the final answers to the requests of one class.
type classCounts struct {
	name                        string
	passed, dropped, badGateway atomic.Int64
}

// transferMetrics are the bodies that pass through in one direction.
type transferMetrics struct {
	streaming atomic.Int64 // that go on before they are whole
	bytes     atomic.Int64 // of all bodies
	ended     [len(transferCauseNames)]atomic.Int64
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
	cancelledByGateway // by the gateway: its request was over, or answered before the body had come
	bodyTooLong
	noMemory
)

var transferCauseNames = [...]string{"whole", "client_left", "client_slow", "backend_broke", "backend_slow", "called_off",
	"too_long", "no_memory"}

// recordEnd counts a transfer that has ended, and writes a line of one that is not
// whole.
func (t *transferMetrics) recordEnd(why transferCause, id string, err error) {
	t.ended[why].Add(1)
	if why != transferComplete && t.logLimit.allow() {
		slog.Info("body not whole", "id", id, "cause", transferCauseNames[why], "error", err)
	}
}

// timeoutCause tells a peer that was given up from one that broke.
func timeoutCause(err error, slow, broke transferCause) transferCause {
	if errors.Is(err, net.ErrClosed) {
		return cancelledByGateway
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return slow
	}
	return broke
}

// clientBodyCause is why a body of a client ended.
func clientBodyCause(err error) transferCause {
	switch {
	case errors.Is(err, errTransferAborted):
		return cancelledByGateway
	case errors.Is(err, errBodyTooLong):
		return bodyTooLong
	}
	return timeoutCause(err, clientSlow, clientLeft)
}

// metrics is what a gateway tells its operators. Each is counted once, by who
// owns the event, and read without a lock that requests wait for.
type metrics struct {
	attempts                       atomic.Int64 // attempts written whole
	retries                        atomic.Int64 // attempts begun behind a request's first
	rejected                       [rules.ReasonCount]atomic.Int64
	loads, loadErrors              atomic.Int64    // configurations taken and turned down
	inProgress                     atomic.Int64    // requests taken and not ended
	knownBackends, skippedBackends atomic.Int64    // backends
	uploads, downloads             transferMetrics // bodies to backends and to clients
	bodyBudget                     budget          // of all bodies
	subset                         *subsetMetrics
	clients                        *clientListener // their connections; nil before they are served

	mu      sync.Mutex // of the list, not of the counts
	classes []*classCounts
}

func newMetrics(c *Config) *metrics {
	f := &metrics{bodyBudget: budget{total: bodyMemory(c.MemoryMB)}}
	if c.Scopes.subset.Enabled() {
		f.subset = &subsetMetrics{}
	}
	return f
}

// newService puts the counts of its classes beside a deployment. A class that
// comes back goes on with the counts it had.
func (f *metrics) newService(d wire.Deployment, mostBody int64) *serviceConfig {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := &serviceConfig{Deployment: d, maxBodyBytes: mostBody}
	for _, name := range d.ClassNames {
		s.counts = append(s.counts, f.countsOf(name))
	}
	return s
}

func (f *metrics) countsOf(name string) *classCounts {
	for _, c := range f.classes {
		if c.name == name {
			return c
		}
	}
	c := &classCounts{name: name}
	f.classes = append(f.classes, c)
	return c
}

// write puts the figures out, a line each.
func (f *metrics) write(w io.Writer) {
	f.mu.Lock()
	classes := f.classes[:len(f.classes):len(f.classes)]
	f.mu.Unlock()
	line := func(name string, n *atomic.Int64, kind string) {
		fmt.Fprintf(w, "app.%s:%d|%s\n", name, n.Load(), kind)
	}
	for _, c := range classes {
		line("handled."+c.name+".passed", &c.passed, "c")
		line("handled."+c.name+".dropped", &c.dropped, "c")
		line("handled."+c.name+".bad_gateway", &c.badGateway, "c")
	}
	line("upstream_tries", &f.attempts, "c")
	line("retries", &f.retries, "c")
	for reason := range f.rejected {
		line("rejected."+rules.Reason(reason).String(), &f.rejected[reason], "c")
	}
	line("loads", &f.loads, "c")
	line("load_errors", &f.loadErrors, "c")
	line("in_progress", &f.inProgress, "g")
	line("known_backends", &f.knownBackends, "g")
	line("skipped_backends", &f.skippedBackends, "g")
	for name, t := range map[string]*transferMetrics{"up": &f.uploads, "down": &f.downloads} {
		line("transfers."+name+".open", &t.streaming, "g")
		line("transfers."+name+".bytes", &t.bytes, "c")
		for c := range t.ended {
			line("transfers."+name+".ended."+transferCauseNames[c], &t.ended[c], "c")
		}
	}
	f.subset.write(w)
	f.clients.writeMetrics(w)
	used, most := f.bodyBudget.usage()
	fmt.Fprintf(w, "app.transfers.memory:%d|g\napp.transfers.memory_most:%d|g\n", used, most)
}

// serviceConfig is the deployment in force from one load of the configuration to the
// next. A request keeps the one it was read under.
type serviceConfig struct {
	wire.Deployment
	maxBodyBytes int64          // bytes that a client may send in one body; 0: any number
	counts       []*classCounts // by class
}
