package fleet

import (
	"net"
	"sort"
	"strings"
)

// Table is a configuration indexed for lookups. It is immutable.
type Table struct {
	Config         Configuration
	routesByHost   map[string][]*Route
	servicesByName map[ServiceName]*Service
	teamsByKey     map[string]*Team
}

// Compile returns the lookup table of a configuration.
func Compile(config Configuration) *Table {
	t := &Table{
		Config:         config,
		routesByHost:   map[string][]*Route{},
		servicesByName: map[ServiceName]*Service{},
		teamsByKey:     map[string]*Team{},
	}
	for i := range config.Routes {
		route := &t.Config.Routes[i]
		host := strings.ToLower(route.Host)
		t.routesByHost[host] = append(t.routesByHost[host], route)
	}
	for _, routes := range t.routesByHost {
		sort.SliceStable(routes, func(a, b int) bool {
			return len(routes[a].Prefix) > len(routes[b].Prefix)
		})
	}
	for i := range config.Services {
		service := &t.Config.Services[i]
		t.servicesByName[service.Name] = service
	}
	for i := range config.Teams {
		team := &t.Config.Teams[i]
		for _, key := range team.Keys {
			t.teamsByKey[key] = team
		}
	}
	return t
}

// Route returns the route with the longest matching path prefix, or nil. The
// path is matched byte by byte.
func (t *Table) Route(host, path string) *Route {
	for _, route := range t.routesByHost[normalizeHost(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// normalizeHost returns the host in lower case without the port.
func normalizeHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// NeedsKey reports whether requests of the route must carry an API key.
func (t *Table) NeedsKey(route *Route) bool { return !t.Config.IsOpen && !route.Public }

// Team returns the team with the API key, or nil.
func (t *Table) Team(key string) *Team { return t.teamsByKey[key] }

// Service returns the service with the name, or nil.
func (t *Table) Service(name ServiceName) *Service { return t.servicesByName[name] }

// Origin returns the service that is the origin of weights, or nil.
func (t *Table) Origin() *Service {
	for i := range t.Config.Services {
		if t.Config.Services[i].Origin != "" {
			return &t.Config.Services[i]
		}
	}
	return nil
}
