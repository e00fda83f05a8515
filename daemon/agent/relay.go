package agent

import (
	"bytes"
	"errors"
	"io"

	"github.com/zeebo/blake3"

	"currantusher.dev/core"
	"currantusher.dev/requests/eventstream"
	"currantusher.dev/wire"
)

const relayBufferBytes = 32 << 10

// frameSender sends answer frames to the entry.
type frameSender interface {
	Send(message any) error
}

// relay forwards the backend server's answer to the entry as Header and Data
// frames, and a stream by whole events only, so that another backend server can
// continue it after any frame. It is used by one goroutine.
type relay struct {
	out         frameSender
	dispatch    wire.Dispatch
	onFirstByte func()

	splitter eventstream.Splitter
	hasher   *blake3.Hasher
	sequence uint64
	length   int64
	tail     []byte
}

func newRelay(out frameSender, d wire.Dispatch, onFirstByte func()) *relay {
	return &relay{
		out:         out,
		dispatch:    d,
		onFirstByte: onFirstByte,
		hasher:      blake3.New(),
	}
}

// sendAdmitted reports to the entry that the attempt was admitted.
func (r *relay) sendAdmitted() error {
	if err := r.out.Send(wire.AnswerFrame{Admitted: &wire.Admitted{RequestID: r.dispatch.RequestID}}); err != nil {
		return errEntryDisconnected
	}
	return nil
}

// copyAnswer forwards the complete answer. If the answer is incomplete, the error
// carries core.ExecutionUnknown. If the entry cannot be reached, the error is
// errEntryDisconnected.
func (r *relay) copyAnswer(a *answer) error {
	header := &wire.AnswerHeader{RequestID: r.dispatch.RequestID, Weights: a.weights, ContentType: a.contentType}
	if err := r.out.Send(wire.AnswerFrame{Header: header}); err != nil {
		return errEntryDisconnected
	}
	buffer := make([]byte, relayBufferBytes)
	for {
		n, err := a.body.Read(buffer)
		if forwardErr := r.forward(a, buffer[:n]); forwardErr != nil {
			return forwardErr
		}
		if errors.Is(err, io.EOF) {
			return r.checkComplete(a)
		}
		if err != nil {
			return core.Wrap(err, core.CodeIncomplete, core.ExecutionUnknown, "answer ended early after %d bytes", r.length)
		}
	}
}

// errEntryDisconnected means that the entry cancelled the call or lost its
// connection.
var errEntryDisconnected = errors.New("entry disconnected")

// forward sends the next bytes of the answer, or those of the events that they
// complete.
func (r *relay) forward(a *answer, part []byte) error {
	if a.stream {
		events, err := r.splitter.Feed(part)
		if err == nil && r.dispatch.ResumeOffset > 0 {
			err = eventstream.CheckFields(events)
		}
		if err != nil {
			return core.Wrap(err, core.CodeIncomplete, core.ExecutionUnknown, "invalid event after %d bytes", r.length)
		}
		part = events
	}
	if len(part) == 0 {
		return nil
	}
	if err := r.sendData(part); err != nil {
		return errEntryDisconnected
	}
	return nil
}

func (r *relay) sendData(part []byte) error {
	if r.sequence == 0 {
		r.onFirstByte()
	}
	_, _ = r.hasher.Write(part)
	r.length += int64(len(part))
	r.tail = append(r.tail, part...)
	r.tail = r.tail[max(0, len(r.tail)-len(streamEndEvent)):]
	frame := wire.AnswerFrame{Data: &wire.AnswerData{Sequence: r.sequence, Bytes: part, EndOffset: r.length}}
	r.sequence++
	return r.out.Send(frame)
}

// checkComplete returns an error for a stream without its last event. net/http has
// checked the length of a plain answer against its Content-Length.
func (r *relay) checkComplete(a *answer) error {
	isWhole := r.splitter.PendingBytes() == 0 && bytes.Equal(r.tail, streamEndEvent)
	if !a.stream || isWhole {
		return nil
	}
	return core.NewFailure(core.CodeIncomplete, core.ExecutionUnknown, "stream ended without its last event after %d bytes", r.length)
}

// endFrame returns the End frame with the outcome of the attempt.
func (r *relay) endFrame(err error) *wire.AnswerEnd {
	end := &wire.AnswerEnd{
		RequestID: r.dispatch.RequestID,
		Code:      core.CodeOf(err),
		Execution: core.ExecutionOf(err),
		Detail:    core.DetailOf(err),
		Length:    r.length,
	}
	end.RetryAfterMillis = core.RetryAfterOf(err).Milliseconds()
	r.hasher.Sum(end.Checksum[:0])
	return end
}
