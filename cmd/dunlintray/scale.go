package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"dunlintray/internal/scale"
	"dunlintray/internal/scenario"
	scales "dunlintray/scale"
)

type scaleCmd struct {
	Run   scaleRunCmd   `cmd:"" default:"withargs" help:"Run a fleet of hollow gateways and backends before real list services, and measure what control costs."`
	Sweep scaleSweepCmd `cmd:"" help:"Run a scenario at several sizes of one quantity, and tell how each figure grows."`
}

// scaleFlags select a scenario of a scale run and override parts of it.
type scaleFlags struct {
	Scenario string `arg:"" optional:"" help:"A file, or the name of one that ships: ${scales}." default:"small"`
	Registry string `help:"Path of the list service's program." placeholder:"PATH" type:"path"`
	Gateway  string `help:"Path of the gateway's program." placeholder:"PATH" type:"path"`
	Dir      string `help:"Folder for configurations and logs; without it, one that is removed unless something goes wrong." type:"path" placeholder:"DIR"`
	JSON     string `name:"json" help:"File for the results, a line of JSON for each run." placeholder:"FILE"`
	Quiet    bool   `help:"Show nothing while it runs."`

	Gateways           *int           `help:"Hollow gateways."`
	RealGateways       *int           `name:"real-gateways" help:"Real gateways, under a little load."`
	Backends           *int           `help:"Hollow backends."`
	Services           *int           `help:"Services that the backends are spread over."`
	Regions            *int           `help:"Regions."`
	Zones              *int           `help:"Zones of each region."`
	Members            *int           `help:"List services that agree on the list: 1, 3 or 5."`
	Followers          *int           `help:"Followers in each region; 0: gateways read from the members."`
	Changes            *float64       `help:"Changes of the list in a second: backends that drain, leave and register anew."`
	Lease              *time.Duration `help:"Lease of a backend."`
	Length             *time.Duration `help:"Length of the measurement."`
	Register           *float64       `help:"Registrations in a second at the start."`
	Membership         *bool          `help:"Gateways tell each other who is present." negatable:""`
	Scopes             *int           `help:"Services that each gateway reads; 0: the whole list."`
	Within             *string        `help:"Of a service's backends, those that a gateway reads: all, region or zone."`
	Subset             *int           `help:"Backends that a gateway uses of those that it reads; 0: all."`
	Seed               *uint64        `help:"Of all that is drawn."`
	GatewaysPerProcess *int           `name:"gateways-in-process" help:"Hollow gateways in one process, at most."`
	BackendsPerProcess *int           `name:"backends-in-process" help:"Hollow backends in one process, at most."`
}

// override sets target to the value of flag, if flag was given.
func override[T any](target *T, flag *T) {
	if flag != nil {
		*target = *flag
	}
}

// readScenario reads the scenario and applies the flags that were given.
func (c *scaleFlags) readScenario() (*scale.Scenario, error) {
	s, err := readScaleScenario(c.Scenario)
	if err != nil {
		return nil, err
	}
	override(&s.Fleet.Gateways, c.Gateways)
	override(&s.Fleet.RealGateways, c.RealGateways)
	override(&s.Fleet.Backends, c.Backends)
	override(&s.Fleet.Services, c.Services)
	override(&s.Fleet.Regions, c.Regions)
	override(&s.Fleet.Zones, c.Zones)
	override(&s.Fleet.Members, c.Members)
	override(&s.Fleet.Followers, c.Followers)
	override(&s.Fleet.Membership, c.Membership)
	override(&s.Fleet.Lease, (*scenario.Duration)(c.Lease))
	override(&s.Length, (*scenario.Duration)(c.Length))
	override(&s.Changes.PerS, c.Changes)
	override(&s.Changes.Register, c.Register)
	override(&s.Reading.Services, c.Scopes)
	override(&s.Reading.Within, c.Within)
	override(&s.Reading.Subset, c.Subset)
	override(&s.Seed, c.Seed)
	override(&s.Hosts.Gateways, c.GatewaysPerProcess)
	override(&s.Hosts.Backends, c.BackendsPerProcess)
	return s, s.Check()
}

// readScaleScenario reads a shipped scenario by its name, or any scenario from a file.
func readScaleScenario(name string) (*scale.Scenario, error) {
	if slices.Contains(scales.Names(), name) {
		text, err := scales.Text(name)
		if err != nil {
			return nil, err
		}
		return scale.Parse(name+".toml", text)
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	return scale.Parse(name, text)
}

// options returns the options of runs, and a function that removes the directory, if the
// command made it and no run failed.
func (c *scaleFlags) options(out io.Writer, needsGateway bool) (options scale.Options, cleanUp func(failed bool), err error) {
	if err := findDaemon(&c.Registry, "registry"); err != nil {
		return options, nil, err
	}
	if needsGateway {
		if err := findDaemon(&c.Gateway, "gateway"); err != nil {
			return options, nil, err
		}
	}
	executable, err := os.Executable()
	if err != nil {
		return options, nil, err
	}
	cleanUp = func(bool) {}
	if c.Dir == "" {
		if c.Dir, err = os.MkdirTemp("", "dunlintray-scale-"); err != nil {
			return options, nil, err
		}
		cleanUp = func(failed bool) {
			if failed {
				fmt.Fprintln(out, "logs are in", c.Dir)
				return
			}
			os.RemoveAll(c.Dir)
		}
	}
	options = scale.Options{RegistryPath: c.Registry, GatewayPath: c.Gateway, HostCommand: []string{executable, "scale-host"}, Dir: c.Dir}
	if !c.Quiet {
		options.Progress = out
	}
	return options, cleanUp, nil
}

// results opens the file for results, or discards them if none is named.
func (c *scaleFlags) results() (io.WriteCloser, error) {
	if c.JSON == "" {
		return discardCloser{io.Discard}, nil
	}
	return os.Create(c.JSON)
}

type discardCloser struct{ io.Writer }

func (discardCloser) Close() error { return nil }

type scaleRunCmd struct{ scaleFlags }

func (c *scaleRunCmd) Run(ctx context.Context, out io.Writer) (err error) {
	s, err := c.readScenario()
	if err == nil {
		err = scale.CheckResources(s)
	}
	if err != nil {
		return err
	}
	options, cleanUp, err := c.options(out, s.Fleet.RealGateways > 0)
	if err != nil {
		return err
	}
	defer func() { cleanUp(err != nil) }()
	results, err := c.results()
	if err != nil {
		return err
	}
	result, err := scale.Run(ctx, s, options)
	if err != nil {
		return errors.Join(err, results.Close())
	}
	result.Report(out)
	if err := errors.Join(result.JSON(results), results.Close()); err != nil {
		return err
	}
	if reason := result.Failure(); reason != "" {
		return exitError{exitViolation, reason}
	}
	return nil
}

type scaleSweepCmd struct {
	Quantity     string    `arg:"" help:"What is varied: ${quantities}."`
	Sizes        []float64 `help:"Its sizes." required:""`
	Against      string    `help:"Another quantity that is varied beside it; each figure is then fitted to both."`
	AgainstSizes []float64 `name:"against-sizes" help:"Its sizes."`
	scaleFlags
}

func (c *scaleSweepCmd) Run(ctx context.Context, out io.Writer) (err error) {
	s, err := c.readScenario()
	if err != nil {
		return err
	}
	sweep := scale.Sweep{Quantity: c.Quantity, Sizes: c.Sizes, Against: c.Against, AgainstSizes: c.AgainstSizes}
	if err := sweep.Check(s); err != nil {
		return err
	}
	options, cleanUp, err := c.options(out, s.Fleet.RealGateways > 0)
	if err != nil {
		return err
	}
	defer func() { cleanUp(err != nil) }()
	results, err := c.results()
	if err != nil {
		return err
	}
	fmt.Fprintln(out, "$ dunlintray", strings.Join(os.Args[1:], " "))
	table, err := sweep.Run(ctx, s, options, results)
	if table != nil {
		table.Report(out)
	}
	if err := errors.Join(err, results.Close()); err != nil {
		return err
	}
	if len(table.Failures) > 0 {
		return exitError{exitViolation, strings.Join(table.Failures, "; ")}
	}
	return nil
}

// scaleHostCmd runs the hollow gateways or backends of a scale run, which starts it as a
// child process.
type scaleHostCmd struct{}

func (scaleHostCmd) Run(ctx context.Context, out io.Writer) error {
	return scale.RunHost(ctx, os.Stdin, out)
}
