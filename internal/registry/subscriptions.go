package registry

import (
	"container/list"
	"errors"
	"io"
	"net/http"
)

// SubscriptionsPath is the HTTP path where a reader registers its scopes. The answer has the
// id that it uses in later reads.
const SubscriptionsPath = "/registry/subscriptions"

// SubscriptionHeader is the response header of a scoped read with the id of the scopes.
// Builds without scopes answer without it, and with the full list.
const SubscriptionHeader = "X-Registry-Subscription"

const (
	subscriptionParameter = "subscription" // query parameter: id of the requested scopes
	heldParameter         = "held"         // query parameter: id of the held scopes, if different
)

// Defaults of ServerLimits.
const (
	defaultSubscriptions      = 2000
	defaultSubscriptionScopes = 4096
	defaultSubscribedScopes   = 1 << 18
	defaultSubscriptionBytes  = 1 << 20
)

// subscriptionRequest is the body of a request that registers scopes.
type subscriptionRequest struct {
	Scopes []string `json:"scopes"`
}

// subscriptionReply is the answer to a subscriptionRequest.
type subscriptionReply struct {
	Subscription string `json:"subscription"`
}

// subscriptions is an LRU cache of the sets of scopes that readers have registered, by id.
// Readers of an evicted set register it again.
type subscriptions struct {
	byID   map[string]*list.Element // of *ScopeSet
	recent list.List                // most recently used first
	scopes int                      // total number of scopes
}

func newSubscriptions() *subscriptions { return &subscriptions{byID: map[string]*list.Element{}} }

// add adds a set and evicts others beyond maxSets sets or maxScopes scopes in total. It never
// evicts the added set.
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

// get returns the set with an id, or nil.
func (s *subscriptions) get(id string) *ScopeSet {
	element := s.byID[id]
	if element == nil {
		return nil
	}
	s.recent.MoveToFront(element)
	return element.Value.(*ScopeSet)
}

// readSubscription decodes and validates the scopes in a request body.
func readSubscription(body io.Reader, maxBytes int64, maxScopes int) (*ScopeSet, error) {
	data, err := io.ReadAll(http.MaxBytesReader(nil, io.NopCloser(body), maxBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, refuse(http.StatusRequestEntityTooLarge, "the subscription exceeds the maximum of %d bytes", maxBytes)
	case err != nil:
		return nil, refuse(http.StatusBadRequest, "the request body could not be read completely: %v", err)
	}
	var request subscriptionRequest
	if err := decode(data, &request); err != nil {
		return nil, refuse(http.StatusBadRequest, "%v", err)
	}
	if len(request.Scopes) > maxScopes {
		return nil, refuse(http.StatusRequestEntityTooLarge, "%d scopes exceed the maximum of %d per subscription; read the full list instead", len(request.Scopes), maxScopes)
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
