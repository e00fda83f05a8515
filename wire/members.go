package wire

import (
	"currantusher.dev/core"
	"currantusher.dev/platform"
)

// Temperature is how much load an engine bears since its start.
type Temperature uint8

const (
	// TemperatureCold is an engine that bears its cold limit only.
	TemperatureCold Temperature = iota
	// TemperatureWarming is an engine whose limit is being raised.
	TemperatureWarming
	// TemperatureWarm is an engine that bears its full limit.
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

// Heartbeat reports a daemon's state. A heartbeat stream carries one Heartbeat
// after another. The first one of a stream has Instance and Status; later ones
// have them only when they changed.
type Heartbeat struct {
	Incarnation core.Incarnation `cbor:"1,keyasint,omitempty"`
	// Sequence grows with each report of an incarnation.
	Sequence uint64 `cbor:"2,keyasint"`
	// Leaving says that the daemon starts no new work. It is never unset.
	Leaving bool `cbor:"3,keyasint,omitempty"`
	// Left says that the daemon has no work and ends now.
	Left bool `cbor:"4,keyasint,omitempty"`
	// Acknowledge asks for a HeartbeatReply.
	Acknowledge bool `cbor:"5,keyasint,omitempty"`
	// Running is the number of requests in progress.
	Running int `cbor:"6,keyasint,omitempty"`
	// ConfigAgeMillis is the age of the last confirmation that the daemon's
	// configuration is the latest, in milliseconds.
	ConfigAgeMillis int64              `cbor:"7,keyasint,omitempty"`
	Status          *Status            `cbor:"8,keyasint,omitempty"`
	Instance        *platform.Instance `cbor:"9,keyasint,omitempty"`
}

// HeartbeatReply acknowledges the heartbeats up to Sequence.
type HeartbeatReply struct {
	Sequence uint64 `cbor:"1,keyasint"`
	// Replaced says that a later process runs in the daemon's place.
	Replaced bool `cbor:"2,keyasint,omitempty"`
}

// Status is the part of a report that changes seldom.
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

// MembershipSummary is one direction of an anti-entropy exchange between two entries:
// what changed in the sender's log since the position that the receiver
// confirmed. Names and Digests are tables that Records refer to by index.
type MembershipSummary struct {
	From        core.InstanceID  `cbor:"1,keyasint"`
	Incarnation core.Incarnation `cbor:"2,keyasint"`
	// SincePosition and Position bound the part of the sender's log that this is.
	SincePosition uint64 `cbor:"12,keyasint,omitempty"`
	Position      uint64 `cbor:"3,keyasint"`
	// AppliedPosition is the receiver's log position that the sender has applied, of the
	// receiver's incarnation SeenIncarnation.
	AppliedPosition    uint64            `cbor:"4,keyasint,omitempty"`
	AppliedIncarnation core.Incarnation  `cbor:"5,keyasint,omitempty"`
	Names              []string          `cbor:"6,keyasint,omitempty"`
	Digests            []core.Digest     `cbor:"7,keyasint,omitempty"`
	Records            []MemberRecord    `cbor:"8,keyasint,omitempty"`
	Heartbeats         []MemberHeartbeat `cbor:"9,keyasint,omitempty"`
	Acks               []RevisionAck     `cbor:"10,keyasint,omitempty"`
	// Sequence is the sender's own report number.
	Sequence uint64 `cbor:"11,keyasint"`
}

// RevisionAck says that daemons whose records the receiver has run at least
// Revision. Keys are 8 bytes each, as in MemberBeat, concatenated.
type RevisionAck struct {
	_        struct{} `cbor:",toarray"`
	Revision core.Revision
	Keys     []byte
}

// MemberRecord is all that the sender knows of one daemon.
type MemberRecord struct {
	_           struct{} `cbor:",toarray"`
	ID          core.InstanceID
	Incarnation core.Incarnation
	Sequence    uint64
	// State is a members.State; Flags holds the sticky bits.
	State uint8
	Flags uint8
	// StatusSequence is the sequence number at which the status was reported.
	StatusSequence uint64
	// AgeTenths is the age of the report, in tenths of a second.
	AgeTenths uint32
	Running   int
	// ConfigAgeTenths is the configuration's age in the report, in tenths of a
	// second.
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

// MemberHeartbeat says that a daemon whose record the receiver has is alive.
type MemberHeartbeat struct {
	_ struct{} `cbor:",toarray"`
	// Key is a hash of the daemon's id and incarnation.
	Key             uint64
	Sequence        uint64
	AgeTenths       uint32
	Running         int
	ConfigAgeTenths uint32
}
