package wire

import (
	"currantusher.dev/core"
)

// ConfigPull requests a newer configuration from a daemon. If the daemon has
// none, it delays the reply by up to WaitMillis (long poll), so that a new
// revision is delivered without delay.
type ConfigPull struct {
	From core.InstanceID `cbor:"1,keyasint"`
	// Addr is the listen address of the requester.
	Addr string `cbor:"2,keyasint"`
	// Revision is the revision that the requester has.
	Revision   core.Revision `cbor:"3,keyasint"`
	WaitMillis int64         `cbor:"4,keyasint"`
}

// ConfigPullReply carries the configuration state of a daemon. Ages are as of
// the reply and rounded up to a millisecond.
type ConfigPullReply struct {
	Revision core.Revision `cbor:"1,keyasint"`
	// Confirmed reports that Revision was the latest accepted revision
	// AgeMillis ago.
	Confirmed bool  `cbor:"2,keyasint,omitempty"`
	AgeMillis int64 `cbor:"3,keyasint,omitempty"`
	// StoreDown reports that this daemon's own request to the table service
	// failed StoreDownMillis ago, and that none has succeeded since.
	StoreDown       bool  `cbor:"4,keyasint,omitempty"`
	StoreDownMillis int64 `cbor:"5,keyasint,omitempty"`
	// Rows holds the encoded rows if Revision is higher than the requester's.
	Rows []byte `cbor:"6,keyasint,omitempty"`
}

// ConfigPush notifies a daemon that the sender has a revision to pull.
type ConfigPush struct {
	From     core.InstanceID `cbor:"1,keyasint"`
	Addr     string          `cbor:"2,keyasint"`
	Revision core.Revision   `cbor:"3,keyasint"`
}

// ConfigPushReply carries the revision that the receiver has.
type ConfigPushReply struct {
	Revision core.Revision `cbor:"1,keyasint"`
}
