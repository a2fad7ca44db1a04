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

// await waits for an answer. A reader of scopes that waits looks at each change once: as
// long as none concerns it, it is as good as at the version that it has looked at.
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
	for last := wait <= 0; ; {
		found, news, err := s.look(&q, last)
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

// look looks for an answer once. Without a body there is nothing new yet, and the channel is
// closed when there may be; the question is then moved on to the version that was looked
// at. The last look always has an answer.
func (s *Server) look(q *ScopedRead, last bool) (found awaited, news <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	fenced := s.refuseFenced()
	if q.Scopes != nil && !last && fenced == nil && s.store.readable(now) == nil && s.store.Quiet(*q) {
		q.Since = s.store.version
		return awaited{}, s.news, nil
	}
	a, err := s.store.answer(now, *q)
	if fenced != nil {
		err = fenced
	}
	switch ahead := s.writer.Load() != nil && q.Since > s.store.version && q.History == s.store.history; {
	case ahead && !last: // a follower will know by and by
	case err != nil:
		return awaited{}, nil, err
	case a.Whole && !s.mayList(s.store.listCost(*q)):
		return awaited{}, nil, refuse(http.StatusServiceUnavailable, "too many ask for the whole list")
	case !a.Nothing || last:
		return awaited{a.Body, s.store.history, s.store.epoch}, nil, nil
	}
	return awaited{}, s.news, nil
}
