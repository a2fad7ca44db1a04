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
func NewClient(addresses []string, random *rand.Rand, heard func(Update)) *Client {
	return &Client{feed: NewFeed(addresses, random), onUpdate: heard, scopesSignal: make(chan struct{}, 1), watchWait: watchWait, answerLimit: DefaultAnswerLimit,
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
	wanted, rescoped := c.wanted, c.scopesChanged
	c.scopesChanged = false
	c.mu.Unlock()
	if !rescoped {
		return
	}
	news := c.feed.SetScopes(wanted)
	if len(news.Instances) > 0 {
		c.onUpdate(Update{Listing: Listing{Generation: news.Generation}, Changes: news, History: c.feed.history, Unknown: c.feed.Unknown()})
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
func (c *Client) Run(ctx context.Context, moves <-chan []string) {
	defer c.http.CloseIdleConnections()
	var complained, rescopedAt time.Time
	for ctx.Err() == nil {
		c.applyScopes()
		ask := c.feed.Next()
		calling, cancel := context.WithCancel(ctx)
		ended := make(chan readResult, 1)
		go func() { ended <- c.read(calling, ask) }()
		var a readResult
		var moved []string
		var rescope chan struct{}
		if ask.IsLongPoll() {
			rescope = c.scopesSignal // other calls are answered soon, and scopes that change often must not keep them from that
		}
		select {
		case a = <-ended:
		case moved = <-moves:
			cancel()
			<-ended
		case <-rescope:
			cancel()
			<-ended
			c.sleep(ctx, minScopeChangeInterval-time.Since(rescopedAt), moves)
			rescopedAt = time.Now()
			continue
		}
		cancel()
		switch {
		case ctx.Err() != nil:
			return
		case moved != nil:
			c.feed.SetAddresses(moved)
			continue
		case a.err == nil:
			if a.err = c.handleAnswer(ask, a); a.err == nil {
				continue
			}
		}
		if time.Since(complained) > warningInterval {
			complained = time.Now()
			slog.Warn("list service", "address", ask.Address, "error", a.err)
		}
		c.http.CloseIdleConnections()
		c.sleep(ctx, c.feed.Failed(a.retryAfter), moves)
	}
}

// pause waits for the next call, or until there are other addresses.
func (c *Client) sleep(ctx context.Context, pause time.Duration, moves <-chan []string) {
	wait := time.NewTimer(pause)
	defer wait.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case moved := <-moves:
			c.feed.SetAddresses(moved)
			return
		case <-c.scopesSignal:
			c.applyScopes() // what is dropped is told at once; the call for what is new keeps to the pause
		case <-wait.C:
			return
		}
	}
}

// take hands on what an answer tells.
func (c *Client) handleAnswer(ask ReadRequest, a readResult) error {
	before := c.feed.Unknown()
	news, err := c.feed.AnsweredTo(ask, a.listing, a.history, a.age)
	if err != nil {
		return err
	}
	c.currentAt.Store(time.Now().Add(-a.age).UnixNano())
	unknown := c.feed.Unknown()
	if news.Reset || len(news.Instances) > 0 || news.Generation != ask.Since || !ask.IsLongPoll() || !slices.Equal(before, unknown) {
		c.onUpdate(Update{a.listing, news, a.history, a.epoch, ask.Scopes, unknown})
	}
	return nil
}

// Age is how old the list may be: how long ago the last answer came and, of a follower's
// answer, how old that was. Below 0: none has come.
func (c *Client) Age() time.Duration {
	at := c.currentAt.Load()
	if at == 0 {
		return -1
	}
	return time.Since(time.Unix(0, at))
}

// ask makes a call. A service that does not know its scopes by their id is told them.
func (c *Client) read(ctx context.Context, a ReadRequest) readResult {
	limit := listTimeout
	if a.IsLongPoll() {
		limit = c.watchWait + watchGrace
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	got, known := c.fetch(ctx, a)
	if known {
		return got
	}
	sets := []*ScopeSet{a.Scopes}
	if a.Held != nil && !a.Held.equal(a.Scopes) {
		sets = append(sets, a.Held)
	}
	for _, set := range sets {
		if err := c.subscribe(ctx, a.Address, set); err != nil {
			return readResult{err: err}
		}
	}
	got, _ = c.fetch(ctx, a)
	return got
}

// list asks for a list, and says whether the service knows the scopes.
func (c *Client) fetch(ctx context.Context, a ReadRequest) (got readResult, known bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.Address+Path+a.queryString(c.watchWait), nil)
	if err != nil {
		return readResult{err: err}, true
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return readResult{err: err}, true
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusOK && resp.Header.Get(SubscriptionHeader) != a.Scopes.ID() {
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
			a.Scopes == nil || resp.StatusCode != http.StatusNotFound
	}
	if got.listing, got.err = ParseListing(body); got.err != nil {
		return readResult{err: got.err}, true
	}
	if a.Full {
		got.listing.Reset = true // a call without a version is answered with all there are
	}
	if ms, err := strconv.ParseInt(resp.Header.Get(AgeHeader), 10, 64); err == nil && ms > 0 {
		got.age = time.Duration(min(ms, maxRetryAfterHonored.Milliseconds())) * time.Millisecond
	}
	if n, err := strconv.ParseInt(resp.Header.Get(EpochHeader), 10, 64); err == nil && n > 0 {
		got.epoch = n
	}
	got.history = resp.Header.Get(HistoryHeader)
	return got, true
}

// query is the part of a call's address that says what is asked for, and for how long the
// service may wait for it where the call waits.
func (a ReadRequest) queryString(wait time.Duration) string {
	if !a.IsLongPoll() {
		wait = 0
	}
	var parts []string
	if a.Scopes != nil {
		parts = append(parts, subscriptionParameter+"="+a.Scopes.ID())
	}
	if !a.Full {
		if a.Held != nil && !a.Held.equal(a.Scopes) {
			parts = append(parts, heldParameter+"="+a.Held.ID())
		}
		parts = append(parts, fmt.Sprintf("since=%d&timeout_ms=%d&history=%s", a.Since, wait.Milliseconds(), url.QueryEscape(a.History)))
	}
	if len(parts) == 0 {
		return ""
	}
	return "?" + strings.Join(parts, "&")
}

// subscribe tells a service a set of scopes.
func (c *Client) subscribe(ctx context.Context, address string, set *ScopeSet) error {
	text, err := json.Marshal(subscriptionCall{Scopes: set.Strings()})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+SubscriptionsPath, bytes.NewReader(text))
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
	after, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if !(after > 0) {
		return 0
	}
	return time.Duration(min(after, maxRetryAfterHonored.Seconds()) * float64(time.Second))
}
