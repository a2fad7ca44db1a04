package registry

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// ready reports whether the server answers reads.
func (s *Server) ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now() >= s.store.gatheringUntil && !s.isStopping() && s.store.fence == nil && (s.replicated == nil || s.store.history != "")
}

// controlHandler returns the HTTP handler for operators.
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
		position := struct {
			History  string `json:"history"`
			Version  int64  `json:"version"`
			Epoch    int64  `json:"epoch"`
			Writer   string `json:"writer,omitempty"`
			FencedBy string `json:"fencedBy,omitempty"`
			AgeMs    *int64 `json:"ageMs,omitempty"`
		}{History: s.store.history, Version: s.store.version, Epoch: s.store.epoch}
		if s.store.fence != nil {
			position.FencedBy = s.store.fence.Writer
		}
		s.mu.Unlock()
		if writer := s.writer.Load(); writer != nil {
			position.Writer = *writer
		}
		if s.ageMs != nil {
			age := s.ageMs()
			position.AgeMs = &age
		}
		json.NewEncoder(w).Encode(position)
	})
	return mux
}

// writeMetrics writes the metrics, one per line.
func (s *Server) writeMetrics(w io.Writer) {
	s.mu.Lock()
	stats := s.store.Stats()
	subscriptions, scopes := s.subscriptions.recent.Len(), s.subscriptions.scopes
	s.mu.Unlock()
	metrics := &s.metrics
	type metric struct {
		name  string
		value int64
		kind  string
	}
	lines := []metric{{"version", stats.Version, "g"}, {"instances", int64(stats.Instances), "g"}, {"history", int64(stats.History), "g"},
		{"history_bytes", int64(stats.Bytes), "g"}, {"watchers", metrics.watchers.Load(), "g"}, {"overdue", int64(stats.Overdue), "g"},
		{"registered", stats.Registered, "c"}, {"renewed", stats.Renewed, "c"}, {"lapsed", stats.Lapsed, "c"}, {"pauses", stats.Pauses, "c"},
		{"encoded", stats.ChangesEncoded, "c"}, {"joined", stats.AnswersEncoded, "c"}, {"answers", metrics.answers.Load(), "c"},
		{"answer_bytes", metrics.bytes.Load(), "c"}, {"watchers_cut", metrics.aborted.Load(), "c"}, {"refused", metrics.refused.Load(), "c"},
		{"turned_away", metrics.overloaded.Load(), "c"}, {"services", int64(stats.Services), "g"}, {"empty_services", int64(stats.EmptyServices), "g"},
		{"subscriptions", int64(subscriptions), "g"}, {"subscribed_scopes", int64(scopes), "g"}, {"joined_scoped", stats.ScopedAnswersEncoded, "c"}}
	if s.ageMs != nil {
		lines = append(lines, metric{"age_ms", s.ageMs(), "g"})
	}
	if s.persister != nil && s.persister.log != nil {
		logStats := s.persister.log.Stats()
		snapshotAgeMs := int64(-1)
		if !logStats.SnapshotAt.IsZero() {
			snapshotAgeMs = time.Since(logStats.SnapshotAt).Milliseconds()
		}
		lines = append(lines, metric{"data.syncs", logStats.Syncs, "c"}, metric{"data.sync_us", logStats.SyncDuration.Microseconds(), "c"}, metric{"data.longest_sync_us", logStats.MaxSyncDuration.Microseconds(), "g"},
			metric{"data.records", logStats.Records, "c"}, metric{"data.no_room", logStats.NoSpace, "c"}, metric{"data.bytes", logStats.Bytes, "g"}, metric{"data.segments", int64(logStats.Segments), "g"},
			metric{"data.snapshot_bytes", logStats.SnapshotBytes, "g"}, metric{"data.snapshot_age_ms", snapshotAgeMs, "g"}, metric{"data.recovery_us", logStats.Recovery.Duration.Microseconds(), "g"},
			metric{"data.cut_bytes", logStats.Recovery.TruncatedBytes, "g"})
	}
	for _, line := range lines {
		fmt.Fprintf(w, "registry.%s:%d|%s\n", line.name, line.value, line.kind)
	}
}
