// Package demo shows the system at work in one process: a burst of new weights
// under live requests, an edit, a data centre that leaves and returns, and a
// planned stop, with the users' measures at the end.
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
	defaultLimit = 55 * time.Second
	// ratePerCore and maxRate set the requests a second.
	ratePerCore = 12
	maxRate     = 120

	quietTime = 2 * time.Second
	outTime   = 6 * time.Second
	inTime    = 5 * time.Second
)

// Config sets up a demo.
type Config struct {
	Layout fleet.Layout
	Hooks  fleet.Hooks
	Seed   int64
	// WeightsPath is a file or folder to publish; "" generates content.
	WeightsPath  string
	WeightsBytes int64
	// Rate is the requests a second; 0 follows the number of cores.
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
		c.Rate = float64(min(maxRate, ratePerCore*runtime.NumCPU()))
	}
	if c.Timeout <= 0 {
		c.Timeout = defaultLimit
	}
	if c.Log == nil {
		c.Log = func(string, ...any) {}
	}
}

// Run plays the demo. It returns the measures also with an error, as far as
// they were taken. A broken promise is scenario.ErrPromiseBroken.
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
	played := play(ctx, cfg, experiment)
	report, result, err := experiment.Finish(context.WithoutCancel(ctx))
	return report, result, errors.Join(played, err, scenario.CheckReport(&report))
}

func play(ctx context.Context, cfg Config, e *scenario.Experiment) error {
	if err := e.Sleep(ctx, quietTime); err != nil {
		return err
	}
	if err := e.RollOut(ctx, cfg.WeightsPath); err != nil {
		return err
	}
	if err := e.MeasureEdit(ctx); err != nil {
		return err
	}
	return leaveAndReturn(ctx, cfg, e)
}

// leaveAndReturn takes the last data centre out and brings it back.
func leaveAndReturn(ctx context.Context, cfg Config, e *scenario.Experiment) error {
	last := cfg.Layout.DataCentres[len(cfg.Layout.DataCentres)-1].Name
	if err := e.TakeDataCentreOut(ctx, last); err != nil {
		return err
	}
	if err := e.Sleep(ctx, outTime); err != nil {
		return err
	}
	if err := e.BringDataCentreIn(ctx, last); err != nil {
		return err
	}
	return e.Sleep(ctx, inTime)
}
