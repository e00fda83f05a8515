package swarm

import (
	"math/rand/v2"
	"time"
)

const (
	// maxPeerFaults is the number of faults after which a peer is banned.
	maxPeerFaults = 3
	// maxRequestsPerPeer bounds the requests in flight to one peer.
	maxRequestsPerPeer = 2
	// initialChunkTime is the mean transfer time of a chunk that is assumed before
	// the first transfer; each transfer then changes the mean by
	// 1/chunkTimeSmoothing of the difference.
	initialChunkTime   = 100 * time.Millisecond
	chunkTimeSmoothing = 8
	// minBusyBackoff is the minimum base of the backoff for a busy peer.
	minBusyBackoff = 5 * time.Millisecond
)

// outcome is the result of a request to a peer.
type outcome uint8

const (
	outcomeDelivered outcome = iota
	outcomeBusy
	outcomeBudgetSpent
	outcomeMissing
	outcomeFailed
	outcomeCorrupt
)

// peerState is the planner's state for one peer.
type peerState struct {
	// far marks a peer in another region.
	far bool
	// offersKnown reports that the peer has sent the chunks that it offers.
	offersKnown  bool
	offered      bitset
	offeredCount int
	// budgetLeft is the upload budget that the peer last reported, in bytes.
	budgetLeft int64
	inFlight   int
	faults     int
	banned     bool
	// retryAt is the earliest time of the next request to the peer.
	retryAt time.Time
}

// peerRequest is a chunk to request from a peer.
type peerRequest struct {
	chunk int
	peer  string
}

// planner decides which chunk to request from which peer. It selects the chunk
// that the fewest near peers offer, ties at random, and one of the peers with the
// fewest requests in flight. It has no clock and does no I/O. It is not safe for
// concurrent use.
type planner struct {
	// chunkSizes is in bytes.
	chunkSizes   []int64
	have         bitset
	missingCount int
	// requested contains the chunks being fetched from peers and from sources.
	requested bitset
	// peerRequests counts the requests to peers in flight.
	peerRequests    int
	maxPeerRequests int
	// availability counts the near peers that offer each chunk.
	availability []uint16
	// farAllowed contains the chunks that may be requested from far peers.
	farAllowed bitset
	peers      map[string]*peerState
	// peerOrder lists the peers in the order in which they were added, so that the
	// choices are deterministic for a seed.
	peerOrder []string
	random    *rand.Rand
	// meanChunkTime is the moving average of the transfer times of chunks.
	meanChunkTime time.Duration
}

func newPlanner(chunkSizes []int64, maxPeerRequests int, seed uint64) *planner {
	return &planner{
		chunkSizes:      chunkSizes,
		have:            newBitset(len(chunkSizes)),
		missingCount:    len(chunkSizes),
		requested:       newBitset(len(chunkSizes)),
		maxPeerRequests: maxPeerRequests,
		availability:    make([]uint16, len(chunkSizes)),
		farAllowed:      newBitset(len(chunkSizes)),
		peers:           map[string]*peerState{},
		random:          rand.New(rand.NewPCG(seed, 1)),
		meanChunkTime:   initialChunkTime,
	}
}

// complete reports whether all chunks are verified and staged.
func (p *planner) complete() bool { return p.missingCount == 0 }

// markStaged records that a chunk is verified and staged.
func (p *planner) markStaged(chunk int) {
	p.clearRequested(chunk)
	if p.have.set(chunk) {
		p.missingCount--
	}
}

// markRequested marks a chunk as requested from a source. It reports false if the
// chunk is staged or already requested.
func (p *planner) markRequested(chunk int) bool {
	return !p.have.has(chunk) && p.requested.set(chunk)
}

// clearRequested marks a chunk as no longer requested.
func (p *planner) clearRequested(chunk int) { p.requested.clear(chunk) }

// addPeer adds a peer that offers no chunks yet; see recordOffer. It reports false
// if the peer exists.
func (p *planner) addPeer(addr string, far bool) bool {
	if p.peers[addr] != nil {
		return false
	}
	p.peers[addr] = &peerState{far: far, offered: newBitset(len(p.chunkSizes))}
	p.peerOrder = append(p.peerOrder, addr)
	return true
}

// clearPeerOffers removes the chunks that a peer offers but keeps its faults, so
// that a peer which is added again stays banned.
func (p *planner) clearPeerOffers(addr string) {
	state := p.peers[addr]
	if state == nil {
		return
	}
	p.clearOfferedChunks(state)
	state.offersKnown = false
	state.budgetLeft = 0
}

func (p *planner) clearOfferedChunks(state *peerState) {
	for chunk := range p.chunkSizes {
		if state.offered.has(chunk) && !state.far && !state.banned {
			p.availability[chunk]--
		}
	}
	state.offered = newBitset(len(p.chunkSizes))
	state.offeredCount = 0
}

// recordOffer adds the chunks in bits and added to those that a peer offers and
// sets the peer's remaining upload budget in bytes.
func (p *planner) recordOffer(addr string, bits bitset, added []uint32, budgetLeft int64) {
	state := p.peers[addr]
	if state == nil || state.banned {
		return
	}
	state.offersKnown = true
	state.budgetLeft = budgetLeft
	for chunk := range p.chunkSizes {
		if bits.has(chunk) {
			p.addOfferedChunk(state, chunk)
		}
	}
	for _, chunk := range added {
		if int(chunk) < len(p.chunkSizes) {
			p.addOfferedChunk(state, int(chunk))
		}
	}
}

func (p *planner) addOfferedChunk(state *peerState, chunk int) {
	if !state.offered.set(chunk) {
		return
	}
	state.offeredCount++
	if !state.far {
		p.availability[chunk]++
	}
}

// requestEnded records the result of a request to a peer. The chunk remains
// missing until markStaged is called.
func (p *planner) requestEnded(req peerRequest, result outcome, budgetLeft int64, elapsed time.Duration, now time.Time) {
	p.clearRequested(req.chunk)
	p.peerRequests--
	state := p.peers[req.peer]
	state.inFlight--
	switch result {
	case outcomeDelivered:
		state.budgetLeft = budgetLeft
		p.meanChunkTime += (elapsed - p.meanChunkTime) / chunkTimeSmoothing
	case outcomeBusy:
		state.budgetLeft = budgetLeft
		state.retryAt = now.Add(p.busyBackoff())
	case outcomeBudgetSpent:
		state.budgetLeft = budgetLeft
	case outcomeMissing:
		p.removeOfferedChunk(state, req.chunk)
		p.recordFaults(state, 1, now)
	case outcomeFailed:
		p.recordFaults(state, 1, now)
	case outcomeCorrupt:
		p.recordFaults(state, maxPeerFaults, now)
	}
}

// busyBackoff returns the time until the next request to a busy peer, with jitter.
func (p *planner) busyBackoff() time.Duration {
	base := max(p.meanChunkTime/2, minBusyBackoff)
	return base/2 + time.Duration(p.random.Int64N(int64(base)))
}

func (p *planner) removeOfferedChunk(state *peerState, chunk int) {
	if !state.offered.has(chunk) {
		return
	}
	state.offered.clear(chunk)
	state.offeredCount--
	if !state.far && !state.banned {
		p.availability[chunk]--
	}
}

// recordFaults adds faults to a peer and delays the next request to it. A peer
// with maxPeerFaults is banned for the rest of the download.
func (p *planner) recordFaults(state *peerState, faults int, now time.Time) {
	state.faults += faults
	state.retryAt = now.Add(p.meanChunkTime * time.Duration(state.faults))
	if state.faults >= maxPeerFaults && !state.banned {
		p.clearOfferedChunks(state)
		state.banned = true
		state.budgetLeft = 0
	}
}

// nextRequests returns the requests to start now and records them as in flight.
func (p *planner) nextRequests(now time.Time) []peerRequest {
	var requests []peerRequest
	for p.peerRequests < p.maxPeerRequests {
		req, ok := p.pickRequest(now)
		if !ok {
			break
		}
		p.requested.set(req.chunk)
		p.peerRequests++
		p.peers[req.peer].inFlight++
		requests = append(requests, req)
	}
	return requests
}

// timeUntilRetry returns the time until the next request to a peer may be due, at
// most limit.
func (p *planner) timeUntilRetry(now time.Time, limit time.Duration) time.Duration {
	if p.peerRequests >= p.maxPeerRequests {
		return limit
	}
	for _, state := range p.peers {
		if untilRetry := state.retryAt.Sub(now); untilRetry > 0 && !state.banned {
			limit = min(limit, untilRetry)
		}
	}
	return limit
}

func (p *planner) pickRequest(now time.Time) (peerRequest, bool) {
	usable := p.usablePeers(now)
	if len(usable) == 0 {
		return peerRequest{}, false
	}
	chunk := p.rarestChunk(usable)
	if chunk < 0 {
		return peerRequest{}, false
	}
	return peerRequest{chunk: chunk, peer: p.bestPeer(usable, chunk)}, true
}

// usablePeers returns the peers to which a request may be sent now.
func (p *planner) usablePeers(now time.Time) []string {
	var usable []string
	for _, addr := range p.peerOrder {
		state := p.peers[addr]
		if state.banned || state.budgetLeft <= 0 || state.inFlight >= maxRequestsPerPeer || now.Before(state.retryAt) {
			continue
		}
		usable = append(usable, addr)
	}
	return usable
}

// rarestChunk returns the missing chunk with the lowest availability of those
// that a usable peer can serve, or -1.
func (p *planner) rarestChunk(usable []string) int {
	chosen, ties := -1, 0
	for chunk := range p.chunkSizes {
		if p.have.has(chunk) || p.requested.has(chunk) {
			continue
		}
		if chosen >= 0 && p.availability[chunk] > p.availability[chosen] {
			continue
		}
		if !p.anyCanServe(usable, chunk) {
			continue
		}
		if chosen >= 0 && p.availability[chunk] == p.availability[chosen] {
			ties++
			if p.random.IntN(ties) != 0 {
				continue
			}
		} else {
			ties = 1
		}
		chosen = chunk
	}
	return chosen
}

func (p *planner) anyCanServe(usable []string, chunk int) bool {
	for _, addr := range usable {
		if p.canServe(p.peers[addr], chunk) {
			return true
		}
	}
	return false
}

func (p *planner) canServe(state *peerState, chunk int) bool {
	if !state.offered.has(chunk) || state.budgetLeft < p.chunkSizes[chunk] {
		return false
	}
	return !state.far || p.farAllowed.has(chunk)
}

// bestPeer picks two random peers of the best rank and returns the one with more
// upload budget left, which spreads requests and keeps the budgets balanced.
// Incomplete peers rank before complete ones: budget that they have not spent when
// every downloader is complete is of no use, while complete peers can serve any
// chunk until then. Within each group, peers with fewer requests in flight rank
// first.
func (p *planner) bestPeer(usable []string, chunk int) string {
	var best []string
	lowestRank := 0
	for _, addr := range usable {
		state := p.peers[addr]
		if !p.canServe(state, chunk) {
			continue
		}
		rank := state.inFlight
		if state.offeredCount == len(p.chunkSizes) {
			rank += maxRequestsPerPeer
		}
		if len(best) == 0 || rank < lowestRank {
			best, lowestRank = best[:0], rank
		}
		if rank == lowestRank {
			best = append(best, addr)
		}
	}
	first := best[p.random.IntN(len(best))]
	second := best[p.random.IntN(len(best))]
	if p.peers[second].budgetLeft > p.peers[first].budgetLeft {
		return second
	}
	return first
}

// coverage is the kind of peer that can deliver a missing chunk.
type coverage uint8

const (
	// coverageNone means that no near peer offers the chunk.
	coverageNone coverage = iota
	// coverageBudgetSpent means that near peers offer the chunk, but their upload
	// budgets are spent.
	coverageBudgetSpent
	// coverageNear means that a near peer can deliver the chunk.
	coverageNear
	// coverageFar means that the chunk may be requested from far peers and one of
	// them can deliver it.
	coverageFar
)

// coverageOf returns the coverage of a chunk.
func (p *planner) coverageOf(chunk int) coverage {
	result := coverageNone
	for _, addr := range p.peerOrder {
		state := p.peers[addr]
		if state.banned || !state.offered.has(chunk) {
			continue
		}
		hasBudget := state.budgetLeft >= p.chunkSizes[chunk]
		switch {
		case !state.far && hasBudget:
			return coverageNear
		case state.far && hasBudget && p.farAllowed.has(chunk):
			result = coverageFar
		case !state.far && result == coverageNone:
			result = coverageBudgetSpent
		}
	}
	return result
}

// isUseful reports whether a peer can deliver a missing chunk. It is true for a
// peer that has not sent its offers yet.
func (p *planner) isUseful(addr string) bool {
	state := p.peers[addr]
	if !state.offersKnown {
		return true
	}
	if state.banned || state.budgetLeft <= 0 {
		return false
	}
	for i, offeredBits := range state.offered {
		if offeredBits&^p.have[i] != 0 {
			return true
		}
	}
	return false
}

// uncoveredChunks returns the missing chunks in [from, to) that are not requested
// and that no near peer can deliver.
func (p *planner) uncoveredChunks(from, to int) []int {
	var chunks []int
	for chunk := from; chunk < to; chunk++ {
		if p.have.has(chunk) || p.requested.has(chunk) {
			continue
		}
		if p.coverageOf(chunk) != coverageNear {
			chunks = append(chunks, chunk)
		}
	}
	return chunks
}
