// Dunlintray is the operators' tool. It runs a fleet of real gateways in an
// emulated world on this machine, and calls gateways and service registries that
// run elsewhere.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pelletier/go-toml/v2"

	"dunlintray/internal/play"
	"dunlintray/internal/referee"
	"dunlintray/internal/scale"
	"dunlintray/internal/scenario"
	scales "dunlintray/scale"
	"dunlintray/scenarios"
)

// Exit statuses, besides 0 for success and 1 for other errors.
const (
	exitViolation   = 2 // a rule was broken, or a scale run failed
	exitInvalidPlay = 3 // the machine was too slow for a valid play
	exitUntried     = 4 // a required rule was never exercised
)

type cli struct {
	Up      upCmd      `cmd:"" help:"Start a whole fleet on this machine, and load it until Ctrl-C."`
	Play    playCmd    `cmd:"" help:"Play a scenario and judge it."`
	Config  configCmd  `cmd:"" help:"Check and print configurations."`
	Call    callCmd    `cmd:"" help:"Call a gateway's or a list service's control address."`
	Members membersCmd `cmd:"" help:"Show whom a gateway takes for present, or compare the views of several and find the cut."`
	Group   groupCmd   `cmd:"" help:"Look at a group of list services."`
	Ledger  ledgerCmd  `cmd:"" help:"Read and write the ledger that a group agrees on."`
	Permits permitsCmd `cmd:"" help:"Show which units of a fleet are out, by which permits, and change what may be."`
	Drain   drainCmd   `cmd:"" help:"Take a backend out, and wait until no gateway sends to it."`
	Undrain undrainCmd `cmd:"" help:"Bring a backend back."`
	Data    dataCmd    `cmd:"" help:"Look at the data of list services that are stopped."`
	Scale   scaleCmd   `cmd:"" help:"Measure what control costs as a fleet grows: real list services, hollow gateways and backends."`
	Version versionCmd `cmd:"" help:"Print the version."`

	ScaleHost scaleHostCmd `cmd:"" hidden:"" help:"A process of a scale run."`
}

// fleetFlags are the flags of commands that run a fleet: paths of its daemons, and
// where it writes.
type fleetFlags struct {
	Gateway  string `help:"Path of the gateway's program." placeholder:"PATH" type:"path"`
	Registry string `help:"Path of the list service's program." placeholder:"PATH" type:"path"`
	Dir      string `help:"Folder for configurations and logs; without it, one that is removed unless something goes wrong." type:"path" placeholder:"DIR"`
	JSON     string `name:"json" help:"File for the results, as lines of JSON; - for standard output." placeholder:"FILE"`
	Quiet    bool   `help:"Show nothing while it runs."`

	requiredRules []string // rules that the play has to exercise
}

type upCmd struct {
	fleetFlags
	Members    bool          `help:"Gateways tell each other who is present."`
	Registries int           `name:"list-services" help:"Number of list services. 3 or 5 agree on the list and choose who writes; of 1 or 2 the first does." default:"2"`
	Gateways   int           `help:"Number of gateways." default:"3"`
	Backends   int           `help:"Number of backends." default:"6"`
	Rate       float64       `help:"Requests a second." default:"300"`
	For        time.Duration `help:"End after this time; without it, at Ctrl-C."`
	Seed       uint64        `help:"Of all that is drawn." default:"1"`
}

// maxUpDuration ends a fleet that is not interrupted.
const maxUpDuration = 24 * time.Hour

func (c *upCmd) Run(ctx context.Context, out io.Writer) error {
	s := scenario.Default()
	s.Name, s.Seed = "up", c.Seed
	s.Fleet.Gateways, s.Fleet.Backends, s.Fleet.Membership = c.Gateways, c.Backends, c.Members
	s.Fleet.ListServices, s.Fleet.Group = c.Registries, c.Registries >= 3
	for i := range s.Plans {
		s.Plans[i].Spread = min(s.Plans[i].Spread, c.Gateways)
	}
	// The load scales the number of customers and keeps the quota of each.
	factor := c.Rate / s.Load.RequestsPerS
	for i := range s.Plans {
		s.Plans[i].Customers = max(1, int(float64(s.Plans[i].Customers)*factor))
	}
	s.Load.RequestsPerS = c.Rate
	s.Duration = scenario.Duration(c.For)
	if c.For == 0 {
		s.Duration = scenario.Duration(maxUpDuration)
	}
	if problems := s.Check(); len(problems) > 0 {
		var errs []error
		for _, problem := range problems {
			errs = append(errs, problem)
		}
		return errors.Join(errs...)
	}
	fmt.Fprintf(out, "%d gateways and %d list services before %d emulated backends, %.0f requests a second; Ctrl-C ends it\n",
		s.Fleet.Gateways, s.Fleet.ListServices, s.Fleet.Backends, s.Load.RequestsPerS)
	return c.run(ctx, &s, out)
}

type playCmd struct {
	fleetFlags
	Scenario string   `arg:"" help:"A file, or the name of a scenario that ships: ${scenarios}."`
	Seed     *uint64  `help:"Another seed than the scenario's."`
	Faults   string   `help:"random: faults drawn by the seed, in place of the scenario's." enum:"own,random" default:"own"`
	Tried    []string `help:"Rules, or parts of them as resend/once, that have to be tried, in place of the scenario's own." placeholder:"RULE"`
}

func (c *playCmd) Run(ctx context.Context, out io.Writer) error {
	s, err := readScenario(c.Scenario)
	if err != nil {
		return err
	}
	if c.Seed != nil {
		s.Seed = *c.Seed
	}
	if c.Faults == "random" {
		// The printed faults, or the seed, reproduce the play.
		s.Draw()
		s.RequiredRules = nil
		fmt.Fprintf(out, "# play %s --seed %d --faults random\n", c.Scenario, s.Seed)
		if err := toml.NewEncoder(out).Encode(struct {
			Faults []scenario.Fault `toml:"fault"`
		}{s.Faults}); err != nil {
			return err
		}
	}
	if len(c.Tried) > 0 {
		s.RequiredRules = c.Tried
	}
	if err := checkRuleNames(s.RequiredRules); err != nil {
		return err
	}
	c.requiredRules = s.RequiredRules
	return c.run(ctx, s, out)
}

// checkRuleNames returns an error for the first name that is not a rule of the referee.
func checkRuleNames(names []string) error {
	for _, name := range names {
		if !referee.IsRule(name) {
			return fmt.Errorf("tried: there is no rule %q; there are %s", name, strings.Join(referee.Rules(), ", "))
		}
	}
	return nil
}

// readScenario reads a shipped scenario by its name, or any scenario from a file.
func readScenario(name string) (*scenario.Scenario, error) {
	if slices.Contains(scenarios.Names(), name) {
		text, err := scenarios.Text(name)
		if err != nil {
			return nil, err
		}
		return scenario.Parse(name+".toml", text)
	}
	return scenario.Read(name)
}

// exitError is an error that sets the exit status of the command.
type exitError struct {
	status int
	text   string
}

func (e exitError) Error() string { return e.text }

// findDaemon defaults path to the daemon of that name in the directory of this executable,
// and checks that the file exists.
func findDaemon(path *string, name string) error {
	if *path == "" {
		executable, err := os.Executable()
		if err != nil {
			return err
		}
		*path = filepath.Join(filepath.Dir(executable), name)
	}
	if _, err := os.Stat(*path); err != nil {
		return fmt.Errorf("the program %s: %w (build all with: go build -o bin/ ./cmd/...)", name, err)
	}
	return nil
}

func (c *fleetFlags) run(ctx context.Context, s *scenario.Scenario, out io.Writer) (err error) {
	if err := play.CheckMachine(s); err != nil {
		return err
	}
	if err := findDaemon(&c.Gateway, "gateway"); err != nil {
		return err
	}
	if err := findDaemon(&c.Registry, "registry"); err != nil {
		return err
	}
	if c.Dir == "" {
		if c.Dir, err = os.MkdirTemp("", "dunlintray-"); err != nil {
			return err
		}
		defer func() {
			if err == nil {
				os.RemoveAll(c.Dir)
			} else {
				fmt.Fprintln(out, "logs are in", c.Dir)
			}
		}()
	}
	options := play.Options{Gateway: c.Gateway, Registry: c.Registry, Dir: c.Dir}
	if !c.Quiet {
		options.Progress = out
	}
	result, err := play.Run(ctx, s, options)
	if errors.Is(err, context.Canceled) {
		return errors.New("interrupted before all gateways were ready")
	}
	if err != nil {
		return err
	}
	if err := c.write(result, out); err != nil {
		return err
	}
	result.Report(out)
	switch {
	case len(result.Violations) > 0:
		return exitError{exitViolation, "rules were broken"}
	case result.InvalidReason != "":
		return exitError{exitInvalidPlay, "invalid play: " + result.InvalidReason}
	}
	if untried := referee.Untried(result.Trials, c.requiredRules); len(untried) > 0 && !result.EndedEarly {
		return exitError{exitUntried, "not tried: " + strings.Join(untried, ", ")}
	}
	return nil
}

// write writes the result as lines of JSON to the file of the json flag, or to out for "-".
func (c *fleetFlags) write(result *play.Result, out io.Writer) error {
	switch c.JSON {
	case "":
		return nil
	case "-":
		return result.JSON(out)
	}
	file, err := os.Create(c.JSON)
	if err != nil {
		return err
	}
	return errors.Join(result.JSON(file), file.Close())
}

type configCmd struct {
	Check checkCmd `cmd:"" help:"Check a scenario; nothing is started."`
	Print printCmd `cmd:"" help:"Print a scenario with all that it leaves out, or what a process of it is told."`
}

type checkCmd struct {
	File string `arg:"" help:"The scenario."`
}

func (c *checkCmd) Run(out io.Writer) error {
	s, err := readScenario(c.File)
	if err != nil {
		return err
	}
	if err := errors.Join(play.CheckMachine(s), checkRuleNames(s.RequiredRules)); err != nil {
		return err
	}
	fmt.Fprintln(out, c.File, "is good")
	return nil
}

type printCmd struct {
	Scenario string `arg:"" optional:"" help:"A scenario; without it, what up plays."`
	Gateway  *int   `help:"The configuration of this gateway, as JSON."`
	Faults   bool   `help:"The kinds of faults that a scenario can have."`
}

func (c *printCmd) Run(out io.Writer) error {
	defaults := scenario.Default()
	s := &defaults
	if c.Scenario != "" {
		var err error
		if s, err = readScenario(c.Scenario); err != nil {
			return err
		}
	}
	switch {
	case c.Faults:
		for _, name := range scenario.FaultKindNames() {
			kind := scenario.FaultKinds[name]
			size := ""
			if kind.SizeMeaning != "" {
				size = "; size: " + kind.SizeMeaning
			}
			fmt.Fprintf(out, "%-15s %s%s\n", name, kind.Description, size)
		}
		return nil
	case c.Gateway != nil:
		if *c.Gateway < 0 || *c.Gateway >= s.Fleet.Gateways {
			return fmt.Errorf("--gateway: %d is not from 0 to %d", *c.Gateway, s.Fleet.Gateways-1)
		}
		text, err := s.GatewayConfig(*c.Gateway, scenario.Addresses{Listen: "127.0.0.1:8081", Control: "127.0.0.1:8082", Counter: "127.0.0.1:6400", Discovery: "127.0.0.1:8500"}, nil)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(out, "%s\n", text)
		return err
	}
	return toml.NewEncoder(out).Encode(s)
}

type callCmd struct {
	Address string `arg:"" help:"The control address, as 127.0.0.1:8082."`
	What    string `arg:"" help:"ready, counters, where, promote, online or offline." enum:"ready,counters,where,promote,online,offline"`
	Backend string `arg:"" optional:"" help:"For online and offline: the backend's id."`
}

// callTimeout bounds one call of a control address.
const callTimeout = 5 * time.Second

func (c *callCmd) Run(ctx context.Context, out io.Writer) error {
	isOverride := c.What == "online" || c.What == "offline"
	if isOverride != (c.Backend != "") {
		return fmt.Errorf("%s: a backend's id goes with online and offline, and with nothing else", c.What)
	}
	method, path := http.MethodGet, "/control/"+c.What
	if c.What == "promote" {
		method = http.MethodPost
	}
	if isOverride {
		method, path = http.MethodPost, "/control/backends/"+url.PathEscape(c.Backend)+"/"+c.What
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	const maxResponseBytes = 1 << 20
	if _, err := io.Copy(out, io.LimitReader(resp.Body, maxResponseBytes)); err != nil {
		return err
	}
	if resp.StatusCode >= 300 {
		return fmt.Errorf("%s http://%s%s: status %s", method, c.Address, path, resp.Status)
	}
	return nil
}

type versionCmd struct{}

func (versionCmd) Run(out io.Writer) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return errors.New("no build information in this executable")
	}
	version := info.Main.Version
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" || setting.Key == "vcs.time" || setting.Key == "vcs.modified" && setting.Value == "true" {
			version += " " + strings.TrimPrefix(setting.Key, "vcs.") + "=" + setting.Value
		}
	}
	_, err := fmt.Fprintln(out, "dunlintray", version, info.GoVersion)
	return err
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	context.AfterFunc(ctx, stop) // a second interrupt ends the program at once
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// run parses args, runs the command and returns its exit status.
func run(ctx context.Context, args []string, out, errs io.Writer) int {
	var commands cli
	exited := -1
	parser, err := kong.New(&commands, kong.Name("dunlintray"), kong.Description("A fleet of gateways on one machine, and calls to those that run."),
		kong.Writers(out, errs), kong.Exit(func(status int) { exited = status }), kong.Vars{"scenarios": strings.Join(scenarios.Names(), ", "),
			"scales": strings.Join(scales.Names(), ", "), "quantities": strings.Join(scale.Quantities(), ", ")},
		kong.BindTo(ctx, (*context.Context)(nil)), kong.BindTo(out, (*io.Writer)(nil)))
	if err != nil {
		fmt.Fprintln(errs, "dunlintray:", err)
		return 1
	}
	parsed, err := parser.Parse(args)
	if exited >= 0 {
		return exited // kong has printed the help text
	}
	if err == nil {
		err = parsed.Run()
	}
	var exit exitError
	switch {
	case errors.As(err, &exit):
		fmt.Fprintln(errs, "dunlintray:", err)
		return exit.status
	case err != nil:
		fmt.Fprintln(errs, "dunlintray:", err)
		return 1
	}
	return 0
}
