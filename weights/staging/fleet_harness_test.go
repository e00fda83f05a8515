package staging

import (
	"context"
	"crypto/sha256"
	"errors"
	"flag"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/core/pause"
)

const (
	fleetPieces     = 64
	fleetPieceBytes = 32 << 10
	linkSliceBytes  = 8 << 10
	megabitPerS     = 1e6 / 8
	// agentLink is the width of an agent's link in megabits per second, of which the
	// answers of a busy engine take answersFraction.
	agentLink       = 7.6
	answersFraction = 0.3
)

// fleetSeed determines the latencies of calls and the lists of agents in simulated fleets,
// and fleetSeeds is the number of seeds from it that are tried.
var (
	fleetSeed  = flag.Uint64("fleet.seed", 1, "seed of the simulated fleets of agents")
	fleetSeeds = flag.Uint64("fleet.seeds", 10, "number of seeds of the fleets with differing lists")
)

// simulatedLink is a link that its transfers share slice by slice.
type simulatedLink struct {
	bytesPerSecond float64
	turn           chan struct{}
}

func newSimulatedLink(megabits float64) *simulatedLink {
	return &simulatedLink{bytesPerSecond: megabits * megabitPerS, turn: make(chan struct{}, 1)}
}

// transfer sends bytes over links in sequence, as pipelined slices of one stream.
func transfer(ctx context.Context, bytes int, links ...*simulatedLink) error {
	for sent := 0; sent < bytes; sent += linkSliceBytes {
		for _, l := range links {
			select {
			case l.turn <- struct{}{}:
			case <-ctx.Done():
				return ctx.Err()
			}
			time.Sleep(time.Duration(linkSliceBytes / l.bytesPerSecond * float64(time.Second)))
			<-l.turn
		}
	}
	return nil
}

// weightsFleet runs the managers of many agents in simulated time.
//
// Each call takes a time that depends on the seed, so that hardly any two events fall on
// the same instant, at which the scheduler would decide their order.
type weightsFleet struct {
	t        *testing.T
	seed     uint64
	started  time.Time
	agents   []Agent
	managers map[core.InstanceID]*Manager
	engines  map[core.InstanceID]*simulatedEngine
	uplinks  map[core.InstanceID]*simulatedLink
	origin   *simulatedOrigin

	// listedBy returns the agents that an agent lists.
	listedBy func(self Agent) []Agent

	mu      sync.Mutex
	targets []TargetVersion
	// lost holds the agents whose processes have ended, and stops ends one.
	lost  map[core.InstanceID]bool
	stops map[core.InstanceID]context.CancelFunc
	// wastedTransfers counts the transfers between agents that were not completed.
	wastedTransfers int
}

// minLatency and latencyRange bound the time of a call in one direction.
const (
	minLatency   = time.Millisecond
	latencyRange = time.Millisecond
)

// takeLatency waits for the latency of a call, which is the same in each run with a seed.
func (f *weightsFleet) takeLatency(ctx context.Context, call string, from, to core.InstanceID, piece int) {
	hash := fnv.New64a()
	_, _ = fmt.Fprint(hash, f.seed, call, from, to, piece, time.Since(f.started))
	random := rand.New(rand.NewPCG(f.seed, hash.Sum64()))
	pause.For(ctx, minLatency+time.Duration(random.Int64N(int64(latencyRange))))
}

func pieceContent(version fleet.WeightsVersion, piece int) []byte {
	content := make([]byte, fleetPieceBytes)
	copy(content, fmt.Sprintf("piece %d of version %d", piece, version))
	return content
}

type simulatedOrigin struct {
	fleet *weightsFleet
	link  *simulatedLink
	// downFrom and downUntil bound an outage, in time since the start.
	downFrom, downUntil time.Duration
	conns               chan struct{}
	sentPieces          int
	// lastSentAt is when the last piece was sent, in time since the start.
	lastSentAt time.Duration
}

var errOriginDown = errors.New("connection refused")

func (o *simulatedOrigin) isDown() bool {
	since := time.Since(o.fleet.started)
	return since >= o.downFrom && since < o.downUntil
}

func (o *simulatedOrigin) Manifest(_ context.Context, _ fleet.Model, version fleet.WeightsVersion) ([][32]byte, error) {
	if o.isDown() {
		return nil, errOriginDown
	}
	digests := make([][32]byte, fleetPieces)
	for piece := range digests {
		digests[piece] = sha256.Sum256(pieceContent(version, piece))
	}
	return digests, nil
}

func (o *simulatedOrigin) Piece(ctx context.Context, _ fleet.Model, version fleet.WeightsVersion, piece int) ([]byte, error) {
	if o.isDown() {
		return nil, errOriginDown
	}
	select {
	case o.conns <- struct{}{}:
	default:
		return nil, errors.New("connection reset: too many connections")
	}
	defer func() { <-o.conns }()
	if err := transfer(ctx, fleetPieceBytes, o.link); err != nil {
		return nil, err
	}
	if o.isDown() {
		return nil, errOriginDown
	}
	o.fleet.mu.Lock()
	o.sentPieces++
	o.lastSentAt = time.Since(o.fleet.started)
	o.fleet.mu.Unlock()
	return pieceContent(version, piece), nil
}

// simulatedPeers implements Peers.
type simulatedPeers struct {
	fleet *weightsFleet
	self  core.InstanceID
}

func (f simulatedPeers) Manifest(ctx context.Context, peer Agent, key VersionKey) ([][32]byte, error) {
	f.fleet.takeLatency(ctx, "manifest", f.self, peer.ID, manifestPieceNum)
	if f.fleet.isIdle(peer, key) {
		return nil, errEngineUnreachable
	}
	waitCtx, cancel := context.WithTimeout(ctx, pieceWaitTimeout)
	defer cancel()
	pieces := f.fleet.managers[peer.ID].awaitManifest(waitCtx, key)
	if pieces == nil {
		return nil, core.NewRefusal(core.CodeUnknownEntity, 0, "no manifest")
	}
	return pieces.digests, nil
}

func (f simulatedPeers) AwaitPiece(ctx context.Context, peer Agent, key VersionKey, piece int) error {
	f.fleet.takeLatency(ctx, "await", f.self, peer.ID, piece)
	defer f.fleet.takeLatency(ctx, "reply", f.self, peer.ID, piece)
	if f.fleet.isIdle(peer, key) {
		return errEngineUnreachable
	}
	waitCtx, cancel := context.WithTimeout(ctx, pieceWaitTimeout)
	defer cancel()
	pieces := f.fleet.managers[peer.ID].awaitManifest(waitCtx, key)
	if pieces != nil {
		if content, _ := pieces.get(piece); content == nil && !f.fleet.managers[peer.ID].isAssigned(key, piece) {
			return errNotAssigned
		}
	}
	if pieces == nil || pieces.await(waitCtx, piece) == nil {
		return core.NewRefusal(core.CodeUnknownEntity, 0, "no piece")
	}
	return nil
}

func (f simulatedPeers) Piece(ctx context.Context, peer Agent, key VersionKey, piece int, urgent bool) ([]byte, time.Duration, error) {
	f.fleet.takeLatency(ctx, "piece", f.self, peer.ID, piece)
	pieces := f.fleet.managers[peer.ID].piecesOf(key)
	if pieces == nil {
		return nil, 0, errors.New("the version is gone")
	}
	content, _ := pieces.get(piece)
	if content == nil {
		return nil, 0, errors.New("the piece is gone")
	}
	slots := f.fleet.managers[peer.ID].uplink.sendSlots
	waitCtx, cancel := context.WithTimeout(ctx, sourceTimeout)
	defer cancel()
	if slots.acquire(waitCtx, urgent) != nil {
		return nil, 0, errSourceBusy
	}
	defer slots.release()
	start := time.Now()
	sendCtx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	err := transfer(sendCtx, fleetPieceBytes, f.fleet.uplinks[peer.ID])
	if err != nil {
		f.fleet.mu.Lock()
		f.fleet.wastedTransfers++
		f.fleet.mu.Unlock()
	}
	return content, time.Since(start), err
}

var errEngineUnreachable = errors.New("the agent's engine does not reply")

// isIdle reports whether an agent answers that it fetches nothing.
func (f *weightsFleet) isIdle(peer Agent, key VersionKey) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lost[peer.ID] || f.managers[peer.ID].piecesOf(key) == nil && f.managers[peer.ID].engineUnreachable.Load()
}

// newWeightsFleet returns agents with links of 7.6 Mbit/s in some regions, before an
// origin of 9.9 Mbit/s. answersFraction is the part of the links that answers take.
func newWeightsFleet(t *testing.T, agentsPerRegion, regions int, answersFraction float64) *weightsFleet {
	// Thousands of concurrent goroutines make the race detector fail.
	processors := runtime.GOMAXPROCS(1)
	t.Cleanup(func() { runtime.GOMAXPROCS(processors) })
	t.Logf("-fleet.seed %d", *fleetSeed)
	f := &weightsFleet{t: t, seed: *fleetSeed, started: time.Now(), managers: map[core.InstanceID]*Manager{}, engines: map[core.InstanceID]*simulatedEngine{}, uplinks: map[core.InstanceID]*simulatedLink{},
		lost: map[core.InstanceID]bool{}, stops: map[core.InstanceID]context.CancelFunc{}}
	f.origin = &simulatedOrigin{fleet: f, link: newSimulatedLink(9.9), conns: make(chan struct{}, 48)}
	for region := range regions {
		for i := range agentsPerRegion {
			f.agents = append(f.agents, Agent{
				ID: core.InstanceID(fmt.Sprintf("a-%d-%02d", region, i)), Region: core.Region(fmt.Sprint("region-", region)), Service: "llm",
			})
		}
	}
	f.listedBy = func(Agent) []Agent { return f.agents }
	log := logrus.New()
	log.SetOutput(io.Discard)
	for _, a := range f.agents {
		f.engines[a.ID] = newSimulatedEngine()
		f.uplinks[a.ID] = newSimulatedLink(agentLink * uplinkFraction * (1 - answersFraction))
		f.managers[a.ID] = New(Config{
			Self: a, Engine: f.engines[a.ID], Peers: simulatedPeers{fleet: f, self: a.ID}, TargetVersions: f.currentTargets, LinkBytesPerSecond: agentLink * megabitPerS,
			ListAgents: func(context.Context) []Agent { return f.listedBy(a) }, Log: logrus.NewEntry(log),
		})
	}
	return f
}

func (f *weightsFleet) currentTargets() []TargetVersion {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.targets) == 0 {
		return nil
	}
	return f.targets[len(f.targets)-1:]
}

func (f *weightsFleet) nameVersion(version fleet.WeightsVersion) {
	f.mu.Lock()
	f.targets = append(f.targets, TargetVersion{
		VersionKey: VersionKey{Model: "m", Version: version}, Pieces: fleetPieces, RequestedAt: time.Now(), InForceWithin: inForceWithin,
		Origin: f.origin, OriginRegion: "region-0", OriginPieceTime: originPieceTime,
	})
	f.mu.Unlock()
	for id, m := range f.managers {
		go func() {
			f.takeLatency(f.t.Context(), "target", id, id, 0)
			m.CheckTargets()
		}()
	}
}

// lose ends the processes of agents, whose engines go with them.
func (f *weightsFleet) lose(agents ...Agent) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range agents {
		f.lost[a.ID] = true
		f.engines[a.ID].end()
		f.stops[a.ID]()
	}
}

// run runs all managers for a time, with the events at their times.
func (f *weightsFleet) run(length time.Duration, events map[time.Duration]func()) {
	ctx, stop := context.WithTimeout(f.t.Context(), length)
	defer stop()
	var wait sync.WaitGroup
	for id, m := range f.managers {
		agentCtx, stop := context.WithCancel(ctx)
		defer stop()
		f.stops[id] = stop
		wait.Go(func() {
			f.takeLatency(agentCtx, "start", id, id, 0)
			_ = m.Run(agentCtx)
		})
	}
	for at, event := range events {
		wait.Go(func() {
			time.Sleep(at)
			event()
		})
	}
	wait.Wait()
}

// lastLoad returns when the last engine had loaded a version or a newer one, in time
// since the start. All engines must have loaded one.
func (f *weightsFleet) lastLoad(version fleet.WeightsVersion) time.Duration {
	var last time.Duration
	for id, e := range f.engines {
		if e.isGone {
			continue
		}
		earliest := time.Duration(-1)
		for loaded, at := range e.loadedAt {
			if since := at.Sub(f.started); loaded >= version && (earliest < 0 || since < earliest) {
				earliest = since
			}
		}
		require.GreaterOrEqual(f.t, earliest, time.Duration(0), "engine of %s did not load version %d", id, version)
		last = max(last, earliest)
	}
	return last
}

// copies returns how many copies of a version the origin has sent.
func (f *weightsFleet) copies() float64 { return float64(f.origin.sentPieces) / fleetPieces }
