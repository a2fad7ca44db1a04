package scale

import (
	"hash/fnv"
	"io"
	"slices"
	"time"

	"dunlintray/internal/registry"
)

// receivedUpdate records that a gateway received an update of the list.
type receivedUpdate struct {
	version    int64
	receivedAt int64 // Unix nanoseconds
}

// gatewayLife records the updates that a hollow gateway received between a start and the
// following stop.
type gatewayLife struct {
	updates []receivedUpdate
	endedAt int64 // Unix nanoseconds; 0: still running
}

// addLatencies adds to total the time from each change that gateway reads until gateway
// received it. changes must be sorted by version.
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

// sortChanges sorts changes by version.
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

// digest is the sum of the hashes of a set of instances; it does not depend on their order.
type digest uint64

func (d *digest) add(id string, lifecycle registry.Lifecycle) {
	hash := fnv.New64a()
	io.WriteString(hash, id)
	io.WriteString(hash, " ")
	io.WriteString(hash, string(lifecycle))
	*d += digest(hash.Sum64())
}

// listPart summarizes a part of the list.
type listPart struct {
	count  int
	digest digest
}

func (p *listPart) add(instance registry.Instance) {
	p.count++
	p.digest.add(instance.ID, instance.Lifecycle)
}

// listParts summarizes the writer's list as a whole and for each scope that a gateway can
// read.
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

// expectedView returns the view of a gateway that holds the writer's list. The gateway's
// scopes must be of different services, so that they do not overlap.
func (p *listParts) expectedView(gateway Gateway) View {
	sum := p.whole
	if len(gateway.Scopes) > 0 {
		sum = listPart{}
		for _, scope := range gateway.Scopes {
			part := p.scopes[scope]
			sum.count += part.count
			sum.digest += part.digest
		}
	}
	return View{Gateway: gateway.Number, Version: p.version, Count: sum.count, Digest: uint64(sum.digest)}
}
