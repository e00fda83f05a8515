package swarm

import (
	"currantusher.dev/core"
)

// Stage is the step that a version has reached on this instance.
type Stage string

// Stages in their order.
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

// Status describes a Manager at one moment.
type Status struct {
	// Target is the version wanted and Active the one that the engine was
	// last seen to use.
	Target core.Digest
	Active core.Digest
	Stage  Stage
	// ChunksDone and Total count chunks of Target.
	ChunksDone  int
	ChunksTotal int
	Transfer    TransferStats
}

// TransferStats counts the bytes and messages of this process since its start.
type TransferStats struct {
	// ReceivedBytes and Sent count content exchanged with peers and sources.
	ReceivedBytes int64
	SentBytes     int64
	// OriginBytes, FromStore and FromFar are parts of Received.
	OriginBytes      int64
	WeightStoreBytes int64
	FarPeerBytes     int64
	// DiscardedBytes counts content that was discarded.
	DiscardedBytes int64
	// ControlMessages counts control messages sent and received.
	ControlMessages int64
}
