package engine

import (
	"sync"

	"currantusher.dev/core"
)

// SharedChunks shares the bytes of equal chunks between engines of one process, so
// that a large fleet fits into one machine's memory. Each engine still
// verifies what it is given.
type SharedChunks struct {
	mu     sync.Mutex
	chunks map[core.Digest]*sharedChunk
}

type sharedChunk struct {
	bytes []byte
	users int
}

// NewSharedChunks returns an empty store.
func NewSharedChunks() *SharedChunks {
	return &SharedChunks{chunks: make(map[core.Digest]*sharedChunk)}
}

// intern returns the shared copy of verified bytes.
func (c *SharedChunks) intern(digest core.Digest, bytes []byte) []byte {
	if c == nil {
		return bytes
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	chunk := c.chunks[digest]
	if chunk == nil {
		chunk = &sharedChunk{bytes: bytes}
		c.chunks[digest] = chunk
	}
	chunk.users++
	return chunk.bytes
}

func (c *SharedChunks) release(digest core.Digest) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	chunk := c.chunks[digest]
	if chunk == nil {
		return
	}
	chunk.users--
	if chunk.users == 0 {
		delete(c.chunks, digest)
	}
}
