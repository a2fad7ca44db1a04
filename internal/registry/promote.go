package registry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"
)

// FencePath is where a list service is told of the writer that was put in its
// place, and asked which it knows.
const FencePath = "/registry/fence"

const (
	fenceRetryInterval = time.Second // between two tries to tell the old writer
	fenceTimeout       = time.Second // for its answer
	maxFenceBytes      = 1 << 10     // bytes
)

// EpochHeader has the epoch of the writer that a list comes from.
const EpochHeader = "X-Registry-Epoch"

// refuseFenced turns away what a writer must not do any more. The caller has the
// lock.
func (s *Server) checkFenced() error {
	if fence := s.store.fence; fence != nil {
		return refuse(http.StatusServiceUnavailable, "%s has taken this writer's place (epoch %d)", fence.Writer, fence.Epoch)
	}
	return nil
}

// fence stops this service's writing if the other has the higher epoch.
func (s *Server) applyFence(fence Fence) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !s.store.isWriter:
		return nil // it copies; whom is the operator's to say
	case fence.Epoch <= s.store.epoch:
		return refuse(http.StatusConflict, "this writer has epoch %d, not below %d", s.store.epoch, fence.Epoch)
	case s.store.fence != nil && s.store.fence.Epoch >= fence.Epoch:
		return nil
	}
	// It holds from now on, also if it can't be kept: the other says so again after
	// the next start.
	s.store.fence = &fence
	slog.Error("another writer was put in this one's place; writes and reads are refused from now on", "writer", fence.Writer, "epoch", fence.Epoch, "own", s.store.epoch)
	s.wake()
	if s.persister != nil {
		return s.persister.persist(Record{Fence: &fence})
	}
	return nil
}

// fenceHandler answers another service's question or news.
func (s *Server) handleFence(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var fence Fence
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxFenceBytes))
		if err == nil {
			err = decode(body, &fence)
		}
		if err != nil || fence.Epoch < 1 || fence.History == "" || len(fence.History) > maxNameBytes || len(fence.Writer) > maxNameBytes {
			s.writeError(w, refuse(http.StatusBadRequest, "no fence: %v", err))
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

// Fenced names the writer in whose favour this one was fenced.
func (s *Server) Fenced() *Fence {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.store.fence
}

// AskPeers asks other list services, before this writer takes any write, whether
// another was put in its place. Those that do not answer in time know nothing.
func (s *Server) QueryPeers(ctx context.Context, peers []string) {
	var wg sync.WaitGroup
	for _, peer := range peers {
		wg.Go(func() {
			fence, err := callFence(ctx, peer, nil)
			if err == nil && fence.Writer != "" && fence.Writer != s.selfAddress {
				if err = s.applyFence(fence); isConflict(err) {
					err = nil // this one has the higher epoch
				}
			}
			if err != nil {
				slog.Warn("peer", "address", peer, "error", err)
			}
		})
	}
	wg.Wait()
}

func isConflict(err error) bool {
	var refusal *Refusal
	return errors.As(err, &refusal) && refusal.Status == http.StatusConflict
}

// callFence asks a service which writer it knows, or tells it.
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

// tellOld tells the old writer, until it has heard or ctx ends, that this service
// has taken its place.
func (s *Server) notifyOldWriter(ctx context.Context, address string) {
	s.mu.Lock()
	fence := Fence{Epoch: s.store.epoch, History: s.store.history, Writer: s.selfAddress}
	s.mu.Unlock()
	for {
		if _, err := callFence(ctx, address, &fence); err == nil {
			slog.Info("the old writer knows that another is in its place", "address", address)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(fenceRetryInterval):
		}
	}
}

// promote makes this follower the writer.
func (f *Follower) promote(historyName string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.store.fence != nil && f.store.isWriter:
		return refuse(http.StatusConflict, "%s has taken this writer's place (epoch %d)", f.store.fence.Writer, f.store.fence.Epoch)
	case f.store.isWriter:
		return nil // it is
	case f.persister == nil:
		return refuse(http.StatusConflict, "a follower without data_dir would forget that it is the writer")
	case f.store.history == "":
		return refuse(http.StatusConflict, "this follower has no list yet")
	}
	now := f.now()
	record := f.store.PromotionRecord(now, historyName, time.Now().UnixMilli())
	if err := f.persister.persist(record); err != nil {
		return fmt.Errorf("the promotion could not be kept: %w", err)
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
	slog.Warn("promoted: this service is the writer now", "history", f.store.history, "version", f.store.version, "epoch", f.store.epoch, "before", oldHistory, "at", oldVersion)
	f.wake()
	close(f.promoted)
	return nil
}
