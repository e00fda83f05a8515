package gateway

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/core/clock"
	"currantusher.dev/daemon/obs"
	"currantusher.dev/members/gossip"
	"currantusher.dev/platform/nodefile"
	"currantusher.dev/requests/placement"
	"currantusher.dev/requests/stall"
	"currantusher.dev/tables/watch"
)

// newStallGateway returns a gateway whose retry budget at service "llm" holds retries.
func newStallGateway(t *testing.T, retries int) *Gateway {
	t.Helper()
	node, err := gossip.Listen(gossip.Config{
		Self:         gossip.Member{ID: "e-1", PeerAddr: "127.0.0.1:0"},
		Revisions:    func() (uint64, map[string]uint64) { return 0, nil },
		Loads:        func() map[core.InstanceID]int { return nil },
		ReachesStore: func() bool { return true },
		Log:          obs.DiscardLogger().Component("gossip"),
	})
	require.NoError(t, err)
	g := &Gateway{
		started: time.Now(), gossip: node, stallDetector: stall.NewDetector(), registry: metrics.NewRegistry(),
		clock: clock.New(), log: obs.DiscardLogger().Component("entry"),
		follower: watch.NewFollower(watch.Config{Now: time.Now, Log: obs.DiscardLogger().Component("watch")}),
	}
	g.node.Store(&nodefile.Node{Bounds: nodefile.Bounds{RetryRatio: 1, RetrySlack: 100}})
	g.services, g.queueWaits = newServiceSet(g), newQueueWaits(g)
	placer := g.services.placer("llm")
	placer.SetRetryBurst(retries)
	for range 10 * retries {
		placer.DepositRetry()
	}
	require.Equal(t, retries, placer.Retries())
	return g
}

func TestStreamsOfServersThatStallTogetherAreNotCutBeyondTheRetryBudget(t *testing.T) {
	const retries, requestsPerServer = 4, 3
	g := newStallGateway(t, retries)
	cancelled := 0
	var paid atomic.Int64
	now := time.Now()
	for _, server := range []core.InstanceID{"s-1", "s-2"} {
		// The placer knows the servers that it has picked.
		for range requestsPerServer {
			_, err := g.services.placer("llm").Pick(now, placement.Request{}, []placement.Candidate{{ID: server, Limit: 16, Direct: true, FreeSlots: 16}})
			require.NoError(t, err)
			attempt := observer{gateway: g, service: "llm", paidRetries: &paid}.StartAttempt(server, func() { cancelled++ })
			attempt.DataReceived()
		}
	}
	g.moveFromStalledServers(now.Add(time.Minute))
	require.Equal(t, retries, cancelled)
	require.EqualValues(t, retries, paid.Load())
	require.Zero(t, g.services.placer("llm").Retries())
}
