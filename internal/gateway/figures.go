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

// transfers are the bodies that pass through in one direction.
type transfers struct {
	open  atomic.Int64 // that go on before they are whole
	bytes atomic.Int64 // of all bodies
	ended [len(causeNames)]atomic.Int64
	lines logLimiter
}

// cause is why a transfer ended.
type cause int

const (
	endedWhole cause = iota
	clientLeft
	clientSlow
	backendBroke
	backendSlow
	calledOff // by the gateway: its request was over, or answered before the body had come
	bodyTooLong
	noMemory
)

var causeNames = [...]string{"whole", "client_left", "client_slow", "backend_broke", "backend_slow", "called_off",
	"too_long", "no_memory"}

// end counts a transfer that has ended, and writes a line of one that is not
// whole.
func (t *transfers) end(why cause, id string, err error) {
	t.ended[why].Add(1)
	if why != endedWhole && t.lines.allow() {
		slog.Info("body not whole", "id", id, "cause", causeNames[why], "error", err)
	}
}

// slowOr tells a peer that was given up from one that broke.
func slowOr(err error, slow, broke cause) cause {
	if errors.Is(err, net.ErrClosed) {
		return calledOff
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return slow
	}
	return broke
}

// bodyCause is why a body of a client ended.
func bodyCause(err error) cause {
	switch {
	case errors.Is(err, errCutShort):
		return calledOff
	case errors.Is(err, errTooLong):
		return bodyTooLong
	}
	return slowOr(err, clientSlow, clientLeft)
}

// figures is what a gateway tells its operators. Each is counted once, by who
// owns the event, and read without a lock that requests wait for.
type figures struct {
	tries             atomic.Int64 // attempts written whole
	retries           atomic.Int64 // attempts begun behind a request's first
	rejected          [rules.ReasonCount]atomic.Int64
	loads, loadErrors atomic.Int64 // configurations taken and turned down
	inProgress        atomic.Int64 // requests taken and not ended
	known, skipped    atomic.Int64 // backends
	up, down          transfers    // bodies to backends and to clients
	bodies            budget       // of all bodies
	subset            *subsetMetrics
	clients           *clients // their connections; nil before they are served

	mu      sync.Mutex // of the list, not of the counts
	classes []*classCounts
}

func newFigures(c *Config) *figures {
	f := &figures{bodies: budget{total: bodyMemory(c.MemoryMB)}}
	if c.Scopes.subset.On() {
		f.subset = &subsetMetrics{}
	}
	return f
}

// service puts the counts of its classes beside a deployment. A class that
// comes back goes on with the counts it had.
func (f *figures) service(d wire.Deployment, mostBody int64) *service {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := &service{Deployment: d, mostBody: mostBody}
	for _, name := range d.ClassNames {
		s.counts = append(s.counts, f.class(name))
	}
	return s
}

func (f *figures) class(name string) *classCounts {
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
func (f *figures) write(w io.Writer) {
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
	line("upstream_tries", &f.tries, "c")
	line("retries", &f.retries, "c")
	for reason := range f.rejected {
		line("rejected."+rules.Reason(reason).String(), &f.rejected[reason], "c")
	}
	line("loads", &f.loads, "c")
	line("load_errors", &f.loadErrors, "c")
	line("in_progress", &f.inProgress, "g")
	line("known_backends", &f.known, "g")
	line("skipped_backends", &f.skipped, "g")
	for name, t := range map[string]*transfers{"up": &f.up, "down": &f.down} {
		line("transfers."+name+".open", &t.open, "g")
		line("transfers."+name+".bytes", &t.bytes, "c")
		for c := range t.ended {
			line("transfers."+name+".ended."+causeNames[c], &t.ended[c], "c")
		}
	}
	f.subset.write(w)
	f.clients.write(w)
	used, most := f.bodies.usage()
	fmt.Fprintf(w, "app.transfers.memory:%d|g\napp.transfers.memory_most:%d|g\n", used, most)
}

// service is the deployment in force from one load of the configuration to the
// next. A request keeps the one it was read under.
type service struct {
	wire.Deployment
	mostBody int64          // bytes that a client may send in one body; 0: any number
	counts   []*classCounts // by class
}
