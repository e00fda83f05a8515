package watch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/platform/standin"
)

// newStateAfterLoss returns a State that starts after the store has lost the rows of
// newStateInEra from revision 11 on, and one that has known them.
func newStateAfterLoss(t *testing.T, lostAt time.Time) (started, informed *State) {
	t.Helper()
	informed = newStateInEra(t, 1)
	require.True(t, informed.Replace(lostAt, OperatorTable, eraPage(2, 10, configRow(3, 10))))
	started = NewState()
	require.True(t, started.Replace(lostAt, OperatorTable, eraPage(2, 10, configRow(3, 10))))
	return started, informed
}

func TestDaemonThatStartsAfterALossLearnsTheLostRows(t *testing.T) {
	lostAt := start.Add(time.Minute)
	started, informed := newStateAfterLoss(t, lostAt)
	startedAt := lostAt.Add(time.Second)
	require.True(t, started.Import(startedAt, informed.exportLost(startedAt)))
	view := started.View()
	require.True(t, view.OutDataCentres["a"])
	require.EqualValues(t, 7, view.Table.Config.Version)
	require.Equal(t, TargetVersion{Version: 3}, view.NewestTarget("m"))
	require.Equal(t, informed.View().LostRows, view.LostRows)
	require.False(t, started.Import(startedAt, informed.exportLost(startedAt)))
	for _, s := range []*State{started, informed} {
		s.Apply(lostAt.Add(lapsedEvacuationGrace-1), OperatorTable, eraPage(2, 10))
		require.True(t, s.View().OutDataCentres["a"])
		s.Apply(lostAt.Add(lapsedEvacuationGrace), OperatorTable, eraPage(2, 10))
		require.False(t, s.View().OutDataCentres["a"])
		require.EqualValues(t, 2, s.View().LostRows, "the configuration and the version stay in force")
	}
}

func TestLostRowsAreNotKeptBeyondTheirNextWrite(t *testing.T) {
	started, informed := newStateAfterLoss(t, start)
	for _, s := range []*State{started, informed} {
		s.Apply(start, OperatorTable, eraPage(2, 13, configRow(8, 11), operatorRow(standin.EvacuationKey("a"), "{}", 12), versionRow(3, 13)))
		require.Zero(t, s.View().LostRows)
	}
	stale := newStateInEra(t, 1)
	require.True(t, stale.Replace(start, OperatorTable, eraPage(2, 10, configRow(3, 10))))
	require.False(t, started.Import(start, stale.exportLost(start)))
	require.Equal(t, stale.View().LostRows, started.View().LostRowsSeen, "they are fetched once")
	require.EqualValues(t, 8, started.View().Table.Config.Version)
	require.Zero(t, started.View().LostRows)
	started.Apply(start.Add(lapsedEvacuationGrace), OperatorTable, eraPage(2, 13))
	require.True(t, started.View().OutDataCentres["a"])
}

func TestLostRowsOfAnotherEraAreNotImported(t *testing.T) {
	started, informed := newStateAfterLoss(t, start)
	require.True(t, started.Replace(start, OperatorTable, eraPage(3, 9, configRow(2, 9))))
	require.False(t, started.Import(start, informed.exportLost(start)))
	require.False(t, started.View().OutDataCentres["a"])
	require.True(t, informed.Replace(start, OperatorTable, eraPage(3, 9, configRow(2, 9))))
	require.True(t, started.Import(start, informed.exportLost(start)), "a second loss does not end what the first one kept")
	require.True(t, started.View().OutDataCentres["a"])
	require.EqualValues(t, 7, started.View().Table.Config.Version)
}
