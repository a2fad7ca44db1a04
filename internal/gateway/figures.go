package gateway

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"linnetbend/internal/wire"
)

// classCounts are the final answers to the requests of one class.
type classCounts struct {
	name                        string
	passed, dropped, badGateway atomic.Int64
}

// figures is what a gateway tells its operators. Each is counted once, by who
// owns the event, and read without a lock that requests wait for.
type figures struct {
	tries             atomic.Int64 // attempts written whole
	loads, loadErrors atomic.Int64 // configurations taken and turned down
	inProgress        atomic.Int64 // requests taken and not ended
	known, skipped    atomic.Int64 // backends

	mu      sync.Mutex // of the list, not of the counts
	classes []*classCounts
}

// service puts the counts of its classes beside a deployment. A class that
// comes back goes on with the counts it had.
func (f *figures) service(d wire.Deployment) *service {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := &service{Deployment: d}
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
	line("loads", &f.loads, "c")
	line("load_errors", &f.loadErrors, "c")
	line("in_progress", &f.inProgress, "g")
	line("known_backends", &f.known, "g")
	line("skipped_backends", &f.skipped, "g")
}

// service is the deployment in force from one load of the configuration to the
// next. A request keeps the one it was read under.
type service struct {
	wire.Deployment
	counts []*classCounts // by class
}
