package swarm

import (
	"context"
	"sync"
	"time"

	"currantusher.dev/wire"
)

const (
	eventQueue     = 64
	sourceParallel = 1
	// rebalanceParts gives the difference of upload budgets, as a part of a
	// copy, for which a peer is replaced.
	rebalanceParts = 6
	// patience is how long a peer may be of no use before another takes its
	// place, in reports to the tracker.
	patience    = 6
	replanEvery = 250 * time.Millisecond
)

// download runs one version's transfers. Only the goroutine of run touches its
// fields; transfers report to it by events.
type download struct {
	*session
	ctx     context.Context
	plan    *planner
	events  chan event
	wg      sync.WaitGroup
	kick    chan struct{}
	watches map[string]*watch

	// extents are the extents being fetched from sources.
	extents map[int]bool
	fetched []uint32
	// progressAt is when the last chunk came or a source was last asked.
	progressAt time.Time
	// stall and starve are how long nothing may come before a source is asked
	// for chunks that no peer offers, or that no peer can deliver.
	stall  time.Duration
	starve time.Duration
	// wantFar reports that peers of other regions are of use.
	wantFar bool
	// nextSwap is when a peer may next be replaced.
	nextSwap time.Time
	// nextNudge is when a report for want of peers may come next.
	nextNudge time.Time
	// asked reports that the tracker was asked for peers in this wait.
	asked bool
	// heldAt is when another grant of the region was seen for an extent.
	heldAt map[int]time.Time
	// unused are chunks with an origin grant of which nothing was drawn.
	unused map[int]bool
	err    error

	reportMu  sync.Mutex
	reporting wire.TrackRequest
}

// watch is a running subscription to what a peer offers.
type watch struct {
	cancel context.CancelFunc
	since  time.Time
}

// event is something that happened to a transfer.
type event interface {
	apply(d *download, now time.Time)
}

// download fetches all missing chunks.
func (s *session) download(ctx context.Context) error {
	running, cancel := context.WithCancel(ctx)
	sizes := make([]int64, len(s.chunks))
	for i, chunk := range s.chunks {
		sizes[i] = chunk.Size
	}
	d := &download{
		session:    s,
		ctx:        running,
		plan:       newPlanner(sizes, s.config.InFlight, s.config.Seed),
		events:     make(chan event, eventQueue),
		kick:       make(chan struct{}, 1),
		watches:    map[string]*watch{},
		extents:    map[int]bool{},
		heldAt:     map[int]time.Time{},
		unused:     map[int]bool{},
		progressAt: time.Now(),
		stall:      s.jittered(s.config.StallTimeout),
		starve:     s.jittered(s.config.RetryDelay),
	}
	for chunk := range sizes {
		if s.offers.has(chunk) {
			d.plan.done(chunk)
		}
	}
	err := d.run()
	cancel()
	d.wg.Wait()
	for addr := range d.watches {
		s.config.Peer.Disconnect(addr)
	}
	return err
}

func (d *download) run() error {
	d.updateReport()
	d.spawn(d.announceLoop)
	timer := time.NewTimer(replanEvery)
	defer timer.Stop()
	for !d.plan.whole() {
		now := time.Now()
		d.checkStall(now)
		d.checkPeers(now)
		d.startRequests(now)
		d.updateReport()
		timer.Reset(d.plan.wait(now, replanEvery))
		select {
		case <-d.ctx.Done():
			return d.ctx.Err()
		case happened := <-d.events:
			happened.apply(d, time.Now())
		case <-timer.C:
		}
		if d.err != nil {
			return d.err
		}
	}
	return nil
}

func (d *download) spawn(work func()) {
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		work()
	}()
}

// post hands an event to run. It reports false when the download ended.
func (d *download) post(happened event) bool {
	select {
	case d.events <- happened:
		return true
	case <-d.ctx.Done():
		return false
	}
}

func (d *download) startRequests(now time.Time) {
	for _, req := range d.plan.next(now) {
		if !d.ledger.room(d.plan.sizes[req.chunk], now) {
			d.plan.ended(req, outcomeSpent, d.plan.peers[req.peer].left, 0, now)
			continue
		}
		far := d.plan.peers[req.peer].far
		d.spawn(func() { d.fetchChunk(req, far) })
	}
}

func (d *download) fetchChunk(req request, far bool) {
	digest := d.chunks[req.chunk].Digest
	got := d.fetchFromPeer(d.ctx, req.peer, digest, far)
	var err error
	if got.result == outcomeDone {
		err = d.config.Staging.PutChunk(d.ctx, digest, got.content)
	}
	d.post(peerDone{req: req, result: got.result, left: got.left, took: got.took, stageErr: err})
}

// peerDone ends a request to a peer.
type peerDone struct {
	req      request
	result   outcome
	left     int64
	took     time.Duration
	stageErr error
}

func (e peerDone) apply(d *download, now time.Time) {
	d.plan.ended(e.req, e.result, e.left, e.took, now)
	if e.result == outcomeDone {
		d.staged(e.req.chunk, e.stageErr, now)
	}
}

// staged records that a verified chunk was staged, or why it was not.
func (d *download) staged(chunk int, err error, now time.Time) {
	if err != nil {
		d.err = err
		return
	}
	d.plan.done(chunk)
	d.offers.add(chunk)
	d.progressAt = now
	d.manager.hooks.reached(StageChunks, d.offers.count())
}

// offered updates what a peer offers.
type offered struct {
	addr   string
	update wire.HaveUpdate
}

func (e offered) apply(d *download, _ time.Time) {
	d.plan.offer(e.addr, bitset(e.update.Bits), e.update.Added, e.update.BudgetLeftBytes)
}

// peerLost ends the watch of a peer.
type peerLost struct {
	addr string
}

func (e peerLost) apply(d *download, _ time.Time) {
	d.plan.removePeer(e.addr)
	if watched := d.watches[e.addr]; watched != nil {
		watched.cancel()
		delete(d.watches, e.addr)
		if d.plan.peers[e.addr].inFlight == 0 {
			d.config.Peer.Disconnect(e.addr)
		}
	}
}

// tracked is a tracker's answer.
type tracked struct {
	reply wire.TrackReply
}

func (e tracked) apply(d *download, now time.Time) {
	for _, peer := range e.reply.Peers {
		d.watch(peer)
	}
	for _, extent := range e.reply.AssignedExtents {
		d.fetchExtent(int(extent), e.reply.Takeover, now)
	}
}

func (d *download) watch(peer wire.TrackPeer) {
	if peer.Addr == d.config.AdvertiseAddr || d.watches[peer.Addr] != nil {
		return
	}
	far := peer.Region != d.config.Region
	if !d.makeRoom(peer, far) {
		return
	}
	d.plan.addPeer(peer.Addr, far)
	if d.plan.peers[peer.Addr].banned {
		return
	}
	watching, cancel := context.WithCancel(d.ctx)
	d.watches[peer.Addr] = &watch{cancel: cancel, since: time.Now()}
	d.spawn(func() {
		_ = d.watchPeer(watching, peer.Addr, func(update wire.HaveUpdate) bool {
			return d.post(offered{addr: peer.Addr, update: update})
		})
		d.post(peerLost{addr: peer.Addr})
	})
}

// makeRoom reports whether another peer may be watched. When there are enough,
// a peer that is of no use, or has much less upload budget left, gives way.
func (d *download) makeRoom(peer wire.TrackPeer, far bool) bool {
	limit := d.config.MaxNearPeers
	if far {
		limit = d.config.FarPeers
	}
	now := time.Now()
	count := 0
	worst := ""
	for addr, watched := range d.watches {
		if d.plan.peers[addr].far != far {
			continue
		}
		count++
		settled := d.plan.peers[addr].known && now.Sub(watched.since) >= patience*d.config.AnnounceInterval
		if settled && (worst == "" || d.worth(addr) < d.worth(worst)) {
			worst = addr
		}
	}
	if count < limit {
		return true
	}
	if worst == "" || peer.ChunksDone == 0 || peer.BudgetLeftBytes <= 0 || now.Before(d.nextSwap) {
		return false
	}
	if peer.BudgetLeftBytes-d.worth(worst) <= d.ledger.size/rebalanceParts {
		return false
	}
	d.nextSwap = now.Add(d.jittered(d.config.AnnounceInterval))
	peerLost{addr: worst}.apply(d, now)
	return true
}

// worth ranks the watched peers by their upload budgets; those of no use come
// last.
func (d *download) worth(addr string) int64 {
	if !d.plan.useful(addr) {
		return -d.ledger.size
	}
	return d.plan.peers[addr].left
}

// checkStall turns to sources when chunks that no near peer delivers have not
// come for too long.
func (d *download) checkStall(now time.Time) {
	if d.plan.flying > 0 || len(d.extents) > 0 || now.Sub(d.progressAt) < d.starve {
		return
	}
	missing := d.plan.uncovered(0, len(d.chunks))
	if len(missing) == 0 {
		return
	}
	chunk := missing[d.random.IntN(len(missing))]
	if d.plan.cover(chunk) == coverSpent {
		d.starved(missing, now)
		return
	}
	if now.Sub(d.progressAt) < d.stall {
		return
	}
	d.restart(now)
	extent := chunk / extentChunks(len(d.chunks))
	heldAt := d.heldAt[extent]
	takeover := !heldAt.IsZero() && now.Sub(heldAt) >= d.config.StallTimeout
	d.fetchExtent(extent, takeover, now)
}

// checkPeers reports to the tracker early when peers are wanting.
func (d *download) checkPeers(now time.Time) {
	if now.Before(d.nextNudge) || 2*d.usefulPeers() >= d.config.MaxNearPeers {
		return
	}
	d.nextNudge = now.Add(d.jittered(d.config.RetryDelay))
	d.nudge()
}

// restart begins a new wait for chunks.
func (d *download) restart(now time.Time) {
	d.progressAt = now
	d.stall = d.jittered(d.config.StallTimeout)
	d.starve = d.jittered(d.config.RetryDelay)
	d.asked = false
	d.nudge()
}

// starved asks the tracker for peers with an upload budget and, when that did
// not help, the weight store.
func (d *download) starved(missing []int, now time.Time) {
	if !d.asked {
		d.asked = true
		d.starve += d.jittered(d.config.RetryDelay)
		d.nudge()
		return
	}
	d.restart(now)
	for i, chunk := range missing {
		if i == sourceParallel {
			break
		}
		d.fetchElsewhere(chunk)
	}
}
