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

// permitsCmd shows and changes who may be out.
type permitsCmd struct {
	Show   permitsShowCmd   `cmd:"" default:"withargs" help:"Show the rules, and the units that are out."`
	Rules  permitsRulesCmd  `cmd:"" help:"Put the rules of a file in force."`
	Forget permitsForgetCmd `cmd:"" help:"Take a unit that is gone for good off the books."`
}

type permitsShowCmd struct {
	membersArg
	All bool `help:"All units, also those that are ready."`
}

func (c *permitsShowCmd) Run(ctx context.Context, out io.Writer) error {
	client, ctx, end := c.client(ctx)
	defer end()
	u, err := client.Units(ctx)
	if err != nil {
		return err
	}
	for _, r := range u.Rules {
		fmt.Fprintln(out, "rule:", r.String())
	}
	for _, never := range u.Unsatisfiable {
		fmt.Fprintln(out, "can never be met:", never)
	}
	tab := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "unit\tzone\tready\tpermit\tholder\treason\tstate")
	outs := 0
	for _, unit := range u.Units {
		if unit.Unavailable() {
			outs++
		} else if !c.All {
			continue
		}
		p, state := unit.Permit, ""
		switch {
		case p == nil && !unit.Ready:
			state = "out by itself"
		case p == nil:
		case p.Lost:
			state = "its holder is lost; it may still be down"
		case p.ReturnedAt != 0:
			state = "given back, not seen ready yet"
		default:
			state = "held"
		}
		p = cmp.Or(p, &budget.Permit{})
		fmt.Fprintf(tab, "%s\t%s\t%t\t%d\t%s\t%s\t%s\n", unit.Name, unit.Zone, unit.Ready, p.Number, p.Holder, p.Reason, state)
	}
	if err := tab.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(out, "%d of %d units are out\n", outs, len(u.Units))
	return nil
}

// rulesFile is a file of rules.
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
	membersArg
	File string `arg:"" help:"TOML: [[rule]] with kind, zone, canary, most_out, most_share, by_weight, least_ready." type:"existingfile"`
}

func (c *permitsRulesCmd) Run(ctx context.Context, out io.Writer) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	var f rulesFile
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(&f); err != nil {
		var unknown *toml.StrictMissingError
		if errors.As(err, &unknown) {
			return fmt.Errorf("%s:\n%s", c.File, unknown.String())
		}
		return fmt.Errorf("%s: %w", c.File, err)
	}
	command := &budget.Command{Op: budget.SetRules}
	for _, r := range f.Rules {
		command.Rules = append(command.Rules, budget.Rule(r))
	}
	client, ctx, end := c.client(ctx)
	defer end()
	if _, err := units(ctx, client, command); err != nil {
		return err
	}
	u, err := client.Units(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%d rules are in force\n", len(command.Rules))
	for _, never := range u.Unsatisfiable {
		fmt.Fprintln(out, "can never be met by the units that there are:", never)
	}
	return nil
}

type permitsForgetCmd struct {
	membersArg
	Kind budget.Kind `arg:"" enum:"backend,gateway,service"`
	ID   string      `arg:""`
}

func (c *permitsForgetCmd) Run(ctx context.Context, out io.Writer) error {
	client, ctx, end := c.client(ctx)
	defer end()
	name := budget.Name{Kind: c.Kind, ID: c.ID}
	if _, err := units(ctx, client, &budget.Command{Op: budget.Forget, Unit: budget.Unit{Name: name}}); err != nil {
		return err
	}
	fmt.Fprintln(out, name, "is forgotten")
	return nil
}

// units has the group do something about units.
func units(ctx context.Context, client *group.Client, c *budget.Command) (*budget.Permit, error) {
	r, err := client.Do(ctx, ledger.Command{Op: ledger.Budget, Units: c})
	switch {
	case err != nil:
		return nil, fmt.Errorf("it is not known whether it was done: %w", err)
	case r.Code != ledger.OK:
		return nil, fmt.Errorf("%s: %s", r.Code, r.Text)
	}
	return r.Permit, nil
}

// backendArg is a backend that is taken out or brought back.
type backendArg struct {
	membersArg
	Lists string `required:"" help:"Addresses of list services, with commas between." placeholder:"ADDRESS,..."`
	As    string `help:"Who holds the permit." default:"operator" env:"USER"`
	ID    string `arg:"" help:"The backend."`
}

func (c *backendArg) name() budget.Name { return budget.Name{Kind: budget.Backend, ID: c.ID} }

// list calls a list service, whichever answers; the writer's address is followed.
func (c *backendArg) list(ctx context.Context, method, path string, body any) (text []byte, header http.Header, err error) {
	var request []byte
	if body != nil {
		if request, err = json.Marshal(body); err != nil {
			return nil, nil, err
		}
	}
	for {
		for _, at := range strings.Split(c.Lists, ",") {
			text, header, err = c.once(ctx, method, "http://"+at+registry.Path+path, request)
			var no *refusedCall
			if err == nil || errors.As(err, &no) && no.status < 500 {
				return text, header, err
			}
		}
		select {
		case <-ctx.Done():
			return nil, nil, err
		case <-time.After(askGap):
		}
	}
}

const (
	askGap  = 100 * time.Millisecond
	askWait = time.Second
	mostGot = 8 << 20
)

// refusedCall is an answer that says no.
type refusedCall struct {
	status int
	text   string
}

func (e *refusedCall) Error() string { return fmt.Sprintf("%d: %s", e.status, e.text) }

func (c *backendArg) once(ctx context.Context, method, url string, body []byte) ([]byte, http.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, askWait)
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
	text, err := io.ReadAll(io.LimitReader(resp.Body, mostGot))
	if err == nil && resp.StatusCode != http.StatusOK {
		err = &refusedCall{resp.StatusCode, strings.TrimSpace(string(text))}
	}
	return text, resp.Header, err
}

// lifecycle tells the list what the backend's process does, and returns the list's
// version and history from which on it does.
func (c *backendArg) lifecycle(ctx context.Context, lifecycle registry.Lifecycle) (version int64, history string, err error) {
	text, header, err := c.list(ctx, http.MethodGet, "", nil)
	if err != nil {
		return 0, "", fmt.Errorf("list services: %w", err)
	}
	l, err := registry.ParseListing(text)
	if err != nil {
		return 0, "", fmt.Errorf("list services: %w", err)
	}
	at := slices.IndexFunc(l.Instances, func(i registry.Instance) bool { return i.ID == c.ID })
	if at < 0 {
		return 0, "", fmt.Errorf("%s is not on the list", c.ID)
	}
	text, _, err = c.list(ctx, http.MethodPost, "/"+url.PathEscape(c.ID)+"/lifecycle",
		map[string]any{"startedAtMs": l.Instances[at].StartedAtMs, "lifecycle": lifecycle})
	if err != nil {
		return 0, "", fmt.Errorf("list services: %w", err)
	}
	var w registry.WriteResult
	if err := json.Unmarshal(text, &w); err != nil {
		return 0, "", fmt.Errorf("list services: %w", err)
	}
	return w.Version, header.Get(registry.HistoryHeader), nil
}

type drainCmd struct {
	backendArg
	Gateways string        `required:"" help:"Control addresses of all gateways, with commas between." placeholder:"ADDRESS,..."`
	For      time.Duration `help:"How long it may be out." default:"1h"`
	Why      string        `required:"" help:"The reason, for those who look."`
	Within   time.Duration `help:"How long gateways may take until the backend is drained." default:"30s"`
}

// errNotKnown is the answer where some gateway can't be heard or has not done.
var errNotKnown = errors.New("it is not known whether the backend is drained")

func (c *drainCmd) Run(ctx context.Context, out io.Writer) error {
	client, within, end := c.client(ctx)
	defer end()
	p, err := units(within, client, &budget.Command{Op: budget.Acquire, Unit: budget.Unit{Name: c.name()},
		Permit: budget.Permit{Holder: c.As, Reason: c.Why, TermMs: c.For.Milliseconds()}})
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "permit %d: %s may be out\n", p.Number, c.name())
	version, history, err := c.lifecycle(within, registry.Terminating)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "the list says so from version %d on\n", version)
	waiting, stop := context.WithTimeout(ctx, c.Within)
	defer stop()
	left, asked := strings.Split(c.Gateways, ","), &fleetSeen{ranks: map[int]bool{}}
	for began := time.Now(); ; {
		var why []string
		left, why = c.notDrained(waiting, left, asked, history, version)
		if missing := asked.missing(); len(left) == 0 && missing != "" {
			fmt.Fprintln(out, missing)
			return errNotKnown
		}
		if len(left) == 0 {
			fmt.Fprintf(out, "drained: %d gateways have that version and hold nothing there, after %v\n", strings.Count(c.Gateways, ",")+1, time.Since(began).Round(time.Millisecond))
			return nil
		}
		select {
		case <-waiting.Done():
			for _, line := range why {
				fmt.Fprintln(out, line)
			}
			return errNotKnown
		case <-time.After(askGap):
		}
	}
}

// fleetSeen is which gateways of a fleet have answered.
type fleetSeen struct {
	most  int // gateways that there are, as any of them is told
	ranks map[int]bool
}

// missing names those that nobody asked, and that may send to the backend.
func (f *fleetSeen) missing() string {
	var all []int
	for rank := range f.most {
		if !f.ranks[rank] {
			all = append(all, rank)
		}
	}
	if len(all) == 0 {
		return ""
	}
	return fmt.Sprintf("there are %d gateways, and those with these ranks were not named: %v", f.most, all)
}

// notDrained asks gateways, all at once, and returns those that may still send to the
// backend, and why.
func (c *drainCmd) notDrained(ctx context.Context, gateways []string, seen *fleetSeen, history string, version int64) (left, why []string) {
	answers, views := make([]string, len(gateways)), make([]gateway.BackendsView, len(gateways))
	done := make(chan struct{})
	for n, at := range gateways {
		go func() {
			defer func() { done <- struct{}{} }()
			text, _, err := c.once(ctx, http.MethodGet, "http://"+at+"/control/backends?backend="+url.QueryEscape(c.ID), nil)
			if err == nil {
				err = json.Unmarshal(text, &views[n])
			}
			answers[n] = c.open(&views[n], err, history, version)
		}()
	}
	for range gateways {
		<-done
	}
	for n, at := range gateways {
		if v := &views[n]; v.Fleet > 0 {
			seen.most = max(seen.most, v.Fleet)
			seen.ranks[v.Rank] = true
		}
		if answers[n] != "" {
			left = append(left, at)
			why = append(why, at+": "+answers[n])
		}
	}
	return left, why
}

// open says what is left to do at a gateway; nothing: it is done.
func (c *drainCmd) open(v *gateway.BackendsView, err error, history string, version int64) string {
	switch {
	case err != nil:
		return fmt.Sprintf("it can't be heard: %v", err)
	case v.SiblingRunning:
		return "two processes of it run, and one's work is not told"
	case v.History != history:
		return fmt.Sprintf("its list is of history %q, not %q", v.History, history)
	case v.Version < version:
		return fmt.Sprintf("it has version %d of the list, not %d", v.Version, version)
	}
	for _, b := range v.Backends {
		switch {
		case b.ID != c.ID && b.Number != gateway.BackendNumber(c.ID):
		case b.Lifecycle == registry.Ready:
			return "it has the backend for ready again"
		case b.InFlight > 0:
			return fmt.Sprintf("%d requests are out there", b.InFlight)
		}
	}
	return ""
}

type undrainCmd struct{ backendArg }

func (c *undrainCmd) Run(ctx context.Context, out io.Writer) error {
	client, ctx, end := c.client(ctx)
	defer end()
	u, err := client.Units(ctx)
	if err != nil {
		return err
	}
	at := slices.IndexFunc(u.Units, func(u budget.Unit) bool { return u.Name == c.name() })
	if at < 0 {
		return fmt.Errorf("there is no %s", c.name())
	}
	// First the permit, then the list: once that says Ready, the unit is seen so.
	if p := u.Units[at].Permit; p != nil {
		if _, err := units(ctx, client, &budget.Command{Op: budget.Return, Unit: budget.Unit{Name: c.name()}, Permit: budget.Permit{Number: p.Number, Holder: c.As}}); err != nil {
			return err
		}
	}
	version, _, err := c.lifecycle(ctx, registry.Ready)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s is ready from version %d of the list on\n", c.name(), version)
	return nil
}
