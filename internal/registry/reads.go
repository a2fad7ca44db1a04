package registry

import (
	"maps"
	"net/http"
	"slices"
	"time"
)

// dropAnswers forgets the answers of an earlier version.
func (s *Store) dropAnswers() {
	clear(s.joined)
	s.scoped.clear()
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
