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
	minExtentChunks = 8
	maxExtents      = 32
	sourceTries     = 6
	maxSourcePause  = 5 * time.Second
)

// extentChunks returns the number of chunks that one origin grant covers.
func extentChunks(total int) int {
	return max(minExtentChunks, (total+maxExtents-1)/maxExtents)
}

// extentCount returns the number of extents of a version.
func extentCount(total int) int {
	size := extentChunks(total)
	return (total + size - 1) / size
}

// fetched is the result of a request to a peer.
type fetched struct {
	content []byte
	result  outcome
	left    int64
	took    time.Duration
}

// fetchFromPeer asks a peer for a chunk or a manifest and checks what comes.
func (s *session) fetchFromPeer(ctx context.Context, addr string, digest core.Digest, far bool) fetched {
	calling, cancel := context.WithTimeout(ctx, s.config.ChunkTimeout)
	defer cancel()
	started := time.Now()
	s.manager.counters.messages.Add(2)
	request := wire.ChunkRequest{Root: s.root, Digest: digest, CrossRegion: far}
	if s.offers != nil {
		request.ChunksDone = uint32(s.offers.count())
	}
	reply, err := wire.Call[wire.ChunkReply](calling, s.config.Peer, addr, wire.KindChunk, request)
	if err != nil {
		return fetched{result: outcomeFailed}
	}
	got := fetched{result: resultOf(reply.Status), left: reply.BudgetLeftBytes}
	if got.result != outcomeDone {
		return got
	}
	if err := s.config.BandwidthLimiter.WaitDownload(ctx, len(reply.Content), far); err != nil {
		return fetched{result: outcomeFailed}
	}
	valid := s.matches(reply.Content, digest)
	s.countReceived(int64(len(reply.Content)), valid)
	if !valid {
		return fetched{result: outcomeCorrupt}
	}
	if far {
		s.manager.counters.fromFar.Add(int64(len(reply.Content)))
	}
	got.content = reply.Content
	got.took = time.Since(started)
	return got
}

func resultOf(status wire.ChunkStatus) outcome {
	switch status {
	case wire.ChunkDelivered:
		return outcomeDone
	case wire.ChunkBusy:
		return outcomeBusy
	case wire.ChunkBudgetSpent:
		return outcomeSpent
	default:
		return outcomeMissing
	}
}

func (s *session) countReceived(size int64, useful bool) {
	s.manager.counters.received.Add(size)
	if !useful {
		s.manager.counters.wasted.Add(size)
	}
	if s.ledger != nil {
		s.ledger.receive(size, useful)
	}
}

// readOrigin makes one granted fetch. Answers that refuse before any content
// was sent leave the grant usable and are tried again.
func (s *session) readOrigin(ctx context.Context, digest core.Digest, read readFunc) ([]byte, error) {
	content, err := s.readSource(ctx, digest, read)
	if err == nil {
		s.manager.counters.fromOrigin.Add(int64(len(content)))
	}
	return content, err
}

func (s *session) readStore(ctx context.Context, digest core.Digest, read readFunc) ([]byte, error) {
	content, err := s.readSource(ctx, digest, read)
	if err == nil {
		s.manager.counters.fromStore.Add(int64(len(content)))
	}
	return content, err
}

type readFunc func(context.Context, core.Digest) ([]byte, error)

func (s *session) readSource(ctx context.Context, digest core.Digest, read readFunc) ([]byte, error) {
	for try := 1; ; try++ {
		content, err := s.readOnce(ctx, digest, read)
		refused := core.ExecutionOf(err) == core.ExecutionNotRun
		if err == nil || !refused || try == sourceTries || ctx.Err() != nil {
			return content, err
		}
		wait := max(core.RetryAfterOf(err), s.config.RetryDelay*time.Duration(try))
		pause(ctx, min(wait, maxSourcePause))
	}
}

func (s *session) readOnce(ctx context.Context, digest core.Digest, read readFunc) ([]byte, error) {
	reading, cancel := context.WithTimeout(ctx, s.config.ChunkTimeout)
	defer cancel()
	content, err := read(reading, digest)
	if err != nil {
		return nil, err
	}
	if err := s.config.BandwidthLimiter.WaitDownload(ctx, len(content), true); err != nil {
		return nil, err
	}
	valid := s.matches(content, digest)
	s.countReceived(int64(len(content)), valid)
	if !valid {
		return nil, core.NewFailure(core.CodeChunkCorrupt, core.ExecutionUnknown, "content of %s is corrupt", digest.Short())
	}
	return content, nil
}

// acquire asks for origin fetches. ok is false when the origin cannot be used.
func (s *session) acquire(ctx context.Context, ask budget.GrantRequest) (grant budget.Grant, ok bool) {
	if s.config.Sources.Origin == nil {
		return budget.Grant{}, false
	}
	ask.Root = s.root
	ask.Region = s.config.Region
	ask.Holder = s.config.Self
	ask.Incarnation = s.config.Incarnation
	s.manager.counters.messages.Add(2)
	grant, err := s.config.OriginGrants.Acquire(ctx, ask)
	if err != nil {
		s.config.Log.WithError(err).WithField("extent", ask.Extent).Debug("No origin grant.")
		return budget.Grant{}, false
	}
	return grant, grant.HeldByRegion || len(grant.Chunks) > 0
}

// loadManifest gets the manifest from a peer or, when the tracker asks for it
// or nothing came for too long, from a source.
func (s *session) loadManifest(ctx context.Context) error {
	if s.encoded != nil {
		return s.adopt(s.encoded)
	}
	started := time.Now()
	stall := s.jittered(s.config.StallTimeout)
	for {
		stalled := time.Since(started) > stall
		encoded := s.tryManifest(ctx, stalled)
		if encoded != nil {
			return s.adopt(encoded)
		}
		pause(ctx, s.jittered(s.config.RetryDelay/2))
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// jittered returns a span between one and two times base.
func (s *session) jittered(base time.Duration) time.Duration {
	return base + time.Duration(s.random.Int64N(int64(base)+1))
}

func (s *session) tryManifest(ctx context.Context, stalled bool) []byte {
	reply, err := s.tracker.announce(ctx, s.report(s.config.MaxNearPeers))
	if err == nil && reply.FetchManifest {
		if encoded := s.manifestFromSource(ctx, stalled); encoded != nil {
			return encoded
		}
	}
	for _, peer := range reply.Peers {
		if peer.ChunksTotal == 0 {
			continue
		}
		got := s.fetchFromPeer(ctx, peer.Addr, s.root, peer.Region != s.config.Region)
		if got.result == outcomeDone {
			return got.content
		}
	}
	if !stalled {
		return nil
	}
	return s.manifestFromSource(ctx, true)
}

func (s *session) manifestFromSource(ctx context.Context, takeover bool) []byte {
	ask := budget.GrantRequest{Manifest: true, ExtentSize: 1, Chunks: []int{0}, Takeover: takeover}
	grant, ok := s.acquire(ctx, ask)
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
	encoded, err := s.readStore(ctx, s.root, s.config.Sources.WeightStore.Manifest)
	if err != nil {
		return nil
	}
	return encoded
}

// watchPeer passes a peer's offers on until the call ends.
func (s *session) watchPeer(ctx context.Context, addr string, pass func(wire.HaveUpdate) bool) error {
	opening, cancel := context.WithTimeout(ctx, s.config.ChunkTimeout)
	stream, err := s.config.Peer.Open(opening, addr, wire.KindHave)
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
		s.manager.counters.messages.Add(1)
		if !pass(update) {
			return ctx.Err()
		}
	}
}
