package registry

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"slices"
	"strings"
)

// MaxScopes is the maximum number of scopes in a set, regardless of configured limits.
const MaxScopes = 1 << 16

const (
	regionQualifier = "region="
	zoneQualifier   = "zone="
	scopeIDBytes    = 16 // length of the hash that identifies a set
)

// Scope selects the instances of a service: all of them, or those of one region or zone.
// Its text form is "checkout", "checkout@region=eu-1" or "checkout@zone=eu-1a".
type Scope struct {
	Service string
	Region  string // empty: any
	Zone    string // empty: any; must be empty if Region is set
}

// ParseScope parses the text form of a scope and validates it.
func ParseScope(text string) (Scope, error) {
	service, qualifier, qualified := strings.Cut(text, "@")
	scope := Scope{Service: service}
	if qualified {
		region, isRegion := strings.CutPrefix(qualifier, regionQualifier)
		zone, isZone := strings.CutPrefix(qualifier, zoneQualifier)
		switch {
		case isRegion && region != "":
			scope.Region = region
		case isZone && zone != "":
			scope.Zone = zone
		default:
			return Scope{}, fmt.Errorf("scope %.200q: %.80q is neither region=NAME nor zone=NAME", text, qualifier)
		}
	}
	if err := scope.check(); err != nil {
		return Scope{}, err
	}
	return scope, nil
}

// ParseScopes parses the text forms of scopes and validates them.
func ParseScopes(texts []string) ([]Scope, error) {
	scopes := make([]Scope, 0, len(texts))
	for _, text := range texts {
		scope, err := ParseScope(text)
		if err != nil {
			return nil, err
		}
		scopes = append(scopes, scope)
	}
	return scopes, nil
}

// check returns an error if the scope is invalid.
func (s Scope) check() error {
	switch {
	case !isServiceName(s.Service):
		return fmt.Errorf("scope: service %.80q is not 1 to %d characters of a-z, A-Z, 0-9, dot, dash and underscore", s.Service, maxNameBytes)
	case s.Region != "" && s.Zone != "":
		return fmt.Errorf("scope: %s has both a region and a zone", s.Service)
	case s.Region != "" && !isName(s.Region):
		return fmt.Errorf("scope: region %.80q is not a name of 1 to %d bytes", s.Region, maxNameBytes)
	case s.Zone != "" && !isName(s.Zone):
		return fmt.Errorf("scope: zone %.80q is not a name of 1 to %d bytes", s.Zone, maxNameBytes)
	}
	return nil
}

// String returns the text form of the scope.
func (s Scope) String() string {
	switch {
	case s.Region != "":
		return s.Service + "@" + regionQualifier + s.Region
	case s.Zone != "":
		return s.Service + "@" + zoneQualifier + s.Zone
	}
	return s.Service
}

// Matches reports whether an instance is in the scope.
func (s Scope) Matches(i Instance) bool { return s.contains(i.placement()) }

func (s Scope) contains(p Placement) bool {
	return s.Service != "" && s.Service == p.Service && (s.Region == "" || s.Region == p.Region) && (s.Zone == "" || s.Zone == p.Zone)
}

// covers reports whether this scope includes every possible instance of the other.
func (s Scope) covers(other Scope) bool {
	return s == other || s.Service == other.Service && s.Region == "" && s.Zone == ""
}

func compareScopes(a, b Scope) int {
	return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.Region, b.Region), strings.Compare(a.Zone, b.Zone))
}

// Placement holds the fields by which scopes select an instance.
type Placement struct {
	Service string `json:"service,omitempty"`
	Region  string `json:"region,omitempty"`
	Zone    string `json:"zone,omitempty"`
}

func (i Instance) placement() Placement { return Placement{i.Service, i.Region, i.Zone} }

// check returns an error if the placement is invalid.
func (p Placement) check() error {
	switch {
	case !isServiceName(p.Service):
		return fmt.Errorf("service: %.80q is not 1 to %d characters of a-z, A-Z, 0-9, dot, dash and underscore", p.Service, maxNameBytes)
	case p.Region != "" && !isName(p.Region):
		return fmt.Errorf("region: %.80q is not a name of 1 to %d bytes", p.Region, maxNameBytes)
	case !isName(p.Zone):
		return fmt.Errorf("zone: %.80q is not a name of 1 to %d bytes", p.Zone, maxNameBytes)
	}
	return nil
}

// ScopeSet is an immutable set of scopes in canonical form: sorted and without duplicates.
// It is safe for concurrent use. A nil set stands for the full list.
type ScopeSet struct {
	scopes    []Scope
	byService map[string][]Scope // subslices of scopes
	id        string
}

// NewScopeSet returns the set of some scopes. It returns an error if there are none, more
// than MaxScopes, or an invalid one.
func NewScopeSet(scopes []Scope) (*ScopeSet, error) {
	if len(scopes) == 0 {
		return nil, fmt.Errorf("scopes: the set is empty")
	}
	if len(scopes) > MaxScopes {
		return nil, fmt.Errorf("scopes: %d exceed the maximum of %d", len(scopes), MaxScopes)
	}
	for _, scope := range scopes {
		if err := scope.check(); err != nil {
			return nil, err
		}
	}
	return newScopeSet(scopes), nil
}

// newScopeSet returns the set of some valid scopes, or nil if there are none.
func newScopeSet(scopes []Scope) *ScopeSet {
	if len(scopes) == 0 {
		return nil
	}
	sorted := slices.Clone(scopes)
	slices.SortFunc(sorted, compareScopes)
	set := &ScopeSet{scopes: slices.Compact(sorted), byService: map[string][]Scope{}}
	hash := sha256.New()
	first := 0
	for n, scope := range set.scopes {
		io.WriteString(hash, scope.String()+"\n")
		if scope.Service != set.scopes[first].Service {
			first = n
		}
		set.byService[scope.Service] = set.scopes[first : n+1]
	}
	set.id = hex.EncodeToString(hash.Sum(nil)[:scopeIDBytes])
	return set
}

// ID returns an identifier derived from the content: equal sets have equal ids. The id of a
// nil set is empty.
func (s *ScopeSet) ID() string {
	if s == nil {
		return ""
	}
	return s.id
}

// Scopes returns the scopes in canonical order.
func (s *ScopeSet) Scopes() []Scope {
	if s == nil {
		return nil
	}
	return slices.Clone(s.scopes)
}

// Strings returns the text forms in canonical order.
func (s *ScopeSet) Strings() []string {
	if s == nil {
		return nil
	}
	texts := make([]string, len(s.scopes))
	for n, scope := range s.scopes {
		texts[n] = scope.String()
	}
	return texts
}

// Len returns the number of scopes.
func (s *ScopeSet) Len() int {
	if s == nil {
		return 0
	}
	return len(s.scopes)
}

// Matches reports whether an instance is in one of the scopes. A nil set matches all.
func (s *ScopeSet) Matches(i Instance) bool { return s.contains(i.placement()) }

func (s *ScopeSet) contains(p Placement) bool {
	if s == nil {
		return true
	}
	for _, scope := range s.byService[p.Service] {
		if scope.contains(p) {
			return true
		}
	}
	return false
}

// covers reports whether one scope of the set covers another scope.
func (s *ScopeSet) covers(other Scope) bool {
	if s == nil {
		return true
	}
	return slices.ContainsFunc(s.byService[other.Service], func(scope Scope) bool { return scope.covers(other) })
}

// includesServiceOf reports whether a scope of the set belongs to one of the services.
func (s *ScopeSet) includesServiceOf(services map[string]bool) bool {
	if len(services) < len(s.byService) {
		for name := range services {
			if len(s.byService[name]) > 0 {
				return true
			}
		}
		return false
	}
	for name := range s.byService {
		if services[name] {
			return true
		}
	}
	return false
}

// includes reports whether a scope is an element of the set.
func (s *ScopeSet) includes(scope Scope) bool {
	return s != nil && slices.Contains(s.byService[scope.Service], scope)
}

// equal reports whether two sets have the same scopes.
func (s *ScopeSet) equal(other *ScopeSet) bool { return s.ID() == other.ID() }

// isServiceName reports whether s is a valid service name.
func isServiceName(s string) bool {
	if s == "" || len(s) > maxNameBytes {
		return false
	}
	for _, c := range []byte(s) {
		if !('a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || c == '-' || c == '_' || c == '.') {
			return false
		}
	}
	return true
}
