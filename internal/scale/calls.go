package scale

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"dunlintray/internal/registry"
)

const (
	backendCallTimeout = 5 * time.Second // for the registry's answer
	maxRedirects       = 2               // in a row, before the call fails
	maxCallBodyBytes   = 4 << 10
)

// writeClient makes the registry calls of hollow backends over HTTP. It follows redirects to
// the writer and rotates through the members when one does not answer.
type writeClient struct {
	http           *http.Client
	members        []string
	backendAddress string // at which all backends of the process answer requests

	mu         sync.Mutex
	nextMember int    // index in members
	writer     string // address of the member that answered last or was named by a redirect
}

func newWriteClient(members []string, backendAddress string, connections int) *writeClient {
	return &writeClient{members: members, backendAddress: backendAddress, writer: members[0],
		http: &http.Client{Timeout: backendCallTimeout,
			Transport:     &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: connections, MaxConnsPerHost: connections},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}
}

// target returns the address for the next call.
func (c *writeClient) target() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writer
}

// rotate switches to the next member after a failed call to address, unless another call has
// changed the writer meanwhile.
func (c *writeClient) rotate(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writer == address {
		c.nextMember++
		c.writer = c.members[c.nextMember%len(c.members)]
	}
}

func (c *writeClient) setWriter(writer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writer = writer
}

// do makes a call and returns the status and the version of the answer. Status 0 means that
// there was no valid answer.
func (c *writeClient) do(ctx context.Context, outgoing call) (status int, version int64) {
	for range maxRedirects {
		address := c.target()
		resp, err := c.send(ctx, address, outgoing)
		if err != nil {
			c.rotate(address)
			return 0, 0
		}
		text, err := io.ReadAll(io.LimitReader(resp.Body, maxCallBodyBytes))
		resp.Body.Close()
		switch {
		case err != nil:
			return 0, 0
		case resp.StatusCode == http.StatusTemporaryRedirect:
			if to, err := url.Parse(resp.Header.Get("Location")); err == nil && to.Host != "" {
				c.setWriter(to.Host)
				continue
			}
			c.rotate(address)
			return resp.StatusCode, 0
		case resp.StatusCode == http.StatusServiceUnavailable:
			c.rotate(address)
		}
		var answer struct {
			Version int64 `json:"version"`
		}
		if resp.StatusCode == http.StatusOK && json.Unmarshal(text, &answer) != nil {
			return 0, 0
		}
		return resp.StatusCode, answer.Version
	}
	return 0, 0
}

func (c *writeClient) send(ctx context.Context, address string, outgoing call) (*http.Response, error) {
	backend := outgoing.backend
	path := "http://" + address + registry.Path + "/" + backend.ID()
	method, body := http.MethodPost, any(lifecycleCall{StartedAtMs: outgoing.startedAtMs})
	switch outgoing.kind {
	case callRegister:
		method, body = http.MethodPut, registration{HostPort: c.backendAddress, Zone: backend.Zone, MachineType: machineType, StartedAtMs: outgoing.startedAtMs, Service: backend.Service, Region: backend.Region}
	case callRenew:
		path += "/renew"
	case callDrain:
		path += "/lifecycle"
		body = lifecycleCall{StartedAtMs: outgoing.startedAtMs, Lifecycle: registry.Terminating}
	case callLeave:
		method, body = http.MethodDelete, nil
		path += "?startedAtMs=" + strconv.FormatInt(outgoing.startedAtMs, 10)
	}
	var reader io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return nil, fmt.Errorf("encode registry call of backend %s: %w", backend.ID(), err)
		}
		reader = bytes.NewReader(text)
	}
	req, err := http.NewRequestWithContext(ctx, method, path, reader)
	if err != nil {
		return nil, err
	}
	return c.http.Do(req)
}

// machineType is the machine type of all backends; the gateways' settings define it.
const machineType = "std"
