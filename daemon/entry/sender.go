package entry

import (
	"context"
	"errors"
	"io"

	"currantusher.dev/core"
	"currantusher.dev/requests/dispatch"
	"currantusher.dev/requests/placement"
	"currantusher.dev/wire"
)

// sender implements dispatch.Sender over the peer endpoint.
type sender struct {
	peer *wire.Endpoint
	// observe learns the version that an End frame names.
	observe func(agent placement.Candidate, weights core.Digest)
}

// Send implements dispatch.Sender.
func (s sender) Send(ctx context.Context, agent placement.Candidate, message wire.Dispatch) (dispatch.ReplyStream, error) {
	stream, err := s.peer.Open(ctx, agent.Addr, wire.KindDispatch)
	if err != nil {
		return nil, err
	}
	if err := stream.Send(message); err != nil {
		stream.Cancel()
		return nil, err
	}
	return &replyStream{
		stream:  stream,
		release: context.AfterFunc(ctx, stream.Cancel),
		ended:   func(end *wire.AnswerEnd) { s.observe(agent, end.Weights) },
	}, nil
}

// Tombstone implements dispatch.Sender.
func (s sender) Tombstone(ctx context.Context, agent placement.Candidate, message wire.Tombstone) (wire.TombstoneReply, error) {
	return wire.Call[wire.TombstoneReply](ctx, s.peer, agent.Addr, wire.KindTombstone, message)
}

// replyStream implements dispatch.ReplyStream.
type replyStream struct {
	stream  *wire.Stream
	release func() bool
	ended   func(end *wire.AnswerEnd)
}

// Recv implements dispatch.ReplyStream.
func (r *replyStream) Recv() (wire.AnswerFrame, error) {
	var reply wire.AnswerFrame
	err := r.stream.Recv(&reply)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if err == nil && reply.End != nil {
		r.ended(reply.End)
	}
	if err != nil || reply.End != nil {
		r.release()
		_ = r.stream.CloseSend()
	}
	return reply, err
}

// Cancel implements dispatch.ReplyStream.
func (r *replyStream) Cancel() {
	r.release()
	r.stream.Cancel()
}
