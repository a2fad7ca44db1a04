package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pelletier/go-toml/v2"

	"dunlintray/internal/budget"
	"dunlintray/internal/gateway"
	"dunlintray/internal/group"
	"dunlintray/internal/ledger"
	"dunlintray/internal/registry"
)

// permitsCmd shows units and their permits, and changes the rules of availability.
type permitsCmd struct {
	Show   permitsShowCmd   `cmd:"" default:"withargs" help:"Show the rules, and the units that are out."`
	Rules  permitsRulesCmd  `cmd:"" help:"Put the rules of a file in force."`
	Forget permitsForgetCmd `cmd:"" help:"Take a unit that is gone for good off the books."`
}

type permitsShowCmd struct {
	groupFlags
	All bool `help:"All units, also those that are ready."`
}

func (c *permitsShowCmd) Run(ctx context.Context, out io.Writer) error {
	client, ctx, closeClient := c.client(ctx)
	defer closeClient()
	listing, err := client.Units(ctx)
	if err != nil {
		return err
	}
	for _, rule := range listing.Rules {
		fmt.Fprintln(out, "rule:", rule.String())
	}
	for _, reason := range listing.Unsatisfiable {
		fmt.Fprintln(out, "rule cannot be satisfied:", reason)
	}
	tab := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "unit\tzone\tready\tpermit\tholder\treason\tstate")
	unavailable := 0
	for _, unit := range listing.Units {
		if unit.Unavailable() {
			unavailable++
		} else if !c.All {
			continue
		}
		permit, state := unit.Permit, ""
		switch {
		case permit == nil && !unit.Ready:
			state = "out by itself"
		case permit == nil:
		case permit.Lost:
			state = "its holder is lost; it may still be down"
		case permit.ReturnedAt != 0:
			state = "given back, not seen ready yet"
		default:
			state = "held"
		}
		permit = cmp.Or(permit, &budget.Permit{})
		fmt.Fprintf(tab, "%s\t%s\t%t\t%d\t%s\t%s\t%s\n", unit.Name, unit.Zone, unit.Ready, permit.Number, permit.Holder, permit.Reason, state)
	}
	if err := tab.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(out, "%d of %d units are unavailable\n", unavailable, len(listing.Units))
	return nil
}

// rulesFile is the TOML form of availability rules.
type rulesFile struct {
	Rules []struct {
		Kind                   budget.Kind `toml:"kind"`
		Zone                   string      `toml:"zone"`
		Canary                 bool        `toml:"canary"`
		MaxUnavailable         *int        `toml:"most_out"`
		MaxUnavailableFraction *float64    `toml:"most_share"`
		ByWeight               bool        `toml:"by_weight"`
		MinReady               *int        `toml:"least_ready"`
	} `toml:"rule"`
}

type permitsRulesCmd struct {
	groupFlags
	File string `arg:"" help:"TOML: [[rule]] with kind, zone, canary, most_out, most_share, by_weight, least_ready." type:"existingfile"`
}

func (c *permitsRulesCmd) Run(ctx context.Context, out io.Writer) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	var decoded rulesFile
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(&decoded); err != nil {
		var unknown *toml.StrictMissingError
		if errors.As(err, &unknown) {
			return fmt.Errorf("%s:\n%s", c.File, unknown.String())
		}
		return fmt.Errorf("%s: %w", c.File, err)
	}
	command := &budget.Command{Op: budget.SetRules}
	for _, rule := range decoded.Rules {
		command.Rules = append(command.Rules, budget.Rule(rule))
	}
	client, ctx, closeClient := c.client(ctx)
	defer closeClient()
	if _, err := changeUnits(ctx, client, command); err != nil {
		return err
	}
	listing, err := client.Units(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%d rules are active\n", len(command.Rules))
	for _, reason := range listing.Unsatisfiable {
		fmt.Fprintln(out, "rule cannot be satisfied by the current units:", reason)
	}
	return nil
}

type permitsForgetCmd struct {
	groupFlags
	Kind budget.Kind `arg:"" enum:"backend,gateway,service"`
	ID   string      `arg:""`
}

func (c *permitsForgetCmd) Run(ctx context.Context, out io.Writer) error {
	client, ctx, closeClient := c.client(ctx)
	defer closeClient()
	name := budget.Name{Kind: c.Kind, ID: c.ID}
	if _, err := changeUnits(ctx, client, &budget.Command{Op: budget.Forget, Unit: budget.Unit{Name: name}}); err != nil {
		return err
	}
	fmt.Fprintln(out, name, "is forgotten")
	return nil
}

// changeUnits runs a command about units in the group. It returns the permit of the result, if
// there is one.
func changeUnits(ctx context.Context, client *group.Client, command *budget.Command) (*budget.Permit, error) {
	result, err := client.Do(ctx, ledger.Command{Op: ledger.Budget, Units: command})
	switch {
	case err != nil:
		return nil, fmt.Errorf("it is not known whether it was done: %w", err)
	case result.Code != ledger.OK:
		return nil, fmt.Errorf("%s: %s", result.Code, result.Text)
	}
	return result.Permit, nil
}

// backendFlags name a backend to drain or undrain, and the services that decide on it.
type backendFlags struct {
	groupFlags
	Lists string `required:"" help:"Addresses of list services, with commas between." placeholder:"ADDRESS,..."`
	As    string `help:"Who holds the permit." default:"operator" env:"USER"`
	ID    string `arg:"" help:"The backend."`
}

func (c *backendFlags) name() budget.Name { return budget.Name{Kind: budget.Backend, ID: c.ID} }

// callRegistry calls the service registries in turn until one answers or ctx ends. A client
// error (4xx) is final; redirects to the writer are followed.
func (c *backendFlags) callRegistry(ctx context.Context, method, path string, body any) (text []byte, header http.Header, err error) {
	var request []byte
	if body != nil {
		if request, err = json.Marshal(body); err != nil {
			return nil, nil, err
		}
	}
	for {
		for _, address := range strings.Split(c.Lists, ",") {
			text, header, err = c.callOnce(ctx, method, "http://"+address+registry.Path+path, request)
			var failure *statusError
			if err == nil || errors.As(err, &failure) && failure.status < 500 {
				return text, header, err
			}
		}
		select {
		case <-ctx.Done():
			return nil, nil, err
		case <-time.After(retryInterval):
		}
	}
}

const (
	retryInterval    = 100 * time.Millisecond // between rounds of calls
	requestTimeout   = time.Second            // of one call
	maxResponseBytes = 8 << 20
)

// statusError is a response with another status than 200.
type statusError struct {
	status int
	text   string
}

func (e *statusError) Error() string { return fmt.Sprintf("status %d: %s", e.status, e.text) }

// callOnce makes one request. It returns a statusError for another status than 200.
func (c *backendFlags) callOnce(ctx context.Context, method, url string, body []byte) ([]byte, http.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err == nil && resp.StatusCode != http.StatusOK {
		err = &statusError{resp.StatusCode, strings.TrimSpace(string(text))}
	}
	return text, resp.Header, err
}

// setLifecycle sets the lifecycle of the backend in the service registry, and returns the
// version and the history of the list that has the change.
func (c *backendFlags) setLifecycle(ctx context.Context, lifecycle registry.Lifecycle) (version int64, history string, err error) {
	text, header, err := c.callRegistry(ctx, http.MethodGet, "", nil)
	if err != nil {
		return 0, "", fmt.Errorf("list services: %w", err)
	}
	listing, err := registry.ParseListing(text)
	if err != nil {
		return 0, "", fmt.Errorf("list services: %w", err)
	}
	index := slices.IndexFunc(listing.Instances, func(i registry.Instance) bool { return i.ID == c.ID })
	if index < 0 {
		return 0, "", fmt.Errorf("%s is not registered", c.ID)
	}
	text, _, err = c.callRegistry(ctx, http.MethodPost, "/"+url.PathEscape(c.ID)+"/lifecycle",
		map[string]any{"startedAtMs": listing.Instances[index].StartedAtMs, "lifecycle": lifecycle})
	if err != nil {
		return 0, "", fmt.Errorf("list services: %w", err)
	}
	var result registry.WriteResult
	if err := json.Unmarshal(text, &result); err != nil {
		return 0, "", fmt.Errorf("list services: %w", err)
	}
	return result.Version, header.Get(registry.HistoryHeader), nil
}

type drainCmd struct {
	backendFlags
	Gateways string        `required:"" help:"Control addresses of all gateways, with commas between." placeholder:"ADDRESS,..."`
	For      time.Duration `help:"How long it may be out." default:"1h"`
	Why      string        `required:"" help:"The reason, for those who look."`
	Within   time.Duration `help:"How long gateways may take until the backend is drained." default:"30s"`
}

// errDrainUnconfirmed is returned while a gateway does not answer or may still send to the backend.
var errDrainUnconfirmed = errors.New("it is not known whether the backend is drained")

func (c *drainCmd) Run(ctx context.Context, out io.Writer) error {
	client, permitCtx, closeClient := c.client(ctx)
	defer closeClient()
	permit, err := changeUnits(permitCtx, client, &budget.Command{Op: budget.Acquire, Unit: budget.Unit{Name: c.name()},
		Permit: budget.Permit{Holder: c.As, Reason: c.Why, TermMs: c.For.Milliseconds()}})
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "permit %d: %s may be unavailable\n", permit.Number, c.name())
	version, history, err := c.setLifecycle(permitCtx, registry.Terminating)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "the backend is Terminating from version %d of the list on\n", version)
	drainCtx, stop := context.WithTimeout(ctx, c.Within)
	defer stop()
	remaining, coverage := strings.Split(c.Gateways, ","), &fleetCoverage{ranks: map[int]bool{}}
	for startedAt := time.Now(); ; {
		var reasons []string
		remaining, reasons = c.findUndrained(drainCtx, remaining, coverage, history, version)
		if missing := coverage.missing(); len(remaining) == 0 && missing != "" {
			fmt.Fprintln(out, missing)
			return errDrainUnconfirmed
		}
		if len(remaining) == 0 {
			fmt.Fprintf(out, "drained: %d gateways have that version and no requests in flight there, after %v\n", strings.Count(c.Gateways, ",")+1, time.Since(startedAt).Round(time.Millisecond))
			return nil
		}
		select {
		case <-drainCtx.Done():
			for _, line := range reasons {
				fmt.Fprintln(out, line)
			}
			return errDrainUnconfirmed
		case <-time.After(retryInterval):
		}
	}
}

// fleetCoverage records which gateways of a fleet have answered.
type fleetCoverage struct {
	fleetSize int // the largest that a gateway reports
	ranks     map[int]bool
}

// missing describes the gateways that were not asked, and so may still send to the backend. It
// returns an empty string if there are none.
func (f *fleetCoverage) missing() string {
	var missingRanks []int
	for rank := range f.fleetSize {
		if !f.ranks[rank] {
			missingRanks = append(missingRanks, rank)
		}
	}
	if len(missingRanks) == 0 {
		return ""
	}
	return fmt.Sprintf("the fleet has %d gateways; not named are ranks %v", f.fleetSize, missingRanks)
}

// findUndrained asks gateways concurrently and returns those that may still send to the
// backend, with a reason for each.
func (c *drainCmd) findUndrained(ctx context.Context, gateways []string, coverage *fleetCoverage, history string, version int64) (remaining, reasons []string) {
	undrainedReasons, views := make([]string, len(gateways)), make([]gateway.BackendsView, len(gateways))
	done := make(chan struct{})
	for n, address := range gateways {
		go func() {
			defer func() { done <- struct{}{} }()
			text, _, err := c.callOnce(ctx, http.MethodGet, "http://"+address+"/control/backends?backend="+url.QueryEscape(c.ID), nil)
			if err == nil {
				err = json.Unmarshal(text, &views[n])
			}
			undrainedReasons[n] = c.undrainedReason(&views[n], err, history, version)
		}()
	}
	for range gateways {
		<-done
	}
	for n, address := range gateways {
		if view := &views[n]; view.Fleet > 0 {
			coverage.fleetSize = max(coverage.fleetSize, view.Fleet)
			coverage.ranks[view.Rank] = true
		}
		if undrainedReasons[n] != "" {
			remaining = append(remaining, address)
			reasons = append(reasons, address+": "+undrainedReasons[n])
		}
	}
	return remaining, reasons
}

// undrainedReason says why a gateway may still send to the backend, or returns an empty string.
func (c *drainCmd) undrainedReason(view *gateway.BackendsView, err error, history string, version int64) string {
	switch {
	case err != nil:
		return fmt.Sprintf("no answer: %v", err)
	case view.SiblingRunning:
		return "a sibling process runs, and its requests in flight are unknown"
	case view.History != history:
		return fmt.Sprintf("its list has history %q, not %q", view.History, history)
	case view.Version < version:
		return fmt.Sprintf("its list has version %d, not %d", view.Version, version)
	}
	for _, backend := range view.Backends {
		switch {
		case backend.ID != c.ID && backend.Number != gateway.BackendNumber(c.ID):
		case backend.Lifecycle == registry.Ready:
			return "its list has the backend as Ready again"
		case backend.InFlight > 0:
			return fmt.Sprintf("%d requests are in flight there", backend.InFlight)
		}
	}
	return ""
}

type undrainCmd struct{ backendFlags }

func (c *undrainCmd) Run(ctx context.Context, out io.Writer) error {
	client, ctx, closeClient := c.client(ctx)
	defer closeClient()
	listing, err := client.Units(ctx)
	if err != nil {
		return err
	}
	index := slices.IndexFunc(listing.Units, func(unit budget.Unit) bool { return unit.Name == c.name() })
	if index < 0 {
		return fmt.Errorf("no unit %s", c.name())
	}
	// The permit is returned first, since the group counts the unit as ready once the list does.
	if permit := listing.Units[index].Permit; permit != nil {
		if _, err := changeUnits(ctx, client, &budget.Command{Op: budget.Return, Unit: budget.Unit{Name: c.name()}, Permit: budget.Permit{Number: permit.Number, Holder: c.As}}); err != nil {
			return err
		}
	}
	version, _, err := c.setLifecycle(ctx, registry.Ready)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s is ready from version %d of the list on\n", c.name(), version)
	return nil
}
