package wire

import (
	"currantusher.dev/core"
)

// TrackPeer describes a downloader of a version.
type TrackPeer struct {
	ID          core.InstanceID  `cbor:"1,keyasint"`
	Addr        string           `cbor:"2,keyasint"`
	DataCentre  core.DataCentre  `cbor:"3,keyasint"`
	Region      core.Region      `cbor:"4,keyasint"`
	Incarnation core.Incarnation `cbor:"5,keyasint"`
	// ChunksDone and ChunksTotal count chunks; ChunksTotal is 0 if the manifest
	// is not known yet.
	ChunksDone  uint32 `cbor:"6,keyasint"`
	ChunksTotal uint32 `cbor:"7,keyasint"`
	// BudgetLeftBytes is the remaining upload budget of the peer.
	BudgetLeftBytes int64 `cbor:"8,keyasint"`
}

// TrackRequest registers a downloader for a limited time and requests peers.
type TrackRequest struct {
	Root core.Digest `cbor:"1,keyasint"`
	Self TrackPeer   `cbor:"2,keyasint"`
	// MaxNearPeers and MaxFarPeers bound the peers in the reply that are in
	// the downloader's region and in other regions.
	MaxNearPeers int `cbor:"3,keyasint"`
	MaxFarPeers  int `cbor:"4,keyasint"`
	// Extents is the number of extents of the version; 0 if the manifest is
	// not known yet.
	Extents uint32 `cbor:"5,keyasint"`
	// CompletedExtents lists the assigned extents that the downloader has
	// fetched completely.
	CompletedExtents []uint32 `cbor:"6,keyasint,omitempty"`
	// Leaving unregisters the downloader.
	Leaving bool `cbor:"7,keyasint"`
	// Idle reports that the downloader can be assigned another extent.
	Idle bool `cbor:"8,keyasint"`
}

// TrackReply lists peers and the extents that the downloader is assigned to
// fetch from a source on behalf of its region.
type TrackReply struct {
	Peers           []TrackPeer `cbor:"1,keyasint,omitempty"`
	AssignedExtents []uint32    `cbor:"2,keyasint,omitempty"`
	// Takeover reports that the extents were assigned to another downloader
	// before, which did not deliver them in time.
	Takeover bool `cbor:"4,keyasint,omitempty"`
	// FetchManifest assigns the manifest to the downloader, to be fetched from
	// a source.
	FetchManifest bool `cbor:"3,keyasint,omitempty"`
}

// SlotOp is the operation of a SlotRequest.
type SlotOp uint8

const (
	// SlotAcquire acquires a slot, or renews the lease of a slot that is held.
	SlotAcquire SlotOp = iota + 1
	// SlotRelease releases the slot.
	SlotRelease
)

// SlotRequest acquires or releases one of the activation slots of a pool.
type SlotRequest struct {
	Op          SlotOp           `cbor:"1,keyasint"`
	Pool        core.PoolName    `cbor:"2,keyasint"`
	Root        core.Digest      `cbor:"3,keyasint"`
	Instance    core.InstanceID  `cbor:"4,keyasint"`
	Incarnation core.Incarnation `cbor:"5,keyasint"`
}

// SlotReply is the reply to a SlotRequest.
type SlotReply struct {
	Granted bool `cbor:"1,keyasint"`
	// RetryAfterMillis is the delay before the next request, in milliseconds.
	RetryAfterMillis int64 `cbor:"2,keyasint"`
	// LeaseMillis is the time after which a granted slot expires unless it is
	// renewed, in milliseconds.
	LeaseMillis int64 `cbor:"3,keyasint"`
}
