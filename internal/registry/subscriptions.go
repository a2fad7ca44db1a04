package registry

import (
	"container/list"
	"errors"
	"io"
	"net/http"
)

// SubscriptionsPath is where a reader names its scopes. The answer has the id under which
// it then asks for their list.
const SubscriptionsPath = "/registry/subscriptions"

// SubscriptionHeader has, in an answer to scopes, the id of the set. A list service of a
// build before scopes answers without it, and with the whole list.
const SubscriptionHeader = "X-Registry-Subscription"

const (
	subscriptionParameter = "subscription" // of a read: the id of the scopes
	heldParameter         = "held"         // the id of the scopes that "since" is about, if they are others
)

// Bounds of subscriptions where ServerLimits do not say.
const (
	defaultSubscriptions      = 2000
	defaultSubscriptionScopes = 4096
	defaultSubscribedScopes   = 1 << 18
	defaultSubscriptionBytes  = 1 << 20
)

// subscriptionCall is the body of a call that names scopes.
type subscriptionRequest struct {
	Scopes []string `json:"scopes"`
}

// subscriptionReply is its answer.
type subscriptionReply struct {
	Subscription string `json:"subscription"`
}

// subscriptions keeps the sets of scopes that readers have named, by their ids. Beyond its
// bounds it forgets those that nobody has asked for the longest; their readers name them
// again.
type subscriptions struct {
	byID   map[string]*list.Element // of *ScopeSet
	recent list.List                // the one used last in front
	scopes int                      // of all sets
}

func newSubscriptions() *subscriptions { return &subscriptions{byID: map[string]*list.Element{}} }

// add keeps a set, within bounds on the sets and on all of their scopes.
func (s *subscriptions) add(set *ScopeSet, maxSets, maxScopes int) {
	if s.get(set.ID()) == nil {
		s.byID[set.ID()] = s.recent.PushFront(set)
		s.scopes += set.Len()
	}
	for s.recent.Len() > 1 && (s.recent.Len() > maxSets || s.scopes > maxScopes) {
		oldest := s.recent.Remove(s.recent.Back()).(*ScopeSet)
		delete(s.byID, oldest.ID())
		s.scopes -= oldest.Len()
	}
}

// get returns the set of an id; nil: it is not kept.
func (s *subscriptions) get(id string) *ScopeSet {
	element := s.byID[id]
	if element == nil {
		return nil
	}
	s.recent.MoveToFront(element)
	return element.Value.(*ScopeSet)
}

// readSubscription reads the scopes of a call.
func readSubscription(body io.Reader, maxBytes int64, maxScopes int) (*ScopeSet, error) {
	data, err := io.ReadAll(http.MaxBytesReader(nil, io.NopCloser(body), maxBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, refuse(http.StatusRequestEntityTooLarge, "a subscription has %d bytes at most", maxBytes)
	case err != nil:
		return nil, refuse(http.StatusBadRequest, "the call did not come whole")
	}
	var request subscriptionRequest
	if err := decode(data, &request); err != nil {
		return nil, refuse(http.StatusBadRequest, "%v", err)
	}
	if len(request.Scopes) > maxScopes {
		return nil, refuse(http.StatusRequestEntityTooLarge, "%d scopes are more than the %d of a subscription; a reader of so many reads the whole list", len(request.Scopes), maxScopes)
	}
	scopes, err := ParseScopes(request.Scopes)
	if err != nil {
		return nil, refuse(http.StatusBadRequest, "%v", err)
	}
	set, err := NewScopeSet(scopes)
	if err != nil {
		return nil, refuse(http.StatusBadRequest, "%v", err)
	}
	return set, nil
}
