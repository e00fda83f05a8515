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

// step is a moment of the first agent's download.
type step struct {
	name   string
	stage  Stage
	chunks int
}

var steps = []step{
	{"manifest", StageManifest, 0},
	{"first-chunk", StageChunks, 1},
	{"middle-chunk", StageChunks, rigChunks / 2},
	{"last-chunk", StageChunks, rigChunks},
	{"verify", StageVerify, 0},
	{"slot", StageSlot, 0},
	{"activate", StageActivating, 0},
}

// fault is injected when the first agent reaches a step. It returns the
// version that all engines must use in the end.
type fault struct {
	name     string
	regions  int
	versions int
	// restarts counts the times that the first engine starts with nothing.
	restarts int
	inject   func(r *rig, root core.Digest) core.Digest
}

const faultSpan = 120 * time.Millisecond

var faults = []fault{
	{"agent-killed", 2, 1, 0, func(r *rig, root core.Digest) core.Digest {
		r.agents[0].stop()
		r.agents[0].start(2)
		r.agents[0].setTarget(root)
		return root
	}},
	{"agent-stopped-and-resumed", 2, 1, 0, func(r *rig, root core.Digest) core.Digest {
		r.agents[0].gate.shut()
		time.AfterFunc(faultSpan, r.agents[0].gate.reopen)
		return root
	}},
	{"link-stalled", 1, 1, 0, func(r *rig, root core.Digest) core.Digest {
		r.agents[1].gate.shut()
		time.AfterFunc(faultSpan, r.agents[1].gate.reopen)
		return root
	}},
	{"peer-sends-corrupt-chunks", 1, 1, 0, func(r *rig, root core.Digest) core.Digest {
		r.addRogue(root, func(reply *wire.ChunkReply) { reply.Content = []byte("corrupt") })
		return root
	}},
	{"peer-lies-about-chunks", 1, 1, 0, func(r *rig, root core.Digest) core.Digest {
		r.addRogue(root, func(reply *wire.ChunkReply) { reply.Status = wire.ChunkMissing })
		return root
	}},
	{"peer-never-answers", 1, 1, 0, func(r *rig, root core.Digest) core.Digest {
		r.addRogue(root, nil)
		return root
	}},
	{"origin-throttles", 2, 1, 0, originFault(origin.FaultThrottle, 1)},
	{"origin-errors", 2, 1, 0, originFault(origin.FaultError, 1)},
	{"origin-slow", 2, 1, 0, originFault(origin.FaultSlow, 1)},
	{"origin-loses-answers", 2, 1, 0, originFault(origin.FaultTruncate, 2)},
	{"origin-sends-corrupt-chunks", 2, 1, 0, originFault(origin.FaultCorrupt, 2)},
	{"store-corrupt-and-origin-down", 2, 1, 0, func(r *rig, root core.Digest) core.Digest {
		r.store.SetFaults(origin.Faults{Fault: origin.FaultCorrupt, Every: 3})
		r.origin.SetFaults(origin.Faults{Fault: origin.FaultError})
		return root
	}},
	{"tables-down", 2, 1, 0, func(r *rig, root core.Digest) core.Digest {
		r.tables.SetFaults(store.Faults{Down: true})
		return root
	}},
	{"tables-lose-answers", 2, 1, 0, func(r *rig, root core.Digest) core.Digest {
		r.tables.SetFaults(store.Faults{LoseAnswers: 0.5})
		return root
	}},
	{"tracker-killed", 2, 1, 0, func(r *rig, root core.Digest) core.Digest {
		_ = r.trackers[0].Close()
		return root
	}},
	{"all-trackers-killed", 2, 1, 0, func(r *rig, root core.Digest) core.Digest {
		_ = r.trackers[0].Close()
		_ = r.trackers[1].Close()
		return root
	}},
	{"version-changed", 2, 2, 0, func(r *rig, _ core.Digest) core.Digest {
		next, _ := r.publish(2)
		r.setTarget(next)
		return next
	}},
	{"two-versions-raced", 2, 2, 0, func(r *rig, root core.Digest) core.Digest {
		next, _ := r.publish(2)
		for i, member := range r.agents {
			if i%2 == 0 {
				member.setTarget(next)
			}
		}
		r.setTarget(root)
		r.setTarget(next)
		return next
	}},
	{"region-cut-and-healed", 2, 1, 0, func(r *rig, root core.Digest) core.Digest {
		r.border.shut()
		time.AfterFunc(faultSpan, r.border.reopen)
		return root
	}},
	{"engine-restarts-empty", 2, 1, 1, func(r *rig, root core.Digest) core.Digest {
		_ = r.agents[0].engine.Inject(backend.Faults{RestartEmpty: true})
		return root
	}},
	{"staged-chunk-corrupt", 2, 1, 0, func(r *rig, root core.Digest) core.Digest {
		_ = r.agents[0].engine.Inject(backend.Faults{CorruptChunks: 1})
		return root
	}},
}

func originFault(kind origin.Fault, every int) func(*rig, core.Digest) core.Digest {
	return func(r *rig, root core.Digest) core.Digest {
		r.origin.SetFaults(origin.Faults{Fault: kind, Every: every, Delay: 10 * time.Millisecond})
		return root
	}
}

// addRogue adds a downloader that claims to have everything. Each reply passes
// through spoil; without it the calls get no answer.
func (r *rig) addRogue(root core.Digest, spoil func(*wire.ChunkReply)) {
	peer, err := wire.Listen("127.0.0.1:0", r.tls)
	require.NoError(r.t, err)
	r.t.Cleanup(func() { _ = peer.Close() })
	bits := newBitset(rigChunks)
	for i := range rigChunks {
		bits.set(i)
	}
	peer.Handle(wire.KindHave, func(ctx context.Context, stream *wire.Stream) error {
		_ = stream.Send(wire.HaveUpdate{HasManifest: true, Bits: bits, BudgetLeftBytes: 1 << 40})
		<-ctx.Done()
		return nil
	})
	peer.Handle(wire.KindChunk, func(ctx context.Context, stream *wire.Stream) error {
		if spoil == nil {
			<-ctx.Done()
			return nil
		}
		reply := wire.ChunkReply{BudgetLeftBytes: 1 << 40}
		spoil(&reply)
		return stream.Send(reply)
	})
	go func() { _ = peer.Serve(r.t.Context()) }()
	self := wire.TrackPeer{
		ID: "rogue", Addr: peer.Addr(), Region: "region-0", Incarnation: 1,
		ChunksDone: rigChunks, ChunksTotal: rigChunks, BudgetLeftBytes: 1 << 40,
	}
	request := wire.TrackRequest{Root: root, Self: self, Extents: uint32(extentCount(rigChunks))}
	for _, addr := range r.trackerAddrs(root) {
		_, err := wire.Call[wire.TrackReply](r.t.Context(), peer, addr, wire.KindTrack, request)
		require.NoError(r.t, err)
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
	r := newRig(t, fault.regions)
	root, _ := r.publish(1)
	reached := make(chan struct{})
	var once sync.Once
	first := r.agents[0]
	first.stop()
	first.hooks.step = func(stage Stage, chunks int) {
		if stage == at.stage && chunks >= at.chunks {
			once.Do(func() { close(reached) })
		}
	}
	first.start(fault.regions)
	r.setTarget(root)
	select {
	case <-reached:
	case <-time.After(rigDeadline):
		t.Fatal("the step was not reached")
	}
	want := fault.inject(r, root)
	r.waitActive(want)
	r.checkBounds(fault.versions, fault.restarts)
}

func TestBurstClean(t *testing.T) {
	r := newRig(t, 2)
	root, manifest := r.publish(1)
	r.setTarget(root)
	r.waitActive(root)
	r.checkBounds(1, 0)
	encoded, _, err := manifest.Encode()
	require.NoError(t, err)
	size := manifest.Size() + int64(len(encoded))
	for dc, sent := range r.origin.SentBytes() {
		require.LessOrEqual(t, float64(sent), 1.2*float64(size), dc)
	}
}

func TestNextVersionReusesChunks(t *testing.T) {
	r := newRig(t, 1)
	root, manifest := r.publish(1)
	r.setTarget(root)
	r.waitActive(root)
	before := r.agents[0].usage().ReceivedBytes
	next, _ := r.publish(2)
	r.setTarget(next)
	r.waitActive(next)
	got := r.agents[0].usage().ReceivedBytes - before
	require.Less(t, got, manifest.Size(), "half of the chunks are the same")
	require.GreaterOrEqual(t, got, manifest.Size()/2)
}

func TestJoinLateAfterBudgetsAreSpent(t *testing.T) {
	r := newRig(t, 1)
	root, _ := r.publish(1)
	late := r.agents[rigAgents-1]
	for _, member := range r.agents[:rigAgents-1] {
		member.setTarget(root)
	}
	require.Eventually(t, func() bool {
		for _, member := range r.agents[:rigAgents-1] {
			if member.engine.ActiveRoot() != root {
				return false
			}
		}
		return true
	}, rigDeadline, 5*time.Millisecond)
	for _, member := range r.agents[:rigAgents-1] {
		spent := member.manager.lookup(root).ledger
		spent.send(spent.left(time.Now()), time.Now())
	}
	late.setTarget(root)
	r.waitActive(root)
	require.Positive(t, r.store.TotalSentBytes(), "the weight store serves those who join late")
	require.Equal(t, fmt.Sprint(r.violations), "[]")
}
