package wire

import (
	"currantusher.dev/core"
)

// ConfigPull asks a daemon for a newer configuration. Without one the answer is held
// back for the wait time, so that a new revision is passed on at once.
type ConfigPull struct {
	From core.InstanceID `cbor:"1,keyasint"`
	// Addr is where the asker listens.
	Addr string `cbor:"2,keyasint"`
	// Revision is the asker's.
	Revision   core.Revision `cbor:"3,keyasint"`
	WaitMillis int64         `cbor:"4,keyasint"`
}

// ConfigPullReply carries what a daemon knows of the configuration. Ages are at the
// time of the reply and rounded up.
type ConfigPullReply struct {
	Revision core.Revision `cbor:"1,keyasint"`
	// Confirmed says that AgeMillis ago Revision was the accepted one.
	Confirmed bool  `cbor:"2,keyasint,omitempty"`
	AgeMillis int64 `cbor:"3,keyasint,omitempty"`
	// StoreDown says that this daemon asked the table service itself
	// StoreDownMillis ago without success, and has not reached it since.
	StoreDown       bool  `cbor:"4,keyasint,omitempty"`
	StoreDownMillis int64 `cbor:"5,keyasint,omitempty"`
	// Rows are the encoded rows when Revision is higher than the asker's.
	Rows []byte `cbor:"6,keyasint,omitempty"`
}

// ConfigPush tells a daemon that the sender has a revision to pull.
type ConfigPush struct {
	From     core.InstanceID `cbor:"1,keyasint"`
	Addr     string          `cbor:"2,keyasint"`
	Revision core.Revision   `cbor:"3,keyasint"`
}

// ConfigPushReply carries the receiver's revision.
type ConfigPushReply struct {
	Revision core.Revision `cbor:"1,keyasint"`
}
