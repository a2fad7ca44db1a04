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

// maxLineBytes limits a line of the protocol between a run and its host processes.
const maxLineBytes = 64 << 20

// workload is the set of hollow gateways or backends of a process.
type workload interface {
	run(ctx context.Context, ready func(), changed func([]Change))
	execute(command Command)
	sample(sample *Sample)
	views() []View
	latency(changes []Change) *Latency
}

// RunHost runs a process of hollow gateways or backends. It reads its configuration and then
// commands from in, one per line, and writes reports to out. It returns when ctx is done or in
// ends, so that it does not outlive the program that started it.
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
		err = errors.New("scale-host: its configuration has neither gateways nor backends")
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

// readLine reads a line of at most maxLineBytes.
func readLine(in *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		part, more, err := in.ReadLine()
		if err != nil {
			return nil, err
		}
		if line = append(line, part...); len(line) > maxLineBytes {
			return nil, fmt.Errorf("protocol line exceeds %d bytes", maxLineBytes)
		}
		if !more {
			return line, nil
		}
	}
}

// reporter writes reports to a stream, one per line. It is safe for concurrent use.
type reporter struct {
	mu        sync.Mutex
	out       *json.Encoder
	onFailure func()
}

func (r *reporter) send(report Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.out.Encode(report) != nil {
		r.onFailure() // the reader has gone
	}
}

// heldBytes returns the size of heap and stacks after a garbage collection.
func heldBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC() // collects what the finalizers of the first run released
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

// fillUsage sets the resource usage of the process in sample.
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
