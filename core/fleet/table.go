package fleet

import (
	"net"
	"sort"
	"strings"
)

// Table is a configuration compiled for lookups. It is immutable.
type Table struct {
	Config   Configuration
	byHost   map[string][]*Route
	services map[ServiceName]*Service
	teams    map[string]*Team
}

// Compile returns the lookup form of a configuration.
func Compile(config Configuration) *Table {
	t := &Table{
		Config:   config,
		byHost:   map[string][]*Route{},
		services: map[ServiceName]*Service{},
		teams:    map[string]*Team{},
	}
	for i := range config.Routes {
		route := &t.Config.Routes[i]
		host := strings.ToLower(route.Host)
		t.byHost[host] = append(t.byHost[host], route)
	}
	for _, routes := range t.byHost {
		sort.SliceStable(routes, func(a, b int) bool {
			return len(routes[a].Prefix) > len(routes[b].Prefix)
		})
	}
	for i := range config.Services {
		service := &t.Config.Services[i]
		t.services[service.Name] = service
	}
	for i := range config.Teams {
		team := &t.Config.Teams[i]
		for _, key := range team.Keys {
			t.teams[key] = team
		}
	}
	return t
}

// Route returns the route of a request, or nil. path is compared byte by byte.
func (t *Table) Route(host, path string) *Route {
	for _, route := range t.byHost[hostName(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// hostName returns the lower-case host without a port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// NeedsKey reports whether requests of the route must carry a key.
func (t *Table) NeedsKey(route *Route) bool { return len(t.Config.Teams) > 0 && !route.Public }

// Team returns the team that holds the key, or nil.
func (t *Table) Team(key string) *Team { return t.teams[key] }

// Service returns a service by name, or nil.
func (t *Table) Service(name ServiceName) *Service { return t.services[name] }

// Origin returns the service that is the origin of weights, or nil.
func (t *Table) Origin() *Service {
	for i := range t.Config.Services {
		if t.Config.Services[i].Origin != "" {
			return &t.Config.Services[i]
		}
	}
	return nil
}
