package registry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// handleRead answers with the list or waits for changes to it, restricted to the scopes of
// the request, if any.
func (s *Server) handleRead(w http.ResponseWriter, r *http.Request) {
	read, wait, err := s.parseRead(r)
	if err != nil {
		s.writeError(w, err)
		return
	}
	result, err := s.awaitAnswer(r.Context(), read, wait)
	if err != nil {
		s.writeError(w, err)
		return
	}
	w.Header().Set(HistoryHeader, result.history)
	w.Header().Set(EpochHeader, strconv.FormatInt(result.epoch, 10))
	if read.Scopes != nil {
		w.Header().Set(SubscriptionHeader, read.Scopes.ID())
	}
	if s.ageMs != nil && s.writer.Load() != nil {
		w.Header().Set(AgeHeader, strconv.FormatInt(s.ageMs(), 10))
	}
	s.writeAnswer(w, result.body)
}

// parseRead returns what a request reads and how long it may wait for changes.
func (s *Server) parseRead(r *http.Request) (read ScopedRead, wait time.Duration, err error) {
	since, err := queryInteger(r, "since", 0, maxExactInteger)
	waitMs, waitErr := queryInteger(r, "timeout_ms", 0, maxWatchWait.Milliseconds())
	if err = errors.Join(err, waitErr); err != nil {
		return read, 0, err
	}
	query := r.URL.Query()
	read = ScopedRead{Since: since, History: query.Get("history")}
	if query.Has(subscriptionParameter) {
		if read.Scopes, err = s.subscription(query.Get(subscriptionParameter)); err != nil {
			return read, 0, err
		}
		read.Held = read.Scopes
		if query.Has(heldParameter) {
			if read.Held, err = s.subscription(query.Get(heldParameter)); err != nil {
				return read, 0, err
			}
		}
	}
	if since < 0 || read.addsScopes() {
		return read, 0, nil // answered immediately
	}
	return read, time.Duration(max(waitMs, 0)) * time.Millisecond, nil
}

// subscription returns the scopes registered under an id.
func (s *Server) subscription(id string) (*ScopeSet, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if set := s.subscriptions.get(id); set != nil {
		return set, nil
	}
	return nil, refuse(http.StatusNotFound, "subscription: unknown id %.80q; post its scopes to %s", id, SubscriptionsPath)
}

// handleSubscribe registers the scopes of a reader.
func (s *Server) handleSubscribe(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	limits := s.limits
	s.mu.Unlock()
	control := http.NewResponseController(w)
	control.SetReadDeadline(time.Now().Add(readTimeout))
	set, err := readSubscription(r.Body, limits.SubscriptionBytes, limits.SubscriptionScopes)
	if err != nil {
		w.Header().Set("Connection", "close") // part of the body may be unread
		s.writeError(w, err)
		return
	}
	control.SetReadDeadline(time.Time{})
	s.mu.Lock()
	s.subscriptions.add(set, limits.Subscriptions, limits.SubscribedScopes)
	s.mu.Unlock()
	s.writeAnswer(w, fmt.Appendf(nil, `{"subscription":%q}`+"\n", set.ID()))
}

// watchResult is an encoded answer with its history and epoch. The body is nil if there is
// no answer yet.
type watchResult struct {
	body    []byte
	history string
	epoch   int64
}

// scopedWatch is a waiting scoped read. The goroutine that changes the list advances its
// version while no change affects it, rather than waking every watcher to check
// (BenchmarkScopedWatch).
type scopedWatch struct {
	read ScopedRead    // guarded by Server.mu while the watch is registered
	wake chan struct{} // buffered signal that there may be an answer
}

func newScopedWatch(read ScopedRead) *scopedWatch {
	return &scopedWatch{read, make(chan struct{}, 1)}
}

// advanceWatches advances the scoped watches that no change affects to the store's version
// and wakes the others. The caller holds s.mu.
//
// Watches without a scope of a changed service skip the comparison with each change.
func (s *Server) advanceWatches() {
	previousVersion := s.watchesVersion
	s.watchesVersion = s.store.version
	if len(s.watches) == 0 {
		return
	}
	changedServices := s.store.servicesChanged(previousVersion)
	for watch := range s.watches {
		read := &watch.read
		unaffected := read.Since >= previousVersion && s.store.canContinue(*read) && !read.Scopes.includesServiceOf(changedServices)
		if s.store.fence == nil && (unaffected || s.store.NoChangesFor(*read)) {
			read.Since = s.store.version
			continue
		}
		select {
		case watch.wake <- struct{}{}:
		default: // already signalled
		}
	}
}

// pollWatch checks once whether a watch has an answer. If not, it registers the watch until
// endWatch and returns a channel that receives or is closed when there may be one.
func (s *Server) pollWatch(watch *scopedWatch, final bool) (result watchResult, changed <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	result, err = s.poll(&watch.read, final)
	switch {
	case err != nil || result.body != nil:
		return result, nil, err
	case watch.read.Scopes == nil:
		return watchResult{}, s.changed, nil
	}
	s.watches[watch] = struct{}{}
	return watchResult{}, watch.wake, nil
}

// endWatch unregisters a watch.
func (s *Server) endWatch(watch *scopedWatch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.watches, watch)
}

// awaitAnswer waits up to the given time for an answer.
func (s *Server) awaitAnswer(ctx context.Context, read ScopedRead, wait time.Duration) (watchResult, error) {
	if wait > 0 {
		defer s.metrics.watchers.Add(-1)
		if limit := s.maxWatchers(); s.metrics.watchers.Add(1) > int64(limit) {
			return watchResult{}, refuse(http.StatusServiceUnavailable, "the maximum of %d watchers is reached", limit)
		}
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	stopping := s.stopping
	watch := newScopedWatch(read)
	if read.Scopes != nil && wait > 0 {
		defer s.endWatch(watch)
	}
	for final := wait <= 0; ; {
		result, changed, err := s.pollWatch(watch, final)
		if err != nil || result.body != nil {
			return result, err
		}
		select {
		case <-changed:
		case <-timer.C:
			final = true
		case <-stopping:
			// Spread the answers so that the readers do not reconnect elsewhere all at once.
			stopping = nil
			timer.Reset(s.randomBetween(0, watchDrainPeriod))
		case <-ctx.Done():
			return watchResult{}, ctx.Err()
		}
	}
}

// poll checks once whether there is an answer. A result without a body means that there is
// none yet; a scoped read is then advanced to the store's version, so that each change is
// checked only once. The final poll always has an answer or an error. The caller holds s.mu.
func (s *Server) poll(read *ScopedRead, final bool) (result watchResult, err error) {
	now := s.now()
	fencedErr := s.checkFenced()
	if read.Scopes != nil && !final && fencedErr == nil && s.store.checkReadable(now) == nil && s.store.NoChangesFor(*read) {
		read.Since = s.store.version
		return watchResult{}, nil
	}
	var answer Answer
	if read.Scopes == nil {
		answer, err = s.store.Read(now, read.Since, read.History)
	} else {
		answer, err = s.store.ReadScoped(now, *read)
	}
	if fencedErr != nil {
		err = fencedErr
	}
	switch ahead := s.writer.Load() != nil && read.Since > s.store.version && read.History == s.store.history; {
	case ahead && !final: // wait for the follower to catch up
	case err != nil:
		return watchResult{}, err
	case answer.Full && !s.takeListingTokens(s.store.listCost(*read)):
		return watchResult{}, refuse(http.StatusServiceUnavailable, "overloaded: the rate of full listings is at its limit of %g per second", s.limits.ListingsPerSecond)
	case !answer.Unchanged || final:
		return watchResult{answer.Body, s.store.history, s.store.epoch}, nil
	}
	return watchResult{}, nil
}
