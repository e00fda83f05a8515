package backend

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const maxFaultsBytes = 64 << 10

// Faults is the body of POST /faults. Absent fields change nothing. A count of
// answers is added to the number of coming answers that get the fault.
type Faults struct {
	// Crash aborts all running requests, and all later calls until RestartEmpty.
	Crash bool `json:"crash,omitempty"`
	// RestartEmpty aborts all running requests and begins a cold start with nothing
	// staged.
	RestartEmpty bool `json:"restart_empty,omitempty"`
	// TurnCold begins a cold start without a restart and without an announcement.
	TurnCold bool `json:"turn_cold,omitempty"`
	// LateAnswers delays answers by LateMillis.
	LateAnswers int   `json:"late_answers,omitempty"`
	LateMillis  int64 `json:"late_millis,omitempty"`
	// CrossedAnswers replaces answers by the answer to the previous request.
	CrossedAnswers int `json:"crossed_answers,omitempty"`
	// DoubledAnswers writes the HTTP response twice on the connection.
	DoubledAnswers int `json:"doubled_answers,omitempty"`
	// CutAnswers runs the request and closes the connection within the answer.
	CutAnswers int `json:"cut_answers,omitempty"`
	// UnframedAnswers have neither a length nor chunks and end with their connection.
	UnframedAnswers int `json:"unframed_answers,omitempty"`
	// BrokenEvents ends unframed streams within an event by closing the connection;
	// other answers are cut.
	BrokenEvents int `json:"broken_events,omitempty"`
	// EndlessHeads and EndlessBodies write heads and bodies without end until the
	// client closes the connection.
	EndlessHeads  int `json:"endless_heads,omitempty"`
	EndlessBodies int `json:"endless_bodies,omitempty"`
	// SlowFactor multiplies the processing time; 1 is the normal speed.
	SlowFactor *float64 `json:"slow_factor,omitempty"`
	// IgnoreFence makes an engine execute commands with stale fencing tokens.
	IgnoreFence *bool `json:"ignore_fence,omitempty"`
	// SkipVerify makes an engine activate incomplete or corrupt weights.
	SkipVerify *bool `json:"skip_verify,omitempty"`
	// CorruptChunks is the number of staged chunks in which one bit is flipped.
	CorruptChunks int `json:"corrupt_chunks,omitempty"`
	// DataCentreOutSince is the time in RFC 3339 at which operators took the data
	// centre out; "" clears it.
	DataCentreOutSince *string `json:"data_centre_out_since,omitempty"`
}

// DecodeFaults decodes and validates the body of POST /faults.
func DecodeFaults(r *http.Request) (Faults, error) {
	var faults Faults
	decoder := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxFaultsBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		return Faults{}, fmt.Errorf("faults: %w", err)
	}
	if faults.SlowFactor != nil && *faults.SlowFactor <= 0 {
		return Faults{}, fmt.Errorf("slow_factor %v: want more than 0", *faults.SlowFactor)
	}
	_, err := faults.parseDataCentreOutSince()
	return faults, err
}

func (f Faults) parseDataCentreOutSince() (time.Time, error) {
	if f.DataCentreOutSince == nil || *f.DataCentreOutSince == "" {
		return time.Time{}, nil
	}
	at, err := time.Parse(time.RFC3339Nano, *f.DataCentreOutSince)
	if err != nil {
		return time.Time{}, fmt.Errorf("data_centre_out_since: %w", err)
	}
	return at, nil
}

// AnswerFault is the fault that is injected into one answer.
type AnswerFault int

// Values of AnswerFault; the fields of Faults describe them.
const (
	AnswerIntact AnswerFault = iota
	AnswerLate
	AnswerCrossed
	AnswerDoubled
	AnswerCut
	AnswerUnframed
	AnswerBrokenEvent
	AnswerEndlessHead
	AnswerEndlessBody
	answerFaultCount
)
