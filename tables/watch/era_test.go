package watch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/platform/rowstore"
	"currantusher.dev/platform/standin"
)

func eraPage(era, revision uint64, rows ...rowstore.Row) rowstore.Page {
	return rowstore.Page{Rows: rows, Revision: revision, Era: era}
}

// newStateInEra returns a state that has read configuration 7, data centre a out, weights
// version 3, and servers s-1, which is leaving, and s-2.
func newStateInEra(t *testing.T, era uint64) *State {
	t.Helper()
	s := NewState()
	require.True(t, s.Replace(start, OperatorTable, eraPage(era, 10, configRow(3, 10))))
	require.True(t, s.Replace(start, ServersTable, eraPage(era, 10)))
	require.True(t, s.Apply(start, OperatorTable, eraPage(era, 20, configRow(7, 18),
		operatorRow(standin.EvacuationKey("a"), "{}", 19), operatorRow(standin.VersionKey("m"), string(standin.VersionRow("m", 3)), 20))))
	require.True(t, s.Apply(start, ServersTable, eraPage(era, 22, serverRow("s-1", 21, map[string]any{"state": "draining", "seq": 2}), serverRow("s-2", 22, nil))))
	s.TakeEvents()
	return s
}

// A follower went on with the rows of the lost seconds until the store's revisions had
// passed its own, because it took the store's reply for an outdated one.
func TestLaterEraBeginsAnewBelowTheKnownRevision(t *testing.T) {
	s := newStateInEra(t, 1)
	now := start.Add(time.Minute)
	require.True(t, s.Replace(now, ServersTable, eraPage(2, 11, serverRow("s-3", 11, nil))))
	require.True(t, s.Replace(now, OperatorTable, eraPage(2, 10, configRow(3, 10))))
	s.Expire(now.Add(lapsedRowGrace))
	require.Equal(t, []string{"s-3"}, serverIDs(s.View()))
	require.Equal(t, rowstore.Position{Era: 2, Revision: 11}, s.NewestChange(ServersTable))
	require.True(t, s.Apply(now, ServersTable, eraPage(2, 12, serverRow("s-4", 12, nil))))
	require.Equal(t, []string{"s-3", "s-4"}, serverIDs(s.View()))
}

// A revision that is given out again has another row than before.
func TestReissuedRevisionReplacesTheRow(t *testing.T) {
	s := newStateInEra(t, 1)
	moved := serverRow("s-2", 22, map[string]any{"address": "10.0.0.9:80"})
	require.True(t, s.Replace(start, ServersTable, eraPage(2, 22, moved)))
	require.Equal(t, "10.0.0.9:80", s.View().Servers["llm"][0].Addr)
}

func TestEarlierErasAreIgnored(t *testing.T) {
	s := newStateInEra(t, 5)
	require.True(t, s.Replace(start, ServersTable, eraPage(6, 30, serverRow("s-3", 30, nil))))
	require.False(t, s.Replace(start, ServersTable, eraPage(5, 90)))
	require.False(t, s.Apply(start, ServersTable, eraPage(5, 91, serverRow("s-9", 91, nil))))
	require.False(t, s.Replace(start, OperatorTable, eraPage(5, 90)), "the servers' rows told of the later era")
	require.False(t, s.Apply(start, OperatorTable, eraPage(5, 91, configRow(9, 91))))
	require.False(t, s.Import(start, newStateInEra(t, 5).Export(ServersTable)), "a peer that is cut off")
	require.False(t, s.Apply(start, OperatorTable, eraPage(6, 91, configRow(9, 91))), "changes since a revision of an earlier era")
	require.EqualValues(t, 7, s.View().Table.Config.Version)
	require.NotContains(t, serverIDs(s.View()), "s-9")
}

func TestAcceptedConfigurationAndVersionsOutliveALoss(t *testing.T) {
	s := newStateInEra(t, 1)
	now := start.Add(time.Minute)
	require.True(t, s.Replace(now, OperatorTable, eraPage(2, 10, configRow(3, 10))))
	require.EqualValues(t, 7, s.View().Table.Config.Version)
	require.True(t, s.Apply(now, OperatorTable, eraPage(2, 12, configRow(7, 11), operatorRow(standin.VersionKey("m"), string(standin.VersionRow("m", 3)), 12))))
	require.EqualValues(t, 7, s.View().Table.Config.Version)
	require.Equal(t, TargetVersion{Version: 3, Since: start}, s.View().NewestTarget("m"), "the deadline is that of the first acceptance")
	require.True(t, s.Apply(now, OperatorTable, eraPage(2, 13, configRow(8, 13))))
	require.EqualValues(t, 8, s.View().Table.Config.Version)
	require.True(t, s.Replace(now, OperatorTable, eraPage(3, 1)))
	require.EqualValues(t, 8, s.View().Table.Config.Version, "the store has no configuration at all")
}

func TestLostEvacuationHoldsUntilItIsWrittenAgain(t *testing.T) {
	now := start.Add(time.Minute)
	for _, isWrittenAgain := range []bool{true, false} {
		s := newStateInEra(t, 1)
		require.True(t, s.Replace(now, OperatorTable, eraPage(2, 10, configRow(3, 10))))
		require.True(t, s.View().OutDataCentres["a"])
		s.Expire(now.Add(lapsedEvacuationGrace - time.Millisecond))
		require.True(t, s.View().OutDataCentres["a"])
		if isWrittenAgain {
			s.Apply(now, OperatorTable, eraPage(2, 11, operatorRow(standin.EvacuationKey("a"), "{}", 11)))
		}
		s.Expire(now.Add(lapsedEvacuationGrace))
		require.Equal(t, isWrittenAgain, s.View().OutDataCentres["a"])
		require.False(t, isWrittenAgain && s.HasLapsedRows())
	}
}

func TestLostEvacuationEndsWhenOperatorsEndIt(t *testing.T) {
	s := newStateInEra(t, 1)
	require.True(t, s.Replace(start, OperatorTable, eraPage(2, 10, configRow(3, 10))))
	s.Apply(start, OperatorTable, eraPage(2, 11, operatorRow(standin.EvacuationKey("a"), "{}", 11)))
	s.Apply(start, OperatorTable, eraPage(2, 12, rowstore.Row{Table: OperatorTable, Key: standin.EvacuationKey("a"), Revision: 12, Deleted: true}))
	require.False(t, s.View().OutDataCentres["a"])
}

// The copy of the store has the row from before the server announced its leaving.
func TestLostAnnouncementOfLeavingHolds(t *testing.T) {
	s := newStateInEra(t, 1)
	require.True(t, s.Replace(start, ServersTable, eraPage(2, 11, serverRow("s-1", 9, map[string]any{"seq": 2}), serverRow("s-2", 10, nil))))
	require.True(t, s.View().Servers["llm"][0].Leaving)
	s.Apply(start, ServersTable, eraPage(2, 12, serverRow("s-1", 12, map[string]any{"born": 2})))
	require.False(t, s.View().Servers["llm"][0].Leaving, "the server has restarted")
}

func TestServersHaveTimeToWriteLostRowsAgain(t *testing.T) {
	s := newStateInEra(t, 1)
	now := start.Add(time.Minute)
	require.True(t, s.Replace(now, ServersTable, eraPage(2, 11)))
	require.Equal(t, []string{"s-2"}, serverIDs(s.View()), "a server that was leaving is not used any more")
	s.Expire(now.Add(lapsedRowGrace - time.Millisecond))
	require.Equal(t, []string{"s-2"}, serverIDs(s.View()))
	s.Expire(now.Add(lapsedRowGrace))
	require.Empty(t, serverIDs(s.View()))
}

// A second loss must neither remove servers early nor keep them for good.
func TestTwoLossesInARow(t *testing.T) {
	s := newStateInEra(t, 1)
	now := start.Add(time.Minute)
	require.True(t, s.Replace(now, ServersTable, eraPage(2, 11)))
	s.MarkStoreDown()
	now = now.Add(10 * time.Second)
	s.Expire(now)
	require.Equal(t, []string{"s-2"}, serverIDs(s.View()), "the server cannot write while the store is down")
	require.True(t, s.Replace(now, ServersTable, eraPage(3, 5)))
	require.True(t, s.Replace(now, OperatorTable, eraPage(3, 5)))
	s.Expire(now.Add(lapsedRowGrace - 1))
	require.Equal(t, []string{"s-2"}, serverIDs(s.View()))
	s.Expire(now.Add(lapsedRowGrace))
	require.Empty(t, serverIDs(s.View()))
}

func TestSnapshotOfALaterEraIsImported(t *testing.T) {
	ahead, behind := newStateInEra(t, 1), newStateInEra(t, 1)
	require.True(t, ahead.Replace(start, ServersTable, eraPage(2, 4, serverRow("s-3", 4, nil))))
	behind.MarkStoreDown()
	require.True(t, behind.Import(start, ahead.Export(ServersTable)))
	require.Equal(t, ahead.NewestChange(ServersTable), behind.NewestChange(ServersTable))
	cursor, _ := behind.Cursor(ServersTable)
	require.Equal(t, rowstore.Position{Era: 2, Revision: 4}, cursor)
	behind.Expire(start.Add(lapsedRowGrace))
	require.Equal(t, []string{"s-3"}, serverIDs(behind.View()), "the peer read from the store after its loss")
}

// The transition is logged once, when both tables were read.
func TestOneEventForEachTransition(t *testing.T) {
	s := newStateInEra(t, 1)
	transitions := func() (list []EraChange) {
		for _, event := range s.TakeEvents() {
			if event.EraChange != nil {
				list = append(list, *event.EraChange)
			}
		}
		return list
	}
	s.Replace(start, ServersTable, eraPage(2, 11, serverRow("s-2", 11, map[string]any{"slots": 4})))
	require.Empty(t, transitions())
	s.Replace(start, ServersTable, eraPage(3, 11, serverRow("s-2", 11, map[string]any{"slots": 4})))
	s.Replace(start, OperatorTable, eraPage(3, 10, configRow(3, 10)))
	require.Equal(t, []EraChange{{From: 1, To: 3, Dropped: 3, Replaced: 2}}, transitions())
	view := s.View()
	require.EqualValues(t, 3, view.Era)
	require.EqualValues(t, 1, view.EraChanges)
	require.EqualValues(t, 3, view.DroppedRows)
	s.Apply(start, ServersTable, eraPage(3, 12, serverRow("s-4", 12, nil)))
	require.Empty(t, transitions())
}

func TestStoreWithoutErasHasNoTransition(t *testing.T) {
	s := newLoadedState(t)
	s.Replace(start, OperatorTable, newPage(9, configRow(8, 9)))
	for _, event := range s.TakeEvents() {
		require.Nil(t, event.EraChange)
	}
	require.Zero(t, s.View().Era)
}
