package staging

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core/fleet"
)

// A target's RequestedAt becomes earlier when another daemon reports that the version was
// configured earlier, or when the machine was suspended, which the steady clock does not
// count.
func TestLoadIsNotPostponedByARequestTimeThatIsKnownLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var announced []fleet.PauseNotice
		m := newTestManager(func(p fleet.PauseNotice) { announced = append(announced, p) })
		requestedAt := time.Now().Add(-4 * time.Second)
		target := TargetVersion{VersionKey: olderKey, RequestedAt: time.Now(), InForceWithin: inForceWithin}
		m.addTestJob(target, 4)
		plan := NewFetchPlan(m.config.Self, "north", 64, agentsInRegions("north", "north", "north"))
		loadTime := m.scheduledLoadTime(target, plan, reportWithLoaded(1))
		time.AfterFunc(500*time.Millisecond, func() {
			var wait sync.WaitGroup
			corrected := target
			corrected.RequestedAt = requestedAt
			m.startJob(context.Background(), &wait, corrected)
		})
		require.NoError(t, m.awaitLoadTime(t.Context(), target, loadTime))
		trueLoadTime := requestedAt.Add(plan.LoadDelay(target.Version, inForceWithin))
		require.WithinDuration(t, trueLoadTime, time.Now(), loadTimePollPeriod)
		require.Len(t, announced, 2, "entries learn that the pause begins earlier")
	})
}

func TestLoadIsScheduledFromTheCorrectedRequestTime(t *testing.T) {
	m := newTestManager(nil)
	target := TargetVersion{VersionKey: olderKey, InForceWithin: inForceWithin}
	m.addTestJob(target, 4)
	corrected := target
	corrected.RequestedAt = time.Now()
	var wait sync.WaitGroup
	m.startJob(t.Context(), &wait, corrected)
	require.Equal(t, corrected.RequestedAt, m.withRequestTime(target).RequestedAt)
	m.removeJob(m.jobs[target.VersionKey])
	require.Empty(t, m.requestTimes)
}
