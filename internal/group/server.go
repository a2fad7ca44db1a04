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

// HTTP paths of the calls by clients.
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
	callTimeout       = time.Second // for the group to commit or read
	maxWatchDuration  = time.Minute
	writeMargin       = 10 * time.Second // added to maxWatchDuration to write the response
	shutdownTimeout   = 2 * time.Second
	snapshotDivisor   = 4 // data_mb divided by it is the limit of one snapshot
	retryAfterSeconds = "1"
)

// Handler returns the HTTP handler of the calls by members, clients and operators.
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

// Serve serves HTTP on the listener until ctx ends. It then waits briefly for Run to return, cancels
// pending watches and shuts down.
func (g *Group) Serve(ctx context.Context, listener net.Listener) error {
	requestCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	server := &http.Server{Handler: g.Handler(), ReadTimeout: readTimeout, IdleTimeout: idleTimeout, WriteTimeout: maxWatchDuration + writeMargin, MaxHeaderBytes: maxHeaderBytes,
		BaseContext: func(net.Listener) context.Context { return requestCtx }, ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug)}
	served := make(chan error, 1)
	go func() { served <- server.Serve(netutil.LimitListener(listener, maxConnections)) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	select { // messages are still received while this member transfers leadership
	case <-g.stopped:
	case <-time.After(2 * leaderTransferTimeout):
	}
	stop()
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if server.Shutdown(shutdownCtx) != nil {
		server.Close()
	}
	return nil
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

// writeError writes the response of a call that failed. A NotLeaderError redirects to the leader.
func (g *Group) writeError(w http.ResponseWriter, r *http.Request, err error) {
	var notLeader *NotLeaderError
	switch {
	case errors.As(err, &notLeader):
		w.Header().Set("Location", "http://"+notLeader.Address+r.URL.RequestURI())
		http.Error(w, err.Error(), http.StatusTemporaryRedirect)
	case errors.Is(err, ErrUnknown):
		http.Error(w, err.Error(), http.StatusGatewayTimeout)
	default:
		w.Header().Set("Retry-After", retryAfterSeconds)
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

// handleMessages is the HTTP handler of raft messages of other members.
func (g *Group) handleMessages(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(groupHeader) != g.config.Name || r.Header.Get(memberHeader) != fmt.Sprint(g.config.Self) {
		http.Error(w, fmt.Sprintf("this is member %d of group %q", g.config.Self, g.config.Name), http.StatusConflict)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, max(minBodyLimit, int64(g.config.DataMB)<<20/snapshotDivisor)))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var generation Generation
	if value := r.Header.Get(generationHeader); value != "" {
		if _, err := fmt.Sscan(value, &generation.Number, &generation.Name); err != nil {
			http.Error(w, "generation: "+err.Error(), http.StatusBadRequest)
			return
		}
	}
	sender, _ := strconv.ParseUint(r.Header.Get(fromHeader), 10, 64) // 0: an earlier build, which does not send its number
	var refused *RefusedError
	switch err := g.receive(r.Context(), sender, generation, body); {
	case errors.As(err, &refused):
		http.Error(w, refused.Text, http.StatusGone)
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

// statusCodes maps codes of results to HTTP status codes.
var statusCodes = map[ledger.Code]int{ledger.OK: http.StatusOK, ledger.Conflict: http.StatusPreconditionFailed, ledger.NoSession: http.StatusConflict,
	ledger.NotFound: http.StatusNotFound, ledger.Full: http.StatusInsufficientStorage, ledger.Invalid: http.StatusBadRequest, ledger.Stale: http.StatusConflict, ledger.Refused: http.StatusConflict}

func (g *Group) handleCommand(w http.ResponseWriter, r *http.Request) {
	var command ledger.Command
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCommandBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&command); err != nil {
		http.Error(w, "command: "+err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	result, err := g.Do(ctx, command)
	if err != nil {
		g.writeError(w, r, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(statusCodes[result.Code])
	json.NewEncoder(w).Encode(result)
}

// Listing holds records of the ledger as of an index of the log.
type Listing struct {
	Index    uint64          `json:"index"`
	Complete bool            `json:"whole"` // all records; otherwise those that have changed
	Records  []ledger.Change `json:"records"`
}

// isCurrentRead reports whether the request asks for a linearizable read.
func isCurrentRead(r *http.Request) bool { return r.URL.Query().Get("current") != "" }

func (g *Group) handleGet(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	var record ledger.Record
	var found bool
	if err := g.Read(ctx, isCurrentRead(r), func(s *ledger.State) { record, found = s.Get(r.PathValue("name")) }); err != nil {
		g.writeError(w, r, err)
		return
	}
	if !found {
		http.Error(w, "there is no such record", http.StatusNotFound)
		return
	}
	writeJSON(w, record)
}

func (g *Group) handleList(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	listing := Listing{Complete: true, Records: []ledger.Change{}}
	if err := g.Read(ctx, isCurrentRead(r), func(s *ledger.State) {
		listing.Index = s.Index()
		for _, record := range s.List(r.URL.Query().Get("prefix")) {
			listing.Records = append(listing.Records, ledger.Change{Record: record})
		}
	}); err != nil {
		g.writeError(w, r, err)
		return
	}
	writeJSON(w, listing)
}

func (g *Group) handleChanges(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		http.Error(w, "since: "+err.Error(), http.StatusBadRequest)
		return
	}
	timeout := time.Duration(0)
	if value := r.URL.Query().Get("timeout_ms"); value != "" {
		ms, err := strconv.ParseInt(value, 10, 32)
		if err != nil || ms < 0 {
			http.Error(w, fmt.Sprintf("timeout_ms: %.40q is not a number of milliseconds from 0", value), http.StatusBadRequest)
			return
		}
		timeout = min(time.Duration(ms)*time.Millisecond, maxWatchDuration)
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	listing := Listing{Records: []ledger.Change{}}
	var changes []ledger.Change
	if listing.Index, listing.Complete, changes, err = g.Changes(ctx, since, r.URL.Query().Get("prefix")); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		g.writeError(w, r, err)
		return
	}
	if err != nil {
		listing.Index = since
	}
	listing.Records = append(listing.Records, changes...)
	writeJSON(w, listing)
}

func (g *Group) handleSessions(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	sessions := []ledger.Session{}
	if err := g.Read(ctx, isCurrentRead(r), func(s *ledger.State) { sessions = append(sessions, s.Sessions()...) }); err != nil {
		g.writeError(w, r, err)
		return
	}
	writeJSON(w, sessions)
}

// Units holds all units of the fleet and the rules for them, as of an index of the log.
type Units struct {
	Index         uint64        `json:"index"`
	Rules         []budget.Rule `json:"rules"`
	Unsatisfiable []string      `json:"never,omitempty"` // rules that never allow a unit to become unavailable
	Units         []budget.Unit `json:"units"`
}

func (g *Group) handleUnits(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	var units Units
	if err := g.Read(ctx, isCurrentRead(r), func(s *ledger.State) {
		state := s.Units()
		units = Units{s.Index(), state.Rules(), state.UnsatisfiableRules(), state.Units()}
	}); err != nil {
		g.writeError(w, r, err)
		return
	}
	writeJSON(w, units)
}

func (g *Group) handleRenew(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if err != nil {
		http.Error(w, "session: "+err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	session, found, err := g.Renew(ctx, id)
	switch {
	case err != nil:
		g.writeError(w, r, err)
	case !found:
		http.Error(w, fmt.Sprintf("session %d has ended", id), http.StatusNotFound)
	default:
		writeJSON(w, session)
	}
}

// handleMetrics writes the status as metric lines.
func (g *Group) handleMetrics(w http.ResponseWriter, r *http.Request) {
	status, err := g.Status(r.Context())
	if err != nil {
		g.writeError(w, r, err)
		return
	}
	var lines strings.Builder
	writeLine := func(name string, value int64, kind string) {
		fmt.Fprintf(&lines, "group.%s:%d|%s\n", name, value, kind)
	}
	writeLine("term", int64(status.Term), "g")
	writeLine("writer", int64(status.Writer), "g")
	writeLine("applied", int64(status.Applied), "g")
	writeLine("committed", int64(status.Committed), "g")
	writeLine("elections", status.Elections, "c")
	writeLine("handed", status.TransfersReceived, "c")
	writeLine("won", status.ElectionsWon, "c")
	writeLine("refused", status.ProposalsRefused, "c")
	writeLine("dropped", status.MessagesDropped, "c")
	writeLine("records", int64(status.Ledger.Records), "g")
	writeLine("sessions", int64(status.Ledger.Sessions), "g")
	writeLine("bytes", int64(status.Ledger.Bytes), "g")
	writeLine("callers", int64(status.Ledger.Callers), "g")
	writeLine("commit_p50_us", status.CommitP50Us, "g")
	writeLine("commit_p99_us", status.CommitP99Us, "g")
	writeLine("commit_most_us", status.CommitMaxUs, "g")
	writeLine("log_bytes", status.LogBytes, "g")
	writeLine("snapshot_bytes", status.SnapshotBytes, "g")
	writeLine("members", int64(len(status.Members)), "g")
	writeLine("voters", int64(len(status.Voters)), "g")
	writeLine("takes_part", map[bool]int64{true: 1}[status.TakesPart], "g")
	for number := range status.Members {
		if lag, known := status.Lag[number]; known {
			writeLine(fmt.Sprintf("lag.%d", number), int64(lag), "g")
		}
	}
	io.WriteString(w, lines.String())
}
