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
	wakeInterval     = 50 * time.Millisecond // minimum between two wake-ups of all watchers
	maxWatchWait     = time.Minute
	writeTimeout     = 5 * time.Second // for sending an answer
	readTimeout      = 3 * time.Second // for receiving a request
	idleTimeout      = 90 * time.Second
	maxRequestBytes  = 4 << 10 // of the body of a write
	maxHeaderBytes   = 8 << 10
	watchDrainPeriod = 2 * time.Second // over which watches end at shutdown
	maxRetryAfter    = 3 * time.Second
	minRetryAfter    = time.Second
)

// Server serves one Store to readers and writers.
type Server struct {
	limits    ServerLimits
	writer    atomic.Pointer[string] // the writer's address, empty if unknown; nil if this is the writer
	ageMs     func() int64           // milliseconds since the last update from the writer, -1 for none; nil for a writer
	startedAt time.Time

	mu              sync.Mutex // guards limits, store and the fields down to watchesVersion
	store           *Store
	changed         chan struct{} // closed and replaced when watchers are woken
	lastWake        time.Time
	wakePending     bool
	loggedLapses    int64 // Stats.Lapsed as last logged
	lapsesLoggedAt  time.Time
	listingTokens   float64 // full listings that the rate limit admits now
	listingTokensAt time.Time
	random          *rand.Rand
	subscriptions   *subscriptions
	watches         map[*scopedWatch]struct{} // scoped watches that are waiting
	watchesVersion  int64                     // version at which watches were last checked

	persister     *persister   // nil if changes are not persisted
	replicated    *replicated  // nil if no group replicates the list
	selfAddress   string       // this server's address as other processes reach it
	promote       func() error // nil unless this is a follower
	snapshots     sync.WaitGroup
	stopping      chan struct{} // closed at the beginning of shutdown
	persisterDone chan struct{} // closed when the persister has stopped
	metrics       struct {
		watchers, refused, overloaded, answers, bytes, aborted atomic.Int64
	}
}

// NewWriter returns a Server that writes to store, which it owns from now on. selfAddress
// is the address at which other processes reach it, and startedAt the origin of the store's
// clock.
func NewWriter(selfAddress string, store *Store, limits ServerLimits, startedAt time.Time, random *rand.Rand) *Server {
	limits = limits.withDefaults()
	return &Server{selfAddress: selfAddress, limits: limits, store: store, subscriptions: newSubscriptions(), watches: map[*scopedWatch]struct{}{}, startedAt: startedAt, changed: make(chan struct{}), random: random,
		listingTokens: limits.ListingsPerSecond, listingTokensAt: startedAt, stopping: make(chan struct{}), persisterDone: make(chan struct{})}
}

// SetLimits replaces the limits. Current leases keep their expiry.
func (s *Server) SetLimits(limits Limits, serverLimits ServerLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.limits, s.limits = limits, serverLimits.withDefaults()
}

func (s *Server) now() time.Duration { return time.Since(s.startedAt) }

// tick expires leases until ctx ends. If there is a persister, it expires them instead.
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
			continue // only the writer expires leases
		}
		if _, err := s.change(func(now time.Duration) (WriteResult, error) { return WriteResult{}, s.store.Tick(now) }); err != nil {
			slog.Error("expired leases could not be removed", "error", err)
		}
		s.logLapses()
	}
}

// logLapses logs how many instances have lapsed, at most once a second.
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
		slog.Warn("leases expired", "gone", lapsed, "overdue", stats.Overdue, "instances", stats.Instances)
	}
}

// writeChange makes a change unless this server is fenced or not the writer. If there is a
// persister, the change is durable when writeChange returns.
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

// change applies a function to the store and wakes the watchers if the version or history
// has changed.
func (s *Server) change(apply func(now time.Duration) (WriteResult, error)) (WriteResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	versionBefore, historyBefore, pausesBefore := s.store.version, s.store.history, s.store.stats.Pauses
	result, err := apply(s.now())
	if s.store.version != versionBefore || s.store.history != historyBefore {
		s.wake()
	}
	if s.store.stats.Pauses != pausesBefore {
		slog.Warn("process pause detected; all leases renewed")
	}
	return result, err
}

// wake wakes the watchers, at most once per wakeInterval, so that changes in quick
// succession share an answer. The caller holds s.mu.
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

// Serve serves readers and writers on listener, and the control endpoints on
// controlListener unless that is nil, until ctx ends. Then it ends the watches spread over
// time, so that the readers do not reconnect elsewhere all at once. It returns an error if a
// listener or the persister fails, or if shutdown times out.
func (s *Server) Serve(ctx context.Context, listener, controlListener net.Listener) error {
	tickContext, stopTicks := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stopTicks()
	wg.Go(func() { s.tick(tickContext) })
	wg.Go(func() { s.notifyReplacedWriters(tickContext) }) // an earlier process may not have reached them
	persisterResult := make(chan error, 1)
	if s.persister != nil {
		persisterContext, stopPersister := context.WithCancel(context.Background())
		defer func() { // after the last write
			stopPersister()
			<-s.persisterDone
			s.snapshots.Wait()
			if err := s.persister.closeLog(); err != nil {
				slog.Error("log could not be closed", "error", err)
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
	if controlListener != nil {
		control := &http.Server{Handler: s.controlHandler(), ReadTimeout: readTimeout, WriteTimeout: writeTimeout, MaxHeaderBytes: maxHeaderBytes}
		wg.Go(func() { serveErrors <- control.Serve(netutil.LimitListener(controlListener, 16)) })
		defer control.Close()
	}
	var persistErr error
	select {
	case err := <-serveErrors:
		server.Close()
		return err
	case persistErr = <-persisterResult: // changes can no longer be persisted, so stop serving
	case <-ctx.Done():
	}
	slog.Info("shutting down", "watchers", s.metrics.watchers.Load())
	close(s.stopping)
	shutdownContext, cancel := context.WithTimeout(context.Background(), watchDrainPeriod+writeTimeout)
	defer cancel()
	if err := server.Shutdown(shutdownContext); err != nil {
		server.Close()
		return errors.Join(persistErr, fmt.Errorf("requests still in progress at shutdown: %w", err))
	}
	return persistErr
}
