package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"dunlintray/internal/budget"
	"dunlintray/internal/registry"
)

// backendFlags name a backend to drain or undrain, and the services that decide on it.
type backendFlags struct {
	groupFlags
	Lists string `required:"" help:"Addresses of list services, with commas between." placeholder:"ADDRESS,..."`
	As    string `help:"Who holds the permit." default:"operator" env:"USER"`
	ID    string `arg:"" help:"The backend."`
}

func (c *backendFlags) name() budget.Name { return budget.Name{Kind: budget.Backend, ID: c.ID} }

// callRegistry calls the service registries in turn until one answers or ctx ends. A client
// error (4xx) is final; redirects to the writer are followed.
func (c *backendFlags) callRegistry(ctx context.Context, method, path string, body any) (text []byte, header http.Header, err error) {
	var request []byte
	if body != nil {
		if request, err = json.Marshal(body); err != nil {
			return nil, nil, err
		}
	}
	for {
		for _, address := range strings.Split(c.Lists, ",") {
			text, header, err = callOnce(ctx, method, "http://"+address+registry.Path+path, request)
			var failure *statusError
			if err == nil || errors.As(err, &failure) && failure.status < 500 {
				return text, header, err
			}
		}
		select {
		case <-ctx.Done():
			return nil, nil, err
		case <-time.After(retryInterval):
		}
	}
}

const (
	retryInterval    = 100 * time.Millisecond // between rounds of calls
	requestTimeout   = time.Second            // of one call
	maxResponseBytes = 8 << 20
)

// statusError is a response with another status than 200.
type statusError struct {
	status int
	text   string
}

func (e *statusError) Error() string { return fmt.Sprintf("status %d: %s", e.status, e.text) }

// callOnce makes one request. It returns a statusError for another status than 200.
func callOnce(ctx context.Context, method, url string, body []byte) ([]byte, http.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
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
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err == nil && resp.StatusCode != http.StatusOK {
		err = &statusError{resp.StatusCode, strings.TrimSpace(string(text))}
	}
	return text, resp.Header, err
}

// setLifecycle sets the lifecycle of the backend in the service registry, and returns the
// version and the history of the list that has the change.
func (c *backendFlags) setLifecycle(ctx context.Context, lifecycle registry.Lifecycle) (version int64, history string, err error) {
	text, header, err := c.callRegistry(ctx, http.MethodGet, "", nil)
	if err != nil {
		return 0, "", fmt.Errorf("list services: %w", err)
	}
	listing, err := registry.ParseListing(text)
	if err != nil {
		return 0, "", fmt.Errorf("list services: %w", err)
	}
	index := slices.IndexFunc(listing.Instances, func(i registry.Instance) bool { return i.ID == c.ID })
	if index < 0 {
		return 0, "", fmt.Errorf("%s is not registered", c.ID)
	}
	text, _, err = c.callRegistry(ctx, http.MethodPost, "/"+url.PathEscape(c.ID)+"/lifecycle",
		map[string]any{"startedAtMs": listing.Instances[index].StartedAtMs, "lifecycle": lifecycle})
	if err != nil {
		return 0, "", fmt.Errorf("list services: %w", err)
	}
	var result registry.WriteResult
	if err := json.Unmarshal(text, &result); err != nil {
		return 0, "", fmt.Errorf("list services: %w", err)
	}
	return result.Version, header.Get(registry.HistoryHeader), nil
}
