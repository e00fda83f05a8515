package netlimit

import (
	"context"
	"errors"
	"time"
)

// Limits are the bounds of one listener. A zero field means no bound, apart from BodyBytes
// and TransferBytes.
type Limits struct {
	// Name is the listener's name in metrics and logs.
	Name string
	// Conns bounds the open connections.
	Conns int
	// HeadBytes bounds the head of a request. net/http reads up to 4096 bytes more.
	HeadBytes int
	// BodyBytes bounds the body of a request; 0 refuses requests with a body.
	BodyBytes int64
	// TransferBytes bounds the bytes of the bodies of all requests in progress, and likewise
	// of all answers being written; 0 means that only Conns bounds them.
	TransferBytes int64
	// HeadTime, BodyTime and IdleTime bound the time for a head, for a body, and between
	// two requests of a connection.
	HeadTime, BodyTime, IdleTime time.Duration
	// WriteTime bounds the time in which a caller reads writeSlice bytes of an answer.
	WriteTime time.Duration
	// AnswerTime bounds the time from the end of a head to the end of the answer.
	AnswerTime time.Duration
}

// writeSlice is the size of one write, for which WriteTime is counted.
const writeSlice = 64 << 10

// uncountedWrite is the size up to which writes are not counted for TransferBytes: that of the
// buffer which net/http has for each connection. Refusals and events of streams are shorter.
const uncountedWrite = 4 << 10

// Reason says which bound closed a connection or refused a request.
type Reason string

// Reasons.
const (
	// ReasonConns means that the listener had more connections than its bound.
	ReasonConns Reason = "connections"
	// ReasonTransfers means that bodies and answers in progress exceeded TransferBytes.
	ReasonTransfers Reason = "transfer-bytes"
	// ReasonBodyBytes means that a body was longer than BodyBytes.
	ReasonBodyBytes Reason = "body-bytes"
	// ReasonBodyTime means that a body did not arrive within BodyTime.
	ReasonBodyTime Reason = "body-time"
	// ReasonWriteTime means that a caller did not read its answer in time.
	ReasonWriteTime Reason = "write-time"
)

// Reasons returns all reasons.
func Reasons() []Reason {
	return []Reason{ReasonConns, ReasonTransfers, ReasonBodyBytes, ReasonBodyTime, ReasonWriteTime}
}

// ErrTransfers is the error of reading a body beyond TransferBytes.
var ErrTransfers = errors.New("the bodies of the requests in progress use all bytes set for them")

type connKey struct{}

func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}
