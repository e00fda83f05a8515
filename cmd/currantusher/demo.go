package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"currantusher.dev/bench/daemons"
	"currantusher.dev/bench/demo"
	"currantusher.dev/bench/fleet"
	"currantusher.dev/core"
	"currantusher.dev/daemon/obs"
)

const (
	defaultDemoLimit = 55 * time.Second
	benchInstance    = core.InstanceID("bench")
)

func demoCommand() *command {
	var config demo.Config
	var seed int
	var asJSON bool
	var logLevel string
	c := &command{name: "demo", usage: "Runs a small deployment in this process for less than a minute and prints measurements."}
	c.settings.Int(&seed, "seed", 1, "seed of all random choices")
	c.settings.String(&config.WeightsPath, "weights", "", "file or folder to publish; empty generates content")
	c.settings.Float(&config.Rate, "rate", 0, "requests per second; 0 derives the rate from the number of cores")
	c.settings.Duration(&config.Timeout, "limit", defaultDemoLimit, "time limit of the demo")
	c.settings.Bool(&asJSON, "json", "print one JSON line")
	c.settings.String(&logLevel, "log-level", "error", "minimum level of the daemons' logs")
	c.run = func(ctx context.Context) error {
		hooks, err := inProcessHooks(logLevel)
		if err != nil {
			return err
		}
		config.Layout = fleet.SmallLayout()
		config.Hooks = hooks
		config.Seed = int64(seed)
		if !asJSON {
			config.Log = printStep
		}
		measures, _, err := demo.Run(ctx, config)
		err = withGuaranteeViolated(err)
		if asJSON {
			return errors.Join(json.NewEncoder(os.Stdout).Encode(measures), err)
		}
		return errors.Join(measures.WriteText(os.Stdout), err)
	}
	return c
}

// inProcessHooks returns hooks that start the daemons of an experiment in this
// process.
func inProcessHooks(logLevel string) (fleet.Hooks, error) {
	log, err := obs.NewLogger(os.Stderr, logLevel, "text", benchInstance)
	if err != nil {
		return fleet.Hooks{}, usageError{err}
	}
	return daemons.Hooks(daemons.Config{Log: log}), nil
}

func printStep(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
}
