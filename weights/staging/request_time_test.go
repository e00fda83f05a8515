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
// configured earlier.
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

// newSuspendedManager returns a Manager whose machine was suspended for suspension at a time
// that lies after from now. Timers do not count suspensions.
func newSuspendedManager(after, suspension time.Duration) *Manager {
	m := newTestManager(nil)
	resumedAt := time.Now().Add(after)
	m.config.Now = func() time.Time {
		now := time.Now()
		if now.Before(resumedAt) {
			return now
		}
		return now.Add(suspension)
	}
	return m
}

func TestLoadIsNotPostponedByASuspensionOfTheMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const after, suspension = time.Second, 3 * time.Second
		m := newSuspendedManager(after, suspension)
		start := time.Now()
		target := TargetVersion{VersionKey: olderKey, RequestedAt: start, InForceWithin: inForceWithin}
		m.addTestJob(target, 4)
		require.NoError(t, m.awaitLoadTime(t.Context(), target, start.Add(5*time.Second)))
		require.WithinDuration(t, start.Add(5*time.Second-suspension), time.Now(), loadTimePollPeriod)
	})
}

func TestDeadlineOfASkippedVersionIsNotPostponedByASuspensionOfTheMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const after, suspension = time.Second, 3 * time.Second
		m := newSuspendedManager(after, suspension)
		start := time.Now()
		skipped := TargetVersion{VersionKey: olderKey, RequestedAt: start, InForceWithin: inForceWithin}
		target := TargetVersion{VersionKey: newerKey, RequestedAt: start, InForceWithin: inForceWithin}
		m.addTestJob(target, 4)
		m.markSkipped(skipped)
		require.NoError(t, m.awaitLoadTime(t.Context(), target, start.Add(time.Hour)))
		require.WithinDuration(t, skipped.loadDeadline().Add(-suspension), time.Now(), loadTimePollPeriod)
	})
}
