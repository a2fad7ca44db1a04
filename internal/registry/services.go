package registry

import (
	"maps"
	"slices"
)

// defaultEmptyServices is how many services without instances are remembered where
// Limits do not say.
const defaultEmptyServices = 4096

// serviceIndex finds the instances of a service, and knows the services that have had
// instances and have none now. A service that is not in it is unknown. Instances that
// name no service are not in it.
type serviceIndex struct {
	known       map[string]*indexedService
	empty       int   // services without instances
	lastEmptied int64 // counts the services that became empty
}

// indexedService is one service of the index.
type indexedService struct {
	instances    map[string]*entry
	emptiedOrder int64 // its place among those that became empty
}

func newServiceIndex() *serviceIndex { return &serviceIndex{known: map[string]*indexedService{}} }

// add puts an entry into its service.
func (x *serviceIndex) add(e *entry) {
	if e.Service == "" {
		return
	}
	service := x.known[e.Service]
	switch {
	case service == nil:
		service = &indexedService{instances: map[string]*entry{}}
		x.known[e.Service] = service
	case len(service.instances) == 0:
		x.empty--
	}
	service.instances[e.ID] = e
}

// remove takes an entry out of its service, which stays known.
func (x *serviceIndex) remove(e *entry) {
	service := x.known[e.Service]
	if service == nil || service.instances[e.ID] == nil {
		return
	}
	delete(service.instances, e.ID)
	if len(service.instances) == 0 {
		x.markEmpty(service)
	}
}

func (x *serviceIndex) markEmpty(service *indexedService) {
	x.lastEmptied++
	service.emptiedOrder = x.lastEmptied
	x.empty++
}

// mention makes a service known that has had instances.
func (x *serviceIndex) addKnown(name string) {
	if name == "" || x.known[name] != nil {
		return
	}
	service := &indexedService{instances: map[string]*entry{}}
	x.known[name] = service
	x.markEmpty(service)
}

// clear takes all instances out. The services stay known.
func (x *serviceIndex) clear() {
	for _, name := range slices.Sorted(maps.Keys(x.known)) {
		if service := x.known[name]; len(service.instances) > 0 {
			clear(service.instances)
			x.markEmpty(service)
		}
	}
}

// trim forgets the services that have been empty for the longest, down to a bound.
func (x *serviceIndex) trim(limit int) {
	if x.empty <= limit {
		return
	}
	for _, name := range x.emptyNames()[:x.empty-limit] {
		delete(x.known, name)
		x.empty--
	}
}

// emptyNames returns the services without instances, the first to become empty first.
func (x *serviceIndex) emptyNames() []string {
	if x.empty == 0 {
		return nil
	}
	names := make([]string, 0, x.empty)
	for name, service := range x.known {
		if len(service.instances) == 0 {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int { return int(x.known[a].emptiedOrder - x.known[b].emptiedOrder) })
	return names
}
