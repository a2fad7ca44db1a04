// Package registry is a list service for backends: one writer with a log of
// versions, followers that copy it by its own watch, and the client by which
// gateways and followers read it.
package registry

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/netip"
	"slices"
	"unicode"
)

// Path is where the list is read and instances are written.
const Path = "/registry/instances"

// Headers of answers that tell more than the list itself.
const (
	HistoryHeader = "X-Registry-History" // the name of the history that the versions belong to
	AgeHeader     = "X-Registry-Age-Ms"  // how long ago a follower last heard from its writer
)

// Listing is a list of instances, or the changes to one.
type Listing struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"` // all there are, not changes alone
	Instances  []Instance `json:"instances"`

	// Unknown are, of an answer to scopes, those whose service is not known.
	Unknown []string `json:"unknown,omitempty"`
	// Moved are, of changes to the whole list, where instances were meanwhile.
	Moved []Moved `json:"moved,omitempty"`
	// EmptyServices are, of the whole list, services that have had instances.
	EmptyServices []string `json:"emptyServices,omitempty"`
}

// Moved tells the placements that an instance left within the changes of one answer.
// A follower keeps them, so that its readers of a scope hear that the instance has left
// it, also those that come from a version between two of the follower's.
type Moved struct {
	ID   string      `json:"instanceId"`
	From []Placement `json:"from"`
}

// Instance is one backend.
//
// Danger: services of the build before Service and Region refuse records and
// registrations that have them, and followers of that build drop them from their copies.
// All list services, the members of a group above all, must be upgraded before the first
// instance registers with a service. Readers of the older build pass the fields over.
type Instance struct {
	ID          string    `json:"instanceId"`
	HostPort    string    `json:"hostPort"`
	Zone        string    `json:"zone"`
	MachineType string    `json:"machineType"`
	Cell        int       `json:"cell"`
	Lifecycle   Lifecycle `json:"lifecycle"`
	Weight      float64   `json:"weight"`
	StartedAtMs int64     `json:"startedAtMs"`
	Drained     bool      `json:"drained,omitempty"` // of one that is Gone: it was draining, and so is its process if it returns
	Service     string    `json:"service,omitempty"`
	Region      string    `json:"region,omitempty"`
}

// Lifecycle is what an instance does.
type Lifecycle string

// The lifecycles. Gone appears only among changes.
const (
	Ready       Lifecycle = "Ready"
	Terminating Lifecycle = "Terminating"
	Gone        Lifecycle = "Gone"
)

func (l Lifecycle) known() bool { return l == Ready || l == Terminating || l == Gone }

const (
	maxIDBytes      = 64      // bytes
	maxNameBytes    = 64      // of a zone or machine type
	maxCells        = 1 << 20 // cells are numbered below it
	maxWeight       = 1e6
	maxExactInteger = 1 << 53 // milliseconds that JSON readers keep exact
)

// check finds what an instance in a list can't be.
func (i Instance) check() error {
	if err := checkID(i.ID); err != nil {
		return err
	}
	address, err := netip.ParseAddrPort(i.HostPort)
	switch {
	case err != nil || address.Port() == 0:
		return fmt.Errorf("hostPort: %.80q is not a numeric address with a port", i.HostPort)
	case !isName(i.Zone):
		return fmt.Errorf("zone: %.80q is not a name of 1 to %d letters", i.Zone, maxNameBytes)
	case !isName(i.MachineType):
		return fmt.Errorf("machineType: %.80q is not a name of 1 to %d letters", i.MachineType, maxNameBytes)
	case i.Cell < 0 || i.Cell >= maxCells:
		return fmt.Errorf("cell: %d is out of range", i.Cell)
	case !i.Lifecycle.known():
		return fmt.Errorf("lifecycle: %.80q is not known", i.Lifecycle)
	case !(i.Weight >= 0 && i.Weight <= maxWeight) || math.IsNaN(i.Weight):
		return fmt.Errorf("weight: %g is out of range", i.Weight)
	case i.StartedAtMs < 0 || i.StartedAtMs > maxExactInteger:
		return fmt.Errorf("startedAtMs: %d is out of range", i.StartedAtMs)
	case i.Drained && i.Lifecycle != Gone:
		return fmt.Errorf("drained: %s is %s, not Gone", i.ID, i.Lifecycle)
	case i.Service != "" && !isServiceName(i.Service):
		return fmt.Errorf("service: %.80q is not 1 to %d characters of a-z, A-Z, 0-9, dot, dash and underscore", i.Service, maxNameBytes)
	case i.Region != "" && !isName(i.Region):
		return fmt.Errorf("region: %.80q is not a name of 1 to %d letters", i.Region, maxNameBytes)
	}
	return nil
}

func checkID(id string) error {
	if id == "" || len(id) > maxIDBytes {
		return fmt.Errorf("instanceId: %d bytes are none or too many", len(id))
	}
	for _, c := range []byte(id) {
		if !('a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || c == '-' || c == '_' || c == '.' || c == ':') {
			return fmt.Errorf("instanceId: %q is not of letters, digits and any of '-_.:'", id)
		}
	}
	return nil
}

func isName(s string) bool {
	if s == "" || len(s) > maxNameBytes {
		return false
	}
	for _, r := range s {
		if r == unicode.ReplacementChar || !unicode.IsPrint(r) {
			return false
		}
	}
	return true
}

// decode reads one JSON value, of known fields and with nothing behind it.
func decode(text []byte, value any) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return fmt.Errorf("not such a call: %w", err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return errors.New("not such a call: something stands behind it")
	}
	return nil
}

// ParseListing reads a list. One that can't be read whole is none.
func ParseListing(text []byte) (Listing, error) {
	var listing Listing
	if err := json.Unmarshal(text, &listing); err != nil {
		return Listing{}, fmt.Errorf("list: %w", err)
	}
	if listing.Generation < 0 || listing.Generation > maxExactInteger {
		return Listing{}, fmt.Errorf("list: generation %d is out of range", listing.Generation)
	}
	ids := make([]string, 0, len(listing.Instances))
	for _, instance := range listing.Instances {
		if err := instance.check(); err != nil {
			return Listing{}, fmt.Errorf("list: %w", err)
		}
		ids = append(ids, instance.ID)
	}
	slices.Sort(ids)
	if len(slices.Compact(ids)) != len(listing.Instances) {
		return Listing{}, errors.New("list: an instance stands there twice")
	}
	if err := listing.checkScoped(); err != nil {
		return Listing{}, fmt.Errorf("list: %w", err)
	}
	return listing, nil
}

// checkScoped reports what is wrong with the parts of a list that scopes need.
func (l Listing) checkScoped() error {
	if _, err := ParseScopes(l.Unknown); err != nil {
		return err
	}
	for _, moved := range l.Moved {
		if err := checkID(moved.ID); err != nil {
			return err
		}
		for _, from := range moved.From {
			if err := from.check(); err != nil {
				return err
			}
		}
	}
	for _, name := range l.EmptyServices {
		if !isServiceName(name) {
			return fmt.Errorf("emptyServices: %.80q is not the name of a service", name)
		}
	}
	return nil
}
