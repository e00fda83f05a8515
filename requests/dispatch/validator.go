package dispatch

import (
	"github.com/zeebo/blake3"

	"currantusher.dev/core"
	"currantusher.dev/wire"
)

// answerValidator checks the frames of one attempt: at most one Admitted, then
// one Header, Data frames without gaps, and an End whose length and checksum match
// the data.
type answerValidator struct {
	requestID    string
	admitted     bool
	header       *wire.AnswerHeader
	end          *wire.AnswerEnd
	nextSequence uint64
	length       int64
	hasher       *blake3.Hasher
	// skipEndCheck disables the check of the end frame. Only tests set it.
	skipEndCheck bool
}

func newAnswerValidator(requestID string) *answerValidator {
	return &answerValidator{requestID: requestID, hasher: blake3.New()}
}

// isEmpty reports whether no frame was accepted yet.
func (a *answerValidator) isEmpty() bool { return !a.admitted && a.header == nil && a.end == nil }

// accept checks the next frame. After an error the answer must not be used.
func (a *answerValidator) accept(reply wire.AnswerFrame) error {
	if a.end != nil {
		return incompleteError("unexpected frame after the end frame")
	}
	switch reply {
	case wire.AnswerFrame{Admitted: reply.Admitted}:
		return a.acceptAdmitted(reply.Admitted)
	case wire.AnswerFrame{Header: reply.Header}:
		return a.acceptHeader(reply.Header)
	case wire.AnswerFrame{Data: reply.Data}:
		return a.acceptData(reply.Data)
	case wire.AnswerFrame{End: reply.End}:
		return a.acceptEnd(reply.End)
	default:
		return incompleteError("a frame must have exactly one of admitted, header, data and end")
	}
}

func (a *answerValidator) acceptAdmitted(admitted *wire.Admitted) error {
	if admitted == nil {
		return incompleteError("a frame has none of admitted, header, data and end")
	}
	if admitted.RequestID != a.requestID {
		return crossedAnswerError(admitted.RequestID, a.requestID)
	}
	if a.admitted || a.header != nil {
		return incompleteError("unexpected admitted frame: the attempt was already admitted")
	}
	a.admitted = true
	return nil
}

func (a *answerValidator) acceptHeader(header *wire.AnswerHeader) error {
	if header.RequestID != a.requestID {
		return crossedAnswerError(header.RequestID, a.requestID)
	}
	if a.header != nil {
		return incompleteError("unexpected second header frame")
	}
	a.header = header
	return nil
}

func (a *answerValidator) acceptData(data *wire.AnswerData) error {
	if a.header == nil {
		return incompleteError("data frame received before the header frame")
	}
	if data.Sequence != a.nextSequence {
		return incompleteError("data frame has sequence number %d, want %d", data.Sequence, a.nextSequence)
	}
	length := a.length + int64(len(data.Bytes))
	if data.EndOffset != 0 && data.EndOffset != length {
		return incompleteError("data frame %d ends at byte %d, but declares end %d", data.Sequence, length, data.EndOffset)
	}
	a.nextSequence++
	a.length = length
	_, _ = a.hasher.Write(data.Bytes)
	return nil
}

func (a *answerValidator) acceptEnd(end *wire.AnswerEnd) error {
	if end.RequestID != a.requestID {
		return crossedAnswerError(end.RequestID, a.requestID)
	}
	if end.Code == core.CodeOK && !a.skipEndCheck {
		if err := a.checkComplete(end); err != nil {
			return err
		}
	}
	a.end = end
	return nil
}

func (a *answerValidator) checkComplete(end *wire.AnswerEnd) error {
	if a.header == nil {
		return incompleteError("end frame received before the header frame")
	}
	if end.Length != a.length {
		return incompleteError("received %d bytes of the answer, but its end frame declares %d", a.length, end.Length)
	}
	if end.Checksum != a.checksum() {
		return core.NewFailure(core.CodeChecksumMismatch, core.ExecutionUnknown, "the answer's checksum does not match its end frame")
	}
	return nil
}

func (a *answerValidator) checksum() core.Digest {
	var sum core.Digest
	copy(sum[:], a.hasher.Sum(nil))
	return sum
}

// isComplete reports whether the attempt ended successfully and the length and
// checksum of its end frame match the received data.
func (a *answerValidator) isComplete() bool {
	return a.end != nil && a.end.Code == core.CodeOK && a.checkComplete(a.end) == nil
}

func incompleteError(format string, args ...any) error {
	return core.NewFailure(core.CodeIncomplete, core.ExecutionUnknown, format, args...)
}

func crossedAnswerError(got, want string) error {
	return core.NewFailure(core.CodeCrossedAnswer, core.ExecutionUnknown, "answer for request %q, want %q", got, want)
}
