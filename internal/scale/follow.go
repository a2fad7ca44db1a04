package scale

import (
	"hash/fnv"
	"io"
	"slices"
	"time"

	"dunlintray/internal/registry"
)

// update is one answer that told a gateway something new.
type receivedUpdate struct {
	version    int64
	receivedAt int64 // Unix nanoseconds
}

// life is what one process of a hollow gateway was told, from its first list to its end.
type gatewayLife struct {
	updates []receivedUpdate
	endedAt int64 // Unix nanoseconds; 0: it goes on
}

// latency counts how long changes took from their answer to a gateway that reads a part
// of the list. The changes are in the order of their versions.
func (l *gatewayLife) addLatencies(gateway Gateway, changes []Change, total *Latency) {
	if len(l.updates) == 0 {
		return
	}
	index := 0
	for _, change := range changes {
		backend := Backend{Place{Number: change.Backend, Zone: change.Zone, Region: change.Region}, change.Service}
		if change.Version <= l.updates[0].version || !gateway.Reads(backend) || l.endedAt != 0 && change.AnsweredAt >= l.endedAt {
			continue
		}
		for index < len(l.updates) && l.updates[index].version < change.Version {
			index++
		}
		switch {
		case index < len(l.updates):
			total.add(max(0, time.Duration(l.updates[index].receivedAt-change.AnsweredAt)))
		case l.endedAt == 0:
			total.Missing++
		}
	}
}

// sortChanges orders changes by version.
func sortChanges(all []Change) {
	slices.SortFunc(all, func(a, b Change) int {
		switch {
		case a.Version < b.Version:
			return -1
		case a.Version > b.Version:
			return 1
		}
		return 0
	})
}

// digest is the sum over instances of a hash of each, so that their order is all one.
type digest uint64

func (d *digest) add(id string, lifecycle registry.Lifecycle) {
	hash := fnv.New64a()
	io.WriteString(hash, id)
	io.WriteString(hash, " ")
	io.WriteString(hash, string(lifecycle))
	*d += digest(hash.Sum64())
}

// share is a part of a list: how many instances, and their digest.
type listPart struct {
	count  int
	digest digest
}

func (s *listPart) add(instance registry.Instance) {
	s.count++
	s.digest.add(instance.ID, instance.Lifecycle)
}

// shares are the parts of the writer's list that gateways can read.
type listParts struct {
	version int64
	whole   listPart
	scopes  map[registry.Scope]listPart
}

func newListParts(list registry.Listing) *listParts {
	parts := &listParts{version: list.Generation, scopes: map[registry.Scope]listPart{}}
	for _, instance := range list.Instances {
		parts.whole.add(instance)
		for _, scope := range []registry.Scope{{Service: instance.Service}, {Service: instance.Service, Region: instance.Region}, {Service: instance.Service, Zone: instance.Zone}} {
			part := parts.scopes[scope]
			part.add(instance)
			parts.scopes[scope] = part
		}
	}
	return parts
}

// of is what a gateway holds that has the writer's list. Its scopes are of different
// services, so that none has a part of another.
func (s *listParts) expectedView(gateway Gateway) View {
	sum := s.whole
	if len(gateway.Scopes) > 0 {
		sum = listPart{}
		for _, scope := range gateway.Scopes {
			part := s.scopes[scope]
			sum.count += part.count
			sum.digest += part.digest
		}
	}
	return View{Gateway: gateway.Number, Version: s.version, Count: sum.count, Digest: uint64(sum.digest)}
}
