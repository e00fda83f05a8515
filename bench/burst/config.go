// Package burst measures how fast one version of weights reaches a fleet. All
// agents run in one process, each with its own endpoint on loopback; links are
// limited in software.
package burst

import (
	"fmt"
	"time"
)

// Strategy is a way to distribute weights.
type Strategy string

// Strategies.
const (
	// Swarm is the product's way.
	Swarm Strategy = "swarm"
	// OriginOnly lets every agent fetch everything from the origin.
	OriginOnly Strategy = "origin-only"
	// Chain lets each agent fetch from one predecessor of its region.
	Chain Strategy = "chain"
	// OneFetcher lets one agent of each region at a time fetch from the
	// origin.
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
	// InstanceBytesPerSecond is the rate of a machine's link each way, OriginRate that
	// of the origin's link, RegionRate that of a region's border each way and
	// StoreRate that of the weight store, in bytes a second.
	InstanceBytesPerSecond    int
	OriginBytesPerSecond      int
	RegionBytesPerSecond      int
	WeightStoreBytesPerSecond int
	// Trackers is the number of entries that track.
	Trackers int
	// Peers bounds the near peers of an agent; 0 means the product's default.
	Peers int
	// Fetchers bounds the agents of a region that draw from the origin at
	// once; 0 means the product's default.
	Fetchers int
	// Seed seeds the content and the random choices.
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
		return fmt.Errorf("burst: negative count in %+v", *c)
	}
	return nil
}

func setDefault[T int | uint64 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
