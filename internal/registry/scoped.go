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
	maxScopedCacheBytes   = 8 << 20
	maxScopedCacheEntries = 256
	minListCost           = 1.0 / 64 // cost of a scoped listing without instances, as a fraction of a full listing
)

// ScopedRead is a read of a part of the list.
type ScopedRead struct {
	Since   int64  // the reader's version; below 0 if it has no list
	History string // history of the version; empty: any
	Scopes  *ScopeSet
	// Held contains the scopes whose list the reader has at version Since. The answer has
	// their changes, and all instances of the other scopes. Nil means Scopes.
	Held *ScopeSet
}

// addsScopes reports whether the reader requests other scopes than those that it holds.
func (r ScopedRead) addsScopes() bool { return !r.Held.equal(r.Scopes) }

// affectedBy reports whether a change can alter what the reader holds or requests.
func (r ScopedRead) affectedBy(c *change) bool {
	if r.covers(c.currentPlacement()) {
		return true
	}
	for _, p := range c.previousPlacements() {
		if r.covers(p) {
			return true
		}
	}
	return false
}

func (r ScopedRead) covers(p Placement) bool {
	return r.Scopes.contains(p) || r.addsScopes() && r.Held.contains(p)
}

// servicesToList returns the services of which the answer has all instances in the scopes.
// held is nil for a reader without a list.
func (r ScopedRead) servicesToList(held *ScopeSet) (services []string) {
	for name, scopes := range r.Scopes.byService {
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

// scopedCache caches the answers at the store's version for readers with equal requests.
type scopedCache struct {
	answers map[scopedKey]Answer
	bytes   int
}

func (c *scopedCache) clear() {
	clear(c.answers)
	c.bytes = 0
}

func (c *scopedCache) add(key scopedKey, answer Answer) {
	if len(c.answers) >= maxScopedCacheEntries || c.bytes+len(answer.Body) > maxScopedCacheBytes {
		c.clear()
	}
	if c.answers == nil {
		c.answers = map[scopedKey]Answer{}
	}
	c.answers[key] = answer
	c.bytes += len(answer.Body)
}

// NoChangesFor reports whether no change after the reader's version affects it. The reader
// may then be treated as if it were at the store's version.
func (s *Store) NoChangesFor(read ScopedRead) bool {
	if !s.canContinue(read) {
		return false
	}
	for n := s.firstChangeAfter(read.Since); n < len(s.changes); n++ {
		if read.affectedBy(&s.changes[n]) {
			return false
		}
	}
	return true
}

// canContinue reports whether a waiting reader can be brought up to date by changes alone.
func (s *Store) canContinue(read ScopedRead) bool {
	return read.History == s.history && !read.addsScopes() && read.Since >= s.baseVersion && read.Since <= s.version
}

// servicesChanged returns the services affected by the changes after a version.
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

// firstChangeAfter returns the index of the first change after a version.
func (s *Store) firstChangeAfter(version int64) int {
	return sort.Search(len(s.changes), func(n int) bool { return s.changes[n].version > version })
}

// ReadScoped answers like Read for a part of the list: with all instances of the scopes, or
// with the last state of each instance that has changed in them. An instance that has left
// the scopes appears as Gone. The error of a rejected read is a *Refusal.
func (s *Store) ReadScoped(now time.Duration, read ScopedRead) (Answer, error) {
	if err := s.checkReadable(now); err != nil {
		return Answer{}, err
	}
	if read.Held == nil {
		read.Held = read.Scopes
	}
	sameHistory := read.History == "" || read.History == s.history
	full := read.Since < 0 || !sameHistory || read.Since < s.baseVersion
	if !full && read.Since > s.version {
		return Answer{}, refuse(http.StatusBadRequest, "since: version %d is above the current version %d", read.Since, s.version)
	}
	key := scopedKey{read.Since, read.Scopes.ID(), read.Held.ID()}
	if full {
		key.since, key.held = -1, ""
	}
	if answer, cached := s.cachedScoped.answers[key]; cached {
		return answer, nil
	}
	var encoded [][]byte
	if full {
		encoded = s.scopedInstances(read, nil, nil)
	} else {
		var err error
		if encoded, err = s.scopedChanges(read); err != nil {
			return Answer{}, err
		}
	}
	s.stats.AnswersEncoded++
	s.stats.ScopedAnswersEncoded++
	unknownScopes := s.unknownScopes(read.Scopes)
	answer := Answer{Full: full || read.addsScopes(), Unchanged: !full && !read.addsScopes() && len(encoded) == 0,
		Body: encodeAnswer(s.version, full, encoded, answerField{"unknown", len(unknownScopes), unknownScopes})}
	s.cachedScoped.add(key, answer)
	return answer, nil
}

// scopedInstances returns the encoded instances of a reader's scopes, sorted by id, except
// those in held and reported.
func (s *Store) scopedInstances(read ScopedRead, held *ScopeSet, reported map[string]bool) (encoded [][]byte) {
	var entries []*entry
	for _, name := range read.servicesToList(held) {
		service := s.services.known[name]
		if service == nil {
			continue
		}
		for _, e := range service.instances {
			p := e.placement()
			if read.Scopes.contains(p) && (held == nil || !held.contains(p)) && !reported[e.ID] {
				entries = append(entries, e)
			}
		}
	}
	slices.SortFunc(entries, func(a, b *entry) int { return strings.Compare(a.ID, b.ID) })
	for _, e := range entries {
		encoded = append(encoded, e.encoded)
	}
	return encoded
}

// scopedChanges returns the encoded last state of each instance that has changed in the
// scopes, and all instances of the scopes that the reader does not hold.
//
// The last change of an instance that affects the reader is sufficient: if the instance had
// been in a scope after it, the next change would name that as a previous placement.
func (s *Store) scopedChanges(read ScopedRead) (encoded [][]byte, err error) {
	first := s.firstChangeAfter(read.Since)
	reported := map[string]bool{}
	for n := len(s.changes) - 1; n >= first; n-- {
		c := &s.changes[n]
		if !read.affectedBy(c) || reported[c.id] {
			continue
		}
		reported[c.id] = true
		instance := c.encoded
		if !c.gone && !read.Scopes.contains(c.currentPlacement()) || c.gone && !read.covers(c.currentPlacement()) {
			if instance, err = read.encodeGone(c); err != nil {
				return nil, err
			}
		}
		encoded = append(encoded, instance)
	}
	slices.Reverse(encoded)
	if read.addsScopes() {
		encoded = append(encoded, s.scopedInstances(read, read.Held, reported)...)
	}
	return encoded, nil
}

// encodeGone encodes an instance that has moved out of the reader's scopes as Gone from the
// placement that the reader knew.
func (r ScopedRead) encodeGone(c *change) ([]byte, error) {
	var instance Instance
	if err := json.Unmarshal(c.encoded, &instance); err != nil {
		return nil, err
	}
	instance.Lifecycle, instance.Drained = Gone, false
	for _, p := range c.previousPlacements() {
		if r.covers(p) {
			instance.Service, instance.Region, instance.Zone = p.Service, p.Region, p.Zone
			break
		}
	}
	return json.Marshal(instance)
}

// unknownScopes returns the scopes whose service is unknown.
func (s *Store) unknownScopes(scopes *ScopeSet) (texts []string) {
	for _, scope := range scopes.scopes {
		if s.services.known[scope.Service] == nil {
			texts = append(texts, scope.String())
		}
	}
	return texts
}

// listCost returns the fraction of the list that has to be examined to answer a read.
func (s *Store) listCost(read ScopedRead) float64 {
	if read.Scopes == nil {
		return 1
	}
	var held *ScopeSet
	if read.addsScopes() {
		held = read.Held
	}
	examined := 0
	for _, name := range read.servicesToList(held) {
		if service := s.services.known[name]; service != nil {
			examined += len(service.instances)
		}
	}
	return max(float64(examined)/float64(max(len(s.entries), 1)), minListCost)
}

// answerField is an optional JSON field of an answer. It is omitted if count is 0.
type answerField struct {
	name  string
	count int
	value any
}

// encodeAnswer encodes an answer from its encoded instances.
func encodeAnswer(version int64, reset bool, encoded [][]byte, fields ...answerField) []byte {
	size := len(encoded) + 64
	for _, instance := range encoded {
		size += len(instance)
	}
	body := make([]byte, 0, size)
	body = append(body, `{"generation":`...)
	body = strconv.AppendInt(body, version, 10)
	body = append(body, `,"reset":`...)
	body = strconv.AppendBool(body, reset)
	body = append(body, `,"instances":[`...)
	for n, instance := range encoded {
		if n > 0 {
			body = append(body, ',')
		}
		body = append(body, instance...)
	}
	body = append(body, ']')
	for _, field := range fields {
		if field.count == 0 {
			continue // json.Marshal would grow the watcher's stack
		}
		value, err := json.Marshal(field.value)
		if err != nil {
			panic(err) // only plain fields, which always encode
		}
		body = append(body, ',', '"')
		body = append(body, field.name...)
		body = append(body, '"', ':')
		body = append(body, value...)
	}
	return append(body, "}\n"...)
}

// movedInstances collects the intermediate placements of the instances of an answer, by id.
type movedInstances map[string][]Placement

// add adds the placements of a change to an instance whose last placement is current.
func (m *movedInstances) add(change *change, current Placement) {
	previous := (*m)[change.id]
	countBefore := len(previous)
	for _, p := range change.previousPlacements() {
		previous = appendPrevious(previous, p, current)
	}
	previous = appendPrevious(previous, change.currentPlacement(), current)
	if len(previous) == countBefore {
		return
	}
	if *m == nil {
		*m = movedInstances{}
	}
	(*m)[change.id] = previous
}

// sorted returns the instances sorted by id, or nil if there are none.
func (m movedInstances) sorted() []Moved {
	var moved []Moved
	for id, previous := range m {
		moved = append(moved, Moved{id, previous})
	}
	slices.SortFunc(moved, func(a, b Moved) int { return strings.Compare(a.ID, b.ID) })
	return moved
}
