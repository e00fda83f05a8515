package soak

import (
	"errors"
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/bench/daemons"
	"currantusher.dev/bench/fleet"
	"currantusher.dev/bench/scenario"
)

var (
	soakSeed     = flag.Int64("soak.seed", 1, "seed of the script")
	soakSettle   = flag.Duration("soak.settle", 5*time.Second, "time to converge; more is logged")
	soakDuration = flag.Duration("soak.duration", 10*time.Second, "length of the script")
)

func smallest() fleet.Layout {
	layout := fleet.SmallLayout()
	layout.Groups[0].PerDataCentre = 3
	layout.Groups[1].PerDataCentre = 1
	return layout
}

// TestRandomSoak asserts promises only; how much is served depends on the
// machine.
func TestRandomSoak(t *testing.T) {
	report, result, err := Run(t.Context(), Config{
		Layout:          smallest(),
		Hooks:           daemons.Hooks(daemons.Config{}),
		Seed:            *soakSeed,
		Duration:        *soakDuration,
		Rate:            20,
		ConvergeTimeout: *soakSettle,
		Log:             t.Logf,
	})
	t.Logf("%+v", report)
	t.Logf("codes %v", result.ByCode)
	if errors.Is(err, ErrNotConverged) && !errors.Is(err, scenario.ErrGuaranteeViolated) {
		t.Logf("slow: %v", err)
		err = nil
	}
	require.NoError(t, err, "%v", result.Examples)
	require.Positive(t, report.RequestsWhole)
}

func TestScriptFollowsTheSeed(t *testing.T) {
	names := func(seed int64) []string {
		var all []string
		for _, step := range scenario.RandomScript(seed, time.Minute, scenario.Faults()) {
			all = append(all, step.Fault.Name+"@"+step.At.String()+"+"+step.Length.String())
		}
		return all
	}
	require.Equal(t, names(7), names(7))
	require.NotEqual(t, names(7), names(8))
	require.NotEmpty(t, names(7))
}

func TestUnknownFaultIsRefused(t *testing.T) {
	_, _, err := Run(t.Context(), Config{Faults: []string{"meteor"}})
	require.ErrorContains(t, err, `fault "meteor"`)
	_, err = scenario.ParseStep("edit@soon", 1)
	require.ErrorContains(t, err, `fault "edit@soon"`)
	_, err = scenario.ParseStep("edit", 1)
	require.ErrorContains(t, err, "NAME@TIME")
	step, err := scenario.ParseStep("store-down@10s+6s", 1)
	require.NoError(t, err)
	require.Equal(t, []time.Duration{10 * time.Second, 6 * time.Second}, []time.Duration{step.At, step.Length})
}
