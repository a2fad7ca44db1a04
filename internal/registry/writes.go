package registry

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// Refusal is the error of a request that changed nothing.
type Refusal struct {
	Status int // HTTP status code
	Text   string
}

// Error returns Text.
func (r *Refusal) Error() string { return r.Text }

func refuse(status int, format string, args ...any) error {
	return &Refusal{status, fmt.Sprintf(format, args...)}
}

// WriteResult is the version and lifecycle of an instance after a write.
type WriteResult struct {
	Version   int64
	Lifecycle Lifecycle
}

// stagedChange is a change that is not durable yet.
type stagedChange struct {
	instance Instance
	version  int64
	encoded  []byte
}

// commit applies a change or, if staging is enabled, stages it. For an instance that
// becomes Gone it records whether it was draining.
func (s *Store) commit(instance Instance, now time.Duration) (WriteResult, error) {
	if existing := s.entries[instance.ID]; existing != nil && instance.Lifecycle == Gone {
		instance.Drained = existing.Lifecycle == Terminating
	}
	version := s.version + int64(len(s.staged)) + 1
	result := WriteResult{version, instance.Lifecycle}
	if !s.staging {
		err := s.applyChange(instance, version, now, nil)
		s.trimServices()
		return result, err
	}
	encoded, err := json.Marshal(instance)
	if err != nil {
		return WriteResult{}, err
	}
	s.stats.ChangesEncoded++
	s.staged = append(s.staged, stagedChange{instance, version, encoded})
	s.pending[instance.ID] = true
	return result, nil
}

// checkVersion rejects a write that expects another version than the instance's; nil
// expects none, and 0 that it is not in the list.
func (s *Store) checkVersion(id string, expected *int64) error {
	current := int64(0)
	if e := s.entries[id]; e != nil {
		current = e.version
	}
	if expected != nil && *expected != current {
		return refuse(http.StatusPreconditionFailed, "%s is at version %d, not %d", id, current, *expected)
	}
	return nil
}

// Register adds or changes an instance, or renews its lease if nothing has changed. A
// registration without a lifecycle keeps the current one; a new instance becomes Ready.
//
// A repeated or delayed registration must not end a drain, not even after the lease has
// lapsed in between. Register therefore rejects Ready for a draining process; only
// SetLifecycle ends a drain.
//
// The error of a rejected write is a *Refusal, here and in the other methods that write.
func (s *Store) Register(now time.Duration, instance Instance, expectedVersion *int64) (WriteResult, error) {
	requested := instance.Lifecycle
	if requested == "" {
		instance.Lifecycle = Ready
	}
	if err := instance.check(); err != nil {
		return WriteResult{}, refuse(http.StatusBadRequest, "%v", err)
	}
	if instance.Lifecycle == Gone {
		return WriteResult{}, refuse(http.StatusBadRequest, "lifecycle: an instance that is Gone leaves")
	}
	if s.pending[instance.ID] {
		return WriteResult{}, errPending
	}
	if err := s.checkVersion(instance.ID, expectedVersion); err != nil {
		return WriteResult{}, err
	}
	existing, lastGone := s.entries[instance.ID], s.gone[instance.ID]
	draining := false
	switch {
	case existing == nil && lastGone.started > instance.StartedAtMs:
		return WriteResult{}, refuse(http.StatusConflict, "%s was registered with a later start: %d, not %d", instance.ID, lastGone.started, instance.StartedAtMs)
	case existing == nil && len(s.entries)+len(s.staged) >= s.limits.Instances:
		return WriteResult{}, refuse(http.StatusConflict, "the list is full with %d instances", len(s.entries))
	case existing == nil:
		draining = lastGone.drained && lastGone.started == instance.StartedAtMs
	case existing.StartedAtMs > instance.StartedAtMs:
		return WriteResult{}, refuse(http.StatusConflict, "%s is registered with a later start: %d, not %d", instance.ID, existing.StartedAtMs, instance.StartedAtMs)
	case existing.StartedAtMs == instance.StartedAtMs && existing.HostPort != instance.HostPort:
		return WriteResult{}, refuse(http.StatusConflict, "%s is registered with the same start at %s, not %s", instance.ID, existing.HostPort, instance.HostPort)
	case existing.StartedAtMs == instance.StartedAtMs:
		draining = existing.Lifecycle == Terminating
	}
	switch {
	case draining && requested == Ready:
		return WriteResult{}, refuse(http.StatusConflict, "%s drains; a change of its lifecycle to Ready ends that, no registration does", instance.ID)
	case draining:
		instance.Lifecycle = Terminating
	}
	if existing != nil && instance == existing.Instance {
		s.renew(now, existing)
		return existing.result(), nil
	}
	s.stats.Registered++
	return s.commit(instance, now)
}

// entryOf returns the entry of the process with this id and start.
func (s *Store) entryOf(id string, started int64) (*entry, error) {
	if s.pending[id] {
		return nil, errPending
	}
	e := s.entries[id]
	switch {
	case e == nil:
		return nil, refuse(http.StatusNotFound, "%s is not registered", id)
	case e.StartedAtMs != started:
		return nil, refuse(http.StatusConflict, "%s is registered with start %d, not %d", id, e.StartedAtMs, started)
	}
	return e, nil
}

// Renew extends the lease of an instance.
func (s *Store) Renew(now time.Duration, id string, started int64) (WriteResult, error) {
	e, err := s.entryOf(id, started)
	if err != nil {
		return WriteResult{}, err
	}
	s.renew(now, e)
	return e.result(), nil
}

func (e *entry) result() WriteResult { return WriteResult{e.version, e.Lifecycle} }

func (s *Store) renew(now time.Duration, e *entry) {
	e.expires = now + s.limits.Lease
	s.stats.Renewed++
}

// SetLifecycle sets the lifecycle of an instance to Ready or Terminating and renews its
// lease.
func (s *Store) SetLifecycle(now time.Duration, id string, started int64, lifecycle Lifecycle, expectedVersion *int64) (WriteResult, error) {
	if lifecycle != Ready && lifecycle != Terminating {
		return WriteResult{}, refuse(http.StatusBadRequest, "lifecycle: %.80q is not Ready or Terminating", lifecycle)
	}
	existing, err := s.entryOf(id, started)
	if err == nil {
		err = s.checkVersion(id, expectedVersion)
	}
	if err != nil {
		return WriteResult{}, err
	}
	if existing.Lifecycle == lifecycle {
		s.renew(now, existing)
		return existing.result(), nil
	}
	instance := existing.Instance
	instance.Lifecycle = lifecycle
	return s.commit(instance, now)
}

// Leave removes an instance from the list. It succeeds if the instance is not there.
func (s *Store) Leave(now time.Duration, id string, started int64, expectedVersion *int64) (WriteResult, error) {
	if s.entries[id] == nil && !s.pending[id] {
		return WriteResult{s.version, Gone}, nil
	}
	existing, err := s.entryOf(id, started)
	if err == nil {
		err = s.checkVersion(id, expectedVersion)
	}
	if err != nil {
		return WriteResult{}, err
	}
	instance := existing.Instance
	instance.Lifecycle = Gone
	return s.commit(instance, now)
}

// Tick removes instances whose lease has expired, at a limited rate. Call it often: after a
// long gap between two calls it renews all leases, as nobody could renew during the pause.
func (s *Store) Tick(now time.Duration) error {
	elapsed := now - s.lastTick
	s.lastTick = now
	if elapsed > s.limits.Lease/pauseLeaseDivisor {
		s.stats.Pauses++
		s.renewAll(now)
	}
	listSize := float64(len(s.entries))
	s.lapseCredit = min(s.lapseCredit+elapsed.Seconds()*max(lapseFractionPerSecond*listSize, 1), max(lapseBurstFraction*listSize, 1))
	var expired []*entry
	for _, e := range s.entries {
		if e.expires <= now && !s.pending[e.ID] {
			expired = append(expired, e)
		}
	}
	slices.SortFunc(expired, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.expires, b.expires), cmp.Compare(a.ID, b.ID))
	})
	for len(expired) > 0 && s.lapseCredit >= 1 {
		instance := expired[0].Instance
		instance.Lifecycle = Gone
		if _, err := s.commit(instance, now); err != nil {
			return err
		}
		s.lapseCredit--
		s.stats.Lapsed++
		expired = expired[1:]
	}
	s.stats.Overdue = len(expired)
	return nil
}
