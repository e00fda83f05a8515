package staging

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// A repeat is accepted, and the engine restarts while the first call is still outstanding.
func TestFirstCopyOfAnAcceptedOrderTakesNoPiecesOfAnotherVersionAfterARestart(t *testing.T) {
	for _, restartAfter := range []time.Duration{1500 * time.Millisecond, 2500 * time.Millisecond, 3500 * time.Millisecond} {
		for _, delay := range []time.Duration{3 * time.Second, 4 * time.Second, 5 * time.Second} {
			t.Run(fmt.Sprint(restartAfter, delay), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newLateOrderFleet(t, delay)
					f.runTwoVersions(map[time.Duration]func(){time.Second: func() { f.afterFirstOrder(restartAfter, (*simulatedEngine).restart) }})
					f.requireNoMixture()
					f.requireLoaded(3)
				})
			})
		}
	}
}

// The agent's process ends while its order has no answer; its successor knows nothing of it.
func TestLateOrderOfAnEndedProcessTakesNoPiecesOfAnotherVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newSimulatedEngine()
		e.lateOrders = []time.Duration{3 * time.Second}
		older, newer := completePieces(olderKey), completePieces(newerKey)
		first := newTestManager(nil)
		first.config.Engine = e
		ctx, cancel := context.WithTimeout(t.Context(), 700*time.Millisecond)
		defer cancel()
		require.Error(t, first.load(ctx, first.config.Log, TargetVersion{VersionKey: olderKey}, older))

		second := newTestManager(nil)
		second.config.Engine = e
		second.newestVersions["m"] = newerKey.Version
		second.stageEarly(t.Context(), second.config.Log, TargetVersion{VersionKey: newerKey}, newer, 0)
		time.Sleep(5 * time.Second)
		require.Empty(t, e.mixtures)
	})
}
