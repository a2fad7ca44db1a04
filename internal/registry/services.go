package registry

import (
	"maps"
	"slices"
)

// defaultEmptyServices is the default of Limits.EmptyServices.
const defaultEmptyServices = 4096

// serviceIndex maps services to their instances and retains services whose instances have
// all gone. A service that is not in it is unknown. It does not contain instances without a
// service.
type serviceIndex struct {
	known       map[string]*indexedService
	empty       int   // number of services without instances
	lastEmptied int64 // emptiedOrder of the service that became empty last
}

// indexedService is one service of the index.
type indexedService struct {
	instances    map[string]*entry
	emptiedOrder int64 // position in the order in which services became empty
}

func newServiceIndex() *serviceIndex { return &serviceIndex{known: map[string]*indexedService{}} }

// add adds an entry to its service.
func (x *serviceIndex) add(added *entry) {
	if added.Service == "" {
		return
	}
	service := x.known[added.Service]
	switch {
	case service == nil:
		service = &indexedService{instances: map[string]*entry{}}
		x.known[added.Service] = service
	case len(service.instances) == 0:
		x.empty--
	}
	service.instances[added.ID] = added
}

// remove removes an entry from its service, which stays known.
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

// addKnown adds a service without instances if it is unknown.
func (x *serviceIndex) addKnown(name string) {
	if name == "" || x.known[name] != nil {
		return
	}
	service := &indexedService{instances: map[string]*entry{}}
	x.known[name] = service
	x.markEmpty(service)
}

// clear removes all instances. The services stay known.
func (x *serviceIndex) clear() {
	for _, name := range slices.Sorted(maps.Keys(x.known)) {
		if service := x.known[name]; len(service.instances) > 0 {
			clear(service.instances)
			x.markEmpty(service)
		}
	}
}

// trim removes the services that have been empty for longest until at most limit empty ones
// are left.
func (x *serviceIndex) trim(limit int) {
	if x.empty <= limit {
		return
	}
	for _, name := range x.emptyNames()[:x.empty-limit] {
		delete(x.known, name)
		x.empty--
	}
}

// emptyNames returns the services without instances in the order in which they became empty.
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
