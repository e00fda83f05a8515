package staging

import (
	"context"
	"crypto/sha256"
	"sync"

	"currantusher.dev/core/fleet"
)

// VersionKey identifies a version of a model's weights.
type VersionKey struct {
	Model   fleet.Model
	Version fleet.WeightsVersion
}

// pieceSet holds the verified pieces of one version. It is safe for concurrent
// use.
type pieceSet struct {
	key     VersionKey
	digests [][32]byte

	mu       sync.Mutex
	contents [][]byte
	missing  int
	// arrived is closed and replaced whenever a piece is added.
	arrived chan struct{}
}

func newPieceSet(key VersionKey, digests [][32]byte) *pieceSet {
	return &pieceSet{
		key: key, digests: digests, contents: make([][]byte, len(digests)), missing: len(digests),
		arrived: make(chan struct{}),
	}
}

// add keeps a piece if its digest matches, and reports whether it does.
func (p *pieceSet) add(num int, content []byte) bool {
	if sha256.Sum256(content) != p.digests[num] {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.contents[num] == nil {
		p.contents[num] = content
		p.missing--
		close(p.arrived)
		p.arrived = make(chan struct{})
	}
	return true
}

// get returns a piece, or nil if it is missing, and a channel that is closed when
// the next piece is added.
func (p *pieceSet) get(num int) ([]byte, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.contents[num], p.arrived
}

// await waits for a piece and returns it, or nil when ctx is done.
func (p *pieceSet) await(ctx context.Context, num int) []byte {
	for {
		content, arrived := p.get(num)
		if content != nil {
			return content
		}
		select {
		case <-ctx.Done():
			return nil
		case <-arrived:
		}
	}
}

// missingCount returns the number of missing pieces.
func (p *pieceSet) missingCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.missing
}

// missingBefore returns for each piece how many pieces before it are missing.
func (p *pieceSet) missingBefore() []int {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := make([]int, len(p.contents))
	missing := 0
	for num, content := range p.contents {
		before[num] = missing
		if content == nil {
			missing++
		}
	}
	return before
}

// copyFrom adds the pieces of another version that have the same digests.
func (p *pieceSet) copyFrom(other *pieceSet) {
	if other == nil {
		return
	}
	byDigest := map[[32]byte][]byte{}
	for num, digest := range other.digests {
		if content, _ := other.get(num); content != nil {
			byDigest[digest] = content
		}
	}
	for num, digest := range p.digests {
		if content := byDigest[digest]; content != nil {
			p.add(num, content)
		}
	}
}
