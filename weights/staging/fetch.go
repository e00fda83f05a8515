package staging

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"currantusher.dev/core"
	"currantusher.dev/core/pause"
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

	mu           sync.Mutex
	plan         FetchPlan
	backoffUntil map[core.InstanceID]time.Time
	// overdueSources holds the sources that did not get a piece for all retries.
	overdueSources map[core.InstanceID]bool
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

// refreshPlan follows the list of agents until ctx is done.
func (f *fetcher) refreshPlan(ctx context.Context) {
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
		return nil, fmt.Errorf("manifest from the origin has %d digests, want %d", len(digests), f.target.Pieces)
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
	refresh.Go(func() { f.refreshPlan(fetchCtx) })
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

// fetchPiece tries one source after another until the piece is verified and
// held.
func (f *fetcher) fetchPiece(ctx context.Context, pieces *pieceSet, num int) error {
	hasTriedOrigin := false
	startedAt := time.Now()
	for round := 0; ctx.Err() == nil; round++ {
		takesOver := f.takesOver(num, round, time.Since(startedAt))
		held, awaited := f.fetchFromPeers(ctx, pieces, num, hasTriedOrigin, takesOver)
		if held {
			return nil
		}
		if awaited && !(takesOver && f.isInOriginRegion()) {
			pause.For(ctx, retryDelay)
			continue
		}
		f.awaitOriginTurn(ctx, num, awaited, hasTriedOrigin)
		if awaited && f.isHeldByFirstSource(ctx, num) {
			continue
		}
		hasTriedOrigin = true
		content, err := f.fetchFromOrigin(ctx, num)
		if core.CodeOf(err) == core.CodeSuperseded {
			return err
		}
		if err == nil && f.acceptPiece(ctx, pieces, num, content, "origin") {
			return nil
		}
		if f.isManifestSuspect(num) {
			return errManifestMismatch
		}
		if err != nil && ctx.Err() == nil {
			f.log.WithError(err).WithField("piece", num).Info("Fetching a piece from the origin failed; retrying.")
		}
		pause.For(ctx, retryDelay)
	}
	return ctx.Err()
}

// awaitOriginTurn waits until the piece may be requested from the origin. The agent that
// takes over from one that runs has its turn half a period later. If the sources are
// gone, the first request of a piece is late and does not wait.
func (f *fetcher) awaitOriginTurn(ctx context.Context, num int, awaited, isRetry bool) {
	sinceStart := time.Since(f.startedAt)
	if awaited {
		sinceStart += f.target.originPeriod() / 2
	}
	pause.For(ctx, f.target.originTurn(num, sinceStart, awaited || isRetry))
}

// isHeldByFirstSource reports whether the piece has arrived at the first source.
func (f *fetcher) isHeldByFirstSource(ctx context.Context, num int) bool {
	sources := f.currentPlan().Sources(num)
	if len(sources) == 0 || f.isBackedOff(sources[0]) || f.isSlow(sources[0]) {
		return false
	}
	waitCtx, cancel := context.WithTimeout(ctx, recheckTimeout)
	defer cancel()
	return f.manager.config.Peers.AwaitPiece(waitCtx, sources[0], f.target.VersionKey, num) == nil
}

// isFirstSource reports whether the current plan names a peer as the first source of a
// piece, or as the one that its sender gets it from.
func (f *fetcher) isFirstSource(peer Agent, num int) bool {
	sources := f.currentPlan().Sources(num)
	return slices.ContainsFunc(sources[:min(2, len(sources))], func(a Agent) bool { return a.ID == peer.ID })
}

// isForwarder reports whether a peer of this region gets a piece from the agent that
// fetches it into the region, to send it to others.
func (f *fetcher) isForwarder(peer Agent, num int) bool {
	return peer.Region == f.currentPlan().self.Region && f.currentPlan().rankedAgents(peer.Region, num)[0].ID != peer.ID
}

// takesOver reports whether this agent fetches a piece into its region if the agent that
// should do so runs, but does not get it. If that takes long, about two random agents of
// the region do so in each round: agents with different lists may wait for each other.
func (f *fetcher) takesOver(num, round int, waited time.Duration) bool {
	plan := f.currentPlan()
	if plan.rank(num) <= 1 {
		return true
	}
	draw := rankHash(plan.self.ID, num+round*f.target.Pieces) % uint64(plan.localAgentCount())
	return waited > takeOverDelay && draw < takeOverAgents
}

func (f *fetcher) isInOriginRegion() bool {
	plan := f.currentPlan()
	return plan.self.Region == plan.originRegion
}

// fetchFromPeers tries the sources of a piece once. awaited reports whether a source
// runs that does not have the piece yet or is busy. Other regions are then tried only if
// this agent takes over. Sources on slow links are tried only if includeSlow is set, which
// is when the origin has failed.
func (f *fetcher) fetchFromPeers(ctx context.Context, pieces *pieceSet, num int, includeSlow, takesOver bool) (held, awaited bool) {
	if len(f.currentPlan().Sources(num)) > 0 {
		f.awaitPeersTurn(ctx)
	}
	isFirst := true
	plan := f.currentPlan()
	for _, group := range plan.sourceGroups(num) {
		waiting := 0
		for _, peer := range group {
			if f.isBackedOff(peer) || !includeSlow && f.isSlow(peer) {
				continue
			}
			content, err := f.fetchFromPeer(ctx, peer, num)
			mayRetry := isFirst && !f.isForwarder(peer, num)
			for retry := 0; mayRetry && retry < maxNotFoundRetries && isNotFound(err) && !f.isOverdue(peer) && f.isFirstSource(peer, num); retry++ {
				content, err = f.fetchFromPeer(ctx, peer, num)
			}
			if mayRetry {
				f.setOverdue(peer, isNotFound(err))
				isFirst = false
			}
			f.backOff(peer, err)
			if err == nil && f.acceptPiece(ctx, pieces, num, content, sourceKind(plan, peer)) {
				return true, awaited
			}
			lacksPiece := isNotFound(err) || errors.Is(err, errNotAssigned)
			if lacksPiece {
				waiting++
			}
			awaited = awaited || lacksPiece || errors.Is(err, errSourceBusy)
			if waiting == maxWaitingSources {
				break
			}
		}
		if awaited && !takesOver {
			break
		}
	}
	return false, awaited
}

func sourceKind(plan FetchPlan, peer Agent) string {
	if peer.Region == plan.self.Region {
		return "region"
	}
	return "home"
}

// acceptPiece verifies, keeps and stages a piece. It reports false if the
// content has a wrong digest.
func (f *fetcher) acceptPiece(ctx context.Context, pieces *pieceSet, num int, content []byte, source string) bool {
	if !pieces.add(num, content) {
		f.mu.Lock()
		f.corruptCopies[num]++
		f.mu.Unlock()
		f.log.WithFields(logrus.Fields{"piece": num, "source": source}).Warn("Received a piece with a wrong digest; discarding it.")
		return false
	}
	f.countPiece(source)
	f.manager.stageEarly(ctx, f.log, f.target, pieces, num)
	return true
}

func (f *fetcher) isManifestSuspect(num int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.corruptCopies[num] >= maxCorruptCopies
}

// fetchFromPeer waits until a peer has the piece and the downlink allows a
// transfer, and then fetches the piece.
func (f *fetcher) fetchFromPeer(ctx context.Context, peer Agent, num int) ([]byte, error) {
	peers := f.manager.config.Peers
	waitCtx, cancel := context.WithTimeout(ctx, sourceTimeout)
	defer cancel()
	if err := peers.AwaitPiece(waitCtx, peer, f.target.VersionKey, num); err != nil {
		return nil, err
	}
	urgent := f.currentPlan().SendsToOthers(num)
	if err := f.manager.downlink.acquire(ctx, urgent); err != nil {
		return nil, err
	}
	content, transferTime, err := peers.Piece(ctx, peer, f.target.VersionKey, num, urgent)
	if err != nil && transferTime == 0 {
		// No data arrived, so the attempt says nothing about this agent's link.
		f.manager.downlink.releaseUnused()
		return nil, err
	}
	f.manager.downlink.release(time.Now(), peer.ID, transferTime)
	return content, err
}

func (f *fetcher) fetchFromOrigin(ctx context.Context, num int) ([]byte, error) {
	select {
	case f.originSlots <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-f.originSlots }()
	callCtx, cancel := context.WithTimeout(ctx, sourceTimeout)
	defer cancel()
	return f.target.Origin.Piece(callCtx, f.target.Model, f.target.Version, num)
}

// isOverdue reports whether the last piece requested from a source did not arrive there
// for all retries.
func (f *fetcher) isOverdue(peer Agent) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.overdueSources[peer.ID]
}

func (f *fetcher) setOverdue(peer Agent, overdue bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.overdueSources[peer.ID] = overdue
}

func (f *fetcher) isBackedOff(peer Agent) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Now().Before(f.backoffUntil[peer.ID])
}

// isSlow reports whether a source is on a slow link. Others get its pieces sooner.
func (f *fetcher) isSlow(peer Agent) bool {
	return f.manager.downlink.isSourceSlow(time.Now(), peer.ID)
}

// backOff excludes a source for failedSourceBackoff, unless the source only
// lacks the piece or is busy, or the request was cancelled.
func (f *fetcher) backOff(peer Agent, err error) {
	if err == nil || isNotFound(err) || errors.Is(err, errNotAssigned) || errors.Is(err, errSourceBusy) || errors.Is(err, context.Canceled) {
		return
	}
	f.mu.Lock()
	f.backoffUntil[peer.ID] = time.Now().Add(failedSourceBackoff)
	f.mu.Unlock()
	f.log.WithError(err).WithField("peer", peer.ID).Info("Source failed; trying the next source.")
}
