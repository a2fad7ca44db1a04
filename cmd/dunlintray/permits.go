package main

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/pelletier/go-toml/v2"

	"dunlintray/internal/budget"
	"dunlintray/internal/group"
	"dunlintray/internal/ledger"
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
