package staging

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core/fleet"
	"currantusher.dev/platform/worker"
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

// A call that stages a piece early has no answer and is performed after the order's verification.
func TestLateStagedPieceIsNotLoadedWithAnotherVersion(t *testing.T) {
	for _, delay := range []time.Duration{2100 * time.Millisecond, 2300 * time.Millisecond, 2900 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newLongRunningManager()
				e := newSimulatedEngine()
				m.config.Engine = e
				older, newer := completePieces(olderKey), completePieces(newerKey)
				for num := range fleetPieces {
					e.put(num, pieceContent(olderKey.Version, num))
				}
				e.latePuts = []time.Duration{delay}
				e.lateOrders = []time.Duration{950 * time.Millisecond}
				m.newestVersions["m"] = newerKey.Version
				go m.stageEarly(t.Context(), m.config.Log, TargetVersion{VersionKey: newerKey}, newer, 0)
				synctest.Wait()
				require.NoError(t, m.load(t.Context(), m.config.Log, TargetVersion{VersionKey: olderKey}, older))
				require.Empty(t, e.mixtures)
			})
		})
	}
}

// statusEngine answers orders of one version with an error status.
type statusEngine struct {
	*simulatedEngine
	refused fleet.WeightsVersion
}

func (e statusEngine) LoadAfterRunning(ctx context.Context, model fleet.Model, version fleet.WeightsVersion, orders int64) (worker.OrderResult, error) {
	if version == e.refused {
		return worker.OrderConflict, errors.New("order: status 400: no such order")
	}
	return e.simulatedEngine.LoadAfterRunning(ctx, model, version, orders)
}

func TestRefusedOrderDoesNotExcludeNewerVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newTestManager(nil)
		e := newSimulatedEngine()
		m.config.Engine = statusEngine{e, olderKey.Version}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		start := time.Now()
		require.Error(t, m.load(ctx, m.config.Log, TargetVersion{VersionKey: olderKey}, completePieces(olderKey)))
		require.Less(t, time.Since(start), 15*time.Second, "the load of a refused order never ends")
		require.NoError(t, m.load(t.Context(), m.config.Log, TargetVersion{VersionKey: newerKey}, completePieces(newerKey)))
	})
}

// An engine that answers reports but loses every order of the older version.
func TestUnansweredOrderExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newTestManager(nil)
		e := newSimulatedEngine()
		for range 100 {
			e.lateOrders = append(e.lateOrders, neverPerformed)
		}
		m.config.Engine = e
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		start := time.Now()
		_ = m.load(ctx, m.config.Log, TargetVersion{VersionKey: olderKey}, completePieces(olderKey))
		require.Less(t, time.Since(start), 20*time.Second)
	})
}

// A single copy of an order was accepted, so that none is outstanding.
func TestSettledOrderDoesNotDelayTheNextVersionAfterARestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLateOrderFleet(t, 500*time.Millisecond)
		for _, e := range f.engines {
			e.orders = 1
		}
		f.runTwoVersions(map[time.Duration]func(){time.Second: func() { f.afterFirstOrder(2*time.Second, (*simulatedEngine).restart) }})
		f.requireNoMixture()
		require.Less(t, f.lastLoad(3), newerVersionDelay+inForceWithin)
	})
}

func TestVersionAfterARestartOfTheAgentIsNotDelayedWithoutAnEarlierOne(t *testing.T) {
	for name, missing := range map[string]bool{"one new version": false, "pieces are missing": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newTestManager(nil)
				e := newSimulatedEngine()
				m.config.Engine = e
				for num := range fleetPieces {
					e.put(num, pieceContent(1, num))
				}
				key := olderKey
				if missing {
					key = newerKey
					delete(e.staged, 0)
				}
				start := time.Now()
				require.NoError(t, m.load(t.Context(), m.config.Log, TargetVersion{VersionKey: key}, completePieces(key)))
				require.Less(t, time.Since(start), 2*time.Second)
			})
		})
	}
}
