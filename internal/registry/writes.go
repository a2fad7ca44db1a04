package registry

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// Refusal is why a call changed nothing.
type Refusal struct {
	Status int
	Text   string
}

func (r *Refusal) Error() string { return r.Text }

func refuse(status int, format string, args ...any) error {
	return &Refusal{status, fmt.Sprintf(format, args...)}
}

// Written is what a call came to, and how the instance stands then.
type WriteResult struct {
	Version   int64
	Lifecycle Lifecycle
}

// stagedChange is one that does not last yet.
type stagedChange struct {
	instance Instance
	version  int64
	encoded  []byte
}

// commit takes a change in, or stages it. One that goes keeps whether it drained.
func (s *Store) commit(i Instance, now time.Duration) (WriteResult, error) {
	if e := s.entries[i.ID]; e != nil && i.Lifecycle == Gone {
		i.Drained = e.Lifecycle == Terminating
	}
	version := s.version + int64(len(s.staged)) + 1
	done := WriteResult{version, i.Lifecycle}
	if !s.staging {
		err := s.applyChange(i, version, now, nil)
		s.trimServices()
		return done, err
	}
	text, err := json.Marshal(i)
	if err != nil {
		return WriteResult{}, err
	}
	s.stats.ChangesEncoded++
	s.staged = append(s.staged, stagedChange{i, version, text})
	s.pending[i.ID] = true
	return done, nil
}

// expected holds a write to the version that it names, if it does.
func (s *Store) checkVersion(id string, version *int64) error {
	have := int64(0)
	if e := s.entries[id]; e != nil {
		have = e.version
	}
	if version != nil && *version != have {
		return refuse(http.StatusPreconditionFailed, "%s is at version %d, not %d", id, have, *version)
	}
	return nil
}

// Register puts an instance on the list, or renews it if it is there as it is. A
// registration without a lifecycle leaves that as it is, Ready at first.
//
// Danger: a registration that is made again, or comes late, must not undo a drain,
// nor may a lapse in between. So one that says Ready of a process that drains is
// refused; SetLifecycle alone ends a drain.
func (s *Store) Register(now time.Duration, i Instance, expect *int64) (WriteResult, error) {
	says := i.Lifecycle
	if says == "" {
		i.Lifecycle = Ready
	}
	if err := i.check(); err != nil {
		return WriteResult{}, refuse(http.StatusBadRequest, "%v", err)
	}
	if i.Lifecycle == Gone {
		return WriteResult{}, refuse(http.StatusBadRequest, "lifecycle: an instance that is Gone leaves")
	}
	if s.pending[i.ID] {
		return WriteResult{}, errPending
	}
	if err := s.checkVersion(i.ID, expect); err != nil {
		return WriteResult{}, err
	}
	e, last := s.entries[i.ID], s.gone[i.ID]
	drains := false
	switch {
	case e == nil && last.started > i.StartedAtMs:
		return WriteResult{}, refuse(http.StatusConflict, "%s has been on the list with a later start, %d", i.ID, last.started)
	case e == nil && len(s.entries)+len(s.staged) >= s.limits.Instances:
		return WriteResult{}, refuse(http.StatusConflict, "the list is full with %d instances", len(s.entries))
	case e == nil:
		drains = last.drained && last.started == i.StartedAtMs
	case e.StartedAtMs > i.StartedAtMs:
		return WriteResult{}, refuse(http.StatusConflict, "%s is on the list with a later start, %d", i.ID, e.StartedAtMs)
	case e.StartedAtMs == i.StartedAtMs && e.HostPort != i.HostPort:
		return WriteResult{}, refuse(http.StatusConflict, "%s is on the list with the same start at %s", i.ID, e.HostPort)
	case e.StartedAtMs == i.StartedAtMs:
		drains = e.Lifecycle == Terminating
	}
	switch {
	case drains && says == Ready:
		return WriteResult{}, refuse(http.StatusConflict, "%s drains; a change of its lifecycle to Ready ends that, no registration does", i.ID)
	case drains:
		i.Lifecycle = Terminating
	}
	if e != nil && i == e.Instance {
		s.renew(now, e)
		return e.result(), nil
	}
	s.stats.Registered++
	return s.commit(i, now)
}

// own returns the entry of the process with this id and start.
func (s *Store) entryOf(id string, started int64) (*entry, error) {
	if s.pending[id] {
		return nil, errPending
	}
	e := s.entries[id]
	switch {
	case e == nil:
		return nil, refuse(http.StatusNotFound, "%s is not on the list", id)
	case e.StartedAtMs != started:
		return nil, refuse(http.StatusConflict, "%s is on the list with the start %d, not %d", id, e.StartedAtMs, started)
	}
	return e, nil
}

// Renew begins an instance's lease anew.
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

// SetLifecycle changes what an instance does, and renews it.
func (s *Store) SetLifecycle(now time.Duration, id string, started int64, l Lifecycle, expect *int64) (WriteResult, error) {
	if l != Ready && l != Terminating {
		return WriteResult{}, refuse(http.StatusBadRequest, "lifecycle: %.80q is not Ready or Terminating", l)
	}
	e, err := s.entryOf(id, started)
	if err == nil {
		err = s.checkVersion(id, expect)
	}
	if err != nil {
		return WriteResult{}, err
	}
	if e.Lifecycle == l {
		s.renew(now, e)
		return e.result(), nil
	}
	i := e.Instance
	i.Lifecycle = l
	return s.commit(i, now)
}

// Leave takes an instance off the list. One that is not there has left.
func (s *Store) Leave(now time.Duration, id string, started int64, expect *int64) (WriteResult, error) {
	if s.entries[id] == nil && !s.pending[id] {
		return WriteResult{s.version, Gone}, nil
	}
	e, err := s.entryOf(id, started)
	if err == nil {
		err = s.checkVersion(id, expect)
	}
	if err != nil {
		return WriteResult{}, err
	}
	i := e.Instance
	i.Lifecycle = Gone
	return s.commit(i, now)
}

// Tick lets leases lapse. It wants to be called often; a long time between two
// calls was a pause of the service, in which nobody could renew.
func (s *Store) Tick(now time.Duration) error {
	since := now - s.lastTick
	s.lastTick = now
	if since > s.limits.Lease/pauseLeaseDivisor {
		s.stats.Pauses++
		s.renewAll(now)
	}
	list := float64(len(s.entries))
	s.lapseCredit = min(s.lapseCredit+since.Seconds()*max(lapseFractionPerSecond*list, 1), max(lapseBurstFraction*list, 1))
	var over []*entry
	for _, e := range s.entries {
		if e.expires <= now && !s.pending[e.ID] {
			over = append(over, e)
		}
	}
	slices.SortFunc(over, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.expires, b.expires), cmp.Compare(a.ID, b.ID))
	})
	for len(over) > 0 && s.lapseCredit >= 1 {
		i := over[0].Instance
		i.Lifecycle = Gone
		if _, err := s.commit(i, now); err != nil {
			return err
		}
		s.lapseCredit--
		s.stats.Lapsed++
		over = over[1:]
	}
	s.stats.Overdue = len(over)
	return nil
}
