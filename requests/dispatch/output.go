package dispatch

import (
	"bytes"

	"currantusher.dev/core"
	"currantusher.dev/requests/ledger"
	"currantusher.dev/wire"
)

// output is the answer on its way to the caller. Plain answers are held until
// they are whole; streams are handed on at once and may be resumed.
type output struct {
	request Request
	sink    Sink
	limit   int

	// begin is the begin frame of the attempt in use.
	begin *wire.AnswerHeader
	// begun says that the caller has the begin.
	begun bool
	// sent counts the bytes that the caller has.
	sent int64
	// held is the answer so far of plain and at-most-once requests.
	held []byte
	// failed is the caller's side's error.
	failed error
	// tainted says that bytes of a faulty answer may have been handed on.
	tainted bool
}

func newOutput(request Request, sink Sink, limit int) *output {
	return &output{request: request, sink: sink, limit: limit}
}

// canResume reports whether a stream may go on at another agent. Bytes of a
// faulty answer cannot be taken back.
func (o *output) canResume() bool {
	return o.request.Stream && !o.request.AtMostOnce && !o.tainted
}

// accept takes the begin frame of an attempt. A resumed stream must go on with
// the weights that it began with.
func (o *output) accept(begin *wire.AnswerHeader) error {
	if begin.Weights != o.request.Weights {
		return core.NewFailure(core.CodeDigestMismatch, core.ExecutionUnknown, "the answer is of weights %s, want %s", begin.Weights.Short(), o.request.Weights.Short())
	}
	if o.sent == 0 {
		o.held = nil
	}
	o.begin = begin
	return nil
}

// write takes the next bytes of the answer.
func (o *output) write(p []byte) error {
	if o.isHeld() {
		if len(o.held)+len(p) > o.limit {
			return core.NewFailure(core.CodeEngineFailed, core.ExecutionUnknown, "the answer is larger than %d bytes", o.limit)
		}
		o.held = append(o.held, p...)
	}
	if !o.request.Stream {
		return nil
	}
	return o.send(p)
}

func (o *output) isHeld() bool { return !o.request.Stream || o.request.AtMostOnce }

// send hands bytes to the caller. The work of an at-most-once request goes on
// when the caller is gone.
func (o *output) send(p []byte) error {
	if o.failed == nil {
		o.failed = o.deliver(p)
	}
	if o.failed == nil || o.request.outlivesCaller() {
		return nil
	}
	return core.Wrap(o.failed, core.CodeCancelled, core.ExecutionUnknown, "the caller is gone")
}

func (o *output) deliver(p []byte) error {
	if !o.begun {
		if err := o.sink.Begin(o.begin.ContentType, o.begin.Weights); err != nil {
			return err
		}
		o.begun = true
	}
	n, err := o.sink.Write(p)
	o.sent += int64(n)
	return err
}

// close hands a held answer on once it is whole.
func (o *output) close() error {
	if !o.request.Stream {
		return o.send(o.held)
	}
	if o.begun {
		return nil
	}
	return o.send(nil)
}

func (o *output) replay(stored ledger.Result) error {
	o.begin = &wire.AnswerHeader{ContentType: stored.ContentType, Weights: stored.Weights}
	return o.deliver(bytes.Clone(stored.Body))
}
