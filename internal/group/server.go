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
	maxConnections    = 2048
	maxCommandBytes   = 64 << 10
	maxHeaderBytes    = 8 << 10
	readTimeout       = 10 * time.Second
	idleTimeout       = 90 * time.Second
	callTimeout       = time.Second // for the group's word
	maxWatchDuration  = time.Minute
	writeMargin       = 10 * time.Second // for an answer to be taken
	shutdownTimeout   = 2 * time.Second
	snapshotDivisor   = 4 // of data_mb, that one snapshot may have
	retryAfterSeconds = "1"
)

// Handler answers members, callers and operators.
func (g *Group) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+messagesPath, g.handleMessages)
	mux.HandleFunc("POST "+joinPath, g.handleJoin)
	mux.HandleFunc("PUT "+MembersPath, g.handleMembers)
	mux.HandleFunc("DELETE "+MembersPath+"/{number}", g.handleMembers)
	mux.HandleFunc("POST "+TransferPath+"/{number}", g.handleMembers)
	mux.HandleFunc("POST "+CommandsPath, g.handleCommand)
	mux.HandleFunc("GET "+RecordsPath, g.handleList)
	mux.HandleFunc("GET "+RecordsPath+"/{name...}", g.handleGet)
	mux.HandleFunc("GET "+ChangesPath, g.handleChanges)
	mux.HandleFunc("GET "+SessionsPath, g.handleSessions)
	mux.HandleFunc("GET "+UnitsPath, g.handleUnits)
	mux.HandleFunc("POST "+SessionsPath+"/{id}/renew", g.handleRenew)
	mux.HandleFunc("GET "+StatusPath, func(w http.ResponseWriter, r *http.Request) {
		s, err := g.Status(r.Context())
		if err != nil {
			g.writeError(w, r, err)
			return
		}
		writeJSON(w, s)
	})
	mux.HandleFunc("GET /group/counters", g.handleMetrics)
	return mux
}

// Serve answers on a listener until ctx ends. Those who watch are told to move on.
func (g *Group) Serve(ctx context.Context, l net.Listener) error {
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	server := &http.Server{Handler: g.Handler(), ReadTimeout: readTimeout, IdleTimeout: idleTimeout, WriteTimeout: maxWatchDuration + writeMargin, MaxHeaderBytes: maxHeaderBytes,
		BaseContext: func(net.Listener) context.Context { return inner }, ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug)}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(netutil.LimitListener(l, maxConnections)) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	select { // the others are heard until this member has handed over
	case <-g.stopped:
	case <-time.After(2 * leaderTransferTimeout):
	}
	stop()
	late, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if server.Shutdown(late) != nil {
		server.Close()
	}
	return nil
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

// fail answers a call that came to nothing here. The writer's address is told, so that
// whoever follows it gets there.
func (g *Group) writeError(w http.ResponseWriter, r *http.Request, err error) {
	var other *NotLeaderError
	switch {
	case errors.As(err, &other):
		w.Header().Set("Location", "http://"+other.Address+r.URL.RequestURI())
		http.Error(w, err.Error(), http.StatusTemporaryRedirect)
	case errors.Is(err, ErrUnknown):
		http.Error(w, err.Error(), http.StatusGatewayTimeout)
	default:
		w.Header().Set("Retry-After", retryAfterSeconds)
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

// messages takes what another member says.
func (g *Group) handleMessages(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(groupHeader) != g.config.Name || r.Header.Get(memberHeader) != fmt.Sprint(g.config.Self) {
		http.Error(w, fmt.Sprintf("this is member %d of group %q", g.config.Self, g.config.Name), http.StatusConflict)
		return
	}
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, max(minBodyLimit, int64(g.config.DataMB)<<20/snapshotDivisor)))
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
	var no *RefusedError
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
var statusCodes = map[ledger.Code]int{ledger.OK: http.StatusOK, ledger.Conflict: http.StatusPreconditionFailed, ledger.NoSession: http.StatusConflict,
	ledger.NotFound: http.StatusNotFound, ledger.Full: http.StatusInsufficientStorage, ledger.Invalid: http.StatusBadRequest, ledger.Stale: http.StatusConflict, ledger.Refused: http.StatusConflict}

func (g *Group) handleCommand(w http.ResponseWriter, r *http.Request) {
	var c ledger.Command
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCommandBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		http.Error(w, "command: "+err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	result, err := g.Do(ctx, c)
	if err != nil {
		g.writeError(w, r, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(statusCodes[result.Code])
	json.NewEncoder(w).Encode(result)
}

// Listing is an answer with records, as of a place in the agreed order.
type Listing struct {
	Index    uint64          `json:"index"`
	Complete bool            `json:"whole"` // all records; else what has changed
	Records  []ledger.Change `json:"records"`
}

// current says whether a read has to see all that was agreed on before it.
func isCurrentRead(r *http.Request) bool { return r.URL.Query().Get("current") != "" }

func (g *Group) handleGet(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	var record ledger.Record
	var there bool
	if err := g.Read(ctx, isCurrentRead(r), func(s *ledger.State) { record, there = s.Get(r.PathValue("name")) }); err != nil {
		g.writeError(w, r, err)
		return
	}
	if !there {
		http.Error(w, "there is no such record", http.StatusNotFound)
		return
	}
	writeJSON(w, record)
}

func (g *Group) handleList(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	out := Listing{Complete: true, Records: []ledger.Change{}}
	if err := g.Read(ctx, isCurrentRead(r), func(s *ledger.State) {
		out.Index = s.Index()
		for _, record := range s.List(r.URL.Query().Get("prefix")) {
			out.Records = append(out.Records, ledger.Change{Record: record})
		}
	}); err != nil {
		g.writeError(w, r, err)
		return
	}
	writeJSON(w, out)
}

func (g *Group) handleChanges(w http.ResponseWriter, r *http.Request) {
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
		wait = min(time.Duration(ms)*time.Millisecond, maxWatchDuration)
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	out := Listing{Records: []ledger.Change{}}
	var changes []ledger.Change
	if out.Index, out.Complete, changes, err = g.Changes(ctx, since, r.URL.Query().Get("prefix")); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		g.writeError(w, r, err)
		return
	}
	if err != nil {
		out.Index = since
	}
	out.Records = append(out.Records, changes...)
	writeJSON(w, out)
}

func (g *Group) handleSessions(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	all := []ledger.Session{}
	if err := g.Read(ctx, isCurrentRead(r), func(s *ledger.State) { all = append(all, s.Sessions()...) }); err != nil {
		g.writeError(w, r, err)
		return
	}
	writeJSON(w, all)
}

// Units is an answer with all units of the fleet, and the rules for them.
type Units struct {
	Index         uint64        `json:"index"`
	Rules         []budget.Rule `json:"rules"`
	Unsatisfiable []string      `json:"never,omitempty"` // rules that can't be met
	Units         []budget.Unit `json:"units"`
}

func (g *Group) handleUnits(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	var out Units
	if err := g.Read(ctx, isCurrentRead(r), func(s *ledger.State) {
		u := s.Units()
		out = Units{s.Index(), u.Rules(), u.UnsatisfiableRules(), u.Units()}
	}); err != nil {
		g.writeError(w, r, err)
		return
	}
	writeJSON(w, out)
}

func (g *Group) handleRenew(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if err != nil {
		http.Error(w, "session: "+err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	s, there, err := g.Renew(ctx, id)
	switch {
	case err != nil:
		g.writeError(w, r, err)
	case !there:
		http.Error(w, fmt.Sprintf("session %d has ended", id), http.StatusNotFound)
	default:
		writeJSON(w, s)
	}
}

// figures are the status as lines, as the other daemons have them.
func (g *Group) handleMetrics(w http.ResponseWriter, r *http.Request) {
	s, err := g.Status(r.Context())
	if err != nil {
		g.writeError(w, r, err)
		return
	}
	var b strings.Builder
	line := func(name string, n int64, kind string) { fmt.Fprintf(&b, "group.%s:%d|%s\n", name, n, kind) }
	line("term", int64(s.Term), "g")
	line("writer", int64(s.Writer), "g")
	line("applied", int64(s.Applied), "g")
	line("committed", int64(s.Committed), "g")
	line("elections", s.Elections, "c")
	line("handed", s.TransfersReceived, "c")
	line("won", s.ElectionsWon, "c")
	line("refused", s.ProposalsRefused, "c")
	line("dropped", s.MessagesDropped, "c")
	line("records", int64(s.Ledger.Records), "g")
	line("sessions", int64(s.Ledger.Sessions), "g")
	line("bytes", int64(s.Ledger.Bytes), "g")
	line("callers", int64(s.Ledger.Callers), "g")
	line("commit_p50_us", s.CommitP50Us, "g")
	line("commit_p99_us", s.CommitP99Us, "g")
	line("commit_most_us", s.CommitMaxUs, "g")
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
