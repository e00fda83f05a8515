// Package load generates load on the system's HTTP API. Its callers look up
// entry addresses, honour Retry-After, check every answer completely and count
// the outcome of each request.
package load

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/tables"
)

const (
	defaultDeadline    = 10 * time.Second
	defaultGrace       = 2 * time.Second
	defaultMaxTokens   = 16
	defaultMaxInFlight = 2048
	defaultMaxAttempts = 64
)

// Route describes the requests sent on one route.
type Route struct {
	Name core.RouteName
	// Kind is the kind of backend server: a model engine or a plain service.
	Kind tables.PoolKind
	// AtMostOnce requests carry an Idempotency-Key.
	AtMostOnce bool
	// StreamRatio is the fraction of requests for a streamed answer.
	StreamRatio float64
	// Share is the route's weight in the random choice of routes.
	Share float64
}

// Team describes the requests sent for one team.
type Team struct {
	Name core.Team
	// Share is the team's weight in the random choice of teams.
	Share float64
}

// Config configures a run.
type Config struct {
	// Entries are the addresses (IP and port) of entries that are used for the
	// first lookup of addresses.
	Entries []string
	// DataCentres are the data centres of the callers; at least one.
	DataCentres []core.DataCentre
	Routes      []Route
	Teams       []Team
	// Rate is the number of requests started per second, independent of the
	// completion of earlier ones. 0 means that MaxInFlight callers each send one
	// request after the other.
	Rate float64
	// MaxInFlight bounds the requests in flight.
	MaxInFlight int
	// Deadline is the time allowed for one request from its first attempt, retries
	// included. A request without an answer Grace after its deadline is lost.
	Deadline time.Duration
	Grace    time.Duration
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
	MaxTokens   int
	Seed        int64
	// IsPublished reports whether a version of weights was ever published; nil
	// allows all.
	IsPublished func(core.Digest) bool
	// CountRuns returns how often the stand-ins started a request, by a run key
	// of package backend; nil leaves refusals unchecked.
	CountRuns func(key string) (int, error)
	// Client is the callers' HTTP client; nil creates one.
	Client *http.Client
}

func (c *Config) applyDefaults() {
	if c.MaxInFlight <= 0 {
		c.MaxInFlight = defaultMaxInFlight
	}
	if c.Deadline <= 0 {
		c.Deadline = defaultDeadline
	}
	if c.Grace <= 0 {
		c.Grace = defaultGrace
	}
	if c.MaxAttempts <= 0 {
		c.MaxAttempts = defaultMaxAttempts
	}
	if c.MaxTokens <= 0 {
		c.MaxTokens = defaultMaxTokens
	}
	if c.Client == nil {
		c.Client = newClient(c.MaxInFlight)
	}
}

func (c Config) validate() error {
	if len(c.Entries) == 0 {
		return errors.New("load: Entries is empty, want at least one address")
	}
	if len(c.DataCentres) == 0 {
		return errors.New("load: DataCentres is empty, want at least one")
	}
	if c.Rate < 0 {
		return fmt.Errorf("load: rate %v: want 0 or more", c.Rate)
	}
	var routeShares, teamShares float64
	for _, route := range c.Routes {
		routeShares += route.Share
	}
	for _, team := range c.Teams {
		teamShares += team.Share
	}
	if routeShares <= 0 || teamShares <= 0 {
		return errors.New("load: the sums of the shares of Routes and of Teams must be above 0")
	}
	return nil
}

func newClient(conns int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: conns,
		DisableCompression:  true,
	}}
}
