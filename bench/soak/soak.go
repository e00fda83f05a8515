// Package soak runs a site under random bursts, edits, data centre changes and
// faults for a set time. The seed decides what happens when and to whom.
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
	defaultDuration = time.Minute
	defaultRate     = 60
	defaultSettle   = time.Minute
	// startLimit bounds everything before the callers start, and stepLimit what
	// steps take beyond their times.
	startLimit = 3 * time.Minute
	stepLimit  = time.Minute
)

// Config sets up a soak.
type Config struct {
	Layout       fleet.Layout
	Hooks        fleet.Hooks
	Seed         int64
	Duration     time.Duration
	Rate         float64
	WeightsBytes int64
	// Faults limits the catalogue to these names; none means all.
	Faults []string
	// ConvergeTimeout is how long the site may take to converge after the last fault.
	ConvergeTimeout time.Duration
	Log             func(format string, args ...any)
}

// ErrNotConverged means that some engine did not carry the last version by the
// end of Settle.
var ErrNotConverged = errors.New("not converged")

func (c *Config) applyDefaults() {
	if len(c.Layout.DataCentres) == 0 {
		c.Layout = fleet.SmallLayout()
	}
	if c.Duration <= 0 {
		c.Duration = defaultDuration
	}
	if c.Rate <= 0 {
		c.Rate = defaultRate
	}
	if c.ConvergeTimeout <= 0 {
		c.ConvergeTimeout = defaultSettle
	}
	if c.Log == nil {
		c.Log = func(string, ...any) {}
	}
}

func (c Config) catalogue() ([]scenario.Fault, error) {
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

// Run soaks for the duration, waits for the site to converge and returns the
// measures. A broken promise is scenario.ErrPromiseBroken; the same seed plays
// the same script again.
func Run(ctx context.Context, cfg Config) (measure.Report, load.Result, error) {
	cfg.applyDefaults()
	faults, err := cfg.catalogue()
	if err != nil {
		return measure.Report{Seed: cfg.Seed}, load.Result{}, err
	}
	script := scenario.RandomScript(cfg.Seed, cfg.Duration, faults)
	for _, step := range script {
		cfg.Log("script: %s at %s for %s", step.Fault.Name, step.At.Round(time.Millisecond), step.Length.Round(time.Millisecond))
	}
	ctx, cancel := context.WithTimeout(ctx, startLimit+cfg.Duration+stepLimit+cfg.ConvergeTimeout)
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
	played := experiment.RunScript(ctx, script)
	converged := settle(ctx, cfg, experiment)
	report, result, err := experiment.Finish(context.WithoutCancel(ctx))
	return report, result, errors.Join(played, converged, err, scenario.CheckReport(&report))
}

func settle(ctx context.Context, cfg Config, experiment *scenario.Experiment) error {
	ctx, cancel := context.WithTimeout(ctx, cfg.ConvergeTimeout)
	defer cancel()
	if err := experiment.WaitConverged(ctx); err != nil {
		return fmt.Errorf("%w: %w", ErrNotConverged, err)
	}
	return nil
}
