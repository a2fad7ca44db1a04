package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"dunlintray/internal/gateway"
)

type membersCmd struct {
	Address string `arg:"" help:"A gateway's control address."`
	JSON    bool   `help:"As the gateway tells it."`
}

func (c *membersCmd) Run(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, callWait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Address+"/control/members", nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	const most = 1 << 20
	text, err := io.ReadAll(io.LimitReader(resp.Body, most))
	switch {
	case err != nil:
		return err
	case resp.StatusCode != http.StatusOK:
		return fmt.Errorf("no: %s: %.200s", resp.Status, text)
	case c.JSON:
		_, err := out.Write(text)
		return err
	}
	var v gateway.MembersView
	if err := json.Unmarshal(text, &v); err != nil {
		return err
	}
	if !v.On {
		fmt.Fprintln(out, "takes no part yet: another process has its address")
	}
	tab := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "gateway\tstate\tfor\tincarnation\tstarted")
	for _, m := range v.Members {
		started := "-"
		if m.StartedAtMs > 0 {
			started = time.UnixMilli(m.StartedAtMs).UTC().Format(time.RFC3339)
		}
		fmt.Fprintf(tab, "%d\t%s\t%v\t%d\t%s\n", m.Number, m.State, (time.Duration(m.ForMs) * time.Millisecond).Round(100*time.Millisecond), m.Incarnation, started)
	}
	tab.Flush()
	_, err = fmt.Fprintf(out, "%d of %d members that were heard agree with gateway %d\n", v.Same, v.Heard, v.Self)
	return err
}
