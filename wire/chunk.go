package wire

import (
	"currantusher.dev/core"
)

// ChunkRequest asks a peer for content by its digest. The manifest of Root is
// asked for with Digest equal to Root.
type ChunkRequest struct {
	Root   core.Digest `cbor:"1,keyasint"`
	Digest core.Digest `cbor:"2,keyasint"`
	// CrossRegion marks a request from another region.
	CrossRegion bool `cbor:"3,keyasint"`
	// ChunksDone is the number of chunks that the requester has.
	ChunksDone uint32 `cbor:"4,keyasint"`
}

// ChunkStatus says why a chunk was or was not delivered.
type ChunkStatus uint8

const (
	// ChunkDelivered comes with the content.
	ChunkDelivered ChunkStatus = iota
	// ChunkMissing means that the peer does not hold the content.
	ChunkMissing
	// ChunkBusy means that the peer's upload queue is full.
	ChunkBusy
	// ChunkBudgetSpent means that the peer's upload budget is spent.
	ChunkBudgetSpent
)

// ChunkReply answers a ChunkRequest.
type ChunkReply struct {
	Status  ChunkStatus `cbor:"1,keyasint"`
	Content []byte      `cbor:"2,keyasint,omitempty"`
	// BudgetLeftBytes is the rest of the sender's upload budget in bytes.
	BudgetLeftBytes int64 `cbor:"3,keyasint"`
}

// HaveRequest subscribes to the chunks of a version that a peer offers.
type HaveRequest struct {
	Root core.Digest `cbor:"1,keyasint"`
}

// HaveUpdate is one frame of the answer to a HaveRequest. The first frame
// carries Bits, later ones the chunks added since.
type HaveUpdate struct {
	// HasManifest reports that the peer offers the manifest.
	HasManifest bool `cbor:"1,keyasint"`
	// Bits has bit i%8 of byte i/8 set for each offered chunk i.
	Bits  []byte   `cbor:"2,keyasint,omitempty"`
	Added []uint32 `cbor:"3,keyasint,omitempty"`
	// BudgetLeftBytes is the rest of the sender's upload budget in bytes.
	BudgetLeftBytes int64 `cbor:"4,keyasint"`
}
