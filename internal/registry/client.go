package registry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// watchWait and followerWatchWait bound the duration of a watch by a reader and by a
	// follower. Together with staleAge they keep a reader from missing a change for 6 s
	// (the sum is in docs/design.md): a follower answers at least this often, or its age tells its
	// readers that it receives nothing from its writer.
	watchWait         = 1500 * time.Millisecond
	followerWatchWait = time.Second

	watchGrace             = 500 * time.Millisecond // time for the answer beyond the duration of a watch
	minScopeChangeInterval = 100 * time.Millisecond // between watches ended by scope changes, each of which costs a connection
	listTimeout            = 3 * time.Second
	maxReplyBytes          = 4 << 10          // of a reply to a subscription
	warningInterval        = 10 * time.Second // between log lines about failed requests
)

// DefaultAnswerLimit is the maximum size of an answer in bytes unless SetAnswerLimit changes
// it. A list of 200,000 instances has 33 MB.
const DefaultAnswerLimit = 64 << 20

// errScopesUnsupported is returned if a server of a build without scopes answers a scoped
// read with the full list.
var errScopesUnsupported = errors.New("the list service does not know scopes: upgrade it, or take the scopes out of this reader's configuration")

// Client watches the list, or the part of it that scopes select, at one of several registry
// addresses. It uses one connection for all of its scopes.
type Client struct {
	feed     *Feed // used only by Run
	onUpdate func(Update)
	http     *http.Client

	watchWait   time.Duration
	answerLimit int64        // bytes
	currentAt   atomic.Int64 // Unix time in nanoseconds at which the last answer was current; 0: none

	mu            sync.Mutex // guards the fields below
	wanted        []Scope
	scopesChanged bool          // wanted has not been passed to the feed yet
	scopesSignal  chan struct{} // wakes Run after a change of wanted
}

// Update is an answer with changes, or the first answer for new scopes.
type Update struct {
	Listing         // the answer as received
	Changes Listing // the changes for this reader; instances of dropped scopes are Gone
	History string
	Epoch   int64 // of the writer; 0 if unknown
	Scopes  *ScopeSet
	Unknown []Scope // the elements of Scopes whose service is unknown
}

// NewClient returns a Client that calls onUpdate from Run with each Update.
func NewClient(addresses []string, random *rand.Rand, onUpdate func(Update)) *Client {
	return &Client{feed: NewFeed(addresses, random), onUpdate: onUpdate, scopesSignal: make(chan struct{}, 1), watchWait: watchWait, answerLimit: DefaultAnswerLimit,
		http: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxConnsPerHost: 1},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}
}

// SetAnswerLimit sets the maximum size of an answer in bytes. The client rejects a longer
// answer and keeps its list. Call it before Run.
func (c *Client) SetAnswerLimit(bytes int64) { c.answerLimit = bytes }

// SetScopes changes the part of the list that is read; no scopes means the full list. It may
// be called before and during Run from any goroutine. The last call wins.
func (c *Client) SetScopes(scopes []Scope) {
	c.mu.Lock()
	c.wanted, c.scopesChanged = slices.Clone(scopes), true
	c.mu.Unlock()
	select {
	case c.scopesSignal <- struct{}{}:
	default: // already signalled
	}
}

// applyScopes passes the scopes of SetScopes to the feed.
func (c *Client) applyScopes() {
	c.mu.Lock()
	wanted, scopesChanged := c.wanted, c.scopesChanged
	c.scopesChanged = false
	c.mu.Unlock()
	if !scopesChanged {
		return
	}
	changes := c.feed.SetScopes(wanted)
	if len(changes.Instances) > 0 {
		c.onUpdate(Update{Listing: Listing{Generation: changes.Generation}, Changes: changes, History: c.feed.history, Unknown: c.feed.Unknown()})
	}
}

// readResult is the outcome of a request.
type readResult struct {
	listing    Listing
	history    string
	epoch      int64
	age        time.Duration
	retryAfter time.Duration // delay requested by the server
	err        error
}

// Run watches the list until ctx ends. It switches to the addresses that it receives from
// addressChanges.
func (c *Client) Run(ctx context.Context, addressChanges <-chan []string) {
	defer c.http.CloseIdleConnections()
	var lastWarning, scopesChangedAt time.Time
	for ctx.Err() == nil {
		c.applyScopes()
		request := c.feed.Next()
		callContext, cancel := context.WithCancel(ctx)
		results := make(chan readResult, 1)
		go func() { results <- c.read(callContext, request) }()
		var result readResult
		var addresses []string
		var scopesSignal chan struct{}
		if request.IsLongPoll() {
			scopesSignal = c.scopesSignal // frequent scope changes must not interrupt other requests
		}
		select {
		case result = <-results:
		case addresses = <-addressChanges:
			cancel()
			<-results
		case <-scopesSignal:
			cancel()
			<-results
			c.sleep(ctx, minScopeChangeInterval-time.Since(scopesChangedAt), addressChanges)
			scopesChangedAt = time.Now()
			continue
		}
		cancel()
		switch {
		case ctx.Err() != nil:
			return
		case addresses != nil:
			c.feed.SetAddresses(addresses)
			continue
		case result.err == nil:
			if result.err = c.handleAnswer(request, result); result.err == nil {
				continue
			}
		}
		if time.Since(lastWarning) > warningInterval {
			lastWarning = time.Now()
			slog.Warn("list service", "address", request.Address, "error", result.err)
		}
		c.http.CloseIdleConnections()
		c.sleep(ctx, c.feed.Failed(result.retryAfter), addressChanges)
	}
}

// sleep waits before the next request. It returns early if the addresses change.
func (c *Client) sleep(ctx context.Context, delay time.Duration, addressChanges <-chan []string) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case addresses := <-addressChanges:
			c.feed.SetAddresses(addresses)
			return
		case <-c.scopesSignal:
			c.applyScopes() // dropped instances are reported immediately; the request for new scopes waits
		case <-timer.C:
			return
		}
	}
}

// handleAnswer applies an answer to the feed and passes on the update.
func (c *Client) handleAnswer(request ReadRequest, result readResult) error {
	unknownBefore := c.feed.Unknown()
	changes, err := c.feed.AnsweredTo(request, result.listing, result.history, result.age)
	if err != nil {
		return err
	}
	c.currentAt.Store(time.Now().Add(-result.age).UnixNano())
	unknown := c.feed.Unknown()
	if changes.Reset || len(changes.Instances) > 0 || changes.Generation != request.Since || !request.IsLongPoll() || !slices.Equal(unknownBefore, unknown) {
		c.onUpdate(Update{result.listing, changes, result.history, result.epoch, request.Scopes, unknown})
	}
	return nil
}

// Age returns the maximum age of the list: the time since the last answer plus the age that
// a follower reported with it. It is negative before the first answer.
func (c *Client) Age() time.Duration {
	currentAt := c.currentAt.Load()
	if currentAt == 0 {
		return -1
	}
	return time.Since(time.Unix(0, currentAt))
}

// read makes a request. If the server does not know the ids of the scopes, read registers
// them and repeats the request.
func (c *Client) read(ctx context.Context, request ReadRequest) readResult {
	timeout := listTimeout
	if request.IsLongPoll() {
		timeout = c.watchWait + watchGrace
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	result, known := c.fetch(ctx, request)
	if known {
		return result
	}
	sets := []*ScopeSet{request.Scopes}
	if request.Held != nil && !request.Held.equal(request.Scopes) {
		sets = append(sets, request.Held)
	}
	for _, set := range sets {
		if err := c.subscribe(ctx, request.Address, set); err != nil {
			return readResult{err: err}
		}
	}
	result, _ = c.fetch(ctx, request)
	return result
}

// fetch makes one request and reports whether the server knows the ids of the scopes.
func (c *Client) fetch(ctx context.Context, request ReadRequest) (result readResult, known bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+request.Address+Path+request.queryString(c.watchWait), nil)
	if err != nil {
		return readResult{err: err}, true
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return readResult{err: err}, true
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusOK && resp.Header.Get(SubscriptionHeader) != request.Scopes.ID() {
		return readResult{err: errScopesUnsupported}, true // skip the body, which may be a long full list
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.answerLimit+1))
	switch {
	case err != nil:
		return readResult{err: err}, true
	case int64(len(body)) > c.answerLimit:
		return readResult{err: fmt.Errorf("the answer has more than %d bytes", c.answerLimit)}, true
	case resp.StatusCode != http.StatusOK:
		return readResult{retryAfter: parseRetryAfter(resp), err: fmt.Errorf("status %s: %.200s", resp.Status, body)},
			request.Scopes == nil || resp.StatusCode != http.StatusNotFound
	}
	if result.listing, result.err = ParseListing(body); result.err != nil {
		return readResult{err: result.err}, true
	}
	if request.Full {
		result.listing.Reset = true // an answer to a request without a version is a full list
	}
	if ms, err := strconv.ParseInt(resp.Header.Get(AgeHeader), 10, 64); err == nil && ms > 0 {
		result.age = time.Duration(min(ms, maxReportedDuration.Milliseconds())) * time.Millisecond
	}
	if n, err := strconv.ParseInt(resp.Header.Get(EpochHeader), 10, 64); err == nil && n > 0 {
		result.epoch = n
	}
	result.history = resp.Header.Get(HistoryHeader)
	return result, true
}

// queryString encodes the request as a URL query, including "?". longPoll is how long the
// server may wait for changes.
func (r ReadRequest) queryString(longPoll time.Duration) string {
	if !r.IsLongPoll() {
		longPoll = 0
	}
	var parameters []string
	if r.Scopes != nil {
		parameters = append(parameters, subscriptionParameter+"="+r.Scopes.ID())
	}
	if !r.Full {
		if r.Held != nil && !r.Held.equal(r.Scopes) {
			parameters = append(parameters, heldParameter+"="+r.Held.ID())
		}
		parameters = append(parameters, fmt.Sprintf("since=%d&timeout_ms=%d&history=%s", r.Since, longPoll.Milliseconds(), url.QueryEscape(r.History)))
	}
	if len(parameters) == 0 {
		return ""
	}
	return "?" + strings.Join(parameters, "&")
}

// subscribe registers a set of scopes with a server.
func (c *Client) subscribe(ctx context.Context, address string, set *ScopeSet) error {
	payload, err := json.Marshal(subscriptionRequest{Scopes: set.Strings()})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+SubscriptionsPath, bytes.NewReader(payload))
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%d scopes: status %s: %.200s", set.Len(), resp.Status, body)
	}
	var reply subscriptionReply
	if err := json.Unmarshal(body, &reply); err != nil || reply.Subscription != set.ID() {
		return fmt.Errorf("%d scopes: the server returned the id %.80q, expected %s", set.Len(), reply.Subscription, set.ID())
	}
	return nil
}

// parseRetryAfter returns the delay in the Retry-After header, at most
// maxReportedDuration; 0 if there is none.
func parseRetryAfter(resp *http.Response) time.Duration {
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxReportedDuration.Seconds()) * float64(time.Second))
}
