package registry

import (
	"maps"
	"net/http"
	"slices"
	"time"
)

// dropAnswers forgets the answers of an earlier version.
func (s *Store) clearCache() {
	clear(s.cachedAnswers)
	s.cachedScoped.clear()
}

// Answer is what a reader is told.
type Answer struct {
	Body      []byte // not to be changed
	Full      bool
	Unchanged bool // there is nothing new
}

// Read answers one who asks for the whole list (since below 0), or for what has
// changed since a version of a history. An empty name stands for any history.
func (s *Store) Read(now time.Duration, since int64, history string) (Answer, error) {
	if err := s.checkReadable(now); err != nil {
		return Answer{}, err
	}
	same := history == "" || history == s.history
	switch {
	case since < 0, !same, since < s.baseVersion:
		return Answer{Body: s.cachedAnswer(-1), Full: true}, nil
	case since > s.version:
		return Answer{}, refuse(http.StatusBadRequest, "since: version %d is yet to come, this is %d", since, s.version)
	}
	return Answer{Body: s.cachedAnswer(since), Unchanged: since == s.version}, nil
}

// readable refuses readers as long as the list is not whole.
func (s *Store) checkReadable(now time.Duration) error {
	if now < s.gatheringUntil || s.history == "" {
		return refuse(http.StatusServiceUnavailable, "the list is not whole yet")
	}
	return nil
}

// join puts an answer together, once for all that ask from the same version. Most find it
// there, so that encoding it is left to functions of their own: a watcher's stack is as
// large as its deepest call.
func (s *Store) cachedAnswer(since int64) []byte {
	if body, there := s.cachedAnswers[since]; there {
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

// encodeWhole encodes the whole list.
func (s *Store) encodeList() []byte {
	texts := make([][]byte, 0, len(s.entries))
	for _, id := range slices.Sorted(maps.Keys(s.entries)) {
		texts = append(texts, s.entries[id].encoded)
	}
	names := s.services.emptyNames()
	return encodeAnswer(s.version, true, texts, answerField{"emptyServices", len(names), names})
}

// encodeChanges encodes the last state of each instance that has changed since a version.
func (s *Store) encodeChanges(since int64) []byte {
	var texts [][]byte
	seen := map[string]int{} // where the last change of an instance is
	var moved movedInstances
	for n := len(s.changes) - 1; n >= 0 && s.changes[n].version > since; n-- {
		c := &s.changes[n]
		last, there := seen[c.id]
		if !there {
			last = n
			seen[c.id] = n
			texts = append(texts, c.encoded)
		}
		moved.add(c, s.changes[last].currentPlacement())
	}
	slices.Reverse(texts)
	return encodeAnswer(s.version, false, texts, answerField{"moved", len(moved), moved.sorted()})
}
