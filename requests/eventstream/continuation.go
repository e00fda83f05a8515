package eventstream

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
)

// ErrNotContinued means that an event cannot follow the events of the stream that came
// before it from another server.
var ErrNotContinued = errors.New("the event does not continue the stream")

// Continuation selects the events of an answer that continues a stream after the event
// with a certain id.
type Continuation struct {
	lastID string
}

// NewContinuation returns the Continuation of a stream after the event lastID.
func NewContinuation(lastID string) *Continuation { return &Continuation{lastID: lastID} }

// Accept returns the given complete events without those that have only comments and
// retry times. It returns an error if the ids of the others do not increase, or if they
// hold anything else than the fields of events. Field names are in lower case, so that
// the status line and headers of an answer are none.
func (c *Continuation) Accept(events []byte) ([]byte, error) {
	var accepted []byte
	for len(events) > 0 {
		var event []byte
		event, events = cutEvent(events)
		id, isEmpty, err := parseEvent(event)
		if err != nil {
			return nil, err
		}
		if isEmpty {
			continue
		}
		if !isGreater(id, c.lastID) {
			return nil, fmt.Errorf("%w: id %q after %q", ErrNotContinued, id, c.lastID)
		}
		c.lastID = id
		accepted = append(accepted, event...)
	}
	return accepted, nil
}

// CheckFields returns an error if complete events hold anything else than the fields of
// events, or are errors.
func CheckFields(events []byte) error {
	for len(events) > 0 {
		var event []byte
		event, events = cutEvent(events)
		if _, _, err := parseEvent(event); err != nil {
			return err
		}
	}
	return nil
}

// HasEvent reports whether complete events have more than comments and retry times.
func HasEvent(events []byte) bool {
	for len(events) > 0 {
		var event []byte
		event, events = cutEvent(events)
		if _, isEmpty, err := parseEvent(event); err != nil || !isEmpty {
			return true
		}
	}
	return false
}

// cutEvent returns the first of the given complete events and the others.
func cutEvent(events []byte) (event, others []byte) {
	var s scanner
	for i := range events {
		if s.scan(events[i:i+1]) == 0 {
			continue
		}
		end := i + 1
		if s.afterCR && bytes.HasPrefix(events[end:], []byte("\n")) {
			end++
		}
		return events[:end], events[end:]
	}
	return events, nil
}

// parseEvent returns the id of an event, and whether it has only comments and retry
// times, or nothing.
func parseEvent(event []byte) (id string, isEmpty bool, err error) {
	isEmpty = true
	for line := range bytes.FieldsFuncSeq(event, isLineEnd) {
		name, value, hasColon := strings.Cut(string(line), ":")
		value = strings.TrimSpace(value)
		switch {
		case name == "" || name == "retry":
			continue
		case name == "id":
			id = value
		case name == "event" && value == "error":
			return "", false, fmt.Errorf("%w: it is an error", ErrNotContinued)
		case name != "data" && (!hasColon || !isFieldName(name)):
			return "", false, fmt.Errorf("%w: it has a line that is no field", ErrNotContinued)
		}
		isEmpty = false
	}
	if len(id) > MaxIDBytes {
		return "", false, fmt.Errorf("%w: %d bytes", ErrInvalidID, len(id))
	}
	return id, isEmpty, nil
}

func isLineEnd(r rune) bool { return r == '\r' || r == '\n' }

func isFieldName(name string) bool {
	return strings.Trim(name, "abcdefghijklmnopqrstuvwxyz0123456789-_") == ""
}

// IsNumber reports whether an id is a decimal number, so that it can be compared with
// another.
func IsNumber(id string) bool { return id != "" && strings.Trim(id, "0123456789") == "" }

// isGreater reports whether both ids are numbers and id is the greater one.
func isGreater(id, than string) bool {
	if !IsNumber(id) || !IsNumber(than) {
		return false
	}
	id, than = strings.TrimLeft(id, "0"), strings.TrimLeft(than, "0")
	if len(id) != len(than) {
		return len(id) > len(than)
	}
	return id > than
}
