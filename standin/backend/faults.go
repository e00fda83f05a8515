package backend

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const maxFaultsBytes = 64 << 10

// Faults is the body of POST /faults. Absent fields change nothing. Counts
// arm one fault for each of the next answers.
type Faults struct {
	// Crash aborts all work and every later call until RestartEmpty.
	Crash bool `json:"crash,omitempty"`
	// RestartEmpty aborts all work and starts cold with nothing staged.
	RestartEmpty bool `json:"restart_empty,omitempty"`
	// TurnCold makes the server cold without a restart or an announcement.
	TurnCold bool `json:"turn_cold,omitempty"`
	// LateAnswers delays answers by LateMillis.
	LateAnswers int   `json:"late_answers,omitempty"`
	LateMillis  int64 `json:"late_millis,omitempty"`
	// CrossedAnswers gives answers to another request.
	CrossedAnswers int `json:"crossed_answers,omitempty"`
	// DoubledAnswers writes the HTTP answer twice on the connection.
	DoubledAnswers int `json:"doubled_answers,omitempty"`
	// CutAnswers runs the request and breaks the connection mid-answer.
	CutAnswers int `json:"cut_answers,omitempty"`
	// SlowFactor multiplies the running time; 1 is the usual speed.
	SlowFactor *float64 `json:"slow_factor,omitempty"`
	// IgnoreFence makes an engine obey orders with stale fencing tokens.
	IgnoreFence *bool `json:"ignore_fence,omitempty"`
	// SkipVerify makes an engine activate weights that are not whole.
	SkipVerify *bool `json:"skip_verify,omitempty"`
	// CorruptChunks flips one bit in so many staged chunks.
	CorruptChunks int `json:"corrupt_chunks,omitempty"`
	// DataCentreOutSince marks, in RFC 3339, when operators took the data
	// centre out; "" clears the mark.
	DataCentreOutSince *string `json:"data_centre_out_since,omitempty"`
}

// DecodeFaults reads and checks a Faults body.
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
	_, err := faults.outSince()
	return faults, err
}

func (f Faults) outSince() (time.Time, error) {
	if f.DataCentreOutSince == nil || *f.DataCentreOutSince == "" {
		return time.Time{}, nil
	}
	at, err := time.Parse(time.RFC3339Nano, *f.DataCentreOutSince)
	if err != nil {
		return time.Time{}, fmt.Errorf("data_centre_out_since: %w", err)
	}
	return at, nil
}

// AnswerFault is the fault of one answer.
type AnswerFault int

// Faults of one answer.
const (
	AnswerWhole AnswerFault = iota
	AnswerLate
	AnswerCrossed
	AnswerDoubled
	AnswerCut
)
