package registry

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"time"
)

// FencePath is the HTTP path to get the writer that a registry process knows, and to notify
// a writer of its replacement.
const FencePath = "/registry/fence"

const (
	fenceRetryInterval = time.Second // between attempts to notify the replaced writer
	fenceTimeout       = time.Second
	maxFenceBytes      = 1 << 10
)

// EpochHeader is the response header with the epoch of the writer that a list comes from.
const EpochHeader = "X-Registry-Epoch"

// checkFenced returns an error if another writer has replaced this one. The caller holds
// s.mu.
func (s *Server) checkFenced() error {
	if fence := s.store.fence; fence != nil {
		return refuse(http.StatusServiceUnavailable, "%s has replaced this writer (epoch %d)", fence.Writer, fence.Epoch)
	}
	return nil
}

// applyFence fences this writer if the other has the higher epoch.
func (s *Server) applyFence(fence Fence) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !s.store.isWriter:
		return nil // a follower; its configuration names its writer
	case fence.Epoch <= s.store.epoch:
		return refuse(http.StatusConflict, "this writer has epoch %d, not below %d", s.store.epoch, fence.Epoch)
	case s.store.fence != nil && s.store.fence.Epoch >= fence.Epoch:
		return nil
	}
	// The fence applies even if it cannot be persisted: the other writer repeats it after
	// a restart.
	s.store.fence = &fence
	slog.Error("fenced: another writer has replaced this one; rejecting reads and writes", "writer", fence.Writer, "epoch", fence.Epoch, "own", s.store.epoch)
	s.wake()
	if s.persister != nil {
		return s.persister.persist(Record{Fence: &fence})
	}
	return nil
}

// handleFence returns the writer that this process knows, after applying a fence that the
// request may have.
func (s *Server) handleFence(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var fence Fence
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxFenceBytes))
		if err == nil {
			err = decode(body, &fence)
		}
		if err != nil || fence.Epoch < 1 || fence.History == "" || len(fence.History) > maxNameBytes || len(fence.Writer) > maxNameBytes {
			s.writeError(w, refuse(http.StatusBadRequest, "invalid fence: %v",
				cmp.Or(err, fmt.Errorf("epoch %d is below 1, or history %.80q or writer %.80q is missing or has more than %d bytes", fence.Epoch, fence.History, fence.Writer, maxNameBytes))))
			return
		}
		if err := s.applyFence(fence); err != nil {
			s.writeError(w, err)
			return
		}
	}
	s.mu.Lock()
	fence := Fence{Epoch: s.store.epoch, History: s.store.history}
	if s.store.fence != nil {
		fence = *s.store.fence
	} else if s.store.isWriter {
		fence.Writer = s.selfAddress
	}
	s.mu.Unlock()
	body, err := json.Marshal(fence)
	if err != nil {
		s.writeError(w, err)
		return
	}
	s.writeAnswer(w, body)
}

// Fence returns the fence with the writer that has replaced this one, or nil.
func (s *Server) Fence() *Fence {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.store.fence
}

// QueryPeers queries other registry processes whether another writer has replaced this one,
// and applies the fence if so. Call it before Serve. It ignores peers that do not answer in
// time.
func (s *Server) QueryPeers(ctx context.Context, peers []string) {
	var wg sync.WaitGroup
	for _, peer := range peers {
		wg.Go(func() {
			fence, err := callFence(ctx, peer, nil)
			if err == nil && fence.Writer != "" && fence.Writer != s.selfAddress {
				if err = s.applyFence(fence); isConflict(err) {
					err = nil // this writer has the higher epoch
				}
			}
			if err != nil {
				slog.Warn("peer could not be queried for the writer", "address", peer, "error", err)
			}
		})
	}
	wg.Wait()
}

func isConflict(err error) bool {
	var refusal *Refusal
	return errors.As(err, &refusal) && refusal.Status == http.StatusConflict
}

// callFence gets the writer that a registry process knows. If fence is not nil, it notifies
// the process of that fence first.
func callFence(ctx context.Context, address string, fence *Fence) (Fence, error) {
	ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	method, body := http.MethodGet, []byte(nil)
	if fence != nil {
		data, err := json.Marshal(fence)
		if err != nil {
			return Fence{}, err
		}
		method, body = http.MethodPost, data
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+FencePath, bytes.NewReader(body))
	if err != nil {
		return Fence{}, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return Fence{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxFenceBytes))
	if err != nil {
		return Fence{}, err
	}
	if resp.StatusCode != http.StatusOK {
		return Fence{}, fmt.Errorf("status %s: %.200s", resp.Status, data)
	}
	var reply Fence
	return reply, json.Unmarshal(data, &reply)
}

// notifyReplacedWriters notifies the writers that this server has replaced, each until it
// succeeds or ctx ends. It does nothing unless this server is the writer.
func (s *Server) notifyReplacedWriters(ctx context.Context) {
	s.mu.Lock()
	var addresses []string
	if s.store.isWriter && s.store.fence == nil {
		addresses = slices.Clone(s.store.replacedWriters)
	}
	s.mu.Unlock()
	var wg sync.WaitGroup
	for _, address := range addresses {
		if address != s.selfAddress {
			wg.Go(func() { s.notifyOldWriter(ctx, address) })
		}
	}
	wg.Wait()
}

// notifyOldWriter notifies the old writer that this server has replaced it. It retries until
// it succeeds or ctx ends.
func (s *Server) notifyOldWriter(ctx context.Context, address string) {
	s.mu.Lock()
	fence := Fence{Epoch: s.store.epoch, History: s.store.history, Writer: s.selfAddress}
	s.mu.Unlock()
	for {
		if _, err := callFence(ctx, address, &fence); err == nil {
			slog.Info("old writer notified of its replacement", "address", address)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(fenceRetryInterval):
		}
	}
}

// promote makes this follower the writer, under a history with the given name.
func (f *Follower) promote(historyName string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.store.fence != nil && f.store.isWriter:
		return refuse(http.StatusConflict, "%s has replaced this writer (epoch %d)", f.store.fence.Writer, f.store.fence.Epoch)
	case f.store.isWriter:
		return nil // already promoted
	case f.persister == nil:
		return refuse(http.StatusConflict, "this follower has no data_dir; a promotion would be lost at a restart")
	case f.store.history == "":
		return refuse(http.StatusConflict, "this follower has no list yet")
	}
	now := f.now()
	record := f.store.PromotionRecord(now, historyName, time.Now().UnixMilli(), f.formerWriters)
	if err := f.persister.persist(record); err != nil {
		return fmt.Errorf("the promotion could not be persisted: %w", err)
	}
	oldHistory, oldVersion := f.store.history, f.store.version
	if err := f.store.Restore(now, record); err != nil {
		return err
	}
	f.store.EnableStaging()
	f.store.gatheringUntil = 0
	f.store.lastTick = now
	f.store.renewAll(now)
	f.writer.Store(nil)
	slog.Warn("promoted: this server is the writer now", "history", f.store.history, "version", f.store.version, "epoch", f.store.epoch, "before", oldHistory, "at", oldVersion)
	f.wake()
	close(f.promoted)
	return nil
}
