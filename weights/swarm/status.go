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
	// Done and Total count chunks of Target.
	Done  int
	Total int
	Usage Usage
}

// Usage counts the bytes and messages of this process since its start.
type Usage struct {
	// Received and Sent count content exchanged with peers and sources.
	Received int64
	Sent     int64
	// FromOrigin, FromStore and FromFar are parts of Received.
	FromOrigin int64
	FromStore  int64
	FromFar    int64
	// Wasted counts content that was discarded.
	Wasted int64
	// Messages counts control messages sent and received.
	Messages int64
}
