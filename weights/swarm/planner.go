package swarm

import (
	"math/rand/v2"
	"time"
)

const (
	maxStrikes      = 3
	perPeer         = 2
	firstChunkTime  = 100 * time.Millisecond
	chunkTimeWeight = 8
	minBackoff      = 5 * time.Millisecond
)

// outcome is how a request to a peer ended.
type outcome uint8

const (
	outcomeDone outcome = iota
	outcomeBusy
	outcomeSpent
	outcomeMissing
	outcomeFailed
	outcomeCorrupt
)

// peerView is what the planner knows about one peer.
type peerView struct {
	far bool
	// known reports that the peer said what it offers.
	known    bool
	bits     bitset
	offers   int
	left     int64
	inFlight int
	strikes  int
	banned   bool
	retryAt  time.Time
}

// request is one chunk to ask a peer for.
type request struct {
	chunk int
	peer  string
}

// planner decides which chunk to request from which peer: the rarest first,
// ties at random, from one of the peers with the fewest requests. It has no clock and does no I/O.
type planner struct {
	sizes    []int64
	have     bitset
	missing  int
	inFlight bitset
	// flying counts the requests to peers.
	flying  int
	max     int
	rarity  []uint16
	wantFar bitset
	peers   map[string]*peerView
	// order keeps peers in a fixed sequence, so that a seed fixes the choices.
	order     []string
	random    *rand.Rand
	chunkTime time.Duration
}

func newPlanner(sizes []int64, maxInFlight int, seed uint64) *planner {
	return &planner{
		sizes:     sizes,
		have:      newBitset(len(sizes)),
		missing:   len(sizes),
		inFlight:  newBitset(len(sizes)),
		max:       maxInFlight,
		rarity:    make([]uint16, len(sizes)),
		wantFar:   newBitset(len(sizes)),
		peers:     map[string]*peerView{},
		random:    rand.New(rand.NewPCG(seed, 1)),
		chunkTime: firstChunkTime,
	}
}

func (p *planner) whole() bool { return p.missing == 0 }

// done records that a chunk is verified and staged.
func (p *planner) done(chunk int) {
	p.release(chunk)
	if p.have.set(chunk) {
		p.missing--
	}
}

// take marks a chunk as requested from a source.
func (p *planner) take(chunk int) bool {
	return !p.have.has(chunk) && p.inFlight.set(chunk)
}

// release ends the request for a chunk.
func (p *planner) release(chunk int) { p.inFlight.clear(chunk) }

// addPeer adds a peer; an update of what it offers follows.
func (p *planner) addPeer(addr string, far bool) bool {
	if p.peers[addr] != nil {
		return false
	}
	p.peers[addr] = &peerView{far: far, bits: newBitset(len(p.sizes))}
	p.order = append(p.order, addr)
	return true
}

// removePeer forgets what a peer offers but keeps its strikes.
func (p *planner) removePeer(addr string) {
	view := p.peers[addr]
	if view == nil {
		return
	}
	p.clearBits(view)
	view.known = false
	view.left = 0
}

func (p *planner) clearBits(view *peerView) {
	for chunk := range p.sizes {
		if view.bits.has(chunk) && !view.far && !view.banned {
			p.rarity[chunk]--
		}
	}
	view.bits = newBitset(len(p.sizes))
	view.offers = 0
}

// offer records chunks that a peer offers and the rest of its upload budget.
func (p *planner) offer(addr string, bits bitset, added []uint32, left int64) {
	view := p.peers[addr]
	if view == nil || view.banned {
		return
	}
	view.known = true
	view.left = left
	for chunk := range p.sizes {
		if bits.has(chunk) {
			p.offerOne(view, chunk)
		}
	}
	for _, chunk := range added {
		if int(chunk) < len(p.sizes) {
			p.offerOne(view, int(chunk))
		}
	}
}

func (p *planner) offerOne(view *peerView, chunk int) {
	if !view.bits.set(chunk) {
		return
	}
	view.offers++
	if !view.far {
		p.rarity[chunk]++
	}
}

// ended records how a request to a peer ended. The chunk stays missing unless
// done is called too.
func (p *planner) ended(req request, result outcome, left int64, took time.Duration, now time.Time) {
	p.release(req.chunk)
	p.flying--
	view := p.peers[req.peer]
	view.inFlight--
	switch result {
	case outcomeDone:
		view.left = left
		p.chunkTime += (took - p.chunkTime) / chunkTimeWeight
	case outcomeBusy:
		view.left = left
		view.retryAt = now.Add(p.backoff())
	case outcomeSpent:
		view.left = left
	case outcomeMissing:
		p.withdraw(view, req.chunk)
		p.strike(view, 1, now)
	case outcomeFailed:
		p.strike(view, 1, now)
	case outcomeCorrupt:
		p.strike(view, maxStrikes, now)
	}
}

func (p *planner) backoff() time.Duration {
	span := max(p.chunkTime/2, minBackoff)
	return span/2 + time.Duration(p.random.Int64N(int64(span)))
}

func (p *planner) withdraw(view *peerView, chunk int) {
	if !view.bits.has(chunk) {
		return
	}
	view.bits.clear(chunk)
	view.offers--
	if !view.far && !view.banned {
		p.rarity[chunk]--
	}
}

// strike counts a fault. A peer with maxStrikes is not asked again for this
// version.
func (p *planner) strike(view *peerView, count int, now time.Time) {
	view.strikes += count
	view.retryAt = now.Add(p.chunkTime * time.Duration(view.strikes))
	if view.strikes >= maxStrikes && !view.banned {
		p.clearBits(view)
		view.banned = true
		view.left = 0
	}
}

// next returns the requests to start now.
func (p *planner) next(now time.Time) []request {
	var requests []request
	for p.flying < p.max {
		req, ok := p.pick(now)
		if !ok {
			break
		}
		p.inFlight.set(req.chunk)
		p.flying++
		p.peers[req.peer].inFlight++
		requests = append(requests, req)
	}
	return requests
}

// wait returns the time until a peer may be asked again, at most limit.
func (p *planner) wait(now time.Time, limit time.Duration) time.Duration {
	if p.flying >= p.max {
		return limit
	}
	for _, view := range p.peers {
		if after := view.retryAt.Sub(now); after > 0 && !view.banned {
			limit = min(limit, after)
		}
	}
	return limit
}

func (p *planner) pick(now time.Time) (request, bool) {
	usable := p.usable(now)
	if len(usable) == 0 {
		return request{}, false
	}
	chunk := p.rarest(usable)
	if chunk < 0 {
		return request{}, false
	}
	return request{chunk: chunk, peer: p.bestPeer(usable, chunk)}, true
}

func (p *planner) usable(now time.Time) []string {
	var usable []string
	for _, addr := range p.order {
		view := p.peers[addr]
		if view.banned || view.left <= 0 || view.inFlight >= perPeer || now.Before(view.retryAt) {
			continue
		}
		usable = append(usable, addr)
	}
	return usable
}

func (p *planner) rarest(usable []string) int {
	chosen, ties := -1, 0
	for chunk := range p.sizes {
		if p.have.has(chunk) || p.inFlight.has(chunk) {
			continue
		}
		if chosen >= 0 && p.rarity[chunk] > p.rarity[chosen] {
			continue
		}
		if !p.offered(usable, chunk) {
			continue
		}
		if chosen >= 0 && p.rarity[chunk] == p.rarity[chosen] {
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

func (p *planner) offered(usable []string, chunk int) bool {
	for _, addr := range usable {
		if p.serves(p.peers[addr], chunk) {
			return true
		}
	}
	return false
}

func (p *planner) serves(view *peerView, chunk int) bool {
	if !view.bits.has(chunk) || view.left < p.sizes[chunk] {
		return false
	}
	return !view.far || p.wantFar.has(chunk)
}

// bestPeer draws two of the best peers and takes the one with more upload
// budget, which spreads requests and evens out the budgets. Peers that are not
// whole come first: what is left of their budget once everybody is whole is of
// no use, while whole peers can serve any chunk until the end. Then come the
// peers with the fewest requests.
func (p *planner) bestPeer(usable []string, chunk int) string {
	var best []string
	lowest := 0
	for _, addr := range usable {
		view := p.peers[addr]
		if !p.serves(view, chunk) {
			continue
		}
		rank := view.inFlight
		if view.offers == len(p.sizes) {
			rank += perPeer
		}
		if len(best) == 0 || rank < lowest {
			best, lowest = best[:0], rank
		}
		if rank == lowest {
			best = append(best, addr)
		}
	}
	first := best[p.random.IntN(len(best))]
	second := best[p.random.IntN(len(best))]
	if p.peers[second].left > p.peers[first].left {
		return second
	}
	return first
}

// coverage says where a missing chunk can come from.
type coverage uint8

const (
	// coverNone: no near peer offers the chunk.
	coverNone coverage = iota
	// coverSpent: near peers offer it, but their upload budgets are spent.
	coverSpent
	// coverNear: a near peer can deliver it.
	coverNear
	// coverFar: the chunk may come from a far peer, and one can deliver it.
	coverFar
)

func (p *planner) cover(chunk int) coverage {
	result := coverNone
	for _, addr := range p.order {
		view := p.peers[addr]
		if view.banned || !view.bits.has(chunk) {
			continue
		}
		able := view.left >= p.sizes[chunk]
		switch {
		case !view.far && able:
			return coverNear
		case view.far && able && p.wantFar.has(chunk):
			result = coverFar
		case !view.far && result == coverNone:
			result = coverSpent
		}
	}
	return result
}

// useful reports whether a peer can deliver a missing chunk, as far as known.
func (p *planner) useful(addr string) bool {
	view := p.peers[addr]
	if !view.known {
		return true
	}
	if view.banned || view.left <= 0 {
		return false
	}
	for i, offered := range view.bits {
		if offered&^p.have[i] != 0 {
			return true
		}
	}
	return false
}

// uncovered returns the missing chunks in [from, to) that are not requested
// and that no near peer can deliver.
func (p *planner) uncovered(from, to int) []int {
	var chunks []int
	for chunk := from; chunk < to; chunk++ {
		if p.have.has(chunk) || p.inFlight.has(chunk) {
			continue
		}
		if p.cover(chunk) != coverNear {
			chunks = append(chunks, chunk)
		}
	}
	return chunks
}
