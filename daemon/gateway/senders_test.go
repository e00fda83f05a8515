package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/daemon/obs"
	"currantusher.dev/members/gossip"
	"currantusher.dev/platform/nodefile"
	"currantusher.dev/requests/coldlimit"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
)

// An entry that has just started and does not know the others must use none of
// what all share: when all restart at once, each would take itself for alone.
func TestNewEntryUsesNoShareUntilItKnowsTheOthers(t *testing.T) {
	node, err := gossip.Listen(gossip.Config{
		Self:         gossip.Member{ID: "e-1", PeerAddr: "127.0.0.1:0"},
		Revisions:    func() map[string]uint64 { return nil },
		Loads:        func() map[core.InstanceID]int { return nil },
		ReachesStore: func() bool { return true },
		Log:          obs.Discard().Part("gossip"),
	})
	require.NoError(t, err)
	g := &Gateway{started: time.Now(), gossip: node, cold: coldlimit.NewCounter()}
	g.node.Store(&nodefile.Node{Bounds: nodefile.Bounds{ColdOvershoot: 1.5, ColdSlack: 5, RetryRatio: 0.2, RetrySlack: 100}})
	service := &fleet.Service{ColdPerSecond: 36}
	shares := &serviceSet{gateway: g}
	require.Zero(t, g.senders())
	require.Zero(t, g.coldShare(service))
	require.Zero(t, shares.retryShare())

	g.started = time.Now().Add(-shareUnknown)
	require.Equal(t, assumedSenders, g.senders(), "without the store many others are assumed")

	g.knowsEntries.Store(true)
	require.Equal(t, 1, g.senders())
	alone := g.coldShare(service)
	require.Positive(t, alone)
	node.Introduce("127.0.0.1:1", "127.0.0.1:2")
	require.Equal(t, 3, g.senders(), "those that were named and have not answered yet count")
	require.LessOrEqual(t, 3*g.coldShare(service), alone)
	require.Equal(t, 26, shares.retryShare(), "four fifths of 100 for three")
}
