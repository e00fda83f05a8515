package tables

import (
	"errors"
	"fmt"
	"sort"
	"strings"

	"currantusher.dev/core"
)

// Config is the validated and indexed content of the tables at one revision.
// It is immutable and safe for concurrent use.
type Config struct {
	rows        Rows
	routes      map[core.RouteName]Route
	pools       map[core.PoolName]Pool
	groups      map[core.Group]core.PoolName
	dataCentres map[core.DataCentre]DataCentreRow
	teams       map[core.Team]TeamRow
}

// Compile validates every row and the references between rows. The error
// carries CodeInvalidRow or CodeDanglingJoin and lists every fault.
func Compile(rows Rows) (*Config, error) {
	if err := validateRows(rows); err != nil {
		return nil, core.Wrap(err, core.CodeInvalidRow, core.ExecutionNotRun, "revision %d", rows.Revision)
	}
	config := indexRows(rows)
	if err := config.checkPoolReferences(); err != nil {
		return nil, core.Wrap(err, core.CodeDanglingJoin, core.ExecutionNotRun, "revision %d", rows.Revision)
	}
	return config, nil
}

func indexRows(rows Rows) *Config {
	c := &Config{
		rows:        rows,
		routes:      make(map[core.RouteName]Route, len(rows.Routes)),
		pools:       make(map[core.PoolName]Pool, len(rows.Pools)),
		groups:      make(map[core.Group]core.PoolName, len(rows.Pools)),
		dataCentres: make(map[core.DataCentre]DataCentreRow, len(rows.DataCentres)),
		teams:       make(map[core.Team]TeamRow, len(rows.Teams)),
	}
	for _, route := range rows.Routes {
		c.routes[route.Name] = route
	}
	for _, pool := range rows.Pools {
		c.pools[pool.Name] = pool
		c.groups[pool.Group] = pool.Name
	}
	for _, dc := range rows.DataCentres {
		c.dataCentres[dc.Name] = dc
	}
	for _, team := range rows.Teams {
		c.teams[team.Name] = team
	}
	return c
}

func (c *Config) checkPoolReferences() error {
	var dangling []string
	for _, route := range c.rows.Routes {
		if _, ok := c.pools[route.Pool]; !ok {
			dangling = append(dangling, fmt.Sprintf("route %q refers to missing pool %q", route.Name, route.Pool))
		}
	}
	if len(dangling) == 0 {
		return nil
	}
	sort.Strings(dangling)
	return errors.New(strings.Join(dangling, "; "))
}

// Revision returns the revision from which the configuration was compiled.
func (c *Config) Revision() core.Revision { return c.rows.Revision }

// Rows returns the rows of the configuration. The caller must not modify them.
func (c *Config) Rows() Rows { return c.rows }

// Route returns the route with this name, and whether it exists.
func (c *Config) Route(name core.RouteName) (Route, bool) {
	route, ok := c.routes[name]
	return route, ok
}

// Pool returns the pool with this name, and whether it exists.
func (c *Config) Pool(name core.PoolName) (Pool, bool) {
	pool, ok := c.pools[name]
	return pool, ok
}

// PoolOf returns the pool that consists of the instances of a group, and
// whether there is one.
func (c *Config) PoolOf(group core.Group) (Pool, bool) {
	name, ok := c.groups[group]
	if !ok {
		return Pool{}, false
	}
	return c.Pool(name)
}

// DataCentre returns the row of a data centre, and whether it exists.
func (c *Config) DataCentre(name core.DataCentre) (DataCentreRow, bool) {
	row, ok := c.dataCentres[name]
	return row, ok
}

// IsOut reports whether operators have taken the data centre out of service.
// It returns false for an unknown data centre.
func (c *Config) IsOut(name core.DataCentre) bool {
	return c.dataCentres[name].State == DataCentreOut
}

// Team returns the row of a team, and whether it exists.
func (c *Config) Team(name core.Team) (TeamRow, bool) {
	team, ok := c.teams[name]
	return team, ok
}
