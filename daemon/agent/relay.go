package agent

import (
	"bytes"
	"errors"
	"io"

	"github.com/zeebo/blake3"

	"currantusher.dev/core"
	"currantusher.dev/wire"
)

const relayBufferBytes = 32 << 10

// frameSender sends frames to the entry.
type frameSender interface {
	Send(message any) error
}

// relay copies an answer to the entry as Begin and Data frames.
type relay struct {
	out       frameSender
	dispatch  wire.Dispatch
	firstByte func()

	hasher   *blake3.Hasher
	sequence uint64
	length   int64
	tail     []byte
}

func newRelay(out frameSender, d wire.Dispatch, firstByte func()) *relay {
	return &relay{
		out:       out,
		dispatch:  d,
		firstByte: firstByte,
		hasher:    blake3.New(),
	}
}

// start tells the entry that the attempt was admitted.
func (r *relay) start() error {
	if err := r.out.Send(wire.AnswerFrame{Admitted: &wire.Admitted{RequestID: r.dispatch.RequestID}}); err != nil {
		return errEntryGone
	}
	return nil
}

// copy sends the whole answer. Its error says what is known of the work when
// the answer is not whole. A failure to reach the entry is errEntryGone.
func (r *relay) copy(a *answer) error {
	begin := &wire.AnswerHeader{RequestID: r.dispatch.RequestID, Weights: a.weights, ContentType: a.contentType}
	if err := r.out.Send(wire.AnswerFrame{Header: begin}); err != nil {
		return errEntryGone
	}
	buffer := make([]byte, relayBufferBytes)
	for {
		n, err := a.body.Read(buffer)
		if n > 0 {
			if sendErr := r.data(buffer[:n]); sendErr != nil {
				return errEntryGone
			}
		}
		if errors.Is(err, io.EOF) {
			return r.checkWhole(a)
		}
		if err != nil {
			return core.Wrap(err, core.CodeIncomplete, core.ExecutionUnknown, "answer cut after %d bytes", r.length)
		}
	}
}

// errEntryGone reports that the entry cancelled the call or was cut off.
var errEntryGone = errors.New("entry gone")

func (r *relay) data(part []byte) error {
	if r.sequence == 0 {
		r.firstByte()
	}
	_, _ = r.hasher.Write(part)
	r.length += int64(len(part))
	r.tail = append(r.tail, part...)
	r.tail = r.tail[max(0, len(r.tail)-len(streamEnd)):]
	frame := wire.AnswerFrame{Data: &wire.AnswerData{Sequence: r.sequence, Bytes: part, EndOffset: r.length}}
	r.sequence++
	return r.out.Send(frame)
}

// checkWhole refuses a stream without its last event. The length of a plain
// answer was checked by net/http against its Content-Length.
func (r *relay) checkWhole(a *answer) error {
	if !a.stream || bytes.Equal(r.tail, streamEnd) {
		return nil
	}
	return core.NewFailure(core.CodeIncomplete, core.ExecutionUnknown, "stream ended without its last event after %d bytes", r.length)
}

// end describes the outcome of the attempt.
func (r *relay) end(err error) *wire.AnswerEnd {
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
