package dispatch

import (
	"github.com/zeebo/blake3"

	"currantusher.dev/core"
	"currantusher.dev/wire"
)

// assembly checks the frames of one attempt: one Begin first, Data without
// gaps, an End whose length and checksum cover the Data.
type assembly struct {
	requestID string
	started   bool
	begin     *wire.AnswerHeader
	end       *wire.AnswerEnd
	next      uint64
	length    int64
	hasher    *blake3.Hasher
	// lenient leaves out the check of the end frame; tests only.
	lenient bool
}

func newAssembly(requestID string) *assembly {
	return &assembly{requestID: requestID, hasher: blake3.New()}
}

// accept checks the next frame. The error means that the answer cannot be used.
func (a *assembly) accept(reply wire.AnswerFrame) error {
	if a.end != nil {
		return incomplete("a frame came after the end frame")
	}
	switch reply {
	case wire.AnswerFrame{Admitted: reply.Admitted}:
		return a.acceptStart(reply.Admitted)
	case wire.AnswerFrame{Header: reply.Header}:
		return a.acceptBegin(reply.Header)
	case wire.AnswerFrame{Data: reply.Data}:
		return a.acceptData(reply.Data)
	case wire.AnswerFrame{End: reply.End}:
		return a.acceptEnd(reply.End)
	default:
		return incomplete("a frame has not exactly one part")
	}
}

func (a *assembly) acceptStart(start *wire.Admitted) error {
	if start == nil {
		return incomplete("a frame has no part")
	}
	if start.RequestID != a.requestID {
		return crossed(start.RequestID, a.requestID)
	}
	if a.started || a.begin != nil {
		return incomplete("the attempt started twice")
	}
	a.started = true
	return nil
}

func (a *assembly) acceptBegin(begin *wire.AnswerHeader) error {
	if begin.RequestID != a.requestID {
		return crossed(begin.RequestID, a.requestID)
	}
	if a.begin != nil {
		return incomplete("the answer began twice")
	}
	a.begin = begin
	return nil
}

func (a *assembly) acceptData(data *wire.AnswerData) error {
	if a.begin == nil {
		return incomplete("data came before the begin frame")
	}
	if data.Sequence != a.next {
		return incomplete("data frame %d came in place of %d", data.Sequence, a.next)
	}
	length := a.length + int64(len(data.Bytes))
	if data.EndOffset != 0 && data.EndOffset != length {
		return incomplete("data frame %d ends at byte %d in place of %d", data.Sequence, length, data.EndOffset)
	}
	a.next++
	a.length = length
	_, _ = a.hasher.Write(data.Bytes)
	return nil
}

func (a *assembly) acceptEnd(end *wire.AnswerEnd) error {
	if end.RequestID != a.requestID {
		return crossed(end.RequestID, a.requestID)
	}
	if end.Code == core.CodeOK && !a.lenient {
		if err := a.checkWhole(end); err != nil {
			return err
		}
	}
	a.end = end
	return nil
}

func (a *assembly) checkWhole(end *wire.AnswerEnd) error {
	if a.begin == nil {
		return incomplete("the answer ended before it began")
	}
	if end.Length != a.length {
		return incomplete("the answer has %d bytes, its end frame says %d", a.length, end.Length)
	}
	if end.Checksum != a.checksum() {
		return core.NewFailure(core.CodeChecksumMismatch, core.ExecutionUnknown, "the answer's checksum does not match its end frame")
	}
	return nil
}

func (a *assembly) checksum() core.Digest {
	var sum core.Digest
	copy(sum[:], a.hasher.Sum(nil))
	return sum
}

// isWhole reports whether the attempt ended with an answer that its end frame
// covers.
func (a *assembly) isWhole() bool {
	return a.end != nil && a.end.Code == core.CodeOK && a.checkWhole(a.end) == nil
}

func incomplete(format string, args ...any) error {
	return core.NewFailure(core.CodeIncomplete, core.ExecutionUnknown, format, args...)
}

func crossed(got, want string) error {
	return core.NewFailure(core.CodeCrossedAnswer, core.ExecutionUnknown, "answer for request %q, want %q", got, want)
}
