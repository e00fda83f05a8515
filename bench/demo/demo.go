// Package demo demonstrates the system in one process: a rollout of new weights
// under load, an edit, a data centre that is taken out and brought back in, and a
// report of the run.
package demo

import (
	"context"
	"errors"
	"runtime"
	"time"

	"currantusher.dev/bench/fleet"
	"currantusher.dev/bench/load"
	"currantusher.dev/bench/measure"
	"currantusher.dev/bench/scenario"
)

const (
	defaultTimeout = 55 * time.Second
	// requestsPerSecondPerCore and maxRequestsPerSecond determine the default of
	// Config.Rate.
	requestsPerSecondPerCore = 12
	maxRequestsPerSecond     = 120

	baselineDuration = 2 * time.Second
	outDuration      = 6 * time.Second
	recoveryDuration = 5 * time.Second
)

// Config configures a demo.
type Config struct {
	Layout fleet.Layout
	Hooks  fleet.Hooks
	Seed   int64
	// WeightsPath is a file or folder to publish; "" generates content.
	WeightsPath  string
	WeightsBytes int64
	// Rate is the number of requests per second; 0 derives it from the number of
	// cores.
	Rate float64
	// Timeout bounds the whole demo.
	Timeout time.Duration
	Log     func(format string, args ...any)
}

func (c *Config) applyDefaults() {
	if len(c.Layout.DataCentres) == 0 {
		c.Layout = fleet.SmallLayout()
	}
	if c.Rate <= 0 {
		c.Rate = float64(min(maxRequestsPerSecond, requestsPerSecondPerCore*runtime.NumCPU()))
	}
	if c.Timeout <= 0 {
		c.Timeout = defaultTimeout
	}
	if c.Log == nil {
		c.Log = func(string, ...any) {}
	}
}

// Run runs the demo. With an error it still returns the report as far as its
// figures were measured. The error wraps scenario.ErrGuaranteeViolated when a
// guarantee was violated.
func Run(ctx context.Context, cfg Config) (measure.Report, load.Result, error) {
	cfg.applyDefaults()
	ctx, cancel := context.WithTimeout(ctx, cfg.Timeout)
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
	stepsErr := runSteps(ctx, cfg, experiment)
	report, result, err := experiment.Finish(context.WithoutCancel(ctx))
	return report, result, errors.Join(stepsErr, err, scenario.CheckReport(&report))
}

func runSteps(ctx context.Context, cfg Config, e *scenario.Experiment) error {
	if err := e.Sleep(ctx, baselineDuration); err != nil {
		return err
	}
	if err := e.RollOut(ctx, cfg.WeightsPath); err != nil {
		return err
	}
	if err := e.MeasureEdit(ctx); err != nil {
		return err
	}
	return cycleDataCentre(ctx, cfg, e)
}

// cycleDataCentre takes the last data centre out and brings it back in.
func cycleDataCentre(ctx context.Context, cfg Config, e *scenario.Experiment) error {
	last := cfg.Layout.DataCentres[len(cfg.Layout.DataCentres)-1].Name
	if err := e.TakeDataCentreOut(ctx, last); err != nil {
		return err
	}
	if err := e.Sleep(ctx, outDuration); err != nil {
		return err
	}
	if err := e.BringDataCentreIn(ctx, last); err != nil {
		return err
	}
	return e.Sleep(ctx, recoveryDuration)
}
