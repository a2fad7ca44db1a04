// Gateway is one gateway on real sockets. EDGE_CONFIG or --config names its
// configuration, EDGE_CONTROL the address where operators call. SIGHUP makes it
// read the configuration again, SIGTERM answer what it holds and end.
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

const (
	heapShare = 0.7 // of the memory limit; stacks, sockets and the binary have the rest
	heapGrow  = 400 // percent between collections: the heap is small beside the limit
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := run(ctx); err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "gateway:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context) error {
	hangups := make(chan os.Signal, 1) // one that waits stands for all that come meanwhile
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	options, err := command.Parse("gateway", "EDGE_CONFIG", os.Args[1:], os.Stderr)
	if err != nil {
		return err
	}
	c, err := gateway.ReadConfig(options.Config)
	if err != nil {
		return err
	}
	if options.Check {
		fmt.Println(options.Config, "is good")
		return nil
	}
	if address := os.Getenv("EDGE_CONTROL"); address != "" {
		c.Control = address // of this process; two may run side by side
	}
	if c.Inherited = os.Getenv("EDGE_FD"); c.Inherited != "" {
		c.HandoverDir = os.Getenv("TMPDIR")
	}
	runtime.GOMAXPROCS(int(math.Ceil(c.Cores)))
	debug.SetMemoryLimit(int64(float64(c.MemoryMB<<20) * heapShare))
	debug.SetGCPercent(heapGrow)
	log.SetPrefix(c.Name + " ")
	options.Log(os.Stderr, "gateway", c.Name)
	slog.Info("starting", "listen", c.Listen, "cores", c.Cores, "memory_mb", c.MemoryMB, "sockets", c.Sockets,
		"deployment", fmt.Sprintf("%+v", c.Deployment))
	// A stop goes on under the configuration in force: one that comes just before SIGTERM, or
	// behind it, may bring a nearer end, or classes that clients name on open connections.
	running, ended := context.WithCancel(context.Background())
	defer ended()
	reloads := make(chan gateway.Reload)
	go reload(running, options.Config, hangups, reloads)
	return gateway.Run(ctx, &c, reloads)
}

// reload reads the configuration again at each hangup until ctx ends.
func reload(ctx context.Context, path string, hangups <-chan os.Signal, reloads chan<- gateway.Reload) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		c, err := gateway.ReadConfig(path)
		select {
		case <-ctx.Done():
			return
		case reloads <- gateway.Reload{Config: c, Err: err}:
		}
	}
}
