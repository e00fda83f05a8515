package versionages

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/platform/rowstore"
	"currantusher.dev/platform/standin"
	"currantusher.dev/tables/watch"
)

// loseVersionsAfter lets a daemon read that the store has lost all versions after one.
func (d *daemon) loseVersionsAfter(version int) {
	row := rowstore.Row{Table: watch.OperatorTable, Key: standin.VersionKey("m"), Value: standin.VersionRow("m", version), Revision: uint64(4 + version)}
	d.follower.Import(watch.Snapshot{Table: watch.OperatorTable, Era: 1, NewestRevision: row.Revision, Cursor: row.Revision, Rows: []rowstore.Row{row}})
}

func TestLostVersionThatAgentsKnowIsRequiredByEntriesThatAllStartAfterTheLoss(t *testing.T) {
	agent, entry := newDaemon(), newDaemon()
	agent.read(1, 0)
	agent.read(2, time.Second)
	agent.read(3, time.Second)
	agent.now = start.Add(3 * time.Second)
	entry.now = agent.now
	agent.loseVersionsAfter(2)
	entry.loseVersionsAfter(2)
	exchange(t, agent, entry)
	mustBeInForceAt := start.Add(2*time.Second + inForceWithin)
	require.EqualValues(t, 3, agent.follower.View().RequiredVersion(mustBeInForceAt, "m", inForceWithin))
	require.EqualValues(t, 3, entry.follower.View().RequiredVersion(mustBeInForceAt, "m", inForceWithin))
}
