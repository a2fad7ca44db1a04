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
	// watchWait is how long a reader's watch may stay open, and followerWatchWait how long
	// that of a follower may. Both are part of the sum of docs/design.md that keeps a reader
	// from missing a change for 6 s: a follower answers at least so often, or its age tells
	// its readers that it hears nothing from its writer.
	watchWait         = 1500 * time.Millisecond
	followerWatchWait = time.Second

	watchGrace             = 500 * time.Millisecond // how much longer than that the answer may take
	minScopeChangeInterval = 100 * time.Millisecond // between two watches that are ended for other scopes, each with its connection
	listTimeout            = 3 * time.Second
	maxReplyBytes          = 4 << 10          // bytes of an answer that is no list
	warningInterval        = 10 * time.Second // between lines about services that stay down
)

// DefaultAnswerLimit is how many bytes an answer may have, unless SetAnswerLimit says
// otherwise. A list of 200,000 instances has 33 MB.
const DefaultAnswerLimit = 64 << 20

// errNoScopes says that a list service is of a build that does not know scopes: it has
// answered with the whole list where a part of it was asked for.
var errScopesUnsupported = errors.New("the list service does not know scopes: upgrade it, or take the scopes out of this reader's configuration")

// Client keeps a list, or the part of it that scopes select, up to date from several
// services. It has one connection, over which all of its scopes come.
type Client struct {
	feed     *Feed // of Run
	onUpdate func(Update)
	http     *http.Client

	watchWait   time.Duration
	answerLimit int64        // bytes
	currentAt   atomic.Int64 // Unix nanoseconds at which the last answer was current; 0: none

	mu            sync.Mutex // of what follows
	wanted        []Scope
	scopesChanged bool          // wanted has changed, and the feed does not know
	scopesSignal  chan struct{} // says so to a Run that waits
}

// Told is an answer that tells something new, or the first one to other scopes.
type Update struct {
	Listing         // as it came
	Changes Listing // what of it is news for this reader; the instances of dropped scopes are Gone
	History string
	Epoch   int64 // of the writer; 0: not told
	Scopes  *ScopeSet
	Unknown []Scope // of Scopes, those whose service the list service does not know
}

// NewClient calls heard, one at a time, with each answer that tells something new.
func NewClient(addresses []string, random *rand.Rand, onUpdate func(Update)) *Client {
	return &Client{feed: NewFeed(addresses, random), onUpdate: onUpdate, scopesSignal: make(chan struct{}, 1), watchWait: watchWait, answerLimit: DefaultAnswerLimit,
		http: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxConnsPerHost: 1},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}
}

// SetAnswerLimit bounds the bytes of an answer. A longer one is refused, and the last good
// list stays. It is called before Run.
func (c *Client) SetAnswerLimit(bytes int64) { c.answerLimit = bytes }

// SetScopes changes the part of the list that is read; without scopes it is the whole
// list. It may be called before Run and during it, from any goroutine. Of several calls in
// a row the last counts.
func (c *Client) SetScopes(scopes []Scope) {
	c.mu.Lock()
	c.wanted, c.scopesChanged = slices.Clone(scopes), true
	c.mu.Unlock()
	select {
	case c.scopesSignal <- struct{}{}:
	default: // it has been said
	}
}

// takeScopes puts the scopes that SetScopes has named in force.
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

// answer is what a call came to.
type readResult struct {
	listing    Listing
	history    string
	epoch      int64
	age        time.Duration
	retryAfter time.Duration // a pause that the service asks for
	err        error
}

// Run follows the list until ctx ends, from other addresses when moves has some.
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
			scopesSignal = c.scopesSignal // other calls are answered soon, and scopes that change often must not keep them from that
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

// pause waits for the next call, or until there are other addresses.
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
			c.applyScopes() // what is dropped is told at once; the call for what is new keeps to the pause
		case <-timer.C:
			return
		}
	}
}

// take hands on what an answer tells.
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

// Age is how old the list may be: how long ago the last answer came and, of a follower's
// answer, how old that was. Below 0: none has come.
func (c *Client) Age() time.Duration {
	currentAt := c.currentAt.Load()
	if currentAt == 0 {
		return -1
	}
	return time.Since(time.Unix(0, currentAt))
}

// ask makes a call. A service that does not know its scopes by their id is told them.
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

// list asks for a list, and says whether the service knows the scopes.
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
		return readResult{err: errScopesUnsupported}, true // its body is left, which may be all of a long list
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.answerLimit+1))
	switch {
	case err != nil:
		return readResult{err: err}, true
	case int64(len(body)) > c.answerLimit:
		return readResult{err: fmt.Errorf("the list has more than %d bytes", c.answerLimit)}, true
	case resp.StatusCode != http.StatusOK:
		return readResult{retryAfter: parseRetryAfter(resp), err: fmt.Errorf("status %s: %.200s", resp.Status, body)},
			request.Scopes == nil || resp.StatusCode != http.StatusNotFound
	}
	if result.listing, result.err = ParseListing(body); result.err != nil {
		return readResult{err: result.err}, true
	}
	if request.Full {
		result.listing.Reset = true // a call without a version is answered with all there are
	}
	if ms, err := strconv.ParseInt(resp.Header.Get(AgeHeader), 10, 64); err == nil && ms > 0 {
		result.age = time.Duration(min(ms, maxRetryAfterHonored.Milliseconds())) * time.Millisecond
	}
	if n, err := strconv.ParseInt(resp.Header.Get(EpochHeader), 10, 64); err == nil && n > 0 {
		result.epoch = n
	}
	result.history = resp.Header.Get(HistoryHeader)
	return result, true
}

// query is the part of a call's address that says what is asked for, and for how long the
// service may wait for it where the call waits.
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

// subscribe tells a service a set of scopes.
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
		return fmt.Errorf("%d scopes: the service calls them %.80q, which are %s", set.Len(), reply.Subscription, set.ID())
	}
	return nil
}

// advisedPause is how long a service asks a caller to wait.
func parseRetryAfter(resp *http.Response) time.Duration {
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfterHonored.Seconds()) * float64(time.Second))
}
