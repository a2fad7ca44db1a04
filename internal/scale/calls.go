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
	backendCallTimeout = 5 * time.Second // for an answer to a backend
	maxRedirects       = 2               // in a row; then the next member is asked
	maxCallBodyBytes   = 4 << 10
)

// caller makes the calls of hollow backends over HTTP. It calls the list service that
// writes, which it finds as a backend does: by what others answer.
type writeClient struct {
	http           *http.Client
	members        []string
	backendAddress string // the address that all its backends are reached at

	mu         sync.Mutex
	nextMember int    // of the members
	writer     string // that answered last, or was named
}

func newWriteClient(members []string, answers string, connections int) *writeClient {
	return &writeClient{members: members, backendAddress: answers, writer: members[0],
		http: &http.Client{Timeout: backendCallTimeout,
			Transport:     &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: connections, MaxConnsPerHost: connections},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}
}

// target is whom to call now.
func (c *writeClient) target() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writer
}

// failed goes on to the next member, unless another call has found a writer meanwhile.
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

// do makes a call, and returns the status and the version that it was answered with; 0
// stands for no answer.
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
			return nil, fmt.Errorf("a call of %s: %w", backend.ID(), err)
		}
		reader = bytes.NewReader(text)
	}
	req, err := http.NewRequestWithContext(ctx, method, path, reader)
	if err != nil {
		return nil, err
	}
	return c.http.Do(req)
}

// machineType is that of all backends; the gateways' settings know it.
const machineType = "std"
