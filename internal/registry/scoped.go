package registry

import (
	"encoding/json"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"
)

const (
	maxScopedCacheBytes   = 8 << 20 // of the answers to scopes that are kept for others who ask the same
	maxScopedCacheEntries = 256     // and how many they are
	minListCost           = 1.0 / 64
)

// ScopedRead is a question about a part of the list.
type ScopedRead struct {
	Since   int64  // the version that the reader is at; below 0: it has nothing
	History string // that the version belongs to; empty: any
	Scopes  *ScopeSet
	// Held are the scopes of which the reader has the list at the version. It is told all
	// instances of its other scopes, and what has changed in these.
	Held *ScopeSet
}

// joins reports whether the reader has some scopes and wants others beside them.
func (q ScopedRead) addsScopes() bool { return !q.Held.equal(q.Scopes) }

// concerns reports whether a change can alter what the reader has or wants.
func (q ScopedRead) affectedBy(c *change) bool {
	if q.covers(c.currentPlacement()) {
		return true
	}
	for _, p := range c.previousPlacements() {
		if q.covers(p) {
			return true
		}
	}
	return false
}

func (q ScopedRead) covers(p Placement) bool {
	return q.Scopes.contains(p) || q.addsScopes() && q.Held.contains(p)
}

// toList returns the services of which a reader is told all instances in its scopes. A
// reader without a list is one that holds nothing.
func (q ScopedRead) servicesToList(held *ScopeSet) (services []string) {
	for name, scopes := range q.Scopes.byService {
		if held == nil || slices.ContainsFunc(scopes, func(scope Scope) bool { return !held.covers(scope) }) {
			services = append(services, name)
		}
	}
	return services
}

// scopedKey identifies an answer at the store's version.
type scopedKey struct {
	since        int64
	scopes, held string
}

// scopedAnswers keeps answers for readers that ask the same at the same version.
type scopedCache struct {
	answers map[scopedKey]Answer
	bytes   int
}

func (a *scopedCache) clear() {
	clear(a.answers)
	a.bytes = 0
}

func (a *scopedCache) add(key scopedKey, answer Answer) {
	if len(a.answers) >= maxScopedCacheEntries || a.bytes+len(answer.Body) > maxScopedCacheBytes {
		a.clear()
	}
	if a.answers == nil {
		a.answers = map[scopedKey]Answer{}
	}
	a.answers[key] = answer
	a.bytes += len(answer.Body)
}

// Quiet reports whether a reader that is at a version of a history has nothing to hear.
// It looks at the changes behind that version alone, and only at whom they concern. A
// reader that is told so is as good as at the store's version.
func (s *Store) NoChangesFor(q ScopedRead) bool {
	if !s.canContinue(q) {
		return false
	}
	for n := s.firstChangeAfter(q.Since); n < len(s.changes); n++ {
		if q.affectedBy(&s.changes[n]) {
			return false
		}
	}
	return true
}

// continues reports whether a reader that waits can go on from its version by changes.
func (s *Store) canContinue(q ScopedRead) bool {
	return q.History == s.history && !q.addsScopes() && q.Since >= s.baseVersion && q.Since <= s.version
}

// servicesChanged returns the services that the changes since a version concern.
func (s *Store) servicesChanged(since int64) map[string]bool {
	names := map[string]bool{}
	for n := s.firstChangeAfter(since); n < len(s.changes); n++ {
		c := &s.changes[n]
		if c.placements == nil {
			continue
		}
		names[c.currentPlacement().Service] = true
		for _, p := range c.previousPlacements() {
			names[p.Service] = true
		}
	}
	return names
}

// behind returns the place of the first change after a version.
func (s *Store) firstChangeAfter(version int64) int {
	return sort.Search(len(s.changes), func(n int) bool { return s.changes[n].version > version })
}

// ReadScoped answers as Read does, for a part of the list: with all instances of the
// scopes, or with the last state of each instance that has changed in them. An instance
// that has left the scopes is told as Gone.
func (s *Store) ReadScoped(now time.Duration, q ScopedRead) (Answer, error) {
	if err := s.checkReadable(now); err != nil {
		return Answer{}, err
	}
	if q.Held == nil {
		q.Held = q.Scopes
	}
	same := q.History == "" || q.History == s.history
	whole := q.Since < 0 || !same || q.Since < s.baseVersion
	if !whole && q.Since > s.version {
		return Answer{}, refuse(http.StatusBadRequest, "since: version %d is yet to come, this is %d", q.Since, s.version)
	}
	key := scopedKey{q.Since, q.Scopes.ID(), q.Held.ID()}
	if whole {
		key.since, key.held = -1, ""
	}
	if answer, there := s.cachedScoped.answers[key]; there {
		return answer, nil
	}
	var texts [][]byte
	if whole {
		texts = s.scopedInstances(q, nil, nil)
	} else {
		var err error
		if texts, err = s.scopedChanges(q); err != nil {
			return Answer{}, err
		}
	}
	s.stats.AnswersEncoded++
	s.stats.ScopedAnswersEncoded++
	unknown := s.unknownScopes(q.Scopes)
	answer := Answer{Full: whole || q.addsScopes(), Unchanged: !whole && !q.addsScopes() && len(texts) == 0,
		Body: encodeAnswer(s.version, whole, texts, answerField{"unknown", len(unknown), unknown})}
	s.cachedScoped.add(key, answer)
	return answer, nil
}

// scopedWhole returns the instances of a reader's scopes, by id, without those of scopes
// that it holds and those that were told.
func (s *Store) scopedInstances(q ScopedRead, held *ScopeSet, told map[string]bool) (texts [][]byte) {
	var entries []*entry
	for _, name := range q.servicesToList(held) {
		of := s.services.known[name]
		if of == nil {
			continue
		}
		for _, e := range of.instances {
			p := e.placement()
			if q.Scopes.contains(p) && (held == nil || !held.contains(p)) && !told[e.ID] {
				entries = append(entries, e)
			}
		}
	}
	slices.SortFunc(entries, func(a, b *entry) int { return strings.Compare(a.ID, b.ID) })
	for _, e := range entries {
		texts = append(texts, e.encoded)
	}
	return texts
}

// scopedChanges returns the last state of each instance that has changed in the scopes,
// and all instances of the scopes that the reader does not hold.
//
// Of an instance the last change that concerns the reader says all: had it been in a scope
// after that, the next change would name its placement, as the one that it left.
func (s *Store) scopedChanges(q ScopedRead) (texts [][]byte, err error) {
	first := s.firstChangeAfter(q.Since)
	told := map[string]bool{}
	for n := len(s.changes) - 1; n >= first; n-- {
		c := &s.changes[n]
		if !q.affectedBy(c) || told[c.id] {
			continue
		}
		told[c.id] = true
		text := c.encoded
		if !c.gone && !q.Scopes.contains(c.currentPlacement()) || c.gone && !q.covers(c.currentPlacement()) {
			if text, err = q.encodeGone(c); err != nil {
				return nil, err
			}
		}
		texts = append(texts, text)
	}
	slices.Reverse(texts)
	if q.addsScopes() {
		texts = append(texts, s.scopedInstances(q, q.Held, told)...)
	}
	return texts, nil
}

// leaves encodes, for an instance that has moved out of the reader's scopes, that it is
// Gone from where the reader knew it.
func (q ScopedRead) encodeGone(c *change) ([]byte, error) {
	var i Instance
	if err := json.Unmarshal(c.encoded, &i); err != nil {
		return nil, err
	}
	i.Lifecycle, i.Drained = Gone, false
	for _, p := range c.previousPlacements() {
		if q.covers(p) {
			i.Service, i.Region, i.Zone = p.Service, p.Region, p.Zone
			break
		}
	}
	return json.Marshal(i)
}

// unknown returns the scopes whose service is not known.
func (s *Store) unknownScopes(scopes *ScopeSet) (texts []string) {
	for _, scope := range scopes.scopes {
		if s.services.known[scope.Service] == nil {
			texts = append(texts, scope.String())
		}
	}
	return texts
}

// listCost is the part of the list that has to be looked at to list what a question asks
// for: 1 is all of it.
func (s *Store) listCost(q ScopedRead) float64 {
	if q.Scopes == nil {
		return 1
	}
	var held *ScopeSet
	if q.addsScopes() {
		held = q.Held
	}
	looked := 0
	for _, name := range q.servicesToList(held) {
		if of := s.services.known[name]; of != nil {
			looked += len(of.instances)
		}
	}
	return max(float64(looked)/float64(max(len(s.entries), 1)), minListCost)
}

// answerPart is a part of an answer beside its instances. It is left out if it is empty.
type answerField struct {
	name  string
	count int
	value any
}

// encodeAnswer puts an answer together from the texts of its instances.
func encodeAnswer(version int64, reset bool, texts [][]byte, more ...answerField) []byte {
	size := len(texts) + 64
	for _, text := range texts {
		size += len(text)
	}
	body := make([]byte, 0, size)
	body = append(body, `{"generation":`...)
	body = strconv.AppendInt(body, version, 10)
	body = append(body, `,"reset":`...)
	body = strconv.AppendBool(body, reset)
	body = append(body, `,"instances":[`...)
	for n, text := range texts {
		if n > 0 {
			body = append(body, ',')
		}
		body = append(body, text...)
	}
	body = append(body, ']')
	for _, part := range more {
		if part.count == 0 {
			continue // and encodes nothing, which would take much of a watcher's stack
		}
		value, err := json.Marshal(part.value)
		if err != nil {
			panic(err) // of plain fields
		}
		body = append(body, ',', '"')
		body = append(body, part.name...)
		body = append(body, '"', ':')
		body = append(body, value...)
	}
	return append(body, "}\n"...)
}

// movedInstances collects where instances were before the last change of an answer.
type movedInstances map[string][]Placement

// add takes in a change of an instance that is now at another placement.
func (m *movedInstances) add(c *change, now Placement) {
	left := (*m)[c.id]
	was := len(left)
	for _, p := range c.previousPlacements() {
		left = appendPrevious(left, p, now)
	}
	left = appendPrevious(left, c.currentPlacement(), now)
	if len(left) == was {
		return
	}
	if *m == nil {
		*m = movedInstances{}
	}
	(*m)[c.id] = left
}

// sorted returns the instances in the order of their ids; nil of none.
func (m movedInstances) sorted() []Moved {
	var all []Moved
	for id, from := range m {
		all = append(all, Moved{id, from})
	}
	slices.SortFunc(all, func(a, b Moved) int { return strings.Compare(a.ID, b.ID) })
	return all
}
