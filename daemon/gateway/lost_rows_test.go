package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core/httpcall"
	"currantusher.dev/core/netdial"
	"currantusher.dev/platform/rowstore"
	"currantusher.dev/platform/standin"
	"currantusher.dev/tables/watch"
)

func TestEntryThatStartsAfterALossKeepsAnEvacuationThatAnotherEntryKnows(t *testing.T) {
	started, _ := newStartedEntry(t)
	informed, addr := newStartedEntry(t)
	evacuation := rowstore.Row{Table: watch.OperatorTable, Key: standin.EvacuationKey("a"), Value: []byte("{}"), Revision: 6}
	require.True(t, informed.follower.Import(watch.Snapshot{Table: watch.OperatorTable, NewestRevision: 6, Cursor: 6, Rows: []rowstore.Row{evacuation}}))
	for _, g := range []*Gateway{started, informed} {
		row := rowstore.Row{Table: watch.OperatorTable, Key: standin.VersionKey("m"), Value: standin.VersionRow("m", 2), Revision: 5}
		require.True(t, g.follower.Import(watch.Snapshot{Table: watch.OperatorTable, Era: 1, NewestRevision: 5, Cursor: 5, Rows: []rowstore.Row{row}}))
	}
	_, revisions := informed.revisions()
	require.Greater(t, revisions[watch.LostRows], positions(started.follower.View())[watch.LostRows].Revision)
	client := httpcall.New(httpcall.Config{Dial: netdial.New(peerTimeout).DialContext})
	require.NoError(t, started.fetchTable(t.Context(), client, addr, watch.LostRows))
	require.True(t, started.follower.View().OutDataCentres["a"])
	require.Equal(t, revisions[watch.LostRows], positions(started.follower.View())[watch.LostRows].Revision)
}
