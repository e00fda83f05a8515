package wire

import (
	"currantusher.dev/core"
	"currantusher.dev/platform"
)

// Temperature is the warm-up state of an engine, on which its limit depends.
type Temperature uint8

const (
	// TemperatureCold is an engine that is held to its cold limit.
	TemperatureCold Temperature = iota
	// TemperatureWarming is an engine whose limit is being raised.
	TemperatureWarming
	// TemperatureWarm is an engine with its full limit.
	TemperatureWarm
)

// String returns "cold", "warming" or "warm".
func (t Temperature) String() string {
	switch t {
	case TemperatureWarming:
		return "warming"
	case TemperatureWarm:
		return "warm"
	default:
		return "cold"
	}
}

// Heartbeat reports the state of a daemon. A stream carries a sequence of
// heartbeats. The first heartbeat of a stream has Instance and Status; later
// heartbeats have them only when they changed.
type Heartbeat struct {
	Incarnation core.Incarnation `cbor:"1,keyasint,omitempty"`
	// Sequence grows with each heartbeat of an incarnation.
	Sequence uint64 `cbor:"2,keyasint"`
	// Leaving reports that the daemon starts no new work. Once set it stays
	// set.
	Leaving bool `cbor:"3,keyasint,omitempty"`
	// Left reports that the daemon has finished its work and exits.
	Left bool `cbor:"4,keyasint,omitempty"`
	// Acknowledge requests a HeartbeatReply.
	Acknowledge bool `cbor:"5,keyasint,omitempty"`
	// Running is the number of requests in flight.
	Running int `cbor:"6,keyasint,omitempty"`
	// ConfigAgeMillis is the time since the daemon's configuration was last
	// confirmed to be the latest, in milliseconds.
	ConfigAgeMillis int64              `cbor:"7,keyasint,omitempty"`
	Status          *Status            `cbor:"8,keyasint,omitempty"`
	Instance        *platform.Instance `cbor:"9,keyasint,omitempty"`
}

// HeartbeatReply acknowledges the heartbeats up to Sequence.
type HeartbeatReply struct {
	Sequence uint64 `cbor:"1,keyasint"`
	// Replaced reports that a later process has replaced the daemon.
	Replaced bool `cbor:"2,keyasint,omitempty"`
}

// Status is the part of a heartbeat that rarely changes.
// Revision is the daemon's current configuration revision. Weights is the root
// digest of the version that its engine has, and Target that of the version that
// the engine must load.
type Status struct {
	Revision    core.Revision     `cbor:"1,keyasint,omitempty"`
	Weights     core.Digest       `cbor:"2,keyasint,omitzero"`
	Target      core.Digest       `cbor:"3,keyasint,omitzero"`
	ChunksDone  int               `cbor:"4,keyasint,omitempty"`
	ChunksTotal int               `cbor:"5,keyasint,omitempty"`
	Limit       int               `cbor:"6,keyasint,omitempty"`
	Temperature Temperature       `cbor:"7,keyasint,omitempty"`
	EngineFence core.FencingToken `cbor:"8,keyasint,omitempty"`
}

// MembershipSummary is one direction of an anti-entropy exchange between two
// entries: the changes in the sender's log since the position that the receiver
// confirmed. Records refer to Names and Digests by index.
type MembershipSummary struct {
	From        core.InstanceID  `cbor:"1,keyasint"`
	Incarnation core.Incarnation `cbor:"2,keyasint"`
	// SincePosition (exclusive) and Position (inclusive) bound the part of the
	// sender's log that the summary covers.
	SincePosition uint64 `cbor:"12,keyasint,omitempty"`
	Position      uint64 `cbor:"3,keyasint"`
	// AppliedPosition is the position up to which the sender has applied the
	// log of the receiver's incarnation AppliedIncarnation.
	AppliedPosition    uint64            `cbor:"4,keyasint,omitempty"`
	AppliedIncarnation core.Incarnation  `cbor:"5,keyasint,omitempty"`
	Names              []string          `cbor:"6,keyasint,omitempty"`
	Digests            []core.Digest     `cbor:"7,keyasint,omitempty"`
	Records            []MemberRecord    `cbor:"8,keyasint,omitempty"`
	Heartbeats         []MemberHeartbeat `cbor:"9,keyasint,omitempty"`
	Acks               []RevisionAck     `cbor:"10,keyasint,omitempty"`
	// Sequence is the number of the sender's latest heartbeat.
	Sequence uint64 `cbor:"11,keyasint"`
}

// RevisionAck reports that some daemons, whose records the receiver has, have at
// least Revision as their current one. Keys is the concatenation of their 8-byte
// keys, as in MemberHeartbeat.
type RevisionAck struct {
	_        struct{} `cbor:",toarray"`
	Revision core.Revision
	Keys     []byte
}

// MemberRecord is the complete record of a daemon.
type MemberRecord struct {
	_           struct{} `cbor:",toarray"`
	ID          core.InstanceID
	Incarnation core.Incarnation
	Sequence    uint64
	// State is a members.State; Flags holds bits that are never cleared.
	State uint8
	Flags uint8
	// StatusSequence is the Sequence of the heartbeat that carried the status.
	StatusSequence uint64
	// AgeTenths is the age of the heartbeat, in tenths of a second.
	AgeTenths uint32
	Running   int
	// ConfigAgeTenths is the age of the configuration in the heartbeat, in
	// tenths of a second.
	ConfigAgeTenths uint32
	// Role, DataCentre, Group are indices into Names.
	Role       int
	DataCentre int
	Group      int
	PeerAddr   string
	HTTPAddr   string
	Revision   core.Revision
	// Weights and Target are indices into Digests.
	Weights     int
	Target      int
	ChunksDone  int
	ChunksTotal int
	Limit       int
	Temperature Temperature
	EngineFence core.FencingToken
}

// MemberHeartbeat refreshes the record of a daemon that the receiver has.
type MemberHeartbeat struct {
	_ struct{} `cbor:",toarray"`
	// Key is a hash of the daemon's id and incarnation.
	Key             uint64
	Sequence        uint64
	AgeTenths       uint32
	Running         int
	ConfigAgeTenths uint32
}
