package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"text/tabwriter"
	"time"

	"dunlintray/internal/gateway"
	"dunlintray/internal/membership"
	"dunlintray/internal/views"
)

type membersCmd struct {
	Address []string `arg:"" help:"Control addresses: of one gateway, whose view is shown, or of several, whose views are compared."`
	JSON    bool     `help:"As the gateways tell it, a line each."`
}

const (
	mostAsked   = 32     // gateways at once
	mostMembers = 10_000 // of a fleet
)

func (c *membersCmd) Run(ctx context.Context, out io.Writer) error {
	type told struct {
		text []byte
		view gateway.MembersView
		err  error
	}
	all := make([]told, len(c.Address))
	var wg sync.WaitGroup
	places := make(chan struct{}, mostAsked)
	for n, address := range c.Address {
		wg.Go(func() {
			places <- struct{}{}
			defer func() { <-places }()
			t := &all[n]
			if t.text, t.err = askMembers(ctx, address); t.err == nil {
				t.err = json.Unmarshal(t.text, &t.view)
			}
		})
	}
	wg.Wait()
	var found []views.View
	asked := map[int]string{}
	failed := 0
	for n, t := range all {
		switch twice := asked[t.view.Self]; {
		case t.err != nil:
			if len(all) == 1 {
				return t.err
			}
			failed++
			fmt.Fprintf(out, "%s does not tell: %v\n", c.Address[n], t.err)
		case c.JSON:
			if _, err := out.Write(t.text); err != nil {
				return err
			}
		case len(all) == 1:
			return showMembers(out, t.view)
		case twice != "":
			// One number given to two gateways, or one gateway asked twice.
			failed++
			fmt.Fprintf(out, "%s and %s both say that they are n%d; only the first is compared\n", twice, c.Address[n], t.view.Self)
		default:
			asked[t.view.Self] = c.Address[n]
			fmt.Fprintf(out, "n%d: %s\n", t.view.Self, standing(t.view))
			found = append(found, viewOf(t.view))
		}
	}
	if !c.JSON {
		views.Compare(found).Write(out)
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d gateways did not tell", failed, len(all))
	}
	return nil
}

func viewOf(v gateway.MembersView) views.View {
	out := views.View{Self: v.Self}
	for _, m := range v.Members {
		if m.Number < 0 || m.Number >= mostMembers {
			continue // no fleet has it
		}
		for len(out.Present) <= m.Number {
			out.Present = append(out.Present, false)
		}
		out.Present[m.Number] = m.State == membership.Alive.String() || m.State == membership.Suspect.String()
	}
	return out
}

// standing is how a gateway says that it stands.
func standing(v gateway.MembersView) string {
	if v.State == "" {
		return "does not say how it stands" // an earlier program
	}
	return fmt.Sprintf("%s for %v: %s", v.State, (time.Duration(v.StateForMs) * time.Millisecond).Round(100*time.Millisecond), v.Reason)
}

// askMembers asks one gateway.
func askMembers(ctx context.Context, address string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callWait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/control/members", nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	const most = 1 << 20
	text, err := io.ReadAll(io.LimitReader(resp.Body, most))
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("no: %s: %.200s", resp.Status, text)
	}
	return text, err
}

// showMembers shows one gateway's view.
func showMembers(out io.Writer, v gateway.MembersView) error {
	if !v.On {
		fmt.Fprintln(out, "takes no part yet: another process has its address")
	}
	fmt.Fprintln(out, standing(v))
	tab := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "gateway\tstate\tfor\tincarnation\tstarted")
	for _, m := range v.Members {
		started := "-"
		if m.StartedAtMs > 0 {
			started = time.UnixMilli(m.StartedAtMs).UTC().Format(time.RFC3339)
		}
		fmt.Fprintf(tab, "%d\t%s\t%v\t%d\t%s\n", m.Number, m.State, (time.Duration(m.StateForMs) * time.Millisecond).Round(100*time.Millisecond), m.Incarnation, started)
	}
	tab.Flush()
	_, err := fmt.Fprintf(out, "%d of %d members that were heard agree with gateway %d\n", v.AgreeingViews, v.ReceivedViews, v.Self)
	return err
}
