package group

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
)

// A call that ends with its context reports the last failure before that, not the attempt that
// the context aborted.
func TestCallReportsLastFailure(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	var calls atomic.Int32
	member := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 {
			http.Error(w, "no leader is elected", http.StatusServiceUnavailable)
			return
		}
		cancel()
		<-r.Context().Done()
	}))
	defer member.Close()
	c := NewClient([]string{member.Listener.Addr().String()})
	defer c.Close()
	_, _, err := c.call(ctx, http.MethodGet, "/", nil)
	if !errors.Is(err, context.Canceled) || !strings.Contains(err.Error(), "no leader is elected") {
		t.Errorf("got error %v, want the last failure and context.Canceled", err)
	}
	if n := calls.Load(); n != 2 {
		t.Errorf("got %d requests, want 2", n)
	}
}
