// Package registry is a service registry for backends. One writer keeps a versioned list
// of instances with leases; followers replicate it over its watch protocol, and gateways
// read it through Client.
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

// Path is the HTTP path for reading the list and, below it, for writing instances.
const Path = "/registry/instances"

// Response headers of a read.
const (
	HistoryHeader = "X-Registry-History" // name of the history that the versions belong to
	AgeHeader     = "X-Registry-Age-Ms"  // milliseconds since a follower last received an update from its writer
)

// Listing is a full list of instances or, if Reset is false, the changes since a version.
type Listing struct {
	Generation int64      `json:"generation"` // version of the list
	Reset      bool       `json:"reset"`      // Instances is the full list, not only changes
	Instances  []Instance `json:"instances"`

	// Unknown holds the requested scopes whose service is unknown. Only in answers to
	// scoped reads.
	Unknown []string `json:"unknown,omitempty"`
	// Moved holds the intermediate placements of instances. Only in changes to the full list.
	Moved []Moved `json:"moved,omitempty"`
	// EmptyServices names the known services without instances. Only in full lists.
	EmptyServices []string `json:"emptyServices,omitempty"`
}

// Moved lists the placements that an instance left within the changes of one answer.
// A follower keeps them to tell scoped readers at an intermediate version that the
// instance has left their scope.
type Moved struct {
	ID   string      `json:"instanceId"`
	From []Placement `json:"from"`
}

// Instance is one backend.
//
// Upgrade all registry processes, above all the members of a group, before the first
// instance registers with a Service or Region: builds without these fields reject records
// and registrations that have them, and their followers drop them. Readers of such builds
// ignore the fields.
type Instance struct {
	ID          string    `json:"instanceId"`
	HostPort    string    `json:"hostPort"`
	Zone        string    `json:"zone"`
	MachineType string    `json:"machineType"`
	Cell        int       `json:"cell"`
	Lifecycle   Lifecycle `json:"lifecycle"`
	Weight      float64   `json:"weight"`
	StartedAtMs int64     `json:"startedAtMs"`
	Drained     bool      `json:"drained,omitempty"` // only if Gone: it was draining; its process still drains if it registers again
	Service     string    `json:"service,omitempty"`
	Region      string    `json:"region,omitempty"`
}

// Lifecycle is the state of an instance in the list.
type Lifecycle string

// The lifecycles. A Terminating instance is draining. Gone appears only in changes.
const (
	Ready       Lifecycle = "Ready"
	Terminating Lifecycle = "Terminating"
	Gone        Lifecycle = "Gone"
)

func (l Lifecycle) known() bool { return l == Ready || l == Terminating || l == Gone }

const (
	maxIDBytes      = 64
	maxNameBytes    = 64 // of a zone, region, service or machine type
	maxCells        = 1 << 20
	maxWeight       = 1e6
	maxExactInteger = 1 << 53 // JSON readers represent integers up to this exactly
)

// check returns an error naming the first invalid field.
func (i Instance) check() error {
	if err := checkID(i.ID); err != nil {
		return err
	}
	address, err := netip.ParseAddrPort(i.HostPort)
	switch {
	case err != nil || address.Port() == 0:
		return fmt.Errorf("hostPort: %.80q is not a numeric address with a port", i.HostPort)
	case !isName(i.Zone):
		return fmt.Errorf("zone: %.80q is not a name of 1 to %d bytes", i.Zone, maxNameBytes)
	case !isName(i.MachineType):
		return fmt.Errorf("machineType: %.80q is not a name of 1 to %d bytes", i.MachineType, maxNameBytes)
	case i.Cell < 0 || i.Cell >= maxCells:
		return fmt.Errorf("cell: %d is not from 0 to %d", i.Cell, maxCells-1)
	case !i.Lifecycle.known():
		return fmt.Errorf("lifecycle: %.80q is not known", i.Lifecycle)
	case !(i.Weight >= 0 && i.Weight <= maxWeight) || math.IsNaN(i.Weight):
		return fmt.Errorf("weight: %g is not from 0 to %g", i.Weight, maxWeight)
	case i.StartedAtMs < 0 || i.StartedAtMs > maxExactInteger:
		return fmt.Errorf("startedAtMs: %d is out of range", i.StartedAtMs)
	case i.Drained && i.Lifecycle != Gone:
		return fmt.Errorf("drained: %s is %s, not Gone", i.ID, i.Lifecycle)
	case i.Service != "" && !isServiceName(i.Service):
		return fmt.Errorf("service: %.80q is not 1 to %d characters of a-z, A-Z, 0-9, dot, dash and underscore", i.Service, maxNameBytes)
	case i.Region != "" && !isName(i.Region):
		return fmt.Errorf("region: %.80q is not a name of 1 to %d bytes", i.Region, maxNameBytes)
	}
	return nil
}

func checkID(id string) error {
	if id == "" || len(id) > maxIDBytes {
		return fmt.Errorf("instanceId: length %d is not between 1 and %d bytes", len(id), maxIDBytes)
	}
	for _, c := range []byte(id) {
		if !('a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || c == '-' || c == '_' || c == '.' || c == ':') {
			return fmt.Errorf("instanceId: %q has a character other than letters, digits and any of '-_.:'", id)
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

// decode decodes a single JSON value. It rejects unknown fields and trailing data.
func decode(text []byte, value any) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return fmt.Errorf("invalid JSON: %w", err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return errors.New("invalid JSON: trailing data after the value")
	}
	return nil
}

// ParseListing decodes and validates a listing. On error it returns an empty Listing.
func ParseListing(text []byte) (Listing, error) {
	var listing Listing
	if err := json.Unmarshal(text, &listing); err != nil {
		return Listing{}, fmt.Errorf("list: %w", err)
	}
	if listing.Generation < 0 || listing.Generation > maxExactInteger {
		return Listing{}, fmt.Errorf("list: generation %d is not from 0 to %d", listing.Generation, int64(maxExactInteger))
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
		return Listing{}, errors.New("list: duplicate instance id")
	}
	if err := listing.checkScoped(); err != nil {
		return Listing{}, fmt.Errorf("list: %w", err)
	}
	return listing, nil
}

// checkScoped validates Unknown, Moved and EmptyServices.
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
			return fmt.Errorf("emptyServices: %.80q is not a valid service name", name)
		}
	}
	return nil
}
