package swarm

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"currantusher.dev/core"
	"currantusher.dev/core/invariant"
	"currantusher.dev/wire"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

// plannerModel drives a planner with random peers and request results.
type plannerModel struct {
	planner  *planner
	now      time.Time
	inFlight map[int]peerRequest
}

// TestRandomPlanner checks the planner's invariants under random events: a chunk is
// requested once at a time, only from a peer that may serve it, and within the
// limits of requests in flight.
func TestRandomPlanner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		chunkSizes := make([]int64, rapid.IntRange(1, 20).Draw(t, "chunks"))
		for i := range chunkSizes {
			chunkSizes[i] = 10
		}
		m := &plannerModel{
			planner:  newPlanner(chunkSizes, 4, rapid.Uint64().Draw(t, "seed")),
			now:      time.Unix(0, 0),
			inFlight: map[int]peerRequest{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer":  m.recordOffer,
			"lose":   m.clearPeerOffers,
			"next":   m.startRequests,
			"answer": m.endRequest,
			"":       m.check,
		})
	})
}

func drawPeer(t *rapid.T) string { return fmt.Sprint("p", rapid.IntRange(0, 4).Draw(t, "peer")) }

func (m *plannerModel) recordOffer(t *rapid.T) {
	addr := drawPeer(t)
	m.planner.addPeer(addr, rapid.Bool().Draw(t, "far"))
	added := rapid.SliceOf(rapid.Uint32Range(0, 25)).Draw(t, "added")
	m.planner.recordOffer(addr, nil, added, rapid.Int64Range(0, 100).Draw(t, "left"))
}

func (m *plannerModel) clearPeerOffers(t *rapid.T) { m.planner.clearPeerOffers(drawPeer(t)) }

func (m *plannerModel) startRequests(t *rapid.T) {
	for _, req := range m.planner.nextRequests(m.now) {
		state := m.planner.peers[req.peer]
		require.NotContains(t, m.inFlight, req.chunk, "chunk is already requested")
		require.False(t, m.planner.have.has(req.chunk))
		require.False(t, state.banned)
		require.True(t, state.offered.has(req.chunk), "peer does not offer the chunk")
		require.GreaterOrEqual(t, state.budgetLeft, m.planner.chunkSizes[req.chunk])
		require.False(t, state.far && !m.planner.farAllowed.has(req.chunk))
		require.LessOrEqual(t, state.inFlight, maxRequestsPerPeer)
		m.inFlight[req.chunk] = req
	}
}

func (m *plannerModel) endRequest(t *rapid.T) {
	for chunk := range m.planner.chunkSizes {
		req, ok := m.inFlight[chunk]
		if !ok {
			continue
		}
		result := outcome(rapid.IntRange(int(outcomeDelivered), int(outcomeCorrupt)).Draw(t, "outcome"))
		delete(m.inFlight, chunk)
		m.now = m.now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond)
		m.planner.requestEnded(req, result, rapid.Int64Range(0, 100).Draw(t, "left"), time.Millisecond, m.now)
		if result == outcomeDelivered {
			m.planner.markStaged(chunk)
		}
		require.Equal(t, result == outcomeCorrupt, result == outcomeCorrupt && m.planner.peers[req.peer].banned)
		return
	}
}

func (m *plannerModel) check(t *rapid.T) {
	require.Len(t, m.inFlight, m.planner.peerRequests)
	require.LessOrEqual(t, m.planner.peerRequests, m.planner.maxPeerRequests)
	missing := 0
	for chunk := range m.planner.chunkSizes {
		if !m.planner.have.has(chunk) {
			missing++
		}
		count := 0
		for _, state := range m.planner.peers {
			if !state.far && !state.banned && state.offered.has(chunk) {
				count++
			}
		}
		require.Equal(t, count, int(m.planner.availability[chunk]))
	}
	require.Equal(t, missing, m.planner.missingCount)
}

// TestRandomLinkBudget checks that received and sent bytes within one window never
// exceed maxLinkCopies copies of the version.
func TestRandomLinkBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const chunk = 10
		chunks := rapid.Int64Range(1, 40).Draw(t, "chunks")
		copyBytes := chunks * chunk
		now := time.Unix(0, 0)
		budget := newLinkBudget(copyBytes, copyBytes, chunk, time.Hour, now)
		var linkBytes int64
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				if budget.reserveUpload(chunk, now) {
					linkBytes += chunk
				}
			case 1:
				if budget.allowsDownload(chunk, now) && budget.missingBytes > 0 {
					budget.recordDownload(chunk, true)
					linkBytes += chunk
				}
			case 2:
				if budget.allowsDownload(chunk, now) && budget.missingBytes > 0 {
					budget.recordDownload(chunk, false)
					linkBytes += chunk
				}
			}
			require.LessOrEqual(t, linkBytes, maxLinkCopies*copyBytes)
		}
	})
}

func TestLinkBudgetRenewsAfterWindow(t *testing.T) {
	now := time.Unix(0, 0)
	budget := newLinkBudget(100, 0, 10, time.Minute, now)
	require.True(t, budget.reserveUpload(100, now))
	require.True(t, budget.reserveUpload(100, now))
	require.False(t, budget.reserveUpload(10, now.Add(time.Minute-1)))
	require.True(t, budget.reserveUpload(10, now.Add(time.Minute)))
}

// TestLinkBudgetAllowsRecoveryAfterBurst checks an instance that loses all content
// after it spent the whole budget: it must not download anything before the burst
// ends, and may download a whole copy afterwards.
func TestLinkBudgetAllowsRecoveryAfterBurst(t *testing.T) {
	now := time.Unix(0, 0)
	budget := newLinkBudget(100, 100, 10, time.Hour, now)
	budget.recordDownload(100, true)
	now = now.Add(20 * time.Second)
	budget.markComplete(now)
	require.True(t, budget.reserveUpload(100, now))
	budget.setMissingBytes(100)
	require.False(t, budget.allowsDownload(10, now), "the burst has not ended")
	require.True(t, budget.allowsDownload(100, now.Add(40*time.Second)), "the burst ends after three times the duration of the download")
	require.Zero(t, budget.sentBytes)
}

// An engine that lost its content right after the download receives a copy 30 s later, from
// peers that have spent their budgets of the first window. Their links then carry more
// than maxLinkCopies in two windows, which TestFaultMatrixBurst took for a fault.
func TestPeerServesARestartedEngineInItsNextWindow(t *testing.T) {
	now := time.Unix(0, 0)
	budget := newLinkBudget(100, 100, 10, time.Hour, now)
	budget.recordDownload(100, true)
	budget.markComplete(now.Add(100 * time.Millisecond))
	require.True(t, budget.reserveUpload(100, now.Add(time.Second)))
	require.False(t, budget.reserveUpload(10, now.Add(minLinkBudgetWindow-1)))
	require.Zero(t, budget.renewals)
	require.True(t, budget.reserveUpload(100, now.Add(minLinkBudgetWindow)))
	require.Equal(t, 1, budget.renewals)
}

// TestInvariantWholeWeights checks that the invariant before an activation detects
// an incomplete version when the completeness check of the verify stage is
// disabled.
func TestInvariantWholeWeights(t *testing.T) {
	c := newTestCluster(t, 1)
	root, manifest := c.publish(1)
	before := invariant.Violations(invariant.WholeWeights)
	manager := c.agents[0].manager
	manager.hooks.skipCompletenessCheck = true
	s := newSession(manager, root, nil)
	encoded, _, err := manifest.Encode()
	require.NoError(t, err)
	require.NoError(t, s.setManifest(encoded))
	require.NoError(t, s.verify(t.Context()))
	err = s.activate(t.Context())
	require.Equal(t, core.CodeInternal, core.CodeOf(err))
	require.Equal(t, before+1, invariant.Violations(invariant.WholeWeights))
	require.True(t, c.agents[0].engine.ActiveRoot().IsZero())
}

// TestInvariantChunkCheck checks that a corrupt chunk from a peer is detected, and
// that the engine rejects it if the check of the downloader is disabled.
func TestInvariantChunkCheck(t *testing.T) {
	c := newCalmTestCluster(t, 1)
	root, manifest := c.publish(1)
	c.addFaultyPeer(root, func(reply *wire.ChunkReply) { reply.Content = []byte("corrupt") })
	trackReply, err := wire.Call[wire.TrackReply](t.Context(), c.agents[0].peer, c.trackers[0].Addr(), wire.KindTrack,
		wire.TrackRequest{Root: root, Self: wire.TrackPeer{ID: "probe", Region: "region-0"}, MaxNearPeers: 1})
	require.NoError(t, err)
	manager := c.agents[0].manager
	s := newSession(manager, root, nil)
	digest := manifest.Chunks[0].Digest
	response := s.fetchFromPeer(t.Context(), trackReply.Peers[0].Addr, digest, false)
	require.Equal(t, outcomeCorrupt, response.result)
	manager.hooks.skipChunkCheck = true
	response = s.fetchFromPeer(t.Context(), trackReply.Peers[0].Addr, digest, false)
	require.Equal(t, outcomeDelivered, response.result, "the check of the downloader must be disabled")
	require.Error(t, manager.config.Staging.PutChunk(t.Context(), digest, response.content))
}

// TestSpentLinkBudgetLeavesNoRequestInFlight plans several requests while the link
// budget is spent. None of them is sent, so none may be counted as in flight.
func TestSpentLinkBudgetLeavesNoRequestInFlight(t *testing.T) {
	now := time.Unix(100, 0)
	d := &download{
		session: &session{linkBudget: newLinkBudget(40, 40, 10, time.Hour, now)},
		planner: newPlanner([]int64{10, 10, 10, 10}, 4, 1),
	}
	d.planner.addPeer("peer", false)
	d.planner.recordOffer("peer", nil, []uint32{0, 1, 2, 3}, 100)
	d.linkBudget.sentBytes = maxLinkCopies * d.linkBudget.copyBytes
	d.startPeerRequests(now)
	require.Zero(t, d.planner.peerRequests)
}
