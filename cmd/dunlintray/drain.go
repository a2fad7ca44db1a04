package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"dunlintray/internal/budget"
	"dunlintray/internal/registry"
)

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
	startedAt := time.Now()
	check := newDrainCheck(c.ID, strings.Split(c.Gateways, ","), history, version)
	if reasons := check.await(drainCtx); len(reasons) > 0 {
		for _, line := range reasons {
			fmt.Fprintln(out, line)
		}
		return errDrainUnconfirmed
	}
	fmt.Fprintf(out, "drained: %d gateways have that version and no requests in flight there, after %v\n", len(check.gateways), time.Since(startedAt).Round(time.Millisecond))
	return nil
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
