package registry

import (
	"cmp"
	"time"
)

// ServerLimits bounds the load on a Server.
type ServerLimits struct {
	Connections       int     // open connections of readers and writers
	Watchers          int     // concurrent reads that wait for changes
	ListingsPerSecond float64 // full listings; a scoped listing counts as the fraction of the list that it examines

	// Limits on the scopes that readers register; 0 means the default.
	Subscriptions      int   // sets of scopes
	SubscriptionScopes int   // scopes per set, at most MaxScopes
	SubscribedScopes   int   // scopes of all sets
	SubscriptionBytes  int64 // body of a request that registers a set
}

// withDefaults replaces zero limits on scopes by their defaults.
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

// takeListingTokens reports whether the rate limit admits a listing, and charges it if so.
// cost is the fraction of the list that the listing examines. The caller holds s.mu.
func (s *Server) takeListingTokens(cost float64) bool {
	now := time.Now()
	s.listingTokens = min(s.listingTokens+now.Sub(s.listingTokensAt).Seconds()*s.limits.ListingsPerSecond, s.limits.ListingsPerSecond)
	if s.listingTokensAt = now; s.listingTokens < cost {
		return false
	}
	s.listingTokens -= cost
	return true
}
