// Package tables holds the configuration tables: their rows, the join that
// compiles them into one immutable Config, accepted edits, and how revisions
// spread to all daemons.
package tables

import (
	"currantusher.dev/core"
)

// Route sends one kind of request to a pool.
type Route struct {
	Name core.RouteName `json:"name" cbor:"1,keyasint"`
	Pool core.PoolName  `json:"pool" cbor:"2,keyasint"`
	// AtMostOnce marks requests that may not be repeated. Callers must give an
	// Idempotency-Key.
	AtMostOnce bool `json:"at_most_once" cbor:"3,keyasint"`
	// Path is the HTTP path at the backend server. "" means "/v1/generate".
	Path string `json:"path,omitempty" cbor:"4,keyasint"`
	// DeadlineMillis is the deadline of requests that give none, and the
	// longest that a caller may ask for, in milliseconds.
	DeadlineMillis int64 `json:"deadline_millis,omitempty" cbor:"5,keyasint"`
	// ObjectiveMillis is the latency objective (first byte), in milliseconds.
	ObjectiveMillis int64 `json:"objective_millis,omitempty" cbor:"6,keyasint"`
	// ObjectiveRatio is the fraction of requests that must meet the objective,
	// such as 0.95.
	ObjectiveRatio float64 `json:"objective_ratio,omitempty" cbor:"7,keyasint"`
}

// PoolKind tells model engines from plain services.
type PoolKind string

const (
	// PoolEngine is a pool of model engines, which carry weights.
	PoolEngine PoolKind = "engine"
	// PoolService is a pool of plain services, which carry none.
	PoolService PoolKind = "service"
)

// Limits bound the work that one backend server of a pool runs at once.
type Limits struct {
	// ColdRequests bounds running requests in cold start.
	ColdRequests int `json:"cold_requests" cbor:"1,keyasint"`
	// WarmRequests bounds running requests once warm.
	WarmRequests int `json:"warm_requests" cbor:"2,keyasint"`
	// WarmTokens bounds the sum of running requests' token limits once warm.
	// 0 means no bound.
	WarmTokens int `json:"warm_tokens,omitempty" cbor:"3,keyasint"`
}

// Pool is a set of instances carrying one model: all instances whose group is
// Group.
type Pool struct {
	Name  core.PoolName `json:"name" cbor:"1,keyasint"`
	Group core.Group    `json:"group" cbor:"2,keyasint"`
	Kind  PoolKind      `json:"kind" cbor:"3,keyasint"`
	// Weights is the root digest of the pinned version; zero for services and
	// for engine pools that have no version yet.
	Weights core.Digest `json:"weights,omitzero" cbor:"4,keyasint"`
	Limits  Limits      `json:"limits" cbor:"5,keyasint"`
	// MaxUnavailable bounds the instances that activate a version at once.
	MaxUnavailable int `json:"max_unavailable,omitempty" cbor:"6,keyasint"`
}

// DataCentreState says whether a data centre may start new work.
type DataCentreState string

const (
	// DataCentreIn may start new work.
	DataCentreIn DataCentreState = "in"
	// DataCentreOut may not.
	DataCentreOut DataCentreState = "out"
)

// DataCentreRow is one row of the data-centre table.
type DataCentreRow struct {
	Name   core.DataCentre `json:"name" cbor:"1,keyasint"`
	Region core.Region     `json:"region" cbor:"2,keyasint"`
	State  DataCentreState `json:"state" cbor:"3,keyasint"`
}

// TeamRow is one row of the team table.
type TeamRow struct {
	Name core.Team `json:"name" cbor:"1,keyasint"`
	// Weight is the team's share relative to other teams; at least 1.
	Weight int `json:"weight" cbor:"2,keyasint"`
}

// Rows is the whole content of the configuration tables at one revision.
type Rows struct {
	Revision    core.Revision   `json:"revision" cbor:"1,keyasint"`
	Routes      []Route         `json:"routes" cbor:"2,keyasint"`
	Pools       []Pool          `json:"pools" cbor:"3,keyasint"`
	DataCentres []DataCentreRow `json:"data_centres" cbor:"4,keyasint"`
	Teams       []TeamRow       `json:"teams" cbor:"5,keyasint"`
}
