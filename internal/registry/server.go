package registry

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
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

// ServerLimits bound a Server.
type ServerLimits struct {
	Connections int
	Watchers    int
	Lists       float64 // whole lists in a second; one of scopes counts by its share

	// Of the scopes that readers name; 0: the defaults above.
	Subscriptions      int   // sets of scopes that are kept
	SubscriptionScopes int   // scopes of one set
	SubscribedScopes   int   // scopes of all sets
	SubscriptionBytes  int64 // of a call that names a set
}

// withDefaults puts the defaults in the place of what is not said.
func (l ServerLimits) withDefaults() ServerLimits {
	l.Subscriptions = cmp.Or(l.Subscriptions, defaultSubscriptions)
	l.SubscriptionScopes = min(cmp.Or(l.SubscriptionScopes, defaultSubscriptionScopes), MostScopes)
	l.SubscribedScopes = cmp.Or(l.SubscribedScopes, defaultSubscribedScopes)
	l.SubscriptionBytes = cmp.Or(l.SubscriptionBytes, defaultSubscriptionBytes)
	return l
}

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
	return &Server{self: self, limits: limits, store: store, subscribed: newSubscriptions(), began: began, news: make(chan struct{}), random: random,
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
}

// Handler answers the calls of readers and writers.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+Path, s.read)
	mux.HandleFunc("POST "+SubscriptionsPath, s.subscribe)
	mux.HandleFunc("GET "+FencePath, s.fenceHandler)
	mux.HandleFunc("POST "+FencePath, s.fenceHandler)
	for pattern, f := range map[string]func(id string, r *http.Request) (Written, error){
		"PUT " + Path + "/{id}":            s.register,
		"POST " + Path + "/{id}/renew":     s.renew,
		"POST " + Path + "/{id}/lifecycle": s.lifecycle,
		"DELETE " + Path + "/{id}":         s.leave,
	} {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			if writer := s.writer.Load(); writer != nil {
				if *writer == "" {
					s.fail(w, refuse(http.StatusServiceUnavailable, "nobody writes now"))
					return
				}
				w.Header().Set("Location", "http://"+*writer+r.URL.RequestURI())
				s.fail(w, refuse(http.StatusTemporaryRedirect, "writes go to %s", *writer))
				return
			}
			// A time-out of the server's own would end watches too.
			control := http.NewResponseController(w)
			control.SetReadDeadline(time.Now().Add(readWait))
			written, err := f(r.PathValue("id"), r)
			if err != nil {
				w.Header().Set("Connection", "close") // the rest of its body may still come
				s.fail(w, err)
				return
			}
			control.SetReadDeadline(time.Time{})
			s.write(w, fmt.Appendf(nil, `{"version":%d,"lifecycle":%q,"leaseMs":%d}`+"\n", written.Version, written.Lifecycle, s.lease().Milliseconds()))
		})
	}
	return mux
}

// writeCall is the body of a write. All calls name the process by its start, and may
// name the version that its instance is at; 0: that it is not on the list.
type writeCall struct {
	HostPort    string    `json:"hostPort"`
	Zone        string    `json:"zone"`
	MachineType string    `json:"machineType"`
	Cell        int       `json:"cell"`
	Service     string    `json:"service"`
	Region      string    `json:"region"`
	Lifecycle   Lifecycle `json:"lifecycle"`
	Weight      *float64  `json:"weight"`
	StartedAtMs *int64    `json:"startedAtMs"`
	IfVersion   *int64    `json:"ifVersion"`
}

func readCall(r *http.Request) (writeCall, error) {
	var c writeCall
	text, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, mostCall))
	var long *http.MaxBytesError
	switch {
	case errors.As(err, &long):
		return c, refuse(http.StatusRequestEntityTooLarge, "a call has %d bytes at most", mostCall)
	case err != nil:
		return c, refuse(http.StatusBadRequest, "the call did not come whole")
	}
	if err := decode(text, &c); err != nil {
		return c, refuse(http.StatusBadRequest, "%v", err)
	}
	if c.StartedAtMs == nil {
		return c, refuse(http.StatusBadRequest, "startedAtMs is missing")
	}
	return c, nil
}

func (s *Server) register(id string, r *http.Request) (Written, error) {
	c, err := readCall(r)
	if err != nil {
		return Written{}, err
	}
	i := Instance{ID: id, HostPort: c.HostPort, Zone: c.Zone, MachineType: c.MachineType, Cell: c.Cell,
		Service: c.Service, Region: c.Region, Lifecycle: c.Lifecycle, Weight: 1, StartedAtMs: *c.StartedAtMs}
	if c.Weight != nil {
		i.Weight = *c.Weight
	}
	return s.writeChange(func(now time.Duration) (Written, error) { return s.store.Register(now, i, c.IfVersion) })
}

func (s *Server) renew(id string, r *http.Request) (Written, error) {
	c, err := readCall(r)
	if err == nil && c != (writeCall{StartedAtMs: c.StartedAtMs}) {
		err = refuse(http.StatusBadRequest, "a renewal has startedAtMs alone")
	}
	if err != nil {
		return Written{}, err
	}
	return s.writeChange(func(now time.Duration) (Written, error) { return s.store.Renew(now, id, *c.StartedAtMs) })
}

func (s *Server) lifecycle(id string, r *http.Request) (Written, error) {
	c, err := readCall(r)
	if err == nil && c != (writeCall{StartedAtMs: c.StartedAtMs, Lifecycle: c.Lifecycle, IfVersion: c.IfVersion}) {
		err = refuse(http.StatusBadRequest, "a change of lifecycle has lifecycle, startedAtMs and ifVersion alone")
	}
	if err != nil {
		return Written{}, err
	}
	return s.writeChange(func(now time.Duration) (Written, error) {
		return s.store.SetLifecycle(now, id, *c.StartedAtMs, c.Lifecycle, c.IfVersion)
	})
}

func (s *Server) leave(id string, r *http.Request) (Written, error) {
	started, err := number(r, "startedAtMs", 0, mostStart)
	if err == nil && started < 0 {
		err = refuse(http.StatusBadRequest, "startedAtMs is missing")
	}
	if err != nil {
		return Written{}, err
	}
	var expect *int64
	if version, err := number(r, "ifVersion", 0, mostStart); err != nil {
		return Written{}, err
	} else if version >= 0 {
		expect = &version
	}
	return s.writeChange(func(now time.Duration) (Written, error) { return s.store.Leave(now, id, started, expect) })
}

// number reads a number of a call's query; -1: it names none.
func number(r *http.Request, name string, least, most int64) (int64, error) {
	values := r.URL.Query()[name]
	if len(values) == 0 {
		return -1, nil
	}
	n, err := strconv.ParseInt(values[0], 10, 64)
	if err != nil || len(values) > 1 || n < least || n > most {
		return -1, refuse(http.StatusBadRequest, "%s: %.40q is not a number from %d to %d", name, values[0], least, most)
	}
	return n, nil
}

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

func (s *Server) mostWatchers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limits.Watchers
}

// mayList bounds the whole lists, of which each costs as much as many changes. The list of
// scopes counts as the part of the instances that has to be looked at for it, so that a
// thousand readers of small services are let in where a hundred of everything are.
func (s *Server) mayList(cost float64) bool {
	now := time.Now()
	s.lists = min(s.lists+now.Sub(s.listsAt).Seconds()*s.limits.Lists, s.limits.Lists)
	if s.listsAt = now; s.lists < cost {
		return false
	}
	s.lists -= cost
	return true
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

// write gives an answer, for which a watcher has so long.
func (s *Server) write(w http.ResponseWriter, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if s.left() {
		w.Header().Set("Connection", "close")
	}
	control := http.NewResponseController(w)
	control.SetWriteDeadline(time.Now().Add(writeWait))
	s.figures.answers.Add(1)
	_, err := w.Write(body)
	if err = cmp.Or(err, control.Flush()); err != nil { // a short answer fails only when it is sent
		s.figures.cut.Add(1)
		return
	}
	s.figures.bytes.Add(int64(len(body)))
}

// fail says in one line why a call changed nothing.
func (s *Server) fail(w http.ResponseWriter, err error) {
	var r *Refusal
	if !errors.As(err, &r) {
		r = &Refusal{http.StatusServiceUnavailable, err.Error()}
	}
	if r.Status == http.StatusServiceUnavailable {
		s.figures.turnedAway.Add(1)
		w.Header().Set("Retry-After", strconv.FormatFloat(s.between(leastAfter, mostAfter).Seconds(), 'f', 3, 64))
	} else {
		s.figures.refused.Add(1)
	}
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeWait))
	http.Error(w, r.Text, r.Status)
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

// ready tells whether reads are answered.
func (s *Server) ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now() >= s.store.gathering && !s.left() && s.store.fence == nil && (s.agreed == nil || s.store.history != "")
}

// control answers operators.
func (s *Server) control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control/ready", func(w http.ResponseWriter, _ *http.Request) {
		if !s.ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("POST /control/promote", func(w http.ResponseWriter, _ *http.Request) {
		err := refuse(http.StatusConflict, "this is the writer")
		if s.promote != nil {
			err = s.promote()
		}
		if err != nil {
			s.fail(w, err)
		}
	})
	mux.HandleFunc("GET /control/counters", func(w http.ResponseWriter, _ *http.Request) { s.writeFigures(w) })
	mux.HandleFunc("GET /control/where", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		where := struct {
			History string `json:"history"`
			Version int64  `json:"version"`
			Epoch   int64  `json:"epoch"`
			Writer  string `json:"writer,omitempty"`
			Fenced  string `json:"fencedBy,omitempty"`
			AgeMs   *int64 `json:"ageMs,omitempty"`
		}{History: s.store.history, Version: s.store.version, Epoch: s.store.epoch}
		if s.store.fence != nil {
			where.Fenced = s.store.fence.Writer
		}
		s.mu.Unlock()
		if writer := s.writer.Load(); writer != nil {
			where.Writer = *writer
		}
		if s.age != nil {
			age := s.age()
			where.AgeMs = &age
		}
		json.NewEncoder(w).Encode(where)
	})
	return mux
}

// writeFigures puts the figures out, a line each.
func (s *Server) writeFigures(w io.Writer) {
	s.mu.Lock()
	st := s.store.Stats()
	s.mu.Unlock()
	f := &s.figures
	type line struct {
		name string
		n    int64
		kind string
	}
	lines := []line{{"version", st.Version, "g"}, {"instances", int64(st.Instances), "g"}, {"history", int64(st.History), "g"},
		{"history_bytes", int64(st.Bytes), "g"}, {"watchers", f.watchers.Load(), "g"}, {"overdue", int64(st.Overdue), "g"},
		{"registered", st.Registered, "c"}, {"renewed", st.Renewed, "c"}, {"lapsed", st.Lapsed, "c"}, {"pauses", st.Pauses, "c"},
		{"encoded", st.Encoded, "c"}, {"joined", st.Joined, "c"}, {"answers", f.answers.Load(), "c"},
		{"answer_bytes", f.bytes.Load(), "c"}, {"watchers_cut", f.cut.Load(), "c"}, {"refused", f.refused.Load(), "c"},
		{"turned_away", f.turnedAway.Load(), "c"}}
	if s.age != nil {
		lines = append(lines, line{"age_ms", s.age(), "g"})
	}
	if s.keeper != nil && s.keeper.log != nil {
		k := s.keeper.log.Stats()
		since := int64(-1)
		if !k.SnapshotAt.IsZero() {
			since = time.Since(k.SnapshotAt).Milliseconds()
		}
		lines = append(lines, line{"data.syncs", k.Syncs, "c"}, line{"data.sync_us", k.Wait.Microseconds(), "c"}, line{"data.longest_sync_us", k.LongestWait.Microseconds(), "g"},
			line{"data.records", k.Records, "c"}, line{"data.no_room", k.NoRoom, "c"}, line{"data.bytes", k.Bytes, "g"}, line{"data.segments", int64(k.Segments), "g"},
			line{"data.snapshot_bytes", k.SnapshotBytes, "g"}, line{"data.snapshot_age_ms", since, "g"}, line{"data.recovery_us", k.Recovery.Took.Microseconds(), "g"},
			line{"data.cut_bytes", k.Recovery.CutBytes, "g"})
	}
	for _, l := range lines {
		fmt.Fprintf(w, "registry.%s:%d|%s\n", l.name, l.n, l.kind)
	}
}
