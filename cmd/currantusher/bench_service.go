package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"currantusher.dev/bench/fleet"
	"currantusher.dev/bench/measure"
	"currantusher.dev/bench/scenario"
	"currantusher.dev/bench/serve"
	"currantusher.dev/bench/soak"
)

func benchService() *command {
	var config serve.Config
	var seed, size int
	var logLevel string
	c := &command{name: "service", usage: "Callers at a set rate while faults come at set times."}
	c.settings.Int(&seed, "seed", 1, "seed of the first run; later runs add 1")
	c.settings.Int(&config.Runs, "runs", 1, "runs")
	c.settings.Float(&config.Rate, "rate", 0, "requests a second; 0 follows the number of cores")
	c.settings.Duration(&config.Duration, "duration", 30*time.Second, "length of a run under load")
	c.settings.Int(&size, "weights-size", 8*mebibyte, "size of the weights in bytes")
	c.settings.Strings(&config.Faults, "fault", "NAME@TIME or NAME@TIME+LENGTH, repeated; names: "+faultNames())
	c.settings.String(&config.Plot, "plot", "", "file for a plot of the outcomes over time, .svg or .png")
	c.settings.String(&logLevel, "log-level", "error", "lowest level of the daemons' logs")
	c.run = func(ctx context.Context) error {
		hooks, err := localHooks(logLevel)
		if err != nil {
			return err
		}
		config.Layout = fleet.SmallLayout()
		config.Hooks = hooks
		config.Seed = int64(seed)
		config.WeightsBytes = int64(size)
		config.Log = printStderr
		encoder := json.NewEncoder(os.Stdout)
		return promiseError(serve.Run(ctx, config, func(r measure.Report) error { return encoder.Encode(r) }))
	}
	return c
}

func benchSoak() *command {
	var config soak.Config
	var seed, size int
	var faults []string
	var logLevel string
	c := &command{name: "soak", usage: "Random bursts, edits, data centre changes and faults under load; the seed replays them."}
	c.settings.Int(&seed, "seed", 1, "seed of all random choices")
	c.settings.Duration(&config.Duration, "duration", time.Minute, "length of the faults")
	c.settings.Duration(&config.ConvergeTimeout, "settle", time.Minute, "longest time to converge after the last fault")
	c.settings.Float(&config.Rate, "rate", 0, "requests a second; 0 follows the number of cores")
	c.settings.Int(&size, "weights-size", 4*mebibyte, "size of the weights in bytes")
	c.settings.Strings(&faults, "fault", "limit the faults to these names, repeated; names: "+faultNames())
	c.settings.String(&logLevel, "log-level", "error", "lowest level of the daemons' logs")
	c.run = func(ctx context.Context) error {
		hooks, err := localHooks(logLevel)
		if err != nil {
			return err
		}
		config.Layout = fleet.SmallLayout()
		config.Hooks = hooks
		config.Seed = int64(seed)
		config.WeightsBytes = int64(size)
		config.Faults = faults
		config.Log = printStderr
		measures, _, err := soak.Run(ctx, config)
		return errors.Join(json.NewEncoder(os.Stdout).Encode(measures), promiseError(err))
	}
	return c
}

func faultNames() string {
	return strings.Join(scenario.FaultNames(scenario.Faults()), ", ")
}

func promiseError(err error) error {
	if errors.Is(err, scenario.ErrGuaranteeViolated) {
		return fmt.Errorf("%w: %w", errPromiseBroken, err)
	}
	return err
}

func printStderr(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
}
