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
	clientTimeout      = 750 * time.Millisecond // for one member's answer; another may be asked for the same at any time
	clientRetryPause   = 50 * time.Millisecond  // after a round of members that did not do
	unresponsivePeriod = time.Second            // an address that gave no answer, when another sends there
	maxResponseBytes   = 16 << 20
	maxRedirects       = 3 // from member to writer
)

// Client calls a group, by any of its members. Its commands are done once each, however
// often they have to be made; they go out one at a time.
type Client struct {
	http        *http.Client
	caller      string
	memberCount int // to ask

	commandMu sync.Mutex // of commands
	request   uint64

	mu           sync.Mutex
	addresses    []string             // the one that answered last first
	unresponsive map[string]time.Time // addresses that gave no answer, and when
}

// NewClient returns a client of the members at these addresses.
func NewClient(addresses []string) *Client {
	var name [12]byte
	crand.Read(name[:])
	c := &Client{caller: hex.EncodeToString(name[:]), memberCount: len(addresses), addresses: append([]string(nil), addresses...), unresponsive: map[string]time.Time{}}
	c.http = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute}, Timeout: clientTimeout,
		CheckRedirect: func(to *http.Request, via []*http.Request) error {
			if len(via) > maxRedirects {
				return errors.New("the members send each other round")
			}
			c.mu.Lock()
			defer c.mu.Unlock()
			if time.Since(c.unresponsive[to.URL.Host]) < unresponsivePeriod {
				return errUnresponsive // who sends there does not know yet that it is gone
			}
			return nil
		}}
	return c
}

var errUnresponsive = errors.New("it gave no answer a moment ago")

// Close ends its idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// next is the member to ask: the first that was not silent a moment ago, if there is one.
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

// failed puts a member last, and takes note of which address gave no answer: its own, or
// one that it sent to.
func (c *Client) recordFailure(address string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at := slices.Index(c.addresses, address); at >= 0 {
		c.addresses = append(slices.Delete(c.addresses, at, at+1), address)
	}
	var at *url.Error
	if !errors.As(err, &at) || errors.Is(err, errUnresponsive) {
		return
	}
	maps.DeleteFunc(c.unresponsive, func(_ string, when time.Time) bool { return time.Since(when) >= unresponsivePeriod })
	if u, err := url.Parse(at.URL); err == nil {
		c.unresponsive[u.Host] = time.Now()
	}
}

// call makes a call until a member answers it for the group, or ctx ends. Then the error
// has the last cause from before the end: that of a try which ctx cut short says nothing.
func (c *Client) call(ctx context.Context, method, path string, body []byte) (status int, text []byte, err error) {
	var cause error
	for tries := 1; ; tries++ {
		address := c.nextAddress()
		status, text, err = c.doRequest(ctx, method, "http://"+address+path, body)
		if err == nil && status != http.StatusServiceUnavailable && status != http.StatusGatewayTimeout {
			return status, text, nil
		}
		if err == nil {
			err = fmt.Errorf("%s: %d: %s", address, status, bytes.TrimSpace(text))
		}
		c.recordFailure(address, err)
		if cause == nil || ctx.Err() == nil {
			cause = err
		}
		pause := time.Duration(0)
		if tries%c.memberCount == 0 {
			pause = clientRetryPause
		}
		select {
		case <-ctx.Done():
			return 0, nil, fmt.Errorf("%w: %w", ctx.Err(), cause)
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
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return resp.StatusCode, text, err
}

// Do has the group do a command. An error leaves open whether it was done, and later
// commands of this client make sure that it never is any more, if it was not.
func (c *Client) Do(ctx context.Context, command ledger.Command) (r ledger.Result, err error) {
	if err := command.Check(ledger.DefaultLimits); err != nil {
		return ledger.Result{Code: ledger.Invalid, Text: err.Error()}, nil
	}
	c.commandMu.Lock()
	defer c.commandMu.Unlock()
	c.request++
	command.Caller, command.Request = c.caller, c.request
	body, err := json.Marshal(command)
	if err != nil {
		return r, err
	}
	status, text, err := c.call(ctx, http.MethodPost, CommandsPath, body)
	if err != nil {
		return r, err
	}
	if err := json.Unmarshal(text, &r); err != nil {
		return r, fmt.Errorf("%d: %s", status, bytes.TrimSpace(text))
	}
	return r, nil
}

// Get reads a record, as all that was agreed on before the call left it.
func (c *Client) Get(ctx context.Context, name string) (r ledger.Record, there bool, err error) {
	status, text, err := c.call(ctx, http.MethodGet, RecordsPath+"/"+url.PathEscape(name)+"?current=1", nil)
	switch {
	case err != nil:
		return r, false, err
	case status == http.StatusNotFound:
		return r, false, nil
	case status != http.StatusOK:
		return r, false, fmt.Errorf("%d: %s", status, bytes.TrimSpace(text))
	}
	return r, true, json.Unmarshal(text, &r)
}

// List reads all records under a prefix, likewise.
func (c *Client) List(ctx context.Context, prefix string) (l Listing, err error) {
	status, text, err := c.call(ctx, http.MethodGet, RecordsPath+"?current=1&prefix="+url.QueryEscape(prefix), nil)
	switch {
	case err != nil:
		return l, err
	case status != http.StatusOK:
		return l, fmt.Errorf("%d: %s", status, bytes.TrimSpace(text))
	}
	return l, json.Unmarshal(text, &l)
}

// Units reads all units of the fleet and the rules for them, as all that was agreed on
// before the call left them.
func (c *Client) Units(ctx context.Context) (u Units, err error) {
	status, text, err := c.call(ctx, http.MethodGet, UnitsPath+"?current=1", nil)
	switch {
	case err != nil:
		return u, err
	case status != http.StatusOK:
		return u, fmt.Errorf("%d: %s", status, bytes.TrimSpace(text))
	}
	return u, json.Unmarshal(text, &u)
}

// Add has the group take a member in. A call that is made again is done once.
func (c *Client) Add(ctx context.Context, n uint64, at Member) error {
	body, err := json.Marshal(addRequest{n, at})
	if err != nil {
		return err
	}
	return c.changeMembers(ctx, http.MethodPut, MembersPath, body)
}

// Remove has the group take one out.
func (c *Client) Remove(ctx context.Context, n uint64) error {
	return c.changeMembers(ctx, http.MethodDelete, fmt.Sprint(MembersPath, "/", n), nil)
}

// Transfer has another member write.
func (c *Client) Transfer(ctx context.Context, to uint64) error {
	return c.changeMembers(ctx, http.MethodPost, fmt.Sprint(TransferPath, "/", to), nil)
}

func (c *Client) changeMembers(ctx context.Context, method, path string, body []byte) error {
	status, text, err := c.call(ctx, method, path, body)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("%d: %s", status, bytes.TrimSpace(text))
	}
	return err
}

// Status asks one member how it stands.
func (c *Client) Status(ctx context.Context, address string) (s Status, err error) {
	status, text, err := c.doRequest(ctx, http.MethodGet, "http://"+address+StatusPath, nil)
	switch {
	case err != nil:
		return s, err
	case status != http.StatusOK:
		return s, fmt.Errorf("%d: %s", status, bytes.TrimSpace(text))
	}
	return s, json.Unmarshal(text, &s)
}

// renewals in a session's time to live.
const renewalsPerTTL = 3

// Hold opens a session and renews it until ctx ends or the group has ended it; then
// lost is closed. Whoever acts on the session asks Holds before each act: lost may be
// late, as where the process stood still.
func (c *Client) HoldSession(ctx context.Context, ttl time.Duration) (h *HeldSession, err error) {
	began := time.Now()
	asked := time.Duration(0)
	r, err := c.Do(ctx, ledger.Command{Op: ledger.Open, TTLMs: ttl.Milliseconds()})
	switch {
	case err != nil:
		return nil, err
	case r.Code != ledger.OK:
		return nil, fmt.Errorf("%s: %s", r.Code, r.Text)
	}
	h = &HeldSession{openedAt: began, lost: make(chan struct{})}
	h.lease.Renewed(asked, ledger.Session{ID: r.Session, TTLMs: ttl.Milliseconds()})
	go func() {
		defer close(h.lost)
		t := time.NewTicker(ttl / renewalsPerTTL)
		defer t.Stop()
		for h.Valid() {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
			asked := time.Since(began)
			within, cancel := context.WithTimeout(ctx, ttl)
			status, _, err := c.call(within, http.MethodPost, fmt.Sprintf("%s/%d/renew", SessionsPath, r.Session), nil)
			cancel()
			if err == nil && status == http.StatusNotFound {
				return
			}
			if err == nil && status == http.StatusOK {
				h.mu.Lock()
				h.lease.Renewed(asked, h.lease.Session)
				h.mu.Unlock()
			}
		}
	}()
	return h, nil
}

// Held is a session that is held.
type HeldSession struct {
	openedAt time.Time
	lost     chan struct{}

	mu    sync.Mutex
	lease ledger.HeldLease
}

// ID is the session's number.
func (h *HeldSession) ID() uint64 { return h.lease.ID }

// Holds says whether the holder may act on it now.
func (h *HeldSession) Valid() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lease.Valid(time.Since(h.openedAt))
}

// Lost is closed when it is held no more.
func (h *HeldSession) Lost() <-chan struct{} { return h.lost }
