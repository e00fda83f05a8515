// Package load is a set of callers of the system's HTTP API. They find entries
// as callers do, honour Retry-After, check every answer in full and count the
// outcome of each request.
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
	defaultOutstanding = 2048
	defaultMaxAttempts = 64
)

// Route is one kind of request.
type Route struct {
	Name core.RouteName
	// Kind says what answers: a model engine or a plain service.
	Kind tables.PoolKind
	// AtMostOnce requests carry an Idempotency-Key.
	AtMostOnce bool
	// StreamRatio is the fraction of requests that ask for a stream.
	StreamRatio float64
	// Share is the route's part of all requests, relative to other routes.
	Share float64
}

// Team is one customer.
type Team struct {
	Name core.Team
	// Share is the team's part of all requests, relative to other teams.
	Share float64
}

// Config sets up a run.
type Config struct {
	// Entries are addresses (IP and port) to ask first for more addresses.
	Entries []string
	// DataCentres are where the callers stand; at least one.
	DataCentres []core.DataCentre
	Routes      []Route
	Teams       []Team
	// Rate is the requests started a second, whatever becomes of earlier ones.
	// 0 means that Outstanding callers each send one after the other.
	Rate float64
	// Outstanding bounds the requests in flight.
	Outstanding int
	// Deadline is the time that a caller allows for one request, retries
	// included. A request without an answer Grace later is lost.
	Deadline time.Duration
	Grace    time.Duration
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
	MaxTokens   int
	Seed        int64
	// KnownWeights says whether a version was ever published; nil allows all.
	KnownWeights func(core.Digest) bool
	// Runs reads at the stand-ins how often a request started, by the keys of
	// package backend; nil leaves refusals unchecked.
	Runs func(key string) (int, error)
	// Client is the callers' HTTP client; nil means one of their own.
	Client *http.Client
}

func (c *Config) applyDefaults() {
	if c.Outstanding <= 0 {
		c.Outstanding = defaultOutstanding
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
		c.Client = newClient(c.Outstanding)
	}
}

func (c Config) validate() error {
	if len(c.Entries) == 0 {
		return errors.New("load: no entry address")
	}
	if len(c.DataCentres) == 0 {
		return errors.New("load: no data centre of callers")
	}
	if c.Rate < 0 {
		return fmt.Errorf("load: rate %v: want 0 or more", c.Rate)
	}
	var routes, teams float64
	for _, route := range c.Routes {
		routes += route.Share
	}
	for _, team := range c.Teams {
		teams += team.Share
	}
	if routes <= 0 || teams <= 0 {
		return errors.New("load: routes and teams need shares above 0")
	}
	return nil
}

func newClient(conns int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: conns,
		DisableCompression:  true,
	}}
}
