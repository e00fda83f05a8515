// Package tables defines the rows of the configuration tables and compiles them
// into an immutable Config. Its subpackages accept edits and distribute
// revisions to all daemons.
package tables

import (
	"currantusher.dev/core"
)

// Route sends one kind of request to a pool.
type Route struct {
	Name core.RouteName `json:"name" cbor:"1,keyasint"`
	Pool core.PoolName  `json:"pool" cbor:"2,keyasint"`
	// AtMostOnce marks requests that must not be executed twice. Callers must
	// send an Idempotency-Key.
	AtMostOnce bool `json:"at_most_once" cbor:"3,keyasint"`
	// Path is the HTTP path at the backend server. "" means "/v1/generate".
	Path string `json:"path,omitempty" cbor:"4,keyasint"`
	// DeadlineMillis is both the default and the maximum deadline of a
	// request, in milliseconds.
	DeadlineMillis int64 `json:"deadline_millis,omitempty" cbor:"5,keyasint"`
	// ObjectiveMillis is the objective for the time to the first byte, in
	// milliseconds.
	ObjectiveMillis int64 `json:"objective_millis,omitempty" cbor:"6,keyasint"`
	// ObjectiveRatio is the fraction of requests that must meet the objective,
	// such as 0.95.
	ObjectiveRatio float64 `json:"objective_ratio,omitempty" cbor:"7,keyasint"`
}

// PoolKind is the kind of the backend servers of a pool.
type PoolKind string

const (
	// PoolEngine is a pool of model engines, which load weights.
	PoolEngine PoolKind = "engine"
	// PoolService is a pool of services without weights.
	PoolService PoolKind = "service"
)

// Limits bound the concurrent requests of each backend server of a pool.
type Limits struct {
	// ColdRequests bounds concurrent requests during cold start.
	ColdRequests int `json:"cold_requests" cbor:"1,keyasint"`
	// WarmRequests bounds concurrent requests after cold start.
	WarmRequests int `json:"warm_requests" cbor:"2,keyasint"`
	// WarmTokens bounds the sum of the token limits of concurrent requests
	// after cold start. 0 means no bound.
	WarmTokens int `json:"warm_tokens,omitempty" cbor:"3,keyasint"`
}

// Pool is a group of instances with one model: all instances whose group is
// Group.
type Pool struct {
	Name  core.PoolName `json:"name" cbor:"1,keyasint"`
	Group core.Group    `json:"group" cbor:"2,keyasint"`
	Kind  PoolKind      `json:"kind" cbor:"3,keyasint"`
	// Weights is the root digest of the configured weights version. It is zero
	// for services and for engine pools without a version yet.
	Weights core.Digest `json:"weights,omitzero" cbor:"4,keyasint"`
	Limits  Limits      `json:"limits" cbor:"5,keyasint"`
	// MaxUnavailable bounds the number of instances that activate a version
	// concurrently.
	MaxUnavailable int `json:"max_unavailable,omitempty" cbor:"6,keyasint"`
}

// DataCentreState says whether a data centre may start new work.
type DataCentreState string

const (
	// DataCentreIn means that the data centre may start new work.
	DataCentreIn DataCentreState = "in"
	// DataCentreOut means that the data centre must not start new work.
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
	// Weight is the team's share of capacity relative to other teams; at
	// least 1.
	Weight int `json:"weight" cbor:"2,keyasint"`
}

// Rows is the entire content of the configuration tables at one revision.
type Rows struct {
	Revision    core.Revision   `json:"revision" cbor:"1,keyasint"`
	Routes      []Route         `json:"routes" cbor:"2,keyasint"`
	Pools       []Pool          `json:"pools" cbor:"3,keyasint"`
	DataCentres []DataCentreRow `json:"data_centres" cbor:"4,keyasint"`
	Teams       []TeamRow       `json:"teams" cbor:"5,keyasint"`
}
