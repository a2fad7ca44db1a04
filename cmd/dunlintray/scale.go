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

// scaleFlags change a scenario of a scale run.
type scaleFlags struct {
	Scenario string `arg:"" optional:"" help:"A file, or the name of one that ships: ${scales}." default:"small"`
	Registry string `help:"Path of the list service's program." placeholder:"PATH" type:"path"`
	Gateway  string `help:"Path of the gateway's program." placeholder:"PATH" type:"path"`
	Dir      string `help:"Folder for configurations and logs; without it, one that is removed unless something goes wrong." type:"path" placeholder:"DIR"`
	JSON     string `name:"json" help:"File for the results, a line of JSON for each run." placeholder:"FILE"`
	Quiet    bool   `help:"Show nothing while it runs."`

	Gateways    *int           `help:"Hollow gateways."`
	Real        *int           `name:"real-gateways" help:"Real gateways, under a little load."`
	Backends    *int           `help:"Hollow backends."`
	Services    *int           `help:"Services that the backends are spread over."`
	Regions     *int           `help:"Regions."`
	Zones       *int           `help:"Zones of each region."`
	Members     *int           `help:"List services that agree on the list: 1, 3 or 5."`
	Followers   *int           `help:"Followers in each region; 0: gateways read from the members."`
	Changes     *float64       `help:"Changes of the list in a second: backends that drain, leave and register anew."`
	Lease       *time.Duration `help:"Lease of a backend."`
	Length      *time.Duration `help:"Length of the measurement."`
	Register    *float64       `help:"Registrations in a second at the start."`
	Membership  *bool          `help:"Gateways tell each other who is present." negatable:""`
	Scopes      *int           `help:"Services that each gateway reads; 0: the whole list."`
	Within      *string        `help:"Of a service's backends, those that a gateway reads: all, region or zone."`
	Subset      *int           `help:"Backends that a gateway uses of those that it reads; 0: all."`
	Seed        *uint64        `help:"Of all that is drawn."`
	GatewaysPer *int           `name:"gateways-in-process" help:"Hollow gateways in one process, at most."`
	BackendsPer *int           `name:"backends-in-process" help:"Hollow backends in one process, at most."`
}

// set puts a flag in force where it was given.
func set[T any](to *T, flag *T) {
	if flag != nil {
		*to = *flag
	}
}

func (c *scaleFlags) read() (*scale.Scenario, error) {
	s, err := readScale(c.Scenario)
	if err != nil {
		return nil, err
	}
	set(&s.Fleet.Gateways, c.Gateways)
	set(&s.Fleet.RealGateways, c.Real)
	set(&s.Fleet.Backends, c.Backends)
	set(&s.Fleet.Services, c.Services)
	set(&s.Fleet.Regions, c.Regions)
	set(&s.Fleet.Zones, c.Zones)
	set(&s.Fleet.Members, c.Members)
	set(&s.Fleet.Followers, c.Followers)
	set(&s.Fleet.Membership, c.Membership)
	set(&s.Fleet.Lease, (*scenario.Duration)(c.Lease))
	set(&s.Length, (*scenario.Duration)(c.Length))
	set(&s.Changes.PerS, c.Changes)
	set(&s.Changes.Register, c.Register)
	set(&s.Reading.Services, c.Scopes)
	set(&s.Reading.Within, c.Within)
	set(&s.Reading.Subset, c.Subset)
	set(&s.Seed, c.Seed)
	set(&s.Hosts.Gateways, c.GatewaysPer)
	set(&s.Hosts.Backends, c.BackendsPer)
	return s, s.Check()
}

// readScale reads a scenario that ships, or a file.
func readScale(name string) (*scale.Scenario, error) {
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

// options are what runs need; clean removes the folder, if it is the command's own.
func (c *scaleFlags) options(out io.Writer, real bool) (o scale.Options, clean func(failed bool), err error) {
	if err := beside(&c.Registry, "registry"); err != nil {
		return o, nil, err
	}
	if real {
		if err := beside(&c.Gateway, "gateway"); err != nil {
			return o, nil, err
		}
	}
	self, err := os.Executable()
	if err != nil {
		return o, nil, err
	}
	clean = func(bool) {}
	if c.Dir == "" {
		if c.Dir, err = os.MkdirTemp("", "dunlintray-scale-"); err != nil {
			return o, nil, err
		}
		clean = func(failed bool) {
			if failed {
				fmt.Fprintln(out, "logs are in", c.Dir)
				return
			}
			os.RemoveAll(c.Dir)
		}
	}
	o = scale.Options{RegistryPath: c.Registry, GatewayPath: c.Gateway, HostCommand: []string{self, "scale-host"}, Dir: c.Dir}
	if !c.Quiet {
		o.Progress = out
	}
	return o, clean, nil
}

// results opens the file for results; without one, they are written nowhere.
func (c *scaleFlags) results() (io.WriteCloser, error) {
	if c.JSON == "" {
		return nowhere{io.Discard}, nil
	}
	return os.Create(c.JSON)
}

type nowhere struct{ io.Writer }

func (nowhere) Close() error { return nil }

type scaleRunCmd struct{ scaleFlags }

func (c *scaleRunCmd) Run(ctx context.Context, out io.Writer) (err error) {
	s, err := c.read()
	if err == nil {
		err = scale.CheckResources(s)
	}
	if err != nil {
		return err
	}
	o, clean, err := c.options(out, s.Fleet.RealGateways > 0)
	if err != nil {
		return err
	}
	defer func() { clean(err != nil) }()
	results, err := c.results()
	if err != nil {
		return err
	}
	r, err := scale.Run(ctx, s, o)
	if err != nil {
		return errors.Join(err, results.Close())
	}
	r.Report(out)
	if err := errors.Join(r.JSON(results), results.Close()); err != nil {
		return err
	}
	if why := r.Failure(); why != "" {
		return ending{exitBroken, why}
	}
	return nil
}

type scaleSweepCmd struct {
	Quantity string    `arg:"" help:"What is varied: ${quantities}."`
	Sizes    []float64 `help:"Its sizes." required:""`
	Against  string    `help:"Another quantity that is varied beside it; each figure is then fitted to both."`
	Others   []float64 `name:"against-sizes" help:"Its sizes."`
	scaleFlags
}

func (c *scaleSweepCmd) Run(ctx context.Context, out io.Writer) (err error) {
	s, err := c.read()
	if err != nil {
		return err
	}
	sweep := scale.Sweep{Quantity: c.Quantity, Sizes: c.Sizes, Against: c.Against, AgainstSizes: c.Others}
	if err := sweep.Check(s); err != nil {
		return err
	}
	o, clean, err := c.options(out, s.Fleet.RealGateways > 0)
	if err != nil {
		return err
	}
	defer func() { clean(err != nil) }()
	results, err := c.results()
	if err != nil {
		return err
	}
	fmt.Fprintln(out, "$ dunlintray", strings.Join(os.Args[1:], " "))
	table, err := sweep.Run(ctx, s, o, results)
	if table != nil {
		table.Report(out)
	}
	if err := errors.Join(err, results.Close()); err != nil {
		return err
	}
	if len(table.Failures) > 0 {
		return ending{exitBroken, strings.Join(table.Failures, "; ")}
	}
	return nil
}

// scaleHostCmd is a process of a scale run, which starts it.
type scaleHostCmd struct{}

func (scaleHostCmd) Run(ctx context.Context, out io.Writer) error {
	return scale.RunHost(ctx, os.Stdin, out)
}
