package registry

import (
	"maps"
	"net/http"
	"slices"
	"time"
)

// clearCache drops the cached answers, which are for an earlier version.
func (s *Store) clearCache() {
	clear(s.cachedAnswers)
	s.cachedScoped.clear()
}

// Answer is the encoded answer to a read.
type Answer struct {
	Body      []byte // shared; must not be modified
	Full      bool   // the answer required a listing, not only changes
	Unchanged bool   // the answer has no changes
}

// Read returns the full list (since below 0) or the changes since a version of a history; an
// empty name stands for any history. If the version is not in the current history or its
// changes have been trimmed, Read returns the full list. The error of a rejected read is a *Refusal.
func (s *Store) Read(now time.Duration, since int64, history string) (Answer, error) {
	if err := s.checkReadable(now); err != nil {
		return Answer{}, err
	}
	sameHistory := history == "" || history == s.history
	switch {
	case since < 0, !sameHistory, since < s.baseVersion:
		return Answer{Body: s.cachedAnswer(-1), Full: true}, nil
	case since > s.version:
		return Answer{}, refuse(http.StatusBadRequest, "since: version %d is above the current version %d", since, s.version)
	}
	return Answer{Body: s.cachedAnswer(since), Unchanged: since == s.version}, nil
}

// checkReadable returns an error while the list is incomplete.
func (s *Store) checkReadable(now time.Duration) error {
	if now < s.gatheringUntil || s.history == "" {
		return refuse(http.StatusServiceUnavailable, "the list is not complete yet")
	}
	return nil
}

// cachedAnswer returns the encoded answer to readers at a version, from the cache if
// possible. Encoding is in functions of its own to keep the stacks of watchers small.
func (s *Store) cachedAnswer(since int64) []byte {
	if body, cached := s.cachedAnswers[since]; cached {
		return body
	}
	if len(s.cachedAnswers) >= maxCachedAnswers {
		clear(s.cachedAnswers)
	}
	s.stats.AnswersEncoded++
	var body []byte
	if since < 0 {
		body = s.encodeList()
	} else {
		body = s.encodeChanges(since)
	}
	s.cachedAnswers[since] = body
	return body
}

// encodeList encodes the full list.
func (s *Store) encodeList() []byte {
	encoded := make([][]byte, 0, len(s.entries))
	for _, id := range slices.Sorted(maps.Keys(s.entries)) {
		encoded = append(encoded, s.entries[id].encoded)
	}
	names := s.services.emptyNames()
	return encodeAnswer(s.version, true, encoded, answerField{"emptyServices", len(names), names})
}

// encodeChanges encodes the last state of each instance that has changed since a version.
func (s *Store) encodeChanges(since int64) []byte {
	var encoded [][]byte
	seen := map[string]int{} // index of the last change by instance id
	var moved movedInstances
	for n := len(s.changes) - 1; n >= 0 && s.changes[n].version > since; n-- {
		c := &s.changes[n]
		last, reported := seen[c.id]
		if !reported {
			last = n
			seen[c.id] = n
			encoded = append(encoded, c.encoded)
		}
		moved.add(c, s.changes[last].currentPlacement())
	}
	slices.Reverse(encoded)
	return encodeAnswer(s.version, false, encoded, answerField{"moved", len(moved), moved.sorted()})
}
