package spread

import (
	"time"

	"currantusher.dev/core"
	"currantusher.dev/tables"
	"currantusher.dev/wire"
)

// Action is something that State wants done. The outcome comes back as an
// event.
type Action interface{ action() }

type (
	// ReadHead asks the table service for the head revision; answered by
	// State.HeadRead.
	ReadHead struct{}
	// Load reads the accepted rows; answered by State.Loaded.
	Load struct{}
	// Absorb accepts direct edits; answered by State.Absorbed.
	Absorb struct{}
	// ReadSnapshot reads the snapshot object; answered by State.SnapshotRead.
	ReadSnapshot struct{}
	// SaveSnapshot stores the snapshot object.
	SaveSnapshot struct{ Config *tables.Config }
	// PullFrom pulls from a peer; answered by State.Pulled. Parent marks the
	// pull that is repeated without end, for which a worker is set aside.
	PullFrom struct {
		To     Neighbour
		Wait   time.Duration
		Parent bool
	}
	// PushTo tells a peer of a revision. Its loss does no harm.
	PushTo struct {
		To       Neighbour
		Revision core.Revision
	}
	// Answer ends a pull that this daemon received.
	Answer struct {
		Token uint64
		Reply wire.ConfigPullReply
		// Config holds the rows to send; nil when the asker needs none.
		Config *tables.Config
	}
	// Adopt puts a configuration in force.
	Adopt struct{ Config *tables.Config }
	// Report tells the operators of a fault.
	Report struct {
		Code   core.Code
		Detail string
	}
)

func (ReadHead) action()     {}
func (Load) action()         {}
func (Absorb) action()       {}
func (ReadSnapshot) action() {}
func (SaveSnapshot) action() {}
func (PullFrom) action()     {}
func (PushTo) action()       {}
func (Answer) action()       {}
func (Adopt) action()        {}
func (Report) action()       {}

// HeadRead is the outcome of ReadHead.
type HeadRead struct {
	SentAt   time.Time
	Revision core.Revision
	Err      error
}

// Loaded is the outcome of Load.
type Loaded struct {
	SentAt time.Time
	Config *tables.Config
	Err    error
}

// Pulled is the outcome of PullFrom.
type Pulled struct {
	SentAt time.Time
	From   Neighbour
	Parent bool
	Reply  wire.ConfigPullReply
	// Config holds the compiled rows of the reply, if it had any.
	Config *tables.Config
	Err    error
}

// PullAsked is a pull that this daemon received.
type PullAsked struct {
	Token uint64
	Pull  wire.ConfigPull
}
