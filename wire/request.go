package wire

import (
	"currantusher.dev/core"
)

// Dispatch asks an agent to run one attempt of a request. The agent answers
// with Start once it admitted the attempt, at most one Begin, any number of Data
// and exactly one End. A stream
// that closes without an End is incomplete.
type Dispatch struct {
	RequestID string `cbor:"1,keyasint"`
	// AttemptID is unique for each dispatch, also of the same request.
	AttemptID string         `cbor:"2,keyasint"`
	Team      core.Team      `cbor:"3,keyasint"`
	Route     core.RouteName `cbor:"4,keyasint"`
	Pool      core.PoolName  `cbor:"5,keyasint"`
	// Weights is the root digest that must serve the request; zero for plain
	// services.
	Weights core.Digest `cbor:"6,keyasint"`
	// Incarnation is the agent process that the entry means.
	Incarnation core.Incarnation `cbor:"7,keyasint"`
	Revision    core.Revision    `cbor:"8,keyasint"`
	Priority    int              `cbor:"9,keyasint"`
	// DeadlineMillis is the time left, in milliseconds.
	DeadlineMillis int64 `cbor:"10,keyasint"`
	// MaxTokens bounds the tokens to generate; 0 for plain services.
	MaxTokens  int    `cbor:"11,keyasint"`
	AtMostOnce bool   `cbor:"12,keyasint"`
	Stream     bool   `cbor:"13,keyasint"`
	Path       string `cbor:"14,keyasint"`
	Body       []byte `cbor:"15,keyasint"`
	// ResumeOffset is the number of answer bytes that the caller already has.
	ResumeOffset int64 `cbor:"16,keyasint"`
	// IdempotencyKey is the caller's idempotency key, passed on to the backend server.
	IdempotencyKey string `cbor:"17,keyasint,omitempty"`
}

// AnswerFrame is one frame of an agent's answer; exactly one field is set.
type AnswerFrame struct {
	Header   *AnswerHeader `cbor:"1,keyasint,omitempty"`
	Data     *AnswerData   `cbor:"2,keyasint,omitempty"`
	End      *AnswerEnd    `cbor:"3,keyasint,omitempty"`
	Admitted *Admitted     `cbor:"4,keyasint,omitempty"`
}

// Admitted says that the agent admitted the attempt and sends it to the backend
// server now.
type Admitted struct {
	RequestID string `cbor:"1,keyasint"`
}

// AnswerHeader says that the backend server began to answer.
type AnswerHeader struct {
	RequestID   string      `cbor:"1,keyasint"`
	Weights     core.Digest `cbor:"2,keyasint"`
	ContentType string      `cbor:"3,keyasint"`
}

// AnswerData is a part of the answer. Sequence counts from 0 without gaps.
type AnswerData struct {
	Sequence uint64 `cbor:"1,keyasint"`
	Bytes    []byte `cbor:"2,keyasint"`
	// EndOffset is the length of this attempt's answer up to and with Bytes, so that
	// a short frame is noticed before it is handed on. 0 means not given.
	EndOffset int64 `cbor:"3,keyasint,omitempty"`
}

// AnswerEnd closes the answer. Length and Checksum (BLAKE3) cover the bytes of all
// Data frames of this attempt.
type AnswerEnd struct {
	RequestID        string         `cbor:"1,keyasint"`
	Code             core.Code      `cbor:"2,keyasint"`
	Execution        core.Execution `cbor:"3,keyasint"`
	Detail           string         `cbor:"4,keyasint"`
	RetryAfterMillis int64          `cbor:"5,keyasint"`
	Length           int64          `cbor:"6,keyasint"`
	Checksum         core.Digest    `cbor:"7,keyasint"`
	// Running and Limit are the agent's load after this request.
	Running int `cbor:"8,keyasint"`
	Limit   int `cbor:"9,keyasint"`
	// Weights is the version that the agent's engine carries now.
	Weights core.Digest `cbor:"10,keyasint,omitzero"`
}

// Tombstone bars an attempt from ever starting at this agent process.
type Tombstone struct {
	AttemptID   string           `cbor:"1,keyasint"`
	Incarnation core.Incarnation `cbor:"2,keyasint"`
}

// TombstoneReply says whether the attempt is barred. Work is WorkNotRun when
// it never started and never will, otherwise WorkUnknown or WorkRan.
type TombstoneReply struct {
	Execution core.Execution `cbor:"1,keyasint"`
}
