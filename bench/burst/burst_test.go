package burst

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestBurstBounds runs a small rollout with each of three strategies and checks
// the bounds on transferred bytes, which do not depend on the speed of the
// computer.
func TestBurstBounds(t *testing.T) {
	for _, strategy := range []Strategy{Swarm, OriginOnly, OneFetcher} {
		t.Run(string(strategy), func(t *testing.T) {
			result, err := Run(t.Context(), Config{
				Strategy:               strategy,
				Agents:                 6,
				Regions:                2,
				WeightsBytes:           128 * kib,
				ChunkBytes:             4 * kib,
				InstanceBytesPerSecond: 256 * kib,
			})
			require.NoError(t, err)
			require.Equal(t, 6, result.Complete)
			require.Positive(t, result.BoundRatio)
			if strategy == OriginOnly {
				require.InDelta(t, 6, result.OriginCopies, 0.01)
				return
			}
			require.LessOrEqual(t, result.OriginCopies, 4.0)
			require.LessOrEqual(t, result.LinkCopiesMax, 2.0)
			require.Zero(t, result.WastedCopies)
		})
	}
}

func TestConfigRefusesUnknownStrategy(t *testing.T) {
	_, err := Run(t.Context(), Config{Strategy: "flood"})
	require.ErrorContains(t, err, "flood")
}
