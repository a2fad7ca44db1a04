// Command gateway runs one gateway. EDGE_CONFIG or --config names its configuration file, and
// EDGE_CONTROL overrides its control address. SIGHUP reloads the configuration; SIGTERM and SIGINT
// shut the gateway down once it has answered the requests in progress.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"log"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"dunlintray/internal/command"
	"dunlintray/internal/gateway"
)

// gcPercent is the growth of the heap between collections. The heap is small compared to its limit.
const gcPercent = 400

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := run(ctx); err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "gateway:", err)
		os.Exit(1)
	}
}

// run reads the configuration and runs the gateway until ctx ends and the shutdown is complete.
func run(ctx context.Context) error {
	hangups := make(chan os.Signal, 1) // one pending signal is enough for any number of them
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	options, err := command.Parse("gateway", "EDGE_CONFIG", os.Args[1:], os.Stderr)
	if err != nil {
		return err
	}
	config, err := gateway.ReadConfig(options.Config)
	if err != nil {
		return err
	}
	if options.Check {
		fmt.Println(options.Config, "is good")
		return nil
	}
	if address := os.Getenv("EDGE_CONTROL"); address != "" {
		config.Control = address // two processes of a gateway may run side by side
	}
	if config.Inherited = os.Getenv("EDGE_FD"); config.Inherited != "" {
		config.HandoverDir = os.Getenv("TMPDIR")
	}
	runtime.GOMAXPROCS(int(math.Ceil(config.Cores)))
	config.LimitHeap = limitHeap
	debug.SetGCPercent(gcPercent)
	log.SetPrefix(config.Name + " ")
	options.Log(os.Stderr, "gateway", config.Name)
	slog.Info("starting", "listen", config.Listen, "cores", config.Cores, "memory_mb", config.MemoryMB, "sockets", config.Sockets,
		"deployment", fmt.Sprintf("%+v", config.Deployment))
	// Reloads go on during the shutdown: a new configuration may have a shorter deadline, or classes
	// that clients use on open connections.
	reloadCtx, stopReloads := context.WithCancel(context.Background())
	defer stopReloads()
	reloads := make(chan gateway.Reload)
	go reload(reloadCtx, options.Config, hangups, reloads)
	return gateway.Run(ctx, &config, reloads)
}

// limitHeap sets the limit of the heap in bytes. If it is lower than before, memory that is not in use
// returns to the system at once: another process of the gateway is about to take it.
func limitHeap(bytes int64) {
	if previous := debug.SetMemoryLimit(bytes); bytes < previous {
		debug.FreeOSMemory()
	}
}

// reload reads the configuration file at each hangup and sends the result to reloads, until ctx ends.
func reload(ctx context.Context, path string, hangups <-chan os.Signal, reloads chan<- gateway.Reload) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		config, err := gateway.ReadConfig(path)
		select {
		case <-ctx.Done():
			return
		case reloads <- gateway.Reload{Config: config, Err: err}:
		}
	}
}
