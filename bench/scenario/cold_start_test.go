package scenario

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/bench/daemons"
	"currantusher.dev/bench/fleet"
)

// TestFaultMatrixColdStartAfterActivation activates a version on engines under
// load. Their cold starts are much longer than a request, so an agent that
// exceeds the cold limit before the engine reports that it is warm makes the
// engine restart.
func TestFaultMatrixColdStartAfterActivation(t *testing.T) {
	layout := fleet.SmallLayout()
	layout.DataCentres = layout.DataCentres[:1]
	layout.Groups = layout.Groups[:1]
	layout.Groups[0].PerDataCentre = 3
	layout.Groups[0].ColdLimit = 1
	layout.WarmUp = 3 * time.Second
	layout.MaxUnavailable = 1
	experiment, err := Start(t.Context(), Config{
		Layout:       layout,
		Hooks:        daemons.Hooks(daemons.Config{}),
		Seed:         1,
		Rate:         50,
		WeightsBytes: 1 << 20,
		Log:          t.Logf,
	})
	require.NoError(t, err)
	defer experiment.Close(t.Context())
	// Leaves the agents time to raise their limits fully before and after the
	// rollout.
	require.NoError(t, experiment.Sleep(t.Context(), layout.WarmUp))
	require.NoError(t, experiment.RollOut(t.Context(), ""))
	require.NoError(t, experiment.Sleep(t.Context(), layout.WarmUp))
	report, result, err := experiment.Finish(t.Context())
	require.NoError(t, err)
	t.Logf("%d of %d whole, codes %v", report.RequestsWhole, report.RequestsTotal, result.ByCode)
	for _, target := range experiment.Deployment.Backends.All {
		counters, err := experiment.Deployment.Backends.Counters(t.Context(), target)
		require.NoError(t, err)
		require.Zero(t, counters.OverloadRestarts, "backend server %s restarted %.3f s after its cold start began", target.ID, counters.OverloadRestartColdSeconds)
	}
	require.Zero(t, report.OverloadRestarts)
}
