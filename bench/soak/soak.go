// Package soak runs a deployment under random rollouts of weights, edits, data
// centre changes and faults for a given duration. The seed determines their
// times and targets.
package soak

import (
	"context"
	"errors"
	"fmt"
	"time"

	"currantusher.dev/bench/fleet"
	"currantusher.dev/bench/load"
	"currantusher.dev/bench/measure"
	"currantusher.dev/bench/scenario"
)

const (
	defaultDuration          = time.Minute
	defaultRequestsPerSecond = 60
	defaultConvergeTimeout   = time.Minute
	// setupTimeout bounds the time until the callers start, and
	// stepOverrunTimeout the time by which steps exceed the duration.
	setupTimeout       = 3 * time.Minute
	stepOverrunTimeout = time.Minute
)

// Config configures a soak test.
type Config struct {
	Layout       fleet.Layout
	Hooks        fleet.Hooks
	Seed         int64
	Duration     time.Duration
	Rate         float64
	WeightsBytes int64
	// Faults are the names of the faults to choose from; empty means all.
	Faults []string
	// ConvergeTimeout bounds the time after the last fault until all engines have
	// activated the last version.
	ConvergeTimeout time.Duration
	Log             func(format string, args ...any)
}

// ErrNotConverged means that an engine had not activated the last version by the
// end of ConvergeTimeout.
var ErrNotConverged = errors.New("deployment did not converge")

func (c *Config) applyDefaults() {
	if len(c.Layout.DataCentres) == 0 {
		c.Layout = fleet.SmallLayout()
	}
	if c.Duration <= 0 {
		c.Duration = defaultDuration
	}
	if c.Rate <= 0 {
		c.Rate = defaultRequestsPerSecond
	}
	if c.ConvergeTimeout <= 0 {
		c.ConvergeTimeout = defaultConvergeTimeout
	}
	if c.Log == nil {
		c.Log = func(string, ...any) {}
	}
}

func (c Config) selectFaults() ([]scenario.Fault, error) {
	if len(c.Faults) == 0 {
		return scenario.Faults(), nil
	}
	faults := make([]scenario.Fault, 0, len(c.Faults))
	for _, name := range c.Faults {
		fault, err := scenario.FaultByName(name)
		if err != nil {
			return nil, err
		}
		faults = append(faults, fault)
	}
	return faults, nil
}

// Run runs a random script, waits until the deployment has converged and returns
// the report. The error wraps scenario.ErrGuaranteeViolated when a guarantee was
// violated. Runs with the same seed, duration and faults have the same script.
func Run(ctx context.Context, cfg Config) (measure.Report, load.Result, error) {
	cfg.applyDefaults()
	faults, err := cfg.selectFaults()
	if err != nil {
		return measure.Report{Seed: cfg.Seed}, load.Result{}, err
	}
	script := scenario.RandomScript(cfg.Seed, cfg.Duration, faults)
	for _, step := range script {
		cfg.Log("script: %s at %s for %s", step.Fault.Name, step.At.Round(time.Millisecond), step.Length.Round(time.Millisecond))
	}
	ctx, cancel := context.WithTimeout(ctx, setupTimeout+cfg.Duration+stepOverrunTimeout+cfg.ConvergeTimeout)
	defer cancel()
	experiment, err := scenario.Start(ctx, scenario.Config{
		Layout:       cfg.Layout,
		Hooks:        cfg.Hooks,
		Seed:         cfg.Seed,
		Rate:         cfg.Rate,
		WeightsBytes: cfg.WeightsBytes,
		Log:          cfg.Log,
	})
	if err != nil {
		return measure.Report{Seed: cfg.Seed}, load.Result{}, err
	}
	defer experiment.Close(context.WithoutCancel(ctx))
	scriptErr := experiment.RunScript(ctx, script)
	convergeErr := waitConverged(ctx, cfg, experiment)
	report, result, err := experiment.Finish(context.WithoutCancel(ctx))
	return report, result, errors.Join(scriptErr, convergeErr, err, scenario.CheckReport(&report))
}

func waitConverged(ctx context.Context, cfg Config, experiment *scenario.Experiment) error {
	ctx, cancel := context.WithTimeout(ctx, cfg.ConvergeTimeout)
	defer cancel()
	if err := experiment.WaitConverged(ctx); err != nil {
		return fmt.Errorf("%w: %w", ErrNotConverged, err)
	}
	return nil
}
