package swarm

import (
	"context"
	"sync"
	"time"

	"currantusher.dev/wire"
)

const (
	eventQueueSize = 64
	// sourceConcurrency bounds the chunks of one extent that are read from the
	// origin at once, and the chunks that handleStarvation fetches in one round.
	sourceConcurrency = 1
	// replaceThresholdDivisor sets the difference of upload budgets above which a
	// peer is replaced: the size of the version divided by this value.
	replaceThresholdDivisor = 6
	// minAnnouncesBeforeReplace is how long a peer is kept before it may be
	// replaced, in multiples of Config.AnnounceInterval.
	minAnnouncesBeforeReplace = 6
	// replanInterval is the maximum time between two rounds of planning.
	replanInterval = 250 * time.Millisecond
)

// download runs the transfers of one version. Only the goroutine of run accesses
// its fields, except trackRequest; the other goroutines post events to it.
type download struct {
	*session
	ctx           context.Context
	planner       *planner
	events        chan event
	wg            sync.WaitGroup
	announceNow   chan struct{}
	subscriptions map[string]*subscription

	// activeExtents are the extents being fetched from the origin.
	activeExtents    map[int]bool
	completedExtents []uint32
	// lastProgress is when the last chunk was staged or the last fetch from a
	// source was started.
	lastProgress time.Time
	// stallTimeout and starvationTimeout are how long to wait after lastProgress
	// before missing chunks are fetched from a source. stallTimeout applies to
	// chunks that no near peer offers, starvationTimeout to chunks that near peers
	// offer but cannot deliver because their upload budgets are spent.
	stallTimeout      time.Duration
	starvationTimeout time.Duration
	// farPeersNeeded reports that some chunk may be requested from far peers.
	farPeersNeeded bool
	// nextReplacement is when a peer may be replaced next.
	nextReplacement time.Time
	// nextEarlyAnnounce is when the next report may be sent early because there are
	// too few useful peers.
	nextEarlyAnnounce time.Time
	// starvationAnnounced reports that an early report to request more peers was
	// already triggered in the current wait.
	starvationAnnounced bool
	// grantHeldSince is when, for each extent, the grant of another downloader of
	// the region was first seen.
	grantHeldSince map[int]time.Time
	// unusedGrants are the chunks with an origin grant that is not used up, because
	// the origin refused the fetch.
	unusedGrants map[int]bool
	err          error

	trackRequestMu sync.Mutex
	trackRequest   wire.TrackRequest
}

// subscription is the stream of updates about the chunks that a peer offers.
type subscription struct {
	cancel context.CancelFunc
	since  time.Time
}

// event is a state change that is applied by the goroutine of download.run.
type event interface {
	apply(d *download, now time.Time)
}

// download fetches and stages all missing chunks.
func (s *session) download(ctx context.Context) error {
	downloadCtx, cancel := context.WithCancel(ctx)
	chunkSizes := make([]int64, len(s.chunks))
	for i, chunk := range s.chunks {
		chunkSizes[i] = chunk.Size
	}
	d := &download{
		session:           s,
		ctx:               downloadCtx,
		planner:           newPlanner(chunkSizes, s.config.MaxInFlightChunks, s.config.Seed),
		events:            make(chan event, eventQueueSize),
		announceNow:       make(chan struct{}, 1),
		subscriptions:     map[string]*subscription{},
		activeExtents:     map[int]bool{},
		grantHeldSince:    map[int]time.Time{},
		unusedGrants:      map[int]bool{},
		lastProgress:      time.Now(),
		stallTimeout:      s.withJitter(s.config.StallTimeout),
		starvationTimeout: s.withJitter(s.config.RetryDelay),
	}
	for chunk := range chunkSizes {
		if s.verified.has(chunk) {
			d.planner.markStaged(chunk)
		}
	}
	err := d.run()
	cancel()
	d.wg.Wait()
	for addr := range d.subscriptions {
		s.config.Peer.Disconnect(addr)
	}
	return err
}

// run plans requests and applies events until all chunks are staged, staging a
// chunk fails or the context ends.
func (d *download) run() error {
	d.updateTrackRequest()
	d.spawn(d.announceLoop)
	timer := time.NewTimer(replanInterval)
	defer timer.Stop()
	for !d.planner.complete() {
		now := time.Now()
		d.checkStall(now)
		d.checkUsefulPeers(now)
		d.startPeerRequests(now)
		d.updateTrackRequest()
		timer.Reset(d.planner.timeUntilRetry(now, replanInterval))
		select {
		case <-d.ctx.Done():
			return d.ctx.Err()
		case ev := <-d.events:
			ev.apply(d, time.Now())
		case <-timer.C:
		}
		if d.err != nil {
			return d.err
		}
	}
	return nil
}

// spawn runs work in a goroutine that ends before the download returns.
func (d *download) spawn(work func()) {
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		work()
	}()
}

// post sends an event to run. It reports false if the download has ended.
func (d *download) post(ev event) bool {
	select {
	case d.events <- ev:
		return true
	case <-d.ctx.Done():
		return false
	}
}

func (d *download) startPeerRequests(now time.Time) {
	for _, req := range d.planner.nextRequests(now) {
		if !d.linkBudget.allowsDownload(d.planner.chunkSizes[req.chunk], now) {
			d.planner.requestEnded(req, outcomeBudgetSpent, d.planner.peers[req.peer].budgetLeft, 0, now)
			continue
		}
		far := d.planner.peers[req.peer].far
		d.spawn(func() { d.fetchChunkFromPeer(req, far) })
	}
}

func (d *download) fetchChunkFromPeer(req peerRequest, far bool) {
	digest := d.chunks[req.chunk].Digest
	response := d.fetchFromPeer(d.ctx, req.peer, digest, far)
	var err error
	if response.result == outcomeDelivered {
		err = d.config.Staging.PutChunk(d.ctx, digest, response.content)
	}
	d.post(peerFetchDone{req: req, result: response.result, budgetLeft: response.budgetLeft, elapsed: response.elapsed, stageErr: err})
}

// peerFetchDone is the event that a request to a peer ended.
type peerFetchDone struct {
	req        peerRequest
	result     outcome
	budgetLeft int64
	elapsed    time.Duration
	stageErr   error
}

func (e peerFetchDone) apply(d *download, now time.Time) {
	d.planner.requestEnded(e.req, e.result, e.budgetLeft, e.elapsed, now)
	if e.result == outcomeDelivered {
		d.chunkStaged(e.req.chunk, e.stageErr, now)
	}
}

// chunkStaged records that a verified chunk was staged, or the error of staging
// it, which ends the download.
func (d *download) chunkStaged(chunk int, err error, now time.Time) {
	if err != nil {
		d.err = err
		return
	}
	d.planner.markStaged(chunk)
	d.verified.add(chunk)
	d.lastProgress = now
	d.manager.hooks.stageReached(StageChunks, d.verified.count())
}

// offerUpdated is the event that a peer sent an update of the chunks it offers.
type offerUpdated struct {
	addr   string
	update wire.HaveUpdate
}

func (e offerUpdated) apply(d *download, _ time.Time) {
	d.planner.recordOffer(e.addr, bitset(e.update.Bits), e.update.Added, e.update.BudgetLeftBytes)
}

// peerRemoved is the event that the subscription to a peer ended or has to end.
type peerRemoved struct {
	addr string
}

func (e peerRemoved) apply(d *download, _ time.Time) {
	d.planner.clearPeerOffers(e.addr)
	if sub := d.subscriptions[e.addr]; sub != nil {
		sub.cancel()
		delete(d.subscriptions, e.addr)
		if d.planner.peers[e.addr].inFlight == 0 {
			d.config.Peer.Disconnect(e.addr)
		}
	}
}

// trackerReplied is the event that a tracker answered a report.
type trackerReplied struct {
	reply wire.TrackReply
}

func (e trackerReplied) apply(d *download, now time.Time) {
	for _, peer := range e.reply.Peers {
		d.subscribe(peer)
	}
	for _, extent := range e.reply.AssignedExtents {
		d.startExtentFetch(int(extent), e.reply.Takeover, now)
	}
}

// subscribe starts a subscription to a peer if the limits allow another one.
func (d *download) subscribe(peer wire.TrackPeer) {
	if peer.Addr == d.config.AdvertiseAddr || d.subscriptions[peer.Addr] != nil {
		return
	}
	far := peer.Region != d.config.Region
	if !d.admitPeer(peer, far) {
		return
	}
	d.planner.addPeer(peer.Addr, far)
	if d.planner.peers[peer.Addr].banned {
		return
	}
	subscriptionCtx, cancel := context.WithCancel(d.ctx)
	d.subscriptions[peer.Addr] = &subscription{cancel: cancel, since: time.Now()}
	d.spawn(func() {
		_ = d.receiveHaveUpdates(subscriptionCtx, peer.Addr, func(update wire.HaveUpdate) bool {
			return d.post(offerUpdated{addr: peer.Addr, update: update})
		})
		d.post(peerRemoved{addr: peer.Addr})
	})
}

// admitPeer reports whether a subscription to peer may be started. At the limit it
// removes the peer with the lowest value if that value is much lower than the
// upload budget of the new peer.
func (d *download) admitPeer(peer wire.TrackPeer, far bool) bool {
	limit := d.config.MaxNearPeers
	if far {
		limit = d.config.MaxFarPeers
	}
	now := time.Now()
	count := 0
	worst := ""
	for addr, sub := range d.subscriptions {
		if d.planner.peers[addr].far != far {
			continue
		}
		count++
		replaceable := d.planner.peers[addr].offersKnown && now.Sub(sub.since) >= minAnnouncesBeforeReplace*d.config.AnnounceInterval
		if replaceable && (worst == "" || d.peerValue(addr) < d.peerValue(worst)) {
			worst = addr
		}
	}
	if count < limit {
		return true
	}
	if worst == "" || peer.ChunksDone == 0 || peer.BudgetLeftBytes <= 0 || now.Before(d.nextReplacement) {
		return false
	}
	if peer.BudgetLeftBytes-d.peerValue(worst) <= d.linkBudget.copyBytes/replaceThresholdDivisor {
		return false
	}
	d.nextReplacement = now.Add(d.withJitter(d.config.AnnounceInterval))
	peerRemoved{addr: worst}.apply(d, now)
	return true
}

// peerValue returns the remaining upload budget of a peer in bytes, or a negative
// value if the peer cannot deliver any missing chunk.
func (d *download) peerValue(addr string) int64 {
	if !d.planner.isUseful(addr) {
		return -d.linkBudget.copyBytes
	}
	return d.planner.peers[addr].budgetLeft
}

// checkStall fetches missing chunks that no near peer can deliver from a source
// after a timeout without progress.
func (d *download) checkStall(now time.Time) {
	if d.planner.peerRequests > 0 || len(d.activeExtents) > 0 || now.Sub(d.lastProgress) < d.starvationTimeout {
		return
	}
	missing := d.planner.uncoveredChunks(0, len(d.chunks))
	if len(missing) == 0 {
		return
	}
	chunk := missing[d.random.IntN(len(missing))]
	if d.planner.coverageOf(chunk) == coverageBudgetSpent {
		d.handleStarvation(missing, now)
		return
	}
	if now.Sub(d.lastProgress) < d.stallTimeout {
		return
	}
	d.resetStallTimers(now)
	extent := chunk / extentChunks(len(d.chunks))
	heldSince := d.grantHeldSince[extent]
	takeover := !heldSince.IsZero() && now.Sub(heldSince) >= d.config.StallTimeout
	d.startExtentFetch(extent, takeover, now)
}

// checkUsefulPeers sends the next report to the tracker early if fewer than half
// of MaxNearPeers can deliver a missing chunk.
func (d *download) checkUsefulPeers(now time.Time) {
	if now.Before(d.nextEarlyAnnounce) || 2*d.countUsefulPeers() >= d.config.MaxNearPeers {
		return
	}
	d.nextEarlyAnnounce = now.Add(d.withJitter(d.config.RetryDelay))
	d.triggerAnnounce()
}

// resetStallTimers restarts the stall and starvation timeouts.
func (d *download) resetStallTimers(now time.Time) {
	d.lastProgress = now
	d.stallTimeout = d.withJitter(d.config.StallTimeout)
	d.starvationTimeout = d.withJitter(d.config.RetryDelay)
	d.starvationAnnounced = false
	d.triggerAnnounce()
}

// handleStarvation triggers an early report to request peers with upload budget
// from the tracker. If that did not help, the next call fetches up to
// sourceConcurrency of the missing chunks from far peers or the weight store.
func (d *download) handleStarvation(missing []int, now time.Time) {
	if !d.starvationAnnounced {
		d.starvationAnnounced = true
		d.starvationTimeout += d.withJitter(d.config.RetryDelay)
		d.triggerAnnounce()
		return
	}
	d.resetStallTimers(now)
	for i, chunk := range missing {
		if i == sourceConcurrency {
			break
		}
		d.fetchFromFarPeerOrStore(chunk)
	}
}
