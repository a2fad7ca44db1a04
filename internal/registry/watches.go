package registry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// read answers with the whole list, or waits for what is new; both in the scopes that the
// call names, if it does.
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
	if s.age != nil && s.writer.Load() != nil {
		w.Header().Set(AgeHeader, strconv.FormatInt(s.age(), 10))
	}
	s.writeAnswer(w, result.body)
}

// question reads what a call asks for, and how long it may wait.
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
		return read, 0, nil // it is answered at once
	}
	return read, time.Duration(max(waitMs, 0)) * time.Millisecond, nil
}

// subscription returns the scopes that were named under an id.
func (s *Server) subscription(id string) (*ScopeSet, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if set := s.subscriptions.get(id); set != nil {
		return set, nil
	}
	return nil, refuse(http.StatusNotFound, "subscription: %.80q is not known here; name its scopes at %s", id, SubscriptionsPath)
}

// subscribe takes the scopes that a reader names.
func (s *Server) handleSubscribe(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	limits := s.limits
	s.mu.Unlock()
	control := http.NewResponseController(w)
	control.SetReadDeadline(time.Now().Add(readTimeout))
	set, err := readSubscription(r.Body, limits.SubscriptionBytes, limits.SubscriptionScopes)
	if err != nil {
		w.Header().Set("Connection", "close") // the rest of its body may still come
		s.writeError(w, err)
		return
	}
	control.SetReadDeadline(time.Time{})
	s.mu.Lock()
	s.subscriptions.add(set, limits.Subscriptions, limits.SubscribedScopes)
	s.mu.Unlock()
	s.writeAnswer(w, fmt.Appendf(nil, `{"subscription":%q}`+"\n", set.ID()))
}

// awaited is an answer and where it comes from.
type watchResult struct {
	body    []byte
	history string
	epoch   int64
}

// scopedWatch is a reader of scopes that waits. What it asks is moved on with the list as
// long as no change concerns it, by who makes the changes: a thousand readers that each woke
// to look took nine times as much processor time (BenchmarkScopedWatch).
type scopedWatch struct {
	read ScopedRead    // the server's while the watch waits
	wake chan struct{} // has one when there may be something for it
}

func newScopedWatch(read ScopedRead) *scopedWatch {
	return &scopedWatch{read, make(chan struct{}, 1)}
}

// passOver moves on the watches of scopes that nothing new concerns, and wakes the others.
// The caller has the lock.
//
// Most watches have no service that has changed since they were last looked at. They are not
// compared with each change.
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
		default: // it has been woken
		}
	}
}

// lookFor looks for a watch. If there is nothing new, the watch waits until endWatch, and
// the channel has something, or is closed, when there may be.
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

// endWatch ends a watch.
func (s *Server) endWatch(watch *scopedWatch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.watches, watch)
}

// await waits for an answer.
func (s *Server) awaitAnswer(ctx context.Context, read ScopedRead, wait time.Duration) (watchResult, error) {
	if wait > 0 {
		defer s.metrics.watchers.Add(-1)
		if limit := s.maxWatchers(); s.metrics.watchers.Add(1) > int64(limit) {
			return watchResult{}, refuse(http.StatusServiceUnavailable, "there are %d watchers", limit)
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
			// All would ask elsewhere at once.
			stopping = nil
			timer.Reset(s.randomBetween(0, watchDrainPeriod))
		case <-ctx.Done():
			return watchResult{}, ctx.Err()
		}
	}
}

// look looks for an answer once. Without a body there is nothing new yet, and a question
// about scopes is moved on to the version that was looked at, so that each change is looked
// at once. The last look always has an answer. The caller has the lock.
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
	case ahead && !final: // a follower will know by and by
	case err != nil:
		return watchResult{}, err
	case answer.Full && !s.takeListingTokens(s.store.listCost(*read)):
		return watchResult{}, refuse(http.StatusServiceUnavailable, "too many ask for the whole list")
	case !answer.Unchanged || final:
		return watchResult{answer.Body, s.store.history, s.store.epoch}, nil
	}
	return watchResult{}, nil
}
