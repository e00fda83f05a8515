package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"currantusher.dev/bench/burst"
)

func benchCommand() *command {
	return &command{
		name:     "bench",
		usage:    "Runs experiments; each prints one JSON line per run.",
		children: []*command{benchBurstCommand(), benchServiceCommand(), benchSoakCommand()},
	}
}

const (
	kibibyte = 1 << 10
	mebibyte = 1 << 20
)

func benchBurstCommand() *command {
	var config burst.Config
	var strategy string
	var seed, runs int
	c := &command{name: "burst", usage: "Distributes one version of weights to many agents in this process; prints times and bytes."}
	c.settings.String(&strategy, "strategy", string(burst.Swarm), "swarm, chain, one-fetcher or origin-only")
	c.settings.Int(&config.Agents, "agents", 50, "number of agents")
	c.settings.Int(&config.Regions, "regions", 3, "number of regions")
	c.settings.Int(&config.WeightsBytes, "weights-size", 16*mebibyte, "size of the weights in bytes")
	c.settings.Int(&config.ChunkBytes, "chunk-bytes", 64*kibibyte, "chunk size in bytes")
	c.settings.Int(&config.InstanceBytesPerSecond, "machine-link", 2*mebibyte, "rate of an instance's link in each direction, in bytes per second")
	c.settings.Int(&config.OriginBytesPerSecond, "origin-link", 8*mebibyte, "rate of the origin's link, in bytes per second")
	c.settings.Int(&config.RegionBytesPerSecond, "region-link", 2500000, "rate of a region's link to other regions in each direction, in bytes per second")
	c.settings.Int(&seed, "seed", 1, "seed of the first run; later runs add 1")
	c.settings.Int(&runs, "runs", 1, "number of runs")
	c.settings.Duration(&config.Timeout, "limit", 5*time.Minute, "time limit of one run")
	c.run = func(ctx context.Context) error {
		config.Strategy = burst.Strategy(strategy)
		for run := range runs {
			config.Seed = uint64(seed + run)
			if err := runBurst(ctx, config); err != nil {
				return err
			}
		}
		return nil
	}
	return c
}

func runBurst(ctx context.Context, config burst.Config) error {
	result, err := burst.Run(ctx, config)
	if err != nil {
		return err
	}
	if err := json.NewEncoder(os.Stdout).Encode(result); err != nil {
		return err
	}
	if result.Complete < result.Agents {
		return fmt.Errorf("only %d of %d agents use the version after %s", result.Complete, result.Agents, config.Timeout)
	}
	return nil
}
