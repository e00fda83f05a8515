package wire

import (
	"currantusher.dev/core"
)

// TrackPeer describes one downloader of a version.
type TrackPeer struct {
	ID          core.InstanceID  `cbor:"1,keyasint"`
	Addr        string           `cbor:"2,keyasint"`
	DataCentre  core.DataCentre  `cbor:"3,keyasint"`
	Region      core.Region      `cbor:"4,keyasint"`
	Incarnation core.Incarnation `cbor:"5,keyasint"`
	// ChunksDone and Total count chunks; Total is 0 before the manifest is known.
	ChunksDone  uint32 `cbor:"6,keyasint"`
	ChunksTotal uint32 `cbor:"7,keyasint"`
	// BudgetLeftBytes is the rest of the upload budget in bytes.
	BudgetLeftBytes int64 `cbor:"8,keyasint"`
}

// TrackRequest registers a downloader for a while and asks for peers.
type TrackRequest struct {
	Root core.Digest `cbor:"1,keyasint"`
	Self TrackPeer   `cbor:"2,keyasint"`
	// MaxLocalPeers and Far bound the peers wanted of the own and of other regions.
	MaxLocalPeers  int `cbor:"3,keyasint"`
	MaxRemotePeers int `cbor:"4,keyasint"`
	// Extents is the number of extents of the version, 0 before the manifest
	// is known.
	Extents uint32 `cbor:"5,keyasint"`
	// CompletedExtents lists the assigned extents that this downloader has completed.
	CompletedExtents []uint32 `cbor:"6,keyasint,omitempty"`
	// Leaving removes the downloader.
	Leaving bool `cbor:"7,keyasint"`
	// Idle reports that the downloader can take another extent.
	Idle bool `cbor:"8,keyasint"`
}

// TrackReply names peers and the extents that the downloader shall draw from a
// source on behalf of its region.
type TrackReply struct {
	Peers           []TrackPeer `cbor:"1,keyasint,omitempty"`
	AssignedExtents []uint32    `cbor:"2,keyasint,omitempty"`
	// Takeover reports that the extents were given to another downloader
	// before, which is late.
	Takeover bool `cbor:"4,keyasint,omitempty"`
	// FetchManifest asks the downloader to draw the manifest from a source.
	FetchManifest bool `cbor:"3,keyasint,omitempty"`
}

// SlotOp is what a SlotRequest asks for.
type SlotOp uint8

const (
	// SlotAcquire asks for a slot, or renews the one held.
	SlotAcquire SlotOp = iota + 1
	// SlotRelease returns the slot.
	SlotRelease
)

// SlotRequest asks for one of a pool's activation slots.
type SlotRequest struct {
	Op          SlotOp           `cbor:"1,keyasint"`
	Pool        core.PoolName    `cbor:"2,keyasint"`
	Root        core.Digest      `cbor:"3,keyasint"`
	Instance    core.InstanceID  `cbor:"4,keyasint"`
	Incarnation core.Incarnation `cbor:"5,keyasint"`
}

// SlotReply answers a SlotRequest.
type SlotReply struct {
	Granted bool `cbor:"1,keyasint"`
	// RetryAfterMillis is when to ask again, in milliseconds.
	RetryAfterMillis int64 `cbor:"2,keyasint"`
	// LeaseMillis is how long a granted slot is held without renewal, in
	// milliseconds.
	LeaseMillis int64 `cbor:"3,keyasint"`
}
