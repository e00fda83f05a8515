// Package serve is the experiment on service under faults: callers at a set
// rate, and faults at set times.
package serve

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"currantusher.dev/bench/fleet"
	"currantusher.dev/bench/load"
	"currantusher.dev/bench/measure"
	"currantusher.dev/bench/scenario"
	"currantusher.dev/bench/timeline"
)

const (
	defaultDuration = 20 * time.Second
	// defaultFault is the headline experiment: a data centre leaves and returns.
	defaultFault = "data-centre-out@5s+8s"
	// startLimit bounds everything before the callers start, settleLimit what
	// follows the last fault.
	startLimit  = 3 * time.Minute
	settleLimit = 3 * time.Minute
)

// Config sets up an experiment.
type Config struct {
	Layout       fleet.Layout
	Hooks        fleet.Hooks
	Seed         int64
	Rate         float64
	WeightsBytes int64
	Duration     time.Duration
	// Faults are written NAME@TIME or NAME@TIME+LENGTH.
	Faults []string
	// Runs repeats the experiment with successive seeds.
	Runs int
	// Plot is a file to draw the outcomes over time to, .svg or .png. The
	// latencies go to a second file, with "-latency" in its name; of several
	// runs the number is added.
	Plot string
	Log  func(format string, args ...any)
}

func (c *Config) applyDefaults() {
	if len(c.Layout.DataCentres) == 0 {
		c.Layout = fleet.SmallLayout()
	}
	if c.Duration <= 0 {
		c.Duration = defaultDuration
	}
	if len(c.Faults) == 0 {
		c.Faults = []string{defaultFault}
	}
	if c.Runs <= 0 {
		c.Runs = 1
	}
}

func (c Config) script() ([]scenario.Step, error) {
	script := make([]scenario.Step, 0, len(c.Faults))
	for i, text := range c.Faults {
		step, err := scenario.ParseStep(text, uint64(c.Seed)+uint64(i))
		if err != nil {
			return nil, err
		}
		script = append(script, step)
	}
	return script, nil
}

// Run carries out all runs and passes each report on as it comes. A broken
// promise is scenario.ErrPromiseBroken, after all runs.
func Run(ctx context.Context, cfg Config, each func(measure.Report) error) error {
	cfg.applyDefaults()
	var broken error
	for run := range cfg.Runs {
		one := cfg
		one.Seed = cfg.Seed + int64(run)
		report, result, err := runOne(ctx, one)
		if err != nil && !errors.Is(err, scenario.ErrGuaranteeViolated) {
			return fmt.Errorf("seed %d: %w", one.Seed, err)
		}
		broken = errors.Join(broken, err)
		if err := each(report); err != nil {
			return err
		}
		if err := draw(one, run, result); err != nil {
			return err
		}
	}
	return broken
}

func runOne(ctx context.Context, cfg Config) (measure.Report, load.Result, error) {
	script, err := cfg.script()
	if err != nil {
		return measure.Report{}, load.Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, startLimit+cfg.Duration+settleLimit)
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
	end := time.Now().Add(cfg.Duration)
	played := experiment.RunScript(ctx, script)
	rest := experiment.Sleep(ctx, time.Until(end))
	report, result, err := experiment.Finish(context.WithoutCancel(ctx))
	return report, result, errors.Join(played, rest, err, scenario.CheckReport(&report))
}

func draw(cfg Config, run int, result load.Result) error {
	if cfg.Plot == "" {
		return nil
	}
	extension := filepath.Ext(cfg.Plot)
	base := strings.TrimSuffix(cfg.Plot, extension)
	if cfg.Runs > 1 {
		base = fmt.Sprintf("%s-%d", base, run+1)
	}
	title := fmt.Sprintf("seed %d: %s", cfg.Seed, strings.Join(cfg.Faults, ", "))
	if err := timeline.SaveOutcomes(base+extension, title, result); err != nil {
		return err
	}
	return timeline.SaveLatency(base+"-latency"+extension, title, result)
}
