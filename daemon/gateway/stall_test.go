package gateway

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/core/clock"
	"currantusher.dev/daemon/obs"
	"currantusher.dev/members/gossip"
	"currantusher.dev/platform/nodefile"
	"currantusher.dev/requests/direct"
	"currantusher.dev/requests/notices"
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

// Requests of a server that had only fallen silent were closed.
func TestStallOfServersClosesNoRequest(t *testing.T) {
	const retries, requestsPerServer = 4, 3
	g := newStallGateway(t, retries)
	cancelled, reported := 0, 0
	now := time.Now()
	servers := []core.InstanceID{"s-1", "s-2"}
	placer := g.services.placer("llm")
	for _, server := range servers {
		// The placer knows the servers that it has picked.
		for range requestsPerServer {
			_, err := placer.Pick(now, placement.Request{}, []placement.Candidate{{ID: server, Limit: 16, Direct: true, FreeSlots: 16}})
			require.NoError(t, err)
			attempt := observer{gateway: g, service: "llm"}.StartAttempt(direct.Attempt{
				Server: notices.Lifetime{Server: server}, Recall: func(direct.RecallReason) bool { cancelled++; return true }, ReportStalled: func() { reported++ },
			})
			attempt.DataReceived()
		}
	}
	later := now.Add(time.Minute)
	g.reportStalledServers(later)
	require.Zero(t, cancelled)
	require.Equal(t, len(servers)*requestsPerServer, reported)
	require.Equal(t, retries, placer.Retries(), "each request takes its retry when another server is asked")
	_, err := placer.Pick(later, placement.Request{}, []placement.Candidate{{ID: "s-1", Limit: 16, Direct: true, FreeSlots: 13}})
	require.Error(t, err, "the servers are ejected")
}

// A server that had gone on after a silence got no request until its ejection was over,
// and then one at a time.
func TestServerThatGoesOnAfterAStallGetsRequestsAtOnce(t *testing.T) {
	g := newStallGateway(t, 4)
	placer, now := g.services.placer("llm"), time.Now()
	candidates := []placement.Candidate{{ID: "s-1", Limit: 16, Direct: true, FreeSlots: 13}}
	_, err := placer.Pick(now, placement.Request{}, candidates)
	require.NoError(t, err)
	attempt := observer{gateway: g, service: "llm"}.StartAttempt(direct.Attempt{Server: notices.Lifetime{Server: "s-1"}, ReportStalled: func() {}})
	attempt.DataReceived()
	later := now.Add(time.Minute)
	g.reportStalledServers(later)
	_, err = placer.Pick(later, placement.Request{}, candidates)
	require.Error(t, err, "the server is ejected")
	attempt.DataReceived()
	for range 2 {
		_, err = placer.Pick(later, placement.Request{}, candidates)
		require.NoError(t, err)
	}
}
