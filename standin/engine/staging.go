package engine

import (
	"errors"
	"slices"
	"strings"

	"currantusher.dev/core"
	"currantusher.dev/weights"
)

// Errors of the staging area.
var (
	errWrongDigest = errors.New("content does not match its digest")
	errNotStaged   = errors.New("not staged")
	errNoWeights   = errors.New("no weights in use")
	errStaleFence  = errors.New("stale fencing token")
)

// staging holds manifests and chunks in memory. It is guarded by the Server.
type staging struct {
	content   *SharedChunks
	manifests map[core.Digest]weights.Manifest
	chunks    map[core.Digest][]byte
}

func newStaging(content *SharedChunks) *staging {
	return &staging{
		content:   content,
		manifests: make(map[core.Digest]weights.Manifest),
		chunks:    make(map[core.Digest][]byte),
	}
}

func (s *staging) putChunk(digest core.Digest, bytes []byte) {
	if _, staged := s.chunks[digest]; staged {
		return
	}
	s.chunks[digest] = s.content.intern(digest, bytes)
}

func (s *staging) drop(digest core.Digest) {
	if _, staged := s.chunks[digest]; !staged {
		return
	}
	delete(s.chunks, digest)
	s.content.release(digest)
}

func (s *staging) clear() {
	for digest := range s.chunks {
		s.drop(digest)
	}
	clear(s.manifests)
}

// wrongChunks hashes the staged chunks of a manifest and returns those that
// are missing or whose bytes do not match.
func wrongChunks(manifest weights.Manifest, staged map[core.Digest][]byte) []core.Digest {
	checked := make(map[core.Digest]bool, len(manifest.Chunks))
	var wrong []core.Digest
	for _, chunk := range manifest.Chunks {
		if checked[chunk.Digest] {
			continue
		}
		checked[chunk.Digest] = true
		bytes, found := staged[chunk.Digest]
		if !found || int64(len(bytes)) != chunk.Size || core.DigestOf(bytes) != chunk.Digest {
			wrong = append(wrong, chunk.Digest)
		}
	}
	return wrong
}

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

// corrupt flips one bit in up to count staged chunks, in the order of their
// digests. Shared bytes are copied first.
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
