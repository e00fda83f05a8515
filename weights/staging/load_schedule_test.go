package staging

import (
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"currantusher.dev/core/fleet"
	"currantusher.dev/platform/worker"
)

const inForceWithin = 8 * time.Second

var (
	olderKey = VersionKey{Model: "m", Version: 2}
	newerKey = VersionKey{Model: "m", Version: 3}
)

func newTestManager(announce func(fleet.PauseNotice)) *Manager {
	log := logrus.New()
	log.SetOutput(io.Discard)
	agents := agentsInRegions("north", "north", "north")
	return New(Config{Self: agents[0], AnnouncePause: announce, Log: logrus.NewEntry(log)})
}

// addTestJob adds the job of a version as startJob does, with heldCount of its 4
// pieces held.
func (m *Manager) addTestJob(target TargetVersion, heldCount int) {
	pieces := newPieceSet(target.VersionKey, make([][32]byte, 4))
	pieces.missing = len(pieces.digests) - heldCount
	m.pieceSets[target.VersionKey] = pieces
	m.jobs[target.VersionKey] = newJob(target, m.config.Now, func() {}, nil)
	m.newestVersions[target.Model] = max(m.newestVersions[target.Model], target.Version)
}

func reportWithLoaded(version fleet.WeightsVersion) worker.Report {
	return worker.Report{Loaded: map[fleet.Model]fleet.WeightsVersion{"m": version}}
}

func TestPauseIsAnnouncedBeforeLoadTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var announced []fleet.PauseNotice
		m := newTestManager(func(p fleet.PauseNotice) { announced = append(announced, p) })
		target := TargetVersion{VersionKey: olderKey, RequestedAt: time.Now(), InForceWithin: inForceWithin}
		m.addTestJob(target, 4)
		plan := NewFetchPlan(m.config.Self, "north", 64, agentsInRegions("north", "north", "north"))
		loadTime := m.scheduledLoadTime(target, plan, reportWithLoaded(1))
		require.Empty(t, announced, "no pause is announced before the agent holds all pieces")
		require.NoError(t, m.awaitLoadTime(t.Context(), target, loadTime))
		require.Len(t, announced, 1)
		require.Equal(t, loadTime, time.Now())
		require.Equal(t, loadTime.Sub(target.RequestedAt), announced[0].StartsIn)
	})
}

// Guards against a load without notice when the pieces arrive after the scheduled
// load time: the entries need time to drain the engine.
func TestLateLoadIsAnnouncedWithMinimumNotice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var announced []fleet.PauseNotice
		m := newTestManager(func(p fleet.PauseNotice) { announced = append(announced, p) })
		target := TargetVersion{VersionKey: olderKey, RequestedAt: time.Now().Add(-6 * time.Second), InForceWithin: inForceWithin}
		m.addTestJob(target, 4)
		start := time.Now()
		require.NoError(t, m.awaitLoadTime(t.Context(), target, start.Add(-time.Second)))
		require.Equal(t, minPauseNotice, time.Since(start))
		require.Equal(t, minPauseNotice, announced[0].StartsIn)
	})
}

// Guards against an unannounced load of an engine that was loading the version before
// when this one was requested, and so listed no weights.
func TestLoadAfterAnotherLoadIsAnnounced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newTestManager(nil)
		target := TargetVersion{VersionKey: olderKey, RequestedAt: time.Now(), InForceWithin: inForceWithin}
		plan := NewFetchPlan(m.config.Self, "north", 64, agentsInRegions("north", "north", "north"))
		loadTime := m.scheduledLoadTime(target, plan, worker.Report{Busy: true})
		require.Equal(t, m.scheduledLoadTime(target, plan, reportWithLoaded(1)), loadTime)
		require.False(t, loadTime.IsZero())
	})
}

// Guards against an unannounced load by an agent that started after the request.
func TestLoadOfUnknownAgeIsAnnouncedWithMinimumNotice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var announced []fleet.PauseNotice
		m := newTestManager(func(p fleet.PauseNotice) { announced = append(announced, p) })
		target := TargetVersion{VersionKey: olderKey, InForceWithin: inForceWithin}
		m.addTestJob(target, 4)
		start := time.Now()
		require.NoError(t, m.awaitLoadTime(t.Context(), target, m.scheduledLoadTime(target, FetchPlan{}, reportWithLoaded(1))))
		require.Equal(t, minPauseNotice, time.Since(start))
		require.Len(t, announced, 1)
		require.Equal(t, minPauseNotice, announced[0].StartsIn)
	})
}

// A newer version whose pieces are held in time supersedes the older version. It
// must then be loaded before the load deadline of the older version.
func TestVersionIsSupersededByNewerCompleteVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newTestManager(nil)
		start := time.Now()
		first := TargetVersion{VersionKey: olderKey, RequestedAt: start.Add(-4 * time.Second), InForceWithin: inForceWithin}
		second := TargetVersion{VersionKey: newerKey, RequestedAt: start.Add(-time.Second), InForceWithin: inForceWithin}
		m.addTestJob(first, 4)
		m.addTestJob(second, 4)
		require.ErrorIs(t, m.awaitLoadTime(t.Context(), first, start.Add(time.Second)), errSuperseded)
		require.NoError(t, m.awaitLoadTime(t.Context(), second, start.Add(time.Hour)))
		require.Equal(t, first.loadDeadline(), time.Now())
	})
}

// A newer version that arrives after the load deadline of the older version must
// not prevent the load of the older version.
func TestVersionIsLoadedWhenNewerVersionIsLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newTestManager(nil)
		first := TargetVersion{VersionKey: olderKey, RequestedAt: time.Now().Add(-4 * time.Second), InForceWithin: inForceWithin}
		m.addTestJob(first, 4)
		m.addTestJob(TargetVersion{VersionKey: newerKey, RequestedAt: time.Now(), InForceWithin: inForceWithin}, 1)
		require.NoError(t, m.awaitLoadTime(t.Context(), first, time.Now().Add(time.Second)))
	})
}

func TestEmptyEngineLoadsAtOnce(t *testing.T) {
	m := newTestManager(nil)
	target := TargetVersion{VersionKey: olderKey, RequestedAt: time.Now(), InForceWithin: inForceWithin}
	require.True(t, m.scheduledLoadTime(target, FetchPlan{}, worker.Report{}).IsZero())
	require.NoError(t, m.awaitLoadTime(t.Context(), target, time.Time{}))
}

// An agent with a slow link must decline requests for assigned pieces that it does
// not hold, so that the next agent fetches them, and serve the pieces it holds.
func TestAgentOnSlowLinkDeclinesMissingPieces(t *testing.T) {
	m := newTestManager(nil)
	agents := agentsInRegions("north", "north", "north")
	plan := NewFetchPlan(agents[0], "north", 6, agents)
	m.addTestJob(TargetVersion{VersionKey: olderKey}, 1)
	m.setPlan(olderKey, plan)
	pieces := m.piecesOf(olderKey)
	pieces.contents[0] = []byte("piece")
	missingPiece := 3
	require.True(t, plan.IsRegionFetcher(0))
	require.True(t, plan.IsRegionFetcher(missingPiece))
	m.downlink.release(time.Now(), "a-1", time.Second)
	m.downlink.release(time.Now(), "a-2", time.Second)
	_, status := m.weightsResponse(t.Context(), pieces, "3"+readySuffix)
	require.Equal(t, http.StatusTooManyRequests, status)
	body, status := m.weightsResponse(t.Context(), pieces, "0")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, []byte("piece"), body)
	require.False(t, m.shouldDecline(olderKey, 1), "an agent does not decline pieces that it fetches in place of another agent")
	m.downlink.release(time.Now(), "a-1", time.Millisecond)
	require.False(t, m.shouldDecline(olderKey, missingPiece))
}

func TestEndOfAPauseNamesTheProcessThatLoadedTheVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newSimulatedEngine()
		e.restart()
		var announced []fleet.PauseNotice
		m := newTestManager(func(notice fleet.PauseNotice) { announced = append(announced, notice) })
		m.config.Engine = e
		require.NoError(t, m.load(t.Context(), m.config.Log, TargetVersion{VersionKey: olderKey}, completePieces(olderKey)))
		require.Equal(t, []fleet.PauseNotice{{Model: olderKey.Model, Version: olderKey.Version, Ended: true, StartedAtMillis: e.startedAtMillis}}, announced)
	})
}
