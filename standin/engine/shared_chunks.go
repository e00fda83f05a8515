package engine

import (
	"sync"

	"currantusher.dev/core"
)

// SharedChunks stores equal chunks of several engines in one process only once, so
// that a large deployment fits into the memory of one host. Each engine still
// verifies the bytes that it receives. It is safe for concurrent use.
type SharedChunks struct {
	mu     sync.Mutex
	chunks map[core.Digest]*sharedChunk
}

type sharedChunk struct {
	bytes []byte
	// references counts the engines that have staged the chunk.
	references int
}

// NewSharedChunks returns an empty set of chunks.
func NewSharedChunks() *SharedChunks {
	return &SharedChunks{chunks: make(map[core.Digest]*sharedChunk)}
}

// intern returns the shared copy of verified bytes and adds a reference to it.
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
	chunk.references++
	return chunk.bytes
}

// release removes a reference, and the chunk with the last one.
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
	chunk.references--
	if chunk.references == 0 {
		delete(c.chunks, digest)
	}
}
