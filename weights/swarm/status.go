package swarm

import (
	"currantusher.dev/core"
)

// Stage is the stage of the target version on this instance.
type Stage string

// The stages of a version in their order.
const (
	StageIdle       Stage = "idle"
	StageManifest   Stage = "manifest"
	StageResume     Stage = "resume"
	StageChunks     Stage = "chunks"
	StageVerify     Stage = "verify"
	StageSlot       Stage = "slot"
	StageActivating Stage = "activating"
	StageActive     Stage = "active"
)

// Status is a snapshot of a Manager's state.
type Status struct {
	// Target is the version set by SetTarget. Active is the version that the engine
	// used when its state was last read or changed.
	Target core.Digest
	Active core.Digest
	Stage  Stage
	// ChunksDone and ChunksTotal count the verified chunks and all chunks of Target.
	// Both are 0 before the manifest is loaded.
	ChunksDone  int
	ChunksTotal int
	Transfer    TransferStats
}

// TransferStats counts the bytes and messages of a Manager since it was created.
type TransferStats struct {
	// ReceivedBytes and SentBytes count manifests and chunks exchanged with peers
	// and sources.
	ReceivedBytes int64
	SentBytes     int64
	// OriginBytes, WeightStoreBytes and FarPeerBytes count the parts of
	// ReceivedBytes by sender. Far peers are those in other regions.
	OriginBytes      int64
	WeightStoreBytes int64
	FarPeerBytes     int64
	// DiscardedBytes counts received content that was corrupt and discarded.
	DiscardedBytes int64
	// ControlMessages counts requests, replies and updates, sent and received.
	ControlMessages int64
}
