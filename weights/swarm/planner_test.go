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

// plannerModel drives a planner with random peers and answers.
type plannerModel struct {
	plan   *planner
	now    time.Time
	flying map[int]request
}

// TestRandomPlanner checks the planner's promises under random events.
func TestRandomPlanner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sizes := make([]int64, rapid.IntRange(1, 20).Draw(t, "chunks"))
		for i := range sizes {
			sizes[i] = 10
		}
		m := &plannerModel{
			plan:   newPlanner(sizes, 4, rapid.Uint64().Draw(t, "seed")),
			now:    time.Unix(0, 0),
			flying: map[int]request{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer":  m.offer,
			"lose":   m.lose,
			"next":   m.next,
			"answer": m.answer,
			"":       m.check,
		})
	})
}

func peerName(t *rapid.T) string { return fmt.Sprint("p", rapid.IntRange(0, 4).Draw(t, "peer")) }

func (m *plannerModel) offer(t *rapid.T) {
	addr := peerName(t)
	m.plan.addPeer(addr, rapid.Bool().Draw(t, "far"))
	added := rapid.SliceOf(rapid.Uint32Range(0, 25)).Draw(t, "added")
	m.plan.offer(addr, nil, added, rapid.Int64Range(0, 100).Draw(t, "left"))
}

func (m *plannerModel) lose(t *rapid.T) { m.plan.removePeer(peerName(t)) }

func (m *plannerModel) next(t *rapid.T) {
	for _, req := range m.plan.next(m.now) {
		view := m.plan.peers[req.peer]
		require.NotContains(t, m.flying, req.chunk, "a chunk is requested once at a time")
		require.False(t, m.plan.have.has(req.chunk))
		require.False(t, view.banned)
		require.True(t, view.bits.has(req.chunk), "the peer offers the chunk")
		require.GreaterOrEqual(t, view.left, m.plan.sizes[req.chunk])
		require.False(t, view.far && !m.plan.wantFar.has(req.chunk))
		require.LessOrEqual(t, view.inFlight, perPeer)
		m.flying[req.chunk] = req
	}
}

func (m *plannerModel) answer(t *rapid.T) {
	for chunk := range m.plan.sizes {
		req, ok := m.flying[chunk]
		if !ok {
			continue
		}
		result := outcome(rapid.IntRange(int(outcomeDone), int(outcomeCorrupt)).Draw(t, "outcome"))
		delete(m.flying, chunk)
		m.now = m.now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond)
		m.plan.ended(req, result, rapid.Int64Range(0, 100).Draw(t, "left"), time.Millisecond, m.now)
		if result == outcomeDone {
			m.plan.done(chunk)
		}
		require.Equal(t, result == outcomeCorrupt, result == outcomeCorrupt && m.plan.peers[req.peer].banned)
		return
	}
}

func (m *plannerModel) check(t *rapid.T) {
	require.Len(t, m.flying, m.plan.flying)
	require.LessOrEqual(t, m.plan.flying, m.plan.max)
	missing := 0
	for chunk := range m.plan.sizes {
		if !m.plan.have.has(chunk) {
			missing++
		}
		count := 0
		for _, view := range m.plan.peers {
			if !view.far && !view.banned && view.bits.has(chunk) {
				count++
			}
		}
		require.Equal(t, count, int(m.plan.rarity[chunk]))
	}
	require.Equal(t, missing, m.plan.missing)
}

// TestRandomLedger checks that a link never carries more than maxCopies.
func TestRandomLedger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const chunk = 10
		chunks := rapid.Int64Range(1, 40).Draw(t, "chunks")
		size := chunks * chunk
		now := time.Unix(0, 0)
		l := newLedger(size, size, chunk, time.Hour, now)
		var crossed int64
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				if l.send(chunk, now) {
					crossed += chunk
				}
			case 1:
				if l.room(chunk, now) && l.missing > 0 {
					l.receive(chunk, true)
					crossed += chunk
				}
			case 2:
				if l.room(chunk, now) && l.missing > 0 {
					l.receive(chunk, false)
					crossed += chunk
				}
			}
			require.LessOrEqual(t, crossed, maxCopies*size)
		}
	})
}

func TestLedgerRenewsBudgetOfWholeVersion(t *testing.T) {
	now := time.Unix(0, 0)
	l := newLedger(100, 0, 10, time.Minute, now)
	require.True(t, l.send(100, now))
	require.True(t, l.send(100, now))
	require.False(t, l.send(10, now.Add(time.Minute-1)))
	require.True(t, l.send(10, now.Add(time.Minute)))
}

// TestLedgerLetsAnInstanceRecover loses all content after a burst in which the
// whole budget was spent: within the burst nothing more may come, afterwards a
// whole copy may.
func TestLedgerLetsAnInstanceRecover(t *testing.T) {
	now := time.Unix(0, 0)
	l := newLedger(100, 100, 10, time.Hour, now)
	l.receive(100, true)
	now = now.Add(20 * time.Second)
	l.whole(now)
	require.True(t, l.send(100, now))
	l.setMissing(100)
	require.False(t, l.room(10, now), "the burst goes on")
	require.True(t, l.room(100, now.Add(40*time.Second)), "three times the download is over")
	require.Zero(t, l.sent)
}

// TestInvariantWholeWeights shows that the check before an activation fails
// when the steps before it are broken.
func TestInvariantWholeWeights(t *testing.T) {
	r := newRig(t, 1)
	root, manifest := r.publish(1)
	before := invariant.Violations(invariant.WholeWeights)
	manager := r.agents[0].manager
	manager.hooks.skipWholeCheck = true
	s := newSession(manager, root, nil)
	encoded, _, err := manifest.Encode()
	require.NoError(t, err)
	require.NoError(t, s.adopt(encoded))
	require.NoError(t, s.verify(t.Context()))
	err = s.activate(t.Context())
	require.Equal(t, core.CodeInternal, core.CodeOf(err))
	require.Equal(t, before+1, invariant.Violations(invariant.WholeWeights))
	require.True(t, r.agents[0].engine.ActiveRoot().IsZero())
}

// TestInvariantChunkCheck shows that without the check of each chunk the
// engine's own check is what stops a corrupt one.
func TestInvariantChunkCheck(t *testing.T) {
	r := newRig(t, 1)
	root, manifest := r.publish(1)
	r.addRogue(root, func(reply *wire.ChunkReply) { reply.Content = []byte("corrupt") })
	rogue, err := wire.Call[wire.TrackReply](t.Context(), r.agents[0].peer, r.trackers[0].Addr(), wire.KindTrack,
		wire.TrackRequest{Root: root, Self: wire.TrackPeer{ID: "probe", Region: "region-0"}, MaxLocalPeers: 1})
	require.NoError(t, err)
	manager := r.agents[0].manager
	s := newSession(manager, root, nil)
	digest := manifest.Chunks[0].Digest
	got := s.fetchFromPeer(t.Context(), rogue.Peers[0].Addr, digest, false)
	require.Equal(t, outcomeCorrupt, got.result)
	manager.hooks.skipChunkCheck = true
	got = s.fetchFromPeer(t.Context(), rogue.Peers[0].Addr, digest, false)
	require.Equal(t, outcomeDone, got.result, "the check can fail")
	require.Error(t, manager.config.Staging.PutChunk(t.Context(), digest, got.content))
}

// TestFullLinkLeavesNoRequestInFlight plans several requests while the link's
// budget is spent: none is sent, and none may count as in flight.
func TestFullLinkLeavesNoRequestInFlight(t *testing.T) {
	now := time.Unix(100, 0)
	d := &download{
		session: &session{ledger: newLedger(40, 40, 10, time.Hour, now)},
		plan:    newPlanner([]int64{10, 10, 10, 10}, 4, 1),
	}
	d.plan.addPeer("peer", false)
	d.plan.offer("peer", nil, []uint32{0, 1, 2, 3}, 100)
	d.ledger.sent = maxCopies * d.ledger.size
	d.startRequests(now)
	require.Zero(t, d.plan.flying)
}
