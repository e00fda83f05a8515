package wire

import (
	"currantusher.dev/core"
)

// Dispatch requests an agent to run one attempt of a request. The agent replies
// with Admitted once it has admitted the attempt, at most one Header, any number
// of Data frames and exactly one End. A stream that closes without an End is
// incomplete.
type Dispatch struct {
	RequestID string `cbor:"1,keyasint"`
	// AttemptID is unique for each dispatch, even of the same request.
	AttemptID string         `cbor:"2,keyasint"`
	Team      core.Team      `cbor:"3,keyasint"`
	Route     core.RouteName `cbor:"4,keyasint"`
	Pool      core.PoolName  `cbor:"5,keyasint"`
	// Weights is the root digest of the weights that must serve the request;
	// zero for services without models.
	Weights core.Digest `cbor:"6,keyasint"`
	// Incarnation is the agent process that the dispatch is addressed to.
	Incarnation core.Incarnation `cbor:"7,keyasint"`
	Revision    core.Revision    `cbor:"8,keyasint"`
	Priority    int              `cbor:"9,keyasint"`
	// DeadlineMillis is the time until the deadline, in milliseconds.
	DeadlineMillis int64 `cbor:"10,keyasint"`
	// MaxTokens bounds the tokens to generate; 0 for services without models.
	MaxTokens  int    `cbor:"11,keyasint"`
	AtMostOnce bool   `cbor:"12,keyasint"`
	Stream     bool   `cbor:"13,keyasint"`
	Path       string `cbor:"14,keyasint"`
	Body       []byte `cbor:"15,keyasint"`
	// ResumeOffset is the number of answer bytes that the caller has already
	// received.
	ResumeOffset int64 `cbor:"16,keyasint"`
	// IdempotencyKey is the caller's idempotency key, which is passed to the
	// backend server.
	IdempotencyKey string `cbor:"17,keyasint,omitempty"`
}

// AnswerFrame is one frame of an agent's reply to a Dispatch; exactly one field
// is set.
type AnswerFrame struct {
	Header   *AnswerHeader `cbor:"1,keyasint,omitempty"`
	Data     *AnswerData   `cbor:"2,keyasint,omitempty"`
	End      *AnswerEnd    `cbor:"3,keyasint,omitempty"`
	Admitted *Admitted     `cbor:"4,keyasint,omitempty"`
}

// Admitted reports that the agent has admitted the attempt and is sending it to
// the backend server.
type Admitted struct {
	RequestID string `cbor:"1,keyasint"`
}

// AnswerHeader reports that the backend server has started its answer.
type AnswerHeader struct {
	RequestID   string      `cbor:"1,keyasint"`
	Weights     core.Digest `cbor:"2,keyasint"`
	ContentType string      `cbor:"3,keyasint"`
}

// AnswerData is a part of the answer. Sequence counts up from 0 without gaps.
type AnswerData struct {
	Sequence uint64 `cbor:"1,keyasint"`
	Bytes    []byte `cbor:"2,keyasint"`
	// EndOffset is the length of this attempt's answer up to and including
	// Bytes, so that a short frame is detected before it is forwarded. 0 means
	// not set.
	EndOffset int64 `cbor:"3,keyasint,omitempty"`
}

// AnswerEnd is the last frame of the answer. Length and Checksum (BLAKE3) cover
// the bytes of all Data frames of this attempt.
type AnswerEnd struct {
	RequestID        string         `cbor:"1,keyasint"`
	Code             core.Code      `cbor:"2,keyasint"`
	Execution        core.Execution `cbor:"3,keyasint"`
	Detail           string         `cbor:"4,keyasint"`
	RetryAfterMillis int64          `cbor:"5,keyasint"`
	Length           int64          `cbor:"6,keyasint"`
	Checksum         core.Digest    `cbor:"7,keyasint"`
	// Running and Limit are the number of requests in flight at the agent and
	// its limit, after this request.
	Running int `cbor:"8,keyasint"`
	Limit   int `cbor:"9,keyasint"`
	// Weights is the root digest of the weights that the agent's engine has
	// now.
	Weights core.Digest `cbor:"10,keyasint,omitzero"`
}

// Tombstone prevents an attempt from ever starting at this agent process.
type Tombstone struct {
	AttemptID   string           `cbor:"1,keyasint"`
	Incarnation core.Incarnation `cbor:"2,keyasint"`
}

// TombstoneReply is the result of a Tombstone. Execution is ExecutionNotRun if
// the attempt has not started and never will, otherwise ExecutionUnknown or
// ExecutionRan.
type TombstoneReply struct {
	Execution core.Execution `cbor:"1,keyasint"`
}
