package registry

import (
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	initialBackoff       = 500 * time.Millisecond // after a round of failures; it doubles
	maxBackoff           = 15 * time.Second
	maxNextAddressDelay  = 200 * time.Millisecond // at most, before the next address of a round
	maxPastHistories     = 8                      // histories that were left, which are not taken again
	staleAge             = 3 * time.Second        // of a list, from which on another address is tried; two followers in a row stay below
	maxRetryAfterHonored = time.Minute            // of a pause that a service asks for
)

var (
	errOlderVersion = errors.New("the list is older than the one that is had")
	errPastHistory  = errors.New("the list is of a history that was left, or is older")
	errNoFullList   = errors.New("changes of a history that is not known")

	// errScopesChanged says that an answer is to a call made before the reader's scopes
	// changed.
	errScopesChanged = errors.New("the scopes have changed since the call")
	// errOutOfScope says that an answer has an instance that was not asked for.
	errOutOfScope = errors.New("the list has an instance outside of the scopes")
)

// Feed is the state of one that reads the list from several services. It is a
// state machine: it says whom to ask for what, is told how that went, and says what
// is news and how long to wait.
//
// It reads the whole list or, after SetScopes, the part that some scopes select. What it
// knows is the list at its version, restricted to the scopes that it holds. Those are the
// scopes that it wants, except between SetScopes and the next answer: that answer has the
// instances of the new scopes and the changes to the others, at one version.
type Feed struct {
	addresses []string
	current   int
	random    *rand.Rand
	failures  int // in a row

	hasList       bool
	history       string
	version       int64
	pastHistories []string
	instances     map[string]Instance

	wanted   *ScopeSet // nil: the whole list
	held     *ScopeSet // the scopes that known has the list of; nil: none, or it is the whole list
	heldAll  bool      // known is the whole list
	revision int       // counts the changes of wanted
	unknown  []Scope   // of the wanted scopes, those that the service does not know

	compared int64 // instances that answers were compared by
}

// NewFeed reads from the given addresses, in an order of its own.
func NewFeed(addresses []string, random *rand.Rand) *Feed {
	f := &Feed{random: random, instances: map[string]Instance{}}
	f.SetAddresses(addresses)
	return f
}

// Move changes the addresses. What is known stays.
func (f *Feed) SetAddresses(addresses []string) {
	f.addresses, f.current, f.failures = slices.Clone(addresses), 0, 0
	f.random.Shuffle(len(f.addresses), func(i, j int) { f.addresses[i], f.addresses[j] = f.addresses[j], f.addresses[i] })
}

// Ask is a call to make.
type ReadRequest struct {
	Address string
	Full    bool // else what has changed since
	Since   int64
	History string

	Scopes *ScopeSet // nil: of the whole list
	Held   *ScopeSet // of the scopes, those that Since is about; others beside them are dropped

	revision int
}

// Waits reports whether the call may wait for changes: it asks for no new scopes.
func (r ReadRequest) IsLongPoll() bool { return !r.Full && r.Held.equal(r.Scopes) }

// Next returns the call to make now.
func (f *Feed) Next() ReadRequest {
	return ReadRequest{Address: f.addresses[f.current], Full: !f.hasList || !f.canUseChanges(), Since: f.version, History: f.history,
		Scopes: f.wanted, Held: f.held, revision: f.revision}
}

// holds reports whether changes behind the version are of use: the feed has the list of
// some scopes that it wants or, where it wants the whole list, has that.
func (f *Feed) canUseChanges() bool {
	return f.heldAll == (f.wanted == nil) && (f.heldAll || f.held != nil)
}

// Answered takes a list in that came whole in answer to the call that Next returns, and
// returns what of it is news. An error says that the list is not for this reader; it counts
// as a failure.
func (f *Feed) Answered(listing Listing, history string, age time.Duration) (changes Listing, err error) {
	return f.AnsweredTo(f.Next(), listing, history, age)
}

// AnsweredTo takes the answer to a call that an earlier Next returned. If the scopes have
// changed since, the answer is refused, and it is no failure of the service.
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
	var reported map[string]bool // the news, where instances that are missing may be among them
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

// mayLeaveFor reports whether another history may be taken in place of the one that is had.
// Each begins at a higher version than those before it, unless a writer's clock was wrong.
// So one at a lower version is most likely the older, of a follower that lags, and is taken
// only if no other address has an answer. A history that was left is taken again only if it
// is at a higher version and no address has had an answer in a whole round: then it was left
// for an older one.
func (f *Feed) maySwitchHistory(history string, version int64) bool {
	if slices.Contains(f.pastHistories, history) {
		return version > f.version && f.failures >= len(f.addresses)
	}
	return version > f.version || f.failures+1 >= len(f.addresses)
}

// admit finds the scopes that the service does not know, and refuses an answer with
// instances that were not asked for.
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

// SetScopes changes the part of the list that is wanted; without scopes it is the whole
// list. It returns, as Gone, the instances that are not in it any more.
//
// The instances of a dropped scope stay until the next answer where its service has a new
// scope beside it: a scope may be replaced by another of the same service, and until the
// new one is had, the old one serves. Between the whole list and scopes, all that is known
// stays until the answer to the other. A scope within one that is held needs no call.
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
	missing := map[string]bool{} // services of which scopes are to come
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

// Compared counts the instances that were looked at to tell what of the answers is news.
func (f *Feed) Compared() int64 { return f.compared }

// Unknown returns the wanted scopes that the service did not know at the last answer.
func (f *Feed) Unknown() []Scope { return slices.Clone(f.unknown) }

// drop forgets all instances but those of scopes, and returns them as Gone.
func (f *Feed) dropOutside(scopes *ScopeSet) []Instance {
	dropped := appendGone(nil, f.instances, func(i Instance) bool { return scopes == nil || !scopes.Matches(i) })
	for _, i := range dropped {
		delete(f.instances, i.ID)
	}
	return dropped
}

// appendGone appends, as Gone and in the order of their ids, the instances that are chosen.
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

// Failed takes note of a call that failed, and returns how long to wait for the
// next. A service that turned the call away may have said for how long.
func (f *Feed) Failed(retryAfter time.Duration) time.Duration {
	f.failures++
	f.nextAddress()
	if f.failures < len(f.addresses) {
		return f.randomBetween(0, maxNextAddressDelay)
	}
	round := min(f.failures/len(f.addresses)-1, 16)
	backoff := min(initialBackoff<<round, maxBackoff)
	if retryAfter = min(retryAfter, maxRetryAfterHonored); retryAfter > backoff {
		return f.randomBetween(retryAfter, retryAfter+retryAfter/2)
	}
	return f.randomBetween(backoff/2, backoff+backoff/2)
}

func (f *Feed) nextAddress() { f.current = (f.current + 1) % len(f.addresses) }

func (f *Feed) randomBetween(low, high time.Duration) time.Duration {
	return low + time.Duration(f.random.Int64N(int64(high-low)+1))
}
