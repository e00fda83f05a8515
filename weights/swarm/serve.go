package swarm

import (
	"context"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/wire"
)

// serveChunk answers a peer's request for a chunk or a manifest.
func (m *Manager) serveChunk(ctx context.Context, stream *wire.Stream) error {
	stream.SetDeadline(time.Now().Add(m.config.ChunkTimeout))
	var request wire.ChunkRequest
	if err := stream.Recv(&request); err != nil {
		return err
	}
	m.counters.messages.Add(2)
	s := m.lookup(request.Root)
	if s == nil || !s.isReady() {
		return stream.Send(wire.ChunkReply{Status: wire.ChunkMissing})
	}
	if request.Digest == request.Root {
		return s.serveManifest(ctx, stream, request.CrossRegion)
	}
	chunk, ok := s.index[request.Digest]
	if !ok || !s.offers.has(chunk) {
		return stream.Send(wire.ChunkReply{Status: wire.ChunkMissing, BudgetLeftBytes: s.left()})
	}
	if !s.uploads.take(ctx, request.ChunksDone, s.config.UploadSlotTimeout) {
		return stream.Send(wire.ChunkReply{Status: wire.ChunkBusy, BudgetLeftBytes: s.left()})
	}
	defer s.uploads.release()
	return s.upload(ctx, stream, chunk, request.CrossRegion)
}

func (s *session) isReady() bool {
	select {
	case <-s.ready:
		return true
	default:
		return false
	}
}

func (s *session) left() int64 { return s.ledger.left(time.Now()) }

func (s *session) serveManifest(ctx context.Context, stream *wire.Stream, far bool) error {
	size := len(s.encoded)
	if !s.ledger.send(int64(size), time.Now()) {
		return stream.Send(wire.ChunkReply{Status: wire.ChunkBudgetSpent})
	}
	return s.deliver(ctx, stream, s.encoded, far)
}

// upload sends a staged chunk. Its bytes are checked again, so that a fault of
// the staging area does not spread.
func (s *session) upload(ctx context.Context, stream *wire.Stream, chunk int, far bool) error {
	size := s.chunks[chunk].Size
	if !s.ledger.send(size, time.Now()) {
		return stream.Send(wire.ChunkReply{Status: wire.ChunkBudgetSpent, BudgetLeftBytes: s.left()})
	}
	digest := s.chunks[chunk].Digest
	content, err := s.config.Staging.GetChunk(ctx, digest)
	if err != nil || !s.matches(content, digest) {
		s.ledger.refund(size)
		s.config.Log.WithError(err).WithField("chunk", digest.Short()).Warn("Staged chunk is lost.")
		s.reportLost()
		return stream.Send(wire.ChunkReply{Status: wire.ChunkMissing})
	}
	return s.deliver(ctx, stream, content, far)
}

func (s *session) deliver(ctx context.Context, stream *wire.Stream, content []byte, far bool) error {
	if err := s.config.BandwidthLimiter.WaitUpload(ctx, len(content), far); err != nil {
		s.ledger.refund(int64(len(content)))
		return err
	}
	s.manager.counters.sent.Add(int64(len(content)))
	return stream.Send(wire.ChunkReply{Status: wire.ChunkDelivered, Content: content, BudgetLeftBytes: s.left()})
}

// serveHave sends what is offered, and then each addition, until the peer ends
// the call.
func (m *Manager) serveHave(ctx context.Context, stream *wire.Stream) error {
	var request wire.HaveRequest
	if err := stream.Recv(&request); err != nil {
		return err
	}
	s := m.lookup(request.Root)
	if s == nil {
		return core.NewRefusal(core.CodeUnknownEntity, 0, "version %s is not the target", request.Root.Short())
	}
	select {
	case <-s.ready:
	case <-ctx.Done():
		return ctx.Err()
	}
	bits, sent := s.offers.snapshot()
	update := wire.HaveUpdate{HasManifest: true, Bits: bits, BudgetLeftBytes: s.left()}
	for {
		m.counters.messages.Add(1)
		if err := stream.Send(update); err != nil {
			return err
		}
		pause(ctx, m.config.HaveUpdateInterval)
		added, err := s.waitAdded(ctx, sent)
		if err != nil {
			return err
		}
		if m.lookup(request.Root) != s {
			return errRestart
		}
		sent += len(added)
		update = wire.HaveUpdate{HasManifest: true, Added: added, BudgetLeftBytes: s.left()}
	}
}

func (s *session) waitAdded(ctx context.Context, from int) ([]uint32, error) {
	for {
		added, changed := s.offers.since(from)
		if len(added) > 0 {
			return added, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-changed:
		case <-time.After(s.config.ChunkTimeout):
			return nil, nil
		}
	}
}
