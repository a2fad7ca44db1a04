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
func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	question, wait, err := s.question(r)
	if err != nil {
		s.fail(w, err)
		return
	}
	a, err := s.await(r.Context(), question, wait)
	if err != nil {
		s.fail(w, err)
		return
	}
	w.Header().Set(HistoryHeader, a.history)
	w.Header().Set(EpochHeader, strconv.FormatInt(a.epoch, 10))
	if question.Scopes != nil {
		w.Header().Set(SubscriptionHeader, question.Scopes.ID())
	}
	if s.age != nil && s.writer.Load() != nil {
		w.Header().Set(AgeHeader, strconv.FormatInt(s.age(), 10))
	}
	s.write(w, a.body)
}

// question reads what a call asks for, and how long it may wait.
func (s *Server) question(r *http.Request) (question ScopedRead, wait time.Duration, err error) {
	since, err := number(r, "since", 0, mostStart)
	waitMs, waitErr := number(r, "timeout_ms", 0, longestWait.Milliseconds())
	if err = errors.Join(err, waitErr); err != nil {
		return question, 0, err
	}
	query := r.URL.Query()
	question = ScopedRead{Since: since, History: query.Get("history")}
	if query.Has(subscriptionParameter) {
		if question.Scopes, err = s.subscription(query.Get(subscriptionParameter)); err != nil {
			return question, 0, err
		}
		question.Held = question.Scopes
		if query.Has(heldParameter) {
			if question.Held, err = s.subscription(query.Get(heldParameter)); err != nil {
				return question, 0, err
			}
		}
	}
	if since < 0 || question.joins() {
		return question, 0, nil // it is answered at once
	}
	return question, time.Duration(max(waitMs, 0)) * time.Millisecond, nil
}

// subscription returns the scopes that were named under an id.
func (s *Server) subscription(id string) (*ScopeSet, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if set := s.subscribed.get(id); set != nil {
		return set, nil
	}
	return nil, refuse(http.StatusNotFound, "subscription: %.80q is not known here; name its scopes at %s", id, SubscriptionsPath)
}

// subscribe takes the scopes that a reader names.
func (s *Server) subscribe(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	limits := s.limits
	s.mu.Unlock()
	control := http.NewResponseController(w)
	control.SetReadDeadline(time.Now().Add(readWait))
	set, err := readSubscription(r.Body, limits.SubscriptionBytes, limits.SubscriptionScopes)
	if err != nil {
		w.Header().Set("Connection", "close") // the rest of its body may still come
		s.fail(w, err)
		return
	}
	control.SetReadDeadline(time.Time{})
	s.mu.Lock()
	s.subscribed.add(set, limits.Subscriptions, limits.SubscribedScopes)
	s.mu.Unlock()
	s.write(w, fmt.Appendf(nil, `{"subscription":%q}`+"\n", set.ID()))
}

// awaited is an answer and where it comes from.
type awaited struct {
	body    []byte
	history string
	epoch   int64
}

// scopedWatch is a reader of scopes that waits. What it asks is moved on with the list as
// long as no change concerns it, by who makes the changes: a thousand readers that each woke
// to look took nine times as much processor time (BenchmarkScopedWatch).
type scopedWatch struct {
	question  ScopedRead    // the server's while the watch waits
	concerned chan struct{} // has one when there may be something for it
}

func newScopedWatch(question ScopedRead) *scopedWatch {
	return &scopedWatch{question, make(chan struct{}, 1)}
}

// passOver moves on the watches of scopes that nothing new concerns, and wakes the others.
// The caller has the lock.
//
// Most watches have no service that has changed since they were last looked at. They are not
// compared with each change.
func (s *Server) passOver() {
	before := s.passedOver
	s.passedOver = s.store.version
	if len(s.watches) == 0 {
		return
	}
	changed := s.store.servicesChanged(before)
	for watch := range s.watches {
		q := &watch.question
		apart := q.Since >= before && s.store.continues(*q) && !q.Scopes.meets(changed)
		if s.store.fence == nil && (apart || s.store.Quiet(*q)) {
			q.Since = s.store.version
			continue
		}
		select {
		case watch.concerned <- struct{}{}:
		default: // it has been woken
		}
	}
}

// lookFor looks for a watch. If there is nothing new, the watch waits until endWatch, and
// the channel has something, or is closed, when there may be.
func (s *Server) lookFor(watch *scopedWatch, last bool) (found awaited, news <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, err = s.look(&watch.question, last)
	switch {
	case err != nil || found.body != nil:
		return found, nil, err
	case watch.question.Scopes == nil:
		return awaited{}, s.news, nil
	}
	s.watches[watch] = struct{}{}
	return awaited{}, watch.concerned, nil
}

// endWatch ends a watch.
func (s *Server) endWatch(watch *scopedWatch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.watches, watch)
}

// await waits for an answer.
func (s *Server) await(ctx context.Context, q ScopedRead, wait time.Duration) (awaited, error) {
	if wait > 0 {
		defer s.figures.watchers.Add(-1)
		if most := s.mostWatchers(); s.figures.watchers.Add(1) > int64(most) {
			return awaited{}, refuse(http.StatusServiceUnavailable, "there are %d watchers", most)
		}
	}
	over := time.NewTimer(wait)
	defer over.Stop()
	leaving := s.leaving
	watch := newScopedWatch(q)
	if q.Scopes != nil && wait > 0 {
		defer s.endWatch(watch)
	}
	for last := wait <= 0; ; {
		found, news, err := s.lookFor(watch, last)
		if err != nil || found.body != nil {
			return found, err
		}
		select {
		case <-news:
		case <-over.C:
			last = true
		case <-leaving:
			// All would ask elsewhere at once.
			leaving = nil
			over.Reset(s.between(0, leaveWithin))
		case <-ctx.Done():
			return awaited{}, ctx.Err()
		}
	}
}

// look looks for an answer once. Without a body there is nothing new yet, and a question
// about scopes is moved on to the version that was looked at, so that each change is looked
// at once. The last look always has an answer. The caller has the lock.
func (s *Server) look(q *ScopedRead, last bool) (found awaited, err error) {
	now := s.now()
	fenced := s.refuseFenced()
	if q.Scopes != nil && !last && fenced == nil && s.store.readable(now) == nil && s.store.Quiet(*q) {
		q.Since = s.store.version
		return awaited{}, nil
	}
	var a Answer
	if q.Scopes == nil {
		a, err = s.store.Read(now, q.Since, q.History)
	} else {
		a, err = s.store.ReadScoped(now, *q)
	}
	if fenced != nil {
		err = fenced
	}
	switch ahead := s.writer.Load() != nil && q.Since > s.store.version && q.History == s.store.history; {
	case ahead && !last: // a follower will know by and by
	case err != nil:
		return awaited{}, err
	case a.Whole && !s.mayList(s.store.listCost(*q)):
		return awaited{}, refuse(http.StatusServiceUnavailable, "too many ask for the whole list")
	case !a.Nothing || last:
		return awaited{a.Body, s.store.history, s.store.epoch}, nil
	}
	return awaited{}, nil
}
