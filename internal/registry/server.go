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
	tickInterval     = 100 * time.Millisecond
	wakeInterval     = 50 * time.Millisecond // between two answers to all watchers
	maxWatchWait     = time.Minute           // of a watch
	writeTimeout     = 5 * time.Second       // for an answer to be taken; a watcher that does not is cut
	readTimeout      = 3 * time.Second       // for a call to come whole
	idleTimeout      = 90 * time.Second
	maxRequestBytes  = 4 << 10 // bytes of a write's body
	maxHeaderBytes   = 8 << 10
	watchDrainPeriod = 2 * time.Second // in which watchers are told to move on, each at its own moment
	maxRetryAfter    = 3 * time.Second // of Retry-After
	minRetryAfter    = time.Second
)

// Server answers readers and writers of one Store.
type Server struct {
	limits    ServerLimits
	writer    atomic.Pointer[string] // of a follower; nil: this is the writer
	age       func() int64           // milliseconds since the writer was heard; nil for a writer
	startedAt time.Time

	mu              sync.Mutex // of the store and of what follows
	store           *Store
	changed         chan struct{} // closed when there is something new
	lastWake        time.Time
	wakePending     bool
	loggedLapses    int64
	lapsesLoggedAt  time.Time
	listingTokens   float64 // that may be asked for now
	listingTokensAt time.Time
	random          *rand.Rand
	subscriptions   *subscriptions
	watches         map[*scopedWatch]struct{} // of scopes, that wait
	watchesVersion  int64                     // the version at which they were last looked at

	persister     *persister     // makes changes last; nil: nothing does
	replicated    *replicated    // of a list that a group agrees on; else nil
	selfAddress   string         // this service's own address, for others
	promote       func() error   // of a follower
	snapshots     sync.WaitGroup // of snapshots
	stopping      chan struct{}  // closed at the stop
	persisterDone chan struct{}  // closed when no change is made any more
	metrics       struct {
		watchers, refused, overloaded, answers, bytes, aborted atomic.Int64
	}
}

// NewWriter serves a store of its own at an address that others know.
func NewWriter(selfAddress string, store *Store, limits ServerLimits, startedAt time.Time, random *rand.Rand) *Server {
	limits = limits.withDefaults()
	return &Server{selfAddress: selfAddress, limits: limits, store: store, subscriptions: newSubscriptions(), watches: map[*scopedWatch]struct{}{}, startedAt: startedAt, changed: make(chan struct{}), random: random,
		listingTokens: limits.ListingsPerSecond, listingTokensAt: startedAt, stopping: make(chan struct{}), persisterDone: make(chan struct{})}
}

// Retune puts other limits in force. Leases that run keep their end.
func (s *Server) SetLimits(limits Limits, serverLimits ServerLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.limits, s.limits = limits, serverLimits.withDefaults()
}

func (s *Server) now() time.Duration { return time.Since(s.startedAt) }

// tick lets leases lapse until ctx ends; where changes are kept, the keeper does.
func (s *Server) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		switch {
		case s.persister != nil:
			s.logLapses()
			continue
		case s.writer.Load() != nil:
			continue // the writer's to say
		}
		if _, err := s.change(func(now time.Duration) (WriteResult, error) { return WriteResult{}, s.store.Tick(now) }); err != nil {
			slog.Error("lapses", "error", err)
		}
		s.logLapses()
	}
}

// tellLapses writes a line about leases that have run out, once a second at most.
func (s *Server) logLapses() {
	s.mu.Lock()
	stats := s.store.Stats()
	now := time.Now()
	due := stats.Lapsed != s.loggedLapses && now.Sub(s.lapsesLoggedAt) >= time.Second
	lapsed := stats.Lapsed - s.loggedLapses
	if due {
		s.loggedLapses, s.lapsesLoggedAt = stats.Lapsed, now
	}
	s.mu.Unlock()
	if due {
		slog.Warn("leases have run out", "gone", lapsed, "overdue", stats.Overdue, "instances", stats.Instances)
	}
}

// writeChange makes a change, which lasts when it returns where changes are kept.
func (s *Server) writeChange(write func(now time.Duration) (WriteResult, error)) (WriteResult, error) {
	fenced := func(now time.Duration) (WriteResult, error) {
		if err := cmp.Or(s.checkFenced(), s.checkIsWriter()); err != nil {
			return WriteResult{}, err
		}
		return write(now)
	}
	if s.persister != nil {
		return s.persister.submit(fenced)
	}
	return s.change(fenced)
}

// change does something with the store and wakes the watchers if that made news.
func (s *Server) change(apply func(now time.Duration) (WriteResult, error)) (WriteResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	versionBefore, historyBefore, pausesBefore := s.store.version, s.store.history, s.store.stats.Pauses
	result, err := apply(s.now())
	if s.store.version != versionBefore || s.store.history != historyBefore {
		s.wake()
	}
	if s.store.stats.Pauses != pausesBefore {
		slog.Warn("the service stood still; all leases begin anew")
	}
	return result, err
}

// wake lets the watchers look. Changes that come close together are told at once.
func (s *Server) wake() {
	if s.wakePending {
		return
	}
	if delay := wakeInterval - time.Since(s.lastWake); delay > 0 {
		s.wakePending = true
		time.AfterFunc(delay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.wakePending = false
			s.wakeNow()
		})
		return
	}
	s.wakeNow()
}

func (s *Server) wakeNow() {
	s.lastWake = time.Now()
	close(s.changed)
	s.changed = make(chan struct{})
	s.advanceWatches()
}

func (s *Server) randomBetween(low, high time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return low + time.Duration(s.random.Int64N(int64(high-low)))
}

func (s *Server) lease() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.store.limits.Lease
}

func (s *Server) isStopping() bool {
	select {
	case <-s.stopping:
		return true
	default:
		return false
	}
}

// Serve answers on a listener, and operators on another, until ctx ends; then
// it lets watchers move on, at differing moments, and returns.
func (s *Server) Serve(ctx context.Context, listener, operatorListener net.Listener) error {
	tickContext, stopTicks := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stopTicks()
	wg.Go(func() { s.tick(tickContext) })
	persisterResult := make(chan error, 1)
	if s.persister != nil {
		persisterContext, stopPersister := context.WithCancel(context.Background())
		defer func() { // after the last write
			stopPersister()
			<-s.persisterDone
			s.snapshots.Wait()
			if err := s.persister.closeLog(); err != nil {
				slog.Error("data", "error", err)
			}
		}()
		go func() {
			err := s.persister.run(persisterContext)
			close(s.persisterDone)
			persisterResult <- err
		}()
	}
	server := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: readTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	serveErrors := make(chan error, 2)
	s.mu.Lock()
	connections := s.limits.Connections
	s.mu.Unlock()
	wg.Go(func() { serveErrors <- server.Serve(netutil.LimitListener(listener, connections)) })
	if operatorListener != nil {
		control := &http.Server{Handler: s.controlHandler(), ReadTimeout: readTimeout, WriteTimeout: writeTimeout, MaxHeaderBytes: maxHeaderBytes}
		wg.Go(func() { serveErrors <- control.Serve(netutil.LimitListener(operatorListener, 16)) })
		defer control.Close()
	}
	var persistErr error
	select {
	case err := <-serveErrors:
		server.Close()
		return err
	case persistErr = <-persisterResult: // nobody may believe any more in what this process has
	case <-ctx.Done():
	}
	slog.Info("leaving", "watchers", s.metrics.watchers.Load())
	close(s.stopping)
	shutdownContext, cancel := context.WithTimeout(context.Background(), watchDrainPeriod+writeTimeout)
	defer cancel()
	if err := server.Shutdown(shutdownContext); err != nil {
		server.Close()
		return errors.Join(persistErr, fmt.Errorf("calls that were still open at the end: %w", err))
	}
	return persistErr
}
