package scenario

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/bench/daemons"
	"currantusher.dev/bench/fleet"
)

// TestFaultMatrixColdAfterActivation brings a version to engines under load
// whose cold starts are long against their answers. None may be given more than
// its cold limit before it reports that it is warm.
func TestFaultMatrixColdAfterActivation(t *testing.T) {
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
	// Limits grow to their full height before the burst and after it.
	require.NoError(t, experiment.Pause(t.Context(), layout.WarmUp))
	require.NoError(t, experiment.Burst(t.Context(), ""))
	require.NoError(t, experiment.Pause(t.Context(), layout.WarmUp))
	report, result, err := experiment.Finish(t.Context())
	require.NoError(t, err)
	t.Logf("%d of %d whole, codes %v", report.RequestsWhole, report.RequestsTotal, result.ByCode)
	for _, one := range experiment.Site.Backends.All {
		counters, err := experiment.Site.Backends.Counters(t.Context(), one)
		require.NoError(t, err)
		require.Zero(t, counters.OverloadRestarts, "%s fell over %.3f s after its cold start began", one.ID, counters.OverloadRestartColdSeconds)
	}
	require.Zero(t, report.EnginesFallenOver)
}
