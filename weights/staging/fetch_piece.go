package staging

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"currantusher.dev/core"
	"currantusher.dev/core/pause"
)

// fetchPiece tries one source after another until the piece is verified and
// held.
func (f *fetcher) fetchPiece(ctx context.Context, pieces *pieceSet, num int) error {
	hasTriedOrigin := false
	startedAt := time.Now()
	for round := 0; ctx.Err() == nil; round++ {
		takesOver := f.takesOver(num, round, time.Since(startedAt))
		held, awaited := f.fetchFromPeers(ctx, pieces, num, hasTriedOrigin, takesOver)
		if held || awaited && f.fetchFromOtherHolder(ctx, pieces, num, round) {
			return nil
		}
		if awaited && !(takesOver && f.isInOriginRegion() && f.mayTakeOver(num)) {
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
		pause.For(ctx, f.originRetryDelay())
	}
	return ctx.Err()
}

// awaitOriginTurn waits until the piece may be requested from the origin. The agent that
// takes over from one that runs has its turn half a period later. If the sources are
// gone, the first request of a piece is late and does not wait.
func (f *fetcher) awaitOriginTurn(ctx context.Context, num int, awaited, isRetry bool) {
	if f.schedule != nil {
		f.awaitTurn(ctx, num)
		return
	}
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
	return f.holdsPiece(ctx, sources[0], num)
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

// fetchFromOtherHolder asks a few more agents of the region whether they hold a piece,
// others in each round. The first sources of an agent with an outdated list wait for the
// piece themselves, while others have it.
func (f *fetcher) fetchFromOtherHolder(ctx context.Context, pieces *pieceSet, num, round int) bool {
	plan := f.currentPlan()
	preceding := plan.sourceGroups(num)[0]
	asked := preceding[:min(maxWaitingSources, len(preceding))]
	others := slices.DeleteFunc(plan.rankedAgents(plan.self.Region, num), func(a Agent) bool {
		return a.ID == plan.self.ID || slices.ContainsFunc(asked, func(b Agent) bool { return a.ID == b.ID })
	})
	if len(others) == 0 {
		return false
	}
	start := rankHash(plan.self.ID, num) % uint64(len(others))
	for i := range min(maxHolderProbes, len(others)) {
		peer := others[(int(start)+round*maxHolderProbes+i)%len(others)]
		if f.isBackedOff(peer) || f.isSlow(peer) || !f.holdsPiece(ctx, peer, num) {
			continue
		}
		content, err := f.fetchFromPeer(ctx, peer, num)
		f.backOff(peer, err)
		if err == nil && f.acceptPiece(ctx, pieces, num, content, sourceKind(plan, peer)) {
			return true
		}
	}
	return false
}

// holdsPiece reports whether a source of this region has a piece by now.
func (f *fetcher) holdsPiece(ctx context.Context, peer Agent, num int) bool {
	waitCtx, cancel := context.WithTimeout(ctx, recheckTimeout)
	defer cancel()
	return f.manager.config.Peers.AwaitPiece(waitCtx, peer, f.target.VersionKey, num) == nil
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
	start := time.Now()
	err := peers.AwaitPiece(waitCtx, peer, f.target.VersionKey, num)
	f.mu.Lock()
	f.withoutVersion[peer.ID] = isNotFound(err) && time.Since(start) < pieceWaitTimeout/2
	f.mu.Unlock()
	if err != nil {
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
	timeout := sourceTimeout
	if f.schedule != nil {
		timeout = f.schedule.timeout()
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	f.manager.originStats.begin(time.Now())
	content, err := f.target.Origin.Piece(callCtx, f.target.Model, f.target.Version, num)
	f.manager.originStats.end(time.Now(), f.target.VersionKey, len(content), err != nil && ctx.Err() == nil)
	if f.schedule != nil && ctx.Err() == nil && f.schedule.noteResult(time.Now(), err == nil) {
		f.log.WithField("is_away", err != nil).Info("State of the origin changed.")
	}
	return content, err
}

// originRetryDelay returns the delay after a failed request to the origin.
func (f *fetcher) originRetryDelay() time.Duration {
	if f.schedule != nil {
		return originProbePeriod
	}
	return retryDelay
}

// mayTakeOver reports whether a piece may be requested from the origin although the agent
// that fetches it into the region runs. With a narrow origin that agent must have left its
// turn unused.
func (f *fetcher) mayTakeOver(num int) bool {
	return f.schedule == nil || f.isNotFetchedByFirstSource(num) || f.schedule.isOverdue(time.Now(), num)
}

// isNotFetchedByFirstSource reports whether the agent that fetches a piece into the region
// has answered at once that it does not get the version.
func (f *fetcher) isNotFetchedByFirstSource(num int) bool {
	sources := f.currentPlan().Sources(num)
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(sources) > 0 && f.withoutVersion[sources[0].ID]
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
	backoff := failedSourceBackoff
	if f.target.isOriginNarrow() {
		backoff = narrowSourceBackoff
	}
	f.mu.Lock()
	f.backoffUntil[peer.ID] = time.Now().Add(backoff)
	f.mu.Unlock()
	f.log.WithError(err).WithField("peer", peer.ID).Info("Source failed; trying the next source.")
}
