package registry

import (
	"cmp"
	"time"
)

// ServerLimits bound a Server.
type ServerLimits struct {
	Connections       int
	Watchers          int
	ListingsPerSecond float64 // whole lists in a second; one of scopes counts by its share

	// Of the scopes that readers name; 0: the defaults above.
	Subscriptions      int   // sets of scopes that are kept
	SubscriptionScopes int   // scopes of one set
	SubscribedScopes   int   // scopes of all sets
	SubscriptionBytes  int64 // of a call that names a set
}

// withDefaults puts the defaults in the place of what is not said.
func (l ServerLimits) withDefaults() ServerLimits {
	l.Subscriptions = cmp.Or(l.Subscriptions, defaultSubscriptions)
	l.SubscriptionScopes = min(cmp.Or(l.SubscriptionScopes, defaultSubscriptionScopes), MaxScopes)
	l.SubscribedScopes = cmp.Or(l.SubscribedScopes, defaultSubscribedScopes)
	l.SubscriptionBytes = cmp.Or(l.SubscriptionBytes, defaultSubscriptionBytes)
	return l
}

func (s *Server) maxWatchers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limits.Watchers
}

// mayList bounds the whole lists, of which each costs as much as many changes. The list of
// scopes counts as the part of the instances that has to be looked at for it, so that a
// thousand readers of small services are let in where a hundred of everything are.
func (s *Server) takeListingTokens(cost float64) bool {
	now := time.Now()
	s.listingTokens = min(s.listingTokens+now.Sub(s.listingTokensAt).Seconds()*s.limits.ListingsPerSecond, s.limits.ListingsPerSecond)
	if s.listingTokensAt = now; s.listingTokens < cost {
		return false
	}
	s.listingTokens -= cost
	return true
}
