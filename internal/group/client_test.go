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

// A call that ends with its context names the last failure from before, not the try that
// the end of the context cut short.
func TestCallNamesItsLastFailure(t *testing.T) {
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
		t.Errorf("the call ended with: %v", err)
	}
	if n := calls.Load(); n != 2 {
		t.Errorf("%d calls came, not 2", n)
	}
}
