package registry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	watchWait   = 4 * time.Second // how long a watch may stand open
	watchGrace  = time.Second     // and how long after that its answer may take
	listTimeout = 3 * time.Second
	mostAnswer  = 4 << 20          // bytes
	complainGap = 10 * time.Second // between lines about services that stay down
)

// Client keeps a list up to date from several services.
type Client struct {
	feed  *Feed
	heard func(Told)
	http  *http.Client

	heardAt atomic.Int64 // Unix nanoseconds of the last answer; 0: none
}

// Told is an answer that tells something new.
type Told struct {
	Listing         // as it came
	News    Listing // what of it is news
	History string
	Epoch   int64 // of the writer; 0: not told
}

// NewClient calls heard, one at a time, with each answer that tells something new.
func NewClient(addresses []string, random *rand.Rand, heard func(Told)) *Client {
	return &Client{feed: NewFeed(addresses, random), heard: heard,
		http: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxConnsPerHost: 1},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}
}

// Run follows the list until ctx ends, from other addresses when moves has some.
func (c *Client) Run(ctx context.Context, moves <-chan []string) {
	defer c.http.CloseIdleConnections()
	var complained time.Time
	for ctx.Err() == nil {
		ask := c.feed.Next()
		calling, cancel := context.WithCancel(ctx)
		type end struct {
			l       Listing
			history string
			epoch   int64
			age     time.Duration
			advised time.Duration
			err     error
		}
		ended := make(chan end, 1)
		go func() {
			var e end
			e.l, e.history, e.epoch, e.age, e.advised, e.err = c.ask(calling, ask)
			ended <- e
		}()
		var e end
		var moved []string
		select {
		case e = <-ended:
		case moved = <-moves:
			cancel()
			<-ended
		}
		cancel()
		switch {
		case ctx.Err() != nil:
			return
		case moved != nil:
			c.feed.Move(moved)
			continue
		case e.err == nil:
			var news Listing
			if news, e.err = c.feed.Answered(e.l, e.history, e.age); e.err == nil {
				c.heardAt.Store(time.Now().UnixNano())
				if news.Reset || len(news.Instances) > 0 || news.Generation != ask.Since {
					c.heard(Told{e.l, news, e.history, e.epoch})
				}
				continue
			}
		}
		if time.Since(complained) > complainGap {
			complained = time.Now()
			slog.Warn("list service", "address", ask.Address, "error", e.err)
		}
		c.http.CloseIdleConnections()
		wait := time.NewTimer(c.feed.Failed(e.advised))
		select {
		case <-ctx.Done():
		case moved = <-moves:
			c.feed.Move(moved)
		case <-wait.C:
		}
		wait.Stop()
	}
}

// Age is how long ago the last answer came; below 0: none has.
func (c *Client) Age() time.Duration {
	at := c.heardAt.Load()
	if at == 0 {
		return -1
	}
	return time.Since(time.Unix(0, at))
}

func (c *Client) ask(ctx context.Context, a Ask) (l Listing, history string, epoch int64, age, advised time.Duration, err error) {
	url, limit := "http://"+a.Address+Path, listTimeout
	if !a.Whole {
		url += fmt.Sprintf("?since=%d&timeout_ms=%d&history=%s", a.Since, watchWait.Milliseconds(), a.History)
		limit = watchWait + watchGrace
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return l, "", 0, 0, 0, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return l, "", 0, 0, 0, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, mostAnswer+1))
	switch {
	case err != nil:
		return l, "", 0, 0, 0, err
	case len(body) > mostAnswer:
		return l, "", 0, 0, 0, errors.New("the list is too long")
	case resp.StatusCode != http.StatusOK:
		after, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		if !(after > 0) {
			after = 0
		}
		advised = time.Duration(min(after, mostAdvised.Seconds()) * float64(time.Second))
		return l, "", 0, 0, advised, fmt.Errorf("status %s: %.200s", resp.Status, body)
	}
	if l, err = ParseListing(body); err != nil {
		return l, "", 0, 0, 0, err
	}
	if a.Whole {
		l.Reset = true // a call without a version is answered with all there are
	}
	if ms, err := strconv.ParseInt(resp.Header.Get(AgeHeader), 10, 64); err == nil && ms > 0 {
		age = time.Duration(min(ms, mostAdvised.Milliseconds())) * time.Millisecond
	}
	if n, err := strconv.ParseInt(resp.Header.Get(EpochHeader), 10, 64); err == nil && n > 0 {
		epoch = n
	}
	return l, resp.Header.Get(HistoryHeader), epoch, age, 0, nil
}
