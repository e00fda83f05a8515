package staging

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/platform/worker"
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
type weightsFleet struct {
	t        *testing.T
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
}

func (f simulatedPeers) Manifest(ctx context.Context, peer Agent, key VersionKey) ([][32]byte, error) {
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
	content, _ := f.fleet.managers[peer.ID].piecesOf(key).get(piece)
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

// simulatedEngine is an engine that loads staged weights.
type simulatedEngine struct {
	mu       sync.Mutex
	isGone   bool
	loaded   fleet.WeightsVersion
	loading  fleet.WeightsVersion
	readyAt  time.Time
	loadedAt map[fleet.WeightsVersion]time.Time
	staged   map[int][]byte
	orders   int64
}

func (e *simulatedEngine) Report(context.Context) (worker.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isGone {
		return worker.Report{}, errors.New("connection refused")
	}
	if e.loading > 0 && !time.Now().Before(e.readyAt) {
		e.loaded, e.loadedAt[e.loading], e.loading = e.loading, e.readyAt, 0
	}
	return worker.Report{Loaded: map[fleet.Model]fleet.WeightsVersion{"m": e.loaded}, Busy: e.loading > 0, AcceptedOrders: e.orders}, nil
}

func (e *simulatedEngine) LoadAfterRunning(_ context.Context, _ fleet.Model, version fleet.WeightsVersion, _ int64) (worker.OrderResult, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders++
	e.loading, e.readyAt = version, time.Now().Add(700*time.Millisecond)
	return worker.OrderAccepted, nil
}

func (e *simulatedEngine) Stage(_ context.Context, _ fleet.Model, piece int, content []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.staged[piece] = content
	return nil
}

func (e *simulatedEngine) Staged(_ context.Context, _ fleet.Model, piece int) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.staged[piece] == nil {
		return nil, core.NewRefusal(core.CodeUnknownEntity, 0, "not staged")
	}
	return e.staged[piece], nil
}

// newWeightsFleet returns agents with links of 7.6 Mbit/s in some regions, before an
// origin of 9.9 Mbit/s. answersFraction is the part of the links that answers take.
func newWeightsFleet(t *testing.T, agentsPerRegion, regions int, answersFraction float64) *weightsFleet {
	// Thousands of concurrent goroutines make the race detector fail, and the order in
	// which they run vary.
	processors := runtime.GOMAXPROCS(1)
	t.Cleanup(func() { runtime.GOMAXPROCS(processors) })
	f := &weightsFleet{t: t, started: time.Now(), managers: map[core.InstanceID]*Manager{}, engines: map[core.InstanceID]*simulatedEngine{}, uplinks: map[core.InstanceID]*simulatedLink{},
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
		f.engines[a.ID] = &simulatedEngine{loaded: 1, loadedAt: map[fleet.WeightsVersion]time.Time{}, staged: map[int][]byte{}}
		f.uplinks[a.ID] = newSimulatedLink(agentLink * uplinkFraction * (1 - answersFraction))
		f.managers[a.ID] = New(Config{
			Self: a, Engine: f.engines[a.ID], Peers: simulatedPeers{f}, TargetVersions: f.currentTargets, LinkBytesPerSecond: agentLink * megabitPerS,
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
	for _, m := range f.managers {
		m.CheckTargets()
	}
}

// lose ends the processes of agents, whose engines go with them.
func (f *weightsFleet) lose(agents ...Agent) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range agents {
		f.lost[a.ID] = true
		f.engines[a.ID].isGone = true
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
		wait.Go(func() { _ = m.Run(agentCtx) })
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

const (
	originPieceTime     = 26 * time.Millisecond
	testRegions         = 3
	testAgentsPerRegion = 20
)

// With 32 agents in a region pieces queue for seconds at the links of their sources.
// Transfers that reached their timeout there were repeated.
func TestFleetLoadsAVersionInTime(t *testing.T) {
	for _, agentsPerRegion := range []int{2, 6, testAgentsPerRegion, 32} {
		t.Run(fmt.Sprint(agentsPerRegion), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newWeightsFleet(t, agentsPerRegion, testRegions, answersFraction)
				f.run(12*time.Second, map[time.Duration]func(){0: func() { f.nameVersion(2) }})
				require.Less(t, f.lastLoad(2), inForceWithin)
				require.InDelta(t, 1, f.copies(), 0.1)
				require.Zero(t, f.wastedTransfers)
				// A few agents request their pieces later than in turn, and must not wait
				// for the next one: the origin may fail.
				require.Less(t, f.origin.lastSentAt, fleetPieces*originPieceTime*5/4)
			})
		})
	}
}

// After an outage of the origin all agents requested the missing pieces at once, and
// most requests reached their timeout; the last engine loaded the version 7.4 s after
// the origin's return.
func TestFleetRecoversFromAnOutageOfTheOrigin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newWeightsFleet(t, testAgentsPerRegion, testRegions, 0)
		f.origin.downFrom, f.origin.downUntil = 500*time.Millisecond, 6500*time.Millisecond
		f.run(20*time.Second, map[time.Duration]func(){0: func() { f.nameVersion(2) }})
		// The pieces arrive within 45% of the time in which the version must be in force;
		// half of the time is left for those that are loaded meanwhile.
		require.Less(t, f.lastLoad(2)-f.origin.downUntil, inForceWithin*3/4)
		require.Less(t, f.copies(), 1.5)
	})
}

// A newer version used to replace one of which less than half had arrived. When the
// origin failed right after, no engine had a version that may serve for seconds.
func TestOlderVersionIsLoadedWhenTheNewerOneCannotBeFetched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newWeightsFleet(t, testAgentsPerRegion, testRegions, 0)
		f.origin.downFrom, f.origin.downUntil = 2500*time.Millisecond, 8500*time.Millisecond
		f.run(25*time.Second, map[time.Duration]func(){0: func() { f.nameVersion(2) }, 2 * time.Second: func() { f.nameVersion(3) }})
		require.Less(t, f.lastLoad(2), inForceWithin)
		require.Less(t, f.lastLoad(3)-f.origin.downUntil, inForceWithin*3/4)
	})
}

// Agents whose engines are gone still run. All others waited for the pieces that such
// an agent should fetch into their region, each piece for seconds.
func TestFleetDoesNotWaitForAgentsWithoutEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newWeightsFleet(t, testAgentsPerRegion, testRegions, 0)
		for i, a := range f.agents {
			f.engines[a.ID].isGone = i%4 == 0
		}
		f.run(16*time.Second, map[time.Duration]func(){0: func() { f.nameVersion(2) }})
		require.Less(t, f.lastLoad(2), inForceWithin)
	})
}

// Agents read the list of agents at different times while instances leave. Each then
// assigns the pieces to other agents, and agents that waited for each other fetched a
// piece only after the lists agreed, or never.
func TestFleetLoadsAVersionWhileListsDiffer(t *testing.T) {
	for name, agreeAt := range map[string]time.Duration{"for 3 s": 3 * time.Second, "always": time.Hour} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newWeightsFleet(t, testAgentsPerRegion, testRegions, 0)
				for i, a := range f.agents {
					f.engines[a.ID].isGone = i%4 == 0
				}
				random := rand.New(rand.NewPCG(1, 1))
				lists := map[core.InstanceID][]Agent{}
				for _, self := range f.agents {
					share := random.Float64()
					for _, a := range f.agents {
						a.Unlisted = f.engines[a.ID].isGone && random.Float64() > share
						lists[self.ID] = append(lists[self.ID], a)
					}
				}
				f.listedBy = func(self Agent) []Agent {
					if time.Since(f.started) < agreeAt {
						return lists[self.ID]
					}
					list := slices.Clone(f.agents)
					for i, a := range list {
						list[i].Unlisted = f.engines[a.ID].isGone
					}
					return list
				}
				f.run(20*time.Second, map[time.Duration]func(){0: func() { f.nameVersion(2) }})
				require.Less(t, f.lastLoad(2), inForceWithin)
				require.Less(t, f.copies(), 4.0)
			})
		})
	}
}

// Agents that leave while a version travels leave pieces to the agents after them, which
// request them at once. The origin may fail soon.
func TestPiecesOfLostAgentsAreFetchedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newWeightsFleet(t, 5, testRegions, 0)
		lostAt := 600 * time.Millisecond
		f.run(12*time.Second, map[time.Duration]func(){
			0:      func() { f.nameVersion(2) },
			lostAt: func() { f.lose(f.agents[1], f.agents[4]) },
		})
		require.Less(t, f.lastLoad(2), inForceWithin)
		require.Less(t, f.origin.lastSentAt, fleetPieces*originPieceTime*3/2)
	})
}

// A source on a narrow link has its pieces, but sends them slowly. The others must get
// them from each other.
func TestFleetLeavesSourcesOnNarrowLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newWeightsFleet(t, 5, testRegions, 0)
		f.uplinks[f.agents[1].ID] = newSimulatedLink(0.95)
		f.run(16*time.Second, map[time.Duration]func(){0: func() { f.nameVersion(2) }})
		require.Less(t, f.lastLoad(2), inForceWithin)
		require.Less(t, f.copies(), 1.25)
	})
}

// As TestFleetRecoversFromAnOutageOfTheOrigin, while answers take a part of the links.
func TestFleetRecoversFromAnOutageBesideAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newWeightsFleet(t, testAgentsPerRegion, testRegions, answersFraction)
		f.origin.downFrom, f.origin.downUntil = 500*time.Millisecond, 6500*time.Millisecond
		f.run(20*time.Second, map[time.Duration]func(){0: func() { f.nameVersion(2) }})
		require.Less(t, f.lastLoad(2)-f.origin.downUntil, inForceWithin*3/4)
		require.Less(t, f.copies(), 1.5)
	})
}

// As TestOlderVersionIsLoadedWhenTheNewerOneCannotBeFetched, while answers take a part of
// the links.
func TestOlderVersionIsLoadedBesideAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newWeightsFleet(t, testAgentsPerRegion, testRegions, answersFraction)
		f.origin.downFrom, f.origin.downUntil = 2500*time.Millisecond, 8500*time.Millisecond
		f.run(25*time.Second, map[time.Duration]func(){0: func() { f.nameVersion(2) }, 2 * time.Second: func() { f.nameVersion(3) }})
		require.Less(t, f.lastLoad(2), inForceWithin)
		require.Less(t, f.lastLoad(3)-f.origin.downUntil, inForceWithin*3/4)
	})
}
