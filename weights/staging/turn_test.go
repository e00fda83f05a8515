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

const inForce = 8 * time.Second

var (
	older = VersionKey{Model: "m", Version: 2}
	newer = VersionKey{Model: "m", Version: 3}
)

func newTestManager(announce func(fleet.PauseNotice)) *Manager {
	log := logrus.New()
	log.SetOutput(io.Discard)
	agents := agentsOf("north", "north", "north")
	return New(Config{Self: agents[0], AnnouncePause: announce, Log: logrus.NewEntry(log)})
}

// bringing notes work on a version as follow does, with so many pieces here.
func (m *Manager) bringing(wanted TargetVersion, here int) {
	held := newPieces(wanted.VersionKey, make([][32]byte, 4))
	held.missing = len(held.digests) - here
	m.held[wanted.VersionKey] = held
	m.jobs[wanted.VersionKey] = &job{wanted: wanted}
	m.newest[wanted.Model] = max(m.newest[wanted.Model], wanted.Version)
}

func serving(version fleet.WeightsVersion) worker.Report {
	return worker.Report{Loaded: map[fleet.Model]fleet.WeightsVersion{"m": version}}
}

func TestPauseIsAnnouncedAheadOfTheTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var announced []fleet.PauseNotice
		m := newTestManager(func(p fleet.PauseNotice) { announced = append(announced, p) })
		wanted := TargetVersion{VersionKey: older, RequestedAt: time.Now(), InForceWithin: inForce}
		m.bringing(wanted, 4)
		plan := NewFetchPlan(m.config.Self, "north", agentsOf("north", "north", "north"))
		turn := m.turn(wanted, plan, serving(1))
		require.Empty(t, announced, "an agent without all pieces knows no turn")
		require.NoError(t, m.awaitTurn(t.Context(), wanted, turn))
		require.Len(t, announced, 1)
		require.Equal(t, turn, time.Now())
		require.Equal(t, turn.Sub(wanted.RequestedAt), announced[0].StartsIn)
	})
}

// Pieces that come after the turn leave the entries some time to drain.
func TestLateTurnIsAnnouncedAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var announced []fleet.PauseNotice
		m := newTestManager(func(p fleet.PauseNotice) { announced = append(announced, p) })
		wanted := TargetVersion{VersionKey: older, RequestedAt: time.Now().Add(-6 * time.Second), InForceWithin: inForce}
		m.bringing(wanted, 4)
		began := time.Now()
		require.NoError(t, m.awaitTurn(t.Context(), wanted, began.Add(-time.Second)))
		require.Equal(t, lateNotice, time.Since(began))
		require.Equal(t, lateNotice, announced[0].StartsIn)
	})
}

// A version gives way to a newer one whose pieces are here in time, and the
// newer one is then loaded before the older one must be in force.
func TestVersionGivesWayToANewerOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newTestManager(nil)
		began := time.Now()
		first := TargetVersion{VersionKey: older, RequestedAt: began.Add(-4 * time.Second), InForceWithin: inForce}
		second := TargetVersion{VersionKey: newer, RequestedAt: began.Add(-time.Second), InForceWithin: inForce}
		m.bringing(first, 4)
		m.bringing(second, 4)
		require.ErrorIs(t, m.awaitTurn(t.Context(), first, began.Add(time.Second)), errSuperseded)
		require.NoError(t, m.awaitTurn(t.Context(), second, began.Add(time.Hour)))
		require.Equal(t, first.latest(), time.Now())
	})
}

// A newer version that comes too late for the older one's time spares no load.
func TestVersionIsLoadedWhenTheNewerOneComesLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newTestManager(nil)
		first := TargetVersion{VersionKey: older, RequestedAt: time.Now().Add(-4 * time.Second), InForceWithin: inForce}
		m.bringing(first, 4)
		m.bringing(TargetVersion{VersionKey: newer, RequestedAt: time.Now(), InForceWithin: inForce}, 1)
		require.NoError(t, m.awaitTurn(t.Context(), first, time.Now().Add(time.Second)))
	})
}

func TestEmptyEngineLoadsAtOnce(t *testing.T) {
	m := newTestManager(nil)
	wanted := TargetVersion{VersionKey: older, RequestedAt: time.Now(), InForceWithin: inForce}
	require.True(t, m.turn(wanted, FetchPlan{}, worker.Report{}).IsZero())
	require.NoError(t, m.awaitTurn(t.Context(), wanted, time.Time{}))
}

// The agent on a narrow link leaves pieces that it has not got yet to the next
// one, and hands on those that it has.
func TestAgentOnANarrowLinkDeclinesItsPieces(t *testing.T) {
	m := newTestManager(nil)
	agents := agentsOf("north", "north", "north")
	plan := NewFetchPlan(agents[0], "north", agents)
	m.bringing(TargetVersion{VersionKey: older}, 1)
	m.keepPlan(older, plan)
	held := m.holds(older)
	held.content[0] = []byte("piece")
	owned := 3
	require.True(t, plan.Owns(0))
	require.True(t, plan.Owns(owned))
	m.downlink.release(time.Now(), "a-1", time.Second)
	m.downlink.release(time.Now(), "a-2", time.Second)
	_, status := m.answerPeer(t.Context(), held, "3"+awaitSuffix)
	require.Equal(t, http.StatusTooManyRequests, status)
	body, status := m.answerPeer(t.Context(), held, "0")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, []byte("piece"), body)
	require.False(t, m.declines(older, 1), "it does not decline what it brings in another's place")
	m.downlink.release(time.Now(), "a-1", time.Millisecond)
	require.False(t, m.declines(older, owned))
}
