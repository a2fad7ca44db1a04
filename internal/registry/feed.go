package registry

import (
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	initialBackoff      = 500 * time.Millisecond // after all addresses have failed once; doubles with each round
	maxBackoff          = 15 * time.Second
	maxNextAddressDelay = 200 * time.Millisecond // before the next address of a round
	maxPastHistories    = 8                      // abandoned histories that are remembered
	staleAge            = 3 * time.Second        // list age above which the feed changes its address; a chain of two followers stays below
	maxReportedDuration = time.Minute
)

var (
	errOlderVersion = errors.New("the list is older than the one that is had")
	errPastHistory  = errors.New("the list is of a history that was left, or is older")
	errNoFullList   = errors.New("changes to another history than the reader's, without a full list")

	// errScopesChanged is returned for an answer to a request with earlier scopes.
	errScopesChanged = errors.New("the scopes have changed since the request")
	// errOutOfScope is returned for an answer with an instance outside the requested scopes.
	errOutOfScope = errors.New("the list has an instance outside the requested scopes")
)

// Feed is the state machine of a reader of the list from several registry addresses. It
// returns the next request to make, takes the answer or failure, and returns the changes and
// the backoff. It makes no calls itself and is not safe for concurrent use.
//
// It reads the full list or, after SetScopes, the part that some scopes select. Its
// instances are the list at its version, restricted to the scopes that it holds. These are
// the wanted scopes except between SetScopes and the next answer, which has the instances of
// the new scopes and the changes to the others, at one version.
type Feed struct {
	addresses []string
	current   int // index of the next address
	random    *rand.Rand
	failures  int // in a row

	hasList       bool
	history       string
	version       int64
	pastHistories []string
	instances     map[string]Instance

	wanted   *ScopeSet // nil: the full list
	held     *ScopeSet // the scopes that instances is the list of; nil: none, or the full list
	heldAll  bool      // instances is the full list
	revision int       // incremented with each change of wanted
	unknown  []Scope   // wanted scopes whose service was unknown at the last answer

	compared int64 // instance comparisons
}

// NewFeed returns a Feed that reads from the given addresses in random order.
func NewFeed(addresses []string, random *rand.Rand) *Feed {
	f := &Feed{random: random, instances: map[string]Instance{}}
	f.SetAddresses(addresses)
	return f
}

// SetAddresses replaces the addresses. The list and its version stay.
func (f *Feed) SetAddresses(addresses []string) {
	f.addresses, f.current, f.failures = slices.Clone(addresses), 0, 0
	f.random.Shuffle(len(f.addresses), func(i, j int) { f.addresses[i], f.addresses[j] = f.addresses[j], f.addresses[i] })
}

// ReadRequest is a request for the list.
type ReadRequest struct {
	Address string
	Full    bool // request all instances; otherwise the changes since version Since of History
	Since   int64
	History string

	Scopes *ScopeSet // nil: the full list
	Held   *ScopeSet // scopes whose list the reader has at Since

	revision int
}

// IsLongPoll reports whether the server may delay its answer until there are changes. It may
// not if the request is for the full list or for new scopes.
func (r ReadRequest) IsLongPoll() bool { return !r.Full && r.Held.equal(r.Scopes) }

// Next returns the request to make now.
func (f *Feed) Next() ReadRequest {
	return ReadRequest{Address: f.addresses[f.current], Full: !f.hasList || !f.canUseChanges(), Since: f.version, History: f.history,
		Scopes: f.wanted, Held: f.held, revision: f.revision}
}

// canUseChanges reports whether changes since the version suffice: the feed has the list of
// some wanted scopes or, if it wants the full list, has that.
func (f *Feed) canUseChanges() bool {
	return f.heldAll == (f.wanted == nil) && (f.heldAll || f.held != nil)
}

// Answered applies the answer to the request that Next returns, with the history and age
// of the answer, and returns the changes to the list. On error it rejects the answer; the
// caller then calls Failed.
func (f *Feed) Answered(listing Listing, history string, age time.Duration) (changes Listing, err error) {
	return f.AnsweredTo(f.Next(), listing, history, age)
}

// AnsweredTo is Answered for a request that an earlier Next returned. If the scopes have
// changed since, it returns an error, which is not a failure of the server.
func (f *Feed) AnsweredTo(request ReadRequest, listing Listing, history string, age time.Duration) (changes Listing, err error) {
	switch {
	case request.revision != f.revision:
		return Listing{}, errScopesChanged
	case f.hasList && history == f.history && listing.Generation < f.version:
		return Listing{}, errOlderVersion
	case f.hasList && history != f.history && !f.maySwitchHistory(history, listing.Generation):
		return Listing{}, errPastHistory
	case (!f.hasList || history != f.history) && !listing.Reset:
		return Listing{}, errNoFullList
	}
	changes = Listing{Generation: listing.Generation, Reset: !f.hasList || history != f.history}
	unknown, err := f.checkScopes(request, listing)
	if err != nil {
		return Listing{}, err
	}
	if f.hasList && history != f.history {
		if f.pastHistories = append(f.pastHistories, f.history); len(f.pastHistories) > maxPastHistories {
			f.pastHistories = f.pastHistories[1:]
		}
	}
	updated := f.instances
	if listing.Reset {
		updated = make(map[string]Instance, len(listing.Instances))
	}
	var reported map[string]bool // instances in changes; nil if the answer cannot omit instances
	if listing.Reset && !changes.Reset {
		reported = make(map[string]bool, len(listing.Instances))
	}
	for _, instance := range listing.Instances {
		f.compared++
		if previous, existed := f.instances[instance.ID]; changes.Reset || !existed && instance.Lifecycle != Gone || existed && previous != instance {
			changes.Instances = append(changes.Instances, instance)
			if reported != nil {
				reported[instance.ID] = true
			}
		}
		if updated[instance.ID] = instance; instance.Lifecycle == Gone {
			delete(updated, instance.ID)
		}
	}
	if reported != nil {
		changes.Instances = appendGone(changes.Instances, f.instances, func(instance Instance) bool {
			f.compared++
			_, remains := updated[instance.ID]
			return !remains && !reported[instance.ID]
		})
	}
	f.instances = updated
	if request.Scopes != nil && !listing.Reset && !request.IsLongPoll() {
		changes.Instances = append(changes.Instances, f.dropOutside(request.Scopes)...)
	}
	f.held, f.heldAll, f.unknown = request.Scopes, request.Scopes == nil, unknown
	f.hasList, f.history, f.version, f.failures = true, history, listing.Generation, 0
	if age > staleAge {
		f.nextAddress()
	}
	return changes, nil
}

// maySwitchHistory reports whether another history may replace the current one. Each history
// begins at a higher version than the one before, unless a writer's clock was wrong. A
// history at a lower version is therefore probably an older one on a lagging follower, and
// is accepted only if all other addresses have failed. An abandoned history is accepted
// again only at a higher version and after a full round of failures: the feed had then
// switched to an older history.
func (f *Feed) maySwitchHistory(history string, version int64) bool {
	if slices.Contains(f.pastHistories, history) {
		return version > f.version && f.failures >= len(f.addresses)
	}
	return version > f.version || f.failures+1 >= len(f.addresses)
}

// checkScopes returns the scopes whose service is unknown, or an error if the answer has
// instances outside the requested scopes.
func (f *Feed) checkScopes(request ReadRequest, listing Listing) (unknown []Scope, err error) {
	if request.Scopes == nil {
		return nil, nil
	}
	for _, i := range listing.Instances {
		if i.Lifecycle != Gone && !request.Scopes.Matches(i) {
			return nil, errOutOfScope
		}
	}
	return ParseScopes(listing.Unknown)
}

// SetScopes changes the wanted part of the list; no scopes means the full list. It returns
// the instances that are no longer in it as Gone.
//
// If a service has a new scope, the instances of its dropped scopes stay until the next
// answer, so that they serve until the list of the new scope arrives. A switch between the
// full list and scopes keeps all instances until the next answer. A scope that a held one
// covers needs no request.
func (f *Feed) SetScopes(scopes []Scope) (changes Listing) {
	changes = Listing{Generation: f.version}
	wanted := newScopeSet(scopes)
	if wanted.equal(f.wanted) {
		return changes
	}
	f.wanted = wanted
	f.revision++
	f.unknown = slices.DeleteFunc(f.unknown, func(scope Scope) bool { return !wanted.includes(scope) })
	if wanted == nil || f.held == nil {
		f.held = nil
		return changes
	}
	var held []Scope
	missing := map[string]bool{} // services with scopes that are not held
	for _, scope := range wanted.scopes {
		if f.held.covers(scope) {
			held = append(held, scope)
		} else {
			missing[scope.Service] = true
		}
	}
	for _, scope := range f.held.scopes {
		if missing[scope.Service] {
			held = append(held, scope)
		}
	}
	f.held = newScopeSet(held)
	changes.Instances = f.dropOutside(f.held)
	return changes
}

// Compared returns the number of instance comparisons made to find the changes in answers.
func (f *Feed) Compared() int64 { return f.compared }

// Unknown returns the wanted scopes whose service was unknown at the last answer.
func (f *Feed) Unknown() []Scope { return slices.Clone(f.unknown) }

// dropOutside removes all instances outside the scopes and returns them as Gone.
func (f *Feed) dropOutside(scopes *ScopeSet) []Instance {
	dropped := appendGone(nil, f.instances, func(i Instance) bool { return scopes == nil || !scopes.Matches(i) })
	for _, i := range dropped {
		delete(f.instances, i.ID)
	}
	return dropped
}

// appendGone appends the selected instances as Gone, sorted by id.
func appendGone(gone []Instance, instances map[string]Instance, selected func(Instance) bool) []Instance {
	first := len(gone)
	for _, i := range instances {
		if selected(i) {
			i.Lifecycle = Gone
			gone = append(gone, i)
		}
	}
	slices.SortFunc(gone[first:], func(a, b Instance) int { return strings.Compare(a.ID, b.ID) })
	return gone
}

// Failed records a failed request and returns the delay before the next one, which is at
// another address. retryAfter is the delay that the server asked for; 0 for none.
func (f *Feed) Failed(retryAfter time.Duration) time.Duration {
	f.failures++
	f.nextAddress()
	if f.failures < len(f.addresses) {
		return f.randomBetween(0, maxNextAddressDelay)
	}
	round := min(f.failures/len(f.addresses)-1, 16)
	backoff := min(initialBackoff<<round, maxBackoff)
	if retryAfter = min(retryAfter, maxReportedDuration); retryAfter > backoff {
		return f.randomBetween(retryAfter, retryAfter+retryAfter/2)
	}
	return f.randomBetween(backoff/2, backoff+backoff/2)
}

func (f *Feed) nextAddress() { f.current = (f.current + 1) % len(f.addresses) }

func (f *Feed) randomBetween(low, high time.Duration) time.Duration {
	return low + time.Duration(f.random.Int64N(int64(high-low)+1))
}
