package group

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/netutil"

	"dunlintray/internal/budget"
	"dunlintray/internal/ledger"
)

// Paths of the calls.
const (
	CommandsPath = "/ledger/commands"
	RecordsPath  = "/ledger/records"
	ChangesPath  = "/ledger/changes"
	SessionsPath = "/ledger/sessions"
	UnitsPath    = "/ledger/units"
	StatusPath   = "/group/status"
)

const (
	mostConnections = 2048
	mostCommand     = 64 << 10
	mostHead        = 8 << 10
	readWait        = 10 * time.Second
	idleWait        = 90 * time.Second
	callWait        = time.Second // for the group's word
	longestWatch    = time.Minute
	writeSlack      = 10 * time.Second // for an answer to be taken
	stopWait        = 2 * time.Second
	snapshotPart    = 4 // of data_mb, that one snapshot may have
	retryAfter      = "1"
)

// Handler answers members, callers and operators.
func (g *Group) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+messagesPath, g.messages)
	mux.HandleFunc("POST "+joinPath, g.handleJoin)
	mux.HandleFunc("PUT "+MembersPath, g.changeMembers)
	mux.HandleFunc("DELETE "+MembersPath+"/{number}", g.changeMembers)
	mux.HandleFunc("POST "+TransferPath+"/{number}", g.changeMembers)
	mux.HandleFunc("POST "+CommandsPath, g.command)
	mux.HandleFunc("GET "+RecordsPath, g.list)
	mux.HandleFunc("GET "+RecordsPath+"/{name...}", g.get)
	mux.HandleFunc("GET "+ChangesPath, g.changesHandler)
	mux.HandleFunc("GET "+SessionsPath, g.sessions)
	mux.HandleFunc("GET "+UnitsPath, g.units)
	mux.HandleFunc("POST "+SessionsPath+"/{id}/renew", g.renew)
	mux.HandleFunc("GET "+StatusPath, func(w http.ResponseWriter, r *http.Request) {
		s, err := g.Status(r.Context())
		if err != nil {
			g.fail(w, r, err)
			return
		}
		answer(w, s)
	})
	mux.HandleFunc("GET /group/counters", g.figures)
	return mux
}

// Serve answers on a listener until ctx ends. Those who watch are told to move on.
func (g *Group) Serve(ctx context.Context, l net.Listener) error {
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	server := &http.Server{Handler: g.Handler(), ReadTimeout: readWait, IdleTimeout: idleWait, WriteTimeout: longestWatch + writeSlack, MaxHeaderBytes: mostHead,
		BaseContext: func(net.Listener) context.Context { return inner }, ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug)}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(netutil.LimitListener(l, mostConnections)) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	select { // the others are heard until this member has handed over
	case <-g.ended:
	case <-time.After(2 * handOverWait):
	}
	stop()
	late, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopWait)
	defer cancel()
	if server.Shutdown(late) != nil {
		server.Close()
	}
	return nil
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

// fail answers a call that came to nothing here. The writer's address is told, so that
// whoever follows it gets there.
func (g *Group) fail(w http.ResponseWriter, r *http.Request, err error) {
	var other *NotWriter
	switch {
	case errors.As(err, &other):
		w.Header().Set("Location", "http://"+other.Address+r.URL.RequestURI())
		http.Error(w, err.Error(), http.StatusTemporaryRedirect)
	case errors.Is(err, ErrUnknown):
		http.Error(w, err.Error(), http.StatusGatewayTimeout)
	default:
		w.Header().Set("Retry-After", retryAfter)
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

// messages takes what another member says.
func (g *Group) messages(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(groupHeader) != g.c.Name || r.Header.Get(memberHeader) != fmt.Sprint(g.c.Self) {
		http.Error(w, fmt.Sprintf("this is member %d of group %q", g.c.Self, g.c.Name), http.StatusConflict)
		return
	}
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, max(leastBody, int64(g.c.DataMB)<<20/snapshotPart)))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var generation Generation
	if text := r.Header.Get(generationHeader); text != "" {
		if _, err := fmt.Sscan(text, &generation.Number, &generation.Name); err != nil {
			http.Error(w, "generation: "+err.Error(), http.StatusBadRequest)
			return
		}
	}
	from, _ := strconv.ParseUint(r.Header.Get(fromHeader), 10, 64) // 0: of the build before
	var no *Refusal
	switch err := g.receive(r.Context(), from, generation, text); {
	case errors.As(err, &no):
		http.Error(w, no.Text, http.StatusGone)
		return
	case errors.Is(err, errMessages):
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// statuses of results.
var statuses = map[ledger.Code]int{ledger.OK: http.StatusOK, ledger.Conflict: http.StatusPreconditionFailed, ledger.NoSession: http.StatusConflict,
	ledger.NotFound: http.StatusNotFound, ledger.Full: http.StatusInsufficientStorage, ledger.Invalid: http.StatusBadRequest, ledger.Stale: http.StatusConflict, ledger.Refused: http.StatusConflict}

func (g *Group) command(w http.ResponseWriter, r *http.Request) {
	var c ledger.Command
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, mostCommand))
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		http.Error(w, "command: "+err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callWait)
	defer cancel()
	result, err := g.Do(ctx, c)
	if err != nil {
		g.fail(w, r, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(statuses[result.Code])
	json.NewEncoder(w).Encode(result)
}

// Listing is an answer with records, as of a place in the agreed order.
type Listing struct {
	Index   uint64          `json:"index"`
	Whole   bool            `json:"whole"` // all records; else what has changed
	Records []ledger.Change `json:"records"`
}

// current says whether a read has to see all that was agreed on before it.
func current(r *http.Request) bool { return r.URL.Query().Get("current") != "" }

func (g *Group) get(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), callWait)
	defer cancel()
	var record ledger.Record
	var there bool
	if err := g.Read(ctx, current(r), func(s *ledger.State) { record, there = s.Get(r.PathValue("name")) }); err != nil {
		g.fail(w, r, err)
		return
	}
	if !there {
		http.Error(w, "there is no such record", http.StatusNotFound)
		return
	}
	answer(w, record)
}

func (g *Group) list(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), callWait)
	defer cancel()
	out := Listing{Whole: true, Records: []ledger.Change{}}
	if err := g.Read(ctx, current(r), func(s *ledger.State) {
		out.Index = s.Index()
		for _, record := range s.List(r.URL.Query().Get("prefix")) {
			out.Records = append(out.Records, ledger.Change{Record: record})
		}
	}); err != nil {
		g.fail(w, r, err)
		return
	}
	answer(w, out)
}

func (g *Group) changesHandler(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		http.Error(w, "since: "+err.Error(), http.StatusBadRequest)
		return
	}
	wait := time.Duration(0)
	if text := r.URL.Query().Get("timeout_ms"); text != "" {
		ms, err := strconv.ParseInt(text, 10, 32)
		if err != nil || ms < 0 {
			http.Error(w, fmt.Sprintf("timeout_ms: %.40q is no time", text), http.StatusBadRequest)
			return
		}
		wait = min(time.Duration(ms)*time.Millisecond, longestWatch)
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	out := Listing{Records: []ledger.Change{}}
	var changes []ledger.Change
	if out.Index, out.Whole, changes, err = g.Changes(ctx, since, r.URL.Query().Get("prefix")); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		g.fail(w, r, err)
		return
	}
	if err != nil {
		out.Index = since
	}
	out.Records = append(out.Records, changes...)
	answer(w, out)
}

func (g *Group) sessions(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), callWait)
	defer cancel()
	all := []ledger.Session{}
	if err := g.Read(ctx, current(r), func(s *ledger.State) { all = append(all, s.Sessions()...) }); err != nil {
		g.fail(w, r, err)
		return
	}
	answer(w, all)
}

// Units is an answer with all units of the fleet, and the rules for them.
type Units struct {
	Index uint64        `json:"index"`
	Rules []budget.Rule `json:"rules"`
	Never []string      `json:"never,omitempty"` // rules that can't be met
	Units []budget.Unit `json:"units"`
}

func (g *Group) units(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), callWait)
	defer cancel()
	var out Units
	if err := g.Read(ctx, current(r), func(s *ledger.State) {
		u := s.Units()
		out = Units{s.Index(), u.Rules(), u.Never(), u.Units()}
	}); err != nil {
		g.fail(w, r, err)
		return
	}
	answer(w, out)
}

func (g *Group) renew(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if err != nil {
		http.Error(w, "session: "+err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callWait)
	defer cancel()
	s, there, err := g.Renew(ctx, id)
	switch {
	case err != nil:
		g.fail(w, r, err)
	case !there:
		http.Error(w, fmt.Sprintf("session %d has ended", id), http.StatusNotFound)
	default:
		answer(w, s)
	}
}

// figures are the status as lines, as the other daemons have them.
func (g *Group) figures(w http.ResponseWriter, r *http.Request) {
	s, err := g.Status(r.Context())
	if err != nil {
		g.fail(w, r, err)
		return
	}
	var b strings.Builder
	line := func(name string, n int64, kind string) { fmt.Fprintf(&b, "group.%s:%d|%s\n", name, n, kind) }
	line("term", int64(s.Term), "g")
	line("writer", int64(s.Writer), "g")
	line("applied", int64(s.Applied), "g")
	line("committed", int64(s.Committed), "g")
	line("elections", s.Elections, "c")
	line("handed", s.Handed, "c")
	line("won", s.Won, "c")
	line("refused", s.Refused, "c")
	line("dropped", s.Dropped, "c")
	line("records", int64(s.Ledger.Records), "g")
	line("sessions", int64(s.Ledger.Sessions), "g")
	line("bytes", int64(s.Ledger.Bytes), "g")
	line("callers", int64(s.Ledger.Callers), "g")
	line("commit_p50_us", s.CommitP50Us, "g")
	line("commit_p99_us", s.CommitP99Us, "g")
	line("commit_most_us", s.CommitMostUs, "g")
	line("log_bytes", s.LogBytes, "g")
	line("snapshot_bytes", s.SnapshotBytes, "g")
	line("members", int64(len(s.Members)), "g")
	line("voters", int64(len(s.Voters)), "g")
	line("takes_part", map[bool]int64{true: 1}[s.TakesPart], "g")
	for n := range s.Members {
		if lag, known := s.Lag[n]; known {
			line(fmt.Sprintf("lag.%d", n), int64(lag), "g")
		}
	}
	io.WriteString(w, b.String())
}
