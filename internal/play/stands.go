package play

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"dunlintray/internal/gateway"
	"dunlintray/internal/world"
)

const (
	askGap  = 500 * time.Millisecond // between two questions to a gateway
	askWait = 300 * time.Millisecond // a frozen one does not answer
	mostSay = 1 << 20
)

// askStands asks one gateway, as an operator would, how it stands, and tells the
// world of each change, until ctx ends.
func (e *engine) askStands(ctx context.Context, g int) {
	t := time.NewTicker(askGap)
	defer t.Stop()
	last := "whole"
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if v, ok := e.stands(ctx, g); ok && v.State != last {
			last = v.State
			e.post(world.Stands{Gateway: g, How: v.State + ": " + v.Why})
		}
	}
}

func (e *engine) stands(ctx context.Context, g int) (v gateway.MembersView, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, askWait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.place.control(g)+"/control/members", nil)
	if err != nil {
		return v, false
	}
	resp, err := e.http.Do(req)
	if err != nil {
		return v, false
	}
	defer resp.Body.Close()
	err = json.NewDecoder(io.LimitReader(resp.Body, mostSay)).Decode(&v)
	return v, err == nil && resp.StatusCode == http.StatusOK && v.State != ""
}
