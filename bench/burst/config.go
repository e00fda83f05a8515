// Package burst measures the rollout of one version of weights to a fleet. All
// agents run in one process, each with its own endpoint on loopback. The
// bandwidth of links is limited in software.
package burst

import (
	"fmt"
	"time"
)

// Strategy is a way to distribute weights.
type Strategy string

// Strategies.
const (
	// Swarm uses the strategy of package weights/swarm.
	Swarm Strategy = "swarm"
	// OriginOnly lets every agent fetch everything from the origin.
	OriginOnly Strategy = "origin-only"
	// Chain lets each agent fetch only from its predecessor in its region.
	Chain Strategy = "chain"
	// OneFetcher is Swarm with at most one agent of each region that fetches from
	// the origin at a time.
	OneFetcher Strategy = "one-fetcher"
)

const (
	kib = 1 << 10
	mib = 1 << 20
)

// Config describes one run. Zero values take defaults.
type Config struct {
	Strategy Strategy
	Agents   int
	Regions  int
	// WeightsBytes is the size of the weights and ChunkBytes that of a chunk.
	WeightsBytes int
	ChunkBytes   int
	// InstanceBytesPerSecond is the bandwidth of the link of an instance in each
	// direction, OriginBytesPerSecond that of the link of the origin,
	// RegionBytesPerSecond that between a region and all other regions in each
	// direction, and WeightStoreBytesPerSecond that of the weight store.
	InstanceBytesPerSecond    int
	OriginBytesPerSecond      int
	RegionBytesPerSecond      int
	WeightStoreBytesPerSecond int
	// Trackers is the number of trackers.
	Trackers int
	// Peers bounds the near peers of an agent; 0 means the default of
	// weights/swarm.
	Peers int
	// Fetchers bounds the agents of a region that fetch from the origin at the
	// same time; 0 means the default of weights/tracker.
	Fetchers int
	// Seed determines the content and all random choices.
	Seed    uint64
	Timeout time.Duration
}

func (c *Config) applyDefaults() error {
	if c.Strategy == "" {
		c.Strategy = Swarm
	}
	switch c.Strategy {
	case Swarm, OriginOnly, Chain, OneFetcher:
	default:
		return fmt.Errorf("strategy %q: want swarm, origin-only, chain or one-fetcher", c.Strategy)
	}
	if c.Strategy == OneFetcher {
		c.Fetchers = 1
	}
	setDefault(&c.Agents, 50)
	setDefault(&c.Regions, 3)
	setDefault(&c.WeightsBytes, 2*mib)
	setDefault(&c.ChunkBytes, 16*kib)
	setDefault(&c.InstanceBytesPerSecond, 64*kib)
	setDefault(&c.OriginBytesPerSecond, 4*c.InstanceBytesPerSecond)
	setDefault(&c.RegionBytesPerSecond, 2*c.InstanceBytesPerSecond)
	setDefault(&c.WeightStoreBytesPerSecond, c.InstanceBytesPerSecond)
	setDefault(&c.Trackers, 3)
	setDefault(&c.Seed, 1)
	setDefault(&c.Timeout, 30*time.Minute)
	if c.Agents < 0 || c.Regions < 0 || c.WeightsBytes < 0 || c.ChunkBytes < 0 || c.Trackers < 0 || c.Peers < 0 {
		return fmt.Errorf("burst: counts and sizes must not be negative: %+v", *c)
	}
	return nil
}

func setDefault[T int | uint64 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
