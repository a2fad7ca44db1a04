package registry

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/netutil"
)

const (
	tickGap     = 100 * time.Millisecond
	wakeGap     = 50 * time.Millisecond // between two answers to all watchers
	longestWait = time.Minute           // of a watch
	writeWait   = 5 * time.Second       // for an answer to be taken; a watcher that does not is cut
	readWait    = 3 * time.Second       // for a call to come whole
	idleWait    = 90 * time.Second
	mostCall    = 4 << 10 // bytes of a write's body
	mostHead    = 8 << 10
	leaveWithin = 2 * time.Second // in which watchers are told to move on, each at its own moment
	mostAfter   = 3 * time.Second // of Retry-After
	leastAfter  = time.Second
)

// Server answers readers and writers of one Store.
type Server struct {
	limits ServerLimits
	writer atomic.Pointer[string] // of a follower; nil: this is the writer
	age    func() int64           // milliseconds since the writer was heard; nil for a writer
	began  time.Time

	mu         sync.Mutex // of the store and of what follows
	store      *Store
	news       chan struct{} // closed when there is something new
	wokenAt    time.Time
	waking     bool
	toldLapsed int64
	toldAt     time.Time
	lists      float64 // that may be asked for now
	listsAt    time.Time
	random     *rand.Rand
	subscribed *subscriptions
	watches    map[*scopedWatch]struct{} // of scopes, that wait
	passedOver int64                     // the version at which they were last looked at

	keeper  *keeper        // makes changes last; nil: nothing does
	agreed  *agreed        // of a list that a group agrees on; else nil
	self    string         // this service's own address, for others
	promote func() error   // of a follower
	wg      sync.WaitGroup // of snapshots
	leaving chan struct{}  // closed at the stop
	ended   chan struct{}  // closed when no change is made any more
	figures struct {
		watchers, refused, turnedAway, answers, bytes, cut atomic.Int64
	}
}

// NewWriter serves a store of its own at an address that others know.
func NewWriter(self string, store *Store, limits ServerLimits, began time.Time, random *rand.Rand) *Server {
	limits = limits.withDefaults()
	return &Server{self: self, limits: limits, store: store, subscribed: newSubscriptions(), watches: map[*scopedWatch]struct{}{}, began: began, news: make(chan struct{}), random: random,
		lists: limits.Lists, listsAt: began, leaving: make(chan struct{}), ended: make(chan struct{})}
}

// Retune puts other limits in force. Leases that run keep their end.
func (s *Server) Retune(limits Limits, serves ServerLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.limits, s.limits = limits, serves.withDefaults()
}

func (s *Server) now() time.Duration { return time.Since(s.began) }

// tick lets leases lapse until ctx ends; where changes are kept, the keeper does.
func (s *Server) tick(ctx context.Context) {
	t := time.NewTicker(tickGap)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		switch {
		case s.keeper != nil:
			s.tellLapses()
			continue
		case s.writer.Load() != nil:
			continue // the writer's to say
		}
		if _, err := s.change(func(now time.Duration) (Written, error) { return Written{}, s.store.Tick(now) }); err != nil {
			slog.Error("lapses", "error", err)
		}
		s.tellLapses()
	}
}

// tellLapses writes a line about leases that have run out, once a second at most.
func (s *Server) tellLapses() {
	s.mu.Lock()
	st := s.store.Stats()
	now := time.Now()
	tell := st.Lapsed != s.toldLapsed && now.Sub(s.toldAt) >= time.Second
	lapsed := st.Lapsed - s.toldLapsed
	if tell {
		s.toldLapsed, s.toldAt = st.Lapsed, now
	}
	s.mu.Unlock()
	if tell {
		slog.Warn("leases have run out", "gone", lapsed, "overdue", st.Overdue, "instances", st.Instances)
	}
}

// writeChange makes a change, which lasts when it returns where changes are kept.
func (s *Server) writeChange(f func(now time.Duration) (Written, error)) (Written, error) {
	fenced := func(now time.Duration) (Written, error) {
		if err := cmp.Or(s.refuseFenced(), s.refuseElsewhere()); err != nil {
			return Written{}, err
		}
		return f(now)
	}
	if s.keeper != nil {
		return s.keeper.do(fenced)
	}
	return s.change(fenced)
}

// change does something with the store and wakes the watchers if that made news.
func (s *Server) change(f func(now time.Duration) (Written, error)) (Written, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before, history, pauses := s.store.version, s.store.history, s.store.stats.Pauses
	written, err := f(s.now())
	if s.store.version != before || s.store.history != history {
		s.wake()
	}
	if s.store.stats.Pauses != pauses {
		slog.Warn("the service stood still; all leases begin anew")
	}
	return written, err
}

// wake lets the watchers look. Changes that come close together are told at once.
func (s *Server) wake() {
	if s.waking {
		return
	}
	if wait := wakeGap - time.Since(s.wokenAt); wait > 0 {
		s.waking = true
		time.AfterFunc(wait, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.waking = false
			s.wakeNow()
		})
		return
	}
	s.wakeNow()
}

func (s *Server) wakeNow() {
	s.wokenAt = time.Now()
	close(s.news)
	s.news = make(chan struct{})
	s.passOver()
}

func (s *Server) between(least, most time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return least + time.Duration(s.random.Int64N(int64(most-least)))
}

func (s *Server) lease() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.store.limits.Lease
}

func (s *Server) left() bool {
	select {
	case <-s.leaving:
		return true
	default:
		return false
	}
}

// Serve answers on a listener, and operators on another, until ctx ends; then
// it lets watchers move on, at differing moments, and returns.
func (s *Server) Serve(ctx context.Context, l, operators net.Listener) error {
	inner, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	wg.Go(func() { s.tick(inner) })
	kept := make(chan error, 1)
	if s.keeper != nil {
		keeping, end := context.WithCancel(context.Background())
		defer func() { // after the last write
			end()
			<-s.ended
			s.wg.Wait()
			if err := s.keeper.closeLog(); err != nil {
				slog.Error("data", "error", err)
			}
		}()
		go func() {
			err := s.keeper.run(keeping)
			close(s.ended)
			kept <- err
		}()
	}
	server := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: readWait, IdleTimeout: idleWait, MaxHeaderBytes: mostHead}
	failed := make(chan error, 2)
	s.mu.Lock()
	connections := s.limits.Connections
	s.mu.Unlock()
	wg.Go(func() { failed <- server.Serve(netutil.LimitListener(l, connections)) })
	if operators != nil {
		control := &http.Server{Handler: s.control(), ReadTimeout: readWait, WriteTimeout: writeWait, MaxHeaderBytes: mostHead}
		wg.Go(func() { failed <- control.Serve(netutil.LimitListener(operators, 16)) })
		defer control.Close()
	}
	var broken error
	select {
	case err := <-failed:
		server.Close()
		return err
	case broken = <-kept: // nobody may believe any more in what this process has
	case <-ctx.Done():
	}
	slog.Info("leaving", "watchers", s.figures.watchers.Load())
	close(s.leaving)
	end, cancel := context.WithTimeout(context.Background(), leaveWithin+writeWait)
	defer cancel()
	if err := server.Shutdown(end); err != nil {
		server.Close()
		return errors.Join(broken, fmt.Errorf("calls that were still open at the end: %w", err))
	}
	return broken
}
