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
	soakSeed            = flag.Int64("soak.seed", 1, "seed of the script")
	soakConvergeTimeout = flag.Duration("soak.settle", 5*time.Second, "time to converge; exceeding it is logged and does not fail the test")
	soakDuration        = flag.Duration("soak.duration", 10*time.Second, "length of the script")
)

func smallTestLayout() fleet.Layout {
	layout := fleet.SmallLayout()
	layout.Groups[0].PerDataCentre = 3
	layout.Groups[1].PerDataCentre = 1
	return layout
}

// TestRandomSoak checks the guarantees only: how many requests are answered
// depends on the speed of the computer.
func TestRandomSoak(t *testing.T) {
	testSoak(t, nil)
}

func TestMalformedAnswersKeepTheGuarantees(t *testing.T) {
	testSoak(t, []string{
		"answers-unframed", "answers-broken-event", "answers-endless-head", "answers-endless-body", "answers-cut",
	})
}

func testSoak(t *testing.T, faults []string) {
	report, result, err := Run(t.Context(), Config{
		Layout:          smallTestLayout(),
		Hooks:           daemons.Hooks(daemons.Config{}),
		Seed:            *soakSeed,
		Duration:        *soakDuration,
		Rate:            20,
		Faults:          faults,
		ConvergeTimeout: *soakConvergeTimeout,
		Log:             t.Logf,
	})
	t.Logf("%+v", report)
	t.Logf("codes %v", result.ByCode)
	if errors.Is(err, ErrNotConverged) && !errors.Is(err, scenario.ErrGuaranteeViolated) {
		t.Logf("slow: %v; does not fail the test", err)
		err = nil
	}
	require.NoError(t, err, "%v", result.Examples)
	require.Positive(t, report.RequestsWhole)
}

func TestScriptIsDeterminedBySeed(t *testing.T) {
	scriptSteps := func(seed int64) []string {
		var steps []string
		for _, step := range scenario.RandomScript(seed, time.Minute, scenario.Faults()) {
			steps = append(steps, step.Fault.Name+"@"+step.At.String()+"+"+step.Length.String())
		}
		return steps
	}
	require.Equal(t, scriptSteps(7), scriptSteps(7))
	require.NotEqual(t, scriptSteps(7), scriptSteps(8))
	require.NotEmpty(t, scriptSteps(7))
}

func TestInvalidFaultsAreRejected(t *testing.T) {
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
