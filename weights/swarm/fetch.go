package swarm

import (
	"context"
	"errors"
	"io"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/weights/budget"
	"currantusher.dev/wire"
)

const (
	// minExtentChunks and maxExtents determine how a version is divided into
	// extents, the units of origin grants and tracker assignments.
	minExtentChunks = 8
	maxExtents      = 32
	// maxSourceAttempts bounds the reads of one chunk or manifest from a source
	// that refuses them, maxSourceRetryDelay the delay between two reads.
	maxSourceAttempts   = 6
	maxSourceRetryDelay = 5 * time.Second
)

// extentChunks returns the number of chunks in an extent of a version with total
// chunks. The last extent may have fewer.
func extentChunks(total int) int {
	return max(minExtentChunks, (total+maxExtents-1)/maxExtents)
}

// extentCount returns the number of extents of a version with total chunks.
func extentCount(total int) int {
	size := extentChunks(total)
	return (total + size - 1) / size
}

// peerResponse is the result of a request to a peer. content is set for
// outcomeDelivered only.
type peerResponse struct {
	content    []byte
	result     outcome
	budgetLeft int64
	elapsed    time.Duration
}

// fetchFromPeer requests a chunk or a manifest from a peer and verifies the
// received content. far marks a peer in another region.
func (s *session) fetchFromPeer(ctx context.Context, addr string, digest core.Digest, far bool) peerResponse {
	callCtx, cancel := context.WithTimeout(ctx, s.config.ChunkTimeout)
	defer cancel()
	started := time.Now()
	s.manager.counters.controlMessages.Add(2)
	request := wire.ChunkRequest{Root: s.root, Digest: digest, CrossRegion: far}
	if s.verified != nil {
		request.ChunksDone = uint32(s.verified.count())
	}
	reply, err := wire.Call[wire.ChunkReply](callCtx, s.config.Peer, addr, wire.KindChunk, request)
	if err != nil {
		return peerResponse{result: outcomeFailed}
	}
	response := peerResponse{result: outcomeOf(reply.Status), budgetLeft: reply.BudgetLeftBytes}
	if response.result != outcomeDelivered {
		return response
	}
	if err := s.config.BandwidthLimiter.WaitDownload(ctx, len(reply.Content), far); err != nil {
		return peerResponse{result: outcomeFailed}
	}
	valid := s.matchesDigest(reply.Content, digest)
	s.countReceived(int64(len(reply.Content)), valid)
	if !valid {
		return peerResponse{result: outcomeCorrupt}
	}
	if far {
		s.manager.counters.farPeerBytes.Add(int64(len(reply.Content)))
	}
	response.content = reply.Content
	response.elapsed = time.Since(started)
	return response
}

func outcomeOf(status wire.ChunkStatus) outcome {
	switch status {
	case wire.ChunkDelivered:
		return outcomeDelivered
	case wire.ChunkBusy:
		return outcomeBusy
	case wire.ChunkBudgetSpent:
		return outcomeBudgetSpent
	default:
		return outcomeMissing
	}
}

// countReceived records size received bytes. useful is false for content that is
// discarded.
func (s *session) countReceived(size int64, useful bool) {
	s.manager.counters.receivedBytes.Add(size)
	if !useful {
		s.manager.counters.discardedBytes.Add(size)
	}
	if s.linkBudget != nil {
		s.linkBudget.recordDownload(size, useful)
	}
}

// readOrigin fetches content for which a grant is held. A fetch that the origin
// refuses before sending any content does not use up the grant and is retried.
func (s *session) readOrigin(ctx context.Context, digest core.Digest, read readFunc) ([]byte, error) {
	content, err := s.readSource(ctx, digest, read)
	if err == nil {
		s.manager.counters.originBytes.Add(int64(len(content)))
	}
	return content, err
}

func (s *session) readWeightStore(ctx context.Context, digest core.Digest, read readFunc) ([]byte, error) {
	content, err := s.readSource(ctx, digest, read)
	if err == nil {
		s.manager.counters.weightStoreBytes.Add(int64(len(content)))
	}
	return content, err
}

type readFunc func(context.Context, core.Digest) ([]byte, error)

// readSource reads content from a source and retries reads that were refused.
func (s *session) readSource(ctx context.Context, digest core.Digest, read readFunc) ([]byte, error) {
	for attempt := 1; ; attempt++ {
		content, err := s.readSourceOnce(ctx, digest, read)
		refused := core.ExecutionOf(err) == core.ExecutionNotRun
		if err == nil || !refused || attempt == maxSourceAttempts || ctx.Err() != nil {
			return content, err
		}
		delay := max(core.RetryAfterOf(err), s.config.RetryDelay*time.Duration(attempt))
		sleep(ctx, min(delay, maxSourceRetryDelay))
	}
}

// readSourceOnce makes one read from a source and verifies the content.
func (s *session) readSourceOnce(ctx context.Context, digest core.Digest, read readFunc) ([]byte, error) {
	readCtx, cancel := context.WithTimeout(ctx, s.config.ChunkTimeout)
	defer cancel()
	content, err := read(readCtx, digest)
	if err != nil {
		return nil, err
	}
	if err := s.config.BandwidthLimiter.WaitDownload(ctx, len(content), true); err != nil {
		return nil, err
	}
	valid := s.matchesDigest(content, digest)
	s.countReceived(int64(len(content)), valid)
	if !valid {
		return nil, core.NewFailure(core.CodeChunkCorrupt, core.ExecutionUnknown, "content received for digest %s does not match it", digest.Short())
	}
	return content, nil
}

// acquireGrant requests a grant to fetch from the origin. ok is false if there is
// no origin, the request failed or no chunk was granted. If ok is true and
// grant.HeldByRegion is set, another downloader of the region holds the grant.
func (s *session) acquireGrant(ctx context.Context, request budget.GrantRequest) (grant budget.Grant, ok bool) {
	if s.config.Sources.Origin == nil {
		return budget.Grant{}, false
	}
	request.Root = s.root
	request.Region = s.config.Region
	request.Holder = s.config.Self
	request.Incarnation = s.config.Incarnation
	s.manager.counters.controlMessages.Add(2)
	grant, err := s.config.OriginGrants.Acquire(ctx, request)
	if err != nil {
		s.config.Log.WithError(err).WithField("extent", request.Extent).Debug("Acquiring an origin grant failed; the origin is not read.")
		return budget.Grant{}, false
	}
	return grant, grant.HeldByRegion || len(grant.Chunks) > 0
}

// loadManifest fetches the manifest from a peer. It uses a source if the tracker
// assigned the manifest to this downloader or nothing arrived within the stall
// timeout.
func (s *session) loadManifest(ctx context.Context) error {
	if s.encodedManifest != nil {
		return s.setManifest(s.encodedManifest)
	}
	started := time.Now()
	stallTimeout := s.withJitter(s.config.StallTimeout)
	for {
		stalled := time.Since(started) > stallTimeout
		encoded := s.tryLoadManifest(ctx, stalled)
		if encoded != nil {
			return s.setManifest(encoded)
		}
		sleep(ctx, s.withJitter(s.config.RetryDelay/2))
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// withJitter returns a random duration between one and two times base.
func (s *session) withJitter(base time.Duration) time.Duration {
	return base + time.Duration(s.random.Int64N(int64(base)+1))
}

// tryLoadManifest makes one attempt to fetch the manifest and returns nil if it
// fails.
func (s *session) tryLoadManifest(ctx context.Context, stalled bool) []byte {
	reply, err := s.announcer.announce(ctx, s.newTrackRequest(s.config.MaxNearPeers))
	if err == nil && reply.FetchManifest {
		if encoded := s.loadManifestFromSource(ctx, stalled); encoded != nil {
			return encoded
		}
	}
	for _, peer := range reply.Peers {
		if peer.ChunksTotal == 0 {
			continue
		}
		response := s.fetchFromPeer(ctx, peer.Addr, s.root, peer.Region != s.config.Region)
		if response.result == outcomeDelivered {
			return response.content
		}
	}
	if !stalled {
		return nil
	}
	return s.loadManifestFromSource(ctx, true)
}

// loadManifestFromSource fetches the manifest from the origin or, without a
// grant, from the weight store. It returns nil if that fails, or if another
// downloader of the region holds the grant and takeover is false.
func (s *session) loadManifestFromSource(ctx context.Context, takeover bool) []byte {
	request := budget.GrantRequest{Manifest: true, ExtentSize: 1, Chunks: []int{0}, Takeover: takeover}
	grant, ok := s.acquireGrant(ctx, request)
	if ok && grant.HeldByRegion {
		return nil
	}
	if ok {
		encoded, err := s.readOrigin(ctx, s.root, s.config.Sources.Origin.Manifest)
		if err == nil {
			return encoded
		}
	}
	if s.config.Sources.WeightStore == nil {
		return nil
	}
	encoded, err := s.readWeightStore(ctx, s.root, s.config.Sources.WeightStore.Manifest)
	if err != nil {
		return nil
	}
	return encoded
}

// receiveHaveUpdates subscribes to the chunks that a peer offers and passes each
// update to handle until the call ends or handle returns false.
func (s *session) receiveHaveUpdates(ctx context.Context, addr string, handle func(wire.HaveUpdate) bool) error {
	openCtx, cancel := context.WithTimeout(ctx, s.config.ChunkTimeout)
	stream, err := s.config.Peer.Open(openCtx, addr, wire.KindHave)
	cancel()
	if err != nil {
		return err
	}
	defer stream.Cancel()
	stop := context.AfterFunc(ctx, stream.Cancel)
	defer stop()
	if err := stream.Send(wire.HaveRequest{Root: s.root}); err != nil {
		return err
	}
	for {
		var update wire.HaveUpdate
		if err := stream.Recv(&update); err != nil {
			if errors.Is(err, io.EOF) {
				return io.ErrUnexpectedEOF
			}
			return err
		}
		s.manager.counters.controlMessages.Add(1)
		if !handle(update) {
			return ctx.Err()
		}
	}
}
