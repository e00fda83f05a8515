package gateway

import (
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"currantusher.dev/daemon/obs"
	"currantusher.dev/members/activeset"
	"currantusher.dev/members/gossip"
	"currantusher.dev/platform/nodefile"
	"currantusher.dev/requests/sharedlimit"

	"currantusher.dev/core"
)

// An entry that has just started and has not discovered the other entries must
// use none of the shared limits. Otherwise, after a restart of all entries, each
// would use the whole limit.
func TestNewEntryUsesNoSharedLimitsBeforeDiscovery(t *testing.T) {
	g, node := newLoneGateway(t)
	services := &serviceSet{gateway: g}
	share := func() int { return g.sharing().Part("s-1", sharedlimit.Cold(36, 1.5, 5)).Requests }
	timing := activityTiming(0, false)
	g.activity.Update(time.Now(), true, false, timing)
	g.entriesLoaded.Store(true)
	require.Zero(t, g.senders().Count, "the other entries do not know of it yet")

	g.activity = activeset.Status{}
	g.activity.Update(time.Now().Add(-timing.Settle), true, false, timing)
	g.activity.Update(time.Now(), true, false, timing)
	g.entriesLoaded.Store(false)
	require.Zero(t, g.senders().Count)
	require.Zero(t, share())
	require.Zero(t, services.retryDivision().share("p"))

	g.started = time.Now().Add(-discoveryTime)
	require.Equal(t, assumedSenders, g.senders().Count, "without the store, many other entries are assumed")

	g.entriesLoaded.Store(true)
	require.Equal(t, 1, g.senders().Count)
	shareOfOne := share()
	require.Positive(t, shareOfOne)
	node.AddPeerAddrs("127.0.0.1:1", "127.0.0.1:2")
	require.Equal(t, 3, g.senders().Count, "added entries count before they respond")
	require.LessOrEqual(t, 3*share(), shareOfOne)
	require.Equal(t, 26, services.retryDivision().share("p"), "four fifths of 100, divided by three entries")
}

// A service was without retries while another one, and the metric, had a share of them.
func TestAllServicesGetTheirRetriesAtOnce(t *testing.T) {
	g, _ := newLoneGateway(t)
	g.entriesLoaded.Store(true)
	services := newServiceSet(g)
	names := []core.PoolName{"p-1", "p-2", "p-3"}
	for _, name := range names {
		services.get(name)
	}
	timing := activityTiming(0, false)
	const divisions = 2000
	for i := range divisions {
		g.activity = activeset.Status{}
		g.activity.Update(time.Now().Add(-timing.Settle), true, false, timing)
		var activation sync.WaitGroup
		activation.Go(func() {
			g.activityMu.Lock()
			defer g.activityMu.Unlock()
			g.activity.Update(time.Now(), true, false, timing)
		})
		share := services.divideRetries()
		activation.Wait()
		for _, name := range names {
			placer := services.placer(name)
			placer.ReturnRetries(share)
			require.Equal(t, share, placer.Retries(), "division %d, service %s", i, name)
		}
	}
}

// newLoneGateway returns a gateway without its peers, and its node of the gossip.
func newLoneGateway(t *testing.T) (*Gateway, *gossip.Node) {
	t.Helper()
	node, err := gossip.Listen(gossip.Config{
		Self:         gossip.Member{ID: "e-1", PeerAddr: "127.0.0.1:0"},
		Revisions:    func() (uint64, map[string]uint64) { return 0, nil },
		Loads:        func() map[core.InstanceID]int { return nil },
		ReachesStore: func() bool { return true },
		Log:          obs.DiscardLogger().Component("gossip"),
	})
	require.NoError(t, err)
	g := &Gateway{started: time.Now(), gossip: node, registry: metrics.NewRegistry()}
	g.node.Store(&nodefile.Node{Bounds: nodefile.Bounds{ColdOvershoot: 1.5, ColdSlack: 5, RetryRatio: 0.2, RetrySlack: 100}})
	return g, node
}

// With more entries than retries, none of the entries could retry.
func TestRetriesAreUsedWithMoreEntriesThanRetries(t *testing.T) {
	const budget = 81
	for _, entries := range []int{1, 9, 81, 82, 150, 350} {
		f := newSimulatedFleet(entries, 7, 1)
		sum := 0
		for _, e := range f.entries {
			senders := gossip.Senders{Count: entries}
			for _, other := range f.entries {
				if other != e {
					senders.Others = append(senders.Others, other.member)
				}
			}
			division := retryDivision{sharing: newLimitSharing(e.member, senders, true, nil), entries: senders.Count, retries: budget}
			sum += division.share("p")
		}
		require.LessOrEqual(t, sum, budget, "%d entries", entries)
		require.Greater(t, sum, budget/2, "%d entries", entries)
	}
}
