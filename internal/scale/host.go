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
	baseline := heldBytes()
	var hosted workload
	switch {
	case config.Gateways != nil:
		hosted, err = newGatewayFleet(config.Gateways)
	case config.Backends != nil:
		hosted, err = newBackendFleet(config.Backends, config.Seed)
	default:
		err = errors.New("scale-host: it has neither gateways nor backends")
	}
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	reports := &reporter{out: json.NewEncoder(out), onFailure: cancel}
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() {
		hosted.run(ctx, func() { reports.send(Report{Ready: true}) }, func(changes []Change) { reports.send(Report{Changes: changes}) })
	})
	commands := make(chan Command)
	go func() {
		defer close(commands)
		for {
			text, err := readLine(lines)
			var command Command
			if err != nil || json.Unmarshal(text, &command) != nil {
				return
			}
			select {
			case commands <- command:
			case <-ctx.Done():
				return
			}
		}
	}()
	var changes []Change
	for {
		var command Command
		var ok bool
		select {
		case <-ctx.Done():
			return nil
		case command, ok = <-commands:
		}
		if !ok {
			return nil
		}
		changes = append(changes, command.Changes...)
		switch {
		case command.Sample != nil:
			sample := Sample{BaselineBytes: baseline}
			fillUsage(&sample, command.Sample.Collect)
			hosted.sample(&sample)
			reports.send(Report{Sample: &sample})
		case command.Views:
			reports.send(Report{Views: hosted.views()})
		case command.Latency:
			reports.send(Report{Latency: hosted.latency(changes)})
			changes = nil
		default:
			hosted.execute(command)
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
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC() // what finalizers let go
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

// use fills in what the process has used.
func fillUsage(sample *Sample, collect bool) {
	if collect {
		runtime.GC()
		runtime.GC()
	}
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	sample.Mallocs, sample.AllocatedBytes, sample.HeapBytes, sample.StackBytes = stats.Mallocs, stats.TotalAlloc, stats.HeapAlloc, stats.StackInuse
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) == nil {
		sample.CPU = time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	}
	if processUsage, err := readUsage("self"); err == nil {
		sample.ReadBytes, sample.WrittenBytes = processUsage.ReadBytes, processUsage.WrittenBytes
	}
}
