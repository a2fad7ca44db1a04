package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// mostLine is the longest line of what processes tell each other.
const maxLineBytes = 64 << 20

// hosted is what a process has: hollow gateways or backends.
type workload interface {
	run(ctx context.Context, ready func(), changed func([]Change))
	execute(c Command)
	sample(s *Sample)
	views() []View
	latency(changes []Change) *Latency
}

// RunHost is a process of hollow gateways or backends: it reads its configuration and
// then commands from in, a line each, and reports to out. It ends with ctx, or when in
// does, as it does when the program that started it has ended.
func RunHost(ctx context.Context, in io.Reader, out io.Writer) error {
	lines := bufio.NewReaderSize(in, 1<<16)
	text, err := readLine(lines)
	if err != nil {
		return fmt.Errorf("scale-host: its configuration: %w", err)
	}
	var config HostConfig
	if err := json.Unmarshal(text, &config); err != nil {
		return fmt.Errorf("scale-host: its configuration: %w", err)
	}
	empty := heldBytes()
	var h workload
	switch {
	case config.Gateways != nil:
		h, err = newGatewayFleet(config.Gateways)
	case config.Backends != nil:
		h, err = newBackendFleet(config.Backends, config.Seed)
	default:
		err = errors.New("scale-host: it has neither gateways nor backends")
	}
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	reports := &reporter{out: json.NewEncoder(out), onFailure: stop}
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	wg.Go(func() {
		h.run(ctx, func() { reports.send(Report{Ready: true}) }, func(changes []Change) { reports.send(Report{Changes: changes}) })
	})
	commands := make(chan Command)
	go func() {
		defer close(commands)
		for {
			text, err := readLine(lines)
			var c Command
			if err != nil || json.Unmarshal(text, &c) != nil {
				return
			}
			select {
			case commands <- c:
			case <-ctx.Done():
				return
			}
		}
	}()
	var changes []Change
	for {
		var c Command
		var ok bool
		select {
		case <-ctx.Done():
			return nil
		case c, ok = <-commands:
		}
		if !ok {
			return nil
		}
		changes = append(changes, c.Changes...)
		switch {
		case c.Sample != nil:
			s := Sample{BaselineBytes: empty}
			fillUsage(&s, c.Sample.Collect)
			h.sample(&s)
			reports.send(Report{Sample: &s})
		case c.Views:
			reports.send(Report{Views: h.views()})
		case c.Latency:
			reports.send(Report{Latency: h.latency(changes)})
			changes = nil
		default:
			h.execute(c)
		}
	}
}

// readLine reads a line of bounded length.
func readLine(in *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		part, more, err := in.ReadLine()
		if err != nil {
			return nil, err
		}
		if line = append(line, part...); len(line) > maxLineBytes {
			return nil, fmt.Errorf("a line of over %d bytes", maxLineBytes)
		}
		if !more {
			return line, nil
		}
	}
}

// reporter writes reports, whole lines each.
type reporter struct {
	mu        sync.Mutex
	out       *json.Encoder
	onFailure func()
}

func (r *reporter) send(report Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.out.Encode(report) != nil {
		r.onFailure() // nobody listens any more
	}
}

// held is what the process holds after a collection: heap and stacks.
func heldBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC() // what finalizers let go
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// use fills in what the process has used.
func fillUsage(s *Sample, collect bool) {
	if collect {
		runtime.GC()
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	s.Mallocs, s.AllocatedBytes, s.HeapBytes, s.StackBytes = m.Mallocs, m.TotalAlloc, m.HeapAlloc, m.StackInuse
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) == nil {
		s.CPU = time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	}
	if u, err := readUsage("self"); err == nil {
		s.ReadBytes, s.WrittenBytes = u.ReadBytes, u.WrittenBytes
	}
}
