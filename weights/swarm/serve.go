package swarm

import (
	"context"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/wire"
)

// serveChunk handles a peer's request for a chunk or a manifest.
func (m *Manager) serveChunk(ctx context.Context, stream *wire.Stream) error {
	stream.SetDeadline(time.Now().Add(m.config.ChunkTimeout))
	var request wire.ChunkRequest
	if err := stream.Recv(&request); err != nil {
		return err
	}
	m.counters.controlMessages.Add(2)
	s := m.sessionFor(request.Root)
	if s == nil || !s.isReady() {
		return stream.Send(wire.ChunkReply{Status: wire.ChunkMissing})
	}
	if request.Digest == request.Root {
		return s.serveManifest(ctx, stream, request.CrossRegion)
	}
	chunk, ok := s.chunkIndex[request.Digest]
	if !ok || !s.verified.has(chunk) {
		return stream.Send(wire.ChunkReply{Status: wire.ChunkMissing, BudgetLeftBytes: s.uploadBytesLeft()})
	}
	if !s.uploadSlots.acquire(ctx, request.ChunksDone, s.config.UploadSlotTimeout) {
		return stream.Send(wire.ChunkReply{Status: wire.ChunkBusy, BudgetLeftBytes: s.uploadBytesLeft()})
	}
	defer s.uploadSlots.release()
	return s.uploadChunk(ctx, stream, chunk, request.CrossRegion)
}

// isReady reports whether the session can serve peers.
func (s *session) isReady() bool {
	select {
	case <-s.ready:
		return true
	default:
		return false
	}
}

func (s *session) uploadBytesLeft() int64 { return s.linkBudget.uploadBytesLeft(time.Now()) }

func (s *session) serveManifest(ctx context.Context, stream *wire.Stream, far bool) error {
	size := len(s.encodedManifest)
	if !s.linkBudget.reserveUpload(int64(size), time.Now()) {
		return stream.Send(wire.ChunkReply{Status: wire.ChunkBudgetSpent})
	}
	return s.sendContent(ctx, stream, s.encodedManifest, far)
}

// uploadChunk sends a staged chunk. The content is verified again before it is
// sent, so that corruption in the staging area does not spread to peers.
func (s *session) uploadChunk(ctx context.Context, stream *wire.Stream, chunk int, far bool) error {
	size := s.chunks[chunk].Size
	if !s.linkBudget.reserveUpload(size, time.Now()) {
		return stream.Send(wire.ChunkReply{Status: wire.ChunkBudgetSpent, BudgetLeftBytes: s.uploadBytesLeft()})
	}
	digest := s.chunks[chunk].Digest
	content, err := s.config.Staging.GetChunk(ctx, digest)
	if err != nil || !s.matchesDigest(content, digest) {
		s.linkBudget.refundUpload(size)
		s.config.Log.WithError(err).WithField("chunk", digest.Short()).Warn("Staged chunk is lost.")
		s.signalChunkLost()
		return stream.Send(wire.ChunkReply{Status: wire.ChunkMissing})
	}
	return s.sendContent(ctx, stream, content, far)
}

func (s *session) sendContent(ctx context.Context, stream *wire.Stream, content []byte, far bool) error {
	if err := s.config.BandwidthLimiter.WaitUpload(ctx, len(content), far); err != nil {
		s.linkBudget.refundUpload(int64(len(content)))
		return err
	}
	s.manager.counters.sentBytes.Add(int64(len(content)))
	return stream.Send(wire.ChunkReply{Status: wire.ChunkDelivered, Content: content, BudgetLeftBytes: s.uploadBytesLeft()})
}

// serveHaveUpdates sends the verified chunks, and then each addition, until the
// peer ends the call or the session ends.
func (m *Manager) serveHaveUpdates(ctx context.Context, stream *wire.Stream) error {
	var request wire.HaveRequest
	if err := stream.Recv(&request); err != nil {
		return err
	}
	s := m.sessionFor(request.Root)
	if s == nil {
		return core.NewRefusal(core.CodeUnknownEntity, 0, "version %s is not the target of this instance", request.Root.Short())
	}
	select {
	case <-s.ready:
	case <-ctx.Done():
		return ctx.Err()
	}
	bits, sent := s.verified.snapshot()
	update := wire.HaveUpdate{HasManifest: true, Bits: bits, BudgetLeftBytes: s.uploadBytesLeft()}
	for {
		m.counters.controlMessages.Add(1)
		if err := stream.Send(update); err != nil {
			return err
		}
		sleep(ctx, m.config.HaveUpdateInterval)
		added, err := s.waitForAdded(ctx, sent)
		if err != nil {
			return err
		}
		if m.sessionFor(request.Root) != s {
			return errSessionOutdated
		}
		sent += len(added)
		update = wire.HaveUpdate{HasManifest: true, Added: added, BudgetLeftBytes: s.uploadBytesLeft()}
	}
}

// waitForAdded returns the verified chunks in the order of their addition,
// skipping the first from. It waits for the next addition if there are none yet,
// and returns nil after ChunkTimeout so that the caller sends an update of the
// upload budget.
func (s *session) waitForAdded(ctx context.Context, from int) ([]uint32, error) {
	for {
		added, changed := s.verified.since(from)
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
