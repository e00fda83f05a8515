package dispatch

import (
	"bytes"

	"currantusher.dev/core"
	"currantusher.dev/requests/ledger"
	"currantusher.dev/wire"
)

// output passes the answer to the caller. Answers that are not streamed are
// buffered until they are complete; streams are forwarded immediately and may be
// resumed.
type output struct {
	request          Request
	sink             Sink
	maxBufferedBytes int
	memory           *answerMemory

	// header is the header frame of the current attempt.
	header *wire.AnswerHeader
	// sinkBegun is set once Sink.Begin succeeded.
	sinkBegun bool
	// sentBytes counts the answer bytes written to the sink.
	sentBytes int64
	// buffered is the answer received so far, for claimed requests, whose result is
	// stored, and requests that are not streamed.
	buffered []byte
	// sinkErr is the first error of the sink.
	sinkErr error
	// corruptSent is set when bytes of an answer with a wrong checksum may have
	// been sent to the caller.
	corruptSent bool
}

func newOutput(request Request, sink Sink, maxBufferedBytes int, memory *answerMemory) *output {
	return &output{request: request, sink: sink, maxBufferedBytes: maxBufferedBytes, memory: memory}
}

// canResume reports whether a stream may continue at another agent. It may not
// after corrupt bytes were sent, because they cannot be recalled.
func (o *output) canResume() bool {
	if !o.request.Stream || o.request.AtMostOnce || o.corruptSent {
		return false
	}
	return o.request.CanResume == nil || o.request.CanResume()
}

// checkWeights returns an error if the weights are not those of the request, so that a
// resumed stream continues with the same weights.
func (o *output) checkWeights(header *wire.AnswerHeader) error {
	if header.Weights != o.request.Weights {
		return core.NewFailure(core.CodeDigestMismatch, core.ExecutionUnknown, "the answer was made with weights %s, want %s", header.Weights.Short(), o.request.Weights.Short())
	}
	return nil
}

// acceptHeader processes the header frame of an attempt.
func (o *output) acceptHeader(header *wire.AnswerHeader) error {
	if err := o.checkWeights(header); err != nil {
		return err
	}
	if o.sentBytes == 0 {
		o.releaseBuffer()
	}
	o.header = header
	return nil
}

// write buffers or sends the next bytes of the answer.
func (o *output) write(p []byte) error {
	if o.isBuffered() {
		if len(o.buffered)+len(p) > o.maxBufferedBytes {
			return core.NewFailure(core.CodeEngineFailed, core.ExecutionUnknown, "the answer is larger than %d bytes", o.maxBufferedBytes)
		}
		if !o.memory.grow(len(o.buffered) + len(p)) {
			return core.NewFailure(core.CodeEngineFailed, core.ExecutionUnknown, "the memory for buffered answers is exhausted")
		}
		o.buffered = append(o.buffered, p...)
	}
	if !o.request.Stream {
		return nil
	}
	return o.send(p)
}

func (o *output) releaseBuffer() {
	o.memory.free()
	o.buffered = nil
}

func (o *output) isBuffered() bool { return !o.request.Stream || o.request.needsClaim() }

// send writes bytes to the sink. It ignores errors of the sink if the request
// outlives its caller, so that the work is completed and its result stored.
func (o *output) send(p []byte) error {
	if o.sinkErr == nil {
		o.sinkErr = o.writeToSink(p)
	}
	if o.sinkErr == nil || o.request.outlivesCaller() {
		return nil
	}
	return core.Wrap(o.sinkErr, core.CodeCancelled, core.ExecutionUnknown, "the answer could not be written to the caller")
}

func (o *output) writeToSink(p []byte) error {
	if !o.sinkBegun {
		if err := o.sink.Begin(o.header.ContentType, o.header.Weights); err != nil {
			return err
		}
		o.sinkBegun = true
	}
	n, err := o.sink.Write(p)
	o.sentBytes += int64(n)
	return err
}

// close sends a buffered answer after it was verified to be complete. For an
// empty stream it still calls Sink.Begin.
func (o *output) close() error {
	if !o.request.Stream {
		o.memory.awaitCaller()
		return o.send(o.buffered)
	}
	if o.sinkBegun {
		return nil
	}
	return o.send(nil)
}

func (o *output) replay(stored ledger.Result) error {
	o.header = &wire.AnswerHeader{ContentType: stored.ContentType, Weights: stored.Weights}
	return o.writeToSink(bytes.Clone(stored.Body))
}
