package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/daemon/quarantinerows"
	"currantusher.dev/members/gossip"
)

func membersOf(dataCentres, each int) []gossip.Member {
	var members []gossip.Member
	for i := range dataCentres * each {
		members = append(members, gossip.Member{ID: core.InstanceID(fmt.Sprint("entry-", i)), DataCentre: core.DataCentre(fmt.Sprint(i % dataCentres))})
	}
	return members
}

func TestFewEntriesKeepTheRowsOfQuarantines(t *testing.T) {
	for name, c := range map[string]struct{ dataCentres, each, keepers int }{
		"small": {3, 3, 9},
		"large": {6, 25, 12},
		"one":   {1, 1, 1},
	} {
		members := membersOf(c.dataCentres, c.each)
		ranks := map[int]bool{}
		for _, m := range members {
			if rank, isKeeper := keeperRank(m.ID, members, nil); isKeeper {
				ranks[rank] = true
			}
		}
		require.Len(t, ranks, c.keepers, name)
		require.True(t, ranks[0], name)
		require.True(t, ranks[c.keepers-1], name)
	}
}

// An entry that reads the configuration from others while the store is away must serve.
func TestEntryDoesNotWaitLongForStoredQuarantines(t *testing.T) {
	s := &storedQuarantines{Keeper: quarantinerows.NewKeeper(quarantinerows.Config{})}
	now := time.Unix(1000, 0)
	require.False(t, s.areKnown(now))
	require.False(t, s.areKnown(now.Add(maxQuarantineWait-time.Millisecond)))
	require.True(t, s.areKnown(now.Add(maxQuarantineWait)))
}
