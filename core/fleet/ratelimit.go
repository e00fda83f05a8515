package fleet

import (
	"time"

	"currantusher.dev/core"
)

// RateLimit is what an entry tells the others about the limit that a backend server
// names. Ages are times before the message was sent.
type RateLimit struct {
	_           struct{} `cbor:",toarray"`
	Server      core.InstanceID
	Incarnation core.Incarnation
	// PerSecond is the limit in requests a second.
	PerSecond float64
	// HasEnded means that the server no longer names a limit.
	HasEnded bool
	// SentAge and ReceivedAge are the ages of the request whose answer named the limit,
	// and of the answer.
	SentAge, ReceivedAge time.Duration
}

// PlaceRequest asks another entry to give away a place for one request to a server
// that names a limit.
type PlaceRequest struct {
	_ struct{} `cbor:",toarray"`
	// Nonce identifies the request in the reply.
	Nonce       uint64
	From        core.InstanceID
	ReplyAddr   string
	Server      core.InstanceID
	Incarnation core.Incarnation
}

// PlaceReply is the answer to a PlaceRequest.
type PlaceReply struct {
	_     struct{} `cbor:",toarray"`
	Nonce uint64
	Given bool
	// RetryIn is when to ask again if no place was given; 0 means that the entry has no
	// part of the limit.
	RetryIn time.Duration
}
