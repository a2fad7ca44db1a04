package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"dunlintray/internal/group"
	"dunlintray/internal/ledger"
)

// ledgerCmd reads and writes the replicated ledger of a group of service registries.
type ledgerCmd struct {
	Get    ledgerGetCmd    `cmd:"" help:"Print a record, as all that was agreed on before left it."`
	List   ledgerListCmd   `cmd:"" help:"Print all records under a prefix."`
	Put    ledgerPutCmd    `cmd:"" help:"Write a record."`
	Delete ledgerDeleteCmd `cmd:"" help:"Take a record away."`
}

// groupFlags names the members of a group. Any of them accepts a call.
type groupFlags struct {
	Group string        `required:"" help:"Addresses of members, with commas between." placeholder:"ADDRESS,..."`
	Wait  time.Duration `help:"How long to try." default:"10s"`
}

// client returns a client of the group, a context that expires after the wait flag, and a
// function that releases both.
func (m *groupFlags) client(ctx context.Context) (*group.Client, context.Context, func()) {
	client := group.NewClient(strings.Split(m.Group, ","))
	ctx, cancel := context.WithTimeout(ctx, m.Wait)
	return client, ctx, func() { cancel(); client.Close() }
}

type ledgerGetCmd struct {
	groupFlags
	Name string `arg:""`
}

func (c *ledgerGetCmd) Run(ctx context.Context, out io.Writer) error {
	client, ctx, closeClient := c.client(ctx)
	defer closeClient()
	record, found, err := client.Get(ctx, c.Name)
	switch {
	case err != nil:
		return err
	case !found:
		return fmt.Errorf("there is no record %s", c.Name)
	}
	return json.NewEncoder(out).Encode(record)
}

type ledgerListCmd struct {
	groupFlags
	Prefix string `arg:"" optional:""`
}

func (c *ledgerListCmd) Run(ctx context.Context, out io.Writer) error {
	client, ctx, closeClient := c.client(ctx)
	defer closeClient()
	list, err := client.List(ctx, c.Prefix)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(out)
	for _, record := range list.Records {
		if err := encoder.Encode(record.Record); err != nil {
			return err
		}
	}
	return nil
}

// change runs a command in the group and prints its result.
func (m *groupFlags) change(ctx context.Context, out io.Writer, command ledger.Command) error {
	client, ctx, closeClient := m.client(ctx)
	defer closeClient()
	result, err := client.Do(ctx, command)
	switch {
	case err != nil:
		return fmt.Errorf("it is not known whether it was done: %w", err)
	case result.Code != ledger.OK:
		return fmt.Errorf("%s: %s", result.Code, result.Text)
	}
	return json.NewEncoder(out).Encode(result)
}

type ledgerPutCmd struct {
	groupFlags
	Name   string  `arg:""`
	Value  string  `arg:"" help:"JSON."`
	Expect *uint64 `help:"The version that the record has to have; 0: none."`
}

func (c *ledgerPutCmd) Run(ctx context.Context, out io.Writer) error {
	return c.change(ctx, out, ledger.Command{Op: ledger.Put, Name: c.Name, Value: json.RawMessage(c.Value), Expect: c.Expect})
}

type ledgerDeleteCmd struct {
	groupFlags
	Name   string  `arg:""`
	Expect *uint64 `help:"The version that the record has to have."`
}

func (c *ledgerDeleteCmd) Run(ctx context.Context, out io.Writer) error {
	return c.change(ctx, out, ledger.Command{Op: ledger.Delete, Name: c.Name, Expect: c.Expect})
}

// groupCmd shows and changes the members of a group.
type groupCmd struct {
	Show     groupShowCmd     `cmd:"" help:"Show how members stand: the writer, its term, who lags."`
	Add      groupAddCmd      `cmd:"" help:"Add a member, which is filled and then votes."`
	Remove   groupRemoveCmd   `cmd:"" help:"Take a member out, for good."`
	Transfer groupTransferCmd `cmd:"" help:"Have another member write."`
}

// changeMembers runs a membership change in the group and prints done on success.
func (m *groupFlags) changeMembers(ctx context.Context, out io.Writer, change func(context.Context, *group.Client) error, done string) error {
	client, ctx, closeClient := m.client(ctx)
	defer closeClient()
	if err := change(ctx, client); err != nil {
		return err
	}
	fmt.Fprintln(out, done)
	return nil
}

type groupAddCmd struct {
	groupFlags
	Number  uint64 `arg:"" help:"A number that none has had."`
	Address string `arg:"" help:"Where members and callers will reach it."`
	List    string `help:"Its list service's address, where the group has the list."`
}

func (c *groupAddCmd) Run(ctx context.Context, out io.Writer) error {
	return c.changeMembers(ctx, out, func(ctx context.Context, client *group.Client) error {
		return client.Add(ctx, c.Number, group.Member{Address: c.Address, RegistryAddress: c.List})
	}, fmt.Sprintf("member %d is added; it votes once it is filled (group show)", c.Number))
}

type groupRemoveCmd struct {
	groupFlags
	Number uint64 `arg:""`
}

func (c *groupRemoveCmd) Run(ctx context.Context, out io.Writer) error {
	return c.changeMembers(ctx, out, func(ctx context.Context, client *group.Client) error {
		return client.Remove(ctx, c.Number)
	}, fmt.Sprintf("member %d is taken out; its number is never given again", c.Number))
}

type groupTransferCmd struct {
	groupFlags
	Number uint64 `arg:""`
}

func (c *groupTransferCmd) Run(ctx context.Context, out io.Writer) error {
	return c.changeMembers(ctx, out, func(ctx context.Context, client *group.Client) error {
		return client.Transfer(ctx, c.Number)
	}, fmt.Sprintf("member %d writes", c.Number))
}

type groupShowCmd struct {
	Members []string      `arg:"" help:"Their addresses."`
	Wait    time.Duration `help:"How long each may take." default:"3s"`
}

// errMembersDiffer reports a group without one writer that all its members agree on.
var errMembersDiffer = errors.New("members name different writers in one term, or none that answers")

func (c *groupShowCmd) Run(ctx context.Context, out io.Writer) error {
	client := group.NewClient(c.Members)
	defer client.Close()
	tab := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "member\tnumber\tis\tgroup\tterm\twriter\tapplied\tcommitted\trecords\tsessions\tcommit p50/p99/most ms\tlag")
	writers := map[uint64]uint64{} // by term
	newestTerm, writerAnswered, differ := uint64(0), false, false
	for _, address := range c.Members {
		memberCtx, cancel := context.WithTimeout(ctx, c.Wait)
		status, err := client.Status(memberCtx, address)
		cancel()
		if err != nil {
			fmt.Fprintf(tab, "%s\tno answer: %v\n", address, err)
			continue
		}
		var lag []string
		for _, n := range slices.Sorted(maps.Keys(status.Lag)) {
			lag = append(lag, fmt.Sprintf("%d:%d", n, status.Lag[n]))
		}
		fmt.Fprintf(tab, "%s\t%d\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f/%.1f/%.1f\t%s\n", address, status.Self, status.Role(), status.Group, status.Term, status.Writer, status.Applied, status.Committed, status.Ledger.Records, status.Ledger.Sessions,
			float64(status.CommitP50Us)/1e3, float64(status.CommitP99Us)/1e3, float64(status.CommitMaxUs)/1e3, strings.Join(lag, " "))
		writer, known := writers[status.Term]
		differ = differ || known && status.Writer != 0 && writer != 0 && writer != status.Writer
		if writers[status.Term] = max(writer, status.Writer); status.Term > newestTerm {
			newestTerm, writerAnswered = status.Term, false
		}
		writerAnswered = writerAnswered || status.Term == newestTerm && status.Writer == status.Self
	}
	if err := tab.Flush(); err != nil {
		return err
	}
	if differ || !writerAnswered {
		return errMembersDiffer
	}
	return nil
}
