package spread

import (
	"time"

	"currantusher.dev/core"
	"currantusher.dev/tables"
	"currantusher.dev/wire"
)

// Action is an operation that State requests and Manager carries out. Its
// outcome, if any, is passed back to State as an event.
type Action interface{ action() }

type (
	// ReadHead reads the head revision from the table service. Its outcome is
	// passed to State.HeadRead.
	ReadHead struct{}
	// LoadRows reads the accepted rows from the table service. Its outcome is
	// passed to State.RowsLoaded.
	LoadRows struct{}
	// AcceptDirectEdits accepts direct edits of the tables as a revision.
	// Manager stores the rejected rows; State gets no event.
	AcceptDirectEdits struct{}
	// ReadSnapshot reads the snapshot object. A readable snapshot is passed to
	// State.SnapshotRead.
	ReadSnapshot struct{}
	// SaveSnapshot writes the snapshot object.
	SaveSnapshot struct{ Config *tables.Config }
	// PullFrom pulls the configuration from a peer, which may hold the pull
	// for up to Wait. Its outcome is passed to State.Pulled. Parent marks the
	// pulls of the parent loop, which have a goroutine of their own.
	PullFrom struct {
		Peer   Neighbour
		Wait   time.Duration
		Parent bool
	}
	// PushTo announces a revision to a peer. It is best effort: if it is lost,
	// the peer gets the revision by its next poll or pull.
	PushTo struct {
		Peer     Neighbour
		Revision core.Revision
	}
	// SendReply replies to a pull that this daemon received.
	SendReply struct {
		Token uint64
		Reply wire.ConfigPullReply
		// Config holds the rows to send; nil if the peer does not need them.
		Config *tables.Config
	}
	// Adopt makes a configuration the current one of this daemon.
	Adopt struct{ Config *tables.Config }
	// Report logs a fault for the operators.
	Report struct {
		Code   core.Code
		Detail string
	}
)

func (ReadHead) action()          {}
func (LoadRows) action()          {}
func (AcceptDirectEdits) action() {}
func (ReadSnapshot) action()      {}
func (SaveSnapshot) action()      {}
func (PullFrom) action()          {}
func (PushTo) action()            {}
func (SendReply) action()         {}
func (Adopt) action()             {}
func (Report) action()            {}

// HeadRead is the outcome of ReadHead.
type HeadRead struct {
	SentAt   time.Time
	Revision core.Revision
	Err      error
}

// RowsLoaded is the outcome of LoadRows.
type RowsLoaded struct {
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
	// Config is compiled from the rows of the reply; nil if it has none.
	Config *tables.Config
	Err    error
}

// PullReceived is a pull that this daemon received. Token identifies it in
// SendReply.
type PullReceived struct {
	Token uint64
	Pull  wire.ConfigPull
}
