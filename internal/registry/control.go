package registry

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// ready tells whether reads are answered.
func (s *Server) ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now() >= s.store.gatheringUntil && !s.isStopping() && s.store.fence == nil && (s.replicated == nil || s.store.history != "")
}

// control answers operators.
func (s *Server) controlHandler() http.Handler {
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
			s.writeError(w, err)
		}
	})
	mux.HandleFunc("GET /control/counters", func(w http.ResponseWriter, _ *http.Request) { s.writeMetrics(w) })
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
func (s *Server) writeMetrics(w io.Writer) {
	s.mu.Lock()
	st := s.store.Stats()
	subscriptions, scopes := s.subscriptions.recent.Len(), s.subscriptions.scopes
	s.mu.Unlock()
	f := &s.metrics
	type line struct {
		name string
		n    int64
		kind string
	}
	lines := []line{{"version", st.Version, "g"}, {"instances", int64(st.Instances), "g"}, {"history", int64(st.History), "g"},
		{"history_bytes", int64(st.Bytes), "g"}, {"watchers", f.watchers.Load(), "g"}, {"overdue", int64(st.Overdue), "g"},
		{"registered", st.Registered, "c"}, {"renewed", st.Renewed, "c"}, {"lapsed", st.Lapsed, "c"}, {"pauses", st.Pauses, "c"},
		{"encoded", st.ChangesEncoded, "c"}, {"joined", st.AnswersEncoded, "c"}, {"answers", f.answers.Load(), "c"},
		{"answer_bytes", f.bytes.Load(), "c"}, {"watchers_cut", f.aborted.Load(), "c"}, {"refused", f.refused.Load(), "c"},
		{"turned_away", f.overloaded.Load(), "c"}, {"services", int64(st.Services), "g"}, {"empty_services", int64(st.EmptyServices), "g"},
		{"subscriptions", int64(subscriptions), "g"}, {"subscribed_scopes", int64(scopes), "g"}, {"joined_scoped", st.ScopedAnswersEncoded, "c"}}
	if s.age != nil {
		lines = append(lines, line{"age_ms", s.age(), "g"})
	}
	if s.persister != nil && s.persister.log != nil {
		k := s.persister.log.Stats()
		since := int64(-1)
		if !k.SnapshotAt.IsZero() {
			since = time.Since(k.SnapshotAt).Milliseconds()
		}
		lines = append(lines, line{"data.syncs", k.Syncs, "c"}, line{"data.sync_us", k.SyncDuration.Microseconds(), "c"}, line{"data.longest_sync_us", k.MaxSyncDuration.Microseconds(), "g"},
			line{"data.records", k.Records, "c"}, line{"data.no_room", k.NoSpace, "c"}, line{"data.bytes", k.Bytes, "g"}, line{"data.segments", int64(k.Segments), "g"},
			line{"data.snapshot_bytes", k.SnapshotBytes, "g"}, line{"data.snapshot_age_ms", since, "g"}, line{"data.recovery_us", k.Recovery.Duration.Microseconds(), "g"},
			line{"data.cut_bytes", k.Recovery.TruncatedBytes, "g"})
	}
	for _, l := range lines {
		fmt.Fprintf(w, "registry.%s:%d|%s\n", l.name, l.n, l.kind)
	}
}
