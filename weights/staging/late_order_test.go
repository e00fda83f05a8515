package staging

import (
	"context"
	"crypto/sha256"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core/fleet"
	"currantusher.dev/platform/worker"
)

// lateOrderDelays are delays of orders without an answer, up to the longest that was seen.
var lateOrderDelays = []time.Duration{
	500 * time.Millisecond, 1500 * time.Millisecond, 2100 * time.Millisecond, 2500 * time.Millisecond, 4 * time.Second, 6 * time.Second,
}

const (
	// newerVersionDelay is a time after a version at which the next one cannot supersede
	// it, and whose pieces arrive while the older one is loaded.
	newerVersionDelay = 3500 * time.Millisecond
	lateOrderRunTime  = 25 * time.Second
)

// newLateOrderFleet returns agents whose engines do not answer the first orders and
// perform them after the given delays.
func newLateOrderFleet(t *testing.T, delays ...time.Duration) *weightsFleet {
	f := newWeightsFleet(t, 3, 2, answersFraction)
	for _, e := range f.engines {
		e.lateOrders = append(e.lateOrders, delays...)
	}
	return f
}

func (f *weightsFleet) requireNoMixture() {
	f.t.Helper()
	for id, e := range f.engines {
		require.Empty(f.t, e.mixtures, "engine of %s loaded a mixture", id)
	}
}

// requireLoaded requires that all engines have loaded a version.
func (f *weightsFleet) requireLoaded(version fleet.WeightsVersion) {
	f.t.Helper()
	for id, e := range f.engines {
		require.Equal(f.t, version, e.loaded, "engine of %s", id)
	}
}

func (f *weightsFleet) runTwoVersions(events map[time.Duration]func()) {
	all := map[time.Duration]func(){0: func() { f.nameVersion(2) }, newerVersionDelay: func() { f.nameVersion(3) }}
	for at, event := range events {
		all[at] = event
	}
	f.run(lateOrderRunTime, all)
}

func TestLateLoadOrderTakesNoPiecesOfAnotherVersion(t *testing.T) {
	for _, delay := range lateOrderDelays {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newLateOrderFleet(t, delay)
				f.runTwoVersions(nil)
				f.requireNoMixture()
				f.requireLoaded(3)
			})
		})
	}
}

// A piece turns bad while the order has no answer and each further call is lost.
func TestLateLoadOrderTakesNoSpoiltPiece(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLateOrderFleet(t, 5500*time.Millisecond, neverPerformed, neverPerformed, neverPerformed, neverPerformed, neverPerformed, neverPerformed)
		f.runTwoVersions(map[time.Duration]func(){time.Second: func() { f.afterFirstOrder(500*time.Millisecond, func(e *simulatedEngine) { e.spoil(7) }) }})
		f.requireNoMixture()
		f.requireLoaded(3)
	})
}

// afterFirstOrder calls do for each engine a time after its first order without an answer.
func (f *weightsFleet) afterFirstOrder(delay time.Duration, do func(*simulatedEngine)) {
	for _, e := range f.engines {
		go func() {
			for !e.hasLostOrder() {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(delay)
			do(e)
		}()
	}
}

// Engines restart while their order has no answer, with another number of orders or with
// the number that the order expects.
func TestOrderIsSettledAfterAnEngineRestart(t *testing.T) {
	for _, orders := range []int64{0, 1, 3} {
		for _, delay := range []time.Duration{neverPerformed, 2 * time.Second, 4 * time.Second} {
			t.Run(fmt.Sprint(orders, delay), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newLateOrderFleet(t, delay)
					for _, e := range f.engines {
						e.orders = orders
					}
					f.runTwoVersions(map[time.Duration]func(){time.Second: func() { f.afterFirstOrder(800*time.Millisecond, (*simulatedEngine).restart) }})
					f.requireNoMixture()
					f.requireLoaded(3)
				})
			})
		}
	}
}

func TestNextLoadSettlesTheOrderOfACancelledOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newTestManager(nil)
		e := newSimulatedEngine()
		e.lateOrders = []time.Duration{2100 * time.Millisecond, neverPerformed, neverPerformed}
		m.config.Engine = e
		older, newer := completePieces(olderKey), completePieces(newerKey)
		ctx, cancel := context.WithTimeout(t.Context(), 700*time.Millisecond)
		defer cancel()
		require.Error(t, m.load(ctx, m.config.Log, TargetVersion{VersionKey: olderKey}, older))
		m.newestVersions["m"] = newerKey.Version
		m.stageEarly(t.Context(), m.config.Log, TargetVersion{VersionKey: newerKey}, newer, 0)
		require.NoError(t, m.load(t.Context(), m.config.Log, TargetVersion{VersionKey: newerKey}, newer))
		require.Empty(t, e.mixtures)
		require.Equal(t, []fleet.WeightsVersion{olderKey.Version, newerKey.Version}, e.accepted)
	})
}

func completePieces(key VersionKey) *pieceSet {
	digests := make([][32]byte, fleetPieces)
	for num := range digests {
		digests[num] = sha256.Sum256(pieceContent(key.Version, num))
	}
	pieces := newPieceSet(key, digests)
	for num := range digests {
		pieces.add(num, pieceContent(key.Version, num))
	}
	return pieces
}

func TestReservedAreaDoesNotDelayOtherVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		area := newStageArea()
		done := area.admit(t.Context(), newerKey)
		require.NotNil(t, done)
		time.AfterFunc(time.Second, done)
		start := time.Now()
		require.NoError(t, area.reserve(t.Context(), olderKey))
		require.Equal(t, time.Second, time.Since(start), "a change in progress ends first")
		require.Nil(t, area.admit(t.Context(), newerKey))
		require.Equal(t, time.Second, time.Since(start))
		done = area.admit(t.Context(), olderKey)
		require.NotNil(t, done)
		done()
		area.release()
		require.NotNil(t, area.admit(t.Context(), newerKey))
	})
}

func TestOutcomeOfAnUnansweredOrder(t *testing.T) {
	now := time.Now()
	order := loadOrder{target: TargetVersion{VersionKey: olderKey}, expected: 2, mayTakeEffectUntil: now.Add(time.Second)}
	for _, c := range []struct {
		report worker.Report
		at     time.Time
		want   orderOutcome
	}{
		{worker.Report{AcceptedOrders: 2}, now, orderOpen},
		{worker.Report{AcceptedOrders: 2}, now.Add(2 * time.Second), orderExpired},
		{worker.Report{AcceptedOrders: 3, Busy: true}, now, orderAccepted},
		{worker.Report{AcceptedOrders: 0}, now, orderForgotten},
	} {
		require.Equal(t, c.want, order.outcome(c.report, c.at), "%+v", c.report)
	}
}

// After a restart the engine counts its orders anew and may reach the number that an
// older order expects.
func TestLateOrderExcludesOrdersOfOtherVersions(t *testing.T) {
	now := time.Now()
	late := loadOrder{target: TargetVersion{VersionKey: olderKey}, expected: 1, mayTakeEffectUntil: now.Add(time.Second)}
	require.True(t, late.conflictsWith(newerKey, 0, now))
	require.True(t, late.conflictsWith(newerKey, 1, now))
	require.False(t, late.conflictsWith(newerKey, 2, now))
	require.False(t, late.conflictsWith(olderKey, 0, now))
	require.False(t, late.conflictsWith(newerKey, 0, now.Add(2*time.Second)))
}

// The call that stages a piece of the older version takes effect while the order of the
// newer one is under way.
func TestLateStagedPieceIsNotLoadedAsAnotherVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newLongRunningManager()
		e := newSimulatedEngine()
		e.latePuts = []time.Duration{2500 * time.Millisecond}
		e.lateOrders = []time.Duration{900 * time.Millisecond}
		m.config.Engine = e
		m.newestVersions["m"] = olderKey.Version
		m.stageEarly(t.Context(), m.config.Log, TargetVersion{VersionKey: olderKey}, completePieces(olderKey), 0)
		require.NoError(t, m.load(t.Context(), m.config.Log, TargetVersion{VersionKey: newerKey}, completePieces(newerKey)))
		require.Empty(t, e.mixtures)
		require.Equal(t, []fleet.WeightsVersion{newerKey.Version}, e.accepted)
	})
}

// A job ends while its piece is being staged. The next version would have to wait for it.
func TestCancelledJobLeavesNoUnansweredPiece(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newLongRunningManager()
		e := newSimulatedEngine()
		e.putTime = 100 * time.Millisecond
		m.config.Engine = e
		m.newestVersions["m"] = olderKey.Version
		ctx, cancel := context.WithTimeout(t.Context(), e.putTime/2)
		defer cancel()
		m.stageEarly(ctx, m.config.Log, TargetVersion{VersionKey: olderKey}, completePieces(olderKey), 0)
		start := time.Now()
		require.NoError(t, m.stage.reserve(t.Context(), newerKey))
		require.Equal(t, start, time.Now())
		require.Len(t, e.staged, 1, "the piece is staged")
	})
}

// A job whose version has no pieces any more would be cancelled.
func TestNewerVersionDoesNotCancelAnOrder(t *testing.T) {
	m := newTestManager(nil)
	m.addTestJob(TargetVersion{VersionKey: olderKey}, 0)
	isCancelled := false
	delete(m.pieceSets, olderKey)
	m.jobs[olderKey].cancel = func() { isCancelled = true }
	require.NoError(t, m.stage.reserve(t.Context(), olderKey))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	var wait sync.WaitGroup
	m.startJob(ctx, &wait, TargetVersion{VersionKey: newerKey})
	wait.Wait()
	require.False(t, isCancelled)
}

// newLongRunningManager returns a manager whose process runs for longer than an order of an
// earlier process may be outstanding.
func newLongRunningManager() *Manager {
	m := newTestManager(nil)
	time.Sleep(orderSettleTime)
	return m
}
