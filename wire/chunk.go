package wire

import (
	"currantusher.dev/core"
)

// ChunkRequest requests a chunk from a peer by its digest. A request with Digest
// equal to Root requests the manifest.
type ChunkRequest struct {
	Root   core.Digest `cbor:"1,keyasint"`
	Digest core.Digest `cbor:"2,keyasint"`
	// CrossRegion reports that the requester is in another region.
	CrossRegion bool `cbor:"3,keyasint"`
	// ChunksDone is the number of chunks that the requester holds.
	ChunksDone uint32 `cbor:"4,keyasint"`
}

// ChunkStatus is the result of a ChunkRequest.
type ChunkStatus uint8

const (
	// ChunkDelivered means that the reply holds the content.
	ChunkDelivered ChunkStatus = iota
	// ChunkMissing means that the peer does not hold the content.
	ChunkMissing
	// ChunkBusy means that the peer's upload queue is full.
	ChunkBusy
	// ChunkBudgetSpent means that the peer's upload budget is exhausted.
	ChunkBudgetSpent
)

// ChunkReply answers a ChunkRequest.
type ChunkReply struct {
	Status  ChunkStatus `cbor:"1,keyasint"`
	Content []byte      `cbor:"2,keyasint,omitempty"`
	// BudgetLeftBytes is the remaining upload budget of the sender.
	BudgetLeftBytes int64 `cbor:"3,keyasint"`
}

// HaveRequest subscribes to updates of the chunks of a version that a peer
// offers.
type HaveRequest struct {
	Root core.Digest `cbor:"1,keyasint"`
}

// HaveUpdate is one frame of the reply stream to a HaveRequest. The first frame
// carries Bits; each later frame carries the chunks added since the frame
// before.
type HaveUpdate struct {
	// HasManifest reports whether the peer offers the manifest.
	HasManifest bool `cbor:"1,keyasint"`
	// Bits is a bitmap in which bit i%8 of byte i/8 is set if chunk i is
	// offered.
	Bits  []byte   `cbor:"2,keyasint,omitempty"`
	Added []uint32 `cbor:"3,keyasint,omitempty"`
	// BudgetLeftBytes is the remaining upload budget of the sender.
	BudgetLeftBytes int64 `cbor:"4,keyasint"`
}
