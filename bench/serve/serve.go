// Package serve runs the experiment on service under faults: callers send
// requests at a fixed rate while faults begin and end at given times.
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
	// defaultFault takes a data centre out and brings it back in.
	defaultFault = "data-centre-out@5s+8s"
	// setupTimeout bounds the time until the callers start, teardownTimeout the
	// time after the last fault.
	setupTimeout    = 3 * time.Minute
	teardownTimeout = 3 * time.Minute
)

// Config configures an experiment.
type Config struct {
	Layout       fleet.Layout
	Hooks        fleet.Hooks
	Seed         int64
	Rate         float64
	WeightsBytes int64
	Duration     time.Duration
	// Faults are given as NAME@TIME or NAME@TIME+LENGTH.
	Faults []string
	// Runs repeats the experiment with successive seeds.
	Runs int
	// Plot is the .svg or .png file for a plot of the outcomes over time; empty
	// writes no plots. The latencies are plotted to a second file with "-latency"
	// appended to its name. With several runs, the number of the run is appended
	// to both names.
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

func (c Config) parseScript() ([]scenario.Step, error) {
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

// Run carries out all runs and calls onReport after each of them. When a run
// violates a guarantee, the remaining runs still take place, and the returned
// error wraps scenario.ErrGuaranteeViolated.
func Run(ctx context.Context, cfg Config, onReport func(measure.Report) error) error {
	cfg.applyDefaults()
	var violations error
	for index := range cfg.Runs {
		runConfig := cfg
		runConfig.Seed = cfg.Seed + int64(index)
		report, result, err := runOne(ctx, runConfig)
		if err != nil && !errors.Is(err, scenario.ErrGuaranteeViolated) {
			return fmt.Errorf("seed %d: %w", runConfig.Seed, err)
		}
		violations = errors.Join(violations, err)
		if err := onReport(report); err != nil {
			return err
		}
		if err := savePlots(runConfig, index, result); err != nil {
			return err
		}
	}
	return violations
}

func runOne(ctx context.Context, cfg Config) (measure.Report, load.Result, error) {
	script, err := cfg.parseScript()
	if err != nil {
		return measure.Report{}, load.Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, setupTimeout+cfg.Duration+teardownTimeout)
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
	scriptErr := experiment.RunScript(ctx, script)
	sleepErr := experiment.Sleep(ctx, time.Until(end))
	report, result, err := experiment.Finish(context.WithoutCancel(ctx))
	return report, result, errors.Join(scriptErr, sleepErr, err, scenario.CheckReport(&report))
}

func savePlots(cfg Config, index int, result load.Result) error {
	if cfg.Plot == "" {
		return nil
	}
	extension := filepath.Ext(cfg.Plot)
	basePath := strings.TrimSuffix(cfg.Plot, extension)
	if cfg.Runs > 1 {
		basePath = fmt.Sprintf("%s-%d", basePath, index+1)
	}
	title := fmt.Sprintf("seed %d: %s", cfg.Seed, strings.Join(cfg.Faults, ", "))
	if err := timeline.SaveOutcomes(basePath+extension, title, result); err != nil {
		return err
	}
	return timeline.SaveLatency(basePath+"-latency"+extension, title, result)
}
