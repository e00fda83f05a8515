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

func benchServiceCommand() *command {
	var config serve.Config
	var seed, size int
	var logLevel string
	c := &command{name: "service", usage: "Sends requests at a fixed rate and injects faults at given times."}
	c.settings.Int(&seed, "seed", 1, "seed of the first run; later runs add 1")
	c.settings.Int(&config.Runs, "runs", 1, "number of runs")
	c.settings.Float(&config.Rate, "rate", 0, "requests per second; 0 derives the rate from the number of cores")
	c.settings.Duration(&config.Duration, "duration", 30*time.Second, "time under load in each run")
	c.settings.Int(&size, "weights-size", 8*mebibyte, "size of the weights in bytes")
	c.settings.Strings(&config.Faults, "fault", "fault to inject, as NAME@TIME or NAME@TIME+LENGTH; repeatable; names: "+faultNames())
	c.settings.String(&config.Plot, "plot", "", ".svg or .png file for a plot of the outcomes over time")
	c.settings.String(&logLevel, "log-level", "error", "minimum level of the daemons' logs")
	c.run = func(ctx context.Context) error {
		hooks, err := inProcessHooks(logLevel)
		if err != nil {
			return err
		}
		config.Layout = fleet.SmallLayout()
		config.Hooks = hooks
		config.Seed = int64(seed)
		config.WeightsBytes = int64(size)
		config.Log = printStderr
		encoder := json.NewEncoder(os.Stdout)
		return withGuaranteeViolated(serve.Run(ctx, config, func(r measure.Report) error { return encoder.Encode(r) }))
	}
	return c
}

func benchSoakCommand() *command {
	var config soak.Config
	var seed, size int
	var faults []string
	var logLevel string
	c := &command{name: "soak", usage: "Runs random bursts, edits, data centre changes and faults under load; the same seed repeats them."}
	c.settings.Int(&seed, "seed", 1, "seed of all random choices")
	c.settings.Duration(&config.Duration, "duration", time.Minute, "time during which faults are injected")
	c.settings.Duration(&config.ConvergeTimeout, "settle", time.Minute, "time limit for convergence after the last fault")
	c.settings.Float(&config.Rate, "rate", 0, "requests per second; 0 derives the rate from the number of cores")
	c.settings.Int(&size, "weights-size", 4*mebibyte, "size of the weights in bytes")
	c.settings.Strings(&faults, "fault", "inject only faults with this name; repeatable; names: "+faultNames())
	c.settings.String(&logLevel, "log-level", "error", "minimum level of the daemons' logs")
	c.run = func(ctx context.Context) error {
		hooks, err := inProcessHooks(logLevel)
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
		return errors.Join(json.NewEncoder(os.Stdout).Encode(measures), withGuaranteeViolated(err))
	}
	return c
}

func faultNames() string {
	return strings.Join(scenario.FaultNames(scenario.Faults()), ", ")
}

// withGuaranteeViolated adds errGuaranteeViolated to errors that report a violated
// safety guarantee, so that the process exits with exitGuaranteeViolated.
func withGuaranteeViolated(err error) error {
	if errors.Is(err, scenario.ErrGuaranteeViolated) {
		return fmt.Errorf("%w: %w", errGuaranteeViolated, err)
	}
	return err
}

func printStderr(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
}
