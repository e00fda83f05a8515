package staging

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"currantusher.dev/core"
	"currantusher.dev/platform/worker"
)

const (
	// transfersPerSource is how many pieces an agent fetches concurrently from
	// one source: one arrives while the next is requested.
	transfersPerSource = 2
	// maxOriginFetches bounds the concurrent requests of an agent to the origin.
	maxOriginFetches = 3
	// sourceTimeout bounds the wait at one source: until it has the piece, and then
	// until the transfer begins. With many agents in a region pieces queue at the
	// links of their sources, and others have them by then.
	sourceTimeout = 1800 * time.Millisecond
	// maxNotFoundRetries bounds the retries at the first source while it does not have
	// the piece. Each takes about a second. An outage of the origin lasts a few
	// seconds, and other sources wait for the piece as well.
	maxNotFoundRetries = 5
	// maxWaitingSources bounds the sources of a region that are tried although they
	// do not have the piece: the agent that fetches it into the region and the one
	// that takes over.
	maxWaitingSources = 2
	// maxHolderProbes bounds the further agents of the region that are asked in a round
	// whether they hold a piece.
	maxHolderProbes = 2
	// recheckTimeout bounds the question whether a source of this region has a piece by
	// now.
	recheckTimeout = 100 * time.Millisecond
	// failedSourceBackoff is how long no request is sent to a source that
	// failed.
	failedSourceBackoff = 2 * time.Second
	// maxCorruptCopies is the number of copies of a piece with a wrong digest
	// after which the manifest itself is taken to be wrong.
	maxCorruptCopies = 3
	// takeOverDelay is the time after which agents other than the first two of a region
	// may fetch a piece into it, and takeOverAgents how many of them do so at once.
	takeOverDelay  = 2 * time.Second
	takeOverAgents = 2
	// planRefreshPeriod is the interval at which a fetch reads the list of agents again.
	// Agents with different lists assign the pieces to different agents.
	planRefreshPeriod = time.Second
	// manifestPieceNum is the piece number under which sources of the manifest
	// are selected.
	manifestPieceNum = -1
)

// errManifestMismatch reports that the manifest does not match the pieces.
var errManifestMismatch = errors.New("the manifest does not match the pieces")

func isNotFound(err error) bool { return core.CodeOf(err) == core.CodeUnknownEntity }

// fetcher fetches the pieces of one version to this agent.
type fetcher struct {
	manager     *Manager
	log         *logrus.Entry
	target      TargetVersion
	startedAt   time.Time
	originSlots chan struct{}
	// awaitPeersTurn waits until pieces may be fetched from peers. The links between
	// agents bring the pieces of an older version first.
	awaitPeersTurn func(context.Context)

	// schedule orders the requests to a narrow origin; nil for others.
	schedule *originSchedule

	mu           sync.Mutex
	plan         FetchPlan
	backoffUntil map[core.InstanceID]time.Time
	// overdueSources holds the sources that did not get a piece for all retries.
	overdueSources map[core.InstanceID]bool
	// withoutVersion holds the sources that do not fetch the version, as after a restart.
	withoutVersion map[core.InstanceID]bool
	countBySource  map[string]int
	corruptCopies  map[int]int
}

func newFetcher(m *Manager, log *logrus.Entry, target TargetVersion, plan FetchPlan) *fetcher {
	return &fetcher{
		manager:        m,
		log:            log,
		target:         target,
		plan:           plan,
		startedAt:      time.Now(),
		originSlots:    make(chan struct{}, maxOriginFetches),
		awaitPeersTurn: func(context.Context) {},
		backoffUntil:   map[core.InstanceID]time.Time{},
		withoutVersion: map[core.InstanceID]bool{},
		overdueSources: map[core.InstanceID]bool{},
		countBySource:  map[string]int{},
		corruptCopies:  map[int]int{},
	}
}

func (f *fetcher) currentPlan() FetchPlan {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.plan
}

// followAgents renews the plan from the list of agents until ctx is done.
func (f *fetcher) followAgents(ctx context.Context) {
	ticker := time.NewTicker(planRefreshPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		plan := f.manager.newPlan(ctx, f.target)
		f.mu.Lock()
		f.plan = plan
		f.mu.Unlock()
	}
}

// sourceCounts returns the number of pieces by kind of source: "stage" (staged
// at the engine already), "region" (an agent of this region), "home" (an agent
// of another region) or "origin".
func (f *fetcher) sourceCounts() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.countBySource
}

// fetchVersion returns the complete set of pieces of the version. Pieces that
// are held or staged already are not fetched again.
func (f *fetcher) fetchVersion(ctx context.Context) (*pieceSet, error) {
	pieces := f.manager.piecesOf(f.target.VersionKey)
	isNew := pieces == nil
	if isNew {
		digests, err := f.fetchManifest(ctx, false)
		if err != nil {
			return nil, err
		}
		pieces = newPieceSet(f.target.VersionKey, digests)
		f.manager.addPieces(pieces)
	}
	if pieces.missingCount() > 0 {
		f.readStaged(ctx, pieces)
	}
	if f.target.isOriginNarrow() {
		f.schedule = newOriginSchedule(time.Now(), pieces, f.target)
	}
	err := f.fetchMissing(ctx, pieces)
	if errors.Is(err, errManifestMismatch) {
		f.log.Warn("Pieces do not match the manifest; fetching the manifest again from the origin.")
		digests, manifestErr := f.fetchManifest(ctx, true)
		if manifestErr != nil {
			return nil, manifestErr
		}
		fetched := newPieceSet(f.target.VersionKey, digests)
		f.manager.addPieces(fetched)
		return nil, err
	}
	return pieces, err
}

// fetchManifest returns the digests of the pieces. originOnly excludes peers as
// sources, after an earlier manifest was wrong.
func (f *fetcher) fetchManifest(ctx context.Context, originOnly bool) ([][32]byte, error) {
	if !originOnly {
		for _, peer := range f.currentPlan().Sources(manifestPieceNum) {
			digests, err := f.fetchPeerManifest(ctx, peer)
			if err == nil && len(digests) == f.target.Pieces {
				return digests, nil
			}
			if err == nil {
				f.log.WithField("peer", peer.ID).WithField("length", len(digests)).Warn("Manifest of a peer has a wrong length; trying the next source.")
			}
			f.backOff(peer, err)
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
		}
	}
	callCtx, cancel := context.WithTimeout(ctx, sourceTimeout)
	defer cancel()
	digests, err := f.target.Origin.Manifest(callCtx, f.target.Model, f.target.Version)
	if err != nil {
		return nil, fmt.Errorf("fetch manifest from the origin: %w", err)
	}
	if len(digests) != f.target.Pieces {
		return nil, fmt.Errorf("%w: manifest from the origin has %d digests, want %d", worker.ErrInvalidAnswer, len(digests), f.target.Pieces)
	}
	return digests, nil
}

func (f *fetcher) fetchPeerManifest(ctx context.Context, peer Agent) ([][32]byte, error) {
	callCtx, cancel := context.WithTimeout(ctx, sourceTimeout)
	defer cancel()
	return f.manager.config.Peers.Manifest(callCtx, peer, f.target.VersionKey)
}

// readStaged reads the pieces that are staged at the engine already, after a
// restart of the agent or the engine.
func (f *fetcher) readStaged(ctx context.Context, pieces *pieceSet) {
	for num := range pieces.digests {
		if content, _ := pieces.get(num); content != nil {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, engineTimeout)
		content, err := f.manager.config.Engine.Staged(callCtx, f.target.Model, num)
		cancel()
		if isNotFound(err) {
			f.manager.predecessor.noteMissingPiece()
			continue
		}
		if err != nil {
			f.log.WithError(err).Info("Reading staged pieces failed; fetching the missing pieces instead.")
			return
		}
		if pieces.add(num, content) {
			f.countPiece("stage")
		}
	}
}

func (f *fetcher) countPiece(source string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.countBySource[source]++
}

// fetchMissing fetches the missing pieces, from all sources concurrently.
func (f *fetcher) fetchMissing(ctx context.Context, pieces *pieceSet) error {
	fetchCtx, cancel := context.WithCancelCause(ctx)
	var wait, refresh sync.WaitGroup
	refresh.Go(func() { f.followAgents(fetchCtx) })
	defer refresh.Wait()
	defer cancel(nil)
	for _, nums := range f.missingBySource(pieces) {
		queue := make(chan int, len(nums))
		for _, num := range nums {
			queue <- num
		}
		close(queue)
		for range transfersPerSource {
			wait.Go(func() {
				for num := range queue {
					if err := f.fetchPiece(fetchCtx, pieces, num); err != nil {
						cancel(err)
						return
					}
				}
			})
		}
	}
	wait.Wait()
	if pieces.missingCount() == 0 {
		return nil
	}
	return context.Cause(fetchCtx)
}

// missingBySource groups the missing pieces by their first source, in ascending
// order, which is the order in which a source gets them.
func (f *fetcher) missingBySource(pieces *pieceSet) map[core.InstanceID][]int {
	bySource := map[core.InstanceID][]int{}
	for num := range pieces.digests {
		if content, _ := pieces.get(num); content != nil {
			continue
		}
		var first core.InstanceID
		if sources := f.currentPlan().Sources(num); len(sources) > 0 {
			first = sources[0].ID
		}
		bySource[first] = append(bySource[first], num)
	}
	return bySource
}
