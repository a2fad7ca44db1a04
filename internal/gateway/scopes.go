package gateway

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"slices"
	"sync"
	"sync/atomic"

	"dunlintray/internal/registry"
	"dunlintray/internal/subset"
	"dunlintray/rules"
)

// scopesConfig is which part of the list a gateway reads, and how much of that it uses.
// The zero value is all of both.
type scopesConfig struct {
	scopes []registry.Scope
	subset subset.Settings
}

// subsetKeys are the keys of a subset in the configuration.
type subsetKeys struct{ Size, Coverage int }

// readScopes takes the keys of the configuration; nil stands for an absent one.
func readScopes(texts []string, keys *subsetKeys, fleet int) (c scopesConfig, err error) {
	switch {
	case texts == nil:
	case len(texts) == 0:
		return c, errors.New("scopes: there are none; without the key the whole list is read")
	case len(texts) > registry.MostScopes:
		return c, fmt.Errorf("scopes: %d are more than %d", len(texts), registry.MostScopes)
	default:
		if c.scopes, err = registry.ParseScopes(texts); err != nil {
			return c, err
		}
	}
	if keys != nil && *keys != (subsetKeys{}) {
		c.subset = subset.Settings{Size: keys.Size, Coverage: keys.Coverage, Fleet: fleet}
	}
	return c, nil
}

// check finds what a gateway could not run with.
func (c *scopesConfig) check(registries int) error {
	switch {
	case registries == 0 && len(c.scopes) > 0:
		return errors.New("scopes: only list services tell a part of the list; registries is missing")
	case registries == 0 && c.subset != subset.Settings{}:
		return errors.New("subset: it is chosen from what list services tell; registries is missing")
	}
	for _, scope := range c.scopes {
		if first := c.scopes[0].Service; scope.Service != first {
			return fmt.Errorf("scopes: services %q and %q: a gateway has no routes by service, and all scopes have to be of one", first, scope.Service)
		}
	}
	return c.subset.Check()
}

// checkReload finds a change that needs a new start.
func (c *scopesConfig) checkReload(next *scopesConfig) error {
	switch {
	case (len(c.scopes) > 0) != (len(next.scopes) > 0):
		return errors.New("scopes: whether there are any needs a new start")
	case c.subset.Enabled() != next.subset.Enabled():
		return errors.New("subset: whether one is chosen needs a new start")
	}
	return nil
}

// filterListing returns what of a list known from before is in the scopes.
func (c *scopesConfig) filterListing(known Listing) Listing {
	if len(c.scopes) == 0 {
		return known
	}
	outside := func(i Instance) bool {
		return !slices.ContainsFunc(c.scopes, func(scope registry.Scope) bool { return scope.Matches(i) })
	}
	known.Instances = slices.DeleteFunc(slices.Clone(known.Instances), outside)
	return known
}

// scopeChange moves a reader from scopes to others. The scopes in force stay beside the
// next ones until a list service knows one of these, so that a name that is misspelt in a
// configuration leaves the gateway with the backends that it had.
type scopeChange struct {
	mu     sync.Mutex
	active []registry.Scope
	next   []registry.Scope // nil: nothing changes
}

// begin starts a change, in place of one that is under way, and returns what to read.
func (c *scopeChange) begin(next []registry.Scope) []registry.Scope {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next = next
	return c.activeAndNext()
}

// activeAndNext returns the scopes in force and the next ones. The caller has the lock.
func (c *scopeChange) activeAndNext() []registry.Scope { return slices.Concat(c.active, c.next) }

// handleAnswer takes in which of the scopes of an answer are unknown. It returns what to read
// from now on, and whether that has changed.
func (c *scopeChange) handleAnswer(scopes *registry.ScopeSet, unknown []registry.Scope) ([]registry.Scope, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next == nil {
		return nil, false
	}
	asked, err := registry.NewScopeSet(c.activeAndNext())
	if err != nil || asked.ID() != scopes.ID() {
		return nil, false // the answer to an earlier call
	}
	known := func(scope registry.Scope) bool { return !slices.Contains(unknown, scope) }
	if !slices.ContainsFunc(c.next, known) {
		slog.Warn("scopes in force stay, as no list service knows the new ones")
		return nil, false
	}
	c.active, c.next = c.next, nil
	return c.active, true
}

// unknownScopes logs the scopes that list services do not know, once for each change.
type unknownScopes struct{ last []registry.Scope }

func (u *unknownScopes) logChange(now []registry.Scope) {
	if slices.Equal(u.last, now) {
		return
	}
	u.last = slices.Clone(now)
	var texts []string
	for _, scope := range now {
		texts = append(texts, scope.String())
	}
	slog.Warn("scopes that list services do not know", "scopes", texts)
}

// subsetMetrics are what operators are told of the subset.
type subsetMetrics struct{ candidates, size, chosen, widened atomic.Int64 }

// write puts the figures out. Of a gateway that uses all backends they are nil.
func (f *subsetMetrics) write(w io.Writer) {
	if f == nil {
		return
	}
	for _, l := range []struct {
		name string
		n    *atomic.Int64
	}{{"candidates", &f.candidates}, {"size", &f.size}, {"chosen", &f.chosen}, {"widened", &f.widened}} {
		fmt.Fprintf(w, "app.subset.%s:%d|g\n", l.name, l.n.Load())
	}
}

// backendSubset chooses the backends that this gateway uses. It belongs to the loop. A
// nil one stands for all there are.
type backendSubset struct {
	selector           *subset.Selector
	settings           subset.Settings
	metrics            *subsetMetrics
	hasList            bool // a list has come from a list service
	widened            int
	gatewaysPerBackend int // gateways that use one backend, in the mean
}

func newBackendSubset(name string, settings subset.Settings, f *subsetMetrics) *backendSubset {
	if !settings.Enabled() {
		return nil
	}
	return &backendSubset{selector: subset.New(name, settings), settings: settings, metrics: f}
}

// apply returns what of the news concerns the backends in use.
func (s *backendSubset) apply(now float64, told Listing, kind rules.ListKind) Listing {
	s.hasList = s.hasList || kind != rules.CachedList
	if kind != rules.Delta {
		told.Reset = true
	}
	return s.selector.Apply(seconds(now), told)
}

// review takes in how many backends are usable and returns what changes by that.
func (s *backendSubset) review(now float64, usable int) Listing {
	if !s.hasList {
		return Listing{} // what is known from before stands until a list service is heard
	}
	return s.selector.Report(seconds(now), usable)
}

// resize takes other settings and returns what changes by that.
func (s *backendSubset) resize(now float64, settings subset.Settings) Listing {
	s.settings = settings
	return s.selector.Resize(seconds(now), settings)
}

// updateMetrics tells operators what the subset is now. It returns whether the number of gateways
// that share a backend has changed by so much that the module has to know.
func (s *backendSubset) updateMetrics() bool {
	stats := s.selector.Stats()
	s.metrics.candidates.Store(int64(stats.Candidates))
	s.metrics.size.Store(int64(stats.Size))
	s.metrics.chosen.Store(int64(stats.Chosen))
	s.metrics.widened.Store(int64(stats.Widened))
	if stats.Widened != s.widened {
		slog.Warn("subset", "widened", stats.Widened, "before", s.widened, "size", stats.Size, "chosen", stats.Chosen, "candidates", stats.Candidates)
		s.widened = stats.Widened
	}
	if stats.Candidates == 0 {
		return false
	}
	sharing := max(int(math.Round(float64(s.settings.Fleet)*float64(stats.Size)/float64(stats.Candidates))), 1)
	if differ := sharing - s.gatewaysPerBackend; sharingStepDivisor*max(differ, -differ) <= s.gatewaysPerBackend {
		return false
	}
	s.gatewaysPerBackend = sharing
	return true
}

// sharingStepDivisor is the part, one in so many, by which the number of gateways that share a
// backend may be off before the module hears of it.
const sharingStepDivisor = 10

// usableBackends counts the backends that get requests now.
func (l *Loop) usableBackends() int {
	known, skipped := l.gateway.BackendCounts()
	return known - skipped
}

// activeSettings are those of the deployment in force, with what the subset makes of them.
func (l *Loop) activeSettings() rules.Settings {
	s := l.service.Settings
	if l.subset != nil {
		s.GatewaysPerBackend = l.subset.gatewaysPerBackend
	}
	return s
}

// receiveListing takes in what list services or discovery tell.
func (l *Loop) receiveListing(m listUpdate) {
	if l.subset == nil {
		l.applyList(m.listing, m.kind)
		return
	}
	l.applySubset(l.subset.apply(l.clock.now(), m.listing, m.kind), m.kind)
}

// reviewSubset widens or narrows the subset, if there is reason to.
func (l *Loop) reviewSubset() {
	if changes := l.subset.review(l.clock.now(), l.usableBackends()); len(changes.Instances) > 0 {
		l.applySubset(changes, rules.Delta)
	}
}

// resizeSubset takes other settings of the subset.
func (l *Loop) resizeSubset(settings subset.Settings) {
	if l.subset != nil && settings != l.subset.settings {
		l.applySubset(l.subset.resize(l.clock.now(), settings), rules.Delta)
	}
}

// applySubset tells the module what has changed of the subset. What it reckons by the number of
// gateways comes first.
func (l *Loop) applySubset(chosen Listing, kind rules.ListKind) {
	if l.subset.updateMetrics() {
		l.handle(rules.ApplySettings{Settings: l.activeSettings()})
	}
	for _, i := range chosen.Instances {
		if i.Lifecycle == registry.Ready && l.offlineOutside[i.ID] {
			l.addOffline(i)
		}
	}
	l.applyList(chosen, kind)
}

// overrideOutsideSubset keeps an operator's word on a backend outside the subset, which the module
// does not know, for when it enters.
func (l *Loop) overrideOutsideSubset(id string, offline bool) (known bool) {
	if l.subset == nil || !l.offlineOutside[id] && !l.subset.selector.Listed(id) {
		return false
	}
	if delete(l.offlineOutside, id); offline {
		l.offlineOutside[id] = true
	}
	slog.Info("by hand, outside the subset", "backend", id, "offline", offline)
	return true
}

// nameSet returns the set of names.
func nameSet(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}

// addOffline makes a backend known to the module that is out by hand. It enters as one
// that drains, since nothing may go there before the module has the operator's word.
func (l *Loop) addOffline(i Instance) {
	delete(l.offlineOutside, i.ID)
	i.Lifecycle = registry.Terminating
	l.applyList(Listing{Instances: []Instance{i}}, rules.Delta)
	l.applyOverride(i.ID, true)
}
