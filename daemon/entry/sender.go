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

// peerSender implements dispatch.Sender on the peer endpoint.
type peerSender struct {
	peer *wire.Endpoint
	// onWeights is called with the weights version in the End frame of an attempt.
	onWeights func(agent placement.Candidate, weights core.Digest)
}

// Send implements dispatch.Sender.
func (s peerSender) Send(ctx context.Context, agent placement.Candidate, message wire.Dispatch) (dispatch.ReplyStream, error) {
	stream, err := s.peer.Open(ctx, agent.Addr, wire.KindDispatch)
	if err != nil {
		return nil, err
	}
	if err := stream.Send(message); err != nil {
		stream.Cancel()
		return nil, err
	}
	return &replyStream{
		stream:        stream,
		stopAfterFunc: context.AfterFunc(ctx, stream.Cancel),
		onEnd:         func(end *wire.AnswerEnd) { s.onWeights(agent, end.Weights) },
	}, nil
}

// Tombstone implements dispatch.Sender.
func (s peerSender) Tombstone(ctx context.Context, agent placement.Candidate, message wire.Tombstone) (wire.TombstoneReply, error) {
	return wire.Call[wire.TombstoneReply](ctx, s.peer, agent.Addr, wire.KindTombstone, message)
}

// replyStream implements dispatch.ReplyStream.
type replyStream struct {
	dispatch.Unobserved
	stream        *wire.Stream
	stopAfterFunc func() bool
	onEnd         func(end *wire.AnswerEnd)
}

// Recv implements dispatch.ReplyStream.
func (r *replyStream) Recv() (wire.AnswerFrame, error) {
	var reply wire.AnswerFrame
	err := r.stream.Recv(&reply)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if err == nil && reply.End != nil {
		r.onEnd(reply.End)
	}
	if err != nil || reply.End != nil {
		r.stopAfterFunc()
		_ = r.stream.CloseSend()
	}
	return reply, err
}

// Cancel implements dispatch.ReplyStream.
func (r *replyStream) Cancel() {
	r.stopAfterFunc()
	r.stream.Cancel()
}
