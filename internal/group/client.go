package group

import (
	"bytes"
	"context"
	crand "crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"dunlintray/internal/ledger"
)

const (
	clientTimeout      = 750 * time.Millisecond // for the response of one member
	clientRetryPause   = 50 * time.Millisecond  // after all members have failed once
	unresponsivePeriod = time.Second            // how long redirects to an unresponsive address are not followed
	maxResponseBytes   = 16 << 20
	maxRedirects       = 3 // from a member to the leader
)

// Client calls a group through any of its members. It sends one command at a time and retries
// it under the same request number, so that the group applies it at most once. A Client is safe
// for concurrent use.
type Client struct {
	http        *http.Client
	caller      string
	memberCount int // number of addresses

	commandMu sync.Mutex // serializes commands; guards request
	request   uint64

	mu           sync.Mutex
	addresses    []string             // failed members are moved to the end
	unresponsive map[string]time.Time // time of the last failure by address
}

// NewClient returns a client of the group with members at the given addresses, of which there
// must be at least one. Close releases its connections.
func NewClient(addresses []string) *Client {
	var callerID [12]byte
	crand.Read(callerID[:])
	client := &Client{caller: hex.EncodeToString(callerID[:]), memberCount: len(addresses), addresses: append([]string(nil), addresses...), unresponsive: map[string]time.Time{}}
	client.http = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute}, Timeout: clientTimeout,
		CheckRedirect: func(req *http.Request, via []*http.Request) error {
			if len(via) > maxRedirects {
				return fmt.Errorf("more than %d redirects between the members of the group", maxRedirects)
			}
			client.mu.Lock()
			defer client.mu.Unlock()
			if time.Since(client.unresponsive[req.URL.Host]) < unresponsivePeriod {
				return errUnresponsive // the redirecting member has not noticed the failure yet
			}
			return nil
		}}
	return client
}

var errUnresponsive = errors.New("redirected to a member that did not respond")

// Close closes the client's idle connections. It does not end calls or sessions.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// nextAddress returns the first address that is not marked unresponsive, or the first of all.
func (c *Client) nextAddress() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.addresses {
		if time.Since(c.unresponsive[a]) >= unresponsivePeriod {
			return a
		}
	}
	return c.addresses[0]
}

// recordFailure moves the address to the end of the list, and marks the address that did not
// respond as unresponsive: its own, or one that it redirected to.
func (c *Client) recordFailure(address string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if index := slices.Index(c.addresses, address); index >= 0 {
		c.addresses = append(slices.Delete(c.addresses, index, index+1), address)
	}
	var failure *url.Error
	if !errors.As(err, &failure) || errors.Is(err, errUnresponsive) {
		return
	}
	maps.DeleteFunc(c.unresponsive, func(_ string, when time.Time) bool { return time.Since(when) >= unresponsivePeriod })
	if u, err := url.Parse(failure.URL); err == nil {
		c.unresponsive[u.Host] = time.Now()
	}
}

// call retries until a member responds for the group or ctx ends. The error after ctx has ended
// includes the last failure from before that.
func (c *Client) call(ctx context.Context, method, path string, body []byte) (status int, response []byte, err error) {
	var lastFailure error
	for attempts := 1; ; attempts++ {
		address := c.nextAddress()
		status, response, err = c.doRequest(ctx, method, "http://"+address+path, body)
		if err == nil && status != http.StatusServiceUnavailable && status != http.StatusGatewayTimeout {
			return status, response, nil
		}
		if err == nil {
			err = fmt.Errorf("%s: status %d: %s", address, status, bytes.TrimSpace(response))
		}
		c.recordFailure(address, err)
		if lastFailure == nil || ctx.Err() == nil {
			lastFailure = err
		}
		pause := time.Duration(0)
		if attempts%c.memberCount == 0 {
			pause = clientRetryPause
		}
		select {
		case <-ctx.Done():
			return 0, nil, fmt.Errorf("%w: %w", ctx.Err(), lastFailure)
		case <-time.After(pause):
		}
	}
}

func (c *Client) doRequest(ctx context.Context, method, url string, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return resp.StatusCode, content, err
}

// Do commits a command and returns its result. After an error the command may or may not have
// been applied; if it has not, the next command of this client rules out that it ever is.
func (c *Client) Do(ctx context.Context, command ledger.Command) (result ledger.Result, err error) {
	if err := command.Check(ledger.DefaultLimits); err != nil {
		return ledger.Result{Code: ledger.Invalid, Text: err.Error()}, nil
	}
	c.commandMu.Lock()
	defer c.commandMu.Unlock()
	c.request++
	command.Caller, command.Request = c.caller, c.request
	body, err := json.Marshal(command)
	if err != nil {
		return result, err
	}
	status, text, err := c.call(ctx, http.MethodPost, CommandsPath, body)
	if err != nil {
		return result, err
	}
	if err := json.Unmarshal(text, &result); err != nil {
		return result, fmt.Errorf("status %d: %s", status, bytes.TrimSpace(text))
	}
	return result, nil
}

// Get returns a record by a linearizable read, and whether it exists.
func (c *Client) Get(ctx context.Context, name string) (record ledger.Record, found bool, err error) {
	status, text, err := c.call(ctx, http.MethodGet, RecordsPath+"/"+url.PathEscape(name)+"?current=1", nil)
	switch {
	case err != nil:
		return record, false, err
	case status == http.StatusNotFound:
		return record, false, nil
	case status != http.StatusOK:
		return record, false, fmt.Errorf("status %d: %s", status, bytes.TrimSpace(text))
	}
	return record, true, json.Unmarshal(text, &record)
}

// List returns all records whose names start with prefix, by a linearizable read.
func (c *Client) List(ctx context.Context, prefix string) (listing Listing, err error) {
	status, text, err := c.call(ctx, http.MethodGet, RecordsPath+"?current=1&prefix="+url.QueryEscape(prefix), nil)
	switch {
	case err != nil:
		return listing, err
	case status != http.StatusOK:
		return listing, fmt.Errorf("status %d: %s", status, bytes.TrimSpace(text))
	}
	return listing, json.Unmarshal(text, &listing)
}

// Units returns all units of the fleet and the rules for them, by a linearizable read.
func (c *Client) Units(ctx context.Context) (units Units, err error) {
	status, text, err := c.call(ctx, http.MethodGet, UnitsPath+"?current=1", nil)
	switch {
	case err != nil:
		return units, err
	case status != http.StatusOK:
		return units, fmt.Errorf("status %d: %s", status, bytes.TrimSpace(text))
	}
	return units, json.Unmarshal(text, &units)
}

// Add adds a member to the group. Repeating the call has no further effect.
func (c *Client) Add(ctx context.Context, number uint64, member Member) error {
	body, err := json.Marshal(addRequest{number, member})
	if err != nil {
		return err
	}
	return c.changeMembers(ctx, http.MethodPut, MembersPath, body)
}

// Remove removes a member from the group for good.
func (c *Client) Remove(ctx context.Context, number uint64) error {
	return c.changeMembers(ctx, http.MethodDelete, fmt.Sprint(MembersPath, "/", number), nil)
}

// Transfer transfers leadership to another member.
func (c *Client) Transfer(ctx context.Context, to uint64) error {
	return c.changeMembers(ctx, http.MethodPost, fmt.Sprint(TransferPath, "/", to), nil)
}

func (c *Client) changeMembers(ctx context.Context, method, path string, body []byte) error {
	status, text, err := c.call(ctx, method, path, body)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("status %d: %s", status, bytes.TrimSpace(text))
	}
	return err
}

// Status returns the state of the member at the address. It does not retry.
func (c *Client) Status(ctx context.Context, address string) (status Status, err error) {
	code, text, err := c.doRequest(ctx, http.MethodGet, "http://"+address+StatusPath, nil)
	switch {
	case err != nil:
		return status, err
	case code != http.StatusOK:
		return status, fmt.Errorf("status %d: %s", code, bytes.TrimSpace(text))
	}
	return status, json.Unmarshal(text, &status)
}

// renewalsPerTTL is the number of renewals within a session's time to live.
const renewalsPerTTL = 3

// HoldSession opens a session and renews it until ctx ends or the session has ended. The holder
// must check Valid before each action that relies on the session: Lost may be closed late, for
// example after the process was suspended.
func (c *Client) HoldSession(ctx context.Context, ttl time.Duration) (held *HeldSession, err error) {
	start := time.Now()
	sentAt := time.Duration(0)
	result, err := c.Do(ctx, ledger.Command{Op: ledger.Open, TTLMs: ttl.Milliseconds()})
	switch {
	case err != nil:
		return nil, err
	case result.Code != ledger.OK:
		return nil, fmt.Errorf("%s: %s", result.Code, result.Text)
	}
	held = &HeldSession{openedAt: start, lost: make(chan struct{})}
	held.lease.Renewed(sentAt, ledger.Session{ID: result.Session, TTLMs: ttl.Milliseconds()})
	go func() {
		defer close(held.lost)
		ticker := time.NewTicker(ttl / renewalsPerTTL)
		defer ticker.Stop()
		for held.Valid() {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			sentAt := time.Since(start)
			renewCtx, cancel := context.WithTimeout(ctx, ttl)
			status, _, err := c.call(renewCtx, http.MethodPost, fmt.Sprintf("%s/%d/renew", SessionsPath, result.Session), nil)
			cancel()
			if err == nil && status == http.StatusNotFound {
				return
			}
			if err == nil && status == http.StatusOK {
				held.mu.Lock()
				held.lease.Renewed(sentAt, held.lease.Session)
				held.mu.Unlock()
			}
		}
	}()
	return held, nil
}

// HeldSession is a session that a client opened and keeps renewing. It is safe for concurrent
// use.
type HeldSession struct {
	openedAt time.Time
	lost     chan struct{}

	mu    sync.Mutex
	lease ledger.HeldLease
}

// ID returns the number of the session.
func (h *HeldSession) ID() uint64 { return h.lease.ID }

// Valid reports whether the holder may still act on the session.
func (h *HeldSession) Valid() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lease.Valid(time.Since(h.openedAt))
}

// Lost returns a channel that is closed when the session is no longer renewed.
func (h *HeldSession) Lost() <-chan struct{} { return h.lost }
