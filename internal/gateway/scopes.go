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

// scopesConfig states which part of the list of backends a gateway reads, and which subset of that
// part it uses. The zero value reads and uses all backends.
type scopesConfig struct {
	scopes []registry.Scope
	subset subset.Settings
}

// subsetKeys is the "subset" object of the configuration file.
type subsetKeys struct{ Size, Coverage int }

// readScopes converts the keys "scopes" and "subset" of the configuration file; nil stands for an
// absent key.
func readScopes(texts []string, keys *subsetKeys, fleet int) (config scopesConfig, err error) {
	switch {
	case texts == nil:
	case len(texts) == 0:
		return config, errors.New("scopes: the list is empty; without the key all backends are read")
	case len(texts) > registry.MaxScopes:
		return config, fmt.Errorf("scopes: %d entries, more than the maximum of %d", len(texts), registry.MaxScopes)
	default:
		if config.scopes, err = registry.ParseScopes(texts); err != nil {
			return config, err
		}
	}
	if keys != nil && *keys != (subsetKeys{}) {
		config.subset = subset.Settings{Size: keys.Size, Coverage: keys.Coverage, Fleet: fleet}
	}
	return config, nil
}

// check returns an error if a gateway with so many service registries cannot run with c.
func (c *scopesConfig) check(registries int) error {
	switch {
	case registries == 0 && len(c.scopes) > 0:
		return errors.New("scopes: only list services tell a part of the list; registries is missing")
	case registries == 0 && c.subset != subset.Settings{}:
		return errors.New("subset: it is chosen from what list services tell; registries is missing")
	}
	for _, scope := range c.scopes {
		if first := c.scopes[0].Service; scope.Service != first {
			return fmt.Errorf("scopes: services %q and %q: a gateway has no routes by service, so all scopes must name the same one", first, scope.Service)
		}
	}
	return c.subset.Check()
}

// checkReload returns an error if changing c to next requires a restart.
func (c *scopesConfig) checkReload(next *scopesConfig) error {
	switch {
	case (len(c.scopes) > 0) != (len(next.scopes) > 0):
		return errors.New("scopes: adding or removing the key requires a restart")
	case c.subset.Enabled() != next.subset.Enabled():
		return errors.New("subset: turning it on or off requires a restart")
	}
	return nil
}

// filterListing returns the part of a listing that is in the scopes, without changing listing.
func (c *scopesConfig) filterListing(listing Listing) Listing {
	if len(c.scopes) == 0 {
		return listing
	}
	outside := func(instance Instance) bool {
		return !slices.ContainsFunc(c.scopes, func(scope registry.Scope) bool { return scope.Matches(instance) })
	}
	listing.Instances = slices.DeleteFunc(slices.Clone(listing.Instances), outside)
	return listing
}

// scopeChange replaces the active scopes by the next ones. Both are read until a service registry
// knows one of the next scopes, so that a misspelt name in a configuration leaves the gateway with
// the backends that it had.
type scopeChange struct {
	mu     sync.Mutex
	active []registry.Scope
	next   []registry.Scope // nil: no change is pending
}

// begin starts a change, replacing a pending one, and returns the scopes to read.
func (c *scopeChange) begin(next []registry.Scope) []registry.Scope {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next = next
	return c.activeAndNext()
}

// activeAndNext returns the active and the next scopes. The caller must hold the lock.
func (c *scopeChange) activeAndNext() []registry.Scope { return slices.Concat(c.active, c.next) }

// handleAnswer completes the change if an answer for scopes knows one of the next scopes; unknown
// holds those that it does not know. It returns the scopes to read, and whether they have changed.
func (c *scopeChange) handleAnswer(scopes *registry.ScopeSet, unknown []registry.Scope) ([]registry.Scope, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next == nil {
		return nil, false
	}
	requested, err := registry.NewScopeSet(c.activeAndNext())
	if err != nil || requested.ID() != scopes.ID() {
		return nil, false // answers an earlier request
	}
	known := func(scope registry.Scope) bool { return !slices.Contains(unknown, scope) }
	if !slices.ContainsFunc(c.next, known) {
		slog.Warn("scopes in force stay, as no list service knows the new ones")
		return nil, false
	}
	c.active, c.next = c.next, nil
	return c.active, true
}

// unknownScopes logs the scopes that no service registry knows, once for each change.
type unknownScopes struct{ last []registry.Scope }

func (u *unknownScopes) logChange(unknown []registry.Scope) {
	if slices.Equal(u.last, unknown) {
		return
	}
	u.last = slices.Clone(unknown)
	var texts []string
	for _, scope := range unknown {
		texts = append(texts, scope.String())
	}
	slog.Warn("scopes that list services do not know", "scopes", texts)
}

// subsetMetrics describes the current subset: backends to choose from, target size, backends
// chosen, and how often the size was doubled.
type subsetMetrics struct{ candidates, size, chosen, widened atomic.Int64 }

// write writes the metrics, one per line, and nothing if m is nil.
func (m *subsetMetrics) write(w io.Writer) {
	if m == nil {
		return
	}
	for _, metric := range []struct {
		name  string
		value *atomic.Int64
	}{{"candidates", &m.candidates}, {"size", &m.size}, {"chosen", &m.chosen}, {"widened", &m.widened}} {
		fmt.Fprintf(w, "app.subset.%s:%d|g\n", metric.name, metric.value.Load())
	}
}

// backendSubset chooses the backends that this gateway uses. Only the loop may call it. A nil
// *backendSubset stands for all backends.
type backendSubset struct {
	selector           *subset.Selector
	settings           subset.Settings
	metrics            *subsetMetrics
	hasList            bool // a service registry has sent a list
	widened            int  // as last logged
	gatewaysPerBackend int  // average, as last passed to the module
}

func newBackendSubset(name string, settings subset.Settings, metrics *subsetMetrics) *backendSubset {
	if !settings.Enabled() {
		return nil
	}
	return &backendSubset{selector: subset.New(name, settings), settings: settings, metrics: metrics}
}

// apply updates the backends to choose from and returns the changes of the subset. now is in
// seconds on the module's clock.
func (s *backendSubset) apply(now float64, listing Listing, kind rules.ListKind) Listing {
	s.hasList = s.hasList || kind != rules.CachedList
	if kind != rules.Delta {
		listing.Reset = true
	}
	return s.selector.Apply(seconds(now), listing)
}

// review reports the number of usable backends to the selector and returns the changes of the
// subset.
func (s *backendSubset) review(now float64, usable int) Listing {
	if !s.hasList {
		return Listing{} // a cached list stays as it is until a service registry answers
	}
	return s.selector.Report(seconds(now), usable)
}

// resize applies new settings and returns the changes of the subset.
func (s *backendSubset) resize(now float64, settings subset.Settings) Listing {
	s.settings = settings
	return s.selector.Resize(seconds(now), settings)
}

// updateMetrics updates the metrics and gatewaysPerBackend. It reports whether the latter has
// changed by more than a fraction of 1/sharingStepDivisor, so that the module needs the new value.
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
	gatewaysPerBackend := max(int(math.Round(float64(s.settings.Fleet)*float64(stats.Size)/float64(stats.Candidates))), 1)
	if difference := gatewaysPerBackend - s.gatewaysPerBackend; sharingStepDivisor*max(difference, -difference) <= s.gatewaysPerBackend {
		return false
	}
	s.gatewaysPerBackend = gatewaysPerBackend
	return true
}

// sharingStepDivisor limits how often the module gets new settings: the number of gateways that
// share a backend must change by more than one part in sharingStepDivisor.
const sharingStepDivisor = 10

// usableBackends returns the number of backends that may get requests now.
func (l *Loop) usableBackends() int {
	known, skipped := l.gateway.BackendCounts()
	return known - skipped
}

// activeSettings returns the active settings of the module, adjusted to the current subset and with
// the number by which the module knows the gateway's zone.
func (l *Loop) activeSettings() rules.Settings {
	settings := l.service.Settings
	settings.MaxCustomers, settings.MaxOutstanding, settings.MaxIdentities = l.plan.customers, l.plan.attempts, l.plan.identities
	settings.Zone = l.zones.numberAt(l.service.Zones, settings.Zone)
	if l.subset != nil {
		settings.GatewaysPerBackend = l.subset.gatewaysPerBackend
	}
	return settings
}

// receiveListing applies a list or its changes from discovery or a service registry.
func (l *Loop) receiveListing(update listUpdate) {
	if l.subset == nil {
		l.applyList(update.listing, update.kind)
		return
	}
	l.applySubset(l.subset.apply(l.clock.now(), update.listing, update.kind), update.kind)
}

// reviewSubset widens or narrows the subset according to the number of usable backends.
func (l *Loop) reviewSubset() {
	if changes := l.subset.review(l.clock.now(), l.usableBackends()); len(changes.Instances) > 0 {
		l.applySubset(changes, rules.Delta)
	}
}

// resizeSubset applies new settings of the subset.
func (l *Loop) resizeSubset(settings subset.Settings) {
	if l.subset != nil && settings != l.subset.settings {
		l.applySubset(l.subset.resize(l.clock.now(), settings), rules.Delta)
	}
}

// applySubset passes changes of the subset to the module, after the number of gateways per backend
// that belongs to them.
func (l *Loop) applySubset(changes Listing, kind rules.ListKind) {
	if l.subset.updateMetrics() {
		l.handle(rules.ApplySettings{Settings: l.activeSettings()})
	}
	for _, instance := range changes.Instances {
		if instance.Lifecycle == registry.Ready && l.offlineOutside[instance.ID] {
			l.addOffline(instance)
		}
	}
	l.applyList(changes, kind)
}

// overrideOutsideSubset keeps an operator override for a backend outside the subset, which the
// module does not know, until the backend enters the subset. It reports whether the gateway knows
// the backend.
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

func nameSet(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}

// addOffline adds a backend that an operator took offline to the module. It enters as draining,
// so that it gets no request before the module has the override.
func (l *Loop) addOffline(instance Instance) {
	delete(l.offlineOutside, instance.ID)
	instance.Lifecycle = registry.Terminating
	l.applyList(Listing{Instances: []Instance{instance}}, rules.Delta)
	l.applyOverride(instance.ID, true)
}
