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
	demoLimit = 55 * time.Second
	benchName = core.InstanceID("bench")
)

func demoCommand() *command {
	var config demo.Config
	var seed int
	var asJSON bool
	var logLevel string
	c := &command{name: "demo", usage: "Runs a whole deployment in this process for less than a minute and prints the measures."}
	c.settings.Int(&seed, "seed", 1, "seed of all random choices")
	c.settings.String(&config.WeightsPath, "weights", "", "file or folder to publish; empty generates content")
	c.settings.Float(&config.Rate, "rate", 0, "requests a second; 0 follows the number of cores")
	c.settings.Duration(&config.Timeout, "limit", demoLimit, "longest time for the whole demo")
	c.settings.Bool(&asJSON, "json", "print one JSON line")
	c.settings.String(&logLevel, "log-level", "error", "lowest level of the daemons' logs")
	c.run = func(ctx context.Context) error {
		hooks, err := localHooks(logLevel)
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
		err = promiseError(err)
		if asJSON {
			return errors.Join(json.NewEncoder(os.Stdout).Encode(measures), err)
		}
		return errors.Join(measures.WriteText(os.Stdout), err)
	}
	return c
}

// localHooks starts the daemons of an experiment in this process.
func localHooks(logLevel string) (fleet.Hooks, error) {
	log, err := obs.NewLogger(os.Stderr, logLevel, "text", benchName)
	if err != nil {
		return fleet.Hooks{}, usageError{err}
	}
	return daemons.Hooks(daemons.Config{Log: log}), nil
}

func printStep(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
}
