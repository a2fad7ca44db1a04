package registry

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"
)

// Limits bound a Store.
type Limits struct {
	Lease        time.Duration
	Instances    int // on the list
	History      int // changes
	HistoryBytes int // of their encoding

	EmptyServices int // services without instances that are remembered; 0: defaultEmptyServices
}

const (
	lapseShare = 0.05 // of the list that may lapse in a second
	lapseBurst = 0.1  // and at once
	pauseShare = 4    // a part of a lease; a service that stood still for longer has heard no renewals
	mostJoined = 64   // answers kept for watchers that ask from the same version
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

// Store is the list and its history. It is a state machine: all times are those
// of the caller's monotonic clock. It is not safe for use by several goroutines.
type Store struct {
	limits  Limits
	history string
	version int64
	epoch   int64  // of the writer; each promotion has a higher one
	writes  bool   // the history is this service's own
	fence   *Fence // of one in whose place another was put
	entries map[string]*entry
	gone    map[string]change // of the instances in changes that are Gone, the last

	services *serviceIndex // of the entries

	changes []change // the oldest first
	bytes   int      // of their texts
	from    int64    // the version that changes follow

	joined map[int64][]byte // answers at this version, by the version asked from; -1: the whole list
	scoped scopedAnswers    // the same for scopes

	staging bool // changes wait until they last
	staged  []stagedChange
	pending map[string]bool // instances in staged changes

	gathering time.Duration // until then the list is not whole
	ticked    time.Duration
	credit    float64 // lapses that may go through
	stats     Stats
}

// Stats are a Store's figures.
type Stats struct {
	Version        int64
	Instances      int
	History, Bytes int // changes kept, and their bytes
	Registered     int64
	Renewed        int64
	Lapsed         int64
	Overdue        int   // leases that have run out, whose lapse waits
	Pauses         int64 // times that the service stood still, and all leases began anew
	Encoded        int64 // changes
	Joined         int64 // answers put together
	Scoped         int64 // of them, answers to scopes
	Services       int   // known
	EmptyServices  int   // of them, those without instances
}

type entry struct {
	Instance
	version int64
	text    []byte
	expires time.Duration
}

type change struct {
	version int64
	id      string
	started int64
	drained bool
	gone    bool
	text    []byte
	places  *places // nil: the instance is in no service, and was in none
}

// places are where an instance is after a change, and where it was before.
type places struct {
	at Placement
	// left are the other placements that the instance had since the version before, which
	// is several changes ago where a follower was told of them at once.
	left []Placement
}

// at is where the instance is; nowhere that a scope knows if it is in no service.
func (c *change) at() Placement {
	if c.places == nil {
		return Placement{}
	}
	return c.places.at
}

// left are the placements that the instance left with the change.
func (c *change) left() []Placement {
	if c.places == nil {
		return nil
	}
	return c.places.left
}

// size is what a change counts for in the bytes of the history.
func (c *change) size() int {
	bytes := len(c.text)
	for _, p := range c.left() {
		bytes += len(p.Service) + len(p.Region) + len(p.Zone)
	}
	return bytes
}

// Written is what a call came to, and how the instance stands then.
type Written struct {
	Version   int64
	Lifecycle Lifecycle
}

// stagedChange is one that does not last yet.
type stagedChange struct {
	instance Instance
	version  int64
	text     []byte
}

// NewStore begins a history with the given name at a version that is higher than
// all that there were before. Reads are answered after one lease, in which all
// instances can register.
func NewStore(limits Limits, name string, first int64, now time.Duration) *Store {
	s := newStore(limits, now)
	s.history, s.version, s.from, s.epoch, s.writes = name, first, first, 1, true
	s.gathering = now + limits.Lease
	return s
}

func newStore(limits Limits, now time.Duration) *Store {
	return &Store{limits: limits, entries: map[string]*entry{}, gone: map[string]change{}, joined: map[int64][]byte{},
		pending: map[string]bool{}, services: newServiceIndex(), ticked: now}
}

// enter puts an entry on the list, in place of the one of this id.
func (s *Store) enter(e *entry) {
	before := s.entries[e.ID]
	s.entries[e.ID] = e
	s.services.add(e)
	if before != nil && before.Service != e.Service {
		s.services.remove(before)
	}
}

// withdraw takes an entry off the list.
func (s *Store) withdraw(id string) {
	if e := s.entries[id]; e != nil {
		delete(s.entries, id)
		s.services.remove(e)
	}
}

// forgetServices bounds the services without instances that are remembered.
func (s *Store) forgetServices() {
	s.services.trim(cmp.Or(s.limits.EmptyServices, defaultEmptyServices))
}

// forget drops the history: what there was before is no list that anybody may
// go on from.
func (s *Store) forget() {
	s.changes, s.bytes, s.from = nil, 0, s.version
	clear(s.gone)
	s.dropAnswers()
}

// put takes a change in under its version. Meanwhile the instance has been at some
// other placements, or at none.
func (s *Store) put(i Instance, version int64, now time.Duration, meanwhile []Placement) error {
	text, err := json.Marshal(i)
	if err != nil {
		return err
	}
	s.stats.Encoded++
	s.putText(i, text, version, now, meanwhile)
	return nil
}

// putText takes a change in whose text there is.
func (s *Store) putText(i Instance, text []byte, version int64, now time.Duration, meanwhile []Placement) {
	var left []Placement
	if e := s.entries[i.ID]; e != nil {
		left = appendLeft(left, e.placement(), i.placement())
	}
	for _, p := range meanwhile {
		left = appendLeft(left, p, i.placement())
		s.services.mention(p.Service)
	}
	c := newChange(i, version, text, left)
	s.version = version
	s.dropAnswers()
	if i.Lifecycle == Gone {
		s.withdraw(i.ID)
		s.services.mention(i.Service)
	} else {
		s.enter(&entry{Instance: i, version: version, text: text, expires: now + s.limits.Lease})
		delete(s.gone, i.ID)
	}
	s.remember(c, c.gone)
}

func newChange(i Instance, version int64, text []byte, left []Placement) change {
	c := change{version: version, id: i.ID, started: i.StartedAtMs, drained: i.Drained, gone: i.Lifecycle == Gone, text: text}
	if i.Service != "" || len(left) > 0 {
		c.places = &places{i.placement(), left}
	}
	return c
}

// appendLeft adds a placement that was left for another, once. One without a service is
// in no scope.
func appendLeft(left []Placement, from, to Placement) []Placement {
	if from.Service == "" || from == to || slices.Contains(left, from) {
		return left
	}
	return append(left, from)
}

// dropAnswers forgets the answers of an earlier version.
func (s *Store) dropAnswers() {
	clear(s.joined)
	s.scoped.clear()
}

// remember puts a change into the history, which forgets the oldest for it, and with one
// all of its version: a follower has several, and nobody goes on from between them.
func (s *Store) remember(c change, gone bool) {
	if gone {
		s.gone[c.id] = c
	}
	s.changes = append(s.changes, c)
	s.bytes += c.size()
	for len(s.changes) > 0 && (len(s.changes) > s.limits.History || s.bytes > s.limits.HistoryBytes || s.changes[0].version <= s.from) {
		old := s.changes[0]
		s.changes[0] = change{}
		s.changes = s.changes[1:]
		s.bytes -= old.size()
		s.from = old.version
		if s.gone[old.id].version == old.version {
			delete(s.gone, old.id)
		}
	}
}

// commit takes a change in, or stages it. One that goes keeps whether it drained.
func (s *Store) commit(i Instance, now time.Duration) (Written, error) {
	if e := s.entries[i.ID]; e != nil && i.Lifecycle == Gone {
		i.Drained = e.Lifecycle == Terminating
	}
	version := s.version + int64(len(s.staged)) + 1
	done := Written{version, i.Lifecycle}
	if !s.staging {
		err := s.put(i, version, now, nil)
		s.forgetServices()
		return done, err
	}
	text, err := json.Marshal(i)
	if err != nil {
		return Written{}, err
	}
	s.stats.Encoded++
	s.staged = append(s.staged, stagedChange{i, version, text})
	s.pending[i.ID] = true
	return done, nil
}

// expected holds a write to the version that it names, if it does.
func (s *Store) expected(id string, version *int64) error {
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
func (s *Store) Register(now time.Duration, i Instance, expect *int64) (Written, error) {
	says := i.Lifecycle
	if says == "" {
		i.Lifecycle = Ready
	}
	if err := i.check(); err != nil {
		return Written{}, refuse(http.StatusBadRequest, "%v", err)
	}
	if i.Lifecycle == Gone {
		return Written{}, refuse(http.StatusBadRequest, "lifecycle: an instance that is Gone leaves")
	}
	if s.pending[i.ID] {
		return Written{}, errPending
	}
	if err := s.expected(i.ID, expect); err != nil {
		return Written{}, err
	}
	e, last := s.entries[i.ID], s.gone[i.ID]
	drains := false
	switch {
	case e == nil && last.started > i.StartedAtMs:
		return Written{}, refuse(http.StatusConflict, "%s has been on the list with a later start, %d", i.ID, last.started)
	case e == nil && len(s.entries)+len(s.staged) >= s.limits.Instances:
		return Written{}, refuse(http.StatusConflict, "the list is full with %d instances", len(s.entries))
	case e == nil:
		drains = last.drained && last.started == i.StartedAtMs
	case e.StartedAtMs > i.StartedAtMs:
		return Written{}, refuse(http.StatusConflict, "%s is on the list with a later start, %d", i.ID, e.StartedAtMs)
	case e.StartedAtMs == i.StartedAtMs && e.HostPort != i.HostPort:
		return Written{}, refuse(http.StatusConflict, "%s is on the list with the same start at %s", i.ID, e.HostPort)
	case e.StartedAtMs == i.StartedAtMs:
		drains = e.Lifecycle == Terminating
	}
	switch {
	case drains && says == Ready:
		return Written{}, refuse(http.StatusConflict, "%s drains; a change of its lifecycle to Ready ends that, no registration does", i.ID)
	case drains:
		i.Lifecycle = Terminating
	}
	if e != nil && i == e.Instance {
		s.renew(now, e)
		return e.written(), nil
	}
	s.stats.Registered++
	return s.commit(i, now)
}

// own returns the entry of the process with this id and start.
func (s *Store) own(id string, started int64) (*entry, error) {
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
func (s *Store) Renew(now time.Duration, id string, started int64) (Written, error) {
	e, err := s.own(id, started)
	if err != nil {
		return Written{}, err
	}
	s.renew(now, e)
	return e.written(), nil
}

func (e *entry) written() Written { return Written{e.version, e.Lifecycle} }

func (s *Store) renew(now time.Duration, e *entry) {
	e.expires = now + s.limits.Lease
	s.stats.Renewed++
}

// SetLifecycle changes what an instance does, and renews it.
func (s *Store) SetLifecycle(now time.Duration, id string, started int64, l Lifecycle, expect *int64) (Written, error) {
	if l != Ready && l != Terminating {
		return Written{}, refuse(http.StatusBadRequest, "lifecycle: %.80q is not Ready or Terminating", l)
	}
	e, err := s.own(id, started)
	if err == nil {
		err = s.expected(id, expect)
	}
	if err != nil {
		return Written{}, err
	}
	if e.Lifecycle == l {
		s.renew(now, e)
		return e.written(), nil
	}
	i := e.Instance
	i.Lifecycle = l
	return s.commit(i, now)
}

// Leave takes an instance off the list. One that is not there has left.
func (s *Store) Leave(now time.Duration, id string, started int64, expect *int64) (Written, error) {
	if s.entries[id] == nil && !s.pending[id] {
		return Written{s.version, Gone}, nil
	}
	e, err := s.own(id, started)
	if err == nil {
		err = s.expected(id, expect)
	}
	if err != nil {
		return Written{}, err
	}
	i := e.Instance
	i.Lifecycle = Gone
	return s.commit(i, now)
}

// Tick lets leases lapse. It wants to be called often; a long time between two
// calls was a pause of the service, in which nobody could renew.
func (s *Store) Tick(now time.Duration) error {
	since := now - s.ticked
	s.ticked = now
	if since > s.limits.Lease/pauseShare {
		s.stats.Pauses++
		s.renewAll(now)
	}
	list := float64(len(s.entries))
	s.credit = min(s.credit+since.Seconds()*max(lapseShare*list, 1), max(lapseBurst*list, 1))
	var over []*entry
	for _, e := range s.entries {
		if e.expires <= now && !s.pending[e.ID] {
			over = append(over, e)
		}
	}
	slices.SortFunc(over, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.expires, b.expires), cmp.Compare(a.ID, b.ID))
	})
	for len(over) > 0 && s.credit >= 1 {
		i := over[0].Instance
		i.Lifecycle = Gone
		if _, err := s.commit(i, now); err != nil {
			return err
		}
		s.credit--
		s.stats.Lapsed++
		over = over[1:]
	}
	s.stats.Overdue = len(over)
	return nil
}

// Answer is what a reader is told.
type Answer struct {
	Body    []byte // not to be changed
	Whole   bool
	Nothing bool // there is nothing new
}

// Read answers one who asks for the whole list (since below 0), or for what has
// changed since a version of a history. An empty name stands for any history.
func (s *Store) Read(now time.Duration, since int64, history string) (Answer, error) {
	if err := s.readable(now); err != nil {
		return Answer{}, err
	}
	same := history == "" || history == s.history
	switch {
	case since < 0, !same, since < s.from:
		return Answer{Body: s.join(-1), Whole: true}, nil
	case since > s.version:
		return Answer{}, refuse(http.StatusBadRequest, "since: version %d is yet to come, this is %d", since, s.version)
	}
	return Answer{Body: s.join(since), Nothing: since == s.version}, nil
}

// readable refuses readers as long as the list is not whole.
func (s *Store) readable(now time.Duration) error {
	if now < s.gathering || s.history == "" {
		return refuse(http.StatusServiceUnavailable, "the list is not whole yet")
	}
	return nil
}

// join puts an answer together, once for all that ask from the same version.
func (s *Store) join(since int64) []byte {
	if body, there := s.joined[since]; there {
		return body
	}
	var texts [][]byte
	var more []answerPart
	if since < 0 {
		for _, id := range slices.Sorted(maps.Keys(s.entries)) {
			texts = append(texts, s.entries[id].text)
		}
		more = []answerPart{{"emptyServices", s.services.emptyNames()}}
	} else {
		seen := map[string]int{} // where the last change of an instance is
		var moved movedInstances
		for n := len(s.changes) - 1; n >= 0 && s.changes[n].version > since; n-- {
			c := &s.changes[n]
			last, there := seen[c.id]
			if !there {
				last = n
				seen[c.id] = n
				texts = append(texts, c.text)
			}
			moved.add(c, s.changes[last].at())
		}
		slices.Reverse(texts)
		more = []answerPart{{"moved", moved.sorted()}}
	}
	s.stats.Joined++
	body := encodeAnswer(s.version, since < 0, texts, more)
	if len(s.joined) >= mostJoined {
		clear(s.joined)
	}
	s.joined[since] = body
	return body
}

// Copy takes in what a writer has told, under its own versions. Danger: all that
// is told goes into the history, also what this follower has already. A reader may
// come from the writer, between two versions that are one step here. A whole list
// does not tell what has changed, so nobody may go on from before it.
func (s *Store) Copy(now time.Duration, l Listing, history string) error {
	if l.Reset {
		clear(s.entries)
		s.services.clear()
	}
	if history != s.history {
		s.services = newServiceIndex()
	}
	s.history = history
	meanwhile := map[string][]Placement{}
	for _, moved := range l.Moved {
		meanwhile[moved.ID] = moved.From
	}
	for _, name := range l.EmptyServices {
		s.services.mention(name)
	}
	for _, i := range l.Instances {
		if err := s.put(i, l.Generation, now, meanwhile[i.ID]); err != nil {
			return err
		}
	}
	s.version = l.Generation
	s.forgetServices()
	s.dropAnswers()
	if l.Reset {
		s.forget()
	}
	return nil
}

// Stats returns the figures.
func (s *Store) Stats() Stats {
	st := s.stats
	st.Version, st.Instances, st.History, st.Bytes = s.version, len(s.entries), len(s.changes), s.bytes
	st.Services, st.EmptyServices = len(s.services.known), s.services.empty
	return st
}
