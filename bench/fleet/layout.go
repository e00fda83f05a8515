// Package fleet runs a complete deployment: stand-ins for the platform and for
// backend servers, the network between instances, and the daemons of the
// system, which are started by the caller's Hooks. All stand-ins run in the
// calling process.
package fleet

import (
	"errors"
	"fmt"
	"time"

	"currantusher.dev/api/oas"
	"currantusher.dev/bench/load"
	"currantusher.dev/core"
	"currantusher.dev/tables"
)

// DataCentre describes one data centre of a deployment.
type DataCentre struct {
	Name    core.DataCentre
	Region  core.Region
	Entries int
}

// Group describes a group of backend servers with its own pool and route.
type Group struct {
	Name          core.Group
	Route         core.RouteName
	Kind          tables.PoolKind
	PerDataCentre int
	AtMostOnce    bool
	// Path is the HTTP path of requests to plain services.
	Path string
	// RequestShare is the route's weight in the random choice of routes and
	// StreamRatio the fraction of its requests for a streamed answer.
	RequestShare float64
	StreamRatio  float64
	ColdLimit    int
	WarmLimit    int
}

// Layout describes the size and the settings of a deployment.
type Layout struct {
	DataCentres []DataCentre
	Groups      []Group
	Teams       []core.Team

	// Rates of links in bytes per second; 0 sets no limit.
	InstanceBytesPerSecond float64
	OriginBytesPerSecond   int
	RegionBytesPerSecond   float64
	// One-way delays between two data centres of one region, and between regions.
	DataCentreDelay time.Duration
	RegionDelay     time.Duration

	TokenDelay   time.Duration
	ServiceDelay time.Duration
	WarmUp       time.Duration
	// OutGrace is the time allowed until taking a data centre out is in force;
	// later starts in the data centre are counted as violations.
	OutGrace time.Duration
	// ChunkBytes is the chunk size of published versions.
	ChunkBytes int
	// MaxUnavailable bounds the engines that activate a version concurrently.
	MaxUnavailable   int
	Deadline         time.Duration
	LatencyObjective time.Duration
}

const (
	kibibyte = 1 << 10
	mebibyte = 1 << 20
	// regionBytesPerSecond is 20 Mbit/s.
	regionBytesPerSecond = 20e6 / 8
)

// SmallLayout returns a deployment with three data centres in three regions,
// seven entries, 36 backend servers and ten teams.
func SmallLayout() Layout {
	return Layout{
		DataCentres: []DataCentre{
			{Name: "bern-west", Region: "mittelland", Entries: 3},
			{Name: "lausanne-nord", Region: "romandie", Entries: 2},
			{Name: "lugano-sud", Region: "ticino", Entries: 2},
		},
		Groups: []Group{
			{Name: "label-llm", Route: "draft", Kind: tables.PoolEngine, PerDataCentre: 9, RequestShare: 8, StreamRatio: 0.5, ColdLimit: 2, WarmLimit: 8},
			{Name: "lot-registry", Route: "lot", Kind: tables.PoolService, PerDataCentre: 2, RequestShare: 2, AtMostOnce: true, Path: "/lots", ColdLimit: 2, WarmLimit: 16},
			{Name: "packhouse-portal", Route: "portal", Kind: tables.PoolService, PerDataCentre: 1, RequestShare: 1, Path: "/pages", ColdLimit: 2, WarmLimit: 16},
		},
		Teams:                  teamNames(10),
		InstanceBytesPerSecond: 2 * mebibyte,
		OriginBytesPerSecond:   8 * mebibyte,
		RegionBytesPerSecond:   regionBytesPerSecond,
		DataCentreDelay:        1500 * time.Microsecond,
		RegionDelay:            3 * time.Millisecond,
		TokenDelay:             5 * time.Millisecond,
		ServiceDelay:           5 * time.Millisecond,
		WarmUp:                 time.Second,
		OutGrace:               3 * time.Second,
		ChunkBytes:             64 * kibibyte,
		MaxUnavailable:         9,
		Deadline:               10 * time.Second,
		LatencyObjective:       460 * time.Millisecond,
	}
}

func teamNames(count int) []core.Team {
	names := make([]core.Team, 0, count)
	for i := range count {
		names = append(names, core.Team(fmt.Sprintf("team-%d", i+1)))
	}
	return names
}

func (l Layout) validate() error {
	if len(l.DataCentres) == 0 || len(l.Groups) == 0 || len(l.Teams) == 0 {
		return errors.New("fleet: layout needs at least one data centre, group and team")
	}
	entries := 0
	for _, dc := range l.DataCentres {
		entries += dc.Entries
	}
	if entries == 0 {
		return errors.New("fleet: layout has no entries, want at least one")
	}
	return nil
}

// Routes returns the routes as package load needs them.
func (l Layout) Routes() []load.Route {
	routes := make([]load.Route, 0, len(l.Groups))
	for _, group := range l.Groups {
		routes = append(routes, load.Route{
			Name:        group.Route,
			Kind:        group.Kind,
			AtMostOnce:  group.AtMostOnce,
			StreamRatio: group.StreamRatio,
			Share:       group.RequestShare,
		})
	}
	return routes
}

// DataCentreNames returns the names of the data centres in the order of the
// layout.
func (l Layout) DataCentreNames() []core.DataCentre {
	names := make([]core.DataCentre, 0, len(l.DataCentres))
	for _, dc := range l.DataCentres {
		names = append(names, dc.Name)
	}
	return names
}

// initialEdit returns the edit that sets the rows of all tables.
func (l Layout) initialEdit() *oas.Edit {
	edit := &oas.Edit{}
	for _, dc := range l.DataCentres {
		edit.SetDataCentres = append(edit.SetDataCentres, oas.DataCentre{
			Name: string(dc.Name), Region: string(dc.Region), State: oas.DataCentreStateIn,
		})
	}
	for _, team := range l.Teams {
		edit.SetTeams = append(edit.SetTeams, oas.Team{Name: string(team), Weight: 1})
	}
	for _, group := range l.Groups {
		edit.SetPools = append(edit.SetPools, l.poolRow(group, core.Digest{}))
		edit.SetRoutes = append(edit.SetRoutes, l.routeRow(group, group.Route))
	}
	return edit
}

func (l Layout) poolRow(group Group, weights core.Digest) oas.Pool {
	pool := oas.Pool{
		Name:           string(group.Name),
		Group:          string(group.Name),
		Kind:           oas.PoolKind(group.Kind),
		Limits:         oas.Limits{ColdRequests: group.ColdLimit, WarmRequests: group.WarmLimit},
		MaxUnavailable: oas.NewOptInt(l.MaxUnavailable),
	}
	if !weights.IsZero() {
		pool.Weights = oas.NewOptString(weights.String())
	}
	return pool
}

func (l Layout) routeRow(group Group, name core.RouteName) oas.RouteRow {
	row := oas.RouteRow{
		Name:            string(name),
		Pool:            string(group.Name),
		AtMostOnce:      oas.NewOptBool(group.AtMostOnce),
		DeadlineMillis:  oas.NewOptInt64(l.Deadline.Milliseconds()),
		ObjectiveMillis: oas.NewOptInt64(l.LatencyObjective.Milliseconds()),
		ObjectiveRatio:  oas.NewOptFloat64(latencyObjectiveRatio),
	}
	if group.Path != "" {
		row.Path = oas.NewOptString(group.Path)
	}
	return row
}

const latencyObjectiveRatio = 0.95
