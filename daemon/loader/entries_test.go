package loader

import (
	"fmt"
	"testing"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/members/gossip"
)

func TestChangeOfTheEntriesIsLogged(t *testing.T) {
	logger, hook := logtest.NewNullLogger()
	list := &entryList{log: logger.WithField("part", "agent")}
	before := []gossip.Member{{ID: "e-1"}, {ID: "e-2"}}
	list.logChange(before, before)
	require.Empty(t, hook.AllEntries())

	after := []gossip.Member{{ID: "e-2"}}
	for i := range maxLoggedEntries + 1 {
		after = append(after, gossip.Member{ID: core.InstanceID(fmt.Sprintf("e-%d", 10+i))})
	}
	list.logChange(before, after)
	data := hook.LastEntry().Data
	require.Equal(t, []core.InstanceID{"e-1"}, data["removed_ids"])
	require.Len(t, data["added_ids"], maxLoggedEntries)
	require.Equal(t, maxLoggedEntries+1, data["added"])
}
