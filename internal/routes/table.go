package routes

import (
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Table is a compiled document.
type Table struct {
	document Document
	hosts    map[string][]*Route
	services map[fleet.PoolName]*Service
	keys     map[string]*Tenant
	// longestResumable is the longest timeout of a route whose streams may be resumed.
	longestResumable time.Duration
	// resumableServices are the services of such routes, in order.
	resumableServices []fleet.PoolName
}

// Compile validates a document and compiles it for lookups.
func Compile(document Document) (*Table, error) {
	table := &Table{
		document: document,
		hosts:    make(map[string][]*Route),
		services: make(map[fleet.PoolName]*Service, len(document.Services)),
		keys:     make(map[string]*Tenant),
	}
	for index := range document.Services {
		service := &document.Services[index]
		table.services[service.Name] = service
	}
	for index := range document.Routes {
		route := &document.Routes[index]
		if err := table.checkRoute(route); err != nil {
			return nil, errors.Wrapf(err, "route %q", route.Name)
		}
		if route.Kind == Streaming && route.Resumable {
			table.longestResumable = max(table.longestResumable, route.Timeout)
			table.addResumable(route)
		}
		host := strings.ToLower(route.Host)
		table.hosts[host] = append(table.hosts[host], route)
	}
	for index := range document.Tenants {
		tenant := &document.Tenants[index]
		for _, key := range tenant.Keys {
			table.keys[key] = tenant
		}
	}
	return table, nil
}

func (t *Table) checkRoute(route *Route) error {
	if !strings.HasPrefix(route.Prefix, "/") {
		return errors.Errorf("prefix %q doesn't begin with a slash", route.Prefix)
	}
	if len(route.Split) == 0 {
		return errors.New("no service")
	}
	for _, share := range route.Split {
		if t.services[share.Service] == nil {
			return errors.Errorf("unknown service %q", share.Service)
		}
		if share.Weight < 0 {
			return errors.Errorf("negative weight %d", share.Weight)
		}
	}
	switch route.Kind {
	case Safe, Unsafe, Streaming:
		return nil
	default:
		return errors.Errorf("unknown kind %q", route.Kind)
	}
}

// Version returns the document's version.
func (t *Table) Version() fleet.Revision { return t.document.Version }

// addResumable adds the services of a route whose streams may be resumed.
func (t *Table) addResumable(route *Route) {
	for _, share := range route.Split {
		at, found := slices.BinarySearch(t.resumableServices, share.Service)
		if !found {
			t.resumableServices = slices.Insert(t.resumableServices, at, share.Service)
		}
	}
}

// ResumableRoutes returns the services of each route whose streams may be resumed, by host and prefix.
func (t *Table) ResumableRoutes() map[string]string {
	found := make(map[string]string)
	for host, listed := range t.hosts {
		for _, route := range listed {
			if route.Kind != Streaming || !route.Resumable {
				continue
			}
			names := make([]string, len(route.Split))
			for index, share := range route.Split {
				names[index] = string(share.Service)
			}
			slices.Sort(names)
			found[host+route.Prefix] = strings.Join(names, " ")
		}
	}
	return found
}

// ResumableServices returns the services whose streams may be resumed, in order.
func (t *Table) ResumableServices() []fleet.PoolName { return t.resumableServices }

// LongestResumable returns the longest timeout of a route whose streams may be resumed, 0 if none has
// one.
func (t *Table) LongestResumable() time.Duration { return t.longestResumable }

// Limits returns the limits on what callers may send.
func (t *Table) Limits() Limits { return t.document.Limits }

// Match returns the route of a host and raw path. The longest matching prefix wins. A port in the host
// is ignored.
func (t *Table) Match(host, path string) (*Route, bool) {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	var best *Route
	for _, route := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) && (best == nil || len(route.Prefix) > len(best.Prefix)) {
			best = route
		}
	}
	return best, best != nil
}

// Tenants returns all tenants. Callers must not modify the slice.
func (t *Table) Tenants() []Tenant { return t.document.Tenants }

// Tenant returns the tenant that a key belongs to.
func (t *Table) Tenant(key string) (*Tenant, bool) {
	tenant, found := t.keys[key]
	return tenant, found
}

// RequiresKey reports whether requests of routes that aren't public need a key.
func (t *Table) RequiresKey() bool { return len(t.document.Tenants) > 0 }

// Service returns a service by name.
func (t *Table) Service(name fleet.PoolName) (*Service, bool) {
	service, found := t.services[name]
	return service, found
}

// Stores returns the services that are KV cache stores.
func (t *Table) Stores() []*Service {
	var stores []*Service
	for index := range t.document.Services {
		if t.document.Services[index].Store != nil {
			stores = append(stores, &t.document.Services[index])
		}
	}
	return stores
}
