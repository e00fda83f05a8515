package engine

import (
	"errors"
	"slices"
	"strings"

	"currantusher.dev/core"
	"currantusher.dev/weights"
)

// Errors of the staging area, of generation and of commands. Their texts are sent
// to the caller.
var (
	errWrongDigest = errors.New("content does not match its digest")
	errNotStaged   = errors.New("not staged")
	errNoWeights   = errors.New("no weights in use")
	errStaleFence  = errors.New("stale fencing token")
)

// staging holds manifests and chunks in memory. Server.mu guards it.
type staging struct {
	shared    *SharedChunks
	manifests map[core.Digest]weights.Manifest
	chunks    map[core.Digest][]byte
}

func newStaging(shared *SharedChunks) *staging {
	return &staging{
		shared:    shared,
		manifests: make(map[core.Digest]weights.Manifest),
		chunks:    make(map[core.Digest][]byte),
	}
}

func (s *staging) putChunk(digest core.Digest, bytes []byte) {
	if _, staged := s.chunks[digest]; staged {
		return
	}
	s.chunks[digest] = s.shared.intern(digest, bytes)
}

func (s *staging) drop(digest core.Digest) {
	if _, staged := s.chunks[digest]; !staged {
		return
	}
	delete(s.chunks, digest)
	s.shared.release(digest)
}

func (s *staging) clear() {
	for digest := range s.chunks {
		s.drop(digest)
	}
	clear(s.manifests)
}

// invalidChunks hashes the staged chunks of a manifest and returns the digests of
// those that are missing or do not match.
func invalidChunks(manifest weights.Manifest, staged map[core.Digest][]byte) []core.Digest {
	checked := make(map[core.Digest]bool, len(manifest.Chunks))
	var invalid []core.Digest
	for _, chunk := range manifest.Chunks {
		if checked[chunk.Digest] {
			continue
		}
		checked[chunk.Digest] = true
		bytes, found := staged[chunk.Digest]
		if !found || int64(len(bytes)) != chunk.Size || core.DigestOf(bytes) != chunk.Digest {
			invalid = append(invalid, chunk.Digest)
		}
	}
	return invalid
}

// evict drops all versions except keep, and the chunks that no kept version needs.
func (s *staging) evict(keep []core.Digest) {
	kept := make(map[core.Digest]bool)
	for _, root := range keep {
		for _, chunk := range s.manifests[root].Chunks {
			kept[chunk.Digest] = true
		}
	}
	for digest := range s.chunks {
		if !kept[digest] {
			s.drop(digest)
		}
	}
	for root := range s.manifests {
		if !slices.Contains(keep, root) {
			delete(s.manifests, root)
		}
	}
}

func (s *staging) digests() []core.Digest {
	digests := make([]core.Digest, 0, len(s.chunks))
	for digest := range s.chunks {
		digests = append(digests, digest)
	}
	slices.SortFunc(digests, func(a, b core.Digest) int { return strings.Compare(string(a[:]), string(b[:])) })
	return digests
}

// corrupt flips one bit in each of up to count staged chunks, in the order of their
// digests. It copies the bytes first, because other engines may share them.
func (s *staging) corrupt(count int) {
	for _, digest := range s.digests() {
		if count <= 0 {
			return
		}
		damaged := slices.Clone(s.chunks[digest])
		if len(damaged) == 0 {
			continue
		}
		damaged[0] ^= 1
		s.chunks[digest] = damaged
		count--
	}
}
