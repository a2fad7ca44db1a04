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

// ledgerCmd calls a group of list services for the ledger that they agree on.
type ledgerCmd struct {
	Get    ledgerGetCmd    `cmd:"" help:"Print a record, as all that was agreed on before left it."`
	List   ledgerListCmd   `cmd:"" help:"Print all records under a prefix."`
	Put    ledgerPutCmd    `cmd:"" help:"Write a record."`
	Delete ledgerDeleteCmd `cmd:"" help:"Take a record away."`
}

// membersArg are the members to ask, any of which will do.
type membersArg struct {
	Group string        `required:"" help:"Addresses of members, with commas between." placeholder:"ADDRESS,..."`
	Wait  time.Duration `help:"How long to try." default:"10s"`
}

func (m *membersArg) client(ctx context.Context) (*group.Client, context.Context, func()) {
	c := group.NewClient(strings.Split(m.Group, ","))
	ctx, cancel := context.WithTimeout(ctx, m.Wait)
	return c, ctx, func() { cancel(); c.Close() }
}

type ledgerGetCmd struct {
	membersArg
	Name string `arg:""`
}

func (c *ledgerGetCmd) Run(ctx context.Context, out io.Writer) error {
	client, ctx, end := c.client(ctx)
	defer end()
	r, there, err := client.Get(ctx, c.Name)
	switch {
	case err != nil:
		return err
	case !there:
		return fmt.Errorf("there is no record %s", c.Name)
	}
	return json.NewEncoder(out).Encode(r)
}

type ledgerListCmd struct {
	membersArg
	Prefix string `arg:"" optional:""`
}

func (c *ledgerListCmd) Run(ctx context.Context, out io.Writer) error {
	client, ctx, end := c.client(ctx)
	defer end()
	l, err := client.List(ctx, c.Prefix)
	if err != nil {
		return err
	}
	e := json.NewEncoder(out)
	for _, r := range l.Records {
		if err := e.Encode(r.Record); err != nil {
			return err
		}
	}
	return nil
}

// change makes a command and tells what it came to.
func (m *membersArg) change(ctx context.Context, out io.Writer, command ledger.Command) error {
	client, ctx, end := m.client(ctx)
	defer end()
	r, err := client.Do(ctx, command)
	switch {
	case err != nil:
		return fmt.Errorf("it is not known whether it was done: %w", err)
	case r.Code != ledger.OK:
		return fmt.Errorf("%s: %s", r.Code, r.Text)
	}
	return json.NewEncoder(out).Encode(r)
}

type ledgerPutCmd struct {
	membersArg
	Name   string  `arg:""`
	Value  string  `arg:"" help:"JSON."`
	Expect *uint64 `help:"The version that the record has to have; 0: none."`
}

func (c *ledgerPutCmd) Run(ctx context.Context, out io.Writer) error {
	return c.change(ctx, out, ledger.Command{Op: ledger.Put, Name: c.Name, Value: json.RawMessage(c.Value), Expect: c.Expect})
}

type ledgerDeleteCmd struct {
	membersArg
	Name   string  `arg:""`
	Expect *uint64 `help:"The version that the record has to have."`
}

func (c *ledgerDeleteCmd) Run(ctx context.Context, out io.Writer) error {
	return c.change(ctx, out, ledger.Command{Op: ledger.Delete, Name: c.Name, Expect: c.Expect})
}

// groupCmd looks at the members themselves, and changes who they are.
type groupCmd struct {
	Show     groupShowCmd     `cmd:"" help:"Show how members stand: the writer, its term, who lags."`
	Add      groupAddCmd      `cmd:"" help:"Add a member, which is filled and then votes."`
	Remove   groupRemoveCmd   `cmd:"" help:"Take a member out, for good."`
	Transfer groupTransferCmd `cmd:"" help:"Have another member write."`
}

// changeMembers has the group change its members, and then writes the line done.
func (m *membersArg) changeMembers(ctx context.Context, out io.Writer, change func(context.Context, *group.Client) error, done string) error {
	client, ctx, end := m.client(ctx)
	defer end()
	if err := change(ctx, client); err != nil {
		return err
	}
	fmt.Fprintln(out, done)
	return nil
}

type groupAddCmd struct {
	membersArg
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
	membersArg
	Number uint64 `arg:""`
}

func (c *groupRemoveCmd) Run(ctx context.Context, out io.Writer) error {
	return c.changeMembers(ctx, out, func(ctx context.Context, client *group.Client) error {
		return client.Remove(ctx, c.Number)
	}, fmt.Sprintf("member %d is taken out; its number is never given again", c.Number))
}

type groupTransferCmd struct {
	membersArg
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

var errMembersDiffer = errors.New("members name different writers in one term, or none that answers")

func (c *groupShowCmd) Run(ctx context.Context, out io.Writer) error {
	client := group.NewClient(c.Members)
	defer client.Close()
	tab := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "member\tnumber\tis\tgroup\tterm\twriter\tapplied\tcommitted\trecords\tsessions\tcommit p50/p99/most ms\tlag")
	writers := map[uint64]uint64{} // by term
	newest, writes, differ := uint64(0), false, false
	for _, at := range c.Members {
		within, cancel := context.WithTimeout(ctx, c.Wait)
		s, err := client.Status(within, at)
		cancel()
		if err != nil {
			fmt.Fprintf(tab, "%s\tno answer: %v\n", at, err)
			continue
		}
		var lag []string
		for _, n := range slices.Sorted(maps.Keys(s.Lag)) {
			lag = append(lag, fmt.Sprintf("%d:%d", n, s.Lag[n]))
		}
		fmt.Fprintf(tab, "%s\t%d\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f/%.1f/%.1f\t%s\n", at, s.Self, s.Role(), s.Group, s.Term, s.Writer, s.Applied, s.Committed, s.Ledger.Records, s.Ledger.Sessions,
			float64(s.CommitP50Us)/1e3, float64(s.CommitP99Us)/1e3, float64(s.CommitMaxUs)/1e3, strings.Join(lag, " "))
		before, told := writers[s.Term]
		differ = differ || told && s.Writer != 0 && before != 0 && before != s.Writer
		if writers[s.Term] = max(before, s.Writer); s.Term > newest {
			newest, writes = s.Term, false
		}
		writes = writes || s.Term == newest && s.Writer == s.Self
	}
	if err := tab.Flush(); err != nil {
		return err
	}
	if differ || !writes {
		return errMembersDiffer
	}
	return nil
}
