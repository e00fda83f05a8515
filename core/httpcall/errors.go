package httpcall

import (
	"fmt"
	"strings"
)

// Part is a part of an answer that has a bound.
type Part string

const (
	// PartHead is the status line and the header lines, together with the informational
	// answers before them, in bytes.
	PartHead Part = "head"
	// PartFields is the header lines, by their number.
	PartFields Part = "header fields"
	// PartBody is the body, in bytes.
	PartBody Part = "body"
	// PartDecoded is the decompressed body, in bytes.
	PartDecoded Part = "decompressed body"
)

func (p Part) unit() string {
	if p == PartFields {
		return "lines"
	}
	return "bytes"
}

// TooLargeError means that an answer exceeds the bound of its kind. Nothing of the answer
// is to be used, and its connection is closed.
type TooLargeError struct {
	// Server is the IP address and port that sent the answer.
	Server string
	// Kind is that of Answer.
	Kind string
	Part Part
	// Limit is the bound, in lines for PartFields and in bytes otherwise.
	Limit int64
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("the %s of the answer of %s (%s) exceeds %d %s", e.Part, e.Server, e.Kind, e.Limit, e.Part.unit())
}

// StatusError means that an answer has a status that its kind can't have, which says nothing
// about the call.
type StatusError struct {
	// Server is the IP address and port that sent the answer.
	Server string
	// Kind is that of Answer.
	Kind   string
	Status int
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("the answer of %s (%s) has the status %03d", e.Server, e.Kind, e.Status)
}

// maxErrorBytes bounds the text of an error that may quote received bytes.
const maxErrorBytes = 300

// quotingError is an error whose text is shortened.
type quotingError struct{ cause error }

func (e *quotingError) Error() string { return e.cause.Error()[:maxErrorBytes] + "..." }

func (e *quotingError) Unwrap() error { return e.cause }

// abbreviate shortens the text of an error that quotes a long malformed line.
func abbreviate(err error) error {
	if len(err.Error()) <= maxErrorBytes {
		return err
	}
	return &quotingError{cause: err}
}

// headLimitText is in the error of http.Transport for a head over MaxResponseHeaderBytes,
// which has no type.
const headLimitText = "server response headers exceeded"

func isHeadTooLarge(err error) bool { return strings.Contains(err.Error(), headLimitText) }
