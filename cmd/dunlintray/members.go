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
	maxConcurrentCalls = 32     // gateways called at once
	maxMembers         = 10_000 // member numbers of a fleet
)

func (c *membersCmd) Run(ctx context.Context, out io.Writer) error {
	type gatewayAnswer struct {
		text []byte
		view gateway.MembersView
		err  error
	}
	answers := make([]gatewayAnswer, len(c.Address))
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentCalls)
	for n, address := range c.Address {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			a := &answers[n]
			if a.text, a.err = fetchMembers(ctx, address); a.err == nil {
				a.err = json.Unmarshal(a.text, &a.view)
			}
		})
	}
	wg.Wait()
	var compared []views.View
	addresses := map[int]string{}
	failed := 0
	for n, answer := range answers {
		switch firstAddress := addresses[answer.view.Self]; {
		case answer.err != nil:
			if len(answers) == 1 {
				return answer.err
			}
			failed++
			fmt.Fprintf(out, "%s did not answer: %v\n", c.Address[n], answer.err)
		case c.JSON:
			if _, err := out.Write(answer.text); err != nil {
				return err
			}
		case len(answers) == 1:
			return showMembers(out, answer.view)
		case firstAddress != "":
			// Two gateways share a number, or two addresses reach one gateway.
			failed++
			fmt.Fprintf(out, "%s and %s both say that they are n%d; only the first is compared\n", firstAddress, c.Address[n], answer.view.Self)
		default:
			addresses[answer.view.Self] = c.Address[n]
			fmt.Fprintf(out, "n%d: %s\n", answer.view.Self, partitionState(answer.view))
			compared = append(compared, viewOf(answer.view))
		}
	}
	if !c.JSON {
		views.Compare(compared).Write(out)
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d gateways did not answer, or repeat the number of another", failed, len(answers))
	}
	return nil
}

// viewOf converts the answer of a gateway to the view that is compared: suspects count as present.
func viewOf(v gateway.MembersView) views.View {
	view := views.View{Self: v.Self}
	for _, m := range v.Members {
		if m.Number < 0 || m.Number >= maxMembers {
			continue // bounds the memory that a wrong answer can take
		}
		for len(view.Present) <= m.Number {
			view.Present = append(view.Present, false)
		}
		view.Present[m.Number] = m.State == membership.Alive.String() || m.State == membership.Suspect.String()
	}
	return view
}

// partitionState describes the partition state that a gateway reports.
func partitionState(v gateway.MembersView) string {
	if v.State == "" {
		return "does not report its partition state" // a build without that field
	}
	return fmt.Sprintf("%s for %v: %s", v.State, (time.Duration(v.StateForMs) * time.Millisecond).Round(100*time.Millisecond), v.Reason)
}

// fetchMembers returns the encoded membership view of one gateway.
func fetchMembers(ctx context.Context, address string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
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
	const maxResponseBytes = 1 << 20
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %s: %.200s", resp.Status, text)
	}
	return text, err
}

// showMembers prints the view of one gateway as a table.
func showMembers(out io.Writer, v gateway.MembersView) error {
	if !v.On {
		fmt.Fprintln(out, "membership is not active yet: another process has its address")
	}
	fmt.Fprintln(out, partitionState(v))
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
	_, err := fmt.Fprintf(out, "%d of %d received views agree with gateway %d\n", v.AgreeingViews, v.ReceivedViews, v.Self)
	return err
}
