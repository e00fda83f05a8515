package swarm

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/standin/backend"
	"currantusher.dev/standin/origin"
	"currantusher.dev/standin/store"
	"currantusher.dev/wire"
)

// step is a point in the first agent's download, at which a fault is injected.
type step struct {
	name   string
	stage  Stage
	chunks int
}

var steps = []step{
	{"manifest", StageManifest, 0},
	{"first-chunk", StageChunks, 1},
	{"middle-chunk", StageChunks, testChunks / 2},
	{"last-chunk", StageChunks, testChunks},
	{"verify", StageVerify, 0},
	{"slot", StageSlot, 0},
	{"activate", StageActivating, 0},
}

// fault is a fault that is injected when the first agent reaches a step. inject
// returns the version that all engines must use in the end.
type fault struct {
	name     string
	regions  int
	versions int
	// restarts counts the times that the first engine restarts without staged
	// content.
	restarts int
	inject   func(c *testCluster, root core.Digest) core.Digest
}

const faultDuration = 120 * time.Millisecond

var faults = []fault{
	{"agent-killed", 2, 1, 0, func(c *testCluster, root core.Digest) core.Digest {
		c.agents[0].stop()
		c.agents[0].start(2)
		c.agents[0].setTarget(root)
		return root
	}},
	{"agent-stopped-and-resumed", 2, 1, 0, func(c *testCluster, root core.Digest) core.Digest {
		c.agents[0].gate.block()
		time.AfterFunc(faultDuration, c.agents[0].gate.unblock)
		return root
	}},
	{"link-stalled", 1, 1, 0, func(c *testCluster, root core.Digest) core.Digest {
		c.agents[1].gate.block()
		time.AfterFunc(faultDuration, c.agents[1].gate.unblock)
		return root
	}},
	{"peer-sends-corrupt-chunks", 1, 1, 0, func(c *testCluster, root core.Digest) core.Digest {
		c.addFaultyPeer(root, func(reply *wire.ChunkReply) { reply.Content = []byte("corrupt") })
		return root
	}},
	{"peer-lacks-offered-chunks", 1, 1, 0, func(c *testCluster, root core.Digest) core.Digest {
		c.addFaultyPeer(root, func(reply *wire.ChunkReply) { reply.Status = wire.ChunkMissing })
		return root
	}},
	{"peer-never-answers", 1, 1, 0, func(c *testCluster, root core.Digest) core.Digest {
		c.addFaultyPeer(root, nil)
		return root
	}},
	{"origin-throttles", 2, 1, 0, originFault(origin.FaultThrottle, 1)},
	{"origin-errors", 2, 1, 0, originFault(origin.FaultError, 1)},
	{"origin-slow", 2, 1, 0, originFault(origin.FaultSlow, 1)},
	{"origin-loses-answers", 2, 1, 0, originFault(origin.FaultTruncate, 2)},
	{"origin-sends-corrupt-chunks", 2, 1, 0, originFault(origin.FaultCorrupt, 2)},
	{"store-corrupt-and-origin-down", 2, 1, 0, func(c *testCluster, root core.Digest) core.Digest {
		c.weightStore.SetFaults(origin.Faults{Fault: origin.FaultCorrupt, Every: 3})
		c.origin.SetFaults(origin.Faults{Fault: origin.FaultError})
		return root
	}},
	{"tables-down", 2, 1, 0, func(c *testCluster, root core.Digest) core.Digest {
		c.tables.SetFaults(store.Faults{Down: true})
		return root
	}},
	{"tables-lose-answers", 2, 1, 0, func(c *testCluster, root core.Digest) core.Digest {
		c.tables.SetFaults(store.Faults{LoseAnswers: 0.5})
		return root
	}},
	{"tracker-killed", 2, 1, 0, func(c *testCluster, root core.Digest) core.Digest {
		_ = c.trackers[0].Close()
		return root
	}},
	{"all-trackers-killed", 2, 1, 0, func(c *testCluster, root core.Digest) core.Digest {
		_ = c.trackers[0].Close()
		_ = c.trackers[1].Close()
		return root
	}},
	{"version-changed", 2, 2, 0, func(c *testCluster, _ core.Digest) core.Digest {
		next, _ := c.publish(2)
		c.setTarget(next)
		return next
	}},
	{"two-versions-raced", 2, 2, 0, func(c *testCluster, root core.Digest) core.Digest {
		next, _ := c.publish(2)
		for i, agent := range c.agents {
			if i%2 == 0 {
				agent.setTarget(next)
			}
		}
		c.setTarget(root)
		c.setTarget(next)
		return next
	}},
	{"region-cut-and-healed", 2, 1, 0, func(c *testCluster, root core.Digest) core.Digest {
		c.regionGate.block()
		time.AfterFunc(faultDuration, c.regionGate.unblock)
		return root
	}},
	{"engine-restarts-empty", 2, 1, 1, func(c *testCluster, root core.Digest) core.Digest {
		_ = c.agents[0].engine.Inject(backend.Faults{RestartEmpty: true})
		return root
	}},
	{"staged-chunk-corrupt", 2, 1, 0, func(c *testCluster, root core.Digest) core.Digest {
		_ = c.agents[0].engine.Inject(backend.Faults{CorruptChunks: 1})
		return root
	}},
}

func originFault(kind origin.Fault, every int) func(*testCluster, core.Digest) core.Digest {
	return func(c *testCluster, root core.Digest) core.Digest {
		c.origin.SetFaults(origin.Faults{Fault: kind, Every: every, Delay: 10 * time.Millisecond})
		return root
	}
}

// addFaultyPeer adds a peer that claims to have all chunks. Each of its replies is
// changed by modifyReply; if that is nil, the peer never replies to chunk requests.
func (c *testCluster) addFaultyPeer(root core.Digest, modifyReply func(*wire.ChunkReply)) {
	peer, err := wire.Listen("127.0.0.1:0", c.tlsConfig)
	require.NoError(c.t, err)
	c.t.Cleanup(func() { _ = peer.Close() })
	bits := newBitset(testChunks)
	for i := range testChunks {
		bits.set(i)
	}
	peer.Handle(wire.KindHave, func(ctx context.Context, stream *wire.Stream) error {
		_ = stream.Send(wire.HaveUpdate{HasManifest: true, Bits: bits, BudgetLeftBytes: 1 << 40})
		<-ctx.Done()
		return nil
	})
	peer.Handle(wire.KindChunk, func(ctx context.Context, stream *wire.Stream) error {
		if modifyReply == nil {
			<-ctx.Done()
			return nil
		}
		// A reply before the request has arrived makes the sending of the request fail.
		var request wire.ChunkRequest
		if err := stream.Recv(&request); err != nil {
			return err
		}
		reply := wire.ChunkReply{BudgetLeftBytes: 1 << 40}
		modifyReply(&reply)
		return stream.Send(reply)
	})
	go func() { _ = peer.Serve(c.t.Context()) }()
	self := wire.TrackPeer{
		ID: "rogue", Addr: peer.Addr(), Region: "region-0", Incarnation: 1,
		ChunksDone: testChunks, ChunksTotal: testChunks, BudgetLeftBytes: 1 << 40,
	}
	request := wire.TrackRequest{Root: root, Self: self, Extents: uint32(extentCount(testChunks))}
	for _, addr := range c.trackerAddrs(root) {
		_, err := wire.Call[wire.TrackReply](c.t.Context(), peer, addr, wire.KindTrack, request)
		require.NoError(c.t, err)
	}
}

func TestFaultMatrixBurst(t *testing.T) {
	for _, fault := range faults {
		for _, at := range steps {
			t.Run(fault.name+"/"+at.name, func(t *testing.T) { runFault(t, fault, at) })
		}
	}
}

func runFault(t *testing.T, fault fault, at step) {
	c := newTestCluster(t, fault.regions)
	root, _ := c.publish(1)
	reached := make(chan struct{})
	var once sync.Once
	firstAgent := c.agents[0]
	firstAgent.stop()
	firstAgent.hooks.onStage = func(stage Stage, chunks int) {
		if stage == at.stage && chunks >= at.chunks {
			once.Do(func() { close(reached) })
		}
	}
	firstAgent.start(fault.regions)
	c.setTarget(root)
	select {
	case <-reached:
	case <-time.After(testTimeout):
		t.Fatal("the first agent did not reach the step at which the fault is injected")
	}
	want := fault.inject(c, root)
	c.waitActive(want)
	c.checkBounds(fault.versions, fault.restarts)
}

// With timeouts of 0.1 s a busy machine made the tracker assign an extent that was still
// being fetched to another agent, which fetched it from the origin again.
func TestBurstWithoutFaults(t *testing.T) {
	c := newCalmTestCluster(t, 2)
	root, manifest := c.publish(1)
	c.setTarget(root)
	c.waitActive(root)
	c.checkBounds(1, 0)
	encoded, _, err := manifest.Encode()
	require.NoError(t, err)
	copyBytes := manifest.Size() + int64(len(encoded))
	for dc, sent := range c.origin.SentBytes() {
		require.LessOrEqual(t, float64(sent), 1.2*float64(copyBytes), dc)
	}
}

func TestNextVersionReusesChunks(t *testing.T) {
	c := newTestCluster(t, 1)
	root, manifest := c.publish(1)
	c.setTarget(root)
	c.waitActive(root)
	before := c.agents[0].transferStats().ReceivedBytes
	next, _ := c.publish(2)
	c.setTarget(next)
	c.waitActive(next)
	received := c.agents[0].transferStats().ReceivedBytes - before
	require.Less(t, received, manifest.Size(), "chunks shared by both versions must not be downloaded again")
	require.GreaterOrEqual(t, received, manifest.Size()/2)
}

func TestLateJoinAfterUploadBudgetsSpent(t *testing.T) {
	c := newTestCluster(t, 1)
	root, _ := c.publish(1)
	lateAgent := c.agents[testAgents-1]
	for _, agent := range c.agents[:testAgents-1] {
		agent.setTarget(root)
	}
	require.Eventually(t, func() bool {
		for _, agent := range c.agents[:testAgents-1] {
			if agent.engine.ActiveRoot() != root {
				return false
			}
		}
		return true
	}, testTimeout, 5*time.Millisecond)
	for _, agent := range c.agents[:testAgents-1] {
		agentBudget := agent.manager.sessionFor(root).linkBudget
		agentBudget.reserveUpload(agentBudget.uploadBytesLeft(time.Now()), time.Now())
	}
	lateAgent.setTarget(root)
	c.waitActive(root)
	require.Positive(t, c.weightStore.TotalSentBytes(), "an agent that joins after the upload budgets are spent must use the weight store")
	require.Equal(t, fmt.Sprint(c.violations), "[]")
}
