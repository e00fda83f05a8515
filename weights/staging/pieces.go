package staging

import (
	"context"
	"crypto/sha256"
	"sync"

	"currantusher.dev/core/fleet"
)

// VersionKey names a version of a model's weights.
type VersionKey struct {
	Model   fleet.Model
	Version fleet.WeightsVersion
}

// pieces holds the verified pieces of one version. It is safe for concurrent
// use.
type pieces struct {
	key     VersionKey
	digests [][32]byte

	mu      sync.Mutex
	content [][]byte
	missing int
	// arrived is closed and replaced whenever a piece comes.
	arrived chan struct{}
}

func newPieces(key VersionKey, digests [][32]byte) *pieces {
	return &pieces{
		key: key, digests: digests, content: make([][]byte, len(digests)), missing: len(digests),
		arrived: make(chan struct{}),
	}
}

// add keeps a piece if it is the right one, and reports whether it is.
func (p *pieces) add(num int, content []byte) bool {
	if sha256.Sum256(content) != p.digests[num] {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.content[num] == nil {
		p.content[num] = content
		p.missing--
		close(p.arrived)
		p.arrived = make(chan struct{})
	}
	return true
}

// get returns a piece, or nil and a channel that closes at the next arrival.
func (p *pieces) get(num int) ([]byte, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.content[num], p.arrived
}

// wait returns a piece as soon as it is there, or nil when ctx ends.
func (p *pieces) wait(ctx context.Context, num int) []byte {
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

// left returns how many pieces are missing.
func (p *pieces) left() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.missing
}

// reuse takes pieces that another version has in common.
func (p *pieces) reuse(other *pieces) {
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
