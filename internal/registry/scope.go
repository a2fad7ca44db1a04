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

// MostScopes bounds the scopes of one set, whatever a service is configured to take.
const MaxScopes = 1 << 16

const (
	regionQualifier = "region="
	zoneQualifier   = "zone="
	scopeIDBytes    = 16 // of the hash that identifies a set
)

// Scope selects a part of the list: the instances of a service, all of them or those
// of one region or of one zone. Its text form is "checkout", "checkout@region=eu-1" or
// "checkout@zone=eu-1a".
type Scope struct {
	Service string
	Region  string // empty: any
	Zone    string // empty: any; set only where Region is not
}

// ParseScope reads the text form of a scope.
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

// ParseScopes reads the text forms of scopes.
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

// check reports what makes a scope invalid.
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

// String returns the text form.
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

// covers reports whether all that is in the other scope is in this one, wherever
// instances are.
func (s Scope) covers(other Scope) bool {
	return s == other || s.Service == other.Service && s.Region == "" && s.Zone == ""
}

func compareScopes(a, b Scope) int {
	return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.Region, b.Region), strings.Compare(a.Zone, b.Zone))
}

// Placement is what scopes select an instance by.
type Placement struct {
	Service string `json:"service,omitempty"`
	Region  string `json:"region,omitempty"`
	Zone    string `json:"zone,omitempty"`
}

func (i Instance) placement() Placement { return Placement{i.Service, i.Region, i.Zone} }

// check reports what makes a placement invalid.
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

// ScopeSet is a set of scopes in canonical form: sorted and without duplicates. It is
// not changed after it was made, so that several goroutines may use it. A nil set
// stands for the whole list.
type ScopeSet struct {
	scopes    []Scope
	byService map[string][]Scope // parts of scopes
	id        string
}

// NewScopeSet makes a set. An empty one is refused: it would be a reader of nothing.
func NewScopeSet(scopes []Scope) (*ScopeSet, error) {
	if len(scopes) == 0 {
		return nil, fmt.Errorf("scopes: there are none")
	}
	if len(scopes) > MaxScopes {
		return nil, fmt.Errorf("scopes: %d are more than %d", len(scopes), MaxScopes)
	}
	for _, scope := range scopes {
		if err := scope.check(); err != nil {
			return nil, err
		}
	}
	return newScopeSet(scopes), nil
}

// newScopeSet makes a set of valid scopes; nil of none.
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

// ID identifies the set by its content: equal sets have equal ids.
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

// Len is how many scopes there are.
func (s *ScopeSet) Len() int {
	if s == nil {
		return 0
	}
	return len(s.scopes)
}

// Matches reports whether an instance is in one of the scopes.
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

// meets reports whether one of the scopes is of one of the services.
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

// has reports whether a scope is one of the set.
func (s *ScopeSet) includes(scope Scope) bool {
	return s != nil && slices.Contains(s.byService[scope.Service], scope)
}

// same reports whether two sets have the same scopes.
func (s *ScopeSet) equal(other *ScopeSet) bool { return s.ID() == other.ID() }

// isServiceName reports whether a text can name a service.
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
